//! Requests whose id becomes known while they are on their way from a front end to the core.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use lilacquay_core::{
    Answer, Call, Connection, Driver, Handles, IdleState, OperationResult, Options, Reply, ResourceShare,
    ServerEntry, ServerList, ServerState, Target, Upstream,
};
use paddlefold::setup::{RawSettings, Setup};
use tokio::time::{Instant, timeout};

/// Reached only by a failing test.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// An upstream that serves every request at once.
#[derive(Clone)]
struct Serving;

impl Upstream for Serving {
    type Connection = Serving;
    async fn connect(&self, _: &Target) -> io::Result<Serving> {
        Ok(Serving)
    }
}

impl Connection for Serving {
    fn idle_state(&self) -> IdleState {
        IdleState::Live
    }
    async fn send_request(self, _: &Call, _: &Target, _: Instant) -> (Reply, Option<Serving>) {
        (Reply::success(OperationResult::value("receipt")), Some(Serving))
    }
}

fn options() -> Options {
    let settings = r#"{"Classes":[],"Limits":{"Cancel":true,"MaxAttempts":3}}"#;
    let setup = Setup::try_from(serde_json::from_str::<RawSettings>(settings).unwrap()).unwrap();
    let (addr, zone, kind) = (SocketAddr::from((Ipv4Addr::LOCALHOST, 1)), String::new(), String::new());
    let state = ServerState::Serving;
    let server =
        ServerEntry { id: "s1".into(), addr, zone, kind, cell: 0, state, weight: None, started_ms: 0.0 };
    Options {
        setup,
        seed: 1,
        initial_list: ServerList { full: true, servers: vec![server] },
        max_connections: 10,
        request_memory_bytes: 8 << 20,
        quotas: None,
        metrics: lilacquay_metrics::Metrics::new(Vec::new()),
        list_version: None,
        learned: None,
        resource_share: ResourceShare::default(),
        persisted_orders: None,
        list_updates: None,
    }
}

fn write(id: &'static str) -> Call {
    Call::new("k".into(), Bytes::from(id), Bytes::from("d=1"), Some(Bytes::from("v")), 1_000_000).unwrap()
}

#[tokio::test]
async fn a_write_whose_id_became_known_behind_the_front_end_was_carried_out_again() {
    let (driver, Handles { requests, recent_writes, core: _core, .. }) = Driver::new(options(), Serving);
    let first = requests.open(write("w1"), Instant::now(), 100).expect("a new id");
    let second = requests.open(write("w2"), Instant::now(), 100).expect("a new id");
    recent_writes.begun(b"w2"); // by the request whose client has just left, or by the other process
    tokio::spawn(driver.run());
    let answers = async { (first.await, second.await) };
    let (first, second) = timeout(TEST_TIMEOUT, answers).await.expect("answers in time");
    assert!(matches!(first, Answer::Served(_)), "{first:?}");
    assert!(matches!(second, Answer::Failed), "{second:?}");
}
