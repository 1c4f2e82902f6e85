//! Nested quotas: a tree of guaranteed shares, in several dimensions over several windows, borrowed and given back.
//!
//! No I/O, no clock, no thread: [`Quota::ask`] is told the time and says whether a request is admitted,
//! [`Quota::done`] is told how it ended. `docs/design/quotas.md` has the reasons.

mod gauge;
mod plan;
mod quota;

pub use plan::{Bounds, Dimension, MAX_DEPTH, Measure, Plan, PlanError, Share};
pub use quota::{Completion, Over, Quota, QuotaRequest, Ticket, Why};

/// A point in time or a duration, in microseconds. A point that lies before the latest one told counts as that.
pub type Micros = u64;
