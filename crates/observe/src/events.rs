//! What has happened at a node, in a ring of its own bound.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// The longest text, in bytes; what is longer is cut.
const LONGEST: usize = 500;

/// Something that has happened.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Its number, from 1, without gaps.
    pub number: u64,
    /// When, Unix time in milliseconds.
    pub at_ms: u64,
    /// How grave: `ERROR`, `WARN` or `INFO`.
    pub level: String,
    /// What.
    pub text: String,
}

/// What a reader is told.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventBatch {
    /// Events behind the one that was last seen, in order.
    pub events: Vec<Event>,
    /// How many between are no longer there.
    pub missed: u64,
}

/// The latest events, so many at most.
#[derive(Debug)]
pub struct Events {
    most: usize,
    last: u64,
    ring: VecDeque<Event>,
}

impl Events {
    /// Room for so many; for one at least.
    pub fn new(most: usize) -> Self {
        Events { most: most.max(1), last: 0, ring: VecDeque::new() }
    }

    /// Notes one; the oldest makes room.
    pub fn record(&mut self, at_ms: u64, level: &str, mut text: String) {
        if text.len() > LONGEST {
            let cut = (0..=LONGEST).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
            text.truncate(cut);
            text.push('…');
        }
        if self.ring.len() >= self.most {
            self.ring.pop_front();
        }
        self.last += 1;
        self.ring.push_back(Event { number: self.last, at_ms, level: level.into(), text });
    }

    /// The number of the latest; 0 if there is none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// What came behind an event that was seen, so many at most. A number that was never given, as by a node before
    /// this one, counts as none seen.
    pub fn after(&self, seen: u64, most: usize) -> EventBatch {
        let seen = if seen > self.last { 0 } else { seen };
        let first = self.last - self.ring.len() as u64 + 1;
        let missed = first.saturating_sub(seen + 1);
        let skip = (seen + 1).saturating_sub(first) as usize;
        EventBatch { events: self.ring.iter().skip(skip).take(most).cloned().collect(), missed }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reader_gets_each_event_once_in_order_and_hears_how_many_it_has_missed() {
        let mut rng = fastrand::Rng::with_seed(7);
        let (mut events, mut seen, mut told) = (Events::new(10), 0, 0);
        for round in 0..2_000u64 {
            for _ in 0..rng.u64(0..20) {
                events.record(round, "INFO", format!("{}", events.last() + 1));
            }
            let news = events.after(seen, rng.usize(1..15));
            told += news.missed + news.events.len() as u64;
            let numbers: Vec<u64> = news.events.iter().map(|event| event.number).collect();
            assert!(
                numbers.iter().enumerate().all(|(n, &number)| number == seen + news.missed + 1 + n as u64)
            );
            assert!(news.events.iter().all(|event| event.text == event.number.to_string()));
            seen = numbers.last().copied().unwrap_or(seen);
            assert_eq!(told, seen);
        }
        assert!(told > 10_000);
        assert_eq!(events.after(events.last() + 5, 3).events.len(), 3, "the number of another node");
    }

    #[test]
    fn a_long_text_is_cut_between_characters() {
        let mut events = Events::new(2);
        events.record(0, "WARN", "é".repeat(1_000));
        let text = &events.after(0, 1).events[0].text;
        assert!(text.len() <= LONGEST + 3 && text.ends_with("é…"));
    }
}
