//! The server of the control socket: accepts requests, and forwards orders to the core and to the node.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use lilacquay_core::{CoreHandle, OrdersInForce};
use lilacquay_overrides::{AppliedOrder, OrderRequest, PersistentOrder};
use serde_json::{Value, json};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Mutex, Semaphore, mpsc, oneshot};
use tokio::task::spawn_blocking;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use tokio_util::codec::{Framed, LinesCodec};
use tracing::{info, warn};

use crate::event_log::EventLog;
use crate::folder::StateDir;
use crate::messages::{
    Answer, ControlRequest, MAX_LINE_BYTES, OrderAcks, OrderReport, ReplicaReport, RequestEnvelope,
    ServerReport, SiblingsReport, VERSION,
};
use crate::publisher::Publisher;

/// Maximum number of connections served at once; further clients wait until one ends.
const MAX_CONNECTIONS: usize = 48;
/// Maximum number of connections that stream snapshots or events at once. The other connections remain available for
/// single requests.
const MAX_STREAMS: usize = 32;
/// A client that sends no request or reads no answer for this time is disconnected.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
/// The same for a client that receives a stream. It is longer, since a console may have been suspended.
const STREAM_TIMEOUT: Duration = Duration::from_secs(600);
/// Minimum interval between the snapshots of a stream.
const MIN_SNAPSHOT_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of events in one line.
const EVENTS_PER_LINE: usize = 100;
/// Interval between checks that the socket still exists.
const SOCKET_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// The result of an order to the node itself: what was done, or why it was refused.
pub type CommandResult = Result<String, String>;

/// An order to the node itself. The result is sent to the sender that it contains.
#[derive(Debug)]
pub enum NodeCommand {
    /// Reload the configuration.
    Reload(oneshot::Sender<CommandResult>),
    /// Set the log level.
    SetLogLevel(String, oneshot::Sender<CommandResult>),
    /// Take the node out of service (false) or return it to service (true).
    SetInService(bool, oneshot::Sender<CommandResult>),
    /// Answer the requests that have been accepted, then exit.
    Stop(oneshot::Sender<CommandResult>),
}

/// An order that is replicated to all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterOrder {
    /// An order on a server, which this node has already carried out.
    Server(OrderRequest),
    /// Set the log level.
    Level(String),
}

/// A request to the task that communicates with the other nodes.
#[derive(Debug)]
pub enum SiblingsQuery {
    /// Report the state of the other nodes.
    Siblings(oneshot::Sender<SiblingsReport>),
    /// Report the local replica of the replicated store; none if nothing is replicated.
    Replica(oneshot::Sender<Option<ReplicaReport>>),
    /// All records of the replica, encoded as text, with their remaining lifetime in microseconds. They are handed
    /// over to the process that replaces this one.
    Records(oneshot::Sender<Vec<(String, Option<u64>)>>),
    /// Replicate an order and report how many nodes hold it: once the given number of nodes do, or all, or a timeout
    /// has passed. None if orders are not replicated.
    ReplicateOrder(ClusterOrder, Option<usize>, oneshot::Sender<Option<OrderAcks>>),
}

/// What the control socket needs of its node, besides the core.
#[derive(Clone)]
pub struct NodeContext {
    /// The events of the node.
    pub events: EventLog,
    /// Receiver of orders to the node itself.
    pub commands: mpsc::Sender<NodeCommand>,
    /// The configuration without secrets, for diagnosis bundles.
    pub redacted_config: Value,
    /// The task that communicates with the other nodes, if siblings are configured.
    pub siblings: Option<Arc<mpsc::Sender<SiblingsQuery>>>,
    /// Maximum number of file descriptors of the process.
    pub descriptor_limit: usize,
}

/// The server of a node's control socket.
pub struct Control {
    listener: UnixListener,
    inner: Arc<Inner>,
}

struct Inner {
    state_dir: StateDir,
    core: CoreHandle,
    node: NodeContext,
    publisher: Publisher,
    connections: Arc<Semaphore>,
    streams: Semaphore,
    /// Locked from reading the orders in force until they are written, so that an older state never overwrites a newer
    /// one.
    persisting: Mutex<()>,
}

impl Control {
    /// Listens on the socket in a state directory. Orders on servers are applied by the core, which must be configured
    /// to accept orders.
    ///
    /// # Errors
    /// If another node listens there, or the socket cannot be created.
    pub fn listen(state_dir: StateDir, core: CoreHandle, node: NodeContext) -> io::Result<Control> {
        let listener = bind(&state_dir)?;
        let (connections, persisting) = (Arc::new(Semaphore::new(MAX_CONNECTIONS)), Mutex::default());
        let publisher = Publisher::new(core.clone(), node.descriptor_limit);
        let streams = Semaphore::new(MAX_STREAMS);
        let inner = Inner { state_dir, core, node, publisher, connections, streams, persisting };
        Ok(Control { listener, inner: Arc::new(inner) })
    }

