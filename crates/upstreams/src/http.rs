//! Connections to the origin over HTTP/1.1, with one request at a time.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, IF_MATCH, IF_NONE_MATCH};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lilacquay_core::{
    Call, Connection, IdleState, MAX_BUFFERED_VALUE_BYTES, MAX_STREAMED_VALUE_BYTES, OperationResult,
    Outcome, Reply, Target, ValueSender, Verb,
};
use lilacquay_stream::Stream;
use percent_encoding::{AsciiSet, CONTROLS, percent_encode};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep_until};

use crate::answer_watch::{AnswerStart, AnswerWatch};
use crate::facts::{stated_time_left, with_time_left};
use crate::forward::{self, ForwardError};
use crate::idle_state;

/// The most bytes of an answer that one connection buffers.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// Characters of a key that are percent-encoded in the path.
const ESCAPED_CHARACTERS: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'%')
    .add(b'<')
    .add(b'>')
    .add(b'?')
    .add(b'`')
    .add(b'{')
    .add(b'}');

/// A connection to the origin, between requests.
pub struct OriginConnection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    stream: Stream,
    /// Whether an answer has begun to arrive.
    answer_start: Arc<AnswerStart>,
}

impl Drop for OriginConnection {
    /// Closes the socket at once, even with a request in flight.
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl OriginConnection {
    /// Starts HTTP/1.1 on an established connection.
    ///
    /// # Errors
    /// If the connection has failed already.
    pub async fn new(stream: Stream) -> io::Result<Self> {
        // Bounds what is buffered here while a slow client reads a large value.
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let answer_start = Arc::new(AnswerStart::default());
        let watched = AnswerWatch::new(stream.clone(), answer_start.clone());
        let (sender, connection) =
            builder.handshake(TokioIo::new(watched)).await.map_err(io::Error::other)?;
        let task = tokio::spawn(async move {
            let _ = connection.await; // the request in flight reports a failure
        });
        Ok(OriginConnection { sender, task, stream, answer_start })
    }
}

impl Connection for OriginConnection {
    fn idle_state(&self) -> IdleState {
        match idle_state(&self.stream) {
            IdleState::Live if self.sender.is_closed() => IdleState::Closed,
            state => state,
        }
    }

