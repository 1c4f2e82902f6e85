//! What passes between a running process, the *elder*, and the one that is started beside it to replace it, its
//! *heir*. No I/O, clock or thread.
//!
//! - [`messages`]: the messages, each with a version and a checksum of its own, so that one that can't be used is
//!   declined alone.
//! - [`resource_split`]: who of the two may use which part of what they share, whoever of them stops, hangs or dies.

pub mod messages;
pub mod resource_split;
