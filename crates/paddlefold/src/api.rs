//! The interface of the decision module: what it is told and what it asks for.
//!
//! Transport-free. All times and durations are whole microseconds; the clock may start anywhere
//! but never goes back (an earlier `now` is read as the latest one seen).
//!
//! Misuse is harmless: an event about an unknown request, attempt or timer is ignored, as is a
//! second [`Request`] with an id still in use. Each [`Action::Send`] must be answered by exactly
//! one [`Event::Outcome`]; while one is missing, the module keeps the attempt on its books.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// A request, as named by the embedder. Ids must not repeat while one balancer lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// A cache server or the origin. The same at every node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Names a timer; the module chooses it and gets it back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerToken(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// Repeats are discarded by the servers of one [`Scope`] for a time.
    Keyed {
        /// Who deduplicates repeats.
        scope: Scope,
        /// For how long after the first send that may have run.
        window: Micros,
    },
    /// Must not run twice.
    #[default]
    Unsafe,
}

/// Which servers discard the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All of them.
    All,
    /// Those in the zone of the first.
    Zone,
    /// Those in the cell of the first ([`Member::cell`]).
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Answers within this time have full worth.
    pub aim: Micros,
    /// Worth of one answer, for comparison with other classes.
    pub worth: f64,
    /// What a repeat may do.
    pub effect: Effect,
}

/// Where a missing value is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// A cache answers `Miss`; the node asks the origin, a member of the list.
    Aside,
    /// The cache fetches by itself; writes go through any cache.
    Through,
}

/// What the module is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes, by the index that [`Request::class`] uses.
    pub classes: Vec<Class>,
    /// Each tenant's share of the service, by the index that [`Request::tenant`] uses.
    pub tenant_shares: Vec<f64>,
    /// Worth of a request beyond its tenant's share, as a part of its class's.
    pub over_share_worth: f64,
    /// Where missing values are fetched.
    pub mode: Mode,
    /// Whether the list must be subscribed to.
    pub must_subscribe: bool,
    /// Without a subscription, the list must be asked for at least this often.
    pub must_ask_in: Micros,
    /// Whether [`Member::weight`] is a steady size (if not, it is not used).
    pub steady_weights: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Most attempts per request.
    pub max_attempts: usize,
    /// Longest wait a client honours after a refusal; 0 if none does.
    pub max_retry_after: Micros,
    /// A started server is warm after this time.
    pub cold: Micros,
    /// A started server has at least this part of its capacity.
    pub cold_from: f64,
    /// A cold server collapses if sent this multiple of its capacity...
    pub overload_factor: f64,
    /// ...for this long.
    pub fall: Micros,
    /// The least time between events; held requests are answered this much before their end.
    pub quantum: Micros,
    /// Nodes that send to these servers, this one included.
    pub nodes: usize,
    /// Idle connections close by themselves after this time.
    pub keepalive: Micros,
    /// The zone of this node, comparable with [`Member::zone`].
    pub zone: Option<u32>,
    /// What an attempt at another zone costs, as a part of what the service is worth.
    pub cross_zone_price: f64,
}

impl Default for Settings {
    /// Unnamed classes only, values fetched by the caches, nothing cold.
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            tenant_shares: Vec::new(),
            over_share_worth: 1.0,
            mode: Mode::Through,
            must_subscribe: false,
            must_ask_in: 10_000_000,
            steady_weights: true,
            cancel: true,
            second_copies: true,
            max_attempts: 4,
            max_retry_after: 0,
            cold: 0,
            cold_from: 1.0,
            overload_factor: 3.0,
            fall: 1_000_000,
            quantum: 1_000,
            nodes: 1,
            keepalive: 60_000_000,
            zone: None,
            cross_zone_price: 0.0,
        }
    }
}

/// State of a member of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberState {
    /// In service.
    #[default]
    Up,
    /// Finishing its work; gets nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// An entry of the list of servers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Member {
    /// The server.
    pub id: ServerId,
    /// Its state.
    pub state: MemberState,
    /// Its zone, for [`Scope::Zone`].
    pub zone: u32,
    /// Its cell, for [`Scope::Cell`].
    pub cell: u32,
    /// Its kind of machine; those of one kind are about equally quick.
    pub kind: u32,
    /// Size in comparison with the others.
    pub weight: f64,
    /// When it last started; `None` is long ago.
    pub started: Option<Micros>,
    /// It is the origin, not a cache.
    pub origin: bool,
    /// It deduplicates the repeats of keyed requests. For one that does not, such a request is as one that must not
    /// run twice.
    pub deduplicates: bool,
}

