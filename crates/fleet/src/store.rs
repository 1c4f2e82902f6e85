//! What a cache box keeps, and what it can take while it is cold. No I/O, no clock.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::clock::Micros;

/// Keys with the version that was stored, up to so many bytes; those used longest ago go first.
pub struct Store {
    most: usize,
    held: usize,
    clock: u64,
    entries: HashMap<String, (u64, u64)>,
    by_use: BTreeMap<u64, String>,
}

/// What an entry takes beside its key, in bytes.
const ENTRY: usize = 64;

impl Store {
    /// An empty store of so many bytes.
    pub fn new(most: usize) -> Self {
        Store { most, held: 0, clock: 0, entries: HashMap::new(), by_use: BTreeMap::new() }
    }

    /// The version kept of a key; it counts as used.
    pub fn get(&mut self, key: &str) -> Option<u64> {
        self.clock += 1;
        let (version, used) = self.entries.get_mut(key)?;
        let name = self.by_use.remove(used).expect("each entry has its place");
        *used = self.clock;
        self.by_use.insert(self.clock, name);
        Some(*version)
    }

    /// Keeps a key in that version.
    pub fn put(&mut self, key: &str, version: u64) {
        self.forget(key);
        self.clock += 1;
        self.held += key.len() + ENTRY;
        self.entries.insert(key.to_owned(), (version, self.clock));
        self.by_use.insert(self.clock, key.to_owned());
        while self.held > self.most {
            let Some((_, oldest)) = self.by_use.first_key_value() else { return };
            let oldest = oldest.clone();
            self.forget(&oldest);
        }
    }

    /// Forgets a key.
    pub fn forget(&mut self, key: &str) {
        if let Some((_, used)) = self.entries.remove(key) {
            self.by_use.remove(&used);
            self.held -= key.len() + ENTRY;
        }
    }

    /// How many keys are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// What a box that has started cold can take: a share of its capacity that grows evenly until it is warm. Sent
/// more than a multiple of that for some time, it falls over.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdStart {
    /// It is warm after this time.
    pub duration: Micros,
    /// The part of its capacity that it starts with.
    pub initial_capacity: f64,
    /// It falls when sent this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Micros,
}

/// The warmth of one box, and the work that it was sent lately.
pub struct Warmth {
    cold: ColdStart,
    cores: f64,
    /// When it started; none was warm from the beginning.
    started: Option<Micros>,
    sent: VecDeque<(Micros, Micros)>,
}

impl Warmth {
    /// A box of so many cores.
    pub fn new(cold: ColdStart, cores: usize, started: Option<Micros>) -> Self {
        Warmth { cold, cores: cores as f64, started, sent: VecDeque::new() }
    }

    /// The part of its capacity that it has.
    pub fn share(&self, now: Micros) -> f64 {
        let age = self.started.map(|started| now.saturating_sub(started));
        match age.filter(|&age| age < self.cold.duration) {
            Some(age) => {
                self.cold.initial_capacity
                    + (1.0 - self.cold.initial_capacity) * age as f64 / self.cold.duration as f64
            }
            None => 1.0,
        }
    }

    /// Notes work sent to it, in microseconds of one core; tells whether that pushes it over.
    pub fn push(&mut self, now: Micros, work: Micros) -> bool {
        let share = self.share(now);
        if share >= 1.0 {
            self.sent.clear();
            return false;
        }
        self.sent.push_back((now, work));
        while self.sent.front().is_some_and(|(at, _)| at + self.cold.overload_window < now) {
            self.sent.pop_front();
        }
        let sent: Micros = self.sent.iter().map(|(_, work)| work).sum();
        sent as f64 > self.cold.overload_factor * share * self.cores * self.cold.overload_window as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_store_keeps_what_was_used_last_within_its_bytes() {
        let mut store = Store::new(3 * (ENTRY + 1));
        for key in ["a", "b", "c"] {
            store.put(key, 1);
        }
        assert_eq!(store.get("a"), Some(1));
        store.put("d", 2);
        assert_eq!((store.get("b"), store.get("a"), store.get("d")), (None, Some(1), Some(2)));
        store.forget("a");
        assert_eq!((store.get("a"), store.len()), (None, 2));
        store.put("d", 3);
        assert_eq!((store.get("d"), store.len()), (Some(3), 2));
    }

    #[test]
    fn a_cold_box_falls_when_pushed_and_a_warm_one_does_not() {
        let cold = ColdStart {
            duration: 20_000_000,
            initial_capacity: 0.2,
            overload_factor: 3.0,
            overload_window: 1_000_000,
        };
        let mut warmth = Warmth::new(cold.clone(), 2, Some(0));
        assert!((warmth.share(10_000_000) - 0.6).abs() < 1e-9);
        assert_eq!((warmth.share(0), warmth.share(20_000_000)), (0.2, 1.0));
        // Three times 0.2 of two cores for a second are 1.2 s of work.
        let fell: Vec<bool> = (0..13).map(|n| warmth.push(n, 100_000)).collect();
        assert_eq!(fell.iter().position(|&fell| fell), Some(12));
        assert!(!warmth.push(2_000_000, 100_000), "what was sent long ago is forgotten");
        let mut warm = Warmth::new(cold, 2, None);
        assert!((0..1000).all(|n| !warm.push(n, 100_000)));
    }
}
