//! System calls that fail in documented ways: what a node owes its clients all the same.

mod common;

use std::collections::BTreeSet;
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::*;

/// A connection waits to be accepted while the process is held up, as a machine may hold it for 0.15 s: from then ...
const HELD_UP_AT: Duration = Duration::from_millis(390);
/// ... until then after SIGTERM, when no connection is taken any more.
const GOES_ON_AT: Duration = Duration::from_millis(540);
/// The tests' settings allow sends to a server that drains for so long, and the machine a little more.
const GRACE: Duration = Duration::from_millis(550);
/// Reads of a test, on one connection that stays and on as many new ones.
const READS: usize = 20;
/// The time that reads come with.
const WAIT: Duration = Duration::from_millis(1900);
/// A final answer comes so long after that at the latest.
const OVERDUE: Duration = Duration::from_millis(500);

/// A node with two caches, of whose system calls some fail while the switch is on.
struct Faulty {
    caches: [Fake; 2],
    origin: Fake,
    discovery: Fake,
    node: Node,
    folder: tempfile::TempDir,
}

impl Faulty {
    /// Rules as the library's page has them; the switch is off.
    fn new(rules: &str) -> Faulty {
        Faulty::in_folder(rules, tempfile::tempdir().unwrap())
    }

    /// The same with the switch on from the start.
    fn from_start(rules: &str) -> Faulty {
        let folder = tempfile::tempdir().unwrap();
        std::fs::write(folder.path().join("on"), "").unwrap();
        Faulty::in_folder(rules, folder)
    }

    fn in_folder(rules: &str, folder: tempfile::TempDir) -> Faulty {
        let (library, at) = (fault_library(), folder.path().display());
        let shell = format!(
            "LD_PRELOAD={} SYSCALL_FAULTS='{rules}' SYSCALL_FAULTS_SWITCH={at}/on SYSCALL_FAULTS_LOG={at}/log exec \"$0\"",
            library.display()
        );
        let (caches, origin, discovery) = ([Fake::cache(), Fake::cache()], Fake::http(), Fake::http());
        let known = list(41, &[("s-1", caches[0].addr), ("s-2", caches[1].addr)], origin.addr);
        let node = Start { shell: &shell, ..Start::new(&known, discovery.addr) }.node();
        node.ping_once();
        Faulty { caches, origin, discovery, node, folder }
    }

    fn switch_on(&self) {
        std::fs::write(self.folder.path().join("on"), "").unwrap();
    }

    fn switch_off(&self) {
        std::fs::remove_file(self.folder.path().join("on")).unwrap();
    }

    /// How many faults were injected.
    fn injected(&self) -> usize {
        std::fs::read(self.folder.path().join("log")).map_or(0, |log| log.len())
    }

    /// Answers the calls that come with a value until a client has its answer; tells that, and which caches were called.
    #[track_caller]
    fn answered(&self, client: &mut Client, value: &str) -> (String, BTreeSet<usize>) {
        let (start, mut called) = (Instant::now(), BTreeSet::new());
        loop {
            if let Some(answer) = client.try_answer() {
                return (answer, called);
            }
            for (place, cache) in self.caches.iter().enumerate() {
                for call in std::iter::from_fn(|| cache.called()) {
                    let _ = call.try_value(value); // of a copy, maybe, which is wanted no more
                    called.insert(place);
                }
            }
            for call in std::iter::from_fn(|| self.origin.called()) {
                call.http("200 OK", value);
            }
            assert!(start.elapsed() < PATIENCE, "no answer has come");
            sleep(Duration::from_millis(1));
        }
    }

    /// Waits until a read is served again.
    fn until_served(&self) {
        let start = Instant::now();
        loop {
            let mut client = self.node.client();
            client.get("again", "c=read,d=1900");
            if !self.answered(&mut client, "v").0.starts_with('-') {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "it serves no more");
        }
    }

    /// Reads on a connection that stays and on new ones, each of which is answered with its value.
    #[track_caller]
    fn serves(&self, reads: usize, value: &str) {
        let mut kept = self.node.client();
        for n in 0..2 * reads {
            let mut new = self.node.client();
            let client = if n % 2 == 0 { &mut kept } else { &mut new };
            client.get(&format!("k{n}"), "c=read,d=1900");
            assert_eq!(self.answered(client, value).0, value, "read {n}");
        }
    }
}

