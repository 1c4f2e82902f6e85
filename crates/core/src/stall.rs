//! When this thread was held up, and since when something that it reads may have been there.
//!
//! The kernel tells no time of arrival. A thread that was held up finds what came meanwhile all at once; it is reckoned from the
//! beginning of that time, so that clients are not promised more than they have left.

use std::cell::Cell;
use std::time::Duration;

use tokio::time::Instant;

/// Between two marks, or behind a timer that was due, this is a hold-up.
const HOLD_UP: Duration = Duration::from_millis(20);
/// What came during a hold-up has been read so long after its end.
const CAUGHT_UP: Duration = Duration::from_millis(10);
/// No arrival is reckoned to be earlier than this before it is read: the longest hold-up that is allowed for.
const LONGEST: Duration = Duration::from_millis(150);

/// What is known of one thread's hold-ups. No clock: times are handed in.
#[derive(Debug, Clone, Copy, Default)]
pub struct StallTracker {
    /// When the thread was last seen to run.
    marked: Option<Instant>,
    /// When its next timer is due.
    due: Option<Instant>,
    /// The last hold-up: from when to when.
    last: Option<(Instant, Instant)>,
}

impl StallTracker {
    /// The thread runs now, and its next timer is due then.
    pub fn record_activity(&mut self, now: Instant, due: Option<Instant>) {
        self.note(self.marked, now);
        (self.marked, self.due) = (Some(now), due.or(self.due));
    }

    /// The thread goes on after it had nothing to do.
    pub fn record_wakeup(&mut self, now: Instant) {
        self.note(self.due, now);
        self.marked = Some(now);
    }

    /// Notes a hold-up if it is long since the thread should have run.
    fn note(&mut self, since: Option<Instant>, now: Instant) {
        if let Some(since) = since.filter(|since| now.saturating_duration_since(*since) >= HOLD_UP) {
            self.last = Some((since, now));
        }
    }

    /// Since when something may have been there that is read now.
    pub fn estimated_arrival(&self, now: Instant) -> Instant {
        match self.last {
            Some((begin, end)) if now <= end + CAUGHT_UP => begin.max(now - LONGEST),
            _ => now,
        }
    }
}

thread_local! {
    static THREAD: Cell<StallTracker> = Cell::default();
}

fn update(change: impl FnOnce(&mut StallTracker)) {
    THREAD.with(|thread| {
        let mut hold_ups = thread.get();
        change(&mut hold_ups);
        thread.set(hold_ups);
    });
}

/// Notes that this thread runs now, and when its next timer is due, if that is known.
pub fn record_activity(due: Option<Instant>) {
    update(|hold_ups| hold_ups.record_activity(Instant::now(), due));
}

/// Notes that this thread goes on after it had nothing to do: for [`tokio::runtime::Builder::on_thread_unpark`].
pub fn record_wakeup() {
    update(|hold_ups| hold_ups.record_wakeup(Instant::now()));
}

/// Since when something may have been there that this thread reads now.
pub fn estimated_arrival(now: Instant) -> Instant {
    THREAD.with(|thread| thread.get().estimated_arrival(now))
}
