//! Large values: bytes from a server's connection to the client's, as they come.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use lilacquay_core::{Feeder, Outcome, Room, Unwanted};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};

/// A server that gives no byte of a value for so long has stalled, whatever time its client has left.
const STALL: Duration = Duration::from_secs(5);
/// A value that has stopped is given up so long after its client's time, which is owed its end within half a second.
const LAST_ANSWER: Duration = Duration::from_millis(400);
/// A value that goes on past its client's time is given up once it stops for so long.
const LATE_STALL: Duration = Duration::from_secs(1);

/// Why a value has not come to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Broken {
    /// The server closed, broke or stalled.
    Server,
    /// Nobody wants the rest.
    Unwanted,
}

impl From<Unwanted> for Broken {
    fn from(Unwanted: Unwanted) -> Self {
        Broken::Unwanted
    }
}

impl Broken {
    /// The outcome of such an attempt. A stall is a break too: it counts against the server.
    pub fn outcome(self) -> Outcome {
        match self {
            Broken::Server => Outcome::Reset,
            Broken::Unwanted => Outcome::Canceled,
        }
    }
}

/// Passes a value on to its last byte. `come` holds what has come of the connection behind the value's head, and in the
/// end what has come behind the value.
pub(crate) async fn pass(
    stream: &mut (impl AsyncRead + Unpin),
    come: &mut BytesMut,
    feeder: &mut Feeder,
    deadline: Instant,
) -> Result<(), Broken> {
    while feeder.left() > 0 {
        let room = feeder.room().await?;
        if come.is_empty() {
            // A buffer of its own for each piece, which ends with the piece. Capacity is what is granted.
            let mut piece = BytesMut::with_capacity(room.bytes());
            let mut limited = (&mut *stream).take(room.bytes() as u64);
            if read(deadline, limited.read_buf(&mut piece)).await? == 0 {
                return Err(Broken::Server);
            }
            *come = piece;
        }
        feed(come, feeder, room)?;
    }
    Ok(())
}

fn feed(come: &mut BytesMut, feeder: &mut Feeder, room: Room) -> Result<(), Broken> {
    let bytes = come.len().min(feeder.left()).min(room.bytes());
    let piece = come.split_to(bytes);
    // Guards against: some bytes that hold on to the whole of a buffer which they came in.
    let piece = match piece.capacity() > 2 * bytes {
        true => Bytes::copy_from_slice(&piece),
        false => piece.freeze(),
    };
    if come.is_empty() {
        *come = BytesMut::new();
    }
    Ok(feeder.feed(piece, room)?)
}

/// When a server that has just been read from is given up, unless it gives more.
fn stalled_at(now: Instant, deadline: Instant) -> Instant {
    match now < deadline {
        true => (now + STALL).min(deadline + LAST_ANSWER),
        false => now + LATE_STALL,
    }
}

/// Waits for bytes of a value whose client's time is up at the deadline.
pub(crate) async fn read<T>(
    deadline: Instant,
    read: impl Future<Output = io::Result<T>>,
) -> Result<T, Broken> {
    match timeout_at(stalled_at(Instant::now(), deadline), read).await {
        Ok(Ok(read)) => Ok(read),
        Ok(Err(_)) | Err(_) => Err(Broken::Server),
    }
}
