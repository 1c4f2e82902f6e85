//! A node's own standing: its incarnation, its beats, who has confirmed them, and until when it may use its part.

use lilacquay_codec::siblings::{Heard, MAX_WATCHERS};

use crate::Micros;
use crate::parameters::Terms;
use crate::ring::Ring;

/// Beats whose times are remembered: more than are sent in a lease.
const REMEMBERED: usize = 256;
/// A new incarnation without need is begun so long after the last one at the earliest.
const AT_EASE: Micros = 10_000_000;
/// One that is needed, at first; twice as long after each that came too soon.
const IN_NEED: Micros = 100_000;

/// What a watcher has said of this node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Witness {
    /// When the newest of our beats was sent that it has heard.
    acked: Option<Micros>,
    /// When its present incarnation was first heard of.
    met: Option<Micros>,
    /// It says that our incarnation's lease has run out.
    denies: bool,
}

/// The standing of the node itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Own {
    incarnation: u64,
    /// The low bits of all its incarnations, by which two processes of one name can be told apart.
    nonce: u8,
    began: Micros,
    heartbeat: u32,
    sent: Vec<Micros>,
    witnesses: [Witness; MAX_WATCHERS],
    /// Since when it has been confirmed without a gap.
    confirmed_since: Option<Micros>,
    /// The least time to the next incarnation that is needed.
    patience: Micros,
    lease: Micros,
    needed: usize,
    watchers: usize,
    settle: Micros,
}

impl Own {
    /// A node that starts: its first incarnation is the wall clock's time, in hundredths of a second, and the nonce.
    pub fn new(ring: &Ring, terms: &Terms, now: Micros, wall: Micros, nonce: u8) -> Own {
        Own {
            incarnation: (wall / 10_000).max(1) << 8 | u64::from(nonce),
            nonce,
            began: now,
            heartbeat: 0,
            sent: vec![0; REMEMBERED],
            witnesses: Default::default(),
            confirmed_since: None,
            patience: IN_NEED,
            lease: terms.lease,
            needed: ring.to_be_confirmed(),
            watchers: ring.watchers(),
            settle: terms.outlasts(),
        }
    }

    /// Its incarnation.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Its newest heartbeat.
    pub fn heartbeat(&self) -> u32 {
        self.heartbeat
    }

    /// The next heartbeat is sent now.
    pub fn beats(&mut self, now: Micros) {
        self.heartbeat += 1;
        self.sent[self.heartbeat as usize % REMEMBERED] = now;
    }

    /// A watcher's word of this node.
    pub fn heard_by(&mut self, watcher: usize, heard: Heard) {
        if heard.incarnation != self.incarnation as u32 || (heard.incarnation, heard.heartbeat) == (0, 0) {
            return; // of an incarnation before, or nothing
        }
        let behind = (self.heartbeat as u16).wrapping_sub(heard.heartbeat);
        let witness = &mut self.witnesses[watcher];
        witness.denies = heard.expired;
        if usize::from(behind) < REMEMBERED.min(self.heartbeat as usize) && !heard.expired {
            let sent = self.sent[(self.heartbeat - u32::from(behind)) as usize % REMEMBERED];
            witness.acked = witness.acked.max(Some(sent));
        }
    }

    /// A watcher has begun anew, or is heard of for the first time.
    ///
    /// Guards against: a watcher that held us to be gone, has started again and forgotten that, and confirms us.
    pub fn met(&mut self, watcher: usize, now: Micros) {
        self.witnesses[watcher] = Witness { met: Some(now), ..Witness::default() };
    }

    /// Whether a watcher's word counts: it can't have held this incarnation to be gone in a life before.
    fn counts(&self, witness: &Witness) -> bool {
        witness.met.is_some_and(|met| met < self.began + self.lease)
    }

    /// Until when a watcher's word holds.
    fn holds_until(&self, witness: &Witness) -> Micros {
        let acked = witness.acked.filter(|_| self.counts(witness));
        acked.map_or(0, |sent| sent + self.lease)
    }

    /// Until when it is confirmed, by what it knows. Of two nodes nobody can take anything: their parts have no end.
    pub fn confirmed_until(&self) -> Micros {
        if self.needed == 0 {
            return Micros::MAX;
        }
        let mut until = self.witnesses.map(|witness| self.holds_until(&witness));
        until.sort_unstable_by(|a, b| b.cmp(a));
        until[self.needed - 1]
    }

    /// Whether this watcher has confirmed it, and until when that holds.
    pub fn confirmed_by(&self, watcher: usize) -> Micros {
        self.holds_until(&self.witnesses[watcher])
    }

    /// When the newest heartbeat was sent that a watcher has heard, whether or not its word counts.
    pub fn acked(&self, watcher: usize) -> Option<Micros> {
        self.witnesses[watcher].acked
    }

    /// How many watchers hold its lease to have run out.
    pub fn denied(&self) -> usize {
        self.witnesses.iter().filter(|witness| witness.denies).count()
    }

