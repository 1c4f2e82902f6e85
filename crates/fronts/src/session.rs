//! One client's connection: reads commands, opens requests, writes the answers in the order of the commands.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use lilacquay_core::{Answer, Call, Flow, hold_up};
use lilacquay_life::{Bearing, Manner};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep_until};
use tracing::debug;

use crate::close_reason::CloseReason;
use crate::protocol::{Input, Malformed, Parting, Protocol, Refusal};
use crate::responses::{Collecting, Due, LargeValue, Response, Responses, Waiting};
use crate::seats::{Guest, Seat};
use crate::shared::{LARGE, Shared};
use crate::socket::{Received, read_or_wait_for_close, wait_for_close, write_all};

/// Answers owed on one connection, errors among them; beyond that it is not read.
const OWED: usize = 1024;
/// Commands begun, and bytes of answers written, before others have their turn.
const TURN: usize = 32;
const WRITTEN: usize = 16 << 10;
/// A buffer of up to this size is any connection's; larger ones are for a few at a time.
const SMALL: usize = 8 << 10;
/// A connection that has had nothing good to say for so long is closed: silent, or in the midst of a command.
const PATIENCE: Duration = Duration::from_millis(2500);
/// What is on its way on a new connection has come after so long.
const NEW: Duration = Duration::from_millis(300);
/// Where a node leaves service and runs on, a connection on which there is always something more to read is closed all the
/// same so long after idle ones. A node that ends reads until its end.
const LAST_COMMANDS: Duration = Duration::from_millis(1800);
/// A long command that keeps coming may take so much longer: what it has, at so many bytes a second ...
const SLOWEST: usize = 256 << 10;
/// ... with no pause longer than this.
const PAUSE: Duration = Duration::from_millis(500);
/// After what can't be read, answers that are owed are waited for so long; those still out are given as failed then.
const PARTING: Duration = Duration::from_millis(1500);

