//! Permits for large buffers, with a record of who holds and who awaits how many and for how long.

use std::io;
use std::sync::Arc;

use lilacquay_metrics::BufferMetrics;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use tracing::debug;

use crate::shared::BYTES_PER_PERMIT;

/// The permits that all connections share. Cheap to clone.
#[derive(Clone)]
pub(crate) struct BufferPermits {
    semaphore: Arc<Semaphore>,
    total: u32,
    metrics: BufferMetrics,
}

impl BufferPermits {
    pub fn new(buffer_bytes: usize, metrics: BufferMetrics) -> BufferPermits {
        let total = u32::try_from(buffer_bytes / BYTES_PER_PERMIT).unwrap_or(u32::MAX).max(1);
        BufferPermits { semaphore: Arc::new(Semaphore::new(total as usize)), total, metrics }
    }

    /// The total number of permits.
    pub fn total(&self) -> u32 {
        self.total
    }

    /// Waits for this many permits.
    pub async fn acquire(&self, permits: u32) -> io::Result<BufferPermit> {
        let _waiting = Waiting::new(permits, &self.metrics);
        let acquired = self.semaphore.clone().acquire_many_owned(permits).await.map_err(io::Error::other)?;
        Ok(BufferPermit::new(acquired, &self.metrics))
    }

    /// Takes this many permits if they are free.
    pub fn try_acquire(&self, permits: u32) -> Option<BufferPermit> {
        let acquired = self.semaphore.clone().try_acquire_many_owned(permits).ok()?;
        Some(BufferPermit::new(acquired, &self.metrics))
    }
}

/// Some permits, released on drop.
pub(crate) struct BufferPermit {
    permits: OwnedSemaphorePermit,
    granted_at: Instant,
    metrics: BufferMetrics,
}

impl BufferPermit {
    fn new(permits: OwnedSemaphorePermit, metrics: &BufferMetrics) -> BufferPermit {
        let permit = BufferPermit { permits, granted_at: Instant::now(), metrics: metrics.clone() };
        permit.metrics.granted_bytes.inc_by(permit.bytes());
        permit
    }

    pub fn count(&self) -> u32 {
        u32::try_from(self.permits.num_permits()).unwrap_or(u32::MAX)
    }

    fn bytes(&self) -> i64 {
        (self.permits.num_permits() * BYTES_PER_PERMIT) as i64
    }
}

impl Drop for BufferPermit {
    fn drop(&mut self) {
        self.metrics.granted_bytes.dec_by(self.bytes());
        let held_ms = self.granted_at.elapsed().as_millis() as u64;
        debug!(permits = self.count(), held_ms, "buffer permits released");
    }
}

/// Counts a command as waiting until it is dropped.
struct Waiting<'a> {
    permits: u32,
    since: Instant,
    metrics: &'a BufferMetrics,
}

impl Waiting<'_> {
    fn new(permits: u32, metrics: &BufferMetrics) -> Waiting<'_> {
        metrics.waiting_commands.inc();
        metrics.awaited_bytes.inc_by(i64::from(permits) * BYTES_PER_PERMIT as i64);
        Waiting { permits, since: Instant::now(), metrics }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.metrics.waiting_commands.dec();
        self.metrics.awaited_bytes.dec_by(i64::from(self.permits) * BYTES_PER_PERMIT as i64);
        let waited_ms = self.since.elapsed().as_millis() as i64;
        if waited_ms > self.metrics.longest_wait_ms.get() {
            self.metrics.longest_wait_ms.set(waited_ms);
        }
        debug!(permits = self.permits, waited_ms, "the wait for buffer permits has ended");
    }
}
