//! Three replicas and one server: in all sequences of drains, undrains, one-way messages, exchanges and restarts, no drain is
//! lifted by a node that had not seen it, none is lost while a node that held it runs, and all replicas converge.

use std::collections::BTreeSet;

use lilacquay_replica::orders::Action;
use lilacquay_replica::{Micros, OutgoingDatagram, Replica, Setup, kind};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
const SEC: Micros = 1_000_000;
const SERVER: &[u8] = b"box";

/// An order as the model tracks it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct IssuedOrder {
    id: u64,
    is_drain: bool,
    /// The orders that its node held, or had held, when it was issued.
    seen: BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: Micros,
    replicas: Vec<Replica>,
    /// Processes started so far, which gives each its incarnation.
    starts: u64,
    issued: Vec<IssuedOrder>,
    /// By node, all orders that its present process has received.
    received: Vec<BTreeSet<u64>>,
    /// Steps that may still be taken.
    steps_left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Drain(usize),
    Undrain(usize),
    /// What one node sends reaches the other, whose answer is lost.
    OneWay(usize, usize),
    /// The two exchange datagrams until neither has more to send.
    Exchange(usize, usize),
    Restart(usize),
}

impl ModelState {
    fn new(steps_left: u8) -> ModelState {
        let (now, received) = (100 * SEC, vec![BTreeSet::new(); NODES]);
        let mut state =
            ModelState { now, replicas: Vec::new(), starts: 0, issued: Vec::new(), received, steps_left };
        state.replicas = (0..NODES).map(|node| state.start(node)).collect();
        state
    }

    fn start(&mut self, node: usize) -> Replica {
        self.starts += 1;
        let setup = Setup {
            own_index: node,
            node_count: NODES,
            site_id: 1,
            seed: node as u64,
            incarnation: self.starts,
        };
        let mut replica = Replica::new(setup, self.now);
        replica.set_reachable((0..NODES).filter(|&other| other != node).collect());
        replica
    }

    fn held(&self, node: usize) -> BTreeSet<u64> {
        let orders = self.replicas[node].records().filter(|(_, _, held)| held.record.kind == kind::ORDER);
        orders.map(|(id, ..)| id).collect()
    }

    fn order(&mut self, node: usize, action: Action) {
        let seen = self.received[node].clone();
        let id = self.replicas[node].issue_order(self.now, SERVER, action, None, 0).expect("there is room");
        self.issued.push(IssuedOrder { id, is_drain: action == Action::Drain, seen });
    }

    /// Delivers what a node sends in a tick to one other node; returns the answers.
    fn send_one_way(&mut self, from: usize, to: usize) -> Vec<OutgoingDatagram> {
        let mut others: Vec<usize> = (0..NODES).filter(|&node| node != from).collect();
        self.replicas[from].set_reachable(vec![to]);
        let out = self.replicas[from].tick(self.now);
        self.replicas[from].set_reachable(std::mem::take(&mut others));
        self.deliver(from, to, out)
    }

    fn deliver(&mut self, from: usize, to: usize, out: Vec<OutgoingDatagram>) -> Vec<OutgoingDatagram> {
        let for_receiver = out.into_iter().filter(|out| out.to == to);
        let answers: Vec<OutgoingDatagram> = for_receiver
            .flat_map(|out| self.replicas[to].handle_datagram(self.now, from, &out.datagram))
            .collect();
        let held = self.held(to);
        self.received[to].extend(held);
        answers
    }

