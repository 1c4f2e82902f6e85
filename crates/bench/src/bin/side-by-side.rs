//! Nodes and a bare relay, side by side in one run on one core: CPU per request, answer times, and what an idle
//! connection costs. `cargo run --release -p lilacquay-bench --bin side-by-side -- --help`

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

use clap::Parser;
use lilacquay_bench::{Subject, Sum, Way, bind_to, quantiles, raise_descriptors};
use lilacquay_fleet::clients::{Load, run};
use lilacquay_fleet::{Clock, Fleet, FleetConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

type Failed = Box<dyn Error>;

/// Measures nodes against a bare relay
#[derive(Parser)]
struct Args {
    /// Nodes to measure, as NAME=PROGRAM; the first is the one that others are compared with
    #[arg(long = "node", required = true, value_parser = named)]
    nodes: Vec<(String, PathBuf)>,
    /// The relay
    #[arg(long, default_value = "target/release/relay")]
    relay: PathBuf,
    /// The core of what is measured; the others are the stand-ins' and the clients'
    #[arg(long, default_value_t = 1)]
    core: usize,
    /// How often each is measured; they take turns
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Seconds of each turn
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Idle connections to open at a node
    #[arg(long, value_delimiter = ',', default_values_t = [1000, 10000])]
    idle: Vec<usize>,
}

fn named(text: &str) -> Result<(String, PathBuf), String> {
    let (name, program) = text.split_once('=').ok_or("write NAME=PROGRAM")?;
    Ok((name.into(), program.into()))
}

fn main() -> Result<(), Failed> {
    let args = Args::parse();
    raise_descriptors()?;
    let all = std::thread::available_parallelism()?.get();
    let others = || (0..all).filter(|core| *core != args.core);
    // All keys are at hand and take no work: what is measured is the way there and back.
    let mut plan = FleetConfig { boxes: 1, record_events: false, ..FleetConfig::default() };
    (plan.cache.hit_work, plan.cache.miss_work) = (Duration::ZERO, Duration::ZERO);
    (plan.cache.cores, plan.cache.queue_capacity, plan.cache.memory_bytes) = (10_000, 10_000, 64 << 20);
    bind_to(others())?;
    let fleet = Fleet::start(plan)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let configuration = fleet.configuration(([127, 0, 0, 1], 0).into(), 1024);
    bind_to([args.core])?;
    let mut subjects = Vec::new();
    for (name, program) in &args.nodes {
        subjects.push((name.clone(), Subject::node(program, &configuration)?));
    }
    let mut relay = Command::new(&args.relay);
    relay.arg(fleet.boxes[0].to_string());
    subjects.push(("relay".into(), Subject::start(relay, None)?));
    bind_to(others())?;
    runtime.block_on(compare(&args, &subjects))?;
    drop(subjects);
    for (name, program) in &args.nodes {
        for &count in &args.idle {
            let configuration = fleet.configuration(([127, 0, 0, 1], 0).into(), count * 5 + 1000);
            let node = Subject::node(program, &configuration)?;
            let each = runtime.block_on(idle(&node, count))?;
            println!("{name}: {each:.0} bytes for each of {count} idle connections");
        }
    }
    Ok(())
}

async fn compare(args: &Args, subjects: &[(String, Subject)]) -> Result<(), Failed> {
    let ways = [Way::Open(300), Way::Open(3000), Way::Closed(1), Way::Closed(32)];
    let time = Duration::from_secs(args.seconds);
    let mut sums: BTreeMap<(Way, usize), Sum> = BTreeMap::new();
    // The first node fetches all keys.
    let warm = Load { rate: 2000.0, skew: 0.0, ..load(subjects[0].1.addr, time, 99) };
    run(warm, Clock::default(), Arc::default()).await;
    for round in 0..args.rounds {
        for way in ways {
            for turn in 0..subjects.len() {
                // Another one is first in each round: what runs before leaves its traces.
                let place = (turn + round) % subjects.len();
                let subject = &subjects[place].1;
                let before = subject.cpu()?;
                let took = way.load(load(subject.addr, time, round as u64)).await;
                let answered = took.len();
                let cpu = (subject.cpu()? - before) as f64 / 1000.0 / answered.max(1) as f64;
                let sum = sums.entry((way, place)).or_default();
                sum.cpu.push(cpu);
                sum.rate += answered as f64 / time.as_secs_f64() / args.rounds as f64;
                sum.times.add(&took)?;
            }
        }
    }
    for way in ways {
        println!("\n{way}");
        let relay = sums[&(way, subjects.len() - 1)].cpu();
        let first = sums[&(way, 0)].cpu();
        for (place, (name, _)) in subjects.iter().enumerate() {
            let sum = &sums[&(way, place)];
            let cpu = sum.cpu();
            println!(
                "{name:<10} CPU {cpu:>6.1} us a request ({:.2} of the relay's, {:.2} of the first's)  {:>7.0} a second  us: {}",
                cpu / relay,
                cpu / first,
                sum.rate,
                quantiles(&sum.times)
            );
        }
    }
    Ok(())
}

fn load(to: SocketAddr, time: Duration, seed: u64) -> Load {
    let mut load = Load { keys: 500, ..Load::standard(to, time, seed) };
    load.classes.truncate(1); // reads alone: a relay knows no origin
    load
}

/// What each of so many idle connections, which have asked once, adds to a node's memory, in bytes.
async fn idle(node: &Subject, count: usize) -> Result<f64, Failed> {
    let text = "*4\r\n$9\r\nCACHE.GET\r\n$16\r\n0000000000000001\r\n$8\r\n";
    // What the first requests leave behind is no connection's.
    let mut links = Vec::new();
    let mut before = 0;
    for n in 0..count + 100 {
        let mut link = TcpStream::connect(node.addr).await?;
        link.write_all(format!("{text}{n:08x}\r\n$15\r\nc=lookup,d=1000\r\n").as_bytes()).await?;
        if link.read(&mut [0; 256]).await? == 0 {
            return Err("a connection was closed".into());
        }
        links.push(link);
        if n == 99 {
            before = node.memory()?;
        }
    }
    Ok((node.memory()? - before) as f64 / count as f64)
}
