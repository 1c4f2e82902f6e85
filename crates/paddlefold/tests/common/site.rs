//! Simulates a small site in virtual time: nodes, caches with two cores and little memory, an origin, and
//! zones with a delay between them. It simulates some seconds of a deployment, and gives the same run every
//! time.

use std::collections::{BTreeMap, HashMap, VecDeque};

use paddlefold::*;

pub const ORIGIN: ServerId = ServerId(1_000_000);
const MS: Micros = 1_000;
/// The time at which a simulation starts.
const START: Micros = 100 * 1_000_000;

/// The configuration of a site, its load, and the faults that are injected.
pub struct Plan {
    pub seed: u64,
    pub settings: Settings,
    /// Number of caches, by zone.
    pub caches: Vec<u32>,
    /// Reads per second by zone; each zone has one node.
    pub read_rates: Vec<f64>,
    /// Number of distinct keys; each key is as likely to be read as any other of its decade.
    pub distinct_keys: u64,
    /// Number of keys that a cache holds.
    pub keys_per_cache: usize,
    /// CPU time that a read takes at a cache.
    pub service_time: Micros,
    /// One-way delay between zones.
    pub crossing_delay: Micros,
    /// Fetches per second that the origin can serve, and the time of one.
    pub origin: (f64, Micros),
    pub duration: Micros,
    /// Faults by the time after the start at which they happen.
    pub faults: Vec<(Micros, Fault)>,
}

/// A change of the site during the simulation.
#[derive(Clone)]
pub enum Fault {
    /// A zone's caches fail without notice; the list shows it a second later.
    LoseZone(u32),
    /// They are back, cold and empty; the list shows it at once.
    RestoreZone(u32),
    /// A zone is cut off from the others, or no longer.
    Partition(u32, bool),
    /// A cache drains; it is gone a second later.
    Drain(ServerId),
    /// A cache fails this fraction of its requests at once.
    FailRequests(ServerId, f64),
    /// This fraction of the reads asks for keys that are read only once.
    Scan(f64),
}

/// The result of a simulation.
#[derive(Default, Debug)]
pub struct Tally {
    pub reads: u64,
    /// Reads served within the aim.
    pub in_aim: u64,
    /// Reads served after the aim.
    pub late: u64,
    pub unserved: u64,
    pub crossings: u64,
    pub fetches: u64,
    pub hits: u64,
    pub misses: u64,
    /// The highest load on a cold cache over the time `fall`, as a fraction of the load at which it
    /// collapses.
    pub max_cold_load: f64,
    /// The highest load on the origin over a second, as a fraction of what it can serve.
    pub max_origin_load: f64,
    /// Reads served within the aim, and all reads, by second.
    pub by_second: BTreeMap<u64, (u64, u64)>,
}

impl Tally {
    /// The fraction of reads served within the aim.
    pub fn served_ratio(&self) -> f64 {
        self.in_aim as f64 / self.reads.max(1) as f64
    }
    pub fn crossings_per_read(&self) -> f64 {
        self.crossings as f64 / self.reads.max(1) as f64
    }
    pub fn hit_ratio(&self) -> f64 {
        self.hits as f64 / (self.hits + self.misses).max(1) as f64
    }
    /// The fraction of reads served within the aim from one second to another.
    pub fn served_ratio_between(&self, from: u64, to: u64) -> f64 {
        let sum = self.by_second.range(from..to).fold((0, 0), |a, (_, s)| (a.0 + s.0, a.1 + s.1));
        sum.0 as f64 / sum.1.max(1) as f64
    }
}

struct Cache {
    member: Member,
    /// When each core is free.
    cores: [Micros; 2],
    /// The keys that it holds, in the order of their last use.
    keys: VecDeque<u64>,
    up: bool,
    failure_ratio: f64,
    /// While it is cold: when it was sent work of late, and how much.
    recent_work: VecDeque<(Micros, Micros)>,
}

struct Read {
    key: u64,
    /// Attempts: server, time of the send, and whether it is in flight.
    attempts: Vec<(ServerId, Micros, bool)>,
    missed: Vec<ServerId>,
    arrived_at: Micros,
    answered: bool,
}

/// A scheduled event; the first number of most is the node.
enum Scheduled {
    Arrival(usize),
    Outcome(usize, RequestId, usize, Outcome, Option<bool>),
    Timer(usize, TimerToken),
    ListUpdate(usize, Vec<Member>),
    Fault(Fault),
    Removal(ServerId),
}

