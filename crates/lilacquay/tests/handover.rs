//! A process is replaced beside itself: what the new one is told, and who holds what when one of them hangs or dies.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::Path;
use std::time::{Duration, Instant};

use common::{Client, Fake, Node, PATIENCE, Start, list};
use lilacquay_fleet::clients::{self, Load};
use lilacquay_fleet::script::Step;
use lilacquay_fleet::verdict::check;
use lilacquay_fleet::{Fleet, FleetConfig};
use lilacquay_handover::messages;

const FACTS: &str = "c=read,d=2000";

/// A platform: it holds the socket, and the folder that all processes share.
struct Platform {
    listener: TcpListener,
    passed: OwnedFd,
    folder: tempfile::TempDir,
    cache: Fake,
    other: Fake,
    origin: Fake,
    discovery: Fake,
    sockets: usize,
}

impl Platform {
    fn new() -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let passed = rustix::io::dup(&listener).unwrap(); // inherited by programs that are executed
        let (cache, other, origin, discovery) = (Fake::cache(), Fake::cache(), Fake::http(), Fake::http());
        Platform {
            listener,
            passed,
            folder: tempfile::tempdir().unwrap(),
            cache,
            other,
            origin,
            discovery,
            sockets: 1024,
        }
    }

    fn start(&self) -> (Node, SocketAddr) {
        self.start_in(self.folder.path())
    }

    fn start_in(&self, folder: &Path) -> (Node, SocketAddr) {
        let known = list(1, &[("c", self.cache.addr), ("other", self.other.addr)], self.origin.addr);
        let environment = [
            ("EDGE_PASSED_SOCKET", self.passed.as_raw_fd().to_string()),
            ("TMPDIR", folder.to_string_lossy().into_owned()),
            // Where the folder is used, the node is told where it listens: all its processes meet by that port.
            ("EDGE_LISTEN", self.listener.local_addr().unwrap().to_string()),
        ];
        let (node, admin) =
            Start { sockets: self.sockets, ..Start::new(&known, self.discovery.addr) }.operated(&environment);
        until("it is ready", || say(admin, "HEALTH") == "ACK\n");
        (node, admin)
    }
}

fn say(admin: SocketAddr, call: &str) -> String {
    let mut stream = TcpStream::connect(admin).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.write_all(format!("{call}\n").as_bytes()).unwrap();
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

fn figure(admin: SocketAddr, name: &str) -> i64 {
    let dump = say(admin, "DUMP");
    let line = dump.lines().find_map(|line| line.strip_prefix(&format!("edge_edge.{name}:")));
    line.and_then(|line| line.split('|').next()?.parse().ok()).unwrap_or_else(|| panic!("{name} in {dump}"))
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "{what}");
    }
}

/// Serves one request by whichever process takes it.
fn served(platform: &Platform, at: &Node) {
    let mut client = at.client();
    client.get("k", FACTS);
    let start = Instant::now();
    let call = loop {
        if let Some(call) = platform.cache.called().or_else(|| platform.other.called()) {
            break call;
        }
        assert!(start.elapsed() < PATIENCE, "a call");
    };
    call.value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
}

#[test]
fn the_next_process_goes_on_from_the_list_that_the_one_before_goes_by() {
    let platform = Platform::new();
    let (mut old, old_admin) = platform.start();
    // Discovery tells a drain to the old process alone.
    let drained = format!(
        r#"{{"version":7,"full":false,"servers":[{}]}}"#,
        common::entry("other", platform.other.addr, "m", "DRAINING")
    );
    platform.discovery.call().http("200 OK", &drained);
    until("the drain is known", || figure(old_admin, "skipped_cache_servers") == 1);
    let watch = platform.discovery.call();
    assert!(watch.words[1].contains("after=7"), "{:?}", watch.words);
    let (new, new_admin) = platform.start();
    assert!(new.early.iter().any(|line| line.contains("hands over")), "{:?}", new.early);
    assert_eq!(figure(new_admin, "skipped_cache_servers"), 1, "told before its yes");
    // And it follows discovery from there.
    until("the new one asks for what comes behind", || {
        platform.discovery.called_with(|call| call.words[1].contains("after=7"))
    });
    old.terminate();
    assert!(old.exit());
    new.logged("all resources are available to this process");
    served(&platform, &new);
    // The next one finds it where it found the one before.
    let (third, third_admin) = platform.start();
    assert!(third.early.iter().any(|line| line.contains("hands over")), "{:?}", third.early);
    assert_eq!(figure(third_admin, "skipped_cache_servers"), 1);
}

