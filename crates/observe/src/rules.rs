//! Checks on a single node whether retries obey the rules, independently of the module that decides on them.

use crate::trace::AttemptOutcome;

/// Whether a request may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing it more than once does no harm.
    Safe,
    /// Servers detect and discard repetitions. Which servers do so is not checked here.
    Deduplicated,
    /// It must not be executed twice.
    Unsafe,
}

/// Tracks the attempts of one request to detect unsafe repetitions.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryCheck {
    retry_safety: RetrySafety,
    in_flight: u32,
    may_have_run: bool,
}

impl RetryCheck {
    pub fn new(retry_safety: RetrySafety) -> Self {
        RetryCheck { retry_safety, in_flight: 0, may_have_run: false }
    }

    /// Records that an attempt is sent. Returns whether it may cause a second execution of an unsafe request.
    pub fn attempt_sent(&mut self) -> bool {
        let is_violation =
            self.retry_safety == RetrySafety::Unsafe && (self.in_flight > 0 || self.may_have_run);
        self.in_flight += 1;
        is_violation
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.may_have_run |= matches!(
            outcome,
            AttemptOutcome::Served
                | AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::Canceled
        );
    }
}
