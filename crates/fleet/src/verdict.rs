//! The four rules, checked from outside: from what the stand-ins and the clients saw.
//!
//! A time limit is broken only if it is broken by more than what sockets allow and than what may have been seen
//! late.

use std::collections::{BTreeSet, HashMap};
use std::fmt;
use std::sync::Arc;

use crate::clients::{BROKEN_END, ClientRequest, Kind, Outcome, SLACK};
use crate::clock::Micros;
use crate::record::{Event, Record, ServerState};

/// What the time that a server is told may exceed what its client has left, in microseconds.
const DEADLINE_SLACK: Micros = 150_000;
/// An attempt may begin so long after its client has left, in microseconds.
const LEFT_SLACK: Micros = 100_000;

/// A broken rule.
#[derive(Debug, Clone, PartialEq)]
pub enum Violation {
    /// Rule 1: a request that was taken got no answer in its time, or another's.
    Unanswered(String, Outcome),
    /// Rule 1: its answer came so much late, in microseconds.
    Late(String, Micros),
    /// Rule 1: answers that nobody had asked for.
    Doubled(u64),
    /// Rule 2: an unsafe request, or a keyed one, had its effect so many times.
    RanTwice(String, usize),
    /// Rule 2: an unsafe request that had its effect was refused.
    RefusedButRan(String),
    /// Rule 3: a server got something new so long after word that it drains or is gone, in microseconds.
    SentAfterDrain(Arc<str>, Micros),
    /// A server was told so much more time than the client had left, in microseconds.
    ToldTooLong(String, Micros),
    /// A server was asked so long after the client had left, in microseconds.
    ForNobody(String, Micros),
    /// Rule 4: a cold server was pushed over.
    PushedOver(Arc<str>),
    /// The protocol: a server got what no client sent.
    Syntax(Arc<str>, String),
    /// The records are not whole: so many had no room.
    Unseen(usize),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::Unanswered(id, end) => write!(f, "rule 1: request {id} ended {end:?}"),
            Violation::Late(id, by) => write!(f, "rule 1: request {id} was answered {by} us late"),
            Violation::Doubled(n) => write!(f, "rule 1: {n} answers that nobody asked for"),
            Violation::RanTwice(id, n) => write!(f, "rule 2: {id} ran {n} times"),
            Violation::RefusedButRan(id) => write!(f, "rule 2: unsafe request {id} ran and was refused"),
            Violation::SentAfterDrain(server, by) => {
                write!(f, "rule 3: {server} was sent to {by} us after word")
            }
            Violation::ToldTooLong(id, by) => {
                write!(f, "deadline: a server was told {by} us more than {id} had left")
            }
            Violation::ForNobody(id, by) => {
                write!(f, "lost: {id} was sent on {by} us after its client had gone")
            }
            Violation::PushedOver(server) => write!(f, "rule 4: {server} was pushed over"),
            Violation::Syntax(server, words) => write!(f, "protocol: {server} got {words:?}"),
            Violation::Unseen(n) => write!(f, "{n} records had no room"),
        }
    }
}

/// Checks all rules; a server may be sent something new for `grace` microseconds after word.
pub fn check(
    (records, dropped): (&[Record], usize),
    asks: &[ClientRequest],
    doubled: u64,
    grace: Micros,
) -> Vec<Violation> {
    let mut broken: Vec<Violation> = asks.iter().filter_map(answered).collect();
    broken.extend((doubled > 0).then_some(Violation::Doubled(doubled)));
    broken.extend((dropped > 0).then_some(Violation::Unseen(dropped)));
    read_and_lost(records, asks, &mut broken);
    broken_off(records, asks, &mut broken);
    effects(records, asks, &mut broken);
    drains(records, grace, &mut broken);
    deadlines(records, asks, &mut broken);
    for record in records {
        match &record.event {
            Event::PushedOver => broken.push(Violation::PushedOver(record.server.clone())),
            Event::Syntax(words) => broken.push(Violation::Syntax(record.server.clone(), words.clone())),
            _ => {}
        }
    }
    broken
}

/// Rule 1.
fn answered(ask: &ClientRequest) -> Option<Violation> {
    match ask.outcome {
        Outcome::Unreached | Outcome::Abandoned => None, // not taken, or nobody is owed an answer
        Outcome::WrongValue | Outcome::ConnectionClosed | Outcome::TimedOut => {
            Some(Violation::Unanswered(ask.id.clone(), ask.outcome))
        }
        // A server may have broken it off; then its end is due in time.
        Outcome::Truncated => {
            let by = ask.ended.saturating_sub(ask.sent + ask.timeout);
            ask.is_late(SLACK + BROKEN_END).then(|| Violation::Late(ask.id.clone(), by))
        }
        Outcome::Served | Outcome::Refused | Outcome::Failed => {
            let by = ask.ended.saturating_sub(ask.sent + ask.timeout);
            ask.is_late(SLACK).then(|| Violation::Late(ask.id.clone(), by))
        }
    }
}

