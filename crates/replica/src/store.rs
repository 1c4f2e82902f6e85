//! The records that a node holds, with sums over them by which two copies are compared.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

use lilacquay_codec::replica::{BRANCHES, ID_BITS, Record};
use xxhash_rust::xxh3::Xxh3;

use crate::{Micros, kind};

/// Branchings that have sums of their own; below them few records are left.
pub(crate) const LEVELS: u8 = 3;
const BRANCH_BITS: u32 = BRANCHES.trailing_zeros();

/// Bounds on what is held of a kind: in all, and of one origin.
///
/// Where one binds, those with the lowest ids stay, so that all nodes that have heard of the same keep the same.
fn most(of: u8) -> (usize, usize) {
    match of {
        kind::ORDER => (1024, 256),
        kind::ENDPOINT_REPORT => (4096, 512),
        kind::EVIDENCE => (4096, 16),
        _ => (512, 64),
    }
}

/// In the last part of its life a record is no longer told: copies end some moments apart, and would be brought back by one
/// another.
fn quiet(of: u8) -> Micros {
    match of {
        kind::ORDER => 20_000_000,
        kind::ENDPOINT_REPORT => 5_000_000,
        _ => 1_500_000,
    }
}

/// By what a record is known: 48 bits of a hash over kind, origin and name.
pub fn record_id(kind: u8, origin: u16, name: &[u8]) -> u64 {
    let mut hash = Xxh3::new();
    hash.update(&[kind]);
    hash.update(&origin.to_be_bytes());
    hash.update(name);
    hash.digest() >> (u64::BITS - ID_BITS)
}

/// A number of a record's contents.
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
    /// When its life ends, by this node's clock.
    pub expires_at: Option<Micros>,
    sum: u32,
    /// It is told, and counts in the sums.
    counted: bool,
}

impl StoredRecord {
    /// How long it lives yet, as it is sent.
    pub(crate) fn left(&self, now: Micros) -> Option<u32> {
        self.expires_at
            .map(|until| (until.saturating_sub(now) / 100_000).clamp(1, u64::from(u32::MAX)) as u32)
    }

    /// What both copies of a record are compared by.
    pub(crate) fn sum(&self) -> u32 {
        self.sum
    }
}

/// What has become of a record that came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// None of that name was held.
    New,
    /// It has taken the place of an older one.
    Replaced,
    /// It was held.
    Unchanged,
    /// A newer one is held.
    Outdated,
    /// Its life is all but over.
    Expired,
    /// A bound keeps it out.
    RejectedFull,
}

impl MergeOutcome {
    /// Whether it is held now and was not before.
    pub fn is_change(self) -> bool {
        matches!(self, MergeOutcome::New | MergeOutcome::Replaced)
    }
}

/// All that a node holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Store {
    records: BTreeMap<u64, StoredRecord>,
    by_kind: BTreeSet<(u8, u64)>,
    by_origin: BTreeSet<(u8, u16, u64)>,
    /// How many there are of a kind, and of a kind and an origin.
    numbers: BTreeMap<(u8, Option<u16>), usize>,
    /// When what is held is looked at next for its end.
    ends: BTreeSet<(Micros, u64)>,
    /// By level, the sums of all branches.
    sums: [Vec<u32>; LEVELS as usize],
    root: u32,
    /// Records that a bound has kept out or taken away.
    pub dropped: u64,
}

impl Store {
    pub fn new() -> Store {
        let sums = std::array::from_fn(|level| vec![0; BRANCHES.pow(level as u32 + 1)]);
        let (records, by_kind, by_origin, numbers, ends) = Default::default();
        Store { records, by_kind, by_origin, numbers, ends, sums, root: 0, dropped: 0 }
    }

    pub fn get(&self, id: u64) -> Option<&StoredRecord> {
        self.records.get(&id)
    }

    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// All of a kind, by id.
    pub fn records_of_kind(&self, kind: u8) -> impl Iterator<Item = (u64, &StoredRecord)> {
        let ids = self.by_kind.range((kind, 0)..=(kind, u64::MAX));
        ids.filter_map(|(_, id)| Some((*id, self.records.get(id)?)))
    }

