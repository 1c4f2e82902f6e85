//! The checks of a seed, beside those of [`check`](crate::verdict::check): what clients saw, against what the stand-in servers
//! recorded and what was done to the nodes.

use std::collections::BTreeSet;
use std::time::Duration;

use super::pipelined::Unanswered;
use super::stopped_writes::{STOPPED_CLIENT_LIMIT, StoppedWriteReport};
use super::{
    ANSWER_TIME_US, LISTENER_CLOSE_DELAY_US, MAX_NEW_CONNECTION_DELAY_US, MAX_PAUSE, NODES, NodeSlot,
    PIPELINING_CLIENT_INTERVAL, PausedValueReport, READ_TIME_US, SOCKET_CLOSE_TIME_US, Soak,
};
use crate::clients::{ClientRequest, Outcome};
use crate::clock::Micros;
use crate::record::{Event, Record};

impl NodeSlot {
    /// Whether a request lay behind a large value that flowed until the node read no more commands, because a kill would
    /// have left them without an answer. Its client sends it again on a new connection.
    fn read_no_more_behind_value(&self, unanswered: &Unanswered) -> bool {
        let reads_no_more = |sigterm_at: &Micros| *sigterm_at + READ_TIME_US <= unanswered.ended;
        unanswered.after_large_value && self.terminated_at.iter().any(reads_no_more)
    }
}

impl Soak {
    /// Descriptions of values that were cut off though their server gave them whole or was still giving them, by the ids of
    /// those. A process that was told to end may have been killed in the middle of a value.
    pub(super) fn cut_off_paused_values(
        &self,
        given: &BTreeSet<&str>,
        records: &[Record],
    ) -> impl Iterator<Item = String> {
        let cut_off = self.paused_value_reports.iter().filter(|(node, report)| {
            let killed_at = &self.slots[*node].killed_answering_at;
            let killed = killed_at.iter().any(|at| (report.began..=report.ended).contains(at));
            report.value.is_cut_off() && !killed && given.contains(report.value.id.as_str())
        });
        cut_off.map(|(node, report)| {
            let NodeSlot { listen, terminated_at, killed_answering_at, .. } = &self.slots[*node];
            format!(
                "cut off while its server paused: {report:?} at {listen}, told to end at {terminated_at:?}, killed at \
                 {killed_answering_at:?}, servers: {}",
                large_value_history(records, &report.value.id)
            )
        })
    }

    /// How many values were flowing when their node's time for answers was over, and came whole.
    pub(super) fn values_beyond_answer_time(&self) -> usize {
        let outlived = |(node, report): &&(usize, PausedValueReport)| {
            let was_told = |at: &Micros| *at >= report.began && *at + ANSWER_TIME_US < report.ended;
            !report.value.is_cut_off() && self.slots[*node].terminated_at.iter().any(was_told)
        };
        self.paused_value_reports.iter().filter(outlived).count()
    }

    /// Descriptions of nodes that were killed while they were still writing answers though no client was reading a value
    /// that its server had begun. `asks`: the requests of the usual clients, by node.
    pub(super) fn killed_without_begun_values(
        &self,
        records: &[Record],
        asks: &[(usize, ClientRequest)],
    ) -> Vec<String> {
        let begun: BTreeSet<&str> = records.iter().filter_map(large_value_begun).collect();
        let was_reading = |killed_node: usize, killed_at: Micros| {
            let asked = asks.iter().any(|(node, ask)| {
                let was_open = ask.sent <= killed_at && killed_at <= ask.ended + SOCKET_CLOSE_TIME_US;
                *node == killed_node && was_open && begun.contains(ask.id.as_str())
            });
            let paused = self.paused_value_reports.iter().any(|(node, report)| {
                *node == killed_node && report.value.is_cut_off() && report.began <= killed_at
            });
            let pipelines = (0..NODES).step_by(PIPELINING_CLIENT_INTERVAL).zip(&self.pipeline_reports);
            let pipelined = pipelines
                .filter(|(node, _)| *node == killed_node)
                .any(|(_, report)| report.partly_answered.iter().any(|id| begun.contains(id.as_str())));
            asked || paused || pipelined || self.crowded_node == Some(killed_node)
        };
        let mut unexplained = Vec::new();
        for (node, slot) in self.slots.iter().enumerate() {
            let killed = slot.killed_answering_at.iter().filter(|at| !was_reading(node, **at));
            unexplained
                .extend(killed.map(|at| format!("{} wrote no value at {at} and did not end", slot.listen)));
        }
        unexplained
    }

    /// Descriptions of attempts for clients that had sent much at once and left.
    pub(super) fn attempts_for_departed(&self, records: &[Record]) -> Vec<String> {
        let mut late = Vec::new();
        for (node, departure) in &self.departures {
            let left_at = departure.left_at;
            let run_delay = self.run_delays.max_delay(*node, left_at, left_at + 1_000_000);
            let pauses = self.slots[*node].pauses.iter();
            let paused = pauses.filter(|(begin, end)| *begin <= left_at + 1_000_000 && left_at <= *end);
            let pause = paused.map(|(begin, end)| end.saturating_sub(*begin)).max().unwrap_or(0);
            let attempts = departure.late_attempts(records, run_delay + pause);
            late.extend(
                attempts.map(|(id, after)| format!("lost: {id} was begun {after} us after its client left")),
            );
        }
        late
    }

