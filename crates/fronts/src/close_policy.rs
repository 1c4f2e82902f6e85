//! Decides when a client connection is closed, when its commands are read, and when a read times out. No I/O and no clock:
//! the caller passes in the state of the connection.

use std::time::Duration;

use lilacquay_lifecycle::{CloseMode, ServiceMode};
use tokio::time::Instant;

use crate::close_reason::CloseReason;

/// A connection that has never sent a valid command, or has sent only part of its current one, is closed after this
/// long without progress.
pub const COMMAND_TIMEOUT: Duration = Duration::from_millis(2500);
/// After this long, anything in transit on a new connection has arrived.
pub const NEW_CONNECTION_GRACE: Duration = Duration::from_millis(300);
/// If a node leaves service and keeps running, a connection on which there is always more to read is closed this long
/// after idle ones. A node that shuts down reads until its end.
pub const LEAVE_CLOSE_TIMEOUT: Duration = Duration::from_millis(1800);
/// After a malformed command, pending responses are waited for this long; those still missing are then answered as failed.
pub const MALFORMED_COMMAND_TIMEOUT: Duration = Duration::from_millis(1500);
/// A long command that keeps arriving extends the time limit by its length divided by this rate, at most.
const MIN_LONG_COMMAND_BYTES_PER_SECOND: usize = 256 << 10;
/// The longest pause within a long command for which the time limit is extended.
pub const MAX_LONG_COMMAND_PAUSE: Duration = Duration::from_millis(500);

/// The state of a connection at one time.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionState {
    /// The current time.
    pub now: Instant,
    /// When the client connected.
    pub connected_at: Instant,
    /// The last progress: the connection's start, its last answer, the last command that was read completely or, once
    /// the client has sent a valid command, the first byte of the next.
    pub last_progress_at: Instant,
    /// When something was last read.
    pub last_read_at: Instant,
    /// Whether a response is pending.
    pub has_pending_response: bool,
    /// Whether part of a command has arrived.
    pub in_command: bool,
    /// Whether the client has ever sent a valid command.
    pub has_sent_valid_command: bool,
    /// Whether a request of this client was ever opened at the core.
    pub has_opened_request: bool,
    /// Whether an answer has just been written.
    pub just_answered: bool,
    /// When malformed input arrived.
    pub malformed_at: Option<Instant>,
    /// Whether the client has asked for the connection to be closed.
    pub quit_requested: bool,
    /// Whether the process is about to end.
    pub process_ending: bool,
    /// The long command that is arriving, if any.
    pub long_command: Option<LongCommand>,
}

/// A long command that is arriving.
#[derive(Debug, Clone, Copy)]
pub struct LongCommand {
    /// Its length in bytes.
    pub length: usize,
    /// Whether it waits for memory. That wait has a bound of its own.
    pub waits_for_memory: bool,
    /// How long it has waited for memory.
    pub waited: Duration,
}

/// Whether and when to close a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseDecision {
    /// Keep it open.
    KeepOpen,
    /// Close it.
    Close(CloseReason),
    /// Close it if there is nothing to read.
    ///
    /// Closing without that check would discard a request that has arrived but is not read yet.
    CloseIfNothingToRead,
    /// Decide again at this time, when anything in transit from a new client must have arrived.
    RecheckAt(Instant),
}

/// Decides when one connection is closed.
#[derive(Debug, Clone, Default)]
pub struct ClosePolicy {
    /// Since when the node has been in `CloseMode::WhenIdle`.
    closing_idle_since: Option<Instant>,
}

impl ClosePolicy {
    /// Decides for a connection of a node in this service mode.
    pub fn decide(&mut self, mode: ServiceMode, state: &ConnectionState) -> CloseDecision {
        let closing_idle_since = match mode.close_mode {
            CloseMode::WhenIdle => *self.closing_idle_since.get_or_insert(state.now),
            CloseMode::KeepOpen | CloseMode::AfterAnswer => {
                self.closing_idle_since = None;
                state.now
            }
        };
        if state.has_pending_response {
            return CloseDecision::KeepOpen;
        }
        if let Some(reason) = close_reason(state) {
            return CloseDecision::Close(reason);
        }
        if state.in_command {
            return CloseDecision::KeepOpen;
        }
        match mode.close_mode {
            CloseMode::KeepOpen => CloseDecision::KeepOpen,
            CloseMode::AfterAnswer if state.just_answered && state.has_opened_request => {
                CloseDecision::CloseIfNothingToRead
            }
            CloseMode::AfterAnswer => CloseDecision::KeepOpen,
            CloseMode::WhenIdle
                if !state.has_sent_valid_command && state.now < state.connected_at + NEW_CONNECTION_GRACE =>
            {
                CloseDecision::RecheckAt(state.connected_at + NEW_CONNECTION_GRACE)
            }
            CloseMode::WhenIdle
                if mode.accepts_connections && state.now >= closing_idle_since + LEAVE_CLOSE_TIMEOUT =>
            {
                CloseDecision::Close(CloseReason::ShuttingDown)
            }
            CloseMode::WhenIdle => CloseDecision::CloseIfNothingToRead,
        }
    }
}

/// The reason to close a connection without pending responses whatever the node's service mode, if there is one.
fn close_reason(state: &ConnectionState) -> Option<CloseReason> {
    match state {
        ConnectionState { malformed_at: Some(_), .. } => Some(CloseReason::MalformedCommand),
        ConnectionState { quit_requested: true, .. } => Some(CloseReason::ClientQuit),
        ConnectionState { process_ending: true, .. } => Some(CloseReason::ProcessEnding),
        _ => None,
    }
}

/// Whether the node's service mode allows commands to be read.
///
/// While a node leaves service and keeps running, nothing is read behind a pending response: a client that always has a
/// command in flight would otherwise stay connected for ever. A node that shuts down answers everything it has read, and
/// reads nothing in its last 0.1 s.
pub fn may_read(mode: ServiceMode, state: &ConnectionState) -> bool {
    let reads_behind_pending = mode.close_mode == CloseMode::KeepOpen || !mode.accepts_connections;
    (reads_behind_pending || !state.has_pending_response) && !state.process_ending
}

/// When the connection times out; `None` if it does not.
///
/// Bounds how long silent connections and partial commands are held, and how long the error for malformed input waits
/// behind an answer that is slow to come.
pub fn times_out_at(state: &ConnectionState) -> Option<Instant> {
    if let Some(at) = state.malformed_at {
        return Some(at + MALFORMED_COMMAND_TIMEOUT);
    }
    if state.has_pending_response || state.has_sent_valid_command && !state.in_command {
        return None;
    }
    let usual = state.last_progress_at + COMMAND_TIMEOUT;
    let Some(LongCommand { length, waits_for_memory, waited }) = state.long_command else {
        return Some(usual);
    };
    if waits_for_memory {
        return None;
    }
    // A long write must not time out while it keeps arriving, and one that trickles in must not hold its memory for long.
    let transfer_time = Duration::from_secs_f64(length as f64 / MIN_LONG_COMMAND_BYTES_PER_SECOND as f64);
    let latest = usual + transfer_time + waited;
    Some(usual.max((state.last_read_at + MAX_LONG_COMMAND_PAUSE).min(latest)))
}
