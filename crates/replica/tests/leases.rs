//! Lending of shares: in no order of requests, losses, duplicates, pauses and restarts do the nodes together use more than
//! the total.

use lilacquay_codec::replica::LeaseMessage;
use lilacquay_replica::Micros;
use lilacquay_replica::leases::{LeaseLedger, LeaseLimits};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
/// The share of one node, in thousandths.
const NODE_SHARE: u32 = 1_000;
const STEP: Micros = 500_000;
/// A lease lasts longer than the interval between two requests, as it does in production.
const LIMITS: LeaseLimits = LeaseLimits { max_drift_permille: 10, max_duration: 4 * STEP };
/// The speeds of the clocks, in thousandths: as far apart as the limits allow.
const CLOCK_SPEEDS_PERMILLE: [u64; NODES] = [990, 1_000, 1_010];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    now: Micros,
    ledgers: Vec<LeaseLedger>,
    /// Until when each node has its own share, by its own clock.
    own_until: [Micros; NODES],
    /// Nodes that no watcher confirms, so that their shares expire.
    cut: [bool; NODES],
    paused: [bool; NODES],
    in_flight: Vec<(usize, usize, LeaseMessage)>,
    starts: u32,
    /// Steps that may still be taken.
    steps_left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time passes.
    Advance,
    /// The message with this index is delivered.
    Deliver(usize),
    /// The same, and it stays in flight to be delivered again.
    DeliverDuplicate(usize),
    Lose(usize),
    SetDemand(usize, u32),
    /// The watchers stop confirming the node, or confirm it again.
    Cut(usize),
    Restore(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
}

impl ModelState {
    fn new(steps_left: u8) -> ModelState {
        let now = 20 * STEP;
        let mut state = ModelState {
            now,
            ledgers: Vec::new(),
            own_until: [0; NODES],
            cut: [false; NODES],
            paused: [false; NODES],
            in_flight: Vec::new(),
            starts: 0,
            steps_left,
        };
        state.ledgers = (0..NODES).map(|node| LeaseLedger::new(LIMITS, state.clock(node) / 2, 0)).collect();
        state.renew_shares();
        state
    }

    fn clock(&self, node: usize) -> Micros {
        self.now * CLOCK_SPEEDS_PERMILLE[node] / 1_000
    }

    /// Nodes that are confirmed have their share for one lease from now.
    fn renew_shares(&mut self) {
        for node in (0..NODES).filter(|&node| !self.cut[node] && !self.paused[node]) {
            self.own_until[node] = self.clock(node) + LIMITS.max_duration;
        }
    }

