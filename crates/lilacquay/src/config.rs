//! The configuration of a node, merged from the platform's JSON file, the environment, and the options file of
//! `serve` or the appliance's file. Also the checks of the JSON file for the `check` command.

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
use crate::config_error::{ConfigIssue, IssueCollector, summarize, unreadable_file};
use crate::etcd::EtcdConfig;
use crate::logging::Log;
use crate::memcached::{MemcachedConfig, ResolvedMemcached};
use crate::options::Options;
use crate::quota::QuotaConfig;
use crate::siblings::Site;

/// Descriptors that are neither clients' nor servers' connections: the standard streams, the listener, discovery,
/// those of the async runtime, and a spare one to accept a connection that is then refused.
const RESERVED_DESCRIPTORS: usize = 24;
/// Descriptors of the admin address: its listener and its clients' connections.
const ADMIN_DESCRIPTORS: usize = lilacquay_admin::MAX_CONNECTIONS + 1;
/// Environment variable with the descriptor of the listening socket, if the platform passes one.
const INHERITED_SOCKET_VARIABLE: &str = "EDGE_PASSED_SOCKET";
/// Limit on descriptors if the configuration sets none.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// Limit on memory in MiB if the configuration sets none.
const DEFAULT_MEMORY_MB: usize = 192;

/// Where a node's configuration comes from.
#[derive(Debug, Clone)]
pub enum ConfigSource {
    /// The platform: the environment, and the JSON file that it names.
    Platform,
    /// The options file of `serve`, which names the JSON file.
    Options(PathBuf),
    /// The appliance's file, which holds the whole configuration.
    Appliance(PathBuf),
}

impl ConfigSource {
    /// The file to give to `check`.
    pub fn path(&self) -> PathBuf {
        match self {
            ConfigSource::Platform => env::var_os("EDGE_CONFIG").unwrap_or_default().into(),
            ConfigSource::Options(path) | ConfigSource::Appliance(path) => path.clone(),
        }
    }
}

/// The configuration of a node.
pub struct Config {
    pub listen: SocketAddr,
    /// The listening socket, if the platform passes it.
    pub inherited_socket: Option<InheritedSocket>,
    /// The folder that all processes of the node share, from TMPDIR.
    pub shared_folder: Option<PathBuf>,
    /// Address of the admin listener, for health checks and metrics.
    pub admin: Option<SocketAddr>,
    /// Whether the admin listener writes metrics in the Prometheus text format.
    pub prometheus_format: bool,
    /// Address of the discovery service; `None` if the list of servers comes from etcd alone or is fixed.
    pub discovery: Option<SocketAddr>,
    /// How to reach etcd, if the list of servers comes from there.
    pub etcd: Option<(EtcdConfig, Settings)>,
    /// The memcached protocol: its file as read, and with its names resolved.
    pub memcached: Option<(MemcachedConfig, ResolvedMemcached)>,
    /// The quotas; all names in it have been found in the settings.
    pub quota: Option<QuotaConfig>,
    /// This node's site with its other nodes, if nodes may communicate.
    pub siblings: Option<Site>,
    /// The state folder, with the control socket that accepts operators' orders.
    pub state_folder: Option<PathBuf>,
    pub seed: u64,
    /// Most file descriptors that the process may hold.
    pub max_descriptors: usize,
    /// Most memory that the process may use, in MiB.
    pub memory_mb: usize,
    /// The list of servers to start with.
    pub initial_list: DiscoveryResponse,
    /// Whether the list of servers comes from the configuration alone, so that only a reload changes it.
    pub has_fixed_list: bool,
    pub log: Log,
    pub setup: Setup,
}

/// The part of the configuration that a reload reads. Some of it changes only with a restart; it is read to warn
/// about a difference.
pub struct ReloadableConfig {
    /// The list of servers, if it is taken from the configuration alone.
    pub fixed_list: Option<ServerList>,
    pub discovery: Option<SocketAddr>,
    pub etcd: Option<(EtcdConfig, Settings)>,
    pub memcached: Option<MemcachedConfig>,
    pub quota: Option<QuotaConfig>,
    pub siblings: Option<Site>,
}

/// The descriptor of a listening socket that the platform passes to this process.
pub struct InheritedSocket(RawFd);

