//! The fronts' side of the core: opening requests, and the bounds on what they hold.

use std::collections::HashSet;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use bytes::Bytes;
use lilacquay_metrics::{Book, End, Rule};
use paddlefold::RequestId;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::warn;

use crate::call::{Answer, Call};
use crate::message::{Arrival, Message};
use crate::resource_share::ResourceShare;

/// What an open request is reckoned to hold in memory beside its command, in bytes.
const PER_REQUEST: usize = 4 << 10;

/// Opens requests; shared by all fronts.
#[derive(Clone)]
pub struct Requests {
    to: UnboundedSender<Message>,
    next_id: Arc<AtomicU32>,
    open_ids: Arc<Mutex<HashSet<Bytes>>>,
    /// Bytes held by open requests.
    held: Arc<AtomicUsize>,
    memory: usize,
    portion: ResourceShare,
    book: Book,
    /// Set once nothing more is taken.
    over: Arc<AtomicBool>,
}

/// A request with this id is open.
#[derive(Debug, PartialEq, Eq)]
pub struct DuplicateRequestId;

impl Requests {
    pub(crate) fn new(
        to: UnboundedSender<Message>,
        memory: usize,
        portion: ResourceShare,
        book: Book,
        over: Arc<AtomicBool>,
    ) -> Self {
        let (next_id, open_ids, held) = Default::default();
        Requests { to, next_id, open_ids, held, memory, portion, book, over }
    }

    /// Opens a request whose last byte was read `at` that time and which came as so many bytes.
    ///
    /// # Errors
    /// If a request with its id is open, at whichever front. Guards against: the answer to another client's
    /// request, or one for both.
    pub fn open(&self, call: Call, at: Instant, bytes: usize) -> Result<PendingAnswer, DuplicateRequestId> {
        let open_id = OpenId::take(&call.id, &self.open_ids).ok_or(DuplicateRequestId)?;
        let held = Held::new(PER_REQUEST + bytes, &self.held);
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        // A driver that is gone drops the sender, and the request ends as failed.
        let _ = self.to.send(Message::Arrived(Arrival { id, call: Arc::new(call), at, answer: sender }));
        Ok(PendingAnswer { id, answer, answered: false, to: self.to.clone(), open_id, _held: held })
    }

    /// A request was answered as failed before it was opened: it counts as such.
    pub fn record_failed_before_open(&self, class: Option<usize>) {
        self.book.taken();
        self.book.ended(class, Some(End::Failed));
    }

    /// A request that was read gets no answer, though its client has not left.
    pub fn record_closed_unanswered(&self, pending: &PendingAnswer) {
        warn!(request = pending.id.0, id = %String::from_utf8_lossy(&pending.open_id.id), "closed unanswered");
        self.book.violations().count(Rule::ClosedUnanswered, pending.id.0);
    }

    /// Whether the process is about to end: what a front reads from now on could not be answered.
    pub fn is_shutting_down(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Whether open requests leave memory for more. A front should read on only then, but for one request of
    /// each connection.
    pub fn has_memory(&self) -> bool {
        self.held.load(Ordering::Relaxed) < self.portion.of(self.memory)
    }
}

/// A request that waits for its answer: a future of exactly one. Dropped before, it tells that the client has
/// gone, so that a front which ends leaves nothing open.
pub struct PendingAnswer {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    answered: bool,
    to: UnboundedSender<Message>,
    open_id: OpenId,
    _held: Held,
}

impl PendingAnswer {
    /// The answer, if it is there.
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
            let _ = self.to.send(Message::Gone(self.id));
        }
    }
}

/// The id of an open request, free again when it is dropped.
struct OpenId {
    id: Bytes,
    all: Arc<Mutex<HashSet<Bytes>>>,
}

impl OpenId {
    fn take(id: &Bytes, all: &Arc<Mutex<HashSet<Bytes>>>) -> Option<OpenId> {
        let new = all.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        new.then(|| OpenId { id: id.clone(), all: all.clone() })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.all.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// An open request's part of the memory that all share.
struct Held {
    bytes: usize,
    all: Arc<AtomicUsize>,
}

impl Held {
    fn new(bytes: usize, all: &Arc<AtomicUsize>) -> Held {
        all.fetch_add(bytes, Ordering::Relaxed);
        Held { bytes, all: all.clone() }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
