//! Clients that load a node and classify its answers.
//!
//! The load is an open loop: requests are sent at their due times whether or not earlier ones were answered, so that
//! queueing is not hidden by a generator that waits with it. A closed loop is offered to measure capacity.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use hdrhistogram::Histogram;
use lilacquay_codec::memcache::{Packet, Status, next_response};
use lilacquay_codec::resp::{Frame, next_frame, put_array, put_bulk};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout};
use tokio_util::task::AbortOnDropHandle;

use crate::cache::{CacheProtocol, response_value};
use crate::clock::{Clock, Micros};
use crate::memcache::{self, NO_ID};

/// Maximum length of an answer that a client reads, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// A client that abandons its request does so after a fraction of its timeout: a uniform number from 0 to 1, raised to
/// this power, so that most abandon early.
const ABANDON_TIME_EXPONENT: i32 = 3;
/// Time after a request's timeout for which its answer is still awaited, to tell a late answer from none. The rest of an
/// answer that has begun is awaited for as long after the time at which the node has to end it.
const LATE_ANSWER_WAIT: Duration = Duration::from_secs(1);
/// Time at the end of a load in which unsolicited answers may still arrive.
const UNSOLICITED_ANSWER_WAIT: Duration = Duration::from_millis(100);

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name in the settings.
    pub name: String,
    /// Its proportion of all requests, relative to the weights of the other classes.
    pub weight: f64,
    /// What its requests do.
    pub kind: RequestKind,
    /// How long a client waits for the answer.
    pub timeout: Duration,
}

/// What the requests of a class do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// A read.
    Read,
    /// A write with an idempotency key.
    Keyed,
    /// A write without an idempotency key.
    Unsafe,
}

/// Configuration of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// Address of the node.
    pub target: SocketAddr,
    /// Mean number of requests a second; they arrive as a Poisson process.
    pub rate: f64,
    /// How long requests are sent.
    pub duration: Duration,
    /// Seed of all random choices, and part of each request's id.
    pub seed: u64,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf distribution of the keys' popularity; 0 is uniform.
    pub skew: f64,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// Tenant that the requests name; sent over RESP2 only.
    pub tenant: Option<String>,
    /// Whether the report contains each request.
    pub keep_requests: bool,
    /// Fraction of the clients that close the connection before they are answered, most of them early in their
    /// timeout.
    pub abandon_fraction: f64,
    /// Protocol of the clients. Over memcached, each key is prefixed with its class.
    pub protocol: CacheProtocol,
}

impl Load {
    /// The standard mix of a fleet's classes, with 1000 keys, at 300 requests a second.
    pub fn standard(target: SocketAddr, duration: Duration, seed: u64) -> Self {
        let class = |name: &str, weight, kind, timeout_ms| {
            let (name, timeout) = (name.to_owned(), Duration::from_millis(timeout_ms));
            Class { name, weight, kind, timeout }
        };
        let classes = vec![
            class("lookup", 0.94, RequestKind::Read, 1000),
            class("signup", 0.05, RequestKind::Keyed, 2000),
            class("post", 0.01, RequestKind::Unsafe, 2000),
        ];
        Load {
            target,
            rate: 300.0,
            duration,
            seed,
            keys: 1000,
            skew: 0.9,
            classes,
            tenant: None,
            abandon_fraction: 0.0,
            keep_requests: false,
            protocol: CacheProtocol::Resp,
        }
    }
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered with the value made for it.
    Served,
    /// Answered with another value or unreadable data, or followed by an unsolicited answer.
    WrongValue,
    /// Answered with `-BUSY`.
    Refused,
    /// Answered with another error.
    Failed,
    /// The connection was closed without an answer.
    ConnectionClosed,
    /// The connection was closed in the middle of the answer.
    Truncated,
    /// Not answered until well after its timeout.
    TimedOut,
    /// The connection to the node could not be established.
    Unreached,
    /// Its client closed the connection before the answer.
    Abandoned,
}

