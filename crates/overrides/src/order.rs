//! What operators ask for, and what they are answered.

use std::fmt;

use crate::Micros;

/// What is to be done with a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// It finishes what it has and gets nothing new, until [`Order::Undrain`].
    Drain,
    /// It gets nothing new for so long, in microseconds.
    Exclude(Micros),
    /// What an operator ordered for it ends. What the list says of it stays.
    Undrain,
}

/// An order, as an operator gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// The server's name in the list.
    pub server: String,
    /// What is to be done.
    pub order: Order,
    /// Whether it holds over a restart, and while the list lacks the server.
    pub lasting: bool,
    /// Whether a drain is meant even if no cache serves after it.
    pub force: bool,
    /// The number of the server's latest order that the operator has seen, 0 for none; nothing to order whatever
    /// others have ordered.
    pub seen: Option<u64>,
}

/// How an order holds a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEffect {
    /// Until it is lifted.
    Drain,
    /// Until this time.
    ExcludedUntil(Micros),
}

/// An order that holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActiveOrder {
    /// How.
    pub effect: OrderEffect,
    /// Whether it lasts over a restart.
    pub lasting: bool,
    /// Whether it is one that all nodes hold in common, rather than this node's alone.
    pub shared: bool,
    /// Its number: later orders have higher ones.
    pub number: u64,
}

/// An order that all nodes hold in common.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedOrder {
    /// The server.
    pub server: String,
    /// How it holds it.
    pub effect: OrderEffect,
    /// What it is known by among the nodes: kept with an order that lasts, and told again after a restart.
    pub mark: String,
}

/// An order that lasts, as it is kept over a restart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PersistentOrder {
    /// The server.
    pub server: String,
    /// How much longer it is left out; nothing for a drain.
    pub remaining: Option<Micros>,
    /// What it is known by among the nodes, if they hold it in common.
    pub mark: Option<String>,
}

/// An order that was obeyed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedOrder {
    /// Its number.
    pub number: u64,
    /// The order that it took the place of.
    pub replaced: Option<ActiveOrder>,
}

/// Why an order was not obeyed. Nothing has changed then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The list has no such server.
    UnknownServer,
    /// No cache would serve any more.
    LastServing,
    /// Another order came between, of this number.
    Conflict(u64),
    /// No order holds the server: what keeps it from serving, if anything, is the list.
    NoOrder,
    /// It is the origin, which has no stand-in.
    Origin,
    /// So many orders hold already.
    TooMany(usize),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::UnknownServer => write!(f, "the list has no server of that name; look at the list"),
            Refusal::LastServing => {
                write!(f, "no cache would serve any more; bring another in first, or force the order")
            }
            Refusal::Conflict(number) => {
                write!(f, "order {number} for that server came between; look at it and order again")
            }
            Refusal::NoOrder => {
                write!(f, "no order holds that server; if it drains, it does so by the list: change it there")
            }
            Refusal::Origin => write!(f, "that is the origin, and nothing could stand in for it"),
            Refusal::TooMany(most) => write!(f, "{most} orders hold already; lift one first"),
        }
    }
}

impl std::error::Error for Refusal {}
