//! The datagrams by which nodes replicate small records: 256 bytes at most. A receiver has to expect that any of them
//! is lost, delayed or duplicated.
//!
//! A datagram is in the [`envelope`](crate::envelope), with the root digest of the sender's store as its state digest,
//! and has these parts. Replicas find out where they differ by comparing digests down a hash tree over the ids of the
//! records; the digest of a record is called its sum.
//!
//! ```text
//! record (kind 1): kind u8 | origin u16 | incarnation u48 | counter u32 | remaining tenths u32 | flags u8
//!     | name length u8 | name | value
//! branch sums (kind 2): level u8 | path u16 | u32, 16 times
//! inventory (kind 3): first u48 | last u48 | (id u48 | sum u32)...
//! request (kind 4): id u48...
//! ack (kind 5): (id u48 | sum u32)...
//! lease (kind 6): message u8 | number u32 | amount u32 | duration in microseconds u32
//! ```
//!
//! A record of a kind that this build does not know is stored and forwarded unchanged; only its meaning is unknown.

use bytes::{Buf, BufMut};

use crate::envelope::{
    DecodeError, HEADER_BYTES, Header, MAX_DATAGRAM_BYTES, PART_HEADER_BYTES, begin, finish, open,
};

/// The first two bytes of these datagrams, which identify the format.
pub const MAGIC: [u8; 2] = *b"LR";
/// Maximum length of a record's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum length of a record's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 140;
/// Number of children of each inner node of the hash tree.
pub const BRANCHES: usize = 16;
/// Width of a record's id, in bits.
pub const ID_BITS: u32 = 48;
/// Length of an encoded id, in bytes.
const ID_BYTES: usize = 6;
// Kinds of part.
const RECORD: u8 = 1;
const BRANCH_SUMS: u8 = 2;
const INVENTORY: u8 = 3;
const REQUEST: u8 = 4;
const ACK: u8 = 5;
const LEASE: u8 = 6;
/// Length of a record before its name, in bytes.
const RECORD_HEADER_BYTES: usize = 19;
/// Length of the body of branch sums, in bytes.
const BRANCH_SUMS_BYTES: usize = 3 + 4 * BRANCHES;
/// Length of an inventory before its entries, in bytes.
const INVENTORY_HEADER_BYTES: usize = 2 * ID_BYTES;
/// Length of an id with its sum, in bytes.
const ENTRY_BYTES: usize = ID_BYTES + 4;
/// Length of the body of a lease message, in bytes.
const LEASE_BYTES: usize = 13;
/// Flag of a datagram: the sender is behind.
const FLAG_BEHIND: u8 = 1;
/// Flag of a record: an acknowledgement is requested.
const FLAG_ACK_REQUESTED: u8 = 1;

/// The version of a record. The copy with the higher incarnation of its origin is newer, then the one with the higher
/// counter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    /// The origin's incarnation, 48 bits.
    pub incarnation: u64,
    /// Number of writes of this incarnation.
    pub counter: u32,
}

/// A replicated record.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Record {
    /// Determines the meaning of the record; see the kinds of the store.
    pub kind: u8,
    /// Index of the node that has written it.
    pub origin: u16,
    /// The name of what it describes, [`MAX_NAME_BYTES`] bytes at most.
    pub name: Vec<u8>,
    /// Decides which of two copies is newer.
    pub version: Version,
    /// Its content, [`MAX_VALUE_BYTES`] bytes at most.
    pub value: Vec<u8>,
}

impl Record {
    fn length(&self) -> usize {
        PART_HEADER_BYTES + RECORD_HEADER_BYTES + self.name.len() + self.value.len()
    }
}

/// A record as it is sent to another node, with its remaining lifetime.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordUpdate {
    /// The record.
    pub record: Record,
    /// Remaining lifetime in tenths of a second, at least 1; none if the record does not expire.
    pub remaining_tenths: Option<u32>,
    /// The origin requests an acknowledgement that the record is stored.
    pub ack_requested: bool,
}