/// A request as its client saw it. Times are on the fleet's clock.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Id of the request.
    pub id: String,
    /// Its class, as an index into [`Load::classes`].
    pub class: usize,
    /// Whether it is a read, a keyed or an unsafe write.
    pub kind: RequestKind,
    /// When it was last sent.
    pub sent: Micros,
    /// When it was sent again on a new connection, because the node had closed the reused one that it was first sent
    /// on. If a server received it before this time, the node had read it and lost it.
    pub resent: Option<Micros>,
    /// How long its client waits after `sent`.
    pub timeout: Micros,
    /// When its answer was read completely, or the request ended otherwise.
    pub ended: Micros,
    /// When its client abandoned it, if it did.
    pub abandoned: Option<Micros>,
    /// Upper bound on how much later than they happened its events were seen.
    pub scheduling_delay: Micros,
    /// Its outcome.
    pub outcome: Outcome,
}

/// Results of one class.
#[derive(Debug, Clone)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Latencies of the requests served, from their due time to the answer, in microseconds.
    pub served: Histogram<u64>,
    /// Number of requests refused as busy.
    pub refused: u64,
    /// Number of requests answered with another error.
    pub failed: u64,
    /// Number of requests without an answer, or with one that was late or another request's.
    pub broken: u64,
    /// Number of requests for which no connection to the node could be established.
    pub unreached: u64,
}

/// Results of a load.
#[derive(Debug, Clone)]
pub struct Report {
    /// By class, in the order of [`Load::classes`].
    pub classes: Vec<ClassReport>,
    /// Number of times that data arrived which answers no request.
    pub unsolicited_answers: u64,
    /// Longest time from a request's due time to its sending, in microseconds. More than some milliseconds means that
    /// the load generator itself was too slow.
    pub max_send_lag_us: Micros,
    /// All requests, if [`Load::keep_requests`] is set.
    pub requests: Vec<ClientRequest>,
}

impl Report {
    /// The latencies of the requests served, over all classes.
    pub fn served_latencies(&self) -> Histogram<u64> {
        let mut all = latency_histogram();
        self.classes.iter().for_each(|class| _ = all.add(&class.served));
        all
    }

    /// Number of requests that got no valid answer in time, plus unsolicited answers.
    pub fn broken(&self) -> u64 {
        self.unsolicited_answers + self.classes.iter().map(|class| class.broken).sum::<u64>()
    }
}

/// An empty histogram for latencies in microseconds, up to a minute.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// Live counters of a running load.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests started.
    pub started: AtomicU64,
    /// Requests served.
    pub served: AtomicU64,
    /// Requests refused or failed.
    pub rejected: AtomicU64,
    /// Requests without a valid answer in time.
    pub broken: AtomicU64,
}

/// State that the tasks of a load share.
struct Shared {
    load: Load,
    clock: Clock,
    idle_connections: Mutex<Vec<TcpStream>>,
    /// The cumulative distribution of the keys' popularity.
    key_distribution: Vec<f64>,
    unsolicited_answers: AtomicU64,
    max_send_lag_us: AtomicU64,
    next_request: AtomicUsize,
    progress: Arc<Progress>,
}

/// Runs a load to its end. Its times are on `clock`, that of the fleet whose records are checked together with it.
pub async fn run(load: Load, clock: Clock, progress: Arc<Progress>) -> Report {
    let clock = clock.for_other_runtime();
    let _delay_measurement = AbortOnDropHandle::new(tokio::spawn(clock.clone().measure_scheduling_delay()));
    let shared = Arc::new(Shared::new(load, clock, progress));
    let mut report = Report {
        classes: shared.load.classes.iter().map(|class| ClassReport::new(&class.name)).collect(),
        unsolicited_answers: 0,
        max_send_lag_us: 0,
        requests: Vec::new(),
    };
    let mut tasks = JoinSet::new();
    let mut rng = fastrand::Rng::with_seed(shared.load.seed);
    let start = Instant::now();
    let mut due = start;
    loop {
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / shared.load.rate.max(1e-3));
        if due > start + shared.load.duration {
            break;
        }
        sleep_until(due.into()).await;
        let (request_shared, class_choice, key_choice) = (shared.clone(), rng.f64(), rng.f64());
        let abandon_after =
            (rng.f64() < shared.load.abandon_fraction).then(|| rng.f64().powi(ABANDON_TIME_EXPONENT));
        tasks.spawn(async move {
            request_shared.send_request(due, class_choice, key_choice, abandon_after).await
        });
        while let Some(Ok((request, latency))) = tasks.try_join_next() {
            shared.add_result(request, latency, &mut report);
        }
    }
    while let Some(Ok((request, latency))) = tasks.join_next().await {
        shared.add_result(request, latency, &mut report);
    }
    sleep(UNSOLICITED_ANSWER_WAIT).await;
    let idle = std::mem::take(&mut *shared.idle());
    // A connection that the node has closed is readable too, but has no data.
    let unsolicited = idle.iter().filter(|stream| is_readable(stream) && !is_closed(stream)).count() as u64;
    report.unsolicited_answers = unsolicited + shared.unsolicited_answers.load(Ordering::Relaxed);
    report.max_send_lag_us = shared.max_send_lag_us.load(Ordering::Relaxed);
    report
}

