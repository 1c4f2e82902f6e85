//! memcached's binary protocol, toward clients.
//!
//! What a node that keeps nothing can carry is served; the rest is refused with the status for it.
//! `docs/memcached.md` says why, opcode by opcode. What commands lack in words of the core is told by a [`Table`].

pub mod command_rules;
pub mod users;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use std::{process, str};

use bytes::{Bytes, BytesMut};
use lilacquay_codec::memcache::{self, MAX_KEY_BYTES, Opcode, Packet, Status, next_request};
use lilacquay_core::{
    Answer, Call, CallError, Gauges, MAX_BUFFERED_VALUE_BYTES, MAX_WRITE_VALUE_BYTES, OperationResult,
    StoreOptions, Verb,
};

use crate::protocol::{Input, Malformed, Parting, Protocol, Refusal};
use command_rules::{Compares, Table};
use users::Users;

/// Logins that fail on one connection before it is closed.
const LOGINS: u32 = 3;
/// The one mechanism of SASL.
const PLAIN: &[u8] = b"PLAIN";

/// What the settings and the servers behind let a front carry.
#[derive(Debug, Clone, Copy, Default)]
pub struct Abilities {
    /// ADD, REPLACE and DELETE: who takes writes knows them.
    pub conditions: bool,
    /// Flags other than 0: who takes writes keeps them.
    pub flags: bool,
    /// An expiry other than 0: who takes writes heeds it.
    pub expiry: bool,
}

/// A listener's side: what all its connections share.
pub struct Front {
    /// The listener's name.
    name: String,
    table: Arc<Table>,
    /// Who may log in; without users nobody needs to.
    users: Option<Arc<Users>>,
    abilities: Abilities,
    gauges: Arc<Gauges>,
    started: Instant,
    /// Part of all ids: no two processes give the same.
    nonce: u64,
    connections: AtomicU64,
}

impl Front {
    /// The side of a listener of this name; `nonce` is another in each process.
    pub fn new(
        name: String,
        table: Arc<Table>,
        users: Option<Arc<Users>>,
        abilities: Abilities,
        gauges: Arc<Gauges>,
        nonce: u64,
    ) -> Arc<Front> {
        let (started, connections) = (Instant::now(), AtomicU64::new(0));
        Arc::new(Front { name, table, users, abilities, gauges, started, nonce, connections })
    }

    /// A new connection's protocol.
    pub fn connection(self: &Arc<Self>) -> Memcache {
        let number = self.connections.fetch_add(1, Ordering::Relaxed);
        let id = format!("{:016x}-{number:x}", self.nonce);
        let (user, unread) = Default::default();
        Memcache { front: self.clone(), id, commands: 0, user, failed: 0, unread }
    }
}

/// A connection that speaks memcached's binary protocol.
pub struct Memcache {
    front: Arc<Front>,
    /// What its requests' ids begin with.
    id: String,
    /// Commands so far.
    commands: u64,
    /// Who has logged in.
    user: Option<String>,
    /// Logins that have failed.
    failed: u32,
    /// What could not be read, with the header's opcode and opaque.
    unread: Option<(memcache::Malformed, u8, u32)>,
}

/// What is kept of a command to word its answer.
pub struct Asked {
    opcode: Opcode,
    opaque: u32,
    /// The key, where the answer has it.
    key: Bytes,
}

impl Protocol for Memcache {
    type Reply = Asked;
    const LONGEST: usize = MAX_WRITE_VALUE_BYTES + MAX_BUFFERED_VALUE_BYTES;
    /// A run of quiet commands is one's own way to ask for many keys at once. More than these wait unread.
    const AT_ONCE: usize = usize::MAX;

    fn expected(&self, buffer: &[u8]) -> usize {
        memcache::packet_length(buffer)
    }

    fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Input<Asked>>, Malformed> {
        let header = |at: usize| buffer.get(at..at + 4).and_then(|b| <[u8; 4]>::try_from(b).ok());
        let (opcode, opaque) = (buffer.get(1).copied(), header(12).map(u32::from_be_bytes));
        let packet = match next_request(buffer, Self::LONGEST) {
            Ok(Some(packet)) => packet,
            Ok(None) => return Ok(None),
            Err(why) => {
                self.unread = Some((why, opcode.unwrap_or(0), opaque.unwrap_or(0)));
                return Err(Malformed);
            }
        };
        self.commands += 1;
        Ok(Some(match Opcode::from_code(packet.opcode) {
            Some(opcode) => self.command(opcode, &packet).unwrap_or_else(|why| refused(&packet, why)),
            None => refused(&packet, CommandError(Status::UNKNOWN_COMMAND, "unknown command")),
        }))
    }

