//! RESP2 and memcached side by side in one run, toward clients and toward caches: CPU per request, answer times, and
//! a run of quiet gets against as many gets one by one. `cargo run --release -p lilacquay-bench --bin memcached`

use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use clap::Parser;
use lilacquay_bench::{Subject, Sum, Way, bind_to, quantiles, raise_descriptors};
use lilacquay_codec::memcache::{Opcode, Packet, next_response};
use lilacquay_fleet::cache::CacheProtocol;
use lilacquay_fleet::clients::{Load, run};
use lilacquay_fleet::{Clock, Fleet, FleetConfig};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

type Failed = Box<dyn Error>;

/// Measures memcached's binary protocol beside RESP2
#[derive(Parser)]
struct Args {
    /// The node's program
    #[arg(long, default_value = "target/release/lilacquay")]
    node: PathBuf,
    /// The core of the nodes; the others are the stand-ins' and the clients'
    #[arg(long, default_value_t = 1)]
    core: usize,
    /// How often each is measured; they take turns
    #[arg(long, default_value_t = 5)]
    rounds: usize,
    /// Seconds of each turn
    #[arg(long, default_value_t = 4)]
    seconds: u64,
    /// Keys of a run of quiet gets
    #[arg(long, default_value_t = 100)]
    run: u32,
    /// Runs in each round
    #[arg(long, default_value_t = 100)]
    runs: usize,
}

/// A way through a node.
struct Pair {
    name: &'static str,
    /// Its node.
    node: usize,
    to: SocketAddr,
    speaks: CacheProtocol,
}

const WAYS: [Way; 3] = [Way::Open(300), Way::Closed(1), Way::Closed(32)];

fn main() -> Result<(), Failed> {
    let args = Args::parse();
    raise_descriptors()?;
    let all = std::thread::available_parallelism()?.get();
    let others = || (0..all).filter(|core| *core != args.core);
    bind_to(others())?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let (mut fleets, mut nodes, mut pairs) = (Vec::new(), Vec::new(), Vec::new());
    let names = [["resp2 -> resp2", "memcached -> resp2"], ["resp2 -> memcached", "memcached -> memcached"]];
    for (node, [resp, memcached]) in names.into_iter().enumerate() {
        // All keys are at hand and take no work: what is measured is the way there and back.
        let mut plan =
            FleetConfig { boxes: 1, memcached_boxes: node, record_events: false, ..FleetConfig::default() };
        (plan.cache.hit_work, plan.cache.miss_work) = (Duration::ZERO, Duration::ZERO);
        (plan.cache.cores, plan.cache.queue_capacity, plan.cache.memory_bytes) = (10_000, 10_000, 64 << 20);
        let fleet = Fleet::start(plan)?;
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        bind_to([args.core])?;
        let (configuration, options) = (fleet.configuration(any, 1024), fleet.memcached_options(any));
        let (subject, at) = Subject::speaking_memcached(&args.node, &configuration, &options)?;
        bind_to(others())?;
        pairs.push(Pair { name: resp, node, to: subject.addr, speaks: CacheProtocol::Resp });
        pairs.push(Pair { name: memcached, node, to: at, speaks: CacheProtocol::Memcached });
        fleets.push(fleet);
        nodes.push(subject);
    }
    runtime.block_on(async {
        for pair in &pairs {
            let warm = Load { rate: 2000.0, skew: 0.0, ..load(pair, Duration::from_secs(4), 99) };
            run(warm, Clock::default(), Arc::default()).await;
        }
        protocols(&args, &nodes, &pairs).await?;
        quiet_runs(&args, &nodes, &pairs).await
    })
}

