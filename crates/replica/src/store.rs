//! The records that a node holds, with a tree of checksums over them by which two replicas are compared. Times are in
//! microseconds by this node's clock.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use lilacquay_codec::replica::{BRANCHES, ID_BITS, Record};
use xxhash_rust::xxh3::Xxh3;

use crate::{Micros, kind};

/// Levels of the checksum tree; few records are left below the last one.
pub(crate) const LEVELS: u8 = 3;
const BRANCH_BITS: u32 = BRANCHES.trailing_zeros();

/// The most records of a kind, in total and of one origin.
///
/// At a limit the records with the lowest ids are kept, so that all nodes that have received the same records keep the
/// same ones.
fn record_limits(record_kind: u8) -> (usize, usize) {
    match record_kind {
        kind::ORDER => (1024, 256),
        kind::ENDPOINT_REPORT => (4096, 512),
        kind::EVIDENCE => (4096, 16),
        _ => (512, 64),
    }
}

/// For how long before its expiry a record is no longer sent. Replicas expire a record at slightly different times, and
/// would otherwise receive it again from one another.
fn silent_period(record_kind: u8) -> Micros {
    match record_kind {
        kind::ORDER => 20_000_000,
        kind::ENDPOINT_REPORT => 5_000_000,
        _ => 1_500_000,
    }
}

/// The id of a record: 48 bits of a hash of kind, origin and name.
pub fn record_id(kind: u8, origin: u16, name: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&[kind]);
    hash.update(&origin.to_be_bytes());
    hash.update(name);
    hash.digest() >> (u64::BITS - ID_BITS)
}

/// A checksum of a record's contents.
pub fn record_checksum(record: &Record) -> u32 {
    let mut hash = Xxh3::new();
    hash.update(&[record.kind]);
    hash.update(&record.origin.to_be_bytes());
    hash.update(&[record.name.len() as u8]);
    hash.update(&record.name);
    hash.update(&record.version.incarnation.to_be_bytes());
    hash.update(&record.version.counter.to_be_bytes());
    hash.update(&record.value);
    hash.digest() as u32
}

/// A record that is held.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct StoredRecord {
    /// The record.
    pub record: Record,
    /// When it expires, by this node's clock.
    pub expires_at: Option<Micros>,
    checksum: u32,
    /// Whether it is sent to others and counts in the checksum tree.
    is_counted: bool,
}

impl StoredRecord {
    /// The remaining lifetime in the unit of the wire, tenths of a second.
    pub(crate) fn remaining_tenths(&self, now: Micros) -> Option<u32> {
        self.expires_at
            .map(|expires_at| (expires_at.saturating_sub(now) / 100_000).clamp(1, u64::from(u32::MAX)) as u32)
    }

    /// The checksum by which two copies of a record are compared.
    pub(crate) fn checksum(&self) -> u32 {
        self.checksum
    }
}

/// The result of merging a received record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// No record of that name was held.
    New,
    /// It has replaced an older version.
    Replaced,
    /// The same version was held.
    Unchanged,
    /// A newer version is held.
    Outdated,
    /// It has expired, or is about to.
    Expired,
    /// A limit on the number of records keeps it out.
    RejectedFull,
}

impl MergeOutcome {
    /// Whether the record is held now and was not before.
    pub fn is_change(self) -> bool {
        matches!(self, MergeOutcome::New | MergeOutcome::Replaced)
    }
}

/// All records that a node holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    records: BTreeMap<u64, StoredRecord>,
    by_kind: BTreeSet<(u8, u64)>,
    by_origin: BTreeSet<(u8, u16, u64)>,
    /// The number of records of a kind, and of a kind and an origin.
    counts: BTreeMap<(u8, Option<u16>), usize>,
    /// When records are to be checked for the start of their silent period or for their expiry, with their ids.
    deadlines: BTreeSet<(Micros, u64)>,
    /// By level, the checksums of all branches of the tree.
    sums: [Vec<u32>; LEVELS as usize],
    root: u32,
    /// Records that a limit has kept out or removed.
    pub dropped: u64,
}

impl Store {
    pub fn new() -> Store {
        let sums = std::array::from_fn(|level| vec![0; BRANCHES.pow(level as u32 + 1)]);
        let (records, by_kind, by_origin, counts, deadlines) = Default::default();
        Store { records, by_kind, by_origin, counts, deadlines, sums, root: 0, dropped: 0 }
    }

