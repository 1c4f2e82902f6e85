//! Hot restart: the protocol between a running process, the *predecessor*, and the process started beside it to
//! replace it, the *successor*. No I/O, clock or threads.
//!
//! - [`messages`]: encoding and decoding of messages. Each carries a checksum and each state part a version, so that one
//!   unusable part is declined alone.
//! - [`resource_split`]: how much of the node's shared resources each process may use, whichever of them stops, hangs
//!   or dies.

pub mod messages;
pub mod resource_split;
