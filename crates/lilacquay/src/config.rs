//! What a node is told at its start: the platform's JSON file, the environment, and the options of `serve`.

use std::env::{self, VarError};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::{fmt, fs, io};

use lilacquay_core::{Gauges, ResourceShare, ServerList};
use lilacquay_etcd::Settings;
use lilacquay_fronts::ClientLimits;
use lilacquay_inherit::{InheritedSocketError, parse_descriptor};
use lilacquay_members::discovery::DiscoveryResponse;
use paddlefold::setup::{RawSettings, Setup};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::appliance::Appliance;
use crate::config_error::{Mistake, Mistakes, one_line, unreadable};
use crate::etcd::Etcd;
use crate::logging::Log;
use crate::memcached::{Memcached, Ready};
use crate::options::Options;
use crate::quota::Quota;
use crate::siblings::Site;

/// Descriptors that are neither clients' nor servers' connections: the standard streams, the
/// listener, discovery, the runtime's own, and one to spare for a connection that is turned away.
const RESERVED: usize = 24;
/// Descriptors of a second address: its listener and its callers.
const ADMIN: usize = lilacquay_admin::MAX_CONNECTIONS + 1;
/// Names the descriptor of the listening socket, where the platform holds that.
const PASSED: &str = "EDGE_PASSED_SOCKET";
/// Where the configuration sets no limit.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 192;

/// Who tells a node its configuration.
#[derive(Debug, Clone)]
pub enum Source {
    /// The platform: the environment, and the JSON file that it names.
    Platform,
    /// A file of options, which names the JSON file.
    Options(PathBuf),
    /// The appliance's file, which says all.
    Appliance(PathBuf),
}

impl Source {
    /// The file that `check` takes.
    pub fn path(&self) -> PathBuf {
        match self {
            Source::Platform => env::var_os("EDGE_CONFIG").unwrap_or_default().into(),
            Source::Options(path) | Source::Appliance(path) => path.clone(),
        }
    }
}

/// What a node is told.
pub struct Config {
    pub listen: SocketAddr,
    /// The listening socket, where the platform holds it.
    pub passed: Option<Passed>,
    /// The folder that all processes of the node share.
    pub shared_folder: Option<PathBuf>,
    /// The second address, for whoever runs the node.
    pub admin: Option<SocketAddr>,
    /// Whether the figures there are Prometheus' text.
    pub prometheus: bool,
    /// Where discovery is; without it there is etcd.
    pub discovery: Option<SocketAddr>,
    /// The list of servers from etcd.
    pub etcd: Option<(Etcd, Settings)>,
    /// memcached's binary protocol, as its file says and as a node needs it.
    pub memcached: Option<(Memcached, Ready)>,
    /// Quotas, of names that the settings have.
    pub quota: Option<Quota>,
    /// The other nodes, where they may speak to one another.
    pub siblings: Option<Site>,
    /// The state folder, in which operators' orders are taken.
    pub control: Option<PathBuf>,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: DiscoveryResponse,
    /// Whether what is known is all there is: no source tells the list, but a reload.
    pub fixed: bool,
    pub log: Log,
    pub setup: Setup,
}

/// What a reload looks at: where the list of servers comes from, and what changes only with a restart.
pub struct Sources {
    /// The list, where no source tells it.
    pub fixed: Option<ServerList>,
    pub discovery: Option<SocketAddr>,
    pub etcd: Option<(Etcd, Settings)>,
    pub memcached: Option<Memcached>,
    pub quota: Option<Quota>,
    pub siblings: Option<Site>,
}

/// A listening socket that the platform holds and passes.
pub struct Passed(RawFd);

impl Passed {
    /// The socket, which must listen where the node is told to.
    ///
    /// # Errors
    /// If the descriptor is no such socket.
    pub fn listener(&self, told: SocketAddr) -> io::Result<TcpListener> {
        lilacquay_inherit::inherited_listener(self.0, told)
            .map_err(|why| io::Error::other(format!("{PASSED}: {why}")))
    }
}

