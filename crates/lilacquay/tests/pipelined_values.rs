//! Large values with commands behind them on the same connection: however the value ends, each command gets its answer.

mod common;

use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use common::*;
use lilacquay_codec::memcache::{Opcode, Packet, Status};

/// The length of a large value, in bytes.
const LARGE: usize = 200_000;
const PIECE: usize = 2_000;
const PIECE_INTERVAL: Duration = Duration::from_millis(40);
/// What the clients of the tests wait for a read, and when a server that gives it slowly dies: after its client has seen it
/// begin, if it has begun.
const READ_WAIT: Duration = Duration::from_millis(600);
const READ_FACTS: &str = "c=read,d=600";
const DIES_AFTER: Duration = Duration::from_millis(1400);
/// A final answer is due so long after the client's time is up, and what sockets allow beyond it.
const FINAL_ANSWER: Duration = Duration::from_millis(500 + 50);

/// Gives some of a large value in small pieces, then closes the connection.
fn give_until_death(mut call: Call, head: Vec<u8>) -> JoinHandle<()> {
    thread::spawn(move || {
        let began = Instant::now();
        let _ = call.try_answer(&head); // the node may have hung up, which the client's answers show
        while began.elapsed() < DIES_AFTER {
            let _ = call.try_answer(&[b'x'; PIECE]);
            sleep(PIECE_INTERVAL);
        }
        call.try_close();
    })
}

/// Writes a read of a large value, a write and a read of a small value at once.
fn send_batch(client: &mut Client) {
    let large = words(&["CACHE.GET", "large", "id1", READ_FACTS]);
    let write = words(&["CACHE.SET", "written", "id2", "c=put,d=1900", "text"]);
    let small = words(&["CACHE.GET", "small", "id3", "c=read,d=1900"]);
    client.write([large, write, small].concat());
}

/// Answers the two commands behind the large value; returns the call for that.
fn answer_commands_behind(cache: &Fake, origin: &Fake) -> Call {
    let reads = [cache.call(), cache.call()];
    origin.call().http("200 OK", "receipt");
    let [one, other] = reads;
    let (large, small) = if one.key() == "large" { (one, other) } else { (other, one) };
    small.value("v");
    large
}

#[track_caller]
fn assert_all_answered(client: &mut Client, sent: Instant) {
    let large = client.short_answer();
    assert!(large.as_ref().is_some_and(|answer| answer.starts_with('-')), "{large:?}");
    assert!(sent.elapsed() <= READ_WAIT + FINAL_ANSWER, "{:?}", sent.elapsed());
    assert_eq!(client.answer().as_deref(), Some("receipt"), "the write ran, and its client was told nothing");
    assert_eq!(client.answer().as_deref(), Some("v"), "read, forwarded and never answered");
    client.ping();
}

#[test]
fn commands_behind_a_caches_value_that_broke_off_late_were_never_answered() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let sent = Instant::now();
    send_batch(&mut client);
    let large = answer_commands_behind(&site.cache, &site.origin);
    let giving = give_until_death(large, value_head(LARGE).into_bytes());
    assert_all_answered(&mut client, sent);
    giving.join().unwrap();
}

#[test]
fn commands_behind_an_origins_value_that_broke_off_late_were_never_answered() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let sent = Instant::now();
    send_batch(&mut client);
    answer_commands_behind(&site.cache, &site.origin).miss();
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LARGE}\r\n\r\n");
    let giving = give_until_death(site.origin.call(), head.into_bytes());
    assert_all_answered(&mut client, sent);
    giving.join().unwrap();
}

#[test]
fn commands_behind_an_origins_value_without_a_length_that_broke_off_late_were_never_answered() {
    let encodings = ["Transfer-Encoding: chunked\r\n\r\n30d40\r\n", "Connection: close\r\n\r\n"];
    for encoding in encodings {
        let site = OneCache::new();
        let mut client = site.node.client();
        let sent = Instant::now();
        send_batch(&mut client);
        answer_commands_behind(&site.cache, &site.origin).miss();
        let giving =
            give_until_death(site.origin.call(), format!("HTTP/1.1 200 OK\r\n{encoding}").into_bytes());
        assert_all_answered(&mut client, sent);
        giving.join().unwrap();
    }
}

#[test]
fn commands_behind_a_memcached_caches_value_that_broke_off_late_were_never_answered() {
    let site = OneMemcached::new();
    let mut client = site.node.client();
    let sent = Instant::now();
    client.write(
        [
            words(&["CACHE.GET", "large", "id1", READ_FACTS]),
            words(&["CACHE.GET", "small", "id3", READ_FACTS]),
        ]
        .concat(),
    );
    let [one, other] = [site.cache.call(), site.cache.call()];
    let (large, small) = if one.key() == "large" { (one, other) } else { (other, one) };
    small.value("v");
    let packet = Packet {
        opcode: Opcode::Get as u8,
        opaque: large.opaque(),
        status: Status::OK.0,
        extras: vec![0; 4].into(),
        value: vec![b'x'; LARGE].into(),
        ..Packet::default()
    };
    let head = response(&packet)[..100].to_vec();
    let giving = give_until_death(large, head);
    assert_eq!(
        client.short_answer().as_deref(),
        Some("-ERR failed"),
        "nothing of the value may have been forwarded"
    );
    assert!(sent.elapsed() <= READ_WAIT + FINAL_ANSWER, "{:?}", sent.elapsed());
    assert_eq!(client.answer().as_deref(), Some("v"), "read, forwarded and never answered");
    client.ping();
    giving.join().unwrap();
}

/// The time for which an answer waits for those before it doesn't count.
#[test]
fn a_value_whose_turn_came_after_its_clients_time_comes_whole() {
    let site = OneCache::new();
    let mut client = site.node.client();
    client.write(
        [
            words(&["CACHE.SET", "written", "id1", "c=put,d=1900", "text"]),
            words(&["CACHE.GET", "large", "id2", "c=read,d=400"]),
            words(&["CACHE.GET", "small", "id3", "c=read,d=1900"]),
        ]
        .concat(),
    );
    let (write, [one, other]) = (site.origin.call(), [site.cache.call(), site.cache.call()]);
    let (mut large, small) = if one.key() == "large" { (one, other) } else { (other, one) };
    small.value("v");
    let giving = thread::spawn(move || {
        large.answer(value_head(LARGE) + &"x".repeat(LARGE) + "\r\n$3\r\nhit\r\n$-1\r\n");
    });
    sleep(Duration::from_millis(1000));
    write.http("200 OK", "receipt");
    assert_eq!(client.answer().as_deref(), Some("receipt"));
    assert_eq!(client.answer().map(|value| value.len()), Some(LARGE));
    assert_eq!(client.answer().as_deref(), Some("v"));
    giving.join().unwrap();
}
