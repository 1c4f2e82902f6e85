//! Clients that stop in the middle of a write, and what they may not do to the writes of others.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use common::{Client, Fake, Node, PATIENCE, SETTINGS, Start, Widget, entry, list, set, words};
use lilacquay_codec::memcache::{Opcode, Status};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const MS: Duration = Duration::from_millis(1);
/// How long the sound clients wait for their answers.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1400);
const SOUND_FACTS: &str = "c=put,d=1400";
/// Clients that stop in the middle of a command get their error or close within this time; sockets take 50 ms more.
const STOPPED_CLIENT_LIMIT: Duration = Duration::from_millis(3000 + 50);
/// The memory of the nodes, in MiB: half of the site's usual 192, as on its days of restarts in a crowd. An eighth is for
/// large buffers and as much for open requests.
const MEMORY_MB: usize = 96;
/// So little memory, in MiB, that there is room for one write of 4 MiB and not for a second one of 2 MiB.
const LITTLE_MEMORY_MB: usize = 48;
/// What clients may hold beside those two parts: small buffers, and what the allocator keeps.
const SMALL_BUFFERS_ALLOWANCE: usize = 8 * MIB;

struct Site {
    cache: Fake,
    origin: Fake,
    _discovery: Fake,
    node: Node,
    admin: SocketAddr,
}

impl Site {
    fn new() -> Site {
        Site::with_memory(MEMORY_MB)
    }

    fn with_memory(memory_mb: usize) -> Site {
        let (cache, origin, discovery) = (Fake::cache(), Fake::http(), Fake::http());
        let known = list(1, &[("s", cache.addr)], origin.addr);
        let start = Start { memory_mb, ..Start::new(&known, discovery.addr) };
        let (node, admin) = start.operated(&[]);
        Site { cache, origin, _discovery: discovery, node, admin }
    }

    fn metric(&self, name: &str) -> i64 {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        stream.write_all(b"DUMP\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("edge_edge.{name}:")));
        line.and_then(|line| line.split('|').next()?.parse().ok()).expect(name)
    }

    fn wait_for(&self, name: &str, at_least: i64) {
        let start = Instant::now();
        while self.metric(name) < at_least {
            assert!(start.elapsed() < PATIENCE, "{name} is {}", self.metric(name));
        }
    }

    fn memory_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.node.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() << 10
    }

    /// Sends a write and lets the origin confirm it. Returns how long the answer took.
    #[track_caller]
    fn assert_served(&self, id: &str, value_bytes: usize) -> Duration {
        let mut client = self.node.client();
        let write = words(&["CACHE.SET", "k", id, SOUND_FACTS, &"v".repeat(value_bytes)]);
        let (sent, writing) = self.spawn_write(&mut client, write);
        self.origin.call().http("200 OK", "receipt");
        writing.join().unwrap();
        assert_eq!(client.answer().as_deref(), Some("receipt"), "{id}");
        sent.elapsed()
    }

    fn spawn_write(&self, client: &mut Client, bytes: String) -> (Instant, JoinHandle<()>) {
        let mut stream = client.stream();
        (Instant::now(), thread::spawn(move || stream.write_all(bytes.as_bytes()).unwrap()))
    }
}

/// Clients that send the beginning of a write, stop and stay.
#[derive(Debug, Clone, Copy)]
struct Stopped {
    clients: usize,
    value_bytes: usize,
    sent_bytes: usize,
}

const STOP_EARLY: Stopped = Stopped { clients: 12, value_bytes: 4 * MIB, sent_bytes: 64 * KIB };
const STOP_LATE: Stopped = Stopped { clients: 12, value_bytes: 4 * MIB, sent_bytes: 4 * MIB };
const STOP_SHORT: Stopped = Stopped { clients: 200, value_bytes: 60_000, sent_bytes: 30_000 };
const STOP_SHORT_LATE: Stopped = Stopped { clients: 250, value_bytes: 60_000, sent_bytes: 60_000 };
const STOP_MEDIUM: Stopped = Stopped { clients: 60, value_bytes: 300_000, sent_bytes: 200_000 };

impl Stopped {
    /// Starts the clients. Each returns, once it has been answered, the answer and the time since it stopped.
    fn start(self, node: SocketAddr) -> Vec<JoinHandle<(String, Duration)>> {
        (0..self.clients).map(|n| thread::spawn(move || self.run(node, n))).collect()
    }

