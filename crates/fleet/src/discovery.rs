//! Discovery: the list of servers and the watch on it, over HTTP/1.1.

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

use crate::origin::{accept, text};
use crate::record::{Event, Log, ServerState};

/// A call that has waited so long for its turn fails.
const PATIENCE: Duration = Duration::from_secs(1);
/// A watch that knows less than so many versions ago gets the whole list.
const REMEMBERED: u64 = 1000;

/// A server as discovery lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Listed {
    /// Its name.
    pub id: Arc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind; the origin's is `origin`.
    pub kind: String,
    /// Its state.
    pub state: ServerState,
    /// When it started, Unix time in milliseconds; 0 is long ago.
    pub started_ms: u64,
    /// The version in which it changed last; set when it is put.
    pub version: u64,
}

impl Listed {
    /// A server in service in zone `a` since long ago.
    pub fn new(id: &str, addr: SocketAddr, kind: &str) -> Self {
        let (zone, kind) = ("a".into(), kind.into());
        Listed { id: id.into(), addr, zone, kind, state: ServerState::Serving, started_ms: 0, version: 0 }
    }

    /// The value of its key in etcd.
    pub fn value(&self) -> String {
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

/// The list at one version. Servers that are gone stay in it as `Deleted`, for the watches.
#[derive(Debug, Clone, Default)]
struct Listing {
    version: u64,
    servers: Vec<Listed>,
    trouble: DiscoveryFault,
}

/// What is wrong with discovery.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DiscoveryFault {
    /// Nothing.
    #[default]
    None,
    /// Connections are closed at once.
    Down,
    /// Watches end and calls fail, by an answer that says so.
    Refusing,
    /// It takes calls and answers none.
    Silent,
}

/// A running discovery.
pub struct Discovery {
    inner: Arc<Inner>,
    /// Where it listens.
    pub addr: SocketAddr,
}

struct Inner {
    listing: watch::Sender<Listing>,
    log: Log,
    /// News reaches nodes so much later.
    delay: Duration,
    /// One call is worked on at a time, for so long.
    work: Duration,
    turns: Mutex<()>,
    ended: CancellationToken,
}

impl Discovery {
    pub(crate) async fn start(delay: Duration, work: Duration, log: Log) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        let ended = CancellationToken::new();
        let (listing, turns) = (watch::Sender::default(), Mutex::default());
        let inner = Arc::new(Inner { listing, log, delay, work, turns, ended });
        let attended = inner.clone();
        tokio::spawn(accept(listener, inner.ended.clone(), move |stream| attended.clone().attend(stream)));
        Ok(Discovery { inner, addr })
    }

    /// Lists a server, or changes its entry.
    pub fn put(&self, mut server: Listed) {
        self.inner.listing.send_modify(|listing| {
            listing.version += 1;
            server.version = listing.version;
            listing.servers.retain(|other| other.id != server.id);
            listing.servers.push(server);
        });
    }

    /// A server's entry.
    pub fn listed(&self, id: &str) -> Option<Listed> {
        self.inner.listing.borrow().servers.iter().find(|server| &*server.id == id).cloned()
    }

    /// Whether a server of this name is listed, or was.
    pub fn has_listed(&self, id: &str) -> bool {
        self.inner.listing.borrow().servers.iter().any(|server| &*server.id == id)
    }

    /// What is wrong with it from now on.
    pub fn set_trouble(&self, trouble: DiscoveryFault) {
        self.inner.listing.send_modify(|listing| listing.trouble = trouble);
    }

    /// The whole list as it is told, without what is gone.
    pub fn whole(&self) -> String {
        let listing = self.inner.listing.borrow();
        self.inner.word(&listing, None)
    }
}

impl Drop for Discovery {
    fn drop(&mut self) {
        self.inner.ended.cancel();
    }
}

impl Inner {
    async fn attend(self: Arc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request: Request<Incoming>| {
            let inner = self.clone();
            async move { Ok::<_, Infallible>(inner.answer(&request).await) }
        });
        let mut listing = self.listing.subscribe();
        tokio::select! {
            () = self.ended.cancelled() => {}
            _ = listing.wait_for(|listing| listing.trouble == DiscoveryFault::Down) => {}
            _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
        }
    }

    async fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() != "/discovery/hosts" {
            return text(StatusCode::NOT_FOUND, String::new());
        }
        let query = request.uri().query().unwrap_or("");
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|pair| pair.0 == name).and_then(|pair| pair.1.parse::<u64>().ok())
        };
        let (after, wait) = (number("after"), number("wait_ms").unwrap_or(0));
        self.log.record(&"discovery".into(), Event::ListRequested { whole: after.is_none() });
        let mut listing = self.listing.subscribe();
        if let Some(after) = after {
            let newer = listing
                .wait_for(|listing| listing.version > after || listing.trouble == DiscoveryFault::Refusing);
            let _ = timeout(Duration::from_millis(wait), newer).await;
            sleep(self.delay).await;
        }
        let served = match timeout(PATIENCE, self.turns.lock()).await {
            Ok(_turn) => {
                sleep(self.work).await;
                true
            }
            Err(_) => false,
        };
        let _ = listing.wait_for(|listing| listing.trouble != DiscoveryFault::Silent).await;
        let listing = listing.borrow().clone();
        if matches!(listing.trouble, DiscoveryFault::Down | DiscoveryFault::Refusing) || !served {
            return text(StatusCode::SERVICE_UNAVAILABLE, String::new());
        }
        let after = after.filter(|&after| after <= listing.version && after + REMEMBERED > listing.version);
        for server in listing.servers.iter().filter(|server| after.is_none_or(|after| server.version > after))
        {
            self.log.record(&server.id, Event::StateSent(server.state));
        }
        text(StatusCode::OK, self.word(&listing, after))
    }

    /// What has changed after a version, or the whole list.
    fn word(&self, listing: &Listing, after: Option<u64>) -> String {
        let wanted = |server: &&Listed| match after {
            Some(after) => server.version > after,
            None => server.state != ServerState::Deleted,
        };
        let servers: Vec<_> = listing.servers.iter().filter(wanted).map(Listed::json).collect();
        json!({"version": listing.version, "full": after.is_none(), "servers": servers}).to_string()
    }
}
