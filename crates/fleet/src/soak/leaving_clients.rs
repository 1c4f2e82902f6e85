//! Clients that send many commands at once and close their connections, so that the end of the stream lies behind what their
//! system still sends.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::net::TcpStream;
use tokio::time::{sleep, sleep_until};

use crate::clients::encode_command_with_value;
use crate::clock::{Clock, Micros};
use crate::record::{Event, Record};

/// How often clients come to one node, and the pause between.
const VISITS: usize = 3;
const VISIT_INTERVAL: Duration = Duration::from_millis(900);
/// How many commands a client writes at most, and for how long.
const COMMANDS: usize = 4000;
const SENDS_FOR: Duration = Duration::from_millis(30);
const FACTS: &str = "c=lookup,d=1990";
/// An attempt that begins later than this after its client has closed is a lost request: 0.1 s, and what sockets allow
/// beyond a time limit.
const LEFT_LIMIT_US: Micros = 100_000 + 50_000;

/// A client that has left.
#[derive(Debug)]
pub(super) struct Departure {
    /// What the ids of its requests begin with.
    pub id_prefix: String,
    /// When it had closed, on the fleet's clock.
    pub left_at: Micros,
}

impl Departure {
    /// The ids of its requests that a server received too late, with how long after the departure.
    pub fn late_attempts<'r>(
        &self,
        records: &'r [Record],
        allowance: Micros,
    ) -> impl Iterator<Item = (&'r str, Micros)> {
        let (latest, left_at) = (self.left_at + LEFT_LIMIT_US + allowance, self.left_at);
        let prefix = self.id_prefix.clone();
        records.iter().filter_map(move |record| match &record.event {
            Event::Received(request)
                if request.id.starts_with(&prefix)
                    && record.at.saturating_sub(record.scheduling_delay) > latest =>
            {
                Some((request.id.as_str(), record.at - left_at))
            }
            _ => None,
        })
    }
}

/// Has clients come to one node, one after another, from a time on.
pub(super) async fn send_much_and_leave(
    node: SocketAddr,
    seed: u64,
    from: Instant,
    clock: Clock,
) -> Vec<Departure> {
    sleep_until(from.into()).await;
    let mut departures = Vec::new();
    for visit in 0..VISITS {
        let id_prefix = format!("g{seed:08x}-{visit}-");
        if let Ok(stream) = TcpStream::connect(node).await {
            write_until_blocked(&stream, &id_prefix).await;
            drop(stream);
            departures.push(Departure { id_prefix, left_at: clock.now() });
        }
        sleep(VISIT_INTERVAL).await;
    }
    departures
}

/// Writes commands for as long as the client's system takes them, for [`SENDS_FOR`] at most.
async fn write_until_blocked(stream: &TcpStream, id_prefix: &str) {
    let commands: Vec<u8> = (0..COMMANDS)
        .flat_map(|n| {
            encode_command_with_value(&format!("{:016x}", n % 300), &format!("{id_prefix}{n}"), FACTS, None)
        })
        .collect();
    let (mut rest, until) = (&commands[..], Instant::now() + SENDS_FOR);
    while !rest.is_empty() && Instant::now() < until {
        match stream.try_write(rest) {
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                sleep(Duration::from_millis(1)).await;
            }
            Err(_) => return, // the node may be ending
        }
    }
}
