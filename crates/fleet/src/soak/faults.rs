//! Draws the faults of a seed: actions on the node processes and a script of server faults, each with its time from the
//! start of the run.

use std::time::Duration;

use rustix::process::Signal;

use super::{CACHE_SERVERS, FAULT_PERIOD, KILL_DELAY, MAX_DEADLINE, MAX_PAUSE, NODES};
use crate::fault::Faults;
use crate::script::{Script, Step, mixed_faults};

/// An action on a node's process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum ProcessAction {
    Signal(Signal),
    /// SIGKILL after an earlier SIGTERM; the process should have exited already.
    Kill,
    /// Starts the next process.
    Start,
    /// Does nothing to the process, but lets the step of the server script that is due now run.
    AdvanceScript,
    /// Opens this many connections that send half a command or nothing and stay open.
    OpenIdleConnections(usize),
}

/// Actions with their times and nodes.
pub(super) type ProcessActions = Vec<(Duration, usize, ProcessAction)>;

/// When the platform may kill a node that it has told to end, at the earliest.
const EARLIEST_KILL: Duration = MAX_DEADLINE.saturating_add(KILL_DELAY);
/// When the last process that replaces another has started: before all nodes are told to end.
const LAST_RESTART: Duration = FAULT_PERIOD.saturating_sub(Duration::from_millis(300));
/// The longest time for which the platform may wait beyond the earliest kill, in milliseconds.
const MAX_KILL_LATENESS_MS: u64 = 2500;

/// A planned restart whose node is killed later than at the earliest time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LateKill {
    pub node: usize,
    pub sigterm_at: Duration,
}

/// The restarts among the actions whose node is killed at least 0.3 s later than at the earliest time.
pub(super) fn late_kills(actions: &ProcessActions) -> Vec<LateKill> {
    let kills = actions.iter().filter(|(_, _, action)| *action == ProcessAction::Kill);
    let late_kill = |(killed_at, node, _): &(Duration, usize, ProcessAction)| {
        let term = (*node, ProcessAction::Signal(Signal::TERM));
        let (sigterm_at, ..) = actions.iter().find(|(_, node, action)| (*node, *action) == term)?;
        let is_late = *killed_at >= *sigterm_at + EARLIEST_KILL + Duration::from_millis(300);
        is_late.then_some(LateKill { node: *node, sigterm_at: *sigterm_at })
    };
    kills.filter_map(late_kill).collect()
}

/// A planned restart: SIGTERM, perhaps repeated and with SIGHUP before or after it; then SIGKILL, at the earliest time at which
/// the platform sends it or later, and the start of the next process.
fn restart(rng: &mut fastrand::Rng, at: Duration, node: usize) -> ProcessActions {
    let mut actions = vec![(at, node, ProcessAction::Signal(Signal::TERM))];
    for (signal, chance) in [(Signal::TERM, 0.5), (Signal::HUP, 0.5), (Signal::HUP, 0.3)] {
        if rng.f64() < chance {
            let before = Duration::from_millis(rng.u64(0..30));
            let after = Duration::from_millis(rng.u64(1..600));
            let when =
                if rng.bool() && signal == Signal::HUP { at.saturating_sub(before) } else { at + after };
            actions.push((when, node, ProcessAction::Signal(signal)));
        }
    }
    let lateness = if rng.bool() { rng.u64(0..MAX_KILL_LATENESS_MS) } else { 0 };
    let earliest = at + EARLIEST_KILL;
    let killed_at = (earliest + Duration::from_millis(lateness)).min(LAST_RESTART.max(earliest));
    actions.extend([(killed_at, node, ProcessAction::Kill), (killed_at, node, ProcessAction::Start)]);
    actions
}

/// Draws the actions on the processes.
pub(super) fn process_actions(seed: u64) -> ProcessActions {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x50ac);
    let mut actions = ProcessActions::new();
    let mut shuffled: Vec<usize> = (0..NODES).collect();
    rng.shuffle(&mut shuffled);
    for &node in &shuffled[..NODES / 3] {
        let at = Duration::from_millis(rng.u64(300..3000));
        actions.extend(restart(&mut rng, at, node));
        if rng.bool() {
            actions.extend(pause(node, at + Duration::from_millis(rng.u64(0..1500))));
        }
    }
    for &node in &shuffled[NODES / 3..NODES * 2 / 3] {
        match rng.u8(0..3) {
            0 => actions.extend(pause(node, Duration::from_millis(rng.u64(300..5500)))),
            1 => {
                let at = Duration::from_millis(rng.u64(300..4000));
                let reload =
                    |n: u64| (at + Duration::from_millis(300 * n), node, ProcessAction::Signal(Signal::HUP));
                actions.extend((0..5).map(reload));
            }
            _ => {}
        }
    }
    if seed.is_multiple_of(3) {
        actions.push((Duration::from_millis(500), shuffled[0], ProcessAction::OpenIdleConnections(150)));
        actions.push((
            Duration::from_millis(500),
            shuffled[NODES - 1],
            ProcessAction::OpenIdleConnections(150),
        ));
    }
    actions.sort_by_key(|(at, node, action)| (*at, *node, *action == ProcessAction::Start));
    actions
}

