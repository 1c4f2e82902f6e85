//! Issues found in configuration files, each with its place in the file and the fix.

use std::fmt;
use std::path::{Path, PathBuf};

/// Something wrong in a file.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigIssue {
    pub file: PathBuf,
    /// The line, from 1; 0 if the issue concerns the whole file.
    pub line: usize,
    /// The path of the field, as in `limits.sockets`; empty if the issue concerns the whole file.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What the user should do about it.
    pub fix: String,
}

impl fmt::Display for ConfigIssue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if self.line > 0 {
            write!(f, "{}:", self.line)?;
        }
        if !self.field.is_empty() {
            write!(f, " {}:", self.field)?;
        }
        write!(f, " {}; {}", self.problem, self.fix)
    }
}

impl std::error::Error for ConfigIssue {}

/// Collects the issues of one file; the file's text is needed to turn byte offsets into lines.
pub struct IssueCollector<'a> {
    file: &'a Path,
    text: &'a str,
    issues: Vec<ConfigIssue>,
}

impl<'a> IssueCollector<'a> {
    pub fn new(file: &'a Path, text: &'a str) -> Self {
        IssueCollector { file, text, issues: Vec::new() }
    }

    /// Records an issue at a byte offset in the text.
    pub fn report_at_offset(
        &mut self,
        offset: usize,
        field: &str,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) {
        let line =
            1 + self.text.as_bytes()[..offset.min(self.text.len())].iter().filter(|&&b| b == b'\n').count();
        self.report_at_line(line, field, problem, fix);
    }

    /// Records an issue on a line, counted from 1.
    pub fn report_at_line(
        &mut self,
        line: usize,
        field: &str,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) {
        let (file, field) = (self.file.to_owned(), field.to_owned());
        self.issues.push(ConfigIssue { file, line, field, problem: problem.into(), fix: fix.into() });
    }

    pub fn into_issues(self) -> Vec<ConfigIssue> {
        self.issues
    }
}

/// The issue of a file that cannot be read.
pub fn unreadable_file(file: &Path, error: &std::io::Error) -> ConfigIssue {
    ConfigIssue {
        file: file.to_owned(),
        line: 0,
        field: String::new(),
        problem: format!("cannot be read: {error}"),
        fix: "name a file that this user may read".into(),
    }
}

/// The first issue in one line, with the command that lists the others.
pub fn summarize(file: &Path, issues: &[ConfigIssue]) -> String {
    let more = match issues.len() {
        0 | 1 => String::new(),
        n => format!(" (and {} more: `lilacquay check {}`)", n - 1, file.display()),
    };
    issues.first().map_or_else(String::new, |first| format!("{first}{more}"))
}
