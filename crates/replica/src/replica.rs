//! The replication protocol of one node: processes datagrams and ticks, keeps the node's replica the same as the others',
//! and decides what to send. Times are in microseconds by this node's clock.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use lilacquay_codec::replica::{
    BRANCHES, BranchSums, Inventory, LeaseMessage, Message, Part, Record, RecordUpdate, Version, decode,
    encode,
};

use crate::gossip_queue::GossipQueue;
use crate::orders::{Action, Dot, EffectiveOrder, Order, Orders, TOMBSTONE_RETENTION_US};
use crate::rate_limit::RateLimiter;
use crate::store::{LEVELS, MergeOutcome, Store, StoredRecord, record_checksum, record_id};
use crate::{Micros, kind};

/// The interval between ticks.
const TICK_INTERVAL_US: Micros = 250_000;
/// Random nodes to which each tick sends a datagram.
const PEERS_PER_TICK: usize = 2;
/// Random nodes to which a new or newer record, other than evidence, is relayed at once.
const RELAY_FANOUT: usize = 4;
/// A branch of the checksum tree with at most this many records is listed record by record.
const MAX_LISTED_RECORDS: usize = 12;
/// Full datagrams of one reply, after which at most one more is sent.
const MAX_REPLY_DATAGRAMS: usize = 6;
/// Most records that a reply sends for one list of wanted or held ids.
const MAX_RECORDS_PER_REPLY: usize = 40;
/// The least time between two notices to a node that its replica differs.
const DIFFERENCE_NOTICE_INTERVAL_US: Micros = 100_000;
/// How long an order is resent to nodes that have not acknowledged it.
const ORDER_RESEND_DURATION_US: Micros = 5_000_000;
/// Most resends of orders in a tick.
const MAX_RESENDS_PER_TICK: usize = 40;
/// Own orders whose acknowledgements are counted; the lowest id is dropped for a further one.
const MAX_TRACKED_ORDERS: usize = 64;
/// A node that is behind, and hears of no node that is up to date, counts as up to date itself after this time: then no
/// other node knows more.
const BEHIND_ALONE_TIMEOUT_US: Micros = 2_000_000;
/// Received lease messages that are kept until they are fetched; further ones are dropped.
const MAX_PENDING_LEASE_MESSAGES: usize = 256;
/// Tokens of the rate limiter that changes must leave for replies.
const TOKENS_RESERVED_FOR_REPLIES: u64 = 20;

/// The identity of a node and its settings.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Setup {
    /// This node's index in the list of nodes.
    pub own_index: usize,
    /// The length of the list.
    pub node_count: usize,
    /// The site's number.
    pub site_id: u32,
    /// Seed of the random choices.
    pub seed: u64,
    /// The node's incarnation in the membership protocol: higher with each start.
    pub incarnation: u64,
}

/// A datagram to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingDatagram {
    /// The index of the receiving node.
    pub to: usize,
    /// Its contents, 256 bytes at most.
    pub datagram: Vec<u8>,
}

/// How far the replica of a node that has started, was paused or was cut off has caught up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum SyncState {
    /// It may lack what others hold, since this time.
    Behind(Micros),
    /// It has counted as up to date since this time: its replica equalled that of an up-to-date node, or it had heard
    /// of none for `BEHIND_ALONE_TIMEOUT_US`.
    UpToDate(Micros),
}

/// What is known of another node's replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct PeerSync {
    /// The root of its checksum tree.
    pub root: u32,
    /// Whether it reported to be behind.
    pub behind: bool,
    /// When it reported this.
    pub reported_at: Micros,
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
    /// Datagrams received that could not be read, or came from no other node of the list.
    pub invalid: u64,
    /// Received records that were new or newer.
    pub changes: u64,
    /// Records that a limit has kept out or removed.
    pub dropped: u64,
}

/// The error of an order that does not fit: too many are held, or its subject is too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrdersFull;

/// A random number generator that can be hashed as a part of the state.
#[derive(Debug, Clone, PartialEq, Eq)]
struct HashableRng(fastrand::Rng);

impl Hash for HashableRng {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.get_seed().hash(state);
    }
}

