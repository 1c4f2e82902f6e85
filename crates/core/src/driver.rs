//! The task that owns the balancer, the open requests and the timers. Receives messages from front ends, membership
//! sources, operators and attempts, passes them to the balancer as events, and executes the actions that it returns.

mod attempts;
mod introspection;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use lilacquay_metrics::{Metrics, RequestOutcome};
use lilacquay_observe::{AnswerKind, ReplicaSummary};
use lilacquay_overrides::PersistentOrder;
use lilacquay_quota::Ticket;
use paddlefold::setup::Setup;
use paddlefold::{
    Action, Balancer, Event, Learned, ListScope, Micros, Outcome, Request, RequestId, ServerId, TimerToken,
};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::time::{DelayQueue, delay_queue};
use tracing::{debug, info, warn};

use crate::admission::Admission;
use crate::buffer_budget::BufferBudget;
use crate::call::{Answer, Call};
use crate::clock::Clock;
use crate::directory::{Directory, ListChange};
use crate::list::ServerList;
use crate::members::MembershipHandle;
use crate::message::{
    CoreHandle, HandoverState, ListUpdate, MembershipSummary, Message, NewRequest, ReplicatedUpdate,
};
use crate::overrides::{OverriddenList, ServerStatus};
use crate::permit::{ClientLeftAt, PermitRequest};
use crate::request_log::{RequestLog, answer_kind};
use crate::requests::{AnswerSender, Requests};
use crate::resource_share::ResourceShare;
use crate::stall;
use crate::upstream::{Availability, Reply, Upstream};
use crate::value_stream::StreamStart;
use crate::write_registry::WriteRegistry;

/// Subtracted from a client's time-out, to allow for the transmission of the answer and the granularity of timers.
const ANSWER_MARGIN_US: Micros = 5_000;
/// The upper bound on timer delays. The timer queue panics on delays of some years, which unusual settings could
/// request.
const MAX_TIMER_DELAY: Duration = Duration::from_secs(86_400);
/// How long before the process ends all open requests are answered. Leaves time to write the answers, also for a
/// process that is stalled.
const FINAL_ANSWERS_LEAD_TIME: Duration = Duration::from_millis(100);
/// The interval at which idle connections are checked.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which avoided caches are counted, extended by its own length for every
/// [`CACHES_PER_COUNT_INTERVAL`] caches.
const CACHE_COUNT_INTERVAL: Duration = Duration::from_millis(300);
const CACHES_PER_COUNT_INTERVAL: u32 = 1000;
/// A cache that the balancer excludes counts as avoided once nothing has been sent to it for this long.
const AVOIDED_AFTER: Duration = Duration::from_millis(500);
/// A timer that fires this late shows that the process was stalled, which is logged.
const LOGGED_STALL_THRESHOLD: Duration = Duration::from_millis(30);
/// The maximum number of list changes that are logged one by one. Of more, only the counts are logged.
const MAX_LOGGED_CHANGES: usize = 12;
/// How long the slowness that other nodes have observed is used unless they report it again.
const PEER_SLOWNESS_TTL_US: Micros = 10_000_000;

/// An attempt that has run to its end.
struct FinishedAttempt<C> {
    id: RequestId,
    attempt: usize,
    reply: Reply,
    server: ServerId,
    /// Identifies the process of the server that the connection is to.
    availability: Availability,
    /// The connection, if another request may reuse it.
    connection: Option<C>,
}

/// A request that has not been answered yet or has an attempt in progress.
struct OpenRequest {
    call: Arc<Call>,
    /// Identifies the call to the quotas when it ends.
    quota_ticket: Option<Ticket>,
    /// Taken by the final answer.
    answer: Option<AnswerSender>,
    /// When the client's time-out expires, less [`ANSWER_MARGIN_US`].
    deadline: Instant,
    /// Set once the client has disconnected.
    client_left: ClientLeftAt,
    /// The attempts by number; none once an attempt has ended.
    attempts: Vec<Option<RunningAttempt>>,
    /// Whether a large value is being streamed to the client. The end of the stream is then the end of the request.
    is_streaming: bool,
}

