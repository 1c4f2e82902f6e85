//! One client connection: reads commands, opens requests at the core and writes the answers in the order of the commands.

use std::future::pending;
use std::io;
use std::sync::Arc;

use bytes::BytesMut;
use lilacquay_core::{Answer, Call, ValueStream, stall};
use lilacquay_metrics::RequestOutcome;
use lilacquay_stream::Stream;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use crate::arriving_command::{ArrivingCommand, ReadMode, Received, RefusedCommand};
use crate::buffer_memory::ReservedMemory;
use crate::close_policy::{CloseDecision, ClosePolicy, ConnectionState, may_read, times_out_at};
use crate::close_reason::CloseReason;
use crate::delivery::DeliveryEstimate;
use crate::evictable_connections::{Activity, EvictableConnection};
use crate::protocol::{CloseNotice, Malformed, ParsedCommand, Protocol, Refusal};
use crate::responses::{BufferedValue, LargeValue, NextResponse, Response, Responses, WaitingRequest};
use crate::shared::SharedState;
use crate::socket::{wait_for_close, write_all};

/// The most pending responses on one connection, errors included; beyond that no more commands are started.
const MAX_PENDING_RESPONSES: usize = 1024;
/// The most commands started before other tasks get to run.
const COMMANDS_PER_TURN: usize = 32;
/// Once this many bytes of answers are collected, they are written and other tasks get to run; the last answer may
/// exceed it.
const ANSWER_BYTES_PER_TURN: usize = 16 << 10;

/// How a large value that has begun to arrive is handled.
enum LargeValueStart<R> {
    Forward(LargeValue<R>),
    Buffer,
    /// There is no memory for it.
    Failed,
}

pub(crate) struct Session<P: Protocol> {
    shared: Arc<SharedState>,
    protocol: P,
    input: ArrivingCommand<P::ReplyContext>,
    last_read_at: Instant,
    /// When the most recently read bytes arrived at the socket.
    arrived_at: Instant,
    responses: Responses<P::ReplyContext>,
    /// The number of requests among the pending responses.
    open_requests: usize,
    /// Whether the client has ever sent a valid command.
    has_sent_valid_command: bool,
    /// Whether a request of this client was ever opened at the core. Many clients that only ask whether the node is in
    /// service, and stay connected, must not count as clients that rest between requests.
    has_opened_request: bool,
    connected_at: Instant,
    close_policy: ClosePolicy,
    delivery: DeliveryEstimate,
    /// The last progress: the connection's start, its last answer, the last command taken from the buffer or, once the
    /// client has sent a valid command, the first byte of the next.
    last_progress_at: Instant,
    /// Whether the last turn ended only at [`COMMANDS_PER_TURN`], so that the buffer may hold another complete command.
    may_have_command: bool,
    /// When malformed input arrived; nothing more is read after it.
    malformed_at: Option<Instant>,
    /// Whether the client has asked for the connection to be closed; nothing more is read then.
    quit_requested: bool,
}

impl<P: Protocol> Drop for Session<P> {
    /// Reports the requests of a session that has not run to its end as left without an answer.
    fn drop(&mut self) {
        self.report_unanswered();
    }
}

impl<P: Protocol> Session<P> {
    pub fn new(shared: Arc<SharedState>, protocol: P) -> Self {
        let now = Instant::now();
        let input = ArrivingCommand::new(shared.requests.metrics().buffers());
        Session {
            shared,
            protocol,
            input,
            last_read_at: now,
            arrived_at: now,
            responses: Responses::new(),
            open_requests: 0,
            has_sent_valid_command: false,
            has_opened_request: false,
            connected_at: now,
            close_policy: ClosePolicy::default(),
            delivery: DeliveryEstimate::default(),
            last_progress_at: now,
            may_have_command: false,
            malformed_at: None,
            quit_requested: false,
        }
    }

    pub async fn run(mut self, stream: TcpStream) {
        let peer = stream.peer_addr().ok();
        let stream = Stream::new(stream);
        let reason = self.serve(&stream).await.unwrap_or_else(CloseReason::from);
        let (owed, unread) = (self.responses.len(), self.input.unhandled_bytes());
        debug!(?peer, owed, unread, "client connection closed: {reason}");
        self.shared.requests.metrics().connection_closed(reason.name());
        if reason.is_client_side() {
            self.responses.clear(); // the client has given up these answers itself, so that they are not reported
        } else {
            self.report_unanswered();
            self.close_gracefully(&stream).await;
        }
        drop(stream);
        self.shared.session_ended.notify_waiters();
    }

