//! Checks the four rules of a node from outside: from the servers' records and the clients' requests.
//!
//! A time limit counts as violated only if it is exceeded by more than an allowance for the time spent in sockets and
//! the scheduling delay of the stand-ins. Times are in microseconds.
//!
//! 1. Each request that the node accepts gets exactly one answer of its own in time.
//! 2. An unsafe or keyed write takes effect at most once, and a refused unsafe one never.
//! 3. A server gets no new requests after the node was told that it drains or is removed, and a grace time.
//! 4. A cold server is not overloaded.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use crate::clients::{ClientRequest, Outcome, RequestKind, SOCKET_SLACK_US, UNFINISHED_ANSWER_GRACE_US};
use crate::clock::Micros;
use crate::record::{Event, Record, ServerState};

/// How much the remaining time that a server is sent may exceed that of the client, in microseconds.
const DEADLINE_SLACK_US: Micros = 150_000;
/// How long after its client abandoned a request an attempt may still start, in microseconds.
const ABANDONED_SLACK_US: Micros = 100_000;

/// A violated rule. Durations are in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// Rule 1: an accepted request got no answer, or one that is not its own.
    Unanswered(String, Outcome),
    /// Rule 1: a request's answer was late by this time.
    Late(String, Micros),
    /// Rule 1: this number of unsolicited answers arrived.
    UnsolicitedAnswers(u64),
    /// Rule 2: an unsafe or keyed write took effect this number of times.
    ExecutedRepeatedly(String, usize),
    /// Rule 2: an unsafe write that took effect was refused.
    RefusedButExecuted(String),
    /// Rule 3: a server got a new request this time after the node was told that it drains or is removed.
    SentAfterDrain(Arc<str>, Micros),
    /// A server was sent a remaining time longer by this than what the client had left.
    DeadlineTooLong(String, Micros),
    /// A server got a request this time after its client had abandoned it.
    SentAfterAbandoned(String, Micros),
    /// Rule 4: a cold server was overloaded and failed.
    Overloaded(Arc<str>),
    /// Protocol: a server got a command that no client sends.
    InvalidCommand(Arc<str>, String),
    /// The records are incomplete: this number was dropped.
    RecordsDropped(usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Unanswered(id, outcome) => write!(f, "rule 1: request {id} ended {outcome:?}"),
            Violation::Late(id, by) => write!(f, "rule 1: request {id} was answered {by} us late"),
            Violation::UnsolicitedAnswers(n) => write!(f, "rule 1: {n} unsolicited answers"),
            Violation::ExecutedRepeatedly(id, n) => write!(f, "rule 2: write {id} was executed {n} times"),
            Violation::RefusedButExecuted(id) => {
                write!(f, "rule 2: unsafe request {id} was executed and refused")
            }
            Violation::SentAfterDrain(server, by) => {
                write!(
                    f,
                    "rule 3: {server} was sent a new request {by} us after its drain or removal was announced"
                )
            }
            Violation::DeadlineTooLong(id, by) => {
                write!(f, "deadline: a server was sent a remaining time {by} us longer than {id} had left")
            }
            Violation::SentAfterAbandoned(id, by) => {
                write!(
                    f,
                    "cancellation: {id} was sent to a server {by} us after its client had closed the connection"
                )
            }
            Violation::Overloaded(server) => {
                write!(f, "rule 4: cold server {server} was overloaded and failed")
            }
            Violation::InvalidCommand(server, words) => {
                write!(f, "protocol: {server} got the invalid command {words:?}")
            }
            Violation::RecordsDropped(n) => write!(f, "{n} records were dropped because the log was full"),
        }
    }
}

