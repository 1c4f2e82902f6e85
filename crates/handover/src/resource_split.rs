//! Splits the resources shared by the processes of one node (descriptors and memory) among them, in thousandths.
//!
//! Each process holds a [`ResourceSplit`] and feeds it events: its start, the predecessor's answers, grants and death,
//! the successor's request and death, and its own stop. The split yields the process's own limit
//! ([`ResourceSplit::limit`]) and the grants for its successor ([`Action::Grant`]). Three rules keep the shares from
//! exceeding the total:
//!
//! 1. A share is granted only after it has been released: the predecessor lowers its own limit first, and grants only
//!    what it is no longer allowed to use and no longer has in use.
//! 2. A share returns only when its holder has died. A closed connection does not prove that; the I/O layer checks the
//!    process itself.
//! 3. [`RESERVE`] is never granted. It serves one process whose predecessor does not answer but may be alive.
//!
//! A process with a living predecessor accepts no successor: a third process waits with a limit of 0.

/// All shared resources.
pub const TOTAL: u32 = 1000;
/// Reserved for a process whose predecessor does not answer.
pub const RESERVE: u32 = 125;
/// What may be divided between two processes.
pub const DIVISIBLE: u32 = TOTAL - RESERVE;
/// Share of each process while two are serving.
pub const HALF_SHARE: u32 = DIVISIBLE / 2;
/// Headroom that a stopping process keeps above its current use, for requests accepted and not yet answered.
const STOPPING_HEADROOM: u32 = 60;

/// What a process knows of its predecessor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PredecessorState {
    /// Not known yet, or it told this process to wait: the limit is 0.
    Unknown,
    /// There may be a predecessor, but it does not answer.
    Unresponsive,
    /// It is alive and has granted this share.
    Granting(u32),
    /// There is no predecessor.
    Absent,
}

/// An input of [`ResourceSplit::on_event`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Event {
    /// There was no predecessor, or it has died.
    NoPredecessor,
    /// A predecessor exists but does not answer, no longer answers, or sends what can't be decoded.
    PredecessorUnresponsive,
    /// The predecessor has accepted this process as its successor.
    PredecessorAccepted,
    /// The predecessor grants this total share.
    Granted(u32),
    /// A process asks to be accepted as the successor.
    SuccessorRequests,
    /// The successor has died.
    SuccessorDied,
    /// The share that this process has in use now.
    InUse(u32),
    /// This process has been told to stop.
    Stop,
}

/// An output of [`ResourceSplit::on_event`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Action {
    /// Accept the requesting successor and send it the state.
    AcceptSuccessor,
    /// Tell the requesting successor to wait and ask again.
    DeferSuccessor,
    /// Send the successor its total share.
    Grant(u32),
}

/// The resource split as one process sees it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ResourceSplit {
    predecessor: PredecessorState,
    /// Share granted to the successor; `None` without a successor.
    granted_to_successor: Option<u32>,
    in_use: u32,
    stopping: bool,
}

impl Default for ResourceSplit {
    fn default() -> Self {
        ResourceSplit::new()
    }
}

impl ResourceSplit {
    /// The state of a process that has just started.
    pub fn new() -> ResourceSplit {
        ResourceSplit {
            predecessor: PredecessorState::Unknown,
            granted_to_successor: None,
            in_use: 0,
            stopping: false,
        }
    }

    /// What is known of the predecessor.
    pub fn predecessor(&self) -> PredecessorState {
        self.predecessor
    }

    /// Whether a successor has been accepted and is not known to be dead.
    pub fn has_successor(&self) -> bool {
        self.granted_to_successor.is_some()
    }

    /// Whether another process of the node is known to be alive, so that either of the two may accept a new connection.
    pub fn has_live_peer(&self) -> bool {
        self.has_successor() || matches!(self.predecessor, PredecessorState::Granting(_))
    }

    /// What this process may use, in thousandths. Its use may stay above the limit for a while after the limit drops.
    pub fn limit(&self) -> u32 {
        match (self.predecessor, self.granted_to_successor) {
            (PredecessorState::Unknown, _) => 0,
            (PredecessorState::Unresponsive, _) => RESERVE,
            (PredecessorState::Granting(granted), _) => granted,
            (PredecessorState::Absent, None) => DIVISIBLE,
            (PredecessorState::Absent, Some(granted)) if self.stopping => DIVISIBLE - granted,
            (PredecessorState::Absent, Some(granted)) => (DIVISIBLE - granted).min(HALF_SHARE),
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn on_event(&mut self, event: Event) -> Vec<Action> {
        match event {
            Event::NoPredecessor => self.predecessor = PredecessorState::Absent,
            // A grant of at least the reserve stays in force.
            Event::PredecessorUnresponsive
                if !matches!(
                    self.predecessor,
                    PredecessorState::Granting(RESERVE..) | PredecessorState::Absent
                ) =>
            {
                self.predecessor = PredecessorState::Unresponsive;
            }
            Event::PredecessorAccepted
                if matches!(self.predecessor, PredecessorState::Unknown | PredecessorState::Unresponsive) =>
            {
                self.predecessor = PredecessorState::Granting(0)
            }
            // Each grant is a total that includes the earlier ones.
            Event::Granted(total) => {
                if let PredecessorState::Granting(granted) = &mut self.predecessor {
                    *granted = (*granted).max(total.min(DIVISIBLE));
                }
            }
            Event::SuccessorRequests => {
                if self.predecessor != PredecessorState::Absent || self.granted_to_successor.is_some() {
                    return vec![Action::DeferSuccessor];
                }
                self.granted_to_successor = Some(0);
                return std::iter::once(Action::AcceptSuccessor).chain(self.grant_released()).collect();
            }
            Event::SuccessorDied => self.granted_to_successor = None,
            Event::InUse(in_use) => self.in_use = in_use.min(TOTAL),
            Event::Stop => self.stopping = true,
            Event::PredecessorUnresponsive | Event::PredecessorAccepted => {}
        }
        self.grant_released().into_iter().collect()
    }

    /// Grants the successor what this process has released.
    fn grant_released(&mut self) -> Option<Action> {
        let granted = self.granted_to_successor?;
        let retained = match self.stopping {
            true => self.in_use + STOPPING_HEADROOM,
            false => self.in_use.max(HALF_SHARE),
        };
        let total = DIVISIBLE.saturating_sub(retained).max(granted);
        self.granted_to_successor = Some(total);
        (total > granted).then_some(Action::Grant(total))
    }
}
