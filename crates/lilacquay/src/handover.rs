//! The I/O of a hand-over: a socket and a lock in the folder that the processes of a node share, through which the one
//! that runs and the one that is started beside it meet. Who may use what, the [`ResourceSplit`] decides.
//!
//! The lock tells whether any other process of the node lives: each holds it shared, and only one that is alone gets
//! it whole. The kernel lets go of it whatever way a process ends. The socket is of the process that has no elder.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_control::SiblingsQuery;
use lilacquay_core::{CoreHandle, HandoverState, Learned, ResourceShare, ServerList, ServerState};
use lilacquay_handover::messages::{self, Decoded, Message};
use lilacquay_handover::resource_split::{Action, Event, PredecessorState, ResourceSplit};
use lilacquay_lifecycle::ServiceMode;
use lilacquay_members::discovery::DiscoveryResponse;
use rustix::fs::{FlockOperation, flock};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout, timeout_at};
use tracing::{info, warn};

/// An elder that has not told all after so long does not answer.
const ANSWER: Duration = Duration::from_secs(1);
/// One that must wait for its turn asks again after this ...
const AGAIN: Duration = Duration::from_millis(50);
/// ... and no longer than this: the platform waits 6 s for a yes.
const PATIENCE: Duration = Duration::from_secs(4);
/// How often it is looked at what is held, and who has died.
const LOOK: Duration = Duration::from_millis(50);
/// Where it can't be listened, it is tried again after so long.
const NEXT_LISTEN: Duration = Duration::from_secs(10);
/// The forms of the parts.
const LIST: u32 = 1;
const LEARNED: u32 = 1;
const COPY: u32 = 1;

/// Where the processes of a node meet.
#[derive(Debug, Clone)]
pub struct Place {
    socket: PathBuf,
    lock: PathBuf,
}

impl Place {
    /// For a node that listens at this port, in a folder that all its processes share.
    pub fn new(folder: PathBuf, port: u16) -> Place {
        let file = |ending: &str| folder.join(format!("lilacquay-{port}.{ending}"));
        Place { socket: file("next"), lock: file("lock") }
    }

    fn lock(&self) -> io::Result<File> {
        OpenOptions::new().create(true).truncate(false).write(true).open(&self.lock)
    }
}

/// What came from the process before.
#[derive(Debug, Default)]
pub struct Received {
    /// The list, and the version from which its source goes on.
    pub list: Option<(ServerList, Option<u64>)>,
    /// What was learned.
    pub learned: Option<Learned>,
    /// What it held in common with other nodes: records as text, and how long each lives yet, in microseconds.
    pub copy: Vec<(String, Option<u64>)>,
}

/// Who is asked for what the process holds in common with other nodes.
pub type Holder = Arc<mpsc::Sender<SiblingsQuery>>;

/// A process's side of the tie.
pub struct Succession {
    place: Place,
    tie: ResourceSplit,
    portion: ResourceShare,
    /// Held as long as the process lives.
    lock: File,
    elder: Option<Peer>,
    heir: Option<Peer>,
    listener: Option<UnixListener>,
    /// When it may be tried to listen, after it has failed.
    listens_at: Instant,
}

/// The other end of a tie.
struct Peer {
    stream: UnixStream,
    pid: i32,
    buffer: BytesMut,
    /// Its connection has ended, which is no proof that it is dead.
    ended: bool,
}

impl Peer {
    fn new(stream: UnixStream) -> io::Result<Peer> {
        let pid = stream.peer_cred()?.pid().ok_or(io::ErrorKind::Unsupported)?;
        Ok(Peer { stream, pid, buffer: BytesMut::new(), ended: false })
    }

    async fn say(&mut self, message: &Message) -> io::Result<()> {
        let mut text = BytesMut::new();
        messages::encode(message, &mut text);
        timeout(ANSWER, self.stream.write_all(&text)).await?
    }

