//! Faults that can be injected into a cache box or the origin, as a script's TOML names them.

use serde::Deserialize;

/// The faults of one server, all off by default. Fields of type `f64`, except `slow`, are fractions of its requests
/// from 0 to 1, drawn per request.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Factor by which the work of a request takes longer; 1 is no fault.
    pub slow: f64,
    /// Nothing is answered while this is set.
    pub stalled: bool,
    /// Requests that are never answered, on a connection that stays open.
    pub swallow: f64,
    /// Requests whose connection is reset at their first byte; they are not executed.
    pub reset_before: f64,
    /// Requests whose connection is reset after they were executed.
    pub reset_after: f64,
    /// Requests that are executed and answered with malformed data.
    pub spoil: f64,
    /// Requests that are executed and answered with an error.
    pub fail: f64,
    /// Requests to a box whose answer is sent a second time some milliseconds later.
    pub twice: f64,
    /// Reads from a box that get the beginning of a large value, and nothing after it.
    pub halt: f64,
    /// Large values of a box that are written in pieces, with pauses of 0.8 to 1.8 s between them.
    pub pause: f64,
    /// Answers of the origin that have no `Content-Length` and end in the middle.
    pub cut: f64,
    /// New connections are refused.
    pub refuse: bool,
    /// New connections meet a full backlog: the kernel retries the handshake, which completes only after this ends.
    pub late: bool,
    /// Faults that only boxes with memcached's protocol have.
    pub memcached: MemcachedFaults,
}

impl Default for Faults {
    fn default() -> Self {
        Faults {
            slow: 1.0,
            stalled: false,
            swallow: 0.0,
            reset_before: 0.0,
            reset_after: 0.0,
            spoil: 0.0,
            fail: 0.0,
            twice: 0.0,
            halt: 0.0,
            pause: 0.0,
            cut: 0.0,
            refuse: false,
            late: false,
            memcached: MemcachedFaults::default(),
        }
    }
}

/// Faults of a box's answers in memcached's binary protocol, as fractions of its requests from 0 to 1.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemcachedFaults {
    /// Answers out of order: the answer to an earlier request is sent again before this one's.
    pub misorder: f64,
    /// Answers whose opaque is not that of the request.
    pub opaque: f64,
    /// Answers whose header gives a body length greater than what is sent.
    pub body: f64,
    /// Misses that get no answer, as if the request had used a quiet opcode.
    pub quiet: f64,
    /// Answers of which only half the header is sent.
    pub header: f64,
}
