//! Admission decisions. A request walks once from its leaf share to the root. The sums that the walk needs about other
//! shares are updated by each request, and recomputed once per slot of a measure.

use std::collections::{HashMap, VecDeque};

use crate::Micros;
use crate::gauge::{Gauge, SLOTS, slot_length};
use crate::plan::{Dimension, Measure, Plan, PlanError};

/// Time constant of the demand estimate, in slots: after this many, about a third of a demand still counts. A longer one
/// makes the estimate steadier; a shorter one lends capacity sooner that nobody asks for any more.
const DEMAND_DECAY_SLOTS: f64 = SLOTS as f64 / 2.0;
/// Number of slots for which a share's full guarantee is reserved after a request within it was refused.
const RESERVATION_SLOTS: u64 = SLOTS as u64 / 2;
/// Standard deviations of demand reserved for a share above its estimated demand, within its guarantee. Requests
/// that arrive at random vary from window to window by about the square root of their number.
const RESERVED_STANDARD_DEVIATIONS: f64 = 6.0;
/// Period over which an in-flight measure without a window is divided into slots for recomputation, in microseconds.
const IN_FLIGHT_PERIOD_US: Micros = 1_000_000;
/// Number of latest refusals kept for diagnosis.
const MAX_RECENT_REFUSALS: usize = 256;
/// Demand below this value counts as none.
const MIN_DEMAND: f64 = 1e-3;

/// A request to be admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaRequest {
    /// Index into [`Plan::shares`] of the share that is charged. Any share may be used; in practice it is a leaf.
    pub share: usize,
    /// Lane of the request, which selects the measures in which it counts.
    pub lane: usize,
    /// Worth of the request, in thousandths.
    pub worth: u64,
    /// Size of the request in bytes.
    pub bytes: u64,
}

/// Proof of admission, to be passed to [`Quota::release`] when the request has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ticket {
    request: QuotaRequest,
    admitted_at: Micros,
    /// Generation of the tree in which it was admitted.
    tree_generation: u64,
}

/// How an admitted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// Work was done for it: its cost stays charged.
    Charged,
    /// It was refused without an attempt: its cost is refunded.
    Refunded,
}

/// Why a request exceeds the quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExceededReason {
    /// A share on the path to the root is at its ceiling; at the root, all capacity is in use.
    Ceiling,
    /// The free capacity is reserved for shares that ask for their guarantee, or for their part of the lendable
    /// capacity.
    Reserved,
}

/// A refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaExceeded {
    /// Share of the request.
    pub share: usize,
    /// Share on the path to the root that had no capacity left.
    pub limiting_share: usize,
    /// Measure in which there was no capacity left.
    pub measure: usize,
    /// Why there was no capacity left.
    pub reason: ExceededReason,
    /// Time from now after which the request would be admitted if no others came.
    pub retry_after: Micros,
}

/// Quota state of one node.
pub struct Quota {
    plan: Plan,
    now: Micros,
    /// Incremented whenever a reload changes the shares or the measures.
    tree_generation: u64,
    /// By share, then by measure; see [`Quota::gauge_index`].
    gauges: Vec<Gauge>,
    /// Active children of each share, by the same index.
    active_children: Vec<Vec<usize>>,
    /// Slot for which each measure was last computed.
    computed_slots: Vec<u64>,
    /// Number of refused requests by share.
    refused: Vec<u64>,
    /// Latest refusals, newest first.
    recent_refusals: VecDeque<(Micros, QuotaExceeded)>,
}

impl Quota {
    /// Creates a quota with nothing in use.
    ///
    /// # Errors
    /// All errors in the plan.
    pub fn new(plan: Plan, now: Micros) -> Result<Quota, Vec<PlanError>> {
        let errors = plan.check();
        if !errors.is_empty() {
            return Err(errors);
        }
        let (shares, measures) = (plan.shares.len(), plan.measures.len());
        Ok(Quota {
            now,
            tree_generation: 0,
            gauges: vec![Gauge::default(); shares * measures],
            active_children: vec![Vec::new(); shares * measures],
            computed_slots: vec![0; measures],
            refused: vec![0; shares],
            recent_refusals: VecDeque::new(),
            plan,
        })
    }

