//! State of the decision module: servers, open requests, concurrency limiters and statistics. Plain data; no
//! decision is made here. Times are in microseconds.

use std::collections::{BTreeMap, BTreeSet};

use crate::api::*;
use crate::holders::HitBucket;

/// The rate of an event, estimated from a count that decays exponentially with the time constant `tau`.
pub(crate) struct Rate {
    decayed_count: f64,
    updated_at: Micros,
}

impl Rate {
    pub fn new(now: Micros) -> Self {
        Rate { decayed_count: 0.0, updated_at: now }
    }
    pub fn per_second(&self, now: Micros, tau: f64) -> f64 {
        self.decayed_count * (-((now - self.updated_at) as f64) / tau).exp() / tau * 1e6
    }
    /// Counts one event; returns the new rate per second.
    pub fn record(&mut self, now: Micros, tau: f64) -> f64 {
        self.decayed_count = self.decayed_count * (-((now - self.updated_at) as f64) / tau).exp() + 1.0;
        self.updated_at = now;
        self.decayed_count / tau * 1e6
    }
}

/// Response times: exponentially weighted mean and mean deviation.
#[derive(Default)]
pub(crate) struct ResponseTimes {
    pub mean: f64,
    mean_deviation: f64,
    /// The least mean of late, taken as the mean without congestion. It rises by at most 0.05 % with each
    /// answer.
    pub uncongested_mean: f64,
}

impl ResponseTimes {
    /// An estimate to start from, before the first answer.
    pub fn initial(mean: f64) -> Self {
        ResponseTimes { mean, mean_deviation: mean / 4.0, uncongested_mean: mean }
    }
    pub fn record(&mut self, elapsed: Micros) {
        let difference = elapsed as f64 - self.mean;
        self.mean += difference / 16.0;
        self.mean_deviation += (difference.abs() - self.mean_deviation) / 16.0;
        self.uncongested_mean = self.mean.min(self.uncongested_mean * 1.0005);
    }
    /// The time within which nearly all answers come: the mean and this many mean deviations.
    pub fn upper_bound(&self, deviations: f64) -> Micros {
        (self.mean + deviations * self.mean_deviation) as Micros
    }
}

/// Buckets of [`ServedRatios`], two for each doubling of the time left.
const TIME_LEFT_BUCKETS: usize = 9;

/// The fraction of reads that were served, by how little time they had left when they arrived. Without new
/// reads each ratio rises back towards 1, so that few served reads are enough for a bucket to be trusted
/// again.
pub(crate) struct ServedRatios([(f64, Micros); TIME_LEFT_BUCKETS]);

impl ServedRatios {
    pub fn new(now: Micros) -> Self {
        ServedRatios([(1.0, now); TIME_LEFT_BUCKETS])
    }
    /// The bucket of a time left, given as a multiple of the usual response time; none if that time is ample.
    pub fn bucket(time_left: f64) -> Option<usize> {
        let bucket = (2.0 * time_left.max(0.1).log2() + 2.0).max(0.0) as usize;
        Some(bucket).filter(|&bucket| bucket < TIME_LEFT_BUCKETS)
    }
    pub fn ratio(&self, bucket: usize, now: Micros, tau: f64) -> f64 {
        let (ratio, updated_at) = self.0[bucket];
        1.0 - (1.0 - ratio) * (-((now - updated_at) as f64) / tau).exp()
    }
    /// Records whether a read was served; the ratio is a mean over about `samples` reads.
    pub fn record(&mut self, bucket: usize, served: bool, samples: f64, now: Micros, tau: f64) {
        let ratio = self.ratio(bucket, now, tau);
        self.0[bucket] = (ratio + (f64::from(u8::from(served)) - ratio) / samples, now);
    }
}

/// Response times of one kind of machine relative to all caches, 1 being usual.
pub(crate) struct KindSlowness {
    pub slowness: f64,
    samples: f64,
}

impl KindSlowness {
    pub fn new() -> Self {
        KindSlowness { slowness: 1.0, samples: 8.0 }
    }
    pub fn record(&mut self, sample: f64) {
        self.samples = (self.samples + 1.0).min(64.0);
        self.slowness += (sample - self.slowness) / self.samples;
    }
}

/// Reachability of a zone.
#[derive(Default)]
pub(crate) struct ZoneHealth {
    /// Connection failures in a row, at any of its servers.
    pub connect_failures: u32,
    /// While it is cut off: when it may be tried again.
    pub next_probe_at: Micros,
    /// The least response time of late; none before the first answer.
    min_response_time: Option<f64>,
}

impl ZoneHealth {
    /// Records an answer. The minimum rises by 0.01 % with each answer, since a zone that is near now may be
    /// far some seconds later.
    pub fn record_response(&mut self, elapsed: Micros) {
        let min = self.min_response_time.map_or(f64::MAX, |min| min * 1.0001);
        self.min_response_time = Some(min.min(elapsed as f64));
    }
}

