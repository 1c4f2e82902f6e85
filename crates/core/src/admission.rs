//! Applies quotas to calls before the balancer sees them: maps each call to its share and reports its end.

use std::collections::HashMap;

use lilacquay_observe::ShareStatus;
use lilacquay_quota::{Completion, Dimension, Quota, QuotaRequest, Ticket};
use paddlefold::{Micros, Settings};

use crate::call::Call;

/// Bounds the number of shares that a snapshot reports, because requests wait while it is taken.
const MAX_REPORTED_SHARES: usize = 200;

/// The quotas, and the mapping of calls to their shares and lanes.
pub struct Admission {
    quota: Quota,
    /// The share index of each tenant, keyed by the tenant's index in the settings.
    tenants: HashMap<usize, usize>,
    /// The share of all other calls. Unknown tenants use it too, so that arbitrary tenant names cannot grow the
    /// number of shares.
    default_share: usize,
    /// The lane of each class, keyed by the class's index in the settings. Calls of other classes are not subject to
    /// quotas.
    lanes: HashMap<usize, usize>,
}

impl Admission {
    /// Creates the quotas from the shares of tenants, the share of all other calls, and the lanes of classes.
    pub fn new(
        quota: Quota,
        tenants: HashMap<usize, usize>,
        default_share: usize,
        lanes: HashMap<usize, usize>,
    ) -> Self {
        Admission { quota, tenants, default_share, lanes }
    }

    /// Replaces the quotas. The usage of shares and measures that remain is kept.
    pub(crate) fn reload(&mut self, new: Admission, now: Micros) {
        let Admission { quota, tenants, default_share, lanes } = new;
        // The plan was validated when it was created, so an error is not expected.
        if self.quota.reload(quota.plan().clone(), now).is_ok() {
            (self.tenants, self.default_share, self.lanes) = (tenants, default_share, lanes);
        }
    }

    /// Admits a call or refuses it. Returns the ticket if the call is subject to quotas.
    ///
    /// # Errors
    /// If the call is over its share: the time after which its client should retry, in microseconds.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        call: &Call,
        settings: &Settings,
    ) -> Result<Option<Ticket>, Micros> {
        let Some((class, lane)) = call.class.and_then(|class| Some((class, *self.lanes.get(&class)?))) else {
            return Ok(None);
        };
        let share =
            call.tenant.and_then(|tenant| self.tenants.get(&tenant)).copied().unwrap_or(self.default_share);
        let worth = settings.classes.get(class).map_or(1.0, |class| class.worth);
        let value_bytes = call.value.as_ref().map_or(0, bytes::Bytes::len);
        let bytes = (call.key.len() + call.id.len() + call.facts.len() + value_bytes) as u64;
        let ask = QuotaRequest { share, lane, worth: (worth * 1000.0) as u64, bytes };
        self.quota.try_acquire(now, ask).map(Some).map_err(|over| over.retry_after)
    }

    /// The current state of all shares, for operators.
    pub(crate) fn shares(&mut self, now: Micros) -> Vec<ShareStatus> {
        share_statuses(&mut self.quota, now)
    }

    /// Reports that an admitted call has ended. A call that was refused without an attempt is not charged.
    pub(crate) fn done(&mut self, now: Micros, ticket: Ticket, tried: bool) {
        self.quota.release(now, ticket, if tried { Completion::Charged } else { Completion::Refunded });
    }
}

/// The state of each share and measure, in the form that operators read.
fn share_statuses(quota: &mut Quota, now: Micros) -> Vec<ShareStatus> {
    let plan = quota.plan().clone();
    let mut statuses = Vec::new();
    for (share, share_plan) in plan.shares.iter().enumerate().take(MAX_REPORTED_SHARES) {
        let depth = std::iter::successors(share_plan.parent, |&parent| plan.shares[parent].parent).count();
        for (measure_index, measure) in plan.measures.iter().enumerate() {
            let bounds = plan.bounds(share, measure_index);
            let unit = match measure.dimension {
                Dimension::Requests => "requests",
                Dimension::Worth => "worth/1000",
                Dimension::Bytes => "bytes",
                Dimension::InFlight => "in flight",
            };
            let window_seconds = measure.window as f64 / 1e6;
            let description = match measure.dimension {
                Dimension::InFlight => format!("{unit}, lane {}", measure.lane),
                _ => format!("{unit} in {window_seconds} s, lane {}", measure.lane),
            };
            statuses.push(ShareStatus {
                name: share_plan.name.clone(),
                depth,
                measure: description,
                guarantee: bounds.guarantee,
                ceiling: Some(bounds.ceiling).filter(|&ceiling| ceiling < u64::MAX),
                used: quota.used(now, share, measure_index),
                debt: quota.debt(now, share, measure_index),
                refused: quota.refused(share),
            });
        }
    }
    statuses
}
