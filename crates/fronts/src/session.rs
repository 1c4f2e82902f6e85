//! One client's connection: reads commands, opens requests, writes the answers in the order of the commands.

use std::future::pending;
use std::io;
use std::sync::Arc;

use bytes::BytesMut;
use lilacquay_core::{Answer, Call, Flow, stall};
use lilacquay_stream::Stream;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use crate::close_policy::{CloseDecision, ClosePolicy, ConnectionFacts, LongCommand, given_up_at, may_read};
use crate::close_reason::CloseReason;
use crate::idle_connections::{Guest, Seat};
use crate::protocol::{Input, Malformed, Parting, Protocol, Refusal};
use crate::responses::{Collecting, Due, LargeValue, Response, Responses, Waiting};
use crate::shared::{LARGE, Shared};
use crate::socket::{Received, read_or_wait_for_close, wait_for_close, write_all};

/// Answers owed on one connection, errors among them; beyond that it is not read.
const OWED: usize = 1024;
/// Commands begun, and bytes of answers written, before others have their turn.
const TURN: usize = 32;
const WRITTEN: usize = 16 << 10;
/// A buffer of up to this size is any connection's; larger ones are for a few at a time.
const SMALL: usize = 8 << 10;

/// What becomes of a large value that has begun to come.
enum Begun<R> {
    PassedOn(LargeValue<R>),
    Collected,
    /// There is no room for it.
    Failed,
}

pub(crate) struct Session<P: Protocol> {
    shared: Arc<Shared>,
    protocol: P,
    buffer: BytesMut,
    /// The places of a buffer that is not small.
    large: Option<OwnedSemaphorePermit>,
    /// How many bytes the command has that is coming, as far as it is known of one that is not small.
    expected: usize,
    read_at: Instant,
    /// When what was read last had come.
    came_at: Instant,
    owed: Responses<P::Reply>,
    /// How many of those owed are requests.
    open: usize,
    /// Whether it has ever sent a command that is good.
    heard: bool,
    /// Whether it has ever had a request. Guards against: crowds that ask whether the node is there, and stay.
    asked: bool,
    /// When it came.
    born: Instant,
    close_policy: ClosePolicy,
    /// Since when nothing good has come: its start, its last answer, or a command's first byte.
    since: Instant,
    /// Whether the buffer may hold another whole command.
    more: bool,
    /// When something came that can't be read: nothing more is.
    broken: Option<Instant>,
    /// Whether the client has asked for a close: nothing more is read.
    quits: bool,
}

impl<P: Protocol> Drop for Session<P> {
    /// One that has not run to its end takes with it what its client is owed.
    fn drop(&mut self) {
        self.owed.requests().for_each(|pending| self.shared.requests.left_unanswered(pending));
    }
}

impl<P: Protocol> Session<P> {
    pub fn new(shared: Arc<Shared>, protocol: P) -> Self {
        let now = Instant::now();
        Session {
            shared,
            protocol,
            buffer: BytesMut::new(),
            large: None,
            expected: 0,
            read_at: now,
            came_at: now,
            owed: Responses::new(),
            open: 0,
            heard: false,
            asked: false,
            born: now,
            close_policy: ClosePolicy::default(),
            since: now,
            more: false,
            broken: None,
            quits: false,
        }
    }

    pub async fn run(mut self, stream: TcpStream) {
        let peer = stream.peer_addr().ok();
        let stream = Stream::new(stream);
        let reason = self.serve(&stream).await.unwrap_or_else(CloseReason::from);
        let (owed, unread) = (self.owed.len(), self.buffer.len());
        debug!(?peer, owed, unread, "a client's connection closes: {reason}");
        if reason.is_clients_own() {
            self.owed.clear(); // nobody waits for these
        }
        drop(stream);
        self.shared.left.notify_waiters();
    }

