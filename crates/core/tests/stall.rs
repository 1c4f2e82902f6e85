//! How arrival times are estimated from a thread's stalls.

use std::time::Duration;

use lilacquay_core::stall::StallTracker;
use tokio::time::Instant;

fn ms(start: Instant, after: u64) -> Instant {
    start + Duration::from_millis(after)
}

#[test]
fn data_that_is_read_after_a_stall_is_taken_to_have_arrived_at_its_start() {
    let start = Instant::now();
    let mut tracker = StallTracker::default();
    tracker.record_activity(start, None);
    tracker.record_activity(ms(start, 90), None); // a stall in the middle of its work
    assert_eq!(tracker.estimated_arrival(ms(start, 95)), start);
    assert_eq!(tracker.estimated_arrival(ms(start, 101)), ms(start, 101), "the thread has caught up");
}

#[test]
fn a_timer_that_fires_late_reveals_a_stall_of_an_idle_thread() {
    let start = Instant::now();
    let mut tracker = StallTracker::default();
    tracker.record_activity(start, Some(ms(start, 40)));
    tracker.record_wakeup(ms(start, 130));
    assert_eq!(tracker.estimated_arrival(ms(start, 130)), ms(start, 40));
}

#[test]
fn a_thread_that_waits_for_its_next_timer_has_not_stalled() {
    let start = Instant::now();
    let mut tracker = StallTracker::default();
    tracker.record_activity(start, Some(ms(start, 300)));
    tracker.record_wakeup(ms(start, 200));
    tracker.record_activity(ms(start, 201), Some(ms(start, 300)));
    assert_eq!(tracker.estimated_arrival(ms(start, 201)), ms(start, 201));
}

#[test]
fn no_arrival_is_estimated_to_be_earlier_than_the_longest_stall() {
    let start = Instant::now();
    let mut tracker = StallTracker::default();
    tracker.record_activity(start, None);
    tracker.record_activity(ms(start, 5000), None);
    assert_eq!(tracker.estimated_arrival(ms(start, 5000)), ms(start, 4850));
}
