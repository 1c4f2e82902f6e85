//! What one node needs with many cache servers in its list: CPU, memory, descriptors and the share served over the same
//! load, with lists of several lengths in which a few entries change all the time. It takes a machine with nothing else
//! to do. `cargo run --release -p lilacquay-bench --bin scale`

use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::Parser;
use lilacquay_bench::{Subject, raise_descriptors};
use lilacquay_fleet::clients::{self, Load, Report};
use lilacquay_fleet::script::Step;
use lilacquay_fleet::{Fleet, FleetConfig};

type Failed = Box<dyn Error>;

/// Requests a second, and how many keys they ask for.
const RATE: f64 = 40.0;
const KEYS: usize = 3_000;
/// Entries of the list that change at a time, and how often.
const CHANGED: usize = 3;
const CHANGES: Duration = Duration::from_millis(200);

/// Measures nodes over lists of several lengths
#[derive(Parser)]
struct Args {
    /// The node's program; several are measured one after the other
    #[arg(long = "node", default_value = "target/release/lilacquay")]
    nodes: Vec<PathBuf>,
    /// Cache servers in the list
    #[arg(long, value_delimiter = ',', default_values_t = [200, 3200])]
    servers: Vec<usize>,
    /// Seconds of load
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

/// What a node has used.
struct Used {
    cpu: Duration,
    memory: u64,
    descriptors: usize,
    served: f64,
}

fn main() -> Result<(), Failed> {
    let args = Args::parse();
    raise_descriptors()?;
    for node in &args.nodes {
        for &servers in &args.servers {
            let Used { cpu, memory, descriptors, served } = measure(node, servers, args.seconds)?;
            println!(
                "{}, {servers:>4} servers: CPU {:.2} s, {:.1} MB, {descriptors} descriptors, {served:.3} served",
                node.display(),
                cpu.as_secs_f64(),
                memory as f64 / 1e6
            );
        }
    }
    Ok(())
}

fn measure(program: &Path, servers: usize, seconds: u64) -> Result<Used, Failed> {
    let fleet = Fleet::start(FleetConfig { boxes: servers, record_events: false, ..FleetConfig::default() })?;
    let node = Subject::node(program, &fleet.configuration(SocketAddr::from(([127, 0, 0, 1], 0)), 2048))?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let time = Duration::from_secs(seconds);
    let load = Load { rate: RATE, keys: KEYS, ..Load::standard(node.addr, time, 1) };
    let (start, before) = (Instant::now(), node.cpu()?);
    let load = runtime.spawn(clients::run(load, fleet.clock().clone(), Arc::default()));
    change(&fleet, servers, start + time)?;
    let descriptors = fs::read_dir(format!("/proc/{}/fd", node.pid()))?.count();
    let report = runtime.block_on(load)?;
    let cpu = Duration::from_nanos(node.cpu()? - before);
    Ok(Used { cpu, memory: node.memory()?, descriptors, served: served(&report) })
}

/// Has a few servers drain and serve again, in turn, until then.
fn change(fleet: &Fleet, servers: usize, until: Instant) -> Result<(), Failed> {
    for turn in 0.. {
        let due = until.min(Instant::now() + CHANGES);
        sleep(due.saturating_duration_since(Instant::now()));
        if due == until {
            break;
        }
        for n in 0..CHANGED {
            let server = format!("box-{}", (turn / 2 * CHANGED + n) % servers);
            fleet.step(if turn % 2 == 0 { Step::Drain { server } } else { Step::Undrain { server } })?;
        }
    }
    Ok(())
}

fn served(report: &Report) -> f64 {
    let others: u64 = report.classes.iter().map(|class| class.refused + class.failed + class.broken).sum();
    let served = report.served_latencies().len();
    served as f64 / (served + others).max(1) as f64
}
