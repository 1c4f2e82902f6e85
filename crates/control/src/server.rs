//! The node's side: questions come in, orders go to the core.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{SinkExt, StreamExt};
use lilacquay_core::{Holding, Orders, log};
use lilacquay_steer::{Done, Kept, Refusal};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{Mutex, Semaphore};
use tokio::task::spawn_blocking;
use tokio::time::timeout;
use tokio_util::codec::{Framed, LinesCodec};

use crate::folder::Folder;
use crate::words::{Answer, LONGEST, Question, Server, Standing, VERSION, Verb};

/// Who speaks at once; others wait until one is done.
const MOST: usize = 16;
/// Who neither asks nor reads for so long is hung up on.
const IDLE: Duration = Duration::from_secs(60);

/// A node's control socket.
pub struct Control {
    listener: UnixListener,
    inner: Arc<Inner>,
}

struct Inner {
    folder: Folder,
    orders: Orders,
    places: Arc<Semaphore>,
    /// Held from the look at what holds until it is written. Guards against: an older state written over a newer one.
    recording: Mutex<()>,
}

impl Control {
    /// Listens in a folder. Orders go to that core, which must be steered.
    ///
    /// # Errors
    /// If another node listens there, or the socket can't be made.
    pub fn listen(folder: Folder, orders: Orders) -> io::Result<Control> {
        folder.clear()?;
        let listener = UnixListener::bind(folder.socket())?;
        folder.guard()?;
        let (places, recording) = (Arc::new(Semaphore::new(MOST)), Mutex::default());
        Ok(Control { listener, inner: Arc::new(Inner { folder, orders, places, recording }) })
    }

    /// Serves until it is dropped. Costs nothing while nobody asks.
    pub async fn run(self) {
        loop {
            let Ok(place) = self.inner.places.clone().acquire_owned().await else { return };
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    let inner = self.inner.clone();
                    tokio::spawn(async move {
                        inner.attend(stream).await;
                        drop(place);
                    });
                }
                Err(error) => {
                    log(format_args!("control: {error}"));
                    tokio::time::sleep(Duration::from_millis(100)).await; // descriptors may be free again by then
                }
            }
        }
    }
}

impl Inner {
    async fn attend(&self, stream: UnixStream) {
        let mut lines = Framed::new(stream, LinesCodec::new_with_max_length(LONGEST));
        while let Ok(Some(line)) = timeout(IDLE, lines.next()).await {
            let answer = match line {
                Ok(line) => self.answer(&line).await,
                Err(error) => Answer::Error { v: VERSION, what: format!("no line: {error}") },
            };
            let last = matches!(answer, Answer::Error { .. });
            let text = serde_json::to_string(&answer).unwrap_or_default();
            if !matches!(timeout(IDLE, lines.send(text)).await, Ok(Ok(()))) || last {
                return;
            }
        }
    }

    async fn answer(&self, line: &str) -> Answer {
        let wrong = |what: String| Answer::Error { v: VERSION, what };
        let version =
            serde_json::from_str::<serde_json::Value>(line).ok().and_then(|asked| asked["v"].as_u64());
        match version {
            Some(v) if v == u64::from(VERSION) => {}
            Some(v) => {
                return wrong(format!("this node speaks version {VERSION}, not {v}; use its own program"));
            }
            None => return wrong("no question; write a line of JSON with \"v\" and \"ask\"".into()),
        }
        let verb = match serde_json::from_str::<Question>(line) {
            Ok(question) => question.verb,
            Err(error) => return wrong(format!("no question: {error}")),
        };
        match verb.order() {
            None if verb == Verb::Servers => match self.orders.servers().await {
                Ok(servers) => Answer::Servers { servers: servers.into_iter().map(Server::new).collect() },
                Err(_) => ended(),
            },
            None => self.holding().await,
            Some(ask) => match self.orders.steer(ask).await {
                Ok(Ok(done)) => self.obeyed(verb, &done).await,
                Ok(Err(refusal)) => self.refused(verb, &refusal).await,
                Err(_) => ended(),
            },
        }
    }

    async fn obeyed(&self, verb: Verb, done: &Done) -> Answer {
        let _turn = self.recording.lock().await;
        let Ok(holding) = self.orders.holding().await else { return ended() };
        let replaced = done.replaced.map(|held| Standing::new(server(&verb), held, holding.now));
        let outcome = format!("obeyed as order {}", done.number);
        let unrecorded = self.record(verb, outcome, Some(holding.kept)).await.err();
        let unrecorded = unrecorded.map(|error| error.to_string());
        Answer::Obeyed { number: done.number, replaced, unrecorded }
    }

    async fn refused(&self, verb: Verb, refusal: &Refusal) -> Answer {
        let why = refusal.to_string();
        if let Err(error) = self.record(verb, format!("refused: {why}"), None).await {
            log(format_args!("control: a refused order is not recorded: {error}"));
        }
        Answer::Refused { why }
    }

    async fn holding(&self) -> Answer {
        let Ok(Holding { orders, now, .. }) = self.orders.holding().await else { return ended() };
        let orders = orders.iter().map(|(server, held)| Standing::new(server, *held, now)).collect();
        Answer::Orders { orders }
    }

    /// Records an order, and keeps those that last. A disk that is full or slow holds up nobody else.
    async fn record(&self, verb: Verb, outcome: String, kept: Option<Vec<Kept>>) -> io::Result<()> {
        let folder = self.folder.clone();
        let write = move || {
            let kept = kept.map_or(Ok(()), |kept| folder.keep(kept));
            folder.audit(&verb, &outcome).and(kept)
        };
        spawn_blocking(write).await.map_err(io::Error::other)?
    }
}

fn server(verb: &Verb) -> &str {
    match verb {
        Verb::Orders | Verb::Servers => "",
        Verb::Drain { server, .. } | Verb::Undrain { server, .. } => server,
    }
}

fn ended() -> Answer {
    Answer::Error { v: VERSION, what: "the node is ending".into() }
}
