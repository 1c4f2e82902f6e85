//! The endpoints of the stand-in: etcd's KV, watch, lease and auth services over gRPC, on one store.
//!
//! Each endpoint has its own faults. What callers are told about servers is recorded in a [`Log`].

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
use lilacquay_etcd::api::response_op::Response as OpResponse;
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
use crate::record::{Event, Log, ServerState};

/// How long a watch that asked for progress notifications is idle before it gets one. etcd's own default is ten minutes.
const PROGRESS_NOTIFY_INTERVAL: Duration = Duration::from_secs(1);
/// How often leases are checked for expiry.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How many responses of a stream may wait for a slow reader.
const RESPONSE_QUEUE_CAPACITY: usize = 16;

/// The faults of one endpoint; none by default. Fractions are of a watch's responses with events, from 0 to 1.
#[derive(Debug, Clone, PartialEq, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EtcdFaults {
    /// New connections are refused and existing ones are closed.
    pub refuse: bool,
    /// Connections stay open, but nothing is answered.
    pub silent: bool,
    /// The additional delay of each response, in milliseconds.
    pub late_ms: u64,
    /// Range responses are this many revisions old, with the header of that revision, as from a stale member.
    pub behind: i64,
    /// The fraction of responses in place of which the stream breaks.
    pub drop_before: f64,
    /// The fraction of responses after which the stream breaks.
    pub drop_after: f64,
    /// The fraction of responses that are sent twice.
    pub twice: f64,
    /// The fraction of responses that are sent in fragments of one event each.
    pub split: f64,
}

/// The configuration of a stand-in etcd.
#[derive(Clone, Default)]
pub struct EtcdPlan {
    /// The number of endpoints.
    pub endpoints: usize,
    /// Keys with this prefix are servers; each state that a caller is told is recorded.
    pub prefix: String,
    /// The user name and password that callers must authenticate with, if any.
    pub user: Option<(String, String)>,
    /// The TLS configuration, which must offer `h2`; without it connections are plain.
    pub tls: Option<Arc<ServerConfig>>,
    /// Seeds all random choices.
    pub seed: u64,
}

/// A running stand-in etcd. Dropping it stops all endpoints.
pub struct Etcd {
    shared: Arc<Shared>,
    faults: Vec<watch::Sender<EtcdFaults>>,
    /// The addresses at which the endpoints listen.
    pub endpoints: Vec<SocketAddr>,
}

/// The state that all endpoints share.
struct Shared {
    store: Mutex<Store>,
    /// The newest revision, and how often all watches have been cancelled.
    updates: watch::Sender<(i64, u64)>,
    prefix: Vec<u8>,
    /// The ids of all servers that any caller was ever told about.
    known_ids: Mutex<BTreeSet<String>>,
    log: Log,
    rng: Mutex<fastrand::Rng>,
    /// The user name and password that callers must authenticate with, if any.
    user: Option<(String, String)>,
    shutdown: CancellationToken,
}

