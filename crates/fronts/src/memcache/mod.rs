//! The client-facing memcached binary protocol.
//!
//! Commands that a node without storage can relay are served; the others are refused with the appropriate status.
//! `docs/memcached.md` gives the reason for each opcode. What the core needs and a command does not state, such as its
//! class and timeout, comes from [`CommandRules`].

pub mod command_rules;
pub mod users;

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{process, str};

use bytes::{Bytes, BytesMut};
use lilacquay_codec::memcache::{self, MAX_KEY_BYTES, Opcode, Packet, Status, next_request};
use lilacquay_core::{
    Answer, Call, CallError, Gauges, MAX_BUFFERED_VALUE_BYTES, MAX_WRITE_VALUE_BYTES, OperationResult,
    StoreOptions, Verb,
};

use crate::protocol::{CloseNotice, Malformed, ParsedCommand, PartialCommand, Protocol, Refusal};
use command_rules::{CommandRules, UnsupportedCas};
use users::Users;

/// Failed logins on one connection after which it is closed.
const MAX_FAILED_LOGINS: u32 = 3;
/// The one supported SASL mechanism.
const SASL_MECHANISM: &[u8] = b"PLAIN";

/// Features of writes that the settings declare the servers behind this node to support.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteCapabilities {
    /// ADD, REPLACE and DELETE: servers that take writes support them.
    pub conditions: bool,
    /// Flags other than 0: servers that take writes store them.
    pub flags: bool,
    /// An expiry other than 0: servers that take writes honour it.
    pub expiry: bool,
}

/// What all connections of one memcached listener share.
pub struct Frontend {
    /// The listener's name.
    name: String,
    rules: Arc<CommandRules>,
    /// The users who may log in; if `None`, no login is needed.
    users: Option<Arc<Users>>,
    capabilities: WriteCapabilities,
    gauges: Arc<Gauges>,
    started_at: Instant,
    /// Part of all request ids; differs between processes.
    nonce: u64,
    /// Connections accepted so far.
    total_connections: AtomicU64,
}

impl Frontend {
    /// Creates the state of a listener of this name; `nonce` must differ between processes.
    pub fn new(
        name: String,
        rules: Arc<CommandRules>,
        users: Option<Arc<Users>>,
        capabilities: WriteCapabilities,
        gauges: Arc<Gauges>,
        nonce: u64,
    ) -> Arc<Frontend> {
        let (started_at, total_connections) = (Instant::now(), AtomicU64::new(0));
        Arc::new(Frontend { name, rules, users, capabilities, gauges, started_at, nonce, total_connections })
    }

    /// Creates the protocol of a new connection.
    pub fn connection(self: &Arc<Self>) -> MemcacheProtocol {
        let number = self.total_connections.fetch_add(1, Ordering::Relaxed);
        let id_prefix = format!("{:016x}-{number:x}", self.nonce);
        let (user, malformed) = Default::default();
        MemcacheProtocol {
            frontend: self.clone(),
            id_prefix,
            command_count: 0,
            user,
            failed_logins: 0,
            malformed,
        }
    }
}

/// A connection that speaks memcached's binary protocol.
pub struct MemcacheProtocol {
    frontend: Arc<Frontend>,
    /// The beginning of its requests' ids.
    id_prefix: String,
    /// The number of commands so far.
    command_count: u64,
    /// The user who has logged in.
    user: Option<String>,
    failed_logins: u32,
    /// Why the input is malformed, with the opcode and opaque of its header.
    malformed: Option<(memcache::Malformed, u8, u32)>,
}

/// What is kept of a command to format its answer.
pub struct ReplyContext {
    opcode: Opcode,
    opaque: u32,
    /// The key, if the answer repeats it; empty otherwise.
    key: Bytes,
}

impl Protocol for MemcacheProtocol {
    type ReplyContext = ReplyContext;
    const MAX_COMMAND_BYTES: usize = MAX_WRITE_VALUE_BYTES + MAX_BUFFERED_VALUE_BYTES;
    /// A series of quiet commands is the protocol's own way to ask for many keys at once. Beyond the session's limit on
    /// pending responses, further commands stay unread.
    const MAX_OPEN_REQUESTS: usize = usize::MAX;

    fn expected_length(&self, buffer: &[u8]) -> usize {
        memcache::packet_length(buffer)
    }

