//! Reads the appliance's single configuration file, which `deploy/appliance.toml` documents. It is translated to the
//! platform's JSON and the options of `serve`, so that a node takes its configuration in one form only.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use crate::config_error::{ConfigIssue, IssueCollector, unreadable_file};
use crate::etcd::EtcdConfig;
use crate::logging::{Files, Log};
use crate::memcached::MemcachedConfig;
use crate::options::{Options, read_log};
use crate::quota::QuotaConfig;
use crate::section::{self, Section};

/// The documented example file, which `init` writes.
const DOCUMENTED_FILE: &str = include_str!("../../../deploy/appliance.toml");

/// The zone of the node, if the file sets none.
const DEFAULT_ZONE: &str = "here";
/// The kind of a box, if the file sets none.
const DEFAULT_BOX_KIND: &str = "cache";
/// The name and the kind of the origin.
const ORIGIN: &str = "origin";
/// Memory limit in MiB, if the file sets none.
const DEFAULT_MEMORY_MB: usize = 128;
/// Size of a log file in MiB, if the file sets none.
const DEFAULT_LOG_FILE_MB: usize = 4;
/// Number of rotated log files, if the file sets none.
const DEFAULT_LOG_FILES: usize = 3;
/// Longest duration that the file may set: one day, in milliseconds.
const MAX_DURATION_MS: usize = 86_400_000;

/// The result of reading an appliance's file.
pub struct Appliance {
    /// The part that a platform's JSON file would hold, in that form.
    pub platform_json: Value,
    pub options: Options,
    /// Whether the list of servers is taken from the file alone, because it names no discovery service nor etcd.
    pub has_fixed_list: bool,
}

impl Appliance {
    /// Whether a text is an appliance's configuration, by the keys that it has.
    pub fn is_config_text(text: &str) -> bool {
        let starts_with_key = |line: &str, key: &str| line.trim_start().starts_with(key);
        text.lines().any(|line| {
            starts_with_key(line, "[[box]]")
                || starts_with_key(line, "[origin]")
                || starts_with_key(line, "state =")
        })
    }

    /// Reads the file, and those that it names.
    ///
    /// # Errors
    /// All issues in them.
    pub fn read(file: &Path) -> Result<Appliance, Vec<ConfigIssue>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable_file(file, &error)])?;
        let mut issues = IssueCollector::new(file, &text);
        let parsed = parse(file, &text, &mut issues);
        let mut issues = issues.into_issues();
        let Some((mut appliance, named_files)) = parsed else { return Err(issues) };
        let options = &mut appliance.options;
        options.etcd = named_files.etcd.and_then(|file| ok_or_collect(EtcdConfig::read(&file), &mut issues));
        options.memcached =
            named_files.memcached.and_then(|file| ok_or_collect(MemcachedConfig::read(&file), &mut issues));
        options.quota =
            named_files.quota.and_then(|file| ok_or_collect(QuotaConfig::read(&file), &mut issues));
        Some(appliance).filter(|_| issues.is_empty()).ok_or(issues)
    }
}

/// The value that was read; its issues are added to `all_issues` instead if it is invalid.
fn ok_or_collect<T>(result: Result<T, Vec<ConfigIssue>>, all_issues: &mut Vec<ConfigIssue>) -> Option<T> {
    result.map_err(|issues| all_issues.extend(issues)).ok()
}

/// Files of other kinds that the appliance's file names, not read yet.
struct NamedFiles {
    etcd: Option<PathBuf>,
    memcached: Option<PathBuf>,
    quota: Option<PathBuf>,
}

/// A cache box or the origin, as the file lists it.
struct ServerEntry {
    name: String,
    addr: String,
    zone: String,
    kind: String,
    weight: f64,
}

