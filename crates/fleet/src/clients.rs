//! Clients: an open loop, so that what waits is not hidden by a generator that waits with it.

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

use crate::cache::{CacheProtocol, value};
use crate::clock::{Clock, Micros};
use crate::memcache::{self, NO_ID};

/// The longest answer that a client reads.
const LONGEST: usize = 1 << 20;
/// Most of those who leave do so early: a share of their time between 0 and 1, raised to this power.
const LEAVE_EARLY: i32 = 3;
/// How long after a request's time is up its answer is still waited for, to be called late.
const AFTERWARDS: Duration = Duration::from_secs(1);
/// Answers that come unasked are waited for so long at the end.
const LAST_LOOK: Duration = Duration::from_millis(100);

/// A class of requests.
#[derive(Debug, Clone)]
pub struct Class {
    /// Its name in the settings.
    pub name: String,
    /// Its part of all requests, in comparison with the other classes.
    pub weight: f64,
    /// What it does.
    pub kind: Kind,
    /// How long a client waits.
    pub timeout: Duration,
}

/// What the requests of a class do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Read.
    Read,
    /// Write, with an idempotency key.
    Keyed,
    /// Write, without one.
    Unsafe,
}

/// A load.
#[derive(Debug, Clone)]
pub struct Load {
    /// The node.
    pub target: SocketAddr,
    /// Requests a second, on average; they come at random.
    pub rate: f64,
    /// For so long.
    pub duration: Duration,
    /// For all random choices, and part of each request's id.
    pub seed: u64,
    /// How many keys there are.
    pub keys: usize,
    /// How unevenly they are asked for: the exponent of a Zipf distribution, 0 for all alike.
    pub skew: f64,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenant whose clients they are, over RESP2.
    pub tenant: Option<String>,
    /// Whether each request is kept in the report.
    pub keep_requests: bool,
    /// The part of clients that leave before they are answered, most of them early in their time.
    pub abandon_fraction: f64,
    /// What the clients speak. Over memcached, each key has its class before it.
    pub protocol: CacheProtocol,
}

impl Load {
    /// The usual mix of a fleet's classes, of 1000 keys, at 300 requests a second.
    pub fn standard(target: SocketAddr, duration: Duration, seed: u64) -> Self {
        let class = |name: &str, weight, kind, timeout_ms| {
            let (name, timeout) = (name.to_owned(), Duration::from_millis(timeout_ms));
            Class { name, weight, kind, timeout }
        };
        let classes = vec![
            class("lookup", 0.94, Kind::Read, 1000),
            class("signup", 0.05, Kind::Keyed, 2000),
            class("post", 0.01, Kind::Unsafe, 2000),
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

/// How a request ended at its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// With the value made for it.
    Served,
    /// With another value.
    WrongValue,
    /// With `-BUSY`.
    Refused,
    /// With another error.
    Failed,
    /// With a close and no answer.
    ConnectionClosed,
    /// With the beginning of an answer, whose end its client sees.
    Truncated,
    /// With nothing, long after its time.
    TimedOut,
    /// The node could not be reached.
    Unreached,
    /// Its client closed before the answer.
    Abandoned,
}

/// A request as its client saw it.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    /// Its id.
    pub id: String,
    /// Its class: a place in [`Load::classes`].
    pub class: usize,
    /// What it does.
    pub kind: Kind,
    /// When it was written, for the last time.
    pub sent: Micros,
    /// When it was written again on a new connection, since the node had closed the one it was first written on. If
    /// a server saw it before, the node had read it, and has lost it.
    pub resent: Option<Micros>,
    /// How long its client waits from then.
    pub timeout: Micros,
    /// When its answer was read whole.
    pub ended: Micros,
    /// When its client left, if it did before the answer.
    pub abandoned: Option<Micros>,
    /// How late that may have been seen.
    pub scheduling_delay: Micros,
    /// How it ended.
    pub outcome: Outcome,
}

/// What came of one class.
#[derive(Debug, Clone)]
pub struct ClassReport {
    /// Its name.
    pub name: String,
    /// From when a request was due to its answer, of those served, in microseconds.
    pub served: Histogram<u64>,
    /// How many ended so.
    pub refused: u64,
    /// How many ended so.
    pub failed: u64,
    /// Without an answer, or with one that was late or not its own.
    pub broken: u64,
    /// The node could not be reached.
    pub unreached: u64,
}

/// What came of a load.
#[derive(Debug, Clone)]
pub struct Report {
    /// By class, in the order of the load's.
    pub classes: Vec<ClassReport>,
    /// Answers, or parts, that nobody had asked for.
    pub unsolicited_answers: u64,
    /// The most that a request was sent later than it was due, in microseconds: over some milliseconds, the load
    /// itself was too slow.
    pub max_send_lag_us: Micros,
    /// All requests, if they are kept.
    pub requests: Vec<ClientRequest>,
}

impl Report {
    /// The times of all classes together.
    pub fn served_latencies(&self) -> Histogram<u64> {
        let mut all = latency_histogram();
        self.classes.iter().for_each(|class| _ = all.add(&class.served));
        all
    }

