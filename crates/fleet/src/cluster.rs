//! Many nodes, each a process of the program, that see one another through a relay: a way for each ordered pair, which can
//! be cut, one-sided, lossy, late, out of order and doubling, while processes are paused, killed and started again under
//! their names. All that happens to them and all that they say goes, on one clock, into one file.

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
use crate::{Fleet, Plan};

/// The longest datagram that nodes may send, and one byte more to tell a longer one.
const LONGEST: usize = 256;
/// A process that says nothing for so long is held to be stuck.
const PATIENCE: Duration = Duration::from_secs(60);

/// Trials that this process has started.
static TRIALS: AtomicU16 = AtomicU16::new(0);

/// How datagrams go from one node to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LinkFaults {
    /// None comes.
    pub cut: bool,
    /// The part that is lost.
    pub loss: f64,
    /// The part that comes twice.
    pub doubled: f64,
    /// Each takes up to so long, so that they overtake one another.
    pub delay: Duration,
}

impl LinkFaults {
    /// Nothing is lost, late or doubled.
    pub const NONE: LinkFaults = LinkFaults { cut: false, loss: 0.0, doubled: 0.0, delay: Duration::ZERO };
    /// Nothing comes.
    pub const CUT: LinkFaults = LinkFaults { cut: true, ..LinkFaults::NONE };
}

/// Something that is done to the nodes.
#[derive(Debug, Clone, PartialEq)]
pub enum Fault {
    /// The ways from each of some nodes to each of others.
    Links(Vec<usize>, Vec<usize>, LinkFaults),
    /// These stop (SIGSTOP), with what they believe.
    Pause(Vec<usize>),
    /// These go on (SIGCONT).
    Resume(Vec<usize>),
    /// These are killed (SIGKILL), in one instant.
    Kill(Vec<usize>),
    /// These start again under their names.
    Start(Vec<usize>),
}

/// The text of a fault in the event file. Link faults keep the names `Ways` and `Way` there, as in earlier files.
fn fault_text(fault: &Fault) -> String {
    format!("{fault:?}").replace("Links(", "Ways(").replace("LinkFaults {", "LinkFaults {")
}

/// Faults, and after what time each.
pub type Script = Vec<(Duration, Fault)>;

/// Faults drawn from a seed, at up to a third of the nodes at a time; in the end all are whole.
pub fn random_faults(seed: u64, nodes: usize, over: Duration) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed);
    let all = || (0..nodes).collect::<Vec<usize>>();
    let mut script = Script::new();
    let rounds = 4;
    for round in 0..rounds {
        let (begin, end) =
            (over.mul_f64(round as f64 / rounds as f64), over.mul_f64((round as f64 + 0.6) / rounds as f64));
        let mut some = all();
        rng.shuffle(&mut some);
        some.truncate(1 + rng.usize(..nodes.div_ceil(3)));
        let others: Vec<usize> = all().into_iter().filter(|node| !some.contains(node)).collect();
        let (fault, mend) = match rng.u8(0..5) {
            0 => (
                Fault::Links(some.clone(), others.clone(), LinkFaults::CUT),
                Fault::Links(some, others, LinkFaults::NONE),
            ),
            1 => (
                Fault::Links(others.clone(), some.clone(), LinkFaults::CUT),
                Fault::Links(others, some, LinkFaults::NONE),
            ),
            2 => {
                let way =
                    LinkFaults { loss: 0.2, doubled: 0.1, delay: Duration::from_millis(200), cut: false };
                (Fault::Links(all(), all(), way), Fault::Links(all(), all(), LinkFaults::NONE))
            }
            3 => (Fault::Pause(some.clone()), Fault::Resume(some)),
            _ => (Fault::Kill(some.clone()), Fault::Start(some)),
        };
        script.extend([(begin, fault), (end, mend)]);
    }
    script
}