    /// What all nodes may use together. A paused node counts too: it may resume in the middle of using its share.
    fn total_used(&self) -> u32 {
        (0..NODES)
            .map(|node| self.ledgers[node].usable(self.clock(node), NODE_SHARE, self.own_until[node]))
            .sum()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Advance => {
                self.now += STEP;
                self.renew_shares();
                for node in (0..NODES).filter(|&node| !self.paused[node]) {
                    let (now, until) = (self.clock(node), self.own_until[node]);
                    let reachable: Vec<usize> = (0..NODES).filter(|&other| other != node).collect();
                    let mut next = node;
                    let choose = |bound: usize| {
                        next += 1;
                        next % bound
                    };
                    let messages = self.ledgers[node].tick(now, NODE_SHARE, until, &reachable, choose);
                    self.in_flight.extend(messages.into_iter().map(|(to, message)| (node, to, message)));
                }
            }
            Step::Deliver(index) | Step::DeliverDuplicate(index) => {
                let (from, to, message) = self.in_flight[index];
                if matches!(step, Step::Deliver(_)) {
                    self.in_flight.remove(index);
                }
                if !self.paused[to] {
                    let (now, until) = (self.clock(to), self.own_until[to]);
                    let answer = self.ledgers[to].handle_message(now, from, message, NODE_SHARE, until);
                    self.in_flight.extend(answer.map(|(receiver, message)| (to, receiver, message)));
                }
            }
            Step::Lose(index) => _ = self.in_flight.remove(index),
            Step::SetDemand(node, amount) => self.ledgers[node].set_demand(amount),
            Step::Cut(node) => self.cut[node] = true,
            Step::Restore(node) => self.cut[node] = false,
            Step::Pause(node) => self.paused[node] = true,
            Step::Resume(node) => self.paused[node] = false,
            Step::Restart(node) => {
                self.starts += 1;
                self.ledgers[node] = LeaseLedger::new(LIMITS, self.clock(node), 1_000 * self.starts);
            }
        }
        self.in_flight.truncate(6);
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Advance];
        for index in 0..self.in_flight.len() {
            steps.extend([Step::Deliver(index), Step::Lose(index)]);
        }
        if !self.in_flight.is_empty() {
            steps.push(Step::DeliverDuplicate(0));
        }
        steps.extend([Step::SetDemand(0, 2_000), Step::SetDemand(0, 0), Step::SetDemand(1, 1_500)]);
        for node in 0..2 {
            steps.extend([
                if self.cut[node] { Step::Restore(node) } else { Step::Cut(node) },
                if self.paused[node] { Step::Resume(node) } else { Step::Pause(node) },
                Step::Restart(node),
            ]);
        }
        steps
    }
}

/// The model; its number is the depth of the exploration, in steps.
struct LendingModel(u8);

impl Model for LendingModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState::new(self.0)]
    }

    fn actions(&self, state: &ModelState, actions: &mut Vec<Step>) {
        if state.steps_left > 0 {
            actions.extend(state.steps());
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
            Property::always("no more than the total is used", |_, state: &ModelState| {
                state.total_used() <= NODE_SHARE * NODES as u32
            }),
            Property::sometimes("some share is lent", |_, state: &ModelState| {
                (0..NODES).any(|node| state.ledgers[node].borrowed(state.clock(node)) > 0)
            }),
        ]
    }
}

/// `LILACQUAY_DEPTH=9` explores deeper, which takes some minutes.
#[test]
fn in_no_order_of_events_is_more_than_the_total_used() {
    let depth = std::env::var("LILACQUAY_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(6);
    LendingModel(depth).checker().threads(2).spawn_bfs().join().assert_properties();
}

/// Ten thousand random sequences of sixty steps. In the end all lent shares are used by their owners again.
#[test]
fn in_random_sequences_no_more_than_the_total_is_used_and_all_shares_return() {
    let mut steps_with_loans = 0;
    for seed in 0..10_000 {
        let (mut rng, mut state) = (fastrand::Rng::with_seed(seed), ModelState::new(0));
        for _ in 0..60 {
            let steps = state.steps();
            // Steps that make lending happen are more frequent than those that end it.
            let step = match rng.u8(..10) {
                0..=2 => Step::Advance,
                3..=6 if !state.in_flight.is_empty() => Step::Deliver(rng.usize(..state.in_flight.len())),
                _ => steps[rng.usize(..steps.len())],
            };
            state.step(step);
            assert!(state.total_used() <= NODE_SHARE * NODES as u32, "seed {seed} after {step:?}: {state:?}");
            let borrowed = |node: usize| state.ledgers[node].borrowed(state.clock(node));
            steps_with_loans += u32::from((0..NODES).any(|node| borrowed(node) > 0));
        }
        (state.cut, state.paused) = Default::default();
        state.in_flight.clear();
        (0..NODES).for_each(|node| state.ledgers[node].set_demand(0));
        (0..8).for_each(|_| {
            state.step(Step::Advance);
            state.in_flight.clear();
        });
        assert_eq!(state.total_used(), NODE_SHARE * NODES as u32, "seed {seed}: the total is used again");
    }
    assert!(steps_with_loans > 10_000, "{steps_with_loans}");
}
