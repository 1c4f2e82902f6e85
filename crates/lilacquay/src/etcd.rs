//! Reads the file that says how to reach etcd; `deploy/etcd.toml` documents each key.

use std::fs;
use std::path::{Path, PathBuf};

use lilacquay_etcd::{Settings, Tls, User};

use crate::config_error::{ConfigIssue, IssueCollector, unreadable_file};
use crate::section::{self, Section};

/// The prefix of the servers' keys, if the file sets none.
const DEFAULT_PREFIX: &str = "/lilacquay/members/";

/// The content of the file. The certificate, key and password files that it names are read by [`Self::settings`].
#[derive(Debug, Clone, PartialEq)]
pub struct EtcdConfig {
    /// URLs of the cluster's members.
    endpoints: Vec<String>,
    /// The prefix of the servers' keys.
    pub prefix: String,
    /// The folder in which the latest list is cached on disk.
    pub cache_folder: Option<PathBuf>,
    tls: Option<TlsFiles>,
    /// The user's name and password file.
    user: Option<(String, PathBuf)>,
}

#[derive(Debug, Clone, PartialEq)]
struct TlsFiles {
    ca: PathBuf,
    /// The client's certificate and key.
    identity: Option<(PathBuf, PathBuf)>,
    /// The server name in the endpoints' certificates, if it differs from the host of the URL.
    name: Option<String>,
}

impl EtcdConfig {
    /// Whether a text is a configuration of this kind, by the keys that it has.
    pub fn is_config_text(text: &str) -> bool {
        text.lines().any(|line| line.trim_start().starts_with("endpoints"))
    }

    /// Reads the file.
    ///
    /// # Errors
    /// All issues in the file.
    pub fn read(file: &Path) -> Result<EtcdConfig, Vec<ConfigIssue>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable_file(file, &error)])?;
        let mut issues = IssueCollector::new(file, &text);
        let etcd = EtcdConfig::parse(file, &text, &mut issues);
        let issues = issues.into_issues();
        etcd.filter(|_| issues.is_empty()).ok_or(issues)
    }

    fn parse(file: &Path, text: &str, issues: &mut IssueCollector) -> Option<EtcdConfig> {
        let folder = file.parent().unwrap_or(Path::new(""));
        let table = section::parse(text, "deploy/etcd.toml", issues)?;
        let mut root = Section::root(&table, issues);
        root.reject_unknown_keys(&["endpoints", "prefix", "keep", "tls", "user"]);
        let endpoints = root.strings("endpoints");
        if endpoints.as_ref().is_none_or(Vec::is_empty) && !(root.has_key("endpoints") && endpoints.is_none())
        {
            root.report_missing("endpoints", "name one, as in endpoints = [\"http://127.0.0.1:2379\"]");
        }
        let endpoints = endpoints.unwrap_or_default();
        for (offset, endpoint) in &endpoints {
            check_endpoint(&mut root, *offset, endpoint);
        }
        let prefix = root.string("prefix").unwrap_or(DEFAULT_PREFIX);
        if prefix.is_empty() {
            let offset = root.value_offset("prefix");
            root.report_at(
                offset,
                "prefix",
                "empty: every key would be read as a server",
                "set one, or remove it",
            );
        }
        let cache_folder = root.string("keep").map(|path| folder.join(path));
        let tls = root.has_key("tls").then(|| read_tls(root.section("tls"), folder)).flatten();
        let user = root.has_key("user").then(|| read_user(root.section("user"), folder)).flatten();
        let endpoints = endpoints.into_iter().map(|(_, endpoint)| endpoint.to_owned()).collect();
        Some(EtcdConfig { endpoints, prefix: prefix.to_owned(), cache_folder, tls, user })
    }

    /// The client's settings, with the content of the certificate, key and password files.
    ///
    /// # Errors
    /// The files that cannot be read.
    pub fn settings(&self) -> Result<Settings, Vec<ConfigIssue>> {
        let mut issues = Vec::new();
        let mut read_or_report = |file: &Path| {
            fs::read(file).unwrap_or_else(|error| {
                issues.push(unreadable_file(file, &error));
                Vec::new()
            })
        };
        let tls = self.tls.as_ref().map(|tls| Tls {
            ca: read_or_report(&tls.ca),
            identity: tls
                .identity
                .as_ref()
                .map(|(certificate, key)| (read_or_report(certificate), read_or_report(key))),
            name: tls.name.clone(),
        });
        let user = self.user.as_ref().map(|(name, file)| {
            let password =
                String::from_utf8_lossy(&read_or_report(file)).lines().next().unwrap_or("").to_owned();
            User { name: name.clone(), password }
        });
        let settings = Settings { endpoints: self.endpoints.clone(), tls, user };
        if issues.is_empty() { Ok(settings) } else { Err(issues) }
    }
}

