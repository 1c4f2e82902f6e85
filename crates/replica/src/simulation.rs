//! Many copies in virtual time, for tests and measurements: ways that lose, delay, double and end, nodes that pause, die and
//! start again. Who is here is told with a lag, as siblings tell it. The same seed plays the same.

use std::collections::{BTreeMap, BTreeSet};

use crate::{Micros, OutgoingDatagram, Replica, Setup};

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SEC: Micros = 1_000_000;
/// Who is here is looked at so often.
const LOOK: Micros = 500 * MS;
/// What a socket holds of what comes to one that is paused.
const HELD: usize = 300;

enum Happens {
    Tick { node: usize, life: u64 },
    Comes { from: usize, to: usize, datagram: Vec<u8> },
}

/// A node, or the place of one.
pub struct Node {
    /// While it runs.
    pub replica: Option<Replica>,
    life: u64,
    paused: Option<Vec<(usize, Vec<u8>)>>,
    /// Its clock is off by so much.
    pub off: Micros,
    /// All that it has sent, over all its lives.
    pub sent_bytes: u64,
    /// Datagrams of it.
    pub sent: u64,
}

/// All nodes, and the ways between them.
pub struct Simulation {
    /// The true time.
    pub now: Micros,
    /// By number.
    pub nodes: Vec<Node>,
    /// For all choices.
    pub rng: fastrand::Rng,
    /// Datagrams lost, and those doubled, in a thousand.
    pub loss_permille: u32,
    /// Datagrams delivered twice, per thousand.
    pub duplicate_permille: u32,
    /// Shortest and longest time on a way.
    pub delay_range: (Micros, Micros),
    /// Who is here is told so late.
    pub lag: Micros,
    cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(Micros, u64), Happens>,
    /// By node, when who is here is told, and who.
    seen: BTreeMap<Micros, Vec<Vec<usize>>>,
    number: u64,
}

impl Simulation {
    /// So many nodes that have just started.
    pub fn new(nodes: usize, seed: u64) -> Simulation {
        let node = |_| Node { replica: None, life: 0, paused: None, off: 0, sent_bytes: 0, sent: 0 };
        let mut world = Simulation {
            now: 10 * SEC,
            nodes: (0..nodes).map(node).collect(),
            rng: fastrand::Rng::with_seed(seed),
            loss_permille: 0,
            duplicate_permille: 0,
            delay_range: (MS, 20 * MS),
            lag: SEC,
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            seen: BTreeMap::new(),
            number: 0,
        };
        (0..nodes).for_each(|node| world.start(node));
        world.look();
        world.tell_here();
        world
    }

    fn at(&mut self, at: Micros, what: Happens) {
        self.number += 1;
        self.queue.insert((at, self.number), what);
    }

    /// A node's clock.
    pub fn clock(&self, node: usize) -> Micros {
        self.now + self.nodes[node].off
    }

    /// Starts one that doesn't run, with nothing.
    pub fn start(&mut self, node: usize) {
        let life = self.nodes[node].life + 1;
        let (seed, nodes) = (self.rng.u64(..), self.nodes.len());
        let setup = Setup { own_index: node, node_count: nodes, site_id: 7, seed, incarnation: life };
        let now = self.clock(node);
        let place = &mut self.nodes[node];
        (place.replica, place.life, place.paused) = (Some(Replica::new(setup, now)), life, None);
        let at = self.now + self.rng.u64(0..250 * MS);
        self.at(at, Happens::Tick { node, life });
    }

