//! RESP2: frames from a buffer, with bounds that the library doesn't set; and what we say.

use std::io::Write as _;

use bytes::{Buf, BufMut, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
pub use redis_protocol::resp2::types::BytesFrame as Frame;

/// More elements than any command or answer has.
const ELEMENTS: usize = 64;
/// A header or a line is no longer than this.
const LINE: usize = 1024;

/// Not RESP2, or beyond its bounds here.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// Takes the first frame out of the buffer, once it is whole.
///
/// # Errors
/// If what has come can't be the beginning of a frame.
///
/// Guards against: frames nested so deeply that the codec's recursion overflows the stack, and frames
/// of more than `limit` bytes.
pub fn next_frame(buffer: &mut BytesMut, limit: usize) -> Result<Option<Frame>, Malformed> {
    match frame_length(buffer, limit)? {
        None => Ok(None),
        Some(_) => Ok(decode_bytes_mut(buffer).map_err(|_| Malformed)?.map(|(frame, _, _)| frame)),
    }
}

/// The head of an array of three whose first element is a bulk string longer than `over` bytes: how many bytes the
/// head has, and how many the string. Nothing if the buffer begins otherwise, or its head is not whole.
pub fn parse_long_bulk_header(buffer: &[u8], over: usize) -> Option<(usize, usize)> {
    let rest = buffer.strip_prefix(b"*3\r\n$")?;
    let end = rest.windows(2).take(LINE).position(|pair| pair == b"\r\n")?;
    let length = std::str::from_utf8(&rest[..end]).ok()?.parse::<u32>().ok()? as usize;
    (length > over).then_some((buffer.len() - rest.len() + end + 2, length))
}

/// Appends the header of a bulk string of so many bytes.
pub fn put_bulk_header(out: &mut BytesMut, length: usize) {
    put_header(out, b'$', length);
}

/// How many bytes the first frame has at least, by what has come of it.
pub fn min_frame_length(buffer: &[u8], limit: usize) -> usize {
    let mut least = 0;
    // What can't be read is told when it is taken.
    let _ = measure(buffer, limit, &mut least);
    least
}

/// The length of the first frame, if it is whole: one element, or a flat array of them.
fn frame_length(buffer: &[u8], limit: usize) -> Result<Option<usize>, Malformed> {
    measure(buffer, limit, &mut 0)
}

fn measure(buffer: &[u8], limit: usize, least: &mut usize) -> Result<Option<usize>, Malformed> {
    let mut rest = buffer;
    let (mut elements, mut nested) = (1, true);
    while elements > 0 {
        let Some((kind, size)) = element(&mut rest, nested)? else {
            return if buffer.len() > limit { Err(Malformed) } else { Ok(None) };
        };
        elements = if kind == b'*' { size } else { elements - 1 };
        if kind == b'$' {
            if buffer.len() - rest.len() + size > limit {
                return Err(Malformed);
            }
            *least = buffer.len() - rest.len() + size;
            if rest.len() < size {
                return Ok(None);
            }
            // The codec doesn't look at how a bulk string ends.
            if size > 0 && &rest[size - 2..size] != b"\r\n" {
                return Err(Malformed);
            }
            rest.advance(size);
        }
        nested = false;
    }
    Ok(Some(buffer.len() - rest.len()))
}

/// Reads one element's header, or its line. Tells the kind, and the bytes or elements that follow.
fn element(rest: &mut &[u8], array_allowed: bool) -> Result<Option<(u8, usize)>, Malformed> {
    let Some(&kind) = rest.first() else { return Ok(None) };
    if !matches!(kind, b'+' | b'-' | b':' | b'$' | b'*') || kind == b'*' && !array_allowed {
        return Err(Malformed);
    }
    let Some(end) = rest.windows(2).take(LINE).position(|pair| pair == b"\r\n") else {
        return if rest.len() > LINE { Err(Malformed) } else { Ok(None) };
    };
    let line = std::str::from_utf8(&rest[1..end]).map_err(|_| Malformed)?;
    let size = match kind {
        b'$' | b'*' if line == "-1" => 0,
        b'$' => line.parse::<u32>().map_err(|_| Malformed)? as usize + 2,
        b'*' => line.parse().ok().filter(|&n| n <= ELEMENTS).ok_or(Malformed)?,
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

/// Appends the header of an array of so many elements.
pub fn put_array(out: &mut BytesMut, elements: usize) {
    put_header(out, b'*', elements);
}

/// Appends an error line. The text holds no line break.
pub fn put_error(out: &mut BytesMut, text: std::fmt::Arguments) {
    put_line(out, format_args!("-{text}"));
}

/// Appends a simple string. The text holds no line break.
pub fn put_simple(out: &mut BytesMut, text: &str) {
    put_line(out, format_args!("+{text}"));
}

fn put_header(out: &mut BytesMut, kind: u8, size: usize) {
    out.put_u8(kind);
    put_line(out, format_args!("{size}"));
}

fn put_line(out: &mut BytesMut, text: std::fmt::Arguments) {
    // A buffer in memory takes whatever it is given.
    let _ = write!(out.writer(), "{text}\r\n");
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &[u8]) -> Result<Option<Frame>, Malformed> {
        next_frame(&mut BytesMut::from(text), 100)
    }

    #[test]
    fn a_frame_is_taken_once_it_is_whole() {
        let whole = b"*2\r\n$3\r\nGET\r\n$-1\r\n";
        for n in 0..whole.len() {
            assert_eq!(parse(&whole[..n]), Ok(None), "{n} bytes");
        }
        let mut buffer = BytesMut::from(&b"*2\r\n$3\r\nGET\r\n$-1\r\n+x"[..]);
        assert!(matches!(next_frame(&mut buffer, 100), Ok(Some(Frame::Array(parts))) if parts.len() == 2));
        assert_eq!(&buffer[..], b"+x");
    }

    #[test]
    fn what_is_no_frame_or_beyond_bounds_is_malformed() {
        let nested = b"*1\r\n".repeat(20);
        let cases: [&[u8]; 7] =
            [b"GET x\r\n", b"*2\r\n*1\r\n", b"$x\r\n", b"*-2\r\n", b"*65\r\n", b"$99\r\n", &nested];
        for case in cases {
            assert_eq!(parse(case), Err(Malformed), "{:?}", String::from_utf8_lossy(case));
        }
    }

    #[test]
    fn what_is_put_reads_as_it_was_meant() {
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
    fn what_a_frame_needs_is_known_from_its_headers() {
        assert_eq!(min_frame_length(b"*2\r\n$3\r\nGET\r\n$70000\r\nab", 100_000), 13 + 8 + 70_002);
        assert_eq!(min_frame_length(b"*2\r\n$3\r\nGE", 100), 13);
        assert_eq!(min_frame_length(b"*2\r", 100), 0);
    }

    #[test]
    fn the_head_of_a_long_value_is_known_before_the_value_has_come() {
        let head = b"*3\r\n$70000\r\n";
        for n in 0..head.len() {
            assert_eq!(parse_long_bulk_header(&head[..n], 100), None);
        }
        assert_eq!(parse_long_bulk_header(&[&head[..], b"xyz"].concat(), 100), Some((head.len(), 70_000)));
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
    fn a_bulk_string_ends_with_a_line_break() {
        assert_eq!(parse(b"$1\r\naXY"), Err(Malformed));
    }
}
