//! The node settings for a fleet, in the JSON form of the platform.

use serde_json::{Value, json};

use crate::site::FleetConfig;

/// Settings with a class for each effect, an origin beside the caches, one zone and no probes. The cold start guarantee
/// is that of the configured boxes, and how a node gets the server list is taken from the configuration.
///
/// Tenants are `alpha`, `beta` and `gamma`. `lookup` is a safe read, `signup` a keyed write (repeats are discarded for
/// 2.5 s), `post` an unsafe write.
pub fn settings(config: &FleetConfig) -> Value {
    let cold_start = &config.cache.cold_start;
    let ms = |us: u64| us as f64 / 1000.0;
    json!({
        "Classes": [
            {"Name": "lookup", "Aim": 300.0, "HardLimit": 1000.0, "Effect": "safe", "Worth": 3.0},
            {"Name": "signup", "Aim": 800.0, "HardLimit": 2000.0, "Effect": "keyed", "DedupScope": "all",
             "Window": 2500.0, "Worth": 9.0},
            {"Name": "post", "Aim": 800.0, "HardLimit": 2000.0, "Effect": "unsafe", "Worth": 9.0},
        ],
        "Tenants": [{"Name": "alpha", "Share": 0.5}, {"Name": "beta", "Share": 0.3}, {"Name": "gamma", "Share": 0.2}],
        "Dcs": ["a"], "Skus": ["standard", "origin", "memcached"], "Zone": "a",
        "FamilyInfo": {"Mode": "aside", "OriginKind": 1},
        "Guarantees": {"Cold": ms(cold_start.duration), "ColdFrom": cold_start.initial_capacity, "OverloadFactor": cold_start.overload_factor,
                       "Fall": ms(cold_start.overload_window), "DrainGrace": config.drain_grace.as_secs_f64() * 1000.0, "MustAskIn": 10000.0},
        "Limits": {"Cancel": true, "ConnectTimeout": 250.0, "Keepalive": 15000.0, "MaxAttempts": 5,
                   "MaxRetryAfter": 2000.0, "MaxStreams": config.max_streams, "RetryAfter": true, "SecondCopies": true},
        "Quantum": 5.0, "RegistryMode": if config.subscribe { "subscribe" } else { "automatic" }, "Siblings": 1,
    })
}
