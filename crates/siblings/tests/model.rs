//! Explores three nodes with a model checker: links cut in one direction, late datagrams, pauses, restarts and refutations,
//! in all orders up to a depth. The shares never add up to more than the total, and no node is held to be gone that still
//! uses its share.

use lilacquay_siblings::{FULL_SHARE, Membership, Micros, NodeState, OutgoingDatagram, Parameters, Setup};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
/// A step of the model is one heartbeat interval. A lease lasts two steps, so that a few steps cover its expiry.
const STEP: Micros = 500_000;
const PARAMETERS: Parameters = Parameters {
    heartbeat_interval: STEP,
    lease_duration: 2 * STEP,
    max_drift_permille: 10,
    late_threshold: 100_000,
};
const WALL_CLOCK_START_US: Micros = 1_700_000_000_000_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: Micros,
    nodes: Vec<Option<Membership>>,
    /// Paused nodes; they resume with the state that they had.
    paused: [bool; NODES],
    /// Links that are cut, by sender and receiver.
    cut: [[bool; NODES]; NODES],
    /// Of each link, the last datagram that was delayed and is still to be delivered: sender, receiver, contents.
    delayed: Vec<(usize, usize, Vec<u8>)>,
    /// Faults that may still be injected.
    faults_left: u8,
    /// Processes started so far, which gives each process its own seed, as in production.
    starts: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// One heartbeat interval passes; the datagrams of one link are delayed, if one is given.
    Advance(Option<(usize, usize)>),
    Cut(usize, usize),
    HealLinks,
    Pause(usize),
    Resume(usize),
    Restart(usize),
    /// A delayed datagram is delivered.
    DeliverDelayed,
}

struct MembershipModel {
    faults: u8,
}

impl ModelState {
    fn start(&mut self, node: usize) {
        self.starts += 1;
        let setup = Setup {
            own_index: node,
            node_count: NODES,
            site_id: 1,
            seed: self.starts,
            parameters: PARAMETERS,
        };
        // The wall clock is put back at each restart, so that each process starts at the same wall time.
        self.nodes[node] = Some(Membership::new(setup, self.now, WALL_CLOCK_START_US));
    }

    /// Delivers datagrams and the replies to them, for up to twelve rounds.
    fn exchange(&mut self, from: usize, out: Vec<OutgoingDatagram>, delayed: Option<(usize, usize)>) {
        let mut in_flight: Vec<(usize, OutgoingDatagram)> = out.into_iter().map(|out| (from, out)).collect();
        for _ in 0..12 {
            for (from, OutgoingDatagram { to, datagram }) in std::mem::take(&mut in_flight) {
                if delayed == Some((from, to)) {
                    self.delayed.retain(|(f, t, _)| (*f, *t) != (from, to));
                    self.delayed.push((from, to, datagram));
                } else if !self.cut[from][to] && !self.paused[to] {
                    let out = self.deliver(from, to, &datagram);
                    in_flight.extend(out.into_iter().map(|out| (to, out)));
                }
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, datagram: &[u8]) -> Vec<OutgoingDatagram> {
        let now = self.now;
        let Some(membership) = &mut self.nodes[to] else { return Vec::new() };
        let out = membership.handle_datagram(now, WALL_CLOCK_START_US + now, from, datagram);
        membership.take_events();
        out
    }

    fn tick(&mut self, node: usize, delayed: Option<(usize, usize)>) {
        let now = self.now;
        let Some(membership) = &mut self.nodes[node] else { return };
        let out = membership.tick(now, WALL_CLOCK_START_US + now);
        membership.take_events();
        self.exchange(node, out, delayed);
    }

    fn advance(&mut self, delayed: Option<(usize, usize)>) {
        self.now += STEP;
        for node in 0..NODES {
            if !self.paused[node] {
                self.tick(node, delayed);
            }
        }
    }

    fn usable_share(&self, node: usize) -> u32 {
        self.nodes[node]
            .as_ref()
            .map_or(0, |membership| membership.resource_share(self.now).thousandths_at(self.now))
    }

    /// Whether any node holds a process to be gone that may still use a share.
    fn has_false_expiry(&self) -> bool {
        let uses_share = |&node: &usize| self.usable_share(node) > 0;
        (0..NODES).filter(uses_share).any(|node| {
            let incarnation = self.nodes[node].as_ref().map(Membership::incarnation);
            let gone_incarnation =
                |other: &Membership| other.incarnation_of(node).filter(|known| known.1).map(|known| known.0);
            self.nodes
                .iter()
                .flatten()
                .any(|other| gone_incarnation(other).is_some() && gone_incarnation(other) == incarnation)
        })
    }
}

impl Model for MembershipModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        let mut state = ModelState {
            now: 10 * STEP,
            nodes: vec![None; NODES],
            paused: [false; NODES],
            cut: Default::default(),
            delayed: Vec::new(),
            faults_left: self.faults,
            starts: 0,
        };
        (0..NODES).for_each(|node| state.start(node));
        (0..6).for_each(|_| state.advance(None));
        vec![state]
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        steps.push(Step::Advance(None));
        if !state.delayed.is_empty() {
            steps.push(Step::DeliverDelayed);
        }
        if state.cut.iter().flatten().any(|&cut| cut) {
            steps.push(Step::HealLinks);
        }
        for node in 0..NODES {
            if state.paused[node] {
                steps.push(Step::Resume(node));
            }
        }
        if state.faults_left == 0 {
            return;
        }
        for node in 0..NODES {
            if !state.paused[node] {
                steps.extend([Step::Pause(node), Step::Restart(node)]);
            }
            for to in (0..NODES).filter(|&to| to != node && !state.cut[node][to]) {
                steps.push(Step::Cut(node, to));
            }
        }
        steps.push(Step::Advance(Some((0, 1))));
    }