#[test]
fn whichever_of_the_two_is_killed_the_other_has_all_again() {
    let platform = Platform::new();
    let (old, _) = platform.start();
    for _ in 0..3 {
        let (new, _) = platform.start();
        new.signal("-KILL");
        drop(new); // waited for, as the platform does
        old.logged("the successor process has ended");
        served(&platform, &old);
    }
    let (new, _) = platform.start();
    old.signal("-KILL");
    new.logged("all resources are available to this process");
    drop(old);
    served(&platform, &new);
    let (next, _) = platform.start();
    assert!(next.early.iter().any(|line| line.contains("hands over")));
}

#[test]
fn a_second_upgrade_straight_behind_the_first_waits_for_its_turn() {
    let platform = Platform::new();
    let (mut first, _) = platform.start();
    // A request holds the first one open.
    let mut client = first.client();
    client.get("k", FACTS);
    let open = [&platform.cache, &platform.other];
    let start = Instant::now();
    let call = loop {
        if let Some(call) = open.iter().find_map(|cache| cache.called()) {
            break call;
        }
        assert!(start.elapsed() < PATIENCE);
    };
    let (mut second, second_admin) = platform.start();
    first.terminate();
    let first_ends = std::thread::spawn(move || {
        first.logged("requests a takeover"); // the second one
        first.logged("requests a takeover"); // the third, which must wait
        call.value("v");
        assert_eq!(client.answer().as_deref(), Some("v"));
        assert!(first.exit());
    });
    let (third, third_admin) = platform.start();
    first_ends.join().unwrap();
    assert!(
        third.early.iter().position(|line| line.contains("second address"))
            < third.early.iter().position(|line| line.contains("hands over")),
        "its second address answers while it waits: {:?}",
        third.early
    );
    assert!(third.early.iter().any(|line| line.contains("hands over")), "{:?}", third.early);
    assert_eq!(say(second_admin, "HEALTH"), "ACK\n");
    second.terminate();
    assert!(second.exit());
    third.logged("all resources are available to this process");
    assert_eq!(say(third_admin, "HEALTH"), "ACK\n");
    served(&platform, &third);
}

/// The write of a keyed class is under way at the old process when its client asks the new one again, as clients do.
#[test]
fn a_keyed_write_asked_again_at_the_new_process_carries_the_same_key_and_each_answers_its_own() {
    let platform = Platform::new();
    let (mut old, _) = platform.start();
    let mut first = old.client();
    first.set("k", "c=put,d=2000,k=5c0f6e1a", "value");
    let under_way = platform.origin.call();
    let (new, _) = platform.start();
    old.terminate();
    old.logged("finishing, another process serves");
    let mut again = new.client();
    again.send(&["CACHE.SET", "k", "another-id", "c=put,d=2000,k=5c0f6e1a", "value"]);
    let repeat = platform.origin.call();
    for call in [&under_way, &repeat] {
        assert!(call.words.iter().any(|word| word.contains("k=5c0f6e1a")), "{:?}", call.words);
    }
    repeat.http("200 OK", "second");
    under_way.http("200 OK", "first");
    assert_eq!(again.answer().as_deref(), Some("second"));
    assert_eq!(first.answer().as_deref(), Some("first"), "the old one answers what it has taken");
    assert!(old.exit());
    assert!(platform.origin.called().is_none(), "nothing is sent again by itself");
}