    /// Serves the connection to its end; tells why it ends. An error is the client's, or [`CloseReason`] has its kind.
    async fn serve(&mut self, stream: &Stream) -> io::Result<CloseReason> {
        stream.socket().set_nodelay(true)?;
        let (mut reader, mut writer) = (stream.clone(), stream.clone());
        let (mut bearing, large) = (self.shared.bearing.clone(), self.shared.large.clone());
        let (mut seat, mut just_answered) = (None, false);
        // Since when something lies unread, as far as it is known.
        let mut unread = None;
        loop {
            let unowed = self.owed.is_empty();
            let phase = *bearing.borrow_and_update();
            let places = self.places();
            let roomy = self.buffer.len() < SMALL || self.held() >= places;
            if !roomy {
                self.large = None; // nobody waits for places and holds some
            }
            let facts = self.facts(just_answered);
            let closing = self.close_policy.decide(phase, &facts);
            if let CloseDecision::Close(reason) = closing {
                return writer.shutdown().await.map(|()| reason);
            }
            just_answered = false;
            let guest = unowed.then(|| self.guest());
            if guest != seat.as_ref().map(Seat::guest) {
                seat = guest.map(|guest| self.shared.seats.take(guest, self.since));
            }
            let reading = self.may_begin() && !self.more && may_read(phase, &facts);
            let wanted = (!roomy).then_some(places);
            let given_up_at = given_up_at(&facts);
            tokio::select! {
                biased;
                received = read_or_wait_for_close(&mut reader, &mut self.buffer, self.expected, wanted, &large, reading, &mut unread) => {
                    match received? {
                        Received::Bytes(0) => return Ok(CloseReason::ClientLeft),
                        Received::Bytes(read) => self.received(read, &mut unread),
                        Received::Places(held, readable) => {
                            self.large = Some(held);
                            unread.get_or_insert(readable);
                            self.read_at = Instant::now(); // its time goes on from here
                        }
                    }
                }
                due = self.owed.next(&self.shared.requests), if !unowed => {
                    let (text, large) = self.answers(due);
                    // Guards against: attempts that begin for a client which has left while its answers are written.
                    tokio::select! {
                        biased;
                        written = self.write_answers(&mut writer, text, large) => written?,
                        seen = wait_for_close(&reader, &mut unread) => return seen.map(|()| CloseReason::ClientLeft),
                    }
                    self.since = Instant::now();
                    just_answered = true;
                }
                () = yield_now(), if self.more => {}
                // Only once nothing has come: what has is read first.
                () = yield_now(), if closing == CloseDecision::CloseIfNothingCame => {
                    return writer.shutdown().await.map(|()| CloseReason::ShuttingDown);
                }
                () = look_again(closing) => {}
                Ok(()) = bearing.changed() => {}
                () = sleep_until_some(given_up_at) => {
                    let text = self.last_answers();
                    write_all(&mut writer, &text).await?;
                    return writer.shutdown().await.map(|()| self.gave_up());
                }
                () = Seat::cleared(&mut seat) => return writer.shutdown().await.map(|()| CloseReason::Evicted),
            }
            self.begin();
        }
    }

    /// What is known of the connection now.
    fn facts(&self, just_answered: bool) -> ConnectionFacts {
        let long = (self.expected > LARGE)
            .then_some(LongCommand { length: self.expected, has_places: self.large.is_some() });
        ConnectionFacts {
            now: Instant::now(),
            born: self.born,
            since: self.since,
            read_at: self.read_at,
            owes: !self.owed.is_empty(),
            in_command: !self.buffer.is_empty(),
            heard: self.heard,
            asked: self.asked,
            just_answered,
            malformed: self.broken,
            quits: self.quits,
            process_ends: self.shared.requests.are_over(),
            long_command: long,
        }
    }

    /// What is said to a client that is waited for no longer: nothing that was read stays without its answer.
    fn last_answers(&mut self) -> BytesMut {
        let mut text = BytesMut::new();
        if self.broken.is_none() {
            self.protocol.part(Parting::Silent, &mut text);
        }
        for owed in self.owed.take() {
            match owed.into_answer() {
                Err(ready) => text.extend_from_slice(&ready),
                Ok((reply, answer)) => self.protocol.answer(reply, answer, &mut text),
            }
        }
        text
    }

