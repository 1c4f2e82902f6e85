//! The bench's JSON wire protocol, translated to and from the module's interface. No decision is made here.
//!
//! One value per line; see [`run`]. Events of unknown names are skipped with a note, unknown fields and
//! settings silently; anything malformed ends the run with a [`WireError`]. Types and fields have the
//! protocol's names: a lane is a class, a leg an attempt, an area a zone and a group a cell; times are
//! milliseconds.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fmt;
use std::io::{self, BufRead, Write};

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::api::*;
use crate::balancer::Balancer;
use crate::setup::{RawSettings, Setup, micros};

/// An input line that could not be processed.
#[derive(Debug)]
pub struct WireError {
    /// Number of the input line, from 1.
    pub line: u64,
    /// The error.
    pub message: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "input line {}: {}", self.line, self.message)
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
    setup: RawSettings,
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
    Eor {
        n: u64,
    },
}

fn millis(us: Micros) -> f64 {
    us as f64 / 1000.0
}

/// One balancer, and its settings with the names that became indices.
struct Node {
    balancer: Balancer,
    setup: Setup,
}

impl Node {
    fn new(configure: Configure, now: Micros) -> Result<Node, String> {
        let setup = Setup::try_from(configure.setup).map_err(|error| format!("CONFIGURE: {error}"))?;
        Ok(Node { balancer: Balancer::new(setup.settings.clone(), configure.nonce64, now), setup })
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
            let origin = self.setup.is_origin(&entry.kind);
            members.push(Member {
                id: ServerId(entry.server),
                state,
                zone: self.setup.zone_index(entry.area),
                cell: entry.group,
                kind: self.setup.kind_index(entry.kind),
                weight: entry.weight.unwrap_or(1.0),
                started: entry.start_time.filter(|&t| t > 0.0).map(micros),
                origin,
                deduplicates: true,
            });
        }
        Ok(Event::Members { scope, members })
    }

    fn request(&self, request: NewRequest) -> Event {
        let tenant = match request.user_group {
            Some(NameOrNumber::Name(name)) => self.setup.names.tenant(&name),
            Some(NameOrNumber::Number(IgnoredAny)) | None => None,
        };
        Event::Request(Request {
            id: RequestId(request.rid),
            class: self.setup.names.class(&request.lane),
            tenant,
            key: request.name_key,
            budget: micros(request.budget),
            write: request.write.unwrap_or(false),
            has_idempotency_key: true,
        })
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
    }
}

/// Runs any number of balancer instances until `input` ends: reads batches of events from `input`, writes one
/// reply for each batch to `output` and notes on skipped events to `notes`.
///
/// # Errors
/// If the input is malformed, ends within a batch, or names an instance that was not set up; nothing is
/// written for the current batch. If reading or writing fails.
pub fn run(mut input: impl BufRead, mut output: impl Write, mut notes: impl Write) -> Result<(), WireError> {
    let mut nodes: BTreeMap<u64, Node> = BTreeMap::new();
    let mut batch: Option<(Micros, u64)> = None;
    let mut replies: Vec<(u64, Result<Action, String>)> = Vec::new();
    let (mut actions, mut text, mut bytes) = (Vec::new(), String::new(), Vec::new());
    let mut line = 0;
    loop {
        line += 1;
        let fail = |message: String| WireError { line, message };
        let io_failed = |e: io::Error| WireError { line, message: e.to_string() };
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
                // The actions that the killed instance asked for earlier in this batch are dropped.
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
                Err(_) => continue, // not a timer that an instance has set
            },
        };
        let node = nodes.get_mut(&instance).ok_or_else(|| fail(no_instance(instance)))?;
        // A panic in the decisions is reported as BROKEN for its instance; the bench then ends the run.
        let decide = || node.balancer.on_event(now, event, &mut actions);
        let broken = std::panic::catch_unwind(std::panic::AssertUnwindSafe(decide)).err();
        replies.extend(actions.drain(..).map(|action| (instance, Ok(action))));
        replies.extend(broken.map(|panic| (instance, Err(panic_message(&*panic)))));
    }
}

/// The message of a panic.
fn panic_message(panic: &(dyn std::any::Any + Send)) -> String {
    let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
    text.or_else(|| panic.downcast_ref::<String>().cloned())
        .unwrap_or_else(|| "the decisions panicked".into())
}

fn no_instance(instance: u64) -> String {
    format!("instance {instance} was not set up")
}

/// The name of a well-formed message, if it is not one of the known ones.
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
