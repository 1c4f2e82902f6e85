//! memcached's binary protocol: packets of a 24-byte header, extras, a key and a value.
//!
//! Source: the protocol's published description (`BinaryProtocolRevamped` in memcached's documentation, and its SASL
//! page for opcodes 0x20 to 0x22). All numbers are big-endian. Nothing is allocated on the strength of a length in a
//! header: a packet is split off the buffer once it is complete, and a length beyond the limit is an error as soon as
//! the header has been received.

use std::fmt;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Length of the header, in bytes.
pub const HEADER_BYTES: usize = 24;
/// Maximum length of a key, in bytes (section "Packet structure"; memcached's own limit).
pub const MAX_KEY_BYTES: usize = 250;
/// The first byte of a request.
const REQUEST_MAGIC: u8 = 0x80;
/// The first byte of a response.
const RESPONSE_MAGIC: u8 = 0x81;

macro_rules! opcodes {
    ($($(#[$doc:meta])* $name:ident = $code:literal,)*) => {
        /// The operation that a packet requests or answers (section "Command opcodes").
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[repr(u8)]
        #[allow(missing_docs)] // the names of the specification
        pub enum Opcode { $($(#[$doc])* $name = $code,)* }

        impl Opcode {
            /// All opcodes, in ascending order of their codes.
            pub const ALL: &[Opcode] = &[$(Opcode::$name,)*];
        }
    };
}

opcodes! {
    Get = 0x00, Set = 0x01, Add = 0x02, Replace = 0x03, Delete = 0x04, Increment = 0x05, Decrement = 0x06,
    Quit = 0x07, Flush = 0x08, GetQ = 0x09, NoOp = 0x0a, Version = 0x0b, GetK = 0x0c, GetKQ = 0x0d,
    Append = 0x0e, Prepend = 0x0f, Stat = 0x10, SetQ = 0x11, AddQ = 0x12, ReplaceQ = 0x13, DeleteQ = 0x14,
    IncrementQ = 0x15, DecrementQ = 0x16, QuitQ = 0x17, FlushQ = 0x18, AppendQ = 0x19, PrependQ = 0x1a,
    Verbosity = 0x1b, Touch = 0x1c, Gat = 0x1d, GatQ = 0x1e, SaslList = 0x20, SaslAuth = 0x21, SaslStep = 0x22,
    GatK = 0x23, GatKQ = 0x24, RGet = 0x30, RSet = 0x31, RSetQ = 0x32, RAppend = 0x33, RAppendQ = 0x34,
    RPrepend = 0x35, RPrependQ = 0x36, RDelete = 0x37, RDeleteQ = 0x38, RIncr = 0x39, RIncrQ = 0x3a,
    RDecr = 0x3b, RDecrQ = 0x3c, SetVBucket = 0x3d, GetVBucket = 0x3e, DelVBucket = 0x3f, TapConnect = 0x40,
    TapMutation = 0x41, TapDelete = 0x42, TapFlush = 0x43, TapOpaque = 0x44, TapVBucketSet = 0x45,
    TapCheckpointStart = 0x46, TapCheckpointEnd = 0x47,
}

impl Opcode {
    /// The opcode with this code; none if the specification does not define it.
    pub fn from_code(code: u8) -> Option<Opcode> {
        Self::ALL.iter().copied().find(|opcode| *opcode as u8 == code)
    }
}

/// The result of a request (section "Response status").
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Status(pub u16);

#[allow(missing_docs)] // the names of the specification
impl Status {
    pub const OK: Status = Status(0x00);
    pub const KEY_NOT_FOUND: Status = Status(0x01);
    pub const KEY_EXISTS: Status = Status(0x02);
    pub const VALUE_TOO_LARGE: Status = Status(0x03);
    pub const INVALID_ARGUMENTS: Status = Status(0x04);
    pub const ITEM_NOT_STORED: Status = Status(0x05);
    pub const NON_NUMERIC: Status = Status(0x06);
    pub const WRONG_VBUCKET: Status = Status(0x07);
    /// memcached's answer if authentication has failed or is missing.
    pub const AUTHENTICATION: Status = Status(0x20);
    pub const AUTHENTICATION_CONTINUES: Status = Status(0x21);
    pub const UNKNOWN_COMMAND: Status = Status(0x81);
    pub const OUT_OF_MEMORY: Status = Status(0x82);
    pub const NOT_SUPPORTED: Status = Status(0x83);
    pub const INTERNAL_ERROR: Status = Status(0x84);
    pub const BUSY: Status = Status(0x85);
    pub const TEMPORARY_FAILURE: Status = Status(0x86);
}

/// A request or response packet. Unused fields are 0 or empty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Packet {
    /// The opcode, which may be one that the specification does not define.
    pub opcode: u8,
    /// The status of a response, or the virtual bucket of a request.
    pub status: u16,
    /// Copied unchanged from the request to the response.
    pub opaque: u32,
    /// The version of the value, for compare-and-swap.
    pub cas: u64,
    /// Parameters that depend on the opcode.
    pub extras: Bytes,
    /// The key, empty if the opcode has none.
    pub key: Bytes,
    /// The value, empty if the opcode has none.
    pub value: Bytes,
}

impl Packet {
    /// A packet with an opcode and an opaque only.
    pub fn new(opcode: Opcode, opaque: u32) -> Packet {
        Packet { opcode: opcode as u8, opaque, ..Packet::default() }
    }

    /// Appends the packet to `out` as a request.
    pub fn put_request(&self, out: &mut BytesMut) {
        self.put(REQUEST_MAGIC, out);
    }

    /// Appends the packet to `out` as a response.
    pub fn put_response(&self, out: &mut BytesMut) {
        self.put(RESPONSE_MAGIC, out);
    }

    /// Appends a response without its value. The caller then sends a value of `value_length` bytes in place of that of
    /// this packet.
    pub fn put_response_header(&self, value_length: usize, out: &mut BytesMut) {
        self.put_header(RESPONSE_MAGIC, value_length, out);
    }

    fn put(&self, magic: u8, out: &mut BytesMut) {
        out.reserve(HEADER_BYTES + self.extras.len() + self.key.len() + self.value.len());
        self.put_header(magic, self.value.len(), out);
        out.put_slice(&self.value);
    }

    fn put_header(&self, magic: u8, value_length: usize, out: &mut BytesMut) {
        let body_length = self.extras.len() + self.key.len() + value_length;
        out.put_u8(magic);
        out.put_u8(self.opcode);
        out.put_u16(self.key.len() as u16);
        out.put_u8(self.extras.len() as u8);
        out.put_u8(0); // raw bytes, the only data type
        out.put_u16(self.status);
        out.put_u32(body_length as u32);
        out.put_u32(self.opaque);
        out.put_u64(self.cas);
        [&self.extras, &self.key].into_iter().for_each(|part| out.put_slice(part));
    }
}

/// Why received bytes cannot be the beginning of a packet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Malformed {
    /// The first byte is not the magic of the expected direction.
    Magic(u8),
    /// The data type is not raw bytes.
    DataType(u8),
    /// Extras and key together are longer than the body that contains them.
    Lengths,
    /// The length of the body, in bytes, exceeds the limit.
    TooLong(u32),
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Malformed::Magic(byte) => write!(f, "not memcached's binary protocol: first byte {byte:#04x}"),
            Malformed::DataType(byte) => write!(f, "unknown data type {byte:#04x}"),
            Malformed::Lengths => f.write_str("extras and key are longer than the body"),
            Malformed::TooLong(bytes) => write!(f, "body of {bytes} bytes is too long"),
        }
    }
}

impl std::error::Error for Malformed {}

/// Splits the first request off the buffer; none if it is not complete yet.
///
/// # Errors
/// If the buffer cannot be the beginning of a request, or its body is longer than `max_body_bytes`.
pub fn next_request(buffer: &mut BytesMut, max_body_bytes: usize) -> Result<Option<Packet>, Malformed> {
    next_packet(REQUEST_MAGIC, buffer, max_body_bytes)
}

/// Splits the first response off the buffer; none if it is not complete yet.
///
/// # Errors
/// If the buffer cannot be the beginning of a response, or its body is longer than `max_body_bytes`.
pub fn next_response(buffer: &mut BytesMut, max_body_bytes: usize) -> Result<Option<Packet>, Malformed> {
    next_packet(RESPONSE_MAGIC, buffer, max_body_bytes)
}

/// Length of the first packet in bytes, by its header; 0 as long as the length field has not been received.
pub fn packet_length(buffer: &[u8]) -> usize {
    let body = buffer.get(8..12).and_then(|bytes| <[u8; 4]>::try_from(bytes).ok());
    body.map_or(0, |body| HEADER_BYTES.saturating_add(u32::from_be_bytes(body) as usize))
}

/// A request whose value may not have arrived whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartialRequest<'a> {
    /// The code of the operation.
    pub opcode: u8,
    /// To be copied to the response.
    pub opaque: u32,
    /// The key.
    pub key: &'a [u8],
    /// The length of the whole packet in bytes.
    pub length: usize,
}

