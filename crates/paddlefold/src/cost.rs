//! Expected cost of sending a read to a cache, from the queue there, the price of crossing zones and the
//! chance of a miss. The inputs are the settings (prices, aims of classes) and what answers have shown of
//! response times and misses. Costs are fractions of a read's worth (a delay of one aim costs the whole
//! worth) or, where stated, numbers of requests in flight at the cache.

use super::*;

/// The fraction of its response time by which a request in flight delays the next one: a cache works on
/// several at once.
const QUEUEING_FRACTION: f64 = 0.5;
/// What a lookup that misses costs the cache, in requests in flight there.
const MISSED_LOOKUP_COST: f64 = 0.5;
/// A cache that holds a key with at least this probability is asked however fast the origin is, since caches
/// are there to keep load off the origin.
const LIKELY_HIT: f64 = 0.5;
/// Cost of each further rank, in requests in flight, where nothing else tells the caches apart.
const RANK_TIE_BREAK: f64 = 1e-3;
/// The same where caches fetch missing values by themselves, so that a miss costs the cache that has it.
const RANK_AFFINITY: f64 = 0.6;

/// A read with little time left is tried where at least this fraction of such reads was served.
const MIN_SERVED_RATIO: f64 = 0.6;
/// The fraction of reads that is tried where fewer were served, to find out whether that still holds.
const PROBE_RATIO: f64 = 1.0 / 16.0;
/// Number of reads over which the served ratio and the usual work are averaged.
const AVERAGING_SAMPLES: f64 = 32.0;

/// Caches in which the origin's answer is stored.
const CACHES_FILLED: usize = 2;

/// The cache chosen for a read.
pub(super) struct CacheChoice {
    pub server: ServerId,
    pub hit_bucket: HitBucket,
    /// The cache has idle capacity.
    pub idle: bool,
    /// A lookup there costs more than it is likely to gain: the origin is asked at once.
    pub skip_to_origin: bool,
}

impl Balancer {
    /// The candidate of the request's key with the lowest expected cost.
    pub(super) fn choose_cache(&self, id: RequestId) -> Option<CacheChoice> {
        let request = &self.open_requests[&id];
        // A cache that this request has tried before is chosen only if all candidates were tried.
        let tried_penalty = |s: &Server| if request.has_tried(s.member.id) { 1e9 } else { 0.0 };
        let cost = |(rank, s): &(usize, &Server)| {
            tried_penalty(s) + self.queue_cost(s) + self.lookup_cost(request, s, *rank)
        };
        let candidates = self.candidates(request.key).into_iter().enumerate();
        let (rank, server) = candidates.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        let hit_bucket = self.hit_bucket(request, server, rank);
        let skip_to_origin = self.should_skip_to_origin(request, server, hit_bucket);
        let idle = self.is_idle(server, request.class);
        Some(CacheChoice { server: server.member.id, hit_bucket, idle, skip_to_origin })
    }

    /// This node's requests in flight at a cache, weighted by its slowness.
    fn queue_cost(&self, server: &Server) -> f64 {
        // A cache without an answer yet is never considered idle: it counts at least the mean of all caches.
        let mean = self.limiters[CACHES].in_flight as f64 / self.ranking.len().max(1) as f64;
        let min_queue = if server.last_response_at.is_none() { mean } else { 0.0 };
        let queue = (server.in_flight.len() as f64).max(min_queue);
        (queue + 1.0) * server.slowness(self.now)
    }

    /// Whether a cache has idle capacity: no attempt of this node in flight, and about as fast as all caches
    /// are without congestion.
    pub(super) fn is_idle(&self, server: &Server, class: usize) -> bool {
        let times = &self.response_times[class];
        server.in_flight.is_empty()
            && server.slowness(self.now) * times.mean < SLOWNESS_THRESHOLD / 2.0 * times.uncongested_mean
    }

