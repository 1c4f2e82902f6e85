//! The node's memcached front, command by command, and its hard cases.

mod common;

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use common::{Call, Fake, Node, PATIENCE, Widget, entry, facts_but_time, get, response, set};
use lilacquay_codec::memcache::{Opcode, Packet, Status};

const CLASSES: &str = r#"{"Classes":[
    {"Name":"lookup","Aim":300.0,"HardLimit":2000.0,"Effect":"safe","Worth":3.0},
    {"Name":"reminder-signup","Aim":800.0,"HardLimit":2000.0,"Effect":"keyed","DedupScope":"all","Window":5000.0,"Worth":9.0}],
  "Tenants":[{"Name":"acme","Share":0.5}],
  "Dcs":["a"],"Skus":["m","origin"],"FamilyInfo":{"Mode":"aside","OriginKind":1},
  "Limits":{"Cancel":true,"ConnectTimeout":10000.0,"Keepalive":15000.0,"MaxAttempts":5,"MaxRetryAfter":2000.0,
            "MaxStreams":1,"RetryAfter":true,"SecondCopies":true},
  "Quantum":5.0,"RegistryMode":"automatic","Siblings":1,"Zone":"a"}"#;

const OPTIONS: &str = r#"
[[listener]]
name = "m"
address = "127.0.0.1:0"
[[row]]
prefix = "signup:"
read = "lookup"
write = "reminder-signup"
tenant = "acme"
wait_ms = 2000
repeats = "suffix:#"
[[row]]
prefix = "k"
read = "lookup"
wait_ms = 1500
"#;

/// A node with a memcached listener over RESP2 caches.
struct Stage {
    node: Node,
    at: SocketAddr,
    folder: tempfile::TempDir,
}

impl Stage {
    fn new(options: &str, caches: &[SocketAddr], origin: SocketAddr) -> Stage {
        let folder = tempfile::tempdir().unwrap();
        let file = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
        let cache = |(n, addr): (usize, &SocketAddr)| entry(&format!("s{n}"), *addr, "m", "SERVING");
        let mut entries: Vec<String> = caches.iter().enumerate().map(cache).collect();
        entries.push(entry("o", origin, "origin", "SERVING"));
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap(); // refuses from here on
        let text = format!(
            r#"{{"name":"n0","seed":"8c1f","listen":"127.0.0.1:0","discovery":"{discovery}","limits":{{"sockets":512}},
            "known":{{"version":1,"full":true,"servers":[{}]}},"settings":{CLASSES}}}"#,
            entries.join(",")
        );
        file("node.json", &text);
        file("memcached.toml", options);
        file("password", "secret\n");
        file("serve.toml", "node = \"node.json\"\nmemcached = \"memcached.toml\"\n");
        let node = Node::serving(folder.path());
        let at = node.memcached();
        Stage { node, at, folder }
    }

    fn widget(&self) -> Widget {
        Widget::new(self.at)
    }

    /// Waits until no request is open, by what STAT tells.
    fn nothing_open(&self) {
        let (mut widget, deadline) = (self.widget(), Instant::now() + PATIENCE);
        while stats(&mut widget)["lilacquay_requests_open"] != "0" {
            assert!(Instant::now() < deadline, "requests stay open");
        }
    }

    /// Waits until nothing is open, and spends the time that a connection to a server rests before it is used again.
    fn rest(&self) {
        self.nothing_open();
        let (mut widget, start) = (self.widget(), Instant::now());
        while start.elapsed() < Duration::from_millis(20) {
            stats(&mut widget);
        }
    }
}

fn stats(widget: &mut Widget) -> HashMap<String, String> {
    widget.send(&Packet::new(Opcode::Stat, 1));
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let packets = std::iter::from_fn(|| widget.answer().filter(|packet| !packet.key.is_empty()));
    packets.map(|packet| (text(&packet.key), text(&packet.value))).collect()
}

fn status(packet: &Packet) -> Status {
    Status(packet.status)
}

