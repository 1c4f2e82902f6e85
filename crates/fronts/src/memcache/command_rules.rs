//! What a memcached command lacks: its class, tenant, wait and idempotency key, by a table. No I/O, no clock.
//!
//! The first row that fits decides, so that the order of the rows is all that needs to be known.

use std::str;

use lilacquay_core::{Micros, Terms};
use xxhash_rust::xxh3::Xxh3;

/// A class as the settings name it, with its index there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedIndex {
    /// Its name, as servers are told it.
    pub name: String,
    /// Its index in the settings.
    pub index: usize,
}

/// Where a widget says that a write is a repeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepeatMarker {
    /// Nowhere: a write of a keyed class counts as unsafe.
    Unmarked,
    /// Behind the last of these texts in the key; the key that goes on is what stands before it.
    Suffix(String),
    /// In the CAS field, where that is not 0.
    Cas,
}

/// A row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandRule {
    /// The listener's name; any if there is none.
    pub listener: Option<String>,
    /// The user that has logged in; any, or none, if there is none here.
    pub user: Option<String>,
    /// What the key begins with.
    pub prefix: String,
    /// The class of reads.
    pub read: Option<NamedIndex>,
    /// The class of writes.
    pub write: Option<NamedIndex>,
    /// The tenant.
    pub tenant: Option<NamedIndex>,
    /// How long the client waits, in microseconds.
    pub client_timeout_us: Micros,
    /// Where it marks repeats.
    pub repeats: RepeatMarker,
}

/// The rows, and what a key gets that fits none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CommandRules {
    /// In order.
    pub rules: Vec<CommandRule>,
    /// For keys that fit no row; without it they are refused.
    pub fallback: Option<CommandRule>,
}

impl CommandRules {
    /// The row for a command.
    pub fn find(&self, listener: &str, user: Option<&str>, key: &str) -> Option<&CommandRule> {
        let fits = |row: &&CommandRule| {
            row.listener.as_deref().is_none_or(|name| name == listener)
                && (row.user.is_none() || row.user.as_deref() == user)
                && key.starts_with(&row.prefix)
        };
        self.rules.iter().find(fits).or(self.fallback.as_ref())
    }
}

/// What a row makes of a command.
#[derive(Debug, PartialEq, Eq)]
pub struct Facts<'a> {
    /// The key that goes on.
    pub key: &'a str,
    /// By which servers know the write's repeats.
    pub idempotency: Option<String>,
    /// Names and values, as the project's own protocol has them.
    pub text: String,
}

/// The CAS field asks for a comparison with the value kept, which no row here reads otherwise.
#[derive(Debug, PartialEq, Eq)]
pub struct Compares;

impl CommandRule {
    /// Reads a command by this row.
    ///
    /// # Errors
    /// If the CAS field is set and does not mark repeats here.
    pub fn facts<'a>(
        &self,
        user: Option<&str>,
        key: &'a str,
        cas: u64,
        write: bool,
        terms: Terms,
    ) -> Result<Facts<'a>, Compares> {
        if cas != 0 && self.repeats != RepeatMarker::Cas {
            return Err(Compares);
        }
        let (key, mark) = match &self.repeats {
            RepeatMarker::Suffix(text) if write => match key.rsplit_once(text.as_str()) {
                Some((key, mark)) if !key.is_empty() && !mark.is_empty() => {
                    (key, Some(mark.as_bytes().to_vec()))
                }
                _ => (key, None),
            },
            RepeatMarker::Cas if cas != 0 && write => (key, Some(cas.to_be_bytes().to_vec())),
            _ => (key, None),
        };
        let idempotency = mark.map(|mark| idempotency(user, key, &mark));
        let class = if write { &self.write } else { &self.read };
        let mut text = String::new();
        for (name, value) in [("c", class), ("t", &self.tenant)] {
            if let Some(value) = value {
                text += &format!("{name}={},", value.name);
            }
        }
        text += &format!("d={}", self.client_timeout_us.div_ceil(1000));
        if let Some(key) = &idempotency {
            text += &format!(",k={key}");
        }
        for (name, value) in [("flags", terms.flags), ("expiry", terms.expiry)] {
            if value != 0 {
                text += &format!(",{name}={value}");
            }
        }
        Ok(Facts { key, idempotency, text })
    }
}

