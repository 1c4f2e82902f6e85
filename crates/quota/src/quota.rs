//! The decisions. An ask walks from its leaf to the root once; what the walk needs of others is kept up to date by
//! asks, and reckoned anew once in each slot of a measure.

use std::collections::{HashMap, VecDeque};

use crate::Micros;
use crate::gauge::{Gauge, SLOTS, slot_length};
use crate::plan::{Dimension, Measure, Plan, PlanError};

/// After so many slots a third of what was asked is still remembered. The longer, the steadier the reckoning of who asks
/// for how much; the shorter, the sooner room is lent again that nobody asks for any more.
const MEMORY: f64 = SLOTS as f64 / 2.0;
/// For so many slots after a refusal of what it is guaranteed, all of a guarantee is kept.
const PRESSED: u64 = SLOTS as u64 / 2;
/// Within its guarantee, so many standard deviations more are kept for one than it asks for: those who ask at random
/// ask for more in one window than in another, by about the root of their number.
const AHEAD: f64 = 6.0;
/// How often shares in flight are reckoned anew, where their measure names no window.
const PERIOD: Micros = 1_000_000;
/// Refusals that are remembered to be explained.
const EXPLAINED: usize = 256;
/// A demand under this is none.
const NOTHING: f64 = 1e-3;

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Whose share, an index into [`Plan::shares`]. Any share may ask; those of leaves do.
    pub share: usize,
    /// Its lane.
    pub lane: usize,
    /// Its worth, in thousandths.
    pub worth: u64,
    /// Its bytes.
    pub bytes: u64,
}

/// An admitted request, to be told how it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    ask: QuotaRequest,
    at: Micros,
    /// Of which tree of shares.
    tree: u64,
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Something was done for it: it is paid.
    Charged,
    /// It was refused untried: what it used is given back.
    Refunded,
}

/// Why a request is over its share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// A share on its way to the root is at its ceiling; at the root all is used.
    Ceiling,
    /// What is free is kept for those who ask for their guarantee, or for their part of what may be borrowed.
    Kept,
}

/// A refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Over {
    /// Whose.
    pub share: usize,
    /// The share at which there was no room.
    pub at: usize,
    /// In which measure.
    pub measure: usize,
    /// Why.
    pub why: Why,
    /// When it would be admitted if nobody else asked, from now.
    pub retry_after: Micros,
}

/// The books of one node.
pub struct Quota {
    plan: Plan,
    now: Micros,
    /// How many trees of other shares, or of other measures, there were before.
    tree: u64,
    /// By share, and in it by measure.
    gauges: Vec<Gauge>,
    /// The children of each that ask, by the same index.
    active: Vec<Vec<usize>>,
    /// The slot for which each measure was reckoned.
    slots: Vec<u64>,
    refused: Vec<u64>,
    last: VecDeque<(Micros, Over)>,
}

impl Quota {
    /// Books in which nothing is used.
    ///
    /// # Errors
    /// All that is wrong with the plan.
    pub fn new(plan: Plan, now: Micros) -> Result<Quota, Vec<PlanError>> {
        let wrong = plan.check();
        if !wrong.is_empty() {
            return Err(wrong);
        }
        let (shares, measures) = (plan.shares.len(), plan.measures.len());
        Ok(Quota {
            now,
            tree: 0,
            gauges: vec![Gauge::default(); shares * measures],
            active: vec![Vec::new(); shares * measures],
            slots: vec![0; measures],
            refused: vec![0; shares],
            last: VecDeque::new(),
            plan,
        })
    }

    /// What it goes by.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Goes by another plan from now on. What shares of the same name below the same parents have used of the same
    /// measures stays, but for what is over a new ceiling. Where the tree is another, not only its bounds, work in flight
    /// is counted from nothing: what was admitted before may have been by shares that are gone.
    ///
    /// # Errors
    /// All that is wrong with the plan; the old one stays.
    pub fn reload(&mut self, plan: Plan, now: Micros) -> Result<(), Vec<PlanError>> {
        let mut new = Quota::new(plan, self.now.max(now))?;
        let same = same_tree(&new.plan, &self.plan);
        new.tree = self.tree + u64::from(!same);
        let old: HashMap<Vec<&str>, usize> =
            (0..self.plan.shares.len()).map(|n| (path(&self.plan, n), n)).collect();
        for share in 0..new.plan.shares.len() {
            let Some(&was) = old.get(&path(&new.plan, share)) else { continue };
            for (m, measure) in new.plan.measures.iter().enumerate() {
                let Some(before) = self.plan.measures.iter().position(|old| old == measure) else { continue };
                let gauge = &mut new.gauges[share * new.plan.measures.len() + m];
                if measure.dimension == Dimension::InFlight && !same {
                    continue;
                }
                *gauge = self.gauges[was * self.plan.measures.len() + before].clone();
                gauge.active = false;
                gauge.fit(new.plan.bounds(share, m).ceiling);
            }
            new.refused[share] = self.refused[was];
        }
        for (m, measure) in new.plan.measures.clone().into_iter().enumerate() {
            let before = self.plan.measures.iter().position(|old| *old == measure);
            new.slots[m] = before.map_or(0, |before| self.slots[before]);
            for share in 1..new.plan.shares.len() {
                let gauge = &new.gauges[new.place(share, m)];
                if gauge.used > 0 || gauge.asked > 0.0 {
                    new.activate(share, m);
                }
            }
            new.balance(m, 1.0, 1.0);
        }
        *self = new;
        Ok(())
    }

