//! A node's notice of its own pauses: its loop's lateness, and the gap between its two clocks.

use crate::Micros;

/// What a look at the clocks has told.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Noticed {
    /// The loop was late by so much: nothing could be heard for as long.
    pub late: Micros,
    /// The machine slept for so long, which the steady clock has not counted.
    pub slept: Micros,
}

impl Noticed {
    /// Whether there was a pause.
    pub fn any(&self) -> bool {
        self.late > 0 || self.slept > 0
    }
}

/// Looks at the clocks before anything is acted on.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pulse {
    /// When the loop was to run next.
    due: Micros,
    now: Micros,
    wall: Micros,
    bound: Micros,
}

/// Steps of the wall clock below this are those of whoever sets it.
const SET: Micros = 1_000_000;

impl Pulse {
    /// `bound`: lateness up to this is usual.
    pub fn new(now: Micros, wall: Micros, bound: Micros) -> Pulse {
        Pulse { due: now, now, wall, bound }
    }

    /// When the loop is to run next.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// The loop runs again after so long.
    pub fn next(&mut self, now: Micros, after: Micros) {
        self.due = now + after;
    }

    /// A look at both clocks. The same pause is told once.
    pub fn look(&mut self, now: Micros, wall: Micros) -> Noticed {
        let (ran, passed) = (now.saturating_sub(self.now), wall.saturating_sub(self.wall));
        let late = now.saturating_sub(self.due.max(self.now));
        let slept = passed.saturating_sub(ran);
        (self.now, self.wall) = (self.now.max(now), wall);
        Noticed {
            late: if late > self.bound { late } else { 0 },
            // A wall clock that is put forward looks the same; what follows is safe then too.
            slept: if slept > SET { slept } else { 0 },
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    #[test]
    fn a_pause_is_told_once_and_what_is_usual_never() {
        let mut pulse = Pulse::new(0, 0, 200 * MS);
        pulse.next(0, 500 * MS);
        assert!(!pulse.look(690 * MS, 690 * MS).any(), "busy, not paused");
        assert_eq!(pulse.look(2_500 * MS, 2_500 * MS).late, 1_810 * MS);
        assert!(!pulse.look(2_501 * MS, 2_501 * MS).any());
    }

    #[test]
    fn sleep_shows_in_the_wall_clock_alone_and_a_clock_put_back_is_none() {
        let mut pulse = Pulse::new(0, 50_000 * MS, 200 * MS);
        pulse.next(0, 500 * MS);
        assert_eq!(pulse.look(100 * MS, 60_000 * MS).slept, 9_900 * MS);
        assert!(!pulse.look(200 * MS, 55_000 * MS).any());
    }
}
