//! Operators' orders: an order covers those that whoever gave it had seen, and of orders that had not seen one another the
//! safest stands.
//!
//! Orders are a set that only grows: each has a number of its own (a [`Dot`]) and names what it covers, so that merging
//! copies is a union, less what is covered. A drain that is covered is dropped; what covers it is kept as its tombstone for
//! [`KEPT`], a time that runs only while all nodes of the list are here: whoever was away for however long finds the
//! tombstones of all that it still holds.

use std::collections::BTreeMap;

use bytes::{Buf, BufMut};
use lilacquay_codec::replica::{MAX_NAME_BYTES, MAX_VALUE_BYTES, Record, Version};

use crate::{Micros, kind};

/// A tombstone is kept for so long.
pub const KEPT: Micros = 600_000_000;
const DOT: usize = 12;
const HEAD: usize = 7;

/// The number of an order: no two have the same.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Dot {
    /// The node that it was given at.
    pub origin: u16,
    /// That node's incarnation and count.
    pub version: Version,
}

impl Dot {
    fn put(&self, out: &mut Vec<u8>) {
        out.put_u16(self.origin);
        out.put_uint(self.version.incarnation, 6);
        out.put_u32(self.version.counter);
    }

    fn read(body: &mut &[u8]) -> Dot {
        let origin = body.get_u16();
        Dot { origin, version: Version { incarnation: body.get_uint(6), counter: body.get_u32() } }
    }

    /// Whether this one, named as covered, covers that one: an origin's later numbers stand for its earlier ones.
    fn covers(&self, other: &Dot) -> bool {
        (self.origin, self.version.incarnation) == (other.origin, other.version.incarnation)
            && self.version.counter >= other.version.counter
    }
}

/// What is ordered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// What was ordered before is lifted.
    Undrain,
    /// The server gets nothing new for a time.
    LeaveOut,
    /// The server gets nothing new until that is lifted.
    Drain,
    /// All nodes log from this level on: the higher, the more.
    Level(u8),
}

impl Action {
    fn code(self) -> u8 {
        match self {
            Action::Undrain => 0,
            Action::LeaveOut => 1,
            Action::Drain => 2,
            Action::Level(level) => 16 + level.min(15),
        }
    }

    fn of(code: u8) -> Option<Action> {
        Some(match code {
            0 => Action::Undrain,
            1 => Action::LeaveOut,
            2 => Action::Drain,
            16..=31 => Action::Level(code - 16),
            _ => return None,
        })
    }

    /// What it is called.
    pub fn word(self) -> String {
        match self {
            Action::Undrain => "undrain".into(),
            Action::LeaveOut => "leave out".into(),
            Action::Drain => "drain".into(),
            Action::Level(level) => format!("level {level}"),
        }
    }
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// Its number.
    pub dot: Dot,
    /// What is ordered.
    pub action: Action,
    /// Of which server; of none if it is of the nodes themselves.
    pub subject: Vec<u8>,
    /// When it was given, Unix time in seconds by the clock of its node: to be shown, not to be gone by.
    pub at: u32,
    /// What it covers.
    pub covers: Vec<Dot>,
}

impl Order {
    /// The order that a record holds, if it can be read.
    pub fn read(record: &Record) -> Option<Order> {
        let (mut name, mut body) = (&record.name[..], &record.value[..]);
        if record.kind != kind::ORDER || name.len() != DOT - 2 || body.len() < HEAD {
            return None;
        }
        let version = Version { incarnation: name.get_uint(6), counter: name.get_u32() };
        let (action, at, length) = (Action::of(body.get_u8())?, body.get_u32(), usize::from(body.get_u8()));
        if version != record.version || body.len() <= length {
            return None;
        }
        let subject = body[..length].to_vec();
        body.advance(length);
        let n = usize::from(body.get_u8());
        let covers = (0..n.min(body.len() / DOT)).map(|_| Dot::read(&mut body)).collect();
        Some(Order { dot: Dot { origin: record.origin, version }, action, subject, at, covers })
    }

