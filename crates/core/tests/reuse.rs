//! When connections to a server may be asked again, and how long they are kept.

use std::time::Duration;

use lilacquay_core::IdleState;
use lilacquay_core::reuse::{KeepPolicy, LONG_REST, REST, ReusePolicy, SHORT_REST};
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

/// Answers that take so long each.
fn answered(policy: &mut ReusePolicy, answers: usize, took: Duration) {
    (0..answers).for_each(|_| policy.answered(took));
}

#[test]
fn a_connection_is_chosen_once_it_has_rested_and_the_latest_of_them() {
    let (policy, start) = (ReusePolicy::default(), Instant::now());
    let now = start + 100 * MS;
    let idle = [start, now - REST, now - REST + MS];
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
    assert_eq!(policy.rest(now, false), REST, "a close tells nothing");
    assert!(!policy.may_use(now, IdleState::Unasked));
    for origin in [false, true] {
        answered(&mut policy, 50, 10 * REST);
        assert_eq!(policy.rest(now + Duration::from_secs(59), origin), LONG_REST);
    }
    assert_eq!(policy.rest(now + Duration::from_secs(60), false), REST);
}

#[test]
fn an_origin_alone_has_short_rests_and_only_once_it_is_known_to_answer_later() {
    let (mut policy, now) = (ReusePolicy::default(), Instant::now());
    assert_eq!(policy.rest(now, true), REST, "nothing is known of it");
    answered(&mut policy, 20, 2 * REST);
    assert_eq!(policy.rest(now, true), SHORT_REST);
    assert_eq!(policy.rest(now, false), REST, "a cache keeps its rest");
    answered(&mut policy, 3, REST);
    assert_eq!(policy.rest(now, true), REST, "it answers quickly");
    assert!(ReusePolicy::believed_from(now) >= now + REST, "in a short rest too");
}

#[test]
fn spares_are_kept_the_shorter_the_more_nodes_there_are() {
    let (keepalive, start) = (Duration::from_secs(10), Instant::now());
    let policy = KeepPolicy::new(keepalive, 1);
    let kept = |policy: KeepPolicy, age: Duration, spare| policy.keeps(start + age, start, spare);
    assert!(kept(policy, keepalive * 8 / 10, true));
    assert!(!kept(policy, keepalive * 9 / 10, false), "before the server closes it");
    let many = policy.at_nodes(100);
    assert!(!kept(many, keepalive / 10, true) && kept(many, keepalive * 8 / 10, false));
    assert!(kept(many.at_nodes(3), keepalive * 2 / 10, true), "fewer nodes keep theirs longer again");
}
