//! The server list from an HTTP discovery service: the full list first, then its changes by long polling. See
//! [`DiscoveryWatcher::run`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use lilacquay_core::{MembershipHandle, ServerEntry, ServerList, ServerState};
use lilacquay_stream::Stream;
use serde::Deserialize;
use serde::de::IgnoredAny;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;
use tracing::warn;

/// How long a poll waits for changes by default. Together with [`RESPONSE_TIMEOUT`] it bounds how long a discovery
/// service that no longer answers is mistaken for one without changes: a node must know a change 6 s after it was
/// made, and 4 s after a reload.
const POLL_WAIT: Duration = Duration::from_secs(2);
/// The longest wait that the protocol allows a poll.
const MAX_POLL_WAIT: Duration = Duration::from_secs(60);
/// Poll wait per node where all nodes poll one discovery service, so that together they call it no more often than a
/// small fleet does. A service that processes calls one by one would otherwise be kept busy by hundreds of polls
/// repeated every 2 s, and would reject them all.
const POLL_WAIT_PER_NODE: Duration = Duration::from_millis(250);
/// Timeout of a response, on top of the poll wait, and of establishing a connection.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a failed call is repeated: a watch continues only if its next call arrives within 200 ms.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum size of a response in bytes; larger ones are rejected.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A response of the discovery service.
#[derive(Deserialize, Default, Debug)]
#[serde(from = "ResponseBody")]
pub struct DiscoveryResponse {
    /// Version of the list, from which a watch continues.
    pub version: u64,
    /// The full list, or the changes to it.
    pub list: ServerList,
    /// Number of entries that could not be parsed.
    pub skipped: usize,
}

#[derive(Deserialize)]
struct ResponseBody {
    #[serde(default)]
    version: u64,
    #[serde(default)]
    full: bool,
    #[serde(default)]
    servers: Vec<ListedEntry>,
}

/// An entry of the list. Entries are parsed one by one, so that a malformed entry does not make the others unusable.
#[derive(Deserialize)]
#[serde(untagged)]
enum ListedEntry {
    Server(Server),
    Malformed(IgnoredAny),
}

/// A server in the JSON format of the discovery service.
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
    state: ReportedState,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    started_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum ReportedState {
    Serving,
    Draining,
    Deleted,
}

impl From<ResponseBody> for DiscoveryResponse {
    fn from(body: ResponseBody) -> DiscoveryResponse {
        let listed = body.servers.len();
        let well_formed = body.servers.into_iter().filter_map(|entry| match entry {
            ListedEntry::Server(server) => Some(ServerEntry::from(server)),
            ListedEntry::Malformed(_) => None,
        });
        let servers: Vec<ServerEntry> = well_formed.collect();
        let skipped = listed - servers.len();
        DiscoveryResponse { version: body.version, list: ServerList { full: body.full, servers }, skipped }
    }
}

impl From<Server> for ServerEntry {
    fn from(server: Server) -> ServerEntry {
        let Server { id, addr, zone, kind, cell, state, weight, started_ms } = server;
        let state = match state {
            ReportedState::Serving => ServerState::Serving,
            ReportedState::Draining => ServerState::Draining,
            ReportedState::Deleted => ServerState::Deleted,
        };
        ServerEntry { id, addr, zone, kind, cell, state, weight, started_ms }
    }
}

/// Follows the list of a discovery service and reports it to the core.
pub struct DiscoveryWatcher {
    members: MembershipHandle,
    /// Version of the list that is known.
    known_version: u64,
    connection: Option<Connection>,
    /// Number of nodes that poll the same service.
    nodes: watch::Receiver<usize>,
    /// Whether the core requests each subscription, as it does where all nodes poll one discovery service.
    is_shared_service: bool,
    /// Whether to fetch the full list, because no list is known or it came from another address. Otherwise only the
    /// changes since the known version are fetched, which is less to send and fails less often on an overloaded service.
    needs_full_list: bool,
    /// Whether the next call must wait: for a request of the core, or else for the retry delay.
    is_next_call_delayed: bool,
    /// Whether malformed entries have been logged.
    malformed_logged: bool,
}

/// An HTTP connection to the discovery service, closed on drop.
struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

type Error = Box<dyn std::error::Error + Send + Sync>;

