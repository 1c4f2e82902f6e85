//! Decides which arriving commands may occupy buffer memory. No I/O and no clock: the caller passes times in.
//!
//! A command *reserves* the bytes that it will need before it is read on. If they are not free it waits, first come,
//! first served. A reservation is kept until the command has been handled, unless its client stops sending while
//! others wait:
//!
//! 1. after [`SHRINK_AFTER`], the reservation shrinks to the bytes that have really arrived. Its command goes on as
//!    soon as the client does, ahead of all that wait for a first reservation;
//! 2. after [`WITHDRAW_AFTER`], it is withdrawn if that lets the next command go on: the command's bytes are
//!    discarded, and the command is refused once its last byte has arrived. The command that has made no progress for
//!    longest is first.
//!
//! A command that waits for a larger reservation makes no progress, so that commands that hold one another up come to
//! an end as well. The bytes of a withdrawn reservation are free only once the command has discarded them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

/// A reservation whose client has sent nothing for this long shrinks to what has arrived, if others wait.
pub const SHRINK_AFTER: Duration = Duration::from_millis(50);
/// A reservation whose client has sent nothing for this long may be withdrawn, if others wait.
///
/// A lost packet is repeated after 200 ms.
pub const WITHDRAW_AFTER: Duration = Duration::from_millis(250);

/// Identifies one reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReservationId(u64);

/// Whether a command may be read on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationState {
    /// The bytes that were asked for are reserved.
    Granted,
    /// They are not reserved yet, or no longer.
    Incomplete,
    /// The command is to be discarded.
    Withdrawn,
}

#[derive(Debug)]
struct Reservation {
    reserved_bytes: usize,
    /// The bytes that were asked for.
    wanted_bytes: usize,
    /// The bytes that have arrived.
    arrived_bytes: usize,
    /// When bytes last arrived, or the wait for more room began.
    last_progress_at: Instant,
    /// Whether all of it has arrived; it is neither shrunk nor withdrawn then.
    complete: bool,
    withdrawn: bool,
}

impl Reservation {
    fn has_stalled(&self, now: Instant, since: Duration) -> bool {
        !self.complete && !self.withdrawn && now >= self.last_progress_at + since
    }

    /// How many bytes would be freed by shrinking it to what has arrived.
    fn excess_bytes(&self) -> usize {
        self.reserved_bytes.saturating_sub(self.arrived_bytes)
    }
}

/// A bounded amount of memory, divided among arriving commands.
#[derive(Debug)]
pub struct BufferPool {
    limit_bytes: usize,
    reserved_bytes: usize,
    reservations: BTreeMap<ReservationId, Reservation>,
    /// The reservations that wait, the next one first.
    waiting: VecDeque<ReservationId>,
    last_id: u64,
}

impl BufferPool {
    /// Creates a pool of this many bytes.
    pub fn new(limit_bytes: usize) -> BufferPool {
        let (reservations, waiting) = Default::default();
        BufferPool { limit_bytes: limit_bytes.max(1), reserved_bytes: 0, reservations, waiting, last_id: 0 }
    }

    /// Asks for bytes for a command of which `arrived_bytes` have arrived. [`BufferPool::advance`] grants them.
    pub fn reserve(&mut self, now: Instant, wanted_bytes: usize, arrived_bytes: usize) -> ReservationId {
        let id = self.insert(Reservation {
            reserved_bytes: 0,
            wanted_bytes: wanted_bytes.min(self.limit_bytes),
            arrived_bytes,
            last_progress_at: now,
            complete: false,
            withdrawn: false,
        });
        self.waiting.push_back(id);
        id
    }

    /// Reserves bytes for something that will not be withdrawn, if they are free or can be freed by shrinking
    /// reservations.
    pub fn try_reserve(&mut self, now: Instant, bytes: usize) -> Option<ReservationId> {
        if self.free_bytes() < bytes {
            self.shrink_stalled(now, None);
        }
        if self.free_bytes() < bytes {
            return None;
        }
        self.reserved_bytes += bytes;
        Some(self.insert(Reservation {
            reserved_bytes: bytes,
            wanted_bytes: bytes,
            arrived_bytes: bytes,
            last_progress_at: now,
            complete: true,
            withdrawn: false,
        }))
    }

    /// Asks for a total of `wanted_bytes` for a command that has a reservation, before all first reservations.
    pub fn extend(&mut self, now: Instant, id: ReservationId, wanted_bytes: usize) {
        let limit_bytes = self.limit_bytes;
        let Some(reservation) = self.reservations.get_mut(&id) else { return };
        reservation.wanted_bytes = wanted_bytes.min(limit_bytes);
        let is_incomplete = reservation.reserved_bytes < reservation.wanted_bytes;
        if is_incomplete && !reservation.withdrawn && !self.waiting.contains(&id) {
            reservation.last_progress_at = now;
            let extending = self.waiting.iter().take_while(|id| self.has_bytes(**id)).count();
            self.waiting.insert(extending, id);
        }
    }

