//! What operation costs: the book of counts a request; large values against a bare relay; memory by readers who take
//! nothing; the longest time without an answer while the process is replaced; the second address under full load.
//! `cargo run --release -p lilacquay-bench --bin operation`

use std::error::Error;
use std::hint::black_box;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use lilacquay_bench::{Subject, median, quantiles};
use lilacquay_fleet::clients::{self, Load, latency_histogram};
use lilacquay_fleet::{Fleet, FleetConfig};
use lilacquay_metrics::{Metrics, RequestOutcome};

type Failed = Box<dyn Error>;

/// Measures a node in operation
#[derive(Parser)]
struct Args {
    /// The node's program
    #[arg(long, default_value = "target/release/lilacquay")]
    node: PathBuf,
    /// The relay's program
    #[arg(long, default_value = "target/release/relay")]
    relay: PathBuf,
    /// Rounds of each measurement
    #[arg(long, default_value_t = 5)]
    rounds: usize,
}

fn main() -> Result<(), Failed> {
    let args = Args::parse();
    metrics();
    large(&args)?;
    readers(&args)?;
    replaced(&args)?;
    second_address(&args)
}

/// What counting costs a request that is sent once and served.
fn metrics() {
    const REQUESTS: u32 = 10_000_000;
    let metrics = Metrics::new(vec!["read".into(), "put".into()]);
    let tries = metrics.attempt_counter();
    let start = Instant::now();
    for n in 0..REQUESTS {
        let metrics = black_box(&metrics);
        metrics.request_started();
        tries.increment();
        metrics.request_ended(Some((n & 1) as usize), Some(RequestOutcome::Served));
    }
    println!("the book: {:.1} ns a request\n", start.elapsed().as_nanos() as f64 / f64::from(REQUESTS));
}

/// A cache that answers each read with as many bytes as its key says. Threads, so that it is no part of the measure.
fn cache() -> Result<SocketAddr, Failed> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let at = listener.local_addr()?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer(stream));
        }
    });
    Ok(at)
}

fn answer(mut stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let value = vec![b'v'; 4 << 20];
    loop {
        // `*4`, then length and text of each word; the second is the key.
        let mut lines = Vec::new();
        for _ in 0..9 {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            lines.push(line);
        }
        let length = lines[4].trim().parse().unwrap_or(1).min(value.len());
        stream.write_all(format!("*3\r\n${length}\r\n").as_bytes())?;
        stream.write_all(&value[..length])?;
        stream.write_all(b"\r\n$3\r\nhit\r\n$-1\r\n")?;
    }
}

fn configuration(cache: SocketAddr) -> String {
    let entry = |id: &str, at: SocketAddr, kind: &str| {
        format!(
            r#"{{"id":"{id}","addr":"{at}","zone":"a","kind":"{kind}","cell":0,"state":"SERVING","weight":1.0,"started_ms":0}}"#
        )
    };
    let servers = [entry("c", cache, "m"), entry("o", cache, "origin")].join(",");
    format!(
        r#"{{"name":"n0","seed":"1","listen":"127.0.0.1:0","discovery":"{cache}",
        "limits":{{"sockets":1024,"memory_mb":48}},
        "known":{{"version":1,"full":true,"servers":[{servers}]}},
        "settings":{{"Classes":[{{"Name":"read","Aim":300.0,"HardLimit":60000.0,"Effect":"safe","Worth":3.0}}],
        "Dcs":["a"],"Skus":["m","origin"],"FamilyInfo":{{"Mode":"aside","OriginKind":1}},
        "Limits":{{"Cancel":true,"ConnectTimeout":10000.0,"Keepalive":15000.0,"MaxAttempts":5,"MaxStreams":1,
        "SecondCopies":false}},"Quantum":5.0,"RegistryMode":"automatic","Siblings":1,"Zone":"a"}}}}"#
    )
}

fn ask(stream: &mut TcpStream, length: usize, id: usize) -> std::io::Result<()> {
    let words = ["CACHE.GET", &length.to_string(), &format!("id{id}"), "c=read,d=60000"].map(str::to_owned);
    let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    stream.write_all(format!("*4\r\n{bulk}").as_bytes())
}

