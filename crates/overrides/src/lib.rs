//! An operator's orders on servers, laid over the list that a source of members tells.
//!
//! No I/O, no clock, no thread: [`Steer::list`] is told the list, [`Steer::ask`] an order, [`Steer::tick`] the time;
//! each tells which servers' states change by it, and those go to the decision module as any change of the list
//! does. `docs/design/appliance.md` has the reasons.

mod order;
mod overrides;

pub use order::{
    ActiveOrder, AppliedOrder, Order, OrderEffect, OrderRequest, PersistentOrder, Refusal, SharedOrder,
};
pub use overrides::{ListedServer, Overrides, State, StateChange};

/// A point in time or a duration, in microseconds. A point that lies before the latest one told counts as that.
pub type Micros = u64;
