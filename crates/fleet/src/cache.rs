//! A stand-in cache box that serves RESP2, with the commands that PROTOCOL defines, or memcached's binary protocol.
//!
//! A box works on a limited number of requests at once, queues some and refuses the rest. It records what it receives
//! and applies the configured faults.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use lilacquay_codec::memcache::{Packet, next_request};
use lilacquay_codec::resp::{Frame, next_frame, put_array, put_bulk, put_error, put_simple};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use crate::clock::Micros;
use crate::fault::Faults;
use crate::memcache;
use crate::origin::MissLog;
use crate::record::{Event, Log, ReceivedRequest};
use crate::slow_accept::FullListener;
use crate::store::{ColdStart, ColdStartState, Store};

/// Maximum length of a command that a box reads, in bytes.
const MAX_COMMAND_BYTES: usize = 128 << 10;

/// Configuration of a box.
#[derive(Debug, Clone)]
pub struct BoxConfig {
    /// The protocol that it serves.
    pub protocol: CacheProtocol,
    /// Number of requests that it works on at once.
    pub cores: usize,
    /// Number of requests that may wait for a core; those beyond it are answered as busy.
    pub queue_capacity: usize,
    /// Time that a request whose key is found takes on one core.
    pub hit_work: Duration,
    /// Time that a request whose key is not found takes on one core.
    pub miss_work: Duration,
    /// Capacity of its store, in bytes.
    pub memory_bytes: usize,
    /// Its capacity after a cold start.
    pub cold_start: ColdStart,
}

/// The protocol that a box serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheProtocol {
    /// RESP2, with the commands that PROTOCOL defines.
    Resp,
    /// memcached's binary protocol.
    Memcached,
}

/// The result of a request at a box, independent of the protocol.
pub(crate) enum RequestResult {
    Busy,
    Miss,
    /// The version found.
    Value(u64),
    /// Executed, and answered with an error.
    Failed,
    /// Executed, and answered with malformed data.
    Malformed,
    /// The beginning of a large value, and nothing after it.
    Truncated,
}

/// A running box, which stops when it is dropped.
pub struct CacheBox {
    pub(crate) inner: Arc<BoxInner>,
    /// The address that it listens on.
    pub addr: SocketAddr,
}

/// The state of a box that its tasks share.
pub(crate) struct BoxInner {
    name: Arc<str>,
    config: BoxConfig,
    log: Log,
    misses: MissLog,
    faults: watch::Sender<Faults>,
    store: Mutex<Store>,
    cold_start: Mutex<ColdStartState>,
    rng: Mutex<fastrand::Rng>,
    cores: Semaphore,
    /// Number of requests that wait for a core.
    queued: AtomicUsize,
    /// Cancelled once the box is dropped or has failed under overload.
    stopped: CancellationToken,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// How a box ends a connection.
enum ConnectionEnd {
    /// By a normal close.
    Closed,
    /// By a TCP reset.
    Reset,
}

impl From<io::Error> for ConnectionEnd {
    fn from(_: io::Error) -> Self {
        ConnectionEnd::Closed
    }
}

impl CacheBox {
    /// Starts a box, cold if `cold` is set, otherwise warm.
    pub(crate) async fn start(
        name: &str,
        address: SocketAddr,
        config: BoxConfig,
        cold: bool,
        seed: u64,
        log: Log,
        misses: MissLog,
    ) -> io::Result<CacheBox> {
        let listener = TcpListener::bind(address).await?;
        let addr = listener.local_addr()?;
        let started = cold.then(|| log.clock().now());
        let inner = Arc::new(BoxInner {
            name: name.into(),
            store: Mutex::new(Store::new(config.memory_bytes)),
            cold_start: Mutex::new(ColdStartState::new(config.cold_start.clone(), config.cores, started)),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            cores: Semaphore::new(config.cores),
            queued: AtomicUsize::new(0),
            faults: watch::Sender::new(Faults::default()),
            stopped: CancellationToken::new(),
            config,
            log,
            misses,
        });
        tokio::spawn(inner.clone().accept(listener, addr));
        Ok(CacheBox { inner, addr })
    }

    pub(crate) fn protocol(&self) -> CacheProtocol {
        self.inner.config.protocol
    }

    /// Replaces its faults.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.faults.send_replace(faults);
    }
}

impl Drop for CacheBox {
    fn drop(&mut self) {
        self.inner.stopped.cancel();
    }
}