fn parse(file: &Path, text: &str, issues: &mut IssueCollector) -> Option<(Appliance, NamedFiles)> {
    let table = section::parse(text, "deploy/appliance.toml", issues)?;
    let folder = file.parent().unwrap_or(Path::new(""));
    let mut root = Section::root(&table, issues);
    root.reject_unknown_keys(&[
        "listen",
        "state",
        "memcached",
        "quota",
        "zone",
        "cross_zone_price",
        "box",
        "origin",
        "class",
        "tenant",
        "members",
        "boxes",
        "limits",
        "log",
    ]);
    let listen = root.socket_address("listen");
    if listen.is_none() && !root.has_key("listen") {
        root.report_missing("listen", "write where clients connect, as in listen = \"127.0.0.1:6379\"");
    }
    let state_folder = root.string("state").map(|path| folder.join(path));
    if state_folder.is_none() && !root.has_key("state") {
        root.report_missing("state", "name a folder that this node alone may write, as in state = \"state\"");
    }
    let zone = root.string("zone").unwrap_or(DEFAULT_ZONE).to_owned();
    let cross_zone_price = root.float("cross_zone_price", 0.0..=1e6).unwrap_or(0.0);
    let [memcached, quota] = ["memcached", "quota"].map(|key| root.string(key).map(|file| folder.join(file)));
    let boxes = root.read_tables("box", |section| read_box(section, &zone));
    let origin = read_origin(&mut root, &zone);
    let classes = read_classes(&mut root);
    let tenants = root.read_tables("tenant", read_tenant);
    let (discovery, etcd) = read_members(&mut root);
    let has_fixed_list = discovery.is_none() && etcd.is_none();
    if has_fixed_list && !root.has_key("box") {
        root.report_missing("box", "name a cache box below [[box]], or a source of them in [members]");
    }
    report_duplicate_names(&mut root, "box", boxes.iter().flatten().map(|entry| entry.name.as_str()));
    report_duplicate_names(
        &mut root,
        "class",
        classes.iter().flatten().filter_map(|class| class["Name"].as_str()),
    );
    let servers: Vec<ServerEntry> = boxes.into_iter().flatten().chain(origin).collect();
    let mut settings = read_settings(&mut root);
    let distinct =
        |attribute: fn(&ServerEntry) -> &str| servers.iter().map(attribute).collect::<BTreeSet<_>>();
    let mut zones = distinct(|server| &server.zone);
    zones.insert(&zone);
    let kinds: Vec<&str> =
        distinct(|server| &server.kind).into_iter().filter(|kind| *kind != ORIGIN).collect();
    settings["FamilyInfo"] = json!({ "Mode": "aside", "OriginKind": kinds.len() });
    settings["Skus"] = kinds.into_iter().chain([ORIGIN]).collect();
    settings["Dcs"] = json!(zones);
    settings["Zone"] = json!(zone);
    settings["Prices"] = json!({ "CrossZone": cross_zone_price });
    settings["Classes"] = classes.into_iter().flatten().collect();
    settings["Tenants"] = tenants.into_iter().flatten().collect();
    settings["RegistryMode"] = json!("automatic");
    let mut limits = root.section("limits");
    limits.reject_unknown_keys(&["sockets", "memory_mb"]);
    let max_descriptors = limits.integer("sockets", 48..=1 << 20);
    let memory_mb = limits.integer("memory_mb", 16..=1 << 20).unwrap_or(DEFAULT_MEMORY_MB);
    let default_files = |state_folder: &PathBuf| Files {
        folder: state_folder.join("log"),
        bytes: DEFAULT_LOG_FILE_MB << 20,
        old: DEFAULT_LOG_FILES,
    };
    let log = read_log(&mut root, folder);
    let files = log.files.clone().or(state_folder.as_ref().map(default_files));
    let log = with_log_sizes(&mut root, Log { files, ..log });
    let platform_json = json!({
        "seed": format!("{:x}", fastrand::u64(..)),
        "known": { "version": 0, "full": true, "servers": servers.iter().map(server_json).collect::<Vec<_>>() },
        "settings": settings,
    });
    let options = Options {
        platform_file: file.to_owned(),
        listen: Some(listen?),
        discovery,
        admin: None,
        prometheus_format: false,
        max_descriptors,
        memory_mb: Some(memory_mb),
        etcd: None,
        memcached: None,
        quota: None,
        siblings: None,
        state_folder: Some(state_folder?),
        log,
    };
    let named_files = NamedFiles { etcd: etcd.map(|file| folder.join(file)), memcached, quota };
    Some((Appliance { platform_json, options, has_fixed_list }, named_files))
}

