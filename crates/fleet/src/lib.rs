//! Stand-ins for all that a node meets, on loopback: cache boxes, the origin, discovery, etcd and clients.
//!
//! They are seeded, take faults while they run, and record what comes to them, so that the four rules can be
//! checked from outside: see [`verdict`]. A [`Fleet`] runs them on a thread of its own.
//!
//! What they are not: measurements of real machines. A box has cores, slots, a bounded store and a start in
//! the cold, which is what makes boxes queue, slow down, miss and fall over.

pub mod cache;
pub mod clients;
mod clock;
pub mod cluster;
mod cut_body;
pub mod discovery;
pub mod etcd;
pub mod fault;
mod memcache;
pub mod origin;
pub mod record;
pub mod script;
pub mod settings;
mod site;
mod slow_accept;
pub mod soak;
pub mod store;
pub mod verdict;

pub use clock::{Clock, Micros};
pub use fault::Faults;
pub use site::{Fleet, FleetConfig};
pub use slow_accept::FullListener;
