//! Servers that write their answers or read their requests slowly: they are not taken for servers that have gone.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, channel};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use common::*;
use lilacquay_codec::memcache::{Opcode, Packet, Status};

/// The length of a large value, in bytes.
const LARGE: usize = 200_000;
/// The longest pause of a slow server.
const PAUSE: Duration = Duration::from_millis(1800);
/// A server that sends nothing for this long has stopped.
const SERVER_SILENCE: Duration = Duration::from_secs(5);
/// A final answer is due so long after the client's time is up, and what sockets allow beyond it.
const FINAL_ANSWER: Duration = Duration::from_millis(500 + 50);
/// A machine that is busy is so much later than it could be.
const MACHINE: Duration = Duration::from_millis(500);

/// Writes an answer in so many pieces, with a pause before each but the first.
fn give_in_pieces(
    mut call: Call,
    answer: Vec<u8>,
    pieces: usize,
    pause: Duration,
) -> thread::JoinHandle<Call> {
    thread::spawn(move || {
        for (n, piece) in answer.chunks(answer.len().div_ceil(pieces)).enumerate() {
            sleep(if n == 0 { Duration::ZERO } else { pause });
            let _ = call.try_answer(piece); // the node may have hung up, which the client's answer shows
        }
        call
    })
}

fn cache_answer(length: usize) -> Vec<u8> {
    (value_head(length) + &"x".repeat(length) + "\r\n$3\r\nhit\r\n$-1\r\n").into_bytes()
}

fn origin_answer(length: usize) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{}", "x".repeat(length)).into_bytes()
}

fn memcached_answer(call: &Call, length: usize) -> Vec<u8> {
    let (extras, value) = (vec![0; 4].into(), vec![b'x'; length].into());
    let opcode = Opcode::Get as u8;
    response(&Packet {
        opcode,
        opaque: call.opaque(),
        status: Status::OK.0,
        extras,
        value,
        ..Packet::default()
    })
}

/// Asserts that a value of this length comes whole.
#[track_caller]
fn assert_whole(client: &mut Client) {
    assert_eq!(client.answer().map(|value| value.len()), Some(LARGE), "cut off while the server still gave");
}

#[test]
fn a_value_whose_cache_paused_past_the_clients_time_was_cut_off() {
    let site = OneCache::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=430");
    let giving = give_in_pieces(site.cache.call(), cache_answer(LARGE), 3, PAUSE);
    assert_whole(&mut client);
    giving.join().unwrap();
}

#[test]
fn a_value_whose_origin_paused_past_the_clients_time_was_cut_off() {
    let site = OneCache::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=430");
    site.cache.call().miss();
    let giving = give_in_pieces(site.origin.call(), origin_answer(LARGE), 3, PAUSE);
    assert_whole(&mut client);
    giving.join().unwrap();
}

#[test]
fn a_value_whose_memcached_cache_paused_past_the_clients_time_was_cut_off() {
    let site = OneMemcached::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=430");
    let call = site.cache.call();
    let answer = memcached_answer(&call, LARGE);
    let giving = give_in_pieces(call, answer, 3, PAUSE);
    assert_whole(&mut client);
    giving.join().unwrap();
}

#[test]
fn a_value_that_paused_as_the_process_was_told_to_end_was_cut_off() {
    let mut site = OneCache::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=430");
    let giving = give_in_pieces(site.cache.call(), cache_answer(LARGE), 3, Duration::from_millis(900));
    client.wait_for_some();
    site.node.terminate();
    assert_whole(&mut client);
    giving.join().unwrap();
    assert!(site.node.exit());
}

/// A slow value that is whole before its client must see it begin comes whole before other answers.
#[test]
fn a_slow_value_before_other_answers_comes_whole_and_they_follow() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let (slow, second) = two_reads(&mut client, &site.cache, "c=read,d=1900");
    second.value("v");
    let giving = give_in_pieces(slow, cache_answer(LARGE), 4, Duration::from_millis(400));
    assert_whole(&mut client);
    assert_eq!(client.answer().as_deref(), Some("v"));
    giving.join().unwrap();
}

/// Asks for two values, the first of which comes slower than its client waits, with this pause between its pieces. Fails
/// unless the first fails in time, with nothing of it forwarded, and the second follows. Then asks for the first alone,
/// which comes whole, however slowly.
#[track_caller]
fn assert_fails_in_time_and_comes_alone(facts: &str, wait: Duration, pieces: usize, pause: Duration) {
    let site = OneCache::new();
    let mut client = site.node.client();
    let sent = Instant::now();
    let (slow, second) = two_reads(&mut client, &site.cache, facts);
    second.value("v");
    let giving = give_in_pieces(slow, cache_answer(LARGE), pieces, pause);
    assert_eq!(client.short_answer().as_deref(), Some("-ERR failed"));
    assert!(sent.elapsed() <= wait + FINAL_ANSWER, "{:?}", sent.elapsed());
    assert_eq!(client.answer().as_deref(), Some("v"));
    giving.join().unwrap();
    client.send(&["CACHE.GET", "first", "alone", facts]);
    let giving = give_in_pieces(site.cache.call(), cache_answer(LARGE), pieces, pause);
    assert_whole(&mut client);
    giving.join().unwrap();
}

