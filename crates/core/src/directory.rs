//! The listed servers: their ids for the balancer, their addresses and their idle connections.

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lilacquay_metrics::{AttemptCounter, ViolationCounters};
use paddlefold::setup::{Setup, micros};
use paddlefold::{Member, MemberState, ServerId};
use tokio::time::Instant;
use tracing::debug;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::list::{ServerEntry, ServerList, ServerState};
use crate::permit::{ClientLeftAt, InvariantChecker};
use crate::reuse::{RetentionPolicy, ReusePolicy};
use crate::upstream::{Availability, Connection, IdleState, Target};
use crate::value_stream::StreamStarter;

struct Server<C> {
    /// The entry as last listed.
    entry: ServerEntry,
    addr: SocketAddr,
    is_origin: bool,
    kind: Arc<str>,
    availability: Availability,
    /// When an attempt was last sent to the server.
    last_sent: Option<Instant>,
    /// Decides when the server's idle connections may be reused.
    reuse: ReusePolicy,
    /// Idle connections and since when each has been idle, the most recently used last.
    idle: Vec<(Instant, C)>,
}

/// The facts about a request that its attempt is checked against.
pub(crate) struct AttemptContext {
    /// When the client's time-out expires.
    pub deadline: Instant,
    /// Set once the client has disconnected.
    pub client_left: ClientLeftAt,
    /// Counts violated invariants.
    pub violations: ViolationCounters,
}

/// A change of a server's state in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ListChange {
    Serving,
    Draining,
    Removed,
}

/// The listed servers by id.
pub(crate) struct Directory<C> {
    /// Changes by server name that have not been taken yet.
    changes: Vec<(String, ListChange)>,
    servers: HashMap<ServerId, Server<C>>,
    /// Counts attempts.
    tries: AttemptCounter,
    /// Decides how long idle connections are kept.
    retention: RetentionPolicy,
    /// The number of idle connections at all servers. Cached because each attempt reads it.
    idle_count: usize,
}

impl<C: Connection> Directory<C> {
    /// Creates an empty directory for a fleet of `nodes` nodes, whose servers close connections that have been idle
    /// for `keepalive`.
    pub fn new(keepalive: Duration, nodes: usize, tries: AttemptCounter) -> Self {
        let (changes, servers) = Default::default();
        let retention = RetentionPolicy::new(keepalive, nodes);
        Directory { changes, servers, tries, retention, idle_count: 0 }
    }

