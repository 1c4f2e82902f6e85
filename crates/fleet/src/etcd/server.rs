//! The endpoints: etcd's services over gRPC, each with faults of its own.

use std::collections::BTreeSet;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use hyper::server::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::service::TowerToHyperService;
use lilacquay_etcd::api::event::EventType;
use lilacquay_etcd::api::request_op::Request as Op;
use lilacquay_etcd::api::response_op::Response as OpAnswer;
use lilacquay_etcd::api::watch_request::RequestUnion;
use lilacquay_etcd::api::{
    self, AuthenticateRequest, AuthenticateResponse, CompactionRequest, CompactionResponse,
    DeleteRangeRequest, DeleteRangeResponse, KeyValue, LeaseGrantRequest, LeaseGrantResponse,
    LeaseKeepAliveRequest, LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse, PutRequest,
    PutResponse, RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse,
    WatchCreateRequest, WatchRequest, WatchResponse, auth_server, kv_server, lease_server, watch_server,
};
use serde::Deserialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::ServerConfig;
use tokio_stream::wrappers::ReceiverStream;
use tokio_util::sync::CancellationToken;
use tonic::service::Routes;
use tonic::{Request, Response, Status, Streaming};

use super::store::{Change, Store, StoreError};
use crate::clock::Micros;
use crate::record::{Event, Log, Told};

/// Watches that ask for it are told so often how far they are. etcd's own is ten minutes.
const PROGRESS: Duration = Duration::from_secs(1);
/// Leases are looked at so often.
const LEASES: Duration = Duration::from_millis(20);
/// Answers of a watch that wait for a slow reader.
const QUEUE: usize = 16;

/// The faults of one endpoint. All at rest by default; shares are parts of a watch's answers, from 0 to 1.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EtcdFaults {
    /// New connections are refused, and those that stand are broken.
    pub refuse: bool,
    /// Nothing is answered, on connections that stay open.
    pub silent: bool,
    /// Answers come so many milliseconds later.
    pub late_ms: u64,
    /// Whole lists are of so many revisions ago, with the header of then: a member that lies.
    pub behind: i64,
    /// Streams that break in place of an answer.
    pub drop_before: f64,
    /// Streams that break behind an answer.
    pub drop_after: f64,
    /// Answers that come twice.
    pub twice: f64,
    /// Answers that come in parts, an event each.
    pub split: f64,
}

/// What an etcd is.
#[derive(Clone, Default)]
pub struct EtcdPlan {
    /// How many endpoints it has.
    pub endpoints: usize,
    /// Keys that begin with this are servers, whose states are noted as they are told.
    pub prefix: String,
    /// A user's name and password, if callers must tell them.
    pub user: Option<(String, String)>,
    /// TLS, which must offer `h2`.
    pub tls: Option<Arc<ServerConfig>>,
    /// For all its random choices.
    pub seed: u64,
}

/// A running etcd. It ends when it is dropped.
pub struct Etcd {
    shared: Arc<Shared>,
    faults: Vec<watch::Sender<EtcdFaults>>,
    /// Where its endpoints listen.
    pub endpoints: Vec<SocketAddr>,
}

/// What all endpoints have in common.
struct Shared {
    store: Mutex<Store>,
    /// The newest revision; and a count of the times at which all watches were cancelled.
    changed: watch::Sender<(i64, u64)>,
    prefix: Vec<u8>,
    /// All ids that were ever listed.
    ids: Mutex<BTreeSet<String>>,
    log: Log,
    rng: Mutex<fastrand::Rng>,
    /// A user's name and password, if callers must tell them.
    user: Option<(String, String)>,
    ended: CancellationToken,
}

/// The token that a user is given.
const TOKEN: &str = "stand-in.1";

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl From<StoreError> for Status {
    fn from(refused: StoreError) -> Self {
        match refused {
            StoreError::Compacted => {
                Status::out_of_range("etcdserver: mvcc: required revision has been compacted")
            }
            StoreError::FutureRevision => {
                Status::out_of_range("etcdserver: mvcc: required revision is a future revision")
            }
            StoreError::LeaseNotFound => Status::not_found("etcdserver: requested lease not found"),
            StoreError::DuplicateKey => {
                Status::invalid_argument("etcdserver: duplicate key given in txn request")
            }
        }
    }
}

