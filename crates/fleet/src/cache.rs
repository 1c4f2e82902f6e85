//! A cache box: RESP2, as PROTOCOL words it, or memcached's binary protocol.

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
use crate::origin::Missed;
use crate::record::{Asked, Event, Log};
use crate::slow_accept::FullListener;
use crate::store::{ColdStart, Store, Warmth};

/// The longest command that a box reads.
const LONGEST: usize = 128 << 10;

/// What a box is.
#[derive(Debug, Clone)]
pub struct BoxConfig {
    /// What it speaks.
    pub protocol: CacheProtocol,
    /// Requests that it works on at once.
    pub cores: usize,
    /// Requests that wait for a core; those beyond are turned away.
    pub queue_capacity: usize,
    /// The work of a read that finds its key, in the time of one core.
    pub hit_work: Duration,
    /// The work of one that does not.
    pub miss_work: Duration,
    /// Bytes that it keeps.
    pub memory_bytes: usize,
    /// What it can take while it is cold.
    pub cold_start: ColdStart,
}

/// What a box speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheProtocol {
    /// RESP2, as PROTOCOL words it.
    Resp,
    /// memcached's binary protocol.
    Memcached,
}

/// How a request ended at a box, in words of no protocol.
pub(crate) enum Done {
    Busy,
    Miss,
    Value(u64),
    Failed,
    Spoilt,
    /// The beginning of a large value, and nothing behind it.
    Halted,
}

/// A running box.
pub struct CacheBox {
    pub(crate) inner: Arc<Inner>,
    /// Where it listens.
    pub addr: SocketAddr,
}

pub(crate) struct Inner {
    name: Arc<str>,
    plan: BoxConfig,
    log: Log,
    missed: Missed,
    faults: watch::Sender<Faults>,
    store: Mutex<Store>,
    warmth: Mutex<Warmth>,
    rng: Mutex<fastrand::Rng>,
    cores: Semaphore,
    waiting: AtomicUsize,
    /// Set once it is gone, or has fallen over.
    ended: CancellationToken,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Why a connection of a box ends.
enum End {
    Closed,
    Reset,
}

impl From<io::Error> for End {
    fn from(_: io::Error) -> Self {
        End::Closed
    }
}

impl CacheBox {
    /// Starts a box; `cold` makes it one that has started just now. It ends when it is dropped.
    pub(crate) async fn start(
        name: &str,
        at: SocketAddr,
        plan: BoxConfig,
        cold: bool,
        seed: u64,
        log: Log,
        missed: Missed,
    ) -> io::Result<CacheBox> {
        let listener = TcpListener::bind(at).await?;
        let addr = listener.local_addr()?;
        let started = cold.then(|| log.clock().now());
        let inner = Arc::new(Inner {
            name: name.into(),
            store: Mutex::new(Store::new(plan.memory_bytes)),
            warmth: Mutex::new(Warmth::new(plan.cold_start.clone(), plan.cores, started)),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            cores: Semaphore::new(plan.cores),
            waiting: AtomicUsize::new(0),
            faults: watch::Sender::new(Faults::default()),
            ended: CancellationToken::new(),
            plan,
            log,
            missed,
        });
        tokio::spawn(inner.clone().accept(listener, addr));
        Ok(CacheBox { inner, addr })
    }

    pub(crate) fn speaks(&self) -> CacheProtocol {
        self.inner.plan.protocol
    }

    /// Its faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.faults.send_replace(faults);
    }
}

impl Drop for CacheBox {
    fn drop(&mut self) {
        self.inner.ended.cancel();
    }
}

impl Inner {
    /// Keeps a key in that version.
    pub fn keep(&self, key: &str, version: u64) {
        lock(&self.store).put(key, version);
    }

    /// Forgets a key.
    pub fn forget(&self, key: &str) {
        lock(&self.store).forget(key);
    }

