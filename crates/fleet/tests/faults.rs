//! Each fault of the stand-in servers has its documented effect, as seen by a peer that connects to them directly.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use lilacquay_codec::memcache::{Opcode, Packet, Status, next_response};
use lilacquay_fleet::fault::{Faults, MemcachedFaults};
use lilacquay_fleet::record::Event;
use lilacquay_fleet::script::Step;
use lilacquay_fleet::{Fleet, FleetConfig};

/// Time limit of all waits; only a failing test reaches it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Answer of a box to the request `j` for the key `k` at version 1.
const HIT: &str = "*3\r\n$6\r\nj k v1\r\n$3\r\nhit\r\n$-1\r\n";

/// Encodes a RESP2 command.
fn encode_command(words: &[&str]) -> String {
    let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{bulk}", words.len())
}

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    stream
}

/// Sends a read of the key `k` on a new connection.
fn send_read(to: SocketAddr, id: &str) -> TcpStream {
    try_send_read(to, id).unwrap()
}

fn try_send_read(to: SocketAddr, id: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    stream.write_all(encode_command(&["CACHE.GET", "k", id, "c=lookup,d=1000"]).as_bytes())?;
    Ok(stream)
}

/// The data of the first read; empty if the connection was closed or reset.
fn read_answer(stream: &mut TcpStream) -> String {
    let mut bytes = [0; 512];
    match stream.read(&mut bytes) {
        Ok(n) => String::from_utf8_lossy(&bytes[..n]).into_owned(),
        Err(error) if error.kind() == ErrorKind::ConnectionReset => String::new(),
        Err(error) => panic!("{error}"),
    }
}