impl Etcd {
    /// Starts its endpoints on the runtime of the caller.
    ///
    /// # Errors
    /// If no socket can be had.
    pub async fn start(plan: EtcdPlan, log: Log) -> io::Result<Etcd> {
        let EtcdPlan { endpoints, prefix, user, tls, seed } = plan;
        let tls = tls.map(TlsAcceptor::from);
        let store = Store::new(0x5eed ^ seed);
        let shared = Arc::new(Shared {
            changed: watch::Sender::new((store.revision(), 0)),
            store: Mutex::new(store),
            prefix: prefix.into_bytes(),
            ids: Mutex::default(),
            log,
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            user,
            ended: CancellationToken::new(),
        });
        let mut etcd = Etcd { shared: shared.clone(), faults: Vec::new(), endpoints: Vec::new() };
        for _ in 0..endpoints {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            etcd.endpoints.push(listener.local_addr()?);
            let faults = watch::Sender::default();
            let (shared, faults_) = (shared.clone(), faults.subscribe());
            let endpoint = Endpoint { shared, faults: faults_, tls: tls.clone() };
            etcd.faults.push(faults);
            tokio::spawn(endpoint.accept(listener));
        }
        tokio::spawn(async move {
            while !shared.ended.is_cancelled() {
                sleep(LEASES).await;
                let now = shared.log.clock().now();
                shared.with_store(|store| store.expire_leases(now));
            }
        });
        Ok(etcd)
    }

    /// Does something with the store; watches are told what changes.
    pub fn with_store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        self.shared.with_store(work)
    }

    /// Writes a server's value.
    pub fn put(&self, id: &str, value: &str) {
        let key = self.key(id);
        self.with_store(|store| store.put(&key, value.as_bytes(), 0)).expect("it has no lease");
    }

    /// Removes a server.
    pub fn delete(&self, id: &str) {
        let key = self.key(id);
        self.with_store(|store| store.delete(&key));
    }

    /// The key of a server.
    pub fn key(&self, id: &str) -> Vec<u8> {
        [&self.shared.prefix, id.as_bytes()].concat()
    }

    /// Forgets all but the newest revision, and cancels each watch with `compact_revision`, as if it had been
    /// behind.
    pub fn compact(&self) {
        self.with_store(|store| {
            let newest = store.revision();
            let _ = store.compact(newest); // compacted there already
        });
        self.shared.changed.send_modify(|(_, cancelled)| *cancelled += 1);
    }

    /// Sets an endpoint's faults; each counts as an answer's from now on.
    pub fn set_faults(&self, endpoint: usize, faults: EtcdFaults) {
        self.faults[endpoint].send_replace(faults);
    }

    /// Sets the faults of all endpoints.
    pub fn set_all_faults(&self, faults: &EtcdFaults) {
        (0..self.faults.len()).for_each(|endpoint| self.set_faults(endpoint, faults.clone()));
    }

    /// The store as it is, to come back with.
    pub fn backup(&self) -> Store {
        lock(&self.shared.store).clone()
    }

    /// Comes back with an older store. Its endpoints should be down meanwhile, as real ones are.
    pub fn restore(&self, backup: Store) {
        self.with_store(|store| *store = backup);
    }
}

impl Drop for Etcd {
    fn drop(&mut self) {
        self.shared.ended.cancel();
    }
}

