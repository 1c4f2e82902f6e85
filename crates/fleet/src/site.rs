//! A whole fleet on a thread of its own.

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
use crate::discovery::{Discovery, Listed};
use crate::etcd::{Etcd, EtcdPlan};
use crate::memcache;
use crate::origin::{Missed, Origin, OriginConfig};
use crate::record::{Log, Record, ServerState};
use crate::script::Step;
use crate::settings;
use crate::store::ColdStart;

/// What a fleet is.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// For all its random choices.
    pub seed: u64,
    /// How many cache boxes there are, warm and named `box-0` and so on.
    pub boxes: usize,
    /// What each box is.
    pub cache: BoxConfig,
    /// What the origin, named `origin`, is.
    pub origin: OriginConfig,
    /// How much later than a change discovery tells it.
    pub notification_delay: Duration,
    /// The work of a call at discovery, which works on one at a time.
    pub discovery_call_time: Duration,
    /// What the settings allow between word of a drain and the last thing sent.
    pub drain_grace: Duration,
    /// Whether the settings have nodes ask for the list.
    pub subscribe: bool,
    /// How many requests at once the settings allow on a connection.
    pub max_streams: u32,
    /// How many endpoints of etcd there are; it lists the same servers as discovery. 0 is no etcd.
    pub etcd_endpoints: usize,
    /// How many of the boxes, the last of them, speak memcached; their kind of machine is `memcached`.
    pub memcached_boxes: usize,
    /// How many servers more are listed, as draining, that nobody meets: for the length of the list.
    pub padding_servers: usize,
    /// Whether what comes is recorded.
    pub record_events: bool,
}

impl Default for FleetConfig {
    /// Six boxes of two cores; an origin that can take 400 fetches a second.
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

/// What the keys of servers in etcd begin with.
const PREFIX: &str = "/fleet/members/";

type Order = Box<dyn FnOnce(&mut Servers) -> io::Result<()> + Send>;

/// A running fleet. It ends when it is dropped.
pub struct Fleet {
    log: Log,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// Where the boxes listened at the start, in their order.
    pub boxes: Vec<SocketAddr>,
    /// Where the origin listens.
    pub origin: SocketAddr,
    /// The stand-in etcd, if there is one. It may be called from any thread.
    pub etcd: Option<Arc<Etcd>>,
    known: String,
    plan: FleetConfig,
    orders: Option<mpsc::UnboundedSender<(Order, sync::Sender<io::Result<()>>)>>,
    thread: Option<JoinHandle<()>>,
}

/// The servers, on their thread.
struct Servers {
    plan: FleetConfig,
    log: Log,
    missed: Missed,
    boxes: HashMap<String, CacheBox>,
    origin: Origin,
    discovery: Discovery,
    etcd: Option<Arc<Etcd>>,
    started: u64,
    /// What must wait for the network, with its order's answer.
    later: Vec<(String, SocketAddr, CacheProtocol)>,
}

impl Fleet {
    /// Starts a fleet; returns once all of it listens.
    ///
    /// # Errors
    /// If a socket or the thread can't be had.
    pub fn start(plan: FleetConfig) -> io::Result<Fleet> {
        let (ready, started) = sync::channel();
        let (orders, inbox) = mpsc::unbounded_channel();
        let kept = plan.clone();
        let thread = std::thread::Builder::new().name("fleet".into()).spawn(move || {
            let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
                Ok(runtime) => runtime,
                Err(error) => return drop(ready.send(Err(error))),
            };
            runtime.block_on(run(plan, ready, inbox));
        })?;
        let started = started.recv().map_err(io::Error::other)??;
        let Started { log, discovery, boxes, origin, etcd, known } = started;
        Ok(Fleet {
            log,
            discovery,
            boxes,
            origin,
            etcd,
            known,
            plan: kept,
            orders: Some(orders),
            thread: Some(thread),
        })
    }

