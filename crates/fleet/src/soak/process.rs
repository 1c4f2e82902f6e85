//! One node as a process of the program, and what its log says of rules that it broke.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use rustix::process::{Pid, Signal, kill_process};

/// A process that says nothing for so long is held to be stuck.
const PATIENCE: Duration = Duration::from_secs(60);
/// How a node words that it broke a rule.
const VIOLATION: &str = "a rule was broken";

/// A running node. It is killed when it is dropped.
pub(super) struct Process {
    child: Child,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Reads its log to the end; tells the lines on broken rules.
    log: Option<JoinHandle<Vec<String>>>,
}

/// How a process ended that was told to.
pub(super) struct Ended {
    /// Whether by itself, and as a success.
    pub well: bool,
    /// What it told of rules that it broke.
    pub violations: Vec<String>,
}

impl Process {
    /// Starts a node with a configuration, which is written to a file, and an environment; returns once it listens.
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
        let log = child.stderr.take().ok_or_else(|| io::Error::other("no log"))?;
        let (ready, listens) = mpsc::channel();
        let log = std::thread::spawn(move || follow(log, &ready));
        let listen =
            listens.recv_timeout(PATIENCE).map_err(|_| io::Error::other("a node doesn't come up"))?;
        Ok(Process { child, listen, log: Some(log) })
    }

    /// The process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Signals it, unless it has ended; tells whether it had not.
    pub fn signal(&mut self, signal: Signal) -> io::Result<bool> {
        let runs = self.child.try_wait()?.is_none();
        if let Some(id) = Pid::from_raw(self.id().cast_signed()).filter(|_| runs) {
            kill_process(id, signal)?;
        }
        Ok(runs)
    }

    /// Kills it if it still runs, and tells how it ended.
    pub fn end(mut self) -> io::Result<Ended> {
        let well = self.child.try_wait()?.is_some_and(|status| status.success());
        let _ = self.child.kill(); // it may have ended
        self.child.wait()?;
        let violations = self.log.take().and_then(|log| log.join().ok());
        Ok(Ended { well, violations: violations.unwrap_or_default() })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// Reads a log to its end: tells where the node listens, and keeps what it says of broken rules.
fn follow(log: ChildStderr, ready: &mpsc::Sender<SocketAddr>) -> Vec<String> {
    let mut violations = Vec::new();
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        if let Some(address) =
            line.rsplit_once("listening on ").and_then(|(_, text)| text.trim().parse().ok())
        {
            let _ = ready.send(address); // who waited may have given up
        }
        if line.contains(VIOLATION) {
            violations.push(line);
        }
    }
    violations
}
