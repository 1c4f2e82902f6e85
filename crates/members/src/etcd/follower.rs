//! State machine that follows the server list through etcd's Range and Watch calls. It takes events and returns actions;
//! it has no I/O, clock or threads, and uses the messages of the etcd API.
//!
//! One call is open at a time. The full list is read in pages at one revision, then watched from the next revision. A
//! broken watch resumes from the known revision. If that is not possible, or a response contradicts the known list, the
//! full list is read again. docs/design/etcd-membership.md compares the alternatives.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use lilacquay_core::{Micros, ServerEntry, ServerList, ServerState};
use lilacquay_etcd::api::event::EventType;
use lilacquay_etcd::api::{
    self, KeyValue, RangeRequest, RangeResponse, ResponseHeader, WatchCreateRequest, WatchResponse,
};
use lilacquay_etcd::{ErrorKind, prefix_range_end};

use super::layout;
use super::list_cache::CachedList;
use crate::response_timeout::{ResponseTime, ResponseTimeout};

/// Number of a call. Events of earlier calls are late and are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallId(pub u64);

/// An input of the follower.
#[derive(Debug)]
pub enum Event {
    /// A page of the list.
    Page(CallId, RangeResponse),
    /// A response of the watch.
    WatchResponse(CallId, WatchResponse),
    /// The call has failed, or the watch stream has ended.
    CallFailed(CallId, ErrorKind, String),
    /// The time returned by [`Follower::next_wakeup`] has come.
    Tick,
    /// The endpoints have changed; there are this many now.
    EndpointsChanged(usize),
}

/// An output of the follower.
#[derive(Debug)]
pub enum Action {
    /// Read a page of the list from the endpoint at this index, and close any other call.
    ReadPage(CallId, usize, RangeRequest),
    /// Open a watch at the endpoint at this index, and close any other call.
    OpenWatch(CallId, usize, WatchCreateRequest),
    /// Request a progress notification on the open watch.
    RequestProgress,
    /// Close the open call.
    CloseCall,
    /// Send the update to the core.
    Publish(ListUpdate),
    /// Store [`Follower::to_cached_list`] on disk.
    SaveCache,
    /// Write the notice to the log.
    Log(Notice),
}

/// A full list or the changes to it, and its position in the store's history.
#[derive(Debug, Clone, PartialEq)]
pub struct ListUpdate {
    /// The full list or the changes.
    pub list: ServerList,
    /// Revision that the list reaches with this update.
    pub revision: i64,
    /// Number of the store's history, incremented each time the store is replaced by one with another history.
    pub history_number: u32,
}

/// A log message for operators.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
    /// Started from a cached list with this revision, number of servers and age.
    CacheLoaded(i64, usize, Micros),
    /// Follows the store from this revision, with this number of servers, at the endpoint at this index.
    Following(i64, usize, usize),
    /// A call at this endpoint failed: the reason, the number of failures in a row, and the delay before the next call.
    CallFailed(usize, String, u32, Micros),
    /// A response contradicts the known list, for this reason. The full list is read again.
    Inconsistent(String),
    /// This key can't be parsed, for this reason. The last known entry of its server stays.
    Malformed(String, String),
    /// A full list belongs to another cluster or history: its revision, and the known one. It is accepted only once as
    /// many lists in a row as there are endpoints, and at least two, conflict (`confirm_conflicting_history`).
    HistoryConflict(i64, i64),
    /// A conflicting list was confirmed and replaces the known one: its revision, and the one known before.
    HistoryReplaced(i64, i64),
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |micros: &Micros| *micros as f64 / 1e6;
        match self {
            Notice::CacheLoaded(revision, servers, age) => {
                write!(
                    f,
                    "{servers} servers from the kept list of revision {revision}, {:.0} s old",
                    seconds(age)
                )
            }
            Notice::Following(revision, servers, endpoint) => {
                write!(f, "following {servers} servers from revision {revision} at endpoint {endpoint}")
            }
            Notice::CallFailed(endpoint, reason, failures, delay) => {
                write!(
                    f,
                    "endpoint {endpoint}: {reason} (failure {failures}; next try in {:.2} s)",
                    seconds(delay)
                )
            }
            Notice::Inconsistent(reason) => write!(f, "{reason}; reading the full list again"),
            Notice::Malformed(key, reason) => {
                write!(f, "{key:?} can't be read, keeping the last known entry: {reason}")
            }
            Notice::HistoryConflict(received, known) => {
                write!(
                    f,
                    "revision {received} conflicts with the known revision {known}; reading the list again to confirm"
                )
            }
            Notice::HistoryReplaced(received, known) => {
                write!(f, "the store has another history: its revision {received} replaces {known}")
            }
        }
    }
}

