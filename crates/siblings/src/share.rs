//! What a node may use of what all share.

use crate::Micros;

/// A node's own part, in thousandths.
pub const WHOLE: u32 = 1_000;
/// What each of the two beside a node on the ring may take of its part, or has to give back.
pub(crate) const HALF: u32 = WHOLE / 2;

/// What a node may use, of one node's equal part, and until when by its own clock. All parts of all nodes together come to
/// no more than as many wholes as there are nodes, at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Part {
    /// Thousandths of one node's part: 0 to 2,000.
    pub thousandths: u32,
    /// It holds until then; from then on it is nothing, whatever else has been heard.
    pub until: Micros,
}

impl Part {
    /// Of a node without siblings, or that has one only.
    pub const ALWAYS: Part = Part { thousandths: WHOLE, until: Micros::MAX };
    /// Of a node that is not confirmed.
    pub const NOTHING: Part = Part { thousandths: 0, until: 0 };

    /// What it comes to at a time.
    pub fn at(&self, now: Micros) -> u32 {
        if now < self.until { self.thousandths } else { 0 }
    }

    /// With a piece more that holds for so long.
    pub(crate) fn with(self, piece: u32, until: Micros) -> Part {
        let until = if self.thousandths == 0 { until } else { self.until.min(until) };
        Part { thousandths: self.thousandths + piece, until }
    }

    /// No longer than until then.
    pub(crate) fn no_longer_than(self, until: Micros) -> Part {
        Part { until: self.until.min(until), ..self }
    }
}
