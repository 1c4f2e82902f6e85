//! A node's own state: its incarnation, its heartbeats, which watchers have confirmed them, and until when it may use its
//! share. Times are in microseconds by the node's monotonic clock unless said otherwise.

use lilacquay_codec::siblings::{Heard, MAX_WATCHERS};

use crate::Micros;
use crate::parameters::Parameters;
use crate::ring::Ring;

/// How many heartbeats' send times are kept: more than are sent during a lease.
const KEPT_SEND_TIMES: usize = 256;
/// The least time between two incarnations while enough watchers confirm the node without the new one.
const MIN_INCARNATION_INTERVAL_US: Micros = 10_000_000;
/// The same while too few confirm it, at first; it doubles with each incarnation that follows too soon on the last.
const INITIAL_INCARNATION_BACKOFF_US: Micros = 100_000;

/// What a watcher has reported of this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct WatcherReport {
    /// When the newest heartbeat that it has acknowledged was sent.
    acked_sent_at: Option<Micros>,
    /// When its present incarnation was first heard of.
    first_heard_at: Option<Micros>,
    /// It reports that our incarnation's lease has expired.
    reports_expired: bool,
}

/// The state of the node itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SelfState {
    incarnation: u64,
    /// The low bits of all its incarnations, which tell two processes of one name apart.
    nonce: u8,
    incarnation_started_at: Micros,
    heartbeat: u32,
    /// Send times of the last heartbeats, as a ring buffer indexed by heartbeat number.
    sent_at: Vec<Micros>,
    /// By index among the neighbours on the ring.
    reports: [WatcherReport; MAX_WATCHERS],
    /// Since when it has been confirmed without interruption.
    confirmed_since: Option<Micros>,
    /// The least time to the next incarnation while too few watchers confirm the node.
    incarnation_backoff: Micros,
    lease_duration: Micros,
    confirmation_quorum: usize,
    watcher_count: usize,
    settling_time: Micros,
}

impl SelfState {
    /// The state of a node that starts. Its first incarnation is made of the wall clock's time, in hundredths of a second,
    /// and the nonce.
    pub fn new(ring: &Ring, parameters: &Parameters, now: Micros, wall: Micros, nonce: u8) -> SelfState {
        SelfState {
            incarnation: (wall / 10_000).max(1) << 8 | u64::from(nonce),
            nonce,
            incarnation_started_at: now,
            heartbeat: 0,
            sent_at: vec![0; KEPT_SEND_TIMES],
            reports: Default::default(),
            confirmed_since: None,
            incarnation_backoff: INITIAL_INCARNATION_BACKOFF_US,
            lease_duration: parameters.lease_duration,
            confirmation_quorum: ring.confirmation_quorum(),
            watcher_count: ring.watcher_count(),
            settling_time: parameters.expiry_timeout(),
        }
    }

    /// The present incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The number of the newest heartbeat.
    pub fn heartbeat(&self) -> u32 {
        self.heartbeat
    }

    /// Starts the next heartbeat, which is sent now.
    pub fn next_heartbeat(&mut self, now: Micros) {
        self.heartbeat += 1;
        self.sent_at[self.heartbeat as usize % KEPT_SEND_TIMES] = now;
    }

    /// Processes a watcher's report of this node.
    pub fn handle_report(&mut self, watcher: usize, heard: Heard) {
        if heard.incarnation != self.incarnation as u32 || (heard.incarnation, heard.heartbeat) == (0, 0) {
            return; // of an earlier incarnation, or the watcher has heard nothing of this node
        }
        let age = (self.heartbeat as u16).wrapping_sub(heard.heartbeat);
        let report = &mut self.reports[watcher];
        report.reports_expired = heard.expired;
        if usize::from(age) < KEPT_SEND_TIMES.min(self.heartbeat as usize) && !heard.expired {
            let sent_at = self.sent_at[(self.heartbeat - u32::from(age)) as usize % KEPT_SEND_TIMES];
            report.acked_sent_at = report.acked_sent_at.max(Some(sent_at));
        }
    }

