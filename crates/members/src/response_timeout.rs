//! How long to wait for the response of a peer that may be slower than usual. No I/O and no clock: the caller passes
//! durations in.
//!
//! A retry with the same timeout never succeeds at a peer that is steadily slower than that, so that the timeout follows
//! the response times that are seen. A peer that is silent must not be waited for longer and longer, or its return would
//! be noticed late: a timeout alone changes nothing unless the caller says so.

use std::time::Duration;

/// How much longer than the last response the next one may take.
const MARGIN: Duration = Duration::from_millis(500);

/// How long a peer took to respond.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseTime {
    /// This long.
    Exactly(Duration),
    /// This long or less, because the peer was also asked to wait for changes and did so for an unknown time.
    AtMost(Duration),
}

/// The timeout for the responses of one peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseTimeout {
    initial: Duration,
    max: Duration,
    current: Duration,
}

impl ResponseTimeout {
    /// The timeout for a peer of which nothing is known. It is never below `initial` nor above `max`.
    pub fn new(initial: Duration, max: Duration) -> ResponseTimeout {
        ResponseTimeout { initial, max, current: initial }
    }

    /// How long to wait for the next response.
    pub fn current(&self) -> Duration {
        self.current
    }

    /// Records a response, however late it came.
    pub fn record_response(&mut self, response_time: ResponseTime) {
        self.current = match response_time {
            ResponseTime::Exactly(time) => self.bounded(time + MARGIN),
            ResponseTime::AtMost(time) => self.current.min(self.bounded(time + MARGIN)),
        };
    }

    /// Doubles the timeout after a call that was closed without a response. For callers that can't wait for a late one.
    pub fn record_timeout(&mut self) {
        self.current = self.bounded(self.current * 2);
    }

    /// Forgets what is known, for example because the peer is at another address.
    pub fn reset(&mut self) {
        self.current = self.initial;
    }

    fn bounded(&self, timeout: Duration) -> Duration {
        timeout.clamp(self.initial, self.max)
    }
}
