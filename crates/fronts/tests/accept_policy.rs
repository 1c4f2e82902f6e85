//! The steps that follow successful and failed accepts, in service and as a listener closes.

use std::time::Duration;

use lilacquay_fronts::accept_policy::{AcceptFailure, AcceptPolicy, AcceptStep};
use lilacquay_fronts::eviction_queue::EvictionScope;
use tokio::time::Instant;

const ONE_MS: Duration = Duration::from_millis(1);

#[test]
fn in_service_no_failure_closes_the_listener_and_a_lasting_shortage_evicts_connections_of_all_groups() {
    let (start, mut policy) = (Instant::now(), AcceptPolicy::default());
    let later = start + Duration::from_secs(1);
    assert_eq!(policy.failed(AcceptFailure::ConnectionFailed, start), AcceptStep::AcceptAgain);
    assert_eq!(
        policy.failed(AcceptFailure::ResourceShortage, start),
        AcceptStep::EvictThenAccept(EvictionScope::LongIdle)
    );
    assert_eq!(policy.failed(AcceptFailure::ConnectionFailed, later), AcceptStep::AcceptAgain);
    assert_eq!(
        policy.failed(AcceptFailure::ResourceShortage, later),
        AcceptStep::EvictThenAccept(EvictionScope::AllGroups)
    );
    assert_eq!(policy.accepted(later), AcceptStep::AcceptAgain);
    assert_eq!(
        policy.failed(AcceptFailure::ResourceShortage, later),
        AcceptStep::EvictThenAccept(EvictionScope::LongIdle)
    );
}

#[test]
fn a_closing_listener_ignores_failures_until_the_backlog_is_empty_or_its_time_is_over() {
    let (start, time_limit) = (Instant::now(), Instant::now() + Duration::from_millis(100));
    let mut policy = AcceptPolicy::for_closing_listener(start);
    assert_eq!(policy.failed(AcceptFailure::ConnectionFailed, start), AcceptStep::AcceptAgain);
    assert_eq!(
        policy.failed(AcceptFailure::ResourceShortage, start + ONE_MS),
        AcceptStep::EvictThenAccept(EvictionScope::LongIdle)
    );
    assert_eq!(policy.accepted(start + ONE_MS), AcceptStep::AcceptAgain);
    assert_eq!(policy.failed(AcceptFailure::BacklogEmpty, start + ONE_MS), AcceptStep::CloseListener);
    assert_eq!(
        policy.failed(AcceptFailure::ConnectionFailed, time_limit + ONE_MS),
        AcceptStep::CloseListener
    );
    assert_eq!(
        policy.failed(AcceptFailure::ResourceShortage, time_limit + ONE_MS),
        AcceptStep::CloseListener
    );
}
