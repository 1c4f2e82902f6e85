//! The hard cases one by one; tests/model.rs has them at random.

use lilacquay_etcd::api::event::EventType;

use super::*;

const S: Micros = 1_000_000;

fn options(endpoints: usize) -> Options {
    Options { prefix: "/m/".into(), endpoints, seed: 1, pace: Pace::default(), keeps: true }
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

/// A follower, the call that it has open, and what it told.
struct Rig {
    follower: Follower,
    now: Micros,
    /// The last call asked for: its number, its endpoint, the page's revision or the watch's start.
    call: Call,
    endpoint: usize,
    asked: i64,
    watching: bool,
    lists: Vec<(i64, Vec<String>)>,
    notes: Vec<Note>,
    asks: usize,
    keeps: usize,
}

impl Rig {
    fn new(endpoints: usize, kept: Option<CachedList>) -> Rig {
        let follower = Follower::new(options(endpoints), kept);
        let (lists, notes) = Default::default();
        let call = Call(0);
        let now = 1000 * S;
        let (endpoint, asked, watching, asks, keeps) = (0, 0, false, 0, 0);
        let mut rig = Rig { follower, now, call, endpoint, asked, watching, lists, notes, asks, keeps };
        rig.tell(Event::Tick);
        rig
    }

    /// One that watches three boxes from revision 11 on.
    fn watching() -> Rig {
        let mut rig = Rig::new(2, None);
        let box_ = |n: u16| kv(&format!("box-{n}"), i64::from(n), value(n, "serving"));
        rig.page(page(10, vec![box_(1), box_(2), box_(3)], false));
        rig.watched(created(10));
        rig.lists.clear();
        rig.notes.clear();
        rig
    }

    fn tell(&mut self, event: Event) {
        let mut out = Vec::new();
        self.follower.on_event(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Range(call, endpoint, asked) => {
                    (self.call, self.endpoint, self.asked) = (call, endpoint, asked.revision);
                    self.watching = false;
                }
                Action::Watch(call, endpoint, asked) => {
                    (self.call, self.endpoint, self.asked) = (call, endpoint, asked.start_revision);
                    assert!(asked.progress_notify && asked.fragment);
                    self.watching = true;
                }
                Action::Ask => self.asks += 1,
                Action::Close => {}
                Action::Tell(Change { list, revision, .. }) => {
                    let words =
                        |entry: &Entry| format!("{} {} {:?}", entry.id, entry.addr.port(), entry.state);
                    let mut words: Vec<_> = list.servers.iter().map(words).collect();
                    words.extend(list.full.then(|| "whole".to_owned()));
                    self.lists.push((revision, words));
                }
                Action::Keep => self.keeps += 1,
                Action::Note(note) => self.notes.push(note),
            }
        }
    }

    fn page(&mut self, page: RangeResponse) {
        self.tell(Event::Page(self.call, page));
    }

    fn watched(&mut self, told: WatchResponse) {
        self.tell(Event::Watched(self.call, told));
    }

    fn fail(&mut self, fault: Fault) {
        self.tell(Event::Failed(self.call, fault, "broken".into()));
    }

    /// Waits until it does something.
    fn wake(&mut self) {
        self.now = self.now.max(self.follower.wake_at());
        self.tell(Event::Tick);
    }

    /// Waits until it calls again; tells for how long.
    fn next_call(&mut self) -> Micros {
        let (before, since) = (self.call, self.now);
        while self.call == before {
            self.wake();
        }
        self.now - since
    }

    /// What was told, also of what waited for more.
    fn told(&mut self) -> Vec<(i64, Vec<String>)> {
        self.now += Pace::default().gather;
        self.tell(Event::Tick);
        std::mem::take(&mut self.lists)
    }
}

