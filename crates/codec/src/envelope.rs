//! The envelope that all datagrams between nodes share: a big-endian header of 16 bytes, followed by parts.
//!
//! ```text
//! magic 2 bytes | version u8 | flags u8 | site u32 | state digest u32 | checksum u32 | part...
//! part: kind u8 | length u8 | body
//! ```
//!
//! The checksum (the low 32 bits of 64-bit XXH3) covers the whole datagram except itself. It detects truncation and
//! corruption; it does not authenticate the sender. For compatibility, later builds keep the header and add data only
//! as new kinds of part; decoders skip parts of unknown kinds.

use bytes::{Buf, BufMut};
use xxhash_rust::xxh3::Xxh3;

/// Maximum length of a datagram, in bytes. The platform accepts no longer ones.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The version of the format that this build writes. Datagrams of later versions are decoded too, and their unknown
/// parts are skipped.
const FORMAT_VERSION: u8 = 1;
/// Length of the header, in bytes.
pub(crate) const HEADER_BYTES: usize = 16;
/// Offset of the checksum, the last field of the header.
const CHECKSUM_OFFSET: usize = 12;
/// Length of a part's kind and length fields, which precede its body, in bytes.
pub(crate) const PART_HEADER_BYTES: usize = 2;

/// Why a datagram was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// The magic, the version or a length is invalid.
    Malformed,
    /// The checksum does not match: the datagram was truncated or corrupted in transit.
    ChecksumMismatch,
    /// The sender belongs to another site, or is configured with another list of nodes.
    WrongSite,
}

/// The fields of a header that carry state of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    /// Flags whose meaning depends on the magic.
    pub flags: u8,
    /// A digest of the sender's state, by which two nodes find out cheaply whether their states differ.
    pub state_digest: u32,
}

/// Writes the header of a datagram; parts are appended to it, then [`finish`] sets the checksum.
pub(crate) fn begin(magic: [u8; 2], site: u32, header: Header) -> Vec<u8> {
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    out.put_slice(&magic);
    out.put_u8(FORMAT_VERSION);
    out.put_u8(header.flags);
    out.put_u32(site);
    out.put_u32(header.state_digest);
    out.put_u32(0);
    out
}

/// Sets the checksum of a complete datagram.
pub(crate) fn finish(out: &mut [u8]) {
    let checksum = checksum(out);
    out[CHECKSUM_OFFSET..HEADER_BYTES].copy_from_slice(&checksum.to_be_bytes());
}

/// Verifies a datagram and returns its header and parts.
///
/// # Errors
/// If it is not a valid datagram with this magic and site id.
pub(crate) fn open(magic: [u8; 2], site: u32, datagram: &[u8]) -> Result<(Header, Parts<'_>), DecodeError> {
    if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < HEADER_BYTES || datagram[..2] != magic {
        return Err(DecodeError::Malformed);
    }
    let mut header = &datagram[2..HEADER_BYTES];
    let (version, flags) = (header.get_u8(), header.get_u8());
    let (sender_site, state_digest, expected_checksum) =
        (header.get_u32(), header.get_u32(), header.get_u32());
    if version == 0 {
        return Err(DecodeError::Malformed);
    }
    if checksum(datagram) != expected_checksum {
        return Err(DecodeError::ChecksumMismatch);
    }
    if sender_site != site {
        return Err(DecodeError::WrongSite);
    }
    Ok((Header { flags, state_digest }, Parts(&datagram[HEADER_BYTES..])))
}

/// Iterates over the parts of a datagram, as kind and body. Fails at a part that is longer than the rest of the
/// datagram.
pub(crate) struct Parts<'a>(&'a [u8]);

impl<'a> Iterator for Parts<'a> {
    type Item = Result<(u8, &'a [u8]), DecodeError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.0.len() < PART_HEADER_BYTES {
            return None;
        }
        let (kind, length) = (self.0.get_u8(), usize::from(self.0.get_u8()));
        let Some(body) = self.0.get(..length) else {
            self.0 = &[];
            return Some(Err(DecodeError::Malformed));
        };
        self.0.advance(length);
        Some(Ok((kind, body)))
    }
}

/// The checksum of a datagram, excluding the checksum field.
fn checksum(datagram: &[u8]) -> u32 {
    let mut hash = Xxh3::new();
    hash.update(&datagram[..CHECKSUM_OFFSET]);
    hash.update(&datagram[HEADER_BYTES..]);
    hash.digest() as u32
}

/// Identifies a site: a hash of its name and of the number of its nodes, which is what all nodes configure alike.
pub fn site_id(name: &str, nodes: usize) -> u32 {
    let mut hash = Xxh3::new();
    hash.update(name.as_bytes());
    hash.update(&(nodes as u64).to_be_bytes());
    hash.digest() as u32
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn truncated_or_corrupted_datagrams_are_rejected() {
        let mut rng = fastrand::Rng::with_seed(47);
        for _ in 0..2_000 {
            let mut datagram = begin(*b"LX", 7, Header { flags: 1, state_digest: rng.u32(..) });
            (0..rng.usize(..200)).for_each(|_| datagram.push(rng.u8(..)));
            finish(&mut datagram);
            assert!(open(*b"LX", 7, &datagram).is_ok());
            assert_eq!(open(*b"LX", 8, &datagram).err(), Some(DecodeError::WrongSite));
            assert_eq!(open(*b"LY", 7, &datagram).err(), Some(DecodeError::Malformed));
            assert!(open(*b"LX", 7, &datagram[..rng.usize(..datagram.len())]).is_err(), "truncated");
            let position = rng.usize(..datagram.len());
            datagram[position] ^= 1 << rng.u8(..8);
            assert!(open(*b"LX", 7, &datagram).is_err(), "corrupted");
        }
    }
}
