//! Soak: two dozen nodes, each a process of the program, under overlapping faults that a seed draws, judged by the
//! invariants.

mod faults;
mod pipelined;
mod process;
mod run_delay;
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

use crate::clients::{self, Ask, Class, End, Kind, Load, Report};
use crate::clock::Micros;
use crate::record::Event;
use crate::verdict::{Broken, check};
use crate::{Fleet, Plan};

use faults::{Act, acts, script};
use pipelined::{Pace, Pipelined, pipelined};
use process::Process;
use run_delay::RunDelays;
use system_calls::SystemCallFaults;

pub use system_calls::{Program, SYSCALL_FAULT_SEED_INTERVAL};

/// Nodes of one site.
const NODES: usize = 24;
/// Cache servers of one site.
const CACHES: usize = 8;
/// Faults begin and end within this time.
const FAULTS: Duration = Duration::from_secs(6);
/// The longest deadline of the settings.
const LONGEST: Duration = Duration::from_secs(2);
/// The platform kills so long after SIGTERM at the earliest, beside the longest deadline.
const KILL: Duration = Duration::from_millis(700);
/// The longest that a node may be held up.
const HELD_UP: Duration = Duration::from_millis(150);
/// The longest that the machine's lateness is allowed for beside what was sampled.
const LONGEST_HOLD_UP: Duration = HELD_UP;
/// A change of the list counts as told so long after discovery had it, at the latest, and may be followed for the grace
/// of the settings, in microseconds.
const TOLD: Micros = 6_000_000 + 500_000;
/// Fronts deal out new connections for so long after word to end, at most, in microseconds ...
const LAST_NEW: Micros = 400_000;
/// ... and a node takes them for so long.
const LISTENER_CLOSES: Micros = 500_000;
/// Descriptors that a node may hold.
const SOCKETS: usize = 512;
/// Each node of so many has a pipelined client.
const PIPELINED_EVERY: usize = 3;

/// What came of a seed.
#[derive(Debug)]
pub struct Verdict {
    /// What broke, in words; nothing where all invariants held.
    pub violations: Vec<String>,
    /// How many requests met what.
    pub coverage: BTreeMap<&'static str, usize>,
}

impl Verdict {
    /// Whether half at least of the requests that reached a node were served: nodes that refused all would break nothing.
    pub fn served_more_than_half(&self) -> bool {
        self.coverage["served"] * 2 > self.coverage["requests"] - self.coverage["unreached"]
    }
}

/// Plays one seed against a program, whose nodes' files go into a folder. It takes some nine seconds.
///
/// # Errors
/// If a socket, a file or a process can't be had.
pub fn run_seed(program: &Program, folder: &Path, seed: u64) -> io::Result<Verdict> {
    let mut soak = Soak::start(program, folder, seed)?;
    let reports = soak.play()?;
    Ok(soak.judge(reports))
}

/// A node's place: its process while it runs, and what it did before.
struct Place {
    process: Option<Process>,
    listen: SocketAddr,
    file: PathBuf,
    /// When its process was held up, on the fleet's clock.
    held_up: Vec<(Micros, Micros)>,
    /// When its processes were first told to end.
    told_to_end: Vec<Micros>,
    /// Whether the process that runs has been told to.
    ends: bool,
    /// What its processes told of rules that they broke.
    violations: Vec<String>,
}

impl Place {
    fn start(&mut self, program: &Path, faults: &SystemCallFaults, fleet: &Fleet) -> io::Result<()> {
        let configuration = fleet.configuration(self.listen, SOCKETS);
        let process = Process::start(program, &configuration, self.file.clone(), faults.environment())?;
        self.listen = process.listen;
        (self.process, self.ends) = (Some(process), false);
        Ok(())
    }

