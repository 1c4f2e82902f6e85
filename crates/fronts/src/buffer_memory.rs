//! The memory for long commands, large values and input that is read ahead, which all connections share, in
//! [pools](BufferPool) of their own: short commands do not wait for long ones, and no command waits for a client that reads a
//! large value slowly or sends more than can be started.

use std::collections::HashMap;
use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use lilacquay_core::MAX_BUFFERED_VALUE_BYTES;
use lilacquay_metrics::BufferMetrics;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use crate::buffer_pool::{BufferPool, ReservationId, ReservationState};

/// The longest command that counts as short. Its value may have the length up to which values are usual.
pub(crate) const SHORT_COMMAND_BYTES: usize = 2 * MAX_BUFFERED_VALUE_BYTES;
/// One part in this many of the memory is for short commands.
const SHORT_COMMAND_DIVISOR: usize = 4;
/// Input that is read ahead may take one part in this many of the memory, on top of what commands have.
const READ_AHEAD_DIVISOR: usize = 2;

/// The memory for long commands and large values.
pub(crate) struct BufferMemory {
    short_commands: Arc<SharedPool>,
    /// Commands longer than [`SHORT_COMMAND_BYTES`].
    long_commands: Arc<SharedPool>,
    /// Large values that are collected before other answers, until their clients have taken what was collected. As many
    /// bytes as for long commands, on top of what commands have.
    values: Arc<SharedPool>,
    /// Input of clients that send more than can be started.
    read_ahead: Arc<SharedPool>,
}

impl BufferMemory {
    /// Divides this many bytes among commands.
    pub fn new(bytes: usize, metrics: &BufferMetrics) -> BufferMemory {
        let short_bytes = bytes / SHORT_COMMAND_DIVISOR;
        let pool = |bytes| Arc::new(SharedPool::new(bytes, metrics.clone()));
        let long_bytes = bytes - short_bytes;
        BufferMemory {
            short_commands: pool(short_bytes),
            long_commands: pool(long_bytes),
            values: pool(long_bytes),
            read_ahead: pool(bytes / READ_AHEAD_DIVISOR),
        }
    }

    /// Asks for memory for a command of this length, of which `arrived_bytes` have arrived.
    pub fn reserve(&self, command_bytes: usize, arrived_bytes: usize) -> ReservedMemory {
        let pool = match command_bytes <= SHORT_COMMAND_BYTES {
            true => &self.short_commands,
            false => &self.long_commands,
        };
        let now = Instant::now();
        let id = pool.change(now, |pool| pool.reserve(now, command_bytes, arrived_bytes));
        ReservedMemory::new(pool.clone(), id, command_bytes)
    }

    /// Reserves memory for a value, if there is some now.
    pub fn try_reserve_value(&self, bytes: usize) -> Option<ReservedMemory> {
        try_reserve(&self.values, bytes)
    }

    /// Reserves memory for input that is read ahead, if there is some now.
    pub fn try_reserve_read_ahead(&self, bytes: usize) -> Option<ReservedMemory> {
        try_reserve(&self.read_ahead, bytes)
    }
}

fn try_reserve(pool: &Arc<SharedPool>, bytes: usize) -> Option<ReservedMemory> {
    let now = Instant::now();
    let id = pool.change(now, |pool| pool.try_reserve(now, bytes))?;
    Some(ReservedMemory::new(pool.clone(), id, bytes))
}

/// A pool, and the sessions to notify of its changes.
struct SharedPool {
    state: Mutex<PoolState>,
    metrics: BufferMetrics,
}

struct PoolState {
    pool: BufferPool,
    changed: HashMap<ReservationId, Arc<Notify>>,
}

impl SharedPool {
    fn new(bytes: usize, metrics: BufferMetrics) -> SharedPool {
        let state = PoolState { pool: BufferPool::new(bytes), changed: HashMap::new() };
        SharedPool { state: Mutex::new(state), metrics }
    }

    fn state(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the pool, then carries out what that allows.
    fn change<T>(&self, now: Instant, change: impl FnOnce(&mut BufferPool) -> T) -> T {
        let mut state = self.state();
        let (before, next_before) = (usage(&state.pool), state.pool.next_waiting());
        let result = change(&mut state.pool);
        let changed = state.pool.advance(now);
        // The next one watches the time for all.
        let next = state.pool.next_waiting().filter(|next| Some(*next) != next_before);
        for id in changed.iter().chain(&next) {
            if let Some(changed) = state.changed.get(id) {
                changed.notify_one();
            }
        }
        let after = usage(&state.pool);
        let gauges =
            [&self.metrics.granted_bytes, &self.metrics.awaited_bytes, &self.metrics.waiting_commands];
        for (gauge, (before, after)) in gauges.into_iter().zip(before.into_iter().zip(after)) {
            gauge.inc_by(after - before);
        }
        result
    }
}

/// Reserved bytes, awaited bytes and waiting commands.
fn usage(pool: &BufferPool) -> [i64; 3] {
    [pool.reserved_bytes(), pool.awaited_bytes(), pool.waiting_count()].map(|number| number as i64)
}

/// Memory that is reserved or waited for; released on drop.
pub(crate) struct ReservedMemory {
    pool: Arc<SharedPool>,
    id: ReservationId,
    wanted_bytes: usize,
    asked_at: Instant,
    changed: Arc<Notify>,
}

impl ReservedMemory {
    fn new(pool: Arc<SharedPool>, id: ReservationId, wanted_bytes: usize) -> ReservedMemory {
        let changed = Arc::new(Notify::new());
        pool.state().changed.insert(id, changed.clone());
        ReservedMemory { pool, id, wanted_bytes, asked_at: Instant::now(), changed }
    }

    pub fn state(&self) -> ReservationState {
        self.pool.state().pool.state(self.id)
    }

    /// Whether a command of this length may be read on.
    pub fn covers(&self, command_bytes: usize) -> bool {
        self.wanted_bytes >= command_bytes && self.state() == ReservationState::Granted
    }

    /// Asks for what a command of this length lacks.
    pub fn extend(&mut self, command_bytes: usize) {
        self.wanted_bytes = command_bytes;
        let now = Instant::now();
        self.pool.change(now, |pool| pool.extend(now, self.id, command_bytes));
    }

    /// Records that the command has arrived up to this length.
    pub fn record_arrival(&self, arrived_bytes: usize) {
        self.pool.state().pool.record_arrival(Instant::now(), self.id, arrived_bytes);
    }

    /// Records that the command has arrived whole. The memory is not withdrawn then.
    pub fn complete(&self) {
        self.pool.state().pool.complete(self.id);
    }

    /// Waits until its state may have changed. Cancel safe.
    pub async fn changed(&self) {
        tokio::select! {
            () = self.changed.notified() => {}
            () = self.change_due() => {
                let now = Instant::now();
                self.pool.change(now, |_| ());
            }
        }
    }

    /// Waits until others' memory may be withdrawn for this command; for ever if it is not the next to get some.
    async fn change_due(&self) {
        let due = {
            let state = self.pool.state();
            if state.pool.next_waiting() == Some(self.id) {
                state.pool.next_change(Instant::now())
            } else {
                None
            }
        };
        match due {
            Some(due) => sleep_until(due).await,
            None => pending().await,
        }
    }
}

impl Drop for ReservedMemory {
    fn drop(&mut self) {
        self.pool.state().changed.remove(&self.id);
        self.pool.change(Instant::now(), |pool| pool.release(self.id));
        let held_ms = self.asked_at.elapsed().as_millis() as u64;
        debug!(bytes = self.wanted_bytes, held_ms, "buffer memory released");
    }
}
