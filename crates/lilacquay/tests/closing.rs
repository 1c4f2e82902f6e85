//! Closes by the node: an answer that was begun arrives whole at a client that goes on reading, whatever the client sends
//! meanwhile; clients that read or close nothing hold up nobody.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use common::{Call, Client, Fake, Node, PATIENCE, Start, list, value_head, words};

const MS: Duration = Duration::from_millis(1);
/// The longest deadline of the tests' settings.
const LONGEST_DEADLINE: Duration = Duration::from_millis(2000);
/// The platform kills so long after SIGTERM, beside the longest deadline, at the earliest.
const KILL_DELAY: Duration = Duration::from_millis(700);
const VALUE_BYTES: usize = 1 << 20;
/// How much the clients read at once, and the pause between.
const READ_BYTES: usize = 32 << 10;
const READ_PAUSE: Duration = Duration::from_millis(15);
const VALUE_END: &str = "\r\n$3\r\nhit\r\n$-1\r\n";

/// A node between one cache, which a test or a thread answers for, an origin and discovery.
struct Site {
    node: Node,
    admin: SocketAddr,
    cache: Option<Fake>,
    _others: [Fake; 2],
    _listener: Option<TcpListener>,
    stop: Arc<AtomicBool>,
    serving: Option<JoinHandle<()>>,
}

impl Site {
    /// A node with so many descriptors. The platform may hold its listening socket.
    fn new(sockets: usize, listener: Option<TcpListener>) -> Site {
        let (cache, origin, discovery) = (Fake::cache(), Fake::http(), Fake::http());
        let known = list(1, &[("s", cache.addr)], origin.addr);
        let passed = listener.as_ref().map(|listener| rustix::io::dup(listener).unwrap());
        let environment: Vec<(&str, String)> = match (&listener, &passed) {
            (Some(listener), Some(passed)) => vec![
                ("EDGE_PASSED_SOCKET", passed.as_raw_fd().to_string()),
                ("EDGE_LISTEN", listener.local_addr().unwrap().to_string()),
            ],
            _ => Vec::new(),
        };
        let (node, admin) = Start { sockets, ..Start::new(&known, discovery.addr) }.operated(&environment);
        let stop = Arc::new(AtomicBool::new(false));
        let others = [origin, discovery];
        let site = Site {
            node,
            admin,
            cache: Some(cache),
            _others: others,
            _listener: listener,
            stop,
            serving: None,
        };
        site.node.ping_once();
        site
    }

    fn usual() -> Site {
        Site::usual_with(1024)
    }

    fn usual_with(sockets: usize) -> Site {
        let mut site = Site::new(sockets, None);
        site.serve_all();
        site
    }

    /// Answers all reads from now on: those of the key `large` with a large value.
    fn serve_all(&mut self) {
        let (cache, stop) = (self.cache.take().unwrap(), self.stop.clone());
        self.serving = Some(thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                match cache.called() {
                    Some(mut call) if call.key() == "large" => _ = call.try_answer(large_answer().as_bytes()),
                    Some(call) => _ = call.try_value("v"),
                    None => sleep(MS),
                }
            }
        }));
    }

    fn call(&self) -> Call {
        self.cache.as_ref().unwrap().call()
    }

    fn ask_admin(&self, call: &str) -> String {
        let mut stream = TcpStream::connect(self.admin).unwrap();
        stream.write_all(format!("{call}\n").as_bytes()).unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        text
    }

    /// Waits until this many reads have been passed on.
    fn wait_until_passed(&self, reads: usize) {
        let line = format!("edge_edge.handled.read.passed:{reads}|c");
        let start = Instant::now();
        while !self.ask_admin("DUMP").lines().any(|have| have == line) {
            assert!(start.elapsed() < PATIENCE, "{line}");
        }
    }

    /// Waits until a connection has been closed for this reason, or the process has ended.
    fn wait_until_closed_for(&self, reason: &str) {
        let start = Instant::now();
        while TcpStream::connect(self.admin).is_ok()
            && !self.ask_admin("DUMP").contains(&format!("edge_edge.closes.{reason}:"))
        {
            assert!(start.elapsed() < PATIENCE, "{reason}");
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.serving.take().map(JoinHandle::join);
    }
}

fn large_answer() -> String {
    value_head(VALUE_BYTES) + &"l".repeat(VALUE_BYTES) + VALUE_END
}