impl InheritedSocket {
    /// The socket; it must listen on the address that the configuration sets.
    ///
    /// # Errors
    /// If the descriptor is not such a socket.
    pub fn listener(&self, configured: SocketAddr) -> io::Result<TcpListener> {
        lilacquay_inherit::inherited_listener(self.0, configured)
            .map_err(|error| io::Error::other(format!("{INHERITED_SOCKET_VARIABLE}: {error}")))
    }
}

/// Why a node cannot start.
#[derive(Debug)]
pub enum ConfigError {
    /// A required environment variable that is not set, and the file has no key that replaces it.
    Missing(&'static str),
    /// The admin address equals the clients' address.
    SameAdminAddress(SocketAddr),
    /// The variable for the listening socket names no descriptor.
    InheritedSocket(InheritedSocketError),
    /// An environment variable that is not an address, or not Unicode.
    InvalidAddress(&'static str, String),
    /// Issues in the files of this source.
    Invalid(ConfigSource, Vec<ConfigIssue>),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::InvalidAddress(name, text) => {
                write!(f, "{name}: {text:?} is not an address with a port")
            }
            ConfigError::SameAdminAddress(address) => {
                write!(f, "admin is {address}, as listen is; give it a port of its own")
            }
            ConfigError::InheritedSocket(error) => write!(f, "{INHERITED_SOCKET_VARIABLE}: {error}"),
            ConfigError::Invalid(source, issues) => f.write_str(&summarize(&source.path(), issues)),
        }
    }
}

/// The platform's JSON file as it is written.
#[derive(Deserialize)]
struct PlatformFile {
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

/// The platform's JSON file with its addresses, seed and settings parsed.
struct PlatformConfig {
    listen: Option<SocketAddr>,
    discovery: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    seed: u64,
    limits: Limits,
    initial_list: DiscoveryResponse,
    setup: Setup,
    siblings: Option<Site>,
}

impl PlatformConfig {
    fn read(path: &Path) -> Result<PlatformConfig, Vec<ConfigIssue>> {
        let text = fs::read_to_string(path).map_err(|error| vec![unreadable_file(path, &error)])?;
        let mut issues = IssueCollector::new(path, &text);
        let config = PlatformConfig::parse(&text, &mut issues);
        let issues = issues.into_issues();
        config.filter(|_| issues.is_empty()).ok_or(issues)
    }

    /// Parses the JSON that an appliance's file was translated to. The appliance's reader has reported the issues in
    /// the file already.
    fn from_appliance(file: &Path, platform_json: &Value) -> Result<PlatformConfig, Vec<ConfigIssue>> {
        let text = platform_json.to_string();
        let mut issues = IssueCollector::new(file, &text);
        let config = PlatformConfig::parse(&text, &mut issues);
        config.ok_or_else(|| issues.into_issues())
    }

    fn parse(text: &str, issues: &mut IssueCollector) -> Option<PlatformConfig> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let file: PlatformFile = match serde_path_to_error::deserialize(&mut deserializer) {
            Ok(file) => file,
            Err(error) => {
                let (field, inner) = (error.path().to_string(), error.inner());
                let field = if field == "." { "" } else { &field };
                let problem = inner.to_string();
                let problem = problem.split(" at line ").next().unwrap_or(&problem);
                issues.report_at_line(inner.line(), field, problem, "write it as the platform does");
                return None;
            }
        };
        let mut parse_address = |name: &str, value: &Option<String>| {
            let address = value.as_ref().map(|text| text.parse::<SocketAddr>());
            if let Some(Err(_)) = address {
                let problem = format!("{:?} is not an address with a port", value.as_deref().unwrap_or(""));
                issues.report_at_offset(key_offset(text, name), name, problem, "write it as 127.0.0.1:6379");
            }
            address.and_then(Result::ok)
        };
        let (listen, discovery) =
            (parse_address("listen", &file.listen), parse_address("discovery", &file.discovery));
        let admin = parse_address("admin", &file.admin);
        let peer_listen = parse_address("peer_listen", &file.peer_listen);
        let peers: Vec<SocketAddr> =
            file.peers.iter().filter_map(|peer| parse_address("peers", &Some(peer.clone()))).collect();
        let seed = u64::from_str_radix(&file.seed, 16);
        if seed.is_err() {
            let problem = format!("bad seed {:?}", file.seed);
            issues.report_at_offset(key_offset(text, "seed"), "seed", problem, "write 16 hex digits at most");
        }
        if file.limits.sockets.is_some_and(|sockets| sockets < 2 * RESERVED_DESCRIPTORS) {
            let fix = format!("set at least {}", 2 * RESERVED_DESCRIPTORS);
            issues.report_at_offset(key_offset(text, "sockets"), "limits.sockets", "limit too low", fix);
        }
        let setup = Setup::try_from(file.settings).inspect_err(|error| {
            let fix = "write safe, keyed or unsafe";
            issues.report_at_offset(key_offset(text, "Effect"), "settings.Classes", error.to_string(), fix);
        });
        let (seed, setup) = (seed.ok()?, setup.ok()?);
        let site_name = setup.names.all_classes().join(",");
        let siblings = Site::from_platform_settings(
            setup.peers_allowed,
            peer_listen,
            peers,
            setup.node_index,
            site_name,
        );
        let (limits, initial_list) = (file.limits, file.known);
        Some(PlatformConfig { listen, discovery, admin, seed, limits, initial_list, setup, siblings })
    }
}

