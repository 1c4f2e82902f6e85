//! Connections to servers: caches over RESP2 or memcached's binary protocol, and the origin over HTTP/1.1.
//!
//! A connection carries one request at a time, and each answer is mapped to an outcome of the protocol's table. This crate
//! neither retries nor probes.

mod answer_watch;
pub mod facts;
mod forward;
pub mod http;
pub mod memcache;
pub mod resp;

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;

use lilacquay_core::{Call, Connection, IdleState, Reply, Target, Upstream};
use lilacquay_stream::Stream;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Connects to servers, with the protocol that each of them speaks.
#[derive(Clone, Default)]
pub struct ServerConnector {
    /// Kinds of machine whose caches speak memcached.
    memcached_kinds: Arc<BTreeSet<String>>,
}

impl ServerConnector {
    /// Creates a connector. Caches on machines of `memcached_kinds` speak memcached, all others RESP2.
    pub fn new(memcached_kinds: BTreeSet<String>) -> Self {
        ServerConnector { memcached_kinds: Arc::new(memcached_kinds) }
    }
}

/// A connection to any server.
pub enum ServerConnection {
    /// To a cache that speaks RESP2.
    Resp(resp::RespConnection),
    /// To a cache that speaks memcached.
    Memcache(memcache::MemcacheConnection),
    /// To the origin.
    Origin(http::OriginConnection),
}

impl Upstream for ServerConnector {
    type Connection = ServerConnection;

    /// Whether servers of this kind recognise repeated writes: memcached has no idempotency keys.
    fn deduplicates_writes(&self, kind: &str) -> bool {
        !self.memcached_kinds.contains(kind)
    }

    async fn connect(&self, target: &Target) -> io::Result<ServerConnection> {
        let stream = TcpStream::connect(target.addr).await?;
        stream.set_nodelay(true)?;
        let stream = Stream::new(stream);
        Ok(match target.origin {
            false if self.memcached_kinds.contains(&*target.kind) => {
                ServerConnection::Memcache(memcache::MemcacheConnection::new(stream))
            }
            false => ServerConnection::Resp(resp::RespConnection::new(stream)),
            true => ServerConnection::Origin(http::OriginConnection::new(stream).await?),
        })
    }
}

impl Connection for ServerConnection {
    fn idle_state(&self) -> IdleState {
        match self {
            ServerConnection::Resp(cache) => cache.idle_state(),
            ServerConnection::Memcache(cache) => cache.idle_state(),
            ServerConnection::Origin(origin) => origin.idle_state(),
        }
    }

    async fn send_request(
        self,
        call: &Call,
        target: &Target,
        deadline: Instant,
    ) -> (Reply, Option<ServerConnection>) {
        match self {
            ServerConnection::Resp(cache) => {
                let (reply, cache) = cache.send_request(call, target, deadline).await;
                (reply, cache.map(ServerConnection::Resp))
            }
            ServerConnection::Memcache(cache) => {
                let (reply, cache) = cache.send_request(call, target, deadline).await;
                (reply, cache.map(ServerConnection::Memcache))
            }
            ServerConnection::Origin(origin) => {
                let (reply, origin) = origin.send_request(call, target, deadline).await;
                (reply, origin.map(ServerConnection::Origin))
            }
        }
    }
}

/// What the peer has done to an idle connection. Peeks at the socket to ask the kernel directly, since the runtime's view
/// may be a moment old.
fn idle_state(stream: &Stream) -> IdleState {
    match stream.try_peek() {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Live,
        Err(_) | Ok(0) => IdleState::Closed,
        Ok(_) => IdleState::UnsolicitedData,
    }
}
