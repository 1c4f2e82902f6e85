//! What a node records of its own work: statistics of the last minute, a trace of each open request, and events.
//!
//! No I/O, no clock, no thread: [`Observer`] is notified of what happens and when, and fills in its part of a
//! [`Snapshot`]; [`Events`] is a bounded ring buffer that reports to a reader how many events it has missed. Nothing
//! here influences how requests are handled. `docs/design/appliance.md` gives the reasons.

mod events;
mod latency;
mod observer;
mod rules;
mod snapshot;
mod trace;

pub use events::{Event, EventBatch, Events};
pub use latency::{LatencyHistory, bucket_upper_bound_us};
pub use observer::{Observer, RequestInfo};
pub use rules::RetrySafety;
pub use snapshot::{
    AnswerCounts, AttemptCounts, BoxStatus, LATENCY_BUCKETS, LatencyBuckets, LatencySummary, OrderStatus,
    ReplicaSummary, RuleCounts, SecondStats, ServerListStatus, ShareStatus, SiblingsSummary, SlowRequest,
    Snapshot, Step, TenantStats,
};
pub use trace::{AnswerKind, AttemptOutcome, TraceWaitReason};

/// A point in time or a duration, in microseconds. A point in time before the latest one reported is treated as the
/// latest.
pub type Micros = u64;
