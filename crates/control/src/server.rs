//! The node's side: questions come in, orders go to the core and to the node.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use lilacquay_core::{CoreHandle, OrdersInForce};
use lilacquay_overrides::{Ask, Done, Kept};
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
    ActiveOrder, Answer, ControlRequest, LONGEST, OrderAcks, ReplicaReport, RequestEnvelope, Server,
    SiblingsReport, VERSION,
};
use crate::publisher::Publisher;

/// Who speaks at once; others wait until one is done.
const MOST: usize = 48;
/// Who watches or follows at once: the others' places stay free for questions.
const STREAMS: usize = 32;
/// Who neither asks nor reads for so long is hung up on; one who watches, and may have stopped, after longer.
const IDLE: Duration = Duration::from_secs(60);
const STOPPED: Duration = Duration::from_secs(600);
/// The quickest pace of snapshots.
const QUICKEST: Duration = Duration::from_millis(200);
/// Events in one line.
const AT_ONCE: usize = 100;
/// How often the socket's place is looked at.
const LOOK: Duration = Duration::from_secs(5);

/// What an order on the node itself came to: what was done, or why not.
pub type CommandResult = Result<String, String>;

/// An order on the node itself.
#[derive(Debug)]
pub enum NodeCommand {
    /// To read the configuration again.
    Reload(oneshot::Sender<CommandResult>),
    /// To log from this level on.
    SetLogLevel(String, oneshot::Sender<CommandResult>),
    /// To leave service, or to be in service again.
    SetInService(bool, oneshot::Sender<CommandResult>),
    /// To answer what was taken, and end.
    Stop(oneshot::Sender<CommandResult>),
}

/// An order that all nodes are to hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterOrder {
    /// On a server, which is obeyed here already.
    Server(Ask),
    /// To log from this level on.
    Level(String),
}

/// What whoever speaks to the other nodes is asked.
#[derive(Debug)]
pub enum SiblingsQuery {
    /// What it sees of them.
    Siblings(oneshot::Sender<SiblingsReport>),
    /// What it holds of what all hold in common; nothing where they hold nothing so.
    Replica(oneshot::Sender<Option<ReplicaReport>>),
    /// All records of its copy, as text, and how long each lives yet, in microseconds: for the process that follows.
    Records(oneshot::Sender<Vec<(String, Option<u64>)>>),
    /// To have all nodes hold an order, and to say how many do: once these many do, or all, or it has taken too long.
    /// Nothing where they hold no orders in common.
    ReplicateOrder(ClusterOrder, Option<usize>, oneshot::Sender<Option<OrderAcks>>),
}

/// What a node gives its control socket beside the core.
#[derive(Clone)]
pub struct NodeContext {
    /// What has happened there.
    pub events: EventLog,
    /// Who carries out orders on the node itself.
    pub commands: mpsc::Sender<NodeCommand>,
    /// Its configuration, without secrets, for diagnosis bundles.
    pub redacted_config: Value,
    /// Who tells what it sees of the other nodes, where they speak to one another.
    pub siblings: Option<Arc<mpsc::Sender<SiblingsQuery>>>,
    /// Descriptors that it may hold.
    pub descriptor_limit: usize,
}

/// A node's control socket.
pub struct Control {
    listener: UnixListener,
    inner: Arc<Inner>,
}

struct Inner {
    folder: StateDir,
    orders: CoreHandle,
    host: NodeContext,
    publisher: Publisher,
    places: Arc<Semaphore>,
    streams: Semaphore,
    /// Held from the look at what holds until it is written. Guards against: an older state written over a newer one.
    recording: Mutex<()>,
}

impl Control {
    /// Listens in a folder. Orders go to that core, which must be steered.
    ///
    /// # Errors
    /// If another node listens there, or the socket can't be made.
    pub fn listen(folder: StateDir, orders: CoreHandle, host: NodeContext) -> io::Result<Control> {
        let listener = bind(&folder)?;
        let (places, recording) = (Arc::new(Semaphore::new(MOST)), Mutex::default());
        let publisher = Publisher::new(orders.clone(), host.descriptor_limit);
        let streams = Semaphore::new(STREAMS);
        let inner = Inner { folder, orders, host, publisher, places, streams, recording };
        Ok(Control { listener, inner: Arc::new(inner) })
    }

