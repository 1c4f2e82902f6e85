//! Copies in virtual time: what becomes of orders, words and lendings through loss, splits, pauses, deaths and returns.

use std::collections::BTreeSet;

use lilacquay_codec::replica::{Part, Record, Rights, Said, Sent, Version, put};
use lilacquay_replica::endpoint_reports::{LocalServerList, ServerEntry, excluded_servers, publish};
use lilacquay_replica::orders::{Action, TOMBSTONE_RETENTION_US};
use lilacquay_replica::simulation::{MS, SEC, Simulation};
use lilacquay_replica::{Micros, SyncState, evidence, kind};

fn world(nodes: usize, seed: u64) -> Simulation {
    let mut world = Simulation::new(nodes, seed);
    world.run(5 * SEC);
    world
}

fn order(world: &mut Simulation, node: usize, server: &str, action: Action) -> u64 {
    let life = (action == Action::LeaveOut).then_some(30 * SEC);
    world.with_replica(node, |replica, now| {
        replica.issue_order(now, server.as_bytes(), action, life, 0).unwrap()
    })
}

/// What stands at a node for a server, and whether others contradict it; a tombstone is nothing.
fn stands(world: &Simulation, node: usize, server: &str) -> Option<(Action, bool)> {
    let now = world.clock(node);
    let mut all = world.replica(node).effective_orders(now);
    let found = all.find(|(standing, left)| {
        standing.subject == server.as_bytes() && !standing.order.is_tombstone(*left)
    });
    found.map(|(standing, _)| (standing.order.action, standing.is_conflict()))
}

fn all_hold(world: &Simulation, server: &str, what: Option<Action>) -> bool {
    (0..world.nodes.len())
        .filter(|&node| world.runs(node))
        .all(|node| stands(world, node, server).map(|(action, _)| action) == what)
}

#[test]
fn a_drain_is_held_by_all_within_its_times_and_its_holders_are_counted() {
    for (nodes, loss) in [(3, 0), (30, 100), (300, 0), (300, 100)] {
        let mut world = world(nodes, 1);
        (world.loss_permille, world.duplicate_permille) = (loss, 20);
        let id = order(&mut world, nodes / 2, "box-1", Action::Drain);
        let all = world.run_until(3 * SEC, |w| all_hold(w, "box-1", Some(Action::Drain)));
        assert!(all <= if nodes < 300 { SEC } else { 2 * SEC }, "{nodes} nodes: held by all after {all}");
        world.run_until(8 * SEC, |w| w.replica(nodes / 2).holder_count(id) == nodes);
        world.run_until(8 * SEC, Simulation::is_converged);
        order(&mut world, 0, "box-1", Action::Undrain);
        world.run_until(3 * SEC, |w| all_hold(w, "box-1", None));
    }
}

/// A drain in one half, its undrain in the other; the undrain had not seen the drain that was renewed meanwhile.
#[test]
fn of_orders_that_had_not_seen_one_another_the_drain_stands_until_it_is_settled() {
    let mut world = world(6, 2);
    order(&mut world, 0, "box", Action::Drain);
    world.run_until(3 * SEC, |w| all_hold(w, "box", Some(Action::Drain)));
    world.split(|node| node < 3, true);
    world.run(3 * SEC);
    order(&mut world, 1, "box", Action::Drain);
    order(&mut world, 4, "box", Action::Undrain);
    world.run(10 * SEC);
    assert_eq!((stands(&world, 0, "box"), stands(&world, 5, "box")), (Some((Action::Drain, false)), None));
    world.split(|node| node < 3, false);
    world.run_until(6 * SEC, Simulation::is_converged);
    assert!(
        (0..6).all(|node| stands(&world, node, "box") == Some((Action::Drain, true))),
        "shown as a conflict"
    );
    // Whoever settles it has seen both.
    order(&mut world, 5, "box", Action::Undrain);
    world.run_until(3 * SEC, |w| all_hold(w, "box", None));
    world.run(5 * SEC);
    assert!(world.is_converged() && all_hold(&world, "box", None));
}