    fn partial_command(&self, buffer: &[u8]) -> Option<PartialCommand<ReplyContext>> {
        let request = memcache::parse_partial_request(buffer)?;
        let opcode = Opcode::from_code(request.opcode)?;
        let rule = str::from_utf8(request.key)
            .ok()
            .and_then(|key| self.frontend.rules.find(&self.frontend.name, self.user.as_deref(), key));
        Some(PartialCommand {
            length: request.length,
            client_timeout: rule.map(|rule| Duration::from_micros(rule.client_timeout_us)),
            class: rule.and_then(|rule| rule.write_class.as_ref()).map(|class| class.index),
            context: ReplyContext { opcode, opaque: request.opaque, key: Bytes::new() },
        })
    }

    fn next_command(
        &mut self,
        buffer: &mut BytesMut,
    ) -> Result<Option<ParsedCommand<ReplyContext>>, Malformed> {
        let header_field = |at: usize| buffer.get(at..at + 4).and_then(|b| <[u8; 4]>::try_from(b).ok());
        let (opcode, opaque) = (buffer.get(1).copied(), header_field(12).map(u32::from_be_bytes));
        let packet = match next_request(buffer, Self::MAX_COMMAND_BYTES) {
            Ok(Some(packet)) => packet,
            Ok(None) => return Ok(None),
            Err(error) => {
                self.malformed = Some((error, opcode.unwrap_or(0), opaque.unwrap_or(0)));
                return Err(Malformed);
            }
        };
        self.command_count += 1;
        Ok(Some(match Opcode::from_code(packet.opcode) {
            Some(opcode) => self.command(opcode, &packet).unwrap_or_else(|error| rejected(&packet, error)),
            None => rejected(&packet, CommandError(Status::UNKNOWN_COMMAND, "unknown command")),
        }))
    }

    fn write_answer(&mut self, context: ReplyContext, answer: Answer, out: &mut BytesMut) {
        let ReplyContext { opcode, opaque, key } = context;
        let (verb, quiet) = verb(opcode).unwrap_or((Verb::Get, false));
        let with_status = |status: Status, text: String| Packet {
            status: status.0,
            value: text.into(),
            ..Packet::new(opcode, opaque)
        };
        let packet = match answer {
            Answer::Served(OperationResult::Value { bytes, flags }) if verb == Verb::Get => {
                let extras = Bytes::copy_from_slice(&flags.to_be_bytes());
                Packet { extras, key, value: bytes, ..Packet::new(opcode, opaque) }
            }
            // Quiet commands get no answer to a miss, nor to a write that succeeds (see the protocol's sections "Get"
            // and "Set").
            Answer::Served(OperationResult::Absent) if verb == Verb::Get && quiet => return,
            Answer::Served(OperationResult::Value { .. }) if quiet => return,
            Answer::Served(OperationResult::Value { .. }) => Packet::new(opcode, opaque),
            Answer::Served(OperationResult::Absent) if !key.is_empty() => {
                Packet { status: Status::KEY_NOT_FOUND.0, key, ..Packet::new(opcode, opaque) }
            }
            Answer::Served(OperationResult::Absent) => with_status(Status::KEY_NOT_FOUND, "Not found".into()),
            Answer::Served(OperationResult::Exists) => {
                with_status(Status::KEY_EXISTS, "Data exists for key".into())
            }
            Answer::Busy(0) => with_status(Status::BUSY, "BUSY".into()),
            Answer::Busy(retry_after) => {
                with_status(Status::BUSY, format!("BUSY {}", retry_after.div_ceil(1000)))
            }
            Answer::Failed | Answer::Streaming(_) => with_status(Status::INTERNAL_ERROR, "failed".into()),
        };
        packet.put_response(out);
    }

    fn write_value_header(&mut self, context: ReplyContext, length: usize, flags: u32, out: &mut BytesMut) {
        let ReplyContext { opcode, opaque, key } = context;
        let extras = Bytes::copy_from_slice(&flags.to_be_bytes());
        Packet { extras, key, ..Packet::new(opcode, opaque) }.put_response_header(length, out);
    }

    fn write_refusal(&mut self, context: ReplyContext, refusal: Refusal, out: &mut BytesMut) {
        let text = match refusal {
            Refusal::IdInUse => "id in use",
            Refusal::TooManyRequests => "too many commands at once",
        };
        let packet = Packet::new(context.opcode, context.opaque);
        Packet { status: Status::TEMPORARY_FAILURE.0, value: text.into(), ..packet }.put_response(out);
    }

