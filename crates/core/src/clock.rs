//! The clock whose readings are passed to modules that have none of their own.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use paddlefold::Micros;
use tokio::time::Instant;

/// Monotonic time since the Unix epoch: the system time at creation plus the time elapsed since then. It never goes
/// backwards.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    offset: Duration,
}

impl Clock {
    /// Creates a clock that agrees with the system clock now.
    pub fn new() -> Self {
        let offset = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), offset }
    }

    /// The current time, in microseconds since the Unix epoch.
    pub fn now(&self) -> Micros {
        (self.offset + self.start.elapsed()).as_micros() as Micros
    }

    /// Converts a time in microseconds since the Unix epoch. A time before the clock's creation gives its creation.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at).saturating_sub(self.offset)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