fn ask(client: &mut Client, key: &str, id: &str) {
    client.send(&["CACHE.GET", key, id, "c=read,d=1900"]);
}

/// What a client sends while it reads.
#[derive(Clone, Copy)]
enum Sends {
    /// One command.
    One,
    /// Commands without end.
    Many,
}

/// Sends commands until the connection fails.
fn send_meanwhile(client: &Client, sends: Sends) -> JoinHandle<()> {
    let mut stream = client.stream();
    let get = |n: usize| words(&["CACHE.GET", "other", &format!("other-{n}"), "c=read,d=1900"]);
    thread::spawn(move || match sends {
        Sends::One => _ = stream.write_all(get(0).as_bytes()),
        Sends::Many => {
            stream.set_write_timeout(Some(Duration::from_secs(1))).unwrap();
            let mut commands = (0..).map(|n| (n * 100..(n + 1) * 100).map(get).collect::<String>());
            while stream.write_all(commands.next().unwrap().as_bytes()).is_ok() {
                sleep(MS);
            }
        }
    })
}

/// Reads steadily until this many bytes have come, or the connection ends; returns how many came.
fn read_steadily(client: &Client, wanted: usize) -> usize {
    let (mut stream, mut buffer, mut come) = (client.stream(), vec![0; READ_BYTES], 0);
    while come < wanted {
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 => come += read,
            _ => break,
        }
        sleep(READ_PAUSE);
    }
    come.min(wanted)
}

/// The bytes of a large value's answer.
fn answer_bytes() -> usize {
    format!("${VALUE_BYTES}\r\n").len() + VALUE_BYTES + 2
}

#[track_caller]
fn assert_whole(come: usize, how: &str) {
    assert_eq!(come, answer_bytes(), "cut off: {how}");
}

/// Reads a large answer from a connection that the node has closed, while commands are sent.
#[track_caller]
fn assert_arrives_whole(client: Client, sends: Sends, how: &str) {
    let sending = send_meanwhile(&client, sends);
    assert_whole(read_steadily(&client, answer_bytes()), how);
    drop(client);
    sending.join().unwrap();
}

#[test]
fn an_answer_was_reset_by_the_close_behind_it_while_the_process_ended() {
    for sends in [Sends::One, Sends::Many] {
        let site = Site::usual();
        let mut client = site.node.client();
        client.ping();
        site.node.terminate();
        sleep(100 * MS);
        ask(&mut client, "large", "large");
        site.wait_until_closed_for("shutting_down");
        assert_arrives_whole(client, sends, "closed after the answer");
    }
}

#[test]
fn an_answer_was_reset_by_the_close_of_its_idle_connection_while_the_process_ended() {
    let mut site = Site::usual();
    let mut client = site.node.client();
    ask(&mut client, "large", "large");
    site.wait_until_passed(1);
    site.node.terminate();
    site.wait_until_closed_for("shutting_down");
    assert_arrives_whole(client, Sends::Many, "closed as idle");
    assert!(site.node.exit());
}

#[test]
fn an_answer_was_reset_by_the_close_behind_it_while_the_node_left_service() {
    let site = Site::usual();
    let mut client = site.node.client();
    client.ping();
    assert_eq!(site.ask_admin("LEAVE"), "ACK\n");
    sleep(400 * MS);
    ask(&mut client, "large", "large");
    site.wait_until_closed_for("shutting_down");
    assert_arrives_whole(client, Sends::Many, "closed after the answer, the node leaving");
}

#[test]
fn an_answer_was_reset_by_the_eviction_of_its_connection() {
    let site = Site::usual_with(96);
    let mut client = site.node.client();
    ask(&mut client, "large", "large");
    site.wait_until_passed(1);
    let mut resting = Vec::new();
    while !client_is_evicted(&site) {
        let mut other = site.node.client();
        ask(&mut other, "small", &format!("small-{}", resting.len()));
        assert_eq!(other.answer().as_deref(), Some("v"));
        resting.push(other);
    }
    assert_arrives_whole(client, Sends::Many, "evicted");
}

fn client_is_evicted(site: &Site) -> bool {
    site.ask_admin("DUMP").contains("edge_edge.closes.evicted:1|c")
}

#[test]
fn an_answer_was_reset_by_the_close_of_a_process_that_hands_over() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut site = Site::new(1024, Some(listener));
    site.serve_all();
    let mut client = site.node.client();
    ask(&mut client, "large", "large");
    site.wait_until_passed(1);
    site.node.terminate();
    site.wait_until_closed_for("shutting_down");
    assert_arrives_whole(client, Sends::Many, "closed as idle, another process serving");
    assert!(site.node.exit());
}

