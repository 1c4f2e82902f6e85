//! Clients that read values which their servers write with pauses, clients that read none of what they asked for, and clients
//! that send commands at full speed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until, timeout};

use super::slow_readers::{SlowReaderReport, ask, read_answer_header, read_to_end};
use crate::clients::encode_command_with_value;
use crate::clock::{Clock, Micros};

/// The size of the values that are written with pauses, in bytes.
const PAUSED_VALUE_BYTES: usize = 200_000;
/// The number of such values that one client asks for, and how long it waits for each to begin.
const PAUSED_VALUES: usize = 3;
const PAUSED_VALUE_FACTS: &str = "c=lookup,d=430";
/// Reads before the first value, which have the key stored.
const WARM_UP_READS: usize = 12;
/// How many clients do not read, how many values each asks for, and their size in bytes.
const UNREADING_CLIENTS: usize = 60;
const UNREAD_VALUES: usize = 4;
const UNREAD_VALUE_BYTES: usize = 1 << 20;
/// How long clients that do not read stay.
const UNREADING_TIME: Duration = Duration::from_millis(2500);
/// How many commands are sent at once, how often, and for how long.
const FLOOD_BATCH: usize = 200;
const FLOOD_INTERVAL: Duration = Duration::from_millis(5);
const FLOOD_TIME: Duration = Duration::from_millis(1500);

/// A value that was asked for while its server wrote with pauses.
#[derive(Debug)]
pub(super) struct PausedValueReport {
    pub value: SlowReaderReport,
    /// When it had begun to come, on the fleet's clock.
    pub began: Micros,
    /// When its connection ended or its last byte came, on the fleet's clock.
    pub ended: Micros,
}

/// Asks one node for values, from a time on.
pub(super) async fn read_paused_values(
    node: SocketAddr,
    seed: u64,
    from: Instant,
    clock: Clock,
) -> Vec<PausedValueReport> {
    sleep_until(from.into()).await;
    let key = format!("paused-{seed:08x}");
    let mut reports = Vec::new();
    for n in 0..WARM_UP_READS + PAUSED_VALUES {
        let Ok(mut stream) = TcpStream::connect(node).await else { continue };
        let id = format!("v{seed:08x}-{n}");
        let facts = match n < WARM_UP_READS {
            true => "c=lookup,d=990".to_owned(),
            false => format!("{PAUSED_VALUE_FACTS},size={PAUSED_VALUE_BYTES}"),
        };
        if ask(&mut stream, &key, &id, &facts).await.is_none() {
            continue;
        }
        let Some((wanted, come)) = read_answer_header(&mut stream).await else { continue };
        if wanted < PAUSED_VALUE_BYTES {
            continue;
        }
        let mut value = SlowReaderReport { id, come, wanted, sent_while_reading: false };
        let began = clock.now();
        value.come += read_to_end(&mut stream, wanted - come).await;
        reports.push(PausedValueReport { value, began, ended: clock.now() });
    }
    reports
}

/// Has many clients ask one node for several large values each, and read nothing. Returns how many asked.
pub(super) async fn ask_and_read_nothing(node: SocketAddr, seed: u64, from: Instant) -> usize {
    sleep_until(from.into()).await;
    let mut clients = Vec::new();
    for client in 0..UNREADING_CLIENTS {
        let Ok(mut stream) = TcpStream::connect(node).await else { continue };
        let facts = format!("c=lookup,d=1990,size={UNREAD_VALUE_BYTES}");
        let mut asked = 0;
        for n in 0..UNREAD_VALUES {
            let id = format!("u{seed:08x}-{client}-{n}");
            asked += usize::from(ask(&mut stream, "unread", &id, &facts).await.is_some());
        }
        if asked == UNREAD_VALUES {
            clients.push(stream);
        }
    }
    sleep(UNREADING_TIME).await;
    clients.len()
}

/// Sends commands that are answered at once on one connection, as fast as they are taken. Returns how many.
pub(super) async fn flood(node: SocketAddr, seed: u64, from: Instant) -> usize {
    sleep_until(from.into()).await;
    let Ok(stream) = TcpStream::connect(node).await else { return 0 };
    let (mut reader, mut writer) = stream.into_split();
    let reading = tokio::spawn(async move { tokio::io::copy(&mut reader, &mut tokio::io::sink()).await });
    let (mut sent, end) = (0, Instant::now() + FLOOD_TIME);
    while Instant::now() < end {
        let batch: Vec<u8> = (sent..sent + FLOOD_BATCH)
            .flat_map(|n| {
                let facts = format!("c=unknown-{n},d=100");
                encode_command_with_value(&format!("f{n}"), &format!("f{seed:08x}-{n}"), &facts, None)
            })
            .collect();
        match timeout(FLOOD_TIME, writer.write_all(&batch)).await {
            Ok(Ok(())) => sent += FLOOD_BATCH,
            _ => break,
        }
        sleep(FLOOD_INTERVAL).await;
    }
    reading.abort();
    sent
}