/// One value: microseconds to its first byte and to its last.
fn fetch(stream: &mut TcpStream, length: usize, id: usize, behind: usize) -> Result<(f64, f64), Failed> {
    let start = Instant::now();
    ask(stream, length, id)?;
    let head = format!("${length}\r\n").len() + if behind > 0 { 4 } else { 0 };
    let mut rest = vec![0; head + 1];
    stream.read_exact(&mut rest)?;
    let first = start.elapsed();
    let mut buffer = vec![0; 256 << 10];
    let mut left = length - 1 + 2 + behind;
    while left > 0 {
        let most = buffer.len().min(left);
        match stream.read(&mut buffer[..most])? {
            0 => return Err("the value broke off".into()),
            n => left -= n,
        }
    }
    Ok((first.as_secs_f64() * 1e6, start.elapsed().as_secs_f64() * 1e6))
}

fn large(args: &Args) -> Result<(), Failed> {
    let cache = cache()?;
    let node = Subject::node(&args.node, &configuration(cache))?;
    let mut relay = Command::new(&args.relay);
    relay.arg(cache.to_string());
    let relay = Subject::start(relay, None)?;
    // What a cache says behind the value, which the relay passes on and the node keeps.
    let behind = "$3\r\nhit\r\n$-1\r\n".len();
    let subjects = [("relay", relay.addr, behind), ("node", node.addr, 0)];
    println!("{:8} {:>9}  {:>14} {:>12} {:>12}", "", "bytes", "first byte us", "last byte us", "MB/s");
    for (length, count) in [(64 << 10, 400), (4 << 20, 60)] {
        let mut all = vec![(Vec::new(), Vec::new()); subjects.len()];
        for round in 0..args.rounds {
            for ((_, at, behind), (firsts, lasts)) in subjects.iter().zip(&mut all) {
                let mut stream = TcpStream::connect(at)?;
                stream.set_nodelay(true)?;
                for n in 0..count {
                    let (first, last) = fetch(&mut stream, length, round * count + n, *behind)?;
                    firsts.push(first);
                    lasts.push(last);
                }
            }
        }
        for ((name, ..), (firsts, lasts)) in subjects.iter().zip(&all) {
            let last = median(lasts);
            println!(
                "{name:8} {length:>9}  {:>14.0} {last:>12.0} {:>12.0}",
                median(firsts),
                length as f64 / last
            );
        }
    }
    println!();
    Ok(())
}

/// Memory by readers of 4 MiB who take nothing.
fn readers(args: &Args) -> Result<(), Failed> {
    let node = Subject::node(&args.node, &configuration(cache()?))?;
    let mut stuck = Vec::new();
    print!("memory, KiB: none {}", node.memory()? >> 10);
    for wanted in [1, 10, 100] {
        while stuck.len() < wanted {
            let mut stream = TcpStream::connect(node.addr)?;
            ask(&mut stream, 4 << 20, stuck.len())?;
            stream.read_exact(&mut [0; 16])?; // it has begun
            stuck.push(stream);
        }
        thread::sleep(Duration::from_millis(500)); // until what comes has come
        print!(", {wanted} who take nothing {}", node.memory()? >> 10);
    }
    println!("\n");
    Ok(())
}

/// A node beside others on one socket.
struct Beside {
    subject: Subject,
    admin: SocketAddr,
}

fn beside(
    program: &Path,
    folder: &Path,
    configuration: &str,
    passed: Option<&OwnedFd>,
) -> Result<Beside, Failed> {
    let admin = TcpListener::bind("127.0.0.1:0")?.local_addr()?; // free again at once
    let file = folder.join(format!("{}.json", admin.port()));
    std::fs::write(&file, configuration)?;
    let mut command = Command::new(program);
    command.env("EDGE_CONFIG", &file).env("EDGE_ADMIN", admin.to_string()).env("TMPDIR", folder);
    if let Some(passed) = passed {
        command.env("EDGE_PASSED_SOCKET", passed.as_raw_fd().to_string());
    }
    let subject = Subject::start(command, None)?;
    while call(admin, "HEALTH").is_ok_and(|text| text != "ACK\n") {}
    Ok(Beside { subject, admin })
}