    /// Does one step of a script now.
    ///
    /// # Errors
    /// If a new box can't listen at its address, or a server of that name is not there.
    pub fn step(&self, step: Step) -> io::Result<()> {
        let (answer, done) = sync::channel();
        let order: Order = Box::new(move |servers| servers.step(step));
        let sent = self.orders.as_ref().is_some_and(|orders| orders.send((order, answer)).is_ok());
        if !sent {
            return Err(io::Error::other("the fleet has ended"));
        }
        done.recv().map_err(io::Error::other)?
    }

    /// All that came to it so far, and how many records there was no room for.
    pub fn records(&self) -> (Vec<Record>, usize) {
        self.log.records()
    }

    /// The clock of its records.
    pub fn clock(&self) -> &Clock {
        self.log.clock()
    }

    /// The options by which a node follows the fleet's etcd; nothing if there is none.
    pub fn etcd_options(&self) -> Option<String> {
        let endpoint = |addr: &SocketAddr| format!("\"http://{addr}\"");
        let endpoints: Vec<String> = self.etcd.as_ref()?.endpoints.iter().map(endpoint).collect();
        Some(format!("endpoints = [{}]\nprefix = \"{PREFIX}\"\n", endpoints.join(", ")))
    }

    /// The options by which a node speaks memcached, to the boxes that do and at that address to clients.
    pub fn memcached_options(&self, listen: SocketAddr) -> String {
        let usual = Load::standard(listen, Duration::ZERO, 0);
        let classes = usual.classes.iter().map(|class| (&*class.name, class.timeout));
        memcache::options(&listen.to_string(), classes)
    }

