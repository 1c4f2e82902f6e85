//! Scripts: timed steps that change a fleet, read from TOML or generated from a seed.

use std::time::Duration;

use serde::Deserialize;

use crate::discovery::DiscoveryFault;
use crate::etcd::EtcdFaults;
use crate::fault::Faults;

/// One change to a fleet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// Replaces the faults of a server.
    Faults {
        /// Name of the server.
        server: String,
        /// Its new faults; none by default.
        #[serde(default)]
        faults: Faults,
    },
    /// Lists a box as draining.
    Drain {
        /// Name of the server.
        server: String,
    },
    /// Lists a box as in service again.
    Undrain {
        /// Name of the server.
        server: String,
    },
    /// Removes a box from the list and stops it.
    Remove {
        /// Name of the server.
        server: String,
    },
    /// Removes a box and starts a cold one with a new name at its address.
    Replace {
        /// Name of the server.
        server: String,
        /// Name of the new box.
        by: String,
    },
    /// Sets the fault of discovery, or ends it.
    Discovery {
        /// Its new fault.
        trouble: DiscoveryFault,
    },
    /// Replaces the faults of an etcd endpoint.
    Etcd {
        /// Index of the endpoint, from 0; all endpoints if absent.
        endpoint: Option<usize>,
        /// Its new faults; none by default.
        #[serde(default)]
        faults: EtcdFaults,
    },
    /// Compacts etcd to its newest revision, and cancels each watch as if it had been behind that.
    Compact,
}

/// Steps, each with its time after the start.
pub type Script = Vec<(Duration, Step)>;

/// A script in which each kind of fault happens once, for a quarter of the time, at boxes chosen by the seed. The last
/// quarter has no faults. Boxes are named `box-0` and so on.
pub fn mixed_faults(seed: u64, boxes: usize, duration: Duration) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut script = Script::new();
    let mut order: Vec<usize> = (0..boxes).collect();
    rng.shuffle(&mut order);
    let box_name = |n: usize| format!("box-{}", order[n % order.len()]);
    let fraction = 0.2 + 0.3 * rng.f64();
    let faults = [
        Faults { slow: 4.0 + 4.0 * rng.f64(), ..Faults::default() },
        Faults { stalled: true, ..Faults::default() },
        Faults { swallow: fraction, ..Faults::default() },
        Faults { reset_before: fraction, ..Faults::default() },
        Faults { reset_after: fraction, ..Faults::default() },
        Faults { spoil: fraction, ..Faults::default() },
        Faults { fail: fraction, ..Faults::default() },
        Faults { refuse: true, ..Faults::default() },
    ];
    for (n, faults) in faults.into_iter().enumerate() {
        let at = duration.mul_f64(0.5 * rng.f64());
        script.push((at, Step::Faults { server: box_name(n), faults }));
        script.push((at + duration / 4, Step::Faults { server: box_name(n), faults: Faults::default() }));
    }
    let origin = Faults { reset_after: fraction / 2.0, fail: fraction / 4.0, slow: 2.0, ..Faults::default() };
    script.push((duration.mul_f64(0.1), Step::Faults { server: "origin".into(), faults: origin }));
    script.push((duration.mul_f64(0.5), Step::Faults { server: "origin".into(), faults: Faults::default() }));
    script.push((duration.mul_f64(0.2 + 0.2 * rng.f64()), Step::Drain { server: box_name(0) }));
    script.push((duration.mul_f64(0.7), Step::Undrain { server: box_name(0) }));
    script.push((duration.mul_f64(0.2 + 0.4 * rng.f64()), Step::Remove { server: box_name(1) }));
    let (server, by) = (box_name(2), "box-new".into());
    script.push((duration.mul_f64(0.2 + 0.2 * rng.f64()), Step::Replace { server, by }));
    script.push((duration.mul_f64(0.5), Step::Discovery { trouble: DiscoveryFault::Down }));
    script.push((duration.mul_f64(0.6), Step::Discovery { trouble: DiscoveryFault::None }));
    script.sort_by_key(|(at, _)| *at);
    script
}

/// A script in which etcd is compacted repeatedly, its streams break, and its endpoints in turn refuse connections,
/// hang or answer late, while boxes are drained and undrained and one is replaced. Nothing happens in the last fifth.
pub fn watch_faults(seed: u64, boxes: usize, endpoints: usize, duration: Duration) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut script = Script::new();
    let faults_end = 0.8;
    let mut at = 0.05;
    while at < faults_end {
        script.push((duration.mul_f64(at), Step::Compact));
        at += 0.02 + 0.1 * rng.f64();
    }
    let (drop_before, drop_after) = (0.3 * rng.f64(), 0.3 * rng.f64());
    let base_faults = EtcdFaults { drop_before, drop_after, twice: 0.3, split: 0.5, ..EtcdFaults::default() };
    for endpoint in 0..endpoints {
        script.push((Duration::ZERO, Step::Etcd { endpoint: Some(endpoint), faults: base_faults.clone() }));
        let outage = match rng.u8(..3) {
            0 => EtcdFaults { refuse: true, ..base_faults.clone() },
            1 => EtcdFaults { silent: true, ..base_faults.clone() },
            _ => EtcdFaults { late_ms: rng.u64(10..200), ..base_faults.clone() },
        };
        let at = faults_end * rng.f64();
        script.push((duration.mul_f64(at), Step::Etcd { endpoint: Some(endpoint), faults: outage }));
        let recovery = Step::Etcd { endpoint: Some(endpoint), faults: base_faults.clone() };
        script.push((duration.mul_f64((at + 0.2).min(faults_end)), recovery));
    }
    script.push((duration.mul_f64(faults_end), Step::Etcd { endpoint: None, faults: EtcdFaults::default() }));
    for server in (0..boxes).map(|n| format!("box-{n}")) {
        let at = 0.5 * rng.f64();
        script.push((duration.mul_f64(at), Step::Drain { server: server.clone() }));
        script.push((duration.mul_f64(at + 0.15), Step::Undrain { server }));
    }
    let replaced = format!("box-{}", rng.usize(..boxes));
    script.push((duration.mul_f64(0.7), Step::Replace { server: replaced, by: "box-new".into() }));
    script.sort_by_key(|(at, _)| *at);
    script
}