/// What the file of a trial says against the nodes: whoever was held to be gone for its silence, though nothing had been done
/// to it or to any way for so long before.
pub fn false_failure_reports(noted: &[ClusterEvent], quiet: Duration) -> Vec<String> {
    let quiet = quiet.as_micros() as Micros;
    let mut told = Vec::new();
    for (n, noted_) in noted.iter().enumerate() {
        let words = noted_.text.split_once("siblings: node ").map(|(_, words)| words);
        let Some(words) =
            words.filter(|words| words.contains("is gone") && words.contains("lease has run out"))
        else {
            continue;
        };
        let whom: Option<usize> = words.split(' ').next().and_then(|node| node.parse().ok());
        let caused =
            noted[..n].iter().rev().take_while(|before| before.at + quiet > noted_.at).any(|before| {
                let hit = |nodes: &str| {
                    whom.is_some_and(|node| {
                        nodes.split([',', '[', ']', ' ', '(', ')']).any(|w| w == node.to_string())
                    })
                };
                before.node.is_none() && (before.text.starts_with("Ways") || hit(&before.text))
            });
        if !caused {
            told.push(format!("at {} node {:?}: {words}", noted_.at, noted_.node));
        }
    }
    told
}

/// Something that happened, for the file.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ClusterEvent {
    /// When, in microseconds of the trial's clock.
    pub at: Micros,
    /// At which node; at none if it was done to the ways.
    pub node: Option<usize>,
    /// What: a line of the node's log, or a fault.
    #[serde(rename = "what")]
    pub text: String,
}

type Notes = Arc<Mutex<Vec<ClusterEvent>>>;

/// What a trial is.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// The program under trial.
    pub program: PathBuf,
    /// How many nodes, two at least.
    pub nodes: usize,
    /// Whether they are siblings: without, no node knows of another.
    pub siblings: bool,
    /// For the ways' random choices.
    pub seed: u64,
    /// What they all serve.
    pub fleet: Plan,
    /// What they hold in common, as `common` of their options names it; what those say of themselves if it is not named.
    pub replicated_kinds: Option<Vec<&'static str>>,
    /// These have a discovery that answers nothing: they go by the list that they start with.
    pub without_discovery: Vec<usize>,
}

