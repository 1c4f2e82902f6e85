//! Word that a server drains or is gone, from a node whose own list said so.
//!
//! Hearsay may only take away: a server is left out for it, for a time, and none is sent to that the node's own list has not
//! named. It counts for the start of the server that it is of, and only against a list that is older than it. How much it
//! may take away is bounded by how many have seen it, so that no node that lies or is ill empties the lists of others.

use std::collections::{BTreeMap, BTreeSet};

use bytes::{Buf, BufMut};
use lilacquay_codec::replica::MAX_NAME_BYTES;

use crate::store::Held;
use crate::{Micros, Replica, kind};

/// Word lives for so long: a list that is silent for longer is found out by the module's own rules.
pub const LIFE: Micros = 60_000_000;
/// A node says nothing that so many have said.
const ENOUGH: usize = 3;
const BODY: usize = 17;

/// A server, as a node's own list has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listed {
    /// Whether it serves; else it drains.
    pub serves: bool,
    /// When it last started, Unix time in milliseconds; 0 is long ago.
    pub started_ms: u64,
}

/// What a node's own list says.
#[derive(Debug, Clone, Default)]
pub struct OwnList {
    /// By name. Without the origin: nothing could stand in for it.
    servers: BTreeMap<String, Listed>,
    version: u64,
}

/// What a list has taken away.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The server.
    pub server: String,
    /// Its start.
    pub started_ms: u64,
    /// It drains; else it is gone.
    pub drains: bool,
}

impl OwnList {
    /// Goes by a list of the node's own source, whole or what has changed; tells what it has taken away. The first list
    /// takes nothing away.
    pub fn told(
        &mut self,
        full: bool,
        version: Option<u64>,
        list: impl IntoIterator<Item = (String, Option<Listed>)>,
    ) -> Vec<Ended> {
        let first = self.servers.is_empty();
        let before = if full { std::mem::take(&mut self.servers) } else { BTreeMap::new() };
        let mut ended = Vec::new();
        for (server, listed) in list {
            let was = match full {
                true => before.get(&server).copied(),
                false => self.servers.get(&server).copied(),
            };
            let ends = was.filter(|was| was.serves).is_some() && listed.is_none_or(|is| !is.serves);
            if ends {
                let started_ms = listed.or(was).map_or(0, |listed| listed.started_ms);
                ended.push(Ended { server: server.clone(), started_ms, drains: listed.is_some() });
            }
            match listed {
                Some(listed) => _ = self.servers.insert(server, listed),
                None => _ = self.servers.remove(&server),
            }
        }
        let missing = before.into_iter().filter(|(server, _)| !self.servers.contains_key(server));
        ended.extend(missing.filter(|(_, was)| was.serves).map(|(server, was)| Ended {
            server,
            started_ms: was.started_ms,
            drains: false,
        }));
        self.version = version.unwrap_or(0).max(if full { 0 } else { self.version });
        if first { Vec::new() } else { ended }
    }

    /// How many servers it names.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether it names none.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

/// What one node says of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Word {
    drains: bool,
    /// The version of the list that said so, 0 if it had none.
    version: u64,
    started_ms: u64,
}

impl Word {
    fn value(self) -> Vec<u8> {
        let mut value = Vec::with_capacity(BODY);
        value.put_u8(u8::from(self.drains));
        value.put_u64(self.version);
        value.put_u64(self.started_ms);
        value
    }

    fn read(held: &Held) -> Option<(&str, u16, Word)> {
        let mut body = &held.record.value[..];
        let server = std::str::from_utf8(&held.record.name).ok()?;
        let word = (body.len() >= BODY).then(|| Word {
            drains: body.get_u8() > 0,
            version: body.get_u64(),
            started_ms: body.get_u64(),
        });
        Some((server, held.record.origin, word?))
    }
}

/// Says what the node's own list has taken away, unless enough others have said it.
pub fn say(replica: &mut Replica, now: Micros, own: &OwnList, ended: &[Ended]) {
    for Ended { server, started_ms, drains } in ended {
        let same = |held: &&Held| {
            Word::read(held).is_some_and(|(of, _, word)| of == server && word.started_ms == *started_ms)
        };
        let said = replica.of_kind(kind::WORD).filter(same).count();
        if said < ENOUGH && server.len() <= MAX_NAME_BYTES {
            let word = Word { drains: *drains, version: own.version, started_ms: *started_ms };
            replica.write(now, kind::WORD, server.as_bytes(), word.value(), Some(LIFE));
        }
    }
}

/// How many of so many servers may be left out on the word of so many nodes.
fn bound(observers: usize, servers: usize) -> usize {
    match observers {
        0 => 0,
        1 => (servers / 20).max(1),
        2 => (servers / 5).max(1),
        _ => servers / 2,
    }
}

/// Which servers are left out, on the word of others.
pub fn left_out(replica: &Replica, me: u16, own: &OwnList) -> BTreeSet<String> {
    let mut observers: BTreeMap<&str, BTreeSet<u16>> = BTreeMap::new();
    for (server, origin, word) in replica.of_kind(kind::WORD).filter_map(Word::read) {
        let listed = own.servers.get(server).filter(|listed| listed.serves);
        let same_start = listed.is_some_and(|listed| listed.started_ms == word.started_ms);
        let newer = own.version == 0 || word.version == 0 || word.version > own.version;
        if origin != me && same_start && newer {
            observers.entry(server).or_default().insert(origin);
        }
    }
    let mut said: Vec<(usize, &str)> = observers.into_iter().map(|(server, by)| (by.len(), server)).collect();
    said.sort_by_key(|&(by, server)| (std::cmp::Reverse(by), server));
    let mut out = BTreeSet::new();
    for (by, server) in said {
        if out.len() < bound(by, own.servers.len()) {
            out.insert(server.to_owned());
        }
    }
    out
}
