//! A node under test, and what stands round it: scripted servers and a client. All wait on events.
#![allow(dead_code)] // each test file uses its own part

pub mod tty;

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use bytes::BytesMut;
use lilacquay_codec::memcache::{
    HEADER_BYTES, Malformed, Opcode, Packet, Status, next_request, next_response,
};
use lilacquay_fleet::FullListener;

/// Long enough for any machine; reached only by a test that fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Waits until the node has begun a connection that meets the full backlog.
pub fn wait_for_attempt(late: &FullListener) {
    let start = Instant::now();
    while !late.has_pending_handshake().unwrap() {
        assert!(start.elapsed() < PATIENCE, "no connection was begun");
        sleep(Duration::from_millis(1));
    }
}

/// What a scripted server was asked, and the connection to answer on.
pub struct Call {
    /// A command's words; of HTTP the method, path, header lines and body; over memcached the opcode in hex, the
    /// key, the CAS field and the value.
    pub words: Vec<String>,
    /// The packet's opcode and opaque, over memcached.
    packet: Option<(u8, u32)>,
    /// The number of its connection, from 0.
    pub connection: usize,
    stream: TcpStream,
}

impl Call {
    pub fn answer(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }
    /// Answers one that may have hung up.
    pub fn try_answer(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(bytes)
    }
    pub fn value(self, value: &str) {
        self.try_value(value).unwrap();
    }
    /// Serves one whose asker may have hung up.
    pub fn try_value(mut self, value: &str) -> std::io::Result<()> {
        let Some((opcode, opaque)) = self.packet else {
            let text = format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len());
            return self.stream.write_all(text.as_bytes());
        };
        let is_read = opcode == Opcode::Get as u8;
        let extras: &'static [u8] = if is_read { &[0; 4] } else { &[] };
        // A write has no receipt here.
        let value = if is_read { value.to_owned() } else { String::new() };
        let (extras, value) = (extras.into(), value.into());
        let packet = Packet { opcode, opaque, status: Status::OK.0, extras, value, ..Packet::default() };
        self.stream.write_all(&response(&packet))
    }
    pub fn miss(mut self) {
        if self.packet.is_some() {
            return self.packet(Status::KEY_NOT_FOUND, &[], "");
        }
        self.answer("*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n");
    }
    pub fn busy(mut self) {
        match self.packet {
            Some(_) => self.packet(Status::BUSY, &[], ""),
            None => self.answer("-BUSY\r\n"),
        }
    }
    pub fn fail(mut self) {
        match self.packet {
            Some(_) => self.packet(Status::INTERNAL_ERROR, &[], ""),
            None => self.answer("-ERR failed\r\n"),
        }
    }
    /// Fails one whose asker may have hung up.
    pub fn try_fail(mut self) -> std::io::Result<()> {
        self.stream.write_all(b"-ERR failed\r\n")
    }
    /// An answer in memcached's protocol.
    pub fn packet(&mut self, status: Status, extras: &'static [u8], value: &str) {
        let (opcode, opaque) = self.packet.expect("asked over memcached");
        let (extras, value) = (extras.into(), value.to_owned().into());
        let packet = Packet { opcode, opaque, status: status.0, extras, value, ..Packet::default() };
        self.answer(response(&packet));
    }
    /// The opaque that it was asked with.
    pub fn opaque(&self) -> u32 {
        self.packet.expect("asked over memcached").1
    }
    /// The key, of a cache's call.
    pub fn key(&self) -> &str {
        &self.words[1]
    }
    pub fn http(mut self, status: &str, body: &str) {
        self.answer(format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len()));
    }
    pub fn close(self) {
        self.stream.shutdown(Shutdown::Both).unwrap();
    }
    /// Closes one whose asker may have hung up.
    pub fn try_close(self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

/// A list of names and values as it came, but for the time: fails if that is more than the client's, in milliseconds.
#[track_caller]
pub fn facts_but_time(facts: &str, at_most: u64) -> String {
    let (mut others, mut told) = (Vec::new(), None);
    for fact in facts.split(',') {
        match fact.strip_prefix("d=") {
            Some(time) => told = time.parse::<u64>().ok(),
            None => others.push(fact),
        }
    }
    assert!(told.is_some_and(|time| (1..=at_most).contains(&time)), "{facts}");
    others.join(",")
}

/// A scripted cache, origin or discovery.
pub struct Fake {
    pub addr: SocketAddr,
    calls: Receiver<Call>,
    closed: Receiver<usize>,
}

type Words = (Vec<String>, Option<(u8, u32)>);
type ReadCall = fn(&mut BufReader<TcpStream>) -> Option<Words>;

impl Fake {
    pub fn cache() -> Fake {
        Fake::serving(TcpListener::bind("127.0.0.1:0").unwrap(), command)
    }

    /// A cache that speaks memcached.
    pub fn memcached() -> Fake {
        Fake::serving(TcpListener::bind("127.0.0.1:0").unwrap(), packet)
    }

    pub fn http() -> Fake {
        Fake::serving(TcpListener::bind("127.0.0.1:0").unwrap(), request)
    }

    /// A cache behind a listener of the test's own making.
    pub fn behind(listener: TcpListener) -> Fake {
        Fake::serving(listener, command)
    }

    /// An origin behind a listener of the test's own making.
    pub fn http_behind(listener: TcpListener) -> Fake {
        Fake::serving(listener, request)
    }

    fn serving(listener: TcpListener, read: ReadCall) -> Fake {
        let addr = listener.local_addr().unwrap();
        let ((to_calls, calls), (to_closed, closed)) = (channel(), channel());
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().enumerate() {
                let (stream, to_calls, to_closed) = (stream.unwrap(), to_calls.clone(), to_closed.clone());
                thread::spawn(move || attend(stream, connection, read, &to_calls, &to_closed));
            }
        });
        Fake { addr, calls, closed }
    }

    /// The next call.
    pub fn call(&self) -> Call {
        self.calls.recv_timeout(PATIENCE).expect("a call")
    }
    /// Answers so many calls with a value, or all that come until none comes for a while.
    pub fn serve_until(self, calls: usize, value: &str) {
        for _ in 0..calls {
            match self.calls.recv_timeout(PATIENCE) {
                Ok(mut call) => {
                    _ = call.try_answer(
                        format!("*3\r\n${}\r\n{value}\r\n$3\r\nhit\r\n$-1\r\n", value.len()).as_bytes(),
                    )
                }
                Err(_) => return,
            }
        }
    }
    /// A call that has come already.
    pub fn called(&self) -> Option<Call> {
        self.calls.try_recv().ok()
    }
    /// Whether a call that is so has come; those before it are passed over.
    pub fn called_with(&self, so: impl Fn(&Call) -> bool) -> bool {
        std::iter::from_fn(|| self.called()).any(|call| so(&call))
    }
    /// Waits until the node has closed a connection; tells which.
    pub fn closed(&self) -> usize {
        self.closed.recv_timeout(PATIENCE).expect("a connection closed")
    }
}

