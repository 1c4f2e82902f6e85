//! What a node tells of itself at one moment. Fields that a reader does not know are skipped, those that a writer
//! lacks are empty, so that two versions understand each other as far as they can.

use serde::{Deserialize, Serialize};

/// Buckets of a server's times.
pub const LATENCY_BUCKETS: usize = 12;

/// How many answers took how long, by [`bucket_upper_bound_us`](crate::bucket_upper_bound_us).
pub type LatencyBuckets = [u64; LATENCY_BUCKETS];

/// A node at one moment.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Snapshot {
    /// When it was taken, Unix time in milliseconds.
    pub at_ms: u64,
    /// When the node started, Unix time in milliseconds: another one is another node, or one that has restarted.
    pub started_ms: u64,
    /// The node's version.
    pub version: String,
    /// For how long figures have been gathered, in seconds: they are while somebody looks. 0 if nobody did before.
    pub watched_s: f64,
    /// Requests that are owed an answer or have an attempt out.
    pub open: usize,
    /// Connections to servers, in use or at rest, as last counted.
    pub connections: usize,
    /// Memory that the process holds, in KiB.
    pub memory_kb: u64,
    /// Descriptors that the process holds, and may hold by its settings.
    pub descriptors: usize,
    /// See [`Snapshot::descriptors`].
    pub descriptor_limit: usize,
    /// Answers since the node started, whoever looked; who had left is not counted.
    pub since_start: AnswerCounts,
    /// Attempts written whole to servers since the node started.
    pub tries: u64,
    /// Answers since figures are gathered.
    pub answers: AnswerCounts,
    /// The last minute, second by second, the oldest first; the running one is not in it.
    pub seconds: Vec<SecondStats>,
    /// Answer times of the last ten seconds.
    pub last_10s: LatencySummary,
    /// Answer times of the last minute.
    pub last_60s: LatencySummary,
    /// What a node can see of the four rules by itself.
    pub rules: RuleCounts,
    /// The list of servers.
    pub list: ServerListStatus,
    /// The servers of the list, by name.
    pub boxes: Vec<BoxStatus>,
    /// Open requests, the oldest first, and behind them the slowest that ended within the last minute.
    pub slow: Vec<SlowRequest>,
    /// Tenants, and last the requests of none.
    pub tenants: Vec<TenantStats>,
    /// Shares of quotas.
    pub shares: Vec<ShareStatus>,
    /// The other nodes, where nodes speak to one another.
    pub siblings: Option<SiblingsSummary>,
    /// What all nodes hold in common, where they do.
    pub common: Option<ReplicaSummary>,
}

/// What all nodes hold in common, as this one has it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ReplicaSummary {
    /// It may lack what others hold.
    pub behind: bool,
    /// Records.
    pub records: usize,
    /// Servers for which orders contradict each other.
    pub conflicts: usize,
    /// Servers that are left out on the word of others.
    pub left_out: usize,
}

/// The other nodes, as this one sees them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SiblingsSummary {
    /// Heard of lately, and confirmed.
    pub here: usize,
    /// Known to use nothing any more.
    pub gone: usize,
    /// Neither.
    pub unknown: usize,
    /// What this node may use of its equal part of what all share; 0 if it is not confirmed.
    pub part: f64,
}

/// Final answers by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AnswerCounts {
    /// With a value, a receipt, or the word that there is none.
    pub served: u64,
    /// Refused: trying again is harmless.
    pub busy: u64,
    /// Failed, with no promise.
    pub failed: u64,
    /// The client had left before.
    pub gone: u64,
}

/// One second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct SecondStats {
    /// Answers.
    pub answers: u64,
    /// Of them refused or failed.
    pub refused: u64,
    /// Half of those served took no longer, in microseconds; 0 if none was.
    pub p50_us: u64,
    /// 99 of 100 of those served took no longer, in microseconds.
    pub p99_us: u64,
}

