//! Stand-in servers on loopback, for tests and for trying out a node: cache boxes, the origin, discovery and etcd, and
//! clients that load a node.
//!
//! All random choices are seeded. The servers can be given faults while they run, and record what they receive, so
//! that the four rules of a node can be checked from outside: see [`verdict`]. A [`Fleet`] runs its servers on one
//! thread of its own.
//!
//! The stand-ins do not model real machines in their absolute numbers. A box has a number of cores, a bounded queue, a
//! bounded store and a cold start, which is what makes boxes queue, slow down, miss and fail under overload.

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
