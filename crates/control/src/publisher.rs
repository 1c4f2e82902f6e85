//! Snapshots for those who watch: made when one is wanted, and shared by all who want one at about the same time.

use std::sync::Arc;
use std::time::Duration;

use lilacquay_core::CoreHandle;
use lilacquay_observe::Snapshot;
use tokio::sync::Mutex;
use tokio::task::spawn_blocking;
use tokio::time::Instant;

use crate::messages::Answer;
use crate::process;

/// A snapshot is shared for so long.
///
/// Guards against: sixteen consoles that have the core walk over its books sixteen times.
const FRESH: Duration = Duration::from_millis(150);

/// Makes snapshots. The core is asked, never made to wait: what is slow (files, JSON) runs on another thread.
pub(crate) struct Publisher {
    orders: CoreHandle,
    descriptor_limit: usize,
    last: Mutex<Option<(Instant, Arc<str>)>>,
}

impl Publisher {
    pub fn new(orders: CoreHandle, descriptor_limit: usize) -> Self {
        Publisher { orders, descriptor_limit, last: Mutex::default() }
    }

    /// A line with a snapshot that is no older than [`FRESH`]; nothing once the core has ended.
    pub async fn line(&self) -> Option<Arc<str>> {
        let mut last = self.last.lock().await;
        if let Some((at, line)) = &*last
            && at.elapsed() < FRESH
        {
            return Some(line.clone());
        }
        let snapshot = self.snapshot().await?;
        let text = move || serde_json::to_string(&Answer::Snapshot { snapshot: Box::new(snapshot) });
        let line: Arc<str> = spawn_blocking(text).await.ok()?.ok()?.into();
        *last = Some((Instant::now(), line.clone()));
        Some(line)
    }

    pub async fn snapshot(&self) -> Option<Snapshot> {
        let mut snapshot = self.orders.snapshot().await.ok()?;
        (snapshot.memory_kb, snapshot.descriptors) = spawn_blocking(process::holds).await.unwrap_or_default();
        snapshot.descriptor_limit = self.descriptor_limit;
        Some(snapshot)
    }
}
