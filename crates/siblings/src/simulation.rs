//! Many nodes in virtual time, for tests and measurements: ways that lose, delay, double and end, processes that pause, die
//! and start again. The same seed plays the same.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    FULL_SHARE, Membership, MembershipEvent, Micros, NodeState, OutgoingDatagram, Parameters, Setup,
};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SEC: Micros = 1_000_000;
/// Unix time at the start, in microseconds.
const WALL: Micros = 1_700_000_000 * SEC;

/// One way, from one node to another.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// Datagrams lost, in a thousand.
    pub loss_permille: u32,
    /// Datagrams that come twice, in a thousand.
    pub duplicate_permille: u32,
    /// Shortest and longest time on the way.
    pub delay_range: (Micros, Micros),
    /// Nothing comes.
    pub cut: bool,
}

impl Default for Link {
    fn default() -> Self {
        Link { loss_permille: 0, duplicate_permille: 0, delay_range: (MS, 5 * MS), cut: false }
    }
}

enum Happens {
    Tick { node: usize, life: u32 },
    Comes { from: usize, to: usize, datagram: Vec<u8> },
}

/// A process, or the place of one.
pub struct Node {
    /// While it runs.
    pub membership: Option<Membership>,
    /// How often it was started.
    life: u32,
    /// Its steady clock runs so many thousandths too quick or too slow.
    drift: i64,
    /// Its wall clock is off by so much, in microseconds.
    pub wall_off: i64,
    /// Stopped: what comes waits in its socket.
    paused: Option<Vec<(usize, Vec<u8>)>>,
    /// All that it has sent, over all its lives.
    pub sent_bytes: u64,
}

/// All nodes, and the ways between them.
pub struct Simulation {
    /// The true time.
    pub now: Micros,
    /// By number.
    pub nodes: Vec<Node>,
    /// For all choices.
    pub rng: fastrand::Rng,
    /// The ways that are not named otherwise.
    pub default_link: Link,
    links: BTreeMap<(usize, usize), Link>,
    queue: BTreeMap<(Micros, u64), Happens>,
    number: u64,
    parameters: Parameters,
    /// What each has told, and when.
    pub events: Vec<(Micros, usize, MembershipEvent)>,
    /// Looks after each step that the rules hold.
    pub checks_invariants: bool,
}

impl Simulation {
    /// So many that have not started yet.
    pub fn new(nodes: usize, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let node = |rng: &mut fastrand::Rng| Node {
            membership: None,
            life: 0,
            drift: rng.i64(-5..=5),
            wall_off: 0,
            paused: None,
            sent_bytes: 0,
        };
        let nodes: Vec<Node> = (0..nodes).map(|_| node(&mut rng)).collect();
        Simulation {
            now: SEC,
            nodes,
            rng,
            default_link: Link::default(),
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            number: 0,
            parameters: Parameters::default(),
            events: Vec::new(),
            checks_invariants: true,
        }
    }

    /// All start within a time, which passes.
    pub fn start_all(&mut self, within: Micros) {
        for node in 0..self.nodes.len() {
            let at = self.now + self.rng.u64(0..=within);
            self.start_at(node, at);
        }
        self.run(within + MS);
    }

    /// A node's own steady clock.
    pub fn clock(&self, node: usize) -> Micros {
        (self.now as i64 + self.now as i64 * self.nodes[node].drift / 1_000) as Micros
    }

    fn wall(&self, node: usize) -> Micros {
        ((WALL + self.now) as i64 + self.nodes[node].wall_off) as Micros
    }

    fn at(&mut self, at: Micros, what: Happens) {
        self.number += 1;
        self.queue.insert((at, self.number), what);
    }

    /// A node starts, with nothing known.
    pub fn start_at(&mut self, node: usize, at: Micros) {
        self.nodes[node].life += 1;
        let life = self.nodes[node].life;
        self.at(at, Happens::Tick { node, life });
    }

