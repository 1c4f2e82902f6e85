//! A node in operation: its second address, its figures, its drain, and a second process beside it.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use common::{Client, Fake, Node, PATIENCE, Start, list, program};
use lilacquay_fleet::clients::{self, Load};
use lilacquay_fleet::record::Event;
use lilacquay_fleet::script::mixed_faults;
use lilacquay_fleet::{Fleet, FleetConfig};

const FACTS: &str = "c=read,d=2000";

/// One cache, an origin, and what a node is told of them.
struct Site {
    cache: Fake,
    origin: Fake,
    discovery: Fake,
}

impl Site {
    fn new() -> Site {
        Site { cache: Fake::cache(), origin: Fake::http(), discovery: Fake::http() }
    }

    fn node(&self, environment: &[(&str, String)]) -> (Node, SocketAddr) {
        let known = list(1, &[("c", self.cache.addr)], self.origin.addr);
        Start::new(&known, self.discovery.addr).operated(environment)
    }
}

/// All that the second address says to these bytes; the caller reads on until it closes.
fn say(admin: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(bytes).unwrap();
    hear(stream)
}

fn hear(mut stream: TcpStream) -> String {
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text); // a reset ends it too
    text
}

fn figure(dump: &str, name: &str) -> i64 {
    let line = dump.lines().find_map(|line| line.strip_prefix(&format!("edge_edge.{name}:")));
    let line = line.unwrap_or_else(|| panic!("no {name} in\n{dump}"));
    line.split('|').next().unwrap().parse().unwrap()
}

/// Asks until the answer is as wanted; the node's life goes by time.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "{what}");
    }
}

#[test]
fn the_second_address_answers_calls_and_says_why_not() {
    let site = Site::new();
    let (node, admin) = site.node(&[]);
    assert_eq!(say(admin, b"HEALTH\n"), "ACK\n");
    for (bad, word) in
        [(&b"HELP\n"[..], "unknown"), (b"\x00\x01\n", "letters"), (&[b'x'; 300], "bytes at most")]
    {
        let text = say(admin, bad);
        assert!(text.starts_with("NAK ") && text.contains(word), "{text}");
    }
    let mut pieces = TcpStream::connect(admin).unwrap();
    for piece in [&b"HEA"[..], b"LT", b"H\r", b"\n"] {
        pieces.write_all(piece).unwrap();
    }
    assert_eq!(hear(pieces), "ACK\n");
    let mut client = node.client();
    client.get("k", FACTS);
    let call = site.cache.call();
    until("it is in progress", || figure(&say(admin, b"DUMP\n"), "in_progress") == 1);
    call.value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
    // One whose id is another's is failed before it is begun, and counts.
    let (mut one, mut other) = (node.client(), node.client());
    one.get("k", FACTS);
    let open = site.cache.call();
    other.get("k", FACTS);
    assert_eq!(other.answer().as_deref(), Some("-ERR id in use"));
    open.value("v");
    assert_eq!(one.answer().as_deref(), Some("v"));
    let dump = say(admin, b"DUMP\n");
    assert!(dump.ends_with("--\n"), "{dump}");
    for (name, value) in [
        ("handled.read.passed", 2),
        ("handled.read.bad_gateway", 1),
        ("handled.put.passed", 0),
        ("upstream_tries", 2),
        ("in_progress", 0),
        ("known_cache_servers", 1),
        ("skipped_cache_servers", 0),
    ] {
        assert_eq!(figure(&dump, name), value, "{name} in\n{dump}");
    }
}

#[test]
fn callers_who_say_nothing_or_half_a_call_keep_nobody_out() {
    let site = Site::new();
    let (_node, admin) = site.node(&[]);
    let mut silent: Vec<TcpStream> = Vec::new();
    for n in 0..100 {
        let mut stream = TcpStream::connect(admin).unwrap();
        if n % 2 == 0 {
            stream.write_all(b"HEAL").unwrap();
        }
        silent.push(stream);
        if n % 10 == 9 {
            let start = Instant::now();
            assert_eq!(say(admin, b"HEALTH\n"), "ACK\n", "after {n}");
            assert!(start.elapsed() < Duration::from_secs(1), "{:?}", start.elapsed());
        }
    }
    // The first of them lost their seats.
    silent[0].set_read_timeout(Some(PATIENCE)).unwrap();
    assert!(hear(silent.remove(0)).starts_with("NAK no whole line"));
}

