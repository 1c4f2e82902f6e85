//! The list of names and values ("facts") that accompanies a call to a server, and the time left that it states.

use std::time::Duration;

use bytes::Bytes;
use lilacquay_core::Call;
use tokio::time::Instant;

/// Assumed speed at which values are written to a server.
const WRITE_BYTES_PER_SECOND: usize = 4 << 20;
/// Subtracted from the time left that a server is told, since the process may be held up before it writes. If little time
/// is left, only 1/[`MARGIN_DIVISOR`] of it is subtracted.
const SCHEDULING_MARGIN: Duration = Duration::from_millis(20);
const MARGIN_DIVISOR: u32 = 8;
/// The prefix of the fact that states how long the client will still wait, in milliseconds.
const TIME_LEFT_PREFIX: &[u8] = b"d=";

/// The client's facts, with the time left updated to `left`.
///
/// Fractions of a millisecond are dropped, but at least 1 ms is stated, the least value that both protocols allow.
pub fn with_time_left(facts: &[u8], left: Duration) -> Vec<u8> {
    let time_left = format!("d={}", left.as_millis().max(1));
    let facts = facts.split(|&byte| byte == b',').map(|fact| match fact.starts_with(TIME_LEFT_PREFIX) {
        true => time_left.as_bytes(),
        false => fact,
    });
    facts.collect::<Vec<_>>().join(&b","[..])
}

/// The time left until the deadline as a server is to be told now: less the time to write the call and a margin.
pub fn stated_time_left(deadline: Instant, call: &Call) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now() + estimated_write_time(call));
    left - SCHEDULING_MARGIN.min(left / MARGIN_DIVISOR)
}

/// The time that writing a call's value is assumed to take. The time left that a server is told allows for it.
pub fn estimated_write_time(call: &Call) -> Duration {
    let bytes = call.value.as_ref().map_or(0, Bytes::len);
    Duration::from_secs_f64(bytes as f64 / WRITE_BYTES_PER_SECOND as f64)
}
