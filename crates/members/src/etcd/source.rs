//! Carries out the actions of the follower: gRPC calls, the cache file, and updates to the core.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use lilacquay_core::{Clock, MembershipHandle};
use lilacquay_etcd::api::{RangeRequest, WatchCreateRequest};
use lilacquay_etcd::{Client, Error, ProgressRequester, Settings};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle, spawn_blocking};
use tokio::time::sleep_until;
use tokio_util::task::AbortOnDropHandle;
use tracing::{info, warn};

use super::follower::{Action, CallId, Event, Follower, Notice, Options};
use super::list_cache::CachedList;

/// Capacity of the event queue; a watch stream with more responses is delayed by backpressure.
const EVENT_QUEUE_CAPACITY: usize = 8;

/// Follows the list in etcd and sends it to the core.
pub struct Source {
    members: MembershipHandle,
    follower: Follower,
    settings: Settings,
    clock: Clock,
    folder: Option<PathBuf>,
    /// The current write of the cache file. No second write starts before it has finished.
    cache_write: Option<JoinHandle<()>>,
    /// Whether the last write of the cache file failed.
    cache_write_failed: Arc<AtomicBool>,
    /// The source with lower precedence, which is stopped when this one has its first list.
    superseded_source: Option<AbortHandle>,
    connected_client: ConnectedClient,
    event_sender: mpsc::Sender<Event>,
    events: mpsc::Receiver<Event>,
    /// The task of the open call.
    call: Option<AbortOnDropHandle<()>>,
    /// Handle for progress requests on the open watch.
    progress_requester: Arc<Mutex<Option<ProgressRequester>>>,
}

/// The connected client with the index of its endpoint.
type ConnectedClient = Arc<Mutex<Option<(usize, Client)>>>;

