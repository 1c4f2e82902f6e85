//! Siblings in virtual time: who is known to be what, within which bounds, through whatever happens on the ways.

use lilacquay_siblings::simulation::{Link, MS, S, World};
use lilacquay_siblings::{Change, State, Terms, WHOLE, Why};

/// A death is known to all of so many within this, and a start.
const KNOWN: u64 = 10 * S;

fn settled(nodes: usize, seed: u64) -> World {
    let mut world = World::new(nodes, seed);
    world.checks = nodes <= 30;
    world.start_all(S);
    world.until(30 * S, World::whole);
    let settle = 2 * Terms::default().outlasts();
    world.run(settle);
    world
}

#[test]
fn all_are_here_and_use_their_whole_parts_soon_after_their_start() {
    for (nodes, seed) in [(1, 1), (2, 2), (3, 3), (4, 4), (5, 5), (6, 6), (30, 7), (300, 8)] {
        let world = settled(nodes, seed);
        assert!((0..nodes).all(|node| world.part(node) == WHOLE), "{nodes}");
        assert!((0..nodes).all(|node| world.siblings(node).numbers() == [nodes - 1, 0, 0]));
    }
}

/// The death of one is known, its part is taken by the two beside it, and it gets that back.
#[test]
fn a_dead_one_is_gone_to_all_its_part_is_taken_and_given_back() {
    for (nodes, seed) in [(3, 1), (5, 2), (6, 3), (30, 4), (300, 5)] {
        let mut world = settled(nodes, seed);
        let dead = seed as usize % nodes;
        world.kill(dead);
        let known = |w: &World| (0..nodes).all(|at| at == dead || w.state(dead, at) == State::Gone);
        world.until(KNOWN, known);
        world.until(KNOWN, |w| (0..nodes).map(|node| w.part(node)).sum::<u32>() == nodes as u32 * WHOLE);
        let now = world.now;
        world.start_at(dead, now);
        world.until(5 * S, |w| w.runs(dead) && w.part(dead) == WHOLE);
        world.until(KNOWN, World::whole);
    }
}

#[test]
fn loss_spread_and_doubling_alone_make_nobody_gone() {
    for (nodes, loss, seed) in [(3, 100, 1), (5, 200, 2), (30, 200, 3), (30, 100, 4)] {
        let mut world = World::new(nodes, seed);
        world.usual = Link { loss, double: 50, delay: (MS, 200 * MS), cut: false };
        world.start_all(S);
        world.until(30 * S, World::whole);
        world.changes.clear();
        for _ in 0..6 {
            world.run(20 * S);
            let node = world.rng.usize(0..nodes);
            world.pause(node); // a second of each minute or less
            world.run(S);
            world.resume(node);
        }
        let gone = |(_, _, change): &&(u64, usize, Change)| {
            matches!(change, Change::State { is: State::Gone, why: Why::Expired { .. }, .. })
        };
        assert_eq!(world.changes.iter().find(gone), None, "{nodes} at {loss}");
    }
}

#[test]
fn a_pause_within_the_bound_changes_nothing_and_a_longer_one_heals() {
    for pause in [100 * MS, S, Terms::default().unnoticed()] {
        let mut world = settled(5, pause);
        world.changes.clear();
        world.pause(2);
        world.run(pause);
        world.resume(2);
        world.run(10 * S);
        let told = |(_, _, change): &&(u64, usize, Change)| matches!(change, Change::State { .. });
        assert_eq!(world.changes.iter().find(told), None, "a pause of {pause}");
    }
    for pause in [3 * S, 10 * S] {
        let mut world = settled(5, pause);
        world.changes.clear();
        world.pause(2);
        world.run(pause);
        world.resume(2);
        let accused = world.changes.len();
        world.until(5 * S, World::whole);
        // Whoever wakes up accuses nobody: it says nothing of the others but that they are here.
        let accuses = |(_, at, change): &&(u64, usize, Change)| {
            *at == 2 && matches!(change, Change::State { is: State::Gone, why: Why::Expired { .. }, .. })
        };
        assert_eq!(world.changes[accused..].iter().find(accuses), None);
    }
}

#[test]
fn all_paused_at_once_and_late_all_the_time_accuse_nobody() {
    let mut world = settled(6, 1);
    world.changes.clear();
    for _ in 0..5 {
        (0..6).for_each(|node| world.pause(node));
        world.run(10 * S);
        (0..6).for_each(|node| world.resume(node));
        world.until(5 * S, World::whole);
    }
    for _ in 0..40 {
        (0..6).for_each(|node| world.pause(node));
        world.run(400 * MS);
        (0..6).for_each(|node| world.resume(node));
        world.run(300 * MS);
    }
    let gone = |(_, _, change): &&(u64, usize, Change)| {
        matches!(change, Change::State { is: State::Gone, why: Why::Expired { .. }, .. })
    };
    assert_eq!(world.changes.iter().find(gone), None);
}

