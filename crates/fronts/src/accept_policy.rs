//! What follows an accept, in service and as a listener closes. No I/O, no clock: times are handed in.
//!
//! Guards against: an exit, or a busy loop, when descriptors run out; clients closed on for want of what is there again a
//! moment later; and connections behind one that fails, reset with their requests as the listener closes.

use std::io;
use std::time::Duration;

use lilacquay_core::is_own_shortage;
use tokio::time::Instant;

use crate::connection_limiter::{Goes, Micros, goes};

/// No more connections than this wait to be accepted.
pub const ACCEPT_BACKLOG: u32 = 1024;
/// As a listener closes, those that wait are taken for so long at most.
const LAST_LOOK: Duration = Duration::from_millis(100);

/// Why an accept gave no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFailure {
    /// None waits.
    NoneWaits,
    /// This machine lacks something for it, which may be there again soon.
    Shortage,
    /// The one connection has failed: its client has gone, say.
    OneConnection,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::WouldBlock => AcceptFailure::NoneWaits,
            _ if is_own_shortage(error) => AcceptFailure::Shortage,
            _ => AcceptFailure::OneConnection,
        }
    }
}

/// What is to be done next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptStep {
    /// Accept again.
    Again,
    /// Close a connection that may go, and accept again.
    MakeRoom(Goes),
    /// Close the listener.
    Close,
}

/// What a listener's accepts have met so far.
#[derive(Debug, Default)]
pub struct AcceptPolicy {
    /// Since when this machine lacks something.
    short_since: Option<Instant>,
    /// Where the listener closes: since when, and how many connections were taken since.
    closing: Option<(Instant, usize)>,
}

impl AcceptPolicy {
    /// Of a listener that closes: takes who waits, and nobody beyond.
    pub fn closing(now: Instant) -> Self {
        AcceptPolicy { short_since: None, closing: Some((now, 0)) }
    }

    /// A connection was taken.
    pub fn accepted(&mut self, now: Instant) -> AcceptStep {
        self.short_since = None;
        if let Some((_, taken)) = &mut self.closing {
            *taken += 1;
        }
        self.unless_over(now, AcceptStep::Again)
    }

    /// An accept has failed.
    pub fn failed(&mut self, failure: AcceptFailure, now: Instant) -> AcceptStep {
        match failure {
            AcceptFailure::NoneWaits if self.closing.is_some() => AcceptStep::Close,
            AcceptFailure::NoneWaits | AcceptFailure::OneConnection => {
                self.unless_over(now, AcceptStep::Again)
            }
            AcceptFailure::Shortage => {
                let since = *self.short_since.get_or_insert(now);
                let waited = now.saturating_duration_since(since).as_micros() as Micros;
                self.unless_over(now, AcceptStep::MakeRoom(goes(true, waited)))
            }
        }
    }

    /// The step, unless a listener that closes has taken as many, or for as long, as can have waited.
    fn unless_over(&self, now: Instant, step: AcceptStep) -> AcceptStep {
        let over =
            |(since, taken): (Instant, usize)| taken >= ACCEPT_BACKLOG as usize || now >= since + LAST_LOOK;
        if self.closing.is_some_and(over) { AcceptStep::Close } else { step }
    }
}
