//! The lifecycle of a node as a state machine: starting, serving, leaving service, shutting down.
//!
//! [`Lifecycle`] handles events, whether they come from a signal, a call on the admin address or an operator's order.
//! The resulting [`ServiceMode`] says whether the node accepts connections, how it answers health checks, and when it
//! closes connections. It states what holds now, not what has changed, so a reader that misses a change loses nothing.
//! No I/O, no clock and no thread: the caller passes times in, in microseconds.
//!
//! ```text
//!              Ready            Leave
//!  Starting ─────────► Serving ───────► Leaving
//!     │                  ▲  │   Join       │
//!     │                  └──┼──────────────┘
//!     │ Stop           Stop │              │ Stop
//!     ▼                     ▼              ▼
//!   Ended ◄───────────── ShuttingDown ◄────┘
//!        ConnectionsClosed, or timeout
//! ```
//!
//! `Failed` leads from any state to `Ended`.

use std::fmt;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// The delays and time limits of the phases, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PhaseTimings {
    /// How long a node that was told to stop still accepts connections that are in transit, unless another process
    /// accepts them.
    pub accept_grace: Micros,
    /// From when a node leaves service until it closes connections after their next answer.
    pub leave_after_answer_delay: Micros,
    /// From when a node leaves service until it closes idle connections.
    pub leave_when_idle_delay: Micros,
    /// From when a node is told to stop until it closes idle connections.
    pub shutdown_when_idle_delay: Micros,
    /// From when a node is told to stop until it ends, whatever is open then.
    pub shutdown_timeout: Micros,
}

/// The state of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Not ready yet: it accepts no connections.
    Starting,
    /// In service.
    Serving,
    /// Leaving service since this time; it may be told to join again.
    Leaving(Micros),
    /// Told to stop: it serves the connections it has until they close or time is up, then ends. Unless another process
    /// accepts connections, it still accepts some for [`PhaseTimings::accept_grace`].
    ShuttingDown {
        /// When it was told to stop.
        since: Micros,
        /// Whether another process accepts connections at the same address.
        address_shared: bool,
    },
    /// Ended; the process exits.
    Ended,
}

/// An event in the life of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// All parts of the node are running.
    Ready,
    /// The node is to leave service and keep running.
    Leave,
    /// The node is to be in service again.
    Join,
    /// The node is to end.
    Stop {
        /// Whether another process accepts connections at the same address; those still to come are left to it.
        address_shared: bool,
    },
    /// No connection is left, and none is accepted any more.
    ConnectionsClosed,
    /// A part of the node that it cannot serve without has failed.
    Failed,
}

/// When client connections are closed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CloseMode {
    /// They are kept open.
    #[default]
    KeepOpen,
    /// Each is closed after its next answer, when its client is least likely to be sending.
    AfterAnswer,
    /// Each is closed as soon as it has no pending response and no part of a command has arrived.
    WhenIdle,
}

/// How a node behaves at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct ServiceMode {
    /// Whether it accepts connections.
    pub accepts_connections: bool,
    /// Whether it tells clients and the front-end processes that check it with `PING` that it is in service.
    pub ping_succeeds: bool,
    /// Whether it reports itself healthy on the admin address.
    pub healthy: bool,
    /// When it closes connections.
    pub close_mode: CloseMode,
    /// Whether it has ended.
    pub ended: bool,
}

/// Why an event was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventRefused {
    /// The node is not ready yet.
    Starting,
    /// The node is shutting down, which cannot be undone.
    ShuttingDown,
}

impl fmt::Display for EventRefused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EventRefused::Starting => "it is still starting; ask again once it is ready",
            EventRefused::ShuttingDown => "it is ending and takes nobody back; start it anew",
        })
    }
}

impl std::error::Error for EventRefused {}

/// The lifecycle of a node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lifecycle {
    state: State,
    timings: PhaseTimings,
}

impl Lifecycle {
    /// Creates the lifecycle of a node that starts.
    pub fn new(timings: PhaseTimings) -> Lifecycle {
        Lifecycle { state: State::Starting, timings }
    }

    /// The state as of the last event. A shutdown that reaches its time limit shows only in [`Lifecycle::service_mode`].
    pub fn state(&self) -> State {
        self.state
    }

    /// Handles an event. Repeated events have no effect: leaving twice does not start the delays anew, joining while in
    /// service changes nothing, and a second stop is ignored.
    ///
    /// # Errors
    /// If the event is not possible in this state, which is unchanged then.
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
                return Err(EventRefused::ShuttingDown);
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

    /// How the node behaves at this time.
    pub fn service_mode(&self, now: Micros) -> ServiceMode {
        let PhaseTimings {
            accept_grace,
            leave_after_answer_delay,
            leave_when_idle_delay,
            shutdown_when_idle_delay,
            shutdown_timeout,
        } = self.timings;
        let elapsed = |since: Micros, delay: Micros| now >= since.saturating_add(delay);
        match self.state {
            State::Starting => ServiceMode::default(),
            State::Serving => ServiceMode {
                accepts_connections: true,
                ping_succeeds: true,
                healthy: true,
                ..ServiceMode::default()
            },
            // It keeps accepting: clients and front-end processes check with `PING` whether it is in service, and it
            // may join again.
            State::Leaving(since) => {
                let close_mode =
                    match (elapsed(since, leave_after_answer_delay), elapsed(since, leave_when_idle_delay)) {
                        (_, true) => CloseMode::WhenIdle,
                        (true, _) => CloseMode::AfterAnswer,
                        _ => CloseMode::KeepOpen,
                    };
                ServiceMode { accepts_connections: true, close_mode, ..ServiceMode::default() }
            }
            State::ShuttingDown { since, .. } if elapsed(since, shutdown_timeout) => {
                ServiceMode { ended: true, close_mode: CloseMode::WhenIdle, ..ServiceMode::default() }
            }
            State::ShuttingDown { since, address_shared } => ServiceMode {
                accepts_connections: !address_shared && !elapsed(since, accept_grace),
                // A `PING` on an old connection is answered for both processes together, and the other one serves.
                ping_succeeds: address_shared,
                close_mode: if elapsed(since, shutdown_when_idle_delay) {
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

    /// When the node ends at the latest, if it is shutting down.
    pub fn shutdown_deadline(&self) -> Option<Micros> {
        match self.state {
            State::ShuttingDown { since, .. } => Some(since.saturating_add(self.timings.shutdown_timeout)),
            State::Starting | State::Serving | State::Leaving(_) | State::Ended => None,
        }
    }

    /// When the service mode next changes if no event occurs.
    pub fn next_change(&self, now: Micros) -> Option<Micros> {
        let PhaseTimings {
            accept_grace,
            leave_after_answer_delay,
            leave_when_idle_delay,
            shutdown_when_idle_delay,
            shutdown_timeout,
        } = self.timings;
        let (since, delays) = match self.state {
            State::Leaving(since) => {
                (since, [leave_after_answer_delay, leave_when_idle_delay, leave_when_idle_delay])
            }
            State::ShuttingDown { since, .. } => {
                (since, [accept_grace, shutdown_when_idle_delay, shutdown_timeout])
            }
            State::Starting | State::Serving | State::Ended => return None,
        };
        delays.into_iter().map(|delay| since.saturating_add(delay)).filter(|&at| at > now).min()
    }
}

/// The state as shown in logs and in answers on the admin address.
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
