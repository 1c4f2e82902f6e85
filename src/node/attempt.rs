//! One attempt at a server: a connection, the request, the answer.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use paddlefold::Outcome;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::clients::Command;
use super::directory::Target;
use super::{caches, origin};

/// A connection to a server, between requests.
pub enum Connection {
    Cache(caches::Connection),
    Origin(origin::Connection),
}

impl Connection {
    /// Whether the server has left it open and said nothing unasked.
    pub fn is_live(&self) -> bool {
        match self {
            Connection::Cache(connection) => connection.is_live(),
            Connection::Origin(connection) => connection.is_live(),
        }
    }
}

/// How an attempt ended.
pub struct Reply {
    pub outcome: Outcome,
    /// What to serve, after `Outcome::Ok`.
    pub value: Bytes,
    pub hit: Option<bool>,
}

impl Reply {
    pub fn of(outcome: Outcome) -> Self {
        Reply { outcome, value: Bytes::new(), hit: None }
    }
}

/// Makes one attempt. The connection comes back if another request may use it.
pub async fn run(
    target: Target,
    pooled: Option<Connection>,
    command: &Command,
    wait: Duration,
    connect_timeout: Duration,
) -> (Reply, Option<Connection>) {
    let connection = match pooled {
        Some(connection) => connection,
        None => match timeout(connect_timeout, connect(&target)).await {
            Ok(Ok(connection)) => connection,
            // Out of descriptors: no fault of the server's.
            Ok(Err(error)) if out_of_descriptors(&error) => return (Reply::of(Outcome::Ignored), None),
            Ok(Err(_)) | Err(_) => return (Reply::of(Outcome::ConnectError), None),
        },
    };
    // Guards against: a first byte to a server that was drained while the connection came up.
    if !target.standing.serving() {
        return (Reply::of(Outcome::Ignored), None);
    }
    match connection {
        Connection::Cache(connection) => {
            let (reply, connection) = connection.ask(command.for_cache(wait)).await;
            (reply, connection.map(Connection::Cache))
        }
        Connection::Origin(connection) => {
            let (reply, connection) = connection.ask(command, target.addr).await;
            (reply, connection.map(Connection::Origin))
        }
    }
}

async fn connect(target: &Target) -> io::Result<Connection> {
    let stream = dial(target.addr).await?;
    Ok(match target.origin {
        false => Connection::Cache(caches::Connection::new(stream)),
        true => Connection::Origin(origin::Connection::new(stream).await?),
    })
}

async fn dial(addr: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// EMFILE or ENFILE, which the standard library gives no kind.
pub fn out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(23 | 24))
}