/// Checks all rules. A server may be sent new requests for `drain_grace` microseconds after the node was told of its
/// drain. `dropped` is the number of records that are missing.
pub fn check(
    (records, dropped): (&[Record], usize),
    requests: &[ClientRequest],
    unsolicited_answers: u64,
    drain_grace: Micros,
) -> Vec<Violation> {
    let mut violations: Vec<Violation> = requests.iter().filter_map(check_answer).collect();
    violations
        .extend((unsolicited_answers > 0).then_some(Violation::UnsolicitedAnswers(unsolicited_answers)));
    violations.extend((dropped > 0).then_some(Violation::RecordsDropped(dropped)));
    check_lost_after_read(records, requests, &mut violations);
    check_truncated(records, requests, &mut violations);
    check_effects(records, requests, &mut violations);
    check_drains(records, drain_grace, &mut violations);
    check_deadlines(records, requests, &mut violations);
    for record in records {
        match &record.event {
            Event::Overloaded => violations.push(Violation::Overloaded(record.server.clone())),
            Event::InvalidCommand(words) => {
                violations.push(Violation::InvalidCommand(record.server.clone(), words.clone()))
            }
            _ => {}
        }
    }
    violations
}

/// Rule 1: an answer in time.
fn check_answer(request: &ClientRequest) -> Option<Violation> {
    match request.outcome {
        Outcome::Unreached | Outcome::Abandoned => None, // not accepted by the node, or without a client that waits
        Outcome::WrongValue | Outcome::ConnectionClosed | Outcome::TimedOut => {
            Some(Violation::Unanswered(request.id.clone(), request.outcome))
        }
        // If a server truncated the answer, the node must still end it in time; if no server truncated it,
        // `check_truncated` reports it.
        Outcome::Truncated => {
            let late_by = request.ended.saturating_sub(request.sent + request.timeout);
            request
                .is_late(SOCKET_SLACK_US + UNFINISHED_ANSWER_GRACE_US)
                .then(|| Violation::Late(request.id.clone(), late_by))
        }
        Outcome::Served | Outcome::Refused | Outcome::Failed => {
            let late_by = request.ended.saturating_sub(request.sent + request.timeout);
            request.is_late(SOCKET_SLACK_US).then(|| Violation::Late(request.id.clone(), late_by))
        }
    }
}

/// Rule 1: a node must not close a connection after it has read a request from it. That it had is known if a server
/// received the request before the client sent it again.
fn check_lost_after_read(records: &[Record], requests: &[ClientRequest], violations: &mut Vec<Violation>) {
    let resent = requests.iter().filter_map(|request| Some((request.id.as_str(), request.resent?)));
    let resent: HashMap<&str, Micros> = resent.collect();
    let read_before_resend = records.iter().filter_map(|record| match &record.event {
        Event::Received(received) => {
            resent.get(received.id.as_str()).filter(|at| record.at < **at).map(|_| &received.id)
        }
        _ => None,
    });
    let lost: BTreeSet<&String> = read_before_resend.collect();
    violations
        .extend(lost.into_iter().map(|id| Violation::Unanswered(id.clone(), Outcome::ConnectionClosed)));
}

/// Rule 1: an answer that ends in the middle although no server truncated it.
fn check_truncated(records: &[Record], requests: &[ClientRequest], violations: &mut Vec<Violation>) {
    let truncated_by_server = records.iter().filter_map(|record| match &record.event {
        Event::AnswerHalted(received) => Some(received.id.as_str()),
        _ => None,
    });
    let truncated_by_server: BTreeSet<&str> = truncated_by_server.collect();
    let truncated_by_node = requests.iter().filter(|request| {
        request.outcome == Outcome::Truncated && !truncated_by_server.contains(request.id.as_str())
    });
    violations.extend(
        truncated_by_node.map(|request| Violation::Unanswered(request.id.clone(), Outcome::Truncated)),
    );
}

/// Rule 2: effects of writes.
fn check_effects(records: &[Record], requests: &[ClientRequest], violations: &mut Vec<Violation>) {
    let mut executions: HashMap<&str, usize> = HashMap::new();
    for record in records {
        if let Event::Executed(received) = &record.event
            && received.is_write
        {
            *executions.entry(received.idempotency_key.as_ref().unwrap_or(&received.id)).or_default() += 1;
        }
    }
    let repeated = executions.iter().filter(|(_, n)| **n > 1);
    violations.extend(repeated.map(|(id, n)| Violation::ExecutedRepeatedly((*id).to_owned(), *n)));
    let refused = requests
        .iter()
        .filter(|request| request.kind == RequestKind::Unsafe && request.outcome == Outcome::Refused);
    let executed = refused.filter(|request| executions.contains_key(request.id.as_str()));
    violations.extend(executed.map(|request| Violation::RefusedButExecuted(request.id.clone())));
}

