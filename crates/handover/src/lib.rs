//! Hot restart: the protocol between a running process, the *predecessor*, and the process started beside it to
//! replace it, the *successor*. No I/O, clock or threads.
//!
//! - [`messages`]: encoding and decoding of messages. Each carries a version and a checksum, so that one unusable
//!   message is declined without losing the others.
//! - [`resource_split`]: how much of the node's shared resources each process may use, whichever of them stops, hangs
//!   or dies.

pub mod messages;
pub mod resource_split;
