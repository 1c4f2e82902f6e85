//! Soak test: 24 nodes of one site, each a process of the program, under load and overlapping faults drawn from a seed.
//!
//! [`run_seed`] plays one seed and returns the violations of the invariants, as seen by the clients and the stand-in
//! servers, with counts of how often each fault met a request.

mod checks;
mod faults;
mod leaving_clients;
mod pipelined;
mod process;
mod run_delay;
mod slow_clients;
mod slow_readers;
mod stopped_writes;
mod system_calls;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use tokio::runtime::Builder;

use crate::clients::{self, Class, ClientRequest, Load, Outcome, Report, RequestKind};
use crate::clock::Micros;
use crate::record::Event;
use crate::verdict::{Violation, check};
use crate::{Fleet, FleetConfig};

use checks::{
    allow_for_pauses, arrived_while_listener_closed, large_value_sent, stopped_write_violations, value_given,
};
use faults::{LateKill, ProcessAction, late_kills, process_actions, server_script};
use leaving_clients::{Departure, send_much_and_leave};
use pipelined::{Pace, PipelineReport, run_pipelining_client};
use process::{ExitKind, Process};
use run_delay::RunDelays;
use slow_clients::{PausedValueReport, ask_and_read_nothing, flood, read_paused_values};
use slow_readers::{SlowReaderReport, run_slow_reader};
use stopped_writes::{StoppedWriteReport, run_stopped_writes};
use system_calls::SystemCallFaults;

pub use system_calls::{Program, SYSCALL_FAULT_SEED_INTERVAL};

/// The number of nodes of the site.
const NODES: usize = 24;
/// The number of cache servers of the site.
const CACHE_SERVERS: usize = 8;
/// The drawn faults begin and end within this time; then all nodes are told to end.
const FAULT_PERIOD: Duration = Duration::from_secs(6);
/// The longest request deadline in the settings.
const MAX_DEADLINE: Duration = Duration::from_secs(2);
/// How long the platform waits at least, in addition to the longest deadline, between SIGTERM and SIGKILL.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// The longest pause (SIGSTOP) of a node that the invariants must tolerate.
const MAX_PAUSE: Duration = Duration::from_millis(150);
/// The allowance for delays of the machine beyond the sampled run delays.
const UNSAMPLED_DELAY_ALLOWANCE: Duration = MAX_PAUSE;
/// How long after a change of the server list a node may still go by the old list, in microseconds: the change counts as
/// told at most 6 s after discovery has it, and the settings allow a grace of 0.5 s to follow it.
const LIST_CHANGE_GRACE_US: Micros = 6_000_000 + 500_000;
/// The load balancers in front of a node assign new connections to it for at most this long after SIGTERM, in microseconds.
const MAX_NEW_CONNECTION_DELAY_US: Micros = 400_000;
/// A node accepts new connections for this long after SIGTERM, in microseconds.
const LISTENER_CLOSE_DELAY_US: Micros = 500_000;
/// The number of descriptors that a node may hold.
const MAX_DESCRIPTORS: usize = 512;
/// One in this many nodes has a pipelining client.
const PIPELINING_CLIENT_INTERVAL: usize = 3;
/// One in this many nodes has clients that stop in writes; they are among those with a pipelining client.
const STOPPED_WRITE_INTERVAL: usize = 6;
/// One in this many nodes has a slow reader as it is told to end.
const SLOW_READER_INTERVAL: usize = 2;
/// One in this many nodes has a client that reads values whose servers pause.
const PAUSED_VALUE_INTERVAL: usize = 4;
/// One in this many nodes has clients that send much at once and leave.
const LEAVING_CLIENT_INTERVAL: usize = 8;
/// How long before its node is told to end a client begins to read values whose servers pause.
const READS_BEFORE_SIGTERM: Duration = Duration::from_millis(1200);
/// By when after SIGTERM a node has answered all requests, in microseconds. What flows after that has outlived the time for
/// answers.
const ANSWER_TIME_US: Micros = 2_650_000;
/// For how long after SIGTERM a node reads commands, in microseconds.
const READ_TIME_US: Micros = 2_350_000;
/// By when after a kill the clients of the process have seen their connections end, in microseconds.
const SOCKET_CLOSE_TIME_US: Micros = 100_000;
/// The memory that a process of a node may hold, in MiB: half of what its configuration allows.
const MAX_MEMORY_MIB: usize = 96;
/// When clients begin to stop in writes, in milliseconds.
const STOPPED_WRITES_BEGIN_MS: std::ops::Range<u64> = 300..2500;

