//! Rules that give a memcached command what its protocol does not state: class, tenant, client timeout and idempotency
//! key. No I/O and no clock.
//!
//! The rules are tried in order, and the first that matches applies.

use std::str;

use lilacquay_core::{Micros, StoreOptions};
use xxhash_rust::xxh3::Xxh3;

/// A class or a tenant of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NamedIndex {
    /// Its name, as sent to servers.
    pub name: String,
    /// Its index in the settings.
    pub index: usize,
}

/// Where a client marks a write as a repeat of an earlier one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RepeatMarker {
    /// Nowhere: a write of a class with the effect `keyed` counts as unsafe to repeat.
    Unmarked,
    /// In the key, after the last occurrence of this text; servers get the part before it as the key.
    Suffix(String),
    /// In the CAS field, if that is not 0.
    Cas,
}

/// A rule: which commands it matches, and what it gives them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandRule {
    /// The listener's name; `None` matches any.
    pub listener: Option<String>,
    /// The user who has logged in; `None` matches any user, and no user.
    pub user: Option<String>,
    /// The beginning of the key.
    pub prefix: String,
    /// The class of reads.
    pub read_class: Option<NamedIndex>,
    /// The class of writes.
    pub write_class: Option<NamedIndex>,
    /// The tenant.
    pub tenant: Option<NamedIndex>,
    /// How long the client waits, in microseconds.
    pub client_timeout_us: Micros,
    /// Where the client marks repeats.
    pub repeats: RepeatMarker,
}

/// All rules, in order, and the fallback.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CommandRules {
    /// The rules, in the order in which they are tried.
    pub rules: Vec<CommandRule>,
    /// Applies if no rule matches; without it such commands are refused.
    pub fallback: Option<CommandRule>,
}

impl CommandRules {
    /// The rule that applies to a command.
    pub fn find(&self, listener: &str, user: Option<&str>, key: &str) -> Option<&CommandRule> {
        let matches = |rule: &&CommandRule| {
            rule.listener.as_deref().is_none_or(|name| name == listener)
                && (rule.user.is_none() || rule.user.as_deref() == user)
                && key.starts_with(&rule.prefix)
        };
        self.rules.iter().find(matches).or(self.fallback.as_ref())
    }
}

/// What a rule derives from a command.
#[derive(Debug, PartialEq, Eq)]
pub struct CommandFacts<'a> {
    /// The key, as sent to servers.
    pub key: &'a str,
    /// The key by which servers recognise repeats of a write.
    pub idempotency_key: Option<String>,
    /// A comma-separated list of `name=value`, in the form that the RESP2 protocol's `FACTS` argument has.
    pub text: String,
}

/// The CAS field asks for a comparison with the stored value, which is not supported, and the rule does not use the field
/// to mark repeats.
#[derive(Debug, PartialEq, Eq)]
pub struct UnsupportedCas;

impl CommandRule {
    /// Derives the facts of a command by this rule.
    ///
    /// # Errors
    /// If the CAS field is set, and this rule does not use it to mark repeats.
    pub fn command_facts<'a>(
        &self,
        user: Option<&str>,
        key: &'a str,
        cas: u64,
        is_write: bool,
        store_options: StoreOptions,
    ) -> Result<CommandFacts<'a>, UnsupportedCas> {
        if cas != 0 && self.repeats != RepeatMarker::Cas {
            return Err(UnsupportedCas);
        }
        let (key, marker) = match &self.repeats {
            RepeatMarker::Suffix(text) if is_write => match key.rsplit_once(text.as_str()) {
                Some((key, marker)) if !key.is_empty() && !marker.is_empty() => {
                    (key, Some(marker.as_bytes().to_vec()))
                }
                _ => (key, None),
            },
            RepeatMarker::Cas if cas != 0 && is_write => (key, Some(cas.to_be_bytes().to_vec())),
            _ => (key, None),
        };
        let idempotency_key = marker.map(|marker| hash_idempotency_key(user, key, &marker));
        let class = if is_write { &self.write_class } else { &self.read_class };
        let mut text = String::new();
        for (name, value) in [("c", class), ("t", &self.tenant)] {
            if let Some(value) = value {
                text += &format!("{name}={},", value.name);
            }
        }
        text += &format!("d={}", self.client_timeout_us.div_ceil(1000));
        if let Some(key) = &idempotency_key {
            text += &format!(",k={key}");
        }
        for (name, value) in [("flags", store_options.flags), ("expiry", store_options.expiry)] {
            if value != 0 {
                text += &format!(",{name}={value}");
            }
        }
        Ok(CommandFacts { key, idempotency_key, text })
    }
}

