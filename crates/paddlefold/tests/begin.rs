//! A decided attempt may begin only if the rules still allow it when its connection is up: the state may have
//! changed since the decision.

use paddlefold::{
    Action, AttemptEnd, Balancer, Class, Effect, Event, ListScope, Member, MemberState, Micros, Mode,
    Outcome, PermitError, Request, RequestId, Scope, ServerId, Settings,
};

const MS: Micros = 1_000;
const READ: usize = 0;
const KEYED: usize = 1;
const UNSAFE: usize = 2;
const ORIGIN: ServerId = ServerId(9);

/// A balancer that knows one cache and the origin, and the servers that it has sent attempts to.
struct Fixture {
    balancer: Balancer,
    sent: Vec<ServerId>,
}

const ID: RequestId = RequestId(1);

impl Fixture {
    fn new(settings: Settings) -> Fixture {
        let mut fixture = Fixture { balancer: Balancer::new(settings, 7, 0), sent: Vec::new() };
        let origin = Member { origin: true, ..Member::up(ORIGIN) };
        fixture.update_list(0, ListScope::Full, vec![Member::up(ServerId(1)), origin]);
        fixture
    }

    fn handle(&mut self, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.balancer.on_event(now, event, &mut actions);
        self.sent.extend(actions.iter().filter_map(|action| match action {
            Action::Send { server, .. } => Some(*server),
            _ => None,
        }));
    }

    fn update_list(&mut self, now: Micros, scope: ListScope, members: Vec<Member>) {
        self.handle(now, Event::Members { scope, members });
    }

    /// Sends a request of a class, whose client waits for a second.
    fn request(&mut self, class: usize) {
        let request = Request {
            class: Some(class),
            key: Some("k".into()),
            budget: 1000 * MS,
            write: class != READ,
            ..Request::new(ID)
        };
        self.handle(10 * MS, Event::Request(request));
        assert_eq!(self.sent.len(), 1);
    }

    fn end_attempt(&mut self, now: Micros, attempt: usize, outcome: Outcome) {
        self.handle(now, Event::Outcome(AttemptEnd::new(ID, attempt, outcome)));
    }

    fn begin(&mut self, now: Micros, attempt: usize) -> Result<Micros, PermitError> {
        self.balancer.begin(now, ID, attempt)
    }
}

fn settings() -> Settings {
    let class = |effect| Class { aim: 300 * MS, worth: 1.0, effect };
    let keyed = Effect::Keyed { scope: Scope::All, window: 400 * MS };
    Settings {
        classes: vec![class(Effect::Safe), class(keyed), class(Effect::Unsafe)],
        mode: Mode::Aside,
        cold: 20_000 * MS,
        cold_from: 0.1,
        ..Settings::default()
    }
}

#[test]
fn begin_returns_the_time_left_at_the_moment_of_the_write() {
    let mut fixture = Fixture::new(settings());
    fixture.request(READ);
    assert_eq!(fixture.begin(10 * MS, 0), Ok(1000 * MS));
    assert_eq!(fixture.begin(610 * MS, 0), Ok(400 * MS));
}

#[test]
fn nothing_begins_after_the_deadline() {
    let mut fixture = Fixture::new(settings());
    fixture.request(READ);
    assert_eq!(
        fixture.begin(1009 * MS, 0),
        Err(PermitError::DeadlinePassed),
        "one quantum before the deadline"
    );
}

#[test]
fn nothing_begins_for_a_client_that_has_left_where_attempts_cannot_be_cancelled() {
    let mut fixture = Fixture::new(Settings { cancel: false, ..settings() });
    fixture.request(READ);
    fixture.handle(20 * MS, Event::ClientGone(ID));
    assert_eq!(fixture.begin(30 * MS, 0), Err(PermitError::RequestSettled));
}

#[test]
fn nothing_begins_once_an_answer_is_being_streamed() {
    let mut fixture = Fixture::new(Settings { cancel: false, ..settings() });
    fixture.request(READ);
    fixture.handle(20 * MS, Event::FirstByte { id: ID, attempt: 0 });
    assert_eq!(fixture.begin(30 * MS, 0), Err(PermitError::ResponseStarted));
}

#[test]
fn nothing_begins_at_a_server_that_drains_or_is_gone() {
    for state in [MemberState::Draining, MemberState::Removed] {
        let mut fixture = Fixture::new(settings());
        fixture.request(READ);
        let member = Member { state, ..Member::up(fixture.sent[0]) };
        fixture.update_list(20 * MS, ListScope::Delta, vec![member]);
        assert_eq!(fixture.begin(30 * MS, 0), Err(PermitError::ServerNotServing));
    }
}

#[test]
fn an_attempt_that_is_not_known_or_has_ended_does_not_begin() {
    let mut fixture = Fixture::new(settings());
    fixture.request(READ);
    assert_eq!(fixture.begin(20 * MS, 1), Err(PermitError::AttemptEnded));
    assert_eq!(fixture.balancer.begin(20 * MS, RequestId(2), 0), Err(PermitError::AttemptEnded));
    fixture.end_attempt(30 * MS, 0, Outcome::Miss);
    assert_eq!(fixture.begin(30 * MS, 0), Err(PermitError::AttemptEnded));
    assert_eq!(fixture.sent, [fixture.sent[0], ORIGIN]);
    assert!(fixture.begin(30 * MS, 1).is_ok());
}

