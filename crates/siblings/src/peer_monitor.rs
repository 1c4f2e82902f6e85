//! Monitors one neighbour on the ring: its newest heartbeat as known here, and the expiry of its lease by this node's
//! clock.

use lilacquay_codec::siblings::Heard;

use crate::Micros;
use crate::parameters::Parameters;

/// What a node knows of one neighbour that it watches.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct PeerMonitor {
    /// Its newest incarnation and heartbeat, up to the expiry of its lease.
    incarnation: u64,
    heartbeat: u32,
    /// When the newest heartbeat became known here, directly or relayed; the lease is counted from then.
    last_news_at: Option<Micros>,
    /// When a datagram last came from the node itself.
    last_direct_at: Option<Micros>,
    /// This incarnation's lease has expired. Its heartbeats are not acknowledged again, whatever arrives of it.
    is_expired: bool,
}

impl PeerMonitor {
    /// Records a heartbeat that is newer than all before. Returns whether it belongs to a new incarnation.
    pub fn record_heartbeat(&mut self, now: Micros, incarnation: u64, heartbeat: u32) -> bool {
        let is_new_incarnation = incarnation > self.incarnation;
        if is_new_incarnation {
            self.is_expired = false;
        }
        if !self.is_expired {
            (self.incarnation, self.heartbeat, self.last_news_at) = (incarnation, heartbeat, Some(now));
        }
        is_new_incarnation
    }

    /// Records that a datagram came from the node itself.
    pub fn record_direct(&mut self, now: Micros) {
        self.last_direct_at = Some(now);
    }

    /// Expires the lease if its time is over; returns whether it expired just now. `extension_permille`: how much longer
    /// than usual to wait, in thousandths, because this node's own reception is in doubt.
    pub fn check_expiry(&mut self, now: Micros, parameters: &Parameters, extension_permille: u64) -> bool {
        let timeout = parameters.expiry_timeout() * (1_000 + extension_permille) / 1_000;
        let is_over = self.last_news_at.is_some_and(|last_news_at| now > last_news_at + timeout);
        let expires_now = is_over && !self.is_expired;
        self.is_expired |= is_over;
        expires_now
    }

    /// Extends the lease by a pause of this node, in which nothing could be received. The node has at least two heartbeat
    /// intervals from now to be heard again.
    pub fn extend_after_pause(&mut self, now: Micros, pause: Micros, parameters: &Parameters) {
        let earliest = (now + 2 * parameters.heartbeat_interval).saturating_sub(parameters.expiry_timeout());
        self.last_news_at =
            self.last_news_at.map(|last_news_at| (last_news_at + pause).max(earliest).min(now));
    }

    /// Whether the last news of it is older than `duration`.
    pub fn is_silent_for(&self, now: Micros, duration: Micros) -> bool {
        self.last_news_at.is_some_and(|last_news_at| now > last_news_at + duration)
    }

    /// Whether its own datagrams arrive, within four heartbeat intervals.
    pub fn is_heard_directly(&self, now: Micros, parameters: &Parameters) -> bool {
        self.was_heard_directly(now, 4 * parameters.heartbeat_interval)
    }

    /// Whether a datagram of its own came within this time.
    pub fn was_heard_directly(&self, now: Micros, within: Micros) -> bool {
        self.last_direct_at.is_some_and(|last_direct_at| now <= last_direct_at + within)
    }

    /// Whether anything was ever heard of it.
    pub fn was_ever_heard(&self) -> bool {
        self.last_news_at.is_some()
    }

    pub fn is_expired(&self) -> bool {
        self.is_expired
    }

    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The acknowledgement of its heartbeats, as this node's row carries it.
    pub fn report(&self, now: Micros, parameters: &Parameters) -> Heard {
        Heard {
            incarnation: self.incarnation as u32,
            heartbeat: self.heartbeat as u16,
            direct: self.is_heard_directly(now, parameters),
            expired: self.is_expired,
        }
    }
}