/// Starts a fleet of one box, which has the key `k` stored.
fn fleet_with_key(config: FleetConfig) -> Fleet {
    let fleet = Fleet::start(FleetConfig { boxes: 1, ..config }).unwrap();
    let miss = read_answer(&mut send_read(fleet.boxes[0], "i"));
    assert_eq!(miss, "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    let fetched = send_http(fleet.origin, "GET", "i", "c=lookup,d=1000", "");
    assert!(fetched.starts_with("HTTP/1.1 200 OK") && fetched.ends_with("i k v1"), "{fetched}");
    assert_eq!(
        read_answer(&mut send_read(fleet.boxes[0], "j")),
        HIT,
        "the value is stored at the box that missed"
    );
    fleet
}

/// Sends a request for `k` to the origin and returns its answer.
fn send_http(to: SocketAddr, method: &str, id: &str, facts: &str, body: &str) -> String {
    let mut stream = connect(to);
    let length = body.len();
    let head = format!("{method} /k HTTP/1.1\r\nHost: o\r\nX-Correlation-Id: {id}\r\nX-Facts: {facts}\r\n");
    stream.write_all(format!("{head}Content-Length: {length}\r\n\r\n{body}").as_bytes()).unwrap();
    read_answer(&mut stream)
}

fn set_faults(fleet: &Fleet, server: &str, faults: Faults) {
    fleet.step(Step::Faults { server: server.into(), faults }).unwrap();
}

fn count_events(fleet: &Fleet, matches: fn(&Event) -> bool) -> usize {
    fleet.records().0.iter().filter(|record| matches(&record.event)).count()
}

fn received_count(fleet: &Fleet) -> usize {
    count_events(fleet, |event| matches!(event, Event::Received(_)))
}

fn executed_count(fleet: &Fleet) -> usize {
    count_events(fleet, |event| matches!(event, Event::Executed(_)))
}

#[test]
fn a_request_reset_at_its_first_byte_is_not_executed_and_one_reset_after_it_is() {
    let fleet = fleet_with_key(FleetConfig::default());
    let (received_before, executed_before) = (received_count(&fleet), executed_count(&fleet));
    set_faults(&fleet, "box-0", Faults { reset_before: 1.0, ..Faults::default() });
    assert_eq!(read_answer(&mut send_read(fleet.boxes[0], "j")), "");
    assert_eq!((received_count(&fleet), executed_count(&fleet)), (received_before, executed_before));
    set_faults(&fleet, "box-0", Faults { reset_after: 1.0, ..Faults::default() });
    assert_eq!(read_answer(&mut send_read(fleet.boxes[0], "j")), "");
    assert_eq!((received_count(&fleet), executed_count(&fleet)), (received_before + 1, executed_before + 1));
    set_faults(&fleet, "origin", Faults { reset_before: 1.0, ..Faults::default() });
    assert_eq!(send_http(fleet.origin, "PUT", "w", "c=post,d=1000", "v"), "");
    assert_eq!((received_count(&fleet), executed_count(&fleet)), (received_before + 1, executed_before + 1));
    set_faults(&fleet, "origin", Faults { reset_after: 1.0, ..Faults::default() });
    assert_eq!(send_http(fleet.origin, "PUT", "w", "c=post,d=1000", "v"), "");
    assert_eq!((received_count(&fleet), executed_count(&fleet)), (received_before + 2, executed_before + 2));
}

#[test]
fn a_request_with_a_malformed_answer_or_an_error_is_executed() {
    let fleet = fleet_with_key(FleetConfig::default());
    let before = executed_count(&fleet);
    set_faults(&fleet, "box-0", Faults { spoil: 1.0, ..Faults::default() });
    let malformed = read_answer(&mut send_read(fleet.boxes[0], "j"));
    assert!(!malformed.is_empty() && malformed != HIT);
    set_faults(&fleet, "box-0", Faults { fail: 1.0, ..Faults::default() });
    assert_eq!(read_answer(&mut send_read(fleet.boxes[0], "j")), "-ERR failed\r\n");
    set_faults(&fleet, "origin", Faults { fail: 1.0, ..Faults::default() });
    assert!(send_http(fleet.origin, "GET", "i", "c=lookup,d=1", "").starts_with("HTTP/1.1 500"));
    assert_eq!(executed_count(&fleet), before + 3);
}

#[test]
fn a_swallowed_request_is_never_answered_and_a_stalled_one_is_answered_later() {
    let fleet = fleet_with_key(FleetConfig::default());
    let before = received_count(&fleet);
    let wait_for_received = |n| {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while received_count(&fleet) < before + n {
            assert!(Instant::now() < deadline, "the request was not received");
        }
    };
    set_faults(&fleet, "box-0", Faults { swallow: 1.0, ..Faults::default() });
    let swallowed = send_read(fleet.boxes[0], "j");
    wait_for_received(1);
    set_faults(&fleet, "box-0", Faults { stalled: true, ..Faults::default() });
    let mut stalled = send_read(fleet.boxes[0], "j");
    wait_for_received(2);
    stalled.set_nonblocking(true).unwrap();
    assert_eq!(stalled.peek(&mut [0]).unwrap_err().kind(), ErrorKind::WouldBlock);
    stalled.set_nonblocking(false).unwrap();
    set_faults(&fleet, "box-0", Faults::default());
    assert_eq!(read_answer(&mut stalled), HIT);
    swallowed.set_nonblocking(true).unwrap();
    assert_eq!(
        swallowed.peek(&mut [0]).unwrap_err().kind(),
        ErrorKind::WouldBlock,
        "no answer, and the connection is still open"
    );
}

#[test]
fn slow_work_takes_longer_and_connections_are_refused() {
    let fleet = fleet_with_key(FleetConfig::default());
    set_faults(&fleet, "box-0", Faults { slow: 20.0, ..Faults::default() });
    let start = Instant::now();
    assert_eq!(read_answer(&mut send_read(fleet.boxes[0], "j")), HIT);
    assert!(start.elapsed() >= Duration::from_millis(100), "20 times 5 ms");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    set_faults(&fleet, "box-0", Faults { refuse: true, ..Faults::default() });
    while TcpStream::connect(fleet.boxes[0]).is_ok() {
        assert!(Instant::now() < deadline, "connections are still accepted");
    }
    set_faults(&fleet, "box-0", Faults::default());
    while TcpStream::connect(fleet.boxes[0]).is_err() {
        assert!(Instant::now() < deadline, "connections are still refused");
    }
}

#[test]
fn the_origin_discards_the_repeats_of_a_keyed_write_and_removes_the_key_from_the_boxes() {
    let fleet = fleet_with_key(FleetConfig::default());
    let before = executed_count(&fleet);
    let first = send_http(fleet.origin, "PUT", "w1", "c=signup,d=1000,k=x", "v");
    let repeat = send_http(fleet.origin, "PUT", "w2", "c=signup,d=1000,k=x", "v");
    assert!(first.ends_with("w1 k v2") && repeat.ends_with("w2 k v2"), "{first} {repeat}");
    assert_eq!(executed_count(&fleet), before + 1);
    assert_eq!(count_events(&fleet, |event| matches!(event, Event::Discarded(_))), 1);
    assert!(read_answer(&mut send_read(fleet.boxes[0], "j")).contains("miss"));
}

#[test]
fn a_full_box_answers_busy_and_an_overloaded_cold_one_stays_down() {
    let mut config = FleetConfig::default();
    (config.cache.cores, config.cache.queue_capacity) = (1, 1);
    config.cache.miss_work = Duration::from_millis(200);
    let fleet = Fleet::start(FleetConfig { boxes: 1, ..config }).unwrap();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    set_faults(&fleet, "box-0", Faults { stalled: true, ..Faults::default() });
    let mut streams: Vec<TcpStream> = (0..8).map(|n| send_read(fleet.boxes[0], &format!("i{n}"))).collect();
    while received_count(&fleet) < 8 {
        assert!(Instant::now() < deadline, "the request was not received");
    }
    set_faults(&fleet, "box-0", Faults::default());
    let busy = streams.iter_mut().map(read_answer).filter(|text| text == "-BUSY\r\n").count();
    assert_eq!(busy, 6, "one request on the core, one in the queue");
    fleet.step(Step::Replace { server: "box-0".into(), by: "box-new".into() }).unwrap();
    // Three times a fifth of one core for a second are 0.6 s of work: eight reads of 0.2 s are too many.
    // The box may have failed before the last is sent.
    let _streams: Vec<_> = (0..8).map(|n| try_send_read(fleet.boxes[0], &format!("j{n}"))).collect();
    while count_events(&fleet, |event| *event == Event::Overloaded) == 0 {
        assert!(Instant::now() < deadline, "the box was not overloaded");
    }
    while TcpStream::connect(fleet.boxes[0]).is_ok() {
        assert!(Instant::now() < deadline, "the box still accepts connections");
    }
}

#[test]
fn a_step_for_a_box_that_never_existed_is_an_error_and_a_removed_box_is_not_listed_again() {
    let fleet = Fleet::start(FleetConfig { boxes: 2, ..FleetConfig::default() }).unwrap();
    let drain = |server: &str| fleet.step(Step::Drain { server: server.into() });
    assert!(drain("box-9").unwrap_err().to_string().contains("no box box-9"));
    fleet.step(Step::Remove { server: "box-1".into() }).unwrap();
    drain("box-1").unwrap();
    let list = get_list(fleet.discovery);
    assert!(list.contains("box-0") && !list.contains("box-1"), "{list}");
}

/// Starts a fleet of one box that serves memcached and has the key `k` stored.
fn memcached_fleet_with_key() -> Fleet {
    let fleet = Fleet::start(FleetConfig { boxes: 1, memcached_boxes: 1, ..FleetConfig::default() }).unwrap();
    let mut stream = connect(fleet.boxes[0]);
    send_get(&mut stream, "k", 7);
    assert_eq!(read_packet(&mut stream), Some((7, Status::KEY_NOT_FOUND, String::new())));
    let fetched = send_http(fleet.origin, "GET", "i", "c=lookup,d=1000", "");
    assert!(fetched.ends_with("i k v1"), "{fetched}");
    send_get(&mut stream, "k", 8);
    assert_eq!(
        read_packet(&mut stream),
        Some((8, Status::OK, "- k v1".into())),
        "the value is stored at the box that missed"
    );
    fleet
}

fn send_get(stream: &mut TcpStream, key: &str, opaque: u32) {
    let mut text = BytesMut::new();
    Packet { key: key.to_owned().into(), ..Packet::new(Opcode::Get, opaque) }.put_request(&mut text);
    stream.write_all(&text).unwrap();
}

/// The next answer's opaque, status and value; `None` if the connection was closed or reset.
fn read_packet(stream: &mut TcpStream) -> Option<(u32, Status, String)> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(packet) = next_response(&mut buffer, 1 << 16).unwrap() {
            assert!(buffer.is_empty(), "a packet is complete at its last byte");
            let value = String::from_utf8_lossy(&packet.value).into_owned();
            return Some((packet.opaque, Status(packet.status), value));
        }
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&byte),
            _ => return None,
        }
    }
}

