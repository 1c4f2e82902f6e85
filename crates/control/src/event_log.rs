//! What has happened at a node, for those who follow it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use lilacquay_observe::{EventBatch, Events};
use tokio::sync::watch;

/// Events that are kept.
const KEPT: usize = 1_000;

/// The latest events. Cheap to clone; may be told from any thread, and never waits.
#[derive(Clone)]
pub struct EventLog(Arc<Shared>);

struct Shared {
    events: Mutex<Events>,
    /// The number of the latest.
    last: watch::Sender<u64>,
}

impl EventLog {
    /// None yet.
    pub fn new() -> Self {
        let (events, last) = (Mutex::new(Events::new(KEPT)), watch::Sender::new(0));
        EventLog(Arc::new(Shared { events, last }))
    }

    /// Notes one, at the system's time.
    pub fn record(&self, level: &str, text: String) {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let last = {
            let mut events = self.events();
            events.record(since.as_millis() as u64, level, text);
            events.last()
        };
        self.0.last.send_replace(last);
    }

    /// What came behind one that was seen; see [`Events::after`].
    pub fn after(&self, seen: u64, most: usize) -> EventBatch {
        self.events().after(seen, most)
    }

    /// By which a follower waits for the next.
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
