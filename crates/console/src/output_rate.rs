//! How much may be written to a slow terminal. No clock: it is told the time.

use std::time::Duration;

/// A budget of bytes a second, that is never exceeded over longer than one screen.
///
/// A screen is drawn whole once it is begun; the next waits until what it took has been earned.
/// Guards against: a console behind a serial line that falls further and further behind what it shows.
#[derive(Debug, Clone)]
pub struct Pace {
    per_second: f64,
    /// Bytes that may be written now; what is owed, if it is negative.
    budget: f64,
    at: Duration,
}

impl Pace {
    /// So many bytes a second, one at least.
    pub fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second.max(1));
        Pace { per_second, budget: per_second, at: Duration::ZERO }
    }

    /// Whether a screen may be drawn now.
    pub fn may_draw(&mut self, now: Duration) -> bool {
        self.earn(now);
        self.budget > 0.0
    }

    /// So many bytes were written.
    pub fn wrote(&mut self, now: Duration, bytes: u64) {
        self.earn(now);
        self.budget -= bytes as f64;
    }

    /// How long until a screen may be drawn.
    pub fn wait(&self) -> Duration {
        Duration::from_secs_f64((-self.budget / self.per_second).clamp(0.0, 60.0))
    }

    fn earn(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.budget = (self.budget + passed * self.per_second).min(self.per_second);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn over_a_minute_no_more_is_written_than_the_line_takes_and_one_screen() {
        for (rate, screen) in [(960, 4_000), (960, 50), (120, 2_000), (1_000_000, 3_000)] {
            let (mut pace, mut written) = (Pace::new(rate), 0);
            for ms in 0..60_000 {
                let now = Duration::from_millis(ms);
                if pace.may_draw(now) {
                    pace.wrote(now, screen);
                    written += screen;
                }
            }
            let most = 61 * u64::from(rate) + screen;
            assert!(written <= most, "{written} of {most}");
            assert!(written >= (60 * u64::from(rate)).min(60_000 * screen) * 9 / 10, "{written} at {rate}");
        }
    }
}
