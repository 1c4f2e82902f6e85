//! What the driver records for observers: request and attempt events, and the state of the list of servers.

use std::time::Duration;

use lilacquay_observe::{AnswerKind, AttemptOutcome, Observer, RequestInfo, RetrySafety};
use paddlefold::setup::Names;
use paddlefold::{Effect, Micros, Outcome, Request, RequestId, ServerId};

use crate::call::Answer;
use crate::clock::Clock;

/// Records events for observers. While there are none, an event only costs a check whether an [`Observer`] exists.
pub(crate) struct RequestLog {
    /// Read only if there is an observer.
    clock: Clock,
    pub(crate) observer: Option<Observer>,
    observer_count: usize,
    pub(crate) started_ms: u64,
    pub(crate) class_names: Vec<String>,
    pub(crate) tenant_names: Vec<String>,
    /// The source of the last list of servers.
    pub(crate) list_source: &'static str,
    pub(crate) list_received_at: Micros,
    /// Failed reads of the list and broken subscriptions to it, since it was last received.
    pub(crate) list_failures: u64,
}

impl RequestLog {
    pub fn new(clock: Clock, names: &Names) -> Self {
        let now = clock.now();
        RequestLog {
            clock,
            observer: None,
            observer_count: 0,
            started_ms: now / 1000,
            class_names: names.all_classes(),
            tenant_names: names.all_tenants(),
            list_source: "configuration",
            list_received_at: now,
            list_failures: 0,
        }
    }

    /// Adds an observer if `added`, otherwise removes one. The recorded figures are discarded with the last.
    pub fn observe(&mut self, added: bool) {
        self.observer_count =
            if added { self.observer_count + 1 } else { self.observer_count.saturating_sub(1) };
        match (&self.observer, self.observer_count) {
            (None, 1..) => self.observer = Some(Observer::new(self.clock.now(), self.tenant_names.len())),
            (Some(_), 0) => self.observer = None,
            _ => {}
        }
    }

    pub fn list_received(&mut self, source: &'static str) {
        (self.list_source, self.list_received_at, self.list_failures) = (source, self.clock.now(), 0);
    }

    pub fn list_failed(&mut self) {
        self.list_failures += 1;
    }

    pub fn request_opened(&mut self, request: &Request, client_timeout: Micros, effect: Option<Effect>) {
        let Some(observer) = &mut self.observer else { return };
        let retry_safety = match effect {
            _ if !request.write => RetrySafety::Safe,
            Some(Effect::Safe) => RetrySafety::Safe,
            Some(Effect::Keyed { .. }) if request.has_idempotency_key => RetrySafety::Deduplicated,
            _ => RetrySafety::Unsafe,
        };
        let (id, class, tenant) = (request.id.0, request.class, request.tenant);
        observer.request_arrived(
            self.clock.now(),
            RequestInfo { id, class, tenant, wait: client_timeout, retry_safety },
        );
    }

    pub fn refused_over_share(&mut self, tenant: Option<usize>) {
        if let Some(observer) = &mut self.observer {
            observer.request_over_quota(self.clock.now(), tenant);
        }
    }

    pub fn attempt_started(&mut self, id: RequestId, server: ServerId) {
        if let Some(observer) = &mut self.observer {
            observer.attempt_sent(self.clock.now(), id.0, server.0);
        }
    }

    pub fn attempt_ended(&mut self, id: RequestId, server: ServerId, outcome: Outcome, took: Duration) {
        if let Some(observer) = &mut self.observer {
            let (end, took_us) = (attempt_end(outcome), took.as_micros() as Micros);
            observer.attempt_ended(self.clock.now(), id.0, server.0, end, took_us);
        }
    }

    pub fn request_answered<'a>(&mut self, id: RequestId, kind: AnswerKind, key: impl FnOnce() -> &'a str) {
        if let Some(observer) = &mut self.observer {
            observer.request_answered(self.clock.now(), id.0, kind, key);
        }
    }

    pub fn request_closed(&mut self, id: RequestId) {
        if let Some(observer) = &mut self.observer {
            observer.request_closed(id.0);
        }
    }
}

/// The kind of an answer, as observers count it.
pub(crate) fn answer_kind(answer: &Answer) -> AnswerKind {
    match answer {
        Answer::Served(_) | Answer::Streaming(_) => AnswerKind::Served,
        Answer::Busy(_) => AnswerKind::Busy,
        Answer::Failed => AnswerKind::Failed,
    }
}

/// The end of an attempt, as observers count it.
fn attempt_end(outcome: Outcome) -> AttemptOutcome {
    match outcome {
        Outcome::Ok => AttemptOutcome::Served,
        Outcome::Miss => AttemptOutcome::Miss,
        Outcome::QueueFull => AttemptOutcome::Refused,
        Outcome::Failed => AttemptOutcome::Error,
        Outcome::TimedOut => AttemptOutcome::TimedOut,
        Outcome::ConnectError => AttemptOutcome::NoConnection,
        Outcome::Reset => AttemptOutcome::ConnectionLost,
        Outcome::Canceled => AttemptOutcome::Canceled,
        Outcome::Ignored => AttemptOutcome::NotSent,
    }
}