/// How much longer the fastest answers of a zone take than those of the fastest zone.
pub(crate) fn extra_zone_latency(zones: &BTreeMap<u32, ZoneHealth>, zone: u32) -> Micros {
    let min_response_time = |zone: &ZoneHealth| zone.min_response_time;
    let fastest = zones.values().filter_map(min_response_time).reduce(f64::min);
    let of_zone = zones.get(&zone).and_then(min_response_time);
    of_zone.zip(fastest).map_or(0, |(of_zone, fastest)| (of_zone - fastest) as Micros)
}

/// Index of the concurrency limiter of all caches together.
pub(crate) const CACHES: usize = 0;
/// Index of the concurrency limiter of the origin.
pub(crate) const ORIGIN: usize = 1;

/// Position of a request in a limiter's queue; the least is admitted first.
pub(crate) type QueueTicket = (u64, u64, RequestId);

/// Limits how many attempts of this node are in flight at the caches together, or at the origin.
#[derive(Default)]
pub(crate) struct ConcurrencyLimiter {
    pub response_times: ResponseTimes,
    pub limit: f64,
    pub in_flight: usize,
    /// The fraction of recent attempts that failed or were too slow.
    pub overload_ratio: f64,
    /// When the overload ratio was last updated.
    pub updated_at: Micros,
    /// Mean number of attempts in flight while few attempts fail or are too slow.
    pub usual_in_flight: f64,
    /// The limit is not lowered again before this time.
    pub next_decrease_at: Micros,
    /// Requests that wait for a slot: highest priority first, then newest first.
    pub queue: BTreeSet<QueueTicket>,
    pub tickets_issued: u64,
}

impl ConcurrencyLimiter {
    pub fn new(mean_response_time: f64, limit: f64, usual_in_flight: f64) -> Self {
        let response_times = ResponseTimes::initial(mean_response_time);
        ConcurrencyLimiter { response_times, limit, usual_in_flight, ..ConcurrencyLimiter::default() }
    }
    /// Records whether an attempt failed or was too slow. While the overload ratio is below
    /// `low_overload_ratio`, the number in flight counts towards the usual one.
    pub fn record_result(&mut self, failed_or_slow: bool, low_overload_ratio: f64, now: Micros, tau: f64) {
        // Old results lose weight with time where attempts are few, and with their number where they are
        // many.
        let weight = 1.0 - (-(now.saturating_sub(self.updated_at) as f64) / tau).exp();
        self.updated_at = now;
        self.overload_ratio +=
            (f64::from(u8::from(failed_or_slow)) - self.overload_ratio) * weight.max(1.0 / 16.0);
        if self.overload_ratio < low_overload_ratio {
            self.usual_in_flight += (self.in_flight as f64 + 1.0 - self.usual_in_flight) / 64.0;
        }
    }
    pub fn is_full(&self) -> bool {
        self.in_flight as f64 + 1.0 > self.limit
    }
    pub fn enqueue(&mut self, priority: f64, id: RequestId) -> QueueTicket {
        self.tickets_issued += 1;
        let ticket = (u64::MAX - (priority * 1e3) as u64, u64::MAX - self.tickets_issued, id);
        self.queue.insert(ticket);
        ticket
    }
}

/// Time constant with which a server's observed slowness decays towards the usual, in microseconds.
const SLOWNESS_DECAY_US: f64 = 10e6;
/// Time constant with which the previous slowness loses weight against a new sample, in microseconds.
const SAMPLE_WINDOW_US: f64 = 3e6;

#[derive(Default)]
pub(crate) struct Server {
    pub member: Member,
    /// When it last started, while it is in slow start as far as is known.
    pub slow_start_since: Option<Micros>,
    /// Attempts of this node in flight there, as (time from which it is overdue, request, attempt).
    pub in_flight: BTreeSet<(Micros, RequestId, usize)>,
    /// Attempts in flight that are considered lost: they take no slot.
    pub lost: BTreeSet<(RequestId, usize)>,
    /// When the last attempt was sent that it answered without queueing.
    pub last_prompt_attempt_sent_at: Micros,
    /// Response times relative to all caches, 1 being usual, as of `sampled_at`.
    slowness: f64,
    sampled_at: Micros,
    pub last_response_at: Option<Micros>,
    /// Attempts in a row that had no answer.
    pub unanswered_attempts: u32,
    /// While it is suspect: when one request may probe it again.
    pub next_probe_at: Micros,
    /// Sends saved up in slow start, and when that was computed.
    pub send_credit: (f64, Micros),
    /// The same, charged when attempts begin: those whose connections take long begin later than they were
    /// decided.
    pub begin_credit: (f64, Micros),
    /// Slowness as reported by other nodes, and until when that is valid.
    pub peer_slowness: (f64, Micros),
}

