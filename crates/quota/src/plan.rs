//! What shares there are, and what is wrong with them.

use std::fmt;

use crate::Micros;

/// The deepest tree, in shares from the root to a leaf.
pub const MAX_DEPTH: usize = 8;

/// What is measured of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dimension {
    /// That there is one.
    Requests,
    /// Its worth, in thousandths.
    Worth,
    /// Its bytes.
    Bytes,
    /// That it is in flight. There is no window to it.
    InFlight,
}

/// One thing that shares are shares of. A request counts in those of its lane alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Measure {
    /// Which requests count.
    pub lane: usize,
    /// What counts of them.
    pub dimension: Dimension,
    /// Over which time.
    pub window: Micros,
}

/// What a share has of a measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// What it gets whenever it asks.
    pub guarantee: u64,
    /// What it never gets more than.
    pub ceiling: u64,
}

impl Bounds {
    /// No guarantee and no ceiling: what a share has of a measure that its plan does not name.
    pub const NONE: Bounds = Bounds { guarantee: 0, ceiling: u64::MAX };
}

/// A node of the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Its name.
    pub name: String,
    /// Its place among its parent's: an index into [`Plan::shares`]. The root alone has none.
    pub parent: Option<usize>,
    /// By measure, in the order of the plan's.
    pub bounds: Vec<Bounds>,
}

/// A tree of shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What is measured.
    pub measures: Vec<Measure>,
    /// The shares, the root first and each behind its parent. The root's ceilings are what there is.
    pub shares: Vec<Share>,
    /// The time in which half of a debt is forgotten.
    pub half_life: Micros,
}

/// What is wrong with a plan.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanError {
    /// No root in the first place, or another share without a parent.
    RootPosition(usize),
    /// A share does not stand behind its parent: a cycle, or a parent that is not there.
    ParentOrder(usize),
    /// A share is deeper than [`MAX_DEPTH`].
    TooDeep(usize),
    /// A share has not one bound for each measure.
    BoundsCount(usize),
    /// A measure's window is too short to be divided, or a half-life is zero.
    WindowTooShort(usize),
    /// A share's ceiling in a measure is under its guarantee.
    CeilingBelowGuarantee(usize, usize),
    /// The guarantees of a share's children in a measure are together over its own, which is the root's ceiling.
    ChildGuaranteesExceedParent(usize, usize),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::RootPosition(share) => write!(f, "share {share}: the first share alone is the root"),
            PlanError::ParentOrder(share) => write!(f, "share {share}: does not stand behind its parent"),
            PlanError::TooDeep(share) => write!(f, "share {share}: deeper than {MAX_DEPTH}"),
            PlanError::BoundsCount(share) => write!(f, "share {share}: not one bound for each measure"),
            PlanError::WindowTooShort(measure) => write!(f, "measure {measure}: too short a window"),
            PlanError::CeilingBelowGuarantee(share, measure) => {
                write!(f, "share {share}, measure {measure}: ceiling under guarantee")
            }
            PlanError::ChildGuaranteesExceedParent(share, measure) => {
                write!(f, "share {share}, measure {measure}: the guarantees of its children exceed its own")
            }
        }
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// What a share has of a measure; the root's guarantee is its ceiling.
    pub fn bounds(&self, share: usize, measure: usize) -> Bounds {
        let bounds = self.shares[share].bounds[measure];
        match share {
            0 => Bounds { guarantee: bounds.ceiling, ..bounds },
            _ => bounds,
        }
    }

    /// All that is wrong with it.
    pub fn check(&self) -> Vec<PlanError> {
        let mut found = Vec::new();
        let short = |measure: &Measure| {
            measure.dimension != Dimension::InFlight && measure.window < crate::gauge::SLOTS as Micros
        };
        found.extend(
            (0..self.measures.len()).filter(|&m| short(&self.measures[m])).map(PlanError::WindowTooShort),
        );
        let mut depths: Vec<usize> = Vec::new();
        for (n, share) in self.shares.iter().enumerate() {
            match share.parent {
                None if n == 0 => depths.push(1),
                Some(parent) if n > 0 && parent < n => depths.push(depths[parent] + 1),
                parent => {
                    found.push(if n == 0 || parent.is_none() {
                        PlanError::RootPosition(n)
                    } else {
                        PlanError::ParentOrder(n)
                    });
                    depths.push(1);
                }
            }
            found.extend((depths[n] > MAX_DEPTH).then_some(PlanError::TooDeep(n)));
            found.extend((share.bounds.len() != self.measures.len()).then_some(PlanError::BoundsCount(n)));
        }
        if self.shares.is_empty() {
            found.push(PlanError::RootPosition(0));
        }
        if found.is_empty() {
            self.check_bounds(&mut found);
        }
        found
    }

    fn check_bounds(&self, found: &mut Vec<PlanError>) {
        for measure in 0..self.measures.len() {
            let mut promised = vec![0_u64; self.shares.len()];
            for (n, share) in self.shares.iter().enumerate() {
                let bounds = self.bounds(n, measure);
                if bounds.ceiling < bounds.guarantee {
                    found.push(PlanError::CeilingBelowGuarantee(n, measure));
                }
                if let Some(parent) = share.parent {
                    promised[parent] = promised[parent].saturating_add(bounds.guarantee);
                }
            }
            let over = (0..self.shares.len()).filter(|&n| promised[n] > self.bounds(n, measure).guarantee);
            found.extend(over.map(|n| PlanError::ChildGuaranteesExceedParent(n, measure)));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn share(parent: Option<usize>, guarantee: u64, ceiling: u64) -> Share {
        Share { name: String::new(), parent, bounds: vec![Bounds { guarantee, ceiling }] }
    }

    fn plan(shares: Vec<Share>) -> Plan {
        let measures = vec![Measure { lane: 0, dimension: Dimension::Requests, window: 1_000_000 }];
        Plan { measures, shares, half_life: 1_000_000 }
    }

    #[test]
    fn each_mistake_is_told_with_its_share() {
        let root = || share(None, 0, 100);
        let good =
            plan(vec![root(), share(Some(0), 60, 100), share(Some(1), 60, 60), share(Some(0), 40, 100)]);
        assert_eq!(good.check(), []);
        let cases = [
            (vec![], PlanError::RootPosition(0)),
            (vec![root(), share(None, 0, 1)], PlanError::RootPosition(1)),
            (vec![root(), share(Some(2), 0, 1), share(Some(1), 0, 1)], PlanError::ParentOrder(1)),
            (vec![root(), share(Some(1), 0, 1)], PlanError::ParentOrder(1)),
            (vec![root(), share(Some(0), 2, 1)], PlanError::CeilingBelowGuarantee(1, 0)),
            (
                vec![root(), share(Some(0), 60, 60), share(Some(0), 41, 41)],
                PlanError::ChildGuaranteesExceedParent(0, 0),
            ),
            (
                vec![root(), share(Some(0), 60, 60), share(Some(1), 61, 61)],
                PlanError::ChildGuaranteesExceedParent(1, 0),
            ),
            ((0..9).map(|n: usize| share(n.checked_sub(1), 0, 1)).collect(), PlanError::TooDeep(8)),
        ];
        for (shares, wrong) in cases {
            assert!(plan(shares).check().contains(&wrong), "{wrong}");
        }
        let mut short = good.clone();
        short.measures[0].window = 0;
        assert_eq!(short.check(), [PlanError::WindowTooShort(0)]);
        short.measures.clear();
        assert_eq!(short.check()[0], PlanError::BoundsCount(0));
    }
}
