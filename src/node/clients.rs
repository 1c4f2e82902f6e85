//! Clients: the listener, and a session for each connection. Speaks RESP2; decides nothing.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::time::Duration;
use std::{fmt, io, str};

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;
use paddlefold::{Micros, RequestId};
use percent_encoding::{AsciiSet, CONTROLS, PercentEncode, percent_encode};
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::BytesFrame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::driver::{Arrival, Message};
use super::log;
use super::resp::{Malformed, next_frame};

/// The longest value.
pub const VALUE_LIMIT: usize = 64 << 10;
/// Key, id and facts together are no longer than this.
const ARGUMENTS: usize = 2 << 10;
/// The longest command that is read to its end, if only to say that it is too long.
const FRAME_LIMIT: usize = 2 * VALUE_LIMIT;
/// Commands of one connection that are begun while earlier ones are unanswered ...
const PIPELINED: usize = 64;
/// ... and of all connections together. Beyond that each connection has one at a time, so that no
/// number of long values, on their way in or out, outgrows the memory of a node.
const PIPELINED_IN_ALL: usize = 512;
/// A client that takes no byte of its answers for so long is given up.
const STUCK: Duration = Duration::from_secs(5);
/// After an accept that failed, for want of descriptors say.
const PAUSE: Duration = Duration::from_millis(5);
/// The longest wait that is believed.
const LONGEST: Micros = 3_600_000_000;
/// What a key may not show in a path.
const ESCAPED: &AsciiSet = &CONTROLS
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

/// A client's request as it came.
#[derive(Debug)]
pub struct Command {
    pub key: String,
    pub id: Bytes,
    /// Names and values.
    pub facts: Bytes,
    /// What a write stores.
    pub value: Option<Bytes>,
    /// How long the client will wait.
    pub wait: Micros,
}

impl Command {
    fn parse(parts: &[Bytes]) -> Result<Command, CommandError> {
        let Some((name, rest)) = parts.split_first() else { return Err(CommandError::Unknown) };
        let (key, id, facts, value) = match rest {
            [key, id, facts] if name.eq_ignore_ascii_case(b"CACHE.GET") => (key, id, facts, None),
            [key, id, facts, value] if name.eq_ignore_ascii_case(b"CACHE.SET") => {
                (key, id, facts, Some(value.clone()))
            }
            _ if name.eq_ignore_ascii_case(b"CACHE.GET") || name.eq_ignore_ascii_case(b"CACHE.SET") => {
                return Err(CommandError::Arguments);
            }
            _ => return Err(CommandError::Unknown),
        };
        if value.as_ref().is_some_and(|value| value.len() > VALUE_LIMIT) {
            return Err(CommandError::TooLong);
        }
        // Both go on in headers.
        let plain = |text: &Bytes| !text.is_empty() && HeaderValue::from_bytes(text).is_ok();
        let key = str::from_utf8(key).ok().filter(|key| !key.is_empty()).ok_or(CommandError::Arguments)?;
        if !plain(id) || !plain(facts) || key.len() + id.len() + facts.len() > ARGUMENTS {
            return Err(CommandError::Arguments);
        }
        let (key, id, facts) = (key.to_owned(), id.clone(), facts.clone());
        let mut command = Command { key, id, facts, value, wait: 0 };
        let wait = command.fact("d").and_then(|d| d.parse::<f64>().ok());
        let ms = wait.filter(|ms| ms.is_finite() && *ms >= 0.0).ok_or(CommandError::Wait)?;
        command.wait = ((ms * 1000.0) as Micros).min(LONGEST);
        Ok(command)
    }

    /// A value by its name.
    pub fn fact(&self, name: &str) -> Option<&str> {
        let facts = str::from_utf8(&self.facts).ok()?;
        facts.split(',').find_map(|fact| fact.split_once('=').filter(|f| f.0 == name).map(|f| f.1))
    }