    /// Serves until it is dropped. Costs nothing while nobody asks, but for a look at the socket's place.
    pub async fn run(mut self) {
        loop {
            let Ok(place) = self.inner.places.clone().acquire_owned().await else { return };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = sleep(LOOK) => {
                    self.mend();
                    continue;
                }
            };
            match accepted {
                Ok((stream, _)) => {
                    let inner = self.inner.clone();
                    tokio::spawn(async move {
                        inner.attend(stream).await;
                        drop(place);
                    });
                }
                Err(error) => {
                    warn!("control: {error}");
                    sleep(Duration::from_millis(100)).await; // descriptors may be free again by then
                }
            }
        }
    }

    /// Listens anew where somebody has cleared the folder.
    fn mend(&mut self) {
        if self.inner.folder.has_socket() {
            return;
        }
        match bind(&self.inner.folder) {
            Ok(listener) => {
                self.listener = listener;
                warn!("control: the socket had gone from the state folder; it is made anew");
            }
            Err(error) => {
                warn!("control: the socket has gone from the state folder: {error}; tried again in 5 s")
            }
        }
    }
}

fn bind(folder: &StateDir) -> io::Result<UnixListener> {
    folder.remove_stale_socket()?;
    let listener = UnixListener::bind(folder.socket())?;
    folder.restrict_socket()?;
    Ok(listener)
}

type Lines = Framed<UnixStream, LinesCodec>;

