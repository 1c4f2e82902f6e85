//! Why a client's connection ends.

use std::fmt;
use std::io;

/// Why a client's connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset it.
    ClientLeft,
    /// The client has taken nothing of its answers for too long.
    ClientStuck,
    /// The client asked for the close.
    Quit,
    /// A command that can't be read came before.
    Malformed,
    /// No whole command came for too long.
    NoWholeCommand,
    /// The node is shutting down or leaving, and nothing is owed here.
    ShuttingDown,
    /// The process is about to end.
    ProcessEnds,
    /// The connection made room for another.
    Evicted,
    /// A large value broke in the middle.
    ValueBroken,
}

impl CloseReason {
    /// Whether the client gave up its answers itself.
    pub fn is_clients_own(self) -> bool {
        matches!(self, CloseReason::ClientLeft | CloseReason::ClientStuck)
    }
}

impl From<io::Error> for CloseReason {
    /// What a failed read or write of the client's socket means.
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => CloseReason::ClientStuck,
            io::ErrorKind::UnexpectedEof => CloseReason::ValueBroken,
            _ => CloseReason::ClientLeft,
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::ClientLeft => "the client left",
            CloseReason::ClientStuck => "the client takes nothing",
            CloseReason::Quit => "the client asked for it",
            CloseReason::Malformed => "a command can't be read",
            CloseReason::NoWholeCommand => "no whole command came",
            CloseReason::ShuttingDown => "the node shuts down or leaves",
            CloseReason::ProcessEnds => "the process ends",
            CloseReason::Evicted => "it made room for another",
            CloseReason::ValueBroken => "a large value broke",
        })
    }
}
