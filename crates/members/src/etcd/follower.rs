//! Follows the list of servers through etcd's Range and Watch: events in, actions out. It does no I/O, has no
//! clock and no thread; what is sent and read are the API's own messages.
//!
//! One call is open at a time. A whole list is read in pages at one revision, then watched from the next one; a
//! watch that breaks goes on from the revision held, and where that can't be had or what comes contradicts what
//! is held, the whole list is read again. docs/design/etcd-membership.md weighs the ways.

use std::collections::BTreeMap;
use std::fmt;

use lilacquay_core::{Entry, List, Micros, State};
use lilacquay_etcd::api::event::EventType;
use lilacquay_etcd::api::{
    self, KeyValue, RangeRequest, RangeResponse, ResponseHeader, WatchCreateRequest, WatchResponse,
};
use lilacquay_etcd::{Fault, end_of};

use super::layout;
use super::list_cache::CachedList;

/// The number of a call: what comes of an earlier one is late and changes nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Call(pub u64);

/// What the follower is told.
#[derive(Debug)]
pub enum Event {
    /// A page of the list.
    Page(Call, RangeResponse),
    /// An answer of the watch.
    Watched(Call, WatchResponse),
    /// The call has failed, or the watch's stream has ended.
    Failed(Call, Fault, String),
    /// The time that [`Follower::wake_at`] named has come.
    Tick,
    /// There are so many endpoints now, and they may be others.
    Moved(usize),
}

/// What it wants done.
#[derive(Debug)]
pub enum Action {
    /// Read a page, and close any other call.
    Range(Call, usize, RangeRequest),
    /// Open a watch at the endpoint of this number, and close any other call.
    Watch(Call, usize, WatchCreateRequest),
    /// Ask on the open watch how far it is.
    Ask,
    /// Close the open call.
    Close,
    /// Tell the core.
    Tell(Change),
    /// Keep [`Follower::kept`].
    Keep,
    /// Say so in the log.
    Note(Note),
}

/// A list, whole or what has changed, and where it stands in the store's history.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// What to tell.
    pub list: List,
    /// The revision that the list has with it.
    pub revision: i64,
    /// How many histories came before this one: one more for each store that went backwards.
    pub history: u32,
}

/// What those who run a node should know.
#[derive(Debug, Clone, PartialEq)]
pub enum Note {
    /// It begins with a kept list of this revision, so many servers and this age.
    Kept(i64, usize, Micros),
    /// It follows the store from this revision on, with so many servers, at the endpoint of this number.
    Following(i64, usize, usize),
    /// A call at this endpoint failed for the n-th time in a row; the next is made after this time.
    Lost(usize, String, u32, Micros),
    /// What came contradicts what is held: the whole list is read.
    Doubt(String),
    /// This key can't be read; its server is kept as it was.
    Malformed(String, String),
    /// A whole list of another cluster or an older revision than this one was told; it must be told again to be
    /// believed.
    Rumour(i64, i64),
    /// It was told again, and counts.
    Rewound(i64, i64),
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let s = |micros: &Micros| *micros as f64 / 1e6;
        match self {
            Note::Kept(revision, servers, age) => {
                write!(f, "{servers} servers from the kept list of revision {revision}, {:.0} s old", s(age))
            }
            Note::Following(revision, servers, endpoint) => {
                write!(f, "following {servers} servers from revision {revision} at endpoint {endpoint}")
            }
            Note::Lost(endpoint, why, times, wait) => {
                write!(f, "endpoint {endpoint}: {why} (failure {times}; next try in {:.2} s)", s(wait))
            }
            Note::Doubt(why) => write!(f, "{why}; reading the whole list"),
            Note::Malformed(key, why) => {
                write!(f, "{key:?} can't be read, its server stays as it was: {why}")
            }
            Note::Rumour(told, held) => {
                write!(f, "another history is told: revision {told} where {held} is held; asking again")
            }
            Note::Rewound(told, held) => {
                write!(f, "the store has another history: its revision {told} replaces {held}")
            }
        }
    }
}

