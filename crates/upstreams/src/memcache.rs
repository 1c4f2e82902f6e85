//! A connection to a cache server of the kind that speaks memcached: the binary protocol, one request at a time.
//!
//! What each answer means is argued in `docs/memcached.md`. In short: a status that tells that nothing was done is
//! an outcome that never ran; one that tells nothing for certain, and all that is not the answer to this request,
//! may have run.

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

use crate::idle_state;
use crate::pass::{pass, read};

/// The longest body of an answer: a value, its flags, and some room for a key, which none should bring.
const LONGEST: usize = MAX_BUFFERED_VALUE_BYTES + 512;
/// What stands before a read's value: its flags.
const FLAGS: usize = 4;
/// The least room of a request's buffer, which takes the answer later: most come whole in one read.
const ROOM: usize = 1 << 10;

/// A connection to a cache, between requests.
pub struct Memcache {
    stream: Stream,
    /// The opaque of the next request. Guards against: an answer to an earlier one, taken for this one's.
    opaque: u32,
}

impl Memcache {
    /// Speaks the binary protocol on a connection that is up.
    pub fn new(stream: Stream) -> Self {
        // A place to begin that differs between connections, so that an answer which a server mixes up among
        // them is known too.
        let opaque = stream.socket().local_addr().map_or(0, |addr| u32::from(addr.port())) << 16;
        Memcache { stream, opaque }
    }
}

impl Connection for Memcache {
    fn idle_state(&self) -> IdleState {
        idle_state(&self.stream)
    }

