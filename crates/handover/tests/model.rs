//! All orders of starts, words, deaths and stops of three processes, explored by a model checker: the parts never come
//! to more than the whole, and whoever is left alone comes to have all.

use lilacquay_handover::resource_split::{
    Action, DIVIDED, Event, HALF, PredecessorState, RESERVE, ResourceSplit, WHOLE,
};
use stateright::{Checker, Model, Property};

const MOST: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Process {
    alive: bool,
    /// It neither reads nor writes (SIGSTOP), and holds what it holds.
    hangs: bool,
    tie: ResourceSplit,
    holds: u32,
    /// Who is before it, as it believes, and behind it.
    elder: Option<usize>,
    heir: Option<usize>,
    /// Words on their way to it, in order.
    inbox: Vec<Word>,
    stopping: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Word {
    Asks(usize),
    Wait,
    Taken(usize),
    Grant(u32),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
struct World {
    processes: Vec<Process>,
    /// Who listens at the place where heirs ask.
    listens: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Start,
    /// A process asks whoever listens.
    Ask(usize),
    /// It waits no longer for an answer.
    GiveUp(usize),
    Read(usize),
    /// It takes or lets go so much that it holds this.
    Hold(usize, u32),
    Stop(usize),
    Die(usize),
    Hang(usize),
    /// It finds that its elder or its heir is dead.
    FindElder(usize),
    FindHeir(usize),
}

struct Fleet;

impl World {
    fn others_live(&self, n: usize) -> bool {
        self.processes.iter().enumerate().any(|(other, process)| other != n && process.alive)
    }

    fn tell(&mut self, at: usize, event: Event) {
        let actions = self.processes[at].tie.on_event(event);
        for action in actions {
            let (to, word) = match (action, self.processes[at].heir) {
                (Action::Grant(all), Some(heir)) => (heir, Word::Grant(all)),
                _ => continue, // to take or to wait is answered where it is asked
            };
            self.processes[to].inbox.push(word);
        }
    }

    fn read(&mut self, at: usize) {
        let word = self.processes[at].inbox.remove(0);
        match word {
            Word::Asks(heir) => {
                let actions = self.processes[at].tie.on_event(Event::SuccessorRequests);
                for action in actions {
                    let word = match action {
                        Action::AcceptSuccessor => {
                            self.processes[at].heir = Some(heir);
                            Word::Taken(at)
                        }
                        Action::DeferSuccessor => Word::Wait,
                        Action::Grant(all) => Word::Grant(all),
                    };
                    self.processes[heir].inbox.push(word);
                }
            }
            Word::Wait => {}
            Word::Taken(elder) => {
                self.processes[at].elder = Some(elder);
                self.tell(at, Event::PredecessorAccepted);
            }
            Word::Grant(all) => self.tell(at, Event::Granted(all)),
        }
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::default()]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        // The platform starts another once the one before is in service, and one at a time.
        let ready = world.processes.iter().all(|p| !p.alive || p.tie.limit() > 0);
        let untied =
            world.processes.iter().any(|p| p.alive && p.tie.predecessor() == PredecessorState::Unresponsive);
        if world.processes.len() < MOST && ready && !untied {
            steps.push(Step::Start);
        }
        for (n, process) in world.processes.iter().enumerate().filter(|(_, p)| p.alive) {
            steps.push(Step::Die(n));
            if process.hangs {
                continue;
            }
            match process.tie.predecessor() {
                PredecessorState::Unknown if process.inbox.is_empty() => {
                    steps.extend([Step::Ask(n), Step::GiveUp(n)])
                }
                PredecessorState::Unknown | PredecessorState::Granting(_) => steps.push(Step::GiveUp(n)), // in the midst of what is told
                PredecessorState::Unresponsive | PredecessorState::Absent => {}
            }
            if !process.inbox.is_empty() {
                steps.push(Step::Read(n));
            }
            let limit = process.tie.limit();
            for holds in [0, limit / 2, limit] {
                if holds != process.holds && (holds <= limit) {
                    steps.push(Step::Hold(n, holds));
                }
            }
            if !process.stopping {
                steps.extend([Step::Stop(n), Step::Hang(n)]);
            }
            let dead = |other: Option<usize>| other.is_some_and(|other| !world.processes[other].alive);
            if dead(process.elder) {
                steps.push(Step::FindElder(n));
            }
            if dead(process.heir) {
                steps.push(Step::FindHeir(n));
            }
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::Start => {
                let (tie, inbox) = Default::default();
                let (elder, heir) = (None, None);
                let process =
                    Process { alive: true, hangs: false, tie, holds: 0, elder, heir, inbox, stopping: false };
                world.processes.push(process);
            }
            Step::Ask(n) => match world.listens.filter(|&at| world.processes[at].alive) {
                Some(at) if at != n => world.processes[at].inbox.push(Word::Asks(n)),
                // Nobody listens, which is no proof: the lock that all who live hold is.
                _ if world.others_live(n) => return None,
                _ => {
                    world.tell(n, Event::NoPredecessor);
                    world.listens = Some(n);
                }
            },
            // Whoever listens says nothing, or to wait, for too long. One at a time: the platform starts no second.
            Step::GiveUp(n) => {
                let untied = |p: &Process| p.alive && p.tie.predecessor() == PredecessorState::Unresponsive;
                if !world.others_live(n) || world.processes.iter().any(untied) {
                    return None;
                }
                world.tell(n, Event::PredecessorUnresponsive);
            }
            Step::Read(n) => world.read(n),
            Step::Hold(n, holds) => {
                world.processes[n].holds = holds;
                world.tell(n, Event::InUse(holds));
            }
            Step::Stop(n) => {
                world.processes[n].stopping = true;
                world.tell(n, Event::Stop);
            }
            Step::Hang(n) => world.processes[n].hangs = true,
            Step::Die(n) => {
                let process = &mut world.processes[n];
                (process.alive, process.holds) = (false, 0);
                process.inbox.clear();
            }
            Step::FindElder(n) => {
                world.processes[n].elder = None;
                world.tell(n, Event::NoPredecessor);
                world.listens = Some(n); // the place is of the one that has no elder
            }
            Step::FindHeir(n) => {
                world.processes[n].heir = None;
                world.tell(n, Event::SuccessorDied);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::<Self>::always("the parts never come to more than the whole", |_, world| {
                let parts = world.processes.iter().filter(|p| p.alive);
                parts.map(|p| p.tie.limit().max(p.holds)).sum::<u32>() <= WHOLE
            }),
            Property::<Self>::always("one that is alone and knows it has all", |_, world| {
                let mut alive = world.processes.iter().filter(|p| p.alive);
                match (alive.next(), alive.next()) {
                    (Some(one), None)
                        if one.tie.predecessor() == PredecessorState::Absent && !one.tie.has_successor() =>
                    {
                        one.tie.limit() == DIVIDED
                    }
                    _ => true,
                }
            }),
            Property::<Self>::sometimes("two share evenly", |_, world| {
                let limits: Vec<u32> =
                    world.processes.iter().filter(|p| p.alive).map(|p| p.tie.limit()).collect();
                limits == [HALF, DIVIDED - HALF]
            }),
            Property::<Self>::sometimes("an heir of one that hangs has the reserve", |_, world| {
                world.processes.iter().any(|p| p.alive && p.tie.limit() == RESERVE)
            }),
            Property::<Self>::sometimes("an heir of an heir has all", |_, world| {
                world.processes.len() == MOST
                    && world.processes[MOST - 1].alive
                    && world.processes[MOST - 1].tie.limit() == DIVIDED
            }),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.processes.iter().all(|p| p.inbox.len() <= 3)
    }
}

#[test]
fn no_order_of_starts_words_deaths_and_stops_uses_more_than_there_is() {
    let checker = Fleet.checker().threads(2).target_max_depth(14).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 50_000, "{}", checker.unique_state_count());
}
