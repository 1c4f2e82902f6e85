//! `lilacquay members`: the list of servers in etcd, shown and changed.

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

/// After a failed renewal it is tried again this soon.
const AGAIN: Duration = Duration::from_millis(500);

/// Why an order was not carried out.
pub enum MembersError {
    /// Mistakes in the file, or files that it names.
    Mistakes(Vec<ConfigIssue>),
    /// The registry's.
    Registry(RegistryError),
    /// The system's.
    Io(io::Error),
}

impl fmt::Display for MembersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembersError::Mistakes(mistakes) => {
                let words: Vec<String> = mistakes.iter().map(ConfigIssue::to_string).collect();
                f.write_str(&words.join("\n"))
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

type Done = Result<(), MembersError>;

/// Carries out an order.
pub fn run(args: MembersArgs) -> Done {
    let etcd = EtcdConfig::read(&args.etcd).map_err(MembersError::Mistakes)?;
    let settings = etcd.settings().map_err(MembersError::Mistakes)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        match args.command.unwrap_or(MembersCommand::List) {
            MembersCommand::List => list(&etcd, &settings).await,
            MembersCommand::Put(put) => match put.lease {
                Some(seconds) => hold(&etcd, &settings, &entry(&put), seconds).await,
                None => {
                    let revision = connect(&etcd, &settings).await?.put(&entry(&put), 0).await?;
                    said(&put.id, "is listed", revision)
                }
            },
            MembersCommand::Drain { id } => {
                let revision = connect(&etcd, &settings).await?.set_state(&id, ServerState::Draining).await?;
                said(&id, "drains", revision)
            }
            MembersCommand::Undrain { id } => {
                let revision = connect(&etcd, &settings).await?.set_state(&id, ServerState::Serving).await?;
                said(&id, "serves", revision)
            }
            MembersCommand::Remove { id } => {
                let revision = connect(&etcd, &settings).await?.remove(&id).await?;
                said(&id, "is removed", revision)
            }
        }
    })
}

async fn connect(etcd: &EtcdConfig, settings: &Settings) -> Result<Registry, RegistryError> {
    Registry::connect(settings, &etcd.prefix).await
}

fn said(id: &str, what: &str, revision: i64) -> Done {
    Ok(writeln!(io::stdout(), "{id} {what}, revision {revision}")?)
}

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

/// Prints the list as the store has it, or else as it is kept.
async fn list(etcd: &EtcdConfig, settings: &Settings) -> Done {
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
    let listed = |(entry, revision): (ServerEntry, i64)| RegistryEntry {
        id: entry.id.clone(),
        entry: Ok(entry),
        revision,
        lease: 0,
    };
    let listed: Vec<RegistryEntry> = kept.servers.into_iter().map(listed).collect();
    print(kept.revision, &format!("{age} s old"), &folder.display().to_string(), &listed)
}

fn print(revision: i64, age: &str, source: &str, listed: &[RegistryEntry]) -> Done {
    let mut out = io::BufWriter::new(io::stdout().lock());
    writeln!(out, "revision {revision}, {age}, from {source}: {} servers", listed.len())?;
    let longest = listed.iter().map(|one| one.id.chars().count()).max().unwrap_or(0).max(2);
    let head = ("ADDRESS", "ZONE", "KIND", "STATE", "WEIGHT", "STARTED", "REVISION", "LEASE");
    let (a, z, k, s, w, t, r, l) = head;
    writeln!(out, "{:longest$}  {a:<21}  {z:<8}  {k:<10}  {s:<8}  {w:>6}  {t:>13}  {r:>8}  {l:>5}", "ID")?;
    for RegistryEntry { id, entry, revision, lease } in listed {
        match entry {
            Ok(ServerEntry { addr, zone, kind, state, weight, started_ms, .. }) => {
                let state = if *state == ServerState::Serving { "serving" } else { "draining" };
                let (addr, weight) =
                    (addr.to_string(), weight.map_or("-".into(), |weight| weight.to_string()));
                let lease = if *lease == 0 { "-".into() } else { format!("{lease:x}") };
                writeln!(
                    out,
                    "{id:longest$}  {addr:<21}  {zone:<8}  {kind:<10}  {state:<8}  {weight:>6}  {started_ms:>13}  \
                     {revision:>8}  {lease:>5}"
                )?;
            }
            Err(why) => writeln!(out, "{id:longest$}  can't be read, nodes keep it as it was: {why}")?,
        }
    }
    Ok(out.flush()?)
}

/// Holds a server on a lease until this process is told to end.
async fn hold(etcd: &EtcdConfig, settings: &Settings, entry: &ServerEntry, seconds: i64) -> Done {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let registry = connect(etcd, settings).await?;
    let mut held = Some((registry.grant_lease(seconds).await?, registry));
    if let Some((lease, registry)) = &held {
        said(&entry.id, "is listed while this runs", registry.put(entry, *lease).await?)?;
    }
    let mut beat = interval(Duration::from_secs(seconds as u64) / 3);
    beat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = interrupt.recv() => break,
            _ = terminate.recv() => break,
            _ = beat.tick() => {}
        }
        let renewed = match &held {
            Some((lease, registry)) => registry.renew_lease(*lease).await,
            None => Ok(false),
        };
        match renewed {
            Ok(true) => {}
            // Gone with its lease, or never there: listed anew.
            Ok(false) => held = listed_anew(etcd, settings, entry, seconds).await,
            Err(error) => {
                writeln!(io::stderr(), "lilacquay: {error}; trying again")?;
                let lease = held.take().map(|(lease, _)| lease);
                held = connect(etcd, settings).await.ok().and_then(|registry| Some((lease?, registry)));
                if held.is_none() {
                    sleep(AGAIN).await;
                }
            }
        }
    }
    match held {
        Some((lease, registry)) => Ok(registry.revoke_lease(lease).await?),
        None => Ok(()), // its lease runs out
    }
}

async fn listed_anew(
    etcd: &EtcdConfig,
    settings: &Settings,
    entry: &ServerEntry,
    seconds: i64,
) -> Option<(i64, Registry)> {
    let put = async {
        let registry = connect(etcd, settings).await?;
        let lease = registry.grant_lease(seconds).await?;
        registry.put(entry, lease).await?;
        Ok::<_, RegistryError>((lease, registry))
    };
    put.await.inspect_err(|error| _ = writeln!(io::stderr(), "lilacquay: {error}; trying again")).ok()
}
