//! Which caches rank highest for a key: weighted rendezvous hashing over a table of the list that is made anew with
//! each change of the list, so that a read costs little whatever the list's length.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::{ServerId, Settings};
use crate::state::{Pace, Server};

/// What of a cache stays the same until the list changes.
#[derive(Clone, Copy, Debug)]
struct Entry {
    id: ServerId,
    weight: f64,
    /// The place of its kind of machine among all kinds.
    kind: usize,
    /// Whether it is in the own zone.
    near: bool,
    /// Whether it was in slow start when the list changed.
    cold: bool,
}

/// The caches in service.
#[derive(Debug, Default)]
pub(crate) struct Ranking {
    entries: Vec<Entry>,
    kinds: Vec<u32>,
}

/// Which caches are ranked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    All,
    /// Those of other zones.
    Far,
}

/// What counts beside the hash.
pub(crate) struct Terms<'a> {
    pub settings: &'a Settings,
    pub servers: &'a BTreeMap<ServerId, Server>,
    /// How slow kinds of machines are; none where the list tells sizes.
    pub kinds: Option<&'a BTreeMap<u32, Pace>>,
    /// What the own zone counts for.
    pub nearness: f64,
    pub now: u64,
}

impl Ranking {
    /// A table of the caches of a list that are in service.
    pub fn new<'a>(caches: impl Iterator<Item = &'a Server>, settings: &Settings, now: u64) -> Ranking {
        let mut ranking = Ranking::default();
        for s in caches {
            let kind = ranking.kind(s.member.kind);
            ranking.entries.push(Entry {
                id: s.member.id,
                weight: s.member.weight,
                kind,
                near: settings.zone == Some(s.member.zone),
                cold: s.warmth(settings, now) < 1.0,
            });
        }
        ranking
    }

    /// How many caches there are.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn kind(&mut self, kind: u32) -> usize {
        let known = self.kinds.iter().position(|&known| known == kind);
        known.unwrap_or_else(|| {
            self.kinds.push(kind);
            self.kinds.len() - 1
        })
    }

    /// So many caches that rank highest for a key, the highest first.
    pub fn highest(&self, key: u64, most: usize, part: Part, terms: &Terms<'_>) -> Vec<ServerId> {
        let key = key.to_le_bytes();
        // Guards against: a slow kind that jams while a quick one idles, where no sizes are listed.
        let slowness =
            |kind: &u32| terms.kinds.and_then(|kinds| kinds.get(kind)).map_or(1.0, |pace| pace.slowness);
        let slowness: Vec<f64> = self.kinds.iter().map(slowness).collect();
        let mut highest = Highest::new(most.min(self.entries.len()));
        for entry in self.entries.iter().filter(|entry| part == Part::All || !entry.near) {
            let hash = xxh3_64_with_seed(&key, entry.id.0.into());
            let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64 + f64::MIN_POSITIVE;
            // Slow start: a cold cache wins keys by its warmth, which all nodes reckon alike from its start.
            let warmth = if entry.cold { terms.warmth(entry.id) } else { 1.0 };
            let near = if entry.near { terms.nearness } else { 1.0 };
            // Each cache wins keys in proportion to its weight.
            let weight = (entry.weight * warmth * near).max(f64::MIN_POSITIVE);
            highest.offer(uniform, slowness[entry.kind], weight, entry.id);
        }
        highest.found.into_iter().map(|(_, id)| id).collect()
    }
}

impl Terms<'_> {
    fn warmth(&self, id: ServerId) -> f64 {
        self.servers.get(&id).map_or(1.0, |s| s.warmth(self.settings, self.now))
    }
}

/// The least scores of those offered, in order.
struct Highest {
    most: usize,
    found: Vec<(f64, ServerId)>,
}

impl Highest {
    fn new(most: usize) -> Self {
        Highest { most, found: Vec::with_capacity(most + 1) }
    }

    /// Takes a cache if its score, `-ln(u)` in parts of its weight, is among the least. That is never less than `1 - u`,
    /// so that the logarithm is reckoned for few.
    fn offer(&mut self, uniform: f64, slowness: f64, weight: f64, id: ServerId) {
        let full = self.found.len() >= self.most;
        let worst = self.found.last().map_or(f64::INFINITY, |worst| worst.0);
        if full && (1.0 - uniform) * slowness / weight > worst {
            return;
        }
        let scored = (-uniform.ln() * slowness / weight, id);
        let place = self.found.partition_point(|other| order(other, &scored).is_lt());
        if place < self.most {
            self.found.insert(place, scored);
            self.found.truncate(self.most);
        }
    }
}

fn order(one: &(f64, ServerId), other: &(f64, ServerId)) -> Ordering {
    one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
}
