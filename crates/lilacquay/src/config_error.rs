//! Mistakes in files, each with its place and its mend.

use std::fmt;
use std::path::{Path, PathBuf};

/// Something wrong in a file.
#[derive(Debug, Clone, PartialEq)]
pub struct Mistake {
    /// The file.
    pub file: PathBuf,
    /// The line, from 1; 0 where the whole file is meant.
    pub line: usize,
    /// The field, as in `limits.sockets`; empty where the whole file is meant.
    pub field: String,
    /// What is wrong.
    pub what: String,
    /// What to do about it.
    pub mend: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, " {}:", self.field)?;
        }
        write!(f, " {}; {}", self.what, self.mend)
    }
}

impl std::error::Error for Mistake {}

/// Mistakes of one file, with the text that they stand in.
pub struct Mistakes<'a> {
    file: &'a Path,
    text: &'a str,
    found: Vec<Mistake>,
}

impl<'a> Mistakes<'a> {
    pub fn new(file: &'a Path, text: &'a str) -> Self {
        Mistakes { file, text, found: Vec::new() }
    }

    /// Notes one, by the place of its first byte in the text.
    pub fn at(&mut self, offset: usize, field: &str, what: impl Into<String>, mend: impl Into<String>) {
        let line =
            1 + self.text.as_bytes()[..offset.min(self.text.len())].iter().filter(|&&b| b == b'\n').count();
        self.on_line(line, field, what, mend);
    }

    /// Notes one, by its line.
    pub fn on_line(&mut self, line: usize, field: &str, what: impl Into<String>, mend: impl Into<String>) {
        let (file, field) = (self.file.to_owned(), field.to_owned());
        self.found.push(Mistake { file, line, field, what: what.into(), mend: mend.into() });
    }

    pub fn into_found(self) -> Vec<Mistake> {
        self.found
    }
}

/// A file that can't be read.
pub fn unreadable(file: &Path, error: &std::io::Error) -> Mistake {
    let (what, mend) = (format!("cannot be read: {error}"), "name a file that this user may read".into());
    Mistake { file: file.to_owned(), line: 0, field: String::new(), what, mend }
}

/// The first mistake, and how to see the others.
pub fn one_line(file: &Path, mistakes: &[Mistake]) -> String {
    let more = match mistakes.len() {
        0 | 1 => String::new(),
        n => format!(" (and {} more: `lilacquay check {}`)", n - 1, file.display()),
    };
    mistakes.first().map_or_else(String::new, |first| format!("{first}{more}"))
}
