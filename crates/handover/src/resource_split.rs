//! Who may use which part of what the processes of one node share: descriptors and memory, in thousandths.
//!
//! Each process holds a [`Tie`] and is told what happens: it comes up, its elder answers, grants or dies, an heir
//! comes or dies, it is to stop. It tells what it may use ([`Tie::limit`]) and what it grants its heir
//! ([`Action::Grant`]). That the parts never come to more than the whole rests on three rules:
//!
//! 1. A part is granted only once it is let go: the elder lowers its own limit first, and grants what it neither may
//!    use any more nor still holds.
//! 2. A part comes back only from the dead. The end of a connection is no proof; whoever does the I/O looks at the
//!    process.
//! 3. [`RESERVE`] is never granted. It is for one process whose elder does not answer and may be alive.
//!
//! A process that is tied to a living elder takes no heir: a third one waits, with nothing.

/// All there is.
pub const WHOLE: u32 = 1000;
/// Kept for one whose elder does not answer.
pub const RESERVE: u32 = 125;
/// What is divided.
pub const DIVIDED: u32 = WHOLE - RESERVE;
/// What each of two has while both serve.
pub const HALF: u32 = DIVIDED / 2;
/// Who stops keeps this room above what it holds, for what it has taken and not yet answered.
const HEADROOM: u32 = 60;

/// How a process stands to the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PredecessorState {
    /// Not known yet, or told to wait: it uses nothing.
    Unknown,
    /// There may be one that does not answer.
    Unresponsive,
    /// It is alive and grants so much.
    Granting(u32),
    /// There is none.
    Absent,
}

/// What happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// No process was there before, or none is left.
    NoPredecessor,
    /// A process is there, and does not answer or can't be understood, or no longer.
    PredecessorUnresponsive,
    /// The elder has taken this one for its heir.
    PredecessorAccepted,
    /// The elder grants so much in all.
    Granted(u32),
    /// An heir asks to be taken.
    SuccessorRequests,
    /// The heir is dead.
    SuccessorDied,
    /// What this process holds at the moment.
    InUse(u32),
    /// This process is to stop.
    Stop,
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Take the heir that asks, and tell it what there is to tell.
    AcceptSuccessor,
    /// Tell the heir that asks to wait and ask again.
    DeferSuccessor,
    /// Tell the heir what it may use in all.
    Grant(u32),
}

/// A process's part.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ResourceSplit {
    above: PredecessorState,
    /// What the heir was granted; none without one.
    given: Option<u32>,
    holds: u32,
    stopping: bool,
}

impl Default for ResourceSplit {
    fn default() -> Self {
        ResourceSplit::new()
    }
}

impl ResourceSplit {
    /// Of a process that has just started.
    pub fn new() -> ResourceSplit {
        ResourceSplit { above: PredecessorState::Unknown, given: None, holds: 0, stopping: false }
    }

    /// How it stands to the one before it.
    pub fn predecessor(&self) -> PredecessorState {
        self.above
    }

    /// Whether it has an heir.
    pub fn has_successor(&self) -> bool {
        self.given.is_some()
    }

    /// Whether another process of the node is alive and known to this one: each of the two may take who comes.
    pub fn has_live_peer(&self) -> bool {
        self.has_successor() || matches!(self.above, PredecessorState::Granting(_))
    }

    /// What this process may use, in thousandths. It may hold more for a while after its limit has fallen.
    pub fn limit(&self) -> u32 {
        match (self.above, self.given) {
            (PredecessorState::Unknown, _) => 0,
            (PredecessorState::Unresponsive, _) => RESERVE,
            (PredecessorState::Granting(granted), _) => granted,
            (PredecessorState::Absent, None) => DIVIDED,
            (PredecessorState::Absent, Some(given)) if self.stopping => DIVIDED - given,
            (PredecessorState::Absent, Some(given)) => (DIVIDED - given).min(HALF),
        }
    }

    /// Tells what happens; tells what is to be done.
    pub fn on_event(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::NoPredecessor => self.above = PredecessorState::Absent,
            // What was granted stays so, if it is more than what is kept for this.
            Event::PredecessorUnresponsive
                if !matches!(
                    self.above,
                    PredecessorState::Granting(RESERVE..) | PredecessorState::Absent
                ) =>
            {
                self.above = PredecessorState::Unresponsive;
            }
            Event::PredecessorAccepted
                if matches!(self.above, PredecessorState::Unknown | PredecessorState::Unresponsive) =>
            {
                self.above = PredecessorState::Granting(0)
            }
            // What was granted before a later grant came is part of that.
            Event::Granted(all) => {
                if let PredecessorState::Granting(granted) = &mut self.above {
                    *granted = (*granted).max(all.min(DIVIDED));
                }
            }
            Event::SuccessorRequests => {
                if self.above != PredecessorState::Absent || self.given.is_some() {
                    return vec![Action::DeferSuccessor];
                }
                self.given = Some(0);
                return std::iter::once(Action::AcceptSuccessor).chain(self.grant()).collect();
            }
            Event::SuccessorDied => self.given = None,
            Event::InUse(holds) => self.holds = holds.min(WHOLE),
            Event::Stop => self.stopping = true,
            Event::PredecessorUnresponsive | Event::PredecessorAccepted => {}
        }
        self.grant().into_iter().collect()
    }

    /// Grants what has been let go.
    fn grant(&mut self) -> Option<Action> {
        let given = self.given?;
        let kept = match self.stopping {
            true => self.holds + HEADROOM,
            false => self.holds.max(HALF),
        };
        let free = DIVIDED.saturating_sub(kept).max(given);
        self.given = Some(free);
        (free > given).then_some(Action::Grant(free))
    }
}
