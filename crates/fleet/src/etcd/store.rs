//! The stand-in's key-value store: keys with revisions, leases and compaction, without I/O; callers pass the time.
//!
//! It follows etcd's public documentation ("etcd v3 API", "Data model"): each change raises the revision by one, the
//! changes of a transaction share one revision, and revisions older than the compacted revision can't be read.

use std::collections::{BTreeMap, BTreeSet};

use lilacquay_etcd::api::compare::{CompareResult, CompareTarget, TargetUnion};
use lilacquay_etcd::api::event::EventType;
use lilacquay_etcd::api::request_op::Request;
use lilacquay_etcd::api::{Compare, Event, KeyValue, RangeResponse, RequestOp, ResponseHeader};

use crate::clock::Micros;

/// Why a call fails; the variants match errors of etcd.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The revision has been compacted.
    Compacted,
    /// The revision is newer than the newest one.
    FutureRevision,
    /// There is no lease with this id.
    LeaseNotFound,
    /// A transaction changes the same key twice.
    DuplicateKey,
}

/// The store with all its keys, leases and history. A clone serves as a backup.
#[derive(Debug, Clone)]
pub struct Store {
    cluster_id: u64,
    revision: i64,
    compacted_revision: i64,
    /// The events since the compacted revision, by revision.
    events: BTreeMap<i64, Vec<Event>>,
    /// The keys at the newest revision.
    keys: BTreeMap<Vec<u8>, KeyValue>,
    /// The keys at the compacted revision.
    keys_at_compaction: BTreeMap<Vec<u8>, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    last_lease: i64,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Micros,
    expires_at: Micros,
    keys: BTreeSet<Vec<u8>>,
}

/// A range of keys as in etcd's API: its first key and its exclusive end. An empty end selects the first key only, an end
/// of one zero byte all keys from the first on.
type Range<'a> = (&'a [u8], &'a [u8]);

pub(super) fn is_in_range(key: &[u8], (from, end): Range) -> bool {
    match end {
        [] => key == from,
        [0] => key >= from,
        _ => key >= from && key < end,
    }
}

impl Store {
    /// An empty store, at revision 1 like a new etcd.
    pub fn new(cluster_id: u64) -> Self {
        Store {
            cluster_id,
            revision: 1,
            compacted_revision: 0,
            events: BTreeMap::new(),
            keys: BTreeMap::new(),
            keys_at_compaction: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease: 0,
        }
    }

    /// The newest revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The compacted revision, which is the oldest that can be read; 0 if nothing was compacted.
    pub fn compacted_revision(&self) -> i64 {
        self.compacted_revision
    }

    /// The header of a response made at the newest revision.
    pub fn header(&self) -> ResponseHeader {
        ResponseHeader { cluster_id: self.cluster_id, member_id: 1, revision: self.revision, raft_term: 2 }
    }

    /// The newest entry of a key.
    pub fn get(&self, key: &[u8]) -> Option<&KeyValue> {
        self.keys.get(key)
    }

    /// Writes a key, attached to a lease unless that is 0; returns the new revision.
    ///
    /// # Errors
    /// If the lease does not exist.
    pub fn put(&mut self, key: &[u8], value: &[u8], lease: i64) -> Result<i64, StoreError> {
        self.apply(&[Change::Put { key, value, lease: Some(lease) }])
    }

    /// Deletes a key; returns the newest revision, which does not change if the key does not exist.
    pub fn delete(&mut self, key: &[u8]) -> i64 {
        self.apply(&[Change::Delete((key, b""))]).unwrap_or(self.revision)
    }