/// Why a node cannot start.
#[derive(Debug)]
pub enum ConfigError {
    /// An environment variable that is needed, or a key of that name in the file.
    Missing(&'static str),
    /// The second address is the first.
    SameAddress(SocketAddr),
    /// A variable that names no descriptor.
    Passed(InheritedSocketError),
    /// An environment variable that is no address.
    Address(&'static str, String),
    /// Mistakes in a file of this source.
    Mistakes(Source, Vec<Mistake>),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::Address(name, text) => write!(f, "{name}: {text:?} is no address with a port"),
            ConfigError::SameAddress(at) => {
                write!(f, "admin is {at}, as listen is; give it a port of its own")
            }
            ConfigError::Passed(why) => write!(f, "{PASSED}: {why}"),
            ConfigError::Mistakes(source, mistakes) => f.write_str(&one_line(&source.path(), mistakes)),
        }
    }
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    admin: Option<String>,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: DiscoveryResponse,
    settings: RawSettings,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// The JSON file, read and with its words understood.
struct Read {
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    seed: u64,
    limits: Limits,
    known: DiscoveryResponse,
    setup: Setup,
    siblings: Option<Site>,
}

impl Read {
    fn new(path: &Path) -> Result<Read, Vec<Mistake>> {
        let text = fs::read_to_string(path).map_err(|error| vec![unreadable(path, &error)])?;
        let mut mistakes = Mistakes::new(path, &text);
        let read = Read::parse(&text, &mut mistakes);
        let found = mistakes.into_found();
        read.filter(|_| found.is_empty()).ok_or(found)
    }

    /// What the appliance's file comes to. Its own reader has told all that is wrong in it.
    fn compiled(file: &Path, node: &Value) -> Result<Read, Vec<Mistake>> {
        let text = node.to_string();
        let mut mistakes = Mistakes::new(file, &text);
        let read = Read::parse(&text, &mut mistakes);
        read.ok_or_else(|| mistakes.into_found())
    }

