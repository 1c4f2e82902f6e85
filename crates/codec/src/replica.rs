//! The datagrams by which nodes keep copies of small records alike: 256 bytes at most, any of them lost, late or doubled.
//!
//! A datagram is in the [`envelope`](crate::envelope), its word the sum of all that the sender holds, with these parts:
//!
//! ```text
//! record (kind 1): kind u8 | origin u16 | incarnation u48 | counter u32 | left u32 | flags u8 | length u8, name | value
//! sums (kind 2): level u8 | path u16 | u32, 16 times
//! have (kind 3): first u48 | last u48 | (id u48 | sum u32)...
//! want (kind 4): id u48...
//! held (kind 5): (id u48 | sum u32)...
//! rights (kind 6): what u8 | number u32 | amount u32 | time u32
//! ```
//!
//! A record of a kind that this build does not know is kept and passed on as it is: only what it means is not known.

use bytes::{Buf, BufMut};

use crate::envelope::{DecodeError, HEADER_BYTES, Header, MAX_DATAGRAM_BYTES, PART_HEAD, begin, open, seal};

/// By which these datagrams are told from others.
pub const MAGIC: [u8; 2] = *b"LR";
/// Longest name of a record, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Longest value of a record, in bytes.
pub const MAX_VALUE_BYTES: usize = 140;
/// A sum is of so many branches.
pub const BRANCHES: usize = 16;
/// Ids have so many bits.
pub const ID_BITS: u32 = 48;
const ID: usize = 6;
const RECORD: u8 = 1;
const SUMS: u8 = 2;
const HAVE: u8 = 3;
const WANT: u8 = 4;
const HELD: u8 = 5;
const RIGHTS: u8 = 6;
const RECORD_HEAD: usize = 19;
const SUMS_BODY: usize = 3 + 4 * BRANCHES;
const HAVE_HEAD: usize = 2 * ID;
const LISTED: usize = ID + 4;
const RIGHTS_BODY: usize = 13;
const BEHIND: u8 = 1;
const ASKS: u8 = 1;

/// Which of two copies of a record is newer: the one of the higher incarnation of its origin, then of the higher counter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The origin's incarnation, 48 bits.
    pub incarnation: u64,
    /// Counts what the incarnation has written.
    pub counter: u32,
}

/// A record as it goes from node to node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Record {
    /// What it means; see the kinds of the store.
    pub kind: u8,
    /// Who has written it.
    pub origin: u16,
    /// Of which thing, [`MAX_NAME_BYTES`] bytes at most.
    pub name: Vec<u8>,
    /// How new it is.
    pub version: Version,
    /// What it says, [`MAX_VALUE_BYTES`] bytes at most.
    pub value: Vec<u8>,
}

impl Record {
    fn length(&self) -> usize {
        PART_HEAD + RECORD_HEAD + self.name.len() + self.value.len()
    }
}

/// A record with its life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordUpdate {
    /// The record.
    pub record: Record,
    /// How long it lives yet, in tenths of a second; for good if there is no end. At least 1 where there is one.
    pub left: Option<u32>,
    /// Its origin asks whoever reads this to say that it is held.
    pub ack_requested: bool,
}

/// What the ids of a span come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BranchSums {
    /// How many branchings lie above: 0 is the root.
    pub level: u8,
    /// Which branches were taken, four bits each.
    pub path: u16,
    /// The branches' sums.
    pub sums: [u32; BRANCHES],
}

/// All that is held in a span of ids.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inventory {
    /// The span's first id.
    pub first: u64,
    /// Its last.
    pub last: u64,
    /// Ids, and sums of what is held of each.
    pub list: Vec<(u64, u32)>,
}

impl Inventory {
    /// So many fit into an empty datagram.
    pub const MAX_ENTRIES: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES - PART_HEAD - HAVE_HEAD) / LISTED;
}

/// Asking for a part of what is divided, and lending it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseMessage {
    /// Asks for so much.
    Request {
        /// Of which asking: what was asked before is over with it.
        number: u32,
        /// How much, in thousandths of one node's part.
        amount: u32,
    },
    /// Lends so much.
    Grant {
        /// In answer to which asking.
        number: u32,
        /// How much, in thousandths of one node's part.
        amount: u32,
        /// For how long from when it was asked, in microseconds.
        time: u32,
    },
    /// Gives back all that was lent at that asking.
    Release {
        /// Of which asking.
        number: u32,
    },
}

/// A part of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A record.
    Record(RecordUpdate),
    /// What a span comes to, by branches.
    BranchSums(BranchSums),
    /// What is held in a span.
    Inventory(Inventory),
    /// Records that the sender lacks.
    Request(Vec<u64>),
    /// Records that the sender holds, said to their origin.
    Ack(Vec<(u64, u32)>),
    /// Of what is divided.
    Lease(LeaseMessage),
}