    /// A node's configuration, as the platform words it, for this fleet.
    pub fn configuration(&self, listen: SocketAddr, sockets: usize) -> String {
        let known: serde_json::Value = serde_json::from_str(&self.known).unwrap_or_default();
        json!({
            "name": "n0", "listen": listen.to_string(), "discovery": self.discovery.to_string(),
            "seed": format!("{:x}", self.plan.seed), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": known, "settings": settings::settings(&self.plan),
        })
        .to_string()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.orders = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Started {
    log: Log,
    discovery: SocketAddr,
    boxes: Vec<SocketAddr>,
    origin: SocketAddr,
    etcd: Option<Arc<Etcd>>,
    known: String,
}

async fn run(
    plan: FleetConfig,
    ready: sync::Sender<io::Result<Started>>,
    mut inbox: mpsc::UnboundedReceiver<(Order, sync::Sender<io::Result<()>>)>,
) {
    let log = Log::new(Clock::default(), plan.record_events);
    tokio::spawn(log.clock().clone().metronome());
    let mut servers = match Servers::start(plan, log.clone()).await {
        Ok(servers) => servers,
        Err(error) => return drop(ready.send(Err(error))),
    };
    let boxes = (0..servers.plan.boxes).map(|n| servers.boxes[&format!("box-{n}")].addr).collect();
    let (discovery, origin) = (servers.discovery.addr, servers.origin.addr);
    let known = servers.discovery.whole();
    let etcd = servers.etcd.clone();
    let _ = ready.send(Ok(Started { log, discovery, boxes, origin, etcd, known }));
    while let Some((order, answer)) = inbox.recv().await {
        let mut done = order(&mut servers);
        for (name, addr, speaks) in std::mem::take(&mut servers.later) {
            done = done.and(servers.enter(&name, addr, speaks, true).await);
        }
        let _ = answer.send(done);
    }
}

impl Servers {
    async fn start(plan: FleetConfig, log: Log) -> io::Result<Servers> {
        let missed = Missed::default();
        let origin =
            Origin::start("origin", plan.origin.clone(), plan.seed ^ 0x0419, log.clone(), missed.clone())
                .await?;
        let discovery =
            Discovery::start(plan.notification_delay, plan.discovery_call_time, log.clone()).await?;
        let etcd = match plan.etcd_endpoints {
            0 => None,
            endpoints => {
                let (prefix, seed) = (PREFIX.to_owned(), plan.seed);
                let plan = EtcdPlan { endpoints, prefix, seed, ..EtcdPlan::default() };
                Some(Arc::new(Etcd::start(plan, log.clone()).await?))
            }
        };
        let listed = Listed::new("origin", origin.addr, "origin");
        let (boxes, later) = Default::default();
        let mut servers = Servers { plan, log, missed, boxes, origin, discovery, etcd, started: 0, later };
        servers.list(listed);
        for n in 0..servers.plan.padding_servers {
            let state = ServerState::Draining;
            let ghost = Listed::new(&format!("ghost-{n}"), (Ipv4Addr::LOCALHOST, 9).into(), "standard");
            servers.list(Listed { state, ..ghost });
        }
        for n in 0..servers.plan.boxes {
            let speaks = match n + servers.plan.memcached_boxes < servers.plan.boxes {
                true => CacheProtocol::Resp,
                false => CacheProtocol::Memcached,
            };
            servers.enter(&format!("box-{n}"), (Ipv4Addr::LOCALHOST, 0).into(), speaks, false).await?;
        }
        Ok(servers)
    }

    /// Starts a box and lists it.
    async fn enter(
        &mut self,
        name: &str,
        at: SocketAddr,
        speaks: CacheProtocol,
        cold: bool,
    ) -> io::Result<()> {
        self.started += 1;
        let plan = BoxConfig { protocol: speaks, ..self.plan.cache.clone() };
        let seed = self.plan.seed ^ (self.started << 32);
        let cache = loop {
            let (log, missed) = (self.log.clone(), self.missed.clone());
            match CacheBox::start(name, at, plan.clone(), cold, seed, log, missed).await {
                // The old one's listener closes on its own task.
                Err(error) if error.kind() == io::ErrorKind::AddrInUse => tokio::task::yield_now().await,
                other => break other?,
            }
        };
        self.missed.enter(name, &cache.inner);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let kind = if speaks == CacheProtocol::Resp { "standard" } else { "memcached" };
        let started_ms = if cold { unix.as_millis() as u64 } else { 0 };
        self.list(Listed { started_ms, ..Listed::new(name, cache.addr, kind) });
        self.boxes.insert(name.to_owned(), cache);
        Ok(())
    }

    /// Lists a server, or changes its entry.
    fn list(&self, server: Listed) {
        if let Some(etcd) = &self.etcd {
            match server.state {
                ServerState::Deleted => etcd.delete(&server.id),
                _ => etcd.put(&server.id, &server.value()),
            }
        }
        self.discovery.put(server);
    }

    fn set_state(&self, server: &str, state: ServerState) {
        if let Some(listed) = self.discovery.listed(server) {
            self.list(Listed { state, ..listed });
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
            Step::Drain { server } => self.turn(&server, ServerState::Draining)?,
            Step::Undrain { server } => self.turn(&server, ServerState::Serving)?,
            Step::Remove { server } => drop(self.remove(&server)?),
            Step::Replace { server, by } => {
                let old = self.remove(&server)?;
                self.later.push((by, old.addr, old.speaks()));
            }
            Step::Discovery { trouble } => self.discovery.set_trouble(trouble),
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

    /// A box by its name; nothing if it is gone meanwhile.
    fn cache(&self, server: &str) -> io::Result<Option<&CacheBox>> {
        match self.boxes.get(server) {
            None if !self.discovery.has_listed(server) => Err(no_box(server)),
            cache => Ok(cache),
        }
    }

    fn turn(&self, server: &str, state: ServerState) -> io::Result<()> {
        if self.cache(server)?.is_some() {
            self.set_state(server, state);
        }
        Ok(())
    }

    fn remove(&mut self, server: &str) -> io::Result<CacheBox> {
        self.set_state(server, ServerState::Deleted);
        self.boxes.remove(server).ok_or_else(|| no_box(server))
    }
}

fn no_box(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, format!("no box {name}"))
}
