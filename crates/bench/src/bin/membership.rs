//! Membership from etcd and from discovery: how soon a change is respected, what it costs to follow many, and what
//! reading the whole list does to requests. `cargo run --release -p lilacquay-bench --bin membership -- --help`

use std::collections::HashMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use lilacquay_bench::{Subject, quantiles, raise_descriptors};
use lilacquay_fleet::clients::{Load, latency_histogram, run};
use lilacquay_fleet::etcd::{Etcd, EtcdPlan};
use lilacquay_fleet::record::{Event, Log};
use lilacquay_fleet::script::Step;
use lilacquay_fleet::{Clock, Fleet, FleetConfig};
use tokio::runtime::Runtime;

type Failed = Box<dyn Error>;

/// Measures membership from etcd beside that from discovery
#[derive(Parser)]
struct Args {
    /// The node
    #[arg(long, default_value = "target/release/lilacquay")]
    node: PathBuf,
    /// Lengths of the list
    #[arg(long, value_delimiter = ',', default_values_t = [10, 1000, 10000])]
    boxes: Vec<usize>,
    /// How many changes are timed at each length
    #[arg(long, default_value_t = 200)]
    changes: usize,
    /// Changes a second that are followed
    #[arg(long, default_value_t = 1000)]
    rate: u32,
    /// Seconds of each turn
    #[arg(long, default_value_t = 5)]
    seconds: u64,
    /// Turns with and without reading the whole list
    #[arg(long, default_value_t = 4)]
    rounds: usize,
}

/// Between two changes that are timed.
const PAUSE: Duration = Duration::from_millis(150);
/// Between two whole lists.
const RESYNC: Duration = Duration::from_millis(500);

fn main() -> Result<(), Failed> {
    let args = Args::parse();
    raise_descriptors()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    println!("from a change told to both sources to the first request that respects it, us:");
    for &boxes in &args.boxes {
        respected(&args, boxes, &runtime)?;
    }
    println!("\nfollowing {} changes a second:", args.rate);
    for &boxes in &args.boxes {
        following(&args, boxes)?;
    }
    println!("\nanswer times at 300 requests a second, us:");
    for &boxes in &args.boxes {
        resync(&args, boxes, &runtime)?;
    }
    Ok(())
}

/// Two boxes that work at no cost, and a list of such a length.
fn fleet(boxes: usize, recorded: bool) -> Result<Fleet, Failed> {
    let ghosts = boxes.saturating_sub(2);
    let mut plan = FleetConfig {
        boxes: 2,
        etcd_endpoints: 1,
        padding_servers: ghosts,
        record_events: recorded,
        ..FleetConfig::default()
    };
    plan.cache.hit_work = Duration::ZERO;
    plan.cache.miss_work = Duration::ZERO;
    Ok(Fleet::start(plan)?)
}

fn configuration(fleet: &Fleet) -> String {
    fleet.configuration(([127, 0, 0, 1], 0).into(), 1024)
}

fn following_etcd(args: &Args, fleet: &Fleet) -> Result<Subject, Failed> {
    let etcd = fleet.etcd_options().ok_or("no etcd")?;
    Ok(Subject::following(&args.node, &configuration(fleet), &etcd)?)
}

/// Two boxes take turns in serving; a request to the one that has begun to serve respects the change.
fn respected(args: &Args, boxes: usize, runtime: &Runtime) -> Result<(), Failed> {
    let fleet = fleet(boxes, true)?;
    fleet.step(Step::Drain { server: "box-1".into() })?;
    let subjects = [Subject::node(&args.node, &configuration(&fleet))?, following_etcd(args, &fleet)?];
    let time = PAUSE * args.changes as u32 + Duration::from_secs(2);
    let loads = subjects.iter().enumerate().map(|(n, subject)| {
        let load = Load { rate: 1000.0, keys: 100, ..Load::standard(subject.addr, time, n as u64 + 1) };
        let reads = load.classes.iter().take(1).cloned().collect();
        runtime.spawn(run(Load { classes: reads, ..load }, fleet.clock().clone(), Arc::default()))
    });
    let loads: Vec<_> = loads.collect();
    sleep(Duration::from_secs(1));
    let mut changes = Vec::new();
    for n in 0..args.changes {
        let (from, to) = (format!("box-{}", n % 2), format!("box-{}", (n + 1) % 2));
        changes.push((fleet.clock().now(), to.clone()));
        fleet.step(Step::Undrain { server: to })?;
        fleet.step(Step::Drain { server: from })?;
        sleep(PAUSE);
    }
    for load in loads {
        runtime.block_on(load)?;
    }
    let (records, dropped) = fleet.records();
    if dropped > 0 {
        return Err("the records are not whole".into());
    }
    // Requests by their node, whose load's seed begins their ids, and by their box.
    let mut asked: HashMap<(u64, &str), Vec<u64>> = HashMap::new();
    for record in &records {
        if let Event::Received(request) = &record.event
            && let Ok(seed) = u64::from_str_radix(&request.id[..8], 16)
        {
            asked.entry((seed, &record.server)).or_default().push(record.at);
        }
    }
    for (name, seed) in [("discovery", 1), ("etcd", 2)] {
        let mut took: Vec<u64> = Vec::new();
        for (at, to) in &changes {
            let there = asked.get(&(seed, to.as_str())).ok_or("no request")?;
            let first = there.get(there.partition_point(|time| time <= at)).ok_or("never respected")?;
            took.push(first - at);
        }
        took.sort_unstable();
        let quantile = |part: f64| took[((took.len() - 1) as f64 * part) as usize];
        let (p50, p99, worst) = (quantile(0.5), quantile(0.99), quantile(1.0));
        println!(
            "{boxes:>6} boxes  {name:<9}  p50 {p50:>6}  p99 {p99:>6}  worst {worst:>6}  (n = {})",
            took.len()
        );
    }
    Ok(())
}

