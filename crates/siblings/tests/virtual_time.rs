//! Tests of membership in virtual time: which state each node has at the others, and how soon, under loss, delay,
//! duplication, cuts, pauses, crashes and restarts. Times are in microseconds.

use lilacquay_siblings::simulation::{Link, MS, SEC, Simulation};
use lilacquay_siblings::{FULL_SHARE, MembershipEvent, NodeState, Parameters, StateReason};

/// Within this time a crash, or a start, is known to all nodes.
const DETECTION_LIMIT_US: u64 = 10 * SEC;

/// A simulation in which all nodes have started, agree, and use their own shares.
fn settled(nodes: usize, seed: u64) -> Simulation {
    let mut sim = Simulation::new(nodes, seed);
    sim.checks_invariants = nodes <= 30;
    sim.start_all(SEC);
    sim.run_until(30 * SEC, Simulation::is_converged);
    let settling_time = 2 * Parameters::default().expiry_timeout();
    sim.run(settling_time);
    sim
}

#[test]
fn all_nodes_are_here_and_use_their_full_shares_soon_after_the_start() {
    for (nodes, seed) in [(1, 1), (2, 2), (3, 3), (4, 4), (5, 5), (6, 6), (30, 7), (300, 8)] {
        let sim = settled(nodes, seed);
        assert!((0..nodes).all(|node| sim.usable_share(node) == FULL_SHARE), "{nodes}");
        assert!((0..nodes).all(|node| sim.membership(node).state_counts() == [nodes - 1, 0, 0]));
    }
}

/// After a crash, all nodes learn of it, the two adjacent nodes take over the share, and the node gets
/// it back on its return.
#[test]
fn a_crashed_node_is_gone_at_all_nodes_and_its_share_is_taken_over_and_given_back() {
    for (nodes, seed) in [(3, 1), (5, 2), (6, 3), (30, 4), (300, 5)] {
        let mut sim = settled(nodes, seed);
        let crashed = seed as usize % nodes;
        sim.kill(crashed);
        let is_known = |sim: &Simulation| {
            (0..nodes).all(|at| at == crashed || sim.state(crashed, at) == NodeState::Gone)
        };
        sim.run_until(DETECTION_LIMIT_US, is_known);
        sim.run_until(DETECTION_LIMIT_US, |sim| {
            (0..nodes).map(|node| sim.usable_share(node)).sum::<u32>() == nodes as u32 * FULL_SHARE
        });
        let now = sim.now;
        sim.start_at(crashed, now);
        sim.run_until(5 * SEC, |sim| sim.runs(crashed) && sim.usable_share(crashed) == FULL_SHARE);
        sim.run_until(DETECTION_LIMIT_US, Simulation::is_converged);
    }
}

#[test]
fn loss_delay_duplication_and_short_pauses_expire_no_lease() {
    for (nodes, loss, seed) in [(3, 100, 1), (5, 200, 2), (30, 200, 3), (30, 100, 4)] {
        let mut sim = Simulation::new(nodes, seed);
        sim.default_link =
            Link { loss_permille: loss, duplicate_permille: 50, delay_range: (MS, 200 * MS), cut: false };
        sim.start_all(SEC);
        sim.run_until(30 * SEC, Simulation::is_converged);
        sim.events.clear();
        for _ in 0..6 {
            sim.run(20 * SEC);
            let node = sim.rng.usize(0..nodes);
            sim.pause(node); // on average at most one second per minute for each node
            sim.run(SEC);
            sim.resume(node);
        }
        let is_gone = |(_, _, event): &&(u64, usize, MembershipEvent)| {
            matches!(
                event,
                MembershipEvent::StateChanged {
                    current: NodeState::Gone,
                    reason: StateReason::LeaseExpired { .. },
                    ..
                }
            )
        };
        assert_eq!(sim.events.iter().find(is_gone), None, "{nodes} at {loss}");
    }
}

