//! The list of servers from etcd: docs/membership.md has its keys and values.
//!
//! [`follower`] decides, without I/O; [`source`] carries out what it decides; [`list_cache`] is what stays on a disk;
//! [`registry`] is for those who write the list.

pub mod follower;
pub mod layout;
pub mod list_cache;
pub mod registry;
pub mod source;