    /// The plan in force.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Replaces the plan. Usage is kept for shares with the same path of names and for the same measures, up to the new
    /// ceiling. If the tree itself changes and not only its bounds, requests in flight are counted from zero, since those
    /// admitted before may belong to shares that no longer exist.
    ///
    /// # Errors
    /// All errors in the plan; the old one stays in force.
    pub fn reload(&mut self, plan: Plan, now: Micros) -> Result<(), Vec<PlanError>> {
        let mut new = Quota::new(plan, self.now.max(now))?;
        let is_same_tree = is_same_tree(&new.plan, &self.plan);
        new.tree_generation = self.tree_generation + u64::from(!is_same_tree);
        let old: HashMap<Vec<&str>, usize> =
            (0..self.plan.shares.len()).map(|n| (path(&self.plan, n), n)).collect();
        for share in 0..new.plan.shares.len() {
            let Some(&old_share) = old.get(&path(&new.plan, share)) else { continue };
            for (m, measure) in new.plan.measures.iter().enumerate() {
                let Some(before) = self.plan.measures.iter().position(|old| old == measure) else { continue };
                let gauge = &mut new.gauges[share * new.plan.measures.len() + m];
                if measure.dimension == Dimension::InFlight && !is_same_tree {
                    continue;
                }
                *gauge = self.gauges[old_share * self.plan.measures.len() + before].clone();
                gauge.active = false;
                gauge.clamp_to(new.plan.bounds(share, m).ceiling);
            }
            new.refused[share] = self.refused[old_share];
        }
        for (m, measure) in new.plan.measures.clone().into_iter().enumerate() {
            let before = self.plan.measures.iter().position(|old| *old == measure);
            new.computed_slots[m] = before.map_or(0, |before| self.computed_slots[before]);
            for share in 1..new.plan.shares.len() {
                let gauge = &new.gauges[new.gauge_index(share, m)];
                if gauge.used > 0 || gauge.demand > 0.0 {
                    new.activate(share, m);
                }
            }
            new.rebalance(m, 1.0, 1.0);
        }
        *self = new;
        Ok(())
    }

    /// Admits a request, which counts from now on.
    ///
    /// # Errors
    /// If there is no capacity for it.
    pub fn try_acquire(&mut self, now: Micros, request: QuotaRequest) -> Result<Ticket, QuotaExceeded> {
        self.now = self.now.max(now);
        let exceeded = self.measures(request.lane).find_map(|m| {
            self.recompute(m);
            self.check_capacity(m, request).err()
        });
        let record = |quota: &mut Quota, admitted: bool| {
            quota.measures(request.lane).for_each(|m| quota.record_request(m, request, admitted));
        };
        match exceeded {
            None => {
                record(self, true);
                Ok(Ticket { request, admitted_at: self.now, tree_generation: self.tree_generation })
            }
            Some(exceeded) => {
                record(self, false);
                self.refused[request.share] += 1;
                self.recent_refusals.truncate(MAX_RECENT_REFUSALS - 1);
                self.recent_refusals.push_front((self.now, exceeded));
                Err(exceeded)
            }
        }
    }

    /// Records the end of an admitted request.
    pub fn release(&mut self, now: Micros, ticket: Ticket, completion: Completion) {
        self.now = self.now.max(now);
        let Ticket { request, admitted_at, tree_generation } = ticket;
        // After a change of the tree the same index may belong to another share, whose usage must not be released.
        if tree_generation != self.tree_generation {
            return;
        }
        for m in self.measures(request.lane) {
            self.recompute(m);
            let measure = self.plan.measures[m];
            let (cost, slot) = (cost(measure, request), admitted_at / slot_length(period(measure)));
            let mut share = Some(request.share);
            while let Some(v) = share {
                let index = self.gauge_index(v, m);
                match (measure.dimension, completion) {
                    (Dimension::InFlight, _) => self.gauges[index].release(cost),
                    (_, Completion::Refunded) => self.gauges[index].refund(slot, cost),
                    (_, Completion::Charged) => {}
                }
                self.update_claim(v, m);
                share = self.plan.shares[v].parent;
            }
        }
    }

    /// Usage of a share in a measure, over the window that ends now.
    pub fn used(&mut self, now: Micros, share: usize, measure: usize) -> u64 {
        self.now = self.now.max(now);
        self.recompute(measure);
        let (slot, index) = (self.computed_slots[measure], self.gauge_index(share, measure));
        if self.plan.measures[measure].dimension != Dimension::InFlight {
            self.gauges[index].advance_to(slot);
        }
        self.gauges[index].used
    }

