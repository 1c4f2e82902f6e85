//! The state directory: the control socket, the persisted orders, the audit log and the diagnosis bundles.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flate2::Compression;
use flate2::write::GzEncoder;
use lilacquay_overrides::PersistentOrder;
use serde::{Deserialize, Serialize};

use crate::messages::ControlRequest;

/// The audit log is rotated when it reaches this size, in bytes; one old file is kept.
const MAX_AUDIT_LOG_BYTES: u64 = 1 << 20;
/// Number of diagnosis bundles that are kept.
const MAX_BUNDLES: usize = 5;

/// A persistent directory that is used by a single node.
#[derive(Debug, Clone)]
pub struct StateDir(PathBuf);

#[derive(Serialize, Deserialize)]
struct OrdersFile {
    orders: Vec<PersistedOrder>,
}

#[derive(Serialize, Deserialize)]
struct PersistedOrder {
    server: String,
    /// Expiry as Unix time in milliseconds; none if the order is valid until it is revoked.
    until_ms: Option<u64>,
    /// Identifies the order among the nodes if it is replicated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    mark: Option<String>,
}

/// A line of the audit log.
#[derive(Serialize)]
struct AuditEntry<'a> {
    /// Unix time in milliseconds.
    at_ms: u64,
    #[serde(flatten)]
    request: &'a ControlRequest,
    outcome: &'a str,
}

impl StateDir {
    /// Opens the directory at this path, and creates it if it does not exist.
    ///
    /// # Errors
    /// If it cannot be created.
    pub fn new(path: &Path) -> io::Result<StateDir> {
        fs::create_dir_all(path)?;
        Ok(StateDir(path.to_owned()))
    }

    /// Path of the control socket.
    pub fn socket(&self) -> PathBuf {
        self.0.join("control.sock")
    }

    /// Removes a socket that a killed process has left behind.
    ///
    /// # Errors
    /// If another node listens on the socket, or the file cannot be removed.
    pub fn remove_stale_socket(&self) -> io::Result<()> {
        let socket = self.socket();
        match UnixStream::connect(&socket) {
            Ok(_) => Err(io::Error::new(
                io::ErrorKind::AddrInUse,
                format!(
                    "a node answers at {} already; give each node a state folder of its own",
                    socket.display()
                ),
            )),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(_) => fs::remove_file(socket),
        }
    }

    /// Restricts access to the socket to this user.
    ///
    /// # Errors
    /// If its mode cannot be set.
    pub fn restrict_socket(&self) -> io::Result<()> {
        fs::set_permissions(self.socket(), fs::Permissions::from_mode(0o600))
    }

    /// Loads the persisted orders; none if there is no file.
    ///
    /// # Errors
    /// If the file cannot be read or parsed. It is left unchanged.
    pub fn load_orders(&self) -> io::Result<Vec<PersistentOrder>> {
        let path = self.0.join("orders.json");
        let with_path = |error: io::Error| {
            let message = format!(
                "{}: {error}; repair the file, or remove it and give the orders again",
                path.display()
            );
            io::Error::new(error.kind(), message)
        };
        let text = match fs::read(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            text => text.map_err(with_path)?,
        };
        let file: OrdersFile = serde_json::from_slice(&text).map_err(|error| with_path(error.into()))?;
        let now = unix_ms();
        let to_kept = |PersistedOrder { server, until_ms, mark }| PersistentOrder {
            server,
            remaining: until_ms.map(|until| until.saturating_sub(now) * 1000),
            mark,
        };
        Ok(file.orders.into_iter().map(to_kept).collect())
    }

    /// Replaces the persisted orders atomically.
    ///
    /// # Errors
    /// If they cannot be written; the previous ones then remain.
    pub fn save_orders(&self, orders: Vec<PersistentOrder>) -> io::Result<()> {
        let now = unix_ms();
        let to_persisted = |PersistentOrder { server, remaining: left, mark }| PersistedOrder {
            server,
            until_ms: left.map(|left| now + left / 1000),
            mark,
        };
        let orders = OrdersFile { orders: orders.into_iter().map(to_persisted).collect() };
        let mut file = tempfile::NamedTempFile::new_in(&self.0)?;
        serde_json::to_writer(&mut file, &orders)?;
        file.as_file().sync_all()?;
        file.persist(self.0.join("orders.json"))?;
        File::open(&self.0)?.sync_all() // so that the rename, too, survives a crash
    }

    /// Writes a diagnosis bundle for troubleshooting and returns its path. Of more than five bundles, the oldest are
    /// removed.
    ///
    /// # Errors
    /// If it cannot be written; no partial file is left behind.
    pub fn write_diagnosis(&self, contents: &serde_json::Value) -> io::Result<PathBuf> {
        let bundle_dir = self.0.join("diagnosis");
        fs::create_dir_all(&bundle_dir)?;
        let file = tempfile::NamedTempFile::new_in(&bundle_dir)?;
        let mut compressed = GzEncoder::new(&file, Compression::default());
        serde_json::to_writer_pretty(&mut compressed, contents)?;
        compressed.finish()?;
        let path = bundle_dir.join(format!("{}.json.gz", unix_ms()));
        file.persist(&path)?;
        let is_bundle = |path: &PathBuf| path.to_string_lossy().ends_with(".json.gz");
        let mut bundles: Vec<PathBuf> =
            fs::read_dir(&bundle_dir)?.flatten().map(|entry| entry.path()).collect();
        bundles.retain(is_bundle);
        bundles.sort();
        let surplus = bundles.len().saturating_sub(MAX_BUNDLES);
        bundles.iter().take(surplus).try_for_each(fs::remove_file)?;
        Ok(path)
    }

    /// Whether the socket still exists; the directory may have been cleared by somebody.
    pub fn has_socket(&self) -> bool {
        fs::metadata(self.socket()).is_ok()
    }

    /// Appends an order with its time and outcome to the audit log.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn append_audit(&self, request: &ControlRequest, outcome: &str) -> io::Result<()> {
        let path = self.0.join("audit.log");
        if fs::metadata(&path).is_ok_and(|file| file.len() >= MAX_AUDIT_LOG_BYTES) {
            fs::rename(&path, self.0.join("audit.old.log"))?;
        }
        let mut file = OpenOptions::new().create(true).append(true).mode(0o600).open(path)?;
        let mut line = serde_json::to_vec(&AuditEntry { at_ms: unix_ms(), request, outcome })?;
        line.push(b'\n');
        file.write_all(&line)
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}
