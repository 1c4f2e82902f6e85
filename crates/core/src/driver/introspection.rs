//! What the driver tells of itself, for whoever watches.

use std::collections::HashMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_observe::{Answers, BoxNow, List as ListNow, Observer, OrderNow, SiblingsNow, Snapshot, Waits};
use lilacquay_overrides::OrderEffect;
use paddlefold::{Micros, RequestId, ServerId, Waiting};
use tokio::time::Instant;

use super::Driver;
use crate::list::State;
use crate::overrides::ServerNow;
use crate::upstream::Upstream;

fn waits(waiting: Waiting) -> Waits {
    match waiting {
        Waiting::Nothing => Waits::Nothing,
        Waiting::Flight => Waits::Fetch,
        Waiting::Place => Waits::Place,
        Waiting::Pause => Waits::Pause,
    }
}

/// What is out at a server.
#[derive(Clone, Copy, Default)]
struct Out {
    count: usize,
    oldest: Option<Instant>,
    /// When the last of it is given up at the latest.
    free: Option<Instant>,
}

impl<U: Upstream> Driver<U> {
    /// The node at this moment. Walks over all that is open and listed: asked a few times a second at most, not by
    /// each request.
    pub(super) fn look(&mut self) -> Snapshot {
        let now = self.clock.now();
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut snapshot = Snapshot {
            at_ms: since_1970.as_millis() as u64,
            started_ms: self.watched.started_ms,
            version: env!("CARGO_PKG_VERSION").into(),
            open: self.open.len(),
            connections: self.running + self.directory.idle(),
            list: ListNow {
                source: self.watched.source.into(),
                told_s: now.saturating_sub(self.watched.told) as f64 / 1e6,
                failures: self.watched.failures,
            },
            ..Snapshot::default()
        };
        let counted = self.book.totals();
        let (served, busy, failed) = (counted.passed, counted.dropped, counted.failed);
        snapshot.since_start = Answers { served, busy, failed, gone: 0 };
        snapshot.tries = counted.tries;
        snapshot.siblings = self.siblings.map(|fellows| SiblingsNow {
            here: fellows.numbers[0],
            gone: fellows.numbers[1],
            unknown: fellows.numbers[2],
            part: if fellows.until > Instant::now() { f64::from(fellows.thousandths) / 1e3 } else { 0.0 },
        });
        snapshot.common = self.common;
        if let Some(quotas) = &mut self.quotas {
            snapshot.shares = quotas.shares(now);
        }
        let names = self.directory.names();
        let mut observer = self.watched.observer.take();
        if let Some(observer) = &mut observer {
            observer.figures(now, &mut snapshot, &self.watched.tenants);
            observer.keep_servers(|id| names.contains_key(&ServerId(id)));
            let open = |id: u32| {
                let id = RequestId(id);
                let waits = self.balancer.waiting(id).map_or(Waits::Nothing, waits);
                Some((self.open.get(&id)?.call.key.clone(), waits))
            };
            let server = |id: u32| {
                names.get(&ServerId(id)).map_or_else(|| "a server that left".into(), |n| (*n).to_owned())
            };
            let class = |class: Option<usize>| {
                class.and_then(|c| self.watched.classes.get(c)).cloned().unwrap_or_default()
            };
            let tenant = |tenant: usize| self.watched.tenants.get(tenant).cloned().unwrap_or_default();
            snapshot.slow = observer.slow(now, &open, &server, &class, &tenant);
        }
        snapshot.boxes = self.boxes(now, observer.as_mut());
        self.watched.observer = observer;
        snapshot
    }

    fn boxes(&self, now: Micros, mut observer: Option<&mut Observer>) -> Vec<BoxNow> {
        let Some(steering) = &self.steering else { return Vec::new() };
        let mut out: HashMap<ServerId, Out> = HashMap::new();
        for running in self.open.values().flat_map(|open| open.attempts.iter().flatten()) {
            let at = out.entry(running.server).or_default();
            at.count += 1;
            at.oldest = Some(at.oldest.map_or(running.sent, |oldest| oldest.min(running.sent)));
            at.free = at.free.max(running.timer.as_ref().map(|timer| self.timers.deadline(timer)));
        }
        let known = self.directory.by_name();
        let instant = Instant::now();
        let ms = |time: Duration| time.as_secs_f64() * 1e3;
        let servers = steering.servers(|name| {
            let (id, serves, idle) = known.get(name).copied().unwrap_or((ServerId(0), false, 0));
            (serves, out.get(&id).map_or(0, |out| out.count), idle)
        });
        let tell = |server: ServerNow| {
            let id = known.get(server.name.as_str()).map(|(id, ..)| *id);
            let at = id.and_then(|id| out.get(&id)).copied().unwrap_or_default();
            let view = id.and_then(|id| self.balancer.server(id));
            let order = server.held.map(|held| OrderNow {
                number: held.number,
                seconds_left: match held.effect {
                    OrderEffect::Drain => None,
                    OrderEffect::ExcludedUntil(until) => Some(until.saturating_sub(now) as f64 / 1e6),
                },
                lasting: held.lasting,
            });
            let left_out = view.and_then(|view| match (view.cut_off, view.silent) {
                (true, _) => Some("its zone gives no connections".to_owned()),
                (false, Some(0)) => Some("it owes an answer that is long overdue".to_owned()),
                (false, Some(silent)) => Some(format!("{silent} attempts in a row had no answer")),
                (false, None) => None,
            });
            let mut told = BoxNow {
                origin: self.setup.is_origin(&server.kind),
                name: server.name,
                zone: server.zone,
                kind: server.kind,
                listed: server.listed == State::Serving,
                serves: server.state == State::Serving,
                order,
                out: server.out,
                oldest_ms: at.oldest.map_or(0.0, |oldest| ms(instant.saturating_duration_since(oldest))),
                free_in_ms: at.free.map_or(0.0, |free| ms(free.saturating_duration_since(instant))),
                idle: server.idle,
                warmth: view.map_or(1.0, |view| view.warmth),
                slowness: view.map_or(1.0, |view| view.slowness),
                left_out,
                ..BoxNow::default()
            };
            if let (Some(observer), Some(id)) = (observer.as_deref_mut(), id) {
                observer.server(now, id.0, &mut told);
            }
            told
        };
        servers.into_iter().map(tell).collect()
    }
}
