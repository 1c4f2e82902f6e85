//! How many bytes of large values may be held between servers and clients. No I/O: a flow asks before it reads on,
//! and gives back what its client has taken.
//!
//! No flow waits for another. Guards against: readers of some bytes a second that hold all there is, so that those
//! who read quickly wait for them.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

use crate::resource_share::ResourceShare;

/// A flow that holds nothing may read so much, whatever the others hold, in bytes.
pub const LEAST: usize = 4 << 10;
/// A piece is no larger than this ...
pub const MOST: usize = 16 << 10;
/// ... and one flow holds no more than this.
pub const OWN: usize = 48 << 10;
/// What a piece is reckoned to hold beside its bytes.
const PER_PIECE: usize = 64;

/// The bytes that all flows share.
#[derive(Debug)]
pub(crate) struct Governor {
    most: usize,
    portion: ResourceShare,
    held: AtomicUsize,
}

impl Governor {
    /// For this process's portion of so many bytes, beside the least of each flow.
    pub fn new(most: usize, portion: ResourceShare) -> Arc<Governor> {
        Arc::new(Governor { most, portion, held: AtomicUsize::new(0) })
    }

    /// How many bytes a flow may read that holds so many; none before its client has taken some of those.
    fn grant(&self, own: usize) -> usize {
        let free = self.portion.of(self.most).saturating_sub(self.held.load(Ordering::Relaxed));
        let grant = free.min(MOST).min(OWN.saturating_sub(own + PER_PIECE));
        match own {
            0 => grant.max(LEAST),
            _ if grant >= LEAST => grant,
            _ => 0,
        }
    }
}

/// What one flow holds.
#[derive(Debug, Clone)]
pub(crate) struct Held(Arc<Own>);

#[derive(Debug)]
struct Own {
    governor: Arc<Governor>,
    bytes: AtomicUsize,
    taken: Notify,
}

impl Held {
    pub fn new(governor: Arc<Governor>) -> Held {
        Held(Arc::new(Own { governor, bytes: AtomicUsize::new(0), taken: Notify::new() }))
    }

    /// How many bytes may be read next, and the share that stands for them, once there is room.
    pub async fn room(&self) -> Share {
        loop {
            let taken = self.0.taken.notified();
            match self.0.governor.grant(self.0.bytes.load(Ordering::Relaxed)) {
                0 => taken.await,
                bytes => return Share::new(bytes, self.0.clone()),
            }
        }
    }
}

/// Bytes that are held, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    bytes: usize,
    of: Arc<Own>,
}

impl Share {
    fn new(bytes: usize, of: Arc<Own>) -> Share {
        let mut share = Share { bytes: 0, of };
        share.resize(bytes);
        share
    }

    pub fn bytes(&self) -> usize {
        self.bytes.saturating_sub(PER_PIECE)
    }

    /// Stands for so many bytes from now on.
    pub fn resize(&mut self, bytes: usize) {
        self.give_back();
        self.bytes = bytes + PER_PIECE;
        self.of.bytes.fetch_add(self.bytes, Ordering::Relaxed);
        self.of.governor.held.fetch_add(self.bytes, Ordering::Relaxed);
    }

    fn give_back(&mut self) {
        self.of.bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.of.governor.held.fetch_sub(self.bytes, Ordering::Relaxed);
        self.bytes = 0;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.give_back();
        self.of.taken.notify_one();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Flows that read, and clients that take, in any order.
    #[test]
    fn the_bound_holds_and_no_flow_waits_for_another_whatever_is_read_and_taken() {
        for seed in 0..50 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (most, flows) = (rng.usize(0..300_000), rng.usize(1..100));
            let governor = Governor::new(most, ResourceShare::default());
            let mut held: Vec<(Held, Vec<Share>)> =
                (0..flows).map(|_| (Held::new(governor.clone()), Vec::new())).collect();
            for _ in 0..3_000 {
                let (flow, shares) = &mut held[rng.usize(0..flows)];
                let own = flow.0.bytes.load(Ordering::Relaxed);
                let grant = governor.grant(own);
                assert!(own > 0 || grant >= LEAST, "seed {seed}: one that holds nothing may read");
                assert!(grant <= MOST && own + grant <= OWN.max(LEAST), "seed {seed}");
                if grant > 0 && rng.bool() {
                    let mut share = Share::new(grant, flow.0.clone());
                    if rng.bool() {
                        share.resize(rng.usize(1..=share.bytes())); // less came
                    }
                    shares.push(share);
                } else if !shares.is_empty() {
                    shares.remove(0);
                }
                let all = governor.held.load(Ordering::Relaxed);
                assert!(all <= most.max(1) + flows * (LEAST + 2 * PER_PIECE), "seed {seed}: {all} of {most}");
            }
            drop(held);
            assert_eq!(governor.held.load(Ordering::Relaxed), 0, "all is given back");
        }
    }
}
