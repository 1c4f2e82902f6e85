//! `lilacquay members`: prints and changes the list of servers in etcd.

use std::fmt;
use std::io::{self, Write};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_core::{ServerEntry, ServerState};
use lilacquay_etcd::Settings;
use lilacquay_members::etcd::list_cache::CachedList;
use lilacquay_members::etcd::registry::{Registry, RegistryEntry, RegistryError};
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::cli::{MembersArgs, MembersCommand, PutArgs};
use crate::config_error::ConfigIssue;
use crate::etcd::EtcdConfig;

/// Delay before another attempt to renew a lease after a failed connection.
const RENEWAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Why a command failed.
pub enum MembersError {
    /// Mistakes in the options file, or in files that it names.
    Mistakes(Vec<ConfigIssue>),
    /// An error of the registry.
    Registry(RegistryError),
    /// An I/O error.
    Io(io::Error),
}

impl fmt::Display for MembersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembersError::Mistakes(mistakes) => {
                let lines: Vec<String> = mistakes.iter().map(ConfigIssue::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            MembersError::Registry(error) => write!(f, "{error}"),
            MembersError::Io(error) => write!(f, "{error}"),
        }
    }
}

impl From<RegistryError> for MembersError {
    fn from(error: RegistryError) -> Self {
        MembersError::Registry(error)
    }
}

impl From<io::Error> for MembersError {
    fn from(error: io::Error) -> Self {
        MembersError::Io(error)
    }
}

type CommandResult = Result<(), MembersError>;

/// Runs a command.
pub fn run(args: MembersArgs) -> CommandResult {
    let etcd = EtcdConfig::read(&args.etcd).map_err(MembersError::Mistakes)?;
    let settings = etcd.settings().map_err(MembersError::Mistakes)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        match args.command.unwrap_or(MembersCommand::List) {
            MembersCommand::List => list(&etcd, &settings).await,
            MembersCommand::Put(put) => match put.lease {
                Some(seconds) => register_with_lease(&etcd, &settings, &entry(&put), seconds).await,
                None => {
                    let revision = connect(&etcd, &settings).await?.put(&entry(&put), 0).await?;
                    print_change(&put.id, "is listed", revision)
                }
            },
            MembersCommand::Drain { id } => {
                let revision = connect(&etcd, &settings).await?.set_state(&id, ServerState::Draining).await?;
                print_change(&id, "drains", revision)
            }
            MembersCommand::Undrain { id } => {
                let revision = connect(&etcd, &settings).await?.set_state(&id, ServerState::Serving).await?;
                print_change(&id, "serves", revision)
            }
            MembersCommand::Remove { id } => {
                let revision = connect(&etcd, &settings).await?.remove(&id).await?;
                print_change(&id, "is removed", revision)
            }
        }
    })
}

async fn connect(etcd: &EtcdConfig, settings: &Settings) -> Result<Registry, RegistryError> {
    Registry::connect(settings, &etcd.prefix).await
}

/// Prints what has become of a server, with the revision of the change.
fn print_change(id: &str, change: &str, revision: i64) -> CommandResult {
    Ok(writeln!(io::stdout(), "{id} {change}, revision {revision}")?)
}

/// The registry entry that `members put` describes.
fn entry(put: &PutArgs) -> ServerEntry {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    ServerEntry {
        id: put.id.clone(),
        addr: put.addr,
        zone: put.zone.clone(),
        kind: put.kind.clone(),
        cell: put.cell,
        state: ServerState::Serving,
        weight: put.weight,
        started_ms: if put.cold { now.as_millis() as f64 } else { 0.0 },
    }
}

/// Prints the list from etcd, or the locally kept list if etcd can't be reached.
async fn list(etcd: &EtcdConfig, settings: &Settings) -> CommandResult {
    let read = async {
        let registry = connect(etcd, settings).await?;
        let (revision, listed) = registry.list().await?;
        Ok::<_, RegistryError>((revision, listed, registry.endpoint))
    };
    let error = match read.await {
        Ok((revision, listed, endpoint)) => return print(revision, "0 s old", &endpoint, &listed),
        Err(error) => error,
    };
    let Some(folder) = &etcd.cache_folder else { return Err(error.into()) };
    let Some(kept) = CachedList::read(folder)? else { return Err(error.into()) };
    writeln!(io::stderr(), "lilacquay: {error}; this is the kept list")?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let age = now.saturating_sub(Duration::from_micros(kept.as_of)).as_secs();
    let to_registry_entry = |(entry, revision): (ServerEntry, i64)| RegistryEntry {
        id: entry.id.clone(),
        entry: Ok(entry),
        revision,
        lease: 0,
    };
    let listed: Vec<RegistryEntry> = kept.servers.into_iter().map(to_registry_entry).collect();
    print(kept.revision, &format!("{age} s old"), &folder.display().to_string(), &listed)
}

