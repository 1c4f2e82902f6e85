//! A fleet of stand-in servers that runs on a thread of its own, controlled by messages from its owner.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc as sync};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::sync::mpsc;

use crate::cache::{BoxConfig, CacheBox, CacheProtocol};
use crate::clients::Load;
use crate::clock::Clock;
use crate::discovery::{Discovery, ServerEntry};
use crate::etcd::{Etcd, EtcdPlan};
use crate::memcache;
use crate::origin::{MissLog, Origin, OriginConfig};
use crate::record::{Log, Record, ServerState};
use crate::script::Step;
use crate::settings;
use crate::store::ColdStart;

/// Configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Seed of all its random choices.
    pub seed: u64,
    /// Number of cache boxes at the start. They are warm and named `box-0` and so on.
    pub boxes: usize,
    /// Configuration of each box.
    pub cache: BoxConfig,
    /// Configuration of the origin, which is named `origin`.
    pub origin: OriginConfig,
    /// Time from a change of the list to discovery's notification.
    pub notification_delay: Duration,
    /// Time that a call to discovery takes; it works on one at a time.
    pub discovery_call_time: Duration,
    /// Time for which, by the settings, a node may still send requests to a server after it was told of its drain.
    pub drain_grace: Duration,
    /// Whether the settings have nodes subscribe to the list, in place of the automatic mode.
    pub subscribe: bool,
    /// Number of concurrent requests that the settings allow on a connection.
    pub max_streams: u32,
    /// Number of etcd endpoints; 0 means no etcd. It lists the same servers as discovery.
    pub etcd_endpoints: usize,
    /// Number of boxes, the last ones, that serve memcached; their kind of machine is `memcached`.
    pub memcached_boxes: usize,
    /// Number of additional servers that are listed as draining but don't exist, to make the list longer.
    pub padding_servers: usize,
    /// Whether events are recorded.
    pub record_events: bool,
}

impl Default for FleetConfig {
    /// Six boxes of two cores each, and an origin that can serve 400 requests a second.
    fn default() -> Self {
        FleetConfig {
            seed: 1,
            boxes: 6,
            cache: BoxConfig {
                protocol: CacheProtocol::Resp,
                cores: 2,
                queue_capacity: 32,
                hit_work: Duration::from_millis(5),
                miss_work: Duration::from_millis(1),
                memory_bytes: 1 << 20,
                cold_start: ColdStart {
                    duration: 5_000_000,
                    initial_capacity: 0.2,
                    overload_factor: 3.0,
                    overload_window: 1_000_000,
                },
            },
            origin: OriginConfig {
                concurrency: 8,
                queue_capacity: 64,
                service_time: Duration::from_millis(20),
                deduplication_window: Duration::from_millis(2500),
            },
            notification_delay: Duration::ZERO,
            discovery_call_time: Duration::ZERO,
            drain_grace: Duration::from_millis(500),
            subscribe: false,
            max_streams: 1,
            etcd_endpoints: 0,
            memcached_boxes: 0,
            padding_servers: 0,
            record_events: true,
        }
    }
}

/// Prefix of the servers' keys in etcd.
const ETCD_PREFIX: &str = "/fleet/members/";

/// Work to do on the fleet's thread.
type Job = Box<dyn FnOnce(&mut Servers) -> io::Result<()> + Send>;

/// A running fleet, which stops when it is dropped.
pub struct Fleet {
    log: Log,
    /// The address that discovery listens on.
    pub discovery: SocketAddr,
    /// The addresses that the boxes listened on at the start, by their number.
    pub boxes: Vec<SocketAddr>,
    /// The address that the origin listens on.
    pub origin: SocketAddr,
    /// The stand-in etcd, if there is one. Its methods may be called from any thread.
    pub etcd: Option<Arc<Etcd>>,
    /// The full server list at the start, as discovery sends it.
    initial_list: String,
    config: FleetConfig,
    jobs: Option<mpsc::UnboundedSender<(Job, sync::Sender<io::Result<()>>)>>,
    thread: Option<JoinHandle<()>>,
}

/// The servers of a fleet, owned by its thread.
struct Servers {
    config: FleetConfig,
    log: Log,
    misses: MissLog,
    boxes: HashMap<String, CacheBox>,
    origin: Origin,
    discovery: Discovery,
    etcd: Option<Arc<Etcd>>,
    /// Number of boxes started so far.
    started: u64,
    /// Boxes to start once the current step has returned, since binding their address is asynchronous. The step's
    /// result waits for them.
    boxes_to_start: Vec<(String, SocketAddr, CacheProtocol)>,
}