/// When a connection is closed because the node takes leave of it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum When {
    Not,
    AtOnce,
    /// If nothing more has come by now.
    Unheard,
    /// Once what is on its way from a new client must have come.
    Known,
}

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
    /// Since when connections without a request are to be closed.
    unwanted: Option<Instant>,
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
            unwanted: None,
            since: now,
            more: false,
            broken: None,
            quits: false,
        }
    }

    pub async fn run(mut self, mut stream: TcpStream) {
        let peer = stream.peer_addr().ok();
        let reason = self.serve(&mut stream).await.unwrap_or_else(CloseReason::from);
        let (owed, unread) = (self.owed.len(), self.buffer.len());
        debug!(?peer, owed, unread, "a client's connection closes: {reason}");
        if reason.is_clients_own() {
            self.owed.clear(); // nobody waits for these
        }
        drop(stream);
        self.shared.left.notify_waiters();
    }

    /// Serves the connection to its end; tells why it ends. An error is the client's, or [`CloseReason`] has its kind.
    async fn serve(&mut self, stream: &mut TcpStream) -> io::Result<CloseReason> {
        stream.set_nodelay(true)?;
        let (mut reader, mut writer) = stream.split();
        let (mut bearing, large) = (self.shared.bearing.clone(), self.shared.large.clone());
        let (mut seat, mut just_answered) = (None, false);
        // Since when something lies unread, as far as it is known.
        let mut unread = None;
        loop {
            let unowed = self.owed.is_empty();
            let now = *bearing.borrow_and_update();
            let manner = now.manner;
            let parting = self.parting(now, unowed, just_answered);
            let over = self.shared.requests.are_over();
            if let Some(reason) = self.done(unowed, over, parting) {
                return writer.shutdown().await.map(|()| reason);
            }
            just_answered = false;
            let guest = unowed.then(|| self.guest());
            if guest != seat.as_ref().map(Seat::guest) {
                seat = guest.map(|guest| self.shared.seats.take(guest, self.since));
            }
            // Guards against: a client that always has a command under way and so is never rid of a node that leaves
            // service and runs on. One that ends answers all that it has read, and reads nothing in its last 0.1 s.
            let rests = unowed || manner == Manner::Stay || !now.accepts;
            let reading = self.may_begin() && !self.more && rests && !over;
            let places = self.places();
            let roomy = self.buffer.len() < SMALL || self.held() >= places;
            if !roomy {
                self.large = None; // nobody waits for places and holds some
            }
            let wanted = (!roomy).then_some(places);
            let (may_give_up, give_up_at) = (self.may_give_up(), self.give_up_at());
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
                        seen = wait_for_close(reader.as_ref(), &mut unread) => return seen.map(|()| CloseReason::ClientLeft),
                    }
                    self.since = Instant::now();
                    just_answered = true;
                }
                () = yield_now(), if self.more => {}
                // Only once nothing has come: what has is read first.
                () = yield_now(), if parting == When::Unheard => {
                    return writer.shutdown().await.map(|()| CloseReason::ShuttingDown);
                }
                () = sleep_until(self.born + NEW), if parting == When::Known => {}
                Ok(()) = bearing.changed() => {}
                () = sleep_until(give_up_at), if may_give_up => {
                    let text = self.last_answers();
                    write_all(&mut writer, &text).await?;
                    return writer.shutdown().await.map(|()| self.gave_up());
                }
                () = Seat::cleared(&mut seat) => return writer.shutdown().await.map(|()| CloseReason::Evicted),
            }
            self.begin();
        }
    }

    /// Why the connection is to be closed now, if it is.
    fn done(&self, unowed: bool, over: bool, parting: When) -> Option<CloseReason> {
        match unowed {
            true if self.broken.is_some() => Some(CloseReason::Malformed),
            true if self.quits => Some(CloseReason::Quit),
            true if over => Some(CloseReason::ProcessEnds),
            _ => (parting == When::AtOnce).then_some(CloseReason::ShuttingDown),
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
        hold_up::mark(None);
        self.came_at = unread.unwrap_or(hold_up::arrival(self.read_at));
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
        writer: &mut WriteHalf<'_>,
        mut text: BytesMut,
        large: Option<LargeValue<P::Reply>>,
    ) -> io::Result<()> {
        let Some(LargeValue { reply, flow, come }) = large else { return write_all(writer, &text).await };
        self.protocol.begin(reply, flow.length(), flow.flags(), &mut text);
        write_all(writer, &text).await?;
        write_all(writer, &come).await?;
        self.pass_on(writer, flow, come.len()).await
    }

    /// Whether the connection is to be closed, the way the node goes.
    ///
    /// Guards against: a request that is closed on, unread, though it had come already.
    fn parting(&mut self, bearing: Bearing, unowed: bool, just_answered: bool) -> When {
        let (now, manner, runs_on) = (Instant::now(), bearing.manner, bearing.accepts);
        let unwanted = match manner {
            Manner::Idle => *self.unwanted.get_or_insert(now),
            Manner::Stay | Manner::BehindAnswer => {
                self.unwanted = None;
                now
            }
        };
        if !unowed || !self.buffer.is_empty() {
            return When::Not;
        }
        match manner {
            Manner::Stay => When::Not,
            Manner::BehindAnswer if just_answered && self.asked => When::Unheard,
            Manner::BehindAnswer => When::Not,
            Manner::Idle if !self.heard && now < self.born + NEW => When::Known,
            Manner::Idle if runs_on && now >= unwanted + LAST_COMMANDS => When::AtOnce,
            Manner::Idle => When::Unheard,
        }
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

    /// Whether the client is waited for only for a while.
    ///
    /// Guards against: silent connections and halves of commands, which would be held for ever, and an error
    /// that waits behind an answer which is long in coming.
    fn may_give_up(&self) -> bool {
        self.broken.is_some() || self.owed.is_empty() && (!self.heard || !self.buffer.is_empty())
    }

    fn give_up_at(&self) -> Instant {
        if let Some(at) = self.broken {
            return at + PARTING;
        }
        let usual = self.since + PATIENCE;
        // Guards against: a long write given up while it comes or waits for places, and one that dribbles and holds its
        // own.
        let longest = usual + Duration::from_secs_f64(self.expected as f64 / SLOWEST as f64);
        match self.expected > LARGE {
            true if self.large.is_none() => longest,
            true => usual.max((self.read_at + PAUSE).min(longest)),
            false => usual,
        }
    }

    /// Writes a large value as it comes, from where so many bytes of it are written.
    async fn pass_on(
        &mut self,
        writer: &mut WriteHalf<'_>,
        mut flow: Flow,
        written: usize,
    ) -> io::Result<()> {
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
                    Response::Ready(if self.shared.bearing.borrow().says_yes { yes } else { no })
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
