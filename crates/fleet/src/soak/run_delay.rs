//! How long threads have waited for a core, from the kernel's run-delay counters. The soak test allows for this time, as it
//! is a delay of the machine and not of the nodes.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread::sleep;
use std::time::Duration;

use super::NODES;
use crate::clock::{Clock, Micros};

/// The length of the windows over which run delay is summed, in microseconds: about the longest pause that is tolerated.
const WINDOW_US: Micros = 200_000;
/// The interval between two samples of the counters.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Times, each with the total run delay of a thread by then, both in microseconds.
type Samples = Vec<(Micros, Micros)>;

/// Run delays of the nodes, and of the threads of this process that run the clients and stand-ins.
#[derive(Default)]
pub(super) struct RunDelays {
    nodes: Vec<Samples>,
    /// By path below `/proc`.
    local_threads: BTreeMap<String, Samples>,
}

impl RunDelays {
    /// Samples the running processes, given by node, until `ended` is set.
    pub fn sample(processes: &Mutex<Vec<Option<u32>>>, clock: &Clock, ended: &AtomicBool) -> RunDelays {
        let mut delays = RunDelays { nodes: vec![Vec::new(); NODES], local_threads: BTreeMap::new() };
        let local_threads = local_threads();
        while !ended.load(Ordering::Relaxed) {
            let running = processes.lock().unwrap_or_else(PoisonError::into_inner).clone();
            for (node, process) in running.into_iter().enumerate() {
                let thread = process.map(|process| format!("/proc/{process}"));
                if let Some(waited) = thread.and_then(|thread| run_delay(&thread)) {
                    delays.nodes[node].push((clock.now(), waited));
                }
            }
            for thread in &local_threads {
                if let Some(waited) = run_delay(thread) {
                    delays.local_threads.entry(thread.clone()).or_default().push((clock.now(), waited));
                }
            }
            sleep(SAMPLE_INTERVAL);
        }
        delays
    }

    /// An upper bound of the time for which a request waited for a core at its node and at its client, between two times.
    pub fn max_delay(&self, node: usize, from: Micros, to: Micros) -> Micros {
        let local =
            self.local_threads.values().map(|samples| Self::max_delay_in_window(samples, from, to)).max();
        Self::max_delay_in_window(&self.nodes[node], from, to) + local.unwrap_or(0)
    }

    /// The largest run delay of a thread within any window of [`WINDOW_US`] between two times.
    fn max_delay_in_window(samples: &Samples, from: Micros, to: Micros) -> Micros {
        let first = samples.partition_point(|(at, _)| *at <= from).saturating_sub(1);
        let last = samples.partition_point(|(at, _)| *at < to);
        let within = &samples[first..(last + 1).min(samples.len())];
        let window_delays = within.iter().enumerate().map(|(n, (at, before))| {
            let end = n + within[n..].partition_point(|(later, _)| *later <= at + WINDOW_US);
            // The counter of a restarted process begins at 0 again.
            within[end - 1].1.saturating_sub(*before)
        });
        window_delays.max().unwrap_or(0)
    }
}

/// The paths below `/proc` of the threads of this process on which clients and stand-ins run.
fn local_threads() -> Vec<String> {
    let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten().flatten();
    let runs_tasks = |name: &str| name.starts_with("tokio") || name.starts_with("fleet");
    let paths = threads.map(|thread| thread.path().display().to_string());
    paths
        .filter(|path| std::fs::read_to_string(format!("{path}/comm")).is_ok_and(|name| runs_tasks(&name)))
        .collect()
}

/// The total run delay of a thread, in microseconds. The path of a process stands for its first thread, which does all of a
/// node's work.
fn run_delay(thread: &str) -> Option<Micros> {
    let text = std::fs::read_to_string(format!("{thread}/schedstat")).ok()?;
    let nanoseconds: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(nanoseconds / 1000)
}