/// By k holders: k - 1 may die, and the one that is left brings it to all that come back with nothing.
#[test]
fn an_order_that_k_hold_outlasts_the_death_of_all_but_one() {
    for seed in 0..12 {
        let mut world = world(5, seed);
        (world.loss_permille, world.duplicate_permille) = (200, 50);
        let id = order(&mut world, 0, "box", Action::Drain);
        let wanted = 2 + seed as usize % 3;
        world.run_until(6 * SEC, |w| w.replica(0).holder_count(id) >= wanted);
        let holds = |w: &Simulation, n: usize| stands(w, n, "box").is_some();
        let held: Vec<usize> = (0..5).filter(|&n| holds(&world, n)).collect();
        let survivor = held[world.rng.usize(..held.len())];
        (0..5).filter(|&n| n != survivor).for_each(|n| world.kill(n));
        world.run(300 * MS);
        (0..5).filter(|&n| n != survivor).for_each(|n| world.start(n));
        world.run_until(8 * SEC, |w| all_hold(w, "box", Some(Action::Drain)));
    }
}

/// It was away for longer than tombstones live; they did not live on while it was away.
#[test]
fn one_that_was_away_for_however_long_brings_nothing_back() {
    for paused in [true, false] {
        let mut world = world(5, 3);
        order(&mut world, 0, "box", Action::Drain);
        world.run_until(3 * SEC, |w| all_hold(w, "box", Some(Action::Drain)));
        if paused {
            world.pause(4);
        } else {
            world.split(|node| node == 4, true);
        }
        world.run(3 * SEC);
        order(&mut world, 1, "box", Action::Undrain);
        world.run(3 * TOMBSTONE_RETENTION_US);
        assert_eq!(world.replica(0).len(), 1, "the tombstone waits for it");
        if paused {
            world.resume(4);
        } else {
            world.split(|node| node == 4, false);
        }
        world.run_until(5 * SEC, |w| w.is_converged() && all_hold(w, "box", None));
        world.run(TOMBSTONE_RETENTION_US + 30 * SEC);
        assert!((0..5).all(|node| world.replica(node).is_empty()), "then it goes");
    }
}

#[test]
fn a_time_that_is_over_is_over_everywhere_whatever_the_clocks_say() {
    let mut world = Simulation::new(5, 4);
    world.kill(1);
    world.nodes[1].off = 5 * SEC;
    world.start(1);
    world.run(5 * SEC);
    order(&mut world, 1, "box", Action::LeaveOut);
    world.run_until(3 * SEC, |w| all_hold(w, "box", Some(Action::LeaveOut)));
    world.run(26 * SEC);
    assert!(all_hold(&world, "box", Some(Action::LeaveOut)));
    world.run(5 * SEC);
    assert!(all_hold(&world, "box", None));
}

/// Seeded histories of orders, splits, pauses, deaths and returns: all copies are alike soon after the last of them, no
/// drain is lost while one that held it lives, and none comes back that was lifted by one that had seen it.
#[test]
fn whatever_happens_all_copies_end_alike_and_no_drain_is_lost() {
    for seed in 0..60 {
        let mut world = Simulation::new(5, seed);
        (world.loss_permille, world.duplicate_permille) = (world.rng.u32(0..300), 100);
        world.delay_range = (MS, 300 * MS);
        world.run(4 * SEC);
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
                    let time = world.rng.u64(..SEC);
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
        (world.loss_permille, world.duplicate_permille) = (100, 100);
        world.run_until(12 * SEC, Simulation::is_converged);
        world.run(2 * SEC);
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
        world.run_until(20 * SEC, Simulation::is_converged);
        (0..back).for_each(|node| world.kill(node));
        (0..back).for_each(|node| world.start(node));
        let level =
            |w: &Simulation| (0..back).all(|n| matches!(w.replica(n).sync_state(), SyncState::UpToDate(_)));
        assert!(!level(&world));
        let before: Vec<u64> = world.nodes.iter().map(|node| node.sent).collect();
        let time = world.run_until(6 * SEC, |w| {
            // Nobody says so that lacks what the others hold.
            let early = |n: usize| {
                matches!(w.replica(n).sync_state(), SyncState::UpToDate(_)) && w.replica(n).len() < records
            };
            assert!(!(0..back).any(early));
            level(w) && w.is_converged()
        });
        assert!(time <= if back > 1 { 5 * SEC } else { 2 * SEC }, "{back} of {nodes}: level after {time}");
        // Whoever is asked answers no quicker than stated.
        let most = (0..nodes).map(|n| world.nodes[n].sent - before[n]).max().unwrap();
        let bound = 60 + 150 * time / SEC + 10 * (time / (250 * MS) + 1) + 10;
        assert!(most <= bound, "{most} datagrams of {bound}");
    }
}