fn attend(
    stream: TcpStream,
    connection: usize,
    read: ReadCall,
    calls: &Sender<Call>,
    closed: &Sender<usize>,
) {
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some((words, packet)) = read(&mut reader) {
        let _ = calls.send(Call { words, packet, connection, stream: stream.try_clone().unwrap() });
    }
    let _ = closed.send(connection);
}

fn line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut text = String::new();
    match reader.read_line(&mut text) {
        Ok(n) if n > 0 => Some(text.trim_end().to_owned()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => panic!("nothing came"),
        _ => None,
    }
}

fn bytes(reader: &mut BufReader<TcpStream>, n: usize) -> Option<String> {
    let mut text = vec![0; n];
    reader.read_exact(&mut text).ok()?;
    Some(String::from_utf8_lossy(&text).into_owned())
}

/// The bytes of a response in memcached's protocol.
pub fn response(packet: &Packet) -> Vec<u8> {
    let mut text = BytesMut::new();
    packet.put_response(&mut text);
    text.to_vec()
}

/// Reads a packet, which `next` takes out of the buffer.
fn read_packet(
    reader: &mut impl Read,
    next: fn(&mut BytesMut, usize) -> Result<Option<Packet>, Malformed>,
) -> Option<Packet> {
    let mut buffer = BytesMut::new();
    loop {
        if let Some(packet) = next(&mut buffer, 1 << 20).expect("a packet") {
            return Some(packet);
        }
        // Not a byte beyond this one.
        let missing = match buffer.len() {
            have if have < HEADER_BYTES => HEADER_BYTES - have,
            have => {
                let body = u32::from_be_bytes(buffer[8..12].try_into().unwrap()) as usize;
                HEADER_BYTES + body - have
            }
        };
        let mut bytes = vec![0; missing];
        match reader.read(&mut bytes) {
            Ok(n) if n > 0 => buffer.extend_from_slice(&bytes[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                panic!("nothing came")
            }
            _ => return None,
        }
    }
}

fn packet(reader: &mut BufReader<TcpStream>) -> Option<Words> {
    let packet = read_packet(reader, next_request)?;
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let cas = packet.cas.to_string();
    let words = vec![format!("{:02x}", packet.opcode), text(&packet.key), cas, text(&packet.value)];
    Some((words, Some((packet.opcode, packet.opaque))))
}

fn command(reader: &mut BufReader<TcpStream>) -> Option<Words> {
    let n: usize = line(reader)?.strip_prefix('*')?.parse().ok()?;
    let words = (0..n)
        .map(|_| {
            let length: usize = line(reader)?.strip_prefix('$')?.parse().ok()?;
            let word = bytes(reader, length)?;
            line(reader).map(|_| word)
        })
        .collect::<Option<_>>();
    words.map(|words| (words, None))
}

fn request(reader: &mut BufReader<TcpStream>) -> Option<Words> {
    let first = line(reader)?;
    let mut words: Vec<String> = first.split(' ').take(2).map(String::from).collect();
    let mut length = 0;
    loop {
        let header = line(reader)?;
        if header.is_empty() {
            break;
        }
        let (name, value) = header.split_once(": ")?;
        let name = name.to_lowercase();
        length = if name == "content-length" { value.parse().ok()? } else { length };
        words.push(format!("{name}: {value}"));
    }
    words.push(bytes(reader, length)?);
    Some((words, None))
}

/// The library that makes a node's system calls fail; it is built beside the tests.
pub fn fault_library() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let library = test.with_file_name("liblilacquay_syscall_faults.so");
    assert!(library.exists(), "{}", library.display());
    library
}