    /// How many requests got no good answer in time, or more than one.
    pub fn broken(&self) -> u64 {
        self.unsolicited_answers + self.classes.iter().map(|class| class.broken).sum::<u64>()
    }
}

/// A histogram for times in microseconds, up to a minute.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order")
}

/// How far a load is.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests begun.
    pub asked: AtomicU64,
    /// Served.
    pub served: AtomicU64,
    /// Refused or failed.
    pub turned_away: AtomicU64,
    /// Broken rules.
    pub broken: AtomicU64,
}

struct Shared {
    load: Load,
    clock: Clock,
    idle: Mutex<Vec<TcpStream>>,
    /// The cumulated shares of the keys.
    keys: Vec<f64>,
    doubled: AtomicU64,
    lag: AtomicU64,
    next: AtomicUsize,
    progress: Arc<Progress>,
}

/// Runs a load to its end, on the clock of the fleet that is to be compared with it.
pub async fn run(load: Load, clock: Clock, progress: Arc<Progress>) -> Report {
    let clock = clock.elsewhere();
    let _metronome = AbortOnDropHandle::new(tokio::spawn(clock.clone().metronome()));
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
        let (shared_, choice, pick) = (shared.clone(), rng.f64(), rng.f64());
        let leaves = (rng.f64() < shared.load.abandon_fraction).then(|| rng.f64().powi(LEAVE_EARLY));
        tasks.spawn(async move { shared_.ask(due, choice, pick, leaves).await });
        while let Some(Ok((ask, took))) = tasks.try_join_next() {
            shared.note(ask, took, &mut report);
        }
    }
    while let Some(Ok((ask, took))) = tasks.join_next().await {
        shared.note(ask, took, &mut report);
    }
    sleep(LAST_LOOK).await;
    let idle = std::mem::take(&mut *shared.idle());
    // One that the node has closed meanwhile has said nothing.
    let unasked = idle.iter().filter(|stream| has_more(stream) && !has_ended(stream)).count() as u64;
    report.unsolicited_answers = unasked + shared.doubled.load(Ordering::Relaxed);
    report.max_send_lag_us = shared.lag.load(Ordering::Relaxed);
    report
}

/// Loads a node with so many clients that each ask again as soon as they have their answer; tells the times of
/// those served. For what a node can carry: what waits is hidden here, unlike in an open loop.
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
                let (ask, took) = shared.ask(due, rng.f64(), rng.f64(), None).await;
                match ask.outcome {
                    Outcome::Served => served.saturating_record(took.as_micros() as u64),
                    Outcome::Unreached => break,
                    _ => {}
                }
            }
            served
        });
    }
    let mut all = latency_histogram();
    while let Some(Ok(served)) = tasks.join_next().await {
        // Of the same bounds: it fits.
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
    /// Whether its connection ended with no answer: also if it was to be sent again and the node was not there.
    pub fn is_cut_off(&self) -> bool {
        let again_in_vain = self.outcome == Outcome::Unreached && self.resent.is_some();
        again_in_vain || matches!(self.outcome, Outcome::ConnectionClosed | Outcome::TimedOut)
    }

    /// Whether it got its answer so long after its time was up, beyond what may have been seen late.
    pub fn is_late(&self, slack: Micros) -> bool {
        self.ended > self.sent + self.timeout + slack + self.scheduling_delay
    }
}

