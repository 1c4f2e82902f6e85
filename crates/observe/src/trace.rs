//! The way of one request, step by step, and why it waits.

use crate::Micros;

/// More steps of one request are not kept.
const MOST: usize = 24;

/// A final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerKind {
    /// Served.
    Served,
    /// Refused.
    Busy,
    /// Failed.
    Failed,
    /// Its client had left.
    Gone,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// The server holds no value for the key.
    Miss,
    /// Turned away unseen.
    Refused,
    /// Answered with an error.
    Error,
    /// No answer in time.
    TimedOut,
    /// No connection.
    NoConnection,
    /// The connection broke.
    ConnectionLost,
    /// Called off.
    Canceled,
    /// Not sent: no place, or the server serves no more.
    NotSent,
}

/// What the decision module holds a request for, while no attempt is out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WaitReason {
    /// Nothing that it told.
    Undecided,
    /// Another request's fetch of the same key.
    SharedFetch,
    /// A place among what may be out at once.
    ConcurrencyLimit,
    /// A pause before its next try.
    RetryBackoff,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StepKind {
    Sent(u32),
    Ended(u32, AttemptOutcome),
    Answered(AnswerKind),
}

/// A request's way so far.
#[derive(Debug, Clone)]
pub(crate) struct RequestTrace {
    pub arrived: Micros,
    /// When its client leaves.
    pub until: Micros,
    pub tenant: usize,
    pub class: Option<usize>,
    steps: Vec<(Micros, StepKind)>,
    /// Steps beyond those that are kept.
    more: usize,
    pub answered: bool,
}

impl RequestTrace {
    pub fn new(now: Micros, wait: Micros, class: Option<usize>, tenant: usize) -> Self {
        let until = now.saturating_add(wait);
        RequestTrace { arrived: now, until, tenant, class, steps: Vec::new(), more: 0, answered: false }
    }

    pub fn sent(&mut self, now: Micros, server: u32) {
        self.take(now, StepKind::Sent(server));
    }
    pub fn ended(&mut self, now: Micros, server: u32, end: AttemptOutcome) {
        self.take(now, StepKind::Ended(server, end));
    }
    pub fn answered(&mut self, now: Micros, kind: AnswerKind) {
        self.take(now, StepKind::Answered(kind));
        self.answered = true;
    }

    fn take(&mut self, now: Micros, taken: StepKind) {
        match self.steps.len() < MOST {
            true => self.steps.push((now, taken)),
            false => self.more += 1,
        }
    }

    /// The attempts that are out: when, and where.
    fn out(&self) -> Vec<(Micros, u32)> {
        let mut out: Vec<(Micros, u32)> = Vec::new();
        for (at, taken) in &self.steps {
            match taken {
                StepKind::Sent(server) => out.push((*at, *server)),
                // Of two attempts at one server the earlier is taken to have ended.
                StepKind::Ended(server, _) => {
                    if let Some(place) = out.iter().position(|(_, sent)| sent == server) {
                        out.remove(place);
                    }
                }
                StepKind::Answered(_) => {}
            }
        }
        out
    }

    /// What it waits for, or how it ended.
    pub fn why(&self, now: Micros, waits: WaitReason, name: &dyn Fn(u32) -> String) -> String {
        let last = self.steps.iter().rev().find_map(|(_, taken)| match taken {
            StepKind::Answered(kind) => Some(*kind),
            _ => None,
        });
        if let Some(kind) = last {
            return answer_words(kind).into();
        }
        let out: Vec<String> = self
            .out()
            .iter()
            .map(|(at, server)| format!("{} since {:.0} ms", name(*server), ms(now.saturating_sub(*at))))
            .collect();
        match (out.is_empty(), waits) {
            (false, _) => format!("at {}", out.join(" and at ")),
            (true, WaitReason::ConcurrencyLimit) => "no place: as much is out as may be".into(),
            (true, WaitReason::SharedFetch) => "another request fetches its key".into(),
            (true, WaitReason::RetryBackoff) => "pauses before its next try".into(),
            (true, WaitReason::Undecided) => "is being decided".into(),
        }
    }

    /// Its steps in words, with their times from its arrival in microseconds.
    pub fn words(&self, name: &dyn Fn(u32) -> String) -> Vec<(Micros, String)> {
        let word = |taken: &StepKind| match taken {
            StepKind::Sent(server) => format!("sent to {}", name(*server)),
            StepKind::Ended(server, end) => format!("{}: {}", name(*server), end_words(*end)),
            StepKind::Answered(kind) => answer_words(*kind).into(),
        };
        let since = |at: Micros| at.saturating_sub(self.arrived);
        let mut words: Vec<_> = self.steps.iter().map(|(at, taken)| (since(*at), word(taken))).collect();
        if let Some((at, _)) = words.last().cloned().filter(|_| self.more > 0) {
            words.push((at, format!("and {} steps more", self.more)));
        }
        words
    }
}

pub(crate) fn ms(micros: Micros) -> f64 {
    micros as f64 / 1e3
}

fn answer_words(kind: AnswerKind) -> &'static str {
    match kind {
        AnswerKind::Served => "answered: served",
        AnswerKind::Busy => "answered: refused, to come back later",
        AnswerKind::Failed => "answered: failed",
        AnswerKind::Gone => "its client left",
    }
}

fn end_words(end: AttemptOutcome) -> &'static str {
    match end {
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
