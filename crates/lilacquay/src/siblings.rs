//! The other nodes: datagrams to and from them, and what that comes to for this node. All that is decided of it, the
//! package `siblings` decides.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_codec::replica;
use lilacquay_codec::siblings::{LONGEST, site};
use lilacquay_control::{Command, FellowNow, SiblingsAsk, Sight, WayNow};
use lilacquay_core::{Clock, CoreHandle, ListUpdate, MembershipSummary, Micros};
use lilacquay_lifecycle::State as Life;
use lilacquay_replica::endpoint_reports::LocalServerList;
use lilacquay_siblings::{
    Membership, MembershipEvent, NodeState, OutgoingDatagram, Parameters, PeerStatus, Setup, StateReason,
};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::{error, info, warn};

use crate::lifecycle::Keeper;
use crate::replicated_state::{self, Common, KeptRecord, Kinds};
use crate::section::Section;

/// Datagrams that are read before others have their turn.
const TURN: usize = 32;
/// Changes that are logged one by one; of more, the count.
const NAMED: usize = 12;
/// A part that holds for longer is told as one that holds for so long.
const LONG: Duration = Duration::from_secs(86_400);
/// The wait before another try to listen.
const PAUSE: Duration = Duration::from_secs(1);
/// Most nodes of a list: their numbers are 16 bits on the way.
const MOST: usize = 65_535;

/// Who the siblings are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// Its name: nodes of other sites are not listened to.
    pub name: String,
    /// Where this node listens.
    pub listen: SocketAddr,
    /// All nodes in the order of their numbers, as this one reaches them, its own among them.
    pub nodes: Vec<SocketAddr>,
    /// This node's number.
    pub me: usize,
    /// What they hold in common.
    pub replicated_kinds: Kinds,
}

impl Site {
    /// What the platform tells; nothing where nodes may not speak to one another, or there is nobody to speak to.
    pub fn from_platform_settings(
        allowed: bool,
        listen: Option<SocketAddr>,
        nodes: Vec<SocketAddr>,
        me: Option<usize>,
        name: String,
    ) -> Option<Site> {
        let (listen, me) = (listen.filter(|_| allowed)?, me?);
        let site = Site { name, listen, nodes, me, replicated_kinds: Kinds::PLATFORM };
        let good = site.nodes.len() > 1 && site.nodes.len() <= MOST && me < site.nodes.len();
        (good && site.twice().is_none()).then_some(site)
    }

    /// Reads `[siblings]`; nothing if there is no such table, or a mistake in it, which is noted.
    pub fn read(root: &mut Section) -> Option<Site> {
        if !root.has("siblings") {
            return None;
        }
        let mut section = root.section("siblings");
        section.only(&["site", "listen", "nodes", "me", "common"]);
        for (key, mend) in [
            ("site", "name the site, the same at all its nodes"),
            ("listen", "give the address on which the others' datagrams come"),
            ("nodes", "list all nodes in one order, as in [\"10.0.0.1:7946\", \"10.0.0.2:7946\"]"),
            ("me", "give this node's place in the list, from 0"),
        ] {
            if !section.has(key) {
                section.missing(key, mend);
            }
        }
        let (name, listen) = (section.text("site").map(str::to_owned), section.address("listen"));
        let texts = section.texts("nodes")?;
        let mut nodes = Vec::with_capacity(texts.len());
        for (place, text) in texts {
            match text.parse() {
                Ok(node) => nodes.push(node),
                Err(_) => section.note(
                    place,
                    "nodes",
                    format!("{text:?} is no address with a port"),
                    "write it as 10.0.0.1:7946 or [fd00::1]:7946",
                ),
            }
        }
        let place = section.place("nodes");
        if nodes.len() < 2 || nodes.len() > MOST {
            section.note(place, "nodes", "too few or too many", "list 2 to 65535 nodes, this one among them");
        }
        let me = section.number("me", 0..=nodes.len().saturating_sub(1));
        let replicated_kinds = Kinds::read(&mut section);
        let site = Site { name: name?, listen: listen?, nodes, me: me?, replicated_kinds };
        if let Some(twice) = site.twice() {
            section.note(place, "nodes", format!("{twice} stands there twice"), "list each node once");
        }
        Some(site)
    }

    fn twice(&self) -> Option<SocketAddr> {
        let mut seen = HashSet::new();
        self.nodes.iter().copied().find(|node| !seen.insert(*node))
    }
}

/// Whoever asks what the node sees, or has all nodes hold an order.
pub type Asks = mpsc::Receiver<SiblingsAsk>;

