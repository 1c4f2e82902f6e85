//! A node's life: what it answers to those who ask for it, whether it takes connections, and when it closes them.
//!
//! [`Life`] is told what happens, by whatever way it came: a signal, a call on the second address, an operator's
//! order. What follows at a time stands in its [`Bearing`], a level rather than a series of orders, so that nothing
//! is lost between two who act on it. No I/O, no clock, no thread: the time is handed in, in microseconds.
//!
//! ```text
//!              Ready            Leave
//!  Starting ─────────► Serving ───────► Leaving
//!     │                  ▲  │   Join       │
//!     │                  └──┼──────────────┘
//!     │ Stop           Stop │              │ Stop
//!     ▼                     ▼              ▼
//!   Ended ◄────────────── Finishing ◄──────┘
//!            Empty, or its time is over
//! ```

use std::fmt;

/// A time or a length of time, in microseconds.
pub type Micros = u64;

/// How long each step takes, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// After word to stop, connections that are on their way are still taken for so long, where no other process
    /// takes them.
    pub accept_on: Micros,
    /// While it leaves, connections are closed behind their answers from here on ...
    pub leave_softly: Micros,
    /// ... and those without a request from here on.
    pub leave_idle: Micros,
    /// After word to stop, connections without a request are closed from here on.
    pub finish_idle: Micros,
    /// After word to stop, it ends by then, whatever is open.
    pub finish: Micros,
}

/// What has become of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Not yet ready: it takes nobody.
    Starting,
    /// In service.
    Serving,
    /// Told to leave, since then; it may be told to join again.
    Leaving(Micros),
    /// Told to stop, since then: it answers what it has taken.
    Finishing {
        /// When it was told.
        since: Micros,
        /// Whether another process takes connections at the same address.
        shared: bool,
    },
    /// Over.
    Ended,
}

/// What happens to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// All of it runs.
    Ready,
    /// It is to leave service, and goes on running.
    Leave,
    /// It is to be in service again.
    Join,
    /// It is to end. `shared`: another process takes connections at the same address.
    Stop {
        /// Whether connections still to come are another's.
        shared: bool,
    },
    /// No connection is left, and none is taken any more.
    Empty,
    /// What it serves with has failed.
    Fail,
}

/// What is done about a client's connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Manner {
    /// It stays.
    #[default]
    Stay,
    /// It is closed behind the next answer, when its client is least likely to send.
    BehindAnswer,
    /// It is closed as soon as nothing is owed on it and nothing of a command has come.
    Idle,
}

/// What a node does at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Bearing {
    /// It takes connections.
    pub accepts: bool,
    /// It says yes to clients and fronts that ask for it (`PING`).
    pub says_yes: bool,
    /// It says yes on the second address.
    pub healthy: bool,
    /// What is done about connections.
    pub manner: Manner,
    /// It is over.
    pub ended: bool,
}

/// Why an event changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// It is not ready yet.
    Starting,
    /// It is ending and can't be called back.
    Ending,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refused::Starting => "it is still starting; ask again once it is ready",
            Refused::Ending => "it is ending and takes nobody back; start it anew",
        })
    }
}

impl std::error::Error for Refused {}

/// A node's life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Life {
    state: State,
    terms: Terms,
}

impl Life {
    /// One that starts.
    pub fn new(terms: Terms) -> Life {
        Life { state: State::Starting, terms }
    }

    /// What has become of it. Time alone ends it; see [`Life::bearing`].
    pub fn state(&self) -> State {
        self.state
    }

    /// Tells what happens. What has been done already is done once more without effect: to leave twice does not
    /// begin anew, to join in service changes nothing, a second word to stop is as the first.
    ///
    /// # Errors
    /// If it can't be done in this state; nothing has changed then.
    pub fn on(&mut self, now: Micros, event: Event) -> Result<(), Refused> {
        self.state = match (self.state, event) {
            (_, Event::Fail) => State::Ended,
            (State::Starting, Event::Ready) => State::Serving,
            (State::Starting, Event::Leave | Event::Join) => return Err(Refused::Starting),
            (State::Starting, Event::Stop { .. }) => State::Ended,
            (State::Serving, Event::Leave) => State::Leaving(now),
            (State::Leaving(_), Event::Join) => State::Serving,
            (State::Serving | State::Leaving(_), Event::Stop { shared }) => {
                State::Finishing { since: now, shared }
            }
            (State::Finishing { .. } | State::Ended, Event::Leave | Event::Join) => {
                return Err(Refused::Ending);
            }
            (State::Finishing { .. }, Event::Empty) if !self.bearing(now).accepts => State::Ended,
            (state, _) => state,
        };
        Ok(())
    }

    /// What it does at a time.
    pub fn bearing(&self, now: Micros) -> Bearing {
        let Terms { accept_on, leave_softly, leave_idle, finish_idle, finish } = self.terms;
        let past = |since: Micros, term: Micros| now >= since.saturating_add(term);
        match self.state {
            State::Starting => Bearing::default(),
            State::Serving => Bearing { accepts: true, says_yes: true, healthy: true, ..Bearing::default() },
            // It listens on: fronts ask for it, and it may join again.
            State::Leaving(since) => {
                let manner = match (past(since, leave_softly), past(since, leave_idle)) {
                    (_, true) => Manner::Idle,
                    (true, _) => Manner::BehindAnswer,
                    _ => Manner::Stay,
                };
                Bearing { accepts: true, manner, ..Bearing::default() }
            }
            State::Finishing { since, .. } if past(since, finish) => {
                Bearing { ended: true, manner: Manner::Idle, ..Bearing::default() }
            }
            State::Finishing { since, shared } => Bearing {
                accepts: !shared && !past(since, accept_on),
                // Who asks the pair on an old connection is told of the pair.
                says_yes: shared,
                manner: if past(since, finish_idle) { Manner::Idle } else { Manner::BehindAnswer },
                ..Bearing::default()
            },
            State::Ended => Bearing { ended: true, manner: Manner::Idle, ..Bearing::default() },
        }
    }

    /// When it ends at the latest, once it was told to.
    pub fn ends(&self) -> Option<Micros> {
        match self.state {
            State::Finishing { since, .. } => Some(since.saturating_add(self.terms.finish)),
            State::Starting | State::Serving | State::Leaving(_) | State::Ended => None,
        }
    }

    /// When its bearing next changes by time alone.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        let Terms { accept_on, leave_softly, leave_idle, finish_idle, finish } = self.terms;
        let (since, terms) = match self.state {
            State::Leaving(since) => (since, [leave_softly, leave_idle, leave_idle]),
            State::Finishing { since, .. } => (since, [accept_on, finish_idle, finish]),
            State::Starting | State::Serving | State::Ended => return None,
        };
        terms.into_iter().map(|term| since.saturating_add(term)).filter(|&at| at > now).min()
    }
}

/// The word for a state, for logs and answers.
impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            State::Starting => "starting",
            State::Serving => "in service",
            State::Leaving(_) => "leaving",
            State::Finishing { shared: false, .. } => "finishing",
            State::Finishing { shared: true, .. } => "finishing, another process serves",
            State::Ended => "over",
        })
    }
}