    /// Applies several changes in one revision; returns the newest revision.
    ///
    /// # Errors
    /// If a key is changed twice or a lease does not exist; then no change is made.
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
                    if seen.iter().any(|key| is_in_range(key, *range)) {
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
                    let keys: Vec<_> =
                        self.keys.keys().filter(|key| is_in_range(key, range)).cloned().collect();
                    events.extend(keys.into_iter().map(|key| self.remove(revision, key)));
                }
            }
        }
        if !events.is_empty() {
            self.revision = revision;
            self.events.insert(revision, events);
        }
        Ok(self.revision)
    }

    /// Removes a key and writes it again in one revision. etcd itself never produces such events; a watcher should
    /// handle them nevertheless.
    pub fn remove_and_put(&mut self, key: &[u8], value: &[u8]) -> i64 {
        let revision = self.revision + 1;
        let mut events = Vec::new();
        if self.keys.contains_key(key) {
            events.push(self.remove(revision, key.to_vec()));
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

    fn remove(&mut self, revision: i64, key: Vec<u8>) -> Event {
        self.keys.remove(&key);
        self.leases.values_mut().for_each(|lease| _ = lease.keys.remove(&key));
        let kv = KeyValue { key, mod_revision: revision, ..KeyValue::default() };
        Event { r#type: EventType::Delete.into(), kv: Some(kv) }
    }

    /// Reads keys at a revision, 0 for the newest. As in etcd, the header has the newest revision.
    ///
    /// # Errors
    /// If the revision is compacted or newer than the newest one.
    pub fn range(&self, range: Range, revision: i64, limit: i64) -> Result<RangeResponse, StoreError> {
        let old_keys;
        let keys = match revision {
            revision if revision > self.revision => return Err(StoreError::FutureRevision),
            revision if revision <= 0 || revision == self.revision => &self.keys,
            revision => {
                old_keys = self.keys_at(revision)?;
                &old_keys
            }
        };
        let found = keys.values().filter(|kv| is_in_range(&kv.key, range));
        let count = found.clone().count();
        let max_keys = if limit > 0 { limit as usize } else { usize::MAX };
        let kvs: Vec<_> = found.take(max_keys).cloned().collect();
        let more = kvs.len() < count;
        Ok(RangeResponse { header: Some(self.header()), kvs, more, count: count as i64 })
    }

    /// The keys at a revision.
    ///
    /// # Errors
    /// If it is compacted.
    pub fn keys_at(&self, revision: i64) -> Result<BTreeMap<Vec<u8>, KeyValue>, StoreError> {
        if revision < self.compacted_revision {
            return Err(StoreError::Compacted);
        }
        let mut keys = self.keys_at_compaction.clone();
        let events = self.events.range(..=revision).flat_map(|(_, events)| events);
        events.for_each(|event| apply_event(&mut keys, event));
        Ok(keys)
    }

    /// The events from revision `start` on, grouped by revision.
    ///
    /// # Errors
    /// If some of them are compacted.
    pub fn events_since(&self, start: i64) -> Result<impl Iterator<Item = &Vec<Event>>, StoreError> {
        if start <= self.compacted_revision && start > 0 {
            return Err(StoreError::Compacted);
        }
        Ok(self.events.range(start..).map(|(_, events)| events))
    }

    /// Discards the history before a revision.
    ///
    /// # Errors
    /// If the revision is compacted already, or newer than the newest one.
    pub fn compact(&mut self, revision: i64) -> Result<(), StoreError> {
        if revision <= self.compacted_revision {
            return Err(StoreError::Compacted);
        }
        if revision > self.revision {
            return Err(StoreError::FutureRevision);
        }
        let later = self.events.split_off(&(revision + 1));
        let past = std::mem::replace(&mut self.events, later);
        past.values().flatten().for_each(|event| apply_event(&mut self.keys_at_compaction, event));
        self.compacted_revision = revision;
        Ok(())
    }

    /// Whether all comparisons of a transaction hold.
    pub fn comparisons_hold(&self, comparisons: &[Compare]) -> bool {
        let missing = KeyValue::default();
        comparisons.iter().all(|compare| {
            let kv = self.keys.get(&compare.key).unwrap_or(&missing);
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

    /// Applies the puts and deletes among a transaction's operations, in one revision; returns the newest revision.
    ///
    /// # Errors
    /// As [`Store::apply`]; then no change is made.
    pub fn txn(&mut self, ops: &[RequestOp]) -> Result<i64, StoreError> {
        let to_change = |op: &'_ RequestOp| match op.request.clone()? {
            Request::RequestPut(put) => {
                Some((put.key, Some((put.value, put.lease, put.ignore_lease)), vec![]))
            }
            Request::RequestDeleteRange(delete) => Some((delete.key, None, delete.range_end)),
            Request::RequestRange(_) => None,
        };
        let ops: Vec<_> = ops.iter().filter_map(to_change).collect();
        let changes: Vec<Change> = ops
            .iter()
            .map(|(key, put, end)| match put {
                Some((value, lease, ignore_lease)) => {
                    let lease = (!ignore_lease).then_some(*lease);
                    Change::Put { key, value, lease }
                }
                None => Change::Delete((key, end)),
            })
            .collect();
        self.apply(&changes)
    }

    /// Grants a lease for `ttl` from `now` on; returns its id.
    pub fn grant_lease(&mut self, now: Micros, ttl: Micros) -> i64 {
        self.last_lease += 1;
        let lease = Lease { ttl, expires_at: now + ttl, keys: BTreeSet::new() };
        self.leases.insert(self.last_lease, lease);
        self.last_lease
    }

    /// Renews a lease; returns its time to live from `now` on, or `None` if it does not exist.
    pub fn renew_lease(&mut self, now: Micros, id: i64) -> Option<Micros> {
        let lease = self.leases.get_mut(&id)?;
        lease.expires_at = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Revokes a lease and deletes its keys, in one revision.
    ///
    /// # Errors
    /// If the lease does not exist.
    pub fn revoke_lease(&mut self, id: i64) -> Result<(), StoreError> {
        let lease = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        let changes: Vec<_> = lease.keys.iter().map(|key| Change::Delete((key, b""))).collect();
        self.apply(&changes).map(drop)
    }

    /// Revokes the leases that have expired by `now`.
    pub fn expire_leases(&mut self, now: Micros) {
        let expired: Vec<i64> =
            self.leases.iter().filter(|(_, lease)| lease.expires_at <= now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| _ = self.revoke_lease(id));
    }
}

/// One change of a transaction.
#[derive(Debug, Clone, Copy)]
pub enum Change<'a> {
    /// Writes a key.
    Put {
        /// The key.
        key: &'a [u8],
        /// Its new value.
        value: &'a [u8],
        /// The id of its new lease, 0 to detach it; `None` keeps its present lease.
        lease: Option<i64>,
    },
    /// Deletes the keys in a range.
    Delete(Range<'a>),
}

fn apply_event(keys: &mut BTreeMap<Vec<u8>, KeyValue>, event: &Event) {
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
    fn an_old_revision_can_be_read_until_it_is_compacted() {
        let mut store = Store::new(1);
        let all: Range = (b"a", b"z");
        assert_eq!(store.put(b"a", b"1", 0), Ok(2));
        assert_eq!(store.put(b"b", b"1", 0), Ok(3));
        assert_eq!(store.delete(b"a"), 4);
        assert_eq!(store.delete(b"a"), 4, "deleting a missing key makes no revision");
        let keys = |response: RangeResponse| response.kvs.into_iter().map(|kv| kv.key).collect::<Vec<_>>();
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
    fn an_expired_lease_deletes_all_its_keys_in_one_revision() {
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
    fn a_transaction_makes_one_revision_or_no_change() {
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
