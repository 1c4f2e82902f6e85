//! Reads the options for memcached's binary protocol; `deploy/memcached.toml` documents each key. The file has the
//! listeners, and rules (`[[row]]`) that assign classes and tenants to keys.

use std::collections::BTreeSet;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use lilacquay_core::Gauges;
use lilacquay_fronts::memcache::command_rules::{CommandRule, CommandRules, NamedIndex, RepeatMarker};
use lilacquay_fronts::memcache::users::Users;
use lilacquay_fronts::memcache::{Frontend, WriteCapabilities};
use paddlefold::setup::Names;

use crate::config_error::{ConfigIssue, IssueCollector, unreadable_file};
use crate::section::{self, Section};

/// How long clients wait for an answer, if the file does not say.
const DEFAULT_CLIENT_TIMEOUT_MS: usize = 1000;
/// Longest client timeout that the file may set: one hour.
const MAX_CLIENT_TIMEOUT_MS: usize = 3_600_000;

/// The content of the file. Its names are looked up, and the password files that it names are read, by
/// [`Self::resolve`].
#[derive(Debug, Clone, PartialEq)]
pub struct MemcachedConfig {
    file: PathBuf,
    text: String,
    listeners: Vec<RawListener>,
    /// Each user's name and password file.
    users: Vec<(String, PathBuf)>,
    rules: Vec<RawRule>,
    /// The rule of commands that match no other rule.
    fallback_rule: Option<RawRule>,
    /// Whether the servers support conditional writes, flags, and an expiry; see [`WriteCapabilities`].
    conditions: bool,
    flags: bool,
    expiry: bool,
    server_kinds: BTreeSet<String>,
}

/// A `[[listener]]` table.
#[derive(Debug, Clone, PartialEq)]
struct RawListener {
    name: String,
    address: SocketAddr,
    requires_login: bool,
}

/// A name of something else that the file mentions, with its field and place, so that it can be reported if it is
/// not found.
#[derive(Debug, Clone, PartialEq)]
struct NameRef {
    text: String,
    /// The path of the field, as issues report it.
    field: String,
    /// Byte offset in the file.
    offset: usize,
}

/// A `[[row]]` table, or `[others]`.
#[derive(Debug, Clone, PartialEq)]
struct RawRule {
    listener: Option<NameRef>,
    user: Option<NameRef>,
    prefix: String,
    read_class: Option<NameRef>,
    write_class: Option<NameRef>,
    tenant: Option<NameRef>,
    client_timeout_ms: usize,
    repeats: RepeatMarker,
}

/// The configuration with its names resolved, as a node uses it.
pub struct ResolvedMemcached {
    pub listeners: Vec<Listener>,
    /// Kinds of cache servers that are reached over the memcached protocol.
    pub server_kinds: BTreeSet<String>,
}

/// An address on which clients connect.
pub struct Listener {
    /// Its name, by which rules refer to it.
    pub name: String,
    pub address: SocketAddr,
    rules: Arc<CommandRules>,
    users: Option<Arc<Users>>,
    write_capabilities: WriteCapabilities,
}

impl Listener {
    /// The protocol frontend that serves the listener's connections.
    pub fn frontend(&self, gauges: Arc<Gauges>, nonce: u64) -> Arc<Frontend> {
        let (rules, users) = (self.rules.clone(), self.users.clone());
        Frontend::new(self.name.clone(), rules, users, self.write_capabilities, gauges, nonce)
    }
}

impl MemcachedConfig {
    /// Whether a text is a configuration of this kind, by the tables that it has.
    pub fn is_config_text(text: &str) -> bool {
        text.lines()
            .any(|line| ["[[listener]]", "[boxes]"].iter().any(|table| line.trim_start().starts_with(table)))
    }

