//! When a client's connection is closed, read on, or waited for no longer. No I/O, no clock: what is known of the connection
//! is handed in.

use std::time::Duration;

use lilacquay_lifecycle::{CloseMode, ServiceMode};
use tokio::time::Instant;

use crate::close_reason::CloseReason;

/// A connection that has had nothing good to say for so long is closed: silent, or in the midst of a command.
pub const PATIENCE: Duration = Duration::from_millis(2500);
/// What is on its way on a new connection has come after so long.
pub const NEW: Duration = Duration::from_millis(300);
/// Where a node leaves service and runs on, a connection on which there is always something more to read is closed all the
/// same so long after idle ones. A node that ends reads until its end.
pub const LAST_COMMANDS: Duration = Duration::from_millis(1800);
/// After what can't be read, answers that are owed are waited for so long; those still out are given as failed then.
pub const PARTING: Duration = Duration::from_millis(1500);
/// A long command that keeps coming may take so much longer: what it has, at so many bytes a second ...
const SLOWEST: usize = 256 << 10;
/// ... with no pause longer than this.
pub const PAUSE: Duration = Duration::from_millis(500);

/// What is known of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionFacts {
    /// The time.
    pub now: Instant,
    /// When it came.
    pub born: Instant,
    /// Since when nothing good has come: its start, its last answer, or a command's first byte.
    pub since: Instant,
    /// When something was read last.
    pub read_at: Instant,
    /// Whether an answer is owed.
    pub owes: bool,
    /// Whether a part of a command has come.
    pub in_command: bool,
    /// Whether it has ever sent a command that is good.
    pub heard: bool,
    /// Whether it has ever had a request.
    pub asked: bool,
    /// Whether an answer has just been written.
    pub just_answered: bool,
    /// When something came that can't be read.
    pub malformed: Option<Instant>,
    /// Whether the client has asked for a close.
    pub quits: bool,
    /// Whether the process is about to end.
    pub process_ends: bool,
    /// The long command that is coming, if one is.
    pub long_command: Option<LongCommand>,
}

/// A long command that is coming.
#[derive(Debug, Clone, Copy)]
pub struct LongCommand {
    /// How many bytes it has.
    pub length: usize,
    /// Whether it has places in memory, or waits for them.
    pub has_places: bool,
}

/// What is done about a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseDecision {
    /// It stays.
    Stay,
    /// It is closed.
    Close(CloseReason),
    /// It is closed if nothing more has come by now.
    ///
    /// Guards against: a request that is closed on, unread, though it had come already.
    CloseIfNothingCame,
    /// It is looked at again then, when what is on its way from a new client must have come.
    LookAgain(Instant),
}

/// When a connection is closed.
#[derive(Debug, Clone, Default)]
pub struct ClosePolicy {
    /// Since when connections without a request are to be closed.
    unwanted: Option<Instant>,
}

impl ClosePolicy {
    /// What is done about a connection of a node in that phase.
    pub fn decide(&mut self, phase: ServiceMode, facts: &ConnectionFacts) -> CloseDecision {
        let unwanted = match phase.close_mode {
            CloseMode::WhenIdle => *self.unwanted.get_or_insert(facts.now),
            CloseMode::KeepOpen | CloseMode::AfterAnswer => {
                self.unwanted = None;
                facts.now
            }
        };
        if facts.owes {
            return CloseDecision::Stay;
        }
        if let Some(reason) = at_its_end(facts) {
            return CloseDecision::Close(reason);
        }
        if facts.in_command {
            return CloseDecision::Stay;
        }
        match phase.close_mode {
            CloseMode::KeepOpen => CloseDecision::Stay,
            CloseMode::AfterAnswer if facts.just_answered && facts.asked => CloseDecision::CloseIfNothingCame,
            CloseMode::AfterAnswer => CloseDecision::Stay,
            CloseMode::WhenIdle if !facts.heard && facts.now < facts.born + NEW => {
                CloseDecision::LookAgain(facts.born + NEW)
            }
            CloseMode::WhenIdle if phase.accepts_connections && facts.now >= unwanted + LAST_COMMANDS => {
                CloseDecision::Close(CloseReason::ShuttingDown)
            }
            CloseMode::WhenIdle => CloseDecision::CloseIfNothingCame,
        }
    }
}

/// Why a connection on which nothing is owed has come to its end, if it has.
fn at_its_end(facts: &ConnectionFacts) -> Option<CloseReason> {
    match facts {
        ConnectionFacts { malformed: Some(_), .. } => Some(CloseReason::Malformed),
        ConnectionFacts { quits: true, .. } => Some(CloseReason::Quit),
        ConnectionFacts { process_ends: true, .. } => Some(CloseReason::ProcessEnds),
        _ => None,
    }
}

/// Whether commands may be read, as far as the node's phase goes.
///
/// Guards against: a client that always has a command under way and so is never rid of a node that leaves service and runs
/// on. One that ends answers all that it has read, and reads nothing in its last 0.1 s.
pub fn may_read(phase: ServiceMode, facts: &ConnectionFacts) -> bool {
    let goes_on = phase.close_mode == CloseMode::KeepOpen || !phase.accepts_connections;
    (goes_on || !facts.owes) && !facts.process_ends
}

/// When the client is waited for no longer, if that is at all.
///
/// Guards against: silent connections and halves of commands, which would be held for ever, and an error that waits behind
/// an answer which is long in coming.
pub fn given_up_at(facts: &ConnectionFacts) -> Option<Instant> {
    if let Some(at) = facts.malformed {
        return Some(at + PARTING);
    }
    if facts.owes || facts.heard && !facts.in_command {
        return None;
    }
    let usual = facts.since + PATIENCE;
    let Some(LongCommand { length, has_places }) = facts.long_command else { return Some(usual) };
    // Guards against: a long write given up while it comes or waits for places, and one that dribbles and holds its own.
    let longest = usual + Duration::from_secs_f64(length as f64 / SLOWEST as f64);
    Some(if has_places { usual.max((facts.read_at + PAUSE).min(longest)) } else { longest })
}
