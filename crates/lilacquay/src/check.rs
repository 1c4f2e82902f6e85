//! The `check` command: prints every issue in a configuration file of any kind and starts nothing.

use std::path::Path;
use std::process::ExitCode;

use crate::appliance::Appliance;
use crate::config::{self, Config, ConfigError, ConfigSource};
use crate::config_error::ConfigIssue;
use crate::etcd::EtcdConfig;
use crate::memcached::MemcachedConfig;
use crate::options::Options;
use crate::quota::QuotaConfig;

/// Prints each issue of a file; succeeds if there is none.
pub fn run(file: &Path) -> ExitCode {
    // The kind of file is detected by its content, because the platform's file may have any name. A brace at the
    // start marks its JSON: no options file in TOML begins with one.
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let issues = if text.trim_start().starts_with('{') {
        config::check_json(file, None)
    } else if Appliance::is_config_text(&text) {
        match Config::read(&ConfigSource::Appliance(file.to_owned())) {
            Err(ConfigError::Invalid(_, issues)) => issues,
            _ => Vec::new(),
        }
    } else if EtcdConfig::is_config_text(&text) {
        EtcdConfig::read(file).and_then(|etcd| etcd.settings()).err().unwrap_or_default()
    } else if MemcachedConfig::is_config_text(&text) {
        MemcachedConfig::read(file).err().unwrap_or_default()
    } else if QuotaConfig::is_config_text(&text) {
        QuotaConfig::read(file).err().unwrap_or_default()
    } else {
        check_options(file)
    };
    issues.iter().for_each(|issue| println!("{issue}"));
    match issues.len() {
        0 => {
            println!("{}: good", file.display());
            ExitCode::SUCCESS
        }
        n => {
            eprintln!("lilacquay: {n} to fix");
            ExitCode::FAILURE
        }
    }
}

/// Checks a file of options, the files that it names, and the platform's JSON against the names that those use.
fn check_options(file: &Path) -> Vec<ConfigIssue> {
    match Options::read(file) {
        Ok(options) => {
            let etcd_issues = options.etcd.as_ref().and_then(|etcd| etcd.settings().err());
            let mut issues = config::check_json(&options.platform_file, Some(&options));
            issues.extend(etcd_issues.unwrap_or_default());
            issues
        }
        Err(issues) => issues,
    }
}
