//! What is remembered of keys, how it ages, and how little it may take.

use super::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);

#[test]
fn what_was_seen_ages_and_what_was_not_goes_by_standing() {
    let mut holders = Holders::new();
    holders.hold(7, A, 0);
    let at = |holders: &Holders, now| holders.known(7, A, Standing::Home, now).0;
    assert_eq!([0, 499_999, 500_000, 1_000_000, 2_000_000].map(|now| at(&holders, now)), [0, 0, 1, 2, 3]);
    assert_eq!(at(&holders, Micros::MAX), STEPS - 1);
    let unseen = [Standing::Home, Standing::Spare, Standing::Far].map(|s| holders.known(7, B, s, 0).0);
    assert_eq!(unseen, [STEPS, STEPS + 1, STEPS + 2]);
    holders.lack(7, Some(A));
    assert_eq!(at(&holders, 0), STEPS);
    holders.hold(7, A, 0);
    holders.lack(7, None);
    assert_eq!(at(&holders, 0), STEPS);
}

#[test]
fn a_part_follows_what_reads_find_and_tells_how_long_keys_are_kept() {
    let mut holders = Holders::new();
    let all = holders.kept();
    assert_eq!(all, 64_000_000);
    for _ in 0..1_000 {
        holders.told(Known(2), false);
    }
    assert!(holders.chance(Known(2)) < 0.01 && holders.chance(Known(1)) > 0.9);
    assert_eq!(holders.kept(), 1_000_000, "found up to a second after, not later");
    assert!(!holders.asked(5, 0), "never before");
    assert!(holders.asked(5, 1_000_000), "a second ago");
    assert!(!holders.asked(5, 2_000_001), "longer ago than caches keep it");
}

#[test]
fn a_million_keys_and_a_thousand_caches_of_one_are_forgotten_in_time() {
    let mut holders = Holders::new();
    for key in 0..1_000_000 {
        holders.asked(key, key);
        holders.hold(key, A, key);
    }
    let kept = holders.young.len() + holders.old.len();
    assert!(kept <= 2 * REMEMBERED, "{kept}");
    assert_eq!(holders.known(999_999, A, Standing::Home, 999_999).0, 0, "the latest stays");
    for server in 0..1_000 {
        holders.hold(3, ServerId(server), 0);
    }
    assert_eq!(holders.recall(3).map(|m| m.held.len()), Some(CACHES_OF_A_KEY));
}
