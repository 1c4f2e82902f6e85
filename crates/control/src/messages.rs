//! The messages of the control socket: a request and its answer are one line of JSON each.

use lilacquay_core::{ServerState, ServerStatus};
use lilacquay_observe::{EventBatch, Snapshot};
use lilacquay_overrides::{ActiveOrder, Micros, Order, OrderEffect, OrderRequest};
use serde::{Deserialize, Serialize};

/// The version of the protocol. A node answers requests of this version and of all earlier ones, with answers that
/// those versions understand.
pub const VERSION: Version = 2;
/// Maximum length of a request line, in bytes; answers are not limited.
pub const MAX_LINE_BYTES: usize = 4096;

/// A version of the protocol.
pub type Version = u32;

/// A request with the version of its protocol.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RequestEnvelope {
    /// The version that the client speaks.
    pub v: Version,
    /// The request.
    #[serde(flatten)]
    pub request: ControlRequest,
}

/// A query or an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum ControlRequest {
    /// Lists the orders in force.
    Orders,
    /// Lists the servers with the number of attempts in flight at each.
    Servers,
    /// Reports the other nodes, as seen by this node.
    Siblings,
    /// Reports this node's replica of the replicated store.
    Replica,
    /// Takes a snapshot of the node. Since version 2, as are all requests below that do not name a server.
    #[serde(rename = "look")]
    Snapshot,
    /// Streams snapshots of the node and its events, at the pace of the client. The connection accepts no further
    /// request.
    Watch {
        /// Interval between snapshots in milliseconds, at least 200.
        every_ms: u64,
        /// Number of the last event seen, 0 for none.
        #[serde(default)]
        after: u64,
    },
    /// Returns the events after one that was seen.
    Events {
        /// Number of the last event seen, 0 for none.
        #[serde(default)]
        after: u64,
        /// Whether to continue with future events. The connection then accepts no further request.
        #[serde(default)]
        follow: bool,
    },
    /// Reloads the configuration, as SIGHUP does.
    Reload,
    /// Sets the log level.
    Level {
        /// `error`, `warn`, `info`, `debug` or `trace`.
        level: String,
        /// Whether to set it at all nodes, if orders are replicated.
        #[serde(default)]
        everywhere: bool,
    },
    /// Stops the node, as SIGTERM does: it answers all requests that it has accepted, then exits.
    Stop,
    /// Takes the node itself out of service; the process continues to run.
    Leave,
    /// Returns the node to service.
    Join,
    /// Writes a diagnosis bundle for troubleshooting.
    Diagnose,
    /// Takes a server out of service.
    Drain {
        /// Name of the server.
        server: String,
        /// Validity of the order in seconds; if none, it is valid until it is revoked.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        seconds: Option<u64>,
        /// Whether the order remains valid after a restart of the node.
        #[serde(default)]
        lasting: bool,
        /// Whether to obey even if no cache remains in service.
        #[serde(default)]
        force: bool,
        /// Number of the server's latest order that the client has seen, 0 for none. The order is refused if the
        /// latest is another one.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        seen: Option<u64>,
        /// Number of nodes that are to hold the order before it is answered, if orders are replicated.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_for: Option<usize>,
    },
    /// Revokes the order that keeps a server out of service.
    Undrain {
        /// Name of the server.
        server: String,
        /// Number of the server's latest order that the client has seen.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        seen: Option<u64>,
        /// Number of nodes that are to hold the order before it is answered, if orders are replicated.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_for: Option<usize>,
    },
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// The orders in force.
    Orders {
        /// In the order of the servers.
        orders: Vec<OrderReport>,
    },
    /// The servers of the list.
    Servers {
        /// In the order of their names.
        servers: Vec<ServerReport>,
    },
    /// The other nodes.
    Siblings {
        /// As seen by this node.
        sight: Box<SiblingsReport>,
    },
    /// This node's replica of the replicated store.
    Replica {
        /// The contents of the replica.
        copy: Box<ReplicaReport>,
    },
    /// The state of the node at one moment.
    Snapshot {
        /// The state.
        snapshot: Box<Snapshot>,
    },
    /// Events, in order.
    Events {
        /// The events, and how many are missing before them.
        #[serde(flatten)]
        batch: EventBatch,
    },
    /// An order to the node itself has been carried out.
    Done {
        /// What was done.
        what: String,
        /// Why the order could not be persisted or written to the audit log, if so.
        unrecorded: Option<String>,
    },
    /// An order on a server has been carried out.
    #[serde(rename = "obeyed")]
    Accepted {
        /// Number of the order.
        number: u64,
        /// The order that it replaces.
        replaced: Option<OrderReport>,
        /// Why the order could not be persisted or written to the audit log, if so.
        unrecorded: Option<String>,
        /// How many nodes hold the order, if orders are replicated.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        held: Option<OrderAcks>,
    },
    /// The order was refused; nothing has changed.
    Refused {
        /// The reason, and what to do about it.
        why: String,
    },
    /// The request cannot be understood.
    Error {
        /// The version that the node speaks.
        v: Version,
        /// What is wrong with the request.
        what: String,
    },
}

