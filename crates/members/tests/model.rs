//! The follower against a model: random histories and faults in virtual time, by seed.
//!
//! After the last fault its list equals the store's; no revision is told twice or out of order; and each list on
//! the way was the store's at the revision that it is told with.

use std::collections::{BTreeMap, VecDeque};

use lilacquay_core::{Micros, ServerEntry, ServerState};
use lilacquay_etcd::Fault;
use lilacquay_etcd::api::{WatchCreateRequest, WatchResponse};
use lilacquay_fleet::etcd::Store;
use lilacquay_fleet::etcd::store::{Change as Write, StoreError};
use lilacquay_members::etcd::follower::{Action, Call, Change, Event, Follower, Options, Pace};
use lilacquay_members::etcd::list_cache::Kept;

const PREFIX: &str = "/m/";
const MS: Micros = 1000;
const BOXES: usize = 8;
/// Random operations and faults go on for so long; then all is well for as long again.
const TROUBLE: Micros = 20_000 * MS;

/// A list as ids and values.
type Listed = BTreeMap<String, String>;

#[derive(Default, Clone)]
struct Faults {
    down: bool,
    silent: bool,
    behind: i64,
    slow: Micros,
    drop: f64,
    twice: f64,
    split: f64,
}

struct Stream {
    call: Call,
    endpoint: usize,
    /// What is on its way, in order, with the time at which it comes.
    queue: VecDeque<(Micros, Event)>,
    /// The watch's next revision.
    next: Option<i64>,
}

struct Sim {
    rng: fastrand::Rng,
    now: Micros,
    store: Store,
    backup: Store,
    /// For each life of the store, its list at each revision. A restored one begins with its backup's.
    lives: Vec<BTreeMap<i64, Listed>>,
    endpoints: Vec<Faults>,
    stream: Option<Stream>,
    follower: Follower,
    kept: Option<Kept>,
    core: Listed,
    last: Option<(u32, i64)>,
    tells: usize,
    rewound: usize,
    /// While a restored store is not up yet.
    restoring: Micros,
}

fn options(seed: u64, endpoints: usize) -> Options {
    let pace = Pace { page: 3, ..Pace::default() };
    Options { prefix: PREFIX.into(), endpoints, seed, pace, keeps: true }
}

fn text(entry: &ServerEntry) -> String {
    format!("{} {:?}", entry.addr, entry.state)
}

fn listed(store: &Store, revision: i64) -> Listed {
    let all = store.range((b"/m/", b"/m0"), revision, 0).unwrap();
    let read = all.kvs.iter().map(|kv| {
        let id = String::from_utf8(kv.key[PREFIX.len()..].to_vec()).unwrap();
        let entry = lilacquay_members::etcd::layout::entry(&id, &kv.value).unwrap();
        (id, text(&entry))
    });
    read.collect()
}

impl Sim {
    fn new(seed: u64) -> Sim {
        let mut rng = fastrand::Rng::with_seed(seed);
        let store = Store::new(9);
        let endpoints = rng.usize(1..4);
        let lives = vec![BTreeMap::from([(1, Listed::new())])];
        Sim {
            now: 1_000_000 * MS,
            backup: store.clone(),
            store,
            lives,
            endpoints: vec![Faults::default(); endpoints],
            stream: None,
            follower: Follower::new(options(seed, endpoints), None),
            kept: None,
            core: Listed::new(),
            last: None,
            tells: 0,
            rewound: 0,
            restoring: 0,
            rng,
        }
    }

    fn run(&mut self) {
        let end = self.now + TROUBLE;
        let (mut operate, mut trouble) = (self.now, self.now);
        while self.now < end {
            self.step(operate.min(trouble));
            if self.now >= operate {
                self.operate();
                let pause = *self.rng.choice(&[1, 10, 100, 400]).unwrap();
                operate = self.now + self.rng.u64(0..=pause * MS);
            }
            if self.now >= trouble {
                self.trouble();
                trouble = self.now + self.rng.u64(0..=1500 * MS);
            }
        }
        self.endpoints.fill(Faults::default());
        let end = self.now.max(self.restoring) + TROUBLE;
        while self.now < end {
            self.step(end);
        }
    }

    /// Goes on to what comes next, at a time at the latest.
    fn step(&mut self, latest: Micros) {
        self.pump();
        let comes = self.stream.as_ref().filter(|s| !self.endpoints[s.endpoint].silent);
        let comes = comes.and_then(|stream| stream.queue.front()).map_or(Micros::MAX, |(at, _)| *at);
        let wake = self.follower.wake_at();
        self.now = self.now.max(comes.min(wake).min(latest));
        self.store.expire_leases(self.now);
        self.remember();
        if comes <= self.now {
            let event = self.stream.as_mut().and_then(|stream| stream.queue.pop_front());
            self.tell(event.expect("one comes").1);
        } else if wake <= self.now {
            self.tell(Event::Tick);
        }
    }