#[test]
fn a_pause_within_the_bound_changes_no_state_and_after_a_longer_one_all_agree_again() {
    for pause in [100 * MS, SEC, Parameters::default().longest_unnoticed_pause()] {
        let mut sim = settled(5, pause);
        sim.events.clear();
        sim.pause(2);
        sim.run(pause);
        sim.resume(2);
        sim.run(10 * SEC);
        let is_state_change = |(_, _, event): &&(u64, usize, MembershipEvent)| {
            matches!(event, MembershipEvent::StateChanged { .. })
        };
        assert_eq!(sim.events.iter().find(is_state_change), None, "a pause of {pause}");
    }
    for pause in [3 * SEC, 10 * SEC] {
        let mut sim = settled(5, pause);
        sim.events.clear();
        sim.pause(2);
        sim.run(pause);
        sim.resume(2);
        let events_before = sim.events.len();
        sim.run_until(5 * SEC, Simulation::is_converged);
        // A node that resumes must not report others as expired for what it could not receive during its pause.
        let is_expiry = |(_, at, event): &&(u64, usize, MembershipEvent)| {
            *at == 2
                && matches!(
                    event,
                    MembershipEvent::StateChanged {
                        current: NodeState::Gone,
                        reason: StateReason::LeaseExpired { .. },
                        ..
                    }
                )
        };
        assert_eq!(sim.events[events_before..].iter().find(is_expiry), None);
    }
}

#[test]
fn pauses_of_all_nodes_at_once_and_constant_lateness_expire_no_lease() {
    let mut sim = settled(6, 1);
    sim.events.clear();
    for _ in 0..5 {
        (0..6).for_each(|node| sim.pause(node));
        sim.run(10 * SEC);
        (0..6).for_each(|node| sim.resume(node));
        sim.run_until(5 * SEC, Simulation::is_converged);
    }
    for _ in 0..40 {
        (0..6).for_each(|node| sim.pause(node));
        sim.run(400 * MS);
        (0..6).for_each(|node| sim.resume(node));
        sim.run(300 * MS);
    }
    let is_gone = |(_, _, event): &&(u64, usize, MembershipEvent)| {
        matches!(
            event,
            MembershipEvent::StateChanged {
                current: NodeState::Gone,
                reason: StateReason::LeaseExpired { .. },
                ..
            }
        )
    };
    assert_eq!(sim.events.iter().find(is_gone), None);
}

#[test]
fn a_cut_in_one_direction_is_shown_as_such_and_expires_no_lease() {
    for nodes in [3, 5, 30] {
        let mut sim = settled(nodes, 9);
        let (a, b) = (0, sim.membership(0).peers(0).iter().find(|peer| peer.we_hear.is_some()).unwrap().node);
        sim.events.clear();
        sim.cut(a, b, true); // b doesn't hear a
        sim.run(60 * SEC);
        let links = sim.membership(b).link_states(sim.clock(b));
        let is_up = |from, to| links.iter().find(|link| (link.from, link.to) == (from, to)).unwrap().is_up;
        assert!(!is_up(a, b) && is_up(b, a), "{nodes}: {links:?}");
        let is_gone = |(_, _, event): &&(u64, usize, MembershipEvent)| {
            matches!(
                event,
                MembershipEvent::StateChanged { current: NodeState::Gone, .. }
                    | MembershipEvent::ConfirmationChanged(false)
            )
        };
        assert_eq!(sim.events.iter().find(is_gone), None, "{nodes}");
    }
}

/// Each node hears only the node before it.
#[test]
fn with_links_in_one_direction_around_a_circle_all_nodes_stay_here() {
    let mut sim = settled(5, 3);
    sim.events.clear();
    for from in 0..5 {
        (0..5).filter(|&to| to != from && to != (from + 1) % 5).for_each(|to| sim.cut(from, to, true));
    }
    sim.run(60 * SEC);
    let is_gone = |(_, _, event): &&(u64, usize, MembershipEvent)| {
        matches!(event, MembershipEvent::StateChanged { current: NodeState::Gone, .. })
    };
    assert_eq!(sim.events.iter().find(is_gone), None);
}

