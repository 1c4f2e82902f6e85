//! The membership protocol of one node: processes datagrams and ticks, and decides what to send, which state each other
//! node has, and which share of the common resources this node may use.

use std::collections::VecDeque;
use std::hash::{Hash, Hasher};

use lilacquay_codec::siblings::{
    DIGEST_BUCKETS, DecodeError, MAX_DATAGRAM_BYTES, MAX_REQUESTED_ROWS, Message, NodeFlags, Row, decode,
    encode,
};

use crate::Micros;
use crate::gossip_queue::GossipQueue;
use crate::parameters::Parameters;
use crate::pause_detector::{DetectedPause, PauseDetector};
use crate::peer_monitor::PeerMonitor;
use crate::ring::Ring;
use crate::self_state::SelfState;
use crate::share::{FULL_SHARE, HALF_SHARE, ResourceShare};
use crate::view::{MergeOutcome, NodeRecord, NodeState, StateReason, View};

/// Nodes that are not neighbours on the ring to which each tick sends a datagram. Rows sent to them in rotation
/// bring news of every node to all nodes.
const DISTANT_PEERS_PER_TICK: usize = 3;
/// While changes are queued, one more such node per this many changes gets a datagram, which holds about as many brief rows.
const CHANGES_PER_EXTRA_PEER: usize = 6;
/// Most nodes that a tick adds for queued changes.
const MAX_EXTRA_PEERS_PER_TICK: usize = 12;
/// Rows in rotation are added to a datagram only up to this length, in bytes.
const ROTATION_LENGTH_LIMIT_BYTES: usize = 170;
/// Distant nodes to which urgent news is relayed at once.
const URGENT_RELAY_FANOUT: usize = 2;
/// Capacity of the token bucket for datagrams beyond those of each tick.
const EXTRA_SEND_BURST: u64 = 20;
/// How many of these datagrams the bucket gains per second.
const EXTRA_SENDS_PER_SECOND: u64 = 20;
/// How many rows of another process under this node's name must arrive within the window before this process yields. Fewer may
/// be leftovers of this node's own earlier process.
const NAME_CONFLICT_THRESHOLD: u32 = 3;
/// The window in which these rows are counted.
const NAME_CONFLICT_WINDOW_US: Micros = 10_000_000;
/// Only a process that has run for longer than this yields to another process of its name.
const ESTABLISHED_AFTER_US: Micros = 30_000_000;
/// Events that are kept until they are fetched; further ones are dropped.
const MAX_PENDING_EVENTS: usize = 4096;
/// If a node's heartbeat is more than this far below the newest known one, it is not a late datagram: the known one is
/// of an earlier process that had the same incarnation by chance.
const EARLIER_PROCESS_HEARTBEAT_GAP: u32 = 64;
/// By how much each point of the health penalty extends the expiry timeout, in thousandths of it.
const EXTENSION_PER_PENALTY_POINT_PERMILLE: u64 = 125;
/// The highest health penalty, in points.
const MAX_HEALTH_PENALTY: u64 = 8;

/// The identity of a node and its settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Setup {
    /// This node's index in the list of nodes.
    pub own_index: usize,
    /// The length of the list.
    pub node_count: usize,
    /// The site's number; datagrams of other sites are ignored.
    pub site_id: u32,
    /// Seed of the random choices. Must differ at each start.
    pub seed: u64,
    /// Times and tolerances.
    pub parameters: Parameters,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The index of the receiving node.
    pub to: usize,
    /// Its contents, 256 bytes at most.
    pub datagram: Vec<u8>,
}

/// An event to be logged.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum MembershipEvent {
    /// Another node has a different state, as seen here.
    StateChanged {
        /// The index of the node.
        node: usize,
        /// Its state before.
        previous: NodeState,
        /// Its state now.
        current: NodeState,
        /// Its incarnation; 0 if none is known.
        incarnation: u64,
        /// The evidence.
        reason: StateReason,
    },
    /// This node was paused. Silence of others during the pause is not counted against them.
    Paused {
        /// How long, by the clock that showed it.
        duration: Micros,
    },
    /// This node has started a new incarnation.
    IncarnationStarted {
        /// The new incarnation.
        incarnation: u64,
        /// How many of its watchers reported that the lease of the previous one had expired.
        denials: usize,
    },
    /// A quorum of watchers confirms this node again, or no longer.
    ConfirmationChanged(bool),
    /// Another process runs under this node's name, and this one has yielded.
    Superseded,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent.
    pub sent_bytes: u64,
    /// Datagrams received that were valid.
    pub accepted: u64,
    /// Datagrams received that were of another format, truncated, corrupt, or not of the node they came from.
    pub invalid: u64,
    /// Datagrams received of another site, or of a list of another length.
    pub other_site: u64,
    /// Pauses of this node.
    pub pauses: u64,
}

/// The status of another node, for display.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerStatus {
    /// Its index in the list of nodes.
    pub node: usize,
    /// Its state.
    pub state: NodeState,
    /// The evidence for it.
    pub reason: StateReason,
    /// Since when it has that state.
    pub since: Micros,
    /// Its incarnation; 0 if none is known.
    pub incarnation: u64,
    /// When its newest row came, and from which node.
    pub last_heard: Option<(Micros, usize)>,
    /// Whether its own datagrams arrive here, if this node watches it.
    pub we_hear: Option<bool>,
    /// Whether this node's datagrams arrive there, by its own report, if it watches this node.
    pub hears_us: Option<bool>,
    /// This node watches it and has had no news of it for three heartbeat intervals.
    pub is_suspected: bool,
}

