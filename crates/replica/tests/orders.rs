//! Three copies and one server: in all orders of drains, undrains, one-sided words, exchanges and restarts no drain is lifted by
//! who had not seen it, none is lost while a node that held it lives, and all end alike.

use std::collections::BTreeSet;

use lilacquay_replica::orders::Action;
use lilacquay_replica::{Micros, OutgoingDatagram, Replica, Setup, kind};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
const SEC: Micros = 1_000_000;
const BOX: &[u8] = b"box";

/// An order as the model knows it: its number, what it ordered, and which orders its node held or had lifted by then.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Given {
    id: u64,
    drains: bool,
    seen: BTreeSet<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Site {
    now: Micros,
    copies: Vec<Replica>,
    lives: u64,
    given: Vec<Given>,
    /// By node, all orders that have come to its present life.
    met: Vec<BTreeSet<u64>>,
    left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Drain(usize),
    Undrain(usize),
    /// What one says comes to the other, and no answer.
    Word(usize, usize),
    /// The two speak until both are silent.
    Talk(usize, usize),
    Restart(usize),
}

impl Site {
    fn new(left: u8) -> Site {
        let (now, met) = (100 * SEC, vec![BTreeSet::new(); NODES]);
        let mut site = Site { now, copies: Vec::new(), lives: 0, given: Vec::new(), met, left };
        site.copies = (0..NODES).map(|me| site.copy(me)).collect();
        site
    }

    fn copy(&mut self, me: usize) -> Replica {
        self.lives += 1;
        let setup =
            Setup { own_index: me, node_count: NODES, site_id: 1, seed: me as u64, incarnation: self.lives };
        let mut copy = Replica::new(setup, self.now);
        copy.set_reachable((0..NODES).filter(|&other| other != me).collect());
        copy
    }

    fn held(&self, node: usize) -> BTreeSet<u64> {
        let orders = self.copies[node].records().filter(|(_, _, held)| held.record.kind == kind::ORDER);
        orders.map(|(id, ..)| id).collect()
    }

    fn order(&mut self, node: usize, action: Action) {
        let seen = self.met[node].clone();
        let id = self.copies[node].issue_order(self.now, BOX, action, None, 0).expect("there is room");
        self.given.push(Given { id, drains: action == Action::Drain, seen });
    }

    /// What a node says by itself comes to another; tells what that answers.
    fn word(&mut self, from: usize, to: usize) -> Vec<OutgoingDatagram> {
        let mut all: Vec<usize> = (0..NODES).filter(|&node| node != from).collect();
        self.copies[from].set_reachable(vec![to]);
        let out = self.copies[from].tick(self.now);
        self.copies[from].set_reachable(std::mem::take(&mut all));
        self.carry(from, to, out)
    }

    fn carry(&mut self, from: usize, to: usize, out: Vec<OutgoingDatagram>) -> Vec<OutgoingDatagram> {
        let to_it = out.into_iter().filter(|out| out.to == to);
        let answers: Vec<OutgoingDatagram> =
            to_it.flat_map(|out| self.copies[to].handle_datagram(self.now, from, &out.datagram)).collect();
        let held = self.held(to);
        self.met[to].extend(held);
        answers
    }

    fn talk(&mut self, one: usize, other: usize) {
        for (from, to) in [(one, other), (other, one)] {
            let (mut from, mut to, mut out) = (from, to, self.word(from, to));
            for _ in 0..20 {
                (from, to) = (to, from);
                out = self.carry(from, to, out);
            }
        }
    }

    fn step(&mut self, step: Step) {
        self.now += SEC;
        match step {
            Step::Drain(node) => self.order(node, Action::Drain),
            Step::Undrain(node) => self.order(node, Action::Undrain),
            Step::Word(from, to) => _ = self.word(from, to),
            Step::Talk(one, other) => self.talk(one, other),
            Step::Restart(node) => {
                self.copies[node] = self.copy(node);
                self.met[node].clear();
            }
        }
        for node in 0..NODES {
            let held = self.held(node);
            self.met[node].extend(held);
        }
    }