/// An order in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct OrderReport {
    /// Name of the server.
    pub server: String,
    /// Remaining validity in seconds; none if the order is valid until it is revoked.
    pub seconds_left: Option<f64>,
    /// Whether the order remains valid after a restart of the node.
    pub lasting: bool,
    /// Number of the order.
    pub number: u64,
}

/// The other nodes, as seen by one node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SiblingsReport {
    /// Name of the site.
    pub site: String,
    /// Index of this node in the list of nodes.
    pub me: usize,
    /// Number of nodes in the list.
    pub nodes: usize,
    /// Incarnation of this node.
    pub incarnation: u64,
    /// Digest of the node's view. It is the same at nodes that agree on which nodes are alive, in which incarnation,
    /// and which are gone.
    pub epoch: String,
    /// Whether enough of the nodes that watch this node confirm its lease.
    pub confirmed: bool,
    /// Whether another process has taken over the identity of this node.
    pub superseded: bool,
    /// Fraction that the node may use of its equal part of the shared capacity.
    pub part: f64,
    /// How unreliable the node considers its own reception of heartbeats, 0 to 8.
    pub doubt: u64,
    /// Number of suspensions of its own process that the node has detected.
    pub pauses: u64,
    /// Number of other nodes that are alive.
    pub here: usize,
    /// Number of other nodes that are gone.
    pub gone: usize,
    /// Number of other nodes whose state is unknown.
    pub unknown: usize,
    /// Number of datagrams sent.
    pub sent: u64,
    /// Total length of the datagrams sent, in bytes.
    pub sent_bytes: u64,
    /// Number of datagrams received and decoded.
    pub read: u64,
    /// Number of datagrams that could not be decoded.
    pub unread: u64,
    /// Number of datagrams from nodes with another site or list of nodes.
    pub strangers: u64,
    /// Number of datagrams from addresses that are not in the list.
    pub unlisted: u64,
    /// The other nodes, in the order of their indexes.
    pub fellows: Vec<SiblingReport>,
    /// Which nodes receive datagrams from which, among neighbours on the ring.
    pub ways: Vec<LinkStatus>,
}

/// Another node, as seen by this node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SiblingReport {
    /// Index of the node.
    pub node: usize,
    /// Address at which this node reaches it.
    pub address: String,
    /// `here` (alive), `gone` or `unknown`.
    pub state: String,
    /// How long it has been in this state, in seconds.
    pub since_s: f64,
    /// The evidence for the state.
    pub why: String,
    /// Its incarnation; 0 if unknown.
    pub incarnation: u64,
    /// Time since its newest heartbeat was received, in seconds.
    pub heard_s: Option<f64>,
    /// Index of the node through which that heartbeat was received.
    pub heard_by: Option<usize>,
    /// Whether datagrams arrive from it directly, if this node watches it.
    pub we_hear: Option<bool>,
    /// Whether this node's datagrams arrive there, as it reports.
    pub hears_us: Option<bool>,
    /// Whether this node watches it and has received nothing from it for three heartbeat periods.
    pub suspected: bool,
}

/// How many nodes hold an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAcks {
    /// Number of nodes that have acknowledged the order, including the one at which it was given.
    pub nodes: usize,
    /// Number of nodes that are alive.
    pub of: usize,
    /// Time until these acknowledgements had arrived, in milliseconds.
    pub after_ms: u64,
    /// Whether concurrent orders conflict with this one; the drain then takes precedence.
    pub conflict: bool,
}

/// A node's replica of the replicated store.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaReport {
    /// Index of this node in the list of nodes.
    pub me: usize,
    /// Number of nodes in the list.
    pub nodes: usize,
    /// `level` (up to date) or `behind`.
    pub stage: String,
    /// How long the replica has been in this stage, in seconds.
    pub since_s: f64,
    /// Root digest of the replica; identical replicas have the same.
    pub root: String,
    /// The number of records of each kind, and whether this node uses them.
    pub kinds: Vec<RecordKindStatus>,
    /// Replicated orders of operators.
    pub orders: Vec<ReplicatedOrder>,
    /// Servers that are avoided because of reports by other nodes.
    pub left_out: Vec<String>,
    /// Servers that other nodes report as slow, with their relative slowness.
    pub believed: Vec<(String, f64)>,
    /// What is known of the replicas of the other nodes.
    pub peers: Vec<PeerReplicaStatus>,
    /// Number of records that were rejected because a limit was reached.
    pub dropped: u64,
    /// Number of datagrams sent.
    pub sent: u64,
    /// Total length of the datagrams sent, in bytes.
    pub sent_bytes: u64,
    /// Number of datagrams received and decoded.
    pub read: u64,
    /// Number of datagrams that could not be decoded.
    pub unread: u64,
    /// The records, up to the limit of the report.
    pub records: Vec<RecordSummary>,
}

