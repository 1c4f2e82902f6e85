//! Leave to begin an attempt, given by the decision module as the first byte is about to be written.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use lilacquay_metrics::{Rule, Violations};
use paddlefold::RequestId;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::upstream::Standing;

/// A permit that is older than this was given by facts that may have changed.
const FRESH: Duration = Duration::from_millis(20);
/// What the time that a server is told may exceed what its client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// An attempt that begins so long after its client has left is lost work.
const LEFT_SLACK: Duration = Duration::from_millis(100);

/// Leave to begin an attempt now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Permit {
    /// When the client's time is up.
    pub deadline: Instant,
    /// When it was given.
    pub given: Instant,
}

impl Permit {
    fn is_fresh(&self) -> bool {
        self.given.elapsed() <= FRESH
    }
}

/// An attempt that is about to begin asks whether it may.
pub(crate) struct PermitRequest {
    pub id: RequestId,
    pub attempt: usize,
    pub answer: oneshot::Sender<Option<Permit>>,
}

/// By which one attempt gets its permit.
pub(crate) struct PermitRequester {
    pub id: RequestId,
    pub attempt: usize,
    pub to: UnboundedSender<PermitRequest>,
    /// One that was given with the decision.
    pub permit: Option<Permit>,
}

impl PermitRequester {
    /// Leave to begin now; nothing if there is none.
    pub async fn permit(&mut self) -> Option<Permit> {
        while !self.permit.as_ref().is_some_and(Permit::is_fresh) {
            let (answer, answered) = oneshot::channel();
            let PermitRequester { id, attempt, .. } = *self;
            self.to.send(PermitRequest { id, attempt, answer }).ok()?;
            self.permit = Some(answered.await.ok()??);
        }
        self.permit
    }
}

/// Set once a request's client has left: when.
pub(crate) type ClientLeft = Arc<OnceLock<Instant>>;

/// What an attempt is held against as it is written: facts that are looked at apart from the decision.
#[derive(Clone)]
pub(crate) struct InvariantChecker {
    pub id: RequestId,
    pub deadline: Instant,
    pub left: ClientLeft,
    pub standing: Standing,
    pub violations: Violations,
}

impl InvariantChecker {
    /// An attempt's first byte is about to be written.
    pub fn begins(&self) {
        let now = Instant::now();
        if self.left.get().is_some_and(|left| now > *left + LEFT_SLACK) {
            self.violations.count(Rule::BegunForNobody, self.id.0);
        }
        if now >= self.deadline {
            self.violations.count(Rule::BegunAfterDeadline, self.id.0);
        }
        if !self.standing.serving() {
            self.violations.count(Rule::BegunAtDrained, self.id.0);
        }
    }

    /// An attempt's last byte was written, and it told its server so much time.
    pub fn written(&self, told: Duration) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if told > left + DEADLINE_SLACK {
            self.violations.count(Rule::DeadlineToldTooLong, self.id.0);
        }
    }
}