impl Source {
    /// Creates a source. With a folder, the list is cached there, and a cached list is used until the store answers. The
    /// first list stops `superseded_source`, if there is one.
    pub fn new(
        members: MembershipHandle,
        settings: Settings,
        prefix: &str,
        seed: u64,
        folder: Option<PathBuf>,
        superseded_source: Option<AbortHandle>,
    ) -> Self {
        let cached = folder.as_ref().and_then(|folder| {
            let _ = std::fs::create_dir_all(folder); // a failure is reported by the first write to it
            CachedList::read_or_quarantine(folder).unwrap_or_else(|error| {
                warn!(source = "etcd", "the kept list can't be used: {error}");
                None
            })
        });
        let options = Options {
            prefix: prefix.to_owned(),
            endpoints: settings.endpoints.len(),
            seed,
            limits: Default::default(),
            saves_cache: folder.is_some(),
        };
        let (event_sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        Source {
            members,
            follower: Follower::new(options, cached),
            settings,
            clock: Clock::new(),
            folder,
            cache_write: None,
            cache_write_failed: Arc::default(),
            superseded_source,
            connected_client: Arc::default(),
            event_sender,
            events,
            call: None,
            progress_requester: Arc::default(),
        }
    }

    /// Runs until the core has ended. New settings cancel the open call, and the list is read from the new endpoints.
    pub async fn run(mut self, mut settings: watch::Receiver<Settings>) {
        let mut actions = Vec::new();
        let mut event = Event::Tick;
        loop {
            self.follower.on_event(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                if !self.execute(action) {
                    return;
                }
            }
            let wakeup = self.clock.instant(self.follower.next_wakeup());
            event = tokio::select! {
                biased;
                Ok(()) = settings.changed() => {
                    self.settings = settings.borrow_and_update().clone();
                    *lock(&self.connected_client) = None;
                    Event::EndpointsChanged(self.settings.endpoints.len())
                }
                Some(event) = self.events.recv() => event,
                () = sleep_until(wakeup) => Event::Tick,
            };
        }
    }

    /// Executes an action. False once the core has ended.
    fn execute(&mut self, action: Action) -> bool {
        match action {
            Action::ReadPage(call, endpoint, request) => self.read_page(call, endpoint, request),
            Action::OpenWatch(call, endpoint, request) => self.open_watch(call, endpoint, request),
            Action::RequestProgress => {
                lock(&self.progress_requester).iter().for_each(ProgressRequester::request_progress);
            }
            Action::CloseCall => self.close_call(),
            Action::Publish(update) => {
                if let Some(superseded_source) = self.superseded_source.take() {
                    superseded_source.abort();
                    info!(source = "etcd", "etcd goes before discovery from here on");
                }
                return self.members.update_list(update.list);
            }
            Action::SaveCache => self.save_cache(),
            Action::Log(notice) => self.log(&notice),
        }
        true
    }

    fn log(&self, notice: &Notice) {
        let endpoint = |index: usize| self.settings.endpoints.get(index).map_or("", String::as_str);
        match notice {
            Notice::Following(_, _, index) => info!(source = "etcd", endpoint = endpoint(*index), "{notice}"),
            Notice::CacheLoaded(..) => info!(source = "etcd", "{notice}"),
            Notice::CallFailed(index, ..) => warn!(source = "etcd", endpoint = endpoint(*index), "{notice}"),
            _ => warn!(source = "etcd", "{notice}"),
        }
    }

    fn close_call(&mut self) {
        self.call = None;
        *lock(&self.progress_requester) = None;
        // The next call opens a new connection, since a call that failed on a connection may fail on it again.
        *lock(&self.connected_client) = None;
    }

    /// Runs a call and cancels the one that is open.
    fn run_call(&mut self, call: CallId, future: impl Future<Output = Result<(), Error>> + Send + 'static) {
        *lock(&self.progress_requester) = None;
        let events = self.event_sender.clone();
        let task = tokio::spawn(async move {
            if let Err(error) = future.await {
                let _ = events.send(Event::CallFailed(call, error.kind, error.message)).await; // fails if the source has ended
            }
        });
        self.call = Some(AbortOnDropHandle::new(task));
    }

    fn read_page(&mut self, call: CallId, endpoint: usize, request: RangeRequest) {
        let (events, client) = (self.event_sender.clone(), self.client(endpoint));
        self.run_call(call, async move {
            let page = client.await?.range(request).await?;
            let _ = events.send(Event::Page(call, page)).await;
            Ok(())
        });
    }

    fn open_watch(&mut self, call: CallId, endpoint: usize, request: WatchCreateRequest) {
        let (events, client) = (self.event_sender.clone(), self.client(endpoint));
        let progress_requester = self.progress_requester.clone();
        self.run_call(call, async move {
            let mut stream = client.await?.watch(request).await?;
            *lock(&progress_requester) = Some(stream.progress_requester());
            loop {
                let response = stream.next().await?;
                if events.send(Event::WatchResponse(call, response)).await.is_err() {
                    return Ok(());
                }
            }
        });
    }

    /// The client for an endpoint: the connected one, or a new one.
    fn client(&self, endpoint: usize) -> impl Future<Output = Result<Client, Error>> + Send + 'static {
        let (connected_client, settings) = (self.connected_client.clone(), self.settings.clone());
        async move {
            let reusable = lock(&connected_client).clone().filter(|(index, _)| *index == endpoint);
            if let Some((_, client)) = reusable {
                return Ok(client);
            }
            let client = Client::connect(&settings, endpoint).await?;
            *lock(&connected_client) = Some((endpoint, client.clone()));
            Ok(client)
        }
    }

    /// Writes the cache file on a blocking thread, since the disk may be slow.
    fn save_cache(&mut self) {
        let (Some(folder), Some(list)) = (self.folder.clone(), self.follower.to_cached_list()) else {
            return;
        };
        if self.cache_write.as_ref().is_some_and(|write| !write.is_finished()) {
            return; // a slow disk skips versions; a later save writes a newer one
        }
        let write_failed = self.cache_write_failed.clone();
        self.cache_write = Some(spawn_blocking(move || {
            // Logged once rather than every second, so that a full disk does not fill the log.
            match list.write(&folder) {
                Ok(()) => write_failed.store(false, Ordering::Relaxed),
                Err(error) if !write_failed.swap(true, Ordering::Relaxed) => {
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
