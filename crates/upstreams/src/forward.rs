//! Forwards a large value from a server's connection to the client's connection as it arrives.

use std::io;

use bytes::{Bytes, BytesMut};
use lilacquay_core::time_left::value_read_deadline;
use lilacquay_core::{BufferReservation, Outcome, ReceiverClosed, ValueSender};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::time::{Instant, timeout_at};

/// Why a value was not forwarded to its last byte.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ForwardError {
    /// The server closed the connection, failed or stalled.
    ServerFailed,
    /// Nobody wants the rest of the value.
    Unwanted,
}

impl From<ReceiverClosed> for ForwardError {
    fn from(ReceiverClosed: ReceiverClosed) -> Self {
        ForwardError::Unwanted
    }
}

impl ForwardError {
    /// The outcome of the attempt. A stall counts against the server just like a reset.
    pub fn outcome(self) -> Outcome {
        match self {
            ForwardError::ServerFailed => Outcome::Reset,
            ForwardError::Unwanted => Outcome::Canceled,
        }
    }
}

/// Forwards a value to its last byte. On entry `received` holds what was read from the connection after the value's
/// header; on return, what was read after the value.
pub(crate) async fn forward_value(
    stream: &mut (impl AsyncRead + Unpin),
    received: &mut BytesMut,
    feeder: &mut ValueSender,
) -> Result<(), ForwardError> {
    while feeder.remaining() > 0 {
        let room = feeder.reserve().await?;
        if received.is_empty() {
            // Each piece has a buffer of its own, freed with the piece, and with no more capacity than was granted.
            let mut piece = BytesMut::with_capacity(room.bytes());
            let mut limited = (&mut *stream).take(room.bytes() as u64);
            if read_until_timeout(limited.read_buf(&mut piece)).await? == 0 {
                return Err(ForwardError::ServerFailed);
            }
            *received = piece;
        }
        forward_piece(received, feeder, room)?;
    }
    Ok(())
}

fn forward_piece(
    received: &mut BytesMut,
    feeder: &mut ValueSender,
    room: BufferReservation,
) -> Result<(), ForwardError> {
    let bytes = received.len().min(feeder.remaining()).min(room.bytes());
    let piece = received.split_to(bytes);
    // Copies a piece that is small for its buffer, so that a few bytes do not keep the whole buffer allocated.
    let piece = match piece.capacity() > 2 * bytes {
        true => Bytes::copy_from_slice(&piece),
        false => piece.freeze(),
    };
    if received.is_empty() {
        *received = BytesMut::new();
    }
    Ok(feeder.send(piece, room)?)
}

/// Waits for bytes of a value from a server that has sent some of it.
pub(crate) async fn read_until_timeout<T>(
    read: impl Future<Output = io::Result<T>>,
) -> Result<T, ForwardError> {
    match timeout_at(value_read_deadline(Instant::now()), read).await {
        Ok(Ok(read)) => Ok(read),
        Ok(Err(_)) | Err(_) => Err(ForwardError::ServerFailed),
    }
}
