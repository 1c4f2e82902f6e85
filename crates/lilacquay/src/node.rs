//! Runs one node on real sockets: starts the core, the listeners of the protocols, the upstream connector, the membership
//! sources and the optional tasks (admin, control, siblings, handover), and ends them in order.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_admin::Admin;
use lilacquay_control::{CommandResult, Control, NodeCommand, NodeContext, StateDir};
use lilacquay_core::{CoreHandle, Driver, Handles, MembershipHandle, Options, ResourceShare, ServerList};
use lilacquay_etcd::Settings;
use lilacquay_fronts::Acceptor;
use lilacquay_fronts::accept_policy::ACCEPT_BACKLOG;
use lilacquay_fronts::resp::RespProtocol;
use lilacquay_lifecycle::Event;
use lilacquay_members::{discovery, etcd};
use lilacquay_metrics::Metrics;
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

use crate::admin::AdminHandler;
use crate::config::{Config, ConfigSource};
use crate::etcd::EtcdConfig;
use crate::final_answers;
use lilacquay_handover::messages::Message;

use crate::handover::{self, HandoverPaths};
use crate::lifecycle::NodeLifecycle;
use crate::logging::Logging;
use crate::memcached::MemcachedConfig;
use crate::quota::QuotaConfig;
use crate::replicated_state::SavedRecord;
use crate::siblings::{self, SiblingsTask, Site};
use crate::supervisor::supervise;

/// How long client connections may still write after a core failure: the core has answered all open requests as failed.
const WRITE_TIME_AFTER_CORE_FAILURE: Duration = Duration::from_millis(600);
/// Capacity of the queue of operators' commands that are waiting to be carried out.
const COMMAND_QUEUE_CAPACITY: usize = 16;

/// Why a node has ended without being told to.
#[derive(Debug)]
pub enum Failure {
    /// It could not start.
    Start(io::Error),
    /// Its core has failed. The requests that it had accepted were answered as failed.
    Core(String),
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failure::Start(error) => error.fmt(f),
            Failure::Core(reason) => write!(f, "the core has failed: {reason}"),
        }
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Failure::Start(error)
    }
}

