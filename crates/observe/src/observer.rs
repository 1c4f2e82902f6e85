//! Statistics and traces, which are collected only while an observer is connected.

use std::collections::HashMap;

use crate::Micros;
use crate::latency::{LatencyHistory, TwoWindows, bucket_of};
use crate::rules::{RetryCheck, RetrySafety};
use crate::snapshot::{
    AnswerCounts, AttemptCounts, BoxStatus, LatencyBuckets, RuleCounts, SlowRequest, Snapshot, Step,
    TenantStats,
};
use crate::trace::{AnswerKind, AttemptOutcome, RequestTrace, TraceWaitReason, ms};

/// Maximum number of slow requests reported, for open and for ended requests each.
const MAX_SLOW_REQUESTS: usize = 20;
/// How long an ended request is reported as slow, in microseconds.
const SLOW_REQUEST_RETENTION_US: Micros = 60_000_000;
/// How far an answer may exceed the client's deadline before it counts as late, in microseconds. Covers the network
/// latency and the granularity of timers.
const LATE_ANSWER_TOLERANCE_US: Micros = 50_000;

/// A request that has arrived.
#[derive(Debug, Clone, Copy)]
pub struct RequestInfo {
    /// Number of the request.
    pub id: u32,
    /// Index of its class.
    pub class: Option<usize>,
    /// Index of its tenant.
    pub tenant: Option<usize>,
    /// How long the client waits for the answer.
    pub wait: Micros,
    /// Whether it may be sent again.
    pub retry_safety: RetrySafety,
}

/// One of the slowest requests that have ended.
struct EndedRequest {
    key: String,
    latency: Micros,
    ended_at: Micros,
    trace: RequestTrace,
}

#[derive(Default)]
struct ServerStats {
    latencies: TwoWindows<LatencyBuckets>,
    attempts: TwoWindows<AttemptCounts>,
}

#[derive(Default, Clone)]
struct TenantCounters {
    requests: u64,
    answers: AnswerCounts,
}

/// Collects statistics from the notifications that it receives.
///
/// Memory: a trace for each open request that arrived since the observer was created, the statistics of one minute,
/// and about 200 bytes for each server.
pub struct Observer {
    started_at: Micros,
    history: LatencyHistory,
    answers: AnswerCounts,
    rules: RuleCounts,
    open: HashMap<u32, (RequestTrace, RetryCheck)>,
    servers: HashMap<u32, ServerStats>,
    /// In the order of their indexes, followed by an entry for requests without a tenant.
    tenants: Vec<TenantCounters>,
    /// The slowest requests that have ended, the slowest first.
    slow: Vec<EndedRequest>,
}

impl Observer {
    /// An observer of a node with this number of tenants, which starts collecting at `now`.
    pub fn new(now: Micros, tenants: usize) -> Self {
        let (answers, rules, open, servers, slow) = Default::default();
        let (history, tenants) = (LatencyHistory::new(now), vec![TenantCounters::default(); tenants + 1]);
        Observer { started_at: now, history, answers, rules, open, servers, tenants, slow }
    }

    /// Records the arrival of a request.
    pub fn request_arrived(&mut self, now: Micros, request: RequestInfo) {
        let tenant = request.tenant.unwrap_or(usize::MAX).min(self.tenants.len() - 1);
        self.tenants[tenant].requests += 1;
        let trace = RequestTrace::new(now, request.wait, request.class, tenant);
        self.open.insert(request.id, (trace, RetryCheck::new(request.retry_safety)));
    }

    /// Records a request that was refused because of a quota, before it reached the decision module.
    pub fn request_over_quota(&mut self, now: Micros, tenant: Option<usize>) {
        let tenant = tenant.unwrap_or(usize::MAX).min(self.tenants.len() - 1);
        self.tenants[tenant].requests += 1;
        self.tenants[tenant].answers.busy += 1;
        self.answers.busy += 1;
        self.history.record_answer(now, None);
    }

    /// Records the start of an attempt.
    pub fn attempt_sent(&mut self, now: Micros, id: u32, server: u32) {
        if let Some((trace, retry_check)) = self.open.get_mut(&id) {
            trace.attempt_sent(now, server);
            self.rules.repeated += u64::from(retry_check.attempt_sent());
        }
    }