/// A value that its server does not finish is ended so long after the client's time at the latest, in microseconds.
pub const BROKEN_END: Micros = 500_000;

/// What sockets allow beyond a time limit.
pub const SLACK: Micros = 50_000;

impl Shared {
    fn new(load: Load, clock: Clock, progress: Arc<Progress>) -> Self {
        let (idle, doubled, lag, next) = Default::default();
        Shared { keys: zipf(load.keys, load.skew), load, clock, idle, doubled, lag, next, progress }
    }

    fn idle(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, ask: ClientRequest, took: Duration, report: &mut Report) {
        let class = &mut report.classes[ask.class];
        let broken = match ask.outcome {
            Outcome::ConnectionClosed | Outcome::TimedOut | Outcome::WrongValue => true,
            Outcome::Unreached | Outcome::Abandoned => false,
            Outcome::Served | Outcome::Refused | Outcome::Failed => ask.is_late(SLACK),
            Outcome::Truncated => ask.is_late(SLACK + BROKEN_END),
        };
        class.broken += u64::from(broken);
        let count = match ask.outcome {
            Outcome::Served => {
                class.served.saturating_record(took.as_micros() as u64);
                Some(&self.progress.served)
            }
            Outcome::Refused => {
                class.refused += 1;
                Some(&self.progress.turned_away)
            }
            Outcome::Failed => {
                class.failed += 1;
                Some(&self.progress.turned_away)
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
        count.into_iter().for_each(|count| _ = count.fetch_add(1, Ordering::Relaxed));
        self.progress.broken.fetch_add(u64::from(broken), Ordering::Relaxed);
        if self.load.keep_requests {
            report.requests.push(ask);
        }
    }

    /// Asks once, for a class and a key chosen by two numbers from 0 to 1. A client that leaves does so after a part of its
    /// time.
    async fn ask(
        &self,
        due: Instant,
        choice: f64,
        pick: f64,
        leaves: Option<f64>,
    ) -> (ClientRequest, Duration) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        self.progress.asked.fetch_add(1, Ordering::Relaxed);
        let class = self.class(choice);
        let Class { name, kind, timeout: wait, .. } = &self.load.classes[class];
        let key =
            format!("{:016x}", self.keys.partition_point(|&share| share < pick).min(self.keys.len() - 1));
        let id = format!("{:08x}{number:08x}", self.load.seed as u32);
        let idempotency = if *kind == Kind::Keyed { format!(",k={id}") } else { String::new() };
        let tenant = self.load.tenant.as_ref().map_or(String::new(), |tenant| format!(",t={tenant}"));
        let facts = format!("c={name}{tenant},d={}{idempotency}", wait.as_millis());
        let write = *kind != Kind::Read;
        let (text, key) = match self.load.protocol {
            CacheProtocol::Resp => (command(&key, &id, &facts, write), key),
            CacheProtocol::Memcached => {
                let mark =
                    if *kind == Kind::Keyed { u64::from_str_radix(&id, 16).unwrap_or(0) + 1 } else { 0 };
                (memcache::command(name, &key, number as u32, write, mark), memcache::prefixed(name, &key))
            }
        };
        let asked =
            Expected { speaks: self.load.protocol, id: id.clone(), key, number: number as u32, write };
        let (first, mut reused) = (Instant::now(), None);
        let (mut sent, mut end) = (first, Outcome::Unreached);
        let stays = leaves.map(|part| wait.mul_f64(part));
        if let Some(stream) = self.reuse() {
            end = self.ask_on(stream, &text, &asked, *wait, stays).await;
            // A connection that the node closed between requests is no loss: once more on a new one.
            reused = (end == Outcome::ConnectionClosed).then_some(first);
        }
        if end == Outcome::Unreached || reused.is_some() {
            sent = Instant::now();
            end = match self.connect().await {
                Ok(stream) => self.ask_on(stream, &text, &asked, *wait, stays).await,
                Err(_) => Outcome::Unreached,
            };
        }
        self.lag.fetch_max((first - due).as_micros() as Micros, Ordering::Relaxed);
        let (ended, wait) = (self.clock.now(), wait.as_micros() as Micros);
        let resent = reused.map(|_| self.clock.at(sent));
        let (sent, late) = (self.clock.at(sent), self.clock.late());
        let left = (end == Outcome::Abandoned).then_some(ended);
        (
            ClientRequest {
                id,
                class,
                kind: *kind,
                sent,
                resent,
                timeout: wait,
                ended,
                abandoned: left,
                scheduling_delay: late,
                outcome: end,
            },
            due.elapsed(),
        )
    }

    async fn ask_on(
        &self,
        mut stream: TcpStream,
        text: &[u8],
        asked: &Expected,
        wait: Duration,
        stays: Option<Duration>,
    ) -> Outcome {
        let limit = stays.unwrap_or(wait + AFTERWARDS);
        match timeout(limit, exchange(&mut stream, text, asked)).await {
            Err(_) if stays.is_some() => Outcome::Abandoned,
            Ok(Exchanged::Answer(end)) => {
                self.idle().push(stream);
                end
            }
            Ok(Exchanged::More) => {
                self.doubled.fetch_add(1, Ordering::Relaxed);
                Outcome::WrongValue
            }
            Ok(Exchanged::Closed) => Outcome::ConnectionClosed,
            Ok(Exchanged::Broken) => Outcome::Truncated,
            Err(_) => Outcome::TimedOut,
        }
    }

    fn class(&self, choice: f64) -> usize {
        let all: f64 = self.load.classes.iter().map(|class| class.weight).sum();
        let mut left = choice * all;
        let chosen = self.load.classes.iter().position(|class| {
            left -= class.weight;
            left < 0.0
        });
        chosen.unwrap_or(0)
    }

    /// An idle connection that the node has left open.
    fn reuse(&self) -> Option<TcpStream> {
        loop {
            let stream = self.idle().pop()?;
            if !has_more(&stream) {
                return Some(stream);
            }
            if !has_ended(&stream) {
                self.doubled.fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.load.target).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

/// Whether something waits to be read: bytes, or the end.
fn has_more(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    let peeked = socket2::SockRef::from(stream).peek(&mut byte);
    !matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

fn has_ended(stream: &TcpStream) -> bool {
    let mut byte = [std::mem::MaybeUninit::uninit()];
    !matches!(socket2::SockRef::from(stream).peek(&mut byte), Ok(1))
}

/// What a command was met with.
enum Exchanged {
    Answer(Outcome),
    /// An answer with something behind it, or what can't be read.
    More,
    /// A close before any answer.
    Closed,
    /// A close behind the beginning of an answer.
    Broken,
}

/// Writes a command and reads its answer.
async fn exchange(stream: &mut TcpStream, text: &[u8], asked: &Expected) -> Exchanged {
    if stream.write_all(text).await.is_err() {
        return Exchanged::Closed;
    }
    let mut buffer = BytesMut::new();
    loop {
        match asked.next(&mut buffer) {
            Some(Ok(end)) if buffer.is_empty() => return Exchanged::Answer(end),
            Some(_) => return Exchanged::More,
            None => {}
        }
        match stream.read_buf(&mut buffer).await {
            Ok(0) | Err(_) if buffer.is_empty() => return Exchanged::Closed,
            Ok(0) | Err(_) => return Exchanged::Broken,
            Ok(_) => {}
        }
    }
}

/// What a client waits for.
struct Expected {
    speaks: CacheProtocol,
    id: String,
    key: String,
    /// The opaque over memcached.
    number: u32,
    write: bool,
}

impl Expected {
    /// What the first answer in the buffer means, once it is whole; an error if it can't be read.
    fn next(&self, buffer: &mut BytesMut) -> Option<Result<Outcome, ()>> {
        match self.speaks {
            CacheProtocol::Resp => match next_frame(buffer, LONGEST) {
                Ok(frame) => Some(Ok(judge(&frame?, &self.id, &self.key))),
                Err(_) => Some(Err(())),
            },
            CacheProtocol::Memcached => match next_response(buffer, LONGEST) {
                Ok(packet) => Some(Ok(self.judge(&packet?))),
                Err(_) => Some(Err(())),
            },
        }
    }

    /// The node's ids are its own here: a value made for this key serves, to which the opaque ties it.
    fn judge(&self, packet: &Packet) -> Outcome {
        let about = value("", &self.key, 0);
        let about = about.trim_end_matches('0').as_bytes();
        match Status(packet.status) {
            _ if packet.opaque != self.number => Outcome::WrongValue,
            Status::OK if self.write && packet.value.is_empty() => Outcome::Served,
            Status::OK if packet.value.windows(about.len()).any(|part| part == about) => Outcome::Served,
            Status::OK => Outcome::WrongValue,
            Status::BUSY => Outcome::Refused,
            _ => Outcome::Failed,
        }
    }
}

/// Whether a text is a value, or a receipt, of this id and key.
pub(crate) fn is_value_for(text: &[u8], id: &str, key: &str) -> bool {
    text.starts_with(value(id, key, 0).trim_end_matches('0').as_bytes())
}

fn judge(frame: &Frame, id: &str, key: &str) -> Outcome {
    match frame {
        // A value, or a write's receipt: either names the request, but for what a box says that was told no id.
        Frame::BulkString(text) if is_value_for(text, id, key) || is_value_for(text, NO_ID, key) => {
            Outcome::Served
        }
        Frame::BulkString(_) => Outcome::WrongValue,
        // A cache's own answer: the value, how it went, and a load report.
        Frame::Array(parts) if matches!(parts.first(), Some(Frame::BulkString(_))) => {
            judge(&parts[0], id, key)
        }
        Frame::Error(text) if text.starts_with("BUSY") => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

pub(crate) fn command(key: &str, id: &str, facts: &str, write: bool) -> BytesMut {
    encode_command_with_value(key, id, facts, write.then_some(b"tuesday"))
}

/// A write of a value, or a read if there is none.
pub(crate) fn encode_command_with_value(key: &str, id: &str, facts: &str, value: Option<&[u8]>) -> BytesMut {
    let mut text = BytesMut::new();
    put_array(&mut text, if value.is_some() { 5 } else { 4 });
    for part in [if value.is_some() { "CACHE.SET" } else { "CACHE.GET" }, key, id, facts] {
        put_bulk(&mut text, part.as_bytes());
    }
    if let Some(value) = value {
        put_bulk(&mut text, value);
    }
    text
}

/// The cumulated shares of keys whose popularity falls with a power of their rank.
fn zipf(keys: usize, skew: f64) -> Vec<f64> {
    let mut sum = 0.0;
    let weights = (1..=keys.max(1)).map(|rank| {
        sum += (rank as f64).powf(-skew);
        sum
    });
    let weights: Vec<f64> = weights.collect();
    weights.iter().map(|weight| weight / sum).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_are_asked_for_by_a_power_of_their_rank() {
        let even = zipf(4, 0.0);
        assert_eq!(even, [0.25, 0.5, 0.75, 1.0]);
        let skewed = zipf(3, 1.0);
        let first = 1.0 / (1.0 + 0.5 + 1.0 / 3.0);
        assert!((skewed[0] - first).abs() < 1e-9 && skewed[2] == 1.0);
    }

    #[test]
    fn only_a_value_made_for_the_request_serves_it() {
        let bulk = |text: &str| Frame::BulkString(text.to_owned().into());
        assert_eq!(judge(&bulk(&value("i1", "k", 7)), "i1", "k"), Outcome::Served);
        assert_eq!(judge(&bulk(&value("i2", "k", 7)), "i1", "k"), Outcome::WrongValue);
        assert_eq!(judge(&Frame::Error("BUSY 5".into()), "i1", "k"), Outcome::Refused);
        assert_eq!(judge(&Frame::Error("ERR failed".into()), "i1", "k"), Outcome::Failed);
    }
}
