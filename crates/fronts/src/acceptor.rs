//! Accepts client connections on any number of listeners, under limits that hold for all of them together.

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
use crate::eviction_queue::{EvictionScope, Micros, eviction_scope};
use crate::protocol::Protocol;
use crate::session::Session;
use crate::shared::{ClientLimits, SharedState};

/// The longest wait for some session to end before the next accept is tried, for example after an accept failed for
/// want of descriptors; also the retry delay if no connection could be evicted.
const EVICTION_WAIT: Duration = Duration::from_millis(5);

/// Accepts connections for all frontends and holds the state that their sessions share. Cheap to clone.
#[derive(Clone)]
pub struct Acceptor(Arc<SharedState>);

impl Acceptor {
    /// Creates an acceptor without connections, for a node whose service mode is published on `service_mode`.
    pub fn new(requests: Requests, limits: ClientLimits, service_mode: watch::Receiver<ServiceMode>) -> Self {
        Acceptor(Arc::new(SharedState::new(requests, limits, service_mode)))
    }

    /// Accepts connections from when the node is ready until it stops accepting, and closes the listener then. Each
    /// connection gets its own protocol instance.
    pub async fn accept<P: Protocol>(self, listener: TcpListener, protocol: impl Fn() -> P) {
        let mut service_mode = self.0.service_mode.clone();
        // Without a publisher the mode can no longer change.
        if service_mode.wait_for(|mode| mode.accepts_connections || mode.ended).await.is_err() {
            return;
        }
        tokio::select! {
            biased;
            _ = service_mode.wait_for(|mode| !mode.accepts_connections) => {}
            () = self.accept_loop(&listener, &protocol) => {}
        }
        // Connections that the kernel has completed would be reset, with their requests, if the listener closed without
        // accepting them. If another process accepts at the same address, they are left to that process.
        // Once a node accepts no more, `PING` succeeds only if another process serves at its address.
        let address_shared = service_mode.borrow().ping_succeeds;
        if !address_shared {
            self.accept_backlog(listener, &protocol).await;
        }
    }

    /// Accepts the connections in the backlog and none after them. Takes the listener out of the runtime, so that each
    /// accept asks the kernel directly: the runtime, woken by a timer or a signal, may not have learned of them yet.
    async fn accept_backlog<P: Protocol>(&self, listener: TcpListener, protocol: &impl Fn() -> P) {
        let Ok(listener) = listener.into_std() else { return };
        let mut policy = AcceptPolicy::for_closing_listener(Instant::now());
        loop {
            let step = match listener.accept() {
                Ok((stream, _)) => {
                    self.spawn_std_session(stream, protocol());
                    policy.accepted(Instant::now())
                }
                Err(error) => accept_failed(&mut policy, &error),
            };
            match step {
                AcceptStep::CloseListener => return,
                step => self.prepare_next_accept(step).await,
            }
        }
    }

    fn spawn_std_session<P: Protocol>(&self, stream: std::net::TcpStream, protocol: P) {
        match stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
            Ok(stream) => self.spawn_session(stream, protocol),
            Err(error) => warn!("failed to register an accepted connection: {error}"),
        }
    }

    fn spawn_session<P: Protocol>(&self, stream: TcpStream, protocol: P) {
        let session = Session::new(self.0.clone(), protocol);
        self.0.sessions.spawn(session.run(stream));
    }

    async fn accept_loop<P: Protocol>(&self, listener: &TcpListener, protocol: &impl Fn() -> P) {
        let mut policy = AcceptPolicy::default();
        loop {
            // The limit keeps clients from using up the descriptors that connections to servers need. Beyond it each
            // new connection replaces another, so that many silent connections cannot lock out active clients.
            // Descriptors that connections to servers do not use are available to clients, many of which ask once and
            // stay connected.
            self.wait_for_capacity().await;
            match listener.accept().await {
                Ok((stream, _)) => {
                    policy.accepted(Instant::now());
                    self.spawn_session(stream, protocol());
                }
                Err(error) => self.prepare_next_accept(accept_failed(&mut policy, &error)).await,
            }
        }
    }

    /// Carries out the step that precedes the next accept; in either case other tasks get to run.
    async fn prepare_next_accept(&self, step: AcceptStep) {
        match step {
            AcceptStep::EvictThenAccept(scope) => _ = self.evict_one(scope).await,
            AcceptStep::AcceptAgain | AcceptStep::CloseListener => yield_now().await,
        }
    }

    /// Waits until the number of connections is below the limit.
    ///
    /// While another process accepts at the same address, at most one connection is evicted for each new one: if this
    /// process's portion of the limits shrinks below what it holds, existing clients are not disconnected for that.
    async fn wait_for_capacity(&self) {
        let (start, limits) = (Instant::now(), &self.0.limits);
        while self.0.sessions.len() >= limits.connection_limit() {
            let waited = start.elapsed().as_micros() as Micros;
            let evicted = self.evict_one(eviction_scope(limits.portion.has_other_process(), waited)).await;
            if evicted && limits.portion.has_other_process() {
                return;
            }
        }
    }

    /// The number of open client connections.
    pub fn connection_count(&self) -> usize {
        self.0.sessions.len()
    }

    /// Waits until all connections have closed. To be called once no listener accepts any more.
    pub async fn wait_until_empty(&self) {
        self.0.sessions.close();
        self.0.sessions.wait().await;
    }

    /// The number of connections with a pending response or one that is being written.
    pub fn answering_count(&self) -> usize {
        self.0.answering.len()
    }

    /// Waits until all responses have been written or given up. To be called once no more commands are read.
    pub async fn wait_until_answered(&self) {
        self.0.answering.close();
        self.0.answering.wait().await;
    }

    /// Tells one evictable connection to close, if there is one, and waits for a session to end or for
    /// [`EVICTION_WAIT`]. Returns whether a connection was evicted.
    async fn evict_one(&self, scope: EvictionScope) -> bool {
        let session_ended = self.0.session_ended.notified();
        let evicted = self.0.evictable_connections.evict_one(Instant::now(), scope);
        let _ = timeout(EVICTION_WAIT, session_ended).await; // the caller checks again in either case
        evicted
    }
}

/// Logs a failed accept and returns the next step.
fn accept_failed(policy: &mut AcceptPolicy, error: &io::Error) -> AcceptStep {
    let failure = AcceptFailure::from(error);
    if failure != AcceptFailure::BacklogEmpty {
        warn!("failed to accept a client connection: {error}");
    }
    policy.failed(failure, Instant::now())
}
