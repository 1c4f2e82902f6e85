//! The part of a node's bounds that is one process's, while two of them are the node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// All of it, in thousandths.
const WHOLE: u32 = 1000;

/// A part of all bounds, which may change while they hold. Clones are of one part.
#[derive(Debug, Clone)]
pub struct ResourceShare(Arc<Part>);

#[derive(Debug)]
struct Part {
    thousandths: AtomicU32,
    in_company: AtomicBool,
}

impl Default for ResourceShare {
    /// The whole.
    fn default() -> Self {
        ResourceShare(Arc::new(Part {
            thousandths: AtomicU32::new(WHOLE),
            in_company: AtomicBool::new(false),
        }))
    }
}

impl ResourceShare {
    /// Is so many thousandths from now on; `in_company`: another process has the rest and takes connections too.
    pub fn set(&self, thousandths: u32, in_company: bool) {
        self.0.thousandths.store(thousandths.min(WHOLE), Ordering::Relaxed);
        self.0.in_company.store(in_company, Ordering::Relaxed);
    }

    /// Whether another process has the rest and takes connections too.
    pub fn is_shared(&self) -> bool {
        self.0.in_company.load(Ordering::Relaxed)
    }

    /// The part of a bound; never nothing.
    pub fn of(&self, whole: usize) -> usize {
        let thousandths = self.0.thousandths.load(Ordering::Relaxed) as usize;
        (whole.saturating_mul(thousandths) / WHOLE as usize).max(1)
    }
}