/// The sums of the branches below one inner node of the hash tree.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BranchSums {
    /// Depth of the inner node in the tree; 0 is the root.
    pub level: u8,
    /// Path from the root to the inner node, four bits for each level.
    pub path: u16,
    /// One sum for each branch, in the order of the ids.
    pub sums: [u32; BRANCHES],
}

/// All records that the sender holds in a range of ids.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Inventory {
    /// First id of the range.
    pub first: u64,
    /// Last id of the range, inclusive.
    pub last: u64,
    /// The ids of the records and their sums.
    pub list: Vec<(u64, u32)>,
}

impl Inventory {
    /// Number of entries that fit into an empty datagram.
    pub const MAX_ENTRIES: usize =
        (MAX_DATAGRAM_BYTES - HEADER_BYTES - PART_HEADER_BYTES - INVENTORY_HEADER_BYTES) / ENTRY_BYTES;
}

/// A message by which a node borrows another node's part of a capacity that is divided among the nodes, for a limited
/// time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseMessage {
    /// Requests a lease.
    Request {
        /// Number of the request; it supersedes all earlier requests.
        number: u32,
        /// Amount, in thousandths of one node's part.
        amount: u32,
    },
    /// Grants a lease.
    Grant {
        /// Number of the request that is answered.
        number: u32,
        /// Amount, in thousandths of one node's part.
        amount: u32,
        /// Duration of the lease from the time of the request, in microseconds.
        duration_us: u32,
    },
    /// Releases all that was granted for a request.
    Release {
        /// Number of the request.
        number: u32,
    },
}

/// A part of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Part {
    /// A record.
    Record(RecordUpdate),
    /// Sums of the branches of an inner node.
    BranchSums(BranchSums),
    /// The records that the sender holds in a range of ids.
    Inventory(Inventory),
    /// Ids of records that the sender lacks and requests.
    Request(Vec<u64>),
    /// Records that the sender holds, acknowledged to their origin.
    Ack(Vec<(u64, u32)>),
    /// A lease of a part of a divided capacity.
    Lease(LeaseMessage),
}

impl Part {
    /// Encoded length of the part, in bytes.
    pub fn length(&self) -> usize {
        match self {
            Part::Record(update) => update.record.length(),
            Part::BranchSums(_) => PART_HEADER_BYTES + BRANCH_SUMS_BYTES,
            Part::Inventory(inventory) => {
                PART_HEADER_BYTES + INVENTORY_HEADER_BYTES + ENTRY_BYTES * inventory.list.len()
            }
            Part::Request(ids) => PART_HEADER_BYTES + ID_BYTES * ids.len(),
            Part::Ack(list) => PART_HEADER_BYTES + ENTRY_BYTES * list.len(),
            Part::Lease(_) => PART_HEADER_BYTES + LEASE_BYTES,
        }
    }

    fn put(&self, out: &mut Vec<u8>) {
        let put_header =
            |out: &mut Vec<u8>, kind: u8| out.put_slice(&[kind, (self.length() - PART_HEADER_BYTES) as u8]);
        let put_entries = |out: &mut Vec<u8>, list: &[(u64, u32)]| {
            for (id, sum) in list {
                out.put_uint(*id, ID_BYTES);
                out.put_u32(*sum);
            }
        };
        match self {
            Part::Record(RecordUpdate { record, remaining_tenths, ack_requested }) => {
                put_header(out, RECORD);
                out.put_u8(record.kind);
                out.put_u16(record.origin);
                out.put_uint(record.version.incarnation, 6);
                out.put_u32(record.version.counter);
                out.put_u32(remaining_tenths.map_or(0, |tenths| tenths.max(1)));
                out.put_u8(if *ack_requested { FLAG_ACK_REQUESTED } else { 0 });
                out.put_u8(record.name.len() as u8);
                out.put_slice(&record.name);
                out.put_slice(&record.value);
            }
            Part::BranchSums(BranchSums { level, path, sums }) => {
                put_header(out, BRANCH_SUMS);
                out.put_u8(*level);
                out.put_u16(*path);
                sums.iter().for_each(|&sum| out.put_u32(sum));
            }
            Part::Inventory(Inventory { first, last, list }) => {
                put_header(out, INVENTORY);
                out.put_uint(*first, ID_BYTES);
                out.put_uint(*last, ID_BYTES);
                put_entries(out, list);
            }
            Part::Request(ids) => {
                put_header(out, REQUEST);
                ids.iter().for_each(|&id| out.put_uint(id, ID_BYTES));
            }
            Part::Ack(list) => {
                put_header(out, ACK);
                put_entries(out, list);
            }
            Part::Lease(rights) => {
                put_header(out, LEASE);
                let (message, number, amount, duration_us) = match *rights {
                    LeaseMessage::Request { number, amount } => (0, number, amount, 0),
                    LeaseMessage::Grant { number, amount, duration_us } => (1, number, amount, duration_us),
                    LeaseMessage::Release { number } => (2, number, 0, 0),
                };
                out.put_u8(message);
                [number, amount, duration_us].into_iter().for_each(|field| out.put_u32(field));
            }
        }
    }

