//! The memory budget for streamed values: how many of their bytes may be buffered between servers and clients. No I/O:
//! a stream reserves bytes before it reads on and releases them once its client has taken them.
//!
//! No stream waits for another. Otherwise clients that read a few bytes per second could hold the whole budget, and
//! clients that read quickly would have to wait for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

use crate::resource_share::ResourceShare;

/// The number of bytes that a stream without buffered bytes may always read, however much the others hold.
pub const MIN_GRANT_BYTES: usize = 4 << 10;
/// The maximum size of one chunk.
pub const MAX_CHUNK_BYTES: usize = 16 << 10;
/// The maximum number of bytes that one stream may buffer.
pub const MAX_STREAM_BYTES: usize = 48 << 10;
/// The estimated memory that a chunk occupies in addition to its bytes.
const CHUNK_OVERHEAD_BYTES: usize = 64;

/// The buffer memory that all streams share.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    limit_bytes: usize,
    resource_share: ResourceShare,
    reserved_bytes: AtomicUsize,
}

impl BufferBudget {
    /// Creates a budget of this process's share of `limit_bytes`. The minimum grant of each stream comes on top.
    pub fn new(limit_bytes: usize, resource_share: ResourceShare) -> Arc<BufferBudget> {
        Arc::new(BufferBudget { limit_bytes, resource_share, reserved_bytes: AtomicUsize::new(0) })
    }

    /// The number of bytes that a stream may read while it holds `stream_bytes`; 0 if its client has to take some of
    /// those first.
    fn grant(&self, stream_bytes: usize) -> usize {
        let limit_bytes = self.resource_share.of(self.limit_bytes);
        let free = limit_bytes.saturating_sub(self.reserved_bytes.load(Ordering::Relaxed));
        let stream_free = MAX_STREAM_BYTES.saturating_sub(stream_bytes + CHUNK_OVERHEAD_BYTES);
        let grant = free.min(MAX_CHUNK_BYTES).min(stream_free);
        match stream_bytes {
            0 => grant.max(MIN_GRANT_BYTES),
            _ if grant >= MIN_GRANT_BYTES => grant,
            _ => 0,
        }
    }
}

/// The buffer of one stream, as far as the budget is concerned. Clones refer to the same stream.
#[derive(Debug, Clone)]
pub(crate) struct StreamBuffer(Arc<StreamUsage>);

#[derive(Debug)]
struct StreamUsage {
    budget: Arc<BufferBudget>,
    reserved_bytes: AtomicUsize,
    /// Notified when the client has taken a chunk.
    released: Notify,
}

impl StreamBuffer {
    /// Creates the empty buffer of a new stream.
    pub fn new(budget: Arc<BufferBudget>) -> StreamBuffer {
        StreamBuffer(Arc::new(StreamUsage {
            budget,
            reserved_bytes: AtomicUsize::new(0),
            released: Notify::new(),
        }))
    }

    /// Waits until the stream may read more, and reserves as many bytes as it may read.
    pub async fn reserve(&self) -> Reservation {
        loop {
            let released = self.0.released.notified();
            match self.0.budget.grant(self.0.reserved_bytes.load(Ordering::Relaxed)) {
                0 => released.await,
                bytes => return Reservation::new(bytes, self.0.clone()),
            }
        }
    }
}

/// Reserved bytes of a stream's buffer, released on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    /// Includes the overhead of the chunk.
    bytes: usize,
    stream: Arc<StreamUsage>,
}

impl Reservation {
    fn new(bytes: usize, stream: Arc<StreamUsage>) -> Reservation {
        let mut reservation = Reservation { bytes: 0, stream };
        reservation.resize(bytes);
        reservation
    }

    /// The reserved bytes, without the overhead of the chunk.
    pub fn bytes(&self) -> usize {
        self.bytes.saturating_sub(CHUNK_OVERHEAD_BYTES)
    }

    /// Changes the reservation to `bytes`.
    pub fn resize(&mut self, bytes: usize) {
        self.release();
        self.bytes = bytes + CHUNK_OVERHEAD_BYTES;
        self.stream.reserved_bytes.fetch_add(self.bytes, Ordering::Relaxed);
        self.stream.budget.reserved_bytes.fetch_add(self.bytes, Ordering::Relaxed);
    }

    fn release(&mut self) {
        self.stream.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.stream.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = 0;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
        self.stream.released.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Streams read and clients take chunks in random order.
    #[test]
    fn the_bound_holds_and_no_stream_waits_for_another_whatever_is_read_and_taken() {
        for seed in 0..50 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (limit_bytes, stream_count) = (rng.usize(0..300_000), rng.usize(1..100));
            let budget = BufferBudget::new(limit_bytes, ResourceShare::default());
            let mut streams: Vec<(StreamBuffer, Vec<Reservation>)> =
                (0..stream_count).map(|_| (StreamBuffer::new(budget.clone()), Vec::new())).collect();
            for _ in 0..3_000 {
                let (stream, reservations) = &mut streams[rng.usize(0..stream_count)];
                let own = stream.0.reserved_bytes.load(Ordering::Relaxed);
                let grant = budget.grant(own);
                assert!(own > 0 || grant >= MIN_GRANT_BYTES, "seed {seed}: an empty stream may always read");
                assert!(
                    grant <= MAX_CHUNK_BYTES && own + grant <= MAX_STREAM_BYTES.max(MIN_GRANT_BYTES),
                    "seed {seed}"
                );
                if grant > 0 && rng.bool() {
                    let mut reservation = Reservation::new(grant, stream.0.clone());
                    if rng.bool() {
                        reservation.resize(rng.usize(1..=reservation.bytes())); // a short read
                    }
                    reservations.push(reservation);
                } else if !reservations.is_empty() {
                    reservations.remove(0);
                }
                let reserved = budget.reserved_bytes.load(Ordering::Relaxed);
                assert!(
                    reserved
                        <= limit_bytes.max(1) + stream_count * (MIN_GRANT_BYTES + 2 * CHUNK_OVERHEAD_BYTES),
                    "seed {seed}: {reserved} of {limit_bytes}"
                );
            }
            drop(streams);
            assert_eq!(budget.reserved_bytes.load(Ordering::Relaxed), 0, "every reservation is released");
        }
    }
}
