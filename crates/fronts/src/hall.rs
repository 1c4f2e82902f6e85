//! Listeners, and the bounds that hold for the clients of all of them together.

use std::sync::Arc;
use std::time::Duration;

use lilacquay_core::{Gauges, Portion, Requests};
use lilacquay_life::Bearing;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore, watch};
use tokio::time::{Instant, timeout};
use tokio_util::task::TaskTracker;
use tracing::warn;

use crate::protocol::Protocol;
use crate::seats::Seats;
use crate::session::{LARGE, Session};

/// After an accept that failed, for want of descriptors say.
const PAUSE: Duration = Duration::from_millis(5);

/// How much clients may hold of a node.
#[derive(Clone)]
pub struct Bounds {
    /// Connections that they may hold in any case ...
    pub connections: usize,
    /// ... and together with those to servers.
    pub with_servers: usize,
    /// What the core holds.
    pub gauges: Arc<Gauges>,
    /// Bytes for buffers that are not small.
    pub memory: usize,
    /// The part of these that is this process's.
    pub portion: Portion,
}

impl Bounds {
    /// How many connections from clients there may be now.
    fn limit(&self) -> usize {
        let free = self.portion.of(self.with_servers).saturating_sub(self.gauges.connections());
        self.portion.of(self.connections).max(free)
    }
}

/// What the connections of all fronts share. Cheap to clone.
#[derive(Clone)]
pub struct Hall(Arc<Shared>);

pub(crate) struct Shared {
    pub(crate) requests: Requests,
    bounds: Bounds,
    /// Connections on which nothing is owed.
    pub(crate) seats: Arc<Seats>,
    /// Told when a session has ended.
    pub(crate) left: Notify,
    /// Places for buffers that are not small, of [`LARGE`] bytes each ...
    pub(crate) large: Arc<Semaphore>,
    /// ... and how many there are.
    pub(crate) places: u32,
    /// What the node does now: whether it takes connections, and when those it has are closed.
    pub(crate) bearing: watch::Receiver<Bearing>,
    sessions: TaskTracker,
}

impl Hall {
    /// A hall without guests, of a node with this bearing.
    pub fn new(requests: Requests, bounds: Bounds, bearing: watch::Receiver<Bearing>) -> Self {
        let places = u32::try_from(bounds.memory / LARGE).unwrap_or(u32::MAX).max(1);
        let large = Arc::new(Semaphore::new(places as usize));
        // Clients may hold a third of the descriptors: some of it stays free for their next connections.
        let seats = Arc::new(Seats::new((bounds.connections * 3 / 4).max(1)));
        let (left, sessions) = Default::default();
        Hall(Arc::new(Shared { requests, bounds, seats, left, large, places, bearing, sessions }))
    }

    /// Takes connections for as long as the node takes any, each with a protocol of its own: from when it is ready
    /// until it ends. The listener is closed then.
    pub async fn accept<P: Protocol>(self, listener: TcpListener, protocol: impl Fn() -> P) {
        let mut bearing = self.0.bearing.clone();
        // Whoever tells the bearing may have gone: then it stays as it was.
        if bearing.wait_for(|now| now.accepts || now.ended).await.is_err() {
            return;
        }
        tokio::select! {
            biased;
            _ = bearing.wait_for(|now| !now.accepts) => {}
            () = self.take(listener, protocol) => {}
        }
    }

    async fn take<P: Protocol>(&self, listener: TcpListener, protocol: impl Fn() -> P) {
        loop {
            // Guards against: clients that leave no descriptors for the servers, and crowds of silent ones
            // that keep the usual ones out. Beyond the limit each newcomer takes the place of another. What
            // the servers leave free is the clients' too: many have asked once and stay.
            while self.0.sessions.len() >= self.0.bounds.limit() {
                self.make_room().await;
            }
            match listener.accept().await {
                Ok((stream, _)) => {
                    let session = Session::new(self.0.clone(), protocol());
                    self.0.sessions.spawn(session.run(stream));
                }
                // Guards against: an exit, or a busy loop, when descriptors run out.
                Err(error) => {
                    warn!("accept: {error}");
                    self.make_room().await;
                }
            }
        }
    }

    /// How many connections there are.
    pub fn guests(&self) -> usize {
        self.0.sessions.len()
    }

    /// Waits until no connection is left, once none is taken any more.
    pub async fn emptied(&self) {
        self.0.sessions.close();
        self.0.sessions.wait().await;
    }

    /// Has a connection closed, and waits for its end, or for a while.
    async fn make_room(&self) {
        let left = self.0.left.notified();
        self.0.seats.clear_one(Instant::now());
        let _ = timeout(PAUSE, left).await; // looked at again either way
    }
}
