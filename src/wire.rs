//! The JSON wire of the bench, translated to and from the module's interface. No decisions here.
//!
//! One value per line; see [`run`]. Events of unknown names are skipped with a note, unknown
//! fields and settings silently; anything malformed ends the run with a [`WireError`].

use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::io::{self, BufRead, Write};

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::brain::Balancer;

/// Why the wire could not be followed, and where.
#[derive(Debug)]
pub struct WireError {
    /// The line of input, from 1.
    pub line: u64,
    /// What was wrong.
    pub what: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "input line {}: {}", self.line, self.what)
    }
}

impl std::error::Error for WireError {}

#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Message<'a> {
    Round(Round),
    Flush(IgnoredAny),
    Configure(Box<Configure>),
    Exit(Instance),
    #[serde(borrow)]
    Endpoints(Endpoints<'a>),
    NewRequest(NewRequest<'a>),
    FirstByte(FirstByte),
    Finished(Finished<'a>),
    ClientGone(ClientGone),
    Timer(TimerDue<'a>),
    Checked(IgnoredAny),
    FromPeer(IgnoredAny),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Round {
    at_time: f64,
    #[serde(rename = "n")]
    number: u64,
}

#[derive(Deserialize)]
struct Instance {
    #[serde(rename = "I")]
    instance: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Configure {
    #[serde(rename = "I")]
    instance: u64,
    nonce64: u64,
    setup: Setup,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Setup {
    classes: Vec<ClassSetup>,
    #[serde(default)]
    family_info: FamilyInfo,
    #[serde(default)]
    guarantees: Guarantees,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    over_share_worth: Option<f64>,
    #[serde(default)]
    quantum: f64,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    zone: Option<String>,
    #[serde(default)]
    registry_mode: String,
    #[serde(default)]
    siblings: usize,
    #[serde(default)]
    tenants: Vec<TenantSetup>,
    #[serde(default)]
    weights: String,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    skus: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ClassSetup {
    name: String,
    aim: f64,
    #[serde(default)]
    worth: Option<f64>,
    effect: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    window: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TenantSetup {
    name: String,
    #[serde(default)]
    share: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct FamilyInfo {
    mode: String,
    origin_kind: Option<i64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Guarantees {
    cold: f64,
    cold_from: Option<f64>,
    fall: f64,
    must_ask_in: f64,
    overload_factor: Option<f64>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Limits {
    cancel: bool,
    keepalive: Option<f64>,
    max_attempts: Option<usize>,
    max_retry_after: f64,
    retry_after: bool,
    second_copies: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Endpoints<'a> {
    #[serde(rename = "I")]
    instance: u64,
    #[serde(borrow)]
    scope: Cow<'a, str>,
    #[serde(borrow, default)]
    members: Vec<Entry<'a>>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Entry<'a> {
    server: u32,
    #[serde(borrow)]
    lifecycle: Cow<'a, str>,
    #[serde(borrow, default)]
    area: Cow<'a, str>,
    #[serde(default)]
    group: u32,
    #[serde(default)]
    weight: Option<f64>,
    #[serde(default)]
    start_time: Option<f64>,
    #[serde(borrow, rename = "Type", default)]
    kind: Cow<'a, str>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct NewRequest<'a> {
    #[serde(rename = "I")]
    instance: u64,
    rid: u32,
    #[serde(borrow, default)]
    lane: Cow<'a, str>,
    #[serde(default)]
    user_group: Option<NameOrNumber>,
    #[serde(default)]
    name_key: Option<String>,
    budget: f64,
    #[serde(default)]
    write: Option<bool>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum NameOrNumber {
    Name(String),
    Number(IgnoredAny),
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct FirstByte {
    #[serde(rename = "I")]
    instance: u64,
    rid: u32,
    leg: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Finished<'a> {
    #[serde(rename = "I")]
    instance: u64,
    rid: u32,
    leg: usize,
    #[serde(borrow)]
    code: Cow<'a, str>,
    duration: f64,
    #[serde(default)]
    settled: Option<bool>,
    #[serde(default)]
    detail: Option<u32>,
    #[serde(default)]
    pressure: Option<Pressure>,
}

#[derive(Deserialize)]
struct Pressure {
    utilization: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct ClientGone {
    #[serde(rename = "I")]
    instance: u64,
    rid: u32,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct TimerDue<'a> {
    #[serde(rename = "I")]
    instance: u64,
    #[serde(rename = "Ref", borrow)]
    token: Cow<'a, str>,
}

#[derive(Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
enum Reply {
    #[serde(rename_all = "PascalCase")]
    Place {
        #[serde(rename = "I")]
        instance: u64,
        rid: u32,
        server: u32,
        within: f64,
    },
    #[serde(rename_all = "PascalCase")]
    AbortAttempt {
        #[serde(rename = "I")]
        instance: u64,
        rid: u32,
        leg: usize,
    },
    #[serde(rename_all = "PascalCase")]
    Reject {
        #[serde(rename = "I")]
        instance: u64,
        rid: u32,
        stay_away: f64,
    },
    #[serde(rename_all = "PascalCase")]
    EndFailed {
        #[serde(rename = "I")]
        instance: u64,
        rid: u32,
    },
    #[serde(rename_all = "PascalCase")]
    NotifyMe {
        #[serde(rename = "I")]
        instance: u64,
        #[serde(rename = "In")]
        after: f64,
        #[serde(rename = "Ref")]
        token: String,
    },
    #[serde(rename_all = "PascalCase")]
    Subscribe {
        #[serde(rename = "I")]
        instance: u64,
        active: bool,
    },
    #[serde(rename_all = "PascalCase")]
    Broken {
        #[serde(rename = "I")]
        instance: u64,
        words: String,
    },
    #[serde(rename_all = "PascalCase")]
    LetGo {
        #[serde(rename = "I")]
        instance: u64,
        server: u32,
    },
    Eor {
        n: u64,
    },
}

/// Milliseconds to microseconds; what no clock can hold is cut to what it can.
fn micros(ms: f64) -> Micros {
    // A cast from float saturates, and NaN becomes 0; the cap leaves room for sums.
    (ms * 1000.0).round().min(1e15) as Micros
}

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

/// One balancer and the names its settings gave to indices.
struct Node {
    balancer: Balancer,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    zones: HashMap<String, u32>,
    kinds: HashMap<String, u32>,
    origin_kind: Option<String>,
}

impl Node {
    fn new(configure: Configure, now: Micros) -> Result<Node, String> {
        let setup = configure.setup;
        let mut classes = Vec::new();
        for class in &setup.classes {
            let scope = match class.dedup_scope.as_str() {
                "zone" => Scope::Zone,
                "cell" => Scope::Cell,
                _ => Scope::All,
            };
            let effect = match class.effect.as_str() {
                "safe" => Effect::Safe,
                "keyed" => Effect::Keyed { scope, window: micros(class.window) },
                "unsafe" => Effect::Unsafe,
                other => return Err(format!("CONFIGURE: unknown effect {other:?}")),
            };
            classes.push(Class { aim: micros(class.aim), worth: class.worth.unwrap_or(1.0), effect });
        }
        let defaults = Settings::default();
        let (limits, rules) = (setup.limits, setup.guarantees);
        let settings = Settings {
            classes,
            tenant_shares: setup.tenants.iter().map(|t| t.share).collect(),
            over_share_worth: setup.over_share_worth.unwrap_or(defaults.over_share_worth),
            mode: if setup.family_info.mode == "aside" { Mode::Aside } else { Mode::Through },
            must_subscribe: setup.registry_mode == "subscribe",
            must_ask_in: micros(rules.must_ask_in),
            steady_weights: setup.weights != "live",
            cancel: limits.cancel,
            second_copies: limits.second_copies,
            max_attempts: limits.max_attempts.unwrap_or(defaults.max_attempts),
            max_retry_after: if limits.retry_after { micros(limits.max_retry_after) } else { 0 },
            cold: micros(rules.cold),
            cold_from: rules.cold_from.unwrap_or(defaults.cold_from),
            overload_factor: rules.overload_factor.unwrap_or(defaults.overload_factor),
            fall: micros(rules.fall),
            quantum: micros(setup.quantum),
            nodes: setup.siblings.max(1),
            zone: setup.zone.and_then(|zone| setup.dcs.iter().position(|z| *z == zone)).map(|z| z as u32),
            cross_zone_price: setup.prices.cross_zone,
            keepalive: limits.keepalive.map_or(defaults.keepalive, micros),
        };
        let origin_kind = setup.family_info.origin_kind.and_then(|k| usize::try_from(k).ok());
        let index = |names: Vec<String>| names.into_iter().zip(0..).collect::<HashMap<_, usize>>();
        Ok(Node {
            balancer: Balancer::new(settings, configure.nonce64, now),
            classes: index(setup.classes.into_iter().map(|c| c.name).collect()),
            tenants: index(setup.tenants.into_iter().map(|t| t.name).collect()),
            zones: setup.dcs.into_iter().zip(0..).collect(),
            origin_kind: origin_kind.and_then(|k| setup.skus.get(k).cloned()),
            kinds: setup.skus.into_iter().zip(0..).collect(),
        })
    }

    fn members(&mut self, endpoints: Endpoints) -> Result<Event, String> {
        let scope = match &*endpoints.scope {
            "delta" => ListScope::Delta,
            "full" | "cached" => ListScope::Full,
            "failed" => ListScope::Failed,
            other => return Err(format!("ENDPOINTS: unknown scope {other:?}")),
        };
        let mut members = Vec::with_capacity(endpoints.members.len());
        for entry in endpoints.members {
            let state = match &*entry.lifecycle {
                "up" => MemberState::Up,
                "draining" => MemberState::Draining,
                "removed" => MemberState::Removed,
                other => return Err(format!("ENDPOINTS: unknown lifecycle {other:?}")),
            };
            let origin = self.origin_kind.as_deref().is_some_and(|kind| kind == entry.kind);
            members.push(Member {
                id: ServerId(entry.server),
                state,
                zone: number(&mut self.zones, entry.area),
                cell: entry.group,
                kind: number(&mut self.kinds, entry.kind),
                weight: entry.weight.unwrap_or(1.0),
                started: entry.start_time.filter(|&t| t > 0.0).map(micros),
                origin,
            });
        }
        Ok(Event::Members { scope, members })
    }

    fn request(&self, request: NewRequest) -> Event {
        let tenant = match request.user_group {
            Some(NameOrNumber::Name(name)) => self.tenants.get(&name).copied(),
            Some(NameOrNumber::Number(IgnoredAny)) | None => None,
        };
        Event::Request(Request {
            id: RequestId(request.rid),
            class: self.classes.get(&*request.lane).copied(),
            tenant,
            key: request.name_key,
            budget: micros(request.budget),
            write: request.write.unwrap_or(false),
        })
    }
}

/// The index of a name; a new one for a name not met before.
fn number(names: &mut HashMap<String, u32>, name: Cow<str>) -> u32 {
    let next = names.len() as u32;
    match names.get(&*name) {
        Some(&index) => index,
        None => *names.entry(name.into_owned()).or_insert(next),
    }
}

fn finished(event: Finished) -> Result<Event, String> {
    let outcome = match &*event.code {
        "Ok" => Outcome::Ok,
        "Failed" => Outcome::Failed,
        "QueueFull" => Outcome::QueueFull,
        "TimedOut" => Outcome::TimedOut,
        "ConnectError" => Outcome::ConnectError,
        "ResetByPeer" => Outcome::Reset,
        "Canceled" => Outcome::Canceled,
        "Ignored" => Outcome::Ignored,
        "Miss" => Outcome::Miss,
        other => return Err(format!("FINISHED: unknown code {other:?}")),
    };
    Ok(Event::Outcome(AttemptEnd {
        id: RequestId(event.rid),
        attempt: event.leg,
        outcome,
        elapsed: micros(event.duration),
        settled: event.settled.unwrap_or(false),
        hit: event.detail.filter(|&d| d > 0).map(|d| d == 1),
        utilization: event.pressure.and_then(|p| p.utilization),
    }))
}

fn reply(instance: u64, action: Action) -> Reply {
    match action {
        Action::Send { id, server, timeout } => {
            Reply::Place { instance, rid: id.0, server: server.0, within: millis(timeout) }
        }
        Action::Cancel { id, attempt } => Reply::AbortAttempt { instance, rid: id.0, leg: attempt },
        Action::Refuse { id, retry_after } => {
            Reply::Reject { instance, rid: id.0, stay_away: millis(retry_after) }
        }
        Action::Fail(id) => Reply::EndFailed { instance, rid: id.0 },
        Action::SetTimer { after, token } => {
            Reply::NotifyMe { instance, after: millis(after), token: token.0.to_string() }
        }
        Action::Subscribe => Reply::Subscribe { instance, active: true },
        Action::Disconnect(server) => Reply::LetGo { instance, server: server.0 },
    }
}

/// Hosts any number of instances: reads batches from `input`, writes one reply each to `output`
/// and notes on what was skipped to `notes`, until `input` ends.
///
/// # Errors
/// On input that is malformed, ends within a batch, or names an instance that was never set up;
/// nothing is written for the batch in hand. On a failing reader or writer.
pub fn run(mut input: impl BufRead, mut output: impl Write, mut notes: impl Write) -> Result<(), WireError> {
    let mut nodes: BTreeMap<u64, Node> = BTreeMap::new();
    let mut batch: Option<(Micros, u64)> = None;
    let mut replies: Vec<(u64, Result<Action, String>)> = Vec::new();
    let (mut actions, mut text, mut bytes) = (Vec::new(), String::new(), Vec::new());
    let mut line = 0;
    loop {
        line += 1;
        let fail = |what: String| WireError { line, what };
        let io_failed = |e: io::Error| WireError { line, what: e.to_string() };
        text.clear();
        if input.read_line(&mut text).map_err(io_failed)? == 0 {
            return match batch {
                Some((_, number)) => Err(fail(format!("input ended within batch {number}"))),
                None => Ok(()),
            };
        }
        if text.trim().is_empty() {
            continue;
        }
        let message = match serde_json::from_str::<Message>(&text) {
            Ok(message) => message,
            Err(error) => match unknown_name(&text) {
                Some(name) => {
                    writeln!(notes, "input line {line}: skipped unknown event {name:?}")
                        .map_err(io_failed)?;
                    continue;
                }
                None => return Err(fail(error.to_string())),
            },
        };
        let now = match (&message, batch) {
            (Message::Round(round), None) => {
                batch = Some((micros(round.at_time), round.number));
                continue;
            }
            (Message::Round(_), Some(_)) => return Err(fail("ROUND within a batch".into())),
            (_, None) => return Err(fail("an event outside a batch".into())),
            (_, Some((now, _))) => now,
        };
        let (instance, event) = match message {
            Message::Round(_) | Message::Checked(_) | Message::FromPeer(_) => continue,
            Message::Flush(_) => {
                bytes.clear();
                for (instance, action) in replies.drain(..) {
                    let reply = match action {
                        Ok(action) => reply(instance, action),
                        Err(words) => Reply::Broken { instance, words },
                    };
                    serde_json::to_writer(&mut bytes, &reply).map_err(|e| fail(e.to_string()))?;
                    bytes.push(b'\n');
                }
                let n = batch.take().map_or(0, |(_, number)| number);
                serde_json::to_writer(&mut bytes, &Reply::Eor { n }).map_err(|e| fail(e.to_string()))?;
                bytes.push(b'\n');
                output.write_all(&bytes).and_then(|()| output.flush()).map_err(io_failed)?;
                continue;
            }
            Message::Configure(configure) => {
                let instance = configure.instance;
                nodes.insert(instance, Node::new(*configure, now).map_err(fail)?);
                replies.retain(|&(of, _)| of != instance);
                continue;
            }
            Message::Exit(Instance { instance }) => {
                nodes.remove(&instance).ok_or_else(|| fail(no_instance(instance)))?;
                // What the killed instance asked for earlier in this batch dies with it.
                replies.retain(|&(of, _)| of != instance);
                continue;
            }
            Message::Endpoints(e) => {
                let instance = e.instance;
                let node = nodes.get_mut(&instance).ok_or_else(|| fail(no_instance(instance)))?;
                (instance, node.members(e).map_err(fail)?)
            }
            Message::NewRequest(r) => {
                let instance = r.instance;
                let node = nodes.get(&instance).ok_or_else(|| fail(no_instance(instance)))?;
                (instance, node.request(r))
            }
            Message::FirstByte(f) => (f.instance, Event::FirstByte { id: RequestId(f.rid), attempt: f.leg }),
            Message::Finished(f) => (f.instance, finished(f).map_err(fail)?),
            Message::ClientGone(g) => (g.instance, Event::ClientGone(RequestId(g.rid))),
            Message::Timer(t) => match t.token.parse() {
                Ok(token) => (t.instance, Event::Timer(TimerToken(token))),
                Err(_) => continue, // no timer of ours
            },
        };
        let node = nodes.get_mut(&instance).ok_or_else(|| fail(no_instance(instance)))?;
        // A panic of the decisions is told for its instance; it ends the run on the bench's side.
        let decide = || node.balancer.on_event(now, event, &mut actions);
        let broken = std::panic::catch_unwind(std::panic::AssertUnwindSafe(decide)).err();
        replies.extend(actions.drain(..).map(|action| (instance, Ok(action))));
        replies.extend(broken.map(|panic| (instance, Err(words(&*panic)))));
    }
}

/// What a panic said.
fn words(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "the decisions panicked".into())
}

fn no_instance(instance: u64) -> String {
    format!("instance {instance} was not set up")
}

/// The name of a well-formed message that no version of ours knows.
fn unknown_name(text: &str) -> Option<String> {
    const KNOWN: [&str; 12] = [
        "ROUND",
        "FLUSH",
        "CONFIGURE",
        "EXIT",
        "ENDPOINTS",
        "NEW_REQUEST",
        "FIRST_BYTE",
        "FINISHED",
        "CLIENT_GONE",
        "TIMER",
        "CHECKED",
        "FROM_PEER",
    ];
    let message: BTreeMap<String, IgnoredAny> = serde_json::from_str(text).ok()?;
    let (name, _) = message.into_iter().next()?;
    (!KNOWN.contains(&name.as_str())).then_some(name)
}