/// Times and bounds.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Keys in a page.
    pub page: i64,
    /// A page, or the first answer of a watch, must come in this time.
    pub answer: Micros,
    /// A watch that was silent for so long is asked how far it is ...
    pub quiet: Micros,
    /// ... and counts as dead if it is silent for so long after that.
    pub dead: Micros,
    /// The wait after a first failure is up to this, and doubles with each ...
    pub first_wait: Micros,
    /// ... up to this.
    pub longest_wait: Micros,
    /// A watch goes on from the revision held if that was the newest so lately; else the whole list is read, since
    /// a store may have been restored from a backup meanwhile, and have passed that revision on another way.
    pub resume: Micros,
    /// After so long a watch has shown that it works, and failures count from the start.
    pub settled: Micros,
    /// Changes that come sooner than this after others were told are told together.
    pub gather: Micros,
    /// A changed list is kept so often at most ...
    pub keep: Micros,
    /// ... and one that has not changed so often, for its age.
    pub keep_unchanged: Micros,
    /// Most servers: a larger list is not believed.
    pub most: usize,
}

impl Default for Pace {
    /// Silence is noticed after 3 s, as discovery's. Changes wait for one another for a part of the time that a
    /// server may be sent to after word: to tell the core costs by the length of the list.
    fn default() -> Self {
        Pace {
            page: 500,
            answer: 2_000_000,
            quiet: 2_000_000,
            dead: 1_000_000,
            first_wait: 50_000,
            longest_wait: 5_000_000,
            resume: 5_000_000,
            settled: 2_000_000,
            gather: 20_000,
            keep: 1_000_000,
            keep_unchanged: 30_000_000,
            most: 20_000,
        }
    }
}

/// What a follower is made of.
#[derive(Debug, Clone)]
pub struct Options {
    /// All keys of servers begin with this.
    pub prefix: String,
    /// How many endpoints there are; one at least.
    pub endpoints: usize,
    /// For the jitter of waits, so that hundreds of nodes don't come back in step.
    pub seed: u64,
    /// Times and bounds.
    pub pace: Pace,
    /// Whether the list is to be kept.
    pub keeps: bool,
}

/// A key, as it is held.
#[derive(Debug, Clone, PartialEq)]
struct Item {
    /// The revision in which it changed last.
    revision: i64,
    /// Nothing if it could never be read.
    entry: Option<Entry>,
    /// Why its newest value can't be read.
    malformed: Option<String>,
}

/// What is known of the store.
#[derive(Debug, Clone, Default)]
struct Held {
    cluster: u64,
    /// All changes up to this one are in the list.
    revision: i64,
    /// When it was last known to be the newest.
    as_of: Micros,
    items: BTreeMap<String, Item>,
}

/// An event of a watch, read.
struct Told {
    revision: i64,
    id: String,
    /// Nothing for a deletion.
    item: Option<Item>,
}

enum Phase {
    /// Until the next try, which reads the whole list or goes on with a watch.
    Resting {
        until: Micros,
        whole: bool,
    },
    Ranging(Ranging),
    Watching(Watching),
}

struct Ranging {
    since: Micros,
    until: Micros,
    /// What the first page told.
    cluster: u64,
    revision: i64,
    items: BTreeMap<String, Item>,
    /// Where the next page begins.
    next: Vec<u8>,
}

struct Watching {
    since: Micros,
    heard: Micros,
    asked: Option<Micros>,
    created: bool,
    /// It began behind a whole list from the same endpoint.
    behind_list: bool,
    /// Parts of an answer that is not whole.
    parts: Vec<Told>,
}

