//! A model checker explores all interleavings of starts, messages, deaths and stops of three processes. The shares in
//! use never exceed the total, and a process that is left alone gets everything that can be divided.

use lilacquay_handover::resource_split::{
    Action, DIVISIBLE, Event, HALF_SHARE, PredecessorState, RESERVE, ResourceSplit, TOTAL,
};
use stateright::{Checker, Model, Property};

const MAX_PROCESSES: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    alive: bool,
    /// Stopped by SIGSTOP: it neither reads nor writes, and keeps what it has in use.
    hung: bool,
    split: ResourceSplit,
    in_use: u32,
    /// Its predecessor and successor, as far as it knows.
    predecessor: Option<usize>,
    successor: Option<usize>,
    /// Messages in flight to it, in order.
    inbox: Vec<Message>,
    stopping: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Message {
    TakeoverRequest(usize),
    Wait,
    Accepted(usize),
    Grant(u32),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct World {
    processes: Vec<Process>,
    /// The process that listens on the socket for successors.
    listener: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Start,
    /// A process sends a request to the listener.
    Request(usize),
    /// It stops waiting for an answer.
    GiveUp(usize),
    Deliver(usize),
    /// Its use changes to this share.
    SetInUse(usize, u32),
    Stop(usize),
    Die(usize),
    Hang(usize),
    /// It detects that its predecessor or its successor has died.
    DetectPredecessorDeath(usize),
    DetectSuccessorDeath(usize),
}

struct RestartModel;

impl World {
    fn others_live(&self, n: usize) -> bool {
        self.processes.iter().enumerate().any(|(other, process)| other != n && process.alive)
    }

    fn notify(&mut self, at: usize, event: Event) {
        let actions = self.processes[at].split.on_event(event);
        for action in actions {
            let (to, message) = match (action, self.processes[at].successor) {
                (Action::Grant(total), Some(successor)) => (successor, Message::Grant(total)),
                _ => continue, // accepting and deferring are answered in `deliver`
            };
            self.processes[to].inbox.push(message);
        }
    }

    fn deliver(&mut self, at: usize) {
        let message = self.processes[at].inbox.remove(0);
        match message {
            Message::TakeoverRequest(successor) => {
                let actions = self.processes[at].split.on_event(Event::SuccessorRequests);
                for action in actions {
                    let message = match action {
                        Action::AcceptSuccessor => {
                            self.processes[at].successor = Some(successor);
                            Message::Accepted(at)
                        }
                        Action::DeferSuccessor => Message::Wait,
                        Action::Grant(total) => Message::Grant(total),
                    };
                    self.processes[successor].inbox.push(message);
                }
            }
            Message::Wait => {}
            Message::Accepted(predecessor) => {
                self.processes[at].predecessor = Some(predecessor);
                self.notify(at, Event::PredecessorAccepted);
            }
            Message::Grant(total) => self.notify(at, Event::Granted(total)),
        }
    }
}

impl Model for RestartModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::default()]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        // The platform starts one process at a time, once the one before it is in service.
        let ready = world.processes.iter().all(|p| !p.alive || p.split.limit() > 0);
        let unresponsive = world
            .processes
            .iter()
            .any(|p| p.alive && p.split.predecessor() == PredecessorState::Unresponsive);
        if world.processes.len() < MAX_PROCESSES && ready && !unresponsive {
            steps.push(Step::Start);
        }
        for (n, process) in world.processes.iter().enumerate().filter(|(_, p)| p.alive) {
            steps.push(Step::Die(n));
            if process.hung {
                continue;
            }
            match process.split.predecessor() {
                PredecessorState::Unknown if process.inbox.is_empty() => {
                    steps.extend([Step::Request(n), Step::GiveUp(n)])
                }
                // The state may still be arriving.
                PredecessorState::Unknown | PredecessorState::Granting(_) => steps.push(Step::GiveUp(n)),
                PredecessorState::Unresponsive | PredecessorState::Absent => {}
            }
            if !process.inbox.is_empty() {
                steps.push(Step::Deliver(n));
            }
            let limit = process.split.limit();
            for in_use in [0, limit / 2, limit] {
                if in_use != process.in_use && (in_use <= limit) {
                    steps.push(Step::SetInUse(n, in_use));
                }
            }
            if !process.stopping {
                steps.extend([Step::Stop(n), Step::Hang(n)]);
            }
            let dead = |other: Option<usize>| other.is_some_and(|other| !world.processes[other].alive);
            if dead(process.predecessor) {
                steps.push(Step::DetectPredecessorDeath(n));
            }
            if dead(process.successor) {
                steps.push(Step::DetectSuccessorDeath(n));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Start => {
                let (split, inbox) = Default::default();
                let (predecessor, successor) = (None, None);
                let process = Process {
                    alive: true,
                    hung: false,
                    split,
                    in_use: 0,
                    predecessor,
                    successor,
                    inbox,
                    stopping: false,
                };
                world.processes.push(process);
            }
            Step::Request(n) => match world.listener.filter(|&at| world.processes[at].alive) {
                Some(at) if at != n => world.processes[at].inbox.push(Message::TakeoverRequest(n)),
                // A missing listener does not prove that no other process lives; the lock held by every live process does.
                _ if world.others_live(n) => return None,
                _ => {
                    world.notify(n, Event::NoPredecessor);
                    world.listener = Some(n);
                }
            },
            // The listener has not answered, or has answered with a wait, for too long. Only one process can be in this
            // state, since the platform starts no second one.
            Step::GiveUp(n) => {
                let unresponsive =
                    |p: &Process| p.alive && p.split.predecessor() == PredecessorState::Unresponsive;
                if !world.others_live(n) || world.processes.iter().any(unresponsive) {
                    return None;
                }
                world.notify(n, Event::PredecessorUnresponsive);
            }
            Step::Deliver(n) => world.deliver(n),
            Step::SetInUse(n, in_use) => {
                world.processes[n].in_use = in_use;
                world.notify(n, Event::InUse(in_use));
            }
            Step::Stop(n) => {
                world.processes[n].stopping = true;
                world.notify(n, Event::Stop);
            }
            Step::Hang(n) => world.processes[n].hung = true,
            Step::Die(n) => {
                let process = &mut world.processes[n];
                (process.alive, process.in_use) = (false, 0);
                process.inbox.clear();
            }
            Step::DetectPredecessorDeath(n) => {
                world.processes[n].predecessor = None;
                world.notify(n, Event::NoPredecessor);
                world.listener = Some(n); // the socket belongs to the process without a predecessor
            }
            Step::DetectSuccessorDeath(n) => {
                world.processes[n].successor = None;
                world.notify(n, Event::SuccessorDied);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the shares never exceed the total", |_, world| {
                let alive = world.processes.iter().filter(|p| p.alive);
                alive.map(|p| p.split.limit().max(p.in_use)).sum::<u32>() <= TOTAL
            }),
            Property::<Self>::always(
                "a process that knows it is alone has everything divisible",
                |_, world| {
                    let mut alive = world.processes.iter().filter(|p| p.alive);
                    match (alive.next(), alive.next()) {
                        (Some(one), None)
                            if one.split.predecessor() == PredecessorState::Absent
                                && !one.split.has_successor() =>
                        {
                            one.split.limit() == DIVISIBLE
                        }
                        _ => true,
                    }
                },
            ),
            Property::<Self>::sometimes("two processes share evenly", |_, world| {
                let limits: Vec<u32> =
                    world.processes.iter().filter(|p| p.alive).map(|p| p.split.limit()).collect();
                limits == [HALF_SHARE, DIVISIBLE - HALF_SHARE]
            }),
            Property::<Self>::sometimes("the successor of a hung process has the reserve", |_, world| {
                world.processes.iter().any(|p| p.alive && p.split.limit() == RESERVE)
            }),
            Property::<Self>::sometimes(
                "the successor of a successor has everything divisible",
                |_, world| {
                    world.processes.len() == MAX_PROCESSES
                        && world.processes[MAX_PROCESSES - 1].alive
                        && world.processes[MAX_PROCESSES - 1].split.limit() == DIVISIBLE
                },
            ),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.processes.iter().all(|p| p.inbox.len() <= 3)
    }
}

#[test]
fn no_interleaving_of_starts_messages_deaths_and_stops_exceeds_the_total() {
    let checker = RestartModel.checker().threads(2).target_max_depth(14).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 50_000, "{}", checker.unique_state_count());
}