/// Answers what comes to a server as told, until it is dropped.
struct Answering {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<Vec<Vec<String>>>>,
}

impl Answering {
    fn new(fake: Fake, mut each: impl FnMut(Call) + Send + 'static) -> Answering {
        let over = Arc::new(AtomicBool::new(false));
        let ends = over.clone();
        let thread = std::thread::spawn(move || {
            let mut seen = Vec::new();
            while !ends.load(Ordering::Relaxed) {
                match fake.called() {
                    Some(call) => {
                        seen.push(call.words.clone());
                        each(call);
                    }
                    None => std::thread::yield_now(),
                }
            }
            seen
        });
        Answering { over, thread: Some(thread) }
    }

    /// What came.
    fn seen(mut self) -> Vec<Vec<String>> {
        self.over.store(true, Ordering::Relaxed);
        self.thread.take().expect("not joined yet").join().expect("it answers")
    }
}

impl Drop for Answering {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
    }
}

/// An origin that has keys which end in an even digit, and takes all writes.
fn origin() -> (SocketAddr, Answering) {
    let fake = Fake::http();
    let addr = fake.addr;
    let answering = Answering::new(fake, |call| match &*call.words[0] {
        "GET" if !call.words[1].ends_with(['0', '2', '4', '6', '8']) => call.http("404 Not Found", ""),
        _ => call.http("200 OK", "from the origin"),
    });
    (addr, answering)
}

/// A cache that has nothing.
fn empty() -> (SocketAddr, Answering) {
    let fake = Fake::cache();
    (fake.addr, Answering::new(fake, Call::miss))
}

#[test]
fn two_hundred_quiet_gets_are_each_settled_once_in_order_with_one_cache_dead() {
    let dead = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let (((first, _a), (second, _b)), (origin, _o)) = ((empty(), empty()), origin());
    let stage = Stage::new(OPTIONS, &[first, dead, second], origin);
    let mut widget = stage.widget();
    let mut run = bytes::BytesMut::new();
    (0..200).for_each(|n| get(Opcode::GetKQ, &format!("k{n}"), 1000 + n).put_request(&mut run));
    Packet::new(Opcode::NoOp, 7).put_request(&mut run);
    let start = Instant::now();
    widget.write(&run);
    let mut hits = Vec::new();
    let last = loop {
        let answer = widget.answer().expect("an answer");
        if answer.opcode == Opcode::NoOp as u8 {
            break answer;
        }
        assert_eq!(
            (status(&answer), answer.key.clone()),
            (Status::OK, format!("k{}", answer.opaque - 1000).into())
        );
        assert_eq!(&answer.value[..], b"from the origin");
        hits.push(answer.opaque - 1000);
    };
    assert!(start.elapsed() < Duration::from_millis(1500 + 50 + 500), "500 ms are for a busy machine");
    assert_eq!((last.opaque, status(&last)), (7, Status::OK));
    assert_eq!(hits, (0..200).filter(|n| n % 2 == 0).collect::<Vec<u32>>(), "misses are not seen");
    assert!(widget.try_answer().is_none());
}

#[test]
fn a_run_longer_than_what_may_be_owed_waits_and_comes_whole() {
    let (fake, (origin, _o)) = (Fake::cache(), origin());
    let cache = fake.addr;
    let _c = Answering::new(fake, |call| call.value("v"));
    let stage = Stage::new(&OPTIONS.replace("wait_ms = 1500", "wait_ms = 20000"), &[cache], origin);
    let mut widget = stage.widget();
    let mut run = bytes::BytesMut::new();
    (0..3000).for_each(|n| get(Opcode::Get, "k0", n).put_request(&mut run));
    widget.write(&run);
    for n in 0..3000 {
        let answer = widget.answer().expect("an answer");
        assert_eq!((answer.opaque, status(&answer)), (n, Status::OK), "{:?}", answer.value);
    }
}

