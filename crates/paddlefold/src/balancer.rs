//! The decisions of the module: takes the events and returns the actions of `src/api.rs`. Its state is
//! defined in `src/state.rs`; times are in microseconds.
//!
//! The ordinary path of a read: `on_request` and `advance` ask `choose_cache` (`src/cost.rs`) for the cache
//! with the lowest expected cost among the key's candidates (`candidates`). `hedge` sends a second copy of a
//! late read to an idle candidate. In `on_outcome` the first successful answer wins; the origin is asked once
//! a cache has missed and no attempt is in flight, or at once if asking a cache is not worth it or none can
//! take the read. All other code handles exceptions, and its comments name the failure that it prevents.
//! Every attempt passes `try_send` and, before its first byte, `begin` (`src/permit.rs`); every final answer
//! passes `refuse_or_fail`.

use std::collections::{BTreeMap, HashMap};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::api::*;
use crate::holders::*;
use crate::ranking::{CacheFilter, Ranking, RankingInputs};
use crate::slow_start::{ListHistory, slow_start_since};
use crate::state::*;

#[path = "admission.rs"]
mod admission;
#[path = "cost.rs"]
mod cost;
#[path = "health.rs"]
mod health;
#[path = "permit.rs"]
pub mod permit;
#[path = "view.rs"]
pub mod view;
use cost::CacheChoice;

/// Caches in a key's candidate set.
const CANDIDATES_PER_KEY: usize = 3;
/// Highest ranks examined at first for usable candidates, and the factor by which more are examined after
/// that.
const RANKS_EXAMINED: usize = 16;
/// Slowness (response times relative to all caches, 1 is usual) above which a cache counts as slow. At half
/// of it a cache no longer counts as idle; samples and reports are capped at twice it.
const SLOWNESS_THRESHOLD: f64 = 3.0;
/// Work that each request adds to the budget of copies, as a fraction of its own work.
const HEDGE_BUDGET_RATIO: f64 = 0.1;
/// Work that each request adds to the budget of retries, as a fraction of its own work.
const RETRY_BUDGET_RATIO: f64 = 0.2;
/// The most that either budget can save up, in requests of usual work.
const MAX_SAVED_BUDGET: f64 = 10.0;
/// A cold cache is sent at most this fraction of the load at which it collapses. Unused sends add up to at
/// most a quarter of what that allows within `Settings::fall` (at least one send).
const SLOW_START_LOAD_FRACTION: f64 = 0.75;
/// Above this fraction of failed or slow attempts the servers behind a limiter are overloaded; below it, they
/// may be chance.
const OVERLOAD_RATIO: f64 = 0.3;
/// A cache that reports a higher CPU utilization than this is about to queue.
const FULL_UTILIZATION: f64 = 0.95;
/// Least time left for an attempt of a safe read, as a multiple of the uncongested mean response time: it is
/// worth sending as long as about half of all answers come in time.
const MIN_TIME_FACTOR_SAFE_READ: f64 = 0.7;
/// The same for all other requests, which need more time.
const MIN_TIME_FACTOR_OTHER: f64 = 1.75;
/// Concurrency limit of a limiter at the start.
const INITIAL_CONCURRENCY_LIMIT: f64 = 8.0;
/// Number of attempts in flight that is assumed to be usual at the start.
const INITIAL_USUAL_IN_FLIGHT: f64 = 48.0;
/// A zone counts as cut off from this one after this many connection failures in a row while another zone
/// answers.
const ZONE_CUT_OFF_FAILURES: u32 = 3;
/// The timer after which the list is subscribed to again.
const LIST_TIMER: TimerToken = TimerToken(u64::MAX);

