//! Admission to the caches and to the origin: adaptive concurrency limits, the queues of requests that wait
//! for a slot, and single-flight fetches from the origin.

use super::*;

impl Balancer {
    /// Sends to the origin: a write, a read that missed, or a read for which no cache can be asked or is
    /// worth asking. Reads of a key that is being fetched wait for that fetch.
    pub(super) fn fetch_from_origin(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(origin) = self.origin else { return self.refuse_or_fail(id, actions) };
        let request = self.open_requests.get_mut(&id).expect("the caller holds an open request");
        if !request.write && !request.leads_fetch {
            if let Some(waiters) = self.fetch_waiters.get_mut(&request.key) {
                waiters.push(id);
                request.wait = WaitState::InFlightFetch;
                return self.set_wait_timeout(id, actions);
            }
            self.fetch_waiters.insert(request.key, Vec::new());
            request.leads_fetch = true;
        }
        // While many fetches fail or are slow, some reads wait first: hundreds of nodes with a fetch or two
        // each would otherwise overload the origin, and writes would fail.
        let excess_ratio = self.limiters[ORIGIN].overload_ratio - OVERLOAD_RATIO;
        if !request.write && self.rng.f64() < excess_ratio {
            request.wait = WaitState::Backoff;
            self.set_timer(id, self.limiters[ORIGIN].response_times.mean as Micros, actions);
        } else if self.limiters[ORIGIN].is_full() {
            self.enqueue(ORIGIN, id, actions);
        } else if !self.try_send(id, origin, None, actions) {
            self.refuse_or_fail(id, actions);
        }
    }

    /// Queues a request until a slot is free: writes first, then reads by worth, and last the reads that have
    /// used more than half of their aim and will be late.
    pub(super) fn enqueue(&mut self, limiter: usize, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.open_requests.get_mut(&id).expect("the caller holds an open request");
        request.wait = WaitState::ConcurrencySlot;
        let timeliness =
            if self.now <= request.arrived_at.saturating_add(request.aim / 2) { 1.0 } else { 0.01 };
        let priority = request.worth * if request.write { 1e3 } else { timeliness };
        request.ticket = self.limiters[limiter].enqueue(priority, id);
        self.set_wait_timeout(id, actions);
    }

    /// Until when a waiting request without an attempt in flight could still be sent: to the origin or to a
    /// cache. In mode `Aside`, only writes and reads that missed count as waiting for a slot at the origin;
    /// all others, including those that wait for another request's fetch, count as sent to a cache.
    pub(super) fn sendable_until(&self, request: &OpenRequest) -> Micros {
        let to_origin = request.wait == WaitState::ConcurrencySlot
            && self.settings.mode == Mode::Aside
            && (request.write || request.has_missed());
        request.deadline.saturating_sub(self.min_attempt_time(request, to_origin).max(self.settings.quantum))
    }

    /// Sets the timer of a waiting request without an attempt in flight, due when it is too late to send one.
    pub(super) fn set_wait_timeout(&self, id: RequestId, actions: &mut Vec<Action>) {
        let left = self.sendable_until(&self.open_requests[&id]).saturating_sub(self.now);
        actions.push(Action::SetTimer { after: left.max(1), token: TimerToken(id.0.into()) });
    }

    /// Sends queued requests while slots are free.
    pub(super) fn admit_queued(&mut self, limiter: usize, actions: &mut Vec<Action>) {
        while !self.limiters[limiter].is_full() {
            let Some((_, _, id)) = self.limiters[limiter].queue.pop_first() else { return };
            match self.origin.filter(|_| limiter == ORIGIN) {
                Some(origin) if self.try_send(id, origin, None, actions) => {}
                None if limiter == CACHES => self.send_to_cache(id, self.choose_cache(id), actions),
                _ => self.refuse_or_fail(id, actions),
            }
        }
    }

    /// Ends a fetch: the requests that waited for it read the cache that it filled, or one of them fetches
    /// anew.
    pub(super) fn complete_fetch(&mut self, key: u64, filled: Option<ServerId>, actions: &mut Vec<Action>) {
        for id in self.fetch_waiters.remove(&key).unwrap_or_default() {
            let request = self.open_requests.get_mut(&id);
            if let Some(request) = request.filter(|r| r.wait == WaitState::InFlightFetch) {
                request.filled_cache = filled;
                self.advance(id, actions);
            }
        }
    }

    /// Adapts a concurrency limit to the result of an attempt: it falls when many attempts fail or are slow
    /// and rises while all goes well. Up to half of the usual number in flight it rises quickly, so that a
    /// node is not held back after a restart or an overload.
    pub(super) fn adapt_limit(
        limiter: &mut ConcurrencyLimiter,
        min_limit: f64,
        now: Micros,
        failed_or_slow: bool,
        tau: f64,
    ) {
        limiter.record_result(failed_or_slow, OVERLOAD_RATIO / 3.0, now, tau);
        if !failed_or_slow && limiter.in_flight as f64 + 1.0 > limiter.limit / 2.0 {
            let below_usual = limiter.limit < limiter.usual_in_flight / 2.0;
            limiter.limit += if below_usual { 0.5 } else { 1.0 / limiter.limit };
        } else if failed_or_slow && limiter.overload_ratio > OVERLOAD_RATIO && now >= limiter.next_decrease_at
        {
            limiter.limit = (limiter.limit.min(limiter.in_flight as f64 + 1.0) * 0.7).max(min_limit);
            limiter.next_decrease_at = now + limiter.response_times.mean as Micros;
        }
    }
}