/// The result of one seed.
#[derive(Debug)]
pub struct Verdict {
    /// Descriptions of the violations; empty if all invariants held.
    pub violations: Vec<String>,
    /// How many requests there were, by outcome and by the fault they met.
    pub coverage: BTreeMap<&'static str, usize>,
}

impl Verdict {
    /// Whether more than half of the requests that reached a node were served. Without this check, nodes that refuse every
    /// request would pass, because they violate no invariant.
    pub fn served_more_than_half(&self) -> bool {
        self.coverage["served"] * 2 > self.coverage["requests"] - self.coverage["unreached"]
    }
}

/// Plays one seed against a program, with the files of its nodes in a folder. It takes about nine seconds.
///
/// # Errors
/// If a socket or a file can't be created, or a process can't be started or signalled.
pub fn run_seed(program: &Program, folder: &Path, seed: u64) -> io::Result<Verdict> {
    let mut soak = Soak::start(program, folder, seed)?;
    let reports = soak.run_under_load()?;
    Ok(soak.evaluate(reports))
}

/// A node of the site: its address, its process while one runs, and the record of its processes so far.
struct NodeSlot {
    process: Option<Process>,
    listen: SocketAddr,
    config_file: PathBuf,
    /// The begin and end of each pause (SIGSTOP to SIGCONT), on the fleet's clock.
    pauses: Vec<(Micros, Micros)>,
    /// When each of its processes got its first SIGTERM, on the fleet's clock.
    terminated_at: Vec<Micros>,
    /// When its processes were killed that were still writing answers, on the fleet's clock.
    killed_answering_at: Vec<Micros>,
    /// Whether the running process has been sent SIGTERM.
    is_terminating: bool,
    /// The log lines in which its processes report broken rules.
    violations: Vec<String>,
}

impl NodeSlot {
    fn start(&mut self, program: &Path, faults: &SystemCallFaults, fleet: &Fleet) -> io::Result<()> {
        let configuration = fleet.configuration(self.listen, MAX_DESCRIPTORS);
        let process =
            Process::start(program, &configuration, self.config_file.clone(), faults.environment())?;
        self.listen = process.listen;
        (self.process, self.is_terminating) = (Some(process), false);
        Ok(())
    }

    fn signal(&mut self, signal: Signal, now: Micros) -> io::Result<()> {
        if signal == Signal::CONT {
            // A process that was just ending may have exited in place of stopping: its pause ends all the same.
            self.pauses.iter_mut().for_each(|(_, end)| *end = now.min(*end));
        }
        let Some(process) = &mut self.process else { return Ok(()) };
        if !process.signal(signal)? {
            return Ok(());
        }
        match signal {
            Signal::TERM if !std::mem::replace(&mut self.is_terminating, true) => {
                self.terminated_at.push(now)
            }
            Signal::STOP => self.pauses.push((now, Micros::MAX)),
            _ => {}
        }
        Ok(())
    }

    /// Kills the process, which was sent SIGTERM earlier, if it still runs; returns how it had ended.
    fn kill(&mut self) -> io::Result<ExitKind> {
        let Some(process) = self.process.take() else { return Ok(ExitKind::Succeeded) };
        let exit = process.kill()?;
        self.violations.extend(exit.violations);
        Ok(exit.kind)
    }
}

/// The running site of one seed.
struct Soak {
    seed: u64,
    fleet: Fleet,
    program: PathBuf,
    unreading_crowd: bool,
    system_calls: SystemCallFaults,
    slots: Vec<NodeSlot>,
    idle_connections: Vec<TcpStream>,
    pipeline_reports: Vec<PipelineReport>,
    stopped_write_reports: Vec<StoppedWriteReport>,
    slow_reader_reports: Vec<SlowReaderReport>,
    /// The values that were asked for while servers paused, by node.
    paused_value_reports: Vec<(usize, PausedValueReport)>,
    unreading_clients: usize,
    /// The node whose clients read nothing, if there are such clients.
    crowded_node: Option<usize>,
    /// The clients that have sent much at once and left, by node.
    departures: Vec<(usize, Departure)>,
    flood_commands: usize,
    /// The most memory that a node's process has held, in MiB.
    peak_memory_mib: usize,
    run_delays: RunDelays,
    /// Descriptions of violations that are found while the faults are played.
    violations: Vec<String>,
}