    /// What asking this cache costs a read apart from the queue, in requests in flight there.
    fn lookup_cost(&self, request: &OpenRequest, server: &Server, rank: usize) -> f64 {
        let miss = match self.settings.mode {
            Mode::Aside => {
                let hit_probability =
                    self.key_holders.hit_probability(self.hit_bucket(request, server, rank));
                (1.0 - hit_probability) * self.fetch_cost(request)
            }
            Mode::Through => RANK_AFFINITY * rank as f64 * self.queue_slot_cost(request),
        };
        (self.crossing_cost(server) + miss) / self.queue_slot_cost(request) + RANK_TIE_BREAK * rank as f64
    }

    /// Whether a read gains less from asking this cache than that costs, so that the origin is asked at once.
    ///
    /// This prevents two failures: lookups that miss in another zone, which cross zones twice, and keys
    /// requested only once that evict from a small cache the keys that are requested again. A key that was
    /// requested before, within the time for which caches keep keys, is stored in a near cache. A cache is
    /// asked even so while the origin is overloaded: it may hold keys that this node does not know of.
    fn should_skip_to_origin(&self, request: &OpenRequest, server: &Server, hit_bucket: HitBucket) -> bool {
        let limiter = &self.limiters[ORIGIN];
        let is_first_attempt = request.attempts.is_empty() && request.filled_cache.is_none();
        if self.settings.mode == Mode::Through || !request.is_safe_read() || !is_first_attempt {
            return false;
        }
        let spare_origin =
            self.origin.is_none() || limiter.is_full() || limiter.overload_ratio > OVERLOAD_RATIO / 2.0;
        let hit_probability = self.key_holders.hit_probability(hit_bucket);
        let gain = hit_probability * self.fetch_cost(request);
        let wanted_in_cache =
            request.recently_requested && !self.is_in_costly_zone(server) || hit_probability >= LIKELY_HIT;
        !(spare_origin || wanted_in_cache)
            && gain < self.crossing_cost(server) + MISSED_LOOKUP_COST * self.queue_slot_cost(request)
    }

    /// Work of a request of a class, in requests of usual work; at most as much as a budget can save up.
    pub(super) fn relative_work(&self, class: usize) -> f64 {
        (self.response_times[class].uncongested_mean / self.usual_work.max(1.0)).min(MAX_SAVED_BUDGET)
    }

    /// Adds a fraction of an arriving request's work to the budgets of copies and retries.
    pub(super) fn earn_budgets(&mut self, class: usize) {
        let work = self.response_times[class].uncongested_mean;
        let weight = if self.usual_work > 0.0 { 1.0 / AVERAGING_SAMPLES } else { 1.0 };
        self.usual_work += (work - self.usual_work) * weight;
        let earned = |ratio: f64| ratio * self.relative_work(class);
        let (hedge, retry) = (earned(HEDGE_BUDGET_RATIO), earned(RETRY_BUDGET_RATIO));
        self.hedge_budget = (self.hedge_budget + hedge).min(MAX_SAVED_BUDGET);
        self.retry_budget = (self.retry_budget + retry).min(MAX_SAVED_BUDGET);
    }

    /// The bucket of a read's time left on arrival; none if that is ample.
    pub(super) fn time_left_bucket(&self, request: &Request, open: &OpenRequest) -> Option<usize> {
        let usual = self.response_times[open.class].uncongested_mean;
        let time_left = request.budget as f64 / usual.max(1.0);
        ServedRatios::bucket(time_left).filter(|_| open.is_safe_read())
    }

    /// Whether to refuse a read at once, because reads that arrived with as little time left were seldom
    /// served of late. A random `PROBE_RATIO` of them is tried even so.
    ///
    /// Such reads come from impatient clients: they are given up before an answer can come, after a miss and
    /// a fetch each, and the clients allow more time only once they are answered. The drawback: reads that
    /// would have been answered in time by chance are refused too.
    pub(super) fn should_refuse_at_once(&mut self, request: &OpenRequest) -> bool {
        let tau = self.rate_time_constant();
        let ratio =
            request.time_left_bucket.map_or(1.0, |bucket| self.served_ratios.ratio(bucket, self.now, tau));
        ratio < MIN_SERVED_RATIO && self.rng.f64() >= PROBE_RATIO
    }

