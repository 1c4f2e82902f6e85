//! A listener with a full backlog delays connections, and shows when one is attempted.

use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use lilacquay_fleet::FullListener;

/// Time after which the kernel repeats a connection attempt that met a full backlog.
const SYN_RETRANSMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// A node's connection may have filled the backlog already. If `fill` waited for room in it then, it would block the
/// fleet's only thread, and with it all stand-in servers.
#[test]
fn fill_does_not_block_if_another_connection_has_filled_the_backlog() {
    let listener = FullListener::with_backlog_of_one(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let _first = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let (sender, filled) = mpsc::channel();
    thread::spawn(move || sender.send(FullListener::fill(listener).map(drop)));
    filled
        .recv_timeout(SYN_RETRANSMIT_TIMEOUT / 2)
        .expect("fill does not block")
        .expect("a full backlog is not an error");
}

#[test]
fn a_pending_handshake_is_seen_once_it_has_met_the_full_backlog() {
    let full = FullListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let addr = full.local_addr().unwrap();
    assert!(!full.has_pending_handshake().unwrap(), "the connection that fills the backlog is established");
    let attempt = TcpStream::connect_timeout(&addr, SYN_RETRANSMIT_TIMEOUT / 2);
    assert!(attempt.is_err(), "the handshake is dropped");
    assert!(!full.has_pending_handshake().unwrap(), "the client has given up its attempt");
    thread::scope(|scope| {
        let attempt = scope.spawn(|| TcpStream::connect(addr));
        while !full.has_pending_handshake().unwrap() {
            assert!(!attempt.is_finished(), "the connection was established at once");
            thread::yield_now();
        }
        let _open = full.open().unwrap();
        attempt.join().unwrap().expect("the connection is established once it is retried");
    });
}
