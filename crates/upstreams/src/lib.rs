//! What servers speak: one connection, one request at a time, and what comes back as an outcome of the
//! protocol's table. Nothing is tried again here, and nothing probed.

pub mod http;
pub mod resp;

use std::io;
use std::time::Duration;

use lilacquay_core::{Call, Connection, Reply, Target, Upstream};
use tokio::net::TcpStream;

/// Caches over RESP2, the origin over HTTP/1.1.
#[derive(Clone)]
pub struct Servers;

/// A connection to a server of any kind.
pub enum Link {
    /// To a cache.
    Cache(resp::Cache),
    /// To the origin.
    Origin(http::Origin),
}

impl Upstream for Servers {
    type Connection = Link;

    async fn connect(&self, target: &Target) -> io::Result<Link> {
        let stream = TcpStream::connect(target.addr).await?;
        stream.set_nodelay(true)?;
        Ok(match target.origin {
            false => Link::Cache(resp::Cache::new(stream)),
            true => Link::Origin(http::Origin::new(stream).await?),
        })
    }
}

impl Connection for Link {
    fn is_live(&self) -> bool {
        match self {
            Link::Cache(cache) => cache.is_live(),
            Link::Origin(origin) => origin.is_live(),
        }
    }

    async fn ask(self, call: &Call, target: &Target, wait: Duration) -> (Reply, Option<Link>) {
        match self {
            Link::Cache(cache) => {
                let (reply, cache) = cache.ask(call, target, wait).await;
                (reply, cache.map(Link::Cache))
            }
            Link::Origin(origin) => {
                let (reply, origin) = origin.ask(call, target, wait).await;
                (reply, origin.map(Link::Origin))
            }
        }
    }
}