    /// Descriptions of requests of pipelining clients that were lost, or got the answer of another request. `forwarded`: the
    /// ids of the requests that servers received.
    pub(super) fn pipeline_violations(&self, forwarded: &BTreeSet<&str>, allowance: Duration) -> Vec<String> {
        let mut broken = Vec::new();
        let pipelining_slots = self.slots.iter().step_by(PIPELINING_CLIENT_INTERVAL);
        for (slot, report) in pipelining_slots.zip(&self.pipeline_reports) {
            for unanswered in &report.unanswered {
                let id = &unanswered.id;
                if forwarded.contains(id.as_str()) {
                    broken.push(format!("lost: {id} was read and forwarded but never answered"));
                } else if unanswered.is_overdue(allowance) && !slot.read_no_more_behind_value(unanswered) {
                    broken.push(format!(
                        "lost: {id} had waited {:?} when its connection ended at {}; {} was told to end at {:?}, killed \
                         with answers begun at {:?}",
                        unanswered.ended_at - unanswered.written_at,
                        unanswered.ended,
                        slot.listen,
                        slot.terminated_at,
                        slot.killed_answering_at
                    ));
                }
            }
            broken.extend(
                report.foreign_answers.iter().map(|id| format!("{id} got the answer of another request")),
            );
        }
        broken
    }
}

/// The violations that clients saw beside others that stopped in a write.
pub(super) fn stopped_write_violations(report: &StoppedWriteReport, allowance: Duration) -> Vec<String> {
    let kept = report.kept_too_long.iter().filter(|kept| **kept > STOPPED_CLIENT_LIMIT + allowance);
    let kept = kept.map(|kept| format!("a client that stopped in a write was kept for {kept:?}"));
    let late = report.late.iter().filter(|late| late.beyond_limit > allowance);
    let late = late.map(|late| format!("lost: {} was answered {:?} too late", late.id, late.beyond_limit));
    kept.chain(late).collect()
}

/// The id of a request whose large value a server has sent whole, or was still sending when its node closed.
pub(super) fn value_given(record: &Record) -> Option<&str> {
    match &record.event {
        Event::LargeValueSent(request) | Event::ValueAbandoned(request) => Some(&request.id),
        _ => None,
    }
}

/// What the servers recorded of a large value, for the message of a violation.
pub(super) fn large_value_history(records: &[Record], id: &str) -> String {
    let step = |record: &Record| {
        let (step, request) = match &record.event {
            Event::AnswerPaused(request) => ("begun", request),
            Event::LargeValueSent(request) => ("sent", request),
            Event::ValueAbandoned(request) => ("abandoned", request),
            Event::AnswerHalted(request) => ("halted", request),
            _ => return None,
        };
        (request.id == id).then(|| format!("{step} at {} by {}", record.at, record.server))
    };
    records.iter().filter_map(step).collect::<Vec<_>>().join(", ")
}

/// The id of a request whose large value a server has begun to send.
pub(super) fn large_value_begun(record: &Record) -> Option<&str> {
    match &record.event {
        Event::AnswerHalted(request) | Event::AnswerPaused(request) | Event::LargeValueSent(request) => {
            Some(&request.id)
        }
        _ => None,
    }
}

/// The id of a request whose large value a server has sent whole.
pub(super) fn large_value_sent(record: &Record) -> Option<&str> {
    match &record.event {
        Event::LargeValueSent(request) => Some(&request.id),
        _ => None,
    }
}

/// Whether a request was lost because its new connection arrived between its node's last accept and the close of the
/// listener. New connections arrive for at most 0.4 s after SIGTERM, and the node accepts them for 0.5 s.
pub(super) fn arrived_while_listener_closed(ask: &ClientRequest, terminated_at: &[Micros]) -> bool {
    let is_closing = |sigterm_at: &Micros| {
        let since_sigterm = ask.sent.saturating_sub(*sigterm_at);
        (MAX_NEW_CONNECTION_DELAY_US
            ..=LISTENER_CLOSE_DELAY_US + MAX_PAUSE.as_micros() as Micros + ask.scheduling_delay)
            .contains(&since_sigterm)
    };
    ask.outcome == Outcome::ConnectionClosed && ask.resent.is_none() && terminated_at.iter().any(is_closing)
}

/// Adds the longest pause of the node that overlaps a request to the lateness that the check tolerates, because the operators
/// accept that a paused node acts that much later.
pub(super) fn allow_for_pauses(mut ask: ClientRequest, pauses: &[(Micros, Micros)]) -> ClientRequest {
    let overlaps = |(begin, end): &&(Micros, Micros)| *begin <= ask.ended && ask.sent <= *end;
    let allowance = pauses.iter().filter(overlaps).map(|(begin, end)| end.saturating_sub(*begin)).max();
    ask.scheduling_delay += allowance.unwrap_or(0);
    ask
}
