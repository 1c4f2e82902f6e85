//! Attempts: they are started with a permit, given up, and end.

use std::sync::atomic::Ordering;
use std::time::Duration;

use lilacquay_metrics::End;
use lilacquay_observe::Kind;
use paddlefold::{AttemptEnd, Event, Micros, Outcome, RequestId, ServerId};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::debug;

use super::{Driver, Due, Ended, LONGEST_TIMER, Running};
use crate::attempt;
use crate::call::Answer;
use crate::directory::Facts;
use crate::permit::{Permit, PermitRequest, PermitRequester};
use crate::upstream::{Target, Upstream};
use crate::value_stream::{Begun, Opening};

impl<U: Upstream> Driver<U> {
    pub(super) fn send(&mut self, id: RequestId, server: ServerId, wait: Duration) {
        let now = Instant::now();
        let Some(open) = self.open.get_mut(&id) else { return };
        let attempt = open.attempts.len();
        let (to, governor) = (self.to_begin.clone(), self.governor.clone());
        let opening = Opening { id, attempt, to, governor };
        let (deadline, left) = (open.deadline, open.left.clone());
        let facts = Facts { deadline, left, violations: self.book.violations() };
        let place = self.directory.check_out(server, now, opening, facts).filter(|(_, pooled)| {
            let held = self.running + self.directory.idle();
            self.gauges.connections.store(held, Ordering::Relaxed);
            let most = self.portion.of(self.connections);
            if pooled.is_none() && held >= most {
                self.directory.close_oldest();
            }
            pooled.is_some() || self.running < most
        });
        let Some((target, pooled)) = place else {
            open.attempts.push(None);
            self.watched.ended(id, server, Outcome::Ignored, Duration::ZERO);
            return self.tell_end(id, attempt, Outcome::Ignored, Duration::ZERO, None);
        };
        let timer = Some(self.timers.insert(Due::Attempt(id, attempt), wait.min(LONGEST_TIMER)));
        // With a connection at hand it begins now; without, once that is up.
        let permit = pooled.as_ref().and_then(|_| self.permit(id, attempt));
        let task = self.start((id, attempt), server, target, pooled, permit);
        let open = self.open.get_mut(&id).expect("looked up above");
        let begun = permit.is_some();
        open.attempts.push(Some(Running { server, sent: now, task, begun, timer, began: None }));
        debug!(request = id.0, attempt, server = server.0, pooled = begun, "an attempt is made");
        self.watched.sent(id, server);
        self.running += 1;
    }

    fn start(
        &self,
        (id, attempt): (RequestId, usize),
        server: ServerId,
        target: Target,
        pooled: Option<U::Connection>,
        permit: Option<Permit>,
    ) -> AbortHandle {
        let (call, to, upstream) = (self.open[&id].call.clone(), self.to_self.clone(), self.upstream.clone());
        let connect_timeout = Duration::from_micros(self.setup.connect_timeout);
        let requester = PermitRequester { id, attempt, to: self.to_permits.clone(), permit };
        let work = async move {
            let addr = target.addr;
            let (reply, connection) =
                attempt::run(upstream, target, pooled, &call, requester, connect_timeout).await;
            let _ = to.send(Ended { id, attempt, reply, server, addr, connection }); // nobody waits for it once the node ends
        };
        tokio::spawn(work).abort_handle()
    }

    /// An attempt whose connection is up asks whether it may begin.
    pub(super) fn permit_requested(&mut self, PermitRequest { id, attempt, answer }: PermitRequest) {
        let permit = self.permit(id, attempt);
        let running = self.open.get_mut(&id).and_then(|open| open.attempts.get_mut(attempt)?.as_mut());
        if let Some(running) = running {
            running.begun |= permit.is_some();
        }
        let _ = answer.send(permit); // it may have been given up
    }

    /// Leave for an attempt to begin now, if the decision module gives it.
    fn permit(&mut self, id: RequestId, attempt: usize) -> Option<Permit> {
        let deadline = self.open.get(&id)?.deadline;
        match self.balancer.begin(self.clock.now(), id, attempt) {
            Ok(_) => Some(Permit { deadline, given: Instant::now() }),
            Err(why) => {
                debug!(request = id.0, attempt, "an attempt is withheld: {why}");
                self.book.withheld();
                None
            }
        }
    }

