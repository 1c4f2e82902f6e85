//! When a client connection is closed, when its commands are read, and when it times out.

use std::time::Duration;

use lilacquay_fronts::close_policy::{
    COMMAND_TIMEOUT, CloseDecision, ClosePolicy, ConnectionState, LEAVE_CLOSE_TIMEOUT, LongCommand,
    MALFORMED_COMMAND_TIMEOUT, MAX_LONG_COMMAND_PAUSE, NEW_CONNECTION_GRACE, may_read, times_out_at,
};
use lilacquay_fronts::close_reason::CloseReason;
use lilacquay_lifecycle::{CloseMode, ServiceMode};
use tokio::time::Instant;

/// A connection that rests between requests.
fn resting(now: Instant) -> ConnectionState {
    ConnectionState {
        now,
        connected_at: now - Duration::from_secs(10),
        last_progress_at: now,
        last_read_at: now,
        has_pending_response: false,
        in_command: false,
        has_sent_valid_command: true,
        has_opened_request: true,
        just_answered: false,
        malformed_at: None,
        quit_requested: false,
        process_ending: false,
        long_command: None,
    }
}

fn service_mode(close_mode: CloseMode, accepts_connections: bool) -> ServiceMode {
    ServiceMode { close_mode, accepts_connections, ..ServiceMode::default() }
}

fn decide(close_mode: CloseMode, accepts_connections: bool, state: ConnectionState) -> CloseDecision {
    ClosePolicy::default().decide(service_mode(close_mode, accepts_connections), &state)
}

#[test]
fn a_connection_with_a_pending_response_or_a_partial_command_is_never_closed() {
    let now = Instant::now();
    let all = [CloseMode::KeepOpen, CloseMode::AfterAnswer, CloseMode::WhenIdle];
    for (close_mode, accepts) in
        all.into_iter().flat_map(|close_mode| [(close_mode, true), (close_mode, false)])
    {
        let pending = ConnectionState {
            has_pending_response: true,
            quit_requested: true,
            process_ending: true,
            malformed_at: Some(now),
            just_answered: true,
            ..resting(now)
        };
        assert_eq!(decide(close_mode, accepts, pending), CloseDecision::KeepOpen);
        let in_command = ConnectionState { in_command: true, just_answered: true, ..resting(now) };
        assert_eq!(decide(close_mode, accepts, in_command), CloseDecision::KeepOpen);
    }
}

#[test]
fn a_connection_is_closed_for_its_own_reasons_once_no_response_is_pending() {
    let state = resting(Instant::now());
    for (state, reason) in [
        (ConnectionState { malformed_at: Some(state.now), ..state }, CloseReason::MalformedCommand),
        (ConnectionState { quit_requested: true, ..state }, CloseReason::ClientQuit),
        (ConnectionState { process_ending: true, in_command: true, ..state }, CloseReason::ProcessEnding),
    ] {
        assert_eq!(decide(CloseMode::KeepOpen, true, state), CloseDecision::Close(reason));
    }
    assert_eq!(decide(CloseMode::KeepOpen, true, state), CloseDecision::KeepOpen);
}

#[test]
fn a_node_that_leaves_or_shuts_down_checks_for_unread_input_before_it_closes() {
    let state = resting(Instant::now());
    let answered = ConnectionState { just_answered: true, ..state };
    assert_eq!(decide(CloseMode::AfterAnswer, false, state), CloseDecision::KeepOpen);
    assert_eq!(decide(CloseMode::AfterAnswer, false, answered), CloseDecision::CloseIfNothingToRead);
    assert_eq!(decide(CloseMode::WhenIdle, false, state), CloseDecision::CloseIfNothingToRead);
    let new = ConnectionState {
        has_sent_valid_command: false,
        has_opened_request: false,
        connected_at: state.now,
        ..state
    };
    assert_eq!(
        decide(CloseMode::WhenIdle, false, new),
        CloseDecision::RecheckAt(new.connected_at + NEW_CONNECTION_GRACE)
    );
}

#[test]
fn a_client_that_always_sends_is_disconnected_only_by_a_node_that_keeps_running() {
    for (accepts, after) in [
        (true, CloseDecision::Close(CloseReason::ShuttingDown)),
        (false, CloseDecision::CloseIfNothingToRead),
    ] {
        let (mut policy, state) = (ClosePolicy::default(), resting(Instant::now()));
        let mut decide = |time| {
            let state = ConnectionState { now: state.now + time, ..state };
            policy.decide(service_mode(CloseMode::WhenIdle, accepts), &state)
        };
        assert_eq!(decide(Duration::ZERO), CloseDecision::CloseIfNothingToRead);
        assert_eq!(
            decide(LEAVE_CLOSE_TIMEOUT - Duration::from_millis(1)),
            CloseDecision::CloseIfNothingToRead
        );
        assert_eq!(decide(LEAVE_CLOSE_TIMEOUT), after);
    }
}

#[test]
fn a_node_that_shuts_down_reads_behind_pending_responses_and_one_that_leaves_service_does_not() {
    let state = ConnectionState { has_pending_response: true, ..resting(Instant::now()) };
    assert!(may_read(service_mode(CloseMode::KeepOpen, true), &state));
    assert!(may_read(service_mode(CloseMode::WhenIdle, false), &state));
    assert!(!may_read(service_mode(CloseMode::WhenIdle, true), &state));
    assert!(may_read(service_mode(CloseMode::WhenIdle, true), &resting(state.now)));
    assert!(!may_read(
        service_mode(CloseMode::WhenIdle, false),
        &ConnectionState { process_ending: true, ..state }
    ));
}

#[test]
fn a_client_without_progress_times_out_and_a_long_command_gets_more_time() {
    let state = resting(Instant::now());
    assert_eq!(times_out_at(&state), None, "a client that has sent a valid command may rest");
    let silent = ConnectionState { has_sent_valid_command: false, ..state };
    let partial = ConnectionState { in_command: true, ..state };
    assert_eq!(
        [times_out_at(&silent), times_out_at(&partial)],
        [Some(state.last_progress_at + COMMAND_TIMEOUT); 2]
    );
    let malformed = ConnectionState { malformed_at: Some(state.now), has_pending_response: true, ..state };
    assert_eq!(times_out_at(&malformed), Some(state.now + MALFORMED_COMMAND_TIMEOUT));
    let (usual, second) = (state.last_progress_at + COMMAND_TIMEOUT, Duration::from_secs(1));
    let long = |waits_for_memory, waited, last_read_at| {
        let long_command = Some(LongCommand { length: 1 << 20, waits_for_memory, waited });
        times_out_at(&ConnectionState { long_command, last_read_at, ..partial })
    };
    assert_eq!(long(true, Duration::ZERO, state.now), None, "the wait for memory has a bound of its own");
    assert_eq!(long(false, Duration::ZERO, state.now), Some(usual));
    let keeps_arriving = long(false, Duration::ZERO, usual);
    assert_eq!(keeps_arriving, Some(usual + MAX_LONG_COMMAND_PAUSE));
    let trickles = long(false, Duration::ZERO, usual + 9 * second);
    assert_eq!(trickles, Some(usual + 4 * second), "for its length");
    let waited = long(false, second, usual + 9 * second);
    assert_eq!(waited, Some(usual + 5 * second), "and for the time it has waited");
}
