//! The servers that the list has named: their ids for the module, addresses and idle connections.

use std::borrow::Cow;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lilacquay_metrics::{Tries, Violations};
use paddlefold::setup::{Setup, micros};
use paddlefold::{Member, MemberState, ServerId};
use tokio::time::Instant;
use tracing::debug;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::list::{Entry, List, State};
use crate::permit::{ClientLeft, InvariantChecker};
use crate::reuse::{KeepPolicy, ReusePolicy};
use crate::upstream::{Connection, IdleState, Standing, Target};
use crate::value_stream::Opening;

struct Server<C> {
    /// As the list has it.
    entry: Entry,
    addr: SocketAddr,
    origin: bool,
    kind: Arc<str>,
    standing: Standing,
    /// When something was last sent there.
    sent: Option<Instant>,
    /// When its connections may be used again.
    reuse: ReusePolicy,
    /// Connections between requests, the most recently used last.
    idle: Vec<(Instant, C)>,
}

/// What is known of a request whose attempt goes out.
pub(crate) struct Facts {
    /// When its client's time is up.
    pub deadline: Instant,
    /// When its client has left.
    pub left: ClientLeft,
    /// Where broken rules are counted.
    pub violations: Violations,
}

/// What has become of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum News {
    Serves,
    Drains,
    Gone,
}

/// The servers by id.
pub(crate) struct Directory<C> {
    /// What lists have changed and was not yet taken.
    news: Vec<(String, News)>,
    servers: HashMap<ServerId, Server<C>>,
    /// Counts attempts.
    tries: Tries,
    /// How long idle connections are kept.
    keep: KeepPolicy,
    /// How many there are at all servers together: asked for with each attempt.
    idle: usize,
}

impl<C: Connection> Directory<C> {
    /// For one of so many nodes, whose servers close idle connections at this age.
    pub fn new(keepalive: Duration, nodes: usize, tries: Tries) -> Self {
        let (news, servers) = Default::default();
        Directory { news, servers, tries, keep: KeepPolicy::new(keepalive, nodes), idle: 0 }
    }

