//! `check`: tells each mistake in a file.

use std::path::Path;
use std::process::ExitCode;

use crate::appliance::Appliance;
use crate::config::{self, Config, ConfigError, Source};
use crate::config_error::Mistake;
use crate::etcd::Etcd;
use crate::memcached::Memcached;
use crate::options::Options;
use crate::quota::Quota;

/// Prints each mistake of a file; a success if there is none.
pub fn run(file: &Path) -> ExitCode {
    // By what it begins with: the platform's file may have any name, and no options begin with a brace.
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let mistakes = if text.trim_start().starts_with('{') {
        config::check_json(file, None)
    } else if Appliance::is_meant(&text) {
        match Config::read(&Source::Appliance(file.to_owned())) {
            Err(ConfigError::Mistakes(_, mistakes)) => mistakes,
            _ => Vec::new(),
        }
    } else if Etcd::is_meant(&text) {
        Etcd::read(file).and_then(|etcd| etcd.settings()).err().unwrap_or_default()
    } else if Memcached::is_meant(&text) {
        Memcached::read(file).err().unwrap_or_default()
    } else if Quota::is_meant(&text) {
        Quota::read(file).err().unwrap_or_default()
    } else {
        check_options(file)
    };
    mistakes.iter().for_each(|mistake| println!("{mistake}"));
    match mistakes.len() {
        0 => {
            println!("{}: good", file.display());
            ExitCode::SUCCESS
        }
        n => {
            eprintln!("lilacquay: {n} to mend");
            ExitCode::FAILURE
        }
    }
}

fn check_options(file: &Path) -> Vec<Mistake> {
    match Options::read(file) {
        Ok(options) => {
            let named = options.etcd.as_ref().and_then(|etcd| etcd.settings().err());
            let mut mistakes = config::check_json(&options.node, Some(&options));
            mistakes.extend(named.unwrap_or_default());
            mistakes
        }
        Err(mistakes) => mistakes,
    }
}