    fn signal(&mut self, signal: Signal, now: Micros) -> io::Result<()> {
        let Some(process) = &mut self.process else { return Ok(()) };
        if !process.signal(signal)? {
            return Ok(());
        }
        match signal {
            Signal::TERM if !std::mem::replace(&mut self.ends, true) => self.told_to_end.push(now),
            Signal::STOP => self.held_up.push((now, Micros::MAX)),
            Signal::CONT => self.held_up.iter_mut().for_each(|(_, end)| *end = now.min(*end)),
            _ => {}
        }
        Ok(())
    }

    /// The end of a process that was told to end. Tells whether it came by itself, and as a success.
    fn end(&mut self) -> io::Result<bool> {
        let Some(process) = self.process.take() else { return Ok(true) };
        let ended = process.end()?;
        self.violations.extend(ended.violations);
        Ok(ended.well)
    }
}

/// One seed's site.
struct Soak {
    seed: u64,
    fleet: Fleet,
    program: PathBuf,
    system_calls: SystemCallFaults,
    places: Vec<Place>,
    crowd: Vec<TcpStream>,
    pipelined: Vec<Pipelined>,
    run_delays: RunDelays,
    /// What broke, besides what the records show.
    told: Vec<String>,
}

impl Soak {
    fn start(program: &Program, folder: &Path, seed: u64) -> io::Result<Soak> {
        let system_calls = SystemCallFaults::draw(program, folder, seed);
        let delay = Duration::from_millis(seed % 4 * 100);
        let fleet = Fleet::start(Plan { seed, boxes: CACHES, delay, ..Plan::default() })?;
        let place = |node: usize| {
            // Addresses of their own: no client's connection takes a node's port while it is down.
            let listen = SocketAddr::from(([127, 77, (seed % 250) as u8, node as u8 + 1], 0));
            let file = folder.join(format!("node-{node}.json"));
            let (held_up, told_to_end, violations) = Default::default();
            Place { process: None, listen, file, held_up, told_to_end, ends: false, violations }
        };
        let mut places: Vec<Place> = (0..NODES).map(place).collect();
        for place in &mut places {
            place.start(&program.path, &system_calls, &fleet)?;
        }
        let (crowd, pipelined, run_delays, told) = Default::default();
        let program = program.path.clone();
        Ok(Soak { seed, fleet, program, system_calls, places, crowd, pipelined, run_delays, told })
    }

    fn load(&self, node: usize) -> Load {
        let seed = self.seed * 1000 + node as u64;
        let time = FAULTS + LONGEST + KILL; // up to the kill
        let usual = Load::usual(self.places[node].listen, time, seed);
        let short = |share, wait| {
            let wait = Duration::from_millis(wait);
            Class { name: "lookup".into(), share, kind: Kind::Read, wait }
        };
        let mut classes = usual.classes.clone();
        classes.extend([short(0.15, 40), short(0.15, 250), short(0.05, 5)]);
        Load { classes, kept: true, rate: 10.0, leaving: 0.25, keys: 300, ..usual }
    }

    /// The processes that run, by node.
    fn processes(&self) -> Vec<Option<u32>> {
        self.places.iter().map(|place| place.process.as_ref().map(Process::id)).collect()
    }

    fn act(&mut self, node: usize, act: Act) -> io::Result<()> {
        let now = self.fleet.clock().now();
        let place = &mut self.places[node];
        match act {
            Act::Signal(signal) => place.signal(signal, now)?,
            Act::Kill => {
                if !place.end()? {
                    self.told.push(format!("{} did not end by itself when it was told to", place.listen));
                }
            }
            Act::Start => place.start(&self.program, &self.system_calls, &self.fleet)?,
            Act::Look => {}
            Act::Crowd(size) => self.crowd.extend(crowd(place.listen, size)),
        }
        Ok(())
    }

