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
    is_shared: AtomicBool,
}

impl Default for ResourceShare {
    /// The full share.
    fn default() -> Self {
        ResourceShare(Arc::new(ShareState {
            thousandths: AtomicU32::new(FULL_SHARE_THOUSANDTHS),
            is_shared: AtomicBool::new(false),
        }))
    }
}

impl ResourceShare {
    /// Sets the share in thousandths. `is_shared`: another process uses the rest and accepts connections too.
    pub fn set(&self, thousandths: u32, is_shared: bool) {
        self.0.thousandths.store(thousandths.min(FULL_SHARE_THOUSANDTHS), Ordering::Relaxed);
        self.0.is_shared.store(is_shared, Ordering::Relaxed);
    }

    /// Whether another process uses the rest of the limits and accepts connections too.
    pub fn is_shared(&self) -> bool {
        self.0.is_shared.load(Ordering::Relaxed)
    }

    /// This process's share of a limit; at least 1.
    pub fn of(&self, limit: usize) -> usize {
        let thousandths = self.0.thousandths.load(Ordering::Relaxed) as usize;
        (limit.saturating_mul(thousandths) / FULL_SHARE_THOUSANDTHS as usize).max(1)
    }
}