/// A process that is ended with its test.
pub struct Running(pub Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A running node.
pub struct Node {
    child: Child,
    addr: SocketAddr,
    config: PathBuf,
    /// What it logs from its second line on; nothing if nobody reads it.
    log: Option<Receiver<String>>,
    /// What it logged before that.
    pub early: Vec<String>,
    _folder: Option<tempfile::TempDir>,
}

/// The settings of the tests: classes of each effect, an origin beside the caches.
pub const SETTINGS: &str = r#"{"Classes":[
    {"Name":"read","Aim":300.0,"HardLimit":2000.0,"Effect":"safe","Worth":3.0},
    {"Name":"put","Aim":800.0,"HardLimit":2000.0,"Effect":"unsafe","Worth":9.0}],
  "Dcs":["a"],"Skus":["m","origin"],"FamilyInfo":{"Mode":"aside","OriginKind":1},
  "Guarantees":{"Cold":20000.0,"ColdFrom":0.2,"DrainGrace":500.0,"Fall":1000.0,"MustAskIn":10000.0,"OverloadFactor":3.0},
  "Limits":{"Cancel":true,"ConnectTimeout":10000.0,"Keepalive":15000.0,"MaxAttempts":5,"MaxRetryAfter":2000.0,
            "MaxStreams":1,"RetryAfter":true,"SecondCopies":true},
  "Quantum":5.0,"RegistryMode":"automatic","Siblings":1,"Zone":"a"}"#;

pub fn entry(id: &str, addr: SocketAddr, kind: &str, state: &str) -> String {
    format!(
        r#"{{"id":"{id}","addr":"{addr}","zone":"a","kind":"{kind}","cell":0,"state":"{state}","weight":1.0,"started_ms":0}}"#
    )
}

/// A list of caches, in that order, and an origin.
pub fn list(version: u64, caches: &[(&str, SocketAddr)], origin: SocketAddr) -> String {
    let caches = caches.iter().map(|(id, addr)| entry(id, *addr, "m", "SERVING"));
    let entries: Vec<String> = caches.chain([entry("o", origin, "origin", "SERVING")]).collect();
    format!(r#"{{"version":{version},"full":true,"servers":[{}]}}"#, entries.join(","))
}

/// The program, by way of a shell command that ends in `exec "$0"`.
pub fn program(shell: &str) -> Command {
    let mut command = Command::new("/bin/sh");
    command.args(["-c", shell, env!("CARGO_BIN_EXE_lilacquay")]).env_clear().stderr(Stdio::piped());
    command
}

/// How a node is started.
pub struct Start<'a> {
    pub known: &'a str,
    pub discovery: SocketAddr,
    pub sockets: usize,
    pub memory_mb: usize,
    pub settings: &'a str,
    pub shell: &'a str,
}

