//! What the nodes of a site hold in common: small records by kind, origin and name, that are alike at all of them some
//! moments after the last change, whatever was lost, late or doubled on the way.
//!
//! Each record is written by its origin alone, and of two copies the newer one stands, so that copies can be merged in any
//! order. Where records of several origins speak of one thing, the kind's own rule says what follows, and no rule gives
//! back what another takes away: [`orders`], [`endpoint_reports`], [`evidence`]. What may not be used twice is not
//! held in common but lent: [`leases`]. `docs/design/replica.md` has the reasons and the bounds.
//!
//! No I/O, no clock, no thread: [`Replica::handle_datagram`] and [`Replica::tick`] are told the time and say what is to be sent.

pub mod endpoint_reports;
pub mod evidence;
mod gossip_queue;
pub mod leases;
pub mod orders;
mod rate_limit;
mod replica;
pub mod simulation;
mod store;

pub use replica::{Counters, OrdersFull, OutgoingDatagram, PeerSync, Replica, Setup, SyncState};
pub use store::{MergeOutcome, StoredRecord, record_checksum, record_id};

/// A time, or a length of it, in microseconds.
pub type Micros = u64;

/// What a record means. Records of other kinds are kept and passed on, for fellows of a later build.
pub mod kind {
    /// An operator's order.
    pub const ORDER: u8 = 1;
    /// Word that a server drains or is gone.
    pub const ENDPOINT_REPORT: u8 = 2;
    /// What a node has seen of a server.
    pub const EVIDENCE: u8 = 3;
}
