//! `lilacquay fleet`: a whole site on loopback.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use lilacquay_fleet::script::Script;
use lilacquay_fleet::verdict::check;
use lilacquay_fleet::{Fleet, FleetConfig};
use rustix::process::{Pid, Signal as Kill, kill_process};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use crate::cli::FleetArgs;
use crate::script;

/// Descriptors of the node.
const SOCKETS: usize = 1024;
/// Between word of a drain and the last thing sent, in microseconds, by the fleet's settings.
const GRACE: u64 = 500_000;

/// The node's options for etcd, and for memcached, in its folder.
const ETCD: &str = "etcd.toml";
const MEMCACHED: &str = "memcached.toml";

/// Where the node listens.
#[derive(Clone, Copy)]
struct At {
    resp: SocketAddr,
    memcached: Option<SocketAddr>,
}

/// Runs a fleet and a node until it is told to end.
pub fn run(args: FleetArgs) -> io::Result<()> {
    let script = match &args.script {
        Some(file) => script::read(file).map_err(io::Error::other)?,
        None => Script::new(),
    };
    // Guards against: a node left behind by a signal that comes while it starts.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let signals = runtime.block_on(async { Signals::new() })?;
    let FleetArgs { boxes, seed, etcd, listen, memcached, .. } = args;
    let plan = FleetConfig {
        boxes,
        seed,
        etcd_endpoints: etcd,
        memcached_boxes: memcached.unwrap_or(0),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(plan)?;
    let (mut node, at) = Node::start(&fleet, listen, memcached.is_some())?;
    introduce(&fleet, &node, at)?;
    runtime.block_on(async {
        tokio::select! {
            () = signals.told_to_end(args.duration) => Ok(()),
            played = play(&fleet, script) => played,
            ended = node.ended() => ended,
        }
    })?;
    drop(node);
    conclude(&fleet)
}

/// Prints what the servers saw of broken rules. What clients see of them is `load`'s to tell.
fn conclude(fleet: &Fleet) -> io::Result<()> {
    let (records, dropped) = fleet.records();
    let broken = check((&records, dropped), &[], 0, GRACE);
    let mut out = io::stdout().lock();
    writeln!(out, "\nrules broken, as the servers saw them: {}", broken.len())?;
    broken.iter().take(20).try_for_each(|broken| writeln!(out, "  {broken}"))
}

/// The node's process. It ends with this value.
struct Node {
    child: Child,
    folder: tempfile::TempDir,
}

impl Node {
    fn start(fleet: &Fleet, listen: SocketAddr, memcached: bool) -> io::Result<(Node, At)> {
        let folder = tempfile::tempdir()?;
        let json = folder.path().join("node.json");
        std::fs::write(&json, fleet.configuration(listen, SOCKETS))?;
        let mut command = Command::new(std::env::current_exe()?);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let parts = [
            ("etcd", ETCD, fleet.etcd_options()),
            ("memcached", MEMCACHED, memcached.then(|| fleet.memcached_options(any))),
        ];
        let mut options = "node = \"node.json\"\n".to_owned();
        for (part, file, text) in parts {
            if let Some(text) = text {
                std::fs::write(folder.path().join(file), text)?;
                options += &format!("{part} = \"{file}\"\n");
            }
        }
        let file = folder.path().join("serve.toml");
        std::fs::write(&file, options)?;
        command.arg("serve").arg("--config").arg(file);
        let mut child = command
            .env_remove("EDGE_LISTEN")
            .env_remove("EDGE_DISCOVERY")
            .stderr(Stdio::piped())
            .process_group(0) // Ctrl-C is for this process, which ends the node in order
            .spawn()?;
        let log = child.stderr.take().ok_or_else(|| io::Error::other("no log"))?;
        let mut log = BufReader::new(log);
        let mut first = String::new();
        log.read_line(&mut first)?;
        let node = Node { child, folder };
        let address = |line: String| {
            let address = line.trim().rsplit_once("listening on ").and_then(|(_, addr)| addr.parse().ok());
            address.ok_or_else(|| io::Error::other(format!("the node did not start: {}", line.trim())))
        };
        let resp = address(first)?;
        let memcached = memcached.then(|| {
            let mut second = String::new();
            log.read_line(&mut second)?;
            address(second)
        });
        let at = At { resp, memcached: memcached.transpose()? };
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| _ = writeln!(io::stderr(), "node: {line}"));
        });
        Ok((node, at))
    }

    /// Waits for its end, which nobody asked for.
    async fn ended(&mut self) -> io::Result<()> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Err(io::Error::other(format!("the node ended: {status}")));
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        if pid.is_none_or(|pid| kill_process(pid, Kill::TERM).is_err()) {
            let _ = self.child.kill();
        }
        let _ = self.child.wait();
    }
}

