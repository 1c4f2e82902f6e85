//! Zones and misses are weighed against the queue in the deployment's own terms.

mod common;
use common::*;
use paddlefold::*;

const ORIGIN: ServerId = ServerId(99);

/// A node in zone 0 with caches in the zones given, the first with id 1, and the origin in zone 1.
fn node(price: f64, zones: &[u32]) -> Node {
    let stated = settings(Mode::Aside);
    let classes = vec![Class { aim: 300_000, worth: 1.0, effect: Effect::Safe }, stated.classes[2].clone()];
    let settings = Settings { classes, zone: Some(0), cross_zone_price: price, ..stated };
    let mut node = Node { balancer: Balancer::new(settings, 1, 0), now: 0 };
    let cache = |(id, &zone)| Member { zone, ..Member::up(ServerId(id)) };
    let mut members: Vec<Member> = (1..).zip(zones).map(cache).collect();
    members.push(Member { origin: true, zone: 1, ..Member::up(ORIGIN) });
    node.list(ListScope::Full, members);
    node
}

/// Reads a key that no cache holds: the origin answers. Tells whom it asked.
fn miss(node: &mut Node, id: u32, key: &str) -> Vec<ServerId> {
    let mut asked = Vec::new();
    let mut next = sent(&node.read(id, key));
    while let Some(server) = next {
        let attempt = asked.len();
        asked.push(server);
        node.now += 20_000;
        let outcome = if server == ORIGIN { Outcome::Ok } else { Outcome::Miss };
        next = sent(&node.end(id, attempt, outcome, 20_000));
    }
    asked
}

/// Reads many keys at once, over and over, until their caches hold them and the node keeps that many out at once.
fn settle(node: &mut Node, key: &str) {
    for round in 0..30 {
        let ids = 100_000 + 40 * round..100_000 + 40 * (round + 1);
        let mut out: Vec<u32> = Vec::new();
        for id in ids {
            let key = if id % 2 == 0 { key.into() } else { format!("settle-{}", id % 60) };
            out.extend(node.read(id, &key).iter().filter_map(sent_to));
        }
        while !out.is_empty() {
            node.now += 50_000;
            let ended = std::mem::take(&mut out);
            out.extend(
                ended
                    .into_iter()
                    .flat_map(|id| node.end(id, 0, Outcome::Ok, 50_000))
                    .filter_map(|a| sent_to(&a)),
            );
        }
    }
}

fn sent_to(action: &Action) -> Option<u32> {
    match action {
        Action::Send { id, .. } => Some(id.0),
        _ => None,
    }
}

#[test]
fn without_a_price_zones_change_no_choice() {
    for seed in 0..20 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut zones: Vec<u32> = (0..9).map(|_| rng.u32(..3)).collect();
        let mut one = node(0.0, &zones);
        rng.shuffle(&mut zones);
        let mut other = node(0.0, &zones);
        for n in 0..400 {
            let key = format!("k{}", rng.u32(..50));
            assert_eq!(sent(&one.read(n, &key)), sent(&other.read(n, &key)), "seed {seed}, read {n}");
            one.now += rng.u64(0..50_000);
            other.now = one.now;
            if rng.u8(..4) != 0 {
                one.end(n, 0, Outcome::Ok, 50_000); // a zone's own times tell of queues, priced or not
                other.end(n, 0, Outcome::Ok, 50_000);
            }
        }
    }
}

/// The queue at the own zone's one cache when a read of a key first leaves the zone for one that holds it too.
fn queue_before_crossing(price: f64) -> usize {
    let mut node = node(price, &[0, 1, 1, 2, 2]);
    settle(&mut node, "hot");
    let mut to = (0..60).map(|n| sent(&node.read(n, "hot")));
    to.position(|s| s.is_some_and(|s| s != ServerId(1))).unwrap_or(60)
}

#[test]
fn a_zone_with_more_reads_than_its_caches_carry_sends_some_on_once_the_queue_costs_more_than_the_way() {
    // 50 ms of work hold up the next by a twelfth of an aim of 300 ms, so that a read's worth is a queue of 12.
    for price in [0.05, 0.2, 0.5, 2.0] {
        let queue = queue_before_crossing(price) as f64;
        let worth = 12.0 * price;
        assert!((worth - 1.0..=worth + 5.0).contains(&queue), "price {price}: crossed behind {queue}");
    }
}

#[test]
fn an_idle_zone_keeps_its_reads_and_its_few_caches_do_not_lend_the_set_far_ones() {
    let mut node = node(0.2, &[0, 1, 1, 1, 2, 2, 2]);
    settle(&mut node, "hot");
    for n in 0..200 {
        let to = node.serve(n, &format!("settle-{}", n % 60), 50_000);
        assert_eq!(to, ServerId(1), "read {n} left its zone");
    }
}

