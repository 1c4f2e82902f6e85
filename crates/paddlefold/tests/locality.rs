//! The choice of a cache weighs the price of crossing zones and the chance of a miss against the queue.

mod common;
use common::*;
use paddlefold::*;

const ORIGIN: ServerId = ServerId(99);

/// A node in zone 0, with caches in the given zones (the first has id 1) and the origin in zone 1.
fn node(price: f64, zones: &[u32]) -> Node {
    let base = settings(Mode::Aside);
    let classes = vec![Class { aim: 300_000, worth: 1.0, effect: Effect::Safe }, base.classes[2].clone()];
    let settings = Settings { classes, zone: Some(0), cross_zone_price: price, ..base };
    let mut node = Node { balancer: Balancer::new(settings, 1, 0), now: 0 };
    let cache = |(id, &zone)| Member { zone, ..Member::up(ServerId(id)) };
    let mut members: Vec<Member> = (1..).zip(zones).map(cache).collect();
    members.push(Member { origin: true, zone: 1, ..Member::up(ORIGIN) });
    node.update_list(ListScope::Full, members);
    node
}

/// Reads a key that no cache holds, so that the origin answers; returns the servers that were asked.
fn read_missing_key(node: &mut Node, id: u32, key: &str) -> Vec<ServerId> {
    let mut asked = Vec::new();
    let mut next = first_send(&node.read(id, key));
    while let Some(server) = next {
        let attempt = asked.len();
        asked.push(server);
        node.now += 20_000;
        let outcome = if server == ORIGIN { Outcome::Ok } else { Outcome::Miss };
        next = first_send(&node.end_attempt(id, attempt, outcome, 20_000));
    }
    asked
}

/// Reads many keys at once, over and over, until their caches hold them and the concurrency limit allows that
/// many.
fn fill_caches(node: &mut Node, key: &str) {
    for round in 0..30 {
        let ids = 100_000 + 40 * round..100_000 + 40 * (round + 1);
        let mut in_flight: Vec<u32> = Vec::new();
        for id in ids {
            let key = if id % 2 == 0 { key.into() } else { format!("settle-{}", id % 60) };
            in_flight.extend(node.read(id, &key).iter().filter_map(sent_request));
        }
        while !in_flight.is_empty() {
            node.now += 50_000;
            let ended = std::mem::take(&mut in_flight);
            in_flight.extend(
                ended
                    .into_iter()
                    .flat_map(|id| node.end_attempt(id, 0, Outcome::Ok, 50_000))
                    .filter_map(|a| sent_request(&a)),
            );
        }
    }
}

/// The request of an action that sends an attempt.
fn sent_request(action: &Action) -> Option<u32> {
    match action {
        Action::Send { id, .. } => Some(id.0),
        _ => None,
    }
}

#[test]
fn zones_do_not_affect_choices_without_a_crossing_price() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut zones: Vec<u32> = (0..9).map(|_| rng.u32(..3)).collect();
        let mut one = node(0.0, &zones);
        rng.shuffle(&mut zones);
        let mut other = node(0.0, &zones);
        for n in 0..400 {
            let key = format!("k{}", rng.u32(..50));
            assert_eq!(
                first_send(&one.read(n, &key)),
                first_send(&other.read(n, &key)),
                "seed {seed}, read {n}"
            );
            one.now += rng.u64(0..50_000);
            other.now = one.now;
            if rng.u8(..4) != 0 {
                one.end_attempt(n, 0, Outcome::Ok, 50_000); // a zone's response times show queues, with a price or without
                other.end_attempt(n, 0, Outcome::Ok, 50_000);
            }
        }
    }
}

/// Length of the queue at the own zone's only cache when a read first goes to a cache of another zone that
/// holds the key too.
fn queue_before_crossing(price: f64) -> usize {
    let mut node = node(price, &[0, 1, 1, 2, 2]);
    fill_caches(&mut node, "hot");
    let mut to = (0..60).map(|n| first_send(&node.read(n, "hot")));
    to.position(|s| s.is_some_and(|s| s != ServerId(1))).unwrap_or(60)
}

#[test]
fn reads_cross_zones_once_the_queue_costs_more_than_the_crossing() {
    // A read of 50 ms delays the next one by 25 ms, a twelfth of the aim of 300 ms: a queue of 12 costs a
    // read's worth.
    for price in [0.05, 0.2, 0.5, 2.0] {
        let queue = queue_before_crossing(price) as f64;
        let worth = 12.0 * price;
        assert!((worth - 1.0..=worth + 5.0).contains(&queue), "price {price}: crossed behind {queue}");
    }
}

#[test]
fn an_idle_zone_keeps_its_reads_even_with_fewer_caches_than_candidates() {
    let mut node = node(0.2, &[0, 1, 1, 1, 2, 2, 2]);
    fill_caches(&mut node, "hot");
    for n in 0..200 {
        let to = node.serve(n, &format!("settle-{}", n % 60), 50_000);
        assert_eq!(to, ServerId(1), "read {n} left its zone");
    }
}

