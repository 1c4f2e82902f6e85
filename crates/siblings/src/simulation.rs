//! A simulation of many nodes in virtual time, for tests and measurements: links that lose, delay and duplicate
//! datagrams and can be cut, and processes that pause, crash and restart. Runs with the same seed are identical. Times
//! are in microseconds.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    FULL_SHARE, Membership, MembershipEvent, Micros, NodeState, OutgoingDatagram, Parameters, Setup,
};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SEC: Micros = 1_000_000;
/// Unix time when the simulation starts, in microseconds.
const WALL_CLOCK_START_US: Micros = 1_700_000_000 * SEC;

/// One direction of a link between two nodes.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// Datagrams lost, per thousand.
    pub loss_permille: u32,
    /// Datagrams delivered twice, per thousand.
    pub duplicate_permille: u32,
    /// Shortest and longest delay.
    pub delay_range: (Micros, Micros),
    /// Whether the link is down.
    pub cut: bool,
}

impl Default for Link {
    fn default() -> Self {
        Link { loss_permille: 0, duplicate_permille: 0, delay_range: (MS, 5 * MS), cut: false }
    }
}

enum SimulationEvent {
    Tick { node: usize, run: u32 },
    Delivery { from: usize, to: usize, datagram: Vec<u8> },
}

/// A node, whether or not its process runs.
pub struct Node {
    /// The running process.
    pub membership: Option<Membership>,
    /// Changes with each start and each crash, so that ticks of an earlier process are dropped.
    run: u32,
    /// The error of its monotonic clock, in thousandths.
    drift_permille: i64,
    /// The offset of its wall clock, in microseconds.
    pub wall_offset: i64,
    /// While paused, the datagrams that wait in its socket, with their senders.
    paused: Option<Vec<(usize, Vec<u8>)>>,
    /// Bytes that it has sent, over all its processes.
    pub sent_bytes: u64,
}

/// The nodes and the links between them.
pub struct Simulation {
    /// The true time.
    pub now: Micros,
    /// By index.
    pub nodes: Vec<Node>,
    /// The generator of all random choices.
    pub rng: fastrand::Rng,
    /// The link between nodes that have none of their own.
    pub default_link: Link,
    links: BTreeMap<(usize, usize), Link>,
    queue: BTreeMap<(Micros, u64), SimulationEvent>,
    last_event_number: u64,
    parameters: Parameters,
    /// The events of all nodes: when, at which node, and what.
    pub events: Vec<(Micros, usize, MembershipEvent)>,
    /// Whether the invariants are checked as the simulation runs.
    pub checks_invariants: bool,
}

impl Simulation {
    /// A simulation of `node_count` nodes, none of which has started yet.
    pub fn new(node_count: usize, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let new_node = |rng: &mut fastrand::Rng| Node {
            membership: None,
            run: 0,
            drift_permille: rng.i64(-5..=5),
            wall_offset: 0,
            paused: None,
            sent_bytes: 0,
        };
        let nodes: Vec<Node> = (0..node_count).map(|_| new_node(&mut rng)).collect();
        Simulation {
            now: SEC,
            nodes,
            rng,
            default_link: Link::default(),
            links: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_event_number: 0,
            parameters: Parameters::default(),
            events: Vec::new(),
            checks_invariants: true,
        }
    }

    /// Starts all nodes at random times within `within`, and runs until then.
    pub fn start_all(&mut self, within: Micros) {
        for node in 0..self.nodes.len() {
            let at = self.now + self.rng.u64(0..=within);
            self.start_at(node, at);
        }
        self.run(within + MS);
    }

    /// The time of a node's monotonic clock.
    pub fn clock(&self, node: usize) -> Micros {
        (self.now as i64 + self.now as i64 * self.nodes[node].drift_permille / 1_000) as Micros
    }

    fn wall_clock(&self, node: usize) -> Micros {
        ((WALL_CLOCK_START_US + self.now) as i64 + self.nodes[node].wall_offset) as Micros
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_event_number += 1;
        self.queue.insert((at, self.last_event_number), event);
    }

    /// Schedules the start of a node's process, which knows nothing yet.
    pub fn start_at(&mut self, node: usize, at: Micros) {
        self.nodes[node].run += 1;
        let run = self.nodes[node].run;
        self.schedule(at, SimulationEvent::Tick { node, run });
    }