async fn protocols(args: &Args, nodes: &[Subject], pairs: &[Pair]) -> Result<(), Failed> {
    let time = Duration::from_secs(args.seconds);
    for way in WAYS {
        let mut sums: Vec<Sum> = pairs.iter().map(|_| Sum::default()).collect();
        for round in 0..args.rounds {
            for turn in 0..pairs.len() {
                // Another one is first in each round: what runs before leaves its traces.
                let place = (turn + round) % pairs.len();
                let (pair, sum) = (&pairs[place], &mut sums[place]);
                let before = nodes[pair.node].cpu()?;
                let served = way.load(load(pair, time, round as u64)).await;
                let cpu = (nodes[pair.node].cpu()? - before) as f64 / 1000.0;
                sum.cpu.push(cpu / served.len().max(1) as f64);
                sum.rate += served.len() as f64 / time.as_secs_f64() / args.rounds as f64;
                sum.times.add(&served)?;
            }
        }
        println!("\n{way}");
        let first = sums[0].cpu();
        for (pair, sum) in pairs.iter().zip(&sums) {
            println!(
                "{:<24} CPU {:>6.1} us a request ({:.2} of the first's)  {:>7.0} a second  us: {}",
                pair.name,
                sum.cpu(),
                sum.cpu() / first,
                sum.rate,
                quantiles(&sum.times)
            );
        }
    }
    Ok(())
}

/// Runs of quiet gets with a no-op behind, and as many gets one by one, in turns.
async fn quiet_runs(args: &Args, nodes: &[Subject], pairs: &[Pair]) -> Result<(), Failed> {
    println!("\n{} keys of one client", args.run);
    for pair in pairs.iter().filter(|pair| pair.speaks == CacheProtocol::Memcached) {
        let mut stream = TcpStream::connect(pair.to).await?;
        stream.set_nodelay(true)?;
        let mut sums = [Sum::default(), Sum::default()];
        for turn in 0..args.rounds * 2 {
            let quiet = turn % 2 == 0;
            let sum = &mut sums[usize::from(!quiet)];
            let before = nodes[pair.node].cpu()?;
            for _ in 0..args.runs {
                let start = Instant::now();
                match quiet {
                    true => quiet_run(&mut stream, args.run).await?,
                    false => one_by_one(&mut stream, args.run).await?,
                }
                sum.times.saturating_record(start.elapsed().as_micros() as u64);
            }
            let cpu = (nodes[pair.node].cpu()? - before) as f64 / 1000.0;
            sum.cpu.push(cpu / args.runs as f64 / f64::from(args.run));
        }
        for (name, sum) in ["quiet, then a no-op", "one by one"].into_iter().zip(&sums) {
            let cpu = sum.cpu();
            println!(
                "{:<24} {name:<20} CPU {cpu:>6.1} us a key  us for all: {}",
                pair.name,
                quantiles(&sum.times)
            );
        }
    }
    Ok(())
}

fn get(opcode: Opcode, n: u32, out: &mut BytesMut) {
    let key = Bytes::from(format!("lookup:{n:016x}"));
    Packet { key, ..Packet::new(opcode, n) }.put_request(out);
}

async fn quiet_run(stream: &mut TcpStream, keys: u32) -> Result<(), Failed> {
    let mut text = BytesMut::new();
    (0..keys).for_each(|n| get(Opcode::GetQ, n, &mut text));
    Packet::new(Opcode::NoOp, keys).put_request(&mut text);
    stream.write_all(&text).await?;
    let (mut buffer, mut hits) = (BytesMut::new(), 0);
    loop {
        let answer = next(stream, &mut buffer).await?;
        if answer.opaque == keys {
            break;
        }
        hits += u32::from(answer.status == 0);
    }
    if hits == keys { Ok(()) } else { Err(format!("{hits} hits of {keys}").into()) }
}

async fn one_by_one(stream: &mut TcpStream, keys: u32) -> Result<(), Failed> {
    let (mut text, mut buffer) = (BytesMut::new(), BytesMut::new());
    for n in 0..keys {
        text.clear();
        get(Opcode::Get, n, &mut text);
        stream.write_all(&text).await?;
        let answer = next(stream, &mut buffer).await?;
        if (answer.opaque, answer.status) != (n, 0) {
            return Err(format!("key {n}: status {:#x}", answer.status).into());
        }
    }
    Ok(())
}

async fn next(stream: &mut TcpStream, buffer: &mut BytesMut) -> Result<Packet, Failed> {
    loop {
        if let Some(packet) = next_response(buffer, 1 << 20)? {
            return Ok(packet);
        }
        if stream.read_buf(buffer).await? == 0 {
            return Err("the node closed".into());
        }
    }
}

fn load(pair: &Pair, time: Duration, seed: u64) -> Load {
    let mut load = Load { keys: 500, protocol: pair.speaks, ..Load::standard(pair.to, time, seed) };
    load.classes.truncate(1); // reads alone
    load
}
