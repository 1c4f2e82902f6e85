//! Operators' orders on a running core: which servers receive requests before and after.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use lilacquay_core::{
    Answer, Call, Connection, CoreHandle, Driver, Handles, IdleState, MembershipHandle, OperationResult,
    Options, Outcome, PendingAnswer, Reply, Requests, ResourceShare, ServerEntry, ServerList, ServerState,
    Target, Upstream,
};
use lilacquay_overrides::{AppliedOrder, Order, OrderRequest, PersistentOrder, Refusal};
use paddlefold::setup::{RawSettings, Setup};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

/// The time-out of waits in these tests. Only a failing test reaches it.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a read takes. The clock is paused otherwise: on a busy machine, real time would make one of the servers
/// look slow.
const READ_DURATION: Duration = Duration::from_millis(1);

/// An upstream whose replies come from the test: it sends the test the server's port and a sender for the reply.
#[derive(Clone)]
struct Scripted(mpsc::UnboundedSender<(u16, oneshot::Sender<Reply>)>);

impl Upstream for Scripted {
    type Connection = Scripted;
    async fn connect(&self, _: &Target) -> io::Result<Scripted> {
        Ok(self.clone())
    }
}

impl Connection for Scripted {
    fn idle_state(&self) -> IdleState {
        IdleState::Live
    }
    async fn send_request(self, _: &Call, target: &Target, _: Instant) -> (Reply, Option<Scripted>) {
        let (answer, reply) = oneshot::channel();
        let _ = self.0.send((target.addr.port(), answer));
        (reply.await.unwrap_or(Reply::from_outcome(Outcome::Reset)), Some(self))
    }
}

/// A running core, and the requests that reach its servers.
struct TestCore {
    requests: Requests,
    members: MembershipHandle,
    handle: CoreHandle,
    attempts: mpsc::UnboundedReceiver<(u16, oneshot::Sender<Reply>)>,
    /// The number of requests opened so far.
    opened: usize,
}

fn entry(id: &str, port: u16, state: ServerState) -> ServerEntry {
    let (addr, zone, kind) = (SocketAddr::from((Ipv4Addr::LOCALHOST, port)), String::new(), String::new());
    ServerEntry { id: id.into(), addr, zone, kind, cell: 0, state, weight: None, started_ms: 0.0 }
}

impl TestCore {
    /// A core with two caches, `s1` at port 1 and `s2` at port 2. Operators' orders are accepted if there are
    /// `persisted_orders`.
    fn new(persisted_orders: Option<Vec<PersistentOrder>>) -> TestCore {
        let settings = r#"{"Classes":[{"Name":"read","Aim":300.0,"HardLimit":60000.0,"Effect":"safe"}],
            "Limits":{"Cancel":true,"MaxAttempts":3}}"#;
        let setup = Setup::try_from(serde_json::from_str::<RawSettings>(settings).unwrap()).unwrap();
        let servers = vec![entry("s1", 1, ServerState::Serving), entry("s2", 2, ServerState::Serving)];
        let initial_list = ServerList { full: true, servers };
        let (connections, memory) = (1000, 8 << 20);
        let metrics = lilacquay_metrics::Metrics::new(Vec::new());
        let options = Options {
            setup,
            seed: 1,
            initial_list,
            max_connections: connections,
            request_memory_bytes: memory,
            quotas: None,
            metrics,
            list_version: None,
            learned: None,
            resource_share: ResourceShare::default(),
            persisted_orders,
            list_updates: None,
        };
        let (sender, attempts) = mpsc::unbounded_channel();
        let (driver, Handles { requests, members, core, .. }) = Driver::new(options, Scripted(sender));
        tokio::spawn(driver.run());
        TestCore { requests, members, handle: core, attempts, opened: 0 }
    }

    /// Opens a read; returns its pending answer, the port of the server that it is sent to, and the sender for the
    /// reply.
    async fn read(&mut self) -> (PendingAnswer, u16, oneshot::Sender<Reply>) {
        self.opened += 1;
        let id = Bytes::from(format!("id-{}", self.opened));
        let call = Call::new(format!("k{}", self.opened), id, Bytes::from("d=1"), None, 60_000_000).unwrap();
        let pending = self.requests.open(call, Instant::now(), 100).expect("a unique id");
        let (port, answer) =
            timeout(TEST_TIMEOUT, self.attempts.recv()).await.expect("an attempt in time").unwrap();
        (pending, port, answer)
    }

    /// Serves fifty reads; returns how many went to each server.
    async fn serve_fifty_reads(&mut self) -> [usize; 2] {
        let mut reads = [0; 2];
        for _ in 0..50 {
            let (pending, port, answer) = self.read().await;
            reads[usize::from(port) - 1] += 1;
            sleep(READ_DURATION).await;
            answer.send(Reply::success(OperationResult::value("v"))).unwrap();
            assert!(matches!(pending.await, Answer::Served(_)));
        }
        reads
    }

    async fn order(&self, server: &str, order: Order) -> Result<AppliedOrder, Refusal> {
        let ask = OrderRequest { server: server.into(), order, persistent: false, force: false, seen: None };
        self.handle.apply_order(ask).await.expect("a core that accepts orders")
    }
}

