//! Decides how a listener goes on after each `accept`, both in service and while it closes. No I/O and no clock: the
//! caller passes the times in.
//!
//! Prevents three failures: the process exiting or spinning when file descriptors run out; clients being disconnected
//! over a shortage that is gone a moment later; and connections queued behind one that fails being reset, together with
//! their requests, as the listener closes.

use std::io;
use std::time::Duration;

use lilacquay_core::is_local_resource_exhaustion;
use tokio::time::Instant;

use crate::eviction_queue::{EvictionScope, Micros, eviction_scope};

/// The listen backlog: the most connections that wait to be accepted.
pub const ACCEPT_BACKLOG: u32 = 1024;
/// A closing listener accepts the connections left in its backlog for at most this long.
const BACKLOG_DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Why an accept returned no connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFailure {
    /// The backlog is empty.
    BacklogEmpty,
    /// This machine is short of a resource, such as descriptors or memory; the shortage may be brief.
    ResourceShortage,
    /// This one connection failed, for example because its client has gone.
    ConnectionFailed,
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::WouldBlock => AcceptFailure::BacklogEmpty,
            _ if is_local_resource_exhaustion(error) => AcceptFailure::ResourceShortage,
            _ => AcceptFailure::ConnectionFailed,
        }
    }
}

/// The listener's next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptStep {
    /// Accept again.
    AcceptAgain,
    /// Evict one connection of this scope, then accept again.
    EvictThenAccept(EvictionScope),
    /// Close the listener.
    CloseListener,
}

/// Tracks the outcomes of one listener's accepts.
#[derive(Debug, Default)]
pub struct AcceptPolicy {
    /// Start of the current resource shortage; `None` without one.
    shortage_since: Option<Instant>,
    /// For a closing listener: when it began to close, and the connections accepted since.
    closing: Option<(Instant, usize)>,
}

impl AcceptPolicy {
    /// The policy of a closing listener, which accepts the connections in its backlog and none after them.
    pub fn for_closing_listener(now: Instant) -> Self {
        AcceptPolicy { shortage_since: None, closing: Some((now, 0)) }
    }

    /// Records an accepted connection and returns the next step.
    pub fn accepted(&mut self, now: Instant) -> AcceptStep {
        self.shortage_since = None;
        if let Some((_, accepted)) = &mut self.closing {
            *accepted += 1;
        }
        self.step_unless_drained(now, AcceptStep::AcceptAgain)
    }

    /// Records a failed accept and returns the next step.
    pub fn failed(&mut self, failure: AcceptFailure, now: Instant) -> AcceptStep {
        match failure {
            AcceptFailure::BacklogEmpty if self.closing.is_some() => AcceptStep::CloseListener,
            AcceptFailure::BacklogEmpty | AcceptFailure::ConnectionFailed => {
                self.step_unless_drained(now, AcceptStep::AcceptAgain)
            }
            AcceptFailure::ResourceShortage => {
                let since = *self.shortage_since.get_or_insert(now);
                let waited = now.saturating_duration_since(since).as_micros() as Micros;
                // As for a shared address: a brief shortage evicts no connection that may be about to send a request.
                self.step_unless_drained(now, AcceptStep::EvictThenAccept(eviction_scope(true, waited)))
            }
        }
    }

    /// `step`, or `CloseListener` once a closing listener has accepted a full backlog or reached its time limit.
    fn step_unless_drained(&self, now: Instant, step: AcceptStep) -> AcceptStep {
        let drained = |(since, accepted): (Instant, usize)| {
            accepted >= ACCEPT_BACKLOG as usize || now >= since + BACKLOG_DRAIN_TIMEOUT
        };
        if self.closing.is_some_and(drained) { AcceptStep::CloseListener } else { step }
    }
}
