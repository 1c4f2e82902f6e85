//! What is told of a client's time, and when a value is given up.

use std::time::Duration;

use lilacquay_core::time_left::{deadline_to_send, value_read_deadline};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

#[test]
fn a_connection_that_came_up_late_is_told_less_and_never_less_than_half() {
    let now = Instant::now();
    let deadline = now + 1000 * MS;
    assert_eq!(deadline_to_send(now, deadline, 899 * MS), deadline);
    assert_eq!(deadline_to_send(now, deadline, 900 * MS), deadline - 80 * MS);
    assert_eq!(deadline_to_send(now, now + 100 * MS, 1000 * MS), now + 50 * MS);
    assert_eq!(deadline_to_send(now, now - 100 * MS, 1000 * MS), now - 100 * MS, "none is left");
}

#[test]
fn a_value_that_stops_ends_within_half_a_second_of_its_clients_time_and_one_that_flows_goes_on() {
    let now = Instant::now();
    assert_eq!(value_read_deadline(now, now + 300 * MS), now + 700 * MS);
    assert_eq!(value_read_deadline(now, now + 60_000 * MS), now + 5_000 * MS, "whatever its time");
    assert_eq!(value_read_deadline(now, now), now + 1_000 * MS, "it has come on past its time");
}
