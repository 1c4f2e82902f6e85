//! When a connection to a server may be asked again, and how long it is kept. No I/O, no clock: times are handed in.
//!
//! No answer says which request it belongs to. A server that answers twice sends its second answer some milliseconds
//! late; on a connection that is used again at once it would be taken for the answer to the next request, and shift
//! all that follow. So a connection rests first, and what comes on it meanwhile shows.

use std::time::Duration;

use tokio::time::Instant;

use crate::upstream::IdleState;

/// How long a connection rests before it is used again.
pub const REUSE_DELAY: Duration = Duration::from_millis(15);
/// An origin that seldom answers within the rest may be asked again after a shorter one: it takes few connections and turns
/// others away. An answer that comes within the longer rest is not believed then.
pub const SHORT_REUSE_DELAY: Duration = Duration::from_millis(1);
/// Connections of a server that has lately sent something unasked rest for so long ...
pub const LONG_REUSE_DELAY: Duration = Duration::from_millis(100);
/// ... which counts as lately for so long.
const DISTRUST: Duration = Duration::from_secs(60);
/// An origin answers seldom within the rest if less than this part of its answers does ...
const SELDOM: f64 = 0.25;
/// ... which counts the latest by this weight, and is so much before any has come.
const LATEST: f64 = 1.0 / 8.0;
const UNKNOWN: f64 = 1.0;

/// What one server has shown, by which its connections may be used again.
#[derive(Debug, Clone)]
pub struct ReusePolicy {
    /// When it last sent something unasked.
    unasked: Option<Instant>,
    /// The part of its answers, lately, that came within the rest.
    quick: f64,
}

impl Default for ReusePolicy {
    fn default() -> Self {
        ReusePolicy { unasked: None, quick: UNKNOWN }
    }
}

impl ReusePolicy {
    /// How long a connection of this server rests.
    pub fn reuse_delay(&self, now: Instant, origin: bool) -> Duration {
        let distrusted = self.unasked.is_some_and(|at| now < at + DISTRUST);
        match distrusted {
            true => LONG_REUSE_DELAY,
            false if origin && self.quick < SELDOM => SHORT_REUSE_DELAY,
            false => REUSE_DELAY,
        }
    }

    /// Which connection to use, of those that have been idle since these times, the most recently used last: the one
    /// used last that has rested.
    pub fn choose(
        &self,
        now: Instant,
        origin: bool,
        mut idle_since: impl DoubleEndedIterator<Item = Instant> + ExactSizeIterator,
    ) -> Option<usize> {
        let rest = self.reuse_delay(now, origin);
        idle_since.rposition(|since| now >= since + rest)
    }

    /// From when on an answer is believed on a connection that has been idle since then.
    pub fn trusted_from(since: Instant) -> Instant {
        since + REUSE_DELAY
    }

    /// Whether an idle connection in that state may be used; what a server sends unasked is remembered.
    pub fn may_use(&mut self, now: Instant, state: IdleState) -> bool {
        if state == IdleState::UnsolicitedData {
            self.unasked = Some(now);
        }
        state == IdleState::Live
    }

    /// Notes how long an answer took.
    pub fn record_answer(&mut self, took: Duration) {
        let quick = if took <= REUSE_DELAY { 1.0 } else { 0.0 };
        self.quick += LATEST * (quick - self.quick);
    }
}

/// How long idle connections are kept.
#[derive(Debug, Clone, Copy)]
pub struct RetentionPolicy {
    /// The age at which any is closed, before its server does it.
    limit: Duration,
    /// The age at which one is closed where a younger one is idle at the same server.
    spare: Duration,
}

impl RetentionPolicy {
    /// For servers that close idle connections at this age, at one of so many nodes.
    ///
    /// Guards against: a server's table of connections that is full of what hundreds of nodes keep beyond the one
    /// that they need, so that those who have none are turned away. All nodes together keep no more to spare than a
    /// small fleet does.
    pub fn new(keepalive: Duration, nodes: usize) -> Self {
        let limit = keepalive * 9 / 10;
        RetentionPolicy { limit, spare: limit }.with_node_count(nodes)
    }

    /// The same at one of so many nodes.
    pub fn with_node_count(self, nodes: usize) -> Self {
        RetentionPolicy { spare: self.limit / u32::try_from(nodes.max(1)).unwrap_or(u32::MAX), ..self }
    }

    /// Whether a connection that has been idle since then is kept; a spare one has a younger one beside it.
    pub fn retains(&self, now: Instant, since: Instant, spare: bool) -> bool {
        now < since + if spare { self.spare } else { self.limit }
    }
}
