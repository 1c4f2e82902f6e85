//! What servers speak: one connection, one request at a time, and what comes back as an outcome of the
//! protocol's table. Nothing is tried again here, and nothing probed.

pub mod facts;
pub mod http;
pub mod memcache;
mod pass;
pub mod resp;

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;

use lilacquay_core::{Call, Connection, IdleState, Reply, Target, Upstream};
use lilacquay_stream::Stream;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Caches over RESP2 or memcached's binary protocol, the origin over HTTP/1.1.
#[derive(Clone, Default)]
pub struct ServerConnector {
    memcached: Arc<BTreeSet<String>>,
}

impl ServerConnector {
    /// Caches of these kinds of machine speak memcached, all others RESP2.
    pub fn new(memcached: BTreeSet<String>) -> Self {
        ServerConnector { memcached: Arc::new(memcached) }
    }
}

/// A connection to a server of any kind.
pub enum Link {
    /// To a cache that speaks RESP2.
    Cache(resp::Cache),
    /// To a cache that speaks memcached.
    Memcache(memcache::Memcache),
    /// To the origin.
    Origin(http::Origin),
}

impl Upstream for ServerConnector {
    type Connection = Link;

    /// A cache that speaks memcached knows no idempotency keys.
    fn discards_repeats(&self, kind: &str) -> bool {
        !self.memcached.contains(kind)
    }

    async fn connect(&self, target: &Target) -> io::Result<Link> {
        let stream = TcpStream::connect(target.addr).await?;
        stream.set_nodelay(true)?;
        let stream = Stream::new(stream);
        Ok(match target.origin {
            false if self.memcached.contains(&*target.kind) => {
                Link::Memcache(memcache::Memcache::new(stream))
            }
            false => Link::Cache(resp::Cache::new(stream)),
            true => Link::Origin(http::Origin::new(stream).await?),
        })
    }
}

impl Connection for Link {
    fn idle_state(&self) -> IdleState {
        match self {
            Link::Cache(cache) => cache.idle_state(),
            Link::Memcache(cache) => cache.idle_state(),
            Link::Origin(origin) => origin.idle_state(),
        }
    }

    async fn ask(self, call: &Call, target: &Target, deadline: Instant) -> (Reply, Option<Link>) {
        match self {
            Link::Cache(cache) => {
                let (reply, cache) = cache.ask(call, target, deadline).await;
                (reply, cache.map(Link::Cache))
            }
            Link::Memcache(cache) => {
                let (reply, cache) = cache.ask(call, target, deadline).await;
                (reply, cache.map(Link::Memcache))
            }
            Link::Origin(origin) => {
                let (reply, origin) = origin.ask(call, target, deadline).await;
                (reply, origin.map(Link::Origin))
            }
        }
    }
}

/// What the peer has done to a connection that nothing was asked on. The kernel is asked itself: what the runtime has seen
/// may be a moment old.
fn idle_state(stream: &Stream) -> IdleState {
    match stream.try_peek() {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Live,
        Err(_) | Ok(0) => IdleState::Closed,
        Ok(_) => IdleState::Unasked,
    }
}
