//! Combines the server list with the orders in force, and resolves conflicts between them.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;
use crate::order::{
    ActiveOrder, AppliedOrder, Order, OrderEffect, OrderRequest, PersistentOrder, Refusal, ReplicatedOrder,
};

/// Maximum number of orders in force at once.
const MAX_ORDERS: usize = 1024;

/// Whether a listed server takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// In service.
    Serving,
    /// Finishing the requests it has; gets no new ones.
    Draining,
}

/// A server as given by the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Its name.
    pub name: String,
    /// Its state; `None` if it has been removed from the list.
    pub state: Option<State>,
    /// Whether it is the origin.
    pub origin: bool,
}

/// A server whose effective state differs from the one reported before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// Its name.
    pub server: String,
    /// Its new effective state.
    pub state: State,
}

struct Server {
    /// State according to the list.
    listed: State,
    origin: bool,
    /// Effective state as last reported to the caller.
    reported: State,
}

/// The server list with the operator's orders applied.
///
/// - A server that is removed from the list is gone, whatever was ordered.
/// - A server serves only if both the list and the operator allow it: neither overrides the other's drain.
/// - Of two orders for one server the later one is in force. An order that names the latest order seen by its operator
///   is refused if that is not the latest any more.
/// - An order that would leave no cache in service is refused unless it is forced. If a later change of the list has
///   that effect, temporarily excluded servers are used again until another cache serves; drained ones are not, since
///   the operator may be working on the machine.
/// - An order ends when its server leaves the list, unless it survives restarts or is replicated.
/// - Replicated orders are replaced as a set, as the nodes have agreed on them; a node's local orders stay beside them.
/// - A server that other nodes' server lists have as draining or removed is excluded for as long as they do, unless no
///   cache would be left in service.
#[derive(Default)]
pub struct Overrides {
    servers: BTreeMap<String, Server>,
    orders: BTreeMap<String, ActiveOrder>,
    /// Identifier of the replicated order, by server.
    marks: BTreeMap<String, String>,
    /// Servers excluded because other nodes' server lists have them as draining or removed.
    peer_exclusions: BTreeSet<String>,
    /// Number of the latest order.
    last_number: u64,
    now: Micros,
}

impl Overrides {
    /// Starts with no servers and no orders.
    pub fn new() -> Self {
        Overrides::default()
    }

    /// Restores the orders that were stored before a restart, except for those that have expired since.
    pub fn restore(&mut self, now: Micros, stored: Vec<PersistentOrder>) {
        self.now = self.now.max(now);
        for PersistentOrder { server, remaining, mark } in stored.into_iter().take(MAX_ORDERS) {
            let effect = remaining.map_or(OrderEffect::Drain, |remaining| {
                OrderEffect::ExcludedUntil(self.now.saturating_add(remaining))
            });
            self.last_number += 1;
            let replicated = mark.is_some();
            self.marks.extend(mark.map(|mark| (server.clone(), mark)));
            self.orders.insert(
                server,
                ActiveOrder { effect, persistent: true, replicated, number: self.last_number },
            );
        }
        self.expire();
    }

    /// Applies the replicated orders. With `complete`, they are the complete set, and orders missing from it are removed.
    /// Returns the servers whose state changes.
    pub fn apply_replicated_orders(
        &mut self,
        now: Micros,
        complete: bool,
        orders: Vec<ReplicatedOrder>,
    ) -> Vec<StateChange> {
        self.now = self.now.max(now);
        if complete {
            let named: BTreeSet<&str> = orders.iter().map(|order| order.server.as_str()).collect();
            self.orders.retain(|server, order| !order.replicated || named.contains(server.as_str()));
            self.marks.clear();
        }
        for ReplicatedOrder { server, effect, mark } in orders {
            let before = self.orders.get(&server).copied();
            if before.is_none() && self.orders.len() >= MAX_ORDERS {
                continue;
            }
            let unchanged = before.filter(|before| before.replicated && before.effect == effect);
            self.last_number += u64::from(unchanged.is_none());
            let number = unchanged.map_or(self.last_number, |unchanged| unchanged.number);
            let persistent = before.is_some_and(|before| before.persistent);
            self.marks.insert(server.clone(), mark);
            self.orders.insert(server, ActiveOrder { effect, persistent, replicated: true, number });
        }
        self.expire();
        self.update_states()
    }

