//! Operators' orders. An order supersedes those that its issuer had seen; of concurrent orders, which had not seen one
//! another, the safest takes effect.
//!
//! Orders form a grow-only set: each has a unique number (a [`Dot`]) and names the orders that it supersedes, so that
//! merging replicas is a union without the superseded ones. A superseded drain is dropped; the order that supersedes it is
//! kept as its tombstone for [`TOMBSTONE_RETENTION_US`]. That time runs only while all nodes of the list are here, so that
//! a node that was away for any time still finds the tombstones of all orders that it holds.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut};
use lilacquay_codec::replica::{MAX_NAME_BYTES, MAX_VALUE_BYTES, Record, Version};

use crate::{Micros, kind};

/// How long a tombstone is kept.
pub const TOMBSTONE_RETENTION_US: Micros = 600_000_000;
/// Encoded length of a dot, in bytes.
const DOT_BYTES: usize = 12;
/// Length of an order's value without its subject and the dots that it supersedes, in bytes.
const FIXED_VALUE_BYTES: usize = 7;

/// The unique number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Dot {
    /// The node at which the order was issued.
    pub origin: u16,
    /// That node's incarnation, and a counter within it.
    pub version: Version,
}

impl Dot {
    fn encode(&self, out: &mut Vec<u8>) {
        out.put_u16(self.origin);
        out.put_uint(self.version.incarnation, 6);
        out.put_u32(self.version.counter);
    }

    fn read(body: &mut &[u8]) -> Dot {
        let origin = body.get_u16();
        Dot { origin, version: Version { incarnation: body.get_uint(6), counter: body.get_u32() } }
    }

    /// Whether a list of superseded orders with this dot includes `other`: a later number of an origin stands for its
    /// earlier ones.
    fn includes(&self, other: &Dot) -> bool {
        (self.origin, self.version.incarnation) == (other.origin, other.version.incarnation)
            && self.version.counter >= other.version.counter
    }
}

/// What is ordered. The order of the variants is their rank: the greatest of concurrent orders takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// Earlier orders are lifted.
    Undrain,
    /// The server gets no new requests for a limited time.
    LeaveOut,
    /// The server gets no new requests until the order is lifted.
    Drain,
    /// All nodes log at this level: the higher the number, the more is logged.
    LogLevel(u8),
}

impl Action {
    fn code(self) -> u8 {
        match self {
            Action::Undrain => 0,
            Action::LeaveOut => 1,
            Action::Drain => 2,
            Action::LogLevel(level) => 16 + level.min(15),
        }
    }

    fn from_code(code: u8) -> Option<Action> {
        Some(match code {
            0 => Action::Undrain,
            1 => Action::LeaveOut,
            2 => Action::Drain,
            16..=31 => Action::LogLevel(code - 16),
            _ => return None,
        })
    }

    /// The name shown to operators.
    pub fn name(self) -> String {
        match self {
            Action::Undrain => "undrain".into(),
            Action::LeaveOut => "leave out".into(),
            Action::Drain => "drain".into(),
            Action::LogLevel(level) => format!("level {level}"),
        }
    }
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// Its unique number.
    pub dot: Dot,
    /// What is ordered.
    pub action: Action,
    /// The name of the server; empty if the order concerns the nodes themselves.
    pub subject: Vec<u8>,
    /// When it was issued, Unix time in seconds by the clock of its node. For display only.
    pub issued_at_unix_s: u32,
    /// The orders that it supersedes.
    pub supersedes: Vec<Dot>,
}

impl Order {
    /// The order in a record, if the record can be read.
    pub fn read(record: &Record) -> Option<Order> {
        let (mut name, mut body) = (&record.name[..], &record.value[..]);
        if record.kind != kind::ORDER || name.len() != DOT_BYTES - 2 || body.len() < FIXED_VALUE_BYTES {
            return None;
        }
        let version = Version { incarnation: name.get_uint(6), counter: name.get_u32() };
        let (action, issued_at_unix_s, subject_length) =
            (Action::from_code(body.get_u8())?, body.get_u32(), usize::from(body.get_u8()));
        if version != record.version || body.len() <= subject_length {
            return None;
        }
        let subject = body[..subject_length].to_vec();
        body.advance(subject_length);
        let count = usize::from(body.get_u8());
        let supersedes = (0..count.min(body.len() / DOT_BYTES)).map(|_| Dot::read(&mut body)).collect();
        Some(Order {
            dot: Dot { origin: record.origin, version },
            action,
            subject,
            issued_at_unix_s,
            supersedes,
        })
    }

