//! RESP2 clients that pipeline commands, with some large writes among them, steadily or in bursts, on a connection that they
//! keep until the node closes it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use lilacquay_codec::resp::{Frame, next_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::clients::{encode_command_with_value, is_value_for};
use crate::clock::{Clock, Micros};

/// The number of requests that a steady client keeps in flight.
const STEADY_IN_FLIGHT: usize = 3;
/// The range of the number of commands in a burst, which are written at once.
const COMMANDS_PER_BURST: std::ops::Range<usize> = 4..11;
/// The upper bound of a client's random pause between the last answer to a burst and the next burst, in milliseconds.
const MAX_BURST_PAUSE_MS: u64 = 150;
/// One in this many commands is a large write.
const LARGE_WRITE_INTERVAL: usize = 9;
/// The size of the value of a large write, in bytes.
const LARGE_VALUE_BYTES: usize = 40_000;
/// One in this many commands is a read of a large value, of this many bytes.
const LARGE_READ_INTERVAL: usize = 7;
const LARGE_READ_FACTS: &str = "c=lookup,d=600,size=200000";
/// The class and deadline that the requests state: 1990 ms is nearly the longest deadline of the settings.
const READ_FACTS: &str = "c=lookup,d=1990";
const WRITE_FACTS: &str = "c=signup,d=1990";
/// A command that was written at least this long before its connection ended did not cross the close on the network, so the
/// node should have answered it. It is longer than the time for which an ending node stops reading, and than a node may be
/// paused.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(400);
/// How long a client waits for data before it gives the connection up: longer than any answer may take;
/// silence this long means that the node has lost the request.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// The largest answer that a client reads, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// How a client pipelines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pace {
    /// Always keeps [`STEADY_IN_FLIGHT`] requests in flight.
    Steady,
    /// Writes several requests at once, waits for all answers, and pauses.
    Bursts,
}

/// Runs a client until a time. It pipelines on one connection until that ends, then connects again.
pub(super) async fn run_pipelining_client(
    node: SocketAddr,
    seed: u64,
    pace: Pace,
    until: Instant,
    clock: Clock,
) -> PipelineReport {
    let rng = fastrand::Rng::with_seed(seed);
    let mut client = Client { seed, pace, next_number: 0, rng, until, clock };
    let mut report = PipelineReport::default();
    while Instant::now() < until {
        match TcpStream::connect(node).await {
            Ok(stream) => client.run_connection(stream, &mut report).await,
            Err(_) => sleep(Duration::from_millis(20)).await, // the node may be restarting
        }
    }
    report
}

/// What a pipelining client saw.
#[derive(Default)]
pub(super) struct PipelineReport {
    pub answered: usize,
    /// The number of large writes that were written completely.
    pub large_writes: usize,
    /// The number of reads of large values that were answered, and of those that were answered as failed.
    pub large_reads: usize,
    pub failed_large_reads: usize,
    /// Requests that had no answer when their connection ended.
    pub unanswered: Vec<Unanswered>,
    /// The ids of requests of whose answer a part had come when their connection ended or was given up.
    pub partly_answered: Vec<String>,
    /// The ids of requests that were answered with the value of another request.
    pub foreign_answers: Vec<String>,
}

/// A request without an answer.
pub(super) struct Unanswered {
    pub id: String,
    pub written_at: Instant,
    /// When its connection ended, also on the fleet's clock.
    pub ended_at: Instant,
    pub ended: Micros,
    /// Whether the connection ended within the value of an earlier request, so that no later answer could follow.
    pub after_partial_value: bool,
    /// Whether the last answer on the connection was a whole large value.
    pub after_large_value: bool,
}

impl Unanswered {
    /// Whether it had waited for longer than a request that crosses the close of its connection may.
    pub fn is_overdue(&self, allowance: Duration) -> bool {
        !self.after_partial_value
            && self.ended_at.duration_since(self.written_at) > UNANSWERED_LIMIT + allowance
    }
}

/// A request in flight.
struct InFlight {
    id: String,
    key: String,
    /// Whether it reads a large value.
    is_large_read: bool,
    written_at: Instant,
}

