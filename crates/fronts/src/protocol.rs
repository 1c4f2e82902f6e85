//! The interface that every client-facing protocol implements.

use std::time::Duration;

use bytes::BytesMut;
use lilacquay_core::{Answer, Call};

/// One connection's protocol state machine, without I/O.
pub trait Protocol: Send + Sync + 'static {
    /// What is kept of a command to format its answer.
    type ReplyContext: Send + Sync + 'static;

    /// The longest command that is read to its end, if only to answer that it is too long, in bytes.
    const MAX_COMMAND_BYTES: usize;

    /// The most requests that one connection may have open; further ones are refused. A protocol without a limit of its
    /// own sets `usize::MAX`: once the session's limit on pending responses is reached, further commands stay unread.
    const MAX_OPEN_REQUESTS: usize = 64;

    /// The least length of the first command in bytes, judged by the part that has arrived. At most
    /// [`Protocol::MAX_COMMAND_BYTES`] for anything that can be a command.
    fn expected_length(&self, buffer: &[u8]) -> usize;

    /// The first command, as far as what has arrived of it tells its length and how to refuse it. The rest of such a command
    /// can be discarded instead of buffered. May be none for a whole command.
    fn partial_command(&self, _buffer: &[u8]) -> Option<PartialCommand<Self::ReplyContext>> {
        None
    }

    /// Takes the first command out of the buffer, once it is complete.
    ///
    /// # Errors
    /// If the bytes in the buffer cannot be the beginning of a command. Nothing more is read then.
    fn next_command(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<ParsedCommand<Self::ReplyContext>>, Malformed>;

    /// Writes the final answer to a call. For a large value that is sent as it arrives, [`Protocol::write_value_header`]
    /// is called instead.
    fn write_answer(&mut self, context: Self::ReplyContext, answer: Answer, out: &mut BytesMut);

    /// Writes what precedes a large value of `length` bytes with these flags, in the answer to a read.
    fn write_value_header(
        &mut self,
        context: Self::ReplyContext,
        length: usize,
        flags: u32,
        out: &mut BytesMut,
    );

    /// Writes what follows a large value.
    fn write_value_trailer(&mut self, _out: &mut BytesMut) {}

    /// Writes why a call was not started.
    fn write_refusal(&mut self, context: Self::ReplyContext, refusal: Refusal, out: &mut BytesMut);

    /// Writes the final message before the connection closes.
    fn write_close_notice(&mut self, notice: CloseNotice, out: &mut BytesMut);
}

/// A command that has not arrived whole.
pub struct PartialCommand<R> {
    /// The length of the whole command in bytes.
    pub length: usize,
    /// How long its client waits for the answer, if that is known.
    pub client_timeout: Option<Duration>,
    /// Its class, if it has one.
    pub class: Option<usize>,
    /// For formatting the refusal.
    pub context: R,
}

/// A complete command.
pub enum ParsedCommand<R> {
    /// A request for the core.
    Call(Box<Call>, R),
    /// A command answered by the protocol itself, in its turn.
    Answered {
        /// The answer; may be empty.
        text: BytesMut,
        /// Whether the protocol knows the command and it was used correctly, which marks a well-behaved client.
        valid: bool,
    },
    /// Asks whether the node serves clients; answered in its turn with one of these texts.
    Ping {
        /// The answer if it does.
        in_service: BytesMut,
        /// The answer if it does not, or will not for long.
        leaving: BytesMut,
    },
    /// Asks for the connection to be closed once all earlier commands are answered and this text is written.
    Quit(BytesMut),
}

/// The input violates the protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// Why a call was not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Another request with its id is open.
    IdInUse,
    /// Too many requests are open on its connection.
    TooManyRequests,
}

/// Why this node closes a connection, as told to its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseNotice {
    /// The client sent malformed input.
    Malformed,
    /// The client sent no complete command in time.
    CommandTimeout,
}
