//! Which caches rank highest for a key: weighted rendezvous hashing over a table of the listed caches. The
//! table is rebuilt only when the list changes, so that a read costs little however long the list is.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::{ServerId, Settings};
use crate::state::{KindSlowness, Server};

/// The properties of a cache that stay the same until the list changes.
#[derive(Clone, Copy, Debug)]
struct Entry {
    id: ServerId,
    weight: f64,
    /// Index of its kind of machine in [`Ranking::kinds`].
    kind: usize,
    in_own_zone: bool,
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
pub(crate) enum CacheFilter {
    All,
    /// Only those of zones other than this node's.
    OtherZones,
}

/// What affects the ranking besides the hash and the table.
pub(crate) struct RankingInputs<'a> {
    pub settings: &'a Settings,
    pub servers: &'a BTreeMap<ServerId, Server>,
    /// Slowness of the kinds of machines; none where the list states sizes.
    pub kinds: Option<&'a BTreeMap<u32, KindSlowness>>,
    /// Factor on the weight of caches in the own zone.
    pub own_zone_weight: f64,
    pub now: u64,
}

impl Ranking {
    /// A table of the caches in service.
    pub fn new<'a>(caches: impl Iterator<Item = &'a Server>, settings: &Settings, now: u64) -> Ranking {
        let mut ranking = Ranking::default();
        for server in caches {
            let kind = ranking.kind_index(server.member.kind);
            ranking.entries.push(Entry {
                id: server.member.id,
                weight: server.member.weight,
                kind,
                in_own_zone: settings.zone == Some(server.member.zone),
                cold: server.warmth(settings, now) < 1.0,
            });
        }
        ranking
    }

    /// Number of caches.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    fn kind_index(&mut self, kind: u32) -> usize {
        let known = self.kinds.iter().position(|&known| known == kind);
        known.unwrap_or_else(|| {
            self.kinds.push(kind);
            self.kinds.len() - 1
        })
    }

    /// Up to `count` caches that rank highest for a key, the highest first.
    pub fn highest(
        &self,
        key: u64,
        count: usize,
        filter: CacheFilter,
        inputs: &RankingInputs<'_>,
    ) -> Vec<ServerId> {
        let key = key.to_le_bytes();
        // Where the list states no sizes, slow kinds of machines win fewer keys: with equal numbers of keys,
        // a slow kind would be overloaded while a fast one is idle.
        let slowness =
            |kind: &u32| inputs.kinds.and_then(|kinds| kinds.get(kind)).map_or(1.0, |kind| kind.slowness);
        let slowness: Vec<f64> = self.kinds.iter().map(slowness).collect();
        let mut lowest = LowestScores::new(count.min(self.entries.len()));
        for entry in self.entries.iter().filter(|entry| filter == CacheFilter::All || !entry.in_own_zone) {
            let hash = xxh3_64_with_seed(&key, entry.id.0.into());
            let uniform = (hash >> 11) as f64 / (1u64 << 53) as f64 + f64::MIN_POSITIVE;
            // Slow start: a cold cache wins keys in proportion to its warmth, which all nodes compute alike
            // from its start time.
            let warmth = if entry.cold { inputs.warmth(entry.id) } else { 1.0 };
            let zone_weight = if entry.in_own_zone { inputs.own_zone_weight } else { 1.0 };
            // Each cache wins keys in proportion to its weight.
            let weight = (entry.weight * warmth * zone_weight).max(f64::MIN_POSITIVE);
            lowest.offer(uniform, slowness[entry.kind], weight, entry.id);
        }
        lowest.found.into_iter().map(|(_, id)| id).collect()
    }
}

impl RankingInputs<'_> {
    fn warmth(&self, id: ServerId) -> f64 {
        self.servers.get(&id).map_or(1.0, |s| s.warmth(self.settings, self.now))
    }
}

/// The lowest scores of those offered, in ascending order: the lowest score is the highest rank.
struct LowestScores {
    max_len: usize,
    found: Vec<(f64, ServerId)>,
}

impl LowestScores {
    fn new(max_len: usize) -> Self {
        LowestScores { max_len, found: Vec::with_capacity(max_len + 1) }
    }

    /// Adds a cache if its score, `-ln(u) * slowness / weight`, is among the lowest. Since `-ln(u)` is never
    /// less than `1 - u`, the logarithm is computed for few caches only.
    fn offer(&mut self, uniform: f64, slowness: f64, weight: f64, id: ServerId) {
        let full = self.found.len() >= self.max_len;
        let worst = self.found.last().map_or(f64::INFINITY, |worst| worst.0);
        if full && (1.0 - uniform) * slowness / weight > worst {
            return;
        }
        let scored = (-uniform.ln() * slowness / weight, id);
        let position = self.found.partition_point(|other| compare(other, &scored).is_lt());
        if position < self.max_len {
            self.found.insert(position, scored);
            self.found.truncate(self.max_len);
        }
    }
}

/// Orders by score, then by id.
fn compare(one: &(f64, ServerId), other: &(f64, ServerId)) -> Ordering {
    one.0.total_cmp(&other.0).then(one.1.cmp(&other.1))
}
