//! The store: keys with revisions, leases and compaction, without I/O or clock.
//!
//! As the public documentation words it ("etcd v3 API", "Data model"): each change raises the revision by one,
//! the changes of a transaction share one, and what is older than the compacted revision can't be read.

use std::collections::{BTreeMap, BTreeSet};

use lilacquay_etcd::api::compare::{CompareResult, CompareTarget, TargetUnion};
use lilacquay_etcd::api::event::EventType;
use lilacquay_etcd::api::request_op::Request;
use lilacquay_etcd::api::{Compare, Event, KeyValue, RangeResponse, RequestOp, ResponseHeader};

use crate::clock::Micros;

/// Why a call fails; the words are etcd's.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The revision has been compacted.
    Compacted,
    /// The revision is still to come.
    FutureRevision,
    /// No such lease.
    LeaseNotFound,
    /// A key stands twice in a transaction.
    DuplicateKey,
}

/// A whole store. A clone is a backup.
#[derive(Debug, Clone)]
pub struct Store {
    cluster: u64,
    revision: i64,
    compacted: i64,
    /// All that happened since the compacted revision, by revision.
    events: BTreeMap<i64, Vec<Event>>,
    /// The keys as they are now.
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// The keys as they were at the compacted revision.
    base: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Micros,
    ends: Micros,
    keys: BTreeSet<Vec<u8>>,
}

type Range<'a> = (&'a [u8], &'a [u8]);

pub(super) fn within(key: &[u8], (from, end): Range) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        _ => key >= from && key < end,
    }
}

