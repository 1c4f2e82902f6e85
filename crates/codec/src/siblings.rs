//! The gossip datagrams of sibling nodes: 256 bytes at most. A receiver has to expect that any of them is lost,
//! delayed, duplicated, truncated or sent by another build.
//!
//! A datagram is in the [`envelope`](crate::envelope), with the epoch as its state digest, and has these parts:
//!
//! ```text
//! row (kind 1): origin u16 | incarnation u48 | heartbeat u32 | watches u4, flags u4 | expired u4, direct u4 | heard...
//! heard: low bits of the incarnation u32 | low bits of the heartbeat u16
//! requested nodes (kind 2): node u16...
//! digests (kind 4): u16, 32 times
//! brief rows (kind 3): (origin u16 | incarnation u48 | heartbeat u32 | flags u8)...
//! ```
//!
//! For compatibility, later builds add data only as new kinds of part or at the end of a row. Decoders skip parts of
//! unknown kinds and extra bytes at the end of a row.

use bytes::{Buf, BufMut};

pub use crate::envelope::{DecodeError, MAX_DATAGRAM_BYTES, site_id};
use crate::envelope::{HEADER_BYTES, Header, PART_HEADER_BYTES, begin, finish, open};

/// The first two bytes of these datagrams, which identify the format.
pub const MAGIC: [u8; 2] = *b"LS";
/// Maximum number of nodes that monitor the heartbeats of one node.
pub const MAX_WATCHERS: usize = 4;
// Kinds of part.
const ROW: u8 = 1;
const REQUESTED_NODES: u8 = 2;
const BRIEF_ROWS: u8 = 3;
const DIGESTS: u8 = 4;
/// Number of buckets into which the nodes are divided by their index in the list; each bucket has a digest.
pub const DIGEST_BUCKETS: usize = 32;
/// Length of a brief row, in bytes.
const BRIEF_BYTES: usize = 13;
/// Maximum number of rows that a datagram requests.
pub const MAX_REQUESTED_ROWS: usize = 8;
/// Length of a row before its list of received heartbeats, in bytes.
const ROW_HEADER_BYTES: usize = 14;
/// Length of an entry of that list, in bytes.
const HEARD_BYTES: usize = 6;
/// Width of an incarnation, in bits.
pub const INCARNATION_BITS: u32 = 48;

/// The newest heartbeat that a node has received from a node that it monitors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Heard {
    /// The low bits of that node's incarnation. If this and `heartbeat` are both 0, no heartbeat has been received.
    pub incarnation: u32,
    /// The low bits of its newest heartbeat.
    pub heartbeat: u16,
    /// Whether datagrams arrive from it directly, not only through other nodes.
    pub direct: bool,
    /// Whether its lease has expired at this watcher, which therefore no longer confirms this incarnation.
    pub expired: bool,
}

/// The state that a node reports of itself.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct NodeFlags {
    /// Enough of its watchers confirm its lease.
    pub confirmed: bool,
    /// The node is leaving and uses no shared resources from here on.
    pub leaving: bool,
    /// Heartbeats are missing in one direction between this node and a node that it watches or that watches it;
    /// receivers are to forward this row soon.
    pub needs_relay: bool,
    /// The process was recently suspended.
    pub paused: bool,
}

impl NodeFlags {
    fn bits(self) -> u8 {
        let NodeFlags { confirmed, leaving, needs_relay, paused } = self;
        bits([confirmed, leaving, needs_relay, paused])
    }

    fn from_bits(bits: u8) -> NodeFlags {
        NodeFlags {
            confirmed: bit(bits, 0),
            leaving: bit(bits, 1),
            needs_relay: bit(bits, 2),
            paused: bit(bits, 3),
        }
    }
}

/// One node's state: its heartbeat, and those that it has received from the nodes that it watches. Of two rows of a
/// node, the one with the higher incarnation is newer, then the one with the higher heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Row {
    /// Index of the node in the list of nodes.
    pub origin: u16,
    /// Higher after each start of the node and whenever the others considered it gone (not necessarily by 1). 48 bits.
    pub incarnation: u64,
    /// Heartbeat counter, incremented with each row.
    pub heartbeat: u32,
    /// The state that the node reports of itself.
    pub flags: NodeFlags,
    /// Number of nodes that it watches.
    pub watches: u8,
    /// The newest heartbeats received from those nodes, in the order of the ring.
    pub heard: [Heard; MAX_WATCHERS],
}