/// The nodes that have acknowledged an order of this node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Acknowledgements {
    checksum: u32,
    nodes: BTreeSet<usize>,
    /// Until when the order is resent.
    resend_until: Micros,
}

/// The replica of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    setup: Setup,
    counter: u32,
    store: Store,
    orders: Orders,
    gossip: GossipQueue,
    rate_limiter: RateLimiter,
    /// The other nodes that the membership protocol holds to be here, and whether these are all of the list.
    reachable: Vec<usize>,
    all_reachable: bool,
    peers: BTreeMap<usize, PeerSync>,
    /// By node, when it was last notified that its replica differs.
    notified_at: BTreeMap<usize, Micros>,
    /// By id of the order.
    acknowledgements: BTreeMap<u64, Acknowledgements>,
    sync_state: SyncState,
    /// When a node that is up to date was last heard.
    up_to_date_heard_at: Option<Micros>,
    next_tick_at: Micros,
    ticked_at: Micros,
    /// Received lease messages, with their senders.
    lease_messages: Vec<(usize, LeaseMessage)>,
    /// The kinds of which records have changed since they were last fetched.
    changed_kinds: BTreeSet<u8>,
    counters: Counters,
    rng: HashableRng,
}

impl Replica {
    /// An empty replica.
    pub fn new(setup: Setup, now: Micros) -> Replica {
        Replica {
            counter: 0,
            store: Store::new(),
            orders: Orders::default(),
            gossip: GossipQueue::default(),
            rate_limiter: RateLimiter::new(now),
            reachable: Vec::new(),
            all_reachable: false,
            peers: BTreeMap::new(),
            notified_at: BTreeMap::new(),
            acknowledgements: BTreeMap::new(),
            sync_state: SyncState::Behind(now),
            up_to_date_heard_at: None,
            next_tick_at: now,
            ticked_at: now,
            lease_messages: Vec::new(),
            changed_kinds: BTreeSet::new(),
            counters: Counters::default(),
            rng: HashableRng(fastrand::Rng::with_seed(setup.seed)),
            setup,
        }
    }

    // ---- inputs ----

    /// When [`Replica::tick`] is to be called next, at the latest.
    pub fn next_tick_at(&self) -> Micros {
        self.next_tick_at
    }

    /// Sets which other nodes the membership protocol holds to be here.
    pub fn set_reachable(&mut self, reachable: Vec<usize>) {
        self.all_reachable = reachable.len() + 1 >= self.setup.node_count;
        self.reachable = reachable;
    }

    /// Marks the replica as behind, because this node was paused, cut off or not confirmed.
    pub fn mark_behind(&mut self, now: Micros) {
        if matches!(self.sync_state, SyncState::UpToDate(_)) {
            (self.sync_state, self.up_to_date_heard_at, self.next_tick_at) =
                (SyncState::Behind(now), None, now);
        }
    }

    /// Processes a datagram that came from the address of the node `from`. Returns the datagrams to send.
    pub fn handle_datagram(&mut self, now: Micros, from: usize, datagram: &[u8]) -> Vec<OutgoingDatagram> {
        let mut out = Vec::new();
        let Ok(message) = decode(self.setup.site_id, datagram) else {
            self.counters.invalid += 1;
            return out;
        };
        if from == self.setup.own_index || from >= self.setup.node_count {
            self.counters.invalid += 1;
            return out;
        }
        self.counters.accepted += 1;
        self.rate_limiter.refill(now);
        let Message { root, behind, parts } = message;
        self.peers.insert(from, PeerSync { root, behind, reported_at: now });
        self.up_to_date_heard_at = if behind { self.up_to_date_heard_at } else { Some(now) };
        let (mut replies, mut was_compared) = (Vec::new(), false);
        for part in parts {
            match part {
                Part::Record(sent) => self.handle_record(now, from, sent, &mut replies, &mut out),
                Part::BranchSums(sums) => {
                    was_compared = true;
                    self.compare_sums(&sums, &mut replies);
                }
                Part::Inventory(have) => {
                    was_compared = true;
                    self.compare_list(now, &have, &mut replies);
                }
                Part::Request(ids) => self.add_records(now, &ids, &mut replies),
                Part::Ack(list) => self.record_acknowledgements(from, &list),
                // Limited, so that a node which sends more lease messages than are fetched cannot fill the memory.
                Part::Lease(message) if self.lease_messages.len() < MAX_PENDING_LEASE_MESSAGES => {
                    self.lease_messages.push((from, message))
                }
                Part::Lease(_) => {}
            }
        }
        self.reply(from, replies, &mut out);
        let differs = root != self.store.root();
        if differs
            && !was_compared
            && self
                .notified_at
                .get(&from)
                .is_none_or(|notified_at| now >= notified_at + DIFFERENCE_NOTICE_INTERVAL_US)
        {
            self.notified_at.insert(from, now);
            let sums = self.branch_sums(0, 0);
            self.reply(from, sums.map(Part::BranchSums).into_iter().collect(), &mut out);
        }
        if let (SyncState::Behind(_), false, false) = (self.sync_state, differs, behind) {
            self.sync_state = SyncState::UpToDate(now);
        }
        out
    }