#[test]
fn an_answer_was_reset_by_the_close_behind_garbage() {
    let site = Site::usual();
    let mut client = site.node.client();
    ask(&mut client, "large", "large");
    site.wait_until_passed(1);
    client.write("garbage\r\n");
    site.wait_until_closed_for("malformed_command");
    let sending = send_meanwhile(&client, Sends::Many);
    let told = "-ERR malformed command\r\n";
    let wanted = answer_bytes() + told.len();
    assert_eq!(read_steadily(&client, wanted), wanted);
    drop(client);
    sending.join().unwrap();
}

#[test]
fn an_answer_was_reset_by_the_end_of_the_process() {
    let mut site = Site::new(1024, None);
    let mut client = site.node.client();
    // Asked before, since an idle connection is closed in the meantime.
    client.send(&["CACHE.GET", "large", "large", "c=read,d=60000"]);
    let mut call = site.call();
    site.node.terminate();
    let terminated_at = Instant::now();
    // Within the last 0.1 s in which the process reads; it ends 0.45 s after the longest deadline.
    sleep((terminated_at + LONGEST_DEADLINE + 330 * MS).saturating_duration_since(Instant::now()));
    call.answer(large_answer());
    let sending = send_meanwhile(&client, Sends::Many);
    // Read evenly until shortly before the platform may kill.
    let (begun, mut stream) = (Instant::now(), client.stream());
    let reading_time = (terminated_at + LONGEST_DEADLINE + 560 * MS).saturating_duration_since(begun);
    let (mut buffer, mut come) = (vec![0; READ_BYTES], 0);
    while let Ok(read) = stream.read(&mut buffer)
        && read > 0
    {
        come += read;
        let due = begun + reading_time.mul_f64(come as f64 / answer_bytes() as f64);
        sleep(due.saturating_duration_since(Instant::now()));
    }
    assert_whole(come.min(answer_bytes()), "the process ended");
    drop((client, stream));
    sending.join().unwrap();
    assert!(site.node.exit());
    assert!(terminated_at.elapsed() < LONGEST_DEADLINE + KILL_DELAY, "{:?}", terminated_at.elapsed());
}

#[test]
fn a_value_that_still_flowed_was_cut_off_before_the_process_could_be_killed() {
    let mut site = Site::new(1024, None);
    let mut client = site.node.client();
    // Asked before, since an idle connection is closed in the meantime.
    client.send(&["CACHE.GET", "large", "large", "c=read,d=60000"]);
    let call = site.call();
    site.node.terminate();
    let terminated_at = Instant::now();
    let giving = give_until(call, terminated_at + LONGEST_DEADLINE + 560 * MS);
    let answer = client.answer();
    assert_eq!(answer.map(|value| value.len()), Some(VALUE_BYTES), "{:?}", terminated_at.elapsed());
    assert!(giving.join().unwrap());
    drop(client);
    assert!(site.node.exit());
    assert!(terminated_at.elapsed() < LONGEST_DEADLINE + KILL_DELAY, "{:?}", terminated_at.elapsed());
}

/// Writes a large answer evenly, so that it is whole at this time; returns whether the node has taken all of it.
fn give_until(mut call: Call, whole_at: Instant) -> JoinHandle<bool> {
    thread::spawn(move || {
        let answer = large_answer();
        let pieces = answer.as_bytes().chunks(READ_BYTES);
        let pause = whole_at.saturating_duration_since(Instant::now()) / pieces.len() as u32;
        for (n, piece) in pieces.enumerate() {
            let left = VALUE_BYTES.div_ceil(READ_BYTES).saturating_sub(n) as u32;
            sleep((whole_at - pause * left).saturating_duration_since(Instant::now()));
            if call.try_answer(piece).is_err() {
                return false;
            }
        }
        true
    })
}

