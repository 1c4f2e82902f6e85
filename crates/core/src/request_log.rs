//! What the driver notes for those who watch.

use std::time::Duration;

use lilacquay_observe::{End, Kind, Observer, Repeats, Request as Seen};
use paddlefold::setup::Names;
use paddlefold::{Effect, Micros, Outcome, Request, RequestId, ServerId};

use crate::call::Answer;
use crate::clock::Clock;

/// What the driver notes for those who watch. Without any, a request costs a look at whether there is an observer.
pub(crate) struct Watched {
    /// Asked only if there is an observer.
    clock: Clock,
    pub(crate) observer: Option<Observer>,
    watchers: usize,
    pub(crate) started_ms: u64,
    pub(crate) classes: Vec<String>,
    pub(crate) tenants: Vec<String>,
    pub(crate) source: &'static str,
    pub(crate) told: Micros,
    pub(crate) failures: u64,
}

impl Watched {
    pub fn new(clock: Clock, names: &Names) -> Self {
        let now = clock.now();
        Watched {
            clock,
            observer: None,
            watchers: 0,
            started_ms: now / 1000,
            classes: names.all_classes(),
            tenants: names.all_tenants(),
            source: "configuration",
            told: now,
            failures: 0,
        }
    }

    /// One more watches, or one fewer. What was gathered is forgotten with the last.
    pub fn watch(&mut self, more: bool) {
        self.watchers = if more { self.watchers + 1 } else { self.watchers.saturating_sub(1) };
        match (&self.observer, self.watchers) {
            (None, 1..) => self.observer = Some(Observer::new(self.clock.now(), self.tenants.len())),
            (Some(_), 0) => self.observer = None,
            _ => {}
        }
    }

    pub fn list_told(&mut self, source: &'static str) {
        (self.source, self.told, self.failures) = (source, self.clock.now(), 0);
    }

    pub fn list_failed(&mut self) {
        self.failures += 1;
    }

    pub fn arrived(&mut self, request: &Request, wait: Micros, effect: Option<Effect>) {
        let Some(observer) = &mut self.observer else { return };
        let repeats = match effect {
            _ if !request.write => Repeats::Free,
            Some(Effect::Safe) => Repeats::Free,
            Some(Effect::Keyed { .. }) if request.has_idempotency_key => Repeats::Discarded,
            _ => Repeats::Never,
        };
        let (id, class, tenant) = (request.id.0, request.class, request.tenant);
        observer.arrived(self.clock.now(), Seen { id, class, tenant, wait, repeats });
    }

    pub fn over_share(&mut self, tenant: Option<usize>) {
        if let Some(observer) = &mut self.observer {
            observer.over_share(self.clock.now(), tenant);
        }
    }

    pub fn sent(&mut self, id: RequestId, server: ServerId) {
        if let Some(observer) = &mut self.observer {
            observer.sent(self.clock.now(), id.0, server.0);
        }
    }

    pub fn ended(&mut self, id: RequestId, server: ServerId, outcome: Outcome, took: Duration) {
        if let Some(observer) = &mut self.observer {
            observer.ended(self.clock.now(), id.0, server.0, end(outcome), took.as_micros() as Micros);
        }
    }

    pub fn answered<'a>(&mut self, id: RequestId, kind: Kind, key: impl FnOnce() -> &'a str) {
        if let Some(observer) = &mut self.observer {
            observer.answered(self.clock.now(), id.0, kind, key);
        }
    }

    pub fn closed(&mut self, id: RequestId) {
        if let Some(observer) = &mut self.observer {
            observer.closed(id.0);
        }
    }
}

pub(crate) fn kind(answer: &Answer) -> Kind {
    match answer {
        Answer::Served(_) | Answer::Begun(_) => Kind::Served,
        Answer::Busy(_) => Kind::Busy,
        Answer::Failed => Kind::Failed,
    }
}

fn end(outcome: Outcome) -> End {
    match outcome {
        Outcome::Ok => End::Served,
        Outcome::Miss => End::Miss,
        Outcome::QueueFull => End::TurnedAway,
        Outcome::Failed => End::Error,
        Outcome::TimedOut => End::Silent,
        Outcome::ConnectError => End::NoConnection,
        Outcome::Reset => End::Broken,
        Outcome::Canceled => End::Canceled,
        Outcome::Ignored => End::NotSent,
    }
}