    /// All, by id.
    pub fn all(&self) -> impl Iterator<Item = (u64, &StoredRecord)> {
        self.records.iter().map(|(id, held)| (*id, held))
    }

    /// A number of all that is told.
    pub fn root(&self) -> u32 {
        self.root
    }

    /// Takes a record that lives until then.
    pub fn take(&mut self, now: Micros, record: Record, until: Option<Micros>) -> MergeOutcome {
        let id = record_id(record.kind, record.origin, &record.name);
        let over = until.is_some_and(|until| until <= now + quiet(record.kind));
        let held = self.records.get(&id);
        let newer =
            held.map(|held| (record.version, &record.value).cmp(&(held.record.version, &held.record.value)));
        // Guards against: a life that is cut short by the copy that was longest on its way.
        let held_until = held.and_then(|held| held.expires_at);
        let longer = held_until.is_some_and(|held| until.is_none_or(|until| until > held));
        let taken = match newer {
            Some(Ordering::Less) => return MergeOutcome::Outdated,
            Some(Ordering::Equal) => {
                if longer && !over {
                    self.set_until(id, until);
                }
                return MergeOutcome::Unchanged;
            }
            _ if over => return MergeOutcome::Expired,
            Some(Ordering::Greater) => MergeOutcome::Replaced,
            None if !self.makes_room(id, &record) => return MergeOutcome::RejectedFull,
            None => MergeOutcome::New,
        };
        self.remove(id);
        let sum = record_checksum(&record);
        self.enter(id, StoredRecord { record, expires_at: until, sum, counted: true });
        taken
    }

    /// Enters one that was not there.
    fn enter(&mut self, id: u64, held: StoredRecord) {
        let (kind, origin, sum) = (held.record.kind, held.record.origin, held.sum);
        self.by_kind.insert((kind, id));
        self.by_origin.insert((kind, origin, id));
        for of in [None, Some(origin)] {
            *self.numbers.entry((kind, of)).or_default() += 1;
        }
        self.records.insert(id, held);
        self.count(id, sum);
        self.look_at(id);
    }

    /// Whether there is room for one that is new, after those with higher ids have gone.
    fn makes_room(&mut self, id: u64, record: &Record) -> bool {
        let (kind, origin) = (record.kind, record.origin);
        let (in_all, of_one) = most(kind);
        let number = |of: Option<u16>| self.numbers.get(&(kind, of)).copied().unwrap_or(0);
        let origins = self.by_origin.range((kind, origin, 0)..=(kind, origin, u64::MAX));
        let kinds = self.by_kind.range((kind, 0)..=(kind, u64::MAX));
        let last = match (number(Some(origin)) >= of_one, number(None) >= in_all) {
            (true, _) => origins.clone().next_back().map(|entry| entry.2),
            (_, true) => kinds.clone().next_back().map(|entry| entry.1),
            _ => return true,
        };
        let higher = last.filter(|&last| last > id);
        self.dropped += 1;
        higher.is_some_and(|last| self.remove(last).is_some())
    }

    /// Takes one away; tells what it was.
    pub fn remove(&mut self, id: u64) -> Option<StoredRecord> {
        let held = self.records.remove(&id)?;
        let (kind, origin) = (held.record.kind, held.record.origin);
        self.by_kind.remove(&(kind, id));
        self.by_origin.remove(&(kind, origin, id));
        for of in [None, Some(origin)] {
            let number = self.numbers.entry((kind, of)).or_default();
            *number -= 1;
            if *number == 0 {
                self.numbers.remove(&(kind, of));
            }
        }
        if let Some(until) = held.expires_at {
            self.ends.remove(&(until.saturating_sub(quiet(held.record.kind)), id));
            self.ends.remove(&(until, id));
        }
        if held.counted {
            self.count(id, held.sum);
        }
        Some(held)
    }

    /// Sets when one's life ends.
    pub fn set_until(&mut self, id: u64, until: Option<Micros>) {
        if let Some(mut held) = self.remove(id) {
            (held.expires_at, held.counted) = (until, true);
            self.enter(id, held);
        }
    }

    fn look_at(&mut self, id: u64) {
        let held = &self.records[&id];
        if let Some(until) = held.expires_at {
            self.ends.insert((until.saturating_sub(quiet(held.record.kind)), id));
        }
    }

