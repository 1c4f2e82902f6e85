//! Tests of replicas in virtual time: orders, endpoint reports, evidence and lease messages under loss, splits, pauses,
//! crashes and restarts. Times are in microseconds.

use std::collections::BTreeSet;

use lilacquay_codec::replica::{LeaseMessage, Message, Part, Record, RecordUpdate, Version, encode};
use lilacquay_replica::endpoint_reports::{LocalServerList, ServerEntry, excluded_servers, publish};
use lilacquay_replica::orders::{Action, TOMBSTONE_RETENTION_US};
use lilacquay_replica::simulation::{MS, SEC, Simulation};
use lilacquay_replica::{Micros, SyncState, evidence, kind};

/// A simulation of `nodes` nodes that has run for 5 s.
fn new_simulation(nodes: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(nodes, seed);
    sim.run(5 * SEC);
    sim
}

fn issue_order(sim: &mut Simulation, node: usize, server: &str, action: Action) -> u64 {
    let lifetime = (action == Action::LeaveOut).then_some(30 * SEC);
    sim.with_replica(node, |replica, now| {
        replica.issue_order(now, server.as_bytes(), action, lifetime, 0).unwrap()
    })
}

/// The action in effect for a server at a node, and whether concurrent orders contradict it; none if it is a tombstone.
fn effective_action(sim: &Simulation, node: usize, server: &str) -> Option<(Action, bool)> {
    let now = sim.clock(node);
    let mut effective = sim.replica(node).effective_orders(now);
    let found = effective.find(|(effective, remaining)| {
        effective.subject == server.as_bytes() && !effective.order.is_tombstone(*remaining)
    });
    found.map(|(effective, _)| (effective.order.action, effective.is_conflict()))
}

/// Whether this action is in effect for a server at all running nodes.
fn all_hold(sim: &Simulation, server: &str, expected: Option<Action>) -> bool {
    (0..sim.nodes.len())
        .filter(|&node| sim.runs(node))
        .all(|node| effective_action(sim, node, server).map(|(action, _)| action) == expected)
}

#[test]
fn a_drain_reaches_all_nodes_within_its_time_limits_and_its_holders_are_counted() {
    for (nodes, loss) in [(3, 0), (30, 100), (300, 0), (300, 100)] {
        let mut sim = new_simulation(nodes, 1);
        (sim.loss_permille, sim.duplicate_permille) = (loss, 20);
        let id = issue_order(&mut sim, nodes / 2, "box-1", Action::Drain);
        let held_by_all_after = sim.run_until(3 * SEC, |sim| all_hold(sim, "box-1", Some(Action::Drain)));
        assert!(
            held_by_all_after <= if nodes < 300 { SEC } else { 2 * SEC },
            "{nodes} nodes: held by all after {held_by_all_after}"
        );
        sim.run_until(8 * SEC, |sim| sim.replica(nodes / 2).holder_count(id) == nodes);
        sim.run_until(8 * SEC, Simulation::is_converged);
        issue_order(&mut sim, 0, "box-1", Action::Undrain);
        sim.run_until(3 * SEC, |sim| all_hold(sim, "box-1", None));
    }
}

/// During a split, a drain is renewed in one half and lifted in the other: the undrain had not seen the renewed drain.
#[test]
fn of_concurrent_orders_the_drain_is_in_effect_until_the_conflict_is_resolved() {
    let mut sim = new_simulation(6, 2);
    issue_order(&mut sim, 0, "box", Action::Drain);
    sim.run_until(3 * SEC, |sim| all_hold(sim, "box", Some(Action::Drain)));
    sim.split(|node| node < 3, true);
    sim.run(3 * SEC);
    issue_order(&mut sim, 1, "box", Action::Drain);
    issue_order(&mut sim, 4, "box", Action::Undrain);
    sim.run(10 * SEC);
    assert_eq!(
        (effective_action(&sim, 0, "box"), effective_action(&sim, 5, "box")),
        (Some((Action::Drain, false)), None)
    );
    sim.split(|node| node < 3, false);
    sim.run_until(6 * SEC, Simulation::is_converged);
    assert!(
        (0..6).all(|node| effective_action(&sim, node, "box") == Some((Action::Drain, true))),
        "shown as a conflict"
    );
    // The order that resolves the conflict is issued at a node that had received both.
    issue_order(&mut sim, 5, "box", Action::Undrain);
    sim.run_until(3 * SEC, |sim| all_hold(sim, "box", None));
    sim.run(5 * SEC);
    assert!(sim.is_converged() && all_hold(&sim, "box", None));
}

