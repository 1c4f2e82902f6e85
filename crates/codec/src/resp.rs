//! RESP2: decodes frames with limits that the library does not enforce, and encodes answers.

use std::io::Write as _;

use bytes::{Buf, BufMut, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
pub use redis_protocol::resp2::types::BytesFrame as Frame;

/// Maximum number of elements of an array; more than any command or answer has.
const MAX_ARRAY_ELEMENTS: usize = 64;
/// Maximum length of an element's header or of a line, in bytes.
const MAX_LINE_BYTES: usize = 1024;

/// The input is not RESP2 or exceeds a limit.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// Splits the first frame off the buffer; none if it is not complete yet.
///
/// Nested arrays are rejected, since `redis_protocol` decodes them recursively and deep nesting would overflow the
/// stack.
///
/// # Errors
/// If the buffer cannot be the beginning of a frame, or the frame is longer than `max_bytes`.
pub fn next_frame(buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Frame>, Malformed> {
    match frame_length(buffer, max_bytes)? {
        None => Ok(None),
        Some(_) => Ok(decode_bytes_mut(buffer).map_err(|_| Malformed)?.map(|(frame, _, _)| frame)),
    }
}

/// Parses the header of an array of three whose first element is a bulk string longer than `min_length` bytes. Returns
/// the length of both headers and that of the string, in bytes; none if the buffer begins otherwise or the headers are
/// incomplete.
pub fn parse_long_bulk_header(buffer: &[u8], min_length: usize) -> Option<(usize, usize)> {
    let rest = buffer.strip_prefix(b"*3\r\n$")?;
    let end = rest.windows(2).take(MAX_LINE_BYTES).position(|pair| pair == b"\r\n")?;
    let length = std::str::from_utf8(&rest[..end]).ok()?.parse::<u32>().ok()? as usize;
    (length > min_length).then_some((buffer.len() - rest.len() + end + 2, length))
}

/// Appends the header of a bulk string of `length` bytes.
pub fn put_bulk_header(out: &mut BytesMut, length: usize) {
    put_header(out, b'$', length);
}

/// A command whose last word has not arrived whole.
#[derive(Debug, PartialEq, Eq)]
pub struct PartialCommand<'a> {
    /// The words before the last.
    pub words: Vec<&'a [u8]>,
    /// The length of the whole command in bytes.
    pub length: usize,
}

/// Parses the part of a command up to its last word, of which the header has arrived. None if that is not so.
pub fn parse_partial_command(buffer: &[u8]) -> Option<PartialCommand<'_>> {
    let mut rest = buffer;
    let (b'*', word_count @ 1..) = read_element(&mut rest, true).ok()?? else { return None };
    let mut words = Vec::new();
    loop {
        let (b'$', size) = read_element(&mut rest, false).ok()?? else { return None };
        if words.len() + 1 == word_count {
            return (rest.len() < size)
                .then(|| PartialCommand { words, length: buffer.len() - rest.len() + size });
        }
        words.push(rest.get(..size.checked_sub(2)?)?);
        rest = rest.get(size..)?;
    }
}

/// Minimum length of the first frame in bytes, as far as the bytes received so far determine it.
pub fn min_frame_length(buffer: &[u8], max_bytes: usize) -> usize {
    let mut min_length = 0;
    // A malformed frame is reported by `next_frame`.
    let _ = measure_frame(buffer, max_bytes, &mut min_length);
    min_length
}

/// The length of the first frame in bytes, if it is complete: one element, or a flat array of elements.
fn frame_length(buffer: &[u8], max_bytes: usize) -> Result<Option<usize>, Malformed> {
    measure_frame(buffer, max_bytes, &mut 0)
}

/// Scans the first frame. Returns its length if it is complete, and raises `min_length` to what its headers announce.
fn measure_frame(
    buffer: &[u8],
    max_bytes: usize,
    min_length: &mut usize,
) -> Result<Option<usize>, Malformed> {
    let mut rest = buffer;
    let (mut elements, mut array_allowed) = (1, true);
    while elements > 0 {
        let Some((kind, size)) = read_element(&mut rest, array_allowed)? else {
            return if buffer.len() > max_bytes { Err(Malformed) } else { Ok(None) };
        };
        elements = if kind == b'*' { size } else { elements - 1 };
        if kind == b'$' {
            if buffer.len() - rest.len() + size > max_bytes {
                return Err(Malformed);
            }
            *min_length = buffer.len() - rest.len() + size;
            if rest.len() < size {
                return Ok(None);
            }
            // `redis_protocol` does not check the line break at the end of a bulk string.
            if size > 0 && &rest[size - 2..size] != b"\r\n" {
                return Err(Malformed);
            }
            rest.advance(size);
        }
        array_allowed = false;
    }
    Ok(Some(buffer.len() - rest.len()))
}

/// Reads the header or line of one element. Returns its kind, and the number of bytes or elements that follow.
fn read_element(rest: &mut &[u8], array_allowed: bool) -> Result<Option<(u8, usize)>, Malformed> {
    let Some(&kind) = rest.first() else { return Ok(None) };
    if !matches!(kind, b'+' | b'-' | b':' | b'$' | b'*') || kind == b'*' && !array_allowed {
        return Err(Malformed);
    }
    let Some(end) = rest.windows(2).take(MAX_LINE_BYTES).position(|pair| pair == b"\r\n") else {
        return if rest.len() > MAX_LINE_BYTES { Err(Malformed) } else { Ok(None) };
    };
    let line = std::str::from_utf8(&rest[1..end]).map_err(|_| Malformed)?;
    let size = match kind {
        b'$' | b'*' if line == "-1" => 0,
        b'$' => line.parse::<u32>().map_err(|_| Malformed)? as usize + 2,
        b'*' => line.parse().ok().filter(|&n| n <= MAX_ARRAY_ELEMENTS).ok_or(Malformed)?,
        _ => 0,
    };
    rest.advance(end + 2);
    Ok(Some((kind, size)))
}

