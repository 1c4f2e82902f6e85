//! What the measurements share: processes on cores of their own, and what they use.

use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::Arc;
use std::{fmt, fs};

use hdrhistogram::Histogram;
use lilacquay_fleet::Clock;
use lilacquay_fleet::clients::{self, Load};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, setrlimit};
use rustix::thread::{CpuSet, sched_setaffinity};

/// Binds this thread, and what it starts from now on, to these cores.
///
/// # Errors
/// If the machine has none of them.
pub fn bind_to(cores: impl IntoIterator<Item = usize>) -> io::Result<()> {
    let mut set = CpuSet::new();
    cores.into_iter().for_each(|core| set.set(core));
    Ok(sched_setaffinity(None, &set)?)
}

/// Lets this process, and what it starts, hold as many descriptors as it may.
///
/// # Errors
/// If the system refuses.
pub fn raise_descriptors() -> io::Result<()> {
    let most = getrlimit(Resource::Nofile).maximum;
    Ok(setrlimit(Resource::Nofile, Rlimit { current: most, maximum: most })?)
}

/// A program under measurement. It is killed when this is dropped.
pub struct Subject {
    child: Child,
    /// Where it listens.
    pub addr: SocketAddr,
    folder: Option<tempfile::TempDir>,
}

impl Subject {
    /// Starts a node with a configuration in the platform's JSON.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn node(program: &Path, configuration: &str) -> io::Result<Subject> {
        let folder = tempfile::tempdir()?;
        let file = folder.path().join("node.json");
        fs::write(&file, configuration)?;
        let mut command = Command::new(program);
        command.env("EDGE_CONFIG", file);
        Subject::start(command, Some(folder))
    }

    /// Starts a node that follows etcd by these options.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn following(program: &Path, configuration: &str, etcd: &str) -> io::Result<Subject> {
        let (command, folder) = serving(program, configuration, "etcd", etcd)?;
        Subject::start(command, Some(folder))
    }

    /// Starts a node that also speaks memcached by these options, at one listener; tells where that is.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn speaking_memcached(
        program: &Path,
        configuration: &str,
        memcached: &str,
    ) -> io::Result<(Subject, SocketAddr)> {
        let (command, folder) = serving(program, configuration, "memcached", memcached)?;
        let (subject, mut log) = Subject::begin(command, Some(folder))?;
        let mut line = String::new();
        log.read_line(&mut line)?;
        let addr = line.trim().rsplit(' ').next().and_then(|addr| addr.parse().ok());
        Ok((subject, addr.ok_or_else(|| io::Error::other(format!("no memcached: {line}")))?))
    }

    /// Starts a node with these quotas.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn with_quotas(program: &Path, configuration: &str, quotas: &str) -> io::Result<Subject> {
        let (command, folder) = serving(program, configuration, "quota", quotas)?;
        Subject::start(command, Some(folder))
    }

    /// Starts a node that takes orders, and may be watched; tells its state folder.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn controlled(program: &Path, configuration: &str) -> io::Result<(Subject, PathBuf)> {
        let folder = tempfile::tempdir()?;
        let file = |name: &str| folder.path().join(name);
        fs::write(file("node.json"), configuration)?;
        fs::write(file("serve.toml"), "node = \"node.json\"\n[control]\nfolder = \"state\"\n")?;
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(file("serve.toml"));
        let state = file("state");
        Ok((Subject::start(command, Some(folder))?, state))
    }

    /// The number of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Has a node that was started with options of its own read others.
    ///
    /// # Errors
    /// If there is no such file, or the node has ended.
    pub fn reload(&self, options: &str) -> io::Result<()> {
        let folder = self.folder.as_ref().ok_or_else(|| io::Error::other("no options"))?;
        fs::write(folder.path().join(PART), options)?;
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        Ok(kill_process(pid.ok_or_else(|| io::Error::other("no process"))?, Signal::HUP)?)
    }

    /// Starts a program that says `listening on ADDRESS` in the first line of its standard error.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn start(command: Command, folder: Option<tempfile::TempDir>) -> io::Result<Subject> {
        Ok(Subject::begin(command, folder)?.0)
    }

    /// Starts a program; the rest of its log may be read.
    fn begin(
        mut command: Command,
        folder: Option<tempfile::TempDir>,
    ) -> io::Result<(Subject, BufReader<ChildStderr>)> {
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or_else(|| io::Error::other("no log"))?;
        let mut log = BufReader::new(log);
        // What it says before, of a process that hands over to it, is passed over.
        let addr = loop {
            let mut line = String::new();
            log.read_line(&mut line)?;
            match line.trim().rsplit_once("listening on ").map(|(_, addr)| addr.parse()) {
                Some(Ok(addr)) => break addr,
                None if !line.is_empty() => {}
                Some(Err(_)) | None => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return Err(io::Error::other(format!("did not come up: {line}")));
                }
            }
        };
        Ok((Subject { child, addr, folder }, log))
    }

    /// Nanoseconds that its one thread has spent on a core.
    ///
    /// # Errors
    /// If it has ended.
    pub fn cpu(&self) -> io::Result<u64> {
        let stat = fs::read_to_string(format!("/proc/{}/schedstat", self.child.id()))?;
        let first = stat.split_whitespace().next().and_then(|ns| ns.parse().ok());
        first.ok_or_else(|| io::Error::other("no schedstat"))
    }

    /// Bytes of memory that it holds.
    ///
    /// # Errors
    /// If it has ended.
    pub fn memory(&self) -> io::Result<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
        kb.map(|kb| kb * 1024).ok_or_else(|| io::Error::other("no VmRSS"))
    }
}