    /// Whether a request is admitted. An admitted one counts from now on.
    ///
    /// # Errors
    /// If it is over its share.
    pub fn try_acquire(&mut self, now: Micros, ask: QuotaRequest) -> Result<Ticket, Over> {
        self.now = self.now.max(now);
        let over = self.measures(ask.lane).find_map(|m| {
            self.reckon(m);
            self.room(m, ask).err()
        });
        let count = |quota: &mut Quota, met: bool| {
            quota.measures(ask.lane).for_each(|m| quota.count(m, ask, met));
        };
        match over {
            None => {
                count(self, true);
                Ok(Ticket { ask, at: self.now, tree: self.tree })
            }
            Some(over) => {
                count(self, false);
                self.refused[ask.share] += 1;
                self.last.truncate(EXPLAINED - 1);
                self.last.push_front((self.now, over));
                Err(over)
            }
        }
    }

    /// An admitted request has ended.
    pub fn release(&mut self, now: Micros, ticket: Ticket, done: Completion) {
        self.now = self.now.max(now);
        let Ticket { ask, at, tree } = ticket;
        // Guards against: another share's work let go, whose place is now this one's.
        if tree != self.tree {
            return;
        }
        for m in self.measures(ask.lane) {
            self.reckon(m);
            let measure = self.plan.measures[m];
            let (cost, slot) = (cost(measure, ask), at / slot_length(period(measure)));
            let mut share = Some(ask.share);
            while let Some(v) = share {
                let place = self.place(v, m);
                match (measure.dimension, done) {
                    (Dimension::InFlight, _) => self.gauges[place].let_go(cost),
                    (_, Completion::Refunded) => self.gauges[place].take_back(slot, cost),
                    (_, Completion::Charged) => {}
                }
                self.settle(v, m);
                share = self.plan.shares[v].parent;
            }
        }
    }

    /// What a share has used of a measure, over the window that ends now.
    pub fn used(&mut self, now: Micros, share: usize, measure: usize) -> u64 {
        self.now = self.now.max(now);
        self.reckon(measure);
        let (slot, place) = (self.slots[measure], self.place(share, measure));
        if self.plan.measures[measure].dimension != Dimension::InFlight {
            self.gauges[place].roll(slot);
        }
        self.gauges[place].used
    }

    /// What a share has used beyond its guarantee and not yet been forgiven.
    pub fn debt(&mut self, now: Micros, share: usize, measure: usize) -> f64 {
        self.used(now, share, measure);
        self.gauges[self.place(share, measure)].debt
    }

    /// Of what a share uses beyond its guarantee, the nearest of its relatives who lends it.
    pub fn lender(&mut self, now: Micros, share: usize, measure: usize) -> Option<usize> {
        let mut lender = share;
        while self.used(now, lender, measure) > self.plan.bounds(lender, measure).guarantee {
            lender = self.plan.shares[lender].parent?;
        }
        Some(lender).filter(|&lender| lender != share)
    }

    /// How many requests of a share were refused.
    pub fn refused(&self, share: usize) -> u64 {
        self.refused[share]
    }

    /// The last refusals of a share, the latest first, with their times.
    pub fn last_refusals(&self, share: usize) -> impl Iterator<Item = (Micros, Over)> {
        self.last.iter().copied().filter(move |(_, over)| over.share == share)
    }

    fn place(&self, share: usize, measure: usize) -> usize {
        share * self.plan.measures.len() + measure
    }

    /// The measures in which a request of a lane counts.
    fn measures(&self, lane: usize) -> impl Iterator<Item = usize> + use<> {
        let counts: Vec<usize> =
            (0..self.plan.measures.len()).filter(|&m| self.plan.measures[m].lane == lane).collect();
        counts.into_iter()
    }