impl DiscoveryWatcher {
    /// Creates a watcher. `known_version` is the version of the list that the core has, if any; `nodes` is the current
    /// number of nodes that poll the service.
    pub fn new(members: MembershipHandle, known_version: Option<u64>, nodes: watch::Receiver<usize>) -> Self {
        let is_shared_service = members.subscribe_signal().is_some();
        DiscoveryWatcher {
            needs_full_list: known_version.is_none(),
            known_version: known_version.unwrap_or(0),
            members,
            nodes,
            is_shared_service,
            connection: None,
            is_next_call_delayed: is_shared_service,
            malformed_logged: false,
        }
    }

    /// How long a poll waits for changes, chosen so that all nodes together don't overload a shared service.
    fn poll_wait(&self) -> Duration {
        if self.is_shared_service { poll_wait_for_nodes(*self.nodes.borrow()) } else { POLL_WAIT }
    }

    /// Fetches the full list, then polls for changes until the core has ended. A failed call leaves the list as it is. A
    /// new address cancels the call at the old one and is asked for the full list at once.
    pub async fn run(mut self, mut address: watch::Receiver<SocketAddr>) {
        loop {
            let current_address = *address.borrow_and_update();
            let result = tokio::select! {
                biased;
                Ok(()) = address.changed() => {
                    (self.connection, self.needs_full_list, self.is_next_call_delayed) = (None, true, false);
                    continue;
                }
                result = self.call(current_address) => result,
            };
            let core_is_running = match result {
                Some(list) => self.members.update_list_at_version(list, self.known_version),
                None => self.members.report_failure(),
            };
            if !core_is_running {
                return;
            }
        }
    }

    /// Makes the next call when it is due; `None` if it failed. If cancelled, it leaves no call open.
    async fn call(&mut self, address: SocketAddr) -> Option<ServerList> {
        match self.members.subscribe_signal() {
            Some(subscribe) if self.is_next_call_delayed => subscribe.notified().await,
            None if self.is_next_call_delayed => sleep(RETRY_DELAY).await,
            _ => {}
        }
        let poll_wait = self.poll_wait();
        let path = match self.needs_full_list {
            true => "/discovery/hosts".to_owned(),
            false => {
                format!("/discovery/hosts?after={}&wait_ms={}", self.known_version, poll_wait.as_millis())
            }
        };
        let call_timeout = if self.needs_full_list { RESPONSE_TIMEOUT } else { poll_wait + RESPONSE_TIMEOUT };
        let result = timeout(call_timeout, self.fetch(address, &path)).await;
        let result = result.unwrap_or_else(|elapsed| Err(elapsed.into()));
        self.is_next_call_delayed = result.is_err();
        match result {
            Ok(response) => {
                (self.needs_full_list, self.known_version) = (false, response.version);
                if response.skipped > 0 && !self.malformed_logged {
                    warn!(
                        source = "discovery",
                        skipped = response.skipped,
                        "skipping malformed entries of the server list"
                    );
                    self.malformed_logged = true;
                }
                Some(response.list)
            }
            Err(error) => {
                warn!(source = "discovery", "{error}");
                None
            }
        }
    }

    async fn fetch(&mut self, address: SocketAddr, path: &str) -> Result<DiscoveryResponse, Error> {
        let open = self.connection.take().filter(|connection| !connection.sender.is_closed());
        let mut connection = match open {
            Some(connection) => connection,
            None => timeout(RESPONSE_TIMEOUT, connect(address)).await??,
        };
        connection.sender.ready().await?;
        let request = Request::get(path).header(HOST, address.to_string()).body(Empty::<Bytes>::new())?;
        let response = connection.sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?.to_bytes();
        if status != StatusCode::OK {
            return Err(format!("unexpected status {status}").into());
        }
        let response: DiscoveryResponse = serde_json::from_slice(&body)?;
        if response.list.full && response.list.servers.is_empty() && response.skipped > 0 {
            return Err("all entries of the server list are malformed".into());
        }
        self.connection = Some(connection);
        Ok(response)
    }
}

/// Poll wait of each node where `nodes` nodes poll one service.
fn poll_wait_for_nodes(nodes: usize) -> Duration {
    let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
    POLL_WAIT_PER_NODE.saturating_mul(nodes).clamp(POLL_WAIT, MAX_POLL_WAIT)
}

async fn connect(address: SocketAddr) -> Result<Connection, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(Stream::new(stream))).await?;
    let task = tokio::spawn(async move {
        let _ = connection.await; // a broken connection fails the open call
    });
    Ok(Connection { sender, _task: AbortOnDropHandle::new(task) })
}
