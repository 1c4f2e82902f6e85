//! What a server is told of a client's deadline, and whether it may still be asked, where time passes between the
//! decision to send and the write.

mod common;

use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use common::*;
use lilacquay_fleet::FullListener;

/// What the time that a server is told may exceed what its client has left.
const SLACK: Duration = Duration::from_millis(150);
/// A connection attempt that met a full backlog is repeated by the kernel after this time.
const RETRANSMIT: Duration = Duration::from_secs(1);

/// A listener to which connections come up late.
fn late() -> FullListener {
    FullListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap()
}

/// Lets connections come up from now on, once the kernel has met the full backlog.
fn opened(late: FullListener) -> Fake {
    wait_for_attempt(&late);
    Fake::behind(late.open().unwrap())
}

/// A node whose one cache is there, with an origin.
fn node_with(cache: SocketAddr, settings: &str) -> (Node, Fake, Fake) {
    let (origin, discovery) = (Fake::http(), Fake::http());
    let known = list(41, &[("s-1", cache)], origin.addr);
    (Start { settings, ..Start::new(&known, discovery.addr) }.node(), origin, discovery)
}

/// A node with one cache, an origin, and the watch that waits at discovery.
struct Site {
    cache: Fake,
    origin: Fake,
    discovery: Fake,
    watch: Call,
    node: Node,
}

impl Site {
    fn new(settings: &str) -> Site {
        let cache = Fake::cache();
        let (node, origin, discovery) = node_with(cache.addr, settings);
        let watch = discovery.call();
        Site { cache, origin, discovery, watch, node }
    }