    /// Ends what is over; tells what has gone.
    pub fn expire(&mut self, now: Micros) -> Vec<(u64, StoredRecord)> {
        let mut gone = Vec::new();
        while let Some(&(at, id)) = self.ends.first().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, id));
            let Some(held) = self.records.get_mut(&id) else { continue };
            let until = held.expires_at.unwrap_or(Micros::MAX);
            if until <= now {
                gone.extend(self.remove(id).map(|held| (id, held)));
            } else if held.counted {
                held.counted = false;
                let sum = held.sum;
                self.count(id, sum);
                self.ends.insert((until, id));
            }
        }
        gone
    }

    /// Counters one in, or out again.
    fn count(&mut self, id: u64, sum: u32) {
        self.root ^= sum;
        for (level, sums) in (1u32..).zip(&mut self.sums) {
            sums[(id >> (ID_BITS - BRANCH_BITS * level)) as usize] ^= sum;
        }
    }

    /// The sums of the branches below one.
    pub fn sums(&self, level: u8, path: u16) -> Option<[u32; BRANCHES]> {
        let first = usize::from(path) * BRANCHES;
        self.sums.get(usize::from(level))?.get(first..first + BRANCHES)?.try_into().ok()
    }

    /// The ids below a branch: `level` branchings down, this one.
    pub fn span(level: u8, path: u16) -> (u64, u64) {
        let shift = ID_BITS - BRANCH_BITS * u32::from(level);
        let first = u64::from(path) << shift;
        (first, first | ((1 << shift) - 1))
    }

    /// What is told of a span, in order.
    pub fn list(&self, first: u64, last: u64) -> impl Iterator<Item = (u64, u32)> {
        let records = (first <= last).then(|| self.records.range(first..=last));
        let told = records.into_iter().flatten().filter(|(_, held)| held.counted);
        told.map(|(id, held)| (*id, held.sum))
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

    /// In whatever order copies come, and however often.
    #[test]
    fn the_same_records_come_to_the_same_in_any_order_also_at_the_bound() {
        let mut rng = fastrand::Rng::with_seed(1);
        for most in [40, 3_000] {
            let mut all: Vec<Record> = (0..most)
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
                    let until = (record.kind == kind::EVIDENCE).then_some(90 * SEC);
                    store.take(0, record.clone(), until);
                }
                roots.insert((store.root(), store.len()));
                let sums = |level, path| store.sums(level, path).unwrap().into_iter().fold(0, |a, b| a ^ b);
                assert_eq!(sums(0, 0), store.root());
                assert_eq!(sums(2, 0x12), store.sums(1, 1).unwrap()[2]);
                let (first, last) = Store::span(2, 0x12);
                assert_eq!(store.list(first, last).fold(0, |a, b| a ^ b.1), sums(2, 0x12));
            }
            assert_eq!(roots.len(), 1, "{roots:?}");
            assert!(roots.first().unwrap().1 <= 16 * 7 + 256 * 7 + 64 * 7);
        }
    }

    #[test]
    fn a_life_ends_quietly_and_a_copy_that_was_under_way_does_not_cut_it_short() {
        let mut store = Store::new();
        let one = record(kind::ENDPOINT_REPORT, 1, 1, 1);
        assert_eq!(store.take(0, one.clone(), Some(60 * SEC)), MergeOutcome::New);
        assert_eq!(store.take(0, one.clone(), Some(50 * SEC)), MergeOutcome::Unchanged);
        assert_eq!(
            store.get(record_id(kind::ENDPOINT_REPORT, 1, &one.name)).unwrap().expires_at,
            Some(60 * SEC)
        );
        store.expire(56 * SEC);
        assert_eq!((store.len(), store.root()), (1, 0), "held, and told no more");
        assert_eq!(store.take(56 * SEC, one.clone(), Some(58 * SEC)), MergeOutcome::Unchanged);
        assert_eq!(store.expire(60 * SEC).len(), 1);
        assert_eq!(
            store.take(60 * SEC, one.clone(), Some(63 * SEC)),
            MergeOutcome::Expired,
            "not back for its last seconds"
        );
        assert_eq!((store.len(), store.ends.len(), store.by_kind.len()), (0, 0, 0));
    }
}
