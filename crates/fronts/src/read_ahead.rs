//! Input that is read while no more commands may be started, so that the client's close behind it is seen.
//!
//! The end of a stream shows only once the input before it fits into the socket's buffer: the system of a client that has
//! closed goes on sending what the client wrote before. Input that can't be handled yet is hence read into memory, up to a
//! limit for each connection and one for all.

use std::collections::VecDeque;
use std::io;
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_core::stall;
use lilacquay_stream::Stream;
use tokio::time::{Instant, timeout};

use crate::buffer_memory::{BufferMemory, ReservedMemory};
use crate::socket::{ReadLimits, read, wait_for_close};

/// The most bytes that are read ahead on one connection. What a closed client's system may still hold is 4 MiB by Linux's
/// defaults.
const MAX_READ_AHEAD_BYTES: usize = 4 << 20;
/// The most bytes of one read.
const BYTES_PER_READ: usize = 8 << 10;
/// The estimated memory that one read occupies in addition to its bytes.
const READ_OVERHEAD_BYTES: usize = 512;
/// How often a connection for which there is no memory asks again.
const MEMORY_RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The bytes of one read.
struct Chunk {
    bytes: BytesMut,
    arrived_at: Instant,
    _memory: Option<ReservedMemory>,
}

/// Whether the client is still there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadAheadResult {
    /// It was not seen to have closed. More may have been read.
    Open,
    /// It has closed.
    Closed,
}

/// The input of one connection that was read ahead, in the order of its arrival.
#[derive(Default)]
pub(crate) struct ReadAhead {
    chunks: VecDeque<Chunk>,
    total_bytes: usize,
}

impl ReadAhead {
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    pub fn total_bytes(&self) -> usize {
        self.total_bytes
    }

    /// Waits for input or the client's close, and reads some input if there is memory for it. Cancel safe.
    pub async fn read(
        &mut self,
        reader: &mut Stream,
        memory: &BufferMemory,
        unread_since: &mut Option<Instant>,
    ) -> io::Result<ReadAheadResult> {
        if reader.peek(&mut [0]).await? == 0 {
            return Ok(ReadAheadResult::Closed);
        }
        let arrived_at = *unread_since.get_or_insert_with(|| stall::estimated_arrival(Instant::now()));
        let has_room = self.total_bytes + BYTES_PER_READ <= MAX_READ_AHEAD_BYTES;
        let reservation =
            has_room.then(|| memory.try_reserve_read_ahead(BYTES_PER_READ + READ_OVERHEAD_BYTES)).flatten();
        let Some(reservation) = reservation else {
            return match timeout(MEMORY_RETRY_INTERVAL, wait_for_close(reader, unread_since)).await {
                Ok(closed) => closed.map(|()| ReadAheadResult::Closed),
                Err(_) => Ok(ReadAheadResult::Open),
            };
        };
        let mut bytes = BytesMut::with_capacity(BYTES_PER_READ);
        let read = read(reader, &mut bytes, ReadLimits::at_most(BYTES_PER_READ)).await?;
        if read == 0 {
            return Ok(ReadAheadResult::Closed);
        }
        if read < BYTES_PER_READ {
            *unread_since = None; // nothing is left to read
            bytes = BytesMut::from(&bytes[..]);
        }
        drop(reservation); // the rest of it is free for others
        let memory = memory.try_reserve_read_ahead(read + READ_OVERHEAD_BYTES);
        self.total_bytes += read;
        self.chunks.push_back(Chunk { bytes, arrived_at, _memory: memory });
        Ok(ReadAheadResult::Open)
    }

    /// Takes the bytes that were read first, at most this many, and when they arrived.
    pub fn take(&mut self, max_bytes: usize) -> Option<(BytesMut, Instant)> {
        let chunk = self.chunks.front_mut()?;
        let bytes = chunk.bytes.split_to(max_bytes.min(chunk.bytes.len()));
        let arrived_at = chunk.arrived_at;
        self.total_bytes -= bytes.len();
        if chunk.bytes.is_empty() {
            self.chunks.pop_front();
        }
        Some((bytes, arrived_at))
    }

    pub fn clear(&mut self) {
        *self = ReadAhead::default();
    }
}