    /// A node dies, in one instant.
    pub fn kill(&mut self, node: usize) {
        (self.nodes[node].membership, self.nodes[node].paused) = (None, None);
        self.nodes[node].life += 1;
    }

    /// A node stops; what comes for it waits.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
    }

    /// A node goes on, with what it believes and all that waited.
    pub fn resume(&mut self, node: usize) {
        let Some(waiting) = self.nodes[node].paused.take() else { return };
        for (from, datagram) in waiting {
            self.comes(from, node, &datagram);
        }
        let life = self.nodes[node].life;
        let now = self.now;
        self.at(now, Happens::Tick { node, life });
    }

    /// A way of its own.
    pub fn link(&mut self, from: usize, to: usize) -> &mut Link {
        let usual = self.default_link;
        self.links.entry((from, to)).or_insert(usual)
    }

    /// One way, in one direction, is cut or whole.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.link(from, to).cut = cut;
    }

    /// All ways are as usual again.
    pub fn reset_links(&mut self) {
        self.links.clear();
    }

    /// All ways between two groups, both ways, are cut or whole.
    pub fn split(&mut self, group: impl Fn(usize) -> bool, cut: bool) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if group(from) != group(to) {
                    self.cut(from, to, cut);
                }
            }
        }
    }

    /// Time passes.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        while let Some((&(at, number), _)) = self.queue.first_key_value().filter(|((at, _), _)| *at <= end) {
            let what = self.queue.remove(&(at, number)).expect("looked at above");
            self.now = self.now.max(at);
            match what {
                Happens::Tick { node, life } => self.tick(node, life),
                Happens::Comes { from, to, datagram } => self.comes(from, to, &datagram),
            }
            // Of few nodes after each step, of many after some.
            if self.checks_invariants && (self.nodes.len() <= 7 || self.number.is_multiple_of(16)) {
                self.check();
            }
        }
        self.now = end;
    }

    fn tick(&mut self, node: usize, life: u32) {
        if self.nodes[node].life != life || self.nodes[node].paused.is_some() {
            return;
        }
        let (now, wall, nodes) = (self.clock(node), self.wall(node), self.nodes.len());
        let seed = self.rng.u64(..);
        let setup =
            Setup { own_index: node, node_count: nodes, site_id: 7, seed, parameters: self.parameters };
        let siblings = self.nodes[node].membership.get_or_insert_with(|| Membership::new(setup, now, wall));
        let (out, due) = (siblings.tick(now, wall), siblings.next_tick_at());
        let jitter = self.rng.u64(0..2 * MS);
        let wait = due.saturating_sub(now) + jitter;
        let at = self.now + wait;
        self.at(at, Happens::Tick { node, life });
        self.gather(node, out);
    }

    fn comes(&mut self, from: usize, to: usize, datagram: &[u8]) {
        if let Some(waiting) = &mut self.nodes[to].paused {
            if waiting.len() < 500 {
                waiting.push((from, datagram.to_vec()));
            }
            return;
        }
        let (now, wall) = (self.clock(to), self.wall(to));
        let Some(siblings) = &mut self.nodes[to].membership else { return };
        let out = siblings.handle_datagram(now, wall, from, datagram);
        self.gather(to, out);
    }

    /// A datagram comes that nobody of the world has sent.
    pub fn deliver(&mut self, from: usize, to: usize, datagram: &[u8]) {
        self.comes(from, to, datagram);
    }

    fn gather(&mut self, node: usize, out: Vec<OutgoingDatagram>) {
        for change in self.nodes[node].membership.as_mut().map(Membership::take_events).unwrap_or_default() {
            self.events.push((self.now, node, change));
        }
        for out in out {
            assert!(out.datagram.len() <= 256 && out.to != node);
            self.nodes[node].sent_bytes += out.datagram.len() as u64;
            let link = *self.links.get(&(node, out.to)).unwrap_or(&self.default_link);
            let times = 1 + u32::from(self.rng.u32(0..1000) < link.duplicate_permille);
            for _ in 0..times {
                if !link.cut && self.rng.u32(0..1000) >= link.loss_permille {
                    let at = self.now + self.rng.u64(link.delay_range.0..=link.delay_range.1);
                    self.at(at, Happens::Comes { from: node, to: out.to, datagram: out.datagram.clone() });
                }
            }
        }
    }

    /// A node that runs.
    pub fn membership(&self, node: usize) -> &Membership {
        self.nodes[node].membership.as_ref().expect("it runs")
    }

    /// Whether a node runs, paused or not.
    pub fn runs(&self, node: usize) -> bool {
        self.nodes[node].membership.is_some()
    }

    /// What one is, as another sees it.
    pub fn state(&self, of: usize, at: usize) -> NodeState {
        self.membership(at).state(self.clock(at), of).0
    }

    /// What a process may use, whether or not it is paused: it may wake up in the midst of a use.
    pub fn usable_share(&self, node: usize) -> u32 {
        self.nodes[node]
            .membership
            .as_ref()
            .map_or(0, |siblings| siblings.resource_share(self.clock(node)).thousandths_at(self.clock(node)))
    }

    /// The rules that hold at each step.
    pub fn check(&self) {
        let parts: u64 = (0..self.nodes.len()).map(|node| u64::from(self.usable_share(node))).sum();
        let whole = u64::from(FULL_SHARE) * self.nodes.len() as u64;
        assert!(parts <= whole, "{} of {whole} at {}", parts, self.now);
        for used in (0..self.nodes.len()).filter(|&node| self.nodes.len() > 2 && self.usable_share(node) > 0)
        {
            let incarnation = self.membership(used).incarnation();
            for node in (0..self.nodes.len()).filter(|&node| node != used && self.runs(node)) {
                let told = self.membership(node).incarnation_of(used);
                assert_ne!(told, Some((incarnation, true)), "{node} holds {used} to be gone at {}", self.now);
            }
        }
    }

    /// Whether all that run hold all that run to be here, and are of one mind.
    pub fn is_converged(&self) -> bool {
        let live: Vec<usize> = (0..self.nodes.len()).filter(|&node| self.runs(node)).collect();
        let Some(&first) = live.first() else { return false };
        let epoch = self.membership(first).view_digest();
        live.iter().all(|&at| {
            self.membership(at).view_digest() == epoch
                && live.iter().all(|&of| of == at || self.state(of, at) == NodeState::Here)
        })
    }

    /// What all hold, for a test that fails.
    fn told(&self) -> String {
        let live = (0..self.nodes.len()).filter(|&node| self.runs(node));
        live.map(|node| {
            let (siblings, now) = (self.membership(node), self.clock(node));
            let fellows = siblings.peers(now);
            let odd = fellows.iter().filter(|fellow| fellow.state != NodeState::Here);
            let odd: Vec<String> =
                odd.map(|f| format!("{} {} {:?}", f.node, f.state.as_str(), f.reason)).take(3).collect();
            format!(
                "\n{node} epoch {:08x} part {} odd {odd:?}",
                siblings.view_digest(),
                self.usable_share(node)
            )
        })
        .filter(|line| !line.ends_with("1000 odd []") || self.nodes.len() < 7)
        .take(20)
        .collect::<String>()
            + &format!(
                "{:?}",
                (0..self.nodes.len())
                    .filter(|&n| self.runs(n))
                    .map(|n| self.membership(n).view_digest())
                    .collect::<BTreeSet<_>>()
            )
    }

    /// Runs until something holds; tells after what time.
    pub fn run_until(&mut self, most: Micros, holds: impl Fn(&Simulation) -> bool) -> Micros {
        let start = self.now;
        while !holds(self) {
            assert!(self.now < start + most, "not within {most} us: {}", self.told());
            self.run(50 * MS);
        }
        self.now - start
    }
}
