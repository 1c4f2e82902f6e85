//! What this node knows of all nodes: the newest row of each, when and through whom it came, and which nodes are gone.
//! Times are in microseconds by this node's clock.

use lilacquay_codec::siblings::{DIGEST_BUCKETS, NodeFlags, Row};

use crate::Micros;
use crate::ring::Ring;

/// The state of a node, as far as this one knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum NodeState {
    /// News of it is fresh, its watchers confirm it, and, where it watches us, it has acknowledged our heartbeats.
    Here,
    /// This incarnation no longer uses any share of a common resource.
    Gone,
    /// Neither is certain. Nobody takes over a share because of it.
    Unknown,
}

impl NodeState {
    /// The name shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            NodeState::Here => "here",
            NodeState::Gone => "gone",
            NodeState::Unknown => "unknown",
        }
    }
}

/// The evidence for a node's state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum StateReason {
    /// Nothing was heard of it yet.
    NeverHeard,
    /// Its row came, through this node.
    Heard {
        /// The node that sent it: itself, or another.
        via: usize,
    },
    /// It has started a new incarnation; the previous one is gone.
    NewIncarnation {
        /// The previous incarnation.
        previous: u64,
        /// The node that sent the row.
        via: usize,
    },
    /// It announced that it leaves.
    Left,
    /// A quorum of its watchers reports that its lease has expired.
    LeaseExpired {
        /// The watchers that report it.
        reported_by: Vec<usize>,
    },
    /// Nothing new was heard of it for too long.
    Silent,
    /// By its own row, too few of its watchers confirm it.
    Unconfirmed,
    /// It watches this node and has not acknowledged its heartbeats in time.
    DoesNotHearUs,
}

/// What is known of one node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct NodeRecord {
    pub row: Row,
    /// The heartbeat number of the row from which `row.heard` was taken; none if only brief rows came so far.
    pub heard_heartbeat: Option<u32>,
    /// When the newest row came, and from whom.
    pub received_at: Micros,
    pub received_from: usize,
    /// The incarnation that is gone, and why.
    pub gone: Option<(u64, StateReason)>,
    /// When its last help request (`NodeFlags::calling`) was relayed.
    help_relayed_at: Option<Micros>,
    /// The incarnation before the present one, if this node has known it.
    pub previous_incarnation: Option<u64>,
}

impl NodeRecord {
    pub fn is_gone(&self) -> bool {
        self.gone.as_ref().is_some_and(|(incarnation, _)| *incarnation >= self.row.incarnation)
    }
}

/// The newest rows of all nodes.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct View {
    records: Vec<Option<NodeRecord>>,
    /// The least time between two relays of one node's help requests.
    ///
    /// A node in need sends ten datagrams in a heartbeat interval; without the limit all others would relay each of them.
    help_relay_interval: Micros,
    /// By bucket, a digest of all known incarnations and of which are gone: nodes with the same view have the same.
    bucket_digests: [u64; DIGEST_BUCKETS],
}

/// The result of merging a row into the view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// It is older than what is known, or of a node that is not in the list.
    Outdated,
    /// It is what is known already.
    Unchanged,
    /// It is newer, and changes nothing in who is here and who hears whom.
    HeartbeatOnly,
    /// The node's own state has changed, or the known row was stale.
    Changed,
    /// It reports an expired lease of another node, or asks for help; to be relayed at once.
    Urgent,
}

impl View {
    pub fn new(node_count: usize, help_relay_interval: Micros) -> View {
        View { records: vec![None; node_count], help_relay_interval, bucket_digests: [0; DIGEST_BUCKETS] }
    }

    pub fn get(&self, node: usize) -> Option<&NodeRecord> {
        self.records.get(node)?.as_ref()
    }

    /// A digest of the whole view.
    pub fn digest(&self) -> u32 {
        let mixed = self
            .bucket_digests
            .iter()
            .zip(0..)
            .fold(0, |sum: u64, (digest, rotation)| sum ^ digest.rotate_left(rotation));
        (mixed ^ mixed >> 32) as u32
    }

    /// The digests of all buckets, as they are sent.
    pub fn bucket_digests(&self) -> [u16; DIGEST_BUCKETS] {
        self.bucket_digests.map(|digest| (digest ^ digest >> 16 ^ digest >> 32 ^ digest >> 48) as u16)
    }

    /// The nodes of a bucket.
    pub fn bucket_nodes(&self, bucket: usize) -> impl Iterator<Item = usize> + use<> {
        (bucket..self.records.len()).step_by(DIGEST_BUCKETS)
    }

