//! memcached's binary protocol, as a cache box and a client of the fleet speak it. From the specification.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use lilacquay_codec::memcache::{Opcode, Packet, Status};

use crate::cache::{Done, value};
use crate::record::Asked;

/// Answers that can't be read: noise, a key longer than its body, a body of 3 GB, another protocol's line.
pub(crate) const SPOILT: &[&[u8]] = &[
    b"\x00\xff\x13noise",
    b"\x81\x00\x00\xfa\x04\x00\x00\x00\x00\x00\x00\x04\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0",
    b"\x81\x00\x00\x00\x04\x00\x00\x00\xc0\x00\x00\x00\0\0\0\0\0\0\0\0\0\0\0\0",
    b"-ERR never\r\n",
];

/// What stands in a value for the request's id, which this protocol does not carry to a box.
pub(crate) const NO_ID: &str = "-";

/// The request that a packet is; the answer to one that is none of a cache box's.
///
/// The origin learns from a box which keys it has missed, not for which request: the protocol has no room for an id.
pub(crate) fn asked(packet: &Packet) -> Result<Asked, BytesMut> {
    match (Opcode::from_code(packet.opcode), std::str::from_utf8(&packet.key)) {
        (Some(Opcode::Get), Ok(key)) if packet.extras.is_empty() && packet.value.is_empty() => {
            Ok(Asked::new(key, &missed(key), "", false))
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

/// Under which id a miss of a key is noted.
pub(crate) fn missed(key: &str) -> String {
    format!("\0{key}")
}

/// Words how a request ended. Spoilt answers are not worded here.
pub(crate) fn answer(packet: &Packet, key: &str, done: &Done) -> BytesMut {
    let plain = Packet { opcode: packet.opcode, opaque: packet.opaque, ..Packet::default() };
    let error = |status: Status| Packet { status: status.0, ..plain.clone() };
    let answer = match done {
        Done::Busy => error(Status::BUSY),
        Done::Miss => error(Status::KEY_NOT_FOUND),
        Done::Value(version) => {
            Packet { extras: Bytes::from_static(&[0; 4]), value: value(NO_ID, key, *version).into(), ..plain }
        }
        Done::Failed | Done::Spoilt | Done::Halted => error(Status::INTERNAL_ERROR),
    };
    let mut out = BytesMut::new();
    answer.put_response(&mut out);
    out
}

pub(crate) fn spoil_opaque(answer: &mut BytesMut) {
    answer.get_mut(15).into_iter().for_each(|byte| *byte ^= 1);
}

/// One byte more is claimed than comes.
pub(crate) fn spoil_body(answer: &mut BytesMut) {
    if let Some(length) = answer.get_mut(8..12) {
        let longer = (&length[..]).get_u32() + 1;
        length.copy_from_slice(&longer.to_be_bytes());
    }
}

/// A client's command. Its class stands before the key; a keyed write is marked by its CAS field.
pub(crate) fn command(class: &str, key: &str, number: u32, write: bool, mark: u64) -> BytesMut {
    let mut out = BytesMut::new();
    let (opcode, extras, value): (_, &'static [u8], &'static [u8]) =
        if write { (Opcode::Set, &[0; 8], b"tuesday") } else { (Opcode::Get, &[], b"") };
    let (extras, value) = (Bytes::from_static(extras), Bytes::from_static(value));
    let key = Bytes::from(prefixed(class, key));
    Packet { cas: mark, extras, key, value, ..Packet::new(opcode, number) }.put_request(&mut out);
    out
}

pub(crate) fn prefixed(class: &str, key: &str) -> String {
    format!("{class}:{key}")
}

/// A node's options for a listener at an address, where the classes are those of these names and waits, and each key
/// has its class before it.
pub(crate) fn options<'a>(listen: &str, classes: impl IntoIterator<Item = (&'a str, Duration)>) -> String {
    let row = |(class, wait): (&str, Duration)| {
        let wait = wait.as_millis();
        format!(
            "[[row]]\nprefix = \"{class}:\"\nread = \"{class}\"\nwrite = \"{class}\"\nwait_ms = {wait}\nrepeats = \"cas\"\n"
        )
    };
    let rows: String = classes.into_iter().map(row).collect();
    format!(
        "[[listener]]\nname = \"fleet\"\naddress = \"{listen}\"\n{rows}[boxes]\nkinds = [\"memcached\"]\n"
    )
}
