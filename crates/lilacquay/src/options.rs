//! Reads the options file of `serve`: what an installation sets beyond the platform's JSON. `deploy/serve.toml`
//! documents each key.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use crate::config_error::{ConfigIssue, IssueCollector, unreadable_file};
use crate::etcd::EtcdConfig;
use crate::logging::{Files, Format, LEVEL_HINT, Log, parse_level};
use crate::memcached::MemcachedConfig;
use crate::quota::QuotaConfig;
use crate::section::{self, Section};
use crate::siblings::Site;

/// The content of the file, and of the files that it names.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The platform's JSON file.
    pub platform_file: PathBuf,
    /// Address on which clients connect.
    pub listen: Option<SocketAddr>,
    /// Address of the discovery service.
    pub discovery: Option<SocketAddr>,
    /// Address of the admin listener, for health checks and metrics.
    pub admin: Option<SocketAddr>,
    /// Whether the admin listener writes metrics in the Prometheus text format.
    pub prometheus_format: bool,
    /// Most file descriptors that the process may hold.
    pub max_descriptors: Option<usize>,
    /// Most memory that the process may use, in MiB.
    pub memory_mb: Option<usize>,
    /// How to reach etcd, if the list of servers comes from there.
    pub etcd: Option<EtcdConfig>,
    /// Listeners and rules of the memcached binary protocol.
    pub memcached: Option<MemcachedConfig>,
    /// Quotas of tenants and classes.
    pub quota: Option<QuotaConfig>,
    /// This node's site with its other nodes.
    pub siblings: Option<Site>,
    /// The state folder, with the control socket that accepts operators' orders.
    pub state_folder: Option<PathBuf>,
    pub log: Log,
}

