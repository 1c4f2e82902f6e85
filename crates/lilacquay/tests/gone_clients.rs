//! Clients that send much at once and go: nothing begins for them from then on, and sound clients that send as much pay
//! nothing for that.

mod common;

use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::*;

/// An attempt that begins later than this after its client has closed is a lost request: 0.1 s, and what sockets allow
/// beyond a time limit.
const GONE: Duration = Duration::from_millis(100 + 50);
/// For how long the stand-ins are watched after a client has gone.
const WATCHED: Duration = Duration::from_millis(800);
const COMMANDS: usize = 20_000;
const SENDS_FOR: Duration = Duration::from_millis(30);

fn get(n: usize) -> String {
    words(&["CACHE.GET", &format!("k{n}"), &format!("id{n}"), "c=read,d=1900"])
}

/// Writes as many of the commands as its own system takes, for [`SENDS_FOR`], and closes; returns when it has closed.
fn send_much_and_go(node: &Node, commands: &str) -> Instant {
    let mut stream = TcpStream::connect(node.addr()).unwrap();
    stream.set_nonblocking(true).unwrap();
    let (mut rest, until) = (commands.as_bytes(), Instant::now() + SENDS_FOR);
    while !rest.is_empty() && Instant::now() < until {
        match stream.write(rest) {
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == ErrorKind::WouldBlock => sleep(Duration::from_millis(1)),
            Err(error) => panic!("{error}"),
        }
    }
    drop(stream);
    Instant::now()
}

/// Lets a client send many commands and go; ends the calls at the cache in this way after that. Fails if anything begins at
/// the cache or the origin later.
fn assert_nothing_begins(commands: &str, end_call: fn(Call)) {
    let site = OneCache::new();
    site.node.client().ping();
    let closed_at = send_much_and_go(&site.node, commands);
    sleep((closed_at + GONE).saturating_duration_since(Instant::now()));
    let begun: Vec<Call> = std::iter::from_fn(|| site.cache.called()).collect();
    assert!(!begun.is_empty(), "the node has read nothing");
    while site.origin.called().is_some() {} // begun in time
    begun.into_iter().for_each(end_call);
    let start = Instant::now();
    while start.elapsed() < WATCHED {
        for server in [&site.cache, &site.origin] {
            if let Some(call) = server.called() {
                panic!("begun {:?} after its client had gone: {:?}", closed_at.elapsed(), call.words);
            }
        }
        sleep(Duration::from_millis(1));
    }
    site.node.client().ping();
}

fn all_reads() -> String {
    (0..COMMANDS).map(get).collect()
}

#[test]
fn fetches_were_begun_for_a_client_that_had_sent_much_and_gone() {
    assert_nothing_begins(&all_reads(), |mut call| {
        let _ = call.try_answer(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    });
}

#[test]
fn retries_were_begun_for_a_client_that_had_sent_much_and_gone() {
    assert_nothing_begins(&all_reads(), |call| _ = call.try_fail());
}

#[test]
fn requests_that_waited_were_begun_for_a_client_that_had_sent_much_and_gone() {
    assert_nothing_begins(&all_reads(), Call::try_close);
}

/// The same where much of what was sent belongs to a command that has not arrived whole.
#[test]
fn reads_before_a_long_write_were_begun_for_a_client_that_had_gone() {
    let write = words(&["CACHE.SET", "w", "write", "c=put,d=1900", &"x".repeat(3 << 20)]);
    let commands = (0..1500).map(get).collect::<String>() + &write;
    assert_nothing_begins(&commands, |mut call| {
        let _ = call.try_answer(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    });
}

/// A sound client that sends as much at once, and reads, gets every answer in order.
#[test]
fn a_client_that_pipelines_deeply_gets_all_its_answers() {
    let site = OneCache::new();
    let cache = site.cache;
    let serving = thread::spawn(move || {
        let mut ids = BTreeSet::new();
        let mut last_call_at = Instant::now();
        while last_call_at.elapsed() < Duration::from_secs(1) {
            match cache.called() {
                Some(call) => {
                    ids.insert(call.words[2].clone());
                    last_call_at = Instant::now();
                    let value = call.key().to_owned();
                    let _ = call.try_value(&value);
                }
                None => sleep(Duration::from_millis(1)),
            }
        }
        ids.len()
    });
    const DEEP: usize = 6000;
    let client = site.node.client();
    let mut stream = client.stream();
    let sending = thread::spawn(move || {
        let commands: String = (0..DEEP)
            .map(|n| words(&["CACHE.GET", &format!("k{n}"), &format!("id{n}"), "c=read,d=60000"]))
            .collect();
        stream.write_all(commands.as_bytes()).unwrap();
    });
    let mut client = client;
    let mut served = 0;
    for n in 0..DEEP {
        let answer = client.answer().expect("an answer");
        let is_served = answer == format!("k{n}");
        assert!(is_served || answer.starts_with('-'), "{answer} to command {n} of {DEEP}");
        served += usize::from(is_served);
    }
    println!("served {served} of {DEEP}");
    client.ping();
    sending.join().unwrap();
    assert!(serving.join().unwrap() >= served);
}

/// What was read ahead was taken: at the end of the process it is answered.
#[test]
fn commands_that_were_read_ahead_were_dropped_at_the_end_of_the_process() {
    const SENT: usize = 3000;
    let mut site = OneCache::new();
    let client = site.node.client();
    let mut stream = client.stream();
    stream.write_all((0..SENT).map(get).collect::<String>().as_bytes()).unwrap();
    let _silent = site.cache.call();
    site.node.terminate();
    let mut answers = Vec::new();
    let _ = stream.read_to_end(&mut answers);
    let lines = answers.iter().filter(|byte| **byte == b'\n').count();
    assert_eq!(lines, SENT, "closed on, though they were read");
    assert!(site.node.exit());
}

/// The memory that a node of the next test may take, in MiB, and how much of it may be in use.
const MEMORY_MIB: usize = 96;
const MAX_USED_MIB: usize = MEMORY_MIB / 2;

/// What is read ahead is bounded for each client and for all of them together.
#[test]
fn clients_that_send_without_end_and_read_nothing_hold_bounded_memory() {
    let (cache, origin, discovery) = (Fake::cache(), Fake::http(), Fake::http());
    let known = list(41, &[("s-1", cache.addr)], origin.addr);
    let node = Start { memory_mb: MEMORY_MIB, ..Start::new(&known, discovery.addr) }.node();
    let commands: String = (0..1000).map(get).collect();
    let mut clients: Vec<TcpStream> = (0..60).map(|_| TcpStream::connect(node.addr()).unwrap()).collect();
    clients.iter().for_each(|client| client.set_nonblocking(true).unwrap());
    let start = Instant::now();
    let mut sent = 0;
    while start.elapsed() < Duration::from_secs(2) {
        for client in &mut clients {
            sent += client.write(commands.as_bytes()).unwrap_or(0);
        }
        sleep(Duration::from_millis(1));
    }
    assert!(sent > MEMORY_MIB << 20, "{sent} bytes are too few for the test");
    let used = peak_memory_mib(&node);
    println!("{used} MiB in use at most, {} MiB sent", sent >> 20);
    assert!(used <= MAX_USED_MIB, "{used} MiB");
    node.client().ping();
}

/// The most memory that the node has held, in MiB.
fn peak_memory_mib(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() >> 10
}