/// The link from one node to another, as reported by the receiving node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LinkState {
    /// The sending node.
    pub from: usize,
    /// The receiving node.
    pub to: usize,
    /// Whether datagrams arrive directly.
    pub is_up: bool,
}

/// A random number generator that can be hashed as a part of the state.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HashableRng(fastrand::Rng);

impl Hash for HashableRng {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.get_seed().hash(state);
    }
}

/// The membership protocol of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Membership {
    setup: Setup,
    ring: Ring,
    started_at: Micros,
    self_state: SelfState,
    pause_detector: PauseDetector,
    /// The neighbours, which this node watches and which watch it, in the order of the ring; and a monitor for each.
    neighbours: Vec<usize>,
    monitors: Vec<PeerMonitor>,
    view: View,
    gossip: GossipQueue,
    /// The state of each node that was last reported, since when, and why.
    reported_states: Vec<(NodeState, Micros, StateReason)>,
    /// Remaining extra sends, in millionths.
    extra_send_tokens: u64,
    tokens_refilled_at: Micros,
    /// By neighbour, whether its last datagram showed another view than this node's.
    views_differ: Vec<bool>,
    /// When a datagram of any node last showed another view.
    last_difference_at: Micros,
    /// By node, when a datagram last came from the node itself.
    last_direct_at: Vec<Option<Micros>>,
    /// By node, when a datagram was last sent to it because other nodes miss it.
    last_probed_at: Vec<Option<Micros>>,
    /// By node, when it was last sent an immediate reply.
    last_reply_at: Vec<Option<Micros>>,
    was_paused: bool,
    health_penalty: u64,
    is_leaving: bool,
    is_superseded: bool,
    /// Rows seen of another process under this node's name, and the start of the window in which they were counted.
    name_conflicts: (u32, Micros),
    reported_confirmed: bool,
    events: VecDeque<MembershipEvent>,
    counters: Counters,
    rng: HashableRng,
}

impl Membership {
    /// A node that starts and knows of no other. `now` is the time of a monotonic clock with any origin, `wall` is Unix
    /// time.
    pub fn new(setup: Setup, now: Micros, wall: Micros) -> Membership {
        let (ring, mut rng) = (Ring::new(setup.node_count), fastrand::Rng::with_seed(setup.seed));
        let self_state = SelfState::new(&ring, &setup.parameters, now, wall, rng.u8(..));
        let neighbours: Vec<usize> = ring.neighbours(setup.own_index).collect();
        let neighbour_count = neighbours.len();
        Membership {
            started_at: now,
            self_state,
            pause_detector: PauseDetector::new(now, wall, setup.parameters.late_threshold),
            monitors: vec![PeerMonitor::default(); neighbours.len()],
            neighbours,
            view: View::new(setup.node_count, setup.parameters.heartbeat_interval / 2),
            gossip: GossipQueue::new(setup.node_count, rng.usize(..setup.node_count.max(1))),
            reported_states: vec![(NodeState::Unknown, now, StateReason::NeverHeard); setup.node_count],
            extra_send_tokens: EXTRA_SEND_BURST * 1_000_000,
            tokens_refilled_at: now,
            views_differ: vec![true; neighbour_count],
            last_difference_at: now,
            last_direct_at: vec![None; setup.node_count],
            last_probed_at: vec![None; setup.node_count],
            last_reply_at: vec![None; setup.node_count],
            was_paused: false,
            health_penalty: 0,
            is_leaving: false,
            is_superseded: false,
            name_conflicts: (0, now),
            reported_confirmed: false,
            events: VecDeque::new(),
            counters: Counters::default(),
            rng: HashableRng(rng),
            ring,
            setup,
        }
    }

    // ---- inputs ----

    /// When [`Membership::tick`] is to be called next, at the latest.
    pub fn next_tick_at(&self) -> Micros {
        self.pause_detector.next_run_at()
    }

