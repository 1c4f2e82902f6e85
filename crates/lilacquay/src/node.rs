//! The node on real sockets: puts the core, its front, its upstreams and its source of members together.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_control::{Control, Folder};
use lilacquay_core::{Driver, Handles, Members, Options, Orders, log};
use lilacquay_etcd::Settings;
use lilacquay_fronts::Hall;
use lilacquay_fronts::resp::Resp;
use lilacquay_members::{discovery, etcd};
use lilacquay_upstreams::Servers;
use paddlefold::setup::Names;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

use crate::config::{Config, Source};
use crate::etcd::Etcd;
use crate::memcached::Memcached;
use crate::quota::Quota;

/// After word to stop, connections that were on their way are still taken for so long.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// What was taken is answered within the longest deadline, of which the platform grants so much ...
const LONGEST_GRANTED: Duration = Duration::from_secs(3);
/// ... and so much more: it grants 0.7 s.
const LAST_WRITES: Duration = Duration::from_millis(600);

/// Serves until SIGTERM, then answers what was taken.
pub async fn run(config: Config, source: Source) -> io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    // Guards against: an end on SIGHUP. From here to the process's end it has no other effect than a reload.
    let reload = signal(SignalKind::hangup())?;
    let state = config.control.as_deref().map(Folder::new).transpose().map_err(of_state)?;
    let steered = state.as_ref().map(Folder::orders).transpose().map_err(of_state)?;
    let listener = bind(config.listen).await?;
    let longest = Duration::from_micros(config.setup.longest_deadline).min(LONGEST_GRANTED);
    let (connections, memory) = (config.server_connections(), config.request_memory());
    let known = config.known.list.clone();
    let quotas = config.quota.as_ref().map(|quota| quota.admission(&config.setup.names));
    let options = Options {
        setup: config.setup.clone(),
        seed: config.seed,
        known,
        connections,
        memory,
        quotas,
        steered,
    };
    let names = config.setup.names.clone();
    let kinds = config.memcached.as_ref().map(|(_, ready)| ready.kinds.clone());
    let servers = Servers::new(kinds.unwrap_or_default());
    let (driver, Handles { requests, members, orders }) = Driver::new(options, servers);
    let gauges = driver.gauges();
    let hall = Hall::new(requests, config.client_bounds(gauges.clone()));
    let mut fronts = Vec::new();
    for listener in config.memcached.iter().flat_map(|(_, ready)| &ready.listeners) {
        fronts.push((bind(listener.address).await?, listener));
    }
    let driver = tokio::spawn(driver.run());
    if let Some(state) = state {
        let control = Control::listen(state, orders.clone()).map_err(of_state)?;
        tokio::spawn(control.run());
    }
    log(format_args!("listening on {}", listener.local_addr()?));
    let followed = Followed::start(members, orders, &config);
    tokio::spawn(followed.follow_configuration(reload, source));
    let mut accepting = JoinSet::new();
    accepting.spawn(hall.clone().accept(listener, move || Resp::new(names.clone())));
    let nonce = nonce(config.seed);
    for (bound, listener) in fronts {
        log(format_args!("memcached {:?} is listening on {}", listener.name, bound.local_addr()?));
        let front = listener.front(gauges.clone(), nonce);
        accepting.spawn(hall.clone().accept(bound, move || front.connection()));
    }
    tokio::select! {
        _ = stop.recv() => {}
        ended = driver => return Err(io::Error::other(format!("the driver ended: {ended:?}"))),
    }
    let last = Instant::now() + longest + LAST_WRITES;
    sleep(STILL_ACCEPTING).await;
    accepting.shutdown().await; // the listeners are closed with it
    let _ = timeout_at(last, hall.close()).await; // what is not answered by then can't be
    Ok(())
}

/// What is wrong with the state folder.
fn of_state(error: io::Error) -> io::Error {
    let mend = "name a folder that this node alone may write, in [control]";
    io::Error::new(error.kind(), format!("the state folder can't be used: {error}; {mend}"))
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let error = |e: io::Error| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}"));
    TcpListener::bind(address).await.map_err(error)
}

