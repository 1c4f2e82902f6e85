//! When a client's connection is closed, read on, or waited for no longer.

use std::time::Duration;

use lilacquay_fronts::close_policy::{
    CloseDecision, ClosePolicy, ConnectionFacts, LAST_COMMANDS, LongCommand, NEW, PARTING, PATIENCE, PAUSE,
    given_up_at, may_read,
};
use lilacquay_fronts::close_reason::CloseReason;
use lilacquay_lifecycle::{CloseMode, ServiceMode};
use tokio::time::Instant;

/// A connection that rests after a request.
fn resting(now: Instant) -> ConnectionFacts {
    ConnectionFacts {
        now,
        born: now - Duration::from_secs(10),
        since: now,
        read_at: now,
        owes: false,
        in_command: false,
        heard: true,
        asked: true,
        just_answered: false,
        malformed: None,
        quits: false,
        process_ends: false,
        long_command: None,
    }
}

fn phase(close_mode: CloseMode, accepts: bool) -> ServiceMode {
    ServiceMode { close_mode, accepts_connections: accepts, ..ServiceMode::default() }
}

fn decide(close_mode: CloseMode, accepts: bool, facts: ConnectionFacts) -> CloseDecision {
    ClosePolicy::default().decide(phase(close_mode, accepts), &facts)
}

#[test]
fn what_is_owed_or_half_read_is_never_closed_on() {
    let now = Instant::now();
    let all = [CloseMode::KeepOpen, CloseMode::AfterAnswer, CloseMode::WhenIdle];
    for (close_mode, accepts) in
        all.into_iter().flat_map(|close_mode| [(close_mode, true), (close_mode, false)])
    {
        let owes = ConnectionFacts {
            owes: true,
            quits: true,
            process_ends: true,
            malformed: Some(now),
            just_answered: true,
            ..resting(now)
        };
        assert_eq!(decide(close_mode, accepts, owes), CloseDecision::Stay);
        let in_command = ConnectionFacts { in_command: true, just_answered: true, ..resting(now) };
        assert_eq!(decide(close_mode, accepts, in_command), CloseDecision::Stay);
    }
}

#[test]
fn a_connection_has_its_end_once_nothing_is_owed() {
    let facts = resting(Instant::now());
    for (facts, reason) in [
        (ConnectionFacts { malformed: Some(facts.now), ..facts }, CloseReason::Malformed),
        (ConnectionFacts { quits: true, ..facts }, CloseReason::Quit),
        (ConnectionFacts { process_ends: true, in_command: true, ..facts }, CloseReason::ProcessEnds),
    ] {
        assert_eq!(decide(CloseMode::KeepOpen, true, facts), CloseDecision::Close(reason));
    }
    assert_eq!(decide(CloseMode::KeepOpen, true, facts), CloseDecision::Stay);
}

#[test]
fn a_node_that_goes_looks_for_what_has_come_before_it_closes() {
    let facts = resting(Instant::now());
    let answered = ConnectionFacts { just_answered: true, ..facts };
    assert_eq!(decide(CloseMode::AfterAnswer, false, facts), CloseDecision::Stay);
    assert_eq!(decide(CloseMode::AfterAnswer, false, answered), CloseDecision::CloseIfNothingCame);
    assert_eq!(decide(CloseMode::WhenIdle, false, facts), CloseDecision::CloseIfNothingCame);
    let new = ConnectionFacts { heard: false, asked: false, born: facts.now, ..facts };
    assert_eq!(decide(CloseMode::WhenIdle, false, new), CloseDecision::LookAgain(new.born + NEW));
}

#[test]
fn a_client_that_always_sends_is_closed_on_by_a_node_that_runs_on_alone() {
    for (accepts, after) in
        [(true, CloseDecision::Close(CloseReason::ShuttingDown)), (false, CloseDecision::CloseIfNothingCame)]
    {
        let (mut policy, facts) = (ClosePolicy::default(), resting(Instant::now()));
        let mut decide = |time| {
            let facts = ConnectionFacts { now: facts.now + time, ..facts };
            policy.decide(phase(CloseMode::WhenIdle, accepts), &facts)
        };
        assert_eq!(decide(Duration::ZERO), CloseDecision::CloseIfNothingCame);
        assert_eq!(decide(LAST_COMMANDS - Duration::from_millis(1)), CloseDecision::CloseIfNothingCame);
        assert_eq!(decide(LAST_COMMANDS), after);
    }
}

#[test]
fn a_process_that_ends_reads_behind_what_is_owed_until_its_end_and_one_that_leaves_does_not() {
    let facts = ConnectionFacts { owes: true, ..resting(Instant::now()) };
    assert!(may_read(phase(CloseMode::KeepOpen, true), &facts));
    assert!(may_read(phase(CloseMode::WhenIdle, false), &facts));
    assert!(!may_read(phase(CloseMode::WhenIdle, true), &facts));
    assert!(may_read(phase(CloseMode::WhenIdle, true), &resting(facts.now)));
    assert!(!may_read(phase(CloseMode::WhenIdle, false), &ConnectionFacts { process_ends: true, ..facts }));
}

#[test]
fn who_says_nothing_good_is_waited_for_so_long_and_a_long_command_longer() {
    let facts = resting(Instant::now());
    assert_eq!(given_up_at(&facts), None, "one that has been of use may rest");
    let silent = ConnectionFacts { heard: false, ..facts };
    let halfway = ConnectionFacts { in_command: true, ..facts };
    assert_eq!([given_up_at(&silent), given_up_at(&halfway)], [Some(facts.since + PATIENCE); 2]);
    let malformed = ConnectionFacts { malformed: Some(facts.now), owes: true, ..facts };
    assert_eq!(given_up_at(&malformed), Some(facts.now + PARTING));
    let long = |has_places, read_at| {
        let long_command = Some(LongCommand { length: 1 << 20, has_places });
        given_up_at(&ConnectionFacts { long_command, read_at, ..halfway })
    };
    let usual = facts.since + PATIENCE;
    assert_eq!(long(false, facts.now), Some(usual + Duration::from_secs(4)), "it waits for places");
    assert_eq!(long(true, facts.now), Some(usual));
    assert_eq!(long(true, usual), Some(usual + PAUSE), "it keeps coming");
}