    /// Reads the file.
    ///
    /// # Errors
    /// All issues in it.
    pub fn read(file: &Path) -> Result<MemcachedConfig, Vec<ConfigIssue>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable_file(file, &error)])?;
        let mut issues = IssueCollector::new(file, &text);
        let config = MemcachedConfig::parse(file, &text, &mut issues);
        let issues = issues.into_issues();
        config.filter(|_| issues.is_empty()).ok_or(issues)
    }

    fn parse(file: &Path, text: &str, issues: &mut IssueCollector) -> Option<MemcachedConfig> {
        let folder = file.parent().unwrap_or(Path::new(""));
        let table = section::parse(text, "deploy/memcached.toml", issues)?;
        let mut root = Section::root(&table, issues);
        root.reject_unknown_keys(&["listener", "user", "row", "others", "writes", "boxes"]);
        let users = root.read_tables("user", |user| read_user(user, folder));
        let has_users = !users.is_empty();
        let listeners = root.read_tables("listener", |listener| read_listener(listener, has_users));
        let rules = root.read_tables("row", |mut row| {
            row.reject_unknown_keys(&[
                "listener", "user", "prefix", "read", "write", "tenant", "wait_ms", "repeats",
            ]);
            read_rule(row)
        });
        let fallback_rule = root.has_key("others").then(|| {
            let mut others = root.section("others");
            others.reject_unknown_keys(&["read", "write", "tenant", "wait_ms", "repeats"]);
            read_rule(others)
        });
        let mut writes = root.section("writes");
        writes.reject_unknown_keys(&["conditions", "flags", "expiry"]);
        let mut enabled = |key| writes.boolean(key).unwrap_or(false);
        let (conditions, flags, expiry) = (enabled("conditions"), enabled("flags"), enabled("expiry"));
        let mut boxes = root.section("boxes");
        boxes.reject_unknown_keys(&["kinds"]);
        let kinds = boxes.strings("kinds").unwrap_or_default();
        let server_kinds = kinds.into_iter().map(|(_, kind)| kind.to_owned()).collect();
        Some(MemcachedConfig {
            file: file.to_owned(),
            text: text.to_owned(),
            listeners: listeners.into_iter().collect::<Option<_>>()?,
            users: users.into_iter().collect::<Option<_>>()?,
            rules: rules.into_iter().collect::<Option<_>>()?,
            fallback_rule: match fallback_rule {
                Some(rule) => Some(rule?),
                None => None,
            },
            conditions,
            flags,
            expiry,
            server_kinds,
        })
    }

    /// Resolves what the file names: classes and tenants in the settings, listeners and users in the file itself, and
    /// passwords in their files.
    ///
    /// # Errors
    /// All names that are not found, and password files that cannot be read.
    pub fn resolve(&self, names: &Names) -> Result<ResolvedMemcached, Vec<ConfigIssue>> {
        let mut issues = IssueCollector::new(&self.file, &self.text);
        let rules: Vec<CommandRule> =
            self.rules.iter().map(|rule| self.resolve_rule(rule, names, &mut issues)).collect();
        let fallback = self.fallback_rule.as_ref().map(|rule| self.resolve_rule(rule, names, &mut issues));
        let mut issues = issues.into_issues();
        let mut users = Vec::new();
        for (name, file) in &self.users {
            match fs::read_to_string(file) {
                Ok(text) => users.push((name.clone(), text.lines().next().unwrap_or("").to_owned())),
                Err(error) => issues.push(unreadable_file(file, &error)),
            }
        }
        if !issues.is_empty() {
            return Err(issues);
        }
        let (rules, users) = (Arc::new(CommandRules { rules, fallback }), Arc::new(Users::new(users)));
        let write_capabilities =
            WriteCapabilities { conditions: self.conditions, flags: self.flags, expiry: self.expiry };
        let listener = |raw: &RawListener| Listener {
            name: raw.name.clone(),
            address: raw.address,
            rules: rules.clone(),
            users: raw.requires_login.then(|| users.clone()),
            write_capabilities,
        };
        Ok(ResolvedMemcached {
            listeners: self.listeners.iter().map(listener).collect(),
            server_kinds: self.server_kinds.clone(),
        })
    }

    fn resolve_rule(&self, rule: &RawRule, names: &Names, issues: &mut IssueCollector) -> CommandRule {
        let mut look_up =
            |name: &Option<NameRef>, kind: &str, find: &dyn Fn(&str) -> Option<usize>, fix: &str| {
                let name = name.as_ref()?;
                let index = find(&name.text);
                if index.is_none() {
                    let problem = format!("no {kind} {:?}", name.text);
                    issues.report_at_offset(name.offset, &name.field, problem, fix);
                }
                Some(NamedIndex { name: name.text.clone(), index: index? })
            };
        let class = |name: &str| names.class(name);
        let listener = |name: &str| self.listeners.iter().position(|listener| listener.name == name);
        let user = |name: &str| self.users.iter().position(|(user, _)| user == name);
        let in_settings = "name one of the platform's settings";
        CommandRule {
            listener: look_up(&rule.listener, "listener", &listener, "name one of [[listener]]")
                .map(|listener| listener.name),
            user: look_up(&rule.user, "user", &user, "name one of [[user]]").map(|user| user.name),
            prefix: rule.prefix.clone(),
            read_class: look_up(&rule.read_class, "class", &class, in_settings),
            write_class: look_up(&rule.write_class, "class", &class, in_settings),
            tenant: look_up(&rule.tenant, "tenant", &|name| names.tenant(name), in_settings),
            client_timeout_us: rule.client_timeout_ms as u64 * 1000,
            repeats: rule.repeats.clone(),
        }
    }
}

