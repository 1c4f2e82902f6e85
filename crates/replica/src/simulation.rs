//! A simulation of many replicas in virtual time, for tests and measurements: links that lose, delay and duplicate
//! datagrams and can be cut, and nodes that pause, crash and restart. Which nodes are here is reported with a lag, as
//! membership does. Runs with the same seed are identical. Times are in microseconds.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Micros, OutgoingDatagram, Replica, Setup};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SEC: Micros = 1_000_000;
/// How often the reachable nodes are determined.
const REACHABILITY_INTERVAL_US: Micros = 500 * MS;
/// How many datagrams the socket of a paused node holds.
const SOCKET_BUFFER_DATAGRAMS: usize = 300;

enum SimulationEvent {
    Tick { node: usize, run: u64 },
    Delivery { from: usize, to: usize, datagram: Vec<u8> },
}

/// A node, whether or not its process runs.
pub struct Node {
    /// The replica of the running process.
    pub replica: Option<Replica>,
    /// The number of its starts, so that ticks of an earlier process are dropped.
    run: u64,
    /// While paused, the datagrams that wait in its socket, with their senders.
    paused: Option<Vec<(usize, Vec<u8>)>>,
    /// How far its clock is ahead.
    pub clock_offset: Micros,
    /// Bytes that it has sent, over all its processes.
    pub sent_bytes: u64,
    /// Datagrams that it has sent, over all its processes.
    pub sent: u64,
}

/// The nodes and the links between them.
pub struct Simulation {
    /// The true time.
    pub now: Micros,
    /// By index.
    pub nodes: Vec<Node>,
    /// The generator of all random choices.
    pub rng: fastrand::Rng,
    /// Datagrams lost, per thousand.
    pub loss_permille: u32,
    /// Datagrams delivered twice, per thousand.
    pub duplicate_permille: u32,
    /// Shortest and longest delay of a datagram.
    pub delay_range: (Micros, Micros),
    /// How long after a change the nodes learn which others are reachable.
    pub reachability_lag: Micros,
    cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Micros, u64), SimulationEvent>,
    /// By time of observation, the reachable nodes of each node.
    observed: BTreeMap<Micros, Vec<Vec<usize>>>,
    last_event_number: u64,
}

impl Simulation {
    /// A simulation of `node_count` nodes, which have just started.
    pub fn new(node_count: usize, seed: u64) -> Simulation {
        let new_node =
            |_| Node { replica: None, run: 0, paused: None, clock_offset: 0, sent_bytes: 0, sent: 0 };
        let mut simulation = Simulation {
            now: 10 * SEC,
            nodes: (0..node_count).map(new_node).collect(),
            rng: fastrand::Rng::with_seed(seed),
            loss_permille: 0,
            duplicate_permille: 0,
            delay_range: (MS, 20 * MS),
            reachability_lag: SEC,
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            observed: BTreeMap::new(),
            last_event_number: 0,
        };
        (0..node_count).for_each(|node| simulation.start(node));
        simulation.observe_reachability();
        simulation.report_reachability();
        simulation
    }

    fn schedule(&mut self, at: Micros, event: SimulationEvent) {
        self.last_event_number += 1;
        self.queue.insert((at, self.last_event_number), event);
    }

    /// The time of a node's clock.
    pub fn clock(&self, node: usize) -> Micros {
        self.now + self.nodes[node].clock_offset
    }

    /// Starts a node that does not run, with an empty replica.
    pub fn start(&mut self, node: usize) {
        let run = self.nodes[node].run + 1;
        let (seed, nodes) = (self.rng.u64(..), self.nodes.len());
        let setup = Setup { own_index: node, node_count: nodes, site_id: 7, seed, incarnation: run };
        let now = self.clock(node);
        let started = &mut self.nodes[node];
        (started.replica, started.run, started.paused) = (Some(Replica::new(setup, now)), run, None);
        let at = self.now + self.rng.u64(0..250 * MS);
        self.schedule(at, SimulationEvent::Tick { node, run });
    }

