//! Membership among the nodes of a site: which nodes are here, gone or unknown, and which share of the common resources
//! each may use.
//!
//! Each node is watched by up to four others, which acknowledge its heartbeats. It may use its share for one lease
//! duration, counted from when it sent a heartbeat that a quorum of its watchers has acknowledged. It is gone when a
//! quorum of them has heard nothing new of it, directly or relayed, for longer than a lease lasts by the slowest clock.
//! Any confirmation quorum and any expiry quorum have a watcher in common, and a watcher that has reported the lease
//! of an incarnation as expired never confirms that incarnation again, so no node is held to be gone while it still
//! uses its share.
//! `docs/design/siblings.md` has the reasons and the bounds.
//!
//! Does no I/O, reads no clock and starts no thread: [`Membership::handle_datagram`] and [`Membership::tick`] are given
//! the time of both clocks and return the datagrams to send.

mod gossip_queue;
mod parameters;
mod pause_detector;
mod peer_monitor;
mod ring;
mod self_state;
mod share;
mod siblings;
pub mod simulation;
mod view;

pub use parameters::Parameters;
pub use ring::Ring;
pub use share::{FULL_SHARE, ResourceShare};
pub use siblings::{Counters, LinkState, Membership, MembershipEvent, OutgoingDatagram, PeerStatus, Setup};
pub use view::{NodeState, StateReason};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;
