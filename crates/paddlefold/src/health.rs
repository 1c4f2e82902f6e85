//! Health of caches, zones and kinds of machines, learned from the ends of this node's own attempts alone.

use super::*;

impl Balancer {
    /// Learns from the end of an attempt; returns the requests whose attempts at that server it shows to be
    /// lost.
    pub(super) fn record_outcome(&mut self, end: &AttemptEnd, server: ServerId) -> Vec<RequestId> {
        self.update_health(end, server);
        self.release_lost_attempts(server)
    }

    /// Releases the overdue attempts at a server that has promptly answered an attempt sent later: they are
    /// not in a queue there, so they are lost. An attempt is overdue at the latest when its aim has passed,
    /// however much response times vary. Under overload the aim does not count: then all answers take long,
    /// and nothing is gained by asking again.
    ///
    /// This handles servers that drop some requests and answer all others: the lost attempts would take all
    /// slots of the limiter, and every cache would become suspect. It also covers lost answers and
    /// connections that broke without notice. The drawback: where an overloaded server takes the newest
    /// request first, those that wait there hold no slot from then on.
    pub(super) fn release_lost_attempts(&mut self, server_id: ServerId) -> Vec<RequestId> {
        let Some(server) = self.servers.get(&server_id) else { return Vec::new() };
        let overloaded = self.limiters[CACHES].overload_ratio > OVERLOAD_RATIO;
        let is_lost = |&&(overdue_at, id, attempt): &&(Micros, RequestId, usize)| {
            let Some(request) = self.open_requests.get(&id) else { return false };
            let sent_at = request.attempts[attempt].sent_at;
            let late_at =
                if overloaded { overdue_at } else { overdue_at.min(sent_at.saturating_add(request.aim)) };
            sent_at.saturating_add(request.aim / 4) < server.last_prompt_attempt_sent_at
                && self.now >= late_at
        };
        let lost: Vec<_> = server.in_flight.iter().filter(is_lost).copied().collect();
        lost.iter().for_each(|&(_, id, attempt)| self.release_attempt(id, attempt, server_id));
        lost.into_iter().map(|(_, id, _)| id).collect()
    }

    /// Releases an attempt that is still in flight: it takes no slot any more, and does not count as overdue.
    pub(super) fn release_attempt(&mut self, id: RequestId, attempt: usize, server: ServerId) {
        let Some(server) = self.servers.get_mut(&server) else { return };
        if server.remove_in_flight(id, attempt).is_some() {
            server.lost.insert((id, attempt));
            let limiter = &mut self.limiters[usize::from(server.member.origin)];
            limiter.in_flight = limiter.in_flight.saturating_sub(1);
        }
    }

