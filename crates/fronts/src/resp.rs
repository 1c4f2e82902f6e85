//! The client-facing RESP2 protocol, with the commands `CACHE.GET KEY ID FACTS` and `CACHE.SET KEY ID FACTS VALUE`.
//!
//! `FACTS` is a comma-separated list of `name=value`: class `c`, tenant `t`, client timeout in milliseconds `d` and
//! idempotency key `k`.

use std::sync::Arc;
use std::time::Duration;
use std::{fmt, str};

use bytes::{Bytes, BytesMut};
use lilacquay_codec::resp::{self, Frame, next_frame, put_bulk, put_bulk_header, put_error, put_simple};
use lilacquay_core::{
    Answer, Call, CallError, MAX_BUFFERED_VALUE_BYTES, MAX_WRITE_VALUE_BYTES, Micros, OperationResult,
};
use paddlefold::setup::Names;

use crate::protocol::{CloseNotice, Malformed, ParsedCommand, PartialCommand, Protocol, Refusal};

/// The place of the facts among the words of a command.
const FACTS_WORD: usize = 3;

/// A connection that speaks RESP2.
pub struct RespProtocol {
    names: Arc<Names>,
}

impl RespProtocol {
    /// Creates the protocol; commands refer to classes and tenants by these names.
    pub fn new(names: Arc<Names>) -> Self {
        RespProtocol { names }
    }

    fn command(&self, parts: &[Bytes]) -> Result<ParsedCommand<()>, CommandError> {
        let Some((name, rest)) = parts.split_first() else { return Err(CommandError::UnknownCommand) };
        let (get, set) = (name.eq_ignore_ascii_case(b"CACHE.GET"), name.eq_ignore_ascii_case(b"CACHE.SET"));
        let (key, id, facts, value) = match rest {
            [] if name.eq_ignore_ascii_case(b"PING") => {
                let (mut in_service, mut leaving) = (BytesMut::new(), BytesMut::new());
                put_simple(&mut in_service, "PONG");
                put_error(&mut leaving, format_args!("ERR leaving"));
                return Ok(ParsedCommand::Ping { in_service, leaving });
            }
            [key, id, facts] if get => (key, id, facts, None),
            [key, id, facts, value] if set => (key, id, facts, Some(value.clone())),
            _ if get || set => return Err(CommandError::WrongArguments),
            _ => return Err(CommandError::UnknownCommand),
        };
        let key = str::from_utf8(key).map_err(|_| CommandError::WrongArguments)?;
        // Copied, since slices would keep alive the whole buffer into which they were read.
        let (key, [id, facts]) = (key.to_owned(), [id, facts].map(|text| Bytes::copy_from_slice(text)));
        let timeout = fact(&facts, "d").and_then(parse_timeout).ok_or(CommandError::Timeout)?;
        let mut call = Call::new(key, id, facts, value, timeout)?;
        self.resolve_names(&mut call)?;
        Ok(ParsedCommand::Call(Box::new(call), ()))
    }

    /// Resolves the class and the tenant in the call's facts, and takes over the idempotency key.
    fn resolve_names(&self, call: &mut Call) -> Result<(), CommandError> {
        let facts = call.facts.clone();
        // A request with a class that the settings lack is refused here: servers would reject it. One without a class
        // is served.
        if let Some(class) = fact(&facts, "c") {
            call.class = Some(self.names.class(class).ok_or(CommandError::UnknownClass)?);
        }
        call.tenant = fact(&facts, "t").and_then(|name| self.names.tenant(name));
        call.idempotency_key = fact(&facts, "k").map(|key| Bytes::copy_from_slice(key.as_bytes()));
        Ok(())
    }
}

impl Protocol for RespProtocol {
    type ReplyContext = ();
    const MAX_COMMAND_BYTES: usize = MAX_WRITE_VALUE_BYTES + MAX_BUFFERED_VALUE_BYTES;

    fn expected_length(&self, buffer: &[u8]) -> usize {
        resp::min_frame_length(buffer, Self::MAX_COMMAND_BYTES)
    }

