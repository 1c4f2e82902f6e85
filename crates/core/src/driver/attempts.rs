//! Starts attempts, grants them permits, aborts them, and processes their results.

use std::sync::atomic::Ordering;
use std::time::Duration;

use lilacquay_metrics::RequestOutcome;
use lilacquay_observe::AnswerKind;
use paddlefold::{AttemptEnd, Effect, Event, Micros, Outcome, RequestId, ServerId};
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tracing::debug;

use super::{Driver, FinishedAttempt, MAX_TIMER_DELAY, RunningAttempt, TimerKind};
use crate::attempt;
use crate::call::{Answer, Call};
use crate::directory::AttemptContext;
use crate::permit::{Permit, PermitRequest, PermitRequester};
use crate::upstream::{Target, Upstream};
use crate::value_stream::{StreamStart, StreamStarter};

impl<U: Upstream> Driver<U> {
    /// Starts an attempt at a server. It ends at once as ignored if the server is not listed, or if no pooled
    /// connection can be used and the running attempts alone reach the connection limit. If the limit is reached only
    /// together with idle connections, the least recently used one is closed and the attempt proceeds.
    pub(super) fn start_attempt(&mut self, id: RequestId, server: ServerId, timeout: Duration) {
        let now = Instant::now();
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let attempt = request.attempts.len();
        let (sender, budget) = (self.stream_start_sender.clone(), self.buffer_budget.clone());
        let stream_starter = StreamStarter { id, attempt, sender, budget };
        let (deadline, client_left) = (request.deadline, request.client_left.clone());
        let context = AttemptContext { deadline, client_left, violations: self.metrics.violations() };
        let checked_out = self.directory.check_out(server, now, stream_starter, context);
        let checked_out = checked_out.filter(|(_, pooled)| {
            let connections = self.running_attempts + self.directory.idle_count();
            self.gauges.connections.store(connections, Ordering::Relaxed);
            let max_connections = self.resource_share.of(self.max_connections);
            if pooled.is_none() && connections >= max_connections {
                self.directory.close_least_recently_used();
            }
            pooled.is_some() || self.running_attempts < max_connections
        });
        let Some((target, pooled)) = checked_out else {
            request.attempts.push(None);
            self.request_log.attempt_ended(id, server, Outcome::Ignored, Duration::ZERO);
            return self.report_attempt_end(id, attempt, Outcome::Ignored, Duration::ZERO, None);
        };
        let timer_kind = TimerKind::AttemptTimeout(id, attempt);
        let timer = Some(self.timers.insert(timer_kind, timeout.min(MAX_TIMER_DELAY)));
        // With a pooled connection the attempt starts now; otherwise, once a connection is established.
        let permit = pooled.as_ref().and_then(|_| self.grant_permit(id, attempt));
        let task = self.spawn_attempt((id, attempt), server, target, pooled, permit);
        let request = self.open_requests.get_mut(&id).expect("looked up above");
        let has_permit = permit.is_some();
        request.attempts.push(Some(RunningAttempt {
            server,
            started_at: now,
            task,
            has_permit,
            timeout: timer,
            stream_started_after: None,
        }));
        debug!(request = id.0, attempt, server = server.0, pooled = has_permit, "attempt started");
        self.request_log.attempt_started(id, server);
        self.running_attempts += 1;
    }

    fn spawn_attempt(
        &self,
        (id, attempt): (RequestId, usize),
        server: ServerId,
        target: Target,
        pooled: Option<U::Connection>,
        permit: Option<Permit>,
    ) -> AbortHandle {
        let call = self.open_requests[&id].call.clone();
        let (finished_sender, upstream) = (self.finished_sender.clone(), self.upstream.clone());
        let connect_timeout = Duration::from_micros(self.setup.connect_timeout);
        let sender = self.permit_request_sender.clone();
        let permit_requester = PermitRequester { id, attempt, sender, permit };
        let work = async move {
            let availability = target.availability().clone();
            let (reply, connection) =
                attempt::run(upstream, target, pooled, &call, permit_requester, connect_timeout).await;
            let finished = FinishedAttempt { id, attempt, reply, server, availability, connection };
            let _ = finished_sender.send(finished); // the driver may have ended
        };
        tokio::spawn(work).abort_handle()
    }

    /// Answers an attempt that asks, with its connection established, whether it may start.
    pub(super) fn permit_requested(&mut self, PermitRequest { id, attempt, answer }: PermitRequest) {
        let permit = self.grant_permit(id, attempt);
        let request = self.open_requests.get_mut(&id);
        if let Some(running) = request.and_then(|request| request.attempts.get_mut(attempt)?.as_mut()) {
            running.has_permit |= permit.is_some();
        }
        let _ = answer.send(permit); // the attempt may have been aborted
    }

    /// A permit to start an attempt now, if the balancer confirms its decision.
    fn grant_permit(&mut self, id: RequestId, attempt: usize) -> Option<Permit> {
        let request = self.open_requests.get(&id)?;
        let (deadline, call) = (request.deadline, request.call.clone());
        match self.balancer.begin(self.clock.now(), id, attempt) {
            Ok(_) => {
                if !self.may_be_repeated(&call) {
                    self.recent_writes.begun(&call.id);
                }
                Some(Permit { deadline, granted_at: Instant::now() })
            }
            Err(reason) => {
                debug!(request = id.0, attempt, "attempt not permitted to start: {reason}");
                self.metrics.attempt_withheld();
                None
            }
        }
    }

