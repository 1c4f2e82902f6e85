//! What is remembered of keys, how it ages, and that its size is bounded.

use super::*;

const A: ServerId = ServerId(1);
const B: ServerId = ServerId(2);

#[test]
fn sightings_age_and_unseen_keys_are_classed_by_the_role_of_the_cache() {
    let mut holders = KeyHolders::new();
    holders.add_holder(7, A, 0);
    let at = |holders: &KeyHolders, now| holders.hit_bucket(7, A, CandidateRole::Primary, now).0;
    assert_eq!([0, 499_999, 500_000, 1_000_000, 2_000_000].map(|now| at(&holders, now)), [0, 0, 1, 2, 3]);
    assert_eq!(at(&holders, Micros::MAX), AGE_BUCKETS - 1);
    let unseen = [CandidateRole::Primary, CandidateRole::Secondary, CandidateRole::OtherZone]
        .map(|role| holders.hit_bucket(7, B, role, 0).0);
    assert_eq!(unseen, [AGE_BUCKETS, AGE_BUCKETS + 1, AGE_BUCKETS + 2]);
    holders.remove_holder(7, Some(A));
    assert_eq!(at(&holders, 0), AGE_BUCKETS);
    holders.add_holder(7, A, 0);
    holders.remove_holder(7, None);
    assert_eq!(at(&holders, 0), AGE_BUCKETS);
}

#[test]
fn a_hit_ratio_follows_the_lookups_and_determines_how_long_keys_are_assumed_to_be_kept() {
    let mut holders = KeyHolders::new();
    let all = holders.min_retention();
    assert_eq!(all, 64_000_000);
    for _ in 0..1_000 {
        holders.record_lookup(HitBucket(2), false);
    }
    assert!(holders.hit_probability(HitBucket(2)) < 0.01 && holders.hit_probability(HitBucket(1)) > 0.9);
    assert_eq!(holders.min_retention(), 1_000_000, "lookups hit up to one second later, and no longer");
    assert!(!holders.record_request(5, 0), "the first request");
    assert!(holders.record_request(5, 1_000_000), "a second ago");
    assert!(!holders.record_request(5, 2_000_001), "longer ago than caches keep it");
}

#[test]
fn a_million_keys_and_a_thousand_caches_of_one_are_forgotten_in_time() {
    let mut holders = KeyHolders::new();
    for key in 0..1_000_000 {
        holders.record_request(key, key);
        holders.add_holder(key, A, key);
    }
    let kept = holders.current.len() + holders.previous.len();
    assert!(kept <= 2 * KEYS_PER_GENERATION, "{kept}");
    let latest = holders.hit_bucket(999_999, A, CandidateRole::Primary, 999_999).0;
    assert_eq!(latest, 0, "the latest stays");
    for server in 0..1_000 {
        holders.add_holder(3, ServerId(server), 0);
    }
    assert_eq!(holders.key_record(3).map(|r| r.holders.len()), Some(MAX_HOLDERS_PER_KEY));
}
