//! What clients speak.
//!
//! A [`Protocol`] turns bytes into calls and answers into bytes, without I/O. All else is alike for every
//! front: the [`Acceptor`] takes connections of any number of listeners and bounds them together, and a session
//! for each connection reads, opens requests at the core, writes the answers in order and knows when to part.

pub mod accept_policy;
mod acceptor;
pub mod close_policy;
pub mod close_reason;
pub mod connection_limiter;
mod idle_connections;
pub mod memcache;
mod protocol;
pub mod resp;
mod responses;
mod session;
mod shared;
mod socket;

pub use acceptor::Acceptor;
pub use protocol::{Input, Malformed, Parting, Protocol, Refusal};
pub use shared::ClientLimits;