impl Row {
    /// Orders the rows of one node from older to newer.
    pub fn version(&self) -> (u64, u32) {
        (self.incarnation, self.heartbeat)
    }

    /// Whether nothing in the row is urgent: no lease has expired and it does not ask to be forwarded.
    pub fn is_routine(&self) -> bool {
        let watched = &self.heard[..usize::from(self.watches).min(MAX_WATCHERS)];
        !self.flags.needs_relay && !watched.iter().any(|heard| heard.expired)
    }

    /// Encoded length of the row as a part, in bytes.
    pub fn length(&self) -> usize {
        PART_HEADER_BYTES + ROW_HEADER_BYTES + HEARD_BYTES * usize::from(self.watches)
    }

    fn put(&self, out: &mut Vec<u8>) {
        let watches = usize::from(self.watches).min(MAX_WATCHERS);
        out.put_u8(ROW);
        out.put_u8((ROW_HEADER_BYTES + HEARD_BYTES * watches) as u8);
        out.put_u16(self.origin);
        out.put_uint(self.incarnation, 6);
        out.put_u32(self.heartbeat);
        out.put_u8(self.flags.bits() | (watches as u8) << 4);
        out.put_u8(
            bits(self.heard.map(|heard| heard.direct)) | bits(self.heard.map(|heard| heard.expired)) << 4,
        );
        for heard in &self.heard[..watches] {
            out.put_u32(heard.incarnation);
            out.put_u16(heard.heartbeat);
        }
    }

    fn read(mut body: &[u8]) -> Option<Row> {
        if body.len() < ROW_HEADER_BYTES {
            return None;
        }
        let (origin, incarnation, heartbeat) = (body.get_u16(), body.get_uint(6), body.get_u32());
        let (flags, receipt_bits) = (body.get_u8(), body.get_u8());
        let mut row =
            Row { origin, incarnation, heartbeat, flags: NodeFlags::from_bits(flags), ..Row::default() };
        let watches = usize::from(flags >> 4).min(MAX_WATCHERS).min(body.len() / HEARD_BYTES);
        row.watches = watches as u8;
        for (index, heard) in row.heard[..watches].iter_mut().enumerate() {
            *heard = Heard {
                incarnation: body.get_u32(),
                heartbeat: body.get_u16(),
                direct: bit(receipt_bits, index),
                expired: bit(receipt_bits, index + 4),
            };
        }
        Some(row)
    }
}

/// Whether the bit at `index` is set.
fn bit(byte: u8, index: usize) -> bool {
    byte & 1 << index != 0
}

/// Packs booleans into the low bits of a byte, the first into the lowest.
fn bits(flags: [bool; MAX_WATCHERS]) -> u8 {
    flags.into_iter().enumerate().map(|(index, set)| u8::from(set) << index).sum()
}

/// The content of a datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// Digest of the sender's view of all nodes; nodes whose views agree have the same.
    pub epoch: u32,
    /// The sender's own row, then rows that it forwards.
    pub rows: Vec<Row>,
    /// Rows without their lists of received heartbeats.
    pub brief_rows: Vec<Row>,
    /// Indexes of nodes whose rows the sender lacks and requests.
    pub requested_nodes: Vec<u16>,
    /// Digests of the sender's view by bucket. Where they differ, the views differ on some node of that bucket.
    pub digests: Option<[u16; DIGEST_BUCKETS]>,
}

impl Message {
    /// Length of the encoded datagram, in bytes.
    pub fn length(&self) -> usize {
        let part_length = |body: usize| if body > 0 { PART_HEADER_BYTES + body } else { 0 };
        let rows: usize = self.rows.iter().map(Row::length).sum();
        let digests = self.digests.map_or(0, |digests| 2 * digests.len());
        HEADER_BYTES
            + rows
            + part_length(digests)
            + part_length(2 * self.requested_nodes.len().min(MAX_REQUESTED_ROWS))
            + part_length(BRIEF_BYTES * self.brief_rows.len())
    }