/// A number that no other process has, as good as surely: another node's seed is another, and so is the time of
/// another start.
fn nonce(seed: u64) -> u64 {
    let start = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    fastrand::Rng::with_seed(seed ^ start).u64(..)
}

/// What a reload looks at: the sources of members, which follow it, and what stays as it was.
struct Followed {
    discovery: Option<watch::Sender<SocketAddr>>,
    etcd: Option<(Etcd, watch::Sender<Settings>)>,
    memcached: Option<Memcached>,
    /// Where other quotas are told, with the names that they are read by.
    quotas: Option<(Orders, Arc<Names>)>,
}

impl Followed {
    /// Starts the sources. Where there are two, etcd goes before discovery: its first list ends that.
    fn start(members: Members, orders: Orders, config: &Config) -> Followed {
        let known = Some(config.known.version).filter(|_| !config.known.list.servers.is_empty());
        let nodes = config.setup.settings.nodes;
        let discovery = config.discovery.map(|at| {
            let (to, address) = watch::channel(at);
            (to, tokio::spawn(discovery::Watch::new(members.clone(), known, nodes).run(address)))
        });
        let (discovery, rival) = discovery.unzip();
        let etcd = config.etcd.clone().map(|(etcd, settings)| {
            let (to, followed) = watch::channel(settings.clone());
            let (folder, rival) = (etcd.keep.clone(), rival.map(|task| task.abort_handle()));
            let source =
                etcd::source::Source::new(members, settings, &etcd.prefix, config.seed, folder, rival);
            tokio::spawn(source.run(followed));
            (etcd, to)
        });
        let memcached = config.memcached.as_ref().map(|(file, _)| file.clone());
        let quotas = config.quota.as_ref().map(|_| (orders, config.setup.names.clone()));
        Followed { discovery, etcd, memcached, quotas }
    }

    /// At each SIGHUP, tells where the list comes from by the configuration as it is now.
    async fn follow_configuration(self, mut reload: Signal, source: Source) {
        while reload.recv().await.is_some() {
            match Config::sources_anew(&source) {
                Ok(new) => {
                    self.discovery_moved(new.discovery);
                    self.etcd_moved(new.etcd);
                    self.quotas_changed(new.quota);
                    if new.memcached != self.memcached {
                        log(format_args!(
                            "memcached's options change only with a restart; kept as they were"
                        ));
                    }
                }
                Err(error) => log(format_args!("configuration kept as it was: {error}")),
            }
        }
    }

    fn discovery_moved(&self, new: Option<SocketAddr>) {
        match (&self.discovery, new) {
            (Some(to), Some(new)) => {
                log(format_args!("discovery is at {new}"));
                let _ = to.send(new); // nobody follows it once the node ends, or etcd has taken over
            }
            (None, None) => {}
            _ => log(format_args!("discovery comes or goes only with a restart; kept as it was")),
        }
    }

    fn quotas_changed(&self, new: Option<Quota>) {
        match (&self.quotas, new) {
            (Some((orders, names)), Some(new)) => orders.quotas(new.admission(names)),
            (None, None) => {}
            _ => log(format_args!("quotas come or go only with a restart; kept as they were")),
        }
    }

    fn etcd_moved(&self, new: Option<(Etcd, Settings)>) {
        match (&self.etcd, new) {
            (Some((old, to)), Some((new, settings))) => {
                if (&new.prefix, &new.keep) != (&old.prefix, &old.keep) {
                    log(format_args!("etcd's prefix and keep change only with a restart; kept as they were"));
                }
                log(format_args!("etcd is at {}", settings.endpoints.join(", ")));
                let _ = to.send(settings); // nobody follows it once the node ends
            }
            (None, None) => {}
            _ => log(format_args!("etcd comes or goes only with a restart; kept as it was")),
        }
    }
}