    fn answer(&mut self, asked: Asked, answer: Answer, out: &mut BytesMut) {
        let Asked { opcode, opaque, key } = asked;
        let (verb, quiet) = verb(opcode).unwrap_or((Verb::Get, false));
        let with = |status: Status, text: String| Packet {
            status: status.0,
            value: text.into(),
            ..Packet::new(opcode, opaque)
        };
        let packet = match answer {
            Answer::Served(OperationResult::Value { bytes, flags }) if verb == Verb::Get => {
                let extras = Bytes::copy_from_slice(&flags.to_be_bytes());
                Packet { extras, key, value: bytes, ..Packet::new(opcode, opaque) }
            }
            // What is not seen of quiet commands (sections "Get" and "Set"): a miss, and a write's success.
            Answer::Served(OperationResult::Absent) if verb == Verb::Get && quiet => return,
            Answer::Served(OperationResult::Value { .. }) if quiet => return,
            Answer::Served(OperationResult::Value { .. }) => Packet::new(opcode, opaque),
            Answer::Served(OperationResult::Absent) if !key.is_empty() => {
                Packet { status: Status::KEY_NOT_FOUND.0, key, ..Packet::new(opcode, opaque) }
            }
            Answer::Served(OperationResult::Absent) => with(Status::KEY_NOT_FOUND, "Not found".into()),
            Answer::Served(OperationResult::Exists) => with(Status::KEY_EXISTS, "Data exists for key".into()),
            Answer::Busy(0) => with(Status::BUSY, "BUSY".into()),
            Answer::Busy(wait) => with(Status::BUSY, format!("BUSY {}", wait.div_ceil(1000))),
            Answer::Failed | Answer::Streaming(_) => with(Status::INTERNAL_ERROR, "failed".into()),
        };
        packet.put_response(out);
    }

    fn begin(&mut self, asked: Asked, length: usize, flags: u32, out: &mut BytesMut) {
        let Asked { opcode, opaque, key } = asked;
        let extras = Bytes::copy_from_slice(&flags.to_be_bytes());
        Packet { extras, key, ..Packet::new(opcode, opaque) }.put_response_header(length, out);
    }

    fn refuse(&mut self, asked: Asked, why: Refusal, out: &mut BytesMut) {
        let text = match why {
            Refusal::InUse => "id in use",
            Refusal::TooMany => "too many commands at once",
        };
        let packet = Packet::new(asked.opcode, asked.opaque);
        Packet { status: Status::TEMPORARY_FAILURE.0, value: text.into(), ..packet }.put_response(out);
    }

    fn part(&mut self, why: Parting, out: &mut BytesMut) {
        // To one that is silent nothing is said: it could take that for the answer to its next command.
        let (Parting::Malformed, Some((why, opcode, opaque))) = (why, self.unread.take()) else { return };
        match why {
            // It speaks in lines, as RESP2 and memcached's text protocol do: told so that it can be read there.
            memcache::Malformed::Magic(byte) if byte.is_ascii_graphic() => {
                out.extend_from_slice(b"-ERR this port speaks memcached's binary protocol\r\n");
            }
            why => {
                let status = match why {
                    memcache::Malformed::TooLong(_) => Status::VALUE_TOO_LARGE,
                    _ => Status::INVALID_ARGUMENTS,
                };
                let value = Bytes::from(why.to_string());
                Packet { opcode, opaque, status: status.0, value, ..Packet::default() }.put_response(out);
            }
        }
    }
}

