//! Explores all sequences of events and delays up to a fixed depth with a model checker, and checks the guarantees of the
//! lifecycle in each state.

use lilacquay_lifecycle::{
    CloseMode, Event, EventRefused, Lifecycle, Micros, PhaseTimings, ServiceMode, State,
};
use stateright::{Checker, Model, Property};

const MS: Micros = 1_000;
const TIMINGS: PhaseTimings = PhaseTimings {
    accept_grace: 500 * MS,
    leave_after_answer_delay: 300 * MS,
    leave_when_idle_delay: 1_500 * MS,
    shutdown_when_idle_delay: 500 * MS,
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
/// The times that may pass before an event.
const DELAYS: [Micros; 5] = [0, 299 * MS, 500 * MS, 1_500 * MS, 3_600 * MS];

/// The effect of the events so far, recorded independently of the implementation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct History {
    left_at: Option<Micros>,
    stopped_at: Option<Micros>,
    ready: bool,
    ended: bool,
}

fn check(lifecycle: &Lifecycle, now: Micros, history: History) {
    let mode = lifecycle.service_mode(now);
    if !history.ready || history.ended {
        assert!(!mode.accepts_connections && !mode.ping_succeeds && !mode.healthy, "{lifecycle:?} at {now}");
    }
    if history.ready && !history.ended && history.left_at.is_none() && history.stopped_at.is_none() {
        let in_service = ServiceMode {
            accepts_connections: true,
            ping_succeeds: true,
            healthy: true,
            ..ServiceMode::default()
        };
        assert_eq!(mode, in_service, "in service");
    }
    if let (Some(left_at), None, false) = (history.left_at, history.stopped_at, history.ended) {
        assert!(
            !mode.ping_succeeds && mode.accepts_connections,
            "clients and front-end processes that check with `PING` are told no"
        );
        // Connections that count as idle for the operators 4 s after the call to leave are closed long before that.
        assert!(now < left_at + 1_500 * MS || mode.close_mode == CloseMode::WhenIdle);
    }
    if let Some(stopped_at) = history.stopped_at {
        assert!(
            !mode.accepts_connections || now < stopped_at + 500 * MS,
            "no connection is accepted after the grace period"
        );
        assert!(now < stopped_at + 3_600 * MS || mode.ended, "it ends by its time limit");
        assert!(
            mode.ended || mode.close_mode > CloseMode::KeepOpen,
            "no connection is kept open during a shutdown"
        );
    }
    // Without events the mode stays the same until the announced next change.
    if let Some(next) = lifecycle.next_change(now) {
        assert!(next > now);
        assert_eq!(lifecycle.service_mode(next - 1), mode, "{lifecycle:?}: nothing changes before {next}");
    } else {
        assert_eq!(lifecycle.service_mode(now + 3_600_000 * MS), mode, "{lifecycle:?}: nothing more changes");
    }
}

/// A lifecycle at one time, with the history of its events.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Visited {
    lifecycle: Lifecycle,
    now: Micros,
    history: History,
}

struct LifecycleModel;

impl Model for LifecycleModel {
    type State = Visited;
    type Action = (Micros, Event);

    fn init_states(&self) -> Vec<Visited> {
        vec![Visited { lifecycle: Lifecycle::new(TIMINGS), now: 7 * MS, history: History::default() }]
    }

    fn actions(&self, _: &Visited, actions: &mut Vec<(Micros, Event)>) {
        actions.extend(DELAYS.iter().flat_map(|&delay| EVENTS.map(|event| (delay, event))));
    }

    fn next_state(&self, visited: &Visited, (delay, event): (Micros, Event)) -> Option<Visited> {
        let Visited { mut lifecycle, now, mut history } = visited.clone();
        let now = now + delay;
        let (before, was_over) = (lifecycle.clone(), lifecycle.service_mode(now).ended);
        let result = lifecycle.handle(now, event);
        match event {
            Event::Ready => history.ready = true,
            Event::Failed => history.ended = true,
            Event::Leave if result.is_ok() && history.left_at.is_none() => history.left_at = Some(now),
            Event::Join if result.is_ok() => history.left_at = None,
            Event::Stop { .. } if !history.ready => history.ended = true,
            Event::Stop { .. } if history.stopped_at.is_none() => history.stopped_at = Some(now),
            _ => {}
        }
        if result.is_err() {
            assert_eq!(lifecycle, before, "a refused event changes nothing");
            assert!(matches!(event, Event::Leave | Event::Join));
        }
        assert!(!was_over || lifecycle.service_mode(now).ended, "a node that has ended stays ended");
        Some(Visited { lifecycle, now, history })
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the guarantees hold", |_, visited| {
                check(&visited.lifecycle, visited.now, visited.history);
                true
            }),
            Property::<Self>::sometimes("it is in service again after leaving", |_, visited| {
                visited.lifecycle.state() == State::Serving && visited.now > 7 * MS + 1_500 * MS
            }),
        ]
    }
}

#[test]
fn no_sequence_of_events_breaks_the_guarantees() {
    let checker = LifecycleModel.checker().threads(2).target_max_depth(8).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 20_000, "{}", checker.unique_state_count());
}

#[test]
fn events_are_accepted_or_refused_as_documented() {
    let mut lifecycle = Lifecycle::new(TIMINGS);
    assert_eq!(lifecycle.handle(0, Event::Leave), Err(EventRefused::Starting));
    lifecycle.handle(0, Event::Ready).unwrap();
    lifecycle.handle(10, Event::Leave).unwrap();
    lifecycle.handle(1_000_000, Event::Leave).unwrap();
    assert_eq!(lifecycle.state(), State::Leaving(10), "leaving twice does not start the delays anew");
    lifecycle.handle(2_000_000, Event::Join).unwrap();
    assert_eq!(lifecycle.state(), State::Serving);
    lifecycle.handle(3_000_000, Event::Stop { address_shared: true }).unwrap();
    assert!(!lifecycle.service_mode(3_000_000).accepts_connections, "the other process accepts connections");
    assert!(lifecycle.service_mode(3_000_000).ping_succeeds, "the two processes together are in service");
    assert_eq!(lifecycle.handle(3_000_001, Event::Join), Err(EventRefused::ShuttingDown));
    lifecycle.handle(3_000_001, Event::ConnectionsClosed).unwrap();
    assert_eq!(lifecycle.state(), State::Ended);
}

#[test]
fn a_node_that_stops_alone_ends_only_after_the_accept_grace_period() {
    let mut lifecycle = Lifecycle::new(TIMINGS);
    lifecycle.handle(0, Event::Ready).unwrap();
    lifecycle.handle(0, Event::Stop { address_shared: false }).unwrap();
    lifecycle.handle(499 * MS, Event::ConnectionsClosed).unwrap();
    assert!(!lifecycle.service_mode(499 * MS).ended, "a connection may be in transit");
    lifecycle.handle(500 * MS, Event::ConnectionsClosed).unwrap();
    assert!(lifecycle.service_mode(500 * MS).ended);
}
