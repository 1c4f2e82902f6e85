//! The appliance's one file, which `deploy/appliance.toml` documents: it comes to the platform's JSON and the options of
//! `serve`, so that a node has one way to be told its configuration.

use std::collections::BTreeSet;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use crate::config_error::{Mistake, Mistakes, unreadable};
use crate::etcd::Etcd;
use crate::logging::{Files, Log};
use crate::memcached::Memcached;
use crate::options::{Options, log};
use crate::quota::Quota;
use crate::section::{self, Section};

/// The file as it is documented, which `init` writes.
const DOCUMENTED: &str = include_str!("../../../deploy/appliance.toml");

/// What holds where the file is silent.
const ZONE: &str = "here";
const KIND: &str = "cache";
const ORIGIN: &str = "origin";
const MEMORY_MB: usize = 128;
const LOG_MB: usize = 4;
const LOG_FILES: usize = 3;
const LONGEST_MS: usize = 86_400_000;

/// What a file comes to.
pub struct Appliance {
    /// As the platform's JSON would say it.
    pub node: Value,
    pub options: Options,
    /// Whether the boxes in the file are all there are: no source of members is named.
    pub fixed: bool,
}

impl Appliance {
    /// Whether a text is meant to be one.
    pub fn is_meant(text: &str) -> bool {
        let begins = |line: &str, key: &str| line.trim_start().starts_with(key);
        text.lines()
            .any(|line| begins(line, "[[box]]") || begins(line, "[origin]") || begins(line, "state ="))
    }

    /// Reads the file, and those that it names.
    ///
    /// # Errors
    /// All mistakes that are in them.
    pub fn read(file: &Path) -> Result<Appliance, Vec<Mistake>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable(file, &error)])?;
        let mut mistakes = Mistakes::new(file, &text);
        let read = parse(file, &text, &mut mistakes);
        let mut found = mistakes.into_found();
        let Some((mut appliance, named)) = read else { return Err(found) };
        let options = &mut appliance.options;
        options.etcd = named.etcd.and_then(|file| kept(Etcd::read(&file), &mut found));
        options.memcached = named.memcached.and_then(|file| kept(Memcached::read(&file), &mut found));
        options.quota = named.quota.and_then(|file| kept(Quota::read(&file), &mut found));
        Some(appliance).filter(|_| found.is_empty()).ok_or(found)
    }
}

fn kept<T>(read: Result<T, Vec<Mistake>>, found: &mut Vec<Mistake>) -> Option<T> {
    read.map_err(|mistakes| found.extend(mistakes)).ok()
}

/// Files with options of their own, not read yet.
struct Named {
    etcd: Option<PathBuf>,
    memcached: Option<PathBuf>,
    quota: Option<PathBuf>,
}

struct Place {
    name: String,
    addr: String,
    zone: String,
    kind: String,
    weight: f64,
}

