//! The memory that open requests and their answers hold. No I/O.
//!
//! An answer is held from when it arrives until its client takes it, and each open request will have one. What answers
//! have come to lately is hence reserved for each request from its start.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::resource_share::ResourceShare;

/// The expected length of an answer falls by one part in this many of its excess over each shorter answer.
const EXPECTATION_DECAY: usize = 64;

/// The memory of all open requests. Clones share it.
#[derive(Debug, Clone)]
pub struct RequestMemory {
    usage: Arc<Usage>,
    limit_bytes: usize,
    resource_share: ResourceShare,
}

#[derive(Debug, Default)]
struct Usage {
    reserved_bytes: AtomicUsize,
    expected_answer_bytes: AtomicUsize,
}

impl RequestMemory {
    /// Memory of this process's share of `limit_bytes`.
    pub fn new(limit_bytes: usize, resource_share: ResourceShare) -> RequestMemory {
        RequestMemory { usage: Arc::default(), limit_bytes, resource_share }
    }

    /// Reserves memory for a request of this many bytes and for its answer.
    pub fn reserve(&self, request_bytes: usize) -> MemoryReservation {
        let answer_bytes = self.usage.expected_answer_bytes.load(Ordering::Relaxed);
        self.usage.reserved_bytes.fetch_add(request_bytes + answer_bytes, Ordering::Relaxed);
        MemoryReservation {
            request_bytes,
            answer_bytes: AtomicUsize::new(answer_bytes),
            usage: self.usage.clone(),
        }
    }

    /// Whether some of the memory is free.
    pub fn has_free(&self) -> bool {
        self.usage.reserved_bytes.load(Ordering::Relaxed) < self.resource_share.of(self.limit_bytes)
    }

    /// The reserved bytes.
    pub fn reserved_bytes(&self) -> usize {
        self.usage.reserved_bytes.load(Ordering::Relaxed)
    }
}

/// The memory that one open request holds, released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    request_bytes: usize,
    /// The expected length of the answer, or its length once it has arrived.
    answer_bytes: AtomicUsize,
    usage: Arc<Usage>,
}

impl MemoryReservation {
    /// Records the length of the answer, in place of the expected one.
    pub fn record_answer(&self, bytes: usize) {
        let before = self.answer_bytes.swap(bytes, Ordering::Relaxed);
        self.usage.reserved_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.usage.reserved_bytes.fetch_sub(before, Ordering::Relaxed);
        let expected = self.usage.expected_answer_bytes.load(Ordering::Relaxed);
        let updated = bytes.max(expected - expected.saturating_sub(bytes).div_ceil(EXPECTATION_DECAY));
        self.usage.expected_answer_bytes.store(updated, Ordering::Relaxed);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let bytes = self.request_bytes + self.answer_bytes.load(Ordering::Relaxed);
        self.usage.reserved_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}
