//! The last list with its revision, in a file: whole or not at all.
//!
//! A first line, `lilacquay members 1 <checksum> <length>`, with the XXH3 checksum of the rest in 16 hex digits
//! and its length in bytes; then JSON.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::Path;

use lilacquay_core::{Entry, Micros};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use super::layout;

/// The name of the file in its folder.
pub const NAME: &str = "members";
const WORDS: &str = "lilacquay members 1";

/// A list as it was followed.
#[derive(Debug, Clone, PartialEq)]
pub struct CachedList {
    /// The keys' prefix.
    pub prefix: String,
    /// The cluster that told it; its revisions mean nothing elsewhere.
    pub cluster: u64,
    /// Its revision.
    pub revision: i64,
    /// When it was last known to be the newest, Unix time.
    pub as_of: Micros,
    /// The servers, each with the revision in which it changed last.
    pub servers: Vec<(Entry, i64)>,
}

#[derive(Serialize, Deserialize)]
struct Body {
    prefix: String,
    cluster: u64,
    revision: i64,
    as_of: Micros,
    servers: Vec<Line>,
}

#[derive(Serialize, Deserialize)]
struct Line {
    id: String,
    revision: i64,
    value: Box<RawValue>,
}

impl CachedList {
    /// Writes it to a folder in place of what was there. A break at any moment leaves the old one or the new one.
    ///
    /// # Errors
    /// The system's; the old file stays.
    pub fn write(&self, folder: &Path) -> io::Result<()> {
        let (file, beside) = (folder.join(NAME), folder.join(format!("{NAME}.new")));
        let body = self.body();
        let mut to = File::create(&beside)?;
        writeln!(to, "{WORDS} {:016x} {}", xxh3_64(&body), body.len())?;
        to.write_all(&body)?;
        to.sync_all()?;
        fs::rename(&beside, &file)?;
        File::open(folder)?.sync_all() // the name, too, survives a crash
    }

    fn body(&self) -> Vec<u8> {
        let line = |(entry, revision): &(Entry, i64)| {
            let value = String::from_utf8(layout::encode_value(entry)).expect("JSON is UTF-8");
            let value = RawValue::from_string(value).expect("it is JSON");
            Line { id: entry.id.clone(), revision: *revision, value }
        };
        let servers = self.servers.iter().map(line).collect();
        let (prefix, cluster) = (self.prefix.clone(), self.cluster);
        let body = Body { prefix, cluster, revision: self.revision, as_of: self.as_of, servers };
        serde_json::to_vec(&body).expect("numbers and texts are JSON")
    }

    /// Reads it; nothing if there is no file.
    ///
    /// # Errors
    /// The system's, or that the file is not whole.
    pub fn read(folder: &Path) -> io::Result<Option<CachedList>> {
        let file = folder.join(NAME);
        let bytes = match fs::read(&file) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            other => other?,
        };
        let wrong = |what| io::Error::new(io::ErrorKind::InvalidData, format!("{}: {what}", file.display()));
        CachedList::parse(&bytes).map(Some).map_err(wrong)
    }

    /// Reads it for the node that writes it; a file that is not whole is set aside as `members.bad`, so that the
    /// next one does not replace what may tell why.
    ///
    /// # Errors
    /// As [`Kept::read`].
    pub fn read_or_quarantine(folder: &Path) -> io::Result<Option<CachedList>> {
        CachedList::read(folder).inspect_err(|error| {
            if error.kind() == io::ErrorKind::InvalidData {
                let _ = fs::rename(folder.join(NAME), folder.join(format!("{NAME}.bad"))); // left, if it must be
            }
        })
    }

    fn parse(bytes: &[u8]) -> Result<CachedList, String> {
        let end = bytes.iter().position(|b| *b == b'\n').ok_or("no first line")?;
        let (first, body) = (String::from_utf8_lossy(&bytes[..end]), &bytes[end + 1..]);
        let said = first.strip_prefix(WORDS).ok_or("not a list that this program keeps")?;
        if said.trim_start() != format!("{:016x} {}", xxh3_64(body), body.len()) {
            return Err("its checksum is wrong".into());
        }
        let body: Body = serde_json::from_slice(body).map_err(|error| error.to_string())?;
        let read = |line: Line| {
            let entry = layout::parse_value(&line.id, line.value.get().as_bytes());
            entry.map(|entry| (entry, line.revision)).map_err(|error| format!("{}: {error}", line.id))
        };
        let servers = body.servers.into_iter().map(read).collect::<Result<_, String>>()?;
        let Body { prefix, cluster, revision, as_of, .. } = body;
        Ok(CachedList { prefix, cluster, revision, as_of, servers })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kept(revision: i64) -> CachedList {
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
    fn it_is_read_as_it_was_written_and_the_newest_counts() {
        let folder = tempfile::tempdir().unwrap();
        assert_eq!(CachedList::read(folder.path()).unwrap(), None);
        for revision in [7, 8] {
            kept(revision).write(folder.path()).unwrap();
            assert_eq!(CachedList::read(folder.path()).unwrap(), Some(kept(revision)));
        }
        assert!(kept(9).write(&folder.path().join("none")).is_err());
    }

    #[test]
    fn one_that_is_not_whole_is_set_aside() {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join(NAME);
        kept(7).write(folder.path()).unwrap();
        let whole = fs::read(&file).unwrap();
        for length in (0..whole.len()).step_by(7) {
            fs::write(&file, &whole[..length]).unwrap();
            assert!(CachedList::read_or_quarantine(folder.path()).is_err(), "{length} bytes");
            assert!(!file.exists());
        }
        let mut rng = fastrand::Rng::with_seed(3);
        for _ in 0..500 {
            let mut bytes = whole.clone();
            let at = rng.usize(..bytes.len());
            bytes[at] ^= 1 << rng.u8(..8);
            fs::write(&file, &bytes).unwrap();
            assert!(CachedList::read_or_quarantine(folder.path()).is_err(), "byte {at}");
        }
        let told = CachedList::read(folder.path()).map_err(|error| error.to_string());
        assert_eq!(told, Ok(None), "set aside as members.bad");
    }

    #[test]
    fn a_write_that_breaks_leaves_the_old_one() {
        let folder = tempfile::tempdir().unwrap();
        kept(7).write(folder.path()).unwrap();
        fs::create_dir(folder.path().join("members.new")).unwrap(); // nothing can be written beside it
        assert!(kept(8).write(folder.path()).is_err());
        assert_eq!(CachedList::read(folder.path()).unwrap(), Some(kept(7)));
    }
}
