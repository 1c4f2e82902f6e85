//! The node in a stand-in fleet: the four rules, checked from outside while everything goes wrong.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::Node;
use lilacquay_fleet::clients::{self, Load, Report};
use lilacquay_fleet::fault::Faults;
use lilacquay_fleet::record::{Event, Told};
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
fn the_faults_do_what_their_names_say() {
    // Guards against: a fleet in which nothing happens, where no rule could break.
    let fault = |faults| vec![(Duration::ZERO, Step::Faults { server: "box-0".into(), faults })];
    let time = Duration::from_millis(1500);
    let run = |script: Script| {
        let site = Site::new(Plan { boxes: 1, ..Plan::default() });
        let (report, broken) = site.play(site.load(time, 3), script);
        assert_eq!(broken, []);
        (report, site.fleet.records().0)
    };
    let share = 0.5;
    let seen = |records: &[lilacquay_fleet::record::Record], wanted: fn(&Event) -> bool| {
        records.iter().filter(|record| &*record.server == "box-0" && wanted(&record.event)).count()
    };
    let (_, calm) = run(Vec::new());
    let (asked, ran) =
        (seen(&calm, |e| matches!(e, Event::Asked(_))), seen(&calm, |e| matches!(e, Event::Ran(_))));
    assert!(ran > 0 && ran < asked, "hits and misses");
    let (slow, _) = run(fault(Faults { slow: 20.0, ..Faults::default() }));
    assert!(slow.served().value_at_quantile(0.9) > 90_000);
    let (_, reset) = run(fault(Faults { reset_before: 1.0, ..Faults::default() }));
    assert!(seen(&reset, |e| matches!(e, Event::FirstByte)) > 0);
    assert_eq!(seen(&reset, |e| matches!(e, Event::Asked(_))), 0);
    let (_, refused) = run(fault(Faults { refuse: true, ..Faults::default() }));
    assert_eq!(seen(&refused, |e| matches!(e, Event::Asked(_))), 0);
    for faults in [
        Faults { swallow: share, ..Faults::default() },
        Faults { reset_after: share, ..Faults::default() },
        Faults { spoil: share, ..Faults::default() },
        Faults { fail: share, ..Faults::default() },
    ] {
        let (_, records) = run(fault(faults.clone()));
        let tries = seen(&records, |e| matches!(e, Event::Asked(_)));
        let reads = records.iter().filter(|r| matches!(&r.event, Event::Asked(a) if !a.write)).count();
        assert!(reads > tries, "reads went elsewhere too: {faults:?}");
    }
    let (_, gone) = run(vec![(time / 2, Step::Remove { server: "box-0".into() })]);
    assert_eq!(seen(&gone, |e| matches!(e, Event::Told(Told::Deleted))), 1);
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

#[test]
fn a_cold_box_that_is_pushed_over_stays_down() {
    // The node spares it; a crowd of clients that go round the node does not.
    let mut plan = Plan { boxes: 1, ..Plan::default() };
    plan.cache.miss_work = Duration::from_millis(20);
    let fleet = Fleet::start(plan).unwrap();
    fleet.step(Step::Replace { server: "box-0".into(), by: "box-new".into() }).unwrap();
    // Three times a fifth of two cores for a second are 1.2 s of work: 60 reads at once are too many.
    let deadline = Instant::now() + common::PATIENCE;
    let mut links = Vec::new();
    for n in 0..100 {
        let Ok(mut link) = std::net::TcpStream::connect(fleet.boxes[0]) else { break };
        let words = common::words(&["CACHE.GET", "k", &format!("i{n}"), "c=lookup,d=1000"]);
        let _ = std::io::Write::write_all(&mut link, words.as_bytes());
        links.push(link);
    }
    while !fleet.records().0.iter().any(|record| record.event == Event::PushedOver) {
        assert!(Instant::now() < deadline, "not pushed over");
    }
    while std::net::TcpStream::connect(fleet.boxes[0]).is_ok() {
        assert!(Instant::now() < deadline, "it came back");
    }
}
