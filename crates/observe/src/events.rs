//! The latest events of a node, in a bounded ring buffer.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

/// Maximum length of an event's text, in bytes; longer texts are truncated.
const MAX_TEXT_BYTES: usize = 500;

/// Something that happened at a node.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// Sequence number, consecutive from 1.
    pub number: u64,
    /// Unix time of the event, in milliseconds.
    pub at_ms: u64,
    /// Severity: `ERROR`, `WARN` or `INFO`.
    pub level: String,
    /// Description of the event.
    pub text: String,
}

/// Events returned to a reader.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventBatch {
    /// Events after the one that the reader saw last, in order.
    pub events: Vec<Event>,
    /// Number of events before these that the reader has not seen and that are no longer kept.
    pub missed: u64,
}

/// A ring buffer of the latest events.
#[derive(Debug)]
pub struct Events {
    capacity: usize,
    /// Number of the latest event.
    last: u64,
    ring: VecDeque<Event>,
}

impl Events {
    /// An empty buffer for `capacity` events, at least one.
    pub fn new(capacity: usize) -> Self {
        Events { capacity: capacity.max(1), last: 0, ring: VecDeque::new() }
    }

    /// Records an event. If the buffer is full, the oldest is discarded.
    pub fn record(&mut self, at_ms: u64, level: &str, mut text: String) {
        if text.len() > MAX_TEXT_BYTES {
            let end = (0..=MAX_TEXT_BYTES).rev().find(|&at| text.is_char_boundary(at)).unwrap_or(0);
            text.truncate(end);
            text.push('…');
        }
        if self.ring.len() >= self.capacity {
            self.ring.pop_front();
        }
        self.last += 1;
        self.ring.push_back(Event { number: self.last, at_ms, level: level.into(), text });
    }

    /// The number of the latest event; 0 if there is none.
    pub fn last(&self) -> u64 {
        self.last
    }

    /// At most `max` events after the one with the number `seen`. A number that this node has not assigned yet, which
    /// may come from the process before a restart, is treated as 0: none seen.
    pub fn after(&self, seen: u64, max: usize) -> EventBatch {
        let seen = if seen > self.last { 0 } else { seen };
        let first = self.last - self.ring.len() as u64 + 1;
        let missed = first.saturating_sub(seen + 1);
        let skip = (seen + 1).saturating_sub(first) as usize;
        EventBatch { events: self.ring.iter().skip(skip).take(max).cloned().collect(), missed }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_reader_gets_each_event_once_in_order_with_the_number_of_missed_events() {
        let mut rng = fastrand::Rng::with_seed(7);
        let (mut events, mut seen, mut reported) = (Events::new(10), 0, 0);
        for round in 0..2_000u64 {
            for _ in 0..rng.u64(0..20) {
                events.record(round, "INFO", format!("{}", events.last() + 1));
            }
            let batch = events.after(seen, rng.usize(1..15));
            reported += batch.missed + batch.events.len() as u64;
            let numbers: Vec<u64> = batch.events.iter().map(|event| event.number).collect();
            assert!(
                numbers.iter().enumerate().all(|(n, &number)| number == seen + batch.missed + 1 + n as u64)
            );
            assert!(batch.events.iter().all(|event| event.text == event.number.to_string()));
            seen = numbers.last().copied().unwrap_or(seen);
            assert_eq!(reported, seen);
        }
        assert!(reported > 10_000);
        assert_eq!(events.after(events.last() + 5, 3).events.len(), 3, "a number of another node");
    }

    #[test]
    fn a_long_text_is_truncated_between_characters() {
        let mut events = Events::new(2);
        events.record(0, "WARN", "é".repeat(1_000));
        let text = &events.after(0, 1).events[0].text;
        assert!(text.len() <= MAX_TEXT_BYTES + 3 && text.ends_with("é…"));
    }
}
