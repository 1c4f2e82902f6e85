//! A cluster of node processes whose sibling datagrams pass through a relay.
//!
//! The relay has a link for each ordered pair of nodes. A link can be cut in one direction, lose, delay, reorder and
//! duplicate datagrams, while processes are paused, killed and restarted under the same node numbers. All faults and all
//! log lines of the nodes are recorded, with the time of one clock, and can be written to one file.

use std::fs;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::oneshot;

use crate::clock::{Clock, Micros};
use crate::{Fleet, FleetConfig};

/// The largest datagram that nodes may send, in bytes. Receive buffers have one byte more, to detect a larger one.
const MAX_DATAGRAM_BYTES: usize = 256;
/// A process that does not start, or does not answer, within this time is considered stuck.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of clusters that this process has started; gives each its own port.
static CLUSTERS_STARTED: AtomicU16 = AtomicU16::new(0);

/// The faults of the link from one node to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkFaults {
    /// No datagram is delivered.
    pub cut: bool,
    /// The fraction of datagrams that are lost, from 0 to 1.
    pub loss: f64,
    /// The fraction of datagrams that are delivered twice, from 0 to 1.
    pub doubled: f64,
    /// The upper bound of each datagram's random delay; different delays reorder datagrams.
    pub delay: Duration,
}

impl LinkFaults {
    /// No datagram is lost, delayed or duplicated.
    pub const NONE: LinkFaults = LinkFaults { cut: false, loss: 0.0, doubled: 0.0, delay: Duration::ZERO };
    /// No datagram is delivered.
    pub const CUT: LinkFaults = LinkFaults { cut: true, ..LinkFaults::NONE };
}

/// A fault, or the end of one, at some nodes or links.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// Sets the faults of the links from each node of the first list to each node of the second.
    Links(Vec<usize>, Vec<usize>, LinkFaults),
    /// Stops these nodes (SIGSTOP); they keep their state.
    Pause(Vec<usize>),
    /// Continues these nodes (SIGCONT).
    Resume(Vec<usize>),
    /// Kills these nodes (SIGKILL), all at once.
    Kill(Vec<usize>),
    /// Starts these nodes again under the same node numbers.
    Start(Vec<usize>),
}

/// The text of a fault in the event file. Link faults keep the names `Ways` and `Way` there, as in earlier files.
fn fault_text(fault: &Fault) -> String {
    format!("{fault:?}").replace("Links(", "Ways(").replace("LinkFaults {", "Way {")
}

/// Faults, each with the time from the start of the schedule at which it is injected.
pub type FaultSchedule = Vec<(Duration, Fault)>;

/// Draws a schedule of faults from a seed.
///
/// There are four rounds of equal length. Each has one fault, for 0.6 of the round. Except for a round in which all links
/// are lossy, it affects up to a third of the nodes, rounded up. Each fault is undone before the schedule ends.
pub fn random_faults(seed: u64, nodes: usize, length: Duration) -> FaultSchedule {
    let mut rng = fastrand::Rng::with_seed(seed);
    let all = || (0..nodes).collect::<Vec<usize>>();
    let mut schedule = FaultSchedule::new();
    let rounds = 4;
    for round in 0..rounds {
        let (begin, end) = (
            length.mul_f64(round as f64 / rounds as f64),
            length.mul_f64((round as f64 + 0.6) / rounds as f64),
        );
        let mut affected = all();
        rng.shuffle(&mut affected);
        affected.truncate(1 + rng.usize(..nodes.div_ceil(3)));
        let others: Vec<usize> = all().into_iter().filter(|node| !affected.contains(node)).collect();
        let (fault, repair) = match rng.u8(0..5) {
            0 => (
                Fault::Links(affected.clone(), others.clone(), LinkFaults::CUT),
                Fault::Links(affected, others, LinkFaults::NONE),
            ),
            1 => (
                Fault::Links(others.clone(), affected.clone(), LinkFaults::CUT),
                Fault::Links(others, affected, LinkFaults::NONE),
            ),
            2 => {
                let lossy =
                    LinkFaults { loss: 0.2, doubled: 0.1, delay: Duration::from_millis(200), cut: false };
                (Fault::Links(all(), all(), lossy), Fault::Links(all(), all(), LinkFaults::NONE))
            }
            3 => (Fault::Pause(affected.clone()), Fault::Resume(affected)),
            _ => (Fault::Kill(affected.clone()), Fault::Start(affected)),
        };
        schedule.extend([(begin, fault), (end, repair)]);
    }
    schedule
}

