//! How soon all nodes hold an order, how soon one who returns is level, and in how many bytes, in virtual time; on processes
//! of the program, the same, and what evidence held in common spares when a box turns slow or swallows requests.
//!
//! `target/release/replica [virtual | processes NODES PROGRAM | evidence NODES PROGRAM]`

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use lilacquay_bench::raise_descriptors;
use lilacquay_fleet::clients::{self, Load};
use lilacquay_fleet::cluster::{Cluster, ClusterPlan};
use lilacquay_fleet::record::Event;
use lilacquay_fleet::script::Step;
use lilacquay_fleet::{Faults, FleetConfig};
use lilacquay_replica::SyncState;
use lilacquay_replica::orders::Action;
use lilacquay_replica::simulation::{MS, SEC, Simulation};
use serde_json::json;

/// Orders of each row.
const ROUNDS: usize = 20;
/// Turns with and without evidence.
const TURNS: u64 = 4;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let done = match args.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] | ["virtual"] => {
            in_virtual_time();
            Ok(())
        }
        [what @ ("processes" | "evidence"), nodes, program] => match nodes.parse() {
            Ok(nodes) if what == "processes" => processes(nodes, Path::new(program)),
            Ok(nodes) => evidence(nodes, Path::new(program)),
            Err(_) => return usage(),
        },
        _ => return usage(),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("replica: {error}");
            ExitCode::FAILURE
        }
    }
}

fn usage() -> ExitCode {
    eprintln!("replica [virtual | processes NODES PROGRAM | evidence NODES PROGRAM]");
    ExitCode::FAILURE
}

fn told(times: &Histogram<u64>) -> String {
    let s = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e6;
    format!("{:5.2} {:5.2} {:5.2}", s(0.5), s(0.99), s(0.999))
}

fn bytes(world: &Simulation) -> u64 {
    world.nodes.iter().map(|node| node.sent_bytes).sum()
}

fn order(world: &mut Simulation, node: usize, server: &str, action: Action) -> u64 {
    world.with_replica(node, |replica, now| {
        replica.issue_order(now, server.as_bytes(), action, None, 0).expect("there is room")
    })
}

fn in_virtual_time() {
    println!("seconds as median, p99 and p99.9 over all nodes; {ROUNDS} orders a row; ways of 1 to 20 ms");
    println!(
        "nodes loss   a drain held         by its origin's count  bytes a node  at rest, bytes/s and node"
    );
    for nodes in [10, 100, 300] {
        for loss in [0, 100, 200] {
            let mut world = Simulation::new(nodes, nodes as u64 + u64::from(loss));
            (world.loss_permille, world.duplicate_permille) = (loss, 0);
            world.run(6 * SEC);
            let before = bytes(&world);
            world.run(10 * SEC);
            let rest = (bytes(&world) - before) / 10 / nodes as u64;
            let (mut held, mut counted) = (clients::latency_histogram(), clients::latency_histogram());
            let mut storm = 0;
            for round in 0..ROUNDS {
                let (origin, server) = (world.rng.usize(..nodes), format!("box-{round}"));
                let (start, before) = (world.now, bytes(&world));
                let id = order(&mut world, origin, &server, Action::Drain);
                let mut at: Vec<Option<u64>> = vec![None; nodes];
                let mut all = None;
                while world.now < start + 5 * SEC {
                    world.run(10 * MS);
                    for (node, at) in at.iter_mut().enumerate().filter(|(_, at)| at.is_none()) {
                        *at = world.replica(node).record(id).is_some().then(|| world.now - start);
                    }
                    all =
                        all.or((world.replica(origin).holder_count(id) == nodes).then(|| world.now - start));
                }
                at.iter().for_each(|at| _ = held.record(at.unwrap_or(5 * SEC).max(1)));
                let _ = counted.record(all.unwrap_or(5 * SEC));
                storm += (bytes(&world) - before).saturating_sub(rest * 5 * nodes as u64);
            }
            let each = storm / ROUNDS as u64 / nodes as u64;
            println!("{nodes:5} {:3} %  {}  {}  {each:8}  {rest:8}", loss / 10, told(&held), told(&counted));
        }
    }
    println!(
        "of 300 nodes with 100 records, 10 % loss: so many return with nothing, level after; datagrams of the busiest"
    );
    for back in [1, 30, 200] {
        let mut world = Simulation::new(300, back as u64);
        (world.loss_permille, world.duplicate_permille) = (100, 0);
        world.run(6 * SEC);
        for n in 0..100 {
            order(&mut world, n, &format!("box-{n}"), Action::Drain);
        }
        world.run_until(60 * SEC, Simulation::is_converged);
        (0..back).for_each(|node| world.kill(node));
        (0..back).for_each(|node| world.start(node));
        let (start, before) = (world.now, bytes(&world));
        let sent: Vec<u64> = world.nodes.iter().map(|node| node.sent).collect();
        let mut times = clients::latency_histogram();
        let mut level = vec![false; back];
        while level.iter().any(|level| !level) && world.now < start + 30 * SEC {
            world.run(10 * MS);
            for (node, level) in level.iter_mut().enumerate().filter(|(_, level)| !**level) {
                *level = matches!(world.replica(node).sync_state(), SyncState::UpToDate(_));
                if *level {
                    let _ = times.record(world.now - start);
                }
            }
        }
        let most = (0..300).map(|n| world.nodes[n].sent - sent[n]).max().unwrap_or(0);
        let all = (bytes(&world) - before) / back as u64;
        println!("{back:5}  {}  {all:8} bytes for each  {most:5}", told(&times));
    }
}