    /// Reports the pending requests as left without an answer, and drops them.
    fn report_unanswered(&mut self) {
        let responses = self.responses.take_all();
        let unanswered = responses.filter_map(Response::into_pending);
        unanswered.for_each(|pending| self.shared.requests.record_closed_unanswered(&pending));
    }

    /// Ends the node's side of the connection, and keeps it until its client has read the last answers and closes. Reads
    /// nothing: the client may send what is still unread again on a new connection.
    async fn close_gracefully(&mut self, stream: &Stream) {
        self.input.clear();
        if stream.clone().shutdown().await.is_err() {
            return; // the client has gone
        }
        let now = Instant::now();
        let socket_buffer_bytes = stream.send_buffer_bytes().unwrap_or(usize::MAX);
        let Some(until) = self.delivery.linger_until(now, socket_buffer_bytes) else { return };
        let mut registration = Some(self.shared.evictable_connections.register(Activity::Closing, now));
        let mut unread_since = None;
        let ended_by = tokio::select! {
            _ = wait_for_close(stream, &mut unread_since) => "the client closed",
            () = sleep_until(until) => "the client had time to read all",
            () = EvictableConnection::evicted(&mut registration) => "it made room for another",
        };
        debug!(lingered_ms = now.elapsed().as_millis() as u64, "closed connection released: {ended_by}");
    }

    /// Serves the connection to its end and returns the reason for that. I/O errors are those of the client's socket;
    /// [`CloseReason`] converts them.
    async fn serve(&mut self, stream: &Stream) -> io::Result<CloseReason> {
        stream.socket().set_nodelay(true)?;
        let (mut reader, mut writer) = (stream.clone(), stream.clone());
        let (shared, mut service_mode) = (self.shared.clone(), self.shared.service_mode.clone());
        let (mut registration, mut answering, mut just_answered) = (None, None, false);
        // Since when input has been waiting to be read, as far as that is known.
        let mut unread_since = None;
        loop {
            let nothing_pending = self.responses.is_empty();
            answering = (!nothing_pending).then(|| answering.unwrap_or_else(|| shared.answering.token()));
            let mode = *service_mode.borrow_and_update();
            self.input.update_expected_length(&self.protocol);
            if self.input.must_be_discarded(!nothing_pending) {
                self.discard_command();
            }
            let state = self.connection_state(just_answered);
            let close_decision = self.close_policy.decide(mode, &state);
            if let CloseDecision::Close(reason) = close_decision {
                return Ok(reason);
            }
            just_answered = false;
            let activity = nothing_pending.then(|| self.activity());
            if activity != registration.as_ref().map(EvictableConnection::activity) {
                registration = activity.map(|activity| {
                    self.shared.evictable_connections.register(activity, self.last_progress_at)
                });
            }
            let read_mode = self.read_mode(may_read(mode, &state));
            let times_out_at = times_out_at(&state);
            tokio::select! {
                biased;
                received = self.input.receive(read_mode, !nothing_pending, &mut reader, &self.protocol, &shared.buffer_memory, &mut unread_since) => {
                    match received? {
                        Received::Bytes(0) => return Ok(CloseReason::ClientDisconnected),
                        Received::Bytes(read) => self.received(read, &mut unread_since),
                        Received::MemoryChanged if self.input.is_granted() => self.last_read_at = Instant::now(),
                        Received::MemoryChanged | Received::ReadAhead => {}
                    }
                }
                response = self.responses.next(&self.shared.requests), if !nothing_pending => {
                    let (text, large_value) = self.collect_answers(response);
                    if let Some(reason) = self.write_answers(&reader, &mut writer, text, large_value, &mut unread_since).await? {
                        return Ok(reason);
                    }
                    self.last_progress_at = Instant::now();
                    just_answered = true;
                }
                () = yield_now(), if self.may_have_command => {}
                // Placed after the read: available input is read first.
                () = yield_now(), if close_decision == CloseDecision::CloseIfNothingToRead => {
                    return Ok(CloseReason::ShuttingDown);
                }
                () = recheck_due(close_decision) => {}
                Ok(()) = service_mode.changed() => {}
                () = sleep_until_or_forever(times_out_at) => {
                    let text = self.final_answers();
                    write_all(&mut writer, &text, &mut self.delivery).await?;
                    return Ok(self.timeout_reason());
                }
                () = EvictableConnection::evicted(&mut registration) => return Ok(CloseReason::Evicted),
            }
            self.start_commands();
        }
    }