    /// Serves clients until the future is dropped. While there are none, it only checks periodically that the socket
    /// exists.
    pub async fn run(mut self) {
        loop {
            let Ok(permit) = self.inner.connections.clone().acquire_owned().await else { return };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = sleep(SOCKET_CHECK_INTERVAL) => {
                    self.restore_socket();
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    let inner = self.inner.clone();
                    tokio::spawn(async move {
                        inner.serve(stream).await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    warn!("control: {error}");
                    sleep(Duration::from_millis(100)).await; // file descriptors may be available again by then
                }
            }
        }
    }

    /// Creates the socket again if the state directory has been cleared.
    fn restore_socket(&mut self) {
        if self.inner.state_dir.has_socket() {
            return;
        }
        match bind(&self.inner.state_dir) {
            Ok(listener) => {
                self.listener = listener;
                warn!("control: the socket was missing from the state folder; it is made anew");
            }
            Err(error) => {
                warn!(
                    "control: cannot create the missing socket in the state folder: {error}; tried again in 5 s"
                )
            }
        }
    }
}

fn bind(state_dir: &StateDir) -> io::Result<UnixListener> {
    state_dir.remove_stale_socket()?;
    let listener = UnixListener::bind(state_dir.socket())?;
    state_dir.restrict_socket()?;
    Ok(listener)
}

type Lines = Framed<UnixStream, LinesCodec>;

impl Inner {
    async fn serve(&self, stream: UnixStream) {
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(MAX_LINE_BYTES));
        while let Ok(Some(line)) = timeout(CLIENT_TIMEOUT, lines.next()).await {
            let answer = match line
                .map_err(|error| error_answer(format!("no line: {error}")))
                .and_then(|l| parse_request(&l))
            {
                Ok(ControlRequest::Watch { every_ms, after }) => {
                    return self.stream_snapshots(&mut lines, Duration::from_millis(every_ms), after).await;
                }
                Ok(ControlRequest::Events { after, follow: true }) => {
                    return self.follow_events(&mut lines, after).await;
                }
                Ok(request) => self.answer(request).await,
                Err(answer) => answer,
            };
            let is_error = matches!(answer, Answer::Error { .. });
            if !send(&mut lines, to_line(&answer), CLIENT_TIMEOUT).await || is_error {
                return;
            }
        }
    }

    /// Sends snapshots and events at the pace of the client: the next snapshot is taken only when the client has read
    /// the last.
    async fn stream_snapshots(&self, lines: &mut Lines, interval: Duration, mut after: u64) {
        let Ok(_permit) = self.streams.try_acquire() else {
            let answer = error_answer(format!("{MAX_STREAMS} look already; close a console first"));
            send(lines, to_line(&answer), CLIENT_TIMEOUT).await;
            return;
        };
        let _observing = self.core.observe();
        let interval = interval.max(MIN_SNAPSHOT_INTERVAL);
        loop {
            let next = Instant::now() + interval;
            let Some(snapshot) = self.publisher.snapshot_line().await else { return };
            if !send(lines, &*snapshot, STREAM_TIMEOUT).await || !self.send_events(lines, &mut after).await {
                return;
            }
            tokio::select! {
                () = sleep_until(next) => {}
                // The client has disconnected, or has sent a request, which is not accepted during a stream.
                _ = lines.next() => return,
            }
        }
    }

    /// Sends the events after the one with the number `after`, and updates it. Returns false if the client does not
    /// read them.
    async fn send_events(&self, lines: &mut Lines, after: &mut u64) -> bool {
        loop {
            let batch = self.node.events.after(*after, EVENTS_PER_LINE);
            let Some(last) = batch.events.last().map(|event| event.number) else { return true };
            *after = last;
            if !send(lines, to_line(&Answer::Events { batch }), STREAM_TIMEOUT).await {
                return false;
            }
        }
    }

