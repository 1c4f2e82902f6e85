//! Computes the deadline that is sent to a server, and how long to wait for the rest of a large value. No I/O, no clock:
//! times are passed in.

use std::time::Duration;

use tokio::time::Instant;

/// A connection that took this long to establish lost a packet: the kernel repeats the first packet of a handshake
/// after 1 s.
const RETRANSMITTED_HANDSHAKE: Duration = Duration::from_millis(900);
/// A peer whose packets are lost may lose the first bytes of the request too, which are retransmitted 0.2 s later. On
/// such a connection the deadline that is sent is earlier by this, but by no more than half of the time that is left.
const RETRANSMISSION_ALLOWANCE: Duration = Duration::from_millis(80);
/// A server that sends no byte of a value for this long has stalled. A stream that has started has no deadline, so that
/// the time that its client has left does not matter.
const VALUE_STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long after the client's deadline a value of which the client has received nothing is abandoned. A final answer is
/// due within half a second of the deadline.
const UNSTARTED_VALUE_GRACE: Duration = Duration::from_millis(400);
/// A server that sends no byte of a value for this long while the client has received nothing of it is taken to have
/// stalled. What has arrived of a value may be held back for less than 2 s.
const UNSTARTED_VALUE_STALL_TIMEOUT: Duration = Duration::from_millis(1900);

/// The deadline to send to a server over a connection that took `connect_time` to establish.
pub fn deadline_to_send(now: Instant, deadline: Instant, connect_time: Duration) -> Instant {
    if connect_time < RETRANSMITTED_HANDSHAKE {
        return deadline;
    }
    let left = deadline.saturating_duration_since(now);
    deadline - RETRANSMISSION_ALLOWANCE.min(left / 2)
}

/// The time at which a value is abandoned unless its server, which has just sent some of it, sends more.
pub fn value_read_deadline(now: Instant) -> Instant {
    now + VALUE_STALL_TIMEOUT
}

/// The time at which a value of which the client has received nothing is abandoned unless its server sends more.
pub fn unstarted_value_read_deadline(last_received_at: Instant, client_deadline: Instant) -> Instant {
    (last_received_at + UNSTARTED_VALUE_STALL_TIMEOUT).min(client_deadline + UNSTARTED_VALUE_GRACE)
}