fn list(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

#[test]
fn a_list_is_read_in_pages_at_one_revision_and_watched_from_the_next() {
    let mut rig = Rig::new(1, None);
    assert_eq!((rig.watching, rig.asked), (false, 0));
    rig.page(page(10, vec![kv("box-1", 4, value(1, "serving"))], true));
    assert_eq!((rig.watching, rig.asked), (false, 10));
    rig.page(page(12, vec![kv("box-2", 9, value(2, "draining"))], false));
    assert_eq!((rig.watching, rig.asked), (true, 11), "changes up to 12 are still to come");
    assert_eq!(rig.told(), [(10, list(&["box-1 1 Serving", "box-2 2 Draining", "whole"]))]);
}

#[test]
fn changes_that_come_at_once_are_told_at_once() {
    let mut rig = Rig::watching();
    let first = vec![
        put("box-1", 11, value(1, "draining")),
        delete("box-2", 11),
        put("box-4", 12, value(2, "serving")),
    ];
    rig.watched(events(12, first));
    let told = list(&["box-1 1 Draining", "box-2 2 Deleted", "box-4 2 Serving"]);
    assert_eq!(rig.told(), [(12, told)], "box-4 under the address of one that is gone");
}

#[test]
fn parts_are_put_together_and_replays_change_nothing() {
    let mut rig = Rig::watching();
    let part = |event, fragment| WatchResponse { fragment, ..events(11, vec![event]) };
    rig.watched(part(put("box-1", 11, value(1, "draining")), true));
    assert_eq!(rig.told(), [], "not whole");
    rig.watched(part(delete("box-2", 11), false));
    assert_eq!(rig.told(), [(11, list(&["box-1 1 Draining", "box-2 2 Deleted"]))]);
    let again = vec![put("box-1", 11, value(1, "draining")), delete("box-2", 11)];
    rig.watched(events(11, again));
    assert!(rig.told().is_empty() && rig.watching && rig.notes.is_empty());
}

#[test]
fn a_revision_that_comes_in_two_answers_makes_it_read_the_list() {
    let mut rig = Rig::watching();
    rig.watched(events(11, vec![put("box-1", 11, value(1, "draining"))]));
    rig.watched(events(11, vec![put("box-2", 11, value(2, "draining"))]));
    assert!(matches!(rig.notes[0], Note::Doubt(_)));
    rig.next_call();
    assert!(!rig.watching);
}

#[test]
fn a_removal_and_a_put_in_one_revision_count_in_their_order() {
    let mut rig = Rig::watching();
    rig.watched(events(11, vec![delete("box-1", 11), put("box-1", 11, value(7, "serving"))]));
    rig.watched(events(12, vec![put("box-2", 12, value(9, "draining")), delete("box-2", 12)]));
    assert_eq!(rig.told(), [(12, list(&["box-1 7 Serving", "box-2 2 Deleted"]))]);
}

#[test]
fn a_compacted_watch_reads_the_list_and_tells_what_was_in_the_hole() {
    let mut rig = Rig::watching();
    rig.watched(compacted(20));
    assert!(rig.next_call() <= 50_000);
    assert_eq!((rig.watching, rig.asked), (false, 0));
    let now = vec![
        kv("box-1", 15, value(1, "draining")),
        kv("box-3", 3, value(3, "serving")),
        kv("new", 19, value(2, "serving")),
    ];
    rig.page(page(20, now, false));
    let told = list(&["box-1 1 Draining", "box-2 2 Deleted", "new 2 Serving"]);
    assert_eq!(rig.told(), [(20, told)], "box-3 is as it was");
    assert_eq!((rig.watching, rig.asked), (true, 21));
}

#[test]
fn pages_whose_revision_is_compacted_are_read_anew() {
    let mut rig = Rig::new(1, None);
    rig.page(page(10, vec![kv("box-1", 4, value(1, "serving"))], true));
    rig.fail(Fault::Compacted);
    rig.next_call();
    assert_eq!((rig.watching, rig.asked), (false, 0));
    rig.page(page(30, vec![kv("box-2", 29, value(2, "serving"))], false));
    assert_eq!(rig.told(), [(30, list(&["box-2 2 Serving", "whole"]))], "nothing of the first try");
}

#[test]
fn a_broken_watch_goes_on_from_the_revision_held_at_the_next_endpoint() {
    let mut rig = Rig::watching();
    let endpoint = rig.endpoint;
    rig.watched(events(15, vec![put("box-1", 13, value(1, "draining"))]));
    rig.watched(events(17, vec![])); // how far it is
    rig.fail(Fault::Failed);
    assert!(rig.next_call() <= 50_000);
    assert_eq!((rig.watching, rig.asked), (true, 18));
    assert_ne!(rig.endpoint, endpoint);
}

#[test]
fn after_a_long_outage_the_whole_list_is_read() {
    let mut rig = Rig::watching();
    let mut waited = 0;
    while waited < Pace::default().resume {
        rig.fail(Fault::Unreached);
        waited += rig.next_call();
    }
    assert!(!rig.watching, "a store restored meanwhile may have passed the revision held");
}

#[test]
fn a_silent_watch_is_asked_and_then_dead() {
    let mut rig = Rig::watching();
    for _ in 0..3 {
        rig.now += 2 * S;
        rig.tell(Event::Tick);
        rig.watched(events(10, vec![])); // it lives
    }
    assert_eq!((rig.asks, rig.watching), (3, true));
    let (call, since) = (rig.call, rig.now);
    rig.next_call();
    assert_eq!(rig.asks, 4);
    assert!(rig.call != call && rig.now - since <= 3 * S + 50_000, "{} us", rig.now - since);
    assert!(matches!(&rig.notes[0], Note::Lost(_, why, 1, _) if why == "the watch is silent"));
}

#[test]
fn a_call_that_is_not_answered_is_given_up() {
    let mut rig = Rig::new(2, None);
    let endpoint = rig.endpoint;
    assert!(rig.next_call() <= 2 * S + 50_000);
    assert_ne!(rig.endpoint, endpoint);
    rig.page(page(10, vec![], false));
    assert!(rig.next_call() <= 2 * S + 100_000, "nor is a watch that is never made");
}

#[test]
fn waits_double_up_to_their_bound_and_start_anew_once_a_watch_has_settled() {
    let mut rig = Rig::new(3, None);
    let mut waits = Vec::new();
    for _ in 0..14 {
        rig.fail(Fault::Unreached);
        waits.push(rig.next_call());
    }
    assert!(waits[0] <= 50_000 && waits[4] >= 400_000 && waits[4] <= 800_000, "{waits:?}");
    assert!(waits.iter().all(|wait| *wait <= 5 * S) && waits[13] >= 5 * S / 2, "{waits:?}");
    assert_eq!(rig.notes.len(), 4, "failures 1, 2, 4 and 8");
    rig.page(page(10, vec![], false));
    rig.watched(created(10));
    rig.now += 2 * S;
    rig.watched(events(10, vec![]));
    rig.fail(Fault::Failed);
    assert!(rig.next_call() <= 50_000);
}

#[test]
fn an_older_store_is_believed_once_it_is_told_again() {
    let mut rig = Rig::watching();
    rig.fail(Fault::Failed);
    rig.next_call();
    rig.watched(created(6)); // from 11 on, it would be silent for long
    rig.next_call();
    let older =
        || page(6, vec![kv("box-1", 1, value(1, "serving")), kv("old", 5, value(5, "serving"))], false);
    rig.page(older());
    assert_eq!((rig.told(), rig.watching), (vec![], false));
    assert!(matches!(rig.notes.last(), Some(Note::Rumour(6, 10))));
    rig.next_call();
    rig.page(older());
    assert!(rig.notes.contains(&Note::Rewound(6, 10)));
    assert_eq!(rig.told(), [(6, list(&["box-2 2 Deleted", "box-3 3 Deleted", "old 5 Serving"]))]);
    assert_eq!((rig.watching, rig.asked), (true, 7));
}

#[test]
fn one_endpoint_that_lags_or_lies_is_not_believed() {
    let mut rig = Rig::watching();
    rig.watched(compacted(20));
    rig.next_call();
    rig.page(page(6, vec![], false));
    rig.next_call();
    let now = || vec![kv("box-1", 15, value(1, "draining"))];
    rig.page(page(20, now(), false));
    assert_eq!(rig.told().len(), 1);
    rig.watched(created(6));
    assert!(rig.watching, "behind a list that was good, it only lags");
    rig.watched(compacted(21));
    rig.next_call();
    rig.page(page(6, vec![], false));
    assert_eq!(rig.told(), [], "counted anew");
}

#[test]
fn the_same_revision_with_another_list_is_another_history() {
    let mut rig = Rig::watching();
    rig.watched(compacted(10));
    rig.next_call();
    rig.page(page(10, vec![kv("box-1", 9, value(8, "serving"))], false));
    assert!(matches!(rig.notes.last(), Some(Note::Rumour(10, 10))));
}

#[test]
fn a_value_that_cannot_be_read_leaves_its_box_as_it_was() {
    let mut rig = Rig::watching();
    let junk = || b"{\"addr\":\"x\n\"}".to_vec();
    rig.watched(events(
        11,
        vec![put("box-1", 11, junk()), put("box-2", 11, value(2, "draining")), put("new", 11, junk())],
    ));
    assert_eq!(rig.told(), [(11, list(&["box-2 2 Draining"]))], "the rest applies");
    let Note::Malformed(id, why) = &rig.notes[0] else { panic!("{:?}", rig.notes) };
    assert!(id == "box-1" && !why.contains('\n'));
    rig.watched(events(12, vec![put("box-1", 12, junk())]));
    assert_eq!(rig.notes.len(), 2, "box-1 and new, once each: {:?}", rig.notes);
    // In a whole list, too, and a removal counts.
    rig.watched(compacted(13));
    rig.next_call();
    rig.page(page(13, vec![kv("box-1", 12, junk()), kv("box-2", 11, value(2, "draining"))], false));
    assert_eq!(rig.told(), [(13, list(&["box-3 3 Deleted"]))]);
    rig.watched(created(13));
    rig.watched(events(14, vec![delete("box-1", 14)]));
    assert_eq!(rig.told(), [(14, list(&["box-1 1 Deleted"]))]);
}

#[test]
fn a_kept_list_serves_at_once_with_its_age_and_is_caught_up() {
    let kept = Rig::watching().follower.kept().unwrap();
    assert_eq!((kept.revision, kept.servers.len(), kept.as_of), (10, 3, 1000 * S));
    let older = CachedList { as_of: kept.as_of - 60 * S, ..kept.clone() };
    let mut rig = Rig::new(2, Some(older.clone()));
    assert_eq!(rig.notes[0], Note::Kept(10, 3, 60 * S));
    assert_eq!(rig.told()[0].1.len(), 4);
    assert!(!rig.watching, "what happened meanwhile is read, not guessed");
    for _ in 0..20 {
        rig.fail(Fault::Unreached);
        rig.next_call();
    }
    assert_eq!(rig.follower.kept(), Some(older), "it does not grow younger");
    assert_eq!(rig.keeps, 0);
    rig.page(page(
        30,
        vec![kv("box-1", 1, value(1, "serving")), kv("box-2", 25, value(2, "draining"))],
        false,
    ));
    assert_eq!(
        rig.told(),
        [(30, list(&["box-2 2 Draining", "box-3 3 Deleted"]))],
        "no more than has changed"
    );
    let of_others = CachedList { prefix: "/other/".into(), ..kept };
    assert!(Rig::new(2, Some(of_others)).told().is_empty());
}

#[test]
fn it_is_kept_once_a_second_at_most_and_for_its_age_every_half_minute() {
    let mut rig = Rig::watching();
    rig.keeps = 0;
    for n in 0..100 {
        rig.now += S / 10;
        rig.watched(events(
            11 + n,
            vec![put("box-1", 11 + n, value(1, ["serving", "draining"][(n as usize + 1) % 2]))],
        ));
    }
    assert!((9..=10).contains(&rig.keeps), "{} in 10 s", rig.keeps);
    assert_eq!(rig.told().len(), 100, "a box that flaps is followed");
    rig.keeps = 0;
    for _ in 0..60 {
        rig.now += S;
        rig.tell(Event::Tick);
        rig.watched(events(110, vec![]));
    }
    assert!((2..=3).contains(&rig.keeps), "{} in 60 s", rig.keeps);
}

#[test]
fn a_large_answer_is_asked_for_in_smaller_pages() {
    let mut rig = Rig::new(1, None);
    for _ in 0..6 {
        rig.fail(Fault::TooLarge);
        rig.next_call();
    }
    assert_eq!(rig.follower.page, 1);
}

#[test]
fn a_list_beyond_all_bounds_is_not_believed() {
    let mut rig = Rig::watching();
    rig.watched(compacted(20));
    rig.next_call();
    for n in 0..=40 {
        let kvs = (0..500).map(|m| kv(&format!("x{n:02}{m:03}"), 20, value(1, "serving"))).collect();
        rig.page(page(20, kvs, true));
    }
    assert!(matches!(rig.notes.last(), Some(Note::Lost(_, why, ..)) if why.contains("too many")));
    assert!(rig.told().is_empty());
}

#[test]
fn answers_that_make_no_sense_panic_nothing() {
    let mut rng = fastrand::Rng::with_seed(11);
    for seed in 0..300 {
        let mut rig = if seed % 2 == 0 { Rig::new(2, None) } else { Rig::watching() };
        for _ in 0..60 {
            let revision = *rng.choice(&[i64::MIN, -1, 0, 1, 10, 11, 12, i64::MAX - 1, i64::MAX]).unwrap();
            let id = *rng.choice(&["box-1", "box-2", "", "a b", "x"]).unwrap();
            let one = kv(id, revision, value(rng.u16(..3), rng.choice(&["serving", "gone"]).unwrap()));
            let mut event = put(id, revision, value(1, "serving"));
            event.r#type = rng.i32(-1..3);
            event.kv = event.kv.filter(|_| rng.u8(..9) > 0);
            let head = header(*rng.choice(&[revision, 10, 11]).unwrap()).filter(|_| rng.u8(..9) > 0);
            match rng.u8(..5) {
                0 => rig.page(RangeResponse {
                    header: head,
                    kvs: vec![one; rng.usize(..3)],
                    more: rng.bool(),
                    count: -1,
                }),
                1 => rig.watched(WatchResponse {
                    header: head,
                    events: vec![event; rng.usize(..3)],
                    fragment: rng.bool(),
                    created: rng.u8(..4) == 0,
                    canceled: rng.u8(..9) == 0,
                    compact_revision: revision,
                    ..Default::default()
                }),
                2 => rig.fail(*rng.choice(&[Fault::Compacted, Fault::TooLarge, Fault::Failed]).unwrap()),
                3 => rig.wake(),
                _ => {
                    let start = created(10);
                    rig.watched(start);
                }
            }
        }
        assert!(rig.notes.len() < 300);
    }
}

#[test]
fn a_reload_reads_the_list_at_the_new_endpoints_and_keeps_what_is_held() {
    let mut rig = Rig::watching();
    let late = rig.call;
    rig.tell(Event::Moved(1));
    assert_eq!((rig.watching, rig.endpoint), (false, 0));
    rig.tell(Event::Watched(late, events(11, vec![delete("box-1", 11)])));
    assert_eq!(rig.told(), [], "of the old endpoint");
    rig.page(page(11, vec![kv("box-2", 2, value(2, "serving")), kv("box-3", 3, value(3, "serving"))], false));
    assert_eq!(rig.told(), [(11, list(&["box-1 1 Deleted"]))]);
}

#[test]
fn what_comes_late_of_a_watch_that_was_given_up_changes_nothing() {
    let mut rig = Rig::watching();
    let late = rig.call;
    rig.fail(Fault::Failed);
    rig.next_call();
    rig.watched(created(10));
    rig.tell(Event::Watched(late, compacted(30)));
    rig.tell(Event::Watched(late, events(30, vec![delete("box-1", 30)])));
    rig.tell(Event::Failed(late, Fault::Failed, "late".into()));
    assert!(rig.watching && rig.told().is_empty());
    rig.watched(events(11, vec![delete("box-1", 11)]));
    assert_eq!(rig.told(), [(11, list(&["box-1 1 Deleted"]))]);
}

#[test]
fn no_bytes_of_a_message_panic_it_or_grow_it_without_bound() {
    use prost::Message;
    let mut rng = fastrand::Rng::with_seed(23);
    let whole = events(12, vec![put("box-1", 11, value(1, "draining")), delete("box-2", 12)]).encode_to_vec();
    let listed = page(10, vec![kv("box-1", 4, value(1, "serving")), kv("box-2", 5, value(2, "x"))], true);
    let listed = listed.encode_to_vec();
    let (mut read, mut rig) = (0, Rig::new(1, None));
    for n in 0..20_000 {
        if n % 50 == 0 {
            rig = if rng.bool() { Rig::watching() } else { Rig::new(1, None) };
        }
        let mut bytes = if rng.bool() { whole.clone() } else { listed.clone() };
        for _ in 0..rng.usize(1..5) {
            let at = rng.usize(..bytes.len());
            match rng.u8(..4) {
                0 => bytes.truncate(at.max(1)),
                1 => bytes.insert(at, rng.u8(..)),
                _ => bytes[at] = rng.u8(..),
            }
        }
        if let Ok(told) = WatchResponse::decode(&*bytes) {
            rig.watched(told);
            read += 1;
        }
        if let Ok(told) = RangeResponse::decode(&*bytes) {
            rig.page(told);
        }
        if rng.u8(..8) == 0 {
            rig.wake();
        }
        assert!(rig.follower.held.as_ref().is_none_or(|held| held.items.len() < 300));
    }
    assert!(read > 1000, "{read} could be read at all");
}

#[test]
fn the_first_change_is_told_at_once_and_a_storm_behind_it_together() {
    let mut rig = Rig::watching();
    rig.now += S;
    for n in 0..1000 {
        rig.now += S / 1000;
        let state = ["draining", "serving"][n as usize % 2];
        rig.watched(events(11 + n, vec![put("box-1", 11 + n, value(1, state))]));
        if n == 0 {
            assert_eq!(rig.lists, [(11, list(&["box-1 1 Draining"]))]);
        }
        if rig.follower.wake_at() <= rig.now {
            rig.tell(Event::Tick);
        }
    }
    assert!((20..=50).contains(&rig.lists.len()), "{} lists for 1000 changes in 1 s", rig.lists.len());
    let last = rig.told().pop();
    assert!(last.is_none_or(|(_, last)| last == list(&["box-1 1 Serving"])));
    rig.watched(events(
        2000,
        vec![put("box-2", 2000, value(2, "draining")), put("box-2", 2001, value(2, "serving"))],
    ));
    assert_eq!(rig.told(), [], "it is as the core knows it");
}
