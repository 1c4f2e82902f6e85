//! The node on real sockets: puts the core, its front, its upstreams and its source of members together.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_admin::Admin;
use lilacquay_control::{Command, Control, Folder, Host, Outcome};
use lilacquay_core::{CoreHandle, Driver, Handles, MembershipHandle, Options, ResourceShare, ServerList};
use lilacquay_etcd::Settings;
use lilacquay_fronts::Acceptor;
use lilacquay_fronts::accept_policy::ACCEPT_BACKLOG;
use lilacquay_fronts::resp::RespProtocol;
use lilacquay_lifecycle::Event;
use lilacquay_members::{discovery, etcd};
use lilacquay_metrics::Book;
use lilacquay_replica::endpoint_reports::LocalServerList;
use lilacquay_upstreams::ServerConnector;
use paddlefold::setup::Names;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout_at};
use tokio_util::task::AbortOnDropHandle;
use tracing::{info, warn};

use crate::admin::Desk;
use crate::config::{Config, Source};
use crate::etcd::Etcd;
use crate::handover::{self, Place};
use crate::lifecycle::Keeper;
use crate::logging::Logging;
use crate::memcached::Memcached;
use crate::quota::Quota;
use crate::replicated_state::KeptRecord;
use crate::siblings::{self, Site, Ties};
use crate::supervisor::keep;

/// A core that has failed has answered all as failed; its connections have so long to say so.
const LAST_WRITES: Duration = Duration::from_millis(600);
/// The time between a process's own end and the earliest kill is 0.1 s; a process that still owes answers then writes them.
const LAST_MOMENT: Duration = Duration::from_millis(60);
/// Orders on the node that wait to be carried out.
const COMMANDS: usize = 16;

/// Why a node has ended that nobody told to.
#[derive(Debug)]
pub enum Failure {
    /// It could not start.
    Start(io::Error),
    /// Its core has failed. What it had taken was answered as failed.
    Core(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Start(error) => error.fmt(f),
            Failure::Core(what) => write!(f, "the core has failed: {what}"),
        }
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Failure::Start(error)
    }
}

