//! Whether an attempt may begin: the rules that no choice of a server may break. They are checked here alone,
//! first when an attempt is decided, and again when its connection is up and its first byte is about to be
//! written.

use std::fmt;

use super::*;

/// Why an attempt may not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PermitError {
    /// The attempt is not known, or has ended.
    AttemptEnded,
    /// The request has its final answer, or its client has left.
    RequestSettled,
    /// Another attempt's answer is being streamed to the client.
    ResponseStarted,
    /// The client has no time left.
    DeadlinePassed,
    /// The request has used all its attempts.
    AttemptsExhausted,
    /// The server drains, or is gone.
    ServerNotServing,
    /// Another attempt is in flight, and the request may not have two.
    ConcurrentAttempt,
    /// An earlier attempt may have run, and this one could repeat its effect.
    RepeatedEffect,
    /// The server is in slow start and has been sent this node's share for now.
    SlowStart,
}

impl fmt::Display for PermitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PermitError::AttemptEnded => "the attempt has ended",
            PermitError::RequestSettled => "the request is answered or its client has left",
            PermitError::ResponseStarted => "another answer has begun",
            PermitError::DeadlinePassed => "no time is left",
            PermitError::AttemptsExhausted => "all attempts are spent",
            PermitError::ServerNotServing => "the server drains or is gone",
            PermitError::ConcurrentAttempt => "another attempt is out",
            PermitError::RepeatedEffect => "an earlier attempt may have run",
            PermitError::SlowStart => "the server is in slow start",
        })
    }
}

impl Balancer {
    /// Whether a decided attempt may begin now; returns how long its client still waits. At a server in slow
    /// start, this uses up a part of this node's share.
    ///
    /// # Errors
    /// If it may not begin: it must then end with [`Outcome::Ignored`], with nothing written.
    pub fn begin(&mut self, now: Micros, id: RequestId, attempt: usize) -> Result<Micros, PermitError> {
        self.now = self.now.max(now);
        let request = self.open_requests.get(&id).ok_or(PermitError::AttemptEnded)?;
        let decided = request.attempts.get(attempt).filter(|a| a.in_flight);
        let to = decided.ok_or(PermitError::AttemptEnded)?.server;
        let time_left = request.deadline.saturating_sub(self.now);
        let server = self.servers.get(&to).ok_or(PermitError::ServerNotServing)?;
        self.check_permitted(request, server, Some(attempt))?;
        let credit = self.current_credit(server, server.begin_credit);
        if credit < 1.0 {
            return Err(PermitError::SlowStart);
        }
        if let Some(server) = self.servers.get_mut(&to) {
            server.begin_credit = (credit - 1.0, self.now);
        }
        Ok(time_left)
    }

    /// Whether the rules allow a request's attempt at a server: the decided attempt `own`, or the next one.
    pub(super) fn check_permitted(
        &self,
        request: &OpenRequest,
        server: &Server,
        own: Option<usize>,
    ) -> Result<(), PermitError> {
        let attempts = || request.attempts.iter().enumerate();
        let others = || attempts().filter(|(index, _)| Some(*index) != own).map(|(_, attempt)| attempt);
        if request.settled {
            return Err(PermitError::RequestSettled);
        }
        if request.streaming {
            return Err(PermitError::ResponseStarted);
        }
        if self.now + self.settings.quantum >= request.deadline {
            return Err(PermitError::DeadlinePassed);
        }
        if others().count() >= self.settings.max_attempts {
            return Err(PermitError::AttemptsExhausted);
        }
        if server.member.state != MemberState::Up {
            return Err(PermitError::ServerNotServing);
        }
        if others().any(|a| a.in_flight) && !self.may_hedge(request) {
            return Err(PermitError::ConcurrentAttempt);
        }
        if !self.is_repeat_allowed(request, server, others().filter(|a| a.in_flight || a.may_have_run)) {
            return Err(PermitError::RepeatedEffect);
        }
        Ok(())
    }

    /// Whether a request may run at a server, given its attempts that may have run (`ran`).
    fn is_repeat_allowed<'a>(
        &self,
        request: &OpenRequest,
        server: &Server,
        mut ran: impl Iterator<Item = &'a Attempt>,
    ) -> bool {
        match request.effect {
            Effect::Safe => true,
            Effect::Unsafe => ran.next().is_none(),
            // Only within the group of servers that deduplicates, and while it surely remembers the first
            // attempt: an eighth of the window is kept as a margin.
            Effect::Keyed { scope, window } => ran.all(|attempt| {
                let first = self.servers.get(&attempt.server).map(|first| &first.member);
                self.now < attempt.sent_at.saturating_add(window - window / 8)
                    && first.is_some_and(|first| first.deduplicates_with(&server.member, scope))
            }),
        }
    }
}