impl Part {
    /// Its bytes in a datagram.
    pub fn length(&self) -> usize {
        match self {
            Part::Record(sent) => sent.record.length(),
            Part::BranchSums(_) => PART_HEAD + SUMS_BODY,
            Part::Inventory(have) => PART_HEAD + HAVE_HEAD + LISTED * have.list.len(),
            Part::Request(ids) => PART_HEAD + ID * ids.len(),
            Part::Ack(list) => PART_HEAD + LISTED * list.len(),
            Part::Lease(_) => PART_HEAD + RIGHTS_BODY,
        }
    }

    fn put(&self, out: &mut Vec<u8>) {
        let head = |out: &mut Vec<u8>, kind: u8| out.put_slice(&[kind, (self.length() - PART_HEAD) as u8]);
        let listed = |out: &mut Vec<u8>, list: &[(u64, u32)]| {
            for (id, sum) in list {
                out.put_uint(*id, ID);
                out.put_u32(*sum);
            }
        };
        match self {
            Part::Record(RecordUpdate { record, left, ack_requested }) => {
                head(out, RECORD);
                out.put_u8(record.kind);
                out.put_u16(record.origin);
                out.put_uint(record.version.incarnation, 6);
                out.put_u32(record.version.counter);
                out.put_u32(left.map_or(0, |left| left.max(1)));
                out.put_u8(if *ack_requested { ASKS } else { 0 });
                out.put_u8(record.name.len() as u8);
                out.put_slice(&record.name);
                out.put_slice(&record.value);
            }
            Part::BranchSums(BranchSums { level, path, sums }) => {
                head(out, SUMS);
                out.put_u8(*level);
                out.put_u16(*path);
                sums.iter().for_each(|&sum| out.put_u32(sum));
            }
            Part::Inventory(Inventory { first, last, list }) => {
                head(out, HAVE);
                out.put_uint(*first, ID);
                out.put_uint(*last, ID);
                listed(out, list);
            }
            Part::Request(ids) => {
                head(out, WANT);
                ids.iter().for_each(|&id| out.put_uint(id, ID));
            }
            Part::Ack(list) => {
                head(out, HELD);
                listed(out, list);
            }
            Part::Lease(rights) => {
                head(out, RIGHTS);
                let (what, number, amount, time) = match *rights {
                    LeaseMessage::Request { number, amount } => (0, number, amount, 0),
                    LeaseMessage::Grant { number, amount, time } => (1, number, amount, time),
                    LeaseMessage::Release { number } => (2, number, 0, 0),
                };
                out.put_u8(what);
                [number, amount, time].into_iter().for_each(|word| out.put_u32(word));
            }
        }
    }

    /// Reads a part; nothing if it is of a kind that is not known here.
    fn read(kind: u8, mut body: &[u8]) -> Result<Option<Part>, DecodeError> {
        let listed = |body: &mut &[u8]| {
            let mut list = Vec::with_capacity(body.len() / LISTED);
            while body.len() >= LISTED {
                list.push((body.get_uint(ID), body.get_u32()));
            }
            list
        };
        let least = match kind {
            RECORD => RECORD_HEAD,
            SUMS => SUMS_BODY,
            HAVE => HAVE_HEAD,
            RIGHTS => RIGHTS_BODY,
            _ => 0,
        };
        if body.len() < least {
            return Err(DecodeError::Malformed);
        }
        Ok(Some(match kind {
            RECORD => {
                let (kind, origin) = (body.get_u8(), body.get_u16());
                let version = Version { incarnation: body.get_uint(6), counter: body.get_u32() };
                let (left, flags, length) = (body.get_u32(), body.get_u8(), usize::from(body.get_u8()));
                if length > MAX_NAME_BYTES || length > body.len() || body.len() - length > MAX_VALUE_BYTES {
                    return Err(DecodeError::Malformed);
                }
                let (name, value) = body.split_at(length);
                let record = Record { kind, origin, name: name.into(), version, value: value.into() };
                Part::Record(RecordUpdate {
                    record,
                    left: Some(left).filter(|&left| left > 0),
                    ack_requested: flags & ASKS > 0,
                })
            }
            SUMS => {
                let (level, path) = (body.get_u8(), body.get_u16());
                Part::BranchSums(BranchSums { level, path, sums: std::array::from_fn(|_| body.get_u32()) })
            }
            HAVE => {
                let (first, last) = (body.get_uint(ID), body.get_uint(ID));
                Part::Inventory(Inventory { first, last, list: listed(&mut body) })
            }
            WANT => {
                let mut ids = Vec::with_capacity(body.len() / ID);
                while body.len() >= ID {
                    ids.push(body.get_uint(ID));
                }
                Part::Request(ids)
            }
            HELD => Part::Ack(listed(&mut body)),
            RIGHTS => {
                let what = body.get_u8();
                let (number, amount, time) = (body.get_u32(), body.get_u32(), body.get_u32());
                Part::Lease(match what {
                    0 => LeaseMessage::Request { number, amount },
                    1 => LeaseMessage::Grant { number, amount, time },
                    2 => LeaseMessage::Release { number },
                    _ => return Ok(None),
                })
            }
            _ => return Ok(None),
        }))
    }
}

