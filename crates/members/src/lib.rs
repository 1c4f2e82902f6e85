//! Sources of the server list: HTTP discovery and etcd.

pub mod discovery;
pub mod etcd;
pub mod response_timeout;
