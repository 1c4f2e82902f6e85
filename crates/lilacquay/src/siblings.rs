//! Runs the protocol between the nodes of a site (the siblings) on a UDP socket: passes datagrams and timers to
//! [`Membership`] and [`ReplicatedState`], and their results (share of resources, number of nodes, log lines, status) to
//! the rest of the node. The protocol's decisions are made in the packages `siblings` and `replica`. Times are in
//! microseconds.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_codec::replica;
use lilacquay_codec::siblings::{MAX_DATAGRAM_BYTES, site_id};
use lilacquay_control::{LinkStatus, NodeCommand, SiblingReport, SiblingsQuery, SiblingsReport};
use lilacquay_core::{Clock, CoreHandle, ListUpdate, MembershipSummary, Micros};
use lilacquay_lifecycle::State as LifecycleState;
use lilacquay_replica::endpoint_reports::LocalServerList;
use lilacquay_siblings::{
    Membership, MembershipEvent, NodeState, OutgoingDatagram, Parameters, PeerStatus, Setup, StateReason,
};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::{error, info, warn};

use crate::lifecycle::NodeLifecycle;
use crate::replicated_state::{self, Kinds, ReplicatedState, SavedRecord};
use crate::section::Section;

/// Datagrams that are read in a row before other events are handled.
const MAX_DATAGRAMS_PER_TURN: usize = 32;
/// State changes that are logged one by one; of more at once, only the count is logged.
const MAX_LOGGED_CHANGES: usize = 12;
/// Upper bound on the validity of a resource share that the core is given.
const MAX_SHARE_VALIDITY: Duration = Duration::from_secs(86_400);
/// Delay before another attempt to listen after a failed one.
const LISTEN_RETRY_DELAY: Duration = Duration::from_secs(1);
/// Upper bound on the nodes of a site: node numbers are 16 bits in datagrams.
const MAX_NODES: usize = 65_535;

/// Configuration of the siblings: the nodes of the site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// Name of the site: datagrams of nodes of other sites are ignored.
    pub name: String,
    /// Address on which this node receives datagrams.
    pub listen: SocketAddr,
    /// Addresses of all nodes, as this one reaches them, in the order of their numbers; this node's is among them.
    pub nodes: Vec<SocketAddr>,
    /// This node's number.
    pub me: usize,
    /// The kinds of records that this node publishes and applies.
    pub replicated_kinds: Kinds,
}

impl Site {
    /// The site as the platform configures it; `None` if nodes may not communicate, there are fewer than two or more than
    /// 65 535 of them, or the configuration is not consistent.
    pub fn from_platform_settings(
        allowed: bool,
        listen: Option<SocketAddr>,
        nodes: Vec<SocketAddr>,
        me: Option<usize>,
        name: String,
    ) -> Option<Site> {
        let (listen, me) = (listen.filter(|_| allowed)?, me?);
        let site = Site { name, listen, nodes, me, replicated_kinds: Kinds::PLATFORM };
        let is_valid = site.nodes.len() > 1 && site.nodes.len() <= MAX_NODES && me < site.nodes.len();
        (is_valid && site.duplicate_node().is_none()).then_some(site)
    }

    /// Reads the table `[siblings]`; `None` if it is missing or has a mistake, which is noted in `root`.
    pub fn read(root: &mut Section) -> Option<Site> {
        if !root.has_key("siblings") {
            return None;
        }
        let mut section = root.section("siblings");
        section.reject_unknown_keys(&["site", "listen", "nodes", "me", "common"]);
        for (key, remedy) in [
            ("site", "name the site, the same at all its nodes"),
            ("listen", "give the address on which datagrams of the other nodes arrive"),
            ("nodes", "list all nodes in one order, as in [\"10.0.0.1:7946\", \"10.0.0.2:7946\"]"),
            ("me", "give this node's place in the list, from 0"),
        ] {
            if !section.has_key(key) {
                section.report_missing(key, remedy);
            }
        }
        let (name, listen) = (section.string("site").map(str::to_owned), section.socket_address("listen"));
        let texts = section.strings("nodes")?;
        let mut nodes = Vec::with_capacity(texts.len());
        for (position, text) in texts {
            match text.parse() {
                Ok(node) => nodes.push(node),
                Err(_) => section.report_at(
                    position,
                    "nodes",
                    format!("{text:?} is not an address with a port"),
                    "write it as 10.0.0.1:7946 or [fd00::1]:7946",
                ),
            }
        }
        let position = section.value_offset("nodes");
        if nodes.len() < 2 || nodes.len() > MAX_NODES {
            section.report_at(
                position,
                "nodes",
                "too few or too many",
                "list 2 to 65535 nodes, this one among them",
            );
        }
        let me = section.integer("me", 0..=nodes.len().saturating_sub(1));
        let replicated_kinds = Kinds::read(&mut section);
        let site = Site { name: name?, listen: listen?, nodes, me: me?, replicated_kinds };
        if let Some(duplicate) = site.duplicate_node() {
            section.report_at(
                position,
                "nodes",
                format!("{duplicate} is listed twice"),
                "list each node once",
            );
        }
        Some(site)
    }

