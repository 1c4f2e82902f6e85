//! A stand-in origin over HTTP/1.1, slow and with limited concurrency. It executes writes, and stores the values that
//! it returns at the boxes that missed for the request.

use std::collections::{HashMap, VecDeque};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::cache::{BoxInner, response_value};
use crate::clock::Micros;
use crate::cut_body::CutBody;
use crate::fault::Faults;
use crate::memcache::miss_id;
use crate::record::{Event, Log, ReceivedRequest};

/// Largest number of requests whose misses are remembered until the origin is asked for them.
const MAX_REMEMBERED_REQUESTS: usize = 1 << 16;

/// Configuration of the origin.
#[derive(Debug, Clone)]
pub struct OriginConfig {
    /// Number of requests that it works on at once.
    pub concurrency: usize,
    /// Number of requests that may wait; those beyond it are refused with 503 and `X-Unprocessed: 1`.
    pub queue_capacity: usize,
    /// Time that a request takes.
    pub service_time: Duration,
    /// Time for which it recognises repeats of a keyed write.
    pub deduplication_window: Duration,
}

/// The boxes, and which of them have missed for which request.
#[derive(Clone, Default)]
pub struct MissLog(Arc<Mutex<Misses>>);

#[derive(Default)]
struct Misses {
    boxes: HashMap<Arc<str>, Weak<BoxInner>>,
    /// Names of the boxes that missed, by request id.
    by_id: HashMap<String, Vec<Arc<str>>>,
    /// Request ids, oldest first.
    ids_by_age: VecDeque<String>,
}

impl MissLog {
    fn lock(&self) -> MutexGuard<'_, Misses> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a box.
    pub(crate) fn add_box(&self, name: &str, cache: &Arc<BoxInner>) {
        self.lock().boxes.insert(name.into(), Arc::downgrade(cache));
    }

    /// Records that a box missed for a request.
    pub(crate) fn add(&self, id: &str, server: Arc<str>) {
        let mut misses = self.lock();
        if !misses.by_id.contains_key(id) {
            misses.ids_by_age.push_back(id.to_owned());
        }
        misses.by_id.entry(id.to_owned()).or_default().push(server);
        if misses.ids_by_age.len() > MAX_REMEMBERED_REQUESTS
            && let Some(oldest) = misses.ids_by_age.pop_front()
        {
            misses.by_id.remove(&oldest);
        }
    }

    /// Stores a value at the boxes that missed for a request id or, over memcached, for the key.
    fn store(&self, id: &str, key: &str, version: u64) {
        let mut misses = self.lock();
        let by_key = miss_id(key);
        let taken = [id, &by_key].map(|id| misses.by_id.get_mut(id).map(std::mem::take).unwrap_or_default());
        for name in taken.into_iter().flatten() {
            if let Some(cache) = misses.boxes.get(&name).and_then(Weak::upgrade) {
                cache.put(key, version);
            }
        }
    }

    /// Removes a key from all boxes.
    fn remove_everywhere(&self, key: &str) {
        let mut misses = self.lock();
        misses.boxes.retain(|_, cache| cache.upgrade().inspect(|cache| cache.remove(key)).is_some());
    }
}

/// An answer of the origin: a complete body, or one that ends in the middle.
type Answer = Response<Either<Full<Bytes>, CutBody>>;

/// A running origin, which stops when it is dropped.
pub struct Origin {
    inner: Arc<Inner>,
    /// The address that it listens on.
    pub addr: SocketAddr,
}

struct Inner {
    name: Arc<str>,
    config: OriginConfig,
    log: Log,
    misses: MissLog,
    faults: watch::Sender<Faults>,
    /// A permit for each request that may be worked on at once.
    slots: Semaphore,
    /// Number of requests that wait for a slot.
    queued: AtomicUsize,
    state: Mutex<State>,
    stopped: CancellationToken,
}

struct State {
    /// The newest version, by cache key.
    versions: HashMap<String, u64>,
    /// When keyed writes were executed, by idempotency key.
    executed_writes: HashMap<String, Micros>,
    rng: fastrand::Rng,
}

impl Origin {
    pub(crate) async fn start(
        name: &str,
        config: OriginConfig,
        seed: u64,
        log: Log,
        misses: MissLog,
    ) -> io::Result<Origin> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let rng = fastrand::Rng::with_seed(seed);
        let inner = Arc::new(Inner {
            name: name.into(),
            slots: Semaphore::new(config.concurrency),
            queued: AtomicUsize::new(0),
            state: Mutex::new(State { versions: HashMap::new(), executed_writes: HashMap::new(), rng }),
            faults: watch::Sender::new(Faults::default()),
            stopped: CancellationToken::new(),
            config,
            log,
            misses,
        });
        let handler = inner.clone();
        tokio::spawn(accept(listener, inner.stopped.clone(), move |stream| {
            handler.clone().serve_connection(stream)
        }));
        Ok(Origin { inner, addr })
    }

    /// Replaces its faults. New connections are never refused; a swallowed request is never answered.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.faults.send_replace(faults);
    }
}

