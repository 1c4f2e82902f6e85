//! How soon siblings know of a death, of a return and of a healed cut, by number and loss, beside plain heartbeats of the
//! same bytes; false alarms in an hour; bytes. In virtual time, so that the machine has no part in it; last, the same on
//! processes of the program.
//!
//! `target/release/siblings [virtual [NODES LOSS] | hour | processes NODES PROGRAM | load PROGRAM]`

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lilacquay_bench::raise_descriptors;
use lilacquay_fleet::clients::{self, Load};
use lilacquay_fleet::cluster::{Cluster, ClusterPlan, Fault, LinkFaults};
use lilacquay_siblings::simulation::{Link, MS, SEC, Simulation};
use lilacquay_siblings::{MembershipEvent, Micros, NodeState, StateReason};

/// Deaths, or cuts, of each row.
const ROUNDS: usize = 12;
/// Whoever doesn't know by then counts as if it knew then.
const LONGEST: Micros = 60 * SEC;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] | ["virtual"] => in_virtual_time(&[10, 30, 100, 300], &[0, 100, 200]),
        ["virtual", nodes, loss] => match (nodes.parse(), loss.parse::<u32>()) {
            (Ok(nodes), Ok(loss)) => in_virtual_time(&[nodes], &[loss * 10]),
            _ => return usage(),
        },
        ["hour"] => an_hour(),
        ["processes", nodes, program] => match nodes.parse() {
            Ok(nodes) => return ended(processes(nodes, Path::new(program))),
            Err(_) => return usage(),
        },
        ["load", program] => return ended(under_load(Path::new(program))),
        _ => return usage(),
    }
    ExitCode::SUCCESS
}

fn usage() -> ExitCode {
    eprintln!("siblings [virtual [NODES LOSS] | hour | processes NODES PROGRAM | load PROGRAM]");
    ExitCode::FAILURE
}

struct Times(Histogram<u64>);

impl Times {
    fn new() -> Times {
        Times(Histogram::new(3).expect("a sound precision"))
    }

    fn note(&mut self, time: Micros) {
        let _ = self.0.record(time.min(LONGEST) / MS); // up to a minute always fits
    }

    fn told(&self) -> String {
        let s = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1e3;
        format!("{:5.2} {:5.2} {:5.2}", s(0.5), s(0.99), s(0.999))
    }
}

fn link(loss: u32) -> Link {
    Link { loss_permille: loss, delay_range: (MS, 20 * MS), ..Link::default() }
}

fn in_virtual_time(numbers: &[usize], losses: &[u32]) {
    println!("seconds as median, p99 and p99.9 over all nodes that are to know; {ROUNDS} rounds a row");
    println!(
        "nodes loss   a death known      a return known     a split healed     bytes/s  heartbeats: death known"
    );
    for &nodes in numbers {
        for &loss in losses {
            let mut world = Simulation::new(nodes, nodes as u64 + u64::from(loss));
            (world.checks_invariants, world.default_link) = (false, link(loss));
            world.start_all(SEC);
            world.run(20 * SEC);
            let before: u64 = world.nodes.iter().map(|node| node.sent_bytes).sum();
            world.run(10 * SEC);
            let sent: u64 = world.nodes.iter().map(|node| node.sent_bytes).sum();
            let bytes = (sent - before) / 10 / nodes as u64;
            let (mut known, mut back) = (Times::new(), Times::new());
            for _ in 0..ROUNDS {
                let node = world.rng.usize(..nodes);
                let phase = world.rng.u64(..SEC);
                world.run(phase);
                world.kill(node);
                learned(&mut world, node, NodeState::Gone, 12 * SEC, &mut known);
                let now = world.now;
                world.start_at(node, now);
                learned(&mut world, node, NodeState::Here, 8 * SEC, &mut back);
            }
            let mut healed = Times::new();
            for _ in 0..if nodes > 300 { 1 } else { 3 } {
                let odd: Vec<bool> = (0..nodes).map(|_| world.rng.bool()).collect();
                world.split(|node| odd[node], true);
                world.run(20 * SEC);
                world.split(|node| odd[node], false);
                // Ways of their own were cut; all are as usual now.
                world.reset_links();
                let start = world.now;
                while !world.is_converged() && world.now < start + LONGEST {
                    world.run(200 * MS);
                }
                healed.note(world.now - start);
            }
            let plain = heartbeats(nodes, loss, bytes.max(400), &mut world.rng);
            println!(
                "{nodes:5} {:3} %  {}  {}  {}  {bytes:6}  {}",
                loss / 10,
                known.told(),
                back.told(),
                healed.told(),
                plain.told()
            );
        }
    }
}