/// Timeouts, intervals and size limits. Durations are in microseconds.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Number of keys in a page.
    pub page_size: i64,
    /// Timeout of a page, and of the first response of a watch, at a store that is not known to be slower.
    pub response_timeout: Micros,
    /// Upper limit of that timeout, which doubles with each call that has no response.
    pub max_response_timeout: Micros,
    /// Time without a response after which a progress notification is requested on a watch.
    pub idle_before_progress_request: Micros,
    /// Time without a response after such a request after which the watch counts as dead.
    pub progress_timeout: Micros,
    /// Maximum backoff after the first failure. It doubles with each further failure.
    pub initial_backoff: Micros,
    /// Upper limit of the backoff.
    pub max_backoff: Micros,
    /// A watch resumes from the known revision only if that was current at most this long ago. Otherwise the full list is
    /// read, since the store may have been restored from a backup and have passed that revision with other changes.
    pub max_resume_age: Micros,
    /// Lifetime after which a watch counts as working, and the failure count is reset.
    pub stable_after: Micros,
    /// Minimum time between updates to the core. Changes that arrive within it are published together.
    pub publish_interval: Micros,
    /// Minimum time between writes of a changed list to the cache.
    pub save_interval: Micros,
    /// Time between writes of an unchanged list, which update its age.
    pub unchanged_save_interval: Micros,
    /// Maximum number of servers; a larger list is rejected.
    pub max_servers: usize,
}

impl Default for Limits {
    /// A dead watch is detected after 3 s, as with discovery. Changes are batched for 20 ms, a fraction of the time for
    /// which a server may still get requests after a change, because an update costs the core time in proportion to the
    /// length of the list.
    fn default() -> Self {
        Limits {
            page_size: 500,
            response_timeout: 2_000_000,
            max_response_timeout: 5_000_000,
            idle_before_progress_request: 2_000_000,
            progress_timeout: 1_000_000,
            initial_backoff: 50_000,
            max_backoff: 5_000_000,
            max_resume_age: 5_000_000,
            stable_after: 2_000_000,
            publish_interval: 20_000,
            save_interval: 1_000_000,
            unchanged_save_interval: 30_000_000,
            max_servers: 20_000,
        }
    }
}

/// Configuration of a follower.
#[derive(Debug, Clone)]
pub struct Options {
    /// Prefix of all keys of servers.
    pub prefix: String,
    /// Number of endpoints, at least 1.
    pub endpoints: usize,
    /// Seed of the backoff jitter, which keeps hundreds of nodes from reconnecting at the same moment.
    pub seed: u64,
    /// Timeouts, intervals and size limits.
    pub limits: Limits,
    /// Whether to store the list on disk.
    pub saves_cache: bool,
}

/// The known state of a key.
#[derive(Debug, Clone, PartialEq)]
struct KeyState {
    /// Revision of its last change.
    revision: i64,
    /// The latest entry that could be parsed, if any.
    entry: Option<ServerEntry>,
    /// Why its latest value can't be parsed.
    malformed: Option<String>,
}

/// The known state of the store.
#[derive(Debug, Clone, Default)]
struct StoreState {
    cluster: u64,
    /// All changes up to this revision are in the list.
    revision: i64,
    /// When the list was last known to be current.
    as_of: Micros,
    items: BTreeMap<String, KeyState>,
}

/// A parsed event of a watch.
struct KeyChange {
    revision: i64,
    id: String,
    /// `None` for a deletion.
    item: Option<KeyState>,
}

enum Phase {
    /// Waiting before the next call, which reads the full list or resumes the watch.
    BackingOff {
        until: Micros,
        read_list: bool,
    },
    ReadingList(ListRead),
    Watching(WatchState),
}

/// A full list that is being read.
struct ListRead {
    started_at: Micros,
    /// When the open page was requested.
    page_requested_at: Micros,
    /// Deadline of the open page.
    deadline: Micros,
    /// Cluster id and revision, from the first page.
    cluster: u64,
    revision: i64,
    items: BTreeMap<String, KeyState>,
    /// First key of the next page.
    next_key: Vec<u8>,
}

/// An open watch.
struct WatchState {
    started_at: Micros,
    last_response_at: Micros,
    /// When a progress notification was requested that has not been answered.
    progress_requested_at: Option<Micros>,
    created: bool,
    /// Whether it started right after a full list was read from the same endpoint.
    follows_list_read: bool,
    /// Changes of a fragmented response that is not complete yet.
    fragments: Vec<KeyChange>,
}

