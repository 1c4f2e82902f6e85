//! memcached's binary protocol, written from its specification, as the cache boxes and clients of the fleet use it:
//! parsing of requests, encoding of answers and commands, and the node options for such a listener.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use lilacquay_codec::memcache::{Opcode, Packet, Status};

use crate::cache::{RequestResult, response_value};
use crate::record::ReceivedRequest;

/// Malformed answers: noise, a key longer than its body, a body of 3 GB, a line of another protocol.
pub(crate) const MALFORMED_ANSWERS: &[&[u8]] = &[
    b"\x00\xff\x13noise",
    b"\x81\x00\x00\xfa\x04\x00\x00\x00\x00\x00\x00\x04\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0",
    b"\x81\x00\x00\x00\x04\x00\x00\x00\xc0\x00\x00\x00\0\0\0\0\0\0\0\0\0\0\0\0",
    b"-ERR never\r\n",
];

/// Placeholder in a value for the request's id, which this protocol does not carry to a box.
pub(crate) const NO_ID: &str = "-";

/// Parses a request. An unsupported one gives the error answer to send.
///
/// Boxes report to the origin which keys they have missed, not for which request, since the protocol has no field for
/// an id.
pub(crate) fn parse_request(packet: &Packet) -> Result<ReceivedRequest, BytesMut> {
    match (Opcode::from_code(packet.opcode), std::str::from_utf8(&packet.key)) {
        (Some(Opcode::Get), Ok(key)) if packet.extras.is_empty() && packet.value.is_empty() => {
            Ok(ReceivedRequest::new(key, &miss_id(key), "", false))
        }
        _ => {
            let mut out = BytesMut::new();
            let status = Status::UNKNOWN_COMMAND.0;
            Packet { opcode: packet.opcode, opaque: packet.opaque, status, ..Packet::default() }
                .put_response(&mut out);
            Err(out)
        }
    }
}

/// The id under which a miss of a key is recorded, in place of a request's.
pub(crate) fn miss_id(key: &str) -> String {
    format!("\0{key}")
}

/// Encodes the answer to a request. Malformed and truncated answers are not encoded here.
pub(crate) fn encode_answer(packet: &Packet, key: &str, result: &RequestResult) -> BytesMut {
    let empty = Packet { opcode: packet.opcode, opaque: packet.opaque, ..Packet::default() };
    let error = |status: Status| Packet { status: status.0, ..empty.clone() };
    let answer = match result {
        RequestResult::Busy => error(Status::BUSY),
        RequestResult::Miss => error(Status::KEY_NOT_FOUND),
        RequestResult::Value(version) => Packet {
            extras: Bytes::from_static(&[0; 4]),
            value: response_value(NO_ID, key, *version).into(),
            ..empty
        },
        RequestResult::Failed | RequestResult::Malformed | RequestResult::Truncated => {
            error(Status::INTERNAL_ERROR)
        }
    };
    let mut out = BytesMut::new();
    answer.put_response(&mut out);
    out
}

/// Changes the opaque in an answer's header.
pub(crate) fn corrupt_opaque(answer: &mut BytesMut) {
    answer.get_mut(15).into_iter().for_each(|byte| *byte ^= 1);
}

/// Raises the body length in an answer's header to one byte more than is sent.
pub(crate) fn corrupt_body_length(answer: &mut BytesMut) {
    if let Some(length) = answer.get_mut(8..12) {
        let longer = (&length[..]).get_u32() + 1;
        length.copy_from_slice(&longer.to_be_bytes());
    }
}

/// Encodes a client's command. The class is a prefix of the key; a keyed write carries its idempotency key in the CAS
/// field, which is 0 otherwise.
pub(crate) fn encode_command(class: &str, key: &str, opaque: u32, is_write: bool, cas: u64) -> BytesMut {
    let mut out = BytesMut::new();
    let (opcode, extras, value): (_, &'static [u8], &'static [u8]) =
        if is_write { (Opcode::Set, &[0; 8], b"tuesday") } else { (Opcode::Get, &[], b"") };
    let (extras, value) = (Bytes::from_static(extras), Bytes::from_static(value));
    let key = Bytes::from(key_with_class(class, key));
    Packet { cas, extras, key, value, ..Packet::new(opcode, opaque) }.put_request(&mut out);
    out
}

/// The key as it is sent: prefixed with the class.
pub(crate) fn key_with_class(class: &str, key: &str) -> String {
    format!("{class}:{key}")
}

/// The node's options for a memcached listener at an address, with a row per class (name and timeout) that matches keys
/// by the class's prefix.
pub(crate) fn options<'a>(listen: &str, classes: impl IntoIterator<Item = (&'a str, Duration)>) -> String {
    let row = |(class, timeout): (&str, Duration)| {
        let timeout_ms = timeout.as_millis();
        format!(
            "[[row]]\nprefix = \"{class}:\"\nread = \"{class}\"\nwrite = \"{class}\"\nwait_ms = {timeout_ms}\nrepeats = \"cas\"\n"
        )
    };
    let rows: String = classes.into_iter().map(row).collect();
    format!(
        "[[listener]]\nname = \"fleet\"\naddress = \"{listen}\"\n{rows}[boxes]\nkinds = [\"memcached\"]\n"
    )
}
