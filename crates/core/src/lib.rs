//! The core of a node: manages open requests, attempts, timers and servers around the load balancer.
//!
//! It is independent of any protocol. Three kinds of components plug into it:
//!
//! - a protocol front end submits a [`Call`] with [`Requests::open`] and receives exactly one [`Answer`] from the
//!   [`PendingAnswer`] that it holds; dropping the [`PendingAnswer`] reports that the client has disconnected;
//! - an [`Upstream`] executes one attempt at one server and reports how it ended, as an [`Outcome`] of the
//!   protocol's outcome table;
//! - a membership source submits [`ServerList`]s through its [`MembershipHandle`].
//!
//! [`paddlefold::Balancer`] alone decides where requests are sent and which are retried or refused. [`Driver`]
//! passes events to it and executes the actions that it returns.

mod admission;
mod attempt;
mod buffer_budget;
mod call;
mod clock;
mod directory;
mod driver;
mod list;
mod members;
mod message;
mod overrides;
mod permit;
pub mod recent_writes;
mod request_log;
pub mod request_memory;
mod requests;
mod resource_exhaustion;
mod resource_share;
pub mod reuse;
pub mod stall;
pub mod time_left;
mod upstream;
mod value_stream;
mod write_registry;

pub use admission::Admission;
pub use call::{
    Answer, Call, CallError, MAX_BUFFERED_VALUE_BYTES, MAX_WRITE_VALUE_BYTES, OperationResult, StoreOptions,
    Verb,
};
pub use clock::Clock;
pub use driver::{Driver, Gauges, Handles, Options};
pub use list::{ServerEntry, ServerList, ServerState};
pub use members::MembershipHandle;
pub use message::{
    CoreHandle, HandoverState, ListUpdate, MembershipSummary, ObserverGuard, ReplicatedUpdate,
};
pub use overrides::{OrdersInForce, ServerStatus};
pub use paddlefold::{Learned, Micros, Outcome};
pub use requests::{DuplicateRequestId, PendingAnswer, Requests};
pub use resource_exhaustion::is_local_resource_exhaustion;
pub use resource_share::ResourceShare;
pub use upstream::{Connection, IdleState, Reply, Target, Upstream};
pub use value_stream::{
    BufferReservation, MAX_STREAMED_VALUE_BYTES, ReceiverClosed, ValueChunk, ValueSender, ValueStream,
};
pub use write_registry::{WriteRegistry, WriteUpdate};
