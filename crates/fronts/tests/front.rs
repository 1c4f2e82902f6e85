//! The interface of fronts, exercised by a second front of a few lines, over a scripted upstream.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use lilacquay_core::{
    Answer, Call, Connection, Driver, Gauges, Handles, IdleState, OperationResult, Options, Outcome, Reply,
    ResourceShare, ServerEntry, ServerList, ServerState, Target, Upstream,
};
use lilacquay_fronts::resp::Resp;
use lilacquay_fronts::{Acceptor, Bounds, Input, Malformed, Parting, Protocol, Refusal};
use lilacquay_lifecycle::{Bearing, Manner};
use lilacquay_metrics::{Metrics, Rule, ViolationCounters};
use paddlefold::setup::{Setup, Stated};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout};

/// Reached only by a test that fails.
const PATIENCE: Duration = Duration::from_secs(20);

// ---- the second front: `KEY ID WAIT` in a line, an answer in a line ----

#[derive(Clone)]
struct Lines;

impl Protocol for Lines {
    type Reply = String;
    const LONGEST: usize = 1024;

    fn expected(&self, _: &[u8]) -> usize {
        0
    }

    fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Input<String>>, Malformed> {
        let Some(end) = buffer.iter().position(|&b| b == b'\n') else {
            return if buffer.len() > Self::LONGEST { Err(Malformed) } else { Ok(None) };
        };
        let line = buffer.split_to(end + 1);
        let line = std::str::from_utf8(&line).map_err(|_| Malformed)?.trim();
        let said = |text: &str| Input::Said { text: BytesMut::from(text), good: true };
        Ok(Some(match line.split(' ').collect::<Vec<_>>()[..] {
            ["quit"] => Input::Quit(BytesMut::from("bye\n")),
            ["hello"] => said("hello\n"),
            [key, id, wait] => {
                let wait = wait.parse::<u64>().map_err(|_| Malformed)? * 1000;
                let text = |text: &str| Bytes::copy_from_slice(text.as_bytes());
                let call = Call::new(key.into(), text(id), text("c=read,d=1"), None, wait);
                Input::Call(Box::new(call.map_err(|_| Malformed)?), id.to_owned())
            }
            _ => return Err(Malformed),
        }))
    }

    fn answer(&mut self, id: String, answer: Answer, out: &mut BytesMut) {
        let text = match answer {
            Answer::Served(OperationResult::Value { bytes, .. }) => format!("{id}: {} bytes\n", bytes.len()),
            Answer::Served(_) => format!("{id}: nothing\n"),
            Answer::Busy(_) => format!("{id}: busy\n"),
            Answer::Failed | Answer::Streaming(_) => format!("{id}: failed\n"),
        };
        out.extend_from_slice(text.as_bytes());
    }

    fn begin(&mut self, id: String, length: usize, _: u32, out: &mut BytesMut) {
        out.extend_from_slice(format!("{id}: {length} bytes follow\n").as_bytes());
    }

    fn refuse(&mut self, id: String, why: Refusal, out: &mut BytesMut) {
        out.extend_from_slice(format!("{id}: {why:?}\n").as_bytes());
    }

    fn part(&mut self, why: Parting, out: &mut BytesMut) {
        out.extend_from_slice(format!("{why:?}\n").as_bytes());
    }
}

// ---- an upstream that asks the test ----

#[derive(Clone)]
struct Scripted(mpsc::UnboundedSender<Asked>);

struct Asked {
    call: Call,
    answer: oneshot::Sender<Reply>,
}

impl Upstream for Scripted {
    type Connection = Scripted;
    async fn connect(&self, _: &Target) -> io::Result<Scripted> {
        Ok(self.clone())
    }
}

impl Connection for Scripted {
    fn idle_state(&self) -> IdleState {
        IdleState::Live
    }
    async fn send_request(self, call: &Call, _: &Target, _: Instant) -> (Reply, Option<Scripted>) {
        let (answer, reply) = oneshot::channel();
        let _ = self.0.send(Asked { call: call.clone(), answer });
        (reply.await.unwrap_or(Reply::from_outcome(Outcome::Reset)), Some(self))
    }
}

fn served(value: impl Into<Bytes>) -> Reply {
    Reply::success(OperationResult::value(value))
}

/// A core with two fronts.
struct Stage {
    lines: SocketAddr,
    resp: SocketAddr,
    asked: mpsc::UnboundedReceiver<Asked>,
    gauges: Arc<Gauges>,
    acceptor: Acceptor,
    bearing: watch::Sender<Bearing>,
    violations: ViolationCounters,
}