#[test]
fn a_node_that_reaches_a_single_other_node_is_heard_through_it() {
    for nodes in [5, 30, 100] {
        let mut sim = settled(nodes, 4);
        sim.events.clear();
        let (isolated, reachable) = (1, (1 + nodes / 2) % nodes);
        for other in (0..nodes).filter(|&other| other != isolated && other != reachable) {
            sim.cut(isolated, other, true);
            sim.cut(other, isolated, true);
        }
        sim.run(60 * SEC);
        let is_gone = |(_, _, event): &&(u64, usize, MembershipEvent)| {
            matches!(
                event,
                MembershipEvent::StateChanged {
                    current: NodeState::Gone,
                    reason: StateReason::LeaseExpired { .. },
                    ..
                }
            )
        };
        assert_eq!(sim.events.iter().find(is_gone), None, "{nodes}");
    }
}

#[test]
fn the_halves_of_a_split_never_use_more_than_the_total_and_agree_soon_after_it() {
    for (nodes, seed) in [(5, 1), (6, 2), (30, 3), (100, 4)] {
        let mut sim = settled(nodes, seed);
        sim.split(|node| node < nodes / 2, true);
        sim.run(60 * SEC);
        for at in 0..nodes {
            let same_half = (0..nodes).filter(|&of| of != at && (of < nodes / 2) == (at < nodes / 2));
            let gone: Vec<usize> = same_half.filter(|&of| sim.state(of, at) == NodeState::Gone).collect();
            assert!(gone.is_empty(), "{at} holds {gone:?} to be gone, which it can hear");
        }
        sim.split(|node| node < nodes / 2, false);
        sim.run_until(5 * SEC, Simulation::is_converged);
    }
}

#[test]
fn eighty_of_a_hundred_nodes_crash_within_a_second_and_return() {
    let mut sim = settled(100, 5);
    sim.checks_invariants = false;
    for node in 0..80 {
        let at = sim.now + sim.rng.u64(0..SEC);
        let downtime = 300 * MS;
        sim.run(at.saturating_sub(sim.now).min(SEC / 80));
        sim.kill(node);
        let restart_at = sim.now + downtime;
        sim.start_at(node, restart_at);
        sim.check();
    }
    sim.run_until(DETECTION_LIMIT_US, Simulation::is_converged);
    sim.run_until(DETECTION_LIMIT_US, |sim| (0..100).all(|node| sim.usable_share(node) == FULL_SHARE));
    sim.check();
}

#[test]
fn a_node_that_restarts_twice_a_second_makes_no_other_node_gone() {
    let mut sim = settled(6, 6);
    sim.events.clear();
    for _ in 0..40 {
        sim.kill(0);
        sim.run(150 * MS);
        let now = sim.now;
        sim.start_at(0, now);
        sim.run(350 * MS);
    }
    let is_other_gone = |(_, _, event): &&(u64, usize, MembershipEvent)| matches!(event, MembershipEvent::StateChanged { node, current: NodeState::Gone, .. } if *node != 0);
    assert_eq!(sim.events.iter().find(is_other_gone), None);
    sim.run_until(5 * SEC, Simulation::is_converged);
}

/// The list names a node whose process was never started.
#[test]
fn a_node_that_never_started_is_unknown_and_the_others_are_here() {
    let mut sim = Simulation::new(5, 7);
    (0..4).for_each(|node| sim.start_at(node, SEC));
    sim.run(SEC);
    sim.run_until(10 * SEC, Simulation::is_converged);
    sim.run(30 * SEC);
    assert!((0..4).all(|at| sim.state(4, at) == NodeState::Unknown));
    assert!(
        (0..4).all(|node| sim.usable_share(node) == FULL_SHARE),
        "nobody takes over the share of an unknown node"
    );
}