#[test]
fn the_error_of_a_quiet_write_is_seen_and_its_success_is_not() {
    let (cache, _c) = empty();
    let fake = Fake::http();
    let origin = fake.addr;
    let mut times = 0;
    let answering = Answering::new(fake, move |call| {
        times += 1;
        call.http(if times == 1 { "500 Failed" } else { "200 OK" }, "");
    });
    let stage = Stage::new(OPTIONS, &[cache], origin);
    let mut widget = stage.widget();
    widget.send(&set(Opcode::SetQ, "k1", "v", 1));
    let failed = widget.answer().unwrap();
    assert_eq!((failed.opaque, status(&failed)), (1, Status::INTERNAL_ERROR));
    widget.send(&set(Opcode::SetQ, "k1", "v", 2));
    widget.send(&Packet::new(Opcode::NoOp, 3));
    assert_eq!(widget.answer().unwrap().opaque, 3);
    let seen = answering.seen();
    assert_eq!(seen.len(), 2, "a write that is no keyed one is not sent again");
}

#[test]
fn a_signup_whose_server_breaks_after_the_last_byte_runs_once_and_its_repeat_is_known() {
    let (cache, _c) = empty();
    let fake = Fake::http();
    let origin = fake.addr;
    let mut times = 0;
    let answering = Answering::new(fake, move |call| {
        times += 1;
        if times == 1 { call.close() } else { call.http("200 OK", "receipt") }
    });
    let stage = Stage::new(OPTIONS, &[cache], origin);
    let mut widget = stage.widget();
    widget.send(&set(Opcode::Set, "signup:12#5c0f", "v", 1));
    assert_eq!(status(&widget.answer().unwrap()), Status::OK);
    // The widget loses its connection and sends it again on another.
    let mut again = stage.widget();
    again.send(&set(Opcode::Set, "signup:12#5c0f", "v", 9));
    assert_eq!(status(&again.answer().unwrap()), Status::OK);
    again.send(&set(Opcode::Set, "signup:12#5c10", "v", 10));
    assert_eq!(status(&again.answer().unwrap()), Status::OK);
    let seen = answering.seen();
    let word = |words: &Vec<String>, name: &str| {
        words.iter().find_map(|word| word.strip_prefix(name)).expect(name).to_owned()
    };
    assert!(seen.iter().all(|words| words[1] == "/signup:12"), "{seen:?}");
    let facts = seen.iter().map(|words| facts_but_time(&word(words, "x-facts: "), 2000));
    let facts: Vec<String> = facts.collect();
    assert!(facts[0].starts_with("c=reminder-signup,t=acme,k="), "{facts:?}");
    assert!(facts[0] == facts[1] && facts[1] == facts[2] && facts[2] != facts[3], "{facts:?}");
    let ids: Vec<String> = seen.iter().map(|words| word(words, "x-correlation-id: ")).collect();
    assert!(ids[0] == ids[1] && ids[1] != ids[2] && ids[2] != ids[3], "{ids:?}");
    assert!(ids[0].ends_with("-00000001") && ids[3].ends_with("-0000000a"), "{ids:?}");
}

#[test]
fn a_client_that_closes_in_the_midst_of_a_quiet_run_leaves_nothing_open() {
    let (cache, (origin, _o)) = (Fake::cache(), origin());
    let stage = Stage::new(OPTIONS, &[cache.addr], origin);
    let mut widget = stage.widget();
    let mut run = bytes::BytesMut::new();
    (0..50).for_each(|n| get(Opcode::GetQ, &format!("k{n}"), n).put_request(&mut run));
    run.truncate(run.len() - 1);
    widget.write(&run);
    let held = cache.call();
    assert_ne!(stats(&mut stage.widget())["lilacquay_requests_open"], "0");
    drop(widget);
    stage.nothing_open();
    cache.closed();
    drop(held);
}