    /// Sets the number of nodes in the fleet.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.retention = self.retention.with_node_count(nodes);
    }

    /// Applies a list and returns its entries in the form that the balancer expects. `deduplicates` tells whether
    /// servers of a machine type discard repeated writes that carry an idempotency key.
    pub fn apply(
        &mut self,
        mut list: ServerList,
        setup: &mut Setup,
        deduplicates: impl Fn(&str) -> bool,
    ) -> Vec<Member> {
        // Sorted by name, so that ids that collide are resolved in the same way at every node.
        list.servers.sort_by(|a, b| a.id.cmp(&b.id));
        if list.full {
            let names = &list.servers;
            let is_listed = |name: &String| names.binary_search_by(|e| e.id.cmp(name)).is_ok();
            let changes = &mut self.changes;
            self.servers.retain(|_, server| {
                let stays = is_listed(&server.entry.id);
                if !stays {
                    changes.push((server.entry.id.clone(), ListChange::Removed));
                    server.availability.set(false); // attempts in progress send nothing more
                }
                stays
            });
        }
        let members =
            list.servers.into_iter().map(|entry| self.apply_entry(entry, setup, &deduplicates)).collect();
        self.count_idle();
        members
    }

    fn apply_entry(
        &mut self,
        entry: ServerEntry,
        setup: &mut Setup,
        deduplicates: impl Fn(&str) -> bool,
    ) -> Member {
        let id = self.server_id(&entry.id);
        self.record_change(id, &entry);
        let origin = setup.is_origin(&entry.kind);
        let state = match entry.state {
            ServerState::Serving => MemberState::Up,
            ServerState::Draining => MemberState::Draining,
            ServerState::Deleted => MemberState::Removed,
        };
        let member = Member {
            id,
            state,
            zone: setup.zone_index(Cow::Borrowed(&entry.zone)),
            cell: entry.cell,
            kind: setup.kind_index(Cow::Borrowed(&entry.kind)),
            weight: entry.weight.unwrap_or(1.0),
            started: Some(entry.started_ms).filter(|&t| t > 0.0).map(micros),
            origin,
            deduplicates: origin || deduplicates(&entry.kind),
        };
        if state == MemberState::Removed {
            if let Some(server) = self.servers.remove(&id) {
                server.availability.set(false); // attempts in progress send nothing more
            }
            return member;
        }
        let server = self.servers.entry(id).or_insert_with(|| Server {
            entry: entry.clone(),
            addr: entry.addr,
            is_origin: origin,
            kind: entry.kind.as_str().into(),
            availability: Availability::new(),
            last_sent: None,
            reuse: ReusePolicy::default(),
            idle: Vec::new(),
        });
        server.is_origin = origin;
        // A server that has started anew is another process, at whatever address. A different machine type may speak a
        // different protocol, so its connections are not reused either.
        let has_started_anew = entry.started_ms > 0.0 && server.entry.started_ms != entry.started_ms;
        let is_same_process = server.addr == entry.addr && !has_started_anew;
        if !is_same_process || *server.kind != *entry.kind {
            (server.addr, server.kind) = (entry.addr, entry.kind.as_str().into());
            server.idle.clear();
            // Attempts that are still connecting to the old process send nothing.
            std::mem::replace(&mut server.availability, Availability::new()).set(false);
        }
        server.availability.set(state == MemberState::Up);
        if state != MemberState::Up {
            server.idle.clear();
        }
        server.entry = entry;
        member
    }

    /// Records how an entry changes the server's state, if it does.
    fn record_change(&mut self, id: ServerId, entry: &ServerEntry) {
        let was_serving = self.servers.get(&id).map(|server| server.availability.is_serving());
        let change = match (entry.state, was_serving) {
            (ServerState::Serving, None | Some(false)) => ListChange::Serving,
            (ServerState::Draining, None | Some(true)) => ListChange::Draining,
            (ServerState::Deleted, Some(_)) => ListChange::Removed,
            _ => return,
        };
        self.changes.push((entry.id.clone(), change));
    }

    /// Takes the changes that lists have made since the last call.
    pub fn take_changes(&mut self) -> Vec<(String, ListChange)> {
        std::mem::take(&mut self.changes)
    }

    /// The id of a server name, the same at every node: a hash with seed 0, or with the next seed whose hash no other
    /// name has taken.
    fn server_id(&self, name: &str) -> ServerId {
        let ids = (0..).map(|seed| ServerId(xxh3_64_with_seed(name.as_bytes(), seed) as u32));
        let mut free = ids.filter(|id| self.servers.get(id).is_none_or(|server| server.entry.id == name));
        free.next().expect("there are more ids than servers")
    }

    /// The target of an attempt at a server, and a pooled connection if one may be reused. None if the server is not
    /// listed.
    pub fn check_out(
        &mut self,
        id: ServerId,
        now: Instant,
        stream_starter: StreamStarter,
        context: AttemptContext,
    ) -> Option<(Target, Option<C>)> {
        let retention = self.retention;
        let server = self.servers.get_mut(&id)?;
        server.last_sent = Some(now);
        let idle_before = server.idle.len();
        let (mut pooled, mut trusted_from) = (None, now);
        while let Some(position) = server.next_reusable(now) {
            let (since, connection) = server.idle.remove(position);
            if retention.retains(now, since, false) && server.is_usable(&connection, now) {
                pooled = Some(connection);
                trusted_from = ReusePolicy::trusted_from(since);
                break;
            }
        }
        self.idle_count -= idle_before - server.idle.len();
        let Server { addr, is_origin, kind, availability, .. } = &*server;
        let (kind, availability) = (kind.clone(), availability.clone());
        let AttemptContext { deadline, client_left, violations } = context;
        let invariants =
            InvariantChecker { id: stream_starter.id, deadline, client_left, availability, violations };
        let target = Target {
            addr: *addr,
            origin: *is_origin,
            kind,
            trusted_from,
            invariants,
            tries: self.tries.clone(),
            stream_starter,
        };
        Some((target, pooled))
    }

    /// Records how long a server took to answer.
    pub fn record_answer(&mut self, id: ServerId, took: Duration) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.reuse.record_answer(took);
        }
    }

    /// Keeps a connection for the next request, if the process that it is to still takes requests. `availability`: that of
    /// the process, as its target had it.
    pub fn check_in(&mut self, id: ServerId, availability: &Availability, connection: C, now: Instant) {
        let retention = self.retention;
        let server = self.servers.get_mut(&id);
        if let Some(server) =
            server.filter(|s| s.availability.is_same(availability) && availability.is_serving())
        {
            let idle_before = server.idle.len();
            server.idle.retain(|(since, _)| retention.retains(now, *since, true));
            server.idle.push((now, connection));
            self.idle_count = self.idle_count + server.idle.len() - idle_before;
        }
    }

    /// Closes idle connections that are too old or that the server has closed.
    pub fn sweep(&mut self, now: Instant) {
        let retention = self.retention;
        for server in self.servers.values_mut() {
            let mut idle = std::mem::take(&mut server.idle);
            let last = idle.len().saturating_sub(1);
            let mut positions = 0..;
            idle.retain(|(since, connection)| {
                let is_spare = positions.next() < Some(last);
                retention.retains(now, *since, is_spare) && server.is_usable(connection, now)
            });
            server.idle = idle;
        }
        self.count_idle();
    }

    fn count_idle(&mut self) {
        self.idle_count = self.servers.values().map(|server| server.idle.len()).sum();
    }

    /// The entries of all servers, as last listed.
    pub fn entries(&self) -> Vec<ServerEntry> {
        self.servers.values().map(|server| server.entry.clone()).collect()
    }

    /// Of each cache: its id, whether it is serving, and when an attempt was last sent to it.
    pub fn caches(&self) -> impl Iterator<Item = (ServerId, bool, Option<Instant>)> {
        let caches = self.servers.iter().filter(|(_, server)| !server.is_origin);
        caches.map(|(id, server)| (*id, server.availability.is_serving(), server.last_sent))
    }

    /// Of each server by name: its id, whether it is serving, and the number of its idle connections.
    pub fn by_name(&self) -> HashMap<&str, (ServerId, bool, usize)> {
        let status = |(id, server): (&ServerId, &Server<C>)| {
            (*id, server.availability.is_serving(), server.idle.len())
        };
        self.servers.iter().map(|one| (one.1.entry.id.as_str(), status(one))).collect()
    }

    /// The names of all servers.
    pub fn names(&self) -> HashMap<ServerId, &str> {
        self.servers.iter().map(|(id, server)| (*id, server.entry.id.as_str())).collect()
    }

    /// The number of idle connections at all servers.
    pub fn idle_count(&self) -> usize {
        self.idle_count
    }

    /// Closes the least recently used idle connection.
    pub fn close_least_recently_used(&mut self) {
        let oldest = self.servers.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(|s| s.idle[0].0);
        if let Some(server) = oldest {
            server.idle.remove(0);
            self.idle_count -= 1;
        }
    }
}