    /// Does what is due as time passes: expires records and sends changes. Returns the datagrams to send.
    pub fn tick(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        let mut out = Vec::new();
        self.rate_limiter.refill(now);
        self.expire(now);
        self.next_tick_at = now + TICK_INTERVAL_US;
        if let SyncState::Behind(since) = self.sync_state
            && now >= since + BEHIND_ALONE_TIMEOUT_US
            && self.up_to_date_heard_at.is_none_or(|heard_at| now >= heard_at + BEHIND_ALONE_TIMEOUT_US)
        {
            self.sync_state = SyncState::UpToDate(now);
        }
        let is_behind = matches!(self.sync_state, SyncState::Behind(_));
        for _ in 0..PEERS_PER_TICK {
            let Some(to) = self.random_peer(None) else { break };
            let mut message = self.new_message();
            if is_behind {
                message.parts.extend(self.branch_sums(0, 0).map(Part::BranchSums));
            }
            self.add_changes(now, &mut message);
            self.push_datagram(to, &message, &mut out);
        }
        // Changes that do not fit go to further nodes, as the rate limit allows.
        for _ in 0..(self.gossip.len() / 4).min(8) {
            let Some(to) =
                self.random_peer(None).filter(|_| self.rate_limiter.try_take(TOKENS_RESERVED_FOR_REPLIES))
            else {
                break;
            };
            let mut message = self.new_message();
            self.add_changes(now, &mut message);
            self.push_datagram(to, &message, &mut out);
        }
        self.resend_orders(now, &mut out);
        out
    }

    // ---- writes of this node ----

    /// Writes a record of this node, replacing the one of the same name.
    pub fn write(
        &mut self,
        now: Micros,
        kind: u8,
        name: &[u8],
        value: Vec<u8>,
        lifetime: Option<Micros>,
    ) -> MergeOutcome {
        let origin = self.setup.own_index as u16;
        if let Some(previous) = self.store.get(record_id(kind, origin, name)) {
            // It may be of an earlier process with a higher incarnation, if the clock was put back since.
            self.raise_incarnation(previous.record.version.incarnation);
        }
        let version = self.next_version();
        let record = Record { kind, origin, name: name.into(), version, value };
        let expires_at = lifetime.map(|lifetime| now + lifetime);
        self.merge(now, record, expires_at)
    }