    /// Why a client is waited for no longer.
    fn gave_up(&self) -> CloseReason {
        if self.broken.is_some() { CloseReason::Malformed } else { CloseReason::NoWholeCommand }
    }

    /// Bytes have come. Those that lay unread for a while count from when they were first seen.
    fn received(&mut self, read: usize, unread: &mut Option<Instant>) {
        self.read_at = Instant::now();
        stall::mark(None);
        self.came_at = unread.unwrap_or(stall::arrival(self.read_at));
        if self.buffer.len() < self.buffer.capacity() {
            *unread = None; // there was room for more, and no more
        }
        if self.heard && read == self.buffer.len() {
            self.since = self.read_at; // a command's first byte
        }
    }

    /// Writes answers, and the large value behind them as it comes.
    async fn write_answers(
        &mut self,
        writer: &mut Stream,
        mut text: BytesMut,
        large: Option<LargeValue<P::Reply>>,
    ) -> io::Result<()> {
        let Some(LargeValue { reply, flow, come }) = large else { return write_all(writer, &text).await };
        self.protocol.begin(reply, flow.length(), flow.flags(), &mut text);
        write_all(writer, &text).await?;
        write_all(writer, &come).await?;
        self.pass_on(writer, flow, come.len()).await
    }

    /// How many places the command needs that is coming.
    fn places(&mut self) -> u32 {
        self.expected = match self.buffer.len() < SMALL {
            true => 0,
            false => self.protocol.expected(&self.buffer).min(P::LONGEST),
        };
        let places = self.expected.max(self.buffer.len()).div_ceil(LARGE);
        u32::try_from(places).unwrap_or(u32::MAX).clamp(1, self.shared.places)
    }

    /// How many places it holds.
    fn held(&self) -> u32 {
        self.large.as_ref().map_or(0, |held| u32::try_from(held.num_permits()).unwrap_or(u32::MAX))
    }

    fn guest(&self) -> Guest {
        match (self.buffer.is_empty(), self.asked) {
            (false, _) => Guest::Sending,
            (true, true) => Guest::Resting,
            (true, false) => Guest::Silent,
        }
    }

    /// Writes a large value as it comes, from where so many bytes of it are written.
    async fn pass_on(&mut self, writer: &mut Stream, mut flow: Flow, written: usize) -> io::Result<()> {
        let mut left = flow.length().saturating_sub(written);
        while left > 0 {
            // Guards against: a value that is not whole and looks so. The client sees the connection end.
            let piece = flow.next().await.ok_or(io::ErrorKind::UnexpectedEof)?;
            write_all(writer, &piece.bytes).await?;
            left = left.saturating_sub(piece.bytes.len());
        }
        let mut text = BytesMut::new();
        self.protocol.finish(&mut text);
        write_all(writer, &text).await
    }

    /// The text of an answer, and of those behind it that are at hand, up to the first large value.
    fn answers(&mut self, first: Due<P::Reply>) -> (BytesMut, Option<LargeValue<P::Reply>>) {
        let (mut text, mut due) = (BytesMut::new(), first);
        loop {
            match due {
                Due::Ready(ready) if text.is_empty() => text = ready,
                Due::Ready(ready) => text.extend_from_slice(&ready),
                Due::Answer(waiting, Answer::Begun(flow)) => match self.begun(waiting, flow, &mut text) {
                    Begun::PassedOn(large) => return (text, Some(large)),
                    Begun::Collected => return (text, None),
                    Begun::Failed => {}
                },
                Due::Answer(waiting, answer) => self.answer(waiting.reply, answer, &mut text),
                Due::Broken(reply) => self.answer(reply, Answer::Failed, &mut text),
                Due::Value(large) => {
                    self.open -= 1;
                    return (text, Some(large));
                }
            }
            let next = (text.len() < WRITTEN).then(|| self.owed.try_next()).flatten();
            match next {
                Some(next) => due = next,
                None => return (text, None),
            }
        }
    }

