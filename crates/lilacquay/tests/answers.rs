//! What a client is owed for each request: one whole answer, made for that request, or a connection whose end it can tell.

mod common;

use std::thread::sleep;
use std::time::{Duration, Instant};

use common::*;

/// A final answer is due so long after the client's time is up, and what sockets allow beyond it.
const FINAL_ANSWER: Duration = Duration::from_millis(500 + 50);
/// What sockets allow beyond a time limit.
const SOCKETS: Duration = Duration::from_millis(50);
/// A second answer that comes later than this is no longer what a connection's rest guards against.
const SECOND_ANSWER: Duration = Duration::from_millis(10);
/// A value that flows, in bytes.
const LARGE: usize = 999_999;

// ---- answers that come twice ----

/// Asks twice in a row; the first answer comes once more, so long after it. Tells the second answer, unless the machine was
/// too slow for the test's purpose.
fn answer_behind_a_second_one(site: &OneCache, client: &mut Client, late: Duration) -> Option<String> {
    client.rest(); // a connection of before may be used
    client.get("k1", "c=read,d=1900");
    let mut first = site.cache.call();
    let text = "*3\r\n$5\r\nfirst\r\n$3\r\nhit\r\n$-1\r\n";
    first.answer(text);
    assert_eq!(client.answer().as_deref(), Some("first"));
    let answered = Instant::now();
    sleep(late / 2);
    client.get("k2", "c=read,d=1900");
    let second = site.cache.call();
    sleep((answered + late).saturating_duration_since(Instant::now()));
    let _ = first.try_answer(text.as_bytes()); // its connection may be closed by now
    let in_time = answered.elapsed() < SECOND_ANSWER;
    sleep(Duration::from_millis(30)); // it is read
    let _ = second.try_value("second"); // its connection may be closed by now
    client.answer().filter(|_| in_time)
}

#[test]
fn a_caches_second_answer_was_served_to_the_next_request_on_its_connection() {
    let site = OneCache::new();
    let mut client = site.node.client();
    for late in [3, 4, 6, 8].map(Duration::from_millis) {
        let start = Instant::now();
        let second = loop {
            assert!(start.elapsed() < PATIENCE, "the machine is too slow");
            if let Some(answer) = answer_behind_a_second_one(&site, &mut client, late) {
                break answer;
            }
        };
        assert_eq!(second, "second", "a second answer {late:?} late");
    }
}

#[test]
fn an_origins_second_answer_was_served_to_the_next_request_on_its_connection() {
    let site = OneCache::new();
    let mut client = site.node.client();
    for _ in 0..8 {
        client.set("k0", "c=put,d=1900", "on"); // that it is quick is known by then
        site.origin.call().http("200 OK", "receipt");
        assert_eq!(client.answer().as_deref(), Some("receipt"));
    }
    let mut tried = 0;
    let start = Instant::now();
    while tried < 4 {
        assert!(start.elapsed() < PATIENCE, "the machine is too slow");
        client.rest();
        client.set("k1", "c=put,d=1900", "on");
        let mut first = site.origin.call();
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
        first.answer(text);
        assert_eq!(client.answer().as_deref(), Some("first"));
        let answered = Instant::now();
        sleep(Duration::from_millis(3));
        client.set("k2", "c=put,d=1900", "on");
        let mut second = site.origin.call();
        let _ = first.try_answer(text.as_bytes()); // its connection may be closed by now
        tried += u32::from(answered.elapsed() < SECOND_ANSWER);
        sleep(Duration::from_millis(30)); // it is read
        let _ = second.try_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
        assert_eq!(client.answer().as_deref(), Some("second"));
    }
}

