//! The events of a node, for readers that poll or follow them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use lilacquay_observe::{EventBatch, Events};
use tokio::sync::watch;

/// Number of events that are kept.
const MAX_EVENTS: usize = 1_000;

/// The latest events. Cheap to clone. Events can be recorded from any thread; recording never waits for readers.
#[derive(Clone)]
pub struct EventLog(Arc<Shared>);

struct Shared {
    events: Mutex<Events>,
    /// The number of the latest event.
    last: watch::Sender<u64>,
}

impl EventLog {
    /// An empty log.
    pub fn new() -> Self {
        let (events, last) = (Mutex::new(Events::new(MAX_EVENTS)), watch::Sender::new(0));
        EventLog(Arc::new(Shared { events, last }))
    }

    /// Records an event with the current time.
    pub fn record(&self, level: &str, text: String) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let last = {
            let mut events = self.events();
            events.record(since.as_millis() as u64, level, text);
            events.last()
        };
        self.0.last.send_replace(last);
    }

    /// At most `max` events after the one with the number `seen`; see [`Events::after`].
    pub fn after(&self, seen: u64, max: usize) -> EventBatch {
        self.events().after(seen, max)
    }

    /// A receiver that is notified of the number of each new event.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.0.last.subscribe()
    }

    fn events(&self) -> MutexGuard<'_, Events> {
        self.0.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog::new()
    }
}