/// Follows the list.
pub struct Follower {
    prefix: String,
    endpoints: usize,
    pace: Pace,
    keeps: bool,
    rng: fastrand::Rng,
    held: Option<Held>,
    history: u32,
    /// Whether the core has a list.
    told: bool,
    /// The servers of which the core does not know the newest yet, each as it knows it.
    untold: BTreeMap<String, Option<Entry>>,
    told_at: Micros,
    phase: Phase,
    call: u64,
    endpoint: usize,
    failures: u32,
    /// Keys in a page; fewer where answers were too large.
    page: i64,
    /// Whole lists in a row that tell another history than the one held.
    rumours: usize,
    unkept: bool,
    kept_at: Micros,
    complained: bool,
}

impl Follower {
    /// A follower that knows this list from before, if it is of the same keys.
    pub fn new(options: Options, kept: Option<CachedList>) -> Self {
        let Options { prefix, endpoints, seed, pace, keeps } = options;
        let held = kept.filter(|kept| kept.prefix == prefix).map(Held::from);
        let (endpoints, page) = (endpoints.max(1), pace.page);
        let mut rng = fastrand::Rng::with_seed(seed);
        let kept_at = held.as_ref().map_or(0, |held| held.as_of);
        Follower {
            prefix,
            endpoints,
            pace,
            keeps,
            held,
            history: 0,
            told: false,
            untold: BTreeMap::new(),
            told_at: 0,
            phase: Phase::Resting { until: 0, whole: true },
            call: 0,
            endpoint: rng.usize(..endpoints),
            rng,
            failures: 0,
            page,
            rumours: 0,
            unkept: false,
            kept_at,
            complained: false,
        }
    }

    /// When it wants [`Event::Tick`] next.
    pub fn wake_at(&self) -> Micros {
        let call = match &self.phase {
            Phase::Resting { until, .. } => *until,
            Phase::Ranging(range) => range.until,
            Phase::Watching(watch) => match watch.asked {
                _ if !watch.created => watch.since + self.pace.answer,
                None => watch.heard + self.pace.quiet,
                Some(asked) => asked + self.pace.dead,
            },
        };
        let others = [self.keep_due(), self.tell_due()];
        others.into_iter().flatten().fold(call, Micros::min)
    }

    /// The list held, as it is kept.
    pub fn kept(&self) -> Option<CachedList> {
        let held = self.held.as_ref()?;
        let servers = held.items.values().filter_map(|item| Some((item.entry.clone()?, item.revision)));
        Some(CachedList {
            prefix: self.prefix.clone(),
            cluster: held.cluster,
            revision: held.revision,
            as_of: held.as_of,
            servers: servers.collect(),
        })
    }

