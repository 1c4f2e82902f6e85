//! A discovery service that is slow, or moves: its list is followed all the same.

mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Sender, channel};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::*;

/// How long a slow service takes for a call, before it waits for changes.
const RESPONSE_TIME: Duration = Duration::from_millis(1300);
/// What a new configuration brings counts as told after this.
const TOLD_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// What discovery has counts as told after this, and what sockets allow beyond it.
const TOLD: Duration = Duration::from_millis(6000 + 50);

/// The settings of the tests where nodes ask one service together, each call as the core says.
fn subscribe_settings() -> String {
    SETTINGS.replace(r#""RegistryMode":"automatic""#, r#""RegistryMode":"subscribe""#)
}

/// A service that takes [`RESPONSE_TIME`] for each call. Answers each with the newest list that it was sent.
struct SlowDiscovery {
    addr: std::net::SocketAddr,
    lists: Sender<String>,
    calls: Arc<AtomicUsize>,
}

impl SlowDiscovery {
    fn new(first_list: String) -> SlowDiscovery {
        let service = Fake::http();
        let (addr, (lists, new_lists)) = (service.addr, channel::<String>());
        let calls = Arc::new(AtomicUsize::new(0));
        let count = calls.clone();
        thread::spawn(move || {
            let mut newest = first_list;
            let mut open: Vec<(Instant, Call)> = Vec::new();
            loop {
                match new_lists.try_recv() {
                    Ok(list) => newest = list,
                    Err(std::sync::mpsc::TryRecvError::Empty) => {}
                    Err(_) => return,
                }
                while let Some(call) = service.called() {
                    count.fetch_add(1, Ordering::Relaxed);
                    // A watch waits for changes as long as it was asked to.
                    let wait = if call.words[1].contains("wait_ms=") { 2000 } else { 0 };
                    open.push((Instant::now() + RESPONSE_TIME + Duration::from_millis(wait), call));
                }
                let due = open.iter().position(|(at, _)| *at <= Instant::now());
                if let Some((_, mut call)) = due.map(|n| open.swap_remove(n)) {
                    let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{newest}", newest.len());
                    let _ = call.try_answer(text.as_bytes()); // the node may have hung up
                }
                sleep(Duration::from_millis(5));
            }
        });
        SlowDiscovery { addr, lists, calls }
    }
}

/// Reads keys until the cache gets one, and answers that; returns how long it took.
fn wait_until_used(node: &Node, used: &Fake, unused: &Fake) -> Duration {
    let (start, mut client) = (Instant::now(), node.client());
    loop {
        assert!(start.elapsed() < PATIENCE, "the list never reached the node");
        client.get("k", "c=read,d=1900");
        loop {
            if let Some(call) = used.called() {
                call.value("v");
                return start.elapsed();
            }
            if let Some(call) = unused.called() {
                call.value("v");
                client.answer();
                break;
            }
            sleep(Duration::from_millis(1));
        }
        sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_node_that_moved_to_a_slow_discovery_never_had_its_list_again() {
    for settings in [SETTINGS.to_owned(), subscribe_settings()] {
        let (old, new, newest, origin) = (Fake::cache(), Fake::cache(), Fake::cache(), Fake::http());
        let list_of = |version, cache: &Fake, name| list(version, &[(name, cache.addr)], origin.addr);
        let usual = Fake::http();
        let known = list_of(41, &old, "s-old");
        let node = Start { settings: &settings, ..Start::new(&known, usual.addr) }.node();
        usual.call().http("200 OK", &known);
        let _watch = usual.call();
        let slow = SlowDiscovery::new(list_of(5, &new, "s-new"));
        node.reload(&node.config_with(slow.addr));
        let took = wait_until_used(&node, &new, &old);
        assert!(took <= TOLD_AFTER_RELOAD, "{took:?}");
        // Its watches are slow as well.
        slow.lists.send(list_of(6, &newest, "s-newest")).unwrap();
        let took = wait_until_used(&node, &newest, &new);
        assert!(took <= TOLD, "{took:?}");
        // A service that is slow is not asked more often: once its speed is known, each call is answered.
        let (before, start) = (slow.calls.load(Ordering::Relaxed), Instant::now());
        sleep(Duration::from_secs(7));
        let asked = slow.calls.load(Ordering::Relaxed) - before;
        let answered_calls =
            (start.elapsed().as_secs_f64() / (2.0 + RESPONSE_TIME.as_secs_f64())).ceil() as usize;
        assert!(asked <= answered_calls, "{asked} calls, of which {answered_calls} could be answered");
    }
}

/// A connection that is silent must not be waited for.
#[test]
fn a_call_whose_connection_is_silent_is_repeated_as_soon_as_before() {
    let (old, new, origin) = (Fake::cache(), Fake::cache(), Fake::http());
    let (usual, moved) = (Fake::http(), Fake::http());
    let known = list(41, &[("s-old", old.addr)], origin.addr);
    let node = Start::new(&known, usual.addr).node();
    let _watch = usual.call();
    node.reload(&node.config_with(moved.addr));
    let reloaded = Instant::now();
    let silent = moved.call();
    let repeated = moved.call();
    assert!(reloaded.elapsed() <= Duration::from_millis(1500), "{:?}", reloaded.elapsed());
    assert_ne!(silent.connection, repeated.connection);
    repeated.http("200 OK", &list(5, &[("s-new", new.addr)], origin.addr));
    assert_eq!(moved.closed(), silent.connection, "what it asked for is known now");
    wait_until_used(&node, &new, &old);
}

#[test]
fn what_was_known_of_the_old_discovery_is_not_used_at_a_new_one() {
    let (cache, origin) = (Fake::cache(), Fake::http());
    let known = list(41, &[("s-1", cache.addr)], origin.addr);
    let slow = SlowDiscovery::new(known.clone());
    let node = Start::new(&known, slow.addr).node();
    let start = Instant::now();
    while slow.calls.load(Ordering::Relaxed) < 3 {
        assert!(start.elapsed() < PATIENCE);
        sleep(Duration::from_millis(10)); // its speed is known by then
    }
    let moved = Fake::http();
    node.reload(&node.config_with(moved.addr));
    let _silent = moved.call();
    let asked = Instant::now();
    let _repeated = moved.call();
    assert!(asked.elapsed() <= Duration::from_millis(1300), "{:?}", asked.elapsed());
}
