//! Speaks to the node, on threads of its own: whatever the terminal does, the socket is read; whatever the node does, the
//! terminal is served.

use std::path::{Path, PathBuf};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacquay_control::{Answer, Client, ClientError, ControlRequest};
use lilacquay_observe::{EventBatch, Snapshot};

use crate::model::Input;

/// How often a snapshot is asked for; a node that is silent for so long is held to be lost.
const EVERY: Duration = Duration::from_secs(1);
const PATIENCE: Duration = Duration::from_secs(5);
/// A snapshot that was taken longer ago is not shown as new: it waited in the socket while this process stood still.
const LATE_MS: u64 = 3_000;
/// Pauses between tries to connect.
const FIRST: Duration = Duration::from_millis(250);
const LONGEST: Duration = Duration::from_secs(2);
/// Events that wait to be taken; of more the oldest go.
const EVENTS: usize = 1_000;
/// Orders that wait.
const ORDERS: usize = 8;

/// What has come and was not yet taken: the latest snapshot alone.
#[derive(Default)]
struct Inbox {
    /// The node, or why it can't be heard.
    latest: Option<Result<Box<Snapshot>, String>>,
    events: EventBatch,
    outcomes: Vec<(ControlRequest, Result<Answer, String>)>,
}

/// The way to the node.
pub(crate) struct Link {
    inbox: Arc<Mutex<Inbox>>,
    orders: SyncSender<ControlRequest>,
}

impl Link {
    /// Begins to connect, and goes on for as long as the process lasts.
    pub fn start(state: PathBuf) -> Link {
        let inbox: Arc<Mutex<Inbox>> = Arc::default();
        let (orders, given) = sync_channel::<ControlRequest>(ORDERS);
        let (watched, folder) = (inbox.clone(), state.clone());
        thread::spawn(move || {
            let mut pause = FIRST;
            loop {
                let why = watch(&folder, &watched, &mut pause);
                lock(&watched).latest = Some(Err(why));
                thread::sleep(pause);
                pause = (pause * 2).min(LONGEST);
            }
        });
        let outcomes = inbox.clone();
        thread::spawn(move || {
            for verb in given {
                let answer = Client::connect(&state).and_then(|mut client| client.request(verb.clone()));
                lock(&outcomes).outcomes.push((verb, answer.map_err(|error| error.to_string())));
            }
        });
        Link { inbox, orders }
    }

    /// Gives an order; its outcome comes as an input.
    pub fn order(&self, verb: ControlRequest) {
        if let Err(TrySendError::Full(verb) | TrySendError::Disconnected(verb)) = self.orders.try_send(verb) {
            let why = "too many orders wait for their answers; this one was not sent".to_owned();
            lock(&self.inbox).outcomes.push((verb, Err(why)));
        }
    }

    /// What has come since this was asked last: the latest of the node, and all else in order.
    pub fn take(&self) -> Vec<Input> {
        let Inbox { latest, events, outcomes } = std::mem::take(&mut *lock(&self.inbox));
        let mut inputs = Vec::new();
        inputs.extend(latest.map(|latest| match latest {
            Ok(snapshot) => {
                let late = unix_ms().saturating_sub(snapshot.at_ms) > LATE_MS;
                Input::Snapshot { snapshot, late }
            }
            Err(why) => Input::Lost(why),
        }));
        if !events.events.is_empty() {
            inputs.push(Input::Events(events));
        }
        inputs.extend(outcomes.into_iter().map(|(verb, answer)| Input::Outcome { verb, answer }));
        inputs
    }
}

/// Watches until the connection is lost; tells why it was.
fn watch(state: &Path, inbox: &Mutex<Inbox>, pause: &mut Duration) -> String {
    let verb = ControlRequest::Watch { every_ms: EVERY.as_millis() as u64, after: 0 };
    let stream = Client::connect(state).and_then(|client| client.stream(verb, Some(PATIENCE)));
    let mut stream = match stream {
        Ok(stream) => stream,
        Err(error) => return error.to_string(),
    };
    loop {
        match stream.next_answer() {
            Ok(Answer::Snapshot { snapshot }) => {
                *pause = FIRST;
                lock(inbox).latest = Some(Ok(snapshot));
            }
            Ok(Answer::Events { batch }) => {
                let events = &mut lock(inbox).events.events;
                events.extend(batch.events);
                let over = events.len().saturating_sub(EVENTS);
                events.drain(..over);
            }
            Ok(_) => return "the node answered something else; use its own program".into(),
            Err(ClientError::Broken(error)) => return format!("the connection to the node broke: {error}"),
            Err(error) => return error.to_string(),
        }
    }
}

fn lock(inbox: &Mutex<Inbox>) -> MutexGuard<'_, Inbox> {
    inbox.lock().unwrap_or_else(PoisonError::into_inner)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
