//! A log of the events that the stand-in servers see, in the order in which they see them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::{Clock, Micros};

/// Maximum number of records kept; those beyond it are only counted.
const MAX_RECORDS: usize = 1 << 20;

/// An event with its time and server.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// When it was seen.
    pub at: Micros,
    /// Upper bound on how much later than it happened it was seen, in microseconds.
    pub scheduling_delay: Micros,
    /// Name of the server that saw it.
    pub server: Arc<str>,
    /// What was seen.
    pub event: Event,
}

/// What a stand-in server can record.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The first byte of a command was received.
    FirstByte,
    /// A complete command was received.
    Received(ReceivedRequest),
    /// A request was executed: a value was found, or a write took effect.
    Executed(ReceivedRequest),
    /// A write was recognised by its idempotency key as a repeat and had no second effect.
    Discarded(ReceivedRequest),
    /// An answer was sent a second time, on a connection that was still open (fault `twice`).
    AnswerRepeated(ReceivedRequest),
    /// A value of a length that its client asked for was sent whole.
    LargeValueSent(ReceivedRequest),
    /// A large value is sent in pieces, with pauses (fault `pause`).
    AnswerPaused(ReceivedRequest),
    /// The node closed the connection before a large value with pauses was sent whole.
    ValueAbandoned(ReceivedRequest),
    /// The beginning of a large value was sent; the rest never will be (fault `halt`).
    AnswerHalted(ReceivedRequest),
    /// An answer without `Content-Length` ended in the middle (fault `cut`).
    AnswerCut(ReceivedRequest),
    /// A malformed or unknown command was received, which no client sends in this form.
    InvalidCommand(String),
    /// A cold box failed because the work that it was sent, summed over `overload_window`, exceeded `overload_factor`
    /// times its current capacity.
    Overloaded,
    /// A node requested the server list, or its changes.
    ListRequested {
        /// Whether it requested the full list.
        full: bool,
    },
    /// Discovery sent a node the state of this server.
    StateSent(ServerState),
}

/// A request as a server received it.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedRequest {
    /// Id that its client gave it.
    pub id: String,
    /// The cache key.
    pub key: String,
    /// Its class, if it carries one.
    pub class: Option<String>,
    /// The idempotency key of a keyed write.
    pub idempotency_key: Option<String>,
    /// Whether it is a write.
    pub is_write: bool,
    /// The remaining time until its client's deadline, as sent to the server; `None` if none was sent.
    pub time_left: Option<Micros>,
    /// The length of the value in bytes that its client asks for; values are short otherwise.
    pub value_bytes: Option<usize>,
}

impl ReceivedRequest {
    /// Parses a request's arguments. `facts` holds attributes as names and values, as in `c=read,d=480`: class `c`,
    /// time left `d` in milliseconds, idempotency key `k`, length of the value `size`.
    pub fn new(key: &str, id: &str, facts: &str, is_write: bool) -> Self {
        let fact = |name: &str| {
            let mut pairs = facts.split(',').filter_map(|fact| fact.split_once('='));
            pairs.find(|(fact, _)| *fact == name).map(|(_, value)| value.to_owned())
        };
        let milliseconds = fact("d").and_then(|wait| wait.parse::<f64>().ok());
        let time_left = milliseconds.map(|ms| (ms * 1e3) as Micros);
        ReceivedRequest {
            id: id.into(),
            key: key.into(),
            class: fact("c"),
            idempotency_key: fact("k"),
            is_write,
            time_left,
            value_bytes: fact("size").and_then(|size| size.parse().ok()),
        }
    }
}

/// The state of a server in the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// In service.
    Serving,
    /// Finishing its open requests; it must get no new ones.
    Draining,
    /// Removed from the list.
    Deleted,
}

#[derive(Default)]
struct Records {
    records: Vec<Record>,
    dropped: usize,
}

/// The log that the stand-in servers of a fleet share.
#[derive(Clone)]
pub struct Log {
    clock: Clock,
    records: Arc<Mutex<Records>>,
    enabled: bool,
}

impl Log {
    /// An empty log. With `enabled` false, nothing is kept.
    pub fn new(clock: Clock, enabled: bool) -> Self {
        Log { clock, records: Arc::default(), enabled }
    }

    /// The clock of its records.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Records an event that a server has seen now.
    pub fn record(&self, server: &Arc<str>, event: Event) {
        if !self.enabled {
            return;
        }
        let record = Record {
            at: self.clock.now(),
            scheduling_delay: self.clock.scheduling_delay(),
            server: server.clone(),
            event,
        };
        let mut log = self.lock();
        match log.records.len() < MAX_RECORDS {
            true => log.records.push(record),
            false => log.dropped += 1,
        }
    }

    /// All records so far, and the number of those dropped because the log was full.
    pub fn records(&self) -> (Vec<Record>, usize) {
        let log = self.lock();
        (log.records.clone(), log.dropped)
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
