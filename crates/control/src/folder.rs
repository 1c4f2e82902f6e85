//! The state folder: the socket's place, the orders that last, and the audit file.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::{OpenOptionsExt, PermissionsExt};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use flate2::Compression;
use flate2::write::GzEncoder;
use lilacquay_overrides::Kept;
use serde::{Deserialize, Serialize};

use crate::messages::ControlRequest;

/// An audit file of this size makes room for a new one; one old one is kept.
const AUDIT: u64 = 1 << 20;
/// So many diagnosis bundles are kept.
const BUNDLES: usize = 5;

/// A folder that lasts, of one node alone.
#[derive(Debug, Clone)]
pub struct StateDir(PathBuf);

#[derive(Serialize, Deserialize)]
struct Orders {
    orders: Vec<Lasting>,
}

#[derive(Serialize, Deserialize)]
struct Lasting {
    server: String,
    /// Unix time in milliseconds; until it is lifted if there is none.
    until_ms: Option<u64>,
    /// What it is known by among the nodes, if they hold it in common.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    mark: Option<String>,
}

#[derive(Serialize)]
struct Audited<'a> {
    /// Unix time in milliseconds.
    at_ms: u64,
    #[serde(flatten)]
    verb: &'a ControlRequest,
    outcome: &'a str,
}

impl StateDir {
    /// A folder at this path, which is made if it is not there.
    ///
    /// # Errors
    /// If it can't be made.
    pub fn new(path: &Path) -> io::Result<StateDir> {
        fs::create_dir_all(path)?;
        Ok(StateDir(path.to_owned()))
    }

    /// Where the socket is.
    pub fn socket(&self) -> PathBuf {
        self.0.join("control.sock")
    }

    /// Makes way for the socket: what a node that was killed has left is removed.
    ///
    /// # Errors
    /// If another node answers there, or what is there can't be removed.
    pub fn remove_stale_socket(&self) -> io::Result<()> {
        let socket = self.socket();
        match UnixStream::connect(&socket) {
            Ok(_) => Err(io::Error::new(
                io::ErrorKind::AddrInUse,
                format!("a node answers at {} already; give each node a folder of its own", socket.display()),
            )),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            Err(_) => fs::remove_file(socket),
        }
    }

    /// Lets nobody but this user speak to the socket.
    ///
    /// # Errors
    /// If its mode can't be set.
    pub fn restrict_socket(&self) -> io::Result<()> {
        fs::set_permissions(self.socket(), fs::Permissions::from_mode(0o600))
    }

    /// The orders that lasted; none if there is no file.
    ///
    /// # Errors
    /// If the file can't be read. It is left as it is.
    pub fn load_orders(&self) -> io::Result<Vec<Kept>> {
        let path = self.0.join("orders.json");
        let wrong = |error: io::Error| {
            let what = format!("{}: {error}; mend it, or take it away and order anew", path.display());
            io::Error::new(error.kind(), what)
        };
        let text = match fs::read(&path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Vec::new()),
            text => text.map_err(wrong)?,
        };
        let read: Orders = serde_json::from_slice(&text).map_err(|error| wrong(error.into()))?;
        let now = unix_ms();
        let kept = |Lasting { server, until_ms, mark }| Kept {
            server,
            left: until_ms.map(|until| until.saturating_sub(now) * 1000),
            mark,
        };
        Ok(read.orders.into_iter().map(kept).collect())
    }

    /// Keeps the orders that last, all or none of them.
    ///
    /// # Errors
    /// If they can't be written; those kept before are then still there.
    pub fn save_orders(&self, kept: Vec<Kept>) -> io::Result<()> {
        let now = unix_ms();
        let lasting = |Kept { server, left, mark }| Lasting {
            server,
            until_ms: left.map(|left| now + left / 1000),
            mark,
        };
        let orders = Orders { orders: kept.into_iter().map(lasting).collect() };
        let mut file = tempfile::NamedTempFile::new_in(&self.0)?;
        serde_json::to_writer(&mut file, &orders)?;
        file.as_file().sync_all()?;
        file.persist(self.0.join("orders.json"))?;
        File::open(&self.0)?.sync_all() // the name, too, survives a crash
    }

    /// Writes a bundle for whoever looks for a fault; tells its path. The oldest of more than five are removed.
    ///
    /// # Errors
    /// If it can't be written; nothing half written is left.
    pub fn write_diagnosis(&self, contents: &serde_json::Value) -> io::Result<PathBuf> {
        let folder = self.0.join("diagnosis");
        fs::create_dir_all(&folder)?;
        let file = tempfile::NamedTempFile::new_in(&folder)?;
        let mut packed = GzEncoder::new(&file, Compression::default());
        serde_json::to_writer_pretty(&mut packed, contents)?;
        packed.finish()?;
        let path = folder.join(format!("{}.json.gz", unix_ms()));
        file.persist(&path)?;
        let is_bundle = |path: &PathBuf| path.to_string_lossy().ends_with(".json.gz");
        let mut bundles: Vec<PathBuf> = fs::read_dir(&folder)?.flatten().map(|entry| entry.path()).collect();
        bundles.retain(is_bundle);
        bundles.sort();
        let old = bundles.len().saturating_sub(BUNDLES);
        bundles.iter().take(old).try_for_each(fs::remove_file)?;
        Ok(path)
    }

    /// Whether the socket is still in its place: somebody may have cleared the folder.
    pub fn has_socket(&self) -> bool {
        fs::metadata(self.socket()).is_ok()
    }

    /// Records an order with its time and outcome.
    ///
    /// # Errors
    /// If it can't be written.
    pub fn append_audit(&self, verb: &ControlRequest, outcome: &str) -> io::Result<()> {
        let path = self.0.join("audit.log");
        if fs::metadata(&path).is_ok_and(|file| file.len() >= AUDIT) {
            fs::rename(&path, self.0.join("audit.old.log"))?;
        }
        let mut file = OpenOptions::new().create(true).append(true).mode(0o600).open(path)?;
        let mut line = serde_json::to_vec(&Audited { at_ms: unix_ms(), verb, outcome })?;
        line.push(b'\n');
        file.write_all(&line)
    }
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    since.as_millis() as u64
}
