//! One node as a process of the program. Its log is read for the address it listens at and for broken rules.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// A process that does not listen within this time is considered stuck.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(60);
/// The text by which a node's log reports that it broke a rule.
const VIOLATION_MESSAGE: &str = "a rule was broken";

/// A running node. Dropping it kills the process.
pub(super) struct Process {
    child: Child,
    /// The address it listens at.
    pub listen: SocketAddr,
    /// The thread that reads the log to its end; returns the lines that report broken rules.
    log: Option<JoinHandle<Vec<String>>>,
}

/// How a process ended.
pub(super) struct ExitReport {
    /// Whether it exited by itself, with success.
    pub succeeded: bool,
    /// The log lines that report broken rules.
    pub violations: Vec<String>,
}

impl Process {
    /// Writes the configuration to a file and starts a node with it and an environment; returns once it listens.
    pub fn start(
        program: &Path,
        configuration: &str,
        file: PathBuf,
        environment: &[(&'static str, String)],
    ) -> io::Result<Process> {
        fs::write(&file, configuration)?;
        let mut command = Command::new(program);
        command.env_clear().envs(environment.iter().cloned()).env("EDGE_CONFIG", file).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let log =
            child.stderr.take().ok_or_else(|| io::Error::other("standard error of the node is not piped"))?;
        let (ready, listen_address) = mpsc::channel();
        let log = std::thread::spawn(move || follow_log(log, &ready));
        let listen = listen_address
            .recv_timeout(STARTUP_TIMEOUT)
            .map_err(|_| io::Error::other("a node did not listen within 60 s of its start"))?;
        Ok(Process { child, listen, log: Some(log) })
    }

    /// The most memory that the process has held, in MiB; none once it has ended.
    pub fn peak_memory_mib(&self) -> Option<usize> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        line.trim().trim_end_matches(" kB").parse::<usize>().ok().map(|kib| kib >> 10)
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal unless the process has exited; returns whether it was running.
    pub fn signal(&mut self, signal: Signal) -> io::Result<bool> {
        let is_running = self.child.try_wait()?.is_none();
        if let Some(id) = Pid::from_raw(self.id().cast_signed()).filter(|_| is_running) {
            kill_process(id, signal)?;
        }
        Ok(is_running)
    }

    /// Kills it if it still runs, and returns how it ended.
    pub fn kill(mut self) -> io::Result<ExitReport> {
        let succeeded = self.child.try_wait()?.is_some_and(|status| status.success());
        let _ = self.child.kill(); // it may already have exited
        self.child.wait()?;
        let violations = self.log.take().and_then(|log| log.join().ok());
        Ok(ExitReport { succeeded, violations: violations.unwrap_or_default() })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may already have exited
        let _ = self.child.wait();
    }
}

/// Reads a log to its end: sends the address at which the node listens, and returns the lines that report broken rules.
fn follow_log(log: ChildStderr, ready: &mpsc::Sender<SocketAddr>) -> Vec<String> {
    let mut violations = Vec::new();
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        if let Some(address) =
            line.rsplit_once("listening on ").and_then(|(_, text)| text.trim().parse().ok())
        {
            let _ = ready.send(address); // the receiver may have timed out
        }
        if line.contains(VIOLATION_MESSAGE) {
            violations.push(line);
        }
    }
    violations
}
