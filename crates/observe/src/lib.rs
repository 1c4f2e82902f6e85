//! What a node sees of its own work: figures of the last minute, the trail of each open request, and events.
//!
//! No I/O, no clock, no thread: [`Observer`] is told what happens and when, and fills in the part of a [`Snapshot`]
//! that it knows; [`Events`] is a bounded ring that tells a reader what it has missed. Nothing here decides anything
//! about a request. `docs/design/appliance.md` has the reasons.

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
pub use trace::{AnswerKind, AttemptOutcome, WaitReason};

/// A point in time or a duration, in microseconds. A point that lies before the latest one told counts as that.
pub type Micros = u64;