#[test]
fn each_port_tells_the_other_protocol_apart_with_one_clear_error_and_a_close() {
    let ((cache, _c), (origin, _o)) = (empty(), origin());
    let stage = Stage::new(OPTIONS, &[cache], origin);
    let mut widget = stage.widget();
    widget.write(common::words(&["CACHE.GET", "k", "i", "c=lookup,d=100"]).as_bytes());
    assert_eq!(widget.rest(), b"-ERR this port speaks memcached's binary protocol\r\n");
    let mut widget = Widget::new(stage.node.addr());
    widget.send(&get(Opcode::Get, "k0", 1));
    assert_eq!(widget.rest(), b"-ERR malformed command\r\n");
    // Bytes of neither.
    let mut widget = stage.widget();
    widget.write(&[0x16, 3, 1, 0]);
    let mut text = bytes::BytesMut::from(&widget.rest()[..]);
    let answer = lilacquay_codec::memcache::next_response(&mut text, 1000).unwrap().unwrap();
    assert_eq!((status(&answer), text.len()), (Status::INVALID_ARGUMENTS, 0));
}

#[test]
fn a_header_that_claims_four_gigabytes_is_refused_at_once_and_one_that_is_a_bit_too_long_is_read_over() {
    let ((cache, _c), (origin, _o)) = (empty(), origin());
    let stage = Stage::new(OPTIONS, &[cache], origin);
    let mut widget = stage.widget();
    let mut header = bytes::BytesMut::new();
    set(Opcode::Set, "k1", "", 0xdead_beef).put_request(&mut header);
    header[8..12].copy_from_slice(&u32::MAX.to_be_bytes());
    widget.write(&header[..24]);
    let answer = widget.answer().unwrap();
    assert_eq!((status(&answer), answer.opaque), (Status::VALUE_TOO_LARGE, 0xdead_beef));
    assert!(widget.answer().is_none(), "closed");
    let mut widget = stage.widget();
    widget.send(&set(Opcode::Set, "k1", &"x".repeat((4 << 20) + 1), 1));
    assert_eq!(status(&widget.answer().unwrap()), Status::VALUE_TOO_LARGE);
    widget.send(&set(Opcode::Set, "k1", &"x".repeat(4 << 20), 2));
    assert_eq!(status(&widget.answer().unwrap()), Status::OK);
}

#[test]
fn a_client_that_never_reads_holds_back_nobody_else() {
    let fake = Fake::cache();
    let cache = fake.addr;
    let value = "x".repeat(64 << 10);
    let _c = Answering::new(fake, move |call| call.value(&value));
    let (origin, _o) = origin();
    let stage = Stage::new(OPTIONS, &[cache], origin);
    let mut deaf = stage.widget();
    let mut run = bytes::BytesMut::new();
    (0..1000).for_each(|n| get(Opcode::GetQ, "k0", n).put_request(&mut run));
    deaf.write(&run);
    for n in 0..50 {
        let mut widget = stage.widget();
        widget.send(&get(Opcode::Get, "k0", n));
        assert_eq!(status(&widget.answer().unwrap()), Status::OK);
    }
    drop(deaf);
    stage.nothing_open();
}

#[test]
fn each_opcode_is_answered_as_the_page_says() {
    use Opcode::*;
    let ((cache, _c), (origin, _o)) = (empty(), origin());
    let stage = Stage::new(OPTIONS, &[cache], origin);
    for &opcode in Opcode::ALL {
        let mut widget = stage.widget();
        let packet = match opcode {
            Get | GetQ | GetK | GetKQ => get(opcode, "k2", 5),
            Set | SetQ | Add | AddQ | Replace | ReplaceQ => set(opcode, "k2", "v", 5),
            Delete | DeleteQ => get(opcode, "k2", 5),
            _ => Packet::new(opcode, 5),
        };
        let wanted = match opcode {
            Get | GetQ | GetK | GetKQ | Set | NoOp | Version | Stat | Quit => Some(Status::OK),
            SetQ | QuitQ => None,
            SaslList | SaslAuth | SaslStep => Some(Status::UNKNOWN_COMMAND),
            _ => Some(Status::NOT_SUPPORTED),
        };
        widget.send(&packet);
        if let Some(wanted) = wanted {
            let answer = widget.answer().unwrap();
            assert_eq!(
                (status(&answer), answer.opcode, answer.opaque),
                (wanted, opcode as u8, 5),
                "{opcode:?}"
            );
        }
        if opcode == Stat {
            while !widget.answer().unwrap().key.is_empty() {}
        }
        widget.send(&Packet::new(NoOp, 6));
        match opcode {
            Quit | QuitQ => assert!(widget.rest().is_empty(), "{opcode:?}"),
            _ => assert_eq!(widget.answer().unwrap().opaque, 6, "{opcode:?}"),
        }
    }
    let mut widget = stage.widget();
    widget.send(&Packet { opcode: 0x1f, ..Packet::new(Get, 5) });
    assert_eq!(status(&widget.answer().unwrap()), Status::UNKNOWN_COMMAND);
}