/// Reads are served while system calls fail by each of these rules, and faults were met.
#[track_caller]
fn assert_served_with(rules: &[&str], value: &str) {
    for rules in rules {
        let site = Faulty::new(rules);
        site.switch_on();
        site.serves(READS, value);
        assert!(site.injected() > 0, "no fault was met by {rules}");
    }
}

/// A value of several packets.
fn value() -> String {
    "value".repeat(6_000)
}

#[test]
fn clients_are_served_while_connections_can_not_be_accepted() {
    let errors =
        ["ECONNABORTED", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EINTR", "EPROTO", "EPERM", "EHOSTUNREACH"];
    let rules = errors.map(|error| format!("accept:{error}:2:0"));
    assert_served_with(&rules.each_ref().map(String::as_str), "v");
}

#[test]
fn clients_are_served_while_connections_to_servers_can_not_be_made() {
    let errors = ["ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EADDRNOTAVAIL", "ENOBUFS", "EINTR"];
    let connect = errors.map(|error| format!("connect:{error}:3:0"));
    let socket = ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"].map(|error| format!("socket:{error}:3:0"));
    let rules: Vec<&str> = connect.iter().chain(&socket).map(String::as_str).collect();
    assert_served_with(&rules, "v");
}

#[test]
fn a_request_has_its_answer_in_time_though_no_connection_can_be_made_at_all() {
    for rules in [
        "connect:ENETUNREACH:1:0",
        "connect:EADDRNOTAVAIL:1:0",
        "socket:ENFILE:1:0",
        "connect:EHOSTUNREACH:1:0",
    ] {
        let site = Faulty::new(rules);
        site.switch_on();
        for _ in 0..3 {
            let mut client = site.node.client();
            let sent = Instant::now();
            client.get("k", "c=read,d=1900");
            let answer = client.answer().expect("a final answer");
            assert!(answer.starts_with('-'), "{answer} with {rules}");
            assert!(sent.elapsed() < WAIT + OVERDUE, "{:?} with {rules}", sent.elapsed());
        }
        assert!(site.injected() > 0, "no fault was met by {rules}");
        site.switch_off();
        site.until_served();
    }
}

#[test]
fn a_command_stood_still_since_a_part_of_it_was_read() {
    assert_served_with(&["receive:short:1:0", "receive:short:2:0", "receive:short:5:0"], &value());
}

#[test]
fn an_answer_stood_still_since_a_part_of_it_was_written() {
    assert_served_with(&["send:short:1:0", "send:short:2:0", "send:short:5:0"], &value());
}

#[test]
fn a_request_was_lost_since_a_read_was_interrupted() {
    assert_served_with(&["receive:EINTR:2:0", "receive:EINTR:3:0", "receive:EINTR:5:0"], &value());
}

#[test]
fn a_request_was_lost_since_a_write_was_interrupted() {
    assert_served_with(&["send:EINTR:2:0", "send:EINTR:3:0", "send:EINTR:5:0"], &value());
}

/// What reads and writes can meet, each in its own rhythm.
const PIECEMEAL: &str =
    "receive:short:3:0 receive:EINTR:7:0 send:short:4:0 send:EINTR:9:0 accept:ECONNABORTED:3:0";

#[test]
fn a_large_value_stood_still_since_a_part_of_it_was_read_or_written() {
    assert_served_with(&["receive:short:2:0", "send:short:2:0", PIECEMEAL], &"x".repeat(300_000));
}

#[test]
fn a_large_write_stood_still_since_a_part_of_it_was_read() {
    let site = Faulty::new(PIECEMEAL);
    site.switch_on();
    let mut client = site.node.client();
    let value = "x".repeat(300_000);
    for n in 0..5 {
        client.send(&["CACHE.SET", &format!("k{n}"), &format!("id-{n}"), "c=put,d=1900", &value]);
        let call = site.origin.call();
        assert_eq!(call.words.last(), Some(&value));
        call.http("200 OK", "receipt");
        assert_eq!(client.answer().as_deref(), Some("receipt"));
    }
    assert!(site.injected() > 0, "no fault was met");
}

#[test]
fn word_of_a_drain_was_not_heard_since_a_part_of_it_was_read() {
    for rules in ["receive:short:2:0", "receive:EINTR:2:0", "send:short:1:0", "send:EINTR:2:0", PIECEMEAL] {
        let site = Faulty::new(rules);
        let call = site.discovery.call();
        site.switch_on();
        let drained = entry("s-1", site.caches[0].addr, "m", "DRAINING");
        call.http("200 OK", &format!(r#"{{"version":42,"full":false,"servers":[{drained}]}}"#));
        let _watch = site.discovery.call(); // the word has been read
        sleep(GRACE);
        let mut client = site.node.client();
        for n in 0..10 {
            client.get(&format!("k{n}"), "c=read,d=1900");
            let (answer, called) = site.answered(&mut client, "v");
            assert_eq!(answer, "v");
            assert!(!called.contains(&0), "sent to a server that drains");
        }
        assert!(site.injected() > 0, "no fault was met by {rules}");
    }
}

#[test]
fn commands_behind_a_large_one_were_lost_after_sigterm_since_a_part_was_read() {
    for rules in ["receive:short:2:0", "receive:EINTR:3:0", "send:EINTR:3:0", "send:short:2:0", PIECEMEAL] {
        let mut site = Faulty::new(rules);
        let mut client = site.node.client();
        client.ping();
        site.node.terminate();
        site.switch_on();
        sleep(Duration::from_millis(300));
        let value = "x".repeat(40_000);
        let mut text = words(&["CACHE.GET", "k0", "id-0", "c=read,d=1900"]);
        text.push_str(&words(&["CACHE.SET", "k1", "id-1", "c=put,d=1900", &value]));
        text.push_str(&words(&["CACHE.GET", "k2", "id-2", "c=read,d=1900"]));
        client.try_write(&text);
        for n in 0..3 {
            assert_eq!(site.answered(&mut client, "v").0, "v", "command {n} with {rules}");
        }
        assert!(site.node.exit());
        assert!(site.injected() > 0, "no fault was met by {rules}");
    }
}

#[test]
fn a_wall_clock_that_steps_by_an_hour_moves_no_deadline() {
    for rules in ["clock:3600:1:0", "clock:-3600:1:0", "clock:3600:2:0", "clock:-3600:3:0"] {
        let mut site = Faulty::from_start(rules);
        site.serves(READS, "v");
        site.switch_off(); // the clock steps back
        site.serves(READS, "v");
        let mut client = site.node.client();
        client.get("k", "c=read,d=1900");
        site.switch_on();
        let sent = Instant::now();
        site.node.terminate();
        assert!(client.answer().is_some(), "a final answer");
        assert!(sent.elapsed() < WAIT + OVERDUE, "{:?} with {rules}", sent.elapsed());
        assert!(site.node.exit());
        assert!(site.injected() > 0, "the clock was not read with {rules}");
    }
}

#[test]
fn connections_behind_one_that_had_aborted_were_reset_when_the_node_stopped_accepting() {
    for error in ["ECONNABORTED", "EINTR", "EMFILE", "ENOBUFS"] {
        let mut site = Faulty::new(&format!("accept:{error}:2:0"));
        site.node.terminate();
        let told = Instant::now();
        sleep(HELD_UP_AT.saturating_sub(told.elapsed()));
        site.node.signal("-STOP");
        site.switch_on();
        let mut clients: Vec<Client> = (0..6).map(|_| site.node.client()).collect();
        for (n, client) in clients.iter_mut().enumerate() {
            client.send(&["CACHE.GET", &format!("k{n}"), &format!("id-{n}"), "c=read,d=1500"]);
        }
        sleep(GOES_ON_AT.saturating_sub(told.elapsed()));
        site.node.signal("-CONT");
        for (n, client) in clients.iter_mut().enumerate() {
            assert_eq!(site.answered(client, "v").0, "v", "client {n}, {error}");
        }
        assert!(site.injected() > 0, "no fault was met");
        assert!(site.node.exit());
    }
}
