//! A token bucket for the datagrams that are sent beyond those of each tick.

use crate::Micros;

/// The bucket's capacity, in datagrams.
const BURST: u64 = 60;
/// How many datagrams it gains per second.
const DATAGRAMS_PER_SECOND: u64 = 150;

/// A token bucket; one token allows one datagram.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct RateLimiter {
    /// Remaining tokens, in millionths.
    micro_tokens: u64,
    refilled_at: Micros,
}

impl RateLimiter {
    pub fn new(now: Micros) -> RateLimiter {
        RateLimiter { micro_tokens: BURST * 1_000_000, refilled_at: now }
    }

    /// Adds the tokens of the time since the last call.
    pub fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at).min(10_000_000);
        (self.micro_tokens, self.refilled_at) = (
            (self.micro_tokens + elapsed * DATAGRAMS_PER_SECOND).min(BURST * 1_000_000),
            now.max(self.refilled_at),
        );
    }

    /// Takes a token if there is one beyond `reserve`; returns whether it did.
    pub fn try_take(&mut self, reserve: u64) -> bool {
        let is_available = self.micro_tokens >= (reserve + 1) * 1_000_000;
        self.micro_tokens -= if is_available { 1_000_000 } else { 0 };
        is_available
    }
}
