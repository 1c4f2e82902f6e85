//! The share of a node's resource limits that one process may use while two processes run as one node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

const FULL_SHARE_THOUSANDTHS: u32 = 1000;

/// A share of all limits, which may change at any time. Clones refer to the same share.
#[derive(Debug, Clone)]
pub struct ResourceShare(Arc<ShareState>);

#[derive(Debug)]
struct ShareState {
    thousandths: AtomicU32,
    has_other_process: AtomicBool,
}

impl Default for ResourceShare {
    /// The full share.
    fn default() -> Self {
        ResourceShare(Arc::new(ShareState {
            thousandths: AtomicU32::new(FULL_SHARE_THOUSANDTHS),
            has_other_process: AtomicBool::new(false),
        }))
    }
}

impl ResourceShare {
    /// Sets the share in thousandths. `has_other_process`: another process uses the rest and accepts connections too.
    pub fn set(&self, thousandths: u32, has_other_process: bool) {
        self.0.thousandths.store(thousandths.min(FULL_SHARE_THOUSANDTHS), Ordering::Relaxed);
        self.0.has_other_process.store(has_other_process, Ordering::Relaxed);
    }

    /// Whether another process uses the rest of the limits and accepts connections too.
    pub fn has_other_process(&self) -> bool {
        self.0.has_other_process.load(Ordering::Relaxed)
    }

    /// This process's share of a limit; at least 1.
    pub fn of(&self, limit: usize) -> usize {
        let thousandths = self.0.thousandths.load(Ordering::Relaxed) as usize;
        (limit.saturating_mul(thousandths) / FULL_SHARE_THOUSANDTHS as usize).max(1)
    }
}
