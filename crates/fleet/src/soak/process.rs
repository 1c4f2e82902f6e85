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
/// The text by which an ending node's log reports that it waits for answers that have begun.
const STILL_ANSWERING_MESSAGE: &str = "answers are still being written";

/// A running node. Dropping it kills the process.
pub(super) struct Process {
    child: Child,
    /// The address it listens at.
    pub listen: SocketAddr,
    /// The thread that reads the log to its end.
    log: Option<JoinHandle<LogReport>>,
}

/// What the log of a process reports.
#[derive(Default)]
struct LogReport {
    /// The lines that report broken rules.
    violations: Vec<String>,
    /// Whether it waited for answers that had begun when its time for answers was over.
    still_answering: bool,
}

/// How a process had ended when the platform killed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ExitKind {
    /// By itself, with success.
    Succeeded,
    /// Not yet: it was still writing answers that had begun.
    StillAnswering,
    /// Not yet, for no known reason, or with an error.
    Failed,
}

/// How a process ended.
pub(super) struct ExitReport {
    pub kind: ExitKind,
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
        let exited = self.child.try_wait()?;
        let _ = self.child.kill(); // it may already have exited
        self.child.wait()?;
        let LogReport { violations, still_answering } =
            self.log.take().and_then(|log| log.join().ok()).unwrap_or_default();
        let kind = match exited {
            Some(status) if status.success() => ExitKind::Succeeded,
            None if still_answering => ExitKind::StillAnswering,
            _ => ExitKind::Failed,
        };
        Ok(ExitReport { kind, violations })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may already have exited
        let _ = self.child.wait();
    }
}

/// Reads a log to its end, and sends the address at which the node listens.
fn follow_log(log: ChildStderr, ready: &mpsc::Sender<SocketAddr>) -> LogReport {
    let mut report = LogReport::default();
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        if let Some(address) =
            line.rsplit_once("listening on ").and_then(|(_, text)| text.trim().parse().ok())
        {
            let _ = ready.send(address); // the receiver may have timed out
        }
        report.still_answering |= line.contains(STILL_ANSWERING_MESSAGE);
        if line.contains(VIOLATION_MESSAGE) {
            report.violations.push(line);
        }
    }
    report
}