/// Follows the server list in etcd.
pub struct Follower {
    prefix: String,
    endpoints: usize,
    limits: Limits,
    saves_cache: bool,
    rng: fastrand::Rng,
    known: Option<StoreState>,
    /// Number of the store's history; see [`ListUpdate::history_number`].
    history_number: u32,
    /// Whether the core has received a list.
    published: bool,
    /// Servers with changes that are not published yet, each with its last published entry.
    unpublished: BTreeMap<String, Option<ServerEntry>>,
    published_at: Micros,
    phase: Phase,
    call: u64,
    endpoint: usize,
    /// Failures in a row.
    failures: u32,
    /// Timeout of the responses of the store, which may be slower than usual.
    response_timeout: ResponseTimeout,
    /// Number of keys in a page, reduced when responses are too large.
    page_size: i64,
    /// Full lists in a row that conflict with the known history.
    conflicting_lists: usize,
    /// Whether the list has changed since it was last saved.
    unsaved: bool,
    saved_at: Micros,
    /// Whether a key without a valid id has been logged.
    invalid_id_logged: bool,
}

impl Follower {
    /// Creates a follower that starts from a cached list, if that has the same key prefix.
    pub fn new(options: Options, cached: Option<CachedList>) -> Self {
        let Options { prefix, endpoints, seed, limits, saves_cache } = options;
        let known = cached.filter(|cached| cached.prefix == prefix).map(StoreState::from);
        let (endpoints, page_size) = (endpoints.max(1), limits.page_size);
        let response_timeout = ResponseTimeout::new(
            Duration::from_micros(limits.response_timeout),
            Duration::from_micros(limits.max_response_timeout),
        );
        let mut rng = fastrand::Rng::with_seed(seed);
        let saved_at = known.as_ref().map_or(0, |known| known.as_of);
        Follower {
            prefix,
            endpoints,
            limits,
            saves_cache,
            known,
            history_number: 0,
            published: false,
            unpublished: BTreeMap::new(),
            published_at: 0,
            phase: Phase::BackingOff { until: 0, read_list: true },
            call: 0,
            endpoint: rng.usize(..endpoints),
            rng,
            failures: 0,
            response_timeout,
            page_size,
            conflicting_lists: 0,
            unsaved: false,
            saved_at,
            invalid_id_logged: false,
        }
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_wakeup(&self) -> Micros {
        let call = match &self.phase {
            Phase::BackingOff { until, .. } => *until,
            Phase::ReadingList(read) => read.deadline,
            Phase::Watching(watch) => match watch.progress_requested_at {
                _ if !watch.created => watch.started_at + self.response_timeout(),
                None => watch.last_response_at + self.limits.idle_before_progress_request,
                Some(requested_at) => requested_at + self.progress_timeout(),
            },
        };
        let others = [self.save_due(), self.publish_due()];
        others.into_iter().flatten().fold(call, Micros::min)
    }

    fn response_timeout(&self) -> Micros {
        self.response_timeout.current().as_micros() as Micros
    }

    /// Time without a response to a request for progress after which the watch counts as dead. As much longer than usual as
    /// the other responses may take.
    fn progress_timeout(&self) -> Micros {
        self.limits.progress_timeout + self.response_timeout().saturating_sub(self.limits.response_timeout)
    }

    /// The known list in the form in which it is cached.
    pub fn to_cached_list(&self) -> Option<CachedList> {
        let known = self.known.as_ref()?;
        let servers = known.items.values().filter_map(|item| Some((item.entry.clone()?, item.revision)));
        Some(CachedList {
            prefix: self.prefix.clone(),
            cluster: known.cluster,
            revision: known.revision,
            as_of: known.as_of,
            servers: servers.collect(),
        })
    }

    /// Processes an event and appends the actions to carry out.
    pub fn on_event(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Page(call, page) if call.0 == self.call => self.on_page(now, page, out),
            Event::WatchResponse(call, response) if call.0 == self.call => {
                self.on_watch_response(now, response, out);
            }
            Event::CallFailed(call, kind, reason) if call.0 == self.call => {
                self.on_call_failed(now, kind, &reason, out);
            }
            Event::Page(..) | Event::WatchResponse(..) | Event::CallFailed(..) => {} // of an earlier call
            Event::Tick => self.tick(now, out),
            Event::EndpointsChanged(endpoints) => {
                self.endpoints = endpoints.max(1);
                (self.endpoint, self.failures) = (self.rng.usize(..self.endpoints), 0);
                self.response_timeout.reset();
                self.start_list_read(now, out);
            }
        }
        if self.publish_due().is_some_and(|due| due <= now) {
            self.publish_changes(now, out);
        }
        if self.save_due().is_some_and(|due| due <= now) {
            (self.unsaved, self.saved_at) = (false, now);
            out.push(Action::SaveCache);
        }
    }

