//! The interface of a protocol that clients speak.

use bytes::BytesMut;
use lilacquay_core::{Answer, Call};

/// One connection's side of a protocol: a state machine without I/O.
pub trait Protocol: Send + 'static {
    /// What is kept of a command to word its answer.
    type Reply: Send + 'static;

    /// The longest command that is read to its end, if only to say that it is too long, in bytes.
    const LONGEST: usize;

    /// Requests that one connection may have open; those beyond are refused. Without a bound of the protocol's own,
    /// those beyond the answers that may be owed wait unread.
    const AT_ONCE: usize = 64;

    /// How many bytes the first command has at least, by what has come of it: no more than [`Protocol::LONGEST`] if it
    /// can be one.
    fn expected(&self, buffer: &[u8]) -> usize;

    /// Takes the first command out of the buffer, once it is whole.
    ///
    /// # Errors
    /// If what has come can't be the beginning of a command. Nothing more is read then.
    fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Input<Self::Reply>>, Malformed>;

    /// Words the final answer to a call, unless it is a large value's beginning: see [`Protocol::begin`].
    fn answer(&mut self, reply: Self::Reply, answer: Answer, out: &mut BytesMut);

    /// Words what stands before a large value of so many bytes, and the flags beside it: a read's answer.
    fn begin(&mut self, reply: Self::Reply, length: usize, flags: u32, out: &mut BytesMut);

    /// Words what stands behind a large value.
    fn finish(&mut self, _out: &mut BytesMut) {}

    /// Words why a call was not begun.
    fn refuse(&mut self, reply: Self::Reply, why: Refusal, out: &mut BytesMut);

    /// The last words before the connection closes.
    fn part(&mut self, why: Parting, out: &mut BytesMut);
}

/// A whole command.
pub enum Input<R> {
    /// A request for the core.
    Call(Box<Call>, R),
    /// Answered here with this text, in its turn. A `good` one is a sign of an honest client.
    Said {
        /// What is written; nothing may be.
        text: BytesMut,
        /// Whether the command was one that the protocol knows, used as it should be.
        good: bool,
    },
    /// Asks whether the node takes clients; answered in its turn with one of these texts.
    Asks {
        /// If it does.
        yes: BytesMut,
        /// If it does not, or not for long.
        no: BytesMut,
    },
    /// The client asks for a close once all before it is answered and this text is written.
    Quit(BytesMut),
}

/// Not the protocol.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// Why a call was not begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A request with its id is open.
    InUse,
    /// Too many requests are open on its connection.
    TooMany,
}

/// Why a connection closes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parting {
    /// It sent what can't be read.
    Malformed,
    /// It sent no whole command for too long.
    Silent,
}
