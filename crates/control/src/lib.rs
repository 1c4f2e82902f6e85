//! A node's control socket: a Unix socket in its state folder, over which operators order servers away and read what
//! holds. `docs/control.md` has the words.

mod client;
mod event_log;
mod folder;
mod messages;
mod process;
mod publisher;
mod server;

pub use client::{Client, ClientError, Stream};
pub use event_log::EventLog;
pub use folder::StateDir;
pub use messages::{
    ActiveOrder, Answer, ControlRequest, LinkStatus, OrderAcks, PeerReplicaStatus, RecordKindStatus,
    RecordSummary, ReplicaReport, ReplicatedOrder, RequestEnvelope, Server, SiblingReport, SiblingsReport,
    Version,
};
pub use server::{ClusterOrder, CommandResult, Control, NodeCommand, NodeContext, SiblingsQuery};
