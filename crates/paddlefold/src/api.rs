//! The interface of the decision module: the events that it takes and the actions that it returns.
//!
//! It knows no transport. All times and durations are whole microseconds; the clock may start anywhere but
//! never goes back (an earlier `now` is read as the latest one so far).
//!
//! Misuse is harmless: an event about an unknown request, attempt or timer is ignored, as is a second
//! [`Request`] with an id still in use. Each [`Action::Send`] must be answered by exactly one
//! [`Event::Outcome`]; until it comes, the attempt counts as not ended.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Identifies a request; chosen by the embedder. An id must not be used twice with the same balancer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Identifies a cache server or the origin; the same at every node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub u32);

/// Identifies a timer: chosen by the module in [`Action::SetTimer`] and returned in [`Event::Timer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerToken(pub u64);

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// May be repeated freely.
    Safe,
    /// Carries an idempotency key: the servers of one [`Scope`] discard repeats for a time.
    Keyed {
        /// Which servers discard repeats.
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
    /// Those in the zone of the server that ran it first.
    Zone,
    /// Those in the cell of the server that ran it first ([`Member::cell`]).
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The latency target: answers within this time have full worth.
    pub aim: Micros,
    /// Value of one answer relative to other classes.
    pub worth: f64,
    /// Whether its requests may run more than once.
    pub effect: Effect,
}

/// Who fetches a missing value from the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Cache-aside: a cache answers `Miss`, and the node asks the origin, which is a member of the list.
    Aside,
    /// Read-through and write-through: the cache fetches by itself, and writes go through any cache.
    Through,
}

/// Configuration of a balancer, fixed at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Classes, by the index that [`Request::class`] uses.
    pub classes: Vec<Class>,
    /// Each tenant's share of the service, by the index that [`Request::tenant`] uses.
    pub tenant_shares: Vec<f64>,
    /// Worth of a request beyond its tenant's share, as a fraction of its class's worth.
    pub over_share_worth: f64,
    /// Who fetches missing values from the origin.
    pub mode: Mode,
    /// Whether the list must be subscribed to.
    pub must_subscribe: bool,
    /// Without a subscription, the longest time between two requests for the list.
    pub must_ask_in: Micros,
    /// Whether [`Member::weight`] is a constant size; if not, it is not used.
    pub steady_weights: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether two attempts of a request may be in flight at once (hedged requests).
    pub second_copies: bool,
    /// The most attempts per request.
    pub max_attempts: usize,
    /// The longest retry delay that clients honour after a refusal; 0 if they honour none.
    pub max_retry_after: Micros,
    /// Length of slow start: a server has its full capacity this long after its start.
    pub cold: Micros,
    /// The fraction of its capacity that a server has at least when it starts.
    pub cold_from: f64,
    /// A server in slow start collapses if it is sent this multiple of its capacity, ...
    pub overload_factor: f64,
    /// ... for this long.
    pub fall: Micros,
    /// Time resolution of the embedder: the least time between events. Waiting requests are answered this
    /// long before their deadline.
    pub quantum: Micros,
    /// Number of nodes that send to these servers, this one included.
    pub nodes: usize,
    /// Idle connections are closed by the servers after this time.
    pub keepalive: Micros,
    /// The zone of this node, comparable with [`Member::zone`].
    pub zone: Option<u32>,
    /// What an attempt at another zone costs, as a fraction of the worth of a request.
    pub cross_zone_price: f64,
}

impl Default for Settings {
    /// No classes, missing values fetched by the caches, no slow start.
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
    /// Finishing its requests; gets no new ones.
    Draining,
    /// Gone.
    Removed,
}

/// An entry of the list of servers, caches and origin alike.
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
    /// Its kind of machine; servers of one kind are about equally fast.
    pub kind: u32,
    /// Its size relative to the others.
    pub weight: f64,
    /// When it last started; `None` if that is long ago.
    pub started: Option<Micros>,
    /// Whether it is the origin rather than a cache.
    pub origin: bool,
    /// Whether it discards repeats by idempotency key. At a server that does not, keyed requests must not run
    /// twice, like unsafe ones.
    pub deduplicates: bool,
}