/// Returns the reports that a node is gone because its lease ran out, although no fault had been injected at that node or
/// at any link within `quiet` before.
pub fn false_failure_reports(events: &[ClusterEvent], quiet: Duration) -> Vec<String> {
    let quiet = quiet.as_micros() as Micros;
    let mut reports = Vec::new();
    for (n, event) in events.iter().enumerate() {
        let message = event.text.split_once("siblings: node ").map(|(_, message)| message);
        let Some(message) =
            message.filter(|message| message.contains("is gone") && message.contains("lease has run out"))
        else {
            continue;
        };
        let reported: Option<usize> = message.split(' ').next().and_then(|node| node.parse().ok());
        let explained =
            events[..n].iter().rev().take_while(|before| before.at + quiet > event.at).any(|before| {
                let names_reported = |nodes: &str| {
                    reported.is_some_and(|node| {
                        nodes.split([',', '[', ']', ' ', '(', ')']).any(|w| w == node.to_string())
                    })
                };
                before.node.is_none() && (before.text.starts_with("Ways") || names_reported(&before.text))
            });
        if !explained {
            reports.push(format!("at {} node {:?}: {message}", event.at, event.node));
        }
    }
    reports
}

/// An injected fault or a log line of a node.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClusterEvent {
    /// The time, in microseconds of the cluster's clock.
    pub at: Micros,
    /// The node that logged the line; none for an injected fault.
    pub node: Option<usize>,
    /// A line of the node's log, or the fault.
    #[serde(rename = "what")]
    pub text: String,
}

type EventLog = Arc<Mutex<Vec<ClusterEvent>>>;

/// The configuration of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// The program under test.
    pub program: PathBuf,
    /// The number of nodes, at least two.
    pub nodes: usize,
    /// Whether the nodes are configured as siblings; otherwise no node knows of another.
    pub siblings: bool,
    /// Seeds the random choices of the links.
    pub seed: u64,
    /// The servers and the origin that all nodes use.
    pub fleet: FleetConfig,
    /// The record kinds that the nodes replicate, written as `common` in their options; the options' default if none are
    /// given.
    pub replicated_kinds: Option<Vec<&'static str>>,
    /// The nodes whose discovery accepts connections but never answers, so that they keep their initial server list.
    pub without_discovery: Vec<usize>,
}

impl ClusterPlan {
    /// A cluster of `nodes` siblings, with defaults for the rest.
    pub fn new(program: PathBuf, nodes: usize, seed: u64) -> ClusterPlan {
        let fleet = FleetConfig { seed, ..FleetConfig::default() };
        ClusterPlan {
            program,
            nodes,
            siblings: true,
            seed,
            fleet,
            replicated_kinds: None,
            without_discovery: Vec::new(),
        }
    }
}

struct Process {
    child: Option<Child>,
    folder: PathBuf,
    listen: SocketAddr,
}

/// Running nodes with the servers they use and the relay between them. Dropping it kills the nodes.
pub struct Cluster {
    /// The servers and the origin that all nodes use.
    pub fleet: Fleet,
    plan: ClusterPlan,
    processes: Vec<Process>,
    addresses: Vec<SocketAddr>,
    links: Arc<Links>,
    event_log: EventLog,
    clock: Clock,
    _relay: Relay,
    /// Listens but never answers; see [`ClusterPlan::without_discovery`].
    _unresponsive_discovery: TcpListener,
}