fn parse(file: &Path, text: &str, mistakes: &mut Mistakes) -> Option<(Appliance, Named)> {
    let table = section::parse(text, "deploy/appliance.toml", mistakes)?;
    let folder = file.parent().unwrap_or(Path::new(""));
    let mut root = Section::root(&table, mistakes);
    root.only(&[
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
    let listen = root.address("listen");
    if listen.is_none() && !root.has("listen") {
        root.missing("listen", "write where clients connect, as in listen = \"127.0.0.1:6379\"");
    }
    let state = root.text("state").map(|state| folder.join(state));
    if state.is_none() && !root.has("state") {
        root.missing("state", "name a folder that this node alone may write, as in state = \"state\"");
    }
    let zone = root.text("zone").unwrap_or(ZONE).to_owned();
    let price = root.fraction("cross_zone_price", 0.0..=1e6).unwrap_or(0.0);
    let [memcached, quota] = ["memcached", "quota"].map(|part| root.text(part).map(|file| folder.join(file)));
    let boxes = root.each("box", |section| place(section, &zone));
    let origin = read_origin(&mut root, &zone);
    let classes = classes(&mut root);
    let tenants = root.each("tenant", tenant);
    let (discovery, etcd) = members(&mut root);
    let fixed = discovery.is_none() && etcd.is_none();
    if fixed && !root.has("box") {
        root.missing("box", "name a cache box below [[box]], or a source of them in [members]");
    }
    twice(&mut root, "box", boxes.iter().flatten().map(|one| one.name.as_str()));
    twice(&mut root, "class", classes.iter().flatten().filter_map(|class| class["Name"].as_str()));
    let known: Vec<Place> = boxes.into_iter().flatten().chain(origin).collect();
    let mut settings = settings(&mut root);
    let name_set = |of: fn(&Place) -> &str| known.iter().map(of).collect::<BTreeSet<_>>();
    let mut zones = name_set(|place| &place.zone);
    zones.insert(&zone);
    let kinds: Vec<&str> = name_set(|place| &place.kind).into_iter().filter(|kind| *kind != ORIGIN).collect();
    settings["FamilyInfo"] = json!({ "Mode": "aside", "OriginKind": kinds.len() });
    settings["Skus"] = kinds.into_iter().chain([ORIGIN]).collect();
    settings["Dcs"] = json!(zones);
    settings["Zone"] = json!(zone);
    settings["Prices"] = json!({ "CrossZone": price });
    settings["Classes"] = classes.into_iter().flatten().collect();
    settings["Tenants"] = tenants.into_iter().flatten().collect();
    settings["RegistryMode"] = json!("automatic");
    let mut limits = root.section("limits");
    limits.only(&["sockets", "memory_mb"]);
    let sockets = limits.number("sockets", 48..=1 << 20);
    let memory_mb = limits.number("memory_mb", 16..=1 << 20).unwrap_or(MEMORY_MB);
    let files = |state: &PathBuf| Files { folder: state.join("log"), bytes: LOG_MB << 20, old: LOG_FILES };
    let log = log(&mut root, folder);
    let files = log.files.clone().or(state.as_ref().map(files));
    let log = sizes(&mut root, Log { files, ..log });
    let node = json!({
        "seed": format!("{:x}", fastrand::u64(..)),
        "known": { "version": 0, "full": true, "servers": known.iter().map(listed).collect::<Vec<_>>() },
        "settings": settings,
    });
    let options = Options {
        node: file.to_owned(),
        listen: Some(listen?),
        discovery,
        admin: None,
        prometheus: false,
        sockets,
        memory_mb: Some(memory_mb),
        etcd: None,
        memcached: None,
        quota: None,
        siblings: None,
        control: Some(state?),
        log,
    };
    let named = Named { etcd: etcd.map(|file| folder.join(file)), memcached, quota };
    Some((Appliance { node, options, fixed }, named))
}

fn place(mut section: Section, zone: &str) -> Option<Place> {
    section.only(&["name", "addr", "zone", "kind", "weight"]);
    let name = needed(&mut section, "name", "give the box a name, as in name = \"box-1\"");
    let kind = section.text("kind").unwrap_or(KIND);
    if kind == ORIGIN {
        let place = section.place("kind");
        section.note(place, "kind", "is the origin's", "take it out, and write the origin below [origin]");
    }
    let weight = section.fraction("weight", 0.001..=1e6).unwrap_or(1.0);
    let addr = addr(&mut section);
    let zone = section.text("zone").unwrap_or(zone).to_owned();
    Some(Place { name: name?, addr: addr?, zone, kind: kind.to_owned(), weight })
}

fn read_origin(root: &mut Section, zone: &str) -> Option<Place> {
    if !root.has("origin") {
        root.missing(
            "origin",
            "say where missing values are fetched, below [origin]: addr = \"127.0.0.1:8080\"",
        );
        return None;
    }
    let mut section = root.section("origin");
    section.only(&["addr", "zone"]);
    let addr = addr(&mut section)?;
    let zone = section.text("zone").unwrap_or(zone).to_owned();
    Some(Place { name: ORIGIN.into(), addr, zone, kind: ORIGIN.into(), weight: 1.0 })
}

fn addr(section: &mut Section) -> Option<String> {
    if !section.has("addr") {
        section.missing("addr", "say where it listens, as in addr = \"127.0.0.1:7001\"");
    }
    section.address("addr").map(|addr| addr.to_string())
}

fn needed(section: &mut Section, key: &str, mend: &str) -> Option<String> {
    if !section.has(key) {
        section.missing(key, mend);
    }
    let text = section.text(key)?;
    if text.is_empty() {
        section.note(section.place(key), key, "empty", mend);
        return None;
    }
    Some(text.to_owned())
}

fn classes(root: &mut Section) -> Vec<Option<Value>> {
    if !root.has("class") {
        root.missing(
            "class",
            "say what clients ask for, below [[class]]: name = \"read\", effect = \"safe\"",
        );
    }
    root.each("class", |mut section| {
        section.only(&["name", "effect", "aim_ms", "limit_ms", "worth", "window_ms"]);
        let name = needed(&mut section, "name", "give the class a name, as in name = \"read\"");
        let effect = needed(&mut section, "effect", "write safe, keyed or unsafe");
        if effect.as_ref().is_some_and(|effect| !["safe", "keyed", "unsafe"].contains(&effect.as_str())) {
            section.note(section.place("effect"), "effect", "no such effect", "write safe, keyed or unsafe");
        }
        let aim = section.number("aim_ms", 1..=LONGEST_MS).unwrap_or(300);
        let limit = section.number("limit_ms", 1..=LONGEST_MS).unwrap_or(2000);
        if limit < aim {
            section.note(
                section.place("limit_ms"),
                "limit_ms",
                "less than aim_ms",
                "give it as much at least",
            );
        }
        let window = section.number("window_ms", 0..=LONGEST_MS).unwrap_or(30_000);
        let worth = section.fraction("worth", 0.001..=1e6).unwrap_or(1.0);
        Some(json!({
            "Name": name?, "Effect": effect?, "Aim": aim as f64, "HardLimit": limit as f64, "Worth": worth,
            "DedupScope": "all", "Window": window as f64,
        }))
    })
}

fn tenant(mut section: Section) -> Option<Value> {
    section.only(&["name", "share"]);
    let name = needed(&mut section, "name", "give the tenant a name, as in name = \"libraries\"");
    let share = section.fraction("share", 0.0..=1.0).unwrap_or(0.0);
    Some(json!({ "Name": name?, "Share": share }))
}

fn members(root: &mut Section) -> (Option<std::net::SocketAddr>, Option<String>) {
    let mut members = root.section("members");
    members.only(&["discovery", "etcd"]);
    (members.address("discovery"), members.text("etcd").map(str::to_owned))
}

/// Two of one name: the later is at fault.
fn twice<'a>(root: &mut Section, what: &str, names: impl Iterator<Item = &'a str>) {
    let mut seen = BTreeSet::new();
    for (n, name) in names.enumerate() {
        if !seen.insert(name) {
            let offset = root.place(what);
            root.note(
                offset,
                &format!("{what}[{n}].name"),
                format!("{name:?} is there twice"),
                "give each its own",
            );
        }
    }
}

fn settings(root: &mut Section) -> Value {
    let mut boxes = root.section("boxes");
    boxes.only(&["cold_ms", "cold_from", "connect_ms", "keepalive_ms", "max_attempts", "retry_after_ms"]);
    let mut ms = |key, otherwise| boxes.number(key, 0..=LONGEST_MS).unwrap_or(otherwise) as f64;
    let (cold, connect, keepalive) =
        (ms("cold_ms", 20_000), ms("connect_ms", 1_000), ms("keepalive_ms", 60_000));
    let retry_after = ms("retry_after_ms", 2_000);
    let cold_from = boxes.fraction("cold_from", 0.0..=1.0).unwrap_or(0.2);
    let attempts = boxes.number("max_attempts", 1..=16).unwrap_or(4);
    json!({
        "Guarantees": {
            "Cold": cold, "ColdFrom": cold_from, "Fall": 1000.0, "MustAskIn": 10_000.0, "OverloadFactor": 3.0,
        },
        "Limits": {
            "Cancel": true, "ConnectTimeout": connect, "Keepalive": keepalive, "MaxAttempts": attempts,
            "MaxRetryAfter": retry_after, "MaxStreams": 1, "RetryAfter": retry_after > 0.0, "SecondCopies": true,
        },
        "Quantum": 1.0,
        "Siblings": 1,
    })
}

/// The sizes of the log, which lies in the state folder unless it is told to lie elsewhere.
fn sizes(root: &mut Section, log: Log) -> Log {
    let mut section = root.section("log");
    let mb = section.number("size_mb", 1..=1 << 12).unwrap_or(LOG_MB);
    let old = section.number("files", 1..=1000).unwrap_or(LOG_FILES);
    Log { files: log.files.map(|files| Files { bytes: mb << 20, old, ..files }), ..log }
}

fn listed(place: &Place) -> Value {
    json!({
        "id": place.name, "addr": place.addr, "zone": place.zone, "kind": place.kind, "cell": 0, "state": "SERVING",
        "weight": place.weight, "started_ms": 0,
    })
}

/// Writes the documented file where none is yet.
///
/// # Errors
/// If there is one, or it can't be written.
pub fn init(file: &Path) -> io::Result<()> {
    let mut new = fs::OpenOptions::new().write(true).create_new(true).open(file).map_err(|error| {
        let mend = match error.kind() {
            io::ErrorKind::AlreadyExists => "it is left as it is; name another file, or take it away first",
            _ => "name a file in a folder that this user may write",
        };
        io::Error::new(error.kind(), format!("{}: {error}; {mend}", file.display()))
    })?;
    new.write_all(DOCUMENTED.as_bytes())
}

/// Mistakes, as they fit into one screen of 80 by 24.
pub fn screen(file: &Path, mistakes: &[Mistake]) -> String {
    /// Of three lines each, with four lines round them.
    const SHOWN: usize = 6;
    let mut text = format!("The appliance can't start: {} to mend.\n", mistakes.len());
    for mistake in mistakes.iter().take(SHOWN) {
        let line = if mistake.line > 0 { format!(" line {}", mistake.line) } else { String::new() };
        text += &format!("\n  {}{line}  {}\n", mistake.file.display(), mistake.field);
        text += &format!("    {}: {}\n", mistake.what, mistake.mend);
    }
    if mistakes.len() > SHOWN {
        text += &format!("\n  and {} more\n", mistakes.len() - SHOWN);
    }
    text + &format!("\n`lilacquay check {}` tells them all.\n", file.display())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Appliance, Vec<String>> {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("appliance.toml");
        fs::write(&file, text).unwrap();
        let told = |mistake: &Mistake| mistake.to_string().replace(&format!("{}:", file.display()), "");
        Appliance::read(&file).map_err(|mistakes| mistakes.iter().map(told).collect())
    }

    #[test]
    fn the_documented_file_is_good_and_what_it_says_holds_without_is_what_holds() {
        let plain = read(DOCUMENTED).unwrap_or_else(|told| panic!("{told:?}"));
        assert!(plain.fixed);
        let commented = |line: &str| {
            let key = line.strip_prefix('#').unwrap_or(line);
            let is_key = key.starts_with('[')
                || key.split(" = ").next().is_some_and(|key| {
                    !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c == '_')
                });
            if is_key { key.to_owned() } else { line.to_owned() }
        };
        let named =
            ["memcached", "quota", "etcd", "discovery", "[members]", "[[tenant]]", "name = \"lib", "share"];
        let open: Vec<String> = DOCUMENTED
            .lines()
            .map(|line| match named.iter().any(|name| line.starts_with(&format!("#{name}"))) {
                true => line.to_owned(),
                false => commented(line),
            })
            .collect();
        let open = read(&open.join("\n")).unwrap_or_else(|told| panic!("{told:?}"));
        assert_eq!(open.node["settings"], plain.node["settings"]);
        assert_eq!(open.node["known"], plain.node["known"]);
        let log = |appliance: &Appliance| {
            appliance.options.log.files.as_ref().map(|files| (files.bytes, files.old))
        };
        assert_eq!(log(&open), log(&plain));
    }

    #[test]
    fn each_mistake_is_told_with_its_place_and_mend() {
        let cases = [
            ("listen = \"127.0.0.1:6379\"\n", "state: missing; name a folder that this node alone may write"),
            ("state = \"s\"\nlisten = \"here\"\n", "2: listen: \"here\" is no address with a port"),
            ("[[box]]\naddr = \"127.0.0.1:1\"\n", "box[0].name: missing; give the box a name"),
            ("[[box]]\nname = \"a\"\n", "box[0].addr: missing; say where it listens"),
            (
                "[[box]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\nkind = \"origin\"\n",
                "4: box[0].kind: is the origin's",
            ),
            ("[[class]]\nname = \"r\"\neffect = \"maybe\"\n", "3: class[0].effect: no such effect"),
            (
                "[[class]]\nname = \"r\"\neffect = \"safe\"\nlimit_ms = 2\n",
                "4: class[0].limit_ms: less than aim_ms",
            ),
            ("state = \"s\"\n", "origin: missing; say where missing values are fetched"),
            (
                "[members]\nconsul = \"x\"\n",
                "2: members.consul: no such key; take it out, or write one of discovery, etcd",
            ),
            (
                "[log]\nlevel = \"loud\"\n",
                "2: log.level: no such level; write error, warn, info, debug or trace",
            ),
            (
                "[[box]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\n[[box]]\nname = \"a\"\naddr = \"127.0.0.1:1\"\n",
                "box[1].name: \"a\" is there twice; give each its own",
            ),
        ];
        for (text, wanted) in cases {
            let told = read(text).err().expect(text);
            assert!(told.iter().any(|told| told.contains(wanted)), "{text}: {told:#?}");
        }
    }

    #[test]
    fn however_many_mistakes_fit_into_one_screen() {
        let mistake = |line| Mistake {
            file: "a.toml".into(),
            line,
            field: "f".into(),
            what: "w".into(),
            mend: "m".into(),
        };
        for n in [1, 6, 7, 500] {
            let mistakes: Vec<Mistake> = (0..n).map(mistake).collect();
            let screen = screen(Path::new("a.toml"), &mistakes);
            assert!(screen.lines().count() <= 24, "{screen}");
            assert_eq!(screen.contains("more"), n > 6);
        }
    }
}