/// Guards against: two widgets that both count from 1, one of whose writes would be dropped as a repeat of the
/// other's. What servers are told holds the user and the key too, and no comma.
fn idempotency(user: Option<&str>, key: &str, mark: &[u8]) -> String {
    let mut hash = Xxh3::new();
    for part in [user.unwrap_or("").as_bytes(), key.as_bytes(), mark] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    format!("{:032x}", hash.digest128())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn row(prefix: &str) -> CommandRule {
        let named = |name: &str, index| Some(NamedIndex { name: name.into(), index });
        CommandRule {
            listener: None,
            user: None,
            prefix: prefix.into(),
            read: named("lookup", 0),
            write: named("signup", 1),
            tenant: None,
            client_timeout_us: 480_500,
            repeats: RepeatMarker::Unmarked,
        }
    }

    #[test]
    fn the_first_row_that_fits_decides() {
        let rows = vec![
            CommandRule { user: Some("ann".into()), ..row("a:") },
            CommandRule { listener: Some("office".into()), ..row("a:") },
            row("a:b:"),
            row("a:"),
        ];
        let table = CommandRules { rules: rows.clone(), fallback: None };
        assert_eq!(table.find("office", Some("ann"), "a:b:1"), Some(&rows[0]));
        assert_eq!(table.find("office", Some("bob"), "a:b:1"), Some(&rows[1]));
        assert_eq!(table.find("other", None, "a:b:1"), Some(&rows[2]));
        assert_eq!(table.find("other", None, "a:1"), Some(&rows[3]));
        assert_eq!(table.find("other", None, "b:1"), None);
        let others = Some(row(""));
        assert_eq!(
            CommandRules { rules: rows, fallback: others.clone() }.find("other", None, "b:1"),
            others.as_ref()
        );
    }

    #[test]
    fn facts_say_what_servers_are_told() {
        let tenant = Some(NamedIndex { name: "acme".into(), index: 0 });
        let row = CommandRule { tenant, repeats: RepeatMarker::Suffix("#".into()), ..row("") };
        let read = row.facts(None, "a#1", 0, false, Terms::default()).unwrap();
        assert_eq!((read.key, &*read.text), ("a#1", "c=lookup,t=acme,d=481"));
        let write = row.facts(None, "a#1", 0, true, Terms::default()).unwrap();
        let key = write.idempotency.clone().unwrap();
        assert_eq!((write.key, write.text), ("a", format!("c=signup,t=acme,d=481,k={key}")));
        for unmarked in ["a", "a#", "#1"] {
            let facts = row.facts(None, unmarked, 0, true, Terms::default()).unwrap();
            assert_eq!((facts.key, facts.idempotency), (unmarked, None));
        }
        assert_eq!(row.facts(None, "a", 7, true, Terms::default()), Err(Compares));
        let terms = Terms { flags: 3, expiry: 60 };
        let row = CommandRule { repeats: RepeatMarker::Unmarked, ..row };
        let kept = row.facts(None, "a", 0, true, terms).unwrap().text;
        assert_eq!(kept, "c=signup,t=acme,d=481,flags=3,expiry=60");
        let bare = CommandRule { read: None, client_timeout_us: 1, ..row };
        assert_eq!(
            CommandRule { tenant: None, ..bare }.facts(None, "a", 0, false, Terms::default()).unwrap().text,
            "d=1"
        );
    }

    #[test]
    fn a_repeat_has_the_same_key_and_nobody_elses_has() {
        let row = CommandRule { repeats: RepeatMarker::Cas, ..row("") };
        let key = |user, key, cas| row.facts(user, key, cas, true, Terms::default()).unwrap().idempotency;
        assert_eq!(key(None, "a", 0), None);
        assert_eq!(key(Some("ann"), "a", 7), key(Some("ann"), "a", 7));
        let others =
            [key(Some("bob"), "a", 7), key(None, "a", 7), key(Some("ann"), "b", 7), key(Some("ann"), "a", 8)];
        assert!(others.iter().all(|other| other.is_some() && *other != key(Some("ann"), "a", 7)));
        // Where the user ends and the key begins is part of it.
        assert_ne!(key(Some("an"), "na", 7), key(Some("ann"), "a", 7));
    }
}
