//! What a node may use of what all share.

use crate::Micros;

/// A node's own part, in thousandths.
pub const FULL_SHARE: u32 = 1_000;
/// What each of the two beside a node on the ring may take of its part, or has to give back.
pub(crate) const HALF_SHARE: u32 = FULL_SHARE / 2;

/// What a node may use, of one node's equal part, and until when by its own clock. All parts of all nodes together come to
/// no more than as many wholes as there are nodes, at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ResourceShare {
    /// Thousandths of one node's part: 0 to 2,000.
    pub thousandths: u32,
    /// It holds until then; from then on it is nothing, whatever else has been heard.
    pub until: Micros,
}

impl ResourceShare {
    /// Of a node without siblings, or that has one only.
    pub const PERMANENT: ResourceShare = ResourceShare { thousandths: FULL_SHARE, until: Micros::MAX };
    /// Of a node that is not confirmed.
    pub const NONE: ResourceShare = ResourceShare { thousandths: 0, until: 0 };

    /// What it comes to at a time.
    pub fn thousandths_at(&self, now: Micros) -> u32 {
        if now < self.until { self.thousandths } else { 0 }
    }

    /// With a piece more that holds for so long.
    pub(crate) fn with(self, piece: u32, until: Micros) -> ResourceShare {
        let until = if self.thousandths == 0 { until } else { self.until.min(until) };
        ResourceShare { thousandths: self.thousandths + piece, until }
    }

    /// No longer than until then.
    pub(crate) fn no_longer_than(self, until: Micros) -> ResourceShare {
        ResourceShare { until: self.until.min(until), ..self }
    }
}