/// Loads a node in a closed loop: each of `clients` sends its next request as soon as it has its answer. Returns the
/// latencies of the requests served. This measures a node's capacity; unlike an open loop, it hides queueing.
pub async fn run_closed_loop(load: Load, clients: usize) -> Histogram<u64> {
    let mut rng = fastrand::Rng::with_seed(load.seed);
    let end = Instant::now() + load.duration;
    let shared = Arc::new(Shared::new(load, Clock::default(), Arc::default()));
    let mut tasks = JoinSet::new();
    for _ in 0..clients {
        let (shared, mut rng) = (shared.clone(), rng.fork());
        tasks.spawn(async move {
            let mut served = latency_histogram();
            while Instant::now() < end {
                let due = Instant::now();
                let (request, latency) = shared.send_request(due, rng.f64(), rng.f64(), None).await;
                match request.outcome {
                    Outcome::Served => served.saturating_record(latency.as_micros() as u64),
                    Outcome::Unreached => break,
                    _ => {}
                }
            }
            served
        });
    }
    let mut all = latency_histogram();
    while let Some(Ok(served)) = tasks.join_next().await {
        // This can't fail: both histograms have the same bounds.
        let _ = all.add(&served);
    }
    all
}

impl ClassReport {
    fn new(name: &str) -> Self {
        let name = name.to_owned();
        ClassReport { name, served: latency_histogram(), refused: 0, failed: 0, broken: 0, unreached: 0 }
    }
}

impl ClientRequest {
    /// Whether its connection ended without an answer, including a request that was to be sent again and found the node
    /// unreachable.
    pub fn is_cut_off(&self) -> bool {
        let resend_failed = self.outcome == Outcome::Unreached && self.resent.is_some();
        resend_failed || matches!(self.outcome, Outcome::ConnectionClosed | Outcome::TimedOut)
    }

    /// Whether it ended more than `slack` microseconds after its timeout, with an allowance for the scheduling
    /// delay.
    pub fn is_late(&self, slack: Micros) -> bool {
        self.ended > self.sent + self.timeout + slack + self.scheduling_delay
    }
}

/// Longest time until the node ends an answer that has begun and whose server has fallen silent, in microseconds. A server
/// that falls silent does so within its client's timeout here, so that it counts from that.
pub const UNFINISHED_ANSWER_GRACE_US: Micros = 5_000_000;

/// Allowance beyond a time limit for the time spent in sockets, in microseconds.
pub const SOCKET_SLACK_US: Micros = 50_000;

