//! Tests the interface of client protocols with RESP2 and a minimal second protocol, over an upstream whose replies the
//! tests choose.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use lilacquay_core::{
    Answer, Call, Connection, Driver, Gauges, Handles, IdleState, OperationResult, Options, Outcome, Reply,
    ResourceShare, ServerEntry, ServerList, ServerState, Target, Upstream,
};
use lilacquay_fronts::resp::RespProtocol;
use lilacquay_fronts::{Acceptor, ClientLimits, CloseNotice, Malformed, ParsedCommand, Protocol, Refusal};
use lilacquay_lifecycle::{CloseMode, ServiceMode};
use lilacquay_metrics::{Metrics, Rule, ViolationCounters};
use paddlefold::setup::{RawSettings, Setup};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, timeout};

/// Only a failing test waits this long.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

// ---- a line protocol: `KEY ID TIMEOUT_MS` on a line, each answer on a line ----

#[derive(Clone)]
struct LineProtocol;

impl Protocol for LineProtocol {
    /// The request's id.
    type ReplyContext = String;
    const MAX_COMMAND_BYTES: usize = 1024;

    fn expected_length(&self, _: &[u8]) -> usize {
        0
    }

    fn next_command(&mut self, buffer: &mut BytesMut) -> Result<Option<ParsedCommand<String>>, Malformed> {
        let Some(end) = buffer.iter().position(|&b| b == b'\n') else {
            return if buffer.len() > Self::MAX_COMMAND_BYTES { Err(Malformed) } else { Ok(None) };
        };
        let line = buffer.split_to(end + 1);
        let line = std::str::from_utf8(&line).map_err(|_| Malformed)?.trim();
        let answered = |text: &str| ParsedCommand::Answered { text: BytesMut::from(text), valid: true };
        Ok(Some(match line.split(' ').collect::<Vec<_>>()[..] {
            ["quit"] => ParsedCommand::Quit(BytesMut::from("bye\n")),
            ["hello"] => answered("hello\n"),
            [key, id, timeout_ms] => {
                let timeout_us = timeout_ms.parse::<u64>().map_err(|_| Malformed)? * 1000;
                let bytes = |text: &str| Bytes::copy_from_slice(text.as_bytes());
                let call = Call::new(key.into(), bytes(id), bytes("c=read,d=1"), None, timeout_us);
                ParsedCommand::Call(Box::new(call.map_err(|_| Malformed)?), id.to_owned())
            }
            _ => return Err(Malformed),
        }))
    }

    fn write_answer(&mut self, id: String, answer: Answer, out: &mut BytesMut) {
        let text = match answer {
            Answer::Served(OperationResult::Value { bytes, .. }) => format!("{id}: {} bytes\n", bytes.len()),
            Answer::Served(_) => format!("{id}: nothing\n"),
            Answer::Busy(_) => format!("{id}: busy\n"),
            Answer::Failed | Answer::Streaming(_) => format!("{id}: failed\n"),
        };
        out.extend_from_slice(text.as_bytes());
    }

    fn write_value_header(&mut self, id: String, length: usize, _: u32, out: &mut BytesMut) {
        out.extend_from_slice(format!("{id}: {length} bytes follow\n").as_bytes());
    }

    fn write_refusal(&mut self, id: String, refusal: Refusal, out: &mut BytesMut) {
        out.extend_from_slice(format!("{id}: {refusal:?}\n").as_bytes());
    }

    fn write_close_notice(&mut self, notice: CloseNotice, out: &mut BytesMut) {
        out.extend_from_slice(format!("{notice:?}\n").as_bytes());
    }
}

// ---- an upstream that passes each call to the test and waits for its reply ----

#[derive(Clone)]
struct TestUpstream(mpsc::UnboundedSender<UpstreamCall>);

struct UpstreamCall {
    call: Call,
    reply: oneshot::Sender<Reply>,
}

