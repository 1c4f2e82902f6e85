//! The node on real sockets: puts the core, its front, its upstreams and its source of members together.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use lilacquay_core::{Driver, Options, log};
use lilacquay_fronts::Hall;
use lilacquay_fronts::resp::Resp;
use lilacquay_members::discovery;
use lilacquay_upstreams::Servers;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use crate::config::{Config, Source};

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
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {}: {e}", config.listen)))?;
    log(format_args!("listening on {}", listener.local_addr()?));
    let longest = Duration::from_micros(config.setup.longest_deadline).min(LONGEST_GRANTED);
    let (connections, memory) = (config.server_connections(), config.request_memory());
    let (version, known) = (config.known.version, config.known.list.clone());
    let options = Options { setup: config.setup.clone(), seed: config.seed, known, connections, memory };
    let names = config.setup.names.clone();
    let (driver, requests, members) = Driver::new(options, Servers);
    let hall = Hall::new(requests, config.client_bounds(driver.gauges()));
    let driver = tokio::spawn(driver.run());
    let (new_address, address) = watch::channel(config.discovery);
    tokio::spawn(discovery::Watch::new(members, version).run(address));
    tokio::spawn(follow_configuration(reload, source, new_address));
    let accepting = tokio::spawn(hall.clone().accept(listener, move || Resp::new(names.clone())));
    tokio::select! {
        _ = stop.recv() => {}
        ended = driver => return Err(io::Error::other(format!("the driver ended: {ended:?}"))),
    }
    let last = Instant::now() + longest + LAST_WRITES;
    sleep(STILL_ACCEPTING).await;
    accepting.abort();
    let _ = accepting.await; // the listener is closed with it
    let _ = timeout_at(last, hall.close()).await; // what is not answered by then can't be
    Ok(())
}

/// At each SIGHUP, tells where discovery is by the configuration as it is now.
async fn follow_configuration(mut reload: Signal, source: Source, address: watch::Sender<SocketAddr>) {
    while reload.recv().await.is_some() {
        match Config::discovery_anew(&source) {
            Ok(new) => {
                log(format_args!("discovery is at {new}"));
                let _ = address.send(new); // nobody follows it once the node ends
            }
            Err(error) => log(format_args!("configuration kept as it was: {error}")),
        }
    }
}
