//! RESP2, as the project's protocol words it: `CACHE.GET KEY ID FACTS` and `CACHE.SET KEY ID FACTS VALUE`.

use std::sync::Arc;
use std::{fmt, str};

use bytes::{Bytes, BytesMut};
use lilacquay_codec::resp::{self, Frame, next_frame, put_bulk, put_bulk_header, put_error, put_simple};
use lilacquay_core::{
    Answer, Call, CallError, MAX_BUFFERED_VALUE_BYTES, MAX_WRITE_VALUE_BYTES, Micros, OperationResult,
};
use paddlefold::setup::Names;

use crate::protocol::{Input, Malformed, Parting, Protocol, Refusal};

/// A connection that speaks RESP2.
pub struct Resp {
    names: Arc<Names>,
}

impl Resp {
    /// Reads classes and tenants by these names.
    pub fn new(names: Arc<Names>) -> Self {
        Resp { names }
    }

    fn command(&self, parts: &[Bytes]) -> Result<Input<()>, CommandError> {
        let Some((name, rest)) = parts.split_first() else { return Err(CommandError::Unknown) };
        let (get, set) = (name.eq_ignore_ascii_case(b"CACHE.GET"), name.eq_ignore_ascii_case(b"CACHE.SET"));
        let (key, id, facts, value) = match rest {
            [] if name.eq_ignore_ascii_case(b"PING") => {
                let (mut yes, mut no) = (BytesMut::new(), BytesMut::new());
                put_simple(&mut yes, "PONG");
                put_error(&mut no, format_args!("ERR leaving"));
                return Ok(Input::Asks { yes, no });
            }
            [key, id, facts] if get => (key, id, facts, None),
            [key, id, facts, value] if set => (key, id, facts, Some(value.clone())),
            _ if get || set => return Err(CommandError::Arguments),
            _ => return Err(CommandError::Unknown),
        };
        let key = str::from_utf8(key).map_err(|_| CommandError::Arguments)?;
        // Copied, so that they don't hold on to the whole of what was read with them.
        let (key, [id, facts]) = (key.to_owned(), [id, facts].map(|text| Bytes::copy_from_slice(text)));
        let wait = fact(&facts, "d").and_then(wait).ok_or(CommandError::Wait)?;
        let mut call = Call::new(key, id, facts, value, wait)?;
        self.read_names(&mut call)?;
        Ok(Input::Call(Box::new(call), ()))
    }

    fn read_names(&self, call: &mut Call) -> Result<(), CommandError> {
        let facts = call.facts.clone();
        // Guards against: requests that name a class which the settings lack, sent on to servers that turn
        // them away. One that names none is served.
        if let Some(class) = fact(&facts, "c") {
            call.class = Some(self.names.class(class).ok_or(CommandError::Class)?);
        }
        call.tenant = fact(&facts, "t").and_then(|name| self.names.tenant(name));
        call.idempotency_key = fact(&facts, "k").map(|key| Bytes::copy_from_slice(key.as_bytes()));
        Ok(())
    }
}

impl Protocol for Resp {
    type Reply = ();
    const LONGEST: usize = MAX_WRITE_VALUE_BYTES + MAX_BUFFERED_VALUE_BYTES;

    fn expected(&self, buffer: &[u8]) -> usize {
        resp::min_frame_length(buffer, Self::LONGEST)
    }

    fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Input<()>>, Malformed> {
        let Some(frame) = next_frame(buffer, Self::LONGEST).map_err(|_| Malformed)? else { return Ok(None) };
        let parts = arguments(frame)?;
        let input = self.command(&parts);
        Ok(Some(input.unwrap_or_else(|why| said(false, |text| put_error(text, format_args!("ERR {why}"))))))
    }

    fn answer(&mut self, (): (), answer: Answer, out: &mut BytesMut) {
        match answer {
            Answer::Served(OperationResult::Value { bytes, .. }) => put_bulk(out, &bytes),
            // The origin has no such key.
            Answer::Served(OperationResult::Absent | OperationResult::Exists) => {
                out.extend_from_slice(b"$-1\r\n")
            }
            Answer::Busy(0) => put_error(out, format_args!("BUSY")),
            Answer::Busy(wait) => put_error(out, format_args!("BUSY {}", wait.div_ceil(1000))),
            Answer::Failed | Answer::Streaming(_) => put_error(out, format_args!("ERR failed")),
        }
    }

    fn begin(&mut self, (): (), length: usize, _flags: u32, out: &mut BytesMut) {
        put_bulk_header(out, length);
    }

    fn finish(&mut self, out: &mut BytesMut) {
        out.extend_from_slice(b"\r\n");
    }

    fn refuse(&mut self, (): (), why: Refusal, out: &mut BytesMut) {
        let why = match why {
            Refusal::InUse => "id in use",
            Refusal::TooMany => "too many commands at once",
        };
        put_error(out, format_args!("ERR {why}"));
    }

    fn part(&mut self, why: Parting, out: &mut BytesMut) {
        let why = match why {
            Parting::Malformed => "malformed command",
            Parting::Silent => "no whole command",
        };
        put_error(out, format_args!("ERR {why}"));
    }
}

fn said(good: bool, put: impl FnOnce(&mut BytesMut)) -> Input<()> {
    let mut text = BytesMut::new();
    put(&mut text);
    Input::Said { text, good }
}

/// A value by its name.
fn fact<'a>(facts: &'a [u8], name: &str) -> Option<&'a str> {
    let facts = str::from_utf8(facts).ok()?;
    facts.split(',').find_map(|fact| fact.split_once('=').filter(|f| f.0 == name).map(|f| f.1))
}

/// A wait in milliseconds.
fn wait(text: &str) -> Option<Micros> {
    let ms = text.parse::<f64>().ok().filter(|ms| ms.is_finite() && *ms >= 0.0)?;
    Some((ms * 1000.0) as Micros)
}

/// A command's words: an array of bulk strings.
fn arguments(frame: Frame) -> Result<Vec<Bytes>, Malformed> {
    let Frame::Array(parts) = frame else { return Err(Malformed) };
    let words = parts.into_iter().map(|part| match part {
        Frame::BulkString(text) => Ok(text),
        _ => Err(Malformed),
    });
    words.collect()
}

/// Why a whole command can't be carried out.
#[derive(Debug)]
enum CommandError {
    Unknown,
    Arguments,
    Wait,
    Class,
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
            CommandError::Unknown => f.write_str("unknown command"),
            CommandError::Arguments => f.write_str("wrong arguments"),
            CommandError::Wait => f.write_str("bad or missing d"),
            CommandError::Class => f.write_str("unknown class"),
            CommandError::Call(error) => error.fmt(f),
        }
    }
}