impl Drop for Subject {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The file of the part of a node's options that a measurement is about.
const PART: &str = "part.toml";

/// The command of a node by options, of which one part stands in a file of its own.
fn serving(
    program: &Path,
    configuration: &str,
    part: &str,
    options: &str,
) -> io::Result<(Command, tempfile::TempDir)> {
    let folder = tempfile::tempdir()?;
    let file = |name: &str| folder.path().join(name);
    fs::write(file("node.json"), configuration)?;
    fs::write(file(PART), options)?;
    fs::write(file("serve.toml"), format!("node = \"node.json\"\n{part} = \"{PART}\"\n"))?;
    let mut command = Command::new(program);
    command.arg("serve").arg("--config").arg(file("serve.toml"));
    Ok((command, folder))
}

/// One way of loading a subject.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Way {
    /// So many requests a second, which come at random and don't wait for answers.
    Open(u32),
    /// So many clients, each of which asks again as soon as it has its answer.
    Closed(usize),
}

impl Way {
    /// Loads a node in this way, at a load that says all else; tells the times of what was served, and how many that
    /// were.
    pub async fn load(self, load: Load) -> Histogram<u64> {
        match self {
            Way::Open(rate) => {
                let load = Load { rate: rate.into(), ..load };
                clients::run(load, Clock::default(), Arc::default()).await.served_latencies()
            }
            Way::Closed(clients) => clients::run_closed_loop(load, clients).await,
        }
    }
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Way::Open(rate) => write!(f, "open loop, {rate} requests a second"),
            Way::Closed(clients) => write!(f, "closed loop, {clients} clients"),
        }
    }
}

/// What came of all turns of one subject under one load.
pub struct Sum {
    /// CPU per request of each turn, in microseconds.
    pub cpu: Vec<f64>,
    /// Requests served a second, on average.
    pub rate: f64,
    /// Answer times.
    pub times: Histogram<u64>,
}

impl Default for Sum {
    fn default() -> Self {
        Sum { cpu: Vec::new(), rate: 0.0, times: clients::latency_histogram() }
    }
}

impl Sum {
    /// The median turn's CPU per request.
    pub fn cpu(&self) -> f64 {
        median(&self.cpu)
    }
}

/// The middle one of some values.
pub fn median(values: &[f64]) -> f64 {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Median, p99 and p99.9 of a distribution, as text.
pub fn quantiles(times: &Histogram<u64>) -> String {
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| times.value_at_quantile(quantile));
    format!("p50 {p50:>6}  p99 {p99:>6}  p99.9 {p999:>6}")
}