/// The wall clocks are 5 s apart, and one is put back by 20 s during a restart that no other node notices. Incarnations are
/// made from the wall clock, and must increase nevertheless.
#[test]
fn a_node_that_restarts_with_its_clock_put_back_gets_a_newer_incarnation() {
    let mut sim = Simulation::new(5, 8);
    (0..5).for_each(|node| sim.nodes[node].wall_offset = node as i64 * 5_000_000 - 10_000_000);
    sim.start_all(SEC);
    sim.run_until(10 * SEC, Simulation::is_converged);
    let before = sim.membership(3).incarnation();
    sim.kill(3);
    sim.nodes[3].wall_offset -= 20_000_000;
    let now = sim.now;
    sim.start_at(3, now);
    sim.run_until(5 * SEC, |sim| {
        sim.runs(3) && sim.membership(3).incarnation() > before && sim.is_converged()
    });
}

/// At rest the bytes that a node sends do not grow with the number of nodes; while a split heals they are bounded.
#[test]
fn bytes_sent_are_bounded_at_rest_and_while_a_split_heals() {
    for (nodes, loss) in [(30, 0), (300, 0), (300, 200)] {
        let mut sim = Simulation::new(nodes, 9);
        sim.checks_invariants = false;
        sim.default_link = Link { loss_permille: loss, ..Link::default() };
        sim.start_all(SEC);
        sim.run(25 * SEC);
        let total_sent = |sim: &Simulation| sim.nodes.iter().map(|node| node.sent_bytes).sum::<u64>();
        let before = total_sent(&sim);
        sim.run(10 * SEC);
        let at_rest = (total_sent(&sim) - before) / 10 / nodes as u64;
        assert!(at_rest <= 2_048, "{nodes}: {at_rest} bytes a second at rest");
        let in_first_group: Vec<bool> = (0..nodes).map(|_| sim.rng.bool()).collect();
        sim.split(|node| in_first_group[node], true);
        sim.run(15 * SEC);
        sim.split(|node| in_first_group[node], false);
        sim.reset_links();
        let before = total_sent(&sim);
        let healing_time = sim.run_until(30 * SEC, Simulation::is_converged);
        assert!(
            healing_time <= if loss > 0 { 7 * SEC } else { 5 * SEC },
            "{nodes}: healed after {healing_time}"
        );
        let while_healing = (total_sent(&sim) - before) * SEC / healing_time / nodes as u64;
        assert!(while_healing <= 16_000, "{nodes}: {while_healing} bytes a second while healing");
    }
}

/// Datagrams that are of another site, corrupt, truncated, misrouted or replayed must change nothing.
#[test]
fn invalid_datagrams_change_nothing() {
    let sim = settled(3, 10);
    let (now, wall) = (sim.clock(0), 1_700_000_100 * SEC);
    let mut other = sim.membership(1).clone();
    let valid = other.tick(now, wall).into_iter().find(|out| out.to == 0).unwrap().datagram;
    let mut node = sim.membership(0).clone();
    node.handle_datagram(now, wall, 1, &valid);
    let before = (node.peers(now), node.view_digest(), node.resource_share(now));
    let mut cases: Vec<(usize, Vec<u8>)> =
        vec![(2, valid.clone()), (0, valid.clone()), (1, valid[..40].to_vec())];
    let mut corrupt = valid.clone();
    corrupt[4] ^= 1;
    cases.extend([(1, corrupt), (1, valid)]);
    for (from, datagram) in cases {
        node.handle_datagram(now, wall, from, &datagram);
        assert_eq!((node.peers(now), node.view_digest(), node.resource_share(now)), before);
    }
    assert!(node.counters().invalid >= 4);
}