impl Upstream for TestUpstream {
    type Connection = TestUpstream;
    async fn connect(&self, _: &Target) -> io::Result<TestUpstream> {
        Ok(self.clone())
    }
}

impl Connection for TestUpstream {
    fn idle_state(&self) -> IdleState {
        IdleState::Live
    }
    async fn send_request(self, call: &Call, _: &Target, _: Instant) -> (Reply, Option<TestUpstream>) {
        let (sender, reply) = oneshot::channel();
        let _ = self.0.send(UpstreamCall { call: call.clone(), reply: sender });
        (reply.await.unwrap_or(Reply::from_outcome(Outcome::Reset)), Some(self))
    }
}

fn served(value: impl Into<Bytes>) -> Reply {
    Reply::success(OperationResult::value(value))
}

/// A core with a listener for each of the two protocols.
struct TestNode {
    line_addr: SocketAddr,
    resp_addr: SocketAddr,
    upstream_calls: mpsc::UnboundedReceiver<UpstreamCall>,
    gauges: Arc<Gauges>,
    acceptor: Acceptor,
    service_mode: watch::Sender<ServiceMode>,
    violations: ViolationCounters,
}

impl TestNode {
    async fn new(connections: usize) -> TestNode {
        let settings = r#"{"Classes":[{"Name":"read","Aim":300.0,"HardLimit":60000.0,"Effect":"safe"}],
            "Limits":{"Cancel":true,"MaxAttempts":1}}"#;
        let setup = Setup::try_from(serde_json::from_str::<RawSettings>(settings).unwrap()).unwrap();
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
        let (call_sender, upstream_calls) = mpsc::unbounded_channel();
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
        let (driver, Handles { requests, members, .. }) = Driver::new(options, TestUpstream(call_sender));
        let gauges = driver.gauges();
        let portion = ResourceShare::default();
        let limits = ClientLimits {
            connections,
            total_connections: 0,
            gauges: gauges.clone(),
            buffer_bytes: 8 << 20,
            portion,
        };
        let (service_mode, mode_receiver) = watch::channel(ServiceMode {
            accepts_connections: true,
            ping_succeeds: true,
            ..ServiceMode::default()
        });
        let acceptor = Acceptor::new(requests, limits, mode_receiver);
        tokio::spawn(async move {
            driver.run().await;
            drop(members);
        });
        let listen = || TcpListener::bind((Ipv4Addr::LOCALHOST, 0));
        let (line_listener, resp_listener) = (listen().await.unwrap(), listen().await.unwrap());
        let line_addr = line_listener.local_addr().unwrap();
        let resp_addr = resp_listener.local_addr().unwrap();
        tokio::spawn(acceptor.clone().accept(line_listener, || LineProtocol));
        tokio::spawn(acceptor.clone().accept(resp_listener, move || RespProtocol::new(names.clone())));
        TestNode { line_addr, resp_addr, upstream_calls, gauges, acceptor, service_mode, violations }
    }

    async fn next_call(&mut self) -> UpstreamCall {
        timeout(TEST_TIMEOUT, self.upstream_calls.recv()).await.expect("a call in time").unwrap()
    }

    async fn wait_until_nothing_open(&self) {
        let none_open = async {
            while self.gauges.open_requests() > 0 {
                tokio::task::yield_now().await;
            }
        };
        timeout(TEST_TIMEOUT, none_open).await.expect("no open requests in time");
    }
}

struct Client(BufReader<TcpStream>);

impl Client {
    async fn new(to: SocketAddr) -> Client {
        Client(BufReader::new(TcpStream::connect(to).await.unwrap()))
    }
    async fn send(&mut self, text: impl AsRef<[u8]>) {
        self.0.write_all(text.as_ref()).await.unwrap();
    }
    /// The next line; empty at the end of the stream.
    async fn receive_line(&mut self) -> String {
        let mut line = String::new();
        timeout(TEST_TIMEOUT, self.0.read_line(&mut line)).await.expect("a line in time").unwrap();
        line.trim_end().to_owned()
    }
}

