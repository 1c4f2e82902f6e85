//! Which caches hold which keys, as far as this node's own requests have shown: plain data and statistics of
//! bounded size. No decision is made here. Times are in microseconds.

use std::collections::HashMap;

use crate::api::*;

/// Keys that one generation remembers; two generations are kept, and the older one is dropped as a whole.
const KEYS_PER_GENERATION: usize = 8192;
/// The most caches that are remembered of one key.
const MAX_HOLDERS_PER_KEY: usize = 8;
/// Width of the first age bucket: the key was last seen at the cache less than this long ago. Each further
/// bucket reaches twice as far.
const FIRST_AGE_BUCKET_US: Micros = 500_000;
/// Number of age buckets; the last one has no upper limit.
const AGE_BUCKETS: usize = 8;
/// Initial hit ratio of lookups at a cache where the key was seen before, ...
const INITIAL_HIT_RATIO_SEEN: f64 = 0.95;
/// ... and where it was not, by [`CandidateRole`].
const INITIAL_HIT_RATIO_UNSEEN: [f64; 3] = [0.75, 0.5, 0.5];
/// Caches are considered to keep keys up to the age at which the hit ratio falls to this.
const KEPT_HIT_RATIO: f64 = 0.5;
/// Number of lookups over which a hit ratio is averaged.
const HIT_RATIO_SAMPLES: f64 = 64.0;

/// Role of a cache that a key was not seen at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CandidateRole {
    /// The first of the key's candidates, where its reads go by default.
    Primary,
    /// Another candidate.
    Secondary,
    /// A candidate in another zone, where crossing costs more than 1 % of a read's worth.
    OtherZone,
}

/// What is known of a key at a cache, as an index of a hit ratio: the age bucket of the time when it was
/// last seen there, or else the role of the cache. See [`KeyHolders::hit_bucket`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct HitBucket(usize);

/// What is remembered of a key.
#[derive(Default)]
struct KeyRecord {
    /// When it was last requested at this node.
    requested_at: Option<Micros>,
    /// The caches that held it, and when that was last seen; the latest is last.
    holders: Vec<(ServerId, Micros)>,
}

/// Which caches hold which keys, and how often that knowledge was right.
pub(crate) struct KeyHolders {
    current: HashMap<u64, KeyRecord>,
    previous: HashMap<u64, KeyRecord>,
    /// The fraction of lookups that hit, by [`HitBucket`].
    hit_ratios: [f64; AGE_BUCKETS + INITIAL_HIT_RATIO_UNSEEN.len()],
}

impl KeyHolders {
    pub fn new() -> Self {
        let mut hit_ratios = [INITIAL_HIT_RATIO_SEEN; AGE_BUCKETS + INITIAL_HIT_RATIO_UNSEEN.len()];
        hit_ratios[AGE_BUCKETS..].copy_from_slice(&INITIAL_HIT_RATIO_UNSEEN);
        KeyHolders { current: HashMap::new(), previous: HashMap::new(), hit_ratios }
    }

    fn key_record(&self, key: u64) -> Option<&KeyRecord> {
        self.current.get(&key).or_else(|| self.previous.get(&key))
    }

    fn key_record_mut(&mut self, key: u64) -> &mut KeyRecord {
        if !self.current.contains_key(&key) && self.current.len() >= KEYS_PER_GENERATION {
            self.previous = std::mem::take(&mut self.current);
        }
        let previous = &mut self.previous;
        self.current.entry(key).or_insert_with(|| previous.remove(&key).unwrap_or_default())
    }

    /// What is known of a key at a cache.
    pub fn hit_bucket(&self, key: u64, cache: ServerId, role: CandidateRole, now: Micros) -> HitBucket {
        let seen = self.key_record(key).and_then(|r| r.holders.iter().find(|h| h.0 == cache));
        HitBucket(seen.map_or(AGE_BUCKETS + role as usize, |h| age_bucket(now.saturating_sub(h.1))))
    }

    /// The probability that a cache holds a key, by what is known of it.
    pub fn hit_probability(&self, bucket: HitBucket) -> f64 {
        self.hit_ratios[bucket.0]
    }

    /// Records whether a lookup hit.
    pub fn record_lookup(&mut self, bucket: HitBucket, hit: bool) {
        let ratio = &mut self.hit_ratios[bucket.0];
        *ratio += (f64::from(u8::from(hit)) - *ratio) / HIT_RATIO_SAMPLES;
    }

    /// Notes that a cache holds the key now.
    pub fn add_holder(&mut self, key: u64, cache: ServerId, now: Micros) {
        let holders = &mut self.key_record_mut(key).holders;
        holders.retain(|h| h.0 != cache);
        if holders.len() >= MAX_HOLDERS_PER_KEY {
            holders.remove(0); // the one seen longest ago
        }
        holders.push((cache, now));
    }

    /// Notes that a cache does not hold the key, or that none does: a write invalidates it everywhere.
    pub fn remove_holder(&mut self, key: u64, cache: Option<ServerId>) {
        for record in [self.current.get_mut(&key), self.previous.get_mut(&key)].into_iter().flatten() {
            record.holders.retain(|h| cache.is_some_and(|cache| h.0 != cache));
        }
    }

    /// Notes that the key is requested; returns whether it was requested before, within the time for which
    /// caches keep keys.
    pub fn record_request(&mut self, key: u64, now: Micros) -> bool {
        let retention = self.min_retention();
        let before = self.key_record_mut(key).requested_at.replace(now);
        before.is_some_and(|before| now.saturating_sub(before) <= retention)
    }

    /// How long caches keep a key that is not requested, at least.
    fn min_retention(&self) -> Micros {
        let kept = |&&ratio: &&f64| ratio > KEPT_HIT_RATIO;
        let buckets = self.hit_ratios[..AGE_BUCKETS].iter().take_while(kept).count();
        FIRST_AGE_BUCKET_US << buckets >> 1
    }
}

/// The bucket of an age: 0 below `FIRST_AGE_BUCKET_US`, then one more at each doubling.
fn age_bucket(age: Micros) -> usize {
    (age / FIRST_AGE_BUCKET_US).checked_ilog2().map_or(0, |n| n as usize + 1).min(AGE_BUCKETS - 1)
}

#[cfg(test)]
mod tests;
