//! Client connections without a pending response: an [`EvictionQueue`] that the sessions share, and the channel through
//! which a session learns that it is evicted.

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;
use tokio::time::Instant;

pub use crate::eviction_queue::Activity;
use crate::eviction_queue::{EvictionKey, EvictionQueue, EvictionScope, Micros};

/// All evictable connections of the process.
pub struct EvictableConnections {
    /// A connection is told to close by dropping its sender.
    queue: Mutex<EvictionQueue<oneshot::Sender<()>>>,
    start: Instant,
}

impl EvictableConnections {
    /// Allows at most this many connections to rest between requests.
    pub fn new(max_between_requests: usize) -> Self {
        EvictableConnections {
            queue: Mutex::new(EvictionQueue::new(max_between_requests)),
            start: Instant::now(),
        }
    }

    fn queue(&self) -> MutexGuard<'_, EvictionQueue<oneshot::Sender<()>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn micros(&self, at: Instant) -> Micros {
        at.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// Registers an evictable connection until the returned guard is dropped. If more than the maximum then rest
    /// between requests, the one that has rested longest is evicted.
    pub fn register(self: &Arc<Self>, activity: Activity, since: Instant) -> EvictableConnection {
        let (sender, evicted) = oneshot::channel();
        let (key, _evicted_sender) = self.queue().insert(activity, self.micros(since), sender);
        EvictableConnection { key, evicted, connections: self.clone() }
    }

    /// Evicts one connection of this scope. Returns whether there was one.
    pub fn evict_one(&self, now: Instant, scope: EvictionScope) -> bool {
        self.queue().evict(self.micros(now), scope).is_some()
    }
}

/// Keeps a connection registered as evictable; dropping it removes the registration.
pub struct EvictableConnection {
    key: EvictionKey,
    evicted: oneshot::Receiver<()>,
    connections: Arc<EvictableConnections>,
}

impl EvictableConnection {
    pub fn activity(&self) -> Activity {
        self.key.activity()
    }

    /// Waits until the connection is evicted; for ever if it is not registered.
    pub async fn evicted(registration: &mut Option<EvictableConnection>) {
        match registration {
            Some(registration) => _ = (&mut registration.evicted).await,
            None => pending().await,
        }
    }
}

impl Drop for EvictableConnection {
    fn drop(&mut self) {
        self.connections.queue().remove(self.key);
    }
}