#[test]
fn a_slow_origins_second_answer_was_served_to_the_next_request_on_its_connection() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    for round in 0..40 {
        client.set("k1", "c=put,d=1900", "on");
        let mut first = site.origin.call();
        sleep(Duration::from_millis(40));
        first.answer(text);
        assert_eq!(client.answer().as_deref(), Some("first"));
        if round < 30 {
            continue; // that it is slow is known by then
        }
        sleep(Duration::from_millis(3));
        client.set("k2", "c=put,d=1900", "on");
        let mut second = site.origin.call();
        let _ = first.try_answer(text.as_bytes()); // its connection may be closed by now
        sleep(Duration::from_millis(40));
        let _ = second.try_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
        // Where it can't be told which answer is whose, it is failed.
        assert_ne!(client.answer().as_deref(), Some("first"));
        sleep(Duration::from_millis(40));
    }
}

/// Has an origin known to be slow answer one write twice, while the next one is on its way there, and gives the answer to
/// that. `second_copy` writes the second copy of the first answer.
fn answer_behind_a_slow_origins_second_one(
    site: &OneCache,
    client: &mut Client,
    second_copy: impl Fn(&mut Call, &str),
) -> Option<String> {
    let text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    client.set("k1", "c=put,d=1900", "on");
    let mut first = site.origin.call();
    sleep(Duration::from_millis(40));
    first.answer(text);
    assert_eq!(client.answer().as_deref(), Some("first"));
    sleep(Duration::from_millis(2));
    client.set("k2", "c=put,d=1900", "on");
    let mut second = site.origin.call();
    second_copy(&mut first, text);
    sleep(Duration::from_millis(40));
    let _ = second.try_answer(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond");
    client.answer()
}

/// Lets a node learn that its origin is slow.
fn let_origin_be_slow(site: &OneCache, client: &mut Client) {
    for _ in 0..30 {
        client.set("k0", "c=put,d=1900", "on");
        let call = site.origin.call();
        sleep(Duration::from_millis(40));
        call.http("200 OK", "receipt");
        assert_eq!(client.answer().as_deref(), Some("receipt"));
    }
}

#[test]
fn a_slow_origins_second_answer_in_pieces_was_served_to_the_next_request_on_its_connection() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let_origin_be_slow(&site, &mut client);
    for _ in 0..10 {
        let answer = answer_behind_a_slow_origins_second_one(&site, &mut client, |first, text| {
            sleep(Duration::from_millis(3)); // some 5 ms behind the first copy; the rest comes up to 12 ms later
            for piece in text.as_bytes().chunks(text.len() / 4 + 1) {
                let _ = first.try_answer(piece); // its connection may be closed by now
                sleep(Duration::from_millis(4));
            }
        });
        assert_ne!(answer.as_deref(), Some("first"));
        sleep(Duration::from_millis(40));
    }
}

#[test]
fn a_slow_origins_second_answer_was_served_to_the_next_request_since_the_process_was_held_up() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let_origin_be_slow(&site, &mut client);
    for _ in 0..10 {
        let answer = answer_behind_a_slow_origins_second_one(&site, &mut client, |first, text| {
            site.node.signal("-STOP");
            let _ = first.try_answer(text.as_bytes()); // its connection may be closed by now
            sleep(Duration::from_millis(100));
            site.node.signal("-CONT");
        });
        assert_ne!(answer.as_deref(), Some("first"));
        sleep(Duration::from_millis(40));
    }
}

// ---- large values that stop, beside tests/slow_servers.rs ----

#[test]
fn a_value_that_came_slowly_past_its_time_was_cut_off() {
    let site = OneCache::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=400");
    let mut call = site.cache.call();
    let (length, pieces) = (100_000, 10);
    call.answer(value_head(length));
    let piece = "x".repeat(length / pieces);
    let giving = std::thread::spawn(move || {
        for _ in 0..pieces {
            sleep(Duration::from_millis(200));
            call.answer(&piece);
        }
        call.answer("\r\n$3\r\nhit\r\n$-1\r\n");
    });
    assert_eq!(client.answer().map(|value| value.len()), Some(length));
    giving.join().unwrap();
}

