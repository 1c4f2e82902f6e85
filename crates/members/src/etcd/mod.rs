//! The server list from etcd. docs/membership.md documents its keys and values.
//!
//! [`follower`] makes the decisions, without I/O; [`source`] carries them out; [`list_cache`] stores the latest list on
//! disk; [`registry`] serves tools that write the list.

pub mod follower;
pub mod layout;
pub mod list_cache;
pub mod registry;
pub mod source;
