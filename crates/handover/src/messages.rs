//! Messages between a process and its successor.
//!
//! A frame is the magic `LQ`, the format version (u8), the body kind (u8), the body length in bytes (u32), an XXH3
//! checksum of the body (u64) and the body as JSON; integers are big-endian. Unknown body kinds and JSON keys are
//! skipped, so that older and newer builds interoperate on the messages both know. A part with a wrong checksum or a
//! newer version, or one that can't be parsed, is declined without affecting the others.

use bytes::{Buf, BufMut, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the frame format. Frames of another version are rejected as another protocol.
const FORMAT_VERSION: u8 = 1;
const MAGIC: &[u8] = b"LQ";
/// Length of the frame header in bytes.
const HEADER_BYTES: usize = 16;
/// Maximum length of a body in bytes; a longer one is rejected as malformed.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// A message, serialized under its older wire name where that differs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From a successor: asks to take over.
    #[serde(rename = "Asks")]
    TakeoverRequest {
        /// Process id of the sender.
        pid: u32,
        /// Build of the sender, for the log.
        #[serde(default)]
        build: String,
    },
    /// To a successor that can't be accepted yet and must ask again later.
    Wait,
    /// To a successor that is accepted. State parts follow, then grants.
    #[serde(rename = "Taken")]
    Accepted {
        /// Process id of the sender.
        pid: u32,
        /// Build of the sender, for the log.
        #[serde(default)]
        build: String,
    },
    /// One part of the state handed over.
    #[serde(rename = "Part")]
    StatePart {
        /// Name of the part.
        name: String,
        /// Version of the part's format.
        version: u32,
        /// The part's content.
        body: Value,
    },
    /// No more state parts follow.
    #[serde(rename = "Whole")]
    StateComplete,
    /// From either process to the other: these requests may take effect from now on, and must not be repeated.
    WritesBegun {
        /// The hashes of their ids, in hexadecimal digits.
        ids: Vec<String>,
    },
    /// From either process to the other: these requests were refused, and have not taken effect.
    WritesRefused {
        /// The hashes of their ids, in hexadecimal digits.
        ids: Vec<String>,
    },
    /// Total share of the resources that the successor may use, in thousandths.
    Grant(u32),
}

