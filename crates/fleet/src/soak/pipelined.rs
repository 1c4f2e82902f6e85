//! Clients that pipeline on a connection which they keep up to the node's end: steadily or in bursts, some large writes among
//! their commands.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use lilacquay_codec::resp::{Frame, next_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::clients::{encode_command_with_value, is_value_for};

/// Requests that a client has under way.
const IN_FLIGHT: usize = 3;
/// A burst has so many commands, written at once.
const BURST: std::ops::Range<usize> = 4..11;
/// After a burst is answered its client rests for up to so long, in milliseconds.
const REST_MS: u64 = 150;
/// One command in so many is a large write.
const LARGE_EVERY: usize = 9;
/// The value of a large write, in bytes.
const LARGE: usize = 40_000;
/// What they say of themselves: with nearly the longest deadline of the settings.
const READ: &str = "c=lookup,d=1990";
const WRITE: &str = "c=signup,d=1990";
/// A command that has lain for so long was not crossed by its connection's end: longer than a node reads nothing while it
/// waits for its own end, and than it may be held up.
const LAIN: Duration = Duration::from_millis(400);
/// A client that hears nothing for so long has been forgotten: longer than any answer may take.
const SILENCE: Duration = Duration::from_millis(2500);
/// The longest answer that a client reads, in bytes.
const LONGEST_ANSWER: usize = 1 << 20;

/// How a client pipelines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Pace {
    /// It always has some requests under way.
    Steady,
    /// It writes several at once, waits for all answers and rests.
    Bursts,
}

/// A client that pipelines on one connection, up to the node's end; then it connects again.
pub(super) async fn pipelined(to: SocketAddr, seed: u64, pace: Pace, until: Instant) -> Pipelined {
    let mut client = Client { seed, pace, number: 0, rng: fastrand::Rng::with_seed(seed), until };
    let mut seen = Pipelined::default();
    while Instant::now() < until {
        match TcpStream::connect(to).await {
            Ok(stream) => client.ask_on(stream, &mut seen).await,
            Err(_) => sleep(Duration::from_millis(20)).await, // it starts again
        }
    }
    seen
}

/// What a pipelined client saw.
#[derive(Default)]
pub(super) struct Pipelined {
    pub answered: usize,
    /// Large writes that were written whole.
    pub large: usize,
    /// Without an answer when the connection ended.
    pub unanswered: Vec<Unanswered>,
    /// Answers made for other requests.
    pub foreign: Vec<String>,
}

/// A request without an answer.
pub(super) struct Unanswered {
    pub id: String,
    /// When it was written, and when its connection ended.
    pub written: Instant,
    pub ended: Instant,
    /// Whether a value that had begun broke off before it: no answer can follow on that connection.
    pub behind_broken: bool,
}

impl Unanswered {
    /// Whether it had lain for longer than an end that crosses it explains.
    pub fn has_lain(&self, granted: Duration) -> bool {
        !self.behind_broken && self.ended.duration_since(self.written) > LAIN + granted
    }
}

/// A request under way.
struct Asked {
    id: String,
    key: String,
    written: Instant,
}

struct Client {
    seed: u64,
    pace: Pace,
    /// The number of the next request.
    number: usize,
    rng: fastrand::Rng,
    until: Instant,
}

impl Client {
    /// Asks on one connection until it ends.
    async fn ask_on(&mut self, mut stream: TcpStream, seen: &mut Pipelined) {
        let (mut owed, mut buffer) = (VecDeque::new(), BytesMut::new());
        loop {
            if !self.write_next(&mut stream, &mut owed, seen).await || owed.is_empty() {
                break;
            }
            let read = timeout(SILENCE, stream.read_buf(&mut buffer)).await;
            let open = matches!(read, Ok(Ok(1..)));
            while let Ok(Some(frame)) = next_frame(&mut buffer, LONGEST_ANSWER) {
                let Some(asked) = owed.pop_front() else { break };
                seen.answer(&asked, &frame);
            }
            if !open {
                break;
            }
        }
        // Behind the beginning of a value its own request has had its end.
        let behind_broken = !buffer.is_empty();
        if behind_broken {
            owed.pop_front();
        }
        let ended = Instant::now();
        let unanswered = |Asked { id, written, .. }: Asked| Unanswered { id, written, ended, behind_broken };
        seen.unanswered.extend(owed.into_iter().map(unanswered));
    }

    /// Writes what its pace asks for now; tells whether the connection took it.
    async fn write_next(
        &mut self,
        stream: &mut TcpStream,
        owed: &mut VecDeque<Asked>,
        seen: &mut Pipelined,
    ) -> bool {
        let wanted = match self.pace {
            Pace::Steady => IN_FLIGHT - IN_FLIGHT.min(owed.len()),
            Pace::Bursts if owed.is_empty() => {
                sleep(Duration::from_millis(self.rng.u64(0..REST_MS))).await;
                self.rng.usize(BURST)
            }
            Pace::Bursts => 0,
        };
        if wanted == 0 || Instant::now() >= self.until {
            return true;
        }
        let mut text = BytesMut::new();
        let large = seen.large;
        for _ in 0..wanted {
            let (asked, command) = self.command(seen);
            text.unsplit(command);
            owed.push_back(asked);
        }
        let written = stream.write_all(&text).await.is_ok();
        if !written {
            seen.large = large;
        }
        written
    }

    fn command(&mut self, seen: &mut Pipelined) -> (Asked, BytesMut) {
        let id = format!("p{:08x}-{}", self.seed, self.number);
        let key = format!("{:016x}", self.number % 50);
        self.number += 1;
        let text = if self.number.is_multiple_of(LARGE_EVERY) {
            seen.large += 1;
            encode_command_with_value(&key, &id, &format!("{WRITE},k={id}"), Some(&[b'x'; LARGE]))
        } else {
            encode_command_with_value(&key, &id, READ, None)
        };
        (Asked { id, key, written: Instant::now() }, text)
    }
}

impl Pipelined {
    fn answer(&mut self, asked: &Asked, frame: &Frame) {
        self.answered += 1;
        if let Frame::BulkString(value) = frame
            && !is_value_for(value, &asked.id, &asked.key)
        {
            self.foreign.push(asked.id.clone());
        }
    }
}
