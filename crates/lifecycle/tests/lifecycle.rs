//! All orders of events and times to a stated depth, by a model checker: what may never be, is not.

use lilacquay_lifecycle::{
    CloseMode, Event, EventRefused, Lifecycle, Micros, PhaseTimings, ServiceMode, State,
};
use stateright::{Checker, Model, Property};

const MS: Micros = 1_000;
const TERMS: PhaseTimings = PhaseTimings {
    accept_grace: 500 * MS,
    leave_close_after_answer: 300 * MS,
    leave_close_idle: 1_500 * MS,
    shutdown_close_idle: 500 * MS,
    shutdown_timeout: 3_600 * MS,
};
const EVENTS: [Event; 7] = [
    Event::Ready,
    Event::Leave,
    Event::Join,
    Event::Stop { address_shared: false },
    Event::Stop { address_shared: true },
    Event::ConnectionsClosed,
    Event::Failed,
];
/// What passes before an event.
const STEPS: [Micros; 5] = [0, 299 * MS, 500 * MS, 1_500 * MS, 3_600 * MS];

/// When a life was last told what, as whoever tells it sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Seen {
    left: Option<Micros>,
    stopped: Option<Micros>,
    ready: bool,
    ended: bool,
}

fn check(life: &Lifecycle, now: Micros, seen: Seen) {
    let bearing = life.service_mode(now);
    if !seen.ready || seen.ended {
        assert!(
            !bearing.accepts_connections && !bearing.ping_succeeds && !bearing.healthy,
            "{life:?} at {now}"
        );
    }
    if seen.ready && !seen.ended && seen.left.is_none() && seen.stopped.is_none() {
        let whole = ServiceMode {
            accepts_connections: true,
            ping_succeeds: true,
            healthy: true,
            ..ServiceMode::default()
        };
        assert_eq!(bearing, whole, "in service");
    }
    if let (Some(left), None, false) = (seen.left, seen.stopped, seen.ended) {
        assert!(!bearing.ping_succeeds && bearing.accepts_connections, "a front that asks is told no");
        // What the operators hold to be idle 4 s after the call was closed long before.
        assert!(now < left + 1_500 * MS || bearing.close_mode == CloseMode::WhenIdle);
    }
    if let Some(stopped) = seen.stopped {
        assert!(!bearing.accepts_connections || now < stopped + 500 * MS, "none is taken beyond the bound");
        assert!(now < stopped + 3_600 * MS || bearing.ended, "it ends by its time");
        assert!(
            bearing.ended || bearing.close_mode > CloseMode::KeepOpen,
            "nobody stays on at one that ends"
        );
    }
    // Between now and the next change by time nothing changes.
    if let Some(next) = life.next_change(now) {
        assert!(next > now);
        assert_eq!(life.service_mode(next - 1), bearing, "{life:?}: nothing changes before {next}");
    } else {
        assert_eq!(life.service_mode(now + 3_600_000 * MS), bearing, "{life:?}: nothing more changes");
    }
}

/// A life with what it was told, at a time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Told {
    life: Lifecycle,
    now: Micros,
    seen: Seen,
}

struct Lives;

impl Model for Lives {
    type State = Told;
    type Action = (Micros, Event);

    fn init_states(&self) -> Vec<Told> {
        vec![Told { life: Lifecycle::new(TERMS), now: 7 * MS, seen: Seen::default() }]
    }

    fn actions(&self, _: &Told, actions: &mut Vec<(Micros, Event)>) {
        actions.extend(STEPS.iter().flat_map(|&step| EVENTS.map(|event| (step, event))));
    }

    fn next_state(&self, told: &Told, (step, event): (Micros, Event)) -> Option<Told> {
        let Told { mut life, now, mut seen } = told.clone();
        let now = now + step;
        let (before, over) = (life.clone(), life.service_mode(now).ended);
        let answer = life.handle(now, event);
        match event {
            Event::Ready => seen.ready = true,
            Event::Failed => seen.ended = true,
            Event::Leave if answer.is_ok() && seen.left.is_none() => seen.left = Some(now),
            Event::Join if answer.is_ok() => seen.left = None,
            Event::Stop { .. } if !seen.ready => seen.ended = true,
            Event::Stop { .. } if seen.stopped.is_none() => seen.stopped = Some(now),
            _ => {}
        }
        if answer.is_err() {
            assert_eq!(life, before, "what is refused changes nothing");
            assert!(matches!(event, Event::Leave | Event::Join));
        }
        assert!(!over || life.service_mode(now).ended, "what is over stays so");
        Some(Told { life, now, seen })
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("what is promised holds", |_, told| {
                check(&told.life, told.now, told.seen);
                true
            }),
            Property::<Self>::sometimes("it comes back", |_, told| {
                told.life.state() == State::Serving && told.now > 7 * MS + 1_500 * MS
            }),
        ]
    }
}

#[test]
fn no_order_of_events_breaks_what_is_promised() {
    let checker = Lives.checker().threads(2).target_max_depth(8).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 20_000, "{}", checker.unique_state_count());
}

#[test]
fn the_answers_that_are_stated() {
    let mut life = Lifecycle::new(TERMS);
    assert_eq!(life.handle(0, Event::Leave), Err(EventRefused::Starting));
    life.handle(0, Event::Ready).unwrap();
    life.handle(10, Event::Leave).unwrap();
    life.handle(1_000_000, Event::Leave).unwrap();
    assert_eq!(life.state(), State::Leaving(10), "to leave twice does not begin anew");
    life.handle(2_000_000, Event::Join).unwrap();
    assert_eq!(life.state(), State::Serving);
    life.handle(3_000_000, Event::Stop { address_shared: true }).unwrap();
    assert!(!life.service_mode(3_000_000).accepts_connections, "the other process takes connections");
    assert!(life.service_mode(3_000_000).ping_succeeds, "the pair is in service");
    assert_eq!(life.handle(3_000_001, Event::Join), Err(EventRefused::Ending));
    life.handle(3_000_001, Event::ConnectionsClosed).unwrap();
    assert_eq!(life.state(), State::Ended);
}

#[test]
fn one_that_stops_alone_ends_only_once_it_takes_none() {
    let mut life = Lifecycle::new(TERMS);
    life.handle(0, Event::Ready).unwrap();
    life.handle(0, Event::Stop { address_shared: false }).unwrap();
    life.handle(499 * MS, Event::ConnectionsClosed).unwrap();
    assert!(!life.service_mode(499 * MS).ended, "somebody may be on the way");
    life.handle(500 * MS, Event::ConnectionsClosed).unwrap();
    assert!(life.service_mode(500 * MS).ended);
}