/// Reads `length` bytes, after which the connection must be open and without more data.
fn read_exactly(stream: &mut TcpStream, length: usize) -> Vec<u8> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).unwrap();
    stream.set_nonblocking(true).unwrap();
    assert_eq!(
        stream.peek(&mut [0]).unwrap_err().kind(),
        ErrorKind::WouldBlock,
        "no more data, and the connection is still open"
    );
    stream.set_nonblocking(false).unwrap();
    bytes
}

fn set_memcached_faults(fleet: &Fleet, memcached: MemcachedFaults) {
    set_faults(fleet, "box-0", Faults { memcached, ..Faults::default() });
}

#[test]
fn a_memcached_box_answers_out_of_order_and_with_a_wrong_opaque() {
    let fleet = memcached_fleet_with_key();
    let mut stream = connect(fleet.boxes[0]);
    send_get(&mut stream, "k", 1);
    assert_eq!(read_packet(&mut stream).unwrap().0, 1);
    set_memcached_faults(&fleet, MemcachedFaults { misorder: 1.0, ..MemcachedFaults::default() });
    send_get(&mut stream, "k", 2);
    assert_eq!((read_packet(&mut stream).unwrap().0, read_packet(&mut stream).unwrap().0), (1, 2));
    set_memcached_faults(&fleet, MemcachedFaults { opaque: 1.0, ..MemcachedFaults::default() });
    send_get(&mut stream, "k", 4);
    assert_eq!(read_packet(&mut stream), Some((5, Status::OK, "- k v1".into())));
}