    /// Takes an event; adds what is to be done.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Page(call, page) if call.0 == self.call => self.page(now, page, out),
            Event::Watched(call, told) if call.0 == self.call => self.watched(now, told, out),
            Event::Failed(call, fault, why) if call.0 == self.call => self.failed(now, fault, &why, out),
            Event::Page(..) | Event::Watched(..) | Event::Failed(..) => {} // late
            Event::Tick => self.tick(now, out),
            Event::Moved(endpoints) => {
                self.endpoints = endpoints.max(1);
                (self.endpoint, self.failures) = (self.rng.usize(..self.endpoints), 0);
                self.read(now, out);
            }
        }
        if self.tell_due().is_some_and(|due| due <= now) {
            self.tell(now, out);
        }
        if self.keep_due().is_some_and(|due| due <= now) {
            (self.unkept, self.kept_at) = (false, now);
            out.push(Action::Keep);
        }
    }

    fn tell_due(&self) -> Option<Micros> {
        (self.told && !self.untold.is_empty()).then_some(self.told_at + self.pace.gather)
    }

    fn keep_due(&self) -> Option<Micros> {
        let wanted = self.keeps && self.call > 0 && self.held.as_ref().is_some_and(|held| held.revision > 0);
        let every = if self.unkept { self.pace.keep } else { self.pace.keep_unchanged };
        // What has not been heard again has not grown younger.
        let newer = self.unkept || self.held.as_ref().is_some_and(|held| held.as_of > self.kept_at);
        (wanted && newer).then_some(self.kept_at + every)
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if let (false, Some(held)) = (self.told, &self.held) {
            let age = now.saturating_sub(held.as_of);
            out.push(Action::Note(Note::Kept(held.revision, held.items.len(), age)));
            self.tell_whole(now, out);
        }
        let (answer, dead) = (self.pace.answer, self.pace.dead);
        match &mut self.phase {
            Phase::Resting { until, whole } if *until <= now => {
                let resume = self.pace.resume;
                match self.held.as_ref().is_some_and(|held| !*whole && held.as_of + resume > now) {
                    true => self.watch(now, false, out),
                    false => self.read(now, out),
                }
            }
            Phase::Ranging(range) if range.until <= now => {
                self.again(now, self.must_read(), "no answer", out);
            }
            Phase::Watching(watch) if !watch.created && watch.since + answer <= now => {
                self.again(now, self.must_read(), "no answer", out);
            }
            Phase::Watching(watch) if watch.created => match watch.asked {
                None if watch.heard + self.pace.quiet <= now => {
                    watch.asked = Some(now);
                    out.push(Action::Ask);
                }
                Some(asked) if asked + dead <= now => self.again(now, false, "the watch is silent", out),
                _ => {}
            },
            _ => {}
        }
    }

    /// Whether a try that fails now must be followed by reading the whole list.
    fn must_read(&self) -> bool {
        matches!(self.phase, Phase::Ranging(_))
    }

    // ---- calls ----

    fn next_call(&mut self) -> Call {
        self.call += 1;
        Call(self.call)
    }

    /// Begins to read the whole list.
    fn read(&mut self, now: Micros, out: &mut Vec<Action>) {
        let next = self.prefix.clone().into_bytes();
        let (cluster, revision, items) = Default::default();
        let until = now + self.pace.answer;
        self.phase = Phase::Ranging(Ranging { since: now, until, cluster, revision, items, next });
        self.read_page(out);
    }

    fn read_page(&mut self, out: &mut Vec<Action>) {
        let call = self.next_call();
        if let Phase::Ranging(range) = &self.phase {
            let (key, range_end) = (range.next.clone(), end_of(self.prefix.as_bytes()));
            let asked = RangeRequest { key, range_end, limit: self.page, revision: range.revision };
            out.push(Action::Range(call, self.endpoint, asked));
        }
    }

    /// Watches what comes after the revision held.
    fn watch(&mut self, now: Micros, behind_list: bool, out: &mut Vec<Action>) {
        let (since, heard, asked, created, parts) = (now, now, None, false, Vec::new());
        self.phase = Phase::Watching(Watching { since, heard, asked, created, behind_list, parts });
        let call = self.next_call();
        let asked = WatchCreateRequest {
            key: self.prefix.clone().into_bytes(),
            range_end: end_of(self.prefix.as_bytes()),
            start_revision: self.held.as_ref().map_or(0, |held| held.revision) + 1,
            progress_notify: true,
            watch_id: 0,
            fragment: true,
        };
        out.push(Action::Watch(call, self.endpoint, asked));
    }

    fn failed(&mut self, now: Micros, fault: Fault, why: &str, out: &mut Vec<Action>) {
        match fault {
            // The pages' revision, or the watch's: in both cases there is a newer one to be had at once.
            Fault::Compacted => self.doubt(now, why, out),
            Fault::TooLarge if self.page > 1 => {
                self.page = (self.page / 4).max(1);
                self.again(now, self.must_read(), why, out);
            }
            _ => self.again(now, self.must_read(), why, out),
        }
    }

    /// Tries again later, at the next endpoint.
    fn again(&mut self, now: Micros, whole: bool, why: &str, out: &mut Vec<Action>) {
        let wait = self.rest(now, whole, out);
        // Each failure at first, then ever fewer: a log must not fill with a lost store.
        if self.failures.is_power_of_two() {
            out.push(Action::Note(Note::Lost(self.endpoint, words(why), self.failures, wait)));
        }
        self.endpoint = (self.endpoint + 1) % self.endpoints;
    }

    /// Reads the whole list soon, at the same endpoint.
    fn doubt(&mut self, now: Micros, why: &str, out: &mut Vec<Action>) {
        self.rest(now, true, out);
        if self.failures.is_power_of_two() {
            out.push(Action::Note(Note::Doubt(words(why))));
        }
    }

    fn rest(&mut self, now: Micros, whole: bool, out: &mut Vec<Action>) -> Micros {
        self.failures = self.failures.saturating_add(1);
        let doubled = self.pace.first_wait << (self.failures - 1).min(20);
        let most = doubled.min(self.pace.longest_wait);
        let least = if self.failures == 1 { 0 } else { most / 2 };
        let wait = self.rng.u64(least..=most);
        self.next_call(); // what still comes of the one before is late
        self.phase = Phase::Resting { until: now + wait, whole };
        out.push(Action::Close);
        wait
    }

    // ---- the whole list ----

    fn page(&mut self, now: Micros, page: RangeResponse, out: &mut Vec<Action>) {
        let Phase::Ranging(range) = &mut self.phase else { return };
        if let Err(why) = range.take(&page, &self.prefix, self.pace.most) {
            return self.again(now, true, why, out);
        }
        for kv in page.kvs {
            let Some((id, item)) = read_kv(&self.prefix, &kv, &mut self.complained, out) else { continue };
            if let Phase::Ranging(range) = &mut self.phase {
                range.items.insert(id, item);
            }
        }
        let resting = Phase::Resting { until: now, whole: true };
        match std::mem::replace(&mut self.phase, resting) {
            Phase::Ranging(range) if !page.more => self.whole(now, range, out),
            range => {
                self.phase = range;
                if let Phase::Ranging(range) = &mut self.phase {
                    range.until = now + self.pace.answer;
                }
                self.read_page(out);
            }
        }
    }

    /// A whole list has come: is it of the history that is held, and what has changed in it?
    fn whole(&mut self, now: Micros, range: Ranging, out: &mut Vec<Action>) {
        if let Some(held) = &self.held {
            let other = held.contradicts(&range);
            let note = (range.revision, held.revision);
            if other && !self.believe_rumour() {
                // Guards against: a member that answers from an old state, for which the newer list would be lost.
                self.rest(now, true, out);
                self.endpoint = (self.endpoint + 1) % self.endpoints;
                return out.push(Action::Note(Note::Rumour(note.0, note.1)));
            }
            if other {
                self.history += 1;
                out.push(Action::Note(Note::Rewound(note.0, note.1)));
            }
        }
        self.rumours = 0;
        let mut items = range.items;
        // Both are in order of their ids, and gone through once: a look-up for each would hold the thread for long.
        let mut before = self.held.take().unwrap_or_default().items.into_iter().peekable();
        for (id, item) in &mut items {
            while let Some((id, old)) = before.next_if(|(other, _)| other < id) {
                note_untold(&mut self.untold, &id, Some(old), None);
            }
            let old = before.next_if(|(other, _)| other == id).map(|(_, old)| old);
            item.keep_of(id, old.as_ref(), out);
            note_untold(&mut self.untold, id, old, item.entry.as_ref());
        }
        for (id, old) in before {
            note_untold(&mut self.untold, &id, Some(old), None);
        }
        let (cluster, revision) = (range.cluster, range.revision);
        let servers = items.len();
        self.held = Some(Held { cluster, revision, as_of: range.since, items });
        self.unkept = true;
        if !self.untold.is_empty() {
            self.failures = 0; // news, as a watch's
        }
        match self.told {
            true => self.tell(now, out),
            false => self.tell_whole(now, out),
        }
        out.push(Action::Note(Note::Following(revision, servers, self.endpoint)));
        self.watch(now, true, out);
    }

    /// Whether another history has been told often enough: by each endpoint once, if all can be reached, and
    /// twice at least.
    fn believe_rumour(&mut self) -> bool {
        self.rumours += 1;
        self.rumours >= self.endpoints.max(2)
    }

    fn tell_whole(&mut self, now: Micros, out: &mut Vec<Action>) {
        (self.told, self.told_at) = (true, now);
        self.untold.clear();
        let items = self.held.iter().flat_map(|held| held.items.values());
        let servers = items.filter_map(|item| item.entry.clone()).collect();
        self.push_change(List { full: true, servers }, out);
    }

    /// Tells what the core does not know, as one change.
    fn tell(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(held) = &self.held else { return };
        let now_as = |id: &String| held.items.get(id).and_then(|item| item.entry.clone());
        let changed =
            std::mem::take(&mut self.untold).into_iter().filter_map(|(id, known)| match now_as(&id) {
                entry if entry == known => None,
                Some(entry) => Some(entry),
                None => known.map(|known| Entry { state: State::Deleted, ..known }),
            });
        let servers: Vec<Entry> = changed.collect();
        if !servers.is_empty() {
            self.told_at = now;
            self.push_change(List { full: false, servers }, out);
        }
    }

    fn push_change(&self, list: List, out: &mut Vec<Action>) {
        let revision = self.held.as_ref().map_or(0, |held| held.revision);
        out.push(Action::Tell(Change { list, revision, history: self.history }));
    }

    // ---- the watch ----

    fn watched(&mut self, now: Micros, told: WatchResponse, out: &mut Vec<Action>) {
        let (Phase::Watching(watch), Some(held)) = (&mut self.phase, &self.held) else { return };
        let Some(header) = told.header else {
            return self.doubt(now, "an answer without a header", out);
        };
        (watch.heard, watch.asked) = (now, None);
        if now >= watch.since + self.pace.settled {
            self.failures = 0;
        }
        if header.cluster_id != held.cluster {
            return self.doubt(now, "the watch is another cluster's", out);
        }
        if told.canceled {
            let why = match told.compact_revision {
                0 => format!("the watch was cancelled: {}", told.cancel_reason),
                oldest => format!("the watch's revision is compacted, up to {oldest}"),
            };
            return self.doubt(now, &why, out);
        }
        if told.created {
            watch.created = true;
            // Guards against: a store that went backwards, of which a watch from a revision to come tells
            // nothing. A member that only lags is told from it by the list, which a quorum answers.
            if header.revision < held.revision && !watch.behind_list {
                return self.doubt(now, "the store's revision is older than the one held", out);
            }
            return;
        }
        if !watch.created {
            return self.doubt(now, "an answer of a watch that was not made", out);
        }
        let is_progress = told.events.is_empty() && !told.fragment && watch.parts.is_empty();
        if is_progress {
            return self.progress(now, header);
        }
        self.parts(now, told, out);
    }

    /// All changes up to this revision have been told.
    fn progress(&mut self, now: Micros, header: ResponseHeader) {
        if let Some(held) = &mut self.held {
            held.as_of = now;
            if (held.revision + 1..i64::MAX).contains(&header.revision) {
                held.revision = header.revision;
                self.unkept = true;
            }
        }
    }

    /// Takes an answer with events, or a part of one.
    fn parts(&mut self, now: Micros, told: WatchResponse, out: &mut Vec<Action>) {
        for event in told.events {
            let read = read_event(&self.prefix, event, &mut self.complained, out);
            let Phase::Watching(watch) = &mut self.phase else { return };
            match read {
                Ok(read) => watch.parts.extend(read),
                Err(why) => return self.doubt(now, why, out),
            }
            if watch.parts.len() > 4 * self.pace.most {
                return self.doubt(now, "too many changes in one answer", out);
            }
        }
        let Phase::Watching(watch) = &mut self.phase else { return };
        if told.fragment {
            return;
        }
        let mut parts = std::mem::take(&mut watch.parts);
        parts.sort_by_key(|told| told.revision); // stable: within a revision the order counts
        while !parts.is_empty() {
            let revision = parts[0].revision;
            let rest = parts.split_off(parts.partition_point(|told| told.revision == revision));
            if let Err(why) = self.apply(now, revision, parts, out) {
                return self.doubt(now, why, out);
            }
            parts = rest;
        }
    }

    /// Applies the changes of one revision as one.
    fn apply(
        &mut self,
        now: Micros,
        revision: i64,
        changes: Vec<Told>,
        out: &mut Vec<Action>,
    ) -> Result<(), &'static str> {
        let Some(held) = &mut self.held else { return Ok(()) };
        if revision <= held.revision {
            // Guards against: changes of a revision that come in two answers, and changes that come late.
            return match changes.iter().all(|told| held.reflects(told)) {
                true => Ok(()), // a replay
                false => Err("a change came that an earlier one should have included"),
            };
        }
        let mut net: BTreeMap<String, Option<Item>> = BTreeMap::new();
        for Told { id, item, .. } in changes {
            net.insert(id, item);
        }
        for (id, item) in net {
            let old = held.items.remove(&id);
            match item {
                Some(mut item) => {
                    item.keep_of(&id, old.as_ref(), out);
                    note_untold(&mut self.untold, &id, old, item.entry.as_ref());
                    held.items.insert(id, item);
                }
                None => note_untold(&mut self.untold, &id, old, None),
            }
        }
        (held.revision, held.as_of) = (revision, now);
        if held.items.len() > self.pace.most {
            return Err("the list has too many servers");
        }
        (self.unkept, self.failures) = (true, 0);
        Ok(())
    }
}