/// Random sequences of faults: at each step the shares add up to no more than the total and no node is gone that uses its
/// share, and after the last fault all nodes agree.
#[test]
fn under_random_faults_the_invariants_hold_and_all_nodes_agree_in_the_end() {
    for seed in 0..60 {
        let nodes = [3, 4, 5, 7][seed as usize % 4];
        let mut sim = Simulation::new(nodes, seed);
        sim.default_link.loss_permille = sim.rng.u32(0..250);
        sim.default_link.delay_range.1 = sim.rng.u64(2 * MS..800 * MS);
        sim.default_link.duplicate_permille = 100;
        sim.start_all(2 * SEC);
        for _ in 0..60 {
            let (a, b) = (sim.rng.usize(0..nodes), sim.rng.usize(0..nodes));
            match sim.rng.u8(0..10) {
                0 => sim.kill(a),
                1 | 2 if !sim.runs(a) => {
                    let now = sim.now;
                    sim.start_at(a, now);
                }
                3 => sim.pause(a),
                4 | 5 => sim.resume(a),
                6 | 7 if a != b => sim.cut(a, b, true),
                8 if a != b => sim.cut(a, b, false),
                9 => sim.nodes[a].wall_offset = sim.rng.i64(-5_000_000..5_000_000),
                _ => {}
            }
            let wait = sim.rng.u64(10 * MS..2 * SEC);
            sim.run(wait);
        }
        sim.default_link = Link::default();
        for a in 0..nodes {
            sim.resume(a);
            (0..nodes).filter(|&b| b != a).for_each(|b| *sim.link(a, b) = Link::default());
            if !sim.runs(a) {
                let now = sim.now;
                sim.start_at(a, now);
            }
        }
        sim.run(MS);
        sim.run_until(30 * SEC, Simulation::is_converged);
    }
}

/// Well-formed datagrams with arbitrary contents must not crash a node, nor make it send without bound.
#[test]
fn no_well_formed_datagram_crashes_a_node_or_makes_it_flood() {
    use lilacquay_codec::siblings::{Heard, Message, NodeFlags, Row, encode};
    let mut rng = fastrand::Rng::with_seed(12);
    for nodes in [2, 3, 5, 40] {
        let mut sim = settled(nodes, 12);
        let (mut now, mut sent) = (sim.clock(0), 0);
        let node = sim.nodes[0].membership.as_mut().unwrap();
        for _ in 0..20_000 {
            let edge_case = |rng: &mut fastrand::Rng| [0, 1, u32::MAX, rng.u32(..)][rng.usize(..4)];
            let mut row = Row { origin: rng.u16(..50), watches: rng.u8(..5), ..Row::default() };
            row.incarnation = [0, 1, u64::from(edge_case(&mut rng)) << 14, (1 << 48) - 1][rng.usize(..4)];
            row.heartbeat = edge_case(&mut rng);
            row.flags = NodeFlags {
                confirmed: rng.bool(),
                leaving: rng.bool(),
                needs_relay: rng.bool(),
                paused: false,
            };
            row.heard = row.heard.map(|_| Heard {
                incarnation: edge_case(&mut rng),
                heartbeat: rng.u16(..),
                direct: rng.bool(),
                expired: rng.bool(),
            });
            let from = rng.usize(1..nodes);
            let first = Row { origin: from as u16, ..row };
            let mut message = Message { epoch: edge_case(&mut rng), rows: vec![first], ..Message::default() };
            message.add(Row { origin: rng.u16(..50), ..row }, rng.bool(), 256);
            message.requested_nodes = (0..rng.usize(..9)).map(|_| rng.u16(..60)).collect();
            message.digests = rng.bool().then(|| std::array::from_fn(|_| rng.u16(..)));
            now += rng.u64(..2 * MS);
            sent += node.handle_datagram(now, 0, from, &encode(7, &message)).len();
            if rng.u8(..50) == 0 {
                node.tick(now, 0);
            }
            assert!(node.resource_share(now).thousandths_at(now) <= 2 * FULL_SHARE);
        }
        assert!(sent < 40 + 20_000 / 25, "{nodes}: {sent} extra datagrams in 20 s");
    }
}