impl Cluster {
    /// Starts all nodes; returns once each is in service and listens to clients.
    ///
    /// # Errors
    /// If a socket or a file can't be created, or a process can't be started.
    pub fn start(plan: ClusterPlan, folder: &Path) -> io::Result<Cluster> {
        let fleet = Fleet::start(plan.fleet.clone())?;
        let (clock, event_log) = (fleet.clock().clone(), EventLog::default());
        let number = CLUSTERS_STARTED.fetch_add(1, Ordering::Relaxed);
        let nodes: Vec<SocketAddr> = (0..plan.nodes).map(|node| node_address(number, node)).collect();
        let links = Arc::new(Links::new(plan.nodes, plan.seed));
        let relay = Relay::start(nodes.clone(), links.clone())?;
        let unresponsive_discovery = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let mut processes = Vec::new();
        for node in 0..plan.nodes {
            let folder = folder.join(format!("node-{node}"));
            fs::create_dir_all(&folder)?;
            let listen = nodes[node];
            let mut configuration: Value =
                serde_json::from_str(&fleet.configuration(listen, 512)).map_err(io::Error::other)?;
            configuration["settings"]["Siblings"] = json!(plan.nodes);
            if plan.without_discovery.contains(&node) {
                configuration["discovery"] = json!(unresponsive_discovery.local_addr()?.to_string());
            }
            configuration["seed"] = json!(format!("{:x}", plan.seed ^ (node as u64) << 32));
            fs::write(folder.join("node.json"), configuration.to_string())?;
            let mut sibling_addresses: Vec<String> =
                relay.peer_addresses[node].iter().map(|addr| format!("\"{addr}\"")).collect();
            sibling_addresses[node] = format!("\"{}\"", nodes[node]);
            let common =
                plan.replicated_kinds.as_ref().map_or(String::new(), |kinds| format!("common = {kinds:?}\n"));
            let siblings = match plan.siblings {
                true => format!(
                    "[siblings]\nsite = \"trial\"\nlisten = \"{}\"\nme = {node}\nnodes = [{}]\n{common}",
                    nodes[node],
                    sibling_addresses.join(", ")
                ),
                false => String::new(),
            };
            let options = format!("node = \"node.json\"\n[control]\nfolder = \"state\"\n{siblings}");
            fs::write(folder.join("serve.toml"), options)?;
            processes.push(Process { child: None, folder, listen });
        }
        let mut cluster = Cluster {
            fleet,
            plan,
            processes,
            addresses: nodes,
            links,
            event_log,
            clock,
            _relay: relay,
            _unresponsive_discovery: unresponsive_discovery,
        };
        let all: Vec<usize> = (0..cluster.plan.nodes).collect();
        cluster.start_nodes(&all)?;
        Ok(cluster)
    }

    /// The number of nodes.
    pub fn nodes(&self) -> usize {
        self.plan.nodes
    }

    /// The address at which a node's clients connect; it stays the same after a restart.
    pub fn client_address(&self, node: usize) -> SocketAddr {
        self.processes[node].listen
    }

    /// The address at which a node receives datagrams from its siblings.
    pub fn sibling_address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    /// The process id of a node, while it runs.
    pub fn process_id(&self, node: usize) -> Option<u32> {
        self.processes[node].child.as_ref().map(Child::id)
    }

    /// The number of datagrams received from the nodes, of their bytes, and of datagrams larger than 256 bytes.
    pub fn datagram_counts(&self) -> (u64, u64, u64) {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        (load(&self.links.datagrams), load(&self.links.bytes), load(&self.links.oversized))
    }

    /// The events so far, in order.
    pub fn events(&self) -> Vec<ClusterEvent> {
        lock(&self.event_log).clone()
    }