/// Ctrl-C and SIGTERM.
struct Signals {
    interrupt: Signal,
    terminate: Signal,
}

impl Signals {
    fn new() -> io::Result<Signals> {
        let (interrupt, terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
        Ok(Signals { interrupt, terminate })
    }

    /// Waits for either, or until the time is up.
    async fn told_to_end(mut self, time: Option<Duration>) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
            () = sleep(time.unwrap_or(Duration::MAX)) => {}
        }
    }
}

/// Plays the script; never ends unless a step fails.
async fn play(fleet: &Fleet, script: Script) -> io::Result<()> {
    let start = Instant::now();
    for (at, step) in script {
        tokio::time::sleep_until((start + at).into()).await;
        writeln!(io::stdout(), "{:6.1} s  {step:?}", start.elapsed().as_secs_f64())?;
        fleet.step(step)?;
    }
    std::future::pending().await
}

/// Prints where everything is, and the answer to one read.
fn introduce(fleet: &Fleet, node: &Node, at: At) -> io::Result<()> {
    let addr = at.resp;
    let mut out = io::stdout().lock();
    for (n, addr) in fleet.boxes.iter().enumerate() {
        writeln!(out, "{:<10} {addr}", format!("box-{n}"))?;
    }
    writeln!(out, "{:<10} {}", "origin", fleet.origin)?;
    writeln!(out, "{:<10} {}", "discovery", fleet.discovery)?;
    for endpoint in fleet.etcd.iter().flat_map(|etcd| &etcd.endpoints) {
        writeln!(out, "{:<10} {endpoint}", "etcd")?;
    }
    writeln!(out, "{:<10} {addr} (process {})", "node", node.child.id())?;
    if let Some(memcached) = at.memcached {
        writeln!(out, "{:<10} {memcached}", "memcached")?;
    }
    let asked = Instant::now();
    let answer = ask(addr)?;
    let took = asked.elapsed().as_secs_f64() * 1000.0;
    writeln!(out, "\nCACHE.GET calendar:12 first c=lookup,d=1000  ->  {answer:?} in {took:.1} ms")?;
    let program = std::env::current_exe()?;
    writeln!(out, "\nTo load it:  {} load --to {addr} --rate 300 --for 10s", program.display())?;
    if let Some(memcached) = at.memcached {
        writeln!(out, "Over memcached:  {} load --to {memcached} --memcached --for 10s", program.display())?;
    }
    if fleet.etcd.is_some() {
        let options = node.folder.path().join(ETCD);
        writeln!(out, "To list it:  {} members --etcd {}", program.display(), options.display())?;
    }
    writeln!(out, "Ctrl-C ends all.")?;
    out.flush()
}

fn ask(addr: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    let words = ["CACHE.GET", "calendar:12", "first", "c=lookup,d=1000"];
    let bulk: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    stream.write_all(format!("*{}\r\n{bulk}", words.len()).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (mut first, mut value) = (String::new(), String::new());
    reader.read_line(&mut first)?;
    if first.starts_with('$') {
        reader.read_line(&mut value)?;
        first = value;
    }
    Ok(first.trim().to_owned())
}