    fn partial_command(&self, buffer: &[u8]) -> Option<PartialCommand<()>> {
        let resp::PartialCommand { words, length } = resp::parse_partial_command(buffer)?;
        let facts = words.get(FACTS_WORD).copied().unwrap_or_default();
        let client_timeout = fact(facts, "d").and_then(parse_timeout).map(Duration::from_micros);
        let class = fact(facts, "c").and_then(|class| self.names.class(class));
        Some(PartialCommand { length, client_timeout, class, context: () })
    }

    fn next_command(&mut self, buffer: &mut BytesMut) -> Result<Option<ParsedCommand<()>>, Malformed> {
        let Some(frame) = next_frame(buffer, Self::MAX_COMMAND_BYTES).map_err(|_| Malformed)? else {
            return Ok(None);
        };
        let parts = words(frame)?;
        let command = self.command(&parts);
        Ok(Some(command.unwrap_or_else(rejected)))
    }

    fn write_answer(&mut self, (): (), answer: Answer, out: &mut BytesMut) {
        match answer {
            Answer::Served(OperationResult::Value { bytes, .. }) => put_bulk(out, &bytes),
            // The origin has no such key.
            Answer::Served(OperationResult::Absent | OperationResult::Exists) => {
                out.extend_from_slice(b"$-1\r\n")
            }
            Answer::Busy(0) => put_error(out, format_args!("BUSY")),
            Answer::Busy(retry_after) => put_error(out, format_args!("BUSY {}", retry_after.div_ceil(1000))),
            Answer::Failed | Answer::Streaming(_) => put_error(out, format_args!("ERR failed")),
        }
    }

    fn write_value_header(&mut self, (): (), length: usize, _flags: u32, out: &mut BytesMut) {
        put_bulk_header(out, length);
    }

    fn write_value_trailer(&mut self, out: &mut BytesMut) {
        out.extend_from_slice(b"\r\n");
    }

    fn write_refusal(&mut self, (): (), refusal: Refusal, out: &mut BytesMut) {
        let reason = match refusal {
            Refusal::IdInUse => "id in use",
            Refusal::TooManyRequests => "too many commands at once",
        };
        put_error(out, format_args!("ERR {reason}"));
    }

    fn write_close_notice(&mut self, notice: CloseNotice, out: &mut BytesMut) {
        let reason = match notice {
            CloseNotice::Malformed => "malformed command",
            CloseNotice::CommandTimeout => "no whole command",
        };
        put_error(out, format_args!("ERR {reason}"));
    }
}

/// The error answer to a command that cannot be carried out.
fn rejected(error: CommandError) -> ParsedCommand<()> {
    let mut text = BytesMut::new();
    put_error(&mut text, format_args!("ERR {error}"));
    ParsedCommand::Answered { text, valid: false }
}

/// The value of this name in the list.
fn fact<'a>(facts: &'a [u8], name: &str) -> Option<&'a str> {
    let facts = str::from_utf8(facts).ok()?;
    facts.split(',').find_map(|fact| fact.split_once('=').filter(|f| f.0 == name).map(|f| f.1))
}

/// Parses a timeout in milliseconds, which may have a fraction.
fn parse_timeout(text: &str) -> Option<Micros> {
    let ms = text.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms >= 0.0)?;
    Some((ms * 1000.0) as Micros)
}

/// The words of a command, which is an array of bulk strings.
fn words(frame: Frame) -> Result<Vec<Bytes>, Malformed> {
    let Frame::Array(parts) = frame else { return Err(Malformed) };
    let words = parts.into_iter().map(|part| match part {
        Frame::BulkString(text) => Ok(text),
        _ => Err(Malformed),
    });
    words.collect()
}

/// Why a complete command cannot be carried out.
#[derive(Debug)]
enum CommandError {
    UnknownCommand,
    WrongArguments,
    Timeout,
    UnknownClass,
    Call(CallError),
}

impl From<CallError> for CommandError {
    fn from(error: CallError) -> Self {
        CommandError::Call(error)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::UnknownCommand => f.write_str("unknown command"),
            CommandError::WrongArguments => f.write_str("wrong arguments"),
            CommandError::Timeout => f.write_str("bad or missing d"),
            CommandError::UnknownClass => f.write_str("unknown class"),
            CommandError::Call(error) => error.fmt(f),
        }
    }
}