    /// A node's contribution to its bucket's digest.
    fn digest_of(&self, node: usize) -> u64 {
        let Some(record) = self.get(node) else { return 0 };
        let mixed =
            (node as u64 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ record.row.incarnation.rotate_left(17);
        let mixed = (mixed ^ u64::from(record.is_gone())).wrapping_mul(0xD6E8_FEB8_6659_FD93);
        mixed ^ mixed >> 29
    }

    /// Merges a row that came from the node `from`.
    ///
    /// `is_brief`: the row carries no `heard` list, so that the known one stays. `stale_after`: when the last row of the
    /// node is older than this, any newer one counts as a change.
    pub fn merge(
        &mut self,
        now: Micros,
        row: Row,
        is_brief: bool,
        from: usize,
        stale_after: Micros,
    ) -> MergeOutcome {
        let node = usize::from(row.origin);
        if node >= self.records.len() {
            return MergeOutcome::Outdated; // not in the list of nodes
        }
        let digest_before = self.digest_of(node);
        let (heard_heartbeat, help_relay_interval) =
            ((!is_brief).then_some(row.heartbeat), self.help_relay_interval);
        let outcome = match &mut self.records[node] {
            Some(record) if row.incarnation < record.row.incarnation => return MergeOutcome::Outdated,
            Some(record) => {
                let (previous, is_new_incarnation) = (record.row, row.incarnation > record.row.incarnation);
                let is_newer = row.version() > previous.version();
                let updates_heard = !is_brief
                    && (is_new_incarnation
                        || record.heard_heartbeat.is_none_or(|heartbeat| row.heartbeat > heartbeat));
                if !is_newer && !updates_heard {
                    return if row.version() == previous.version() {
                        MergeOutcome::Unchanged
                    } else {
                        MergeOutcome::Outdated
                    };
                }
                let was_stale = is_newer && now > record.received_at + stale_after;
                if is_newer {
                    record.previous_incarnation = if is_new_incarnation {
                        Some(previous.incarnation)
                    } else {
                        record.previous_incarnation
                    };
                    (record.row, record.received_at, record.received_from) =
                        (Row { heard: previous.heard, watches: previous.watches, ..row }, now, from);
                }
                if updates_heard {
                    (record.row.heard, record.row.watches, record.heard_heartbeat) =
                        (row.heard, row.watches, heard_heartbeat);
                } else if is_new_incarnation {
                    (record.row.heard, record.heard_heartbeat) = Default::default();
                }
                let relays_help = row.flags.needs_relay
                    && record
                        .help_relayed_at
                        .is_none_or(|relayed_at| now >= relayed_at + help_relay_interval);
                record.help_relayed_at = if relays_help { Some(now) } else { record.help_relayed_at };
                match classify_change(&previous, &record.row) {
                    MergeOutcome::HeartbeatOnly if relays_help => MergeOutcome::Urgent,
                    MergeOutcome::HeartbeatOnly if was_stale => MergeOutcome::Changed,
                    outcome => outcome,
                }
            }
            empty => {
                let help_relayed_at = row.flags.needs_relay.then_some(now);
                *empty = Some(NodeRecord {
                    row,
                    heard_heartbeat,
                    received_at: now,
                    received_from: from,
                    gone: None,
                    help_relayed_at,
                    previous_incarnation: None,
                });
                if help_relayed_at.is_some() {
                    MergeOutcome::Urgent
                } else {
                    classify_change(&Row { incarnation: 0, ..Row::default() }, &row)
                }
            }
        };
        if row.flags.leaving {
            self.records[node].as_mut().expect("the record was set above").gone =
                Some((row.incarnation, StateReason::Left));
        }
        self.bucket_digests[node % DIGEST_BUCKETS] ^= digest_before ^ self.digest_of(node);
        outcome
    }

    /// Marks a node as gone if a quorum of its watchers reports that its lease has expired.
    pub fn apply_expiry_quorum(&mut self, ring: &Ring, node: usize) {
        let Some(record) = self.get(node).filter(|record| !record.is_gone()) else { return };
        let incarnation = record.row.incarnation;
        let reports_expired = |&watcher: &usize| {
            let row = self.get(watcher).map(|record| &record.row);
            let index = ring.neighbour_index(watcher, node);
            row.zip(index).is_some_and(|(row, index)| {
                let heard = row.heard[index];
                heard.expired && heard.incarnation == incarnation as u32
            })
        };
        let reported_by: Vec<usize> = ring.neighbours(node).filter(reports_expired).collect();
        if reported_by.len() >= ring.expiry_quorum() {
            let digest_before = self.digest_of(node);
            self.records[node].as_mut().expect("the record was read above").gone =
                Some((incarnation, StateReason::LeaseExpired { reported_by }));
            self.bucket_digests[node % DIGEST_BUCKETS] ^= digest_before ^ self.digest_of(node);
        }
    }

    /// Accounts for a suspension of the machine: all rows are older by its duration.
    pub fn apply_suspension(&mut self, duration: Micros) {
        self.records
            .iter_mut()
            .flatten()
            .for_each(|record| record.received_at = record.received_at.saturating_sub(duration));
    }
}

/// Classifies what a newer row changes. Which links are up is not urgent and spreads by rotation, unless a node asks for
/// help.
fn classify_change(previous: &Row, current: &Row) -> MergeOutcome {
    let reports = previous.heard.iter().zip(&current.heard);
    let mut expiries = reports.map(|(previous, current)| {
        current.expired && (!previous.expired || previous.incarnation != current.incarnation)
    });
    if expiries.any(|is_new| is_new) {
        return MergeOutcome::Urgent;
    }
    let is_new_incarnation = previous.incarnation < current.incarnation;
    // A node that has just started has nothing to report until it is confirmed.
    let is_starting =
        !current.flags.confirmed && !current.flags.leaving && previous.flags.confirmed == is_new_incarnation;
    // Help requests are relayed separately, at a limited rate.
    let same_standing =
        NodeFlags { needs_relay: previous.flags.needs_relay, ..current.flags } == previous.flags;
    if is_starting || !is_new_incarnation && same_standing {
        MergeOutcome::HeartbeatOnly
    } else {
        MergeOutcome::Changed
    }
}
