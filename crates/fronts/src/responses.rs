//! The pending responses of one connection, in the order of its commands.

use std::collections::VecDeque;
use std::future::pending;
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_core::time_left::buffered_value_deadline;
use lilacquay_core::{Answer, PendingAnswer, Requests, ValueStream};
use tokio::time::{Instant, timeout_at};

use crate::buffer_memory::ReservedMemory;

/// How often buffering checks whether the process is about to end.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A pending response.
pub(crate) enum Response<R> {
    /// Its text is known.
    Ready(BytesMut),
    /// The core has not answered yet.
    Waiting(WaitingRequest<R>),
    /// Its large value is arriving, and further responses wait behind it.
    Buffering(BufferedValue<R>),
}

/// A request that waits for its answer.
pub(crate) struct WaitingRequest<R> {
    pub pending: PendingAnswer,
    /// What is kept of the command to format its answer.
    pub context: R,
    /// The buffer memory of a long command, released once it is answered.
    pub _memory: Option<ReservedMemory>,
}

/// A large value, as far as it has arrived.
pub(crate) struct LargeValue<R> {
    pub context: R,
    pub value_stream: ValueStream,
    /// The bytes that have arrived and are not forwarded yet.
    pub buffered: BytesMut,
    /// The memory of these bytes; none if the value is forwarded from its first byte on.
    pub memory: Option<ReservedMemory>,
}

/// A large value that is buffered until it is complete, because responses wait behind it.
///
/// Once a part of a value has been forwarded, only the end of the connection can tell the client that the rest will not
/// come, and the responses behind the value would be lost with it. Before its first byte it can be answered as failed.
pub(crate) struct BufferedValue<R> {
    pending: PendingAnswer,
    value: LargeValue<R>,
    /// When it is answered as failed unless it is complete.
    deadline: Instant,
}

impl<R> BufferedValue<R> {
    /// Starts to buffer a value in this memory.
    pub fn new(
        pending: PendingAnswer,
        context: R,
        value_stream: ValueStream,
        memory: ReservedMemory,
    ) -> Self {
        let buffered = BytesMut::with_capacity(value_stream.length());
        let value = LargeValue { context, value_stream, buffered, memory: Some(memory) };
        let deadline = buffered_value_deadline(Instant::now(), pending.client_deadline());
        BufferedValue { pending, value, deadline }
    }

    /// Waits until the value is complete or has failed. Cancel safe.
    async fn fill(&mut self, requests: &Requests) -> BufferingResult {
        let LargeValue { value_stream, buffered, .. } = &mut self.value;
        while buffered.len() < value_stream.length() {
            // At the end of the process the value is given up, so that the responses behind it are still written.
            if Instant::now() >= self.deadline || requests.is_shutting_down() {
                return BufferingResult::Incomplete;
            }
            let check_at = self.deadline.min(Instant::now() + SHUTDOWN_CHECK_INTERVAL);
            match timeout_at(check_at, value_stream.next()).await {
                Ok(Some(piece)) => buffered.extend_from_slice(&piece.bytes),
                Ok(None) => return BufferingResult::Incomplete,
                Err(_) => {}
            }
        }
        BufferingResult::Complete
    }
}

/// How the buffering of a value ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BufferingResult {
    /// All its bytes have arrived.
    Complete,
    /// They have not arrived in time, or never will.
    Incomplete,
}

/// The response whose turn has come.
pub(crate) enum NextResponse<R> {
    Ready(BytesMut),
    Answer(WaitingRequest<R>, Answer),
    /// A large value that has been buffered to its end.
    Value(LargeValue<R>),
    /// A large value that was not complete in time. Nothing of it was forwarded.
    Incomplete(R),
}

/// A queue of pending responses, the next one first.
pub(crate) struct Responses<R>(VecDeque<Response<R>>);

impl<R> Responses<R> {
    pub fn new() -> Self {
        Responses(VecDeque::new())
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Appends a response behind all others.
    pub fn push_back(&mut self, response: Response<R>) {
        self.0.push_back(response);
    }

    /// Inserts a response before all others.
    pub fn push_front(&mut self, response: Response<R>) {
        self.0.push_front(response);
    }

    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Removes and returns all responses.
    pub fn take_all(&mut self) -> impl Iterator<Item = Response<R>> + use<R> {
        std::mem::take(&mut self.0).into_iter()
    }

    /// Waits for the next response that can be written. Cancel safe.
    pub async fn next(&mut self, requests: &Requests) -> NextResponse<R> {
        let answer = match self.0.front_mut() {
            Some(Response::Ready(_)) => None,
            Some(Response::Waiting(request)) => Some((&mut request.pending).await),
            Some(Response::Buffering(value)) => match value.fill(requests).await {
                BufferingResult::Complete => None,
                BufferingResult::Incomplete => Some(Answer::Failed),
            },
            None => pending().await,
        };
        self.pop(answer)
    }

    /// Returns the next response if it can be written now.
    pub fn try_next(&mut self) -> Option<NextResponse<R>> {
        let answer = match self.0.front_mut()? {
            Response::Ready(_) => None,
            Response::Waiting(request) => Some(request.pending.try_answer()?),
            Response::Buffering(_) => return None,
        };
        Some(self.pop(answer))
    }

    fn pop(&mut self, answer: Option<Answer>) -> NextResponse<R> {
        match (self.0.pop_front().expect("the callers have checked that a response is pending"), answer) {
            (Response::Ready(text), _) => NextResponse::Ready(text),
            (Response::Waiting(request), answer) => {
                NextResponse::Answer(request, answer.unwrap_or(Answer::Failed))
            }
            (Response::Buffering(value), None) => NextResponse::Value(value.value),
            (Response::Buffering(value), Some(_)) => NextResponse::Incomplete(value.value.context),
        }
    }
}

impl<R> Response<R> {
    /// The pending request; none if the response is text already.
    pub fn into_pending(self) -> Option<PendingAnswer> {
        match self {
            Response::Ready(_) => None,
            Response::Waiting(request) => Some(request.pending),
            Response::Buffering(value) => Some(value.pending),
        }
    }

    /// The context and the answer as it stands now, failed if there is none; `Err` holds a response that is text already.
    pub fn into_answer(self) -> Result<(R, Answer), BytesMut> {
        match self {
            Response::Ready(text) => Err(text),
            Response::Waiting(mut request) => {
                let answer = request.pending.try_answer().unwrap_or(Answer::Failed);
                Ok((request.context, answer))
            }
            Response::Buffering(value) => Ok((value.value.context, Answer::Failed)),
        }
    }
}