/// What a datagram says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// The sum of all that the sender holds.
    pub root: u32,
    /// The sender has come back a moment ago, and lacks what others hold.
    pub behind: bool,
    /// Its parts.
    pub parts: Vec<Part>,
}

impl Message {
    /// How many bytes its datagram has.
    pub fn length(&self) -> usize {
        HEADER_BYTES + self.parts.iter().map(Part::length).sum::<usize>()
    }

    /// Adds a part, if the datagram can take it. Tells whether it could.
    pub fn add(&mut self, part: Part) -> bool {
        let fits = self.length() + part.length() <= MAX_DATAGRAM_BYTES;
        if fits {
            self.parts.push(part);
        }
        fits
    }
}

/// Writes a datagram; what doesn't fit is left out. Never longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(site: u32, said: &Message) -> Vec<u8> {
    let flags = if said.behind { BEHIND } else { 0 };
    let mut out = begin(MAGIC, site, Header { flags, word: said.root });
    for part in &said.parts {
        if out.len() + part.length() <= MAX_DATAGRAM_BYTES {
            part.put(&mut out);
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
    let mut said = Message { root: header.word, behind: header.flags & BEHIND > 0, parts: Vec::new() };
    for part in parts {
        let (kind, body) = part?;
        said.parts.extend(Part::read(kind, body)?);
    }
    Ok(said)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn part(rng: &mut fastrand::Rng) -> Part {
        let id = |rng: &mut fastrand::Rng| rng.u64(..1 << ID_BITS);
        let list = |rng: &mut fastrand::Rng| {
            let n = rng.usize(..8);
            (0..n).map(|_| (id(rng), rng.u32(..))).collect()
        };
        let some = |rng: &mut fastrand::Rng, most: usize| {
            let n = rng.usize(..=most);
            (0..n).map(|_| rng.u8(..)).collect()
        };
        match rng.u8(..6) {
            0 => {
                let version = Version { incarnation: rng.u64(..1 << 48), counter: rng.u32(..) };
                let (name, value) = (some(rng, MAX_NAME_BYTES), some(rng, MAX_VALUE_BYTES));
                let record = Record { kind: rng.u8(..), origin: rng.u16(..), name, version, value };
                let left = rng.bool().then(|| rng.u32(1..));
                Part::Record(RecordUpdate { record, left, ack_requested: rng.bool() })
            }
            1 => Part::BranchSums(BranchSums {
                level: rng.u8(..3),
                path: rng.u16(..),
                sums: std::array::from_fn(|_| rng.u32(..)),
            }),
            2 => Part::Inventory(Inventory { first: id(rng), last: id(rng), list: list(rng) }),
            3 => Part::Request((0..rng.usize(..8)).map(|_| id(rng)).collect()),
            4 => Part::Ack(list(rng)),
            _ => {
                let (number, amount, time) = (rng.u32(..), rng.u32(..), rng.u32(..));
                let any = [
                    LeaseMessage::Request { number, amount },
                    LeaseMessage::Grant { number, amount, time },
                    LeaseMessage::Release { number },
                ];
                Part::Lease(any[rng.usize(..3)])
            }
        }
    }

    #[test]
    fn what_is_put_is_read_and_no_bytes_bring_it_down() {
        let mut rng = fastrand::Rng::with_seed(48);
        for _ in 0..5_000 {
            let mut told = Message { root: rng.u32(..), behind: rng.bool(), parts: Vec::new() };
            (0..rng.usize(..6)).for_each(|_| _ = told.add(part(&mut rng)));
            let text = encode(7, &told);
            assert_eq!((text.len(), decode(7, &text)), (told.length(), Ok(told.clone())));
            // A part that a later build brings is passed over; noise in a good envelope is told or read, no more.
            let mut later = text.clone();
            if later.len() < MAX_DATAGRAM_BYTES - 4 {
                later.extend_from_slice(&[99, 2, 1, 2]);
                seal(&mut later);
                assert_eq!(decode(7, &later), Ok(told));
            }
            let mut noise = begin(MAGIC, 7, Header { flags: rng.u8(..), word: 0 });
            (0..rng.usize(..MAX_DATAGRAM_BYTES - HEADER_BYTES)).for_each(|_| noise.push(rng.u8(..9)));
            seal(&mut noise);
            let _ = decode(7, &noise);
        }
    }
}
