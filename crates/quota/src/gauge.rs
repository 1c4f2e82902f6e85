//! Usage accounting of one share in one measure: a sliding window divided into slots, and the values from which
//! capacity is divided. Amounts are in the units of the measure.

use crate::Micros;

/// Number of slots in a window. Usage over a window is known to the precision of one slot.
pub const SLOTS: usize = 16;
/// Slots kept in the ring: one more than in a window, since a window that does not start at a slot boundary touches one
/// more slot.
const RING_SLOTS: u64 = SLOTS as u64 + 1;

/// Usage over a sliding window, or current usage for a measure without a window.
#[derive(Debug, Clone, Default)]
pub struct Gauge {
    /// Usage by slot, indexed modulo [`RING_SLOTS`]; `None` before the first use.
    ring: Option<Box<[u64; SLOTS + 1]>>,
    /// The latest slot that the ring covers.
    current_slot: u64,
    /// Total usage: the sum of the slots, or the amount in flight.
    pub used: u64,
    /// Demand per window, admitted or not. Without a window, the refused demand that has not been admitted since.
    pub demand: f64,
    /// Cost of the latest request.
    pub last_cost: f64,
    /// Slot until which its full guarantee is reserved, because a request within the guarantee was refused.
    pub reserved_until_slot: u64,
    /// Target usage, as of the last division of the measure.
    pub target: f64,
    /// Unused amount that others must leave free for it.
    pub claim: f64,
    /// Sum of its children's claims.
    pub child_claims: f64,
    /// Part of its claim that is covered by its guarantee or by those of its descendants.
    pub guaranteed_claim: f64,
    /// Sum of its children's guaranteed claims.
    pub child_guaranteed_claims: f64,
    /// Usage beyond the guarantee, which decays by half in each half-life.
    pub debt: f64,
    /// Whether its parent lists it among its active children.
    pub active: bool,
}

impl Gauge {
    /// Moves the window so that it ends in this slot, and drops older usage.
    pub fn advance_to(&mut self, slot: u64) {
        let Some(ring) = self.ring.as_mut().filter(|_| slot > self.current_slot) else {
            self.current_slot = self.current_slot.max(slot);
            return;
        };
        for passed in (self.current_slot + 1..=slot).take(RING_SLOTS as usize) {
            self.used -= std::mem::take(&mut ring[(passed % RING_SLOTS) as usize]);
        }
        self.current_slot = slot;
    }

    /// Records usage in the current slot.
    pub fn add(&mut self, cost: u64) {
        let ring = self.ring.get_or_insert_default();
        let slot_usage = &mut ring[(self.current_slot % RING_SLOTS) as usize];
        // Saturates instead of overflowing the counter.
        let cost = cost.min(u64::MAX - self.used);
        *slot_usage += cost;
        self.used += cost;
    }

    /// Removes usage recorded in a slot, if that slot is still in the window.
    pub fn refund(&mut self, slot: u64, cost: u64) {
        let is_in_window = slot <= self.current_slot && self.current_slot < slot + RING_SLOTS;
        if let Some(ring) = self.ring.as_mut().filter(|_| is_in_window) {
            let cost = cost.min(ring[(slot % RING_SLOTS) as usize]);
            ring[(slot % RING_SLOTS) as usize] -= cost;
            self.used -= cost;
        }
    }

    /// Total demand: per window, or the amount in flight plus the refused demand.
    pub fn total_demand(&self, in_flight: bool) -> f64 {
        if in_flight { self.used as f64 + self.demand } else { self.demand }
    }

    /// Adds usage of a measure without a window, which counts until it is released.
    pub fn acquire(&mut self, cost: u64) {
        self.used = self.used.saturating_add(cost);
    }

    /// Releases usage of a measure without a window.
    pub fn release(&mut self, cost: u64) {
        self.used = self.used.saturating_sub(cost);
    }

    /// Scales usage down to a ceiling, by the same factor in each slot.
    pub fn clamp_to(&mut self, ceiling: u64) {
        if let Some(ring) = self.ring.as_mut().filter(|_| self.used > ceiling) {
            let factor = ceiling as f64 / self.used as f64;
            ring.iter_mut().for_each(|used| *used = (*used as f64 * factor) as u64);
            self.used = ring.iter().sum();
        }
    }

    /// The first slot in which usage will have dropped by `amount`, if nothing is added.
    pub fn slot_when_freed(&self, amount: f64) -> u64 {
        let (mut freed, ring) = (0.0, self.ring.as_deref());
        let slots = (self.current_slot + 1).saturating_sub(RING_SLOTS)..=self.current_slot;
        for slot in slots {
            freed += ring.map_or(0, |ring| ring[(slot % RING_SLOTS) as usize]) as f64;
            if freed >= amount {
                return slot + RING_SLOTS;
            }
        }
        self.current_slot + RING_SLOTS
    }
}

/// Length of a slot of a window.
pub fn slot_length(window: Micros) -> Micros {
    (window / SLOTS as Micros).max(1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn usage_counts_for_a_window_and_at_most_one_slot_longer() {
        let mut gauge = Gauge::default();
        gauge.advance_to(100);
        gauge.add(5);
        gauge.advance_to(110);
        gauge.add(7);
        for (slot, used) in [(116, 12), (117, 7), (126, 7), (127, 0), (1 << 40, 0)] {
            gauge.advance_to(slot);
            assert_eq!(gauge.used, used, "{slot}");
        }
        gauge.advance_to(3); // a clock that went backwards
        assert_eq!(gauge.current_slot, 1 << 40);
    }

    #[test]
    fn refunded_usage_no_longer_counts_and_is_refunded_once() {
        let mut gauge = Gauge::default();
        gauge.advance_to(10);
        gauge.add(5);
        gauge.advance_to(12);
        gauge.add(3);
        gauge.refund(10, 4);
        assert_eq!(gauge.used, 4);
        gauge.refund(10, 4);
        assert_eq!(gauge.used, 3, "no more than was recorded");
        gauge.advance_to(40);
        gauge.refund(10, 1);
        assert_eq!(gauge.used, 0);
    }

    #[test]
    fn the_slot_in_which_enough_is_freed_is_known() {
        let mut gauge = Gauge::default();
        for (slot, cost) in [(10, 5), (12, 3)] {
            gauge.advance_to(slot);
            gauge.add(cost);
        }
        assert_eq!([5.0, 5.5, 8.0, 9.0].map(|amount| gauge.slot_when_freed(amount)), [27, 29, 29, 29]);
    }
}
