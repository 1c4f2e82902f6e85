//! Where the list of servers comes from: a module for each source.

pub mod discovery;
pub mod etcd;