#[test]
fn a_key_read_once_is_fetched_directly_and_one_read_twice_is_stored_in_the_own_zone() {
    let mut node = node(0.2, &[0, 0, 0, 1, 1, 1]);
    let asked_first = read_missing_key(&mut node, 0, "first");
    assert_eq!(asked_first.len(), 2, "a cache is asked as long as nothing is known: {asked_first:?}");
    for n in 1..400 {
        read_missing_key(&mut node, n, &format!("scan-{n}"));
    }
    assert_eq!(read_missing_key(&mut node, 1_000, "once"), [ORIGIN]);
    let again = read_missing_key(&mut node, 1_001, "once");
    assert!(again.len() == 2 && again[0] <= ServerId(3), "stored in its zone the second time: {again:?}");
    assert_eq!(first_send(&node.read(1_002, "once")), Some(again[0]), "and found there");
}

#[test]
fn an_overloaded_origin_is_not_sent_reads_that_a_cache_might_answer() {
    let mut node = node(0.2, &[0, 0, 0, 1, 1, 1]);
    for n in 0..400 {
        read_missing_key(&mut node, n, &format!("scan-{n}"));
    }
    assert_eq!(read_missing_key(&mut node, 1_000, "before"), [ORIGIN]);
    for n in 2_000..2_030 {
        node.request(n, "write", 1, true);
        node.now += 5_000;
        node.end_attempt(n, 0, Outcome::QueueFull, 5_000);
        let to = first_send(&node.read(10_000 + n, &format!("strained-{n}")));
        node.handle(Event::ClientGone(RequestId(10_000 + n)));
        if n > 2_020 {
            assert!(to.is_none_or(|to| to != ORIGIN), "read {n} went to {to:?}");
        }
    }
}

#[test]
fn a_write_invalidates_what_is_known_of_its_key() {
    let mut node = node(0.2, &[0, 0, 0, 1, 1, 1]);
    for n in 0..400 {
        read_missing_key(&mut node, n, &format!("scan-{n}"));
    }
    read_missing_key(&mut node, 1_000, "key");
    let holder = read_missing_key(&mut node, 1_001, "key")[0];
    assert_eq!(first_send(&node.read(1_002, "key")), Some(holder));
    node.end_attempt(1_002, 0, Outcome::Ok, 120_000); // the usual time so far, so that the estimates stay
    assert_eq!(first_send(&node.request(1_003, "key", 1, true)), Some(ORIGIN));
    node.end_attempt(1_003, 0, Outcome::Ok, 20_000);
    node.now += 100 * SECOND; // it was not requested for longer than caches keep keys
    assert_eq!(first_send(&node.read(1_004, "key")), Some(ORIGIN), "no cache holds it now");
}

#[test]
fn caches_that_fail_fast_get_fewer_reads_the_more_often_they_fail() {
    // The share of reads that goes to the failing caches: it falls since other caches come to hold the keys.
    let share = |failure_ratio: f64| {
        let mut node = node(0.0, &[0; 10]);
        node.warm_up();
        let mut rng = fastrand::Rng::with_seed(3);
        let mut sent_to_failing = 0;
        for n in 1_000..5_000 {
            let id = n;
            let to = first_send(&node.read(id, &format!("k{}", n % 200))).expect("a read is sent");
            let failing = to <= ServerId(2);
            sent_to_failing += u32::from(failing);
            node.now += 5_000;
            if failing && rng.f64() < failure_ratio {
                let next = first_send(&node.end_attempt(id, 0, Outcome::Failed, 5_000));
                if next.is_some() {
                    node.end_attempt(id, 1, Outcome::Ok, 50_000);
                }
            } else {
                node.end_attempt(id, 0, Outcome::Ok, 50_000);
            }
        }
        f64::from(sent_to_failing) / 4_000.0
    };
    let shares = [0.0, 0.31, 0.6, 0.93].map(share);
    assert!(shares[0] > 0.12, "a fifth of the caches: {shares:?}");
    let tolerance = 0.01; // some of 4,000 reads either way
    assert!(shares[1] < shares[0] && shares[2] <= shares[1] + tolerance, "{shares:?}");
    assert!(shares[3] <= shares[2] + tolerance, "{shares:?}");
    assert!(shares[3] < shares[0] / 4.0, "{shares:?}");
}

/// Other nodes have found a cache slow; this node has not yet.
#[test]
fn slowness_reported_by_peers_moves_reads_for_a_time_and_does_not_change_the_own_estimate() {
    let mut node = node(0.0, &[0, 0, 0]);
    fill_caches(&mut node, "hot");
    let first = first_send(&node.read(1, "hot")).unwrap();
    node.now += 50_000;
    node.end_attempt(1, 0, Outcome::Ok, 50_000);
    let report = |slowness, until| Event::PeerSlowness { server: first, slowness, until };
    let until = node.now + 10_000_000;
    node.handle(report(f64::MAX, until));
    let view = node.balancer.server_view(first).unwrap();
    assert!(view.slowness == 6.0 && view.own_slowness < 1.5, "{view:?}");
    assert_ne!(first_send(&node.read(2, "hot")), Some(first));
    node.now += 50_000;
    node.end_attempt(2, 0, Outcome::Ok, 50_000);
    node.now = until;
    assert_eq!(first_send(&node.read(3, "hot")), Some(first), "the report is no longer valid");
}
