//! Failures that occur only with many nodes or caches, tested from the point of view of one node.

mod common;
use common::*;
use paddlefold::*;

/// A node whose caches are spread evenly over zones.
fn node_with_zones(settings: Settings, caches: u32, zones: u32) -> Node {
    let mut node = Node::new(settings, 0);
    let member = |id| Member { zone: id % zones, ..Member::up(ServerId(id)) };
    node.update_list(ListScope::Full, (0..caches).map(member).collect());
    node
}

/// Reads whose connections fail at the caches for which `fails` is true; returns the servers of all attempts.
fn attempted_servers(
    node: &mut Node,
    ids: std::ops::Range<u32>,
    pause: Micros,
    fails: impl Fn(u32) -> bool,
) -> Vec<u32> {
    let mut asked = Vec::new();
    for id in ids {
        let mut next = first_send(&node.read(id, &format!("k{id}")));
        for attempt in 0.. {
            let Some(to) = next else { break };
            asked.push(to.0);
            let outcome = if fails(to.0) { Outcome::ConnectError } else { Outcome::Ok };
            node.now += if fails(to.0) { pause } else { 20_000 };
            next = first_send(&node.end_attempt(id, attempt, outcome, 20_000));
        }
    }
    asked
}

/// Number of reads of a key, one every `pause`, until they no longer go to the key's first cache, which has
/// become three times slower.
fn samples_until_avoided(pause: Micros) -> usize {
    let mut node = Node::new(settings(Mode::Through), 10);
    node.warm_up();
    let first = node.serve(1_000, "key", 50_000);
    for n in 1..100 {
        node.now += pause;
        let to = first_send(&node.read(1_000 + n, "key")).expect("a read is sent");
        let slow = if to == first { 3 } else { 1 };
        node.end_attempt(1_000 + n, 0, Outcome::Ok, slow * 50_000);
        if to != first {
            return n as usize - 1;
        }
    }
    panic!("the slow cache is never avoided");
}

#[test]
fn a_cache_that_is_used_seldom_needs_fewer_samples_to_be_avoided() {
    // Where each of a hundred nodes uses a cache every few seconds only, each would need several samples of
    // its own to find out that it has become slow.
    assert_eq!(samples_until_avoided(3 * SECOND), 1);
    assert!(samples_until_avoided(SECOND / 50) > 1, "one slow answer of many may be chance");
}

/// The fraction of 600 keys that goes first to caches 1 to 5, of kind 1, which take `slow` times as long.
fn share_of_slow_kind(slow: Micros) -> f64 {
    let mut node = Node::new(settings(Mode::Through), 0);
    let kind = |id| if id <= 5 { 1 } else { 2 };
    let member = |id| Member { kind: kind(id), ..Member::up(ServerId(id)) };
    node.update_list(ListScope::Full, (1..=10).map(member).collect());
    let mut at_slow = 0;
    for n in 0..800 {
        let to = first_send(&node.read(n, &format!("k{n}"))).unwrap();
        let elapsed = if to.0 <= 5 { 20_000 * slow } else { 20_000 };
        node.now += elapsed;
        node.end_attempt(n, 0, Outcome::Ok, elapsed);
        at_slow += usize::from(n >= 200 && to.0 <= 5);
    }
    at_slow as f64 / 600.0
}

#[test]
fn where_no_sizes_are_listed_a_slow_kind_of_machine_gets_fewer_keys() {
    // With equal numbers of keys, a slow kind was overloaded while a fast one was idle.
    let even = share_of_slow_kind(1);
    assert!((0.4..0.6).contains(&even), "{even}");
    let slow = share_of_slow_kind(3);
    assert!(slow < 0.35, "three times as slow: {slow}");
}

#[test]
fn nodes_do_not_all_send_to_a_cold_cache_at_the_same_time() {
    // If the credits of hundreds of nodes all started at zero, a cold cache would first be sent nothing and
    // then requests from all of them at once.
    let mut first_asked = Vec::new();
    for seed in 0..40 {
        let mut node = Node { balancer: Balancer::new(settings(Mode::Through), seed, 0), now: 0 };
        node.update_list(ListScope::Full, vec![Member::up(ServerId(1))]);
        for id in 0..40 {
            node.serve(id, "k", 10_000);
            node.now += SECOND;
        }
        node.update_list(
            ListScope::Delta,
            vec![Member { started: Some(node.now), ..Member::up(ServerId(1)) }],
        );
        let first = (1000..1010).position(|id| {
            node.now += SECOND / 4;
            first_send(&node.read(id, "k")).is_some()
        });
        first_asked.push(first.expect("asked within seconds"));
    }
    let at_once = |n| first_asked.iter().filter(|&&first| first == n).count();
    let max_at_once = (0..10).map(at_once).max().unwrap();
    assert!(max_at_once <= 20, "{max_at_once} of 40 nodes at the same time: {first_asked:?}");
}

