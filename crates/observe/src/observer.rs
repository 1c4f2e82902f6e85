//! What is gathered while somebody looks.

use std::collections::HashMap;

use crate::Micros;
use crate::latency::{LatencyHistory, Recent, bucket};
use crate::rules::{RetryCheck, RetrySafety};
use crate::snapshot::{
    AnswerCounts, AttemptCounts, BoxStatus, LatencyBuckets, RuleCounts, SlowRequest, Snapshot, Step,
    TenantStats,
};
use crate::trace::{AnswerKind, AttemptOutcome, RequestTrace, WaitReason, ms};

/// Requests that are told as slow, of those that are open and of those that have ended.
const SLOW: usize = 20;
/// One that has ended is told for so long.
const REMEMBERED: Micros = 60_000_000;
/// An answer may be so much later than its client's wait: the way to it, and the grain of timers.
const GRACE: Micros = 50_000;

/// A request that has come.
#[derive(Debug, Clone, Copy)]
pub struct RequestInfo {
    /// Its number.
    pub id: u32,
    /// Its class, by index.
    pub class: Option<usize>,
    /// Its tenant, by index.
    pub tenant: Option<usize>,
    /// How long its client waits.
    pub wait: Micros,
    /// What its repeats may do.
    pub retry_safety: RetrySafety,
}

/// One of the slowest that have ended.
struct Slow {
    key: String,
    took: Micros,
    ended: Micros,
    trail: RequestTrace,
}

#[derive(Default)]
struct Server {
    times: Recent<LatencyBuckets>,
    measured: Recent<AttemptCounts>,
}

#[derive(Default, Clone)]
struct Tenant {
    asked: u64,
    answers: AnswerCounts,
}

/// What a node does, as it is told; see the crate.
///
/// It holds a trail for each open request that came since it was made, a minute of figures, and for each server some
/// two hundred bytes.
pub struct Observer {
    since: Micros,
    figures: LatencyHistory,
    answers: AnswerCounts,
    rules: RuleCounts,
    open: HashMap<u32, (RequestTrace, RetryCheck)>,
    servers: HashMap<u32, Server>,
    /// By index; the last is of requests of none.
    tenants: Vec<Tenant>,
    slow: Vec<Slow>,
}

impl Observer {
    /// Begins to gather; of so many tenants.
    pub fn new(now: Micros, tenants: usize) -> Self {
        let (answers, rules, open, servers, slow) = Default::default();
        let (figures, tenants) = (LatencyHistory::new(now), vec![Tenant::default(); tenants + 1]);
        Observer { since: now, figures, answers, rules, open, servers, tenants, slow }
    }

    /// A request has come.
    pub fn request_arrived(&mut self, now: Micros, request: RequestInfo) {
        let tenant = request.tenant.unwrap_or(usize::MAX).min(self.tenants.len() - 1);
        self.tenants[tenant].asked += 1;
        let trail = RequestTrace::new(now, request.wait, request.class, tenant);
        self.open.insert(request.id, (trail, RetryCheck::new(request.retry_safety)));
    }

    /// One was refused before the decision module saw it.
    pub fn request_over_quota(&mut self, now: Micros, tenant: Option<usize>) {
        let tenant = tenant.unwrap_or(usize::MAX).min(self.tenants.len() - 1);
        self.tenants[tenant].asked += 1;
        self.tenants[tenant].answers.busy += 1;
        self.answers.busy += 1;
        self.figures.answered(now, None);
    }

    /// An attempt has begun.
    pub fn attempt_sent(&mut self, now: Micros, id: u32, server: u32) {
        if let Some((trail, tries)) = self.open.get_mut(&id) {
            trail.sent(now, server);
            self.rules.repeated += u64::from(tries.sent());
        }
    }

    /// An attempt has ended after so long.
    pub fn attempt_ended(&mut self, now: Micros, id: u32, server: u32, end: AttemptOutcome, took: Micros) {
        if let Some((trail, tries)) = self.open.get_mut(&id) {
            trail.ended(now, server, end);
            tries.ended(end);
        }
        self.rules.stopped += u64::from(end == AttemptOutcome::NotSent);
        let seen = self.servers.entry(server).or_default();
        let measured = seen.measured.at(now);
        match end {
            AttemptOutcome::Served => measured.served += 1,
            AttemptOutcome::Miss => measured.misses += 1,
            AttemptOutcome::Canceled => measured.canceled += 1,
            AttemptOutcome::NotSent => {}
            AttemptOutcome::Refused
            | AttemptOutcome::Error
            | AttemptOutcome::TimedOut
            | AttemptOutcome::NoConnection
            | AttemptOutcome::ConnectionLost => measured.bad += 1,
        }
        if matches!(end, AttemptOutcome::Served | AttemptOutcome::Miss) {
            seen.times.at(now)[bucket(took)] += 1;
        }
    }

