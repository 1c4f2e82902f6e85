//! When connections to a server may be asked again, and how long they are kept.

use std::time::Duration;

use lilacquay_core::IdleState;
use lilacquay_core::reuse::{LONG_REUSE_DELAY, REUSE_DELAY, RetentionPolicy, ReusePolicy, SHORT_REUSE_DELAY};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Answers that take so long each.
fn answered(policy: &mut ReusePolicy, answers: usize, took: Duration) {
    (0..answers).for_each(|_| policy.record_answer(took));
}

#[test]
fn a_connection_is_chosen_once_it_has_rested_and_the_latest_of_them() {
    let (policy, start) = (ReusePolicy::default(), Instant::now());
    let now = start + 100 * MS;
    let idle = [start, now - REUSE_DELAY, now - REUSE_DELAY + MS];
    assert_eq!(policy.choose(now, false, idle.into_iter()), Some(1));
    assert_eq!(
        policy.choose(now, false, idle[2..].iter().copied()),
        None,
        "one that has not rested is not used"
    );
}

#[test]
fn a_server_that_sent_something_unasked_has_longer_rests_for_a_minute() {
    let (mut policy, now) = (ReusePolicy::default(), Instant::now());
    assert!(policy.may_use(now, IdleState::Live));
    assert!(!policy.may_use(now, IdleState::Closed));
    assert_eq!(policy.reuse_delay(now, false), REUSE_DELAY, "a close tells nothing");
    assert!(!policy.may_use(now, IdleState::UnsolicitedData));
    for origin in [false, true] {
        answered(&mut policy, 50, 10 * REUSE_DELAY);
        assert_eq!(policy.reuse_delay(now + Duration::from_secs(59), origin), LONG_REUSE_DELAY);
    }
    assert_eq!(policy.reuse_delay(now + Duration::from_secs(60), false), REUSE_DELAY);
}

#[test]
fn an_origin_alone_has_short_rests_and_only_once_it_is_known_to_answer_later() {
    let (mut policy, now) = (ReusePolicy::default(), Instant::now());
    assert_eq!(policy.reuse_delay(now, true), REUSE_DELAY, "nothing is known of it");
    answered(&mut policy, 20, 2 * REUSE_DELAY);
    assert_eq!(policy.reuse_delay(now, true), SHORT_REUSE_DELAY);
    assert_eq!(policy.reuse_delay(now, false), REUSE_DELAY, "a cache keeps its rest");
    answered(&mut policy, 3, REUSE_DELAY);
    assert_eq!(policy.reuse_delay(now, true), REUSE_DELAY, "it answers quickly");
    assert!(ReusePolicy::trusted_from(now) >= now + REUSE_DELAY, "in a short rest too");
}

#[test]
fn spares_are_kept_the_shorter_the_more_nodes_there_are() {
    let (keepalive, start) = (Duration::from_secs(10), Instant::now());
    let policy = RetentionPolicy::new(keepalive, 1);
    let kept = |policy: RetentionPolicy, age: Duration, spare| policy.retains(start + age, start, spare);
    assert!(kept(policy, keepalive * 8 / 10, true));
    assert!(!kept(policy, keepalive * 9 / 10, false), "before the server closes it");
    let many = policy.with_node_count(100);
    assert!(!kept(many, keepalive / 10, true) && kept(many, keepalive * 8 / 10, false));
    assert!(kept(many.with_node_count(3), keepalive * 2 / 10, true), "fewer nodes keep theirs longer again");
}