#[test]
fn a_node_that_leaves_says_no_closes_what_rests_and_comes_back() {
    let site = Site::new();
    let (node, admin) = site.node(&[]);
    let (mut resting, mut busy, mut half) = (node.client(), node.client(), node.client());
    for client in [&mut resting, &mut busy] {
        client.get("k", FACTS);
        site.cache.call().value("v");
        assert_eq!(client.answer().as_deref(), Some("v"));
    }
    busy.get("k", "c=read,d=20000");
    let open = site.cache.call();
    busy.send(&["PING"]); // pipelined behind the open one
    busy.send(&["CACHE.GET", "k", "behind", "c=read,d=20000"]);
    let behind = site.cache.call();
    half.write("*4\r\n$9\r\nCACHE.GET\r\n");
    assert_eq!(say(admin, b"LEAVE\n"), "ACK\n");
    let start = Instant::now();
    assert!(say(admin, b"HEALTH\n").starts_with("NAK the node is leaving"));
    let mut front = node.client();
    front.send(&["PING"]);
    assert_eq!(front.answer().as_deref(), Some("-ERR leaving"));
    assert_eq!(say(admin, b"LEAVE\n"), "ACK\n", "twice is as once");
    // In use until it is closed: served as ever.
    half.write("$1\r\nk\r\n$16\r\n9b1f03aa5c7e2d42\r\n$13\r\nc=read,d=2000\r\n");
    site.cache.call().value("w");
    assert_eq!(half.answer().as_deref(), Some("w"));
    assert_eq!(resting.answer(), None, "closed while it rests");
    assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    open.value("late");
    behind.value("behind");
    assert_eq!(busy.answer().as_deref(), Some("late"), "what is open is answered");
    assert!(busy.answer().is_some_and(|pong| pong == "+PONG" || pong == "-ERR leaving"));
    assert_eq!(busy.answer().as_deref(), Some("behind"), "and what stood behind it");
    assert_eq!(busy.answer(), None, "and its connection closed");
    assert_eq!(say(admin, b"JOIN\n"), "ACK\n");
    assert_eq!(say(admin, b"HEALTH\n"), "ACK\n");
    let mut back = node.client();
    back.ping();
    back.get("k", FACTS);
    site.cache.call().value("v");
    assert_eq!(back.answer().as_deref(), Some("v"));
    back.ping();
}

#[test]
fn a_node_that_ends_takes_no_orders_back() {
    let site = Site::new();
    let (mut node, admin) = site.node(&[]);
    let mut client = node.client();
    client.get("k", FACTS);
    let open = site.cache.call();
    node.terminate();
    until("it is finishing", || say(admin, b"HEALTH\n").contains("finishing"));
    assert!(say(admin, b"JOIN\n").starts_with("NAK it is ending"));
    node.reload_files();
    open.value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
    assert!(node.exit());
}

#[test]
fn a_second_process_takes_over_from_one_socket_and_nothing_is_left_unread() {
    let site = Site::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // A copy that a program which is executed inherits.
    let passed = rustix::io::dup(&listener).unwrap();
    let environment = [("EDGE_PASSED_SOCKET", passed.as_raw_fd().to_string())];
    let (mut old, old_admin) = site.node(&environment);
    assert_eq!(old.addr(), listener.local_addr().unwrap());
    let mut kept = old.client();
    kept.get("k", FACTS);
    site.cache.call().value("v");
    assert_eq!(kept.answer().as_deref(), Some("v"));
    let mut under_way = old.client();
    under_way.get("k", FACTS);
    let open = site.cache.call();
    let (new, new_admin) = site.node(&environment);
    assert_eq!(new.addr(), old.addr());
    until("the new one is ready", || say(new_admin, b"HEALTH\n") == "ACK\n");
    old.terminate();
    until("the old one is told", || say(old_admin, b"HEALTH\n").starts_with("NAK"));
    // Who comes now is the new one's; nobody waits for the old.
    for _ in 0..5 {
        let mut client = Client::to(new.addr());
        client.ping();
        client.get("k2", FACTS);
        site.cache.call().value("w");
        assert_eq!(client.answer().as_deref(), Some("w"));
    }
    assert!(figure(&say(new_admin, b"DUMP\n"), "handled.read.passed") >= 5);
    open.value("late");
    assert_eq!(under_way.answer().as_deref(), Some("late"));
    assert!(old.exit(), "what was open is answered");
    assert!(new.client().try_answer().is_none());
    assert_eq!(say(new_admin, b"HEALTH\n"), "ACK\n");
}

#[test]
fn what_the_platform_gets_wrong_is_told_in_one_line_with_the_mend() {
    let site = Site::new();
    let known = list(1, &[("c", site.cache.addr)], site.origin.addr);
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let taken_at = taken.local_addr().unwrap().to_string();
    for (name, value, words) in [
        ("EDGE_PASSED_SOCKET", "nothing", "names no descriptor"),
        ("EDGE_PASSED_SOCKET", "999", "is not open"),
        ("EDGE_ADMIN", "here", "is not an address with a port"),
        ("EDGE_ADMIN", "127.0.0.1:6", "admin is 127.0.0.1:6, as listen is"),
        ("EDGE_ADMIN", &taken_at, "cannot listen on"),
    ] {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("node.json");
        let config = format!(r#"{{"name":"n0","seed":"1","known":{known},"settings":{}}}"#, common::SETTINGS);
        std::fs::write(&file, config).unwrap();
        let listen = if words.contains("as listen is") { "127.0.0.1:6" } else { "127.0.0.1:0" };
        let output = program("exec \"$0\"")
            .env("EDGE_CONFIG", &file)
            .env("EDGE_LISTEN", listen)
            .env("EDGE_DISCOVERY", site.discovery.addr.to_string())
            .env(name, value)
            .output()
            .unwrap();
        let told = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success() && told.contains(words), "{name}={value}: {told}");
        assert_eq!(told.lines().count(), 1, "{told}");
    }
}

