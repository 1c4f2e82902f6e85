//! Latencies: of the last minute, second by second, and of one server, in a few buckets.

use std::collections::VecDeque;

use hdrhistogram::Histogram;

use crate::Micros;
use crate::snapshot::{LATENCY_BUCKETS, LatencySummary, SecondStats};

/// Number of complete seconds that are kept.
const KEPT_SECONDS: usize = 60;
/// Longer latencies are recorded as this one.
const MAX_LATENCY_US: Micros = 3_600_000_000;
/// Length of a window of [`TwoWindows`], in microseconds.
const WINDOW_US: Micros = 10_000_000;

const SECOND_US: Micros = 1_000_000;

/// The exclusive upper bound of a bucket, in microseconds: 250 for the first, doubling with each. The last bucket has
/// none.
pub fn bucket_upper_bound_us(bucket: usize) -> Option<Micros> {
    (bucket + 1 < LATENCY_BUCKETS).then(|| 250 << bucket)
}

/// Statistics of the answers of the last minute, second by second.
#[derive(Debug, Clone)]
pub struct LatencyHistory {
    /// The current second, counted from the start of the clock.
    current_second: u64,
    /// Latencies of the answers served in the current second, in microseconds.
    latencies: Histogram<u32>,
    answers: u64,
    refused: u64,
    /// The complete seconds, the oldest first.
    complete: VecDeque<(SecondStats, Histogram<u32>)>,
}

impl LatencyHistory {
    /// An empty history.
    pub fn new(now: Micros) -> Self {
        let (complete, latencies) = (VecDeque::new(), empty_histogram());
        LatencyHistory { current_second: now / SECOND_US, latencies, answers: 0, refused: 0, complete }
    }

    /// Records an answer. `latency` is none if the request was refused or failed.
    pub fn record_answer(&mut self, now: Micros, latency: Option<Micros>) {
        self.advance(now);
        self.answers += 1;
        match latency {
            Some(latency) => self.latencies.saturating_record(latency.clamp(1, MAX_LATENCY_US)),
            None => self.refused += 1,
        }
    }

    /// The complete seconds, the oldest first.
    pub fn seconds(&mut self, now: Micros) -> Vec<SecondStats> {
        self.advance(now);
        self.complete.iter().map(|(second, _)| *second).collect()
    }

    /// A summary of the latencies of the current second and of the last `seconds` complete ones.
    pub fn last(&mut self, now: Micros, seconds: usize) -> LatencySummary {
        self.advance(now);
        let mut all = self.latencies.clone();
        for (_, latencies) in self.complete.iter().rev().take(seconds) {
            let _ = all.add(latencies); // cannot fail: all histograms have the same bounds
        }
        let quantile = |q: f64| if all.is_empty() { 0 } else { all.value_at_quantile(q) };
        LatencySummary { count: all.len(), p50_us: quantile(0.5), p99_us: quantile(0.99), max_us: all.max() }
    }

    /// Completes the seconds that have passed. After a pause of more than a minute only empty seconds remain.
    fn advance(&mut self, now: Micros) {
        let second = now / SECOND_US;
        if second.saturating_sub(self.current_second) > KEPT_SECONDS as u64 + 1 {
            self.complete_second();
            self.current_second = second - KEPT_SECONDS as u64 - 1;
        }
        while self.current_second < second {
            self.complete_second();
        }
    }

    fn complete_second(&mut self) {
        // Reuses the histogram of the oldest second, so that nothing is allocated after the first minute.
        let mut reused = if self.complete.len() >= KEPT_SECONDS {
            self.complete.pop_front().map(|(_, old)| old)
        } else {
            None
        };
        reused.iter_mut().for_each(Histogram::reset);
        let latencies = std::mem::replace(&mut self.latencies, reused.unwrap_or_else(empty_histogram));
        let quantile = |q: f64| if latencies.is_empty() { 0 } else { latencies.value_at_quantile(q) };
        let second = SecondStats {
            answers: self.answers,
            refused: self.refused,
            p50_us: quantile(0.5),
            p99_us: quantile(0.99),
        };
        self.complete.push_back((second, latencies));
        (self.answers, self.refused) = (0, 0);
        self.current_second += 1;
    }
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 1).expect("the bounds are valid")
}

/// Values accumulated over the current window of 10 s and the previous one, so that they are never older than two
/// windows.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct TwoWindows<T> {
    /// Number of the current window since the start of the clock.
    window: u64,
    current: T,
    previous: T,
}

impl<T: Default + Copy> TwoWindows<T> {
    /// The value of the window that contains `now`.
    pub fn current_mut(&mut self, now: Micros) -> &mut T {
        let window = now / WINDOW_US;
        if window > self.window {
            self.previous = if window == self.window + 1 { self.current } else { T::default() };
            (self.current, self.window) = (T::default(), window);
        }
        &mut self.current
    }

    /// The values of the current and the previous window.
    pub fn both(&mut self, now: Micros) -> (T, T) {
        self.current_mut(now);
        (self.current, self.previous)
    }
}

/// The index of the bucket that a latency falls into.
pub(crate) fn bucket_of(latency: Micros) -> usize {
    (0..LATENCY_BUCKETS - 1)
        .find(|&b| bucket_upper_bound_us(b).is_none_or(|bound| latency < bound))
        .unwrap_or(LATENCY_BUCKETS - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_last_minute_is_kept_second_by_second() {
        let mut history = LatencyHistory::new(0);
        for second in 0..200u64 {
            for n in 0..100 {
                let now = second * SECOND_US + n * 10_000;
                history.record_answer(now, (n < 90).then_some(if n == 0 { 50_000 } else { 1_000 }));
            }
        }
        let now = 200 * SECOND_US;
        let seconds = history.seconds(now);
        assert_eq!(seconds.len(), KEPT_SECONDS);
        for second in &seconds {
            assert_eq!((second.answers, second.refused), (100, 10));
            assert!(
                second.p50_us.abs_diff(1_000) <= 70 && second.p99_us.abs_diff(50_000) <= 3_500,
                "{second:?}"
            );
        }
        let (ten, sixty) = (history.last(now, 10), history.last(now, 60));
        assert_eq!((ten.count, sixty.count), (900, 5_400));
        assert!(ten.p99_us.abs_diff(50_000) <= 3_500, "one latency in ninety is 50 ms: {ten:?}");
    }

    #[test]
    fn a_pause_of_any_length_discards_what_is_older_than_a_minute() {
        for pause in [61, 62, 100, 1_000_000_000] {
            let mut history = LatencyHistory::new(0);
            history.record_answer(0, Some(1_000));
            assert_eq!(history.last(pause * SECOND_US, 60).count, 0, "{pause}");
            assert!(history.seconds(pause * SECOND_US).len() <= KEPT_SECONDS);
        }
        let mut recent = TwoWindows::<u64>::default();
        *recent.current_mut(0) += 5;
        assert_eq!(recent.both(WINDOW_US), (0, 5));
        assert_eq!(recent.both(3 * WINDOW_US), (0, 0));
    }

    #[test]
    fn buckets_cover_all_latencies() {
        assert_eq!(
            (bucket_of(0), bucket_of(249), bucket_of(250), bucket_of(Micros::MAX)),
            (0, 0, 1, LATENCY_BUCKETS - 1)
        );
    }
}