    /// The next message; what is declined is passed over, and said.
    async fn hear(&mut self) -> io::Result<Message> {
        loop {
            match messages::decode(&mut self.buffer) {
                Ok(Some(Decoded::Message(message))) => return Ok(message),
                Ok(Some(Decoded::Declined(why))) => warn!("a part of the hand-over is declined: {why}"),
                Ok(None) => {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Err(messages::Malformed) => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    /// Whether the process has ended, also if nobody has waited for it yet.
    fn is_dead(&self) -> bool {
        let Ok(stat) = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)) else { return true };
        let state = stat.rsplit(')').next().and_then(|rest| rest.trim_start().chars().next());
        matches!(state, Some('Z' | 'X') | None)
    }
}

impl Succession {
    /// Meets the process before, if there is one, and takes what it hands over.
    ///
    /// # Errors
    /// If the folder can't be used. Then nothing passes, and nobody can be met.
    pub async fn begin(place: Place, portion: ResourceShare) -> io::Result<(Succession, Received)> {
        let lock = place.lock()?;
        let (tie, elder, heir, listener) = Default::default();
        let listens_at = Instant::now();
        let mut this = Succession { place, tie, portion, lock, elder, heir, listener, listens_at };
        let (until, mut received) = (Instant::now() + PATIENCE, Received::default());
        loop {
            if this.is_alone() {
                this.on(Event::NoPredecessor).await;
                break;
            }
            let asked = timeout(ANSWER, this.ask(&mut received)).await;
            match asked {
                Ok(Ok(true)) => break,
                // Told to wait, or nobody listens yet.
                Ok(Ok(false) | Err(_)) if this.elder.is_none() && Instant::now() < until => {
                    sleep(AGAIN).await
                }
                _ => {
                    warn!(
                        "another process of this node lives and hands nothing over: served with what is kept for that"
                    );
                    this.elder.iter_mut().for_each(|elder| elder.ended = true); // its death is looked for
                    this.on(Event::PredecessorUnresponsive).await;
                    break;
                }
            }
        }
        Ok((this, received))
    }

    /// Whether no other process of the node lives; from then on others see that this one does.
    fn is_alone(&self) -> bool {
        let alone = flock(&self.lock, FlockOperation::NonBlockingLockExclusive).is_ok();
        // Refused only while another looks as well; it is looked at again.
        let shown = flock(&self.lock, FlockOperation::NonBlockingLockShared).is_ok();
        alone && shown
    }

    /// Asks whoever listens, and takes what that tells. False if it is told to wait.
    async fn ask(&mut self, received: &mut Received) -> io::Result<bool> {
        let mut peer = Peer::new(UnixStream::connect(&self.place.socket).await?)?;
        let build = env!("CARGO_PKG_VERSION").to_owned();
        peer.say(&Message::TakeoverRequest { pid: std::process::id(), build }).await?;
        let Message::Accepted { build, .. } = peer.hear().await? else { return Ok(false) };
        info!("process {} of build {build} hands over", peer.pid);
        // From here on it has an heir, whatever becomes of the words between the two.
        self.elder = Some(peer);
        self.on(Event::PredecessorAccepted).await;
        loop {
            match hear(&mut self.elder).await? {
                Message::StatePart { name, version, body } => received.take(&name, version, body),
                Message::Grant(all) => self.on(Event::Granted(all)).await,
                // With nothing granted it could serve nobody: the elder lets go of something first.
                Message::StateComplete if self.tie.limit() > 0 => return Ok(true),
                Message::StateComplete
                | Message::Wait
                | Message::Accepted { .. }
                | Message::TakeoverRequest { .. } => {}
            }
        }
    }

    async fn on(&mut self, event: Event) {
        for action in self.tie.on_event(event) {
            if let (Action::Grant(all), Some(heir)) = (action, &mut self.heir) {
                // One that is gone is found dead later; its part comes back then.
                let _ = heir.say(&Message::Grant(all)).await;
            }
        }
        self.portion.set(self.tie.limit(), self.tie.has_live_peer());
    }

    /// Keeps the tie for as long as the process runs; ends only with it. `holds` tells what it holds, in thousandths.
    pub async fn keep(
        mut self,
        orders: CoreHandle,
        copy: Option<Holder>,
        holds: impl Fn() -> u32 + Send,
        mut bearing: watch::Receiver<ServiceMode>,
    ) {
        let (mut stopping, mut looks) = (false, interval(LOOK));
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let listens = self.listener.is_some() || stopping || Instant::now() < self.listens_at;
            if self.tie.predecessor() == PredecessorState::Absent && !listens {
                self.listen();
            }
            tokio::select! {
                _ = looks.tick() => {
                    self.on(Event::InUse(holds())).await;
                    self.look().await;
                }
                Ok(stream) = accept(&self.listener) => self.asked(stream, &orders, copy.as_ref()).await,
                message = hear(&mut self.elder) => match message {
                    Ok(Message::Grant(all)) => self.on(Event::Granted(all)).await,
                    Ok(_) => {}
                    Err(_) => if let Some(elder) = &mut self.elder {
                        elder.ended = true;
                    }
                },
                _ = hear(&mut self.heir) => if let Some(heir) = &mut self.heir {
                    heir.ended = true; // it has nothing more to say
                },
                Ok(()) = bearing.changed() => {
                    let now = *bearing.borrow();
                    // Life says of a process that finishes that it takes nobody, while the pair does.
                    if !stopping && !now.accepts_connections {
                        stopping = true;
                        self.on(Event::Stop).await;
                    }
                }
            }
        }
    }

    /// Looks for the dead. Also one whose elder never answered learns here that it is alone.
    async fn look(&mut self) {
        if self.heir.as_ref().is_some_and(|heir| heir.ended && heir.is_dead()) {
            info!("the process that was to follow has ended");
            self.heir = None;
            self.on(Event::SuccessorDied).await;
        }
        if self.elder.as_ref().is_some_and(|elder| elder.ended && elder.is_dead()) {
            info!("the process before has ended: all is this one's");
            self.elder = None;
            self.on(Event::NoPredecessor).await;
        }
        if self.tie.predecessor() == PredecessorState::Unresponsive && self.is_alone() {
            self.on(Event::NoPredecessor).await;
        }
    }

    /// Takes the place where the next process asks; what is left there is of the dead.
    fn listen(&mut self) {
        let fresh = self.place.socket.with_extension("new");
        let _ = std::fs::remove_file(&fresh); // may not be there
        let bound = UnixListener::bind(&fresh);
        let listener = bound.and_then(|listener| {
            std::fs::rename(&fresh, &self.place.socket)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                self.listens_at = Instant::now() + NEXT_LISTEN;
                warn!("no process can take over from this one: {error}; make {fresh:?} writable");
            }
        }
    }

    /// Somebody asks to follow.
    async fn asked(&mut self, stream: UnixStream, orders: &CoreHandle, copy: Option<&Holder>) {
        let Ok(mut peer) = Peer::new(stream) else { return };
        match timeout(ANSWER, peer.hear()).await {
            Ok(Ok(Message::TakeoverRequest { build, .. })) => {
                info!("process {} of build {build} asks to follow", peer.pid)
            }
            _ => return, // one that says nothing of use
        }
        let actions = self.tie.on_event(Event::SuccessorRequests);
        if !actions.contains(&Action::AcceptSuccessor) {
            let _ = peer.say(&Message::Wait).await; // it asks again, or has gone
            return;
        }
        let told = self.hand_over(&mut peer, &actions, orders, copy).await;
        if let Err(error) = told {
            warn!("handing over: {error}");
        }
        self.heir = Some(peer); // whatever it has understood: what it was granted comes back once it is dead
        self.portion.set(self.tie.limit(), self.tie.has_live_peer());
    }

    async fn hand_over(
        &self,
        heir: &mut Peer,
        actions: &[Action],
        orders: &CoreHandle,
        copy: Option<&Holder>,
    ) -> io::Result<()> {
        let build = env!("CARGO_PKG_VERSION").to_owned();
        heir.say(&Message::Accepted { pid: std::process::id(), build }).await?;
        for action in actions {
            if let Action::Grant(all) = action {
                heir.say(&Message::Grant(*all)).await?;
            }
        }
        if let Ok(Ok(heritage)) = timeout(ANSWER, orders.handover_state()).await {
            for (name, version, body) in parts(&heritage) {
                heir.say(&Message::StatePart { name: name.into(), version, body }).await?;
            }
        }
        if let Some(copy) = copy
            && let Ok(Some(records)) = timeout(ANSWER, held(copy)).await
        {
            let body = serde_json::to_value(records).unwrap_or_default(); // text and numbers alone
            heir.say(&Message::StatePart { name: "copy".into(), version: COPY, body }).await?;
        }
        heir.say(&Message::StateComplete).await
    }
}

impl Received {
    fn take(&mut self, name: &str, version: u32, body: Value) {
        let taken = match name {
            "list" => messages::decode_part::<DiscoveryResponse>(version, LIST, body.clone()).map(|told| {
                let known = body["version"].as_u64();
                self.list = Some((ServerList { full: true, ..told.list }, known));
            }),
            "copy" => messages::decode_part(version, COPY, body).map(|copy| self.copy = copy),
            "learned" => {
                messages::decode_part(version, LEARNED, body).map(|learned| self.learned = Some(learned))
            }
            _ => Err("not known here".into()),
        };
        if let Err(why) = taken {
            warn!("{name:?} of the hand-over is declined: {why}");
        }
    }
}

fn parts(heritage: &HandoverState) -> [(&'static str, u32, Value); 2] {
    let servers = heritage.list.servers.iter().map(|server| {
        let state = match server.state {
            ServerState::Serving => "SERVING",
            ServerState::Draining => "DRAINING",
            ServerState::Deleted => "DELETED",
        };
        json!({
            "id": server.id, "addr": server.addr, "zone": server.zone, "kind": server.kind, "cell": server.cell,
            "state": state, "weight": server.weight, "started_ms": server.started_ms,
        })
    });
    let servers: Vec<Value> = servers.collect();
    let list = json!({ "version": heritage.version, "full": true, "servers": servers });
    // A part that can't be worded is none, and declined.
    [("list", LIST, list), ("learned", LEARNED, serde_json::to_value(&heritage.learned).unwrap_or_default())]
}

/// What the process holds in common with other nodes.
async fn held(copy: &Holder) -> Option<Vec<(String, Option<u64>)>> {
    let (answer, told) = oneshot::channel();
    copy.send(SiblingsQuery::Records(answer)).await.ok()?;
    told.await.ok()
}

async fn accept(listener: &Option<UnixListener>) -> io::Result<UnixStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn hear(peer: &mut Option<Peer>) -> io::Result<Message> {
    match peer {
        Some(peer) if !peer.ended => peer.hear().await,
        _ => std::future::pending().await,
    }
}

/// Meets the process before, within a bound on the whole of it; without a folder there is nobody to meet.
pub async fn begin(place: Option<Place>, portion: &ResourceShare) -> (Option<Succession>, Received) {
    let Some(place) = place else { return Default::default() };
    let began =
        timeout_at(Instant::now() + PATIENCE + ANSWER, Succession::begin(place, portion.clone())).await;
    match began {
        Ok(Ok((succession, received))) => (Some(succession), received),
        Ok(Err(error)) => {
            warn!("nothing is handed over: {error}; have TMPDIR name a folder that all processes may write");
            Default::default()
        }
        Err(_) => Default::default(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_copy_is_taken_and_one_of_another_form_is_declined_alone() {
        let mut received = Received::default();
        received.take("copy", COPY, json!([["4c52", 5], ["4c53", null]]));
        assert_eq!(received.copy, [("4c52".to_owned(), Some(5)), ("4c53".to_owned(), None)]);
        received.take("copy", COPY + 1, json!([]));
        received.take("copy", COPY, json!({ "no": "copy" }));
        assert_eq!(received.copy.len(), 2);
    }
}