/// A running simulation.
pub struct Site {
    plan: Plan,
    rng: fastrand::Rng,
    now: Micros,
    /// By time, and by the order in which they were scheduled.
    scheduled: BTreeMap<(Micros, u64), Scheduled>,
    scheduled_count: u64,
    last_id: u32,
    nodes: Vec<Balancer>,
    caches: BTreeMap<ServerId, Cache>,
    reads: HashMap<RequestId, Read>,
    /// When the origin was sent its fetches of the last second.
    recent_fetches: VecDeque<Micros>,
    partitioned_zone: Option<u32>,
    scan_ratio: f64,
    last_scan_key: u64,
    tally: Tally,
}

impl Site {
    pub fn run(plan: Plan) -> Tally {
        let mut site = Site {
            rng: fastrand::Rng::with_seed(plan.seed),
            now: START,
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            last_id: 0,
            nodes: Vec::new(),
            caches: BTreeMap::new(),
            reads: HashMap::new(),
            recent_fetches: VecDeque::new(),
            partitioned_zone: None,
            scan_ratio: 0.0,
            last_scan_key: 1 << 40,
            tally: Tally::default(),
            plan,
        };
        site.start();
        while let Some(((when, _), event)) = site.scheduled.pop_first() {
            site.now = when;
            site.handle_scheduled(event);
        }
        let open = site.reads.values().filter(|read| !read.answered).count();
        assert_eq!(open, 0, "requests without an answer");
        site.tally
    }

    fn start(&mut self) {
        let zones = self.plan.caches.clone();
        let zone_of_caches = zones.iter().zip(0..).flat_map(|(&n, zone)| (0..n).map(move |_| zone));
        for (zone, id) in zone_of_caches.zip(1..) {
            let cache = Cache {
                member: Member { zone, ..Member::up(ServerId(id)) },
                cores: [0; 2],
                keys: VecDeque::new(),
                up: true,
                failure_ratio: 0.0,
                recent_work: VecDeque::new(),
            };
            self.caches.insert(ServerId(id), cache);
        }
        let mut members: Vec<Member> = self.caches.values().map(|c| c.member.clone()).collect();
        members.push(Member { origin: true, zone: 0, ..Member::up(ORIGIN) });
        for zone in 0..self.plan.read_rates.len() {
            let settings =
                Settings { zone: Some(zone as u32), nodes: zones.len(), ..self.plan.settings.clone() };
            self.nodes.push(Balancer::new(settings, self.plan.seed + zone as u64, self.now));
            self.handle(zone, Event::Members { scope: ListScope::Full, members: members.clone() });
            if self.plan.read_rates[zone] > 0.0 {
                self.schedule(0, Scheduled::Arrival(zone));
            }
        }
        for (when, fault) in std::mem::take(&mut self.plan.faults) {
            self.schedule(when, Scheduled::Fault(fault));
        }
    }

    fn schedule(&mut self, after: Micros, event: Scheduled) {
        self.scheduled_count += 1;
        self.scheduled.insert((self.now + after, self.scheduled_count), event);
    }

    fn handle_scheduled(&mut self, event: Scheduled) {
        match event {
            Scheduled::Arrival(node) => self.arrive(node),
            Scheduled::Outcome(node, id, attempt, outcome, hit) => {
                self.end_attempt(node, id, attempt, outcome, hit)
            }
            Scheduled::Timer(node, token) => self.handle(node, Event::Timer(token)),
            Scheduled::ListUpdate(node, members) => {
                for member in &members {
                    self.cache(member.id).member.state = member.state;
                }
                self.handle(node, Event::Members { scope: ListScope::Delta, members });
            }
            Scheduled::Fault(fault) => self.inject(fault),
            Scheduled::Removal(id) => {
                self.cache(id).up = false;
                self.update_lists(id, MemberState::Removed, 0);
            }
        }
    }

    fn cache(&mut self, id: ServerId) -> &mut Cache {
        self.caches.get_mut(&id).expect("a cache of the site")
    }

    /// Schedules an update of every node's list.
    fn update_lists(&mut self, id: ServerId, state: MemberState, after: Micros) {
        let member = Member { state, ..self.caches[&id].member.clone() };
        for node in 0..self.nodes.len() {
            self.schedule(after, Scheduled::ListUpdate(node, vec![member.clone()]));
        }
    }