#[test]
fn one_before_that_stands_still_holds_nobody_up() {
    let platform = Platform::new();
    let (old, _) = platform.start();
    old.signal("-STOP");
    let start = Instant::now();
    let (new, _) = platform.start();
    assert!(start.elapsed() < Duration::from_secs(6), "{:?}", start.elapsed());
    assert!(new.early.iter().any(|line| line.contains("hands nothing over")), "{:?}", new.early);
    old.signal("-KILL");
    drop(old);
    until("it is alone", || platform.folder.path().join(socket(&new)).exists());
    served(&platform, &new);
}

fn socket(node: &Node) -> String {
    format!("lilacquay-{}.next", node.addr().port())
}

#[test]
fn what_the_dead_left_in_the_folder_and_a_folder_that_cannot_be_used_do_no_harm() {
    let platform = Platform::new();
    let port = platform.listener.local_addr().unwrap().port();
    let at = |ending: &str| platform.folder.path().join(format!("lilacquay-{port}.{ending}"));
    std::fs::write(at("next"), "rubbish").unwrap();
    std::fs::write(at("new"), "rubbish").unwrap();
    std::fs::write(at("lock"), vec![0; 100]).unwrap();
    let (node, _) = platform.start();
    served(&platform, &node);
    let (next, _) = platform.start();
    assert!(next.early.iter().any(|line| line.contains("hands over")), "it listens where the rubbish was");
    drop((node, next));
    let nowhere = Path::new("/proc/none");
    let (node, _) = platform.start_in(nowhere);
    assert!(node.early.iter().any(|line| line.contains("nothing is handed over")), "{:?}", node.early);
    served(&platform, &node);
}

#[test]
fn who_speaks_otherwise_at_the_socket_is_passed_over() {
    let platform = Platform::new();
    let (node, _) = platform.start();
    let path = platform.folder.path().join(socket(&node));
    for words in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"LQ\x02 another form", b"", b"LQ\x01\0\xff\xff\xff\xff"] {
        let mut stranger = std::os::unix::net::UnixStream::connect(&path).unwrap();
        stranger.write_all(words).unwrap();
    }
    let (next, _) = platform.start();
    assert!(next.early.iter().any(|line| line.contains("hands over")), "{:?}", next.early);
    served(&platform, &next);
}

/// How many upgrades in a row; CI plays a few, `UPGRADES=50 cargo test --test handover upgrades_in_a_row` more.
fn upgrades() -> u32 {
    std::env::var("UPGRADES").ok().and_then(|n| n.parse().ok()).unwrap_or(5)
}

/// Under load, with writes and kept connections, and a box that is drained and comes back in the midst.
#[test]
fn upgrades_in_a_row_lose_nothing_and_break_no_rule() {
    let every = Duration::from_millis(1500);
    let time = every * (upgrades() + 1);
    let fleet = Fleet::start(FleetConfig { seed: 3, ..FleetConfig::default() }).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let passed = rustix::io::dup(&listener).unwrap();
    let folder = tempfile::tempdir().unwrap();
    let at = listener.local_addr().unwrap();
    let config = fleet.configuration(at, 384);
    let start = || {
        let environment = [
            ("EDGE_PASSED_SOCKET", passed.as_raw_fd().to_string()),
            ("TMPDIR", folder.path().to_string_lossy().into_owned()),
        ];
        let (node, admin) = Node::operated_with(&config, &environment);
        until("it is ready", || say(admin, "HEALTH") == "ACK\n");
        node
    };
    let mut serving = start();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
    let load = Load { keep_requests: true, rate: 150.0, ..Load::standard(at, time, 3) };
    let running = runtime.spawn(clients::run(load, fleet.clock().clone(), Default::default()));
    let begun = Instant::now();
    for n in 1..=upgrades() {
        std::thread::sleep((begun + every * n).saturating_duration_since(Instant::now()));
        let server = "box-1".to_owned();
        fleet.step(if n % 2 == 1 { Step::Drain { server } } else { Step::Undrain { server } }).unwrap();
        let next = start();
        serving.terminate();
        let mut before = std::mem::replace(&mut serving, next);
        assert!(before.exit(), "the one before ends by itself");
    }
    let report = runtime.block_on(running).unwrap();
    let (records, dropped) = fleet.records();
    let broken = check((&records, dropped), &report.requests, report.unsolicited_answers, 500_000);
    assert_eq!(broken, []);
    let unreached: u64 = report.classes.iter().map(|class| class.unreached).sum();
    assert_eq!(unreached, 0, "nobody is turned away at the door");
    let served = report.served_latencies().len() as usize;
    assert!(served > report.requests.len() * 9 / 10, "{served} of {}", report.requests.len());
}

