//! Failing system calls of the nodes: draws the rules for a fault library that is preloaded into their processes.

use std::fs;
use std::path::{Path, PathBuf};

/// The program under test, and the library that makes its system calls fail.
#[derive(Debug, Clone)]
pub struct Program {
    /// The executable.
    pub path: PathBuf,
    /// The preloaded library; without it no system calls fail.
    pub fault_library: Option<PathBuf>,
    /// Whether a crowd of clients asks for several large values each and reads nothing.
    pub unreading_crowd: bool,
}

/// If the fault library is given, system calls fail on one in this many seeds.
pub const SYSCALL_FAULT_SEED_INTERVAL: u64 = 2;
/// By how much the wall clock jumps forwards or backwards, in seconds.
const CLOCK_STEP_SECONDS: i64 = 3600;

const ACCEPT_ERRORS: [&str; 5] = ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "EINTR"];
const CONNECT_ERRORS: [&str; 5] = ["ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EADDRNOTAVAIL", "ENOBUFS"];
const SOCKET_ERRORS: [&str; 4] = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"];

/// The system call faults of a seed, which are the same for all nodes.
#[derive(Debug, Default)]
pub(super) struct SystemCallFaults {
    environment: Vec<(&'static str, String)>,
    log: PathBuf,
}

impl SystemCallFaults {
    /// Draws which calls fail, and how often. The library counts the injected faults in a file of the folder.
    pub fn draw(program: &Program, folder: &Path, seed: u64) -> SystemCallFaults {
        let library =
            program.fault_library.as_ref().filter(|_| seed.is_multiple_of(SYSCALL_FAULT_SEED_INTERVAL));
        let Some(library) = library else { return SystemCallFaults::default() };
        let log = folder.join("system-calls");
        let environment = vec![
            ("LD_PRELOAD", library.display().to_string()),
            ("SYSCALL_FAULTS", fault_rules(seed)),
            ("SYSCALL_FAULTS_LOG", log.display().to_string()),
        ];
        SystemCallFaults { environment, log }
    }

    /// The environment of a node's process.
    pub fn environment(&self) -> &[(&'static str, String)] {
        &self.environment
    }

    /// The number of faults injected so far: the library appends one byte for each.
    pub fn injected_count(&self) -> usize {
        fs::metadata(&self.log).map_or(0, |log| usize::try_from(log.len()).unwrap_or(usize::MAX))
    }
}

/// The rules of a seed, in the form that the documentation of the library describes.
fn fault_rules(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5ca1);
    let mut rules = vec![
        format!("receive:short:{}:0", rng.u8(7..30)),
        format!("receive:EINTR:{}:0", rng.u8(11..50)),
        format!("send:short:{}:0", rng.u8(7..30)),
        format!("send:EINTR:{}:0", rng.u8(11..50)),
        format!("accept:{}:{}:0", ACCEPT_ERRORS[rng.usize(..ACCEPT_ERRORS.len())], rng.u8(3..20)),
        format!("connect:{}:{}:0", CONNECT_ERRORS[rng.usize(..CONNECT_ERRORS.len())], rng.u8(20..80)),
        format!("socket:{}:{}:0", SOCKET_ERRORS[rng.usize(..SOCKET_ERRORS.len())], rng.u8(20..80)),
    ];
    let step = if rng.bool() { CLOCK_STEP_SECONDS } else { -CLOCK_STEP_SECONDS };
    rules.push(format!("clock:{step}:{}:0", rng.u8(1..4)));
    rules.join(" ")
}
