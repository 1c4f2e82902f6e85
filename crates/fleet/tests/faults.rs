//! Each fault does what its name says: seen by a peer that speaks to the stand-ins itself.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use lilacquay_fleet::fault::Faults;
use lilacquay_fleet::record::Event;
use lilacquay_fleet::script::Step;
use lilacquay_fleet::{Fleet, Plan};

/// Reached only by a test that fails.
const PATIENCE: Duration = Duration::from_secs(20);
const HIT: &str = "*3\r\n$6\r\nj k v1\r\n$3\r\nhit\r\n$-1\r\n";

fn words(words: &[&str]) -> String {
    let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{bulk}", words.len())
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn ask(to: SocketAddr, id: &str) -> TcpStream {
    try_ask(to, id).unwrap()
}

fn try_ask(to: SocketAddr, id: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(words(&["CACHE.GET", "k", id, "c=lookup,d=1000"]).as_bytes())?;
    Ok(stream)
}

/// What comes first; empty at the end or a reset.
fn hear(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 512];
    match stream.read(&mut bytes) {
        Ok(n) => String::from_utf8_lossy(&bytes[..n]).into_owned(),
        Err(error) if error.kind() == ErrorKind::ConnectionReset => String::new(),
        Err(error) => panic!("{error}"),
    }
}

/// A fleet of one box, which holds the key `k`.
fn stocked(plan: Plan) -> Fleet {
    let fleet = Fleet::start(Plan { boxes: 1, ..plan }).unwrap();
    let miss = hear(&mut ask(fleet.boxes[0], "i"));
    assert_eq!(miss, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    let fetched = http(fleet.origin, "GET", "i", "c=lookup,d=1000", "");
    assert!(fetched.starts_with("HTTP/1.1 200 OK") && fetched.ends_with("i k v1"), "{fetched}");
    assert_eq!(hear(&mut ask(fleet.boxes[0], "j")), HIT, "stored where it was missed");
    fleet
}

fn http(to: SocketAddr, method: &str, id: &str, facts: &str, body: &str) -> String {
    let mut stream = connect(to);
    let length = body.len();
    let head = format!("{method} /k HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {id}\r\nX-Facts: {facts}\r\n");
    stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes()).unwrap();
    hear(&mut stream)
}

fn fault(fleet: &Fleet, server: &str, faults: Faults) {
    fleet.step(Step::Faults { server: server.into(), faults }).unwrap();
}

fn count(fleet: &Fleet, wanted: fn(&Event) -> bool) -> usize {
    fleet.records().0.iter().filter(|record| wanted(&record.event)).count()
}

fn asked(fleet: &Fleet) -> usize {
    count(fleet, |event| matches!(event, Event::Asked(_)))
}

fn ran(fleet: &Fleet) -> usize {
    count(fleet, |event| matches!(event, Event::Ran(_)))
}

#[test]
fn a_reset_before_the_end_never_runs_and_one_after_it_has_run() {
    let fleet = stocked(Plan::default());
    let (asked_before, ran_before) = (asked(&fleet), ran(&fleet));
    fault(&fleet, "box-0", Faults { reset_before: 1.0, ..Faults::default() });
    assert_eq!(hear(&mut ask(fleet.boxes[0], "j")), "");
    assert_eq!((asked(&fleet), ran(&fleet)), (asked_before, ran_before));
    fault(&fleet, "box-0", Faults { reset_after: 1.0, ..Faults::default() });
    assert_eq!(hear(&mut ask(fleet.boxes[0], "j")), "");
    assert_eq!((asked(&fleet), ran(&fleet)), (asked_before + 1, ran_before + 1));
    fault(&fleet, "origin", Faults { reset_before: 1.0, ..Faults::default() });
    assert_eq!(http(fleet.origin, "PUT", "w", "c=post,d=1000", "v"), "");
    assert_eq!((asked(&fleet), ran(&fleet)), (asked_before + 1, ran_before + 1));
    fault(&fleet, "origin", Faults { reset_after: 1.0, ..Faults::default() });
    assert_eq!(http(fleet.origin, "PUT", "w", "c=post,d=1000", "v"), "");
    assert_eq!((asked(&fleet), ran(&fleet)), (asked_before + 2, ran_before + 2));
}

#[test]
fn what_is_spoilt_or_fails_has_run() {
    let fleet = stocked(Plan::default());
    let before = ran(&fleet);
    fault(&fleet, "box-0", Faults { spoil: 1.0, ..Faults::default() });
    let spoilt = hear(&mut ask(fleet.boxes[0], "j"));
    assert!(!spoilt.is_empty() && spoilt != HIT);
    fault(&fleet, "box-0", Faults { fail: 1.0, ..Faults::default() });
    assert_eq!(hear(&mut ask(fleet.boxes[0], "j")), "-ERR failed\r\n");
    fault(&fleet, "origin", Faults { fail: 1.0, ..Faults::default() });
    assert!(http(fleet.origin, "GET", "i", "c=lookup,d=1", "").starts_with("HTTP/1.1 500"));
    assert_eq!(ran(&fleet), before + 3);
}

