//! The options for memcached's binary protocol, which `deploy/memcached.toml` documents.

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

use crate::config_error::{Mistake, Mistakes, unreadable};
use crate::section::{self, Section};

/// How long a client waits, if the file does not say, in milliseconds.
const WAIT_MS: usize = 1000;
const LONGEST_WAIT_MS: usize = 3_600_000;

/// What the file says. The names in it are not looked up yet, nor the files that it names read.
#[derive(Debug, Clone, PartialEq)]
pub struct Memcached {
    file: PathBuf,
    text: String,
    listeners: Vec<ListenerLines>,
    users: Vec<(String, PathBuf)>,
    rows: Vec<RowLines>,
    others: Option<RowLines>,
    conditions: bool,
    flags: bool,
    expiry: bool,
    kinds: BTreeSet<String>,
}

#[derive(Debug, Clone, PartialEq)]
struct ListenerLines {
    name: String,
    address: SocketAddr,
    login: bool,
}

/// A name in the file, with its field and place.
#[derive(Debug, Clone, PartialEq)]
struct Word {
    text: String,
    field: String,
    place: usize,
}

#[derive(Debug, Clone, PartialEq)]
struct RowLines {
    listener: Option<Word>,
    user: Option<Word>,
    prefix: String,
    read: Option<Word>,
    write: Option<Word>,
    tenant: Option<Word>,
    wait_ms: usize,
    repeats: RepeatMarker,
}

/// What a node needs of it.
pub struct Ready {
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// Caches of these kinds of machine speak it.
    pub kinds: BTreeSet<String>,
}

/// A place where clients connect.
pub struct Listener {
    /// Its name in the table.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    table: Arc<CommandRules>,
    users: Option<Arc<Users>>,
    abilities: WriteCapabilities,
}

impl Listener {
    /// Its front.
    pub fn front(&self, gauges: Arc<Gauges>, nonce: u64) -> Arc<Frontend> {
        let (table, users) = (self.table.clone(), self.users.clone());
        Frontend::new(self.name.clone(), table, users, self.abilities, gauges, nonce)
    }
}

impl Memcached {
    /// Whether a file is meant for this, by what it says.
    pub fn is_meant(text: &str) -> bool {
        text.lines()
            .any(|line| ["[[listener]]", "[boxes]"].iter().any(|head| line.trim_start().starts_with(head)))
    }

