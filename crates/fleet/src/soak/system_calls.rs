//! System calls of the nodes that fail, by a library that is preloaded into them.

use std::fs;
use std::path::{Path, PathBuf};

/// The program under test, and the library that makes its system calls fail.
#[derive(Debug, Clone)]
pub struct Program {
    /// The program.
    pub path: PathBuf,
    /// The library; without it no calls fail.
    pub fault_library: Option<PathBuf>,
}

/// System calls fail on every seed of so many, where the library is given.
pub const SYSCALL_FAULT_SEED_INTERVAL: u64 = 2;
/// A wall clock steps by so many seconds.
const STEP: i64 = 3600;

const ACCEPT: [&str; 5] = ["ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS", "EINTR"];
const CONNECT: [&str; 5] = ["ENETUNREACH", "EHOSTUNREACH", "ETIMEDOUT", "EADDRNOTAVAIL", "ENOBUFS"];
const SOCKET: [&str; 4] = ["EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"];

/// What a seed draws, for all nodes.
#[derive(Debug, Default)]
pub(super) struct SystemCallFaults {
    environment: Vec<(&'static str, String)>,
    log: PathBuf,
}

impl SystemCallFaults {
    /// Draws which calls fail, and how often; what was injected is counted in a file of the folder.
    pub fn draw(program: &Program, folder: &Path, seed: u64) -> SystemCallFaults {
        let library =
            program.fault_library.as_ref().filter(|_| seed.is_multiple_of(SYSCALL_FAULT_SEED_INTERVAL));
        let Some(library) = library else { return SystemCallFaults::default() };
        let log = folder.join("system-calls");
        let environment = vec![
            ("LD_PRELOAD", library.display().to_string()),
            ("SYSCALL_FAULTS", rules(seed)),
            ("SYSCALL_FAULTS_LOG", log.display().to_string()),
        ];
        SystemCallFaults { environment, log }
    }

    /// What a node's process has in its environment.
    pub fn environment(&self) -> &[(&'static str, String)] {
        &self.environment
    }

    /// How many calls failed so far.
    pub fn injected(&self) -> usize {
        fs::metadata(&self.log).map_or(0, |log| usize::try_from(log.len()).unwrap_or(usize::MAX))
    }
}

/// The script of a seed; the library's page has its form.
fn rules(seed: u64) -> String {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5ca1);
    let mut rules = vec![
        format!("receive:short:{}:0", rng.u8(7..30)),
        format!("receive:EINTR:{}:0", rng.u8(11..50)),
        format!("send:short:{}:0", rng.u8(7..30)),
        format!("send:EINTR:{}:0", rng.u8(11..50)),
        format!("accept:{}:{}:0", ACCEPT[rng.usize(..ACCEPT.len())], rng.u8(3..20)),
        format!("connect:{}:{}:0", CONNECT[rng.usize(..CONNECT.len())], rng.u8(20..80)),
        format!("socket:{}:{}:0", SOCKET[rng.usize(..SOCKET.len())], rng.u8(20..80)),
    ];
    let step = if rng.bool() { STEP } else { -STEP };
    rules.push(format!("clock:{step}:{}:0", rng.u8(1..4)));
    rules.join(" ")
}