impl Member {
    /// A cache in service since long ago, of weight 1.
    pub fn up(id: ServerId) -> Self {
        Member {
            id,
            state: MemberState::Up,
            zone: 0,
            cell: 0,
            kind: 0,
            weight: 1.0,
            started: None,
            origin: false,
            deduplicates: true,
        }
    }

    /// Whether this server and `other` discard each other's repeats.
    pub fn groups_with(&self, other: &Member, scope: Scope) -> bool {
        let grouped = match scope {
            Scope::All => true,
            Scope::Zone => self.zone == other.zone,
            Scope::Cell => self.cell == other.cell,
        };
        grouped && self.deduplicates && other.deduplicates
    }
}

/// How a list event relates to the list held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Delta,
    /// The whole list: members it omits are gone.
    Full,
    /// A call for the list failed or the subscription broke; the list held stays.
    Failed,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class, an index into [`Settings::classes`].
    pub class: Option<usize>,
    /// Its tenant, an index into [`Settings::tenant_shares`].
    pub tenant: Option<usize>,
    /// What it is about; requests with one key belong together.
    pub key: Option<String>,
    /// Time left until the client gives up.
    pub budget: Micros,
    /// It changes something.
    pub write: bool,
    /// Servers can know its repeats. Without, one of a keyed class must not run twice.
    pub has_idempotency_key: bool,
}

impl Request {
    /// A read of no told class, tenant or key, with no time left.
    pub fn new(id: RequestId) -> Self {
        Request {
            id,
            class: None,
            tenant: None,
            key: None,
            budget: 0,
            write: false,
            has_idempotency_key: true,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Failed,
    /// Turned away unseen.
    QueueFull,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection.
    ConnectError,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Canceled,
    /// Not sent.
    Ignored,
    /// The cache holds no value for the key.
    Miss,
}

impl Outcome {
    /// Whether the attempt may have had its effect.
    pub fn may_have_run(self) -> bool {
        use Outcome::*;
        matches!(self, Ok | Failed | TimedOut | Reset | Canceled)
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub id: RequestId,
    /// The attempt: its place among the request's sends, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// The request has ended, by this outcome or before.
    pub settled: bool,
    /// Whether the value was at hand, where the server told.
    pub hit: Option<bool>,
    /// How busy the server's cores are (0 to 1), where it told.
    pub utilization: Option<f64>,
}

impl AttemptEnd {
    /// An attempt that ended at once, with nothing told beside; it settles the request if it was served.
    pub fn new(id: RequestId, attempt: usize, outcome: Outcome) -> Self {
        let settled = outcome == Outcome::Ok;
        AttemptEnd { id, attempt, outcome, elapsed: 0, settled, hit: None, utilization: None }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    Members {
        /// How to read `members`.
        scope: ListScope,
        /// The entries.
        members: Vec<Member>,
    },
    /// A client's request arrived; it is owed one final answer.
    Request(Request),
    /// An attempt ended.
    Outcome(AttemptEnd),
    /// A streamed answer has begun: the attempt now belongs to the client.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// The client left; nothing is owed.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(TimerToken),
    /// What other nodes have seen of a server by their own requests. It counts beside what this node has seen, never as
    /// that, so that no rumour feeds itself.
    PeerSlowness {
        /// The server.
        server: ServerId,
        /// How much slower than all caches it answers, 1 being usual; at most 6 is believed.
        slowness: f64,
        /// It is believed until then.
        until: Micros,
    },
    /// How much of this node's part of what all nodes share it may use: 1 is all, 0 nothing. A node that is never told
    /// has all. More than 1 counts as 1: what a fellow leaves comes with the requests that it had.
    CapacityShare {
        /// The part of its part.
        share: f64,
        /// It holds until then, and from then on there is none.
        until: Micros,
    },
}

/// What the embedder must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        server: ServerId,
        /// Time-out; 0 means until the client gives up.
        timeout: Micros,
    },
    /// Stop waiting for an attempt; its outcome still comes.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// Final answer: refused, and a retry does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// How long the client should stay away; 0 is no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, with no promise about its effect.
    Fail(RequestId),
    /// Bring [`Event::Timer`] after this time.
    SetTimer {
        /// From now.
        after: Micros,
        /// To give back.
        token: TimerToken,
    },
    /// Ask for changes of the list from now on.
    Subscribe,
}
