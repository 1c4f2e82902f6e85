//! Reports that a server drains or is gone, from nodes whose own server list said so.
//!
//! A report from another node can only exclude a server, for a time; no node uses a server that its own list does not
//! name. A report applies to the start of the server that it was made for, and only against a list that is older than the
//! report. How many servers may be excluded is bounded by how many nodes report them, so that a node that lies or is ill
//! cannot empty the lists of others.

use std::collections::{BTreeMap, BTreeSet};

use bytes::{Buf, BufMut};
use lilacquay_codec::replica::MAX_NAME_BYTES;

use crate::store::StoredRecord;
use crate::{Micros, Replica, kind};

/// How long a report lives. A node whose list source is silent for longer detects that by its own rules.
pub const REPORT_TTL_US: Micros = 60_000_000;
/// A node does not publish a report that at least this many nodes have published.
const SUFFICIENT_REPORTS: usize = 3;
/// Length of a report's value, in bytes.
const VALUE_BYTES: usize = 17;

/// A server, as a node's own list has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerEntry {
    /// Whether it serves; otherwise it drains.
    pub serves: bool,
    /// When it last started, Unix time in milliseconds; 0 means long ago.
    pub started_ms: u64,
}

/// The server list of this node's own source.
#[derive(Debug, Clone, Default)]
pub struct LocalServerList {
    /// By name. The origin is not among them: nothing could replace it.
    servers: BTreeMap<String, ServerEntry>,
    version: u64,
}

/// A server that an update of the list has withdrawn from service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WithdrawnServer {
    /// The server's name.
    pub server: String,
    /// When it last started, Unix time in milliseconds.
    pub started_ms: u64,
    /// Whether it drains; otherwise it is gone.
    pub drains: bool,
}

impl LocalServerList {
    /// Applies an update of the node's own source: the full list, or what has changed. Returns which servers it has
    /// withdrawn; the first list withdraws none.
    pub fn apply_update(
        &mut self,
        is_full: bool,
        version: Option<u64>,
        list: impl IntoIterator<Item = (String, Option<ServerEntry>)>,
    ) -> Vec<WithdrawnServer> {
        let is_first = self.servers.is_empty();
        let replaced = if is_full { std::mem::take(&mut self.servers) } else { BTreeMap::new() };
        let mut withdrawn = Vec::new();
        for (server, entry) in list {
            let previous = match is_full {
                true => replaced.get(&server).copied(),
                false => self.servers.get(&server).copied(),
            };
            let is_withdrawn = previous.filter(|previous| previous.serves).is_some()
                && entry.is_none_or(|entry| !entry.serves);
            if is_withdrawn {
                let started_ms = entry.or(previous).map_or(0, |entry| entry.started_ms);
                withdrawn.push(WithdrawnServer {
                    server: server.clone(),
                    started_ms,
                    drains: entry.is_some(),
                });
            }
            match entry {
                Some(entry) => _ = self.servers.insert(server, entry),
                None => _ = self.servers.remove(&server),
            }
        }
        let missing = replaced.into_iter().filter(|(server, _)| !self.servers.contains_key(server));
        withdrawn.extend(missing.filter(|(_, previous)| previous.serves).map(|(server, previous)| {
            WithdrawnServer { server, started_ms: previous.started_ms, drains: false }
        }));
        self.version = version.unwrap_or(0).max(if is_full { 0 } else { self.version });
        if is_first { Vec::new() } else { withdrawn }
    }

    /// How many servers the list has.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether the list has no server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// What one node reports of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct EndpointReport {
    drains: bool,
    /// The version of the list that said so; 0 if it had none.
    version: u64,
    started_ms: u64,
}

impl EndpointReport {
    fn encode(self) -> Vec<u8> {
        let mut value = Vec::with_capacity(VALUE_BYTES);
        value.put_u8(u8::from(self.drains));
        value.put_u64(self.version);
        value.put_u64(self.started_ms);
        value
    }

    /// The server, the origin and the report of a record.
    fn read(stored: &StoredRecord) -> Option<(&str, u16, EndpointReport)> {
        let mut body = &stored.record.value[..];
        let server = std::str::from_utf8(&stored.record.name).ok()?;
        let report = (body.len() >= VALUE_BYTES).then(|| EndpointReport {
            drains: body.get_u8() > 0,
            version: body.get_u64(),
            started_ms: body.get_u64(),
        });
        Some((server, stored.record.origin, report?))
    }
}

/// Publishes which servers the node's own list has withdrawn, unless enough others have reported them.
pub fn publish(replica: &mut Replica, now: Micros, own: &LocalServerList, withdrawn: &[WithdrawnServer]) {
    for WithdrawnServer { server, started_ms, drains } in withdrawn {
        let is_same = |stored: &&StoredRecord| {
            EndpointReport::read(stored).is_some_and(|(reported_server, _, report)| {
                reported_server == server && report.started_ms == *started_ms
            })
        };
        let reports = replica.records_of_kind(kind::ENDPOINT_REPORT).filter(is_same).count();
        if reports < SUFFICIENT_REPORTS && server.len() <= MAX_NAME_BYTES {
            let report = EndpointReport { drains: *drains, version: own.version, started_ms: *started_ms };
            replica.write(
                now,
                kind::ENDPOINT_REPORT,
                server.as_bytes(),
                report.encode(),
                Some(REPORT_TTL_US),
            );
        }
    }
}

/// How many of `servers` may be excluded on the reports of `observers` nodes. One node: 5 %, two: 20 %,
/// each at least one server; three or more: half.
fn max_excluded(observers: usize, servers: usize) -> usize {
    match observers {
        0 => 0,
        1 => (servers / 20).max(1),
        2 => (servers / 5).max(1),
        _ => servers / 2,
    }
}

/// The servers that are excluded on the reports of other nodes.
pub fn excluded_servers(replica: &Replica, own_index: u16, own: &LocalServerList) -> BTreeSet<String> {
    let mut observers: BTreeMap<&str, BTreeSet<u16>> = BTreeMap::new();
    for (server, origin, report) in
        replica.records_of_kind(kind::ENDPOINT_REPORT).filter_map(EndpointReport::read)
    {
        let entry = own.servers.get(server).filter(|entry| entry.serves);
        let is_same_start = entry.is_some_and(|entry| entry.started_ms == report.started_ms);
        let is_newer = own.version == 0 || report.version == 0 || report.version > own.version;
        if origin != own_index && is_same_start && is_newer {
            observers.entry(server).or_default().insert(origin);
        }
    }
    let mut reported: Vec<(usize, &str)> =
        observers.into_iter().map(|(server, by)| (by.len(), server)).collect();
    reported.sort_by_key(|&(count, server)| (std::cmp::Reverse(count), server));
    let mut excluded = BTreeSet::new();
    for (count, server) in reported {
        if excluded.len() < max_excluded(count, own.servers.len()) {
            excluded.insert(server.to_owned());
        }
    }
    excluded
}
