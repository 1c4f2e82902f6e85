//! Who wins: the list or an order, one order or another.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;
use crate::order::{
    ActiveOrder, AppliedOrder, Order, OrderEffect, OrderRequest, PersistentOrder, Refusal, SharedOrder,
};

/// Orders that may hold at once.
const MOST: usize = 1024;

/// Whether a server that is listed takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// In service.
    Serving,
    /// Finishing what it has; gets nothing new.
    Draining,
}

/// A server, as the list has it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// Its name.
    pub name: String,
    /// Its state; nothing if it is gone.
    pub state: Option<State>,
    /// Whether it is the origin.
    pub origin: bool,
}

/// A server whose state is another than was told before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// Its name.
    pub server: String,
    /// Its state from now on.
    pub state: State,
}

struct Server {
    listed: State,
    origin: bool,
    told: State,
}

/// The list with the orders on it.
///
/// - What is gone from the list is gone, whatever was ordered.
/// - A server serves only if both list and operator let it: neither overrides the other's drain.
/// - Of two orders for one server the later holds, unless it says which it was given in sight of, and was not.
/// - An order that would leave no cache in service is refused unless it is forced. Where the list brings that about
///   later, those that were left out for a time are let in, as long as it is so; a drain holds, for whoever ordered
///   it may be at the machine.
/// - An order ends with its server's place in the list, unless it lasts or is held in common.
/// - Orders that the nodes hold in common come and go together, as those nodes have agreed; a node's own stay beside them.
/// - What others say of a server leaves it out for as long as they say so, unless no cache would serve any more.
#[derive(Default)]
pub struct Overrides {
    servers: BTreeMap<String, Server>,
    orders: BTreeMap<String, ActiveOrder>,
    /// By server, what an order in common is known by.
    marks: BTreeMap<String, String>,
    /// Left out on the word of others.
    hearsay: BTreeSet<String>,
    numbers: u64,
    now: Micros,
}

impl Overrides {
    /// No servers, and no orders.
    pub fn new() -> Self {
        Overrides::default()
    }

    /// The orders that lasted over a restart hold again; what is over meanwhile does not.
    pub fn restore(&mut self, now: Micros, kept: Vec<PersistentOrder>) {
        self.now = self.now.max(now);
        for PersistentOrder { server, remaining: left, mark } in kept.into_iter().take(MOST) {
            let hold = left
                .map_or(OrderEffect::Drain, |left| OrderEffect::ExcludedUntil(self.now.saturating_add(left)));
            self.numbers += 1;
            let common = mark.is_some();
            self.marks.extend(mark.map(|mark| (server.clone(), mark)));
            self.orders.insert(
                server,
                ActiveOrder { effect: hold, lasting: true, shared: common, number: self.numbers },
            );
        }
        self.expire();
    }

    /// Goes by the orders that the nodes hold in common now, in place of those before; `whole`: these are all, so that one
    /// that is missing was lifted. Tells which servers' states change.
    pub fn apply_shared_orders(
        &mut self,
        now: Micros,
        whole: bool,
        orders: Vec<SharedOrder>,
    ) -> Vec<StateChange> {
        self.now = self.now.max(now);
        if whole {
            let named: BTreeSet<&str> = orders.iter().map(|order| order.server.as_str()).collect();
            self.orders.retain(|server, held| !held.shared || named.contains(server.as_str()));
            self.marks.clear();
        }
        for SharedOrder { server, effect: hold, mark } in orders {
            let before = self.orders.get(&server).copied();
            if before.is_none() && self.orders.len() >= MOST {
                continue;
            }
            let same = before.filter(|before| before.shared && before.effect == hold);
            self.numbers += u64::from(same.is_none());
            let number = same.map_or(self.numbers, |same| same.number);
            let lasting = before.is_some_and(|before| before.lasting);
            self.marks.insert(server.clone(), mark);
            self.orders.insert(server, ActiveOrder { effect: hold, lasting, shared: true, number });
        }
        self.expire();
        self.settle()
    }

    /// Leaves these out, and none that were left out on hearsay before. Tells which servers' states change.
    pub fn set_peer_exclusions(&mut self, now: Micros, servers: BTreeSet<String>) -> Vec<StateChange> {
        self.now = self.now.max(now);
        self.hearsay = servers;
        self.settle()
    }

    /// The orders that are to last over a restart.
    pub fn persistent_orders(&self) -> Vec<PersistentOrder> {
        let lasting = self.orders.iter().filter(|(_, held)| held.lasting);
        let kept = |(server, held): (&String, &ActiveOrder)| {
            let left = match held.effect {
                OrderEffect::Drain => None,
                OrderEffect::ExcludedUntil(until) => Some(until.saturating_sub(self.now)),
            };
            PersistentOrder { server: server.clone(), remaining: left, mark: self.marks.get(server).cloned() }
        };
        lasting.map(kept).collect()
    }

    /// Takes over what a source of members tells: the whole list, or what has changed in it. Tells the states of
    /// the servers that it names, and of others whose state changes by it.
    pub fn apply_list(&mut self, now: Micros, full: bool, servers: Vec<ListedServer>) -> Vec<StateChange> {
        self.now = self.now.max(now);
        let named: Vec<String> = servers.iter().map(|listed| listed.name.clone()).collect();
        if full {
            let old = std::mem::take(&mut self.servers);
            servers.into_iter().for_each(|listed| self.enter(listed));
            old.into_keys().for_each(|name| self.forget_unlisted(&name));
        } else {
            servers.into_iter().for_each(|listed| self.enter(listed));
            named.iter().for_each(|name| self.forget_unlisted(name));
        }
        self.expire();
        let mut changes = self.settle();
        // Those that are named are told whether they have changed or not: the core was not told them before.
        let untold = |name: &&String| changes.iter().all(|change| change.server != **name);
        let more: Vec<StateChange> = named.iter().filter(untold).filter_map(|name| self.told(name)).collect();
        changes.extend(more);
        changes
    }