impl Member {
    /// A cache of weight 1 that has been in service for long.
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

    /// Whether this server and `other` discard repeats of each other's requests.
    pub fn deduplicates_with(&self, other: &Member, scope: Scope) -> bool {
        let same_group = match scope {
            Scope::All => true,
            Scope::Zone => self.zone == other.zone,
            Scope::Cell => self.cell == other.cell,
        };
        same_group && self.deduplicates && other.deduplicates
    }
}

/// How a list event relates to the known list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    /// Changed entries only.
    Delta,
    /// The whole list: servers that it omits are removed.
    Full,
    /// A request for the list failed or the subscription broke; the known list stays.
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
    /// The key whose value it reads or writes; requests with the same key go to the same caches.
    pub key: Option<String>,
    /// Time left until the client gives up.
    pub budget: Micros,
    /// Whether it changes the value.
    pub write: bool,
    /// Whether servers can recognize its repeats. If not, a request of a keyed class must not run twice.
    pub has_idempotency_key: bool,
}

impl Request {
    /// A read without class, tenant or key, and with no time left.
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
    /// Rejected by a full queue; it did not run.
    QueueFull,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection could be made; it did not run.
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
    /// Index of the attempt among the request's attempts, from 0.
    pub attempt: usize,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from its send to its end.
    pub elapsed: Micros,
    /// Whether the request has its final answer, by this outcome or before.
    pub settled: bool,
    /// Whether the cache held the value, if it reported that.
    pub hit: Option<bool>,
    /// CPU utilization of the server (0 to 1), if it reported that.
    pub utilization: Option<f64>,
}

impl AttemptEnd {
    /// An attempt that ended at once, with nothing else reported; it settles the request if it was served.
    pub fn new(id: RequestId, attempt: usize, outcome: Outcome) -> Self {
        let settled = outcome == Outcome::Ok;
        AttemptEnd { id, attempt, outcome, elapsed: 0, settled, hit: None, utilization: None }
    }
}

/// An input of the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// An update of the list of servers.
    Members {
        /// How `members` relates to the known list.
        scope: ListScope,
        /// The entries.
        members: Vec<Member>,
    },
    /// The list comes from another place from now on: earlier failures to get it say nothing about that.
    ListSourceChanged,
    /// A client's request arrived; it must get exactly one final answer.
    Request(Request),
    /// An attempt ended.
    Outcome(AttemptEnd),
    /// A streamed answer has begun: from now on the request's answer comes from this attempt.
    FirstByte {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: usize,
    },
    /// The client has left; no answer is needed any more.
    ClientGone(RequestId),
    /// A timer is due.
    Timer(TimerToken),
    /// How slow other nodes found a server by their own requests. It is kept apart from this node's own
    /// estimate, so that a report does not reinforce itself by going round.
    PeerSlowness {
        /// The server.
        server: ServerId,
        /// Its response times relative to all caches, 1 being usual; values above 6 count as 6.
        slowness: f64,
        /// The end of its validity.
        until: Micros,
    },
    /// What fraction of its share of the capacity that all nodes share this node may use: 1 is all, 0 none.
    /// Before the first such event the node may use all. More than 1 counts as 1: the share of a node that
    /// has gone comes to the others along with the requests that it had.
    CapacityShare {
        /// The fraction of its share.
        share: f64,
        /// The end of its validity; from then on the node has no share.
        until: Micros,
    },
}

/// An output of the module: what the embedder must do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start the request's next attempt.
    Send {
        /// The request.
        id: RequestId,
        /// The server to send it to.
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
    /// Final answer: refused; a retry is harmless.
    Refuse {
        /// The request.
        id: RequestId,
        /// After what time the client may retry; 0 is no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may or may not have run.
    Fail(RequestId),
    /// Deliver [`Event::Timer`] after this time.
    SetTimer {
        /// Time from now.
        after: Micros,
        /// The token to return.
        token: TimerToken,
    },
    /// Subscribe to changes of the list of servers.
    Subscribe,
}
