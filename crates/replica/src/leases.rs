//! Parts of what is divided, lent from one node to another for a time.
//!
//! Each node has its part of a whole, for as long as its watchers confirm it (`lilacquay_siblings`). It may lend from it what
//! it doesn't use, no longer than it has the part itself: `until` by its own clock. What a borrower may use is counted from
//! when it *asked*, by its own clock, and shortened by the worst drift, so that it is over before the lender uses it again,
//! whatever was lost or late. Whoever starts again has forgotten what it lent; its part is not its own before its siblings
//! have confirmed it for longer than any lease (`Own::settled` there), and a neighbour that takes over a gone one's part does
//! so after that one's lease has run out, which no lending outlasts.

use std::collections::BTreeMap;

use lilacquay_codec::replica::LeaseMessage;

use crate::Micros;

/// One asks again after so long.
const AGAIN: Micros = 1_000_000;
/// What is asked for at once, and of how many nodes at a time.
const ASKED: usize = 3;
/// A node keeps so much of its part for what may come, in thousandths.
const KEPT: u32 = 250;
/// Less than this is not worth a datagram.
const LEAST: u32 = 50;

/// By which figures it is lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Terms {
    /// By how much a clock may be too quick or too slow, in thousandths.
    pub drift: u64,
    /// The longest time of a lending.
    pub longest: Micros,
}