fn read_box(mut section: Section, zone: &str) -> Option<ServerEntry> {
    section.reject_unknown_keys(&["name", "addr", "zone", "kind", "weight"]);
    let name = required_string(&mut section, "name", "give the box a name, as in name = \"box-1\"");
    let kind = section.string("kind").unwrap_or(DEFAULT_BOX_KIND);
    if kind == ORIGIN {
        let offset = section.value_offset("kind");
        section.report_at(
            offset,
            "kind",
            "reserved for the origin",
            "remove it, and write the origin below [origin]",
        );
    }
    let weight = section.float("weight", 0.001..=1e6).unwrap_or(1.0);
    let addr = required_address(&mut section);
    let zone = section.string("zone").unwrap_or(zone).to_owned();
    Some(ServerEntry { name: name?, addr: addr?, zone, kind: kind.to_owned(), weight })
}

fn read_origin(root: &mut Section, zone: &str) -> Option<ServerEntry> {
    if !root.has_key("origin") {
        root.report_missing(
            "origin",
            "write where missing values are fetched, below [origin]: addr = \"127.0.0.1:8080\"",
        );
        return None;
    }
    let mut section = root.section("origin");
    section.reject_unknown_keys(&["addr", "zone"]);
    let addr = required_address(&mut section)?;
    let zone = section.string("zone").unwrap_or(zone).to_owned();
    Some(ServerEntry { name: ORIGIN.into(), addr, zone, kind: ORIGIN.into(), weight: 1.0 })
}

/// The address of a server, which must be there.
fn required_address(section: &mut Section) -> Option<String> {
    if !section.has_key("addr") {
        section.report_missing("addr", "write where it listens, as in addr = \"127.0.0.1:7001\"");
    }
    section.socket_address("addr").map(|addr| addr.to_string())
}

/// A string that must be there and not be empty.
fn required_string(section: &mut Section, key: &str, fix: &str) -> Option<String> {
    if !section.has_key(key) {
        section.report_missing(key, fix);
    }
    let text = section.string(key)?;
    if text.is_empty() {
        section.report_at(section.value_offset(key), key, "empty", fix);
        return None;
    }
    Some(text.to_owned())
}

fn read_classes(root: &mut Section) -> Vec<Option<Value>> {
    if !root.has_key("class") {
        root.report_missing(
            "class",
            "describe what clients request, below [[class]]: name = \"read\", effect = \"safe\"",
        );
    }
    root.read_tables("class", |mut section| {
        section.reject_unknown_keys(&["name", "effect", "aim_ms", "limit_ms", "worth", "window_ms"]);
        let name = required_string(&mut section, "name", "give the class a name, as in name = \"read\"");
        let effect = required_string(&mut section, "effect", "write safe, keyed or unsafe");
        if effect.as_ref().is_some_and(|effect| !["safe", "keyed", "unsafe"].contains(&effect.as_str())) {
            section.report_at(
                section.value_offset("effect"),
                "effect",
                "no such effect",
                "write safe, keyed or unsafe",
            );
        }
        let aim = section.integer("aim_ms", 1..=MAX_DURATION_MS).unwrap_or(300);
        let limit = section.integer("limit_ms", 1..=MAX_DURATION_MS).unwrap_or(2000);
        if limit < aim {
            section.report_at(
                section.value_offset("limit_ms"),
                "limit_ms",
                "less than aim_ms",
                "set it to at least aim_ms",
            );
        }
        let window = section.integer("window_ms", 0..=MAX_DURATION_MS).unwrap_or(30_000);
        let worth = section.float("worth", 0.001..=1e6).unwrap_or(1.0);
        Some(json!({
            "Name": name?, "Effect": effect?, "Aim": aim as f64, "HardLimit": limit as f64, "Worth": worth,
            "DedupScope": "all", "Window": window as f64,
        }))
    })
}

fn read_tenant(mut section: Section) -> Option<Value> {
    section.reject_unknown_keys(&["name", "share"]);
    let name = required_string(&mut section, "name", "give the tenant a name, as in name = \"libraries\"");
    let share = section.float("share", 0.0..=1.0).unwrap_or(0.0);
    Some(json!({ "Name": name?, "Share": share }))
}

/// The address of the discovery service and the file for etcd, where they are named.
fn read_members(root: &mut Section) -> (Option<std::net::SocketAddr>, Option<String>) {
    let mut members = root.section("members");
    members.reject_unknown_keys(&["discovery", "etcd"]);
    (members.socket_address("discovery"), members.string("etcd").map(str::to_owned))
}