    fn parse(text: &str, mistakes: &mut Mistakes) -> Option<Read> {
        let mut json = serde_json::Deserializer::from_str(text);
        let file: File = match serde_path_to_error::deserialize(&mut json) {
            Ok(file) => file,
            Err(error) => {
                let (field, inner) = (error.path().to_string(), error.inner());
                let field = if field == "." { "" } else { &field };
                let what = inner.to_string();
                let what = what.split(" at line ").next().unwrap_or(&what);
                mistakes.on_line(inner.line(), field, what, "write it as the platform does");
                return None;
            }
        };
        let mut address = |name: &str, text_: &Option<String>| {
            let address = text_.as_ref().map(|text| text.parse::<SocketAddr>());
            if let Some(Err(_)) = address {
                let what = format!("{:?} is no address with a port", text_.as_deref().unwrap_or(""));
                mistakes.at(place(text, name), name, what, "write it as 127.0.0.1:6379");
            }
            address.and_then(Result::ok)
        };
        let (listen, discovery) = (address("listen", &file.listen), address("discovery", &file.discovery));
        let admin = address("admin", &file.admin);
        let peer_listen = address("peer_listen", &file.peer_listen);
        let peers: Vec<SocketAddr> =
            file.peers.iter().filter_map(|peer| address("peers", &Some(peer.clone()))).collect();
        let seed = u64::from_str_radix(&file.seed, 16);
        if seed.is_err() {
            let what = format!("bad seed {:?}", file.seed);
            mistakes.at(place(text, "seed"), "seed", what, "write 16 hex digits at most");
        }
        if file.limits.sockets.is_some_and(|sockets| sockets < 2 * RESERVED) {
            let mend = format!("grant {} at least", 2 * RESERVED);
            mistakes.at(place(text, "sockets"), "limits.sockets", "too low a limit", mend);
        }
        let setup = Setup::try_from(file.settings).inspect_err(|error| {
            let mend = "write safe, keyed or unsafe";
            mistakes.at(place(text, "Effect"), "settings.Classes", error.to_string(), mend);
        });
        let (seed, setup) = (seed.ok()?, setup.ok()?);
        let site = setup.names.all_classes().join(",");
        let siblings =
            Site::from_platform_settings(setup.peers_allowed, peer_listen, peers, setup.node_index, site);
        let (limits, known) = (file.limits, file.known);
        Some(Read { listen, discovery, admin, seed, limits, known, setup, siblings })
    }
}

/// Where a key of the JSON stands first.
fn place(text: &str, key: &str) -> usize {
    text.find(&format!("\"{key}\"")).unwrap_or(0)
}

/// Reads a platform's JSON and tells all that is wrong with it, also what a node could start with, and what the
/// options name that it lacks.
pub fn check_json(path: &Path, options: Option<&Options>) -> Vec<Mistake> {
    match Read::new(path) {
        Err(mistakes) => mistakes,
        Ok(read) => {
            let text = fs::read_to_string(path).unwrap_or_default();
            let mut mistakes = Mistakes::new(path, &text);
            look_closer(&read, &text, &mut mistakes);
            let mut found = mistakes.into_found();
            let names = &read.setup.names;
            if let Some(memcached) = options.and_then(|options| options.memcached.as_ref()) {
                found.extend(memcached.ready(names).err().unwrap_or_default());
            }
            if let Some(quota) = options.and_then(|options| options.quota.as_ref()) {
                found.extend(quota.look_up(names));
            }
            found
        }
    }
}

/// What makes no sense though it can be read.
fn look_closer(read: &Read, text: &str, mistakes: &mut Mistakes) {
    if read.known.skipped > 0 {
        let what = format!("{} servers that can't be read", read.known.skipped);
        mistakes.at(place(text, "known"), "known.servers", what, "give each an id, an addr and a state");
    }
    let json: Value = serde_json::from_str(text).unwrap_or_default();
    let settings = &json["settings"];
    let names = |name: &str| settings[name].as_array().cloned().unwrap_or_default();
    if settings["Zone"].is_string() && !names("Dcs").contains(&settings["Zone"]) {
        let what = format!("{} is not among Dcs", settings["Zone"]);
        mistakes.at(place(text, "Zone"), "settings.Zone", what, "name one of Dcs");
    }
    let origin = settings["FamilyInfo"]["OriginKind"].as_u64();
    let kinds = names("Skus").len() as u64;
    if settings["FamilyInfo"]["Mode"] == "aside" && origin.is_none_or(|kind| kind >= kinds) {
        let mend = "give the place, from 0, of the origin's kind among Skus";
        mistakes.at(
            place(text, "FamilyInfo"),
            "settings.FamilyInfo.OriginKind",
            "names no kind of Skus",
            mend,
        );
    }
    for (n, class) in names("Classes").iter().enumerate() {
        let longest = class["HardLimit"].as_f64().unwrap_or(0.0);
        if longest <= 0.0 || class["Aim"].as_f64().unwrap_or(0.0) > longest {
            let field = format!("settings.Classes[{n}].HardLimit");
            let name = class["Name"].as_str().unwrap_or("");
            let what = format!("class {name} has no time beyond its Aim");
            let at = text.find(&format!("\"{name}\"")).unwrap_or(0);
            mistakes.at(at, &field, what, "give a HardLimit of at least the Aim, in ms");
        }
    }
}

impl Config {
    /// Reads what a source tells.
    ///
    /// # Errors
    /// What is missing, and all mistakes in its files.
    pub fn read(source: &Source) -> Result<Config, ConfigError> {
        let read =
            |path: &Path| Read::new(path).map_err(|found| ConfigError::Mistakes(source.clone(), found));
        let mut fixed = false;
        let (read, options) = match source {
            Source::Platform => (read(&platform_file()?)?, None),
            Source::Appliance(path) => {
                let wrong = |found| ConfigError::Mistakes(source.clone(), found);
                let appliance = Appliance::read(path).map_err(wrong)?;
                fixed = appliance.fixed;
                (Read::compiled(path, &appliance.node).map_err(wrong)?, Some(appliance.options))
            }
            Source::Options(path) => {
                let options =
                    Options::read(path).map_err(|found| ConfigError::Mistakes(source.clone(), found))?;
                (read(&options.node)?, Some(options))
            }
        };
        let said = options.as_ref();
        let etcd = said.and_then(|said| said.etcd.clone()).map(|etcd| Ok((etcd.settings()?, etcd)));
        let etcd = etcd.transpose().map_err(|found| ConfigError::Mistakes(source.clone(), found))?;
        let memcached = said.and_then(|said| said.memcached.as_ref());
        let memcached = memcached.map(|file| Ok((file.clone(), file.ready(&read.setup.names)?))).transpose();
        let memcached = memcached.map_err(|found| ConfigError::Mistakes(source.clone(), found))?;
        let quota = said.and_then(|said| said.quota.clone());
        let unknown = quota.as_ref().map_or(Vec::new(), |quota| quota.look_up(&read.setup.names));
        if !unknown.is_empty() {
            return Err(ConfigError::Mistakes(source.clone(), unknown));
        }
        let discovery = address("EDGE_DISCOVERY", said.map(|said| said.discovery), read.discovery);
        let discovery = match discovery {
            Err(ConfigError::Missing(_)) if etcd.is_some() || fixed => None,
            other => Some(other?),
        };
        let listen = address("EDGE_LISTEN", said.map(|said| said.listen), read.listen)?;
        let admin = match address("EDGE_ADMIN", said.map(|said| said.admin), read.admin) {
            Err(ConfigError::Missing(_)) => None,
            other => Some(other?),
        };
        if admin.is_some_and(|admin| admin == listen && listen.port() != 0) {
            return Err(ConfigError::SameAddress(listen));
        }
        // The platform alone passes a socket; a file of options names an address to bind.
        let passed = match source {
            Source::Platform => variable(PASSED)?,
            Source::Options(_) | Source::Appliance(_) => None,
        };
        let passed = passed.map(|text| parse_descriptor(&text)).transpose().map_err(ConfigError::Passed)?;
        Ok(Config {
            listen,
            passed: passed.map(Passed),
            shared_folder: env::var_os("TMPDIR").filter(|path| !path.is_empty()).map(PathBuf::from),
            admin,
            prometheus: said.is_some_and(|said| said.prometheus),
            discovery,
            etcd: etcd.map(|(settings, etcd)| (etcd, settings)),
            memcached,
            quota,
            siblings: said.map_or(read.siblings, |said| said.siblings.clone()),
            control: said.and_then(|said| said.control.clone()),
            seed: read.seed,
            sockets: said.and_then(|said| said.sockets).or(read.limits.sockets).unwrap_or(SOCKETS),
            memory_mb: said.and_then(|said| said.memory_mb).or(read.limits.memory_mb).unwrap_or(MEMORY_MB),
            known: read.known,
            fixed,
            log: options.map(|said| said.log).unwrap_or_default(),
            setup: read.setup,
        })
    }