impl OpenRequest {
    /// Whether the request has been answered and no attempt is in progress.
    fn is_done(&self) -> bool {
        self.answer.is_none() && self.attempts.iter().all(Option::is_none)
    }
}

struct RunningAttempt {
    server: ServerId,
    started_at: Instant,
    task: AbortHandle,
    /// Whether the attempt has received a permit to write.
    has_permit: bool,
    /// The attempt's time-out. None once a large value is being streamed, which is not subject to it.
    timeout: Option<delay_queue::Key>,
    /// The time from the start until the head of a large value arrived.
    stream_started_after: Option<Duration>,
}

enum TimerKind {
    Balancer(TimerToken),
    AttemptTimeout(RequestId, usize),
    IdleSweep,
    CacheCount,
    FinalAnswers,
}

/// The current numbers of connections and requests of a driver.
#[derive(Debug, Default)]
pub struct Gauges {
    connections: AtomicUsize,
    open_requests: AtomicUsize,
}

impl Gauges {
    /// The number of connections to servers, in use or idle.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
    /// The number of requests that have not been answered yet or have an attempt in progress.
    pub fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }
}

/// The components and initial state of a driver.
pub struct Options {
    /// The settings.
    pub setup: Setup,
    /// The seed of the balancer's random choices.
    pub seed: u64,
    /// The last known list of servers. It is used as a full list.
    pub initial_list: ServerList,
    /// The maximum number of connections to servers.
    pub max_connections: usize,
    /// The memory that open requests may hold before front ends stop reading more.
    pub request_memory_bytes: usize,
    /// The quotas that are applied before the balancer sees a request, if any.
    pub quotas: Option<Admission>,
    /// The metrics that the driver updates.
    pub metrics: Metrics,
    /// The version of the initial list, if it has one from before this process, such as from a predecessor process.
    pub list_version: Option<u64>,
    /// What the balancer of a predecessor process had learned.
    pub learned: Option<Learned>,
    /// This process's share of all limits.
    pub resource_share: ResourceShare,
    /// If the state of servers may be overridden, by operators or by replicated state: the operators' orders that
    /// persisted over a restart, which may be none. If absent, nothing overrides it.
    pub persisted_orders: Option<Vec<PersistentOrder>>,
    /// Receives each list that the node's own source reports.
    pub list_updates: Option<UnboundedSender<ListUpdate>>,
}

/// The handles for communication with a driver. It runs as long as any of them exists.
pub struct Handles {
    /// For protocol front ends.
    pub requests: Requests,
    /// For membership sources.
    pub members: MembershipHandle,
    /// For the process that runs the driver.
    pub core: CoreHandle,
    /// For the other process of the node.
    pub recent_writes: WriteRegistry,
}

/// Executes the balancer's decisions and passes events to it.
pub struct Driver<U: Upstream> {
    balancer: Balancer,
    setup: Setup,
    clock: Clock,
    upstream: U,
    quotas: Option<Admission>,
    overrides: Option<OverriddenList>,
    list_updates: Option<UnboundedSender<ListUpdate>>,
    request_log: RequestLog,
    /// The state of the other nodes, if the nodes communicate with one another.
    membership_summary: Option<MembershipSummary>,
    /// Statistics on the state that the nodes replicate: its records and conflicts, whether this node is behind, and
    /// the servers left out.
    replication_statistics: Option<ReplicaSummary>,
    metrics: Metrics,
    /// The version of the list, if its source has one.
    list_version: Option<u64>,
    /// This process's share of all limits.
    resource_share: ResourceShare,
    directory: Directory<U::Connection>,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// The number of attempts in progress. Each holds a connection or is establishing one.
    running_attempts: usize,
    max_connections: usize,
    gauges: Arc<Gauges>,
    timers: DelayQueue<TimerKind>,
    /// Events that have not been passed to the balancer yet.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    /// Notified when the balancer asks for a subscription to the list.
    subscribe: Arc<Notify>,
    messages: UnboundedReceiver<Message>,
    /// The ids of requests that may have taken effect.
    recent_writes: WriteRegistry,
    buffer_budget: Arc<BufferBudget>,
    stream_start_sender: UnboundedSender<StreamStart>,
    stream_starts: UnboundedReceiver<StreamStart>,
    permit_request_sender: UnboundedSender<PermitRequest>,
    permit_requests: UnboundedReceiver<PermitRequest>,
    /// Set once no more requests are accepted.
    shutting_down: Arc<AtomicBool>,
    finished_sender: UnboundedSender<FinishedAttempt<U::Connection>>,
    finished_attempts: UnboundedReceiver<FinishedAttempt<U::Connection>>,
}

