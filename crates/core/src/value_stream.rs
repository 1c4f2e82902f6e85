//! A large value on its way from a server to a client, in bounded pieces.

use std::sync::Arc;

use bytes::Bytes;
use paddlefold::RequestId;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::buffer_budget::{Governor, Held, Share};

/// The longest value that flows, in bytes. Longer ones are taken for spoilt answers.
pub const MAX_STREAMED_VALUE_BYTES: usize = 8 << 20;

/// A value of which the head has come: the client's side.
#[derive(Debug)]
pub struct ValueStream {
    length: usize,
    flags: u32,
    pieces: UnboundedReceiver<ValueChunk>,
}

/// Some bytes of a value. Dropped once the client has taken them, it lets the server go on.
#[derive(Debug)]
pub struct ValueChunk {
    /// The bytes.
    pub bytes: Bytes,
    _share: Share,
}

impl ValueStream {
    /// All of the value's bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// What the client had kept beside it; 0 where the server keeps none.
    pub fn flags(&self) -> u32 {
        self.flags
    }

    /// The next bytes; none after the last. One that ends before its length is broken.
    pub async fn next(&mut self) -> Option<ValueChunk> {
        self.pieces.recv().await
    }
}

/// The server's side of a flow.
#[derive(Debug)]
pub struct ValueSender {
    left: usize,
    to: UnboundedSender<ValueChunk>,
    held: Held,
}

/// The client wants no more, or never did: another attempt was first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceiverClosed;

/// Room for some bytes of a flow.
#[derive(Debug)]
pub struct BufferReservation(Share);

impl BufferReservation {
    /// How many bytes may be read into it.
    pub fn bytes(&self) -> usize {
        self.0.bytes()
    }
}

impl ValueSender {
    /// How many of the value's bytes are still to come.
    pub fn remaining(&self) -> usize {
        self.left
    }

    /// Room for the next bytes, once the client has taken enough of those before.
    ///
    /// # Errors
    /// If nobody wants them.
    pub async fn reserve(&self) -> Result<BufferReservation, ReceiverClosed> {
        tokio::select! {
            biased;
            () = self.to.closed() => Err(ReceiverClosed),
            share = self.held.room() => Ok(BufferReservation(share)),
        }
    }

    /// Passes bytes on, no more than are left.
    ///
    /// # Errors
    /// If nobody wants them.
    pub fn send(
        &mut self,
        bytes: Bytes,
        BufferReservation(mut share): BufferReservation,
    ) -> Result<(), ReceiverClosed> {
        let bytes = bytes.slice(..bytes.len().min(self.left));
        self.left -= bytes.len();
        share.resize(bytes.len());
        self.to.send(ValueChunk { bytes, _share: share }).map_err(|_| ReceiverClosed)
    }
}

/// That an attempt's answer has begun, as the driver is told.
pub(crate) struct Begun {
    pub id: RequestId,
    pub attempt: usize,
    pub flow: ValueStream,
}

/// By which an attempt tells that its answer has begun.
#[derive(Clone)]
pub(crate) struct Opening {
    pub id: RequestId,
    pub attempt: usize,
    pub to: UnboundedSender<Begun>,
    pub governor: Arc<Governor>,
}

impl Opening {
    pub fn begin(&self, length: usize, flags: u32) -> ValueSender {
        let (to, pieces) = unbounded_channel(); // bounded by the rooms that are granted
        let flow = ValueStream { length, flags, pieces };
        // A driver that is gone drops the flow, and the feeder hears that nobody wants it.
        let _ = self.to.send(Begun { id: self.id, attempt: self.attempt, flow });
        ValueSender { left: length, to, held: Held::new(self.governor.clone()) }
    }
}
