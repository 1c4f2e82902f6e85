//! Permits to start an attempt: the balancer confirms its decision just before the first byte is written. Also checks,
//! independently of the balancer, that attempts keep the invariants.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use lilacquay_metrics::{Rule, ViolationCounters};
use paddlefold::RequestId;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::upstream::Availability;

/// How long a permit is valid. The facts behind an older one may have changed.
const PERMIT_VALIDITY: Duration = Duration::from_millis(20);
/// How far the time-out that is sent to a server may exceed the time that its client has left.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// An attempt that starts later than this after its client has disconnected is wasted work.
const CLIENT_LEFT_SLACK: Duration = Duration::from_millis(100);

/// Permission to start an attempt now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Permit {
    /// When the client's time-out expires.
    pub deadline: Instant,
    pub granted_at: Instant,
}

impl Permit {
    fn is_valid(&self) -> bool {
        self.granted_at.elapsed() <= PERMIT_VALIDITY
    }
}

/// An attempt's request for a permit. The answer is none if the attempt may not start.
pub(crate) struct PermitRequest {
    pub id: RequestId,
    pub attempt: usize,
    pub answer: oneshot::Sender<Option<Permit>>,
}

/// Obtains the permit of one attempt.
pub(crate) struct PermitRequester {
    pub id: RequestId,
    pub attempt: usize,
    pub sender: UnboundedSender<PermitRequest>,
    /// The permit that was granted together with the decision, or the last one obtained.
    pub permit: Option<Permit>,
}

impl PermitRequester {
    /// A valid permit, or none if the attempt may not start.
    pub async fn permit(&mut self) -> Option<Permit> {
        while !self.permit.as_ref().is_some_and(Permit::is_valid) {
            let (answer, answered) = oneshot::channel();
            let PermitRequester { id, attempt, .. } = *self;
            self.sender.send(PermitRequest { id, attempt, answer }).ok()?;
            self.permit = Some(answered.await.ok()??);
        }
        self.permit
    }
}

/// When a request's client disconnected; set once it has.
pub(crate) type ClientLeftAt = Arc<OnceLock<Instant>>;

/// Checks one attempt as it is written, against facts that are determined independently of the balancer's decision.
#[derive(Clone)]
pub(crate) struct InvariantChecker {
    pub id: RequestId,
    pub deadline: Instant,
    pub client_left: ClientLeftAt,
    pub availability: Availability,
    pub violations: ViolationCounters,
}

impl InvariantChecker {
    /// Checks an attempt whose first byte is about to be written.
    pub fn check_start(&self) {
        let now = Instant::now();
        if self.client_left.get().is_some_and(|left_at| now > *left_at + CLIENT_LEFT_SLACK) {
            self.violations.record(Rule::BegunAfterClientLeft, self.id.0);
        }
        if now >= self.deadline {
            self.violations.record(Rule::BegunAfterDeadline, self.id.0);
        }
        if !self.availability.is_serving() {
            self.violations.record(Rule::BegunAtDrained, self.id.0);
        }
    }

    /// Checks the time-out that was sent to the server with an attempt whose last byte has been written.
    pub fn check_sent_timeout(&self, sent_timeout: Duration) {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if sent_timeout > left + DEADLINE_SLACK {
            self.violations.record(Rule::DeadlineToldTooLong, self.id.0);
        }
    }
}