/// Of the nodes that hold an order all but one may crash: the last one brings it to all that restart with empty replicas.
#[test]
fn an_order_survives_while_one_of_its_holders_runs() {
    for seed in 0..12 {
        let mut sim = new_simulation(5, seed);
        (sim.loss_permille, sim.duplicate_permille) = (200, 50);
        let id = issue_order(&mut sim, 0, "box", Action::Drain);
        let min_holders = 2 + seed as usize % 3;
        sim.run_until(6 * SEC, |sim| sim.replica(0).holder_count(id) >= min_holders);
        let holds = |sim: &Simulation, n: usize| effective_action(sim, n, "box").is_some();
        let held: Vec<usize> = (0..5).filter(|&n| holds(&sim, n)).collect();
        let survivor = held[sim.rng.usize(..held.len())];
        (0..5).filter(|&n| n != survivor).for_each(|n| sim.kill(n));
        sim.run(300 * MS);
        (0..5).filter(|&n| n != survivor).for_each(|n| sim.start(n));
        sim.run_until(8 * SEC, |sim| all_hold(sim, "box", Some(Action::Drain)));
    }
}

/// A node is away for longer than tombstones are kept. Their time must not run while it is away, or it would bring back a
/// lifted drain.
#[test]
fn a_node_that_was_away_for_any_time_brings_no_lifted_drain_back() {
    for paused in [true, false] {
        let mut sim = new_simulation(5, 3);
        issue_order(&mut sim, 0, "box", Action::Drain);
        sim.run_until(3 * SEC, |sim| all_hold(sim, "box", Some(Action::Drain)));
        if paused {
            sim.pause(4);
        } else {
            sim.split(|node| node == 4, true);
        }
        sim.run(3 * SEC);
        issue_order(&mut sim, 1, "box", Action::Undrain);
        sim.run(3 * TOMBSTONE_RETENTION_US);
        assert_eq!(sim.replica(0).len(), 1, "the tombstone waits for it");
        if paused {
            sim.resume(4);
        } else {
            sim.split(|node| node == 4, false);
        }
        sim.run_until(5 * SEC, |sim| sim.is_converged() && all_hold(sim, "box", None));
        sim.run(TOMBSTONE_RETENTION_US + 30 * SEC);
        assert!((0..5).all(|node| sim.replica(node).is_empty()), "then it expires");
    }
}

#[test]
fn an_order_with_a_time_limit_ends_everywhere_even_if_clocks_differ() {
    let mut sim = Simulation::new(5, 4);
    sim.kill(1);
    sim.nodes[1].clock_offset = 5 * SEC;
    sim.start(1);
    sim.run(5 * SEC);
    issue_order(&mut sim, 1, "box", Action::LeaveOut);
    sim.run_until(3 * SEC, |sim| all_hold(sim, "box", Some(Action::LeaveOut)));
    sim.run(26 * SEC);
    assert!(all_hold(&sim, "box", Some(Action::LeaveOut)));
    sim.run(5 * SEC);
    assert!(all_hold(&sim, "box", None));
}