    /// Plays all faults under the loads; tells what the clients saw, by node.
    fn play(&mut self) -> io::Result<Vec<Report>> {
        let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build()?;
        let (start, clock) = (Instant::now(), self.fleet.clock().clone());
        let loads: Vec<_> = (0..NODES)
            .map(|node| runtime.spawn(clients::run(self.load(node), clock.clone(), Arc::default())))
            .collect();
        let until = start + FAULTS + LONGEST + KILL;
        let pipelines: Vec<_> = (0..NODES)
            .step_by(PIPELINED_EVERY)
            .map(|node| {
                let pace = if node % 2 == 0 { Pace::Steady } else { Pace::Bursts };
                runtime.spawn(pipelined(
                    self.places[node].listen,
                    self.seed * 1000 + node as u64,
                    pace,
                    until,
                ))
            })
            .collect();
        let processes = Arc::new(Mutex::new(self.processes()));
        let ended = Arc::new(AtomicBool::new(false));
        let sampling = {
            let (processes, clock, ended) = (processes.clone(), clock.clone(), ended.clone());
            std::thread::spawn(move || RunDelays::sample(&processes, &clock, &ended))
        };
        let played = self.play_faults(start, &processes);
        for seen in pipelines {
            self.pipelined.push(runtime.block_on(seen).map_err(io::Error::other)?);
        }
        let mut reports = Vec::new();
        for load in loads {
            reports.push(runtime.block_on(load).map_err(io::Error::other)?);
        }
        ended.store(true, Ordering::Relaxed);
        self.run_delays = sampling.join().map_err(|_| io::Error::other("the sampling has failed"))?;
        played.map(|()| reports)
    }

    /// Plays what the seed has drawn, and the end of all nodes.
    fn play_faults(&mut self, start: Instant, processes: &Mutex<Vec<Option<u32>>>) -> io::Result<()> {
        let (mut script, mut acts) = (script(self.seed).into_iter().peekable(), acts(self.seed));
        acts.extend((0..NODES).map(|node| (FAULTS, node, Act::Signal(Signal::TERM))));
        acts.extend((0..NODES).map(|node| (FAULTS + LONGEST + KILL, node, Act::Kill)));
        let steps = script.clone().map(|(at, _)| at).filter(|at| *at > FAULTS);
        acts.extend(steps.map(|at| (at, 0, Act::Look)));
        acts.sort_by_key(|(at, ..)| *at);
        for (at, node, act) in acts {
            while let Some((due, step)) = script.next_if(|(due, _)| *due <= at) {
                sleep((start + due).saturating_duration_since(Instant::now()));
                let _ = self.fleet.step(step); // of a server that is gone meanwhile
            }
            sleep((start + at).saturating_duration_since(Instant::now()));
            self.act(node, act)?;
            *processes.lock().unwrap_or_else(PoisonError::into_inner) = self.processes();
        }
        Ok(())
    }

