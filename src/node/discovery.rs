//! Discovery: the whole list at once, then a watch; see `Watch::run`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::{sleep, timeout};

use super::driver::Message;
use super::log;

/// How long a watch waits for news, and how much longer the answer may take.
const WAIT: Duration = Duration::from_secs(5);
const ANSWER: Duration = Duration::from_secs(2);
/// A failed call is repeated after this time: a watch goes on only if its next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
/// Larger lists are not believed.
const LARGEST: usize = 4 << 20;

/// An answer of discovery.
#[derive(Deserialize, Default, Debug)]
pub struct List {
    #[serde(default)]
    pub version: u64,
    #[serde(default)]
    pub full: bool,
    #[serde(default)]
    pub servers: Vec<Entry>,
}

/// A server in the list.
#[derive(Deserialize, Debug)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: u32,
    pub state: State,
    #[serde(default)]
    pub weight: Option<f64>,
    #[serde(default)]
    pub started_ms: f64,
}

/// Whether a server takes requests.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq, Debug)]
#[serde(rename_all = "UPPERCASE")]
pub enum State {
    Serving,
    Draining,
    Deleted,
}

/// Follows the list.
pub struct Watch {
    pub address: SocketAddr,
    /// Where the list must be subscribed to: told when the module asks for it, at first and after a failure.
    pub asked: Option<Arc<Notify>>,
    pub after: u64,
    pub to: UnboundedSender<Message>,
}

type Error = Box<dyn std::error::Error + Send + Sync>;

impl Watch {
    /// Fetches the whole list, then watches; goes on until the node ends. A failed call keeps the list.
    pub async fn run(mut self) {
        let mut whole = true; // what is known from before may be old
        let (mut connection, mut following) = (None, false);
        loop {
            if let (false, Some(asked)) = (following, &self.asked) {
                asked.notified().await;
            }
            match self.call(&mut connection, whole).await {
                Ok(list) => {
                    (whole, following, self.after) = (false, true, list.version);
                    if self.to.send(Message::List(list)).is_err() {
                        return;
                    }
                }
                Err(error) => {
                    (connection, following) = (None, false);
                    log(format_args!("discovery: {error}"));
                    if self.to.send(Message::ListFailed).is_err() {
                        return;
                    }
                    if self.asked.is_none() {
                        sleep(PAUSE).await;
                    }
                }
            }
        }
    }

    async fn call(&self, open: &mut Option<SendRequest<Empty<Bytes>>>, whole: bool) -> Result<List, Error> {
        let path = match whole {
            true => "/discovery/hosts".to_owned(),
            false => format!("/discovery/hosts?after={}&wait_ms={}", self.after, WAIT.as_millis()),
        };
        let limit = if whole { ANSWER } else { WAIT + ANSWER };
        timeout(limit, self.fetch(open, &path)).await?
    }

    async fn fetch(&self, open: &mut Option<SendRequest<Empty<Bytes>>>, path: &str) -> Result<List, Error> {
        let mut sender = match open.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => connect(self.address).await?,
        };
        sender.ready().await?;
        let request = Request::get(path).header(HOST, self.address.to_string()).body(Empty::<Bytes>::new())?;
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LARGEST).collect().await?.to_bytes();
        if status != StatusCode::OK {
            return Err(format!("answered {status}").into());
        }
        let list = serde_json::from_slice(&body)?;
        *open = Some(sender);
        Ok(list)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, Error> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}
