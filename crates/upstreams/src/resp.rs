//! A connection to a cache server: RESP2, one request at a time.

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

use crate::facts::{time_to_tell, time_to_write, with_time_left};
use crate::idle_state;
use crate::pass::{pass, read};

/// A value of 64 KiB and what stands round it.
const LARGEST: usize = 66 << 10;

/// How a read went and the load report, behind a large value, in bytes.
const NOTE: usize = 4 << 10;
/// Room for a command's name and headers.
const HEADERS: usize = 64;
/// A command that is written so much later than that is given up: what it tells of the time that is left is no longer
/// true.
const WRITTEN_LATE: Duration = Duration::from_millis(100);
/// The least room of a command's buffer, which takes the answer later: most come whole in one read.
const ROOM: usize = 1 << 10;

/// A connection to a cache, between requests.
pub struct Cache(Stream);

impl Cache {
    /// Speaks RESP2 on a connection that is up.
    pub fn new(stream: Stream) -> Self {
        Cache(stream)
    }
}

impl Connection for Cache {
    fn idle_state(&self) -> IdleState {
        idle_state(&self.0)
    }

    async fn send_request(
        mut self,
        call: &Call,
        target: &Target,
        deadline: Instant,
    ) -> (Reply, Option<Self>) {
        // The protocol has no words for the others: nothing is sent.
        if !matches!(call.verb, Verb::Get | Verb::Set) {
            return (Reply::from_outcome(Outcome::Ignored), Some(self));
        }
        let (on_the_way, left) = (time_to_write(call), time_to_tell(deadline, call));
        let mut buffer = command(call, left);
        // Broken or given up before the last byte was written: it never ran. After that it may have.
        if !matches!(timeout(on_the_way + WRITTEN_LATE, self.0.write_all(&buffer)).await, Ok(Ok(()))) {
            return (Reply::from_outcome(Outcome::ConnectError), None);
        }
        target.request_written(Some(left));
        buffer.clear();
        loop {
            if let Some((head, length)) = parse_long_bulk_header(&buffer, MAX_BUFFERED_VALUE_BYTES)
                .filter(|(_, n)| *n <= MAX_STREAMED_VALUE_BYTES)
            {
                buffer.advance(head);
                return self.flow(buffer, target.begin_stream(length, 0), deadline).await;
            }
            match next_frame(&mut buffer, LARGEST) {
                Ok(Some(frame)) => {
                    let reply = reply(frame);
                    let usable = reply.is_ok() && buffer.is_empty();
                    return (reply.unwrap_or(Reply::from_outcome(Outcome::Failed)), usable.then_some(self));
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

impl Cache {
    /// Passes a large value on, and reads what stands behind it.
    async fn flow(
        mut self,
        mut come: BytesMut,
        mut feeder: ValueSender,
        deadline: Instant,
    ) -> (Reply, Option<Self>) {
        if let Err(broken) = pass(&mut self.0, &mut come, &mut feeder, deadline).await {
            return (Reply::from_outcome(broken.outcome()), None);
        }
        drop(feeder); // the client has all of it, whatever comes behind
        let served = |hit| Reply { cache_hit: hit, ..Reply::from_outcome(Outcome::Ok) };
        match self.note(&mut come, deadline).await {
            Ok(hit) => (served(hit), come.is_empty().then_some(self)),
            Err(_) => (served(None), None),
        }
    }

    /// What stands behind a value: the end of its line, how the read went, and the load report.
    async fn note(&mut self, come: &mut BytesMut, deadline: Instant) -> Result<Option<bool>, Malformed> {
        let (mut frames, mut line_ended) = (Vec::new(), false);
        loop {
            if !line_ended && come.len() >= 2 {
                if &come[..2] != b"\r\n" {
                    return Err(Malformed);
                }
                come.advance(2);
                line_ended = true;
            }
            while line_ended && frames.len() < 2 {
                match next_frame(come, NOTE)? {
                    Some(frame) => frames.push(frame),
                    None => break,
                }
            }
            if let [note, _report] = &frames[..] {
                return hit(note);
            }
            if !matches!(read(deadline, self.0.read_buf(come)).await, Ok(1..)) {
                return Err(Malformed);
            }
        }
    }
}

/// How a read went, where the cache tells.
fn hit(note: &Frame) -> Result<Option<bool>, Malformed> {
    match note {
        Frame::Null => Ok(None),
        Frame::BulkString(word) => match &word[..] {
            b"hit" => Ok(Some(true)),
            b"miss" | b"pending" => Ok(Some(false)),
            _ => Err(Malformed),
        },
        _ => Err(Malformed),
    }
}

/// The command for a cache: as it came, but for how long the node will wait.
fn command(call: &Call, left: Duration) -> BytesMut {
    let name: &[u8] = if call.is_write() { b"CACHE.SET" } else { b"CACHE.GET" };
    let facts = with_time_left(&call.facts, left);
    let mut text = BytesMut::with_capacity(ROOM.max(HEADERS + call.key.len() + call.id.len() + facts.len()));
    put_array(&mut text, if call.is_write() { 5 } else { 4 });
    for part in [name, call.key.as_bytes(), &call.id, &facts] {
        put_bulk(&mut text, part);
    }
    if let Some(value) = &call.value {
        put_bulk(&mut text, value);
    }
    text
}

/// What an answer means. Whatever the protocol has no word for may have run.
fn reply(frame: Frame) -> Result<Reply, Malformed> {
    match frame {
        // Guards against: spoilt answers that look like one. The load report is not read, and may be anything.
        Frame::Array(parts) => {
            let [value, note, _report] = <[_; 3]>::try_from(parts).map_err(|_| Malformed)?;
            let hit = hit(&note)?;
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