/// A faulty node reports again and again that the leases of all nodes that it watches have expired.
#[test]
fn a_node_that_reports_all_others_as_expired_makes_none_gone() {
    use lilacquay_codec::siblings::{Heard, Message, Row, encode, site_id};
    assert_ne!(site_id("a", 3), site_id("a", 4));
    let mut sim = settled(5, 13);
    sim.kill(4);
    sim.run(10 * SEC);
    sim.events.clear();
    let ring = lilacquay_siblings::Ring::new(5);
    for heartbeat in 1..=120 {
        sim.run(500 * MS);
        let incarnation_of = |node: usize| sim.membership(node).incarnation() as u32;
        let mut row = Row { origin: 4, incarnation: 1 << 47, heartbeat, watches: 4, ..Row::default() };
        row.flags.confirmed = true;
        for (heard, node) in row.heard.iter_mut().zip(ring.neighbours(4)) {
            *heard = Heard { incarnation: incarnation_of(node), heartbeat: 1, direct: true, expired: true };
        }
        let datagram = encode(7, &Message { rows: vec![row], ..Message::default() });
        for node in 0..4 {
            sim.deliver(4, node, &datagram);
        }
    }
    let is_gone = |(_, _, event): &&(u64, usize, MembershipEvent)| {
        matches!(
            event,
            MembershipEvent::StateChanged {
                current: NodeState::Gone,
                reason: StateReason::LeaseExpired { .. },
                ..
            }
        )
    };
    assert_eq!(sim.events.iter().find(is_gone), None);
    let started = sim
        .events
        .iter()
        .filter(|(_, _, event)| matches!(event, MembershipEvent::IncarnationStarted { .. }))
        .count();
    assert!(
        started <= 4 * 8,
        "{started} incarnations in a minute at four nodes: at most one each per ten seconds"
    );
    assert!((0..4).all(|node| sim.membership(node).is_confirmed(sim.clock(node))));
}

/// Two processes under one name learn of each other through other nodes. Exactly one yields, and reports it.
#[test]
fn of_two_processes_under_one_name_exactly_one_yields() {
    use lilacquay_siblings::{Membership, Setup};
    for seed in 0..8 {
        // Processes 2 and 3 both run as node 2 of three.
        let (mut now, wall) = (SEC, 1_700_000_000 * SEC);
        let node_of = |process: usize| process.min(2);
        let setup = |process: usize| Setup {
            own_index: node_of(process),
            node_count: 3,
            site_id: 7,
            seed: seed * 10 + process as u64,
            parameters: Parameters::default(),
        };
        let mut processes: Vec<Membership> =
            (0..3).map(|process| Membership::new(setup(process), now, wall)).collect();
        let mut superseded_events = 0;
        for step in 0..120 {
            if step == 40 {
                processes.push(Membership::new(setup(3), now, wall + now));
            }
            for process in 0..processes.len() {
                let mut in_flight: Vec<(usize, usize, Vec<u8>)> = Vec::new();
                let out = processes[process].tick(now, wall + now);
                in_flight.extend(out.into_iter().map(|out| (process, out.to, out.datagram)));
                for _ in 0..8 {
                    for (from, to, datagram) in std::mem::take(&mut in_flight) {
                        for at in (0..processes.len()).filter(|&at| node_of(at) == to && at != from) {
                            let out =
                                processes[at].handle_datagram(now, wall + now, node_of(from), &datagram);
                            in_flight.extend(out.into_iter().map(|out| (at, out.to, out.datagram)));
                        }
                    }
                    now += MS;
                }
            }
            now += 500 * MS - 8 * MS * processes.len() as u64;
        }
        for node in &mut processes {
            superseded_events +=
                node.take_events().iter().filter(|event| **event == MembershipEvent::Superseded).count();
        }
        let superseded: Vec<bool> = processes.iter().map(Membership::is_superseded).collect();
        assert_eq!(
            superseded.iter().filter(|superseded| **superseded).count(),
            1,
            "seed {seed}: {superseded:?}"
        );
        assert!(superseded_events == 1 && superseded[2], "the process that has run for longer yields");
        assert!(processes[3].is_confirmed(now - 500 * MS), "seed {seed}: the other is node 2");
    }
}

