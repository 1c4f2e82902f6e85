//! Lending of resource shares from one node to another, for a limited time.
//!
//! Each node has a share of a total while its watchers confirm it (`lilacquay_siblings`). It may lend what it does not use,
//! for no longer than it has the share itself. Each side counts by its own clock: the lender from when it answered, the
//! borrower from when it *asked*, shortened by the worst clock drift. So the borrower's use ends before the lender uses the
//! share again, whatever was lost or late. A node that restarts has forgotten what it lent; it does not have its share back
//! until its watchers have confirmed it for longer than any lease lasts (`SelfState::is_settled` there). A neighbour that
//! takes over the share of a gone node does so after that node's own lease has expired, which no lent share outlasts.

use std::collections::BTreeMap;

use lilacquay_codec::replica::LeaseMessage;

use crate::Micros;

/// The interval between two requests of a borrower.
const REQUEST_INTERVAL_US: Micros = 1_000_000;
/// Most lenders that are asked at a time, or as many as the ledger has in `borrowed`, if these are more.
const LENDERS_PER_ROUND: usize = 3;
/// The part of its share that a node keeps for future demand, in thousandths.
const RESERVE_PERMILLE: u32 = 250;
/// The least amount that is worth a datagram, in thousandths.
const MIN_LOAN_PERMILLE: u32 = 50;

/// Limits of lending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseLimits {
    /// How much a clock may be too fast or too slow, in thousandths.
    pub max_drift_permille: u64,
    /// The longest duration of a lease.
    pub max_duration: Micros,
}