/// Rule 1: a connection closed with a request that the node had read, which shows in a server that saw it.
fn read_and_lost(records: &[Record], asks: &[ClientRequest], broken: &mut Vec<Violation>) {
    let resent = asks.iter().filter_map(|ask| Some((ask.id.as_str(), ask.resent?)));
    let resent: HashMap<&str, Micros> = resent.collect();
    let seen = records.iter().filter_map(|record| match &record.event {
        Event::Received(asked) => {
            resent.get(asked.id.as_str()).filter(|at| record.at < **at).map(|_| &asked.id)
        }
        _ => None,
    });
    let lost: BTreeSet<&String> = seen.collect();
    broken.extend(lost.into_iter().map(|id| Violation::Unanswered(id.clone(), Outcome::ConnectionClosed)));
}

/// Rule 1: an answer that ends in the middle, though no server broke it off.
fn broken_off(records: &[Record], asks: &[ClientRequest], broken: &mut Vec<Violation>) {
    let by_servers = records.iter().filter_map(|record| match &record.event {
        Event::AnswerHalted(asked) => Some(asked.id.as_str()),
        _ => None,
    });
    let by_servers: BTreeSet<&str> = by_servers.collect();
    let ended =
        asks.iter().filter(|ask| ask.outcome == Outcome::Truncated && !by_servers.contains(ask.id.as_str()));
    broken.extend(ended.map(|ask| Violation::Unanswered(ask.id.clone(), Outcome::Truncated)));
}

/// Rule 2.
fn effects(records: &[Record], asks: &[ClientRequest], broken: &mut Vec<Violation>) {
    let mut runs: HashMap<&str, usize> = HashMap::new();
    for record in records {
        if let Event::Executed(asked) = &record.event
            && asked.write
        {
            *runs.entry(asked.idempotency.as_ref().unwrap_or(&asked.id)).or_default() += 1;
        }
    }
    let twice = runs.iter().filter(|(_, n)| **n > 1);
    broken.extend(twice.map(|(id, n)| Violation::RanTwice((*id).to_owned(), *n)));
    let refused = asks.iter().filter(|ask| ask.kind == Kind::Unsafe && ask.outcome == Outcome::Refused);
    let ran = refused.filter(|ask| runs.contains_key(ask.id.as_str()));
    broken.extend(ran.map(|ask| Violation::RefusedButRan(ask.id.clone())));
}

/// Rule 3.
fn drains(records: &[Record], grace: Micros, broken: &mut Vec<Violation>) {
    let mut told: HashMap<&str, Micros> = HashMap::new();
    for Record { at, scheduling_delay: late, server, event } in records {
        match event {
            Event::StateSent(ServerState::Serving) => _ = told.remove(&**server),
            Event::StateSent(ServerState::Draining | ServerState::Deleted) => {
                _ = told.entry(server).or_insert(*at)
            }
            Event::FirstByte => {
                let since = told.get(&**server).map_or(0, |told| at.saturating_sub(told + late));
                if since > grace + SLACK {
                    broken.push(Violation::SentAfterDrain(server.clone(), since));
                }
            }
            _ => {}
        }
    }
}