/// Parses the part of a request before its value. None if that has not arrived.
pub fn parse_partial_request(buffer: &[u8]) -> Option<PartialRequest<'_>> {
    let mut header = buffer.get(..HEADER_BYTES)?;
    header.advance(1);
    let opcode = header.get_u8();
    let (key_length, extras_length) = (header.get_u16() as usize, header.get_u8() as usize);
    header.advance(7);
    let opaque = header.get_u32();
    let key_start = HEADER_BYTES + extras_length;
    let key = buffer.get(key_start..key_start + key_length)?;
    Some(PartialRequest { opcode, opaque, key, length: packet_length(buffer) })
}

/// The header of a response, which can be read before the body has been received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHeader {
    /// The opcode.
    pub opcode: u8,
    /// The result of the request.
    pub status: Status,
    /// Copied from the request.
    pub opaque: u32,
    /// Length of the extras, in bytes.
    pub extras_length: usize,
    /// Length of the key, in bytes.
    pub key_length: usize,
    /// Length of the value, in bytes.
    pub value_length: usize,
}

/// Parses the header of a response; none if it is incomplete or invalid.
pub fn parse_response_header(buffer: &[u8]) -> Option<ResponseHeader> {
    let mut header = buffer.get(..HEADER_BYTES)?;
    let (magic, opcode) = (header.get_u8(), header.get_u8());
    let (key, extras, data_type) = (header.get_u16() as usize, header.get_u8() as usize, header.get_u8());
    let (status, body, opaque) = (Status(header.get_u16()), header.get_u32() as usize, header.get_u32());
    let value = body.checked_sub(key + extras)?;
    (magic == RESPONSE_MAGIC && data_type == 0).then_some(ResponseHeader {
        opcode,
        status,
        opaque,
        extras_length: extras,
        key_length: key,
        value_length: value,
    })
}