    /// Issues an order at this node. Returns the id by which its acknowledgements are counted.
    ///
    /// # Errors
    /// If there is no room for another order.
    pub fn issue_order(
        &mut self,
        now: Micros,
        subject: &[u8],
        action: Action,
        lifetime: Option<Micros>,
        issued_at_unix_s: u32,
    ) -> Result<u64, OrdersFull> {
        let dot = Dot { origin: self.setup.own_index as u16, version: self.next_version() };
        let supersedes = self.orders.seen(subject);
        let order = Order { dot, action, subject: subject.into(), issued_at_unix_s, supersedes };
        let record = order.record().ok_or(OrdersFull)?;
        let expires_at = match action {
            Action::Undrain => Some(now + TOMBSTONE_RETENTION_US),
            Action::LeaveOut => Some(now + lifetime.unwrap_or(0) + TOMBSTONE_RETENTION_US),
            Action::Drain | Action::LogLevel(_) => None,
        };
        let (id, checksum) = (record_id(kind::ORDER, dot.origin, &record.name), record_checksum(&record));
        match self.merge(now, record, expires_at) {
            MergeOutcome::New | MergeOutcome::Replaced => {
                while self.acknowledgements.len() >= MAX_TRACKED_ORDERS {
                    self.acknowledgements.pop_first();
                }
                self.acknowledgements.insert(
                    id,
                    Acknowledgements {
                        checksum,
                        nodes: BTreeSet::new(),
                        resend_until: now + ORDER_RESEND_DURATION_US,
                    },
                );
                self.next_tick_at = now; // sends it without waiting for the next tick
                Ok(id)
            }
            _ => Err(OrdersFull),
        }
    }

    /// Restores the record of an order that was saved over a restart. If it was superseded meanwhile, it is superseded
    /// again.
    pub fn restore(&mut self, now: Micros, record: Record, remaining: Option<Micros>) -> MergeOutcome {
        self.merge(now, record, remaining.map(|remaining| now + remaining))
    }

    // ---- queries ----

    /// The order in effect for each subject, and its remaining lifetime.
    pub fn effective_orders(
        &self,
        now: Micros,
    ) -> impl Iterator<Item = (EffectiveOrder<'_>, Option<Micros>)> {
        self.orders.effective().map(move |effective| {
            let expires_at = self.store.get(effective.id).and_then(|stored| stored.expires_at);
            (effective, expires_at.map(|expires_at| expires_at.saturating_sub(now)))
        })
    }

    /// All records of a kind.
    pub fn records_of_kind(&self, kind: u8) -> impl Iterator<Item = &StoredRecord> {
        self.store.records_of_kind(kind).map(|(_, stored)| stored)
    }

    /// The record with this id.
    pub fn record(&self, id: u64) -> Option<&StoredRecord> {
        self.store.get(id)
    }

    /// All records with their ids and checksums, in the order of ids.
    pub fn records(&self) -> impl Iterator<Item = (u64, u32, &StoredRecord)> {
        self.store.all().map(|(id, stored)| (id, stored.checksum(), stored))
    }

    /// How many nodes hold an order of this one, itself included, as far as they have acknowledged it.
    pub fn holder_count(&self, id: u64) -> usize {
        1 + self.acknowledgements.get(&id).map_or(0, |acknowledgements| acknowledgements.nodes.len())
    }

    /// Whether the replica is behind or up to date, and since when.
    pub fn sync_state(&self) -> SyncState {
        self.sync_state
    }

    /// What is known of the other nodes' replicas.
    pub fn peers(&self) -> &BTreeMap<usize, PeerSync> {
        &self.peers
    }

    /// The root of the checksum tree; identical replicas have the same.
    pub fn root(&self) -> u32 {
        self.store.root()
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.store.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.store.len() == 0
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        Counters { dropped: self.store.dropped, ..self.counters }
    }

    /// Removes and returns the kinds of which records have changed since the last call.
    pub fn take_changed_kinds(&mut self) -> BTreeSet<u8> {
        std::mem::take(&mut self.changed_kinds)
    }

    /// Removes and returns the lease messages received since the last call, with their senders.
    pub fn take_lease_messages(&mut self) -> Vec<(usize, LeaseMessage)> {
        std::mem::take(&mut self.lease_messages)
    }

    /// A datagram with a lease message.
    pub fn lease_datagram(&mut self, to: usize, lease_message: LeaseMessage) -> OutgoingDatagram {
        let mut message = self.new_message();
        message.add(Part::Lease(lease_message));
        let mut out = Vec::new();
        self.push_datagram(to, &message, &mut out);
        out.remove(0)
    }

    // ---- records ----

    fn next_version(&mut self) -> Version {
        self.counter += 1;
        Version { incarnation: self.setup.incarnation, counter: self.counter }
    }

