//! Remembers the ids of requests that may have taken effect and must not be repeated. No I/O and no clock: times are
//! passed in.
//!
//! Every request has a new id, a client's retry too. An id that comes again belongs to a request whose client has left
//! without its answer, and may have been carried out. Such a request is not sent again.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_128;

/// How long an id is remembered: several times the longest usual deadline of a client.
pub const RETENTION: Duration = Duration::from_secs(30);
/// The most ids that are remembered; beyond it the oldest are forgotten. Their memory is a few megabytes.
pub const MAX_IDS: usize = 1 << 15;

/// The hash of a request's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct IdHash(u128);

impl IdHash {
    /// The hash of this id.
    pub fn new(id: &[u8]) -> IdHash {
        IdHash(xxh3_128(id))
    }

    /// The hash in hexadecimal digits.
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }

    /// The hash from hexadecimal digits; `None` if the text is none.
    pub fn from_hex(text: &str) -> Option<IdHash> {
        u128::from_str_radix(text, 16).ok().map(IdHash)
    }
}

/// The ids of recent writes.
#[derive(Debug, Default)]
pub struct RecentWrites {
    recorded_at: HashMap<IdHash, Instant>,
    /// In the order in which they were recorded. May hold ids that have been removed since.
    order: VecDeque<(Instant, IdHash)>,
}

impl RecentWrites {
    /// Records that the request with this id may take effect from now on. Returns whether that was not known.
    pub fn record(&mut self, now: Instant, id: IdHash) -> bool {
        self.forget_old(now);
        if self.recorded_at.contains_key(&id) {
            return false;
        }
        self.recorded_at.insert(id, now);
        self.order.push_back((now, id));
        while self.order.len() > MAX_IDS {
            self.forget_first();
        }
        true
    }

    /// Records that the request with this id has not taken effect and never will.
    pub fn remove(&mut self, id: IdHash) {
        self.recorded_at.remove(&id);
    }

    /// Whether the request with this id may have taken effect.
    pub fn contains(&self, now: Instant, id: IdHash) -> bool {
        self.recorded_at.get(&id).is_some_and(|recorded_at| now < *recorded_at + RETENTION)
    }

    /// All ids that are remembered, the oldest first.
    pub fn ids(&self) -> Vec<IdHash> {
        let current = self.order.iter().filter(|(at, id)| self.recorded_at.get(id) == Some(at));
        current.map(|(_, id)| *id).collect()
    }

    fn forget_old(&mut self, now: Instant) {
        while self.order.front().is_some_and(|(at, _)| now >= *at + RETENTION) {
            self.forget_first();
        }
    }

    fn forget_first(&mut self) {
        if let Some((at, id)) = self.order.pop_front()
            && self.recorded_at.get(&id) == Some(&at)
        {
            self.recorded_at.remove(&id);
        }
    }
}
