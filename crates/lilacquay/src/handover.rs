//! The I/O of a handover between two processes of a node, through a Unix socket and a lock file in the folder that they
//! share. A process that starts takes over the state of its predecessor and hands it on to its successor later. How much
//! of the shared resources each may use is decided by [`ResourceSplit`].
//!
//! The lock tells whether another process of the node is alive: each holds it shared, and only a process that is alone
//! gets it exclusively. The kernel releases it however a process ends. A process listens on the socket once it has no
//! living predecessor.

use std::fs::{File, OpenOptions};
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_control::SiblingsQuery;
use lilacquay_core::recent_writes::IdHash;
use lilacquay_core::{
    CoreHandle, HandoverState, Learned, ResourceShare, ServerList, ServerState, WriteRegistry, WriteUpdate,
};
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

/// A predecessor that has not sent its complete state within this time counts as unresponsive. Also bounds the write of one
/// message, the wait for the first message of a successor, and each query of this process's own state.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a process that was told to wait, or found no listener, asks again.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a process goes on asking for a takeover. The platform waits 6 s for it to report that it is ready.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval between checks of the resources in use and of the other processes' deaths.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay before another attempt to listen after a failed one.
const LISTEN_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Format version of the server list that is handed over.
const LIST_FORMAT_VERSION: u32 = 1;
/// Format version of what was learned about the servers.
const LEARNED_FORMAT_VERSION: u32 = 1;
/// Format version of the ids of recent writes.
const WRITES_FORMAT_VERSION: u32 = 1;
/// Format version of the replicated records.
const RECORDS_FORMAT_VERSION: u32 = 1;

/// Paths of the handover socket and of the lock file.
#[derive(Debug, Clone)]
pub struct HandoverPaths {
    socket: PathBuf,
    lock: PathBuf,
}

impl HandoverPaths {
    /// The paths for a node that listens on `port`, in a folder that all its processes share.
    pub fn new(folder: PathBuf, port: u16) -> HandoverPaths {
        let file = |extension: &str| folder.join(format!("lilacquay-{port}.{extension}"));
        HandoverPaths { socket: file("next"), lock: file("lock") }
    }

    fn open_lock_file(&self) -> io::Result<File> {
        OpenOptions::new().create(true).truncate(false).write(true).open(&self.lock)
    }
}

/// The state received from the predecessor.
#[derive(Debug, Default)]
pub struct Received {
    /// The server list, and the version from which its source continues.
    pub list: Option<(ServerList, Option<u64>)>,
    /// What the predecessor has learned about the servers.
    pub learned: Option<Learned>,
    /// The predecessor's replicated records: each encoded as text, with the remaining lifetime in microseconds.
    pub replicated_records: Vec<(String, Option<u64>)>,
    /// The predecessor's recent writes, as the hashes of their ids in hexadecimal digits.
    pub recent_writes: Vec<String>,
}

/// Sends requests to the siblings task, which holds the replicated records.
pub type SiblingsSender = Arc<mpsc::Sender<SiblingsQuery>>;

/// One process's side of the handovers with its predecessor and its successor.
pub struct HandoverSession {
    paths: HandoverPaths,
    resource_split: ResourceSplit,
    resource_share: ResourceShare,
    /// Kept open, and so locked, as long as the process lives.
    lock_file: File,
    predecessor: Option<Peer>,
    successor: Option<Peer>,
    listener: Option<UnixListener>,
    /// Earliest time of the next attempt to listen.
    next_listen_attempt_at: Instant,
}

/// The connection with the predecessor or the successor.
struct Peer {
    stream: UnixStream,
    pid: i32,
    buffer: BytesMut,
    /// Its connection has ended, which does not prove that the process is dead.
    disconnected: bool,
}

impl Peer {
    fn new(stream: UnixStream) -> io::Result<Peer> {
        let pid = stream.peer_cred()?.pid().ok_or(io::ErrorKind::Unsupported)?;
        Ok(Peer { stream, pid, buffer: BytesMut::new(), disconnected: false })
    }