impl<U: Upstream> Driver<U> {
    /// Creates a driver, which must then be [run](Driver::run), and the handles to communicate with it.
    pub fn new(options: Options, upstream: U) -> (Self, Handles) {
        let (clock, settings) = (Clock::new(), options.setup.settings.clone());
        let (sender, messages) = unbounded_channel();
        let (finished_sender, finished_attempts) = unbounded_channel();
        let (stream_start_sender, stream_starts) = unbounded_channel();
        let (permit_request_sender, permit_requests) = unbounded_channel();
        let subscribe = Arc::new(Notify::new());
        let subscribe_signal = settings.must_subscribe.then(|| subscribe.clone());
        let request_log = RequestLog::new(clock, &options.setup.names);
        let mut driver = Driver {
            directory: Directory::new(
                Duration::from_micros(settings.keepalive),
                settings.nodes,
                options.metrics.attempt_counter(),
            ),
            metrics: options.metrics,
            list_version: options.list_version,
            resource_share: options.resource_share.clone(),
            balancer: Balancer::new(settings, options.seed, clock.now()),
            setup: options.setup,
            quotas: options.quotas,
            overrides: options.persisted_orders.map(|kept| OverriddenList::new(clock.now(), kept)),
            list_updates: options.list_updates,
            request_log,
            membership_summary: None,
            replication_statistics: None,
            clock,
            upstream,
            open_requests: HashMap::new(),
            running_attempts: 0,
            max_connections: options.max_connections,
            gauges: Arc::default(),
            timers: DelayQueue::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            subscribe,
            messages,
            recent_writes: WriteRegistry::default(),
            buffer_budget: BufferBudget::new(options.request_memory_bytes, options.resource_share.clone()),
            stream_start_sender,
            stream_starts,
            permit_request_sender,
            permit_requests,
            shutting_down: Arc::default(),
            finished_sender,
            finished_attempts,
        };
        driver.timers.insert(TimerKind::IdleSweep, IDLE_SWEEP_INTERVAL);
        driver.timers.insert(TimerKind::CacheCount, CACHE_COUNT_INTERVAL);
        driver.receive_list(ServerList { full: true, ..options.initial_list }, options.list_version);
        driver.directory.take_changes(); // the initial list is not logged as a change
        driver.run_balancer();
        if let Some(learned) = &options.learned {
            driver.balancer.restore(learned);
        }
        driver.count_caches();
        let (requests, core) = (
            Requests::new(
                sender.clone(),
                options.request_memory_bytes,
                options.resource_share,
                driver.recent_writes.clone(),
                driver.metrics.clone(),
                driver.shutting_down.clone(),
            ),
            CoreHandle(sender.clone()),
        );
        let members = MembershipHandle { sender, source: "configuration", subscribe: subscribe_signal };
        let recent_writes = driver.recent_writes.clone();
        (driver, Handles { requests, members, core, recent_writes })
    }

    /// The driver's gauges, which it keeps up to date.
    pub fn gauges(&self) -> Arc<Gauges> {
        self.gauges.clone()
    }

