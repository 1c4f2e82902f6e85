//! The keys and values of servers in etcd.
//!
//! A server's key is the prefix and its id; its value is JSON with the words of discovery's entries, but the id:
//! `{"addr":"10.0.0.7:6379","zone":"a","kind":"standard","state":"serving","weight":1.0,"started_ms":0}`.

use std::fmt;
use std::net::SocketAddr;

use lilacquay_core::{Entry, State};
use serde::{Deserialize, Serialize};

/// The longest id, in bytes.
pub const LONGEST_ID: usize = 250;
/// The longest value, in bytes. Real ones have some 150.
pub const LONGEST_VALUE: usize = 4096;
/// Names of zones and kinds are kept for ever by those who number them: longer ones are not believed.
const LONGEST_NAME: usize = 100;

/// Why a key or value can't be read as a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// A value.
#[derive(Serialize, Deserialize)]
struct Value {
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    state: Word,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    weight: Option<f64>,
    #[serde(default)]
    started_ms: f64,
}

/// Who is gone has no key.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Word {
    #[serde(alias = "SERVING")]
    Serving,
    #[serde(alias = "DRAINING")]
    Draining,
}

/// Reads an id: what follows the prefix in a key.
///
/// # Errors
/// What is wrong with it.
pub fn parse_id(bytes: &[u8]) -> Result<&str, Malformed> {
    let text = std::str::from_utf8(bytes).map_err(|_| Malformed("the id is no UTF-8".into()))?;
    let what = match text {
        "" => "the id is empty",
        _ if text.len() > LONGEST_ID => "the id is longer than 250 bytes",
        _ if text.chars().any(|c| c.is_control() || c.is_whitespace() || c == '/') => {
            "the id has a blank, a slash or a control character"
        }
        _ => return Ok(text),
    };
    Err(Malformed(what.into()))
}

/// Reads a value.
///
/// # Errors
/// What is wrong with it, by field.
pub fn parse_value(id: &str, bytes: &[u8]) -> Result<Entry, Malformed> {
    if bytes.len() > LONGEST_VALUE {
        return Err(Malformed(format!("the value has {} bytes; {LONGEST_VALUE} are the most", bytes.len())));
    }
    let value: Value = serde_json::from_slice(bytes).map_err(|error| Malformed(error.to_string()))?;
    let Value { addr, zone, kind, cell, state, weight, started_ms } = value;
    if addr.port() == 0 {
        return Err(Malformed("addr: a port of 0 can't be reached".into()));
    }
    if zone.len() > LONGEST_NAME || kind.len() > LONGEST_NAME {
        return Err(Malformed(format!("zone, kind: {LONGEST_NAME} bytes are the most")));
    }
    if weight.is_some_and(|weight| weight <= 0.0 || !weight.is_finite()) {
        return Err(Malformed("weight: must be over 0".into()));
    }
    if !(0.0..1e15).contains(&started_ms) {
        return Err(Malformed("started_ms: must be Unix time in milliseconds, or 0".into()));
    }
    let state = match state {
        Word::Serving => State::Serving,
        Word::Draining => State::Draining,
    };
    Ok(Entry { id: id.to_owned(), addr, zone, kind, cell, state, weight, started_ms })
}

/// Writes a value. A server that is gone has none; it is written as draining.
pub fn encode_value(entry: &Entry) -> Vec<u8> {
    let Entry { addr, cell, weight, started_ms, .. } = *entry;
    let (zone, kind) = (entry.zone.clone(), entry.kind.clone());
    let state = match entry.state {
        State::Serving => Word::Serving,
        State::Draining | State::Deleted => Word::Draining,
    };
    let value = Value { addr, zone, kind, cell, state, weight, started_ms };
    serde_json::to_vec(&value).expect("numbers and texts are JSON")
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"addr":"127.0.0.1:7001","zone":"a","kind":"m","cell":3,"state":"draining","weight":2.0,"started_ms":5.0}"#;

    #[test]
    fn a_value_read_and_written_is_the_same() {
        let read = parse_value("box-1", GOOD.as_bytes()).unwrap();
        assert_eq!((read.state, read.weight, read.cell), (State::Draining, Some(2.0), 3));
        assert_eq!(parse_value("box-1", &encode_value(&read)).unwrap(), read);
        let short = parse_value("b", br#"{"addr":"[::1]:1","state":"SERVING","unknown":{}}"#).unwrap();
        assert_eq!((short.state, short.weight, short.started_ms), (State::Serving, None, 0.0));
        assert_eq!(parse_value("b", &encode_value(&short)).unwrap(), short);
    }

    #[test]
    fn what_is_wrong_is_told_by_its_field() {
        let cases = [
            ("", "EOF"),
            ("{}", "missing field `addr`"),
            (r#"{"addr":"x","state":"serving"}"#, "socket address"),
            (r#"{"addr":"1.1.1.1:0","state":"serving"}"#, "addr: a port of 0"),
            (r#"{"addr":"1.1.1.1:1","state":"gone"}"#, "unknown variant `gone`"),
            (r#"{"addr":"1.1.1.1:1","state":"serving","weight":0}"#, "weight: must be over 0"),
            (r#"{"addr":"1.1.1.1:1","state":"serving","weight":-1}"#, "weight: must be over 0"),
            (r#"{"addr":"1.1.1.1:1","state":"serving","started_ms":-1}"#, "started_ms: must be"),
            (r#"{"addr":"1.1.1.1:1","state":"serving","started_ms":1e300}"#, "started_ms: must be"),
        ];
        for (text, told) in cases {
            let what = parse_value("b", text.as_bytes()).unwrap_err().to_string();
            assert!(what.contains(told), "{text}: {what}");
        }
        let long = format!(r#"{{"addr":"1.1.1.1:1","state":"serving","zone":"{}"}}"#, "z".repeat(101));
        assert!(parse_value("b", long.as_bytes()).unwrap_err().0.starts_with("zone, kind"));
        assert!(parse_value("b", &[b' '; LONGEST_VALUE + 1]).unwrap_err().0.contains("4097 bytes"));
        for bad in [&b""[..], b"a b", b"a/b", b"\xff", b"a\n", &[b'x'; 251]] {
            assert!(parse_id(bad).is_err(), "{bad:?}");
        }
        assert_eq!(parse_id(b"box-1"), Ok("box-1"));
    }

    #[test]
    fn no_bytes_panic() {
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..20_000 {
            let mut bytes = GOOD.as_bytes().to_vec();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(..bytes.len());
                match rng.u8(..3) {
                    0 => bytes[at] = rng.u8(..),
                    1 => bytes.truncate(at.max(1)),
                    _ => bytes.insert(at, rng.u8(..)),
                }
            }
            if let Ok(read) = parse_value("b", &bytes) {
                assert_eq!(parse_value("b", &encode_value(&read)).unwrap(), read);
            }
            let _ = parse_id(&bytes);
        }
    }
}
