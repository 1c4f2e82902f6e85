//! A connection to a cache server: RESP2, one request at a time.

use std::io;
use std::mem::MaybeUninit;

use bytes::{Bytes, BytesMut};
use paddlefold::Outcome;
use redis_protocol::resp2::types::{BytesFrame, Resp2Frame};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::attempt::Reply;
use super::resp::{Malformed, next_frame};

/// A value of 64 KiB and what stands round it.
const LARGEST: usize = 66 << 10;

/// A connection between requests.
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Connection { stream, buffer: BytesMut::new() }
    }

    /// Asks the kernel itself: what the runtime has seen of the peer's close may be a moment old.
    pub fn is_live(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let seen = SockRef::from(&self.stream).peek(&mut byte);
        self.buffer.is_empty() && seen.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends one request and waits for its answer.
    pub async fn ask(mut self, request: Bytes) -> (Reply, Option<Self>) {
        // Broken before the last byte was written: it never ran. After that it may have.
        if self.stream.write_all(&request).await.is_err() {
            return (Reply::of(Outcome::ConnectError), None);
        }
        loop {
            match next_frame(&mut self.buffer, LARGEST) {
                Ok(Some(frame)) => {
                    let reply = reply(frame);
                    let usable = reply.is_ok() && self.buffer.is_empty();
                    return (reply.unwrap_or(Reply::of(Outcome::Failed)), usable.then_some(self));
                }
                Ok(None) => {}
                Err(Malformed) => return (Reply::of(Outcome::Failed), None),
            }
            match self.stream.read_buf(&mut self.buffer).await {
                Ok(0) | Err(_) => return (Reply::of(Outcome::Reset), None),
                Ok(_) => {}
            }
        }
    }
}

/// What an answer means. Whatever the protocol has no word for may have run.
fn reply(frame: BytesFrame) -> Result<Reply, Malformed> {
    match frame {
        BytesFrame::Array(parts) => {
            let mut parts = parts.into_iter();
            let value = parts.next();
            let hit = parts.next().and_then(|note| note.as_str().map(|note| note == "hit"));
            match value {
                Some(BytesFrame::BulkString(value)) => Ok(Reply { outcome: Outcome::Ok, value, hit }),
                Some(BytesFrame::Null) => Ok(Reply { hit, ..Reply::of(Outcome::Miss) }),
                _ => Err(Malformed),
            }
        }
        BytesFrame::Error(text) => match text.split(' ').next() {
            Some("BUSY") => Ok(Reply::of(Outcome::QueueFull)),
            _ => Ok(Reply::of(Outcome::Failed)),
        },
        _ => Err(Malformed),
    }
}