    /// Reads the source anew, for what may change while the node runs: where the list of servers comes from. On
    /// the platform, what the file says now goes before the environment, which is as old as the process.
    ///
    /// # Errors
    /// As [`Config::read`].
    pub fn sources_anew(source: &Source) -> Result<Sources, ConfigError> {
        match source {
            Source::Platform => {
                let read = Read::new(&platform_file()?);
                let read = read.map_err(|found| ConfigError::Mistakes(source.clone(), found))?;
                let discovery = match read.discovery {
                    Some(address) => address,
                    None => address("EDGE_DISCOVERY", None, None)?,
                };
                Ok(Sources {
                    fixed: None,
                    discovery: Some(discovery),
                    etcd: None,
                    memcached: None,
                    quota: None,
                    siblings: read.siblings,
                })
            }
            Source::Options(_) | Source::Appliance(_) => {
                let Config { discovery, etcd, memcached, quota, known, fixed, siblings, .. } =
                    Config::read(source)?;
                let fixed = fixed.then_some(ServerList { full: true, ..known.list });
                let memcached = memcached.map(|(file, _)| file);
                Ok(Sources { fixed, discovery, etcd, memcached, quota, siblings })
            }
        }
    }

    /// What may be shown to whoever looks for a fault: no secret is read into it, nor where secrets are kept.
    pub fn described(&self) -> Value {
        let servers = self.known.list.servers.iter();
        let servers: Vec<Value> = servers
            .map(|server| json!({ "name": server.id, "addr": server.addr, "zone": server.zone, "kind": server.kind }))
            .collect();
        let etcd = self
            .etcd
            .as_ref()
            .map(|(etcd, settings)| json!({ "prefix": etcd.prefix, "endpoints": settings.endpoints }));
        let listeners = self.memcached.iter().flat_map(|(_, ready)| &ready.listeners);
        let listeners: Vec<Value> =
            listeners.map(|listener| json!({ "name": listener.name, "address": listener.address })).collect();
        json!({
            "version": env!("CARGO_PKG_VERSION"),
            "listen": self.listen,
            "discovery": self.discovery,
            "etcd": etcd,
            "memcached": listeners,
            "quotas": self.quota.is_some(),
            "siblings": self.siblings.as_ref().map(|site| json!({ "me": site.me, "nodes": site.nodes })),
            "sockets": self.sockets,
            "memory_mb": self.memory_mb,
            "log": format!("{:?}", self.log),
            "classes": self.setup.names.all_classes(),
            "tenants": self.setup.names.all_tenants(),
            "settings": format!("{:?}", self.setup.settings),
            "servers": servers,
        })
    }

