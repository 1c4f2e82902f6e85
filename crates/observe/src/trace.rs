//! The trace of one request: its steps, and why it is waiting.

use crate::Micros;

/// Maximum number of steps kept for one request; further steps are only counted.
const MAX_STEPS: usize = 24;

/// The kind of a request's final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// Served.
    Served,
    /// Refused without side effects; the client may retry.
    Busy,
    /// Failed.
    Failed,
    /// Not sent, because the client had disconnected.
    Gone,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// The server has no value for the key.
    Miss,
    /// Refused by the server without being executed.
    Refused,
    /// Answered with an error.
    Error,
    /// No answer before the timeout.
    TimedOut,
    /// No connection could be established.
    NoConnection,
    /// The connection was lost before the answer.
    ConnectionLost,
    /// Canceled by this node.
    Canceled,
    /// Not sent: the concurrency limit was reached, or the server is no longer in service.
    NotSent,
}

/// Why the decision module makes a request wait while it has no attempt in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TraceWaitReason {
    /// The decision module has reported no reason.
    Undecided,
    /// Another request is fetching the same key.
    SharedFetch,
    /// The concurrency limit is reached.
    ConcurrencyLimit,
    /// Backoff before the next attempt.
    RetryBackoff,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepKind {
    /// An attempt was sent to the server with this id.
    Sent(u32),
    /// The attempt at the server with this id ended.
    Ended(u32, AttemptOutcome),
    /// The request was answered.
    Answered(AnswerKind),
}

/// The steps of a request so far.
#[derive(Debug, Clone)]
pub(crate) struct RequestTrace {
    pub arrived: Micros,
    /// When the client stops waiting.
    pub deadline: Micros,
    pub tenant: usize,
    pub class: Option<usize>,
    steps: Vec<(Micros, StepKind)>,
    /// Number of steps beyond [`MAX_STEPS`].
    dropped_steps: usize,
    pub answered: bool,
}

impl RequestTrace {
    pub fn new(now: Micros, timeout: Micros, class: Option<usize>, tenant: usize) -> Self {
        let deadline = now.saturating_add(timeout);
        RequestTrace {
            arrived: now,
            deadline,
            tenant,
            class,
            steps: Vec::new(),
            dropped_steps: 0,
            answered: false,
        }
    }

    pub fn attempt_sent(&mut self, now: Micros, server: u32) {
        self.push_step(now, StepKind::Sent(server));
    }
    pub fn attempt_ended(&mut self, now: Micros, server: u32, outcome: AttemptOutcome) {
        self.push_step(now, StepKind::Ended(server, outcome));
    }
    pub fn request_answered(&mut self, now: Micros, kind: AnswerKind) {
        self.push_step(now, StepKind::Answered(kind));
        self.answered = true;
    }

    fn push_step(&mut self, now: Micros, step: StepKind) {
        match self.steps.len() < MAX_STEPS {
            true => self.steps.push((now, step)),
            false => self.dropped_steps += 1,
        }
    }

    /// The attempts in flight, as the time at which each was sent and the id of its server.
    fn attempts_in_flight(&self) -> Vec<(Micros, u32)> {
        let mut in_flight: Vec<(Micros, u32)> = Vec::new();
        for (at, step) in &self.steps {
            match step {
                StepKind::Sent(server) => in_flight.push((*at, *server)),
                // Of two attempts at the same server, the earlier is assumed to have ended.
                StepKind::Ended(server, _) => {
                    if let Some(position) = in_flight.iter().position(|(_, sent_to)| sent_to == server) {
                        in_flight.remove(position);
                    }
                }
                StepKind::Answered(_) => {}
            }
        }
        in_flight
    }

    /// Describes what the request is waiting for or how it ended. `server_name` maps the id of a server to its name.
    pub fn describe_state(
        &self,
        now: Micros,
        wait_reason: TraceWaitReason,
        server_name: &dyn Fn(u32) -> String,
    ) -> String {
        let answer = self.steps.iter().rev().find_map(|(_, step)| match step {
            StepKind::Answered(kind) => Some(*kind),
            _ => None,
        });
        if let Some(kind) = answer {
            return describe_answer(kind).into();
        }
        let in_flight: Vec<String> = self
            .attempts_in_flight()
            .iter()
            .map(|(at, server)| {
                format!("{} since {:.0} ms", server_name(*server), ms(now.saturating_sub(*at)))
            })
            .collect();
        match (in_flight.is_empty(), wait_reason) {
            (false, _) => format!("at {}", in_flight.join(" and at ")),
            (true, TraceWaitReason::ConcurrencyLimit) => "no place: as much is out as may be".into(),
            (true, TraceWaitReason::SharedFetch) => "another request fetches its key".into(),
            (true, TraceWaitReason::RetryBackoff) => "pauses before its next try".into(),
            (true, TraceWaitReason::Undecided) => "is being decided".into(),
        }
    }

    /// Describes each step, with its time since the arrival of the request.
    pub fn describe_steps(&self, server_name: &dyn Fn(u32) -> String) -> Vec<(Micros, String)> {
        let describe = |step: &StepKind| match step {
            StepKind::Sent(server) => format!("sent to {}", server_name(*server)),
            StepKind::Ended(server, outcome) => {
                format!("{}: {}", server_name(*server), describe_outcome(*outcome))
            }
            StepKind::Answered(kind) => describe_answer(*kind).into(),
        };
        let since_arrival = |at: Micros| at.saturating_sub(self.arrived);
        let mut steps: Vec<_> =
            self.steps.iter().map(|(at, step)| (since_arrival(*at), describe(step))).collect();
        if let Some((at, _)) = steps.last().cloned().filter(|_| self.dropped_steps > 0) {
            steps.push((at, format!("and {} steps more", self.dropped_steps)));
        }
        steps
    }
}

/// Converts microseconds to milliseconds.
pub(crate) fn ms(micros: Micros) -> f64 {
    micros as f64 / 1e3
}

fn describe_answer(kind: AnswerKind) -> &'static str {
    match kind {
        AnswerKind::Served => "answered: served",
        AnswerKind::Busy => "answered: refused, to come back later",
        AnswerKind::Failed => "answered: failed",
        AnswerKind::Gone => "its client left",
    }
}

fn describe_outcome(outcome: AttemptOutcome) -> &'static str {
    match outcome {
        AttemptOutcome::Served => "served",
        AttemptOutcome::Miss => "holds no value for the key",
        AttemptOutcome::Refused => "turned it away",
        AttemptOutcome::Error => "answered with an error",
        AttemptOutcome::TimedOut => "no answer in time",
        AttemptOutcome::NoConnection => "no connection",
        AttemptOutcome::ConnectionLost => "the connection broke",
        AttemptOutcome::Canceled => "called off",
        AttemptOutcome::NotSent => "not sent: no place, or it serves no more",
    }
}
