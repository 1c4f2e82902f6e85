//! What a node knows of one that it watches: the lease as it runs here.

use lilacquay_codec::siblings::Heard;

use crate::Micros;
use crate::parameters::Terms;

/// A node that is watched.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Watch {
    /// Its newest incarnation and heartbeat, as far as its lease goes.
    incarnation: u64,
    heartbeat: u32,
    /// When word of it came that was new; its lease runs from there.
    fresh: Option<Micros>,
    /// When a datagram of its own came.
    direct: Option<Micros>,
    /// This incarnation's lease has run out. It is not confirmed again, whatever it says.
    expired: bool,
}

impl Watch {
    /// Word of it that is newer than all before. Tells whether it is a new incarnation.
    pub fn heard(&mut self, now: Micros, incarnation: u64, heartbeat: u32) -> bool {
        let begins = incarnation > self.incarnation;
        if begins {
            self.expired = false;
        }
        if !self.expired {
            (self.incarnation, self.heartbeat, self.fresh) = (incarnation, heartbeat, Some(now));
        }
        begins
    }

    /// A datagram of its own has come.
    pub fn spoke(&mut self, now: Micros) {
        self.direct = Some(now);
    }

    /// Ends its lease if it has run out. `patience`: thousandths by which a node that doubts itself waits longer.
    pub fn tick(&mut self, now: Micros, terms: &Terms, patience: u64) -> bool {
        let outlasts = terms.outlasts() * (1_000 + patience) / 1_000;
        let over = self.fresh.is_some_and(|fresh| now > fresh + outlasts);
        let ends = over && !self.expired;
        self.expired |= over;
        ends
    }

    /// Nothing could be heard for so long: that says nothing of it. It has two periods at least to be heard again.
    pub fn paused(&mut self, now: Micros, time: Micros, terms: &Terms) {
        let least = (now + 2 * terms.period).saturating_sub(terms.outlasts());
        self.fresh = self.fresh.map(|fresh| (fresh + time).max(least).min(now));
    }

    /// Whether there was no word of it for so long.
    pub fn silent_for(&self, now: Micros, time: Micros) -> bool {
        self.fresh.is_some_and(|fresh| now > fresh + time)
    }

    pub fn is_direct(&self, now: Micros, terms: &Terms) -> bool {
        self.was_direct(now, 4 * terms.period)
    }

    /// Whether a datagram of its own came within this time.
    pub fn was_direct(&self, now: Micros, within: Micros) -> bool {
        self.direct.is_some_and(|direct| now <= direct + within)
    }

    /// Whether anything was ever heard of it.
    pub fn is_heard(&self) -> bool {
        self.fresh.is_some()
    }

    pub fn is_expired(&self) -> bool {
        self.expired
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// What is told of it.
    pub fn told(&self, now: Micros, terms: &Terms) -> Heard {
        Heard {
            incarnation: self.incarnation as u32,
            heartbeat: self.heartbeat as u16,
            direct: self.is_direct(now, terms),
            expired: self.expired,
        }
    }
}