#[test]
fn a_key_wanted_once_is_fetched_at_once_where_caches_surely_lack_it_and_one_wanted_twice_is_stored_near() {
    let mut node = node(0.2, &[0, 0, 0, 1, 1, 1]);
    let asked_first = miss(&mut node, 0, "first");
    assert_eq!(asked_first.len(), 2, "unless told otherwise, a cache is asked: {asked_first:?}");
    for n in 1..400 {
        miss(&mut node, n, &format!("scan-{n}"));
    }
    assert_eq!(miss(&mut node, 1_000, "once"), [ORIGIN]);
    let again = miss(&mut node, 1_001, "once");
    assert!(again.len() == 2 && again[0] <= ServerId(3), "stored in its zone the second time: {again:?}");
    assert_eq!(sent(&node.read(1_002, "once")), Some(again[0]), "and found there");
}

#[test]
fn an_origin_that_strains_is_spared_the_reads_that_a_cache_might_answer() {
    let mut node = node(0.2, &[0, 0, 0, 1, 1, 1]);
    for n in 0..400 {
        miss(&mut node, n, &format!("scan-{n}"));
    }
    assert_eq!(miss(&mut node, 1_000, "before"), [ORIGIN]);
    for n in 2_000..2_030 {
        node.request(n, "write", 1, true);
        node.now += 5_000;
        node.end(n, 0, Outcome::QueueFull, 5_000);
        let to = sent(&node.read(10_000 + n, &format!("strained-{n}")));
        node.tell(Event::ClientGone(RequestId(10_000 + n)));
        if n > 2_020 {
            assert!(to.is_none_or(|to| to != ORIGIN), "read {n} went to {to:?}");
        }
    }
}

#[test]
fn a_write_voids_what_is_known_of_its_key() {
    let mut node = node(0.2, &[0, 0, 0, 1, 1, 1]);
    for n in 0..400 {
        miss(&mut node, n, &format!("scan-{n}"));
    }
    miss(&mut node, 1_000, "key");
    let holder = miss(&mut node, 1_001, "key")[0];
    assert_eq!(sent(&node.read(1_002, "key")), Some(holder));
    node.end(1_002, 0, Outcome::Ok, 120_000); // as slow as is usual so far, so that the reckoning stays
    assert_eq!(sent(&node.request(1_003, "key", 1, true)), Some(ORIGIN));
    node.end(1_003, 0, Outcome::Ok, 20_000);
    node.now += 100 * SECOND; // nobody has asked for it for longer than caches keep keys
    assert_eq!(sent(&node.read(1_004, "key")), Some(ORIGIN), "no cache holds it now");
}

#[test]
fn caches_that_fail_fast_draw_fewer_reads_the_more_they_fail_since_others_come_to_hold_the_keys() {
    let share = |part: f64| {
        let mut node = node(0.0, &[0; 10]);
        node.warm_up();
        let mut rng = fastrand::Rng::with_seed(3);
        let mut struck = 0;
        for n in 1_000..5_000 {
            let id = n;
            let to = sent(&node.read(id, &format!("k{}", n % 200))).expect("a read is sent");
            let failing = to <= ServerId(2);
            struck += u32::from(failing);
            node.now += 5_000;
            if failing && rng.f64() < part {
                let next = sent(&node.end(id, 0, Outcome::Failed, 5_000));
                if next.is_some() {
                    node.end(id, 1, Outcome::Ok, 50_000);
                }
            } else {
                node.end(id, 0, Outcome::Ok, 50_000);
            }
        }
        f64::from(struck) / 4_000.0
    };
    let shares = [0.0, 0.31, 0.6, 0.93].map(share);
    assert!(shares[0] > 0.12, "a fifth of the caches: {shares:?}");
    let chance = 0.01; // a few of 4,000 reads either way
    assert!(shares[1] < shares[0] && shares[2] <= shares[1] + chance, "{shares:?}");
    assert!(shares[3] <= shares[2] + chance, "{shares:?}");
    assert!(shares[3] < shares[0] / 4.0, "{shares:?}");
}

/// Others have met a slow cache; this node has not yet.
#[test]
fn what_others_have_seen_moves_reads_off_a_cache_for_a_time_and_is_not_its_own_sight() {
    let mut node = node(0.0, &[0, 0, 0]);
    settle(&mut node, "hot");
    let first = sent(&node.read(1, "hot")).unwrap();
    node.now += 50_000;
    node.end(1, 0, Outcome::Ok, 50_000);
    let told = |slowness, until| Event::PeerSlowness { server: first, slowness, until };
    let until = node.now + 10_000_000;
    node.tell(told(f64::MAX, until));
    let view = node.balancer.server_view(first).unwrap();
    assert!(view.slowness == 6.0 && view.own_slowness < 1.5, "{view:?}");
    assert_ne!(sent(&node.read(2, "hot")), Some(first));
    node.now += 50_000;
    node.end(2, 0, Outcome::Ok, 50_000);
    node.now = until;
    assert_eq!(sent(&node.read(3, "hot")), Some(first), "it is believed no longer");
}
