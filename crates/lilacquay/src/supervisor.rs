//! Restarts the tasks of a node that panic or end, with exponential backoff.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use tokio_util::task::AbortOnDropHandle;
use tracing::{error, warn};

/// Delay before the first restart; it doubles with each further failure.
pub const INITIAL_RESTART_DELAY: Duration = Duration::from_millis(100);
/// Upper bound on the delay before a restart.
pub const MAX_RESTART_DELAY: Duration = Duration::from_secs(30);
/// A task that has run for this long counts as recovered: its next failure is followed by the initial delay again.
pub const RECOVERED_AFTER: Duration = Duration::from_secs(60);

/// Exponential backoff between restarts. It reads no clock: the caller passes the length of each run.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Counts a run that failed after `run_time`, and returns the delay before the next one.
    pub fn delay_after_failure(&mut self, run_time: Duration) -> Duration {
        if run_time >= RECOVERED_AFTER {
            self.failures = 0;
        }
        let delay = INITIAL_RESTART_DELAY.saturating_mul(1 << self.failures.min(16)).min(MAX_RESTART_DELAY);
        self.failures += 1;
        delay
    }
}

/// Runs a task of the node, and runs it again whenever it ends or panics. Dropping this future ends the task.
pub async fn supervise<F: Future<Output = ()> + Send + 'static>(
    name: &'static str,
    mut start_task: impl FnMut() -> F,
) {
    let mut backoff = Backoff::default();
    loop {
        let started = Instant::now();
        let ended = AbortOnDropHandle::new(tokio::spawn(start_task())).await;
        let delay = backoff.delay_after_failure(started.elapsed());
        match ended {
            Err(join_error) if join_error.is_panic() => {
                error!(
                    part = name,
                    pause_ms = delay.as_millis() as u64,
                    "a task of the node has panicked and is restarted"
                );
            }
            _ => warn!(
                part = name,
                pause_ms = delay.as_millis() as u64,
                "a task of the node has ended and is restarted"
            ),
        }
        sleep(delay).await;
    }
}

#[cfg(test)]
mod tests {
    use std::sync::{Arc, Mutex};

    use super::*;

    #[test]
    fn delays_double_up_to_the_maximum_and_reset_after_a_long_run() {
        let mut backoff = Backoff::default();
        let delays: Vec<u128> =
            (0..12).map(|_| backoff.delay_after_failure(Duration::ZERO).as_millis()).collect();
        assert_eq!(delays[..10], [100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800, 25_600, 30_000]);
        assert_eq!(backoff.delay_after_failure(RECOVERED_AFTER), INITIAL_RESTART_DELAY);
        assert_eq!(
            backoff.delay_after_failure(RECOVERED_AFTER - Duration::from_millis(1)),
            INITIAL_RESTART_DELAY * 2
        );
    }

    #[tokio::test(start_paused = true)]
    async fn a_task_that_panics_or_ends_is_restarted_and_ends_with_its_supervisor() {
        let starts: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let test_start = Instant::now();
        let recorded_starts = starts.clone();
        let alive = Arc::new(());
        let alive_in_task = alive.clone();
        let start_task = move || {
            let (recorded_starts, alive_in_task) = (recorded_starts.clone(), alive_in_task.clone());
            async move {
                let _alive = alive_in_task;
                let start_number = {
                    let mut starts = recorded_starts.lock().unwrap();
                    starts.push(Instant::now());
                    starts.len()
                };
                match start_number {
                    1 => panic!("panic of the first run"),
                    2 => {}
                    _ => std::future::pending().await,
                }
            }
        };
        let supervisor = tokio::spawn(supervise("part", start_task));
        sleep(Duration::from_secs(1)).await;
        let times: Vec<u128> =
            starts.lock().unwrap().iter().map(|at| (*at - test_start).as_millis()).collect();
        assert_eq!(times.len(), 3);
        assert!(times[1].abs_diff(100) <= 2 && times[2].abs_diff(300) <= 4, "{times:?}");
        supervisor.abort();
        let _ = supervisor.await;
        sleep(Duration::from_secs(1)).await;
        assert_eq!(Arc::strong_count(&alive), 1, "the task was dropped with its supervisor");
    }
}