    fn publish_due(&self) -> Option<Micros> {
        (self.published && !self.unpublished.is_empty())
            .then_some(self.published_at + self.limits.publish_interval)
    }

    fn save_due(&self) -> Option<Micros> {
        let has_list =
            self.saves_cache && self.call > 0 && self.known.as_ref().is_some_and(|known| known.revision > 0);
        let interval =
            if self.unsaved { self.limits.save_interval } else { self.limits.unchanged_save_interval };
        // A list that has not been confirmed since the last write has no newer age to record.
        let has_news = self.unsaved || self.known.as_ref().is_some_and(|known| known.as_of > self.saved_at);
        (has_list && has_news).then_some(self.saved_at + interval)
    }

    fn tick(&mut self, now: Micros, out: &mut Vec<Action>) {
        if let (false, Some(known)) = (self.published, &self.known) {
            let age = now.saturating_sub(known.as_of);
            out.push(Action::Log(Notice::CacheLoaded(known.revision, known.items.len(), age)));
            self.publish_full_list(now, out);
        }
        let (response_timeout, progress_timeout) = (self.response_timeout(), self.progress_timeout());
        match &mut self.phase {
            Phase::BackingOff { until, read_list } if *until <= now => {
                let max_age = self.limits.max_resume_age;
                match self.known.as_ref().is_some_and(|known| !*read_list && known.as_of + max_age > now) {
                    true => self.start_watch(now, false, out),
                    false => self.start_list_read(now, out),
                }
            }
            Phase::ReadingList(read) if read.deadline <= now => {
                self.response_timeout.record_timeout();
                self.retry_at_next_endpoint(now, self.is_reading_list(), "no response", out);
            }
            Phase::Watching(watch) if !watch.created && watch.started_at + response_timeout <= now => {
                self.response_timeout.record_timeout();
                self.retry_at_next_endpoint(now, self.is_reading_list(), "no response", out);
            }
            Phase::Watching(watch) if watch.created => match watch.progress_requested_at {
                None if watch.last_response_at + self.limits.idle_before_progress_request <= now => {
                    watch.progress_requested_at = Some(now);
                    out.push(Action::RequestProgress);
                }
                Some(requested_at) if requested_at + progress_timeout <= now => {
                    self.response_timeout.record_timeout();
                    self.retry_at_next_endpoint(now, false, "the watch is silent", out);
                }
                _ => {}
            },
            _ => {}
        }
    }

    /// Whether the full list is being read, so that a failure must be followed by reading it again.
    fn is_reading_list(&self) -> bool {
        matches!(self.phase, Phase::ReadingList(_))
    }

    // ---- Calls ----

    fn next_call(&mut self) -> CallId {
        self.call += 1;
        CallId(self.call)
    }

    /// Starts to read the full list.
    fn start_list_read(&mut self, now: Micros, out: &mut Vec<Action>) {
        let next_key = self.prefix.clone().into_bytes();
        let (cluster, revision, items) = Default::default();
        let deadline = now + self.response_timeout();
        let read = ListRead {
            started_at: now,
            page_requested_at: now,
            deadline,
            cluster,
            revision,
            items,
            next_key,
        };
        self.phase = Phase::ReadingList(read);
        self.request_page(out);
    }

    fn request_page(&mut self, out: &mut Vec<Action>) {
        let call = self.next_call();
        if let Phase::ReadingList(read) = &self.phase {
            let (key, range_end) = (read.next_key.clone(), prefix_range_end(self.prefix.as_bytes()));
            let request = RangeRequest { key, range_end, limit: self.page_size, revision: read.revision };
            out.push(Action::ReadPage(call, self.endpoint, request));
        }
    }

    /// Opens a watch for the changes after the known revision.
    fn start_watch(&mut self, now: Micros, follows_list_read: bool, out: &mut Vec<Action>) {
        self.phase = Phase::Watching(WatchState {
            started_at: now,
            last_response_at: now,
            progress_requested_at: None,
            created: false,
            follows_list_read,
            fragments: Vec::new(),
        });
        let call = self.next_call();
        let request = WatchCreateRequest {
            key: self.prefix.clone().into_bytes(),
            range_end: prefix_range_end(self.prefix.as_bytes()),
            start_revision: self.known.as_ref().map_or(0, |known| known.revision) + 1,
            progress_notify: true,
            watch_id: 0,
            fragment: true,
        };
        out.push(Action::OpenWatch(call, self.endpoint, request));
    }