/// The documented detection times under loss: half of all nodes learn of a crash within 5 s, nearly
/// all within 10 s.
#[test]
fn with_ten_or_twenty_percent_loss_a_crash_is_known_within_the_documented_times() {
    for (nodes, loss) in [(30, 200), (100, 100)] {
        let mut sim = Simulation::new(nodes, 3);
        (sim.checks_invariants, sim.default_link) =
            (false, Link { loss_permille: loss, delay_range: (MS, 20 * MS), ..Link::default() });
        sim.start_all(SEC);
        sim.run(20 * SEC);
        let mut times: Vec<u64> = Vec::new();
        for round in 0..4 {
            let crashed = (round * 37 + 5) % nodes;
            sim.kill(crashed);
            let start = sim.now;
            sim.events.clear();
            sim.run(12 * SEC);
            for (time, _, event) in &sim.events {
                if matches!(event, MembershipEvent::StateChanged { node, current: NodeState::Gone, .. } if *node == crashed)
                {
                    times.push(time - start);
                }
            }
            let now = sim.now;
            sim.start_at(crashed, now);
            sim.run(5 * SEC);
        }
        times.sort_unstable();
        assert_eq!(times.len(), 4 * (nodes - 1), "all nodes learn of it, each once");
        assert!(
            times[times.len() / 2] <= 5 * SEC && times[times.len() - 1] <= 10 * SEC,
            "{:?}",
            times.last()
        );
    }
}

/// A gone node returns on one side of a split, while an adjacent node on the other side, which is confirmed itself, has taken
/// over half of its share. The adjacent node must give up that half although it hears nothing of the return.
#[test]
fn a_half_share_is_given_up_once_the_other_watchers_acknowledgements_are_old() {
    let mut sim = settled(7, 14);
    let ring = lilacquay_siblings::Ring::new(7);
    let mut ring_order = vec![0];
    while ring_order.len() < 7 {
        ring_order.push(ring.neighbours(ring_order[ring_order.len() - 1]).next().unwrap());
    }
    let (returning, adjacent) = (ring_order[0], ring_order[1]);
    sim.kill(returning);
    sim.run_until(DETECTION_LIMIT_US, |sim| sim.usable_share(adjacent) > FULL_SHARE);
    let other_side = [ring_order[1], ring_order[2], ring_order[3]];
    sim.split(|node| other_side.contains(&node), true);
    let now = sim.now;
    sim.start_at(returning, now);
    sim.run(15 * SEC); // each step is checked
    assert!(sim.usable_share(returning) == FULL_SHARE && sim.usable_share(adjacent) == FULL_SHARE);
    assert_eq!(sim.state(returning, adjacent), NodeState::Gone, "it has heard nothing of the return");
}

#[test]
fn a_machine_that_was_suspended_uses_nothing_until_it_is_confirmed_again() {
    let sim = settled(3, 15);
    let (now, wall) = (sim.clock(0), 1_700_000_000 * SEC + sim.now);
    let mut node = sim.membership(0).clone();
    node.tick(now, wall);
    assert_eq!(node.resource_share(now + MS).thousandths_at(now + MS), FULL_SHARE);
    // The machine is suspended for 10 s: the monotonic clock stands still.
    node.tick(now + MS, wall + 10 * SEC);
    assert_eq!(node.resource_share(now + 2 * MS).thousandths_at(now + 2 * MS), 0);
}