    /// Kills a node's process instantly.
    pub fn kill(&mut self, node: usize) {
        (self.nodes[node].membership, self.nodes[node].paused) = (None, None);
        self.nodes[node].run += 1;
    }

    /// Pauses a node's process. Datagrams for it wait in its socket.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
    }

    /// Resumes a node's process with its state and all datagrams that have waited.
    pub fn resume(&mut self, node: usize) {
        let Some(waiting) = self.nodes[node].paused.take() else { return };
        for (from, datagram) in waiting {
            self.receive(from, node, &datagram);
        }
        let run = self.nodes[node].run;
        let now = self.now;
        self.schedule(now, SimulationEvent::Tick { node, run });
    }

    /// The settings of one link, to be changed; they start as those of the default link.
    pub fn link(&mut self, from: usize, to: usize) -> &mut Link {
        let default_link = self.default_link;
        self.links.entry((from, to)).or_insert(default_link)
    }

    /// Cuts or restores one direction of a link.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        self.link(from, to).cut = cut;
    }

    /// Resets all links to the default link.
    pub fn reset_links(&mut self) {
        self.links.clear();
    }

    /// Cuts or restores all links between two groups of nodes, in both directions.
    pub fn split(&mut self, group: impl Fn(usize) -> bool, cut: bool) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if group(from) != group(to) {
                    self.cut(from, to, cut);
                }
            }
        }
    }

    /// Runs the simulation for a duration.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some((&(at, number), _)) = self.queue.first_key_value().filter(|((at, _), _)| *at <= end) {
            let event = self.queue.remove(&(at, number)).expect("the event was read above");
            self.now = self.now.max(at);
            match event {
                SimulationEvent::Tick { node, run } => self.tick(node, run),
                SimulationEvent::Delivery { from, to, datagram } => self.receive(from, to, &datagram),
            }
            // Up to seven nodes are checked after each event, more nodes after about every sixteenth, to save time.
            if self.checks_invariants && (self.nodes.len() <= 7 || self.last_event_number.is_multiple_of(16))
            {
                self.check();
            }
        }
        self.now = end;
    }

    fn tick(&mut self, node: usize, run: u32) {
        if self.nodes[node].run != run || self.nodes[node].paused.is_some() {
            return;
        }
        let (now, wall, nodes) = (self.clock(node), self.wall_clock(node), self.nodes.len());
        let seed = self.rng.u64(..);
        let setup =
            Setup { own_index: node, node_count: nodes, site_id: 7, seed, parameters: self.parameters };
        let membership = self.nodes[node].membership.get_or_insert_with(|| Membership::new(setup, now, wall));
        let (out, next_tick_at) = (membership.tick(now, wall), membership.next_tick_at());
        let jitter = self.rng.u64(0..2 * MS);
        let delay = next_tick_at.saturating_sub(now) + jitter;
        let at = self.now + delay;
        self.schedule(at, SimulationEvent::Tick { node, run });
        self.send(node, out);
    }

    fn receive(&mut self, from: usize, to: usize, datagram: &[u8]) {
        if let Some(waiting) = &mut self.nodes[to].paused {
            if waiting.len() < 500 {
                waiting.push((from, datagram.to_vec()));
            }
            return;
        }
        let (now, wall) = (self.clock(to), self.wall_clock(to));
        let Some(membership) = &mut self.nodes[to].membership else { return };
        let out = membership.handle_datagram(now, wall, from, datagram);
        self.send(to, out);
    }

    /// Delivers a forged datagram that no node of the simulation has sent.
    pub fn deliver(&mut self, from: usize, to: usize, datagram: &[u8]) {
        self.receive(from, to, datagram);
    }

    fn send(&mut self, node: usize, datagrams: Vec<OutgoingDatagram>) {
        for event in self.nodes[node].membership.as_mut().map(Membership::take_events).unwrap_or_default() {
            self.events.push((self.now, node, event));
        }
        for outgoing in datagrams {
            assert!(outgoing.datagram.len() <= 256 && outgoing.to != node);
            self.nodes[node].sent_bytes += outgoing.datagram.len() as u64;
            let link = *self.links.get(&(node, outgoing.to)).unwrap_or(&self.default_link);
            let copies = 1 + u32::from(self.rng.u32(0..1000) < link.duplicate_permille);
            for _ in 0..copies {
                if !link.cut && self.rng.u32(0..1000) >= link.loss_permille {
                    let at = self.now + self.rng.u64(link.delay_range.0..=link.delay_range.1);
                    self.schedule(
                        at,
                        SimulationEvent::Delivery {
                            from: node,
                            to: outgoing.to,
                            datagram: outgoing.datagram.clone(),
                        },
                    );
                }
            }
        }
    }

    /// The state of a node that runs.
    pub fn membership(&self, node: usize) -> &Membership {
        self.nodes[node].membership.as_ref().expect("the node runs")
    }

    /// Whether a node runs, paused or not.
    pub fn runs(&self, node: usize) -> bool {
        self.nodes[node].membership.is_some()
    }

    /// The state of the node `of` as the node `at` sees it.
    pub fn state(&self, of: usize, at: usize) -> NodeState {
        self.membership(at).state(self.clock(at), of).0
    }

    /// The share that a process may use, in thousandths. A paused process counts too: it may resume in the middle of using
    /// its share.
    pub fn usable_share(&self, node: usize) -> u32 {
        self.nodes[node].membership.as_ref().map_or(0, |membership| {
            membership.resource_share(self.clock(node)).thousandths_at(self.clock(node))
        })
    }

    /// Checks the invariants: all shares add up to at most one full share per node, and no node that uses a share is held
    /// to be gone.
    pub fn check(&self) {
        let used: u64 = (0..self.nodes.len()).map(|node| u64::from(self.usable_share(node))).sum();
        let total = u64::from(FULL_SHARE) * self.nodes.len() as u64;
        assert!(used <= total, "{} of {total} at {}", used, self.now);
        for user in (0..self.nodes.len()).filter(|&node| self.nodes.len() > 2 && self.usable_share(node) > 0)
        {
            let incarnation = self.membership(user).incarnation();
            for node in (0..self.nodes.len()).filter(|&node| node != user && self.runs(node)) {
                let known = self.membership(node).incarnation_of(user);
                assert_ne!(
                    known,
                    Some((incarnation, true)),
                    "{node} holds {user} to be gone at {}",
                    self.now
                );
            }
        }
    }

    /// Whether all running nodes have the same view, in which all of them are here.
    pub fn is_converged(&self) -> bool {
        let running: Vec<usize> = (0..self.nodes.len()).filter(|&node| self.runs(node)).collect();
        let Some(&first) = running.first() else { return false };
        let digest = self.membership(first).view_digest();
        running.iter().all(|&at| {
            self.membership(at).view_digest() == digest
                && running.iter().all(|&of| of == at || self.state(of, at) == NodeState::Here)
        })
    }

    /// A description of all views, for the message of a failed test.
    fn describe(&self) -> String {
        let running = (0..self.nodes.len()).filter(|&node| self.runs(node));
        running
            .map(|node| {
                let (membership, now) = (self.membership(node), self.clock(node));
                let peers = membership.peers(now);
                let not_here = peers.iter().filter(|peer| peer.state != NodeState::Here);
                let not_here: Vec<String> = not_here
                    .map(|peer| format!("{} {} {:?}", peer.node, peer.state.as_str(), peer.reason))
                    .take(3)
                    .collect();
                format!(
                    "\n{node} digest {:08x} share {} not here {not_here:?}",
                    membership.view_digest(),
                    self.usable_share(node)
                )
            })
            .filter(|line| !line.ends_with("1000 not here []") || self.nodes.len() < 7)
            .take(20)
            .collect::<String>()
            + &format!(
                "{:?}",
                (0..self.nodes.len())
                    .filter(|&node| self.runs(node))
                    .map(|node| self.membership(node).view_digest())
                    .collect::<BTreeSet<_>>()
            )
    }

    /// Runs until a condition holds, and returns how long that took. Panics after `limit`.
    pub fn run_until(&mut self, limit: Micros, condition: impl Fn(&Simulation) -> bool) -> Micros {
        let start = self.now;
        while !condition(self) {
            assert!(self.now < start + limit, "not within {limit} us: {}", self.describe());
            self.run(50 * MS);
        }
        self.now - start
    }
}
