//! What a node owes between SIGTERM and its end: whatever was taken is answered, and what will not be is not read.

mod common;

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::*;

/// The longest deadline of the tests' settings.
const LONGEST: Duration = Duration::from_secs(2);
/// A machine that is busy lets a process end so much later than it could.
const MACHINE: Duration = Duration::from_millis(30);
/// The platform kills so long after SIGTERM, beside the longest deadline, at the earliest.
const KILL: Duration = Duration::from_millis(700);

/// The longest that a process is held up.
const HELD_UP: Duration = Duration::from_millis(150);

fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}

#[test]
fn a_request_that_was_read_late_after_sigterm_was_dropped_at_the_end_of_the_process() {
    let mut site = OneCache::new();
    site.node.terminate();
    let told = Instant::now();
    sleep_until(told + Duration::from_millis(420));
    let mut client = site.node.client(); // on its way at the time: still taken
    sleep_until(told + Duration::from_millis(670));
    client.get("k", "c=read,d=2000");
    let _silent = site.cache.call();
    assert!(client.answer().is_some(), "closed on, though it was read");
    assert!(site.node.exit());
    assert!(told.elapsed() < LONGEST + KILL, "{:?}", told.elapsed());
}

#[test]
fn a_request_with_more_time_than_the_node_has_was_dropped_at_the_end_of_the_process() {
    let mut site = OneCache::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=60000");
    let _silent = site.cache.call();
    site.node.terminate();
    let told = Instant::now();
    assert!(client.answer().is_some(), "closed on, though it was read");
    assert!(site.node.exit());
    assert!(told.elapsed() < LONGEST + KILL, "{:?}", told.elapsed());
}

#[test]
fn a_connection_that_waited_to_be_accepted_was_reset_when_the_node_stopped_accepting() {
    let mut site = OneCache::new();
    site.node.ping_once();
    site.node.terminate();
    let told = Instant::now();
    sleep_until(told + Duration::from_millis(390));
    site.node.signal("-STOP"); // held up, as the machine may do for 0.15 s
    let mut client = site.node.client();
    client.get("k", "c=read,d=1500");
    sleep_until(told + Duration::from_millis(540));
    site.node.signal("-CONT");
    site.cache.call().value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
    assert!(site.node.exit());
}

#[test]
fn a_node_that_was_held_up_as_it_was_told_to_end_and_before_its_end_was_killed_with_answers_owed() {
    for before_kill in [Duration::from_millis(250), Duration::from_millis(120)] {
        let site = OneCache::new();
        let mut client = site.node.client();
        client.get("k", "c=read,d=60000");
        let _silent = site.cache.call();
        let told = Instant::now();
        site.node.signal("-STOP");
        site.node.terminate();
        sleep_until(told + HELD_UP);
        site.node.signal("-CONT");
        sleep_until(told + LONGEST + KILL - before_kill);
        site.node.signal("-STOP");
        sleep_until(told + LONGEST + KILL - before_kill.saturating_sub(HELD_UP));
        site.node.signal(if before_kill > HELD_UP { "-CONT" } else { "-KILL" });
        sleep_until(told + LONGEST + KILL);
        site.node.signal("-KILL");
        assert!(client.answer().is_some(), "killed with an answer owed, held up {before_kill:?} before");
    }
}

#[test]
fn a_request_that_was_read_behind_another_was_dropped_at_the_end_of_the_process() {
    let mut site = OneCache::new();
    let mut client = site.node.client();
    let ask = |client: &mut Client, n: usize| {
        client.try_write(&words(&["CACHE.GET", &format!("k{n}"), &format!("id{n}"), "c=read,d=1900"]));
    };
    let (mut asked, mut answered, mut seen) = (0, 0, BTreeSet::new());
    let (mut told, start) = (None, Instant::now());
    let mut calls = Vec::new();
    // A client that always sends the next before it is answered, on a connection that stays open, and a slow cache.
    while !client.closed() {
        assert!(start.elapsed() < PATIENCE, "it does not end");
        if told.is_none() && answered >= 3 {
            site.node.terminate();
            told = Some(Instant::now());
        }
        if asked < answered + 2 {
            ask(&mut client, asked);
            asked += 1;
        }
        if let Some(call) = site.cache.called() {
            seen.insert(call.words[2].clone());
            calls.push((Instant::now(), call));
        }
        while calls.first().is_some_and(|(at, _)| at.elapsed() > Duration::from_millis(120)) {
            let (_, mut call) = calls.remove(0);
            let _ = call.try_answer(b"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n");
        }
        while client.try_answer().is_some() {
            answered += 1;
        }
        sleep(Duration::from_millis(1));
    }
    while client.try_answer().is_some() {
        answered += 1;
    }
    let answered: BTreeSet<String> = (0..answered).map(|n| format!("id{n}")).collect();
    let lost: Vec<&String> = seen.difference(&answered).collect();
    assert!(lost.is_empty(), "read and sent on, and never answered: {lost:?}");
    assert!(site.node.exit());
    let took = told.expect("told to end").elapsed();
    assert!(took < LONGEST + KILL, "{took:?}");
}

