//! What the connections of all fronts share: bounds, seats, places for long commands, the node's bearing.

use std::sync::Arc;

use lilacquay_core::{Gauges, Portion, Requests, VALUE_LIMIT};
use lilacquay_lifecycle::ServiceMode;
use tokio::sync::{Notify, Semaphore, watch};
use tokio_util::task::TaskTracker;

use crate::idle_connections::Seats;

/// What one place of a buffer that is not small stands for, in bytes: most commands that are not small have one.
pub(crate) const LARGE: usize = 2 * VALUE_LIMIT;

/// How much clients may hold of a node.
#[derive(Clone)]
pub struct ClientLimits {
    /// Connections that they may hold in any case ...
    pub connections: usize,
    /// ... and together with those to servers.
    pub total_connections: usize,
    /// What the core holds.
    pub gauges: Arc<Gauges>,
    /// Bytes for buffers that are not small.
    pub buffer_bytes: usize,
    /// The part of these that is this process's.
    pub portion: Portion,
}

impl ClientLimits {
    /// How many connections from clients there may be now.
    pub(crate) fn limit(&self) -> usize {
        let free = self.portion.of(self.total_connections).saturating_sub(self.gauges.connections());
        self.portion.of(self.connections).max(free)
    }
}

pub(crate) struct Shared {
    pub(crate) requests: Requests,
    pub(crate) bounds: ClientLimits,
    /// Connections on which nothing is owed.
    pub(crate) seats: Arc<Seats>,
    /// Told when a session has ended.
    pub(crate) left: Notify,
    /// Places for buffers that are not small, of [`LARGE`] bytes each ...
    pub(crate) large: Arc<Semaphore>,
    /// ... and how many there are.
    pub(crate) places: u32,
    /// What the node does now: whether it takes connections, and when those it has are closed.
    pub(crate) bearing: watch::Receiver<ServiceMode>,
    pub(crate) sessions: TaskTracker,
}

impl Shared {
    pub fn new(requests: Requests, bounds: ClientLimits, bearing: watch::Receiver<ServiceMode>) -> Self {
        let places = u32::try_from(bounds.buffer_bytes / LARGE).unwrap_or(u32::MAX).max(1);
        let large = Arc::new(Semaphore::new(places as usize));
        // Clients may hold a third of the descriptors: some of it stays free for their next connections.
        let seats = Arc::new(Seats::new((bounds.connections * 3 / 4).max(1)));
        let (left, sessions) = Default::default();
        Shared { requests, bounds, seats, left, large, places, bearing, sessions }
    }
}