    fn exchange(&mut self, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            let (mut from, mut to, mut out) = (from, to, self.send_one_way(from, to));
            for _ in 0..20 {
                (from, to) = (to, from);
                out = self.deliver(from, to, out);
            }
        }
    }

    fn step(&mut self, step: Step) {
        self.now += SEC;
        match step {
            Step::Drain(node) => self.order(node, Action::Drain),
            Step::Undrain(node) => self.order(node, Action::Undrain),
            Step::OneWay(from, to) => _ = self.send_one_way(from, to),
            Step::Exchange(one, other) => self.exchange(one, other),
            Step::Restart(node) => {
                self.replicas[node] = self.start(node);
                self.received[node].clear();
            }
        }
        for node in 0..NODES {
            let held = self.held(node);
            self.received[node].extend(held);
        }
    }

    /// Orders that were superseded by one whose issuer had seen them.
    fn superseded(&self) -> BTreeSet<u64> {
        self.issued.iter().flat_map(|order| order.seen.iter().copied()).collect()
    }

    fn has_drain(&self, node: usize) -> bool {
        let mut effective = self.replicas[node].effective_orders(self.now);
        effective.any(|(effective, _)| effective.order.action == Action::Drain)
    }

    /// Whether each node that has received a drain still has one, unless an issuer that had seen it has superseded it.
    fn keeps_drains(&self) -> bool {
        let superseded = self.superseded();
        let is_standing_drain = |id: &u64| {
            !superseded.contains(id) && self.issued.iter().any(|order| order.id == *id && order.is_drain)
        };
        (0..NODES).all(|node| !self.received[node].iter().any(is_standing_drain) || self.has_drain(node))
    }

    /// Whether all replicas converge after some exchanges, on a state without any superseded order.
    fn converges(&self) -> bool {
        let mut after_exchanges = self.clone();
        for _ in 0..4 {
            after_exchanges.now += SEC;
            for (one, other) in [(0, 1), (1, 2), (0, 2)] {
                after_exchanges.exchange(one, other);
            }
        }
        let is_converged = after_exchanges
            .replicas
            .iter()
            .all(|replica| replica.root() == after_exchanges.replicas[0].root());
        // No node holds a drain that was superseded by an order which any of them has received.
        let received: BTreeSet<u64> = after_exchanges.received.iter().flatten().copied().collect();
        let superseded = after_exchanges
            .issued
            .iter()
            .filter(|order| received.contains(&order.id))
            .flat_map(|order| &order.seen);
        let (held, superseded): (BTreeSet<u64>, BTreeSet<u64>) =
            (after_exchanges.held(0), superseded.copied().collect());
        is_converged && held.is_disjoint(&superseded) && after_exchanges.keeps_drains()
    }
}

/// The model; its number is the depth of the exploration, in steps.
struct OrdersModel(u8);

impl Model for OrdersModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState::new(self.0)]
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        if state.steps_left == 0 {
            return;
        }
        for node in 0..NODES {
            steps.extend([Step::Drain(node), Step::Undrain(node), Step::Restart(node)]);
            let next = (node + 1) % NODES;
            steps.extend([Step::OneWay(node, next), Step::OneWay(next, node), Step::Exchange(node, next)]);
        }
    }

    fn next_state(&self, state: &ModelState, step: Step) -> Option<ModelState> {
        let mut next = state.clone();
        next.steps_left -= 1;
        next.step(step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a drain is kept", |_, state: &ModelState| state.keeps_drains()),
            Property::always("all replicas converge", |_, state: &ModelState| {
                state.steps_left > 1 || state.converges()
            }),
            Property::sometimes("a drain is lifted", |_, state: &ModelState| {
                state.issued.iter().any(|order| !order.is_drain && !order.seen.is_empty())
                    && !state.has_drain(0)
            }),
        ]
    }
}

/// `LILACQUAY_DEPTH=5` explores deeper, which takes some minutes.
#[test]
fn in_no_order_of_events_is_a_drain_lost_or_lifted_by_a_node_that_had_not_seen_it() {
    let depth = std::env::var("LILACQUAY_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(3);
    OrdersModel(depth).checker().threads(2).spawn_dfs().join().assert_properties();
}

/// Random sequences of twenty steps; `LILACQUAY_SEEDS=10000` runs more of them.
#[test]
fn in_random_sequences_all_replicas_converge() {
    let seeds = std::env::var("LILACQUAY_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2_000);
    for seed in 0..seeds {
        let (mut rng, mut state) = (fastrand::Rng::with_seed(seed), ModelState::new(0));
        for _ in 0..20 {
            let (node, next) = (rng.usize(..NODES), rng.usize(1..NODES));
            let other = (node + next) % NODES;
            let step = match rng.u8(..12) {
                0..=2 => Step::Drain(node),
                3..=5 => Step::Undrain(node),
                6..=7 => Step::OneWay(node, other),
                8..=10 => Step::Exchange(node, other),
                _ => Step::Restart(node),
            };
            state.step(step);
            assert!(state.keeps_drains(), "seed {seed}, after {step:?}: {:?}", state.issued);
        }
        assert!(state.converges(), "seed {seed}: {:?}", state.issued);
    }
}
