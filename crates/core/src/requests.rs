//! The interface to the protocol front ends: opens requests and bounds the memory that they hold.

use std::collections::HashSet;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use lilacquay_metrics::{Metrics, RequestOutcome, Rule};
use paddlefold::RequestId;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::warn;

use crate::call::{Answer, Call};
use crate::message::{Message, NewRequest};
use crate::request_memory::{MemoryReservation, RequestMemory};
use crate::resource_share::ResourceShare;
use crate::write_registry::WriteRegistry;

/// The estimated memory that an open request occupies in addition to its command and its answer.
const REQUEST_OVERHEAD_BYTES: usize = 4 << 10;

/// Opens requests; shared by all front ends.
#[derive(Clone)]
pub struct Requests {
    driver: UnboundedSender<Message>,
    next_id: Arc<AtomicU32>,
    open_ids: Arc<Mutex<HashSet<Bytes>>>,
    memory: RequestMemory,
    recent_writes: WriteRegistry,
    metrics: Metrics,
    /// Set once no more requests are accepted.
    shutting_down: Arc<AtomicBool>,
}

/// A request with the same id is already open, or may have taken effect and must not be repeated.
#[derive(Debug, PartialEq, Eq)]
pub struct DuplicateRequestId;

impl Requests {
    pub(crate) fn new(
        driver: UnboundedSender<Message>,
        memory_limit_bytes: usize,
        resource_share: ResourceShare,
        recent_writes: WriteRegistry,
        metrics: Metrics,
        shutting_down: Arc<AtomicBool>,
    ) -> Self {
        let (next_id, open_ids) = Default::default();
        let memory = RequestMemory::new(memory_limit_bytes, resource_share);
        Requests { driver, next_id, open_ids, memory, recent_writes, metrics, shutting_down }
    }

    /// Opens a request whose last byte was read at `received_at` and whose command is `bytes` long.
    ///
    /// # Errors
    /// If a request with the same id is open, at any front end. Otherwise a server could answer with the result of the
    /// other client's request, or with one result for both. Also if such a request may have taken effect lately, here or
    /// in the other process of the node, and must not be repeated.
    pub fn open(
        &self,
        call: Call,
        received_at: Instant,
        bytes: usize,
    ) -> Result<PendingAnswer, DuplicateRequestId> {
        if self.recent_writes.contains(&call.id) {
            return Err(DuplicateRequestId);
        }
        let open_id = OpenIdGuard::acquire(&call.id, &self.open_ids).ok_or(DuplicateRequestId)?;
        let reservation = Arc::new(self.memory.reserve(REQUEST_OVERHEAD_BYTES + bytes));
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        let client_deadline = received_at + Duration::from_micros(call.client_timeout());
        let request = NewRequest {
            id,
            call: Arc::new(call),
            received_at,
            answer: AnswerSender { sender, memory: reservation.clone() },
        };
        // A driver that has ended drops the sender, and the request ends as failed.
        let _ = self.driver.send(Message::RequestOpened(request));
        let driver = self.driver.clone();
        Ok(PendingAnswer {
            id,
            client_deadline,
            answer,
            answered: false,
            driver,
            open_id,
            _reservation: reservation,
        })
    }

    /// The metrics of the node.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Counts a request that was answered before it was opened.
    pub fn record_answered_before_open(&self, class: Option<usize>, outcome: RequestOutcome) {
        self.metrics.request_started();
        self.metrics.request_ended(class, Some(outcome));
    }

    /// Counts and logs a request whose connection is closed without an answer although its client has not
    /// disconnected.
    pub fn record_closed_unanswered(&self, pending: &PendingAnswer) {
        warn!(
            request = pending.id.0,
            id = %String::from_utf8_lossy(&pending.open_id.id),
            "connection closed without answering the request"
        );
        self.metrics.violations().record(Rule::ClosedUnanswered, pending.id.0);
    }

    /// Whether the process is about to end. Requests that a front end reads from now on could not be answered.
    pub fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Relaxed)
    }

    /// Whether open requests and their answers leave memory for more. A front end should read on only then, except for
    /// one request of each connection.
    pub fn has_memory(&self) -> bool {
        self.memory.has_free()
    }
}

/// Sends the final answer to an open request.
#[derive(Debug)]
pub(crate) struct AnswerSender {
    sender: oneshot::Sender<Answer>,
    memory: Arc<MemoryReservation>,
}

impl AnswerSender {
    /// Sends the answer, whose memory counts until the client takes it.
    ///
    /// # Errors
    /// If nobody waits for the answer any longer.
    pub fn send(self, answer: Answer) -> Result<(), Answer> {
        self.memory.record_answer(answer.buffered_bytes());
        self.sender.send(answer)
    }
}

/// The future answer to an open request; it resolves exactly once. Dropping it earlier reports that the client has
/// disconnected, so that a front end which ends leaves no request open.
pub struct PendingAnswer {
    id: RequestId,
    client_deadline: Instant,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    driver: UnboundedSender<Message>,
    open_id: OpenIdGuard,
    _reservation: Arc<MemoryReservation>,
}

impl PendingAnswer {
    /// When the client's time-out expires.
    pub fn client_deadline(&self) -> Instant {
        self.client_deadline
    }

    /// The answer, if it has arrived.
    pub fn try_answer(&mut self) -> Option<Answer> {
        let answer = match self.answer.try_recv() {
            Ok(answer) => answer,
            Err(oneshot::error::TryRecvError::Empty) => return None,
            Err(oneshot::error::TryRecvError::Closed) => Answer::Failed,
        };
        self.answered = true;
        Some(answer)
    }
}

impl Future for PendingAnswer {
    type Output = Answer;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Answer> {
        Pin::new(&mut self.answer).poll(cx).map(|answer| {
            self.answered = true;
            answer.unwrap_or(Answer::Failed)
        })
    }
}

impl Drop for PendingAnswer {
    fn drop(&mut self) {
        if !self.answered {
            let _ = self.driver.send(Message::ClientGone(self.id));
        }
    }
}

/// Marks a request id as in use until it is dropped.
struct OpenIdGuard {
    id: Bytes,
    open_ids: Arc<Mutex<HashSet<Bytes>>>,
}

impl OpenIdGuard {
    /// None if the id is already in use.
    fn acquire(id: &Bytes, open_ids: &Arc<Mutex<HashSet<Bytes>>>) -> Option<OpenIdGuard> {
        let is_new = open_ids.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        is_new.then(|| OpenIdGuard { id: id.clone(), open_ids: open_ids.clone() })
    }
}

impl Drop for OpenIdGuard {
    fn drop(&mut self) {
        self.open_ids.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}
