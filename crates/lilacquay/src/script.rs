//! Reads the script of a test fleet from a TOML file: which fault or change happens at which time.

use std::fs;
use std::path::Path;
use std::time::Duration;

use lilacquay_fleet::script::{Script, Step};
use serde::Deserialize;
use serde::de::Error as _;

use crate::config_error::{ConfigIssue, IssueCollector, unreadable_file};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ScriptFile {
    #[serde(default)]
    step: Vec<TimedStep>,
}

#[derive(Deserialize)]
struct TimedStep {
    #[serde(deserialize_with = "deserialize_duration")]
    at: Duration,
    #[serde(flatten)]
    step: Step,
}

fn deserialize_duration<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(|error| D::Error::custom(format!("{text:?}: {error}")))
}

/// Reads a script; the result is sorted by time.
///
/// # Errors
/// The first issue in the file, or that it cannot be read.
pub fn read(file: &Path) -> Result<Script, ConfigIssue> {
    let text = fs::read_to_string(file).map_err(|error| unreadable_file(file, &error))?;
    let script_file: ScriptFile = toml::from_str(&text).map_err(|error| {
        let mut issues = IssueCollector::new(file, &text);
        let offset = error.span().map_or(0, |span| span.start);
        issues.report_at_offset(offset, "step", error.message(), "write it as the example in docs/fleet.md");
        issues.into_issues().remove(0)
    })?;
    let mut script: Script = script_file.step.into_iter().map(|timed| (timed.at, timed.step)).collect();
    script.sort_by_key(|(at, _)| *at);
    Ok(script)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn script(text: &str) -> Result<Script, String> {
        let file = tempfile::NamedTempFile::new().unwrap();
        fs::write(file.path(), text).unwrap();
        read(file.path()).map_err(|issue| issue.to_string())
    }

    #[test]
    fn the_documented_script_is_read_in_order() {
        let documentation = include_str!("../../../docs/fleet.md");
        let example =
            documentation.split("```toml").nth(1).and_then(|rest| rest.split("```").next()).unwrap();
        let steps = script(example).unwrap();
        assert!(steps.len() >= 6 && steps.is_sorted_by_key(|(at, _)| *at), "{steps:?}");
    }

    #[test]
    fn an_issue_is_reported_with_its_line() {
        let issue = script("[[step]]\nat = \"1s\"\ndo = \"burn\"\n").unwrap_err();
        assert!(issue.contains(":1: step:") && issue.contains("burn"), "{issue}");
        let issue = script("[[step]]\nat = \"soon\"\ndo = \"drain\"\nserver = \"box-0\"\n").unwrap_err();
        assert!(issue.contains("soon"), "{issue}");
    }
}
