//! Clients that stop in the middle of a write and stay, and a sound client beside them that writes.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use lilacquay_codec::resp::next_frame;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

use crate::clients::encode_command_with_value;

/// How many clients stop in a write, how long its value is, and how much of the command they send.
const STOPPED_CLIENTS: [(usize, usize, usize); 3] =
    [(8, 4 << 20, 64 << 10), (4, 4 << 20, 3 << 20), (60, 60_000, 30_000)];
/// A client that has stopped gets its error or its close within this time.
pub(super) const STOPPED_CLIENT_LIMIT: Duration = Duration::from_millis(3000 + 50);
/// Clients that have stopped give up after this time.
const STOPPED_CLIENT_PATIENCE: Duration = Duration::from_millis(4500);
/// The number of sound writes, and the pause before each.
const SOUND_WRITES: usize = 12;
const SOUND_WRITE_PAUSE: Duration = Duration::from_millis(120);
/// The size of the value of a sound write, in bytes.
const SOUND_VALUE_BYTES: usize = 16 << 10;
const SOUND_WRITE_TIMEOUT: Duration = Duration::from_millis(1000);
/// A final answer is due this long after the client's time-out at the latest.
const FINAL_ANSWER_LIMIT: Duration = Duration::from_millis(500 + 50);
/// A sound client reads no longer than this.
const SOUND_CLIENT_PATIENCE: Duration = Duration::from_millis(3500);

/// What the clients at one node saw.
#[derive(Default)]
pub(super) struct StoppedWriteReport {
    /// Clients that stopped in a write.
    pub stopped: usize,
    /// How long each client that was kept beyond the limit was kept.
    pub kept_too_long: Vec<Duration>,
    /// Sound writes that were answered.
    pub answered: usize,
    /// How long sound writes that were answered after the limit, or not at all, took.
    pub late: Vec<LateWrite>,
}

/// A sound write that got no final answer in time.
pub(super) struct LateWrite {
    pub id: String,
    /// The time beyond its limit.
    pub beyond_limit: Duration,
}

/// Plays the clients at one node, from a time on.
pub(super) async fn run_stopped_writes(node: SocketAddr, seed: u64, from: Instant) -> StoppedWriteReport {
    sleep_until(from.into()).await;
    let mut report = StoppedWriteReport::default();
    let mut stopped = JoinSet::new();
    for (group, (clients, value_bytes, sent_bytes)) in STOPPED_CLIENTS.into_iter().enumerate() {
        for n in 0..clients {
            let id = format!("s{seed:08x}-{group}-{n}");
            stopped.spawn(stop_in_write(node, id, value_bytes, sent_bytes));
        }
    }
    for n in 0..SOUND_WRITES {
        sleep(SOUND_WRITE_PAUSE).await;
        write_soundly(node, format!("w{seed:08x}-{n}"), &mut report).await;
    }
    while let Some(kept) = stopped.join_next().await {
        let Ok(Some(kept)) = kept else { continue };
        report.stopped += 1;
        if kept > STOPPED_CLIENT_LIMIT {
            report.kept_too_long.push(kept);
        }
    }
    report
}

/// Sends the beginning of a write and waits for the end of the connection. Returns how long that took; none if the node did
/// not take the beginning.
async fn stop_in_write(
    node: SocketAddr,
    id: String,
    value_bytes: usize,
    sent_bytes: usize,
) -> Option<Duration> {
    let mut stream = TcpStream::connect(node).await.ok()?;
    let write = encode_write(&id, &vec![b'x'; value_bytes], STOPPED_CLIENT_LIMIT);
    timeout(STOPPED_CLIENT_PATIENCE, stream.write_all(&write[..sent_bytes])).await.ok()?.ok()?;
    let stopped = Instant::now();
    let mut answer = Vec::new();
    let _ = timeout(STOPPED_CLIENT_PATIENCE, stream.read_to_end(&mut answer)).await; // a reset is an end, too
    Some(stopped.elapsed())
}

/// Sends a whole write and reports how it was answered. A node that can't be reached, or ends meanwhile, answers nothing.
async fn write_soundly(node: SocketAddr, id: String, report: &mut StoppedWriteReport) {
    let Ok(mut stream) = TcpStream::connect(node).await else { return };
    let write = encode_write(&id, &[b'v'; SOUND_VALUE_BYTES], SOUND_WRITE_TIMEOUT);
    if stream.write_all(&write).await.is_err() {
        return;
    }
    let sent = Instant::now();
    let deadline = sent + SOUND_CLIENT_PATIENCE;
    let mut buffer = BytesMut::new();
    loop {
        match timeout_at(deadline.into(), stream.read_buf(&mut buffer)).await {
            Ok(Ok(1..)) => {}
            Ok(_) => return, // the process has ended
            Err(_) => break,
        }
        if let Ok(Some(_)) = next_frame(&mut buffer, SOUND_VALUE_BYTES) {
            report.answered += 1;
            break;
        }
    }
    let beyond_limit = sent.elapsed().saturating_sub(SOUND_WRITE_TIMEOUT + FINAL_ANSWER_LIMIT);
    if beyond_limit > Duration::ZERO {
        report.late.push(LateWrite { id, beyond_limit });
    }
}

fn encode_write(id: &str, value: &[u8], client_timeout: Duration) -> BytesMut {
    let facts = format!("c=signup,d={},k={id}", client_timeout.as_millis());
    encode_command_with_value("5707", id, &facts, Some(value))
}
