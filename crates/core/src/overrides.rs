//! Applies operators' orders to the list of servers before the balancer sees it.

use std::collections::{BTreeSet, HashMap};

use lilacquay_overrides::{
    ActiveOrder, AppliedOrder, ListedServer, OrderRequest, Overrides, PersistentOrder, Refusal,
    ReplicatedOrder, StateChange,
};
use paddlefold::Micros;

use crate::list::{ServerEntry, ServerList, ServerState};

/// The orders in force.
#[derive(Debug, Clone)]
pub struct OrdersInForce {
    /// The orders by server name.
    pub orders: Vec<(String, ActiveOrder)>,
    /// The orders among them that persist over a restart.
    pub kept: Vec<PersistentOrder>,
    /// The current time, on the clock of the orders' expiry times.
    pub now: Micros,
}

/// The status of a server in a running core.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerStatus {
    /// The server's name in the list.
    pub name: String,
    /// The name of the server's zone.
    pub zone: String,
    /// The name of the server's machine type.
    pub kind: String,
    /// The state according to the list.
    pub listed_state: ServerState,
    /// The state that results from the list and the orders.
    pub effective_state: ServerState,
    /// This node's attempts that are in flight at the server.
    pub attempts_in_flight: usize,
    /// This node's idle connections to the server.
    pub idle_connections: usize,
    /// The order in force on the server.
    pub order: Option<ActiveOrder>,
}

/// The list as its source reports it, with operators' orders applied.
pub(crate) struct OverriddenList {
    overrides: Overrides,
    entries: HashMap<String, ServerEntry>,
}

impl OverriddenList {
    /// Creates an empty list with the orders that persisted over a restart.
    pub fn new(now: Micros, kept: Vec<PersistentOrder>) -> Self {
        let mut overrides = Overrides::new();
        overrides.restore(now, kept);
        OverriddenList { overrides, entries: HashMap::new() }
    }

    /// Applies a list from its source and returns it as modified by the orders.
    pub fn apply_list(
        &mut self,
        now: Micros,
        list: ServerList,
        is_origin: impl Fn(&str) -> bool,
    ) -> ServerList {
        let ServerList { full, servers } = list;
        let to_listed = |entry: &ServerEntry| ListedServer {
            name: entry.id.clone(),
            state: match entry.state {
                ServerState::Serving => Some(lilacquay_overrides::State::Serving),
                ServerState::Draining => Some(lilacquay_overrides::State::Draining),
                ServerState::Deleted => None,
            },
            origin: is_origin(&entry.kind),
        };
        let changes = self.overrides.apply_list(now, full, servers.iter().map(to_listed).collect());
        if full {
            self.entries.clear();
        }
        let mut updated = Vec::new();
        for entry in servers {
            if entry.state == ServerState::Deleted {
                self.entries.remove(&entry.id);
                updated.push(entry);
            } else {
                self.entries.insert(entry.id.clone(), entry);
            }
        }
        updated.extend(self.changed_entries(changes));
        ServerList { full, servers: updated }
    }

    /// Applies an order or refuses it; also returns the servers that change.
    pub fn apply_order(
        &mut self,
        now: Micros,
        ask: &OrderRequest,
    ) -> (Result<AppliedOrder, Refusal>, ServerList) {
        let (done, changes) = self.overrides.apply_order(now, ask);
        (done, ServerList { full: false, servers: self.changed_entries(changes) })
    }

    /// Applies orders that the nodes have replicated; `complete` if these are all. Returns the servers that change.
    pub fn apply_replicated_orders(
        &mut self,
        now: Micros,
        complete: bool,
        orders: Vec<ReplicatedOrder>,
    ) -> ServerList {
        let changes = self.overrides.apply_replicated_orders(now, complete, orders);
        ServerList { full: false, servers: self.changed_entries(changes) }
    }

    /// Excludes the servers that the lists of other nodes have removed; returns the servers that change.
    pub fn set_removed_by_peers(&mut self, now: Micros, servers: BTreeSet<String>) -> ServerList {
        let changes = self.overrides.set_peer_exclusions(now, servers);
        ServerList { full: false, servers: self.changed_entries(changes) }
    }

    /// The orders in force.
    pub fn orders_in_force(&self, now: Micros) -> OrdersInForce {
        let orders = self.overrides.active_orders().map(|(server, held)| (server.to_owned(), held)).collect();
        OrdersInForce { orders, kept: self.overrides.persistent_orders(), now }
    }

    /// Lifts orders that have expired; returns the servers that change.
    pub fn expire_orders(&mut self, now: Micros) -> ServerList {
        let changes = self.overrides.tick(now);
        ServerList { full: false, servers: self.changed_entries(changes) }
    }

    /// The listed servers, sorted by name. `current` returns, for a server name, whether the server is serving, its
    /// attempts in flight and its idle connections.
    pub fn servers(&self, current: impl Fn(&str) -> (bool, usize, usize)) -> Vec<ServerStatus> {
        let to_status = |entry: &ServerEntry| {
            let (is_serving, attempts_in_flight, idle_connections) = current(&entry.id);
            ServerStatus {
                name: entry.id.clone(),
                zone: entry.zone.clone(),
                kind: entry.kind.clone(),
                listed_state: entry.state,
                effective_state: if is_serving { ServerState::Serving } else { ServerState::Draining },
                attempts_in_flight,
                idle_connections,
                order: self.overrides.active_order(&entry.id),
            }
        };
        let mut servers: Vec<ServerStatus> = self.entries.values().map(to_status).collect();
        servers.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        servers
    }

    /// The entries of the servers that change, with their new states.
    fn changed_entries(&self, changes: Vec<StateChange>) -> Vec<ServerEntry> {
        let to_entry = |change: StateChange| {
            let state = match change.state {
                lilacquay_overrides::State::Serving => ServerState::Serving,
                lilacquay_overrides::State::Draining => ServerState::Draining,
            };
            self.entries.get(&change.server).map(|entry| ServerEntry { state, ..entry.clone() })
        };
        changes.into_iter().filter_map(to_entry).collect()
    }
}