impl Shared {
    fn with_store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let done = work(&mut store);
        let newest = store.revision();
        drop(store);
        self.changed.send_if_modified(|(revision, _)| std::mem::replace(revision, newest) != newest);
        done
    }

    fn now(&self) -> Micros {
        self.log.clock().now()
    }

    fn happens(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.rng).f64() < share
    }

    fn id(&self, kv: &KeyValue) -> Option<String> {
        Some(String::from_utf8_lossy(kv.key.strip_prefix(&*self.prefix)?).into_owned())
    }

    /// Notes that a caller is told this key.
    fn note(&self, kv: &KeyValue, kind: EventType) {
        let Some(id) = self.id(kv) else { return };
        let told = match kind {
            EventType::Delete => Told::Deleted,
            EventType::Put if memmem(&kv.value, b"draining") => Told::Draining,
            EventType::Put => Told::Serving,
        };
        self.log.note(&id.as_str().into(), Event::Told(told));
        lock(&self.ids).insert(id);
    }

    /// Notes a page of a list, and by its last one who is no longer in it.
    fn note_page(&self, page: &RangeResponse) {
        page.kvs.iter().for_each(|kv| self.note(kv, EventType::Put));
        if !page.more {
            let gone =
                |id: &&String| lock(&self.store).get(&[&self.prefix, id.as_bytes()].concat()).is_none();
            for id in lock(&self.ids).iter().filter(gone) {
                self.log.note(&id.as_str().into(), Event::Told(Told::Deleted));
            }
        }
    }
}

fn memmem(text: &[u8], word: &[u8]) -> bool {
    text.windows(word.len()).any(|part| part == word)
}

/// One endpoint.
#[derive(Clone)]
struct Endpoint {
    shared: Arc<Shared>,
    faults: watch::Receiver<EtcdFaults>,
    tls: Option<TlsAcceptor>,
}

/// Serves a connection until its end; one whose TLS fails is closed.
async fn serve(stream: TcpStream, tls: Option<TlsAcceptor>, routes: Routes) {
    let http = http2::Builder::new(TokioExecutor::new());
    let service = TowerToHyperService::new(routes);
    let _ = match tls {
        None => http.serve_connection(TokioIo::new(stream), service).await,
        Some(tls) => match tls.accept(stream).await {
            Ok(stream) => http.serve_connection(TokioIo::new(stream), service).await,
            Err(_) => return,
        },
    };
}

type Answer<T> = Result<Response<T>, Status>;
type Answers<T> = ReceiverStream<Result<T, Status>>;

impl Endpoint {
    async fn accept(mut self, listener: TcpListener) {
        let Ok(addr) = listener.local_addr() else { return };
        let mut listener = Some(listener);
        let ended = self.shared.ended.clone();
        loop {
            let refuse = self.faults.borrow_and_update().refuse;
            if refuse {
                listener = None; // what connects now is refused
            } else if listener.is_none() {
                listener = TcpListener::bind(addr).await.ok();
            }
            tokio::select! {
                () = ended.cancelled() => return,
                _ = self.faults.changed() => {}
                () = sleep(Duration::from_millis(5)), if listener.is_none() && !refuse => {} // tried again
                accepted = crate::cache::accept_on(listener.as_ref()) => if let Ok(stream) = accepted {
                    tokio::spawn(self.clone().attend(stream));
                },
            }
        }
    }

    async fn attend(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (ended, mut faults, tls) = (self.shared.ended.clone(), self.faults.clone(), self.tls.clone());
        let routes = Routes::new(kv_server::KvServer::new(self.clone()))
            .add_service(watch_server::WatchServer::new(self.clone()))
            .add_service(lease_server::LeaseServer::new(self.clone()))
            .add_service(auth_server::AuthServer::new(self));
        tokio::select! {
            () = ended.cancelled() => {}
            _ = faults.wait_for(|faults| faults.refuse) => {}
            () = serve(stream, tls, routes) => {}
        }
    }

    /// Waits until something may be answered; an error if the caller must not ask.
    async fn ready<T>(&self, request: &Request<T>) -> Result<(), Status> {
        if self.shared.user.is_some() && request.metadata().get("token").is_none_or(|token| token != TOKEN) {
            return Err(Status::unauthenticated("etcdserver: invalid auth token"));
        }
        self.spoken().await;
        Ok(())
    }