impl Inner {
    async fn attend(&self, stream: UnixStream) {
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(LONGEST));
        while let Ok(Some(line)) = timeout(IDLE, lines.next()).await {
            let answer =
                match line.map_err(|error| wrong(format!("no line: {error}"))).and_then(|l| question(&l)) {
                    Ok(ControlRequest::Watch { every_ms, after }) => {
                        return self.watched(&mut lines, Duration::from_millis(every_ms), after).await;
                    }
                    Ok(ControlRequest::Events { after, follow: true }) => {
                        return self.followed(&mut lines, after).await;
                    }
                    Ok(verb) => self.answer(verb).await,
                    Err(answer) => answer,
                };
            let last = matches!(answer, Answer::Error { .. });
            if !send(&mut lines, text(&answer), IDLE).await || last {
                return;
            }
        }
    }

    /// Sends snapshots at the reader's own pace: the next is made only when the last has been taken.
    async fn watched(&self, lines: &mut Lines, every: Duration, mut after: u64) {
        let Ok(_place) = self.streams.try_acquire() else {
            let most = wrong(format!("{STREAMS} look already; close a console first"));
            send(lines, text(&most), IDLE).await;
            return;
        };
        let _watching = self.orders.observe();
        let every = every.max(QUICKEST);
        loop {
            let next = Instant::now() + every;
            let Some(snapshot) = self.publisher.line().await else { return };
            if !send(lines, &*snapshot, STOPPED).await || !self.news(lines, &mut after).await {
                return;
            }
            tokio::select! {
                () = sleep_until(next) => {}
                _ = lines.next() => return, // it has left, or asks what it can't here
            }
        }
    }

    /// Sends the events behind one, if there are any; false if nobody takes them.
    async fn news(&self, lines: &mut Lines, after: &mut u64) -> bool {
        loop {
            let batch = self.host.events.after(*after, AT_ONCE);
            let Some(last) = batch.events.last().map(|event| event.number) else { return true };
            *after = last;
            if !send(lines, text(&Answer::Events { batch }), STOPPED).await {
                return false;
            }
        }
    }

    async fn followed(&self, lines: &mut Lines, mut after: u64) {
        let Ok(_place) = self.streams.try_acquire() else {
            let most = wrong(format!("{STREAMS} look already; close a console first"));
            send(lines, text(&most), IDLE).await;
            return;
        };
        let mut changes = self.host.events.changes();
        loop {
            changes.borrow_and_update();
            if !self.news(lines, &mut after).await {
                return;
            }
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                _ = lines.next() => return,
            }
        }
    }

    async fn answer(&self, verb: ControlRequest) -> Answer {
        if let Some(ask) = verb.order() {
            return match self.orders.apply_order(ask.clone()).await {
                Ok(Ok(done)) => {
                    let held = self.in_common(ClusterOrder::Server(ask), verb.wait_for()).await;
                    self.obeyed(verb, &done, held).await
                }
                Ok(Err(refusal)) => self.refused(verb, &refusal.to_string()).await,
                Err(_) => ended(),
            };
        }
        match &verb {
            ControlRequest::Servers => match self.orders.servers().await {
                Ok(servers) => Answer::Servers { servers: servers.into_iter().map(Server::new).collect() },
                Err(_) => ended(),
            },
            ControlRequest::Snapshot => match self.publisher.snapshot().await {
                Some(snapshot) => Answer::Snapshot { snapshot: Box::new(snapshot) },
                None => ended(),
            },
            ControlRequest::Siblings => self.siblings().await,
            ControlRequest::Replica => self.replica().await,
            ControlRequest::Events { after, .. } => {
                Answer::Events { batch: self.host.events.after(*after, usize::MAX) }
            }
            ControlRequest::Reload => self.command(verb, NodeCommand::Reload).await,
            ControlRequest::Level { level, everywhere } => {
                let (level, everywhere) = (level.clone(), *everywhere);
                let answer =
                    self.command(verb, |answer| NodeCommand::SetLogLevel(level.clone(), answer)).await;
                match answer {
                    Answer::Done { what, unrecorded } if everywhere => {
                        let held = self.in_common(ClusterOrder::Level(level), None).await;
                        let held = held.map_or("at this node alone".into(), |held| {
                            format!("at {} of {} nodes so far", held.nodes, held.of)
                        });
                        Answer::Done { what: format!("{what}, {held}"), unrecorded }
                    }
                    other => other,
                }
            }
            ControlRequest::Stop => self.command(verb, NodeCommand::Stop).await,
            ControlRequest::Leave => {
                self.command(verb, |answer| NodeCommand::SetInService(false, answer)).await
            }
            ControlRequest::Join => {
                self.command(verb, |answer| NodeCommand::SetInService(true, answer)).await
            }
            ControlRequest::Diagnose => {
                let outcome = self.bundle().await;
                self.done(verb, outcome).await
            }
            ControlRequest::Orders
            | ControlRequest::Watch { .. }
            | ControlRequest::Drain { .. }
            | ControlRequest::Undrain { .. } => self.holding().await,
        }
    }

    async fn siblings(&self) -> Answer {
        let none = || Answer::Refused { why: "this node has no siblings; list them in [siblings]".into() };
        let Some(told) = self.ask_siblings(SiblingsQuery::Siblings).await else { return none() };
        told.await.map_or_else(|_| ended(), |sight| Answer::Siblings { sight: Box::new(sight) })
    }

    async fn replica(&self) -> Answer {
        let why = "this node holds nothing in common with others; name kinds in `common` of [siblings]";
        let none = || Answer::Refused { why: why.into() };
        let Some(told) = self.ask_siblings(SiblingsQuery::Replica).await else { return none() };
        match told.await {
            Ok(Some(copy)) => Answer::Replica { copy: Box::new(copy) },
            Ok(None) => none(),
            Err(_) => ended(),
        }
    }

    /// Has all nodes hold an order that is obeyed here; tells how many do.
    async fn in_common(&self, order: ClusterOrder, wait_for: Option<usize>) -> Option<OrderAcks> {
        let told = self.ask_siblings(|answer| SiblingsQuery::ReplicateOrder(order, wait_for, answer)).await?;
        told.await.ok().flatten()
    }

    /// Asks whoever speaks to the other nodes; nothing if nobody does.
    async fn ask_siblings<T>(
        &self,
        ask: impl FnOnce(oneshot::Sender<T>) -> SiblingsQuery,
    ) -> Option<oneshot::Receiver<T>> {
        let to = self.host.siblings.as_ref()?;
        let (answer, told) = oneshot::channel();
        to.send(ask(answer)).await.ok()?;
        Some(told)
    }

    /// Has the node carry out an order on itself.
    async fn command(
        &self,
        verb: ControlRequest,
        command: impl FnOnce(oneshot::Sender<CommandResult>) -> NodeCommand,
    ) -> Answer {
        let (answer, told) = oneshot::channel();
        if self.host.commands.send(command(answer)).await.is_err() {
            return ended();
        }
        match told.await {
            Ok(outcome) => self.done(verb, outcome).await,
            Err(_) => ended(),
        }
    }

    async fn done(&self, verb: ControlRequest, outcome: CommandResult) -> Answer {
        match outcome {
            Ok(what) => {
                let unrecorded = self.record(verb, what.clone(), None).await.err();
                Answer::Done { what, unrecorded: unrecorded.map(|error| error.to_string()) }
            }
            Err(why) => self.refused(verb, &why).await,
        }
    }

    /// Writes a diagnosis bundle: configuration without secrets, figures, orders, the last events.
    async fn bundle(&self) -> CommandResult {
        let ending = || "the node is ending".to_owned();
        let snapshot = self.publisher.snapshot().await.ok_or_else(ending)?;
        let orders = self.holding().await;
        let events = self.host.events.after(0, usize::MAX);
        let contents = json!({ "configuration": self.host.redacted_config, "snapshot": snapshot, "orders": orders, "events": events });
        let folder = self.folder.clone();
        let written = spawn_blocking(move || folder.write_diagnosis(&contents))
            .await
            .map_err(|error| error.to_string())?;
        match written {
            Ok(path) => Ok(format!("written to {}", path.display())),
            Err(error) => Err(format!("no bundle could be written: {error}; make room in the state folder")),
        }
    }

    async fn obeyed(&self, verb: ControlRequest, done: &Done, held: Option<OrderAcks>) -> Answer {
        let _turn = self.recording.lock().await;
        let Ok(holding) = self.orders.orders_in_force().await else { return ended() };
        let replaced = done.replaced.map(|held| ActiveOrder::new(server(&verb), held, holding.now));
        let by = held.map_or(String::new(), |held| format!(", held by {} of {} nodes", held.nodes, held.of));
        let outcome = format!("obeyed as order {}{by}", done.number);
        let unrecorded = self.record(verb, outcome, Some(holding.kept)).await.err();
        let unrecorded = unrecorded.map(|error| error.to_string());
        Answer::Accepted { number: done.number, replaced, unrecorded, held }
    }

    async fn refused(&self, verb: ControlRequest, why: &str) -> Answer {
        if let Err(error) = self.record(verb, format!("refused: {why}"), None).await {
            warn!("control: a refused order is not recorded: {error}");
        }
        Answer::Refused { why: why.to_owned() }
    }

    async fn holding(&self) -> Answer {
        let Ok(OrdersInForce { orders, now, .. }) = self.orders.orders_in_force().await else {
            return ended();
        };
        let orders = orders.iter().map(|(server, held)| ActiveOrder::new(server, *held, now)).collect();
        Answer::Orders { orders }
    }

    /// Records an order, and keeps those that last. A disk that is full or slow holds up nobody else.
    async fn record(&self, verb: ControlRequest, outcome: String, kept: Option<Vec<Kept>>) -> io::Result<()> {
        let asked = serde_json::to_string(&verb).unwrap_or_default();
        info!(order = asked, "{outcome}");
        let folder = self.folder.clone();
        let write = move || {
            let kept = kept.map_or(Ok(()), |kept| folder.save_orders(kept));
            folder.append_audit(&verb, &outcome).and(kept)
        };
        spawn_blocking(write).await.map_err(io::Error::other)?
    }
}

