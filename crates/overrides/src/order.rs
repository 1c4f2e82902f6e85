//! Orders that operators give, the orders in force, and the reasons for which an order is refused.

use std::fmt;

use crate::Micros;

/// An operator's order for a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// Drain it: it finishes the requests it has and gets no new ones, until [`Order::Undrain`].
    Drain,
    /// Send it no new requests for this duration, in microseconds.
    Exclude(Micros),
    /// Remove the order in force for it. Its state in the list is unaffected.
    Undrain,
}

/// An operator's order with its options.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderRequest {
    /// Name of the server in the list.
    pub server: String,
    /// What to do with the server.
    pub order: Order,
    /// Whether the order survives a restart, and the server's absence from the list.
    pub persistent: bool,
    /// Whether to drain even if no cache is left in service.
    pub force: bool,
    /// Number of the server's latest order that the operator has seen, 0 for none. The order is refused if
    /// the latest order is another one. `None` skips this check.
    pub seen: Option<u64>,
}

/// Effect of an order in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderEffect {
    /// Drained until the order is removed.
    Drain,
    /// Excluded from new requests until this time.
    ExcludedUntil(Micros),
}

/// An order in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActiveOrder {
    /// Its effect on the server.
    pub effect: OrderEffect,
    /// Whether it survives a restart.
    pub persistent: bool,
    /// Whether it is replicated to all nodes rather than local to this one.
    pub replicated: bool,
    /// Its number; later orders have higher numbers.
    pub number: u64,
}

/// An order that is replicated to all nodes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicatedOrder {
    /// Name of the server.
    pub server: String,
    /// Its effect on the server.
    pub effect: OrderEffect,
    /// Identifies the order among the nodes. It is stored with an order that survives restarts, and sent again after
    /// a restart.
    pub mark: String,
}

/// An order as it is stored across a restart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PersistentOrder {
    /// Name of the server.
    pub server: String,
    /// Remaining exclusion time; `None` for a drain.
    pub remaining: Option<Micros>,
    /// Identifies the order among the nodes, if it is replicated.
    pub mark: Option<String>,
}

/// Result of an accepted order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedOrder {
    /// Number of the order.
    pub number: u64,
    /// The order that it replaced.
    pub replaced: Option<ActiveOrder>,
}

/// Why an order was refused. A refused order changes nothing.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The server is not in the list.
    UnknownServer,
    /// No cache would be left in service.
    LastServing,
    /// Another order, with this number, was given since the one that the operator has seen.
    Conflict(u64),
    /// No order is in force for the server. If it is out of service, that is due to the list.
    NoOrder,
    /// The server is the origin, which nothing can replace.
    Origin,
    /// The maximum number of orders, given here, is in force already.
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
