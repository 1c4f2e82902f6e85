//! Hundreds of clients that read or write slowly: they hold little memory, and cost no other client its answer.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::*;
use socket2::{Domain, Socket, Type};

const MIB: usize = 1 << 20;
/// How many clients are slow at once, and how many commands each sends.
const CLIENTS: usize = 150;
const COMMANDS: usize = 4;
/// What a slow client's system takes for it.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// A process of 192 MiB is to stay well below its limit: memory over half of it is priced.
const MEMORY_BOUND: usize = 96 * MIB;

/// What the process has held in memory at most, in bytes.
fn peak_memory(node: &Node) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
}

/// Sends several reads at once and reads nothing.
fn client_that_does_not_read(node: &Node, n: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(&node.addr().into()).unwrap();
    let mut stream = TcpStream::from(socket);
    let reads = (0..COMMANDS)
        .map(|m| words(&["CACHE.GET", &format!("k{n}-{m}"), &format!("i{n}-{m}"), "c=read,d=1900"]));
    stream.write_all(reads.collect::<String>().as_bytes()).unwrap();
    stream
}

/// Answers every call with this text, each on a thread of its own; those of a client that does not read are never taken.
fn answer_all(server: Fake, text: Vec<u8>) {
    let text = Arc::new(text);
    thread::spawn(move || {
        loop {
            let (mut call, text) = (server.call(), text.clone());
            thread::spawn(move || _ = call.try_answer(&text));
        }
    });
}

fn four_caches(caches: &[Fake; 4], origin: &Fake) -> String {
    let [one, two, three, four] = caches.each_ref().map(|cache| cache.addr);
    list(41, &[("s-1", one), ("s-2", two), ("s-3", three), ("s-4", four)], origin.addr)
}

/// Starts clients that do not read, and waits until the node has held what it will hold. Asserts that another client is
/// served meanwhile.
fn assert_memory_is_bounded(node: &Node, served: impl Fn(&str) -> bool) {
    let mut clients: Vec<_> = (0..CLIENTS).map(|n| client_that_does_not_read(node, n)).collect();
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        let mut other = node.client();
        other.get("small", "c=read,d=1900");
        assert!(other.answer().is_some_and(|answer| served(&answer)), "others wait");
        sleep(Duration::from_millis(100));
    }
    let peak = peak_memory(node);
    assert!(peak < MEMORY_BOUND, "{} MiB", peak / MIB);
    let mut begun = [0; 16];
    assert!(clients[0].read(&mut begun).unwrap() > 0);
}

#[test]
fn clients_that_did_not_read_large_values_of_caches_took_all_memory() {
    let (caches, origin, discovery) = ([(); 4].map(|()| Fake::cache()), Fake::http(), Fake::http());
    let node = Node::start(&four_caches(&caches, &origin), discovery.addr);
    let value = "x".repeat(3 * MIB);
    let text = (value_head(3 * MIB) + &value + "\r\n$3\r\nhit\r\n$-1\r\n").into_bytes();
    caches.into_iter().for_each(|cache| answer_all(cache, text.clone()));
    assert_memory_is_bounded(&node, |answer| answer.len() == 3 * MIB);
}

#[test]
fn clients_that_did_not_read_large_values_of_the_origin_took_all_memory() {
    let (caches, origin, discovery) = ([(); 4].map(|()| Fake::cache()), Fake::http(), Fake::http());
    let node = Node::start(&four_caches(&caches, &origin), discovery.addr);
    let miss = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
    caches.into_iter().for_each(|cache| answer_all(cache, miss.to_vec()));
    let value = "x".repeat(3 * MIB);
    answer_all(origin, format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{value}", 3 * MIB).into_bytes());
    assert_memory_is_bounded(&node, |answer| answer.len() == 3 * MIB || answer.starts_with("-BUSY"));
}