    fn write_close_notice(&mut self, notice: CloseNotice, out: &mut BytesMut) {
        // A client that timed out is sent nothing: it could take that for the answer to its next command.
        let (CloseNotice::Malformed, Some((error, opcode, opaque))) = (notice, self.malformed.take()) else {
            return;
        };
        match error {
            // The client speaks a line protocol, such as RESP2 or memcached's text protocol: answer in a form that it
            // can read.
            memcache::Malformed::Magic(byte) if byte.is_ascii_graphic() => {
                out.extend_from_slice(b"-ERR this port speaks memcached's binary protocol\r\n");
            }
            error => {
                let status = match error {
                    memcache::Malformed::TooLong(_) => Status::VALUE_TOO_LARGE,
                    _ => Status::INVALID_ARGUMENTS,
                };
                let value = Bytes::from(error.to_string());
                Packet { opcode, opaque, status: status.0, value, ..Packet::default() }.put_response(out);
            }
        }
    }
}

impl MemcacheProtocol {
    fn command(
        &mut self,
        opcode: Opcode,
        packet: &Packet,
    ) -> Result<ParsedCommand<ReplyContext>, CommandError> {
        use Opcode::*;
        let allowed_before_login = matches!(opcode, SaslList | SaslAuth | SaslStep | Version | Quit | QuitQ);
        if !allowed_before_login && self.frontend.users.is_some() && self.user.is_none() {
            return Err(CommandError(Status::AUTHENTICATION, "log in first"));
        }
        match opcode {
            Get | GetQ | GetK | GetKQ | Set | SetQ | Add | AddQ | Replace | ReplaceQ | Delete | DeleteQ => {
                self.call(opcode, packet)
            }
            NoOp => answered(&[success(packet, "")]),
            Version => answered(&[success(packet, env!("CARGO_PKG_VERSION"))]),
            Stat => self.stat(packet),
            Quit => {
                let mut text = BytesMut::new();
                success(packet, "").put_response(&mut text);
                Ok(ParsedCommand::Quit(text))
            }
            QuitQ => Ok(ParsedCommand::Quit(BytesMut::new())),
            SaslList if self.frontend.users.is_some() => answered(&[success(packet, "PLAIN")]),
            SaslAuth if self.frontend.users.is_some() => self.login(packet),
            // The answer of a memcached without SASL.
            SaslList | SaslAuth | SaslStep => Err(CommandError(Status::UNKNOWN_COMMAND, "no SASL here")),
            _ => Err(CommandError(Status::NOT_SUPPORTED, "not kept by a node that stores nothing")),
        }
    }

    fn call(&mut self, opcode: Opcode, packet: &Packet) -> Result<ParsedCommand<ReplyContext>, CommandError> {
        let (verb, _) = verb(opcode).ok_or(CommandError(Status::UNKNOWN_COMMAND, "unknown command"))?;
        let has_value = matches!(verb, Verb::Set | Verb::Add | Verb::Replace);
        let is_write = verb != Verb::Get;
        if packet.extras.len() != if has_value { 8 } else { 0 } || !has_value && !packet.value.is_empty() {
            return Err(CommandError(Status::INVALID_ARGUMENTS, "wrong extras or value"));
        }
        if packet.key.is_empty() || packet.key.len() > MAX_KEY_BYTES {
            return Err(CommandError(Status::INVALID_ARGUMENTS, "a key has 1 to 250 bytes"));
        }
        let key = str::from_utf8(&packet.key)
            .map_err(|_| CommandError(Status::INVALID_ARGUMENTS, "a key is UTF-8"))?;
        let store_options = self.store_options(verb, &packet.extras)?;
        let user = self.user.as_deref();
        let rule = self
            .frontend
            .rules
            .find(&self.frontend.name, user, key)
            .ok_or(CommandError(Status::INVALID_ARGUMENTS, "no row of the table fits this key"))?;
        let facts = rule.command_facts(user, key, packet.cas, is_write, store_options)?;
        let id = format!("{}-{:x}-{:08x}", self.id_prefix, self.command_count, packet.opaque);
        let value = has_value.then(|| packet.value.clone());
        let class = if is_write { &rule.write_class } else { &rule.read_class };
        let mut call =
            Call::new(facts.key.to_owned(), id.into(), facts.text.into(), value, rule.client_timeout_us)?;
        call.class = class.as_ref().map(|class| class.index);
        call.tenant = rule.tenant.as_ref().map(|tenant| tenant.index);
        call.idempotency_key = facts.idempotency_key.map(Bytes::from);
        (call.verb, call.store_options) = (verb, store_options);
        let key = match opcode {
            Opcode::GetK | Opcode::GetKQ => Bytes::copy_from_slice(&packet.key),
            _ => Bytes::new(),
        };
        Ok(ParsedCommand::Call(Box::new(call), ReplyContext { opcode, opaque: packet.opaque, key }))
    }

