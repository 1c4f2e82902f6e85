//! Since when a server is in slow start. Start times come from a wall clock that may have been stepped before
//! this process derived its own time from it, so they are not trusted where the list itself shows a recent
//! start.

use crate::api::{ListScope, Member, Micros};
use crate::state::Server;

/// The lists that were received so far.
#[derive(Debug, Default)]
pub(crate) struct ListHistory {
    received: usize,
    first_received_at: Option<Micros>,
}

impl ListHistory {
    /// Notes that a list was received.
    pub fn record(&mut self, now: Micros) {
        self.received += 1;
        self.first_received_at.get_or_insert(now);
    }

    /// Whether the entries of a list have changed since this process started. The first changes that it
    /// receives may be as old as the list that it started with, unless they come later than a watch takes to
    /// catch up (`catch_up_time`).
    pub fn are_changes_fresh(&self, scope: ListScope, now: Micros, catch_up_time: Micros) -> bool {
        let first = self.first_received_at;
        let caught_up = first.is_some_and(|first| now.saturating_sub(first) >= catch_up_time);
        scope == ListScope::Delta && (self.received > 1 || caught_up)
    }
}

/// Since when a server is in slow start, if it is; `fresh` states that it was listed or changed since this
/// process started, and `cold` is the length of slow start.
///
/// A start time in the future is read as now. A server that is not known yet (if `fresh`), or whose start
/// time has changed, started after this process: if its start time is at least `cold` ago, the clocks
/// disagree, and its start is read as now too.
pub(crate) fn slow_start_since(
    member: &Member,
    known: Option<&Server>,
    fresh: bool,
    now: Micros,
    cold: Micros,
) -> Option<Micros> {
    let started = member.started?;
    let is_long_ago = now.saturating_sub(started) >= cold;
    let since = match known {
        Some(server) if server.member.started == member.started => server.slow_start_since?,
        None if !fresh => started.min(now),
        _ if is_long_ago => now,
        _ => started.min(now),
    };
    Some(since).filter(|&since| now - since < cold)
}