/// The records of one kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordKindStatus {
    /// Name of the kind.
    pub kind: String,
    /// Number of records.
    pub records: usize,
    /// Whether this node writes such records and uses them.
    pub on: bool,
}

/// A replicated order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicatedOrder {
    /// Name of the server; empty if the order is for the nodes themselves.
    pub server: String,
    /// The action that is in force.
    pub action: String,
    /// Index of the node at which it was given.
    pub node: usize,
    /// When it was given, as Unix time in seconds by that node's clock.
    pub at: u32,
    /// Remaining validity in seconds; none if it does not expire.
    pub seconds_left: Option<f64>,
    /// Whether the order only records that earlier orders have been revoked.
    pub tombstone: bool,
    /// Descriptions of concurrent orders: none of them was known where another was given.
    pub beside: Vec<String>,
    /// Whether the concurrent orders conflict, so that an operator has to give a new order.
    pub conflict: bool,
}

/// What is known of another node's replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerReplicaStatus {
    /// Index of the node.
    pub node: usize,
    /// Whether its replica was identical according to its last datagram.
    pub same: bool,
    /// Whether it reported that it was behind.
    pub behind: bool,
    /// Time since that datagram, in seconds.
    pub ago_s: f64,
}

/// A record of a replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordSummary {
    /// Id of the record.
    pub id: u64,
    /// Name of its kind.
    pub kind: String,
    /// Index of the node that wrote it.
    pub origin: usize,
    /// Incarnation of that node, and counter of its writes.
    pub version: (u64, u32),
    /// Digest of the record.
    pub sum: u32,
}

/// The link from one node to another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LinkStatus {
    /// Index of the sender.
    pub from: usize,
    /// Index of the receiver.
    pub to: usize,
    /// Whether datagrams arrive.
    pub open: bool,
}

/// A server of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Name of the server.
    pub server: String,
    /// Zone of the server.
    pub zone: String,
    /// Kind of machine.
    pub kind: String,
    /// Whether the server is in service according to the list.
    pub listed: bool,
    /// Whether the server is in service, taking operators' orders into account.
    pub serves: bool,
    /// Number of this node's attempts in flight at the server.
    pub out: usize,
    /// Number of this node's idle connections to the server.
    pub idle: usize,
    /// Number of the order that keeps it out of service.
    pub order: Option<u64>,
}

impl ServerReport {
    /// Converts the state of a server as the core reports it.
    pub fn new(status: ServerStatus) -> Self {
        let ServerStatus {
            name,
            zone,
            kind,
            listed_state: listed,
            effective_state: state,
            attempts_in_flight: out,
            idle_connections: idle,
            order: held,
        } = status;
        let (listed, serves) = (listed == ServerState::Serving, state == ServerState::Serving);
        let order = held.map(|held| held.number);
        ServerReport { server: name, zone, kind, listed, serves, out, idle, order }
    }
}

impl OrderReport {
    /// Describes an order on a server, with its remaining validity at the time `now`.
    pub fn new(server: &str, held: ActiveOrder, now: Micros) -> Self {
        let seconds_left = match held.effect {
            OrderEffect::Drain => None,
            OrderEffect::ExcludedUntil(until) => Some(until.saturating_sub(now) as f64 / 1e6),
        };
        OrderReport { server: server.into(), seconds_left, lasting: held.persistent, number: held.number }
    }
}

impl ControlRequest {
    /// Number of nodes that are to hold the order before it is answered, if requested.
    pub fn wait_for(&self) -> Option<usize> {
        match self {
            ControlRequest::Drain { wait_for, .. } | ControlRequest::Undrain { wait_for, .. } => *wait_for,
            _ => None,
        }
    }

    /// The order on a server that this request gives; none if it is another request.
    pub fn server_order(&self) -> Option<OrderRequest> {
        match self.clone() {
            ControlRequest::Orders
            | ControlRequest::Servers
            | ControlRequest::Snapshot
            | ControlRequest::Watch { .. }
            | ControlRequest::Events { .. } => None,
            ControlRequest::Siblings | ControlRequest::Replica => None,
            ControlRequest::Reload
            | ControlRequest::Level { .. }
            | ControlRequest::Stop
            | ControlRequest::Leave
            | ControlRequest::Join
            | ControlRequest::Diagnose => None,
            ControlRequest::Drain { server, seconds, lasting, force, seen, .. } => {
                let leave_out = |seconds: u64| Order::Exclude(seconds.saturating_mul(1_000_000));
                Some(OrderRequest {
                    server,
                    order: seconds.map_or(Order::Drain, leave_out),
                    persistent: lasting,
                    force,
                    seen,
                })
            }
            ControlRequest::Undrain { server, seen, .. } => {
                Some(OrderRequest { server, order: Order::Undrain, persistent: false, force: false, seen })
            }
        }
    }
}
