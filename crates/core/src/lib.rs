//! The core of a node: open requests, attempts, timers and servers round the decision module.
//!
//! It knows no protocol. Three kinds of parts plug into it:
//!
//! - a *front* hands in a [`Call`] with [`Requests::open`] and gets exactly one [`Answer`] from the
//!   [`PendingAnswer`] that it holds; dropping that says that the client has gone;
//! - an [`Upstream`] carries out one attempt at one server and tells how it ended, as an [`Outcome`] of the
//!   protocol's table;
//! - a *source of members* hands in [`ServerList`]s by its [`MembershipHandle`].
//!
//! What is sent where, tried again or refused is decided by [`paddlefold::Balancer`] alone: [`Driver`] tells
//! it what happens and carries out what it asks for.

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
mod request_log;
mod requests;
mod resource_exhaustion;
mod resource_share;
pub mod reuse;
pub mod stall;
pub mod time_left;
mod upstream;
mod value_stream;

pub use admission::Admission;
pub use call::{
    Answer, Call, CallError, MAX_BUFFERED_VALUE_BYTES, MAX_WRITE_VALUE_BYTES, OperationResult, StoreOptions,
    Verb,
};
pub use clock::Clock;
pub use driver::{Driver, Gauges, Handles, Options};
pub use list::{ServerEntry, ServerList, ServerState};
pub use members::MembershipHandle;
pub use message::{CoreHandle, HandoverState, ListUpdate, ObserverGuard, PeerStatus, ReplicatedUpdate};
pub use overrides::{OrdersInForce, ServerStatus};
pub use paddlefold::{Learned, Micros, Outcome};
pub use requests::{DuplicateRequestId, PendingAnswer, Requests};
pub use resource_exhaustion::is_local_resource_exhaustion;
pub use resource_share::ResourceShare;
pub use upstream::{Connection, IdleState, Reply, Target, Upstream};
pub use value_stream::{
    BufferReservation, MAX_STREAMED_VALUE_BYTES, ReceiverClosed, ValueChunk, ValueSender, ValueStream,
};
