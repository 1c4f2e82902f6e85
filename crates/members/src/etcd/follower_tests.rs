//! Edge cases of the follower, one by one. tests/model.rs covers random histories.

use lilacquay_etcd::api::event::EventType;

use super::*;

const SECOND: Micros = 1_000_000;

fn options(endpoints: usize) -> Options {
    Options { prefix: "/m/".into(), endpoints, seed: 1, limits: Limits::default(), saves_cache: true }
}

fn value(port: u16, state: &str) -> Vec<u8> {
    format!(r#"{{"addr":"127.0.0.1:{port}","state":"{state}"}}"#).into_bytes()
}

fn kv(id: &str, revision: i64, value: Vec<u8>) -> KeyValue {
    KeyValue { key: format!("/m/{id}").into_bytes(), mod_revision: revision, value, ..KeyValue::default() }
}

fn put(id: &str, revision: i64, value: Vec<u8>) -> api::Event {
    api::Event { r#type: EventType::Put.into(), kv: Some(kv(id, revision, value)) }
}

fn delete(id: &str, revision: i64) -> api::Event {
    api::Event { r#type: EventType::Delete.into(), kv: Some(kv(id, revision, Vec::new())) }
}

fn header(revision: i64) -> Option<ResponseHeader> {
    Some(ResponseHeader { cluster_id: 9, member_id: 1, revision, raft_term: 2 })
}

fn page(revision: i64, kvs: Vec<KeyValue>, more: bool) -> RangeResponse {
    RangeResponse { header: header(revision), kvs, more, count: 0 }
}

fn created(revision: i64) -> WatchResponse {
    WatchResponse { header: header(revision), created: true, ..WatchResponse::default() }
}

fn events(revision: i64, events: Vec<api::Event>) -> WatchResponse {
    WatchResponse { header: header(revision), events, ..WatchResponse::default() }
}

fn compacted(revision: i64) -> WatchResponse {
    let compact_revision = revision;
    WatchResponse { header: header(revision), canceled: true, compact_revision, ..WatchResponse::default() }
}

/// A follower with its open call and its recorded outputs.
struct Harness {
    follower: Follower,
    now: Micros,
    /// The latest call: its number, its endpoint, and the revision of the page or the start of the watch.
    call: CallId,
    endpoint: usize,
    requested_revision: i64,
    watching: bool,
    /// Published updates: the revision, and the entries as text.
    updates: Vec<(i64, Vec<String>)>,
    notices: Vec<Notice>,
    progress_requests: usize,
    saves: usize,
}

impl Harness {
    fn new(endpoints: usize, cached: Option<CachedList>) -> Harness {
        let mut harness = Harness {
            follower: Follower::new(options(endpoints), cached),
            now: 1000 * SECOND,
            call: CallId(0),
            endpoint: 0,
            requested_revision: 0,
            watching: false,
            updates: Vec::new(),
            notices: Vec::new(),
            progress_requests: 0,
            saves: 0,
        };
        harness.send(Event::Tick);
        harness
    }

    /// A harness that watches three boxes from revision 11 on.
    fn watching() -> Harness {
        let mut harness = Harness::new(2, None);
        let box_ = |n: u16| kv(&format!("box-{n}"), i64::from(n), value(n, "serving"));
        harness.page(page(10, vec![box_(1), box_(2), box_(3)], false));
        harness.watch_response(created(10));
        harness.updates.clear();
        harness.notices.clear();
        harness
    }

    fn send(&mut self, event: Event) {
        let mut out = Vec::new();
        self.follower.on_event(self.now, event, &mut out);
        for action in out {
            match action {
                Action::ReadPage(call, endpoint, request) => {
                    (self.call, self.endpoint) = (call, endpoint);
                    self.requested_revision = request.revision;
                    self.watching = false;
                }
                Action::OpenWatch(call, endpoint, request) => {
                    (self.call, self.endpoint) = (call, endpoint);
                    self.requested_revision = request.start_revision;
                    assert!(request.progress_notify && request.fragment);
                    self.watching = true;
                }
                Action::RequestProgress => self.progress_requests += 1,
                Action::CloseCall => {}
                Action::Publish(ListUpdate { list, revision, .. }) => {
                    let describe =
                        |entry: &ServerEntry| format!("{} {} {:?}", entry.id, entry.addr.port(), entry.state);
                    let mut entries: Vec<_> = list.servers.iter().map(describe).collect();
                    entries.extend(list.full.then(|| "full".to_owned()));
                    self.updates.push((revision, entries));
                }
                Action::SaveCache => self.saves += 1,
                Action::Log(notice) => self.notices.push(notice),
            }
        }
    }

    fn page(&mut self, page: RangeResponse) {
        self.send(Event::Page(self.call, page));
    }

    fn watch_response(&mut self, response: WatchResponse) {
        self.send(Event::WatchResponse(self.call, response));
    }

    fn fail(&mut self, kind: ErrorKind) {
        self.send(Event::CallFailed(self.call, kind, "broken".into()));
    }

    /// Advances the time to the next wakeup.
    fn advance_to_wakeup(&mut self) {
        self.now = self.now.max(self.follower.next_wakeup());
        self.send(Event::Tick);
    }

    /// Advances the time until the follower makes its next call, and returns the time that has passed.
    fn next_call(&mut self) -> Micros {
        let (before, since) = (self.call, self.now);
        while self.call == before {
            self.advance_to_wakeup();
        }
        self.now - since
    }

    /// The published updates, including changes that were held back for a joint update.
    fn published(&mut self) -> Vec<(i64, Vec<String>)> {
        self.now += Limits::default().publish_interval;
        self.send(Event::Tick);
        std::mem::take(&mut self.updates)
    }
}

fn list(entries: &[&str]) -> Vec<String> {
    entries.iter().map(|entry| (*entry).to_owned()).collect()
}

#[test]
fn a_list_is_read_in_pages_at_one_revision_and_watched_from_the_next() {
    let mut harness = Harness::new(1, None);
    assert_eq!((harness.watching, harness.requested_revision), (false, 0));
    harness.page(page(10, vec![kv("box-1", 4, value(1, "serving"))], true));
    assert_eq!((harness.watching, harness.requested_revision), (false, 10));
    harness.page(page(12, vec![kv("box-2", 9, value(2, "draining"))], false));
    assert_eq!(
        (harness.watching, harness.requested_revision),
        (true, 11),
        "changes up to revision 12 are yet to be watched"
    );
    assert_eq!(harness.published(), [(10, list(&["box-1 1 Serving", "box-2 2 Draining", "full"]))]);
}

#[test]
fn changes_of_one_response_are_published_together() {
    let mut harness = Harness::watching();
    let first = vec![
        put("box-1", 11, value(1, "draining")),
        delete("box-2", 11),
        put("box-4", 12, value(2, "serving")),
    ];
    harness.watch_response(events(12, first));
    let expected = list(&["box-1 1 Draining", "box-2 2 Deleted", "box-4 2 Serving"]);
    assert_eq!(harness.published(), [(12, expected)], "box-4 has the address of a removed server");
}

#[test]
fn fragments_are_joined_and_replays_change_nothing() {
    let mut harness = Harness::watching();
    let fragmented = |event, fragment| WatchResponse { fragment, ..events(11, vec![event]) };
    harness.watch_response(fragmented(put("box-1", 11, value(1, "draining")), true));
    assert_eq!(harness.published(), [], "incomplete");
    harness.watch_response(fragmented(delete("box-2", 11), false));
    assert_eq!(harness.published(), [(11, list(&["box-1 1 Draining", "box-2 2 Deleted"]))]);
    let again = vec![put("box-1", 11, value(1, "draining")), delete("box-2", 11)];
    harness.watch_response(events(11, again));
    assert!(harness.published().is_empty() && harness.watching && harness.notices.is_empty());
}

#[test]
fn a_revision_split_over_two_responses_causes_a_full_read() {
    let mut harness = Harness::watching();
    harness.watch_response(events(11, vec![put("box-1", 11, value(1, "draining"))]));
    harness.watch_response(events(11, vec![put("box-2", 11, value(2, "draining"))]));
    assert!(matches!(harness.notices[0], Notice::Inconsistent(_)));
    harness.next_call();
    assert!(!harness.watching);
}

#[test]
fn a_removal_and_a_put_in_one_revision_apply_in_order() {
    let mut harness = Harness::watching();
    harness.watch_response(events(11, vec![delete("box-1", 11), put("box-1", 11, value(7, "serving"))]));
    harness.watch_response(events(12, vec![put("box-2", 12, value(9, "draining")), delete("box-2", 12)]));
    assert_eq!(harness.published(), [(12, list(&["box-1 7 Serving", "box-2 2 Deleted"]))]);
}

#[test]
fn a_compacted_watch_reads_the_list_and_publishes_the_missed_changes() {
    let mut harness = Harness::watching();
    harness.watch_response(compacted(20));
    assert!(harness.next_call() <= 50_000);
    assert_eq!((harness.watching, harness.requested_revision), (false, 0));
    let now = vec![
        kv("box-1", 15, value(1, "draining")),
        kv("box-3", 3, value(3, "serving")),
        kv("new", 19, value(2, "serving")),
    ];
    harness.page(page(20, now, false));
    let expected = list(&["box-1 1 Draining", "box-2 2 Deleted", "new 2 Serving"]);
    assert_eq!(harness.published(), [(20, expected)], "box-3 is unchanged");
    assert_eq!((harness.watching, harness.requested_revision), (true, 21));
}

#[test]
fn pages_of_a_compacted_revision_are_read_again() {
    let mut harness = Harness::new(1, None);
    harness.page(page(10, vec![kv("box-1", 4, value(1, "serving"))], true));
    harness.fail(ErrorKind::Compacted);
    harness.next_call();
    assert_eq!((harness.watching, harness.requested_revision), (false, 0));
    harness.page(page(30, vec![kv("box-2", 29, value(2, "serving"))], false));
    assert_eq!(harness.published(), [(30, list(&["box-2 2 Serving", "full"]))], "nothing from the first try");
}

#[test]
fn a_broken_watch_resumes_from_the_known_revision_at_the_next_endpoint() {
    let mut harness = Harness::watching();
    let endpoint = harness.endpoint;
    harness.watch_response(events(15, vec![put("box-1", 13, value(1, "draining"))]));
    harness.watch_response(events(17, vec![])); // a progress notification
    harness.fail(ErrorKind::Other);
    assert!(harness.next_call() <= 50_000);
    assert_eq!((harness.watching, harness.requested_revision), (true, 18));
    assert_ne!(harness.endpoint, endpoint);
}

#[test]
fn after_a_long_outage_the_full_list_is_read() {
    let mut harness = Harness::watching();
    let mut waited = 0;
    while waited < Limits::default().max_resume_age {
        harness.fail(ErrorKind::Unreachable);
        waited += harness.next_call();
    }
    assert!(!harness.watching, "a store restored meanwhile may have passed the known revision");
}

#[test]
fn a_silent_watch_is_probed_and_then_closed() {
    let mut harness = Harness::watching();
    for _ in 0..3 {
        harness.now += 2 * SECOND;
        harness.send(Event::Tick);
        harness.watch_response(events(10, vec![])); // a progress notification
    }
    assert_eq!((harness.progress_requests, harness.watching), (3, true));
    let (call, since) = (harness.call, harness.now);
    harness.next_call();
    assert_eq!(harness.progress_requests, 4);
    assert!(harness.call != call && harness.now - since <= 3 * SECOND + 50_000, "{} us", harness.now - since);
    assert!(
        matches!(&harness.notices[0], Notice::CallFailed(_, reason, 1, _) if reason == "the watch is silent")
    );
}

#[test]
fn a_call_without_a_response_times_out() {
    let mut harness = Harness::new(2, None);
    let endpoint = harness.endpoint;
    assert!(harness.next_call() <= 2 * SECOND + 50_000);
    assert_ne!(harness.endpoint, endpoint);
    harness.page(page(10, vec![], false));
    assert!(harness.next_call() <= 2 * SECOND + 100_000, "a watch that is never created times out too");
}

/// A retry with the same timeout never succeeds at a store that is steadily slower.
#[test]
fn a_store_that_is_steadily_slower_than_the_timeout_was_never_followed() {
    const RESPONSE_TIME: Micros = 2_500_000;
    let mut harness = Harness::new(1, None);
    let since = harness.now;
    while harness.updates.is_empty() || !harness.watching {
        assert!(harness.now < since + 10 * SECOND, "no list");
        let (call, answered_at) = (harness.call, harness.now + RESPONSE_TIME);
        while harness.call == call && harness.follower.next_wakeup() < answered_at {
            harness.advance_to_wakeup();
        }
        if harness.call == call {
            harness.now = answered_at;
            harness.page(page(10, vec![kv("box-1", 1, value(1, "serving"))], false));
        }
    }
    let call = harness.call;
    harness.now += RESPONSE_TIME;
    harness.send(Event::Tick);
    harness.watch_response(created(10));
    assert!(harness.call == call && harness.watching, "the watch was given up before it was created");
    // A progress notification takes as long.
    harness.advance_to_wakeup();
    assert_eq!(harness.progress_requests, 1);
    harness.now += 1_900_000;
    harness.send(Event::Tick);
    assert!(harness.call == call && harness.watching, "a slow watch was taken for a silent one");
}

#[test]
fn a_reload_forgets_how_slow_the_old_endpoints_were() {
    let mut harness = Harness::new(1, None);
    harness.next_call();
    harness.next_call();
    harness.send(Event::EndpointsChanged(1));
    assert!(harness.next_call() <= 2 * SECOND + 100_000);
}

#[test]
fn the_backoff_doubles_up_to_its_limit_and_is_reset_by_a_stable_watch() {
    let mut harness = Harness::new(3, None);
    let mut waits = Vec::new();
    for _ in 0..14 {
        harness.fail(ErrorKind::Unreachable);
        waits.push(harness.next_call());
    }
    assert!(waits[0] <= 50_000 && waits[4] >= 400_000 && waits[4] <= 800_000, "{waits:?}");
    assert!(waits.iter().all(|wait| *wait <= 5 * SECOND) && waits[13] >= 5 * SECOND / 2, "{waits:?}");
    assert_eq!(harness.notices.len(), 4, "failures 1, 2, 4 and 8");
    harness.page(page(10, vec![], false));
    harness.watch_response(created(10));
    harness.now += 2 * SECOND;
    harness.watch_response(events(10, vec![]));
    harness.fail(ErrorKind::Other);
    assert!(harness.next_call() <= 50_000);
}

#[test]
fn an_older_store_is_accepted_once_it_is_read_again() {
    let mut harness = Harness::watching();
    harness.fail(ErrorKind::Other);
    harness.next_call();
    harness.watch_response(created(6)); // a watch from revision 11 would deliver nothing for a long time
    harness.next_call();
    let older =
        || page(6, vec![kv("box-1", 1, value(1, "serving")), kv("old", 5, value(5, "serving"))], false);
    harness.page(older());
    assert_eq!((harness.published(), harness.watching), (vec![], false));
    assert!(matches!(harness.notices.last(), Some(Notice::HistoryConflict(6, 10))));
    harness.next_call();
    harness.page(older());
    assert!(harness.notices.contains(&Notice::HistoryReplaced(6, 10)));
    assert_eq!(harness.published(), [(6, list(&["box-2 2 Deleted", "box-3 3 Deleted", "old 5 Serving"]))]);
    assert_eq!((harness.watching, harness.requested_revision), (true, 7));
}

#[test]
fn a_single_outdated_or_wrong_endpoint_is_not_accepted() {
    let mut harness = Harness::watching();
    harness.watch_response(compacted(20));
    harness.next_call();
    harness.page(page(6, vec![], false));
    harness.next_call();
    let now = || vec![kv("box-1", 15, value(1, "draining"))];
    harness.page(page(20, now(), false));
    assert_eq!(harness.published().len(), 1);
    harness.watch_response(created(6));
    assert!(harness.watching, "after a valid list, the endpoint only lags");
    harness.watch_response(compacted(21));
    harness.next_call();
    harness.page(page(6, vec![], false));
    assert_eq!(harness.published(), [], "the count starts again");
}

#[test]
fn a_different_list_at_the_same_revision_is_a_history_conflict() {
    let mut harness = Harness::watching();
    harness.watch_response(compacted(10));
    harness.next_call();
    harness.page(page(10, vec![kv("box-1", 9, value(8, "serving"))], false));
    assert!(matches!(harness.notices.last(), Some(Notice::HistoryConflict(10, 10))));
}

#[test]
fn a_malformed_value_leaves_its_server_unchanged() {
    let mut harness = Harness::watching();
    let malformed = || b"{\"addr\":\"x\n\"}".to_vec();
    harness.watch_response(events(
        11,
        vec![
            put("box-1", 11, malformed()),
            put("box-2", 11, value(2, "draining")),
            put("new", 11, malformed()),
        ],
    ));
    assert_eq!(harness.published(), [(11, list(&["box-2 2 Draining"]))], "the other changes apply");
    let Notice::Malformed(id, reason) = &harness.notices[0] else { panic!("{:?}", harness.notices) };
    assert!(id == "box-1" && !reason.contains('\n'));
    harness.watch_response(events(12, vec![put("box-1", 12, malformed())]));
    assert_eq!(harness.notices.len(), 2, "box-1 and new, once each: {:?}", harness.notices);
    // The same holds in a full list, and a removal still applies.
    harness.watch_response(compacted(13));
    harness.next_call();
    harness.page(page(13, vec![kv("box-1", 12, malformed()), kv("box-2", 11, value(2, "draining"))], false));
    assert_eq!(harness.published(), [(13, list(&["box-3 3 Deleted"]))]);
    harness.watch_response(created(13));
    harness.watch_response(events(14, vec![delete("box-1", 14)]));
    assert_eq!(harness.published(), [(14, list(&["box-1 1 Deleted"]))]);
}

#[test]
fn a_cached_list_is_published_at_once_with_its_age_and_then_updated() {
    let cached = Harness::watching().follower.to_cached_list().unwrap();
    assert_eq!((cached.revision, cached.servers.len(), cached.as_of), (10, 3, 1000 * SECOND));
    let older = CachedList { as_of: cached.as_of - 60 * SECOND, ..cached.clone() };
    let mut harness = Harness::new(2, Some(older.clone()));
    assert_eq!(harness.notices[0], Notice::CacheLoaded(10, 3, 60 * SECOND));
    assert_eq!(harness.published()[0].1.len(), 4);
    assert!(!harness.watching, "changes since then are read from the store");
    for _ in 0..20 {
        harness.fail(ErrorKind::Unreachable);
        harness.next_call();
    }
    assert_eq!(harness.follower.to_cached_list(), Some(older), "its age is not reset");
    assert_eq!(harness.saves, 0);
    harness.page(page(
        30,
        vec![kv("box-1", 1, value(1, "serving")), kv("box-2", 25, value(2, "draining"))],
        false,
    ));
    assert_eq!(
        harness.published(),
        [(30, list(&["box-2 2 Draining", "box-3 3 Deleted"]))],
        "only the changes"
    );
    let other_prefix = CachedList { prefix: "/other/".into(), ..cached };
    assert!(Harness::new(2, Some(other_prefix)).published().is_empty());
}

#[test]
fn the_list_is_saved_at_most_once_a_second_and_unchanged_every_half_minute() {
    let mut harness = Harness::watching();
    harness.saves = 0;
    for n in 0..100 {
        harness.now += SECOND / 10;
        harness.watch_response(events(
            11 + n,
            vec![put("box-1", 11 + n, value(1, ["serving", "draining"][(n as usize + 1) % 2]))],
        ));
    }
    assert!((9..=10).contains(&harness.saves), "{} in 10 s", harness.saves);
    assert_eq!(harness.published().len(), 100, "each change of a flapping box is published");
    harness.saves = 0;
    for _ in 0..60 {
        harness.now += SECOND;
        harness.send(Event::Tick);
        harness.watch_response(events(110, vec![]));
    }
    assert!((2..=3).contains(&harness.saves), "{} in 60 s", harness.saves);
}

#[test]
fn a_response_that_is_too_large_is_read_in_smaller_pages() {
    let mut harness = Harness::new(1, None);
    for _ in 0..6 {
        harness.fail(ErrorKind::TooLarge);
        harness.next_call();
    }
    assert_eq!(harness.follower.page_size, 1);
}

#[test]
fn a_list_with_too_many_servers_is_rejected() {
    let mut harness = Harness::watching();
    harness.watch_response(compacted(20));
    harness.next_call();
    for n in 0..=40 {
        let kvs = (0..500).map(|m| kv(&format!("x{n:02}{m:03}"), 20, value(1, "serving"))).collect();
        harness.page(page(20, kvs, true));
    }
    assert!(
        matches!(harness.notices.last(), Some(Notice::CallFailed(_, reason, ..)) if reason.contains("too many"))
    );
    assert!(harness.published().is_empty());
}

#[test]
fn invalid_responses_cause_no_panic() {
    let mut rng = fastrand::Rng::with_seed(11);
    for seed in 0..300 {
        let mut harness = if seed % 2 == 0 { Harness::new(2, None) } else { Harness::watching() };
        for _ in 0..60 {
            let revision = *rng.choice(&[i64::MIN, -1, 0, 1, 10, 11, 12, i64::MAX - 1, i64::MAX]).unwrap();
            let id = *rng.choice(&["box-1", "box-2", "", "a b", "x"]).unwrap();
            let key_value = kv(id, revision, value(rng.u16(..3), rng.choice(&["serving", "gone"]).unwrap()));
            let mut event = put(id, revision, value(1, "serving"));
            event.r#type = rng.i32(-1..3);
            event.kv = event.kv.filter(|_| rng.u8(..9) > 0);
            let response_header =
                header(*rng.choice(&[revision, 10, 11]).unwrap()).filter(|_| rng.u8(..9) > 0);
            match rng.u8(..5) {
                0 => harness.page(RangeResponse {
                    header: response_header,
                    kvs: vec![key_value; rng.usize(..3)],
                    more: rng.bool(),
                    count: -1,
                }),
                1 => harness.watch_response(WatchResponse {
                    header: response_header,
                    events: vec![event; rng.usize(..3)],
                    fragment: rng.bool(),
                    created: rng.u8(..4) == 0,
                    canceled: rng.u8(..9) == 0,
                    compact_revision: revision,
                    ..Default::default()
                }),
                2 => harness.fail(
                    *rng.choice(&[ErrorKind::Compacted, ErrorKind::TooLarge, ErrorKind::Other]).unwrap(),
                ),
                3 => harness.advance_to_wakeup(),
                _ => {
                    let start = created(10);
                    harness.watch_response(start);
                }
            }
        }
        assert!(harness.notices.len() < 300);
    }
}

#[test]
fn a_reload_reads_the_list_at_the_new_endpoints_and_keeps_the_known_one() {
    let mut harness = Harness::watching();
    let late = harness.call;
    harness.send(Event::EndpointsChanged(1));
    assert_eq!((harness.watching, harness.endpoint), (false, 0));
    harness.send(Event::WatchResponse(late, events(11, vec![delete("box-1", 11)])));
    assert_eq!(harness.published(), [], "an event of the old endpoint");
    harness.page(page(
        11,
        vec![kv("box-2", 2, value(2, "serving")), kv("box-3", 3, value(3, "serving"))],
        false,
    ));
    assert_eq!(harness.published(), [(11, list(&["box-1 1 Deleted"]))]);
}

#[test]
fn late_events_of_a_closed_watch_change_nothing() {
    let mut harness = Harness::watching();
    let late = harness.call;
    harness.fail(ErrorKind::Other);
    harness.next_call();
    harness.watch_response(created(10));
    harness.send(Event::WatchResponse(late, compacted(30)));
    harness.send(Event::WatchResponse(late, events(30, vec![delete("box-1", 30)])));
    harness.send(Event::CallFailed(late, ErrorKind::Other, "late".into()));
    assert!(harness.watching && harness.published().is_empty());
    harness.watch_response(events(11, vec![delete("box-1", 11)]));
    assert_eq!(harness.published(), [(11, list(&["box-1 1 Deleted"]))]);
}

#[test]
fn corrupted_messages_cause_no_panic_or_unbounded_growth() {
    use prost::Message;
    let mut rng = fastrand::Rng::with_seed(23);
    let valid_update =
        events(12, vec![put("box-1", 11, value(1, "draining")), delete("box-2", 12)]).encode_to_vec();
    let valid_page = page(10, vec![kv("box-1", 4, value(1, "serving")), kv("box-2", 5, value(2, "x"))], true);
    let valid_page = valid_page.encode_to_vec();
    let (mut decoded, mut harness) = (0, Harness::new(1, None));
    for n in 0..20_000 {
        if n % 50 == 0 {
            harness = if rng.bool() { Harness::watching() } else { Harness::new(1, None) };
        }
        let mut bytes = if rng.bool() { valid_update.clone() } else { valid_page.clone() };
        for _ in 0..rng.usize(1..5) {
            let at = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => bytes.truncate(at.max(1)),
                1 => bytes.insert(at, rng.u8(..)),
                _ => bytes[at] = rng.u8(..),
            }
        }
        if let Ok(response) = WatchResponse::decode(&*bytes) {
            harness.watch_response(response);
            decoded += 1;
        }
        if let Ok(response) = RangeResponse::decode(&*bytes) {
            harness.page(response);
        }
        if rng.u8(..8) == 0 {
            harness.advance_to_wakeup();
        }
        assert!(harness.follower.known.as_ref().is_none_or(|known| known.items.len() < 300));
    }
    assert!(decoded > 1000, "only {decoded} messages could be decoded");
}

#[test]
fn the_first_change_is_published_at_once_and_a_burst_after_it_in_batches() {
    let mut harness = Harness::watching();
    harness.now += SECOND;
    for n in 0..1000 {
        harness.now += SECOND / 1000;
        let state = ["draining", "serving"][n as usize % 2];
        harness.watch_response(events(11 + n, vec![put("box-1", 11 + n, value(1, state))]));
        if n == 0 {
            assert_eq!(harness.updates, [(11, list(&["box-1 1 Draining"]))]);
        }
        if harness.follower.next_wakeup() <= harness.now {
            harness.send(Event::Tick);
        }
    }
    assert!(
        (20..=50).contains(&harness.updates.len()),
        "{} updates for 1000 changes in 1 s",
        harness.updates.len()
    );
    let last = harness.published().pop();
    assert!(last.is_none_or(|(_, last)| last == list(&["box-1 1 Serving"])));
    harness.watch_response(events(
        2000,
        vec![put("box-2", 2000, value(2, "draining")), put("box-2", 2001, value(2, "serving"))],
    ));
    assert_eq!(harness.published(), [], "the core already has this entry");
}