impl Stage {
    async fn new(connections: usize) -> Stage {
        let settings = r#"{"Classes":[{"Name":"read","Aim":300.0,"HardLimit":60000.0,"Effect":"safe"}],
            "Limits":{"Cancel":true,"MaxAttempts":1}}"#;
        let setup = Setup::try_from(serde_json::from_str::<Stated>(settings).unwrap()).unwrap();
        let (names, entry) = (setup.names.clone(), |id: &str| ServerEntry {
            id: id.into(),
            addr: (Ipv4Addr::LOCALHOST, 1).into(),
            zone: String::new(),
            kind: String::new(),
            cell: 0,
            state: ServerState::Serving,
            weight: None,
            started_ms: 0.0,
        });
        let known = ServerList { full: true, servers: vec![entry("s1"), entry("s2")] };
        let (to, asked) = mpsc::unbounded_channel();
        let metrics = Metrics::new(Vec::new());
        let violations = metrics.violations();
        let options = Options {
            setup,
            seed: 1,
            initial_list: known,
            max_connections: 1000,
            request_memory_bytes: 8 << 20,
            quotas: None,
            metrics,
            list_version: None,
            learned: None,
            resource_share: ResourceShare::default(),
            persisted_orders: None,
            list_updates: None,
        };
        let (driver, Handles { requests, members, .. }) = Driver::new(options, Scripted(to));
        let gauges = driver.gauges();
        let portion = ResourceShare::default();
        let bounds =
            Bounds { connections, with_servers: 0, gauges: gauges.clone(), memory: 8 << 20, portion };
        let (bearing, told) = watch::channel(Bearing { accepts: true, says_yes: true, ..Bearing::default() });
        let acceptor = Acceptor::new(requests, bounds, told);
        tokio::spawn(async move {
            driver.run().await;
            drop(members);
        });
        let listen = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let (first, second) = (listen().await.unwrap(), listen().await.unwrap());
        let (lines, resp) = (first.local_addr().unwrap(), second.local_addr().unwrap());
        tokio::spawn(acceptor.clone().accept(first, || Lines));
        tokio::spawn(acceptor.clone().accept(second, move || Resp::new(names.clone())));
        Stage { lines, resp, asked, gauges, acceptor, bearing, violations }
    }

    async fn asked(&mut self) -> Asked {
        timeout(PATIENCE, self.asked.recv()).await.expect("a request in time").unwrap()
    }

    async fn nothing_open(&self) {
        let none = async {
            while self.gauges.open_requests() > 0 {
                tokio::task::yield_now().await;
            }
        };
        timeout(PATIENCE, none).await.expect("nothing open");
    }
}

struct Client(BufReader<TcpStream>);

impl Client {
    async fn new(to: SocketAddr) -> Client {
        Client(BufReader::new(TcpStream::connect(to).await.unwrap()))
    }
    async fn say(&mut self, text: impl AsRef<[u8]>) {
        self.0.write_all(text.as_ref()).await.unwrap();
    }
    /// The next line; empty at the end.
    async fn hear(&mut self) -> String {
        let mut line = String::new();
        timeout(PATIENCE, self.0.read_line(&mut line)).await.expect("a line in time").unwrap();
        line.trim_end().to_owned()
    }
}

fn get(key: &str, id: &str) -> String {
    let words = ["CACHE.GET", key, id, "c=read,d=60000"];
    let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*4\r\n{bulk}")
}

#[tokio::test]
async fn two_fronts_are_served_by_one_core_each_in_its_own_words() {
    let mut stage = Stage::new(100).await;
    let (mut lines, mut resp) = (Client::new(stage.lines).await, Client::new(stage.resp).await);
    lines.say("k1 i1 60000\nhello\n").await;
    let asked = stage.asked().await;
    assert_eq!((&*asked.call.key, &asked.call.id[..]), ("k1", &b"i1"[..]));
    resp.say(get("k2", "i2")).await;
    let other = stage.asked().await;
    assert_eq!(other.call.class, Some(0));
    other.answer.send(served("value")).unwrap();
    assert_eq!((resp.hear().await, resp.hear().await), ("$5".into(), "value".into()));
    asked.answer.send(served("longer value")).unwrap();
    assert_eq!(lines.hear().await, "i1: 12 bytes");
    assert_eq!(lines.hear().await, "hello", "in the order of the commands");
    lines.say("quit\nhello\n").await;
    assert_eq!((lines.hear().await, lines.hear().await), ("bye".into(), String::new()));
    stage.nothing_open().await;
}

#[tokio::test]
async fn an_id_that_is_open_at_one_front_is_refused_at_the_other() {
    let mut stage = Stage::new(100).await;
    let (mut lines, mut resp) = (Client::new(stage.lines).await, Client::new(stage.resp).await);
    lines.say("k same 60000\n").await;
    let asked = stage.asked().await;
    resp.say(get("k", "same")).await;
    assert_eq!(resp.hear().await, "-ERR id in use");
    asked.answer.send(served("v")).unwrap();
    assert_eq!(lines.hear().await, "same: 1 bytes");
    resp.say(get("k", "same")).await;
    stage.asked().await.answer.send(served("v")).unwrap();
    assert_eq!(resp.hear().await, "$1");
}

