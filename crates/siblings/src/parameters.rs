//! Times and tolerances of the membership protocol.

use crate::Micros;

/// Times and tolerances. Must be the same at all nodes of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Parameters {
    /// A node sends a heartbeat to each neighbour on the ring once per interval.
    pub heartbeat_interval: Micros,
    /// How long a node may use its share, by its own clock, after it sent a heartbeat that was confirmed.
    pub lease_duration: Micros,
    /// How much a clock may be too fast or too slow, in thousandths.
    pub max_drift_permille: u64,
    /// A tick that is late by more than this counts as a pause of the process.
    pub late_threshold: Micros,
}

impl Default for Parameters {
    /// The lease lasts six heartbeat intervals, so that a pause of two seconds, or five lost datagrams in a row, do not
    /// end it.
    fn default() -> Self {
        Parameters {
            heartbeat_interval: 500_000,
            lease_duration: 3_000_000,
            max_drift_permille: 10,
            late_threshold: 200_000,
        }
    }
}

impl Parameters {
    /// How long a watcher waits without news before it considers a lease expired: longer than the lease lasts by the
    /// slowest clock.
    pub fn expiry_timeout(&self) -> Micros {
        self.lease_duration + self.lease_duration * 2 * self.max_drift_permille / 1_000 + 10_000
    }

    /// The longest pause of a node that changes no other node's view: the lease less two heartbeat intervals, which cover
    /// the datagrams under way before and after it.
    pub fn longest_unnoticed_pause(&self) -> Micros {
        self.lease_duration.saturating_sub(2 * self.heartbeat_interval)
    }

    /// The greatest age at which news of a node still shows that it is here.
    ///
    /// News of distant nodes on the ring arrives by rotation, which is slower the more nodes there are.
    pub fn freshness_limit(&self, node_count: usize) -> Micros {
        2 * self.lease_duration + self.heartbeat_interval * 2 / 5 * node_count as u64
    }
}
