//! Carries out what the follower decides: calls over gRPC, the kept file, and the word to the core.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use lilacquay_core::{Clock, Members};
use lilacquay_etcd::api::{RangeRequest, WatchCreateRequest};
use lilacquay_etcd::{Asker, Client, Error, Settings};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle, spawn_blocking};
use tokio::time::sleep_until;
use tokio_util::task::AbortOnDropHandle;
use tracing::{info, warn};

use super::follower::{Action, Call, Event, Follower, Note, Options};
use super::list_cache::CachedList;

/// Answers that wait to be taken; a stream that tells more waits in turn.
const QUEUE: usize = 8;

/// Follows the list and tells it to the core.
pub struct Source {
    members: Members,
    follower: Follower,
    settings: Settings,
    clock: Clock,
    folder: Option<PathBuf>,
    /// A file is being written; a second one waits for it.
    writing: Option<JoinHandle<()>>,
    /// The last one could not be written.
    keeping_fails: Arc<AtomicBool>,
    /// The source that this one goes before: ended by the first list.
    rival: Option<AbortHandle>,
    connected: Connected,
    to_self: mpsc::Sender<Event>,
    answers: mpsc::Receiver<Event>,
    call: Option<AbortOnDropHandle<()>>,
    asker: Arc<Mutex<Option<Asker>>>,
}

/// The client in use, with its endpoint's number.
type Connected = Arc<Mutex<Option<(usize, Client)>>>;

impl Source {
    /// A source by these settings. With a folder, the list is kept there, and what is kept there serves until the
    /// store has been heard. The first list ends the rival, if there is one.
    pub fn new(
        members: Members,
        settings: Settings,
        prefix: &str,
        seed: u64,
        folder: Option<PathBuf>,
        rival: Option<AbortHandle>,
    ) -> Self {
        let kept = folder.as_ref().and_then(|folder| {
            let _ = std::fs::create_dir_all(folder); // one that can't be had shows when it is written to
            CachedList::read_or_quarantine(folder).unwrap_or_else(|error| {
                warn!(source = "etcd", "the kept list can't be used: {error}");
                None
            })
        });
        let options = Options {
            prefix: prefix.to_owned(),
            endpoints: settings.endpoints.len(),
            seed,
            pace: Default::default(),
            keeps: folder.is_some(),
        };
        let (to_self, answers) = mpsc::channel(QUEUE);
        Source {
            members,
            follower: Follower::new(options, kept),
            settings,
            clock: Clock::new(),
            folder,
            writing: None,
            keeping_fails: Arc::default(),
            rival,
            connected: Arc::default(),
            to_self,
            answers,
            call: None,
            asker: Arc::default(),
        }
    }

    /// Goes on until the node ends. New settings break off what is out, and the list is read at the new endpoints.
    pub async fn run(mut self, mut settings: watch::Receiver<Settings>) {
        let mut actions = Vec::new();
        let mut event = Event::Tick;
        loop {
            self.follower.on_event(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                if !self.carry_out(action) {
                    return;
                }
            }
            let wake = self.clock.instant(self.follower.wake_at());
            event = tokio::select! {
                biased;
                Ok(()) = settings.changed() => {
                    self.settings = settings.borrow_and_update().clone();
                    *lock(&self.connected) = None;
                    Event::Moved(self.settings.endpoints.len())
                }
                Some(event) = self.answers.recv() => event,
                () = sleep_until(wake) => Event::Tick,
            };
        }
    }

    /// False once the core has ended.
    fn carry_out(&mut self, action: Action) -> bool {
        match action {
            Action::Range(call, endpoint, asked) => self.range(call, endpoint, asked),
            Action::Watch(call, endpoint, asked) => self.watch(call, endpoint, asked),
            Action::Ask => lock(&self.asker).iter().for_each(Asker::ask),
            Action::Close => self.close(),
            Action::Tell(change) => {
                if let Some(rival) = self.rival.take() {
                    rival.abort();
                    info!(source = "etcd", "etcd goes before discovery from here on");
                }
                return self.members.list(change.list);
            }
            Action::Keep => self.keep(),
            Action::Note(note) => self.note(&note),
        }
        true
    }

    fn note(&self, note: &Note) {
        let endpoint = |n: usize| self.settings.endpoints.get(n).map_or("", String::as_str);
        match note {
            Note::Following(_, _, n) => info!(source = "etcd", endpoint = endpoint(*n), "{note}"),
            Note::Kept(..) => info!(source = "etcd", "{note}"),
            Note::Lost(n, ..) => warn!(source = "etcd", endpoint = endpoint(*n), "{note}"),
            _ => warn!(source = "etcd", "{note}"),
        }
    }

    fn close(&mut self) {
        self.call = None;
        *lock(&self.asker) = None;
        // The next call connects anew: what failed on a connection may fail on it again.
        *lock(&self.connected) = None;
    }

    /// Runs a call in place of the one that is open.
    fn run_call(&mut self, call: Call, work: impl Future<Output = Result<(), Error>> + Send + 'static) {
        *lock(&self.asker) = None;
        let to = self.to_self.clone();
        let task = tokio::spawn(async move {
            if let Err(error) = work.await {
                let _ = to.send(Event::Failed(call, error.fault, error.what)).await; // the node may have ended
            }
        });
        self.call = Some(AbortOnDropHandle::new(task));
    }

    fn range(&mut self, call: Call, endpoint: usize, asked: RangeRequest) {
        let (to, client) = (self.to_self.clone(), self.client(endpoint));
        self.run_call(call, async move {
            let page = client.await?.range(asked).await?;
            let _ = to.send(Event::Page(call, page)).await;
            Ok(())
        });
    }

    fn watch(&mut self, call: Call, endpoint: usize, asked: WatchCreateRequest) {
        let (to, client, asker) = (self.to_self.clone(), self.client(endpoint), self.asker.clone());
        self.run_call(call, async move {
            let mut stream = client.await?.watch(asked).await?;
            *lock(&asker) = Some(stream.asker());
            loop {
                let told = stream.next().await?;
                if to.send(Event::Watched(call, told)).await.is_err() {
                    return Ok(());
                }
            }
        });
    }

    /// The client for an endpoint: the one in use, or a new one.
    fn client(&self, endpoint: usize) -> impl Future<Output = Result<Client, Error>> + Send + 'static {
        let (connected, settings) = (self.connected.clone(), self.settings.clone());
        async move {
            let used = lock(&connected).clone().filter(|(number, _)| *number == endpoint);
            if let Some((_, client)) = used {
                return Ok(client);
            }
            let client = Client::connect(&settings, endpoint).await?;
            *lock(&connected) = Some((endpoint, client.clone()));
            Ok(client)
        }
    }

    /// Writes the list on a thread of its own: a disk may take its time.
    fn keep(&mut self) {
        let (Some(folder), Some(kept)) = (self.folder.clone(), self.follower.kept()) else { return };
        if self.writing.as_ref().is_some_and(|writing| !writing.is_finished()) {
            return; // a slow disk gets the next one
        }
        let failing = self.keeping_fails.clone();
        self.writing = Some(spawn_blocking(move || {
            // Said once, not every second: a disk that is full must not fill the log.
            match kept.write(&folder) {
                Ok(()) => failing.store(false, Ordering::Relaxed),
                Err(error) if !failing.swap(true, Ordering::Relaxed) => {
                    warn!(source = "etcd", "the list can't be kept for now: {error}");
                }
                Err(_) => {}
            }
        }));
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
