//! A node's control socket: a Unix socket in its state directory, over which operators take servers out of service and
//! inspect the node. `docs/control.md` describes the messages.

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
    Answer, ControlRequest, LinkStatus, OrderAcks, OrderReport, PeerReplicaStatus, RecordKindStatus,
    RecordSummary, ReplicaReport, ReplicatedOrder, RequestEnvelope, ServerReport, SiblingReport,
    SiblingsReport, Version,
};
pub use server::{ClusterOrder, CommandResult, Control, NodeCommand, NodeContext, SiblingsQuery};