    async fn send(&mut self, message: &Message) -> io::Result<()> {
        let mut encoded = BytesMut::new();
        messages::encode(message, &mut encoded);
        timeout(ANSWER_TIMEOUT, self.stream.write_all(&encoded)).await?
    }

    /// Receives the next message; parts that are declined are skipped and logged.
    async fn receive(&mut self) -> io::Result<Message> {
        loop {
            match messages::decode(&mut self.buffer) {
                Ok(Some(Decoded::Message(message))) => return Ok(message),
                Ok(Some(Decoded::Declined(why))) => warn!("a part of the handover is declined: {why}"),
                Ok(None) => {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                }
                Err(messages::Malformed) => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
    }

    /// Whether the process has ended. A zombie, for which its parent has not waited yet, counts as dead.
    fn is_dead(&self) -> bool {
        let Ok(stat) = std::fs::read_to_string(format!("/proc/{}/stat", self.pid)) else { return true };
        let state = stat.rsplit(')').next().and_then(|rest| rest.trim_start().chars().next());
        matches!(state, Some('Z' | 'X') | None)
    }
}

impl HandoverSession {
    /// Connects to the predecessor, if there is one, and receives the state that it hands over.
    ///
    /// # Errors
    /// If the folder can't be used. No handover, now or later, is possible then.
    pub async fn begin(
        paths: HandoverPaths,
        resource_share: ResourceShare,
    ) -> io::Result<(HandoverSession, Received)> {
        let lock_file = paths.open_lock_file()?;
        let mut session = HandoverSession {
            paths,
            resource_split: ResourceSplit::default(),
            resource_share,
            lock_file,
            predecessor: None,
            successor: None,
            listener: None,
            next_listen_attempt_at: Instant::now(),
        };
        let (deadline, mut received) = (Instant::now() + TAKEOVER_TIMEOUT, Received::default());
        loop {
            if session.is_alone() {
                session.handle_event(Event::NoPredecessor).await;
                break;
            }
            let result = timeout(ANSWER_TIMEOUT, session.request_takeover(&mut received)).await;
            match result {
                Ok(Ok(true)) => break,
                // Told to wait, or no process listens yet.
                Ok(Ok(false) | Err(_)) if session.predecessor.is_none() && Instant::now() < deadline => {
                    sleep(TAKEOVER_RETRY_DELAY).await
                }
                _ => {
                    warn!(
                        "another process of this node is alive but hands nothing over; serving with the reserved share of resources"
                    );
                    // Marked as disconnected, so that its death is checked for.
                    session.predecessor.iter_mut().for_each(|predecessor| predecessor.disconnected = true);
                    session.handle_event(Event::PredecessorUnresponsive).await;
                    break;
                }
            }
        }
        Ok((session, received))
    }

    /// Whether no other process of the node is alive. Leaves the shared lock in place, by which others see this process.
    fn is_alone(&self) -> bool {
        let alone = flock(&self.lock_file, FlockOperation::NonBlockingLockExclusive).is_ok();
        // Refused only while another process is checking at the same time; the check is repeated later.
        let lock_is_shared = flock(&self.lock_file, FlockOperation::NonBlockingLockShared).is_ok();
        alone && lock_is_shared
    }

    /// Asks the listening process for a takeover and receives its state. False if told to wait.
    async fn request_takeover(&mut self, received: &mut Received) -> io::Result<bool> {
        let mut peer = Peer::new(UnixStream::connect(&self.paths.socket).await?)?;
        let build = env!("CARGO_PKG_VERSION").to_owned();
        peer.send(&Message::TakeoverRequest { pid: std::process::id(), build }).await?;
        let Message::Accepted { build, .. } = peer.receive().await? else { return Ok(false) };
        info!("process {} of build {build} hands over", peer.pid);
        // From here on the other process has a successor, whatever happens to the messages between the two.
        self.predecessor = Some(peer);
        self.handle_event(Event::PredecessorAccepted).await;
        loop {
            match receive(&mut self.predecessor).await? {
                Message::StatePart { name, version, body } => received.accept_part(&name, version, body),
                Message::Grant(share) => self.handle_event(Event::Granted(share)).await,
                // With no share granted this process could serve nobody: the predecessor has to release one first.
                Message::StateComplete if self.resource_split.limit() > 0 => return Ok(true),
                Message::WritesBegun { ids } => received.recent_writes.extend(ids),
                Message::WritesRefused { ids } => received.recent_writes.retain(|id| !ids.contains(id)),
                Message::StateComplete
                | Message::Wait
                | Message::Accepted { .. }
                | Message::TakeoverRequest { .. } => {}
            }
        }
    }

    /// Passes an event to the resource split, sends the grants that follow and updates this process's share.
    async fn handle_event(&mut self, event: Event) {
        for action in self.resource_split.on_event(event) {
            if let (Action::Grant(share), Some(successor)) = (action, &mut self.successor) {
                // The death of a successor that is gone is noticed later; its share returns then.
                let _ = successor.send(&Message::Grant(share)).await;
            }
        }
        self.resource_share.set(self.resource_split.limit(), self.resource_split.has_live_peer());
    }

    /// Runs for as long as the process: exchanges grants with the other processes, notices their deaths and accepts a
    /// successor. `thousandths_in_use` returns this process's use of the shared resources, in thousandths.
    pub async fn run(
        mut self,
        core: CoreHandle,
        siblings: Option<SiblingsSender>,
        recent_writes: WriteRegistry,
        thousandths_in_use: impl Fn() -> u32 + Send,
        mut service_mode: watch::Receiver<ServiceMode>,
    ) {
        let mut write_updates = recent_writes.subscribe();
        let (mut stopping, mut checks) = (false, interval(CHECK_INTERVAL));
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let may_listen =
                self.listener.is_none() && !stopping && Instant::now() >= self.next_listen_attempt_at;
            if self.resource_split.predecessor() == PredecessorState::Absent && may_listen {
                self.listen();
            }
            tokio::select! {
                _ = checks.tick() => {
                    self.handle_event(Event::InUse(thousandths_in_use())).await;
                    self.check_for_deaths().await;
                }
                Ok(stream) = accept(&self.listener) => {
                    self.handle_takeover_request(stream, &core, siblings.as_ref(), &recent_writes).await
                }
                message = receive(&mut self.predecessor) => match message {
                    Ok(Message::Grant(share)) => self.handle_event(Event::Granted(share)).await,
                    Ok(message) => apply_write_updates(&recent_writes, &message),
                    Err(_) => if let Some(predecessor) = &mut self.predecessor {
                        predecessor.disconnected = true;
                    }
                },
                message = receive(&mut self.successor) => match message {
                    Ok(message) => apply_write_updates(&recent_writes, &message),
                    Err(_) => if let Some(successor) = &mut self.successor {
                        successor.disconnected = true;
                    }
                },
                Some(update) = write_updates.recv() => self.send_write_update(update).await,
                Ok(()) = service_mode.changed() => {
                    let current = *service_mode.borrow();
                    // A process that shuts down stops accepting connections, while its successor still accepts them.
                    if !stopping && !current.accepts_connections {
                        stopping = true;
                        self.handle_event(Event::Stop).await;
                    }
                }
            }
        }
    }

    /// Tells the other processes of the node about a write of this one.
    async fn send_write_update(&mut self, update: WriteUpdate) {
        let message = match update {
            WriteUpdate::Begun(id) => Message::WritesBegun { ids: vec![id.to_hex()] },
            WriteUpdate::Refused(id) => Message::WritesRefused { ids: vec![id.to_hex()] },
        };
        for peer in [&mut self.predecessor, &mut self.successor].into_iter().flatten() {
            if !peer.disconnected {
                let _ = peer.send(&message).await; // a process that has ended is noticed when it is read from
            }
        }
    }

    /// Checks whether the predecessor or the successor has died. A process whose predecessor never answered also finds
    /// out here that it is alone.
    async fn check_for_deaths(&mut self) {
        if self.successor.as_ref().is_some_and(|successor| successor.disconnected && successor.is_dead()) {
            info!("the successor process has ended");
            self.successor = None;
            self.handle_event(Event::SuccessorDied).await;
        }
        if self
            .predecessor
            .as_ref()
            .is_some_and(|predecessor| predecessor.disconnected && predecessor.is_dead())
        {
            info!("the predecessor process has ended; all resources are available to this process");
            self.predecessor = None;
            self.handle_event(Event::NoPredecessor).await;
        }
        if self.resource_split.predecessor() == PredecessorState::Unresponsive && self.is_alone() {
            self.handle_event(Event::NoPredecessor).await;
        }
    }

    /// Listens on the handover socket for a successor. A socket file left by a dead process is replaced.
    fn listen(&mut self) {
        let new_socket = self.paths.socket.with_extension("new");
        let _ = std::fs::remove_file(&new_socket); // may not be there
        let bind_result = UnixListener::bind(&new_socket);
        let listener = bind_result.and_then(|listener| {
            std::fs::rename(&new_socket, &self.paths.socket)?;
            Ok(listener)
        });
        match listener {
            Ok(listener) => self.listener = Some(listener),
            Err(error) => {
                self.next_listen_attempt_at = Instant::now() + LISTEN_RETRY_DELAY;
                warn!("no process can take over from this one: {error}; make {new_socket:?} writable");
            }
        }
    }

    /// Answers a process that asks to become the successor.
    async fn handle_takeover_request(
        &mut self,
        stream: UnixStream,
        core: &CoreHandle,
        siblings: Option<&SiblingsSender>,
        recent_writes: &WriteRegistry,
    ) {
        let Ok(mut peer) = Peer::new(stream) else { return };
        match timeout(ANSWER_TIMEOUT, peer.receive()).await {
            Ok(Ok(Message::TakeoverRequest { build, .. })) => {
                info!("process {} of build {build} requests a takeover", peer.pid)
            }
            _ => return, // not a takeover request
        }
        let actions = self.resource_split.on_event(Event::SuccessorRequests);
        if !actions.contains(&Action::AcceptSuccessor) {
            let _ = peer.send(&Message::Wait).await; // it asks again, or has ended
            return;
        }
        let result = self.hand_over(&mut peer, &actions, core, siblings, recent_writes).await;
        if let Err(error) = result {
            warn!("handing over to the successor failed: {error}");
        }
        self.successor = Some(peer); // whatever it has received: its granted share returns once it is dead
        self.resource_share.set(self.resource_split.limit(), self.resource_split.has_live_peer());
    }

    async fn hand_over(
        &self,
        successor: &mut Peer,
        actions: &[Action],
        core: &CoreHandle,
        siblings: Option<&SiblingsSender>,
        recent_writes: &WriteRegistry,
    ) -> io::Result<()> {
        let build = env!("CARGO_PKG_VERSION").to_owned();
        successor.send(&Message::Accepted { pid: std::process::id(), build }).await?;
        for action in actions {
            if let Action::Grant(share) = action {
                successor.send(&Message::Grant(*share)).await?;
            }
        }
        if let Ok(Ok(state)) = timeout(ANSWER_TIMEOUT, core.handover_state()).await {
            for (name, version, body) in state_parts(&state) {
                successor.send(&Message::StatePart { name: name.into(), version, body }).await?;
            }
        }
        let ids: Vec<String> = recent_writes.ids().into_iter().map(IdHash::to_hex).collect();
        successor
            .send(&Message::StatePart {
                name: "writes".into(),
                version: WRITES_FORMAT_VERSION,
                body: json!(ids),
            })
            .await?;
        if let Some(siblings) = siblings
            && let Ok(Some(records)) = timeout(ANSWER_TIMEOUT, replicated_records(siblings)).await
        {
            let body = serde_json::to_value(records).unwrap_or_default(); // cannot fail: only text and numbers
            successor
                .send(&Message::StatePart { name: "copy".into(), version: RECORDS_FORMAT_VERSION, body })
                .await?;
        }
        successor.send(&Message::StateComplete).await
    }
}

impl Received {
    fn accept_part(&mut self, name: &str, version: u32, body: Value) {
        let result = match name {
            "list" => messages::decode_part::<DiscoveryResponse>(version, LIST_FORMAT_VERSION, body.clone())
                .map(|response| {
                    let version = body["version"].as_u64();
                    self.list = Some((ServerList { full: true, ..response.list }, version));
                }),
            "copy" => messages::decode_part(version, RECORDS_FORMAT_VERSION, body)
                .map(|records| self.replicated_records = records),
            "writes" => messages::decode_part(version, WRITES_FORMAT_VERSION, body)
                .map(|ids| self.recent_writes = ids),
            "learned" => messages::decode_part(version, LEARNED_FORMAT_VERSION, body)
                .map(|learned| self.learned = Some(learned)),
            _ => Err("unknown part".into()),
        };
        if let Err(why) = result {
            warn!("part {name:?} of the handover is declined: {why}");
        }
    }
}

/// The parts of the core's state, each with its name and format version.
fn state_parts(state: &HandoverState) -> [(&'static str, u32, Value); 2] {
    let servers = state.list.servers.iter().map(|server| {
        let server_state = match server.state {
            ServerState::Serving => "SERVING",
            ServerState::Draining => "DRAINING",
            ServerState::Deleted => "DELETED",
        };
        json!({
            "id": server.id, "addr": server.addr, "zone": server.zone, "kind": server.kind, "cell": server.cell,
            "state": server_state, "weight": server.weight, "started_ms": server.started_ms,
        })
    });
    let servers: Vec<Value> = servers.collect();
    let list = json!({ "version": state.version, "full": true, "servers": servers });
    // A part that can't be serialized becomes null, which the successor declines.
    [
        ("list", LIST_FORMAT_VERSION, list),
        ("learned", LEARNED_FORMAT_VERSION, serde_json::to_value(&state.learned).unwrap_or_default()),
    ]
}

/// Applies what the other process tells about its writes.
pub fn apply_write_updates(recent_writes: &WriteRegistry, message: &Message) {
    let (ids, update): (_, fn(IdHash) -> WriteUpdate) = match message {
        Message::WritesBegun { ids } => (ids, WriteUpdate::Begun),
        Message::WritesRefused { ids } => (ids, WriteUpdate::Refused),
        _ => return,
    };
    ids.iter().filter_map(|id| IdHash::from_hex(id)).for_each(|id| recent_writes.apply(update(id)));
}

/// The records that the process replicates with other nodes; `None` if the siblings task has ended.
async fn replicated_records(siblings: &SiblingsSender) -> Option<Vec<(String, Option<u64>)>> {
    let (answer, records) = oneshot::channel();
    siblings.send(SiblingsQuery::Records(answer)).await.ok()?;
    records.await.ok()
}

async fn accept(listener: &Option<UnixListener>) -> io::Result<UnixStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn receive(peer: &mut Option<Peer>) -> io::Result<Message> {
    match peer {
        Some(peer) if !peer.disconnected => peer.receive().await,
        _ => std::future::pending().await,
    }
}

/// Takes over from the predecessor within an overall time limit. Without paths no handover is possible.
pub async fn begin(
    paths: Option<HandoverPaths>,
    resource_share: &ResourceShare,
) -> (Option<HandoverSession>, Received) {
    let Some(paths) = paths else { return Default::default() };
    let deadline = Instant::now() + TAKEOVER_TIMEOUT + ANSWER_TIMEOUT;
    let result = timeout_at(deadline, HandoverSession::begin(paths, resource_share.clone())).await;
    match result {
        Ok(Ok((session, received))) => (Some(session), received),
        Ok(Err(error)) => {
            warn!("nothing is handed over: {error}; set TMPDIR to a folder that all processes may write");
            Default::default()
        }
        Err(_) => Default::default(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn replicated_records_are_accepted_and_only_those_of_another_format_are_declined() {
        let mut received = Received::default();
        received.accept_part("copy", RECORDS_FORMAT_VERSION, json!([["4c52", 5], ["4c53", null]]));
        assert_eq!(received.replicated_records, [("4c52".to_owned(), Some(5)), ("4c53".to_owned(), None)]);
        received.accept_part("copy", RECORDS_FORMAT_VERSION + 1, json!([]));
        received.accept_part("copy", RECORDS_FORMAT_VERSION, json!({ "no": "copy" }));
        assert_eq!(received.replicated_records.len(), 2);
    }
}
