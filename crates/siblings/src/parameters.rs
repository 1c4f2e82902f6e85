//! The figures by which siblings go.

use crate::Micros;

/// Times and bounds. The same at all nodes of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// A node speaks to each that it watches once in so long.
    pub period: Micros,
    /// A node may use its part for so long, by its own clock, after it sent a heartbeat that was confirmed.
    pub lease: Micros,
    /// By how much a clock may be too quick or too slow, in thousandths.
    pub drift: u64,
    /// A loop that is late by more was paused.
    pub late: Micros,
}

impl Default for Terms {
    /// A lease of six periods: a pause of two seconds, or five lost datagrams in a row, end none.
    fn default() -> Self {
        Terms { period: 500_000, lease: 3_000_000, drift: 10, late: 200_000 }
    }
}

impl Terms {
    /// A watcher waits for so long before it holds a lease to have run out: longer than the lease is by the slowest clock.
    pub fn outlasts(&self) -> Micros {
        self.lease + self.lease * 2 * self.drift / 1_000 + 10_000
    }

    /// The longest pause of a node that changes nothing in anybody's view: the lease less two periods, for what was on
    /// its way before and after.
    pub fn unnoticed(&self) -> Micros {
        self.lease.saturating_sub(2 * self.period)
    }

    /// Word of a node that is older than this is no word that it is here.
    ///
    /// Word of a node far off on the ring comes by rotation, which is the slower the more nodes there are.
    pub fn fresh(&self, nodes: usize) -> Micros {
        2 * self.lease + self.period * 2 / 5 * nodes as u64
    }
}
