//! What the driver is told, and by whom.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lilacquay_observe::{CommonNow, Snapshot};
use lilacquay_overrides::{AppliedOrder, OrderRequest, Refusal, SharedOrder};
use paddlefold::{Learned, RequestId};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::call::{Answer, Call};
use crate::list::List;
use crate::overrides::{Holding, ServerNow};

/// What the driver is told from outside.
///
/// The channel has no bound of its own: sessions, of which there are only so many, each have few messages
/// under way.
pub(crate) enum Message {
    Arrived(Arrival),
    Gone(RequestId),
    List(List, &'static str, Option<u64>),
    HandOver(oneshot::Sender<Heritage>),
    ListFailed,
    Quotas(Box<Admission>),
    Steer(Box<OrderRequest>, oneshot::Sender<Result<AppliedOrder, Refusal>>),
    Holding(oneshot::Sender<Holding>),
    Servers(oneshot::Sender<Vec<ServerNow>>),
    Watch(bool),
    Look(oneshot::Sender<Snapshot>),
    EndAt(Instant),
    Fellows(Fellows),
    InCommon(InCommon),
    Sights(oneshot::Sender<BTreeMap<String, f64>>),
}

/// What the nodes hold in common, as far as a core goes by it.
#[derive(Debug, Clone, PartialEq)]
pub enum InCommon {
    /// Operators' orders; `whole` if these are all.
    Orders {
        /// Whether one that is missing was lifted.
        whole: bool,
        /// By server.
        orders: Vec<SharedOrder>,
    },
    /// Servers that other nodes' lists have taken away.
    Hearsay(BTreeSet<String>),
    /// How much slower than others servers are, as other nodes have seen them.
    Believed(BTreeMap<String, f64>),
    /// How much of it there is, for whoever looks.
    Seen(CommonNow),
}

/// A list that the node's own source has told, for whoever tells other nodes.
#[derive(Debug, Clone)]
pub struct ListTold {
    /// The list, or what has changed in it.
    pub list: List,
    /// Its version, where its source has one.
    pub version: Option<u64>,
}

/// What a node may use of what all nodes share, and who they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fellows {
    /// How much of its equal part, in thousandths.
    pub thousandths: u32,
    /// It holds until then.
    pub until: Instant,
    /// Others that are here, gone, and not known.
    pub numbers: [usize; 3],
}

impl Fellows {
    /// Nodes that may be using something, this one included.
    pub fn nodes(&self) -> usize {
        1 + self.numbers[0] + self.numbers[2]
    }
}

/// A client's request.
pub(crate) struct Arrival {
    pub id: RequestId,
    pub call: Arc<Call>,
    /// When its last byte was read.
    pub at: Instant,
    pub answer: oneshot::Sender<Answer>,
}

/// What one process hands to the next.
#[derive(Debug, Clone)]
pub struct Heritage {
    /// The version of the list, where its source has one.
    pub version: Option<u64>,
    /// The whole list.
    pub list: List,
    /// What the module has learned.
    pub learned: Learned,
}

/// By which a running core is told what changes.
#[derive(Clone)]
pub struct Orders(pub(crate) UnboundedSender<Message>);

impl Orders {
    /// The process ends then: all that is owed is answered a little before, and nothing more is taken.
    pub fn end_at(&self, at: Instant) {
        let _ = self.0.send(Message::EndAt(at)); // a core that has ended owes nothing
    }

    /// Asks something of the core. Its end shows at the receiver.
    fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> oneshot::Receiver<T> {
        let (answer, told) = oneshot::channel();
        let _ = self.0.send(message(answer)); // a core that has ended drops the sender
        told
    }

    /// Goes by other quotas from now on. A core that was made without keeps none.
    pub fn quotas(&self, quotas: Admission) {
        let _ = self.0.send(Message::Quotas(Box::new(quotas))); // nobody goes by them once the core has ended
    }

    /// Gives an operator's order on a server; the answer tells whether it is obeyed. A core that was made without
    /// steering, or has ended, answers nothing.
    pub fn steer(&self, ask: OrderRequest) -> oneshot::Receiver<Result<AppliedOrder, Refusal>> {
        self.ask(|answer| Message::Steer(Box::new(ask), answer))
    }

    /// The servers of the list and what is out at each. A core that was made without steering, or has ended,
    /// answers nothing.
    pub fn servers(&self) -> oneshot::Receiver<Vec<ServerNow>> {
        self.ask(Message::Servers)
    }

    /// The node at this moment. A core that has ended answers nothing.
    pub fn look(&self) -> oneshot::Receiver<Snapshot> {
        self.ask(Message::Look)
    }

    /// Tells who is there, and what this node may use.
    pub fn fellows(&self, fellows: Fellows) {
        let _ = self.0.send(Message::Fellows(fellows)); // nobody goes by them once the core has ended
    }

    /// Goes by what the nodes hold in common. A core that was made without steering goes by none of it.
    pub fn in_common(&self, what: InCommon) {
        let _ = self.0.send(Message::InCommon(what)); // nobody goes by it once the core has ended
    }

    /// How much slower than others this node has seen servers to be by its own requests, by name; those that answer
    /// nothing count as the slowest. A core that has ended answers nothing.
    pub fn sights(&self) -> oneshot::Receiver<BTreeMap<String, f64>> {
        self.ask(Message::Sights)
    }

    /// Has figures gathered until this is dropped.
    pub fn watch(&self) -> Watching {
        let _ = self.0.send(Message::Watch(true)); // nobody is watched once the core has ended
        Watching(self.0.clone())
    }

    /// What another process needs to go on in this one's place. A core that has ended answers nothing.
    pub fn hand_over(&self) -> oneshot::Receiver<Heritage> {
        self.ask(Message::HandOver)
    }

    /// The orders that hold. A core that was made without steering, or has ended, answers nothing.
    pub fn holding(&self) -> oneshot::Receiver<Holding> {
        self.ask(Message::Holding)
    }
}

/// Somebody who watches; see [`Orders::watch`].
pub struct Watching(UnboundedSender<Message>);

impl Drop for Watching {
    fn drop(&mut self) {
        let _ = self.0.send(Message::Watch(false)); // nobody is watched once the core has ended
    }
}