#[test]
fn commands_that_can_t_be_kept_to_are_refused_and_the_connection_stays() {
    let ((cache, _c), (origin, _o)) = (empty(), origin());
    let stage = Stage::new(OPTIONS, &[cache], origin);
    let mut widget = stage.widget();
    let with = |packet: Packet, change: fn(&mut Packet)| {
        let mut packet = packet;
        change(&mut packet);
        packet
    };
    let set = || set(Opcode::Set, "k1", "v", 1);
    let cases = [
        (with(set(), |p| p.cas = 3), Status::NOT_SUPPORTED),
        (with(set(), |p| p.extras = Bytes::from_static(&[0, 0, 0, 1, 0, 0, 0, 0])), Status::NOT_SUPPORTED),
        (with(set(), |p| p.extras = Bytes::from_static(&[0, 0, 0, 0, 0, 0, 0, 1])), Status::NOT_SUPPORTED),
        (with(set(), |p| p.extras = Bytes::new()), Status::INVALID_ARGUMENTS),
        (with(set(), |p| p.key = "k".repeat(251).into()), Status::INVALID_ARGUMENTS),
        (with(set(), |p| p.key = Bytes::new()), Status::INVALID_ARGUMENTS),
        (with(set(), |p| p.key = Bytes::from_static(b"k\xff")), Status::INVALID_ARGUMENTS),
        (with(set(), |p| p.key = "other".into()), Status::INVALID_ARGUMENTS),
        (with(get(Opcode::Get, "k1", 1), |p| p.value = "v".into()), Status::INVALID_ARGUMENTS),
        (get(Opcode::Stat, "items", 1), Status::KEY_NOT_FOUND),
    ];
    for (packet, wanted) in cases {
        widget.send(&packet);
        assert_eq!(status(&widget.answer().unwrap()), wanted, "{packet:?}");
    }
}

