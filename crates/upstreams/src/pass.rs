//! Large values: bytes from a server's connection to the client's, as they come.

use std::io;

use bytes::{Bytes, BytesMut};
use lilacquay_core::time_left::value_read_deadline;
use lilacquay_core::{BufferReservation, Outcome, ReceiverClosed, ValueSender};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};

/// Why a value has not come to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Broken {
    /// The server closed, broke or stalled.
    Server,
    /// Nobody wants the rest.
    Unwanted,
}

impl From<ReceiverClosed> for Broken {
    fn from(ReceiverClosed: ReceiverClosed) -> Self {
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
    feeder: &mut ValueSender,
    deadline: Instant,
) -> Result<(), Broken> {
    while feeder.remaining() > 0 {
        let room = feeder.reserve().await?;
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

fn feed(come: &mut BytesMut, feeder: &mut ValueSender, room: BufferReservation) -> Result<(), Broken> {
    let bytes = come.len().min(feeder.remaining()).min(room.bytes());
    let piece = come.split_to(bytes);
    // Guards against: some bytes that hold on to the whole of a buffer which they came in.
    let piece = match piece.capacity() > 2 * bytes {
        true => Bytes::copy_from_slice(&piece),
        false => piece.freeze(),
    };
    if come.is_empty() {
        *come = BytesMut::new();
    }
    Ok(feeder.send(piece, room)?)
}

/// Waits for bytes of a value whose client's time is up at the deadline.
pub(crate) async fn read<T>(
    deadline: Instant,
    read: impl Future<Output = io::Result<T>>,
) -> Result<T, Broken> {
    match timeout_at(value_read_deadline(Instant::now(), deadline), read).await {
        Ok(Ok(read)) => Ok(read),
        Ok(Err(_)) | Err(_) => Err(Broken::Server),
    }
}