/// Serves until SIGTERM or an operator's order, then answers what was taken.
pub async fn run(config: Config, source: Source, logging: &Logging) -> Result<(), Failure> {
    let mut stop = signal(SignalKind::terminate())?;
    // Guards against: an end on SIGHUP. From here to the process's end it has no other effect than a reload.
    let reload = signal(SignalKind::hangup())?;
    let state = config.control.as_deref().map(Folder::new).transpose().map_err(of_state)?;
    let steered = state.as_ref().map(Folder::orders).transpose().map_err(of_state)?;
    let listener = match &config.passed {
        Some(passed) => TcpListener::from_std(passed.listener(config.listen)?)?,
        None => bind(config.listen)?,
    };
    let second = match config.admin {
        Some(address) => Some(bind(address)?),
        None => None,
    };
    let keeper = Keeper::new(Duration::from_micros(config.setup.longest_deadline), config.passed.is_some());
    let book = Book::new(config.setup.names.all_classes());
    // All of it ends with this function, so that a core that has failed leaves nothing behind.
    let mut parts = JoinSet::new();
    // Guards against: calls that wait for as long as the process before takes to hand over.
    if let Some(second) = second {
        info!("the second address is {}", second.local_addr()?);
        let (keeper, book, prometheus) = (keeper.clone(), book.clone(), config.prometheus);
        parts.spawn(Admin::new(second, Desk { keeper, book, prometheus, audit: state.clone() }).run());
    }
    let (connections, memory) = (config.server_connections(), config.request_memory());
    let portion = ResourceShare::default();
    let place = config.passed.as_ref().and_then(|_| config.shared_folder.clone());
    let place = place.map(|folder| Place::new(folder, config.listen.port()));
    let (succession, received) = handover::begin(place, &portion).await;
    // What the process before goes by is newer than what the platform last knew.
    let (known, version) = match received.list {
        Some((list, version)) => (list, version),
        None => (config.known.list.clone(), Some(config.known.version)),
    };
    let version = version.filter(|_| !known.servers.is_empty());
    let quotas = config.quota.as_ref().map(|quota| quota.admission(&config.setup.names));
    let (to_lists, lists) = mpsc::unbounded_channel();
    let in_common = config.siblings.as_ref().is_some_and(|site| site.replicated_kinds.any());
    // Orders in common that lasted are told to the others again, and what the process before held is held on.
    let lasted = steered.iter().flatten().filter_map(KeptRecord::of);
    let kept = lasted.chain(received.copy.iter().filter_map(KeptRecord::handed)).collect();
    // Where other nodes may have a server left out, the list is steered, whether or not operators do it here.
    let steered = steered.or(in_common.then(Vec::new));
    let options = Options {
        setup: config.setup.clone(),
        seed: config.seed,
        initial_list: known,
        max_connections: connections,
        request_memory_bytes: memory,
        quotas,
        metrics: book,
        list_version: version,
        learned: received.learned,
        resource_share: portion.clone(),
        persisted_orders: steered,
        list_updates: in_common.then_some(to_lists),
    };
    let names = config.setup.names.clone();
    let kinds = config.memcached.as_ref().map(|(_, ready)| ready.kinds.clone());
    let servers = ServerConnector::new(kinds.unwrap_or_default());
    let (driver, Handles { requests, members, core: orders }) = Driver::new(options, servers);
    let gauges = driver.gauges();
    let acceptor = Acceptor::new(requests, config.client_bounds(gauges.clone(), portion), keeper.bearing());
    let mut fronts = Vec::new();
    for listener in config.memcached.iter().flat_map(|(_, ready)| &ready.listeners) {
        fronts.push((bind(listener.address)?, listener));
    }
    let mut driver = AbortOnDropHandle::new(tokio::spawn(driver.run()));
    let (to_node, commands) = mpsc::channel(COMMANDS);
    let nodes = watch::Sender::new(config.setup.settings.nodes);
    let (to_siblings, asks) = siblings::asks();
    let kin = config.siblings.clone().map(|site| {
        let (to, site) = watch::channel(site);
        let (orders, nodes, keeper) = (orders.clone(), nodes.clone(), keeper.clone());
        let (commands, own, seed) = (to_node.clone(), LocalServerList::default(), config.seed);
        parts.spawn(Ties { orders, nodes, keeper, asks, site, seed, lists, commands, kept, own }.run());
        to
    });
    if let Some(state) = state {
        let host = Host {
            events: logging.events.clone(),
            commands: to_node.clone(),
            described: config.described(),
            siblings: kin.is_some().then(|| to_siblings.clone()),
            descriptor_limit: config.sockets,
        };
        let listen = {
            let (state, orders) = (state, orders.clone());
            move || Control::listen(state.clone(), orders.clone(), host.clone())
        };
        let mut first = Some(listen().map_err(of_state)?);
        parts.spawn(keep("control", move || {
            let control = first.take().map_or_else(&listen, Ok);
            async move {
                match control {
                    Ok(control) => control.run().await,
                    Err(error) => warn!("control: {error}"),
                }
            }
        }));
    }
    info!("listening on {}", listener.local_addr()?);
    if let Some(succession) = succession {
        let (acceptor, gauges, most) = (acceptor.clone(), gauges.clone(), config.connections());
        let holds = move || ((acceptor.connection_count() + gauges.connections()) * 1000 / most) as u32;
        let copy = kin.is_some().then(|| to_siblings.clone());
        parts.spawn(succession.keep(orders.clone(), copy, holds, keeper.bearing()));
    }
    let to_core = orders.clone();
    let followed = Followed::start(members, orders, version, &config, nodes.subscribe(), kin, &mut parts);
    let told = Told { commands, keeper: keeper.clone(), logging };
    let told = told.follow(followed, reload, source);
    tokio::pin!(told);
    let mut accepting = JoinSet::new();
    accepting.spawn(acceptor.clone().accept(listener, move || RespProtocol::new(names.clone())));
    let nonce = nonce(config.seed);
    for (bound, listener) in fronts {
        info!("memcached {:?} is listening on {}", listener.name, bound.local_addr()?);
        let front = listener.front(gauges.clone(), nonce);
        accepting.spawn(acceptor.clone().accept(bound, move || front.connection()));
    }
    let _ = keeper.tell(Event::Ready); // refused only where it is told to stop already
    let mut bearing = keeper.bearing();
    let mut told_end = false;
    let ended = loop {
        if let Some(at) = keeper.ends().filter(|_| !told_end) {
            to_core.shut_down_at(at);
            told_end = true;
        }
        // Whoever is accepted by then is counted before the acceptor can be seen to be empty.
        let taking = bearing.borrow_and_update().accepts_connections;
        tokio::select! {
            _ = stop.recv() => keeper.stop(),
            () = &mut told => {}
            () = keeper.follow() => break Ok(()),
            ended = &mut driver => break Err(format!("{ended:?}")),
            Some(ended) = accepting.join_next() => if keeper.bearing().borrow().accepts_connections {
                break Err(format!("a listener ended: {ended:?}"));
            },
            Ok(()) = bearing.changed() => {}
            () = acceptor.wait_until_empty(), if !taking && accepting.is_empty() => {
                let _ = keeper.tell(Event::ConnectionsClosed); // never refused
            }
        }
    };
    if let Err(what) = ended {
        let _ = keeper.tell(Event::Failed); // never refused
        accepting.shutdown().await;
        let _ = timeout_at(Instant::now() + LAST_WRITES, acceptor.wait_until_empty()).await; // what is owed fails with the core
        return Err(Failure::Core(what));
    }
    // A process that was held up may come here before the core has given its last answers.
    to_core.shut_down_at(Instant::now());
    let _ = timeout_at(Instant::now() + LAST_MOMENT, acceptor.wait_until_empty()).await; // killed soon after
    Ok(())
}

