//! What is lent: in no order of asking, losing, doubling, pausing and starting again is more used than there is.

use lilacquay_codec::replica::LeaseMessage;
use lilacquay_replica::Micros;
use lilacquay_replica::leases::{Purse, Terms};
use stateright::{Checker, Model, Property};

const NODES: usize = 3;
const PART: u32 = 1_000;
const STEP: Micros = 500_000;
/// A lending outlasts the next asking, as it does in a node.
const TERMS: Terms = Terms { drift: 10, longest: 4 * STEP };
/// In thousandths: as far apart as the terms allow.
const DRIFTS: [u64; NODES] = [990, 1_000, 1_010];

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Whole {
    now: Micros,
    purses: Vec<Purse>,
    /// Until when each has its own part, by its own clock.
    own_until: [Micros; NODES],
    /// No fellow confirms it: its part runs out.
    cut: [bool; NODES],
    paused: [bool; NODES],
    under_way: Vec<(usize, usize, LeaseMessage)>,
    starts: u32,
    left: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Pass,
    Comes(usize),
    Comes2(usize),
    Lost(usize),
    Wants(usize, u32),
    Cut(usize),
    Mend(usize),
    Pause(usize),
    Resume(usize),
    Restart(usize),
}

impl Whole {
    fn new(left: u8) -> Whole {
        let now = 20 * STEP;
        let mut whole = Whole {
            now,
            purses: Vec::new(),
            own_until: [0; NODES],
            cut: [false; NODES],
            paused: [false; NODES],
            under_way: Vec::new(),
            starts: 0,
            left,
        };
        whole.purses = (0..NODES).map(|node| Purse::new(TERMS, whole.clock(node) / 2, 0)).collect();
        whole.confirm();
        whole
    }

    fn clock(&self, node: usize) -> Micros {
        self.now * DRIFTS[node] / 1_000
    }

    /// Those who are not cut have their part for a lease from now.
    fn confirm(&mut self) {
        for node in (0..NODES).filter(|&node| !self.cut[node] && !self.paused[node]) {
            self.own_until[node] = self.clock(node) + TERMS.longest;
        }
    }

    /// A paused one may wake up in the midst of a use.
    fn used(&self) -> u32 {
        (0..NODES).map(|n| self.purses[n].has(self.clock(n), PART, self.own_until[n])).sum()
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Pass => {
                self.now += STEP;
                self.confirm();
                for node in (0..NODES).filter(|&node| !self.paused[node]) {
                    let (now, until) = (self.clock(node), self.own_until[node]);
                    let here: Vec<usize> = (0..NODES).filter(|&other| other != node).collect();
                    let mut n = node;
                    let some = |of: usize| {
                        n += 1;
                        n % of
                    };
                    let say = self.purses[node].tick(now, PART, until, &here, some);
                    self.under_way.extend(say.into_iter().map(|(to, rights)| (node, to, rights)));
                }
            }
            Step::Comes(n) | Step::Comes2(n) => {
                let (from, to, rights) = self.under_way[n];
                if matches!(step, Step::Comes(_)) {
                    self.under_way.remove(n);
                }
                if !self.paused[to] {
                    let (now, until) = (self.clock(to), self.own_until[to]);
                    let answer = self.purses[to].heard(now, from, rights, PART, until);
                    self.under_way.extend(answer.map(|(back, rights)| (to, back, rights)));
                }
            }
            Step::Lost(n) => _ = self.under_way.remove(n),
            Step::Wants(node, amount) => self.purses[node].wants(amount),
            Step::Cut(node) => self.cut[node] = true,
            Step::Mend(node) => self.cut[node] = false,
            Step::Pause(node) => self.paused[node] = true,
            Step::Resume(node) => self.paused[node] = false,
            Step::Restart(node) => {
                self.starts += 1;
                self.purses[node] = Purse::new(TERMS, self.clock(node), 1_000 * self.starts);
            }
        }
        self.under_way.truncate(6);
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Pass];
        for n in 0..self.under_way.len() {
            steps.extend([Step::Comes(n), Step::Lost(n)]);
        }
        if !self.under_way.is_empty() {
            steps.push(Step::Comes2(0));
        }
        steps.extend([Step::Wants(0, 2_000), Step::Wants(0, 0), Step::Wants(1, 1_500)]);
        for node in 0..2 {
            steps.extend([
                if self.cut[node] { Step::Mend(node) } else { Step::Cut(node) },
                if self.paused[node] { Step::Resume(node) } else { Step::Pause(node) },
                Step::Restart(node),
            ]);
        }
        steps
    }
}

struct All(u8);

impl Model for All {
    type State = Whole;
    type Action = Step;

    fn init_states(&self) -> Vec<Whole> {
        vec![Whole::new(self.0)]
    }

    fn actions(&self, state: &Whole, actions: &mut Vec<Step>) {
        if state.left > 0 {
            actions.extend(state.steps());
        }
    }

    fn next_state(&self, state: &Whole, step: Step) -> Option<Whole> {
        let mut next = state.clone();
        next.left -= 1;
        next.step(step);
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no more than there is", |_, whole: &Whole| whole.used() <= PART * NODES as u32),
            Property::sometimes("something is lent", |_, whole: &Whole| {
                (0..NODES).any(|n| whole.purses[n].borrowed(whole.clock(n)) > 0)
            }),
        ]
    }
}

/// `LILACQUAY_DEPTH=9` looks deeper, for some minutes.
#[test]
fn in_no_order_of_events_is_more_used_than_there_is() {
    let depth = std::env::var("LILACQUAY_DEPTH").ok().and_then(|depth| depth.parse().ok()).unwrap_or(6);
    All(depth).checker().threads(2).spawn_bfs().join().assert_properties();
}

/// Ten thousand histories of sixty steps.
#[test]
fn in_seeded_histories_no_more_is_used_and_all_comes_back() {
    let mut lent = 0;
    for seed in 0..10_000 {
        let (mut rng, mut whole) = (fastrand::Rng::with_seed(seed), Whole::new(0));
        for _ in 0..60 {
            let steps = whole.steps();
            // What brings things about more often than what ends them.
            let step = match rng.u8(..10) {
                0..=2 => Step::Pass,
                3..=6 if !whole.under_way.is_empty() => Step::Comes(rng.usize(..whole.under_way.len())),
                _ => steps[rng.usize(..steps.len())],
            };
            whole.step(step);
            assert!(whole.used() <= PART * NODES as u32, "seed {seed} after {step:?}: {whole:?}");
            let borrowed = |n: usize| whole.purses[n].borrowed(whole.clock(n));
            lent += u32::from((0..NODES).any(|n| borrowed(n) > 0));
        }
        (whole.cut, whole.paused) = Default::default();
        whole.under_way.clear();
        (0..NODES).for_each(|node| whole.purses[node].wants(0));
        (0..8).for_each(|_| {
            whole.step(Step::Pass);
            whole.under_way.clear();
        });
        assert_eq!(whole.used(), PART * NODES as u32, "seed {seed}: all of it is used again");
    }
    assert!(lent > 10_000, "{lent}");
}