/// Times of the answers that were served, in microseconds, within 7 %.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct LatencySummary {
    /// How many.
    pub count: u64,
    /// Half took no longer.
    pub p50_us: u64,
    /// 99 of 100 took no longer.
    pub p99_us: u64,
    /// None took longer.
    pub max_us: u64,
}

/// What a node sees of the four rules by itself, since figures are gathered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RuleCounts {
    /// Rule 1: answers later than the client's wait.
    pub late: u64,
    /// Rule 2: sends of a request that must not run twice, after one that may have run.
    pub repeated: u64,
    /// Rule 3: sends that were stopped before their first byte, for their server serves no more. Not a breach.
    pub stopped: u64,
}

/// The list of servers.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServerListStatus {
    /// Where it came from last: `configuration`, `discovery` or `etcd`.
    pub source: String,
    /// How long ago its source last told anything, in seconds.
    pub told_s: f64,
    /// Calls to its source that failed since then.
    pub failures: u64,
}

/// A server of the list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BoxStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Whether it is the origin.
    pub origin: bool,
    /// Whether it serves by the list.
    pub listed: bool,
    /// Whether it serves, under the orders.
    pub serves: bool,
    /// The order that holds it.
    pub order: Option<OrderStatus>,
    /// The node's requests that are out there.
    pub out: usize,
    /// How long the oldest of them has been out, in milliseconds.
    pub oldest_ms: f64,
    /// The longest that one of them may yet take, in milliseconds: by then it holds nothing of ours.
    pub free_in_ms: f64,
    /// The node's connections that rest there.
    pub idle: usize,
    /// Part of its capacity that it has for certain since it started: 1 is warm.
    pub warmth: f64,
    /// Its answer times in comparison with the others', 1 being usual.
    pub slowness: f64,
    /// Why it gets nothing but a try now and then, if so.
    pub left_out: Option<String>,
    /// Answer times of the last 10 to 20 seconds.
    pub times: LatencyBuckets,
    /// What ended there in that time.
    pub measured: AttemptCounts,
}

/// Attempts at a server that ended within the last 10 to 20 seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct AttemptCounts {
    /// Served.
    pub served: u64,
    /// No value for the key.
    pub misses: u64,
    /// Turned away, failed, broken or unanswered.
    pub bad: u64,
    /// Called off: another answer came first.
    pub canceled: u64,
}

/// An operator's order.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderStatus {
    /// Its number.
    pub number: u64,
    /// How many seconds it holds yet; until it is lifted if there are none.
    pub seconds_left: Option<f64>,
    /// Whether it lasts over a restart.
    pub lasting: bool,
}

/// A request that takes long, or took long.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct SlowRequest {
    /// Its key.
    pub key: String,
    /// Its class.
    pub class: String,
    /// Its tenant.
    pub tenant: String,
    /// Whether it is open.
    pub open: bool,
    /// How long it has taken, in milliseconds.
    pub elapsed_ms: f64,
    /// How long its client waits yet, in milliseconds.
    pub left_ms: f64,
    /// What it waits for, or how it ended.
    pub why: String,
    /// What was decided and what came of it, in order.
    pub steps: Vec<Step>,
}

/// A step of a request's way.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// When, in milliseconds from the request's arrival.
    pub at_ms: f64,
    /// What.
    pub what: String,
}

/// What was asked and answered for a tenant since figures are gathered.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TenantStats {
    /// Its name; empty for requests of none.
    pub name: String,
    /// Requests.
    pub asked: u64,
    /// How they were answered.
    pub answers: AnswerCounts,
}

/// A share of a measure in the quotas.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ShareStatus {
    /// Its name.
    pub name: String,
    /// How deep it stands in the tree.
    pub depth: usize,
    /// What is measured, and in which lane.
    pub measure: String,
    /// What it gets whenever it asks.
    pub guarantee: u64,
    /// What it never gets more than; none if only its parent's holds.
    pub ceiling: Option<u64>,
    /// What it has used over the window.
    pub used: u64,
    /// What it has used beyond its guarantee and not yet been forgiven.
    pub debt: f64,
    /// Requests of the share itself that were refused.
    pub refused: u64,
}