/// The byte offset of a key's first occurrence in the JSON text; 0 if there is none.
fn key_offset(text: &str, key: &str) -> usize {
    text.find(&format!("\"{key}\"")).unwrap_or(0)
}

/// Reads a platform's JSON file and returns all its issues. They include those that a node would start with, and
/// the classes and tenants that the options name and the JSON lacks.
pub fn check_json(path: &Path, options: Option<&Options>) -> Vec<ConfigIssue> {
    match PlatformConfig::read(path) {
        Err(issues) => issues,
        Ok(config) => {
            let text = fs::read_to_string(path).unwrap_or_default();
            let mut issues = IssueCollector::new(path, &text);
            check_semantics(&config, &text, &mut issues);
            let mut issues = issues.into_issues();
            let names = &config.setup.names;
            if let Some(memcached) = options.and_then(|options| options.memcached.as_ref()) {
                issues.extend(memcached.resolve(names).err().unwrap_or_default());
            }
            if let Some(quota) = options.and_then(|options| options.quota.as_ref()) {
                issues.extend(quota.unresolved_names(names));
            }
            issues
        }
    }
}

/// Reports values that can be parsed but make no sense together.
fn check_semantics(config: &PlatformConfig, text: &str, issues: &mut IssueCollector) {
    if config.initial_list.skipped > 0 {
        let problem = format!("{} servers that cannot be read", config.initial_list.skipped);
        issues.report_at_offset(
            key_offset(text, "known"),
            "known.servers",
            problem,
            "give each an id, an addr and a state",
        );
    }
    let json: Value = serde_json::from_str(text).unwrap_or_default();
    let settings = &json["settings"];
    let elements = |name: &str| settings[name].as_array().cloned().unwrap_or_default();
    if settings["Zone"].is_string() && !elements("Dcs").contains(&settings["Zone"]) {
        let problem = format!("{} is not among Dcs", settings["Zone"]);
        issues.report_at_offset(key_offset(text, "Zone"), "settings.Zone", problem, "name one of Dcs");
    }
    let origin_kind = settings["FamilyInfo"]["OriginKind"].as_u64();
    let kind_count = elements("Skus").len() as u64;
    if settings["FamilyInfo"]["Mode"] == "aside" && origin_kind.is_none_or(|kind| kind >= kind_count) {
        let fix = "give the index, from 0, of the origin's kind in Skus";
        issues.report_at_offset(
            key_offset(text, "FamilyInfo"),
            "settings.FamilyInfo.OriginKind",
            "is not an index into Skus",
            fix,
        );
    }
    for (index, class) in elements("Classes").iter().enumerate() {
        let hard_limit = class["HardLimit"].as_f64().unwrap_or(0.0);
        if hard_limit <= 0.0 || class["Aim"].as_f64().unwrap_or(0.0) > hard_limit {
            let field = format!("settings.Classes[{index}].HardLimit");
            let name = class["Name"].as_str().unwrap_or("");
            let problem = format!("class {name} has no positive HardLimit, or one below its Aim");
            let offset = text.find(&format!("\"{name}\"")).unwrap_or(0);
            issues.report_at_offset(offset, &field, problem, "give a HardLimit of at least the Aim, in ms");
        }
    }
}

