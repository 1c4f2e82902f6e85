//! Each fault does what its name says: seen by a peer that speaks to the stand-ins itself.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use lilacquay_codec::memcache::{Opcode, Packet, Status, next_response};
use lilacquay_fleet::fault::{Faults, MemcachedFaults};
use lilacquay_fleet::record::Event;
use lilacquay_fleet::script::Step;
use lilacquay_fleet::{Fleet, FleetConfig};

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
fn stocked(plan: FleetConfig) -> Fleet {
    let fleet = Fleet::start(FleetConfig { boxes: 1, ..plan }).unwrap();
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
    count(fleet, |event| matches!(event, Event::Received(_)))
}

fn ran(fleet: &Fleet) -> usize {
    count(fleet, |event| matches!(event, Event::Executed(_)))
}

#[test]
fn a_reset_before_the_end_never_runs_and_one_after_it_has_run() {
    let fleet = stocked(FleetConfig::default());
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
    let fleet = stocked(FleetConfig::default());
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
    let fleet = stocked(FleetConfig::default());
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
    let fleet = stocked(FleetConfig::default());
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
    let fleet = stocked(FleetConfig::default());
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
    let mut plan = FleetConfig::default();
    (plan.cache.cores, plan.cache.queue_capacity) = (1, 1);
    plan.cache.miss_work = Duration::from_millis(200);
    let fleet = Fleet::start(FleetConfig { boxes: 1, ..plan }).unwrap();
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
    let fleet = Fleet::start(FleetConfig { boxes: 2, ..FleetConfig::default() }).unwrap();
    let drain = |server: &str| fleet.step(Step::Drain { server: server.into() });
    assert!(drain("box-9").unwrap_err().to_string().contains("no box box-9"));
    fleet.step(Step::Remove { server: "box-1".into() }).unwrap();
    drain("box-1").unwrap();
    let list = http_list(fleet.discovery);
    assert!(list.contains("box-0") && !list.contains("box-1"), "{list}");
}

/// A fleet of one box that speaks memcached and holds the key `k`.
fn stocked_memcached() -> Fleet {
    let fleet = Fleet::start(FleetConfig { boxes: 1, memcached_boxes: 1, ..FleetConfig::default() }).unwrap();
    let mut link = connect(fleet.boxes[0]);
    send_get(&mut link, "k", 7);
    assert_eq!(packet(&mut link), Some((7, Status::KEY_NOT_FOUND, String::new())));
    let fetched = http(fleet.origin, "GET", "i", "c=lookup,d=1000", "");
    assert!(fetched.ends_with("i k v1"), "{fetched}");
    send_get(&mut link, "k", 8);
    assert_eq!(packet(&mut link), Some((8, Status::OK, "- k v1".into())), "stored where the key was missed");
    fleet
}

fn send_get(link: &mut TcpStream, key: &str, opaque: u32) {
    let mut text = BytesMut::new();
    Packet { key: key.to_owned().into(), ..Packet::new(Opcode::Get, opaque) }.put_request(&mut text);
    link.write_all(&text).unwrap();
}

/// The next answer: opaque, status and value; nothing at the end or a reset.
fn packet(link: &mut TcpStream) -> Option<(u32, Status, String)> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(packet) = next_response(&mut buffer, 1 << 16).unwrap() {
            assert!(buffer.is_empty(), "read byte by byte");
            let value = String::from_utf8_lossy(&packet.value).into_owned();
            return Some((packet.opaque, Status(packet.status), value));
        }
        let mut byte = [0];
        match link.read(&mut byte) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&byte),
            _ => return None,
        }
    }
}