fn check_endpoint(root: &mut Section, offset: usize, endpoint: &str) {
    let fix = "write it as http://127.0.0.1:2379 or https://127.0.0.1:2379";
    let rest = endpoint.strip_prefix("http://").or_else(|| endpoint.strip_prefix("https://"));
    let port = rest.and_then(|rest| rest.rsplit_once(':')).map(|(_, port)| port.parse::<u16>());
    if !matches!(port, Some(Ok(1..))) {
        root.report_at(offset, "endpoints", format!("{endpoint:?} is not an address with a port"), fix);
    } else if endpoint.starts_with("https://") && !root.has_key("tls") {
        root.report_at(offset, "endpoints", format!("{endpoint} uses TLS"), "add [tls] with a ca");
    } else if endpoint.starts_with("http://") && root.has_key("tls") {
        root.report_at(
            offset,
            "endpoints",
            format!("{endpoint} does not use TLS, though [tls] is set"),
            "write https://",
        );
    }
}

fn read_tls(mut tls: Section, folder: &Path) -> Option<TlsFiles> {
    tls.reject_unknown_keys(&["ca", "certificate", "key", "name"]);
    let mut path_of = |key| tls.string(key).map(|file| folder.join(file));
    let (ca, certificate, key) = (path_of("ca"), path_of("certificate"), path_of("key"));
    let name = tls.string("name").map(str::to_owned);
    if ca.is_none() && !tls.has_key("ca") {
        tls.report_missing("ca", "name the PEM file of the CA that signed the endpoints' certificates");
    }
    if certificate.is_some() != key.is_some() {
        let missing_key = if key.is_none() { "key" } else { "certificate" };
        tls.report_missing(missing_key, "name both certificate and key, or neither");
    }
    Some(TlsFiles { ca: ca?, identity: certificate.zip(key), name })
}

fn read_user(mut user: Section, folder: &Path) -> Option<(String, PathBuf)> {
    user.reject_unknown_keys(&["name", "password_file"]);
    let name = user.string("name").map(str::to_owned);
    let file = user.string("password_file").map(|file| folder.join(file));
    for (key, fix) in [("name", "name the user"), ("password_file", "name the file with its password")] {
        if !user.has_key(key) {
            user.report_missing(key, fix);
        }
    }
    name.zip(file)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<EtcdConfig, Vec<String>> {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("etcd.toml");
        fs::write(&file, text).unwrap();
        let without_path =
            |issue: &ConfigIssue| issue.to_string().replace(&format!("{}:", file.display()), "");
        EtcdConfig::read(&file).map_err(|issues| issues.iter().map(without_path).collect())
    }

    #[test]
    fn the_documented_file_is_valid_and_names_every_key() {
        let etcd = read(include_str!("../../../deploy/etcd.toml")).unwrap();
        assert_eq!((etcd.endpoints.len(), etcd.prefix.as_str()), (3, DEFAULT_PREFIX));
        assert!(etcd.cache_folder.is_some() && etcd.user.is_some());
        assert!(etcd.tls.as_ref().is_some_and(|tls| tls.identity.is_some() && tls.name.is_some()));
        let missing_files = etcd.settings().unwrap_err();
        assert_eq!(missing_files.len(), 4, "the files that it names do not exist here: {missing_files:?}");
    }

    #[test]
    fn each_issue_is_reported_with_line_field_and_fix() {
        let valid = "endpoints = [\"http://127.0.0.1:2379\"]\n";
        assert_eq!(read(valid).unwrap().prefix, DEFAULT_PREFIX);
        let cases = [
            ("", "1: endpoints: missing; name one, as in endpoints = [\"http://127.0.0.1:2379\"]"),
            (
                "endpoints = []",
                "1: endpoints: missing; name one, as in endpoints = [\"http://127.0.0.1:2379\"]",
            ),
            ("endpoints = \"x\"", "1: endpoints: not a list of strings; write it as [\"one\", \"two\"]"),
            (
                "endpoints = [\n\"127.0.0.1:2379\"]",
                "2: endpoints: \"127.0.0.1:2379\" is not an address with a port; write it as http://127.0.0.1:2379 or https://127.0.0.1:2379",
            ),
            (
                "endpoints = [\"https://127.0.0.1:2379\"]",
                "1: endpoints: https://127.0.0.1:2379 uses TLS; add [tls] with a ca",
            ),
            (
                "endpoints = [\"http://127.0.0.1:2379\"]\n[tls]\nca = \"x\"",
                "1: endpoints: http://127.0.0.1:2379 does not use TLS, though [tls] is set; write https://",
            ),
            (
                "endpoints = [\"https://127.0.0.1:2379\"]\n[tls]",
                "1: tls.ca: missing; name the PEM file of the CA that signed the endpoints' certificates",
            ),
            (
                "endpoints = [\"https://127.0.0.1:2379\"]\n[tls]\nca = \"x\"\nkey = \"y\"",
                "1: tls.certificate: missing; name both certificate and key, or neither",
            ),
            (
                "endpoints = [\"http://127.0.0.1:2379\"]\nprefix = \"\"",
                "2: prefix: empty: every key would be read as a server; set one, or remove it",
            ),
            (
                "endpoints = [\"http://127.0.0.1:2379\"]\n[user]\nname = \"x\"",
                "1: user.password_file: missing; name the file with its password",
            ),
        ];
        for (text, expected) in cases {
            assert_eq!(read(text), Err(vec![expected.to_owned()]), "{text}");
        }
    }
}