fn get(key: &str, id: &str) -> String {
    let words = ["CACHE.GET", key, id, "c=read,d=60000"];
    let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*4\r\n{bulk}")
}

#[tokio::test]
async fn two_protocols_are_served_by_one_core_each_in_its_own_format() {
    let mut node = TestNode::new(100).await;
    let (mut line_client, mut resp_client) =
        (Client::new(node.line_addr).await, Client::new(node.resp_addr).await);
    line_client.send("k1 i1 60000\nhello\n").await;
    let pending_call = node.next_call().await;
    assert_eq!((&*pending_call.call.key, &pending_call.call.id[..]), ("k1", &b"i1"[..]));
    resp_client.send(get("k2", "i2")).await;
    let other = node.next_call().await;
    assert_eq!(other.call.class, Some(0));
    other.reply.send(served("value")).unwrap();
    assert_eq!(
        (resp_client.receive_line().await, resp_client.receive_line().await),
        ("$5".into(), "value".into())
    );
    pending_call.reply.send(served("longer value")).unwrap();
    assert_eq!(line_client.receive_line().await, "i1: 12 bytes");
    assert_eq!(line_client.receive_line().await, "hello", "in the order of the commands");
    line_client.send("quit\nhello\n").await;
    assert_eq!(
        (line_client.receive_line().await, line_client.receive_line().await),
        ("bye".into(), String::new())
    );
    node.wait_until_nothing_open().await;
}

#[tokio::test]
async fn an_id_that_is_open_on_one_protocol_is_refused_on_the_other() {
    let mut node = TestNode::new(100).await;
    let (mut line_client, mut resp_client) =
        (Client::new(node.line_addr).await, Client::new(node.resp_addr).await);
    line_client.send("k same 60000\n").await;
    let pending_call = node.next_call().await;
    resp_client.send(get("k", "same")).await;
    assert_eq!(resp_client.receive_line().await, "-ERR id in use");
    pending_call.reply.send(served("v")).unwrap();
    assert_eq!(line_client.receive_line().await, "same: 1 bytes");
    resp_client.send(get("k", "same")).await;
    node.next_call().await.reply.send(served("v")).unwrap();
    assert_eq!(resp_client.receive_line().await, "$1");
}

#[tokio::test]
async fn a_client_that_disconnects_leaves_nothing_open_and_its_attempts_are_cancelled() {
    let mut node = TestNode::new(100).await;
    let mut line_client = Client::new(node.line_addr).await;
    for n in 0..5 {
        line_client.send(format!("k{n} i{n} 60000\n")).await;
    }
    let mut pending_calls = Vec::new();
    for _ in 0..5 {
        pending_calls.push(node.next_call().await);
    }
    assert_eq!(node.gauges.open_requests(), 5);
    drop(line_client);
    node.wait_until_nothing_open().await;
    for late in pending_calls {
        assert!(late.reply.is_closed(), "the attempt was cancelled");
    }
    // The ids are free again.
    let mut line_client = Client::new(node.line_addr).await;
    line_client.send("k0 i0 60000\n").await;
    node.next_call().await.reply.send(served("v")).unwrap();
    assert_eq!(line_client.receive_line().await, "i0: 1 bytes");
}

#[tokio::test]
async fn an_answer_to_a_client_that_disconnects_leaves_nothing_open() {
    let mut node = TestNode::new(100).await;
    for n in 0..100 {
        let mut line_client = Client::new(node.line_addr).await;
        line_client.send(format!("k i{n} 60000\n")).await;
        let pending_call = node.next_call().await;
        // The disconnect and the answer race, in either order.
        if n % 2 == 0 {
            drop(line_client);
            let _ = pending_call.reply.send(served("v"));
        } else {
            let _ = pending_call.reply.send(served("v"));
            drop(line_client);
        }
    }
    node.wait_until_nothing_open().await;
}