    fn on_call_failed(&mut self, now: Micros, kind: ErrorKind, reason: &str, out: &mut Vec<Action>) {
        match kind {
            // The revision of the pages or of the watch is compacted. The same endpoint has a newer one available.
            ErrorKind::Compacted => self.reread_list(now, reason, out),
            ErrorKind::TooLarge if self.page_size > 1 => {
                self.page_size = (self.page_size / 4).max(1);
                self.retry_at_next_endpoint(now, self.is_reading_list(), reason, out);
            }
            _ => self.retry_at_next_endpoint(now, self.is_reading_list(), reason, out),
        }
    }

    /// Retries at the next endpoint after a backoff.
    fn retry_at_next_endpoint(&mut self, now: Micros, read_list: bool, reason: &str, out: &mut Vec<Action>) {
        let delay = self.back_off(now, read_list, out);
        // Logged at exponentially growing intervals, so that an unreachable store does not fill the log.
        if self.failures.is_power_of_two() {
            let reason = sanitize_for_log(reason);
            out.push(Action::Log(Notice::CallFailed(self.endpoint, reason, self.failures, delay)));
        }
        self.endpoint = (self.endpoint + 1) % self.endpoints;
    }

    /// Reads the full list again after a backoff, at the same endpoint.
    fn reread_list(&mut self, now: Micros, reason: &str, out: &mut Vec<Action>) {
        self.back_off(now, true, out);
        if self.failures.is_power_of_two() {
            out.push(Action::Log(Notice::Inconsistent(sanitize_for_log(reason))));
        }
    }

    /// Closes the open call and waits for a random time; returns that time.
    fn back_off(&mut self, now: Micros, read_list: bool, out: &mut Vec<Action>) -> Micros {
        self.failures = self.failures.saturating_add(1);
        let doubled = self.limits.initial_backoff << (self.failures - 1).min(20);
        let max = doubled.min(self.limits.max_backoff);
        let min = if self.failures == 1 { 0 } else { max / 2 };
        let delay = self.rng.u64(min..=max);
        self.next_call(); // invalidates events of the closed call
        self.phase = Phase::BackingOff { until: now + delay, read_list };
        out.push(Action::CloseCall);
        delay
    }

    // ---- Reading the full list ----

    fn on_page(&mut self, now: Micros, page: RangeResponse, out: &mut Vec<Action>) {
        let Phase::ReadingList(read) = &mut self.phase else { return };
        let page_time = Duration::from_micros(now.saturating_sub(read.page_requested_at));
        self.response_timeout.record_response(ResponseTime::Exactly(page_time));
        if let Err(reason) = read.accept_page(&page, &self.prefix, self.limits.max_servers) {
            return self.retry_at_next_endpoint(now, true, reason, out);
        }
        for kv in page.kvs {
            let Some((id, item)) = parse_kv(&self.prefix, &kv, &mut self.invalid_id_logged, out) else {
                continue;
            };
            if let Phase::ReadingList(read) = &mut self.phase {
                read.items.insert(id, item);
            }
        }
        let placeholder = Phase::BackingOff { until: now, read_list: true };
        match std::mem::replace(&mut self.phase, placeholder) {
            Phase::ReadingList(read) if !page.more => self.on_list_complete(now, read, out),
            phase => {
                self.phase = phase;
                let deadline = now + self.response_timeout();
                if let Phase::ReadingList(read) = &mut self.phase {
                    (read.page_requested_at, read.deadline) = (now, deadline);
                }
                self.request_page(out);
            }
        }
    }

