//! Reads the tables of a TOML file key by key, so that each issue is reported with its place in the file.
//!
//! A method that reads a value returns `None` if the key is absent or its value is invalid; the latter is reported.

use std::net::SocketAddr;
use std::ops::RangeInclusive;

use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::config_error::IssueCollector;

/// Parses a whole file; `None` if it is not valid TOML, which is reported.
///
/// `example_file` is a documented file that shows the format.
pub fn parse<'a>(
    text: &'a str,
    example_file: &str,
    issues: &mut IssueCollector,
) -> Option<Spanned<DeTable<'a>>> {
    match DeTable::parse(text) {
        Ok(table) => Some(table),
        Err(error) => {
            let offset = error.span().map_or(0, |span| span.start);
            let problem = format!("invalid TOML: {}", error.message());
            issues.report_at_offset(offset, "", problem, format!("write it as {example_file} does"));
            None
        }
    }
}

/// One table of a file.
pub struct Section<'a, 'i, 't> {
    /// The table's path in the file; empty for the root table.
    path: String,
    /// `None` if the file has no such table: every key is then absent.
    table: Option<&'a DeTable<'a>>,
    issues: &'i mut IssueCollector<'t>,
}

impl<'a, 'i, 't> Section<'a, 'i, 't> {
    /// The file's top-level table.
    pub fn root(table: &'a Spanned<DeTable<'a>>, issues: &'i mut IssueCollector<'t>) -> Self {
        Section { path: String::new(), table: Some(table.get_ref()), issues }
    }

    /// The path of a key in the file, as in `limits.sockets`.
    pub fn field(&self, key: &str) -> String {
        if self.path.is_empty() { key.to_owned() } else { format!("{}.{key}", self.path) }
    }

    fn get(&self, key: &str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.table?.iter().find(|(name, _)| name.get_ref() == key).map(|(_, value)| value)
    }

    pub fn has_key(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Reports each key of the table that is not among the known ones.
    pub fn reject_unknown_keys(&mut self, known_keys: &[&str]) {
        for (name, _) in self.table.into_iter().flat_map(|table| table.iter()) {
            let key = name.get_ref();
            if !known_keys.iter().any(|known| key == known) {
                let field = self.field(key);
                let fix = format!("remove it, or use one of {}", known_keys.join(", "));
                self.issues.report_at_offset(name.span().start, &field, "no such key", fix);
            }
        }
    }

    pub fn report_missing(&mut self, key: &str, fix: &str) {
        let field = self.field(key);
        self.issues.report_at_offset(0, &field, "missing", fix);
    }

    fn report_value(&mut self, key: &str, value: &Spanned<DeValue>, problem: String, fix: &str) {
        let field = self.field(key);
        self.issues.report_at_offset(value.span().start, &field, problem, fix);
    }

    /// A table inside this one. If it is absent or not a table, the result has no keys; the latter is reported.
    pub fn section(&mut self, name: &str) -> Section<'a, '_, 't> {
        let value = self.get(name);
        let table = value.and_then(|value| value.get_ref().as_table());
        if let Some(value) = value.filter(|_| table.is_none()) {
            self.report_value(
                name,
                value,
                "not a table".into(),
                &format!("write [{name}] and its keys below"),
            );
        }
        Section { path: self.field(name), table, issues: self.issues }
    }

    /// Reads each table of an array of tables, as `[[name]]` writes them, in order. Fields in the table at index 0
    /// are reported as `name[0].key`.
    pub fn read_tables<R>(&mut self, name: &str, mut read: impl FnMut(Section<'a, '_, 't>) -> R) -> Vec<R> {
        let Some(value) = self.get(name) else { return Vec::new() };
        let as_table = |element: &'a Spanned<DeValue<'a>>| element.get_ref().as_table();
        let tables: Option<Vec<_>> =
            value.get_ref().as_array().and_then(|elements| elements.iter().map(as_table).collect());
        if tables.is_none() {
            self.report_value(
                name,
                value,
                "not a list of tables".into(),
                &format!("write [[{name}]] before each"),
            );
        }
        let read_indexed = |(index, table)| {
            let path = format!("{name}[{index}]");
            read(Section { path, table: Some(table), issues: self.issues })
        };
        tables.into_iter().flatten().enumerate().map(read_indexed).collect()
    }

    pub fn boolean(&mut self, key: &str) -> Option<bool> {
        let value = self.get(key)?;
        let boolean = value.get_ref().as_bool();
        if boolean.is_none() {
            self.report_value(
                key,
                value,
                "neither true nor false".into(),
                "write one of them, without quotes",
            );
        }
        boolean
    }

    pub fn string(&mut self, key: &str) -> Option<&'a str> {
        let value = self.get(key)?;
        let string = value.get_ref().as_str();
        if string.is_none() {
            self.report_value(key, value, "not a string".into(), "put it in quotes");
        }
        string
    }

    /// A list of strings, each with its byte offset in the file.
    pub fn strings(&mut self, key: &str) -> Option<Vec<(usize, &'a str)>> {
        let value = self.get(key)?;
        let with_offset =
            |element: &'a Spanned<DeValue<'a>>| Some((element.span().start, element.get_ref().as_str()?));
        let strings =
            value.get_ref().as_array().and_then(|elements| elements.iter().map(with_offset).collect());
        if strings.is_none() {
            self.report_value(key, value, "not a list of strings".into(), "write it as [\"one\", \"two\"]");
        }
        strings
    }

    /// Reports an issue with a key's value, at a byte offset in the file.
    pub fn report_at(&mut self, offset: usize, key: &str, problem: impl Into<String>, fix: &str) {
        let field = self.field(key);
        self.issues.report_at_offset(offset, &field, problem, fix);
    }

    /// The byte offset of a key's value in the file; 0 if the key is absent.
    pub fn value_offset(&self, key: &str) -> usize {
        self.get(key).map_or(0, |value| value.span().start)
    }

    pub fn socket_address(&mut self, key: &str) -> Option<SocketAddr> {
        let text = self.string(key)?;
        let address = text.parse().ok();
        if let Some(value) = self.get(key).filter(|_| address.is_none()) {
            let problem = format!("{text:?} is not an address with a port");
            self.report_value(key, value, problem, "write it as 127.0.0.1:6379 or [::1]:6379");
        }
        address
    }

    /// A number in the range; it may be written as an integer or with a fraction.
    pub fn float(&mut self, key: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let value = self.get(key)?;
        let number = match value.get_ref() {
            DeValue::Integer(n) => n.as_str().replace('_', "").parse::<f64>().ok(),
            DeValue::Float(n) => n.as_str().replace('_', "").parse().ok(),
            _ => None,
        };
        let in_range = number.filter(|n| range.contains(n));
        if in_range.is_none() {
            let fix = format!("write a number from {} to {}", range.start(), range.end());
            self.report_value(key, value, "out of range".into(), &fix);
        }
        in_range
    }

    /// A non-negative integer in the range.
    pub fn integer(&mut self, key: &str, range: RangeInclusive<usize>) -> Option<usize> {
        let value = self.get(key)?;
        let number = value.get_ref().as_integer();
        let number = number.and_then(|n| usize::from_str_radix(&n.as_str().replace('_', ""), n.radix()).ok());
        let in_range = number.filter(|n| range.contains(n));
        if in_range.is_none() {
            let fix = format!("write a whole number from {} to {}", range.start(), range.end());
            self.report_value(key, value, "out of range".into(), &fix);
        }
        in_range
    }
}