    fn answer(&mut self, reply: P::Reply, answer: Answer, text: &mut BytesMut) {
        self.open -= 1;
        self.protocol.answer(reply, answer, text);
    }

    /// A large value has begun to come: it is passed on, or collected where commands wait behind it.
    fn begun(&mut self, waiting: Waiting<P::Reply>, flow: Flow, text: &mut BytesMut) -> Begun<P::Reply> {
        let Waiting { pending, reply, .. } = waiting;
        if self.owed.is_empty() && self.buffer.is_empty() {
            self.open -= 1;
            return Begun::PassedOn(LargeValue { reply, flow, come: BytesMut::new() });
        }
        let places = u32::try_from(flow.length().div_ceil(LARGE)).unwrap_or(u32::MAX);
        let Ok(places) = self.shared.large.clone().try_acquire_many_owned(places) else {
            self.answer(reply, Answer::Failed, text);
            return Begun::Failed;
        };
        self.owed.push_first(Response::Collecting(Collecting::new(pending, reply, flow, places)));
        Begun::Collected
    }

    /// Whether another command may be begun.
    fn may_begin(&self) -> bool {
        let room = || self.shared.requests.have_room();
        self.broken.is_none() && !self.quits && self.owed.len() < OWED && (self.owed.is_empty() || room())
    }

    /// Begins commands that have come whole, as many as have their turn.
    fn begin(&mut self) {
        let before = self.buffer.len();
        self.more = self.begin_some();
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new(); // what has grown goes back
        }
        if self.buffer.len() < SMALL {
            self.large = None;
        }
        if self.buffer.len() < before {
            self.since = Instant::now();
        }
    }

    /// Tells whether there may be more.
    fn begin_some(&mut self) -> bool {
        for _ in 0..TURN {
            if !self.may_begin() {
                return false;
            }
            let before = self.buffer.len();
            let owed = match self.protocol.next(&mut self.buffer) {
                Ok(None) => return false,
                Ok(Some(Input::Call(call, reply))) => self.request(*call, reply, before - self.buffer.len()),
                Ok(Some(Input::Said { text, good })) => {
                    self.heard |= good;
                    Response::Ready(text)
                }
                Ok(Some(Input::Asks { yes, no })) => {
                    self.heard = true;
                    Response::Ready(if self.shared.bearing.borrow().ping_succeeds { yes } else { no })
                }
                Ok(Some(Input::Quit(text))) => {
                    self.quits = true;
                    self.buffer.clear();
                    Response::Ready(text)
                }
                Err(Malformed) => {
                    self.broken = Some(Instant::now());
                    self.buffer.clear();
                    let mut text = BytesMut::new();
                    self.protocol.part(Parting::Malformed, &mut text);
                    Response::Ready(text)
                }
            };
            self.owed.push(owed);
        }
        true
    }

    fn request(&mut self, call: Call, reply: P::Reply, length: usize) -> Response<P::Reply> {
        let class = call.class;
        let opened = match self.open < P::AT_ONCE {
            true => self.shared.requests.open(call, self.came_at, length).map_err(|_| Refusal::InUse),
            false => Err(Refusal::TooMany),
        };
        match opened {
            Ok(pending) => {
                (self.open, self.asked, self.heard) = (self.open + 1, true, true);
                let places = if length > LARGE { self.large.take() } else { None };
                Response::Waiting(Waiting { pending, reply, _places: places })
            }
            Err(why) => {
                self.shared.requests.not_begun(class);
                let mut text = BytesMut::new();
                self.protocol.refuse(reply, why, &mut text);
                Response::Ready(text)
            }
        }
    }
}

/// Waits for when a connection is to be looked at again, if it is.
async fn look_again(closing: CloseDecision) {
    let at = if let CloseDecision::LookAgain(at) = closing { Some(at) } else { None };
    sleep_until_some(at).await;
}

/// Sleeps until then; for ever without a time.
async fn sleep_until_some(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at).await,
        None => pending().await,
    }
}