    /// Processes a full list: checks that it belongs to the known history, and determines what has changed.
    fn on_list_complete(&mut self, now: Micros, read: ListRead, out: &mut Vec<Action>) {
        if let Some(known) = &self.known {
            let conflicts = known.conflicts_with(&read);
            let (received_revision, known_revision) = (read.revision, known.revision);
            if conflicts && !self.confirm_conflicting_history() {
                // A member that answers from an outdated state must not replace the newer list.
                self.back_off(now, true, out);
                self.endpoint = (self.endpoint + 1) % self.endpoints;
                return out.push(Action::Log(Notice::HistoryConflict(received_revision, known_revision)));
            }
            if conflicts {
                self.history_number += 1;
                out.push(Action::Log(Notice::HistoryReplaced(received_revision, known_revision)));
            }
        }
        self.conflicting_lists = 0;
        let mut items = read.items;
        // Both maps are ordered by id and are merged in one pass; a lookup per key would block the thread for too long.
        let mut before = self.known.take().unwrap_or_default().items.into_iter().peekable();
        for (id, item) in &mut items {
            while let Some((id, old)) = before.next_if(|(other, _)| other < id) {
                record_unpublished(&mut self.unpublished, &id, Some(old), None);
            }
            let old = before.next_if(|(other, _)| other == id).map(|(_, old)| old);
            item.inherit_entry(id, old.as_ref(), out);
            record_unpublished(&mut self.unpublished, id, old, item.entry.as_ref());
        }
        for (id, old) in before {
            record_unpublished(&mut self.unpublished, &id, Some(old), None);
        }
        let (cluster, revision) = (read.cluster, read.revision);
        let servers = items.len();
        self.known = Some(StoreState { cluster, revision, as_of: read.started_at, items });
        self.unsaved = true;
        if !self.unpublished.is_empty() {
            self.failures = 0; // the store delivers changes, as a working watch does
        }
        match self.published {
            true => self.publish_changes(now, out),
            false => self.publish_full_list(now, out),
        }
        out.push(Action::Log(Notice::Following(revision, servers, self.endpoint)));
        self.start_watch(now, true, out);
    }

    /// Counts a list that conflicts with the known history. True once there have been enough in a row: one from each
    /// endpoint if all can be reached, and at least two.
    fn confirm_conflicting_history(&mut self) -> bool {
        self.conflicting_lists += 1;
        self.conflicting_lists >= self.endpoints.max(2)
    }

    fn publish_full_list(&mut self, now: Micros, out: &mut Vec<Action>) {
        (self.published, self.published_at) = (true, now);
        self.unpublished.clear();
        let items = self.known.iter().flat_map(|known| known.items.values());
        let servers = items.filter_map(|item| item.entry.clone()).collect();
        self.push_update(ServerList { full: true, servers }, out);
    }

    /// Publishes all unpublished changes as one update.
    fn publish_changes(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(known) = &self.known else { return };
        let current = |id: &String| known.items.get(id).and_then(|item| item.entry.clone());
        let unpublished = std::mem::take(&mut self.unpublished).into_iter();
        let changed = unpublished.filter_map(|(id, published)| match current(&id) {
            entry if entry == published => None,
            Some(entry) => Some(entry),
            None => published.map(|published| ServerEntry { state: ServerState::Deleted, ..published }),
        });
        let servers: Vec<ServerEntry> = changed.collect();
        if !servers.is_empty() {
            self.published_at = now;
            self.push_update(ServerList { full: false, servers }, out);
        }
    }

    fn push_update(&self, list: ServerList, out: &mut Vec<Action>) {
        let revision = self.known.as_ref().map_or(0, |known| known.revision);
        out.push(Action::Publish(ListUpdate { list, revision, history_number: self.history_number }));
    }

    // ---- The watch ----

    fn on_watch_response(&mut self, now: Micros, response: WatchResponse, out: &mut Vec<Action>) {
        let (Phase::Watching(watch), Some(known)) = (&mut self.phase, &self.known) else { return };
        let Some(header) = response.header else {
            return self.reread_list(now, "a watch response without a header", out);
        };
        (watch.last_response_at, watch.progress_requested_at) = (now, None);
        if now >= watch.started_at + self.limits.stable_after {
            self.failures = 0;
        }
        if header.cluster_id != known.cluster {
            return self.reread_list(now, "the watch belongs to another cluster", out);
        }
        if response.canceled {
            let reason = match response.compact_revision {
                0 => format!("the watch was cancelled: {}", response.cancel_reason),
                compacted => format!("the revision of the watch has been compacted, up to {compacted}"),
            };
            return self.reread_list(now, &reason, out);
        }
        if response.created {
            watch.created = true;
            let open_time = Duration::from_micros(now.saturating_sub(watch.started_at));
            self.response_timeout.record_response(ResponseTime::Exactly(open_time));
            // The store may have been restored to an older revision; a watch from a future revision would then deliver
            // nothing. Reading the list, which needs a quorum, distinguishes such a store from a member that only lags.
            if header.revision < known.revision && !watch.follows_list_read {
                return self.reread_list(now, "the store's revision is older than the known one", out);
            }
            return;
        }
        if !watch.created {
            return self.reread_list(now, "a response before the watch was created", out);
        }
        let is_progress = response.events.is_empty() && !response.fragment && watch.fragments.is_empty();
        if is_progress {
            return self.on_progress(now, header);
        }
        self.on_events(now, response, out);
    }

