//! What is told to a server of its client's time, and for how long a value is waited for. No I/O, no clock: times are handed
//! in.

use std::time::Duration;

use tokio::time::Instant;

/// A connection that took this long to come up met a lost packet: the kernel repeats the first of a handshake after 1 s.
const LATE_HANDSHAKE: Duration = Duration::from_millis(900);
/// A peer that drops packets may drop the first bytes too, which are repeated 0.2 s later: what is told on such a connection
/// is less by what that takes beyond the slack of 0.15 s, and by no more than half of what is left.
const REPEATED_BYTES: Duration = Duration::from_millis(80);
/// A server that gives no byte of a value for so long has stalled, whatever time its client has left.
const STALL: Duration = Duration::from_secs(5);
/// A value that has stopped is given up so long after its client's time, which is owed its end within half a second.
const LAST_ANSWER: Duration = Duration::from_millis(400);
/// A value that goes on past its client's time is given up once it stops for so long.
const LATE_STALL: Duration = Duration::from_secs(1);

/// The deadline to tell now on a connection that took so long to come up.
pub fn deadline_to_send(now: Instant, deadline: Instant, connect_time: Duration) -> Instant {
    if connect_time < LATE_HANDSHAKE {
        return deadline;
    }
    let left = deadline.saturating_duration_since(now);
    deadline - REPEATED_BYTES.min(left / 2)
}

/// When a server that has just given some of a value is given up, unless it gives more.
pub fn value_read_deadline(now: Instant, deadline: Instant) -> Instant {
    match now < deadline {
        true => (now + STALL).min(deadline + LAST_ANSWER),
        false => now + LATE_STALL,
    }
}