    /// A node that the list holds twice.
    fn duplicate_node(&self) -> Option<SocketAddr> {
        let mut seen = HashSet::new();
        self.nodes.iter().copied().find(|node| !seen.insert(*node))
    }
}

/// Receives queries about the other nodes, and orders that all nodes are to apply.
pub type RequestReceiver = mpsc::Receiver<SiblingsQuery>;

/// The task that communicates with the other nodes, with its channels to the rest of the node.
pub struct SiblingsTask {
    /// Receives the resource share, the counts of nodes and the replicated state.
    pub core: CoreHandle,
    /// Publishes the number of nodes that may be using shared resources.
    pub node_count: watch::Sender<usize>,
    pub lifecycle: NodeLifecycle,
    pub requests: RequestReceiver,
    /// The site of the current configuration.
    pub site: watch::Receiver<Site>,
    pub seed: u64,
    /// Updates of the server list from the node's own membership source.
    pub list_updates: mpsc::UnboundedReceiver<ListUpdate>,
    /// Carries commands to the node's command loop.
    pub commands: mpsc::Sender<NodeCommand>,
    /// Replicated records kept across a restart, a change of the list of nodes, or a handover.
    pub saved_records: Vec<SavedRecord>,
    /// The server list of the node's own membership source.
    pub own_list: LocalServerList,
}