    /// Reads the file.
    ///
    /// # Errors
    /// All mistakes that are in it.
    pub fn read(file: &Path) -> Result<Memcached, Vec<Mistake>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable(file, &error)])?;
        let mut mistakes = Mistakes::new(file, &text);
        let read = Memcached::parse(file, &text, &mut mistakes);
        let found = mistakes.into_found();
        read.filter(|_| found.is_empty()).ok_or(found)
    }

    fn parse(file: &Path, text: &str, mistakes: &mut Mistakes) -> Option<Memcached> {
        let folder = file.parent().unwrap_or(Path::new(""));
        let table = section::parse(text, "deploy/memcached.toml", mistakes)?;
        let mut root = Section::root(&table, mistakes);
        root.only(&["listener", "user", "row", "others", "writes", "boxes"]);
        let users = root.each("user", |user| read_user(user, folder));
        let any_user = !users.is_empty();
        let listeners = root.each("listener", |listener| read_listener(listener, any_user));
        let rows = root.each("row", |mut row| {
            row.only(&["listener", "user", "prefix", "read", "write", "tenant", "wait_ms", "repeats"]);
            read_row(row)
        });
        let others = root.has("others").then(|| {
            let mut others = root.section("others");
            others.only(&["read", "write", "tenant", "wait_ms", "repeats"]);
            read_row(others)
        });
        let mut writes = root.section("writes");
        writes.only(&["conditions", "flags", "expiry"]);
        let mut yes = |key| writes.yes(key).unwrap_or(false);
        let (conditions, flags, expiry) = (yes("conditions"), yes("flags"), yes("expiry"));
        let mut boxes = root.section("boxes");
        boxes.only(&["kinds"]);
        let kinds = boxes.texts("kinds").unwrap_or_default();
        let kinds = kinds.into_iter().map(|(_, kind)| kind.to_owned()).collect();
        Some(Memcached {
            file: file.to_owned(),
            text: text.to_owned(),
            listeners: listeners.into_iter().collect::<Option<_>>()?,
            users: users.into_iter().collect::<Option<_>>()?,
            rows: rows.into_iter().collect::<Option<_>>()?,
            others: match others {
                Some(others) => Some(others?),
                None => None,
            },
            conditions,
            flags,
            expiry,
            kinds,
        })
    }

    /// Looks up what the file names: classes and tenants in the settings, listeners and users in itself, passwords
    /// in their files.
    ///
    /// # Errors
    /// All names that are not there, and files that can't be read.
    pub fn ready(&self, names: &Names) -> Result<Ready, Vec<Mistake>> {
        let mut mistakes = Mistakes::new(&self.file, &self.text);
        let rows: Vec<CommandRule> =
            self.rows.iter().map(|row| self.row(row, names, &mut mistakes)).collect();
        let others = self.others.as_ref().map(|others| self.row(others, names, &mut mistakes));
        let mut found = mistakes.into_found();
        let mut users = Vec::new();
        for (name, file) in &self.users {
            match fs::read_to_string(file) {
                Ok(text) => users.push((name.clone(), text.lines().next().unwrap_or("").to_owned())),
                Err(error) => found.push(unreadable(file, &error)),
            }
        }
        if !found.is_empty() {
            return Err(found);
        }
        let (table, users) =
            (Arc::new(CommandRules { rules: rows, fallback: others }), Arc::new(Users::new(users)));
        let abilities =
            WriteCapabilities { conditions: self.conditions, flags: self.flags, expiry: self.expiry };
        let listener = |lines: &ListenerLines| Listener {
            name: lines.name.clone(),
            address: lines.address,
            table: table.clone(),
            users: lines.login.then(|| users.clone()),
            abilities,
        };
        Ok(Ready { listeners: self.listeners.iter().map(listener).collect(), kinds: self.kinds.clone() })
    }

    fn row(&self, row: &RowLines, names: &Names, mistakes: &mut Mistakes) -> CommandRule {
        let mut look_up =
            |word: &Option<Word>, what: &str, find: &dyn Fn(&str) -> Option<usize>, mend: &str| {
                let word = word.as_ref()?;
                let index = find(&word.text);
                if index.is_none() {
                    mistakes.at(word.place, &word.field, format!("no {what} {:?}", word.text), mend);
                }
                Some(NamedIndex { name: word.text.clone(), index: index? })
            };
        let class = |name: &str| names.class(name);
        let listener = |name: &str| self.listeners.iter().position(|listener| listener.name == name);
        let user = |name: &str| self.users.iter().position(|(user, _)| user == name);
        let in_settings = "name one of the platform's settings";
        CommandRule {
            listener: look_up(&row.listener, "listener", &listener, "name one of [[listener]]")
                .map(|l| l.name),
            user: look_up(&row.user, "user", &user, "name one of [[user]]").map(|u| u.name),
            prefix: row.prefix.clone(),
            read_class: look_up(&row.read, "class", &class, in_settings),
            write_class: look_up(&row.write, "class", &class, in_settings),
            tenant: look_up(&row.tenant, "tenant", &|name| names.tenant(name), in_settings),
            client_timeout_us: row.wait_ms as u64 * 1000,
            repeats: row.repeats.clone(),
        }
    }
}

fn read_user(mut user: Section, folder: &Path) -> Option<(String, PathBuf)> {
    user.only(&["name", "password_file"]);
    let name = needed(&mut user, "name", "name the user");
    let file = needed(&mut user, "password_file", "name the file with its password");
    Some((name?, folder.join(file?)))
}

fn read_listener(mut listener: Section, any_user: bool) -> Option<ListenerLines> {
    listener.only(&["name", "address", "login"]);
    let name = needed(&mut listener, "name", "give it a name, which rows may name");
    if !listener.has("address") {
        listener.missing("address", "write it as in address = \"127.0.0.1:11211\"");
    }
    let address = listener.address("address");
    let login = listener.yes("login").unwrap_or(false);
    if login && !any_user {
        let place = listener.place("login");
        listener.note(place, "login", "nobody may log in", "add a [[user]], or write false");
    }
    Some(ListenerLines { name: name?, address: address?, login })
}