/// Beginning it would make the answer behind it depend on a server that has not given all yet.
#[test]
fn a_slow_value_before_other_answers_began_before_it_was_whole() {
    let wait = Duration::from_millis(1900);
    assert_fails_in_time_and_comes_alone("c=read,d=1900", wait, 4, Duration::from_millis(800));
}

#[test]
fn a_slow_value_before_other_answers_began_later_than_a_final_answer_may() {
    let wait = Duration::from_millis(400);
    assert_fails_in_time_and_comes_alone("c=read,d=400", wait, 10, Duration::from_millis(200));
}

/// Begins a value and falls silent. Fails unless the client's connection ends within the bound for silent servers.
fn assert_silence_ends(client: &mut Client, began: Instant) {
    let read = client.read_to_end();
    assert!(read > 100 && read < LARGE, "its head and what came of it were passed on: {read}");
    let took = began.elapsed();
    assert!(took >= PAUSE, "a slow server pauses as long: {took:?}");
    assert!(took <= SERVER_SILENCE + MACHINE, "held for {took:?}");
}

#[test]
fn a_cache_that_is_silent_for_good_in_the_middle_of_a_value_holds_its_client_for_a_bounded_time() {
    let site = OneCache::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=400");
    let mut call = site.cache.call();
    call.answer(value_head(LARGE) + &"x".repeat(100));
    assert_silence_ends(&mut client, Instant::now());
}

#[test]
fn an_origin_that_is_silent_for_good_in_the_middle_of_a_value_holds_its_client_for_a_bounded_time() {
    let site = OneCache::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=400");
    site.cache.call().miss();
    let mut fetch = site.origin.call();
    fetch.answer(&origin_answer(LARGE)[..150]);
    assert_silence_ends(&mut client, Instant::now());
}

#[test]
fn a_memcached_cache_that_is_silent_for_good_in_the_middle_of_a_value_holds_its_client_for_a_bounded_time() {
    let site = OneMemcached::new();
    let mut client = site.node.client();
    client.get("k", "c=read,d=400");
    let mut call = site.cache.call();
    let answer = memcached_answer(&call, LARGE);
    call.answer(&answer[..224]);
    assert_silence_ends(&mut client, Instant::now());
}

/// The answer to a small value has not begun before it is whole: it ends in time, however its server pauses.
#[test]
fn a_small_value_that_comes_too_slowly_gets_its_final_answer_in_time() {
    for from_origin in [false, true] {
        let site = OneCache::new();
        let mut client = site.node.client();
        let sent = Instant::now();
        client.get("k", "c=read,d=400");
        let call = site.cache.call();
        let giving = if from_origin {
            call.miss();
            give_in_pieces(site.origin.call(), origin_answer(10_000), 4, PAUSE / 4)
        } else {
            give_in_pieces(call, cache_answer(10_000), 4, PAUSE / 4)
        };
        assert!(client.answer().is_some(), "closed on");
        assert!(sent.elapsed() <= Duration::from_millis(400) + FINAL_ANSWER, "{:?}", sent.elapsed());
        drop(giving);
    }
}

/// An origin that reads slowly, and answers nothing.
struct SlowReader {
    addr: SocketAddr,
    read: Receiver<usize>,
}

impl SlowReader {
    /// How much it reads at once, and how often.
    const BYTES: usize = 16 << 10;
    const INTERVAL: Duration = Duration::from_millis(50);

    fn new() -> SlowReader {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (addr, (sender, read)) = (listener.local_addr().unwrap(), channel());
        thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            let (mut buffer, mut total) = (vec![0; Self::BYTES], 0);
            while let Ok(bytes @ 1..) = stream.read(&mut buffer) {
                total += bytes;
                sleep(Self::INTERVAL);
            }
            let _ = sender.send(total);
        });
        SlowReader { addr, read }
    }

    /// Waits until the connection has ended; tells how many bytes were read.
    fn wait_for_end(&self) -> usize {
        self.read.recv_timeout(PATIENCE).expect("the end of the connection")
    }
}

/// A server that reads a request slowly delays its final answer no further than its client's time.
#[test]
fn a_large_request_that_its_origin_reads_slowly_gets_its_final_answer_in_time() {
    let origin = SlowReader::new();
    let (cache, discovery) = (Fake::cache(), Fake::http());
    let node = Node::start(&list(41, &[("s-1", cache.addr)], origin.addr), discovery.addr);
    let mut client = node.client();
    client.set("k", "c=put,d=600", &"w".repeat(4 << 20));
    let sent = Instant::now();
    assert!(client.answer().is_some(), "closed on");
    assert!(sent.elapsed() <= Duration::from_millis(600) + FINAL_ANSWER, "{:?}", sent.elapsed());
    let read = origin.wait_for_end();
    assert!(read < 4 << 20, "its rest was sent on after the final answer: {read} bytes were read");
}
