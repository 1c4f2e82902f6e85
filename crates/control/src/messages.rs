//! What is said over the control socket: a question and its answer are a line of JSON each.

use lilacquay_core::{ServerState, ServerStatus};
use lilacquay_observe::{Snapshot, Told};
use lilacquay_overrides::{ActiveOrder, Micros, Order, OrderEffect, OrderRequest};
use serde::{Deserialize, Serialize};

/// The version of these words. A node answers questions of this version and of all before it, in words that those know.
pub const VERSION: Version = 2;
/// The longest line.
pub const LONGEST: usize = 4096;

/// A version of the words.
pub type Version = u32;

/// A question, or an order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Question {
    /// The version that the asker speaks.
    pub v: Version,
    /// What is asked.
    #[serde(flatten)]
    pub verb: Verb,
}

/// What is asked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "ask", rename_all = "kebab-case")]
pub enum Verb {
    /// The orders that hold.
    Orders,
    /// The servers of the list and what is out at each.
    Servers,
    /// The other nodes, as this one sees them.
    Siblings,
    /// What this node holds of what all hold in common.
    Replica,
    /// The node at this moment. From version 2, as all below that have no server.
    Look,
    /// The node again and again, at the asker's own pace, and its events. The connection takes no other question then.
    Watch {
        /// How often, in milliseconds; 200 at least.
        every_ms: u64,
        /// The last event that was seen, 0 for none.
        #[serde(default)]
        after: u64,
    },
    /// Events behind one that was seen.
    Events {
        /// The last that was seen, 0 for none.
        #[serde(default)]
        after: u64,
        /// Whether to go on with those to come. The connection takes no other question then.
        #[serde(default)]
        follow: bool,
    },
    /// To read the configuration again, as by SIGHUP.
    Reload,
    /// To log more or less.
    Level {
        /// `error`, `warn`, `info`, `debug` or `trace`.
        level: String,
        /// At all nodes, where they hold orders in common.
        #[serde(default)]
        everywhere: bool,
    },
    /// To drain the node itself, as by SIGTERM: it answers all that it has taken, and ends.
    Stop,
    /// To take the node itself out of service; it goes on running.
    Leave,
    /// To have it in service again.
    Join,
    /// To write a bundle for whoever looks for a fault.
    Diagnose,
    /// To take a server out of service.
    Drain {
        /// Its name.
        server: String,
        /// Only for so many seconds.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        seconds: Option<u64>,
        /// Also after a restart.
        #[serde(default)]
        lasting: bool,
        /// Also if no cache serves after it.
        #[serde(default)]
        force: bool,
        /// The server's latest order that was seen, 0 for none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        seen: Option<u64>,
        /// To wait until so many nodes hold it, where they hold orders in common.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_for: Option<usize>,
    },
    /// To lift the order that holds a server.
    Undrain {
        /// Its name.
        server: String,
        /// The server's latest order that was seen.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        seen: Option<u64>,
        /// To wait until so many nodes hold it, where they hold orders in common.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        wait_for: Option<usize>,
    },
}

/// The answer to a question.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "kebab-case")]
pub enum Answer {
    /// The orders that hold.
    Orders {
        /// By server.
        orders: Vec<Standing>,
    },
    /// The servers of the list.
    Servers {
        /// By name.
        servers: Vec<Server>,
    },
    /// The other nodes.
    Siblings {
        /// As this one sees them.
        sight: Box<Sight>,
    },
    /// What this node holds of what all hold in common.
    Replica {
        /// Its copy.
        copy: Box<CopyNow>,
    },
    /// The node at a moment.
    Snapshot {
        /// What it told.
        snapshot: Box<Snapshot>,
    },
    /// Events, in order.
    Events {
        /// Which, and how many are missing before them.
        #[serde(flatten)]
        told: Told,
    },
    /// An order on the node itself is obeyed.
    Done {
        /// What was done.
        what: String,
        /// What could not be recorded of it, and why.
        unrecorded: Option<String>,
    },
    /// The order is obeyed.
    Obeyed {
        /// Its number.
        number: u64,
        /// What it took the place of.
        replaced: Option<Standing>,
        /// What could not be recorded of it, and why.
        unrecorded: Option<String>,
        /// How many nodes hold it, where they hold orders in common.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        held: Option<HeldBy>,
    },
    /// The order is not obeyed, and nothing has changed.
    Refused {
        /// Why, and what to do.
        why: String,
    },
    /// The question can't be understood.
    Error {
        /// The version that the node speaks.
        v: Version,
        /// What is wrong with it.
        what: String,
    },
}

