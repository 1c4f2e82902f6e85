//! The answers that a connection owes, in the order of its commands.

use std::collections::VecDeque;
use std::future::pending;
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_core::{Answer, PendingAnswer, Requests, ValueStream};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout};

/// A large value before other answers is collected for so long; then it is passed on as it comes, since a client may not wait
/// 2 s for the rest of what its server gives.
const COLLECTING: Duration = Duration::from_secs(1);
/// Meanwhile it is looked so often whether the process is about to end.
const LOOK_FOR_END: Duration = Duration::from_millis(20);

/// An answer that is owed.
pub(crate) enum Response<R> {
    /// It is known.
    Ready(BytesMut),
    /// The core owes it.
    Waiting(Waiting<R>),
    /// Its value comes, and other answers wait behind it.
    Collecting(Collecting<R>),
}

/// A request that waits for its answer.
pub(crate) struct Waiting<R> {
    pub pending: PendingAnswer,
    /// What is kept of the command to word its answer.
    pub reply: R,
    /// Of a long command, which are free again when it is answered.
    pub _places: Option<OwnedSemaphorePermit>,
}

/// A large value, as far as it has come.
pub(crate) struct LargeValue<R> {
    pub reply: R,
    pub flow: ValueStream,
    /// What has come of it and was not passed on.
    pub come: BytesMut,
}

/// A large value that is collected before it is passed on.
///
/// Guards against: a value that breaks in the middle and takes the answers behind it along.
pub(crate) struct Collecting<R> {
    pending: PendingAnswer,
    value: LargeValue<R>,
    until: Instant,
    _places: OwnedSemaphorePermit,
}

impl<R> Collecting<R> {
    /// Collects a value from now on, in these places.
    pub fn new(pending: PendingAnswer, reply: R, flow: ValueStream, places: OwnedSemaphorePermit) -> Self {
        let value = LargeValue { reply, flow, come: BytesMut::new() };
        Collecting { pending, value, until: Instant::now() + COLLECTING, _places: places }
    }

    /// Waits until the value is to be passed on, or tells that it never will be. Cancelled between, it loses nothing.
    async fn collect(&mut self, requests: &Requests) -> Collected {
        let LargeValue { flow, come, .. } = &mut self.value;
        while come.len() < flow.length() {
            match timeout(LOOK_FOR_END, flow.next()).await {
                Ok(Some(piece)) => come.extend_from_slice(&piece.bytes),
                Ok(None) => return Collected::Broken,
                // What is owed behind it has no more time than the process.
                Err(_) if requests.is_shutting_down() => return Collected::Broken,
                // One that has stopped breaks in its time: nothing of it is passed on then.
                Err(_) => continue,
            }
            if Instant::now() >= self.until {
                break;
            }
        }
        Collected::PassedOn
    }
}

/// What became of a value that is collected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Collected {
    /// What has come is passed on, and the rest as it comes.
    PassedOn,
    /// It will not be whole.
    Broken,
}

/// An answer whose turn has come.
pub(crate) enum Due<R> {
    Ready(BytesMut),
    Answer(Waiting<R>, Answer),
    /// A large value, as far as it was collected.
    Value(LargeValue<R>),
    /// A large value that will not be whole.
    Broken(R),
}

/// The answers that are owed, the next one first.
pub(crate) struct Responses<R>(VecDeque<Response<R>>);

impl<R> Responses<R> {
    /// None.
    pub fn new() -> Self {
        Responses(VecDeque::new())
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// One more, behind all others.
    pub fn push(&mut self, response: Response<R>) {
        self.0.push_back(response);
    }

    /// One that is owed before all others.
    pub fn push_first(&mut self, response: Response<R>) {
        self.0.push_front(response);
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Takes all.
    pub fn take(&mut self) -> impl Iterator<Item = Response<R>> + use<R> {
        std::mem::take(&mut self.0).into_iter()
    }

    /// The requests among them.
    pub fn requests(&self) -> impl Iterator<Item = &PendingAnswer> {
        self.0.iter().filter_map(|response| match response {
            Response::Ready(_) => None,
            Response::Waiting(waiting) => Some(&waiting.pending),
            Response::Collecting(collecting) => Some(&collecting.pending),
        })
    }

    /// The next one, once it can be written. Cancelled between, it loses nothing.
    pub async fn next(&mut self, requests: &Requests) -> Due<R> {
        let answer = match self.0.front_mut() {
            Some(Response::Ready(_)) => None,
            Some(Response::Waiting(waiting)) => Some((&mut waiting.pending).await),
            Some(Response::Collecting(collecting)) => match collecting.collect(requests).await {
                Collected::PassedOn => None,
                Collected::Broken => Some(Answer::Failed),
            },
            None => pending().await,
        };
        self.pop(answer)
    }

    /// The next one, if it can be written now.
    pub fn try_next(&mut self) -> Option<Due<R>> {
        let answer = match self.0.front_mut()? {
            Response::Ready(_) => None,
            Response::Waiting(waiting) => Some(waiting.pending.try_answer()?),
            Response::Collecting(_) => return None,
        };
        Some(self.pop(answer))
    }

    fn pop(&mut self, answer: Option<Answer>) -> Due<R> {
        match (self.0.pop_front().expect("looked at before"), answer) {
            (Response::Ready(text), _) => Due::Ready(text),
            (Response::Waiting(waiting), answer) => Due::Answer(waiting, answer.unwrap_or(Answer::Failed)),
            (Response::Collecting(collecting), None) => Due::Value(collecting.value),
            (Response::Collecting(collecting), Some(_)) => Due::Broken(collecting.value.reply),
        }
    }
}

impl<R> Response<R> {
    /// What is kept to word the answer, and the answer as it stands; or the text.
    pub fn into_answer(self) -> Result<(R, Answer), BytesMut> {
        match self {
            Response::Ready(text) => Err(text),
            Response::Waiting(mut waiting) => {
                let answer = waiting.pending.try_answer().unwrap_or(Answer::Failed);
                Ok((waiting.reply, answer))
            }
            Response::Collecting(collecting) => Ok((collecting.value.reply, Answer::Failed)),
        }
    }
}