/// What servers were told of deadlines, and what they were asked for clients that had left.
fn deadlines(records: &[Record], asks: &[ClientRequest], broken: &mut Vec<Violation>) {
    let asks: HashMap<&str, &ClientRequest> = asks.iter().map(|ask| (ask.id.as_str(), ask)).collect();
    for Record { at, scheduling_delay: late, event, .. } in records {
        let Event::Received(asked) = event else { continue };
        // What came by its first connection is another rule's.
        let Some(ask) = asks.get(asked.id.as_str()).filter(|ask| *at >= ask.sent) else { continue };
        let late = late + ask.scheduling_delay;
        let left = (ask.sent + ask.timeout).saturating_sub(*at);
        let told = asked.time_left.unwrap_or(0);
        if told > left + DEADLINE_SLACK + late {
            broken.push(Violation::ToldTooLong(ask.id.clone(), told - left));
        }
        if let Some(left) = ask.abandoned.filter(|left| *at > left + LEFT_SLACK + late) {
            broken.push(Violation::ForNobody(ask.id.clone(), at - left));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Asked;

    fn ask(end: Outcome, kind: Kind, took: Micros) -> ClientRequest {
        let (resent, left) = (None, None);
        ClientRequest {
            id: "i".into(),
            class: 0,
            kind,
            sent: 0,
            resent,
            timeout: 1000,
            ended: took,
            abandoned: left,
            scheduling_delay: 100,
            outcome: end,
        }
    }

    fn record(at: Micros, event: Event) -> Record {
        Record { at, scheduling_delay: 100, server: "box-0".into(), event }
    }

    fn asked(write: bool, facts: &str) -> Asked {
        Asked::new("k", "i", facts, write)
    }

    fn verdict(records: &[Record], asks: &[ClientRequest]) -> Vec<Violation> {
        check((records, 0), asks, 0, 1000)
    }

    #[test]
    fn one_answer_in_time_is_owed_to_each_that_was_taken() {
        assert_eq!(verdict(&[], &[ask(Outcome::Served, Kind::Read, 1000 + SLACK + 100)]), []);
        let late = verdict(&[], &[ask(Outcome::Failed, Kind::Read, 1000 + SLACK + 101)]);
        assert_eq!(late, [Violation::Late("i".into(), SLACK + 101)]);
        for end in [Outcome::ConnectionClosed, Outcome::TimedOut, Outcome::WrongValue] {
            assert_eq!(verdict(&[], &[ask(end, Kind::Read, 0)]), [Violation::Unanswered("i".into(), end)]);
        }
        assert_eq!(verdict(&[], &[ask(Outcome::Unreached, Kind::Read, 0)]), []);
        assert_eq!(check((&[], 0), &[], 2, 0), [Violation::Doubled(2)]);
        assert_eq!(check((&[], 3), &[], 0, 0), [Violation::Unseen(3)]);
    }

    #[test]
    fn a_request_that_was_read_before_its_connection_closed_is_lost() {
        let again = ClientRequest { resent: Some(500), ..ask(Outcome::Served, Kind::Read, 700) };
        let seen = |at| record(at, Event::Received(asked(false, "d=1")));
        assert_eq!(verdict(&[seen(600)], std::slice::from_ref(&again)), []);
        assert_eq!(
            verdict(&[seen(400), seen(450), seen(600)], &[again]),
            [Violation::Unanswered("i".into(), Outcome::ConnectionClosed)]
        );
    }

    #[test]
    fn no_effect_happens_twice_and_none_is_refused() {
        let ran = |facts: &str| record(0, Event::Executed(asked(true, facts)));
        assert_eq!(verdict(&[ran("d=1"), ran("d=1")], &[]), [Violation::RanTwice("i".into(), 2)]);
        assert_eq!(verdict(&[ran("k=x"), ran("k=x")], &[]), [Violation::RanTwice("x".into(), 2)]);
        let discarded = record(0, Event::Discarded(asked(true, "k=x")));
        assert_eq!(verdict(&[ran("k=x"), discarded], &[]), []);
        let reads = vec![record(0, Event::Executed(asked(false, "d=1"))); 2];
        assert_eq!(verdict(&reads, &[]), []);
        let refused = ask(Outcome::Refused, Kind::Unsafe, 0);
        assert_eq!(
            verdict(&[ran("d=1")], std::slice::from_ref(&refused)),
            [Violation::RefusedButRan("i".into())]
        );
        assert_eq!(verdict(&[], &[refused]), []);
    }

    #[test]
    fn nothing_new_goes_to_a_server_long_after_word_of_its_drain() {
        let limit = 1000 + SLACK + 100;
        for word in [ServerState::Draining, ServerState::Deleted] {
            let told = record(500, Event::StateSent(word));
            let (kept, late) = (record(500 + limit, Event::FirstByte), record(501 + limit, Event::FirstByte));
            assert_eq!(verdict(&[told.clone(), kept], &[]), []);
            assert_eq!(verdict(&[told.clone(), late.clone()], &[]).len(), 1);
            let again = record(600, Event::StateSent(word));
            assert_eq!(verdict(&[told.clone(), again, late.clone()], &[]).len(), 1, "the first word counts");
            let back = record(600, Event::StateSent(ServerState::Serving));
            assert_eq!(verdict(&[told, back, late], &[]), []);
        }
    }

    #[test]
    fn no_server_is_told_more_than_the_client_has_left_nor_asked_for_one_that_has_gone() {
        let ask = ClientRequest { timeout: 1_000_000, ..ask(Outcome::Served, Kind::Read, 900_000) };
        let seen = |at| record(at, Event::Received(asked(false, "d=500")));
        assert_eq!(verdict(&[seen(650_200)], std::slice::from_ref(&ask)), []);
        let long = [Violation::ToldTooLong("i".into(), 150_201)];
        assert_eq!(verdict(&[seen(650_201)], std::slice::from_ref(&ask)), long);
        let gone = ClientRequest { outcome: Outcome::Abandoned, abandoned: Some(200_000), ..ask };
        assert_eq!(verdict(&[seen(300_200)], std::slice::from_ref(&gone)), []);
        let nobody = [Violation::ForNobody("i".into(), 100_201)];
        assert_eq!(verdict(&[seen(300_201)], &[gone]), nobody);
    }

    #[test]
    fn a_fall_and_bad_syntax_are_told() {
        let records = [record(0, Event::PushedOver), record(0, Event::Syntax("GET".into()))];
        assert_eq!(
            verdict(&records, &[]),
            [Violation::PushedOver("box-0".into()), Violation::Syntax("box-0".into(), "GET".into())]
        );
    }
}
