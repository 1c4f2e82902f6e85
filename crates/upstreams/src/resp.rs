//! Connections to caches over RESP2, with one request at a time.

use std::time::Duration;

use bytes::{Buf, BytesMut};
use lilacquay_codec::resp::{Frame, Malformed, next_frame, parse_long_bulk_header, put_array, put_bulk};
use lilacquay_core::{
    Call, Connection, IdleState, MAX_BUFFERED_VALUE_BYTES, MAX_STREAMED_VALUE_BYTES, OperationResult,
    Outcome, Reply, Target, ValueSender, Verb,
};
use lilacquay_stream::Stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout};

use crate::facts::{estimated_write_time, stated_time_left, with_time_left};
use crate::forward::{forward_value, read_until_timeout};
use crate::idle_state;

/// The longest answer that is read as one frame, in bytes: a value of 64 KiB and what surrounds it.
const MAX_FRAME_BYTES: usize = 66 << 10;
/// The longest frame behind a large value, in bytes: the read result or the load report.
const MAX_TRAILER_FRAME_BYTES: usize = 4 << 10;
/// Bytes reserved for the name and the length headers of a command.
const COMMAND_OVERHEAD_BYTES: usize = 64;
/// A command whose writing exceeds the estimated write time by this much is given up: the time left that it states no
/// longer holds.
const WRITE_OVERRUN_LIMIT: Duration = Duration::from_millis(100);
/// The least capacity of a command's buffer, in bytes. The buffer is reused for the answer, and most answers arrive
/// complete in one read.
const MIN_BUFFER_CAPACITY: usize = 1 << 10;

/// A connection to a cache, between requests.
pub struct RespConnection(Stream);

impl RespConnection {
    /// Uses RESP2 on an established connection.
    pub fn new(stream: Stream) -> Self {
        RespConnection(stream)
    }
}

impl Connection for RespConnection {
    fn idle_state(&self) -> IdleState {
        idle_state(&self.0)
    }

    async fn send_request(
        mut self,
        call: &Call,
        target: &Target,
        deadline: Instant,
    ) -> (Reply, Option<Self>) {
        // The protocol has no commands for the other verbs: nothing is sent.
        if !matches!(call.verb, Verb::Get | Verb::Set) {
            return (Reply::from_outcome(Outcome::Ignored), Some(self));
        }
        let (write_time, left) = (estimated_write_time(call), stated_time_left(deadline, call));
        let mut buffer = command(call, left);
        // If writing fails or is given up before the last byte, the command never ran. After that it may have run.
        if !matches!(timeout(write_time + WRITE_OVERRUN_LIMIT, self.0.write_all(&buffer)).await, Ok(Ok(()))) {
            return (Reply::from_outcome(Outcome::ConnectError), None);
        }
        target.request_written(Some(left));
        buffer.clear();
        loop {
            if let Some((head, length)) = parse_long_bulk_header(&buffer, MAX_BUFFERED_VALUE_BYTES)
                .filter(|(_, n)| *n <= MAX_STREAMED_VALUE_BYTES)
            {
                buffer.advance(head);
                return self.forward_large_value(buffer, target.begin_stream(length, 0)).await;
            }
            match next_frame(&mut buffer, MAX_FRAME_BYTES) {
                Ok(Some(frame)) => {
                    let reply = reply(frame);
                    let reusable = reply.is_ok() && buffer.is_empty();
                    return (reply.unwrap_or(Reply::from_outcome(Outcome::Failed)), reusable.then_some(self));
                }
                Ok(None) => {}
                Err(Malformed) => return (Reply::from_outcome(Outcome::Failed), None),
            }
            match self.0.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return (Reply::from_outcome(Outcome::Reset), None),
                Ok(_) if target.may_be_duplicate_answer() => {
                    return (Reply::from_outcome(Outcome::Reset), None);
                }
                Ok(_) => {}
            }
        }
    }
}