    fn caches_of_zone(&self, zone: u32) -> Vec<ServerId> {
        self.caches.values().filter(|c| c.member.zone == zone).map(|c| c.member.id).collect()
    }

    fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::LoseZone(zone) => {
                for id in self.caches_of_zone(zone) {
                    self.cache(id).up = false;
                    self.update_lists(id, MemberState::Removed, 1_000 * MS);
                }
            }
            Fault::RestoreZone(zone) => {
                for id in self.caches_of_zone(zone) {
                    let now = self.now;
                    let cache = self.cache(id);
                    (cache.up, cache.member.started) = (true, Some(now));
                    cache.keys.clear();
                    self.update_lists(id, MemberState::Up, 0);
                }
            }
            Fault::Partition(zone, cut_off) => self.partitioned_zone = Some(zone).filter(|_| cut_off),
            Fault::Drain(id) => {
                self.update_lists(id, MemberState::Draining, 0);
                self.schedule(1_000 * MS, Scheduled::Removal(id));
            }
            Fault::FailRequests(id, ratio) => self.cache(id).failure_ratio = ratio,
            Fault::Scan(ratio) => self.scan_ratio = ratio,
        }
    }

    fn arrive(&mut self, node: usize) {
        let rate = self.plan.read_rates[node];
        let pause = (-(1.0 - self.rng.f64()).ln() / rate * 1e6) as Micros;
        if self.now + pause < START + self.plan.duration {
            self.schedule(pause, Scheduled::Arrival(node));
        }
        self.last_id += 1;
        let (id, is_scan) = (RequestId(self.last_id), self.rng.f64() < self.scan_ratio);
        self.last_scan_key += u64::from(is_scan);
        let key = if is_scan {
            self.last_scan_key
        } else {
            (self.plan.distinct_keys as f64).powf(self.rng.f64()) as u64
        };
        let (attempts, missed) = (Vec::new(), Vec::new());
        self.reads.insert(id, Read { key, attempts, missed, arrived_at: self.now, answered: false });
        self.tally.reads += 1;
        let second = (self.now - START) / 1_000_000;
        self.tally.by_second.entry(second).or_default().1 += 1;
        let (key, budget) = (Some(format!("k{key}")), 1_000 * MS);
        self.handle(node, Event::Request(Request { class: Some(0), key, budget, ..Request::new(id) }));
    }

    /// Gives a node an event and carries out its actions.
    fn handle(&mut self, node: usize, event: Event) {
        let mut actions = Vec::new();
        self.nodes[node].on_event(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { id, server, timeout } => self.send(node, id, server, timeout),
                Action::Cancel { id, attempt } => {
                    self.schedule(0, Scheduled::Outcome(node, id, attempt, Outcome::Canceled, None))
                }
                Action::Refuse { id, .. } | Action::Fail(id) => {
                    let read = self.reads.get_mut(&id).expect("a read that has arrived");
                    assert!(!read.answered, "two final answers");
                    assert!(self.now <= read.arrived_at + 1_020 * MS, "answered too late");
                    read.answered = true;
                    self.tally.unserved += 1;
                }
                Action::SetTimer { after, token } => self.schedule(after, Scheduled::Timer(node, token)),
                Action::Subscribe => {}
            }
        }
    }

    fn send(&mut self, node: usize, id: RequestId, to: ServerId, timeout: Micros) {
        let (from_zone, to_zone) = (node as u32, self.caches.get(&to).map_or(0, |c| c.member.zone));
        let crosses = from_zone != to_zone;
        let cut_off = crosses && self.partitioned_zone.is_some_and(|z| z == from_zone || z == to_zone);
        self.tally.crossings += u64::from(crosses);
        let delay = if crosses { self.plan.crossing_delay } else { 200 };
        let read = self.reads.get_mut(&id).expect("a read that has arrived");
        assert!(!read.answered, "nothing is sent after the final answer");
        let attempt = read.attempts.len();
        read.attempts.push((to, self.now, true));
        let key = read.key;
        let (elapsed, outcome, hit) = match to {
            _ if cut_off => (100 * MS, Outcome::ConnectError, None),
            ORIGIN => self.fetch(delay),
            _ => self.look_up(to, key, delay),
        };
        let (elapsed, outcome) =
            if elapsed > timeout { (timeout, Outcome::TimedOut) } else { (elapsed, outcome) };
        self.schedule(elapsed, Scheduled::Outcome(node, id, attempt, outcome, hit));
    }

    /// A fetch from the origin, which rejects what exceeds its capacity for a second. `delay` is the one-way
    /// delay.
    fn fetch(&mut self, delay: Micros) -> (Micros, Outcome, Option<bool>) {
        let (capacity, time) = self.plan.origin;
        self.tally.fetches += 1;
        self.recent_fetches.push_back(self.now);
        while self.recent_fetches.front().is_some_and(|&at| at + 1_000_000 <= self.now) {
            self.recent_fetches.pop_front();
        }
        let load = self.recent_fetches.len() as f64 / capacity;
        self.tally.max_origin_load = self.tally.max_origin_load.max(load);
        let outcome = if load > 1.0 { Outcome::QueueFull } else { Outcome::Ok };
        (2 * delay + time, outcome, None)
    }

    /// A lookup at a cache. `delay` is the one-way delay.
    fn look_up(&mut self, to: ServerId, key: u64, delay: Micros) -> (Micros, Outcome, Option<bool>) {
        let (settings, now) = (&self.plan.settings, self.now);
        let cache = self.caches.get_mut(&to).expect("a cache of the site");
        assert_eq!(
            cache.member.state,
            MemberState::Up,
            "a drain or removal takes effect as soon as it is listed"
        );
        if !cache.up {
            return (100 * MS, Outcome::ConnectError, None);
        }
        let age = cache.member.started.map_or(Micros::MAX, |at| now - at);
        let warm = (age as f64 / settings.cold.max(1) as f64).min(1.0);
        let capacity = settings.cold_from + (1.0 - settings.cold_from) * warm;
        if warm < 1.0 {
            cache.recent_work.push_back((now, self.plan.service_time));
            while cache.recent_work.front().is_some_and(|work| work.0 + settings.fall <= now) {
                cache.recent_work.pop_front();
            }
            let work: Micros = cache.recent_work.iter().map(|work| work.1).sum();
            let collapses_at = settings.overload_factor * capacity * 2.0 * settings.fall as f64;
            self.tally.max_cold_load = self.tally.max_cold_load.max(work as f64 / collapses_at);
        }
        if self.rng.f64() < cache.failure_ratio {
            return (2 * delay + 2 * MS, Outcome::Failed, None);
        }
        let position = cache.keys.iter().position(|&k| k == key);
        let hit = position.is_some();
        let work = if hit { self.plan.service_time } else { self.plan.service_time / 4 };
        if let Some(position) = position {
            cache.keys.remove(position);
            cache.keys.push_back(key);
        }
        let core = if cache.cores[0] <= cache.cores[1] { 0 } else { 1 };
        let end = cache.cores[core].max(now + delay) + (work as f64 / capacity) as Micros;
        cache.cores[core] = end;
        let outcome = if hit { Outcome::Ok } else { Outcome::Miss };
        (end + delay - now, outcome, Some(hit))
    }

    fn end_attempt(
        &mut self,
        node: usize,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        hit: Option<bool>,
    ) {
        let read = self.reads.get_mut(&id).expect("a read that has arrived");
        let (server, sent_at, in_flight) = &mut read.attempts[attempt];
        if !std::mem::take(in_flight) {
            return; // it was cancelled before
        }
        let (server, elapsed) = (*server, self.now - *sent_at);
        if server != ORIGIN {
            self.tally.hits += u64::from(outcome == Outcome::Ok);
            self.tally.misses += u64::from(outcome == Outcome::Miss);
        }
        if outcome == Outcome::Miss {
            read.missed.push(server);
        }
        if outcome == Outcome::Ok && !read.answered {
            read.answered = true;
            if self.now - read.arrived_at <= self.plan.settings.classes[0].aim {
                self.tally.in_aim += 1;
                let second = (read.arrived_at - START) / 1_000_000;
                self.tally.by_second.entry(second).or_default().0 += 1;
            } else {
                self.tally.late += 1;
            }
            let (key, filled) = (read.key, read.missed.iter().take(2).copied());
            for id in filled.filter(|_| server == ORIGIN) {
                let keys = &mut self.caches.get_mut(&id).expect("a cache of the site").keys;
                keys.push_back(key);
                if keys.len() > self.plan.keys_per_cache {
                    keys.pop_front();
                }
            }
        }
        let settled = self.reads[&id].answered;
        let end = AttemptEnd { elapsed, settled, hit, ..AttemptEnd::new(id, attempt, outcome) };
        self.handle(node, Event::Outcome(end));
    }
}
