//! What one node can see of the rules by itself, apart from the module that keeps them.

use crate::trace::AttemptOutcome;

/// What a request's repeats may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySafety {
    /// They are free.
    Safe,
    /// Servers discard them; which do is not looked at here.
    Deduplicated,
    /// It must not run twice.
    Unsafe,
}

/// A request's tries, as far as its repeats matter.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryCheck {
    retry_safety: RetrySafety,
    out: u32,
    may_have_run: bool,
}

impl RetryCheck {
    pub fn new(retry_safety: RetrySafety) -> Self {
        RetryCheck { retry_safety, out: 0, may_have_run: false }
    }

    /// One more is sent; whether it may make the request run twice.
    pub fn sent(&mut self) -> bool {
        let breach = self.retry_safety == RetrySafety::Unsafe && (self.out > 0 || self.may_have_run);
        self.out += 1;
        breach
    }

    /// One has ended.
    pub fn ended(&mut self, end: AttemptOutcome) {
        self.out = self.out.saturating_sub(1);
        self.may_have_run |= matches!(
            end,
            AttemptOutcome::Served
                | AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::Canceled
        );
    }
}