    async fn spoken(&self) {
        let mut faults = self.faults.clone();
        let late = match faults.wait_for(|faults| !faults.silent).await {
            Ok(faults) => faults.late_ms,
            Err(_) => return,
        };
        if late > 0 {
            sleep(Duration::from_millis(late)).await;
        }
    }

    fn changed<T>(&self, work: impl FnOnce(&mut Store) -> Result<T, StoreError>) -> Result<T, Status> {
        Ok(self.shared.with_store(work)?)
    }

    fn header(&self) -> Option<api::ResponseHeader> {
        Some(lock(&self.shared.store).header())
    }
}

#[tonic::async_trait]
impl kv_server::Kv for Endpoint {
    async fn range(&self, request: Request<RangeRequest>) -> Answer<RangeResponse> {
        self.ready(&request).await?;
        let RangeRequest { key, range_end, limit, revision } = request.into_inner();
        let behind = self.faults.borrow().behind;
        let page = {
            let store = lock(&self.shared.store);
            match behind {
                0 => store.range((&key, &range_end), revision, limit)?,
                behind => {
                    let old = (store.revision() - behind).max(store.compacted_revision()).max(1);
                    let old = if revision > 0 { revision } else { old };
                    let mut page = store.range((&key, &range_end), old, limit)?;
                    page.header.iter_mut().for_each(|header| header.revision = old);
                    page
                }
            }
        };
        if behind == 0 {
            self.shared.note_page(&page);
        }
        Ok(Response::new(page))
    }

    async fn put(&self, request: Request<PutRequest>) -> Answer<PutResponse> {
        self.ready(&request).await?;
        let PutRequest { key, value, lease, ignore_lease } = request.into_inner();
        let lease = (!ignore_lease).then_some(lease);
        self.changed(|store| store.apply(&[Change::Put { key: &key, value: &value, lease }]))?;
        Ok(Response::new(PutResponse { header: self.header() }))
    }

    async fn delete_range(&self, request: Request<DeleteRangeRequest>) -> Answer<DeleteRangeResponse> {
        self.ready(&request).await?;
        let DeleteRangeRequest { key, range_end } = request.into_inner();
        let deleted = self.changed(|store| {
            let count = store.range((&key, &range_end), 0, 0)?.count;
            store.apply(&[Change::Delete((&key, &range_end))]).map(|_| count)
        })?;
        Ok(Response::new(DeleteRangeResponse { header: self.header(), deleted }))
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Answer<TxnResponse> {
        self.ready(&request).await?;
        let TxnRequest { compare, success, failure } = request.into_inner();
        let (succeeded, ops) = self.changed(|store| {
            let succeeded = store.comparisons_hold(&compare);
            let ops = if succeeded { success } else { failure };
            store.txn(&ops).map(|_| (succeeded, ops))
        })?;
        let responses = ops.iter().map(|op| self.op_answer(op)).collect();
        Ok(Response::new(TxnResponse { header: self.header(), succeeded, responses }))
    }

    async fn compact(&self, request: Request<CompactionRequest>) -> Answer<CompactionResponse> {
        self.ready(&request).await?;
        let revision = request.into_inner().revision;
        self.changed(|store| store.compact(revision))?;
        Ok(Response::new(CompactionResponse { header: self.header() }))
    }
}

impl Endpoint {
    fn op_answer(&self, op: &RequestOp) -> ResponseOp {
        let header = self.header();
        let response = op.request.as_ref().map(|op| match op {
            Op::RequestRange(range) => {
                let found = lock(&self.shared.store).range((&range.key, &range.range_end), 0, range.limit);
                OpAnswer::ResponseRange(found.unwrap_or_default())
            }
            Op::RequestPut(_) => OpAnswer::ResponsePut(PutResponse { header }),
            Op::RequestDeleteRange(_) => {
                OpAnswer::ResponseDeleteRange(DeleteRangeResponse { header, deleted: 1 })
            }
        });
        ResponseOp { response }
    }
}

#[tonic::async_trait]
impl lease_server::Lease for Endpoint {
    type LeaseKeepAliveStream = Answers<LeaseKeepAliveResponse>;