    /// Writes the events so far to a file, one JSON object per line.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write_events(&self, file: &Path) -> io::Result<()> {
        let mut text = String::new();
        for event in self.events() {
            text.push_str(&serde_json::to_string(&event).unwrap_or_default());
            text.push('\n');
        }
        fs::write(file, text)
    }

    /// Injects a fault now.
    ///
    /// # Errors
    /// If a process can't be started or signalled.
    pub fn inject(&mut self, fault: &Fault) -> io::Result<()> {
        record_event(&self.event_log, &self.clock, None, fault_text(fault));
        match fault {
            Fault::Links(from, to, faults) => {
                self.links.set_faults(from, to, *faults);
                Ok(())
            }
            Fault::Pause(nodes) => self.signal(nodes, Signal::STOP),
            Fault::Resume(nodes) => self.signal(nodes, Signal::CONT),
            Fault::Kill(nodes) => {
                self.signal(nodes, Signal::KILL)?;
                for &node in nodes {
                    if let Some(mut child) = self.processes[node].child.take() {
                        child.wait()?;
                    }
                }
                Ok(())
            }
            Fault::Start(nodes) => self.start_nodes(nodes),
        }
    }

    /// Injects the faults of a schedule at their times, and returns after the last one.
    ///
    /// # Errors
    /// As [`Cluster::inject`].
    pub fn run_schedule(&mut self, schedule: &FaultSchedule) -> io::Result<()> {
        let start = Instant::now();
        for (at, fault) in schedule {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            self.inject(fault)?;
        }
        Ok(())
    }

    /// The state folder of a node.
    pub fn state_folder(&self, node: usize) -> PathBuf {
        self.processes[node].folder.join("state")
    }

    /// Sends a request to a node's control socket; returns `None` if it does not answer.
    pub fn query(&self, node: usize, request: &Value) -> Option<Value> {
        let mut stream = UnixStream::connect(self.state_folder(node).join("control.sock")).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).ok()?;
        stream.write_all(format!("{request}\n").as_bytes()).ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        serde_json::from_str(&line).ok()
    }

    /// A node's view of its siblings, from its control socket; `None` if it does not answer.
    pub fn sibling_view(&self, node: usize) -> Option<Value> {
        self.query(node, &json!({ "v": 2, "ask": "siblings" }))?.get("sight").cloned()
    }

    /// A node's copy of the replicated records; `None` if it does not answer or has no copy.
    pub fn replica_view(&self, node: usize) -> Option<Value> {
        self.query(node, &json!({ "v": 2, "ask": "replica" }))?.get("copy").cloned()
    }

    /// The state of `node` in the view of `observer`: `here`, `gone` or `unknown`.
    pub fn node_state(&self, observer: usize, node: usize) -> Option<String> {
        let view = self.sibling_view(observer)?;
        let siblings = view["fellows"].as_array()?;
        let sibling = siblings.iter().find(|sibling| sibling["node"] == json!(node))?;
        sibling["state"].as_str().map(str::to_owned)
    }

    /// Waits until a condition holds, for 60 s at most, which is ample even on a busy machine; returns whether it held.
    pub fn wait_until(&self, condition: impl Fn(&Cluster) -> bool) -> bool {
        let start = Instant::now();
        while start.elapsed() < WAIT_TIMEOUT {
            if condition(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether all of these nodes consider each other `here`, use their full share of each limit, and agree on the epoch.
    pub fn is_converged(&self, nodes: &[usize]) -> bool {
        let views: Option<Vec<Value>> = nodes.iter().map(|&node| self.sibling_view(node)).collect();
        views.is_some_and(|views| {
            views.iter().all(|view| {
                let here = |sibling: &Value| {
                    let node = sibling["node"].as_u64().map_or(usize::MAX, |node| node as usize);
                    !nodes.contains(&node) || sibling["state"] == "here"
                };
                view["epoch"] == views[0]["epoch"]
                    && view["confirmed"] == json!(true)
                    && view["fellows"].as_array().is_some_and(|all| all.iter().all(here))
            })
        })
    }

    fn signal(&self, nodes: &[usize], signal: Signal) -> io::Result<()> {
        for &node in nodes {
            let id = self.process_id(node).and_then(|id| Pid::from_raw(id.cast_signed()));
            if let Some(id) = id {
                kill_process(id, signal)?;
            }
        }
        Ok(())
    }

    /// Starts these nodes at the same time; returns once each is in service.
    fn start_nodes(&mut self, nodes: &[usize]) -> io::Result<()> {
        let mut starting = Vec::new();
        for &node in nodes {
            if self.processes[node].child.is_some() {
                continue;
            }
            let mut command = Command::new(&self.plan.program);
            command.arg("serve").arg("--config").arg(self.processes[node].folder.join("serve.toml"));
            let mut child = command.stderr(Stdio::piped()).spawn()?;
            let log = child
                .stderr
                .take()
                .ok_or_else(|| io::Error::other("standard error of the node is not piped"))?;
            self.processes[node].child = Some(child);
            starting.push((node, log));
        }
        for (node, log) in starting {
            self.follow_log(node, log)?;
        }
        Ok(())
    }

    /// Records the log lines of a node in the background; returns once the node is in service.
    fn follow_log(&self, node: usize, log: ChildStderr) -> io::Result<()> {
        let (event_log, clock) = (self.event_log.clone(), self.clock.clone());
        let (ready, in_service) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let is_in_service = line.contains("the node is in service");
                record_event(&event_log, &clock, Some(node), line);
                if is_in_service {
                    let _ = ready.send(()); // the receiver may have timed out
                }
            }
        });
        in_service
            .recv_timeout(WAIT_TIMEOUT)
            .map_err(|_| io::Error::other(format!("node {node} did not enter service within 60 s")))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().filter_map(|process| process.child.as_mut()) {
            let _ = child.kill(); // it may already have exited
            let _ = child.wait();
        }
    }
}

