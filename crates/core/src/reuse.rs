//! Decides when an idle connection to a server may be reused and how long it is kept. No I/O, no clock: times are
//! passed in.
//!
//! In RESP and HTTP nothing says which request an answer belongs to. A server that answers twice sends the second
//! answer some milliseconds late; on a connection that is reused at once, it would be taken for the answer to the next
//! request and shift all later answers. So a connection is left idle for a delay first, and data that arrives during
//! the delay reveals the duplicate. Connections to memcached are reused by the same rules but do not rely on them: an
//! answer carries the `opaque` of its request, which is checked.

use std::time::Duration;

use tokio::time::Instant;

use crate::upstream::IdleState;

/// How long a connection is left idle before it is reused.
pub const REUSE_DELAY: Duration = Duration::from_millis(15);
/// The delay for an origin that seldom answers within [`REUSE_DELAY`]: an origin accepts few connections and rejects
/// others. On a connection that was reused so soon, an answer within [`REUSE_DELAY`] is not trusted.
pub const SHORT_REUSE_DELAY: Duration = Duration::from_millis(1);
/// The delay for connections of a server that has recently sent unsolicited data.
pub const LONG_REUSE_DELAY: Duration = Duration::from_millis(100);
/// How long unsolicited data counts as recent.
const UNSOLICITED_DATA_PERIOD: Duration = Duration::from_secs(60);
/// An origin seldom answers within [`REUSE_DELAY`] if the fraction of its answers that do is below this.
const MIN_FAST_FRACTION: f64 = 0.25;
/// The weight of the latest answer in the moving average of that fraction.
const LATEST_ANSWER_WEIGHT: f64 = 1.0 / 8.0;
/// The value of the moving average before the first answer.
const INITIAL_FAST_FRACTION: f64 = 1.0;

/// The observations about one server that decide when its connections may be reused.
#[derive(Debug, Clone)]
pub struct ReusePolicy {
    /// When the server last sent unsolicited data.
    unsolicited_at: Option<Instant>,
    /// Moving average of the fraction of answers that came within [`REUSE_DELAY`].
    fast_fraction: f64,
}

impl Default for ReusePolicy {
    fn default() -> Self {
        ReusePolicy { unsolicited_at: None, fast_fraction: INITIAL_FAST_FRACTION }
    }
}

impl ReusePolicy {
    /// How long a connection of this server is left idle before it is reused.
    pub fn reuse_delay(&self, now: Instant, origin: bool) -> Duration {
        let recently_unsolicited = self.unsolicited_at.is_some_and(|at| now < at + UNSOLICITED_DATA_PERIOD);
        match recently_unsolicited {
            true => LONG_REUSE_DELAY,
            false if origin && self.fast_fraction < MIN_FAST_FRACTION => SHORT_REUSE_DELAY,
            false => REUSE_DELAY,
        }
    }

    /// The position of the connection to use: the most recently used one that has been idle for the reuse delay.
    /// `idle_since` holds since when each connection has been idle, the most recently used last.
    pub fn choose(
        &self,
        now: Instant,
        origin: bool,
        mut idle_since: impl DoubleEndedIterator<Item = Instant> + ExactSizeIterator,
    ) -> Option<usize> {
        let delay = self.reuse_delay(now, origin);
        idle_since.rposition(|since| now >= since + delay)
    }

    /// The time from which an answer is trusted on a connection that was idle from `since`; an earlier one may be a
    /// duplicate of the previous answer.
    pub fn trusted_from(since: Instant) -> Instant {
        since + REUSE_DELAY
    }

    /// Whether an idle connection in this state may be used. Records unsolicited data.
    pub fn may_use(&mut self, now: Instant, state: IdleState) -> bool {
        if state == IdleState::UnsolicitedData {
            self.unsolicited_at = Some(now);
        }
        state == IdleState::Live
    }

    /// Records how long an answer took.
    pub fn record_answer(&mut self, took: Duration) {
        let fast = if took <= REUSE_DELAY { 1.0 } else { 0.0 };
        self.fast_fraction += LATEST_ANSWER_WEIGHT * (fast - self.fast_fraction);
    }
}

/// Decides how long idle connections are kept.
#[derive(Debug, Clone, Copy)]
pub struct RetentionPolicy {
    /// The idle time after which any connection is closed, before its server does so.
    max_idle: Duration,
    /// The idle time after which a spare connection is closed, that is one beside which a more recently used one is
    /// idle at the same server.
    max_spare_idle: Duration,
}

impl RetentionPolicy {
    /// Creates the policy for a fleet of `nodes` nodes, whose servers close connections that have been idle for
    /// `keepalive`.
    ///
    /// Spare connections are kept for a shorter time in larger fleets, so that all nodes together keep no more spare
    /// connections than a small fleet does. Otherwise hundreds of nodes would fill a server's connection table with
    /// connections beyond the one that each needs, and nodes without a connection would be rejected.
    pub fn new(keepalive: Duration, nodes: usize) -> Self {
        let max_idle = keepalive * 9 / 10;
        RetentionPolicy { max_idle, max_spare_idle: max_idle }.with_node_count(nodes)
    }

    /// The same policy for a fleet of `nodes` nodes.
    pub fn with_node_count(self, nodes: usize) -> Self {
        let divisor = u32::try_from(nodes.max(1)).unwrap_or(u32::MAX);
        RetentionPolicy { max_spare_idle: self.max_idle / divisor, ..self }
    }

    /// Whether a connection that has been idle from `since` is kept. `spare`: a more recently used one is idle too.
    pub fn retains(&self, now: Instant, since: Instant, spare: bool) -> bool {
        now < since + if spare { self.max_spare_idle } else { self.max_idle }
    }
}
