//! The state replicated between the nodes of a site, as this node uses it: publishes its own orders, server list and
//! observations of slow servers, and applies those of the others to the core. Merging and synchronisation are decided in
//! the package `replica`. Times are in microseconds.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

use lilacquay_codec::replica::{Message, Part, Record, RecordUpdate, decode, encode};
use lilacquay_control::{
    ClusterOrder, NodeCommand, OrderAcks, PeerReplicaStatus, RecordKindStatus, RecordSummary, ReplicaReport,
    ReplicatedOrder,
};
use lilacquay_core::{CoreHandle, ListUpdate, Micros, ReplicatedUpdate, ServerState};
use lilacquay_observe::ReplicaSummary;
use lilacquay_overrides::{Order as RequestedOrder, OrderEffect, OrderRequest, PersistentOrder};
use lilacquay_replica::endpoint_reports::{self, LocalServerList, ServerEntry, WithdrawnServer};
use lilacquay_replica::orders::{Action, EffectiveOrder, Order, TOMBSTONE_RETENTION_US};
use lilacquay_replica::{OutgoingDatagram, Replica, Setup, SyncState, evidence, kind};
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use crate::section::Section;

/// How long an order waits until all reachable nodes hold it before it is answered.
const ORDER_ANSWER_TIMEOUT_US: Micros = 500_000;
/// The same for an order that asks for a number of nodes.
const ORDER_WAIT_TIMEOUT_US: Micros = 3_000_000;
/// Interval at which the core is asked for the slowness that this node has observed of servers.
const OBSERVATION_INTERVAL_US: Micros = 1_000_000;
/// Minimum interval between evaluations of the slowness that other nodes have observed.
const EVIDENCE_INTERVAL_US: Micros = 250_000;
/// Upper bound on the records that are listed or handed over one by one.
const MAX_LISTED_RECORDS: usize = 2_000;
/// Log levels, indexed by their number in records.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// The kinds of records that a node publishes and applies. It stores and forwards records of the other kinds as well.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Kinds {
    /// Orders of operators.
    pub orders: bool,
    /// Reports on servers from the nodes' own lists; `words` in the configuration.
    pub endpoint_reports: bool,
    /// Observations of slow servers.
    pub evidence: bool,
}

impl Kinds {
    /// On the platform, where the settings let nodes communicate: nobody gives orders there, and reports on servers gained
    /// nothing in the benchmark.
    pub const PLATFORM: Kinds = Kinds { orders: false, endpoint_reports: false, evidence: false };
    const NAMES: &[&str] = &["orders", "words", "evidence"];

    /// Reads the key `common`; orders and reports on servers if it is missing.
    pub fn read(section: &mut Section) -> Kinds {
        if !section.has_key("common") {
            return Kinds { orders: true, endpoint_reports: true, evidence: false };
        }
        let mut kinds = Kinds::default();
        for (position, name) in section.strings("common").unwrap_or_default() {
            match name {
                "orders" => kinds.orders = true,
                "words" => kinds.endpoint_reports = true,
                "evidence" => kinds.evidence = true,
                other => {
                    let remedy = format!("name some of {}", Kinds::NAMES.join(", "));
                    section.report_at(position, "common", format!("{other:?} is no such kind"), &remedy);
                }
            }
        }
        kinds
    }

    /// Whether any kind is published and applied.
    pub fn any(&self) -> bool {
        self.orders || self.endpoint_reports || self.evidence
    }

    fn includes(&self, record_kind: u8) -> bool {
        match record_kind {
            kind::ORDER => self.orders,
            kind::ENDPOINT_REPORT => self.endpoint_reports,
            kind::EVIDENCE => self.evidence,
            _ => false,
        }
    }
}

fn kind_name(kind: u8) -> String {
    match kind {
        kind::ORDER => "order".into(),
        kind::ENDPOINT_REPORT => "word".into(),
        kind::EVIDENCE => "evidence".into(),
        other => format!("kind {other}"),
    }
}

