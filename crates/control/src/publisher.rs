//! Snapshots for observers: taken on request, and shared by requests that arrive at about the same time.

use std::sync::Arc;
use std::time::Duration;

use lilacquay_core::CoreHandle;
use lilacquay_observe::Snapshot;
use tokio::sync::Mutex;
use tokio::task::spawn_blocking;
use tokio::time::Instant;

use crate::messages::Answer;
use crate::process;

/// How long a snapshot is shared, so that sixteen consoles do not make the core walk through its state sixteen times.
const SNAPSHOT_MAX_AGE: Duration = Duration::from_millis(150);

/// Takes snapshots. The core only answers a message; slow work (files, JSON) runs on another thread and never blocks
/// it.
pub(crate) struct Publisher {
    core: CoreHandle,
    descriptor_limit: usize,
    /// The latest snapshot as a line of JSON, and when it was taken.
    last: Mutex<Option<(Instant, Arc<str>)>>,
}

impl Publisher {
    pub fn new(core: CoreHandle, descriptor_limit: usize) -> Self {
        Publisher { core, descriptor_limit, last: Mutex::default() }
    }

    /// A line with a snapshot that is no older than [`SNAPSHOT_MAX_AGE`]; none once the core has ended.
    pub async fn snapshot_line(&self) -> Option<Arc<str>> {
        let mut last = self.last.lock().await;
        if let Some((at, line)) = &*last
            && at.elapsed() < SNAPSHOT_MAX_AGE
        {
            return Some(line.clone());
        }
        let snapshot = self.snapshot().await?;
        let text = move || serde_json::to_string(&Answer::Snapshot { snapshot: Box::new(snapshot) });
        let line: Arc<str> = spawn_blocking(text).await.ok()?.ok()?.into();
        *last = Some((Instant::now(), line.clone()));
        Some(line)
    }

    /// A new snapshot; none once the core has ended.
    pub async fn snapshot(&self) -> Option<Snapshot> {
        let mut snapshot = self.core.snapshot().await.ok()?;
        (snapshot.memory_kb, snapshot.descriptors) =
            spawn_blocking(process::resource_usage).await.unwrap_or_default();
        snapshot.descriptor_limit = self.descriptor_limit;
        Some(snapshot)
    }
}