fn call(admin: SocketAddr, word: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(admin)?;
    stream.write_all(format!("{word}\n").as_bytes())?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

/// The longest time without an answer at 300 requests a second, with the process replaced in the midst and without.
fn replaced(args: &Args) -> Result<(), Failed> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let time = Duration::from_secs(6);
    for replaces in [false, true] {
        let (mut gaps, mut broken, mut unreached, mut all) = (Vec::new(), 0, 0, latency_histogram());
        for round in 0..args.rounds {
            let fleet = Fleet::start(FleetConfig { record_events: false, ..FleetConfig::default() })?;
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let passed = rustix::io::dup(&listener)?; // inherited by what is executed
            let (folder, at) = (tempfile::tempdir()?, listener.local_addr()?);
            let configuration = fleet.configuration(at, 512);
            let mut old = beside(&args.node, folder.path(), &configuration, Some(&passed))?;
            let load = Load { keep_requests: true, rate: 300.0, ..Load::standard(at, time, round as u64) };
            let running = runtime.spawn(clients::run(load, fleet.clock().clone(), Arc::default()));
            let start = Instant::now();
            for second in [2, 4] {
                thread::sleep(
                    (start + Duration::from_secs(second)).saturating_duration_since(Instant::now()),
                );
                if replaces {
                    let new = beside(&args.node, folder.path(), &configuration, Some(&passed))?;
                    let pid = i32::try_from(old.subject.pid()).ok().and_then(rustix::process::Pid::from_raw);
                    rustix::process::kill_process(pid.ok_or("no process")?, rustix::process::Signal::TERM)?;
                    let before = std::mem::replace(&mut old, new);
                    // Killed when its time is over, as by the platform.
                    thread::spawn(move || {
                        thread::sleep(Duration::from_millis(3700));
                        drop(before);
                    });
                }
            }
            let report = runtime.block_on(running)?;
            let mut ends: Vec<u64> = report.requests.iter().map(|ask| ask.ended).collect();
            ends.sort_unstable();
            gaps.push(ends.windows(2).map(|pair| pair[1] - pair[0]).max().unwrap_or(0) as f64 / 1e3);
            broken += report.broken();
            unreached += report.classes.iter().map(|class| class.unreached).sum::<u64>();
            all.add(report.served_latencies())?;
        }
        println!(
            "{}: longest time without an answer {:.0} ms (median of {} runs), {}, {broken} broken, {unreached} not let in",
            if replaces { "two processes replaced" } else { "none replaced" },
            median(&gaps),
            args.rounds,
            quantiles(&all)
        );
    }
    println!();
    Ok(())
}

/// Calls on the second address while the node has all the load it can take, with callers who say half a call.
fn second_address(args: &Args) -> Result<(), Failed> {
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
    let fleet = Fleet::start(FleetConfig { record_events: false, ..FleetConfig::default() })?;
    let folder = tempfile::tempdir()?;
    let configuration = fleet.configuration(SocketAddr::from(([127, 0, 0, 1], 0)), 512);
    let node = beside(&args.node, folder.path(), &configuration, None)?;
    for (name, clients) in [("idle", 0), ("64 clients that ask without a pause", 64)] {
        let load = Load::standard(node.subject.addr, Duration::from_secs(12), 1);
        let running = (clients > 0).then(|| runtime.spawn(clients::run_closed_loop(load, clients)));
        let admin = node.admin;
        let half = thread::spawn(move || -> std::io::Result<()> {
            let mut open = Vec::new();
            for _ in 0..100 {
                let mut stream = TcpStream::connect(admin)?;
                stream.write_all(b"HEAL")?;
                open.push(stream);
                thread::sleep(Duration::from_millis(100));
            }
            Ok(())
        });
        let mut all = latency_histogram();
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) {
            let begun = Instant::now();
            call(admin, if all.len().is_multiple_of(2) { "HEALTH" } else { "DUMP" })?;
            all.record(begun.elapsed().as_micros() as u64)?;
            thread::sleep(Duration::from_millis(1));
        }
        println!("second address, {name}: {} us of {} calls", quantiles(&all), all.len());
        half.join().map_err(|_| "a caller failed")??;
        if let Some(running) = running {
            let served = runtime.block_on(running)?;
            println!("  meanwhile {} requests served, {} us", served.len(), quantiles(&served));
        }
    }
    Ok(())
}
