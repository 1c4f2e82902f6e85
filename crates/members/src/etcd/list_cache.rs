//! Cache of the latest list and its revision in a file, which is replaced atomically.
//!
//! The file starts with the line `lilacquay members 1 <checksum> <length>`, with the XXH3 checksum of the rest in 16 hex
//! digits and its length in bytes. The rest is JSON.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use lilacquay_core::{Micros, ServerEntry};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use super::layout;

/// Name of the file in its folder.
pub const FILE_NAME: &str = "members";
/// Start of the first line: the file format and its version.
const HEADER: &str = "lilacquay members 1";

/// A cached list.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedList {
    /// Prefix of the keys that the list was read from.
    pub prefix: String,
    /// Id of the cluster that the list comes from. Revisions are only comparable within a cluster.
    pub cluster: u64,
    /// Revision of the list.
    pub revision: i64,
    /// When the list was last known to be current, as Unix time in microseconds.
    pub as_of: Micros,
    /// The servers, each with the revision of its last change.
    pub servers: Vec<(ServerEntry, i64)>,
}

#[derive(Serialize, Deserialize)]
struct Body {
    prefix: String,
    cluster: u64,
    revision: i64,
    as_of: Micros,
    servers: Vec<ServerRecord>,
}

#[derive(Serialize, Deserialize)]
struct ServerRecord {
    id: String,
    revision: i64,
    value: Box<RawValue>,
}

impl CachedList {
    /// Writes the list to a folder and replaces the file there. An interruption at any point leaves the old file or the
    /// new one.
    ///
    /// # Errors
    /// If the file can't be written; the old file stays.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let (file, temporary_file) = (folder.join(FILE_NAME), folder.join(format!("{FILE_NAME}.new")));
        let body = self.body();
        let mut output = File::create(&temporary_file)?;
        writeln!(output, "{HEADER} {:016x} {}", xxh3_64(&body), body.len())?;
        output.write_all(&body)?;
        output.sync_all()?;
        fs::rename(&temporary_file, &file)?;
        File::open(folder)?.sync_all() // makes the rename durable
    }

    fn body(&self) -> Vec<u8> {
        let record = |(entry, revision): &(ServerEntry, i64)| {
            let value = String::from_utf8(layout::encode_value(entry)).expect("JSON is UTF-8");
            let value = RawValue::from_string(value).expect("an encoded value is JSON");
            ServerRecord { id: entry.id.clone(), revision: *revision, value }
        };
        let servers = self.servers.iter().map(record).collect();
        let (prefix, cluster) = (self.prefix.clone(), self.cluster);
        let body = Body { prefix, cluster, revision: self.revision, as_of: self.as_of, servers };
        serde_json::to_vec(&body).expect("numbers and strings always serialize")
    }

    /// Reads the list; `None` if there is no file.
    ///
    /// # Errors
    /// If the file can't be read or is corrupted.
    pub fn read(folder: &Path) -> io::Result<Option<CachedList>> {
        let file = folder.join(FILE_NAME);
        let bytes = match fs::read(&file) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other?,
        };
        let corrupted =
            |what| io::Error::new(io::ErrorKind::InvalidData, format!("{}: {what}", file.display()));
        CachedList::parse(&bytes).map(Some).map_err(corrupted)
    }

    /// Reads the list for the node that writes the file. A corrupted file is renamed to `members.bad`, so that the next
    /// write does not overwrite the file that may show the cause.
    ///
    /// # Errors
    /// As [`CachedList::read`].
    pub fn read_or_quarantine(folder: &Path) -> io::Result<Option<CachedList>> {
        CachedList::read(folder).inspect_err(|error| {
            if error.kind() == io::ErrorKind::InvalidData {
                // If the rename fails, the file stays where it is.
                let _ = fs::rename(folder.join(FILE_NAME), folder.join(format!("{FILE_NAME}.bad")));
            }
        })
    }

    fn parse(bytes: &[u8]) -> Result<CachedList, String> {
        let end = bytes.iter().position(|b| *b == b'\n').ok_or("the first line is missing")?;
        let (first, body) = (String::from_utf8_lossy(&bytes[..end]), &bytes[end + 1..]);
        let checksum_and_length = first.strip_prefix(HEADER).ok_or("not a list file of this program")?;
        if checksum_and_length.trim_start() != format!("{:016x} {}", xxh3_64(body), body.len()) {
            return Err("wrong checksum".into());
        }
        let body: Body = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let read = |record: ServerRecord| {
            let entry = layout::parse_value(&record.id, record.value.get().as_bytes());
            entry.map(|entry| (entry, record.revision)).map_err(|error| format!("{}: {error}", record.id))
        };
        let servers = body.servers.into_iter().map(read).collect::<Result<_, String>>()?;
        let Body { prefix, cluster, revision, as_of, .. } = body;
        Ok(CachedList { prefix, cluster, revision, as_of, servers })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cached_list(revision: i64) -> CachedList {
        let server = |n: i64| {
            let value = format!(r#"{{"addr":"127.0.0.1:{}","state":"serving"}}"#, n + 1);
            (layout::parse_value(&format!("box-{n}"), value.as_bytes()).unwrap(), n)
        };
        let servers = (0..20).map(server).collect();
        CachedList {
            prefix: "/m/".into(),
            cluster: u64::MAX,
            revision,
            as_of: 1_700_000_000_000_000,
            servers,
        }
    }

    #[test]
    fn the_latest_list_written_is_read_back() {
        let folder = tempfile::tempdir().unwrap();
        assert_eq!(CachedList::read(folder.path()).unwrap(), None);
        for revision in [7, 8] {
            cached_list(revision).write(folder.path()).unwrap();
            assert_eq!(CachedList::read(folder.path()).unwrap(), Some(cached_list(revision)));
        }
        assert!(cached_list(9).write(&folder.path().join("none")).is_err());
    }

    #[test]
    fn a_corrupted_file_is_renamed() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join(FILE_NAME);
        cached_list(7).write(folder.path()).unwrap();
        let intact = fs::read(&file).unwrap();
        for length in (0..intact.len()).step_by(7) {
            fs::write(&file, &intact[..length]).unwrap();
            assert!(CachedList::read_or_quarantine(folder.path()).is_err(), "{length} bytes");
            assert!(!file.exists());
        }
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..500 {
            let mut bytes = intact.clone();
            let at = rng.usize(..bytes.len());
            bytes[at] ^= 1 << rng.u8(..8);
            fs::write(&file, &bytes).unwrap();
            assert!(CachedList::read_or_quarantine(folder.path()).is_err(), "byte {at}");
        }
        let result = CachedList::read(folder.path()).map_err(|error| error.to_string());
        assert_eq!(result, Ok(None), "renamed to members.bad");
    }

    #[test]
    fn a_failed_write_leaves_the_old_file() {
        let folder = tempfile::tempdir().unwrap();
        cached_list(7).write(folder.path()).unwrap();
        fs::create_dir(folder.path().join("members.new")).unwrap(); // blocks the temporary file
        assert!(cached_list(8).write(folder.path()).is_err());
        assert_eq!(CachedList::read(folder.path()).unwrap(), Some(cached_list(7)));
    }
}
