//! The ids of writes that may have taken effect.

use std::time::Duration;

use lilacquay_core::recent_writes::{IdHash, MAX_IDS, RETENTION, RecentWrites};
use tokio::time::Instant;

fn id(n: usize) -> IdHash {
    IdHash::new(n.to_string().as_bytes())
}

#[test]
fn an_id_is_known_until_its_retention_ends_or_it_was_refused() {
    let (mut writes, now) = (RecentWrites::default(), Instant::now());
    assert!(!writes.contains(now, id(1)));
    assert!(writes.record(now, id(1)) && !writes.record(now, id(1)));
    assert!(writes.contains(now + RETENTION - Duration::from_millis(1), id(1)));
    assert!(!writes.contains(now + RETENTION, id(1)));
    writes.record(now, id(2));
    writes.remove(id(2));
    assert!(!writes.contains(now, id(2)));
    assert!(writes.record(now + Duration::from_millis(1), id(2)), "it may be begun again");
    assert_eq!(writes.ids(), [id(1), id(2)]);
}

#[test]
fn no_more_ids_are_remembered_than_the_maximum_whatever_is_sent() {
    let (mut writes, now) = (RecentWrites::default(), Instant::now());
    (0..3 * MAX_IDS).for_each(|n| _ = writes.record(now, id(n)));
    assert_eq!(writes.ids().len(), MAX_IDS);
    assert!(writes.contains(now, id(3 * MAX_IDS - 1)) && !writes.contains(now, id(0)));
    // Refused ones take no more room than others.
    for n in 0..3 * MAX_IDS {
        writes.record(now, id(n));
        writes.remove(id(n));
    }
    assert!(writes.ids().len() <= MAX_IDS);
}

#[test]
fn a_hash_survives_its_text() {
    assert_eq!(IdHash::from_hex(&id(7).to_hex()), Some(id(7)));
    assert_eq!(IdHash::from_hex("not hexadecimal"), None);
}
