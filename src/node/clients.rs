//! Clients: the listener, and a session for each connection. Speaks RESP2; decides nothing.

use std::collections::{HashSet, VecDeque};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
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
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::driver::{Arrival, Message};
use super::log;
use super::resp::{Malformed, next_frame};
use super::seats::{Guest, Seat, Seats};

/// The longest value.
pub const VALUE_LIMIT: usize = 64 << 10;
/// Key, id and facts together are no longer than this.
const ARGUMENTS: usize = 2 << 10;
/// The longest command that is read to its end, if only to say that it is too long.
const FRAME_LIMIT: usize = 2 * VALUE_LIMIT;
/// Requests that one connection may have open; those beyond are answered with an error.
const PIPELINED: usize = 64;
/// Answers owed on one connection, errors among them; beyond that it is not read.
const OWED: usize = 1024;
/// Commands begun, and bytes of answers written, before others have their turn.
const TURN: usize = 32;
const WRITTEN: usize = 16 << 10;
/// A buffer of up to this size is any connection's; larger ones are for a few at a time.
const SMALL: usize = 8 << 10;
/// What an open request is reckoned to hold in memory beside its command.
const PER_REQUEST: usize = 4 << 10;
/// A connection that has had nothing good to say for so long is closed: silent, or in the midst of a command.
const PATIENCE: Duration = Duration::from_millis(2500);
/// After what can't be read, answers that are owed are waited for so long.
const PARTING: Duration = Duration::from_millis(1500);
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
        // Copied, so that they don't hold on to the whole of what was read with them.
        let (key, [id, facts]) = (key.to_owned(), [id, facts].map(|text| Bytes::copy_from_slice(text)));
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
    Class,
    InUse,
    TooMany,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CommandError::Unknown => "unknown command",
            CommandError::Arguments => "wrong arguments",
            CommandError::Wait => "bad or missing d",
            CommandError::TooLong => "value over 64 KiB",
            CommandError::Class => "unknown class",
            CommandError::InUse => "id in use",
            CommandError::TooMany => "too many commands at once",
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

/// How much clients may hold of a node.
#[derive(Clone)]
pub struct Bounds {
    /// Connections that they may hold in any case, and together with those to servers.
    pub connections: usize,
    pub with_servers: usize,
    /// How many connections to servers there are.
    pub to_servers: Arc<AtomicUsize>,
    /// Bytes, of which a part each is for open requests and for large buffers.
    pub memory: usize,
}

impl Bounds {
    /// How many connections from clients there may be now.
    fn limit(&self) -> usize {
        let free = self.with_servers.saturating_sub(self.to_servers.load(Ordering::Relaxed));
        self.connections.max(free)
    }
}

/// The listener's side: what all sessions share.
#[derive(Clone)]
pub struct Clients {
    to: UnboundedSender<Message>,
    bounds: Bounds,
    classes: Arc<HashSet<String>>,
    /// Connections on which nothing is owed.
    seats: Arc<Seats>,
    /// Told when a session has ended.
    left: Arc<Notify>,
    next_id: Arc<AtomicU32>,
    open_ids: Arc<Mutex<HashSet<Bytes>>>,
    /// Bytes held by the open requests of all connections.
    held: Arc<AtomicUsize>,
    /// Places for buffers that are not small.
    large: Arc<Semaphore>,
    /// Set when connections are to be closed between requests.
    closing: CancellationToken,
    sessions: TaskTracker,
}

impl Clients {
    pub fn new(
        to: UnboundedSender<Message>,
        bounds: Bounds,
        classes: HashSet<String>,
        closing: CancellationToken,
        sessions: TaskTracker,
    ) -> Self {
        let large = Arc::new(Semaphore::new((bounds.memory / 2 / FRAME_LIMIT).max(1)));
        // Clients may hold a third of the descriptors: some of it stays free for their next connections.
        let seats = Arc::new(Seats::new((bounds.connections * 3 / 4).max(1)));
        let (left, next_id, open_ids, held) = Default::default();
        let classes = Arc::new(classes);
        Clients { to, bounds, classes, seats, left, next_id, open_ids, held, large, closing, sessions }
    }

    /// Takes connections until it is aborted.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            // Guards against: clients that leave no descriptors for the servers, and crowds of silent ones
            // that keep the usual ones out. Beyond the limit each newcomer takes the place of another. What
            // the servers leave free is the clients' too: many have asked once and stay.
            while self.sessions.len() >= self.bounds.limit() {
                self.make_room().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let session = Session::new(self.clone());
                    self.sessions.spawn(session.run(stream));
                }
                // Guards against: an exit, or a busy loop, when descriptors run out.
                Err(error) => {
                    log(format_args!("accept: {error}"));
                    self.make_room().await;
                }
            }
        }
    }

    /// Has a connection closed, and waits for its end, or for a while.
    async fn make_room(&self) {
        let left = self.left.notified();
        self.seats.clear_one(Instant::now());
        let _ = timeout(PAUSE, left).await; // looked at again either way
    }
}