impl SiblingsTask {
    /// Runs until the node ends. After a change of the list of nodes it starts over, with no node known.
    pub async fn run(mut self) {
        loop {
            let site = self.site.borrow_and_update().clone();
            match UdpSocket::bind(site.listen).await {
                Ok(socket) => {
                    info!("siblings: node {} of {} listens on {}", site.me, site.nodes.len(), site.listen);
                    Session::new(site, socket, &mut self).run(&mut self).await;
                }
                Err(error) => {
                    warn!("siblings: cannot listen on {}: {error}; retrying in a second", site.listen);
                    tokio::time::sleep(LISTEN_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// The protocol state for one list of nodes.
struct Session {
    socket: UdpSocket,
    site: Site,
    node_by_address: HashMap<SocketAddr, usize>,
    clock: Clock,
    membership: Membership,
    /// Number of datagrams from addresses that belong to no node.
    unlisted_datagrams: u64,
    /// The summary that the core was given last.
    last_summary: Option<MembershipSummary>,
    /// The replicated state, if any kind of record is replicated.
    replicated: Option<ReplicatedState>,
    /// Whether enough of the other nodes confirmed this node at the last check.
    was_confirmed: bool,
}

impl Session {
    fn new(site: Site, socket: UdpSocket, task: &mut SiblingsTask) -> Session {
        let clock = Clock::new();
        let setup = Setup {
            own_index: site.me,
            node_count: site.nodes.len(),
            site_id: self::site_id(&site.name, site.nodes.len()),
            seed: task.seed ^ unix_time_us(),
            parameters: Parameters::default(),
        };
        let node_by_address = site.nodes.iter().copied().zip(0..).collect();
        let membership = Membership::new(setup, clock.now(), unix_time_us());
        let replicated = site.replicated_kinds.any().then(|| {
            let setup = lilacquay_replica::Setup {
                own_index: site.me,
                node_count: site.nodes.len(),
                site_id: self::site_id(&site.name, site.nodes.len()),
                seed: task.seed ^ unix_time_us() ^ 1,
                incarnation: membership.incarnation(),
            };
            let (core, commands) = (task.core.clone(), task.commands.clone());
            let mut replicated =
                ReplicatedState::new(setup, site.replicated_kinds, clock.now(), core, commands);
            replicated.restore(clock.now(), std::mem::take(&mut task.saved_records));
            replicated
        });
        Session {
            socket,
            site,
            node_by_address,
            clock,
            membership,
            unlisted_datagrams: 0,
            last_summary: None,
            replicated,
            was_confirmed: false,
        }
    }

    /// Runs until the list of nodes changes.
    async fn run(mut self, task: &mut SiblingsTask) {
        let mut service_mode = task.lifecycle.service_mode();
        let (mut datagram, mut leaving) = ([0; MAX_DATAGRAM_BYTES + 1], false);
        loop {
            let replication_tick_at =
                self.replicated.as_ref().map_or(Micros::MAX, ReplicatedState::next_tick_at);
            let next_tick_at = replication_tick_at.min(self.membership.next_tick_at());
            let out = tokio::select! {
                biased;
                () = sleep_until(self.clock.instant(next_tick_at)) => self.tick(),
                Some(request) = task.requests.recv() => {
                    self.handle_request(request);
                    Vec::new()
                }
                Some(update) = task.list_updates.recv() => {
                    let withdrawn = replicated_state::apply_list_update(&mut task.own_list, update);
                    if let Some(replicated) = &mut self.replicated {
                        replicated.publish_list(self.clock.now(), &task.own_list, &withdrawn);
                    }
                    Vec::new()
                }
                Ok(()) = service_mode.changed() => match task.lifecycle.state() {
                    LifecycleState::ShuttingDown { address_shared: false, .. } if !leaving => {
                        leaving = true;
                        self.membership.leave(self.clock.now())
                    }
                    _ => continue,
                },
                Ok(()) = task.site.changed() => {
                    if *task.site.borrow() == self.site {
                        continue;
                    }
                    let now = self.clock.now();
                    let leave_datagrams = self.membership.leave(now);
                    info!("siblings: the list of nodes has changed; starting over");
                    let replicated = self.replicated.as_ref();
                    task.saved_records = replicated.map_or(Vec::new(), |state| state.orders_to_save(now));
                    return self.send(leave_datagrams).await;
                }
                // Last, so that a flood of datagrams delays none of the branches above.
                received = self.socket.recv_from(&mut datagram) => {
                    let mut out = Vec::new();
                    let mut received = received;
                    for _ in 0..MAX_DATAGRAMS_PER_TURN {
                        let Ok((length, from)) = received else { break };
                        out.extend(self.handle_datagram(from, &datagram[..length]));
                        received = self.socket.try_recv_from(&mut datagram);
                    }
                    out
                }
            };
            self.send(out).await;
            self.log_events();
            self.publish_summary(task);
            if let Some(replicated) = &mut self.replicated {
                replicated.apply_changes(self.clock.now(), &task.own_list);
            }
            yield_now().await;
        }
    }

    /// Handles the timers that are due.
    fn tick(&mut self) -> Vec<OutgoingDatagram> {
        let (now, mut out) = (self.clock.now(), Vec::new());
        if now >= self.membership.next_tick_at() {
            out.extend(self.membership.tick(now, unix_time_us()));
            self.update_reachable_nodes(now);
        }
        if let Some(replicated) =
            self.replicated.as_mut().filter(|replicated| now >= replicated.next_tick_at())
        {
            out.extend(replicated.tick(now).into_iter().map(to_outgoing));
        }
        out
    }

    /// Passes the reachable nodes to the replicated state, and whether this node was cut off until now.
    fn update_reachable_nodes(&mut self, now: Micros) {
        let Some(replicated) = &mut self.replicated else { return };
        let is_confirmed = self.membership.is_confirmed(now);
        // A node that too few confirm counts as cut off; one that is superseded must stay silent.
        let peers = self.membership.peers(now);
        let is_here = |peer: &&PeerStatus| peer.state == NodeState::Here;
        let reachable = match self.membership.is_superseded() {
            true => Vec::new(),
            false => peers.iter().filter(is_here).map(|peer| peer.node).collect(),
        };
        replicated.set_reachable(now, reachable, is_confirmed && !self.was_confirmed);
        self.was_confirmed = is_confirmed;
    }

    /// Answers a query, or publishes an order.
    fn handle_request(&mut self, request: SiblingsQuery) {
        let now = self.clock.now();
        // The receiver of each answer may have been dropped.
        match request {
            SiblingsQuery::Siblings(answer) => drop(answer.send(self.status())),
            SiblingsQuery::Replica(answer) => {
                drop(answer.send(self.replicated.as_ref().map(|replicated| replicated.status(now))))
            }
            SiblingsQuery::Records(answer) => {
                let replicated = self.replicated.as_ref();
                drop(answer.send(replicated.map_or(Vec::new(), |state| state.records_to_hand_over(now))))
            }
            SiblingsQuery::ReplicateOrder(order, wait_for, answer) => match &mut self.replicated {
                Some(replicated) => replicated.publish_order(now, &order, wait_for, answer),
                None => drop(answer.send(None)),
            },
        }
    }

    fn handle_datagram(&mut self, from: SocketAddr, datagram: &[u8]) -> Vec<OutgoingDatagram> {
        match self.node_by_address.get(&from) {
            Some(&node) if datagram.starts_with(&replica::MAGIC) => {
                let now = self.clock.now();
                // A node that another process has superseded stays silent.
                let replicated = self.replicated.as_mut().filter(|_| !self.membership.is_superseded());
                let out = replicated
                    .map_or(Vec::new(), |replicated| replicated.handle_datagram(now, node, datagram));
                out.into_iter().map(to_outgoing).collect()
            }
            Some(&node) => self.membership.handle_datagram(self.clock.now(), unix_time_us(), node, datagram),
            None => {
                self.unlisted_datagrams += 1;
                if self.unlisted_datagrams == 1 {
                    warn!(
                        "siblings: dropped a datagram from {from}, which is no node's address; further ones are dropped without a log line"
                    );
                }
                Vec::new()
            }
        }
    }

    async fn send(&self, out: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to, datagram } in out {
            // The protocol repeats what is lost; a datagram that cannot be sent counts as lost.
            let _: io::Result<usize> = self.socket.send_to(&datagram, self.site.nodes[to]).await;
        }
    }

    /// Gives the rest of the node its resource share and the counts of nodes, if they have changed or are valid for longer.
    fn publish_summary(&mut self, task: &SiblingsTask) {
        let now = self.clock.now();
        let share = self.membership.resource_share(now);
        let validity = Duration::from_micros(share.until.saturating_sub(now)).min(MAX_SHARE_VALIDITY);
        let summary = MembershipSummary {
            share_thousandths: share.thousandths_at(now),
            valid_until: Instant::now() + validity,
            peer_counts: self.membership.state_counts(),
        };
        let is_unchanged = |last: &MembershipSummary| {
            (last.share_thousandths, last.peer_counts) == (summary.share_thousandths, summary.peer_counts)
                && summary.valid_until < last.valid_until + Duration::from_millis(100)
        };
        if !self.last_summary.as_ref().is_some_and(is_unchanged) {
            self.last_summary = Some(summary);
            task.core.set_membership_summary(summary);
            task.node_count.send_if_modified(|node_count| {
                let changed = *node_count != summary.node_count();
                *node_count = summary.node_count();
                changed
            });
        }
    }

    /// Logs the events since the last call.
    fn log_events(&mut self) {
        let events = self.membership.take_events();
        let state_changes =
            events.iter().filter(|event| matches!(event, MembershipEvent::StateChanged { .. })).count();
        if state_changes > MAX_LOGGED_CHANGES {
            let [here, gone, unknown] = self.membership.state_counts();
            info!(here, gone, unknown, "siblings: {state_changes} changes at once");
        }
        for event in &events {
            match event {
                MembershipEvent::StateChanged { .. } if state_changes > MAX_LOGGED_CHANGES => {}
                MembershipEvent::StateChanged { node, previous, current, incarnation, reason } => {
                    let (previous, current) = (previous.as_str(), current.as_str());
                    let reason = reason_text(reason);
                    info!(incarnation, "siblings: node {node} is {current}, was {previous}: {reason}");
                }
                MembershipEvent::Paused { duration } => {
                    warn!(
                        ms = duration / 1_000,
                        "siblings: this node was paused; it reports no node as failed and asks again"
                    )
                }
                MembershipEvent::IncarnationStarted { incarnation, denials: denied } => {
                    info!(incarnation, denied, "siblings: this node begins a new incarnation");
                }
                MembershipEvent::ConfirmationChanged(true) => info!("siblings: this node is confirmed"),
                MembershipEvent::ConfirmationChanged(false) => {
                    warn!(
                        "siblings: too few nodes confirm this node; it uses no shared resources until they do"
                    )
                }
                MembershipEvent::Superseded => error!(
                    "siblings: another process runs as node {}; this one steps back and uses no shared resources; end one of the two",
                    self.site.me
                ),
            }
        }
    }

    /// The membership view for operators.
    fn status(&self) -> SiblingsReport {
        let now = self.clock.now();
        let [here, gone, unknown] = self.membership.state_counts();
        let (share, counts) = (self.membership.resource_share(now), self.membership.counters());
        let peer = |peer: PeerStatus| self.peer_status(now, peer);
        let link = |link: lilacquay_siblings::LinkState| LinkStatus {
            from: link.from,
            to: link.to,
            open: link.is_up,
        };
        SiblingsReport {
            site: self.site.name.clone(),
            me: self.site.me,
            nodes: self.site.nodes.len(),
            incarnation: self.membership.incarnation(),
            epoch: format!("{:08x}", self.membership.view_digest()),
            confirmed: self.membership.is_confirmed(now),
            superseded: self.membership.is_superseded(),
            part: f64::from(share.thousandths_at(now)) / 1e3,
            doubt: self.membership.health_penalty(),
            pauses: counts.pauses,
            here,
            gone,
            unknown,
            sent: counts.sent,
            sent_bytes: counts.sent_bytes,
            read: counts.accepted,
            unread: counts.invalid,
            strangers: counts.other_site,
            unlisted: self.unlisted_datagrams,
            fellows: self.membership.peers(now).into_iter().map(peer).collect(),
            ways: self.membership.link_states(now).into_iter().map(link).collect(),
        }
    }

    fn peer_status(&self, now: Micros, peer: PeerStatus) -> SiblingReport {
        let seconds_since = |at: Micros| now.saturating_sub(at) as f64 / 1e6;
        SiblingReport {
            node: peer.node,
            address: self.site.nodes[peer.node].to_string(),
            state: peer.state.as_str().into(),
            since_s: seconds_since(peer.since),
            why: reason_text(&peer.reason),
            incarnation: peer.incarnation,
            heard_s: peer.last_heard.map(|(at, _)| seconds_since(at)),
            heard_by: peer.last_heard.map(|(_, by)| by),
            we_hear: peer.we_hear,
            hears_us: peer.hears_us,
            suspected: peer.is_suspected && peer.state != NodeState::Gone,
        }
    }
}

/// Converts a datagram of the replica, which goes through the same socket.
fn to_outgoing(out: lilacquay_replica::OutgoingDatagram) -> OutgoingDatagram {
    OutgoingDatagram { to: out.to, datagram: out.datagram }
}

/// The reason of a peer's state, as logged and shown to operators.
fn reason_text(reason: &StateReason) -> String {
    match reason {
        StateReason::NeverHeard => "nothing was heard of it yet".into(),
        StateReason::Heard { via } => format!("its word came through node {via}"),
        StateReason::NewIncarnation { previous, via } => {
            format!("it began anew after incarnation {previous}, by word through node {via}")
        }
        StateReason::Left => "it said that it leaves".into(),
        StateReason::LeaseExpired { reported_by } => {
            format!("its lease has run out at nodes {reported_by:?}")
        }
        StateReason::Silent => "nothing new was heard of it for too long".into(),
        StateReason::Unconfirmed => "it is not confirmed, by its own word".into(),
        StateReason::DoesNotHearUs => "it has not confirmed hearing this node".into(),
    }
}

/// The system clock's Unix time in microseconds, which may jump forward or back.
fn unix_time_us() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// A channel for requests to the siblings task.
pub fn request_channel() -> (Arc<mpsc::Sender<SiblingsQuery>>, RequestReceiver) {
    let (sender, requests) = mpsc::channel(16);
    (Arc::new(sender), requests)
}