/// Sends a line; false if nobody takes it in time.
async fn send(lines: &mut Lines, text: impl AsRef<str> + Send, within: Duration) -> bool {
    matches!(timeout(within, lines.send(text)).await, Ok(Ok(())))
}

fn text(answer: &Answer) -> String {
    serde_json::to_string(answer).unwrap_or_default()
}

/// Reads a question, or tells what is wrong with it.
fn question(line: &str) -> Result<ControlRequest, Answer> {
    let version = serde_json::from_str::<Value>(line).ok().and_then(|asked| asked["v"].as_u64());
    match version {
        Some(v) if (1..=u64::from(VERSION)).contains(&v) => {}
        Some(v) => {
            return Err(wrong(format!("this node speaks version {VERSION}, not {v}; use its own program")));
        }
        None => return Err(wrong("no question; write a line of JSON with \"v\" and \"ask\"".into())),
    }
    serde_json::from_str::<RequestEnvelope>(line)
        .map(|question| question.verb)
        .map_err(|error| wrong(format!("no question: {error}")))
}

fn server(verb: &ControlRequest) -> &str {
    match verb {
        ControlRequest::Drain { server, .. } | ControlRequest::Undrain { server, .. } => server,
        _ => "",
    }
}

fn wrong(what: String) -> Answer {
    Answer::Error { v: VERSION, what }
}

fn ended() -> Answer {
    wrong("the node is ending".into())
}