    /// Adds a row, in brief or in full, unless the datagram would become longer than `max_bytes`. Returns whether it
    /// was added.
    pub fn add(&mut self, row: Row, brief: bool, max_bytes: usize) -> bool {
        let length = match (brief, self.brief_rows.is_empty()) {
            (false, _) => row.length(),
            (true, false) => BRIEF_BYTES,
            (true, true) => PART_HEADER_BYTES + BRIEF_BYTES,
        };
        let fits = self.length() + length <= max_bytes.min(MAX_DATAGRAM_BYTES);
        if fits {
            let list = if brief { &mut self.brief_rows } else { &mut self.rows };
            list.push(row);
        }
        fits
    }

    /// Whether it contains a row of this node.
    pub fn has_row_of(&self, origin: u16) -> bool {
        self.rows.iter().chain(&self.brief_rows).any(|row| row.origin == origin)
    }
}

/// Encodes a datagram. Rows that do not fit are omitted, so that it is never longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(site: u32, message: &Message) -> Vec<u8> {
    let mut out = begin(MAGIC, site, Header { flags: 0, state_digest: message.epoch });
    let requested_nodes = &message.requested_nodes[..message.requested_nodes.len().min(MAX_REQUESTED_ROWS)];
    if !requested_nodes.is_empty() {
        out.put_u8(REQUESTED_NODES);
        out.put_u8(2 * requested_nodes.len() as u8);
        requested_nodes.iter().for_each(|&node| out.put_u16(node));
    }
    if let Some(digests) = &message.digests {
        out.put_u8(DIGESTS);
        out.put_u8(2 * DIGEST_BUCKETS as u8);
        digests.iter().for_each(|&digest| out.put_u16(digest));
    }
    for row in &message.rows {
        if out.len() + row.length() <= MAX_DATAGRAM_BYTES {
            row.put(&mut out);
        }
    }
    let max_briefs = MAX_DATAGRAM_BYTES.saturating_sub(out.len() + PART_HEADER_BYTES) / BRIEF_BYTES;
    let brief_rows = &message.brief_rows[..message.brief_rows.len().min(max_briefs)];
    if !brief_rows.is_empty() {
        out.put_u8(BRIEF_ROWS);
        out.put_u8((BRIEF_BYTES * brief_rows.len()) as u8);
        for brief in brief_rows {
            out.put_u16(brief.origin);
            out.put_uint(brief.incarnation, 6);
            out.put_u32(brief.heartbeat);
            out.put_u8(brief.flags.bits());
        }
    }
    finish(&mut out);
    out
}

