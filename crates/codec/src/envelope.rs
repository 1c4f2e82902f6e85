//! What all datagrams between nodes have in common: a header of 16 bytes, big-endian, and parts behind it.
//!
//! ```text
//! magic 2 bytes | version u8 | flags u8 | site u32 | word u32 | checksum u32 | part...
//! part: kind u8 | length u8 | body
//! ```
//!
//! The checksum (XXH3, its low half) covers all that stands round it. It finds what was cut or garbled; it is no proof of who
//! has sent it. Rules for builds that come later: the header stays; a new thing is a new kind of part, and kinds that are
//! not known are passed over.

use bytes::{Buf, BufMut};
use xxhash_rust::xxh3::Xxh3;

/// Longest datagram that the platform takes, in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The form's version. A later one can be read as far as it has the same words.
const VERSION: u8 = 1;
pub(crate) const HEADER_BYTES: usize = 16;
const SUM_AT: usize = 12;
/// Bytes of a part before its body.
pub(crate) const PART_HEAD: usize = 2;

/// Why a datagram says nothing here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DecodeError {
    /// It is no such datagram, or too long for one.
    Malformed,
    /// It was cut or garbled on its way.
    ChecksumMismatch,
    /// It is of nodes with another site or another list.
    WrongSite,
}

/// What a header says beside what it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Header {
    pub flags: u8,
    pub word: u32,
}

/// Begins a datagram.
pub(crate) fn begin(magic: [u8; 2], site: u32, header: Header) -> Vec<u8> {
    let mut out = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    out.put_slice(&magic);
    out.put_u8(VERSION);
    out.put_u8(header.flags);
    out.put_u32(site);
    out.put_u32(header.word);
    out.put_u32(0);
    out
}

/// Seals a datagram that is whole.
pub(crate) fn seal(out: &mut [u8]) {
    let sum = sum(out);
    out[SUM_AT..HEADER_BYTES].copy_from_slice(&sum.to_be_bytes());
}

/// Opens a datagram of nodes with this site.
pub(crate) fn open(magic: [u8; 2], site: u32, datagram: &[u8]) -> Result<(Header, Parts<'_>), DecodeError> {
    if datagram.len() > MAX_DATAGRAM_BYTES || datagram.len() < HEADER_BYTES || datagram[..2] != magic {
        return Err(DecodeError::Malformed);
    }
    let mut header = &datagram[2..HEADER_BYTES];
    let (version, flags) = (header.get_u8(), header.get_u8());
    let (of, word, told) = (header.get_u32(), header.get_u32(), header.get_u32());
    if version == 0 {
        return Err(DecodeError::Malformed);
    }
    if sum(datagram) != told {
        return Err(DecodeError::ChecksumMismatch);
    }
    if of != site {
        return Err(DecodeError::WrongSite);
    }
    Ok((Header { flags, word }, Parts(&datagram[HEADER_BYTES..])))
}

/// The parts of a datagram, one after the other.
pub(crate) struct Parts<'a>(&'a [u8]);

impl<'a> Iterator for Parts<'a> {
    type Item = Result<(u8, &'a [u8]), DecodeError>;

    fn next(&mut self) -> Option<Self::Item> {
        if self.0.len() < PART_HEAD {
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

/// The checksum of all but itself.
fn sum(datagram: &[u8]) -> u32 {
    let mut hash = Xxh3::new();
    hash.update(&datagram[..SUM_AT]);
    hash.update(&datagram[HEADER_BYTES..]);
    hash.digest() as u32
}

/// The number of a site: its name, and its list of nodes as far as all write it alike.
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
    fn whatever_is_cut_or_garbled_is_not_opened() {
        let mut rng = fastrand::Rng::with_seed(47);
        for _ in 0..2_000 {
            let mut text = begin(*b"LX", 7, Header { flags: 1, word: rng.u32(..) });
            (0..rng.usize(..200)).for_each(|_| text.push(rng.u8(..)));
            seal(&mut text);
            assert!(open(*b"LX", 7, &text).is_ok());
            assert_eq!(open(*b"LX", 8, &text).err(), Some(DecodeError::WrongSite));
            assert_eq!(open(*b"LY", 7, &text).err(), Some(DecodeError::Malformed));
            assert!(open(*b"LX", 7, &text[..rng.usize(..text.len())]).is_err(), "cut");
            let at = rng.usize(..text.len());
            text[at] ^= 1 << rng.u8(..8);
            assert!(open(*b"LX", 7, &text).is_err(), "garbled");
        }
    }
}