    /// It is one of so many nodes from now on.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.keep = self.keep.at_nodes(nodes);
    }

    /// Takes over a list; tells the module's view of its entries. Servers of which kinds of machine discard the
    /// repeats of keyed writes is the upstream's to say.
    pub fn apply(
        &mut self,
        mut list: List,
        setup: &mut Setup,
        discards: impl Fn(&str) -> bool,
    ) -> Vec<Member> {
        // In order of their names: ids that collide come out alike at every node.
        list.servers.sort_by(|a, b| a.id.cmp(&b.id));
        if list.full {
            let names = &list.servers;
            let listed = |name: &String| names.binary_search_by(|e| e.id.cmp(name)).is_ok();
            let news = &mut self.news;
            self.servers.retain(|_, server| {
                let stays = listed(&server.entry.id);
                if !stays {
                    news.push((server.entry.id.clone(), News::Gone));
                }
                stays || server.close()
            });
        }
        let members = list.servers.into_iter().map(|entry| self.enter(entry, setup, &discards)).collect();
        self.count_idle();
        members
    }

    fn enter(&mut self, entry: Entry, setup: &mut Setup, discards: impl Fn(&str) -> bool) -> Member {
        let id = self.id_of(&entry.id);
        self.note(id, &entry);
        let origin = setup.is_origin(&entry.kind);
        let state = match entry.state {
            State::Serving => MemberState::Up,
            State::Draining => MemberState::Draining,
            State::Deleted => MemberState::Removed,
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
            deduplicates: origin || discards(&entry.kind),
        };
        if state == MemberState::Removed {
            if let Some(server) = self.servers.remove(&id) {
                server.standing.set(false); // attempts under way send nothing more
            }
            return member;
        }
        let server = self.servers.entry(id).or_insert_with(|| Server {
            entry: entry.clone(),
            addr: entry.addr,
            origin,
            kind: entry.kind.as_str().into(),
            standing: Standing::new(),
            sent: None,
            reuse: ReusePolicy::default(),
            idle: Vec::new(),
        });
        server.origin = origin;
        // Another kind of machine may speak another protocol.
        if server.addr != entry.addr || *server.kind != *entry.kind {
            (server.addr, server.kind) = (entry.addr, entry.kind.as_str().into());
            server.idle.clear();
            // Attempts whose connections come up at the old place send nothing there.
            std::mem::replace(&mut server.standing, Standing::new()).set(false);
        }
        server.standing.set(state == MemberState::Up);
        if state != MemberState::Up {
            server.idle.clear();
        }
        server.entry = entry;
        member
    }

    /// Notes what an entry changes.
    fn note(&mut self, id: ServerId, entry: &Entry) {
        let before = self.servers.get(&id).map(|server| server.standing.serving());
        let news = match (entry.state, before) {
            (State::Serving, None | Some(false)) => News::Serves,
            (State::Draining, None | Some(true)) => News::Drains,
            (State::Deleted, Some(_)) => News::Gone,
            _ => return,
        };
        self.news.push((entry.id.clone(), news));
    }

    /// What lists have changed since this was asked last.
    pub fn take_news(&mut self) -> Vec<(String, News)> {
        std::mem::take(&mut self.news)
    }

    /// The id of a name, which is the same at every node: a hash, and the next one where two names share it.
    fn id_of(&self, name: &str) -> ServerId {
        let ids = (0..).map(|seed| ServerId(xxh3_64_with_seed(name.as_bytes(), seed) as u32));
        let mut free = ids.filter(|id| self.servers.get(id).is_none_or(|server| server.entry.id == name));
        free.next().expect("the ids outnumber the servers")
    }

    /// Where to send to a server, and the connection to use, if one is at hand.
    pub fn check_out(
        &mut self,
        id: ServerId,
        now: Instant,
        opening: Opening,
        facts: Facts,
    ) -> Option<(Target, Option<C>)> {
        let keep = self.keep;
        let server = self.servers.get_mut(&id)?;
        server.sent = Some(now);
        let idle = server.idle.len();
        let (mut pooled, mut believed_from) = (None, now);
        while let Some(place) = server.rested(now) {
            let (since, connection) = server.idle.remove(place);
            if keep.keeps(now, since, false) && server.may_use(&connection, now) {
                pooled = Some(connection);
                believed_from = ReusePolicy::believed_from(since);
                break;
            }
        }
        self.idle -= idle - server.idle.len();
        let Server { addr, origin, kind, standing, .. } = &*server;
        let (kind, standing) = (kind.clone(), standing.clone());
        let Facts { deadline, left, violations } = facts;
        let invariants = InvariantChecker { id: opening.id, deadline, left, standing, violations };
        let target = Target {
            addr: *addr,
            origin: *origin,
            kind,
            believed_from,
            invariants,
            tries: self.tries.clone(),
            opening,
        };
        Some((target, pooled))
    }

    /// Notes how long an answer of a server took.
    pub fn answered(&mut self, id: ServerId, took: Duration) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.reuse.answered(took);
        }
    }

    /// Keeps a connection for the next request, if its server still takes some at that address.
    pub fn check_in(&mut self, id: ServerId, addr: SocketAddr, connection: C, now: Instant) {
        let keep = self.keep;
        if let Some(server) = self.servers.get_mut(&id).filter(|s| s.addr == addr && s.standing.serving()) {
            let idle = server.idle.len();
            server.idle.retain(|(since, _)| keep.keeps(now, *since, true));
            server.idle.push((now, connection));
            self.idle = self.idle + server.idle.len() - idle;
        }
    }

    /// Closes idle connections that are too old, or that the server has closed.
    pub fn sweep(&mut self, now: Instant) {
        let keep = self.keep;
        for server in self.servers.values_mut() {
            let mut idle = std::mem::take(&mut server.idle);
            let last = idle.len().saturating_sub(1);
            let mut place = 0..;
            idle.retain(|(since, connection)| {
                let spare = place.next() < Some(last);
                keep.keeps(now, *since, spare) && server.may_use(connection, now)
            });
            server.idle = idle;
        }
        self.count_idle();
    }

    fn count_idle(&mut self) {
        self.idle = self.servers.values().map(|server| server.idle.len()).sum();
    }

    /// The list, as it was told.
    pub fn entries(&self) -> Vec<Entry> {
        self.servers.values().map(|server| server.entry.clone()).collect()
    }

    /// The caches, whether each serves, and when something was last sent there.
    pub fn caches(&self) -> impl Iterator<Item = (ServerId, bool, Option<Instant>)> {
        let caches = self.servers.iter().filter(|(_, server)| !server.origin);
        caches.map(|(id, server)| (*id, server.standing.serving(), server.sent))
    }

    /// Of each server by name: its id, whether it serves, and how many connections rest there.
    pub fn by_name(&self) -> HashMap<&str, (ServerId, bool, usize)> {
        let entry =
            |(id, server): (&ServerId, &Server<C>)| (*id, server.standing.serving(), server.idle.len());
        self.servers.iter().map(|one| (one.1.entry.id.as_str(), entry(one))).collect()
    }

    /// The names of all servers.
    pub fn names(&self) -> HashMap<ServerId, &str> {
        self.servers.iter().map(|(id, server)| (*id, server.entry.id.as_str())).collect()
    }

    /// How many connections are idle.
    pub fn idle(&self) -> usize {
        self.idle
    }

    /// Closes the idle connection that was used longest ago.
    pub fn close_oldest(&mut self) {
        let oldest = self.servers.values_mut().filter(|s| !s.idle.is_empty()).min_by_key(|s| s.idle[0].0);
        if let Some(server) = oldest {
            server.idle.remove(0);
            self.idle -= 1;
        }
    }
}