fn record_event(event_log: &EventLog, clock: &Clock, node: Option<usize>, text: String) {
    lock(event_log).push(ClusterEvent { at: clock.now(), node, text });
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An address that no other node of any cluster has, and that no outgoing connection is given by chance: the loopback
/// address depends on this process and the node, the port on the number of the cluster.
fn node_address(cluster: u16, node: usize) -> SocketAddr {
    let [high, low] = ((std::process::id() % 0xFFFF) as u16).to_be_bytes();
    let address = Ipv4Addr::new(127, high.max(1), low, 1 + (node % 250) as u8);
    (address, 20_000 + cluster % 10_000 + (node / 250) as u16).into()
}

/// The links between all ordered pairs of nodes.
struct Links {
    nodes: usize,
    /// The faults by sender, then by receiver; and the source of random choices.
    faults: Mutex<(Vec<LinkFaults>, fastrand::Rng)>,
    datagrams: AtomicU64,
    bytes: AtomicU64,
    oversized: AtomicU64,
}

impl Links {
    fn new(nodes: usize, seed: u64) -> Links {
        let faults = Mutex::new((vec![LinkFaults::NONE; nodes * nodes], fastrand::Rng::with_seed(seed)));
        let (datagrams, bytes, oversized) = Default::default();
        Links { nodes, faults, datagrams, bytes, oversized }
    }

    fn set_faults(&self, from: &[usize], to: &[usize], link_faults: LinkFaults) {
        let mut faults = lock(&self.faults);
        for &from in from {
            for &to in to.iter().filter(|&&to| to != from) {
                faults.0[from * self.nodes + to] = link_faults;
            }
        }
    }

    /// The delay of each delivery of a datagram: none if it is lost, two if it is duplicated.
    fn delivery_delays(&self, from: usize, to: usize, length: usize) -> Vec<Duration> {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(length as u64, Ordering::Relaxed);
        if length > MAX_DATAGRAM_BYTES {
            self.oversized.fetch_add(1, Ordering::Relaxed);
        }
        let (faults, rng) = &mut *lock(&self.faults);
        let link = faults[from * self.nodes + to];
        if link.cut || length > MAX_DATAGRAM_BYTES || rng.f64() < link.loss {
            return Vec::new();
        }
        let deliveries = if rng.f64() < link.doubled { 2 } else { 1 };
        (0..deliveries).map(|_| link.delay.mul_f64(rng.f64())).collect()
    }
}

/// Forwards datagrams between nodes, on a thread of its own. Each ordered pair of nodes has its own relay socket: node `i`
/// reaches node `j` at an address that is used by no other pair.
struct Relay {
    /// By node, the relay addresses that stand for the other nodes.
    peer_addresses: Vec<Vec<SocketAddr>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    fn start(nodes: Vec<SocketAddr>, links: Arc<Links>) -> io::Result<Relay> {
        let mut sockets = Vec::new();
        for _ in 0..nodes.len() * nodes.len() {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let addresses: Vec<SocketAddr> =
            sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let peer_addresses = addresses.chunks(nodes.len()).map(<[SocketAddr]>::to_vec).collect();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || {
            runtime.block_on(async move {
                let sockets: Result<Vec<_>, _> =
                    sockets.into_iter().map(tokio::net::UdpSocket::from_std).collect();
                let Ok(sockets) = sockets.map(Arc::new) else { return };
                for from in 0..nodes.len() {
                    for to in (0..nodes.len()).filter(|&to| to != from) {
                        tokio::spawn(relay_link(sockets.clone(), links.clone(), nodes.clone(), from, to));
                    }
                }
                let _ = stopped.await; // ends when the relay is dropped
            });
        })?;
        Ok(Relay { peer_addresses, stop: Some(stop), thread: Some(thread) })
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Forwards the datagrams from one node to another.
async fn relay_link(
    sockets: Arc<Vec<tokio::net::UdpSocket>>,
    links: Arc<Links>,
    nodes: Vec<SocketAddr>,
    from: usize,
    to: usize,
) {
    let (receiving, sending) = (from * nodes.len() + to, to * nodes.len() + from);
    let mut datagram = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        // After a send to a node that has exited, the next receive fails once.
        let Ok((length, sender)) = sockets[receiving].recv_from(&mut datagram).await else { continue };
        if sender != nodes[from] {
            continue;
        }
        for delay in links.delivery_delays(from, to, length) {
            let (sockets, payload, destination) = (sockets.clone(), datagram[..length].to_vec(), nodes[to]);
            if delay.is_zero() {
                let _ = sockets[sending].send_to(&payload, destination).await; // a failure counts as a loss
            } else {
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = sockets[sending].send_to(&payload, destination).await; // a failure counts as a loss
                });
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// [`false_failure_reports`] and readers of earlier event files match these names.
    #[test]
    fn the_event_file_keeps_the_names_of_link_faults() {
        let text = fault_text(&Fault::Links(vec![0], vec![1, 2], LinkFaults::CUT));
        let expected =
            ["Ways([0], [1, 2], ", "Way { cut: true, loss: 0.0, doubled: 0.0, delay: 0ns })"].concat();
        assert_eq!(text, expected);
    }
}