    /// Orders that were lifted, or taken the place of, by whoever had seen them.
    fn covered(&self) -> BTreeSet<u64> {
        self.given.iter().flat_map(|given| given.seen.iter().copied()).collect()
    }

    fn drains(&self, node: usize) -> bool {
        let mut standing = self.copies[node].effective_orders(self.now);
        standing.any(|(standing, _)| standing.order.action == Action::Drain)
    }

    /// Whoever has met a drain that nobody who saw it has lifted keeps it.
    fn keeps_drains(&self) -> bool {
        let covered = self.covered();
        let open = |id: &u64| {
            !covered.contains(id) && self.given.iter().any(|given| given.id == *id && given.drains)
        };
        (0..NODES).all(|node| !self.met[node].iter().any(open) || self.drains(node))
    }

    /// Once all have spoken they hold the same, and nothing that was lifted in sight of it.
    fn ends_alike(&self) -> bool {
        let mut end = self.clone();
        for _ in 0..4 {
            end.now += SEC;
            for (one, other) in [(0, 1), (1, 2), (0, 2)] {
                end.talk(one, other);
            }
        }
        let alike = end.copies.iter().all(|copy| copy.root() == end.copies[0].root());
        // Nobody holds a drain that an order which any of them has met has lifted.
        let met: BTreeSet<u64> = end.met.iter().flatten().copied().collect();
        let lifted = end.given.iter().filter(|given| met.contains(&given.id)).flat_map(|given| &given.seen);
        let (held, lifted): (BTreeSet<u64>, BTreeSet<u64>) = (end.held(0), lifted.copied().collect());
        alike && held.is_disjoint(&lifted) && end.keeps_drains()
    }
}

struct All(u8);

impl Model for All {
    type State = Site;
    type Action = Step;

    fn init_states(&self) -> Vec<Site> {
        vec![Site::new(self.0)]
    }

    fn actions(&self, state: &Site, steps: &mut Vec<Step>) {
        if state.left == 0 {
            return;
        }
        for node in 0..NODES {
            steps.extend([Step::Drain(node), Step::Undrain(node), Step::Restart(node)]);
            let next = (node + 1) % NODES;
            steps.extend([Step::Word(node, next), Step::Word(next, node), Step::Talk(node, next)]);
        }
    }

    fn next_state(&self, state: &Site, step: Step) -> Option<Site> {
        let mut next = state.clone();
        next.left -= 1;
        next.step(step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a drain is kept", |_, site: &Site| site.keeps_drains()),
            Property::always("all end alike", |_, site: &Site| site.left > 1 || site.ends_alike()),
            Property::sometimes("a drain is lifted", |_, site: &Site| {
                site.given.iter().any(|given| !given.drains && !given.seen.is_empty()) && !site.drains(0)
            }),
        ]
    }
}

/// `LILACQUAY_DEPTH=5` looks deeper, for some minutes.
#[test]
fn in_no_order_of_events_is_a_drain_lifted_unseen_or_lost() {
    let depth = std::env::var("LILACQUAY_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(3);
    All(depth).checker().threads(2).spawn_dfs().join().assert_properties();
}

/// Twenty steps, drawn from a seed; `LILACQUAY_SEEDS=10000` plays more of them.
#[test]
fn in_seeded_histories_all_end_alike() {
    let seeds = std::env::var("LILACQUAY_SEEDS").ok().and_then(|seeds| seeds.parse().ok()).unwrap_or(2_000);
    for seed in 0..seeds {
        let (mut rng, mut site) = (fastrand::Rng::with_seed(seed), Site::new(0));
        for _ in 0..20 {
            let (node, next) = (rng.usize(..NODES), rng.usize(1..NODES));
            let other = (node + next) % NODES;
            let step = match rng.u8(..12) {
                0..=2 => Step::Drain(node),
                3..=5 => Step::Undrain(node),
                6..=7 => Step::Word(node, other),
                8..=10 => Step::Talk(node, other),
                _ => Step::Restart(node),
            };
            site.step(step);
            assert!(site.keeps_drains(), "seed {seed}, after {step:?}: {:?}", site.given);
        }
        assert!(site.ends_alike(), "seed {seed}: {:?}", site.given);
    }
}
