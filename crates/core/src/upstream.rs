//! What carries out an attempt: the interface of the upstreams.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use lilacquay_metrics::Tries;
use paddlefold::Outcome;
use tokio::time::Instant;

use crate::call::{Call, OperationResult};
use crate::permit::InvariantChecker;
use crate::value_stream::{Opening, ValueSender};

/// Makes connections to servers.
///
/// Neither this nor a [`Connection`] may try anything again or probe: that is decided elsewhere.
pub trait Upstream: Clone + Send + Sync + 'static {
    /// A connection to a server, between requests.
    type Connection: Connection;

    /// Whether servers of this kind of machine discard the repeats of a keyed write.
    fn deduplicates_writes(&self, _kind: &str) -> bool {
        true
    }

    /// Connects to a server. Dropped before, it leaves nothing open.
    fn connect(&self, target: &Target) -> impl Future<Output = io::Result<Self::Connection>> + Send;
}

/// A connection to a server, between requests. Dropped, also while a request is out, it closes at once.
pub trait Connection: Sized + Send + 'static {
    /// What the server has done to it since its last answer.
    fn idle_state(&self) -> IdleState;

    /// Whether the server has left it open and sent nothing unasked.
    fn is_live(&self) -> bool {
        self.idle_state() == IdleState::Live
    }

    /// Sends one request, whose client waits until then, and waits for its answer. What is told of that time is
    /// reckoned as it is written. The connection comes back if another request may use it.
    fn send_request(
        self,
        call: &Call,
        target: &Target,
        deadline: Instant,
    ) -> impl Future<Output = (Reply, Option<Self>)> + Send;
}

/// What a server has done to an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Nothing: it can be used.
    Live,
    /// It has closed or broken it.
    Closed,
    /// It has sent something that nobody asked for, such as an answer once more.
    UnsolicitedData,
}

/// Where an attempt goes.
#[derive(Clone)]
pub struct Target {
    /// The server's address.
    pub addr: SocketAddr,
    /// Whether it is the origin, not a cache.
    pub origin: bool,
    /// Its kind of machine, by name.
    pub kind: Arc<str>,
    /// An answer that comes before then is none: it may be the last one of its connection, once more.
    pub(crate) believed_from: Instant,
    /// What the attempt is held against as it is written.
    pub(crate) invariants: InvariantChecker,
    /// Counts attempts.
    pub(crate) tries: Tries,
    /// Of one attempt, by which it tells that its answer has begun.
    pub(crate) opening: Opening,
}

impl Target {
    /// Tells that the head of a value over [`MAX_BUFFERED_VALUE_BYTES`](crate::MAX_BUFFERED_VALUE_BYTES) has come: from here on the attempt is
    /// the client's if it is the first, and nobody wants it if not. Once in an attempt.
    pub fn begin_stream(&self, length: usize, flags: u32) -> ValueSender {
        self.opening.begin(length, flags)
    }

    /// Whether what comes now may be the answer to the request before on the same connection, sent once more.
    pub fn may_be_duplicate_answer(&self) -> bool {
        Instant::now() < self.believed_from
    }

    /// Tells that an attempt's first byte is about to be written.
    pub(crate) fn begins(&self) {
        self.invariants.begins();
    }

    /// Tells that an attempt has been written whole, and how long its server was told that the client waits, if it
    /// was told.
    pub fn request_written(&self, told: Option<Duration>) {
        self.tries.count();
        if let Some(told) = told {
            self.invariants.written(told);
        }
    }

    pub(crate) fn standing(&self) -> &Standing {
        &self.invariants.standing
    }
}

/// Whether a server may be sent anything new; shared with the attempts under way.
#[derive(Clone)]
pub(crate) struct Standing(Arc<AtomicBool>);

impl Standing {
    pub fn new() -> Self {
        Standing(Arc::new(AtomicBool::new(true)))
    }
    pub fn serving(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
    pub fn set(&self, serving: bool) {
        self.0.store(serving, Ordering::Relaxed);
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub struct Reply {
    /// By the protocol's table.
    pub outcome: Outcome,
    /// What to serve, after [`Outcome::Ok`].
    pub result: OperationResult,
    /// Whether the value was at hand, where the server told.
    pub cache_hit: Option<bool>,
}

impl Reply {
    /// An outcome that comes with nothing.
    pub fn from_outcome(outcome: Outcome) -> Self {
        Reply { outcome, result: OperationResult::value(Bytes::new()), cache_hit: None }
    }

    /// What a server has made, with nothing told beside.
    pub fn success(result: OperationResult) -> Self {
        Reply { result, ..Reply::from_outcome(Outcome::Ok) }
    }
}