impl Node {
    pub fn start(known: &str, discovery: SocketAddr) -> Node {
        Start::new(known, discovery).node()
    }
}

impl<'a> Start<'a> {
    pub fn new(known: &'a str, discovery: SocketAddr) -> Self {
        Start { known, discovery, sockets: 1024, memory_mb: 192, settings: SETTINGS, shell: "exec \"$0\"" }
    }

    pub fn node(self) -> Node {
        let (config, mut command) = self.command();
        Node::run(&config, &mut command)
    }

    /// A node whose log is read, a second address, and more in its environment.
    pub fn operated(self, environment: &[(&str, String)]) -> (Node, SocketAddr) {
        let (config, mut command) = self.command();
        Node::with_admin(&config, command.envs(environment.iter().map(|(name, value)| (name, value))))
    }

    fn command(self) -> (String, Command) {
        let Start { known, discovery, sockets, memory_mb, settings, shell } = self;
        let config = format!(
            r#"{{"name":"n0","seed":"8c1f30d27a5be964","limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},"known":{known},"settings":{settings}}}"#
        );
        let mut command = program(shell);
        command.env("EDGE_LISTEN", "127.0.0.1:0").env("EDGE_DISCOVERY", discovery.to_string());
        (config, command)
    }
}

impl Node {
    /// A node with this configuration, addresses and all.
    pub fn configured(config: &str) -> Node {
        Node::run(config, &mut program("exec \"$0\""))
    }

    /// A node with this configuration and a second address.
    pub fn operated(config: &str) -> (Node, SocketAddr) {
        Node::operated_with(config, &[])
    }

    /// The same, with more in its environment.
    pub fn operated_with(config: &str, environment: &[(&str, String)]) -> (Node, SocketAddr) {
        let mut command = program("exec \"$0\"");
        Node::with_admin(config, command.envs(environment.iter().map(|(name, value)| (name, value))))
    }

    fn with_admin(config: &str, command: &mut Command) -> (Node, SocketAddr) {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("node.json");
        std::fs::write(&file, config).unwrap();
        command.env("EDGE_CONFIG", &file).env("EDGE_ADMIN", "127.0.0.1:0");
        let (mut node, log) = Node::begin(command, file, Some(folder));
        node.read_log(log);
        let line = node.early.iter().find(|line| line.contains("the second address is")).expect("the line");
        let admin = line.rsplit(' ').next().and_then(|addr| addr.parse().ok()).expect("an address");
        (node, admin)
    }

    fn read_log(&mut self, log: BufReader<ChildStderr>) {
        let (to, lines) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(|line| _ = to.send(line)));
        self.log = Some(lines);
    }

    /// A node by the options in a folder, `serve.toml` and what that names.
    pub fn serving(folder: &Path) -> Node {
        let mut command = program("exec \"$0\" serve --config \"$CONFIG\"");
        command.env("CONFIG", folder.join("serve.toml"));
        let (mut node, log) = Node::begin(&mut command, folder.join("node.json"), None);
        node.read_log(log);
        node
    }

    fn run(config: &str, command: &mut Command) -> Node {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("node.json");
        std::fs::write(&file, config).unwrap();
        // Nobody reads the log after its first line, which the node must not mind.
        Node::begin(command.env("EDGE_CONFIG", &file), file, Some(folder)).0
    }

    fn begin(
        command: &mut Command,
        config: PathBuf,
        folder: Option<tempfile::TempDir>,
    ) -> (Node, BufReader<ChildStderr>) {
        let mut child = command.spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut early = Vec::new();
        let addr = loop {
            let mut line = String::new();
            assert!(log.read_line(&mut line).unwrap() > 0, "it ended: {early:?}");
            if let Some((_, addr)) = line.trim().rsplit_once("listening on ") {
                break addr.parse().unwrap();
            }
            early.push(line.trim().to_owned());
        };
        (Node { child, addr, config, log: None, early, _folder: folder }, log)
    }

    /// Waits for a line of the log with these words.
    pub fn logged(&self, words: &str) -> String {
        self.logged_until(words).pop().expect("the line")
    }

    /// Waits for a line of the log with these words; tells all lines up to it.
    pub fn logged_until(&self, words: &str) -> Vec<String> {
        let log = self.log.as_ref().expect("a log that is read");
        let (mut seen, start) = (Vec::new(), Instant::now());
        loop {
            match log.recv_timeout(PATIENCE.saturating_sub(start.elapsed())) {
                Ok(line) => {
                    seen.push(line);
                    if seen.last().is_some_and(|line| line.contains(words)) {
                        return seen;
                    }
                }
                Err(_) => panic!("no {words:?} in the log, but {seen:#?}"),
            }
        }
    }
}