/// The earliest SIGKILL is not the only one: what a server still gives goes on until the platform kills the process.
#[test]
fn a_value_that_still_flowed_after_the_earliest_kill_was_cut_off_by_the_end_of_the_process() {
    let mut site = Site::new(1024, None);
    let mut client = site.node.client();
    client.send(&["CACHE.GET", "large", "large", "c=read,d=1900"]);
    let call = site.call();
    let mut idle = site.node.client();
    idle.ping();
    site.node.terminate();
    let terminated_at = Instant::now();
    let giving = give_until(call, terminated_at + LONGEST_DEADLINE + KILL_DELAY + 1500 * MS);
    // What comes so late is not read: a kill could leave it without an answer.
    sleep((terminated_at + LONGEST_DEADLINE + KILL_DELAY).saturating_duration_since(Instant::now()));
    idle.try_write(&words(&["CACHE.GET", "k", "late", "c=read,d=1900"]));
    let mut behind = client.stream();
    behind.write_all(words(&["CACHE.GET", "k", "behind", "c=read,d=1900"]).as_bytes()).unwrap();
    let answer = client.answer();
    assert_eq!(answer.map(|value| value.len()), Some(VALUE_BYTES), "{:?}", terminated_at.elapsed());
    assert!(giving.join().unwrap());
    assert_eq!(client.answer(), None, "read behind a value that outlived the time for answers");
    assert_eq!(idle.answer(), None);
    assert!(site.cache.as_ref().unwrap().called().is_none(), "begun after the time for answers");
    drop((client, behind));
    assert!(site.node.exit());
    // All clients have closed: nothing more is waited for.
    assert!(
        terminated_at.elapsed() < LONGEST_DEADLINE + KILL_DELAY + 2500 * MS,
        "{:?}",
        terminated_at.elapsed()
    );
}

/// A server that sends and a client that reads nothing for 5 s end a value, and with it the process.
#[test]
fn a_value_that_has_stopped_holds_up_the_end_of_the_process_for_a_bounded_time() {
    const SILENCE: Duration = Duration::from_secs(5);
    const VALUE_FOR_NO_READER: usize = 8 << 20;
    let begun = value_head(VALUE_BYTES) + "begins";
    let all = value_head(VALUE_FOR_NO_READER) + &"l".repeat(VALUE_FOR_NO_READER) + VALUE_END;
    for (stopped, answer) in [("server", begun), ("client", all)] {
        let mut site = Site::new(1024, None);
        let mut client = site.node.client();
        client.send(&["CACHE.GET", "large", "large", "c=read,d=1900"]);
        let mut call = site.call();
        let giving = thread::spawn(move || {
            let _ = call.try_answer(answer.as_bytes()); // the node hangs up on one that nobody reads
            call // open, and silent
        });
        client.wait_for_some();
        sleep(LONGEST_DEADLINE);
        site.node.terminate();
        let terminated_at = Instant::now();
        assert!(site.node.exit(), "the {stopped} has stopped");
        let took = terminated_at.elapsed();
        assert!(took < SILENCE + Duration::from_secs(1), "the {stopped} has stopped: {took:?}");
        drop(giving.join());
    }
}

#[test]
fn clients_that_read_or_close_nothing_hold_up_the_end_of_no_process() {
    let mut site = Site::usual();
    let mut never_reads = site.node.client();
    ask(&mut never_reads, "large", "large");
    site.wait_until_passed(1);
    let mut never_closes: Vec<Client> = (0..5).map(|_| site.node.client()).collect();
    for (n, client) in never_closes.iter_mut().enumerate() {
        ask(client, "small", &format!("small-{n}"));
        assert_eq!(client.answer().as_deref(), Some("v"));
    }
    site.node.terminate();
    let terminated_at = Instant::now();
    assert!(site.node.exit());
    assert!(terminated_at.elapsed() < LONGEST_DEADLINE + KILL_DELAY, "{:?}", terminated_at.elapsed());
}

#[test]
fn clients_that_read_and_close_nothing_lock_out_nobody_and_hold_bounded_descriptors() {
    let site = Site::usual_with(96);
    assert_eq!(site.ask_admin("LEAVE"), "ACK\n");
    sleep(400 * MS);
    // More than there are connections, each closed behind an answer that nobody reads.
    let mut stuck = Vec::new();
    for n in 0..100 {
        let mut client = site.node.client();
        ask(&mut client, "large", &format!("large-{n}"));
        client.wait_for_some();
        stuck.push(client);
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", site.node.id())).unwrap().count();
        assert!(descriptors <= 96, "{descriptors}");
    }
    assert_eq!(site.ask_admin("JOIN"), "ACK\n");
    for n in 0..10 {
        let mut client = site.node.client();
        ask(&mut client, "small", &format!("small-{n}"));
        assert_eq!(client.answer().as_deref(), Some("v"));
    }
}