/// Result of decoding a complete frame.
#[derive(Debug, Clone, PartialEq)]
pub enum Decoded {
    /// A message that this build understands.
    Message(Message),
    /// A complete frame that can't be used, with the reason; it is skipped.
    Declined(&'static str),
}

/// The bytes are not of this protocol or format version; nothing more can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// Appends the frame of a message to `out`.
pub fn encode(message: &Message, out: &mut BytesMut) {
    let body = serde_json::to_vec(message).unwrap_or_default(); // strings and numbers always serialize
    out.put_slice(MAGIC);
    out.put_u8(FORMAT_VERSION);
    out.put_u8(0); // the only body kind so far
    out.put_u32(body.len() as u32);
    out.put_u64(xxh3_64(&body));
    out.put_slice(&body);
}

/// Removes the first frame from the buffer and decodes it; `None` until the frame is complete.
///
/// # Errors
/// If the bytes are of another protocol or format version, or the body is longer than [`MAX_BODY_BYTES`].
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Decoded>, Malformed> {
    let known = [MAGIC[0], MAGIC[1], FORMAT_VERSION];
    if buffer.iter().zip(known).any(|(&byte, known)| byte != known) {
        return Err(Malformed);
    }
    let Some(mut header) = buffer.get(known.len()..HEADER_BYTES) else { return Ok(None) };
    let (kind, length, checksum) = (header.get_u8(), header.get_u32() as usize, header.get_u64());
    if length > MAX_BODY_BYTES {
        return Err(Malformed);
    }
    if buffer.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    buffer.advance(HEADER_BYTES);
    let body = buffer.split_to(length);
    if xxh3_64(&body) != checksum {
        return Ok(Some(Decoded::Declined("wrong checksum")));
    }
    if kind != 0 {
        return Ok(Some(Decoded::Declined("unknown body kind")));
    }
    let parsed = serde_json::from_slice(&body);
    Ok(Some(parsed.map_or(Decoded::Declined("unknown or malformed message"), Decoded::Message)))
}

/// Parses the body of a state part.
///
/// # Errors
/// If its version is newer than `known`, or it can't be parsed.
pub fn decode_part<T: DeserializeOwned>(version: u32, known: u32, body: Value) -> Result<T, String> {
    if version > known {
        return Err(format!("version {version} is newer than the supported version {known}"));
    }
    serde_json::from_value(body).map_err(|error| error.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all_messages() -> Vec<Message> {
        let build = || "0.2.0".to_owned();
        vec![
            Message::TakeoverRequest { pid: 7, build: build() },
            Message::Wait,
            Message::Accepted { pid: 8, build: build() },
            Message::StatePart {
                name: "list".into(),
                version: 1,
                body: serde_json::json!({ "a": [1, 2.5, null] }),
            },
            Message::StateComplete,
            Message::Grant(437),
            Message::WritesBegun { ids: vec!["0f".into(), "10".into()] },
            Message::WritesRefused { ids: vec!["0f".into()] },
        ]
    }

    #[test]
    fn messages_decode_as_encoded_when_received_byte_by_byte() {
        let mut bytes = BytesMut::new();
        all_messages().iter().for_each(|message| encode(message, &mut bytes));
        let (mut buffer, mut decoded_messages) = (BytesMut::new(), Vec::new());
        for byte in bytes {
            buffer.put_u8(byte);
            while let Some(decoded) = decode(&mut buffer).unwrap() {
                decoded_messages.push(decoded);
            }
        }
        assert_eq!(decoded_messages, all_messages().into_iter().map(Decoded::Message).collect::<Vec<_>>());
    }

    /// A flipped bit loses one message or ends the stream; it is never decoded as another message.
    #[test]
    fn a_flipped_bit_is_never_decoded_as_another_message() {
        let mut rng = fastrand::Rng::with_seed(1);
        for _ in 0..5_000 {
            let mut bytes = BytesMut::new();
            all_messages().iter().for_each(|message| encode(message, &mut bytes));
            let at = rng.usize(..bytes.len());
            bytes[at] ^= 1 << rng.u8(..8);
            while let Ok(Some(decoded)) = decode(&mut bytes) {
                match decoded {
                    Decoded::Message(message) => assert!(all_messages().contains(&message), "{message:?}"),
                    Decoded::Declined(_) => {}
                }
            }
        }
    }

    #[test]
    fn messages_of_a_newer_build_are_skipped_and_older_ones_decoded() {
        let mut bytes = BytesMut::new();
        let frame = |body: &[u8], out: &mut BytesMut| {
            out.put_slice(b"LQ\x01\x00");
            out.put_u32(body.len() as u32);
            out.put_u64(xxh3_64(body));
            out.put_slice(body);
        };
        frame(br#"{"Sings":{"song":"new"}}"#, &mut bytes);
        frame(br#"{"Asks":{"pid":3,"mood":"good"}}"#, &mut bytes);
        assert!(matches!(decode(&mut bytes), Ok(Some(Decoded::Declined(_)))));
        let request = Message::TakeoverRequest { pid: 3, build: String::new() };
        assert_eq!(decode(&mut bytes), Ok(Some(Decoded::Message(request))));
        assert_eq!(decode(&mut BytesMut::from(&b"LQ\x02"[..])), Err(Malformed));
        assert_eq!(decode(&mut BytesMut::from(&b"GET /"[..])), Err(Malformed));
        assert!(decode_part::<Vec<u32>>(2, 1, Value::Null).unwrap_err().contains("version 2"));
        assert!(decode_part::<Vec<u32>>(1, 1, Value::Null).is_err());
        assert_eq!(decode_part::<Vec<u32>>(1, 2, serde_json::json!([1])), Ok(vec![1]));
    }
}