#[test]
fn conditions_and_terms_go_to_an_origin_that_keeps_them() {
    let (cache, _c) = empty();
    let fake = Fake::http();
    let origin = fake.addr;
    let answering = Answering::new(fake, |call| match &*call.words[0] {
        "GET" => call.http("200 OK\r\nX-Flags: 7", "v"),
        "DELETE" => call.http("404 Not Found", ""),
        _ if call.words.iter().any(|word| word.starts_with("if-")) => {
            call.http("412 Precondition Failed", "")
        }
        _ => call.http("200 OK", ""),
    });
    let options = format!("{OPTIONS}[writes]\nconditions = true\nflags = true\nexpiry = true\n");
    let stage = Stage::new(&options, &[cache], origin);
    let mut widget = stage.widget();
    let cases = [
        (set(Opcode::Add, "k1", "v", 1), Status::KEY_EXISTS),
        (set(Opcode::AddQ, "k1", "v", 1), Status::KEY_EXISTS),
        (set(Opcode::Replace, "k1", "v", 1), Status::KEY_NOT_FOUND),
        (set(Opcode::ReplaceQ, "k1", "v", 1), Status::KEY_NOT_FOUND),
        (get(Opcode::Delete, "k1", 1), Status::KEY_NOT_FOUND),
        (get(Opcode::DeleteQ, "k1", 1), Status::KEY_NOT_FOUND),
        (
            Packet {
                extras: Bytes::from_static(&[0, 0, 0, 7, 0, 0, 0, 60]),
                ..set(Opcode::Set, "k1", "v", 1)
            },
            Status::OK,
        ),
    ];
    for (packet, wanted) in cases {
        widget.send(&packet);
        assert_eq!(status(&widget.answer().unwrap()), wanted, "{packet:?}");
    }
    widget.send(&get(Opcode::Get, "k1", 1));
    assert_eq!(&widget.answer().unwrap().extras[..], [0, 0, 0, 7]);
    let seen = answering.seen();
    let has = |n: usize, text: &str| assert!(seen[n].iter().any(|word| word == text), "{:?}", seen[n]);
    has(0, "if-none-match: *");
    has(2, "if-match: *");
    let facts = seen[6].iter().find_map(|word| word.strip_prefix("x-facts: ")).expect("facts");
    assert_eq!(facts_but_time(facts, 1500), "flags=7,expiry=60");
}

#[test]
fn who_has_not_logged_in_gets_nothing_and_a_third_wrong_password_closes() {
    let ((cache, _c), (origin, _o)) = (empty(), origin());
    let options =
        OPTIONS.replace("[[row]]\nprefix = \"k\"", "[[row]]\nuser = \"ann\"\nprefix = \"k\"").replacen(
            "\n[[row]]",
            "\nlogin = true\n[[user]]\nname = \"ann\"\npassword_file = \"password\"\n[[row]]",
            1,
        );
    let stage = Stage::new(&options, &[cache], origin);
    assert!(stage.folder.path().join("password").exists());
    let login = |message: &'static [u8]| Packet {
        value: Bytes::from_static(message),
        ..get(Opcode::SaslAuth, "PLAIN", 3)
    };
    let mut widget = stage.widget();
    widget.send(&Packet::new(Opcode::SaslList, 1));
    assert_eq!(&widget.answer().unwrap().value[..], b"PLAIN");
    for quiet_too in [get(Opcode::Get, "k2", 1), get(Opcode::GetQ, "k2", 1), Packet::new(Opcode::NoOp, 1)] {
        widget.send(&quiet_too);
        assert_eq!(status(&widget.answer().unwrap()), Status::AUTHENTICATION);
    }
    widget.send(&login(b"\0ann\0secret"));
    assert_eq!(status(&widget.answer().unwrap()), Status::OK);
    widget.send(&get(Opcode::Get, "k2", 1));
    assert_eq!(status(&widget.answer().unwrap()), Status::OK);
    // A login that fails takes the place of the one before.
    widget.send(&login(b"\0ann\0wrong"));
    assert_eq!(status(&widget.answer().unwrap()), Status::AUTHENTICATION);
    widget.send(&get(Opcode::Get, "k2", 1));
    assert_eq!(status(&widget.answer().unwrap()), Status::AUTHENTICATION);
    widget.send(&login(b"\0ann\0wrong"));
    widget.send(&login(b"\0ann\0wrong"));
    assert_eq!(status(&widget.answer().unwrap()), Status::AUTHENTICATION);
    assert_eq!(status(&widget.answer().unwrap()), Status::AUTHENTICATION);
    assert!(widget.answer().is_none(), "closed");
}

