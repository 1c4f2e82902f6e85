//! What is reckoned of a thread's hold-ups.

use std::time::Duration;

use lilacquay_core::stall::StallTracker;
use tokio::time::Instant;

fn ms(start: Instant, after: u64) -> Instant {
    start + Duration::from_millis(after)
}

#[test]
fn what_is_read_after_a_hold_up_came_as_early_as_its_beginning() {
    let start = Instant::now();
    let mut hold_ups = StallTracker::default();
    hold_ups.record_activity(start, None);
    hold_ups.record_activity(ms(start, 90), None); // in the midst of its work
    assert_eq!(hold_ups.estimated_arrival(ms(start, 95)), start);
    assert_eq!(hold_ups.estimated_arrival(ms(start, 101)), ms(start, 101), "it has caught up");
}

#[test]
fn a_timer_that_is_met_late_shows_a_hold_up_while_there_was_nothing_to_do() {
    let start = Instant::now();
    let mut hold_ups = StallTracker::default();
    hold_ups.record_activity(start, Some(ms(start, 40)));
    hold_ups.record_wakeup(ms(start, 130));
    assert_eq!(hold_ups.estimated_arrival(ms(start, 130)), ms(start, 40));
}

#[test]
fn a_thread_that_waits_for_its_next_timer_is_not_held_up() {
    let start = Instant::now();
    let mut hold_ups = StallTracker::default();
    hold_ups.record_activity(start, Some(ms(start, 300)));
    hold_ups.record_wakeup(ms(start, 200));
    hold_ups.record_activity(ms(start, 201), Some(ms(start, 300)));
    assert_eq!(hold_ups.estimated_arrival(ms(start, 201)), ms(start, 201));
}

#[test]
fn no_arrival_is_reckoned_earlier_than_the_longest_hold_up() {
    let start = Instant::now();
    let mut hold_ups = StallTracker::default();
    hold_ups.record_activity(start, None);
    hold_ups.record_activity(ms(start, 5000), None);
    assert_eq!(hold_ups.estimated_arrival(ms(start, 5000)), ms(start, 4850));
}