impl Soak {
    fn start(program: &Program, folder: &Path, seed: u64) -> io::Result<Soak> {
        let system_calls = SystemCallFaults::draw(program, folder, seed);
        let delay = Duration::from_millis(seed % 4 * 100);
        let fleet = Fleet::start(FleetConfig {
            seed,
            boxes: CACHE_SERVERS,
            notification_delay: delay,
            ..FleetConfig::default()
        })?;
        let slot = |node: usize| {
            // Each node has its own loopback address, so that no outgoing connection takes its port while it is down.
            let listen = SocketAddr::from(([127, 77, (seed % 250) as u8, node as u8 + 1], 0));
            let config_file = folder.join(format!("node-{node}.json"));
            let (pauses, terminated_at, killed_answering_at, violations) = Default::default();
            NodeSlot {
                process: None,
                listen,
                config_file,
                pauses,
                terminated_at,
                killed_answering_at,
                is_terminating: false,
                violations,
            }
        };
        let mut slots: Vec<NodeSlot> = (0..NODES).map(slot).collect();
        for slot in &mut slots {
            slot.start(&program.path, &system_calls, &fleet)?;
        }
        let (idle_connections, pipeline_reports, run_delays, violations) = Default::default();
        let (stopped_write_reports, slow_reader_reports, paused_value_reports) = Default::default();
        let (unreading_crowd, program) = (program.unreading_crowd, program.path.clone());
        Ok(Soak {
            seed,
            fleet,
            program,
            unreading_crowd,
            system_calls,
            slots,
            idle_connections,
            pipeline_reports,
            stopped_write_reports,
            slow_reader_reports,
            paused_value_reports,
            unreading_clients: 0,
            crowded_node: None,
            departures: Vec::new(),
            flood_commands: 0,
            peak_memory_mib: 0,
            run_delays,
            violations,
        })
    }

    fn load(&self, node: usize) -> Load {
        let seed = self.seed * 1000 + node as u64;
        let time = FAULT_PERIOD + MAX_DEADLINE + KILL_DELAY; // until the nodes are killed
        let usual = Load::standard(self.slots[node].listen, time, seed);
        let impatient = |share, wait| {
            let wait = Duration::from_millis(wait);
            Class { name: "lookup".into(), weight: share, kind: RequestKind::Read, timeout: wait }
        };
        let mut classes = usual.classes.clone();
        classes.extend([impatient(0.15, 40), impatient(0.15, 250), impatient(0.05, 5)]);
        Load { classes, keep_requests: true, rate: 10.0, abandon_fraction: 0.25, keys: 300, ..usual }
    }

    /// The ids of the running processes, by node.
    fn process_ids(&self) -> Vec<Option<u32>> {
        self.slots.iter().map(|slot| slot.process.as_ref().map(Process::id)).collect()
    }

    fn apply(&mut self, node: usize, action: ProcessAction) -> io::Result<()> {
        let now = self.fleet.clock().now();
        let slot = &mut self.slots[node];
        match action {
            ProcessAction::Signal(signal) => slot.signal(signal, now)?,
            ProcessAction::Kill => match slot.kill()? {
                ExitKind::Succeeded => {}
                ExitKind::StillAnswering => slot.killed_answering_at.push(now),
                ExitKind::Failed => {
                    let message =
                        format!("{} did not exit by itself with success after SIGTERM", slot.listen);
                    self.violations.push(message);
                }
            },
            ProcessAction::Start => slot.start(&self.program, &self.system_calls, &self.fleet)?,
            ProcessAction::AdvanceScript => {}
            ProcessAction::OpenIdleConnections(count) => {
                self.idle_connections.extend(open_idle_connections(slot.listen, count));
            }
        }
        Ok(())
    }

