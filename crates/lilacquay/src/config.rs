//! What a node is told at its start: the environment, and the JSON file that it names.

use std::env::{self, VarError};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::{fmt, fs, io};

use lilacquay_fronts::Bounds;
use lilacquay_members::discovery::Told;
use paddlefold::setup::{Setup, SetupError, Stated};
use serde::Deserialize;

/// Descriptors that are neither clients' nor servers' connections: the standard streams, the
/// listener, discovery, the runtime's own, and one to spare for a connection that is turned away.
const RESERVED: usize = 24;
/// Where the configuration sets no limit.
const SOCKETS: usize = 1024;
const MEMORY_MB: usize = 192;

/// What a node is told.
pub struct Config {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    pub memory_mb: usize,
    pub known: Told,
    pub setup: Setup,
}

/// Why a node cannot start.
#[derive(Debug)]
pub enum ConfigError {
    Missing(&'static str),
    Unreadable(String, io::Error),
    Malformed(String, serde_json::Error),
    Address(&'static str, String),
    Seed(String),
    Settings(SetupError),
    Sockets(usize),
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ConfigError::Missing(name) => write!(f, "{name} is not set"),
            ConfigError::Unreadable(path, error) => write!(f, "cannot read configuration {path}: {error}"),
            ConfigError::Malformed(path, error) => write!(f, "bad configuration {path}: {error}"),
            ConfigError::Address(name, text) => write!(f, "{name}: {text:?} is no address with a port"),
            ConfigError::Seed(text) => write!(f, "bad seed {text:?}: 16 hex digits at most"),
            ConfigError::Settings(error) => write!(f, "bad settings: {error}"),
            ConfigError::Sockets(n) => {
                write!(f, "a limit of {n} sockets is too low: {} wanted", 2 * RESERVED)
            }
        }
    }
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    seed: String,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Told,
    settings: Stated,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

impl File {
    fn read() -> Result<File, ConfigError> {
        let path = variable("EDGE_CONFIG")?.ok_or(ConfigError::Missing("EDGE_CONFIG"))?;
        let text = fs::read_to_string(&path).map_err(|e| ConfigError::Unreadable(path.clone(), e))?;
        serde_json::from_str(&text).map_err(|e| ConfigError::Malformed(path, e))
    }
}

impl Config {
    /// Reads the file that `EDGE_CONFIG` names; `EDGE_LISTEN` and `EDGE_DISCOVERY` go before what it says.
    pub fn from_env() -> Result<Config, ConfigError> {
        let file = File::read()?;
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        if sockets < 2 * RESERVED {
            return Err(ConfigError::Sockets(sockets));
        }
        Ok(Config {
            listen: address("EDGE_LISTEN", file.listen)?,
            discovery: address("EDGE_DISCOVERY", file.discovery)?,
            seed: u64::from_str_radix(&file.seed, 16).map_err(|_| ConfigError::Seed(file.seed))?,
            sockets,
            memory_mb: file.limits.memory_mb.unwrap_or(MEMORY_MB),
            known: file.known,
            setup: Setup::try_from(file.settings).map_err(ConfigError::Settings)?,
        })
    }

    /// Reads the file anew, for what may change while the node runs: where discovery is. What the file
    /// says now goes before the environment, which is as old as the process.
    pub fn discovery_anew() -> Result<SocketAddr, ConfigError> {
        match File::read()?.discovery {
            Some(text) => parse("discovery", text),
            None => address("EDGE_DISCOVERY", None),
        }
    }

    /// What clients may hold: a third of the descriptors, and more while servers need fewer, with some left
    /// for those to come.
    pub fn client_bounds(&self, to_servers: Arc<AtomicUsize>) -> Bounds {
        let with_servers = self.sockets - RESERVED - self.sockets / 8;
        Bounds { connections: self.sockets / 3, with_servers, to_servers, memory: self.request_memory() }
    }

    /// Bytes that open requests may hold: an eighth of the memory, as buffers may that are not small.
    pub fn request_memory(&self) -> usize {
        (self.memory_mb << 20) / 8
    }

    /// Most connections to servers.
    pub fn server_connections(&self) -> usize {
        self.sockets - RESERVED - self.sockets / 3
    }
}

fn variable(name: &'static str) -> Result<Option<String>, ConfigError> {
    match env::var(name) {
        Ok(text) => Ok(Some(text)),
        Err(VarError::NotPresent) => Ok(None),
        Err(VarError::NotUnicode(text)) => Err(ConfigError::Address(name, text.to_string_lossy().into())),
    }
}

fn address(name: &'static str, in_file: Option<String>) -> Result<SocketAddr, ConfigError> {
    parse(name, variable(name)?.or(in_file).ok_or(ConfigError::Missing(name))?)
}

fn parse(name: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::Address(name, text))
}