    /// Processes a datagram that came from the address of the node `from`. Returns the datagrams to send.
    pub fn handle_datagram(
        &mut self,
        now: Micros,
        wall: Micros,
        from: usize,
        datagram: &[u8],
    ) -> Vec<OutgoingDatagram> {
        let mut out = Vec::new();
        let message = match decode(self.setup.site_id, datagram) {
            Ok(message) => message,
            Err(DecodeError::WrongSite) => {
                self.counters.other_site += 1;
                return out;
            }
            Err(DecodeError::Malformed | DecodeError::ChecksumMismatch) => {
                self.counters.invalid += 1;
                return out;
            }
        };
        let sender_row = message.rows.first().copied();
        // Rejects datagrams that were misrouted, or replayed by another node.
        let Some(sender_row) =
            sender_row.filter(|row| usize::from(row.origin) == from && from != self.setup.own_index)
        else {
            self.counters.invalid += 1;
            return out;
        };
        self.counters.accepted += 1;
        self.check_clocks(now, wall);
        if self.is_superseded {
            return out;
        }
        self.last_direct_at[from] = Some(now);
        let is_new_incarnation =
            self.view.get(from).is_none_or(|record| record.row.incarnation < sender_row.incarnation);
        // A much lower heartbeat number means that an earlier process had the same incarnation by chance: no datagram
        // arrives that late.
        let is_behind = self.view.get(from).is_some_and(|record| {
            let same_incarnation = record.row.incarnation == sender_row.incarnation;
            record.row.incarnation > sender_row.incarnation
                || same_incarnation
                    && record.row.heartbeat
                        > sender_row.heartbeat.saturating_add(EARLIER_PROCESS_HEARTBEAT_GAP)
        });
        let mut is_urgent = false;
        for (position, row) in message.rows.iter().enumerate() {
            is_urgent |= self.merge_row(now, *row, false, from, position == 0);
        }
        // Neighbours send full rows as well, which a newer brief row without a `heard` list would hide.
        for row in &message.brief_rows {
            if !self.neighbours.contains(&usize::from(row.origin)) {
                self.merge_row(now, *row, true, from, false);
            }
        }
        let differs = message.epoch != self.view.digest();
        self.last_difference_at = if differs { now } else { self.last_difference_at };
        match self.neighbours.iter().position(|&neighbour| neighbour == from) {
            Some(index) => self.views_differ[index] = differs,
            // It has not sent its bucket digests: it is sent ours, and answers with what this node lacks.
            None if differs && message.digests.is_none() => self.send_extra(now, from, false, &mut out),
            None => {}
        }
        self.update_own_standing(now, &mut out);
        if is_urgent {
            self.probe_missed_nodes(now, &message.rows, &mut out);
            for _ in 0..URGENT_RELAY_FANOUT {
                // The second half of the tokens is reserved for replies.
                if let Some(distant) = self
                    .random_distant_peer(now)
                    .filter(|_| self.extra_send_tokens > EXTRA_SEND_BURST * 500_000)
                {
                    self.send_extra(now, distant, false, &mut out);
                }
            }
        }
        self.answer_wanted_nodes(now, from, &message.requested_nodes, &mut out);
        self.answer_digests(now, from, message.digests, &mut out);
        let sender_needs_help = !sender_row.flags.confirmed || sender_row.flags.needs_relay;
        // Limits replies, so that two nodes in need do not reply to each other's replies without end.
        let replied_lately = self.last_reply_at[from]
            .is_some_and(|at| now < at + self.setup.parameters.heartbeat_interval / 5);
        let misses_us =
            self.neighbours.iter().position(|&neighbour| neighbour == from).is_some_and(|index| {
                // It has acknowledged nothing of ours for longer than it should: the last datagram was lost.
                self.self_state
                    .acked_sent_at(index)
                    .is_none_or(|sent_at| now > sent_at + self.setup.parameters.heartbeat_interval * 5 / 4)
            });
        if is_behind
            || is_new_incarnation
            || !replied_lately && (misses_us || sender_needs_help || self.needs_help(now))
        {
            self.last_reply_at[from] = Some(now);
            self.send_extra(now, from, is_behind, &mut out);
        }
        out
    }

    /// Sends a node the rows that it has asked for, as far as they are confirmed and recent here.
    fn answer_wanted_nodes(
        &mut self,
        now: Micros,
        to: usize,
        wanted: &[u16],
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let max_age = self.setup.parameters.freshness_limit(self.setup.node_count) / 2;
        let recent_row = |node: &u16| {
            let record = self.view.get(usize::from(*node))?;
            let is_certain = now <= record.received_at + max_age && record.row.flags.confirmed;
            (is_certain && usize::from(*node) != to).then_some(record.row)
        };
        let rows: Vec<Row> = wanted.iter().filter_map(recent_row).collect();
        if !rows.is_empty() && self.take_extra_send_token() {
            self.refresh_own_row(now);
            let mut message = self.new_message();
            rows.into_iter().for_each(|row| _ = message.add(row, true, MAX_DATAGRAM_BYTES));
            self.push_datagram(to, &message, out);
        }
    }

    /// Sends a node with another view what it may lack: the rows of the buckets whose digests differ.
    fn answer_digests(
        &mut self,
        now: Micros,
        to: usize,
        theirs: Option<[u16; DIGEST_BUCKETS]>,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let Some(theirs) = theirs else { return };
        let ours = self.view.bucket_digests();
        let differing: Vec<usize> =
            (0..DIGEST_BUCKETS).filter(|&bucket| ours[bucket] != theirs[bucket]).collect();
        if differing.is_empty() || !self.take_extra_send_token() {
            return;
        }
        self.refresh_own_row(now);
        let mut message = self.new_message();
        let first = self.rng.0.usize(..differing.len());
        for &bucket in differing[first..].iter().chain(&differing[..first]) {
            let mut nodes: Vec<usize> = self.view.bucket_nodes(bucket).filter(|&node| node != to).collect();
            self.rng.0.shuffle(&mut nodes);
            for record in nodes.into_iter().filter_map(|node| self.view.get(node)) {
                // That a node's lease has expired is shown only by the full rows of its watchers, so these are sent
                // too; brief rows cannot show it.
                let reported_by = match &record.gone {
                    Some((_, StateReason::LeaseExpired { reported_by })) if record.is_gone() => {
                        reported_by.as_slice()
                    }
                    _ => &[],
                };
                let reports = reported_by
                    .iter()
                    .filter_map(|&watcher| self.view.get(watcher))
                    .map(|record| (record.row, false));
                for (row, is_brief) in reports.chain([(record.row, true)]) {
                    if !message.has_row_of(row.origin) && !message.add(row, is_brief, MAX_DATAGRAM_BYTES) {
                        return self.push_datagram(to, &message, out);
                    }
                }
            }
        }
        self.push_datagram(to, &message, out);
    }