    /// Resets what a watcher has reported, because it has started a new incarnation or is heard of for the first time.
    ///
    /// Without this, a watcher that held us to be gone, and forgot it in a restart, could confirm us.
    pub fn reset_watcher(&mut self, watcher: usize, now: Micros) {
        self.reports[watcher] = WatcherReport { first_heard_at: Some(now), ..WatcherReport::default() };
    }

    /// Whether a watcher's confirmation counts: it cannot have held this incarnation to be gone before it restarted.
    fn is_eligible(&self, report: &WatcherReport) -> bool {
        report
            .first_heard_at
            .is_some_and(|first_heard_at| first_heard_at < self.incarnation_started_at + self.lease_duration)
    }

    /// When a watcher's confirmation ends; 0 if there is none that counts.
    fn confirmation_ends_at(&self, report: &WatcherReport) -> Micros {
        let acked_sent_at = report.acked_sent_at.filter(|_| self.is_eligible(report));
        acked_sent_at.map_or(0, |sent_at| sent_at + self.lease_duration)
    }

    /// Until when a quorum confirms it, as far as it knows. With one or two nodes nobody can take over anything, so the
    /// confirmation does not end.
    pub fn confirmed_until(&self) -> Micros {
        if self.confirmation_quorum == 0 {
            return Micros::MAX;
        }
        let mut ends = self.reports.map(|report| self.confirmation_ends_at(&report));
        ends.sort_unstable_by(|a, b| b.cmp(a));
        ends[self.confirmation_quorum - 1]
    }

    /// Until when this watcher confirms it; 0 if it does not.
    pub fn watcher_confirms_until(&self, watcher: usize) -> Micros {
        self.confirmation_ends_at(&self.reports[watcher])
    }

    /// When the newest heartbeat was sent that a watcher has acknowledged, whether or not its confirmation counts.
    pub fn acked_sent_at(&self, watcher: usize) -> Option<Micros> {
        self.reports[watcher].acked_sent_at
    }

    /// How many watchers report that its lease has expired.
    pub fn expiry_reports(&self) -> usize {
        self.reports.iter().filter(|report| report.reports_expired).count()
    }

    /// Tracks whether the node is confirmed without interruption. To be called before and after anything that may change
    /// the confirmation.
    pub fn update_confirmation(&mut self, now: Micros) {
        let is_confirmed = now < self.confirmed_until();
        self.confirmed_since = if is_confirmed { self.confirmed_since.or(Some(now)) } else { None };
    }

    /// Whether it has been confirmed for so long that nobody can still use a piece of its share.
    pub fn is_settled(&self, now: Micros) -> bool {
        self.confirmation_quorum == 0
            || self.confirmed_since.is_some_and(|since| now >= since + self.settling_time)
    }

    /// Whether the present incarnation is at least this old.
    pub fn has_run_for(&self, now: Micros, duration: Micros) -> bool {
        now >= self.incarnation_started_at + duration
    }

    /// Whether fewer lasting confirmations remain than the quorum and one to spare.
    pub fn lacks_spare_confirmation(&self, now: Micros) -> bool {
        let spare = usize::from(self.confirmation_quorum < self.watcher_count);
        self.confirmation_quorum > 0 && self.lasting_confirmations(now) < self.confirmation_quorum + spare
    }

    /// Whether fewer lasting confirmations remain than the quorum. The node has the rest of its lease to get them.
    pub fn lacks_quorum(&self, now: Micros) -> bool {
        self.lasting_confirmations(now) < self.confirmation_quorum
    }

    /// How many confirmations last for more than another third of a lease.
    fn lasting_confirmations(&self, now: Micros) -> usize {
        let is_lasting =
            |report: &&WatcherReport| now + self.lease_duration / 3 < self.confirmation_ends_at(report);
        self.reports.iter().filter(is_lasting).count()
    }