    /// Strikes an attempt off; nothing if it has ended before.
    fn close(&mut self, id: RequestId, attempt: usize) -> Option<Running> {
        let running = self.open.get_mut(&id)?.attempts.get_mut(attempt)?.take()?;
        self.running -= 1;
        Some(running)
    }

    /// Stops waiting for an attempt: its connection closes.
    pub(super) fn give_up(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(running) = self.close(id, attempt) else { return };
        running.task.abort();
        // Without leave to begin nothing was written: it never ran.
        let never_up = outcome == Outcome::TimedOut && !running.begun;
        let outcome = if never_up { Outcome::ConnectError } else { outcome };
        if let Some(timer) = running.timer.filter(|_| outcome == Outcome::Canceled) {
            self.timers.try_remove(&timer);
        }
        let elapsed = running.sent.elapsed();
        self.watched.ended(id, running.server, outcome, elapsed);
        self.tell_end(id, attempt, outcome, elapsed, None);
    }

    pub(super) fn ended(&mut self, ended: Ended<U::Connection>) {
        // A value that came whole at once has begun before it ended.
        while let Ok(begun) = self.begun.try_recv() {
            self.begin(begun);
        }
        let Ended { id, attempt, reply, server, addr, connection } = ended;
        let running = self.close(id, attempt);
        if let Some(connection) = connection {
            self.directory.check_in(server, addr, connection, Instant::now());
        }
        let Some(running) = running else { return }; // given up before: a late outcome changes nothing
        if let Some(timer) = running.timer {
            self.timers.try_remove(&timer);
        }
        // How long a client takes to read says nothing of the server.
        let began = running.began.filter(|_| reply.outcome == Outcome::Ok);
        let elapsed = began.unwrap_or_else(|| running.sent.elapsed());
        if reply.outcome == Outcome::Ok {
            self.directory.record_answer(server, elapsed);
        }
        if running.began.is_some() {
            self.flowed(id, reply.outcome);
        }
        self.watched.ended(id, running.server, reply.outcome, elapsed);
        if reply.outcome == Outcome::Ok
            && let Some(open) = self.open.get_mut(&id)
            && let Some(sender) = open.answer.take()
        {
            self.watched.answered(id, Kind::Served, || &open.call.key);
            self.book.ended(open.call.class, Some(End::Passed));
            let _ = sender.send(Answer::Served(reply.result)); // the client may have left
        }
        self.tell_end(id, attempt, reply.outcome, elapsed, reply.cache_hit);
    }

    /// The head of a large value has come. The first one is the client's.
    pub(super) fn begin(&mut self, begun: Begun) {
        let Begun { id, attempt, flow } = begun;
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(running) = open.attempts.get_mut(attempt).and_then(Option::as_mut) else { return };
        // Answered already: the attempt hears that nobody wants its value when the flow is dropped.
        let Some(sender) = open.answer.take() else { return };
        running.began = Some(running.sent.elapsed());
        if let Some(timer) = running.timer.take() {
            self.timers.try_remove(&timer);
        }
        open.flows = true;
        let _ = sender.send(Answer::Streaming(flow)); // the client may have left
        self.events.push_back(Event::FirstByte { id, attempt });
    }

    /// A large value has ended, and with it its request.
    fn flowed(&mut self, id: RequestId, outcome: Outcome) {
        let Some(open) = self.open.get_mut(&id).filter(|open| open.flows) else { return };
        open.flows = false;
        let (kind, end) = match outcome {
            Outcome::Ok => (Kind::Served, Some(End::Passed)),
            Outcome::Canceled => (Kind::Gone, None), // its client has left
            _ => (Kind::Failed, Some(End::Failed)),
        };
        self.watched.answered(id, kind, || &open.call.key);
        self.book.ended(open.call.class, end);
    }

    fn tell_end(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        elapsed: Duration,
        hit: Option<bool>,
    ) {
        debug!(request = id.0, attempt, ?outcome, ms = elapsed.as_millis() as u64, "an attempt has ended");
        // Guards against: a large value cut off, since the end of an attempt that came second ends its request.
        let settled = self.open.get(&id).is_none_or(|open| open.answer.is_none() && !open.flows);
        let elapsed = elapsed.as_micros() as Micros;
        let end = AttemptEnd { elapsed, settled, hit, ..AttemptEnd::new(id, attempt, outcome) };
        self.events.push_back(Event::Outcome(end));
        self.close_if_done(id);
    }
}
