//! Three siblings, explored by a model checker: ways that are cut in one direction, datagrams that come late, pauses,
//! restarts and refutations in all orders. The parts never come to more than the whole, and nobody is held to be gone who
//! still uses its part.

use lilacquay_siblings::{FULL_SHARE, Membership, Micros, NodeState, OutgoingDatagram, Parameters, Setup};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
/// A lease of two steps, so that few steps tell all.
const STEP: Micros = 500_000;
const PARAMETERS: Parameters = Parameters {
    heartbeat_interval: STEP,
    lease_duration: 2 * STEP,
    max_drift_permille: 10,
    late_threshold: 100_000,
};
const WALL: Micros = 1_700_000_000_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: Micros,
    nodes: Vec<Option<Membership>>,
    /// Stopped; it wakes up with what it believed.
    paused: [bool; NODES],
    /// Ways that are cut, by sender and receiver.
    cut: [[bool; NODES]; NODES],
    /// The last datagram of each way that was held up, to come late.
    held: Vec<(usize, usize, Vec<u8>)>,
    /// What may still happen.
    left: u8,
    /// Processes started so far: each has a seed of its own, as each real one.
    starts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A period passes; the datagrams of one way are held up, if one is named.
    Pass(Option<(usize, usize)>),
    Cut(usize, usize),
    Heal,
    Pause(usize),
    Resume(usize),
    Restart(usize),
    /// A datagram that was held up comes.
    Late,
}

struct Fleet {
    faults: u8,
}

impl World {
    fn start(&mut self, node: usize) {
        self.starts += 1;
        let setup = Setup {
            own_index: node,
            node_count: NODES,
            site_id: 1,
            seed: self.starts,
            parameters: PARAMETERS,
        };
        // Its clock went back: each start is at the same time by the wall.
        self.nodes[node] = Some(Membership::new(setup, self.now, WALL));
    }

    /// Carries datagrams, and what they bring about, until nothing more is said.
    fn carry(&mut self, from: usize, out: Vec<OutgoingDatagram>, held: Option<(usize, usize)>) {
        let mut all: Vec<(usize, OutgoingDatagram)> = out.into_iter().map(|out| (from, out)).collect();
        for _ in 0..12 {
            for (from, OutgoingDatagram { to, datagram }) in std::mem::take(&mut all) {
                if held == Some((from, to)) {
                    self.held.retain(|(f, t, _)| (*f, *t) != (from, to));
                    self.held.push((from, to, datagram));
                } else if !self.cut[from][to] && !self.paused[to] {
                    let out = self.come(from, to, &datagram);
                    all.extend(out.into_iter().map(|out| (to, out)));
                }
            }
        }
    }

    fn come(&mut self, from: usize, to: usize, datagram: &[u8]) -> Vec<OutgoingDatagram> {
        let now = self.now;
        let Some(siblings) = &mut self.nodes[to] else { return Vec::new() };
        let out = siblings.handle_datagram(now, WALL + now, from, datagram);
        siblings.take_events();
        out
    }

    fn tick(&mut self, node: usize, held: Option<(usize, usize)>) {
        let now = self.now;
        let Some(siblings) = &mut self.nodes[node] else { return };
        let out = siblings.tick(now, WALL + now);
        siblings.take_events();
        self.carry(node, out, held);
    }

    fn pass(&mut self, held: Option<(usize, usize)>) {
        self.now += STEP;
        for node in 0..NODES {
            if !self.paused[node] {
                self.tick(node, held);
            }
        }
    }

    fn part(&self, node: usize) -> u32 {
        self.nodes[node]
            .as_ref()
            .map_or(0, |siblings| siblings.resource_share(self.now).thousandths_at(self.now))
    }

    /// Whether somebody holds a process to be gone that may use something.
    fn slanders(&self) -> bool {
        let used = |&node: &usize| self.part(node) > 0;
        (0..NODES).filter(used).any(|node| {
            let incarnation = self.nodes[node].as_ref().map(Membership::incarnation);
            let told =
                |other: &Membership| other.incarnation_of(node).filter(|known| known.1).map(|known| known.0);
            self.nodes.iter().flatten().any(|other| told(other).is_some() && told(other) == incarnation)
        })
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = World {
            now: 10 * STEP,
            nodes: vec![None; NODES],
            paused: [false; NODES],
            cut: Default::default(),
            held: Vec::new(),
            left: self.faults,
            starts: 0,
        };
        (0..NODES).for_each(|node| world.start(node));
        (0..6).for_each(|_| world.pass(None));
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.push(Step::Pass(None));
        if !world.held.is_empty() {
            steps.push(Step::Late);
        }
        if world.cut.iter().flatten().any(|&cut| cut) {
            steps.push(Step::Heal);
        }
        for node in 0..NODES {
            if world.paused[node] {
                steps.push(Step::Resume(node));
            }
        }
        if world.left == 0 {
            return;
        }
        for node in 0..NODES {
            if !world.paused[node] {
                steps.extend([Step::Pause(node), Step::Restart(node)]);
            }
            for to in (0..NODES).filter(|&to| to != node && !world.cut[node][to]) {
                steps.push(Step::Cut(node, to));
            }
        }
        steps.push(Step::Pass(Some((0, 1))));
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        let fault = matches!(step, Step::Cut(..) | Step::Pause(_) | Step::Restart(_) | Step::Pass(Some(_)));
        world.left -= u8::from(fault);
        match step {
            Step::Pass(held) => world.pass(held),
            Step::Cut(from, to) => world.cut[from][to] = true,
            Step::Heal => world.cut = Default::default(),
            Step::Pause(node) => world.paused[node] = true,
            Step::Resume(node) => {
                world.paused[node] = false;
                world.tick(node, None);
            }
            Step::Restart(node) => {
                world.start(node);
                world.tick(node, None);
            }
            Step::Late => {
                let (from, to, datagram) = world.held.pop()?;
                if !world.paused[to] {
                    let out = world.come(from, to, &datagram);
                    world.carry(to, out, None);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the parts never come to more than the whole", |_, world| {
                (0..NODES).map(|node| world.part(node)).sum::<u32>() <= NODES as u32 * FULL_SHARE
            }),
            Property::<Self>::always("nobody is gone who uses its part", |_, world| !world.slanders()),
            Property::<Self>::sometimes("one is held to be gone", |_, world| {
                let gone =
                    |node: &Membership| (0..NODES).any(|of| node.state(world.now, of).0 == NodeState::Gone);
                world.nodes.iter().flatten().any(gone)
            }),
            Property::<Self>::sometimes("another takes its part", |_, world| {
                (0..NODES).any(|node| world.part(node) > FULL_SHARE)
            }),
        ]
    }
}

/// How far it explores: steps and faults. Both can be raised for a long run: `SIBLINGS_MODEL=11,4 cargo test --release`.
fn reach() -> (usize, u8) {
    let told = std::env::var("SIBLINGS_MODEL").ok();
    let told = told.and_then(|told| told.split_once(',').map(|(a, b)| (a.parse().ok(), b.parse().ok())));
    match told {
        Some((Some(depth), Some(faults))) => (depth, faults),
        _ => (9, 2),
    }
}

#[test]
fn no_order_of_cuts_pauses_and_restarts_gives_two_the_same_part() {
    let (depth, faults) = reach();
    let checker = Fleet { faults }.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}