    /// Whether there is room for a request on the whole way to the root.
    fn room(&self, m: usize, ask: QuotaRequest) -> Result<(), Over> {
        let measure = self.plan.measures[m];
        let cost = cost(measure, ask) as f64;
        // What is kept for others on the way, and whether a share on it has a guarantee that covers this.
        let (mut kept, mut covered, mut share) = (0.0, false, ask.share);
        loop {
            let (gauge, bounds) = (&self.gauges[self.place(share, m)], self.plan.bounds(share, m));
            let used = gauge.used as f64 + cost;
            let ceiling = bounds.ceiling as f64;
            if used > ceiling || !covered && used + kept > ceiling {
                let why = if used > ceiling { Why::Ceiling } else { Why::Kept };
                let short = used + if covered { 0.0 } else { kept } - ceiling;
                let retry_after = self.free_in(measure, gauge, short);
                return Err(Over { share: ask.share, at: share, measure: m, why, retry_after });
            }
            covered |= used + kept <= bounds.guarantee as f64;
            let Some(parent) = self.plan.shares[share].parent else { return Ok(()) };
            kept += (self.gauges[self.place(parent, m)].claims - gauge.claim).max(0.0);
            share = parent;
        }
    }

    /// When so much less is used, if nobody asks.
    fn free_in(&self, measure: Measure, gauge: &Gauge, short: f64) -> Micros {
        let length = slot_length(period(measure));
        match measure.dimension {
            Dimension::InFlight => length,
            _ => (gauge.slot_with_less(short) * length).saturating_sub(self.now),
        }
    }

    /// Notes an ask on the whole way to the root, met or not.
    fn count(&mut self, m: usize, ask: QuotaRequest, met: bool) {
        let measure = self.plan.measures[m];
        let (cost, slot) = (cost(measure, ask), self.slots[m]);
        let mut share = Some(ask.share);
        while let Some(v) = share {
            share = self.plan.shares[v].parent;
            let (place, bounds) = (self.place(v, m), self.plan.bounds(v, m));
            let gauge = &mut self.gauges[place];
            let held = measure.dimension == Dimension::InFlight;
            // In steady asking this comes to what is asked for in a window.
            let more = match (held, met) {
                (true, true) => -(cost as f64),
                (true, false) => cost as f64,
                (false, _) => cost as f64 * SLOTS as f64 / MEMORY,
            };
            // Guards against: a storm of refused requests, which would ask for all there is.
            gauge.unit = cost as f64;
            gauge.asked = (gauge.asked + more).clamp(0.0, bounds.ceiling as f64);
            if !met && gauge.used.saturating_add(cost) <= bounds.guarantee {
                // Guards against: an owner that wakes and has to show, refusal by refusal, how much it wants.
                gauge.pressed = slot + PRESSED;
            }
            if met {
                if held {
                    gauge.hold(cost);
                } else {
                    gauge.roll(slot);
                    gauge.add(cost);
                }
                gauge.debt += gauge.used.saturating_sub(bounds.guarantee).min(cost) as f64;
            }
            if share.is_some() {
                self.activate(v, m);
            }
            self.settle(v, m);
        }
    }

    fn activate(&mut self, share: usize, m: usize) {
        let place = self.place(share, m);
        if let Some(parent) = self.plan.shares[share].parent.filter(|_| !self.gauges[place].active) {
            self.gauges[place].active = true;
            let parent = self.place(parent, m);
            self.active[parent].push(share);
        }
    }

    /// Brings a share's claim, and its parent's sums, up to what it has used and asked for.
    fn settle(&mut self, share: usize, m: usize) {
        let (place, bounds) = (self.place(share, m), self.plan.bounds(share, m));
        let (held, slot) = (self.plan.measures[m].dimension == Dimension::InFlight, self.slots[m]);
        let gauge = &mut self.gauges[place];
        let (due, claim) = (gauge.due, gauge.claim);
        let used = gauge.used as f64;
        let wanted = if gauge.pressed > slot {
            f64::INFINITY
        } else {
            gauge.wanted(held) + AHEAD * (gauge.asked * gauge.unit).sqrt()
        };
        gauge.due = (bounds.guarantee as f64).min(wanted) - used;
        gauge.due = gauge.due.max(gauge.dues).max(0.0);
        gauge.claim = (gauge.target - used).max(gauge.due);
        let (due, claim) = (gauge.due - due, gauge.claim - claim);
        if let Some(parent) = self.plan.shares[share].parent {
            let parent = self.place(parent, m);
            self.gauges[parent].dues = (self.gauges[parent].dues + due).max(0.0);
            self.gauges[parent].claims = (self.gauges[parent].claims + claim).max(0.0);
        }
    }

