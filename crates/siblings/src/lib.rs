//! Membership among the nodes of a site: who is here, who is gone, who is not known, and whose part is whose.
//!
//! Each node is watched by four others and confirmed by them. It may use its part of what all share for a lease's time
//! from when it sent a beat that enough of them have heard; when enough of them have heard nothing new of it, by any way
//! round, for longer than that by the slowest clock, it is gone. Any that confirm and any that end have one in common, and
//! who has ended an incarnation never confirms it again: so nobody is held to be gone who still uses its part.
//! `docs/design/siblings.md` has the reasons and the bounds.
//!
//! No I/O, no clock, no thread: [`Siblings::heard`] and [`Siblings::tick`] are told both clocks and say what is to be
//! sent.

mod own;
mod part;
mod pulse;
mod ring;
mod siblings;
mod spread;
mod terms;
mod view;
mod watch;
pub mod world;

pub use part::{Part, WHOLE};
pub use ring::Ring;
pub use siblings::{Change, Counts, Fellow, Out, Setup, Siblings, Way};
pub use terms::Terms;
pub use view::{State, Why};

/// A time, or a length of it, in microseconds.
pub type Micros = u64;
