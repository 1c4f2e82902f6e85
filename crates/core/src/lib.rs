//! The core of a node: open requests, attempts, timers and servers round the decision module.
//!
//! It knows no protocol. Three kinds of parts plug into it:
//!
//! - a *front* hands in a [`Call`] with [`Requests::open`] and gets exactly one [`Answer`] from the
//!   [`Pending`] that it holds; dropping that says that the client has gone;
//! - an [`Upstream`] carries out one attempt at one server and tells how it ended, as an [`Outcome`] of the
//!   protocol's table;
//! - a *source of members* hands in [`List`]s by its [`Members`].
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
pub use call::{Answer, Call, CallError, Made, Terms, VALUE_LIMIT, Verb, WRITE_LIMIT};
pub use clock::Clock;
pub use driver::{Driver, Gauges, Handles, Options};
pub use list::{Entry, List, State};
pub use members::Members;
pub use message::{Fellows, Heritage, InCommon, ListTold, Orders, Watching};
pub use overrides::{Holding, ServerNow};
pub use paddlefold::{Learned, Micros, Outcome};
pub use requests::{InUse, Pending, Requests};
pub use resource_exhaustion::is_own_shortage;
pub use resource_share::Portion;
pub use upstream::{Connection, IdleState, Reply, Target, Upstream};
pub use value_stream::{FLOW_LIMIT, Feeder, Flow, Piece, Room, Unwanted};