impl Config {
    /// Reads the whole configuration from a source.
    ///
    /// # Errors
    /// What is missing, and all issues in its files.
    pub fn read(source: &ConfigSource) -> Result<Config, ConfigError> {
        let invalid = |issues| ConfigError::Invalid(source.clone(), issues);
        let mut has_fixed_list = false;
        let (platform, options) = match source {
            ConfigSource::Platform => (PlatformConfig::read(&platform_file_path()?).map_err(invalid)?, None),
            ConfigSource::Appliance(path) => {
                let appliance = Appliance::read(path).map_err(invalid)?;
                has_fixed_list = appliance.has_fixed_list;
                (
                    PlatformConfig::from_appliance(path, &appliance.platform_json).map_err(invalid)?,
                    Some(appliance.options),
                )
            }
            ConfigSource::Options(path) => {
                let options = Options::read(path).map_err(invalid)?;
                (PlatformConfig::read(&options.platform_file).map_err(invalid)?, Some(options))
            }
        };
        let options = options.as_ref();
        let etcd = options.and_then(|options| options.etcd.clone()).map(|etcd| Ok((etcd.settings()?, etcd)));
        let etcd = etcd.transpose().map_err(invalid)?;
        let memcached = options.and_then(|options| options.memcached.as_ref());
        let memcached =
            memcached.map(|file| Ok((file.clone(), file.resolve(&platform.setup.names)?))).transpose();
        let memcached = memcached.map_err(invalid)?;
        let quota = options.and_then(|options| options.quota.clone());
        let unresolved =
            quota.as_ref().map_or(Vec::new(), |quota| quota.unresolved_names(&platform.setup.names));
        if !unresolved.is_empty() {
            return Err(ConfigError::Invalid(source.clone(), unresolved));
        }
        let discovery =
            address("EDGE_DISCOVERY", options.map(|options| options.discovery), platform.discovery);
        let discovery = match discovery {
            Err(ConfigError::Missing(_)) if etcd.is_some() || has_fixed_list => None,
            other => Some(other?),
        };
        let listen = address("EDGE_LISTEN", options.map(|options| options.listen), platform.listen)?;
        let admin = match address("EDGE_ADMIN", options.map(|options| options.admin), platform.admin) {
            Err(ConfigError::Missing(_)) => None,
            other => Some(other?),
        };
        if admin.is_some_and(|admin| admin == listen && listen.port() != 0) {
            return Err(ConfigError::SameAdminAddress(listen));
        }
        // Only the platform passes a socket; files of options name an address to bind.
        let inherited_socket = match source {
            ConfigSource::Platform => env_variable(INHERITED_SOCKET_VARIABLE)?,
            ConfigSource::Options(_) | ConfigSource::Appliance(_) => None,
        };
        let inherited_socket = inherited_socket
            .map(|text| parse_descriptor(&text))
            .transpose()
            .map_err(ConfigError::InheritedSocket)?;
        Ok(Config {
            listen,
            inherited_socket: inherited_socket.map(InheritedSocket),
            shared_folder: env::var_os("TMPDIR").filter(|path| !path.is_empty()).map(PathBuf::from),
            admin,
            prometheus_format: options.is_some_and(|options| options.prometheus_format),
            discovery,
            etcd: etcd.map(|(settings, etcd)| (etcd, settings)),
            memcached,
            quota,
            siblings: options.map_or(platform.siblings, |options| options.siblings.clone()),
            state_folder: options.and_then(|options| options.state_folder.clone()),
            seed: platform.seed,
            max_descriptors: options
                .and_then(|options| options.max_descriptors)
                .or(platform.limits.sockets)
                .unwrap_or(DEFAULT_MAX_DESCRIPTORS),
            memory_mb: options
                .and_then(|options| options.memory_mb)
                .or(platform.limits.memory_mb)
                .unwrap_or(DEFAULT_MEMORY_MB),
            initial_list: platform.initial_list,
            has_fixed_list,
            log: options.map(|options| options.log.clone()).unwrap_or_default(),
            setup: platform.setup,
        })
    }