    /// Kills one.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].replica = None;
    }

    /// Stops one, with what it believes.
    pub fn pause(&mut self, node: usize) {
        self.nodes[node].paused.get_or_insert_default();
    }

    /// Has one go on, which notices that it was paused.
    pub fn resume(&mut self, node: usize) {
        let (now, life) = (self.clock(node), self.nodes[node].life);
        let held = self.nodes[node].paused.take().unwrap_or_default();
        if let Some(replica) = &mut self.nodes[node].replica {
            replica.mark_behind(now);
        }
        for (from, datagram) in held {
            self.comes(from, node, &datagram);
        }
        let at = self.now;
        self.at(at, Happens::Tick { node, life });
    }

    /// Cuts the way from one to another, or mends it.
    pub fn cut(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    /// Cuts all ways between those of one side and all others, or mends them.
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

    /// A node that runs.
    pub fn replica(&self, node: usize) -> &Replica {
        self.nodes[node].replica.as_ref().expect("it runs")
    }

    /// Does something at a node that runs.
    pub fn with_replica<T>(&mut self, node: usize, work: impl FnOnce(&mut Replica, Micros) -> T) -> T {
        let now = self.clock(node);
        let replica = self.nodes[node].replica.as_mut().expect("it runs");
        let done = work(replica, now);
        // It is told that it is due at once where it is.
        if replica.next_tick_at() <= now {
            let out = replica.tick(now);
            self.gather(node, out);
        }
        done
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Micros) {
        let end = self.now + time;
        loop {
            let look = self.now / LOOK * LOOK + LOOK;
            let until = look.min(end);
            while let Some((&(at, number), _)) =
                self.queue.first_key_value().filter(|((at, _), _)| *at <= until)
            {
                let what = self.queue.remove(&(at, number)).expect("looked at above");
                self.now = self.now.max(at);
                match what {
                    Happens::Tick { node, life } => self.tick(node, life),
                    Happens::Comes { from, to, datagram } => self.comes(from, to, &datagram),
                }
            }
            self.now = until;
            if until == look {
                self.look();
                self.tell_here();
            }
            if until == end {
                return;
            }
        }
    }

    /// Who could hear whom, to be told later.
    fn look(&mut self) {
        let nodes = self.nodes.len();
        let hears = |at: usize, of: usize| {
            at != of && self.runs(of) && !self.cut.contains(&(of, at)) && !self.cut.contains(&(at, of))
        };
        let seen = (0..nodes).map(|at| (0..nodes).filter(|&of| hears(at, of)).collect()).collect();
        self.seen.insert(self.now, seen);
    }

    fn tell_here(&mut self) {
        let told = self.seen.range(..=self.now.saturating_sub(self.lag)).next_back();
        let Some((&at, seen)) = told.or_else(|| self.seen.first_key_value()) else { return };
        let seen = seen.clone();
        self.seen = self.seen.split_off(&at);
        for (node, here) in seen.into_iter().enumerate() {
            let Node { replica: Some(replica), paused: None, .. } = &mut self.nodes[node] else { continue };
            replica.set_reachable(here);
        }
    }

    fn tick(&mut self, node: usize, life: u64) {
        if self.nodes[node].life != life || !self.runs(node) {
            return;
        }
        let now = self.clock(node);
        let Some(replica) = &mut self.nodes[node].replica else { return };
        let (out, due) = (replica.tick(now), replica.next_tick_at());
        let at = self.now + due.saturating_sub(now) + self.rng.u64(0..2 * MS);
        self.at(at, Happens::Tick { node, life });
        self.gather(node, out);
    }

    fn comes(&mut self, from: usize, to: usize, datagram: &[u8]) {
        if let Some(waiting) = &mut self.nodes[to].paused {
            if waiting.len() < HELD {
                waiting.push((from, datagram.to_vec()));
            }
            return;
        }
        let now = self.clock(to);
        let Some(replica) = &mut self.nodes[to].replica else { return };
        let out = replica.handle_datagram(now, from, datagram);
        self.gather(to, out);
    }

    /// Sends what a node says.
    pub fn gather(&mut self, node: usize, out: Vec<OutgoingDatagram>) {
        for out in out {
            assert!(out.datagram.len() <= 256 && out.to != node);
            self.nodes[node].sent_bytes += out.datagram.len() as u64;
            self.nodes[node].sent += 1;
            let times = 1 + u32::from(self.rng.u32(0..1000) < self.duplicate_permille);
            for _ in 0..times {
                if !self.cut.contains(&(node, out.to)) && self.rng.u32(0..1000) >= self.loss_permille {
                    let at = self.now + self.rng.u64(self.delay_range.0..=self.delay_range.1);
                    self.at(at, Happens::Comes { from: node, to: out.to, datagram: out.datagram.clone() });
                }
            }
        }
    }

    /// Whether all that run hold the same.
    pub fn is_converged(&self) -> bool {
        let roots: BTreeSet<u32> =
            (0..self.nodes.len()).filter(|&n| self.runs(n)).map(|n| self.replica(n).root()).collect();
        roots.len() <= 1
    }

    /// Runs until something holds; tells after what time.
    pub fn run_until(&mut self, most: Micros, holds: impl Fn(&Simulation) -> bool) -> Micros {
        let start = self.now;
        while !holds(self) {
            let roots: Vec<u32> = (0..self.nodes.len().min(12))
                .filter(|&n| self.runs(n))
                .map(|n| self.replica(n).root())
                .collect();
            assert!(self.now < start + most, "not within {most} us: {roots:x?}");
            self.run(20 * MS);
        }
        self.now - start
    }
}
