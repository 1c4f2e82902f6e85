//! The options of `serve`: what an installation sets beyond the platform's JSON. `deploy/serve.toml` documents
//! each key.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::config_error::{Mistake, Mistakes, unreadable};
use crate::etcd::Etcd;
use crate::logging::{Files, Format, LEVELS_ARE, Log, parse_level};
use crate::memcached::Memcached;
use crate::quota::Quota;
use crate::section::{self, Section};
use crate::siblings::Site;

/// What the file says.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The platform's JSON.
    pub node: PathBuf,
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: Option<SocketAddr>,
    /// The second address, for whoever runs the node.
    pub admin: Option<SocketAddr>,
    /// Whether its figures are Prometheus' text.
    pub prometheus: bool,
    /// Descriptors that the process may hold.
    pub sockets: Option<usize>,
    /// Memory that it may take.
    pub memory_mb: Option<usize>,
    /// The list of servers from etcd.
    pub etcd: Option<Etcd>,
    /// memcached's binary protocol.
    pub memcached: Option<Memcached>,
    /// Quotas.
    pub quota: Option<Quota>,
    /// The other nodes.
    pub siblings: Option<Site>,
    /// The state folder, in which operators' orders are taken.
    pub control: Option<PathBuf>,
    /// How it is logged.
    pub log: Log,
}

impl Options {
    /// Reads the file.
    ///
    /// # Errors
    /// All mistakes that are in it.
    pub fn read(file: &Path) -> Result<Options, Vec<Mistake>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable(file, &error)])?;
        let mut mistakes = Mistakes::new(file, &text);
        let read = Options::parse(file, &text, &mut mistakes);
        let mut found = mistakes.into_found();
        let Some((mut options, Named { etcd, memcached, quota })) = read else { return Err(found) };
        options.etcd = good(etcd.map(|file| Etcd::read(&file)), &mut found);
        options.memcached = good(memcached.map(|file| Memcached::read(&file)), &mut found);
        options.quota = good(quota.map(|file| Quota::read(&file)), &mut found);
        Some(options).filter(|_| found.is_empty()).ok_or(found)
    }

    /// The options, and the files that they name.
    fn parse(file: &Path, text: &str, mistakes: &mut Mistakes) -> Option<(Options, Named)> {
        let table = section::parse(text, "deploy/serve.toml", mistakes)?;
        let mut root = Section::root(&table, mistakes);
        root.only(&[
            "node",
            "resp",
            "discovery",
            "admin",
            "limits",
            "etcd",
            "memcached",
            "quota",
            "control",
            "siblings",
            "log",
        ]);
        let node = root.text("node");
        if node.is_none() && !root.has("node") {
            root.missing("node", "name the platform's JSON file, as in node = \"node.json\"");
        }
        let [etcd, memcached, quota] = ["etcd", "memcached", "quota"].map(|part| root.text(part));
        let mut resp = root.section("resp");
        resp.only(&["listen"]);
        let listen = resp.address("listen");
        let mut found = root.section("discovery");
        found.only(&["address"]);
        let discovery = found.address("address");
        let mut second = root.section("admin");
        second.only(&["address", "form"]);
        let admin = second.address("address");
        let prometheus = match second.text("form") {
            None | Some("lines") => false,
            Some("prometheus") => true,
            Some(_) => {
                second.note(second.place("form"), "form", "no such form", "write lines or prometheus");
                false
            }
        };
        let mut limits = root.section("limits");
        limits.only(&["sockets", "memory_mb"]);
        let (sockets, memory_mb) =
            (limits.number("sockets", 48..=1 << 20), limits.number("memory_mb", 16..=1 << 20));
        let mut control = root.section("control");
        control.only(&["folder"]);
        let folder = file.parent().unwrap_or(Path::new(""));
        let control = control.text("folder").map(|state| folder.join(state));
        let siblings = Site::read(&mut root);
        let log = log(&mut root, folder);
        let node = folder.join(node?);
        let options = Options {
            node,
            listen,
            discovery,
            admin,
            prometheus,
            sockets,
            memory_mb,
            etcd: None,
            memcached: None,
            quota: None,
            siblings,
            control,
            log,
        };
        let named = |file: Option<&str>| file.map(|file| folder.join(file));
        Some((options, Named { etcd: named(etcd), memcached: named(memcached), quota: named(quota) }))
    }
}

/// How it is logged: to standard error, unless a folder is named.
pub fn log(root: &mut Section, folder: &Path) -> Log {
    let mut section = root.section("log");
    section.only(&["level", "format", "folder", "size_mb", "files"]);
    let mut log = Log::default();
    if let Some(text) = section.text("level") {
        match parse_level(text) {
            Some(level) => log.level = level,
            None => section.note(section.place("level"), "level", "no such level", LEVELS_ARE),
        }
    }
    match section.text("format") {
        None | Some("text") => {}
        Some("json") => log.format = Format::Json,
        Some(_) => section.note(section.place("format"), "format", "no such form", "write text or json"),
    }
    let bytes = section.number("size_mb", 1..=1 << 12).unwrap_or(16) << 20;
    let old = section.number("files", 1..=1000).unwrap_or(4);
    log.files = section.text("folder").map(|at| Files { folder: folder.join(at), bytes, old });
    log
}