impl Ranging {
    /// Checks a page, and notes where the next begins.
    fn take(&mut self, page: &RangeResponse, prefix: &str, most: usize) -> Result<(), &'static str> {
        let header = page.header.ok_or("a page without a header")?;
        if !(1..i64::MAX).contains(&header.revision) {
            return Err("a page without a revision");
        }
        if self.revision == 0 {
            (self.cluster, self.revision) = (header.cluster_id, header.revision);
        }
        if header.cluster_id != self.cluster || header.revision < self.revision {
            return Err("pages of two stores");
        }
        let mut next = std::mem::take(&mut self.next);
        for kv in &page.kvs {
            if !kv.key.starts_with(prefix.as_bytes()) || kv.key < next {
                return Err("a page with keys that were not asked for");
            }
            if !(1..=self.revision).contains(&kv.mod_revision) {
                return Err("a page with a key from another revision");
            }
            next.clone_from(&kv.key);
            next.push(0);
        }
        if page.more && page.kvs.is_empty() {
            return Err("a page without keys, and more to come");
        }
        if self.items.len() + page.kvs.len() > most {
            return Err("the list has too many servers");
        }
        self.next = next;
        Ok(())
    }
}

impl Item {
    /// A value that can't be read leaves the server as it was; said once for each reason.
    fn keep_of(&mut self, id: &str, old: Option<&Item>, out: &mut Vec<Action>) {
        let Some(why) = &self.malformed else { return };
        self.entry = old.and_then(|old| old.entry.clone());
        if old.and_then(|old| old.malformed.as_ref()) != Some(why) {
            out.push(Action::Note(Note::Malformed(id.to_owned(), why.clone())));
        }
    }
}