    /// Processes a progress notification: all changes up to its revision have been delivered.
    fn on_progress(&mut self, now: Micros, header: ResponseHeader) {
        if let Some(known) = &mut self.known {
            known.as_of = now;
            if (known.revision + 1..i64::MAX).contains(&header.revision) {
                known.revision = header.revision;
                self.unsaved = true;
            }
        }
    }

    /// Processes a response with events, or a fragment of one.
    fn on_events(&mut self, now: Micros, response: WatchResponse, out: &mut Vec<Action>) {
        for event in response.events {
            let parsed = parse_event(&self.prefix, event, &mut self.invalid_id_logged, out);
            let Phase::Watching(watch) = &mut self.phase else { return };
            match parsed {
                Ok(change) => watch.fragments.extend(change),
                Err(reason) => return self.reread_list(now, reason, out),
            }
            if watch.fragments.len() > 4 * self.limits.max_servers {
                return self.reread_list(now, "too many changes in one response", out);
            }
        }
        let Phase::Watching(watch) = &mut self.phase else { return };
        if response.fragment {
            return;
        }
        let mut changes = std::mem::take(&mut watch.fragments);
        changes.sort_by_key(|change| change.revision); // stable, since the order within a revision matters
        while !changes.is_empty() {
            let revision = changes[0].revision;
            let later = changes.split_off(changes.partition_point(|change| change.revision == revision));
            if let Err(reason) = self.apply_revision(now, revision, changes, out) {
                return self.reread_list(now, reason, out);
            }
            changes = later;
        }
    }

    /// Applies all changes of one revision together.
    fn apply_revision(
        &mut self,
        now: Micros,
        revision: i64,
        changes: Vec<KeyChange>,
        out: &mut Vec<Action>,
    ) -> Result<(), &'static str> {
        let Some(known) = &mut self.known else { return Ok(()) };
        if revision <= known.revision {
            // Detects changes that arrive late, and changes of one revision that are split over two responses.
            return match changes.iter().all(|change| known.includes(change)) {
                true => Ok(()), // a replay
                false => Err("a change arrived that an earlier response should have included"),
            };
        }
        let mut final_states: BTreeMap<String, Option<KeyState>> = BTreeMap::new();
        for KeyChange { id, item, .. } in changes {
            final_states.insert(id, item);
        }
        for (id, item) in final_states {
            let old = known.items.remove(&id);
            match item {
                Some(mut item) => {
                    item.inherit_entry(&id, old.as_ref(), out);
                    record_unpublished(&mut self.unpublished, &id, old, item.entry.as_ref());
                    known.items.insert(id, item);
                }
                None => record_unpublished(&mut self.unpublished, &id, old, None),
            }
        }
        (known.revision, known.as_of) = (revision, now);
        if known.items.len() > self.limits.max_servers {
            return Err("the list has too many servers");
        }
        (self.unsaved, self.failures) = (true, 0);
        Ok(())
    }
}

impl ListRead {
    /// Validates a page, and records where the next one starts.
    fn accept_page(
        &mut self,
        page: &RangeResponse,
        prefix: &str,
        max_servers: usize,
    ) -> Result<(), &'static str> {
        let header = page.header.ok_or("a page without a header")?;
        if !(1..i64::MAX).contains(&header.revision) {
            return Err("a page without a revision");
        }
        if self.revision == 0 {
            (self.cluster, self.revision) = (header.cluster_id, header.revision);
        }
        if header.cluster_id != self.cluster || header.revision < self.revision {
            return Err("pages from different stores");
        }
        let mut next_key = std::mem::take(&mut self.next_key);
        for kv in &page.kvs {
            if !kv.key.starts_with(prefix.as_bytes()) || kv.key < next_key {
                return Err("a page with keys that were not requested");
            }
            if !(1..=self.revision).contains(&kv.mod_revision) {
                return Err("a page with a key from another revision");
            }
            next_key.clone_from(&kv.key);
            next_key.push(0);
        }
        if page.more && page.kvs.is_empty() {
            return Err("a page without keys that is not the last");
        }
        if self.items.len() + page.kvs.len() > max_servers {
            return Err("the list has too many servers");
        }
        self.next_key = next_key;
        Ok(())
    }
}

impl KeyState {
    /// Keeps the old entry of a server whose new value is malformed. Logged once for each reason.
    fn inherit_entry(&mut self, id: &str, old: Option<&KeyState>, out: &mut Vec<Action>) {
        let Some(reason) = &self.malformed else { return };
        self.entry = old.and_then(|old| old.entry.clone());
        if old.and_then(|old| old.malformed.as_ref()) != Some(reason) {
            out.push(Action::Log(Notice::Malformed(id.to_owned(), reason.clone())));
        }
    }
}

