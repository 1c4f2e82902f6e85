//! Answer times: of the last minute second by second, and of one server in few buckets.

use std::collections::VecDeque;

use hdrhistogram::Histogram;

use crate::Micros;
use crate::snapshot::{LATENCY_BUCKETS, LatencySummary, SecondStats};

/// Seconds that are kept.
const KEPT: usize = 60;
/// Longer times count as this.
const LONGEST: Micros = 3_600_000_000;
/// What a server's times are told of: the running span of this length and the one before.
const SPAN: Micros = 10_000_000;

const SECOND: Micros = 1_000_000;

/// The upper limit of a bucket, in microseconds: from a quarter of a millisecond, doubling. The last has none.
pub fn bucket_upper_bound_us(bucket: usize) -> Option<Micros> {
    (bucket + 1 < LATENCY_BUCKETS).then(|| 250 << bucket)
}

/// The last minute.
#[derive(Debug, Clone)]
pub struct LatencyHistory {
    /// The running second, by number since the clock's start.
    running: u64,
    times: Histogram<u32>,
    answers: u64,
    refused: u64,
    /// Those that are over, the oldest first.
    over: VecDeque<(SecondStats, Histogram<u32>)>,
}

impl LatencyHistory {
    /// Nothing yet.
    pub fn new(now: Micros) -> Self {
        let (over, times) = (VecDeque::new(), empty());
        LatencyHistory { running: now / SECOND, times, answers: 0, refused: 0, over }
    }

    /// An answer that was served after so long, or refused.
    pub fn answered(&mut self, now: Micros, served: Option<Micros>) {
        self.roll(now);
        self.answers += 1;
        match served {
            Some(took) => self.times.saturating_record(took.clamp(1, LONGEST)),
            None => self.refused += 1,
        }
    }

    /// The seconds that are over, the oldest first.
    pub fn seconds(&mut self, now: Micros) -> Vec<SecondStats> {
        self.roll(now);
        self.over.iter().map(|(second, _)| *second).collect()
    }

    /// Times of the last so many seconds that are over, and of the running one.
    pub fn last(&mut self, now: Micros, seconds: usize) -> LatencySummary {
        self.roll(now);
        let mut all = self.times.clone();
        for (_, times) in self.over.iter().rev().take(seconds) {
            let _ = all.add(times); // of one shape
        }
        let of = |part: f64| if all.is_empty() { 0 } else { all.value_at_quantile(part) };
        LatencySummary { count: all.len(), p50_us: of(0.5), p99_us: of(0.99), max_us: all.max() }
    }

    /// Closes the seconds that are over. A pause of more than a minute leaves empty ones alone.
    fn roll(&mut self, now: Micros) {
        let second = now / SECOND;
        if second.saturating_sub(self.running) > KEPT as u64 + 1 {
            self.close();
            self.running = second - KEPT as u64 - 1;
        }
        while self.running < second {
            self.close();
        }
    }

    fn close(&mut self) {
        // The histogram of the oldest second serves again: nothing is allocated once a minute has passed.
        let mut fresh =
            if self.over.len() >= KEPT { self.over.pop_front().map(|(_, old)| old) } else { None };
        fresh.iter_mut().for_each(Histogram::reset);
        let times = std::mem::replace(&mut self.times, fresh.unwrap_or_else(empty));
        let of = |part: f64| if times.is_empty() { 0 } else { times.value_at_quantile(part) };
        let second =
            SecondStats { answers: self.answers, refused: self.refused, p50_us: of(0.5), p99_us: of(0.99) };
        self.over.push_back((second, times));
        (self.answers, self.refused) = (0, 0);
        self.running += 1;
    }
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(1, LONGEST, 1).expect("bounds that hold")
}

/// What is counted over the running span and the one before: never more than two spans old.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Recent<T> {
    span: u64,
    now: T,
    before: T,
}

impl<T: Default + Copy> Recent<T> {
    /// The running span's.
    pub fn at(&mut self, now: Micros) -> &mut T {
        let span = now / SPAN;
        if span > self.span {
            self.before = if span == self.span + 1 { self.now } else { T::default() };
            (self.now, self.span) = (T::default(), span);
        }
        &mut self.now
    }

    /// Both.
    pub fn both(&mut self, now: Micros) -> (T, T) {
        self.at(now);
        (self.now, self.before)
    }
}

/// The bucket of a time.
pub(crate) fn bucket(took: Micros) -> usize {
    (0..LATENCY_BUCKETS - 1)
        .find(|&b| bucket_upper_bound_us(b).is_none_or(|limit| took < limit))
        .unwrap_or(LATENCY_BUCKETS - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_minute_is_told_second_by_second_and_no_longer() {
        let mut figures = LatencyHistory::new(0);
        for second in 0..200u64 {
            for n in 0..100 {
                let now = second * SECOND + n * 10_000;
                figures.answered(now, (n < 90).then_some(if n == 0 { 50_000 } else { 1_000 }));
            }
        }
        let now = 200 * SECOND;
        let seconds = figures.seconds(now);
        assert_eq!(seconds.len(), KEPT);
        for second in &seconds {
            assert_eq!((second.answers, second.refused), (100, 10));
            assert!(
                second.p50_us.abs_diff(1_000) <= 70 && second.p99_us.abs_diff(50_000) <= 3_500,
                "{second:?}"
            );
        }
        let (ten, sixty) = (figures.last(now, 10), figures.last(now, 60));
        assert_eq!((ten.count, sixty.count), (900, 5_400));
        assert!(ten.p99_us.abs_diff(50_000) <= 3_500, "one in ninety is slow: {ten:?}");
    }

    #[test]
    fn a_pause_ends_what_was_before_it_at_once_however_long() {
        for pause in [61, 62, 100, 1_000_000_000] {
            let mut figures = LatencyHistory::new(0);
            figures.answered(0, Some(1_000));
            assert_eq!(figures.last(pause * SECOND, 60).count, 0, "{pause}");
            assert!(figures.seconds(pause * SECOND).len() <= KEPT);
        }
        let mut recent = Recent::<u64>::default();
        *recent.at(0) += 5;
        assert_eq!(recent.both(SPAN), (0, 5));
        assert_eq!(recent.both(3 * SPAN), (0, 0));
    }

    #[test]
    fn buckets_cover_all_times() {
        assert_eq!(
            (bucket(0), bucket(249), bucket(250), bucket(Micros::MAX)),
            (0, 0, 1, LATENCY_BUCKETS - 1)
        );
    }
}