/// An order that holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// The server.
    pub server: String,
    /// How many seconds it holds yet; until it is lifted if there are none.
    pub seconds_left: Option<f64>,
    /// Whether it lasts over a restart.
    pub lasting: bool,
    /// Its number.
    pub number: u64,
}

/// The other nodes, as one sees them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Sight {
    /// The site's name.
    pub site: String,
    /// The node's own number, among so many.
    pub me: usize,
    /// How many nodes the list has.
    pub nodes: usize,
    /// The node's own incarnation.
    pub incarnation: u64,
    /// A number of its view: nodes that agree on who lives, in which incarnation, and who is gone, have the same.
    pub epoch: String,
    /// Whether enough of those that watch it confirm it.
    pub confirmed: bool,
    /// Whether another process has taken its name.
    pub superseded: bool,
    /// What it may use of its equal part of what all nodes share.
    pub part: f64,
    /// How much it doubts its own hearing, 0 to 8.
    pub doubt: u64,
    /// Pauses of its own that it noticed.
    pub pauses: u64,
    /// Others that are here.
    pub here: usize,
    /// Others that are gone.
    pub gone: usize,
    /// Others that are not known.
    pub unknown: usize,
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were read.
    pub read: u64,
    /// Datagrams that could not be read.
    pub unread: u64,
    /// Datagrams of another site or list.
    pub strangers: u64,
    /// Datagrams from addresses that are no node's.
    pub unlisted: u64,
    /// The others, by number.
    pub fellows: Vec<FellowNow>,
    /// Who hears whom, among neighbours on the ring.
    pub ways: Vec<WayNow>,
}

/// Another node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct FellowNow {
    /// Its number.
    pub node: usize,
    /// Where this node reaches it.
    pub address: String,
    /// `here`, `gone` or `unknown`.
    pub state: String,
    /// For how long, in seconds.
    pub since_s: f64,
    /// On what evidence.
    pub why: String,
    /// Its incarnation; 0 if none is known.
    pub incarnation: u64,
    /// How long ago its newest word came, in seconds.
    pub heard_s: Option<f64>,
    /// Through which node.
    pub heard_by: Option<usize>,
    /// Whether its own datagrams come, where this node watches it.
    pub we_hear: Option<bool>,
    /// Whether ours come to it, by its own word.
    pub hears_us: Option<bool>,
    /// It is watched here and has been silent for three periods.
    pub suspected: bool,
}

/// How many nodes hold an order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldBy {
    /// So many have said so, the one that it was given at among them.
    pub nodes: usize,
    /// Of so many that are here.
    pub of: usize,
    /// After so long, in milliseconds.
    pub after_ms: u64,
    /// Other orders that had not seen this one contradict it: the drain stands.
    pub conflict: bool,
}

/// A node's copy of what all hold in common.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CopyNow {
    /// The node's own number, among so many.
    pub me: usize,
    /// How many nodes the list has.
    pub nodes: usize,
    /// `level` or `behind`.
    pub stage: String,
    /// Since how long, in seconds.
    pub since_s: f64,
    /// A number of all that it tells: copies that are alike have the same.
    pub root: String,
    /// What is held of each kind, and whether this node goes by it.
    pub kinds: Vec<KindNow>,
    /// Operators' orders.
    pub orders: Vec<OrderHeld>,
    /// Servers that are left out on the word of other nodes.
    pub left_out: Vec<String>,
    /// Servers that other nodes have seen to be slow, and by how much.
    pub believed: Vec<(String, f64)>,
    /// What is known of the other nodes' copies.
    pub peers: Vec<PeerCopy>,
    /// Records that a bound has kept out.
    pub dropped: u64,
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Datagrams that were read.
    pub read: u64,
    /// Datagrams that could not be read.
    pub unread: u64,
    /// All records, as far as there is room to tell them.
    pub records: Vec<RecordNow>,
}