    /// Replaces the set of servers excluded because other nodes' server lists have them as draining or removed. Returns
    /// the servers whose state changes.
    pub fn set_peer_exclusions(&mut self, now: Micros, servers: BTreeSet<String>) -> Vec<StateChange> {
        self.now = self.now.max(now);
        self.peer_exclusions = servers;
        self.update_states()
    }

    /// The orders to store across a restart.
    pub fn persistent_orders(&self) -> Vec<PersistentOrder> {
        let persistent_orders = self.orders.iter().filter(|(_, order)| order.persistent);
        let to_persistent = |(server, order): (&String, &ActiveOrder)| {
            let remaining = match order.effect {
                OrderEffect::Drain => None,
                OrderEffect::ExcludedUntil(until) => Some(until.saturating_sub(self.now)),
            };
            PersistentOrder { server: server.clone(), remaining, mark: self.marks.get(server).cloned() }
        };
        persistent_orders.map(to_persistent).collect()
    }

    /// Applies the full list, or the changes to it. Returns the state of each server it names, and of others whose state
    /// changes.
    pub fn apply_list(&mut self, now: Micros, full: bool, servers: Vec<ListedServer>) -> Vec<StateChange> {
        self.now = self.now.max(now);
        let named: Vec<String> = servers.iter().map(|listed| listed.name.clone()).collect();
        if full {
            let old = std::mem::take(&mut self.servers);
            servers.into_iter().for_each(|listed| self.set_listed(listed));
            old.into_keys().for_each(|name| self.drop_order_if_unlisted(&name));
        } else {
            servers.into_iter().for_each(|listed| self.set_listed(listed));
            named.iter().for_each(|name| self.drop_order_if_unlisted(name));
        }
        self.expire();
        let mut changes = self.update_states();
        // Every named server is reported, changed or not: the core has not seen its entry before.
        let is_unreported = |name: &&String| changes.iter().all(|change| change.server != **name);
        let unchanged: Vec<StateChange> =
            named.iter().filter(is_unreported).filter_map(|name| self.reported_state(name)).collect();
        changes.extend(unchanged);
        changes
    }

    /// Applies an order or returns why it is refused, with the servers whose state changes, also because orders have
    /// expired.
    pub fn apply_order(
        &mut self,
        now: Micros,
        request: &OrderRequest,
    ) -> (Result<AppliedOrder, Refusal>, Vec<StateChange>) {
        self.now = self.now.max(now);
        self.expire();
        let result = self.accept_order(request);
        self.expire(); // an exclusion of zero length expires at once
        (result, self.update_states())
    }

    fn accept_order(&mut self, request: &OrderRequest) -> Result<AppliedOrder, Refusal> {
        let current = self.orders.get(&request.server).copied();
        let latest = current.map_or(0, |order| order.number);
        if request.seen.is_some_and(|seen| seen != latest) {
            return Err(Refusal::Conflict(latest));
        }
        let effect = match request.order {
            Order::Undrain => return self.remove_order(&request.server),
            Order::Drain => OrderEffect::Drain,
            Order::Exclude(time) => OrderEffect::ExcludedUntil(self.now.saturating_add(time)),
        };
        let server = self.servers.get(&request.server).ok_or(Refusal::UnknownServer)?;
        if server.origin {
            return Err(Refusal::Origin);
        }
        if current.is_none() && self.orders.len() >= MAX_ORDERS {
            return Err(Refusal::TooMany(MAX_ORDERS));
        }
        // Draining a server that the list has out of service already takes no capacity away.
        let others_serve = self
            .servers
            .iter()
            .any(|(name, other)| *name != request.server && self.is_available(name, other));
        // Force does not apply to a temporary exclusion: the excluded server would be used again at once.
        let forced = request.force && request.order == Order::Drain;
        if server.listed == State::Serving && !others_serve && !forced {
            return Err(Refusal::LastServing);
        }
        self.last_number += 1;
        let order = ActiveOrder {
            effect,
            persistent: request.persistent,
            replicated: false,
            number: self.last_number,
        };
        let replaced = self.orders.insert(request.server.clone(), order);
        Ok(AppliedOrder { number: self.last_number, replaced })
    }

