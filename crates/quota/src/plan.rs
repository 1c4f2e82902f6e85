//! The quota plan: its measures, the tree of shares and their bounds, and the validation of all three.

use std::fmt;

use crate::Micros;

/// Maximum depth of the tree, in shares from the root to a leaf.
pub const MAX_DEPTH: usize = 8;

/// The property of a request that a measure counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dimension {
    /// The number of requests.
    Requests,
    /// The worth of a request, in thousandths.
    Worth,
    /// The size of a request in bytes.
    Bytes,
    /// The number of requests in flight. It has no window.
    InFlight,
}

/// A quantity that is divided into shares. A request counts only in the measures of its lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Measure {
    /// The group of requests that count: those with this lane number.
    pub lane: usize,
    /// The property that is counted.
    pub dimension: Dimension,
    /// Length of the sliding window.
    pub window: Micros,
}

/// Bounds of a share in one measure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Amount that is available to the share whenever it asks.
    pub guarantee: u64,
    /// Amount that the share never exceeds.
    pub ceiling: u64,
}

impl Bounds {
    /// No guarantee and no ceiling: the bounds in a measure for which the plan gives none.
    pub const NONE: Bounds = Bounds { guarantee: 0, ceiling: u64::MAX };
}

/// A node of the tree of shares.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Share {
    /// Name of the share.
    pub name: String,
    /// Index of its parent in [`Plan::shares`]; `None` for the root only.
    pub parent: Option<usize>,
    /// Bounds by measure, in the order of [`Plan::measures`].
    pub bounds: Vec<Bounds>,
}

/// A tree of shares and the quantities it divides.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The measures.
    pub measures: Vec<Measure>,
    /// The shares, with the root first and each share after its parent. The root's ceilings are the total capacity.
    pub shares: Vec<Share>,
    /// Half-life of a debt; 0 counts as 1 µs.
    pub half_life: Micros,
}

/// An error in a plan, with the index of the share or measure, or of both.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanError {
    /// The first share is not a root, or another share has no parent.
    RootPosition(usize),
    /// A share does not come after its parent: a cycle, or a parent that does not exist.
    ParentOrder(usize),
    /// A share is deeper than [`MAX_DEPTH`].
    TooDeep(usize),
    /// A share does not have exactly one entry of bounds for each measure.
    BoundsCount(usize),
    /// A measure's window is too short to be divided into slots.
    WindowTooShort(usize),
    /// A share's ceiling in a measure is below its guarantee.
    CeilingBelowGuarantee(usize, usize),
    /// The guarantees of a share's children in a measure add up to more than its own. The root's guarantee is its
    /// ceiling.
    ChildGuaranteesExceedParent(usize, usize),
}

impl fmt::Display for PlanError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlanError::RootPosition(share) => {
                write!(f, "share {share}: only the first share may be the root")
            }
            PlanError::ParentOrder(share) => write!(f, "share {share}: does not come after its parent"),
            PlanError::TooDeep(share) => write!(f, "share {share}: deeper than {MAX_DEPTH} levels"),
            PlanError::BoundsCount(share) => {
                write!(f, "share {share}: needs exactly one entry of bounds for each measure")
            }
            PlanError::WindowTooShort(measure) => write!(f, "measure {measure}: window too short"),
            PlanError::CeilingBelowGuarantee(share, measure) => {
                write!(f, "share {share}, measure {measure}: ceiling below guarantee")
            }
            PlanError::ChildGuaranteesExceedParent(share, measure) => {
                write!(f, "share {share}, measure {measure}: the guarantees of its children exceed its own")
            }
        }
    }
}

impl std::error::Error for PlanError {}

impl Plan {
    /// Bounds of a share in a measure. The root's guarantee is its ceiling.
    pub fn bounds(&self, share: usize, measure: usize) -> Bounds {
        let bounds = self.shares[share].bounds[measure];
        match share {
            0 => Bounds { guarantee: bounds.ceiling, ..bounds },
            _ => bounds,
        }
    }

    /// Validates the plan and returns all errors.
    pub fn check(&self) -> Vec<PlanError> {
        let mut errors = Vec::new();
        let is_too_short = |measure: &Measure| {
            measure.dimension != Dimension::InFlight && measure.window < crate::gauge::SLOTS as Micros
        };
        errors.extend(
            (0..self.measures.len())
                .filter(|&m| is_too_short(&self.measures[m]))
                .map(PlanError::WindowTooShort),
        );
        let mut depths: Vec<usize> = Vec::new();
        for (n, share) in self.shares.iter().enumerate() {
            match share.parent {
                None if n == 0 => depths.push(1),
                Some(parent) if n > 0 && parent < n => depths.push(depths[parent] + 1),
                parent => {
                    errors.push(if n == 0 || parent.is_none() {
                        PlanError::RootPosition(n)
                    } else {
                        PlanError::ParentOrder(n)
                    });
                    depths.push(1);
                }
            }
            errors.extend((depths[n] > MAX_DEPTH).then_some(PlanError::TooDeep(n)));
            errors.extend((share.bounds.len() != self.measures.len()).then_some(PlanError::BoundsCount(n)));
        }
        if self.shares.is_empty() {
            errors.push(PlanError::RootPosition(0));
        }
        if errors.is_empty() {
            self.check_bounds(&mut errors);
        }
        errors
    }

    fn check_bounds(&self, errors: &mut Vec<PlanError>) {
        for measure in 0..self.measures.len() {
            let mut guaranteed_to_children = vec![0_u64; self.shares.len()];
            for (n, share) in self.shares.iter().enumerate() {
                let bounds = self.bounds(n, measure);
                if bounds.ceiling < bounds.guarantee {
                    errors.push(PlanError::CeilingBelowGuarantee(n, measure));
                }
                if let Some(parent) = share.parent {
                    guaranteed_to_children[parent] =
                        guaranteed_to_children[parent].saturating_add(bounds.guarantee);
                }
            }
            let over = (0..self.shares.len())
                .filter(|&n| guaranteed_to_children[n] > self.bounds(n, measure).guarantee);
            errors.extend(over.map(|n| PlanError::ChildGuaranteesExceedParent(n, measure)));
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
    fn each_error_is_reported_with_its_share() {
        let root = || share(None, 0, 100);
        let valid =
            plan(vec![root(), share(Some(0), 60, 100), share(Some(1), 60, 60), share(Some(0), 40, 100)]);
        assert_eq!(valid.check(), []);
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
        for (shares, expected) in cases {
            assert!(plan(shares).check().contains(&expected), "{expected}");
        }
        let mut short = valid.clone();
        short.measures[0].window = 0;
        assert_eq!(short.check(), [PlanError::WindowTooShort(0)]);
        short.measures.clear();
        assert_eq!(short.check()[0], PlanError::BoundsCount(0));
    }
}