    /// Raises this node's incarnation above `other`, under which an earlier process of it has written.
    fn raise_incarnation(&mut self, other: u64) {
        if other > self.setup.incarnation {
            (self.setup.incarnation, self.counter) = (other + 1, 0);
        }
    }

    /// Merges a received record, relays it if it is new or newer and not evidence, and acknowledges it if it is an
    /// order.
    fn handle_record(
        &mut self,
        now: Micros,
        from: usize,
        sent: RecordUpdate,
        replies: &mut Vec<Part>,
        out: &mut Vec<OutgoingDatagram>,
    ) {
        let RecordUpdate { record, remaining_tenths, ack_requested: asks_for_acknowledgement } = sent;
        let origin = usize::from(record.origin);
        if origin >= self.setup.node_count {
            return; // not in the list of nodes
        }
        if origin == self.setup.own_index {
            self.raise_incarnation(record.version.incarnation);
        }
        let (kind, id, checksum) =
            (record.kind, record_id(record.kind, record.origin, &record.name), record_checksum(&record));
        let expires_at = remaining_tenths.map(|remaining| now + u64::from(remaining) * 100_000);
        let outcome = self.merge(now, record, expires_at);
        match outcome {
            MergeOutcome::New | MergeOutcome::Replaced => {
                self.counters.changes += 1;
                if kind != kind::EVIDENCE {
                    self.relay(now, id, from, out);
                }
            }
            MergeOutcome::Unchanged => self.gossip.record_duplicate(id),
            MergeOutcome::Outdated | MergeOutcome::Expired | MergeOutcome::RejectedFull => {}
        }
        // An order is acknowledged to its origin when it is new here, and whenever the origin asks.
        let is_held = matches!(outcome, MergeOutcome::New | MergeOutcome::Replaced | MergeOutcome::Unchanged);
        if kind == kind::ORDER && is_held && origin != self.setup.own_index {
            if from == origin && (asks_for_acknowledgement || outcome.is_change()) {
                replies.push(Part::Ack(vec![(id, checksum)]));
            } else if outcome.is_change() && self.reachable.contains(&origin) && self.rate_limiter.try_take(0)
            {
                let mut message = self.new_message();
                message.add(Part::Ack(vec![(id, checksum)]));
                self.push_datagram(origin, &message, out);
            }
        }
    }

    fn merge(&mut self, now: Micros, record: Record, expires_at: Option<Micros>) -> MergeOutcome {
        let (record_kind, origin) = (record.kind, record.origin);
        let id = record_id(record_kind, origin, &record.name);
        let order = Order::read(&record);
        if order.as_ref().is_some_and(|order| self.orders.is_superseded(order)) {
            return MergeOutcome::Outdated;
        }
        let outcome = self.store.merge(now, record, expires_at);
        if outcome.is_change() {
            if let Some(order) = order {
                for replaced in self.orders.insert(id, order) {
                    self.store.remove(replaced);
                }
            }
            self.changed_kinds.insert(record_kind);
            let sends = (usize::BITS - self.setup.node_count.leading_zeros()) as u8;
            self.gossip.enqueue(id, sends);
        }
        outcome
    }

    /// Expires records. The lifetimes of tombstones do not run while any node of the list is away.
    fn expire(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(std::mem::replace(&mut self.ticked_at, now));
        // A gap between ticks may be a pause of this node, in which it could not see who was away. It does not count
        // either, so that no tombstone expires in a pause.
        let extension =
            if self.all_reachable { elapsed.saturating_sub(4 * TICK_INTERVAL_US) } else { elapsed };
        if extension > 0 {
            let extended_tombstone = |(id, order): (u64, &Order)| {
                let expires_at = self.store.get(id)?.expires_at?;
                order
                    .is_tombstone(Some(expires_at.saturating_sub(now - elapsed)))
                    .then_some((id, expires_at + extension))
            };
            let extended: Vec<(u64, Micros)> = self.orders.all().filter_map(extended_tombstone).collect();
            for (id, expires_at) in extended {
                self.store.set_expires_at(id, Some(expires_at));
            }
        }
        for (id, stored) in self.store.expire(now) {
            if stored.record.kind == kind::ORDER {
                self.orders.remove(id);
            }
            self.changed_kinds.insert(stored.record.kind);
        }
        self.acknowledgements.retain(|_, acknowledgements| {
            now < acknowledgements.resend_until + 10 * ORDER_RESEND_DURATION_US
        });
        self.peers.retain(|_, peer| now < peer.reported_at + 60_000_000);
        self.notified_at.retain(|_, notified_at| now < *notified_at + DIFFERENCE_NOTICE_INTERVAL_US);
    }