    /// Plays all faults while the clients run; returns what the clients saw, by node.
    fn run_under_load(&mut self) -> io::Result<Vec<Report>> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let (start, clock) = (Instant::now(), self.fleet.clock().clone());
        let loads: Vec<_> = (0..NODES)
            .map(|node| runtime.spawn(clients::run(self.load(node), clock.clone(), Arc::default())))
            .collect();
        let until = start + FAULT_PERIOD + MAX_DEADLINE + KILL_DELAY;
        let pipelines: Vec<_> = (0..NODES)
            .step_by(PIPELINING_CLIENT_INTERVAL)
            .map(|node| {
                let pace = if node % 2 == 0 { Pace::Steady } else { Pace::Bursts };
                runtime.spawn(run_pipelining_client(
                    self.slots[node].listen,
                    self.seed * 1000 + node as u64,
                    pace,
                    until,
                    clock.clone(),
                ))
            })
            .collect();
        let mut rng = fastrand::Rng::with_seed(self.seed ^ 0x5709);
        let stopped_writes: Vec<_> = (0..NODES)
            .step_by(STOPPED_WRITE_INTERVAL)
            .map(|node| {
                let from = start + Duration::from_millis(rng.u64(STOPPED_WRITES_BEGIN_MS));
                let seed = self.seed * 1000 + node as u64;
                runtime.spawn(run_stopped_writes(self.slots[node].listen, seed, from))
            })
            .collect();
        let slow_readers: Vec<_> = (0..NODES)
            .step_by(SLOW_READER_INTERVAL)
            .map(|node| {
                let seed = self.seed * 1000 + node as u64;
                runtime.spawn(run_slow_reader(self.slots[node].listen, seed, start + FAULT_PERIOD))
            })
            .collect();
        let mut paused_values: Vec<_> = (0..NODES)
            .step_by(PAUSED_VALUE_INTERVAL)
            .map(|node| {
                let (seed, from) =
                    (self.seed * 1000 + node as u64, start + Duration::from_millis(rng.u64(300..1500)));
                let reading = read_paused_values(self.slots[node].listen, seed, from, clock.clone());
                (node, runtime.spawn(reading))
            })
            .collect();
        for LateKill { node, sigterm_at } in late_kills(&process_actions(self.seed)) {
            let seed = self.seed * 1000 + (NODES + node) as u64;
            let from = start + sigterm_at.saturating_sub(READS_BEFORE_SIGTERM);
            let reading = read_paused_values(self.slots[node].listen, seed, from, clock.clone());
            paused_values.push((node, runtime.spawn(reading)));
        }
        // The nodes and times of a crowd that reads nothing and of a flood.
        let (crowded_node, flooded_node) = (rng.usize(..NODES), rng.usize(..NODES));
        let (crowded, flooded) = (self.slots[crowded_node].listen, self.slots[flooded_node].listen);
        self.crowded_node = self.unreading_crowd.then_some(crowded_node);
        let mut drawn_time = || start + Duration::from_millis(rng.u64(500..3000));
        // On a thread of their own, so that they delay no other client.
        let crowd_runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build()?;
        let crowd_begins = drawn_time();
        let crowd = self
            .unreading_crowd
            .then(|| crowd_runtime.spawn(ask_and_read_nothing(crowded, self.seed, crowd_begins)));
        let flood = crowd_runtime.spawn(flood(flooded, self.seed, drawn_time()));
        let first_left = rng.usize(..LEAVING_CLIENT_INTERVAL);
        let leaving: Vec<_> = (first_left..NODES)
            .step_by(LEAVING_CLIENT_INTERVAL)
            .map(|node| {
                let (seed, from) =
                    (self.seed * 1000 + node as u64, start + Duration::from_millis(rng.u64(300..3000)));
                let visits = send_much_and_leave(self.slots[node].listen, seed, from, clock.clone());
                (node, crowd_runtime.spawn(visits))
            })
            .collect();
        let processes = Arc::new(Mutex::new(self.process_ids()));
        let ended = Arc::new(AtomicBool::new(false));
        let sampling = {
            let (processes, clock, ended) = (processes.clone(), clock.clone(), ended.clone());
            std::thread::spawn(move || RunDelays::sample(&processes, &clock, &ended))
        };
        let faults_played = self.play_faults(start, &processes);
        for pipeline in pipelines {
            self.pipeline_reports.push(runtime.block_on(pipeline).map_err(io::Error::other)?);
        }
        for stopped in stopped_writes {
            self.stopped_write_reports.push(runtime.block_on(stopped).map_err(io::Error::other)?);
        }
        for slow_reader in slow_readers {
            self.slow_reader_reports.extend(runtime.block_on(slow_reader).map_err(io::Error::other)?);
        }
        for (node, reading) in paused_values {
            let values = runtime.block_on(reading).map_err(io::Error::other)?;
            self.paused_value_reports.extend(values.into_iter().map(|value| (node, value)));
        }
        if let Some(crowd) = crowd {
            self.unreading_clients = runtime.block_on(crowd).map_err(io::Error::other)?;
        }
        self.flood_commands = runtime.block_on(flood).map_err(io::Error::other)?;
        for (node, visits) in leaving {
            let departures = runtime.block_on(visits).map_err(io::Error::other)?;
            self.departures.extend(departures.into_iter().map(|departure| (node, departure)));
        }
        let mut reports = Vec::new();
        for load in loads {
            reports.push(runtime.block_on(load).map_err(io::Error::other)?);
        }
        ended.store(true, Ordering::Relaxed);
        self.run_delays = sampling
            .join()
            .map_err(|_| io::Error::other("the thread that samples run delays has panicked"))?;
        faults_played.map(|()| reports)
    }

    /// Plays the server faults and process actions of the seed, then ends all nodes.
    fn play_faults(&mut self, start: Instant, processes: &Mutex<Vec<Option<u32>>>) -> io::Result<()> {
        let (mut script, mut actions) =
            (server_script(self.seed).into_iter().peekable(), process_actions(self.seed));
        actions.extend((0..NODES).map(|node| (FAULT_PERIOD, node, ProcessAction::Signal(Signal::TERM))));
        actions.extend(
            (0..NODES).map(|node| (FAULT_PERIOD + MAX_DEADLINE + KILL_DELAY, node, ProcessAction::Kill)),
        );
        let steps = script.clone().map(|(at, _)| at).filter(|at| *at > FAULT_PERIOD);
        actions.extend(steps.map(|at| (at, 0, ProcessAction::AdvanceScript)));
        actions.sort_by_key(|(at, ..)| *at);
        for (at, node, action) in actions {
            while let Some((due, step)) = script.next_if(|(due, _)| *due <= at) {
                sleep((start + due).saturating_duration_since(Instant::now()));
                let _ = self.fleet.step(step); // an error means that the server has been removed meanwhile
            }
            sleep((start + at).saturating_duration_since(Instant::now()));
            self.record_peak_memory(node);
            self.apply(node, action)?;
            *processes.lock().unwrap_or_else(PoisonError::into_inner) = self.process_ids();
        }
        Ok(())
    }

    /// Records the most memory that a node's process has held, as far as the process still runs.
    fn record_peak_memory(&mut self, node: usize) {
        let peak = self.slots[node].process.as_ref().and_then(Process::peak_memory_mib).unwrap_or(0);
        self.peak_memory_mib = self.peak_memory_mib.max(peak);
        if peak > MAX_MEMORY_MIB {
            self.violations.push(format!("{} held {peak} MiB of memory", self.slots[node].listen));
        }
    }

    /// How many clients sent commands after SIGTERM while they still read a large value.
    fn slow_readers_across_sigterm(&self) -> usize {
        self.slow_reader_reports.iter().filter(|report| report.sent_while_reading).count()
    }

    /// Checks the invariants, and counts how often each fault actually met a request.
    fn evaluate(self, reports: Vec<Report>) -> Verdict {
        let (mut asks, mut doubled) = (Vec::new(), 0);
        for (node, report) in reports.into_iter().enumerate() {
            doubled += report.unsolicited_answers;
            let pauses = &self.slots[node].pauses;
            let adjusted = report.requests.into_iter().map(|mut ask| {
                // Time spent waiting for a core is a delay of the machine, not of the node.
                ask.scheduling_delay += self.run_delays.max_delay(node, ask.sent, ask.ended);
                (node, allow_for_pauses(ask, pauses))
            });
            asks.extend(adjusted);
        }
        let asks_before = asks.len();
        asks.retain(|(node, ask)| !arrived_while_listener_closed(ask, &self.slots[*node].terminated_at));
        let lost_at_listener_close = asks_before - asks.len();
        let (records, dropped) = self.fleet.records();
        let mut violations = self.violations.clone();
        violations.extend(self.killed_without_begun_values(&records, &asks));
        violations.extend(self.attempts_for_departed(&records));
        let asks: Vec<ClientRequest> = asks.into_iter().map(|(_, ask)| ask).collect();
        let max_allowance_us = asks.iter().map(|ask| ask.scheduling_delay).max().unwrap_or(0) as usize;
        let broken = check((&records, dropped), &asks, doubled, LIST_CHANGE_GRACE_US);
        violations.extend(broken.iter().map(Violation::to_string));
        // A paused node may report broken rules that are due to its pause. For such nodes only the check above counts, which
        // allows for pauses.
        for slot in self.slots.iter().filter(|slot| slot.pauses.is_empty()) {
            violations.extend(slot.violations.iter().map(|line| format!("{}: {line}", slot.listen)));
        }
        let forwarded: BTreeSet<&str> = records
            .iter()
            .filter_map(|record| match &record.event {
                Event::Received(asked) => Some(asked.id.as_str()),
                _ => None,
            })
            .collect();
        let allowance = UNSAMPLED_DELAY_ALLOWANCE + Duration::from_micros(max_allowance_us as u64);
        for report in &self.stopped_write_reports {
            violations.extend(stopped_write_violations(report, allowance));
        }
        let given_whole: BTreeSet<&str> = records.iter().filter_map(large_value_sent).collect();
        let cut_off = self.slow_reader_reports.iter().filter(|report| report.is_cut_off());
        let cut_off = cut_off.filter(|report| given_whole.contains(report.id.as_str()));
        violations.extend(cut_off.map(|report| format!("cut off: {report:?}")));
        let given: BTreeSet<&str> = records.iter().filter_map(value_given).collect();
        violations.extend(self.cut_off_paused_values(&given, &records));
        let paused = records.iter().filter(|record| matches!(record.event, Event::AnswerPaused(_))).count();
        violations.extend(self.pipeline_violations(&forwarded, allowance));
        let pipelined: usize = self.pipeline_reports.iter().map(|report| report.answered).sum();
        let after_partial_value = |report: &PipelineReport| {
            report.unanswered.iter().filter(|unanswered| unanswered.after_partial_value).count()
        };
        let after_partial_value: usize = self.pipeline_reports.iter().map(after_partial_value).sum();
        let large_writes: usize = self.pipeline_reports.iter().map(|report| report.large_writes).sum();
        let large_reads: usize = self.pipeline_reports.iter().map(|report| report.large_reads).sum();
        let failed_large_reads: usize =
            self.pipeline_reports.iter().map(|report| report.failed_large_reads).sum();
        let repeated =
            records.iter().filter(|record| matches!(record.event, Event::AnswerRepeated(_))).count();
        let halted = records.iter().filter(|record| matches!(record.event, Event::AnswerHalted(_))).count();
        let cut = records.iter().filter(|record| matches!(record.event, Event::AnswerCut(_))).count();
        let ended = |end: Outcome| asks.iter().filter(|ask| ask.outcome == end).count();
        let asked = records.iter().filter(|record| matches!(record.event, Event::Received(_))).count();
        let coverage = BTreeMap::from([
            ("requests", asks.len()),
            ("served", ended(Outcome::Served)),
            ("refused", ended(Outcome::Refused)),
            ("failed", ended(Outcome::Failed)),
            ("left", ended(Outcome::Abandoned)),
            ("unreached", ended(Outcome::Unreached)),
            ("sent again", asks.iter().filter(|ask| ask.resent.is_some()).count()),
            ("attempts", asked),
            ("pipelined", pipelined),
            ("large writes in pipelines", large_writes),
            ("large reads in pipelines", large_reads),
            ("large reads in pipelines that failed", failed_large_reads),
            ("sent much and left", self.departures.len()),
            ("values that outlived the time for answers", self.values_beyond_answer_time()),
            ("killed with answers begun", self.slots.iter().map(|slot| slot.killed_answering_at.len()).sum()),
            ("unread behind a broken value", after_partial_value),
            ("lost as the listener closed", lost_at_listener_close),
            ("stopped in a write", self.stopped_write_reports.iter().map(|report| report.stopped).sum()),
            (
                "sound writes beside them",
                self.stopped_write_reports.iter().map(|report| report.answered).sum(),
            ),
            ("slow readers across SIGTERM", self.slow_readers_across_sigterm()),
            ("values written with pauses", paused),
            ("read while their server paused", self.paused_value_reports.len()),
            ("clients that read nothing", self.unreading_clients),
            ("commands of a flood", self.flood_commands),
            ("peak memory, MiB", self.peak_memory_mib),
            ("answers sent twice", repeated),
            ("values that stopped", halted),
            ("answers cut, of no length", cut),
            ("broken off at a client", ended(Outcome::Truncated)),
            ("system calls that failed", self.system_calls.injected_count()),
            ("lateness granted, ms", max_allowance_us / 1000),
        ]);
        Verdict { violations, coverage }
    }
}

/// Opens connections that send half a command or nothing and stay open.
fn open_idle_connections(listen: SocketAddr, count: usize) -> Vec<TcpStream> {
    let connect = |n: usize| {
        // The backlog of a paused node may be full; the time limit keeps that from delaying the faults of the others.
        let mut stream = TcpStream::connect_timeout(&listen, MAX_PAUSE).ok()?;
        if n.is_multiple_of(2) {
            let _ = stream.write_all(b"*4\r\n$9\r\nCACHE.G"); // half a command
        }
        Some(stream)
    };
    (0..count).map_while(connect).collect()
}