/// Decodes a datagram from a node of this site.
///
/// # Errors
/// If it is malformed or corrupted, or comes from another site.
pub fn decode(site: u32, datagram: &[u8]) -> Result<Message, DecodeError> {
    let (header, parts) = open(MAGIC, site, datagram)?;
    let mut message = Message { epoch: header.state_digest, ..Message::default() };
    for part in parts {
        let (kind, mut body) = part?;
        match kind {
            ROW => message.rows.push(Row::read(body).ok_or(DecodeError::Malformed)?),
            REQUESTED_NODES => {
                while body.len() >= 2 && message.requested_nodes.len() < MAX_REQUESTED_ROWS {
                    message.requested_nodes.push(body.get_u16());
                }
            }
            DIGESTS if body.len() >= 2 * DIGEST_BUCKETS => {
                message.digests = Some(std::array::from_fn(|_| body.get_u16()));
            }
            BRIEF_ROWS => {
                while body.len() >= BRIEF_BYTES {
                    let (origin, incarnation, heartbeat) = (body.get_u16(), body.get_uint(6), body.get_u32());
                    let flags = NodeFlags::from_bits(body.get_u8());
                    message.brief_rows.push(Row { origin, incarnation, heartbeat, flags, ..Row::default() });
                }
            }
            _ => {}
        }
    }
    Ok(message)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn random_row(rng: &mut fastrand::Rng) -> Row {
        let watches = rng.u8(0..=MAX_WATCHERS as u8);
        let mut row = Row {
            origin: rng.u16(..),
            incarnation: rng.u64(..1 << INCARNATION_BITS),
            heartbeat: rng.u32(..),
            watches,
            ..Row::default()
        };
        row.flags = NodeFlags::from_bits(rng.u8(..));
        for heard in &mut row.heard[..usize::from(watches)] {
            let (incarnation, heartbeat) = (rng.u32(..), rng.u16(..));
            *heard = Heard { incarnation, heartbeat, direct: rng.u8(..9) > 0, expired: rng.u8(..9) == 0 };
        }
        row
    }

    #[test]
    fn messages_survive_encoding_and_invalid_datagrams_are_rejected() {
        let mut rng = fastrand::Rng::with_seed(47);
        for _ in 0..3_000 {
            let rows: Vec<Row> = (0..rng.usize(1..=9)).map(|_| random_row(&mut rng)).collect();
            let epoch = rng.u32(..);
            let requested_nodes: Vec<u16> =
                (0..rng.usize(0..=MAX_REQUESTED_ROWS)).map(|_| rng.u16(..)).collect();
            let digests = rng.bool().then(|| std::array::from_fn(|_| rng.u16(..)));
            let mut message =
                Message { epoch, rows: vec![rows[0]], requested_nodes, digests, ..Message::default() };
            rows[1..].iter().for_each(|row| _ = message.add(*row, row.is_routine(), MAX_DATAGRAM_BYTES));
            let datagram = encode(7, &message);
            assert_eq!(datagram.len(), message.length());
            let decoded = decode(7, &datagram).unwrap();
            assert_eq!(
                (decoded.epoch, &decoded.rows, &decoded.requested_nodes),
                (epoch, &message.rows, &message.requested_nodes)
            );
            assert_eq!(decoded.digests, digests);
            let brief = |row: &Row| (row.version(), row.origin, row.flags);
            assert!(decoded.brief_rows.iter().map(brief).eq(message.brief_rows.iter().map(brief)));
            let all = Message { epoch, rows: rows.clone(), brief_rows: rows, ..Message::default() };
            assert!(encode(7, &all).len() <= MAX_DATAGRAM_BYTES);
            assert_eq!(decode(8, &datagram), Err(DecodeError::WrongSite));
            let noise: Vec<u8> = (0..rng.usize(..300)).map(|_| rng.u8(..)).collect();
            assert!(decode(7, &noise).is_err());
        }
    }

    /// Datagrams as earlier and later builds send them.
    #[test]
    fn datagrams_of_a_newer_build_are_decoded_as_far_as_their_format_is_known() {
        let mut rng = fastrand::Rng::with_seed(48);
        let (known, finished) = (random_row(&mut rng), |mut datagram: Vec<u8>| {
            finish(&mut datagram);
            datagram
        });
        let datagram = encode(
            7,
            &Message { epoch: 3, rows: vec![known], requested_nodes: vec![5], ..Message::default() },
        );
        let mut newer = datagram.clone();
        newer[2] = 9; // a later version
        newer.extend_from_slice(&[200, 5, 1, 2, 3, 4, 5]); // a part of an unknown kind
        assert_eq!(
            decode(7, &finished(newer)),
            Ok(Message { epoch: 3, rows: vec![known], requested_nodes: vec![5], ..Message::default() })
        );
        let mut longer = datagram.clone();
        longer[HEADER_BYTES + 5] += 7; // a row with extra bytes at its end
        longer.extend_from_slice(&[9; 7]);
        assert_eq!(decode(7, &finished(longer)).map(|message| message.rows), Ok(vec![known]));
        let mut version_zero = datagram.clone();
        version_zero[2] = 0;
        assert_eq!(decode(7, &finished(version_zero)), Err(DecodeError::Malformed));
        let mut overrun = datagram.clone();
        overrun[HEADER_BYTES + 5] = 250; // a part longer than the rest of the datagram
        assert_eq!(decode(7, &finished(overrun)), Err(DecodeError::Malformed));
        let mut short = datagram;
        short.truncate(HEADER_BYTES);
        short.extend_from_slice(&[ROW, 3, 1, 2, 3]);
        assert_eq!(decode(7, &finished(short)), Err(DecodeError::Malformed));
    }

    #[test]
    fn six_rows_with_four_watched_nodes_fill_the_longest_datagram() {
        let row = Row { watches: MAX_WATCHERS as u8, ..Row::default() };
        let mut message = Message { rows: vec![row; 6], ..Message::default() };
        assert_eq!(message.length(), MAX_DATAGRAM_BYTES);
        message.rows.push(row);
        assert_eq!(encode(1, &message).len(), MAX_DATAGRAM_BYTES);
    }
}
