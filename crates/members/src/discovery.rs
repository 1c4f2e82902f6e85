//! Discovery: the whole list at once, then a watch; see `Watch::run`.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use lilacquay_core::{Entry, List, Members, State};
use lilacquay_stream::Stream;
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;
use tracing::warn;

/// How long a watch waits for news, and how much longer the answer may take. Guards against: a discovery
/// that has fallen silent and is believed to have no news for long; what it has to tell counts as told
/// after 6 s, and 4 s after a reload.
const WAIT: Duration = Duration::from_secs(2);
/// The longest that a watch may wait, by the protocol.
const LONGEST: Duration = Duration::from_secs(60);
/// Where discovery is one service that all nodes ask, each waits so long for each node that there is, so that all
/// together call it no more often than a small fleet does.
///
/// Guards against: a service that works through calls in turn and is kept busy by hundreds of watches that are
/// asked anew every other second, so that it turns them all away.
const WAIT_FOR_EACH: Duration = Duration::from_millis(250);
const ANSWER: Duration = Duration::from_secs(1);
/// A failed call is repeated after this time: a watch goes on only if its next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
/// Larger lists are not believed.
const LARGEST: usize = 4 << 20;

/// An answer of discovery.
#[derive(Deserialize, Default, Debug)]
#[serde(from = "Whole")]
pub struct DiscoveryResponse {
    /// A watch goes on from here.
    pub version: u64,
    /// What it tells.
    pub list: List,
    /// Entries that can't be read.
    pub skipped: usize,
}

#[derive(Deserialize)]
struct Whole {
    #[serde(default)]
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<Listed>,
}

/// Guards against: one entry that can't be read, which would void all the others.
#[derive(Deserialize)]
#[serde(untagged)]
enum Listed {
    Server(Server),
    Unreadable(IgnoredAny),
}

/// A server, as discovery words it.
#[derive(Deserialize)]
struct Server {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    state: Word,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum Word {
    Serving,
    Draining,
    Deleted,
}

impl From<Whole> for DiscoveryResponse {
    fn from(told: Whole) -> DiscoveryResponse {
        let listed = told.servers.len();
        let readable = told.servers.into_iter().filter_map(|one| match one {
            Listed::Server(server) => Some(Entry::from(server)),
            Listed::Unreadable(_) => None,
        });
        let servers: Vec<Entry> = readable.collect();
        let skipped = listed - servers.len();
        DiscoveryResponse { version: told.version, list: List { full: told.full, servers }, skipped }
    }
}

impl From<Server> for Entry {
    fn from(server: Server) -> Entry {
        let Server { id, addr, zone, kind, cell, state, weight, started_ms } = server;
        let state = match state {
            Word::Serving => State::Serving,
            Word::Draining => State::Draining,
            Word::Deleted => State::Deleted,
        };
        Entry { id, addr, zone, kind, cell, state, weight, started_ms }
    }
}

/// Follows the list.
pub struct DiscoveryWatcher {
    to: Members,
    after: u64,
    connection: Option<Client>,
    /// How many nodes ask the same service, and whether it is one that is asked at all.
    nodes: watch::Receiver<usize>,
    asked: bool,
    /// Whether the whole list is wanted: nothing is known, or from another address. What has changed since a known
    /// version is less to send, and fails less where discovery is pressed.
    whole: bool,
    /// Whether the next call must wait until it is due.
    held: bool,
    /// Whether entries that can't be read have been spoken of.
    complained: bool,
}

/// A connection to discovery, closed when it is dropped.
struct Client {
    sender: SendRequest<Empty<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

type Error = Box<dyn std::error::Error + Send + Sync>;

impl DiscoveryWatcher {
    /// A watch of one of so many nodes, which may change, that knows a list of this version, if it knows one.
    pub fn new(to: Members, after: Option<u64>, nodes: watch::Receiver<usize>) -> Self {
        let held = to.asked().is_some();
        let whole = after.is_none();
        let (asked, after) = (held, after.unwrap_or(0));
        DiscoveryWatcher { to, after, nodes, asked, connection: None, whole, held, complained: false }
    }

    /// How long it waits for news: so that all nodes together ask no more than one service can answer.
    fn wait(&self) -> Duration {
        if self.asked { wait_among(*self.nodes.borrow()) } else { WAIT }
    }

    /// Fetches the whole list, then watches; goes on until the node ends. A failed call keeps the list. A
    /// new address breaks off what is out at the old one, and is asked for the whole list at once.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let at = *address.borrow_and_update();
            let told = tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    (self.connection, self.whole, self.held) = (None, true, false);
                    continue;
                }
                told = self.call(at) => told,
            };
            let heard = match told {
                Some(list) => self.to.list_at(list, self.after),
                None => self.to.failed(),
            };
            if !heard {
                return;
            }
        }
    }

    /// The next call, when it is due; nothing if it failed. Cancelled, it leaves nothing open.
    async fn call(&mut self, at: SocketAddr) -> Option<List> {
        match self.to.asked() {
            Some(asked) if self.held => asked.notified().await,
            None if self.held => sleep(PAUSE).await,
            _ => {}
        }
        let wait = self.wait();
        let path = match self.whole {
            true => "/discovery/hosts".to_owned(),
            false => format!("/discovery/hosts?after={}&wait_ms={}", self.after, wait.as_millis()),
        };
        let limit = if self.whole { ANSWER } else { wait + ANSWER };
        let told = timeout(limit, self.fetch(at, &path)).await.unwrap_or_else(|late| Err(late.into()));
        self.held = told.is_err();
        match told {
            Ok(told) => {
                (self.whole, self.after) = (false, told.version);
                if told.skipped > 0 && !self.complained {
                    warn!(
                        source = "discovery",
                        skipped = told.skipped,
                        "entries can't be read and are skipped"
                    );
                    self.complained = true;
                }
                Some(told.list)
            }
            Err(error) => {
                warn!(source = "discovery", "{error}");
                None
            }
        }
    }

    async fn fetch(&mut self, at: SocketAddr, path: &str) -> Result<DiscoveryResponse, Error> {
        let mut client = match self.connection.take().filter(|client| !client.sender.is_closed()) {
            Some(client) => client,
            None => timeout(ANSWER, connect(at)).await??,
        };
        client.sender.ready().await?;
        let request = Request::get(path).header(HOST, at.to_string()).body(Empty::<Bytes>::new())?;
        let answer = client.sender.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LARGEST).collect().await?.to_bytes();
        if status != StatusCode::OK {
            return Err(format!("answered {status}").into());
        }
        let told: DiscoveryResponse = serde_json::from_slice(&body)?;
        if told.list.full && told.list.servers.is_empty() && told.skipped > 0 {
            return Err("no entry of the list can be read".into());
        }
        self.connection = Some(client);
        Ok(told)
    }
}

/// How long each of so many nodes waits for news from one service.
fn wait_among(nodes: usize) -> Duration {
    WAIT_FOR_EACH.saturating_mul(u32::try_from(nodes).unwrap_or(u32::MAX)).clamp(WAIT, LONGEST)
}

async fn connect(at: SocketAddr) -> Result<Client, Error> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(Stream::new(stream))).await?;
    let task = tokio::spawn(async move {
        let _ = connection.await; // a break shows in the call that is out
    });
    Ok(Client { sender, _task: AbortOnDropHandle::new(task) })
}