    /// Whether a new incarnation is to start now: a watcher holds the present one to be gone, or has restarted so that its
    /// confirmation does not count.
    pub fn should_start_incarnation(&self, now: Micros) -> bool {
        let cannot_confirm = |report: &WatcherReport| {
            let acks_lately =
                report.acked_sent_at.is_some_and(|sent_at| now < sent_at + self.lease_duration / 2);
            report.reports_expired || acks_lately && !self.is_eligible(report)
        };
        let any_cannot_confirm = self.reports.iter().any(cannot_confirm);
        let interval = if self.lacks_spare_confirmation(now) {
            self.incarnation_backoff
        } else {
            MIN_INCARNATION_INTERVAL_US
        };
        any_cannot_confirm && now >= self.incarnation_started_at + interval
    }

    /// Starts an incarnation that is newer than the present one and than `other`. It has no confirmation yet.
    pub fn start_incarnation(&mut self, now: Micros, other: u64) {
        // Backs off, so that a peer that reports every incarnation as gone cannot end each as soon as it starts.
        let is_soon = now < self.incarnation_started_at + 4 * self.incarnation_backoff;
        self.incarnation_backoff = if is_soon {
            (2 * self.incarnation_backoff).min(MIN_INCARNATION_INTERVAL_US)
        } else {
            INITIAL_INCARNATION_BACKOFF_US
        };
        let next = self.incarnation.max(other) + 1;
        self.incarnation = next + u64::from(self.nonce.wrapping_sub(next as u8));
        self.incarnation_started_at = now;
        self.confirmed_since = None;
        for report in &mut self.reports {
            (report.acked_sent_at, report.reports_expired) = (None, false);
        }
    }

    /// Accounts for a suspension of the machine: all send times lie further in the past by its duration.
    pub fn apply_suspension(&mut self, duration: Micros) {
        for report in &mut self.reports {
            report.acked_sent_at = report.acked_sent_at.map(|sent_at| sent_at.saturating_sub(duration));
        }
        self.sent_at.iter_mut().for_each(|sent_at| *sent_at = sent_at.saturating_sub(duration));
        self.confirmed_since = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    /// Sends a heartbeat and has this watcher acknowledge it.
    fn confirm(state: &mut SelfState, watcher: usize, now: Micros) {
        state.next_heartbeat(now);
        let (incarnation, heartbeat) = (state.incarnation() as u32, state.heartbeat() as u16);
        state.handle_report(watcher, Heard { incarnation, heartbeat, direct: true, expired: false });
    }

    /// A watcher that restarts has forgotten whether it held the present incarnation to be gone.
    #[test]
    fn a_restarted_watcher_confirms_only_incarnations_that_started_after_it() {
        let (ring, parameters) = (Ring::new(3), Parameters::default());
        let mut state = SelfState::new(&ring, &parameters, 0, 0, 7);
        state.reset_watcher(0, 100 * MS);
        confirm(&mut state, 0, 200 * MS);
        assert_eq!(state.confirmed_until(), 200 * MS + parameters.lease_duration);
        let later = parameters.lease_duration + 500 * MS;
        state.reset_watcher(0, later);
        confirm(&mut state, 0, later);
        assert!(state.confirmed_until() <= later, "its confirmation doesn't count");
        assert!(state.should_start_incarnation(later + 10 * MS));
        state.start_incarnation(later + 10 * MS, 0);
        confirm(&mut state, 0, later + 20 * MS);
        assert_eq!(state.confirmed_until(), later + 20 * MS + parameters.lease_duration);
    }

    #[test]
    fn a_report_of_an_earlier_incarnation_or_of_a_heartbeat_never_sent_confirms_nothing() {
        let (ring, parameters) = (Ring::new(3), Parameters::default());
        let mut state = SelfState::new(&ring, &parameters, 0, 0, 7);
        state.reset_watcher(0, 0);
        let earlier = state.incarnation() as u32;
        state.next_heartbeat(10 * MS);
        state.start_incarnation(20 * MS, 0);
        let report = |incarnation, heartbeat| Heard { incarnation, heartbeat, direct: true, expired: false };
        state.handle_report(0, report(earlier, 1));
        state.handle_report(0, report(state.incarnation() as u32, 9));
        assert_eq!(state.confirmed_until(), 0);
    }
}
