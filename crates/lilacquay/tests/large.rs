//! Large values: they flow through, in bounded memory, and what goes wrong with them shows.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use common::{Call, Fake, Node, PATIENCE, Start, list, words};

const FACTS: &str = "c=read,d=2000";
const MIB: usize = 1 << 20;
/// A final answer is due so long after the client's time is up, and what sockets allow beyond it.
const FINAL_ANSWER: Duration = Duration::from_millis(500 + 50);
/// A server that sends no byte of a value for this long has stalled, however long its client waits.
const SERVER_SILENCE: Duration = Duration::from_secs(5);
/// What sockets allow beyond a time limit.
const SOCKETS: Duration = Duration::from_millis(50);
/// A connection to a server rests for less than this before it is used again.
const RESTED: Duration = Duration::from_millis(40);

struct Site {
    caches: Vec<Fake>,
    origin: Fake,
    node: Node,
    admin: SocketAddr,
}

fn site(caches: usize) -> Site {
    let (caches, origin): (Vec<Fake>, _) = ((0..caches).map(|_| Fake::cache()).collect(), Fake::http());
    let names: Vec<String> = (0..caches.len()).map(|n| format!("c{n}")).collect();
    let listed: Vec<_> = names.iter().map(String::as_str).zip(caches.iter().map(|c| c.addr)).collect();
    let known = list(1, &listed, origin.addr);
    let discovery = Fake::http();
    let (node, admin) = Start { memory_mb: 48, ..Start::new(&known, discovery.addr) }.operated(&[]);
    Site { caches, origin, node, admin }
}

impl Site {
    /// The next call at any cache, with the cache's place.
    fn call(&self) -> (usize, Call) {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            for (n, cache) in self.caches.iter().enumerate() {
                if let Some(call) = cache.called() {
                    return (n, call);
                }
            }
        }
        panic!("no call");
    }

    fn figure(&self, name: &str) -> i64 {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        stream.write_all(b"DUMP\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("edge_edge.{name}:")));
        line.and_then(|line| line.split('|').next()?.parse().ok()).expect(name)
    }

    /// What the process holds in memory, in bytes.
    fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.node.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
    }
}

/// A client that reads as it likes.
fn reader(node: &Node, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node.addr()).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(words(&["CACHE.GET", "k", id, FACTS]).as_bytes()).unwrap();
    stream
}

fn line(stream: &mut TcpStream) -> String {
    let (mut text, mut byte) = (Vec::new(), [0]);
    while !text.ends_with(b"\n") && stream.read(&mut byte).unwrap() > 0 {
        text.push(byte[0]);
    }
    String::from_utf8(text).unwrap().trim_end().to_owned()
}

fn bytes(stream: &mut TcpStream, n: usize) -> Vec<u8> {
    let mut all = vec![0; n];
    stream.read_exact(&mut all).unwrap();
    all
}

fn value(n: usize) -> Vec<u8> {
    (0..n).map(|i| (i * 7 + i / 251) as u8).collect()
}

fn head(n: usize) -> String {
    format!("*3\r\n${n}\r\n")
}

const TAIL: &str = "\r\n$3\r\nhit\r\n$-1\r\n";

#[test]
fn a_large_value_flows_from_a_cache_as_it_comes_and_its_connection_is_used_again() {
    let site = site(1);
    let whole = value(3 * MIB);
    let mut client = reader(&site.node, "i1");
    let (_, mut call) = site.call();
    call.answer(head(whole.len()));
    call.answer(&whole[..1]);
    assert_eq!(line(&mut client), format!("${}", whole.len()));
    assert_eq!(bytes(&mut client, 1), &whole[..1], "the first byte is passed on before the second is given");
    assert_eq!(site.figure("in_progress"), 1);
    // In pieces of one byte, then at once, with the tail in pieces too.
    for at in 1..2000 {
        call.answer(&whole[at..at + 1]);
    }
    let (rest, connection) = (whole[2000..].to_vec(), call.connection);
    let giving = std::thread::spawn(move || {
        call.answer(rest);
        TAIL.bytes().for_each(|byte| call.answer([byte]));
    });
    assert_eq!(bytes(&mut client, whole.len() - 1), &whole[1..]);
    assert_eq!(bytes(&mut client, 2), b"\r\n");
    giving.join().unwrap();
    let start = Instant::now();
    while site.figure("handled.read.passed") < 1 {
        assert!(start.elapsed() < PATIENCE, "it counts at its end");
    }
    std::thread::sleep(RESTED);
    let mut again = reader(&site.node, "i2");
    let (_, call) = site.call();
    assert_eq!(call.connection, connection);
    call.value("small");
    assert_eq!((line(&mut again), line(&mut again)), ("$5".into(), "small".into()));
}