fn next_packet(magic: u8, buffer: &mut BytesMut, max_body_bytes: usize) -> Result<Option<Packet>, Malformed> {
    // Checked before the header is complete: a short command of another protocol would otherwise leave the reader
    // waiting for the rest of a header that never arrives.
    if let Some(&first) = buffer.first().filter(|first| **first != magic) {
        return Err(Malformed::Magic(first));
    }
    let Some(mut header) = buffer.get(..HEADER_BYTES) else { return Ok(None) };
    header.advance(1);
    let opcode = header.get_u8();
    let (key, extras, data_type) = (header.get_u16() as usize, header.get_u8() as usize, header.get_u8());
    let (status, body, opaque, cas) =
        (header.get_u16(), header.get_u32(), header.get_u32(), header.get_u64());
    if data_type != 0 {
        return Err(Malformed::DataType(data_type));
    }
    let length = usize::try_from(body).unwrap_or(usize::MAX);
    if length > max_body_bytes {
        return Err(Malformed::TooLong(body));
    }
    if key + extras > length {
        return Err(Malformed::Lengths);
    }
    if buffer.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    buffer.advance(HEADER_BYTES);
    let mut body = buffer.split_to(length).freeze();
    let (extras, key) = (body.split_to(extras), body.split_to(key));
    Ok(Some(Packet { opcode, status, opaque, cas, extras, key, value: body }))
}

#[cfg(test)]
mod tests {
    use super::*;

    const MAX_BODY_BYTES: usize = 4096;

    fn random_packet(rng: &mut fastrand::Rng) -> Packet {
        let mut random_bytes = |max: usize| -> Bytes {
            let length = rng.usize(..=max);
            std::iter::repeat_with(|| rng.u8(..)).take(length).collect()
        };
        let (extras, key, value) = (random_bytes(20), random_bytes(MAX_KEY_BYTES), random_bytes(2000));
        let (opcode, status, opaque, cas) = (rng.u8(..), rng.u16(..), rng.u32(..), rng.u64(..));
        Packet { opcode, status, opaque, cas, extras, key, value }
    }

    #[test]
    fn the_example_of_the_specification_is_decoded() {
        // Section "Get": the request for "Hello" and the response "World".
        let mut request = BytesMut::from(
            &b"\x80\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x05\0\0\0\0\0\0\0\0\0\0\0\0Hello"[..],
        );
        let packet = next_request(&mut request, MAX_BODY_BYTES).unwrap().unwrap();
        assert_eq!(packet, Packet { key: "Hello".into(), ..Packet::new(Opcode::Get, 0) });
        let text = b"\x81\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x09\0\0\0\0\0\0\0\0\0\0\0\x01\xde\xad\xbe\xefWorld";
        let packet = next_response(&mut BytesMut::from(&text[..]), MAX_BODY_BYTES).unwrap().unwrap();
        assert_eq!((packet.cas, &packet.extras[..]), (1, &b"\xde\xad\xbe\xef"[..]));
        assert_eq!(&packet.value[..], b"World");
        let mut out = BytesMut::new();
        packet.put_response(&mut out);
        assert_eq!(&out[..], text);
    }

