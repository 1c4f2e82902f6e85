//! Listeners, and the bounds that hold for the clients of all of them together.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use lilacquay_core::Requests;
use lilacquay_lifecycle::ServiceMode;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};
use tracing::warn;

use crate::accept_policy::{AcceptFailure, AcceptPolicy, AcceptStep};
use crate::connection_limiter::{Goes, Micros, goes};
use crate::protocol::Protocol;
use crate::session::Session;
use crate::shared::{ClientLimits, Shared};

/// After an accept that failed, for want of descriptors say.
const PAUSE: Duration = Duration::from_millis(5);

/// What the connections of all fronts share. Cheap to clone.
#[derive(Clone)]
pub struct Acceptor(Arc<Shared>);

impl Acceptor {
    /// An acceptor without connections, of a node with this bearing.
    pub fn new(requests: Requests, bounds: ClientLimits, bearing: watch::Receiver<ServiceMode>) -> Self {
        Acceptor(Arc::new(Shared::new(requests, bounds, bearing)))
    }

    /// Takes connections for as long as the node takes any, each with a protocol of its own: from when it is ready
    /// until it ends. The listener is closed then.
    pub async fn accept<P: Protocol>(self, listener: TcpListener, protocol: impl Fn() -> P) {
        let mut bearing = self.0.bearing.clone();
        // Whoever tells the bearing may have gone: then it stays as it was.
        if bearing.wait_for(|now| now.accepts_connections || now.ended).await.is_err() {
            return;
        }
        tokio::select! {
            biased;
            _ = bearing.wait_for(|now| !now.accepts_connections) => {}
            () = self.take(&listener, &protocol) => {}
        }
        // Guards against: connections that the kernel has taken already, reset with their requests. Where another
        // process takes them, they are that one's.
        let shared = bearing.borrow().ping_succeeds;
        if !shared {
            self.take_waiting(listener, &protocol).await;
        }
    }

    /// Takes the connections that wait to be accepted, and none beyond. The kernel is asked itself: the runtime, woken by
    /// a timer or a signal, may not have heard of them.
    async fn take_waiting<P: Protocol>(&self, listener: TcpListener, protocol: &impl Fn() -> P) {
        let Ok(listener) = listener.into_std() else { return };
        let mut policy = AcceptPolicy::closing(Instant::now());
        loop {
            let step = match listener.accept() {
                Ok((stream, _)) => {
                    self.attend_accepted(stream, protocol());
                    policy.accepted(Instant::now())
                }
                Err(error) => failed(&mut policy, &error),
            };
            match step {
                AcceptStep::Close => return,
                step => self.prepare(step).await,
            }
        }
    }

    fn attend_accepted<P: Protocol>(&self, stream: std::net::TcpStream, protocol: P) {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => self.attend(stream, protocol),
            Err(error) => warn!("accept: {error}"),
        }
    }

    fn attend<P: Protocol>(&self, stream: TcpStream, protocol: P) {
        let session = Session::new(self.0.clone(), protocol);
        self.0.sessions.spawn(session.run(stream));
    }

    async fn take<P: Protocol>(&self, listener: &TcpListener, protocol: &impl Fn() -> P) {
        let mut policy = AcceptPolicy::default();
        loop {
            // Guards against: clients that leave no descriptors for the servers, and crowds of silent ones
            // that keep the usual ones out. Beyond the limit each newcomer takes the place of another. What
            // the servers leave free is the clients' too: many have asked once and stay.
            self.room().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    policy.accepted(Instant::now());
                    self.attend(stream, protocol());
                }
                Err(error) => self.prepare(failed(&mut policy, &error)).await,
            }
        }
    }

    /// Makes what the next accept needs; others have their turn meanwhile.
    async fn prepare(&self, step: AcceptStep) {
        match step {
            AcceptStep::MakeRoom(goes) => _ = self.make_room(goes).await,
            AcceptStep::Again | AcceptStep::Close => yield_now().await,
        }
    }

    /// Waits until there is room for one more.
    ///
    /// In company one goes for one that comes, at most: a part of the bounds that has become smaller than what it holds
    /// is no reason to close on those who are there.
    async fn room(&self) {
        let (start, bounds) = (Instant::now(), &self.0.bounds);
        while self.0.sessions.len() >= bounds.limit() {
            let waited = start.elapsed().as_micros() as Micros;
            let cleared = self.make_room(goes(bounds.portion.in_company(), waited)).await;
            if cleared && bounds.portion.in_company() {
                return;
            }
        }
    }

    /// How many connections there are.
    pub fn connection_count(&self) -> usize {
        self.0.sessions.len()
    }

    /// Waits until no connection is left, once none is taken any more.
    pub async fn wait_until_empty(&self) {
        self.0.sessions.close();
        self.0.sessions.wait().await;
    }

    /// Has a connection closed, if there is one that may, and waits for its end, or for a while. Tells whether there was.
    async fn make_room(&self, goes: Goes) -> bool {
        let left = self.0.left.notified();
        let cleared = self.0.seats.clear_one(Instant::now(), goes);
        let _ = timeout(PAUSE, left).await; // looked at again either way
        cleared
    }
}

/// What follows an accept that failed.
fn failed(policy: &mut AcceptPolicy, error: &io::Error) -> AcceptStep {
    let failure = AcceptFailure::from(error);
    if failure != AcceptFailure::NoneWaits {
        warn!("accept: {error}");
    }
    policy.failed(failure, Instant::now())
}
