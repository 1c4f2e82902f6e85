//! Operator orders on servers, applied over the server list that a membership source provides.
//!
//! No I/O, clock or threads. [`Overrides::apply_list`] takes the list, [`Overrides::apply_order`] an order and
//! [`Overrides::tick`] the time. Each returns the servers whose state changes, which are passed on to the decision
//! module like any other change of the list. `docs/design/appliance.md` gives the reasons.

mod order;
mod overrides;

pub use order::{
    ActiveOrder, AppliedOrder, Order, OrderEffect, OrderRequest, PersistentOrder, Refusal, ReplicatedOrder,
};
pub use overrides::{ListedServer, Overrides, State, StateChange};

/// A point in time or a duration, in microseconds. A point before the latest one seen counts as the latest.
pub type Micros = u64;
