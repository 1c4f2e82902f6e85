//! A client's request and its final answer, in words of no protocol.

use std::fmt;

use bytes::Bytes;
use paddlefold::Micros;

use crate::value_stream::ValueStream;

/// The longest value that is taken whole from a server before it is answered, in bytes.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 << 10;
/// The longest value of a write, in bytes.
pub const MAX_WRITE_VALUE_BYTES: usize = 4 << 20;
/// Key, id and facts together are no longer than this, in bytes.
const TEXTS: usize = 2 << 10;
/// The longest wait that is believed, in microseconds.
const LONGEST: Micros = 3_600_000_000;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verb {
    /// The value.
    Get,
    /// Keep a value.
    Set,
    /// Keep a value if there is none.
    Add,
    /// Keep a value if there is one.
    Replace,
    /// Keep none.
    Delete,
}

/// What a client wants kept beside a value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreOptions {
    /// Given back with the value; the client's own.
    pub flags: u32,
    /// When it ends, as memcached counts it: seconds from now up to 30 days, else Unix time; 0 is never.
    pub expiry: u32,
}

/// A client's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// What it is about. Not empty.
    pub key: String,
    /// The request's id. It goes on unchanged, in headers too: no control characters.
    pub id: Bytes,
    /// The class, an index into the settings' classes.
    pub class: Option<usize>,
    /// The tenant, an index into the settings' tenants.
    pub tenant: Option<usize>,
    /// How long the client will wait, from when the request's last byte was read. No longer than an hour.
    wait: Micros,
    /// By which servers know a keyed write's repeats.
    pub idempotency_key: Option<Bytes>,
    /// What it asks for.
    pub verb: Verb,
    /// What a write stores.
    pub value: Option<Bytes>,
    /// How it is to be stored.
    pub store_options: StoreOptions,
    /// Names and values as in `c=read,t=acme,d=480`: what goes on unchanged, but for `d` to caches. No control
    /// characters.
    pub facts: Bytes,
}

impl Call {
    /// A call of no told class or tenant, whose client waits for `wait` at most: a plain write of the value, or a
    /// read if there is none.
    ///
    /// # Errors
    /// If the key is empty, a text holds what can't go on in a header, or something is too long.
    pub fn new(
        key: String,
        id: Bytes,
        facts: Bytes,
        value: Option<Bytes>,
        wait: Micros,
    ) -> Result<Call, CallError> {
        if value.as_ref().is_some_and(|value| value.len() > MAX_WRITE_VALUE_BYTES) {
            return Err(CallError::ValueTooLong);
        }
        let fits = key.len() + id.len() + facts.len() <= TEXTS;
        if key.is_empty() || !plain(&id) || !plain(&facts) || !fits {
            return Err(CallError::InvalidText);
        }
        let wait = wait.min(LONGEST);
        let verb = if value.is_some() { Verb::Set } else { Verb::Get };
        let (class, tenant, idempotency_key, store_options) = Default::default();
        Ok(Call { key, id, class, tenant, wait, idempotency_key, verb, value, store_options, facts })
    }

    /// How long the client will wait, from when the request's last byte was read, in microseconds; an hour at
    /// most, whatever it says.
    pub fn wait(&self) -> Micros {
        self.wait
    }

    /// Whether it changes something.
    pub fn is_write(&self) -> bool {
        self.verb != Verb::Get
    }
}

/// Whether a text is not empty and may stand in a header (RFC 9110, section 5.5).
fn plain(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(|&b| b == b'\t' || b >= b' ' && b != 127)
}

/// Why a call can't be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// An empty key, or a key, id or facts that can't go on.
    InvalidText,
    /// The value is over [`MAX_WRITE_VALUE_BYTES`].
    ValueTooLong,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            CallError::InvalidText => "wrong arguments",
            CallError::ValueTooLong => "value over 4 MiB",
        })
    }
}

impl std::error::Error for CallError {}

/// What a server made for a request that it has carried out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationResult {
    /// The value, or the write's receipt.
    Value {
        /// Its bytes.
        bytes: Bytes,
        /// What the client had kept beside it; 0 where the server keeps none.
        flags: u32,
    },
    /// There is no such key: nothing to read, replace or delete.
    Absent,
    /// There is such a key: nothing was added.
    Exists,
}

impl OperationResult {
    /// A value with no flags.
    pub fn value(bytes: impl Into<Bytes>) -> OperationResult {
        OperationResult::Value { bytes: bytes.into(), flags: 0 }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// As a server made it for this request.
    Served(OperationResult),
    /// A large value has begun to come, and comes on; one that ends too early is broken.
    Streaming(ValueStream),
    /// Refused: trying again is harmless. The client should stay away so long, if that is not 0.
    Busy(Micros),
    /// Failed, with no promise about its effect.
    Failed,
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(key: &str, id: &[u8], facts: &[u8], value: Option<usize>) -> Result<Call, CallError> {
        let text = Bytes::copy_from_slice;
        Call::new(key.into(), text(id), text(facts), value.map(|n| vec![0; n].into()), u64::MAX)
    }

    #[test]
    fn what_cannot_go_on_is_no_call() {
        let long = "x".repeat(TEXTS);
        for (key, id, facts) in
            [("", "i", "d=1"), ("k", "", "d=1"), ("k", "i\n", "d=1"), ("k", "i", "\x7f"), (&long, "i", "d=1")]
        {
            assert_eq!(call(key, id.as_bytes(), facts.as_bytes(), None).unwrap_err(), CallError::InvalidText);
        }
        assert_eq!(
            call("k", b"i", b"d=1", Some(MAX_WRITE_VALUE_BYTES + 1)).unwrap_err(),
            CallError::ValueTooLong
        );
        let good = call("k", b"i", b"d=1", Some(MAX_WRITE_VALUE_BYTES)).unwrap();
        assert!(good.is_write() && good.wait == LONGEST);
    }
}
