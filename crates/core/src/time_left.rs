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
/// How long what has arrived of a value may be held back from its client; the limit is 2 s.
const MAX_HOLD_BACK: Duration = Duration::from_millis(1900);

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

/// The time at which a value that is held back from its client until it is complete is abandoned. `held_since`: when its
/// turn among the answers on its connection came; the time that an answer waits for those before it does not count.
pub fn buffered_value_deadline(held_since: Instant, client_deadline: Instant) -> Instant {
    let final_answer_due = client_deadline.max(held_since) + UNSTARTED_VALUE_GRACE;
    final_answer_due.min(held_since + MAX_HOLD_BACK)
}