/// Random sequences of orders, splits, pauses, crashes and restarts: all replicas converge soon after the last fault, no drain
/// is lost while a node that held it runs, and none comes back that was lifted by an order whose issuer had seen it.
#[test]
fn under_random_faults_all_replicas_converge_and_no_drain_is_lost() {
    for seed in 0..60 {
        let mut sim = Simulation::new(5, seed);
        (sim.loss_permille, sim.duplicate_permille) = (sim.rng.u32(0..300), 100);
        sim.delay_range = (MS, 300 * MS);
        sim.run(4 * SEC);
        let servers = ["a", "b", "c"];
        for _ in 0..30 {
            let node = sim.rng.usize(..5);
            match sim.rng.u8(..8) {
                0..=2 if sim.runs(node) => {
                    let server = servers[sim.rng.usize(..3)];
                    let action = [Action::Drain, Action::Undrain, Action::LeaveOut][sim.rng.usize(..3)];
                    issue_order(&mut sim, node, server, action);
                }
                3 => sim.pause(node),
                4 => (0..5).for_each(|node| sim.resume(node)),
                5 => {
                    let group_bits = sim.rng.u8(..);
                    sim.split(|node| group_bits >> node & 1 > 0, true);
                }
                6 => sim.split(|node| node == 0, false),
                _ if (0..5).filter(|&n| sim.runs(n)).count() > 2 => {
                    sim.kill(node);
                    let time = sim.rng.u64(..SEC);
                    sim.run(time);
                    sim.start(node);
                }
                _ => {}
            }
            let time = sim.rng.u64(..1500 * MS);
            sim.run(time);
        }
        let before: Vec<BTreeSet<&str>> = (0..5)
            .map(|n| {
                let holds =
                    |server: &&str| matches!(effective_action(&sim, n, server), Some((Action::Drain, _)));
                servers.iter().copied().filter(holds).collect()
            })
            .collect();
        (0..5).for_each(|node| sim.resume(node));
        for from in 0..5 {
            (0..5).for_each(|to| sim.cut(from, to, false));
        }
        (sim.loss_permille, sim.duplicate_permille) = (100, 100);
        sim.run_until(12 * SEC, Simulation::is_converged);
        sim.run(2 * SEC);
        for server in servers {
            let after: BTreeSet<_> = (0..5).map(|n| effective_action(&sim, n, server)).collect();
            assert_eq!(after.len(), 1, "seed {seed}, {server}: {after:?}");
            // A drain that all nodes held before the repair is in effect after it.
            if before.iter().all(|held| held.contains(server)) {
                assert!(matches!(after.first().unwrap(), Some((Action::Drain, _))), "seed {seed}, {server}");
            }
        }
    }
}

#[test]
fn a_restarted_node_is_up_to_date_soon_and_so_are_two_hundred_at_once() {
    for (nodes, restarted, records) in [(30, 1, 30), (300, 1, 60), (300, 200, 60)] {
        let mut sim = new_simulation(nodes, 5);
        for n in 0..records {
            issue_order(&mut sim, n % nodes, &format!("box-{n}"), Action::Drain);
        }
        sim.run_until(20 * SEC, Simulation::is_converged);
        (0..restarted).for_each(|node| sim.kill(node));
        (0..restarted).for_each(|node| sim.start(node));
        let all_up_to_date = |sim: &Simulation| {
            (0..restarted).all(|n| matches!(sim.replica(n).sync_state(), SyncState::UpToDate(_)))
        };
        assert!(!all_up_to_date(&sim));
        let before: Vec<u64> = sim.nodes.iter().map(|node| node.sent).collect();
        let time = sim.run_until(6 * SEC, |sim| {
            // No node may count as up to date while it lacks records that the others hold.
            let is_premature = |n: usize| {
                matches!(sim.replica(n).sync_state(), SyncState::UpToDate(_))
                    && sim.replica(n).len() < records
            };
            assert!(!(0..restarted).any(is_premature));
            all_up_to_date(sim) && sim.is_converged()
        });
        assert!(
            time <= if restarted > 1 { 5 * SEC } else { 2 * SEC },
            "{restarted} of {nodes}: up to date after {time}"
        );
        // No node sends more datagrams than the rate limit and its ticks allow.
        let max_sent = (0..nodes).map(|n| sim.nodes[n].sent - before[n]).max().unwrap();
        let bound = 60 + 150 * time / SEC + 10 * (time / (250 * MS) + 1) + 10;
        assert!(max_sent <= bound, "{max_sent} datagrams of {bound}");
    }
}