fn read_user(mut user: Section, folder: &Path) -> Option<(String, PathBuf)> {
    user.reject_unknown_keys(&["name", "password_file"]);
    let name = required_string(&mut user, "name", "name the user");
    let file = required_string(&mut user, "password_file", "name the file with its password");
    Some((name?, folder.join(file?)))
}

fn read_listener(mut listener: Section, has_users: bool) -> Option<RawListener> {
    listener.reject_unknown_keys(&["name", "address", "login"]);
    let name = required_string(&mut listener, "name", "give it a name, which rows may name");
    if !listener.has_key("address") {
        listener.report_missing("address", "write it as in address = \"127.0.0.1:11211\"");
    }
    let address = listener.socket_address("address");
    let requires_login = listener.boolean("login").unwrap_or(false);
    if requires_login && !has_users {
        let offset = listener.value_offset("login");
        listener.report_at(offset, "login", "no user can log in", "add a [[user]], or write false");
    }
    Some(RawListener { name: name?, address: address?, requires_login })
}

fn required_string(section: &mut Section, key: &str, fix: &str) -> Option<String> {
    if !section.has_key(key) {
        section.report_missing(key, fix);
    }
    section.string(key).map(str::to_owned)
}

fn read_rule(mut row: Section) -> Option<RawRule> {
    let mut read_name = |key: &str| {
        let text = row.string(key)?.to_owned();
        Some(NameRef { text, field: row.field(key), offset: row.value_offset(key) })
    };
    let (listener, user) = (read_name("listener"), read_name("user"));
    let (read_class, write_class, tenant) = (read_name("read"), read_name("write"), read_name("tenant"));
    let prefix = row.string("prefix").unwrap_or("").to_owned();
    let client_timeout_ms =
        row.integer("wait_ms", 1..=MAX_CLIENT_TIMEOUT_MS).unwrap_or(DEFAULT_CLIENT_TIMEOUT_MS);
    let repeats = match row.string("repeats") {
        None | Some("none") => RepeatMarker::Unmarked,
        Some("cas") => RepeatMarker::Cas,
        Some(text) => match text.strip_prefix("suffix:").filter(|suffix| !suffix.is_empty()) {
            Some(suffix) => RepeatMarker::Suffix(suffix.to_owned()),
            None => {
                let offset = row.value_offset("repeats");
                row.report_at(
                    offset,
                    "repeats",
                    format!("unknown {text:?}"),
                    "write none, cas, or suffix: followed by the suffix",
                );
                return None;
            }
        },
    };
    Some(RawRule { listener, user, prefix, read_class, write_class, tenant, client_timeout_ms, repeats })
}

#[cfg(test)]
mod tests {
    use paddlefold::setup::{RawSettings, Setup};

    use super::*;