    fn run(self, node: SocketAddr, n: usize) -> (String, Duration) {
        let id = format!("stopped-{n}");
        let value = "x".repeat(self.value_bytes);
        let write = words(&["CACHE.SET", "k", &id, "c=put,d=1900", &value]);
        let head = write.len() - value.len();
        let mut stream = TcpStream::connect(node).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        // Without the line break behind the value the command is never whole.
        let _ = stream.write_all(&write.as_bytes()[..(head - 2 + self.sent_bytes).min(write.len() - 2)]);
        let stopped = Instant::now();
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer); // a reset is an end, too
        (answer, stopped.elapsed())
    }
}

/// Plays clients that stop beside sound writers, who are served in their time, in bounded memory.
#[track_caller]
fn assert_sound_writes_are_served_beside(groups: &[Stopped]) {
    let site = Site::new();
    site.node.ping_once();
    let memory_before = site.memory_bytes();
    let stopped: Vec<_> = groups.iter().flat_map(|group| group.start(site.node.addr())).collect();
    let start = Instant::now();
    let (mut most_memory, mut writes) = (0, 0);
    while start.elapsed() < Duration::from_secs(2) {
        writes += 1;
        let took = site.assert_served(&format!("sound-{writes}"), 16 * KIB);
        assert!(took < CLIENT_TIMEOUT, "write {writes} took {took:?} beside {groups:?}");
        most_memory = most_memory.max(site.memory_bytes());
        sleep(50 * MS);
    }
    let held = most_memory.saturating_sub(memory_before);
    let limit = 2 * (MEMORY_MB * MIB / 8) + SMALL_BUFFERS_ALLOWANCE;
    assert!(held < limit, "{} KiB beside {groups:?}", held >> 10);
    for client in stopped {
        let (answer, took) = client.join().unwrap();
        assert!(answer.is_empty() || answer == "-ERR no whole command\r\n", "{answer:?}");
        assert!(took < STOPPED_CLIENT_LIMIT, "a client that stopped was kept for {took:?}: {groups:?}");
    }
}

#[test]
fn sound_writes_waited_unread_behind_long_writes_that_stopped() {
    assert_sound_writes_are_served_beside(&[STOP_EARLY]);
}

#[test]
fn sound_writes_waited_unread_behind_long_writes_that_stopped_shortly_before_their_end() {
    assert_sound_writes_are_served_beside(&[STOP_LATE]);
}

#[test]
fn sound_writes_waited_unread_behind_many_short_writes_that_stopped() {
    assert_sound_writes_are_served_beside(&[STOP_SHORT]);
    assert_sound_writes_are_served_beside(&[STOP_SHORT_LATE]);
}

#[test]
fn sound_writes_waited_unread_behind_writes_of_all_lengths_that_stopped() {
    assert_sound_writes_are_served_beside(&[STOP_EARLY, STOP_LATE, STOP_SHORT, STOP_MEDIUM]);
}

#[test]
fn a_sound_long_write_waited_unread_behind_long_writes_that_stopped() {
    let site = Site::new();
    let stopped = STOP_EARLY.start(site.node.addr());
    site.wait_for("buffer_waiting_commands", 1);
    let took = site.assert_served("sound", 3 * MIB);
    assert!(took < CLIENT_TIMEOUT, "{took:?}");
    stopped.into_iter().for_each(|client| drop(client.join().unwrap()));
}

#[test]
fn a_sound_write_that_comes_slowly_is_served_beside_writes_that_stopped() {
    let site = Site::new();
    let stopped = STOP_EARLY.start(site.node.addr());
    site.wait_for("buffer_waiting_commands", 1);
    let mut client = site.node.client();
    let write = words(&["CACHE.SET", "k", "slow", SOUND_FACTS, &"v".repeat(MIB)]);
    for piece in write.as_bytes().chunks(128 * KIB) {
        client.write(piece);
        sleep(100 * MS);
    }
    site.origin.call().http("200 OK", "receipt");
    assert_eq!(client.answer().as_deref(), Some("receipt"));
    stopped.into_iter().for_each(|client| drop(client.join().unwrap()));
}

#[test]
fn a_whole_write_waited_over_its_time_for_the_memory_of_writes_that_hang_at_the_origin() {
    let site = Site::with_memory(LITTLE_MEMORY_MB);
    let mut hanging = site.node.client();
    let long_write = |id: &str, bytes: usize| words(&["CACHE.SET", "k", id, SOUND_FACTS, &"v".repeat(bytes)]);
    let (_, writing) = site.spawn_write(&mut hanging, long_write("hangs", 4 * MIB));
    let _silent = site.origin.call();
    writing.join().unwrap();
    let mut client = site.node.client();
    let (sent, writing) = site.spawn_write(&mut client, long_write("waits", 3 * MIB));
    let answer = client.answer().expect("closed on, though it was whole");
    assert!(answer.starts_with("-BUSY"), "{answer}");
    assert!(sent.elapsed() < CLIENT_TIMEOUT, "{:?}", sent.elapsed());
    writing.join().unwrap();
    // The connection goes on, with nothing of the refused command in it.
    client.ping();
    assert!(site.origin.called().is_none(), "refused and sent on");
    assert_eq!(site.metric("buffer_discarded_commands"), 1);
}