#[tokio::test(start_paused = true)]
async fn a_drained_server_finishes_its_requests_and_gets_no_new_ones_until_the_drain_is_lifted() {
    let mut core = TestCore::new(Some(Vec::new()));
    let before = core.serve_fifty_reads().await;
    assert!(before.iter().all(|&n| n > 10), "{before:?}");
    let (pending, port, answer) = loop {
        let read = core.read().await;
        if read.1 == 1 {
            break read;
        }
        read.2.send(Reply::success(OperationResult::value("v"))).unwrap();
    };
    assert_eq!(core.order("s1", Order::Drain).await.unwrap().replaced, None);
    assert_eq!(core.serve_fifty_reads().await, [0, 50], "no new requests");
    answer.send(Reply::success(OperationResult::value("late"))).unwrap();
    assert!(matches!(pending.await, Answer::Served(result) if result == OperationResult::value("late")));
    assert_eq!(port, 1);
    // An update of the list does not put it back into service, and the last serving server cannot be drained.
    assert!(
        core.members
            .update_list(ServerList { full: false, servers: vec![entry("s1", 1, ServerState::Serving)] })
    );
    assert_eq!(core.serve_fifty_reads().await, [0, 50], "the list does not override an operator");
    assert_eq!(core.order("s2", Order::Drain).await, Err(Refusal::LastServing));
    core.order("s1", Order::Undrain).await.unwrap();
    let back = core.serve_fifty_reads().await;
    assert!(back[0] > 10, "back in service");
}

#[tokio::test(start_paused = true)]
async fn a_server_that_is_left_out_for_a_time_comes_back_by_itself() {
    let mut core = TestCore::new(Some(Vec::new()));
    core.order("s1", Order::Exclude(1_000)).await.unwrap();
    let back = async { while core.serve_fifty_reads().await[0] == 0 {} };
    timeout(TEST_TIMEOUT, back).await.expect("back in time");
}

#[tokio::test(start_paused = true)]
async fn persisted_orders_apply_from_the_first_list_on_and_a_core_without_overrides_accepts_none() {
    let mut core =
        TestCore::new(Some(vec![PersistentOrder { server: "s2".into(), remaining: None, mark: None }]));
    assert_eq!(core.serve_fifty_reads().await, [50, 0]);
    let core = TestCore::new(None);
    let ask = OrderRequest {
        server: "s1".into(),
        order: Order::Drain,
        persistent: false,
        force: false,
        seen: None,
    };
    assert!(core.handle.apply_order(ask).await.is_err());
}