/// Serves until SIGTERM or an operator's order to stop, then answers the requests already accepted.
///
/// # Errors
/// If the node cannot start, or its core or a listener fails.
pub async fn run(config: Config, source: ConfigSource, logging: &Logging) -> Result<(), Failure> {
    let mut stop = signal(SignalKind::terminate())?;
    // Without a handler, SIGHUP would end the process. From here to the process's end its only effect is a reload.
    let reload = signal(SignalKind::hangup())?;
    let state_folder =
        config.state_folder.as_deref().map(StateDir::new).transpose().map_err(state_folder_error)?;
    let persisted_orders =
        state_folder.as_ref().map(StateDir::load_orders).transpose().map_err(state_folder_error)?;
    let listener = match &config.inherited_socket {
        Some(passed) => TcpListener::from_std(passed.listener(config.listen)?)?,
        None => bind(config.listen)?,
    };
    let admin_listener = match config.admin {
        Some(address) => Some(bind(address)?),
        None => None,
    };
    let lifecycle = NodeLifecycle::new(
        Duration::from_micros(config.setup.longest_deadline),
        config.inherited_socket.is_some(),
    );
    let metrics = Metrics::new(config.setup.names.all_classes());
    // All tasks end with this function, so that none is left running after a core failure.
    let mut tasks = JoinSet::new();
    // Started before the handover, so that admin calls don't wait for as long as the predecessor takes to hand over.
    if let Some(admin_listener) = admin_listener {
        info!("the second address is {}", admin_listener.local_addr()?);
        let handler = AdminHandler {
            lifecycle: lifecycle.clone(),
            metrics: metrics.clone(),
            prometheus: config.prometheus_format,
            audit_folder: state_folder.clone(),
        };
        tasks.spawn(Admin::new(admin_listener, handler).run());
    }
    let (max_connections, request_memory_bytes) =
        (config.max_server_connections(), config.request_memory_bytes());
    let resource_share = ResourceShare::default();
    let shared_folder = config.inherited_socket.as_ref().and_then(|_| config.shared_folder.clone());
    let handover_paths = shared_folder.map(|folder| HandoverPaths::new(folder, config.listen.port()));
    let (handover_session, received) = handover::begin(handover_paths, &resource_share).await;
    // The predecessor's list is newer than the one that the platform passed at the start.
    let (initial_list, version) = match received.list {
        Some((list, version)) => (list, version),
        None => (config.initial_list.list.clone(), Some(config.initial_list.version)),
    };
    let version = version.filter(|_| !initial_list.servers.is_empty());
    let quotas = config.quota.as_ref().map(|quota| quota.admission(&config.setup.names));
    let (list_updates_sender, list_updates) = mpsc::unbounded_channel();
    let replicates = config.siblings.as_ref().is_some_and(|site| site.replicated_kinds.any());
    // Persisted replicated orders are published to the other nodes again, and the predecessor's records are kept.
    let own_records = persisted_orders.iter().flatten().filter_map(SavedRecord::from_persistent_order);
    let predecessor_writes = Message::WritesBegun { ids: received.recent_writes };
    let handed_over = received.replicated_records.iter().filter_map(SavedRecord::from_handover);
    let saved_records = own_records.chain(handed_over).collect();
    // Where other nodes can have a server excluded, overrides are on, whether or not operators give orders here.
    let persisted_orders = persisted_orders.or(replicates.then(Vec::new));
    let options = Options {
        setup: config.setup.clone(),
        seed: config.seed,
        initial_list,
        max_connections,
        request_memory_bytes,
        quotas,
        metrics,
        list_version: version,
        learned: received.learned,
        resource_share: resource_share.clone(),
        persisted_orders,
        list_updates: replicates.then_some(list_updates_sender),
    };
    let names = config.setup.names.clone();
    let kinds = config.memcached.as_ref().map(|(_, memcached)| memcached.server_kinds.clone());
    let connector = ServerConnector::new(kinds.unwrap_or_default());
    let (driver, Handles { requests, members, core, recent_writes }) = Driver::new(options, connector);
    handover::apply_write_updates(&recent_writes, &predecessor_writes);
    let gauges = driver.gauges();
    let acceptor = Acceptor::new(
        requests,
        config.client_limits(gauges.clone(), resource_share),
        lifecycle.service_mode(),
    );
    let mut memcached_listeners = Vec::new();
    for listener in config.memcached.iter().flat_map(|(_, memcached)| &memcached.listeners) {
        memcached_listeners.push((bind(listener.address)?, listener));
    }
    let mut driver = AbortOnDropHandle::new(tokio::spawn(driver.run()));
    let (command_sender, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let node_count = watch::Sender::new(config.setup.settings.nodes);
    let (siblings_requests, request_receiver) = siblings::request_channel();
    let site_sender = config.siblings.clone().map(|site| {
        let (site_sender, site) = watch::channel(site);
        let task = SiblingsTask {
            core: core.clone(),
            node_count: node_count.clone(),
            lifecycle: lifecycle.clone(),
            requests: request_receiver,
            site,
            seed: config.seed,
            list_updates,
            commands: command_sender.clone(),
            saved_records,
            own_list: LocalServerList::default(),
        };
        tasks.spawn(task.run());
        site_sender
    });
    if let Some(state_folder) = state_folder {
        let host = NodeContext {
            events: logging.events.clone(),
            commands: command_sender.clone(),
            redacted_config: config.diagnostic_summary(),
            siblings: site_sender.is_some().then(|| siblings_requests.clone()),
            descriptor_limit: config.max_descriptors,
        };
        let listen = {
            let core = core.clone();
            move || Control::listen(state_folder.clone(), core.clone(), host.clone())
        };
        let mut first_listener = Some(listen().map_err(state_folder_error)?);
        tasks.spawn(supervise("control", move || {
            let control = first_listener.take().map_or_else(&listen, Ok);
            async move {
                match control {
                    Ok(control) => control.run().await,
                    Err(error) => warn!("control: {error}"),
                }
            }
        }));
    }
    info!("listening on {}", listener.local_addr()?);
    if let Some(handover_session) = handover_session {
        let (acceptor, gauges, max_connections) =
            (acceptor.clone(), gauges.clone(), config.max_connections());
        let thousandths_in_use =
            move || ((acceptor.connection_count() + gauges.connections()) * 1000 / max_connections) as u32;
        let siblings_requests = site_sender.is_some().then(|| siblings_requests.clone());
        let service_mode = lifecycle.service_mode();
        let session = handover_session.run(
            core.clone(),
            siblings_requests,
            recent_writes,
            thousandths_in_use,
            service_mode,
        );
        tasks.spawn(session);
    }
    let core_handle = core.clone();
    let reloadable =
        Reloadable::start(members, core, version, &config, node_count.subscribe(), site_sender, &mut tasks);
    let commands = CommandLoop { commands, lifecycle: lifecycle.clone(), logging };
    let commands = commands.run(reloadable, reload, source);
    tokio::pin!(commands);
    let mut listener_tasks = JoinSet::new();
    listener_tasks.spawn(acceptor.clone().accept(listener, move || RespProtocol::new(names.clone())));
    let nonce = nonce(config.seed);
    for (socket, listener) in memcached_listeners {
        info!("memcached {:?} is listening on {}", listener.name, socket.local_addr()?);
        let protocol = listener.frontend(gauges.clone(), nonce);
        listener_tasks.spawn(acceptor.clone().accept(socket, move || protocol.connection()));
    }
    let _ = lifecycle.handle_event(Event::Ready); // refused only if the node has been told to stop already
    let mut service_mode = lifecycle.service_mode();
    let mut core_has_deadline = false;
    let ended = loop {
        if let Some(deadline) = lifecycle.shutdown_deadline().filter(|_| !core_has_deadline) {
            core_handle.shut_down_at(deadline);
            core_has_deadline = true;
        }
        // Read before the acceptor is checked for emptiness: a connection accepted before the change is counted by then.
        let accepts_connections = service_mode.borrow_and_update().accepts_connections;
        tokio::select! {
            _ = stop.recv() => lifecycle.shut_down(),
            () = &mut commands => {}
            () = lifecycle.run_until_ended() => break Ok(()),
            ended = &mut driver => break Err(format!("{ended:?}")),
            Some(ended) = listener_tasks.join_next() => if lifecycle.service_mode().borrow().accepts_connections {
                break Err(format!("a listener ended: {ended:?}"));
            },
            Ok(()) = service_mode.changed() => {}
            () = acceptor.wait_until_empty(), if !accepts_connections && listener_tasks.is_empty() => {
                let _ = lifecycle.handle_event(Event::ConnectionsClosed); // never refused
            }
        }
    };
    if let Err(reason) = ended {
        let _ = lifecycle.handle_event(Event::Failed); // never refused
        listener_tasks.shutdown().await;
        // Open requests fail with the core.
        let write_deadline = Instant::now() + WRITE_TIME_AFTER_CORE_FAILURE;
        let _ = timeout_at(write_deadline, acceptor.wait_until_empty()).await;
        return Err(Failure::Core(reason));
    }
    // A process that was paused may get here before the core has given its last answers.
    core_handle.shut_down_at(Instant::now());
    final_answers::finish(&acceptor, lifecycle.shutdown_deadline()).await;
    Ok(())
}

/// Adds to an error of the state folder what is wrong and how to correct it.
fn state_folder_error(error: io::Error) -> io::Error {
    let remedy = "name a folder that this node alone may write, in [control]";
    io::Error::new(error.kind(), format!("the state folder can't be used: {error}; {remedy}"))
}

fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let with_address =
        |error: io::Error| io::Error::new(error.kind(), format!("cannot listen on {address}: {error}"));
    listen(address).map_err(with_address)
}