    fn next_state(&self, state: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = state.clone();
        let is_fault =
            matches!(step, Step::Cut(..) | Step::Pause(_) | Step::Restart(_) | Step::Advance(Some(_)));
        state.faults_left -= u8::from(is_fault);
        match step {
            Step::Advance(delayed) => state.advance(delayed),
            Step::Cut(from, to) => state.cut[from][to] = true,
            Step::HealLinks => state.cut = Default::default(),
            Step::Pause(node) => state.paused[node] = true,
            Step::Resume(node) => {
                state.paused[node] = false;
                state.tick(node, None);
            }
            Step::Restart(node) => {
                state.start(node);
                state.tick(node, None);
            }
            Step::DeliverDelayed => {
                let (from, to, datagram) = state.delayed.pop()?;
                if !state.paused[to] {
                    let out = state.deliver(from, to, &datagram);
                    state.exchange(to, out, None);
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the shares never add up to more than the total", |_, state| {
                (0..NODES).map(|node| state.usable_share(node)).sum::<u32>() <= NODES as u32 * FULL_SHARE
            }),
            Property::<Self>::always("no node is gone that uses its share", |_, state| {
                !state.has_false_expiry()
            }),
            Property::<Self>::sometimes("some node is held to be gone", |_, state| {
                let gone =
                    |node: &Membership| (0..NODES).any(|of| node.state(state.now, of).0 == NodeState::Gone);
                state.nodes.iter().flatten().any(gone)
            }),
            Property::<Self>::sometimes("another node takes over its share", |_, state| {
                (0..NODES).any(|node| state.usable_share(node) > FULL_SHARE)
            }),
        ]
    }
}

/// The depth of the exploration, in steps, and the number of faults. Both can be raised for a long run:
/// `SIBLINGS_MODEL=11,4 cargo test --release`.
fn depth_and_faults() -> (usize, u8) {
    let setting = std::env::var("SIBLINGS_MODEL").ok();
    let setting =
        setting.and_then(|setting| setting.split_once(',').map(|(a, b)| (a.parse().ok(), b.parse().ok())));
    match setting {
        Some((Some(depth), Some(faults))) => (depth, faults),
        _ => (9, 2),
    }
}

#[test]
fn no_order_of_cuts_pauses_and_restarts_lets_two_nodes_use_the_same_share() {
    let (depth, faults) = depth_and_faults();
    let checker = MembershipModel { faults }.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states", checker.unique_state_count());
    assert!(checker.unique_state_count() > 1_000, "{}", checker.unique_state_count());
}
