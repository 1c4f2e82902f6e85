//! The follower against a model store: random histories and faults in virtual time, by seed.
//!
//! After the last fault the published list equals the store's. No revision is published twice or out of order, and each
//! published list equals the store's list at its revision.

use std::collections::{BTreeMap, VecDeque};

use lilacquay_core::{Micros, ServerEntry, ServerState};
use lilacquay_etcd::ErrorKind;
use lilacquay_etcd::api::{WatchCreateRequest, WatchResponse};
use lilacquay_fleet::etcd::Store;
use lilacquay_fleet::etcd::store::{Change as Write, StoreError};
use lilacquay_members::etcd::follower::{
    Action, CallId, Event, Follower, Limits, ListUpdate, Notice, Options,
};
use lilacquay_members::etcd::list_cache::CachedList;

const PREFIX: &str = "/m/";
const MS: Micros = 1000;
const BOXES: usize = 8;
/// Duration of the phase with random operations and faults, and of the phase without faults after it.
const PHASE_DURATION: Micros = 20_000 * MS;

/// A list of servers: ids with a text of their values.
type ServerMap = BTreeMap<String, String>;

/// Faults of an endpoint.
#[derive(Default, Clone)]
struct Faults {
    down: bool,
    silent: bool,
    /// Number of revisions by which its responses are outdated.
    revisions_behind: i64,
    /// Additional delay of responses.
    delay: Micros,
    /// Probability of closing the watch after a response.
    drop: f64,
    /// Probability of sending a response twice.
    duplicate: f64,
    /// Probability of splitting a response into fragments.
    split: f64,
}

/// The open call with its responses.
struct Stream {
    call: CallId,
    endpoint: usize,
    /// Events in flight, in order, with their arrival times.
    queue: VecDeque<(Micros, Event)>,
    /// Next revision to send on the watch; `None` for a read.
    next_revision: Option<i64>,
}

/// A simulation of a store, its endpoints and a follower.
struct Sim {
    rng: fastrand::Rng,
    now: Micros,
    store: Store,
    backup: Store,
    /// The list at each revision, for each history of the store. A restored store starts with the history of its backup.
    histories: Vec<BTreeMap<i64, ServerMap>>,
    endpoints: Vec<Faults>,
    stream: Option<Stream>,
    follower: Follower,
    cached: Option<CachedList>,
    /// The list as published to the core.
    core: ServerMap,
    /// History number and revision of the last update.
    last: Option<(u32, i64)>,
    updates: usize,
    replaced_histories: usize,
    /// Time until which a restored store is not up yet.
    restoring_until: Micros,
}

fn options(seed: u64, endpoints: usize) -> Options {
    let limits = Limits { page_size: 3, ..Limits::default() };
    Options { prefix: PREFIX.into(), endpoints, seed, limits, saves_cache: true }
}

fn describe(entry: &ServerEntry) -> String {
    format!("{} {:?}", entry.addr, entry.state)
}

fn server_map(store: &Store, revision: i64) -> ServerMap {
    let all = store.range((b"/m/", b"/m0"), revision, 0).unwrap();
    let read = all.kvs.iter().map(|kv| {
        let id = String::from_utf8(kv.key[PREFIX.len()..].to_vec()).unwrap();
        let entry = lilacquay_members::etcd::layout::parse_value(&id, &kv.value).unwrap();
        (id, describe(&entry))
    });
    read.collect()
}

impl Sim {
    fn new(seed: u64) -> Sim {
        let mut rng = fastrand::Rng::with_seed(seed);
        let store = Store::new(9);
        let endpoints = rng.usize(1..4);
        let histories = vec![BTreeMap::from([(1, ServerMap::new())])];
        Sim {
            now: 1_000_000 * MS,
            backup: store.clone(),
            store,
            histories,
            endpoints: vec![Faults::default(); endpoints],
            stream: None,
            follower: Follower::new(options(seed, endpoints), None),
            cached: None,
            core: ServerMap::new(),
            last: None,
            updates: 0,
            replaced_histories: 0,
            restoring_until: 0,
            rng,
        }
    }