    /// Records that a command has arrived up to this length.
    pub fn record_arrival(&mut self, now: Instant, id: ReservationId, arrived_bytes: usize) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.arrived_bytes = arrived_bytes;
            reservation.last_progress_at = now;
        }
    }

    /// Records that a command has arrived whole.
    pub fn complete(&mut self, id: ReservationId) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.complete = true;
        }
    }

    /// Releases a reservation, or gives up waiting for one.
    pub fn release(&mut self, id: ReservationId) {
        if let Some(reservation) = self.reservations.remove(&id) {
            self.reserved_bytes -= reservation.reserved_bytes;
            self.waiting.retain(|waiting| *waiting != id);
        }
    }

    /// Grants, shrinks and withdraws reservations as the time and the free bytes allow. Returns those whose state has
    /// changed.
    pub fn advance(&mut self, now: Instant) -> Vec<ReservationId> {
        let mut changed = Vec::new();
        while let Some(&id) = self.waiting.front() {
            if self.missing_bytes(id) > self.free_bytes() {
                changed.extend(self.shrink_stalled(now, Some(id)));
            }
            let missing = self.missing_bytes(id);
            if missing > self.free_bytes() {
                changed.extend(self.withdraw_stalled(now, id));
                break;
            }
            self.waiting.pop_front();
            self.grant(now, id, missing);
            changed.push(id);
        }
        changed
    }

    /// Whether the command of this reservation may be read on.
    pub fn state(&self, id: ReservationId) -> ReservationState {
        match self.reservations.get(&id) {
            Some(reservation) if reservation.withdrawn => ReservationState::Withdrawn,
            Some(reservation) if reservation.reserved_bytes >= reservation.wanted_bytes => {
                ReservationState::Granted
            }
            _ => ReservationState::Incomplete,
        }
    }

    /// When [`BufferPool::advance`] may next change something by the time alone; `None` if nothing waits.
    pub fn next_change(&self, now: Instant) -> Option<Instant> {
        let next = self.waiting.front()?;
        let arriving = self.reservations.iter().filter(|(id, reservation)| {
            *id != next && !reservation.complete && !reservation.withdrawn && reservation.reserved_bytes > 0
        });
        let due = arriving.flat_map(|(_, reservation)| {
            [SHRINK_AFTER, WITHDRAW_AFTER].map(|delay| reservation.last_progress_at + delay)
        });
        due.filter(|due| *due > now).min()
    }

    /// The reservation that waits and is the next to be granted.
    pub fn next_waiting(&self) -> Option<ReservationId> {
        self.waiting.front().copied()
    }

    /// The bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// The bytes that waiting commands lack.
    pub fn awaited_bytes(&self) -> usize {
        self.waiting.iter().map(|id| self.missing_bytes(*id)).sum()
    }

    /// The number of commands that wait.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    fn insert(&mut self, reservation: Reservation) -> ReservationId {
        self.last_id += 1;
        let id = ReservationId(self.last_id);
        self.reservations.insert(id, reservation);
        id
    }

    fn free_bytes(&self) -> usize {
        self.limit_bytes.saturating_sub(self.reserved_bytes)
    }

    fn missing_bytes(&self, id: ReservationId) -> usize {
        self.reservations
            .get(&id)
            .map_or(0, |reservation| reservation.wanted_bytes.saturating_sub(reservation.reserved_bytes))
    }

    fn has_bytes(&self, id: ReservationId) -> bool {
        self.reservations.get(&id).is_some_and(|reservation| reservation.reserved_bytes > 0)
    }

    fn grant(&mut self, now: Instant, id: ReservationId, bytes: usize) {
        if let Some(reservation) = self.reservations.get_mut(&id) {
            reservation.reserved_bytes += bytes;
            reservation.last_progress_at = now;
            self.reserved_bytes += bytes;
        }
    }

    /// Shrinks all reservations that have stalled except that of the command `next`; returns those.
    fn shrink_stalled(&mut self, now: Instant, next: Option<ReservationId>) -> Vec<ReservationId> {
        let mut shrunk = Vec::new();
        for (id, reservation) in &mut self.reservations {
            let excess = reservation.excess_bytes();
            if Some(*id) != next && excess > 0 && reservation.has_stalled(now, SHRINK_AFTER) {
                reservation.reserved_bytes -= excess;
                self.reserved_bytes -= excess;
                shrunk.push(*id);
            }
        }
        shrunk
    }

    /// Withdraws as many reservations that have stalled as the command `next` needs, if there are enough; returns
    /// those.
    fn withdraw_stalled(&mut self, now: Instant, next: ReservationId) -> Vec<ReservationId> {
        let withdrawn: usize = self.withdrawn_bytes();
        let mut missing = self.missing_bytes(next).saturating_sub(self.free_bytes() + withdrawn);
        let mut stalled: Vec<_> = self
            .reservations
            .iter()
            .filter(|(id, reservation)| {
                **id != next && reservation.reserved_bytes > 0 && reservation.has_stalled(now, WITHDRAW_AFTER)
            })
            .map(|(id, reservation)| (reservation.last_progress_at, *id, reservation.reserved_bytes))
            .collect();
        stalled.sort_unstable();
        let mut chosen = Vec::new();
        for (_, id, bytes) in stalled {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(bytes);
            chosen.push(id);
        }
        if missing > 0 {
            return Vec::new();
        }
        for id in &chosen {
            self.waiting.retain(|waiting| waiting != id);
            if let Some(reservation) = self.reservations.get_mut(id) {
                reservation.withdrawn = true;
            }
        }
        chosen
    }

    /// The bytes of withdrawn reservations that are not released yet.
    fn withdrawn_bytes(&self) -> usize {
        let withdrawn = self.reservations.values().filter(|reservation| reservation.withdrawn);
        withdrawn.map(|reservation| reservation.reserved_bytes).sum()
    }
}

