//! Reasons for which a client connection ends.

use std::fmt;
use std::io;

/// Why a client connection ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed or reset it.
    ClientDisconnected,
    /// The client has read none of its answers for too long.
    ClientNotReading,
    /// The client asked for the connection to be closed.
    ClientQuit,
    /// The client sent a malformed command.
    MalformedCommand,
    /// No complete command arrived in time.
    CommandTimeout,
    /// The node is shutting down or leaving service, and no response is pending on the connection.
    ShuttingDown,
    /// The process is about to end.
    ProcessEnding,
    /// The connection was closed to make room for another.
    Evicted,
    /// A large value ended before its last byte.
    ValueTruncated,
}

impl CloseReason {
    /// The name of the reason in metrics.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::ClientDisconnected => "client_disconnected",
            CloseReason::ClientNotReading => "client_not_reading",
            CloseReason::ClientQuit => "client_quit",
            CloseReason::MalformedCommand => "malformed_command",
            CloseReason::CommandTimeout => "command_timeout",
            CloseReason::ShuttingDown => "shutting_down",
            CloseReason::ProcessEnding => "process_ending",
            CloseReason::Evicted => "evicted",
            CloseReason::ValueTruncated => "value_truncated",
        }
    }

    /// Whether the client itself forfeited its remaining answers.
    pub fn is_client_side(self) -> bool {
        matches!(self, CloseReason::ClientDisconnected | CloseReason::ClientNotReading)
    }
}

impl From<io::Error> for CloseReason {
    /// Classifies a failed read or write on the client's socket; `UnexpectedEof` stands for a large value that ended
    /// early.
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => CloseReason::ClientNotReading,
            io::ErrorKind::UnexpectedEof => CloseReason::ValueTruncated,
            _ => CloseReason::ClientDisconnected,
        }
    }
}

impl fmt::Display for CloseReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CloseReason::ClientDisconnected => "the client left",
            CloseReason::ClientNotReading => "the client takes nothing",
            CloseReason::ClientQuit => "the client asked for it",
            CloseReason::MalformedCommand => "a command can't be read",
            CloseReason::CommandTimeout => "no whole command came",
            CloseReason::ShuttingDown => "the node shuts down or leaves",
            CloseReason::ProcessEnding => "the process ends",
            CloseReason::Evicted => "it made room for another",
            CloseReason::ValueTruncated => "a large value broke",
        })
    }
}
