//! Tracks stalls of the current thread, times when it was ready to run but did not, to estimate when data that it
//! reads arrived.
//!
//! The kernel does not report arrival times. After a stall, a thread finds everything that arrived meanwhile at once.
//! Its arrival is taken to be the start of the stall, so that clients are not promised, and servers not given,
//! more time than the clients have left.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// The thread has stalled if this much time passes between two recorded activities, or after a timer was due.
const STALL_THRESHOLD: Duration = Duration::from_millis(20);
/// The time after a stall by which everything that arrived during it has been read.
const CATCH_UP_TIME: Duration = Duration::from_millis(10);
/// The longest stall that is allowed for: no arrival is estimated to be earlier than this before it is read.
const MAX_STALL: Duration = Duration::from_millis(150);

/// The stalls of one thread. Has no clock: times are passed in.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallTracker {
    /// When the thread was last known to run.
    last_active: Option<Instant>,
    /// When the thread's next timer is due.
    next_timer: Option<Instant>,
    /// Start and end of the last stall.
    last_stall: Option<(Instant, Instant)>,
}

impl StallTracker {
    /// Records that the thread runs now, and when its next timer is due, if known.
    pub fn record_activity(&mut self, now: Instant, next_timer: Option<Instant>) {
        self.detect_stall(self.last_active, now);
        (self.last_active, self.next_timer) = (Some(now), next_timer.or(self.next_timer));
    }

    /// Records that the thread runs again after it had nothing to do.
    pub fn record_wakeup(&mut self, now: Instant) {
        self.detect_stall(self.next_timer, now);
        self.last_active = Some(now);
    }

    /// Records a stall if the thread should have run at `since` and that is long ago.
    fn detect_stall(&mut self, since: Option<Instant>, now: Instant) {
        if let Some(since) = since.filter(|since| now.saturating_duration_since(*since) >= STALL_THRESHOLD) {
            self.last_stall = Some((since, now));
        }
    }

    /// The earliest time at which data that is read now may have arrived.
    pub fn estimated_arrival(&self, now: Instant) -> Instant {
        match self.last_stall {
            Some((start, end)) if now <= end + CATCH_UP_TIME => start.max(now - MAX_STALL),
            _ => now,
        }
    }
}

thread_local! {
    static TRACKER: Cell<StallTracker> = Cell::default();
}

fn update(change: impl FnOnce(&mut StallTracker)) {
    TRACKER.with(|cell| {
        let mut tracker = cell.get();
        change(&mut tracker);
        cell.set(tracker);
    });
}

/// Records that this thread runs now, and when its next timer is due, if known.
pub fn record_activity(next_timer: Option<Instant>) {
    update(|tracker| tracker.record_activity(Instant::now(), next_timer));
}

/// Records that this thread runs again after it had nothing to do: for
/// [`tokio::runtime::Builder::on_thread_unpark`].
pub fn record_wakeup() {
    update(|tracker| tracker.record_wakeup(Instant::now()));
}

/// The earliest time at which data that this thread reads now may have arrived.
pub fn estimated_arrival(now: Instant) -> Instant {
    TRACKER.with(|cell| cell.get().estimated_arrival(now))
}
