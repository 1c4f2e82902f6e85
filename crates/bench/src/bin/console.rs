//! What consoles cost a node and themselves, and what watching costs a request: answer times with none, one, sixteen, some of
//! them stopped, in turns in one run; CPU and bytes a console; nanoseconds a request of gathering figures; time from a key to
//! the screen. `cargo run --release -p lilacquay-bench --bin console`

use std::error::Error;
use std::hint::black_box;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
use lilacquay_bench::Subject;
use lilacquay_fleet::clients::{self, Load, latency_histogram};
use lilacquay_fleet::{Fleet, FleetConfig};
use lilacquay_observe::{AnswerKind, AttemptOutcome, Observer, RequestInfo, RetrySafety};
use portable_pty::{Child, CommandBuilder, MasterPty, PtySize, native_pty_system};

type Failed = Box<dyn Error>;

/// Measures consoles
#[derive(Parser)]
struct Args {
    /// The node's program, and the console's
    #[arg(long, default_value = "target/release/lilacquay")]
    node: PathBuf,
    /// Rounds of all states
    #[arg(long, default_value_t = 6)]
    rounds: u64,
    /// Seconds of a turn
    #[arg(long, default_value_t = 5)]
    seconds: u64,
}

/// A console on a pseudo-terminal of 80 by 24.
struct Console {
    child: Box<dyn Child + Send + Sync>,
    keys: Box<dyn Write + Send>,
    _master: Box<dyn MasterPty + Send>,
    bytes: Arc<AtomicU64>,
    /// When something was written.
    written: Receiver<Instant>,
}

impl Console {
    fn open(program: &Path, state: &Path) -> Result<Console, Failed> {
        let pty =
            native_pty_system().openpty(PtySize { rows: 24, cols: 80, pixel_width: 0, pixel_height: 0 })?;
        let mut command = CommandBuilder::new(program.canonicalize()?);
        command.args(["console", "--state"]);
        command.arg(state);
        command.env("TERM", "xterm-256color");
        let child = pty.slave.spawn_command(command)?;
        drop(pty.slave);
        let (mut output, keys) = (pty.master.try_clone_reader()?, pty.master.take_writer()?);
        let (bytes, (to, written)) = (Arc::new(AtomicU64::new(0)), channel());
        let counted = bytes.clone();
        thread::spawn(move || {
            let mut buffer = [0; 8192];
            while let Ok(n) = output.read(&mut buffer) {
                if n == 0 || to.send(Instant::now()).is_err() {
                    return;
                }
                counted.fetch_add(n as u64, Ordering::Relaxed);
            }
        });
        Ok(Console { child, keys, _master: pty.master, bytes, written })
    }

    fn pid(&self) -> u32 {
        self.child.process_id().unwrap_or(0)
    }

    /// Presses a key while nothing is being drawn; tells how long until something is.
    fn key_to_screen(&mut self, key: u8) -> Result<Duration, Failed> {
        while self.written.recv_timeout(Duration::from_millis(120)).is_ok() {}
        let start = Instant::now();
        self.keys.write_all(&[key])?;
        self.keys.flush()?;
        Ok(self.written.recv_timeout(Duration::from_secs(5))? - start)
    }
}