fn held(cluster: &Cluster, node: usize, server: &str, wait_for: usize) -> Option<(u64, u64)> {
    let ask = json!({ "v": 2, "ask": "drain", "server": server, "lasting": false, "force": false, "wait_for": wait_for });
    let answer = cluster.query(node, &ask)?;
    Some((answer["held"]["nodes"].as_u64()?, answer["held"]["after_ms"].as_u64()?))
}

fn processes(nodes: usize, program: &Path) -> std::io::Result<()> {
    raise_descriptors()?;
    let folder = tempfile::tempdir()?;
    let plan = ClusterPlan::new(program.into(), nodes, 1);
    let plan = ClusterPlan { fleet: FleetConfig { boxes: 24, ..plan.fleet.clone() }, ..plan };
    let mut cluster = Cluster::start(plan, folder.path())?;
    let all: Vec<usize> = (0..nodes).collect();
    if !cluster.wait_until(|cluster| cluster.is_converged(&all)) {
        println!("{nodes} processes: NOT WHOLE WITHIN A MINUTE");
    }
    let mut times = clients::latency_histogram();
    for round in 0..16 {
        let node = round % nodes;
        let told = held(&cluster, node, &format!("box-{round}"), nodes);
        match told {
            Some((by, ms)) if by as usize == nodes => _ = times.record((ms * 1_000).max(1)),
            other => println!("{nodes} processes: order {round} at node {node}: {other:?}"),
        }
    }
    println!("{nodes} processes: from an order to the word that all hold it, s: {}", told(&times));
    let back: Vec<usize> = all.iter().copied().filter(|node| node % 10 < 7).collect();
    let start = Instant::now();
    cluster.inject(&lilacquay_fleet::cluster::Fault::Kill(back.clone()))?;
    cluster.inject(&lilacquay_fleet::cluster::Fault::Start(back))?;
    let level = |cluster: &Cluster| {
        let copies: Vec<_> = all.iter().filter_map(|&node| cluster.replica_view(node)).collect();
        copies.len() == nodes
            && copies.iter().all(|c| c["stage"] == "level" && c["root"] == copies[0]["root"])
    };
    let came = cluster.wait_until(level);
    println!(
        "{nodes} processes: 7 in 10 killed at once and level again after {:.2} s ({came})",
        start.elapsed().as_secs_f64()
    );
    Ok(())
}

/// What befalls the box.
fn befalls() -> [(&'static str, Faults); 2] {
    let slow = Faults { slow: 8.0, ..Faults::default() };
    let swallows = Faults { swallow: 0.7, ..Faults::default() };
    [("eight times slower", slow), ("swallows seven in ten", swallows)]
}

fn evidence(nodes: usize, program: &Path) -> std::io::Result<()> {
    raise_descriptors()?;
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    println!(
        "{nodes} nodes of 15 requests a second, 6 s from when a box turns bad, turns without and with evidence:"
    );
    println!("late by 100 ms, not served, sent to the box in the 1st, 2nd and 3rd two seconds");
    for (what, faults) in befalls() {
        for turn in 0..TURNS {
            let on = turn % 2 == 1;
            let folder = tempfile::tempdir()?;
            let plan = ClusterPlan::new(program.into(), nodes, 1 + turn / 2);
            let common = if on { vec!["evidence"] } else { vec![] };
            let cluster =
                Cluster::start(ClusterPlan { replicated_kinds: Some(common), ..plan }, folder.path())?;
            let all: Vec<usize> = (0..nodes).collect();
            cluster.wait_until(|cluster| cluster.is_converged(&all));
            let load = |node: usize, time: u64, seed: u64| {
                let time = Duration::from_secs(time);
                let load = Load {
                    keep_requests: true,
                    rate: 15.0,
                    ..Load::standard(cluster.client_address(node), time, seed)
                };
                runtime.spawn(clients::run(load, cluster.fleet.clock().clone(), Arc::default()))
            };
            let warm: Vec<_> = all.iter().map(|&node| load(node, 4, node as u64 + 100 * turn / 2)).collect();
            for task in warm {
                runtime.block_on(task)?;
            }
            cluster.fleet.step(Step::Faults { server: "box-1".into(), faults: faults.clone() })?;
            let start = cluster.fleet.clock().now();
            let running: Vec<_> =
                all.iter().map(|&node| load(node, 6, 1_000 + node as u64 + 100 * (turn / 2))).collect();
            let (mut late, mut unserved, mut asked) = (0, 0, 0);
            for task in running {
                let report = runtime.block_on(task)?;
                let served = report.served_latencies();
                late += served.count_between(100_000, 60_000_000);
                unserved += report.classes.iter().map(|c| c.refused + c.failed + c.broken).sum::<u64>();
                asked += report.requests.len();
            }
            let mut sent = [0; 3];
            for record in cluster.fleet.records().0 {
                let second = record.at.saturating_sub(start) / 2_000_000;
                if &*record.server == "box-1"
                    && record.at >= start
                    && matches!(record.event, Event::FirstByte)
                    && second < 3
                {
                    sent[second as usize] += 1;
                }
            }
            let word = if on { "with" } else { "without" };
            println!("{what:22} {word:8} {late:4} late, {unserved:4} not served of {asked:5}; sent {sent:?}");
        }
    }
    Ok(())
}
