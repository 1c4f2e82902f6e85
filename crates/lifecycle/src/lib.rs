//! A node's life: what it answers to those who ask for it, whether it takes connections, and when it closes them.
//!
//! [`Lifecycle`] is told what happens, by whatever way it came: a signal, a call on the second address, an operator's
//! order. What follows at a time stands in its [`ServiceMode`], a level rather than a series of orders, so that nothing
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
pub struct PhaseTimings {
    /// After word to stop, connections that are on their way are still taken for so long, where no other process
    /// takes them.
    pub accept_grace: Micros,
    /// While it leaves, connections are closed behind their answers from here on ...
    pub leave_close_after_answer: Micros,
    /// ... and those without a request from here on.
    pub leave_close_idle: Micros,
    /// After word to stop, connections without a request are closed from here on.
    pub shutdown_close_idle: Micros,
    /// After word to stop, it ends by then, whatever is open.
    pub shutdown_timeout: Micros,
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
    ShuttingDown {
        /// When it was told.
        since: Micros,
        /// Whether another process takes connections at the same address.
        address_shared: bool,
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
    /// It is to end. `address_shared`: another process takes connections at the same address.
    Stop {
        /// Whether connections still to come are another's.
        address_shared: bool,
    },
    /// No connection is left, and none is taken any more.
    ConnectionsClosed,
    /// What it serves with has failed.
    Failed,
}

/// What is done about a client's connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CloseMode {
    /// It stays.
    #[default]
    KeepOpen,
    /// It is closed behind the next answer, when its client is least likely to send.
    AfterAnswer,
    /// It is closed as soon as nothing is owed on it and nothing of a command has come.
    WhenIdle,
}

/// What a node does at a time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct ServiceMode {
    /// It takes connections.
    pub accepts_connections: bool,
    /// It says yes to clients and fronts that ask for it (`PING`).
    pub ping_succeeds: bool,
    /// It says yes on the second address.
    pub healthy: bool,
    /// What is done about connections.
    pub close_mode: CloseMode,
    /// It is over.
    pub ended: bool,
}

/// Why an event changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventRefused {
    /// It is not ready yet.
    Starting,
    /// It is ending and can't be called back.
    Ending,
}

impl fmt::Display for EventRefused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EventRefused::Starting => "it is still starting; ask again once it is ready",
            EventRefused::Ending => "it is ending and takes nobody back; start it anew",
        })
    }
}

impl std::error::Error for EventRefused {}

/// A node's life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lifecycle {
    state: State,
    timings: PhaseTimings,
}

impl Lifecycle {
    /// One that starts.
    pub fn new(timings: PhaseTimings) -> Lifecycle {
        Lifecycle { state: State::Starting, timings }
    }

    /// What has become of it. Time alone ends it; see [`Lifecycle::service_mode`].
    pub fn state(&self) -> State {
        self.state
    }

    /// Tells what happens. What has been done already is done once more without effect: to leave twice does not
    /// begin anew, to join in service changes nothing, a second word to stop is as the first.
    ///
    /// # Errors
    /// If it can't be done in this state; nothing has changed then.
    pub fn handle(&mut self, now: Micros, event: Event) -> Result<(), EventRefused> {
        self.state = match (self.state, event) {
            (_, Event::Failed) => State::Ended,
            (State::Starting, Event::Ready) => State::Serving,
            (State::Starting, Event::Leave | Event::Join) => return Err(EventRefused::Starting),
            (State::Starting, Event::Stop { .. }) => State::Ended,
            (State::Serving, Event::Leave) => State::Leaving(now),
            (State::Leaving(_), Event::Join) => State::Serving,
            (State::Serving | State::Leaving(_), Event::Stop { address_shared }) => {
                State::ShuttingDown { since: now, address_shared }
            }
            (State::ShuttingDown { .. } | State::Ended, Event::Leave | Event::Join) => {
                return Err(EventRefused::Ending);
            }
            (State::ShuttingDown { .. }, Event::ConnectionsClosed)
                if !self.service_mode(now).accepts_connections =>
            {
                State::Ended
            }
            (state, _) => state,
        };
        Ok(())
    }

    /// What it does at a time.
    pub fn service_mode(&self, now: Micros) -> ServiceMode {
        let PhaseTimings {
            accept_grace,
            leave_close_after_answer,
            leave_close_idle,
            shutdown_close_idle,
            shutdown_timeout,
        } = self.timings;
        let past = |since: Micros, term: Micros| now >= since.saturating_add(term);
        match self.state {
            State::Starting => ServiceMode::default(),
            State::Serving => ServiceMode {
                accepts_connections: true,
                ping_succeeds: true,
                healthy: true,
                ..ServiceMode::default()
            },
            // It listens on: fronts ask for it, and it may join again.
            State::Leaving(since) => {
                let close_mode = match (past(since, leave_close_after_answer), past(since, leave_close_idle))
                {
                    (_, true) => CloseMode::WhenIdle,
                    (true, _) => CloseMode::AfterAnswer,
                    _ => CloseMode::KeepOpen,
                };
                ServiceMode { accepts_connections: true, close_mode, ..ServiceMode::default() }
            }
            State::ShuttingDown { since, .. } if past(since, shutdown_timeout) => {
                ServiceMode { ended: true, close_mode: CloseMode::WhenIdle, ..ServiceMode::default() }
            }
            State::ShuttingDown { since, address_shared } => ServiceMode {
                accepts_connections: !address_shared && !past(since, accept_grace),
                // Who asks the pair on an old connection is told of the pair.
                ping_succeeds: address_shared,
                close_mode: if past(since, shutdown_close_idle) {
                    CloseMode::WhenIdle
                } else {
                    CloseMode::AfterAnswer
                },
                ..ServiceMode::default()
            },
            State::Ended => {
                ServiceMode { ended: true, close_mode: CloseMode::WhenIdle, ..ServiceMode::default() }
            }
        }
    }

    /// When it ends at the latest, once it was told to.
    pub fn shutdown_deadline(&self) -> Option<Micros> {
        match self.state {
            State::ShuttingDown { since, .. } => Some(since.saturating_add(self.timings.shutdown_timeout)),
            State::Starting | State::Serving | State::Leaving(_) | State::Ended => None,
        }
    }

    /// When its bearing next changes by time alone.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let PhaseTimings {
            accept_grace,
            leave_close_after_answer,
            leave_close_idle,
            shutdown_close_idle,
            shutdown_timeout,
        } = self.timings;
        let (since, terms) = match self.state {
            State::Leaving(since) => (since, [leave_close_after_answer, leave_close_idle, leave_close_idle]),
            State::ShuttingDown { since, .. } => {
                (since, [accept_grace, shutdown_close_idle, shutdown_timeout])
            }
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
            State::ShuttingDown { address_shared: false, .. } => "finishing",
            State::ShuttingDown { address_shared: true, .. } => "finishing, another process serves",
            State::Ended => "over",
        })
    }
}