    /// Reckons a measure anew, once in each of its slots: what counts no more, what each who asks should come to,
    /// and what is kept for it.
    fn reckon(&mut self, m: usize) {
        let measure = self.plan.measures[m];
        let slot = self.now / slot_length(period(measure));
        let passed = slot.saturating_sub(self.slots[m]);
        if passed == 0 {
            return;
        }
        self.slots[m] = slot;
        let length = slot_length(period(measure)) as f64;
        let forgotten = (-(passed as f64) / MEMORY).exp();
        let forgiven = 0.5_f64.powf(passed as f64 * length / self.plan.half_life.max(1) as f64);
        self.balance(m, forgotten, forgiven);
    }

    /// Divides a measure anew, with these parts left of what was asked and of debts.
    fn balance(&mut self, m: usize, forgotten: f64, forgiven: f64) {
        let (measure, slot) = (self.plan.measures[m], self.slots[m]);
        // Parents before their children.
        let mut order = vec![0];
        let mut next = 0;
        while let Some(&share) = order.get(next) {
            order.extend_from_slice(&self.active[self.place(share, m)]);
            next += 1;
        }
        for &share in &order {
            let place = self.place(share, m);
            let gauge = &mut self.gauges[place];
            if measure.dimension != Dimension::InFlight {
                gauge.roll(slot);
            }
            gauge.asked *= forgotten;
            gauge.debt *= forgiven;
            if gauge.asked < NOTHING {
                gauge.asked = 0.0;
            }
            (gauge.dues, gauge.claims, gauge.due, gauge.claim, gauge.target) = Default::default();
        }
        for &share in &order {
            self.divide(share, m);
        }
        for &share in order.iter().rev() {
            self.settle(share, m);
            let gauge = &self.gauges[self.place(share, m)];
            if gauge.used == 0 && gauge.asked == 0.0 && self.active[self.place(share, m)].is_empty() {
                self.rest(share, m);
            }
        }
    }

    /// Counts a share no more among those that ask.
    fn rest(&mut self, share: usize, m: usize) {
        let place = self.place(share, m);
        if let Some(parent) = self.plan.shares[share].parent {
            let parent = self.place(parent, m);
            self.gauges[place].active = false;
            self.active[parent].retain(|&child| child != share);
        }
    }

    /// Divides what a share may come to among its children that ask: first what each is guaranteed, then the rest in
    /// proportion to guarantees, less for those deep in debt, and to none more than it asks for.
    fn divide(&mut self, share: usize, m: usize) {
        let place = self.place(share, m);
        let held = self.plan.measures[m].dimension == Dimension::InFlight;
        let ceiling = self.plan.bounds(share, m).ceiling as f64;
        let whole = if share == 0 { ceiling } else { ceiling.min(self.gauges[place].target) };
        let mut asks: Vec<(f64, f64, f64, usize)> = Vec::with_capacity(self.active[place].len());
        let mut left = whole;
        for &child in &self.active[place] {
            let (gauge, bounds) = (&self.gauges[self.place(child, m)], self.plan.bounds(child, m));
            let wanted = gauge.wanted(held).min(bounds.ceiling as f64);
            let first = wanted.min(bounds.guarantee as f64);
            let guarantee = bounds.guarantee.max(1) as f64;
            let weight = guarantee / (1.0 + gauge.debt / guarantee);
            left -= first;
            asks.push(((wanted - first) / weight, weight, first, child));
        }
        // Who wants least for its weight is served first, so that what it leaves goes to the others.
        asks.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut weights: f64 = asks.iter().map(|ask| ask.1).sum();
        left = left.max(0.0);
        for (level, weight, first, child) in asks {
            let more = (left * weight / weights.max(f64::MIN_POSITIVE)).min(level * weight);
            left -= more;
            weights -= weight;
            let place = self.place(child, m);
            self.gauges[place].target = first + more;
        }
    }
}

/// What a request costs in a measure.
fn cost(measure: Measure, ask: QuotaRequest) -> u64 {
    match measure.dimension {
        Dimension::Requests | Dimension::InFlight => 1,
        Dimension::Worth => ask.worth,
        Dimension::Bytes => ask.bytes,
    }
}

/// The time that is divided into slots.
fn period(measure: Measure) -> Micros {
    match measure.dimension {
        Dimension::InFlight if measure.window == 0 => PERIOD,
        _ => measure.window,
    }
}

/// Whether two plans differ in no more than their bounds.
fn same_tree(one: &Plan, other: &Plan) -> bool {
    let names = |plan: &Plan| plan.shares.iter().map(|s| (s.name.clone(), s.parent)).collect::<Vec<_>>();
    one.measures == other.measures && names(one) == names(other)
}

/// The names from the root to a share.
fn path(plan: &Plan, share: usize) -> Vec<&str> {
    let mut names = Vec::new();
    let mut next = Some(share);
    while let Some(share) = next {
        names.push(plan.shares[share].name.as_str());
        next = plan.shares[share].parent;
    }
    names
}