#[tokio::test]
async fn a_slow_reader_on_one_protocol_does_not_delay_clients_of_another() {
    let mut node = TestNode::new(100).await;
    let mut slow = TcpStream::connect(node.resp_addr).await.unwrap();
    // It requests more than all buffers on the path hold, and reads nothing.
    let value = Bytes::from(vec![b'x'; 64 << 10]);
    let mut answered = 0;
    for n in 0..400 {
        slow.write_all(get("k", &format!("slow{n}")).as_bytes()).await.unwrap();
        match timeout(Duration::from_millis(100), node.upstream_calls.recv()).await {
            Ok(Some(pending_call)) => _ = pending_call.reply.send(served(value.clone())),
            _ => break, // its commands are no longer read
        }
        answered += 1;
    }
    assert!(answered < 400, "the slow client itself is held back");
    let mut line_client = Client::new(node.line_addr).await;
    for n in 0..20 {
        line_client.send(format!("k quick{n} 60000\n")).await;
        loop {
            let pending_call = node.next_call().await;
            let quick = pending_call.call.id.starts_with(b"quick");
            let _ = pending_call.reply.send(served("v"));
            if quick {
                break;
            }
        }
        assert_eq!(line_client.receive_line().await, format!("quick{n}: 1 bytes"));
    }
    // The part of its answers that it reads is intact.
    let mut first = [0; 8];
    slow.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"$65536\r\n");
}

#[tokio::test]
async fn the_limits_hold_for_the_clients_of_all_protocols_together() {
    let node = TestNode::new(4).await;
    let mut old = Vec::new();
    for _ in 0..4 {
        let mut client = Client::new(node.resp_addr).await;
        client.send("*1\r\n$4\r\nPING\r\n").await;
        assert_eq!(client.receive_line().await, "+PONG");
        old.push(client);
    }
    let mut new = Client::new(node.line_addr).await;
    new.send("hello\n").await;
    assert_eq!(new.receive_line().await, "hello");
    let closed = timeout(TEST_TIMEOUT, old[0].0.read(&mut [0])).await.expect("one connection is evicted");
    assert_eq!(closed.unwrap(), 0);
}

#[tokio::test]
async fn malformed_input_and_silence_close_the_connection_with_a_notice() {
    let node = TestNode::new(100).await;
    let mut bad = Client::new(node.line_addr).await;
    bad.send("what is this\n\n").await;
    assert_eq!((bad.receive_line().await, bad.receive_line().await), ("Malformed".into(), String::new()));
    let mut silent = Client::new(node.line_addr).await;
    assert_eq!(
        (silent.receive_line().await, silent.receive_line().await),
        ("CommandTimeout".into(), String::new())
    );
    node.service_mode
        .send_modify(|now| (now.accepts_connections, now.close_mode) = (false, CloseMode::WhenIdle));
    node.acceptor.wait_until_empty().await;
}

#[test]
fn a_request_that_is_read_and_dropped_unanswered_counts_as_a_violation() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let violations = runtime.block_on(async {
        let mut node = TestNode::new(10).await;
        for disconnects in [true, false] {
            let mut client = TcpStream::connect(node.resp_addr).await.unwrap();
            let command = "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$6\r\nd=9000\r\n";
            client.write_all(command.as_bytes()).await.unwrap();
            node.next_call().await;
            match disconnects {
                true => drop(client),
                false => return (node.violations.clone(), client),
            }
            node.wait_until_nothing_open().await;
            assert_eq!(node.violations.total(Rule::ClosedUnanswered), 0, "its client has disconnected");
        }
        unreachable!("the second client stays connected");
    });
    drop(runtime); // the process ends with its session
    assert_eq!(violations.0.total(Rule::ClosedUnanswered), 1);
}
