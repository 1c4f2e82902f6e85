//! `lilacquay fleet`: runs a whole site on loopback, with servers, origin, discovery and one node as a child process.

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

/// Descriptor limit of the node.
const NODE_DESCRIPTOR_LIMIT: usize = 1024;
/// How long the node may still send to a server after it is told that the server drains, in microseconds, by the fleet's
/// settings.
const DRAIN_GRACE_US: u64 = 500_000;

/// File with the node's etcd options, in its folder.
const ETCD_FILE: &str = "etcd.toml";
/// File with the node's memcached options, in its folder.
const MEMCACHED_FILE: &str = "memcached.toml";

/// The addresses on which the node listens.
#[derive(Clone, Copy)]
struct NodeAddresses {
    resp: SocketAddr,
    memcached: Option<SocketAddr>,
}

/// Runs a fleet and a node until it is told to end.
pub fn run(args: FleetArgs) -> io::Result<()> {
    let script = match &args.script {
        Some(file) => script::read(file).map_err(io::Error::other)?,
        None => Script::new(),
    };
    // Installed before the node starts: a signal that arrives during its start would otherwise leave it running.
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
    let (mut node, addresses) = Node::start(&fleet, listen, memcached.is_some())?;
    print_addresses(&fleet, &node, addresses)?;
    runtime.block_on(async {
        tokio::select! {
            () = signals.wait_for_end(args.duration) => Ok(()),
            result = run_script(&fleet, script) => result,
            result = node.wait_for_exit() => result,
        }
    })?;
    drop(node);
    print_violations(&fleet)
}

/// Prints the rule violations that the servers observed. Those that clients observe are reported by `load`.
fn print_violations(fleet: &Fleet) -> io::Result<()> {
    let (records, dropped) = fleet.records();
    let violations = check((&records, dropped), &[], 0, DRAIN_GRACE_US);
    let mut out = io::stdout().lock();
    writeln!(out, "\nrules broken, as seen by the servers: {}", violations.len())?;
    violations.iter().take(20).try_for_each(|violation| writeln!(out, "  {violation}"))
}

/// The node's process. Dropping this ends it.
struct Node {
    child: Child,
    folder: tempfile::TempDir,
}

impl Node {
    fn start(fleet: &Fleet, listen: SocketAddr, memcached: bool) -> io::Result<(Node, NodeAddresses)> {
        let folder = tempfile::tempdir()?;
        let json_file = folder.path().join("node.json");
        std::fs::write(&json_file, fleet.configuration(listen, NODE_DESCRIPTOR_LIMIT))?;
        let mut command = Command::new(std::env::current_exe()?);
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let option_files = [
            ("etcd", ETCD_FILE, fleet.etcd_options()),
            ("memcached", MEMCACHED_FILE, memcached.then(|| fleet.memcached_options(any_port))),
        ];
        let mut options = "node = \"node.json\"\n".to_owned();
        for (key, file, text) in option_files {
            if let Some(text) = text {
                std::fs::write(folder.path().join(file), text)?;
                options += &format!("{key} = \"{file}\"\n");
            }
        }
        let file = folder.path().join("serve.toml");
        std::fs::write(&file, options)?;
        command.arg("serve").arg("--config").arg(file);
        let mut child = command
            .env_remove("EDGE_LISTEN")
            .env_remove("EDGE_DISCOVERY")
            .stderr(Stdio::piped())
            .process_group(0) // Ctrl-C must reach this process only, which then ends the node in order
            .spawn()?;
        let log = child.stderr.take().ok_or_else(|| io::Error::other("the node's log is not readable"))?;
        let mut log = BufReader::new(log);
        let mut first_line = String::new();
        log.read_line(&mut first_line)?;
        let node = Node { child, folder };
        let address = |line: String| {
            let address = line.trim().rsplit_once("listening on ").and_then(|(_, addr)| addr.parse().ok());
            address.ok_or_else(|| io::Error::other(format!("the node did not start: {}", line.trim())))
        };
        let resp = address(first_line)?;
        let memcached = memcached.then(|| {
            let mut second_line = String::new();
            log.read_line(&mut second_line)?;
            address(second_line)
        });
        let addresses = NodeAddresses { resp, memcached: memcached.transpose()? };
        std::thread::spawn(move || {
            log.lines().map_while(Result::ok).for_each(|line| _ = writeln!(io::stderr(), "node: {line}"));
        });
        Ok((node, addresses))
    }

