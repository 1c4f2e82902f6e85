//! What nodes have seen of servers by their own requests: which are slow, and which answer nothing.
//!
//! Each tells its own sight alone, never what it was told, so that no rumour feeds itself. What is believed of a server is
//! the second worst that any have seen: one that is ill, cut off or lies moves nobody.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut};
use lilacquay_codec::replica::MAX_NAME_BYTES;

use crate::store::{Held, id_of};
use crate::{Micros, Replica, kind};

/// Evidence lives for so long, and is told again after so long while it holds.
pub const LIFE: Micros = 10_000_000;
const AGAIN: Micros = 4_000_000;
/// Servers that one node tells of, the worst first.
const MOST: usize = 8;
/// So many times slower than others, a server is told of; one that answers nothing counts as the last.
pub const SLOW: f64 = 2.0;
/// The most that is told, and believed.
pub const SILENT: f64 = 6.0;

/// What a node has seen of a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Seen {
    /// Its name.
    pub server: String,
    /// Its answer times in comparison with all caches, 1 being usual.
    pub slowness: f64,
}

/// Tells what this node sees by itself.
pub fn say(replica: &mut Replica, now: Micros, me: u16, mut seen: Vec<Seen>) {
    seen.retain(|seen| seen.slowness >= SLOW && seen.server.len() <= MAX_NAME_BYTES);
    seen.sort_by(|a, b| b.slowness.total_cmp(&a.slowness).then(a.server.cmp(&b.server)));
    for Seen { server, slowness } in seen.into_iter().take(MOST) {
        let before = replica.record(id_of(kind::EVIDENCE, me, server.as_bytes()));
        let lately = before.and_then(|held| held.until).is_some_and(|until| until > now + LIFE - AGAIN);
        if !lately {
            let mut value = Vec::with_capacity(2);
            value.put_u16((slowness.min(SILENT) * 100.0) as u16);
            replica.write(now, kind::EVIDENCE, server.as_bytes(), value, Some(LIFE));
        }
    }
}

fn read(held: &Held) -> Option<(&str, u16, f64)> {
    let mut body = &held.record.value[..];
    let server = std::str::from_utf8(&held.record.name).ok()?;
    (body.len() >= 2).then(|| (server, held.record.origin, f64::from(body.get_u16()) / 100.0))
}

/// What is believed of servers, on the sight of others: how much slower than others each is.
pub fn believed(replica: &Replica, me: u16) -> BTreeMap<String, f64> {
    let mut worst: BTreeMap<&str, [f64; 2]> = BTreeMap::new();
    for (server, origin, slowness) in replica.of_kind(kind::EVIDENCE).filter_map(read) {
        if origin != me && slowness.is_finite() {
            let two = worst.entry(server).or_default();
            let slowness = slowness.clamp(0.0, SILENT);
            *two = if slowness > two[0] { [slowness, two[0]] } else { [two[0], two[1].max(slowness)] };
        }
    }
    let believed = worst.into_iter().filter(|(_, two)| two[1] >= SLOW);
    believed.map(|(server, two)| (server.to_owned(), two[1])).collect()
}