/// A wait for memory may take this share of the time that the client waits for its answer: a refusal in the first half
/// of that time costs the client least.
const WAIT_SHARE_OF_CLIENT_TIMEOUT: f64 = 0.4;
/// The longest wait if the client's time-out is not known.
const UNKNOWN_CLIENT_MAX_WAIT: Duration = Duration::from_millis(500);
/// The longest wait of a short command, well within the time-out of a partial command.
const SHORT_COMMAND_MAX_WAIT: Duration = Duration::from_millis(1500);
/// The longest wait of a long command.
const LONG_COMMAND_MAX_WAIT: Duration = Duration::from_secs(8);
/// A client whose unread bytes have not become more for this long has stopped sending.
const STOPPED_AFTER: Duration = Duration::from_millis(500);
/// The kernel buffers at least this many bytes of a connection. A client that has as many unread may be held back by that,
/// and its close may lie behind bytes that the kernel doesn't take.
pub const MIN_SOCKET_BUFFER_BYTES: usize = 32 << 10;
/// The longest wait while the client is owed answers and its close could not be seen. Nothing may be sent on for it 0.1 s
/// after its close.
const UNSEEN_CLOSE_MAX_WAIT: Duration = Duration::from_millis(60);

/// The wait of one command for memory.
#[derive(Debug, Clone, Copy)]
pub struct MemoryWait {
    since: Instant,
    until: Instant,
    unread_bytes: usize,
    unread_since: Instant,
}

impl MemoryWait {
    /// Begins the wait of a command whose client waits this long for its answer, if that is known.
    pub fn new(now: Instant, client_timeout: Option<Duration>, is_short: bool) -> MemoryWait {
        let max_wait = client_timeout
            .map_or(UNKNOWN_CLIENT_MAX_WAIT, |timeout| timeout.mul_f64(WAIT_SHARE_OF_CLIENT_TIMEOUT));
        let bound = if is_short { SHORT_COMMAND_MAX_WAIT } else { LONG_COMMAND_MAX_WAIT };
        MemoryWait { since: now, until: now + max_wait.min(bound), unread_bytes: 0, unread_since: now }
    }

    /// Records how many bytes of the command lie unread in the socket.
    pub fn record_unread(&mut self, now: Instant, unread_bytes: usize) {
        if unread_bytes > self.unread_bytes || unread_bytes >= MIN_SOCKET_BUFFER_BYTES {
            (self.unread_bytes, self.unread_since) = (unread_bytes, now);
        }
    }

    /// When the wait ends without memory, unless more bytes arrive. `has_pending_response`: whether the client is owed
    /// answers to earlier commands.
    pub fn ends_at(&self, has_pending_response: bool) -> Instant {
        let ends_at = self.until.min(self.unread_since + STOPPED_AFTER);
        if has_pending_response && self.unread_bytes >= MIN_SOCKET_BUFFER_BYTES {
            return ends_at.min(self.since + UNSEEN_CLOSE_MAX_WAIT);
        }
        ends_at
    }
}