/// Opens a listening socket with a larger backlog than the runtime's 128. A burst of connections that arrives while the
/// node is paused would fill a backlog of 128; the kernel drops further connections, and the client's kernel retries only
/// after a second, which the node does not see.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// A number that is almost certainly unique to this process: other nodes have other seeds, and a restart has another start
/// time.
fn nonce(seed: u64) -> u64 {
    let start_ns = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    fastrand::Rng::with_seed(seed ^ start_ns).u64(..)
}

/// Carries out SIGHUP and operators' commands while the node runs.
struct CommandLoop<'a> {
    commands: mpsc::Receiver<NodeCommand>,
    lifecycle: NodeLifecycle,
    logging: &'a Logging,
}

impl CommandLoop<'_> {
    /// Carries out commands one at a time; never returns.
    async fn run(mut self, reloadable: Reloadable, mut reload: Signal, source: ConfigSource) {
        loop {
            tokio::select! {
                Some(()) = reload.recv() => {
                    let _ = reloadable.reload(&source); // it has logged its outcome
                }
                Some(command) = self.commands.recv() => match command {
                    NodeCommand::Reload(answer) => drop(answer.send(reloadable.reload(&source))),
                    NodeCommand::SetLogLevel(level, answer) => {
                        let result = self.logging.set_level(&level);
                        let _ = answer.send(result.map(|()| format!("logs from {level} on")));
                    }
                    NodeCommand::SetInService(join, answer) => {
                        let (event, message) = match join {
                            true => (Event::Join, "the node is in service"),
                            false => (Event::Leave, "the node leaves service and keeps running"),
                        };
                        let result = self.lifecycle.handle_event(event);
                        let outcome = result.map(|()| message.into()).map_err(|refusal| refusal.to_string());
                        let _ = answer.send(outcome);
                    }
                    NodeCommand::Stop(answer) => {
                        let message = "the node is draining: it answers the requests it has accepted, then ends";
                        let _ = answer.send(Ok(message.into()));
                        self.lifecycle.shut_down();
                    }
                },
            }
        }
    }
}