impl Store {
    /// An empty store, at revision 1 as a new etcd is.
    pub fn new(cluster: u64) -> Self {
        Store {
            cluster,
            revision: 1,
            compacted: 0,
            events: BTreeMap::new(),
            keys: BTreeMap::new(),
            base: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }

    /// The newest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The oldest revision that can be read.
    pub fn compacted_revision(&self) -> i64 {
        self.compacted
    }

    /// The header of an answer that is made now.
    pub fn header(&self) -> ResponseHeader {
        ResponseHeader { cluster_id: self.cluster, member_id: 1, revision: self.revision, raft_term: 2 }
    }

    /// What is stored under a key.
    pub fn get(&self, key: &[u8]) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    /// Writes a key; 0 is no lease. Tells the revision.
    ///
    /// # Errors
    /// If there is no such lease.
    pub fn put(&mut self, key: &[u8], value: &[u8], lease: i64) -> Result<i64, StoreError> {
        self.apply(&[Change::Put { key, value, lease: Some(lease) }])
    }

    /// Deletes a key; no revision comes of one that isn't there.
    pub fn delete(&mut self, key: &[u8]) -> i64 {
        self.apply(&[Change::Delete((key, b""))]).unwrap_or(self.revision)
    }

    /// Does several changes in one revision.
    ///
    /// # Errors
    /// Without any change made.
    pub fn apply(&mut self, changes: &[Change]) -> Result<i64, StoreError> {
        let mut seen = BTreeSet::new();
        for change in changes {
            match change {
                Change::Put { key, lease, .. } => {
                    if !seen.insert(*key) {
                        return Err(StoreError::DuplicateKey);
                    }
                    if lease.is_some_and(|id| id != 0 && !self.leases.contains_key(&id)) {
                        return Err(StoreError::LeaseNotFound);
                    }
                }
                Change::Delete(range) => {
                    if seen.iter().any(|key| within(key, *range)) {
                        return Err(StoreError::DuplicateKey);
                    }
                }
            }
        }
        let revision = self.revision + 1;
        let mut events = Vec::new();
        for change in changes {
            match *change {
                Change::Put { key, value, lease } => events.push(self.write(revision, key, value, lease)),
                Change::Delete(range) => {
                    let keys: Vec<_> = self.keys.keys().filter(|key| within(key, range)).cloned().collect();
                    events.extend(keys.into_iter().map(|key| self.strike(revision, key)));
                }
            }
        }
        if !events.is_empty() {
            self.revision = revision;
            self.events.insert(revision, events);
        }
        Ok(self.revision)
    }

    /// Makes what etcd itself never makes: events of one revision that remove a key and write it again.
    pub fn remove_and_put(&mut self, key: &[u8], value: &[u8]) -> i64 {
        let revision = self.revision + 1;
        let mut events = Vec::new();
        if self.keys.contains_key(key) {
            events.push(self.strike(revision, key.to_vec()));
        }
        events.push(self.write(revision, key, value, Some(0)));
        self.revision = revision;
        self.events.insert(revision, events);
        revision
    }

    fn write(&mut self, revision: i64, key: &[u8], value: &[u8], lease: Option<i64>) -> Event {
        let old = self.keys.get(key);
        let lease = lease.unwrap_or_else(|| old.map_or(0, |old| old.lease));
        let kv = KeyValue {
            key: key.to_vec(),
            create_revision: old.map_or(revision, |old| old.create_revision),
            mod_revision: revision,
            version: old.map_or(1, |old| old.version + 1),
            value: value.to_vec(),
            lease,
        };
        self.leases.values_mut().for_each(|lease| _ = lease.keys.remove(key));
        if let Some(lease) = self.leases.get_mut(&lease) {
            lease.keys.insert(key.to_vec());
        }
        self.keys.insert(key.to_vec(), kv.clone());
        Event { r#type: EventType::Put.into(), kv: Some(kv) }
    }

    fn strike(&mut self, revision: i64, key: Vec<u8>) -> Event {
        self.keys.remove(&key);
        self.leases.values_mut().for_each(|lease| _ = lease.keys.remove(&key));
        let kv = KeyValue { key, mod_revision: revision, ..KeyValue::default() };
        Event { r#type: EventType::Delete.into(), kv: Some(kv) }
    }

    /// Reads keys at a revision, 0 for the newest. The header is of now, as etcd's.
    ///
    /// # Errors
    /// If the revision can't be read.
    pub fn range(&self, range: Range, revision: i64, limit: i64) -> Result<RangeResponse, StoreError> {
        let old;
        let keys = match revision {
            revision if revision > self.revision => return Err(StoreError::FutureRevision),
            revision if revision <= 0 || revision == self.revision => &self.keys,
            revision => {
                old = self.keys_at(revision)?;
                &old
            }
        };
        let found = keys.values().filter(|kv| within(&kv.key, range));
        let count = found.clone().count();
        let most = if limit > 0 { limit as usize } else { usize::MAX };
        let kvs: Vec<_> = found.take(most).cloned().collect();
        let more = kvs.len() < count;
        Ok(RangeResponse { header: Some(self.header()), kvs, more, count: count as i64 })
    }

    /// The keys as they were at a revision.
    ///
    /// # Errors
    /// If it is compacted.
    pub fn keys_at(&self, revision: i64) -> Result<BTreeMap<Vec<u8>, KeyValue>, StoreError> {
        if revision < self.compacted {
            return Err(StoreError::Compacted);
        }
        let mut keys = self.base.clone();
        let events = self.events.range(..=revision).flat_map(|(_, events)| events);
        events.for_each(|event| replay(&mut keys, event));
        Ok(keys)
    }

    /// The events from a revision on, by revision.
    ///
    /// # Errors
    /// If some of them are compacted.
    pub fn events_since(&self, start: i64) -> Result<impl Iterator<Item = &Vec<Event>>, StoreError> {
        if start <= self.compacted && start > 0 {
            return Err(StoreError::Compacted);
        }
        Ok(self.events.range(start..).map(|(_, events)| events))
    }

    /// Forgets what was before a revision.
    ///
    /// # Errors
    /// If that is forgotten already, or still to come.
    pub fn compact(&mut self, revision: i64) -> Result<(), StoreError> {
        if revision <= self.compacted {
            return Err(StoreError::Compacted);
        }
        if revision > self.revision {
            return Err(StoreError::FutureRevision);
        }
        let later = self.events.split_off(&(revision + 1));
        let past = std::mem::replace(&mut self.events, later);
        past.values().flatten().for_each(|event| replay(&mut self.base, event));
        self.compacted = revision;
        Ok(())
    }

    /// Whether all these comparisons hold.
    pub fn comparisons_hold(&self, compares: &[Compare]) -> bool {
        let none = KeyValue::default();
        compares.iter().all(|compare| {
            let kv = self.keys.get(&compare.key).unwrap_or(&none);
            let order = match (compare.target(), &compare.target_union) {
                (CompareTarget::Version, Some(TargetUnion::Version(n))) => kv.version.cmp(n),
                (CompareTarget::Create, Some(TargetUnion::CreateRevision(n))) => kv.create_revision.cmp(n),
                (CompareTarget::Mod, Some(TargetUnion::ModRevision(n))) => kv.mod_revision.cmp(n),
                (CompareTarget::Value, Some(TargetUnion::Value(value))) => kv.value.cmp(value),
                (CompareTarget::Lease, Some(TargetUnion::Lease(n))) => kv.lease.cmp(n),
                _ => return false,
            };
            match compare.result() {
                CompareResult::Equal => order.is_eq(),
                CompareResult::Greater => order.is_gt(),
                CompareResult::Less => order.is_lt(),
                CompareResult::NotEqual => order.is_ne(),
            }
        })
    }

    /// Does the changes among a transaction's operations, in one revision.
    ///
    /// # Errors
    /// Without any change made.
    pub fn txn(&mut self, ops: &[RequestOp]) -> Result<i64, StoreError> {
        let change = |op: &'_ RequestOp| match op.request.clone()? {
            Request::RequestPut(put) => {
                Some((put.key, Some((put.value, put.lease, put.ignore_lease)), vec![]))
            }
            Request::RequestDeleteRange(delete) => Some((delete.key, None, delete.range_end)),
            Request::RequestRange(_) => None,
        };
        let ops: Vec<_> = ops.iter().filter_map(change).collect();
        let changes: Vec<Change> = ops
            .iter()
            .map(|(key, put, end)| match put {
                Some((value, lease, kept)) => {
                    let lease = (!kept).then_some(*lease);
                    Change::Put { key, value, lease }
                }
                None => Change::Delete((key, end)),
            })
            .collect();
        self.apply(&changes)
    }

    /// Grants a lease; tells its id.
    pub fn grant_lease(&mut self, now: Micros, ttl: Micros) -> i64 {
        self.last_lease += 1;
        let lease = Lease { ttl, ends: now + ttl, keys: BTreeSet::new() };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease; tells the time that it has from now, nothing if it is gone.
    pub fn renew_lease(&mut self, now: Micros, id: i64) -> Option<Micros> {
        let lease = self.leases.get_mut(&id)?;
        lease.ends = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and deletes its keys, in one revision.
    ///
    /// # Errors
    /// If there is none.
    pub fn revoke_lease(&mut self, id: i64) -> Result<(), StoreError> {
        let lease = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let changes: Vec<_> = lease.keys.iter().map(|key| Change::Delete((key, b""))).collect();
        self.apply(&changes).map(drop)
    }

    /// Ends the leases that have run out.
    pub fn expire_leases(&mut self, now: Micros) {
        let over: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| lease.ends <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| _ = self.revoke_lease(id));
    }
}

/// A change of a transaction.
#[derive(Debug, Clone, Copy)]
pub enum Change<'a> {
    /// Writes a key; without a lease named it keeps its own.
    Put {
        /// The key.
        key: &'a [u8],
        /// Its value.
        value: &'a [u8],
        /// Its lease, 0 for none.
        lease: Option<i64>,
    },
    /// Deletes the keys of a range.
    Delete(Range<'a>),
}

fn replay(keys: &mut BTreeMap<Vec<u8>, KeyValue>, event: &Event) {
    let Some(kv) = &event.kv else { return };
    match event.r#type() {
        EventType::Put => drop(keys.insert(kv.key.clone(), kv.clone())),
        EventType::Delete => drop(keys.remove(&kv.key)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_revision_is_read_as_it_was_until_it_is_compacted() {
        let mut store = Store::new(1);
        let all: Range = (b"a", b"z");
        assert_eq!(store.put(b"a", b"1", 0), Ok(2));
        assert_eq!(store.put(b"b", b"1", 0), Ok(3));
        assert_eq!(store.delete(b"a"), 4);
        assert_eq!(store.delete(b"a"), 4, "nothing there, no revision");
        let keys = |told: RangeResponse| told.kvs.into_iter().map(|kv| kv.key).collect::<Vec<_>>();
        assert_eq!(store.range(all, 3, 0).map(keys), Ok(vec![b"a".to_vec(), b"b".to_vec()]));
        let first = store.range(all, 3, 1).unwrap();
        assert!(first.more && first.count == 2 && first.header.unwrap().revision == 4);
        assert_eq!(store.range(all, 5, 0).map(keys), Err(StoreError::FutureRevision));
        assert_eq!(store.events_since(3).unwrap().count(), 2);
        store.compact(3).unwrap();
        assert_eq!(store.compact(3), Err(StoreError::Compacted));
        assert!(store.events_since(3).is_err() && store.events_since(4).is_ok());
        assert!(store.range(all, 2, 0).is_err() && store.range(all, 3, 0).is_ok());
        assert_eq!(store.range(all, 0, 0).map(keys), Ok(vec![b"b".to_vec()]));
    }

    #[test]
    fn a_lease_takes_its_keys_along_in_one_revision() {
        let mut store = Store::new(1);
        let lease = store.grant_lease(0, 10);
        store.put(b"a", b"1", lease).unwrap();
        store.put(b"b", b"1", lease).unwrap();
        assert_eq!(store.put(b"c", b"1", 77), Err(StoreError::LeaseNotFound));
        assert_eq!(store.renew_lease(5, lease), Some(10));
        store.expire_leases(14);
        assert_eq!(store.revision(), 3);
        store.expire_leases(15);
        assert_eq!((store.revision(), store.keys.len()), (4, 0));
        assert_eq!(store.renew_lease(16, lease), None);
    }

    #[test]
    fn a_transaction_is_one_revision_or_none() {
        let mut store = Store::new(1);
        let put = |key| Change::Put { key, value: b"1", lease: Some(0) };
        assert_eq!(store.apply(&[put(b"a"), put(b"b")]), Ok(2));
        assert_eq!(store.apply(&[put(b"a"), put(b"a")]), Err(StoreError::DuplicateKey));
        assert_eq!(store.apply(&[put(b"a"), Change::Delete((b"a", b"c"))]), Err(StoreError::DuplicateKey));
        let compare = |revision| Compare {
            result: CompareResult::Equal.into(),
            target: CompareTarget::Mod.into(),
            key: b"a".to_vec(),
            target_union: Some(TargetUnion::ModRevision(revision)),
        };
        assert!(store.comparisons_hold(&[compare(2)]) && !store.comparisons_hold(&[compare(1)]));
        assert_eq!(store.remove_and_put(b"a", b"2"), 3);
        assert_eq!(store.events_since(3).unwrap().map(Vec::len).sum::<usize>(), 2);
    }
}