impl Default for LeaseLimits {
    fn default() -> Self {
        LeaseLimits { max_drift_permille: 10, max_duration: 3_000_000 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct LentShare {
    /// The number of the borrower's request.
    request_number: u32,
    amount: u32,
    /// When it returns to the lender, by the lender's clock.
    until: Micros,
    /// The amount and the end of what was lent at the previous request: the answer to this one may be lost, and the borrower
    /// then still uses the former.
    previous: (u32, Micros),
}

impl LentShare {
    /// The most that the borrower may be using.
    fn amount_at(&self, now: Micros) -> u32 {
        let valid = |amount: u32, until: Micros| if now < until { amount } else { 0 };
        valid(self.amount, self.until).max(valid(self.previous.0, self.previous.1))
    }

    fn ends_at(&self) -> Micros {
        self.until.max(self.previous.1)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct BorrowedShare {
    request_number: u32,
    requested_at: Micros,
    amount: u32,
    /// How long it may be used, by the borrower's clock.
    until: Micros,
}

/// What a node has lent and borrowed of one divided resource.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseLedger {
    limits: LeaseLimits,
    /// Until when shares may still be in use that an earlier process of this node has lent.
    unknown_loans_until: Micros,
    last_request_number: u32,
    /// By borrower.
    lent: BTreeMap<usize, LentShare>,
    /// By lender.
    borrowed: BTreeMap<usize, BorrowedShare>,
    /// How much this node could use, in thousandths of a full share.
    demand: u32,
    requested_at: Micros,
}

/// A message to a node, with the node's index.
pub type AddressedLeaseMessage = (usize, LeaseMessage);

impl LeaseLedger {
    /// The ledger of a process that starts. `first_request_number` must be above those of earlier processes of this node.
    pub fn new(limits: LeaseLimits, now: Micros, first_request_number: u32) -> LeaseLedger {
        // A process that restarts has forgotten what it lent. Waiting for the longest lease keeps it from using a
        // share together with the borrower.
        let unknown_loans_until =
            now + limits.max_duration * (1_000 + 2 * limits.max_drift_permille) / 1_000 + 10_000;
        let (lent, borrowed) = Default::default();
        LeaseLedger {
            limits,
            unknown_loans_until,
            last_request_number: first_request_number,
            lent,
            borrowed,
            demand: 0,
            requested_at: 0,
        }
    }

    /// Sets how much this node could use from now on, in thousandths of a full share; it may have less or more.
    pub fn set_demand(&mut self, thousandths: u32) {
        self.demand = thousandths;
    }

    /// How much this node may use, in thousandths, if it has the share `own` until `own_until`: without what it has lent,
    /// with what it has borrowed.
    pub fn usable(&self, now: Micros, own: u32, own_until: Micros) -> u32 {
        self.own_remaining(now, self.own_valid(now, own, own_until)) + self.borrowed(now)
    }

    /// The own share, or 0 if it is not valid now.
    fn own_valid(&self, now: Micros, own: u32, until: Micros) -> u32 {
        if now < until && now >= self.unknown_loans_until { own } else { 0 }
    }

    /// When the first borrowed share ends; until then what `usable` counts as borrowed does not shrink by expiry.
    pub fn until(&self, now: Micros) -> Micros {
        let ends = self.borrowed.values().map(|borrowed| borrowed.until).filter(|&until| until > now);
        ends.min().unwrap_or(Micros::MAX)
    }

    fn own_remaining(&self, now: Micros, own: u32) -> u32 {
        own.saturating_sub(self.lent(now))
    }

    /// How much this node has lent, in thousandths.
    pub fn lent(&self, now: Micros) -> u32 {
        self.lent.values().map(|lent| lent.amount_at(now)).sum()
    }

    /// How much this node has borrowed, in thousandths.
    pub fn borrowed(&self, now: Micros) -> u32 {
        let valid = self.borrowed.values().filter(|borrowed| now < borrowed.until);
        valid.map(|borrowed| borrowed.amount).sum()
    }

    /// Does what is due as time passes: asks the nodes in `reachable` for what is lacking, or gives back what is not needed.
    /// `choose` picks an index below its argument.
    pub fn tick(
        &mut self,
        now: Micros,
        own: u32,
        own_until: Micros,
        reachable: &[usize],
        mut choose: impl FnMut(usize) -> usize,
    ) -> Vec<AddressedLeaseMessage> {
        self.lent.retain(|_, lent| now < lent.ends_at());
        let max_duration = self.limits.max_duration;
        self.borrowed
            .retain(|_, borrowed| now < borrowed.until || now < borrowed.requested_at + max_duration);
        let mut messages = Vec::new();
        if now < self.requested_at + REQUEST_INTERVAL_US || now >= own_until || now < self.unknown_loans_until
        {
            return messages;
        }
        let own = self.own_remaining(now, self.own_valid(now, own, own_until));
        // Borrowed shares end soon, so they count as lacking and are requested again, from the same lenders first.
        let lacking = self.demand.saturating_sub(own);
        if lacking < MIN_LOAN_PERMILLE {
            let give_back = |(&lender, borrowed): (&usize, &BorrowedShare)| {
                (now < borrowed.until)
                    .then_some((lender, LeaseMessage::Release { number: borrowed.request_number }))
            };
            messages.extend(self.borrowed.iter().filter_map(give_back));
            self.borrowed.clear();
            return messages;
        }
        self.requested_at = now;
        let mut lenders: Vec<usize> =
            self.borrowed.keys().copied().filter(|lender| reachable.contains(lender)).collect();
        for _ in 0..4 * LENDERS_PER_ROUND {
            if lenders.len() >= LENDERS_PER_ROUND.max(self.borrowed.len()) || reachable.is_empty() {
                break;
            }
            let lender = reachable[choose(reachable.len())];
            if !lenders.contains(&lender) {
                lenders.push(lender);
            }
        }
        let amount_each = lacking.div_ceil(lenders.len().max(1) as u32).max(MIN_LOAN_PERMILLE);
        for lender in lenders {
            self.last_request_number += 1;
            messages.push((
                lender,
                LeaseMessage::Request { number: self.last_request_number, amount: amount_each },
            ));
            let request_number = self.last_request_number;
            // What is borrowed of this lender stays valid until the new answer comes, or until its own end.
            let current =
                self.borrowed.get(&lender).map_or((0, 0), |borrowed| (borrowed.amount, borrowed.until));
            self.borrowed.insert(
                lender,
                BorrowedShare { request_number, requested_at: now, amount: current.0, until: current.1 },
            );
        }
        messages
    }

    /// Handles a message of another node; returns the answer, if there is one.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: usize,
        message: LeaseMessage,
        own: u32,
        own_until: Micros,
    ) -> Option<AddressedLeaseMessage> {
        match message {
            LeaseMessage::Request { number, amount } => {
                let previous = match self.lent.get(&from) {
                    // Ignores a request that arrives twice, or late, after a newer one.
                    Some(lent) if number <= lent.request_number => return None,
                    Some(lent) => (lent.amount_at(now), lent.ends_at()),
                    None => (0, 0),
                };
                let own = self.own_valid(now, own, own_until);
                // The borrower uses what it had before or what it gets now, never both.
                let lent_to_others = self.lent(now) - previous.0;
                let free =
                    own.saturating_sub(lent_to_others).saturating_sub(self.demand.max(RESERVE_PERMILLE));
                let amount = amount.min(free);
                let duration = own_until.saturating_sub(now).min(self.limits.max_duration);
                if amount < MIN_LOAN_PERMILLE && previous.0 == 0 {
                    return None;
                }
                self.lent.insert(
                    from,
                    LentShare { request_number: number, amount, until: now + duration, previous },
                );
                // The borrower counts from when it asked, which was before now, by a clock that may be too slow.
                let time = duration - duration * 2 * self.limits.max_drift_permille / 1_000;
                Some((
                    from,
                    LeaseMessage::Grant { number, amount, duration_us: u32::try_from(time).unwrap_or(0) },
                ))
            }
            LeaseMessage::Grant { number, amount, duration_us: time } => {
                let borrowed = self.borrowed.get_mut(&from)?;
                if borrowed.request_number == number {
                    (borrowed.amount, borrowed.until) = (amount, borrowed.requested_at + Micros::from(time));
                }
                None
            }
            LeaseMessage::Release { number } => {
                if self.lent.get(&from).is_some_and(|lent| lent.request_number <= number) {
                    self.lent.remove(&from);
                }
                None
            }
        }
    }
}