#[test]
fn a_read_was_sent_on_for_a_client_that_left_while_its_next_write_waited_for_memory() {
    let site = Site::with_memory(LITTLE_MEMORY_MB);
    let mut hanging = site.node.client();
    let write = words(&["CACHE.SET", "k", "hangs", "c=put,d=20000", &"v".repeat(4 * MIB)]);
    let (_, writing) = site.spawn_write(&mut hanging, write);
    let _silent = site.origin.call();
    writing.join().unwrap();
    let mut client = site.node.client();
    client.send(&["CACHE.GET", "k", "read", "c=read,d=2000"]);
    let read = site.cache.call();
    let write = words(&["CACHE.SET", "k", "half", "c=put,d=2000", &"v".repeat(5 * MIB / 2)]);
    client.write(&write.as_bytes()[..200_000]);
    site.wait_for("buffer_waiting_commands", 1);
    drop(client);
    sleep(100 * MS); // an attempt may begin this long after its client has left
    read.miss();
    sleep(300 * MS);
    let fetch = site.origin.called().map(|call| call.words);
    assert_eq!(fetch, None, "fetched for nobody");
    assert_eq!(site.metric("violations.begun_for_nobody"), 0);
    assert_eq!(site.metric("buffer_waiting_commands"), 0);
}

#[test]
fn sound_writes_over_memcached_waited_unread_behind_writes_that_stopped() {
    let folder = tempfile::tempdir().unwrap();
    let write_file = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
    let (cache, origin) = (Fake::cache(), Fake::http());
    let servers =
        [entry("s", cache.addr, "m", "SERVING"), entry("o", origin.addr, "origin", "SERVING")].join(",");
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap(); // refuses from here on
    write_file(
        "node.json",
        &format!(
            r#"{{"name":"n0","seed":"8c1f","listen":"127.0.0.1:0","discovery":"{discovery}","limits":{{"sockets":512,"memory_mb":{MEMORY_MB}}},
            "known":{{"version":1,"full":true,"servers":[{servers}]}},"settings":{SETTINGS}}}"#
        ),
    );
    let listener = "[[listener]]\nname = \"m\"\naddress = \"127.0.0.1:0\"\n";
    let row = "[[row]]\nprefix = \"k\"\nread = \"read\"\nwrite = \"put\"\nwait_ms = 1400\n";
    write_file("memcached.toml", &format!("{listener}{row}"));
    write_file("serve.toml", "node = \"node.json\"\nmemcached = \"memcached.toml\"\n");
    let node = Node::serving(folder.path());
    let at = node.memcached();
    let stopped: Vec<TcpStream> = (0..12)
        .map(|n| {
            let mut packet = BytesMut::new();
            set(Opcode::Set, "k", &"x".repeat(4 * MIB), n).put_request(&mut packet);
            let mut stream = TcpStream::connect(at).unwrap();
            stream.write_all(&packet[..64 * KIB]).unwrap();
            stream
        })
        .collect();
    for (n, value_bytes) in [(1, 16 * KIB), (2, 16 * KIB), (3, 3 * MIB)] {
        let (mut client, sent) = (Widget::new(at), Instant::now());
        client.send(&set(Opcode::Set, "k", &"v".repeat(value_bytes), n));
        origin.call().http("200 OK", "receipt");
        let answer = client.answer().expect("closed on, though it was whole");
        assert_eq!((answer.status, answer.opaque), (Status::OK.0, n));
        assert!(sent.elapsed() < CLIENT_TIMEOUT, "{:?}", sent.elapsed());
    }
    // Writes that hang at the origin keep their memory. A whole one that gets none is refused in its own time.
    let hanging: Vec<_> = (4..6)
        .map(|n| {
            let mut client = Widget::new(at);
            client.send(&set(Opcode::Set, "k", &"v".repeat(4 * MIB - KIB), n));
            (client, origin.call())
        })
        .collect();
    let (mut client, sent) = (Widget::new(at), Instant::now());
    client.send(&set(Opcode::SetQ, "k", &"v".repeat(3 * MIB), 6));
    let answer = client.answer().expect("closed on, though it was whole");
    assert_eq!((answer.status, answer.opaque), (Status::BUSY.0, 6));
    assert!(sent.elapsed() < CLIENT_TIMEOUT, "{:?}", sent.elapsed());
    drop((stopped, hanging));
}