/// The parts of the configuration that a reload updates, with the channels that carry new values, and those that need a
/// restart, whose changes are only warned about.
struct Reloadable {
    discovery: Option<watch::Sender<SocketAddr>>,
    etcd: Option<(EtcdConfig, watch::Sender<Settings>)>,
    memcached: Option<MemcachedConfig>,
    /// Carries a new list of nodes to the siblings task.
    siblings: Option<watch::Sender<Site>>,
    /// The core, which receives new quotas, and the names that they are parsed with.
    quotas: Option<(CoreHandle, Arc<Names>)>,
    /// Receives the server list, if the configuration holds all of it.
    fixed_list: Option<MembershipHandle>,
}

impl Reloadable {
    /// Starts the membership sources. Where there are two, etcd has precedence: its first list ends discovery.
    ///
    /// `known_version`: the version of the list that the core has.
    fn start(
        members: MembershipHandle,
        core: CoreHandle,
        known_version: Option<u64>,
        config: &Config,
        node_count: watch::Receiver<usize>,
        siblings: Option<watch::Sender<Site>>,
        tasks: &mut JoinSet<()>,
    ) -> Reloadable {
        let discovery = config.discovery.map(|initial_address| {
            let (address_sender, address) = watch::channel(initial_address);
            let members = members.clone().with_source("discovery");
            let watch_discovery = move || {
                discovery::DiscoveryWatcher::new(members.clone(), known_version, node_count.clone())
                    .run(address.clone())
            };
            (address_sender, tasks.spawn(supervise("discovery", watch_discovery)))
        });
        let (discovery, discovery_task) = discovery.unzip();
        let fixed_list = config.has_fixed_list.then(|| members.clone());
        let etcd = config.etcd.clone().map(|(etcd, settings)| {
            let (settings_sender, current_settings) = watch::channel(settings.clone());
            let (prefix, folder, seed) = (etcd.prefix.clone(), etcd.cache_folder.clone(), config.seed);
            let members = members.with_source("etcd");
            tasks.spawn(supervise("etcd", move || {
                let (members, settings) = (members.clone(), current_settings.borrow().clone());
                let (folder, discovery_task) = (folder.clone(), discovery_task.clone());
                etcd::source::Source::new(members, settings, &prefix, seed, folder, discovery_task)
                    .run(current_settings.clone())
            }));
            (etcd, settings_sender)
        });
        let memcached = config.memcached.as_ref().map(|(file, _)| file.clone());
        let quotas = config.quota.as_ref().map(|_| (core, config.setup.names.clone()));
        Reloadable { discovery, etcd, memcached, siblings, quotas, fixed_list }
    }