fn print(revision: i64, age: &str, source: &str, listed: &[RegistryEntry]) -> CommandResult {
    let mut out = io::BufWriter::new(io::stdout().lock());
    writeln!(out, "revision {revision}, {age}, from {source}: {} servers", listed.len())?;
    let id_width = listed.iter().map(|entry| entry.id.chars().count()).max().unwrap_or(0).max(2);
    writeln!(
        out,
        "{:id_width$}  {:<21}  {:<8}  {:<10}  {:<8}  {:>6}  {:>13}  {:>8}  {:>5}",
        "ID", "ADDRESS", "ZONE", "KIND", "STATE", "WEIGHT", "STARTED", "REVISION", "LEASE"
    )?;
    for RegistryEntry { id, entry, revision, lease } in listed {
        match entry {
            Ok(ServerEntry { addr, zone, kind, state, weight, started_ms, .. }) => {
                let state = if *state == ServerState::Serving { "serving" } else { "draining" };
                let (addr, weight) =
                    (addr.to_string(), weight.map_or("-".into(), |weight| weight.to_string()));
                let lease = if *lease == 0 { "-".into() } else { format!("{lease:x}") };
                writeln!(
                    out,
                    "{id:id_width$}  {addr:<21}  {zone:<8}  {kind:<10}  {state:<8}  {weight:>6}  {started_ms:>13}  \
                     {revision:>8}  {lease:>5}"
                )?;
            }
            Err(why) => writeln!(out, "{id:id_width$}  can't be read, nodes keep it as it was: {why}")?,
        }
    }
    Ok(out.flush()?)
}

/// Registers a server with a lease and renews it until this process is told to end; the lease is revoked then.
async fn register_with_lease(
    etcd: &EtcdConfig,
    settings: &Settings,
    entry: &ServerEntry,
    seconds: i64,
) -> CommandResult {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let registry = connect(etcd, settings).await?;
    let mut registration = Some((registry.grant_lease(seconds).await?, registry));
    if let Some((lease, registry)) = &registration {
        print_change(&entry.id, "is listed while this runs", registry.put(entry, *lease).await?)?;
    }
    let mut renewals = interval(Duration::from_secs(seconds as u64) / 3);
    renewals.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interrupt.recv() => break,
            _ = terminate.recv() => break,
            _ = renewals.tick() => {}
        }
        let renewed = match &registration {
            Some((lease, registry)) => registry.renew_lease(*lease).await,
            None => Ok(false),
        };
        match renewed {
            Ok(true) => {}
            // The lease has expired, or the registration has failed so far: register again.
            Ok(false) => registration = register_again(etcd, settings, entry, seconds).await,
            Err(error) => {
                writeln!(io::stderr(), "lilacquay: {error}; retrying")?;
                let lease = registration.take().map(|(lease, _)| lease);
                registration =
                    connect(etcd, settings).await.ok().and_then(|registry| Some((lease?, registry)));
                if registration.is_none() {
                    sleep(RENEWAL_RETRY_DELAY).await;
                }
            }
        }
    }
    match registration {
        Some((lease, registry)) => Ok(registry.revoke_lease(lease).await?),
        None => Ok(()), // the lease expires by itself
    }
}

/// Registers the server with a new lease; `None` if that failed, which is printed.
async fn register_again(
    etcd: &EtcdConfig,
    settings: &Settings,
    entry: &ServerEntry,
    seconds: i64,
) -> Option<(i64, Registry)> {
    let registration = async {
        let registry = connect(etcd, settings).await?;
        let lease = registry.grant_lease(seconds).await?;
        registry.put(entry, lease).await?;
        Ok::<_, RegistryError>((lease, registry))
    };
    registration.await.inspect_err(|error| _ = writeln!(io::stderr(), "lilacquay: {error}; retrying")).ok()
}
