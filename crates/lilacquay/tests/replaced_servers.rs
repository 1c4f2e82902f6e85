//! A new process at the address of one that has gone: connections and attempts of the old one are not the new one's.

mod common;

use std::time::Instant;

use common::*;

/// A list with one cache that started at this time, and an origin.
fn list_with_start(version: u64, cache: &Fake, started_ms: u64, origin: &Fake) -> String {
    list(version, &[("s-1", cache.addr)], origin.addr).replacen(
        r#""started_ms":0"#,
        &format!(r#""started_ms":{started_ms}"#),
        1,
    )
}

struct Site {
    cache: Fake,
    origin: Fake,
    discovery: Fake,
    node: Node,
}

impl Site {
    fn new() -> Site {
        let (cache, origin, discovery) = (Fake::cache(), Fake::http(), Fake::http());
        let node = Node::start(&list_with_start(41, &cache, 1_000, &origin), discovery.addr);
        Site { cache, origin, discovery, node }
    }

    /// Tells the node that another process of the cache has started at the address of the first.
    fn restart_cache(&self, version: u64) {
        self.tell_start(version, 2_000);
    }

    /// Tells the node when the cache started, and waits until it asks for the next change.
    fn tell_start(&self, version: u64, started_ms: u64) {
        let watch = self.discovery.call();
        watch.http("200 OK", &list_with_start(version, &self.cache, started_ms, &self.origin));
        let next = self.discovery.call();
        assert!(next.words[1].contains(&format!("after={version}")), "{:?}", next.words);
        std::mem::forget(next); // it stays open
    }

    /// Reads until the cache is asked, which is in slow start after a restart; tells on which of its connections.
    fn read(&self, client: &mut Client, id: &str) -> usize {
        let start = Instant::now();
        for n in 0.. {
            client.rest(); // a connection of before may be used
            client.send(&["CACHE.GET", "k", &format!("{id}-{n}"), "c=read,d=1900"]);
            let (mut connection, mut answer) = (None, None);
            while answer.is_none() {
                assert!(start.elapsed() < PATIENCE, "the cache is not asked");
                if let Some(call) = self.cache.called() {
                    connection = Some(call.connection);
                    let _ = call.try_value("v");
                }
                if let Some(fetch) = self.origin.called() {
                    fetch.http("200 OK", "v");
                }
                answer = client.try_answer();
            }
            if let Some(connection) = connection {
                return connection;
            }
        }
        unreachable!("reads go on until the cache is asked")
    }
}

#[test]
fn a_connection_to_the_process_before_was_used_for_its_successor_at_the_same_address() {
    let site = Site::new();
    let mut client = site.node.client();
    let first = site.read(&mut client, "i1");
    assert_eq!(site.read(&mut client, "i2"), first, "it is used again while the process is the same");
    site.restart_cache(42);
    let start = Instant::now();
    assert_ne!(site.read(&mut client, "i3"), first, "the old process's connection");
    assert!(start.elapsed() < PATIENCE);
}

/// A start of 0 is long ago: no process has started since the one that is known.
#[test]
fn a_start_that_is_no_longer_told_costs_no_connection() {
    let site = Site::new();
    let mut client = site.node.client();
    let first = site.read(&mut client, "i1");
    site.tell_start(42, 0);
    assert_eq!(site.read(&mut client, "i2"), first);
}

#[test]
fn a_connection_that_was_in_use_as_its_process_was_replaced_was_kept_for_the_successor() {
    let site = Site::new();
    let mut client = site.node.client();
    client.send(&["CACHE.GET", "k", "i1", "c=read,d=1900"]);
    let call = site.cache.call();
    site.restart_cache(42);
    let first = call.connection;
    call.value("v");
    assert_eq!(
        client.answer().as_deref(),
        Some("v"),
        "what the old process gives is the request's answer all the same"
    );
    assert_ne!(site.read(&mut client, "i2"), first, "the old process's connection");
}