#[test]
fn what_is_swallowed_gets_no_answer_and_what_is_stalled_gets_it_later() {
    let fleet = stocked(Plan::default());
    let before = asked(&fleet);
    let arrived = |n| {
        let deadline = Instant::now() + PATIENCE;
        while asked(&fleet) < before + n {
            assert!(Instant::now() < deadline, "not asked");
        }
    };
    fault(&fleet, "box-0", Faults { swallow: 1.0, ..Faults::default() });
    let swallowed = ask(fleet.boxes[0], "j");
    arrived(1);
    fault(&fleet, "box-0", Faults { stalled: true, ..Faults::default() });
    let mut stalled = ask(fleet.boxes[0], "j");
    arrived(2);
    stalled.set_nonblocking(true).unwrap();
    assert_eq!(stalled.peek(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    stalled.set_nonblocking(false).unwrap();
    fault(&fleet, "box-0", Faults::default());
    assert_eq!(hear(&mut stalled), HIT);
    swallowed.set_nonblocking(true).unwrap();
    assert_eq!(
        swallowed.peek(&mut [0]).unwrap_err().kind(),
        ErrorKind::WouldBlock,
        "still nothing, still open"
    );
}

#[test]
fn slow_work_takes_its_time_and_refused_connections_are_none() {
    let fleet = stocked(Plan::default());
    fault(&fleet, "box-0", Faults { slow: 20.0, ..Faults::default() });
    let start = Instant::now();
    assert_eq!(hear(&mut ask(fleet.boxes[0], "j")), HIT);
    assert!(start.elapsed() >= Duration::from_millis(100), "20 times 5 ms");
    let deadline = Instant::now() + PATIENCE;
    fault(&fleet, "box-0", Faults { refuse: true, ..Faults::default() });
    while TcpStream::connect(fleet.boxes[0]).is_ok() {
        assert!(Instant::now() < deadline, "not refused");
    }
    fault(&fleet, "box-0", Faults::default());
    while TcpStream::connect(fleet.boxes[0]).is_err() {
        assert!(Instant::now() < deadline, "not back");
    }
}

#[test]
fn the_origin_discards_the_repeats_of_a_keyed_write_and_drops_the_copies() {
    let fleet = stocked(Plan::default());
    let before = ran(&fleet);
    let first = http(fleet.origin, "PUT", "w1", "c=signup,d=1000,k=x", "v");
    let again = http(fleet.origin, "PUT", "w2", "c=signup,d=1000,k=x", "v");
    assert!(first.ends_with("w1 k v2") && again.ends_with("w2 k v2"), "{first} {again}");
    assert_eq!(ran(&fleet), before + 1);
    assert_eq!(count(&fleet, |event| matches!(event, Event::Discarded(_))), 1);
    assert!(hear(&mut ask(fleet.boxes[0], "j")).contains("miss"));
}

#[test]
fn a_full_box_turns_away_and_a_cold_one_that_is_pushed_over_stays_down() {
    let mut plan = Plan::default();
    (plan.cache.cores, plan.cache.slots) = (1, 1);
    plan.cache.miss_work = Duration::from_millis(200);
    let fleet = Fleet::start(Plan { boxes: 1, ..plan }).unwrap();
    let deadline = Instant::now() + PATIENCE;
    fault(&fleet, "box-0", Faults { stalled: true, ..Faults::default() });
    let mut links: Vec<TcpStream> = (0..8).map(|n| ask(fleet.boxes[0], &format!("i{n}"))).collect();
    while asked(&fleet) < 8 {
        assert!(Instant::now() < deadline, "not asked");
    }
    fault(&fleet, "box-0", Faults::default());
    let turned_away = links.iter_mut().map(hear).filter(|text| text == "-BUSY\r\n").count();
    assert_eq!(turned_away, 6, "one core and one slot");
    fleet.step(Step::Replace { server: "box-0".into(), by: "box-new".into() }).unwrap();
    // Three times a fifth of one core for a second are 0.6 s of work: eight reads of 0.2 s are too many.
    // It may have fallen before the last.
    let _links: Vec<_> = (0..8).map(|n| try_ask(fleet.boxes[0], &format!("j{n}"))).collect();
    while count(&fleet, |event| *event == Event::PushedOver) == 0 {
        assert!(Instant::now() < deadline, "not pushed over");
    }
    while TcpStream::connect(fleet.boxes[0]).is_ok() {
        assert!(Instant::now() < deadline, "it came back");
    }
}

#[test]
fn a_step_for_a_box_that_never_was_is_an_error_and_one_that_is_gone_stays_gone() {
    let fleet = Fleet::start(Plan { boxes: 2, ..Plan::default() }).unwrap();
    let drain = |server: &str| fleet.step(Step::Drain { server: server.into() });
    assert!(drain("box-9").unwrap_err().to_string().contains("no box box-9"));
    fleet.step(Step::Remove { server: "box-1".into() }).unwrap();
    drain("box-1").unwrap();
    let list = http_list(fleet.discovery);
    assert!(list.contains("box-0") && !list.contains("box-1"), "{list}");
}

fn http_list(discovery: SocketAddr) -> String {
    let mut stream = connect(discovery);
    stream.write_all(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}
