//! The deadline that is sent to a server, and when a large value is abandoned.

use std::time::Duration;

use lilacquay_core::time_left::{buffered_value_deadline, deadline_to_send, value_read_deadline};
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
fn a_value_is_abandoned_5_s_after_its_servers_last_bytes_whatever_its_clients_deadline() {
    let now = Instant::now();
    assert_eq!(value_read_deadline(now), now + 5_000 * MS);
}

#[test]
fn a_value_that_its_client_has_not_seen_begin_ends_within_half_a_second_of_the_deadline() {
    let now = Instant::now();
    assert_eq!(buffered_value_deadline(now, now + 300 * MS), now + 700 * MS);
    let turn_after_deadline = buffered_value_deadline(now, now - 100 * MS);
    assert_eq!(turn_after_deadline, now + 400 * MS, "the wait for answers before it does not count");
    let long_wait = now + 60_000 * MS;
    assert_eq!(buffered_value_deadline(now, long_wait), now + 1_900 * MS, "held back for under 2 s");
}
