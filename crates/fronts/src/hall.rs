//! Listeners, and the bounds that hold for the clients of all of them together.

use std::sync::Arc;
use std::time::Duration;

use lilacquay_core::{Gauges, Requests};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
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
}

impl Bounds {
    /// How many connections from clients there may be now.
    fn limit(&self) -> usize {
        let free = self.with_servers.saturating_sub(self.gauges.connections());
        self.connections.max(free)
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
    /// Places for buffers that are not small.
    pub(crate) large: Arc<Semaphore>,
    /// Set when connections are to be closed between requests.
    pub(crate) closing: CancellationToken,
    sessions: TaskTracker,
}

impl Hall {
    /// A hall without guests.
    pub fn new(requests: Requests, bounds: Bounds) -> Self {
        let large = Arc::new(Semaphore::new((bounds.memory / LARGE).max(1)));
        // Clients may hold a third of the descriptors: some of it stays free for their next connections.
        let seats = Arc::new(Seats::new((bounds.connections * 3 / 4).max(1)));
        let (left, closing, sessions) = Default::default();
        Hall(Arc::new(Shared { requests, bounds, seats, left, large, closing, sessions }))
    }

    /// Takes connections until it is dropped, each with a protocol of its own.
    pub async fn accept<P: Protocol>(self, listener: TcpListener, protocol: impl Fn() -> P) {
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

    /// Closes all connections between requests; waits until the last is closed.
    pub async fn close(&self) {
        self.0.closing.cancel();
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
