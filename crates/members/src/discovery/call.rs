//! One HTTP call to the discovery service.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use lilacquay_stream::Stream;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};
use tokio_util::task::AbortOnDropHandle;

use super::response::DiscoveryResponse;
use crate::response_timeout::ResponseTime;

/// Maximum size of a response in bytes; larger ones are rejected.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

pub(super) type Error = Box<dyn std::error::Error + Send + Sync>;
type FetchResult = Result<(DiscoveryResponse, Connection), Error>;

/// An HTTP connection to the discovery service, closed on drop.
pub(super) struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    _task: AbortOnDropHandle<()>,
}

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Query {
    /// The full list.
    FullList,
    /// The changes since a version, for which the service waits.
    Changes { since_version: u64, poll_wait: Duration },
}

impl Query {
    fn path(self) -> String {
        match self {
            Query::FullList => "/discovery/hosts".to_owned(),
            Query::Changes { since_version, poll_wait } => {
                format!("/discovery/hosts?after={since_version}&wait_ms={}", poll_wait.as_millis())
            }
        }
    }

    fn poll_wait(self) -> Duration {
        match self {
            Query::FullList => Duration::ZERO,
            Query::Changes { poll_wait, .. } => poll_wait,
        }
    }
}

/// A successful call: the response, the connection to use again, and how long the service took.
pub(super) struct Answered {
    pub response: DiscoveryResponse,
    pub connection: Connection,
    pub response_time: ResponseTime,
}

/// A call that is open. Dropping it closes its connection.
pub(super) struct Call {
    query: Query,
    started_at: Instant,
    connected: Arc<AtomicBool>,
    work: Pin<Box<dyn Future<Output = FetchResult> + Send>>,
}

impl Call {
    /// Starts a call, on this connection if it is still open.
    pub fn start(address: SocketAddr, query: Query, connection: Option<Connection>) -> Call {
        let open = connection.filter(|connection| !connection.sender.is_closed());
        let connected = Arc::new(AtomicBool::new(open.is_some()));
        let work = Box::pin(fetch(address, query.path(), open, connected.clone()));
        Call { query, started_at: Instant::now(), connected, work }
    }

    /// When a call that is overdue is no longer waited for.
    pub fn given_up_at(&self, late_response_timeout: Duration) -> Instant {
        self.started_at + self.query.poll_wait() + late_response_timeout
    }

    /// Waits for the response. Cancel safe.
    ///
    /// # Errors
    /// If the call fails, or its response can't be used.
    pub async fn answered(&mut self) -> Result<Answered, Error> {
        let (response, connection) = (&mut self.work).await?;
        let (elapsed, poll_wait) = (self.started_at.elapsed(), self.query.poll_wait());
        let waited_to_the_end =
            !response.list.full && response.list.servers.is_empty() && elapsed >= poll_wait;
        let response_time = match self.query {
            Query::FullList => ResponseTime::Exactly(elapsed),
            Query::Changes { .. } if waited_to_the_end => ResponseTime::Exactly(elapsed - poll_wait),
            Query::Changes { .. } => ResponseTime::AtMost(elapsed),
        };
        Ok(Answered { response, connection, response_time })
    }

    /// Waits until the call is later than the service is expected to be: `response_timeout` for a connection, and from the
    /// start of the call the same on top of the poll wait.
    pub fn overdue(&self, response_timeout: Duration) -> impl Future<Output = ()> + use<> {
        let (started_at, poll_wait) = (self.started_at, self.query.poll_wait());
        let connected = self.connected.clone();
        async move {
            sleep_until(started_at + response_timeout).await;
            if connected.load(Ordering::Relaxed) {
                sleep_until(started_at + poll_wait + response_timeout).await;
            }
        }
    }
}

async fn fetch(
    address: SocketAddr,
    path: String,
    open: Option<Connection>,
    connected: Arc<AtomicBool>,
) -> FetchResult {
    let mut connection = match open {
        Some(connection) => connection,
        None => connect(address).await?,
    };
    connected.store(true, Ordering::Relaxed);
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
    Ok((response, connection))
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