    async fn accept(self: Arc<Self>, listener: TcpListener, addr: SocketAddr) {
        let (mut listener, mut full, mut faults) =
            (Some(listener), None::<FullListener>, self.faults.subscribe());
        loop {
            let (refuse, late) = {
                let faults = faults.borrow_and_update();
                (faults.refuse, faults.late)
            };
            if refuse {
                listener = None; // what connects now is refused
            } else if late {
                if full.is_none() {
                    listener = None; // its address must be free
                    full = FullListener::bind(addr).ok();
                }
            } else if let Some(opened) = full.take() {
                listener = opened.open().and_then(tokio_listener).ok();
            } else if listener.is_none() {
                listener = TcpListener::bind(addr).await.ok();
            }
            let retried = listener.is_none() && full.is_none() && !refuse;
            tokio::select! {
                () = self.ended.cancelled() => return,
                _ = faults.changed() => {}
                () = sleep(Duration::from_millis(5)), if retried => {}
                accepted = accept_if_listening(listener.as_ref()) => if let Ok(stream) = accepted {
                    tokio::spawn(self.clone().attend(stream));
                },
            }
        }
    }

    async fn attend(self: Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let end = tokio::select! {
            () = self.ended.cancelled() => End::Reset,
            Err(end) = self.speak(&mut stream) => end,
        };
        if matches!(end, End::Reset) {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
    }

    async fn speak(&self, stream: &mut TcpStream) -> Result<(), End> {
        match self.plan.protocol {
            CacheProtocol::Resp => self.serve(stream).await,
            CacheProtocol::Memcached => self.serve_packets(stream).await,
        }
    }

    /// Notes the first byte of a request, which may be its last.
    fn begun(&self) -> Result<(), End> {
        self.note(Event::FirstByte);
        if self.happens(|faults| faults.reset_before) { Err(End::Reset) } else { Ok(()) }
    }

    /// Reads on until `next` has a whole command; what that says is no command is noted.
    async fn receive<T>(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        next: impl Fn(&mut BytesMut) -> Result<Option<T>, String>,
    ) -> Result<T, End> {
        let mut begun = !buffer.is_empty();
        loop {
            match next(buffer) {
                Ok(Some(command)) => return Ok(command),
                Ok(None) => {}
                Err(why) => {
                    self.note(Event::Syntax(why));
                    return Err(End::Closed);
                }
            }
            if stream.read_buf(buffer).await? == 0 {
                return Err(End::Closed);
            }
            if !begun {
                begun = true;
                self.begun()?;
            }
        }
    }

    /// Carries a request out while its connection stays.
    async fn attended(
        &self,
        asked: &Asked,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> Result<Done, End> {
        self.note(Event::Received(asked.clone()));
        tokio::select! {
            done = self.work(asked) => done,
            // Work stops when its request is cancelled: the connection closes.
            read = stream.read_buf(buffer) => match read? {
                0 => Err(End::Closed),
                _ => Err(End::Reset), // one request at a time is all that a node sends
            },
        }
    }

    async fn serve_packets(&self, stream: &mut TcpStream) -> Result<(), End> {
        let (mut buffer, mut last) = (BytesMut::new(), None);
        loop {
            let next = |buffer: &mut BytesMut| next_request(buffer, LONGEST).map_err(|why| why.to_string());
            let packet = self.receive(stream, &mut buffer, next).await?;
            let answer = match memcache::asked(&packet) {
                Ok(asked) => {
                    let done = self.attended(&asked, stream, &mut buffer).await?;
                    self.packet(&asked, &packet, &done, &mut last)
                }
                Err(refused) => {
                    self.note(Event::Syntax(format!("opcode {:#04x}", packet.opcode)));
                    refused
                }
            };
            stream.write_all(&answer).await?;
        }
    }

    /// Words how a request ended, with the faults of this protocol; `last` is the last answer.
    fn packet(&self, asked: &Asked, packet: &Packet, done: &Done, last: &mut Option<BytesMut>) -> BytesMut {
        if matches!(done, Done::Spoilt) {
            return self.spoilt(memcache::SPOILT);
        }
        let mut answer = memcache::answer(packet, &asked.key, done);
        let (plain, missed) = (answer.clone(), matches!(done, Done::Miss));
        if missed && self.happens(|faults| faults.memcached.quiet) {
            answer.clear();
        }
        if self.happens(|faults| faults.memcached.opaque) {
            memcache::spoil_opaque(&mut answer);
        }
        if self.happens(|faults| faults.memcached.body) {
            memcache::spoil_body(&mut answer);
        }
        if self.happens(|faults| faults.memcached.header) {
            answer.truncate(12);
        }
        if let Some(last) = last.as_ref().filter(|_| self.happens(|faults| faults.memcached.misorder)) {
            answer = BytesMut::from_iter(last.iter().chain(&answer).copied());
        }
        *last = Some(plain);
        answer
    }

    fn spoilt(&self, among: &[&[u8]]) -> BytesMut {
        lock(&self.rng).choice(among).map_or_else(BytesMut::new, |text| text[..].into())
    }

    async fn serve(&self, stream: &mut TcpStream) -> Result<(), End> {
        let mut buffer = BytesMut::new();
        loop {
            let next =
                |buffer: &mut BytesMut| next_frame(buffer, LONGEST).map_err(|_| "not RESP2".to_owned());
            let frame = self.receive(stream, &mut buffer, next).await?;
            let answer = match words(frame) {
                Some(words) => self.command(&words, stream, &mut buffer).await?,
                None => error("ERR words wanted").into(),
            };
            stream.write_all(&answer.text).await?;
            match answer.then {
                Then::Next => {}
                Then::Once(asked) => self.repeat(&asked, &answer.text, stream, &mut buffer).await?,
                // Until the node gives it up.
                Then::Silence => while stream.read_buf(&mut buffer).await? > 0 {},
            }
        }
    }

    /// Sends an answer once more, some milliseconds later, unless the connection ends before.
    async fn repeat(
        &self,
        asked: &Asked,
        text: &[u8],
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> Result<(), End> {
        let late = Duration::from_millis(lock(&self.rng).u64(REPEATED_LATE_MS));
        let due = tokio::time::Instant::now() + late;
        while let Ok(read) = timeout_at(due, stream.read_buf(buffer)).await {
            if read? == 0 {
                return Err(End::Closed);
            }
        }
        stream.write_all(text).await?;
        self.note(Event::AnswerRepeated(asked.clone()));
        Ok(())
    }

    async fn command(
        &self,
        words: &[String],
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> Result<Written, End> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let asked = match words[..] {
            ["CACHE.GET", key, id, facts] if facts.contains("d=") => Asked::new(key, id, facts, false),
            ["CACHE.SET", key, id, facts, _] if facts.contains("d=") => Asked::new(key, id, facts, true),
            ["PING"] => return Ok(line(|out| put_simple(out, "PONG")).into()),
            ["CLIENT" | "SELECT", ..] => return Ok(line(|out| put_simple(out, "OK")).into()),
            ["CACHE.GET" | "CACHE.SET", ..] => {
                self.note(Event::Syntax(words.join(" ")));
                return Ok(error("SYNTAX").into());
            }
            _ => return Ok(error("ERR unknown command").into()),
        };
        let text = match self.attended(&asked, stream, buffer).await? {
            Done::Busy => error("BUSY"),
            Done::Miss => answer(None),
            Done::Value(version) => answer(Some(&value(&asked.id, &asked.key, version))),
            Done::Failed => error("ERR failed"),
            Done::Spoilt => self.spoilt(SPOILT),
            Done::Halted => {
                self.note(Event::AnswerHalted(asked));
                return Ok(Written { text: halted(), then: Then::Silence });
            }
        };
        let twice = self.happens(|faults| faults.twice);
        Ok(Written { text, then: if twice { Then::Once(asked) } else { Then::Next } })
    }

    /// Carries a request out.
    async fn work(&self, asked: &Asked) -> Result<Done, End> {
        if self.happens(|faults| faults.swallow) {
            std::future::pending::<()>().await;
        }
        let found = lock(&self.store).get(&asked.key);
        let work = if found.is_some() { self.plan.hit_work } else { self.plan.miss_work };
        self.load(work)?;
        if self.cores.available_permits() == 0
            && self.waiting.load(Ordering::Relaxed) >= self.plan.queue_capacity
        {
            return Ok(Done::Busy);
        }
        let waits = Waits::new(&self.waiting);
        let _core = self.cores.acquire().await.map_err(|_| End::Closed)?;
        drop(waits);
        let mut faults = self.faults.subscribe();
        let slow = faults.borrow().slow / lock(&self.warmth).share(self.log.clock().now());
        if work > Duration::ZERO {
            sleep(work.mul_f64(slow)).await;
        }
        let _ = faults.wait_for(|faults| !faults.stalled).await;
        let Some(version) = found else {
            self.missed.note(&asked.id, self.name.clone());
            return Ok(Done::Miss);
        };
        self.note(Event::Executed(asked.clone()));
        if self.happens(|faults| faults.reset_after) {
            return Err(End::Reset);
        }
        if self.happens(|faults| faults.fail) {
            return Ok(Done::Failed);
        }
        if self.plan.protocol == CacheProtocol::Resp && !asked.write && self.happens(|faults| faults.halt) {
            return Ok(Done::Halted);
        }
        if self.happens(|faults| faults.spoil) {
            return Ok(Done::Spoilt);
        }
        Ok(Done::Value(version))
    }

    /// Notes work that is sent here, begun or not; the last straw ends the box.
    fn load(&self, work: Duration) -> Result<(), End> {
        let work = work.as_micros() as Micros;
        if lock(&self.warmth).push(self.log.clock().now(), work) {
            self.note(Event::PushedOver);
            self.ended.cancel();
            return Err(End::Reset);
        }
        Ok(())
    }

    fn happens(&self, share: impl Fn(&Faults) -> f64) -> bool {
        let share = share(&self.faults.borrow());
        share > 0.0 && lock(&self.rng).f64() < share
    }

    fn note(&self, event: Event) {
        self.log.record(&self.name, event);
    }
}

fn tokio_listener(listener: std::net::TcpListener) -> io::Result<TcpListener> {
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Counts one that waits for a core, until it is dropped.
struct Waits<'a>(&'a AtomicUsize);

impl<'a> Waits<'a> {
    fn new(waiting: &'a AtomicUsize) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Waits(waiting)
    }
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

pub(crate) async fn accept_if_listening(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

/// Answers that can't be read: noise, a length that doesn't fit, one too large, a line without end.
const SPOILT: &[&[u8]] = &[
    b"\x00\xff\x13noise\r\n",
    b"*3\r\n$5\r\nab\r\n$3\r\nhit\r\n$-1\r\n",
    b"*3\r\n$3000000000\r\nab",
    b"+never ending ",
];

/// A second answer comes so many milliseconds after the first.
const REPEATED_LATE_MS: std::ops::Range<u64> = 1..9;
/// A value that halts is announced as so long, and begins with so many bytes.
const HALTED: usize = 999_999;
const HALTED_AFTER: usize = 100;

/// What is written for a command, and what follows.
struct Written {
    text: BytesMut,
    then: Then,
}

enum Then {
    /// The next command.
    Next,
    /// The same answer once more.
    Once(Asked),
    /// Nothing more.
    Silence,
}

impl From<BytesMut> for Written {
    fn from(text: BytesMut) -> Self {
        Written { text, then: Then::Next }
    }
}

/// The beginning of a large value.
fn halted() -> BytesMut {
    line(|out| {
        put_array(out, 3);
        out.put_slice(format!("${HALTED}\r\n").as_bytes());
        out.put_bytes(b'x', HALTED_AFTER);
    })
}

/// The value that a server makes for one request: it names the request's id, so that a client knows its own.
pub fn value(id: &str, key: &str, version: u64) -> String {
    format!("{id} {key} v{version}")
}

fn words(frame: Frame) -> Option<Vec<String>> {
    let Frame::Array(parts) = frame else { return None };
    let word = |part| match part {
        Frame::BulkString(text) => Some(String::from_utf8_lossy(&text).into_owned()),
        _ => None,
    };
    parts.into_iter().map(word).collect()
}

fn answer(value: Option<&str>) -> BytesMut {
    line(|out| {
        put_array(out, 3);
        match value {
            Some(value) => put_bulk(out, value.as_bytes()),
            None => out.put_slice(b"$-1\r\n"),
        }
        put_bulk(out, if value.is_some() { b"hit" } else { b"miss" });
        out.put_slice(b"$-1\r\n");
    })
}

fn error(text: &str) -> BytesMut {
    line(|out| put_error(out, format_args!("{text}")))
}

fn line(put: impl FnOnce(&mut BytesMut)) -> BytesMut {
    let mut out = BytesMut::new();
    put(&mut out);
    out
}
