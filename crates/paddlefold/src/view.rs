//! A look at the books, for operators. Nothing is decided or changed here.

use super::*;

#[path = "learned.rs"]
mod learned;
pub use learned::{Learned, OfServer};

/// What the module holds of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// The part of its capacity that it has for certain since it started.
    pub warmth: f64,
    /// Its response times in comparison with all caches, 1 being usual.
    pub slowness: f64,
    /// The same by this node's own requests alone.
    pub own_slowness: f64,
    /// Attempts without an answer, in a row, if it is left out for them but for a try now and then; 0 if it is for
    /// one that is long overdue.
    pub unanswered_attempts: Option<u32>,
    /// Its zone is held to be cut off.
    pub cut_off: bool,
}

/// What a request without an attempt out waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Nothing.
    NotWaiting,
    /// Another request's fetch of its key.
    InFlightFetch,
    /// A place among what may be out at once.
    ConcurrencySlot,
    /// A pause before its next try.
    Backoff,
}

impl Balancer {
    /// What is held of a server; nothing of one that the list lacks.
    pub fn server_view(&self, id: ServerId) -> Option<ServerView> {
        let s = self.servers.get(&id)?;
        Some(ServerView {
            warmth: s.warmth(&self.settings, self.now),
            slowness: s.slowness(self.now),
            own_slowness: s.seen(self.now),
            unanswered_attempts: Some(s.silent).filter(|_| self.suspect(s)),
            cut_off: self.cut_off(s),
        })
    }

    /// What a request waits for; nothing of one that is not open.
    pub fn wait_reason(&self, id: RequestId) -> Option<WaitReason> {
        self.open.get(&id).map(|r| match r.wait {
            Wait::Nothing => WaitReason::NotWaiting,
            Wait::Flight => WaitReason::InFlightFetch,
            Wait::Place => WaitReason::ConcurrencySlot,
            Wait::Pause => WaitReason::Backoff,
        })
    }
}