/// The token that an authenticated user gets.
const AUTH_TOKEN: &str = "stand-in.1";

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl From<StoreError> for Status {
    fn from(error: StoreError) -> Self {
        match error {
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
    /// Starts the endpoints on the runtime of the caller.
    ///
    /// # Errors
    /// If a socket can't be opened.
    pub async fn start(plan: EtcdPlan, log: Log) -> io::Result<Etcd> {
        let EtcdPlan { endpoints, prefix, user, tls, seed } = plan;
        let tls = tls.map(TlsAcceptor::from);
        let store = Store::new(0x5eed ^ seed);
        let shared = Arc::new(Shared {
            updates: watch::Sender::new((store.revision(), 0)),
            store: Mutex::new(store),
            prefix: prefix.into_bytes(),
            known_ids: Mutex::default(),
            log,
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            user,
            shutdown: CancellationToken::new(),
        });
        let mut etcd = Etcd { shared: shared.clone(), faults: Vec::new(), endpoints: Vec::new() };
        for _ in 0..endpoints {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            etcd.endpoints.push(listener.local_addr()?);
            let faults = watch::Sender::default();
            let (shared, subscription) = (shared.clone(), faults.subscribe());
            let endpoint = Endpoint { shared, faults: subscription, tls: tls.clone() };
            etcd.faults.push(faults);
            tokio::spawn(endpoint.accept(listener));
        }
        tokio::spawn(async move {
            while !shared.shutdown.is_cancelled() {
                sleep(LEASE_CHECK_INTERVAL).await;
                let now = shared.log.clock().now();
                shared.with_store(|store| store.expire_leases(now));
            }
        });
        Ok(etcd)
    }

    /// Runs `work` on the store; watches are told of the changes.
    pub fn with_store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        self.shared.with_store(work)
    }

    /// Writes the value of a server, without a lease.
    pub fn put(&self, id: &str, value: &str) {
        let key = self.key(id);
        self.with_store(|store| store.put(&key, value.as_bytes(), 0))
            .expect("a put without a lease succeeds");
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

    /// Compacts the store up to the newest revision, and cancels each watch with `compact_revision`, as if it had fallen
    /// behind.
    pub fn compact(&self) {
        self.with_store(|store| {
            let newest = store.revision();
            let _ = store.compact(newest); // may be compacted already
        });
        self.shared.updates.send_modify(|(_, cancellations)| *cancellations += 1);
    }

    /// Replaces the faults of one endpoint; they apply to all responses from now on.
    pub fn set_faults(&self, endpoint: usize, faults: EtcdFaults) {
        self.faults[endpoint].send_replace(faults);
    }

    /// Replaces the faults of all endpoints.
    pub fn set_all_faults(&self, faults: &EtcdFaults) {
        (0..self.faults.len()).for_each(|endpoint| self.set_faults(endpoint, faults.clone()));
    }

    /// A copy of the store, for [`Etcd::restore`].
    pub fn backup(&self) -> Store {
        lock(&self.shared.store).clone()
    }

    /// Restores a backup of the store. The endpoints should be down meanwhile, as those of a real etcd are.
    pub fn restore(&self, backup: Store) {
        self.with_store(|store| *store = backup);
    }
}

impl Drop for Etcd {
    fn drop(&mut self) {
        self.shared.shutdown.cancel();
    }
}

impl Shared {
    fn with_store<T>(&self, work: impl FnOnce(&mut Store) -> T) -> T {
        let mut store = lock(&self.store);
        let result = work(&mut store);
        let newest = store.revision();
        drop(store);
        self.updates.send_if_modified(|(revision, _)| std::mem::replace(revision, newest) != newest);
        result
    }

    fn now(&self) -> Micros {
        self.log.clock().now()
    }

    /// Draws whether a fault with this probability occurs.
    fn draw(&self, probability: f64) -> bool {
        probability > 0.0 && lock(&self.rng).f64() < probability
    }

    /// The id of the server that a key stands for, if it has the prefix.
    fn server_id(&self, kv: &KeyValue) -> Option<String> {
        Some(String::from_utf8_lossy(kv.key.strip_prefix(&*self.prefix)?).into_owned())
    }

    /// Records that a caller is told the state of the server in this entry.
    fn record_told(&self, kv: &KeyValue, kind: EventType) {
        let Some(id) = self.server_id(kv) else { return };
        let told = match kind {
            EventType::Delete => ServerState::Deleted,
            EventType::Put if contains(&kv.value, b"draining") => ServerState::Draining,
            EventType::Put => ServerState::Serving,
        };
        self.log.record(&id.as_str().into(), Event::StateSent(told));
        lock(&self.known_ids).insert(id);
    }

    /// Records a page of a list; with the last page, also records the known servers that are no longer listed as deleted.
    fn record_page(&self, page: &RangeResponse) {
        page.kvs.iter().for_each(|kv| self.record_told(kv, EventType::Put));
        if !page.more {
            let gone =
                |id: &&String| lock(&self.store).get(&[&self.prefix, id.as_bytes()].concat()).is_none();
            for id in lock(&self.known_ids).iter().filter(gone) {
                self.log.record(&id.as_str().into(), Event::StateSent(ServerState::Deleted));
            }
        }
    }
}

fn contains(text: &[u8], word: &[u8]) -> bool {
    text.windows(word.len()).any(|window| window == word)
}

/// One endpoint; a clone serves each connection.
#[derive(Clone)]
struct Endpoint {
    shared: Arc<Shared>,
    faults: watch::Receiver<EtcdFaults>,
    tls: Option<TlsAcceptor>,
}

/// Serves HTTP/2 on a connection until it ends; closes it if the TLS handshake fails.
async fn serve_http2(stream: TcpStream, tls: Option<TlsAcceptor>, routes: Routes) {
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

type RpcResult<T> = Result<Response<T>, Status>;
type ResponseStream<T> = ReceiverStream<Result<T, Status>>;

impl Endpoint {
    /// Accepts connections until shutdown. While connections are refused it has no listening socket.
    async fn accept(mut self, listener: TcpListener) {
        let Ok(addr) = listener.local_addr() else { return };
        let mut listener = Some(listener);
        let shutdown = self.shared.shutdown.clone();
        loop {
            let refuse = self.faults.borrow_and_update().refuse;
            if refuse {
                listener = None; // closes the socket: new connections are refused
            } else if listener.is_none() {
                listener = TcpListener::bind(addr).await.ok();
            }
            tokio::select! {
                () = shutdown.cancelled() => return,
                _ = self.faults.changed() => {}
                () = sleep(Duration::from_millis(5)), if listener.is_none() && !refuse => {} // retry of a failed bind
                accepted = crate::cache::accept_if_listening(listener.as_ref()) => if let Ok(stream) = accepted {
                    tokio::spawn(self.clone().serve_connection(stream));
                },
            }
        }
    }

    async fn serve_connection(self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (shutdown, mut faults, tls) =
            (self.shared.shutdown.clone(), self.faults.clone(), self.tls.clone());
        let routes = Routes::new(kv_server::KvServer::new(self.clone()))
            .add_service(watch_server::WatchServer::new(self.clone()))
            .add_service(lease_server::LeaseServer::new(self.clone()))
            .add_service(auth_server::AuthServer::new(self));
        tokio::select! {
            () = shutdown.cancelled() => {}
            _ = faults.wait_for(|faults| faults.refuse) => {}
            () = serve_http2(stream, tls, routes) => {}
        }
    }

    /// Checks the caller's token, then waits as long as the faults delay the response.
    ///
    /// # Errors
    /// If a user is configured and the token is missing or wrong.
    async fn admit<T>(&self, request: &Request<T>) -> Result<(), Status> {
        if self.shared.user.is_some()
            && request.metadata().get("token").is_none_or(|token| token != AUTH_TOKEN)
        {
            return Err(Status::unauthenticated("etcdserver: invalid auth token"));
        }
        self.delay_response().await;
        Ok(())
    }

    /// Waits as long as the endpoint's faults delay a response: until it is no longer silent, then for `late_ms`.
    async fn delay_response(&self) {
        let mut faults = self.faults.clone();
        let late_ms = match faults.wait_for(|faults| !faults.silent).await {
            Ok(faults) => faults.late_ms,
            Err(_) => return,
        };
        if late_ms > 0 {
            sleep(Duration::from_millis(late_ms)).await;
        }
    }

    /// Runs `work` on the store, and turns its error into a status.
    fn update<T>(&self, work: impl FnOnce(&mut Store) -> Result<T, StoreError>) -> Result<T, Status> {
        Ok(self.shared.with_store(work)?)
    }

    fn header(&self) -> Option<api::ResponseHeader> {
        Some(lock(&self.shared.store).header())
    }
}

#[tonic::async_trait]
impl kv_server::Kv for Endpoint {
    async fn range(&self, request: Request<RangeRequest>) -> RpcResult<RangeResponse> {
        self.admit(&request).await?;
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
            self.shared.record_page(&page);
        }
        Ok(Response::new(page))
    }

    async fn put(&self, request: Request<PutRequest>) -> RpcResult<PutResponse> {
        self.admit(&request).await?;
        let PutRequest { key, value, lease, ignore_lease } = request.into_inner();
        let lease = (!ignore_lease).then_some(lease);
        self.update(|store| store.apply(&[Change::Put { key: &key, value: &value, lease }]))?;
        Ok(Response::new(PutResponse { header: self.header() }))
    }

    async fn delete_range(&self, request: Request<DeleteRangeRequest>) -> RpcResult<DeleteRangeResponse> {
        self.admit(&request).await?;
        let DeleteRangeRequest { key, range_end } = request.into_inner();
        let deleted = self.update(|store| {
            let count = store.range((&key, &range_end), 0, 0)?.count;
            store.apply(&[Change::Delete((&key, &range_end))]).map(|_| count)
        })?;
        Ok(Response::new(DeleteRangeResponse { header: self.header(), deleted }))
    }

    async fn txn(&self, request: Request<TxnRequest>) -> RpcResult<TxnResponse> {
        self.admit(&request).await?;
        let TxnRequest { compare, success, failure } = request.into_inner();
        let (succeeded, ops) = self.update(|store| {
            let succeeded = store.comparisons_hold(&compare);
            let ops = if succeeded { success } else { failure };
            store.txn(&ops).map(|_| (succeeded, ops))
        })?;
        let responses = ops.iter().map(|op| self.op_response(op)).collect();
        Ok(Response::new(TxnResponse { header: self.header(), succeeded, responses }))
    }

    async fn compact(&self, request: Request<CompactionRequest>) -> RpcResult<CompactionResponse> {
        self.admit(&request).await?;
        let revision = request.into_inner().revision;
        self.update(|store| store.compact(revision))?;
        Ok(Response::new(CompactionResponse { header: self.header() }))
    }
}

impl Endpoint {
    fn op_response(&self, op: &RequestOp) -> ResponseOp {
        let header = self.header();
        let response = op.request.as_ref().map(|op| match op {
            Op::RequestRange(range) => {
                let found = lock(&self.shared.store).range((&range.key, &range.range_end), 0, range.limit);
                OpResponse::ResponseRange(found.unwrap_or_default())
            }
            Op::RequestPut(_) => OpResponse::ResponsePut(PutResponse { header }),
            Op::RequestDeleteRange(_) => {
                OpResponse::ResponseDeleteRange(DeleteRangeResponse { header, deleted: 1 })
            }
        });
        ResponseOp { response }
    }
}

#[tonic::async_trait]
impl lease_server::Lease for Endpoint {
    type LeaseKeepAliveStream = ResponseStream<LeaseKeepAliveResponse>;

    async fn lease_grant(&self, request: Request<LeaseGrantRequest>) -> RpcResult<LeaseGrantResponse> {
        self.admit(&request).await?;
        let (now, ttl) = (self.shared.now(), request.into_inner().ttl);
        let id = self.shared.with_store(|store| store.grant_lease(now, ttl.max(0) as Micros * 1_000_000));
        Ok(Response::new(LeaseGrantResponse { header: self.header(), id, ttl, error: String::new() }))
    }

    async fn lease_revoke(&self, request: Request<LeaseRevokeRequest>) -> RpcResult<LeaseRevokeResponse> {
        self.admit(&request).await?;
        let id = request.into_inner().id;
        self.update(|store| store.revoke_lease(id))?;
        Ok(Response::new(LeaseRevokeResponse { header: self.header() }))
    }

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> RpcResult<Self::LeaseKeepAliveStream> {
        self.admit(&request).await?;
        let (mut requests, endpoint) = (request.into_inner(), self.clone());
        let (sender, responses) = mpsc::channel(RESPONSE_QUEUE_CAPACITY);
        tokio::spawn(async move {
            while let Ok(Some(LeaseKeepAliveRequest { id })) = requests.message().await {
                endpoint.delay_response().await;
                let now = endpoint.shared.now();
                let renewed = endpoint.shared.with_store(|store| store.renew_lease(now, id));
                let ttl = renewed.map_or(0, |ttl| (ttl / 1_000_000) as i64);
                let response = LeaseKeepAliveResponse { header: endpoint.header(), id, ttl };
                if sender.send(Ok(response)).await.is_err() {
                    return;
                }
            }
        });
        Ok(Response::new(ReceiverStream::new(responses)))
    }
}

#[tonic::async_trait]
impl auth_server::Auth for Endpoint {
    async fn authenticate(&self, request: Request<AuthenticateRequest>) -> RpcResult<AuthenticateResponse> {
        let AuthenticateRequest { name, password } = request.into_inner();
        if self.shared.user.as_ref().is_some_and(|user| *user != (name, password)) {
            return Err(Status::invalid_argument(
                "etcdserver: authentication failed, invalid user ID or password",
            ));
        }
        Ok(Response::new(AuthenticateResponse { header: self.header(), token: AUTH_TOKEN.into() }))
    }
}

#[tonic::async_trait]
impl watch_server::Watch for Endpoint {
    type WatchStream = ResponseStream<WatchResponse>;

    async fn watch(&self, request: Request<Streaming<WatchRequest>>) -> RpcResult<Self::WatchStream> {
        self.admit(&request).await?;
        let (sender, responses) = mpsc::channel(RESPONSE_QUEUE_CAPACITY);
        let session = WatchSession {
            endpoint: self.clone(),
            updates: self.shared.updates.subscribe(),
            sender,
            watch: None,
            last_sent_at: Instant::now(),
        };
        tokio::spawn(session.run(request.into_inner()));
        Ok(Response::new(ReceiverStream::new(responses)))
    }
}

/// The stream has ended: its reader is gone, or a fault broke it.
struct StreamEnded;

/// A watch stream. It has at most one watch, which is all that the follower in lilacquay-members needs.
struct WatchSession {
    endpoint: Endpoint,
    updates: watch::Receiver<(i64, u64)>,
    sender: mpsc::Sender<Result<WatchResponse, Status>>,
    /// The watch, and the next revision that it is to be told.
    watch: Option<(WatchCreateRequest, i64)>,
    last_sent_at: Instant,
}

impl WatchSession {
    async fn run(mut self, mut requests: Streaming<WatchRequest>) {
        let mut cancellations = self.updates.borrow().1;
        loop {
            let progress = self.watch.as_ref().is_some_and(|(watch, _)| watch.progress_notify);
            let result = tokio::select! {
                () = self.sender.closed() => return,
                message = requests.message() => match message {
                    Ok(Some(WatchRequest { request_union: Some(request) })) => self.handle_request(request).await,
                    _ => return,
                },
                Ok(()) = self.updates.changed() => {
                    let now = self.updates.borrow_and_update().1;
                    match std::mem::replace(&mut cancellations, now) == now {
                        true => self.send_events().await,
                        false => self.cancel_compacted().await,
                    }
                }
                () = sleep_until(self.last_sent_at + PROGRESS_NOTIFY_INTERVAL), if progress => self.send_progress().await,
            };
            if result.is_err() {
                return;
            }
        }
    }

    async fn handle_request(&mut self, request: RequestUnion) -> Result<(), StreamEnded> {
        match request {
            RequestUnion::CreateRequest(create) => {
                let newest = lock(&self.endpoint.shared.store).revision();
                let start = if create.start_revision > 0 { create.start_revision } else { newest + 1 };
                self.watch = Some((create, start));
                self.send(WatchResponse { created: true, ..self.response() }).await?;
                self.send_events().await
            }
            RequestUnion::CancelRequest(_) => {
                self.watch = None;
                self.send(WatchResponse { canceled: true, ..self.response() }).await
            }
            RequestUnion::ProgressRequest(_) => {
                self.send_events().await?;
                self.send_progress().await
            }
        }
    }

    /// An empty response with the newest revision in its header.
    fn response(&self) -> WatchResponse {
        WatchResponse { header: self.endpoint.header(), ..WatchResponse::default() }
    }

    /// Sends a response after the delay that the faults demand, and records the server states in it.
    async fn send(&mut self, response: WatchResponse) -> Result<(), StreamEnded> {
        self.endpoint.delay_response().await;
        self.last_sent_at = Instant::now();
        for event in &response.events {
            if let Some(kv) = &event.kv {
                self.endpoint.shared.record_told(kv, event.r#type());
            }
        }
        self.sender.send(Ok(response)).await.map_err(|_| StreamEnded)
    }

    /// Sends a progress notification. If the store has newer events they are sent instead, as progress means that the watch
    /// has been told all events up to the revision in the header.
    async fn send_progress(&mut self) -> Result<(), StreamEnded> {
        if self.watch.is_none() {
            return Ok(());
        }
        let response = self.response();
        let is_behind =
            response.header.is_some_and(|header| Some(header.revision) > self.last_sent_revision());
        if is_behind {
            return self.send_events().await;
        }
        self.send(WatchResponse { watch_id: -1, ..response }).await
    }

    /// The newest revision that the watch has been told.
    fn last_sent_revision(&self) -> Option<i64> {
        self.watch.as_ref().map(|(_, next)| next - 1)
    }

    /// Cancels the watch because its next revision has been compacted.
    async fn cancel_compacted(&mut self) -> Result<(), StreamEnded> {
        if self.watch.take().is_none() {
            return Ok(());
        }
        let compacted = lock(&self.endpoint.shared.store).compacted_revision();
        let reason = "etcdserver: mvcc: required revision has been compacted".into();
        let response = WatchResponse {
            canceled: true,
            compact_revision: compacted,
            cancel_reason: reason,
            ..self.response()
        };
        self.send(response).await
    }

    /// Sends the events that are new to the watch, subject to the faults of the endpoint.
    async fn send_events(&mut self) -> Result<(), StreamEnded> {
        let Some((watch, next)) = &self.watch else { return Ok(()) };
        let (from, end, next) = (watch.key.clone(), watch.range_end.clone(), *next);
        let (events, newest) = {
            let store = lock(&self.endpoint.shared.store);
            let events = store.events_since(next).map(|events| events.flatten().cloned().collect::<Vec<_>>());
            (events, store.revision())
        };
        let Ok(events) = events else { return self.cancel_compacted().await };
        self.watch.iter_mut().for_each(|(_, next)| *next = (*next).max(newest + 1));
        let wanted = |event: &api::Event| {
            event.kv.as_ref().is_some_and(|kv| super::store::is_in_range(&kv.key, (&from, &end)))
        };
        let events: Vec<_> = events.into_iter().filter(wanted).collect();
        if events.is_empty() {
            return Ok(());
        }
        let EtcdFaults { drop_before, drop_after, twice, split, .. } = self.endpoint.faults.borrow().clone();
        let draw = |probability| self.endpoint.shared.draw(probability);
        let (before, after, twice, split) = (draw(drop_before), draw(drop_after), draw(twice), draw(split));
        if before {
            return Err(StreamEnded);
        }
        let response = WatchResponse { events, ..self.response() };
        for _ in 0..=usize::from(twice) {
            match split {
                false => self.send(response.clone()).await?,
                true => {
                    let last = response.events.len() - 1;
                    for (n, event) in response.events.iter().enumerate() {
                        let events = vec![event.clone()];
                        self.send(WatchResponse { events, fragment: n < last, ..response.clone() }).await?;
                    }
                }
            }
        }
        if after { Err(StreamEnded) } else { Ok(()) }
    }
}
