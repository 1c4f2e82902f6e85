//! Computes the deadline that is sent to a server, and how long to wait for the rest of a streamed value. No I/O, no
//! clock: times are passed in.

use std::time::Duration;

use tokio::time::Instant;

/// A connection that took this long to establish lost a packet: the kernel repeats the first packet of a handshake
/// after 1 s.
const RETRANSMITTED_HANDSHAKE: Duration = Duration::from_millis(900);
/// A peer whose packets are lost may lose the first bytes of the request too, which are retransmitted 0.2 s later. On
/// such a connection the deadline that is sent is earlier by this, but by no more than half of the time that is left.
const RETRANSMISSION_ALLOWANCE: Duration = Duration::from_millis(80);
/// A server that sends no byte of a value for this long has stalled, however much time its client has left.
const VALUE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after the client's deadline a stalled value is abandoned. The client must get an end within half a second
/// of its deadline.
const STALLED_VALUE_GRACE: Duration = Duration::from_millis(400);
/// The stall time-out of a value that is still being sent after its client's deadline.
const LATE_VALUE_STALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The deadline to send to a server over a connection that took `connect_time` to establish.
pub fn deadline_to_send(now: Instant, deadline: Instant, connect_time: Duration) -> Instant {
    if connect_time < RETRANSMITTED_HANDSHAKE {
        return deadline;
    }
    let left = deadline.saturating_duration_since(now);
    deadline - RETRANSMISSION_ALLOWANCE.min(left / 2)
}

/// The time at which a value is abandoned unless its server, which has just sent some of it, sends more.
pub fn value_read_deadline(now: Instant, deadline: Instant) -> Instant {
    match now < deadline {
        true => (now + VALUE_STALL_TIMEOUT).min(deadline + STALLED_VALUE_GRACE),
        false => now + LATE_VALUE_STALL_TIMEOUT,
    }
}