/// Rule 3: new requests to draining or removed servers.
fn check_drains(records: &[Record], drain_grace: Micros, violations: &mut Vec<Violation>) {
    // When the node was first told that a server drains or is removed.
    let mut drain_announced: HashMap<&str, Micros> = HashMap::new();
    for Record { at, scheduling_delay, server, event } in records {
        match event {
            Event::StateSent(ServerState::Serving) => _ = drain_announced.remove(&**server),
            Event::StateSent(ServerState::Draining | ServerState::Deleted) => {
                _ = drain_announced.entry(server).or_insert(*at)
            }
            Event::FirstByte => {
                let since = drain_announced
                    .get(&**server)
                    .map_or(0, |announced| at.saturating_sub(announced + scheduling_delay));
                if since > drain_grace + SOCKET_SLACK_US {
                    violations.push(Violation::SentAfterDrain(server.clone(), since));
                }
            }
            _ => {}
        }
    }
}

/// The remaining times that servers were sent, and the requests that they got for clients that had abandoned them.
fn check_deadlines(records: &[Record], requests: &[ClientRequest], violations: &mut Vec<Violation>) {
    let requests: HashMap<&str, &ClientRequest> =
        requests.iter().map(|request| (request.id.as_str(), request)).collect();
    for Record { at, scheduling_delay, event, .. } in records {
        let Event::Received(received) = event else { continue };
        // Attempts that belong to the first, closed connection are judged by `check_lost_after_read`.
        let Some(request) = requests.get(received.id.as_str()).filter(|request| *at >= request.sent) else {
            continue;
        };
        let scheduling_delay = scheduling_delay + request.scheduling_delay;
        let remaining = (request.sent + request.timeout).saturating_sub(*at);
        let sent_remaining = received.time_left.unwrap_or(0);
        if sent_remaining > remaining + DEADLINE_SLACK_US + scheduling_delay {
            violations.push(Violation::DeadlineTooLong(request.id.clone(), sent_remaining - remaining));
        }
        if let Some(abandoned) =
            request.abandoned.filter(|abandoned| *at > abandoned + ABANDONED_SLACK_US + scheduling_delay)
        {
            violations.push(Violation::SentAfterAbandoned(request.id.clone(), at - abandoned));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::ReceivedRequest;

    fn request(outcome: Outcome, kind: RequestKind, ended: Micros) -> ClientRequest {
        ClientRequest {
            id: "i".into(),
            class: 0,
            kind,
            sent: 0,
            resent: None,
            timeout: 1000,
            ended,
            abandoned: None,
            scheduling_delay: 100,
            outcome,
        }
    }

    fn record(at: Micros, event: Event) -> Record {
        Record { at, scheduling_delay: 100, server: "box-0".into(), event }
    }

    fn received(write: bool, facts: &str) -> ReceivedRequest {
        ReceivedRequest::new("k", "i", facts, write)
    }

    fn verdict(records: &[Record], requests: &[ClientRequest]) -> Vec<Violation> {
        check((records, 0), requests, 0, 1000)
    }

    #[test]
    fn an_accepted_request_without_its_answer_in_time_is_reported() {
        assert_eq!(
            verdict(&[], &[request(Outcome::Served, RequestKind::Read, 1000 + SOCKET_SLACK_US + 100)]),
            []
        );
        let late = verdict(&[], &[request(Outcome::Failed, RequestKind::Read, 1000 + SOCKET_SLACK_US + 101)]);
        assert_eq!(late, [Violation::Late("i".into(), SOCKET_SLACK_US + 101)]);
        for outcome in [Outcome::ConnectionClosed, Outcome::TimedOut, Outcome::WrongValue] {
            assert_eq!(
                verdict(&[], &[request(outcome, RequestKind::Read, 0)]),
                [Violation::Unanswered("i".into(), outcome)]
            );
        }
        assert_eq!(verdict(&[], &[request(Outcome::Unreached, RequestKind::Read, 0)]), []);
        assert_eq!(check((&[], 0), &[], 2, 0), [Violation::UnsolicitedAnswers(2)]);
        assert_eq!(check((&[], 3), &[], 0, 0), [Violation::RecordsDropped(3)]);
    }

    #[test]
    fn a_request_that_was_read_before_its_connection_closed_is_reported_as_lost() {
        let resent = ClientRequest { resent: Some(500), ..request(Outcome::Served, RequestKind::Read, 700) };
        let seen = |at| record(at, Event::Received(received(false, "d=1")));
        assert_eq!(verdict(&[seen(600)], std::slice::from_ref(&resent)), []);
        assert_eq!(
            verdict(&[seen(400), seen(450), seen(600)], &[resent]),
            [Violation::Unanswered("i".into(), Outcome::ConnectionClosed)]
        );
    }

    #[test]
    fn a_write_that_runs_twice_or_runs_and_is_refused_is_reported() {
        let ran = |facts: &str| record(0, Event::Executed(received(true, facts)));
        assert_eq!(verdict(&[ran("d=1"), ran("d=1")], &[]), [Violation::ExecutedRepeatedly("i".into(), 2)]);
        assert_eq!(verdict(&[ran("k=x"), ran("k=x")], &[]), [Violation::ExecutedRepeatedly("x".into(), 2)]);
        let discarded = record(0, Event::Discarded(received(true, "k=x")));
        assert_eq!(verdict(&[ran("k=x"), discarded], &[]), []);
        let reads = vec![record(0, Event::Executed(received(false, "d=1"))); 2];
        assert_eq!(verdict(&reads, &[]), []);
        let refused = request(Outcome::Refused, RequestKind::Unsafe, 0);
        assert_eq!(
            verdict(&[ran("d=1")], std::slice::from_ref(&refused)),
            [Violation::RefusedButExecuted("i".into())]
        );
        assert_eq!(verdict(&[], &[refused]), []);
    }

    #[test]
    fn a_new_request_to_a_server_long_after_its_drain_was_announced_is_reported() {
        let limit = 1000 + SOCKET_SLACK_US + 100;
        for state in [ServerState::Draining, ServerState::Deleted] {
            let announced = record(500, Event::StateSent(state));
            let (in_time, late) =
                (record(500 + limit, Event::FirstByte), record(501 + limit, Event::FirstByte));
            assert_eq!(verdict(&[announced.clone(), in_time], &[]), []);
            assert_eq!(verdict(&[announced.clone(), late.clone()], &[]).len(), 1);
            let repeated = record(600, Event::StateSent(state));
            assert_eq!(
                verdict(&[announced.clone(), repeated, late.clone()], &[]).len(),
                1,
                "the first announcement counts"
            );
            let back = record(600, Event::StateSent(ServerState::Serving));
            assert_eq!(verdict(&[announced, back, late], &[]), []);
        }
    }

    #[test]
    fn a_deadline_too_long_and_an_attempt_for_an_abandoned_request_are_reported() {
        let request =
            ClientRequest { timeout: 1_000_000, ..request(Outcome::Served, RequestKind::Read, 900_000) };
        let seen = |at| record(at, Event::Received(received(false, "d=500")));
        assert_eq!(verdict(&[seen(650_200)], std::slice::from_ref(&request)), []);
        let too_long = [Violation::DeadlineTooLong("i".into(), 150_201)];
        assert_eq!(verdict(&[seen(650_201)], std::slice::from_ref(&request)), too_long);
        let abandoned = ClientRequest { outcome: Outcome::Abandoned, abandoned: Some(200_000), ..request };
        assert_eq!(verdict(&[seen(300_200)], std::slice::from_ref(&abandoned)), []);
        let late_attempt = [Violation::SentAfterAbandoned("i".into(), 100_201)];
        assert_eq!(verdict(&[seen(300_201)], &[abandoned]), late_attempt);
    }

    #[test]
    fn an_overload_and_an_invalid_command_are_reported() {
        let records = [record(0, Event::Overloaded), record(0, Event::InvalidCommand("GET".into()))];
        assert_eq!(
            verdict(&records, &[]),
            [Violation::Overloaded("box-0".into()), Violation::InvalidCommand("box-0".into(), "GET".into())]
        );
    }
}