/// What is wrong with the state folder.
fn of_state(error: io::Error) -> io::Error {
    let mend = "name a folder that this node alone may write, in [control]";
    io::Error::new(error.kind(), format!("the state folder can't be used: {error}; {mend}"))
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let error = |e: io::Error| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}"));
    listen(address).map_err(error)
}

/// Guards against: a crowd that finds the runtime's backlog of 128 full while the node is held up. The kernel drops such
/// connections and tries again after a second, of which the node knows nothing.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// A number that no other process has, as good as surely: another node's seed is another, and so is the time of
/// another start.
fn nonce(seed: u64) -> u64 {
    let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    fastrand::Rng::with_seed(seed ^ start).u64(..)
}

/// What a node is told while it runs: signals, and operators' orders.
struct Told<'a> {
    commands: mpsc::Receiver<Command>,
    keeper: Keeper,
    logging: &'a Logging,
}

impl Told<'_> {
    /// Carries out what is told, one after the other.
    async fn follow(mut self, followed: Followed, mut reload: Signal, source: Source) {
        loop {
            tokio::select! {
                Some(()) = reload.recv() => {
                    let _ = followed.read_again(&source); // it has said what it came to
                }
                Some(command) = self.commands.recv() => match command {
                    Command::Reload(answer) => drop(answer.send(followed.read_again(&source))),
                    Command::Level(level, answer) => {
                        let set = self.logging.set_level(&level);
                        let _ = answer.send(set.map(|()| format!("logs from {level} on")));
                    }
                    Command::Service(joins, answer) => {
                        let (event, what) = match joins {
                            true => (Event::Join, "the node is in service"),
                            false => (Event::Leave, "the node leaves service and runs on"),
                        };
                        let told = self.keeper.tell(event);
                        let _ = answer.send(told.map(|()| what.into()).map_err(|why| why.to_string()));
                    }
                    Command::Stop(answer) => {
                        let what = "the node drains: it answers what it has taken, and ends";
                        let _ = answer.send(Ok(what.into()));
                        self.keeper.stop();
                    }
                },
            }
        }
    }
}

/// What a reload looks at: the sources of members, which follow it, and what stays as it was.
struct Followed {
    discovery: Option<watch::Sender<SocketAddr>>,
    etcd: Option<(Etcd, watch::Sender<Settings>)>,
    memcached: Option<Memcached>,
    /// Where another list of nodes is told.
    siblings: Option<watch::Sender<Site>>,
    /// Where other quotas are told, with the names that they are read by.
    quotas: Option<(CoreHandle, Arc<Names>)>,
    /// Where the list is told, if the configuration has all of it.
    fixed: Option<MembershipHandle>,
}

