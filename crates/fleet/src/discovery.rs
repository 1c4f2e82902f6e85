//! A stand-in discovery: serves the list of servers, and long-poll watches for its changes, over HTTP/1.1.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::origin::{accept, http_response};
use crate::record::{Event, Log, ServerState};

/// Longest time that a call waits while others are worked on, before it fails.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of versions back from which a watch gets the changes only; an older one gets the full list.
const VERSIONS_KEPT: u64 = 1000;

/// A server's entry in the list.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerEntry {
    /// Name of the server.
    pub id: Arc<str>,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine; the origin's is `origin`.
    pub kind: String,
    /// Its state.
    pub state: ServerState,
    /// When it started, as Unix time in milliseconds; 0 means long ago.
    pub started_ms: u64,
    /// The list version at which the entry last changed; set by [`Discovery::put`].
    pub version: u64,
}

impl ServerEntry {
    /// An entry for a server in zone `a` that has been in service for long.
    pub fn new(id: &str, addr: SocketAddr, kind: &str) -> Self {
        let (zone, kind) = ("a".into(), kind.into());
        ServerEntry {
            id: id.into(),
            addr,
            zone,
            kind,
            state: ServerState::Serving,
            started_ms: 0,
            version: 0,
        }
    }

    /// The value of the server's key in etcd.
    pub fn etcd_value(&self) -> String {
        let state = if self.state == ServerState::Serving { "serving" } else { "draining" };
        json!({"addr": self.addr.to_string(), "zone": self.zone, "kind": self.kind, "cell": 0, "state": state,
               "weight": 1.0, "started_ms": self.started_ms})
        .to_string()
    }

    fn json(&self) -> serde_json::Value {
        let state = match self.state {
            ServerState::Serving => "SERVING",
            ServerState::Draining => "DRAINING",
            ServerState::Deleted => "DELETED",
        };
        json!({"id": &*self.id, "addr": self.addr.to_string(), "zone": self.zone, "kind": self.kind, "cell": 0,
               "state": state, "weight": 1.0, "started_ms": self.started_ms})
    }
}

/// The list at one version. Removed servers stay in it as `Deleted`, so that watches are told.
#[derive(Debug, Clone, Default)]
struct Listing {
    version: u64,
    servers: Vec<ServerEntry>,
    fault: DiscoveryFault,
}

/// A fault of discovery.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryFault {
    /// No fault.
    #[default]
    None,
    /// Connections are closed at once.
    Down,
    /// Watches and calls are answered with `503 Service Unavailable`.
    Refusing,
    /// Calls are accepted and not answered.
    Silent,
}

/// A running discovery server, which stops when it is dropped.
pub struct Discovery {
    inner: Arc<Inner>,
    /// The address that it listens on.
    pub addr: SocketAddr,
}

struct Inner {
    listing: watch::Sender<Listing>,
    log: Log,
    /// Delay of a change's notification to watches.
    notification_delay: Duration,
    /// Time that a call takes; one is worked on at a time.
    call_time: Duration,
    /// Held by the call that is worked on.
    worker: Mutex<()>,
    stopped: CancellationToken,
}

impl Discovery {
    pub(crate) async fn start(
        notification_delay: Duration,
        call_time: Duration,
        log: Log,
    ) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let stopped = CancellationToken::new();
        let (listing, worker) = (watch::Sender::default(), Mutex::default());
        let inner = Arc::new(Inner { listing, log, notification_delay, call_time, worker, stopped });
        let handler = inner.clone();
        tokio::spawn(accept(listener, inner.stopped.clone(), move |stream| {
            handler.clone().serve_connection(stream)
        }));
        Ok(Discovery { inner, addr })
    }

    /// Adds a server's entry, or replaces it.
    pub fn put(&self, mut server: ServerEntry) {
        self.inner.listing.send_modify(|listing| {
            listing.version += 1;
            server.version = listing.version;
            listing.servers.retain(|other| other.id != server.id);
            listing.servers.push(server);
        });
    }

    /// A server's entry.
    pub fn entry(&self, id: &str) -> Option<ServerEntry> {
        self.inner.listing.borrow().servers.iter().find(|server| &*server.id == id).cloned()
    }

    /// Whether a server of this name is or was in the list.
    pub fn was_listed(&self, id: &str) -> bool {
        self.inner.listing.borrow().servers.iter().any(|server| &*server.id == id)
    }

    /// Replaces its fault.
    pub fn set_fault(&self, fault: DiscoveryFault) {
        self.inner.listing.send_modify(|listing| listing.fault = fault);
    }

    /// The full list in the form that is sent, without removed servers.
    pub fn full_list(&self) -> String {
        let listing = self.inner.listing.borrow();
        self.inner.encode_list(&listing, None)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.inner.stopped.cancel();
    }
}

impl Inner {
    async fn serve_connection(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request: Request<Incoming>| {
            let inner = self.clone();
            async move { Ok::<_, Infallible>(inner.answer(&request).await) }
        });
        let mut listing = self.listing.subscribe();
        tokio::select! {
            () = self.stopped.cancelled() => {}
            _ = listing.wait_for(|listing| listing.fault == DiscoveryFault::Down) => {}
            _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        }
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != "/discovery/hosts" {
            return http_response(StatusCode::NOT_FOUND, String::new());
        }
        let query = request.uri().query().unwrap_or("");
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|pair| pair.0 == name).and_then(|pair| pair.1.parse::<u64>().ok())
        };
        let (after, wait_ms) = (number("after"), number("wait_ms").unwrap_or(0));
        self.log.record(&"discovery".into(), Event::ListRequested { full: after.is_none() });
        let mut listing = self.listing.subscribe();
        if let Some(after) = after {
            let changed = listing
                .wait_for(|listing| listing.version > after || listing.fault == DiscoveryFault::Refusing);
            let _ = timeout(Duration::from_millis(wait_ms), changed).await;
            sleep(self.notification_delay).await;
        }
        let worked = match timeout(QUEUE_TIMEOUT, self.worker.lock()).await {
            Ok(_worker) => {
                sleep(self.call_time).await;
                true
            }
            Err(_) => false,
        };
        let _ = listing.wait_for(|listing| listing.fault != DiscoveryFault::Silent).await;
        let listing = listing.borrow().clone();
        if matches!(listing.fault, DiscoveryFault::Down | DiscoveryFault::Refusing) || !worked {
            return http_response(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let after =
            after.filter(|&after| after <= listing.version && after + VERSIONS_KEPT > listing.version);
        for server in listing.servers.iter().filter(|server| after.is_none_or(|after| server.version > after))
        {
            self.log.record(&server.id, Event::StateSent(server.state));
        }
        http_response(StatusCode::OK, self.encode_list(&listing, after))
    }

    /// Encodes the changes after a version, or the full list.
    fn encode_list(&self, listing: &Listing, after: Option<u64>) -> String {
        let is_included = |server: &&ServerEntry| match after {
            Some(after) => server.version > after,
            None => server.state != ServerState::Deleted,
        };
        let servers: Vec<_> = listing.servers.iter().filter(is_included).map(ServerEntry::json).collect();
        json!({"version": listing.version, "full": after.is_none(), "servers": servers}).to_string()
    }
}
