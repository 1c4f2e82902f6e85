//! State that the connections of all frontends share: limits, evictable connections, buffer memory and the service
//! mode.

use std::sync::Arc;

use lilacquay_core::{Gauges, Requests, ResourceShare};
use lilacquay_lifecycle::ServiceMode;
use tokio::sync::{Notify, watch};
use tokio_util::task::TaskTracker;

use crate::buffer_memory::BufferMemory;
use crate::evictable_connections::EvictableConnections;

/// Limits on the resources of a node that its clients may hold.
#[derive(Clone)]
pub struct ClientLimits {
    /// Client connections allowed in any case.
    pub connections: usize,
    /// Client connections and connections to servers together. Clients may exceed `connections` up to this total.
    pub total_connections: usize,
    /// Current usage, as reported by the core.
    pub gauges: Arc<Gauges>,
    /// Bytes for large buffers.
    pub buffer_bytes: usize,
    /// This process's portion of the connection limits.
    pub portion: ResourceShare,
}

impl ClientLimits {
    /// The number of client connections allowed now.
    pub(crate) fn connection_limit(&self) -> usize {
        let free = self.portion.of(self.total_connections).saturating_sub(self.gauges.connections());
        self.portion.of(self.connections).max(free)
    }
}

pub(crate) struct SharedState {
    pub(crate) requests: Requests,
    pub(crate) limits: ClientLimits,
    /// Connections without pending responses, which may be evicted.
    pub(crate) evictable_connections: Arc<EvictableConnections>,
    /// Notified whenever a session has ended.
    pub(crate) session_ended: Notify,
    /// The memory for long commands and large values.
    pub(crate) buffer_memory: BufferMemory,
    /// Whether the node accepts connections, and when it closes those it has.
    pub(crate) service_mode: watch::Receiver<ServiceMode>,
    pub(crate) sessions: TaskTracker,
    /// A token for each connection with a pending response or one that is being written.
    pub(crate) answering: TaskTracker,
}

impl SharedState {
    pub fn new(requests: Requests, limits: ClientLimits, service_mode: watch::Receiver<ServiceMode>) -> Self {
        let buffer_memory = BufferMemory::new(limits.buffer_bytes, &requests.metrics().buffers());
        // Clients may hold a third of the descriptors. A quarter of that is kept free of connections that rest between
        // requests, so that clients can open further ones.
        let evictable_connections = Arc::new(EvictableConnections::new((limits.connections * 3 / 4).max(1)));
        let (session_ended, sessions, answering) = Default::default();
        SharedState {
            requests,
            limits,
            evictable_connections,
            session_ended,
            buffer_memory,
            service_mode,
            sessions,
            answering,
        }
    }
}