impl Options {
    /// Reads the file.
    ///
    /// # Errors
    /// All issues in it and in the files that it names.
    pub fn read(file: &Path) -> Result<Options, Vec<ConfigIssue>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable_file(file, &error)])?;
        let mut issues = IssueCollector::new(file, &text);
        let parsed = Options::parse(file, &text, &mut issues);
        let mut issues = issues.into_issues();
        let Some((mut options, NamedFiles { etcd, memcached, quota })) = parsed else { return Err(issues) };
        options.etcd = ok_or_collect(etcd.map(|file| EtcdConfig::read(&file)), &mut issues);
        options.memcached = ok_or_collect(memcached.map(|file| MemcachedConfig::read(&file)), &mut issues);
        options.quota = ok_or_collect(quota.map(|file| QuotaConfig::read(&file)), &mut issues);
        Some(options).filter(|_| issues.is_empty()).ok_or(issues)
    }

    /// Parses the options, and returns them with the files that they name.
    fn parse(file: &Path, text: &str, issues: &mut IssueCollector) -> Option<(Options, NamedFiles)> {
        let table = section::parse(text, "deploy/serve.toml", issues)?;
        let mut root = Section::root(&table, issues);
        root.reject_unknown_keys(&[
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
        let platform_file = root.string("node");
        if platform_file.is_none() && !root.has_key("node") {
            root.report_missing("node", "name the platform's JSON file, as in node = \"node.json\"");
        }
        let [etcd, memcached, quota] = ["etcd", "memcached", "quota"].map(|key| root.string(key));
        let mut resp = root.section("resp");
        resp.reject_unknown_keys(&["listen"]);
        let listen = resp.socket_address("listen");
        let mut discovery_section = root.section("discovery");
        discovery_section.reject_unknown_keys(&["address"]);
        let discovery = discovery_section.socket_address("address");
        let mut admin_section = root.section("admin");
        admin_section.reject_unknown_keys(&["address", "form"]);
        let admin = admin_section.socket_address("address");
        let prometheus_format = match admin_section.string("form") {
            None | Some("lines") => false,
            Some("prometheus") => true,
            Some(_) => {
                admin_section.report_at(
                    admin_section.value_offset("form"),
                    "form",
                    "no such form",
                    "write lines or prometheus",
                );
                false
            }
        };
        let mut limits = root.section("limits");
        limits.reject_unknown_keys(&["sockets", "memory_mb"]);
        let (max_descriptors, memory_mb) =
            (limits.integer("sockets", 48..=1 << 20), limits.integer("memory_mb", 16..=1 << 20));
        let mut control = root.section("control");
        control.reject_unknown_keys(&["folder"]);
        let folder = file.parent().unwrap_or(Path::new(""));
        let state_folder = control.string("folder").map(|path| folder.join(path));
        let siblings = Site::read(&mut root);
        let log = read_log(&mut root, folder);
        let platform_file = folder.join(platform_file?);
        let options = Options {
            platform_file,
            listen,
            discovery,
            admin,
            prometheus_format,
            max_descriptors,
            memory_mb,
            etcd: None,
            memcached: None,
            quota: None,
            siblings,
            state_folder,
            log,
        };
        let resolve_path = |file: Option<&str>| file.map(|file| folder.join(file));
        Some((
            options,
            NamedFiles {
                etcd: resolve_path(etcd),
                memcached: resolve_path(memcached),
                quota: resolve_path(quota),
            },
        ))
    }
}

/// Reads `[log]`; the log goes to standard error unless a folder is named.
pub fn read_log(root: &mut Section, folder: &Path) -> Log {
    let mut section = root.section("log");
    section.reject_unknown_keys(&["level", "format", "folder", "size_mb", "files"]);
    let mut log = Log::default();
    if let Some(text) = section.string("level") {
        match parse_level(text) {
            Some(level) => log.level = level,
            None => section.report_at(section.value_offset("level"), "level", "no such level", LEVEL_HINT),
        }
    }
    match section.string("format") {
        None | Some("text") => {}
        Some("json") => log.format = Format::Json,
        Some(_) => section.report_at(
            section.value_offset("format"),
            "format",
            "no such format",
            "write text or json",
        ),
    }
    let bytes = section.integer("size_mb", 1..=1 << 12).unwrap_or(16) << 20;
    let rotated_files = section.integer("files", 1..=1000).unwrap_or(4);
    log.files =
        section.string("folder").map(|path| Files { folder: folder.join(path), bytes, old: rotated_files });
    log
}

/// Files of other kinds that the options name, not read yet.
struct NamedFiles {
    etcd: Option<PathBuf>,
    memcached: Option<PathBuf>,
    quota: Option<PathBuf>,
}

/// The value that was read; its issues are added to `all_issues` instead if it is invalid.
fn ok_or_collect<T>(
    result: Option<Result<T, Vec<ConfigIssue>>>,
    all_issues: &mut Vec<ConfigIssue>,
) -> Option<T> {
    result?.map_err(|issues| all_issues.extend(issues)).ok()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Options, Vec<String>> {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("serve.toml");
        fs::write(&file, text).unwrap();
        let without_path =
            |issue: &ConfigIssue| issue.to_string().replace(&format!("{}:", file.display()), "");
        Options::read(&file).map_err(|issues| issues.iter().map(without_path).collect())
    }

    #[test]
    fn the_documented_file_is_valid_and_names_every_key() {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/serve.toml");
        let options = Options::read(&file).unwrap();
        assert!(options.etcd.is_some() && options.memcached.is_some() && options.quota.is_some());
        assert!(options.platform_file.ends_with("node.json"));
        assert!(options.state_folder.is_some_and(|folder| folder.ends_with("state")));
        assert!(options.log.format == Format::Json && options.log.files.is_some());
        assert!(options.listen.is_some() && options.discovery.is_some());
        assert!(options.max_descriptors.is_some() && options.memory_mb.is_some());
        assert!(options.admin.is_some() && !options.prometheus_format);
        assert!(options.siblings.is_some_and(|site| site.nodes.len() == 3 && site.me == 0));
        let example = Options::read(&file.with_file_name("siblings.toml")).unwrap();
        assert!(example.siblings.is_some_and(|site| site.nodes.len() == 3 && site.replicated_kinds.evidence));
    }

    #[test]
    fn each_issue_is_reported_with_line_field_and_fix() {
        let cases = [
            ("node = 7", "1: node: not a string; put it in quotes"),
            ("[limits]", "1: node: missing; name the platform's JSON file, as in node = \"node.json\""),
            (
                "node = \"n\"\nport = 1",
                "2: port: no such key; remove it, or use one of node, resp, discovery, admin, limits, etcd, memcached, quota, control, siblings, log",
            ),
            ("node = \"n\"\nresp = 1", "2: resp: not a table; write [resp] and its keys below"),
            (
                "node = \"n\"\n[resp]\nlisten = \"6379\"",
                "3: resp.listen: \"6379\" is not an address with a port; write it as 127.0.0.1:6379 or [::1]:6379",
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
                "6: siblings.nodes: 127.0.0.1:1 is listed twice; list each node once",
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
        for (text, expected) in cases {
            assert_eq!(read(text), Err(vec![expected.to_owned()]));
        }
        let three_issues = read("node = 7\nport = 1\n[limits]\nsockets = -1\n").unwrap_err();
        assert_eq!(three_issues.len(), 3, "{three_issues:?}");
        assert!(read("node = ").unwrap_err()[0].starts_with("1: invalid TOML"));
    }
}