    fn record_part(&self, now: Micros, id: u64, asks_for_acknowledgement: bool) -> Option<Part> {
        let stored = self.store.get(id)?;
        Some(Part::Record(RecordUpdate {
            record: stored.record.clone(),
            remaining_tenths: stored.remaining_tenths(now),
            ack_requested: asks_for_acknowledgement,
        }))
    }

    // ---- changes ----

    /// Relays a changed record at once, without waiting for the next tick.
    fn relay(&mut self, now: Micros, id: u64, from: usize, out: &mut Vec<OutgoingDatagram>) {
        for _ in 0..RELAY_FANOUT {
            let Some(to) = self
                .random_peer(Some(from))
                .filter(|_| self.rate_limiter.try_take(TOKENS_RESERVED_FOR_REPLIES))
            else {
                return;
            };
            let mut message = self.new_message();
            message.parts.extend(self.record_part(now, id, false));
            self.push_datagram(to, &message, out);
        }
    }

    /// Fills a message with changed records.
    fn add_changes(&mut self, now: Micros, message: &mut Message) {
        for _ in 0..self.gossip.len() {
            let Some(id) = self.gossip.pop() else { return };
            if let Some(part) = self.record_part(now, id, false)
                && !message.add(part)
            {
                self.gossip.enqueue(id, 1);
                return;
            }
        }
    }

    /// Resends own orders to the nodes that have not acknowledged them.
    fn resend_orders(&mut self, now: Micros, out: &mut Vec<OutgoingDatagram>) {
        let mut remaining_resends = MAX_RESENDS_PER_TICK;
        let unacknowledged: Vec<(u64, Vec<usize>)> = self
            .acknowledgements
            .iter()
            .filter(|(_, acknowledgements)| now < acknowledgements.resend_until)
            .map(|(id, acknowledgements)| {
                let is_missing = |node: &usize| !acknowledgements.nodes.contains(node);
                (*id, self.reachable.iter().copied().filter(is_missing).collect())
            })
            .collect();
        for (id, mut missing) in unacknowledged {
            self.rng.0.shuffle(&mut missing);
            for to in missing {
                if remaining_resends == 0 || !self.rate_limiter.try_take(0) {
                    return;
                }
                remaining_resends -= 1;
                let mut message = self.new_message();
                message.parts.extend(self.record_part(now, id, true));
                self.push_datagram(to, &message, out);
            }
        }
    }

    fn record_acknowledgements(&mut self, node: usize, list: &[(u64, u32)]) {
        for (id, checksum) in list {
            if let Some(acknowledgements) = self
                .acknowledgements
                .get_mut(id)
                .filter(|acknowledgements| acknowledgements.checksum == *checksum)
            {
                acknowledgements.nodes.insert(node);
            }
        }
    }

    // ---- anti-entropy: finding and repairing differences ----

    fn branch_sums(&self, level: u8, path: u16) -> Option<BranchSums> {
        Some(BranchSums { level, path, sums: self.store.sums(level, path)? })
    }

    /// Replies with the next level, or with a list of records, for each branch in which the other's replica differs.
    fn compare_sums(&mut self, theirs: &BranchSums, replies: &mut Vec<Part>) {
        let Some(ours) = self.store.sums(theirs.level, theirs.path) else { return };
        let mut differing: Vec<usize> =
            (0..BRANCHES).filter(|&branch| ours[branch] != theirs.sums[branch]).collect();
        self.rng.0.shuffle(&mut differing);
        for branch in differing {
            let (level, path) = (theirs.level + 1, theirs.path * BRANCHES as u16 + branch as u16);
            let (first, last) = Store::id_range(level, path);
            let record_count = self.store.list(first, last).take(MAX_LISTED_RECORDS + 1).count();
            match self
                .branch_sums(level, path)
                .filter(|_| record_count > MAX_LISTED_RECORDS && level < LEVELS)
            {
                Some(sums) => replies.push(Part::BranchSums(sums)),
                None => replies.extend(self.record_lists(first, last)),
            }
        }
    }

