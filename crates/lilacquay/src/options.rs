//! The options of `serve`: what an installation sets beyond the platform's JSON. `deploy/serve.toml` documents
//! each key.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::check::{Mistake, Mistakes, unreadable};

/// What the file says.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The platform's JSON.
    pub node: PathBuf,
    /// Where clients connect.
    pub listen: Option<SocketAddr>,
    /// Where discovery is.
    pub discovery: Option<SocketAddr>,
    /// Descriptors that the process may hold.
    pub sockets: Option<usize>,
    /// Memory that it may take.
    pub memory_mb: Option<usize>,
}

impl Options {
    /// Reads the file.
    ///
    /// # Errors
    /// All mistakes that are in it.
    pub fn read(file: &Path) -> Result<Options, Vec<Mistake>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable(file, &error)])?;
        let mut mistakes = Mistakes::new(file, &text);
        let options = Options::parse(file, &text, &mut mistakes);
        let found = mistakes.into_found();
        options.filter(|_| found.is_empty()).ok_or(found)
    }

    fn parse(file: &Path, text: &str, mistakes: &mut Mistakes) -> Option<Options> {
        let table = match DeTable::parse(text) {
            Ok(table) => table,
            Err(error) => {
                let offset = error.span().map_or(0, |span| span.start);
                mistakes.at(
                    offset,
                    "",
                    format!("no TOML: {}", error.message()),
                    "write it as deploy/serve.toml does",
                );
                return None;
            }
        };
        let table = table.get_ref();
        let mut root = Section { name: "", table: Some(table), mistakes };
        root.only(&["node", "resp", "discovery", "limits"]);
        let node = root.text("node");
        if node.is_none() && !root.has("node") {
            root.missing("node", "name the platform's JSON file, as in node = \"node.json\"");
        }
        let mut resp = root.section("resp");
        resp.only(&["listen"]);
        let listen = resp.address("listen");
        let mut found = root.section("discovery");
        found.only(&["address"]);
        let discovery = found.address("address");
        let mut limits = root.section("limits");
        limits.only(&["sockets", "memory_mb"]);
        let (sockets, memory_mb) =
            (limits.number("sockets", 48..=1 << 20), limits.number("memory_mb", 16..=1 << 20));
        let folder = file.parent().unwrap_or(Path::new(""));
        Some(Options { node: folder.join(node?), listen, discovery, sockets, memory_mb })
    }
}

/// One table of the file.
struct Section<'a, 'm, 't> {
    name: &'static str,
    table: Option<&'a DeTable<'a>>,
    mistakes: &'m mut Mistakes<'t>,
}

impl<'a, 't> Section<'a, '_, 't> {
    fn field(&self, key: &str) -> String {
        if self.name.is_empty() { key.to_owned() } else { format!("{}.{key}", self.name) }
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table?.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    fn has(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Notes each key that is none of these.
    fn only(&mut self, known: &[&str]) {
        for (name, _) in self.table.into_iter().flat_map(|table| table.iter()) {
            let key = name.get_ref();
            if !known.iter().any(|known| key == known) {
                let field = self.field(key);
                let mend = format!("take it out, or write one of {}", known.join(", "));
                self.mistakes.at(name.span().start, &field, "no such key", mend);
            }
        }
    }

    fn missing(&mut self, key: &str, mend: &str) {
        let field = self.field(key);
        self.mistakes.at(0, &field, "missing", mend);
    }

    fn wrong(&mut self, key: &str, value: &Spanned<DeValue>, what: String, mend: &str) {
        let field = self.field(key);
        self.mistakes.at(value.span().start, &field, what, mend);
    }

    fn section(&mut self, name: &'static str) -> Section<'a, '_, 't> {
        let value = self.get(name);
        let table = value.and_then(|value| value.get_ref().as_table());
        if let Some(value) = value.filter(|_| table.is_none()) {
            self.wrong(name, value, "not a table".into(), &format!("write [{name}] and its keys below"));
        }
        Section { name, table, mistakes: self.mistakes }
    }

    fn text(&mut self, key: &str) -> Option<&'a str> {
        let value = self.get(key)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.wrong(key, value, "not a text".into(), "put it in quotes");
        }
        text
    }

    fn address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.text(key)?;
        let address = text.parse().ok();
        if let Some(value) = self.get(key).filter(|_| address.is_none()) {
            let what = format!("{text:?} is no address with a port");
            self.wrong(key, value, what, "write it as 127.0.0.1:6379 or [::1]:6379");
        }
        address
    }

    fn number(&mut self, key: &str, range: std::ops::RangeInclusive<usize>) -> Option<usize> {
        let value = self.get(key)?;
        let number = value.get_ref().as_integer();
        let number = number.and_then(|n| usize::from_str_radix(&n.as_str().replace('_', ""), n.radix()).ok());
        let good = number.filter(|n| range.contains(n));
        if good.is_none() {
            let mend = format!("write a whole number from {} to {}", range.start(), range.end());
            self.wrong(key, value, "out of range".into(), &mend);
        }
        good
    }
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
        let text = include_str!("../../../deploy/serve.toml");
        let options = read(text).unwrap();
        assert!(options.node.ends_with("node.json"));
        assert!(options.listen.is_some() && options.discovery.is_some());
        assert!(options.sockets.is_some() && options.memory_mb.is_some());
    }

    #[test]
    fn each_mistake_is_told_with_its_line_field_and_mend() {
        let cases = [
            ("node = 7", "1: node: not a text; put it in quotes"),
            ("[limits]", "1: node: missing; name the platform's JSON file, as in node = \"node.json\""),
            (
                "node = \"n\"\nport = 1",
                "2: port: no such key; take it out, or write one of node, resp, discovery, limits",
            ),
            ("node = \"n\"\nresp = 1", "2: resp: not a table; write [resp] and its keys below"),
            (
                "node = \"n\"\n[resp]\nlisten = \"6379\"",
                "3: resp.listen: \"6379\" is no address with a port; write it as 127.0.0.1:6379 or [::1]:6379",
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