    /// The record of the order; none if the subject is too long.
    pub fn record(&self) -> Option<Record> {
        if self.subject.len() > MAX_NAME_BYTES {
            return None;
        }
        let Dot { origin, version } = self.dot;
        let (mut name, mut value) = (Vec::with_capacity(DOT_BYTES), Vec::with_capacity(MAX_VALUE_BYTES));
        name.put_uint(version.incarnation, 6);
        name.put_u32(version.counter);
        value.put_u8(self.action.code());
        value.put_u32(self.issued_at_unix_s);
        value.put_u8(self.subject.len() as u8);
        value.put_slice(&self.subject);
        let supersedes = &self.supersedes[..self.supersedes.len().min(Order::max_superseded(&self.subject))];
        value.put_u8(supersedes.len() as u8);
        supersedes.iter().for_each(|dot| dot.encode(&mut value));
        Some(Record { kind: kind::ORDER, origin, name, version, value })
    }

    /// How many superseded orders fit into the record; any beyond these remain as concurrent orders.
    fn max_superseded(subject: &[u8]) -> usize {
        (MAX_VALUE_BYTES - FIXED_VALUE_BYTES - subject.len()) / DOT_BYTES
    }

    /// Whether it replaces another order. Two orders that claim to supersede each other do not.
    fn replaces(&self, other: &Order) -> bool {
        let supersedes = |one: &Order, two: &Order| one.supersedes.iter().any(|dot| dot.includes(&two.dot));
        self.dot != other.dot && supersedes(self, other) && !supersedes(other, self)
    }

    /// The rank among concurrent orders: the safest action is the greatest.
    fn rank(&self) -> (Action, Dot) {
        (self.action, self.dot)
    }

    /// Whether an order with this remaining lifetime is a tombstone: it has no effect, and is kept for what it supersedes.
    pub fn is_tombstone(&self, remaining: Option<Micros>) -> bool {
        match self.action {
            Action::Undrain => true,
            Action::LeaveOut => remaining.is_some_and(|remaining| remaining <= TOMBSTONE_RETENTION_US),
            Action::Drain | Action::LogLevel(_) => false,
        }
    }
}

/// The order that is in effect for one subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EffectiveOrder<'a> {
    /// The name of the server; empty for the nodes themselves.
    pub subject: &'a [u8],
    /// The order in effect.
    pub order: &'a Order,
    /// The id of its record.
    pub id: u64,
    /// Concurrent orders, which had not seen it, nor it them. They stay until an operator resolves the conflict.
    pub concurrent: Vec<&'a Order>,
}

impl EffectiveOrder<'_> {
    /// Whether a concurrent order contradicts it.
    pub fn is_conflict(&self) -> bool {
        self.concurrent.iter().any(|other| other.action != self.order.action)
    }
}

/// The orders that are held, by subject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Orders {
    by_subject: BTreeMap<Vec<u8>, Vec<(u64, Order)>>,
}

impl Orders {
    /// Whether an order that is held replaces this one.
    pub fn is_superseded(&self, order: &Order) -> bool {
        let held = self.by_subject.get(&order.subject);
        held.is_some_and(|held| held.iter().any(|(_, other)| other.replaces(order)))
    }

    /// Inserts an order; returns the ids of those that it replaces.
    pub fn insert(&mut self, id: u64, order: Order) -> Vec<u64> {
        let held = self.by_subject.entry(order.subject.clone()).or_default();
        let mut replaced = Vec::new();
        held.retain(|(other_id, other)| {
            let is_removed = *other_id == id || order.replaces(other);
            if is_removed && *other_id != id {
                replaced.push(*other_id);
            }
            !is_removed
        });
        held.push((id, order));
        held.sort_by_key(|(_, order)| std::cmp::Reverse(order.rank()));
        replaced
    }

    pub fn remove(&mut self, id: u64) {
        self.by_subject.retain(|_, held| {
            held.retain(|(other_id, _)| *other_id != id);
            !held.is_empty()
        });
    }

    /// What an order for a subject supersedes if it is issued now: all orders held for it, and those that they supersede.
    pub fn seen(&self, subject: &[u8]) -> Vec<Dot> {
        let mut seen: Vec<Dot> = Vec::new();
        let held = self.by_subject.get(subject).into_iter().flatten();
        let (current, superseded): (Vec<Dot>, Vec<Vec<Dot>>) =
            held.map(|(_, order)| (order.dot, order.supersedes.clone())).unzip();
        for dot in current.into_iter().chain(superseded.into_iter().flatten()) {
            match seen
                .iter_mut()
                .find(|seen| (seen.origin, seen.version.incarnation) == (dot.origin, dot.version.incarnation))
            {
                Some(seen) => seen.version.counter = seen.version.counter.max(dot.version.counter),
                None => seen.push(dot),
            }
        }
        seen
    }

    /// The order in effect for each subject.
    pub fn effective(&self) -> impl Iterator<Item = EffectiveOrder<'_>> {
        self.by_subject.iter().filter_map(|(subject, held)| {
            let ((id, order), concurrent) = held.split_first()?;
            let concurrent = concurrent.iter().map(|(_, other)| other).collect();
            Some(EffectiveOrder { subject, order, id: *id, concurrent })
        })
    }

    /// All orders that are held, with their ids.
    pub fn all(&self) -> impl Iterator<Item = (u64, &Order)> {
        self.by_subject.values().flatten().map(|(id, order)| (*id, order))
    }
}