    /// Nodes whose state is unknown here, as many as a datagram asks for.
    fn wanted_nodes(&mut self) -> Vec<u16> {
        let is_unknown = |&node: &usize| {
            self.reported_states[node].0 == NodeState::Unknown && node != self.setup.own_index
        };
        let first =
            if self.state_counts()[2] > MAX_REQUESTED_ROWS { self.gossip.next_in_rotation() } else { 0 };
        let (low, high) = (0..first, first..self.setup.node_count);
        high.chain(low).filter(is_unknown).take(MAX_REQUESTED_ROWS).map(|node| node as u16).collect()
    }

    /// Does what is due as time passes: expires leases and sends heartbeats. Returns the datagrams to send.
    pub fn tick(&mut self, now: Micros, wall: Micros) -> Vec<OutgoingDatagram> {
        let mut out = Vec::new();
        self.check_clocks(now, wall);
        self.pause_detector.schedule(now, self.setup.parameters.heartbeat_interval);
        if self.is_superseded {
            return out;
        }
        for index in 0..self.monitors.len() {
            if self.monitors[index].check_expiry(
                now,
                &self.setup.parameters,
                self.health_penalty * EXTENSION_PER_PENALTY_POINT_PERMILLE,
            ) {
                self.refresh_own_row(now);
                self.view.apply_expiry_quorum(&self.ring, self.neighbours[index]);
            }
        }
        self.update_health_penalty(now);
        self.update_own_standing(now, &mut out);
        self.refresh_own_row(now);
        for index in 0..self.neighbours.len() {
            self.send_gossip(now, self.neighbours[index], false, &mut out);
            // A silent neighbour is asked a second time before any other node is: a loss on one link is more likely than
            // losses on all of them.
            let (monitor, timeout) =
                (&self.monitors[index], self.setup.parameters.heartbeat_interval * 5 / 4);
            if !monitor.is_expired() && monitor.is_silent_for(now, timeout) {
                self.send_extra(now, self.neighbours[index], false, &mut out);
            }
        }
        for _ in 0..DISTANT_PEERS_PER_TICK
            + (self.gossip.len() / CHANGES_PER_EXTRA_PEER).min(MAX_EXTRA_PEERS_PER_TICK)
        {
            if let Some(distant) = self.random_distant_peer(now) {
                self.send_gossip(now, distant, false, &mut out);
            }
        }
        self.was_paused = false;
        for node in 0..self.setup.node_count {
            self.report_state(now, node);
        }
        out
    }

    /// Leaves the site: from now on this node uses no share. Returns the datagrams that announce it; later ticks repeat
    /// the announcement.
    pub fn leave(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        let mut out = Vec::new();
        if !self.is_superseded {
            self.is_leaving = true;
            self.refresh_own_row(now);
            for index in 0..self.neighbours.len() {
                self.send_gossip(now, self.neighbours[index], false, &mut out);
            }
            for _ in 0..DISTANT_PEERS_PER_TICK {
                if let Some(distant) = self.random_distant_peer(now) {
                    self.send_gossip(now, distant, false, &mut out);
                }
            }
        }
        out
    }

    // ---- queries ----

    /// The share of the common resources that this node may use.
    pub fn resource_share(&self, now: Micros) -> ResourceShare {
        if self.is_leaving || self.is_superseded {
            return ResourceShare::NONE;
        }
        if self.ring.confirmation_quorum() == 0 {
            return ResourceShare::PERMANENT;
        }
        let until = self.self_state.confirmed_until();
        if now >= until {
            return ResourceShare::NONE;
        }
        let adjacent = 0..self.neighbours.len().min(2);
        let own = if self.self_state.is_settled(now) {
            ResourceShare { thousandths: FULL_SHARE, until }
        } else {
            let confirmations = adjacent
                .clone()
                .map(|index| self.self_state.watcher_confirms_until(index))
                .filter(|&until| now < until);
            confirmations.fold(ResourceShare::NONE, |share, until| share.plus(HALF_SHARE, until))
        };
        let taken_over =
            adjacent.filter_map(|index| self.taken_over_until(index)).filter(|&until| now < until);
        taken_over.fold(own, |share, until| share.plus(HALF_SHARE, until)).limited_until(until)
    }

