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
    /// New connections are refused.
    pub refuse: bool,
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
            refuse: false,
        }
    }
}