    fn names() -> Arc<Names> {
        let settings = r#"{"Classes":[{"Name":"lookup","Aim":300.0,"Effect":"safe"},
            {"Name":"reminder-signup","Aim":800.0,"Effect":"keyed","Window":2500.0}],
            "Tenants":[{"Name":"acme","Share":0.5}]}"#;
        Setup::try_from(serde_json::from_str::<RawSettings>(settings).unwrap()).unwrap().names
    }

    fn read(text: &str) -> Result<ResolvedMemcached, Vec<String>> {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("memcached.toml");
        fs::write(&file, text).unwrap();
        fs::write(folder.path().join("widget.password"), "secret\n").unwrap();
        let without_path =
            |issue: &ConfigIssue| issue.to_string().replace(&format!("{}:", file.display()), "");
        let resolved = MemcachedConfig::read(&file).and_then(|memcached| memcached.resolve(&names()));
        resolved.map_err(|issues| issues.iter().map(without_path).collect())
    }

    #[test]
    fn the_documented_file_is_valid_and_names_every_key() {
        let text = include_str!("../../../deploy/memcached.toml");
        assert!(MemcachedConfig::is_config_text(text));
        let resolved = read(text).unwrap();
        assert_eq!(resolved.server_kinds.len(), 1);
        let [office, kiosk] = &resolved.listeners[..] else { panic!("two listeners") };
        assert!(office.users.is_none() && kiosk.users.is_some());
        let rules = &office.rules.rules;
        assert!(
            rules.iter().any(|rule| rule.user.is_some()) && rules.iter().any(|rule| rule.listener.is_some())
        );
        assert!(rules.iter().any(|rule| rule.repeats == RepeatMarker::Cas));
        assert!(rules.iter().any(|rule| matches!(rule.repeats, RepeatMarker::Suffix(_))));
        assert!(rules.iter().any(|rule| rule.tenant.is_some() && rule.write_class.is_some()));
        assert!(office.rules.fallback.is_some());
    }

    #[test]
    fn each_issue_is_reported_with_line_field_and_fix() {
        let cases = [
            (
                "[[listener]]\nname = \"a\"",
                "1: listener[0].address: missing; write it as in address = \"127.0.0.1:11211\"",
            ),
            (
                "[[listener]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\nlogin = true",
                "4: listener[0].login: no user can log in; add a [[user]], or write false",
            ),
            (
                "[[row]]\nport = 1",
                "2: row[0].port: no such key; remove it, or use one of listener, user, prefix, read, write, tenant, wait_ms, repeats",
            ),
            (
                "[[row]]\n[[row]]\nread = \"look\"",
                "3: row[1].read: no class \"look\"; name one of the platform's settings",
            ),
            (
                "[others]\ntenant = \"x\"",
                "2: others.tenant: no tenant \"x\"; name one of the platform's settings",
            ),
            ("[[row]]\nlistener = \"x\"", "2: row[0].listener: no listener \"x\"; name one of [[listener]]"),
            ("[[row]]\nuser = \"x\"", "2: row[0].user: no user \"x\"; name one of [[user]]"),
            (
                "[[row]]\nrepeats = \"suffix:\"",
                "2: row[0].repeats: unknown \"suffix:\"; write none, cas, or suffix: followed by the suffix",
            ),
            (
                "[[row]]\nwait_ms = 0",
                "2: row[0].wait_ms: out of range; write a whole number from 1 to 3600000",
            ),
            (
                "[writes]\nflags = 1",
                "2: writes.flags: neither true nor false; write one of them, without quotes",
            ),
            ("row = 1", "1: row: not a list of tables; write [[row]] before each"),
            (
                "[boxes]\nkinds = \"m\"",
                "2: boxes.kinds: not a list of strings; write it as [\"one\", \"two\"]",
            ),
        ];
        for (text, expected) in cases {
            assert_eq!(read(text).map(|_| ()), Err(vec![expected.to_owned()]), "{text}");
        }
        let missing_file = read("[[user]]\nname = \"x\"\npassword_file = \"none\"").map(|_| ()).unwrap_err();
        assert!(missing_file[0].contains("none: cannot be read"), "{missing_file:?}");
    }
}
