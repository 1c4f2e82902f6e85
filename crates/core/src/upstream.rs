//! The interface that executes attempts: connecting to servers, sending requests and reading replies.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use lilacquay_metrics::AttemptCounter;
use paddlefold::Outcome;
use tokio::time::Instant;

use crate::call::{Call, OperationResult};
use crate::permit::InvariantChecker;
use crate::value_stream::{StreamStarter, ValueSender};

/// Connects to servers.
///
/// Neither this nor a [`Connection`] may retry or probe; the balancer decides that.
pub trait Upstream: Clone + Send + Sync + 'static {
    /// An idle connection to a server.
    type Connection: Connection;

    /// Whether servers of this machine type discard repetitions of a write that carries an idempotency key.
    fn deduplicates_writes(&self, _kind: &str) -> bool {
        true
    }

    /// Connects to a server. If the future is dropped early, nothing stays open.
    fn connect(&self, target: &Target) -> impl Future<Output = io::Result<Self::Connection>> + Send;
}

/// An idle connection to a server. It closes as soon as it is dropped, also while a request is in flight.
pub trait Connection: Sized + Send + 'static {
    /// The state of the connection since the server's last answer.
    fn idle_state(&self) -> IdleState;

    /// Whether the server has kept the connection open and sent no unsolicited data.
    fn is_live(&self) -> bool {
        self.idle_state() == IdleState::Live
    }

    /// Sends one request and waits for its answer. `deadline` is when the client's time-out expires; the time-out that
    /// is sent to the server is computed from it when the request is written. Returns the connection if another
    /// request may reuse it.
    fn send_request(
        self,
        call: &Call,
        target: &Target,
        deadline: Instant,
    ) -> impl Future<Output = (Reply, Option<Self>)> + Send;
}

/// The state of an idle connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleState {
    /// Open and without unread data: it can be used.
    Live,
    /// Closed or broken by the server.
    Closed,
    /// The server has sent data without a request, such as a duplicate answer.
    UnsolicitedData,
}

/// The destination of an attempt.
#[derive(Clone)]
pub struct Target {
    /// The server's address.
    pub addr: SocketAddr,
    /// Whether the server is the origin, not a cache.
    pub origin: bool,
    /// The name of the server's machine type.
    pub kind: Arc<str>,
    /// An answer before this time is not trusted: it may be a duplicate of the connection's previous answer.
    pub(crate) trusted_from: Instant,
    /// Checks the attempt as it is written.
    pub(crate) invariants: InvariantChecker,
    /// Counts attempts.
    pub(crate) tries: AttemptCounter,
    /// Reports that a streamed answer has started.
    pub(crate) stream_starter: StreamStarter,
}

impl Target {
    /// Reports that the head of a value over [`MAX_BUFFERED_VALUE_BYTES`](crate::MAX_BUFFERED_VALUE_BYTES) has
    /// arrived. If this attempt is the first, its value is streamed to the client; if not, the value is discarded. At
    /// most once per attempt.
    pub fn begin_stream(&self, length: usize, flags: u32) -> ValueSender {
        self.stream_starter.start(length, flags)
    }

    /// Whether data that arrives now may be a duplicate of the answer to the previous request on the connection.
    pub fn may_be_duplicate_answer(&self) -> bool {
        self.untrusted_until().is_some()
    }

    /// Until when data that arrives may be a duplicate of the answer to the previous request on the connection; `None` if
    /// that time is over.
    pub fn untrusted_until(&self) -> Option<Instant> {
        Some(self.trusted_from).filter(|trusted_from| Instant::now() < *trusted_from)
    }

    /// Must be called when the attempt's first byte is about to be written.
    pub(crate) fn check_start(&self) {
        self.invariants.check_start();
    }

    /// Must be called when the attempt has been written completely, with the client time-out that was sent to the
    /// server, if any was.
    pub fn request_written(&self, sent_timeout: Option<Duration>) {
        self.tries.increment();
        if let Some(sent_timeout) = sent_timeout {
            self.invariants.check_sent_timeout(sent_timeout);
        }
    }

    pub(crate) fn availability(&self) -> &Availability {
        &self.invariants.availability
    }
}

/// Whether a server may be sent new requests; shared with the attempts in progress.
#[derive(Clone)]
pub(crate) struct Availability(Arc<AtomicBool>);

impl Availability {
    pub fn new() -> Self {
        Availability(Arc::new(AtomicBool::new(true)))
    }
    pub fn is_serving(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
    pub fn set(&self, serving: bool) {
        self.0.store(serving, Ordering::Relaxed);
    }
    /// Whether both belong to the same process of a server.
    pub fn is_same(&self, other: &Availability) -> bool {
        Arc::ptr_eq(&self.0, &other.0)
    }
}

/// The result of an attempt.
#[derive(Debug)]
pub struct Reply {
    /// The outcome according to the protocol's outcome table.
    pub outcome: Outcome,
    /// The result to serve if the outcome is [`Outcome::Ok`].
    pub result: OperationResult,
    /// Whether it was a cache hit, if the server reports that.
    pub cache_hit: Option<bool>,
}

impl Reply {
    /// A reply without a result.
    pub fn from_outcome(outcome: Outcome) -> Self {
        Reply { outcome, result: OperationResult::value(Bytes::new()), cache_hit: None }
    }

    /// A successful reply, without information on whether it was a cache hit.
    pub fn success(result: OperationResult) -> Self {
        Reply { result, ..Reply::from_outcome(Outcome::Ok) }
    }
}