    /// Records whether a read that was tried was served.
    pub(super) fn record_served(&mut self, id: RequestId, served: bool) {
        let request = self.open_requests.get(&id).filter(|r| !r.settled && !r.attempts.is_empty());
        if let Some(bucket) = request.and_then(|r| r.time_left_bucket) {
            let tau = self.rate_time_constant();
            self.served_ratios.record(bucket, served, AVERAGING_SAMPLES, self.now, tau);
        }
    }

    /// What is known of the request's key at a cache of that rank.
    pub(super) fn hit_bucket(&self, request: &OpenRequest, server: &Server, rank: usize) -> HitBucket {
        let role = match rank {
            _ if self.is_in_costly_zone(server) => CandidateRole::OtherZone,
            0 => CandidateRole::Primary,
            _ => CandidateRole::Secondary,
        };
        self.key_holders.hit_bucket(request.key, server.member.id, role, self.now)
    }

    /// What a request in flight at a cache costs the next one there, as a fraction of its worth.
    fn queue_slot_cost(&self, request: &OpenRequest) -> f64 {
        let delay = QUEUEING_FRACTION * self.response_times[request.class].uncongested_mean;
        (delay / (request.aim as f64).max(1.0)).max(RANK_TIE_BREAK)
    }

    /// What a fetch from the origin costs a read, as a fraction of its worth.
    fn fetch_cost(&self, request: &OpenRequest) -> f64 {
        let origin = self.origin.and_then(|id| self.servers.get(&id));
        let crossing = origin.map_or(0.0, |s| self.crossing_cost(s));
        self.limiters[ORIGIN].response_times.mean / (request.aim as f64).max(1.0) + crossing
    }

    /// The price of crossing zones to a server, as a fraction of a read's worth.
    fn crossing_cost(&self, server: &Server) -> f64 {
        let price = self.settings.cross_zone_price;
        if self.is_other_zone(server) && price.is_finite() { price.max(0.0) } else { 0.0 }
    }

    pub(super) fn is_other_zone(&self, server: &Server) -> bool {
        self.settings.zone.is_some_and(|zone| zone != server.member.zone)
    }

    /// In another zone, where crossing has a price high enough to prefer candidates of the own zone.
    fn is_in_costly_zone(&self, server: &Server) -> bool {
        self.is_other_zone(server) && self.own_zone_weight() > 1.0
    }

    /// Factor on the weights of the own zone's caches in the ranking: above 1 where crossing zones costs more
    /// than 1 % of a read's worth. A lower price does not justify candidate sets that differ by zone.
    pub(super) fn own_zone_weight(&self) -> f64 {
        (100.0 * self.settings.cross_zone_price).powf(1.5).max(1.0)
    }

    /// Learns from the end of an attempt which caches hold the key.
    pub(super) fn learn_key_holders(&mut self, end: &AttemptEnd) {
        let Some(request) = self.open_requests.get(&end.id) else { return };
        let (attempt, key) = (&request.attempts[end.attempt], request.key);
        let at_origin = self.servers.get(&attempt.server).is_some_and(|s| s.member.origin);
        match end.outcome {
            Outcome::Ok if request.write => self.key_holders.remove_holder(key, None),
            // The origin's answer is stored in the first caches that missed for this request.
            Outcome::Ok if at_origin => {
                let missed = request.attempts.iter().filter(|a| a.missed).take(CACHES_FILLED);
                missed.for_each(|a| self.key_holders.add_holder(key, a.server, self.now));
            }
            Outcome::Ok => {
                self.key_holders.record_lookup(attempt.hit_bucket, end.hit != Some(false));
                self.key_holders.add_holder(key, attempt.server, self.now);
            }
            Outcome::Miss => {
                self.key_holders.record_lookup(attempt.hit_bucket, false);
                self.key_holders.remove_holder(key, Some(attempt.server));
            }
            _ => {}
        }
    }
}
