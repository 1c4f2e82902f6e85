//! A connection to a cache server: RESP2, one request at a time.

use std::io;
use std::mem::MaybeUninit;

use bytes::{Bytes, BytesMut};
use paddlefold::Outcome;
use redis_protocol::resp2::types::BytesFrame;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::attempt::Reply;
use super::clients::VALUE_LIMIT;
use super::resp::{Malformed, next_frame};

/// A value of 64 KiB and what stands round it.
const LARGEST: usize = 66 << 10;

/// A connection between requests.
pub struct Connection(TcpStream);

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        Connection(stream)
    }

    /// Asks the kernel itself: what the runtime has seen of the peer's close may be a moment old.
    pub fn is_live(&self) -> bool {
        nothing_has_come(&self.0)
    }

    /// Sends one request and waits for its answer.
    pub async fn ask(mut self, request: Bytes) -> (Reply, Option<Self>) {
        // Broken before the last byte was written: it never ran. After that it may have.
        if self.0.write_all(&request).await.is_err() {
            return (Reply::of(Outcome::ConnectError), None);
        }
        let mut buffer = BytesMut::new();
        loop {
            match next_frame(&mut buffer, LARGEST) {
                Ok(Some(frame)) => {
                    let reply = reply(frame);
                    let usable = reply.is_ok() && buffer.is_empty();
                    return (reply.unwrap_or(Reply::of(Outcome::Failed)), usable.then_some(self));
                }
                Ok(None) => {}
                Err(Malformed) => return (Reply::of(Outcome::Failed), None),
            }
            match self.0.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return (Reply::of(Outcome::Reset), None),
                Ok(_) => {}
            }
        }
    }
}

/// Whether the peer has neither sent anything nor closed.
pub fn nothing_has_come(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    SockRef::from(stream).peek(&mut byte).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// What an answer means. Whatever the protocol has no word for may have run.
fn reply(frame: BytesFrame) -> Result<Reply, Malformed> {
    match frame {
        // Guards against: spoilt answers that look like one. The load report is not read, and may be anything.
        BytesFrame::Array(parts) => {
            let [value, note, _report] = <[_; 3]>::try_from(parts).map_err(|_| Malformed)?;
            let hit = match note {
                BytesFrame::Null => None,
                BytesFrame::BulkString(word) => match &word[..] {
                    b"hit" => Some(true),
                    b"miss" | b"pending" => Some(false),
                    _ => return Err(Malformed),
                },
                _ => return Err(Malformed),
            };
            match value {
                BytesFrame::BulkString(value) if value.len() <= VALUE_LIMIT => {
                    Ok(Reply { outcome: Outcome::Ok, value, hit })
                }
                BytesFrame::Null => Ok(Reply { hit, ..Reply::of(Outcome::Miss) }),
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