    /// The key as a path.
    pub fn path_key(&self) -> PercentEncode<'_> {
        percent_encode(self.key.as_bytes(), ESCAPED)
    }

    /// The command for a cache: as it came, but for how long the node will wait.
    pub fn for_cache(&self, wait: Duration) -> Bytes {
        let wait = format!("d={}", wait.as_millis().max(1));
        let facts = self.facts.split(|&b| b == b',').map(|fact| match fact.starts_with(b"d=") {
            true => wait.as_bytes(),
            false => fact,
        });
        let facts = facts.collect::<Vec<_>>().join(&b","[..]);
        let name = if self.value.is_some() { "CACHE.SET" } else { "CACHE.GET" };
        let mut parts = vec![Bytes::from(name), Bytes::from(self.key.clone()), self.id.clone(), facts.into()];
        parts.extend(self.value.clone());
        let mut text = BytesMut::new();
        encode(&mut text, &BytesFrame::Array(parts.into_iter().map(BytesFrame::BulkString).collect()));
        text.freeze()
    }
}

/// Why a whole command can't be carried out.
#[derive(Debug)]
enum CommandError {
    Unknown,
    Arguments,
    Wait,
    TooLong,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandError::Unknown => "unknown command",
            CommandError::Arguments => "wrong arguments",
            CommandError::Wait => "bad or missing d",
            CommandError::TooLong => "value over 64 KiB",
        })
    }
}

/// The final answer to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Bytes),
    /// Refused; the client should stay away so long, if that is not 0.
    Busy(Micros),
    Failed,
}

impl From<Answer> for BytesFrame {
    fn from(answer: Answer) -> Self {
        match answer {
            Answer::Served(value) => BytesFrame::BulkString(value),
            Answer::Busy(0) => BytesFrame::Error("BUSY".into()),
            Answer::Busy(wait) => BytesFrame::Error(format!("BUSY {}", wait.div_ceil(1000)).into()),
            Answer::Failed => BytesFrame::Error("ERR failed".into()),
        }
    }
}

fn encode(text: &mut BytesMut, frame: &BytesFrame) {
    // Fails only for frames that RESP2 lacks; none of ours.
    let _ = extend_encode(text, frame, false);
}

/// The listener's side: what all sessions share.
#[derive(Clone)]
pub struct Clients {
    to: UnboundedSender<Message>,
    limit: usize,
    /// Wakes the session that has been idle for longest, to make room.
    room: Arc<Notify>,
    next_id: Arc<AtomicU32>,
    /// Answers owed on all connections.
    owed: Arc<AtomicUsize>,
    /// Set when connections are to be closed between requests.
    closing: CancellationToken,
    sessions: TaskTracker,
}

impl Clients {
    pub fn new(
        to: UnboundedSender<Message>,
        limit: usize,
        closing: CancellationToken,
        sessions: TaskTracker,
    ) -> Self {
        let (room, next_id, owed) = Default::default();
        Clients { to, limit, room, next_id, owed, closing, sessions }
    }

    /// Takes connections until it is aborted.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            // Guards against: clients that leave no descriptors for the servers. Those beyond the limit
            // wait to be accepted until an idle connection has made room.
            while self.sessions.len() >= self.limit {
                self.room.notify_one();
                sleep(PAUSE).await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let session = Session::new(self.clone());
                    self.sessions.spawn(session.run(stream));
                }
                // Guards against: an exit, or a busy loop, when descriptors run out.
                Err(error) => {
                    log(format_args!("accept: {error}"));
                    self.room.notify_one();
                    sleep(PAUSE).await;
                }
            }
        }
    }
}

/// An answer that is owed, in the order of the commands.
enum Owed {
    Ready(BytesFrame),
    Waiting(RequestId, oneshot::Receiver<Answer>),
}

struct Session {
    shared: Clients,
    buffer: BytesMut,
    read_at: Instant,
    owed: VecDeque<Owed>,
    /// After a malformed frame nothing more is read.
    broken: bool,
}

impl Session {
    fn new(shared: Clients) -> Self {
        let read_at = Instant::now();
        Session { shared, buffer: BytesMut::new(), read_at, owed: VecDeque::new(), broken: false }
    }