    /// The record that holds it. Of a subject that is too long nothing is held.
    pub fn record(&self) -> Option<Record> {
        if self.subject.len() > MAX_NAME_BYTES {
            return None;
        }
        let Dot { origin, version } = self.dot;
        let (mut name, mut value) = (Vec::with_capacity(DOT), Vec::with_capacity(MAX_VALUE_BYTES));
        name.put_uint(version.incarnation, 6);
        name.put_u32(version.counter);
        value.put_u8(self.action.code());
        value.put_u32(self.at);
        value.put_u8(self.subject.len() as u8);
        value.put_slice(&self.subject);
        let covers = &self.covers[..self.covers.len().min(Order::covers_most(&self.subject))];
        value.put_u8(covers.len() as u8);
        covers.iter().for_each(|dot| dot.put(&mut value));
        Some(Record { kind: kind::ORDER, origin, name, version, value })
    }

    /// How many others it can cover; those beyond stand beside it.
    fn covers_most(subject: &[u8]) -> usize {
        (MAX_VALUE_BYTES - HEAD - subject.len()) / DOT
    }

    /// Whether it takes the place of another. Two that claim it of each other don't.
    fn replaces(&self, other: &Order) -> bool {
        let covers = |one: &Order, two: &Order| one.covers.iter().any(|dot| dot.covers(&two.dot));
        self.dot != other.dot && covers(self, other) && !covers(other, self)
    }

    /// How it orders what it is of: the safest first.
    fn rank(&self) -> (Action, Dot) {
        (self.action, self.dot)
    }

    /// Whether it is a tombstone, when it has so long to live: it holds nothing, and is kept for what it covers.
    pub fn is_tombstone(&self, left: Option<Micros>) -> bool {
        match self.action {
            Action::Undrain => true,
            Action::LeaveOut => left.is_some_and(|left| left <= KEPT),
            Action::Drain | Action::Level(_) => false,
        }
    }
}

/// What holds for one subject.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing<'a> {
    /// Whose.
    pub subject: &'a [u8],
    /// The order that stands.
    pub order: &'a Order,
    /// By which id it is held.
    pub id: u64,
    /// Others that had not seen it, nor it them: they wait for somebody to settle it.
    pub beside: Vec<&'a Order>,
}

impl Standing<'_> {
    /// Whether orders stand that contradict each other.
    pub fn is_conflict(&self) -> bool {
        self.beside.iter().any(|other| other.action != self.order.action)
    }
}

/// The orders that are held, by subject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Orders {
    by_subject: BTreeMap<Vec<u8>, Vec<(u64, Order)>>,
}

impl Orders {
    /// Whether one that is held takes this one's place.
    pub fn is_covered(&self, order: &Order) -> bool {
        let held = self.by_subject.get(&order.subject);
        held.is_some_and(|held| held.iter().any(|(_, other)| other.replaces(order)))
    }

    /// Enters one; tells the ids of those whose place it takes.
    pub fn enter(&mut self, id: u64, order: Order) -> Vec<u64> {
        let held = self.by_subject.entry(order.subject.clone()).or_default();
        let mut covered = Vec::new();
        held.retain(|(other, was)| {
            let goes = *other == id || order.replaces(was);
            if goes && *other != id {
                covered.push(*other);
            }
            !goes
        });
        held.push((id, order));
        held.sort_by_key(|(_, order)| std::cmp::Reverse(order.rank()));
        covered
    }

    pub fn leave(&mut self, id: u64) {
        self.by_subject.retain(|_, held| {
            held.retain(|(other, _)| *other != id);
            !held.is_empty()
        });
    }

    /// What an order for a subject covers that is given now: all that stands there, and what that covers.
    pub fn seen(&self, subject: &[u8]) -> Vec<Dot> {
        let mut seen: Vec<Dot> = Vec::new();
        let held = self.by_subject.get(subject).into_iter().flatten();
        let (own, before): (Vec<Dot>, Vec<Vec<Dot>>) =
            held.map(|(_, order)| (order.dot, order.covers.clone())).unzip();
        for dot in own.into_iter().chain(before.into_iter().flatten()) {
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

    /// What stands, by subject.
    pub fn standing(&self) -> impl Iterator<Item = Standing<'_>> {
        self.by_subject.iter().filter_map(|(subject, held)| {
            let ((id, order), beside) = held.split_first()?;
            let beside = beside.iter().map(|(_, other)| other).collect();
            Some(Standing { subject, order, id: *id, beside })
        })
    }

    /// All that are held.
    pub fn all(&self) -> impl Iterator<Item = (u64, &Order)> {
        self.by_subject.values().flatten().map(|(id, order)| (*id, order))
    }
}
