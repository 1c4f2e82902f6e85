//! Listeners, and the bounds that hold for the clients of all of them together.

use std::io::{self, ErrorKind};
use std::sync::Arc;
use std::time::Duration;

use lilacquay_core::{Requests, is_own_shortage};
use lilacquay_life::Bearing;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};
use tracing::warn;

use crate::door::{Goes, Micros, goes};
use crate::protocol::Protocol;
use crate::session::Session;
use crate::shared::{Bounds, Shared};

/// No more connections than this wait to be accepted.
const BACKLOG: usize = 1024;
/// After an accept that failed, for want of descriptors say.
const PAUSE: Duration = Duration::from_millis(5);
/// Connections that wait to be accepted at the end are taken for so long at most.
const LAST_LOOK: Duration = Duration::from_millis(100);

/// What the connections of all fronts share. Cheap to clone.
#[derive(Clone)]
pub struct Acceptor(Arc<Shared>);

impl Acceptor {
    /// An acceptor without connections, of a node with this bearing.
    pub fn new(requests: Requests, bounds: Bounds, bearing: watch::Receiver<Bearing>) -> Self {
        Acceptor(Arc::new(Shared::new(requests, bounds, bearing)))
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
            () = self.take(&listener, &protocol) => {}
        }
        // Guards against: connections that the kernel has taken already, reset with their requests. Where another
        // process takes them, they are that one's.
        let shared = bearing.borrow().says_yes;
        if !shared {
            self.take_waiting(listener, &protocol).await;
        }
    }

    /// Takes the connections that wait to be accepted, and none beyond. The kernel is asked itself: the runtime, woken by
    /// a timer or a signal, may not have heard of them.
    ///
    /// Guards against: connections behind one that fails, reset with their requests.
    async fn take_waiting<P: Protocol>(&self, listener: TcpListener, protocol: &impl Fn() -> P) {
        let Ok(listener) = listener.into_std() else { return };
        let (start, mut taken) = (Instant::now(), 0);
        while taken < BACKLOG && start.elapsed() < LAST_LOOK {
            match listener.accept() {
                Ok((stream, _)) => {
                    taken += 1;
                    self.attend_accepted(stream, protocol());
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if is_own_shortage(&error) => self.accept_ran_short(&error, start).await,
                Err(error) => one_has_failed(&error).await,
            }
        }
        warn!(taken, "connections may be left that waited to be accepted");
    }

    fn attend_accepted<P: Protocol>(&self, stream: std::net::TcpStream, protocol: P) {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => self.attend(stream, protocol),
            Err(error) => warn!("accept: {error}"),
        }
    }

    /// After an accept that failed since this machine lacks something: makes room, since then, for the next.
    ///
    /// Guards against: an exit, or a busy loop, when descriptors run out; and clients closed on for want of what is there
    /// again a moment later.
    async fn accept_ran_short(&self, error: &io::Error, since: Instant) {
        warn!("accept: {error}");
        self.make_room(goes(true, since.elapsed().as_micros() as Micros)).await;
    }

    fn attend<P: Protocol>(&self, stream: TcpStream, protocol: P) {
        let session = Session::new(self.0.clone(), protocol);
        self.0.sessions.spawn(session.run(stream));
    }

    async fn take<P: Protocol>(&self, listener: &TcpListener, protocol: &impl Fn() -> P) {
        let mut short_since = None;
        loop {
            // Guards against: clients that leave no descriptors for the servers, and crowds of silent ones
            // that keep the usual ones out. Beyond the limit each newcomer takes the place of another. What
            // the servers leave free is the clients' too: many have asked once and stay.
            self.room().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    short_since = None;
                    self.attend(stream, protocol());
                }
                Err(error) if is_own_shortage(&error) => {
                    self.accept_ran_short(&error, *short_since.get_or_insert_with(Instant::now)).await;
                }
                Err(error) => one_has_failed(&error).await,
            }
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
    pub fn guests(&self) -> usize {
        self.0.sessions.len()
    }

    /// Waits until no connection is left, once none is taken any more.
    pub async fn emptied(&self) {
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

/// After an accept that failed for the one connection: its client has gone, say.
async fn one_has_failed(error: &io::Error) {
    warn!("accept: {error}");
    yield_now().await;
}