    /// Usage of a share beyond its guarantee that has not decayed yet.
    pub fn debt(&mut self, now: Micros, share: usize, measure: usize) -> f64 {
        self.used(now, share, measure);
        self.gauges[self.gauge_index(share, measure)].debt
    }

    /// The nearest ancestor from whose guarantee a share borrows what it uses beyond its own. `None` if it borrows
    /// nothing.
    pub fn lender(&mut self, now: Micros, share: usize, measure: usize) -> Option<usize> {
        let mut lender = share;
        while self.used(now, lender, measure) > self.plan.bounds(lender, measure).guarantee {
            lender = self.plan.shares[lender].parent?;
        }
        Some(lender).filter(|&lender| lender != share)
    }

    /// Number of refused requests of a share.
    pub fn refused(&self, share: usize) -> u64 {
        self.refused[share]
    }

    /// The latest refusals of a share with their times, newest first.
    pub fn recent_refusals(&self, share: usize) -> impl Iterator<Item = (Micros, QuotaExceeded)> {
        self.recent_refusals.iter().copied().filter(move |(_, exceeded)| exceeded.share == share)
    }

    /// Index of a share's gauge for a measure.
    fn gauge_index(&self, share: usize, measure: usize) -> usize {
        share * self.plan.measures.len() + measure
    }

    /// The measures in which a request of a lane counts.
    fn measures(&self, lane: usize) -> impl Iterator<Item = usize> + use<> {
        let indices: Vec<usize> =
            (0..self.plan.measures.len()).filter(|&m| self.plan.measures[m].lane == lane).collect();
        indices.into_iter()
    }

    /// Checks that there is capacity for a request on the whole path to the root.
    fn check_capacity(&self, m: usize, request: QuotaRequest) -> Result<(), QuotaExceeded> {
        let measure = self.plan.measures[m];
        let cost = cost(measure, request) as f64;
        // Capacity reserved for other shares along the path, and whether a guarantee on the path covers this request.
        let (mut reserved, mut is_covered, mut share) = (0.0, false, request.share);
        loop {
            let (gauge, bounds) = (&self.gauges[self.gauge_index(share, m)], self.plan.bounds(share, m));
            let used = gauge.used as f64 + cost;
            let ceiling = bounds.ceiling as f64;
            if used > ceiling || !is_covered && used + reserved > ceiling {
                let reason = if used > ceiling { ExceededReason::Ceiling } else { ExceededReason::Reserved };
                let shortfall = used + if is_covered { 0.0 } else { reserved } - ceiling;
                let retry_after = self.time_until_free(measure, gauge, shortfall);
                return Err(QuotaExceeded {
                    share: request.share,
                    limiting_share: share,
                    measure: m,
                    reason,
                    retry_after,
                });
            }
            is_covered |= used + reserved <= bounds.guarantee as f64;
            let Some(parent) = self.plan.shares[share].parent else { return Ok(()) };
            reserved += (self.gauges[self.gauge_index(parent, m)].child_claims - gauge.claim).max(0.0);
            share = parent;
        }
    }

    /// Time until usage has dropped by `shortfall`, if no requests come. In-flight usage has no schedule; one slot is
    /// assumed.
    fn time_until_free(&self, measure: Measure, gauge: &Gauge, shortfall: f64) -> Micros {
        let length = slot_length(period(measure));
        match measure.dimension {
            Dimension::InFlight => length,
            _ => (gauge.slot_when_freed(shortfall) * length).saturating_sub(self.now),
        }
    }