    async fn send_request(
        mut self,
        call: &Call,
        target: &Target,
        deadline: Instant,
    ) -> (Reply, Option<Self>) {
        if self.sender.ready().await.is_err() {
            return (Reply::from_outcome(Outcome::ConnectError), None);
        }
        let left = stated_time_left(deadline, call);
        let Some(request) = request(call, target.addr, left) else {
            return (Reply::from_outcome(Outcome::Ignored), Some(self));
        };
        self.answer_start.clear();
        // A moment early: hyper's connection task writes the request in the poll in which it takes it up.
        target.request_written(Some(left));
        let sending = self.sender.try_send_request(request);
        tokio::pin!(sending);
        let answer = match target.untrusted_until() {
            None => sending.await,
            // The process may be stalled over that time. What has arrived when it runs again may have arrived before.
            Some(until) => tokio::select! {
                biased;
                () = sleep_until(until) => {
                    if self.answer_start.has_begun() || idle_state(&self.stream) == IdleState::UnsolicitedData {
                        return (Reply::from_outcome(Outcome::Reset), None);
                    }
                    sending.await
                }
                answer = &mut sending => match answer {
                    Ok(_) => return (Reply::from_outcome(Outcome::Reset), None),
                    Err(error) => Err(error),
                }
            },
        };
        match answer {
            // A request that hyper hands back was never sent.
            Err(mut error) => match error.take_message() {
                Some(_) => (Reply::from_outcome(Outcome::ConnectError), None),
                None => (Reply::from_outcome(Outcome::Reset), None),
            },
            Ok(answer) => match read_answer(call.verb, answer, target).await {
                Ok(reply) => (reply, Some(self)),
                // Drops the connection: the rest of this answer could be read as the next request's answer.
                Err(outcome) => (Reply::from_outcome(outcome), None),
            },
        }
    }
}

fn request(call: &Call, addr: SocketAddr, left: Duration) -> Option<Request<Full<Bytes>>> {
    let method = match call.verb {
        Verb::Get => Method::GET,
        Verb::Set | Verb::Add | Verb::Replace => Method::PUT,
        Verb::Delete => Method::DELETE,
    };
    let mut builder = Request::builder();
    // RFC 9110, sections 13.1.1 and 13.1.2: "If-Match: *" requires that a value exists, "If-None-Match: *" that none
    // does.
    match call.verb {
        Verb::Add => builder = builder.header(IF_NONE_MATCH, "*"),
        Verb::Replace => builder = builder.header(IF_MATCH, "*"),
        Verb::Get | Verb::Set | Verb::Delete => {}
    }
    builder
        .method(method)
        .uri(format!("/{}", percent_encode(call.key.as_bytes(), ESCAPED_CHARACTERS)))
        .header(HOST, addr.to_string())
        .header("X-Correlation-Id", &call.id[..])
        .header("X-Facts", with_time_left(&call.facts, left))
        .body(Full::new(call.value.clone().unwrap_or_default()))
        .ok()
}

/// The length of a large value, which is forwarded as it arrives; `None` for any other answer.
fn large_value_length(answer: &Response<Incoming>) -> Option<usize> {
    let length = usize::try_from(answer.body().size_hint().exact()?).ok()?;
    (MAX_BUFFERED_VALUE_BYTES < length && length <= MAX_STREAMED_VALUE_BYTES).then_some(length)
}

/// Forwards a large value. Its connection can be reused after the last byte.
async fn forward_body(mut body: Incoming, mut feeder: ValueSender) -> Result<Reply, ForwardError> {
    while feeder.remaining() > 0 {
        let room = feeder.reserve().await?;
        let frame =
            forward::read_until_timeout(async { body.frame().await.transpose().map_err(io::Error::other) })
                .await?;
        match frame.map(|frame| frame.into_data()) {
            Some(Ok(bytes)) => feeder.send(bytes, room)?,
            Some(Err(_trailers)) => {}
            None => return Err(ForwardError::ServerFailed),
        }
    }
    Ok(Reply::from_outcome(Outcome::Ok))
}

/// Reads an answer and maps it to a reply; an error if its connection cannot be reused.
async fn read_answer(verb: Verb, answer: Response<Incoming>, target: &Target) -> Result<Reply, Outcome> {
    let (status, headers) = (answer.status(), answer.headers());
    let flags = headers.get("X-Flags").and_then(|v| v.to_str().ok()?.parse().ok()).unwrap_or(0);
    let unprocessed = headers.get("X-Unprocessed").is_some_and(|v| v == "1");
    if status == StatusCode::OK
        && let Some(length) = large_value_length(&answer)
    {
        let feeder = target.begin_stream(length, flags);
        return forward_body(answer.into_body(), feeder).await.map_err(ForwardError::outcome);
    }
    let body = match Limited::new(answer.into_body(), MAX_BUFFERED_VALUE_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<hyper::Error>() => return Err(Outcome::Reset),
        Err(_) => return Err(Outcome::Failed), // longer than a value may be
    };
    Ok(match status {
        StatusCode::OK => Reply::success(OperationResult::Value { bytes: body, flags }),
        // The origin has carried out the request and has no such key: as complete an answer as a value.
        StatusCode::NOT_FOUND if matches!(verb, Verb::Get | Verb::Delete) => {
            Reply::success(OperationResult::Absent)
        }
        StatusCode::NO_CONTENT if verb == Verb::Delete => Reply::success(OperationResult::value(body)),
        StatusCode::PRECONDITION_FAILED if verb == Verb::Add => Reply::success(OperationResult::Exists),
        StatusCode::PRECONDITION_FAILED if verb == Verb::Replace => Reply::success(OperationResult::Absent),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unprocessed => {
            Reply::from_outcome(Outcome::QueueFull)
        }
        _ => Reply::from_outcome(Outcome::Failed),
    })
}