    /// Kills a node's process.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].replica = None;
    }

    /// Pauses a node, which keeps its state.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
    }

    /// Resumes a node, which detects that it was paused.
    pub fn resume(&mut self, node: usize) {
        let (now, run) = (self.clock(node), self.nodes[node].run);
        let waiting = self.nodes[node].paused.take().unwrap_or_default();
        if let Some(replica) = &mut self.nodes[node].replica {
            replica.mark_behind(now);
        }
        for (from, datagram) in waiting {
            self.receive(from, node, &datagram);
        }
        let at = self.now;
        self.schedule(at, SimulationEvent::Tick { node, run });
    }

    /// Cuts or restores one direction of a link.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    /// Cuts or restores all links between the nodes of one side and the others, in both directions.
    pub fn split(&mut self, side: impl Fn(usize) -> bool, cut: bool) {
        for from in 0..self.nodes.len() {
            for to in 0..self.nodes.len() {
                if side(from) != side(to) {
                    self.cut(from, to, cut);
                }
            }
        }
    }

    /// Whether a node runs and is not paused.
    pub fn runs(&self, node: usize) -> bool {
        self.nodes[node].replica.is_some() && self.nodes[node].paused.is_none()
    }

    /// The replica of a node that runs.
    pub fn replica(&self, node: usize) -> &Replica {
        self.nodes[node].replica.as_ref().expect("the node runs")
    }

    /// Calls a function with the replica of a node that runs and the time of its clock.
    pub fn with_replica<T>(&mut self, node: usize, call: impl FnOnce(&mut Replica, Micros) -> T) -> T {
        let now = self.clock(node);
        let replica = self.nodes[node].replica.as_mut().expect("the node runs");
        let result = call(replica, now);
        // The call may have made a tick due at once.
        if replica.next_tick_at() <= now {
            let out = replica.tick(now);
            self.send(node, out);
        }
        result
    }

    /// Runs the simulation for a duration.
    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        loop {
            let next_observation =
                self.now / REACHABILITY_INTERVAL_US * REACHABILITY_INTERVAL_US + REACHABILITY_INTERVAL_US;
            let until = next_observation.min(end);
            while let Some((&(at, number), _)) =
                self.queue.first_key_value().filter(|((at, _), _)| *at <= until)
            {
                let event = self.queue.remove(&(at, number)).expect("the event was read above");
                self.now = self.now.max(at);
                match event {
                    SimulationEvent::Tick { node, run } => self.tick(node, run),
                    SimulationEvent::Delivery { from, to, datagram } => self.receive(from, to, &datagram),
                }
            }
            self.now = until;
            if until == next_observation {
                self.observe_reachability();
                self.report_reachability();
            }
            if until == end {
                return;
            }
        }
    }

    /// Stores which nodes are reachable for each node now, to be reported after the lag.
    fn observe_reachability(&mut self) {
        let nodes = self.nodes.len();
        let is_reachable = |at: usize, of: usize| {
            at != of && self.runs(of) && !self.cut.contains(&(of, at)) && !self.cut.contains(&(at, of))
        };
        let reachable =
            (0..nodes).map(|at| (0..nodes).filter(|&of| is_reachable(at, of)).collect()).collect();
        self.observed.insert(self.now, reachable);
    }

    fn report_reachability(&mut self) {
        let due = self.observed.range(..=self.now.saturating_sub(self.reachability_lag)).next_back();
        let Some((&at, observed)) = due.or_else(|| self.observed.first_key_value()) else { return };
        let observed = observed.clone();
        self.observed = self.observed.split_off(&at);
        for (node, reachable) in observed.into_iter().enumerate() {
            let Node { replica: Some(replica), paused: None, .. } = &mut self.nodes[node] else { continue };
            replica.set_reachable(reachable);
        }
    }

    fn tick(&mut self, node: usize, run: u64) {
        if self.nodes[node].run != run || !self.runs(node) {
            return;
        }
        let now = self.clock(node);
        let Some(replica) = &mut self.nodes[node].replica else { return };
        let (out, next_tick_at) = (replica.tick(now), replica.next_tick_at());
        let at = self.now + next_tick_at.saturating_sub(now) + self.rng.u64(0..2 * MS);
        self.schedule(at, SimulationEvent::Tick { node, run });
        self.send(node, out);
    }

    fn receive(&mut self, from: usize, to: usize, datagram: &[u8]) {
        if let Some(waiting) = &mut self.nodes[to].paused {
            if waiting.len() < SOCKET_BUFFER_DATAGRAMS {
                waiting.push((from, datagram.to_vec()));
            }
            return;
        }
        let now = self.clock(to);
        let Some(replica) = &mut self.nodes[to].replica else { return };
        let out = replica.handle_datagram(now, from, datagram);
        self.send(to, out);
    }

    /// Sends datagrams of a node.
    pub fn send(&mut self, node: usize, datagrams: Vec<OutgoingDatagram>) {
        for outgoing in datagrams {
            assert!(outgoing.datagram.len() <= 256 && outgoing.to != node);
            self.nodes[node].sent_bytes += outgoing.datagram.len() as u64;
            self.nodes[node].sent += 1;
            let copies = 1 + u32::from(self.rng.u32(0..1000) < self.duplicate_permille);
            for _ in 0..copies {
                if !self.cut.contains(&(node, outgoing.to)) && self.rng.u32(0..1000) >= self.loss_permille {
                    let at = self.now + self.rng.u64(self.delay_range.0..=self.delay_range.1);
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

    /// Whether all running nodes have identical replicas.
    pub fn is_converged(&self) -> bool {
        let roots: BTreeSet<u32> = (0..self.nodes.len())
            .filter(|&node| self.runs(node))
            .map(|node| self.replica(node).root())
            .collect();
        roots.len() <= 1
    }

    /// Runs until a condition holds, and returns how long that took. Panics after `limit`.
    pub fn run_until(&mut self, limit: Micros, condition: impl Fn(&Simulation) -> bool) -> Micros {
        let start = self.now;
        while !condition(self) {
            let roots: Vec<u32> = (0..self.nodes.len().min(12))
                .filter(|&node| self.runs(node))
                .map(|node| self.replica(node).root())
                .collect();
            assert!(self.now < start + limit, "not within {limit} us: {roots:x?}");
            self.run(20 * MS);
        }
        self.now - start
    }
}
