//! Every decision of paddlefold. The interface it speaks is `src/api.rs`; its books are `src/state.rs`.
//!
//! The ordinary path: `arrive` and `advance` bring a read to `pick` (`src/cost.rs`), which takes from its
//! key's candidate set (`candidates`) the cache where it loses least; `hedge` adds a copy where there is
//! idle room; `outcome` lets the first served answer win, and only when all that were asked have missed does
//! the read go to the origin. All else are exceptions, each with what it guards against. Every send passes
//! `send` and, as it begins, `begin` (`src/permit.rs`); every final answer passes `finish`.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;
use crate::holders::*;
use crate::ranking::{Part, Ranking, Terms};
use crate::slow_start::{ListHistory, cold_since};
use crate::state::*;

#[path = "cost.rs"]
mod cost;
#[path = "health.rs"]
mod health;
#[path = "permit.rs"]
pub mod permit;
#[path = "view.rs"]
pub mod view;
use cost::Pick;

/// Caches in a key's candidate set, and how many of the highest ranks are looked at for them first.
const SET: usize = 3;
const LOOKED_AT: usize = 16;
/// A cache this many times slower than its fellows has no idle room.
const SLOW: f64 = 3.0;
/// Work of copies and of further tries that a request earns, in parts of its own, and most that is saved up,
/// in requests of usual work.
const COPY_SHARE: f64 = 0.1;
const RETRY_SHARE: f64 = 0.2;
const SAVED: f64 = 10.0;
/// The part of the collapse budget of cold caches that is used; a quarter more can be saved up.
const COLD_PART: f64 = 0.75;
/// A gate whose attempts go badly in more than this part is overrun, not unlucky.
const STRAINED: f64 = 0.3;
/// A cache that tells more of its cores in use than this is about to queue.
const FULL: f64 = 0.95;
/// Less time than this many times the usual is too little to send: what may be tried again harmlessly is
/// worth a try as long as about half of all answers come in time, what may not needs more.
const HOPEFUL: f64 = 0.7;
const IN_TIME: f64 = 1.75;
/// Attempts of ours at a gate at the start, and what is held to be usual at first.
const START: f64 = 8.0;
const USUAL: f64 = 48.0;
/// A zone is cut off from ours when this many connections fail in a row while another zone answers.
const CUT: u32 = 3;
const LIST_TIMER: TimerToken = TimerToken(u64::MAX);

/// Decides for one node; see [`on_event`](Balancer::on_event).
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    servers: BTreeMap<ServerId, Server>,
    origin: Option<ServerId>,
    ranking: Ranking, // the caches that are up
    open: HashMap<RequestId, Open>,
    timings: Vec<Timing>, // response times by class; the last is for requests of no known class
    arrived: Rate,
    part: (f64, Micros), // how much of our part is ours, and until when
    tenants: Vec<Rate>,
    unsized_list: bool,          // the list tells no sizes: all weigh the same
    zones: BTreeMap<u32, Reach>, // how the zones answer
    kinds: BTreeMap<u32, Pace>,  // how quick the kinds of machines are
    holders: Holders,
    hastes: Hastes,
    copies: f64,
    retries: f64,
    usual_work: f64,                       // of a request, in microseconds
    flights: HashMap<u64, Vec<RequestId>>, // fetches that are out or wait, by key, with who waits for them
    gates: [Gate; 2],                      // limits on what is out at the caches together, and at the origin
    list_failures: Option<u32>, // calls for the list that failed in a row; none before the first call
    lists: ListHistory,
}