#[test]
fn a_client_library_has_a_whole_session_as_a_widget_would() {
    let ((cache, _c), (origin, _o)) = (empty(), origin());
    let conditions = format!("{OPTIONS}[writes]\nconditions = true\n");
    let options = conditions.replacen(
        "\n[[row]]",
        "\nlogin = true\n[[user]]\nname = \"ann\"\npassword_file = \"password\"\n[[row]]",
        1,
    );
    let stage = Stage::new(&options, &[cache], origin);
    let url = format!("memcache://ann:secret@{}?protocol=binary&timeout=20", stage.at);
    let client = memcache::connect(url).unwrap();
    assert!(client.version().unwrap()[0].1.starts_with(env!("CARGO_PKG_VERSION")));
    assert_eq!(client.get::<String>("k2").unwrap(), Some("from the origin".into()));
    assert_eq!(client.get::<String>("k1").unwrap(), None);
    let all: HashMap<String, String> = client.gets(&["k0", "k1", "k2", "k3", "k4"]).unwrap();
    let mut keys: Vec<&String> = all.keys().collect();
    keys.sort();
    assert_eq!(keys, ["k0", "k2", "k4"], "what is missing is left out");
    client.set("k6", "tuesday", 0).unwrap();
    client.set("signup:7#1", "tuesday", 0).unwrap();
    client.add("k6", "tuesday", 0).unwrap();
    client.replace("k6", "tuesday", 0).unwrap();
    assert!(client.delete("k6").unwrap());
    assert!(client.set("k6", "tuesday", 60).is_err(), "an expiry is not kept");
    assert!(client.increment("k6", 1).is_err() && client.append("k6", "x").is_err());
    assert!(client.flush().is_err() && client.touch("k6", 60).is_err());
    assert_eq!(client.get::<String>("k2").unwrap(), Some("from the origin".into()), "still in step");
    assert!(client.stats().unwrap()[0].1.contains_key("uptime"));
}

#[test]
fn what_is_not_the_answer_to_a_request_ends_its_connection_and_is_not_served() {
    // Each with what comes in place of the answer to the request of this opaque, and whether a value is served
    // from it.
    type Spoilt = fn(u32) -> Vec<u8>;
    fn good(opaque: u32) -> Packet {
        let (extras, value) = (Bytes::from_static(&[0; 4]), "first".into());
        Packet { extras, value, ..Packet::new(Opcode::Get, opaque) }
    }
    let cases: [(&str, Spoilt, bool); 6] = [
        ("an opaque that is not ours", |n| response(&good(n + 1)), false),
        ("another opcode", |n| response(&Packet { opcode: Opcode::GetK as u8, ..good(n) }), false),
        ("a request", |n| [&[0x80], &response(&good(n))[1..]].concat(), false),
        ("a body too long", |n| [&response(&good(n))[..8], &[0xff; 16]].concat(), false),
        ("no flags", |n| response(&Packet { extras: Bytes::new(), ..good(n) }), false),
        ("more behind it", |n| [&response(&good(n))[..], &[0x81]].concat(), true),
    ];
    for (what, spoilt, served) in cases {
        let (fakes, (origin, _o)) = ([Fake::memcached(), Fake::memcached()], origin());
        let options = format!("{OPTIONS}[boxes]\nkinds = [\"m\"]\n");
        let stage = Stage::new(&options, &[fakes[0].addr, fakes[1].addr], origin);
        let mut widget = stage.widget();
        widget.send(&get(Opcode::Get, "k1", 1));
        let (first, mut call) = next_call(&fakes);
        let opaque = call.opaque();
        call.answer(spoilt(opaque));
        if !served {
            let (second, call) = next_call(&fakes);
            assert_ne!(first, second, "{what}");
            call.value("second");
        }
        let value = if served { "first" } else { "second" };
        assert_eq!(&widget.answer().unwrap().value[..], value.as_bytes(), "{what}");
        fakes[first].closed();
    }
}

fn next_call(fakes: &[Fake; 2]) -> (usize, Call) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        assert!(Instant::now() < deadline, "no call");
        if let Some((n, call)) = fakes.iter().enumerate().find_map(|(n, fake)| Some((n, fake.called()?))) {
            return (n, call);
        }
        std::thread::yield_now();
    }
}

