//! Connections to caches over memcached's binary protocol, with one request at a time.
//!
//! `docs/memcached.md` derives what each answer means. In short: a status that says that nothing was done maps to an
//! outcome of a request that never ran. After any status that is not certain, and after anything that is not the answer
//! to this request, the request may have run.

use lilacquay_stream::Stream;
use tokio::time::Instant;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use lilacquay_codec::memcache::{
    HEADER_BYTES, MAX_KEY_BYTES, Opcode, Packet, ResponseHeader, Status, next_response, parse_response_header,
};
use lilacquay_core::{
    Call, Connection, IdleState, MAX_BUFFERED_VALUE_BYTES, MAX_STREAMED_VALUE_BYTES, OperationResult,
    Outcome, Reply, StoreOptions, Target, Verb,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::forward::{forward_value, read_until_timeout};
use crate::idle_state;

/// The longest body of an answer in bytes: a value, its flags, and some room for a key, which no answer should have.
const MAX_BODY_BYTES: usize = MAX_BUFFERED_VALUE_BYTES + 512;
/// Bytes of the flags, which precede the value in the answer to a read.
const FLAGS_BYTES: usize = 4;
/// The least capacity of a request's buffer, in bytes. The buffer is reused for the answer, and most answers arrive
/// complete in one read.
const MIN_BUFFER_CAPACITY: usize = 1 << 10;

/// A connection to a cache, between requests.
pub struct MemcacheConnection {
    stream: Stream,
    /// The opaque of the last request. It differs between requests, so that an answer to an earlier one is not taken for
    /// the answer to the current one.
    opaque: u32,
}

impl MemcacheConnection {
    /// Uses the binary protocol on an established connection.
    pub fn new(stream: Stream) -> Self {
        // The opaques of different connections start at different values, so that an answer which a server sends on the
        // wrong connection is detected too.
        let opaque = stream.socket().local_addr().map_or(0, |addr| u32::from(addr.port())) << 16;
        MemcacheConnection { stream, opaque }
    }
}

impl Connection for MemcacheConnection {
    fn idle_state(&self) -> IdleState {
        idle_state(&self.stream)
    }

    async fn send_request(
        mut self,
        call: &Call,
        target: &Target,
        _deadline: Instant,
    ) -> (Reply, Option<Self>) {
        // A key that is too long for the protocol: nothing is sent.
        if call.key.len() > MAX_KEY_BYTES {
            return (Reply::from_outcome(Outcome::Ignored), Some(self));
        }
        self.opaque = self.opaque.wrapping_add(1);
        let mut buffer = request(call, self.opaque);
        // If writing fails before the last byte, the request never ran. After that it may have run.
        if self.stream.write_all(&buffer).await.is_err() {
            return (Reply::from_outcome(Outcome::ConnectError), None);
        }
        target.request_written(None); // the protocol cannot state the time left
        buffer.clear();
        loop {
            if let Some(head) =
                parse_response_header(&buffer).filter(|head| self.is_large_value(call.verb, head))
            {
                return self.forward_large_value(buffer, head, target).await;
            }
            match next_response(&mut buffer, MAX_BODY_BYTES) {
                Ok(Some(answer)) => {
                    let matches_request =
                        answer.opaque == self.opaque && answer.opcode == opcode(call.verb) as u8;
                    let reply = if matches_request { reply(call.verb, &answer) } else { Err(InvalidAnswer) };
                    let reusable = reply.is_ok() && buffer.is_empty();
                    return (reply.unwrap_or(Reply::from_outcome(Outcome::Failed)), reusable.then_some(self));
                }
                Ok(None) => {}
                Err(_) => return (Reply::from_outcome(Outcome::Failed), None),
            }
            match self.stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return (Reply::from_outcome(Outcome::Reset), None),
                Ok(_) => {}
            }
        }
    }
}

impl MemcacheConnection {
    /// Whether a response is the answer to this read with a large value, which is forwarded as it arrives.
    fn is_large_value(&self, verb: Verb, head: &ResponseHeader) -> bool {
        let matches_request = head.opaque == self.opaque && head.opcode == Opcode::Get as u8;
        let has_value = matches_request
            && head.status == Status::OK
            && head.extras_length == FLAGS_BYTES
            && head.key_length == 0;
        verb == Verb::Get
            && has_value
            && (MAX_BUFFERED_VALUE_BYTES + 1..=MAX_STREAMED_VALUE_BYTES).contains(&head.value_length)
    }

