//! Clients that read a large value slowly while their node is told to end, and send commands meanwhile.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

use crate::clients::encode_command_with_value;

/// The size of the large values, in bytes.
const LARGE_VALUE_BYTES: usize = 1 << 20;
/// How much is read at once, and the pause before: a value takes about a second.
const READ_BYTES: usize = 16 << 10;
const READ_PAUSE: Duration = Duration::from_millis(15);
/// How long before SIGTERM a client begins to have its key stored, and to ask for the large value.
const BEGINS_BEFORE: Duration = Duration::from_millis(1200);
const ASKS_BEFORE: Duration = Duration::from_millis(450);
/// When commands are sent after SIGTERM: by then a node closes idle connections.
const SENDS_AFTER: [Duration; 2] = [Duration::from_millis(550), Duration::from_millis(600)];
/// Nothing comes for this long only from a node that will send nothing more.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// The same for values whose servers pause.
const PAUSED_READ_TIMEOUT: Duration = Duration::from_millis(7000);
/// Values up to this length are not large.
const MAX_SMALL_VALUE_BYTES: usize = 64 << 10;
const FACTS: &str = "c=lookup,d=1990";

/// What one client saw.
#[derive(Debug)]
pub(super) struct SlowReaderReport {
    /// The id of its read.
    pub id: String,
    /// The bytes of the value that have come.
    pub come: usize,
    /// The bytes of the value.
    pub wanted: usize,
    /// Whether it was still reading when it sent commands after SIGTERM.
    pub sent_while_reading: bool,
}

impl SlowReaderReport {
    pub fn is_cut_off(&self) -> bool {
        self.come < self.wanted
    }
}

/// Plays one client at a node that gets SIGTERM at a time. Returns none if no large value began to come.
pub(super) async fn run_slow_reader(
    node: SocketAddr,
    seed: u64,
    sigterm_at: Instant,
) -> Option<SlowReaderReport> {
    let key = format!("large-{seed:08x}");
    sleep_until((sigterm_at - BEGINS_BEFORE).into()).await;
    let mut stream = TcpStream::connect(node).await.ok()?;
    let mut number = 0;
    // The first reads have the value stored at the cache that the node asks.
    while Instant::now() + ASKS_BEFORE < sigterm_at {
        number += 1;
        ask(&mut stream, &key, &format!("r{seed:08x}-{number}"), FACTS).await?;
        read_answer_header(&mut stream).await?;
        sleep(Duration::from_millis(40)).await;
    }
    let id = format!("r{seed:08x}-large");
    ask(&mut stream, &key, &id, &format!("{FACTS},size={LARGE_VALUE_BYTES}")).await?;
    let (wanted, come) = read_answer_header(&mut stream).await?;
    if wanted < LARGE_VALUE_BYTES {
        return None;
    }
    let mut report = SlowReaderReport { id, come, wanted, sent_while_reading: false };
    report.read_slowly(&mut stream, &key, sigterm_at).await;
    Some(report)
}

impl SlowReaderReport {
    async fn read_slowly(&mut self, stream: &mut TcpStream, key: &str, sigterm_at: Instant) {
        let mut buffer = vec![0; READ_BYTES];
        let mut sends = SENDS_AFTER.map(|after| sigterm_at + after).into_iter().peekable();
        while self.is_cut_off() {
            if sends.next_if(|due| Instant::now() >= *due).is_some() {
                self.sent_while_reading = true;
                let id = format!("{}-{}", self.id, self.come);
                let _ = ask(stream, key, &id, FACTS).await; // the node need not read it
            }
            sleep(READ_PAUSE).await;
            match timeout(READ_TIMEOUT, stream.read(&mut buffer)).await {
                Ok(Ok(read @ 1..)) => self.come += read,
                _ => return,
            }
        }
    }
}

pub(super) async fn ask(stream: &mut TcpStream, key: &str, id: &str, facts: &str) -> Option<()> {
    stream.write_all(&encode_command_with_value(key, id, facts, None)).await.ok()
}

/// Reads up to this many bytes, to the end of the connection or until nothing comes for as long as servers pause and more;
/// returns how many came.
pub(super) async fn read_to_end(stream: &mut TcpStream, bytes: usize) -> usize {
    let (mut buffer, mut come) = (vec![0; READ_BYTES], 0);
    while come < bytes {
        let room = READ_BYTES.min(bytes - come);
        match timeout(PAUSED_READ_TIMEOUT, stream.read(&mut buffer[..room])).await {
            Ok(Ok(read @ 1..)) => come += read,
            _ => break,
        }
    }
    come
}

/// Reads an answer up to its first line, and the value behind it if that is small. Returns the length of a value, 0 for
/// other answers, and how many bytes of it were read.
pub(super) async fn read_answer_header(stream: &mut TcpStream) -> Option<(usize, usize)> {
    let mut buffer = BytesMut::new();
    loop {
        if timeout(READ_TIMEOUT, stream.read_buf(&mut buffer)).await.ok()?.ok()? == 0 {
            return None;
        }
        let Some(end) = buffer.windows(2).position(|pair| pair == b"\r\n") else { continue };
        let line = std::str::from_utf8(&buffer[..end]).ok()?;
        let length: usize = line.strip_prefix('$').and_then(|length| length.parse().ok()).unwrap_or(0);
        let come = buffer.len() - end - b"\r\n".len();
        if length > MAX_SMALL_VALUE_BYTES || length == 0 || come >= length + b"\r\n".len() {
            return Some((length, come.min(length)));
        }
    }
}