    /// Which input may be handled now.
    ///
    /// `may_read_more`: whether the service mode allows more to be read.
    fn read_mode(&self, may_read_more: bool) -> ReadMode {
        let may_handle = self.may_start_command() || self.input.is_discarded();
        let expects_more = self.malformed_at.is_none() && !self.quit_requested;
        match (may_handle, may_read_more) {
            (true, _) if self.may_have_command => ReadMode::WaitForClose, // the buffer's commands come first
            (true, true) => ReadMode::Read,
            (true, false) if self.input.has_read_ahead() => ReadMode::Read,
            (false, true) if expects_more => ReadMode::ReadAhead,
            _ => ReadMode::WaitForClose,
        }
    }

    /// The state of the connection for the close policy.
    fn connection_state(&self, just_answered: bool) -> ConnectionState {
        ConnectionState {
            now: Instant::now(),
            connected_at: self.connected_at,
            last_progress_at: self.last_progress_at,
            last_read_at: self.last_read_at,
            // What was read ahead is answered as well.
            has_pending_response: !self.responses.is_empty() || self.input.has_read_ahead(),
            in_command: self.input.is_partial(),
            has_sent_valid_command: self.has_sent_valid_command,
            has_opened_request: self.has_opened_request,
            just_answered,
            malformed_at: self.malformed_at,
            quit_requested: self.quit_requested,
            process_ending: self.shared.requests.is_shutting_down(),
            long_command: self.input.long_command(),
        }
    }

    /// What is written to a client on a timeout: every command that was read is answered, if need be as failed.
    fn final_answers(&mut self) -> BytesMut {
        let mut text = BytesMut::new();
        if self.malformed_at.is_none() {
            self.protocol.write_close_notice(CloseNotice::CommandTimeout, &mut text);
        }
        for response in self.responses.take_all() {
            match response.into_answer() {
                Err(ready) => text.extend_from_slice(&ready),
                Ok((context, answer)) => self.protocol.write_answer(context, answer, &mut text),
            }
        }
        text
    }

    /// Why a client that has timed out is disconnected.
    fn timeout_reason(&self) -> CloseReason {
        if self.malformed_at.is_some() { CloseReason::MalformedCommand } else { CloseReason::CommandTimeout }
    }

    /// Records that bytes were read. Bytes that lay unread for a while count as arrived when they were first noticed.
    fn received(&mut self, read: usize, unread_since: &mut Option<Instant>) {
        self.last_read_at = Instant::now();
        stall::record_activity(None);
        let read_ahead_arrival = self.input.take_read_ahead_arrival();
        self.arrived_at = read_ahead_arrival
            .or(*unread_since)
            .unwrap_or_else(|| stall::estimated_arrival(self.last_read_at));
        self.input.record_arrival();
        let buffer = &self.input.buffer;
        if read_ahead_arrival.is_none() && buffer.len() < buffer.capacity() {
            *unread_since = None; // the read left spare capacity, so nothing is left to read
        }
        if self.has_sent_valid_command && read == buffer.len() && !self.input.is_discarded() {
            self.last_progress_at = self.last_read_at; // the first byte of a command
        }
    }

    /// Writes answers, then the large value behind them as it arrives. Meanwhile watches for a close, so that no attempts
    /// begin for a client that has disconnected, and frees the memory of the next command if it is withdrawn. Returns
    /// the reason if the connection ends.
    async fn write_answers(
        &mut self,
        reader: &Stream,
        writer: &mut Stream,
        mut text: BytesMut,
        large_value: Option<LargeValue<P::ReplyContext>>,
        unread_since: &mut Option<Instant>,
    ) -> io::Result<Option<CloseReason>> {
        let value = large_value.map(|LargeValue { context, value_stream, buffered, memory }| {
            let (length, flags) = (value_stream.length(), value_stream.flags());
            self.protocol.write_value_header(context, length, flags, &mut text);
            let mut trailer = BytesMut::new();
            self.protocol.write_value_trailer(&mut trailer);
            ForwardedValue { value_stream, buffered, memory, trailer }
        });
        let mut delivery = self.delivery;
        let ended = {
            let writing = write_text_and_value(writer, text, value, &mut delivery);
            tokio::pin!(writing);
            loop {
                tokio::select! {
                    biased;
                    written = &mut writing => break written.map(|()| None),
                    closed = wait_for_close(reader, unread_since) => {
                        break closed.map(|()| Some(CloseReason::ClientDisconnected));
                    }
                    () = self.input.withdrawn() => self.discard_command(),
                }
            }
        };
        self.delivery = delivery;
        ended
    }

