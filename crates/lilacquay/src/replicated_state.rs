//! What the nodes hold in common, at this node: what it says of its own, and what it goes by of the others'. All that is
//! decided of it, the package `replica` decides.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{SystemTime, UNIX_EPOCH};

use lilacquay_codec::replica::{Message, Part, Record, RecordUpdate, decode, encode};
use lilacquay_control::{
    ClusterOrder, NodeCommand, OrderAcks, PeerReplicaStatus, RecordKindStatus, RecordSummary, ReplicaReport,
    ReplicatedOrder,
};
use lilacquay_core::{CoreHandle, ListUpdate, Micros, ReplicatedUpdate, ServerState};
use lilacquay_observe::ReplicaSummary;
use lilacquay_overrides::{Order as Asked, OrderEffect, OrderRequest, PersistentOrder};
use lilacquay_replica::endpoint_reports::{self, LocalServerList, ServerEntry, WithdrawnServer};
use lilacquay_replica::orders::{Action, EffectiveOrder, Order, TOMBSTONE_RETENTION_US};
use lilacquay_replica::{OutgoingDatagram, Replica, Setup, SyncState, evidence, kind};
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use crate::section::Section;

/// An order is answered once all that are here hold it, after so long at the latest; ...
const ANSWERED: Micros = 500_000;
/// ... and if a number is asked for, after so long.
const WAITED: Micros = 3_000_000;
/// How often what this node has seen of servers is asked for.
const SEEN: Micros = 1_000_000;
/// How often it is reckoned what others have seen.
const BELIEVED: Micros = 250_000;
/// Records that are told one by one.
const TOLD: usize = 2_000;
/// The levels of the log, by their numbers.
const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Which kinds a node writes and goes by. Records of others it keeps and passes on all the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Kinds {
    pub orders: bool,
    pub words: bool,
    pub evidence: bool,
}

impl Kinds {
    /// On the platform, where the settings let nodes speak to one another: nobody gives orders there, and word of boxes
    /// gained nothing on the bench.
    pub const PLATFORM: Kinds = Kinds { orders: false, words: false, evidence: false };
    const NAMES: &[&str] = &["orders", "words", "evidence"];

    /// Reads `common`; orders and words if there is none.
    pub fn read(section: &mut Section) -> Kinds {
        if !section.has_key("common") {
            return Kinds { orders: true, words: true, evidence: false };
        }
        let mut kinds = Kinds::default();
        for (place, name) in section.strings("common").unwrap_or_default() {
            match name {
                "orders" => kinds.orders = true,
                "words" => kinds.words = true,
                "evidence" => kinds.evidence = true,
                other => {
                    let mend = format!("name some of {}", Kinds::NAMES.join(", "));
                    section.report_at(place, "common", format!("{other:?} is no such kind"), &mend);
                }
            }
        }
        kinds
    }

    pub fn any(&self) -> bool {
        self.orders || self.words || self.evidence
    }

    fn has(&self, of: u8) -> bool {
        match of {
            kind::ORDER => self.orders,
            kind::ENDPOINT_REPORT => self.words,
            kind::EVIDENCE => self.evidence,
            _ => false,
        }
    }
}

fn name_of(kind: u8) -> String {
    match kind {
        kind::ORDER => "order".into(),
        kind::ENDPOINT_REPORT => "word".into(),
        kind::EVIDENCE => "evidence".into(),
        other => format!("kind {other}"),
    }
}

/// A record in common, as it is kept over a restart, another list of nodes, or a hand-over.
#[derive(Debug, Clone)]
pub struct KeptRecord {
    record: Record,
    left: Option<Micros>,
}

impl KeptRecord {
    /// Of an order that lasted, if it is one in common.
    pub fn of(kept: &PersistentOrder) -> Option<KeptRecord> {
        let record = of_mark(kept.mark.as_deref()?)?;
        Some(KeptRecord { record, left: kept.remaining.map(|left| left + TOMBSTONE_RETENTION_US) })
    }

    /// Of what a process before has handed over.
    pub fn handed((mark, left): &(String, Option<Micros>)) -> Option<KeptRecord> {
        Some(KeptRecord { record: of_mark(mark)?, left: *left })
    }
}