#[test]
fn a_large_value_flows_from_the_origin() {
    let site = site(1);
    let whole = value(MIB);
    let mut client = reader(&site.node, "i1");
    site.call().1.miss();
    let mut fetch = site.origin.call();
    fetch.answer(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", whole.len()));
    fetch.answer(&whole[..10]);
    assert_eq!(line(&mut client), format!("${}", whole.len()));
    assert_eq!(bytes(&mut client, 10), &whole[..10]);
    let rest = whole[10..].to_vec();
    let giving = std::thread::spawn(move || fetch.answer(rest));
    assert_eq!(bytes(&mut client, whole.len() - 10), &whole[10..]);
    giving.join().unwrap();
}

#[test]
fn one_that_breaks_in_the_middle_is_not_tried_again_and_looks_broken() {
    let site = site(3);
    for (n, said) in [(1, 200_000), (2, 3 * MIB)] {
        let mut client = reader(&site.node, &format!("i{n}"));
        let (_, mut call) = site.call();
        call.answer(head(said));
        call.answer(value(100_000));
        assert_eq!(line(&mut client), format!("${said}"));
        call.close();
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest); // a reset tells it too
        assert!(rest.len() < said, "the client can tell: {} of {said}", rest.len());
        assert_eq!(site.figure("handled.read.bad_gateway"), n);
    }
    assert!(
        site.caches.iter().all(|cache| cache.called().is_none()),
        "nothing is tried after the first byte"
    );
    assert_eq!(site.figure("upstream_tries"), 2);
}

#[test]
fn a_server_that_stalls_in_the_midst_is_given_up_and_counts_as_failed() {
    let site = site(1);
    let mut client = reader(&site.node, "i1");
    let (_, mut call) = site.call();
    let (start, giving) = (
        Instant::now(),
        std::thread::spawn(move || {
            call.answer(head(4 * MIB));
            call.answer(value(3_000_000));
            call // held open, and silent
        }),
    );
    assert_eq!(line(&mut client), format!("${}", 4 * MIB));
    let mut come = Vec::new();
    let _ = client.read_to_end(&mut come); // a reset tells it too
    assert!(come.len() <= 3_000_000);
    let took = start.elapsed();
    assert!((SERVER_SILENCE - SOCKETS..=SERVER_SILENCE + FINAL_ANSWER).contains(&took), "{took:?}");
    drop(giving.join().unwrap());
    until(|| site.figure("handled.read.bad_gateway") == 1);
    assert_eq!(site.figure("in_progress"), 0);
}

fn until(mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE);
    }
}

#[test]
fn more_than_was_said_reaches_nobody_and_ends_the_connection() {
    let site = site(1);
    let whole = value(100_000);
    let mut client = reader(&site.node, "i1");
    let (_, mut call) = site.call();
    let first = call.connection;
    let giving = std::thread::spawn(move || {
        call.answer([head(100_000).as_bytes(), &value(100_000), TAIL.as_bytes(), b"$3\r\nmore"].concat());
    });
    assert_eq!(line(&mut client), "$100000");
    assert_eq!(bytes(&mut client, whole.len()), whole);
    assert_eq!(bytes(&mut client, 2), b"\r\n");
    giving.join().unwrap();
    assert_eq!(site.caches[0].closed(), first);
    client.write_all(words(&["CACHE.GET", "k", "i2", FACTS]).as_bytes()).unwrap();
    let (_, call) = site.call();
    assert_ne!(call.connection, first);
    call.value("v");
    assert_eq!((line(&mut client), line(&mut client)), ("$1".into(), "v".into()));
}

#[test]
fn the_first_head_wins_and_the_copy_that_loses_cuts_nothing_off() {
    let site = site(3);
    // What usual times are, so that a copy goes out.
    for n in 0..40 {
        let mut client = reader(&site.node, &format!("w{n}"));
        site.call().1.value("v");
        assert_eq!(line(&mut client), "$1");
    }
    let mut client = reader(&site.node, "i1");
    let (_, mut first) = site.call();
    let (_, mut copy) = site.call(); // the first is late
    let whole = value(MIB);
    copy.answer(head(whole.len()));
    copy.answer(&whole[..1000]);
    assert_eq!(line(&mut client), format!("${}", whole.len()));
    // The first is called off; whatever it still says, the winner's value goes on.
    let loser = std::thread::spawn(move || {
        let text = [head(70_000).as_bytes(), &value(70_000)].concat();
        let _ = first.try_answer(&text);
    });
    loser.join().unwrap();
    let rest = whole[1000..].to_vec();
    let giving = std::thread::spawn(move || copy.answer(rest));
    assert_eq!(bytes(&mut client, whole.len()), whole);
    giving.join().unwrap();
}

