//! Detects pauses of this process: from how late its loop runs, and from the gap between the monotonic and the wall
//! clock, which shows that the machine was suspended. Times are in microseconds.

use crate::Micros;

/// What one check of the clocks has found; both fields are 0 if there was no pause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DetectedPause {
    /// How late the loop ran. No datagram could be received meanwhile.
    pub lateness: Micros,
    /// How long the machine was suspended, which the monotonic clock has not counted.
    pub suspended: Micros,
}

impl DetectedPause {
    /// Whether there was a pause of either kind.
    pub fn is_pause(&self) -> bool {
        self.lateness > 0 || self.suspended > 0
    }
}

/// Compares the clocks with the time at which the loop was due, before anything else is done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct PauseDetector {
    /// When the loop was to run next.
    next_run_at: Micros,
    last_now: Micros,
    last_wall: Micros,
    late_threshold: Micros,
}

/// Smaller jumps of the wall clock are taken for corrections by whatever sets it (NTP, an operator).
const MIN_SUSPEND_US: Micros = 1_000_000;

impl PauseDetector {
    /// `late_threshold`: lateness up to this is not a pause.
    pub fn new(now: Micros, wall: Micros, late_threshold: Micros) -> PauseDetector {
        PauseDetector { next_run_at: now, last_now: now, last_wall: wall, late_threshold }
    }

    /// When the loop is to run next.
    pub fn next_run_at(&self) -> Micros {
        self.next_run_at
    }

    /// Schedules the next run of the loop.
    pub fn schedule(&mut self, now: Micros, delay: Micros) {
        self.next_run_at = now + delay;
    }

    /// Checks both clocks. Each pause is reported once.
    pub fn check(&mut self, now: Micros, wall: Micros) -> DetectedPause {
        let (elapsed, wall_elapsed) =
            (now.saturating_sub(self.last_now), wall.saturating_sub(self.last_wall));
        let lateness = now.saturating_sub(self.next_run_at.max(self.last_now));
        let suspended = wall_elapsed.saturating_sub(elapsed);
        (self.last_now, self.last_wall) = (self.last_now.max(now), wall);
        DetectedPause {
            lateness: if lateness > self.late_threshold { lateness } else { 0 },
            // A wall clock that is put forward looks the same; what is done about a suspension is safe then too.
            suspended: if suspended > MIN_SUSPEND_US { suspended } else { 0 },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    #[test]
    fn a_pause_is_reported_once_and_usual_lateness_never() {
        let mut detector = PauseDetector::new(0, 0, 200 * MS);
        detector.schedule(0, 500 * MS);
        assert!(!detector.check(690 * MS, 690 * MS).is_pause(), "busy, not paused");
        assert_eq!(detector.check(2_500 * MS, 2_500 * MS).lateness, 1_810 * MS);
        assert!(!detector.check(2_501 * MS, 2_501 * MS).is_pause());
    }

    #[test]
    fn a_suspension_shows_in_the_wall_clock_alone_and_a_clock_put_back_is_none() {
        let mut detector = PauseDetector::new(0, 50_000 * MS, 200 * MS);
        detector.schedule(0, 500 * MS);
        assert_eq!(detector.check(100 * MS, 60_000 * MS).suspended, 9_900 * MS);
        assert!(!detector.check(200 * MS, 55_000 * MS).is_pause());
    }
}