/// Figures are what the clients and the servers have seen, whatever goes wrong.
#[test]
fn figures_agree_with_the_records_of_clients_and_servers_on_twenty_seeds() {
    let time = Duration::from_secs(2);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    for seeds in (0..20).collect::<Vec<u64>>().chunks(5) {
        std::thread::scope(|scope| {
            for &seed in seeds {
                let runtime = &runtime;
                scope.spawn(move || {
                    let fleet = Fleet::start(FleetConfig { seed, ..FleetConfig::default() }).unwrap();
                    let config = fleet.configuration(SocketAddr::from(([127, 0, 0, 1], 0)), 512);
                    let (node, admin) = Node::operated(&config);
                    let load =
                        Load { keep_requests: true, rate: 150.0, ..Load::standard(node.addr(), time, seed) };
                    let clock = fleet.clock().clone();
                    let running = runtime.spawn(clients::run(load, clock, Arc::default()));
                    let start = Instant::now();
                    for (at, step) in mixed_faults(seed, 4, time) {
                        std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
                        fleet.step(step).unwrap();
                    }
                    let report = runtime.block_on(running).unwrap();
                    until("all have ended", || figure(&say(admin, b"DUMP\n"), "in_progress") == 0);
                    let dump = say(admin, b"DUMP\n");
                    let near = |name: &str, seen: u64, part: f64| {
                        let told = figure(&dump, name) as f64;
                        let slack = (seen as f64 * part).max(3.0);
                        assert!(
                            (told - seen as f64).abs() <= slack,
                            "seed {seed}, {name}: {seen} in\n{dump}"
                        );
                    };
                    for class in &report.classes {
                        near(&format!("handled.{}.passed", class.name), class.served.len(), 0.01);
                        near(&format!("handled.{}.dropped", class.name), class.refused, 0.01);
                        near(&format!("handled.{}.bad_gateway", class.name), class.failed, 0.01);
                    }
                    let (records, _) = fleet.records();
                    let asked = records.iter().filter(|r| matches!(r.event, Event::Received(_))).count();
                    near("upstream_tries", asked as u64, 0.02);
                });
            }
        });
    }
}

/// Connections of a crowd that never say a whole command, half of them a part of one, and true requests at the same time,
/// each on a new connection, some of which take their time.
#[test]
fn a_crowd_that_never_asks_keeps_out_none_who_does() {
    let site = Site::new();
    let known = list(1, &[("c", site.cache.addr)], site.origin.addr);
    let (node, admin) =
        Start { sockets: 384, memory_mb: 24, ..Start::new(&known, site.discovery.addr) }.operated(&[]);
    let at = node.addr();
    // Answers as they come, beside the test.
    let answering = std::thread::spawn(move || site.cache.serve_until(usize::MAX, "v"));
    const CROWD: usize = 2000;
    const ASKED: usize = 40;
    let asking = Arc::new(AtomicUsize::new(0));
    let seen = asking.clone();
    let crowd = std::thread::spawn(move || {
        let (mut held, mut come) = (std::collections::VecDeque::new(), 0);
        while come < CROWD || seen.load(Ordering::Relaxed) < ASKED {
            if let Ok(mut stream) = TcpStream::connect(at) {
                come += 1;
                if come % 2 == 0 {
                    let _ = stream.write_all(b"*4\r\n$9\r\nCACHE"); // it may be closed on
                }
                held.push_back(stream);
            }
            if held.len() > 400 {
                held.pop_front(); // what the test itself may hold has a bound too
            }
        }
    });
    let (mut asked, mut served, mut slowest) = (0, 0, Duration::ZERO);
    // The crowd goes on until so many have been asked among it.
    while !crowd.is_finished() {
        let n = asked;
        asked += 1;
        let start = Instant::now();
        let mut client = Client::to(at);
        let command = common::words(&["CACHE.GET", "k", &format!("id{n}"), "c=read,d=10000"]);
        match n % 4 {
            0 => {
                for piece in command.as_bytes().chunks(8) {
                    client.try_write(std::str::from_utf8(piece).unwrap());
                }
            }
            _ => client.try_write(&command),
        }
        served += usize::from(client.answer().as_deref() == Some("v"));
        slowest = slowest.max(start.elapsed());
        assert_eq!(say(admin, b"HEALTH\n"), "ACK\n", "also in the crowd");
        asking.store(asked, Ordering::Relaxed);
    }
    crowd.join().unwrap();
    drop((node, answering));
    assert!(
        asked >= ASKED && served * 20 >= asked * 19,
        "{served} of {asked} served, the slowest after {slowest:?}"
    );
}
