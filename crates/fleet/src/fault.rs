//! What goes wrong at a server.

use serde::Deserialize;

/// The faults of one server. All at rest by default; shares are parts of its requests, from 0 to 1.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Work takes so many times as long.
    pub slow: f64,
    /// Nothing is answered until that ends.
    pub stalled: bool,
    /// Requests that get no answer, on a connection that stays open.
    pub swallow: f64,
    /// Requests reset at their first byte: they never run.
    pub reset_before: f64,
    /// Requests reset once they have run.
    pub reset_after: f64,
    /// Requests that run and are answered with what can't be read.
    pub spoil: f64,
    /// Requests that run and are answered with an error.
    pub fail: f64,
    /// Requests of a box whose answer is sent once more some milliseconds later.
    pub twice: f64,
    /// Reads of a box that are answered with the beginning of a large value, and no more.
    pub halt: f64,
    /// Answers of the origin that tell no length and break off in the middle.
    pub cut: f64,
    /// New connections are refused.
    pub refuse: bool,
    /// New connections come up late: the kernel tries them again once this has ended.
    pub late: bool,
    /// What goes wrong only at boxes that speak memcached.
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
            cut: 0.0,
            refuse: false,
            late: false,
            memcached: MemcachedFaults::default(),
        }
    }
}

/// The faults of a box's answers in memcached's binary protocol, as shares of its requests from 0 to 1.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct MemcachedFaults {
    /// Replies out of order: the answer to an earlier request comes once more, before this one's.
    pub misorder: f64,
    /// Answers with an opaque that is not the request's.
    pub opaque: f64,
    /// Answers whose header claims a longer body than comes.
    pub body: f64,
    /// Misses that get no answer, as if the request had been a quiet one.
    pub quiet: f64,
    /// Half a header, and no more.
    pub header: f64,
}