#[test]
fn a_difference_of_ten_thousand_is_found_and_mended() {
    let mut world = world(40, 6);
    world.split(|node| node < 20, true);
    world.run(3 * SEC);
    for node in 0..40 {
        world.with_replica(node, |replica, now| {
            for n in 0..250_u32 {
                replica.write(now, kind::ENDPOINT_REPORT, &n.to_be_bytes(), vec![7; 17], Some(3_000 * SEC));
            }
        });
    }
    world.split(|node| node < 20, false);
    world.run_until(120 * SEC, Simulation::is_converged);
    assert_eq!(world.replica(0).len(), 4_096, "the bound of the kind, the same at all");
    // And one alone is found among them at once.
    world.with_replica(3, |replica, now| _ = replica.write(now, 99, b"of a later build", vec![1], None));
    let time =
        world.run_until(5 * SEC, |w| w.is_converged() && w.replica(39).records_of_kind(99).count() == 1);
    assert!(time <= 3 * SEC, "{time}");
}

fn listed(started_ms: u64) -> Option<ServerEntry> {
    Some(ServerEntry { serves: true, started_ms })
}

fn own(version: u64, servers: usize) -> LocalServerList {
    let mut own = LocalServerList::default();
    assert!(
        own.apply_update(true, Some(version), (0..servers).map(|n| (format!("s{n}"), listed(5)))).is_empty()
    );
    own
}

#[test]
fn word_takes_away_only_and_no_more_than_its_bound() {
    let (mut world, mut list) = (world(8, 7), own(40, 20));
    let drains = |n: usize| (format!("s{n}"), Some(ServerEntry { serves: false, started_ms: 5 }));
    let ended =
        list.apply_update(false, Some(41), [drains(3), ("s4".into(), None), ("new".into(), listed(9))]);
    assert_eq!(ended.len(), 2);
    world.with_replica(0, |replica, now| publish(replica, now, &list, &ended));
    world.run(2 * SEC);
    let names = |set: BTreeSet<String>| set.into_iter().collect::<Vec<_>>().join(" ");
    let out = |world: &Simulation, at: usize, own: &LocalServerList| {
        names(excluded_servers(world.replica(at), at as u16, own))
    };
    let behind = own(40, 20);
    assert_eq!(out(&world, 1, &behind), "s3", "one node's word: one server of twenty");
    assert_eq!(out(&world, 0, &behind), "", "nobody goes by its own word");
    assert_eq!(out(&world, 1, &own(41, 20)), "", "a list as new as the word goes before it");
    let mut restarted = own(40, 20);
    restarted.apply_update(false, Some(40), [("s3".into(), listed(6))]);
    assert_eq!(out(&world, 1, &restarted), "s4", "it was of the start before");
    // One that lies about all; then two; then four.
    for liars in [1, 2, 4] {
        for liar in 2..2 + liars {
            let mut list = own(50, 20);
            let ended = list.apply_update(true, Some(99), []);
            assert_eq!(ended.len(), 20);
            world.with_replica(liar, |replica, now| {
                for ended in &ended {
                    publish(replica, now, &list, std::slice::from_ref(ended));
                }
            });
            world.run(2 * SEC);
        }
        let most = match liars {
            1 => 1,
            2 => 4,
            _ => 10,
        };
        assert!(excluded_servers(world.replica(1), 1, &behind).len() <= most.max(2), "{liars}");
    }
    world.run(70 * SEC);
    assert_eq!(out(&world, 1, &behind), "", "it ends by itself");
}