/// Notes when each of the others comes to hold one to be something, within a time that passes.
fn learned(world: &mut Simulation, node: usize, what: NodeState, within: Micros, times: &mut Times) {
    let start = world.now;
    world.events.clear();
    world.run(within);
    let mut at: Vec<Option<Micros>> = vec![None; world.nodes.len()];
    for (time, by, change) in &world.events {
        if let MembershipEvent::StateChanged { node: of, current: is, .. } = change
            && (*of, *is) == (node, what)
        {
            at[*by].get_or_insert(*time);
        }
    }
    for by in (0..at.len()).filter(|&by| by != node) {
        times.note(at[by].map_or(LONGEST, |at| at - start));
    }
}

/// Plain heartbeats: each node tells each other that it lives, as often as the same bytes allow, and is held to be dead
/// when nothing came for as many of them as makes a false alarm as rare as one a day and pair.
fn heartbeats(nodes: usize, loss: u32, bytes: u64, rng: &mut fastrand::Rng) -> Times {
    // A datagram of 40 bytes: the same header, and who it is.
    let period = (nodes as u64 - 1) * 40 * SEC / bytes.max(1);
    let mut missed = 1;
    let rare = period as f64 / (86_400.0 * SEC as f64);
    while loss > 0 && (f64::from(loss) / 1_000.0).powi(missed) > rare && missed < 100 {
        missed += 1;
    }
    let mut times = Times::new();
    for _ in 0..ROUNDS * nodes {
        times.note((missed as u64 + 1) * period - rng.u64(..period.max(1)));
    }
    times
}

/// An hour at 300 nodes with 20 % loss, each paused for a second once a minute.
fn an_hour() {
    let nodes = 300;
    let mut world = Simulation::new(nodes, 60);
    (world.checks_invariants, world.default_link) = (false, link(200));
    world.start_all(SEC);
    world.run(30 * SEC);
    world.events.clear();
    let (mut gone, mut unconfirmed, mut unknown) = (0, 0, 0);
    for second in 0..3_600_usize {
        let some: Vec<usize> = (0..nodes).filter(|node| node % 60 == second % 60).collect();
        some.iter().for_each(|&node| world.pause(node));
        world.run(SEC);
        some.iter().for_each(|&node| world.resume(node));
        for (_, _, change) in world.events.drain(..) {
            match change {
                MembershipEvent::StateChanged {
                    current: NodeState::Gone,
                    reason: StateReason::LeaseExpired { .. },
                    ..
                } => gone += 1,
                MembershipEvent::StateChanged { current: NodeState::Unknown, .. } => unknown += 1,
                MembershipEvent::ConfirmationChanged(false) => unconfirmed += 1,
                _ => {}
            }
        }
    }
    println!(
        "an hour, {nodes} nodes, 20 % loss, a pause of 1 s each minute: held to be gone though alive {gone} times,"
    );
    println!(
        "not known for a while {unknown} times of {} pairs, a node unconfirmed for a while {unconfirmed} times",
        nodes * (nodes - 1)
    );
}