    async fn lease_grant(&self, request: Request<LeaseGrantRequest>) -> Answer<LeaseGrantResponse> {
        self.ready(&request).await?;
        let (now, ttl) = (self.shared.now(), request.into_inner().ttl);
        let id = self.shared.with_store(|store| store.grant_lease(now, ttl.max(0) as Micros * 1_000_000));
        Ok(Response::new(LeaseGrantResponse { header: self.header(), id, ttl, error: String::new() }))
    }

    async fn lease_revoke(&self, request: Request<LeaseRevokeRequest>) -> Answer<LeaseRevokeResponse> {
        self.ready(&request).await?;
        let id = request.into_inner().id;
        self.changed(|store| store.revoke_lease(id))?;
        Ok(Response::new(LeaseRevokeResponse { header: self.header() }))
    }

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Answer<Self::LeaseKeepAliveStream> {
        self.ready(&request).await?;
        let (mut asked, endpoint) = (request.into_inner(), self.clone());
        let (to, answers) = mpsc::channel(QUEUE);
        tokio::spawn(async move {
            while let Ok(Some(LeaseKeepAliveRequest { id })) = asked.message().await {
                endpoint.spoken().await;
                let now = endpoint.shared.now();
                let left = endpoint.shared.with_store(|store| store.renew_lease(now, id));
                let ttl = left.map_or(0, |ttl| (ttl / 1_000_000) as i64);
                let answer = LeaseKeepAliveResponse { header: endpoint.header(), id, ttl };
                if to.send(Ok(answer)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(answers)))
    }
}

#[tonic::async_trait]
impl auth_server::Auth for Endpoint {
    async fn authenticate(&self, request: Request<AuthenticateRequest>) -> Answer<AuthenticateResponse> {
        let AuthenticateRequest { name, password } = request.into_inner();
        if self.shared.user.as_ref().is_some_and(|user| *user != (name, password)) {
            return Err(Status::invalid_argument(
                "etcdserver: authentication failed, invalid user ID or password",
            ));
        }
        Ok(Response::new(AuthenticateResponse { header: self.header(), token: TOKEN.into() }))
    }
}

#[tonic::async_trait]
impl watch_server::Watch for Endpoint {
    type WatchStream = Answers<WatchResponse>;

    async fn watch(&self, request: Request<Streaming<WatchRequest>>) -> Answer<Self::WatchStream> {
        self.ready(&request).await?;
        let (to, answers) = mpsc::channel(QUEUE);
        let watching = Watching {
            endpoint: self.clone(),
            changed: self.shared.changed.subscribe(),
            to,
            watch: None,
            told: Instant::now(),
        };
        tokio::spawn(watching.run(request.into_inner()));
        Ok(Response::new(ReceiverStream::new(answers)))
    }
}

/// The stream has ended.
struct Ended;

/// A stream with at most one watch, which is all that a follower asks for.
struct Watching {
    endpoint: Endpoint,
    changed: watch::Receiver<(i64, u64)>,
    to: mpsc::Sender<Result<WatchResponse, Status>>,
    watch: Option<(WatchCreateRequest, i64)>,
    told: Instant,
}

impl Watching {
    async fn run(mut self, mut asked: Streaming<WatchRequest>) {
        let mut cancelled = self.changed.borrow().1;
        loop {
            let progress = self.watch.as_ref().is_some_and(|(watch, _)| watch.progress_notify);
            let done = tokio::select! {
                () = self.to.closed() => return,
                message = asked.message() => match message {
                    Ok(Some(WatchRequest { request_union: Some(request) })) => self.asked(request).await,
                    _ => return,
                },
                Ok(()) = self.changed.changed() => {
                    let now = self.changed.borrow_and_update().1;
                    match std::mem::replace(&mut cancelled, now) == now {
                        true => self.pump().await,
                        false => self.cancel().await,
                    }
                }
                () = sleep_until(self.told + PROGRESS), if progress => self.progress().await,
            };
            if done.is_err() {
                return;
            }
        }
    }

    async fn asked(&mut self, request: RequestUnion) -> Result<(), Ended> {
        match request {
            RequestUnion::CreateRequest(create) => {
                let newest = lock(&self.endpoint.shared.store).revision();
                let start = if create.start_revision > 0 { create.start_revision } else { newest + 1 };
                self.watch = Some((create, start));
                self.say(WatchResponse { created: true, ..self.answer() }).await?;
                self.pump().await
            }
            RequestUnion::CancelRequest(_) => {
                self.watch = None;
                self.say(WatchResponse { canceled: true, ..self.answer() }).await
            }
            RequestUnion::ProgressRequest(_) => {
                self.pump().await?;
                self.progress().await
            }
        }
    }

    fn answer(&self) -> WatchResponse {
        WatchResponse { header: self.endpoint.header(), ..WatchResponse::default() }
    }

    async fn say(&mut self, answer: WatchResponse) -> Result<(), Ended> {
        self.endpoint.spoken().await;
        self.told = Instant::now();
        for event in &answer.events {
            if let Some(kv) = &event.kv {
                self.endpoint.shared.note(kv, event.r#type());
            }
        }
        self.to.send(Ok(answer)).await.map_err(|_| Ended)
    }

    /// Tells how far the watch is; it is as far as the store, or it would have been told.
    async fn progress(&mut self) -> Result<(), Ended> {
        if self.watch.is_none() {
            return Ok(());
        }
        let answer = self.answer();
        let behind = answer.header.is_some_and(|header| Some(header.revision) > self.position());
        if behind {
            return self.pump().await;
        }
        self.say(WatchResponse { watch_id: -1, ..answer }).await
    }

    /// The newest revision that was told.
    fn position(&self) -> Option<i64> {
        self.watch.as_ref().map(|(_, next)| next - 1)
    }

    async fn cancel(&mut self) -> Result<(), Ended> {
        if self.watch.take().is_none() {
            return Ok(());
        }
        let compacted = lock(&self.endpoint.shared.store).compacted_revision();
        let reason = "etcdserver: mvcc: required revision has been compacted".into();
        let answer = WatchResponse {
            canceled: true,
            compact_revision: compacted,
            cancel_reason: reason,
            ..self.answer()
        };
        self.say(answer).await
    }

    /// Tells what is new to the watch, with the faults that the endpoint has.
    async fn pump(&mut self) -> Result<(), Ended> {
        let Some((watch, next)) = &self.watch else { return Ok(()) };
        let (from, end, next) = (watch.key.clone(), watch.range_end.clone(), *next);
        let (events, newest) = {
            let store = lock(&self.endpoint.shared.store);
            let events = store.events_since(next).map(|events| events.flatten().cloned().collect::<Vec<_>>());
            (events, store.revision())
        };
        let Ok(events) = events else { return self.cancel().await };
        self.watch.iter_mut().for_each(|(_, next)| *next = (*next).max(newest + 1));
        let wanted = |event: &api::Event| {
            event.kv.as_ref().is_some_and(|kv| super::store::within(&kv.key, (&from, &end)))
        };
        let events: Vec<_> = events.into_iter().filter(wanted).collect();
        if events.is_empty() {
            return Ok(());
        }
        let EtcdFaults { drop_before, drop_after, twice, split, .. } = self.endpoint.faults.borrow().clone();
        let happens = |share| self.endpoint.shared.happens(share);
        let (before, after, twice, split) =
            (happens(drop_before), happens(drop_after), happens(twice), happens(split));
        if before {
            return Err(Ended);
        }
        let answer = WatchResponse { events, ..self.answer() };
        for _ in 0..=usize::from(twice) {
            match split {
                false => self.say(answer.clone()).await?,
                true => {
                    let last = answer.events.len() - 1;
                    for (n, event) in answer.events.iter().enumerate() {
                        let events = vec![event.clone()];
                        self.say(WatchResponse { events, fragment: n < last, ..answer.clone() }).await?;
                    }
                }
            }
        }
        if after { Err(Ended) } else { Ok(()) }
    }
}
