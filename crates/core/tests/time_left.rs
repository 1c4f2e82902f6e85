//! The deadline that is sent to a server, and when a streamed value is abandoned.

use std::time::Duration;

use lilacquay_core::time_left::{deadline_to_send, value_read_deadline};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_slow_handshake_shortens_the_sent_deadline_by_at_most_half_of_the_time_left() {
    let now = Instant::now();
    let deadline = now + 1000 * MS;
    assert_eq!(deadline_to_send(now, deadline, 899 * MS), deadline);
    assert_eq!(deadline_to_send(now, deadline, 900 * MS), deadline - 80 * MS);
    assert_eq!(deadline_to_send(now, now + 100 * MS, 1000 * MS), now + 50 * MS);
    assert_eq!(deadline_to_send(now, now - 100 * MS, 1000 * MS), now - 100 * MS, "no time is left");
}

#[test]
fn a_stalled_value_ends_within_half_a_second_of_its_deadline_and_one_that_progresses_goes_on() {
    let now = Instant::now();
    assert_eq!(value_read_deadline(now, now + 300 * MS), now + 700 * MS);
    assert_eq!(
        value_read_deadline(now, now + 60_000 * MS),
        now + 5_000 * MS,
        "however long the client waits"
    );
    assert_eq!(value_read_deadline(now, now), now + 1_000 * MS, "the value continued past its deadline");
}