    /// What clients may hold: a third of the descriptors, and more while servers need fewer, with some left
    /// for those to come.
    pub fn client_bounds(&self, gauges: Arc<Gauges>, portion: ResourceShare) -> ClientLimits {
        let with_servers = (self.sockets - self.sockets / 8).saturating_sub(self.reserved());
        let memory = self.request_memory();
        ClientLimits {
            connections: self.sockets / 3,
            total_connections: with_servers,
            gauges,
            buffer_bytes: memory,
            portion,
        }
    }

    /// Bytes that open requests may hold: an eighth of the memory, as buffers may that are not small.
    pub fn request_memory(&self) -> usize {
        (self.memory_mb << 20) / 8
    }

    /// Most connections to servers.
    pub fn server_connections(&self) -> usize {
        (self.sockets - self.sockets / 3).saturating_sub(self.reserved()).max(1)
    }

    /// Connections that it may hold in all.
    pub fn connections(&self) -> usize {
        self.sockets.saturating_sub(self.reserved()).max(1)
    }

    fn reserved(&self) -> usize {
        RESERVED + if self.admin.is_some() { ADMIN } else { 0 } + usize::from(self.siblings.is_some())
    }
}

fn platform_file() -> Result<PathBuf, ConfigError> {
    variable("EDGE_CONFIG")?.map(PathBuf::from).ok_or(ConfigError::Missing("EDGE_CONFIG"))
}

/// An address: of the options, where there are any, or else of the environment; last of the JSON.
fn address(
    name: &'static str,
    said: Option<Option<SocketAddr>>,
    in_file: Option<SocketAddr>,
) -> Result<SocketAddr, ConfigError> {
    let first = match said {
        Some(said) => said,
        None => match variable(name)? {
            Some(text) => Some(text.parse().map_err(|_| ConfigError::Address(name, text))?),
            None => None,
        },
    };
    first.or(in_file).ok_or(ConfigError::Missing(name))
}

fn variable(name: &'static str) -> Result<Option<String>, ConfigError> {
    match env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(VarError::NotPresent) => Ok(None),
        Err(VarError::NotUnicode(text)) => Err(ConfigError::Address(name, text.to_string_lossy().into())),
    }
}