#[test]
fn a_one_sided_cut_shows_as_one_and_ends_no_lease() {
    for nodes in [3, 5, 30] {
        let mut world = settled(nodes, 9);
        let (a, b) = (0, world.siblings(0).fellows(0).iter().find(|f| f.we_hear.is_some()).unwrap().node);
        world.changes.clear();
        world.cut(a, b, true); // b doesn't hear a
        world.run(60 * S);
        let ways = world.siblings(b).ways(world.clock(b));
        let open = |from, to| ways.iter().find(|way| (way.from, way.to) == (from, to)).unwrap().open;
        assert!(!open(a, b) && open(b, a), "{nodes}: {ways:?}");
        let gone = |(_, _, change): &&(u64, usize, Change)| {
            matches!(change, Change::State { is: State::Gone, .. } | Change::Confirmed(false))
        };
        assert_eq!(world.changes.iter().find(gone), None, "{nodes}");
    }
}

/// Each hears the one before it alone.
#[test]
fn in_a_ring_of_one_sided_ways_all_stay_here() {
    let mut world = settled(5, 3);
    world.changes.clear();
    for from in 0..5 {
        (0..5).filter(|&to| to != from && to != (from + 1) % 5).for_each(|to| world.cut(from, to, true));
    }
    world.run(60 * S);
    let gone =
        |(_, _, change): &&(u64, usize, Change)| matches!(change, Change::State { is: State::Gone, .. });
    assert_eq!(world.changes.iter().find(gone), None);
}

#[test]
fn one_that_is_cut_from_all_but_one_can_be_heard_by_a_way_round() {
    for nodes in [5, 30, 100] {
        let mut world = settled(nodes, 4);
        world.changes.clear();
        let (cut, friend) = (1, (1 + nodes / 2) % nodes);
        for other in (0..nodes).filter(|&other| other != cut && other != friend) {
            world.cut(cut, other, true);
            world.cut(other, cut, true);
        }
        world.run(60 * S);
        let gone = |(_, _, change): &&(u64, usize, Change)| {
            matches!(change, Change::State { is: State::Gone, why: Why::Expired { .. }, .. })
        };
        assert_eq!(world.changes.iter().find(gone), None, "{nodes}");
    }
}

#[test]
fn half_and_half_for_a_minute_never_use_more_than_the_whole_and_heal() {
    for (nodes, seed) in [(5, 1), (6, 2), (30, 3), (100, 4)] {
        let mut world = settled(nodes, seed);
        world.split(|node| node < nodes / 2, true);
        world.run(60 * S);
        for at in 0..nodes {
            let own = (0..nodes).filter(|&of| of != at && (of < nodes / 2) == (at < nodes / 2));
            let gone: Vec<usize> = own.filter(|&of| world.state(of, at) == State::Gone).collect();
            assert!(gone.is_empty(), "{at} holds {gone:?} to be gone, whom it can hear");
        }
        world.split(|node| node < nodes / 2, false);
        world.until(5 * S, World::whole);
    }
}

#[test]
fn eighty_of_a_hundred_are_killed_and_back_under_their_names() {
    let mut world = settled(100, 5);
    world.checks = false;
    for node in 0..80 {
        let at = world.now + world.rng.u64(0..S);
        let back = 300 * MS;
        world.run(at.saturating_sub(world.now).min(S / 80));
        world.kill(node);
        let again = world.now + back;
        world.start_at(node, again);
        world.check();
    }
    world.until(KNOWN, World::whole);
    world.until(KNOWN, |w| (0..100).all(|node| w.part(node) == WHOLE));
    world.check();
}

#[test]
fn one_that_flaps_twice_a_second_troubles_nobody_else() {
    let mut world = settled(6, 6);
    world.changes.clear();
    for _ in 0..40 {
        world.kill(0);
        world.run(150 * MS);
        let now = world.now;
        world.start_at(0, now);
        world.run(350 * MS);
    }
    let others = |(_, _, change): &&(u64, usize, Change)| matches!(change, Change::State { node, is: State::Gone, .. } if *node != 0);
    assert_eq!(world.changes.iter().find(others), None);
    world.until(5 * S, World::whole);
}