impl Drop for Console {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Nanoseconds of CPU of all threads of a process.
fn cpu(pid: u32) -> u64 {
    let tasks = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let of = |path: PathBuf| std::fs::read_to_string(path.join("schedstat")).unwrap_or_default();
    tasks.filter_map(|task| of(task.path()).split_whitespace().next()?.parse::<u64>().ok()).sum()
}

fn signal(pid: u32, signal: rustix::process::Signal) -> Result<(), Failed> {
    let pid = i32::try_from(pid).ok().and_then(rustix::process::Pid::from_raw).ok_or("no process")?;
    Ok(rustix::process::kill_process(pid, signal)?)
}

/// How many look: so many consoles, of which so many stand still.
const STATES: [(&str, usize, usize); 5] = [
    ("none", 0, 0),
    ("one", 1, 0),
    ("sixteen", 16, 0),
    ("sixteen, eight stopped", 16, 8),
    ("none again", 0, 0),
];

fn main() -> Result<(), Failed> {
    let args = Args::parse();
    gathering();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
    let fleet = Fleet::start(FleetConfig { record_events: false, ..FleetConfig::default() })?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let (node, state) = Subject::controlled(&args.node, &fleet.configuration(any, 512))?;
    let time = Duration::from_secs(args.seconds);
    let load = |seed| Load::standard(node.addr, time, seed);
    runtime.block_on(clients::run(load(99), fleet.clock().clone(), Arc::default()));
    let all: [_; 5] = std::array::from_fn(|_| Mutex::new((latency_histogram(), Vec::new(), Vec::new(), 0.0)));
    for round in 0..args.rounds {
        for turn in 0..STATES.len() {
            let n = (turn + round as usize) % STATES.len();
            let (_, consoles, stopped) = STATES[n];
            let consoles: Vec<Console> =
                (0..consoles).map(|_| Console::open(&args.node, &state)).collect::<Result<_, _>>()?;
            thread::sleep(Duration::from_millis(1500)); // until they are up
            for console in &consoles[..stopped] {
                signal(console.pid(), rustix::process::Signal::STOP)?;
            }
            let before: Vec<(u64, u64)> =
                consoles.iter().map(|c| (cpu(c.pid()), c.bytes.load(Ordering::Relaxed))).collect();
            let own = cpu(node.pid());
            let report = runtime.block_on(clients::run(load(round), fleet.clock().clone(), Arc::default()));
            let own = (cpu(node.pid()) - own) as f64 / time.as_nanos() as f64;
            let seconds = time.as_secs_f64();
            let mut state = all[n].lock().map_err(|_| "a poisoned lock")?;
            state.0.add(report.served_latencies())?;
            state.1.push(report.served_latencies().value_at_quantile(0.99));
            state.2.push(own);
            if let Some((console, (cpu_before, bytes))) = consoles.last().zip(before.last()) {
                let spent = (cpu(console.pid()) - cpu_before) as f64 / 1e9 / seconds;
                let written = (console.bytes.load(Ordering::Relaxed) - bytes) as f64 / seconds;
                state.3 = written;
                println!(
                    "round {round} {:24} a console: {:.2} % of a core, {written:.0} bytes/s",
                    STATES[n].0,
                    spent * 100.0
                );
            }
        }
    }
    println!(
        "\n{:24} {:>8} {:>8} {:>8}  {:>20} {:>12}",
        "consoles", "p50 us", "p99", "p99.9", "p99 of turns", "node's core"
    );
    for ((name, ..), state) in STATES.iter().zip(&all) {
        let state = state.lock().map_err(|_| "a poisoned lock")?;
        let of = |part| state.0.value_at_quantile(part);
        let (low, high) = (state.1.iter().min().unwrap_or(&0), state.1.iter().max().unwrap_or(&0));
        let mut own = state.2.clone();
        own.sort_by(f64::total_cmp);
        let own = own[own.len() / 2] * 100.0;
        println!(
            "{name:24} {:>8} {:>8} {:>8}  {:>20} {own:>11.2}%",
            of(0.5),
            of(0.99),
            of(0.999),
            format!("{low}..{high}")
        );
    }
    keys(&args, &runtime, &fleet, &node, &state)
}

/// Time from a key to the first byte that is drawn for it, under the load.
fn keys(
    args: &Args,
    runtime: &tokio::runtime::Runtime,
    fleet: &Fleet,
    node: &Subject,
    state: &Path,
) -> Result<(), Failed> {
    let load = Load::standard(node.addr, Duration::from_secs(20), 5);
    let running = runtime.spawn(clients::run(load, fleet.clock().clone(), Arc::default()));
    let mut console = Console::open(&args.node, state)?;
    thread::sleep(Duration::from_millis(1500)); // until it is up
    let mut all = latency_histogram();
    for n in 0..60 {
        all.record(console.key_to_screen(b'1' + n % 5)?.as_micros() as u64)?;
    }
    let of = |part| all.value_at_quantile(part);
    println!(
        "\nfrom a key to the screen: p50 {} us, p99 {} us, the longest {} us",
        of(0.5),
        of(0.99),
        all.max()
    );
    runtime.block_on(running)?;
    Ok(())
}

/// What gathering costs a request, with nobody and with somebody who looks: a request that is sent once and served.
fn gathering() {
    const REQUESTS: u32 = 2_000_000;
    let each = |observer: &mut Option<Observer>| {
        let start = Instant::now();
        for n in 0..REQUESTS {
            let now = u64::from(n) * 100;
            // As the core does: one look whether there is an observer for each of what happens.
            if let Some(observer) = black_box(&mut *observer) {
                let (class, tenant) = (Some(0), None);
                observer.request_arrived(
                    now,
                    RequestInfo { id: n, class, tenant, wait: 1_000_000, retry_safety: RetrySafety::Safe },
                );
            }
            if let Some(observer) = black_box(&mut *observer) {
                observer.attempt_sent(now, n, n % 12);
            }
            if let Some(observer) = black_box(&mut *observer) {
                observer.attempt_ended(now + 90, n, n % 12, AttemptOutcome::Served, 90);
            }
            if let Some(observer) = black_box(&mut *observer) {
                observer.request_answered(now + 90, n, AnswerKind::Served, || "a key");
            }
            if let Some(observer) = black_box(&mut *observer) {
                observer.request_closed(n);
            }
        }
        start.elapsed().as_nanos() as f64 / f64::from(REQUESTS)
    };
    let none = each(&mut None);
    let one = each(&mut Some(Observer::new(0, 3)));
    println!("gathering, a request: {none:.1} ns with nobody who looks, {one:.0} ns with somebody\n");
}
