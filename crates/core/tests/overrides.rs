//! An operator's orders on a running core: what servers are asked, before and after.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use lilacquay_core::{
    Answer, Call, Connection, Driver, Entry, Handles, IdleState, List, Made, Members, Options, Orders,
    Outcome, Pending, Portion, Reply, Requests, State, Target, Upstream,
};
use lilacquay_overrides::{AppliedOrder, Order, OrderRequest, PersistentOrder, Refusal};
use paddlefold::setup::{Setup, Stated};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

/// Reached only by a test that fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// What a read takes. Time stands still but for that: a machine that is busy would make one of the servers look slow.
const TOOK: Duration = Duration::from_millis(1);

/// An upstream that asks the test.
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
    async fn ask(self, _: &Call, target: &Target, _: Instant) -> (Reply, Option<Scripted>) {
        let (answer, reply) = oneshot::channel();
        let _ = self.0.send((target.addr.port(), answer));
        (reply.await.unwrap_or(Reply::of(Outcome::Reset)), Some(self))
    }
}

struct Stage {
    requests: Requests,
    members: Members,
    orders: Orders,
    asked: mpsc::UnboundedReceiver<(u16, oneshot::Sender<Reply>)>,
    opened: usize,
}

fn entry(id: &str, port: u16, state: State) -> Entry {
    let (addr, zone, kind) = (SocketAddr::from((Ipv4Addr::LOCALHOST, port)), String::new(), String::new());
    Entry { id: id.into(), addr, zone, kind, cell: 0, state, weight: None, started_ms: 0.0 }
}

impl Stage {
    /// A core with two caches, `s1` at port 1 and `s2` at port 2.
    fn new(steered: Option<Vec<PersistentOrder>>) -> Stage {
        let settings = r#"{"Classes":[{"Name":"read","Aim":300.0,"HardLimit":60000.0,"Effect":"safe"}],
            "Limits":{"Cancel":true,"MaxAttempts":3}}"#;
        let setup = Setup::try_from(serde_json::from_str::<Stated>(settings).unwrap()).unwrap();
        let servers = vec![entry("s1", 1, State::Serving), entry("s2", 2, State::Serving)];
        let known = List { full: true, servers };
        let (connections, memory) = (1000, 8 << 20);
        let book = lilacquay_metrics::Book::new(Vec::new());
        let portion = Portion::default();
        let options = Options {
            setup,
            seed: 1,
            known,
            connections,
            memory,
            quotas: None,
            book,
            version: None,
            learned: None,
            portion,
            steered,
            lists: None,
        };
        let (to, asked) = mpsc::unbounded_channel();
        let (driver, Handles { requests, members, orders }) = Driver::new(options, Scripted(to));
        tokio::spawn(driver.run());
        Stage { requests, members, orders, asked, opened: 0 }
    }

    /// Opens a read; tells which server is asked for it.
    async fn read(&mut self) -> (Pending, u16, oneshot::Sender<Reply>) {
        self.opened += 1;
        let id = Bytes::from(format!("id-{}", self.opened));
        let call = Call::new(format!("k{}", self.opened), id, Bytes::from("d=1"), None, 60_000_000).unwrap();
        let pending = self.requests.open(call, Instant::now(), 100).expect("an id of its own");
        let (port, answer) = timeout(PATIENCE, self.asked.recv()).await.expect("asked in time").unwrap();
        (pending, port, answer)
    }

    /// Serves fifty reads; tells how many went to each server.
    async fn fifty(&mut self) -> [usize; 2] {
        let mut to = [0; 2];
        for _ in 0..50 {
            let (pending, port, answer) = self.read().await;
            to[usize::from(port) - 1] += 1;
            sleep(TOOK).await;
            answer.send(Reply::served(Made::value("v"))).unwrap();
            assert!(matches!(pending.await, Answer::Served(_)));
        }
        to
    }

    async fn order(&self, server: &str, order: Order) -> Result<AppliedOrder, Refusal> {
        let ask = OrderRequest { server: server.into(), order, lasting: false, force: false, seen: None };
        self.orders.steer(ask).await.expect("a core that is steered")
    }
}

#[tokio::test(start_paused = true)]
async fn a_drain_lets_what_is_out_finish_and_sends_nothing_new_until_it_is_lifted() {
    let mut stage = Stage::new(Some(Vec::new()));
    let before = stage.fifty().await;
    assert!(before.iter().all(|&n| n > 10), "{before:?}");
    let (pending, port, answer) = loop {
        let read = stage.read().await;
        if read.1 == 1 {
            break read;
        }
        read.2.send(Reply::served(Made::value("v"))).unwrap();
    };
    assert_eq!(stage.order("s1", Order::Drain).await.unwrap().replaced, None);
    assert_eq!(stage.fifty().await, [0, 50], "nothing new");
    answer.send(Reply::served(Made::value("late"))).unwrap();
    assert!(matches!(pending.await, Answer::Served(made) if made == Made::value("late")));
    assert_eq!(port, 1);
    // Neither does word from the list bring it back, nor would the other be let go.
    assert!(stage.members.list(List { full: false, servers: vec![entry("s1", 1, State::Serving)] }));
    assert_eq!(stage.fifty().await, [0, 50], "the list does not override an operator");
    assert_eq!(stage.order("s2", Order::Drain).await, Err(Refusal::LastServing));
    stage.order("s1", Order::Undrain).await.unwrap();
    let back = stage.fifty().await;
    assert!(back[0] > 10, "back in service");
}

#[tokio::test(start_paused = true)]
async fn one_that_is_left_out_comes_back_by_itself() {
    let mut stage = Stage::new(Some(Vec::new()));
    stage.order("s1", Order::Exclude(1_000)).await.unwrap();
    let back = async { while stage.fifty().await[0] == 0 {} };
    timeout(PATIENCE, back).await.expect("back in time");
}

#[tokio::test(start_paused = true)]
async fn orders_that_last_hold_from_the_first_list_on_and_without_steering_none_is_obeyed() {
    let mut stage =
        Stage::new(Some(vec![PersistentOrder { server: "s2".into(), remaining: None, mark: None }]));
    assert_eq!(stage.fifty().await, [50, 0]);
    let stage = Stage::new(None);
    let ask =
        OrderRequest { server: "s1".into(), order: Order::Drain, lasting: false, force: false, seen: None };
    assert!(stage.orders.steer(ask).await.is_err());
}