    /// Whether a request may take effect any number of times.
    fn may_be_repeated(&self, call: &Call) -> bool {
        let class = call.class.and_then(|class| self.setup.settings.classes.get(class));
        class.map_or(!call.is_write(), |class| class.effect == Effect::Safe)
    }

    /// Removes an attempt from those in progress. None if it has ended before.
    fn take_attempt(&mut self, id: RequestId, attempt: usize) -> Option<RunningAttempt> {
        let running = self.open_requests.get_mut(&id)?.attempts.get_mut(attempt)?.take()?;
        self.running_attempts -= 1;
        Some(running)
    }

    /// Aborts an attempt, which closes its connection.
    pub(super) fn abort_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(running) = self.take_attempt(id, attempt) else { return };
        running.task.abort();
        // Without a permit nothing was written, so the server never received the request.
        let never_started = outcome == Outcome::TimedOut && !running.has_permit;
        let outcome = if never_started { Outcome::ConnectError } else { outcome };
        if let Some(timer) = running.timeout.filter(|_| outcome == Outcome::Canceled) {
            self.timers.try_remove(&timer);
        }
        let elapsed = running.started_at.elapsed();
        self.request_log.attempt_ended(id, running.server, outcome, elapsed);
        self.report_attempt_end(id, attempt, outcome, elapsed, None);
    }

    pub(super) fn attempt_finished(&mut self, finished: FinishedAttempt<U::Connection>) {
        // A streamed value that arrived all at once must have started before its attempt finishes.
        while let Ok(start) = self.stream_starts.try_recv() {
            self.stream_started(start);
        }
        let FinishedAttempt { id, attempt, reply, server, availability, connection } = finished;
        let running = self.take_attempt(id, attempt);
        if let Some(connection) = connection {
            self.directory.check_in(server, &availability, connection, Instant::now());
        }
        let Some(running) = running else { return }; // aborted before: a late outcome changes nothing
        if let Some(timer) = running.timeout {
            self.timers.try_remove(&timer);
        }
        // For a streamed value only the time until its head counts: how long the client takes to read the rest says
        // nothing about the server.
        let stream_started_after = running.stream_started_after.filter(|_| reply.outcome == Outcome::Ok);
        let elapsed = stream_started_after.unwrap_or_else(|| running.started_at.elapsed());
        if reply.outcome == Outcome::Ok {
            self.directory.record_answer(server, elapsed);
        }
        if running.stream_started_after.is_some() {
            self.stream_ended(id, reply.outcome);
        }
        self.request_log.attempt_ended(id, running.server, reply.outcome, elapsed);
        if reply.outcome == Outcome::Ok
            && let Some(request) = self.open_requests.get_mut(&id)
            && let Some(sender) = request.answer.take()
        {
            self.request_log.request_answered(id, AnswerKind::Served, || &request.call.key);
            self.metrics.request_ended(request.call.class, Some(RequestOutcome::Served));
            let _ = sender.send(Answer::Served(reply.result)); // the client may have disconnected
        }
        self.report_attempt_end(id, attempt, reply.outcome, elapsed, reply.cache_hit);
    }

    /// Processes the head of a large value. The first one of a request is streamed to the client.
    pub(super) fn stream_started(&mut self, start: StreamStart) {
        let StreamStart { id, attempt, stream } = start;
        let Some(request) = self.open_requests.get_mut(&id) else { return };
        let Some(running) = request.attempts.get_mut(attempt).and_then(Option::as_mut) else { return };
        // If the request has been answered, dropping the stream tells the attempt that its value is not needed.
        let Some(sender) = request.answer.take() else { return };
        running.stream_started_after = Some(running.started_at.elapsed());
        if let Some(timer) = running.timeout.take() {
            self.timers.try_remove(&timer);
        }
        request.is_streaming = true;
        let _ = sender.send(Answer::Streaming(stream)); // the client may have disconnected
        self.events.push_back(Event::FirstByte { id, attempt });
    }

    /// Records the end of a large value, which is the end of its request.
    fn stream_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(request) = self.open_requests.get_mut(&id).filter(|request| request.is_streaming) else {
            return;
        };
        request.is_streaming = false;
        let (kind, end) = match outcome {
            Outcome::Ok => (AnswerKind::Served, Some(RequestOutcome::Served)),
            Outcome::Canceled => (AnswerKind::Gone, None), // the client has disconnected
            _ => (AnswerKind::Failed, Some(RequestOutcome::Failed)),
        };
        self.request_log.request_answered(id, kind, || &request.call.key);
        self.metrics.request_ended(request.call.class, end);
    }

    /// Reports the end of an attempt to the balancer.
    fn report_attempt_end(
        &mut self,
        id: RequestId,
        attempt: usize,
        outcome: Outcome,
        elapsed: Duration,
        cache_hit: Option<bool>,
    ) {
        debug!(request = id.0, attempt, ?outcome, ms = elapsed.as_millis() as u64, "attempt ended");
        // A request whose value is being streamed is not settled. Otherwise the end of the other attempt would end the
        // request and cut the value off.
        let settled = self
            .open_requests
            .get(&id)
            .is_none_or(|request| request.answer.is_none() && !request.is_streaming);
        let elapsed = elapsed.as_micros() as Micros;
        let end = AttemptEnd { elapsed, settled, hit: cache_hit, ..AttemptEnd::new(id, attempt, outcome) };
        self.events.push_back(Event::Outcome(end));
        self.close_if_done(id);
    }
}
