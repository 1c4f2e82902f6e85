//! The input of one connection that has been read and not been handled: its buffer, and the command that is arriving.
//!
//! A command over [`SMALL_BUFFER_BYTES`] needs [memory](BufferMemory) before it is read on. While it waits for that, its
//! client's close is noticed. A command that gets none is discarded as it arrives, and refused once it has arrived whole.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_core::stall;
use lilacquay_metrics::BufferMetrics;
use lilacquay_stream::Stream;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use crate::buffer_memory::{BufferMemory, ReservedMemory, SHORT_COMMAND_BYTES};
use crate::buffer_pool::{MIN_SOCKET_BUFFER_BYTES, MemoryWait, ReservationState};
use crate::close_policy::LongCommand;
use crate::protocol::{PartialCommand, Protocol};
use crate::read_ahead::{ReadAhead, ReadAheadResult};
use crate::socket::{ReadLimits, count_unread, read, wait_for_close};

/// Any connection may have a buffer of up to this size; larger ones need memory from the pools.
const SMALL_BUFFER_BYTES: usize = 8 << 10;
/// The most bytes of a discarded command that are read at once.
const DISCARD_BYTES_PER_READ: usize = 16 << 10;
/// How often a connection that waits for memory is checked for more input.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Which input a session may handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadMode {
    /// What was read ahead; if there is none, what is available.
    Read,
    /// None now: input is read ahead, so that the client's close is seen.
    ReadAhead,
    /// None, and no more is read. Only the client's close is waited for.
    WaitForClose,
}

/// What a session has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Received {
    /// The number of bytes read; 0 at the end of the stream.
    Bytes(usize),
    /// No bytes, but what may be read may have changed.
    MemoryChanged,
    /// Bytes that were read ahead, or none, with the client still there.
    ReadAhead,
}

/// A command of which the rest is discarded.
struct DiscardedCommand<R> {
    /// The bytes still to come.
    remaining_bytes: usize,
    class: Option<usize>,
    context: R,
}

/// A command that was discarded and has arrived whole.
pub(crate) struct RefusedCommand<R> {
    pub class: Option<usize>,
    pub context: R,
}

/// The command cannot be discarded: it is whole, or what has arrived of it does not tell how long it is.
pub(crate) struct UnknownLength;

/// The input of one connection.
pub(crate) struct ArrivingCommand<R> {
    pub buffer: BytesMut,
    /// What was read behind the buffer's bytes while no more commands could be started.
    read_ahead: ReadAhead,
    /// When the bytes that were last added to the buffer arrived, if they had been read ahead.
    read_ahead_arrival: Option<Instant>,
    /// The length of the arriving command in bytes, as far as it is known; 0 while the buffer is small.
    expected_length: usize,
    memory: Option<ReservedMemory>,
    wait: Option<MemoryWait>,
    waiting_since: Option<Instant>,
    /// How long the command has waited for memory, without a wait that has not ended.
    waited: Duration,
    discarded: Option<DiscardedCommand<R>>,
    metrics: BufferMetrics,
}

impl<R> ArrivingCommand<R> {
    pub fn new(metrics: BufferMetrics) -> Self {
        ArrivingCommand {
            buffer: BytesMut::new(),
            read_ahead: ReadAhead::default(),
            read_ahead_arrival: None,
            expected_length: 0,
            memory: None,
            wait: None,
            waiting_since: None,
            waited: Duration::ZERO,
            discarded: None,
            metrics,
        }
    }

