//! The datagrams of nodes that are siblings: 256 bytes at most, any of them lost, late, doubled, cut or of another build.
//!
//! A datagram is in the [`envelope`](crate::envelope), its word the epoch, with these parts:
//!
//! ```text
//! row (kind 1): origin u16 | incarnation u48 | beat u32 | beats u4, standing u4 | ways u8 | heard...
//! heard: incarnation's low bits u32 | beat's low bits u16
//! wants (kind 2): node u16...
//! buckets (kind 4): u16, 32 times
//! briefs (kind 3): (origin u16 | incarnation u48 | beat u32 | standing u8)...
//! ```
//!
//! Rules for builds that come later: a new thing is a new kind of part or stands behind what a row has here. Kinds that
//! are not known and bytes that stand behind a row are passed over.

use bytes::{Buf, BufMut};

pub use crate::envelope::{DecodeError, MAX_DATAGRAM_BYTES, site_id};
use crate::envelope::{HEADER_BYTES, Header, PART_HEAD, begin, open, seal};

/// By which these datagrams are told from others.
pub const MAGIC: [u8; 2] = *b"LS";
/// Most nodes that watch one.
pub const MAX_WATCHERS: usize = 4;
const ROW: u8 = 1;
const WANTS: u8 = 2;
const BRIEFS: u8 = 3;
const DIGESTS: u8 = 4;
/// The nodes are summed up in so many buckets, by their places in the list.
pub const DIGEST_BUCKETS: usize = 32;
/// A brief's bytes.
const BRIEF: usize = 13;
/// Most nodes that a datagram asks for.
pub const MAX_REQUESTED_ROWS: usize = 8;
/// A row's bytes before its list of beats, and of each beat.
const ROW_HEAD: usize = 14;
const HEARD: usize = 6;
/// An incarnation has so many bits.
pub const INCARNATION_BITS: u32 = 48;

/// What a node last heard of one that it watches.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Heard {
    /// The low bits of its incarnation; nothing was heard if both figures are 0.
    pub incarnation: u32,
    /// The low bits of its newest beat.
    pub beat: u16,
    /// Whether its own datagrams come.
    pub direct: bool,
    /// Whether its lease has run out here: this incarnation is not confirmed by this watcher any more.
    pub expired: bool,
}

/// How a node stands, by its own word.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct NodeFlags {
    /// Enough of its watchers confirm it.
    pub confirmed: bool,
    /// It leaves, and uses nothing shared from here on.
    pub leaving: bool,
    /// It lacks word of one that it watches, or theirs of it: its row is to be passed on soon.
    pub needs_relay: bool,
    /// It was paused a moment ago.
    pub paused: bool,
}

impl NodeFlags {
    fn bits(self) -> u8 {
        let NodeFlags { confirmed, leaving, needs_relay, paused } = self;
        bits([confirmed, leaving, needs_relay, paused])
    }

    fn of(bits: u8) -> NodeFlags {
        NodeFlags {
            confirmed: bit(bits, 0),
            leaving: bit(bits, 1),
            needs_relay: bit(bits, 2),
            paused: bit(bits, 3),
        }
    }
}

/// One node's word of itself and of those that it watches. Of two, the one with the higher incarnation, then beat, is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Row {
    /// Its place in the list of nodes.
    pub origin: u16,
    /// Higher with each start, and whenever it was held to be gone. 48 bits.
    pub incarnation: u64,
    /// Higher with each row.
    pub beat: u32,
    /// How it stands.
    pub flags: NodeFlags,
    /// How many it watches.
    pub watches: u8,
    /// What it has heard of those, in the order of the ring.
    pub heard: [Heard; MAX_WATCHERS],
}

impl Row {
    /// What is newer than what.
    pub fn version(&self) -> (u64, u32) {
        (self.incarnation, self.beat)
    }

    /// Whether it says nothing of others that can't wait: that a lease has run out, or that it needs word.
    pub fn is_plain(&self) -> bool {
        let watched = &self.heard[..usize::from(self.watches).min(MAX_WATCHERS)];
        !self.flags.needs_relay && !watched.iter().any(|heard| heard.expired)
    }

    /// Bytes that it takes in a datagram.
    pub fn length(&self) -> usize {
        PART_HEAD + ROW_HEAD + HEARD * usize::from(self.watches)
    }

    fn put(&self, out: &mut Vec<u8>) {
        let watches = usize::from(self.watches).min(MAX_WATCHERS);
        out.put_u8(ROW);
        out.put_u8((ROW_HEAD + HEARD * watches) as u8);
        out.put_u16(self.origin);
        out.put_uint(self.incarnation, 6);
        out.put_u32(self.beat);
        out.put_u8(self.flags.bits() | (watches as u8) << 4);
        out.put_u8(
            bits(self.heard.map(|heard| heard.direct)) | bits(self.heard.map(|heard| heard.expired)) << 4,
        );
        for heard in &self.heard[..watches] {
            out.put_u32(heard.incarnation);
            out.put_u16(heard.beat);
        }
    }

