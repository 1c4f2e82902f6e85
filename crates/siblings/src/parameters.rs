//! The figures by which siblings go.

use crate::Micros;

/// Times and bounds. The same at all node_count of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Parameters {
    /// A node speaks to each that it watches once in so long.
    pub heartbeat_interval: Micros,
    /// A node may use its part for so long, by its own clock, after it sent a beat that was confirmed.
    pub lease_duration: Micros,
    /// By how much a clock may be too quick or too slow, in thousandths.
    pub max_drift_permille: u64,
    /// A loop that is late by more was paused.
    pub late_threshold: Micros,
}

impl Default for Parameters {
    /// A lease of six periods: a pause of two seconds, or five lost datagrams in a row, end none.
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
    /// A watcher waits for so long before it holds a lease to have run out: longer than the lease is by the slowest clock.
    pub fn expiry_timeout(&self) -> Micros {
        self.lease_duration + self.lease_duration * 2 * self.max_drift_permille / 1_000 + 10_000
    }

    /// The longest pause of a node that events nothing in anybody's view: the lease less two periods, for what was on
    /// its way before and after.
    pub fn longest_unnoticed_pause(&self) -> Micros {
        self.lease_duration.saturating_sub(2 * self.heartbeat_interval)
    }

    /// Word of a node that is older than this is no word that it is here.
    ///
    /// Word of a node far off on the ring comes by rotation, which is the slower the more node_count there are.
    pub fn freshness_limit(&self, node_count: usize) -> Micros {
        2 * self.lease_duration + self.heartbeat_interval * 2 / 5 * node_count as u64
    }
}