impl Drop for Origin {
    fn drop(&mut self) {
        self.inner.stopped.cancel();
    }
}

impl Inner {
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let reset = CancellationToken::new();
        let service = service_fn(|request| {
            let (inner, reset) = (self.clone(), reset.clone());
            async move { Ok::<_, Infallible>(inner.answer(request, &reset).await) }
        });
        tokio::select! {
            () = self.stopped.cancelled() => {}
            () = reset.cancelled() => {}
            _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        }
    }

    async fn answer(&self, request: Request<Incoming>, reset: &CancellationToken) -> Answer {
        self.record(Event::FirstByte);
        if self.should_inject(|faults| faults.reset_before) {
            reset.cancel();
            std::future::pending::<()>().await;
        }
        let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
        let is_write = request.method() == Method::PUT;
        let (id, facts) = (header("X-Correlation-Id").to_owned(), header("X-Facts").to_owned());
        let key = request.uri().path().trim_start_matches('/').to_owned();
        if id.is_empty() || facts.is_empty() || key.is_empty() {
            self.record(Event::InvalidCommand(request.uri().to_string()));
            return http_response(StatusCode::BAD_REQUEST, String::new()).map(Either::Left);
        }
        let received = ReceivedRequest::new(&key, &id, &facts, is_write);
        if request.into_body().collect().await.is_err() {
            return http_response(StatusCode::BAD_REQUEST, String::new()).map(Either::Left);
        }
        self.record(Event::Received(received.clone()));
        if self.should_inject(|faults| faults.swallow) {
            std::future::pending::<()>().await;
        }
        if self.slots.available_permits() == 0
            && self.queued.load(Ordering::Relaxed) >= self.config.queue_capacity
        {
            let mut busy = http_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
            busy.headers_mut().insert("X-Unprocessed", hyper::header::HeaderValue::from_static("1"));
            return busy.map(Either::Left);
        }
        self.queued.fetch_add(1, Ordering::Relaxed);
        let permit = self.slots.acquire().await;
        self.queued.fetch_sub(1, Ordering::Relaxed);
        let _permit = permit.ok();
        self.execute(&received, reset).await
    }

    /// Works on a request and applies the faults that come after its execution.
    async fn execute(&self, received: &ReceivedRequest, reset: &CancellationToken) -> Answer {
        let mut faults = self.faults.subscribe();
        let slowdown = faults.borrow().slow;
        sleep(self.config.service_time.mul_f64(slowdown)).await;
        let _ = faults.wait_for(|faults| !faults.stalled).await;
        let version = self.apply(received);
        if self.should_inject(|faults| faults.reset_after) {
            reset.cancel();
            std::future::pending::<()>().await;
        }
        if self.should_inject(|faults| faults.fail) {
            return http_response(StatusCode::INTERNAL_SERVER_ERROR, String::new()).map(Either::Left);
        }
        if self.should_inject(|faults| faults.spoil) {
            // 80 KiB: longer than a value may be.
            return http_response(StatusCode::OK, "x".repeat(80 << 10)).map(Either::Left);
        }
        if self.should_inject(|faults| faults.cut) {
            self.record(Event::AnswerCut(received.clone()));
            let complete = response_value(&received.id, &received.key, version);
            return Response::new(Either::Right(CutBody::new(complete.into())));
        }
        match received.is_write {
            true => self.misses.remove_everywhere(&received.key),
            false => self.misses.store(&received.id, &received.key, version),
        }
        http_response(StatusCode::OK, response_value(&received.id, &received.key, version)).map(Either::Left)
    }

    /// Applies a request, once for each idempotency key within its window. Returns the key's version.
    fn apply(&self, received: &ReceivedRequest) -> u64 {
        let now = self.log.clock().now();
        let mut state = self.state();
        if let Some(key) = &received.idempotency_key {
            let window = self.config.deduplication_window.as_micros() as Micros;
            state.executed_writes.retain(|_, executed_at| *executed_at + window > now);
            if state.executed_writes.contains_key(key) {
                self.record(Event::Discarded(received.clone()));
                return state.versions.get(&received.key).copied().unwrap_or(1);
            }
            state.executed_writes.insert(key.clone(), now);
        }
        self.record(Event::Executed(received.clone()));
        let version = state.versions.entry(received.key.clone()).or_insert(1);
        *version += u64::from(received.is_write);
        *version
    }

    /// Draws whether a fault with a configured probability hits this request.
    fn should_inject(&self, probability: impl Fn(&Faults) -> f64) -> bool {
        let probability = probability(&self.faults.borrow());
        probability > 0.0 && self.state().rng.f64() < probability
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn record(&self, event: Event) {
        self.log.record(&self.name, event);
    }
}

/// Serves each connection on a task of its own, until `stopped` is cancelled.
pub(crate) async fn accept<F>(
    listener: TcpListener,
    stopped: CancellationToken,
    serve_connection: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        tokio::select! {
            () = stopped.cancelled() => return,
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(serve_connection(stream));
            },
        }
    }
}

/// An HTTP response with a status and a body.
pub(crate) fn http_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}
