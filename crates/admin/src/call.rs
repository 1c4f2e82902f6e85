//! The protocol of the admin address: one call line per connection and one answer. No I/O.

use std::fmt;

/// The longest call line, in bytes, including the end of the line.
pub const MAX_CALL_BYTES: usize = 128;

/// A request of an operator or of a monitoring tool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Asks whether this process accepts clients.
    Health,
    /// Asks for the metrics.
    Dump,
    /// Has the node leave service and keep running.
    Leave,
    /// Has the node be in service again.
    Join,
}

impl Call {
    /// The keyword that stands for the call on the wire.
    pub fn keyword(self) -> &'static str {
        match self {
            Call::Health => "HEALTH",
            Call::Dump => "DUMP",
            Call::Leave => "LEAVE",
            Call::Join => "JOIN",
        }
    }
}

/// Why the input is not a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The line is not a known call.
    Unknown,
    /// The first [`MAX_CALL_BYTES`] bytes contain no end of a line.
    TooLong,
    /// The input contains bytes that are not allowed in a call.
    InvalidByte,
    /// The caller closed, timed out or was disconnected before its line was complete.
    Incomplete,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallError::Unknown => f.write_str("unknown call; HEALTH, DUMP, LEAVE and JOIN are known"),
            CallError::TooLong => write!(f, "a call is one line of {MAX_CALL_BYTES} bytes at most"),
            CallError::InvalidByte => f.write_str("a call is a word in letters and the end of a line"),
            CallError::Incomplete => f.write_str("no whole line has come"),
        }
    }
}

/// Parses the call in the received bytes; `None` as long as the line is incomplete.
///
/// # Errors
/// If the bytes are not a call and cannot become one.
pub fn parse(received: &[u8]) -> Result<Option<Call>, CallError> {
    let end = received.iter().take(MAX_CALL_BYTES).position(|&byte| byte == b'\n');
    let line = &received[..end.unwrap_or(received.len().min(MAX_CALL_BYTES))];
    let allowed = |byte: &u8| byte.is_ascii_graphic() || matches!(byte, b' ' | b'\t' | b'\r');
    if !line.iter().all(allowed) {
        return Err(CallError::InvalidByte);
    }
    if end.is_none() {
        return if received.len() >= MAX_CALL_BYTES { Err(CallError::TooLong) } else { Ok(None) };
    }
    let word = line.trim_ascii();
    let calls = [Call::Health, Call::Dump, Call::Leave, Call::Join];
    let call = calls.into_iter().find(|call| word.eq_ignore_ascii_case(call.keyword().as_bytes()));
    call.map(Some).ok_or(CallError::Unknown)
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The node is healthy, or has carried out the call.
    Ack,
    /// A refusal, with the reason.
    Nak(String),
    /// Metrics, one per line, with the end of each line.
    Metrics(String),
}

impl Answer {
    /// The answer as it is sent.
    pub fn text(&self) -> String {
        match self {
            Answer::Ack => "ACK\n".into(),
            Answer::Nak(reason) => format!("NAK {}\n", reason.replace(['\r', '\n'], " ")),
            Answer::Metrics(lines) => format!("{lines}--\n"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_is_parsed_once_its_line_is_complete() {
        for call in [Call::Health, Call::Dump, Call::Leave, Call::Join] {
            let line = format!("{}\r\n", call.keyword());
            for n in 0..line.len() {
                assert_eq!(parse(&line.as_bytes()[..n]), Ok(None));
            }
            assert_eq!(parse(line.as_bytes()), Ok(Some(call)));
        }
        assert_eq!(parse(b" health \nrest"), Ok(Some(Call::Health)));
    }

    #[test]
    fn input_that_is_not_a_call_is_refused_with_the_reason() {
        let long = [b'x'; MAX_CALL_BYTES];
        let cases: [(&[u8], CallError); 6] = [
            (b"\n", CallError::Unknown),
            (b"HEALTH NOW\n", CallError::Unknown),
            (b"GET / HTTP/1.1\r\n", CallError::Unknown),
            (&long, CallError::TooLong),
            (b"HEA\0", CallError::InvalidByte),
            (b"\xff\xfe", CallError::InvalidByte),
        ];
        for (received, error) in cases {
            assert_eq!(parse(received), Err(error));
            assert!(Answer::Nak(error.to_string()).text().starts_with("NAK "));
        }
    }

    /// However the input is split, the first definite result, a call or an error, is also that of the whole input.
    #[test]
    fn the_result_does_not_depend_on_how_the_input_is_split() {
        let mut seed: u64 = 7;
        for _ in 0..20_000 {
            let mut random = || {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (seed >> 33) as usize
            };
            let letters = b"HEALTHDUMPLEAVEJOIN \r\n\n\x00\xff";
            let text: Vec<u8> = (0..random() % 200).map(|_| letters[random() % letters.len()]).collect();
            let first = (0..=text.len()).map(|n| parse(&text[..n])).find(|result| *result != Ok(None));
            assert!(first.is_none_or(|first| parse(&text) == first), "{text:?}");
        }
    }
}