#[test]
fn a_memcached_box_sends_a_wrong_body_length_or_half_a_header_or_does_not_answer_misses() {
    let fleet = memcached_fleet_with_key();
    let answer_length = 24 + 4 + "- k v1".len();
    set_memcached_faults(&fleet, MemcachedFaults { body: 1.0, ..MemcachedFaults::default() });
    let mut stream = connect(fleet.boxes[0]);
    send_get(&mut stream, "k", 1);
    let answer = read_exactly(&mut stream, answer_length);
    assert_eq!(answer[8..12], (answer_length as u32 - 24 + 1).to_be_bytes());
    set_memcached_faults(&fleet, MemcachedFaults { header: 1.0, ..MemcachedFaults::default() });
    let mut stream = connect(fleet.boxes[0]);
    send_get(&mut stream, "k", 1);
    assert_eq!(read_exactly(&mut stream, 12)[..2], [0x81, 0]);
    set_memcached_faults(&fleet, MemcachedFaults { quiet: 1.0, ..MemcachedFaults::default() });
    let mut stream = connect(fleet.boxes[0]);
    send_get(&mut stream, "k", 3);
    assert_eq!(read_packet(&mut stream).unwrap().0, 3, "a hit is answered");
    let received_before = received_count(&fleet);
    send_get(&mut stream, "none", 4);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while received_count(&fleet) == received_before {
        assert!(Instant::now() < deadline, "the request was not received");
    }
    // A second request ends the connection while the first is still worked on, and is answered if the answer to the
    // first was suppressed. In both cases there is no answer for the miss.
    send_get(&mut stream, "k", 5);
    let next = read_packet(&mut stream).map(|packet| packet.0);
    assert!(next.is_none_or(|opaque| opaque == 5), "the miss is not answered: {next:?}");
}

#[test]
fn the_faults_of_all_boxes_apply_to_a_memcached_box_too() {
    let fleet = memcached_fleet_with_key();
    let read_with = |faults: Faults| {
        set_faults(&fleet, "box-0", faults);
        let mut stream = connect(fleet.boxes[0]);
        send_get(&mut stream, "k", 1);
        read_packet(&mut stream)
    };
    let (received_before, executed_before) = (received_count(&fleet), executed_count(&fleet));
    assert_eq!(read_with(Faults { reset_before: 1.0, ..Faults::default() }), None);
    assert_eq!((received_count(&fleet), executed_count(&fleet)), (received_before, executed_before));
    assert_eq!(read_with(Faults { reset_after: 1.0, ..Faults::default() }), None);
    assert_eq!((received_count(&fleet), executed_count(&fleet)), (received_before + 1, executed_before + 1));
    let failed = read_with(Faults { fail: 1.0, ..Faults::default() });
    assert_eq!(failed, Some((1, Status::INTERNAL_ERROR, String::new())));
    assert_eq!(executed_count(&fleet), executed_before + 2);
    set_faults(&fleet, "box-0", Faults { spoil: 1.0, ..Faults::default() });
    let mut stream = connect(fleet.boxes[0]);
    send_get(&mut stream, "k", 1);
    let mut answer = [0; 256];
    let n = stream.read(&mut answer).unwrap();
    let parsed = next_response(&mut BytesMut::from(&answer[..n]), 1 << 16);
    assert!(n > 0 && parsed.is_err(), "{parsed:?}");
}

/// The server list that discovery sends.
fn get_list(discovery: SocketAddr) -> String {
    let mut stream = connect(discovery);
    stream.write_all(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n").unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}