    /// Discards the arriving command, for which there is no memory. One that can't be refused is taken for malformed, unless
    /// it is whole and waits to be started.
    fn discard_command(&mut self) {
        if self.input.discard(&self.protocol).is_ok() {
            return;
        }
        if self.may_start_command() {
            let response = self.reject_malformed();
            self.responses.push_back(response);
        } else {
            self.input.release_memory();
        }
    }

    /// The answer to malformed input, after which nothing more is read.
    fn reject_malformed(&mut self) -> Response<P::ReplyContext> {
        self.malformed_at = Some(Instant::now());
        self.input.clear();
        let mut text = BytesMut::new();
        self.protocol.write_close_notice(CloseNotice::Malformed, &mut text);
        Response::Ready(text)
    }

    /// The refusal of a command that was discarded as it arrived.
    fn refuse_discarded(&mut self, command: RefusedCommand<P::ReplyContext>) -> Response<P::ReplyContext> {
        self.has_sent_valid_command = true;
        self.shared.requests.record_answered_before_open(command.class, RequestOutcome::Refused);
        let mut text = BytesMut::new();
        self.protocol.write_answer(command.context, Answer::Busy(0), &mut text);
        Response::Ready(text)
    }

    fn activity(&self) -> Activity {
        match (self.input.is_partial(), self.has_opened_request) {
            (true, _) => Activity::InCommand,
            (false, true) => Activity::BetweenRequests,
            (false, false) => Activity::NoRequestYet,
        }
    }

    /// The text of a response and of those available behind it, up to the first large value, which ends the text.
    fn collect_answers(
        &mut self,
        first: NextResponse<P::ReplyContext>,
    ) -> (BytesMut, Option<LargeValue<P::ReplyContext>>) {
        let (mut text, mut response) = (BytesMut::new(), first);
        loop {
            match response {
                NextResponse::Ready(ready) if text.is_empty() => text = ready,
                NextResponse::Ready(ready) => text.extend_from_slice(&ready),
                NextResponse::Answer(request, Answer::Streaming(value_stream)) => {
                    match self.start_large_value(request, value_stream, &mut text) {
                        LargeValueStart::Forward(value) => return (text, Some(value)),
                        LargeValueStart::Buffer => return (text, None),
                        LargeValueStart::Failed => {}
                    }
                }
                NextResponse::Answer(request, answer) => {
                    self.write_answer(request.context, answer, &mut text);
                }
                NextResponse::Incomplete(context) => self.write_answer(context, Answer::Failed, &mut text),
                NextResponse::Value(value) => {
                    self.open_requests -= 1;
                    return (text, Some(value));
                }
            }
            let next = (text.len() < ANSWER_BYTES_PER_TURN).then(|| self.responses.try_next()).flatten();
            match next {
                Some(next) => response = next,
                None => return (text, None),
            }
        }
    }

    fn write_answer(&mut self, context: P::ReplyContext, answer: Answer, text: &mut BytesMut) {
        self.open_requests -= 1;
        self.protocol.write_answer(context, answer, text);
    }

    /// Handles a large value that begins to arrive: it is forwarded, or buffered if any part of a command was read behind it.
    fn start_large_value(
        &mut self,
        request: WaitingRequest<P::ReplyContext>,
        value_stream: ValueStream,
        text: &mut BytesMut,
    ) -> LargeValueStart<P::ReplyContext> {
        let WaitingRequest { pending, context, .. } = request;
        if self.responses.is_empty() && !self.input.is_partial() {
            self.open_requests -= 1;
            let (buffered, memory) = Default::default();
            return LargeValueStart::Forward(LargeValue { context, value_stream, buffered, memory });
        }
        let Some(memory) = self.shared.buffer_memory.try_reserve_value(value_stream.length()) else {
            self.write_answer(context, Answer::Failed, text);
            return LargeValueStart::Failed;
        };
        let value = BufferedValue::new(pending, context, value_stream, memory);
        self.responses.push_front(Response::Buffering(value));
        LargeValueStart::Buffer
    }

    /// Whether another command may be started.
    fn may_start_command(&self) -> bool {
        let has_room = || self.shared.requests.has_memory();
        self.malformed_at.is_none()
            && !self.quit_requested
            && self.responses.len() < MAX_PENDING_RESPONSES
            && (self.responses.is_empty() || has_room())
    }