/// Files with options of their own, not read yet.
struct Named {
    etcd: Option<PathBuf>,
    memcached: Option<PathBuf>,
    quota: Option<PathBuf>,
}

/// What was read, or its mistakes among the others.
fn good<T>(read: Option<Result<T, Vec<Mistake>>>, found: &mut Vec<Mistake>) -> Option<T> {
    read?.map_err(|mistakes| found.extend(mistakes)).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Options, Vec<String>> {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("serve.toml");
        fs::write(&file, text).unwrap();
        let told = |mistake: &Mistake| mistake.to_string().replace(&format!("{}:", file.display()), "");
        Options::read(&file).map_err(|mistakes| mistakes.iter().map(told).collect())
    }

    #[test]
    fn the_documented_file_is_good_and_names_every_key() {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/serve.toml");
        let options = Options::read(&file).unwrap();
        assert!(options.etcd.is_some() && options.memcached.is_some() && options.quota.is_some());
        assert!(options.node.ends_with("node.json"));
        assert!(options.control.is_some_and(|folder| folder.ends_with("state")));
        assert!(options.log.format == Format::Json && options.log.files.is_some());
        assert!(options.listen.is_some() && options.discovery.is_some());
        assert!(options.sockets.is_some() && options.memory_mb.is_some());
        assert!(options.admin.is_some() && !options.prometheus);
        assert!(options.siblings.is_some_and(|site| site.nodes.len() == 3 && site.me == 0));
        let example = Options::read(&file.with_file_name("siblings.toml")).unwrap();
        assert!(example.siblings.is_some_and(|site| site.nodes.len() == 3 && site.replicated_kinds.evidence));
    }

    #[test]
    fn each_mistake_is_told_with_its_line_field_and_mend() {
        let cases = [
            ("node = 7", "1: node: not a text; put it in quotes"),
            ("[limits]", "1: node: missing; name the platform's JSON file, as in node = \"node.json\""),
            (
                "node = \"n\"\nport = 1",
                "2: port: no such key; take it out, or write one of node, resp, discovery, admin, limits, etcd, memcached, quota, control, siblings, log",
            ),
            ("node = \"n\"\nresp = 1", "2: resp: not a table; write [resp] and its keys below"),
            (
                "node = \"n\"\n[resp]\nlisten = \"6379\"",
                "3: resp.listen: \"6379\" is no address with a port; write it as 127.0.0.1:6379 or [::1]:6379",
            ),
            (
                "node = \"n\"\n[admin]\nform = \"html\"",
                "3: admin.form: no such form; write lines or prometheus",
            ),
            (
                "node = \"n\"\n[siblings]\nsite = \"s\"\nlisten = \"127.0.0.1:1\"\nme = 0\nnodes = [\"127.0.0.1:1\"]",
                "6: siblings.nodes: too few or too many; list 2 to 65535 nodes, this one among them",
            ),
            (
                "node = \"n\"\n[siblings]\nsite = \"s\"\nlisten = \"127.0.0.1:1\"\nme = 2\nnodes = [\"127.0.0.1:1\", \"127.0.0.1:2\"]",
                "5: siblings.me: out of range; write a whole number from 0 to 1",
            ),
            (
                "node = \"n\"\n[siblings]\nsite = \"s\"\nlisten = \"127.0.0.1:1\"\nme = 1\nnodes = [\"127.0.0.1:1\", \"127.0.0.1:1\"]",
                "6: siblings.nodes: 127.0.0.1:1 stands there twice; list each node once",
            ),
            (
                "node = \"n\"\n[siblings]\nsite = \"s\"\nlisten = \"127.0.0.1:1\"\nme = 1\nnodes = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\ncommon = [\"rumours\"]",
                "7: siblings.common: \"rumours\" is no such kind; name some of orders, words, evidence",
            ),
            (
                "node = \"n\"\n[limits]\nsockets = 3",
                "3: limits.sockets: out of range; write a whole number from 48 to 1048576",
            ),
            (
                "node = \"n\"\n[limits]\nsockets = \"9\"",
                "3: limits.sockets: out of range; write a whole number from 48 to 1048576",
            ),
        ];
        for (text, told) in cases {
            assert_eq!(read(text), Err(vec![told.to_owned()]));
        }
        let all = read("node = 7\nport = 1\n[limits]\nsockets = -1\n").unwrap_err();
        assert_eq!(all.len(), 3, "{all:?}");
        assert!(read("node = ").unwrap_err()[0].starts_with("1: no TOML"));
    }
}