    pub fn get(&self, id: u64) -> Option<&StoredRecord> {
        self.records.get(&id)
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// All records of a kind, in the order of their ids.
    pub fn records_of_kind(&self, kind: u8) -> impl Iterator<Item = (u64, &StoredRecord)> {
        let ids = self.by_kind.range((kind, 0)..=(kind, u64::MAX));
        ids.filter_map(|(_, id)| Some((*id, self.records.get(id)?)))
    }

    /// All records, in the order of their ids.
    pub fn all(&self) -> impl Iterator<Item = (u64, &StoredRecord)> {
        self.records.iter().map(|(id, stored)| (*id, stored))
    }

    /// The root of the checksum tree, over all records that are sent to others.
    pub fn root(&self) -> u32 {
        self.root
    }

    /// Merges a record that expires at the given time.
    pub fn merge(&mut self, now: Micros, record: Record, expires_at: Option<Micros>) -> MergeOutcome {
        let id = record_id(record.kind, record.origin, &record.name);
        let is_expired = expires_at.is_some_and(|expires_at| expires_at <= now + silent_period(record.kind));
        let stored = self.records.get(&id);
        let version_order = stored.map(|stored| {
            (record.version, &record.value).cmp(&(stored.record.version, &stored.record.value))
        });
        // Of equal copies the latest expiry counts, so that the copy that was on its way for the longest time does not
        // shorten the record's life.
        let stored_expires_at = stored.and_then(|stored| stored.expires_at);
        let lives_longer =
            stored_expires_at.is_some_and(|stored| expires_at.is_none_or(|expires_at| expires_at > stored));
        let outcome = match version_order {
            Some(Ordering::Less) => return MergeOutcome::Outdated,
            Some(Ordering::Equal) => {
                if lives_longer && !is_expired {
                    self.set_expires_at(id, expires_at);
                }
                return MergeOutcome::Unchanged;
            }
            _ if is_expired => return MergeOutcome::Expired,
            Some(Ordering::Greater) => MergeOutcome::Replaced,
            None if !self.make_room(id, &record) => return MergeOutcome::RejectedFull,
            None => MergeOutcome::New,
        };
        self.remove(id);
        let checksum = record_checksum(&record);
        self.insert(id, StoredRecord { record, expires_at, checksum, is_counted: true });
        outcome
    }

    /// Inserts a record whose id is not held.
    fn insert(&mut self, id: u64, stored: StoredRecord) {
        let (kind, origin, checksum) = (stored.record.kind, stored.record.origin, stored.checksum);
        self.by_kind.insert((kind, id));
        self.by_origin.insert((kind, origin, id));
        for counted_origin in [None, Some(origin)] {
            *self.counts.entry((kind, counted_origin)).or_default() += 1;
        }
        self.records.insert(id, stored);
        self.toggle_in_sums(id, checksum);
        self.schedule_deadline(id);
    }

    /// Whether there is room for a new record; at a limit, removes the record with the highest id if that is higher.
    fn make_room(&mut self, id: u64, record: &Record) -> bool {
        let (kind, origin) = (record.kind, record.origin);
        let (max_total, max_per_origin) = record_limits(kind);
        let count =
            |counted_origin: Option<u16>| self.counts.get(&(kind, counted_origin)).copied().unwrap_or(0);
        let of_origin = self.by_origin.range((kind, origin, 0)..=(kind, origin, u64::MAX));
        let of_kind = self.by_kind.range((kind, 0)..=(kind, u64::MAX));
        let last = match (count(Some(origin)) >= max_per_origin, count(None) >= max_total) {
            (true, _) => of_origin.clone().next_back().map(|entry| entry.2),
            (_, true) => of_kind.clone().next_back().map(|entry| entry.1),
            _ => return true,
        };
        let higher = last.filter(|&last| last > id);
        self.dropped += 1;
        higher.is_some_and(|last| self.remove(last).is_some())
    }

    /// Removes and returns a record.
    pub fn remove(&mut self, id: u64) -> Option<StoredRecord> {
        let stored = self.records.remove(&id)?;
        let (kind, origin) = (stored.record.kind, stored.record.origin);
        self.by_kind.remove(&(kind, id));
        self.by_origin.remove(&(kind, origin, id));
        for counted_origin in [None, Some(origin)] {
            let count = self.counts.entry((kind, counted_origin)).or_default();
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&(kind, counted_origin));
            }
        }
        if let Some(expires_at) = stored.expires_at {
            self.deadlines.remove(&(expires_at.saturating_sub(silent_period(stored.record.kind)), id));
            self.deadlines.remove(&(expires_at, id));
        }
        if stored.is_counted {
            self.toggle_in_sums(id, stored.checksum);
        }
        Some(stored)
    }

    /// Changes when a record expires.
    pub fn set_expires_at(&mut self, id: u64, expires_at: Option<Micros>) {
        if let Some(mut stored) = self.remove(id) {
            (stored.expires_at, stored.is_counted) = (expires_at, true);
            self.insert(id, stored);
        }
    }

    fn schedule_deadline(&mut self, id: u64) {
        let stored = &self.records[&id];
        if let Some(expires_at) = stored.expires_at {
            self.deadlines.insert((expires_at.saturating_sub(silent_period(stored.record.kind)), id));
        }
    }

    /// Removes and returns the expired records; those whose silent period has begun leave the checksum tree.
    pub fn expire(&mut self, now: Micros) -> Vec<(u64, StoredRecord)> {
        let mut expired = Vec::new();
        while let Some(&(at, id)) = self.deadlines.first().filter(|(at, _)| *at <= now) {
            self.deadlines.remove(&(at, id));
            let Some(stored) = self.records.get_mut(&id) else { continue };
            let expires_at = stored.expires_at.unwrap_or(Micros::MAX);
            if expires_at <= now {
                expired.extend(self.remove(id).map(|stored| (id, stored)));
            } else if stored.is_counted {
                stored.is_counted = false;
                let checksum = stored.checksum;
                self.toggle_in_sums(id, checksum);
                self.deadlines.insert((expires_at, id));
            }
        }
        expired
    }

    /// Adds a record to the checksum tree, or removes it.
    fn toggle_in_sums(&mut self, id: u64, checksum: u32) {
        self.root ^= checksum;
        for (level, sums) in (1u32..).zip(&mut self.sums) {
            sums[(id >> (ID_BITS - BRANCH_BITS * level)) as usize] ^= checksum;
        }
    }

    /// The checksums of the branches below a branch.
    pub fn sums(&self, level: u8, path: u16) -> Option<[u32; BRANCHES]> {
        let first = usize::from(path) * BRANCHES;
        self.sums.get(usize::from(level))?.get(first..first + BRANCHES)?.try_into().ok()
    }

    /// The first and last id below the branch `path` at this level.
    pub fn id_range(level: u8, path: u16) -> (u64, u64) {
        let shift = ID_BITS - BRANCH_BITS * u32::from(level);
        let first = u64::from(path) << shift;
        (first, first | ((1 << shift) - 1))
    }

    /// Ids and checksums of the records in a range of ids that are sent to others, in the order of ids.
    pub fn list(&self, first: u64, last: u64) -> impl Iterator<Item = (u64, u32)> {
        let records = (first <= last).then(|| self.records.range(first..=last));
        let counted = records.into_iter().flatten().filter(|(_, stored)| stored.is_counted);
        counted.map(|(id, stored)| (*id, stored.checksum))
    }
}