#[test]
fn evidence_takes_two_who_have_seen_it_and_feeds_no_rumour() {
    let mut world = world(6, 8);
    let seen = |slowness| vec![evidence::SlownessObservation { server: "box".into(), slowness }];
    world.with_replica(0, |replica, now| evidence::publish(replica, now, 0, seen(1e9)));
    world.run(2 * SEC);
    assert!(evidence::corroborated(world.replica(1), 1).is_empty(), "one moves nobody");
    world.with_replica(2, |replica, now| evidence::publish(replica, now, 2, seen(3.0)));
    world.run(2 * SEC);
    assert_eq!(evidence::corroborated(world.replica(1), 1)["box"], 3.0);
    assert!(evidence::corroborated(world.replica(2), 2).is_empty(), "its own sight does not count twice");
    world.run(12 * SEC);
    assert!(evidence::corroborated(world.replica(1), 1).is_empty());
}

/// Of a node's name with another copy; of a name that its process before has used with a higher number.
#[test]
fn two_copies_of_one_name_end_as_one_and_a_clock_put_back_is_overcome() {
    let mut world = world(4, 9);
    let record = |counter: u32, value: u8| {
        let version = Version { incarnation: 77, counter };
        Record {
            kind: kind::ENDPOINT_REPORT,
            origin: 2,
            name: b"box".into(),
            version,
            value: vec![value; 17],
        }
    };
    let said = |record: Record| {
        let mut said = Said::default();
        said.add(Part::Record(Sent { record, left: Some(600), asks: false }));
        put(7, &said)
    };
    for (at, value) in [(0, 1), (1, 9), (3, 5)] {
        world.with_replica(at, |replica, now| _ = replica.handle_datagram(now, 2, &said(record(3, value))));
    }
    world.run_until(5 * SEC, Simulation::is_converged);
    let value = |w: &Simulation, at: usize| {
        w.replica(at).records_of_kind(kind::ENDPOINT_REPORT).next().unwrap().record.value[0]
    };
    assert_eq!(value(&world, 0), 9);
    // Node 2 writes it anew, though its own incarnation is 1.
    world.with_replica(2, |replica, now| {
        _ = replica.write(now, kind::ENDPOINT_REPORT, b"box", vec![4; 17], Some(60 * SEC))
    });
    world.run_until(5 * SEC, Simulation::is_converged);
    assert!((0..4).all(|at| value(&world, at) == 4));
    // As one that is kept over a restart, of a life whose numbers were higher.
    let version = Version { incarnation: 900, counter: 9 };
    let kept = Record { kind: 99, origin: 1, name: b"kept".into(), version, value: vec![1] };
    world.with_replica(1, |replica, now| {
        replica.restore(now, kept, None);
        assert!(replica.write(now, 99, b"kept", vec![2], None).is_change());
    });
    world.run_until(5 * SEC, |w| {
        (0..4).all(|at| w.replica(at).records_of_kind(99).any(|held| held.record.value == [2]))
    });
}

#[test]
fn at_rest_few_bytes_are_sent_and_in_a_storm_no_more_than_stated() {
    let mut world = world(100, 10);
    let sent = |w: &Simulation| w.nodes.iter().map(|node| node.sent_bytes).sum::<u64>();
    let before = sent(&world);
    world.run(10 * SEC);
    let rest = (sent(&world) - before) / 1_000;
    assert!(rest <= 200, "{rest} bytes a second and node");
    let before: Vec<u64> = world.nodes.iter().map(|node| node.sent).collect();
    for n in 0..100 {
        order(&mut world, n, &format!("box-{n}"), Action::Drain);
    }
    let time: Micros = world.run_until(20 * SEC, Simulation::is_converged);
    let most = (0..100).map(|n| world.nodes[n].sent - before[n]).max().unwrap();
    assert!(most <= 60 + 150 * time / SEC + 10 * (time / (250 * MS) + 2), "{most} in {time}");
}

/// Whatever a listed address says, and however often.
#[test]
fn words_of_rights_that_nobody_takes_do_not_pile_up() {
    let mut world = world(3, 11);
    let mut said = Said::default();
    (0..10).for_each(|number| _ = said.add(Part::Rights(Rights::Ask { number, amount: 1 })));
    let datagram = put(7, &said);
    let kept = world.with_replica(0, |replica, now| {
        (0..1_000).for_each(|_| _ = replica.handle_datagram(now, 1, &datagram));
        replica.take_lease_messages().len()
    });
    assert_eq!(kept, 256);
}