/// What a node tells its siblings' task, and is told by it.
pub struct Ties {
    /// Who goes by the part and the numbers.
    pub orders: CoreHandle,
    /// Who goes by the number of nodes that may be using something.
    pub nodes: watch::Sender<usize>,
    pub keeper: Keeper,
    pub asks: Asks,
    /// The site, as the configuration has it now.
    pub site: watch::Receiver<Site>,
    pub seed: u64,
    /// The lists that the node's own source tells.
    pub lists: mpsc::UnboundedReceiver<ListUpdate>,
    /// Who carries out orders on the node itself.
    pub commands: mpsc::Sender<Command>,
    /// What is held in common from before: over a restart, another list of nodes, a hand-over.
    pub kept: Vec<KeptRecord>,
    /// What the node's own list says.
    pub own: LocalServerList,
}

impl Ties {
    /// Runs until the node ends. A list that has changed begins anew, with nobody known.
    pub async fn run(mut self) {
        loop {
            let site = self.site.borrow_and_update().clone();
            match UdpSocket::bind(site.listen).await {
                Ok(socket) => {
                    info!("siblings: node {} of {} listens on {}", site.me, site.nodes.len(), site.listen);
                    Kin::new(site, socket, &mut self).run(&mut self).await;
                }
                Err(error) => {
                    warn!("siblings: cannot listen on {}: {error}; tried again in a second", site.listen);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}

/// The siblings of one list.
struct Kin {
    socket: UdpSocket,
    site: Site,
    by_address: HashMap<SocketAddr, usize>,
    clock: Clock,
    siblings: Membership,
    /// Datagrams from addresses that are no node's.
    unlisted: u64,
    told: Option<MembershipSummary>,
    /// What is held in common, if anything is.
    common: Option<Common>,
    /// Whether enough of the others confirmed this node at the last look.
    confirmed: bool,
}

impl Kin {
    fn new(site: Site, socket: UdpSocket, ties: &mut Ties) -> Kin {
        let clock = Clock::new();
        let setup = Setup {
            own_index: site.me,
            node_count: site.nodes.len(),
            site_id: self::site(&site.name, site.nodes.len()),
            seed: ties.seed ^ wall(),
            parameters: Parameters::default(),
        };
        let by_address = site.nodes.iter().copied().zip(0..).collect();
        let siblings = Membership::new(setup, clock.now(), wall());
        let common = site.replicated_kinds.any().then(|| {
            let setup = lilacquay_replica::Setup {
                own_index: site.me,
                node_count: site.nodes.len(),
                site_id: self::site(&site.name, site.nodes.len()),
                seed: ties.seed ^ wall() ^ 1,
                incarnation: siblings.incarnation(),
            };
            let (orders, commands) = (ties.orders.clone(), ties.commands.clone());
            let mut common = Common::new(setup, site.replicated_kinds, clock.now(), orders, commands);
            common.restore(clock.now(), std::mem::take(&mut ties.kept));
            common
        });
        Kin { socket, site, by_address, clock, siblings, unlisted: 0, told: None, common, confirmed: false }
    }

    /// Runs until the list changes.
    async fn run(mut self, ties: &mut Ties) {
        let mut bearing = ties.keeper.bearing();
        let (mut datagram, mut leaving) = ([0; LONGEST + 1], false);
        loop {
            let due = self.common.as_ref().map_or(Micros::MAX, Common::due).min(self.siblings.next_tick_at());
            let out = tokio::select! {
                biased;
                () = sleep_until(self.clock.instant(due)) => self.tick(),
                Some(ask) = ties.asks.recv() => {
                    self.asked(ask);
                    Vec::new()
                }
                Some(told) = ties.lists.recv() => {
                    let ended = replicated_state::list(&mut ties.own, told);
                    if let Some(common) = &mut self.common {
                        common.list(self.clock.now(), &ties.own, &ended);
                    }
                    Vec::new()
                }
                Ok(()) = bearing.changed() => match ties.keeper.state() {
                    Life::ShuttingDown { address_shared: false, .. } if !leaving => {
                        leaving = true;
                        self.siblings.leave(self.clock.now())
                    }
                    _ => continue,
                },
                Ok(()) = ties.site.changed() => {
                    if *ties.site.borrow() == self.site {
                        continue;
                    }
                    let now = self.clock.now();
                    let last = self.siblings.leave(now);
                    info!("siblings: the list of nodes has changed; it begins anew");
                    ties.kept = self.common.as_ref().map_or(Vec::new(), |common| common.kept(now));
                    return self.send(last).await;
                }
                // Last: datagrams without end hold up none of the above.
                come = self.socket.recv_from(&mut datagram) => {
                    let mut out = Vec::new();
                    let mut come = come;
                    for _ in 0..TURN {
                        let Ok((length, from)) = come else { break };
                        out.extend(self.heard(from, &datagram[..length]));
                        come = self.socket.try_recv_from(&mut datagram);
                    }
                    out
                }
            };
            self.send(out).await;
            self.log();
            self.tell(ties);
            if let Some(common) = &mut self.common {
                common.tell(self.clock.now(), &ties.own);
            }
            yield_now().await;
        }
    }

    /// Time has passed.
    fn tick(&mut self) -> Vec<OutgoingDatagram> {
        let (now, mut out) = (self.clock.now(), Vec::new());
        if now >= self.siblings.next_tick_at() {
            out.extend(self.siblings.tick(now, wall()));
            self.mind_common(now);
        }
        if let Some(common) = self.common.as_mut().filter(|common| now >= common.due()) {
            out.extend(common.tick(now).into_iter().map(worded));
        }
        out
    }

    /// Tells the copy who is here, and whether this node was away.
    fn mind_common(&mut self, now: Micros) {
        let Some(common) = &mut self.common else { return };
        let confirmed = self.siblings.is_confirmed(now);
        // One that too few confirm is cut off; one that is superseded is to be silent.
        let fellows = self.siblings.peers(now);
        let heard = |fellow: &&PeerStatus| fellow.state == NodeState::Here;
        let here = match self.siblings.is_superseded() {
            true => Vec::new(),
            false => fellows.iter().filter(heard).map(|fellow| fellow.node).collect(),
        };
        common.set_here(now, here, confirmed && !self.confirmed);
        self.confirmed = confirmed;
    }

    /// Answers whoever asks.
    fn asked(&mut self, ask: SiblingsAsk) {
        let now = self.clock.now();
        // Who asked may have left, at each.
        match ask {
            SiblingsAsk::Sight(answer) => drop(answer.send(self.sight())),
            SiblingsAsk::Copy(answer) => {
                drop(answer.send(self.common.as_ref().map(|common| common.look(now))))
            }
            SiblingsAsk::Records(answer) => {
                drop(answer.send(self.common.as_ref().map_or(Vec::new(), |common| common.handed(now))))
            }
            SiblingsAsk::Order(order, wait_for, answer) => match &mut self.common {
                Some(common) => common.order(now, &order, wait_for, answer),
                None => drop(answer.send(None)),
            },
        }
    }

    fn heard(&mut self, from: SocketAddr, datagram: &[u8]) -> Vec<OutgoingDatagram> {
        match self.by_address.get(&from) {
            Some(&node) if datagram.starts_with(&replica::MAGIC) => {
                let now = self.clock.now();
                // One that has given its name up to another process is silent.
                let common = self.common.as_mut().filter(|_| !self.siblings.is_superseded());
                let out = common.map_or(Vec::new(), |common| common.heard(now, node, datagram));
                out.into_iter().map(worded).collect()
            }
            Some(&node) => self.siblings.handle_datagram(self.clock.now(), wall(), node, datagram),
            None => {
                self.unlisted += 1;
                if self.unlisted == 1 {
                    warn!(
                        "siblings: a datagram came from {from}, which is no node's address; such are dropped"
                    );
                }
                Vec::new()
            }
        }
    }

    async fn send(&self, out: Vec<OutgoingDatagram>) {
        for OutgoingDatagram { to, datagram } in out {
            // One that is lost is said again; what a network refuses is as lost.
            let _: io::Result<usize> = self.socket.send_to(&datagram, self.site.nodes[to]).await;
        }
    }

    /// Tells the rest of the node what it may use, if that is something else or holds for longer.
    fn tell(&mut self, ties: &Ties) {
        let now = self.clock.now();
        let part = self.siblings.resource_share(now);
        let left = Duration::from_micros(part.until.saturating_sub(now)).min(LONG);
        let fellows = MembershipSummary {
            share_thousandths: part.thousandths_at(now),
            valid_until: Instant::now() + left,
            peer_counts: self.siblings.state_counts(),
        };
        let renewed = |told: &MembershipSummary| {
            (told.share_thousandths, told.peer_counts) == (fellows.share_thousandths, fellows.peer_counts)
                && fellows.valid_until < told.valid_until + Duration::from_millis(100)
        };
        if !self.told.as_ref().is_some_and(renewed) {
            self.told = Some(fellows);
            ties.orders.set_membership_summary(fellows);
            ties.nodes.send_if_modified(|nodes| {
                let changed = *nodes != fellows.node_count();
                *nodes = fellows.node_count();
                changed
            });
        }
    }

    fn log(&mut self) {
        let changes = self.siblings.take_events();
        let states =
            changes.iter().filter(|change| matches!(change, MembershipEvent::StateChanged { .. })).count();
        if states > NAMED {
            let [here, gone, unknown] = self.siblings.state_counts();
            info!(here, gone, unknown, "siblings: {states} changes at once");
        }
        for change in &changes {
            match change {
                MembershipEvent::StateChanged { .. } if states > NAMED => {}
                MembershipEvent::StateChanged {
                    node,
                    previous: was,
                    current: is,
                    incarnation,
                    reason: why,
                } => {
                    let (was, is, why) = (was.as_str(), is.as_str(), words(why));
                    info!(incarnation, "siblings: node {node} is {is}, was {was}: {why}");
                }
                MembershipEvent::Paused { duration: time } => {
                    warn!(
                        ms = time / 1_000,
                        "siblings: this node was paused; it accuses nobody and asks again"
                    )
                }
                MembershipEvent::IncarnationStarted { incarnation, denials: denied } => {
                    info!(incarnation, denied, "siblings: this node begins a new incarnation");
                }
                MembershipEvent::ConfirmationChanged(true) => info!("siblings: this node is confirmed"),
                MembershipEvent::ConfirmationChanged(false) => {
                    warn!("siblings: too few confirm this node; it uses nothing shared until they do")
                }
                MembershipEvent::Superseded => error!(
                    "siblings: another process runs as node {}; this one gives way and uses nothing shared; end one of them",
                    self.site.me
                ),
            }
        }
    }

    /// What it sees, in words.
    fn sight(&self) -> Sight {
        let now = self.clock.now();
        let [here, gone, unknown] = self.siblings.state_counts();
        let (part, counts) = (self.siblings.resource_share(now), self.siblings.counters());
        let fellow = |fellow: PeerStatus| self.fellow(now, fellow);
        let way = |way: lilacquay_siblings::LinkState| WayNow { from: way.from, to: way.to, open: way.is_up };
        Sight {
            site: self.site.name.clone(),
            me: self.site.me,
            nodes: self.site.nodes.len(),
            incarnation: self.siblings.incarnation(),
            epoch: format!("{:08x}", self.siblings.view_digest()),
            confirmed: self.siblings.is_confirmed(now),
            superseded: self.siblings.is_superseded(),
            part: f64::from(part.thousandths_at(now)) / 1e3,
            doubt: self.siblings.health_penalty(),
            pauses: counts.pauses,
            here,
            gone,
            unknown,
            sent: counts.sent,
            sent_bytes: counts.sent_bytes,
            read: counts.accepted,
            unread: counts.invalid,
            strangers: counts.other_site,
            unlisted: self.unlisted,
            fellows: self.siblings.peers(now).into_iter().map(fellow).collect(),
            ways: self.siblings.link_states(now).into_iter().map(way).collect(),
        }
    }

    fn fellow(&self, now: Micros, fellow: PeerStatus) -> FellowNow {
        let ago = |at: Micros| now.saturating_sub(at) as f64 / 1e6;
        FellowNow {
            node: fellow.node,
            address: self.site.nodes[fellow.node].to_string(),
            state: fellow.state.as_str().into(),
            since_s: ago(fellow.since),
            why: words(&fellow.reason),
            incarnation: fellow.incarnation,
            heard_s: fellow.last_heard.map(|(at, _)| ago(at)),
            heard_by: fellow.last_heard.map(|(_, by)| by),
            we_hear: fellow.we_hear,
            hears_us: fellow.hears_us,
            suspected: fellow.is_suspected && fellow.state != NodeState::Gone,
        }
    }
}

/// One that the copy sends goes the same way.
fn worded(out: lilacquay_replica::OutgoingDatagram) -> OutgoingDatagram {
    OutgoingDatagram { to: out.to, datagram: out.datagram }
}

/// On what evidence.
fn words(why: &StateReason) -> String {
    match why {
        StateReason::NeverHeard => "nothing was heard of it yet".into(),
        StateReason::Heard { via: by } => format!("its word came through node {by}"),
        StateReason::NewIncarnation { previous: than, via: by } => {
            format!("it began anew after incarnation {than}, by word through node {by}")
        }
        StateReason::Left => "it said that it leaves".into(),
        StateReason::LeaseExpired { reported_by: by } => format!("its lease has run out at nodes {by:?}"),
        StateReason::Silent => "nothing new was heard of it for too long".into(),
        StateReason::Unconfirmed => "it is not confirmed, by its own word".into(),
        StateReason::DoesNotHearUs => "it has not confirmed hearing this node".into(),
    }
}

/// Unix time in microseconds, as the system has it now: it may be put forward or back.
fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// For whoever asks what the node sees, with the receiver's half.
pub fn asks() -> (Arc<mpsc::Sender<SiblingsAsk>>, Asks) {
    let (to, asks) = mpsc::channel(16);
    (Arc::new(to), asks)
}