impl<C: Connection> Server<C> {
    /// The position of the idle connection to use next, if one has been idle for the reuse delay.
    fn next_reusable(&self, now: Instant) -> Option<usize> {
        self.reuse.choose(now, self.is_origin, self.idle.iter().map(|(since, _)| *since))
    }

    /// Whether an idle connection can be used. Records data that the server has sent without a request.
    fn is_usable(&mut self, connection: &C, now: Instant) -> bool {
        let state = connection.idle_state();
        if state == IdleState::UnsolicitedData {
            debug!(
                server = self.entry.id,
                "unsolicited data on an idle connection; using the longer reuse delay for this server"
            );
        }
        self.reuse.may_use(now, state)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::call::Call;
    use crate::upstream::Reply;

    /// A connection that is identified by a number.
    struct Numbered(u32);

    impl Connection for Numbered {
        fn idle_state(&self) -> IdleState {
            IdleState::Live
        }
        async fn send_request(self, _: &Call, _: &Target, _: Instant) -> (Reply, Option<Self>) {
            unreachable!("the test sends no request")
        }
    }

    const KEEPALIVE: Duration = Duration::from_secs(10);

    /// The directory of one of `nodes` nodes, with one listed server.
    fn directory(nodes: usize) -> (Directory<Numbered>, ServerId, Availability) {
        let stated = r#"{"Classes":[],"Skus":["m"]}"#;
        let stated: paddlefold::setup::RawSettings = serde_json::from_str(stated).expect("settings");
        let mut setup = Setup::try_from(stated).expect("settings");
        let addr = "127.0.0.1:1".parse().expect("an address");
        let (id, zone, kind, state) = ("s".to_owned(), "a".to_owned(), "m".to_owned(), ServerState::Serving);
        let entry = ServerEntry { id, addr, zone, kind, cell: 0, state, weight: None, started_ms: 0.0 };
        let mut directory =
            Directory::new(KEEPALIVE, nodes, lilacquay_metrics::Metrics::new(Vec::new()).attempt_counter());
        let members = directory.apply(ServerList { full: true, servers: vec![entry] }, &mut setup, |_| true);
        let availability = directory.servers[&members[0].id].availability.clone();
        (directory, members[0].id, availability)
    }

    /// The number of connections left, of three that were checked in at once, after a time.
    fn left_after(nodes: usize, time: Duration) -> usize {
        let (mut directory, id, process) = directory(nodes);
        let now = Instant::now();
        (0..3).for_each(|n| directory.check_in(id, &process, Numbered(n), now));
        directory.sweep(now + time);
        directory.idle_count()
    }

    #[test]
    fn one_idle_connection_is_kept_whatever_the_number_of_nodes_and_spares_the_shorter() {
        for nodes in [0, 1, 3, 100, 300, usize::MAX] {
            assert_eq!(left_after(nodes, KEEPALIVE * 8 / 10), if nodes < 2 { 3 } else { 1 }, "{nodes}");
            assert_eq!(left_after(nodes, KEEPALIVE * 9 / 10), 0, "{nodes}: before the server closes it");
        }
        assert_eq!(left_after(3, KEEPALIVE * 2 / 10), 3, "a few nodes keep their spare connections");
        assert_eq!(left_after(100, KEEPALIVE / 10), 1);
    }

    #[test]
    fn the_spare_that_closes_is_the_least_recently_used() {
        let (mut directory, id, process) = directory(100);
        let now = Instant::now();
        directory.check_in(id, &process, Numbered(1), now);
        directory.check_in(id, &process, Numbered(2), now + KEEPALIVE / 10);
        assert_eq!(directory.idle_count(), 1, "closed without waiting for a sweep");
        let budget = crate::buffer_budget::BufferBudget::new(0, Default::default());
        let (sender, _) = tokio::sync::mpsc::unbounded_channel();
        let stream_starter = StreamStarter { id: paddlefold::RequestId(1), attempt: 0, sender, budget };
        let violations = lilacquay_metrics::Metrics::new(Vec::new()).violations();
        let context = AttemptContext { deadline: now, client_left: ClientLeftAt::default(), violations };
        let (_, pooled) = directory
            .check_out(id, now + KEEPALIVE / 5, stream_starter, context)
            .expect("the server is listed");
        assert_eq!(pooled.map(|connection| connection.0), Some(2));
    }
}