    /// The flags and expiry of a write; an error if the servers do not support what the command asks for.
    fn store_options(&self, verb: Verb, extras: &[u8]) -> Result<StoreOptions, CommandError> {
        let capabilities = self.frontend.capabilities;
        if matches!(verb, Verb::Add | Verb::Replace | Verb::Delete) && !capabilities.conditions {
            return Err(CommandError(Status::NOT_SUPPORTED, "who takes writes here knows no conditions"));
        }
        let field = |at: usize| extras.get(at..at + 4).and_then(|b| <[u8; 4]>::try_from(b).ok());
        let number = |at: usize| field(at).map_or(0, u32::from_be_bytes);
        let store_options = StoreOptions { flags: number(0), expiry: number(4) };
        if store_options.flags != 0 && !capabilities.flags {
            return Err(CommandError(Status::NOT_SUPPORTED, "flags are not kept here; send 0"));
        }
        if store_options.expiry != 0 && !capabilities.expiry {
            return Err(CommandError(Status::NOT_SUPPORTED, "an expiry is not kept here; send 0"));
        }
        Ok(store_options)
    }

    /// Statistics of the node: under memcached's names where it has the same ones, otherwise with the prefix
    /// `lilacquay_`.
    fn stat(&self, packet: &Packet) -> Result<ParsedCommand<ReplyContext>, CommandError> {
        if !packet.key.is_empty() {
            return Err(CommandError(Status::KEY_NOT_FOUND, "no such group"));
        }
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
        let statistics = [
            ("pid", process::id().to_string()),
            ("uptime", self.frontend.started_at.elapsed().as_secs().to_string()),
            ("time", unix_time.to_string()),
            ("version", env!("CARGO_PKG_VERSION").to_owned()),
            ("total_connections", self.frontend.total_connections.load(Ordering::Relaxed).to_string()),
            ("lilacquay_requests_open", self.frontend.gauges.open_requests().to_string()),
            ("lilacquay_server_connections", self.frontend.gauges.connections().to_string()),
        ];
        let statistic_packet = |(name, value): (&str, String)| Packet {
            key: Bytes::copy_from_slice(name.as_bytes()),
            ..success(packet, value)
        };
        let mut packets: Vec<Packet> = statistics.into_iter().map(statistic_packet).collect();
        packets.push(success(packet, "")); // an empty packet ends the list
        answered(&packets)
    }

    fn login(&mut self, packet: &Packet) -> Result<ParsedCommand<ReplyContext>, CommandError> {
        let users = self.frontend.users.as_ref().filter(|_| packet.key == SASL_MECHANISM);
        // A failed login also ends an earlier one.
        self.user = users.and_then(|users| users.authenticate(&packet.value)).map(str::to_owned);
        if self.user.is_some() {
            return answered(&[success(packet, "Authenticated")]);
        }
        self.failed_logins += 1;
        let failure = CommandError(Status::AUTHENTICATION, "Auth failure");
        // Slows down password guessing: without a limit, one connection could try passwords as fast as it can send.
        if self.failed_logins >= MAX_FAILED_LOGINS {
            let mut text = BytesMut::new();
            failure.packet(packet).put_response(&mut text);
            return Ok(ParsedCommand::Quit(text));
        }
        Err(failure)
    }
}

/// The verb of a command at the core, and whether the command is quiet.
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

/// The successful answer to a command, with this value.
fn success(packet: &Packet, value: impl Into<Bytes>) -> Packet {
    let Packet { opcode, opaque, .. } = *packet;
    Packet { opcode, opaque, value: value.into(), ..Packet::default() }
}

/// Answers a command without the core, in its turn.
fn answered(packets: &[Packet]) -> Result<ParsedCommand<ReplyContext>, CommandError> {
    let mut text = BytesMut::new();
    packets.iter().for_each(|packet| packet.put_response(&mut text));
    Ok(ParsedCommand::Answered { text, valid: true })
}

/// Answers why a command is not carried out; quiet commands get error answers too.
fn rejected(packet: &Packet, error: CommandError) -> ParsedCommand<ReplyContext> {
    let mut text = BytesMut::new();
    error.packet(packet).put_response(&mut text);
    ParsedCommand::Answered { text, valid: false }
}

/// Why a complete command is not carried out: the status, and a text for people.
#[derive(Debug)]
struct CommandError(Status, &'static str);

impl CommandError {
    fn packet(&self, request: &Packet) -> Packet {
        Packet { status: self.0.0, ..success(request, self.1) }
    }
}

impl From<UnsupportedCas> for CommandError {
    fn from(UnsupportedCas: UnsupportedCas) -> Self {
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
