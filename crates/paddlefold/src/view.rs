//! Read-only views of the state, for operators. Nothing is decided or changed here.

use super::*;

#[path = "learned.rs"]
mod learned;
pub use learned::{Learned, LearnedServer};

/// What is known of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// The fraction of its capacity that it has for certain since it started.
    pub warmth: f64,
    /// Its response times relative to all caches, 1 being usual: the greater of this node's and other nodes'
    /// estimate.
    pub slowness: f64,
    /// The same by this node's own requests alone.
    pub own_slowness: f64,
    /// Set if the server is avoided except for a probe now and then: the number of attempts in a row without
    /// an answer; 0 if it is avoided for an attempt that is long overdue.
    pub unanswered_attempts: Option<u32>,
    /// Its zone counts as cut off.
    pub cut_off: bool,
}

/// What a request without an attempt in flight waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// Nothing.
    NotWaiting,
    /// Another request's fetch of the same key.
    InFlightFetch,
    /// A slot under a concurrency limit.
    ConcurrencySlot,
    /// A delay before its next attempt.
    Backoff,
}

impl Balancer {
    /// What is known of a server; none if it is not listed.
    pub fn server_view(&self, id: ServerId) -> Option<ServerView> {
        let server = self.servers.get(&id)?;
        Some(ServerView {
            warmth: server.warmth(&self.settings, self.now),
            slowness: server.slowness(self.now),
            own_slowness: server.own_slowness(self.now),
            unanswered_attempts: Some(server.unanswered_attempts).filter(|_| self.is_suspect(server)),
            cut_off: self.is_zone_cut_off(server),
        })
    }

    /// What a request waits for; none if it is not open.
    pub fn wait_reason(&self, id: RequestId) -> Option<WaitReason> {
        self.open_requests.get(&id).map(|request| match request.wait {
            WaitState::NotWaiting => WaitReason::NotWaiting,
            WaitState::InFlightFetch => WaitReason::InFlightFetch,
            WaitState::ConcurrencySlot => WaitReason::ConcurrencySlot,
            WaitState::Backoff => WaitReason::Backoff,
        })
    }
}
