//! The options for etcd, which `deploy/etcd.toml` documents.

use std::fs;
use std::path::{Path, PathBuf};

use lilacquay_etcd::{Settings, Tls, User};

use crate::config_error::{Mistake, Mistakes, unreadable};
use crate::section::{self, Section};

/// Where the servers' keys are, if the file does not say.
const PREFIX: &str = "/lilacquay/members/";

/// What the file says.
#[derive(Debug, Clone, PartialEq)]
pub struct Etcd {
    /// How to reach the cluster; files that it names are not read yet.
    endpoints: Vec<String>,
    /// What the servers' keys begin with.
    pub prefix: String,
    /// The folder in which the list is kept.
    pub keep: Option<PathBuf>,
    tls: Option<TlsFiles>,
    user: Option<(String, PathBuf)>,
}

#[derive(Debug, Clone, PartialEq)]
struct TlsFiles {
    ca: PathBuf,
    identity: Option<(PathBuf, PathBuf)>,
    name: Option<String>,
}

impl Etcd {
    /// Whether a file is meant for this, by what it says.
    pub fn is_meant(text: &str) -> bool {
        text.lines().any(|line| line.trim_start().starts_with("endpoints"))
    }

    /// Reads the file.
    ///
    /// # Errors
    /// All mistakes that are in it.
    pub fn read(file: &Path) -> Result<Etcd, Vec<Mistake>> {
        let text = fs::read_to_string(file).map_err(|error| vec![unreadable(file, &error)])?;
        let mut mistakes = Mistakes::new(file, &text);
        let etcd = Etcd::parse(file, &text, &mut mistakes);
        let found = mistakes.into_found();
        etcd.filter(|_| found.is_empty()).ok_or(found)
    }

    fn parse(file: &Path, text: &str, mistakes: &mut Mistakes) -> Option<Etcd> {
        let folder = file.parent().unwrap_or(Path::new(""));
        let table = section::parse(text, "deploy/etcd.toml", mistakes)?;
        let mut root = Section::root(&table, mistakes);
        root.only(&["endpoints", "prefix", "keep", "tls", "user"]);
        let endpoints = root.texts("endpoints");
        if endpoints.as_ref().is_none_or(Vec::is_empty) && !(root.has("endpoints") && endpoints.is_none()) {
            root.missing("endpoints", "name one, as in endpoints = [\"http://127.0.0.1:2379\"]");
        }
        let endpoints = endpoints.unwrap_or_default();
        for (place, endpoint) in &endpoints {
            check_endpoint(&mut root, *place, endpoint);
        }
        let prefix = root.text("prefix").unwrap_or(PREFIX);
        if prefix.is_empty() {
            let place = root.place("prefix");
            root.note(
                place,
                "prefix",
                "empty, so that all keys would be servers",
                "name one, or take it out",
            );
        }
        let keep = root.text("keep").map(|keep| folder.join(keep));
        let tls = root.has("tls").then(|| read_tls(root.section("tls"), folder)).flatten();
        let user = root.has("user").then(|| read_user(root.section("user"), folder)).flatten();
        let endpoints = endpoints.into_iter().map(|(_, endpoint)| endpoint.to_owned()).collect();
        Some(Etcd { endpoints, prefix: prefix.to_owned(), keep, tls, user })
    }

    /// How to reach the cluster, with what the files say that are named for it.
    ///
    /// # Errors
    /// The files that can't be read.
    pub fn settings(&self) -> Result<Settings, Vec<Mistake>> {
        let mut mistakes = Vec::new();
        let mut read = |file: &Path| {
            let read = fs::read(file);
            read.unwrap_or_else(|error| {
                mistakes.push(unreadable(file, &error));
                Vec::new()
            })
        };
        let tls = self.tls.as_ref().map(|tls| Tls {
            ca: read(&tls.ca),
            identity: tls.identity.as_ref().map(|(certificate, key)| (read(certificate), read(key))),
            name: tls.name.clone(),
        });
        let user = self.user.as_ref().map(|(name, file)| {
            let password = String::from_utf8_lossy(&read(file)).lines().next().unwrap_or("").to_owned();
            User { name: name.clone(), password }
        });
        let settings = Settings { endpoints: self.endpoints.clone(), tls, user };
        if mistakes.is_empty() { Ok(settings) } else { Err(mistakes) }
    }
}

fn check_endpoint(root: &mut Section, place: usize, endpoint: &str) {
    let mend = "write it as http://127.0.0.1:2379 or https://127.0.0.1:2379";
    let rest = endpoint.strip_prefix("http://").or_else(|| endpoint.strip_prefix("https://"));
    let port = rest.and_then(|rest| rest.rsplit_once(':')).map(|(_, port)| port.parse::<u16>());
    if !matches!(port, Some(Ok(1..))) {
        root.note(place, "endpoints", format!("{endpoint:?} is no address with a port"), mend);
    } else if endpoint.starts_with("https://") && !root.has("tls") {
        root.note(place, "endpoints", format!("{endpoint} takes TLS"), "add [tls] with a ca");
    } else if endpoint.starts_with("http://") && root.has("tls") {
        root.note(place, "endpoints", format!("{endpoint} is without TLS, beside [tls]"), "write https://");
    }
}