#[test]
fn a_keyed_repeat_does_not_begin_once_its_window_is_nearly_over() {
    let mut fixture = Fixture::new(settings());
    fixture.request(KEYED);
    assert!(fixture.begin(10 * MS, 0).is_ok());
    fixture.end_attempt(100 * MS, 0, Outcome::Reset);
    assert_eq!(fixture.sent, [ORIGIN; 2]);
    assert!(fixture.begin(300 * MS, 1).is_ok());
    assert_eq!(
        fixture.begin(361 * MS, 1),
        Err(PermitError::RepeatedEffect),
        "an eighth of the window before its end"
    );
}

#[test]
fn a_write_that_must_not_run_twice_begins_alone() {
    let mut fixture = Fixture::new(settings());
    fixture.request(UNSAFE);
    assert!(fixture.begin(10 * MS, 0).is_ok());
    fixture.end_attempt(100 * MS, 0, Outcome::ConnectError);
    assert!(fixture.begin(100 * MS, 1).is_ok(), "the first never ran");
    fixture.end_attempt(200 * MS, 1, Outcome::Reset);
    assert_eq!(fixture.sent.len(), 2, "the second may have run");
}

#[test]
fn attempts_whose_connections_come_up_together_begin_no_faster_than_slow_start_allows() {
    // The attempts are decided while the cache is warm; it restarts before their connections are up.
    let mut fixture = Fixture::new(settings());
    for n in 1..=8 {
        let request = Request {
            class: Some(READ),
            key: Some("k".into()),
            budget: 1000 * MS,
            ..Request::new(RequestId(n))
        };
        fixture.handle(10 * MS, Event::Request(request));
    }
    let cache = fixture.sent[0];
    let decided = fixture.sent.iter().filter(|to| **to == cache).count();
    assert!(decided >= 4, "{decided}");
    let started = Member { started: Some(15 * MS), ..Member::up(cache) };
    fixture.update_list(20 * MS, ListScope::Delta, vec![started]);
    let begun: Vec<_> = (1..=8).map(|n| fixture.balancer.begin(30 * MS, RequestId(n), 0)).collect();
    assert!(begun.iter().filter(|begun| begun.is_ok()).count() <= 1, "{begun:?}");
    assert!(begun.contains(&Err(PermitError::SlowStart)), "{begun:?}");
}

/// Number of attempts that a cache with a listed start time is sent when ten reads come at once. The list has
/// the caches `before` at first, and the change with the start time comes `later` after it.
fn sends_after_start(started: Micros, before: &[u32], later: Micros) -> usize {
    let now = 7_200_000 * MS;
    let mut balancer = Balancer::new(settings(), 7, now - later);
    let mut actions = Vec::new();
    let list = |scope, members| Event::Members { scope, members };
    let listed = before.iter().map(|&id| Member::up(ServerId(id))).collect();
    balancer.on_event(now - later, list(ListScope::Full, listed), &mut actions);
    let member = Member { started: Some(started), ..Member::up(ServerId(1)) };
    balancer.on_event(now, list(ListScope::Delta, vec![member]), &mut actions);
    actions.clear();
    for n in 1..=10 {
        let request = Request { class: Some(READ), budget: 1000 * MS, ..Request::new(RequestId(n)) };
        balancer.on_event(now + MS, Event::Request(request), &mut actions);
    }
    actions.iter().filter(|action| matches!(action, Action::Send { server: ServerId(1), .. })).count()
}

#[test]
fn a_restarted_server_was_taken_for_warm_because_the_wall_clock_had_been_stepped() {
    let hour = 3_600_000 * MS;
    let now = 2 * hour;
    assert!(sends_after_start(now, &[1], MS) <= 1, "the clocks agree");
    assert!(sends_after_start(now - hour, &[1], MS) <= 1, "our clock is an hour ahead");
    assert!(sends_after_start(now + hour, &[1], MS) <= 1, "our clock is an hour behind");
}

#[test]
fn a_new_server_was_taken_for_warm_because_the_wall_clock_had_been_stepped() {
    let hour = 3_600_000 * MS;
    let now = 2 * hour;
    for later in [10_000 * MS, hour] {
        assert!(sends_after_start(now, &[], later) <= 1, "the clocks agree");
        assert!(sends_after_start(now - hour, &[], later) <= 1, "our clock is an hour ahead");
        assert!(sends_after_start(now + hour, &[], later) <= 1, "our clock is an hour behind");
    }
}

#[test]
fn a_server_of_the_first_list_change_is_warm_if_it_started_long_ago() {
    let hour = 3_600_000 * MS;
    assert!(sends_after_start(hour, &[], MS) > 1, "the first list may have been a stored, old one");
}

#[test]
fn a_server_was_in_slow_start_for_an_hour_because_the_wall_clock_had_been_stepped() {
    let (now, hour) = (7_200_000 * MS, 3_600_000 * MS);
    let mut balancer = Balancer::new(settings(), 7, now);
    let mut actions = Vec::new();
    let list = || Event::Members {
        scope: ListScope::Full,
        members: vec![Member { started: Some(now + hour), ..Member::up(ServerId(1)) }],
    };
    balancer.on_event(now, list(), &mut actions);
    assert!(balancer.server_view(ServerId(1)).is_some_and(|server| server.warmth < 0.2));
    balancer.on_event(now + 10_000 * MS, list(), &mut actions);
    assert!(balancer.server_view(ServerId(1)).is_some_and(|server| (0.5..0.6).contains(&server.warmth)));
    for after in [21_000, 22_000, 60_000] {
        balancer.on_event(now + after * MS, list(), &mut actions);
        assert!(balancer.server_view(ServerId(1)).is_some_and(|server| server.warmth == 1.0), "{after} ms");
    }
}