    /// Tells the node of a change; returns once it has been read.
    fn tell(self, entries: &[String]) -> (Fake, Fake, Node) {
        let text = format!(r#"{{"version":42,"full":false,"servers":[{}]}}"#, entries.join(","));
        self.watch.http("200 OK", &text);
        self.discovery.call();
        (self.cache, self.origin, self.node)
    }
}

/// The time that a call tells its server: a cache by its command's facts, the origin by a header.
fn told(call: &Call) -> Duration {
    let header = call.words.iter().find_map(|word| word.strip_prefix("x-facts: "));
    let wait = header.unwrap_or(&call.words[3]).split(',').find_map(|fact| fact.strip_prefix("d="));
    Duration::from_millis(wait.expect("a time").parse().expect("milliseconds"))
}

/// Fails if a call that has just come tells more than its client, which sent it then, has left.
#[track_caller]
fn assert_told_no_more_than_is_left(call: &Call, sent: Instant, wait: Duration) {
    let left = wait.saturating_sub(sent.elapsed());
    assert!(told(call) <= left + SLACK, "told {:?}, {left:?} are left", told(call));
}

const WAIT: Duration = Duration::from_millis(1900);

#[test]
fn a_fetch_behind_a_slow_miss_told_the_origin_a_longer_deadline_than_the_client_had_left() {
    let site = Site::new(SETTINGS);
    let mut client = site.node.client();
    let sent = Instant::now();
    client.get("k", "c=read,d=1900,size=7");
    let miss = site.cache.call();
    sleep(Duration::from_millis(500));
    miss.miss();
    let fetch = site.origin.call();
    assert_told_no_more_than_is_left(&fetch, sent, WAIT);
    let facts = fetch.words.iter().find_map(|word| word.strip_prefix("x-facts: ")).expect("facts");
    let others: Vec<&str> = facts.split(',').filter(|fact| !fact.starts_with("d=")).collect();
    assert_eq!(others, ["c=read", "size=7"], "all else goes on unchanged");
    fetch.http("200 OK", "v");
    assert_eq!(client.answer().as_deref(), Some("v"));
}

#[test]
fn a_retry_of_a_write_told_the_origin_a_longer_deadline_than_the_client_had_left() {
    let site = Site::new(SETTINGS);
    let mut client = site.node.client();
    let sent = Instant::now();
    client.set("k", "c=put,d=1900", "on");
    let mut first = site.origin.call();
    sleep(Duration::from_millis(500));
    first.answer("HTTP/1.1 503 Busy\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
    let retry = site.origin.call();
    assert_told_no_more_than_is_left(&retry, sent, WAIT);
    retry.http("200 OK", "receipt");
    assert_eq!(client.answer().as_deref(), Some("receipt"));
}

/// A read whose connection to the cache comes up late: its client, when that sent it, and its call.
fn read_on_a_late_connection() -> (Client, Instant, Call, impl Sized) {
    let late = late();
    let (node, origin, discovery) = node_with(late.local_addr().unwrap(), SETTINGS);
    let mut client = node.client();
    let sent = Instant::now();
    client.get("k", "c=read,d=1900");
    let cache = opened(late);
    let call = cache.call();
    assert!(sent.elapsed() >= RETRANSMIT / 2, "the connection came up at once");
    (client, sent, call, (node, origin, discovery, cache))
}

#[test]
fn a_first_attempt_whose_connection_came_up_late_was_told_the_deadline_of_the_decision() {
    let (mut client, sent, call, _others) = read_on_a_late_connection();
    assert_told_no_more_than_is_left(&call, sent, WAIT);
    call.value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
}

/// The kernel drops connections that find no place in a listener's backlog, and the node can't know that they come late.
#[test]
fn a_connection_of_a_crowd_came_up_late_since_the_backlog_was_short_while_the_node_was_held_up() {
    const CROWD: usize = 400;
    let site = Site::new(SETTINGS);
    site.node.ping_once();
    site.node.signal("-STOP"); // held up, as the machine may do for 0.15 s
    let connect = |_| TcpStream::connect_timeout(&site.node.addr(), RETRANSMIT / 2);
    let crowd: Vec<_> = (0..CROWD).map_while(|n| connect(n).ok()).collect();
    site.node.signal("-CONT");
    assert_eq!(crowd.len(), CROWD, "came up at once");
}

/// The kernel writes bytes again after this time where the first were dropped.
const REPEATED: Duration = Duration::from_millis(200);

/// A full backlog drops the last packet of a handshake too: the node's end is up, and its first bytes are repeated later.
#[test]
fn a_late_connection_whose_first_bytes_were_repeated_told_a_longer_deadline_than_was_left() {
    let (_client, sent, call, _others) = read_on_a_late_connection();
    let left = WAIT.saturating_sub(sent.elapsed() + REPEATED);
    assert!(told(&call) <= left + SLACK, "told {:?}, {left:?} would be left", told(&call));
}

#[test]
fn a_retry_whose_connection_came_up_late_was_told_a_longer_deadline_than_the_client_had_left() {
    let (site, late) = (Site::new(SETTINGS), late());
    let mut client = site.node.client();
    let sent = Instant::now();
    client.get("k", "c=read,d=1900");
    let first = site.cache.call();
    let drained = entry("s-1", site.cache.addr, "m", "DRAINING");
    let (_cache, _origin, _node) =
        site.tell(&[drained, entry("s-2", late.local_addr().unwrap(), "m", "SERVING")]);
    first.fail();
    let retry = opened(late).call();
    assert!(sent.elapsed() >= RETRANSMIT / 2, "the connection came up at once");
    assert_told_no_more_than_is_left(&retry, sent, WAIT);
    retry.value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
}

#[test]
fn a_hedge_whose_connection_came_up_late_was_told_a_longer_deadline_than_the_client_had_left() {
    let (site, late) = (Site::new(SETTINGS), late());
    let mut client = site.node.client();
    // A few quick answers: what takes long is late then, and there is work saved up for a second attempt.
    for _ in 0..40 {
        client.get("k", "c=read,d=1900");
        site.cache.call().value("v");
        assert_eq!(client.answer().as_deref(), Some("v"));
    }
    let sent = Instant::now();
    client.get("k", "c=read,d=1900");
    let _silent = site.cache.call();
    let (_cache, _origin, _node) = site.tell(&[entry("s-2", late.local_addr().unwrap(), "m", "SERVING")]);
    let hedge = opened(late).call();
    assert!(sent.elapsed() >= RETRANSMIT / 2, "the connection came up at once");
    assert_told_no_more_than_is_left(&hedge, sent, WAIT);
    hedge.value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
}

#[test]
fn a_request_that_lay_unread_was_passed_on_with_the_time_that_it_had_lain() {
    let site = Site::new(SETTINGS);
    let mut client = site.node.client();
    client.send(&["CACHE.GET", "k1", "first", "c=read,d=60000"]);
    let first = site.cache.call();
    // As many answers are owed as one connection may wait for: it is read no further.
    client.write(words(&["PING"]).repeat(1100));
    let sent = Instant::now();
    client.send(&["CACHE.GET", "k2", "second", "c=read,d=1900"]);
    sleep(Duration::from_millis(600));
    first.value("v");
    let second = site.cache.call();
    assert_eq!(second.words[2], "second");
    assert_told_no_more_than_is_left(&second, sent, WAIT);
}

#[test]
fn a_request_that_came_while_the_node_ended_was_passed_on_with_the_time_that_it_had_lain() {
    let site = Site::new(SETTINGS);
    let mut client = site.node.client();
    client.send(&["CACHE.GET", "k1", "first", "c=read,d=1900"]);
    let first = site.cache.call();
    site.node.terminate();
    sleep(Duration::from_millis(100)); // it has been told
    let sent = Instant::now();
    client.send(&["CACHE.GET", "k2", "second", "c=read,d=1900"]);
    // It is read at once, and told what is left then.
    let second = site.cache.call();
    assert_told_no_more_than_is_left(&second, sent, WAIT);
    sleep(Duration::from_millis(600));
    first.value("v");
    second.value("w");
    assert_eq!(client.answer().as_deref(), Some("v"));
    assert_eq!(client.answer().as_deref(), Some("w"));
}

// ---- a request that is over by the time of the write ----

/// The tests' settings where attempts can't be called off.
fn without_cancel() -> String {
    SETTINGS.replace(r#""Cancel":true"#, r#""Cancel":false"#)
}

#[test]
fn an_attempt_was_begun_for_a_client_that_had_left_while_the_connection_came_up() {
    let late = late();
    let (node, _origin, _discovery) = node_with(late.local_addr().unwrap(), &without_cancel());
    let mut client = node.client();
    client.get("k", "c=read,d=60000");
    wait_for_attempt(&late);
    drop(client);
    let cache = opened(late);
    // The test's own connection, and the node's, which carries nothing.
    assert_eq!([cache.closed(), cache.closed()], [0, 1]);
    assert!(cache.called().is_none(), "begun for nobody");
}

#[test]
fn a_retry_was_begun_for_a_client_that_had_left_while_the_node_ended_and_read_no_more() {
    for unread in [false, true] {
        let site = Site::new(SETTINGS);
        let mut client = site.node.client();
        client.send(&["CACHE.GET", "k", "first", "c=read,d=1900"]);
        let call = site.cache.call();
        site.node.terminate();
        sleep(Duration::from_millis(100)); // nothing more is read behind what is owed
        if unread {
            client.ping_unanswered();
        }
        drop(client);
        sleep(Duration::from_millis(200)); // a client that has closed is gone within 0.1 s
        let (cache, mut node) = (site.cache, site.node);
        let _ = call.try_fail(); // its connection may be closed by now
        assert!(node.exit());
        assert!(cache.called().is_none(), "begun for nobody, with something unread: {unread}");
    }
}

#[test]
fn a_retry_was_begun_for_a_client_that_had_left_while_a_large_value_before_it_came() {
    let site = Site::new(SETTINGS);
    let mut client = site.node.client();
    let (mut flowing, second) = two_reads(&mut client, &site.cache, "c=read,d=60000");
    flowing.answer(value_head(200_000) + "begins");
    sleep(Duration::from_millis(100)); // it is being collected
    drop(client);
    sleep(Duration::from_millis(200)); // a client that has closed is gone within 0.1 s
    let _ = second.try_fail(); // its connection may be closed by now
    sleep(Duration::from_millis(300));
    assert!(site.cache.called().is_none(), "begun for nobody");
}

#[test]
fn a_keyed_write_was_repeated_after_its_window_since_the_connection_came_up_late() {
    const CLASS: &str = r#"{"Name":"signup","Aim":800.0,"HardLimit":2000.0,"Effect":"keyed","DedupScope":"all","Window":700.0,"Worth":9.0}"#;
    let settings = SETTINGS.replacen(r#""Classes":["#, &format!(r#""Classes":[{CLASS},"#), 1);
    let listener = FullListener::with_backlog_of_one(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let addr = listener.local_addr().unwrap();
    let (cache, discovery) = (Fake::cache(), Fake::http());
    let known = list(41, &[("s-1", cache.addr)], addr);
    let node = Start { settings: &settings, ..Start::new(&known, discovery.addr) }.node();
    let mut client = node.client();
    client.set("k", "c=signup,d=1900,k=5c0f", "on");
    let (first, _) = listener.accept().unwrap();
    let late = FullListener::fill(listener).unwrap(); // the next connection comes up late
    wait_for_bytes(&first);
    drop(first); // reset with the request unread: it may have run
    wait_for_attempt(&late);
    let origin = Fake::http_behind(late.open().unwrap());
    let answer = client.answer();
    assert!(origin.called().is_none(), "sent again after the window");
    assert_eq!(answer.as_deref(), Some("-ERR failed"));
}

/// Waits until something has come, and leaves it unread.
fn wait_for_bytes(stream: &TcpStream) {
    stream.peek(&mut [0]).unwrap();
}

#[test]
fn a_command_that_was_long_in_the_writing_told_a_longer_deadline_than_the_client_had_left() {
    let settings = SETTINGS.replace(r#""FamilyInfo":{"Mode":"aside","OriginKind":1},"#, "");
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (origin, discovery) = (Fake::http(), Fake::http());
    let known = list(41, &[("s-1", listener.local_addr().unwrap())], origin.addr);
    let known = known.replace(&entry("o", origin.addr, "origin", "SERVING"), "").replace(",]", "]");
    let node = Start { settings: &settings, ..Start::new(&known, discovery.addr) }.node();
    let mut client = node.client();
    let value = "x".repeat(4 << 20);
    let sent = Instant::now();
    client.set("k", "c=put,d=1900", &value);
    let (mut server, _) = listener.accept().unwrap();
    wait_for_bytes(&server);
    sleep(Duration::from_millis(700)); // it reads nothing meanwhile, and then all at once
    let (mut text, mut part) = (Vec::new(), vec![0; 1 << 16]);
    while text.len() <= value.len() {
        match server.read(&mut part) {
            Ok(read @ 1..) => text.extend_from_slice(&part[..read]),
            _ => return, // given up before its last byte: it never ran
        }
    }
    let left = WAIT.saturating_sub(sent.elapsed());
    let head = String::from_utf8_lossy(&text[..200]).into_owned();
    let told = head.split("d=").nth(1).and_then(|rest| rest.split(['\r', ',']).next()).expect("a time");
    let told = Duration::from_millis(told.parse().expect("milliseconds"));
    assert!(told <= left + SLACK, "told {told:?}, {left:?} are left");
}