/// A name in the list under which nothing ever ran.
#[test]
fn one_that_never_was_is_not_known_and_the_others_are_here() {
    let mut world = World::new(5, 7);
    (0..4).for_each(|node| world.start_at(node, S));
    world.run(S);
    world.until(10 * S, World::whole);
    world.run(30 * S);
    assert!((0..4).all(|at| world.state(4, at) == State::Unknown));
    assert!((0..4).all(|node| world.part(node) == WHOLE), "nobody takes the part of one that is not known");
}

/// Clocks that are 5 s apart, and one that goes back over a restart that nobody noticed.
#[test]
fn one_that_comes_back_with_its_clock_put_back_is_newer_than_it_was() {
    let mut world = World::new(5, 8);
    (0..5).for_each(|node| world.nodes[node].wall_off = node as i64 * 5_000_000 - 10_000_000);
    world.start_all(S);
    world.until(10 * S, World::whole);
    let before = world.siblings(3).incarnation();
    world.kill(3);
    world.nodes[3].wall_off -= 20_000_000;
    let now = world.now;
    world.start_at(3, now);
    world.until(5 * S, |w| w.runs(3) && w.siblings(3).incarnation() > before && w.whole());
}

/// At rest the bytes a node sends don't grow with the number of nodes; in a storm there is a bound.
#[test]
fn bytes_are_bounded_whatever_the_number_and_the_storm() {
    for (nodes, loss) in [(30, 0), (300, 0), (300, 200)] {
        let mut world = World::new(nodes, 9);
        world.checks = false;
        world.usual = Link { loss, ..Link::default() };
        world.start_all(S);
        world.run(25 * S);
        let sent = |world: &World| world.nodes.iter().map(|node| node.sent_bytes).sum::<u64>();
        let before = sent(&world);
        world.run(10 * S);
        let rest = (sent(&world) - before) / 10 / nodes as u64;
        assert!(rest <= 2_048, "{nodes}: {rest} bytes a second at rest");
        let odd: Vec<bool> = (0..nodes).map(|_| world.rng.bool()).collect();
        world.split(|node| odd[node], true);
        world.run(15 * S);
        world.split(|node| odd[node], false);
        world.forget_links();
        let before = sent(&world);
        let healed = world.until(30 * S, World::whole);
        assert!(healed <= if loss > 0 { 7 * S } else { 5 * S }, "{nodes}: healed after {healed}");
        let storm = (sent(&world) - before) * S / healed / nodes as u64;
        assert!(storm <= 16_000, "{nodes}: {storm} bytes a second in a storm");
    }
}

/// Datagrams of another site, garbled, cut, led astray or sent again change nothing.
#[test]
fn strays_change_nothing() {
    let world = settled(3, 10);
    let (now, wall) = (world.clock(0), 1_700_000_100 * S);
    let mut other = world.siblings(1).clone();
    let good = other.tick(now, wall).into_iter().find(|out| out.to == 0).unwrap().datagram;
    let mut node = world.siblings(0).clone();
    node.heard(now, wall, 1, &good);
    let before = (node.fellows(now), node.epoch(), node.part(now));
    let mut cases: Vec<(usize, Vec<u8>)> =
        vec![(2, good.clone()), (0, good.clone()), (1, good[..40].to_vec())];
    let mut stranger = good.clone();
    stranger[4] ^= 1;
    cases.extend([(1, stranger), (1, good)]);
    for (from, datagram) in cases {
        node.heard(now, wall, from, &datagram);
        assert_eq!((node.fellows(now), node.epoch(), node.part(now)), before);
    }
    assert!(node.counts().unread >= 4);
}

/// Whatever happens, in any order: the sum of the parts, and nobody gone who uses its own. In the end all heal.
#[test]
fn whatever_happens_the_parts_hold_and_all_heal() {
    for seed in 0..60 {
        let nodes = [3, 4, 5, 7][seed as usize % 4];
        let mut world = World::new(nodes, seed);
        world.usual.loss = world.rng.u32(0..250);
        world.usual.delay.1 = world.rng.u64(2 * MS..800 * MS);
        world.usual.double = 100;
        world.start_all(2 * S);
        for _ in 0..60 {
            let (a, b) = (world.rng.usize(0..nodes), world.rng.usize(0..nodes));
            match world.rng.u8(0..10) {
                0 => world.kill(a),
                1 | 2 if !world.runs(a) => {
                    let now = world.now;
                    world.start_at(a, now);
                }
                3 => world.pause(a),
                4 | 5 => world.resume(a),
                6 | 7 if a != b => world.cut(a, b, true),
                8 if a != b => world.cut(a, b, false),
                9 => world.nodes[a].wall_off = world.rng.i64(-5_000_000..5_000_000),
                _ => {}
            }
            let wait = world.rng.u64(10 * MS..2 * S);
            world.run(wait);
        }
        world.usual = Link::default();
        for a in 0..nodes {
            world.resume(a);
            (0..nodes).filter(|&b| b != a).for_each(|b| *world.link(a, b) = Link::default());
            if !world.runs(a) {
                let now = world.now;
                world.start_at(a, now);
            }
        }
        world.run(MS);
        world.until(30 * S, World::whole);
    }
}

