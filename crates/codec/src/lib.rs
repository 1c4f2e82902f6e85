//! Wire formats without I/O: bytes in, frames out, with bounds that hold before anything is allocated.

pub mod envelope;
pub mod memcache;
pub mod replica;
pub mod resp;
pub mod siblings;