    /// Starts the complete commands in the buffer, up to [`COMMANDS_PER_TURN`].
    fn start_commands(&mut self) {
        if let Some(command) = self.input.drop_discarded() {
            let response = self.refuse_discarded(command);
            self.responses.push_back(response);
            self.last_progress_at = Instant::now();
        }
        let before = self.input.buffer.len();
        self.may_have_command = self.start_up_to_limit();
        self.input.release_unneeded();
        if self.input.buffer.len() < before {
            self.last_progress_at = Instant::now();
        }
    }

    /// Returns whether it ended only at [`COMMANDS_PER_TURN`].
    fn start_up_to_limit(&mut self) -> bool {
        for _ in 0..COMMANDS_PER_TURN {
            if !self.may_start_command() || self.input.is_discarded() {
                return false;
            }
            let buffer = &mut self.input.buffer;
            let before = buffer.len();
            let response = match self.protocol.next_command(buffer) {
                Ok(None) => return false,
                Ok(Some(ParsedCommand::Call(call, context))) => {
                    self.open_request(*call, context, before - self.input.buffer.len())
                }
                Ok(Some(ParsedCommand::Answered { text, valid })) => {
                    self.has_sent_valid_command |= valid;
                    Response::Ready(text)
                }
                Ok(Some(ParsedCommand::Ping { in_service, leaving })) => {
                    self.has_sent_valid_command = true;
                    let ping_succeeds = self.shared.service_mode.borrow().ping_succeeds;
                    Response::Ready(if ping_succeeds { in_service } else { leaving })
                }
                Ok(Some(ParsedCommand::Quit(text))) => {
                    self.quit_requested = true;
                    self.input.clear();
                    Response::Ready(text)
                }
                Err(Malformed) => self.reject_malformed(),
            };
            self.responses.push_back(response);
        }
        true
    }

    /// Opens a request for a command of `length` bytes, or refuses it.
    fn open_request(
        &mut self,
        call: Call,
        context: P::ReplyContext,
        length: usize,
    ) -> Response<P::ReplyContext> {
        let class = call.class;
        let opened = match self.open_requests < P::MAX_OPEN_REQUESTS {
            true => self.shared.requests.open(call, self.arrived_at, length).map_err(|_| Refusal::IdInUse),
            false => Err(Refusal::TooManyRequests),
        };
        match opened {
            Ok(pending) => {
                self.open_requests += 1;
                (self.has_opened_request, self.has_sent_valid_command) = (true, true);
                let memory = self.input.take_long_command_memory(length);
                Response::Waiting(WaitingRequest { pending, context, _memory: memory })
            }
            Err(refusal) => {
                self.shared.requests.record_answered_before_open(class, RequestOutcome::Failed);
                let mut text = BytesMut::new();
                self.protocol.write_refusal(context, refusal, &mut text);
                Response::Ready(text)
            }
        }
    }
}

/// A large value that is forwarded as it arrives.
struct ForwardedValue {
    value_stream: ValueStream,
    /// Its first bytes, which have arrived.
    buffered: BytesMut,
    /// The memory of its first bytes.
    memory: Option<ReservedMemory>,
    /// What is written behind it.
    trailer: BytesMut,
}

/// Writes answers, then the large value behind them.
async fn write_text_and_value(
    writer: &mut Stream,
    text: BytesMut,
    value: Option<ForwardedValue>,
    delivery: &mut DeliveryEstimate,
) -> io::Result<()> {
    write_all(writer, &text, delivery).await?;
    let Some(ForwardedValue { mut value_stream, buffered, memory, trailer }) = value else { return Ok(()) };
    write_all(writer, &buffered, delivery).await?;
    let mut left = value_stream.length().saturating_sub(buffered.len());
    drop((buffered, memory));
    while left > 0 {
        // An incomplete value must not look complete: the client sees the connection end.
        let piece = value_stream.next().await.ok_or(io::ErrorKind::UnexpectedEof)?;
        write_all(writer, &piece.bytes, delivery).await?;
        left = left.saturating_sub(piece.bytes.len());
    }
    write_all(writer, &trailer, delivery).await
}

/// Waits until the time at which the close decision is to be made again; for ever if there is none.
async fn recheck_due(decision: CloseDecision) {
    let at = if let CloseDecision::RecheckAt(at) = decision { Some(at) } else { None };
    sleep_until_or_forever(at).await;
}

/// Sleeps until `at`; for ever without it.
async fn sleep_until_or_forever(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
