//! The messages between a process and its heir.
//!
//! A frame is `LQ`, the form's number, the kind, the body's length (u32), a checksum of the body (XXH3, u64), all
//! big-endian, and the body, JSON. Kinds and keys that a build doesn't know it passes over, so that an older and a
//! newer one understand each other as far as they share words. A part whose checksum is wrong, whose version is
//! newer, or which can't be read is declined alone.

use bytes::{Buf, BufMut, BytesMut};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use xxhash_rust::xxh3::xxh3_64;

/// The form's number. Another one is another protocol.
const FORM: u8 = 1;
const MAGIC: &[u8] = b"LQ";
const HEADER: usize = 16;
/// A longer body is not believed, in bytes.
pub const LONGEST: usize = 8 << 20;

/// What is said.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From an heir: who it is.
    #[serde(rename = "Asks")]
    TakeoverRequest {
        /// Its process.
        pid: u32,
        /// Its build, for the log.
        #[serde(default)]
        build: String,
    },
    /// To an heir that must wait, and ask again.
    Wait,
    /// To an heir that is taken: who takes it. Parts follow, then grants.
    #[serde(rename = "Taken")]
    Accepted {
        /// Its process.
        pid: u32,
        /// Its build, for the log.
        #[serde(default)]
        build: String,
    },
    /// A part of what is handed over.
    #[serde(rename = "Part")]
    StatePart {
        /// Which.
        name: String,
        /// Of which form.
        version: u32,
        /// What.
        body: Value,
    },
    /// No more parts follow.
    #[serde(rename = "Whole")]
    StateComplete,
    /// What the heir may use in all, in thousandths.
    Grant(u32),
}

/// What has come.
#[derive(Debug, Clone, PartialEq)]
pub enum Decoded {
    /// A message.
    Message(Message),
    /// A whole message that can't be used, and why: it is passed over.
    Declined(&'static str),
}

/// Not this form: nothing more can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// Appends a message.
pub fn encode(message: &Message, out: &mut BytesMut) {
    let body = serde_json::to_vec(message).unwrap_or_default(); // text and numbers alone
    out.put_slice(MAGIC);
    out.put_u8(FORM);
    out.put_u8(0); // one kind of body so far
    out.put_u32(body.len() as u32);
    out.put_u64(xxh3_64(&body));
    out.put_slice(&body);
}

/// Takes the first message out of the buffer, once it is whole.
///
/// # Errors
/// If what has come is another protocol's or another form's.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Decoded>, Malformed> {
    let known = [MAGIC[0], MAGIC[1], FORM];
    if buffer.iter().zip(known).any(|(&come, known)| come != known) {
        return Err(Malformed);
    }
    let Some(mut header) = buffer.get(known.len()..HEADER) else { return Ok(None) };
    let (kind, length, sum) = (header.get_u8(), header.get_u32() as usize, header.get_u64());
    if length > LONGEST {
        return Err(Malformed);
    }
    if buffer.len() < HEADER + length {
        return Ok(None);
    }
    buffer.advance(HEADER);
    let body = buffer.split_to(length);
    if xxh3_64(&body) != sum {
        return Ok(Some(Decoded::Declined("its checksum is wrong")));
    }
    if kind != 0 {
        return Ok(Some(Decoded::Declined("its kind is not known here")));
    }
    let read = serde_json::from_slice(&body);
    Ok(Some(read.map_or(Decoded::Declined("its words are not known here"), Decoded::Message)))
}

/// A part's body, if it is of a version that is known here.
pub fn decode_part<T: DeserializeOwned>(version: u32, known: u32, body: Value) -> Result<T, String> {
    if version > known {
        return Err(format!("of version {version}, and this build knows {known}"));
    }
    serde_json::from_value(body).map_err(|error| error.to_string())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn all() -> Vec<Message> {
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
        ]
    }

    #[test]
    fn what_is_put_reads_as_it_was_meant_in_whatever_pieces() {
        let mut text = BytesMut::new();
        all().iter().for_each(|message| encode(message, &mut text));
        let (mut buffer, mut read) = (BytesMut::new(), Vec::new());
        for byte in text {
            buffer.put_u8(byte);
            while let Some(come) = decode(&mut buffer).unwrap() {
                read.push(come);
            }
        }
        assert_eq!(read, all().into_iter().map(Decoded::Message).collect::<Vec<_>>());
    }

    /// A byte that is wrong costs one message at most, or ends all; it is never read as another message.
    #[test]
    fn a_wrong_byte_never_reads_as_another_message() {
        let mut rng = fastrand::Rng::with_seed(1);
        for _ in 0..5_000 {
            let mut text = BytesMut::new();
            all().iter().for_each(|message| encode(message, &mut text));
            let at = rng.usize(..text.len());
            text[at] ^= 1 << rng.u8(..8);
            while let Ok(Some(come)) = decode(&mut text) {
                match come {
                    Decoded::Message(message) => assert!(all().contains(&message), "{message:?}"),
                    Decoded::Declined(_) => {}
                }
            }
        }
    }

    #[test]
    fn words_of_a_newer_build_are_passed_over_and_older_ones_read() {
        let mut text = BytesMut::new();
        let frame = |body: &[u8], out: &mut BytesMut| {
            out.put_slice(b"LQ\x01\x00");
            out.put_u32(body.len() as u32);
            out.put_u64(xxh3_64(body));
            out.put_slice(body);
        };
        frame(br#"{"Sings":{"song":"new"}}"#, &mut text);
        frame(br#"{"Asks":{"pid":3,"mood":"good"}}"#, &mut text);
        assert!(matches!(decode(&mut text), Ok(Some(Decoded::Declined(_)))));
        let asks = Message::TakeoverRequest { pid: 3, build: String::new() };
        assert_eq!(decode(&mut text), Ok(Some(Decoded::Message(asks))));
        assert_eq!(decode(&mut BytesMut::from(&b"LQ\x02"[..])), Err(Malformed));
        assert_eq!(decode(&mut BytesMut::from(&b"GET /"[..])), Err(Malformed));
        assert!(decode_part::<Vec<u32>>(2, 1, Value::Null).unwrap_err().contains("version 2"));
        assert!(decode_part::<Vec<u32>>(1, 1, Value::Null).is_err());
        assert_eq!(decode_part::<Vec<u32>>(1, 2, serde_json::json!([1])), Ok(vec![1]));
    }
}