    /// Sends events until the client disconnects or sends anything.
    async fn follow_events(&self, lines: &mut Lines, mut after: u64) {
        let Ok(_permit) = self.streams.try_acquire() else {
            let answer = error_answer(format!("{MAX_STREAMS} look already; close a console first"));
            send(lines, to_line(&answer), CLIENT_TIMEOUT).await;
            return;
        };
        let mut changes = self.node.events.changes();
        loop {
            changes.borrow_and_update();
            if !self.send_events(lines, &mut after).await {
                return;
            }
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                _ = lines.next() => return,
            }
        }
    }

    async fn answer(&self, request: ControlRequest) -> Answer {
        if let Some(order) = request.server_order() {
            return match self.core.apply_order(order.clone()).await {
                Ok(Ok(done)) => {
                    let held = self.replicate(ClusterOrder::Server(order), request.wait_for()).await;
                    self.accepted(request, &done, held).await
                }
                Ok(Err(refusal)) => self.refused(request, &refusal.to_string()).await,
                Err(_) => ending(),
            };
        }
        match &request {
            ControlRequest::Servers => match self.core.servers().await {
                Ok(servers) => {
                    Answer::Servers { servers: servers.into_iter().map(ServerReport::new).collect() }
                }
                Err(_) => ending(),
            },
            ControlRequest::Snapshot => match self.publisher.snapshot().await {
                Some(snapshot) => Answer::Snapshot { snapshot: Box::new(snapshot) },
                None => ending(),
            },
            ControlRequest::Siblings => self.siblings().await,
            ControlRequest::Replica => self.replica().await,
            ControlRequest::Events { after, .. } => {
                Answer::Events { batch: self.node.events.after(*after, usize::MAX) }
            }
            ControlRequest::Reload => self.command(request, NodeCommand::Reload).await,
            ControlRequest::Level { level, everywhere } => {
                let (level, everywhere) = (level.clone(), *everywhere);
                let answer =
                    self.command(request, |answer| NodeCommand::SetLogLevel(level.clone(), answer)).await;
                match answer {
                    Answer::Done { what, unrecorded } if everywhere => {
                        let held = self.replicate(ClusterOrder::Level(level), None).await;
                        let held = held.map_or("at this node alone".into(), |held| {
                            format!("at {} of {} nodes so far", held.nodes, held.of)
                        });
                        Answer::Done { what: format!("{what}, {held}"), unrecorded }
                    }
                    other => other,
                }
            }
            ControlRequest::Stop => self.command(request, NodeCommand::Stop).await,
            ControlRequest::Leave => {
                self.command(request, |answer| NodeCommand::SetInService(false, answer)).await
            }
            ControlRequest::Join => {
                self.command(request, |answer| NodeCommand::SetInService(true, answer)).await
            }
            ControlRequest::Diagnose => {
                let outcome = self.write_diagnosis().await;
                self.done(request, outcome).await
            }
            ControlRequest::Orders
            | ControlRequest::Watch { .. }
            | ControlRequest::Drain { .. }
            | ControlRequest::Undrain { .. } => self.orders_in_force().await,
        }
    }

    async fn siblings(&self) -> Answer {
        let none = || Answer::Refused { why: "this node has no siblings; list them in [siblings]".into() };
        let Some(answer) = self.query_siblings(SiblingsQuery::Siblings).await else { return none() };
        answer.await.map_or_else(|_| ending(), |sight| Answer::Siblings { sight: Box::new(sight) })
    }

    async fn replica(&self) -> Answer {
        let why = "this node holds nothing in common with others; name kinds in `common` of [siblings]";
        let none = || Answer::Refused { why: why.into() };
        let Some(answer) = self.query_siblings(SiblingsQuery::Replica).await else { return none() };
        match answer.await {
            Ok(Some(copy)) => Answer::Replica { copy: Box::new(copy) },
            Ok(None) => none(),
            Err(_) => ending(),
        }
    }

    /// Replicates an order that this node has carried out, and returns how many nodes hold it.
    async fn replicate(&self, order: ClusterOrder, wait_for: Option<usize>) -> Option<OrderAcks> {
        let answer =
            self.query_siblings(|sender| SiblingsQuery::ReplicateOrder(order, wait_for, sender)).await?;
        answer.await.ok().flatten()
    }

    /// Sends a query to the task that communicates with the other nodes; none if there is no such task.
    async fn query_siblings<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> SiblingsQuery,
    ) -> Option<oneshot::Receiver<T>> {
        let queries = self.node.siblings.as_ref()?;
        let (sender, answer) = oneshot::channel();
        queries.send(query(sender)).await.ok()?;
        Some(answer)
    }

    /// Has the node carry out an order to itself.
    async fn command(
        &self,
        request: ControlRequest,
        command: impl FnOnce(oneshot::Sender<CommandResult>) -> NodeCommand,
    ) -> Answer {
        let (sender, outcome) = oneshot::channel();
        if self.node.commands.send(command(sender)).await.is_err() {
            return ending();
        }
        match outcome.await {
            Ok(outcome) => self.done(request, outcome).await,
            Err(_) => ending(),
        }
    }

    async fn done(&self, request: ControlRequest, outcome: CommandResult) -> Answer {
        match outcome {
            Ok(what) => {
                let unrecorded = self.record(request, what.clone(), None).await.err();
                Answer::Done { what, unrecorded: unrecorded.map(|error| error.to_string()) }
            }
            Err(why) => self.refused(request, &why).await,
        }
    }

    /// Writes a diagnosis bundle: the configuration without secrets, a snapshot, the orders, and the latest events.
    async fn write_diagnosis(&self) -> CommandResult {
        let ending_message = || "the node is ending".to_owned();
        let snapshot = self.publisher.snapshot().await.ok_or_else(ending_message)?;
        let orders = self.orders_in_force().await;
        let events = self.node.events.after(0, usize::MAX);
        let contents = json!({
            "configuration": self.node.redacted_config,
            "snapshot": snapshot,
            "orders": orders,
            "events": events,
        });
        let state_dir = self.state_dir.clone();
        let written = spawn_blocking(move || state_dir.write_diagnosis(&contents))
            .await
            .map_err(|error| error.to_string())?;
        match written {
            Ok(path) => Ok(format!("written to {}", path.display())),
            Err(error) => Err(format!("no bundle could be written: {error}; make room in the state folder")),
        }
    }

    async fn accepted(
        &self,
        request: ControlRequest,
        done: &AppliedOrder,
        held: Option<OrderAcks>,
    ) -> Answer {
        let _guard = self.persisting.lock().await;
        let Ok(in_force) = self.core.orders_in_force().await else { return ending() };
        let replaced = done.replaced.map(|held| OrderReport::new(server_name(&request), held, in_force.now));
        let held_by =
            held.map_or(String::new(), |held| format!(", held by {} of {} nodes", held.nodes, held.of));
        let outcome = format!("obeyed as order {}{held_by}", done.number);
        let unrecorded = self.record(request, outcome, Some(in_force.kept)).await.err();
        let unrecorded = unrecorded.map(|error| error.to_string());
        Answer::Accepted { number: done.number, replaced, unrecorded, held }
    }

    async fn refused(&self, request: ControlRequest, why: &str) -> Answer {
        if let Err(error) = self.record(request, format!("refused: {why}"), None).await {
            warn!("control: a refused order is not recorded: {error}");
        }
        Answer::Refused { why: why.to_owned() }
    }

    async fn orders_in_force(&self) -> Answer {
        let Ok(OrdersInForce { orders, now, .. }) = self.core.orders_in_force().await else {
            return ending();
        };
        let orders = orders.iter().map(|(server, held)| OrderReport::new(server, *held, now)).collect();
        Answer::Orders { orders }
    }

    /// Logs an order, appends it to the audit log, and persists `kept` if given. Runs on a blocking thread, so that a
    /// full or slow disk does not delay others.
    async fn record(
        &self,
        request: ControlRequest,
        outcome: String,
        kept: Option<Vec<PersistentOrder>>,
    ) -> io::Result<()> {
        let request_json = serde_json::to_string(&request).unwrap_or_default();
        info!(order = request_json, "{outcome}");
        let state_dir = self.state_dir.clone();
        let write = move || {
            let kept = kept.map_or(Ok(()), |kept| state_dir.save_orders(kept));
            state_dir.append_audit(&request, &outcome).and(kept)
        };
        spawn_blocking(write).await.map_err(io::Error::other)?
    }
}