/// The id of an open request, free again when it is dropped.
struct OpenId {
    id: Bytes,
    all: Arc<Mutex<HashSet<Bytes>>>,
}

impl OpenId {
    fn take(id: &Bytes, all: &Arc<Mutex<HashSet<Bytes>>>) -> Option<OpenId> {
        let new = all.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        new.then(|| OpenId { id: id.clone(), all: all.clone() })
    }
}

impl Drop for OpenId {
    fn drop(&mut self) {
        self.all.lock().unwrap_or_else(PoisonError::into_inner).remove(&self.id);
    }
}

/// An open request's part of the memory that all share.
struct Held {
    bytes: usize,
    all: Arc<AtomicUsize>,
}

impl Held {
    fn new(bytes: usize, all: &Arc<AtomicUsize>) -> Held {
        all.fetch_add(bytes, Ordering::Relaxed);
        Held { bytes, all: all.clone() }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// A request that waits for its answer.
struct Pending {
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    _open_id: OpenId,
    _held: Held,
}

/// An answer that is owed, in the order of the commands.
enum Owed {
    Ready(BytesFrame),
    Waiting(Pending),
}

struct Session {
    shared: Clients,
    buffer: BytesMut,
    /// The place of a buffer that is not small.
    large: Option<OwnedSemaphorePermit>,
    read_at: Instant,
    owed: VecDeque<Owed>,
    /// How many of those owed are requests.
    open: usize,
    /// Whether it has ever sent a command that is good.
    heard: bool,
    /// Whether it has ever had a request. Guards against: crowds that ask whether the node is there, and stay.
    asked: bool,
    /// Since when nothing good has come: its start, its last answer, or a command's first byte.
    since: Instant,
    /// Whether the buffer may hold another whole command.
    more: bool,
    /// When a malformed frame came: nothing more is read.
    broken: Option<Instant>,
}

impl Session {
    fn new(shared: Clients) -> Self {
        let now = Instant::now();
        Session {
            shared,
            buffer: BytesMut::new(),
            large: None,
            read_at: now,
            owed: VecDeque::new(),
            open: 0,
            heard: false,
            asked: false,
            since: now,
            more: false,
            broken: None,
        }
    }

    async fn run(mut self, mut stream: TcpStream) {
        // Whether it ended by a break or between requests is all one here.
        let _ = self.serve(&mut stream).await;
        for owed in self.owed.drain(..) {
            if let Owed::Waiting(pending) = owed {
                let _ = self.shared.to.send(Message::Gone(pending.id));
            }
        }
        drop(stream);
        self.shared.left.notify_waiters();
    }

    async fn serve(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.split();
        let (closing, large) = (self.shared.closing.clone(), self.shared.large.clone());
        let mut seat = None;
        loop {
            let unowed = self.owed.is_empty();
            let stopping = closing.is_cancelled();
            if unowed && (self.broken.is_some() || stopping && self.buffer.is_empty()) {
                return writer.shutdown().await;
            }
            let guest = unowed.then(|| self.guest());
            if guest != seat.as_ref().map(Seat::guest) {
                seat = guest.map(|guest| self.shared.seats.take(guest, self.since));
            }
            // Guards against: a client that always has a command under way and so keeps a node that is to
            // stop until it is killed with something unanswered. What is not read, the client sends again.
            let reading = self.may_begin() && !self.more && (!stopping || unowed);
            let roomy = self.buffer.len() < SMALL || self.large.is_some();
            let (may_give_up, give_up_at) = (self.may_give_up(), self.give_up_at());
            tokio::select! {
                biased;
                read = reader.read_buf(&mut self.buffer), if reading && roomy => {
                    let read = read?;
                    if read == 0 {
                        return Ok(());
                    }
                    self.read_at = Instant::now();
                    if self.heard && read == self.buffer.len() {
                        self.since = self.read_at; // a command's first byte
                    }
                }
                // Guards against: long commands on all connections at once, which outgrow the memory.
                Ok(place) = large.clone().acquire_owned(), if reading && !roomy => self.large = Some(place),
                answer = next(&mut self.owed), if !unowed => {
                    let text = self.answers(answer);
                    timeout(STUCK, writer.write_all(&text)).await??;
                    self.since = Instant::now();
                }
                () = yield_now(), if self.more => {}
                () = closing.cancelled(), if !stopping => {}
                () = sleep_until(give_up_at), if may_give_up => {
                    let error = BytesFrame::Error("ERR no whole command".into());
                    let mut text = BytesMut::new();
                    encode(&mut text, &error);
                    timeout(STUCK, writer.write_all(&text)).await??;
                    return writer.shutdown().await;
                }
                () = Seat::cleared(&mut seat) => return writer.shutdown().await,
            }
            self.begin();
        }
    }

    fn guest(&self) -> Guest {
        match (self.buffer.is_empty(), self.asked) {
            (false, _) => Guest::Sending,
            (true, true) => Guest::Resting,
            (true, false) => Guest::Silent,
        }
    }

    /// Whether the client is waited for only for a while.
    ///
    /// Guards against: silent connections and halves of commands, which would be held for ever, and an error
    /// that waits behind an answer which is long in coming.
    fn may_give_up(&self) -> bool {
        self.broken.is_some() || self.owed.is_empty() && (!self.heard || !self.buffer.is_empty())
    }

    fn give_up_at(&self) -> Instant {
        self.broken.map_or(self.since + PATIENCE, |at| at + PARTING)
    }

    /// The text of an answer, and of those behind it that are at hand.
    fn answers(&mut self, first: BytesFrame) -> BytesMut {
        let mut text = BytesMut::new();
        encode(&mut text, &first);
        while text.len() < WRITTEN {
            let frame = match self.owed.front_mut() {
                Some(Owed::Ready(frame)) => std::mem::replace(frame, BytesFrame::Null),
                Some(Owed::Waiting(pending)) => match pending.answer.try_recv() {
                    Ok(answer) => answer.into(),
                    Err(_) => break, // not yet; should its sender be gone, the next turn says so
                },
                None => break,
            };
            self.owed.pop_front();
            encode(&mut text, &frame);
        }
        self.open = self.owed.iter().filter(|owed| matches!(owed, Owed::Waiting(_))).count();
        text
    }

    /// Whether another command may be begun.
    fn may_begin(&self) -> bool {
        let room = || self.shared.held.load(Ordering::Relaxed) < self.shared.bounds.memory / 2;
        self.broken.is_none() && self.owed.len() < OWED && (self.owed.is_empty() || room())
    }

    /// Begins commands that have come whole, as many as have their turn.
    fn begin(&mut self) {
        let before = self.buffer.len();
        self.more = self.begin_some();
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new(); // what has grown goes back
        }
        if self.buffer.len() < SMALL {
            self.large = None;
        }
        if self.buffer.len() < before {
            self.since = Instant::now();
        }
    }

    /// Tells whether there may be more.
    fn begin_some(&mut self) -> bool {
        for _ in 0..TURN {
            if !self.may_begin() {
                return false;
            }
            let before = self.buffer.len();
            let owed = match next_frame(&mut self.buffer, FRAME_LIMIT).map(|f| f.map(arguments)) {
                Ok(None) => return false,
                Ok(Some(Ok(parts))) => self.command(&parts, before - self.buffer.len()),
                Ok(Some(Err(Malformed))) | Err(Malformed) => {
                    self.broken = Some(Instant::now());
                    self.buffer.clear();
                    Owed::Ready(BytesFrame::Error("ERR malformed command".into()))
                }
            };
            self.owed.push_back(owed);
        }
        true
    }

    fn command(&mut self, parts: &[Bytes], length: usize) -> Owed {
        let owed = match parts {
            [name] if name.eq_ignore_ascii_case(b"PING") => {
                Ok(Owed::Ready(BytesFrame::SimpleString("PONG".into())))
            }
            _ => Command::parse(parts).and_then(|command| self.request(command, length)),
        };
        self.heard |= owed.is_ok();
        owed.unwrap_or_else(|error| Owed::Ready(BytesFrame::Error(format!("ERR {error}").into())))
    }

    fn request(&mut self, command: Command, length: usize) -> Result<Owed, CommandError> {
        // Guards against: requests that name a class which the settings lack, sent on to servers that turn
        // them away. One that names none is served.
        if command.fact("c").is_some_and(|class| !self.shared.classes.contains(class)) {
            return Err(CommandError::Class);
        }
        if self.open >= PIPELINED {
            return Err(CommandError::TooMany);
        }
        // Guards against: the answer to another client's request, or one for both.
        let open_id = OpenId::take(&command.id, &self.shared.open_ids).ok_or(CommandError::InUse)?;
        let held = Held::new(PER_REQUEST + length, &self.shared.held);
        let id = RequestId(self.shared.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        let arrival = Arrival { id, command, at: self.read_at, answer: sender };
        // A driver that is gone drops the sender, and the request ends as failed.
        let _ = self.shared.to.send(Message::Arrived(arrival));
        self.open += 1;
        self.asked = true;
        Ok(Owed::Waiting(Pending { id, answer, _open_id: open_id, _held: held }))
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
        Some(Owed::Waiting(pending)) => (&mut pending.answer).await.unwrap_or(Answer::Failed).into(),
        Some(Owed::Ready(frame)) => frame.clone(),
        None => std::future::pending().await,
    };
    owed.pop_front();
    answer
}