    /// Until when this node may use half the share of an adjacent node, if it may: an expiry quorum of that node's
    /// watchers holds it to be gone, this node among them, and each of the others has reported so after a heartbeat of
    /// ours that is younger than a lease.
    fn taken_over_until(&self, index: usize) -> Option<Micros> {
        let (node, monitor) = (self.neighbours[index], &self.monitors[index]);
        let record = self.view.get(node)?;
        if !monitor.is_expired() || monitor.incarnation() != record.row.incarnation || !record.is_gone() {
            return None;
        }
        let reports_expired = |&(index, &watcher): &(usize, &usize)| {
            let heard_index = self.ring.neighbour_index(watcher, node).filter(|_| watcher != node);
            let row = self.view.get(watcher).map(|record| &record.row);
            self.self_state.acked_sent_at(index).is_some()
                && row.zip(heard_index).is_some_and(|(row, heard_index)| {
                    let heard = row.heard[heard_index];
                    heard.expired && heard.incarnation == record.row.incarnation as u32
                })
        };
        let acked = self
            .neighbours
            .iter()
            .enumerate()
            .filter(reports_expired)
            .filter_map(|(index, _)| self.self_state.acked_sent_at(index));
        let mut ends: Vec<Micros> =
            acked.map(|sent_at| sent_at + self.setup.parameters.lease_duration).collect();
        ends.sort_unstable_by(|a, b| b.cmp(a));
        // This node is one of the quorum.
        ends.get(self.ring.expiry_quorum().checked_sub(2)?).copied()
    }

    /// The state of a node, and the evidence for it.
    pub fn state(&self, now: Micros, node: usize) -> (NodeState, StateReason) {
        let parameters = &self.setup.parameters;
        let Some(record) = self.view.get(node) else { return (NodeState::Unknown, StateReason::NeverHeard) };
        if let Some((_, reason)) = record.gone.as_ref().filter(|_| record.is_gone()) {
            return (NodeState::Gone, reason.clone());
        }
        if now > record.received_at + parameters.freshness_limit(self.setup.node_count) {
            return (NodeState::Unknown, StateReason::Silent);
        }
        if !record.row.flags.confirmed {
            return (NodeState::Unknown, StateReason::Unconfirmed);
        }
        if let Some(index) = self.neighbours.iter().position(|&neighbour| neighbour == node) {
            if self.monitors[index].is_silent_for(now, parameters.expiry_timeout()) {
                return (NodeState::Unknown, StateReason::Silent);
            }
            if self
                .self_state
                .acked_sent_at(index)
                .is_none_or(|sent_at| now > sent_at + parameters.expiry_timeout())
            {
                return (NodeState::Unknown, StateReason::DoesNotHearUs);
            }
        }
        let via = record.received_from;
        (
            NodeState::Here,
            record
                .previous_incarnation
                .map_or(StateReason::Heard { via }, |previous| StateReason::NewIncarnation { previous, via }),
        )
    }

    /// How many of the other nodes are here, gone and unknown, in this order.
    pub fn state_counts(&self) -> [usize; 3] {
        let others =
            self.reported_states.iter().enumerate().filter(|(node, _)| *node != self.setup.own_index);
        others.fold([0; 3], |mut counts, (_, (state, ..))| {
            counts[match state {
                NodeState::Here => 0,
                NodeState::Gone => 1,
                NodeState::Unknown => 2,
            }] += 1;
            counts
        })
    }

    /// The status of all other nodes.
    pub fn peers(&self, now: Micros) -> Vec<PeerStatus> {
        let others = (0..self.setup.node_count).filter(|&node| node != self.setup.own_index);
        others.map(|node| self.peer_status(now, node)).collect()
    }

    fn peer_status(&self, now: Micros, node: usize) -> PeerStatus {
        let parameters = &self.setup.parameters;
        let (state, reason) = self.state(now, node);
        let record = self.view.get(node);
        let index = self.neighbours.iter().position(|&neighbour| neighbour == node);
        let hears_us = |record: &NodeRecord| {
            self.ring
                .neighbour_index(node, self.setup.own_index)
                .map(|heard_index| record.row.heard[heard_index].direct)
        };
        PeerStatus {
            node,
            state,
            reason,
            since: self.reported_states[node].1,
            incarnation: record.map_or(0, |record| record.row.incarnation),
            last_heard: record.map(|record| (record.received_at, record.received_from)),
            we_hear: index.map(|index| self.monitors[index].is_heard_directly(now, parameters)),
            hears_us: record.and_then(hears_us),
            is_suspected: index.is_some_and(|index| {
                self.monitors[index].is_silent_for(now, 3 * parameters.heartbeat_interval)
            }),
        }
    }

    /// The links between neighbours on the ring, as far as recent rows report them.
    pub fn link_states(&self, now: Micros) -> Vec<LinkState> {
        let is_recent = |to: &usize| {
            let record = self.view.get(*to);
            record.is_some_and(|record| {
                record.heard_heartbeat.is_some()
                    && !record.is_gone()
                    && now
                        <= record.received_at + self.setup.parameters.freshness_limit(self.setup.node_count)
            })
        };
        let links_into = |to: usize| {
            let row = self.view.get(to).map(|record| record.row);
            let senders = self.ring.neighbours(to).enumerate();
            senders.filter_map(move |(index, from)| {
                Some(LinkState { from, to, is_up: row?.heard[index].direct })
            })
        };
        (0..self.setup.node_count).filter(is_recent).flat_map(links_into).collect()
    }

    /// A digest of the view: nodes that agree on all incarnations, and on which are gone, have the same.
    pub fn view_digest(&self) -> u32 {
        self.view.digest()
    }

    /// This node's own incarnation.
    pub fn incarnation(&self) -> u64 {
        self.self_state.incarnation()
    }

