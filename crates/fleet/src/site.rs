//! A whole fleet on a thread of its own.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, mpsc as sync};
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::json;
use tokio::sync::mpsc;

use crate::cache::{BoxPlan, CacheBox, Speaks};
use crate::clients::Load;
use crate::clock::Clock;
use crate::discovery::{Discovery, Listed};
use crate::etcd::{Etcd, EtcdPlan};
use crate::memcache;
use crate::origin::{Missed, Origin, OriginPlan};
use crate::record::{Log, Record, Told};
use crate::script::Step;
use crate::settings;
use crate::store::Cold;

/// What a fleet is.
#[derive(Debug, Clone)]
pub struct Plan {
    /// For all its random choices.
    pub seed: u64,
    /// How many cache boxes there are, warm and named `box-0` and so on.
    pub boxes: usize,
    /// What each box is.
    pub cache: BoxPlan,
    /// What the origin, named `origin`, is.
    pub origin: OriginPlan,
    /// How much later than a change discovery tells it.
    pub delay: Duration,
    /// The work of a call at discovery, which works on one at a time.
    pub call: Duration,
    /// What the settings allow between word of a drain and the last thing sent.
    pub grace: Duration,
    /// Whether the settings have nodes ask for the list.
    pub asked: bool,
    /// How many requests at once the settings allow on a connection.
    pub streams: u32,
    /// How many endpoints of etcd there are; it lists the same servers as discovery. 0 is no etcd.
    pub etcd: usize,
    /// How many of the boxes, the last of them, speak memcached; their kind of machine is `memcached`.
    pub memcached: usize,
    /// How many servers more are listed, as draining, that nobody meets: for the length of the list.
    pub ghosts: usize,
    /// Whether what comes is recorded.
    pub recorded: bool,
}

impl Default for Plan {
    /// Six boxes of two cores; an origin that can take 400 fetches a second.
    fn default() -> Self {
        Plan {
            seed: 1,
            boxes: 6,
            cache: BoxPlan {
                speaks: Speaks::Resp,
                cores: 2,
                slots: 32,
                work: Duration::from_millis(5),
                miss_work: Duration::from_millis(1),
                memory: 1 << 20,
                cold: Cold { time: 5_000_000, from: 0.2, factor: 3.0, fall: 1_000_000 },
            },
            origin: OriginPlan {
                at_once: 8,
                slots: 64,
                work: Duration::from_millis(20),
                window: Duration::from_millis(2500),
            },
            delay: Duration::ZERO,
            call: Duration::ZERO,
            grace: Duration::from_millis(500),
            asked: false,
            streams: 1,
            etcd: 0,
            memcached: 0,
            ghosts: 0,
            recorded: true,
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
    plan: Plan,
    orders: Option<mpsc::UnboundedSender<(Order, sync::Sender<io::Result<()>>)>>,
    thread: Option<JoinHandle<()>>,
}

/// The servers, on their thread.
struct Servers {
    plan: Plan,
    log: Log,
    missed: Missed,
    boxes: HashMap<String, CacheBox>,
    origin: Origin,
    discovery: Discovery,
    etcd: Option<Arc<Etcd>>,
    started: u64,
    /// What must wait for the network, with its order's answer.
    later: Vec<(String, SocketAddr, Speaks)>,
}

impl Fleet {
    /// Starts a fleet; returns once all of it listens.
    ///
    /// # Errors
    /// If a socket or the thread can't be had.
    pub fn start(plan: Plan) -> io::Result<Fleet> {
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
        let usual = Load::usual(listen, Duration::ZERO, 0);
        let classes = usual.classes.iter().map(|class| (&*class.name, class.wait));
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
    plan: Plan,
    ready: sync::Sender<io::Result<Started>>,
    mut inbox: mpsc::UnboundedReceiver<(Order, sync::Sender<io::Result<()>>)>,
) {
    let log = Log::new(Clock::default(), plan.recorded);
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
    async fn start(plan: Plan, log: Log) -> io::Result<Servers> {
        let missed = Missed::default();
        let origin =
            Origin::start("origin", plan.origin.clone(), plan.seed ^ 0x0419, log.clone(), missed.clone())
                .await?;
        let discovery = Discovery::start(plan.delay, plan.call, log.clone()).await?;
        let etcd = match plan.etcd {
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
        for n in 0..servers.plan.ghosts {
            let state = Told::Draining;
            let ghost = Listed::new(&format!("ghost-{n}"), (Ipv4Addr::LOCALHOST, 9).into(), "standard");
            servers.list(Listed { state, ..ghost });
        }
        for n in 0..servers.plan.boxes {
            let speaks = match n + servers.plan.memcached < servers.plan.boxes {
                true => Speaks::Resp,
                false => Speaks::Memcached,
            };
            servers.enter(&format!("box-{n}"), (Ipv4Addr::LOCALHOST, 0).into(), speaks, false).await?;
        }
        Ok(servers)
    }

    /// Starts a box and lists it.
    async fn enter(&mut self, name: &str, at: SocketAddr, speaks: Speaks, cold: bool) -> io::Result<()> {
        self.started += 1;
        let plan = BoxPlan { speaks, ..self.plan.cache.clone() };
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
        let kind = if speaks == Speaks::Resp { "standard" } else { "memcached" };
        let started_ms = if cold { unix.as_millis() as u64 } else { 0 };
        self.list(Listed { started_ms, ..Listed::new(name, cache.addr, kind) });
        self.boxes.insert(name.to_owned(), cache);
        Ok(())
    }

    /// Lists a server, or changes its entry.
    fn list(&self, server: Listed) {
        if let Some(etcd) = &self.etcd {
            match server.state {
                Told::Deleted => etcd.delete(&server.id),
                _ => etcd.put(&server.id, &server.value()),
            }
        }
        self.discovery.put(server);
    }

    fn set_state(&self, server: &str, state: Told) {
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
            Step::Drain { server } => self.turn(&server, Told::Draining)?,
            Step::Undrain { server } => self.turn(&server, Told::Serving)?,
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

    fn turn(&self, server: &str, state: Told) -> io::Result<()> {
        if self.cache(server)?.is_some() {
            self.set_state(server, state);
        }
        Ok(())
    }

    fn remove(&mut self, server: &str) -> io::Result<CacheBox> {
        self.set_state(server, Told::Deleted);
        self.boxes.remove(server).ok_or_else(|| no_box(server))
    }
}

fn no_box(name: &str) -> io::Error {
    io::Error::new(io::ErrorKind::NotFound, format!("no box {name}"))
}