struct Client {
    seed: u64,
    pace: Pace,
    /// The number of the next request; part of its id.
    next_number: usize,
    rng: fastrand::Rng,
    until: Instant,
    clock: Clock,
}

impl Client {
    /// Sends requests on one connection until it ends.
    async fn run_connection(&mut self, mut stream: TcpStream, report: &mut PipelineReport) {
        let (mut in_flight, mut buffer) = (VecDeque::new(), BytesMut::new());
        let mut after_large_value = false;
        loop {
            if !self.write_next(&mut stream, &mut in_flight, report).await || in_flight.is_empty() {
                break;
            }
            let read = timeout(READ_TIMEOUT, stream.read_buf(&mut buffer)).await;
            let open = matches!(read, Ok(Ok(1..)));
            while let Ok(Some(frame)) = next_frame(&mut buffer, MAX_ANSWER_BYTES) {
                let Some(request) = in_flight.pop_front() else { break };
                report.record_answer(&request, &frame);
                after_large_value = request.is_large_read && matches!(frame, Frame::BulkString(_));
            }
            if !open {
                break;
            }
        }
        // The request whose value has begun counts as answered in part, not as unanswered.
        let after_partial_value = !buffer.is_empty();
        if after_partial_value && let Some(request) = in_flight.pop_front() {
            report.partly_answered.push(request.id);
        }
        let (ended_at, ended) = (Instant::now(), self.clock.now());
        let unanswered = |InFlight { id, written_at, .. }: InFlight| Unanswered {
            id,
            written_at,
            ended_at,
            ended,
            after_partial_value,
            after_large_value,
        };
        report.unanswered.extend(in_flight.into_iter().map(unanswered));
    }

    /// Writes the requests that are due by its pace; returns whether the connection accepted them.
    async fn write_next(
        &mut self,
        stream: &mut TcpStream,
        in_flight: &mut VecDeque<InFlight>,
        report: &mut PipelineReport,
    ) -> bool {
        let due = match self.pace {
            Pace::Steady => STEADY_IN_FLIGHT - STEADY_IN_FLIGHT.min(in_flight.len()),
            Pace::Bursts if in_flight.is_empty() => {
                sleep(Duration::from_millis(self.rng.u64(0..MAX_BURST_PAUSE_MS))).await;
                self.rng.usize(COMMANDS_PER_BURST)
            }
            Pace::Bursts => 0,
        };
        if due == 0 || Instant::now() >= self.until {
            return true;
        }
        let mut text = BytesMut::new();
        let large_writes = report.large_writes;
        for _ in 0..due {
            let (request, command) = self.next_command(report);
            text.unsplit(command);
            in_flight.push_back(request);
        }
        let written = stream.write_all(&text).await.is_ok();
        if !written {
            report.large_writes = large_writes;
        }
        written
    }

    fn next_command(&mut self, report: &mut PipelineReport) -> (InFlight, BytesMut) {
        let id = format!("p{:08x}-{}", self.seed, self.next_number);
        let key = format!("{:016x}", self.next_number % 50);
        self.next_number += 1;
        let mut is_large_read = false;
        let text = if self.next_number.is_multiple_of(LARGE_WRITE_INTERVAL) {
            report.large_writes += 1;
            encode_command_with_value(
                &key,
                &id,
                &format!("{WRITE_FACTS},k={id}"),
                Some(&[b'x'; LARGE_VALUE_BYTES]),
            )
        } else {
            is_large_read = self.next_number.is_multiple_of(LARGE_READ_INTERVAL);
            let facts = if is_large_read { LARGE_READ_FACTS } else { READ_FACTS };
            encode_command_with_value(&key, &id, facts, None)
        };
        (InFlight { id, key, is_large_read, written_at: Instant::now() }, text)
    }
}

impl PipelineReport {
    fn record_answer(&mut self, request: &InFlight, frame: &Frame) {
        self.answered += 1;
        self.large_reads += usize::from(request.is_large_read);
        self.failed_large_reads += usize::from(request.is_large_read && matches!(frame, Frame::Error(_)));
        if let Frame::BulkString(value) = frame
            && !is_value_for(value, &request.id, &request.key)
        {
            self.foreign_answers.push(request.id.clone());
        }
    }
}