/// Reports each table that has the name of an earlier one.
fn report_duplicate_names<'a>(root: &mut Section, table_name: &str, names: impl Iterator<Item = &'a str>) {
    let mut seen = BTreeSet::new();
    for (index, name) in names.enumerate() {
        if !seen.insert(name) {
            let offset = root.value_offset(table_name);
            root.report_at(
                offset,
                &format!("{table_name}[{index}].name"),
                format!("{name:?} is used twice"),
                "give each a name of its own",
            );
        }
    }
}

/// The platform settings that concern cache boxes; those that the file cannot set have constant values here.
fn read_settings(root: &mut Section) -> Value {
    let mut boxes = root.section("boxes");
    boxes.reject_unknown_keys(&[
        "cold_ms",
        "cold_from",
        "connect_ms",
        "keepalive_ms",
        "max_attempts",
        "retry_after_ms",
    ]);
    let mut duration_ms = |key, default| boxes.integer(key, 0..=MAX_DURATION_MS).unwrap_or(default) as f64;
    let (cold, connect, keepalive) = (
        duration_ms("cold_ms", 20_000),
        duration_ms("connect_ms", 1_000),
        duration_ms("keepalive_ms", 60_000),
    );
    let retry_after = duration_ms("retry_after_ms", 2_000);
    let cold_from = boxes.float("cold_from", 0.0..=1.0).unwrap_or(0.2);
    let max_attempts = boxes.integer("max_attempts", 1..=16).unwrap_or(4);
    json!({
        "Guarantees": {
            "Cold": cold, "ColdFrom": cold_from, "Fall": 1000.0, "MustAskIn": 10_000.0, "OverloadFactor": 3.0,
        },
        "Limits": {
            "Cancel": true, "ConnectTimeout": connect, "Keepalive": keepalive, "MaxAttempts": max_attempts,
            "MaxRetryAfter": retry_after, "MaxStreams": 1, "RetryAfter": retry_after > 0.0, "SecondCopies": true,
        },
        "Quantum": 1.0,
        "Siblings": 1,
    })
}

/// Sets the size and number of log files, whose defaults differ from those of `serve`: the log of an appliance goes
/// to files in the state folder unless another folder is set.
fn with_log_sizes(root: &mut Section, log: Log) -> Log {
    let mut section = root.section("log");
    let file_mb = section.integer("size_mb", 1..=1 << 12).unwrap_or(DEFAULT_LOG_FILE_MB);
    let rotated_files = section.integer("files", 1..=1000).unwrap_or(DEFAULT_LOG_FILES);
    Log { files: log.files.map(|files| Files { bytes: file_mb << 20, old: rotated_files, ..files }), ..log }
}

/// A server as the platform's JSON lists it.
fn server_json(server: &ServerEntry) -> Value {
    json!({
        "id": server.name, "addr": server.addr, "zone": server.zone, "kind": server.kind, "cell": 0, "state": "SERVING",
        "weight": server.weight, "started_ms": 0,
    })
}

/// Writes the documented example file; an existing file is not overwritten.
///
/// # Errors
/// If the file exists, or cannot be written.
pub fn init(file: &Path) -> io::Result<()> {
    let mut new = fs::OpenOptions::new().write(true).create_new(true).open(file).map_err(|error| {
        let fix = match error.kind() {
            io::ErrorKind::AlreadyExists => "it is left as it is; name another file, or remove it first",
            _ => "name a file in a folder that this user may write",
        };
        io::Error::new(error.kind(), format!("{}: {error}; {fix}", file.display()))
    })?;
    new.write_all(DOCUMENTED_FILE.as_bytes())
}

