//! Tables of a TOML file, read key by key, so that each mistake is told with its place.

use std::net::SocketAddr;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::config_error::Mistakes;

/// Reads a whole file; nothing if it is no TOML, which is noted.
///
/// `like` names a file that shows how it is written.
pub fn parse<'a>(text: &'a str, like: &str, mistakes: &mut Mistakes) -> Option<Spanned<DeTable<'a>>> {
    match DeTable::parse(text) {
        Ok(table) => Some(table),
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let what = format!("no TOML: {}", error.message());
            mistakes.at(offset, "", what, format!("write it as {like} does"));
            None
        }
    }
}

/// One table of a file.
pub struct Section<'a, 'm, 't> {
    name: String,
    table: Option<&'a DeTable<'a>>,
    mistakes: &'m mut Mistakes<'t>,
}

impl<'a, 'm, 't> Section<'a, 'm, 't> {
    /// The file's own keys.
    pub fn root(table: &'a Spanned<DeTable<'a>>, mistakes: &'m mut Mistakes<'t>) -> Self {
        Section { name: String::new(), table: Some(table.get_ref()), mistakes }
    }

    pub fn field(&self, key: &str) -> String {
        if self.name.is_empty() { key.to_owned() } else { format!("{}.{key}", self.name) }
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table?.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    pub fn has(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Notes each key that is none of these.
    pub fn only(&mut self, known: &[&str]) {
        for (name, _) in self.table.into_iter().flat_map(|table| table.iter()) {
            let key = name.get_ref();
            if !known.iter().any(|known| key == known) {
                let field = self.field(key);
                let mend = format!("take it out, or write one of {}", known.join(", "));
                self.mistakes.at(name.span().start, &field, "no such key", mend);
            }
        }
    }

    pub fn missing(&mut self, key: &str, mend: &str) {
        let field = self.field(key);
        self.mistakes.at(0, &field, "missing", mend);
    }

    fn wrong(&mut self, key: &str, value: &Spanned<DeValue>, what: String, mend: &str) {
        let field = self.field(key);
        self.mistakes.at(value.span().start, &field, what, mend);
    }

    pub fn section(&mut self, name: &str) -> Section<'a, '_, 't> {
        let value = self.get(name);
        let table = value.and_then(|value| value.get_ref().as_table());
        if let Some(value) = value.filter(|_| table.is_none()) {
            self.wrong(name, value, "not a table".into(), &format!("write [{name}] and its keys below"));
        }
        Section { name: self.field(name), table, mistakes: self.mistakes }
    }

    /// Reads each table of a list, as `[[name]]` writes them, in order. Their fields are told as `name[0].key`.
    pub fn each<R>(&mut self, name: &str, mut read: impl FnMut(Section<'a, '_, 't>) -> R) -> Vec<R> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let table = |one: &'a Spanned<DeValue<'a>>| one.get_ref().as_table();
        let tables: Option<Vec<_>> =
            value.get_ref().as_array().and_then(|all| all.iter().map(table).collect());
        if tables.is_none() {
            self.wrong(name, value, "not a list of tables".into(), &format!("write [[{name}]] before each"));
        }
        let named = |(n, table)| {
            let name = format!("{name}[{n}]");
            read(Section { name, table: Some(table), mistakes: self.mistakes })
        };
        tables.into_iter().flatten().enumerate().map(named).collect()
    }

    pub fn yes(&mut self, key: &str) -> Option<bool> {
        let value = self.get(key)?;
        let yes = value.get_ref().as_bool();
        if yes.is_none() {
            self.wrong(key, value, "neither true nor false".into(), "write one of them, without quotes");
        }
        yes
    }

    pub fn text(&mut self, key: &str) -> Option<&'a str> {
        let value = self.get(key)?;
        let text = value.get_ref().as_str();
        if text.is_none() {
            self.wrong(key, value, "not a text".into(), "put it in quotes");
        }
        text
    }

    /// A list of texts, each with its place.
    pub fn texts(&mut self, key: &str) -> Option<Vec<(usize, &'a str)>> {
        let value = self.get(key)?;
        let text = |one: &'a Spanned<DeValue<'a>>| Some((one.span().start, one.get_ref().as_str()?));
        let texts = value.get_ref().as_array().and_then(|all| all.iter().map(text).collect());
        if texts.is_none() {
            self.wrong(key, value, "not a list of texts".into(), "write it as [\"one\", \"two\"]");
        }
        texts
    }

    /// Notes what is wrong with a value at this place.
    pub fn note(&mut self, offset: usize, key: &str, what: impl Into<String>, mend: &str) {
        let field = self.field(key);
        self.mistakes.at(offset, &field, what, mend);
    }

    /// Where a key's value stands.
    pub fn place(&self, key: &str) -> usize {
        self.get(key).map_or(0, |value| value.span().start)
    }

    pub fn address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.text(key)?;
        let address = text.parse().ok();
        if let Some(value) = self.get(key).filter(|_| address.is_none()) {
            let what = format!("{text:?} is no address with a port");
            self.wrong(key, value, what, "write it as 127.0.0.1:6379 or [::1]:6379");
        }
        address
    }

    /// A number that need not be whole.
    pub fn fraction(&mut self, key: &str, range: std::ops::RangeInclusive<f64>) -> Option<f64> {
        let value = self.get(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(n) => n.as_str().replace('_', "").parse::<f64>().ok(),
            DeValue::Float(n) => n.as_str().replace('_', "").parse().ok(),
            _ => None,
        };
        let good = number.filter(|n| range.contains(n));
        if good.is_none() {
            let mend = format!("write a number from {} to {}", range.start(), range.end());
            self.wrong(key, value, "out of range".into(), &mend);
        }
        good
    }

    pub fn number(&mut self, key: &str, range: std::ops::RangeInclusive<usize>) -> Option<usize> {
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