impl Node {
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Where it listens for memcached; waits for the line of the log that tells it.
    pub fn memcached(&self) -> SocketAddr {
        let line = self.logged("is listening on");
        line.rsplit(' ').next().and_then(|addr| addr.parse().ok()).expect("an address")
    }

    pub fn client(&self) -> Client {
        Client::to(self.addr)
    }

    /// Waits until it serves.
    pub fn ping_once(&self) {
        self.client().ping();
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration by a text, and says so.
    pub fn reload(&self, config: &str) {
        std::fs::write(&self.config, config).unwrap();
        self.signal("-HUP");
    }

    /// The configuration as it is, with this address for discovery.
    pub fn config_with(&self, discovery: SocketAddr) -> String {
        let text = std::fs::read_to_string(&self.config).unwrap();
        text.replacen("{", &format!(r#"{{"discovery":"{discovery}","#), 1)
    }

    /// Has it read its files again, as they are.
    pub fn reload_files(&self) {
        self.signal("-HUP");
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &id]).status().unwrap().success());
    }

    /// Waits for its end; tells whether it was a success.
    pub fn exit(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A command's text.
pub fn words(words: &[&str]) -> String {
    let bulk: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
    format!("*{}\r\n{bulk}", words.len())
}

/// The id of reads that may be repeated.
const FIRST_ID: &str = "9b1f03aa5c7e2d41";

/// An id that no other request of the test has.
fn new_id() -> String {
    static LAST: AtomicU64 = AtomicU64::new(0x9b1f_03aa_5c7e_2d41);
    format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed) + 1)
}

/// A client's connection.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn to(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Client { reader: BufReader::new(stream) }
    }
    /// Another handle on the connection.
    pub fn stream(&self) -> TcpStream {
        self.reader.get_ref().try_clone().unwrap()
    }
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) {
        self.reader.get_mut().write_all(bytes.as_ref()).unwrap();
    }
    pub fn send(&mut self, command: &[&str]) {
        self.write(words(command));
    }
    pub fn get(&mut self, key: &str, facts: &str) {
        // What may be carried out once only has an id of its own.
        let id = if facts.contains("c=put") { new_id() } else { FIRST_ID.to_owned() };
        self.send(&["CACHE.GET", key, &id, facts]);
    }
    /// Each has an id of its own, as with any client: a write whose id comes again is not carried out again.
    pub fn set(&mut self, key: &str, facts: &str, value: &str) {
        self.send(&["CACHE.SET", key, &new_id(), facts, value]);
    }
    /// The next answer: a bulk string's text, or the line (`$-1` is none); nothing once the node has closed.
    pub fn answer(&mut self) -> Option<String> {
        let first = line(&mut self.reader)?;
        let Some(length) = first.strip_prefix('$').filter(|length| *length != "-1") else {
            return Some(first);
        };
        let value = bytes(&mut self.reader, length.parse().unwrap())?;
        line(&mut self.reader).map(|_| value)
    }
    /// The next answer, with a value cut down to its first characters, so that a test that fails can print it.
    pub fn short_answer(&mut self) -> Option<String> {
        const SHOWN_CHARACTERS: usize = 30;
        self.answer().map(|answer| answer.chars().take(SHOWN_CHARACTERS).collect())
    }
    /// An answer, if one has begun to come.
    pub fn try_answer(&mut self) -> Option<String> {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let come = !self.reader.buffer().is_empty() || stream.peek(&mut [0]).is_ok();
        self.reader.get_ref().set_nonblocking(false).unwrap();
        if come { self.answer() } else { None }
    }
    /// Reads until the node closes or resets the connection; tells how many bytes came.
    pub fn read_to_end(&mut self) -> usize {
        let mut all = Vec::new();
        let _ = self.reader.read_to_end(&mut all); // a reset is an end too
        all.len()
    }
    /// Whether the node has closed, with nothing before the end.
    pub fn closed(&mut self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false).unwrap();
        match peeked {
            Ok(read) => read == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
    /// Asks whether the node is there, and waits for no answer.
    pub fn ping_unanswered(&mut self) {
        self.send(&["PING"]);
    }
    /// Waits until something has come, and leaves it unread.
    pub fn wait_for_some(&mut self) {
        self.reader.fill_buf().unwrap();
    }
    /// Writes to a connection that the node may close meanwhile.
    pub fn try_write(&mut self, bytes: &str) {
        let _ = self.reader.get_mut().write_all(bytes.as_bytes());
    }
    /// Spends the time that a connection to a server rests before it is used again.
    pub fn rest(&mut self) {
        let start = Instant::now();
        while start.elapsed() < Duration::from_millis(40) {
            self.ping();
        }
    }
    pub fn ping(&mut self) {
        self.send(&["PING"]);
        assert_eq!(self.answer().as_deref(), Some("+PONG"));
    }
}