/// The old process holds more connections than its half when the new one comes, some with half a command. None of those is
/// closed on for who comes then: the new one is there to take them.
#[test]
fn a_half_that_is_exceeded_when_the_next_process_comes_closes_on_nobody_who_is_sending() {
    let platform = Platform { sockets: 192, ..Platform::new() };
    let (old, _) = platform.start();
    let mut half: Vec<_> = (0..100).map(|_| old.client()).collect();
    half.iter_mut().for_each(|client| client.write("*1\r\n$4\r\nPI"));
    old.client().ping(); // behind all of those, so that they are accepted
    let (new, _) = platform.start();
    for _ in 0..20 {
        Client::to(new.addr()).ping(); // whichever takes it
    }
    let answered = half.iter_mut().filter_map(|client| {
        client.try_write("NG\r\n");
        client.answer()
    });
    assert_eq!(answered.count(), 100, "all who were sending are answered");
}

/// One that lives takes the next process for its heir, and then breaks off in the midst, or speaks what can't be read.
#[test]
fn a_tale_that_breaks_off_leaves_a_process_that_serves() {
    for rest in [&b""[..], b"what is this", b"LQ\x01\0\0\0\0\x02\0\0\0\0\0\0\0\0{}"] {
        let platform = Platform::new();
        let port = platform.listener.local_addr().unwrap().port();
        let at = |ending: &str| platform.folder.path().join(format!("lilacquay-{port}.{ending}"));
        let lock = std::fs::File::create(at("lock")).unwrap();
        rustix::fs::flock(&lock, rustix::fs::FlockOperation::LockShared).unwrap();
        let place = std::os::unix::net::UnixListener::bind(at("next")).unwrap();
        let elder = std::thread::spawn(move || {
            let (mut heir, _) = place.accept().unwrap();
            let mut text = bytes::BytesMut::new();
            messages::encode(&messages::Message::Accepted { pid: 0, build: "another".into() }, &mut text);
            heir.write_all(&[&text[..], rest].concat()).unwrap();
            heir // open, unless there is nothing more to say
        });
        let (node, _) = platform.start();
        assert!(node.early.iter().any(|line| line.contains("hands nothing over")), "{:?}", node.early);
        served(&platform, &node);
        drop(elder.join().unwrap());
    }
}

const WRITE: &str = "c=put,d=1900";

fn write(client: &mut Client, id: &str) {
    client.send(&["CACHE.SET", "k", id, WRITE, "v"]);
}

#[test]
fn a_write_that_had_run_ran_again_at_the_next_process() {
    let platform = Platform::new();
    let (old, _) = platform.start();
    let mut first = old.client();
    write(&mut first, "before");
    let _out = platform.origin.call();
    let mut kept = old.client();
    kept.ping();
    let (new, _) = platform.start();
    old.terminate();
    until("new connections are the next process's", || {
        let mut probe = new.client();
        write(&mut probe, "before"); // known to both
        probe.answer().as_deref() == Some("-ERR id in use")
    });
    // Taken by the old process while both live.
    write(&mut kept, "meanwhile");
    let _out = platform.origin.call();
    drop((first, kept));
    std::thread::sleep(Duration::from_millis(600)); // the old process accepts nothing any longer
    for id in ["before", "meanwhile"] {
        let mut again = new.client();
        write(&mut again, id);
        assert_eq!(again.answer().as_deref(), Some("-ERR id in use"), "{id}");
    }
    assert!(platform.origin.called().is_none(), "it was sent twice");
}