impl ClusterPlan {
    /// Of so many siblings, with nothing else out of the ordinary.
    pub fn new(program: PathBuf, nodes: usize, seed: u64) -> ClusterPlan {
        let fleet = Plan { seed, ..Plan::default() };
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

/// Running nodes with all that they meet. They are killed when this is dropped.
pub struct Cluster {
    /// What they all serve.
    pub fleet: Fleet,
    plan: ClusterPlan,
    processes: Vec<Process>,
    addresses: Vec<SocketAddr>,
    ways: Arc<Ways>,
    notes: Notes,
    clock: Clock,
    _relay: Relay,
    /// Listens, and answers nothing.
    _silence: TcpListener,
}

impl Cluster {
    /// Starts all nodes; returns once each listens to clients.
    ///
    /// # Errors
    /// If a socket, a file or a process can't be had.
    pub fn start(plan: ClusterPlan, folder: &Path) -> io::Result<Cluster> {
        let fleet = Fleet::start(plan.fleet.clone())?;
        let (clock, notes) = (fleet.clock().clone(), Notes::default());
        let number = TRIALS.fetch_add(1, Ordering::Relaxed);
        let nodes: Vec<SocketAddr> = (0..plan.nodes).map(|node| place(number, node)).collect();
        let ways = Arc::new(Ways::new(plan.nodes, plan.seed));
        let relay = Relay::start(nodes.clone(), ways.clone())?;
        let silence = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let mut processes = Vec::new();
        for node in 0..plan.nodes {
            let folder = folder.join(format!("node-{node}"));
            fs::create_dir_all(&folder)?;
            let listen = nodes[node];
            let mut configuration: Value =
                serde_json::from_str(&fleet.configuration(listen, 512)).map_err(io::Error::other)?;
            configuration["settings"]["Siblings"] = json!(plan.nodes);
            if plan.without_discovery.contains(&node) {
                configuration["discovery"] = json!(silence.local_addr()?.to_string());
            }
            configuration["seed"] = json!(format!("{:x}", plan.seed ^ (node as u64) << 32));
            fs::write(folder.join("node.json"), configuration.to_string())?;
            let mut seen: Vec<String> =
                relay.seen_by[node].iter().map(|addr| format!("\"{addr}\"")).collect();
            seen[node] = format!("\"{}\"", nodes[node]);
            let common =
                plan.replicated_kinds.as_ref().map_or(String::new(), |kinds| format!("common = {kinds:?}\n"));
            let siblings = match plan.siblings {
                true => format!(
                    "[siblings]\nsite = \"trial\"\nlisten = \"{}\"\nme = {node}\nnodes = [{}]\n{common}",
                    nodes[node],
                    seen.join(", ")
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
            ways,
            notes,
            clock,
            _relay: relay,
            _silence: silence,
        };
        let all: Vec<usize> = (0..cluster.plan.nodes).collect();
        cluster.start_nodes(&all)?;
        Ok(cluster)
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> usize {
        self.plan.nodes
    }

    /// Where a node's clients connect, the same after a restart.
    pub fn client_address(&self, node: usize) -> SocketAddr {
        self.processes[node].listen
    }

    /// Where a node listens for the others.
    pub fn sibling_address(&self, node: usize) -> SocketAddr {
        self.addresses[node]
    }

    /// A node's process, while it runs.
    pub fn process_id(&self, node: usize) -> Option<u32> {
        self.processes[node].child.as_ref().map(Child::id)
    }

    /// Datagrams that came from nodes, their bytes, and those of more than 256 bytes.
    pub fn datagram_counts(&self) -> (u64, u64, u64) {
        let count = |count: &AtomicU64| count.load(Ordering::Relaxed);
        (count(&self.ways.datagrams), count(&self.ways.bytes), count(&self.ways.too_long))
    }

    /// All that happened so far, in order.
    pub fn events(&self) -> Vec<ClusterEvent> {
        lock(&self.notes).clone()
    }

    /// Writes all that happened so far, a line of JSON each.
    ///
    /// # Errors
    /// If the file can't be written.
    pub fn write_events(&self, file: &Path) -> io::Result<()> {
        let mut text = String::new();
        for noted in self.events() {
            text.push_str(&serde_json::to_string(&noted).unwrap_or_default());
            text.push('\n');
        }
        fs::write(file, text)
    }

    /// Does one thing to the nodes now.
    ///
    /// # Errors
    /// If a process can't be started or signalled.
    pub fn inject(&mut self, fault: &Fault) -> io::Result<()> {
        note(&self.notes, &self.clock, None, fault_text(fault));
        match fault {
            Fault::Links(from, to, way) => {
                self.ways.set(from, to, *way);
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

    /// Plays a script.
    ///
    /// # Errors
    /// As [`Cluster::fault`].
    pub fn run_schedule(&mut self, script: &Script) -> io::Result<()> {
        let start = Instant::now();
        for (at, fault) in script {
            std::thread::sleep((start + *at).saturating_duration_since(Instant::now()));
            self.inject(fault)?;
        }
        Ok(())
    }

    /// A node's state folder.
    pub fn state_folder(&self, node: usize) -> PathBuf {
        self.processes[node].folder.join("state")
    }

    /// What a node answers at its control socket; nothing if it doesn't answer.
    pub fn query(&self, node: usize, question: &Value) -> Option<Value> {
        let mut stream = UnixStream::connect(self.state_folder(node).join("control.sock")).ok()?;
        stream.set_read_timeout(Some(PATIENCE)).ok()?;
        stream.write_all(format!("{question}\n").as_bytes()).ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        serde_json::from_str(&line).ok()
    }

    /// What a node sees of the others, as its control socket tells it; nothing if it doesn't answer.
    pub fn sibling_view(&self, node: usize) -> Option<Value> {
        self.query(node, &json!({ "v": 2, "ask": "siblings" }))?.get("sight").cloned()
    }

    /// A node's copy of what all hold in common; nothing if it doesn't answer, or holds none.
    pub fn replica_view(&self, node: usize) -> Option<Value> {
        self.query(node, &json!({ "v": 2, "ask": "replica" }))?.get("copy").cloned()
    }

    /// What one node holds another to be: `here`, `gone` or `unknown`.
    pub fn node_state(&self, at: usize, of: usize) -> Option<String> {
        let sight = self.sibling_view(at)?;
        let fellows = sight["fellows"].as_array()?;
        let fellow = fellows.iter().find(|fellow| fellow["node"] == json!(of))?;
        fellow["state"].as_str().map(str::to_owned)
    }

    /// Waits until something holds; tells whether it came to, within a time that no busy machine needs.
    pub fn wait_until(&self, holds: impl Fn(&Cluster) -> bool) -> bool {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            if holds(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether all of these nodes hold each other to be here and use all of their parts, and see the same.
    pub fn is_converged(&self, nodes: &[usize]) -> bool {
        let sights: Option<Vec<Value>> = nodes.iter().map(|&node| self.sibling_view(node)).collect();
        sights.is_some_and(|sights| {
            sights.iter().all(|sight| {
                let here = |fellow: &Value| {
                    let node = fellow["node"].as_u64().map_or(usize::MAX, |node| node as usize);
                    !nodes.contains(&node) || fellow["state"] == "here"
                };
                sight["epoch"] == sights[0]["epoch"]
                    && sight["confirmed"] == json!(true)
                    && sight["fellows"].as_array().is_some_and(|all| all.iter().all(here))
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

    /// Starts these at once; returns once each listens.
    fn start_nodes(&mut self, nodes: &[usize]) -> io::Result<()> {
        let mut starting = Vec::new();
        for &node in nodes {
            if self.processes[node].child.is_some() {
                continue;
            }
            let mut command = Command::new(&self.plan.program);
            command.arg("serve").arg("--config").arg(self.processes[node].folder.join("serve.toml"));
            let mut child = command.stderr(Stdio::piped()).spawn()?;
            let log = child.stderr.take().ok_or_else(|| io::Error::other("no log"))?;
            self.processes[node].child = Some(child);
            starting.push((node, log));
        }
        for (node, log) in starting {
            self.follow(node, log)?;
        }
        Ok(())
    }

    /// Notes what a process says; returns once it listens.
    fn follow(&self, node: usize, log: ChildStderr) -> io::Result<()> {
        let (notes, clock) = (self.notes.clone(), self.clock.clone());
        let (ready, listens) = std::sync::mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(log).lines().map_while(Result::ok) {
                let listens = line.contains("the node is in service");
                note(&notes, &clock, Some(node), line);
                if listens {
                    let _ = ready.send(()); // who waited may have given up
                }
            }
        });
        listens.recv_timeout(PATIENCE).map_err(|_| io::Error::other(format!("node {node} doesn't come up")))
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for child in self.processes.iter_mut().filter_map(|process| process.child.as_mut()) {
            let _ = child.kill(); // it may have ended
            let _ = child.wait();
        }
    }
}

fn note(notes: &Notes, clock: &Clock, node: Option<usize>, text: String) {
    lock(notes).push(ClusterEvent { at: clock.now(), node, text });
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An address that no other node of any trial has, and that no connection takes by chance: an address of the loopback of its
/// own for each node, by the process that holds the trial, and a port by the trial.
fn place(cluster: u16, node: usize) -> SocketAddr {
    let [high, low] = ((std::process::id() % 0xFFFF) as u16).to_be_bytes();
    let address = Ipv4Addr::new(127, high.max(1), low, 1 + (node % 250) as u8);
    (address, 20_000 + cluster % 10_000 + (node / 250) as u16).into()
}

/// The ways between all ordered pairs.
struct Ways {
    nodes: usize,
    ways: Mutex<(Vec<LinkFaults>, fastrand::Rng)>,
    datagrams: AtomicU64,
    bytes: AtomicU64,
    too_long: AtomicU64,
}

impl Ways {
    fn new(nodes: usize, seed: u64) -> Ways {
        let ways = Mutex::new((vec![LinkFaults::NONE; nodes * nodes], fastrand::Rng::with_seed(seed)));
        let (datagrams, bytes, too_long) = Default::default();
        Ways { nodes, ways, datagrams, bytes, too_long }
    }

    fn set(&self, from: &[usize], to: &[usize], way: LinkFaults) {
        let mut ways = lock(&self.ways);
        for &from in from {
            for &to in to.iter().filter(|&&to| to != from) {
                ways.0[from * self.nodes + to] = way;
            }
        }
    }

    /// After which times a datagram comes: nothing if it is lost, two if it is doubled.
    fn carry(&self, from: usize, to: usize, length: usize) -> Vec<Duration> {
        self.datagrams.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(length as u64, Ordering::Relaxed);
        if length > LONGEST {
            self.too_long.fetch_add(1, Ordering::Relaxed);
        }
        let (ways, rng) = &mut *lock(&self.ways);
        let way = ways[from * self.nodes + to];
        if way.cut || length > LONGEST || rng.f64() < way.loss {
            return Vec::new();
        }
        let times = if rng.f64() < way.doubled { 2 } else { 1 };
        (0..times).map(|_| way.delay.mul_f64(rng.f64())).collect()
    }
}

/// Carries datagrams between nodes, on a thread of its own: node `i` reaches `j` at an address that is no other's.
struct Relay {
    /// By node, the addresses at which it sees the others.
    seen_by: Vec<Vec<SocketAddr>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Relay {
    fn start(nodes: Vec<SocketAddr>, ways: Arc<Ways>) -> io::Result<Relay> {
        let mut sockets = Vec::new();
        for _ in 0..nodes.len() * nodes.len() {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            socket.set_nonblocking(true)?;
            sockets.push(socket);
        }
        let addresses: Vec<SocketAddr> =
            sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<_>>()?;
        let seen_by = addresses.chunks(nodes.len()).map(<[SocketAddr]>::to_vec).collect();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (stop, stopped) = oneshot::channel::<()>();
        let thread = std::thread::Builder::new().name("relay".into()).spawn(move || {
            runtime.block_on(async move {
                let sockets: Result<Vec<_>, _> =
                    sockets.into_iter().map(tokio::net::UdpSocket::from_std).collect();
                let Ok(sockets) = sockets.map(Arc::new) else { return };
                for from in 0..nodes.len() {
                    for to in (0..nodes.len()).filter(|&to| to != from) {
                        tokio::spawn(relay(sockets.clone(), ways.clone(), nodes.clone(), from, to));
                    }
                }
                let _ = stopped.await; // by word, or for the cluster has gone
            });
        })?;
        Ok(Relay { seen_by, stop: Some(stop), thread: Some(thread) })
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

/// Carries what one node sends to another.
async fn relay(
    sockets: Arc<Vec<tokio::net::UdpSocket>>,
    ways: Arc<Ways>,
    nodes: Vec<SocketAddr>,
    from: usize,
    to: usize,
) {
    let (into, back) = (from * nodes.len() + to, to * nodes.len() + from);
    let mut datagram = [0; LONGEST + 1];
    loop {
        // A node that has died makes the next receive fail once.
        let Ok((length, sender)) = sockets[into].recv_from(&mut datagram).await else { continue };
        if sender != nodes[from] {
            continue;
        }
        for delay in ways.carry(from, to, length) {
            let (sockets, text, at) = (sockets.clone(), datagram[..length].to_vec(), nodes[to]);
            if delay.is_zero() {
                let _ = sockets[back].send_to(&text, at).await; // as if it were lost
            } else {
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = sockets[back].send_to(&text, at).await; // as if it were lost
                });
            }
        }
    }
}
