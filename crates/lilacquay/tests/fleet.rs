//! The node in a stand-in fleet: the four rules, checked from outside while everything goes wrong.

mod common;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use common::Node;
use lilacquay_fleet::cache::CacheProtocol;
use lilacquay_fleet::clients::{self, Load, Report};
use lilacquay_fleet::fault::{Faults, MemcachedFaults};
use lilacquay_fleet::record::Event;
use lilacquay_fleet::script::{Script, Step, mixed_faults};
use lilacquay_fleet::store::ColdStart;
use lilacquay_fleet::verdict::{Violation, check};
use lilacquay_fleet::{Fleet, FleetConfig};

/// What the settings allow between word of a drain and the last thing sent, in microseconds.
const GRACE: u64 = 500_000;

/// A fleet with a node, and a load on it.
struct Site {
    fleet: Fleet,
    node: Node,
    /// Where the node listens for memcached.
    memcached: SocketAddr,
    _folder: tempfile::TempDir,
    runtime: tokio::runtime::Runtime,
}

impl Site {
    fn new(plan: FleetConfig) -> Site {
        let fleet = Fleet::start(plan).unwrap();
        let (folder, any) = (tempfile::tempdir().unwrap(), SocketAddr::from(([127, 0, 0, 1], 0)));
        let file = |name: &str, text: &str| std::fs::write(folder.path().join(name), text).unwrap();
        file("node.json", &fleet.configuration(any, 512));
        file("memcached.toml", &fleet.memcached_options(any));
        file("serve.toml", "node = \"node.json\"\nmemcached = \"memcached.toml\"\n");
        let node = Node::serving(folder.path());
        let memcached = node.memcached();
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        Site { fleet, node, memcached, _folder: folder, runtime }
    }

    fn load(&self, time: Duration, seed: u64) -> Load {
        Load { keep_requests: true, rate: 150.0, ..Load::standard(self.node.addr(), time, seed) }
    }

    /// Plays a script under a load; tells what came of it and which rules broke.
    fn play(&self, load: Load, script: Script) -> (Report, Vec<Violation>) {
        let start = Instant::now();
        let clock = self.fleet.clock().clone();
        let running = self.runtime.spawn(clients::run(load, clock, Arc::default()));
        for (at, step) in script {
            std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
            self.fleet.step(step).unwrap();
        }
        let report = self.runtime.block_on(running).unwrap();
        let (records, dropped) = self.fleet.records();
        let broken = check((&records, dropped), &report.requests, report.unsolicited_answers, GRACE);
        (report, broken)
    }
}

/// Whole sites that run at once: more of them than there are cores answer late for want of those.
static SITES: Mutex<()> = Mutex::new(());

fn sites_at_once() -> usize {
    std::thread::available_parallelism().map_or(2, |cores| cores.get().clamp(2, 5))
}

#[test]
fn all_four_rules_hold_through_every_fault_on_twenty_seeds() {
    let time = Duration::from_secs(4);
    let _turn = SITES.lock().unwrap_or_else(PoisonError::into_inner);
    for seeds in (0..20).collect::<Vec<u64>>().chunks(sites_at_once()) {
        std::thread::scope(|scope| {
            for &seed in seeds {
                scope.spawn(move || {
                    let site = Site::new(FleetConfig { seed, ..FleetConfig::default() });
                    let (report, broken) = site.play(site.load(time, seed), mixed_faults(seed, 6, time));
                    assert_eq!(broken, [], "seed {seed}");
                    // A node that refused all would break none.
                    let served = report.served_latencies().len();
                    assert!(served as usize > report.requests.len() * 3 / 4, "seed {seed}: {served}");
                });
            }
        });
    }
}

/// Faults that only boxes which speak memcached have, each at one of them for half of the time.
fn wire_troubles(seed: u64, over: Duration) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut share = || 0.2 + 0.3 * rng.f64();
    let none = MemcachedFaults::default;
    let faults = [
        MemcachedFaults { misorder: share(), ..none() },
        MemcachedFaults { opaque: share(), ..none() },
        MemcachedFaults { body: share(), ..none() },
        MemcachedFaults { quiet: share(), ..none() },
        MemcachedFaults { header: share(), ..none() },
    ];
    let step = |(n, memcached): (usize, MemcachedFaults)| {
        let (server, at) = (format!("box-{}", 3 + n % 3), over.mul_f64(0.1 + 0.12 * n as f64));
        let faults = Faults { memcached, ..Faults::default() };
        let calm = Step::Faults { server: server.clone(), faults: Faults::default() };
        [(at, Step::Faults { server, faults }), (at + over / 8, calm)]
    };
    let mut script: Script = faults.into_iter().enumerate().flat_map(step).collect();
    script.sort_by_key(|(at, _)| *at);
    script
}

#[test]
fn all_four_rules_hold_for_both_protocols_and_boxes_of_both_kinds_on_twenty_seeds() {
    let time = Duration::from_secs(4);
    let _turn = SITES.lock().unwrap_or_else(PoisonError::into_inner);
    for seeds in (0..20).collect::<Vec<u64>>().chunks(sites_at_once()) {
        std::thread::scope(|scope| {
            for &seed in seeds {
                scope.spawn(move || {
                    let site = Site::new(FleetConfig { seed, memcached_boxes: 3, ..FleetConfig::default() });
                    let mut load = site.load(time, seed);
                    if seed % 2 == 0 {
                        (load.target, load.protocol) = (site.memcached, CacheProtocol::Memcached);
                    }
                    let script =
                        if seed % 4 < 2 { mixed_faults(seed, 6, time) } else { wire_troubles(seed, time) };
                    let (report, broken) = site.play(load, script);
                    assert_eq!(broken, [], "seed {seed}");
                    let served = report.served_latencies().len();
                    assert!(served as usize > report.requests.len() * 3 / 4, "seed {seed}: {served}");
                    let (records, _) = site.fleet.records();
                    let ran = |name: &str| {
                        records.iter().any(|r| &*r.server == name && matches!(r.event, Event::Executed(_)))
                    };
                    assert!(ran("box-0") || ran("box-1"), "seed {seed}: none over RESP2");
                    assert!(ran("box-3") || ran("box-4"), "seed {seed}: none over memcached");
                });
            }
        });
    }
}

#[test]
fn a_cold_box_with_half_of_all_keys_is_not_pushed_over() {
    // Half of 300 reads a second are 0.75 s of work; the box that starts cold falls at 0.1 s.
    let mut plan = FleetConfig { boxes: 2, ..FleetConfig::default() };
    plan.cache.miss_work = plan.cache.hit_work;
    plan.cache.cold_start = ColdStart {
        duration: 20_000_000,
        initial_capacity: 0.1,
        overload_factor: 0.5,
        ..plan.cache.cold_start
    };
    let (site, time) = (Site::new(plan), Duration::from_secs(4));
    let replace = Step::Replace { server: "box-0".into(), by: "box-new".into() };
    let load = Load { rate: 300.0, ..site.load(time, 5) };
    let (report, broken) = site.play(load, vec![(time / 4, replace)]);
    assert_eq!(broken, []);
    assert!(report.served_latencies().len() as usize > report.requests.len() * 3 / 4);
    let (records, _) = site.fleet.records();
    assert!(
        records.iter().any(|r| &*r.server == "box-new" && matches!(r.event, Event::Received(_))),
        "left out"
    );
}