    #[test]
    fn packets_survive_encoding_however_the_stream_is_split() {
        let mut rng = fastrand::Rng::with_seed(1);
        for _ in 0..500 {
            let packets: Vec<Packet> = (0..rng.usize(1..5)).map(|_| random_packet(&mut rng)).collect();
            let mut wire = BytesMut::new();
            packets.iter().for_each(|packet| packet.put_request(&mut wire));
            let (mut buffer, mut decoded) = (BytesMut::new(), Vec::new());
            while !wire.is_empty() {
                let chunk = wire.split_to(rng.usize(1..=wire.len()));
                buffer.extend_from_slice(&chunk);
                while let Some(packet) = next_request(&mut buffer, MAX_BODY_BYTES).unwrap() {
                    decoded.push(packet);
                }
            }
            assert_eq!((decoded, buffer.len()), (packets, 0));
        }
    }

    #[test]
    fn corrupted_packets_neither_panic_nor_wait_for_more_than_the_limit() {
        let mut rng = fastrand::Rng::with_seed(2);
        let mut outcomes = [0; 3];
        for _ in 0..20_000 {
            let mut wire = BytesMut::new();
            random_packet(&mut rng).put_response(&mut wire);
            for _ in 0..rng.usize(0..4) {
                let position = rng.usize(..wire.len().min(HEADER_BYTES + 4));
                wire[position] = rng.u8(..);
            }
            if rng.bool() {
                wire.truncate(rng.usize(..=wire.len()));
            }
            let before = wire.len();
            match next_response(&mut wire, MAX_BODY_BYTES) {
                Ok(Some(packet)) => {
                    let body = packet.extras.len() + packet.key.len() + packet.value.len();
                    assert_eq!(wire.len() + HEADER_BYTES + body, before);
                    outcomes[0] += 1;
                }
                Ok(None) => {
                    assert!(before < HEADER_BYTES + MAX_BODY_BYTES);
                    outcomes[1] += 1;
                }
                Err(_) => outcomes[2] += 1,
            }
        }
        assert!(outcomes.iter().all(|&n| n > 500), "too few of an outcome: {outcomes:?}");
    }

    #[test]
    fn a_partial_request_is_parsed_once_its_key_has_arrived() {
        let (extras, key, value) =
            (Bytes::from_static(&[0; 8]), Bytes::from_static(b"key"), Bytes::from_static(b"value"));
        let packet = Packet { extras, key, value, ..Packet::new(Opcode::Set, 7) };
        let mut bytes = BytesMut::new();
        packet.put_request(&mut bytes);
        let key_end = HEADER_BYTES + 8 + 3;
        assert_eq!(parse_partial_request(&bytes[..key_end - 1]), None);
        let partial = PartialRequest { opcode: 1, opaque: 7, key: b"key", length: bytes.len() };
        assert_eq!(parse_partial_request(&bytes[..key_end]), Some(partial));
    }

    #[test]
    fn invalid_lengths_are_rejected_by_the_header_alone() {
        let header = |key: u16, extras: u8, data_type: u8, body: u32| {
            let mut out = BytesMut::new();
            Packet::new(Opcode::Set, 7).put_request(&mut out);
            out[2..4].copy_from_slice(&key.to_be_bytes());
            (out[4], out[5]) = (extras, data_type);
            out[8..12].copy_from_slice(&body.to_be_bytes());
            next_request(&mut out, MAX_BODY_BYTES)
        };
        assert_eq!(header(0, 0, 0, u32::MAX), Err(Malformed::TooLong(u32::MAX)));
        assert_eq!(
            header(0, 0, 0, MAX_BODY_BYTES as u32 + 1),
            Err(Malformed::TooLong(MAX_BODY_BYTES as u32 + 1))
        );
        assert_eq!(header(0, 0, 0, MAX_BODY_BYTES as u32), Ok(None));
        assert_eq!(header(5, 4, 0, 8), Err(Malformed::Lengths));
        assert_eq!(header(5, 4, 1, 9), Err(Malformed::DataType(1)));
        assert_eq!(next_request(&mut "*3\r\n".into(), MAX_BODY_BYTES), Err(Malformed::Magic(b'*')));
        assert_eq!(
            next_response(&mut BytesMut::from(&[REQUEST_MAGIC][..]), MAX_BODY_BYTES),
            Err(Malformed::Magic(REQUEST_MAGIC))
        );
        assert_eq!(next_request(&mut BytesMut::new(), MAX_BODY_BYTES), Ok(None));
    }

    #[test]
    fn each_opcode_is_found_by_its_code() {
        assert!(Opcode::ALL.iter().all(|opcode| Opcode::from_code(*opcode as u8) == Some(*opcode)));
        assert!(Opcode::ALL.windows(2).all(|pair| (pair[0] as u8) < pair[1] as u8));
        assert_eq!((Opcode::from_code(0x1f), Opcode::from_code(0xff)), (None, None));
    }
}