fn needed(section: &mut Section, key: &str, mend: &str) -> Option<String> {
    if !section.has(key) {
        section.missing(key, mend);
    }
    section.text(key).map(str::to_owned)
}

fn read_row(mut row: Section) -> Option<RowLines> {
    let mut word = |key: &str| {
        let text = row.text(key)?.to_owned();
        Some(Word { text, field: row.field(key), place: row.place(key) })
    };
    let (listener, user) = (word("listener"), word("user"));
    let (read, write, tenant) = (word("read"), word("write"), word("tenant"));
    let prefix = row.text("prefix").unwrap_or("").to_owned();
    let wait_ms = row.number("wait_ms", 1..=LONGEST_WAIT_MS).unwrap_or(WAIT_MS);
    let repeats = match row.text("repeats") {
        None | Some("none") => RepeatMarker::Unmarked,
        Some("cas") => RepeatMarker::Cas,
        Some(text) => match text.strip_prefix("suffix:").filter(|suffix| !suffix.is_empty()) {
            Some(suffix) => RepeatMarker::Suffix(suffix.to_owned()),
            None => {
                let place = row.place("repeats");
                row.note(
                    place,
                    "repeats",
                    format!("unknown {text:?}"),
                    "write none, cas, or suffix: and a text",
                );
                return None;
            }
        },
    };
    Some(RowLines { listener, user, prefix, read, write, tenant, wait_ms, repeats })
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

    fn read(text: &str) -> Result<Ready, Vec<String>> {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("memcached.toml");
        fs::write(&file, text).unwrap();
        fs::write(folder.path().join("widget.password"), "secret\n").unwrap();
        let told = |mistake: &Mistake| mistake.to_string().replace(&format!("{}:", file.display()), "");
        let ready = Memcached::read(&file).and_then(|memcached| memcached.ready(&names()));
        ready.map_err(|mistakes| mistakes.iter().map(told).collect())
    }

    #[test]
    fn the_documented_file_is_good_and_names_every_key() {
        let text = include_str!("../../../deploy/memcached.toml");
        assert!(Memcached::is_meant(text));
        let ready = read(text).unwrap();
        assert_eq!(ready.kinds.len(), 1);
        let [office, kiosk] = &ready.listeners[..] else { panic!("two listeners") };
        assert!(office.users.is_none() && kiosk.users.is_some());
        let rows = &office.table.rules;
        assert!(rows.iter().any(|row| row.user.is_some()) && rows.iter().any(|row| row.listener.is_some()));
        assert!(rows.iter().any(|row| row.repeats == RepeatMarker::Cas));
        assert!(rows.iter().any(|row| matches!(row.repeats, RepeatMarker::Suffix(_))));
        assert!(rows.iter().any(|row| row.tenant.is_some() && row.write_class.is_some()));
        assert!(office.table.fallback.is_some());
    }

    #[test]
    fn each_mistake_is_told_with_its_line_field_and_mend() {
        let cases = [
            (
                "[[listener]]\nname = \"a\"",
                "1: listener[0].address: missing; write it as in address = \"127.0.0.1:11211\"",
            ),
            (
                "[[listener]]\nname = \"a\"\naddress = \"127.0.0.1:1\"\nlogin = true",
                "4: listener[0].login: nobody may log in; add a [[user]], or write false",
            ),
            (
                "[[row]]\nport = 1",
                "2: row[0].port: no such key; take it out, or write one of listener, user, prefix, read, write, tenant, wait_ms, repeats",
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
                "2: row[0].repeats: unknown \"suffix:\"; write none, cas, or suffix: and a text",
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
            ("[boxes]\nkinds = \"m\"", "2: boxes.kinds: not a list of texts; write it as [\"one\", \"two\"]"),
        ];
        for (text, told) in cases {
            assert_eq!(read(text).map(|_| ()), Err(vec![told.to_owned()]), "{text}");
        }
        let missing = read("[[user]]\nname = \"x\"\npassword_file = \"none\"").map(|_| ()).unwrap_err();
        assert!(missing[0].contains("none: cannot be read"), "{missing:?}");
    }
}
