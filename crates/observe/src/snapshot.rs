//! The state of a node at one moment, as JSON. For compatibility between versions, readers skip fields that they do
//! not know, and fields that the writer does not have get default values.

use serde::{Deserialize, Serialize};

/// Number of buckets of a server's latencies.
pub const LATENCY_BUCKETS: usize = 12;

/// Number of answers by latency; see [`bucket_upper_bound_us`](crate::bucket_upper_bound_us).
pub type LatencyBuckets = [u64; LATENCY_BUCKETS];

/// The state of a node at one moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// When the snapshot was taken, Unix time in milliseconds.
    pub at_ms: u64,
    /// When the node started, Unix time in milliseconds. A different value means another node, or one that has
    /// restarted.
    pub started_ms: u64,
    /// Version of the program.
    pub version: String,
    /// How long statistics have been collected, in seconds. They are collected only while an observer is connected; 0
    /// if none was connected before.
    pub watched_s: f64,
    /// Requests that have not been answered or have an attempt in flight.
    pub open: usize,
    /// Connections to servers, in use or idle, as of the last count.
    pub connections: usize,
    /// Resident memory of the process, in KiB.
    pub memory_kb: u64,
    /// Open file descriptors of the process.
    pub descriptors: usize,
    /// Maximum number of file descriptors by the settings.
    pub descriptor_limit: usize,
    /// Answers since the node started, whether or not an observer was connected. Requests whose client had
    /// disconnected are not counted.
    pub since_start: AnswerCounts,
    /// Attempts written completely to servers since the node started.
    pub tries: u64,
    /// Answers since statistics are collected.
    pub answers: AnswerCounts,
    /// The complete seconds of the last minute, the oldest first.
    pub seconds: Vec<SecondStats>,
    /// Latencies of the last ten seconds.
    pub last_10s: LatencySummary,
    /// Latencies of the last minute.
    pub last_60s: LatencySummary,
    /// Violations of the four rules as far as a single node can detect them.
    pub rules: RuleCounts,
    /// State of the list of servers.
    pub list: ServerListStatus,
    /// The servers of the list, by name.
    pub boxes: Vec<BoxStatus>,
    /// Open requests, the oldest first, followed by the slowest that ended within the last minute.
    pub slow: Vec<SlowRequest>,
    /// Tenants; the last entry is for requests without a tenant.
    pub tenants: Vec<TenantStats>,
    /// Shares of the quotas.
    pub shares: Vec<ShareStatus>,
    /// The other nodes, if siblings are configured.
    pub siblings: Option<SiblingsSummary>,
    /// The replicated store, if replication is configured.
    pub common: Option<ReplicaSummary>,
}

/// This node's replica of the replicated store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaSummary {
    /// Whether this replica may lack records that others hold.
    pub behind: bool,
    /// Number of records.
    pub records: usize,
    /// Number of servers for which orders conflict.
    pub conflicts: usize,
    /// Number of servers that are avoided because of reports by other nodes.
    pub left_out: usize,
}

/// Numbers of the other nodes by state, as seen by this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SiblingsSummary {
    /// Nodes heard from recently and confirmed.
    pub here: usize,
    /// Nodes known to use no shared resources any more.
    pub gone: usize,
    /// Nodes in neither state.
    pub unknown: usize,
    /// Fraction that this node may use of its equal part of the shared capacity; 0 if it is not confirmed.
    pub part: f64,
}

/// Numbers of final answers by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AnswerCounts {
    /// Answered with a value, a confirmation, or that there is no value.
    pub served: u64,
    /// Refused without side effects, so that a retry is safe.
    pub busy: u64,
    /// Failed; whether the request took effect is unknown.
    pub failed: u64,
    /// Not answered because the client had disconnected.
    pub gone: u64,
}

/// Statistics of one second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SecondStats {
    /// Number of answers.
    pub answers: u64,
    /// Number of these answers that were refused or failed.
    pub refused: u64,
    /// Median latency of the served answers, in microseconds; 0 if there was none.
    pub p50_us: u64,
    /// 99th percentile of the latency of the served answers, in microseconds.
    pub p99_us: u64,
}