#[cfg(test)]
mod tests {
    use lilacquay_codec::replica::Version;

    use super::*;

    const SEC: Micros = 1_000_000;

    fn record(kind: u8, origin: u16, name: u32, counter: u32) -> Record {
        let version = Version { incarnation: 1, counter };
        Record { kind, origin, name: name.to_be_bytes().into(), version, value: vec![counter as u8] }
    }

    /// Also when records arrive several times, and when a limit on their number applies.
    #[test]
    fn the_same_records_give_the_same_store_in_any_order_also_at_the_limits() {
        let mut rng = fastrand::Rng::with_seed(1);
        for record_count in [40, 3_000] {
            let mut all: Vec<Record> = (0..record_count)
                .map(|n| {
                    let kind = [kind::EVIDENCE, kind::ORDER, 9][n as usize % 3];
                    record(kind, (n % 7) as u16, n / 2, rng.u32(1..4))
                })
                .collect();
            let mut roots = BTreeSet::new();
            for _ in 0..4 {
                let mut store = Store::new();
                rng.shuffle(&mut all);
                for record in all.iter().chain(&all[..all.len() / 2]) {
                    let expires_at = (record.kind == kind::EVIDENCE).then_some(90 * SEC);
                    store.merge(0, record.clone(), expires_at);
                }
                roots.insert((store.root(), store.len()));
                let sums = |level, path| store.sums(level, path).unwrap().into_iter().fold(0, |a, b| a ^ b);
                assert_eq!(sums(0, 0), store.root());
                assert_eq!(sums(2, 0x12), store.sums(1, 1).unwrap()[2]);
                let (first, last) = Store::id_range(2, 0x12);
                assert_eq!(store.list(first, last).fold(0, |a, b| a ^ b.1), sums(2, 0x12));
            }
            assert_eq!(roots.len(), 1, "{roots:?}");
            assert!(roots.first().unwrap().1 <= 16 * 7 + 256 * 7 + 64 * 7);
        }
    }

    #[test]
    fn a_record_is_silent_before_it_expires_and_a_delayed_copy_does_not_shorten_its_life() {
        let mut store = Store::new();
        let one = record(kind::ENDPOINT_REPORT, 1, 1, 1);
        assert_eq!(store.merge(0, one.clone(), Some(60 * SEC)), MergeOutcome::New);
        assert_eq!(store.merge(0, one.clone(), Some(50 * SEC)), MergeOutcome::Unchanged);
        assert_eq!(
            store.get(record_id(kind::ENDPOINT_REPORT, 1, &one.name)).unwrap().expires_at,
            Some(60 * SEC)
        );
        store.expire(56 * SEC);
        assert_eq!((store.len(), store.root()), (1, 0), "held, and no longer sent");
        assert_eq!(store.merge(56 * SEC, one.clone(), Some(58 * SEC)), MergeOutcome::Unchanged);
        assert_eq!(store.expire(60 * SEC).len(), 1);
        assert_eq!(
            store.merge(60 * SEC, one.clone(), Some(63 * SEC)),
            MergeOutcome::Expired,
            "not accepted again for its last seconds"
        );
        assert_eq!((store.len(), store.deadlines.len(), store.by_kind.len()), (0, 0, 0));
    }
}