/// A pause of a node (SIGSTOP to SIGCONT), as long as the invariants must tolerate.
fn pause(node: usize, at: Duration) -> ProcessActions {
    vec![
        (at, node, ProcessAction::Signal(Signal::STOP)),
        (at + MAX_PAUSE, node, ProcessAction::Signal(Signal::CONT)),
    ]
}

/// Draws the server faults: two scripts that overlap, connections that are established late, duplicate and truncated answers,
/// and faults while the nodes end.
pub(super) fn server_script(seed: u64) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5c71);
    let mut script = mixed_faults(seed, CACHE_SERVERS, FAULT_PERIOD);
    let more = mixed_faults(seed ^ 0xfeed, CACHE_SERVERS, FAULT_PERIOD);
    script.extend(more.into_iter().filter(|(_, step)| matches!(step, Step::Faults { .. })));
    for _ in 0..4 {
        let server = format!("box-{}", rng.usize(..CACHE_SERVERS));
        let at = Duration::from_millis(rng.u64(200..4500));
        let late = Faults { late: true, ..Faults::default() };
        script.push((at, Step::Faults { server: server.clone(), faults: late }));
        let after = at + Duration::from_millis(rng.u64(50..900));
        script.push((after, Step::Faults { server, faults: Faults::default() }));
    }
    script.extend(duplicate_and_truncated_answers(&mut rng));
    script.extend(paused_answers());
    script.extend(faults_during_shutdown());
    script.sort_by_key(|(at, _)| *at);
    script
}

/// At every second server, large values with pauses, for as long as other faults are drawn.
fn paused_answers() -> Script {
    let paused = Faults { pause: 0.5, ..Faults::default() };
    let servers = (0..CACHE_SERVERS).step_by(2);
    let steps = servers.flat_map(|n| {
        [Duration::from_millis(250), Duration::from_millis(900), Duration::from_millis(1700)]
            .map(|at| (at, Step::Faults { server: format!("box-{n}"), faults: paused.clone() }))
    });
    steps.collect()
}

/// At some servers, answers that are sent twice or stop in the middle; at the origin, answers of undeclared length that are
/// truncated.
fn duplicate_and_truncated_answers(rng: &mut fastrand::Rng) -> Script {
    let mut script = Script::new();
    let box_faults = [
        Faults { twice: 0.3, ..Faults::default() },
        Faults { halt: 0.2, ..Faults::default() },
        Faults { twice: 0.15, halt: 0.1, ..Faults::default() },
    ];
    for faults in box_faults {
        let server = format!("box-{}", rng.usize(..CACHE_SERVERS));
        let at = Duration::from_millis(rng.u64(100..3500));
        let after = at + Duration::from_millis(rng.u64(800..2000));
        script.push((at, Step::Faults { server: server.clone(), faults }));
        script.push((after, Step::Faults { server, faults: Faults::default() }));
    }
    let cut = Faults { cut: 0.2, ..Faults::default() };
    let at = FAULT_PERIOD.mul_f64(0.5) + Duration::from_millis(rng.u64(50..1500));
    script.push((at, Step::Faults { server: "origin".into(), faults: cut }));
    script
}

/// Faults while all nodes end: servers hang or leave requests unanswered, and later fail the requests that they held.
fn faults_during_shutdown() -> Script {
    let before = FAULT_PERIOD - Duration::from_millis(150);
    let (failing_at, stalled_again_at) =
        (FAULT_PERIOD + Duration::from_millis(350), FAULT_PERIOD + Duration::from_millis(900));
    let stalled = Faults { stalled: true, ..Faults::default() };
    let failing = Faults { fail: 1.0, ..Faults::default() };
    let mut script = vec![(before, Step::Faults { server: "origin".into(), faults: stalled.clone() })];
    for n in 0..CACHE_SERVERS {
        let fault = |faults: &Faults| Step::Faults { server: format!("box-{n}"), faults: faults.clone() };
        let swallowing = Faults { swallow: 0.6, ..Faults::default() };
        script.push((before, fault(if n % 2 == 0 { &stalled } else { &swallowing })));
        script.push((failing_at, fault(&failing)));
        script.push((stalled_again_at, fault(&stalled)));
    }
    script
}