    /// Decodes a part; none if its kind is unknown to this build.
    fn read(kind: u8, mut body: &[u8]) -> Result<Option<Part>, DecodeError> {
        let read_entries = |body: &mut &[u8]| {
            let mut list = Vec::with_capacity(body.len() / ENTRY_BYTES);
            while body.len() >= ENTRY_BYTES {
                list.push((body.get_uint(ID_BYTES), body.get_u32()));
            }
            list
        };
        let min_length = match kind {
            RECORD => RECORD_HEADER_BYTES,
            BRANCH_SUMS => BRANCH_SUMS_BYTES,
            INVENTORY => INVENTORY_HEADER_BYTES,
            LEASE => LEASE_BYTES,
            _ => 0,
        };
        if body.len() < min_length {
            return Err(DecodeError::Malformed);
        }
        Ok(Some(match kind {
            RECORD => {
                let (kind, origin) = (body.get_u8(), body.get_u16());
                let version = Version { incarnation: body.get_uint(6), counter: body.get_u32() };
                let (remaining_tenths, flags, name_length) =
                    (body.get_u32(), body.get_u8(), usize::from(body.get_u8()));
                if name_length > MAX_NAME_BYTES
                    || name_length > body.len()
                    || body.len() - name_length > MAX_VALUE_BYTES
                {
                    return Err(DecodeError::Malformed);
                }
                let (name, value) = body.split_at(name_length);
                let record = Record { kind, origin, name: name.into(), version, value: value.into() };
                Part::Record(RecordUpdate {
                    record,
                    remaining_tenths: Some(remaining_tenths).filter(|&tenths| tenths > 0),
                    ack_requested: flags & FLAG_ACK_REQUESTED > 0,
                })
            }
            BRANCH_SUMS => {
                let (level, path) = (body.get_u8(), body.get_u16());
                Part::BranchSums(BranchSums { level, path, sums: std::array::from_fn(|_| body.get_u32()) })
            }
            INVENTORY => {
                let (first, last) = (body.get_uint(ID_BYTES), body.get_uint(ID_BYTES));
                Part::Inventory(Inventory { first, last, list: read_entries(&mut body) })
            }
            REQUEST => {
                let mut ids = Vec::with_capacity(body.len() / ID_BYTES);
                while body.len() >= ID_BYTES {
                    ids.push(body.get_uint(ID_BYTES));
                }
                Part::Request(ids)
            }
            ACK => Part::Ack(read_entries(&mut body)),
            LEASE => {
                let message = body.get_u8();
                let (number, amount, duration_us) = (body.get_u32(), body.get_u32(), body.get_u32());
                Part::Lease(match message {
                    0 => LeaseMessage::Request { number, amount },
                    1 => LeaseMessage::Grant { number, amount, duration_us },
                    2 => LeaseMessage::Release { number },
                    _ => return Ok(None),
                })
            }
            _ => return Ok(None),
        }))
    }
}

