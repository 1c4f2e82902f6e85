//! What came to the stand-ins, in the order in which they saw it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::clock::{Clock, Micros};

/// No more records than this are kept; those beyond are counted.
const MOST: usize = 1 << 20;

/// Something that a stand-in saw.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// When.
    pub at: Micros,
    /// How late it may have been seen.
    pub scheduling_delay: Micros,
    /// By which server.
    pub server: Arc<str>,
    /// What.
    pub event: Event,
}

/// What a stand-in can see.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The first byte of a command has come.
    FirstByte,
    /// A whole command has come.
    Received(Asked),
    /// It was carried out: a value found, or a write's effect.
    Executed(Asked),
    /// A write was known from its key and had no second effect.
    Discarded(Asked),
    /// An answer was sent once more, on a connection that was still open.
    AnswerRepeated(Asked),
    /// The beginning of a large value was sent, and no more will come.
    AnswerHalted(Asked),
    /// An answer of no told length broke off in the middle.
    AnswerCut(Asked),
    /// A command that no client sent in this form.
    Syntax(String),
    /// A cold box was pushed over.
    PushedOver,
    /// A node has called for the list, or for its changes.
    ListRequested {
        /// For the whole list.
        whole: bool,
    },
    /// Discovery has told a node that this server is in that state.
    StateSent(ServerState),
}

/// A request, as a server saw it.
#[derive(Debug, Clone, PartialEq)]
pub struct Asked {
    /// Its id.
    pub id: String,
    /// What it is about.
    pub key: String,
    /// Its class, if it names one.
    pub class: Option<String>,
    /// The key of a keyed write.
    pub idempotency: Option<String>,
    /// Whether it changes something.
    pub write: bool,
    /// How long its client still waits, as the server was told; nothing if it was not.
    pub time_left: Option<Micros>,
}

impl Asked {
    /// A request by its words: the facts are names and values, as in `c=read,d=480`.
    pub fn new(key: &str, id: &str, facts: &str, write: bool) -> Self {
        let fact = |name: &str| {
            let mut pairs = facts.split(',').filter_map(|fact| fact.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, value)| value.to_owned())
        };
        let milliseconds = fact("d").and_then(|wait| wait.parse::<f64>().ok());
        let time_left = milliseconds.map(|ms| (ms * 1e3) as Micros);
        Asked { id: id.into(), key: key.into(), class: fact("c"), idempotency: fact("k"), write, time_left }
    }
}

/// What discovery tells of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerState {
    /// In service.
    Serving,
    /// Finishing what it has.
    Draining,
    /// Gone.
    Deleted,
}

#[derive(Default)]
struct Book {
    records: Vec<Record>,
    dropped: usize,
}

/// Where stand-ins write what they see.
#[derive(Clone)]
pub struct Log {
    clock: Clock,
    book: Arc<Mutex<Book>>,
    kept: bool,
}

impl Log {
    /// An empty log. One that is not `kept` forgets all at once.
    pub fn new(clock: Clock, kept: bool) -> Self {
        Log { clock, book: Arc::default(), kept }
    }

    /// The clock of its records.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Notes what a server has seen now.
    pub fn record(&self, server: &Arc<str>, event: Event) {
        if !self.kept {
            return;
        }
        let record = Record {
            at: self.clock.now(),
            scheduling_delay: self.clock.late(),
            server: server.clone(),
            event,
        };
        let mut book = self.book();
        match book.records.len() < MOST {
            true => book.records.push(record),
            false => book.dropped += 1,
        }
    }

    /// All records so far, and how many there was no room for.
    pub fn records(&self) -> (Vec<Record>, usize) {
        let book = self.book();
        (book.records.clone(), book.dropped)
    }

    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