    /// Records a request, admitted or not, on the whole path to the root.
    fn record_request(&mut self, m: usize, request: QuotaRequest, admitted: bool) {
        let measure = self.plan.measures[m];
        let (cost, slot) = (cost(measure, request), self.computed_slots[m]);
        let mut share = Some(request.share);
        while let Some(v) = share {
            share = self.plan.shares[v].parent;
            let (index, bounds) = (self.gauge_index(v, m), self.plan.bounds(v, m));
            let gauge = &mut self.gauges[index];
            let in_flight = measure.dimension == Dimension::InFlight;
            // At a steady rate the demand converges to the cost of the requests in one window.
            let added_demand = match (in_flight, admitted) {
                (true, true) => -(cost as f64),
                (true, false) => cost as f64,
                (false, _) => cost as f64 * SLOTS as f64 / DEMAND_DECAY_SLOTS,
            };
            // The demand is capped at the ceiling, so that a flood of refused requests does not claim all capacity.
            gauge.last_cost = cost as f64;
            gauge.demand = (gauge.demand + added_demand).clamp(0.0, bounds.ceiling as f64);
            if !admitted && gauge.used.saturating_add(cost) <= bounds.guarantee {
                // The full guarantee is reserved at once; otherwise a share that becomes active again would have to show
                // its demand one refusal at a time.
                gauge.reserved_until_slot = slot + RESERVATION_SLOTS;
            }
            if admitted {
                if in_flight {
                    gauge.acquire(cost);
                } else {
                    gauge.advance_to(slot);
                    gauge.add(cost);
                }
                gauge.debt += gauge.used.saturating_sub(bounds.guarantee).min(cost) as f64;
            }
            if share.is_some() {
                self.activate(v, m);
            }
            self.update_claim(v, m);
        }
    }

    /// Lists a share among the active children of its parent.
    fn activate(&mut self, share: usize, m: usize) {
        let index = self.gauge_index(share, m);
        if let Some(parent) = self.plan.shares[share].parent.filter(|_| !self.gauges[index].active) {
            self.gauges[index].active = true;
            let parent = self.gauge_index(parent, m);
            self.active_children[parent].push(share);
        }
    }

    /// Updates a share's claim, and the sums of its parent, from its usage and demand.
    fn update_claim(&mut self, share: usize, m: usize) {
        let (index, bounds) = (self.gauge_index(share, m), self.plan.bounds(share, m));
        let (in_flight, slot) =
            (self.plan.measures[m].dimension == Dimension::InFlight, self.computed_slots[m]);
        let gauge = &mut self.gauges[index];
        let (old_guaranteed, old_claim) = (gauge.guaranteed_claim, gauge.claim);
        let used = gauge.used as f64;
        let demand = if gauge.reserved_until_slot > slot {
            f64::INFINITY
        } else {
            gauge.total_demand(in_flight)
                + RESERVED_STANDARD_DEVIATIONS * (gauge.demand * gauge.last_cost).sqrt()
        };
        gauge.guaranteed_claim = (bounds.guarantee as f64).min(demand) - used;
        gauge.guaranteed_claim = gauge.guaranteed_claim.max(gauge.child_guaranteed_claims).max(0.0);
        gauge.claim = (gauge.target - used).max(gauge.guaranteed_claim);
        let guaranteed_change = gauge.guaranteed_claim - old_guaranteed;
        let claim_change = gauge.claim - old_claim;
        if let Some(parent) = self.plan.shares[share].parent {
            let parent = self.gauge_index(parent, m);
            let parent = &mut self.gauges[parent];
            parent.child_guaranteed_claims = (parent.child_guaranteed_claims + guaranteed_change).max(0.0);
            parent.child_claims = (parent.child_claims + claim_change).max(0.0);
        }
    }

    /// Recomputes a measure, once per slot: expired usage, the target of each active share, and what is reserved for it.
    fn recompute(&mut self, m: usize) {
        let measure = self.plan.measures[m];
        let slot = self.now / slot_length(period(measure));
        let passed = slot.saturating_sub(self.computed_slots[m]);
        if passed == 0 {
            return;
        }
        self.computed_slots[m] = slot;
        let length = slot_length(period(measure)) as f64;
        let demand_factor = (-(passed as f64) / DEMAND_DECAY_SLOTS).exp();
        let debt_factor = 0.5_f64.powf(passed as f64 * length / self.plan.half_life.max(1) as f64);
        self.rebalance(m, demand_factor, debt_factor);
    }

