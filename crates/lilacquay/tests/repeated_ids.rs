//! Requests whose id comes again after their client has left: what may have taken effect is not sent again.

mod common;

use std::thread::sleep;
use std::time::Duration;

use common::*;

const WRITE: &str = "c=put,d=1900";

fn write(client: &mut Client, id: &str) {
    client.send(&["CACHE.SET", "k", id, WRITE, "v"]);
}

#[test]
fn an_unsafe_write_whose_id_came_again_after_its_client_had_left_ran_twice() {
    let site = OneCache::new();
    let mut client = site.node.client();
    write(&mut client, "w1");
    let _out = site.origin.call();
    drop(client);
    // The node notices the close within 25 ms.
    for pause in [0, 10, 30, 300].map(Duration::from_millis) {
        sleep(pause);
        let mut again = site.node.client();
        write(&mut again, "w1");
        assert_eq!(again.answer().as_deref(), Some("-ERR id in use"), "after {pause:?}");
    }
    assert!(site.origin.called().is_none(), "it was sent twice");
}

#[test]
fn an_unsafe_write_that_had_been_answered_ran_again_with_the_same_id() {
    let site = OneCache::new();
    let mut client = site.node.client();
    write(&mut client, "w1");
    site.origin.call().http("200 OK", "receipt");
    assert_eq!(client.answer().as_deref(), Some("receipt"));
    write(&mut client, "w1");
    assert_eq!(client.answer().as_deref(), Some("-ERR id in use"));
    assert!(site.origin.called().is_none(), "it was sent twice");
}

#[test]
fn a_write_that_was_refused_and_a_read_may_come_again() {
    let site = OneCache::new();
    let mut client = site.node.client();
    write(&mut client, "w1");
    let mut answer = None;
    while answer.is_none() {
        if let Some(mut call) = site.origin.called() {
            call.answer("HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n");
        }
        answer = client.try_answer();
    }
    assert!(answer.is_some_and(|answer| answer.starts_with("-BUSY")), "it never ran");
    sleep(Duration::from_millis(500));
    let mut again = site.node.client();
    write(&mut again, "w1");
    site.origin.call().http("200 OK", "receipt");
    assert_eq!(again.answer().as_deref(), Some("receipt"));
    for _ in 0..2 {
        again.get("r", "c=read,d=1900");
        site.cache.call().value("v");
        assert_eq!(again.answer().as_deref(), Some("v"));
    }
}

/// A client that sends many commands and leaves at once, most of them unread.
#[test]
fn commands_that_lay_unread_as_their_client_closed_are_not_sent_on() {
    let site = OneCache::new();
    let mut client = site.node.client();
    let commands = (0..2000).map(|n| words(&["CACHE.SET", "k", &format!("w{n}"), WRITE, &"v".repeat(300)]));
    client.try_write(&commands.collect::<String>());
    drop(client);
    sleep(Duration::from_millis(100));
    while site.origin.called().is_some() {}
    sleep(Duration::from_millis(500));
    assert!(site.origin.called().is_none(), "sent on 0.1 s after its client had left");
}
