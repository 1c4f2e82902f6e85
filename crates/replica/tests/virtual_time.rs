//! Copies in virtual time: what becomes of orders, words and lendings through loss, splits, pauses, deaths and returns.

use std::collections::BTreeSet;

use lilacquay_codec::replica::{LeaseMessage, Message, Part, Record, RecordUpdate, Version, encode};
use lilacquay_replica::endpoint_reports::{Listed, OwnList, left_out, say};
use lilacquay_replica::orders::{Action, KEPT};
use lilacquay_replica::simulation::{MS, S, World};
use lilacquay_replica::{Micros, Stage, evidence, kind};

fn world(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, seed);
    world.run(5 * S);
    world
}

fn order(world: &mut World, node: usize, server: &str, action: Action) -> u64 {
    let life = (action == Action::LeaveOut).then_some(30 * S);
    world.on(node, |replica, now| replica.order(now, server.as_bytes(), action, life, 0).unwrap())
}

/// What stands at a node for a server, and whether others contradict it; a tombstone is nothing.
fn stands(world: &World, node: usize, server: &str) -> Option<(Action, bool)> {
    let now = world.clock(node);
    let mut all = world.replica(node).orders(now);
    let found = all.find(|(standing, left)| {
        standing.subject == server.as_bytes() && !standing.order.is_tombstone(*left)
    });
    found.map(|(standing, _)| (standing.order.action, standing.is_conflict()))
}

fn all_hold(world: &World, server: &str, what: Option<Action>) -> bool {
    (0..world.nodes.len())
        .filter(|&node| world.runs(node))
        .all(|node| stands(world, node, server).map(|(action, _)| action) == what)
}

#[test]
fn a_drain_is_held_by_all_within_its_times_and_its_holders_are_counted() {
    for (nodes, loss) in [(3, 0), (30, 100), (300, 0), (300, 100)] {
        let mut world = world(nodes, 1);
        world.loss = (loss, 20);
        let id = order(&mut world, nodes / 2, "box-1", Action::Drain);
        let all = world.until(3 * S, |w| all_hold(w, "box-1", Some(Action::Drain)));
        assert!(all <= if nodes < 300 { S } else { 2 * S }, "{nodes} nodes: held by all after {all}");
        world.until(8 * S, |w| w.replica(nodes / 2).holders(id) == nodes);
        world.until(8 * S, World::alike);
        order(&mut world, 0, "box-1", Action::Undrain);
        world.until(3 * S, |w| all_hold(w, "box-1", None));
    }
}

/// A drain in one half, its undrain in the other; the undrain had not seen the drain that was renewed meanwhile.
#[test]
fn of_orders_that_had_not_seen_one_another_the_drain_stands_until_it_is_settled() {
    let mut world = world(6, 2);
    order(&mut world, 0, "box", Action::Drain);
    world.until(3 * S, |w| all_hold(w, "box", Some(Action::Drain)));
    world.split(|node| node < 3, true);
    world.run(3 * S);
    order(&mut world, 1, "box", Action::Drain);
    order(&mut world, 4, "box", Action::Undrain);
    world.run(10 * S);
    assert_eq!((stands(&world, 0, "box"), stands(&world, 5, "box")), (Some((Action::Drain, false)), None));
    world.split(|node| node < 3, false);
    world.until(6 * S, World::alike);
    assert!(
        (0..6).all(|node| stands(&world, node, "box") == Some((Action::Drain, true))),
        "shown as a conflict"
    );
    // Whoever settles it has seen both.
    order(&mut world, 5, "box", Action::Undrain);
    world.until(3 * S, |w| all_hold(w, "box", None));
    world.run(5 * S);
    assert!(world.alike() && all_hold(&world, "box", None));
}

/// By k holders: k - 1 may die, and the one that is left brings it to all that come back with nothing.
#[test]
fn an_order_that_k_hold_outlasts_the_death_of_all_but_one() {
    for seed in 0..12 {
        let mut world = world(5, seed);
        world.loss = (200, 50);
        let id = order(&mut world, 0, "box", Action::Drain);
        let wanted = 2 + seed as usize % 3;
        world.until(6 * S, |w| w.replica(0).holders(id) >= wanted);
        let holds = |w: &World, n: usize| stands(w, n, "box").is_some();
        let held: Vec<usize> = (0..5).filter(|&n| holds(&world, n)).collect();
        let survivor = held[world.rng.usize(..held.len())];
        (0..5).filter(|&n| n != survivor).for_each(|n| world.kill(n));
        world.run(300 * MS);
        (0..5).filter(|&n| n != survivor).for_each(|n| world.start(n));
        world.until(8 * S, |w| all_hold(w, "box", Some(Action::Drain)));
    }
}

