//! The LRU store of a cache box, and a model of its capacity after a cold start. Neither does I/O or reads a clock.

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::clock::Micros;

/// Versions by key, up to a number of bytes; the least recently used entries are evicted first.
pub struct Store {
    capacity_bytes: usize,
    used_bytes: usize,
    /// Counts uses; orders entries by their last use.
    use_counter: u64,
    /// By key: its version, and the count of its last use.
    entries: HashMap<String, (u64, u64)>,
    keys_by_use: BTreeMap<u64, String>,
}

/// Bytes that an entry takes besides its key.
const ENTRY_OVERHEAD_BYTES: usize = 64;

impl Store {
    /// An empty store of `capacity_bytes`.
    pub fn new(capacity_bytes: usize) -> Self {
        Store {
            capacity_bytes,
            used_bytes: 0,
            use_counter: 0,
            entries: HashMap::new(),
            keys_by_use: BTreeMap::new(),
        }
    }

    /// The stored version of a key, which counts as a use.
    pub fn get(&mut self, key: &str) -> Option<u64> {
        self.use_counter += 1;
        let (version, used) = self.entries.get_mut(key)?;
        let owned_key = self.keys_by_use.remove(used).expect("each entry has its key in keys_by_use");
        *used = self.use_counter;
        self.keys_by_use.insert(self.use_counter, owned_key);
        Some(*version)
    }

    /// Stores a version of a key, and evicts the least recently used entries beyond the capacity.
    pub fn put(&mut self, key: &str, version: u64) {
        self.remove(key);
        self.use_counter += 1;
        self.used_bytes += key.len() + ENTRY_OVERHEAD_BYTES;
        self.entries.insert(key.to_owned(), (version, self.use_counter));
        self.keys_by_use.insert(self.use_counter, key.to_owned());
        while self.used_bytes > self.capacity_bytes {
            let Some((_, oldest)) = self.keys_by_use.first_key_value() else { return };
            let oldest = oldest.clone();
            self.remove(&oldest);
        }
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        if let Some((_, used)) = self.entries.remove(key) {
            self.keys_by_use.remove(&used);
            self.used_bytes -= key.len() + ENTRY_OVERHEAD_BYTES;
        }
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no keys.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The capacity of a box after a cold start: a fraction that grows linearly until the box is warm. A box that is sent
/// more than a multiple of it for a while fails.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdStart {
    /// Time after which the box is warm, in microseconds.
    pub duration: Micros,
    /// Fraction of its full capacity that it starts with.
    pub initial_capacity: f64,
    /// The box fails when it is sent more than this multiple of its current capacity ...
    pub overload_factor: f64,
    /// ... summed over this time, in microseconds.
    pub overload_window: Micros,
}

/// The current capacity of one box, and the work that it was sent within the overload window.
pub struct ColdStartState {
    cold_start: ColdStart,
    cores: f64,
    /// When the box started cold; `None` if it was warm from the start.
    started: Option<Micros>,
    /// Times and amounts of the work sent, both in microseconds.
    sent_work: VecDeque<(Micros, Micros)>,
}

impl ColdStartState {
    /// The state of a box with `cores` cores that started cold at `started`, or warm.
    pub fn new(cold_start: ColdStart, cores: usize, started: Option<Micros>) -> Self {
        ColdStartState { cold_start, cores: cores as f64, started, sent_work: VecDeque::new() }
    }

    /// The fraction of its full capacity that it has at a time.
    pub fn capacity(&self, now: Micros) -> f64 {
        let age = self.started.map(|started| now.saturating_sub(started));
        match age.filter(|&age| age < self.cold_start.duration) {
            Some(age) => {
                self.cold_start.initial_capacity
                    + (1.0 - self.cold_start.initial_capacity) * age as f64 / self.cold_start.duration as f64
            }
            None => 1.0,
        }
    }

    /// Adds work that the box was sent, in microseconds of one core. Returns whether that overloads it.
    pub fn add_work(&mut self, now: Micros, work: Micros) -> bool {
        let capacity = self.capacity(now);
        if capacity >= 1.0 {
            self.sent_work.clear();
            return false;
        }
        self.sent_work.push_back((now, work));
        while self.sent_work.front().is_some_and(|(at, _)| at + self.cold_start.overload_window < now) {
            self.sent_work.pop_front();
        }
        let sent: Micros = self.sent_work.iter().map(|(_, work)| work).sum();
        sent as f64
            > self.cold_start.overload_factor * capacity * self.cores * self.cold_start.overload_window as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_store_evicts_the_least_recently_used_key_beyond_its_capacity() {
        let mut store = Store::new(3 * (ENTRY_OVERHEAD_BYTES + 1));
        for key in ["a", "b", "c"] {
            store.put(key, 1);
        }
        assert_eq!(store.get("a"), Some(1));
        store.put("d", 2);
        assert_eq!((store.get("b"), store.get("a"), store.get("d")), (None, Some(1), Some(2)));
        store.remove("a");
        assert_eq!((store.get("a"), store.len()), (None, 2));
        store.put("d", 3);
        assert_eq!((store.get("d"), store.len()), (Some(3), 2));
    }

    #[test]
    fn a_cold_box_fails_under_overload_and_a_warm_one_does_not() {
        let cold_start = ColdStart {
            duration: 20_000_000,
            initial_capacity: 0.2,
            overload_factor: 3.0,
            overload_window: 1_000_000,
        };
        let mut state = ColdStartState::new(cold_start.clone(), 2, Some(0));
        assert!((state.capacity(10_000_000) - 0.6).abs() < 1e-9);
        assert_eq!((state.capacity(0), state.capacity(20_000_000)), (0.2, 1.0));
        // Three times 0.2 of two cores for a second are 1.2 s of work.
        let failed: Vec<bool> = (0..13).map(|n| state.add_work(n, 100_000)).collect();
        assert_eq!(failed.iter().position(|&failed| failed), Some(12));
        assert!(!state.add_work(2_000_000, 100_000), "work sent before the overload window is not counted");
        let mut warm = ColdStartState::new(cold_start, 2, None);
        assert!((0..1000).all(|n| !warm.add_work(n, 100_000)));
    }
}
