//! Three tenants at a node with quotas, one of which asks for ten times its share: how much of what the others ask for
//! within theirs is served, once they ask, while all is lent and after a reload. It takes a machine with nothing else to
//! do. `cargo run --release -p lilacquay-bench --bin flood`

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use clap::Parser;
use lilacquay_bench::Subject;
use lilacquay_fleet::clients::{self, Load, Outcome, Report};
use lilacquay_fleet::verdict::check;
use lilacquay_fleet::{Fleet, FleetConfig};

type Failed = Box<dyn Error>;

/// How long a load lasts, and the part of it in which the last tenant asks.
const WHOLE: Duration = Duration::from_millis(4500);
const LATE: Duration = Duration::from_millis(2600);
/// What the settings allow between word of a drain and the last thing sent, in microseconds.
const GRACE: u64 = 500_000;

/// Floods a node with quotas
#[derive(Parser)]
struct Args {
    /// The node's program
    #[arg(long, default_value = "target/release/lilacquay")]
    node: PathBuf,
    /// How many seeds
    #[arg(long, default_value_t = 20)]
    seeds: u64,
}

fn main() -> Result<(), Failed> {
    let args = Args::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let mut worst = [1.0_f64; 4];
    println!("served of what is asked for at random at half the guarantee, and rules broken");
    for seed in 0..args.seeds {
        let (shares, broken) = flooded(&args, &runtime, seed)?;
        println!(
            "seed {seed:>2}: gamma from cold {:.2}  beta while all is lent {:.2}  beta, gamma after a reload {:.2} {:.2}  broken {broken}",
            shares[0], shares[1], shares[2], shares[3]
        );
        worst.iter_mut().zip(shares).for_each(|(worst, share)| *worst = worst.min(share));
    }
    println!("worst: {worst:.2?}");
    Ok(())
}

fn flooded(args: &Args, runtime: &tokio::runtime::Runtime, seed: u64) -> Result<([f64; 4], usize), Failed> {
    let fleet = Fleet::start(FleetConfig { seed, ..FleetConfig::default() })?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let node = Subject::with_quotas(&args.node, &fleet.configuration(any, 512), &quotas(50))?;
    let clock = fleet.clock();
    let begin = |tenant: &str, rate: f64, time: Duration, seed: u64| {
        let usual = Load::standard(node.addr, time, seed);
        let load = Load { tenant: Some(tenant.into()), rate, keep_requests: true, ..usual };
        runtime.spawn(clients::run(load, clock.clone(), Arc::default()))
    };
    let (start, begun) = (Instant::now(), clock.now());
    let alpha = begin("alpha", 1000.0, WHOLE, seed * 3);
    let gamma = begin("gamma", 20.0, WHOLE, seed * 3 + 1);
    sleep((WHOLE - LATE).saturating_sub(start.elapsed()));
    let woke = clock.now();
    let beta = begin("beta", 30.0, LATE, seed * 3 + 2);
    sleep(LATE / 2);
    node.reload(&quotas(25))?;
    let reloaded = clock.now();
    let (alpha, beta, gamma) = (runtime.block_on(alpha)?, runtime.block_on(beta)?, runtime.block_on(gamma)?);
    let window = 500_000 * 17 / 16;
    let shares = [
        served(&gamma, begun + window, woke),
        served(&beta, woke + window, reloaded),
        served(&beta, reloaded, u64::MAX),
        served(&gamma, reloaded, u64::MAX),
    ];
    let (records, dropped) = fleet.records();
    let asks = [alpha.requests, beta.requests, gamma.requests].concat();
    Ok((shares, check((&records, dropped), &asks, 0, GRACE).len()))
}

/// The part of a tenant's lookups that was served, of those sent from one time on until another.
fn served(report: &Report, from: u64, to: u64) -> f64 {
    let asks = report.requests.iter().filter(|ask| ask.class == 0 && (from..to).contains(&ask.sent));
    let (served, all) = asks
        .fold((0, 0), |(served, all), ask| (served + usize::from(ask.outcome == Outcome::Served), all + 1));
    served as f64 / all.max(1) as f64
}

/// 100 lookups in each half second: alpha's, 30 beta's, 20 gamma's.
fn quotas(alpha: u64) -> String {
    let share = |(name, guarantee): (&str, u64)| {
        format!(
            "[[share]]\nname = \"{name}\"\nparent = \"all\"\ntenant = \"{name}\"\nlookups = {{ guarantee = {guarantee} }}\n"
        )
    };
    let shares: String = [("alpha", alpha), ("beta", 30), ("gamma", 20)].into_iter().map(share).collect();
    let measure =
        "[[measure]]\nname = \"lookups\"\nof = \"requests\"\nwindow_ms = 500\nclasses = [\"lookup\"]\n";
    format!("others = \"all\"\n{measure}[[share]]\nname = \"all\"\nlookups = {{ ceiling = 100 }}\n{shares}")
}
