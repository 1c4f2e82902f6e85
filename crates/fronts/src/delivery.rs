//! Estimates when a client has read what was written to it. No I/O and no clock: the caller passes times in.
//!
//! A connection that is closed while its client still reads must be kept until then: as soon as the client sends another
//! byte to a socket that has been closed, or if it has sent one that was not read, the kernel resets the connection and
//! drops what it has not delivered. The kernel does not tell when all is delivered, so that it is estimated from below.

use std::time::Duration;

use tokio::time::Instant;

/// The least rate at which a client is taken to read, in bytes per second.
const MIN_READ_BYTES_PER_SECOND: usize = 64 << 10;
/// Added for the way of the last bytes, which may be lost once and be sent again.
const TRANSIT_TIME: Duration = Duration::from_millis(250);
/// The longest time for which a closed connection is kept.
const MAX_LINGER: Duration = Duration::from_secs(60);

/// The estimate for one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct DeliveryEstimate {
    /// When all that was written has been read; `None` if nothing was.
    read_by: Option<Instant>,
}

impl DeliveryEstimate {
    /// Records that this many bytes have been written.
    pub fn record_write(&mut self, now: Instant, bytes: usize) {
        let transfer_time = Duration::from_secs_f64(bytes as f64 / MIN_READ_BYTES_PER_SECOND as f64);
        let read_by = self.read_by.map_or(now, |read_by| read_by.max(now)) + transfer_time;
        self.read_by = Some(read_by.min(now + MAX_LINGER));
    }

    /// How long a connection that is closed now must be kept; `None` if its client has read everything. At most
    /// `socket_buffer_bytes` may be on their way.
    pub fn linger_until(&self, now: Instant, socket_buffer_bytes: usize) -> Option<Instant> {
        let drain_time =
            Duration::from_secs_f64(socket_buffer_bytes as f64 / MIN_READ_BYTES_PER_SECOND as f64);
        let until = self.read_by?.min(now + drain_time.min(MAX_LINGER)) + TRANSIT_TIME;
        (until > now).then_some(until)
    }
}
