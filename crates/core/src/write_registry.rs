//! The ids of recent writes, shared by the front ends, the driver and the other process of the node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use crate::recent_writes::{IdHash, RecentWrites};

/// A change of the recent writes of this process, for the other process of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteUpdate {
    /// The request with this id may take effect from now on.
    Begun(IdHash),
    /// The request with this id has not taken effect and never will.
    Refused(IdHash),
}

/// The ids of recent writes. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct WriteRegistry(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    recent: RecentWrites,
    updates: Option<UnboundedSender<WriteUpdate>>,
}

impl WriteRegistry {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the request with this id may have taken effect, in this process or in the other one.
    pub fn contains(&self, id: &[u8]) -> bool {
        self.inner().recent.contains(Instant::now(), IdHash::new(id))
    }

    /// Records that an attempt of the request with this id is about to be written.
    pub fn begun(&self, id: &[u8]) {
        let (mut inner, id) = (self.inner(), IdHash::new(id));
        if inner.recent.record(Instant::now(), id) {
            inner.notify(WriteUpdate::Begun(id));
        }
    }

    /// Records that the request with this id was refused, and so never takes effect.
    pub fn refused(&self, id: &[u8]) {
        let (mut inner, id) = (self.inner(), IdHash::new(id));
        inner.recent.remove(id);
        inner.notify(WriteUpdate::Refused(id));
    }

    /// Applies an update of the other process.
    pub fn apply(&self, update: WriteUpdate) {
        let mut inner = self.inner();
        match update {
            WriteUpdate::Begun(id) => _ = inner.recent.record(Instant::now(), id),
            WriteUpdate::Refused(id) => inner.recent.remove(id),
        }
    }

    /// All ids that are remembered.
    pub fn ids(&self) -> Vec<IdHash> {
        self.inner().recent.ids()
    }

    /// The updates of this process from now on.
    pub fn subscribe(&self) -> UnboundedReceiver<WriteUpdate> {
        let (sender, updates) = unbounded_channel();
        self.inner().updates = Some(sender);
        updates
    }
}

impl Inner {
    fn notify(&mut self, update: WriteUpdate) {
        if self.updates.as_ref().is_some_and(|updates| updates.send(update).is_err()) {
            self.updates = None; // nobody passes them on any longer
        }
    }
}
