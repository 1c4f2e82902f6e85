//! The origin: HTTP/1.1, slow and limited. It carries out writes, and stores what it has fetched at the boxes
//! that missed for the request.

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

use crate::cache::{Inner as Box_, value};
use crate::clock::Micros;
use crate::cut_body::CutBody;
use crate::fault::Faults;
use crate::memcache::missed;
use crate::record::{Asked, Event, Log};

/// Misses that are remembered until their fetch comes.
const MISSES: usize = 1 << 16;

/// What the origin is.
#[derive(Debug, Clone)]
pub struct OriginConfig {
    /// Requests that it works on at once.
    pub concurrency: usize,
    /// Requests that wait; those beyond are turned away with 503 and `X-Unprocessed: 1`.
    pub queue_capacity: usize,
    /// The time that one takes.
    pub service_time: Duration,
    /// For how long it knows a keyed write's repeats.
    pub deduplication_window: Duration,
}

/// Which boxes have missed for which request, and the boxes.
#[derive(Clone, Default)]
pub struct Missed(Arc<Mutex<Misses>>);

#[derive(Default)]
struct Misses {
    boxes: HashMap<Arc<str>, Weak<Box_>>,
    by_id: HashMap<String, Vec<Arc<str>>>,
    order: VecDeque<String>,
}

impl Missed {
    fn lock(&self) -> MutexGuard<'_, Misses> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn enter(&self, name: &str, cache: &Arc<Box_>) {
        self.lock().boxes.insert(name.into(), Arc::downgrade(cache));
    }

    /// A box has missed for a request.
    pub(crate) fn note(&self, id: &str, server: Arc<str>) {
        let mut misses = self.lock();
        if !misses.by_id.contains_key(id) {
            misses.order.push_back(id.to_owned());
        }
        misses.by_id.entry(id.to_owned()).or_default().push(server);
        if misses.order.len() > MISSES
            && let Some(oldest) = misses.order.pop_front()
        {
            misses.by_id.remove(&oldest);
        }
    }

    fn store(&self, id: &str, key: &str, version: u64) {
        let mut misses = self.lock();
        let by_key = missed(key);
        let taken = [id, &by_key].map(|id| misses.by_id.get_mut(id).map(std::mem::take).unwrap_or_default());
        for name in taken.into_iter().flatten() {
            if let Some(cache) = misses.boxes.get(&name).and_then(Weak::upgrade) {
                cache.keep(key, version);
            }
        }
    }

    fn forget(&self, key: &str) {
        let mut misses = self.lock();
        misses.boxes.retain(|_, cache| cache.upgrade().inspect(|cache| cache.forget(key)).is_some());
    }
}

/// What the origin answers: a whole text, or one that breaks off.
type Answer = Response<Either<Full<Bytes>, CutBody>>;

/// A running origin.
pub struct Origin {
    inner: Arc<Inner>,
    /// Where it listens.
    pub addr: SocketAddr,
}

struct Inner {
    name: Arc<str>,
    plan: OriginConfig,
    log: Log,
    missed: Missed,
    faults: watch::Sender<Faults>,
    places: Semaphore,
    waiting: AtomicUsize,
    books: Mutex<Books>,
    ended: CancellationToken,
}

struct Books {
    versions: HashMap<String, u64>,
    /// Keyed writes that have run, by key, with when.
    known: HashMap<String, Micros>,
    rng: fastrand::Rng,
}

impl Origin {
    pub(crate) async fn start(
        name: &str,
        plan: OriginConfig,
        seed: u64,
        log: Log,
        missed: Missed,
    ) -> io::Result<Origin> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let rng = fastrand::Rng::with_seed(seed);
        let inner = Arc::new(Inner {
            name: name.into(),
            places: Semaphore::new(plan.concurrency),
            waiting: AtomicUsize::new(0),
            books: Mutex::new(Books { versions: HashMap::new(), known: HashMap::new(), rng }),
            faults: watch::Sender::new(Faults::default()),
            ended: CancellationToken::new(),
            plan,
            log,
            missed,
        });
        let attended = inner.clone();
        tokio::spawn(accept(listener, inner.ended.clone(), move |stream| attended.clone().attend(stream)));
        Ok(Origin { inner, addr })
    }

    /// Its faults from now on. It is never refused, and swallows as it stalls.
    pub fn set_faults(&self, faults: Faults) {
        self.inner.faults.send_replace(faults);
    }
}

impl Drop for Origin {
    fn drop(&mut self) {
        self.inner.ended.cancel();
    }
}