impl<C: Connection> Server<C> {
    /// The place of the connection to use next, if one has rested.
    fn rested(&self, now: Instant) -> Option<usize> {
        self.reuse.choose(now, self.origin, self.idle.iter().map(|(since, _)| *since))
    }

    /// Whether a connection that was idle can be used; notes what the server has sent unasked.
    fn may_use(&mut self, connection: &C, now: Instant) -> bool {
        let state = connection.idle_state();
        if state == IdleState::Unasked {
            debug!(server = self.entry.id, "something came unasked: its connections rest longer");
        }
        self.reuse.may_use(now, state)
    }

    /// Gone: attempts under way send nothing more. Returns false, to drop it.
    fn close(&self) -> bool {
        self.standing.set(false);
        false
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::call::Call;
    use crate::upstream::Reply;

    /// A connection by its number.
    struct Numbered(u32);

    impl Connection for Numbered {
        fn idle_state(&self) -> IdleState {
            IdleState::Live
        }
        async fn ask(self, _: &Call, _: &Target, _: Instant) -> (Reply, Option<Self>) {
            unreachable!("nothing is sent")
        }
    }

    const KEEPALIVE: Duration = Duration::from_secs(10);

    /// One of so many nodes, with one server in its list.
    fn directory(nodes: usize) -> (Directory<Numbered>, ServerId, SocketAddr) {
        let stated = r#"{"Classes":[],"Skus":["m"]}"#;
        let stated: paddlefold::setup::RawSettings = serde_json::from_str(stated).expect("settings");
        let mut setup = Setup::try_from(stated).expect("settings");
        let addr = "127.0.0.1:1".parse().expect("an address");
        let (id, zone, kind, state) = ("s".to_owned(), "a".to_owned(), "m".to_owned(), State::Serving);
        let entry = Entry { id, addr, zone, kind, cell: 0, state, weight: None, started_ms: 0.0 };
        let mut directory =
            Directory::new(KEEPALIVE, nodes, lilacquay_metrics::Book::new(Vec::new()).tries());
        let members = directory.apply(List { full: true, servers: vec![entry] }, &mut setup, |_| true);
        (directory, members[0].id, addr)
    }

    /// How many of three connections that were given back at once are left after a time.
    fn left_after(nodes: usize, time: Duration) -> usize {
        let (mut directory, id, addr) = directory(nodes);
        let now = Instant::now();
        (0..3).for_each(|n| directory.check_in(id, addr, Numbered(n), now));
        directory.sweep(now + time);
        directory.idle()
    }

    #[test]
    fn one_idle_connection_is_kept_whatever_the_number_of_nodes_and_spares_the_shorter() {
        for nodes in [0, 1, 3, 100, 300, usize::MAX] {
            assert_eq!(left_after(nodes, KEEPALIVE * 8 / 10), if nodes < 2 { 3 } else { 1 }, "{nodes}");
            assert_eq!(left_after(nodes, KEEPALIVE * 9 / 10), 0, "{nodes}: before the server closes it");
        }
        assert_eq!(left_after(3, KEEPALIVE * 2 / 10), 3, "a few nodes keep theirs");
        assert_eq!(left_after(100, KEEPALIVE / 10), 1);
    }

    #[test]
    fn the_spare_that_closes_is_the_one_used_longest_ago() {
        let (mut directory, id, addr) = directory(100);
        let now = Instant::now();
        directory.check_in(id, addr, Numbered(1), now);
        directory.check_in(id, addr, Numbered(2), now + KEEPALIVE / 10);
        assert_eq!(directory.idle(), 1, "without waiting for a sweep");
        let governor = crate::buffer_budget::Governor::new(0, Default::default());
        let (to, _) = tokio::sync::mpsc::unbounded_channel();
        let opening = Opening { id: paddlefold::RequestId(1), attempt: 0, to, governor };
        let violations = lilacquay_metrics::Book::new(Vec::new()).violations();
        let facts = Facts { deadline: now, left: ClientLeft::default(), violations };
        let (_, pooled) = directory.check_out(id, now + KEEPALIVE / 5, opening, facts).expect("it is listed");
        assert_eq!(pooled.map(|connection| connection.0), Some(2));
    }
}
