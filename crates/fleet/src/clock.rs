//! The common clock of a fleet's records, and a measurement of how late the machine runs the stand-ins' threads.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A time since the fleet's start, or a duration, in microseconds.
pub type Micros = u64;

/// Interval at which the scheduling delay of a thread is sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(2);
/// Number of recent samples over which the maximum delay is taken.
const SAMPLES_KEPT: u32 = 100;

/// The fleet's clock.
///
/// A busy machine may run a stand-in or a client late, so that an event is seen later than it happened; without an
/// allowance for that, the verdict would blame the node. A task on the thread of the stand-ins, and one on the thread
/// of their clients, measures how late its timer fires. The recent maximum is stored with each record, and the checks
/// add it to their limits.
#[derive(Clone)]
pub struct Clock {
    start: Instant,
    delay: Arc<AtomicU64>,
    /// The scheduling delay on the runtime of the clock that this one was derived from.
    parent_delay: Option<Arc<AtomicU64>>,
}

impl Default for Clock {
    fn default() -> Self {
        Clock { start: Instant::now(), delay: Arc::default(), parent_delay: None }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts an instant to a time of this clock.
    pub fn at(&self, instant: Instant) -> Micros {
        instant.saturating_duration_since(self.start).as_micros() as Micros
    }

    /// A clock with the same start for another runtime, which measures the scheduling delay there as well.
    pub(crate) fn for_other_runtime(&self) -> Clock {
        Clock { start: self.start, delay: Arc::default(), parent_delay: Some(self.delay.clone()) }
    }

    /// The largest scheduling delay measured recently: an upper bound on how late an event may have been seen.
    pub fn scheduling_delay(&self) -> Micros {
        let parent = self.parent_delay.as_ref().map_or(0, |delay| delay.load(Ordering::Relaxed));
        self.delay.load(Ordering::Relaxed).max(parent)
    }

    /// Measures the scheduling delay of the runtime that it runs on; never returns.
    pub(crate) async fn measure_scheduling_delay(self) {
        let mut samples = [0; SAMPLES_KEPT as usize];
        for sample in (0..samples.len()).cycle() {
            let due = Instant::now() + SAMPLE_INTERVAL;
            tokio::time::sleep_until(due.into()).await;
            // The runtime's timers have a resolution of one millisecond.
            samples[sample] = due.elapsed().saturating_sub(Duration::from_millis(1)).as_micros() as Micros;
            self.delay.store(samples.iter().copied().max().unwrap_or(0), Ordering::Relaxed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn a_blocked_thread_shows_as_scheduling_delay() {
        let clock = Clock::default();
        tokio::spawn(clock.clone().measure_scheduling_delay());
        tokio::task::yield_now().await;
        std::thread::sleep(Duration::from_millis(50)); // blocks this thread, as a busy machine does
        while clock.scheduling_delay() == 0 {
            tokio::task::yield_now().await;
        }
        assert!(clock.scheduling_delay() >= 40_000, "{}", clock.scheduling_delay());
    }
}
