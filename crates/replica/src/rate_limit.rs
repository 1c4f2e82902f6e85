//! How much may be sent, beyond what each period brings.

use crate::Micros;

/// Datagrams at once, and a second.
const AT_ONCE: u64 = 60;
const A_SECOND: u64 = 150;

/// Sends that are left.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Pace {
    /// In millionths.
    left: u64,
    at: Micros,
}

impl Pace {
    pub fn new(now: Micros) -> Pace {
        Pace { left: AT_ONCE * 1_000_000, at: now }
    }

    pub fn passed(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.at).min(10_000_000);
        (self.left, self.at) = ((self.left + passed * A_SECOND).min(AT_ONCE * 1_000_000), now.max(self.at));
    }

    /// Takes one, if there is one and `keep` more.
    pub fn take(&mut self, keep: u64) -> bool {
        let good = self.left >= (keep + 1) * 1_000_000;
        self.left -= if good { 1_000_000 } else { 0 };
        good
    }
}
