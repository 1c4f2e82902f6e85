//! An operator's orders, between the list of servers and the decision module.

use std::collections::{BTreeSet, HashMap};

use lilacquay_overrides::{Ask, Change, Common, Done, Held, Kept, Listed, Refusal, Steer};
use paddlefold::Micros;

use crate::list::{ServerEntry, ServerList, ServerState};

/// The orders that hold.
#[derive(Debug, Clone)]
pub struct OrdersInForce {
    /// By server.
    pub orders: Vec<(String, Held)>,
    /// Those of them that are to last over a restart.
    pub kept: Vec<Kept>,
    /// The time, by which they end.
    pub now: Micros,
}

/// A server as a running core has it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerStatus {
    /// Its name in the list.
    pub name: String,
    /// Its zone, by name.
    pub zone: String,
    /// Its kind of machine, by name.
    pub kind: String,
    /// What the list says.
    pub listed_state: ServerState,
    /// What holds, under the orders.
    pub effective_state: ServerState,
    /// Our requests that are out there.
    pub attempts_in_flight: usize,
    /// Our connections that rest there.
    pub idle_connections: usize,
    /// The order that holds it.
    pub order: Option<Held>,
}

/// The list as its source tells it, and the orders that are laid over it.
pub(crate) struct Steering {
    steer: Steer,
    entries: HashMap<String, ServerEntry>,
}

impl Steering {
    /// No list yet, and the orders that lasted over a restart.
    pub fn new(now: Micros, kept: Vec<Kept>) -> Self {
        let mut steer = Steer::new();
        steer.restore(now, kept);
        Steering { steer, entries: HashMap::new() }
    }

    /// What a list comes to under the orders.
    pub fn list(&mut self, now: Micros, list: ServerList, is_origin: impl Fn(&str) -> bool) -> ServerList {
        let ServerList { full, servers } = list;
        let listed = |entry: &ServerEntry| Listed {
            name: entry.id.clone(),
            state: match entry.state {
                ServerState::Serving => Some(lilacquay_overrides::State::Serving),
                ServerState::Draining => Some(lilacquay_overrides::State::Draining),
                ServerState::Deleted => None,
            },
            origin: is_origin(&entry.kind),
        };
        let changes = self.steer.list(now, full, servers.iter().map(listed).collect());
        if full {
            self.entries.clear();
        }
        let mut gone = Vec::new();
        for entry in servers {
            if entry.state == ServerState::Deleted {
                self.entries.remove(&entry.id);
                gone.push(entry);
            } else {
                self.entries.insert(entry.id.clone(), entry);
            }
        }
        gone.extend(self.worded(changes));
        ServerList { full, servers: gone }
    }

    /// Obeys an order, or says why not; tells what changes.
    pub fn ask(&mut self, now: Micros, ask: &Ask) -> (Result<Done, Refusal>, ServerList) {
        let (done, changes) = self.steer.ask(now, ask);
        (done, ServerList { full: false, servers: self.worded(changes) })
    }

    /// Goes by what the nodes hold in common; tells what changes.
    pub fn common(&mut self, now: Micros, whole: bool, orders: Vec<Common>) -> ServerList {
        let changes = self.steer.common(now, whole, orders);
        ServerList { full: false, servers: self.worded(changes) }
    }

    /// Leaves servers out on the word of other nodes; tells what changes.
    pub fn hearsay(&mut self, now: Micros, servers: BTreeSet<String>) -> ServerList {
        let changes = self.steer.hearsay(now, servers);
        ServerList { full: false, servers: self.worded(changes) }
    }

    /// The orders that hold.
    pub fn holding(&self, now: Micros) -> OrdersInForce {
        let orders = self.steer.orders().map(|(server, held)| (server.to_owned(), held)).collect();
        OrdersInForce { orders, kept: self.steer.kept(), now }
    }

    /// Ends orders whose time is over; tells what changes.
    pub fn tick(&mut self, now: Micros) -> ServerList {
        let changes = self.steer.tick(now);
        ServerList { full: false, servers: self.worded(changes) }
    }

    /// The servers of the list, by name; of each, `now` tells whether it serves, what is out there and what rests.
    pub fn servers(&self, now: impl Fn(&str) -> (bool, usize, usize)) -> Vec<ServerStatus> {
        let server = |entry: &ServerEntry| {
            let (serves, out, idle) = now(&entry.id);
            ServerStatus {
                name: entry.id.clone(),
                zone: entry.zone.clone(),
                kind: entry.kind.clone(),
                listed_state: entry.state,
                effective_state: if serves { ServerState::Serving } else { ServerState::Draining },
                attempts_in_flight: out,
                idle_connections: idle,
                order: self.steer.held(&entry.id),
            }
        };
        let mut servers: Vec<ServerStatus> = self.entries.values().map(server).collect();
        servers.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        servers
    }

    fn worded(&self, changes: Vec<Change>) -> Vec<ServerEntry> {
        let entry = |change: Change| {
            let state = match change.state {
                lilacquay_overrides::State::Serving => ServerState::Serving,
                lilacquay_overrides::State::Draining => ServerState::Draining,
            };
            self.entries.get(&change.server).map(|entry| ServerEntry { state, ..entry.clone() })
        };
        changes.into_iter().filter_map(entry).collect()
    }
}