    fn run(&mut self) {
        let end = self.now + PHASE_DURATION;
        let (mut next_operation, mut next_fault) = (self.now, self.now);
        while self.now < end {
            self.step(next_operation.min(next_fault));
            if self.now >= next_operation {
                self.run_operation();
                let pause = *self.rng.choice(&[1, 10, 100, 400]).unwrap();
                next_operation = self.now + self.rng.u64(0..=pause * MS);
            }
            if self.now >= next_fault {
                self.inject_fault();
                next_fault = self.now + self.rng.u64(0..=1500 * MS);
            }
        }
        self.endpoints.fill(Faults::default());
        let end = self.now.max(self.restoring_until) + PHASE_DURATION;
        while self.now < end {
            self.step(end);
        }
    }

    /// Advances the time to the next event, at most to `latest`.
    fn step(&mut self, latest: Micros) {
        self.send_new_events();
        let stream = self.stream.as_ref().filter(|s| !self.endpoints[s.endpoint].silent);
        let arrival = stream.and_then(|stream| stream.queue.front()).map_or(Micros::MAX, |(at, _)| *at);
        let wakeup = self.follower.next_wakeup();
        self.now = self.now.max(arrival.min(wakeup).min(latest));
        self.store.expire_leases(self.now);
        self.record_history();
        if arrival <= self.now {
            let event = self.stream.as_mut().and_then(|stream| stream.queue.pop_front());
            self.process(event.expect("an event has arrived").1);
        } else if wakeup <= self.now {
            self.process(Event::Tick);
        }
    }

    fn record_history(&mut self) {
        let history = self.histories.last_mut().unwrap();
        let known = history.last_key_value().map_or(0, |(revision, _)| *revision);
        for revision in known + 1..=self.store.revision() {
            history.insert(revision, server_map(&self.store, revision));
        }
    }

    // ---- The store ----

