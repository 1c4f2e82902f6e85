//! What happens to a fleet, and when.

use std::time::Duration;

use serde::Deserialize;

use crate::discovery::DiscoveryFault;
use crate::etcd::EtcdFaults;
use crate::fault::Faults;

/// One thing that happens.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// A server has these faults from now on, and no others.
    Faults {
        /// Which.
        server: String,
        /// Its faults.
        #[serde(default)]
        faults: Faults,
    },
    /// A box drains.
    Drain {
        /// Which.
        server: String,
    },
    /// A box drains no more.
    Undrain {
        /// Which.
        server: String,
    },
    /// A box is gone, from the list and from its address.
    Remove {
        /// Which.
        server: String,
    },
    /// A box is gone and a cold one of a new name stands at its address.
    Replace {
        /// Which.
        server: String,
        /// The new one's name.
        by: String,
    },
    /// Discovery is down, silent, or back.
    Discovery {
        /// What is wrong with it from now on.
        trouble: DiscoveryFault,
    },
    /// An endpoint of etcd has these faults from now on, and no others.
    Etcd {
        /// Which, from 0; all if none is named.
        endpoint: Option<usize>,
        /// Its faults.
        #[serde(default)]
        faults: EtcdFaults,
    },
    /// etcd forgets all but its newest revision, and cancels each watch as if it had been behind.
    Compact,
}

/// Steps with the time of each after the start.
pub type Script = Vec<(Duration, Step)>;

/// A script in which each kind of fault comes once, for a quarter of the time, at boxes that the seed chooses.
/// The last quarter is calm. Boxes are named `box-0` and so on.
pub fn mixed_faults(seed: u64, boxes: usize, over: Duration) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut script = Script::new();
    let mut order: Vec<usize> = (0..boxes).collect();
    rng.shuffle(&mut order);
    let name = |n: usize| format!("box-{}", order[n % order.len()]);
    let share = 0.2 + 0.3 * rng.f64();
    let faults = [
        Faults { slow: 4.0 + 4.0 * rng.f64(), ..Faults::default() },
        Faults { stalled: true, ..Faults::default() },
        Faults { swallow: share, ..Faults::default() },
        Faults { reset_before: share, ..Faults::default() },
        Faults { reset_after: share, ..Faults::default() },
        Faults { spoil: share, ..Faults::default() },
        Faults { fail: share, ..Faults::default() },
        Faults { refuse: true, ..Faults::default() },
    ];
    for (n, faults) in faults.into_iter().enumerate() {
        let at = over.mul_f64(0.5 * rng.f64());
        script.push((at, Step::Faults { server: name(n), faults }));
        script.push((at + over / 4, Step::Faults { server: name(n), faults: Faults::default() }));
    }
    let origin = Faults { reset_after: share / 2.0, fail: share / 4.0, slow: 2.0, ..Faults::default() };
    script.push((over.mul_f64(0.1), Step::Faults { server: "origin".into(), faults: origin }));
    script.push((over.mul_f64(0.5), Step::Faults { server: "origin".into(), faults: Faults::default() }));
    script.push((over.mul_f64(0.2 + 0.2 * rng.f64()), Step::Drain { server: name(0) }));
    script.push((over.mul_f64(0.7), Step::Undrain { server: name(0) }));
    script.push((over.mul_f64(0.2 + 0.4 * rng.f64()), Step::Remove { server: name(1) }));
    let (server, by) = (name(2), "box-new".into());
    script.push((over.mul_f64(0.2 + 0.2 * rng.f64()), Step::Replace { server, by }));
    script.push((over.mul_f64(0.5), Step::Discovery { trouble: DiscoveryFault::Down }));
    script.push((over.mul_f64(0.6), Step::Discovery { trouble: DiscoveryFault::None }));
    script.sort_by_key(|(at, _)| *at);
    script
}

/// A script in which etcd is compacted again and again, its streams break, its endpoints hang and are lost in turn,
/// while boxes drain and come back, go and are replaced. The last fifth is calm.
pub fn watch_faults(seed: u64, boxes: usize, endpoints: usize, over: Duration) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut script = Script::new();
    let until = 0.8;
    let mut at = 0.05;
    while at < until {
        script.push((over.mul_f64(at), Step::Compact));
        at += 0.02 + 0.1 * rng.f64();
    }
    let (drop_before, drop_after) = (0.3 * rng.f64(), 0.3 * rng.f64());
    let rough = EtcdFaults { drop_before, drop_after, twice: 0.3, split: 0.5, ..EtcdFaults::default() };
    for endpoint in 0..endpoints {
        script.push((Duration::ZERO, Step::Etcd { endpoint: Some(endpoint), faults: rough.clone() }));
        let lost = match rng.u8(..3) {
            0 => EtcdFaults { refuse: true, ..rough.clone() },
            1 => EtcdFaults { silent: true, ..rough.clone() },
            _ => EtcdFaults { late_ms: rng.u64(10..200), ..rough.clone() },
        };
        let at = until * rng.f64();
        script.push((over.mul_f64(at), Step::Etcd { endpoint: Some(endpoint), faults: lost }));
        let back = Step::Etcd { endpoint: Some(endpoint), faults: rough.clone() };
        script.push((over.mul_f64((at + 0.2).min(until)), back));
    }
    script.push((over.mul_f64(until), Step::Etcd { endpoint: None, faults: EtcdFaults::default() }));
    for server in (0..boxes).map(|n| format!("box-{n}")) {
        let at = 0.5 * rng.f64();
        script.push((over.mul_f64(at), Step::Drain { server: server.clone() }));
        script.push((over.mul_f64(at + 0.15), Step::Undrain { server }));
    }
    let gone = format!("box-{}", rng.usize(..boxes));
    script.push((over.mul_f64(0.7), Step::Replace { server: gone, by: "box-new".into() }));
    script.sort_by_key(|(at, _)| *at);
    script
}
