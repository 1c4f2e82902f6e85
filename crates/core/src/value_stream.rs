//! Streams large values from a server to a client in bounded chunks.

use std::sync::Arc;

use bytes::Bytes;
use paddlefold::RequestId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::buffer_budget::{BufferBudget, Reservation, StreamBuffer};

/// The largest value that is streamed. Larger ones are treated as corrupt answers.
pub const MAX_STREAMED_VALUE_BYTES: usize = 8 << 20;

/// The receiving side of a value whose head has arrived.
#[derive(Debug)]
pub struct ValueStream {
    length: usize,
    flags: u32,
    chunks: UnboundedReceiver<ValueChunk>,
}

/// Some bytes of a value. It must be dropped once the client has taken them; that lets the server send more.
#[derive(Debug)]
pub struct ValueChunk {
    /// The bytes.
    pub bytes: Bytes,
    _reservation: Reservation,
}

impl ValueStream {
    /// The length of the whole value, in bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The flags that the client stored with the value; 0 if the server stores none.
    pub fn flags(&self) -> u32 {
        self.flags
    }

    /// The next chunk; none after the last. A stream that ends before its length is a failure.
    pub async fn next(&mut self) -> Option<ValueChunk> {
        self.chunks.recv().await
    }
}

/// The sending side of a streamed value.
#[derive(Debug)]
pub struct ValueSender {
    remaining: usize,
    chunks: UnboundedSender<ValueChunk>,
    buffer: StreamBuffer,
}

/// The client takes no more of the value, or never did because another attempt answered first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiverClosed;

/// Reserved buffer memory for the next bytes of a streamed value.
#[derive(Debug)]
pub struct BufferReservation(Reservation);

impl BufferReservation {
    /// How many bytes may be read into the reserved memory.
    pub fn bytes(&self) -> usize {
        self.0.bytes()
    }
}

impl ValueSender {
    /// How many bytes of the value have not been sent yet.
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// Waits until the client has taken enough of the previous bytes, and reserves memory for the next ones.
    ///
    /// # Errors
    /// If the receiver is closed.
    pub async fn reserve(&self) -> Result<BufferReservation, ReceiverClosed> {
        tokio::select! {
            biased;
            () = self.chunks.closed() => Err(ReceiverClosed),
            reservation = self.buffer.reserve() => Ok(BufferReservation(reservation)),
        }
    }

    /// Sends bytes to the client, at most as many as remain.
    ///
    /// # Errors
    /// If the receiver is closed.
    pub fn send(
        &mut self,
        bytes: Bytes,
        BufferReservation(mut reservation): BufferReservation,
    ) -> Result<(), ReceiverClosed> {
        let bytes = bytes.slice(..bytes.len().min(self.remaining));
        self.remaining -= bytes.len();
        reservation.resize(bytes.len());
        self.chunks.send(ValueChunk { bytes, _reservation: reservation }).map_err(|_| ReceiverClosed)
    }
}

/// Reports to the driver that an attempt's streamed answer has started.
pub(crate) struct StreamStart {
    pub id: RequestId,
    pub attempt: usize,
    pub stream: ValueStream,
}

/// Starts the streamed answer of one attempt.
#[derive(Clone)]
pub(crate) struct StreamStarter {
    pub id: RequestId,
    pub attempt: usize,
    pub sender: UnboundedSender<StreamStart>,
    pub budget: Arc<BufferBudget>,
}

impl StreamStarter {
    pub fn start(&self, length: usize, flags: u32) -> ValueSender {
        let (sender, chunks) = unbounded_channel(); // bounded by the reservations that are granted
        let stream = ValueStream { length, flags, chunks };
        // A driver that has ended drops the stream, and the value sender fails with `ReceiverClosed`.
        let _ = self.sender.send(StreamStart { id: self.id, attempt: self.attempt, stream });
        ValueSender { remaining: length, chunks: sender, buffer: StreamBuffer::new(self.budget.clone()) }
    }
}
