//! The node in a stand-in fleet: the four rules, checked from outside while everything goes wrong.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::Node;
use lilacquay_fleet::clients::{self, Load, Report};
use lilacquay_fleet::record::Event;
use lilacquay_fleet::script::{Script, Step, troubles};
use lilacquay_fleet::store::Cold;
use lilacquay_fleet::verdict::{Broken, check};
use lilacquay_fleet::{Fleet, Plan};

/// What the settings allow between word of a drain and the last thing sent, in microseconds.
const GRACE: u64 = 500_000;

/// A fleet with a node, and a load on it.
struct Site {
    fleet: Fleet,
    node: Node,
    runtime: tokio::runtime::Runtime,
}

impl Site {
    fn new(plan: Plan) -> Site {
        let fleet = Fleet::start(plan).unwrap();
        let node = Node::configured(&fleet.configuration(([127, 0, 0, 1], 0).into(), 512));
        let runtime =
            tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build().unwrap();
        Site { fleet, node, runtime }
    }

    fn load(&self, time: Duration, seed: u64) -> Load {
        Load { kept: true, rate: 150.0, ..Load::usual(self.node.addr(), time, seed) }
    }

    /// Plays a script under a load; tells what came of it and which rules broke.
    fn play(&self, load: Load, script: Script) -> (Report, Vec<Broken>) {
        let start = Instant::now();
        let clock = self.fleet.clock().clone();
        let running = self.runtime.spawn(clients::run(load, clock, Arc::default()));
        for (at, step) in script {
            std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
            self.fleet.step(step).unwrap();
        }
        let report = self.runtime.block_on(running).unwrap();
        let (records, dropped) = self.fleet.records();
        let broken = check((&records, dropped), &report.asks, report.doubled, GRACE);
        (report, broken)
    }
}

#[test]
fn all_four_rules_hold_through_every_fault_on_twenty_seeds() {
    let time = Duration::from_secs(4);
    for seeds in (0..20).collect::<Vec<u64>>().chunks(5) {
        std::thread::scope(|scope| {
            for &seed in seeds {
                scope.spawn(move || {
                    let site = Site::new(Plan { seed, ..Plan::default() });
                    let (report, broken) = site.play(site.load(time, seed), troubles(seed, 6, time));
                    assert_eq!(broken, [], "seed {seed}");
                    // A node that refused all would break none.
                    let served = report.served().len();
                    assert!(served as usize > report.asks.len() * 3 / 4, "seed {seed}: {served}");
                });
            }
        });
    }
}

#[test]
fn a_cold_box_with_half_of_all_keys_is_not_pushed_over() {
    // Half of 300 reads a second are 0.75 s of work; the box that starts cold falls at 0.1 s.
    let mut plan = Plan { boxes: 2, ..Plan::default() };
    plan.cache.miss_work = plan.cache.work;
    plan.cache.cold = Cold { time: 20_000_000, from: 0.1, factor: 0.5, ..plan.cache.cold };
    let (site, time) = (Site::new(plan), Duration::from_secs(4));
    let replace = Step::Replace { server: "box-0".into(), by: "box-new".into() };
    let load = Load { rate: 300.0, ..site.load(time, 5) };
    let (report, broken) = site.play(load, vec![(time / 4, replace)]);
    assert_eq!(broken, []);
    assert!(report.served().len() as usize > report.asks.len() * 3 / 4);
    let (records, _) = site.fleet.records();
    assert!(
        records.iter().any(|r| &*r.server == "box-new" && matches!(r.event, Event::Asked(_))),
        "left out"
    );
}