/// The issues that prevent a start, as text that fits one terminal screen of 80 by 24.
pub fn startup_failure_screen(file: &Path, issues: &[ConfigIssue]) -> String {
    /// Each issue takes three lines, and the text around them four.
    const MAX_ISSUES_SHOWN: usize = 6;
    let mut text = format!("The appliance cannot start: {} to fix.\n", issues.len());
    for issue in issues.iter().take(MAX_ISSUES_SHOWN) {
        let line = if issue.line > 0 { format!(" line {}", issue.line) } else { String::new() };
        text += &format!("\n  {}{line}  {}\n", issue.file.display(), issue.field);
        text += &format!("    {}: {}\n", issue.problem, issue.fix);
    }
    if issues.len() > MAX_ISSUES_SHOWN {
        text += &format!("\n  and {} more\n", issues.len() - MAX_ISSUES_SHOWN);
    }
    text + &format!("\n`lilacquay check {}` lists them all.\n", file.display())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Appliance, Vec<String>> {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("appliance.toml");
        fs::write(&file, text).unwrap();
        let without_path =
            |issue: &ConfigIssue| issue.to_string().replace(&format!("{}:", file.display()), "");
        Appliance::read(&file).map_err(|issues| issues.iter().map(without_path).collect())
    }

    #[test]
    fn the_documented_file_is_valid_and_its_commented_defaults_are_the_defaults() {
        let without_keys = read(DOCUMENTED_FILE).unwrap_or_else(|issues| panic!("{issues:?}"));
        assert!(without_keys.has_fixed_list);
        let uncomment_key = |line: &str| {
            let key = line.strip_prefix('#').unwrap_or(line);
            let is_key = key.starts_with('[')
                || key.split(" = ").next().is_some_and(|key| {
                    !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c == '_')
                });
            if is_key { key.to_owned() } else { line.to_owned() }
        };
        let left_commented =
            ["memcached", "quota", "etcd", "discovery", "[members]", "[[tenant]]", "name = \"lib", "share"];
        let lines: Vec<String> = DOCUMENTED_FILE
            .lines()
            .map(|line| match left_commented.iter().any(|name| line.starts_with(&format!("#{name}"))) {
                true => line.to_owned(),
                false => uncomment_key(line),
            })
            .collect();
        let with_keys = read(&lines.join("\n")).unwrap_or_else(|issues| panic!("{issues:?}"));
        assert_eq!(with_keys.platform_json["settings"], without_keys.platform_json["settings"]);
        assert_eq!(with_keys.platform_json["known"], without_keys.platform_json["known"]);
        let log_sizes = |appliance: &Appliance| {
            appliance.options.log.files.as_ref().map(|files| (files.bytes, files.old))
        };
        assert_eq!(log_sizes(&with_keys), log_sizes(&without_keys));
    }

    #[test]
    fn each_issue_is_reported_with_place_and_fix() {
        let cases = [
            ("listen = \"127.0.0.1:6379\"\n", "state: missing; name a folder that this node alone may write"),
            ("state = \"s\"\nlisten = \"here\"\n", "2: listen: \"here\" is not an address with a port"),
            ("[[box]]\naddr = \"127.0.0.1:1\"\n", "box[0].name: missing; give the box a name"),
            ("[[box]]\nname = \"a\"\n", "box[0].addr: missing; write where it listens"),
            (
                "[[box]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\nkind = \"origin\"\n",
                "4: box[0].kind: reserved for the origin",
            ),
            ("[[class]]\nname = \"r\"\neffect = \"maybe\"\n", "3: class[0].effect: no such effect"),
            (
                "[[class]]\nname = \"r\"\neffect = \"safe\"\nlimit_ms = 2\n",
                "4: class[0].limit_ms: less than aim_ms",
            ),
            ("state = \"s\"\n", "origin: missing; write where missing values are fetched"),
            (
                "[members]\nconsul = \"x\"\n",
                "2: members.consul: no such key; remove it, or use one of discovery, etcd",
            ),
            (
                "[log]\nlevel = \"loud\"\n",
                "2: log.level: no such level; write error, warn, info, debug or trace",
            ),
            (
                "[[box]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\n[[box]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\n",
                "box[1].name: \"a\" is used twice; give each a name of its own",
            ),
        ];
        for (text, expected) in cases {
            let issues = read(text).err().expect(text);
            assert!(issues.iter().any(|issue| issue.contains(expected)), "{text}: {issues:#?}");
        }
    }

    #[test]
    fn any_number_of_issues_fits_into_one_screen() {
        let issue = |line| ConfigIssue {
            file: "a.toml".into(),
            line,
            field: "f".into(),
            problem: "w".into(),
            fix: "m".into(),
        };
        for n in [1, 6, 7, 500] {
            let issues: Vec<ConfigIssue> = (0..n).map(issue).collect();
            let screen = startup_failure_screen(Path::new("a.toml"), &issues);
            assert!(screen.lines().count() <= 24, "{screen}");
            assert_eq!(screen.contains("more"), n > 6);
        }
    }
}