impl BoxInner {
    /// Stores a version of a key.
    pub fn put(&self, key: &str, version: u64) {
        lock(&self.store).put(key, version);
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        lock(&self.store).remove(key);
    }

    /// Accepts connections until the box stops, as far as its faults allow.
    async fn accept(self: Arc<Self>, listener: TcpListener, addr: SocketAddr) {
        let (mut listener, mut full_listener, mut faults) =
            (Some(listener), None::<FullListener>, self.faults.subscribe());
        loop {
            let (refuse, late) = {
                let faults = faults.borrow_and_update();
                (faults.refuse, faults.late)
            };
            if refuse {
                listener = None; // new connections are refused
            } else if late {
                if full_listener.is_none() {
                    listener = None; // frees the address
                    full_listener = FullListener::bind(addr).ok();
                }
            } else if let Some(full) = full_listener.take() {
                listener = full.open().and_then(tokio_listener).ok();
            } else if listener.is_none() {
                listener = TcpListener::bind(addr).await.ok();
            }
            let must_retry_bind = listener.is_none() && full_listener.is_none() && !refuse;
            tokio::select! {
                () = self.stopped.cancelled() => return,
                _ = faults.changed() => {}
                () = sleep(Duration::from_millis(5)), if must_retry_bind => {}
                accepted = accept_if_listening(listener.as_ref()) => if let Ok(stream) = accepted {
                    tokio::spawn(self.clone().serve_connection(stream));
                },
            }
        }
    }

