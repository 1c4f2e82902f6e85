//! The settings that a fleet's node is told, as the platform words them.

use serde_json::{Value, json};

use crate::site::FleetConfig;

/// Classes of each effect, an origin beside the caches, one zone, no probes; what a cold box can take is as
/// the boxes have it, and how the list is asked for as the plan says.
///
/// Tenants are `alpha`, `beta` and `gamma`. `lookup` is a safe read, `signup` a keyed write (repeats discarded for 2.5 s), `post` an unsafe write.
pub fn settings(plan: &FleetConfig) -> Value {
    let cold = &plan.cache.cold_start;
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
        "Guarantees": {"Cold": ms(cold.duration), "ColdFrom": cold.initial_capacity, "OverloadFactor": cold.overload_factor,
                       "Fall": ms(cold.overload_window), "DrainGrace": plan.drain_grace.as_secs_f64() * 1000.0, "MustAskIn": 10000.0},
        "Limits": {"Cancel": true, "ConnectTimeout": 250.0, "Keepalive": 15000.0, "MaxAttempts": 5,
                   "MaxRetryAfter": 2000.0, "MaxStreams": plan.max_streams, "RetryAfter": true, "SecondCopies": true},
        "Quantum": 5.0, "RegistryMode": if plan.subscribe { "subscribe" } else { "automatic" }, "Siblings": 1,
    })
}
