//! Membership among the nodes of a site: who is here, who is gone, who is not known, and whose part is whose.
//!
//! Each node is watched by four others and confirmed by them. It may use its part of what all share for a lease's time
//! from when it sent a heartbeat that enough of them have heard; when enough of them have heard nothing new of it, by any way
//! round, for longer than that by the slowest clock, it is gone. Any that confirm and any that end have one in common, and
//! who has ended an incarnation never confirms it again: so nobody is held to be gone who still uses its part.
//! `docs/design/siblings.md` has the reasons and the bounds.
//!
//! No I/O, no clock, no thread: [`Siblings::heard`] and [`Siblings::tick`] are told both clocks and say what is to be
//! sent.

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

pub use parameters::Terms;
pub use ring::Ring;
pub use share::{Part, WHOLE};
pub use siblings::{Change, Counts, Fellow, Out, Setup, Siblings, Way};
pub use view::{State, Why};

/// A time, or a length of it, in microseconds.
pub type Micros = u64;