/// It was away for longer than tombstones live; they did not live on while it was away.
#[test]
fn one_that_was_away_for_however_long_brings_nothing_back() {
    for paused in [true, false] {
        let mut world = world(5, 3);
        order(&mut world, 0, "box", Action::Drain);
        world.until(3 * S, |w| all_hold(w, "box", Some(Action::Drain)));
        if paused {
            world.pause(4);
        } else {
            world.split(|node| node == 4, true);
        }
        world.run(3 * S);
        order(&mut world, 1, "box", Action::Undrain);
        world.run(3 * KEPT);
        assert_eq!(world.replica(0).len(), 1, "the tombstone waits for it");
        if paused {
            world.resume(4);
        } else {
            world.split(|node| node == 4, false);
        }
        world.until(5 * S, |w| w.alike() && all_hold(w, "box", None));
        world.run(KEPT + 30 * S);
        assert!((0..5).all(|node| world.replica(node).is_empty()), "then it goes");
    }
}

#[test]
fn a_time_that_is_over_is_over_everywhere_whatever_the_clocks_say() {
    let mut world = World::new(5, 4);
    world.kill(1);
    world.nodes[1].off = 5 * S;
    world.start(1);
    world.run(5 * S);
    order(&mut world, 1, "box", Action::LeaveOut);
    world.until(3 * S, |w| all_hold(w, "box", Some(Action::LeaveOut)));
    world.run(26 * S);
    assert!(all_hold(&world, "box", Some(Action::LeaveOut)));
    world.run(5 * S);
    assert!(all_hold(&world, "box", None));
}

/// Seeded histories of orders, splits, pauses, deaths and returns: all copies are alike soon after the last of them, no
/// drain is lost while one that held it lives, and none comes back that was lifted by one that had seen it.
#[test]
fn whatever_happens_all_copies_end_alike_and_no_drain_is_lost() {
    for seed in 0..60 {
        let mut world = World::new(5, seed);
        world.loss = (world.rng.u32(0..300), 100);
        world.delay = (MS, 300 * MS);
        world.run(4 * S);
        let servers = ["a", "b", "c"];
        for _ in 0..30 {
            let node = world.rng.usize(..5);
            match world.rng.u8(..8) {
                0..=2 if world.runs(node) => {
                    let server = servers[world.rng.usize(..3)];
                    let action = [Action::Drain, Action::Undrain, Action::LeaveOut][world.rng.usize(..3)];
                    order(&mut world, node, server, action);
                }
                3 => world.pause(node),
                4 => (0..5).for_each(|node| world.resume(node)),
                5 => {
                    let odd = world.rng.u8(..);
                    world.split(|node| odd >> node & 1 > 0, true);
                }
                6 => world.split(|node| node == 0, false),
                _ if (0..5).filter(|&n| world.runs(n)).count() > 2 => {
                    world.kill(node);
                    let time = world.rng.u64(..S);
                    world.run(time);
                    world.start(node);
                }
                _ => {}
            }
            let time = world.rng.u64(..1500 * MS);
            world.run(time);
        }
        let before: Vec<BTreeSet<&str>> = (0..5)
            .map(|n| {
                let holds = |server: &&str| matches!(stands(&world, n, server), Some((Action::Drain, _)));
                servers.iter().copied().filter(holds).collect()
            })
            .collect();
        (0..5).for_each(|node| world.resume(node));
        for from in 0..5 {
            (0..5).for_each(|to| world.cut(from, to, false));
        }
        world.loss = (100, 100);
        world.until(12 * S, World::alike);
        world.run(2 * S);
        for server in servers {
            let after: BTreeSet<_> = (0..5).map(|n| stands(&world, n, server)).collect();
            assert_eq!(after.len(), 1, "seed {seed}, {server}: {after:?}");
            // What all held before the end holds after it.
            if before.iter().all(|held| held.contains(server)) {
                assert!(matches!(after.first().unwrap(), Some((Action::Drain, _))), "seed {seed}, {server}");
            }
        }
    }
}