    /// Runs until all [`Handles`] have been dropped.
    pub async fn run(mut self) {
        let mut stalled_until = Instant::now();
        loop {
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                Some(start) = self.stream_starts.recv() => self.stream_started(start),
                Some(request) = self.permit_requests.recv() => self.permit_requested(request),
                Some(finished) = self.finished_attempts.recv() => self.attempt_finished(finished),
                Some(timer) = poll_fn(|cx| self.timers.poll_expired(cx)) => {
                    log_stall(timer.deadline(), &mut stalled_until);
                    self.timer_expired(timer.into_inner());
                }
            }
            self.run_balancer();
            log_list_changes(&self.directory.take_changes());
            self.gauges.open_requests.store(self.open_requests.len(), Ordering::Relaxed);
            stall::record_activity(self.timers.peek().map(|next| self.timers.deadline(&next)));
        }
    }

    fn handle_message(&mut self, message: Message) {
        // An answer that cannot be sent is dropped: whoever asked no longer waits for it.
        match message {
            Message::RequestOpened(request) => self.open_request(request),
            Message::ClientGone(id) => self.client_gone(id),
            Message::ListUpdated(list, source, version) => {
                self.request_log.list_received(source);
                self.list_version = version;
                self.receive_list(list, version);
            }
            Message::HandoverState(answer) => drop(answer.send(self.handover_state())),
            Message::Observe(added) => self.request_log.observe(added),
            Message::SetMembershipSummary(status) => self.set_membership_summary(status),
            Message::ApplyReplicated(update) => self.apply_replicated(update),
            Message::ObservedSlowness(answer) => drop(answer.send(self.observed_slowness())),
            Message::ShutDownAt(at) => {
                let delay = at.saturating_duration_since(Instant::now() + FINAL_ANSWERS_LEAD_TIME);
                self.timers.insert(TimerKind::FinalAnswers, delay);
            }
            Message::Snapshot(answer) => drop(answer.send(self.snapshot())),
            Message::SetQuotas(new) => {
                if let Some(quotas) = &mut self.quotas {
                    quotas.reload(*new, self.clock.now());
                }
            }
            Message::ApplyOrder(ask, answer) => {
                if let Some(overrides) = &mut self.overrides {
                    let (done, changes) = overrides.apply_order(self.clock.now(), &ask);
                    self.apply_order_changes(changes);
                    let _ = answer.send(done);
                }
            }
            Message::OrdersInForce(answer) => {
                if let Some(overrides) = &self.overrides {
                    let _ = answer.send(overrides.orders_in_force(self.clock.now()));
                }
            }
            Message::Servers(answer) => {
                if let Some(overrides) = &self.overrides {
                    let _ = answer.send(self.server_statuses(overrides));
                }
            }
            Message::ListSourceChanged => self.events.push_back(Event::ListSourceChanged),
            Message::ListFailed => {
                self.request_log.list_failed();
                self.events.push_back(Event::Members { scope: ListScope::Failed, members: Vec::new() });
            }
        }
    }

    /// Applies the state of the other nodes: the share that this node may use, and the number of nodes that share the
    /// servers' connections.
    fn set_membership_summary(&mut self, status: MembershipSummary) {
        let left = status.valid_until.saturating_duration_since(Instant::now());
        let until = self.clock.now().saturating_add(left.as_micros() as Micros);
        self.events
            .push_back(Event::CapacityShare { share: f64::from(status.share_thousandths) / 1e3, until });
        self.directory.set_nodes(status.node_count());
        self.metrics.set_sibling_counts(status.peer_counts);
        self.membership_summary = Some(status);
    }

    fn timer_expired(&mut self, timer: TimerKind) {
        match timer {
            TimerKind::Balancer(token) => self.events.push_back(Event::Timer(token)),
            TimerKind::AttemptTimeout(id, attempt) => self.abort_attempt(id, attempt, Outcome::TimedOut),
            TimerKind::FinalAnswers => self.answer_all_and_stop(),
            TimerKind::IdleSweep => {
                if let Some(overrides) = &mut self.overrides {
                    let changes = overrides.expire_orders(self.clock.now());
                    self.apply_order_changes(changes);
                }
                self.directory.sweep(Instant::now());
                self.timers.insert(TimerKind::IdleSweep, IDLE_SWEEP_INTERVAL);
            }
            TimerKind::CacheCount => {
                let known = u32::try_from(self.count_caches()).unwrap_or(u32::MAX);
                let pause = CACHE_COUNT_INTERVAL * (1 + known / CACHES_PER_COUNT_INTERVAL);
                self.timers.insert(TimerKind::CacheCount, pause);
            }
        }
    }

    /// Counts the listed caches and those among them that are avoided: drained, or excluded by the balancer and sent
    /// nothing for a while. Returns the number of listed caches.
    ///
    /// The condition on time prevents a cache from being counted as avoided because one attempt is overdue while
    /// others are still sent to it.
    fn count_caches(&self) -> usize {
        let (mut known, mut avoided, now) = (0, 0, Instant::now());
        for (id, is_serving, last_sent) in self.directory.caches() {
            known += 1;
            let is_excluded = || {
                self.balancer
                    .server_view(id)
                    .is_some_and(|view| view.cut_off || view.unanswered_attempts.is_some())
            };
            let recently_used = last_sent.is_some_and(|last_sent| now < last_sent + AVOIDED_AFTER);
            avoided += usize::from(!is_serving || !recently_used && is_excluded());
        }
        self.metrics.set_cache_counts(known, avoided);
        known
    }

    /// Passes events to the balancer and executes its actions, until no event is left.
    fn run_balancer(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.on_event(self.clock.now(), event, &mut actions);
            actions.drain(..).for_each(|action| self.execute(action));
            self.actions = actions;
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => {
                self.start_attempt(id, server, Duration::from_micros(timeout));
            }
            Action::Cancel { id, attempt } => self.abort_attempt(id, attempt, Outcome::Canceled),
            Action::Refuse { id, retry_after } => self.answer(id, Answer::Busy(retry_after)),
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::SetTimer { after, token } => {
                let delay = Duration::from_micros(after).min(MAX_TIMER_DELAY);
                self.timers.insert(TimerKind::Balancer(token), delay);
            }
            Action::Subscribe => self.subscribe.notify_one(),
        }
    }

    /// Applies a list of the node's own source and passes it on to [`Options::list_updates`].
    fn receive_list(&mut self, list: ServerList, version: Option<u64>) {
        if let Some(list_updates) = &self.list_updates {
            // The receiver may have ended.
            let _ = list_updates.send(ListUpdate { list: list.clone(), version });
        }
        let list = match &mut self.overrides {
            Some(overrides) => {
                overrides.apply_list(self.clock.now(), list, |kind| self.setup.is_origin(kind))
            }
            None => list,
        };
        self.update_members(list);
    }

    /// Applies an update of the state that the nodes replicate.
    fn apply_replicated(&mut self, update: ReplicatedUpdate) {
        let (now, overrides) = (self.clock.now(), self.overrides.as_mut());
        match (update, overrides) {
            (ReplicatedUpdate::Orders { complete, orders }, Some(overrides)) => {
                let changes = overrides.apply_replicated_orders(now, complete, orders);
                self.apply_order_changes(changes);
            }
            (ReplicatedUpdate::RemovedByPeers(servers), Some(overrides)) => {
                let changes = overrides.set_removed_by_peers(now, servers);
                self.apply_order_changes(changes);
            }
            (ReplicatedUpdate::PeerSlowness(slowness), _) => self.set_peer_slowness(now, &slowness),
            (ReplicatedUpdate::Statistics(statistics), _) => {
                let behind = usize::from(statistics.behind);
                self.metrics.set_replica_counts([statistics.records, statistics.conflicts, behind]);
                self.replication_statistics = Some(statistics);
            }
            (_, None) => {}
        }
    }

    /// Passes the slowness that other nodes have observed to the balancer, and for all other listed servers that
    /// they have observed none.
    fn set_peer_slowness(&mut self, now: Micros, slowness_by_name: &BTreeMap<String, f64>) {
        let listed = self.directory.by_name();
        let events = listed.into_iter().map(|(name, (server, ..))| {
            let slowness = slowness_by_name.get(name).copied();
            Event::PeerSlowness {
                server,
                slowness: slowness.unwrap_or(0.0),
                until: slowness.map_or(0, |_| now + PEER_SLOWNESS_TTL_US),
            }
        });
        self.events.extend(events.collect::<Vec<_>>());
    }

    /// The slowness of servers as observed by this node's own requests, by server name.
    fn observed_slowness(&self) -> BTreeMap<String, f64> {
        let names = self.directory.names();
        let slowness = |(id, name): (&ServerId, &&str)| {
            let view = self.balancer.server_view(*id)?;
            let silent = view.unanswered_attempts.is_some_and(|tries| tries > 0);
            Some(((*name).to_owned(), if silent { f64::INFINITY } else { view.own_slowness }))
        };
        names.iter().filter_map(slowness).collect()
    }

    /// The state for a successor process. Iterates over all that is open and listed, so it is called on demand and not
    /// for each request.
    fn handover_state(&self) -> HandoverState {
        let list = ServerList { full: true, servers: self.directory.entries() };
        HandoverState { version: self.list_version, list, learned: self.balancer.learned() }
    }

    /// The listed servers with their attempts in flight. Iterates over all open requests, so it is called for operators
    /// and not for each request.
    fn server_statuses(&self, overrides: &OverriddenList) -> Vec<ServerStatus> {
        let mut in_flight: HashMap<ServerId, usize> = HashMap::new();
        for running in self.open_requests.values().flat_map(|request| request.attempts.iter().flatten()) {
            *in_flight.entry(running.server).or_default() += 1;
        }
        let listed = self.directory.by_name();
        overrides.servers(|name| {
            let (id, is_serving, idle) = listed.get(name).copied().unwrap_or((ServerId(0), false, 0));
            (is_serving, in_flight.get(&id).copied().unwrap_or(0), idle)
        })
    }

    /// Applies the changes that orders make. If they change nothing, the balancer gets no event, because it would take
    /// one for an answer of the list's source.
    fn apply_order_changes(&mut self, changes: ServerList) {
        if !changes.servers.is_empty() {
            self.update_members(changes);
        }
    }

    fn update_members(&mut self, list: ServerList) {
        let scope = if list.full { ListScope::Full } else { ListScope::Delta };
        let deduplicates = |kind: &str| self.upstream.deduplicates_writes(kind);
        let members = self.directory.apply(list, &mut self.setup, deduplicates);
        self.events.push_back(Event::Members { scope, members });
        self.count_caches();
    }

    fn open_request(&mut self, new_request: NewRequest) {
        let NewRequest { id, call, received_at, answer } = new_request;
        self.metrics.request_started();
        debug!(
            request = id.0,
            id = %String::from_utf8_lossy(&call.id),
            wait_us = call.client_timeout(),
            "request received"
        );
        if self.shutting_down.load(Ordering::Relaxed) {
            self.metrics.request_ended(call.class, Some(RequestOutcome::Refused));
            return drop(answer.send(Answer::Busy(0))); // the client may have disconnected
        }
        // Checked by the front end as well; it may have become known since.
        if self.recent_writes.contains(&call.id) {
            self.metrics.request_ended(call.class, Some(RequestOutcome::Failed));
            return drop(answer.send(Answer::Failed)); // the client may have disconnected
        }
        let quota_ticket = match &mut self.quotas {
            None => None,
            Some(quotas) => match quotas.admit(self.clock.now(), &call, &self.setup.settings) {
                Ok(ticket) => ticket,
                // Over its share: refused at once, like requests that the balancer refuses.
                Err(retry_after) => {
                    self.request_log.refused_over_share(call.tenant);
                    self.metrics.request_ended(call.class, Some(RequestOutcome::Refused));
                    let retry_after = retry_after.min(self.setup.settings.max_retry_after);
                    return drop(answer.send(Answer::Busy(retry_after))); // the client may have disconnected
                }
            },
        };
        let spent = received_at.elapsed().as_micros() as Micros + ANSWER_MARGIN_US;
        let balancer_request = Request {
            id,
            class: call.class,
            // The quotas have already charged the tenant's share; the balancer would charge it again.
            tenant: call.tenant.filter(|_| self.quotas.is_none()),
            key: Some(call.key.clone()),
            budget: call.client_timeout().saturating_sub(spent),
            write: call.is_write(),
            has_idempotency_key: !call.is_write() || call.idempotency_key.is_some(),
        };
        let effect =
            call.class.and_then(|class| self.setup.settings.classes.get(class)).map(|class| class.effect);
        self.request_log.request_opened(&balancer_request, call.client_timeout(), effect);
        let deadline = Instant::now() + Duration::from_micros(balancer_request.budget);
        let (client_left, attempts) = Default::default();
        let request = OpenRequest {
            call,
            quota_ticket,
            answer: Some(answer),
            deadline,
            client_left,
            attempts,
            is_streaming: false,
        };
        self.open_requests.insert(id, request);
        self.events.push_back(Event::Request(balancer_request));
    }

    fn client_gone(&mut self, id: RequestId) {
        if let Some(request) = self.open_requests.get_mut(&id) {
            let _ = request.client_left.set(Instant::now()); // a client disconnects only once
            debug!(request = id.0, attempts = request.attempts.len(), "client disconnected");
            if request.answer.take().is_some() {
                self.request_log.request_answered(id, AnswerKind::Gone, || &request.call.key);
                self.metrics.request_ended(request.call.class, None);
            }
            self.events.push_back(Event::ClientGone(id));
            self.close_if_done(id);
        }
    }

    /// Called shortly before the process ends: answers all open requests as failed, without a statement about their
    /// effect, and stops accepting new ones.
    fn answer_all_and_stop(&mut self) {
        self.shutting_down.store(true, Ordering::Relaxed);
        let unanswered = self.open_requests.iter().filter(|(_, request)| request.answer.is_some());
        let unanswered: Vec<RequestId> = unanswered.map(|(id, _)| *id).collect();
        for id in unanswered {
            self.answer(id, Answer::Failed);
            self.events.push_back(Event::ClientGone(id));
        }
    }

    /// Sends the final answer of a request, unless it has been answered before.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(request) = self.open_requests.get_mut(&id)
            && let Some(sender) = request.answer.take()
        {
            let kind = answer_kind(&answer);
            if matches!(answer, Answer::Busy(_)) && !request.attempts.is_empty() {
                self.recent_writes.refused(&request.call.id);
            }
            debug!(request = id.0, attempts = request.attempts.len(), answer = ?kind, "request answered");
            self.request_log.request_answered(id, kind, || &request.call.key);
            self.metrics.request_ended(request.call.class, Some(answer_end(&answer)));
            let _ = sender.send(answer); // the client may have disconnected
        }
        self.close_if_done(id);
    }

    /// Removes a request that has been answered and has no attempt in progress.
    fn close_if_done(&mut self, id: RequestId) {
        if !self.open_requests.get(&id).is_some_and(OpenRequest::is_done) {
            return;
        }
        self.request_log.request_closed(id);
        if let Some(OpenRequest { quota_ticket: Some(ticket), attempts, .. }) = self.open_requests.remove(&id)
            && let Some(quotas) = &mut self.quotas
        {
            quotas.done(self.clock.now(), ticket, !attempts.is_empty());
        }
    }
}