    /// Looks whether it was confirmed all the time. To be asked before and after all that may change it.
    pub fn look(&mut self, now: Micros) {
        let confirmed = now < self.confirmed_until();
        self.confirmed_since = if confirmed { self.confirmed_since.or(Some(now)) } else { None };
    }

    /// Whether it has been confirmed for so long that nobody can still use a piece of its part.
    pub fn settled(&self, now: Micros) -> bool {
        self.needed == 0 || self.confirmed_since.is_some_and(|since| now >= since + self.settle)
    }

    /// Whether the present incarnation is older than that.
    pub fn has_run(&self, now: Micros, time: Micros) -> bool {
        now >= self.began + time
    }

    /// Whether there are fewer good words than it takes, and one to spare.
    pub fn in_need(&self, now: Micros) -> bool {
        let spare = usize::from(self.needed < self.watchers);
        self.needed > 0 && self.good(now) < self.needed + spare
    }

    /// Whether there are fewer good words than it takes: it has the rest of its lease to get them.
    pub fn lacks(&self, now: Micros) -> bool {
        self.good(now) < self.needed
    }

    /// How many words hold for a while yet.
    fn good(&self, now: Micros) -> usize {
        let good = |witness: &&Witness| now + self.lease / 3 < self.holds_until(witness);
        self.witnesses.iter().filter(good).count()
    }

    /// Whether a new incarnation is to begin now: a watcher holds the present one to be gone, or has begun anew so that
    /// its word doesn't count.
    pub fn should_begin(&self, now: Micros) -> bool {
        let barred = |witness: &Witness| {
            let speaks = witness.acked.is_some_and(|sent| now < sent + self.lease / 2);
            witness.denies || speaks && !self.counts(witness)
        };
        let barred = self.witnesses.iter().any(barred);
        let wait = if self.in_need(now) { self.patience } else { AT_EASE };
        barred && now >= self.began + wait
    }

    /// Begins an incarnation that is newer than the present one and than `other`. Nothing is confirmed then.
    pub fn begin(&mut self, now: Micros, other: u64) {
        // Guards against: a fellow that holds every incarnation to be gone, so that each ends as it begins.
        let soon = now < self.began + 4 * self.patience;
        self.patience = if soon { (2 * self.patience).min(AT_EASE) } else { IN_NEED };
        let next = self.incarnation.max(other) + 1;
        self.incarnation = next + u64::from(self.nonce.wrapping_sub(next as u8));
        self.began = now;
        self.confirmed_since = None;
        for witness in &mut self.witnesses {
            (witness.acked, witness.denies) = (None, false);
        }
    }

    /// The machine slept: what was sent before was sent so much earlier.
    pub fn slept(&mut self, time: Micros) {
        for witness in &mut self.witnesses {
            witness.acked = witness.acked.map(|sent| sent.saturating_sub(time));
        }
        self.sent.iter_mut().for_each(|sent| *sent = sent.saturating_sub(time));
        self.confirmed_since = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Micros = 1_000;

    /// Says a heartbeat, and has this watcher confirm it.
    fn confirmed(own: &mut Own, watcher: usize, now: Micros) {
        own.beats(now);
        let (incarnation, heartbeat) = (own.incarnation() as u32, own.heartbeat() as u16);
        own.heard_by(watcher, Heard { incarnation, heartbeat, direct: true, expired: false });
    }

    /// It may have held this incarnation to be gone in its life before, and has forgotten that.
    #[test]
    fn a_watcher_that_begins_anew_confirms_only_what_began_after_it() {
        let (ring, terms) = (Ring::new(3), Terms::default());
        let mut own = Own::new(&ring, &terms, 0, 0, 7);
        own.met(0, 100 * MS);
        confirmed(&mut own, 0, 200 * MS);
        assert_eq!(own.confirmed_until(), 200 * MS + terms.lease);
        let later = terms.lease + 500 * MS;
        own.met(0, later);
        confirmed(&mut own, 0, later);
        assert!(own.confirmed_until() <= later, "its word doesn't count");
        assert!(own.should_begin(later + 10 * MS));
        own.begin(later + 10 * MS, 0);
        confirmed(&mut own, 0, later + 20 * MS);
        assert_eq!(own.confirmed_until(), later + 20 * MS + terms.lease);
    }

    #[test]
    fn word_of_an_incarnation_before_or_of_a_beat_never_sent_confirms_nothing() {
        let (ring, terms) = (Ring::new(3), Terms::default());
        let mut own = Own::new(&ring, &terms, 0, 0, 7);
        own.met(0, 0);
        let before = own.incarnation() as u32;
        own.beats(10 * MS);
        own.begin(20 * MS, 0);
        let said = |incarnation, heartbeat| Heard { incarnation, heartbeat, direct: true, expired: false };
        own.heard_by(0, said(before, 1));
        own.heard_by(0, said(own.incarnation() as u32, 9));
        assert_eq!(own.confirmed_until(), 0);
    }
}
