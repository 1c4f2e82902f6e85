//! Evidence of slow servers: what each node has observed of servers by its own requests.
//!
//! A node publishes only its own observations, never what it received, so that an observation never counts as
//! confirmed by copies of itself. The slowness that is believed of a server is the second worst that any other node has
//! observed, so that one node that is ill, cut off or lies has no effect.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut};
use lilacquay_codec::replica::MAX_NAME_BYTES;

use crate::store::{StoredRecord, record_id};
use crate::{Micros, Replica, kind};

/// How long a record of evidence lives.
pub const EVIDENCE_TTL_US: Micros = 10_000_000;
/// While the observation holds, its record is renewed after this time.
const RENEWAL_INTERVAL_US: Micros = 4_000_000;
/// Most servers that one node reports, the slowest first.
const MAX_REPORTED_SERVERS: usize = 8;
/// The least slowness that is reported, as a multiple of the usual answer time.
pub const MIN_REPORTED_SLOWNESS: f64 = 2.0;
/// The highest slowness that is reported and believed; a server that does not answer at all counts as this slow.
pub const MAX_SLOWNESS: f64 = 6.0;

/// What a node has observed of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct SlownessObservation {
    /// The server's name.
    pub server: String,
    /// Its answer times relative to those of all caches; 1 is usual.
    pub slowness: f64,
}

/// Publishes what this node has observed itself.
pub fn publish(
    replica: &mut Replica,
    now: Micros,
    own_index: u16,
    mut observations: Vec<SlownessObservation>,
) {
    observations.retain(|observation| {
        observation.slowness >= MIN_REPORTED_SLOWNESS && observation.server.len() <= MAX_NAME_BYTES
    });
    observations.sort_by(|a, b| b.slowness.total_cmp(&a.slowness).then(a.server.cmp(&b.server)));
    for SlownessObservation { server, slowness } in observations.into_iter().take(MAX_REPORTED_SERVERS) {
        let previous = replica.record(record_id(kind::EVIDENCE, own_index, server.as_bytes()));
        let is_recent = previous
            .and_then(|stored| stored.expires_at)
            .is_some_and(|expires_at| expires_at > now + EVIDENCE_TTL_US - RENEWAL_INTERVAL_US);
        if !is_recent {
            let mut value = Vec::with_capacity(2);
            value.put_u16((slowness.min(MAX_SLOWNESS) * 100.0) as u16);
            replica.write(now, kind::EVIDENCE, server.as_bytes(), value, Some(EVIDENCE_TTL_US));
        }
    }
}

/// The server, the origin and the slowness of a record of evidence.
fn read(stored: &StoredRecord) -> Option<(&str, u16, f64)> {
    let mut body = &stored.record.value[..];
    let server = std::str::from_utf8(&stored.record.name).ok()?;
    (body.len() >= 2).then(|| (server, stored.record.origin, f64::from(body.get_u16()) / 100.0))
}

/// The servers that at least two other nodes have observed to be slow, with the second highest slowness of each.
pub fn corroborated(replica: &Replica, own_index: u16) -> BTreeMap<String, f64> {
    let mut highest: BTreeMap<&str, [f64; 2]> = BTreeMap::new();
    for (server, origin, slowness) in replica.records_of_kind(kind::EVIDENCE).filter_map(read) {
        if origin != own_index && slowness.is_finite() {
            let two = highest.entry(server).or_default();
            let slowness = slowness.clamp(0.0, MAX_SLOWNESS);
            *two = if slowness > two[0] { [slowness, two[0]] } else { [two[0], two[1].max(slowness)] };
        }
    }
    let slow = highest.into_iter().filter(|(_, two)| two[1] >= MIN_REPORTED_SLOWNESS);
    slow.map(|(server, two)| (server.to_owned(), two[1])).collect()
}
