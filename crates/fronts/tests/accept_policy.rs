//! What follows an accept that gave no connection.

use std::time::Duration;

use lilacquay_fronts::accept_policy::{AcceptFailure, AcceptPolicy, AcceptStep};
use lilacquay_fronts::connection_limiter::Goes;
use tokio::time::Instant;

const MOMENT: Duration = Duration::from_millis(1);

#[test]
fn in_service_nothing_ends_a_listener_and_a_shortage_that_lasts_closes_on_anyone() {
    let (start, mut policy) = (Instant::now(), AcceptPolicy::default());
    let later = start + Duration::from_secs(1);
    assert_eq!(policy.failed(AcceptFailure::OneConnection, start), AcceptStep::Again);
    assert_eq!(policy.failed(AcceptFailure::Shortage, start), AcceptStep::MakeRoom(Goes::Idle));
    assert_eq!(policy.failed(AcceptFailure::OneConnection, later), AcceptStep::Again);
    assert_eq!(policy.failed(AcceptFailure::Shortage, later), AcceptStep::MakeRoom(Goes::Anyone));
    assert_eq!(policy.accepted(later), AcceptStep::Again);
    assert_eq!(policy.failed(AcceptFailure::Shortage, later), AcceptStep::MakeRoom(Goes::Idle));
}

#[test]
fn a_listener_that_closes_passes_over_failures_until_none_waits_or_the_time_is_over() {
    let (start, over) = (Instant::now(), Instant::now() + Duration::from_millis(100));
    let mut policy = AcceptPolicy::closing(start);
    assert_eq!(policy.failed(AcceptFailure::OneConnection, start), AcceptStep::Again);
    assert_eq!(policy.failed(AcceptFailure::Shortage, start + MOMENT), AcceptStep::MakeRoom(Goes::Idle));
    assert_eq!(policy.accepted(start + MOMENT), AcceptStep::Again);
    assert_eq!(policy.failed(AcceptFailure::NoneWaits, start + MOMENT), AcceptStep::Close);
    assert_eq!(policy.failed(AcceptFailure::OneConnection, over + MOMENT), AcceptStep::Close);
    assert_eq!(policy.failed(AcceptFailure::Shortage, over + MOMENT), AcceptStep::Close);
}
