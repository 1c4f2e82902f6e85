//! Quotas before the decision module: whose share a call is of, and what is told of its end.

use std::collections::HashMap;

use lilacquay_observe::ShareNow;
use lilacquay_quota::{Completion, Dimension, Quota, QuotaRequest, Ticket};
use paddlefold::{Micros, Settings};

use crate::call::Call;

/// Shares beyond these are not told: what is asked while requests wait must stay short.
const MOST_SHARES: usize = 200;

/// What quotas there are, and how calls are counted in them.
pub struct Admission {
    quota: Quota,
    /// The share of each tenant, by its index in the settings.
    tenants: HashMap<usize, usize>,
    /// The share of all other calls, of made-up tenants too: one for all, so that names can't grow it.
    others: usize,
    /// The lane of each class, by its index in the settings; calls of other classes are not counted.
    lanes: HashMap<usize, usize>,
}

impl Admission {
    /// Quotas with the shares of tenants and of all others, and the lanes of classes.
    pub fn new(
        quota: Quota,
        tenants: HashMap<usize, usize>,
        others: usize,
        lanes: HashMap<usize, usize>,
    ) -> Self {
        Admission { quota, tenants, others, lanes }
    }

    /// Goes by other quotas from now on; what is used of shares and measures that stay is kept.
    pub(crate) fn reload(&mut self, new: Admission, now: Micros) {
        let Admission { quota, tenants, others, lanes } = new;
        // It was checked when it was made.
        if self.quota.reload(quota.plan().clone(), now).is_ok() {
            (self.tenants, self.others, self.lanes) = (tenants, others, lanes);
        }
    }

    /// Whether a call is admitted: its ticket if it counts, or how long its client should stay away.
    pub(crate) fn ask(
        &mut self,
        now: Micros,
        call: &Call,
        settings: &Settings,
    ) -> Result<Option<Ticket>, Micros> {
        let Some((class, lane)) = call.class.and_then(|class| Some((class, *self.lanes.get(&class)?))) else {
            return Ok(None);
        };
        let share = call.tenant.and_then(|tenant| self.tenants.get(&tenant)).copied().unwrap_or(self.others);
        let worth = settings.classes.get(class).map_or(1.0, |class| class.worth);
        let value = call.value.as_ref().map_or(0, bytes::Bytes::len);
        let bytes = (call.key.len() + call.id.len() + call.facts.len() + value) as u64;
        let ask = QuotaRequest { share, lane, worth: (worth * 1000.0) as u64, bytes };
        self.quota.try_acquire(now, ask).map(Some).map_err(|over| over.retry_after)
    }

    /// The shares at a time, for operators.
    pub(crate) fn shares(&mut self, now: Micros) -> Vec<ShareNow> {
        share_words(&mut self.quota, now)
    }

    /// A call that was admitted has ended. One that was refused untried is not paid.
    pub(crate) fn done(&mut self, now: Micros, ticket: Ticket, tried: bool) {
        self.quota.release(now, ticket, if tried { Completion::Charged } else { Completion::Refunded });
    }
}

/// The shares of quotas, as operators read them.
fn share_words(quota: &mut Quota, now: Micros) -> Vec<ShareNow> {
    let plan = quota.plan().clone();
    let mut told = Vec::new();
    for (share, lines) in plan.shares.iter().enumerate().take(MOST_SHARES) {
        let depth = std::iter::successors(lines.parent, |&parent| plan.shares[parent].parent).count();
        for (m, measure) in plan.measures.iter().enumerate() {
            let bounds = plan.bounds(share, m);
            let of = match measure.dimension {
                Dimension::Requests => "requests",
                Dimension::Worth => "worth/1000",
                Dimension::Bytes => "bytes",
                Dimension::InFlight => "in flight",
            };
            let window = measure.window as f64 / 1e6;
            let measured = match measure.dimension {
                Dimension::InFlight => format!("{of}, lane {}", measure.lane),
                _ => format!("{of} in {window} s, lane {}", measure.lane),
            };
            told.push(ShareNow {
                name: lines.name.clone(),
                depth,
                measure: measured,
                guarantee: bounds.guarantee,
                ceiling: Some(bounds.ceiling).filter(|&ceiling| ceiling < u64::MAX),
                used: quota.used(now, share, m),
                debt: quota.debt(now, share, m),
                refused: quota.refused(share),
            });
        }
    }
    told
}
