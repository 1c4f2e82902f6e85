//! A stand-in for etcd: one revisioned store behind several gRPC endpoints, each with injectable faults. It is written
//! from etcd's public API documentation.

pub mod server;
pub mod store;

pub use server::{Etcd, EtcdFaults, EtcdPlan};
pub use store::Store;
