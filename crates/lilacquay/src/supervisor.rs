//! What fails inside a node is started again, after a pause that grows while it goes on failing.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use tokio_util::task::AbortOnDropHandle;
use tracing::{error, warn};

/// The first pause, which doubles with each failure ...
pub const FIRST: Duration = Duration::from_millis(100);
/// ... up to this.
pub const LONGEST: Duration = Duration::from_secs(30);
/// What has run for so long has recovered: its next pause is the first again.
pub const WELL: Duration = Duration::from_secs(60);

/// When to start again. No clock: it is told how long each run was.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// A run has failed after so long; tells the pause before the next.
    pub fn delay_after_failure(&mut self, ran: Duration) -> Duration {
        if ran >= WELL {
            self.failures = 0;
        }
        let pause = FIRST.saturating_mul(1 << self.failures.min(16)).min(LONGEST);
        self.failures += 1;
        pause
    }
}

/// Runs a part of a node for as long as this runs; where it ends by itself or panics, again.
pub async fn keep<F: Future<Output = ()> + Send + 'static>(name: &'static str, mut part: impl FnMut() -> F) {
    let mut backoff = Backoff::default();
    loop {
        let start = Instant::now();
        let ended = AbortOnDropHandle::new(tokio::spawn(part())).await;
        let pause = backoff.delay_after_failure(start.elapsed());
        match ended {
            Err(failed) if failed.is_panic() => {
                error!(
                    part = name,
                    pause_ms = pause.as_millis() as u64,
                    "a part has failed; it is started again"
                );
            }
            _ => warn!(
                part = name,
                pause_ms = pause.as_millis() as u64,
                "a part has ended; it is started again"
            ),
        }
        sleep(pause).await;
    }
}

#[cfg(test)]
mod tests {
    use std::sync::{Arc, Mutex};

    use super::*;

    #[test]
    fn pauses_double_to_the_longest_and_begin_anew_after_a_long_run() {
        let mut backoff = Backoff::default();
        let pauses: Vec<u128> =
            (0..12).map(|_| backoff.delay_after_failure(Duration::ZERO).as_millis()).collect();
        assert_eq!(pauses[..10], [100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800, 25_600, 30_000]);
        assert_eq!(backoff.delay_after_failure(WELL), FIRST);
        assert_eq!(backoff.delay_after_failure(WELL - Duration::from_millis(1)), FIRST * 2);
    }

    #[tokio::test(start_paused = true)]
    async fn a_part_that_panics_or_ends_runs_again_and_ends_with_its_keeper() {
        let starts: Arc<Mutex<Vec<Instant>>> = Arc::default();
        let begun = Instant::now();
        let noted = starts.clone();
        let alive = Arc::new(());
        let held = alive.clone();
        let part = move || {
            let (noted, held) = (noted.clone(), held.clone());
            async move {
                let _held = held;
                let start = {
                    let mut all = noted.lock().unwrap();
                    all.push(Instant::now());
                    all.len()
                };
                match start {
                    1 => panic!("the first time"),
                    2 => {}
                    _ => std::future::pending().await,
                }
            }
        };
        let keeper = tokio::spawn(keep("part", part));
        sleep(Duration::from_secs(1)).await;
        let times: Vec<u128> = starts.lock().unwrap().iter().map(|at| (*at - begun).as_millis()).collect();
        assert_eq!(times.len(), 3);
        assert!(times[1].abs_diff(100) <= 2 && times[2].abs_diff(300) <= 4, "{times:?}");
        keeper.abort();
        let _ = keeper.await;
        sleep(Duration::from_secs(1)).await;
        assert_eq!(Arc::strong_count(&alive), 1, "nothing of it is left");
    }
}