#[test]
fn one_who_returns_is_level_soon_and_so_are_two_hundred_at_once() {
    for (nodes, back, records) in [(30, 1, 30), (300, 1, 60), (300, 200, 60)] {
        let mut world = world(nodes, 5);
        for n in 0..records {
            order(&mut world, n % nodes, &format!("box-{n}"), Action::Drain);
        }
        world.until(20 * S, World::alike);
        (0..back).for_each(|node| world.kill(node));
        (0..back).for_each(|node| world.start(node));
        let level = |w: &World| (0..back).all(|n| matches!(w.replica(n).stage(), Stage::Level(_)));
        assert!(!level(&world));
        let before: Vec<u64> = world.nodes.iter().map(|node| node.sent).collect();
        let time = world.until(6 * S, |w| {
            // Nobody says so that lacks what the others hold.
            let early =
                |n: usize| matches!(w.replica(n).stage(), Stage::Level(_)) && w.replica(n).len() < records;
            assert!(!(0..back).any(early));
            level(w) && w.alike()
        });
        assert!(time <= if back > 1 { 5 * S } else { 2 * S }, "{back} of {nodes}: level after {time}");
        // Whoever is asked answers no quicker than stated.
        let most = (0..nodes).map(|n| world.nodes[n].sent - before[n]).max().unwrap();
        let bound = 60 + 150 * time / S + 10 * (time / (250 * MS) + 1) + 10;
        assert!(most <= bound, "{most} datagrams of {bound}");
    }
}

#[test]
fn a_difference_of_ten_thousand_is_found_and_mended() {
    let mut world = world(40, 6);
    world.split(|node| node < 20, true);
    world.run(3 * S);
    for node in 0..40 {
        world.on(node, |replica, now| {
            for n in 0..250_u32 {
                replica.write(now, kind::WORD, &n.to_be_bytes(), vec![7; 17], Some(3_000 * S));
            }
        });
    }
    world.split(|node| node < 20, false);
    world.until(120 * S, World::alike);
    assert_eq!(world.replica(0).len(), 4_096, "the bound of the kind, the same at all");
    // And one alone is found among them at once.
    world.on(3, |replica, now| _ = replica.write(now, 99, b"of a later build", vec![1], None));
    let time = world.until(5 * S, |w| w.alike() && w.replica(39).of_kind(99).count() == 1);
    assert!(time <= 3 * S, "{time}");
}

fn listed(started_ms: u64) -> Option<Listed> {
    Some(Listed { serves: true, started_ms })
}

fn own(version: u64, servers: usize) -> OwnList {
    let mut own = OwnList::default();
    assert!(own.told(true, Some(version), (0..servers).map(|n| (format!("s{n}"), listed(5)))).is_empty());
    own
}

#[test]
fn word_takes_away_only_and_no_more_than_its_bound() {
    let (mut world, mut list) = (world(8, 7), own(40, 20));
    let drains = |n: usize| (format!("s{n}"), Some(Listed { serves: false, started_ms: 5 }));
    let ended = list.told(false, Some(41), [drains(3), ("s4".into(), None), ("new".into(), listed(9))]);
    assert_eq!(ended.len(), 2);
    world.on(0, |replica, now| say(replica, now, &list, &ended));
    world.run(2 * S);
    let names = |set: BTreeSet<String>| set.into_iter().collect::<Vec<_>>().join(" ");
    let out = |world: &World, at: usize, own: &OwnList| names(left_out(world.replica(at), at as u16, own));
    let behind = own(40, 20);
    assert_eq!(out(&world, 1, &behind), "s3", "one node's word: one server of twenty");
    assert_eq!(out(&world, 0, &behind), "", "nobody goes by its own word");
    assert_eq!(out(&world, 1, &own(41, 20)), "", "a list as new as the word goes before it");
    let mut restarted = own(40, 20);
    restarted.told(false, Some(40), [("s3".into(), listed(6))]);
    assert_eq!(out(&world, 1, &restarted), "s4", "it was of the start before");
    // One that lies about all; then two; then four.
    for liars in [1, 2, 4] {
        for liar in 2..2 + liars {
            let mut list = own(50, 20);
            let ended = list.told(true, Some(99), []);
            assert_eq!(ended.len(), 20);
            world.on(liar, |replica, now| {
                for ended in &ended {
                    say(replica, now, &list, std::slice::from_ref(ended));
                }
            });
            world.run(2 * S);
        }
        let most = match liars {
            1 => 1,
            2 => 4,
            _ => 10,
        };
        assert!(left_out(world.replica(1), 1, &behind).len() <= most.max(2), "{liars}");
    }
    world.run(70 * S);
    assert_eq!(out(&world, 1, &behind), "", "it ends by itself");
}

