//! RESP2 frames from a buffer, with bounds that the codec itself doesn't set.

use bytes::{Buf, BytesMut};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::types::BytesFrame;

/// More elements than any command or answer has.
const ELEMENTS: usize = 64;
/// A header or a line is no longer than this.
const LINE: usize = 1024;

/// Not RESP2, or beyond its bounds here.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// Takes the first frame out of the buffer, once it is whole.
///
/// Guards against: frames nested so deeply that the codec's recursion overflows the stack, and frames
/// of more than `limit` bytes.
pub fn next_frame(buffer: &mut BytesMut, limit: usize) -> Result<Option<BytesFrame>, Malformed> {
    match frame_length(buffer, limit)? {
        None => Ok(None),
        Some(_) => Ok(decode_bytes_mut(buffer).map_err(|_| Malformed)?.map(|(frame, _, _)| frame)),
    }
}

/// The length of the first frame, if it is whole: one element, or a flat array of them.
fn frame_length(buffer: &[u8], limit: usize) -> Result<Option<usize>, Malformed> {
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

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &[u8]) -> Result<Option<BytesFrame>, Malformed> {
        next_frame(&mut BytesMut::from(text), 100)
    }

    #[test]
    fn a_frame_is_taken_once_it_is_whole() {
        let whole = b"*2\r\n$3\r\nGET\r\n$-1\r\n";
        for n in 0..whole.len() {
            assert_eq!(parse(&whole[..n]), Ok(None), "{n} bytes");
        }
        let mut buffer = BytesMut::from(&b"*2\r\n$3\r\nGET\r\n$-1\r\n+x"[..]);
        assert!(
            matches!(next_frame(&mut buffer, 100), Ok(Some(BytesFrame::Array(parts))) if parts.len() == 2)
        );
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
    fn a_bulk_string_ends_with_a_line_break() {
        assert_eq!(parse(b"$1\r\naXY"), Err(Malformed));
    }
}