    async fn send_request(
        mut self,
        call: &Call,
        target: &Target,
        deadline: Instant,
    ) -> (Reply, Option<Self>) {
        // Nothing is sent of a key that the protocol can't carry.
        if call.key.len() > MAX_KEY_BYTES {
            return (Reply::from_outcome(Outcome::Ignored), Some(self));
        }
        self.opaque = self.opaque.wrapping_add(1);
        let mut buffer = request(call, self.opaque);
        // Broken before the last byte was written: it never ran. After that it may have.
        if self.stream.write_all(&buffer).await.is_err() {
            return (Reply::from_outcome(Outcome::ConnectError), None);
        }
        target.request_written(None); // the protocol has no word for the time that is left
        buffer.clear();
        loop {
            if let Some(head) = parse_response_header(&buffer).filter(|head| self.is_large(call.verb, head)) {
                return self.flow(buffer, head, target, deadline).await;
            }
            match next_response(&mut buffer, LONGEST) {
                Ok(Some(answer)) => {
                    let ours = answer.opaque == self.opaque && answer.opcode == opcode(call.verb) as u8;
                    let reply = if ours { reply(call.verb, &answer) } else { Err(Unusable) };
                    let usable = reply.is_ok() && buffer.is_empty();
                    return (reply.unwrap_or(Reply::from_outcome(Outcome::Failed)), usable.then_some(self));
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

impl Memcache {
    /// Whether a response is the answer to this read, with a value that is to flow.
    fn is_large(&self, verb: Verb, head: &ResponseHeader) -> bool {
        let ours = head.opaque == self.opaque && head.opcode == Opcode::Get as u8;
        let value = ours && head.status == Status::OK && head.extras_length == FLAGS && head.key_length == 0;
        verb == Verb::Get
            && value
            && (MAX_BUFFERED_VALUE_BYTES + 1..=MAX_STREAMED_VALUE_BYTES).contains(&head.value_length)
    }

    /// Passes a large value on.
    async fn flow(
        mut self,
        mut come: BytesMut,
        head: ResponseHeader,
        target: &Target,
        deadline: Instant,
    ) -> (Reply, Option<Self>) {
        while come.len() < HEADER_BYTES + FLAGS {
            if !matches!(read(deadline, self.stream.read_buf(&mut come)).await, Ok(1..)) {
                return (Reply::from_outcome(Outcome::Reset), None);
            }
        }
        come.advance(HEADER_BYTES);
        let flags = come.get_u32();
        let mut feeder = target.begin_stream(head.value_length, flags);
        match pass(&mut self.stream, &mut come, &mut feeder, deadline).await {
            Err(broken) => (Reply::from_outcome(broken.outcome()), None),
            Ok(()) => (
                Reply { cache_hit: Some(true), ..Reply::from_outcome(Outcome::Ok) },
                come.is_empty().then_some(self),
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
    let mut text = BytesMut::with_capacity(ROOM.max(HEADER_BYTES + extras.len() + key.len() + value.len()));
    Packet { extras: extras.freeze(), key, value, ..Packet::new(opcode(call.verb), opaque) }
        .put_request(&mut text);
    text
}

/// An answer after which nothing that comes on the connection can be relied on.
struct Unusable;

/// What an answer to this request means. The connection stays: it was a whole answer.
fn reply(verb: Verb, answer: &Packet) -> Result<Reply, Unusable> {
    let absent = match verb {
        Verb::Get => Reply { cache_hit: Some(false), ..Reply::from_outcome(Outcome::Miss) },
        _ => Reply::success(OperationResult::Absent),
    };
    Ok(match Status(answer.status) {
        Status::OK if verb == Verb::Get => {
            // Guards against: a spoilt answer, served. A value has its flags and no more than a value may hold.
            let flags = <[u8; 4]>::try_from(&answer.extras[..]).map_err(|_| Unusable)?;
            if answer.value.len() > MAX_BUFFERED_VALUE_BYTES || !answer.key.is_empty() {
                return Err(Unusable);
            }
            let made =
                OperationResult::Value { bytes: answer.value.clone(), flags: u32::from_be_bytes(flags) };
            Reply { cache_hit: Some(true), ..Reply::success(made) }
        }
        Status::OK if answer.extras.is_empty() && answer.key.is_empty() && answer.value.is_empty() => {
            Reply::success(OperationResult::value(Bytes::new()))
        }
        Status::OK => return Err(Unusable),
        Status::KEY_NOT_FOUND if verb != Verb::Set && verb != Verb::Add => absent,
        Status::KEY_EXISTS | Status::ITEM_NOT_STORED if verb == Verb::Add => {
            Reply::success(OperationResult::Exists)
        }
        Status::ITEM_NOT_STORED if verb == Verb::Replace => Reply::success(OperationResult::Absent),
        // Turned away before it was begun.
        Status::BUSY | Status::TEMPORARY_FAILURE => Reply::from_outcome(Outcome::QueueFull),
        // A read had no memory for its answer, and changed nothing.
        Status::OUT_OF_MEMORY if verb == Verb::Get => Reply::from_outcome(Outcome::QueueFull),
        // All others, known or not, may come from one that has run: out of memory of a write drops the old value.
        _ => Reply::from_outcome(Outcome::Failed),
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    /// What a status means to each verb; nothing where its connection can't be relied on.
    fn outcome(verb: Verb, answer: &Packet) -> Option<(Outcome, OperationResult)> {
        reply(verb, answer).ok().map(|reply| (reply.outcome, reply.result))
    }

    fn plain(status: Status) -> Packet {
        Packet { status: status.0, ..Packet::new(Opcode::Get, 1) }
    }

    #[test]
    fn each_status_has_its_outcome_by_the_table() {
        use Verb::*;
        let empty = || OperationResult::value(Bytes::new());
        let told = |verb: Verb, status: Status| outcome(verb, &plain(status)).unwrap();
        for verb in [Set, Add, Replace, Delete] {
            assert_eq!(told(verb, Status::OK), (Outcome::Ok, empty()));
        }
        assert_eq!(told(Get, Status::KEY_NOT_FOUND).0, Outcome::Miss);
        assert_eq!(told(Replace, Status::KEY_NOT_FOUND), (Outcome::Ok, OperationResult::Absent));
        assert_eq!(told(Delete, Status::KEY_NOT_FOUND), (Outcome::Ok, OperationResult::Absent));
        assert_eq!(told(Add, Status::KEY_EXISTS), (Outcome::Ok, OperationResult::Exists));
        assert_eq!(told(Add, Status::ITEM_NOT_STORED), (Outcome::Ok, OperationResult::Exists));
        assert_eq!(told(Replace, Status::ITEM_NOT_STORED), (Outcome::Ok, OperationResult::Absent));
        assert_eq!(told(Get, Status::OUT_OF_MEMORY).0, Outcome::QueueFull);
        for verb in [Get, Set, Add, Replace, Delete] {
            for status in [Status::BUSY, Status::TEMPORARY_FAILURE] {
                assert_eq!(told(verb, status).0, Outcome::QueueFull);
            }
            // All others may have run, known or not.
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
                assert_eq!(told(verb, status).0, Outcome::Failed, "{verb:?} {status:?}");
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
            assert_eq!(told(verb, status).0, Outcome::Failed, "{verb:?} {status:?}");
        }
    }

    #[test]
    fn a_good_answer_of_another_shape_is_none() {
        let flags = Bytes::from_static(&[0, 0, 0, 9]);
        let good = Packet { extras: flags, value: "v".into(), ..plain(Status::OK) };
        let made = OperationResult::Value { bytes: "v".into(), flags: 9 };
        assert_eq!(outcome(Verb::Get, &good), Some((Outcome::Ok, made)));
        let long = Bytes::from(vec![0; MAX_BUFFERED_VALUE_BYTES + 1]);
        let bad = [
            Packet { extras: Bytes::new(), ..good.clone() },
            Packet { key: "k".into(), ..good.clone() },
            Packet { value: long, ..good.clone() },
        ];
        assert!(bad.iter().all(|bad| outcome(Verb::Get, bad).is_none()));
        assert_eq!(outcome(Verb::Set, &good), None);
    }
}
