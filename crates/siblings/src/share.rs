//! The share of a common resource that a node may use, in thousandths of one node's equal share, and until when.

use crate::Micros;

/// A node's own share, in thousandths.
pub const FULL_SHARE: u32 = 1_000;
/// What each of the two nodes adjacent to a gone node may take over of its share, and has to give back on its return.
pub(crate) const HALF_SHARE: u32 = FULL_SHARE / 2;

/// How much a node may use, and until when by its own clock. At any time the shares of all nodes add up to at most one
/// full share per node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResourceShare {
    /// Thousandths of one node's equal share: 0 to 2,000.
    pub thousandths: u32,
    /// The share is valid until then and 0 afterwards, whatever else has been heard.
    pub until: Micros,
}

impl ResourceShare {
    /// The share of a node in a list of one or two nodes, which does not expire.
    pub const PERMANENT: ResourceShare = ResourceShare { thousandths: FULL_SHARE, until: Micros::MAX };
    /// The share of a node that is not confirmed.
    pub const NONE: ResourceShare = ResourceShare { thousandths: 0, until: 0 };

    /// The share at a given time, in thousandths.
    pub fn thousandths_at(&self, now: Micros) -> u32 {
        if now < self.until { self.thousandths } else { 0 }
    }

    /// Adds a piece that is valid until the given time; the whole ends with the piece that ends first.
    pub(crate) fn plus(self, piece: u32, until: Micros) -> ResourceShare {
        let until = if self.thousandths == 0 { until } else { self.until.min(until) };
        ResourceShare { thousandths: self.thousandths + piece, until }
    }

    /// The same share, valid until the given time at most.
    pub(crate) fn limited_until(self, until: Micros) -> ResourceShare {
        ResourceShare { until: self.until.min(until), ..self }
    }
}
