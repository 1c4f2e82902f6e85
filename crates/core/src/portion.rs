//! The part of a node's bounds that is one process's, while two of them are the node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// All of it, in thousandths.
const WHOLE: u32 = 1000;

/// A part of all bounds, which may change while they hold. Clones are of one part.
#[derive(Debug, Clone)]
pub struct Portion(Arc<AtomicU32>);

impl Default for Portion {
    /// The whole.
    fn default() -> Self {
        Portion(Arc::new(AtomicU32::new(WHOLE)))
    }
}

impl Portion {
    /// Is so many thousandths from now on.
    pub fn set(&self, thousandths: u32) {
        self.0.store(thousandths.min(WHOLE), Ordering::Relaxed);
    }

    /// The part of a bound; never nothing.
    pub fn of(&self, whole: usize) -> usize {
        let thousandths = self.0.load(Ordering::Relaxed) as usize;
        (whole.saturating_mul(thousandths) / WHOLE as usize).max(1)
    }
}
