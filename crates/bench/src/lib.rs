//! What the measurements share: processes on cores of their own, and what they use.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use hdrhistogram::Histogram;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
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
    _folder: Option<tempfile::TempDir>,
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
        let folder = tempfile::tempdir()?;
        fs::write(folder.path().join("node.json"), configuration)?;
        fs::write(folder.path().join("etcd.toml"), etcd)?;
        let options = folder.path().join("serve.toml");
        fs::write(&options, "node = \"node.json\"\netcd = \"etcd.toml\"\n")?;
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(options);
        Subject::start(command, Some(folder))
    }

    /// Starts a program that says `listening on ADDRESS` in the first line of its standard error.
    ///
    /// # Errors
    /// If it does not come up.
    pub fn start(mut command: Command, folder: Option<tempfile::TempDir>) -> io::Result<Subject> {
        let mut child = command.stderr(Stdio::piped()).spawn()?;
        let log = child.stderr.take().ok_or_else(|| io::Error::other("no log"))?;
        let mut first = String::new();
        BufReader::new(log).read_line(&mut first)?;
        let addr = first.trim().strip_prefix("listening on ").and_then(|addr| addr.parse().ok());
        let addr = addr.ok_or_else(|| io::Error::other(format!("did not come up: {first}")))?;
        Ok(Subject { child, addr, _folder: folder })
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

/// Median, p99 and p99.9 of a distribution, as text.
pub fn quantiles(times: &Histogram<u64>) -> String {
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| times.value_at_quantile(quantile));
    format!("p50 {p50:>6}  p99 {p99:>6}  p99.9 {p999:>6}")
}