    /// Records the end of an attempt, and its latency.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        id: u32,
        server: u32,
        outcome: AttemptOutcome,
        latency: Micros,
    ) {
        if let Some((trace, retry_check)) = self.open.get_mut(&id) {
            trace.attempt_ended(now, server, outcome);
            retry_check.attempt_ended(outcome);
        }
        self.rules.stopped += u64::from(outcome == AttemptOutcome::NotSent);
        let stats = self.servers.entry(server).or_default();
        let attempts = stats.attempts.current_mut(now);
        match outcome {
            AttemptOutcome::Served => attempts.served += 1,
            AttemptOutcome::Miss => attempts.misses += 1,
            AttemptOutcome::Canceled => attempts.canceled += 1,
            AttemptOutcome::NotSent => {}
            AttemptOutcome::Refused
            | AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::NoConnection
            | AttemptOutcome::ConnectionLost => attempts.bad += 1,
        }
        if matches!(outcome, AttemptOutcome::Served | AttemptOutcome::Miss) {
            stats.latencies.current_mut(now)[bucket_of(latency)] += 1;
        }
    }

    /// Records the final answer of a request. `key` is called only if the request is among the slowest.
    pub fn request_answered<'a>(
        &mut self,
        now: Micros,
        id: u32,
        kind: AnswerKind,
        key: impl FnOnce() -> &'a str,
    ) {
        let Some((trace, _)) = self.open.get_mut(&id) else { return };
        trace.request_answered(now, kind);
        let latency = now.saturating_sub(trace.arrived);
        let late = kind != AnswerKind::Gone && now > trace.deadline.saturating_add(LATE_ANSWER_TOLERANCE_US);
        self.rules.late += u64::from(late);
        for answers in [&mut self.answers, &mut self.tenants[trace.tenant].answers] {
            match kind {
                AnswerKind::Served => answers.served += 1,
                AnswerKind::Busy => answers.busy += 1,
                AnswerKind::Failed => answers.failed += 1,
                AnswerKind::Gone => answers.gone += 1,
            }
        }
        if kind != AnswerKind::Gone {
            self.history.record_answer(now, (kind == AnswerKind::Served).then_some(latency));
        }
        self.slow.retain(|slow| now.saturating_sub(slow.ended_at) < SLOW_REQUEST_RETENTION_US);
        let is_full = self.slow.len() >= MAX_SLOW_REQUESTS;
        if is_full && self.slow.last().is_some_and(|last| last.latency >= latency) {
            return;
        }
        let position = self.slow.partition_point(|slow| slow.latency >= latency);
        let ended = EndedRequest { key: key().to_owned(), latency, ended_at: now, trace: trace.clone() };
        self.slow.insert(position, ended);
        self.slow.truncate(MAX_SLOW_REQUESTS);
    }

    /// Forgets a request that has been answered and has no attempt in flight any more.
    pub fn request_closed(&mut self, id: u32) {
        self.open.remove(&id);
    }

    /// Discards the statistics of all servers that do not satisfy `keep`, because they have been removed.
    pub fn retain_servers(&mut self, keep: impl Fn(u32) -> bool) {
        self.servers.retain(|id, _| keep(*id));
    }

    /// Fills in the statistics that do not concern a single server or request.
    pub fn fill_statistics(&mut self, now: Micros, snapshot: &mut Snapshot, tenants: &[String]) {
        snapshot.watched_s = now.saturating_sub(self.started_at) as f64 / 1e6;
        (snapshot.answers, snapshot.rules) = (self.answers, self.rules);
        snapshot.seconds = self.history.seconds(now);
        // Seconds before the observer was connected are omitted, since their values are unknown rather than 0.
        let observed = (now / 1_000_000).saturating_sub(self.started_at / 1_000_000) as usize;
        let unknown = snapshot.seconds.len().saturating_sub(observed);
        snapshot.seconds.drain(..unknown);
        (snapshot.last_10s, snapshot.last_60s) = (self.history.last(now, 10), self.history.last(now, 60));
        let names = tenants.iter().map(String::as_str).chain([""]);
        let tenant_stats = |(name, tenant): (&str, &TenantCounters)| TenantStats {
            name: name.into(),
            asked: tenant.requests,
            answers: tenant.answers,
        };
        snapshot.tenants = names.zip(&self.tenants).map(tenant_stats).collect();
    }

    /// Fills in the statistics of a server.
    pub fn fill_server(&mut self, now: Micros, id: u32, status: &mut BoxStatus) {
        let Some(stats) = self.servers.get_mut(&id) else { return };
        let (current, previous) = stats.latencies.both(now);
        status.times = std::array::from_fn(|bucket| current[bucket] + previous[bucket]);
        let (current, previous) = stats.attempts.both(now);
        status.measured = AttemptCounts {
            served: current.served + previous.served,
            misses: current.misses + previous.misses,
            bad: current.bad + previous.bad,
            canceled: current.canceled + previous.canceled,
        };
    }

    /// The oldest open requests, followed by the slowest that ended within the last minute. `open_request` returns the
    /// key of an open request and why it is waiting; the other functions map ids and indexes to names.
    pub fn slow_requests(
        &self,
        now: Micros,
        open_request: &dyn Fn(u32) -> Option<(String, TraceWaitReason)>,
        server_name: &dyn Fn(u32) -> String,
        class_name: &dyn Fn(Option<usize>) -> String,
        tenant_name: &dyn Fn(usize) -> String,
    ) -> Vec<SlowRequest> {
        let slow_request = |key: String,
                            trace: &RequestTrace,
                            is_open: bool,
                            elapsed: Micros,
                            wait_reason: TraceWaitReason| {
            SlowRequest {
                key,
                class: class_name(trace.class),
                tenant: tenant_name(trace.tenant),
                open: is_open,
                elapsed_ms: ms(elapsed),
                left_ms: if is_open { ms(trace.deadline.saturating_sub(now)) } else { 0.0 },
                why: trace.describe_state(now, wait_reason, server_name),
                steps: trace
                    .describe_steps(server_name)
                    .into_iter()
                    .map(|(at, what)| Step { at_ms: ms(at), what })
                    .collect(),
            }
        };
        let unanswered = self.open.iter().filter(|(_, (trace, _))| !trace.answered);
        let mut oldest: Vec<(Micros, u32)> =
            unanswered.map(|(id, (trace, _))| (trace.arrived, *id)).collect();
        if oldest.len() > MAX_SLOW_REQUESTS {
            oldest.select_nth_unstable(MAX_SLOW_REQUESTS);
            oldest.truncate(MAX_SLOW_REQUESTS);
        }
        oldest.sort_unstable();
        let open = oldest.into_iter().filter_map(|(arrived, id)| {
            let (key, wait_reason) = open_request(id)?;
            let elapsed = now.saturating_sub(arrived);
            Some(slow_request(key, &self.open[&id].0, true, elapsed, wait_reason))
        });
        let recent =
            self.slow.iter().filter(|slow| now.saturating_sub(slow.ended_at) < SLOW_REQUEST_RETENTION_US);
        let ended = recent.map(|slow| {
            slow_request(slow.key.clone(), &slow.trace, false, slow.latency, TraceWaitReason::Undecided)
        });
        open.chain(ended).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(id: u32, wait: Micros, retry_safety: RetrySafety) -> RequestInfo {
        RequestInfo { id, class: Some(0), tenant: Some(1), wait, retry_safety }
    }

    fn take_snapshot(observer: &mut Observer, now: Micros) -> Snapshot {
        let mut snapshot = Snapshot::default();
        observer.fill_statistics(now, &mut snapshot, &["north".into(), "south".into()]);
        let open = |id: u32| Some((format!("k{id}"), TraceWaitReason::ConcurrencyLimit));
        let name = |id: u32| format!("s-{id}");
        snapshot.slow = observer.slow_requests(now, &open, &name, &|_| "read".into(), &|_| "south".into());
        snapshot
    }

    #[test]
    fn the_steps_of_a_request_are_reported_with_what_it_waits_for() {
        let mut observer = Observer::new(0, 2);
        observer.request_arrived(0, request(1, 500_000, RetrySafety::Safe));
        assert_eq!(take_snapshot(&mut observer, 1_000).slow[0].why, "no place: as much is out as may be");
        observer.attempt_sent(2_000, 1, 4);
        observer.attempt_sent(30_000, 1, 5);
        let slow = &take_snapshot(&mut observer, 42_000).slow[0];
        assert_eq!(slow.why, "at s-4 since 40 ms and at s-5 since 12 ms");
        assert_eq!((slow.elapsed_ms, slow.left_ms, slow.open), (42.0, 458.0, true));
        observer.attempt_ended(43_000, 1, 4, AttemptOutcome::Miss, 41_000);
        observer.attempt_ended(44_000, 1, 5, AttemptOutcome::Served, 14_000);
        observer.request_answered(44_000, 1, AnswerKind::Served, || "k1");
        observer.request_closed(1);
        let snapshot = take_snapshot(&mut observer, 50_000);
        let steps: Vec<&str> = snapshot.slow[0].steps.iter().map(|step| step.what.as_str()).collect();
        let expected = [
            "sent to s-4",
            "sent to s-5",
            "s-4: holds no value for the key",
            "s-5: served",
            "answered: served",
        ];
        assert_eq!(steps, expected);
        assert_eq!(snapshot.tenants[1].answers.served, 1);
        assert_eq!(take_snapshot(&mut observer, 44_000 + SLOW_REQUEST_RETENTION_US).slow, vec![]);
        let mut server = BoxStatus::default();
        observer.fill_server(60_000, 5, &mut server);
        assert_eq!((server.measured.served, server.times[bucket_of(14_000)]), (1, 1));
    }

    #[test]
    fn only_violations_of_the_rules_are_counted() {
        let cases = [
            (RetrySafety::Unsafe, AttemptOutcome::NoConnection, 0),
            (RetrySafety::Unsafe, AttemptOutcome::Refused, 0),
            (RetrySafety::Unsafe, AttemptOutcome::NotSent, 0),
            (RetrySafety::Unsafe, AttemptOutcome::TimedOut, 1),
            (RetrySafety::Unsafe, AttemptOutcome::ConnectionLost, 1),
            (RetrySafety::Deduplicated, AttemptOutcome::TimedOut, 0),
            (RetrySafety::Safe, AttemptOutcome::Error, 0),
        ];
        for (retry_safety, outcome, repeated) in cases {
            let mut observer = Observer::new(0, 0);
            observer.request_arrived(0, request(1, 100_000, retry_safety));
            observer.attempt_sent(1, 1, 1);
            observer.attempt_ended(2, 1, 1, outcome, 1);
            observer.attempt_sent(3, 1, 2);
            observer.request_answered(149_000, 1, AnswerKind::Served, || "k");
            let rules = take_snapshot(&mut observer, 150_000).rules;
            assert_eq!((rules.repeated, rules.late), (repeated, 0), "{retry_safety:?} {outcome:?}");
            observer.request_arrived(0, request(2, 100_000, retry_safety));
            observer.request_answered(151_000, 2, AnswerKind::Failed, || "k");
            assert_eq!(take_snapshot(&mut observer, 200_000).rules.late, 1);
        }
    }

    #[test]
    fn notifications_in_any_order_neither_panic_nor_exceed_the_bounds() {
        let mut rng = fastrand::Rng::with_seed(3);
        let mut observer = Observer::new(0, 1);
        let outcomes = [
            AttemptOutcome::Served,
            AttemptOutcome::Miss,
            AttemptOutcome::TimedOut,
            AttemptOutcome::Canceled,
            AttemptOutcome::NotSent,
            AttemptOutcome::ConnectionLost,
        ];
        let mut now = 0;
        for _ in 0..50_000 {
            now = (now + rng.u64(0..20_000)).saturating_sub(rng.u64(0..5_000));
            let (id, server) = (rng.u32(0..50), rng.u32(0..8));
            match rng.u8(0..7) {
                0 => observer.request_arrived(now, request(id, rng.u64(0..1_000_000), RetrySafety::Unsafe)),
                1 => observer.attempt_sent(now, id, server),
                2 => observer.attempt_ended(
                    now,
                    id,
                    server,
                    outcomes[rng.usize(..outcomes.len())],
                    rng.u64(..),
                ),
                3 => observer.request_answered(now, id, AnswerKind::Busy, || "k"),
                4 => observer.request_closed(id),
                5 => observer.request_over_quota(now, Some(9)),
                _ => drop(take_snapshot(&mut observer, now)),
            }
            assert!(
                observer.open.len() <= 50
                    && observer.slow.len() <= MAX_SLOW_REQUESTS
                    && observer.servers.len() <= 8
            );
        }
        observer.retain_servers(|id| id == 0);
        assert_eq!(observer.servers.len(), 1);
    }
}