#[tokio::test]
async fn a_front_that_dies_leaves_nothing_open_and_late_answers_go_nowhere() {
    let mut stage = Stage::new(100).await;
    let mut lines = Client::new(stage.lines).await;
    for n in 0..5 {
        lines.say(format!("k{n} i{n} 60000\n")).await;
    }
    let mut asked = Vec::new();
    for _ in 0..5 {
        asked.push(stage.asked().await);
    }
    assert_eq!(stage.gauges.open_requests(), 5);
    drop(lines);
    stage.nothing_open().await;
    for late in asked {
        assert!(late.answer.is_closed(), "the attempt was called off");
    }
    // The ids are free again.
    let mut lines = Client::new(stage.lines).await;
    lines.say("k0 i0 60000\n").await;
    stage.asked().await.answer.send(served("v")).unwrap();
    assert_eq!(lines.hear().await, "i0: 1 bytes");
}

#[tokio::test]
async fn an_answer_on_its_way_to_a_client_that_leaves_ends_well() {
    let mut stage = Stage::new(100).await;
    for n in 0..100 {
        let mut lines = Client::new(stage.lines).await;
        lines.say(format!("k i{n} 60000\n")).await;
        let asked = stage.asked().await;
        // Both are under way at once, in either order.
        if n % 2 == 0 {
            drop(lines);
            let _ = asked.answer.send(served("v"));
        } else {
            let _ = asked.answer.send(served("v"));
            drop(lines);
        }
    }
    stage.nothing_open().await;
}

#[tokio::test]
async fn a_slow_reader_on_one_front_holds_back_nobody_on_another() {
    let mut stage = Stage::new(100).await;
    let mut slow = TcpStream::connect(stage.resp).await.unwrap();
    // It asks for more than all buffers on the way hold, and reads nothing.
    let value = Bytes::from(vec![b'x'; 64 << 10]);
    let mut answered = 0;
    for n in 0..400 {
        slow.write_all(get("k", &format!("slow{n}")).as_bytes()).await.unwrap();
        match timeout(Duration::from_millis(100), stage.asked.recv()).await {
            Ok(Some(asked)) => _ = asked.answer.send(served(value.clone())),
            _ => break, // it is not read any more
        }
        answered += 1;
    }
    assert!(answered < 400, "the slow one is held back itself");
    let mut lines = Client::new(stage.lines).await;
    for n in 0..20 {
        lines.say(format!("k quick{n} 60000\n")).await;
        loop {
            let asked = stage.asked().await;
            let quick = asked.call.id.starts_with(b"quick");
            let _ = asked.answer.send(served("v"));
            if quick {
                break;
            }
        }
        assert_eq!(lines.hear().await, format!("quick{n}: 1 bytes"));
    }
    // What is taken of it comes whole.
    let mut first = [0; 8];
    slow.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"$65536\r\n");
}

#[tokio::test]
async fn the_bounds_hold_for_the_clients_of_all_fronts_together() {
    let stage = Stage::new(4).await;
    let mut old = Vec::new();
    for _ in 0..4 {
        let mut client = Client::new(stage.resp).await;
        client.say("*1\r\n$4\r\nPING\r\n").await;
        assert_eq!(client.hear().await, "+PONG");
        old.push(client);
    }
    let mut new = Client::new(stage.lines).await;
    new.say("hello\n").await;
    assert_eq!(new.hear().await, "hello");
    let closed = timeout(PATIENCE, old[0].0.read(&mut [0])).await.expect("one makes room");
    assert_eq!(closed.unwrap(), 0);
}

#[tokio::test]
async fn what_cannot_be_read_and_silence_part_alike_at_each_front() {
    let stage = Stage::new(100).await;
    let mut bad = Client::new(stage.lines).await;
    bad.say("what is this\n\n").await;
    assert_eq!((bad.hear().await, bad.hear().await), ("Malformed".into(), String::new()));
    let mut silent = Client::new(stage.lines).await;
    assert_eq!((silent.hear().await, silent.hear().await), ("Silent".into(), String::new()));
    stage.bearing.send_modify(|now| (now.accepts, now.manner) = (false, Manner::Idle));
    stage.acceptor.emptied().await;
}

#[test]
fn a_request_that_was_read_and_dropped_unanswered_was_counted_nowhere() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let violations = runtime.block_on(async {
        let mut stage = Stage::new(10).await;
        for leaves in [true, false] {
            let mut client = TcpStream::connect(stage.resp).await.unwrap();
            let command = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$6\r\nd=9000\r\n";
            client.write_all(command.as_bytes()).await.unwrap();
            stage.asked().await;
            match leaves {
                true => drop(client),
                false => return (stage.violations.clone(), client),
            }
            stage.nothing_open().await;
            assert_eq!(stage.violations.total(Rule::ClosedUnanswered), 0, "its client has left");
        }
        unreachable!("the second stays");
    });
    drop(runtime); // the process ends with its session
    assert_eq!(violations.0.total(Rule::ClosedUnanswered), 1);
}