    /// Obeys an order, or says why not. Tells which servers' states change, by it or since time has passed.
    pub fn apply_order(
        &mut self,
        now: Micros,
        ask: &OrderRequest,
    ) -> (Result<AppliedOrder, Refusal>, Vec<StateChange>) {
        self.now = self.now.max(now);
        self.expire();
        let done = self.obey(ask);
        self.expire(); // no time is over at once
        (done, self.settle())
    }

    fn obey(&mut self, ask: &OrderRequest) -> Result<AppliedOrder, Refusal> {
        let held = self.orders.get(&ask.server).copied();
        let latest = held.map_or(0, |held| held.number);
        if ask.seen.is_some_and(|seen| seen != latest) {
            return Err(Refusal::Conflict(latest));
        }
        let hold = match ask.order {
            Order::Undrain => return self.lift(&ask.server),
            Order::Drain => OrderEffect::Drain,
            Order::Exclude(time) => OrderEffect::ExcludedUntil(self.now.saturating_add(time)),
        };
        let server = self.servers.get(&ask.server).ok_or(Refusal::UnknownServer)?;
        if server.origin {
            return Err(Refusal::Origin);
        }
        if held.is_none() && self.orders.len() >= MOST {
            return Err(Refusal::TooMany(MOST));
        }
        // One that serves no more by the list takes nothing away.
        let others = self.servers.iter().any(|(name, other)| *name != ask.server && self.serves(name, other));
        let forced = ask.force && ask.order == Order::Drain; // left out for a time, it would be let in at once
        if server.listed == State::Serving && !others && !forced {
            return Err(Refusal::LastServing);
        }
        self.numbers += 1;
        let new = ActiveOrder { effect: hold, lasting: ask.lasting, shared: false, number: self.numbers };
        let replaced = self.orders.insert(ask.server.clone(), new);
        Ok(AppliedOrder { number: self.numbers, replaced })
    }

    fn lift(&mut self, server: &str) -> Result<AppliedOrder, Refusal> {
        match self.orders.remove(server) {
            Some(held) => {
                self.numbers += 1;
                Ok(AppliedOrder { number: self.numbers, replaced: Some(held) })
            }
            None if self.servers.contains_key(server) => Err(Refusal::NoOrder),
            None => Err(Refusal::UnknownServer),
        }
    }

    /// Ends what is over. Tells which servers' states change by it.
    pub fn tick(&mut self, now: Micros) -> Vec<StateChange> {
        self.now = self.now.max(now);
        self.expire();
        self.settle()
    }

    /// When the next order ends by itself.
    pub fn next_expiry(&self) -> Option<Micros> {
        self.orders.values().filter_map(until).min()
    }

    /// The order that holds a server.
    pub fn active_order(&self, server: &str) -> Option<ActiveOrder> {
        self.orders.get(server).copied()
    }

    /// All orders that hold, by server.
    pub fn active_orders(&self) -> impl Iterator<Item = (&str, ActiveOrder)> {
        self.orders.iter().map(|(server, held)| (server.as_str(), *held))
    }

    fn enter(&mut self, ListedServer { name, state, origin }: ListedServer) {
        let Some(listed) = state else {
            self.servers.remove(&name);
            return;
        };
        let told = self.servers.get(&name).map_or(listed, |server| server.told);
        self.servers.insert(name, Server { listed, origin, told });
    }

    /// A name that comes back may be another machine's.
    fn forget_unlisted(&mut self, name: &str) {
        let ends = |held: &ActiveOrder| !held.lasting && !held.shared;
        if !self.servers.contains_key(name) && self.orders.get(name).is_some_and(ends) {
            self.orders.remove(name);
        }
    }

    fn expire(&mut self) {
        let now = self.now;
        self.orders.retain(|_, held| until(held).is_none_or(|until| until > now));
    }

    fn serves(&self, name: &str, server: &Server) -> bool {
        !server.origin
            && server.listed == State::Serving
            && !self.orders.contains_key(name)
            && !self.hearsay.contains(name)
    }

    /// Sets all states by list and orders; tells which have changed.
    fn settle(&mut self) -> Vec<StateChange> {
        let starved = !self.servers.iter().any(|(name, server)| self.serves(name, server));
        let mut changes = Vec::new();
        for (name, server) in &mut self.servers {
            let held = self.orders.get(name).filter(|_| !server.origin);
            let state = match held.map(|held| held.effect) {
                Some(OrderEffect::Drain) => State::Draining,
                Some(OrderEffect::ExcludedUntil(_)) if !starved => State::Draining,
                _ if !starved && !server.origin && self.hearsay.contains(name) => State::Draining,
                _ => server.listed,
            };
            if std::mem::replace(&mut server.told, state) != state {
                changes.push(StateChange { server: name.clone(), state });
            }
        }
        changes
    }

    fn told(&self, name: &str) -> Option<StateChange> {
        self.servers.get(name).map(|server| StateChange { server: name.to_owned(), state: server.told })
    }
}

fn until(held: &ActiveOrder) -> Option<Micros> {
    match held.effect {
        OrderEffect::Drain => None,
        OrderEffect::ExcludedUntil(until) => Some(until),
    }
}