    /// Reads the source again for a reload. On the platform, the file takes precedence over the environment here,
    /// because the environment dates from the start of the process.
    ///
    /// # Errors
    /// As [`Config::read`].
    pub fn read_reloadable(source: &ConfigSource) -> Result<ReloadableConfig, ConfigError> {
        match source {
            ConfigSource::Platform => {
                let platform = PlatformConfig::read(&platform_file_path()?)
                    .map_err(|issues| ConfigError::Invalid(source.clone(), issues))?;
                let discovery = match platform.discovery {
                    Some(address) => address,
                    None => address("EDGE_DISCOVERY", None, None)?,
                };
                Ok(ReloadableConfig {
                    fixed_list: None,
                    discovery: Some(discovery),
                    etcd: None,
                    memcached: None,
                    quota: None,
                    siblings: platform.siblings,
                })
            }
            ConfigSource::Options(_) | ConfigSource::Appliance(_) => {
                let Config {
                    discovery, etcd, memcached, quota, initial_list, has_fixed_list, siblings, ..
                } = Config::read(source)?;
                let fixed_list = has_fixed_list.then_some(ServerList { full: true, ..initial_list.list });
                let memcached = memcached.map(|(file, _)| file);
                Ok(ReloadableConfig { fixed_list, discovery, etcd, memcached, quota, siblings })
            }
        }
    }

    /// A summary for the diagnostic bundle. It holds neither secrets nor the paths of files with secrets.
    pub fn diagnostic_summary(&self) -> Value {
        let servers = self.initial_list.list.servers.iter();
        let servers: Vec<Value> = servers
            .map(|server| json!({ "name": server.id, "addr": server.addr, "zone": server.zone, "kind": server.kind }))
            .collect();
        let etcd = self
            .etcd
            .as_ref()
            .map(|(etcd, settings)| json!({ "prefix": etcd.prefix, "endpoints": settings.endpoints }));
        let listeners = self.memcached.iter().flat_map(|(_, resolved)| &resolved.listeners);
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
            "sockets": self.max_descriptors,
            "memory_mb": self.memory_mb,
            "log": format!("{:?}", self.log),
            "classes": self.setup.names.all_classes(),
            "tenants": self.setup.names.all_tenants(),
            "settings": format!("{:?}", self.setup.settings),
            "servers": servers,
        })
    }

    /// Limits on clients' connections: a third of the descriptors, and more while servers use fewer. An eighth of all
    /// descriptors stays free for further connections to servers.
    pub fn client_limits(&self, gauges: Arc<Gauges>, portion: ResourceShare) -> ClientLimits {
        let total_connections =
            (self.max_descriptors - self.max_descriptors / 8).saturating_sub(self.reserved_descriptors());
        ClientLimits {
            connections: self.max_descriptors / 3,
            total_connections,
            gauges,
            buffer_bytes: self.request_memory_bytes(),
            portion,
        }
    }

    /// Most bytes that open requests may hold: an eighth of the memory. Large buffers are limited to the same amount.
    pub fn request_memory_bytes(&self) -> usize {
        (self.memory_mb << 20) / 8
    }

    /// Most connections to servers: two thirds of the descriptors, without the reserved ones.
    pub fn max_server_connections(&self) -> usize {
        (self.max_descriptors - self.max_descriptors / 3).saturating_sub(self.reserved_descriptors()).max(1)
    }

    /// Most connections to clients and servers together.
    pub fn max_connections(&self) -> usize {
        self.max_descriptors.saturating_sub(self.reserved_descriptors()).max(1)
    }

    /// Descriptors that are not available to connections of clients and servers.
    fn reserved_descriptors(&self) -> usize {
        RESERVED_DESCRIPTORS
            + if self.admin.is_some() { ADMIN_DESCRIPTORS } else { 0 }
            + usize::from(self.siblings.is_some())
    }
}

fn platform_file_path() -> Result<PathBuf, ConfigError> {
    env_variable("EDGE_CONFIG")?.map(PathBuf::from).ok_or(ConfigError::Missing("EDGE_CONFIG"))
}

/// An address from the options file, or from the environment if there is no options file; the value in the JSON file
/// is used if that has none.
fn address(
    name: &'static str,
    in_options: Option<Option<SocketAddr>>,
    in_json: Option<SocketAddr>,
) -> Result<SocketAddr, ConfigError> {
    let address = match in_options {
        Some(in_options) => in_options,
        None => match env_variable(name)? {
            Some(text) => Some(text.parse().map_err(|_| ConfigError::InvalidAddress(name, text))?),
            None => None,
        },
    };
    address.or(in_json).ok_or(ConfigError::Missing(name))
}

fn env_variable(name: &'static str) -> Result<Option<String>, ConfigError> {
    match env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(VarError::NotPresent) => Ok(None),
        Err(VarError::NotUnicode(text)) => {
            Err(ConfigError::InvalidAddress(name, text.to_string_lossy().into()))
        }
    }
}
