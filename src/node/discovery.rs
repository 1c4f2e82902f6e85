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
use serde::de::IgnoredAny;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Notify, watch};
use tokio::time::{sleep, timeout};
use tokio_util::task::AbortOnDropHandle;

use super::driver::Message;
use super::log;

/// How long a watch waits for news, and how much longer the answer may take. Guards against: a discovery
/// that has fallen silent and is believed to have no news for long; what it has to tell counts as told
/// after 6 s, and 4 s after a reload.
const WAIT: Duration = Duration::from_secs(2);
const ANSWER: Duration = Duration::from_secs(1);
/// A failed call is repeated after this time: a watch goes on only if its next call comes within 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
/// Larger lists are not believed.
const LARGEST: usize = 4 << 20;

/// An answer of discovery.
#[derive(Deserialize, Default, Debug)]
#[serde(from = "Told")]
pub struct List {
    pub version: u64,
    pub full: bool,
    pub servers: Vec<Entry>,
    /// Entries that can't be read.
    pub skipped: usize,
}

#[derive(Deserialize)]
struct Told {
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
    Entry(Entry),
    Unreadable(IgnoredAny),
}

impl From<Told> for List {
    fn from(told: Told) -> List {
        let listed = told.servers.len();
        let readable = told.servers.into_iter().filter_map(|one| match one {
            Listed::Entry(entry) => Some(entry),
            Listed::Unreadable(_) => None,
        });
        let servers: Vec<Entry> = readable.collect();
        List { version: told.version, full: told.full, skipped: listed - servers.len(), servers }
    }
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
    /// Where the list must be subscribed to: told when the module asks for it, at first and after a failure.
    asked: Option<Arc<Notify>>,
    after: u64,
    to: UnboundedSender<Message>,
    connection: Option<Client>,
    /// Whether the whole list is wanted: what is known from before may be old.
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

impl Watch {
    pub fn new(asked: Option<Arc<Notify>>, after: u64, to: UnboundedSender<Message>) -> Self {
        let held = asked.is_some();
        Watch { asked, after, to, connection: None, whole: true, held, complained: false }
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
            if self.to.send(told).is_err() {
                return;
            }
        }
    }

    /// The next call, when it is due. Cancelled, it leaves nothing open.
    async fn call(&mut self, at: SocketAddr) -> Message {
        match &self.asked {
            Some(asked) if self.held => asked.notified().await,
            None if self.held => sleep(PAUSE).await,
            _ => {}
        }
        let path = match self.whole {
            true => "/discovery/hosts".to_owned(),
            false => format!("/discovery/hosts?after={}&wait_ms={}", self.after, WAIT.as_millis()),
        };
        let limit = if self.whole { ANSWER } else { WAIT + ANSWER };
        let told = timeout(limit, self.fetch(at, &path)).await.unwrap_or_else(|late| Err(late.into()));
        self.held = told.is_err();
        match told {
            Ok(list) => {
                (self.whole, self.after) = (false, list.version);
                if list.skipped > 0 && !self.complained {
                    log(format_args!("discovery: {} entries can't be read and are skipped", list.skipped));
                    self.complained = true;
                }
                Message::List(list)
            }
            Err(error) => {
                log(format_args!("discovery: {error}"));
                Message::ListFailed
            }
        }
    }

    async fn fetch(&mut self, at: SocketAddr, path: &str) -> Result<List, Error> {
        let mut client = match self.connection.take().filter(|client| !client.sender.is_closed()) {
            Some(client) => client,
            None => connect(at).await?,
        };
        client.sender.ready().await?;
        let request = Request::get(path).header(HOST, at.to_string()).body(Empty::<Bytes>::new())?;
        let answer = client.sender.send_request(request).await?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), LARGEST).collect().await?.to_bytes();
        if status != StatusCode::OK {
            return Err(format!("answered {status}").into());
        }
        let list: List = serde_json::from_slice(&body)?;
        if list.full && list.servers.is_empty() && list.skipped > 0 {
            return Err("no entry of the list can be read".into());
        }
        self.connection = Some(client);
        Ok(list)
    }
}

async fn connect(at: SocketAddr) -> Result<Client, Error> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let task = tokio::spawn(async move {
        let _ = connection.await; // a break shows in the call that is out
    });
    Ok(Client { sender, _task: AbortOnDropHandle::new(task) })
}