    /// Serves a connection until it ends or the box stops, which resets it.
    async fn serve_connection(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let end = tokio::select! {
            () = self.stopped.cancelled() => ConnectionEnd::Reset,
            Err(end) = self.serve_requests(&mut stream) => end,
        };
        if matches!(end, ConnectionEnd::Reset) {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    async fn serve_requests(&self, stream: &mut TcpStream) -> Result<(), ConnectionEnd> {
        match self.config.protocol {
            CacheProtocol::Resp => self.serve_resp(stream).await,
            CacheProtocol::Memcached => self.serve_memcached(stream).await,
        }
    }

    /// Records the first byte of a request, after which a fault may reset its connection.
    fn on_first_byte(&self) -> Result<(), ConnectionEnd> {
        self.record(Event::FirstByte);
        if self.should_inject(|faults| faults.reset_before) { Err(ConnectionEnd::Reset) } else { Ok(()) }
    }

    /// Reads until `next` parses a complete command. An invalid one is recorded and ends the connection.
    async fn read_command<T>(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        next: impl Fn(&mut BytesMut) -> Result<Option<T>, String>,
    ) -> Result<T, ConnectionEnd> {
        let mut has_begun = !buffer.is_empty();
        loop {
            match next(buffer) {
                Ok(Some(command)) => return Ok(command),
                Ok(None) => {}
                Err(reason) => {
                    self.record(Event::InvalidCommand(reason));
                    return Err(ConnectionEnd::Closed);
                }
            }
            if stream.read_buf(buffer).await? == 0 {
                return Err(ConnectionEnd::Closed);
            }
            if !has_begun {
                has_begun = true;
                self.on_first_byte()?;
            }
        }
    }

    /// Executes a request as long as its connection stays open.
    async fn execute_while_connected(
        &self,
        request: &ReceivedRequest,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> Result<RequestResult, ConnectionEnd> {
        self.record(Event::Received(request.clone()));
        tokio::select! {
            result = self.execute(request) => result,
            // A closed connection cancels its request, which stops the work.
            read = stream.read_buf(buffer) => match read? {
                0 => Err(ConnectionEnd::Closed),
                _ => Err(ConnectionEnd::Reset), // a node sends one request at a time
            },
        }
    }

    async fn serve_memcached(&self, stream: &mut TcpStream) -> Result<(), ConnectionEnd> {
        let (mut buffer, mut last_answer) = (BytesMut::new(), None);
        loop {
            let next = |buffer: &mut BytesMut| {
                next_request(buffer, MAX_COMMAND_BYTES).map_err(|error| error.to_string())
            };
            let packet = self.read_command(stream, &mut buffer, next).await?;
            let answer = match memcache::parse_request(&packet) {
                Ok(request) => {
                    let result = self.execute_while_connected(&request, stream, &mut buffer).await?;
                    self.encode_memcached(&request, &packet, &result, &mut last_answer)
                }
                Err(error_answer) => {
                    self.record(Event::InvalidCommand(format!("opcode {:#04x}", packet.opcode)));
                    error_answer
                }
            };
            stream.write_all(&answer).await?;
        }
    }

    /// Encodes a result with the faults of memcached's protocol; `last_answer` is the connection's last answer without
    /// them.
    fn encode_memcached(
        &self,
        request: &ReceivedRequest,
        packet: &Packet,
        result: &RequestResult,
        last_answer: &mut Option<BytesMut>,
    ) -> BytesMut {
        if matches!(result, RequestResult::Malformed) {
            return self.pick_malformed(memcache::MALFORMED_ANSWERS);
        }
        let mut answer = memcache::encode_answer(packet, &request.key, result);
        let (unmodified, is_miss) = (answer.clone(), matches!(result, RequestResult::Miss));
        if is_miss && self.should_inject(|faults| faults.memcached.quiet) {
            answer.clear();
        }
        if self.should_inject(|faults| faults.memcached.opaque) {
            memcache::corrupt_opaque(&mut answer);
        }
        if self.should_inject(|faults| faults.memcached.body) {
            memcache::corrupt_body_length(&mut answer);
        }
        if self.should_inject(|faults| faults.memcached.header) {
            answer.truncate(12);
        }
        if let Some(last) =
            last_answer.as_ref().filter(|_| self.should_inject(|faults| faults.memcached.misorder))
        {
            answer = BytesMut::from_iter(last.iter().chain(&answer).copied());
        }
        *last_answer = Some(unmodified);
        answer
    }

    /// Picks one of the malformed answers at random.
    fn pick_malformed(&self, answers: &[&[u8]]) -> BytesMut {
        lock(&self.rng).choice(answers).map_or_else(BytesMut::new, |answer| answer[..].into())
    }

    async fn serve_resp(&self, stream: &mut TcpStream) -> Result<(), ConnectionEnd> {
        let mut buffer = BytesMut::new();
        loop {
            let next = |buffer: &mut BytesMut| {
                next_frame(buffer, MAX_COMMAND_BYTES).map_err(|_| "not RESP2".to_owned())
            };
            let frame = self.read_command(stream, &mut buffer, next).await?;
            let answer = match command_words(frame) {
                Some(words) => self.handle_command(&words, stream, &mut buffer).await?,
                None => encode_error("ERR words wanted").into(),
            };
            match &answer.follow_up {
                FollowUp::RecordSent(request) if self.should_inject(|faults| faults.pause) => {
                    self.record(Event::AnswerPaused(request.clone()));
                    let written = self.write_with_pauses(stream, &answer.bytes).await;
                    if written.is_err() {
                        self.record(Event::ValueAbandoned(request.clone()));
                    }
                    written?;
                }
                _ => stream.write_all(&answer.bytes).await?,
            }
            match answer.follow_up {
                FollowUp::None => {}
                FollowUp::RecordSent(request) => self.record(Event::LargeValueSent(request)),
                FollowUp::RepeatAnswer(request) => {
                    self.repeat_answer(&request, &answer.bytes, stream, &mut buffer).await?
                }
                // Until the node closes the connection.
                FollowUp::NeverAnswer => while stream.read_buf(&mut buffer).await? > 0 {},
            }
        }
    }

    /// Writes an answer in pieces.
    async fn write_with_pauses(&self, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<()> {
        let pieces = lock(&self.rng).usize(PAUSED_PIECES);
        for (n, piece) in bytes.chunks(bytes.len().div_ceil(pieces)).enumerate() {
            if n > 0 {
                let pause = Duration::from_millis(lock(&self.rng).u64(PAUSE_MS));
                sleep(pause).await;
            }
            stream.write_all(piece).await?;
        }
        Ok(())
    }

    /// Sends an answer a second time, some milliseconds later, unless the connection is closed before.
    async fn repeat_answer(
        &self,
        request: &ReceivedRequest,
        answer: &[u8],
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> Result<(), ConnectionEnd> {
        let delay = Duration::from_millis(lock(&self.rng).u64(REPEAT_DELAY_MS));
        let due = tokio::time::Instant::now() + delay;
        while let Ok(read) = timeout_at(due, stream.read_buf(buffer)).await {
            if read? == 0 {
                return Err(ConnectionEnd::Closed);
            }
        }
        stream.write_all(answer).await?;
        self.record(Event::AnswerRepeated(request.clone()));
        Ok(())
    }

    /// Handles a RESP2 command.
    async fn handle_command(
        &self,
        words: &[String],
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> Result<EncodedAnswer, ConnectionEnd> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let request = match words[..] {
            ["CACHE.GET", key, id, facts] if facts.contains("d=") => {
                ReceivedRequest::new(key, id, facts, false)
            }
            ["CACHE.SET", key, id, facts, _] if facts.contains("d=") => {
                ReceivedRequest::new(key, id, facts, true)
            }
            ["PING"] => return Ok(encode(|out| put_simple(out, "PONG")).into()),
            ["CLIENT" | "SELECT", ..] => return Ok(encode(|out| put_simple(out, "OK")).into()),
            ["CACHE.GET" | "CACHE.SET", ..] => {
                self.record(Event::InvalidCommand(words.join(" ")));
                return Ok(encode_error("SYNTAX").into());
            }
            _ => return Ok(encode_error("ERR unknown command").into()),
        };
        let bytes = match self.execute_while_connected(&request, stream, buffer).await? {
            RequestResult::Busy => encode_error("BUSY"),
            RequestResult::Miss => encode_answer(None),
            RequestResult::Value(version) => encode_answer(Some(&padded_value(&request, version))),
            RequestResult::Failed => encode_error("ERR failed"),
            RequestResult::Malformed => self.pick_malformed(MALFORMED_ANSWERS),
            RequestResult::Truncated => {
                self.record(Event::AnswerHalted(request));
                return Ok(EncodedAnswer { bytes: truncated_value(), follow_up: FollowUp::NeverAnswer });
            }
        };
        let repeats = self.should_inject(|faults| faults.twice);
        let follow_up = match request.value_bytes {
            Some(_) => FollowUp::RecordSent(request),
            None if repeats => FollowUp::RepeatAnswer(request),
            None => FollowUp::None,
        };
        Ok(EncodedAnswer { bytes, follow_up })
    }

    /// Executes a request: queues it for a core, works on it and applies the faults.
    async fn execute(&self, request: &ReceivedRequest) -> Result<RequestResult, ConnectionEnd> {
        if self.should_inject(|faults| faults.swallow) {
            std::future::pending::<()>().await;
        }
        let found = lock(&self.store).get(&request.key);
        let work = if found.is_some() { self.config.hit_work } else { self.config.miss_work };
        self.account_work(work)?;
        if self.cores.available_permits() == 0
            && self.queued.load(Ordering::Relaxed) >= self.config.queue_capacity
        {
            return Ok(RequestResult::Busy);
        }
        let queued = QueuedGuard::new(&self.queued);
        let _core = self.cores.acquire().await.map_err(|_| ConnectionEnd::Closed)?;
        drop(queued);
        let mut faults = self.faults.subscribe();
        let slowdown = faults.borrow().slow / lock(&self.cold_start).capacity(self.log.clock().now());
        if work > Duration::ZERO {
            sleep(work.mul_f64(slowdown)).await;
        }
        let _ = faults.wait_for(|faults| !faults.stalled).await;
        let Some(version) = found else {
            self.misses.add(&request.id, self.name.clone());
            return Ok(RequestResult::Miss);
        };
        self.record(Event::Executed(request.clone()));
        if self.should_inject(|faults| faults.reset_after) {
            return Err(ConnectionEnd::Reset);
        }
        if self.should_inject(|faults| faults.fail) {
            return Ok(RequestResult::Failed);
        }
        if self.config.protocol == CacheProtocol::Resp
            && !request.is_write
            && self.should_inject(|faults| faults.halt)
        {
            return Ok(RequestResult::Truncated);
        }
        if self.should_inject(|faults| faults.spoil) {
            return Ok(RequestResult::Malformed);
        }
        Ok(RequestResult::Value(version))
    }

    /// Counts the work of a request, whether it is begun or not. The box stops if that overloads it.
    fn account_work(&self, work: Duration) -> Result<(), ConnectionEnd> {
        let work = work.as_micros() as Micros;
        if lock(&self.cold_start).add_work(self.log.clock().now(), work) {
            self.record(Event::Overloaded);
            self.stopped.cancel();
            return Err(ConnectionEnd::Reset);
        }
        Ok(())
    }

    /// Draws whether a fault with a configured probability hits this request.
    fn should_inject(&self, probability: impl Fn(&Faults) -> f64) -> bool {
        let probability = probability(&self.faults.borrow());
        probability > 0.0 && lock(&self.rng).f64() < probability
    }

    fn record(&self, event: Event) {
        self.log.record(&self.name, event);
    }
}

fn tokio_listener(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Counts a request that waits for a core, until it is dropped.
struct QueuedGuard<'a>(&'a AtomicUsize);

impl<'a> QueuedGuard<'a> {
    fn new(queued: &'a AtomicUsize) -> Self {
        queued.fetch_add(1, Ordering::Relaxed);
        QueuedGuard(queued)
    }
}

impl Drop for QueuedGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Accepts the next connection; pending for ever without a listener.
pub(crate) async fn accept_if_listening(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

/// Malformed answers: noise, a length that doesn't match its text, a length that is too large, a line without end.
const MALFORMED_ANSWERS: &[&[u8]] = &[
    b"\x00\xff\x13noise\r\n",
    b"*3\r\n$5\r\nab\r\n$3\r\nhit\r\n$-1\r\n",
    b"*3\r\n$3000000000\r\nab",
    b"+never ending ",
];

/// Time from an answer to its repeat, in milliseconds.
const REPEAT_DELAY_MS: std::ops::Range<u64> = 1..9;
/// The number of pieces of a value that is written with pauses, and the pauses, in milliseconds.
const PAUSED_PIECES: std::ops::Range<usize> = 2..5;
const PAUSE_MS: std::ops::RangeInclusive<u64> = 800..=1800;
/// Announced length of a truncated value, in bytes.
const TRUNCATED_VALUE_LENGTH: usize = 999_999;
/// Number of bytes that are sent of a truncated value.
const TRUNCATED_VALUE_SENT: usize = 100;

/// The encoded answer to a command, and what follows it.
struct EncodedAnswer {
    bytes: BytesMut,
    follow_up: FollowUp,
}

enum FollowUp {
    /// The next command is read.
    None,
    /// It is recorded that the answer was sent, and the next command is read.
    RecordSent(ReceivedRequest),
    /// The same answer is sent again.
    RepeatAnswer(ReceivedRequest),
    /// Nothing more is sent on the connection.
    NeverAnswer,
}

impl From<BytesMut> for EncodedAnswer {
    fn from(bytes: BytesMut) -> Self {
        EncodedAnswer { bytes, follow_up: FollowUp::None }
    }
}

/// The beginning of a large value.
fn truncated_value() -> BytesMut {
    encode(|out| {
        put_array(out, 3);
        out.put_slice(format!("${TRUNCATED_VALUE_LENGTH}\r\n").as_bytes());
        out.put_bytes(b'x', TRUNCATED_VALUE_SENT);
    })
}

/// The value that a server makes for one request. It contains the request's id, so that a client can tell the answer to
/// its own request from another's.
pub fn response_value(id: &str, key: &str, version: u64) -> String {
    format!("{id} {key} v{version}")
}

/// The value of a request, padded to the length that its client asks for.
fn padded_value(request: &ReceivedRequest, version: u64) -> String {
    let value = response_value(&request.id, &request.key, version);
    let padding = request.value_bytes.unwrap_or(0).saturating_sub(value.len());
    value + &".".repeat(padding)
}

/// The words of a command; `None` if it is not an array of bulk strings.
fn command_words(frame: Frame) -> Option<Vec<String>> {
    let Frame::Array(parts) = frame else { return None };
    let word = |part| match part {
        Frame::BulkString(text) => Some(String::from_utf8_lossy(&text).into_owned()),
        _ => None,
    };
    parts.into_iter().map(word).collect()
}

fn encode_answer(value: Option<&str>) -> BytesMut {
    encode(|out| {
        put_array(out, 3);
        match value {
            Some(value) => put_bulk(out, value.as_bytes()),
            None => out.put_slice(b"$-1\r\n"),
        }
        put_bulk(out, if value.is_some() { b"hit" } else { b"miss" });
        out.put_slice(b"$-1\r\n");
    })
}

fn encode_error(text: &str) -> BytesMut {
    encode(|out| put_error(out, format_args!("{text}")))
}

fn encode(put: impl FnOnce(&mut BytesMut)) -> BytesMut {
    let mut out = BytesMut::new();
    put(&mut out);
    out
}
