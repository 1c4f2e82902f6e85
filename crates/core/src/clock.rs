//! The time that modules without a clock are told.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use paddlefold::Micros;
use tokio::time::Instant;

/// Time since 1970, which never goes back: the system's when it was made, and what has passed since then.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    offset: Duration,
}

impl Clock {
    /// A clock that agrees with the system's now.
    pub fn new() -> Self {
        let offset = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), offset }
    }

    /// The time, in microseconds.
    pub fn now(&self) -> Micros {
        (self.offset + self.start.elapsed()).as_micros() as Micros
    }

    /// The instant of a time; one before the clock was made is when it was made.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at).saturating_sub(self.offset)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Clock::new()
    }
}