/// Many changes a second: what they cost the node, and what it holds before and after.
fn following(args: &Args, boxes: usize) -> Result<(), Failed> {
    let fleet = fleet(boxes, false)?;
    let etcd = fleet.etcd.as_ref().ok_or("no etcd")?;
    let node = following_etcd(args, &fleet)?;
    sleep(Duration::from_secs(2));
    let (cpu, before) = (node.cpu()?, node.memory()?);
    sleep(Duration::from_secs(args.seconds));
    let (idle, start, cpu) = (node.cpu()? - cpu, Instant::now(), node.cpu()?);
    let time = Duration::from_secs(args.seconds);
    let changes = args.rate * args.seconds as u32;
    for n in 0..changes {
        let due = start + time * n / changes;
        sleep(due.saturating_duration_since(Instant::now()));
        let state = ["serving", "draining"][n as usize / 8 % 2];
        let value = format!(r#"{{"addr":"127.0.0.1:9","zone":"a","kind":"standard","state":"{state}"}}"#);
        etcd.put(&format!("ghost-{}", n % 8), &value);
    }
    let (busy, after) = (node.cpu()? - cpu, node.memory()?);
    let share = |ns: u64| ns as f64 / 1e7 / args.seconds as f64;
    println!(
        "{boxes:>6} boxes  CPU {:.1} % of a core ({:.1} % before), {:.0} us a change; memory {} KB, {} KB before",
        share(busy),
        share(idle),
        (busy.saturating_sub(idle)) as f64 / 1e3 / f64::from(changes),
        after >> 10,
        before >> 10,
    );
    Ok(())
}

/// Turns with the watch cancelled again and again, so that the whole list is read, and turns without.
fn resync(args: &Args, boxes: usize, runtime: &Runtime) -> Result<(), Failed> {
    let fleet = fleet(2, false)?;
    // On a thread of its own: what the stand-in takes to tell a list must not hold up the boxes.
    let thread = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let plan = EtcdPlan { endpoints: 1, prefix: "/m/".into(), ..EtcdPlan::default() };
    let etcd = thread.block_on(Etcd::start(plan, Log::new(Clock::default(), false)))?;
    let value = |addr: SocketAddr, kind: &str, state: &str| {
        format!(r#"{{"addr":"{addr}","zone":"a","kind":"{kind}","state":"{state}","weight":1.0}}"#)
    };
    etcd.put("origin", &value(fleet.origin, "origin", "serving"));
    for (n, addr) in fleet.boxes.iter().enumerate() {
        etcd.put(&format!("box-{n}"), &value(*addr, "standard", "serving"));
    }
    for n in 2..boxes {
        etcd.put(&format!("ghost-{n}"), &value(([127, 0, 0, 1], 9).into(), "standard", "draining"));
    }
    let options = format!("endpoints = [\"http://{}\"]\nprefix = \"/m/\"\n", etcd.endpoints[0]);
    let node = Subject::following(&args.node, &configuration(&fleet), &options)?;
    sleep(Duration::from_secs(2));
    let mut all: [Histogram<u64>; 2] = [latency_histogram(), latency_histogram()];
    let (time, mut changes, mut cpu) = (Duration::from_secs(args.seconds), 0, [0, 0]);
    // The first turn finds the keys at nobody, and is not counted.
    for round in 0..=2 * args.rounds {
        let often = round % 2 == 1;
        let rate = if round == 0 { 2000.0 } else { 300.0 };
        let load = Load { rate, keys: 50, skew: 0.0, ..Load::standard(node.addr, time, round as u64 + 1) };
        let reads = load.classes.iter().take(1).cloned().collect();
        let load = run(Load { classes: reads, ..load }, fleet.clock().clone(), Arc::default());
        let (running, start, before) = (runtime.spawn(load), Instant::now(), node.cpu()?);
        while often && start.elapsed() + RESYNC < time {
            sleep(RESYNC);
            // Something changed, so that there is a revision to forget.
            changes += 1;
            let value = value(([127, 0, 0, 1], 9).into(), "standard", "draining");
            etcd.put("ghost-2", &value.replace("{", &format!("{{\"cell\":{changes},")));
            etcd.compact();
        }
        let report = runtime.block_on(running)?;
        let spent = node.cpu()? - before;
        if report.broken() > 0 {
            return Err(format!("{} requests without a good answer in time", report.broken()).into());
        }
        if round > 0 {
            all[usize::from(often)].add(report.served_latencies())?;
            cpu[usize::from(often)] += spent / args.rounds as u64;
        }
    }
    for (name, (times, cpu)) in ["none", "whole lists"].iter().zip(all.iter().zip(cpu)) {
        let (worst, cpu) = (times.max(), cpu as f64 / 1e7 / args.seconds as f64);
        println!("{boxes:>6} boxes  {name:<11}  {}  worst {worst:>6}  CPU {cpu:.1} %", quantiles(times));
    }
    Ok(())
}