impl RespConnection {
    /// Forwards a large value, and reads the trailer behind it.
    async fn forward_large_value(
        mut self,
        mut received: BytesMut,
        mut feeder: ValueSender,
    ) -> (Reply, Option<Self>) {
        if let Err(error) = forward_value(&mut self.0, &mut received, &mut feeder).await {
            return (Reply::from_outcome(error.outcome()), None);
        }
        drop(feeder); // the client has the whole value, whatever the trailer says
        let served = |hit| Reply { cache_hit: hit, ..Reply::from_outcome(Outcome::Ok) };
        match self.read_trailer(&mut received).await {
            Ok(hit) => (served(hit), received.is_empty().then_some(self)),
            Err(_) => (served(None), None),
        }
    }

    /// Reads the trailer of a large value: the end of its line, the read result and the load report. Returns whether the
    /// read was a hit, if the cache tells.
    async fn read_trailer(&mut self, received: &mut BytesMut) -> Result<Option<bool>, Malformed> {
        let (mut frames, mut line_ended) = (Vec::new(), false);
        loop {
            if !line_ended && received.len() >= 2 {
                if &received[..2] != b"\r\n" {
                    return Err(Malformed);
                }
                received.advance(2);
                line_ended = true;
            }
            while line_ended && frames.len() < 2 {
                match next_frame(received, MAX_TRAILER_FRAME_BYTES)? {
                    Some(frame) => frames.push(frame),
                    None => break,
                }
            }
            if let [result, _load_report] = &frames[..] {
                return parse_hit(result);
            }
            if !matches!(read_until_timeout(self.0.read_buf(received)).await, Ok(1..)) {
                return Err(Malformed);
            }
        }
    }
}

/// Whether the read was a hit, if the cache tells.
fn parse_hit(result: &Frame) -> Result<Option<bool>, Malformed> {
    match result {
        Frame::Null => Ok(None),
        Frame::BulkString(word) => match &word[..] {
            b"hit" => Ok(Some(true)),
            b"miss" | b"pending" => Ok(Some(false)),
            _ => Err(Malformed),
        },
        _ => Err(Malformed),
    }
}

/// The command for a cache: the client's, but with the time left that the node will wait.
fn command(call: &Call, left: Duration) -> BytesMut {
    let name: &[u8] = if call.is_write() { b"CACHE.SET" } else { b"CACHE.GET" };
    let facts = with_time_left(&call.facts, left);
    let mut text = BytesMut::with_capacity(
        MIN_BUFFER_CAPACITY.max(COMMAND_OVERHEAD_BYTES + call.key.len() + call.id.len() + facts.len()),
    );
    put_array(&mut text, if call.is_write() { 5 } else { 4 });
    for part in [name, call.key.as_bytes(), &call.id, &facts] {
        put_bulk(&mut text, part);
    }
    if let Some(value) = &call.value {
        put_bulk(&mut text, value);
    }
    text
}

/// Maps an answer to a reply. A command with an answer that the protocol does not define may have run.
fn reply(frame: Frame) -> Result<Reply, Malformed> {
    match frame {
        // Checks the value and the read result strictly, so that a corrupted answer is not taken for a valid one. The load
        // report is not read and may be anything.
        Frame::Array(parts) => {
            let [value, result, _load_report] = <[_; 3]>::try_from(parts).map_err(|_| Malformed)?;
            let hit = parse_hit(&result)?;
            match value {
                Frame::BulkString(value) if value.len() <= MAX_BUFFERED_VALUE_BYTES => {
                    Ok(Reply { cache_hit: hit, ..Reply::success(OperationResult::value(value)) })
                }
                Frame::Null => Ok(Reply { cache_hit: hit, ..Reply::from_outcome(Outcome::Miss) }),
                _ => Err(Malformed),
            }
        }
        Frame::Error(text) => match text.split(' ').next() {
            Some("BUSY") => Ok(Reply::from_outcome(Outcome::QueueFull)),
            _ => Ok(Reply::from_outcome(Outcome::Failed)),
        },
        _ => Err(Malformed),
    }
}
