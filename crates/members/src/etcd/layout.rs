//! Parsing and encoding of the keys and values of servers in etcd.
//!
//! A server's key is the prefix followed by its id. Its value is JSON with the fields of a discovery entry except the id:
//! `{"addr":"10.0.0.7:6379","zone":"a","kind":"standard","state":"serving","weight":1.0,"started_ms":0}`.

use std::fmt;
use std::net::SocketAddr;

use lilacquay_core::{ServerEntry, ServerState};
use serde::{Deserialize, Serialize};

/// Maximum length of an id in bytes.
pub const MAX_ID_BYTES: usize = 250;
/// Maximum length of a value in bytes. Typical values have about 150.
pub const MAX_VALUE_BYTES: usize = 4096;
/// Maximum length of the name of a zone or kind in bytes. Longer names are rejected, since the tables that number these
/// names never drop one.
const MAX_NAME_BYTES: usize = 100;

/// Why a key or value can't be parsed as a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Malformed {}

/// JSON form of a value.
#[derive(Serialize, Deserialize)]
struct Value {
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    state: ListedState,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    weight: Option<f64>,
    #[serde(default)]
    started_ms: f64,
}

/// State of a listed server. A removed server has no key.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum ListedState {
    #[serde(alias = "SERVING")]
    Serving,
    #[serde(alias = "DRAINING")]
    Draining,
}

/// Parses an id, which is the part of a key after the prefix.
///
/// # Errors
/// The first rule that it violates.
pub fn parse_id(bytes: &[u8]) -> Result<&str, Malformed> {
    let text = std::str::from_utf8(bytes).map_err(|_| Malformed("the id is not UTF-8".into()))?;
    let problem = match text {
        "" => "the id is empty",
        _ if text.len() > MAX_ID_BYTES => "the id is longer than 250 bytes",
        _ if text.chars().any(|c| c.is_control() || c.is_whitespace() || c == '/') => {
            "the id has a blank, a slash or a control character"
        }
        _ => return Ok(text),
    };
    Err(Malformed(problem.into()))
}

/// Parses a value.
///
/// # Errors
/// The first problem, with its field if it concerns one.
pub fn parse_value(id: &str, bytes: &[u8]) -> Result<ServerEntry, Malformed> {
    if bytes.len() > MAX_VALUE_BYTES {
        return Err(Malformed(format!(
            "the value has {} bytes; the maximum is {MAX_VALUE_BYTES}",
            bytes.len()
        )));
    }
    let value: Value = serde_json::from_slice(bytes).map_err(|error| Malformed(error.to_string()))?;
    let Value { addr, zone, kind, cell, state, weight, started_ms } = value;
    if addr.port() == 0 {
        return Err(Malformed("addr: a port of 0 can't be reached".into()));
    }
    if zone.len() > MAX_NAME_BYTES || kind.len() > MAX_NAME_BYTES {
        return Err(Malformed(format!("zone, kind: the maximum is {MAX_NAME_BYTES} bytes")));
    }
    if weight.is_some_and(|weight| weight <= 0.0 || !weight.is_finite()) {
        return Err(Malformed("weight: must be greater than 0".into()));
    }
    if !(0.0..1e15).contains(&started_ms) {
        return Err(Malformed("started_ms: must be Unix time in milliseconds, or 0".into()));
    }
    let state = match state {
        ListedState::Serving => ServerState::Serving,
        ListedState::Draining => ServerState::Draining,
    };
    Ok(ServerEntry { id: id.to_owned(), addr, zone, kind, cell, state, weight, started_ms })
}

/// Encodes a value. There is no value for a removed server; it is encoded as draining.
pub fn encode_value(entry: &ServerEntry) -> Vec<u8> {
    let ServerEntry { addr, cell, weight, started_ms, .. } = *entry;
    let (zone, kind) = (entry.zone.clone(), entry.kind.clone());
    let state = match entry.state {
        ServerState::Serving => ListedState::Serving,
        ServerState::Draining | ServerState::Deleted => ListedState::Draining,
    };
    let value = Value { addr, zone, kind, cell, state, weight, started_ms };
    serde_json::to_vec(&value).expect("numbers and strings always serialize")
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID_VALUE: &str = r#"{"addr":"127.0.0.1:7001","zone":"a","kind":"m","cell":3,"state":"draining","weight":2.0,"started_ms":5.0}"#;

    #[test]
    fn a_value_survives_parsing_and_encoding() {
        let parsed = parse_value("box-1", VALID_VALUE.as_bytes()).unwrap();
        assert_eq!((parsed.state, parsed.weight, parsed.cell), (ServerState::Draining, Some(2.0), 3));
        assert_eq!(parse_value("box-1", &encode_value(&parsed)).unwrap(), parsed);
        let minimal = parse_value("b", br#"{"addr":"[::1]:1","state":"SERVING","unknown":{}}"#).unwrap();
        assert_eq!((minimal.state, minimal.weight, minimal.started_ms), (ServerState::Serving, None, 0.0));
        assert_eq!(parse_value("b", &encode_value(&minimal)).unwrap(), minimal);
    }

    #[test]
    fn malformed_values_are_reported_by_field() {
        let cases = [
            ("", "EOF"),
            ("{}", "missing field `addr`"),
            (r#"{"addr":"x","state":"serving"}"#, "socket address"),
            (r#"{"addr":"1.1.1.1:0","state":"serving"}"#, "addr: a port of 0"),
            (r#"{"addr":"1.1.1.1:1","state":"gone"}"#, "unknown variant `gone`"),
            (r#"{"addr":"1.1.1.1:1","state":"serving","weight":0}"#, "weight: must be greater than 0"),
            (r#"{"addr":"1.1.1.1:1","state":"serving","weight":-1}"#, "weight: must be greater than 0"),
            (r#"{"addr":"1.1.1.1:1","state":"serving","started_ms":-1}"#, "started_ms: must be"),
            (r#"{"addr":"1.1.1.1:1","state":"serving","started_ms":1e300}"#, "started_ms: must be"),
        ];
        for (text, expected) in cases {
            let error = parse_value("b", text.as_bytes()).unwrap_err().to_string();
            assert!(error.contains(expected), "{text}: {error}");
        }
        let long = format!(r#"{{"addr":"1.1.1.1:1","state":"serving","zone":"{}"}}"#, "z".repeat(101));
        assert!(parse_value("b", long.as_bytes()).unwrap_err().0.starts_with("zone, kind"));
        assert!(parse_value("b", &[b' '; MAX_VALUE_BYTES + 1]).unwrap_err().0.contains("4097 bytes"));
        for bad in [&b""[..], b"a b", b"a/b", b"\xff", b"a\n", &[b'x'; 251]] {
            assert!(parse_id(bad).is_err(), "{bad:?}");
        }
        assert_eq!(parse_id(b"box-1"), Ok("box-1"));
    }

    #[test]
    fn malformed_bytes_cause_no_panic() {
        let mut rng = fastrand::Rng::with_seed(7);
        for _ in 0..20_000 {
            let mut bytes = VALID_VALUE.as_bytes().to_vec();
            for _ in 0..rng.usize(1..6) {
                let at = rng.usize(..bytes.len());
                match rng.u8(..3) {
                    0 => bytes[at] = rng.u8(..),
                    1 => bytes.truncate(at.max(1)),
                    _ => bytes.insert(at, rng.u8(..)),
                }
            }
            if let Ok(parsed) = parse_value("b", &bytes) {
                assert_eq!(parse_value("b", &encode_value(&parsed)).unwrap(), parsed);
            }
            let _ = parse_id(&bytes);
        }
    }
}