#[test]
fn a_difference_of_ten_thousand_records_is_found_and_repaired() {
    let mut sim = new_simulation(40, 6);
    sim.split(|node| node < 20, true);
    sim.run(3 * SEC);
    for node in 0..40 {
        sim.with_replica(node, |replica, now| {
            for n in 0..250_u32 {
                replica.write(now, kind::ENDPOINT_REPORT, &n.to_be_bytes(), vec![7; 17], Some(3_000 * SEC));
            }
        });
    }
    sim.split(|node| node < 20, false);
    sim.run_until(120 * SEC, Simulation::is_converged);
    assert_eq!(sim.replica(0).len(), 4_096, "the limit of the kind, the same at all nodes");
    // A single different record among them is found soon.
    sim.with_replica(3, |replica, now| _ = replica.write(now, 99, b"of a later build", vec![1], None));
    let time =
        sim.run_until(5 * SEC, |sim| sim.is_converged() && sim.replica(39).records_of_kind(99).count() == 1);
    assert!(time <= 3 * SEC, "{time}");
}

fn serving_entry(started_ms: u64) -> Option<ServerEntry> {
    Some(ServerEntry { serves: true, started_ms })
}

fn local_list(version: u64, servers: usize) -> LocalServerList {
    let mut list = LocalServerList::default();
    assert!(
        list.apply_update(true, Some(version), (0..servers).map(|n| (format!("s{n}"), serving_entry(5))))
            .is_empty()
    );
    list
}

#[test]
fn endpoint_reports_only_exclude_and_no_more_servers_than_their_bound() {
    let (mut sim, mut list) = (new_simulation(8, 7), local_list(40, 20));
    let draining = |n: usize| (format!("s{n}"), Some(ServerEntry { serves: false, started_ms: 5 }));
    let withdrawn = list.apply_update(
        false,
        Some(41),
        [draining(3), ("s4".into(), None), ("new".into(), serving_entry(9))],
    );
    assert_eq!(withdrawn.len(), 2);
    sim.with_replica(0, |replica, now| publish(replica, now, &list, &withdrawn));
    sim.run(2 * SEC);
    let names = |set: BTreeSet<String>| set.into_iter().collect::<Vec<_>>().join(" ");
    let excluded_at = |sim: &Simulation, at: usize, own: &LocalServerList| {
        names(excluded_servers(sim.replica(at), at as u16, own))
    };
    let behind = local_list(40, 20);
    assert_eq!(excluded_at(&sim, 1, &behind), "s3", "reports of one node: one server of twenty");
    assert_eq!(excluded_at(&sim, 0, &behind), "", "a node ignores its own reports");
    assert_eq!(excluded_at(&sim, 1, &local_list(41, 20)), "", "a list as new as the report takes precedence");
    let mut restarted = local_list(40, 20);
    restarted.apply_update(false, Some(40), [("s3".into(), serving_entry(6))]);
    assert_eq!(excluded_at(&sim, 1, &restarted), "s4", "the report was made for the previous start");
    // One node falsely reports all servers; then two nodes; then four.
    for false_reporters in [1, 2, 4] {
        for reporter in 2..2 + false_reporters {
            let mut list = local_list(50, 20);
            let withdrawn = list.apply_update(true, Some(99), []);
            assert_eq!(withdrawn.len(), 20);
            sim.with_replica(reporter, |replica, now| {
                for withdrawn in &withdrawn {
                    publish(replica, now, &list, std::slice::from_ref(withdrawn));
                }
            });
            sim.run(2 * SEC);
        }
        let max_excluded = match false_reporters {
            1 => 1,
            2 => 4,
            _ => 10,
        };
        assert!(
            excluded_servers(sim.replica(1), 1, &behind).len() <= max_excluded.max(2),
            "{false_reporters}"
        );
    }
    sim.run(70 * SEC);
    assert_eq!(excluded_at(&sim, 1, &behind), "", "the reports expire");
}

#[test]
fn evidence_needs_two_observers_and_is_not_confirmed_by_itself() {
    let mut sim = new_simulation(6, 8);
    let observed = |slowness| vec![evidence::SlownessObservation { server: "box".into(), slowness }];
    sim.with_replica(0, |replica, now| evidence::publish(replica, now, 0, observed(1e9)));
    sim.run(2 * SEC);
    assert!(evidence::corroborated(sim.replica(1), 1).is_empty(), "one observer is not believed");
    sim.with_replica(2, |replica, now| evidence::publish(replica, now, 2, observed(3.0)));
    sim.run(2 * SEC);
    assert_eq!(evidence::corroborated(sim.replica(1), 1)["box"], 3.0);
    assert!(
        evidence::corroborated(sim.replica(2), 2).is_empty(),
        "its own observation does not count as another's"
    );
    sim.run(12 * SEC);
    assert!(evidence::corroborated(sim.replica(1), 1).is_empty());
}