    fn run_operation(&mut self) {
        if self.now < self.restoring_until {
            return; // the store is down
        }
        self.record_history();
        let id = format!("box-{}", self.rng.usize(..BOXES));
        let key = format!("{PREFIX}{id}").into_bytes();
        let state = if self.rng.bool() { "serving" } else { "draining" };
        let value = format!(r#"{{"addr":"127.0.0.1:{}","state":"{state}"}}"#, self.rng.u16(1..5));
        let value = value.as_bytes();
        match self.rng.u8(..11) {
            0..=3 => _ = self.store.put(&key, value, 0),
            4 => _ = self.store.delete(&key),
            5 => {
                let lease = self.store.grant_lease(self.now, self.rng.u64(1..2000) * MS);
                self.store.put(&key, value, lease).unwrap();
            }
            6 => {
                let (a, b) = (format!("{PREFIX}box-0"), format!("{PREFIX}box-1"));
                let put = Write::Put { key: a.as_bytes(), value, lease: Some(0) };
                self.store.apply(&[put, Write::Delete((b.as_bytes(), b""))]).unwrap();
            }
            7 => _ = self.store.remove_and_put(&key, value),
            8 => _ = self.store.put(b"/other", b"not a server", 0),
            9 => {
                let oldest = self.rng.i64(0..=self.store.revision());
                let _ = self.store.compact(oldest); // may be compacted already
            }
            _ => self.backup = self.store.clone(),
        }
        self.record_history();
    }

    fn inject_fault(&mut self) {
        let index = self.rng.usize(..self.endpoints.len());
        let several = self.endpoints.len() > 2;
        let faults = &mut self.endpoints[index];
        match self.rng.u8(..12) {
            0 => faults.down = !faults.down,
            1 => faults.silent = !faults.silent,
            2 => faults.delay = self.rng.u64(..1500) * MS,
            3 => faults.drop = self.rng.f64(),
            4 => faults.duplicate = self.rng.f64(),
            5 => faults.split = self.rng.f64(),
            6 if several => {
                self.endpoints.iter_mut().for_each(|faults| faults.revisions_behind = 0);
                self.endpoints[index].revisions_behind = self.rng.i64(0..20);
            }
            7 => self.cancel_watch(),
            8 => self.close(true),
            9 if self.rng.u8(..3) == 0 => self.restore(),
            10 if self.rng.bool() => self.restart(),
            _ => *faults = Faults::default(),
        }
    }

    /// Replaces the store by its backup, after a time in which no endpoint is up.
    fn restore(&mut self) {
        let mut history = self.histories.last().unwrap().clone();
        history.retain(|revision, _| *revision <= self.backup.revision());
        self.histories.push(history);
        self.store = self.backup.clone();
        self.restoring_until = self.now + 6000 * MS;
        self.close(true);
        self.record_history();
    }

    fn restart(&mut self) {
        let cached = if self.rng.bool() { self.cached.clone() } else { None };
        let seed = self.rng.u64(..);
        self.follower = Follower::new(options(seed, self.endpoints.len()), cached);
        (self.stream, self.last) = (None, None);
        self.core.clear();
    }

    /// Cancels the watch as if its revision were compacted.
    fn cancel_watch(&mut self) {
        if self.store.compacted_revision() < self.store.revision() {
            self.store.compact(self.store.revision()).unwrap();
        }
        let response = self.cancelled();
        self.respond(response);
    }

    fn cancelled(&self) -> WatchResponse {
        let (canceled, compact_revision) = (true, self.store.compacted_revision());
        WatchResponse { header: Some(self.store.header()), canceled, compact_revision, ..Default::default() }
    }

    /// Closes the open stream. Events in flight may still arrive, too late.
    fn close(&mut self, notify: bool) {
        let Some(stream) = self.stream.take() else { return };
        if notify {
            self.process(Event::CallFailed(stream.call, ErrorKind::Other, "broken".into()));
        }
        for (_, late) in stream.queue.into_iter().take(3) {
            self.process(late);
        }
    }

    // ---- The endpoints ----

    fn send(&mut self, event: Event) {
        let Some(endpoint) = self.stream.as_ref().map(|stream| stream.endpoint) else { return };
        let arrival = self.now + self.rng.u64(..3 * MS) + self.endpoints[endpoint].delay;
        let stream = self.stream.as_mut().unwrap();
        let previous = stream.queue.back().map_or(0, |(at, _)| *at);
        stream.queue.push_back((arrival.max(previous), event));
    }

    fn respond(&mut self, response: WatchResponse) {
        if let Some(Stream { call, next_revision: Some(_), .. }) = self.stream {
            self.send(Event::WatchResponse(call, response));
        }
    }

    /// Sends new events to the open watch.
    fn send_new_events(&mut self) {
        let Some(Stream { endpoint, next_revision: Some(next_revision), .. }) = self.stream else { return };
        if self.is_down(endpoint) {
            return self.close(true);
        }
        let events = self
            .store
            .events_since(next_revision)
            .map(|events| events.flatten().cloned().collect::<Vec<_>>());
        self.stream.as_mut().unwrap().next_revision = Some(next_revision.max(self.store.revision() + 1));
        let Ok(events) = events else {
            let response = self.cancelled();
            return self.respond(response);
        };
        let has_prefix = |event: &lilacquay_etcd::api::Event| {
            event.kv.as_ref().is_some_and(|kv| kv.key.starts_with(PREFIX.as_bytes()))
        };
        let events: Vec<_> = events.into_iter().filter(has_prefix).collect();
        if events.is_empty() {
            return;
        }
        let Faults { drop, duplicate, split, .. } = self.endpoints[endpoint];
        let response = WatchResponse { header: Some(self.store.header()), events, ..Default::default() };
        for _ in 0..=usize::from(self.rng.f64() < duplicate) {
            if self.rng.f64() < split {
                for (n, event) in response.events.iter().enumerate() {
                    let (events, fragment) = (vec![event.clone()], n + 1 < response.events.len());
                    self.respond(WatchResponse { events, fragment, ..response.clone() });
                }
            } else {
                self.respond(response.clone());
            }
        }
        if self.rng.f64() < drop {
            self.close(true);
        }
    }

    fn is_down(&self, endpoint: usize) -> bool {
        self.endpoints[endpoint].down || self.now < self.restoring_until
    }

    // ---- The follower ----

    fn process(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.follower.on_event(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.execute(action));
    }

    fn open(&mut self, call: CallId, endpoint: usize, next_revision: Option<i64>) {
        assert!(endpoint < self.endpoints.len());
        self.stream = Some(Stream { call, endpoint, queue: VecDeque::new(), next_revision });
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::ReadPage(call, endpoint, request) => {
                self.open(call, endpoint, None);
                let behind = self.endpoints[endpoint].revisions_behind;
                let outdated = (self.store.revision() - behind).max(self.store.compacted_revision()).max(1);
                let revision = if request.revision > 0 || behind == 0 { request.revision } else { outdated };
                let page = self.store.range((&request.key, &request.range_end), revision, request.limit);
                let event = match page {
                    _ if self.is_down(endpoint) => {
                        Event::CallFailed(call, ErrorKind::Unreachable, "refused".into())
                    }
                    Ok(mut page) => {
                        if behind > 0 {
                            page.header.as_mut().unwrap().revision = revision;
                        }
                        Event::Page(call, page)
                    }
                    Err(StoreError::Compacted) => {
                        Event::CallFailed(call, ErrorKind::Compacted, "compacted".into())
                    }
                    Err(_) => Event::CallFailed(call, ErrorKind::Other, "future".into()),
                };
                self.send(event);
            }
            Action::OpenWatch(call, endpoint, WatchCreateRequest { start_revision, .. }) => {
                self.open(call, endpoint, Some(start_revision));
                if self.is_down(endpoint) {
                    return self.send(Event::CallFailed(call, ErrorKind::Unreachable, "refused".into()));
                }
                let header = Some(self.store.header());
                self.respond(WatchResponse { header, created: true, ..Default::default() });
            }
            Action::RequestProgress => {
                self.send_new_events();
                let header = Some(self.store.header());
                self.respond(WatchResponse { header, watch_id: -1, ..Default::default() });
            }
            Action::CloseCall => self.close(false),
            Action::Publish(update) => self.apply_update(update),
            Action::SaveCache => {
                self.cached = self.follower.to_cached_list();
                assert!(self.cached.as_ref().is_some_and(|cached| cached.as_of <= self.now));
            }
            Action::Log(notice) => {
                self.replaced_histories += usize::from(matches!(notice, Notice::HistoryReplaced(..)));
                assert!(!notice.to_string().is_empty());
            }
        }
    }

