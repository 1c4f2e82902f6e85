//! Which caches hold which keys, as far as our own traffic has told: plain data and statistics, bounded. No decision
//! is made here.

use std::collections::HashMap;

use crate::api::*;

/// Keys that one generation remembers; two are kept, and the elder is dropped whole.
const REMEMBERED: usize = 8192;
/// Caches that are remembered of one key.
const CACHES_OF_A_KEY: usize = 8;
/// A key was last seen at a cache within this time, or twice, four times... as long: so many steps.
const STEP: Micros = 500_000;
const STEPS: usize = 8;
/// The part of reads that found their key, before any was seen: where it was seen before, ...
const FOUND_SEEN: f64 = 0.95;
/// ... and where it was not, by [`Standing`].
const FOUND_UNSEEN: [f64; 3] = [0.75, 0.5, 0.5];
/// Caches keep a key for as long as this part of reads find it.
const KEPT: f64 = 0.5;
/// Reads over which a part is reckoned.
const MEMORY: f64 = 64.0;

/// How a cache stands to a key that was not seen there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Standing {
    /// The first of the key's set, where its reads go unless something speaks against it.
    Home,
    /// Another of the set.
    Spare,
    /// One of a zone that has a price.
    Far,
}

/// What is known of a key at a cache; see [`Holders::known`].
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Known(usize);

/// What is remembered of a key.
#[derive(Default)]
struct Memory {
    /// When it was last asked for here.
    asked: Option<Micros>,
    /// The caches that held it, and when that was last seen.
    held: Vec<(ServerId, Micros)>,
}

/// Which caches hold which keys, and how often that knowledge proved right.
pub(crate) struct Holders {
    young: HashMap<u64, Memory>,
    old: HashMap<u64, Memory>,
    /// The part of reads that found their key, by what was known of it.
    found: [f64; STEPS + FOUND_UNSEEN.len()],
}

impl Holders {
    pub fn new() -> Self {
        let mut found = [FOUND_SEEN; STEPS + FOUND_UNSEEN.len()];
        found[STEPS..].copy_from_slice(&FOUND_UNSEEN);
        Holders { young: HashMap::new(), old: HashMap::new(), found }
    }

    fn recall(&self, key: u64) -> Option<&Memory> {
        self.young.get(&key).or_else(|| self.old.get(&key))
    }

    fn remember(&mut self, key: u64) -> &mut Memory {
        if !self.young.contains_key(&key) && self.young.len() >= REMEMBERED {
            self.old = std::mem::take(&mut self.young);
        }
        let old = &mut self.old;
        self.young.entry(key).or_insert_with(|| old.remove(&key).unwrap_or_default())
    }

    /// What is known of a key at a cache.
    pub fn known(&self, key: u64, at: ServerId, standing: Standing, now: Micros) -> Known {
        let seen = self.recall(key).and_then(|m| m.held.iter().find(|h| h.0 == at));
        Known(seen.map_or(STEPS + standing as usize, |h| step(now.saturating_sub(h.1))))
    }

    /// The chance that a cache holds a key, by what is known.
    pub fn chance(&self, known: Known) -> f64 {
        self.found[known.0]
    }

    /// A read found its key, or not, where so much was known of it.
    pub fn told(&mut self, known: Known, found: bool) {
        let part = &mut self.found[known.0];
        *part += (f64::from(u8::from(found)) - *part) / MEMORY;
    }

    /// The key is held there now.
    pub fn hold(&mut self, key: u64, at: ServerId, now: Micros) {
        let held = &mut self.remember(key).held;
        held.retain(|h| h.0 != at);
        if held.len() >= CACHES_OF_A_KEY {
            held.remove(0); // the one seen longest ago
        }
        held.push((at, now));
    }

    /// The key is not held there; nor anywhere, once it was written.
    pub fn lack(&mut self, key: u64, at: Option<ServerId>) {
        for memory in [self.young.get_mut(&key), self.old.get_mut(&key)].into_iter().flatten() {
            memory.held.retain(|h| at.is_some_and(|at| h.0 != at));
        }
    }

    /// Notes that the key is asked for; tells whether it was before, within the time that caches keep keys.
    pub fn asked(&mut self, key: u64, now: Micros) -> bool {
        let kept = self.kept();
        let before = self.remember(key).asked.replace(now);
        before.is_some_and(|before| now.saturating_sub(before) <= kept)
    }

    /// How long caches keep a key that nobody asks for, at least.
    fn kept(&self) -> Micros {
        let steps = self.found[..STEPS].iter().take_while(|&&found| found > KEPT).count();
        STEP << steps >> 1
    }
}

/// The step of an age: 0 up to `STEP`, then one more at each doubling.
fn step(age: Micros) -> usize {
    (age / STEP).checked_ilog2().map_or(0, |n| n as usize + 1).min(STEPS - 1)
}

#[cfg(test)]
mod tests;