    fn remember(&mut self) {
        let life = self.lives.last_mut().unwrap();
        let known = life.last_key_value().map_or(0, |(revision, _)| *revision);
        for revision in known + 1..=self.store.revision() {
            life.insert(revision, listed(&self.store, revision));
        }
    }

    // ---- the store's own life ----

    fn operate(&mut self) {
        if self.now < self.restoring {
            return; // nobody can write
        }
        self.remember();
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
        self.remember();
    }

    fn trouble(&mut self) {
        let one = self.rng.usize(..self.endpoints.len());
        let several = self.endpoints.len() > 2;
        let faults = &mut self.endpoints[one];
        match self.rng.u8(..12) {
            0 => faults.down = !faults.down,
            1 => faults.silent = !faults.silent,
            2 => faults.slow = self.rng.u64(..1500) * MS,
            3 => faults.drop = self.rng.f64(),
            4 => faults.twice = self.rng.f64(),
            5 => faults.split = self.rng.f64(),
            6 if several => {
                self.endpoints.iter_mut().for_each(|faults| faults.behind = 0);
                self.endpoints[one].behind = self.rng.i64(0..20);
            }
            7 => self.cancel(),
            8 => self.close(true),
            9 if self.rng.u8(..3) == 0 => self.restore(),
            10 if self.rng.bool() => self.restart(),
            _ => *faults = Faults::default(),
        }
    }

    /// Comes back with an older store, after a time in which no endpoint was up.
    fn restore(&mut self) {
        let mut life = self.lives.last().unwrap().clone();
        life.retain(|revision, _| *revision <= self.backup.revision());
        self.lives.push(life);
        self.store = self.backup.clone();
        self.restoring = self.now + 6000 * MS;
        self.close(true);
        self.remember();
    }

    fn restart(&mut self) {
        let kept = if self.rng.bool() { self.kept.clone() } else { None };
        let seed = self.rng.u64(..);
        self.follower = Follower::new(options(seed, self.endpoints.len()), kept);
        (self.stream, self.last) = (None, None);
        self.core.clear();
    }

    /// A watch is cancelled as if its revision were compacted.
    fn cancel(&mut self) {
        if self.store.compacted_revision() < self.store.revision() {
            self.store.compact(self.store.revision()).unwrap();
        }
        let answer = self.cancelled();
        self.answer(answer);
    }

    fn cancelled(&self) -> WatchResponse {
        let (canceled, compact_revision) = (true, self.store.compacted_revision());
        WatchResponse { header: Some(self.store.header()), canceled, compact_revision, ..Default::default() }
    }

    /// Breaks the open stream; what is on its way may still come, too late.
    fn close(&mut self, told: bool) {
        let Some(stream) = self.stream.take() else { return };
        if told {
            self.tell(Event::Failed(stream.call, Fault::Failed, "broken".into()));
        }
        for (_, late) in stream.queue.into_iter().take(3) {
            self.tell(late);
        }
    }

    // ---- the endpoints ----

    fn send(&mut self, event: Event) {
        let Some(endpoint) = self.stream.as_ref().map(|stream| stream.endpoint) else { return };
        let at = self.now + self.rng.u64(..3 * MS) + self.endpoints[endpoint].slow;
        let stream = self.stream.as_mut().unwrap();
        let after = stream.queue.back().map_or(0, |(at, _)| *at);
        stream.queue.push_back((at.max(after), event));
    }

    fn answer(&mut self, answer: WatchResponse) {
        if let Some(Stream { call, next: Some(_), .. }) = self.stream {
            self.send(Event::Watched(call, answer));
        }
    }

    /// Sends what is new to the open watch.
    fn pump(&mut self) {
        let Some(Stream { endpoint, next: Some(next), .. }) = self.stream else { return };
        if self.is_down(endpoint) {
            return self.close(true);
        }
        let events =
            self.store.events_since(next).map(|events| events.flatten().cloned().collect::<Vec<_>>());
        self.stream.as_mut().unwrap().next = Some(next.max(self.store.revision() + 1));
        let Ok(events) = events else {
            let answer = self.cancelled();
            return self.answer(answer);
        };
        let ours = |event: &lilacquay_etcd::api::Event| {
            event.kv.as_ref().is_some_and(|kv| kv.key.starts_with(PREFIX.as_bytes()))
        };
        let events: Vec<_> = events.into_iter().filter(ours).collect();
        if events.is_empty() {
            return;
        }
        let Faults { drop, twice, split, .. } = self.endpoints[endpoint];
        let whole = WatchResponse { header: Some(self.store.header()), events, ..Default::default() };
        for _ in 0..=usize::from(self.rng.f64() < twice) {
            if self.rng.f64() < split {
                for (n, event) in whole.events.iter().enumerate() {
                    let (events, fragment) = (vec![event.clone()], n + 1 < whole.events.len());
                    self.answer(WatchResponse { events, fragment, ..whole.clone() });
                }
            } else {
                self.answer(whole.clone());
            }
        }
        if self.rng.f64() < drop {
            self.close(true);
        }
    }