/// Decides for one node; see [`on_event`](Balancer::on_event).
pub struct Balancer {
    settings: Settings,
    rng: fastrand::Rng,
    now: Micros,
    servers: BTreeMap<ServerId, Server>,
    origin: Option<ServerId>,
    ranking: Ranking, // of the caches in service
    open_requests: HashMap<RequestId, OpenRequest>,
    response_times: Vec<ResponseTimes>, // by class; the last is for requests of no known class
    arrivals: Rate,
    capacity_share: (f64, Micros), // fraction of this node's share that it may use, and until when
    tenant_arrivals: Vec<Rate>,
    equal_weights: bool, // the list states no sizes: all caches have the same weight
    zones: BTreeMap<u32, ZoneHealth>, // by zone
    kinds: BTreeMap<u32, KindSlowness>, // by kind of machine
    key_holders: KeyHolders,
    served_ratios: ServedRatios,
    hedge_budget: f64, // in requests of usual work
    retry_budget: f64, // in requests of usual work
    usual_work: f64,   // mean work of a request, in microseconds
    // By key whose fetch is in flight or still waiting to be sent: the requests that wait for it.
    fetch_waiters: HashMap<u64, Vec<RequestId>>,
    limiters: [ConcurrencyLimiter; 2], // of all caches together, and of the origin
    list_failures: Option<u32>,        // list calls that failed in a row; none before the first call
    list_history: ListHistory,
}

