//! A script for the stand-in fleet, read from a file.

use std::fs;
use std::path::Path;
use std::time::Duration;

use lilacquay_fleet::script::{Script, Step};
use serde::Deserialize;
use serde::de::Error as _;

use crate::config_error::{Mistake, Mistakes, unreadable};

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    step: Vec<Timed>,
}

#[derive(Deserialize)]
struct Timed {
    #[serde(deserialize_with = "time")]
    at: Duration,
    #[serde(flatten)]
    step: Step,
}

fn time<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(|error| D::Error::custom(format!("{text:?}: {error}")))
}

/// Reads a script, in order of its times.
///
/// # Errors
/// The first mistake that is in it.
pub fn read(file: &Path) -> Result<Script, Mistake> {
    let text = fs::read_to_string(file).map_err(|error| unreadable(file, &error))?;
    let steps: File = toml::from_str(&text).map_err(|error| {
        let mut mistakes = Mistakes::new(file, &text);
        let offset = error.span().map_or(0, |span| span.start);
        mistakes.at(offset, "step", error.message(), "write it as the example in docs/fleet.md");
        mistakes.into_found().remove(0)
    })?;
    let mut script: Script = steps.step.into_iter().map(|timed| (timed.at, timed.step)).collect();
    script.sort_by_key(|(at, _)| *at);
    Ok(script)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn script(text: &str) -> Result<Script, String> {
        let file = tempfile::NamedTempFile::new().unwrap();
        fs::write(file.path(), text).unwrap();
        read(file.path()).map_err(|mistake| mistake.to_string())
    }

    #[test]
    fn the_documented_script_is_read_in_order() {
        let page = include_str!("../../../docs/fleet.md");
        let example = page.split("```toml").nth(1).and_then(|rest| rest.split("```").next()).unwrap();
        let steps = script(example).unwrap();
        assert!(steps.len() >= 6 && steps.is_sorted_by_key(|(at, _)| *at), "{steps:?}");
    }

    #[test]
    fn a_mistake_is_told_with_its_line() {
        let told = script("[[step]]\nat = \"1s\"\ndo = \"burn\"\n").unwrap_err();
        assert!(told.contains(":1: step:") && told.contains("burn"), "{told}");
        let told = script("[[step]]\nat = \"soon\"\ndo = \"drain\"\nserver = \"box-0\"\n").unwrap_err();
        assert!(told.contains("soon"), "{told}");
    }
}