    fn is_down(&self, endpoint: usize) -> bool {
        self.endpoints[endpoint].down || self.now < self.restoring
    }

    // ---- the follower ----

    fn tell(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.follower.on_event(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.carry_out(action));
    }

    fn open(&mut self, call: Call, endpoint: usize, next: Option<i64>) {
        assert!(endpoint < self.endpoints.len());
        self.stream = Some(Stream { call, endpoint, queue: VecDeque::new(), next });
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Range(call, endpoint, asked) => {
                self.open(call, endpoint, None);
                let behind = self.endpoints[endpoint].behind;
                let old = (self.store.revision() - behind).max(self.store.compacted_revision()).max(1);
                let at = if asked.revision > 0 || behind == 0 { asked.revision } else { old };
                let page = self.store.range((&asked.key, &asked.range_end), at, asked.limit);
                let event = match page {
                    _ if self.is_down(endpoint) => Event::Failed(call, Fault::Unreached, "refused".into()),
                    Ok(mut page) => {
                        if behind > 0 {
                            page.header.as_mut().unwrap().revision = at;
                        }
                        Event::Page(call, page)
                    }
                    Err(StoreError::Compacted) => Event::Failed(call, Fault::Compacted, "compacted".into()),
                    Err(_) => Event::Failed(call, Fault::Failed, "future".into()),
                };
                self.send(event);
            }
            Action::Watch(call, endpoint, WatchCreateRequest { start_revision, .. }) => {
                self.open(call, endpoint, Some(start_revision));
                if self.is_down(endpoint) {
                    return self.send(Event::Failed(call, Fault::Unreached, "refused".into()));
                }
                let header = Some(self.store.header());
                self.answer(WatchResponse { header, created: true, ..Default::default() });
            }
            Action::Ask => {
                self.pump();
                let header = Some(self.store.header());
                self.answer(WatchResponse { header, watch_id: -1, ..Default::default() });
            }
            Action::Close => self.close(false),
            Action::Tell(change) => self.told(change),
            Action::Keep => {
                self.kept = self.follower.kept();
                assert!(self.kept.as_ref().is_some_and(|kept| kept.as_of <= self.now));
            }
            Action::Note(note) => {
                self.rewound +=
                    usize::from(matches!(note, lilacquay_members::etcd::follower::Note::Rewound(..)));
                assert!(!note.to_string().is_empty());
            }
        }
    }

    fn told(&mut self, change: Change) {
        self.tells += 1;
        if change.list.full {
            self.core.clear();
        }
        for entry in change.list.servers {
            match entry.state {
                ServerState::Deleted => {
                    assert!(self.core.remove(&entry.id).is_some(), "{} was not there", entry.id)
                }
                _ => drop(self.core.insert(entry.id.clone(), text(&entry))),
            }
        }
        let place = (change.history, change.revision);
        assert!(self.last.is_none_or(|last| last < place), "{place:?} told after {:?}", self.last);
        self.last = Some(place);
        let was = |life: &BTreeMap<i64, Listed>| life.get(&change.revision) == Some(&self.core);
        assert!(self.lives.iter().any(was), "never the store's list at {}: {:?}", change.revision, self.core);
    }
}

#[test]
fn a_thousand_histories_end_in_the_stores_list() {
    let run = |seed| {
        let mut sim = Sim::new(seed);
        let ran = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| sim.run()));
        assert!(ran.is_ok(), "seed {seed}");
        assert_eq!(sim.core, listed(&sim.store, 0), "seed {seed}");
        (sim.tells, sim.rewound)
    };
    let halves = std::thread::scope(|scope| {
        let half = |from| scope.spawn(move || (from..1000).step_by(2).map(run).collect::<Vec<_>>());
        [half(0), half(1)].map(|half| half.join().unwrap())
    });
    let (tells, rewound) = halves.iter().flatten().fold((0, 0), |all, one| (all.0 + one.0, all.1 + one.1));
    // A follower that told nothing would be in order; one that never met an older store would prove little.
    assert!(tells > 20_000 && rewound > 100, "{tells} lists told, {rewound} older stores believed");
}