/// A node between one cache, an origin and discovery.
pub struct OneCache {
    pub cache: Fake,
    pub origin: Fake,
    pub discovery: Fake,
    pub node: Node,
}

impl OneCache {
    pub fn new() -> OneCache {
        let (cache, origin, discovery) = (Fake::cache(), Fake::http(), Fake::http());
        let node = Node::start(&list(41, &[("s-1", cache.addr)], origin.addr), discovery.addr);
        OneCache { cache, origin, discovery, node }
    }
}

/// A node whose one cache speaks memcached, and what stands round it.
pub struct OneMemcached {
    pub cache: Fake,
    pub node: Node,
    _others: (Fake, Fake, tempfile::TempDir),
}

impl OneMemcached {
    pub fn new() -> OneMemcached {
        let (cache, origin, discovery) = (Fake::memcached(), Fake::http(), Fake::http());
        let folder = tempfile::tempdir().unwrap();
        let file = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
        let known = list(41, &[("s-1", cache.addr)], origin.addr);
        let discovery_addr = discovery.addr;
        let config = format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery_addr}","seed":"8c1f30d27a5be964","limits":{{"sockets":1024,"memory_mb":192}},"known":{known},"settings":{SETTINGS}}}"#,
        );
        file("node.json", &config);
        file("memcached.toml", "[boxes]\nkinds = [\"m\"]\n");
        file("serve.toml", "node = \"node.json\"\nmemcached = \"memcached.toml\"\n");
        let node = Node::serving(folder.path());
        OneMemcached { cache, node, _others: (origin, discovery, folder) }
    }
}

/// The head of a cache's answer with a value of so many bytes.
pub fn value_head(length: usize) -> String {
    format!("*3\r\n${length}\r\n")
}

/// Sends two reads on one connection; tells the calls of the first and of the second.
pub fn two_reads(client: &mut Client, cache: &Fake, facts: &str) -> (Call, Call) {
    client.send(&["CACHE.GET", "first", "id1", facts]);
    client.send(&["CACHE.GET", "second", "id2", facts]);
    let (one, other) = (cache.call(), cache.call());
    if one.key() == "first" { (one, other) } else { (other, one) }
}

/// A client's connection over memcached.
pub struct Widget(TcpStream);

impl Widget {
    pub fn new(to: SocketAddr) -> Widget {
        let stream = TcpStream::connect(to).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Widget(stream)
    }
    pub fn write(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).unwrap();
    }
    pub fn send(&mut self, packet: &Packet) {
        let mut text = BytesMut::new();
        packet.put_request(&mut text);
        self.write(&text);
    }
    /// The next answer; nothing once the node has closed.
    pub fn answer(&mut self) -> Option<Packet> {
        read_packet(&mut self.0, next_response)
    }
    /// Says that nothing more comes.
    pub fn leave(&self) {
        self.0.shutdown(Shutdown::Write).unwrap();
    }
    /// All that comes until the node closes.
    pub fn rest(&mut self) -> Vec<u8> {
        let mut all = Vec::new();
        let _ = self.0.read_to_end(&mut all);
        all
    }
    /// An answer, if one has begun to come.
    pub fn try_answer(&mut self) -> Option<Packet> {
        self.0.set_nonblocking(true).unwrap();
        let come = self.0.peek(&mut [0]).is_ok();
        self.0.set_nonblocking(false).unwrap();
        if come { self.answer() } else { None }
    }
}

/// A request for a key.
pub fn get(opcode: Opcode, key: &str, opaque: u32) -> Packet {
    Packet { key: key.to_owned().into(), ..Packet::new(opcode, opaque) }
}

/// A request that stores a value.
pub fn set(opcode: Opcode, key: &str, value: &str, opaque: u32) -> Packet {
    Packet { extras: [0; 8][..].to_vec().into(), value: value.to_owned().into(), ..get(opcode, key, opaque) }
}