#[test]
fn commands_behind_a_large_write_were_closed_on_unread_while_the_node_ended() {
    let mut site = OneCache::new();
    let mut client = site.node.client();
    client.ping();
    site.node.terminate();
    let told = Instant::now();
    sleep_until(told + Duration::from_millis(300));
    let get = |n: usize| words(&["CACHE.GET", &format!("k{n}"), &format!("id{n}"), "c=read,d=1900"]);
    let write = words(&["CACHE.SET", "w", "write", "c=put,d=1900", &"x".repeat(40_000)]);
    client.write([get(1), write, get(2), get(3)].concat());
    site.cache.call().value("first");
    assert_eq!(client.answer().as_deref(), Some("first"));
    let store = site.origin.call();
    sleep_until(told + Duration::from_millis(1100));
    store.http("200 OK", "receipt");
    assert_eq!(client.answer().as_deref(), Some("receipt"));
    // The two come on connections of their own, in either order: both are answered before an answer is awaited.
    for call in [site.cache.call(), site.cache.call()] {
        call.value("v");
    }
    for _ in 0..2 {
        assert_eq!(client.answer().as_deref(), Some("v"), "what lay behind the write was closed on");
    }
    assert!(site.node.exit());
}

#[test]
fn commands_behind_one_that_hangs_lay_unread_to_the_end_of_the_process() {
    let mut site = OneCache::new();
    let mut client = site.node.client();
    let get = |n: usize| words(&["CACHE.GET", &format!("k{n}"), &format!("id{n}"), "c=read,d=1900"]);
    client.write(get(1));
    let _silent = site.cache.call();
    site.node.terminate();
    sleep(Duration::from_millis(200));
    let sent = Instant::now();
    client.write(get(2));
    let second = site.cache.call();
    assert!(sent.elapsed() < Duration::from_millis(500), "it lay unread for {:?}", sent.elapsed());
    second.value("v");
    assert!(client.answer().is_some());
    assert_eq!(client.answer().as_deref(), Some("v"));
    assert!(site.node.exit());
}

#[test]
fn answers_behind_a_value_that_stopped_were_dropped_at_the_end_of_the_process() {
    let mut site = OneCache::new();
    let mut client = site.node.client();
    let (mut stopping, second) = two_reads(&mut client, &site.cache, "c=read,d=60000");
    second.value("v");
    stopping.answer(value_head(999_999) + "begins");
    site.node.terminate();
    let told = Instant::now();
    assert_eq!(client.answer().as_deref(), Some("-ERR failed"));
    assert_eq!(client.answer().as_deref(), Some("v"), "read, forwarded and never answered");
    assert!(site.node.exit());
    assert!(told.elapsed() < LONGEST + KILL, "{:?}", told.elapsed());
}

#[test]
fn commands_that_came_while_a_value_was_collected_lay_unread_to_the_end_of_the_process() {
    let mut site = OneCache::new();
    let mut client = site.node.client();
    let (mut stopping, second) = two_reads(&mut client, &site.cache, "c=read,d=60000");
    second.value("v");
    stopping.answer(value_head(999_999) + "begins");
    sleep(Duration::from_millis(100)); // it is being collected
    site.node.terminate();
    sleep(Duration::from_millis(100));
    client.send(&["CACHE.GET", "k", "third", "c=read,d=1900"]);
    site.cache.call().value("w");
    let answers: Vec<_> = (0..3).map(|_| client.answer()).collect();
    assert_eq!(answers, [Some("-ERR failed".into()), Some("v".into()), Some("w".into())]);
    assert!(site.node.exit());
}

#[test]
fn answers_were_dropped_since_the_process_was_held_up_over_the_last_of_its_time() {
    let mut site = OneCache::new();
    let mut clients: Vec<Client> = (0..5).map(|_| site.node.client()).collect();
    for (n, client) in clients.iter_mut().enumerate() {
        client.send(&["CACHE.GET", &format!("k{n}"), &format!("id{n}"), "c=read,d=60000"]);
        let _silent = site.cache.call();
    }
    site.node.terminate();
    let told = Instant::now();
    sleep_until(told + LONGEST + Duration::from_millis(480));
    site.node.signal("-STOP");
    sleep_until(told + LONGEST + Duration::from_millis(630));
    site.node.signal("-CONT");
    for client in &mut clients {
        assert!(client.answer().is_some(), "closed on, though it was read");
    }
    assert!(site.node.exit());
    assert!(told.elapsed() < LONGEST + KILL + MACHINE, "{:?}", told.elapsed());
}
