//! Hierarchical quotas: a tree of shares with guarantees and ceilings, in several dimensions over several windows.
//! Unused capacity is lent to other shares and returns when its owner asks for it.
//!
//! No I/O, clock or threads: [`Quota::try_acquire`] takes the time and decides whether a request is admitted, and
//! [`Quota::release`] records how it ended. `docs/design/quotas.md` gives the reasons.

mod gauge;
mod plan;
mod quota;

pub use plan::{Bounds, Dimension, MAX_DEPTH, Measure, Plan, PlanError, Share};
pub use quota::{Completion, ExceededReason, Quota, QuotaExceeded, QuotaRequest, Ticket};

/// A point in time or a duration, in microseconds. A point before the latest one seen counts as the latest.
pub type Micros = u64;