    /// What broke, and how often each fault really met a request.
    fn judge(self, reports: Vec<Report>) -> Verdict {
        let (mut asks, mut doubled) = (Vec::new(), 0);
        for (node, report) in reports.into_iter().enumerate() {
            doubled += report.doubled;
            let held_up = &self.places[node].held_up;
            let granted = report.asks.into_iter().map(|mut ask| {
                // The machine's lateness is not the node's.
                ask.late += self.run_delays.between(node, ask.sent, ask.ended);
                (node, allow_for_hold_ups(ask, held_up))
            });
            asks.extend(granted);
        }
        let before = asks.len();
        asks.retain(|(node, ask)| !came_as_the_listener_closed(ask, &self.places[*node].told_to_end));
        let as_it_closed = before - asks.len();
        let asks: Vec<Ask> = asks.into_iter().map(|(_, ask)| ask).collect();
        let most_granted = asks.iter().map(|ask| ask.late).max().unwrap_or(0) as usize;
        let (records, dropped) = self.fleet.records();
        let mut told = self.told;
        let broken = check((&records, dropped), &asks, doubled, TOLD);
        told.extend(broken.iter().map(Broken::to_string));
        // Of a node that the script held up, the records are judged above, with what is granted.
        for place in self.places.iter().filter(|place| place.held_up.is_empty()) {
            told.extend(place.violations.iter().map(|line| format!("{}: {line}", place.listen)));
        }
        let sent_on: BTreeSet<&str> = records
            .iter()
            .filter_map(|record| match &record.event {
                Event::Asked(asked) => Some(asked.id.as_str()),
                _ => None,
            })
            .collect();
        for seen in &self.pipelined {
            let granted = LONGEST_HOLD_UP + Duration::from_micros(most_granted as u64);
            for unanswered in &seen.unanswered {
                let id = &unanswered.id;
                if sent_on.contains(id.as_str()) {
                    told.push(format!("lost: {id} was read, sent on and never answered"));
                } else if unanswered.has_lain(granted) {
                    told.push(format!("lost: {id} lay for long when its connection ended"));
                }
            }
            told.extend(seen.foreign.iter().map(|id| format!("{id} got another's answer")));
        }
        let pipelined: usize = self.pipelined.iter().map(|seen| seen.answered).sum();
        let behind = |seen: &Pipelined| seen.unanswered.iter().filter(|one| one.behind_broken).count();
        let behind_broken: usize = self.pipelined.iter().map(behind).sum();
        let large: usize = self.pipelined.iter().map(|seen| seen.large).sum();
        let repeated = records.iter().filter(|record| matches!(record.event, Event::Repeated(_))).count();
        let halted = records.iter().filter(|record| matches!(record.event, Event::Halted(_))).count();
        let cut = records.iter().filter(|record| matches!(record.event, Event::Cut(_))).count();
        let ended = |end: End| asks.iter().filter(|ask| ask.end == end).count();
        let asked = records.iter().filter(|record| matches!(record.event, Event::Asked(_))).count();
        let coverage = BTreeMap::from([
            ("requests", asks.len()),
            ("served", ended(End::Served)),
            ("refused", ended(End::Refused)),
            ("failed", ended(End::Failed)),
            ("left", ended(End::Left)),
            ("unreached", ended(End::Unreached)),
            ("sent again", asks.iter().filter(|ask| ask.resent.is_some()).count()),
            ("attempts", asked),
            ("pipelined", pipelined),
            ("large writes in pipelines", large),
            ("unread behind a broken value", behind_broken),
            ("lost as the listener closed", as_it_closed),
            ("answers sent twice", repeated),
            ("values that stopped", halted),
            ("answers cut, of no length", cut),
            ("broken off at a client", ended(End::Broken)),
            ("system calls that failed", self.system_calls.injected()),
            ("lateness granted, ms", most_granted / 1000),
        ]);
        Verdict { violations: told, coverage }
    }
}

/// Clients that connect, send half a command or nothing, and stay.
fn crowd(listen: SocketAddr, size: usize) -> Vec<TcpStream> {
    let connect = |n: usize| {
        // One that is held up may have no room for more: the others' faults must not wait for it.
        let mut stream = TcpStream::connect_timeout(&listen, HELD_UP).ok()?;
        if n.is_multiple_of(2) {
            let _ = stream.write_all(b"*4\r\n$9\r\nCACHE.G"); // half a command
        }
        Some(stream)
    };
    (0..size).map_while(connect).collect()
}

/// Whether a new connection came as its node closed its listener, and got no answer: between the last look at the backlog and
/// the close. New connections come for 0.4 s after word to end at most, and the node takes them for 0.5 s.
fn came_as_the_listener_closed(ask: &Ask, told_to_end: &[Micros]) -> bool {
    let closing = |told: &Micros| {
        let since = ask.sent.saturating_sub(*told);
        (LAST_NEW..=LISTENER_CLOSES + HELD_UP.as_micros() as Micros + ask.late).contains(&since)
    };
    ask.end == End::Lost && ask.resent.is_none() && told_to_end.iter().any(closing)
}

/// A node that is held up acts that much later, which the operators grant.
fn allow_for_hold_ups(mut ask: Ask, held_up: &[(Micros, Micros)]) -> Ask {
    let met = |(begin, end): &&(Micros, Micros)| *begin <= ask.ended && ask.sent <= *end;
    let granted = held_up.iter().filter(met).map(|(begin, end)| end.saturating_sub(*begin)).max();
    ask.late += granted.unwrap_or(0);
    ask
}