#[test]
fn where_crossing_zones_has_a_price_own_caches_come_first_but_all_stay_candidates() {
    // Otherwise three of four attempts cross zones, which has a price, and which fails when a zone is cut
    // off.
    let own = |price| {
        let s = Settings { zone: Some(1), cross_zone_price: price, ..settings(Mode::Through) };
        let mut node = node_with_zones(s, 12, 4);
        (0..400).filter(|&id| node.serve(id, &format!("k{id}"), 10_000).0 % 4 == 1).count()
    };
    assert!((60..140).contains(&own(0.0)), "a quarter where crossing is free: {}", own(0.0));
    assert!((250..400).contains(&own(0.05)), "{}", own(0.05));
}

#[test]
fn reads_back_off_from_an_overloaded_origin_and_writes_do_not() {
    // Otherwise hundreds of nodes, with a fetch or two each, overload the origin, so that writes fail.
    let (mut fetched, mut written) = (0, 0);
    for seed in 0..40 {
        let mut node = Node { balancer: Balancer::new(settings(Mode::Aside), seed, 0), now: 0 };
        let origin = Member { origin: true, ..Member::up(ServerId(99)) };
        node.update_list(ListScope::Full, vec![Member::up(ServerId(1)), origin]);
        for id in 0..5 {
            node.read(id, &format!("k{id}"));
            node.end_attempt(id, 0, Outcome::Miss, 5_000);
            node.now += SECOND;
            node.end_attempt(id, 1, Outcome::TimedOut, SECOND);
        }
        node.read(100, "k100");
        let missed = node.end_attempt(100, 0, Outcome::Miss, 5_000);
        if first_send(&missed) == Some(ServerId(99)) {
            fetched += 1;
        } else {
            assert!(first_timer(&missed).is_some_and(|(after, _)| after < SECOND), "the read backs off");
            written += usize::from(first_send(&node.request(200, "k", 1, true)) == Some(ServerId(99)));
        }
    }
    assert!((10..35).contains(&fetched), "{fetched} of 40 reads at once");
    assert_eq!(written, 40 - fetched, "a write goes at once");
}

#[test]
fn a_zone_that_is_cut_off_is_probed_by_one_read_at_a_time() {
    // Otherwise the candidates in a zone that is cut off are tried one by one: a node that uses each cache
    // once in half a minute has no failures of it on record.
    let mut node = node_with_zones(settings(Mode::Through), 20, 2);
    node.warm_up();
    let cut = |to: u32| to % 2 == 1;
    let tried =
        attempted_servers(&mut node, 1000..1060, 1_000, cut).into_iter().filter(|&to| cut(to)).count();
    assert!((3..12).contains(&tried), "{tried} attempts at a zone that is cut off");
    // The zone is reachable again: one read finds that out, and the zone is used again.
    let mut back = 0;
    for id in 2000..2100 {
        back += node.serve(id, &format!("k{id}"), 60_000).0 % 2;
    }
    assert!(back > 20, "{back} of 100 reads");
}

#[test]
fn dead_caches_do_not_cut_off_their_zone() {
    let mut node = node_with_zones(settings(Mode::Through), 20, 2);
    node.warm_up();
    let dead = |to: u32| to == 1 || to == 3;
    let asked = attempted_servers(&mut node, 1001..1101, 20_000, dead);
    let asked = asked.into_iter().filter(|&to| to % 2 == 1 && !dead(to)).count();
    assert!(asked > 30, "the others of the zone were asked {asked} times");
}

/// Number of connections that a node with this many caches makes for 800 reads of 3,000 keys in 20 s. An idle
/// connection is used again until its server would close it.
fn connections_made(caches: u32, seed: u64) -> usize {
    const READS: u32 = 800;
    const RESPONSE_TIME: Micros = 10_000;
    let settings = Settings { keepalive: 15 * SECOND, ..settings(Mode::Aside) };
    let mut node = Node::new(settings, caches);
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut made, mut used) = (0, std::collections::HashMap::new());
    for id in 0..READS {
        node.now += rng.u64(0..2 * 20 * SECOND / u64::from(READS));
        let to = first_send(&node.read(id, &format!("k{}", rng.u32(..3_000)))).expect("a read is sent");
        let last = used.insert(to, node.now + RESPONSE_TIME);
        made += usize::from(last.is_none_or(|last| node.now >= last + 15 * SECOND * 9 / 10));
        node.now += RESPONSE_TIME;
        node.end_attempt(id, 0, Outcome::Ok, RESPONSE_TIME);
    }
    made
}

#[test]
fn sixteen_times_the_caches_took_more_than_two_and_a_half_times_the_connections() {
    for seed in 0..5 {
        let (usual, many) = (connections_made(200, seed), connections_made(3_200, seed));
        assert!(many * 2 <= usual * 5 + 80, "{many} connections, {usual} with 200 caches");
    }
}