impl Balancer {
    /// A balancer that knows no server yet. Random choices come from `seed` alone.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let aims = settings.classes.iter().map(|c| c.aim as f64);
        let usual = aims.clone().reduce(f64::min).filter(|&aim| aim > 0.0).unwrap_or(1e6);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            servers: BTreeMap::new(),
            origin: None,
            ranking: Ranking::default(),
            open: HashMap::new(),
            timings: aims.chain([usual]).map(|aim| Timing::guess(aim / 3.0)).collect(),
            arrived: Rate::new(now),
            part: (1.0, Micros::MAX),
            tenants: settings.tenant_shares.iter().map(|_| Rate::new(now)).collect(),
            unsized_list: true,
            zones: BTreeMap::new(),
            kinds: BTreeMap::new(),
            holders: Holders::new(),
            hastes: Hastes::new(now),
            copies: 1.0,
            retries: SAVED / 2.0,
            usual_work: 0.0,
            flights: HashMap::new(),
            gates: [CACHES, ORIGIN].map(|_| Gate::new(usual / 3.0, START, USUAL)),
            list_failures: None,
            lists: ListHistory::default(),
            settings,
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.settings.must_subscribe && self.list_failures.is_none() {
            self.list_failures = Some(0);
            out.push(Action::Subscribe);
        }
        match event {
            Event::Members { scope, members } => self.members(scope, members, out),
            Event::Request(request) if self.open.contains_key(&request.id) => {} // an id in use
            Event::Request(request) => self.arrive(request, out),
            Event::Outcome(end) => self.outcome(end, out),
            Event::FirstByte { id, attempt } => {
                if let Some(r) = self.open.get_mut(&id).filter(|r| attempt < r.tries.len()) {
                    r.streaming = true;
                    let to = r.tries[attempt].server;
                    self.strike_off(id, attempt, to);
                    self.cancel(id, Some(attempt), out);
                    [CACHES, ORIGIN].into_iter().for_each(|gate| self.admit_queued(gate, out));
                }
            }
            Event::ClientGone(id) => self.end(id, out),
            Event::CapacityShare { share, until } => self.part = (share.clamp(0.0, 1.0), until),
            Event::PeerSlowness { server, slowness, until } => {
                self.servers.entry(server).and_modify(|s| s.told = (slowness.clamp(0.0, 2.0 * SLOW), until));
            }
            Event::Timer(LIST_TIMER) if self.settings.must_subscribe => out.push(Action::Subscribe),
            Event::Timer(token) => self.timer(RequestId(token.0 as u32), out),
        }
    }

    // ---- the list ----

    fn members(&mut self, scope: ListScope, members: Vec<Member>, out: &mut Vec<Action>) {
        if scope == ListScope::Failed {
            // Asked again soon at first, then more rarely, and never so rarely that the list counts as told.
            let failures = self.list_failures.map_or(1, |n| n + 1).min(4);
            self.list_failures = Some(failures);
            let wait = (self.settings.must_ask_in / 32) << failures;
            let after = (wait / 2 + self.rng.u64(0..=wait / 2)).max(self.settings.quantum);
            return out.push(Action::SetTimer { after, token: LIST_TIMER });
        }
        self.list_failures = self.list_failures.map(|_| 0);
        if scope == ListScope::Full {
            self.servers.values_mut().for_each(|s| s.member.state = MemberState::Removed);
        }
        let fresh = self.lists.are_changes_fresh(scope, self.now, self.tau() as Micros);
        self.lists.note(self.now);
        for mut member in members {
            let steady = self.settings.steady_weights && member.weight.is_finite();
            member.weight = if steady && member.weight > 0.0 { member.weight } else { 1.0 };
            let known = self.servers.get(&member.id);
            let cold_since = cold_since(&member, known, fresh, self.now, self.settings.cold);
            let server =
                self.servers.entry(member.id).or_insert_with(|| Server::new(member.clone(), self.now));
            if server.cold_since != cold_since {
                // Cold and innocent again. Guards against: hundreds of nodes whose allowances grow in step.
                server.restart(cold_since, self.now, self.rng.f64());
            }
            server.member = member;
        }
        self.servers.retain(|_, s| s.member.state != MemberState::Removed || !s.out.is_empty());
        let origin = |s: &&Server| s.member.state == MemberState::Up && s.member.origin;
        self.origin = self.servers.values().find(origin).map(|s| s.member.id);
        let caches = || self.servers.values().filter(|s| s.is_cache());
        self.ranking = Ranking::new(caches(), &self.settings, self.now);
        self.unsized_list = caches().zip(caches().skip(1)).all(|(a, b)| a.member.weight == b.member.weight);
    }

    // ---- the ordinary path ----

    fn arrive(&mut self, request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let class = request.class.filter(|&c| c < self.settings.classes.len());
        let told = class.map(|c| &self.settings.classes[c]);
        // A read of no told class changes nothing; a write might.
        let untold = if request.write { Effect::Unsafe } else { Effect::Safe };
        let key = match &request.key {
            Some(key) => xxh3_64_with_seed(key.as_bytes(), 0),
            None => self.rng.u64(..),
        };
        let effect = match told.map_or(untold, |c| c.effect) {
            Effect::Keyed { .. } if !request.has_idempotency_key => Effect::Unsafe,
            effect => effect,
        };
        let mut open = Open::new(&request, key, effect, self.now);
        open.class = class.unwrap_or(self.settings.classes.len());
        open.aim = told.map_or(request.budget, |c| c.aim);
        open.worth = self.worth(&request);
        open.recent = self.holders.asked(key, self.now);
        open.haste = self.haste(&request, &open);
        let hopeless = self.hopeless(&open);
        self.open.insert(id, open);
        if hopeless {
            return self.finish(id, out);
        }
        self.earn(self.open[&id].class);
        self.advance(id, out);
    }

    /// The next step of a request that has no attempt out.
    fn advance(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.open.get_mut(&id).filter(|r| !r.settled) else { return };
        if r.outstanding() > 0 {
            return; // a miss or failure ends nothing while a copy is out
        }
        r.wait = Wait::Nothing;
        let (write, stored, again) = (r.write, r.stored, !r.tries.is_empty() && r.stored.is_none());
        let (aside, most) = (self.settings.mode == Mode::Aside, self.settings.max_attempts);
        if self.now + self.settings.quantum >= r.deadline || r.tries.len() >= most {
            return self.finish(id, out);
        }
        if aside && (r.write || r.missed() && stored.is_none()) {
            return self.fetch(id, out);
        }
        let work = self.work(self.open[&id].class);
        if again && self.retries < work && !write {
            return self.finish(id, out); // a failing fleet is not asked much more than a healthy one
        }
        let pick = self.pick(id);
        if pick.as_ref().is_some_and(|p| p.vain) {
            self.fetch(id, out);
        } else if self.gates[CACHES].full() && !pick.as_ref().is_some_and(|p| p.idle) {
            self.queue(CACHES, id, out); // slow caches may hold all places: idle room needs none
        } else {
            self.retries -= if again { work } else { 0.0 };
            self.ask_cache(id, pick, out);
        }
    }

    fn ask_cache(&mut self, id: RequestId, pick: Option<Pick>, out: &mut Vec<Action>) {
        let Some(stored) = self.open.get_mut(&id).map(|r| r.stored.take()) else { return };
        let sent = stored.is_some_and(|server| self.send(id, server, None, out))
            || pick.is_some_and(|p| self.send(id, p.to, Some(p.known), out));
        if !sent && self.settings.mode == Mode::Aside && self.open[&id].repeatable() {
            self.fetch(id, out); // no cache can take it
        } else if !sent {
            self.finish(id, out);
        }
    }

    /// The key's set: the caches that rank highest when it is hashed with each server's id.
    /// Unusable caches slide it to the next rank.
    fn candidates(&self, key: u64) -> Vec<&Server> {
        let well = |s: &Server| !self.suspect(s) || self.now >= s.retry_at && s.out.is_empty();
        let usable = |s: &Server| well(s) && self.allowance(s) >= 1.0 && !self.cut_off(s);
        let mut set = self.highest(key, SET, Part::All, usable);
        // Guards against: a zone with more traffic than its own caches can carry.
        if self.nearness() > 1.0 && !set.iter().any(|s| self.far(s)) {
            set.extend(self.highest(key, 1, Part::Far, |s| self.far(s) && usable(s)));
        }
        if set.is_empty() { self.highest(key, SET, Part::All, |_| true) } else { set }
    }

    /// So many of the caches that rank highest for a key and are accepted.
    fn highest(&self, key: u64, most: usize, part: Part, accept: impl Fn(&Server) -> bool) -> Vec<&Server> {
        let terms = Terms {
            settings: &self.settings,
            servers: &self.servers,
            kinds: self.unsized_list.then_some(&self.kinds),
            nearness: self.nearness(),
            now: self.now,
        };
        let found = |looked_at: usize| -> Vec<&Server> {
            let ranked = self.ranking.highest(key, looked_at, part, &terms);
            let servers = ranked.into_iter().filter_map(|id| self.servers.get(&id));
            servers.filter(|s| accept(s)).take(most).collect()
        };
        let mut looked_at = LOOKED_AT;
        loop {
            let servers = found(looked_at);
            if servers.len() == most || looked_at >= self.ranking.len() {
                return servers;
            }
            looked_at *= LOOKED_AT; // most of those that rank highest can't be used
        }
    }

    /// A copy of a late read, where another candidate has idle room and neither fleet nor origin strains.
    fn hedge(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.open.get(&id).filter(|r| !r.settled) else { return };
        let Some(to) = r.tries.iter().find(|t| t.out).map(|t| t.server) else { return };
        self.write_off(to);
        let (r, first) = (&self.open[&id], self.servers.get(&to));
        let copied = |s: &&Server| !s.member.origin && self.may_copy(r) && r.outstanding() == 1;
        let Some(first) = first.filter(copied) else { return };
        let well = |s: &&Server| !r.tried(s.member.id) && !self.suspect(s) && !self.cold(s);
        let work = self.work(r.class);
        let shut = self.copies < work || self.gates.iter().any(|g| g.full() || g.strain > STRAINED / 2.0);
        let others: Vec<&Server> = self.candidates(r.key).into_iter().filter(well).collect();
        let room = others.iter().find(|s| !shut && self.idle(s, r.class)).map(|s| s.member.id);
        // An attempt lost, or overdue by far, is as good as failed: a further try needs no idle room.
        let lost = first.lost.iter().any(|l| l.0 == id);
        let overdue = (lost || self.suspect(first)) && !self.gates[CACHES].full() && self.retries >= work;
        let further = others.first().filter(|_| overdue).map(|s| s.member.id);
        if room.is_some_and(|to| self.send(id, to, None, out)) {
            self.copies -= work;
        } else if further.is_some_and(|to| self.send(id, to, None, out)) {
            self.retries -= work;
        } else if self.open[&id].deadline > self.now + self.settings.quantum {
            let (r, usual) = (&self.open[&id], self.timings[self.open[&id].class].late(4.0));
            let spoilt = r.tries.iter().map(|t| t.sent.saturating_add(r.aim)).find(|&t| t > self.now);
            self.wake(id, spoilt.map_or(usual, |t| usual.min(t - self.now)), out);
        }
    }

    fn may_copy(&self, r: &Open) -> bool {
        self.settings.second_copies && r.repeatable() && !r.streaming
    }

    fn outcome(&mut self, end: AttemptEnd, out: &mut Vec<Action>) {
        let id = end.id;
        let Some(r) = self.open.get_mut(&id) else { return };
        let Some(t) = r.tries.get_mut(end.attempt).filter(|t| t.out) else { return };
        (t.out, t.may_have_run) = (false, end.outcome.may_have_run());
        t.missed = end.outcome == Outcome::Miss;
        let (to, key) = (t.server, r.key);
        let stored = r.tries.iter().find(|t| t.missed).map(|t| t.server);
        let at_origin = self.servers.get(&to).is_some_and(|s| s.member.origin);
        let landed = r.leads && at_origin;
        r.leads &= !landed;
        self.recall(&end);
        let lost = self.observe(&end, to);
        if end.settled {
            self.judge(id, true);
            self.end(id, out);
        } else {
            self.advance(id, out);
        }
        if landed {
            self.land(key, stored.filter(|_| end.outcome == Outcome::Ok), out);
        }
        lost.into_iter().for_each(|id| self.hedge(id, out));
        self.admit_queued(usize::from(at_origin), out);
        if self.open.get(&id).is_some_and(|r| r.settled && r.outstanding() == 0) {
            self.open.remove(&id);
        }
    }

    // ---- places at the caches and at the origin ----

    /// A read that missed everywhere it was sent, or a write, goes to the origin.
    fn fetch(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(origin) = self.origin else { return self.finish(id, out) };
        let r = self.open.get_mut(&id).expect("caller holds it");
        // Single-flight: reads of a key that is being fetched wait for that fetch.
        if !r.write && !r.leads {
            if let Some(waiting) = self.flights.get_mut(&r.key) {
                waiting.push(id);
                r.wait = Wait::Flight;
                return self.wake_in_vain(id, out);
            }
            self.flights.insert(r.key, Vec::new());
            r.leads = true;
        }
        // Guards against: an origin overrun by hundreds of nodes, each with a fetch or two: writes fail.
        if !r.write && self.rng.f64() < self.gates[ORIGIN].strain - STRAINED {
            r.wait = Wait::Pause;
            self.wake(id, self.gates[ORIGIN].timing.mean as Micros, out);
        } else if self.gates[ORIGIN].full() {
            self.queue(ORIGIN, id, out);
        } else if !self.send(id, origin, None, out) {
            self.finish(id, out);
        }
    }

    /// Holds a request until there is a place: writes first, then by worth, reads that will be late last.
    fn queue(&mut self, gate: usize, id: RequestId, out: &mut Vec<Action>) {
        let r = self.open.get_mut(&id).expect("caller holds it");
        r.wait = Wait::Place;
        let in_time = if self.now <= r.arrived.saturating_add(r.aim / 2) { 1.0 } else { 0.01 };
        r.ticket = self.gates[gate].push(r.worth * if r.write { 1e3 } else { in_time }, id);
        self.wake_in_vain(id, out);
    }

    /// Gives free places to those who wait for them.
    fn admit_queued(&mut self, gate: usize, out: &mut Vec<Action>) {
        while !self.gates[gate].full() {
            let Some((_, _, id)) = self.gates[gate].queue.pop_first() else { return };
            match self.origin.filter(|_| gate == ORIGIN) {
                Some(origin) if self.send(id, origin, None, out) => {}
                None if gate == CACHES => self.ask_cache(id, self.pick(id), out),
                _ => self.finish(id, out),
            }
        }
    }

    /// A fetch ended: those who waited for it read what it stored, or one of them fetches anew.
    fn land(&mut self, key: u64, stored: Option<ServerId>, out: &mut Vec<Action>) {
        for id in self.flights.remove(&key).unwrap_or_default() {
            if let Some(r) = self.open.get_mut(&id).filter(|r| r.wait == Wait::Flight) {
                r.stored = stored;
                self.advance(id, out);
            }
        }
    }

    /// Adapts how many attempts we keep out: fewer when much goes badly, more while all goes well, and
    /// quickly so up to half the usual: after a restart or a jam a node is not held back.
    fn adapt(gate: &mut Gate, least: f64, now: Micros, bad: bool, tau: f64) {
        gate.note(bad, STRAINED / 3.0, now, tau);
        if !bad && gate.out as f64 + 1.0 > gate.limit / 2.0 {
            gate.limit += if gate.limit < gate.usual / 2.0 { 0.5 } else { 1.0 / gate.limit };
        } else if bad && gate.strain > STRAINED && now >= gate.cut_at {
            gate.limit = (gate.limit.min(gate.out as f64 + 1.0) * 0.7).max(least);
            gate.cut_at = now + gate.timing.mean as Micros;
        }
    }

    // ---- cold caches and worth ----

    fn cold(&self, s: &Server) -> bool {
        s.warmth(&self.settings, self.now) < 1.0
    }

    /// Sends that a cold cache can take from us now. What arrives here for each cache is our part of their
    /// capacity; every node keeping to that part, the cold one is not pushed over.
    fn allowance(&self, s: &Server) -> f64 {
        self.share_of(s, s.allowance)
    }

    /// The same of a share that was saved up to some amount at some time.
    fn share_of(&self, s: &Server, (saved, at): (f64, Micros)) -> f64 {
        let part = if self.now < self.part.1 { self.part.0 } else { 0.0 };
        let share = part * self.arrived.per_second(self.now, self.tau()) / self.ranking.len().max(1) as f64;
        let rate = share * s.warmth(&self.settings, self.now) * self.settings.overload_factor * COLD_PART;
        let burst = (rate * self.settings.fall as f64 / 4e6).max(part.ceil()); // without a part none
        if self.cold(s) { (saved + rate * (self.now - at) as f64 / 1e6).min(burst) } else { f64::INFINITY }
    }

    /// The time over which rates are reckoned.
    fn tau(&self) -> f64 {
        (self.settings.cold as f64 / 4.0).max(1e6)
    }

    /// What serving a request is worth: little beyond its tenant's share of this node's traffic.
    fn worth(&mut self, request: &Request) -> f64 {
        let (now, tau) = (self.now, self.tau());
        let all = self.arrived.add(now, tau);
        let worth = request.class.and_then(|c| self.settings.classes.get(c)).map_or(1.0, |c| c.worth);
        let Some(tenant) = request.tenant.filter(|&t| t < self.tenants.len()) else { return worth };
        let over = self.tenants[tenant].add(now, tau) / all > 1.25 * self.settings.tenant_shares[tenant];
        worth * if over { self.settings.over_share_worth } else { 1.0 }
    }

    // ---- what every send and every final answer passes ----

    /// Every send. Says whether it was allowed.
    fn send(&mut self, id: RequestId, to: ServerId, known: Option<Known>, out: &mut Vec<Action>) -> bool {
        let (Some(r), Some(s)) = (self.open.get(&id), self.servers.get(&to)) else { return false };
        let timing = if s.member.origin { &self.gates[ORIGIN].timing } else { &self.timings[r.class] };
        let late = self.now + self.least_time(r, s.member.origin) >= r.deadline;
        if late || self.permitted(r, s, None).is_err() {
            return false;
        }
        // A cold cache gets no more than our part of what it can take, whoever asks.
        let allowance = self.allowance(s);
        if allowance < 1.0 {
            return false;
        }
        let (left, suspect, origin) = (r.deadline - self.now, self.suspect(s), s.member.origin);
        let (hedge_in, due_in) = (timing.late(4.0), timing.late(6.0).max(1));
        let hedges = self.may_copy(r) && r.outstanding() == 0 && !origin && hedge_in < left;
        let known = known.unwrap_or_else(|| self.known(r, s, SET));
        let s = self.servers.get_mut(&to).expect("looked up above");
        let r = self.open.get_mut(&id).expect("looked up above");
        s.allowance = (allowance - 1.0, self.now);
        let zone = self.zones.entry(s.member.zone).or_default();
        let retry_at = self.now + 4 * due_in; // readmitted by a trickle
        s.retry_at = if suspect { retry_at } else { s.retry_at };
        zone.retry_at = if zone.failed + 1 >= CUT { retry_at } else { zone.retry_at };
        s.out.insert((self.now + due_in, id, r.tries.len()));
        self.gates[usize::from(origin)].out += 1;
        r.wait = Wait::Nothing;
        r.tries.push(Try { server: to, sent: self.now, out: true, known, ..Try::default() });
        out.push(Action::Send { id, server: to, timeout: left });
        if hedges {
            self.wake(id, hedge_in, out);
        }
        true
    }

    /// The least time in which an attempt is worth a send.
    fn least_time(&self, r: &Open, origin: bool) -> Micros {
        let timing = if origin { &self.gates[ORIGIN].timing } else { &self.timings[r.class] };
        // Guards against: reads refused untried because their clients have grown impatient.
        (timing.base * if r.repeatable() { HOPEFUL } else { IN_TIME }) as Micros
    }

    /// Until when a request that waits without an attempt could still be sent: to the origin if it waits for
    /// a place there, to a cache if for one there or for a fetch.
    fn sendable_until(&self, r: &Open) -> Micros {
        let to_origin = r.wait == Wait::Place && self.settings.mode == Mode::Aside && (r.write || r.missed());
        r.deadline.saturating_sub(self.least_time(r, to_origin).max(self.settings.quantum))
    }

    /// Every final answer of our own: refused where that is surely harmless, else failed.
    fn finish(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.open.get(&id).filter(|r| !r.settled && !r.streaming) else { return };
        if r.effect == Effect::Safe || r.tries.iter().all(|t| !t.out && !t.may_have_run) {
            let pause = self.timings[r.class].late(4.0).min(self.settings.max_retry_after / 2);
            out.push(Action::Refuse { id, retry_after: pause + self.rng.u64(0..=pause) });
        } else {
            out.push(Action::Fail(id));
        }
        self.judge(id, false);
        self.end(id, out);
    }

    /// The request has ended: what is still out is called off, who waited for it goes on.
    fn end(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.open.get_mut(&id).filter(|r| !r.settled) else { return };
        r.settled = true;
        self.gates.iter_mut().for_each(|gate| _ = gate.queue.remove(&r.ticket));
        let (key, leads) = (r.key, std::mem::take(&mut r.leads));
        self.cancel(id, None, out);
        if leads {
            self.land(key, None, out);
        }
        if self.open.get(&id).is_some_and(|r| r.outstanding() == 0) {
            self.open.remove(&id);
        }
    }

    fn cancel(&self, id: RequestId, keep: Option<usize>, out: &mut Vec<Action>) {
        let tries = self.open[&id].tries.iter().enumerate().filter(|_| self.settings.cancel);
        let losers = tries.filter(|(n, t)| t.out && Some(*n) != keep);
        out.extend(losers.map(|(attempt, _)| Action::Cancel { id, attempt }));
    }

    fn timer(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.open.get(&id).filter(|r| !r.settled && !r.streaming) else { return };
        if r.outstanding() > 0 {
            self.hedge(id, out);
        } else if r.wait == Wait::Pause || self.now + self.settings.quantum >= r.deadline {
            self.advance(id, out);
        } else if self.now >= self.sendable_until(r) {
            self.finish(id, out);
        } else {
            self.wake_in_vain(id, out);
        }
    }

    /// A timer for a request that waits without an attempt, due when none would be sent any more.
    fn wake_in_vain(&self, id: RequestId, out: &mut Vec<Action>) {
        let left = self.sendable_until(&self.open[&id]).saturating_sub(self.now);
        out.push(Action::SetTimer { after: left.max(1), token: TimerToken(id.0.into()) });
    }

    /// A timer for a request, due before its end at the latest.
    fn wake(&self, id: RequestId, after: Micros, out: &mut Vec<Action>) {
        let left = self.open[&id].deadline.saturating_sub(self.now + self.settings.quantum);
        out.push(Action::SetTimer { after: after.min(left).max(1), token: TimerToken(id.0.into()) });
    }
}