    fn apply_update(&mut self, update: ListUpdate) {
        self.updates += 1;
        if update.list.full {
            self.core.clear();
        }
        for entry in update.list.servers {
            match entry.state {
                ServerState::Deleted => {
                    assert!(self.core.remove(&entry.id).is_some(), "{} was not listed", entry.id)
                }
                _ => drop(self.core.insert(entry.id.clone(), describe(&entry))),
            }
        }
        let position = (update.history_number, update.revision);
        assert!(self.last.is_none_or(|last| last < position), "{position:?} published after {:?}", self.last);
        self.last = Some(position);
        let matches = |history: &BTreeMap<i64, ServerMap>| history.get(&update.revision) == Some(&self.core);
        let matches_any = self.histories.iter().any(matches);
        assert!(matches_any, "never the store's list at {}: {:?}", update.revision, self.core);
    }
}

#[test]
fn a_thousand_random_histories_converge_to_the_list_of_the_store() {
    let run = |seed| {
        let mut sim = Sim::new(seed);
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| sim.run()));
        assert!(result.is_ok(), "seed {seed}");
        assert_eq!(sim.core, server_map(&sim.store, 0), "seed {seed}");
        (sim.updates, sim.replaced_histories)
    };
    let halves = std::thread::scope(|scope| {
        let half = |from| scope.spawn(move || (from..1000).step_by(2).map(run).collect::<Vec<_>>());
        [half(0), half(1)].map(|half| half.join().unwrap())
    });
    let runs = halves.iter().flatten();
    let (updates, replaced) = runs.fold((0, 0), |sum, run| (sum.0 + run.0, sum.1 + run.1));
    // A follower that publishes nothing would pass the checks above, and one that never meets an older store would prove
    // little.
    assert!(updates > 20_000 && replaced > 100, "{updates} updates, {replaced} replaced histories");
}