impl Inner {
    async fn attend(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let reset = CancellationToken::new();
        let service = service_fn(|request| {
            let (inner, reset) = (self.clone(), reset.clone());
            async move { Ok::<_, Infallible>(inner.answer(request, &reset).await) }
        });
        tokio::select! {
            () = self.ended.cancelled() => {}
            () = reset.cancelled() => {}
            _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        }
    }

    async fn answer(&self, request: Request<Incoming>, reset: &CancellationToken) -> Answer {
        self.note(Event::FirstByte);
        if self.happens(|faults| faults.reset_before) {
            reset.cancel();
            std::future::pending::<()>().await;
        }
        let header = |name| request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("");
        let write = request.method() == Method::PUT;
        let (id, facts) = (header("X-Correlation-Id").to_owned(), header("X-Facts").to_owned());
        let key = request.uri().path().trim_start_matches('/').to_owned();
        if id.is_empty() || facts.is_empty() || key.is_empty() {
            self.note(Event::Syntax(request.uri().to_string()));
            return text(StatusCode::BAD_REQUEST, String::new()).map(Either::Left);
        }
        let asked = Asked::new(&key, &id, &facts, write);
        if request.into_body().collect().await.is_err() {
            return text(StatusCode::BAD_REQUEST, String::new()).map(Either::Left);
        }
        self.note(Event::Received(asked.clone()));
        if self.happens(|faults| faults.swallow) {
            std::future::pending::<()>().await;
        }
        if self.places.available_permits() == 0
            && self.waiting.load(Ordering::Relaxed) >= self.plan.queue_capacity
        {
            let mut busy = text(StatusCode::SERVICE_UNAVAILABLE, String::new());
            busy.headers_mut().insert("X-Unprocessed", hyper::header::HeaderValue::from_static("1"));
            return busy.map(Either::Left);
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let place = self.places.acquire().await;
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let _place = place.ok();
        self.work(&asked, reset).await
    }

    async fn work(&self, asked: &Asked, reset: &CancellationToken) -> Answer {
        let mut faults = self.faults.subscribe();
        let slow = faults.borrow().slow;
        sleep(self.plan.service_time.mul_f64(slow)).await;
        let _ = faults.wait_for(|faults| !faults.stalled).await;
        let version = self.run(asked);
        if self.happens(|faults| faults.reset_after) {
            reset.cancel();
            std::future::pending::<()>().await;
        }
        if self.happens(|faults| faults.fail) {
            return text(StatusCode::INTERNAL_SERVER_ERROR, String::new()).map(Either::Left);
        }
        if self.happens(|faults| faults.spoil) {
            // More than a value may hold.
            return text(StatusCode::OK, "x".repeat(80 << 10)).map(Either::Left);
        }
        if self.happens(|faults| faults.cut) {
            self.note(Event::AnswerCut(asked.clone()));
            let whole = value(&asked.id, &asked.key, version);
            return Response::new(Either::Right(CutBody::new(whole.into())));
        }
        match asked.write {
            true => self.missed.forget(&asked.key),
            false => self.missed.store(&asked.id, &asked.key, version),
        }
        text(StatusCode::OK, value(&asked.id, &asked.key, version)).map(Either::Left)
    }

    /// Has its effect, once for each idempotency key in its window; tells the version.
    fn run(&self, asked: &Asked) -> u64 {
        let now = self.log.clock().now();
        let mut books = self.books();
        if let Some(key) = &asked.idempotency {
            let window = self.plan.deduplication_window.as_micros() as Micros;
            books.known.retain(|_, at| *at + window > now);
            if books.known.contains_key(key) {
                self.note(Event::Discarded(asked.clone()));
                return books.versions.get(&asked.key).copied().unwrap_or(1);
            }
            books.known.insert(key.clone(), now);
        }
        self.note(Event::Executed(asked.clone()));
        let version = books.versions.entry(asked.key.clone()).or_insert(1);
        *version += u64::from(asked.write);
        *version
    }

    fn happens(&self, share: impl Fn(&Faults) -> f64) -> bool {
        let share = share(&self.faults.borrow());
        share > 0.0 && self.books().rng.f64() < share
    }

    fn books(&self) -> MutexGuard<'_, Books> {
        self.books.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, event: Event) {
        self.log.record(&self.name, event);
    }
}

/// Attends to each connection on a task of its own, until the end.
pub(crate) async fn accept<F>(
    listener: TcpListener,
    ended: CancellationToken,
    attend: impl Fn(TcpStream) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    loop {
        tokio::select! {
            () = ended.cancelled() => return,
            accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                tokio::spawn(attend(stream));
            },
        }
    }
}

pub(crate) fn text(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    answer
}