impl StoreState {
    /// Whether a full list can't belong to the same history. This is the case if it is from another cluster or older than
    /// the known list, or if a key differs from its state after all changes up to the known revision.
    fn conflicts_with(&self, read: &ListRead) -> bool {
        if read.cluster != self.cluster || read.revision < self.revision {
            return true;
        }
        let is_same_revision = read.revision == self.revision;
        let mut known = self.items.iter().peekable();
        for (id, item) in &read.items {
            while known.next_if(|(other, _)| *other < id).is_some() {
                if is_same_revision {
                    return true; // a known key is missing
                }
            }
            let differs = match known.next_if(|(other, _)| *other == id) {
                Some((_, old)) => item.revision <= self.revision && item.revision != old.revision,
                // The cache file leaves out keys that could never be parsed.
                None => item.revision <= self.revision && is_same_revision && item.entry.is_some(),
            };
            if differs {
                return true;
            }
        }
        is_same_revision && known.next().is_some()
    }

    /// Whether the list includes a change of the known revision or an earlier one.
    fn includes(&self, change: &KeyChange) -> bool {
        match self.items.get(&change.id) {
            Some(item) => item.revision >= change.revision,
            None => change.item.is_none(),
        }
    }
}

impl From<CachedList> for StoreState {
    fn from(cached: CachedList) -> Self {
        let CachedList { cluster, revision, as_of, servers, .. } = cached;
        let item = |(entry, revision): (ServerEntry, i64)| {
            (entry.id.clone(), KeyState { revision, entry: Some(entry), malformed: None })
        };
        StoreState { cluster, revision, as_of, items: servers.into_iter().map(item).collect() }
    }
}

/// Records that a server's new entry is unpublished, with the entry that was published last.
fn record_unpublished(
    unpublished: &mut BTreeMap<String, Option<ServerEntry>>,
    id: &str,
    old: Option<KeyState>,
    new: Option<&ServerEntry>,
) {
    let old = old.and_then(|old| old.entry);
    if old.as_ref() != new && !unpublished.contains_key(id) {
        unpublished.insert(id.to_owned(), old);
    }
}

/// Parses a key and its value. `None` for a key without a valid id, the first of which is logged.
fn parse_kv(
    prefix: &str,
    kv: &KeyValue,
    invalid_id_logged: &mut bool,
    out: &mut Vec<Action>,
) -> Option<(String, KeyState)> {
    let id = parse_id(prefix, kv, invalid_id_logged, out)?;
    let parsed = layout::parse_value(&id, &kv.value).map_err(|malformed| sanitize_for_log(&malformed.0));
    let (entry, malformed) = match parsed {
        Ok(entry) => (Some(entry), None),
        Err(reason) => (None, Some(reason)),
    };
    Some((id, KeyState { revision: kv.mod_revision, entry, malformed }))
}

fn parse_id(
    prefix: &str,
    kv: &KeyValue,
    invalid_id_logged: &mut bool,
    out: &mut Vec<Action>,
) -> Option<String> {
    let id_bytes = kv.key.strip_prefix(prefix.as_bytes())?;
    match layout::parse_id(id_bytes) {
        Ok(id) => Some(id.to_owned()),
        Err(malformed) => {
            if !std::mem::replace(invalid_id_logged, true) {
                let key = sanitize_for_log(&String::from_utf8_lossy(&kv.key));
                out.push(Action::Log(Notice::Malformed(key, malformed.0)));
            }
            None
        }
    }
}

/// Parses an event of a watch. `None` for a key without a valid id.
fn parse_event(
    prefix: &str,
    event: api::Event,
    invalid_id_logged: &mut bool,
    out: &mut Vec<Action>,
) -> Result<Option<KeyChange>, &'static str> {
    let (kind, Some(kv)) = (event.r#type(), event.kv) else { return Err("an event without a key") };
    let revision = kv.mod_revision;
    if !(1..i64::MAX).contains(&revision) {
        return Err("an event without a revision");
    }
    Ok(match kind {
        EventType::Put => {
            let parsed = parse_kv(prefix, &kv, invalid_id_logged, out);
            parsed.map(|(id, item)| KeyChange { revision, id, item: Some(item) })
        }
        EventType::Delete => {
            parse_id(prefix, &kv, invalid_id_logged, out).map(|id| KeyChange { revision, id, item: None })
        }
    })
}

/// Makes external text safe for the log: a single line of at most 200 characters.
fn sanitize_for_log(text: &str) -> String {
    text.chars().take(200).map(|c| if c.is_control() { ' ' } else { c }).collect()
}

#[cfg(test)]
#[path = "follower_tests.rs"]
mod tests;