impl Held {
    /// Whether a whole list can't be of the same history: it is of another cluster, older than what is held, or
    /// has a key otherwise than all changes up to the revision held have left it.
    fn contradicts(&self, range: &Ranging) -> bool {
        if range.cluster != self.cluster || range.revision < self.revision {
            return true;
        }
        let same = range.revision == self.revision;
        let mut held = self.items.iter().peekable();
        for (id, item) in &range.items {
            while held.next_if(|(other, _)| *other < id).is_some() {
                if same {
                    return true; // lost
                }
            }
            let otherwise = match held.next_if(|(other, _)| *other == id) {
                Some((_, old)) => item.revision <= self.revision && item.revision != old.revision,
                // What could never be read is not kept on a disk.
                None => item.revision <= self.revision && same && item.entry.is_some(),
            };
            if otherwise {
                return true;
            }
        }
        same && held.next().is_some()
    }

    /// Whether a change of a revision held is in the list.
    fn reflects(&self, told: &Told) -> bool {
        match self.items.get(&told.id) {
            Some(item) => item.revision >= told.revision,
            None => told.item.is_none(),
        }
    }
}

impl From<CachedList> for Held {
    fn from(kept: CachedList) -> Self {
        let CachedList { cluster, revision, as_of, servers, .. } = kept;
        let item = |(entry, revision): (Entry, i64)| {
            (entry.id.clone(), Item { revision, entry: Some(entry), malformed: None })
        };
        Held { cluster, revision, as_of, items: servers.into_iter().map(item).collect() }
    }
}

