//! The node on real sockets: carries out what the module decides and tells it what happens.

mod attempt;
mod caches;
mod clients;
pub mod config;
mod directory;
mod discovery;
mod driver;
mod origin;
mod resp;
mod seats;

use std::fmt;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use config::Config;
use driver::Driver;

/// After word to stop, connections that were on their way are still taken for so long.
const STILL_ACCEPTING: Duration = Duration::from_millis(500);
/// What was taken is answered within the longest deadline, of which the platform grants so much ...
const LONGEST_GRANTED: Duration = Duration::from_secs(3);
/// ... and so much more: it grants 0.7 s.
const LAST_WRITES: Duration = Duration::from_millis(600);

/// Serves until SIGTERM, then answers what was taken.
pub async fn run(config: Config) -> io::Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    // Guards against: an end on SIGHUP. From here to the process's end it has no other effect than a reload.
    let reload = signal(SignalKind::hangup())?;
    let listener = TcpListener::bind(config.listen)
        .await
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {}: {e}", config.listen)))?;
    log(format_args!("listening on {}", listener.local_addr()?));
    let longest = Duration::from_micros(config.setup.longest_deadline).min(LONGEST_GRANTED);
    let (sender, inbox) = mpsc::unbounded_channel();
    let subscribe = Arc::new(Notify::new());
    let asked = config.setup.settings.must_subscribe.then(|| subscribe.clone());
    let watching = discovery::Watch::new(asked, config.known.version, sender.clone());
    let (new_address, address) = watch::channel(config.discovery);
    let to_servers = Arc::new(AtomicUsize::new(0));
    let (bounds, servers_limit) = (config.client_bounds(to_servers.clone()), config.server_connections());
    let classes = config.setup.class_names();
    let driver = Driver::new(config, servers_limit, to_servers, subscribe, sender.clone(), inbox);
    let driver = tokio::spawn(driver.run());
    tokio::spawn(watching.run(address));
    tokio::spawn(follow_configuration(reload, new_address));

    let closing = CancellationToken::new();
    let sessions = TaskTracker::new();
    let clients = clients::Clients::new(sender, bounds, classes, closing.clone(), sessions.clone());
    let accepting = tokio::spawn(clients.accept(listener));
    tokio::select! {
        _ = stop.recv() => {}
        ended = driver => return Err(io::Error::other(format!("the driver ended: {ended:?}"))),
    }
    let last = Instant::now() + longest + LAST_WRITES;
    sleep(STILL_ACCEPTING).await;
    accepting.abort();
    let _ = accepting.await; // the listener is closed with it
    closing.cancel();
    sessions.close();
    tokio::select! {
        () = sessions.wait() => {}
        () = sleep_until(last) => {}
    }
    Ok(())
}

/// At each SIGHUP, tells where discovery is by the configuration as it is now.
async fn follow_configuration(mut reload: Signal, address: watch::Sender<SocketAddr>) {
    while reload.recv().await.is_some() {
        match Config::discovery_anew() {
            Ok(new) => {
                log(format_args!("discovery is at {new}"));
                let _ = address.send(new); // nobody follows it once the node ends
            }
            Err(error) => log(format_args!("configuration kept as it was: {error}")),
        }
    }
}

/// A line for the log. Guards against: a panic where nobody reads the log any more.
fn log(line: fmt::Arguments) {
    let _ = writeln!(io::stderr(), "{line}");
}