/// Sends a line. Returns false if the client does not read it within `limit`.
async fn send(lines: &mut Lines, line: impl AsRef<str> + Send, limit: Duration) -> bool {
    matches!(timeout(limit, lines.send(line)).await, Ok(Ok(())))
}

fn to_line(answer: &Answer) -> String {
    serde_json::to_string(answer).unwrap_or_default()
}

/// Parses a request. The error is the answer to a request that cannot be parsed.
fn parse_request(line: &str) -> Result<ControlRequest, Answer> {
    let version = serde_json::from_str::<Value>(line).ok().and_then(|value| value["v"].as_u64());
    match version {
        Some(v) if (1..=u64::from(VERSION)).contains(&v) => {}
        Some(v) => {
            return Err(error_answer(format!(
                "this node speaks version {VERSION}, not {v}; use its own program"
            )));
        }
        None => return Err(error_answer("no question; write a line of JSON with \"v\" and \"ask\"".into())),
    }
    serde_json::from_str::<RequestEnvelope>(line)
        .map(|envelope| envelope.request)
        .map_err(|error| error_answer(format!("no question: {error}")))
}

fn server_name(request: &ControlRequest) -> &str {
    match request {
        ControlRequest::Drain { server, .. } | ControlRequest::Undrain { server, .. } => server,
        _ => "",
    }
}

fn error_answer(what: String) -> Answer {
    Answer::Error { v: VERSION, what }
}

fn ending() -> Answer {
    error_answer("the node is ending".into())
}