    /// The known incarnation of another node, and whether it is held to be gone.
    pub fn incarnation_of(&self, node: usize) -> Option<(u64, bool)> {
        self.view.get(node).map(|record| (record.row.incarnation, record.is_gone()))
    }

    /// Whether a quorum of watchers confirms this node.
    pub fn is_confirmed(&self, now: Micros) -> bool {
        now < self.self_state.confirmed_until()
    }

    /// Whether this process has yielded to another one under its name.
    pub fn is_superseded(&self) -> bool {
        self.is_superseded
    }

    /// How much this node doubts its own reception, from 0 to 8 points. Each point extends the expiry timeout by an eighth,
    /// up to twice its length.
    pub fn health_penalty(&self) -> u64 {
        self.health_penalty
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How many changed rows have not been sent often enough yet.
    pub fn pending_updates(&self) -> usize {
        self.gossip.len()
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        self.events.drain(..).collect()
    }

    /// The identity and settings of this node.
    pub fn setup(&self) -> &Setup {
        &self.setup
    }

    // ---- internals ----

    fn push_event(&mut self, event: MembershipEvent) {
        if self.events.len() < MAX_PENDING_EVENTS {
            self.events.push_back(event);
        }
    }

    /// Checks the clocks for a pause before anything else is done, so that a node which was paused does not report others
    /// as silent for what it could not receive. Also refills the tokens for extra sends.
    fn check_clocks(&mut self, now: Micros, wall: Micros) {
        let pause = self.pause_detector.check(now, wall);
        self.self_state.update_confirmation(now);
        let DetectedPause { lateness, suspended } = pause;
        if suspended > 0 {
            self.self_state.apply_suspension(suspended);
            self.view.apply_suspension(suspended);
        }
        if pause.is_pause() {
            for monitor in &mut self.monitors {
                monitor.extend_after_pause(now, lateness, &self.setup.parameters);
            }
            self.was_paused = true;
            self.counters.pauses += 1;
            self.health_penalty = (self.health_penalty + 2).min(MAX_HEALTH_PENALTY);
            self.push_event(MembershipEvent::Paused { duration: lateness.max(suspended) });
        }
        let elapsed = now.saturating_sub(self.tokens_refilled_at);
        (self.extra_send_tokens, self.tokens_refilled_at) = (
            (self.extra_send_tokens + elapsed * EXTRA_SENDS_PER_SECOND).min(EXTRA_SEND_BURST * 1_000_000),
            now,
        );
    }

    /// Merges one row. `is_direct`: it came from the node itself. Returns whether it is to be relayed at once.
    fn merge_row(&mut self, now: Micros, row: Row, is_brief: bool, from: usize, is_direct: bool) -> bool {
        let node = usize::from(row.origin);
        if node >= self.setup.node_count {
            return false;
        }
        if node == self.setup.own_index {
            self.handle_own_name(now, row);
            return false;
        }
        let stale_after = self.setup.parameters.freshness_limit(self.setup.node_count) * 3 / 4;
        let outcome = self.view.merge(now, row, is_brief, from, stale_after);
        if !matches!(outcome, MergeOutcome::Changed | MergeOutcome::Urgent) {
            self.gossip.record_duplicate(node, outcome == MergeOutcome::Unchanged);
        }
        if matches!(outcome, MergeOutcome::Outdated | MergeOutcome::Unchanged) {
            return false;
        }
        if let Some(index) = self.neighbours.iter().position(|&neighbour| neighbour == node) {
            if self.monitors[index].record_heartbeat(now, row.incarnation, row.heartbeat) {
                self.self_state.reset_watcher(index, now);
            }
            if is_direct {
                self.monitors[index].record_direct(now);
            }
            if let Some(heard_index) = self.ring.neighbour_index(node, self.setup.own_index) {
                self.self_state.handle_report(index, row.heard[heard_index]);
            }
        }
        match outcome {
            MergeOutcome::Changed => self.gossip.enqueue(node, false, false),
            MergeOutcome::Urgent => self.gossip.enqueue(node, true, row.flags.needs_relay),
            MergeOutcome::Outdated | MergeOutcome::Unchanged | MergeOutcome::HeartbeatOnly => {}
        }
        let watched_by_node: Vec<usize> = self.ring.neighbours(node).collect();
        for (heard_index, &other) in watched_by_node.iter().enumerate() {
            if row.heard[heard_index].expired {
                self.view.apply_expiry_quorum(&self.ring, other);
                self.report_state(now, other);
            }
        }
        self.view.apply_expiry_quorum(&self.ring, node);
        self.report_state(now, node);
        outcome == MergeOutcome::Urgent || outcome == MergeOutcome::Changed && row.flags.leaving
    }

    /// Sends a datagram to nodes that others report as missed: the link from this node may be the only one that works.
    fn probe_missed_nodes(&mut self, now: Micros, rows: &[Row], out: &mut Vec<OutgoingDatagram>) {
        for row in rows.iter().filter(|row| row.flags.needs_relay) {
            let watched_by_node: Vec<usize> = self.ring.neighbours(usize::from(row.origin)).collect();
            for (heard_index, node) in watched_by_node.into_iter().enumerate() {
                let heard = row.heard[heard_index];
                let is_missed = !heard.direct && !heard.expired && node != self.setup.own_index;
                let probed_lately = self.last_probed_at[node]
                    .is_some_and(|probed_at| now < probed_at + self.setup.parameters.lease_duration);
                if is_missed && !probed_lately && !self.neighbours.contains(&node) {
                    self.last_probed_at[node] = Some(now);
                    self.send_extra(now, node, false, out);
                }
            }
        }
    }

    /// Handles a row under this node's own name that it has not sent: of its own earlier process, or of another process
    /// under its name.
    fn handle_own_name(&mut self, now: Micros, row: Row) {
        let is_ahead = row.version() > (self.self_state.incarnation(), self.self_state.heartbeat());
        if !is_ahead {
            return;
        }
        let (count, window_start) = self.name_conflicts;
        self.name_conflicts =
            if now > window_start + NAME_CONFLICT_WINDOW_US { (1, now) } else { (count + 1, window_start) };
        // If both processes are established, the one with the lower nonce yields sooner; otherwise the established one
        // yields.
        let has_lower_nonce = self.self_state.incarnation() & 0xFF < row.incarnation & 0xFF;
        let threshold = if has_lower_nonce { NAME_CONFLICT_THRESHOLD } else { 4 * NAME_CONFLICT_THRESHOLD };
        if now > self.started_at + ESTABLISHED_AFTER_US && self.name_conflicts.0 >= threshold {
            self.is_superseded = true;
            return self.push_event(MembershipEvent::Superseded);
        }
        self.start_incarnation(now, row.incarnation);
    }

    /// Starts a new incarnation, newer than `other`. Reports of the previous one no longer apply.
    fn start_incarnation(&mut self, now: Micros, other: u64) {
        let denials = self.self_state.expiry_reports();
        self.self_state.start_incarnation(now, other);
        self.push_event(MembershipEvent::IncarnationStarted {
            incarnation: self.self_state.incarnation(),
            denials,
        });
    }

    /// Acts on what watchers have reported of this node: starts a new incarnation if needed, and reports whether it is
    /// confirmed.
    fn update_own_standing(&mut self, now: Micros, out: &mut Vec<OutgoingDatagram>) {
        let previous = self.self_state.incarnation();
        if self.self_state.should_start_incarnation(now) {
            self.start_incarnation(now, 0);
        }
        self.self_state.update_confirmation(now);
        let is_confirmed = self.is_confirmed(now);
        if is_confirmed != self.reported_confirmed {
            self.reported_confirmed = is_confirmed;
            self.push_event(MembershipEvent::ConfirmationChanged(is_confirmed));
        }
        if self.self_state.incarnation() != previous {
            for index in 0..self.neighbours.len() {
                self.send_extra(now, self.neighbours[index], false, out);
            }
        }
    }

    /// Whether this node asks others for help (`NodeFlags::calling`): it lacks confirmations, or has no news of a neighbour,
    /// or none but relayed news.
    fn needs_help(&self, now: Micros) -> bool {
        let parameters = &self.setup.parameters;
        let is_missed = |monitor: &PeerMonitor| {
            !monitor.is_expired()
                && (monitor.is_silent_for(now, 7 * parameters.heartbeat_interval / 2)
                    || monitor.was_ever_heard()
                        && !monitor.was_heard_directly(now, 6 * parameters.heartbeat_interval))
        };
        // An incarnation that has just started is about to be confirmed.
        self.self_state.lacks_quorum(now) && self.self_state.has_run_for(now, parameters.heartbeat_interval)
            || self.monitors.iter().any(is_missed)
    }

    /// Raises the health penalty while most neighbours are silent, which points to a fault of this node's reception
    /// rather than of the neighbours, and lowers it otherwise. Pauses of this node raise it too.
    fn update_health_penalty(&mut self, now: Micros) {
        let is_silent = |monitor: &&PeerMonitor| {
            !monitor.is_expired() && monitor.is_silent_for(now, 3 * self.setup.parameters.heartbeat_interval)
        };
        let silent = self.monitors.iter().filter(is_silent).count();
        self.health_penalty = match 2 * silent > self.monitors.len() {
            true => (self.health_penalty + 1).min(MAX_HEALTH_PENALTY),
            false => self.health_penalty.saturating_sub(1),
        };
    }

    /// Renews this node's own row in the view, with the next heartbeat.
    fn refresh_own_row(&mut self, now: Micros) {
        self.self_state.next_heartbeat(now);
        let mut row = Row {
            origin: self.setup.own_index as u16,
            incarnation: self.self_state.incarnation(),
            heartbeat: self.self_state.heartbeat(),
            flags: NodeFlags {
                confirmed: self.is_confirmed(now),
                leaving: self.is_leaving,
                needs_relay: self.needs_help(now),
                paused: self.was_paused,
            },
            watches: self.neighbours.len() as u8,
            ..Row::default()
        };
        for (heard, monitor) in row.heard.iter_mut().zip(&self.monitors) {
            *heard = monitor.report(now, &self.setup.parameters);
        }
        self.view.merge(now, row, false, self.setup.own_index, Micros::MAX / 2);
    }

    /// Sends one datagram beyond the regular ones of each tick, if the token bucket allows it.
    fn send_extra(
        &mut self,
        now: Micros,
        to: usize,
        include_receiver_row: bool,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        if self.take_extra_send_token() {
            self.refresh_own_row(now);
            self.send_gossip(now, to, include_receiver_row, out);
        }
    }

    /// Takes a token for an extra send; returns whether there was one.
    fn take_extra_send_token(&mut self) -> bool {
        let is_available = self.extra_send_tokens >= 1_000_000;
        self.extra_send_tokens -= if is_available { 1_000_000 } else { 0 };
        is_available
    }

    fn push_datagram(&mut self, to: usize, message: &Message, out: &mut Vec<OutgoingDatagram>) {
        let datagram = encode(self.setup.site_id, message);
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        out.push(OutgoingDatagram { to, datagram });
    }

    /// A message with what each datagram starts with: the view's digest and this node's own row.
    fn new_message(&self) -> Message {
        let rows = self.view.get(self.setup.own_index).map(|record| record.row).into_iter().collect();
        Message { epoch: self.view.digest(), rows, ..Message::default() }
    }

    /// A random node that is not a neighbour, through which news spreads: at times any node, otherwise one that is here.
    /// While this node needs help, half the choices go to nodes whose own datagrams have come here within a lease.
    fn random_distant_peer(&mut self, now: Micros) -> Option<usize> {
        if self.setup.node_count <= self.neighbours.len() + 1 {
            return None;
        }
        let (any_state, prefer_heard) = (self.rng.0.bool(), self.needs_help(now) && self.rng.0.bool());
        let is_recent = |last_direct_at: Option<Micros>| {
            last_direct_at.is_some_and(|at| now < at + self.setup.parameters.lease_duration)
        };
        if prefer_heard {
            let heard = (0..self.setup.node_count)
                .filter(|node| is_recent(self.last_direct_at[*node]) && !self.neighbours.contains(node));
            let heard: Vec<usize> = heard.collect();
            if !heard.is_empty() {
                return Some(heard[self.rng.0.usize(..heard.len())]);
            }
        }
        for _ in 0..8 {
            let node = self.rng.0.usize(..self.setup.node_count);
            let is_suitable = any_state || self.reported_states[node].0 == NodeState::Here;
            if node != self.setup.own_index && !self.neighbours.contains(&node) && is_suitable {
                return Some(node);
            }
        }
        None
    }

    /// Sends a node this node's row, the rows it seems to lack, changed rows, and others in rotation.
    /// `include_receiver_row`: also what is known of the receiver itself.
    fn send_gossip(
        &mut self,
        now: Micros,
        to: usize,
        include_receiver_row: bool,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let row_of = |view: &View, node: usize| view.get(node).map(|record| record.row);
        let mut message = self.new_message();
        let neighbour_index = self.neighbours.iter().position(|&neighbour| neighbour == to);
        if include_receiver_row {
            message.rows.extend(row_of(&self.view, to)); // shows it an earlier process, or another one, of its name
        }
        if neighbour_index.is_none() {
            message.requested_nodes = self.wanted_nodes();
            let differed_lately =
                now < self.last_difference_at + 2 * self.setup.parameters.heartbeat_interval;
            message.digests = differed_lately.then(|| self.view.bucket_digests());
        }
        // Relays the rows of nodes that this node hears and the receiver does not.
        for &node in &self.neighbours {
            let is_recent = |record: &&NodeRecord| {
                now <= record.received_at + 2 * self.setup.parameters.heartbeat_interval
            };
            let Some(record) = self.view.get(node).filter(is_recent) else { continue };
            let heard_index = self.ring.neighbour_index(to, node);
            let is_unheard = row_of(&self.view, to)
                .zip(heard_index)
                .is_some_and(|(row, heard_index)| !row.heard[heard_index].direct);
            if node != to && is_unheard && message.length() + record.row.length() <= MAX_DATAGRAM_BYTES {
                message.rows.push(record.row);
            }
        }
        for _ in 0..self.gossip.len() {
            let Some((node, full)) = self.gossip.peek() else { break };
            let changed_row =
                row_of(&self.view, node).filter(|_| node != to && !message.has_row_of(node as u16));
            if changed_row.is_some_and(|row| !message.add(row, !full, MAX_DATAGRAM_BYTES)) {
                break;
            }
            self.gossip.mark_sent(node);
        }
        // A neighbour with the same view learns nothing from rows in rotation.
        let views_agree = neighbour_index.is_some_and(|index| !self.views_differ[index]);
        for _ in 0..self.setup.node_count.min(if views_agree { 0 } else { 32 }) {
            let node = self.gossip.next_in_rotation();
            let row = row_of(&self.view, node).filter(|_| node != to && !message.has_row_of(node as u16));
            if row.is_some_and(|row| !message.add(row, true, ROTATION_LENGTH_LIMIT_BYTES)) {
                break;
            }
        }
        self.push_datagram(to, &message, out);
    }

    /// Adds an event if a node's state has changed.
    fn report_state(&mut self, now: Micros, node: usize) {
        if node == self.setup.own_index {
            return;
        }
        let (current, reason) = self.state(now, node);
        let previous = self.reported_states[node].0;
        if current != previous {
            self.reported_states[node] = (current, now, reason.clone());
            let incarnation = self.view.get(node).map_or(0, |record| record.row.incarnation);
            self.push_event(MembershipEvent::StateChanged { node, previous, current, incarnation, reason });
        }
    }
}