    fn update_health(&mut self, end: &AttemptEnd, server: ServerId) {
        let (class, aim) = self.open_requests.get(&end.id).map_or((0, 0), |r| (r.class, r.aim));
        let tau = self.rate_time_constant();
        let Some(server) = self.servers.get_mut(&server) else { return };
        let overdue =
            server.remove_in_flight(end.id, end.attempt).is_some_and(|overdue_at| overdue_at <= self.now);
        let (outcome, elapsed) = (end.outcome, end.elapsed);
        let lost = server.lost.remove(&(end.id, end.attempt));
        let sent_at = self.now.saturating_sub(elapsed);
        let was_overtaken = server.last_prompt_attempt_sent_at > sent_at + aim / 4;
        if lost && matches!(outcome, Outcome::TimedOut | Outcome::Canceled) {
            return; // its slot was freed when it was released; its end says nothing about the server
        }
        // The limit never falls below one attempt for each cache, which overloads none of them: a lower one
        // would let reads wait while most caches are idle.
        let min_limit = if server.member.origin { 1.0 } else { self.ranking.len().max(1) as f64 };
        let limiter = &mut self.limiters[usize::from(server.member.origin)];
        limiter.in_flight = limiter.in_flight.saturating_sub(usize::from(!lost));
        let zone = self.zones.entry(server.member.zone).or_default();
        zone.connect_failures = if outcome == Outcome::ConnectError { zone.connect_failures + 1 } else { 0 };
        if matches!(outcome, Outcome::Ok | Outcome::Miss) {
            zone.record_response(elapsed);
        }
        // Queueing must be noticed before it exceeds the aim; a miss, or a fetch, is only one step of its
        // read, so it gets a part of the aim. The zone's extra latency is added: without it, the limit would
        // fall because servers are far away rather than full, so that fetches wait, caches stay empty and
        // misses grow. The extra latency covers everything that makes all answers of a zone slower than those
        // of the nearest: distance, a slow link, slow machines. The drawback: where a zone queues for so long
        // that no fast answer of it is remembered, limits fall later, at times after the aim is exceeded.
        let steps = if outcome == Outcome::Miss { 3 } else { 1 + u64::from(server.member.origin) };
        let extra_latency = extra_zone_latency(&self.zones, server.member.zone);
        let max_step_time = aim.min(aim / steps + extra_latency);
        if matches!(outcome, Outcome::Ok | Outcome::Miss) && elapsed <= aim.min(aim / 3 + extra_latency) {
            // A prompt answer: there is no queue.
            server.last_prompt_attempt_sent_at = server.last_prompt_attempt_sent_at.max(sent_at);
        }
        let too_slow = end.utilization > Some(FULL_UTILIZATION) || elapsed > max_step_time;
        let failed_or_slow = match outcome {
            Outcome::TimedOut if was_overtaken => false, // lost, or it would have been answered first
            Outcome::Ok | Outcome::Miss | Outcome::TimedOut | Outcome::Canceled => too_slow,
            Outcome::Failed | Outcome::QueueFull | Outcome::ConnectError | Outcome::Reset => true,
            Outcome::Ignored => return,
        };
        Self::adapt_limit(limiter, min_limit, self.now, failed_or_slow, tau);
        if outcome == Outcome::Ok {
            limiter.response_times.record(elapsed);
        }
        if server.member.origin {
            return;
        }
        // A sample counts up to 6 times the usual, so that one request of unusual cost does not mark a cache
        // as slow.
        let usual = self.response_times[class].mean.max(1.0);
        let sample = (elapsed as f64 / usual).min(2.0 * SLOWNESS_THRESHOLD);
        if outcome == Outcome::Ok && end.hit != Some(false) {
            self.kinds.entry(server.member.kind).or_insert_with(KindSlowness::new).record(sample);
        }
        match outcome {
            Outcome::Ok | Outcome::Miss | Outcome::Failed | Outcome::QueueFull => {
                server.last_response_at = Some(self.now);
                server.unanswered_attempts = 0;
            }
            Outcome::ConnectError | Outcome::Reset | Outcome::TimedOut => server.unanswered_attempts += 1,
            // A cancelled attempt counts only if it was overdue.
            Outcome::Canceled | Outcome::Ignored => server.unanswered_attempts += u32::from(overdue),
        }
        let before = server.own_slowness(self.now);
        let slowness = match outcome {
            // A miss waits for the origin, which is not the cache's fault.
            Outcome::Ok if end.hit != Some(false) => sample,
            Outcome::Canceled | Outcome::TimedOut => sample.max(before),
            Outcome::QueueFull => 2.0 * SLOWNESS_THRESHOLD,
            _ => before,
        };
        let min_weight = if before > SLOWNESS_THRESHOLD { 0.5 } else { 0.15 };
        server.add_sample(slowness, min_weight, self.now);
        if outcome == Outcome::Ok {
            self.response_times[class].record(elapsed);
        }
    }

    /// Whether a server does not answer: at least two attempts in a row had no answer, or one in flight is
    /// long overdue.
    pub(super) fn is_suspect(&self, server: &Server) -> bool {
        server.unanswered_attempts >= 2 || server.in_flight.first().is_some_and(|a| a.0 <= self.now)
    }

    /// Whether a server's zone is cut off from this one. Without this, each candidate of that zone would be
    /// tried one by one. Its caches are not considered dead: one read at a time probes whether the zone is
    /// back.
    pub(super) fn is_zone_cut_off(&self, server: &Server) -> bool {
        let zone = self.zones.get(&server.member.zone);
        let cut_off =
            zone.is_some_and(|z| z.connect_failures >= ZONE_CUT_OFF_FAILURES && self.now < z.next_probe_at);
        cut_off && self.zones.values().any(|z| z.connect_failures == 0)
    }
}