    /// A request got its final answer; its key is asked for only if it is among the slowest.
    pub fn request_answered<'a>(
        &mut self,
        now: Micros,
        id: u32,
        kind: AnswerKind,
        key: impl FnOnce() -> &'a str,
    ) {
        let Some((trail, _)) = self.open.get_mut(&id) else { return };
        trail.answered(now, kind);
        let took = now.saturating_sub(trail.arrived);
        let late = kind != AnswerKind::Gone && now > trail.until.saturating_add(GRACE);
        self.rules.late += u64::from(late);
        for answers in [&mut self.answers, &mut self.tenants[trail.tenant].answers] {
            match kind {
                AnswerKind::Served => answers.served += 1,
                AnswerKind::Busy => answers.busy += 1,
                AnswerKind::Failed => answers.failed += 1,
                AnswerKind::Gone => answers.gone += 1,
            }
        }
        if kind != AnswerKind::Gone {
            self.figures.answered(now, (kind == AnswerKind::Served).then_some(took));
        }
        self.slow.retain(|slow| now.saturating_sub(slow.ended) < REMEMBERED);
        let full = self.slow.len() >= SLOW;
        if full && self.slow.last().is_some_and(|last| last.took >= took) {
            return;
        }
        let place = self.slow.partition_point(|slow| slow.took >= took);
        self.slow.insert(place, Slow { key: key().to_owned(), took, ended: now, trail: trail.clone() });
        self.slow.truncate(SLOW);
    }

    /// Nothing of a request is owed or out any more.
    pub fn request_closed(&mut self, id: u32) {
        self.open.remove(&id);
    }

    /// Forgets what is known of a server that is gone for good.
    pub fn retain_servers(&mut self, keep: impl Fn(u32) -> bool) {
        self.servers.retain(|id, _| keep(*id));
    }

    /// Fills in the figures: all that is not of one server or one request.
    pub fn fill_statistics(&mut self, now: Micros, snapshot: &mut Snapshot, tenants: &[String]) {
        snapshot.watched_s = now.saturating_sub(self.since) as f64 / 1e6;
        (snapshot.answers, snapshot.rules) = (self.answers, self.rules);
        snapshot.seconds = self.figures.seconds(now);
        // What was before somebody looked is not known, which is not nothing.
        let whole = (now / 1_000_000).saturating_sub(self.since / 1_000_000) as usize;
        let unknown = snapshot.seconds.len().saturating_sub(whole);
        snapshot.seconds.drain(..unknown);
        (snapshot.last_10s, snapshot.last_60s) = (self.figures.last(now, 10), self.figures.last(now, 60));
        let names = tenants.iter().map(String::as_str).chain([""]);
        let tenant = |(name, tenant): (&str, &Tenant)| TenantStats {
            name: name.into(),
            asked: tenant.asked,
            answers: tenant.answers,
        };
        snapshot.tenants = names.zip(&self.tenants).map(tenant).collect();
    }

    /// Fills in what was seen of a server.
    pub fn fill_server(&mut self, now: Micros, id: u32, server: &mut BoxStatus) {
        let Some(seen) = self.servers.get_mut(&id) else { return };
        let (times, before) = seen.times.both(now);
        server.times = std::array::from_fn(|bucket| times[bucket] + before[bucket]);
        let (now, before) = seen.measured.both(now);
        server.measured = AttemptCounts {
            served: now.served + before.served,
            misses: now.misses + before.misses,
            bad: now.bad + before.bad,
            canceled: now.canceled + before.canceled,
        };
    }

    /// The oldest open requests, and behind them the slowest that ended within a minute. `open` tells the key of an open
    /// one and what it is held for.
    pub fn slow_requests(
        &self,
        now: Micros,
        open: &dyn Fn(u32) -> Option<(String, WaitReason)>,
        server: &dyn Fn(u32) -> String,
        class: &dyn Fn(Option<usize>) -> String,
        tenant: &dyn Fn(usize) -> String,
    ) -> Vec<SlowRequest> {
        let tell =
            |key: String, trail: &RequestTrace, is_open: bool, took: Micros, waits: WaitReason| SlowRequest {
                key,
                class: class(trail.class),
                tenant: tenant(trail.tenant),
                open: is_open,
                elapsed_ms: ms(took),
                left_ms: if is_open { ms(trail.until.saturating_sub(now)) } else { 0.0 },
                why: trail.why(now, waits, server),
                steps: trail
                    .words(server)
                    .into_iter()
                    .map(|(at, what)| Step { at_ms: ms(at), what })
                    .collect(),
            };
        let owed = self.open.iter().filter(|(_, (trail, _))| !trail.answered);
        let mut oldest: Vec<(Micros, u32)> = owed.map(|(id, (trail, _))| (trail.arrived, *id)).collect();
        if oldest.len() > SLOW {
            oldest.select_nth_unstable(SLOW);
            oldest.truncate(SLOW);
        }
        oldest.sort_unstable();
        let opened = oldest.into_iter().filter_map(|(arrived, id)| {
            let (key, waits) = open(id)?;
            Some(tell(key, &self.open[&id].0, true, now.saturating_sub(arrived), waits))
        });
        let recent = self.slow.iter().filter(|slow| now.saturating_sub(slow.ended) < REMEMBERED);
        let ended =
            recent.map(|slow| tell(slow.key.clone(), &slow.trail, false, slow.took, WaitReason::Undecided));
        opened.chain(ended).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(id: u32, wait: Micros, retry_safety: RetrySafety) -> RequestInfo {
        RequestInfo { id, class: Some(0), tenant: Some(1), wait, retry_safety }
    }

    fn look(observer: &mut Observer, now: Micros) -> Snapshot {
        let mut snapshot = Snapshot::default();
        observer.fill_statistics(now, &mut snapshot, &["north".into(), "south".into()]);
        let open = |id: u32| Some((format!("k{id}"), WaitReason::ConcurrencyLimit));
        let name = |id: u32| format!("s-{id}");
        snapshot.slow = observer.slow_requests(now, &open, &name, &|_| "read".into(), &|_| "south".into());
        snapshot
    }

    #[test]
    fn a_way_is_told_step_by_step_with_what_it_waits_for() {
        let mut observer = Observer::new(0, 2);
        observer.request_arrived(0, request(1, 500_000, RetrySafety::Safe));
        assert_eq!(look(&mut observer, 1_000).slow[0].why, "no place: as much is out as may be");
        observer.attempt_sent(2_000, 1, 4);
        observer.attempt_sent(30_000, 1, 5);
        let slow = &look(&mut observer, 42_000).slow[0];
        assert_eq!(slow.why, "at s-4 since 40 ms and at s-5 since 12 ms");
        assert_eq!((slow.elapsed_ms, slow.left_ms, slow.open), (42.0, 458.0, true));
        observer.attempt_ended(43_000, 1, 4, AttemptOutcome::Miss, 41_000);
        observer.attempt_ended(44_000, 1, 5, AttemptOutcome::Served, 14_000);
        observer.request_answered(44_000, 1, AnswerKind::Served, || "k1");
        observer.request_closed(1);
        let snapshot = look(&mut observer, 50_000);
        let words: Vec<&str> = snapshot.slow[0].steps.iter().map(|step| step.what.as_str()).collect();
        let wanted = [
            "sent to s-4",
            "sent to s-5",
            "s-4: holds no value for the key",
            "s-5: served",
            "answered: served",
        ];
        assert_eq!(words, wanted);
        assert_eq!(snapshot.tenants[1].answers.served, 1);
        assert_eq!(look(&mut observer, 44_000 + REMEMBERED).slow, vec![]);
        let mut server = BoxStatus::default();
        observer.fill_server(60_000, 5, &mut server);
        assert_eq!((server.measured.served, server.times[bucket(14_000)]), (1, 1));
    }

    #[test]
    fn breaches_are_counted_and_what_is_no_breach_is_not() {
        let cases = [
            (RetrySafety::Unsafe, AttemptOutcome::NoConnection, 0),
            (RetrySafety::Unsafe, AttemptOutcome::Refused, 0),
            (RetrySafety::Unsafe, AttemptOutcome::NotSent, 0),
            (RetrySafety::Unsafe, AttemptOutcome::TimedOut, 1),
            (RetrySafety::Unsafe, AttemptOutcome::ConnectionLost, 1),
            (RetrySafety::Deduplicated, AttemptOutcome::TimedOut, 0),
            (RetrySafety::Safe, AttemptOutcome::Error, 0),
        ];
        for (retry_safety, end, repeated) in cases {
            let mut observer = Observer::new(0, 0);
            observer.request_arrived(0, request(1, 100_000, retry_safety));
            observer.attempt_sent(1, 1, 1);
            observer.attempt_ended(2, 1, 1, end, 1);
            observer.attempt_sent(3, 1, 2);
            observer.request_answered(149_000, 1, AnswerKind::Served, || "k");
            let rules = look(&mut observer, 150_000).rules;
            assert_eq!((rules.repeated, rules.late), (repeated, 0), "{retry_safety:?} {end:?}");
            observer.request_arrived(0, request(2, 100_000, retry_safety));
            observer.request_answered(151_000, 2, AnswerKind::Failed, || "k");
            assert_eq!(look(&mut observer, 200_000).rules.late, 1);
        }
    }

    #[test]
    fn whatever_comes_in_whatever_order_books_stay_bounded_and_nothing_panics() {
        let mut rng = fastrand::Rng::with_seed(3);
        let mut observer = Observer::new(0, 1);
        let ends = [
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
                2 => observer.attempt_ended(now, id, server, ends[rng.usize(..ends.len())], rng.u64(..)),
                3 => observer.request_answered(now, id, AnswerKind::Busy, || "k"),
                4 => observer.request_closed(id),
                5 => observer.request_over_quota(now, Some(9)),
                _ => drop(look(&mut observer, now)),
            }
            assert!(observer.open.len() <= 50 && observer.slow.len() <= SLOW && observer.servers.len() <= 8);
        }
        observer.retain_servers(|id| id == 0);
        assert_eq!(observer.servers.len(), 1);
    }
}