/// A node with siblings under a load, beside one without: answer times and the processor time of its process.
fn under_load(program: &Path) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let mut rows: Vec<(bool, [f64; 4])> = Vec::new();
    for round in 0..6 {
        let siblings = round % 2 == 1;
        let folder = tempfile::tempdir()?;
        let plan = ClusterPlan { siblings, ..ClusterPlan::new(program.into(), 5, 1) };
        let cluster = Cluster::start(plan, folder.path())?;
        std::thread::sleep(Duration::from_secs(4));
        let time = Duration::from_secs(15);
        let load = Load {
            keep_requests: true,
            rate: 300.0,
            ..Load::standard(cluster.client_address(0), time, round)
        };
        let process = cluster.process_id(0).unwrap_or_default();
        let before = processor_ms(process);
        let clock = cluster.fleet.clock().clone();
        let report = runtime.block_on(runtime.spawn(clients::run(load, clock, Arc::default())))?;
        let cpu = (processor_ms(process) - before) / time.as_secs_f64();
        let served = report.served_latencies();
        let ms = |quantile: f64| served.value_at_quantile(quantile) as f64 / 1e3;
        rows.push((siblings, [ms(0.5), ms(0.99), ms(0.999), cpu]));
    }
    println!("300 requests a second at one of five nodes: p50, p99, p99.9 in ms, processor ms a second");
    for (siblings, [p50, p99, p999, cpu]) in rows {
        println!("{:8} {p50:6.2} {p99:6.2} {p999:6.2} {cpu:6.2}", if siblings { "with" } else { "without" });
    }
    Ok(())
}

/// The processor time of a process so far, in milliseconds.
fn processor_ms(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    let first = text.split(' ').next().and_then(|nanoseconds| nanoseconds.parse::<f64>().ok());
    first.unwrap_or(0.0) / 1e6
}

fn ended(result: std::io::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("siblings: {error}");
            ExitCode::FAILURE
        }
    }
}

fn processes(nodes: usize, program: &Path) -> std::io::Result<()> {
    raise_descriptors()?;
    let folder = tempfile::tempdir()?;
    let plan = ClusterPlan::new(program.into(), nodes, 1);
    let start = Instant::now();
    let mut cluster = Cluster::start(plan, folder.path())?;
    let all: Vec<usize> = (0..nodes).collect();
    let took = |what: &str, start: Instant, came: bool| {
        let came = if came { "" } else { "  NOT WITHIN A MINUTE" };
        println!("{nodes} processes: {what} {:.2} s{came}", start.elapsed().as_secs_f64());
    };
    let came = cluster.wait_until(|cluster| cluster.is_converged(&all));
    took("all started and here", start, came);
    let before = cluster.datagram_counts();
    std::thread::sleep(Duration::from_secs(10));
    let bytes = (cluster.datagram_counts().1 - before.1) / 10 / nodes as u64;
    println!("{nodes} processes: {bytes} bytes a second and node at rest, as the relay counts them");
    let (dead, others): (usize, Vec<usize>) =
        (nodes / 2, all.iter().copied().filter(|&n| n != nodes / 2).collect());
    let start = Instant::now();
    cluster.inject(&Fault::Kill(vec![dead]))?;
    let gone =
        |cluster: &Cluster| others.iter().all(|&at| cluster.node_state(at, dead).as_deref() == Some("gone"));
    let came = cluster.wait_until(gone);
    took("a death known to all", start, came);
    let start = Instant::now();
    cluster.inject(&Fault::Start(vec![dead]))?;
    let came = cluster.wait_until(|cluster| cluster.is_converged(&all));
    took("its return known to all", start, came);
    let some: Vec<usize> = all.iter().copied().filter(|n| n % 10 < 7).collect();
    let start = Instant::now();
    cluster.inject(&Fault::Kill(some.clone()))?;
    cluster.inject(&Fault::Start(some))?;
    let came = cluster.wait_until(|cluster| cluster.is_converged(&all));
    took("7 in 10 killed in an instant, back, and known to all", start, came);
    let (left, right) = all.split_at(nodes / 2);
    for (from, to) in [(left, right), (right, left)] {
        cluster.inject(&Fault::Links(from.to_vec(), to.to_vec(), LinkFaults::CUT))?;
    }
    std::thread::sleep(Duration::from_secs(20));
    let start = Instant::now();
    cluster.inject(&Fault::Links(all.clone(), all.clone(), LinkFaults::NONE))?;
    let came = cluster.wait_until(|cluster| cluster.is_converged(&all));
    took("half and half for 20 s, healed after", start, came);
    Ok(())
}
