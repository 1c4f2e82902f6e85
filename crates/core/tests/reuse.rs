//! When idle connections to a server may be reused, and how long they are kept.

use std::time::Duration;

use lilacquay_core::IdleState;
use lilacquay_core::reuse::{LONG_REUSE_DELAY, REUSE_DELAY, RetentionPolicy, ReusePolicy, SHORT_REUSE_DELAY};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Records a number of answers that each took `took`.
fn record_answers(policy: &mut ReusePolicy, answers: usize, took: Duration) {
    (0..answers).for_each(|_| policy.record_answer(took));
}

#[test]
fn the_most_recently_used_connection_that_was_idle_for_the_reuse_delay_is_chosen() {
    let (policy, start) = (ReusePolicy::default(), Instant::now());
    let now = start + 100 * MS;
    let idle = [start, now - REUSE_DELAY, now - REUSE_DELAY + MS];
    assert_eq!(policy.choose(now, false, idle.into_iter()), Some(1));
    assert_eq!(
        policy.choose(now, false, idle[2..].iter().copied()),
        None,
        "a connection that was idle for less than the delay is not used"
    );
}

#[test]
fn unsolicited_data_lengthens_the_reuse_delay_of_its_server_for_a_minute() {
    let (mut policy, now) = (ReusePolicy::default(), Instant::now());
    assert!(policy.may_use(now, IdleState::Live));
    assert!(!policy.may_use(now, IdleState::Closed));
    assert_eq!(policy.reuse_delay(now, false), REUSE_DELAY, "a closed connection does not change the delay");
    assert!(!policy.may_use(now, IdleState::UnsolicitedData));
    for origin in [false, true] {
        record_answers(&mut policy, 50, 10 * REUSE_DELAY);
        assert_eq!(policy.reuse_delay(now + Duration::from_secs(59), origin), LONG_REUSE_DELAY);
    }
    assert_eq!(policy.reuse_delay(now + Duration::from_secs(60), false), REUSE_DELAY);
}

#[test]
fn only_an_origin_whose_answers_are_known_to_take_longer_has_the_short_reuse_delay() {
    let (mut policy, now) = (ReusePolicy::default(), Instant::now());
    assert_eq!(policy.reuse_delay(now, true), REUSE_DELAY, "no answer has been observed yet");
    record_answers(&mut policy, 20, 2 * REUSE_DELAY);
    assert_eq!(policy.reuse_delay(now, true), SHORT_REUSE_DELAY);
    assert_eq!(policy.reuse_delay(now, false), REUSE_DELAY, "a cache keeps the normal delay");
    record_answers(&mut policy, 3, REUSE_DELAY);
    assert_eq!(policy.reuse_delay(now, true), REUSE_DELAY, "it answers within the delay");
    assert!(ReusePolicy::trusted_from(now) >= now + REUSE_DELAY, "with the short delay too");
}

#[test]
fn spare_connections_are_kept_the_shorter_the_more_nodes_there_are() {
    let (keepalive, start) = (Duration::from_secs(10), Instant::now());
    let policy = RetentionPolicy::new(keepalive, 1);
    let kept = |policy: RetentionPolicy, age: Duration, spare| policy.retains(start + age, start, spare);
    assert!(kept(policy, keepalive * 8 / 10, true));
    assert!(!kept(policy, keepalive * 9 / 10, false), "before the server closes it");
    let large_fleet = policy.with_node_count(100);
    assert!(!kept(large_fleet, keepalive / 10, true) && kept(large_fleet, keepalive * 8 / 10, false));
    assert!(
        kept(large_fleet.with_node_count(3), keepalive * 2 / 10, true),
        "fewer nodes keep spare connections longer again"
    );
}