    async fn run(mut self, mut stream: TcpStream) {
        // Whether it ended by a break or between requests is all one here.
        let _ = self.serve(&mut stream).await;
        self.shared.owed.fetch_sub(self.owed.len(), Ordering::Relaxed);
        for owed in self.owed {
            if let Owed::Waiting(id, _) = owed {
                let _ = self.shared.to.send(Message::Gone(id));
            }
        }
    }

    async fn serve(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.split();
        let (closing, room) = (self.shared.closing.clone(), self.shared.room.clone());
        loop {
            let idle = self.owed.is_empty() && self.buffer.is_empty();
            let stopping = closing.is_cancelled();
            if self.broken && self.owed.is_empty() || stopping && idle {
                return writer.shutdown().await;
            }
            // Guards against: a client that always has a command under way and so keeps a node that is to
            // stop until it is killed with something unanswered. What is not read, the client sends again.
            let reading = self.may_begin() && (!stopping || self.owed.is_empty());
            tokio::select! {
                biased;
                read = reader.read_buf(&mut self.buffer), if reading => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.read_at = Instant::now();
                }
                answer = next(&mut self.owed), if !self.owed.is_empty() => {
                    self.shared.owed.fetch_sub(1, Ordering::Relaxed);
                    let mut text = BytesMut::new();
                    encode(&mut text, &answer);
                    timeout(STUCK, writer.write_all(&text)).await??;
                }
                () = closing.cancelled(), if !stopping => {}
                () = room.notified(), if idle => return writer.shutdown().await,
            }
            self.begin();
        }
    }

    /// Whether another command may be begun.
    fn may_begin(&self) -> bool {
        let room =
            || self.owed.len() < PIPELINED && self.shared.owed.load(Ordering::Relaxed) < PIPELINED_IN_ALL;
        !self.broken && (self.owed.is_empty() || room())
    }

    /// Begins the commands that have come whole.
    fn begin(&mut self) {
        while self.may_begin() {
            let owed = match next_frame(&mut self.buffer, FRAME_LIMIT).map(|f| f.map(arguments)) {
                Ok(None) => return,
                Ok(Some(Ok(parts))) => self.command(&parts),
                Ok(Some(Err(Malformed))) | Err(Malformed) => {
                    self.broken = true;
                    Owed::Ready(BytesFrame::Error("ERR malformed command".into()))
                }
            };
            self.owed.push_back(owed);
            self.shared.owed.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn command(&self, parts: &[Bytes]) -> Owed {
        match parts {
            [name] if name.eq_ignore_ascii_case(b"PING") => {
                Owed::Ready(BytesFrame::SimpleString("PONG".into()))
            }
            _ => match Command::parse(parts) {
                Ok(command) => self.request(command),
                Err(error) => Owed::Ready(BytesFrame::Error(format!("ERR {error}").into())),
            },
        }
    }

    fn request(&self, command: Command) -> Owed {
        let id = RequestId(self.shared.next_id.fetch_add(1, Ordering::Relaxed));
        let (answer, receiver) = oneshot::channel();
        let arrival = Arrival { id, command, at: self.read_at, answer };
        // A driver that is gone drops the sender, and the request ends as failed.
        let _ = self.shared.to.send(Message::Arrived(arrival));
        Owed::Waiting(id, receiver)
    }
}

/// A command's words: an array of bulk strings.
fn arguments(frame: BytesFrame) -> Result<Vec<Bytes>, Malformed> {
    let BytesFrame::Array(parts) = frame else { return Err(Malformed) };
    let words = parts.into_iter().map(|part| match part {
        BytesFrame::BulkString(text) => Ok(text),
        _ => Err(Malformed),
    });
    words.collect()
}

/// The next answer in order. Cancelled between, it loses nothing.
async fn next(owed: &mut VecDeque<Owed>) -> BytesFrame {
    let answer = match owed.front_mut() {
        Some(Owed::Waiting(_, receiver)) => receiver.await.unwrap_or(Answer::Failed).into(),
        Some(Owed::Ready(frame)) => frame.clone(),
        None => std::future::pending().await,
    };
    owed.pop_front();
    answer
}