impl Server {
    pub fn new(member: Member, now: Micros) -> Self {
        Server {
            member,
            slowness: 1.0,
            sampled_at: now,
            next_probe_at: now,
            send_credit: (0.0, now),
            begin_credit: (0.0, now),
            ..Server::default()
        }
    }
    /// Removes an attempt from those in flight; returns from when it was overdue.
    pub fn remove_in_flight(&mut self, id: RequestId, attempt: usize) -> Option<Micros> {
        let entry = self.in_flight.iter().find(|entry| (entry.1, entry.2) == (id, attempt)).copied()?;
        self.in_flight.remove(&entry);
        Some(entry.0)
    }
    /// Resets it after a restart of the server: in slow start, unless that start is long ago, without a
    /// record of slowness or failures, and with part of a send saved up.
    pub fn reset_after_restart(&mut self, slow_start_since: Option<Micros>, now: Micros, saved: f64) {
        self.slow_start_since = slow_start_since;
        (self.slowness, self.unanswered_attempts, self.peer_slowness) = (1.0, 0, (0.0, 0));
        (self.send_credit, self.begin_credit) = ((saved, now), (saved, now));
    }
    /// Response times relative to all caches, by this node's own requests. Old samples lose weight with time.
    pub fn own_slowness(&self, now: Micros) -> f64 {
        1.0 + (self.slowness - 1.0) * (-((now - self.sampled_at) as f64) / SLOWNESS_DECAY_US).exp()
    }
    /// The greater of this node's estimate and the one reported by other nodes, while that is valid.
    pub fn slowness(&self, now: Micros) -> f64 {
        let (peer_slowness, valid_until) = self.peer_slowness;
        self.own_slowness(now).max(if now < valid_until { peer_slowness } else { 0.0 })
    }
    /// Adds a sample, with at least the weight `min_weight` and more the longer ago the last sample was.
    ///
    /// The higher weight matters where each of many nodes meets a server every few seconds only: with a fixed
    /// weight, each of them would need several samples to find out that it is slow or fails.
    pub fn add_sample(&mut self, slowness: f64, min_weight: f64, now: Micros) {
        let weight = 1.0 - (-((now - self.sampled_at) as f64) / SAMPLE_WINDOW_US).exp();
        let before = self.own_slowness(now);
        self.slowness = before + (slowness - before) * weight.max(min_weight);
        self.sampled_at = now;
    }
    /// The fraction of its capacity that it has for certain since its start, according to the settings.
    pub fn warmth(&self, settings: &Settings, now: Micros) -> f64 {
        let initial = settings.cold_from.clamp(0.0, 1.0);
        match self.slow_start_since.map(|t| now.saturating_sub(t)).filter(|&age| age < settings.cold) {
            Some(age) => initial + (1.0 - initial) * age as f64 / settings.cold as f64,
            None => 1.0,
        }
    }
    /// In service, and not the origin.
    pub fn is_cache(&self) -> bool {
        self.member.state == MemberState::Up && !self.member.origin
    }
}

#[derive(Default)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub sent_at: Micros,
    pub in_flight: bool,
    pub may_have_run: bool,
    pub missed: bool,
    /// What was known of its key at that cache.
    pub hit_bucket: HitBucket,
}

/// What a request without an attempt in flight waits for.
#[derive(Clone, Copy, Default, PartialEq)]
pub(crate) enum WaitState {
    #[default]
    NotWaiting,
    /// Another request's fetch of the same key.
    InFlightFetch,
    /// A slot of the concurrency limiter of the caches or of the origin.
    ConcurrencySlot,
    /// A delay before the next attempt.
    Backoff,
}

/// A request that has no final answer yet, or has an attempt in flight.
#[derive(Default)]
pub(crate) struct OpenRequest {
    pub class: usize,
    pub aim: Micros,
    pub worth: f64,
    /// Hash of the key.
    pub key: u64,
    pub deadline: Micros,
    pub arrived_at: Micros,
    pub write: bool,
    pub effect: Effect,
    pub attempts: Vec<Attempt>,
    pub wait: WaitState,
    /// Its latest position in a queue.
    pub ticket: QueueTicket,
    /// It fetches its key from the origin, also for the requests that wait for that fetch.
    pub leads_fetch: bool,
    /// Its key was requested before, within the time for which caches keep keys.
    pub recently_requested: bool,
    /// Bucket of its time left on arrival, if that was short; see [`ServedRatios`].
    pub time_left_bucket: Option<usize>,
    /// The cache in which the fetch that it waited for has stored the value.
    pub filled_cache: Option<ServerId>,
    pub settled: bool,
    pub streaming: bool,
}

impl OpenRequest {
    pub fn new(request: &Request, key: u64, effect: Effect, now: Micros) -> Self {
        OpenRequest {
            worth: 1.0,
            key,
            deadline: now.saturating_add(request.budget),
            arrived_at: now,
            write: request.write,
            effect,
            ticket: (0, 0, request.id),
            ..OpenRequest::default()
        }
    }
    /// Number of attempts in flight.
    pub fn in_flight_attempts(&self) -> usize {
        self.attempts.iter().filter(|a| a.in_flight).count()
    }
    pub fn has_tried(&self, server: ServerId) -> bool {
        self.attempts.iter().any(|a| a.server == server)
    }
    pub fn has_missed(&self) -> bool {
        self.attempts.iter().any(|a| a.missed)
    }
    /// Whether it is a read of a safe class; only these are copied (hedged).
    pub fn is_safe_read(&self) -> bool {
        !self.write && self.effect == Effect::Safe
    }
}