/// Summary of the latencies of served answers, in microseconds, with an error of at most 7 %.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LatencySummary {
    /// Number of served answers.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// Violations of the four rules as far as a single node can detect them, since statistics are collected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RuleCounts {
    /// Rule 1: answers sent after the client's deadline.
    pub late: u64,
    /// Rule 2: repeated attempts of a request that must not be executed twice, after an attempt that may have been
    /// executed.
    pub repeated: u64,
    /// Rule 3: attempts stopped before their first byte because the server was no longer in service. Not a violation.
    pub stopped: u64,
}

/// The state of the list of servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerListStatus {
    /// Source of the current list: `configuration`, `discovery` or `etcd`.
    pub source: String,
    /// Time since the last message from the source, in seconds.
    pub told_s: f64,
    /// Failed calls to the source since then.
    pub failures: u64,
}

/// The state of a server of the list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BoxStatus {
    /// Name of the server.
    pub name: String,
    /// Zone of the server.
    pub zone: String,
    /// Kind of machine.
    pub kind: String,
    /// Whether it is the origin.
    pub origin: bool,
    /// Whether the server is in service according to the list.
    pub listed: bool,
    /// Whether the server is in service, taking operators' orders into account.
    pub serves: bool,
    /// The order that keeps the server out of service.
    pub order: Option<OrderStatus>,
    /// Number of this node's attempts in flight at the server.
    pub out: usize,
    /// Age of the oldest of them, in milliseconds.
    pub oldest_ms: f64,
    /// Time until the last of them must have ended, in milliseconds; after it, the server holds no request of this
    /// node.
    pub free_in_ms: f64,
    /// Number of this node's idle connections to the server.
    pub idle: usize,
    /// Fraction of its capacity that the server can be relied on to have since its start (slow start); 1 means fully
    /// warmed up.
    pub warmth: f64,
    /// Its latency relative to that of the other servers; 1 is usual.
    pub slowness: f64,
    /// Why the server is avoided, if it is: it then receives only an occasional probe request.
    pub left_out: Option<String>,
    /// Latencies of the last 10 to 20 seconds.
    pub times: LatencyBuckets,
    /// Attempts that ended at the server in that time.
    pub measured: AttemptCounts,
}

/// Numbers of attempts at a server that ended within the last 10 to 20 seconds, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AttemptCounts {
    /// Served.
    pub served: u64,
    /// The server had no value for the key.
    pub misses: u64,
    /// Refused, answered with an error, timed out, no connection, or connection lost.
    pub bad: u64,
    /// Canceled because another attempt was answered first.
    pub canceled: u64,
}

/// An operator's order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderStatus {
    /// Number of the order.
    pub number: u64,
    /// Remaining validity in seconds; none if the order is valid until it is revoked.
    pub seconds_left: Option<f64>,
    /// Whether the order remains valid after a restart of the node.
    pub lasting: bool,
}

/// A request that takes or took a long time.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SlowRequest {
    /// Key of the request.
    pub key: String,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant.
    pub tenant: String,
    /// Whether the request is still open.
    pub open: bool,
    /// Time since its arrival, or until its end, in milliseconds.
    pub elapsed_ms: f64,
    /// Time until the client's deadline, in milliseconds.
    pub left_ms: f64,
    /// What the request is waiting for, or how it ended.
    pub why: String,
    /// The steps of the request, in order.
    pub steps: Vec<Step>,
}

/// A step in the processing of a request.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Time since the arrival of the request, in milliseconds.
    pub at_ms: f64,
    /// Description of the step.
    pub what: String,
}

/// Requests and answers of a tenant since statistics are collected.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TenantStats {
    /// Name of the tenant; empty for requests without a tenant.
    pub name: String,
    /// Number of requests.
    pub asked: u64,
    /// Their answers.
    pub answers: AnswerCounts,
}

/// The state of a share in the quotas.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ShareStatus {
    /// Name of the share.
    pub name: String,
    /// Depth in the tree of shares.
    pub depth: usize,
    /// The measure that is limited, and the lane to which it applies.
    pub measure: String,
    /// Amount that the share can always obtain.
    pub guarantee: u64,
    /// Maximum that the share can obtain; none if only the parent's maximum applies.
    pub ceiling: Option<u64>,
    /// Amount used within the window.
    pub used: u64,
    /// Amount used beyond the guarantee, minus what has decayed since.
    pub debt: f64,
    /// Number of the share's own requests that were refused, without those of its children.
    pub refused: u64,
}