/// The content of a datagram.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// Root digest of the sender's store.
    pub root: u32,
    /// The sender has restarted or rejoined recently and may lack records that others hold.
    pub behind: bool,
    /// The parts, in the order in which they are sent.
    pub parts: Vec<Part>,
}

impl Message {
    /// Length of the encoded datagram, in bytes.
    pub fn length(&self) -> usize {
        HEADER_BYTES + self.parts.iter().map(Part::length).sum::<usize>()
    }

    /// Adds a part if it fits into the datagram. Returns whether it was added.
    pub fn add(&mut self, part: Part) -> bool {
        let fits = self.length() + part.length() <= MAX_DATAGRAM_BYTES;
        if fits {
            self.parts.push(part);
        }
        fits
    }
}

/// Encodes a datagram. Parts that do not fit are omitted, so that it is never longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(site: u32, message: &Message) -> Vec<u8> {
    let flags = if message.behind { FLAG_BEHIND } else { 0 };
    let mut out = begin(MAGIC, site, Header { flags, state_digest: message.root });
    for part in &message.parts {
        if out.len() + part.length() <= MAX_DATAGRAM_BYTES {
            part.put(&mut out);
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
    let mut message =
        Message { root: header.state_digest, behind: header.flags & FLAG_BEHIND > 0, parts: Vec::new() };
    for part in parts {
        let (kind, body) = part?;
        message.parts.extend(Part::read(kind, body)?);
    }
    Ok(message)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn random_part(rng: &mut fastrand::Rng) -> Part {
        let id = |rng: &mut fastrand::Rng| rng.u64(..1 << ID_BITS);
        let list = |rng: &mut fastrand::Rng| {
            let n = rng.usize(..8);
            (0..n).map(|_| (id(rng), rng.u32(..))).collect()
        };
        let random_bytes = |rng: &mut fastrand::Rng, max: usize| {
            let n = rng.usize(..=max);
            (0..n).map(|_| rng.u8(..)).collect()
        };
        match rng.u8(..6) {
            0 => {
                let version = Version { incarnation: rng.u64(..1 << 48), counter: rng.u32(..) };
                let (name, value) = (random_bytes(rng, MAX_NAME_BYTES), random_bytes(rng, MAX_VALUE_BYTES));
                let record = Record { kind: rng.u8(..), origin: rng.u16(..), name, version, value };
                let remaining_tenths = rng.bool().then(|| rng.u32(1..));
                Part::Record(RecordUpdate { record, remaining_tenths, ack_requested: rng.bool() })
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
                let (number, amount, duration_us) = (rng.u32(..), rng.u32(..), rng.u32(..));
                let messages = [
                    LeaseMessage::Request { number, amount },
                    LeaseMessage::Grant { number, amount, duration_us },
                    LeaseMessage::Release { number },
                ];
                Part::Lease(messages[rng.usize(..3)])
            }
        }
    }

    #[test]
    fn messages_survive_encoding_and_arbitrary_bytes_do_not_panic() {
        let mut rng = fastrand::Rng::with_seed(48);
        for _ in 0..5_000 {
            let mut message = Message { root: rng.u32(..), behind: rng.bool(), parts: Vec::new() };
            (0..rng.usize(..6)).for_each(|_| _ = message.add(random_part(&mut rng)));
            let datagram = encode(7, &message);
            assert_eq!((datagram.len(), decode(7, &datagram)), (message.length(), Ok(message.clone())));
            // A part of a later build is skipped. Random bytes in a valid envelope are rejected or decoded, without a
            // panic.
            let mut later = datagram.clone();
            if later.len() < MAX_DATAGRAM_BYTES - 4 {
                later.extend_from_slice(&[99, 2, 1, 2]);
                finish(&mut later);
                assert_eq!(decode(7, &later), Ok(message));
            }
            let mut noise = begin(MAGIC, 7, Header { flags: rng.u8(..), state_digest: 0 });
            (0..rng.usize(..MAX_DATAGRAM_BYTES - HEADER_BYTES)).for_each(|_| noise.push(rng.u8(..9)));
            finish(&mut noise);
            let _ = decode(7, &noise);
        }
    }
}
