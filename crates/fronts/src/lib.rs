//! Client-facing protocols and connections.
//!
//! A [`Protocol`] parses bytes into calls and formats answers as bytes, without I/O. Everything else is common to all
//! frontends: the [`Acceptor`] accepts connections on any number of listeners under common limits, and a session per
//! connection reads commands, opens requests at the core, writes the answers in order and decides when to close.

pub mod accept_policy;
mod acceptor;
mod arriving_command;
mod buffer_memory;
pub mod buffer_pool;
pub mod close_policy;
pub mod close_reason;
pub mod delivery;
mod evictable_connections;
pub mod eviction_queue;
pub mod memcache;
mod protocol;
mod read_ahead;
pub mod resp;
mod responses;
mod session;
mod shared;
mod socket;

pub use acceptor::Acceptor;
pub use protocol::{CloseNotice, Malformed, ParsedCommand, PartialCommand, Protocol, Refusal};
pub use shared::ClientLimits;
