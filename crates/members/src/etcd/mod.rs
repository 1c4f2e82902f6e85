//! The list of servers from etcd: docs/membership.md has its keys and values.
//!
//! [`follower`] decides, without I/O; [`source`] carries out what it decides; [`kept`] is what stays on a disk;
//! [`registry`] is for those who write the list.

pub mod follower;
pub mod kept;
pub mod layout;
pub mod registry;
pub mod source;