/// The records of a kind.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct KindNow {
    /// Its name.
    pub kind: String,
    /// How many are held.
    pub records: usize,
    /// Whether this node writes such, and goes by them.
    pub on: bool,
}

/// An order that is held in common.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OrderHeld {
    /// Of which server; of the nodes themselves if there is none.
    pub server: String,
    /// What stands.
    pub action: String,
    /// At which node it was given.
    pub node: usize,
    /// When, Unix time in seconds by that node's clock.
    pub at: u32,
    /// How many seconds it holds yet, if it ends by itself.
    pub seconds_left: Option<f64>,
    /// It holds nothing, and is kept for what it has lifted.
    pub tombstone: bool,
    /// Orders that had not seen it, nor it them, in words.
    pub beside: Vec<String>,
    /// They contradict each other: somebody is to order anew.
    pub conflict: bool,
}

/// What is known of another's copy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PeerCopy {
    /// Its number.
    pub node: usize,
    /// It held the same when it was heard of last.
    pub same: bool,
    /// It was behind, by its own word.
    pub behind: bool,
    /// How long ago that was, in seconds.
    pub ago_s: f64,
}

/// A record.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default)]
pub struct RecordNow {
    /// By what it is known.
    pub id: u64,
    /// Its kind's name.
    pub kind: String,
    /// Who wrote it.
    pub origin: usize,
    /// In which incarnation, and how manieth there.
    pub version: (u64, u32),
    /// A number of what it says.
    pub sum: u32,
}

/// A way from one node to another.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WayNow {
    /// Whose datagrams.
    pub from: usize,
    /// To whom.
    pub to: usize,
    /// Whether they come.
    pub open: bool,
}

/// A server of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Server {
    /// Its name.
    pub server: String,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Whether it serves by the list.
    pub listed: bool,
    /// Whether it serves, under the orders.
    pub serves: bool,
    /// The node's requests that are out there.
    pub out: usize,
    /// The node's connections that rest there.
    pub idle: usize,
    /// The number of the order that holds it.
    pub order: Option<u64>,
}

impl Server {
    /// In words.
    pub fn new(now: ServerStatus) -> Self {
        let ServerStatus {
            name,
            zone,
            kind,
            listed_state: listed,
            effective_state: state,
            attempts_in_flight: out,
            idle_connections: idle,
            order: held,
        } = now;
        let (listed, serves) = (listed == ServerState::Serving, state == ServerState::Serving);
        let order = held.map(|held| held.number);
        Server { server: name, zone, kind, listed, serves, out, idle, order }
    }
}

impl Standing {
    /// In words, at a time.
    pub fn new(server: &str, held: ActiveOrder, now: Micros) -> Self {
        let seconds_left = match held.effect {
            OrderEffect::Drain => None,
            OrderEffect::ExcludedUntil(until) => Some(until.saturating_sub(now) as f64 / 1e6),
        };
        Standing { server: server.into(), seconds_left, lasting: held.persistent, number: held.number }
    }
}

impl Verb {
    /// How many nodes are to hold the order before it is answered, if that is asked for.
    pub fn wait_for(&self) -> Option<usize> {
        match self {
            Verb::Drain { wait_for, .. } | Verb::Undrain { wait_for, .. } => *wait_for,
            _ => None,
        }
    }

    /// The order on a server that it gives, if it is one.
    pub fn order(&self) -> Option<OrderRequest> {
        match self.clone() {
            Verb::Orders | Verb::Servers | Verb::Look | Verb::Watch { .. } | Verb::Events { .. } => None,
            Verb::Siblings | Verb::Replica => None,
            Verb::Reload | Verb::Level { .. } | Verb::Stop | Verb::Leave | Verb::Join | Verb::Diagnose => {
                None
            }
            Verb::Drain { server, seconds, lasting, force, seen, .. } => {
                let time = |seconds: u64| Order::Exclude(seconds.saturating_mul(1_000_000));
                Some(OrderRequest {
                    server,
                    order: seconds.map_or(Order::Drain, time),
                    persistent: lasting,
                    force,
                    seen,
                })
            }
            Verb::Undrain { server, seen, .. } => {
                Some(OrderRequest { server, order: Order::Undrain, persistent: false, force: false, seen })
            }
        }
    }
}