impl Fleet {
    /// Starts a fleet. Returns once all its servers listen.
    ///
    /// # Errors
    /// If a socket or the thread can't be created.
    pub fn start(config: FleetConfig) -> io::Result<Fleet> {
        let (ready, started) = sync::channel();
        let (jobs, job_receiver) = mpsc::unbounded_channel();
        let thread_config = config.clone();
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(move || {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return drop(ready.send(Err(error))),
            };
            runtime.block_on(run(thread_config, ready, job_receiver));
        })?;
        let started = started.recv().map_err(io::Error::other)??;
        let Started { log, discovery, boxes, origin, etcd, initial_list } = started;
        Ok(Fleet {
            log,
            discovery,
            boxes,
            origin,
            etcd,
            initial_list,
            config,
            jobs: Some(jobs),
            thread: Some(thread),
        })
    }

    /// Applies one step of a script now, and returns once it has taken effect.
    ///
    /// # Errors
    /// If a new box can't listen on its address, or the step names a server or endpoint that does not exist.
    pub fn step(&self, step: Step) -> io::Result<()> {
        let (answer, result) = sync::channel();
        let job: Job = Box::new(move |servers| servers.step(step));
        let sent = self.jobs.as_ref().is_some_and(|jobs| jobs.send((job, answer)).is_ok());
        if !sent {
            return Err(io::Error::other("the fleet has stopped"));
        }
        result.recv().map_err(io::Error::other)?
    }

    /// All records so far, and the number of those dropped because the log was full.
    pub fn records(&self) -> (Vec<Record>, usize) {
        self.log.records()
    }

    /// The clock of its records.
    pub fn clock(&self) -> &Clock {
        self.log.clock()
    }

    /// The node options for following the fleet's etcd; `None` if it has none.
    pub fn etcd_options(&self) -> Option<String> {
        let endpoint = |addr: &SocketAddr| format!("\"http://{addr}\"");
        let endpoints: Vec<String> = self.etcd.as_ref()?.endpoints.iter().map(endpoint).collect();
        Some(format!("endpoints = [{}]\nprefix = \"{ETCD_PREFIX}\"\n", endpoints.join(", ")))
    }

    /// The node options for memcached: to the boxes that serve it, and to clients on the address `listen`.
    pub fn memcached_options(&self, listen: SocketAddr) -> String {
        let load = Load::standard(listen, Duration::ZERO, 0);
        let classes = load.classes.iter().map(|class| (&*class.name, class.timeout));
        memcache::options(&listen.to_string(), classes)
    }

    /// A node's configuration for this fleet, in the JSON form of the platform.
    pub fn configuration(&self, listen: SocketAddr, sockets: usize) -> String {
        let known: serde_json::Value = serde_json::from_str(&self.initial_list).unwrap_or_default();
        json!({
            "name": "n0", "listen": listen.to_string(), "discovery": self.discovery.to_string(),
            "seed": format!("{:x}", self.config.seed), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": known, "settings": settings::settings(&self.config),
        })
        .to_string()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.jobs = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What a fleet's thread reports once all servers listen.
struct Started {
    log: Log,
    discovery: SocketAddr,
    boxes: Vec<SocketAddr>,
    origin: SocketAddr,
    etcd: Option<Arc<Etcd>>,
    initial_list: String,
}

/// Runs a fleet on its thread until the sender of jobs is dropped.
async fn run(
    config: FleetConfig,
    ready: sync::Sender<io::Result<Started>>,
    mut job_receiver: mpsc::UnboundedReceiver<(Job, sync::Sender<io::Result<()>>)>,
) {
    let log = Log::new(Clock::default(), config.record_events);
    tokio::spawn(log.clock().clone().measure_scheduling_delay());
    let mut servers = match Servers::start(config, log.clone()).await {
        Ok(servers) => servers,
        Err(error) => return drop(ready.send(Err(error))),
    };
    let boxes = (0..servers.config.boxes).map(|n| servers.boxes[&format!("box-{n}")].addr).collect();
    let (discovery, origin) = (servers.discovery.addr, servers.origin.addr);
    let initial_list = servers.discovery.full_list();
    let etcd = servers.etcd.clone();
    let _ = ready.send(Ok(Started { log, discovery, boxes, origin, etcd, initial_list }));
    while let Some((job, answer)) = job_receiver.recv().await {
        let mut result = job(&mut servers);
        for (name, addr, protocol) in std::mem::take(&mut servers.boxes_to_start) {
            result = result.and(servers.start_box(&name, addr, protocol, true).await);
        }
        let _ = answer.send(result);
    }
}

impl Servers {
    async fn start(config: FleetConfig, log: Log) -> io::Result<Servers> {
        let misses = MissLog::default();
        let origin =
            Origin::start("origin", config.origin.clone(), config.seed ^ 0x0419, log.clone(), misses.clone())
                .await?;
        let discovery =
            Discovery::start(config.notification_delay, config.discovery_call_time, log.clone()).await?;
        let etcd = match config.etcd_endpoints {
            0 => None,
            endpoints => {
                let (prefix, seed) = (ETCD_PREFIX.to_owned(), config.seed);
                let plan = EtcdPlan { endpoints, prefix, seed, ..EtcdPlan::default() };
                Some(Arc::new(Etcd::start(plan, log.clone()).await?))
            }
        };
        let origin_entry = ServerEntry::new("origin", origin.addr, "origin");
        let (boxes, boxes_to_start) = Default::default();
        let mut servers =
            Servers { config, log, misses, boxes, origin, discovery, etcd, started: 0, boxes_to_start };
        servers.list(origin_entry);
        for n in 0..servers.config.padding_servers {
            let state = ServerState::Draining;
            let padding =
                ServerEntry::new(&format!("ghost-{n}"), (Ipv4Addr::LOCALHOST, 9).into(), "standard");
            servers.list(ServerEntry { state, ..padding });
        }
        for n in 0..servers.config.boxes {
            let protocol = match n + servers.config.memcached_boxes < servers.config.boxes {
                true => CacheProtocol::Resp,
                false => CacheProtocol::Memcached,
            };
            servers.start_box(&format!("box-{n}"), (Ipv4Addr::LOCALHOST, 0).into(), protocol, false).await?;
        }
        Ok(servers)
    }

    /// Starts a box on an address and lists it.
    async fn start_box(
        &mut self,
        name: &str,
        address: SocketAddr,
        protocol: CacheProtocol,
        cold: bool,
    ) -> io::Result<()> {
        self.started += 1;
        let config = BoxConfig { protocol, ..self.config.cache.clone() };
        let seed = self.config.seed ^ (self.started << 32);
        let cache = loop {
            let (log, misses) = (self.log.clone(), self.misses.clone());
            match CacheBox::start(name, address, config.clone(), cold, seed, log, misses).await {
                // The listener of the previous box on this address is closed by its own task.
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => tokio::task::yield_now().await,
                other => break other?,
            }
        };
        self.misses.add_box(name, &cache.inner);
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let kind = if protocol == CacheProtocol::Resp { "standard" } else { "memcached" };
        let started_ms = if cold { since_epoch.as_millis() as u64 } else { 0 };
        self.list(ServerEntry { started_ms, ..ServerEntry::new(name, cache.addr, kind) });
        self.boxes.insert(name.to_owned(), cache);
        Ok(())
    }

    /// Adds a server's entry to discovery and etcd, or replaces it.
    fn list(&self, server: ServerEntry) {
        if let Some(etcd) = &self.etcd {
            match server.state {
                ServerState::Deleted => etcd.delete(&server.id),
                _ => etcd.put(&server.id, &server.etcd_value()),
            }
        }
        self.discovery.put(server);
    }

    fn set_state(&self, server: &str, state: ServerState) {
        if let Some(entry) = self.discovery.entry(server) {
            self.list(ServerEntry { state, ..entry });
        }
    }

    fn step(&mut self, step: Step) -> io::Result<()> {
        match step {
            Step::Faults { server, faults } if server == "origin" => self.origin.set_faults(faults),
            Step::Faults { server, faults } => {
                if let Some(cache) = self.cache(&server)? {
                    cache.set_faults(faults);
                }
            }
            Step::Drain { server } => self.set_box_state(&server, ServerState::Draining)?,
            Step::Undrain { server } => self.set_box_state(&server, ServerState::Serving)?,
            Step::Remove { server } => drop(self.remove(&server)?),
            Step::Replace { server, by } => {
                let old = self.remove(&server)?;
                self.boxes_to_start.push((by, old.addr, old.protocol()));
            }
            Step::Discovery { trouble } => self.discovery.set_fault(trouble),
            Step::Etcd { endpoint: None, faults } => self.etcd()?.set_all_faults(&faults),
            Step::Etcd { endpoint: Some(endpoint), faults } => {
                let etcd = self.etcd()?;
                if endpoint >= etcd.endpoints.len() {
                    return Err(io::Error::new(io::ErrorKind::NotFound, format!("no endpoint {endpoint}")));
                }
                etcd.set_faults(endpoint, faults);
            }
            Step::Compact => self.etcd()?.compact(),
        }
        Ok(())
    }

    fn etcd(&self) -> io::Result<&Etcd> {
        self.etcd.as_deref().ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "no etcd in this fleet"))
    }

    /// A box by its name; `None` if it has been removed, an error if there never was one.
    fn cache(&self, server: &str) -> io::Result<Option<&CacheBox>> {
        match self.boxes.get(server) {
            None if !self.discovery.was_listed(server) => Err(no_box(server)),
            cache => Ok(cache),
        }
    }

    fn set_box_state(&self, server: &str, state: ServerState) -> io::Result<()> {
        if self.cache(server)?.is_some() {
            self.set_state(server, state);
        }
        Ok(())
    }

    /// Removes a box from the list and returns it; it stops when it is dropped.
    fn remove(&mut self, server: &str) -> io::Result<CacheBox> {
        self.set_state(server, ServerState::Deleted);
        self.boxes.remove(server).ok_or_else(|| no_box(server))
    }
}

fn no_box(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, format!("no box {name}"))
}
