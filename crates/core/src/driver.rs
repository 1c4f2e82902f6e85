//! The one task that owns the module, the open requests and the timers.

mod attempts;
mod introspection;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use lilacquay_metrics::{Book, End};
use lilacquay_observe::{CommonNow, Kind};
use lilacquay_overrides::PersistentOrder;
use lilacquay_quota::Ticket;
use paddlefold::setup::Setup;
use paddlefold::{
    Action, Balancer, Event, Learned, ListScope, Micros, Outcome, Request, RequestId, ServerId, TimerToken,
};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::{Notify, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::time::{DelayQueue, delay_queue};
use tracing::{debug, info, warn};

use crate::admission::Admission;
use crate::buffer_budget::Governor;
use crate::call::{Answer, Call};
use crate::clock::Clock;
use crate::directory::{Directory, News};
use crate::list::List;
use crate::members::Members;
use crate::message::{Arrival, Fellows, Heritage, InCommon, ListTold, Message, Orders};
use crate::overrides::{ServerNow, Steering};
use crate::permit::{ClientLeft, PermitRequest};
use crate::request_log::{Watched, kind};
use crate::requests::Requests;
use crate::resource_share::Portion;
use crate::stall;
use crate::upstream::{Reply, Upstream};
use crate::value_stream::Begun;

/// Kept back from a client's time, for the way of the answer and the grain of timers.
const ON_THE_WAY: Micros = 5_000;
/// The timers' queue panics at times of some years, which odd settings could ask for.
const LONGEST_TIMER: Duration = Duration::from_secs(86_400);
/// So long before the process ends, what is owed is answered: time to write it, and for a process that is held up.
const LAST_ANSWERS: Duration = Duration::from_millis(100);
/// How often idle connections are looked at.
const SWEEP: Duration = Duration::from_secs(1);
/// How often it is counted which caches are avoided, and for how many of them once in that time.
const COUNT: Duration = Duration::from_millis(300);
const COUNTED: u32 = 1000;
/// A cache that is left out and was sent nothing for so long is avoided.
const AVOIDED: Duration = Duration::from_millis(500);
/// A timer that fires so late shows that the process was held up.
const HELD_UP: Duration = Duration::from_millis(30);
/// Servers whose news is logged one by one; of more, the count.
const NAMED: usize = 12;

/// An attempt that has run to its end.
struct Ended<C> {
    id: RequestId,
    attempt: usize,
    reply: Reply,
    server: ServerId,
    addr: std::net::SocketAddr,
    connection: Option<C>,
}

/// A request that is owed an answer or has an attempt out.
struct Open {
    call: Arc<Call>,
    /// For the quotas, to be told of its end.
    ticket: Option<Ticket>,
    /// Taken by the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    /// When the client's time is up, less what is kept back.
    deadline: Instant,
    /// When the client has left.
    left: ClientLeft,
    /// By their numbers; nothing once an attempt has ended.
    attempts: Vec<Option<Running>>,
    /// Whether a large value is on its way: its end is the request's.
    flows: bool,
}

struct Running {
    server: ServerId,
    sent: Instant,
    task: AbortHandle,
    /// Whether it was given leave to write.
    begun: bool,
    /// When it is given up; a large value that has begun is not.
    timer: Option<delay_queue::Key>,
    /// After what time a large value began to come.
    began: Option<Duration>,
}

enum Due {
    Module(TimerToken),
    Attempt(RequestId, usize),
    Sweep,
    Count,
    LastAnswers,
}

/// What other nodes have seen is believed for so long unless it is said again, in microseconds.
const BELIEVED: Micros = 10_000_000;

/// What a driver holds.
#[derive(Debug, Default)]
pub struct Gauges {
    connections: AtomicUsize,
    open: AtomicUsize,
}

impl Gauges {
    /// Connections to servers, in use or idle.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }
    /// Requests that are owed an answer or have an attempt out.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// What a core is made of.
pub struct Options {
    /// The settings.
    pub setup: Setup,
    /// For the module's random choices.
    pub seed: u64,
    /// The list of servers last known. It counts as whole.
    pub known: List,
    /// Most connections to servers.
    pub connections: usize,
    /// Bytes that open requests may hold before fronts stop reading on.
    pub memory: usize,
    /// Quotas, before the module.
    pub quotas: Option<Admission>,
    /// What is counted of its work.
    pub book: Book,
    /// The list's version, where it came from one before this process.
    pub version: Option<u64>,
    /// What one before this process has learned.
    pub learned: Option<Learned>,
    /// The part of all bounds that is this process's.
    pub portion: Portion,
    /// Where operators may order servers away: the orders that lasted over a restart.
    pub steered: Option<Vec<PersistentOrder>>,
    /// Who is told each list that the node's own source tells.
    pub lists: Option<UnboundedSender<ListTold>>,
}

/// What others need to speak to a driver. It runs as long as any of these is left.
pub struct Handles {
    /// For fronts.
    pub requests: Requests,
    /// For sources of members.
    pub members: Members,
    /// For whoever runs it.
    pub orders: Orders,
}

/// Carries out what the module decides, and tells it what happens.
pub struct Driver<U: Upstream> {
    balancer: Balancer,
    setup: Setup,
    clock: Clock,
    upstream: U,
    quotas: Option<Admission>,
    steering: Option<Steering>,
    lists: Option<UnboundedSender<ListTold>>,
    watched: Watched,
    /// Who is there, where nodes speak to one another.
    siblings: Option<Fellows>,
    /// What they hold in common.
    common: Option<CommonNow>,
    book: Book,
    /// The version of the list, where its source has one.
    version: Option<u64>,
    /// The part of all bounds that is this process's.
    portion: Portion,
    directory: Directory<U::Connection>,
    open: HashMap<RequestId, Open>,
    /// Attempts under way: each holds a connection, or is making one.
    running: usize,
    connections: usize,
    gauges: Arc<Gauges>,
    timers: DelayQueue<Due>,
    /// What has happened and is not yet told.
    events: VecDeque<Event>,
    actions: Vec<Action>,
    subscribe: Arc<Notify>,
    inbox: UnboundedReceiver<Message>,
    governor: Arc<Governor>,
    to_begin: UnboundedSender<Begun>,
    begun: UnboundedReceiver<Begun>,
    to_permits: UnboundedSender<PermitRequest>,
    permit_requests: UnboundedReceiver<PermitRequest>,
    /// Set once nothing more is taken.
    over: Arc<AtomicBool>,
    to_self: UnboundedSender<Ended<U::Connection>>,
    attempts: UnboundedReceiver<Ended<U::Connection>>,
}

impl<U: Upstream> Driver<U> {
    /// A driver that is to be [run](Driver::run), with what others need to speak to it.
    pub fn new(options: Options, upstream: U) -> (Self, Handles) {
        let (clock, settings) = (Clock::new(), options.setup.settings.clone());
        let (to, inbox) = unbounded_channel();
        let (to_self, attempts) = unbounded_channel();
        let (to_begin, begun) = unbounded_channel();
        let (to_permits, permit_requests) = unbounded_channel();
        let subscribe = Arc::new(Notify::new());
        let asked = settings.must_subscribe.then(|| subscribe.clone());
        let watched = Watched::new(clock, &options.setup.names);
        let mut driver = Driver {
            directory: Directory::new(
                Duration::from_micros(settings.keepalive),
                settings.nodes,
                options.book.tries(),
            ),
            book: options.book,
            version: options.version,
            portion: options.portion.clone(),
            balancer: Balancer::new(settings, options.seed, clock.now()),
            setup: options.setup,
            quotas: options.quotas,
            steering: options.steered.map(|kept| Steering::new(clock.now(), kept)),
            lists: options.lists,
            watched,
            siblings: None,
            common: None,
            clock,
            upstream,
            open: HashMap::new(),
            running: 0,
            connections: options.connections,
            gauges: Arc::default(),
            timers: DelayQueue::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            subscribe,
            inbox,
            governor: Governor::new(options.memory, options.portion.clone()),
            to_begin,
            begun,
            to_permits,
            permit_requests,
            over: Arc::default(),
            to_self,
            attempts,
        };
        driver.timers.insert(Due::Sweep, SWEEP);
        driver.timers.insert(Due::Count, COUNT);
        driver.list_told(List { full: true, ..options.known }, options.version);
        driver.directory.take_news(); // what is known from the start is none
        driver.decide();
        if let Some(learned) = &options.learned {
            driver.balancer.resume(learned);
        }
        driver.count();
        let (requests, orders) = (
            Requests::new(
                to.clone(),
                options.memory,
                options.portion,
                driver.book.clone(),
                driver.over.clone(),
            ),
            Orders(to.clone()),
        );
        (driver, Handles { requests, members: Members { to, source: "configuration", asked }, orders })
    }

    /// What it holds, kept up to date.
    pub fn gauges(&self) -> Arc<Gauges> {
        self.gauges.clone()
    }

    /// Runs until nobody can tell it anything.
    pub async fn run(mut self) {
        let mut held_up_until = Instant::now();
        loop {
            tokio::select! {
                message = self.inbox.recv() => match message {
                    Some(message) => self.told(message),
                    None => return,
                },
                Some(begun) = self.begun.recv() => self.begin(begun),
                Some(request) = self.permit_requests.recv() => self.permit_requested(request),
                Some(ended) = self.attempts.recv() => self.ended(ended),
                Some(due) = poll_fn(|cx| self.timers.poll_expired(cx)) => {
                    note_hold_up(due.deadline(), &mut held_up_until);
                    self.due(due.into_inner());
                }
            }
            self.decide();
            log_news(&self.directory.take_news());
            self.gauges.open.store(self.open.len(), Ordering::Relaxed);
            stall::mark(self.timers.peek().map(|next| self.timers.deadline(&next)));
        }
    }

    fn told(&mut self, message: Message) {
        match message {
            Message::Arrived(arrival) => self.arrived(arrival),
            Message::Gone(id) => self.gone(id),
            Message::List(list, source, version) => {
                self.watched.list_told(source);
                self.version = version;
                self.list_told(list, version);
            }
            Message::HandOver(answer) => drop(answer.send(self.heritage())), // who asked may have left
            Message::Watch(more) => self.watched.watch(more),
            Message::Fellows(fellows) => self.fellows(fellows),
            Message::InCommon(what) => self.in_common(what),
            Message::Sights(answer) => drop(answer.send(self.sights())), // who asked may have left
            Message::EndAt(at) => {
                let left = at.saturating_duration_since(Instant::now() + LAST_ANSWERS);
                self.timers.insert(Due::LastAnswers, left);
            }
            Message::Look(answer) => drop(answer.send(self.look())), // who asked may have left
            Message::Quotas(new) => {
                if let Some(quotas) = &mut self.quotas {
                    quotas.reload(*new, self.clock.now());
                }
            }
            Message::Steer(ask, answer) => {
                if let Some(steering) = &mut self.steering {
                    let (done, changes) = steering.ask(self.clock.now(), &ask);
                    self.steered(changes);
                    let _ = answer.send(done); // who ordered may have left
                }
            }
            Message::Holding(answer) => {
                if let Some(steering) = &self.steering {
                    let _ = answer.send(steering.holding(self.clock.now())); // who asked may have left
                }
            }
            Message::Servers(answer) => {
                if let Some(steering) = &self.steering {
                    let _ = answer.send(self.servers(steering)); // who asked may have left
                }
            }
            Message::ListFailed => {
                self.watched.list_failed();
                self.events.push_back(Event::Members { scope: ListScope::Failed, members: Vec::new() });
            }
        }
    }

    /// Goes by who is there: what may be used, and for how many others there must be room.
    fn fellows(&mut self, fellows: Fellows) {
        let left = fellows.until.saturating_duration_since(Instant::now());
        let until = self.clock.now().saturating_add(left.as_micros() as Micros);
        self.events.push_back(Event::Part { part: f64::from(fellows.thousandths) / 1e3, until });
        self.directory.set_nodes(fellows.nodes());
        self.book.siblings(fellows.numbers);
        self.siblings = Some(fellows);
    }

    fn due(&mut self, due: Due) {
        match due {
            Due::Module(token) => self.events.push_back(Event::Timer(token)),
            Due::Attempt(id, attempt) => self.give_up(id, attempt, Outcome::TimedOut),
            Due::LastAnswers => self.answer_all(),
            Due::Sweep => {
                if let Some(steering) = &mut self.steering {
                    let over = steering.tick(self.clock.now());
                    self.steered(over);
                }
                self.directory.sweep(Instant::now());
                self.timers.insert(Due::Sweep, SWEEP);
            }
            Due::Count => {
                let known = self.count();
                let pause = COUNT * (1 + u32::try_from(known).unwrap_or(u32::MAX) / COUNTED);
                self.timers.insert(Due::Count, pause);
            }
        }
    }

    /// Counts the caches of the list, and those of them that are avoided: drained, or left out by the module and sent
    /// nothing for a while. Tells how many there are.
    ///
    /// Guards against: caches counted as avoided for one attempt that is overdue, while others go there.
    fn count(&self) -> usize {
        let (mut known, mut skipped, now) = (0, 0, Instant::now());
        for (id, serves, sent) in self.directory.caches() {
            known += 1;
            let left_out =
                || self.balancer.server(id).is_some_and(|view| view.cut_off || view.silent.is_some());
            let tried = sent.is_some_and(|sent| now < sent + AVOIDED);
            skipped += usize::from(!serves || !tried && left_out());
        }
        self.book.caches(known, skipped);
        known
    }

    /// Tells the module what has happened, and does what it asks for, until nothing is left.
    fn decide(&mut self) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.balancer.on_event(self.clock.now(), event, &mut actions);
            actions.drain(..).for_each(|action| self.carry_out(action));
            self.actions = actions;
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, Duration::from_micros(timeout)),
            Action::Cancel { id, attempt } => self.give_up(id, attempt, Outcome::Canceled),
            Action::Refuse { id, retry_after } => self.answer(id, Answer::Busy(retry_after)),
            Action::Fail(id) => self.answer(id, Answer::Failed),
            Action::SetTimer { after, token } => {
                self.timers.insert(Due::Module(token), Duration::from_micros(after).min(LONGEST_TIMER));
            }
            Action::Subscribe => self.subscribe.notify_one(),
        }
    }

    /// A list of the node's own source.
    fn list_told(&mut self, list: List, version: Option<u64>) {
        if let Some(lists) = &self.lists {
            let _ = lists.send(ListTold { list: list.clone(), version }); // who tells others may have ended
        }
        self.list(list);
    }

    /// Goes by what the nodes hold in common.
    fn in_common(&mut self, what: InCommon) {
        let (now, steering) = (self.clock.now(), self.steering.as_mut());
        match (what, steering) {
            (InCommon::Orders { whole, orders }, Some(steering)) => {
                let changes = steering.common(now, whole, orders);
                self.steered(changes);
            }
            (InCommon::Hearsay(servers), Some(steering)) => {
                let changes = steering.hearsay(now, servers);
                self.steered(changes);
            }
            (InCommon::Believed(believed), _) => self.believe(now, &believed),
            (InCommon::Seen(seen), _) => {
                self.book.common([seen.records, seen.conflicts, usize::from(seen.behind)]);
                self.common = Some(seen);
            }
            (_, None) => {}
        }
    }

    /// Tells the module what other nodes have seen of servers, and of the others of the list that they have seen nothing.
    fn believe(&mut self, now: Micros, believed: &BTreeMap<String, f64>) {
        let known = self.directory.by_name();
        let told = known.into_iter().map(|(name, (server, ..))| {
            let slowness = believed.get(name).copied();
            Event::Told {
                server,
                slowness: slowness.unwrap_or(0.0),
                until: slowness.map_or(0, |_| now + BELIEVED),
            }
        });
        self.events.extend(told.collect::<Vec<_>>());
    }

    /// What this node has seen of servers by its own requests.
    fn sights(&self) -> BTreeMap<String, f64> {
        let names = self.directory.names();
        let seen = |(id, name): (&ServerId, &&str)| {
            let view = self.balancer.server(*id)?;
            let silent = view.silent.is_some_and(|tries| tries > 0);
            Some(((*name).to_owned(), if silent { f64::INFINITY } else { view.seen }))
        };
        names.iter().filter_map(seen).collect()
    }

    fn list(&mut self, list: List) {
        let list = match &mut self.steering {
            Some(steering) => steering.list(self.clock.now(), list, |kind| self.setup.is_origin(kind)),
            None => list,
        };
        self.enter(list);
    }

    /// Walks over all that is open: asked by an operator, not by each request.
    fn heritage(&self) -> Heritage {
        let list = List { full: true, servers: self.directory.entries() };
        Heritage { version: self.version, list, learned: self.balancer.learned() }
    }

    fn servers(&self, steering: &Steering) -> Vec<ServerNow> {
        let mut out: HashMap<ServerId, usize> = HashMap::new();
        for running in self.open.values().flat_map(|open| open.attempts.iter().flatten()) {
            *out.entry(running.server).or_default() += 1;
        }
        let known = self.directory.by_name();
        steering.servers(|name| {
            let (id, serves, idle) = known.get(name).copied().unwrap_or((ServerId(0), false, 0));
            (serves, out.get(&id).copied().unwrap_or(0), idle)
        })
    }

    /// What orders change. Where they change nothing the module is told nothing: it would take that for an answer
    /// of the list's source.
    fn steered(&mut self, changes: List) {
        if !changes.servers.is_empty() {
            self.enter(changes);
        }
    }

    fn enter(&mut self, list: List) {
        let scope = if list.full { ListScope::Full } else { ListScope::Delta };
        let discards = |kind: &str| self.upstream.discards_repeats(kind);
        let members = self.directory.apply(list, &mut self.setup, discards);
        self.events.push_back(Event::Members { scope, members });
        self.count();
    }

    fn arrived(&mut self, arrival: Arrival) {
        let Arrival { id, call, at, answer } = arrival;
        self.book.taken();
        debug!(request = id.0, id = %String::from_utf8_lossy(&call.id), wait_us = call.wait(), "taken");
        if self.over.load(Ordering::Relaxed) {
            self.book.ended(call.class, Some(End::Dropped));
            return drop(answer.send(Answer::Busy(0))); // the client may have left
        }
        let ticket = match &mut self.quotas {
            None => None,
            Some(quotas) => match quotas.ask(self.clock.now(), &call, &self.setup.settings) {
                Ok(ticket) => ticket,
                // Over its share: at once, as what the module refuses.
                Err(wait) => {
                    self.watched.over_share(call.tenant);
                    self.book.ended(call.class, Some(End::Dropped));
                    let wait = wait.min(self.setup.settings.max_retry_after);
                    return drop(answer.send(Answer::Busy(wait))); // the client may have left
                }
            },
        };
        let spent = at.elapsed().as_micros() as Micros + ON_THE_WAY;
        let request = Request {
            id,
            class: call.class,
            // Whose share it is has been judged: the module would have it pay once more.
            tenant: call.tenant.filter(|_| self.quotas.is_none()),
            key: Some(call.key.clone()),
            budget: call.wait().saturating_sub(spent),
            write: call.is_write(),
            keyed: !call.is_write() || call.idempotency.is_some(),
        };
        let effect =
            call.class.and_then(|class| self.setup.settings.classes.get(class)).map(|class| class.effect);
        self.watched.arrived(&request, call.wait(), effect);
        let deadline = Instant::now() + Duration::from_micros(request.budget);
        let (left, attempts) = Default::default();
        let open = Open { call, ticket, answer: Some(answer), deadline, left, attempts, flows: false };
        self.open.insert(id, open);
        self.events.push_back(Event::Request(request));
    }

    fn gone(&mut self, id: RequestId) {
        if let Some(open) = self.open.get_mut(&id) {
            let _ = open.left.set(Instant::now()); // it leaves once
            debug!(request = id.0, attempts = open.attempts.len(), "its client has left");
            if open.answer.take().is_some() {
                self.watched.answered(id, Kind::Gone, || &open.call.key);
                self.book.ended(open.call.class, None);
            }
            self.events.push_back(Event::ClientGone(id));
            self.close_if_done(id);
        }
    }

    /// The process is about to end: all that is owed is answered, with no promise, and nothing more is taken.
    fn answer_all(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let owed = self.open.iter().filter(|(_, open)| open.answer.is_some());
        let owed: Vec<RequestId> = owed.map(|(id, _)| *id).collect();
        for id in owed {
            self.answer(id, Answer::Failed);
            self.events.push_back(Event::ClientGone(id));
        }
    }

    /// The final answer; a second one goes nowhere.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(open) = self.open.get_mut(&id)
            && let Some(sender) = open.answer.take()
        {
            debug!(request = id.0, attempts = open.attempts.len(), answer = ?kind(&answer), "answered");
            self.watched.answered(id, kind(&answer), || &open.call.key);
            self.book.ended(open.call.class, Some(end(&answer)));
            let _ = sender.send(answer); // the client may have left
        }
        self.close_if_done(id);
    }

    fn close_if_done(&mut self, id: RequestId) {
        let done = |open: &Open| open.answer.is_none() && open.attempts.iter().all(Option::is_none);
        if !self.open.get(&id).is_some_and(done) {
            return;
        }
        self.watched.closed(id);
        if let Some(Open { ticket: Some(ticket), attempts, .. }) = self.open.remove(&id)
            && let Some(quotas) = &mut self.quotas
        {
            quotas.done(self.clock.now(), ticket, !attempts.is_empty());
        }
    }
}

fn end(answer: &Answer) -> End {
    match answer {
        Answer::Served(_) | Answer::Begun(_) => End::Passed,
        Answer::Busy(_) => End::Dropped,
        Answer::Failed => End::Failed,
    }
}

/// Logs that a timer fired late, once for each time that the process was held up.
fn note_hold_up(due: Instant, held_up_until: &mut Instant) {
    let now = Instant::now();
    let late = now.saturating_duration_since(due);
    if late >= HELD_UP && due > *held_up_until {
        warn!(late_ms = late.as_millis() as u64, "the process was held up");
        *held_up_until = now;
    }
}

/// What a list has changed.
fn log_news(news: &[(String, News)]) {
    if news.len() > NAMED {
        let count = |of: News| news.iter().filter(|(_, news)| *news == of).count();
        let (serve, drain, gone) = (count(News::Serves), count(News::Drains), count(News::Gone));
        return info!(serve, drain, gone, "the list has changed");
    }
    for (server, news) in news {
        match news {
            News::Serves => info!(server, "serves"),
            News::Drains => info!(server, "drains: nothing new is sent there"),
            News::Gone => info!(server, "has left the list"),
        }
    }
}
