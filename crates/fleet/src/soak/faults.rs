//! What a seed does to the processes and to the servers, and when.

use std::time::Duration;

use rustix::process::Signal;

use super::{CACHES, FAULTS, HELD_UP, KILL, LONGEST, NODES};
use crate::fault::Faults;
use crate::script::{Script, Step, mixed_faults};

/// What is done to a node's process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Act {
    Signal(Signal),
    /// SIGKILL, for one that was told to end; none should be left.
    Kill,
    Start,
    /// Nothing: a step of the script is due.
    Look,
    /// Clients that connect, send half a command or nothing, and stay.
    Crowd(usize),
}

/// What is done to the processes: when, to which node, what.
pub(super) type Acts = Vec<(Duration, usize, Act)>;

/// A planned restart: SIGTERM in a series with itself and SIGHUP, the kill at its earliest, and the next process.
fn restart(rng: &mut fastrand::Rng, at: Duration, node: usize) -> Acts {
    let mut acts = vec![(at, node, Act::Signal(Signal::TERM))];
    for (signal, chance) in [(Signal::TERM, 0.5), (Signal::HUP, 0.5), (Signal::HUP, 0.3)] {
        if rng.f64() < chance {
            let before = Duration::from_millis(rng.u64(0..30));
            let after = Duration::from_millis(rng.u64(1..600));
            let when =
                if rng.bool() && signal == Signal::HUP { at.saturating_sub(before) } else { at + after };
            acts.push((when, node, Act::Signal(signal)));
        }
    }
    let killed = at + LONGEST + KILL;
    acts.extend([(killed, node, Act::Kill), (killed, node, Act::Start)]);
    acts
}

/// Draws what is done to the processes.
pub(super) fn acts(seed: u64) -> Acts {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x50ac);
    let mut acts = Acts::new();
    let mut order: Vec<usize> = (0..NODES).collect();
    rng.shuffle(&mut order);
    for &node in &order[..NODES / 3] {
        let at = Duration::from_millis(rng.u64(300..3000));
        acts.extend(restart(&mut rng, at, node));
        if rng.bool() {
            acts.extend(hold_up(node, at + Duration::from_millis(rng.u64(0..1500))));
        }
    }
    for &node in &order[NODES / 3..NODES * 2 / 3] {
        match rng.u8(0..3) {
            0 => acts.extend(hold_up(node, Duration::from_millis(rng.u64(300..5500)))),
            1 => {
                let at = Duration::from_millis(rng.u64(300..4000));
                let again = |n: u64| (at + Duration::from_millis(300 * n), node, Act::Signal(Signal::HUP));
                acts.extend((0..5).map(again));
            }
            _ => {}
        }
    }
    if seed.is_multiple_of(3) {
        acts.push((Duration::from_millis(500), order[0], Act::Crowd(150)));
        acts.push((Duration::from_millis(500), order[NODES - 1], Act::Crowd(150)));
    }
    acts.sort_by_key(|(at, node, act)| (*at, *node, *act == Act::Start));
    acts
}

fn hold_up(node: usize, at: Duration) -> Acts {
    vec![(at, node, Act::Signal(Signal::STOP)), (at + HELD_UP, node, Act::Signal(Signal::CONT))]
}

/// Draws the servers' faults: two scripts that overlap, and connections that come up late.
pub(super) fn script(seed: u64) -> Script {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5c71);
    let mut script = mixed_faults(seed, CACHES, FAULTS);
    let more = mixed_faults(seed ^ 0xfeed, CACHES, FAULTS);
    script.extend(more.into_iter().filter(|(_, step)| matches!(step, Step::Faults { .. })));
    for _ in 0..4 {
        let server = format!("box-{}", rng.usize(..CACHES));
        let at = Duration::from_millis(rng.u64(200..4500));
        let late = Faults { late: true, ..Faults::default() };
        script.push((at, Step::Faults { server: server.clone(), faults: late }));
        let after = at + Duration::from_millis(rng.u64(50..900));
        script.push((after, Step::Faults { server, faults: Faults::default() }));
    }
    script.extend(odd_answers(&mut rng));
    script.extend(at_the_end());
    script.sort_by_key(|(at, _)| *at);
    script
}

/// Answers that come twice or stop in the middle at some servers, and answers of no told length that break off.
fn odd_answers(rng: &mut fastrand::Rng) -> Script {
    let mut script = Script::new();
    let odd = [
        Faults { twice: 0.3, ..Faults::default() },
        Faults { halt: 0.2, ..Faults::default() },
        Faults { twice: 0.15, halt: 0.1, ..Faults::default() },
    ];
    for faults in odd {
        let server = format!("box-{}", rng.usize(..CACHES));
        let at = Duration::from_millis(rng.u64(100..3500));
        let after = at + Duration::from_millis(rng.u64(800..2000));
        script.push((at, Step::Faults { server: server.clone(), faults }));
        script.push((after, Step::Faults { server, faults: Faults::default() }));
    }
    let cut = Faults { cut: 0.2, ..Faults::default() };
    let at = FAULTS.mul_f64(0.5) + Duration::from_millis(rng.u64(50..1500));
    script.push((at, Step::Faults { server: "origin".into(), faults: cut }));
    script
}

/// While all nodes end: servers that hang, swallow requests, and fail what they held.
fn at_the_end() -> Script {
    let before = FAULTS - Duration::from_millis(150);
    let (fails, again) = (FAULTS + Duration::from_millis(350), FAULTS + Duration::from_millis(900));
    let stalled = Faults { stalled: true, ..Faults::default() };
    let failing = Faults { fail: 1.0, ..Faults::default() };
    let mut script = vec![(before, Step::Faults { server: "origin".into(), faults: stalled.clone() })];
    for n in 0..CACHES {
        let fault = |faults: &Faults| Step::Faults { server: format!("box-{n}"), faults: faults.clone() };
        let swallowing = Faults { swallow: 0.6, ..Faults::default() };
        script.push((before, fault(if n % 2 == 0 { &stalled } else { &swallowing })));
        script.push((fails, fault(&failing)));
        script.push((again, fault(&stalled)));
    }
    script
}