impl Balancer {
    /// A balancer that knows no server yet. Random choices come from `seed` alone.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let aims = settings.classes.iter().map(|c| c.aim as f64);
        let shortest_aim = aims.clone().reduce(f64::min).filter(|&aim| aim > 0.0).unwrap_or(1e6);
        Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            servers: BTreeMap::new(),
            origin: None,
            ranking: Ranking::default(),
            open_requests: HashMap::new(),
            response_times: aims.chain([shortest_aim]).map(|aim| ResponseTimes::initial(aim / 3.0)).collect(),
            arrivals: Rate::new(now),
            capacity_share: (1.0, Micros::MAX),
            tenant_arrivals: settings.tenant_shares.iter().map(|_| Rate::new(now)).collect(),
            equal_weights: true,
            zones: BTreeMap::new(),
            kinds: BTreeMap::new(),
            key_holders: KeyHolders::new(),
            served_ratios: ServedRatios::new(now),
            hedge_budget: 1.0,
            retry_budget: MAX_SAVED_BUDGET / 2.0,
            usual_work: 0.0,
            fetch_waiters: HashMap::new(),
            limiters: [CACHES, ORIGIN].map(|_| {
                ConcurrencyLimiter::new(
                    shortest_aim / 3.0,
                    INITIAL_CONCURRENCY_LIMIT,
                    INITIAL_USUAL_IN_FLIGHT,
                )
            }),
            list_failures: None,
            list_history: ListHistory::default(),
            settings,
        }
    }

    /// Handles one event and appends the actions to be carried out, in order.
    pub fn on_event(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.settings.must_subscribe && self.list_failures.is_none() {
            self.list_failures = Some(0);
            actions.push(Action::Subscribe);
        }
        match event {
            Event::Members { scope, members } => self.update_members(scope, members, actions),
            Event::ListSourceChanged => self.list_failures = self.list_failures.map(|_| 0),
            Event::Request(request) if self.open_requests.contains_key(&request.id) => {} // an id in use
            Event::Request(request) => self.on_request(request, actions),
            Event::Outcome(end) => self.on_outcome(end, actions),
            Event::FirstByte { id, attempt } => {
                let request = self.open_requests.get_mut(&id);
                if let Some(request) = request.filter(|r| attempt < r.attempts.len()) {
                    request.streaming = true;
                    let server = request.attempts[attempt].server;
                    self.release_attempt(id, attempt, server);
                    self.cancel_attempts(id, Some(attempt), actions);
                    [CACHES, ORIGIN].into_iter().for_each(|limiter| self.admit_queued(limiter, actions));
                }
            }
            Event::ClientGone(id) => self.end_request(id, actions),
            Event::CapacityShare { share, until } => self.capacity_share = (share.clamp(0.0, 1.0), until),
            Event::PeerSlowness { server, slowness, until } => {
                let reported = (slowness.clamp(0.0, 2.0 * SLOWNESS_THRESHOLD), until);
                self.servers.entry(server).and_modify(|s| s.peer_slowness = reported);
            }
            Event::Timer(LIST_TIMER) if self.settings.must_subscribe => actions.push(Action::Subscribe),
            Event::Timer(token) => self.on_timer(RequestId(token.0 as u32), actions),
        }
    }

    // ---- the list of servers ----

    fn update_members(&mut self, scope: ListScope, members: Vec<Member>, actions: &mut Vec<Action>) {
        if scope == ListScope::Failed {
            // Exponential backoff with jitter. The longest delay is half of `must_ask_in`, so that the list
            // is still asked for as often as it must be.
            let failures = self.list_failures.map_or(1, |n| n + 1).min(4);
            self.list_failures = Some(failures);
            let delay = (self.settings.must_ask_in / 32) << failures;
            let after = (delay / 2 + self.rng.u64(0..=delay / 2)).max(self.settings.quantum);
            return actions.push(Action::SetTimer { after, token: LIST_TIMER });
        }
        self.list_failures = self.list_failures.map(|_| 0);
        if scope == ListScope::Full {
            self.servers.values_mut().for_each(|s| s.member.state = MemberState::Removed);
        }
        let fresh = self.list_history.are_changes_fresh(scope, self.now, self.rate_time_constant() as Micros);
        self.list_history.record(self.now);
        for mut member in members {
            let steady = self.settings.steady_weights && member.weight.is_finite();
            member.weight = if steady && member.weight > 0.0 { member.weight } else { 1.0 };
            let known = self.servers.get(&member.id);
            let since = slow_start_since(&member, known, fresh, self.now, self.settings.cold);
            let server =
                self.servers.entry(member.id).or_insert_with(|| Server::new(member.clone(), self.now));
            if server.slow_start_since != since {
                // The credit starts at a random fraction of one send: with equal starts, the credits of
                // hundreds of nodes would grow in step and all of them would send to the cold server at the
                // same time.
                server.reset_after_restart(since, self.now, self.rng.f64());
            }
            server.member = member;
        }
        self.servers.retain(|_, s| s.member.state != MemberState::Removed || !s.in_flight.is_empty());
        let is_origin = |s: &&Server| s.member.state == MemberState::Up && s.member.origin;
        self.origin = self.servers.values().find(is_origin).map(|s| s.member.id);
        let caches = || self.servers.values().filter(|s| s.is_cache());
        self.ranking = Ranking::new(caches(), &self.settings, self.now);
        self.equal_weights = caches().zip(caches().skip(1)).all(|(a, b)| a.member.weight == b.member.weight);
    }

    // ---- the ordinary path ----

    fn on_request(&mut self, request: Request, actions: &mut Vec<Action>) {
        let id = request.id;
        let class_index = request.class.filter(|&c| c < self.settings.classes.len());
        let class = class_index.map(|c| &self.settings.classes[c]);
        // Without a class, a read is assumed to be safe and a write to be unsafe.
        let default_effect = if request.write { Effect::Unsafe } else { Effect::Safe };
        let key = match &request.key {
            Some(key) => xxh3_64_with_seed(key.as_bytes(), 0),
            None => self.rng.u64(..),
        };
        let effect = match class.map_or(default_effect, |c| c.effect) {
            Effect::Keyed { .. } if !request.has_idempotency_key => Effect::Unsafe,
            effect => effect,
        };
        let mut open = OpenRequest::new(&request, key, effect, self.now);
        open.class = class_index.unwrap_or(self.settings.classes.len());
        open.aim = class.map_or(request.budget, |c| c.aim);
        open.worth = self.request_worth(&request);
        open.recently_requested = self.key_holders.record_request(key, self.now);
        open.time_left_bucket = self.time_left_bucket(&request, &open);
        let rejected = self.should_refuse_at_once(&open);
        self.open_requests.insert(id, open);
        if rejected {
            return self.refuse_or_fail(id, actions);
        }
        self.earn_budgets(self.open_requests[&id].class);
        self.advance(id, actions);
    }

    /// Takes the next step of a request that has no attempt in flight.
    fn advance(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.open_requests.get_mut(&id).filter(|r| !r.settled) else { return };
        if request.in_flight_attempts() > 0 {
            return; // a miss or failure does not end the request while another attempt is in flight
        }
        request.wait = WaitState::NotWaiting;
        let (write, filled_cache) = (request.write, request.filled_cache);
        let is_retry = !request.attempts.is_empty() && filled_cache.is_none();
        let (aside, max_attempts) = (self.settings.mode == Mode::Aside, self.settings.max_attempts);
        if self.now + self.settings.quantum >= request.deadline || request.attempts.len() >= max_attempts {
            return self.refuse_or_fail(id, actions);
        }
        if aside && (write || request.has_missed() && filled_cache.is_none()) {
            return self.fetch_from_origin(id, actions);
        }
        let work = self.relative_work(self.open_requests[&id].class);
        if is_retry && self.retry_budget < work && !write {
            // The retry budget keeps the load on failing caches close to that on healthy ones.
            return self.refuse_or_fail(id, actions);
        }
        let choice = self.choose_cache(id);
        if choice.as_ref().is_some_and(|c| c.skip_to_origin) {
            self.fetch_from_origin(id, actions);
        } else if self.limiters[CACHES].is_full() && !choice.as_ref().is_some_and(|c| c.idle) {
            // An idle cache is used beyond the limit, since slow caches may hold all slots of the limiter.
            self.enqueue(CACHES, id, actions);
        } else {
            self.retry_budget -= if is_retry { work } else { 0.0 };
            self.send_to_cache(id, choice, actions);
        }
    }

    fn send_to_cache(&mut self, id: RequestId, choice: Option<CacheChoice>, actions: &mut Vec<Action>) {
        let Some(filled) = self.open_requests.get_mut(&id).map(|r| r.filled_cache.take()) else { return };
        let sent = filled.is_some_and(|server| self.try_send(id, server, None, actions))
            || choice.is_some_and(|c| self.try_send(id, c.server, Some(c.hit_bucket), actions));
        if !sent && self.settings.mode == Mode::Aside && self.open_requests[&id].is_safe_read() {
            self.fetch_from_origin(id, actions); // no cache can take it
        } else if !sent {
            self.refuse_or_fail(id, actions);
        }
    }

    /// The key's candidate set: the usable caches of the highest ranks for that key (rendezvous hashing).
    /// Caches that are not usable are replaced by the next ranks.
    fn candidates(&self, key: u64) -> Vec<&Server> {
        let can_be_tried =
            |s: &Server| !self.is_suspect(s) || self.now >= s.next_probe_at && s.in_flight.is_empty();
        let is_usable =
            |s: &Server| can_be_tried(s) && self.send_credit(s) >= 1.0 && !self.is_zone_cut_off(s);
        let mut set = self.highest_ranked(key, CANDIDATES_PER_KEY, CacheFilter::All, is_usable);
        // One candidate of another zone is kept in the set, so that a zone with more traffic than its own
        // caches can carry has somewhere to send the rest.
        if self.own_zone_weight() > 1.0 && !set.iter().any(|s| self.is_other_zone(s)) {
            let usable_elsewhere = |s: &Server| self.is_other_zone(s) && is_usable(s);
            set.extend(self.highest_ranked(key, 1, CacheFilter::OtherZones, usable_elsewhere));
        }
        if set.is_empty() {
            return self.highest_ranked(key, CANDIDATES_PER_KEY, CacheFilter::All, |_| true);
        }
        set
    }

    /// Up to `count` caches of the highest ranks for a key that `accept` allows.
    fn highest_ranked(
        &self,
        key: u64,
        count: usize,
        filter: CacheFilter,
        accept: impl Fn(&Server) -> bool,
    ) -> Vec<&Server> {
        let inputs = RankingInputs {
            settings: &self.settings,
            servers: &self.servers,
            kinds: self.equal_weights.then_some(&self.kinds),
            own_zone_weight: self.own_zone_weight(),
            now: self.now,
        };
        let accepted_among = |examined: usize| -> Vec<&Server> {
            let ranked = self.ranking.highest(key, examined, filter, &inputs);
            let servers = ranked.into_iter().filter_map(|id| self.servers.get(&id));
            servers.filter(|s| accept(s)).take(count).collect()
        };
        let mut examined = RANKS_EXAMINED;
        loop {
            let servers = accepted_among(examined);
            if servers.len() == count || examined >= self.ranking.len() {
                return servers;
            }
            examined *= RANKS_EXAMINED; // most caches of the highest ranks are not usable
        }
    }

    /// Sends a copy of a late read if another candidate is idle and neither the caches nor the origin are
    /// overloaded, or retries the read if its attempt in flight counts as lost.
    fn hedge(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.open_requests.get(&id).filter(|r| !r.settled) else { return };
        let Some(current) = request.attempts.iter().find(|a| a.in_flight).map(|a| a.server) else { return };
        self.release_lost_attempts(current);
        let (request, current_server) = (&self.open_requests[&id], self.servers.get(&current));
        let may_copy =
            |s: &&Server| !s.member.origin && self.may_hedge(request) && request.in_flight_attempts() == 1;
        let Some(current_server) = current_server.filter(may_copy) else { return };
        let is_eligible =
            |s: &&Server| !request.has_tried(s.member.id) && !self.is_suspect(s) && !self.is_cold(s);
        let work = self.relative_work(request.class);
        let is_loaded = |l: &ConcurrencyLimiter| l.is_full() || l.overload_ratio > OVERLOAD_RATIO / 2.0;
        let may_not_copy = self.hedge_budget < work || self.limiters.iter().any(is_loaded);
        let others: Vec<&Server> = self.candidates(request.key).into_iter().filter(is_eligible).collect();
        let idle_server =
            others.iter().find(|s| !may_not_copy && self.is_idle(s, request.class)).map(|s| s.member.id);
        // An attempt that is lost or long overdue counts as failed: the retry may go to a busy cache.
        let lost = current_server.lost.iter().any(|l| l.0 == id);
        let may_retry = (lost || self.is_suspect(current_server))
            && !self.limiters[CACHES].is_full()
            && self.retry_budget >= work;
        let retry_server = others.first().filter(|_| may_retry).map(|s| s.member.id);
        if idle_server.is_some_and(|server| self.try_send(id, server, None, actions)) {
            self.hedge_budget -= work;
        } else if retry_server.is_some_and(|server| self.try_send(id, server, None, actions)) {
            self.retry_budget -= work;
        } else if self.open_requests[&id].deadline > self.now + self.settings.quantum {
            let request = &self.open_requests[&id];
            let usual = self.response_times[request.class].upper_bound(4.0);
            let mut aim_ends = request.attempts.iter().map(|a| a.sent_at.saturating_add(request.aim));
            let next_aim_end = aim_ends.find(|&t| t > self.now);
            self.set_timer(id, next_aim_end.map_or(usual, |t| usual.min(t - self.now)), actions);
        }
    }

    /// Whether the settings and the request allow two attempts in flight at once.
    fn may_hedge(&self, request: &OpenRequest) -> bool {
        self.settings.second_copies && request.is_safe_read() && !request.streaming
    }

    fn on_outcome(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let id = end.id;
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let Some(attempt) = request.attempts.get_mut(end.attempt).filter(|a| a.in_flight) else { return };
        (attempt.in_flight, attempt.may_have_run) = (false, end.outcome.may_have_run());
        attempt.missed = end.outcome == Outcome::Miss;
        let (server, key) = (attempt.server, request.key);
        let first_missed = request.attempts.iter().find(|a| a.missed).map(|a| a.server);
        let at_origin = self.servers.get(&server).is_some_and(|s| s.member.origin);
        let fetch_ended = request.leads_fetch && at_origin;
        request.leads_fetch &= !fetch_ended;
        self.learn_key_holders(&end);
        let lost = self.record_outcome(&end, server);
        if end.settled {
            self.record_served(id, true);
            self.end_request(id, actions);
        } else {
            self.advance(id, actions);
        }
        if fetch_ended {
            self.complete_fetch(key, first_missed.filter(|_| end.outcome == Outcome::Ok), actions);
        }
        lost.into_iter().for_each(|id| self.hedge(id, actions));
        self.admit_queued(usize::from(at_origin), actions);
        if self.open_requests.get(&id).is_some_and(|r| r.settled && r.in_flight_attempts() == 0) {
            self.open_requests.remove(&id);
        }
    }

    // ---- slow start and tenant shares ----

    /// Whether a server is in slow start.
    fn is_cold(&self, server: &Server) -> bool {
        server.warmth(&self.settings, self.now) < 1.0
    }

    /// Number of sends that a cold cache can take from this node now. The traffic that arrives here, divided
    /// by the number of caches, is this node's part of one cache's capacity: while every node keeps to its
    /// part, the cold cache is not overloaded.
    fn send_credit(&self, server: &Server) -> f64 {
        self.current_credit(server, server.send_credit)
    }

    /// A credit (its amount, and when that was computed), grown to the present time.
    fn current_credit(&self, server: &Server, (saved, at): (f64, Micros)) -> f64 {
        let share = if self.now < self.capacity_share.1 { self.capacity_share.0 } else { 0.0 };
        let arrivals = share * self.arrivals.per_second(self.now, self.rate_time_constant());
        let per_cache = arrivals / self.ranking.len().max(1) as f64;
        let rate = per_cache
            * server.warmth(&self.settings, self.now)
            * self.settings.overload_factor
            * SLOW_START_LOAD_FRACTION;
        let burst = (rate * self.settings.fall as f64 / 4e6).max(share.ceil()); // none without a share
        if self.is_cold(server) {
            (saved + rate * (self.now - at) as f64 / 1e6).min(burst)
        } else {
            f64::INFINITY
        }
    }

    /// Time constant of arrival rates and overload ratios, in microseconds.
    fn rate_time_constant(&self) -> f64 {
        (self.settings.cold as f64 / 4.0).max(1e6)
    }

    /// What serving a request is worth; less if its tenant exceeds its share of this node's traffic.
    fn request_worth(&mut self, request: &Request) -> f64 {
        let (now, tau) = (self.now, self.rate_time_constant());
        let all = self.arrivals.record(now, tau);
        let worth = request.class.and_then(|c| self.settings.classes.get(c)).map_or(1.0, |c| c.worth);
        let Some(tenant) = request.tenant.filter(|&t| t < self.tenant_arrivals.len()) else { return worth };
        let share = self.tenant_arrivals[tenant].record(now, tau) / all;
        let over_share = share > 1.25 * self.settings.tenant_shares[tenant];
        worth * if over_share { self.settings.over_share_worth } else { 1.0 }
    }

    // ---- the common path of all sends and all final answers ----

    /// Sends an attempt if that is allowed, and returns whether it was. Every attempt starts here.
    fn try_send(
        &mut self,
        id: RequestId,
        to: ServerId,
        hit_bucket: Option<HitBucket>,
        actions: &mut Vec<Action>,
    ) -> bool {
        let (Some(request), Some(server)) = (self.open_requests.get(&id), self.servers.get(&to)) else {
            return false;
        };
        let origin = server.member.origin;
        let times =
            if origin { &self.limiters[ORIGIN].response_times } else { &self.response_times[request.class] };
        let late = self.now + self.min_attempt_time(request, origin) >= request.deadline;
        if late || self.check_permitted(request, server, None).is_err() {
            return false;
        }
        // However a cold cache was chosen, it gets no more than this node's part of what it can take.
        let credit = self.send_credit(server);
        if credit < 1.0 {
            return false;
        }
        let (time_left, suspect) = (request.deadline - self.now, self.is_suspect(server));
        let (hedge_in, overdue_in) = (times.upper_bound(4.0), times.upper_bound(6.0).max(1));
        let sets_hedge_timer =
            self.may_hedge(request) && request.in_flight_attempts() == 0 && !origin && hedge_in < time_left;
        let hit_bucket = hit_bucket.unwrap_or_else(|| self.hit_bucket(request, server, CANDIDATES_PER_KEY));
        let server = self.servers.get_mut(&to).expect("looked up above");
        let request = self.open_requests.get_mut(&id).expect("looked up above");
        server.send_credit = (credit - 1.0, self.now);
        let zone = self.zones.entry(server.member.zone).or_default();
        // A suspect server or zone gets one probe at a time.
        let next_probe_at = self.now + 4 * overdue_in;
        server.next_probe_at = if suspect { next_probe_at } else { server.next_probe_at };
        let cut_off = zone.connect_failures + 1 >= ZONE_CUT_OFF_FAILURES;
        zone.next_probe_at = if cut_off { next_probe_at } else { zone.next_probe_at };
        server.in_flight.insert((self.now + overdue_in, id, request.attempts.len()));
        self.limiters[usize::from(origin)].in_flight += 1;
        request.wait = WaitState::NotWaiting;
        let (sent_at, in_flight) = (self.now, true);
        request.attempts.push(Attempt { server: to, sent_at, in_flight, hit_bucket, ..Attempt::default() });
        actions.push(Action::Send { id, server: to, timeout: time_left });
        if sets_hedge_timer {
            self.set_timer(id, hedge_in, actions);
        }
        true
    }

    /// The least time left with which an attempt is worth sending.
    fn min_attempt_time(&self, request: &OpenRequest, origin: bool) -> Micros {
        let times =
            if origin { &self.limiters[ORIGIN].response_times } else { &self.response_times[request.class] };
        // Keeps reads from being refused without any attempt because their clients have shortened their
        // time-outs.
        let factor = if request.is_safe_read() { MIN_TIME_FACTOR_SAFE_READ } else { MIN_TIME_FACTOR_OTHER };
        (times.uncongested_mean * factor) as Micros
    }

    /// Gives the final answer of a request that was not served: refused if a repeat is surely harmless, else
    /// failed.
    fn refuse_or_fail(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.open_requests.get(&id).filter(|r| !r.settled && !r.streaming);
        let Some(request) = request else { return };
        let may_have_run = |a: &Attempt| a.in_flight || a.may_have_run;
        if request.effect == Effect::Safe || !request.attempts.iter().any(may_have_run) {
            let usual = self.response_times[request.class].upper_bound(4.0);
            let delay = usual.min(self.settings.max_retry_after / 2);
            actions.push(Action::Refuse { id, retry_after: delay + self.rng.u64(0..=delay) });
        } else {
            actions.push(Action::Fail(id));
        }
        self.record_served(id, false);
        self.end_request(id, actions);
    }

    /// Ends a request: cancels its attempts in flight and lets those that wait for its fetch go on.
    fn end_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.open_requests.get_mut(&id).filter(|r| !r.settled) else { return };
        request.settled = true;
        self.limiters.iter_mut().for_each(|limiter| _ = limiter.queue.remove(&request.ticket));
        let (key, leads_fetch) = (request.key, std::mem::take(&mut request.leads_fetch));
        self.cancel_attempts(id, None, actions);
        if leads_fetch {
            self.complete_fetch(key, None, actions);
        }
        if self.open_requests.get(&id).is_some_and(|r| r.in_flight_attempts() == 0) {
            self.open_requests.remove(&id);
        }
    }

    fn cancel_attempts(&self, id: RequestId, keep: Option<usize>, actions: &mut Vec<Action>) {
        let attempts = self.open_requests[&id].attempts.iter().enumerate().filter(|_| self.settings.cancel);
        let cancelled = attempts.filter(|(index, a)| a.in_flight && Some(*index) != keep);
        actions.extend(cancelled.map(|(attempt, _)| Action::Cancel { id, attempt }));
    }

    fn on_timer(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.open_requests.get(&id).filter(|r| !r.settled && !r.streaming);
        let Some(request) = request else { return };
        if request.in_flight_attempts() > 0 {
            self.hedge(id, actions);
        } else if request.wait == WaitState::Backoff || self.now + self.settings.quantum >= request.deadline {
            self.advance(id, actions);
        } else if self.now >= self.sendable_until(request) {
            self.refuse_or_fail(id, actions);
        } else {
            self.set_wait_timeout(id, actions);
        }
    }

    /// Sets a timer of a request, due a quantum before its deadline at the latest.
    fn set_timer(&self, id: RequestId, after: Micros, actions: &mut Vec<Action>) {
        let left = self.open_requests[&id].deadline.saturating_sub(self.now + self.settings.quantum);
        actions.push(Action::SetTimer { after: after.min(left).max(1), token: TimerToken(id.0.into()) });
    }
}