impl Memcache {
    fn command(&mut self, opcode: Opcode, packet: &Packet) -> Result<Input<Asked>, CommandError> {
        use Opcode::*;
        let open = matches!(opcode, SaslList | SaslAuth | SaslStep | Version | Quit | QuitQ);
        if !open && self.front.users.is_some() && self.user.is_none() {
            return Err(CommandError(Status::AUTHENTICATION, "log in first"));
        }
        match opcode {
            Get | GetQ | GetK | GetKQ | Set | SetQ | Add | AddQ | Replace | ReplaceQ | Delete | DeleteQ => {
                self.call(opcode, packet)
            }
            NoOp => said(&[answer(packet, "")]),
            Version => said(&[answer(packet, env!("CARGO_PKG_VERSION"))]),
            Stat => self.stat(packet),
            Quit => {
                let mut text = BytesMut::new();
                answer(packet, "").put_response(&mut text);
                Ok(Input::Quit(text))
            }
            QuitQ => Ok(Input::Quit(BytesMut::new())),
            SaslList if self.front.users.is_some() => said(&[answer(packet, "PLAIN")]),
            SaslAuth if self.front.users.is_some() => self.login(packet),
            // As memcached without SASL answers.
            SaslList | SaslAuth | SaslStep => Err(CommandError(Status::UNKNOWN_COMMAND, "no SASL here")),
            _ => Err(CommandError(Status::NOT_SUPPORTED, "not kept by a node that stores nothing")),
        }
    }

    fn call(&mut self, opcode: Opcode, packet: &Packet) -> Result<Input<Asked>, CommandError> {
        let (verb, _) = verb(opcode).ok_or(CommandError(Status::UNKNOWN_COMMAND, "unknown command"))?;
        let (stores, write) = (matches!(verb, Verb::Set | Verb::Add | Verb::Replace), verb != Verb::Get);
        if packet.extras.len() != if stores { 8 } else { 0 } || !stores && !packet.value.is_empty() {
            return Err(CommandError(Status::INVALID_ARGUMENTS, "wrong extras or value"));
        }
        if packet.key.is_empty() || packet.key.len() > MAX_KEY_BYTES {
            return Err(CommandError(Status::INVALID_ARGUMENTS, "a key has 1 to 250 bytes"));
        }
        let key = str::from_utf8(&packet.key)
            .map_err(|_| CommandError(Status::INVALID_ARGUMENTS, "a key is UTF-8"))?;
        let terms = self.terms(verb, &packet.extras)?;
        let user = self.user.as_deref();
        let row = self
            .front
            .table
            .find(&self.front.name, user, key)
            .ok_or(CommandError(Status::INVALID_ARGUMENTS, "no row of the table fits this key"))?;
        let facts = row.facts(user, key, packet.cas, write, terms)?;
        let id = format!("{}-{:x}-{:08x}", self.id, self.commands, packet.opaque);
        let value = stores.then(|| packet.value.clone());
        let class = if write { &row.write } else { &row.read };
        let mut call = Call::new(facts.key.to_owned(), id.into(), facts.text.into(), value, row.wait)?;
        call.class = class.as_ref().map(|class| class.index);
        call.tenant = row.tenant.as_ref().map(|tenant| tenant.index);
        call.idempotency_key = facts.idempotency.map(Bytes::from);
        (call.verb, call.store_options) = (verb, terms);
        let key = match opcode {
            Opcode::GetK | Opcode::GetKQ => Bytes::copy_from_slice(&packet.key),
            _ => Bytes::new(),
        };
        Ok(Input::Call(Box::new(call), Asked { opcode, opaque: packet.opaque, key }))
    }

    /// How a value is to be stored, if that can be kept.
    fn terms(&self, verb: Verb, extras: &[u8]) -> Result<StoreOptions, CommandError> {
        let able = self.front.abilities;
        if matches!(verb, Verb::Add | Verb::Replace | Verb::Delete) && !able.conditions {
            return Err(CommandError(Status::NOT_SUPPORTED, "who takes writes here knows no conditions"));
        }
        let number = |at: usize| extras.get(at..at + 4).and_then(|b| <[u8; 4]>::try_from(b).ok());
        let number = |at: usize| number(at).map_or(0, u32::from_be_bytes);
        let terms = StoreOptions { flags: number(0), expiry: number(4) };
        if terms.flags != 0 && !able.flags {
            return Err(CommandError(Status::NOT_SUPPORTED, "flags are not kept here; send 0"));
        }
        if terms.expiry != 0 && !able.expiry {
            return Err(CommandError(Status::NOT_SUPPORTED, "an expiry is not kept here; send 0"));
        }
        Ok(terms)
    }