    /// Forwards a large value.
    async fn forward_large_value(
        mut self,
        mut received: BytesMut,
        head: ResponseHeader,
        target: &Target,
    ) -> (Reply, Option<Self>) {
        while received.len() < HEADER_BYTES + FLAGS_BYTES {
            if !matches!(read_until_timeout(self.stream.read_buf(&mut received)).await, Ok(1..)) {
                return (Reply::from_outcome(Outcome::Reset), None);
            }
        }
        received.advance(HEADER_BYTES);
        let flags = received.get_u32();
        let mut feeder = target.begin_stream(head.value_length, flags);
        match forward_value(&mut self.stream, &mut received, &mut feeder).await {
            Err(error) => (Reply::from_outcome(error.outcome()), None),
            Ok(()) => (
                Reply { cache_hit: Some(true), ..Reply::from_outcome(Outcome::Ok) },
                received.is_empty().then_some(self),
            ),
        }
    }
}

fn opcode(verb: Verb) -> Opcode {
    match verb {
        Verb::Get => Opcode::Get,
        Verb::Set => Opcode::Set,
        Verb::Add => Opcode::Add,
        Verb::Replace => Opcode::Replace,
        Verb::Delete => Opcode::Delete,
    }
}

fn request(call: &Call, opaque: u32) -> BytesMut {
    let mut extras = BytesMut::new();
    if matches!(call.verb, Verb::Set | Verb::Add | Verb::Replace) {
        let StoreOptions { flags, expiry } = call.store_options;
        extras.put_u32(flags);
        extras.put_u32(expiry);
    }
    let (key, value) = (Bytes::copy_from_slice(call.key.as_bytes()), call.value.clone().unwrap_or_default());
    let mut text = BytesMut::with_capacity(
        MIN_BUFFER_CAPACITY.max(HEADER_BYTES + extras.len() + key.len() + value.len()),
    );
    Packet { extras: extras.freeze(), key, value, ..Packet::new(opcode(call.verb), opaque) }
        .put_request(&mut text);
    text
}

/// An invalid answer, after which the connection cannot be reused.
struct InvalidAnswer;