    /// Waits until the process ends without having been told to, which is an error.
    async fn wait_for_exit(&mut self) -> io::Result<()> {
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
    async fn wait_for_end(mut self, time: Option<Duration>) {
        tokio::select! {
            _ = self.interrupt.recv() => {}
            _ = self.terminate.recv() => {}
            () = sleep(time.unwrap_or(Duration::MAX)) => {}
        }
    }
}

/// Runs the script; returns only if a step fails.
async fn run_script(fleet: &Fleet, script: Script) -> io::Result<()> {
    let start = Instant::now();
    for (at, step) in script {
        tokio::time::sleep_until((start + at).into()).await;
        writeln!(io::stdout(), "{:6.1} s  {step:?}", start.elapsed().as_secs_f64())?;
        fleet.step(step)?;
    }
    std::future::pending().await
}

/// Prints the addresses of all processes, and the answer to one read.
fn print_addresses(fleet: &Fleet, node: &Node, addresses: NodeAddresses) -> io::Result<()> {
    let addr = addresses.resp;
    let mut out = io::stdout().lock();
    for (index, addr) in fleet.boxes.iter().enumerate() {
        writeln!(out, "{:<10} {addr}", format!("box-{index}"))?;
    }
    writeln!(out, "{:<10} {}", "origin", fleet.origin)?;
    writeln!(out, "{:<10} {}", "discovery", fleet.discovery)?;
    for endpoint in fleet.etcd.iter().flat_map(|etcd| &etcd.endpoints) {
        writeln!(out, "{:<10} {endpoint}", "etcd")?;
    }
    writeln!(out, "{:<10} {addr} (process {})", "node", node.child.id())?;
    if let Some(memcached) = addresses.memcached {
        writeln!(out, "{:<10} {memcached}", "memcached")?;
    }
    let sent_at = Instant::now();
    let answer = send_read(addr)?;
    let elapsed_ms = sent_at.elapsed().as_secs_f64() * 1000.0;
    writeln!(out, "\nCACHE.GET calendar:12 first c=lookup,d=1000  ->  {answer:?} in {elapsed_ms:.1} ms")?;
    let program = std::env::current_exe()?;
    writeln!(out, "\nTo load it:  {} load --to {addr} --rate 300 --for 10s", program.display())?;
    if let Some(memcached) = addresses.memcached {
        writeln!(out, "Over memcached:  {} load --to {memcached} --memcached --for 10s", program.display())?;
    }
    if fleet.etcd.is_some() {
        let options = node.folder.path().join(ETCD_FILE);
        writeln!(out, "To list it:  {} members --etcd {}", program.display(), options.display())?;
    }
    writeln!(out, "Ctrl-C ends all processes.")?;
    out.flush()
}

/// Sends one read over RESP and returns the first line of the answer, or the value.
fn send_read(addr: SocketAddr) -> io::Result<String> {
    let mut stream = TcpStream::connect(addr)?;
    let arguments = ["CACHE.GET", "calendar:12", "first", "c=lookup,d=1000"];
    let bulk: String =
        arguments.iter().map(|argument| format!("${}\r\n{argument}\r\n", argument.len())).collect();
    stream.write_all(format!("*{}\r\n{bulk}", arguments.len()).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (mut first, mut value) = (String::new(), String::new());
    reader.read_line(&mut first)?;
    if first.starts_with('$') {
        reader.read_line(&mut value)?;
        first = value;
    }
    Ok(first.trim().to_owned())
}