/// So many bytes, behind which nothing has come, on a connection that is still open.
fn come(link: &mut TcpStream, wanted: usize) -> Vec<u8> {
    let mut bytes = vec![0; wanted];
    link.read_exact(&mut bytes).unwrap();
    link.set_nonblocking(true).unwrap();
    assert_eq!(link.peek(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock, "no more, and still open");
    link.set_nonblocking(false).unwrap();
    bytes
}

fn memcached_fault(fleet: &Fleet, memcached: MemcachedFaults) {
    fault(fleet, "box-0", Faults { memcached, ..Faults::default() });
}

#[test]
fn a_memcached_box_answers_out_of_order_and_with_a_wrong_opaque() {
    let fleet = stocked_memcached();
    let mut link = connect(fleet.boxes[0]);
    send_get(&mut link, "k", 1);
    assert_eq!(packet(&mut link).unwrap().0, 1);
    memcached_fault(&fleet, MemcachedFaults { misorder: 1.0, ..MemcachedFaults::default() });
    send_get(&mut link, "k", 2);
    assert_eq!((packet(&mut link).unwrap().0, packet(&mut link).unwrap().0), (1, 2));
    memcached_fault(&fleet, MemcachedFaults { opaque: 1.0, ..MemcachedFaults::default() });
    send_get(&mut link, "k", 4);
    assert_eq!(packet(&mut link), Some((5, Status::OK, "- k v1".into())));
}

#[test]
fn a_memcached_box_lies_about_a_body_leaves_half_a_header_and_keeps_misses_to_itself() {
    let fleet = stocked_memcached();
    let whole = 24 + 4 + "- k v1".len();
    memcached_fault(&fleet, MemcachedFaults { body: 1.0, ..MemcachedFaults::default() });
    let mut link = connect(fleet.boxes[0]);
    send_get(&mut link, "k", 1);
    let lie = come(&mut link, whole);
    assert_eq!(lie[8..12], (whole as u32 - 24 + 1).to_be_bytes());
    memcached_fault(&fleet, MemcachedFaults { header: 1.0, ..MemcachedFaults::default() });
    let mut link = connect(fleet.boxes[0]);
    send_get(&mut link, "k", 1);
    assert_eq!(come(&mut link, 12)[..2], [0x81, 0]);
    memcached_fault(&fleet, MemcachedFaults { quiet: 1.0, ..MemcachedFaults::default() });
    let mut link = connect(fleet.boxes[0]);
    send_get(&mut link, "k", 3);
    assert_eq!(packet(&mut link).unwrap().0, 3, "a hit is answered");
    let asked_before = asked(&fleet);
    send_get(&mut link, "none", 4);
    let deadline = Instant::now() + PATIENCE;
    while asked(&fleet) == asked_before {
        assert!(Instant::now() < deadline, "not asked");
    }
    // A request behind one that is still open ends the connection; one behind an answer that was kept back is
    // answered. Either way nothing comes for the miss.
    send_get(&mut link, "k", 5);
    let next = packet(&mut link).map(|packet| packet.0);
    assert!(next.is_none_or(|opaque| opaque == 5), "the miss is not answered: {next:?}");
}

#[test]
fn the_faults_of_all_boxes_are_those_of_a_memcached_box_too() {
    let fleet = stocked_memcached();
    let ask = |faults: Faults| {
        fault(&fleet, "box-0", faults);
        let mut link = connect(fleet.boxes[0]);
        send_get(&mut link, "k", 1);
        packet(&mut link)
    };
    let (asked_before, ran_before) = (asked(&fleet), ran(&fleet));
    assert_eq!(ask(Faults { reset_before: 1.0, ..Faults::default() }), None);
    assert_eq!((asked(&fleet), ran(&fleet)), (asked_before, ran_before));
    assert_eq!(ask(Faults { reset_after: 1.0, ..Faults::default() }), None);
    assert_eq!((asked(&fleet), ran(&fleet)), (asked_before + 1, ran_before + 1));
    let failed = ask(Faults { fail: 1.0, ..Faults::default() });
    assert_eq!(failed, Some((1, Status::INTERNAL_ERROR, String::new())));
    assert_eq!(ran(&fleet), ran_before + 2);
    fault(&fleet, "box-0", Faults { spoil: 1.0, ..Faults::default() });
    let mut link = connect(fleet.boxes[0]);
    send_get(&mut link, "k", 1);
    let mut spoilt = [0; 256];
    let n = link.read(&mut spoilt).unwrap();
    let read = next_response(&mut BytesMut::from(&spoilt[..n]), 1 << 16);
    assert!(n > 0 && read.is_err(), "{read:?}");
}

fn http_list(discovery: SocketAddr) -> String {
    let mut stream = connect(discovery);
    stream.write_all(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}