/// Whatever a datagram says that is well made, no node is brought down by it, and none sends without end.
#[test]
fn nothing_that_can_be_said_brings_a_node_down() {
    use lilacquay_codec::siblings::{Heard, Message, NodeFlags, Row, encode};
    let mut rng = fastrand::Rng::with_seed(12);
    for nodes in [2, 3, 5, 40] {
        let mut world = settled(nodes, 12);
        let (mut now, mut sent) = (world.clock(0), 0);
        let node = world.nodes[0].siblings.as_mut().unwrap();
        for _ in 0..20_000 {
            let number = |rng: &mut fastrand::Rng| [0, 1, u32::MAX, rng.u32(..)][rng.usize(..4)];
            let mut row = Row { origin: rng.u16(..50), watches: rng.u8(..5), ..Row::default() };
            row.incarnation = [0, 1, u64::from(number(&mut rng)) << 14, (1 << 48) - 1][rng.usize(..4)];
            row.heartbeat = number(&mut rng);
            row.flags = NodeFlags {
                confirmed: rng.bool(),
                leaving: rng.bool(),
                needs_relay: rng.bool(),
                paused: false,
            };
            row.heard = row.heard.map(|_| Heard {
                incarnation: number(&mut rng),
                heartbeat: rng.u16(..),
                direct: rng.bool(),
                expired: rng.bool(),
            });
            let from = rng.usize(1..nodes);
            let first = Row { origin: from as u16, ..row };
            let mut said = Message { epoch: number(&mut rng), rows: vec![first], ..Message::default() };
            said.add(Row { origin: rng.u16(..50), ..row }, rng.bool(), 256);
            said.requested_nodes = (0..rng.usize(..9)).map(|_| rng.u16(..60)).collect();
            said.digests = rng.bool().then(|| std::array::from_fn(|_| rng.u16(..)));
            now += rng.u64(..2 * MS);
            sent += node.heard(now, 0, from, &encode(7, &said)).len();
            if rng.u8(..50) == 0 {
                node.tick(now, 0);
            }
            assert!(node.part(now).at(now) <= 2 * WHOLE);
        }
        assert!(sent < 40 + 20_000 / 25, "{nodes}: {sent} beyond the turn in 20 s");
    }
}

/// One that says of all whom it watches, again and again, that their leases have run out.
#[test]
fn one_that_swears_that_all_others_are_dead_ends_nobody() {
    use lilacquay_codec::siblings::{Heard, Message, Row, encode, site_id};
    assert_ne!(site_id("a", 3), site_id("a", 4));
    let mut world = settled(5, 13);
    world.kill(4);
    world.run(10 * S);
    world.changes.clear();
    let ring = lilacquay_siblings::Ring::new(5);
    for heartbeat in 1..=120 {
        world.run(500 * MS);
        let of = |node: usize| world.siblings(node).incarnation() as u32;
        let mut row = Row { origin: 4, incarnation: 1 << 47, heartbeat, watches: 4, ..Row::default() };
        row.flags.confirmed = true;
        for (heard, node) in row.heard.iter_mut().zip(ring.of(4)) {
            *heard = Heard { incarnation: of(node), heartbeat: 1, direct: true, expired: true };
        }
        let datagram = encode(7, &Message { rows: vec![row], ..Message::default() });
        for node in 0..4 {
            world.deliver(4, node, &datagram);
        }
    }
    let gone = |(_, _, change): &&(u64, usize, Change)| {
        matches!(change, Change::State { is: State::Gone, why: Why::Expired { .. }, .. })
    };
    assert_eq!(world.changes.iter().find(gone), None);
    let began = world.changes.iter().filter(|(_, _, change)| matches!(change, Change::Began { .. })).count();
    assert!(began <= 4 * 8, "{began} in a minute at four nodes: each ten seconds at the most");
    assert!((0..4).all(|node| world.siblings(node).is_confirmed(world.clock(node))));
}

