//! Builds snapshots of the driver's state for operators.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_observe::{
    AnswerCounts, BoxStatus, Observer, OrderStatus, ServerListStatus, SiblingsSummary, Snapshot,
    TraceWaitReason,
};
use lilacquay_overrides::OrderEffect;
use paddlefold::{Micros, RequestId, ServerId, WaitReason};
use tokio::time::Instant;

use super::Driver;
use crate::list::ServerState;
use crate::overrides::ServerStatus;
use crate::upstream::Upstream;

/// What a request waits for, as observers report it.
fn to_waits(waiting: WaitReason) -> TraceWaitReason {
    match waiting {
        WaitReason::NotWaiting => TraceWaitReason::Undecided,
        WaitReason::InFlightFetch => TraceWaitReason::SharedFetch,
        WaitReason::ConcurrencySlot => TraceWaitReason::ConcurrencyLimit,
        WaitReason::Backoff => TraceWaitReason::RetryBackoff,
    }
}

/// The attempts in flight at a server.
#[derive(Clone, Copy, Default)]
struct InFlight {
    count: usize,
    oldest_start: Option<Instant>,
    /// When the last of them times out.
    last_timeout: Option<Instant>,
}

impl<U: Upstream> Driver<U> {
    /// The current state of the node. Iterates over all open requests and listed servers, so it is called a few times
    /// per second at most and not for each request.
    pub(super) fn snapshot(&mut self) -> Snapshot {
        let now = self.clock.now();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut snapshot = Snapshot {
            at_ms: since_epoch.as_millis() as u64,
            started_ms: self.request_log.started_ms,
            version: env!("CARGO_PKG_VERSION").into(),
            open: self.open_requests.len(),
            connections: self.running_attempts + self.directory.idle_count(),
            list: ServerListStatus {
                source: self.request_log.list_source.into(),
                told_s: now.saturating_sub(self.request_log.list_received_at) as f64 / 1e6,
                failures: self.request_log.list_failures,
            },
            ..Snapshot::default()
        };
        let totals = self.metrics.totals();
        let (served, busy, failed) = (totals.served, totals.refused, totals.failed);
        snapshot.since_start = AnswerCounts { served, busy, failed, gone: 0 };
        snapshot.tries = totals.attempts;
        snapshot.siblings = self.membership_summary.map(|status| SiblingsSummary {
            here: status.peer_counts[0],
            gone: status.peer_counts[1],
            unknown: status.peer_counts[2],
            part: if status.valid_until > Instant::now() {
                f64::from(status.share_thousandths) / 1e3
            } else {
                0.0
            },
        });
        snapshot.common = self.replication_statistics;
        if let Some(quotas) = &mut self.quotas {
            snapshot.shares = quotas.shares(now);
        }
        let names = self.directory.names();
        let mut observer = self.request_log.observer.take();
        if let Some(observer) = &mut observer {
            observer.fill_statistics(now, &mut snapshot, &self.request_log.tenant_names);
            observer.retain_servers(|id| names.contains_key(&ServerId(id)));
            let open_request = |id: u32| {
                let id = RequestId(id);
                let waits = self.balancer.wait_reason(id).map_or(TraceWaitReason::Undecided, to_waits);
                Some((self.open_requests.get(&id)?.call.key.clone(), waits))
            };
            let server_name = |id: u32| {
                names.get(&ServerId(id)).map_or_else(|| "a server that left".into(), |n| (*n).to_owned())
            };
            let class_name = |class: Option<usize>| {
                class.and_then(|c| self.request_log.class_names.get(c)).cloned().unwrap_or_default()
            };
            let tenant_name =
                |tenant: usize| self.request_log.tenant_names.get(tenant).cloned().unwrap_or_default();
            snapshot.slow =
                observer.slow_requests(now, &open_request, &server_name, &class_name, &tenant_name);
        }
        snapshot.boxes = self.box_statuses(now, observer.as_mut());
        self.request_log.observer = observer;
        snapshot
    }

    fn box_statuses(&self, now: Micros, mut observer: Option<&mut Observer>) -> Vec<BoxStatus> {
        let Some(overrides) = &self.overrides else { return Vec::new() };
        let mut in_flight: HashMap<ServerId, InFlight> = HashMap::new();
        for running in self.open_requests.values().flat_map(|request| request.attempts.iter().flatten()) {
            let at_server = in_flight.entry(running.server).or_default();
            at_server.count += 1;
            let oldest_start = at_server.oldest_start;
            at_server.oldest_start =
                Some(oldest_start.map_or(running.started_at, |oldest| oldest.min(running.started_at)));
            let timeout = running.timeout.as_ref().map(|timer| self.timers.deadline(timer));
            at_server.last_timeout = at_server.last_timeout.max(timeout);
        }
        let listed = self.directory.by_name();
        let now_instant = Instant::now();
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let servers = overrides.servers(|name| {
            let (id, is_serving, idle) = listed.get(name).copied().unwrap_or((ServerId(0), false, 0));
            (is_serving, in_flight.get(&id).map_or(0, |at_server| at_server.count), idle)
        });
        let to_box = |server: ServerStatus| {
            let id = listed.get(server.name.as_str()).map(|(id, ..)| *id);
            let at_server = id.and_then(|id| in_flight.get(&id)).copied().unwrap_or_default();
            let view = id.and_then(|id| self.balancer.server_view(id));
            let order = server.order.map(|held| OrderStatus {
                number: held.number,
                seconds_left: match held.effect {
                    OrderEffect::Drain => None,
                    OrderEffect::ExcludedUntil(until) => Some(until.saturating_sub(now) as f64 / 1e6),
                },
                lasting: held.persistent,
            });
            let left_out = view.and_then(|view| match (view.cut_off, view.unanswered_attempts) {
                (true, _) => Some("its zone gives no connections".to_owned()),
                (false, Some(0)) => Some("it owes an answer that is long overdue".to_owned()),
                (false, Some(silent)) => Some(format!("{silent} attempts in a row had no answer")),
                (false, None) => None,
            });
            let mut status = BoxStatus {
                origin: self.setup.is_origin(&server.kind),
                name: server.name,
                zone: server.zone,
                kind: server.kind,
                listed: server.listed_state == ServerState::Serving,
                serves: server.effective_state == ServerState::Serving,
                order,
                out: server.attempts_in_flight,
                oldest_ms: at_server
                    .oldest_start
                    .map_or(0.0, |oldest| ms(now_instant.saturating_duration_since(oldest))),
                free_in_ms: at_server
                    .last_timeout
                    .map_or(0.0, |timeout| ms(timeout.saturating_duration_since(now_instant))),
                idle: server.idle_connections,
                warmth: view.map_or(1.0, |view| view.warmth),
                slowness: view.map_or(1.0, |view| view.slowness),
                left_out,
                ..BoxStatus::default()
            };
            if let (Some(observer), Some(id)) = (observer.as_deref_mut(), id) {
                observer.fill_server(now, id.0, &mut status);
            }
            status
        };
        servers.into_iter().map(to_box).collect()
    }
}
