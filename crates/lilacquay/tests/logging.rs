//! What the program logs at each level.

mod common;

use common::*;

#[test]
fn nothing_was_logged_at_debug_though_that_level_was_set() {
    let (cache, origin, discovery) = (Fake::cache(), Fake::http(), Fake::http());
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
    let (known, addr) = (list(41, &[("s-1", cache.addr)], origin.addr), discovery.addr);
    file(
        "node.json",
        &format!(
            r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{addr}","seed":"8c1f30d27a5be964","limits":{{"sockets":1024,"memory_mb":192}},"known":{known},"settings":{SETTINGS}}}"#
        ),
    );
    file("serve.toml", "node = \"node.json\"\n[log]\nlevel = \"debug\"\n");
    let node = Node::serving(folder.path());
    let mut client = node.client();
    client.get("k", "c=read,d=1900");
    cache.call().value("v");
    assert_eq!(client.answer().as_deref(), Some("v"));
    let lines = node.logged_until("attempt ended");
    assert!(lines.iter().any(|line| line.contains("request received")), "{lines:?}");
}