/// A record as text.
fn mark(record: &Record) -> String {
    let mut said = Message::default();
    said.add(Part::Record(RecordUpdate {
        record: record.clone(),
        remaining_tenths: None,
        ack_requested: false,
    }));
    encode(0, &said).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn of_mark(text: &str) -> Option<Record> {
    let byte = |at: usize| u8::from_str_radix(text.get(at..at + 2)?, 16).ok();
    let bytes: Option<Vec<u8>> = (0..text.len()).step_by(2).map(byte).collect();
    match decode(0, &bytes?).ok()?.parts.pop()? {
        Part::Record(sent) => Some(sent.record),
        _ => None,
    }
}

/// Goes by a list of the node's own source; tells what it has taken away.
pub fn list(own: &mut LocalServerList, told: ListUpdate) -> Vec<WithdrawnServer> {
    let listed = |entry: lilacquay_core::ServerEntry| {
        let listed = ServerEntry {
            serves: entry.state == ServerState::Serving,
            started_ms: entry.started_ms.max(0.0) as u64,
        };
        (entry.id, (entry.state != ServerState::Deleted).then_some(listed))
    };
    own.apply_update(told.list.full, told.version, told.list.servers.into_iter().map(listed))
}

/// Whoever waits for an order to be held.
struct Waiting {
    id: u64,
    subject: Vec<u8>,
    wanted: Option<usize>,
    since: Micros,
    until: Micros,
    answer: oneshot::Sender<Option<OrderAcks>>,
}

/// What is held in common.
pub struct Common {
    replica: Replica,
    setup: Setup,
    kinds: Kinds,
    core: CoreHandle,
    commands: mpsc::Sender<NodeCommand>,
    waiting: Vec<Waiting>,
    here: usize,
    stage: Option<SyncState>,
    level: Option<u8>,
    conflicts: BTreeSet<Vec<u8>>,
    left_out: BTreeSet<String>,
    believed: BTreeMap<String, f64>,
    /// Kinds that have changed, and whether the node's own list has.
    changed: BTreeSet<u8>,
    seen: Option<oneshot::Receiver<BTreeMap<String, f64>>>,
    seen_at: Micros,
    believed_at: Micros,
    told: Option<ReplicaSummary>,
}

impl Common {
    pub fn new(
        setup: Setup,
        kinds: Kinds,
        now: Micros,
        core: CoreHandle,
        commands: mpsc::Sender<NodeCommand>,
    ) -> Common {
        Common {
            replica: Replica::new(setup.clone(), now),
            setup,
            kinds,
            core,
            commands,
            waiting: Vec::new(),
            here: 0,
            stage: None,
            level: None,
            conflicts: BTreeSet::new(),
            left_out: BTreeSet::new(),
            believed: BTreeMap::new(),
            changed: BTreeSet::new(),
            seen: None,
            seen_at: now,
            believed_at: now,
            told: None,
        }
    }

    /// All records, for the process that follows.
    pub fn handed(&self, now: Micros) -> Vec<(String, Option<Micros>)> {
        let left = |until: Micros| until.saturating_sub(now);
        let told = |held: &lilacquay_replica::StoredRecord| (mark(&held.record), held.expires_at.map(left));
        self.replica.records().take(TOLD).map(|(_, _, held)| told(held)).collect()
    }

    /// Takes back what was kept.
    pub fn restore(&mut self, now: Micros, kept: Vec<KeptRecord>) {
        for KeptRecord { record, left } in kept {
            self.replica.restore(now, record, left);
        }
    }

    /// The orders, to be kept over another list of nodes.
    pub fn kept(&self, now: Micros) -> Vec<KeptRecord> {
        let kept = |held: &lilacquay_replica::StoredRecord| KeptRecord {
            record: held.record.clone(),
            left: held.expires_at.map(|until| until.saturating_sub(now)),
        };
        self.replica.records_of_kind(kind::ORDER).map(kept).collect()
    }

    pub fn due(&self) -> Micros {
        self.replica.next_tick_at()
    }

    pub fn heard(&mut self, now: Micros, from: usize, datagram: &[u8]) -> Vec<OutgoingDatagram> {
        let out = self.replica.handle_datagram(now, from, datagram);
        self.answer_waiting(now);
        out
    }

    pub fn tick(&mut self, now: Micros) -> Vec<OutgoingDatagram> {
        if self.kinds.evidence {
            self.see(now);
        }
        let out = self.replica.tick(now);
        self.answer_waiting(now);
        out
    }

    /// Says what this node has seen of servers, and asks the core for the next look.
    fn see(&mut self, now: Micros) {
        if let Some(Ok(seen)) = self.seen.as_mut().map(oneshot::Receiver::try_recv) {
            let seen =
                seen.into_iter().map(|(server, slowness)| evidence::SlownessObservation { server, slowness });
            evidence::publish(&mut self.replica, now, self.setup.own_index as u16, seen.collect());
            self.seen = None;
        }
        if now >= self.seen_at + SEEN {
            (self.seen, self.seen_at) = (Some(self.core.observed_slowness()), now);
        }
    }

    /// Who is here; `back`: this node was cut off, or paused for longer than a lease.
    pub fn set_here(&mut self, now: Micros, here: Vec<usize>, back: bool) {
        self.here = here.len();
        self.replica.set_reachable(here);
        if back {
            self.replica.mark_behind(now);
        }
    }

    /// The node's own list has changed.
    pub fn list(&mut self, now: Micros, own: &LocalServerList, ended: &[WithdrawnServer]) {
        if self.kinds.words {
            endpoint_reports::publish(&mut self.replica, now, own, ended);
            self.changed.insert(kind::ENDPOINT_REPORT);
        }
    }

    /// Has all nodes hold an order.
    pub fn order(
        &mut self,
        now: Micros,
        order: &ClusterOrder,
        wanted: Option<usize>,
        answer: oneshot::Sender<Option<OrderAcks>>,
    ) {
        let (subject, action, life) = match order {
            ClusterOrder::Server(OrderRequest { server, order, .. }) => match order {
                Asked::Drain => (server.as_bytes(), Action::Drain, None),
                Asked::Exclude(time) => (server.as_bytes(), Action::LeaveOut, Some(*time)),
                Asked::Undrain => (server.as_bytes(), Action::Undrain, None),
            },
            ClusterOrder::Level(level) => {
                let level = LEVELS.iter().position(|name| name == level).unwrap_or(2);
                (&b""[..], Action::LogLevel(level as u8), None)
            }
        };
        let stands = self.replica.effective_orders(now).any(|(standing, _)| standing.subject == subject);
        if !self.kinds.orders || action == Action::Undrain && !stands {
            let _ = answer.send(None); // who asked may have left
            return;
        }
        if let Action::LogLevel(level) = action {
            self.level = Some(level); // it is obeyed here already
        }
        let at = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as u32;
        match self.replica.issue_order(now, subject, action, life, at) {
            Ok(id) => {
                let until = now + if wanted.is_some() { WAITED } else { ANSWERED };
                let subject = subject.into();
                self.waiting.push(Waiting { id, subject, wanted, since: now, until, answer });
            }
            Err(_) => {
                warn!(
                    "common: too many orders are held, or the name is too long: this one is held here alone"
                );
                let _ = answer.send(None); // who asked may have left
            }
        }
    }

    fn answer_waiting(&mut self, now: Micros) {
        let of = self.here + 1;
        let held = |waiting: &Waiting| self.replica.holder_count(waiting.id);
        let (done, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| now >= waiting.until || held(waiting) >= waiting.wanted.unwrap_or(of));
        self.waiting = waiting;
        for Waiting { id, subject, since, answer, .. } in done {
            let standing =
                self.replica.effective_orders(now).find(|(standing, _)| standing.subject == subject);
            let conflict = standing.is_some_and(|(standing, _)| standing.is_conflict());
            let after_ms = (now - since) / 1_000;
            let nodes = self.replica.holder_count(id);
            let _ = answer.send(Some(OrderAcks { nodes, of: of.max(nodes), after_ms, conflict })); // who asked may have left
        }
    }

    /// Tells the rest of the node what it goes by, where that has changed.
    pub fn tell(&mut self, now: Micros, own: &LocalServerList) {
        self.changed.extend(self.replica.take_changed_kinds());
        let stage = self.replica.sync_state();
        if self.stage != Some(stage) {
            match (stage, self.stage) {
                (SyncState::UpToDate(_), Some(SyncState::Behind(since))) => {
                    info!(
                        ms = (now - since) / 1_000,
                        records = self.replica.len(),
                        "common: this node is level"
                    )
                }
                (SyncState::Behind(_), Some(_)) => {
                    info!("common: this node was away; it asks what it has missed")
                }
                _ => {}
            }
            self.stage = Some(stage);
            self.changed.insert(kind::ORDER);
        }
        let changed = std::mem::take(&mut self.changed);
        for of in changed {
            match of {
                kind::ORDER if self.kinds.orders => self.tell_orders(now),
                kind::ENDPOINT_REPORT if self.kinds.words => self.tell_words(own),
                kind::EVIDENCE if now < self.believed_at + BELIEVED => _ = self.changed.insert(of),
                kind::EVIDENCE if self.kinds.evidence => self.tell_evidence(now),
                _ => {}
            }
        }
        let seen = ReplicaSummary {
            behind: matches!(stage, SyncState::Behind(_)),
            records: self.replica.len(),
            conflicts: self.conflicts.len(),
            left_out: self.left_out.len(),
        };
        if self.told != Some(seen) {
            self.core.apply_replicated(ReplicatedUpdate::Statistics(seen));
            self.told = Some(seen);
        }
    }

    fn tell_orders(&mut self, now: Micros) {
        let (mut orders, mut conflicts, mut level) = (Vec::new(), BTreeSet::new(), None);
        for (standing, left) in self.replica.effective_orders(now) {
            if standing.is_conflict() {
                conflicts.insert(standing.subject.to_vec());
            }
            if let Action::LogLevel(number) = standing.order.action {
                level = Some(number);
            }
            let Some(hold) = hold(standing.order, now, left) else { continue };
            let Ok(server) = String::from_utf8(standing.subject.to_vec()) else { continue };
            let Some(held) = self.replica.record(standing.id) else { continue };
            orders.push(lilacquay_overrides::ReplicatedOrder {
                server,
                effect: hold,
                mark: mark(&held.record),
            });
        }
        for subject in conflicts.difference(&self.conflicts) {
            warn!(
                server = String::from_utf8_lossy(subject).as_ref(),
                "common: orders that had not seen each other contradict; the drain stands until somebody orders anew"
            );
        }
        self.conflicts = conflicts;
        let whole = matches!(self.replica.sync_state(), SyncState::UpToDate(_));
        self.core.apply_replicated(ReplicatedUpdate::Orders { complete: whole, orders });
        if let Some(number) = level.filter(|_| level != self.level) {
            self.level = level;
            let name = LEVELS[usize::from(number).min(LEVELS.len() - 1)];
            info!("common: all nodes log from {name} on, by an order given at another");
            let _ = self.commands.try_send(NodeCommand::SetLogLevel(name.into(), oneshot::channel().0)); // nobody waits
        }
    }

    fn tell_words(&mut self, own: &LocalServerList) {
        let left_out = endpoint_reports::excluded_servers(&self.replica, self.setup.own_index as u16, own);
        if left_out == self.left_out {
            return;
        }
        for server in left_out.difference(&self.left_out) {
            info!(server, "common: other nodes' lists say that it drains or is gone; it is left out here");
        }
        self.core.apply_replicated(ReplicatedUpdate::RemovedByPeers(left_out.clone()));
        self.left_out = left_out;
    }

    /// Told again while it is believed: the core forgets it otherwise.
    fn tell_evidence(&mut self, now: Micros) {
        let believed = evidence::corroborated(&self.replica, self.setup.own_index as u16);
        if !believed.is_empty() || !self.believed.is_empty() {
            self.core.apply_replicated(ReplicatedUpdate::PeerSlowness(believed.clone()));
        }
        (self.believed, self.believed_at) = (believed, now);
    }

    /// What is held, in words.
    pub fn look(&self, now: Micros) -> ReplicaReport {
        let ago = |at: Micros| now.saturating_sub(at) as f64 / 1e6;
        let (stage, since) = match self.replica.sync_state() {
            SyncState::Behind(since) => ("behind", since),
            SyncState::UpToDate(since) => ("level", since),
        };
        let (root, counts) = (self.replica.root(), self.replica.counters());
        let mut numbers: BTreeMap<u8, usize> =
            [kind::ORDER, kind::ENDPOINT_REPORT, kind::EVIDENCE].map(|of| (of, 0)).into();
        for (_, _, held) in self.replica.records() {
            *numbers.entry(held.record.kind).or_default() += 1;
        }
        let of_kind = |(of, records): (u8, usize)| RecordKindStatus {
            kind: name_of(of),
            records,
            on: self.kinds.has(of),
        };
        let record = |(id, sum, held): (u64, u32, &lilacquay_replica::StoredRecord)| RecordSummary {
            id,
            kind: name_of(held.record.kind),
            origin: held.record.origin.into(),
            version: (held.record.version.incarnation, held.record.version.counter),
            sum,
        };
        ReplicaReport {
            me: self.setup.own_index,
            nodes: self.setup.node_count,
            stage: stage.into(),
            since_s: ago(since),
            root: format!("{root:08x}"),
            kinds: numbers.into_iter().map(of_kind).collect(),
            orders: self
                .replica
                .effective_orders(now)
                .map(|(standing, left)| told(&standing, left))
                .collect(),
            left_out: self.left_out.iter().cloned().collect(),
            believed: self.believed.clone().into_iter().collect(),
            peers: self
                .replica
                .peers()
                .iter()
                .map(|(&node, peer)| PeerReplicaStatus {
                    node,
                    same: peer.root == root,
                    behind: peer.behind,
                    ago_s: ago(peer.reported_at),
                })
                .collect(),
            dropped: counts.dropped,
            sent: counts.sent,
            sent_bytes: counts.sent_bytes,
            read: counts.accepted,
            unread: counts.invalid,
            records: self.replica.records().take(TOLD).map(record).collect(),
        }
    }
}

/// How an order holds its server, if it does.
fn hold(order: &Order, now: Micros, left: Option<Micros>) -> Option<OrderEffect> {
    match order.action {
        _ if order.is_tombstone(left) => None,
        Action::Drain => Some(OrderEffect::Drain),
        Action::LeaveOut => {
            Some(OrderEffect::ExcludedUntil(now + left?.saturating_sub(TOMBSTONE_RETENTION_US)))
        }
        Action::Undrain | Action::LogLevel(_) => None,
    }
}

/// An order, in words.
fn told(standing: &EffectiveOrder, left: Option<Micros>) -> ReplicatedOrder {
    let EffectiveOrder { subject, order, concurrent: beside, .. } = standing;
    let tombstone = order.is_tombstone(left);
    let lasts =
        left.filter(|_| !tombstone).map(|left| left.saturating_sub(TOMBSTONE_RETENTION_US) as f64 / 1e6);
    let word = |order: &&Order| {
        format!("{} by node {} at {}", order.action.name(), order.dot.origin, order.issued_at_unix_s)
    };
    ReplicatedOrder {
        server: String::from_utf8_lossy(subject).into(),
        action: order.action.name(),
        node: order.dot.origin.into(),
        at: order.issued_at_unix_s,
        seconds_left: lasts,
        tombstone,
        beside: beside.iter().map(word).collect(),
        conflict: standing.is_conflict(),
    }
}

#[cfg(test)]
mod tests {
    use lilacquay_codec::replica::Version;

    use super::*;

    #[test]
    fn a_record_goes_through_its_mark_and_what_is_none_is_nothing() {
        let version = Version { incarnation: 7 << 40, counter: 3 };
        let record = Record { kind: 1, origin: 9, name: vec![1; 10], version, value: vec![2; 140] };
        assert_eq!(of_mark(&mark(&record)), Some(record));
        for bad in ["", "zz", "4c", "é", &"00".repeat(300)] {
            assert_eq!(of_mark(bad), None, "{bad}");
        }
    }
}