impl Followed {
    /// Starts the sources. Where there are two, etcd goes before discovery: its first list ends that.
    ///
    /// `known`: the version of the list that the core has.
    fn start(
        members: MembershipHandle,
        orders: CoreHandle,
        known: Option<u64>,
        config: &Config,
        nodes: watch::Receiver<usize>,
        siblings: Option<watch::Sender<Site>>,
        parts: &mut JoinSet<()>,
    ) -> Followed {
        let discovery = config.discovery.map(|at| {
            let (to, address) = watch::channel(at);
            let members = members.clone().with_source("discovery");
            let follow = move || {
                discovery::DiscoveryWatcher::new(members.clone(), known, nodes.clone()).run(address.clone())
            };
            (to, parts.spawn(keep("discovery", follow)))
        });
        let (discovery, rival) = discovery.unzip();
        let fixed = config.fixed.then(|| members.clone());
        let etcd = config.etcd.clone().map(|(etcd, settings)| {
            let (to, followed) = watch::channel(settings.clone());
            let (prefix, folder, seed) = (etcd.prefix.clone(), etcd.keep.clone(), config.seed);
            let members = members.with_source("etcd");
            parts.spawn(keep("etcd", move || {
                let (members, settings) = (members.clone(), followed.borrow().clone());
                let (folder, rival) = (folder.clone(), rival.clone());
                etcd::source::Source::new(members, settings, &prefix, seed, folder, rival)
                    .run(followed.clone())
            }));
            (etcd, to)
        });
        let memcached = config.memcached.as_ref().map(|(file, _)| file.clone());
        let quotas = config.quota.as_ref().map(|_| (orders, config.setup.names.clone()));
        Followed { discovery, etcd, memcached, siblings, quotas, fixed }
    }

    /// Goes by the configuration as it is now, as far as it may change while the node runs.
    fn read_again(&self, source: &Source) -> Outcome {
        let new = Config::sources_anew(source).map_err(|error| {
            warn!("configuration kept as it was: {error}");
            format!("the configuration is kept as it was: {error}")
        })?;
        self.list_changed(new.fixed);
        self.discovery_moved(new.discovery);
        self.etcd_moved(new.etcd);
        self.quotas_changed(new.quota);
        self.siblings_changed(new.siblings);
        if new.memcached != self.memcached {
            warn!("memcached's options change only with a restart; kept as they were");
        }
        Ok("the configuration is read again: sources of members, boxes of a fixed list, quotas".into())
    }

    fn list_changed(&self, new: Option<ServerList>) {
        match (&self.fixed, new) {
            (Some(members), Some(list)) => _ = members.update_list(list), // nobody goes by it once the core has ended
            (None, None) => {}
            _ => warn!("a source of members comes or goes only with a restart; kept as it was"),
        }
    }

    fn discovery_moved(&self, new: Option<SocketAddr>) {
        match (&self.discovery, new) {
            (Some(to), Some(new)) => {
                info!("discovery is at {new}");
                let _ = to.send(new); // nobody follows it once the node ends, or etcd has taken over
            }
            (None, None) => {}
            _ => warn!("discovery comes or goes only with a restart; kept as it was"),
        }
    }

    fn siblings_changed(&self, new: Option<Site>) {
        match (&self.siblings, new) {
            (Some(to), Some(new)) => {
                _ = to.send_if_modified(|site| {
                    *site != new && {
                        *site = new;
                        true
                    }
                })
            }
            (None, None) => {}
            _ => warn!("siblings come or go only with a restart; kept as they were"),
        }
    }

    fn quotas_changed(&self, new: Option<Quota>) {
        match (&self.quotas, new) {
            (Some((orders, names)), Some(new)) => orders.set_quotas(new.admission(names)),
            (None, None) => {}
            _ => warn!("quotas come or go only with a restart; kept as they were"),
        }
    }

    fn etcd_moved(&self, new: Option<(Etcd, Settings)>) {
        match (&self.etcd, new) {
            (Some((old, to)), Some((new, settings))) => {
                if (&new.prefix, &new.keep) != (&old.prefix, &old.keep) {
                    warn!("etcd's prefix and keep change only with a restart; kept as they were");
                }
                info!("etcd is at {}", settings.endpoints.join(", "));
                let _ = to.send(settings); // nobody follows it once the node ends
            }
            (None, None) => {}
            _ => warn!("etcd comes or goes only with a restart; kept as it was"),
        }
    }
}
