//! A client's request and its final answer, in a form that is independent of any protocol.

use std::fmt;

use bytes::Bytes;
use paddlefold::Micros;

use crate::value_stream::ValueStream;

/// The largest value that is read completely from a server before the client is answered; larger ones are streamed.
pub const MAX_BUFFERED_VALUE_BYTES: usize = 64 << 10;
/// The largest value that a client may write.
pub const MAX_WRITE_VALUE_BYTES: usize = 4 << 20;
/// The maximum total length of key, id and facts.
const MAX_TEXT_BYTES: usize = 2 << 10;
/// The upper bound that is applied to the time-out a client states: one hour.
const MAX_CLIENT_TIMEOUT_US: Micros = 3_600_000_000;

/// The operation that a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Verb {
    /// Read the value.
    Get,
    /// Store a value.
    Set,
    /// Store a value if the key has none.
    Add,
    /// Store a value if the key already has one.
    Replace,
    /// Remove the value.
    Delete,
}

/// Metadata that a client stores with a value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreOptions {
    /// Opaque to the node; returned with the value.
    pub flags: u32,
    /// Expiry time as in the memcached protocol: seconds from now up to 30 days, Unix time beyond that; 0 means never.
    pub expiry: u32,
}

/// A client's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// The key that the operation applies to. Not empty.
    pub key: String,
    /// The request's id. It is forwarded unchanged, also in headers, so it has no control characters.
    pub id: Bytes,
    /// The class, an index into the settings' classes.
    pub class: Option<usize>,
    /// The tenant, an index into the settings' tenants.
    pub tenant: Option<usize>,
    /// How long the client waits, counted from when the request's last byte was read. At most one hour.
    client_timeout: Micros,
    /// The key by which servers recognise repetitions of an idempotent write.
    pub idempotency_key: Option<Bytes>,
    /// The operation.
    pub verb: Verb,
    /// The value that a write stores.
    pub value: Option<Bytes>,
    /// The metadata that a write stores with the value.
    pub store_options: StoreOptions,
    /// Request attributes as names and values, such as `c=read,t=acme,d=480`. They are forwarded unchanged, except for
    /// `d` when sent to caches. No control characters.
    pub facts: Bytes,
}

impl Call {
    /// Creates a call without class or tenant, whose client waits for at most `client_timeout` microseconds: an
    /// unconditional write if there is a value, otherwise a read.
    ///
    /// # Errors
    /// If the key is empty, the id or the facts are not valid in a header, or something is too long.
    pub fn new(
        key: String,
        id: Bytes,
        facts: Bytes,
        value: Option<Bytes>,
        client_timeout: Micros,
    ) -> Result<Call, CallError> {
        if value.as_ref().is_some_and(|value| value.len() > MAX_WRITE_VALUE_BYTES) {
            return Err(CallError::ValueTooLong);
        }
        let fits = key.len() + id.len() + facts.len() <= MAX_TEXT_BYTES;
        if key.is_empty() || !is_header_value(&id) || !is_header_value(&facts) || !fits {
            return Err(CallError::InvalidText);
        }
        let client_timeout = client_timeout.min(MAX_CLIENT_TIMEOUT_US);
        let verb = if value.is_some() { Verb::Set } else { Verb::Get };
        let (class, tenant, idempotency_key, store_options) = Default::default();
        Ok(Call {
            key,
            id,
            class,
            tenant,
            client_timeout,
            idempotency_key,
            verb,
            value,
            store_options,
            facts,
        })
    }

    /// How long the client waits, counted from when the request's last byte was read, in microseconds. At most one
    /// hour, whatever the client states.
    pub fn client_timeout(&self) -> Micros {
        self.client_timeout
    }

    /// Whether the operation changes stored data.
    pub fn is_write(&self) -> bool {
        self.verb != Verb::Get
    }
}

/// Whether a text is not empty and is a valid header field value (RFC 9110, section 5.5).
fn is_header_value(text: &[u8]) -> bool {
    !text.is_empty() && text.iter().all(|&b| b == b'\t' || b >= b' ' && b != 127)
}

/// The reason why a call is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The key is empty, the id or facts cannot be forwarded in a header, or the texts are too long.
    InvalidText,
    /// The value is larger than [`MAX_WRITE_VALUE_BYTES`].
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

/// The result of an operation that a server has executed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationResult {
    /// The value that was read, or the acknowledgement of a write.
    Value {
        /// The bytes of the value or acknowledgement.
        bytes: Bytes,
        /// The flags that the client stored with the value; 0 if the server stores none.
        flags: u32,
    },
    /// The key does not exist: nothing to read, replace or delete.
    Absent,
    /// The key already exists: nothing was added.
    Exists,
}

impl OperationResult {
    /// A value without flags.
    pub fn value(bytes: impl Into<Bytes>) -> OperationResult {
        OperationResult::Value { bytes: bytes.into(), flags: 0 }
    }
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The result that a server returned for this request.
    Served(OperationResult),
    /// A large value whose first bytes have arrived; the rest follows. A stream that ends early is a failure.
    Streaming(ValueStream),
    /// Refused; retrying is safe. If not 0, the time after which the client should retry, in microseconds.
    Busy(Micros),
    /// Failed; the operation may or may not have taken effect.
    Failed,
}

impl Answer {
    /// The bytes of memory that the answer occupies until its client takes it. A stream counts them itself.
    pub fn buffered_bytes(&self) -> usize {
        match self {
            Answer::Served(OperationResult::Value { bytes, .. }) => bytes.len(),
            Answer::Served(_) | Answer::Streaming(_) | Answer::Busy(_) | Answer::Failed => 0,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn call(key: &str, id: &[u8], facts: &[u8], value: Option<usize>) -> Result<Call, CallError> {
        let text = Bytes::copy_from_slice;
        Call::new(key.into(), text(id), text(facts), value.map(|n| vec![0; n].into()), u64::MAX)
    }

    #[test]
    fn text_that_cannot_be_forwarded_and_values_that_are_too_long_are_rejected() {
        let long = "x".repeat(MAX_TEXT_BYTES);
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
        assert!(good.is_write() && good.client_timeout == MAX_CLIENT_TIMEOUT_US);
    }
}