/// Two processes of one name hear of each other through the others: one gives way, and says so.
#[test]
fn of_two_processes_of_one_name_one_gives_way() {
    use lilacquay_siblings::{Setup, Siblings};
    for seed in 0..8 {
        // The places of the two are 2 and 3; both are node 2 of three.
        let (mut now, wall) = (S, 1_700_000_000 * S);
        let name = |place: usize| place.min(2);
        let setup = |place: usize| Setup {
            me: name(place),
            nodes: 3,
            site: 7,
            seed: seed * 10 + place as u64,
            terms: Terms::default(),
        };
        let mut all: Vec<Siblings> = (0..3).map(|place| Siblings::new(setup(place), now, wall)).collect();
        let mut told = 0;
        for step in 0..120 {
            if step == 40 {
                all.push(Siblings::new(setup(3), now, wall + now));
            }
            for place in 0..all.len() {
                let mut due: Vec<(usize, usize, Vec<u8>)> = Vec::new();
                let out = all[place].tick(now, wall + now);
                due.extend(out.into_iter().map(|out| (place, out.to, out.datagram)));
                for _ in 0..8 {
                    for (from, to, datagram) in std::mem::take(&mut due) {
                        for at in (0..all.len()).filter(|&at| name(at) == to && at != from) {
                            let out = all[at].heard(now, wall + now, name(from), &datagram);
                            due.extend(out.into_iter().map(|out| (at, out.to, out.datagram)));
                        }
                    }
                    now += MS;
                }
            }
            now += 500 * MS - 8 * MS * all.len() as u64;
        }
        for node in &mut all {
            told += node.changes().iter().filter(|change| **change == Change::Superseded).count();
        }
        let superseded: Vec<bool> = all.iter().map(Siblings::is_superseded).collect();
        assert_eq!(
            superseded.iter().filter(|superseded| **superseded).count(),
            1,
            "seed {seed}: {superseded:?}"
        );
        assert!(told == 1 && superseded[2], "the one that has run for long gives way");
        assert!(all[3].is_confirmed(now - 500 * MS), "seed {seed}: the other is node 2");
    }
}

/// The bounds that operators are told, with datagrams lost: half of all know of a death within 5 s, nearly all within 10.
#[test]
fn with_a_tenth_or_a_fifth_lost_a_death_is_known_within_its_bounds() {
    for (nodes, loss) in [(30, 200), (100, 100)] {
        let mut world = World::new(nodes, 3);
        (world.checks, world.usual) = (false, Link { loss, delay: (MS, 20 * MS), ..Link::default() });
        world.start_all(S);
        world.run(20 * S);
        let mut times: Vec<u64> = Vec::new();
        for round in 0..4 {
            let dead = (round * 37 + 5) % nodes;
            world.kill(dead);
            let start = world.now;
            world.changes.clear();
            world.run(12 * S);
            for (time, _, change) in &world.changes {
                if matches!(change, Change::State { node, is: State::Gone, .. } if *node == dead) {
                    times.push(time - start);
                }
            }
            let now = world.now;
            world.start_at(dead, now);
            world.run(5 * S);
        }
        times.sort_unstable();
        assert_eq!(times.len(), 4 * (nodes - 1), "all know, each once");
        assert!(times[times.len() / 2] <= 5 * S && times[times.len() - 1] <= 10 * S, "{:?}", times.last());
    }
}

/// One that was gone comes back on one side of a split, while one beside it, on the other side, has a half of its part and is
/// confirmed itself: it must let go of that, though it hears nothing of the return.
#[test]
fn a_half_is_let_go_of_once_the_others_words_are_old() {
    let mut world = settled(7, 14);
    let ring = lilacquay_siblings::Ring::new(7);
    let mut places = vec![0];
    while places.len() < 7 {
        places.push(ring.of(places[places.len() - 1]).next().unwrap());
    }
    let (back, beside) = (places[0], places[1]);
    world.kill(back);
    world.until(KNOWN, |w| w.part(beside) > WHOLE);
    let far = [places[1], places[2], places[3]];
    world.split(|node| far.contains(&node), true);
    let now = world.now;
    world.start_at(back, now);
    world.run(15 * S); // each step is checked
    assert!(world.part(back) == WHOLE && world.part(beside) == WHOLE);
    assert_eq!(world.state(back, beside), State::Gone, "it has heard nothing of the return");
}

#[test]
fn a_machine_that_slept_uses_nothing_until_it_is_confirmed_anew() {
    let world = settled(3, 15);
    let (now, wall) = (world.clock(0), 1_700_000_000 * S + world.now);
    let mut node = world.siblings(0).clone();
    node.tick(now, wall);
    assert_eq!(node.part(now + MS).at(now + MS), WHOLE);
    // Its steady clock stood still meanwhile.
    node.tick(now + MS, wall + 10 * S);
    assert_eq!(node.part(now + 2 * MS).at(now + 2 * MS), 0);
}
