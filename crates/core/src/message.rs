//! What the driver is told, and by whom.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lilacquay_observe::{CommonNow, Snapshot};
use lilacquay_overrides::{Ask, Common, Done, Refusal};
use paddlefold::{Learned, RequestId};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::call::{Answer, Call};
use crate::list::ServerList;
use crate::overrides::{OrdersInForce, ServerStatus};

/// What the driver is told from outside.
///
/// The channel has no bound of its own: sessions, of which there are only so many, each have few messages
/// under way.
pub(crate) enum Message {
    Arrived(Arrival),
    Gone(RequestId),
    List(ServerList, &'static str, Option<u64>),
    HandOver(oneshot::Sender<HandoverState>),
    ListFailed,
    Quotas(Box<Admission>),
    Steer(Box<Ask>, oneshot::Sender<Result<Done, Refusal>>),
    OrdersInForce(oneshot::Sender<OrdersInForce>),
    Servers(oneshot::Sender<Vec<ServerStatus>>),
    Observe(bool),
    Look(oneshot::Sender<Snapshot>),
    EndAt(Instant),
    PeerStatus(PeerStatus),
    Replicated(ReplicatedUpdate),
    Sights(oneshot::Sender<BTreeMap<String, f64>>),
}

/// What the nodes hold in common, as far as a core goes by it.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicatedUpdate {
    /// Operators' orders; `whole` if these are all.
    Orders {
        /// Whether one that is missing was lifted.
        complete: bool,
        /// By server.
        orders: Vec<Common>,
    },
    /// Servers that other nodes' lists have taken away.
    RemovedByPeers(BTreeSet<String>),
    /// How much slower than others servers are, as other nodes have seen them.
    PeerSlowness(BTreeMap<String, f64>),
    /// How much of it there is, for whoever looks.
    Statistics(CommonNow),
}

/// A list that the node's own source has told, for whoever tells other nodes.
#[derive(Debug, Clone)]
pub struct ListUpdate {
    /// The list, or what has changed in it.
    pub list: ServerList,
    /// Its version, where its source has one.
    pub version: Option<u64>,
}

/// What a node may use of what all nodes share, and who they are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// How much of its equal part, in thousandths.
    pub share_thousandths: u32,
    /// It holds until then.
    pub valid_until: Instant,
    /// Others that are here, gone, and not known.
    pub peer_counts: [usize; 3],
}

impl PeerStatus {
    /// Nodes that may be using something, this one included.
    pub fn node_count(&self) -> usize {
        1 + self.peer_counts[0] + self.peer_counts[2]
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
pub struct HandoverState {
    /// The version of the list, where its source has one.
    pub version: Option<u64>,
    /// The whole list.
    pub list: ServerList,
    /// What the module has learned.
    pub learned: Learned,
}

/// By which a running core is told what changes.
#[derive(Clone)]
pub struct CoreHandle(pub(crate) UnboundedSender<Message>);

impl CoreHandle {
    /// The process ends then: all that is owed is answered a little before, and nothing more is taken.
    pub fn shut_down_at(&self, at: Instant) {
        let _ = self.0.send(Message::EndAt(at)); // a core that has ended owes nothing
    }

    /// Asks something of the core. Its end shows at the receiver.
    fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> oneshot::Receiver<T> {
        let (answer, told) = oneshot::channel();
        let _ = self.0.send(message(answer)); // a core that has ended drops the sender
        told
    }

    /// Goes by other quotas from now on. A core that was made without keeps none.
    pub fn set_quotas(&self, quotas: Admission) {
        let _ = self.0.send(Message::Quotas(Box::new(quotas))); // nobody goes by them once the core has ended
    }

    /// Gives an operator's order on a server; the answer tells whether it is obeyed. A core that was made without
    /// steering, or has ended, answers nothing.
    pub fn apply_order(&self, ask: Ask) -> oneshot::Receiver<Result<Done, Refusal>> {
        self.ask(|answer| Message::Steer(Box::new(ask), answer))
    }

    /// The servers of the list and what is out at each. A core that was made without steering, or has ended,
    /// answers nothing.
    pub fn servers(&self) -> oneshot::Receiver<Vec<ServerStatus>> {
        self.ask(Message::Servers)
    }

    /// The node at this moment. A core that has ended answers nothing.
    pub fn snapshot(&self) -> oneshot::Receiver<Snapshot> {
        self.ask(Message::Look)
    }

    /// Tells who is there, and what this node may use.
    pub fn set_peer_status(&self, fellows: PeerStatus) {
        let _ = self.0.send(Message::PeerStatus(fellows)); // nobody goes by them once the core has ended
    }

    /// Goes by what the nodes hold in common. A core that was made without steering goes by none of it.
    pub fn apply_replicated(&self, what: ReplicatedUpdate) {
        let _ = self.0.send(Message::Replicated(what)); // nobody goes by it once the core has ended
    }

    /// How much slower than others this node has seen servers to be by its own requests, by name; those that answer
    /// nothing count as the slowest. A core that has ended answers nothing.
    pub fn observed_slowness(&self) -> oneshot::Receiver<BTreeMap<String, f64>> {
        self.ask(Message::Sights)
    }

    /// Has figures gathered until this is dropped.
    pub fn observe(&self) -> ObserverGuard {
        let _ = self.0.send(Message::Observe(true)); // nobody is watched once the core has ended
        ObserverGuard(self.0.clone())
    }

    /// What another process needs to go on in this one's place. A core that has ended answers nothing.
    pub fn handover_state(&self) -> oneshot::Receiver<HandoverState> {
        self.ask(Message::HandOver)
    }

    /// The orders that hold. A core that was made without steering, or has ended, answers nothing.
    pub fn orders_in_force(&self) -> oneshot::Receiver<OrdersInForce> {
        self.ask(Message::OrdersInForce)
    }
}

/// Somebody who watches; see [`CoreHandle::observe`].
pub struct ObserverGuard(UnboundedSender<Message>);

impl Drop for ObserverGuard {
    fn drop(&mut self) {
        let _ = self.0.send(Message::Observe(false)); // nobody is watched once the core has ended
    }
}