fn read_tls(mut tls: Section, folder: &Path) -> Option<TlsFiles> {
    tls.only(&["ca", "certificate", "key", "name"]);
    let mut file = |key| tls.text(key).map(|file| folder.join(file));
    let (ca, certificate, key) = (file("ca"), file("certificate"), file("key"));
    let name = tls.text("name").map(str::to_owned);
    if ca.is_none() && !tls.has("ca") {
        tls.missing("ca", "name the PEM file of who signed the endpoints' certificates");
    }
    if certificate.is_some() != key.is_some() {
        let missing = if key.is_none() { "key" } else { "certificate" };
        tls.missing(missing, "name both certificate and key, or neither");
    }
    Some(TlsFiles { ca: ca?, identity: certificate.zip(key), name })
}

fn read_user(mut user: Section, folder: &Path) -> Option<(String, PathBuf)> {
    user.only(&["name", "password_file"]);
    let name = user.text("name").map(str::to_owned);
    let file = user.text("password_file").map(|file| folder.join(file));
    for (key, mend) in [("name", "name the user"), ("password_file", "name the file with its password")] {
        if !user.has(key) {
            user.missing(key, mend);
        }
    }
    name.zip(file)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Etcd, Vec<String>> {
        let folder = tempfile::tempdir().unwrap();
        let file = folder.path().join("etcd.toml");
        fs::write(&file, text).unwrap();
        let told = |mistake: &Mistake| mistake.to_string().replace(&format!("{}:", file.display()), "");
        Etcd::read(&file).map_err(|mistakes| mistakes.iter().map(told).collect())
    }

    #[test]
    fn the_documented_file_is_good_and_names_every_key() {
        let etcd = read(include_str!("../../../deploy/etcd.toml")).unwrap();
        assert_eq!((etcd.endpoints.len(), etcd.prefix.as_str()), (3, PREFIX));
        assert!(etcd.keep.is_some() && etcd.user.is_some());
        assert!(etcd.tls.as_ref().is_some_and(|tls| tls.identity.is_some() && tls.name.is_some()));
        let missing = etcd.settings().unwrap_err();
        assert_eq!(missing.len(), 4, "the files it names are not here: {missing:?}");
    }

    #[test]
    fn each_mistake_is_told_with_its_line_field_and_mend() {
        let good = "endpoints = [\"http://127.0.0.1:2379\"]\n";
        assert_eq!(read(good).unwrap().prefix, PREFIX);
        let cases = [
            ("", "1: endpoints: missing; name one, as in endpoints = [\"http://127.0.0.1:2379\"]"),
            (
                "endpoints = []",
                "1: endpoints: missing; name one, as in endpoints = [\"http://127.0.0.1:2379\"]",
            ),
            ("endpoints = \"x\"", "1: endpoints: not a list of texts; write it as [\"one\", \"two\"]"),
            (
                "endpoints = [\n\"127.0.0.1:2379\"]",
                "2: endpoints: \"127.0.0.1:2379\" is no address with a port; write it as http://127.0.0.1:2379 or https://127.0.0.1:2379",
            ),
            (
                "endpoints = [\"https://127.0.0.1:2379\"]",
                "1: endpoints: https://127.0.0.1:2379 takes TLS; add [tls] with a ca",
            ),
            (
                "endpoints = [\"http://127.0.0.1:2379\"]\n[tls]\nca = \"x\"",
                "1: endpoints: http://127.0.0.1:2379 is without TLS, beside [tls]; write https://",
            ),
            (
                "endpoints = [\"https://127.0.0.1:2379\"]\n[tls]",
                "1: tls.ca: missing; name the PEM file of who signed the endpoints' certificates",
            ),
            (
                "endpoints = [\"https://127.0.0.1:2379\"]\n[tls]\nca = \"x\"\nkey = \"y\"",
                "1: tls.certificate: missing; name both certificate and key, or neither",
            ),
            (
                "endpoints = [\"http://127.0.0.1:2379\"]\nprefix = \"\"",
                "2: prefix: empty, so that all keys would be servers; name one, or take it out",
            ),
            (
                "endpoints = [\"http://127.0.0.1:2379\"]\n[user]\nname = \"x\"",
                "1: user.password_file: missing; name the file with its password",
            ),
        ];
        for (text, told) in cases {
            assert_eq!(read(text), Err(vec![told.to_owned()]), "{text}");
        }
    }
}
