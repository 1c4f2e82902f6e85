//! A listener whose backlog is full.

use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use lilacquay_fleet::FullListener;

/// A connection attempt that met a full backlog is repeated by the kernel after this time.
const RETRANSMIT: Duration = Duration::from_secs(1);

#[test]
fn the_stand_ins_stood_still_since_a_node_had_taken_the_one_place_of_a_listener() {
    let listener = FullListener::with_backlog_of_one(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let _first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (to, filled) = mpsc::channel();
    thread::spawn(move || to.send(FullListener::fill(listener).map(drop)));
    filled.recv_timeout(RETRANSMIT / 2).expect("it does not wait for a place").expect("it is full");
}

#[test]
fn an_attempt_is_seen_once_it_has_met_the_full_backlog() {
    let late = FullListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let addr = late.local_addr().unwrap();
    assert!(!late.has_pending_handshake().unwrap(), "the connection that fills it is up");
    let attempt = TcpStream::connect_timeout(&addr, RETRANSMIT / 2);
    assert!(attempt.is_err(), "dropped");
    assert!(!late.has_pending_handshake().unwrap(), "given up");
    thread::scope(|scope| {
        let attempt = scope.spawn(|| TcpStream::connect(addr));
        while !late.has_pending_handshake().unwrap() {
            assert!(!attempt.is_finished(), "it came up at once");
            thread::yield_now();
        }
        let _open = late.open().unwrap();
        attempt.join().unwrap().expect("it comes up in time");
    });
}