/// The end of a request, as the metrics count it.
fn answer_end(answer: &Answer) -> RequestOutcome {
    match answer {
        Answer::Served(_) | Answer::Streaming(_) => RequestOutcome::Served,
        Answer::Busy(_) => RequestOutcome::Refused,
        Answer::Failed => RequestOutcome::Failed,
    }
}

/// Logs that a timer fired late, once for each stall of the process.
fn log_stall(due: Instant, stalled_until: &mut Instant) {
    let now = Instant::now();
    let late = now.saturating_duration_since(due);
    if late >= LOGGED_STALL_THRESHOLD && due > *stalled_until {
        warn!(late_ms = late.as_millis() as u64, "the process was stalled: a timer fired late");
        *stalled_until = now;
    }
}

/// Logs the changes that a list has made.
fn log_list_changes(changes: &[(String, ListChange)]) {
    if changes.len() > MAX_LOGGED_CHANGES {
        let count = |wanted: ListChange| changes.iter().filter(|(_, change)| *change == wanted).count();
        let serve = count(ListChange::Serving);
        let drain = count(ListChange::Draining);
        let gone = count(ListChange::Removed);
        return info!(serve, drain, gone, "the list of servers has changed");
    }
    for (server, change) in changes {
        match change {
            ListChange::Serving => info!(server, "server is in service"),
            ListChange::Draining => info!(server, "drains: no new requests are sent to it"),
            ListChange::Removed => info!(server, "has left the list"),
        }
    }
}