/// The idempotency key of a write with this repeat marker.
///
/// The hash covers the user and the key as well: with the marker alone, of two clients that both count from 1, one's
/// writes would be dropped as repeats of the other's. Being hexadecimal, it contains no comma.
fn hash_idempotency_key(user: Option<&str>, key: &str, marker: &[u8]) -> String {
    let mut hash = Xxh3::new();
    for part in [user.unwrap_or("").as_bytes(), key.as_bytes(), marker] {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    format!("{:032x}", hash.digest128())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn rule(prefix: &str) -> CommandRule {
        let named = |name: &str, index| Some(NamedIndex { name: name.into(), index });
        CommandRule {
            listener: None,
            user: None,
            prefix: prefix.into(),
            read_class: named("lookup", 0),
            write_class: named("signup", 1),
            tenant: None,
            client_timeout_us: 480_500,
            repeats: RepeatMarker::Unmarked,
        }
    }

    #[test]
    fn the_first_matching_rule_applies() {
        let rules = vec![
            CommandRule { user: Some("ann".into()), ..rule("a:") },
            CommandRule { listener: Some("office".into()), ..rule("a:") },
            rule("a:b:"),
            rule("a:"),
        ];
        let command_rules = CommandRules { rules: rules.clone(), fallback: None };
        assert_eq!(command_rules.find("office", Some("ann"), "a:b:1"), Some(&rules[0]));
        assert_eq!(command_rules.find("office", Some("bob"), "a:b:1"), Some(&rules[1]));
        assert_eq!(command_rules.find("other", None, "a:b:1"), Some(&rules[2]));
        assert_eq!(command_rules.find("other", None, "a:1"), Some(&rules[3]));
        assert_eq!(command_rules.find("other", None, "b:1"), None);
        let fallback = Some(rule(""));
        assert_eq!(
            CommandRules { rules, fallback: fallback.clone() }.find("other", None, "b:1"),
            fallback.as_ref()
        );
    }

    #[test]
    fn a_rule_derives_the_facts_that_servers_are_sent() {
        let tenant = Some(NamedIndex { name: "acme".into(), index: 0 });
        let rule = CommandRule { tenant, repeats: RepeatMarker::Suffix("#".into()), ..rule("") };
        let read = rule.command_facts(None, "a#1", 0, false, StoreOptions::default()).unwrap();
        assert_eq!((read.key, &*read.text), ("a#1", "c=lookup,t=acme,d=481"));
        let write = rule.command_facts(None, "a#1", 0, true, StoreOptions::default()).unwrap();
        let key = write.idempotency_key.clone().unwrap();
        assert_eq!((write.key, write.text), ("a", format!("c=signup,t=acme,d=481,k={key}")));
        for unmarked in ["a", "a#", "#1"] {
            let facts = rule.command_facts(None, unmarked, 0, true, StoreOptions::default()).unwrap();
            assert_eq!((facts.key, facts.idempotency_key), (unmarked, None));
        }
        assert_eq!(rule.command_facts(None, "a", 7, true, StoreOptions::default()), Err(UnsupportedCas));
        let store_options = StoreOptions { flags: 3, expiry: 60 };
        let rule = CommandRule { repeats: RepeatMarker::Unmarked, ..rule };
        let facts = rule.command_facts(None, "a", 0, true, store_options).unwrap().text;
        assert_eq!(facts, "c=signup,t=acme,d=481,flags=3,expiry=60");
        let rule = CommandRule { read_class: None, client_timeout_us: 1, ..rule };
        assert_eq!(
            CommandRule { tenant: None, ..rule }
                .command_facts(None, "a", 0, false, StoreOptions::default())
                .unwrap()
                .text,
            "d=1"
        );
    }

    #[test]
    fn a_repeat_has_the_same_idempotency_key_and_no_other_write_has_it() {
        let rule = CommandRule { repeats: RepeatMarker::Cas, ..rule("") };
        let key = |user, key, cas| {
            rule.command_facts(user, key, cas, true, StoreOptions::default()).unwrap().idempotency_key
        };
        assert_eq!(key(None, "a", 0), None);
        assert_eq!(key(Some("ann"), "a", 7), key(Some("ann"), "a", 7));
        let others =
            [key(Some("bob"), "a", 7), key(None, "a", 7), key(Some("ann"), "b", 7), key(Some("ann"), "a", 8)];
        assert!(others.iter().all(|other| other.is_some() && *other != key(Some("ann"), "a", 7)));
        // The boundary between user and key is hashed as well.
        assert_ne!(key(Some("an"), "na", 7), key(Some("ann"), "a", 7));
    }
}