    /// What the node knows of itself, by names that memcached gives the same, or with a name of its own before.
    fn stat(&self, packet: &Packet) -> Result<Input<Asked>, CommandError> {
        if !packet.key.is_empty() {
            return Err(CommandError(Status::KEY_NOT_FOUND, "no such group"));
        }
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let all = [
            ("pid", process::id().to_string()),
            ("uptime", self.front.started.elapsed().as_secs().to_string()),
            ("time", unix.to_string()),
            ("version", env!("CARGO_PKG_VERSION").to_owned()),
            ("total_connections", self.front.connections.load(Ordering::Relaxed).to_string()),
            ("lilacquay_requests_open", self.front.gauges.open_requests().to_string()),
            ("lilacquay_server_connections", self.front.gauges.connections().to_string()),
        ];
        let one = |(name, value): (&str, String)| Packet {
            key: Bytes::copy_from_slice(name.as_bytes()),
            ..answer(packet, value)
        };
        let mut packets: Vec<Packet> = all.into_iter().map(one).collect();
        packets.push(answer(packet, "")); // an empty one ends them
        said(&packets)
    }

    fn login(&mut self, packet: &Packet) -> Result<Input<Asked>, CommandError> {
        let users = self.front.users.as_ref().filter(|_| packet.key == PLAIN);
        // One that fails is nobody, whoever it was before.
        self.user = users.and_then(|users| users.check(&packet.value)).map(str::to_owned);
        if self.user.is_some() {
            return said(&[answer(packet, "Authenticated")]);
        }
        self.failed += 1;
        let wrong = CommandError(Status::AUTHENTICATION, "Auth failure");
        // Guards against: passwords tried one after another at the speed of one connection.
        if self.failed >= LOGINS {
            let mut text = BytesMut::new();
            wrong.packet(packet).put_response(&mut text);
            return Ok(Input::Quit(text));
        }
        Err(wrong)
    }
}

/// What a command asks of the core, and whether it is quiet.
fn verb(opcode: Opcode) -> Option<(Verb, bool)> {
    use Opcode::*;
    Some(match opcode {
        Get | GetK => (Verb::Get, false),
        GetQ | GetKQ => (Verb::Get, true),
        Set => (Verb::Set, false),
        SetQ => (Verb::Set, true),
        Add => (Verb::Add, false),
        AddQ => (Verb::Add, true),
        Replace => (Verb::Replace, false),
        ReplaceQ => (Verb::Replace, true),
        Delete => (Verb::Delete, false),
        DeleteQ => (Verb::Delete, true),
        _ => return None,
    })
}

/// A command's good answer, with this value.
fn answer(packet: &Packet, value: impl Into<Bytes>) -> Packet {
    let Packet { opcode, opaque, .. } = *packet;
    Packet { opcode, opaque, value: value.into(), ..Packet::default() }
}

/// Answers in the command's turn.
fn said(packets: &[Packet]) -> Result<Input<Asked>, CommandError> {
    let mut text = BytesMut::new();
    packets.iter().for_each(|packet| packet.put_response(&mut text));
    Ok(Input::Said { text, good: true })
}

/// Says why a command is not carried out, also of a quiet one: errors are seen.
fn refused(packet: &Packet, why: CommandError) -> Input<Asked> {
    let mut text = BytesMut::new();
    why.packet(packet).put_response(&mut text);
    Input::Said { text, good: false }
}

/// Why a whole command is not carried out: the status, and a text for people.
#[derive(Debug)]
struct CommandError(Status, &'static str);

impl CommandError {
    fn packet(&self, asked: &Packet) -> Packet {
        Packet { status: self.0.0, ..answer(asked, self.1) }
    }
}

impl From<Compares> for CommandError {
    fn from(_: Compares) -> Self {
        CommandError(Status::NOT_SUPPORTED, "a version is not kept here; send CAS 0")
    }
}

impl From<CallError> for CommandError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::ValueTooLong => CommandError(Status::VALUE_TOO_LARGE, "value over 4 MiB"),
            CallError::InvalidText => CommandError(Status::INVALID_ARGUMENTS, "wrong arguments"),
        }
    }
}