/// A replicated record that is kept across a restart, a change of the list of nodes, or a handover.
#[derive(Debug, Clone)]
pub struct SavedRecord {
    record: Record,
    remaining: Option<Micros>,
}

impl SavedRecord {
    /// The record of a persistent order, if it is a replicated one.
    pub fn from_persistent_order(order: &PersistentOrder) -> Option<SavedRecord> {
        let record = decode_record(order.mark.as_deref()?)?;
        let remaining = order.remaining.map(|remaining| remaining + TOMBSTONE_RETENTION_US);
        Some(SavedRecord { record, remaining })
    }

    /// A record that the predecessor process has handed over: its text and remaining lifetime.
    pub fn from_handover((text, remaining): &(String, Option<Micros>)) -> Option<SavedRecord> {
        Some(SavedRecord { record: decode_record(text)?, remaining: *remaining })
    }
}

/// Encodes a record as hexadecimal text.
fn encode_record(record: &Record) -> String {
    let mut message = Message::default();
    message.add(Part::Record(RecordUpdate {
        record: record.clone(),
        remaining_tenths: None,
        ack_requested: false,
    }));
    encode(0, &message).iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes a record from the text of [`encode_record`]; `None` if it is not valid.
fn decode_record(text: &str) -> Option<Record> {
    let byte = |offset: usize| u8::from_str_radix(text.get(offset..offset + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    match decode(0, &bytes?).ok()?.parts.pop()? {
        Part::Record(sent) => Some(sent.record),
        _ => None,
    }
}

/// Applies an update from the node's own membership source; returns the servers that it withdraws.
pub fn apply_list_update(own_list: &mut LocalServerList, update: ListUpdate) -> Vec<WithdrawnServer> {
    let listed = |entry: lilacquay_core::ServerEntry| {
        let listed = ServerEntry {
            serves: entry.state == ServerState::Serving,
            started_ms: entry.started_ms.max(0.0) as u64,
        };
        (entry.id, (entry.state != ServerState::Deleted).then_some(listed))
    };
    own_list.apply_update(update.list.full, update.version, update.list.servers.into_iter().map(listed))
}

/// An order whose requester waits until enough nodes hold it.
struct PendingOrder {
    id: u64,
    /// Name of the server that the order is about; empty if it is about all nodes.
    subject: Vec<u8>,
    /// Number of nodes that must hold the order; all reachable ones if `None`.
    required_holders: Option<usize>,
    issued_at: Micros,
    deadline: Micros,
    answer: oneshot::Sender<Option<OrderAcks>>,
}

/// The replica with what this node derives from it.
pub struct ReplicatedState {
    replica: Replica,
    setup: Setup,
    kinds: Kinds,
    core: CoreHandle,
    commands: mpsc::Sender<NodeCommand>,
    pending_orders: Vec<PendingOrder>,
    reachable_peers: usize,
    /// The synchronisation state at the last call of `apply_changes`.
    sync_state: Option<SyncState>,
    /// Number of the log level that is applied here.
    log_level: Option<u8>,
    /// Subjects whose orders are in conflict.
    conflicts: BTreeSet<Vec<u8>>,
    /// Servers excluded because of other nodes' reports.
    excluded_servers: BTreeSet<String>,
    /// Corroborated slowness by server, as other nodes have observed it.
    peer_slowness: BTreeMap<String, f64>,
    /// Kinds of records to apply again: their records have changed, or for reports, the node's own list has.
    changed_kinds: BTreeSet<u8>,
    /// The core's answer to the last request for its observations.
    observations: Option<oneshot::Receiver<BTreeMap<String, f64>>>,
    observations_requested_at: Micros,
    evidence_applied_at: Micros,
    last_statistics: Option<ReplicaSummary>,
}

impl ReplicatedState {
    pub fn new(
        setup: Setup,
        kinds: Kinds,
        now: Micros,
        core: CoreHandle,
        commands: mpsc::Sender<NodeCommand>,
    ) -> ReplicatedState {
        ReplicatedState {
            replica: Replica::new(setup.clone(), now),
            setup,
            kinds,
            core,
            commands,
            pending_orders: Vec::new(),
            reachable_peers: 0,
            sync_state: None,
            log_level: None,
            conflicts: BTreeSet::new(),
            excluded_servers: BTreeSet::new(),
            peer_slowness: BTreeMap::new(),
            changed_kinds: BTreeSet::new(),
            observations: None,
            observations_requested_at: now,
            evidence_applied_at: now,
            last_statistics: None,
        }
    }

    /// All records, up to a bound, for the successor process: each as text, with its remaining lifetime.
    pub fn records_to_hand_over(&self, now: Micros) -> Vec<(String, Option<Micros>)> {
        let remaining = |expires_at: Micros| expires_at.saturating_sub(now);
        let encoded = |stored: &lilacquay_replica::StoredRecord| {
            (encode_record(&stored.record), stored.expires_at.map(remaining))
        };
        self.replica.records().take(MAX_LISTED_RECORDS).map(|(_, _, stored)| encoded(stored)).collect()
    }

    /// Puts saved records into the replica again.
    pub fn restore(&mut self, now: Micros, records: Vec<SavedRecord>) {
        for SavedRecord { record, remaining } in records {
            self.replica.restore(now, record, remaining);
        }
    }

    /// The orders, to be kept across a change of the list of nodes.
    pub fn orders_to_save(&self, now: Micros) -> Vec<SavedRecord> {
        let saved = |stored: &lilacquay_replica::StoredRecord| SavedRecord {
            record: stored.record.clone(),
            remaining: stored.expires_at.map(|expires_at| expires_at.saturating_sub(now)),
        };
        self.replica.records_of_kind(kind::ORDER).map(saved).collect()
    }

    /// When [`ReplicatedState::tick`] is due next.
    pub fn next_tick_at(&self) -> Micros {
        self.replica.next_tick_at()
    }

    /// Handles a datagram from another node; returns the datagrams to send.
    pub fn handle_datagram(&mut self, now: Micros, from: usize, datagram: &[u8]) -> Vec<OutgoingDatagram> {
        let out = self.replica.handle_datagram(now, from, datagram);
        self.answer_pending_orders(now);
        out
    }

    /// Handles the timers that are due; returns the datagrams to send.
    pub fn tick(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        if self.kinds.evidence {
            self.publish_observations(now);
        }
        let out = self.replica.tick(now);
        self.answer_pending_orders(now);
        out
    }

    /// Publishes the slowness that this node has observed, and asks the core for the next observations.
    fn publish_observations(&mut self, now: Micros) {
        if let Some(Ok(observed)) = self.observations.as_mut().map(oneshot::Receiver::try_recv) {
            let observations = observed
                .into_iter()
                .map(|(server, slowness)| evidence::SlownessObservation { server, slowness });
            evidence::publish(&mut self.replica, now, self.setup.own_index as u16, observations.collect());
            self.observations = None;
        }
        if now >= self.observations_requested_at + OBSERVATION_INTERVAL_US {
            self.observations = Some(self.core.observed_slowness());
            self.observations_requested_at = now;
        }
    }

    /// Sets the reachable nodes. `has_returned`: this node was cut off, or paused for longer than a lease.
    pub fn set_reachable(&mut self, now: Micros, reachable: Vec<usize>, has_returned: bool) {
        self.reachable_peers = reachable.len();
        self.replica.set_reachable(reachable);
        if has_returned {
            self.replica.mark_behind(now);
        }
    }

    /// Publishes reports on servers after a change of the node's own list.
    pub fn publish_list(&mut self, now: Micros, own_list: &LocalServerList, withdrawn: &[WithdrawnServer]) {
        if self.kinds.endpoint_reports {
            endpoint_reports::publish(&mut self.replica, now, own_list, withdrawn);
            self.changed_kinds.insert(kind::ENDPOINT_REPORT);
        }
    }

    /// Publishes an order to all nodes, and answers once enough of them hold it or the wait has timed out. Answers `None` if
    /// the order is not replicated.
    pub fn publish_order(
        &mut self,
        now: Micros,
        order: &ClusterOrder,
        required_holders: Option<usize>,
        answer: oneshot::Sender<Option<OrderAcks>>,
    ) {
        let (subject, action, lifetime) = match order {
            ClusterOrder::Server(OrderRequest { server, order, .. }) => match order {
                RequestedOrder::Drain => (server.as_bytes(), Action::Drain, None),
                RequestedOrder::Exclude(duration) => (server.as_bytes(), Action::LeaveOut, Some(*duration)),
                RequestedOrder::Undrain => (server.as_bytes(), Action::Undrain, None),
            },
            ClusterOrder::Level(level) => {
                let level = LOG_LEVELS.iter().position(|name| name == level).unwrap_or(2);
                (&b""[..], Action::LogLevel(level as u8), None)
            }
        };
        let has_order = self.replica.effective_orders(now).any(|(effective, _)| effective.subject == subject);
        if !self.kinds.orders || action == Action::Undrain && !has_order {
            let _ = answer.send(None); // the receiver may have been dropped
            return;
        }
        if let Action::LogLevel(level) = action {
            self.log_level = Some(level); // it is in effect here already
        }
        let issued_at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as u32;
        match self.replica.issue_order(now, subject, action, lifetime, issued_at) {
            Ok(id) => {
                let timeout =
                    if required_holders.is_some() { ORDER_WAIT_TIMEOUT_US } else { ORDER_ANSWER_TIMEOUT_US };
                self.pending_orders.push(PendingOrder {
                    id,
                    subject: subject.into(),
                    required_holders,
                    issued_at: now,
                    deadline: now + timeout,
                    answer,
                });
            }
            Err(_) => {
                warn!(
                    "common: too many orders are held, or the name is too long; this order applies at this node only"
                );
                let _ = answer.send(None); // the receiver may have been dropped
            }
        }
    }

    /// Answers the orders that enough nodes hold, and those whose wait has timed out.
    fn answer_pending_orders(&mut self, now: Micros) {
        let node_count = self.reachable_peers + 1;
        let has_enough_holders = |order: &PendingOrder| {
            self.replica.holder_count(order.id) >= order.required_holders.unwrap_or(node_count)
        };
        let (done, pending) = std::mem::take(&mut self.pending_orders)
            .into_iter()
            .partition(|order| now >= order.deadline || has_enough_holders(order));
        self.pending_orders = pending;
        for PendingOrder { id, subject, issued_at, answer, .. } in done {
            let effective =
                self.replica.effective_orders(now).find(|(effective, _)| effective.subject == subject);
            let conflict = effective.is_some_and(|(effective, _)| effective.is_conflict());
            let after_ms = (now - issued_at) / 1_000;
            let nodes = self.replica.holder_count(id);
            let held_by = OrderAcks { nodes, of: node_count.max(nodes), after_ms, conflict };
            let _ = answer.send(Some(held_by)); // the receiver may have been dropped
        }
    }

    /// Applies changes of the replicated state to the rest of the node.
    pub fn apply_changes(&mut self, now: Micros, own_list: &LocalServerList) {
        self.changed_kinds.extend(self.replica.take_changed_kinds());
        let sync_state = self.replica.sync_state();
        if self.sync_state != Some(sync_state) {
            match (sync_state, self.sync_state) {
                (SyncState::UpToDate(_), Some(SyncState::Behind(since))) => {
                    info!(
                        ms = (now - since) / 1_000,
                        records = self.replica.len(),
                        "common: this node is up to date"
                    )
                }
                (SyncState::Behind(_), Some(_)) => {
                    info!("common: this node was away; it requests the records that it has missed")
                }
                _ => {}
            }
            self.sync_state = Some(sync_state);
            self.changed_kinds.insert(kind::ORDER);
        }
        let changed_kinds = std::mem::take(&mut self.changed_kinds);
        for record_kind in changed_kinds {
            match record_kind {
                kind::ORDER if self.kinds.orders => self.apply_orders(now),
                kind::ENDPOINT_REPORT if self.kinds.endpoint_reports => self.apply_endpoint_reports(own_list),
                kind::EVIDENCE if now < self.evidence_applied_at + EVIDENCE_INTERVAL_US => {
                    self.changed_kinds.insert(record_kind);
                }
                kind::EVIDENCE if self.kinds.evidence => self.apply_evidence(now),
                _ => {}
            }
        }
        let statistics = ReplicaSummary {
            behind: matches!(sync_state, SyncState::Behind(_)),
            records: self.replica.len(),
            conflicts: self.conflicts.len(),
            left_out: self.excluded_servers.len(),
        };
        if self.last_statistics != Some(statistics) {
            self.core.apply_replicated(ReplicatedUpdate::Statistics(statistics));
            self.last_statistics = Some(statistics);
        }
    }

    /// Applies the orders in effect to the core and the log level, and warns about new conflicts.
    fn apply_orders(&mut self, now: Micros) {
        let (mut orders, mut conflicts, mut log_level) = (Vec::new(), BTreeSet::new(), None);
        for (effective, remaining) in self.replica.effective_orders(now) {
            if effective.is_conflict() {
                conflicts.insert(effective.subject.to_vec());
            }
            if let Action::LogLevel(number) = effective.order.action {
                log_level = Some(number);
            }
            let Some(effect) = order_effect(effective.order, now, remaining) else { continue };
            let Ok(server) = String::from_utf8(effective.subject.to_vec()) else { continue };
            let Some(stored) = self.replica.record(effective.id) else { continue };
            orders.push(lilacquay_overrides::ReplicatedOrder {
                server,
                effect,
                mark: encode_record(&stored.record),
            });
        }
        for subject in conflicts.difference(&self.conflicts) {
            warn!(
                server = String::from_utf8_lossy(subject).as_ref(),
                "common: orders issued concurrently contradict each other; the drain applies until a new order is given"
            );
        }
        self.conflicts = conflicts;
        let complete = matches!(self.replica.sync_state(), SyncState::UpToDate(_));
        self.core.apply_replicated(ReplicatedUpdate::Orders { complete, orders });
        if let Some(number) = log_level.filter(|_| log_level != self.log_level) {
            self.log_level = log_level;
            let name = LOG_LEVELS[usize::from(number).min(LOG_LEVELS.len() - 1)];
            info!("common: all nodes log from {name} on, by an order given at another node");
            let ignored_outcome = oneshot::channel().0;
            let _ = self.commands.try_send(NodeCommand::SetLogLevel(name.into(), ignored_outcome));
        }
    }

    /// Excludes the servers that other nodes report as draining or gone.
    fn apply_endpoint_reports(&mut self, own_list: &LocalServerList) {
        let excluded =
            endpoint_reports::excluded_servers(&self.replica, self.setup.own_index as u16, own_list);
        if excluded == self.excluded_servers {
            return;
        }
        for server in excluded.difference(&self.excluded_servers) {
            info!(
                server,
                "common: other nodes' lists show the server as draining or gone; it is excluded here"
            );
        }
        self.core.apply_replicated(ReplicatedUpdate::RemovedByPeers(excluded.clone()));
        self.excluded_servers = excluded;
    }

    /// Gives the core the corroborated slowness. Repeated while there is any, because the core forgets it otherwise.
    fn apply_evidence(&mut self, now: Micros) {
        let slowness = evidence::corroborated(&self.replica, self.setup.own_index as u16);
        if !slowness.is_empty() || !self.peer_slowness.is_empty() {
            self.core.apply_replicated(ReplicatedUpdate::PeerSlowness(slowness.clone()));
        }
        (self.peer_slowness, self.evidence_applied_at) = (slowness, now);
    }

    /// The replicated state for operators.
    pub fn status(&self, now: Micros) -> ReplicaReport {
        let seconds_since = |at: Micros| now.saturating_sub(at) as f64 / 1e6;
        let (stage, since) = match self.replica.sync_state() {
            SyncState::Behind(since) => ("behind", since),
            SyncState::UpToDate(since) => ("level", since),
        };
        let (root, counts) = (self.replica.root(), self.replica.counters());
        let mut record_counts: BTreeMap<u8, usize> =
            [kind::ORDER, kind::ENDPOINT_REPORT, kind::EVIDENCE].map(|kind| (kind, 0)).into();
        for (_, _, stored) in self.replica.records() {
            *record_counts.entry(stored.record.kind).or_default() += 1;
        }
        let kind_status = |(kind, records): (u8, usize)| RecordKindStatus {
            kind: kind_name(kind),
            records,
            on: self.kinds.includes(kind),
        };
        let record = |(id, sum, stored): (u64, u32, &lilacquay_replica::StoredRecord)| RecordSummary {
            id,
            kind: kind_name(stored.record.kind),
            origin: stored.record.origin.into(),
            version: (stored.record.version.incarnation, stored.record.version.counter),
            sum,
        };
        ReplicaReport {
            me: self.setup.own_index,
            nodes: self.setup.node_count,
            stage: stage.into(),
            since_s: seconds_since(since),
            root: format!("{root:08x}"),
            kinds: record_counts.into_iter().map(kind_status).collect(),
            orders: self
                .replica
                .effective_orders(now)
                .map(|(effective, remaining)| order_status(&effective, remaining))
                .collect(),
            left_out: self.excluded_servers.iter().cloned().collect(),
            believed: self.peer_slowness.clone().into_iter().collect(),
            peers: self
                .replica
                .peers()
                .iter()
                .map(|(&node, peer)| PeerReplicaStatus {
                    node,
                    same: peer.root == root,
                    behind: peer.behind,
                    ago_s: seconds_since(peer.reported_at),
                })
                .collect(),
            dropped: counts.dropped,
            sent: counts.sent,
            sent_bytes: counts.sent_bytes,
            read: counts.accepted,
            unread: counts.invalid,
            records: self.replica.records().take(MAX_LISTED_RECORDS).map(record).collect(),
        }
    }
}

/// The effect of an order on its server, if it has one.
fn order_effect(order: &Order, now: Micros, remaining: Option<Micros>) -> Option<OrderEffect> {
    match order.action {
        _ if order.is_tombstone(remaining) => None,
        Action::Drain => Some(OrderEffect::Drain),
        Action::LeaveOut => {
            Some(OrderEffect::ExcludedUntil(now + remaining?.saturating_sub(TOMBSTONE_RETENTION_US)))
        }
        Action::Undrain | Action::LogLevel(_) => None,
    }
}

/// An order as shown to operators.
fn order_status(effective: &EffectiveOrder, remaining: Option<Micros>) -> ReplicatedOrder {
    let EffectiveOrder { subject, order, concurrent, .. } = effective;
    let tombstone = order.is_tombstone(remaining);
    let seconds_left = remaining
        .filter(|_| !tombstone)
        .map(|remaining| remaining.saturating_sub(TOMBSTONE_RETENTION_US) as f64 / 1e6);
    let description = |order: &&Order| {
        format!("{} by node {} at {}", order.action.name(), order.dot.origin, order.issued_at_unix_s)
    };
    ReplicatedOrder {
        server: String::from_utf8_lossy(subject).into(),
        action: order.action.name(),
        node: order.dot.origin.into(),
        at: order.issued_at_unix_s,
        seconds_left,
        tombstone,
        beside: concurrent.iter().map(description).collect(),
        conflict: effective.is_conflict(),
    }
}

#[cfg(test)]
mod tests {
    use lilacquay_codec::replica::Version;

    use super::*;

    #[test]
    fn a_record_round_trips_through_its_text_and_invalid_text_is_rejected() {
        let version = Version { incarnation: 7 << 40, counter: 3 };
        let record = Record { kind: 1, origin: 9, name: vec![1; 10], version, value: vec![2; 140] };
        assert_eq!(decode_record(&encode_record(&record)), Some(record));
        for invalid in ["", "zz", "4c", "é", &"00".repeat(300)] {
            assert_eq!(decode_record(invalid), None, "{invalid}");
        }
    }
}