impl Shared {
    fn new(load: Load, clock: Clock, progress: Arc<Progress>) -> Self {
        let (idle_connections, unsolicited_answers, max_send_lag_us, next_request) = Default::default();
        Shared {
            key_distribution: zipf(load.keys, load.skew),
            load,
            clock,
            idle_connections,
            unsolicited_answers,
            max_send_lag_us,
            next_request,
            progress,
        }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request that has ended to the report and the live counters.
    fn add_result(&self, request: ClientRequest, latency: Duration, report: &mut Report) {
        let class = &mut report.classes[request.class];
        let is_broken = match request.outcome {
            Outcome::ConnectionClosed | Outcome::TimedOut | Outcome::WrongValue => true,
            Outcome::Unreached | Outcome::Abandoned => false,
            Outcome::Served | Outcome::Refused | Outcome::Failed => request.is_late(SOCKET_SLACK_US),
            Outcome::Truncated => request.is_late(SOCKET_SLACK_US + UNFINISHED_ANSWER_GRACE_US),
        };
        class.broken += u64::from(is_broken);
        let counter = match request.outcome {
            Outcome::Served => {
                class.served.saturating_record(latency.as_micros() as u64);
                Some(&self.progress.served)
            }
            Outcome::Refused => {
                class.refused += 1;
                Some(&self.progress.rejected)
            }
            Outcome::Failed => {
                class.failed += 1;
                Some(&self.progress.rejected)
            }
            Outcome::Unreached => {
                class.unreached += 1;
                None
            }
            Outcome::WrongValue
            | Outcome::ConnectionClosed
            | Outcome::Truncated
            | Outcome::TimedOut
            | Outcome::Abandoned => None,
        };
        counter.into_iter().for_each(|counter| _ = counter.fetch_add(1, Ordering::Relaxed));
        self.progress.broken.fetch_add(u64::from(is_broken), Ordering::Relaxed);
        if self.load.keep_requests {
            report.requests.push(request);
        }
    }

    /// Sends one request, for a class and a key chosen by two numbers from 0 to 1, and waits for its end. With
    /// `abandon_after`, its client closes the connection after that fraction of its timeout. Returns the request and
    /// its latency since it was due.
    async fn send_request(
        &self,
        due: Instant,
        class_choice: f64,
        key_choice: f64,
        abandon_after: Option<f64>,
    ) -> (ClientRequest, Duration) {
        let number = self.next_request.fetch_add(1, Ordering::Relaxed);
        self.progress.started.fetch_add(1, Ordering::Relaxed);
        let class = self.choose_class(class_choice);
        let Class { name, kind, timeout: request_timeout, .. } = &self.load.classes[class];
        let key_rank = self.key_distribution.partition_point(|&cumulated| cumulated < key_choice);
        let key = format!("{:016x}", key_rank.min(self.key_distribution.len() - 1));
        let id = format!("{:08x}{number:08x}", self.load.seed as u32);
        let idempotency_key = if *kind == RequestKind::Keyed { format!(",k={id}") } else { String::new() };
        let tenant = self.load.tenant.as_ref().map_or(String::new(), |tenant| format!(",t={tenant}"));
        let facts = format!("c={name}{tenant},d={}{idempotency_key}", request_timeout.as_millis());
        let is_write = *kind != RequestKind::Read;
        let (command, key) = match self.load.protocol {
            CacheProtocol::Resp => (encode_command(&key, &id, &facts, is_write), key),
            CacheProtocol::Memcached => {
                let cas = if *kind == RequestKind::Keyed {
                    u64::from_str_radix(&id, 16).unwrap_or(0) + 1
                } else {
                    0
                };
                let command = memcache::encode_command(name, &key, number as u32, is_write, cas);
                (command, memcache::key_with_class(name, &key))
            }
        };
        let expected = ExpectedAnswer {
            protocol: self.load.protocol,
            id: id.clone(),
            key,
            opaque: number as u32,
            is_write,
        };
        let (first_sent, mut closed_reused) = (Instant::now(), None);
        let (mut sent, mut outcome) = (first_sent, Outcome::Unreached);
        let abandon_timeout = abandon_after.map(|fraction| request_timeout.mul_f64(fraction));
        if let Some(stream) = self.take_idle_connection() {
            outcome = self.send_on(stream, &command, &expected, *request_timeout, abandon_timeout).await;
            // A node may close an idle connection: then the request is sent again, once, on a new one.
            closed_reused = (outcome == Outcome::ConnectionClosed).then_some(first_sent);
        }
        if outcome == Outcome::Unreached || closed_reused.is_some() {
            sent = Instant::now();
            outcome = match self.connect().await {
                Ok(stream) => {
                    self.send_on(stream, &command, &expected, *request_timeout, abandon_timeout).await
                }
                Err(_) => Outcome::Unreached,
            };
        }
        self.max_send_lag_us.fetch_max((first_sent - due).as_micros() as Micros, Ordering::Relaxed);
        let (ended, timeout) = (self.clock.now(), request_timeout.as_micros() as Micros);
        let resent = closed_reused.map(|_| self.clock.at(sent));
        let (sent, scheduling_delay) = (self.clock.at(sent), self.clock.scheduling_delay());
        let abandoned = (outcome == Outcome::Abandoned).then_some(ended);
        let kind = *kind;
        let request = ClientRequest {
            id,
            class,
            kind,
            sent,
            resent,
            timeout,
            ended,
            abandoned,
            scheduling_delay,
            outcome,
        };
        (request, due.elapsed())
    }

    /// Sends a command on a connection, which is kept for reuse if the command is answered.
    async fn send_on(
        &self,
        mut stream: TcpStream,
        command: &[u8],
        expected: &ExpectedAnswer,
        request_timeout: Duration,
        abandon_timeout: Option<Duration>,
    ) -> Outcome {
        let limit = abandon_timeout.unwrap_or(request_timeout + LATE_ANSWER_WAIT);
        let mut buffer = BytesMut::new();
        let mut exchanged = timeout(limit, exchange(&mut stream, command, expected, &mut buffer)).await;
        if exchanged.is_err() && abandon_timeout.is_none() && !buffer.is_empty() {
            let rest = Duration::from_micros(UNFINISHED_ANSWER_GRACE_US);
            exchanged = timeout(rest, read_answer(&mut stream, expected, &mut buffer)).await;
        }
        match exchanged {
            Err(_) if abandon_timeout.is_some() => Outcome::Abandoned,
            Ok(ExchangeResult::Answer(outcome)) => {
                self.idle().push(stream);
                outcome
            }
            Ok(ExchangeResult::UnexpectedData) => {
                self.unsolicited_answers.fetch_add(1, Ordering::Relaxed);
                Outcome::WrongValue
            }
            Ok(ExchangeResult::Closed) => Outcome::ConnectionClosed,
            Ok(ExchangeResult::Truncated) => Outcome::Truncated,
            Err(_) => Outcome::TimedOut,
        }
    }

    /// The index of the class that a number from 0 to 1 selects by the classes' weights.
    fn choose_class(&self, choice: f64) -> usize {
        let total_weight: f64 = self.load.classes.iter().map(|class| class.weight).sum();
        let mut remaining = choice * total_weight;
        let chosen = self.load.classes.iter().position(|class| {
            remaining -= class.weight;
            remaining < 0.0
        });
        chosen.unwrap_or(0)
    }

    /// Takes an idle connection that the node has left open. Idle connections with unsolicited data are counted and
    /// dropped.
    fn take_idle_connection(&self) -> Option<TcpStream> {
        loop {
            let stream = self.idle().pop()?;
            if !is_readable(&stream) {
                return Some(stream);
            }
            if !is_closed(&stream) {
                self.unsolicited_answers.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.load.target).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Whether a read would return at once: with data, the end of the stream or an error.
fn is_readable(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

/// Whether a readable connection has no data, so that it has been closed.
fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    !matches!(socket2::SockRef::from(stream).peek(&mut byte), Ok(1))
}

/// The result of sending a command and reading its answer.
enum ExchangeResult {
    Answer(Outcome),
    /// An answer with more data after it, or one that can't be parsed.
    UnexpectedData,
    /// The connection was closed before any answer.
    Closed,
    /// The connection was closed in the middle of the answer.
    Truncated,
}

/// Writes a command and reads its answer.
async fn exchange(
    stream: &mut TcpStream,
    command: &[u8],
    expected: &ExpectedAnswer,
    buffer: &mut BytesMut,
) -> ExchangeResult {
    if stream.write_all(command).await.is_err() {
        return ExchangeResult::Closed;
    }
    read_answer(stream, expected, buffer).await
}

/// Reads an answer. Cancel safe: what has come of it is in the buffer.
async fn read_answer(
    stream: &mut TcpStream,
    expected: &ExpectedAnswer,
    buffer: &mut BytesMut,
) -> ExchangeResult {
    loop {
        match expected.parse(buffer) {
            Some(Ok(outcome)) if buffer.is_empty() => return ExchangeResult::Answer(outcome),
            Some(_) => return ExchangeResult::UnexpectedData,
            None => {}
        }
        match stream.read_buf(buffer).await {
            Ok(0) | Err(_) if buffer.is_empty() => return ExchangeResult::Closed,
            Ok(0) | Err(_) => return ExchangeResult::Truncated,
            Ok(_) => {}
        }
    }
}

/// The request that an answer must belong to.
struct ExpectedAnswer {
    protocol: CacheProtocol,
    id: String,
    key: String,
    /// The request's opaque; used over memcached only.
    opaque: u32,
    is_write: bool,
}

impl ExpectedAnswer {
    /// The outcome that the first answer in the buffer means, once it is complete; an error if it can't be parsed.
    fn parse(&self, buffer: &mut BytesMut) -> Option<Result<Outcome, ()>> {
        match self.protocol {
            CacheProtocol::Resp => match next_frame(buffer, MAX_ANSWER_BYTES) {
                Ok(frame) => Some(Ok(classify(&frame?, &self.id, &self.key))),
                Err(_) => Some(Err(())),
            },
            CacheProtocol::Memcached => match next_response(buffer, MAX_ANSWER_BYTES) {
                Ok(packet) => Some(Ok(self.classify_packet(&packet?))),
                Err(_) => Some(Err(())),
            },
        }
    }

    /// The outcome that a memcached answer means. Over memcached the node makes up the request ids itself, so a value
    /// for this key is accepted with any id; the opaque ties it to the request.
    fn classify_packet(&self, packet: &Packet) -> Outcome {
        let for_key = response_value("", &self.key, 0);
        let for_key = for_key.trim_end_matches('0').as_bytes();
        match Status(packet.status) {
            _ if packet.opaque != self.opaque => Outcome::WrongValue,
            Status::OK if self.is_write && packet.value.is_empty() => Outcome::Served,
            Status::OK if packet.value.windows(for_key.len()).any(|part| part == for_key) => Outcome::Served,
            Status::OK => Outcome::WrongValue,
            Status::BUSY => Outcome::Refused,
            _ => Outcome::Failed,
        }
    }
}

/// Whether a text is a value, or the confirmation of a write, made for this id and key.
pub(crate) fn is_value_for(text: &[u8], id: &str, key: &str) -> bool {
    text.starts_with(response_value(id, key, 0).trim_end_matches('0').as_bytes())
}

/// The outcome that a RESP2 answer to a request with this id and key means.
fn classify(frame: &Frame, id: &str, key: &str) -> Outcome {
    match frame {
        // A value or the confirmation of a write contains the request's id, or the placeholder from a memcached box,
        // which gets no id.
        Frame::BulkString(text) if is_value_for(text, id, key) || is_value_for(text, NO_ID, key) => {
            Outcome::Served
        }
        Frame::BulkString(_) => Outcome::WrongValue,
        // The answer of a cache itself: the value, hit or miss, and a load report.
        Frame::Array(parts) if matches!(parts.first(), Some(Frame::BulkString(_))) => {
            classify(&parts[0], id, key)
        }
        Frame::Error(text) if text.starts_with("BUSY") => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Encodes a RESP2 read, or a write of a fixed value.
pub(crate) fn encode_command(key: &str, id: &str, facts: &str, is_write: bool) -> BytesMut {
    encode_command_with_value(key, id, facts, is_write.then_some(b"tuesday"))
}

/// Encodes a RESP2 write of a value, or a read if there is none.
pub(crate) fn encode_command_with_value(key: &str, id: &str, facts: &str, value: Option<&[u8]>) -> BytesMut {
    let mut command = BytesMut::new();
    put_array(&mut command, if value.is_some() { 5 } else { 4 });
    for word in [if value.is_some() { "CACHE.SET" } else { "CACHE.GET" }, key, id, facts] {
        put_bulk(&mut command, word.as_bytes());
    }
    if let Some(value) = value {
        put_bulk(&mut command, value);
    }
    command
}

/// The cumulative distribution of keys whose popularity is their rank to the power of `-skew`.
fn zipf(keys: usize, skew: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let cumulated = (1..=keys.max(1)).map(|rank| {
        sum += (rank as f64).powf(-skew);
        sum
    });
    let cumulated: Vec<f64> = cumulated.collect();
    cumulated.iter().map(|weight| weight / sum).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn key_popularity_falls_with_a_power_of_the_rank() {
        let uniform = zipf(4, 0.0);
        assert_eq!(uniform, [0.25, 0.5, 0.75, 1.0]);
        let skewed = zipf(3, 1.0);
        let first = 1.0 / (1.0 + 0.5 + 1.0 / 3.0);
        assert!((skewed[0] - first).abs() < 1e-9 && skewed[2] == 1.0);
    }

    #[test]
    fn only_a_value_made_for_the_request_serves_it() {
        let bulk = |text: &str| Frame::BulkString(text.to_owned().into());
        assert_eq!(classify(&bulk(&response_value("i1", "k", 7)), "i1", "k"), Outcome::Served);
        assert_eq!(classify(&bulk(&response_value("i2", "k", 7)), "i1", "k"), Outcome::WrongValue);
        assert_eq!(classify(&Frame::Error("BUSY 5".into()), "i1", "k"), Outcome::Refused);
        assert_eq!(classify(&Frame::Error("ERR failed".into()), "i1", "k"), Outcome::Failed);
    }
}