    fn read(mut body: &[u8]) -> Option<Row> {
        if body.len() < ROW_HEAD {
            return None;
        }
        let (origin, incarnation, beat) = (body.get_u16(), body.get_uint(6), body.get_u32());
        let (flags, ways) = (body.get_u8(), body.get_u8());
        let mut row = Row { origin, incarnation, beat, flags: NodeFlags::of(flags), ..Row::default() };
        let watches = usize::from(flags >> 4).min(MAX_WATCHERS).min(body.len() / HEARD);
        row.watches = watches as u8;
        for (at, heard) in row.heard[..watches].iter_mut().enumerate() {
            *heard = Heard {
                incarnation: body.get_u32(),
                beat: body.get_u16(),
                direct: bit(ways, at),
                expired: bit(ways, at + 4),
            };
        }
        Some(row)
    }
}

fn bit(of: u8, at: usize) -> bool {
    of & 1 << at != 0
}

fn bits(of: [bool; MAX_WATCHERS]) -> u8 {
    of.into_iter().enumerate().map(|(at, set)| u8::from(set) << at).sum()
}

/// What a datagram says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// The sender's view, as a number that those who agree share.
    pub epoch: u32,
    /// The sender's own row, then what it passes on.
    pub rows: Vec<Row>,
    /// Rows that say nothing of what they have heard.
    pub briefs: Vec<Row>,
    /// Nodes whose rows the sender lacks.
    pub wants: Vec<u16>,
    /// The sender's view by bucket: who has another sum knows something else of a node in it.
    pub digests: Option<[u16; DIGEST_BUCKETS]>,
}

impl Message {
    /// How many bytes its datagram has.
    pub fn length(&self) -> usize {
        let part = |body: usize| if body > 0 { PART_HEAD + body } else { 0 };
        let rows: usize = self.rows.iter().map(Row::length).sum();
        let digests = self.digests.map_or(0, |digests| 2 * digests.len());
        HEADER_BYTES
            + rows
            + part(digests)
            + part(2 * self.wants.len().min(MAX_REQUESTED_ROWS))
            + part(BRIEF * self.briefs.len())
    }

    /// Adds a row, in brief or whole, if the datagram is no longer than `most` then. Tells whether it was.
    pub fn add(&mut self, row: Row, brief: bool, most: usize) -> bool {
        let length = match (brief, self.briefs.is_empty()) {
            (false, _) => row.length(),
            (true, false) => BRIEF,
            (true, true) => PART_HEAD + BRIEF,
        };
        let fits = self.length() + length <= most.min(MAX_DATAGRAM_BYTES);
        if fits {
            let list = if brief { &mut self.briefs } else { &mut self.rows };
            list.push(row);
        }
        fits
    }

    /// Whether it has a row of this node.
    pub fn has_row_of(&self, origin: u16) -> bool {
        self.rows.iter().chain(&self.briefs).any(|row| row.origin == origin)
    }
}

/// Writes a datagram; what doesn't fit is left out. Never longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(site: u32, said: &Message) -> Vec<u8> {
    let mut out = begin(MAGIC, site, Header { flags: 0, word: said.epoch });
    let wants = &said.wants[..said.wants.len().min(MAX_REQUESTED_ROWS)];
    if !wants.is_empty() {
        out.put_u8(WANTS);
        out.put_u8(2 * wants.len() as u8);
        wants.iter().for_each(|&node| out.put_u16(node));
    }
    if let Some(digests) = &said.digests {
        out.put_u8(DIGESTS);
        out.put_u8(2 * DIGEST_BUCKETS as u8);
        digests.iter().for_each(|&digest| out.put_u16(digest));
    }
    for row in &said.rows {
        if out.len() + row.length() <= MAX_DATAGRAM_BYTES {
            row.put(&mut out);
        }
    }
    let room = MAX_DATAGRAM_BYTES.saturating_sub(out.len() + PART_HEAD) / BRIEF;
    let briefs = &said.briefs[..said.briefs.len().min(room)];
    if !briefs.is_empty() {
        out.put_u8(BRIEFS);
        out.put_u8((BRIEF * briefs.len()) as u8);
        for brief in briefs {
            out.put_u16(brief.origin);
            out.put_uint(brief.incarnation, 6);
            out.put_u32(brief.beat);
            out.put_u8(brief.flags.bits());
        }
    }
    seal(&mut out);
    out
}