/// Notes that the core does not know a server's newest entry, with the entry that it knows.
fn note_untold(
    untold: &mut BTreeMap<String, Option<Entry>>,
    id: &str,
    old: Option<Item>,
    new: Option<&Entry>,
) {
    let old = old.and_then(|old| old.entry);
    if old.as_ref() != new && !untold.contains_key(id) {
        untold.insert(id.to_owned(), old);
    }
}

/// Reads a key and its value; nothing for a key that names no server, which is said once.
fn read_kv(
    prefix: &str,
    kv: &KeyValue,
    complained: &mut bool,
    out: &mut Vec<Action>,
) -> Option<(String, Item)> {
    let id = read_id(prefix, kv, complained, out)?;
    let read = layout::parse_value(&id, &kv.value).map_err(|malformed| words(&malformed.0));
    let (entry, malformed) = match read {
        Ok(entry) => (Some(entry), None),
        Err(why) => (None, Some(why)),
    };
    Some((id, Item { revision: kv.mod_revision, entry, malformed }))
}

fn read_id(prefix: &str, kv: &KeyValue, complained: &mut bool, out: &mut Vec<Action>) -> Option<String> {
    let rest = kv.key.strip_prefix(prefix.as_bytes())?;
    match layout::parse_id(rest) {
        Ok(id) => Some(id.to_owned()),
        Err(malformed) => {
            if !std::mem::replace(complained, true) {
                let key = words(&String::from_utf8_lossy(&kv.key));
                out.push(Action::Note(Note::Malformed(key, malformed.0)));
            }
            None
        }
    }
}

fn read_event(
    prefix: &str,
    event: api::Event,
    complained: &mut bool,
    out: &mut Vec<Action>,
) -> Result<Option<Told>, &'static str> {
    let (kind, Some(kv)) = (event.r#type(), event.kv) else { return Err("an event without a key") };
    let revision = kv.mod_revision;
    if !(1..i64::MAX).contains(&revision) {
        return Err("an event without a revision");
    }
    Ok(match kind {
        EventType::Put => {
            let read = read_kv(prefix, &kv, complained, out);
            read.map(|(id, item)| Told { revision, id, item: Some(item) })
        }
        EventType::Delete => {
            read_id(prefix, &kv, complained, out).map(|id| Told { revision, id, item: None })
        }
    })
}

/// Words from outside, for the log: one line of bounded length.
fn words(text: &str) -> String {
    text.chars().take(200).map(|c| if c.is_control() { ' ' } else { c }).collect()
}

#[cfg(test)]
#[path = "follower_tests.rs"]
mod tests;