/// Appends a bulk string.
pub fn put_bulk(out: &mut BytesMut, text: &[u8]) {
    put_header(out, b'$', text.len());
    out.reserve(text.len() + 2);
    out.put_slice(text);
    out.put_slice(b"\r\n");
}

/// Appends the header of an array.
pub fn put_array(out: &mut BytesMut, elements: usize) {
    put_header(out, b'*', elements);
}

/// Appends an error. The text must not contain a line break.
pub fn put_error(out: &mut BytesMut, text: std::fmt::Arguments) {
    put_line(out, format_args!("-{text}"));
}

/// Appends a simple string. The text must not contain a line break.
pub fn put_simple(out: &mut BytesMut, text: &str) {
    put_line(out, format_args!("+{text}"));
}

fn put_header(out: &mut BytesMut, kind: u8, size: usize) {
    out.put_u8(kind);
    put_line(out, format_args!("{size}"));
}

fn put_line(out: &mut BytesMut, text: std::fmt::Arguments) {
    // Writing to a buffer in memory cannot fail.
    let _ = write!(out.writer(), "{text}\r\n");
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &[u8]) -> Result<Option<Frame>, Malformed> {
        next_frame(&mut BytesMut::from(text), 100)
    }

    #[test]
    fn a_frame_is_returned_once_it_is_complete() {
        let complete = b"*2\r\n$3\r\nGET\r\n$-1\r\n";
        for n in 0..complete.len() {
            assert_eq!(parse(&complete[..n]), Ok(None), "{n} bytes");
        }
        let mut buffer = BytesMut::from(&b"*2\r\n$3\r\nGET\r\n$-1\r\n+x"[..]);
        assert!(matches!(next_frame(&mut buffer, 100), Ok(Some(Frame::Array(parts))) if parts.len() == 2));
        assert_eq!(&buffer[..], b"+x");
    }

    #[test]
    fn invalid_frames_and_frames_beyond_the_limits_are_malformed() {
        let nested = b"*1\r\n".repeat(20);
        let cases: [&[u8]; 7] =
            [b"GET x\r\n", b"*2\r\n*1\r\n", b"$x\r\n", b"*-2\r\n", b"*65\r\n", b"$99\r\n", &nested];
        for case in cases {
            assert_eq!(parse(case), Err(Malformed), "{:?}", String::from_utf8_lossy(case));
        }
    }

    #[test]
    fn encoded_frames_are_decoded_unchanged() {
        let mut text = BytesMut::new();
        put_array(&mut text, 2);
        put_bulk(&mut text, b"a\r\n");
        put_bulk(&mut text, b"");
        put_error(&mut text, format_args!("ERR {}", 7));
        put_simple(&mut text, "PONG");
        let bulk = |text: &'static [u8]| Frame::BulkString(text.into());
        assert_eq!(next_frame(&mut text, 100), Ok(Some(Frame::Array(vec![bulk(b"a\r\n"), bulk(b"")]))));
        assert_eq!(next_frame(&mut text, 100), Ok(Some(Frame::Error("ERR 7".into()))));
        assert_eq!(next_frame(&mut text, 100), Ok(Some(Frame::SimpleString("PONG".into()))));
        assert!(text.is_empty());
    }

    #[test]
    fn the_minimum_length_follows_from_the_headers_received() {
        assert_eq!(min_frame_length(b"*2\r\n$3\r\nGET\r\n$70000\r\nab", 100_000), 13 + 8 + 70_002);
        assert_eq!(min_frame_length(b"*2\r\n$3\r\nGE", 100), 13);
        assert_eq!(min_frame_length(b"*2\r", 100), 0);
    }

    #[test]
    fn a_partial_command_is_parsed_once_the_header_of_its_last_word_has_arrived() {
        let command = b"*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$5\r\nvalue\r\n";
        let header_end = command.len() - b"value\r\n".len();
        for n in 0..header_end {
            assert_eq!(parse_partial_command(&command[..n]), None, "{n} bytes");
        }
        let expected = PartialCommand { words: vec![b"SET", b"k"], length: command.len() };
        for n in header_end..command.len() {
            assert_eq!(parse_partial_command(&command[..n]).as_ref(), Some(&expected), "{n} bytes");
        }
        assert_eq!(parse_partial_command(command), None, "it is whole");
        assert_eq!(parse_partial_command(b"*2\r\n$-1\r\n$5\r\nva"), None, "no word");
        assert_eq!(parse_partial_command(b"$5\r\nva"), None, "no command");
    }

    #[test]
    fn the_header_of_a_long_value_is_parsed_before_the_value_is_received() {
        let header = b"*3\r\n$70000\r\n";
        for n in 0..header.len() {
            assert_eq!(parse_long_bulk_header(&header[..n], 100), None);
        }
        assert_eq!(
            parse_long_bulk_header(&[&header[..], b"xyz"].concat(), 100),
            Some((header.len(), 70_000))
        );
        for other in [
            &b"*3\r\n$100\r\n"[..],
            b"*2\r\n$70000\r\n",
            b"$70000\r\n",
            b"*3\r\n$-1\r\n",
            b"*3\r\n$99999999999\r\n",
        ] {
            assert_eq!(parse_long_bulk_header(other, 100), None);
        }
    }

    #[test]
    fn a_bulk_string_without_its_final_line_break_is_malformed() {
        assert_eq!(parse(b"$1\r\naXY"), Err(Malformed));
    }
}
