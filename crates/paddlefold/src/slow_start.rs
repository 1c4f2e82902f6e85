//! Since when a server is in slow start, by a wall clock that may have been stepped before this process took its time
//! from it.

use crate::api::{ListScope, Member, Micros};
use crate::state::Server;

/// The lists that were taken so far.
#[derive(Debug, Default)]
pub(crate) struct ListHistory {
    taken: usize,
    first: Option<Micros>,
}

impl ListHistory {
    /// Notes that a list was taken.
    pub fn note(&mut self, now: Micros) {
        self.taken += 1;
        self.first.get_or_insert(now);
    }

    /// Whether what a list tells has changed since this process began. The first changes that it is told may be as old as
    /// the list that it began with, unless they come later than a watch takes to catch up.
    pub fn are_changes_fresh(&self, scope: ListScope, now: Micros, catches_up: Micros) -> bool {
        let caught_up = self.first.is_some_and(|first| now.saturating_sub(first) >= catches_up);
        scope == ListScope::Delta && (self.taken > 1 || caught_up)
    }
}

/// Since when a server is in slow start, if it is; `fresh` tells that it was listed, or changed, since this process began.
///
/// A start that lies ahead is now, and a server that is new, or whose start has changed, has started since then.
pub(crate) fn cold_since(
    member: &Member,
    known: Option<&Server>,
    fresh: bool,
    now: Micros,
    cold: Micros,
) -> Option<Micros> {
    let started = member.started?;
    let is_long_ago = now.saturating_sub(started) >= cold;
    let since = match known {
        Some(server) if server.member.started == member.started => server.cold_since?,
        None if !fresh => started.min(now),
        _ if is_long_ago => now,
        _ => started.min(now),
    };
    Some(since).filter(|&since| now - since < cold)
}
