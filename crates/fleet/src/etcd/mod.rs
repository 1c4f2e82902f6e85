//! A stand-in etcd: one revisioned store behind several endpoints, from the public API's words, with faults.

pub mod server;
pub mod store;

pub use server::{Etcd, EtcdFaults, EtcdPlan};
pub use store::Store;