/// Maps the answer to this request to a reply. The connection can be reused, since the answer is complete.
fn reply(verb: Verb, answer: &Packet) -> Result<Reply, InvalidAnswer> {
    let absent = match verb {
        Verb::Get => Reply { cache_hit: Some(false), ..Reply::from_outcome(Outcome::Miss) },
        _ => Reply::success(OperationResult::Absent),
    };
    Ok(match Status(answer.status) {
        Status::OK if verb == Verb::Get => {
            // Checks that the flags are there and that the value is no longer than allowed, so that a corrupted answer
            // is not served.
            let flags = <[u8; 4]>::try_from(&answer.extras[..]).map_err(|_| InvalidAnswer)?;
            if answer.value.len() > MAX_BUFFERED_VALUE_BYTES || !answer.key.is_empty() {
                return Err(InvalidAnswer);
            }
            let made =
                OperationResult::Value { bytes: answer.value.clone(), flags: u32::from_be_bytes(flags) };
            Reply { cache_hit: Some(true), ..Reply::success(made) }
        }
        Status::OK if answer.extras.is_empty() && answer.key.is_empty() && answer.value.is_empty() => {
            Reply::success(OperationResult::value(Bytes::new()))
        }
        Status::OK => return Err(InvalidAnswer),
        Status::KEY_NOT_FOUND if verb != Verb::Set && verb != Verb::Add => absent,
        Status::KEY_EXISTS | Status::ITEM_NOT_STORED if verb == Verb::Add => {
            Reply::success(OperationResult::Exists)
        }
        Status::ITEM_NOT_STORED if verb == Verb::Replace => Reply::success(OperationResult::Absent),
        // Refused before it was started.
        Status::BUSY | Status::TEMPORARY_FAILURE => Reply::from_outcome(Outcome::QueueFull),
        // There was no memory for the answer to a read, which has changed nothing.
        Status::OUT_OF_MEMORY if verb == Verb::Get => Reply::from_outcome(Outcome::QueueFull),
        // Any other status, known or not, may come from a request that has run: a write that is out of memory drops the
        // old value.
        _ => Reply::from_outcome(Outcome::Failed),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The outcome of an answer to this verb; `None` if the answer is invalid.
    fn outcome(verb: Verb, answer: &Packet) -> Option<(Outcome, OperationResult)> {
        reply(verb, answer).ok().map(|reply| (reply.outcome, reply.result))
    }

    fn answer_with(status: Status) -> Packet {
        Packet { status: status.0, ..Packet::new(Opcode::Get, 1) }
    }

    #[test]
    fn each_status_maps_to_its_documented_outcome() {
        use Verb::*;
        let empty = || OperationResult::value(Bytes::new());
        let outcome_of = |verb: Verb, status: Status| outcome(verb, &answer_with(status)).unwrap();
        for verb in [Set, Add, Replace, Delete] {
            assert_eq!(outcome_of(verb, Status::OK), (Outcome::Ok, empty()));
        }
        assert_eq!(outcome_of(Get, Status::KEY_NOT_FOUND).0, Outcome::Miss);
        assert_eq!(outcome_of(Replace, Status::KEY_NOT_FOUND), (Outcome::Ok, OperationResult::Absent));
        assert_eq!(outcome_of(Delete, Status::KEY_NOT_FOUND), (Outcome::Ok, OperationResult::Absent));
        assert_eq!(outcome_of(Add, Status::KEY_EXISTS), (Outcome::Ok, OperationResult::Exists));
        assert_eq!(outcome_of(Add, Status::ITEM_NOT_STORED), (Outcome::Ok, OperationResult::Exists));
        assert_eq!(outcome_of(Replace, Status::ITEM_NOT_STORED), (Outcome::Ok, OperationResult::Absent));
        assert_eq!(outcome_of(Get, Status::OUT_OF_MEMORY).0, Outcome::QueueFull);
        for verb in [Get, Set, Add, Replace, Delete] {
            for status in [Status::BUSY, Status::TEMPORARY_FAILURE] {
                assert_eq!(outcome_of(verb, status).0, Outcome::QueueFull);
            }
            // With any other status, known or not, the request may have run.
            for status in [
                Status::INTERNAL_ERROR,
                Status::VALUE_TOO_LARGE,
                Status::INVALID_ARGUMENTS,
                Status::NON_NUMERIC,
                Status::WRONG_VBUCKET,
                Status::AUTHENTICATION,
                Status::UNKNOWN_COMMAND,
                Status::NOT_SUPPORTED,
                Status(0x7777),
            ] {
                assert_eq!(outcome_of(verb, status).0, Outcome::Failed, "{verb:?} {status:?}");
            }
        }
        for (verb, status) in [
            (Set, Status::KEY_NOT_FOUND),
            (Set, Status::KEY_EXISTS),
            (Set, Status::ITEM_NOT_STORED),
            (Set, Status::OUT_OF_MEMORY),
            (Delete, Status::KEY_EXISTS),
            (Get, Status::KEY_EXISTS),
        ] {
            assert_eq!(outcome_of(verb, status).0, Outcome::Failed, "{verb:?} {status:?}");
        }
    }

    #[test]
    fn a_successful_answer_of_the_wrong_shape_is_rejected() {
        let flags = Bytes::from_static(&[0, 0, 0, 9]);
        let valid = Packet { extras: flags, value: "v".into(), ..answer_with(Status::OK) };
        let made = OperationResult::Value { bytes: "v".into(), flags: 9 };
        assert_eq!(outcome(Verb::Get, &valid), Some((Outcome::Ok, made)));
        let long = Bytes::from(vec![0; MAX_BUFFERED_VALUE_BYTES + 1]);
        let invalid = [
            Packet { extras: Bytes::new(), ..valid.clone() },
            Packet { key: "k".into(), ..valid.clone() },
            Packet { value: long, ..valid.clone() },
        ];
        assert!(invalid.iter().all(|answer| outcome(Verb::Get, answer).is_none()));
        assert_eq!(outcome(Verb::Set, &valid), None);
    }
}
