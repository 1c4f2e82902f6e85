//! One clock for all records of a fleet, and how late the machine lets its thread run.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Microseconds since the fleet's start, or a duration of so many.
pub type Micros = u64;

/// The metronome's beat.
const BEAT: Duration = Duration::from_millis(2);
/// A late beat counts for so many beats after it.
const MEMORY: u32 = 100;

/// The fleet's clock.
///
/// Guards against: a verdict on a node that was only seen late because the machine was busy. A metronome beats
/// on the thread of the stand-ins, and one where their clients run; how late it was lately stands beside each record, and is granted.
#[derive(Clone)]
pub struct Clock {
    start: Instant,
    late: Arc<AtomicU64>,
    /// The lateness of the thread that this clock came from.
    other: Option<Arc<AtomicU64>>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { start: Instant::now(), late: Arc::default(), other: None }
    }
}

impl Clock {
    /// The time.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// The time of an instant.
    pub fn at(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// The same time on another runtime, with a metronome of its own.
    pub(crate) fn elsewhere(&self) -> Clock {
        Clock { start: self.start, late: Arc::default(), other: Some(self.late.clone()) }
    }

    /// How late something may have been seen lately, at most.
    pub fn late(&self) -> Micros {
        let other = self.other.as_ref().map_or(0, |other| other.load(Ordering::Relaxed));
        self.late.load(Ordering::Relaxed).max(other)
    }

    /// Beats for ever.
    pub(crate) async fn metronome(self) {
        let mut worst = [0; MEMORY as usize];
        for beat in (0..worst.len()).cycle() {
            let due = Instant::now() + BEAT;
            tokio::time::sleep_until(due.into()).await;
            // The runtime's timers have a grain of a millisecond.
            worst[beat] = due.elapsed().saturating_sub(Duration::from_millis(1)).as_micros() as Micros;
            self.late.store(worst.iter().copied().max().unwrap_or(0), Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_thread_that_was_held_up_is_known_to_be_late() {
        let clock = Clock::default();
        tokio::spawn(clock.clone().metronome());
        tokio::task::yield_now().await;
        std::thread::sleep(Duration::from_millis(50)); // holds up this thread, as a busy machine does
        while clock.late() == 0 {
            tokio::task::yield_now().await;
        }
        assert!(clock.late() >= 40_000, "{}", clock.late());
    }
}