#[test]
fn a_value_that_broke_in_the_middle_took_the_answers_behind_it_along() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let (mut breaking, second) = two_reads(&mut client, &site.cache, "c=read,d=1900");
    second.value("v");
    breaking.answer(value_head(LARGE) + &"x".repeat(100));
    sleep(Duration::from_millis(100));
    breaking.close();
    let first = client.answer();
    assert_eq!(first.as_deref(), Some("-ERR failed"), "it is not whole, and nothing of it was passed on");
    assert_eq!(client.answer().as_deref(), Some("v"), "read, forwarded and never answered");
}

#[test]
fn a_value_that_stopped_in_the_middle_took_the_answers_behind_it_along() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let (sent, wait) = (Instant::now(), Duration::from_millis(1600));
    let (mut stopping, second) = two_reads(&mut client, &site.cache, "c=read,d=1600");
    second.value("v");
    stopping.answer(value_head(LARGE) + &"x".repeat(100));
    assert_eq!(client.answer().as_deref(), Some("-ERR failed"));
    assert_eq!(client.answer().as_deref(), Some("v"), "read, forwarded and never answered");
    assert!(sent.elapsed() <= wait + FINAL_ANSWER, "{:?}", sent.elapsed());
}

#[test]
fn a_large_value_before_other_answers_comes_whole() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let (mut flowing, second) = two_reads(&mut client, &site.cache, "c=read,d=1900");
    second.value("v");
    let value = "x".repeat(LARGE);
    let giving =
        std::thread::spawn(move || flowing.answer(value_head(LARGE) + &value + "\r\n$3\r\nhit\r\n$-1\r\n"));
    assert_eq!(client.answer().map(|value| value.len()), Some(LARGE));
    giving.join().unwrap();
    assert_eq!(client.answer().as_deref(), Some("v"));
}

// ---- a process that is held up ----

/// A process may be held up for so long.
const HELD_UP: Duration = Duration::from_millis(150);

#[test]
fn a_request_that_came_while_the_process_was_held_up_was_answered_after_its_client_had_closed() {
    let site = OneCache::new();
    // Requests whose times end one after the other: the process has something to do at any moment of the hold-up.
    let mut others: Vec<Client> = (0..25).map(|_| site.node.client()).collect();
    let start = Instant::now();
    for (n, client) in others.iter_mut().enumerate() {
        let facts = format!("c=read,d={}", 500 + 20 * n);
        client.send(&["CACHE.GET", &format!("other{n}"), &format!("other{n}"), &facts]);
    }
    let mut client = site.node.client();
    client.ping();
    sleep((start + Duration::from_millis(600)).saturating_duration_since(Instant::now()));
    site.node.signal("-STOP");
    let held_up = Instant::now();
    let (sent, wait) = (Instant::now(), Duration::from_millis(400));
    client.get("k", "c=read,d=400");
    sleep((held_up + HELD_UP).saturating_duration_since(Instant::now()));
    site.node.signal("-CONT");
    assert!(client.answer().is_some());
    let took = sent.elapsed();
    assert!(took <= wait + SOCKETS, "answered {:?} after its time", took - wait);
}

// ---- commands that can't be read ----

#[test]
fn a_request_before_a_command_that_cannot_be_read_was_closed_on_unanswered() {
    let site = OneCache::new();
    let mut client = site.node.client();
    client.send(&["CACHE.GET", "k", "first", "c=read,d=60000"]);
    let _silent = site.cache.call();
    let broken = Instant::now();
    client.write("garbage\r\n");
    assert_eq!(client.answer().as_deref(), Some("-ERR failed"));
    assert_eq!(client.answer().as_deref(), Some("-ERR malformed command"));
    assert_eq!(client.answer(), None, "it is closed");
    assert!(broken.elapsed() < Duration::from_secs(3), "{:?}", broken.elapsed());
}
