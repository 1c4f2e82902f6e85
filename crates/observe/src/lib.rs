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

pub use events::{Event, Events, Told};
pub use latency::{Figures, bucket_limit};
pub use observer::{Observer, Request};
pub use rules::Repeats;
pub use snapshot::{
    Answers, BUCKETS, BoxNow, CommonNow, List, Measured, OrderNow, Rules, Second, ShareNow, SiblingsNow,
    SlowNow, Snapshot, Spread, Step, TenantNow, Times,
};
pub use trace::{End, Kind, Waits};

/// A point in time or a duration, in microseconds. A point that lies before the latest one told counts as that.
pub type Micros = u64;