/// Two different records of one origin, name and version must converge to one of them. A node must be able to
/// replace a record that an earlier process of it has written under a higher incarnation, as happens when its clock was
/// put back.
#[test]
fn conflicting_records_of_one_version_converge_and_a_clock_put_back_is_overcome() {
    let mut sim = new_simulation(4, 9);
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
    let datagram_with = |record: Record| {
        let mut message = Message::default();
        message.add(Part::Record(RecordUpdate { record, remaining_tenths: Some(600), ack_requested: false }));
        encode(7, &message)
    };
    for (at, value) in [(0, 1), (1, 9), (3, 5)] {
        sim.with_replica(at, |replica, now| {
            _ = replica.handle_datagram(now, 2, &datagram_with(record(3, value)))
        });
    }
    sim.run_until(5 * SEC, Simulation::is_converged);
    let value = |sim: &Simulation, at: usize| {
        sim.replica(at).records_of_kind(kind::ENDPOINT_REPORT).next().unwrap().record.value[0]
    };
    assert_eq!(value(&sim, 0), 9);
    // Node 2 writes it anew, though its own incarnation is 1.
    sim.with_replica(2, |replica, now| {
        _ = replica.write(now, kind::ENDPOINT_REPORT, b"box", vec![4; 17], Some(60 * SEC))
    });
    sim.run_until(5 * SEC, Simulation::is_converged);
    assert!((0..4).all(|at| value(&sim, at) == 4));
    // A record that was saved over a restart, written by a process with a higher incarnation and counter.
    let version = Version { incarnation: 900, counter: 9 };
    let saved = Record { kind: 99, origin: 1, name: b"kept".into(), version, value: vec![1] };
    sim.with_replica(1, |replica, now| {
        replica.restore(now, saved, None);
        assert!(replica.write(now, 99, b"kept", vec![2], None).is_change());
    });
    sim.run_until(5 * SEC, |sim| {
        (0..4).all(|at| sim.replica(at).records_of_kind(99).any(|held| held.record.value == [2]))
    });
}

#[test]
fn bytes_sent_are_few_at_rest_and_datagrams_bounded_after_many_changes() {
    let mut sim = new_simulation(100, 10);
    let total_sent = |sim: &Simulation| sim.nodes.iter().map(|node| node.sent_bytes).sum::<u64>();
    let before = total_sent(&sim);
    sim.run(10 * SEC);
    let at_rest = (total_sent(&sim) - before) / 1_000;
    assert!(at_rest <= 200, "{at_rest} bytes a second and node");
    let before: Vec<u64> = sim.nodes.iter().map(|node| node.sent).collect();
    for n in 0..100 {
        issue_order(&mut sim, n, &format!("box-{n}"), Action::Drain);
    }
    let time: Micros = sim.run_until(20 * SEC, Simulation::is_converged);
    let max_sent = (0..100).map(|n| sim.nodes[n].sent - before[n]).max().unwrap();
    assert!(max_sent <= 60 + 150 * time / SEC + 10 * (time / (250 * MS) + 2), "{max_sent} in {time}");
}

/// A node that sends more lease messages than are fetched must not fill the memory of another.
#[test]
fn lease_messages_that_are_not_fetched_do_not_pile_up() {
    let mut sim = new_simulation(3, 11);
    let mut message = Message::default();
    (0..10).for_each(|number| _ = message.add(Part::Lease(LeaseMessage::Request { number, amount: 1 })));
    let datagram = encode(7, &message);
    let pending = sim.with_replica(0, |replica, now| {
        (0..1_000).for_each(|_| _ = replica.handle_datagram(now, 1, &datagram));
        replica.take_lease_messages().len()
    });
    assert_eq!(pending, 256);
}