/// What a hundred readers who take nothing may hold, and that they keep nobody out.
#[test]
fn readers_who_take_nothing_hold_little_and_keep_nobody_waiting() {
    let site = site(1);
    let before = site.memory();
    let mut stuck = Vec::new();
    for n in 0..100 {
        let client = reader(&site.node, &format!("s{n}"));
        let (_, mut call) = site.call();
        // As much as the way to the client takes; the rest waits at the server.
        std::thread::spawn(move || {
            let _ = call.try_answer(&[head(4 * MIB).as_bytes(), &value(4 * MIB)].concat());
        });
        stuck.push(client);
    }
    let whole = value(2 * MIB);
    let mut client = reader(&site.node, "quick");
    let (_, mut call) = site.call();
    let text = [head(whole.len()).as_bytes(), &whole, TAIL.as_bytes()].concat();
    let giving = std::thread::spawn(move || call.answer(text));
    assert_eq!(line(&mut client), format!("${}", whole.len()));
    assert_eq!(bytes(&mut client, whole.len()), whole);
    giving.join().unwrap();
    let held = site.memory().saturating_sub(before);
    assert!(held < 20 * MIB, "{} KiB for a hundred values of 4 MiB", held >> 10);
    // One of the slow reads on, by and by.
    let mut slow = stuck.swap_remove(0);
    assert_eq!(line(&mut slow), format!("${}", 4 * MIB));
    let expected = value(64 << 10);
    for piece in expected.chunks(16 << 10) {
        assert_eq!(bytes(&mut slow, piece.len()), piece);
    }
    drop(stuck);
    let start = Instant::now();
    while site.figure("in_progress") > 1 {
        assert!(start.elapsed() < PATIENCE, "who leaves holds nothing");
    }
    assert!(start.elapsed() < Duration::from_secs(10));
}

fn writer(node: SocketAddr, id: &str, value: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(node).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    let head =
        format!("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n${}\r\n{id}\r\n$13\r\nc=put,d=20000\r\n", id.len());
    let text = [head.as_bytes(), format!("${}\r\n", value.len()).as_bytes(), value, b"\r\n"].concat();
    let _ = stream.write_all(&text); // one that is refused may be closed on
    stream
}

#[test]
fn a_large_write_reaches_the_origin_whole_and_one_that_is_larger_is_refused_at_once() {
    let site = site(1);
    let whole = vec![b'w'; 4 * MIB];
    let mut client = writer(site.node.addr(), "i1", &whole);
    let call = site.origin.call();
    assert_eq!((call.words[0].as_str(), call.words.last().unwrap().len()), ("PUT", whole.len()));
    call.http("200 OK", "receipt");
    assert_eq!((line(&mut client), line(&mut client)), ("$7".into(), "receipt".into()));
    let mut client = writer(site.node.addr(), "i2", &vec![b'w'; 5 * MIB]);
    let mut text = String::new();
    let _ = client.read_to_string(&mut text); // a reset may follow what is said
    assert!(text.is_empty() || text.starts_with("-ERR"), "{text}");
    assert!(site.origin.called().is_none());
}

/// What many writers may hold together, all of whom are served in the end.
#[test]
fn many_large_writes_at_once_take_their_turns_in_the_memory_there_is() {
    let site = site(1);
    let (before, node) = (site.memory(), site.node.addr());
    let writers: Vec<_> = (0..24)
        .map(|n| std::thread::spawn(move || line(&mut writer(node, &format!("i{n}"), &vec![b'w'; 3 * MIB]))))
        .collect();
    let mut most = 0;
    for _ in 0..writers.len() {
        let call = site.origin.call();
        most = most.max(site.memory());
        call.http("200 OK", "r");
    }
    for writer in writers {
        assert_eq!(writer.join().unwrap(), "$1");
    }
    let held = most.saturating_sub(before);
    assert!(held < 20 * MIB, "{} KiB for writes of 72 MiB", held >> 10);
}

#[test]
fn a_long_write_that_dribbles_is_given_up_and_its_places_are_anothers() {
    let site = site(1);
    let head = "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nd1\r\n$13\r\nc=put,d=20000\r\n$4000000\r\n";
    let mut dribbles: Vec<TcpStream> =
        (0..8).map(|_| TcpStream::connect(site.node.addr()).unwrap()).collect();
    for stream in &mut dribbles {
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        stream.write_all(head.as_bytes()).unwrap();
        stream.write_all(&[b'w'; 10_000]).unwrap();
    }
    let mut client = writer(site.node.addr(), "i1", &vec![b'w'; 3 * MIB]);
    site.origin.call().http("200 OK", "r");
    assert_eq!(line(&mut client), "$1");
    assert!(line(&mut dribbles[0]).starts_with("-ERR no whole command"));
}
