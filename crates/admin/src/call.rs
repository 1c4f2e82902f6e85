//! What is said on the second address: one line a connection. No I/O.

use std::fmt;

/// A call is no longer than this, in bytes.
pub const LONGEST: usize = 128;

/// What is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Health,
    /// The figures.
    Dump,
    /// Leave service; nothing ends.
    Leave,
    /// Be in service again.
    Join,
}

impl Call {
    /// The word for it.
    pub fn keyword(self) -> &'static str {
        match self {
            Call::Health => "HEALTH",
            Call::Dump => "DUMP",
            Call::Leave => "LEAVE",
            Call::Join => "JOIN",
        }
    }
}

/// Why there is no call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoCall {
    /// A line that is none of the calls.
    Unknown,
    /// No end of a line within [`LONGEST`] bytes.
    TooLong,
    /// Bytes that no call has.
    Binary,
    /// The caller closed, or its time was over, before a line had come.
    Half,
}

impl fmt::Display for NoCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NoCall::Unknown => f.write_str("unknown call; HEALTH, DUMP, LEAVE and JOIN are known"),
            NoCall::TooLong => write!(f, "a call is one line of {LONGEST} bytes at most"),
            NoCall::Binary => f.write_str("a call is a word in letters and the end of a line"),
            NoCall::Half => f.write_str("no whole line has come"),
        }
    }
}

/// The call in what has come, once a line is whole.
///
/// # Errors
/// If it is none, or can't become one.
pub fn parse(come: &[u8]) -> Result<Option<Call>, NoCall> {
    let end = come.iter().take(LONGEST).position(|&byte| byte == b'\n');
    let line = &come[..end.unwrap_or(come.len().min(LONGEST))];
    let printed = |byte: &u8| byte.is_ascii_graphic() || matches!(byte, b' ' | b'\t' | b'\r');
    if !line.iter().all(printed) {
        return Err(NoCall::Binary);
    }
    if end.is_none() {
        return if come.len() >= LONGEST { Err(NoCall::TooLong) } else { Ok(None) };
    }
    let word = line.trim_ascii();
    let known = [Call::Health, Call::Dump, Call::Leave, Call::Join];
    let call = known.into_iter().find(|call| word.eq_ignore_ascii_case(call.keyword().as_bytes()));
    call.map(Some).ok_or(NoCall::Unknown)
}

/// What a call comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// Yes, or done.
    Ack,
    /// No, with the reason in one line.
    Nak(String),
    /// Figures, a line each.
    Metrics(String),
}

impl Answer {
    /// As it is written.
    pub fn text(&self) -> String {
        match self {
            Answer::Ack => "ACK\n".into(),
            Answer::Nak(why) => format!("NAK {}\n", why.replace(['\r', '\n'], " ")),
            Answer::Metrics(lines) => format!("{lines}--\n"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_is_known_once_its_line_is_whole() {
        for call in [Call::Health, Call::Dump, Call::Leave, Call::Join] {
            let whole = format!("{}\r\n", call.keyword());
            for n in 0..whole.len() {
                assert_eq!(parse(&whole.as_bytes()[..n]), Ok(None));
            }
            assert_eq!(parse(whole.as_bytes()), Ok(Some(call)));
        }
        assert_eq!(parse(b" health \nrest"), Ok(Some(Call::Health)));
    }

    #[test]
    fn what_is_none_is_told_with_its_reason() {
        let long = [b'x'; LONGEST];
        let cases: [(&[u8], NoCall); 6] = [
            (b"\n", NoCall::Unknown),
            (b"HEALTH NOW\n", NoCall::Unknown),
            (b"GET / HTTP/1.1\r\n", NoCall::Unknown),
            (&long, NoCall::TooLong),
            (b"HEA\0", NoCall::Binary),
            (b"\xff\xfe", NoCall::Binary),
        ];
        for (come, why) in cases {
            assert_eq!(parse(come), Err(why));
            assert!(Answer::Nak(why.to_string()).text().starts_with("NAK "));
        }
    }

    /// Whatever comes in whatever pieces is no call, one call or waits; a longer piece never takes a word back.
    #[test]
    fn pieces_change_nothing() {
        let mut seed: u64 = 7;
        for _ in 0..20_000 {
            let mut random = || {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
                (seed >> 33) as usize
            };
            let letters = b"HEALTHDUMPLEAVEJOIN \r\n\n\x00\xff";
            let text: Vec<u8> = (0..random() % 200).map(|_| letters[random() % letters.len()]).collect();
            let first = (0..=text.len()).map(|n| parse(&text[..n])).find(|read| *read != Ok(None));
            assert!(first.is_none_or(|first| parse(&text) == first), "{text:?}");
        }
    }
}