/// Reads a datagram of nodes with this site.
///
/// # Errors
/// If it is none, or another's.
pub fn decode(site: u32, datagram: &[u8]) -> Result<Message, DecodeError> {
    let (header, parts) = open(MAGIC, site, datagram)?;
    let mut said = Message { epoch: header.word, ..Message::default() };
    for part in parts {
        let (kind, mut body) = part?;
        match kind {
            ROW => said.rows.push(Row::read(body).ok_or(DecodeError::Malformed)?),
            WANTS => {
                while body.len() >= 2 && said.wants.len() < MAX_REQUESTED_ROWS {
                    said.wants.push(body.get_u16());
                }
            }
            DIGESTS if body.len() >= 2 * DIGEST_BUCKETS => {
                said.digests = Some(std::array::from_fn(|_| body.get_u16()));
            }
            BRIEFS => {
                while body.len() >= BRIEF {
                    let (origin, incarnation, beat) = (body.get_u16(), body.get_uint(6), body.get_u32());
                    let flags = NodeFlags::of(body.get_u8());
                    said.briefs.push(Row { origin, incarnation, beat, flags, ..Row::default() });
                }
            }
            _ => {}
        }
    }
    Ok(said)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(rng: &mut fastrand::Rng) -> Row {
        let watches = rng.u8(0..=MAX_WATCHERS as u8);
        let mut row = Row {
            origin: rng.u16(..),
            incarnation: rng.u64(..1 << INCARNATION_BITS),
            beat: rng.u32(..),
            watches,
            ..Row::default()
        };
        row.flags = NodeFlags::of(rng.u8(..));
        for heard in &mut row.heard[..usize::from(watches)] {
            let (incarnation, beat) = (rng.u32(..), rng.u16(..));
            *heard = Heard { incarnation, beat, direct: rng.u8(..9) > 0, expired: rng.u8(..9) == 0 };
        }
        row
    }

    #[test]
    fn what_is_put_is_read_and_what_is_garbled_or_cut_is_not() {
        let mut rng = fastrand::Rng::with_seed(47);
        for _ in 0..3_000 {
            let rows: Vec<Row> = (0..rng.usize(1..=9)).map(|_| row(&mut rng)).collect();
            let epoch = rng.u32(..);
            let wants: Vec<u16> = (0..rng.usize(0..=MAX_REQUESTED_ROWS)).map(|_| rng.u16(..)).collect();
            let digests = rng.bool().then(|| std::array::from_fn(|_| rng.u16(..)));
            let mut told = Message { epoch, rows: vec![rows[0]], wants, digests, ..Message::default() };
            rows[1..].iter().for_each(|row| _ = told.add(*row, row.is_plain(), MAX_DATAGRAM_BYTES));
            let text = encode(7, &told);
            assert_eq!(text.len(), told.length());
            let said = decode(7, &text).unwrap();
            assert_eq!((said.epoch, &said.rows, &said.wants), (epoch, &told.rows, &told.wants));
            assert_eq!(said.digests, digests);
            let brief = |row: &Row| (row.version(), row.origin, row.flags);
            assert!(said.briefs.iter().map(brief).eq(told.briefs.iter().map(brief)));
            let all = Message { epoch, rows: rows.clone(), briefs: rows, ..Message::default() };
            assert!(encode(7, &all).len() <= MAX_DATAGRAM_BYTES);
            assert_eq!(decode(8, &text), Err(DecodeError::WrongSite));
            let noise: Vec<u8> = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
            assert!(decode(7, &noise).is_err());
        }
    }

    /// A corpus: what builds before and after this one send.
    #[test]
    fn a_newer_build_is_read_as_far_as_it_has_the_same_words() {
        let mut rng = fastrand::Rng::with_seed(48);
        let (known, sealed) = (row(&mut rng), |mut text: Vec<u8>| {
            seal(&mut text);
            text
        });
        let text = encode(7, &Message { epoch: 3, rows: vec![known], wants: vec![5], ..Message::default() });
        let mut newer = text.clone();
        newer[2] = 9; // a later version
        newer.extend_from_slice(&[200, 5, 1, 2, 3, 4, 5]); // a part of a kind not known here
        assert_eq!(
            decode(7, &sealed(newer)),
            Ok(Message { epoch: 3, rows: vec![known], wants: vec![5], ..Message::default() })
        );
        let mut longer = text.clone();
        longer[HEADER_BYTES + 5] += 7; // a row with something behind it
        longer.extend_from_slice(&[9; 7]);
        assert_eq!(decode(7, &sealed(longer)).map(|said| said.rows), Ok(vec![known]));
        let mut none = text.clone();
        none[2] = 0;
        assert_eq!(decode(7, &sealed(none)), Err(DecodeError::Malformed));
        let mut overrun = text.clone();
        overrun[HEADER_BYTES + 5] = 250; // a part longer than what came
        assert_eq!(decode(7, &sealed(overrun)), Err(DecodeError::Malformed));
        let mut short = text;
        short.truncate(HEADER_BYTES);
        short.extend_from_slice(&[ROW, 3, 1, 2, 3]);
        assert_eq!(decode(7, &sealed(short)), Err(DecodeError::Malformed));
    }

    #[test]
    fn six_rows_of_four_beats_fill_the_longest_datagram() {
        let row = Row { watches: MAX_WATCHERS as u8, ..Row::default() };
        let mut said = Message { rows: vec![row; 6], ..Message::default() };
        assert_eq!(said.length(), MAX_DATAGRAM_BYTES);
        said.rows.push(row);
        assert_eq!(encode(1, &said).len(), MAX_DATAGRAM_BYTES);
    }
}
