//! Encoders and decoders for the wire formats, without I/O: bytes in, frames out. Length bounds are checked before
//! anything is allocated.

pub mod envelope;
pub mod memcache;
pub mod replica;
pub mod resp;
pub mod siblings;
