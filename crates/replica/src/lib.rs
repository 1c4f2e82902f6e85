//! State replicated among the nodes of a site: small records by kind, origin and name, which become identical at all nodes
//! soon after the last change, whatever was lost, late or duplicated on the way.
//!
//! Only its origin writes a record, and the newer of two versions wins, so that replicas can be merged in any order. Where
//! records of several origins concern the same subject, a rule of the kind decides what follows, and no rule restores what
//! another one takes away: [`orders`], [`endpoint_reports`], [`evidence`]. What must not be used twice is not replicated
//! but lent: [`leases`]. `docs/design/replica.md` has the reasons and the bounds.
//!
//! Does no I/O, reads no clock and starts no thread: [`Replica::handle_datagram`] and [`Replica::tick`] are given the time
//! and return the datagrams to send.

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

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// The kinds of records. Records of other kinds are kept and relayed, for nodes that run a later build.
pub mod kind {
    /// An operator's order.
    pub const ORDER: u8 = 1;
    /// A report that a server drains or is gone.
    pub const ENDPOINT_REPORT: u8 = 2;
    /// What a node has observed of a server's answer times.
    pub const EVIDENCE: u8 = 3;
}