impl Default for Terms {
    fn default() -> Self {
        Terms { drift: 10, longest: 3_000_000 }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Lent {
    number: u32,
    amount: u32,
    /// It is the lender's again from then on, by its clock.
    until: Micros,
    /// What was lent at an asking before, and until when: the answer to this one may be lost.
    before: (u32, Micros),
}

impl Lent {
    fn at(&self, now: Micros) -> u32 {
        let held = |amount: u32, until: Micros| if now < until { amount } else { 0 };
        held(self.amount, self.until).max(held(self.before.0, self.before.1))
    }

    fn ends(&self) -> Micros {
        self.until.max(self.before.1)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Borrowed {
    number: u32,
    asked: Micros,
    amount: u32,
    /// It may be used until then, by the borrower's clock.
    until: Micros,
}

/// What a node lends and borrows of one whole that is divided.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Purse {
    terms: Terms,
    /// What a life before has lent may be out until then.
    forgotten_until: Micros,
    number: u32,
    /// To whom.
    lent: BTreeMap<usize, Lent>,
    /// Of whom.
    borrowed: BTreeMap<usize, Borrowed>,
    /// What it could use, in thousandths of a part.
    wants: u32,
    asked: Micros,
}

/// What is to be said to whom.
pub type Say = (usize, LeaseMessage);

impl Purse {
    /// Of a process that starts. `first`: a number above those of lives before, for askings.
    pub fn new(terms: Terms, now: Micros, first: u32) -> Purse {
        // Guards against: a lender that starts again, has forgotten what it lent, and uses it beside the borrower.
        let forgotten_until = now + terms.longest * (1_000 + 2 * terms.drift) / 1_000 + 10_000;
        let (lent, borrowed) = Default::default();
        Purse { terms, forgotten_until, number: first, lent, borrowed, wants: 0, asked: 0 }
    }

    /// What it could use from now on, in thousandths of a part: its own may be less or more.
    pub fn wants(&mut self, thousandths: u32) {
        self.wants = thousandths;
    }

    /// What it may use, of what is its own until then, in thousandths: what it lent is not in it, what it borrowed is.
    pub fn has(&self, now: Micros, own: u32, own_until: Micros) -> u32 {
        self.own_left(now, self.own(now, own, own_until)) + self.borrowed(now)
    }

    fn own(&self, now: Micros, own: u32, until: Micros) -> u32 {
        if now < until && now >= self.forgotten_until { own } else { 0 }
    }

    /// Until when that is so at the least: the first end of what it borrowed.
    pub fn until(&self, now: Micros) -> Micros {
        let ends = self.borrowed.values().map(|borrowed| borrowed.until).filter(|&until| until > now);
        ends.min().unwrap_or(Micros::MAX)
    }

    fn own_left(&self, now: Micros, own: u32) -> u32 {
        own.saturating_sub(self.lent(now))
    }

    /// What it has lent, in thousandths.
    pub fn lent(&self, now: Micros) -> u32 {
        self.lent.values().map(|lent| lent.at(now)).sum()
    }

    /// What it has borrowed, in thousandths.
    pub fn borrowed(&self, now: Micros) -> u32 {
        let held = self.borrowed.values().filter(|borrowed| now < borrowed.until);
        held.map(|borrowed| borrowed.amount).sum()
    }

    /// Time has passed. Asks those who are here for what is lacking; `some` chooses among them.
    pub fn tick(
        &mut self,
        now: Micros,
        own: u32,
        own_until: Micros,
        here: &[usize],
        mut some: impl FnMut(usize) -> usize,
    ) -> Vec<Say> {
        self.lent.retain(|_, lent| now < lent.ends());
        let longest = self.terms.longest;
        self.borrowed.retain(|_, borrowed| now < borrowed.until || now < borrowed.asked + longest);
        let mut say = Vec::new();
        if now < self.asked + AGAIN || now >= own_until || now < self.forgotten_until {
            return say;
        }
        let own = self.own_left(now, self.own(now, own, own_until));
        // What is borrowed runs out soon: it is asked for again, of the same ones first.
        let lacking = self.wants.saturating_sub(own);
        if lacking < LEAST {
            let back = |(&of, borrowed): (&usize, &Borrowed)| {
                (now < borrowed.until).then_some((of, LeaseMessage::Release { number: borrowed.number }))
            };
            say.extend(self.borrowed.iter().filter_map(back));
            self.borrowed.clear();
            return say;
        }
        self.asked = now;
        let mut of: Vec<usize> = self.borrowed.keys().copied().filter(|of| here.contains(of)).collect();
        for _ in 0..4 * ASKED {
            if of.len() >= ASKED.max(self.borrowed.len()) || here.is_empty() {
                break;
            }
            let one = here[some(here.len())];
            if !of.contains(&one) {
                of.push(one);
            }
        }
        let each = lacking.div_ceil(of.len().max(1) as u32).max(LEAST);
        for of in of {
            self.number += 1;
            say.push((of, LeaseMessage::Request { number: self.number, amount: each }));
            let number = self.number;
            // What it holds of that one stays until the new lending comes, or its own end.
            let held = self.borrowed.get(&of).map_or((0, 0), |held| (held.amount, held.until));
            self.borrowed.insert(of, Borrowed { number, asked: now, amount: held.0, until: held.1 });
        }
        say
    }

    /// Another has said something. Tells what is to be answered, if anything.
    pub fn heard(
        &mut self,
        now: Micros,
        from: usize,
        said: LeaseMessage,
        own: u32,
        own_until: Micros,
    ) -> Option<Say> {
        match said {
            LeaseMessage::Request { number, amount } => {
                let before = match self.lent.get(&from) {
                    // Guards against: one asking that comes twice, or late, after a newer one.
                    Some(lent) if number <= lent.number => return None,
                    Some(lent) => (lent.at(now), lent.ends()),
                    None => (0, 0),
                };
                let own = self.own(now, own, own_until);
                // The borrower uses what it had before, or what it gets now; never both.
                let others = self.lent(now) - before.0;
                let free = own.saturating_sub(others).saturating_sub(self.wants.max(KEPT));
                let amount = amount.min(free);
                let left = own_until.saturating_sub(now).min(self.terms.longest);
                if amount < LEAST && before.0 == 0 {
                    return None;
                }
                self.lent.insert(from, Lent { number, amount, until: now + left, before });
                // Counted from when it was asked, which was before now, and by a clock that may be too slow.
                let time = left - left * 2 * self.terms.drift / 1_000;
                Some((
                    from,
                    LeaseMessage::Grant { number, amount, duration_us: u32::try_from(time).unwrap_or(0) },
                ))
            }
            LeaseMessage::Grant { number, amount, duration_us: time } => {
                let borrowed = self.borrowed.get_mut(&from)?;
                if borrowed.number == number {
                    (borrowed.amount, borrowed.until) = (amount, borrowed.asked + Micros::from(time));
                }
                None
            }
            LeaseMessage::Release { number } => {
                if self.lent.get(&from).is_some_and(|lent| lent.number <= number) {
                    self.lent.remove(&from);
                }
                None
            }
        }
    }
}