    /// Lists of what is held in a range of ids, as many as it takes.
    fn record_lists(&self, first: u64, last: u64) -> Vec<Part> {
        let all: Vec<(u64, u32)> = self.store.list(first, last).collect();
        let (mut parts, mut from) = (Vec::new(), first);
        let mut chunks = all.chunks(Inventory::MAX_ENTRIES).peekable();
        while let Some(chunk) = chunks.next() {
            let to = if chunks.peek().is_some() { chunk[chunk.len() - 1].0 } else { last };
            parts.push(Part::Inventory(Inventory { first: from, last: to, list: chunk.into() }));
            from = to + 1;
        }
        if parts.is_empty() {
            parts.push(Part::Inventory(Inventory { first, last, list: Vec::new() }));
        }
        parts
    }

    /// Replies to a list with the records that the other node lacks, and asks for those that are lacking here.
    fn compare_list(&mut self, now: Micros, have: &Inventory, replies: &mut Vec<Part>) {
        let theirs: BTreeMap<u64, u32> = have.list.iter().copied().collect();
        let ours: Vec<(u64, u32)> =
            self.store.list(have.first, have.last).take(4 * MAX_RECORDS_PER_REPLY).collect();
        let missing_there = ours.iter().filter(|(id, checksum)| theirs.get(id) != Some(checksum));
        let to_send: Vec<u64> = missing_there.map(|(id, _)| *id).take(MAX_RECORDS_PER_REPLY).collect();
        self.add_records(now, &to_send, replies);
        let stored = |id: u64| self.store.get(id);
        let wanted = theirs
            .iter()
            .filter(|(id, checksum)| stored(**id).is_none_or(|stored| stored.checksum() != **checksum));
        let wanted: Vec<u64> = wanted.map(|(id, _)| *id).collect();
        replies.extend(wanted.chunks(30).map(|ids| Part::Request(ids.into())));
    }

    fn add_records(&self, now: Micros, ids: &[u64], replies: &mut Vec<Part>) {
        replies.extend(
            ids.iter().take(MAX_RECORDS_PER_REPLY).filter_map(|id| self.record_part(now, *id, false)),
        );
    }

    /// Sends parts to a node, in as many datagrams as the limits allow.
    fn reply(&mut self, to: usize, parts: Vec<Part>, out: &mut Vec<OutgoingDatagram>) {
        let (mut message, mut datagrams) = (self.new_message(), 0);
        for part in parts {
            if message.add(part.clone()) {
                continue;
            }
            datagrams += 1;
            if datagrams > MAX_REPLY_DATAGRAMS || !self.rate_limiter.try_take(0) {
                return;
            }
            self.push_datagram(to, &message, out);
            message = self.new_message();
            message.add(part);
        }
        if !message.parts.is_empty() && self.rate_limiter.try_take(0) {
            self.push_datagram(to, &message, out);
        }
    }

    // ---- sending ----

    fn new_message(&self) -> Message {
        let behind = matches!(self.sync_state, SyncState::Behind(_));
        Message { root: self.store.root(), behind, parts: Vec::new() }
    }

    /// A random node among those that are here, other than `except`.
    fn random_peer(&mut self, except: Option<usize>) -> Option<usize> {
        let candidates = self.reachable.iter().filter(|&&node| Some(node) != except).count();
        let nth = (candidates > 0).then(|| self.rng.0.usize(..candidates))?;
        self.reachable.iter().copied().filter(|&node| Some(node) != except).nth(nth)
    }

    fn push_datagram(&mut self, to: usize, message: &Message, out: &mut Vec<OutgoingDatagram>) {
        let datagram = encode(self.setup.site_id, message);
        self.counters.sent += 1;
        self.counters.sent_bytes += datagram.len() as u64;
        out.push(OutgoingDatagram { to, datagram });
    }
}