    /// Divides a measure among the shares again, after multiplying demands and debts by the given decay factors.
    fn rebalance(&mut self, m: usize, demand_factor: f64, debt_factor: f64) {
        let (measure, slot) = (self.plan.measures[m], self.computed_slots[m]);
        // Active shares, parents before their children.
        let mut order = vec![0];
        let mut next = 0;
        while let Some(&share) = order.get(next) {
            order.extend_from_slice(&self.active_children[self.gauge_index(share, m)]);
            next += 1;
        }
        for &share in &order {
            let index = self.gauge_index(share, m);
            let gauge = &mut self.gauges[index];
            if measure.dimension != Dimension::InFlight {
                gauge.advance_to(slot);
            }
            gauge.demand *= demand_factor;
            gauge.debt *= debt_factor;
            if gauge.demand < MIN_DEMAND {
                gauge.demand = 0.0;
            }
            (gauge.child_guaranteed_claims, gauge.child_claims) = Default::default();
            (gauge.guaranteed_claim, gauge.claim, gauge.target) = Default::default();
        }
        for &share in &order {
            self.divide(share, m);
        }
        for &share in order.iter().rev() {
            self.update_claim(share, m);
            let gauge = &self.gauges[self.gauge_index(share, m)];
            if gauge.used == 0
                && gauge.demand == 0.0
                && self.active_children[self.gauge_index(share, m)].is_empty()
            {
                self.deactivate(share, m);
            }
        }
    }

    /// Removes a share from the active children of its parent.
    fn deactivate(&mut self, share: usize, m: usize) {
        let index = self.gauge_index(share, m);
        if let Some(parent) = self.plan.shares[share].parent {
            let parent = self.gauge_index(parent, m);
            self.gauges[index].active = false;
            self.active_children[parent].retain(|&child| child != share);
        }
    }

    /// Divides the target of a share among its active children. Each first gets its demand up to its guarantee. The rest
    /// is divided in proportion to guarantees, with a lower weight for children in debt, and never beyond their demand.
    fn divide(&mut self, share: usize, m: usize) {
        let index = self.gauge_index(share, m);
        let in_flight = self.plan.measures[m].dimension == Dimension::InFlight;
        let ceiling = self.plan.bounds(share, m).ceiling as f64;
        let capacity = if share == 0 { ceiling } else { ceiling.min(self.gauges[index].target) };
        let mut demands: Vec<(f64, f64, f64, usize)> = Vec::with_capacity(self.active_children[index].len());
        let mut remaining = capacity;
        for &child in &self.active_children[index] {
            let (gauge, bounds) = (&self.gauges[self.gauge_index(child, m)], self.plan.bounds(child, m));
            let demand = gauge.total_demand(in_flight).min(bounds.ceiling as f64);
            let guaranteed = demand.min(bounds.guarantee as f64);
            let guarantee = bounds.guarantee.max(1) as f64;
            let weight = guarantee / (1.0 + gauge.debt / guarantee);
            remaining -= guaranteed;
            demands.push(((demand - guaranteed) / weight, weight, guaranteed, child));
        }
        // The smallest excess demand per weight is served first, so that what it leaves goes to the others.
        demands.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut total_weight: f64 = demands.iter().map(|demand| demand.1).sum();
        remaining = remaining.max(0.0);
        for (excess_per_weight, weight, guaranteed, child) in demands {
            let borrowed =
                (remaining * weight / total_weight.max(f64::MIN_POSITIVE)).min(excess_per_weight * weight);
            remaining -= borrowed;
            total_weight -= weight;
            let index = self.gauge_index(child, m);
            self.gauges[index].target = guaranteed + borrowed;
        }
    }
}

/// Cost of a request in a measure.
fn cost(measure: Measure, request: QuotaRequest) -> u64 {
    match measure.dimension {
        Dimension::Requests | Dimension::InFlight => 1,
        Dimension::Worth => request.worth,
        Dimension::Bytes => request.bytes,
    }
}

/// Duration that is divided into slots.
fn period(measure: Measure) -> Micros {
    match measure.dimension {
        Dimension::InFlight if measure.window == 0 => IN_FLIGHT_PERIOD_US,
        _ => measure.window,
    }
}

/// Whether two plans differ at most in their bounds.
fn is_same_tree(one: &Plan, other: &Plan) -> bool {
    let names = |plan: &Plan| plan.shares.iter().map(|s| (s.name.clone(), s.parent)).collect::<Vec<_>>();
    one.measures == other.measures && names(one) == names(other)
}

/// The names of a share and its ancestors, from the share up to the root.
fn path(plan: &Plan, share: usize) -> Vec<&str> {
    let mut names = Vec::new();
    let mut next = Some(share);
    while let Some(share) = next {
        names.push(plan.shares[share].name.as_str());
        next = plan.shares[share].parent;
    }
    names
}