    /// Reads the configuration again and applies the parts of it that may change while the node runs.
    fn reload(&self, source: &ConfigSource) -> CommandResult {
        let new = Config::read_reloadable(source).map_err(|error| {
            warn!("configuration not reloaded, kept as it was: {error}");
            format!("the configuration is kept as it was: {error}")
        })?;
        self.update_fixed_list(new.fixed_list);
        self.update_discovery(new.discovery);
        self.update_etcd(new.etcd);
        self.update_quotas(new.quota);
        self.update_siblings(new.siblings);
        if new.memcached != self.memcached {
            warn!("the memcached options change only with a restart; kept as they were");
        }
        Ok("the configuration is read again: sources of members, boxes of a fixed list, quotas".into())
    }

    fn update_fixed_list(&self, new: Option<ServerList>) {
        match (&self.fixed_list, new) {
            (Some(members), Some(list)) => _ = members.update_list(list), // ignored once the core has ended
            (None, None) => {}
            _ => warn!("a fixed server list can be added or removed only by a restart; kept as it was"),
        }
    }

    fn update_discovery(&self, new: Option<SocketAddr>) {
        match (&self.discovery, new) {
            (Some(address_sender), Some(new)) => {
                info!("discovery is at {new}");
                let _ = address_sender.send(new); // there is no receiver once the node ends or etcd has taken over
            }
            (None, None) => {}
            _ => warn!("discovery can be added or removed only by a restart; kept as it was"),
        }
    }

    fn update_siblings(&self, new: Option<Site>) {
        match (&self.siblings, new) {
            (Some(site_sender), Some(new)) => {
                _ = site_sender.send_if_modified(|site| {
                    *site != new && {
                        *site = new;
                        true
                    }
                })
            }
            (None, None) => {}
            _ => warn!("siblings can be added or removed only by a restart; kept as they were"),
        }
    }

    fn update_quotas(&self, new: Option<QuotaConfig>) {
        match (&self.quotas, new) {
            (Some((core, names)), Some(new)) => core.set_quotas(new.admission(names)),
            (None, None) => {}
            _ => warn!("quotas can be added or removed only by a restart; kept as they were"),
        }
    }

    fn update_etcd(&self, new: Option<(EtcdConfig, Settings)>) {
        match (&self.etcd, new) {
            (Some((old, settings_sender)), Some((new, settings))) => {
                if (&new.prefix, &new.cache_folder) != (&old.prefix, &old.cache_folder) {
                    warn!("etcd's prefix and `keep` change only with a restart; kept as they were");
                }
                info!("etcd is at {}", settings.endpoints.join(", "));
                let _ = settings_sender.send(settings); // there is no receiver once the node ends
            }
            (None, None) => {}
            _ => warn!("etcd can be added or removed only by a restart; kept as it was"),
        }
    }
}