#[test]
fn bytes_of_any_kind_neither_end_the_node_nor_fill_it() {
    let ((cache, _c), (origin, _o)) = (empty(), origin());
    let stage = Stage::new(OPTIONS, &[cache], origin);
    let mut rng = fastrand::Rng::with_seed(3);
    for _ in 0..300 {
        let mut run = bytes::BytesMut::new();
        for _ in 0..rng.usize(1..6) {
            let opcode = Opcode::ALL[rng.usize(..Opcode::ALL.len())];
            set(opcode, &format!("k{}", rng.u8(..)), "value", rng.u32(..)).put_request(&mut run);
        }
        for _ in 0..rng.usize(0..4) {
            let place = rng.usize(..run.len());
            run[place] = rng.u8(..);
        }
        run.truncate(rng.usize(1..=run.len()));
        let mut widget = stage.widget();
        widget.write(&run);
        widget.leave(); // and reads to the end: the node closes once it has answered
        widget.rest();
    }
    stage.nothing_open();
}

#[test]
fn word_to_stop_answers_what_was_taken_and_a_reload_says_that_the_options_stay() {
    let (cache, (origin, _o)) = (Fake::cache(), origin());
    let mut stage = Stage::new(OPTIONS, &[cache.addr], origin);
    let file = stage.folder.path().join("memcached.toml");
    std::fs::write(&file, OPTIONS.replace("wait_ms = 1500", "wait_ms = 1501")).unwrap();
    stage.node.reload_files();
    stage.node.logged("the memcached options change only with a restart");
    std::fs::write(&file, "[[row]]\nread = \"none\"\n").unwrap();
    stage.node.reload_files();
    stage.node.logged("memcached.toml:2: row[0].read: no class \"none\"");
    let mut widget = stage.widget();
    widget.send(&get(Opcode::GetQ, "k2", 1));
    widget.send(&Packet::new(Opcode::NoOp, 2));
    let call = cache.call();
    stage.node.terminate();
    call.value("v");
    assert_eq!(widget.answer().unwrap().opaque, 1);
    assert_eq!(widget.answer().unwrap().opaque, 2);
    assert!(widget.answer().is_none(), "closed");
    assert!(stage.node.exit());
}

/// Values over 64 KiB flow in this protocol too, on both sides, with the flags and key that stand before them.
#[test]
fn large_values_flow_from_a_cache_to_a_widget_with_their_flags_and_key() {
    let (cache, origin) = (Fake::memcached(), Fake::http());
    let options = format!("{OPTIONS}\n[boxes]\nkinds = [\"m\"]\n");
    let stage = Stage::new(&options, &[cache.addr], origin.addr);
    let value: Vec<u8> = (0..700_000_u32).map(|n| b'a' + (n % 23) as u8).collect();
    for (opcode, key) in [(Opcode::Get, ""), (Opcode::GetK, "k1"), (Opcode::GetKQ, "k1")] {
        let mut widget = stage.widget();
        widget.send(&get(opcode, "k1", 77));
        let mut call = cache.call();
        let packet = Packet {
            opcode: Opcode::Get as u8,
            opaque: call.opaque(),
            extras: Bytes::from_static(&[0, 0, 0, 9]),
            value: value.clone().into(),
            ..Packet::default()
        };
        let text = response(&packet);
        let giving = std::thread::spawn(move || {
            // Head and value in pieces that end nowhere in particular.
            text.chunks(10_007).for_each(|piece| call.answer(piece));
        });
        let answer = widget.answer().unwrap();
        giving.join().unwrap();
        assert_eq!(
            (answer.opaque, &answer.extras[..], &answer.key[..]),
            (77, &[0, 0, 0, 9][..], key.as_bytes())
        );
        assert!(answer.value == value, "{} bytes of {}", answer.value.len(), value.len());
        stage.rest();
    }
    // The connection was used again each time.
    let mut widget = stage.widget();
    widget.send(&get(Opcode::Get, "k1", 78));
    let call = cache.call();
    assert_eq!(call.connection, 0);
    call.value("small");
    assert_eq!(&widget.answer().unwrap().value[..], b"small");
}
