//! An operator's orders, between the list of servers and the decision module.

use std::collections::{BTreeSet, HashMap};

use lilacquay_overrides::{
    ActiveOrder, AppliedOrder, ListedServer, OrderRequest, Overrides, PersistentOrder, Refusal, SharedOrder,
    StateChange,
};
use paddlefold::Micros;

use crate::list::{Entry, List, State};

/// The orders that hold.
#[derive(Debug, Clone)]
pub struct Holding {
    /// By server.
    pub orders: Vec<(String, ActiveOrder)>,
    /// Those of them that are to last over a restart.
    pub kept: Vec<PersistentOrder>,
    /// The time, by which they end.
    pub now: Micros,
}

/// A server as a running core has it.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerNow {
    /// Its name in the list.
    pub name: String,
    /// Its zone, by name.
    pub zone: String,
    /// Its kind of machine, by name.
    pub kind: String,
    /// What the list says.
    pub listed: State,
    /// What holds, under the orders.
    pub state: State,
    /// Our requests that are out there.
    pub out: usize,
    /// Our connections that rest there.
    pub idle: usize,
    /// The order that holds it.
    pub held: Option<ActiveOrder>,
}

/// The list as its source tells it, and the orders that are laid over it.
pub(crate) struct Steering {
    steer: Overrides,
    entries: HashMap<String, Entry>,
}

impl Steering {
    /// No list yet, and the orders that lasted over a restart.
    pub fn new(now: Micros, kept: Vec<PersistentOrder>) -> Self {
        let mut steer = Overrides::new();
        steer.restore(now, kept);
        Steering { steer, entries: HashMap::new() }
    }

    /// What a list comes to under the orders.
    pub fn list(&mut self, now: Micros, list: List, is_origin: impl Fn(&str) -> bool) -> List {
        let List { full, servers } = list;
        let listed = |entry: &Entry| ListedServer {
            name: entry.id.clone(),
            state: match entry.state {
                State::Serving => Some(lilacquay_overrides::State::Serving),
                State::Draining => Some(lilacquay_overrides::State::Draining),
                State::Deleted => None,
            },
            origin: is_origin(&entry.kind),
        };
        let changes = self.steer.apply_list(now, full, servers.iter().map(listed).collect());
        if full {
            self.entries.clear();
        }
        let mut gone = Vec::new();
        for entry in servers {
            if entry.state == State::Deleted {
                self.entries.remove(&entry.id);
                gone.push(entry);
            } else {
                self.entries.insert(entry.id.clone(), entry);
            }
        }
        gone.extend(self.worded(changes));
        List { full, servers: gone }
    }

    /// Obeys an order, or says why not; tells what changes.
    pub fn ask(&mut self, now: Micros, ask: &OrderRequest) -> (Result<AppliedOrder, Refusal>, List) {
        let (done, changes) = self.steer.apply_order(now, ask);
        (done, List { full: false, servers: self.worded(changes) })
    }

    /// Goes by what the nodes hold in common; tells what changes.
    pub fn common(&mut self, now: Micros, whole: bool, orders: Vec<SharedOrder>) -> List {
        let changes = self.steer.apply_shared_orders(now, whole, orders);
        List { full: false, servers: self.worded(changes) }
    }

    /// Leaves servers out on the word of other nodes; tells what changes.
    pub fn hearsay(&mut self, now: Micros, servers: BTreeSet<String>) -> List {
        let changes = self.steer.set_peer_exclusions(now, servers);
        List { full: false, servers: self.worded(changes) }
    }

    /// The orders that hold.
    pub fn holding(&self, now: Micros) -> Holding {
        let orders = self.steer.active_orders().map(|(server, held)| (server.to_owned(), held)).collect();
        Holding { orders, kept: self.steer.persistent_orders(), now }
    }

    /// Ends orders whose time is over; tells what changes.
    pub fn tick(&mut self, now: Micros) -> List {
        let changes = self.steer.tick(now);
        List { full: false, servers: self.worded(changes) }
    }

    /// The servers of the list, by name; of each, `now` tells whether it serves, what is out there and what rests.
    pub fn servers(&self, now: impl Fn(&str) -> (bool, usize, usize)) -> Vec<ServerNow> {
        let server = |entry: &Entry| {
            let (serves, out, idle) = now(&entry.id);
            ServerNow {
                name: entry.id.clone(),
                zone: entry.zone.clone(),
                kind: entry.kind.clone(),
                listed: entry.state,
                state: if serves { State::Serving } else { State::Draining },
                out,
                idle,
                held: self.steer.active_order(&entry.id),
            }
        };
        let mut servers: Vec<ServerNow> = self.entries.values().map(server).collect();
        servers.sort_unstable_by(|a, b| a.name.cmp(&b.name));
        servers
    }

    fn worded(&self, changes: Vec<StateChange>) -> Vec<Entry> {
        let entry = |change: StateChange| {
            let state = match change.state {
                lilacquay_overrides::State::Serving => State::Serving,
                lilacquay_overrides::State::Draining => State::Draining,
            };
            self.entries.get(&change.server).map(|entry| Entry { state, ..entry.clone() })
        };
        changes.into_iter().filter_map(entry).collect()
    }
}