    fn remove_order(&mut self, server: &str) -> Result<AppliedOrder, Refusal> {
        match self.orders.remove(server) {
            Some(order) => {
                self.last_number += 1;
                Ok(AppliedOrder { number: self.last_number, replaced: Some(order) })
            }
            None if self.servers.contains_key(server) => Err(Refusal::NoOrder),
            None => Err(Refusal::UnknownServer),
        }
    }

    /// Removes expired orders. Returns the servers whose state changes.
    pub fn tick(&mut self, now: Micros) -> Vec<StateChange> {
        self.now = self.now.max(now);
        self.expire();
        self.update_states()
    }

    /// When the next order expires.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.orders.values().filter_map(expiry).min()
    }

    /// The order in force for a server.
    pub fn active_order(&self, server: &str) -> Option<ActiveOrder> {
        self.orders.get(server).copied()
    }

    /// All orders in force, by server.
    pub fn active_orders(&self) -> impl Iterator<Item = (&str, ActiveOrder)> {
        self.orders.iter().map(|(server, order)| (server.as_str(), *order))
    }

    fn set_listed(&mut self, ListedServer { name, state, origin }: ListedServer) {
        let Some(listed) = state else {
            self.servers.remove(&name);
            return;
        };
        let reported = self.servers.get(&name).map_or(listed, |server| server.reported);
        self.servers.insert(name, Server { listed, origin, reported });
    }

    /// Removes the order for a server that has left the list: the name may come back as another machine.
    fn drop_order_if_unlisted(&mut self, name: &str) {
        let ends_with_listing = |order: &ActiveOrder| !order.persistent && !order.replicated;
        if !self.servers.contains_key(name) && self.orders.get(name).is_some_and(ends_with_listing) {
            self.orders.remove(name);
        }
    }

    fn expire(&mut self) {
        let now = self.now;
        self.orders.retain(|_, order| expiry(order).is_none_or(|expiry| expiry > now));
    }

    fn is_available(&self, name: &str, server: &Server) -> bool {
        !server.origin
            && server.listed == State::Serving
            && !self.orders.contains_key(name)
            && !self.peer_exclusions.contains(name)
    }

    /// Recomputes all effective states and returns those that have changed.
    fn update_states(&mut self) -> Vec<StateChange> {
        let none_serving = !self.servers.iter().any(|(name, server)| self.is_available(name, server));
        let mut changes = Vec::new();
        for (name, server) in &mut self.servers {
            let order = self.orders.get(name).filter(|_| !server.origin);
            let state = match order.map(|order| order.effect) {
                Some(OrderEffect::Drain) => State::Draining,
                Some(OrderEffect::ExcludedUntil(_)) if !none_serving => State::Draining,
                _ if !none_serving && !server.origin && self.peer_exclusions.contains(name) => {
                    State::Draining
                }
                _ => server.listed,
            };
            if std::mem::replace(&mut server.reported, state) != state {
                changes.push(StateChange { server: name.clone(), state });
            }
        }
        changes
    }

    fn reported_state(&self, name: &str) -> Option<StateChange> {
        self.servers.get(name).map(|server| StateChange { server: name.to_owned(), state: server.reported })
    }
}

/// When an order expires; `None` for a drain.
fn expiry(order: &ActiveOrder) -> Option<Micros> {
    match order.effect {
        OrderEffect::Drain => None,
        OrderEffect::ExcludedUntil(until) => Some(until),
    }
}
