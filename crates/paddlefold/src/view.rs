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
    pub seen: f64,
    /// Attempts without an answer, in a row, if it is left out for them but for a try now and then; 0 if it is for
    /// one that is long overdue.
    pub silent: Option<u32>,
    /// Its zone is held to be cut off.
    pub cut_off: bool,
}

/// What a request without an attempt out waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiting {
    /// Nothing.
    Nothing,
    /// Another request's fetch of its key.
    Flight,
    /// A place among what may be out at once.
    Place,
    /// A pause before its next try.
    Pause,
}

impl Balancer {
    /// What is held of a server; nothing of one that the list lacks.
    pub fn server(&self, id: ServerId) -> Option<ServerView> {
        let s = self.servers.get(&id)?;
        Some(ServerView {
            warmth: s.warmth(&self.settings, self.now),
            slowness: s.slowness(self.now),
            seen: s.seen(self.now),
            silent: Some(s.silent).filter(|_| self.suspect(s)),
            cut_off: self.cut_off(s),
        })
    }

    /// What a request waits for; nothing of one that is not open.
    pub fn waiting(&self, id: RequestId) -> Option<Waiting> {
        self.open.get(&id).map(|r| match r.wait {
            Wait::Nothing => Waiting::Nothing,
            Wait::Flight => Waiting::Flight,
            Wait::Place => Waiting::Place,
            Wait::Pause => Waiting::Pause,
        })
    }
}