#[test]
fn evidence_takes_two_who_have_seen_it_and_feeds_no_rumour() {
    let mut world = world(6, 8);
    let seen = |slowness| vec![evidence::Seen { server: "box".into(), slowness }];
    world.on(0, |replica, now| evidence::say(replica, now, 0, seen(1e9)));
    world.run(2 * S);
    assert!(evidence::believed(world.replica(1), 1).is_empty(), "one moves nobody");
    world.on(2, |replica, now| evidence::say(replica, now, 2, seen(3.0)));
    world.run(2 * S);
    assert_eq!(evidence::believed(world.replica(1), 1)["box"], 3.0);
    assert!(evidence::believed(world.replica(2), 2).is_empty(), "its own sight does not count twice");
    world.run(12 * S);
    assert!(evidence::believed(world.replica(1), 1).is_empty());
}

/// Of a node's name with another copy; of a name that its process before has used with a higher number.
#[test]
fn two_copies_of_one_name_end_as_one_and_a_clock_put_back_is_overcome() {
    let mut world = world(4, 9);
    let record = |counter: u32, value: u8| {
        let version = Version { incarnation: 77, counter };
        Record { kind: kind::WORD, origin: 2, name: b"box".into(), version, value: vec![value; 17] }
    };
    let said = |record: Record| {
        let mut said = Message::default();
        said.add(Part::Record(RecordUpdate { record, remaining_tenths: Some(600), ack_requested: false }));
        encode(7, &said)
    };
    for (at, value) in [(0, 1), (1, 9), (3, 5)] {
        world.on(at, |replica, now| _ = replica.heard(now, 2, &said(record(3, value))));
    }
    world.until(5 * S, World::alike);
    let value = |w: &World, at: usize| w.replica(at).of_kind(kind::WORD).next().unwrap().record.value[0];
    assert_eq!(value(&world, 0), 9);
    // Node 2 writes it anew, though its own incarnation is 1.
    world.on(2, |replica, now| _ = replica.write(now, kind::WORD, b"box", vec![4; 17], Some(60 * S)));
    world.until(5 * S, World::alike);
    assert!((0..4).all(|at| value(&world, at) == 4));
    // As one that is kept over a restart, of a life whose numbers were higher.
    let version = Version { incarnation: 900, counter: 9 };
    let kept = Record { kind: 99, origin: 1, name: b"kept".into(), version, value: vec![1] };
    world.on(1, |replica, now| {
        replica.restore(now, kept, None);
        assert!(replica.write(now, 99, b"kept", vec![2], None).is_news());
    });
    world.until(5 * S, |w| (0..4).all(|at| w.replica(at).of_kind(99).any(|held| held.record.value == [2])));
}

#[test]
fn at_rest_few_bytes_are_sent_and_in_a_storm_no_more_than_stated() {
    let mut world = world(100, 10);
    let sent = |w: &World| w.nodes.iter().map(|node| node.sent_bytes).sum::<u64>();
    let before = sent(&world);
    world.run(10 * S);
    let rest = (sent(&world) - before) / 1_000;
    assert!(rest <= 200, "{rest} bytes a second and node");
    let before: Vec<u64> = world.nodes.iter().map(|node| node.sent).collect();
    for n in 0..100 {
        order(&mut world, n, &format!("box-{n}"), Action::Drain);
    }
    let time: Micros = world.until(20 * S, World::alike);
    let most = (0..100).map(|n| world.nodes[n].sent - before[n]).max().unwrap();
    assert!(most <= 60 + 150 * time / S + 10 * (time / (250 * MS) + 2), "{most} in {time}");
}

/// Whatever a listed address says, and however often.
#[test]
fn words_of_rights_that_nobody_takes_do_not_pile_up() {
    let mut world = world(3, 11);
    let mut said = Message::default();
    (0..10).for_each(|number| _ = said.add(Part::Lease(LeaseMessage::Request { number, amount: 1 })));
    let datagram = encode(7, &said);
    let kept = world.on(0, |replica, now| {
        (0..1_000).for_each(|_| _ = replica.heard(now, 1, &datagram));
        replica.rights().len()
    });
    assert_eq!(kept, 256);
}