    /// Whether part of a command has arrived.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty() || self.discarded.is_some() || self.has_read_ahead()
    }

    /// Whether some input was read ahead and is still to be handled.
    pub fn has_read_ahead(&self) -> bool {
        !self.read_ahead.is_empty()
    }

    /// The bytes that were read and not handled.
    pub fn unhandled_bytes(&self) -> usize {
        self.buffer.len() + self.read_ahead.total_bytes()
    }

    /// When the bytes that were last added to the buffer arrived, if they had been read ahead.
    pub fn take_read_ahead_arrival(&mut self) -> Option<Instant> {
        self.read_ahead_arrival.take()
    }

    pub fn is_discarded(&self) -> bool {
        self.discarded.is_some()
    }

    /// The command, if it is long.
    pub fn long_command(&self) -> Option<LongCommand> {
        (self.expected_length > SHORT_COMMAND_BYTES).then_some(LongCommand {
            length: self.expected_length,
            waits_for_memory: self.wait.is_some(),
            waited: self.waited,
        })
    }

    /// Determines how long the command is, as far as it has arrived.
    pub fn update_expected_length<P: Protocol<ReplyContext = R>>(&mut self, protocol: &P) {
        if self.is_discarded() {
            return;
        }
        self.expected_length = match self.buffer.len() < SMALL_BUFFER_BYTES {
            true => 0,
            false => protocol.expected_length(&self.buffer).min(P::MAX_COMMAND_BYTES),
        };
    }

    /// The bytes that the command needs.
    fn needed_bytes(&self) -> usize {
        self.expected_length.max(self.buffer.len())
    }

    /// Whether there is memory for the command.
    pub fn is_granted(&self) -> bool {
        self.memory.as_ref().is_some_and(|memory| memory.covers(self.needed_bytes()))
    }

    /// Whether the command must be discarded: its memory was withdrawn, or it has waited for some too long.
    ///
    /// `has_pending_response`: whether the client is owed answers to earlier commands.
    pub fn must_be_discarded(&self, has_pending_response: bool) -> bool {
        let is_withdrawn =
            self.memory.as_ref().is_some_and(|memory| memory.state() == ReservationState::Withdrawn);
        let wait_is_over = !self.is_granted()
            && self.wait.is_some_and(|wait| Instant::now() >= wait.ends_at(has_pending_response));
        !self.is_discarded() && (is_withdrawn || wait_is_over)
    }

    /// Waits until the memory of the command may have changed; for ever if it has none.
    async fn memory_changed(memory: &Option<ReservedMemory>) {
        match memory {
            Some(memory) => memory.changed().await,
            None => std::future::pending().await,
        }
    }

    /// Waits until the command must be discarded; for ever unless its memory is withdrawn.
    pub async fn withdrawn(&self) {
        while !self.memory.as_ref().is_some_and(|memory| memory.state() == ReservationState::Withdrawn) {
            Self::memory_changed(&self.memory).await;
        }
    }

    /// Moves bytes that were read ahead to the buffer, if there are any; returns how many.
    fn take_read_ahead(&mut self, limits: ReadLimits) -> Option<usize> {
        let (bytes, arrived_at) = self.read_ahead.take(limits.max_bytes())?;
        let read = bytes.len();
        if self.buffer.is_empty() {
            self.buffer = bytes;
        } else {
            self.buffer.reserve(limits.missing_capacity(self.buffer.len()).max(read));
            self.buffer.extend_from_slice(&bytes);
        }
        self.read_ahead_arrival = Some(arrived_at);
        Some(read)
    }

    /// Adds input to the buffer, as far as there is memory for it and the mode allows. Cancel safe.
    ///
    /// `has_pending_response`: whether the client is owed answers to earlier commands.
    pub async fn receive<P: Protocol<ReplyContext = R>>(
        &mut self,
        mode: ReadMode,
        has_pending_response: bool,
        reader: &mut Stream,
        protocol: &P,
        shared_memory: &BufferMemory,
        unread_since: &mut Option<Instant>,
    ) -> io::Result<Received> {
        match mode {
            ReadMode::Read => {}
            ReadMode::ReadAhead => {
                return self.read_ahead.read(reader, shared_memory, unread_since).await.map(|result| {
                    match result {
                        ReadAheadResult::Open => Received::ReadAhead,
                        ReadAheadResult::Closed => Received::Bytes(0),
                    }
                });
            }
            ReadMode::WaitForClose => {
                return wait_for_close(reader, unread_since).await.map(|()| Received::Bytes(0));
            }
        }
        if let Some(command) = &self.discarded {
            let limits = ReadLimits::at_most(command.remaining_bytes.min(DISCARD_BYTES_PER_READ));
            if let Some(read) = self.take_read_ahead(limits) {
                return Ok(Received::Bytes(read));
            }
            return read(reader, &mut self.buffer, limits).await.map(Received::Bytes);
        }
        if self.buffer.len() < SMALL_BUFFER_BYTES {
            if let Some(read) = self.take_read_ahead(ReadLimits::default()) {
                return Ok(Received::Bytes(read));
            }
            return read(reader, &mut self.buffer, ReadLimits::default()).await.map(Received::Bytes);
        }
        let limits = ReadLimits::expecting(self.needed_bytes());
        if self.is_granted() {
            if let Some(read) = self.take_read_ahead(limits) {
                return Ok(Received::Bytes(read));
            }
            return tokio::select! {
                biased;
                () = Self::memory_changed(&self.memory) => Ok(Received::MemoryChanged),
                read = read(reader, &mut self.buffer, limits) => read.map(Received::Bytes),
            };
        }
        // Memory is not held for a command whose rest is never sent.
        let unread_bytes = match self.read_ahead.total_bytes() {
            0 => tokio::select! {
                biased;
                () = Self::memory_changed(&self.memory) => return Ok(Received::MemoryChanged),
                unread_bytes = count_unread(reader, self.count_limit()) => unread_bytes?,
            },
            read_ahead_bytes => read_ahead_bytes,
        };
        if unread_bytes == 0 {
            return Ok(Received::Bytes(0));
        }
        unread_since.get_or_insert_with(|| stall::estimated_arrival(Instant::now()));
        let command = protocol.partial_command(&self.buffer);
        if command.as_ref().is_some_and(|command| self.is_short_and_whole(command, unread_bytes)) {
            if let Some(read) = self.take_read_ahead(limits) {
                return Ok(Received::Bytes(read));
            }
            return read(reader, &mut self.buffer, limits).await.map(Received::Bytes);
        }
        let wait = self.ask_for_memory(command.as_ref(), shared_memory, unread_bytes);
        let recheck_at = wait.ends_at(has_pending_response).min(Instant::now() + UNREAD_CHECK_INTERVAL);
        if self.is_granted() {
            return Ok(Received::MemoryChanged);
        }
        tokio::select! {
            () = Self::memory_changed(&self.memory) => Ok(Received::MemoryChanged),
            closed = wait_for_close(reader, unread_since) => closed.map(|()| Received::Bytes(0)),
            () = sleep_until(recheck_at) => Ok(Received::MemoryChanged),
        }
    }

    /// How many unread bytes are worth counting.
    fn count_limit(&self) -> usize {
        let missing = self.expected_length.saturating_sub(self.buffer.len()).max(1);
        if self.expected_length <= SHORT_COMMAND_BYTES {
            missing
        } else {
            missing.min(MIN_SOCKET_BUFFER_BYTES)
        }
    }

    /// Whether the rest of the command is short and lies in the socket. It is read without waiting, since it is handled at
    /// once and its buffer is not kept for a client that has stopped.
    fn is_short_and_whole(&self, command: &PartialCommand<R>, unread_bytes: usize) -> bool {
        command.length <= SHORT_COMMAND_BYTES && self.buffer.len() + unread_bytes >= command.length
    }

    /// Asks for memory, or goes on waiting for it.
    fn ask_for_memory(
        &mut self,
        command: Option<&PartialCommand<R>>,
        shared_memory: &BufferMemory,
        unread_bytes: usize,
    ) -> MemoryWait {
        let (now, needed_bytes) = (Instant::now(), self.needed_bytes());
        match &mut self.memory {
            Some(memory) => memory.extend(needed_bytes),
            None => self.memory = Some(shared_memory.reserve(needed_bytes, self.buffer.len())),
        }
        let client_timeout = command.and_then(|command| command.client_timeout);
        let is_short = needed_bytes <= SHORT_COMMAND_BYTES;
        let wait = self.wait.get_or_insert_with(|| MemoryWait::new(now, client_timeout, is_short));
        wait.record_unread(now, unread_bytes);
        self.waiting_since.get_or_insert(now);
        *wait
    }

    /// Records that bytes were read into the buffer.
    pub fn record_arrival(&mut self) {
        if let Some(memory) = &self.memory {
            memory.record_arrival(self.buffer.len());
        }
        self.end_wait();
    }

    /// Logs and measures the wait for memory, if there was one.
    fn end_wait(&mut self) {
        self.wait = None;
        let Some(since) = self.waiting_since.take() else { return };
        self.waited += since.elapsed();
        let waited_ms = since.elapsed().as_millis() as i64;
        if waited_ms > self.metrics.longest_wait_ms.get() {
            self.metrics.longest_wait_ms.set(waited_ms);
        }
        debug!(waited_ms, length = self.expected_length, "the wait for buffer memory has ended");
    }

    /// Discards what has arrived of the command, and its rest as it arrives.
    ///
    /// # Errors
    /// If the command is whole, or its length is not known.
    pub fn discard<P: Protocol<ReplyContext = R>>(&mut self, protocol: &P) -> Result<(), UnknownLength> {
        self.end_wait();
        let partial = protocol.partial_command(&self.buffer);
        let command = partial.filter(|command| command.length > self.buffer.len()).ok_or(UnknownLength)?;
        let PartialCommand { length, class, context, .. } = command;
        debug!(length, arrived = self.buffer.len(), "a command is discarded for want of buffer memory");
        self.metrics.discarded_commands.inc();
        self.expected_length = length;
        let remaining_bytes = length - self.buffer.len();
        self.discarded = Some(DiscardedCommand { remaining_bytes, class, context });
        (self.buffer, self.memory) = (BytesMut::new(), None);
        Ok(())
    }

    /// Gives up the memory of a command that stays in the buffer.
    pub fn release_memory(&mut self) {
        self.memory = None;
    }

    /// Drops what was read of a discarded command. Returns the command once it has arrived whole.
    pub fn drop_discarded(&mut self) -> Option<RefusedCommand<R>> {
        let command = self.discarded.as_mut()?;
        command.remaining_bytes -= self.buffer.len();
        self.buffer.clear();
        if command.remaining_bytes > 0 {
            return None;
        }
        (self.buffer, self.expected_length) = (BytesMut::new(), 0);
        let DiscardedCommand { class, context, .. } = self.discarded.take()?;
        Some(RefusedCommand { class, context })
    }

    /// The memory of a long command that has arrived whole, to be kept until it is answered.
    pub fn take_long_command_memory(&mut self, length: usize) -> Option<ReservedMemory> {
        let memory = self.memory.take_if(|_| length > SHORT_COMMAND_BYTES)?;
        memory.complete();
        Some(memory)
    }

    /// Frees what the commands that were handled no longer need.
    pub fn release_unneeded(&mut self) {
        if self.is_discarded() {
            return;
        }
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new(); // frees a buffer that has grown
        }
        if self.buffer.len() < SMALL_BUFFER_BYTES {
            (self.memory, self.waited) = (None, Duration::ZERO);
        }
    }

    /// Drops all input.
    pub fn clear(&mut self) {
        self.read_ahead.clear();
        (self.buffer, self.memory, self.wait, self.discarded) = (BytesMut::new(), None, None, None);
    }
}
