//! The messages to the driver, and the handle through which a running core is controlled.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lilacquay_observe::{ReplicaSummary, Snapshot};
use lilacquay_overrides::{AppliedOrder, OrderRequest, Refusal, ReplicatedOrder};
use paddlefold::{Learned, RequestId};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::admission::Admission;
use crate::call::Call;
use crate::list::ServerList;
use crate::overrides::{OrdersInForce, ServerStatus};
use crate::requests::AnswerSender;

/// A message to the driver.
///
/// The channel itself is unbounded. The number of client sessions is bounded, and each has only a few messages in
/// the channel at a time.
pub(crate) enum Message {
    RequestOpened(NewRequest),
    /// The client of a request has disconnected.
    ClientGone(RequestId),
    /// A list, the name of its source, and its version if the source has one.
    ListUpdated(ServerList, &'static str, Option<u64>),
    ListFailed,
    /// The list's source is at another address.
    ListSourceChanged,
    HandoverState(oneshot::Sender<HandoverState>),
    SetQuotas(Box<Admission>),
    ApplyOrder(Box<OrderRequest>, oneshot::Sender<Result<AppliedOrder, Refusal>>),
    OrdersInForce(oneshot::Sender<OrdersInForce>),
    Servers(oneshot::Sender<Vec<ServerStatus>>),
    /// An observer has been added (true) or removed (false).
    Observe(bool),
    Snapshot(oneshot::Sender<Snapshot>),
    ShutDownAt(Instant),
    SetMembershipSummary(MembershipSummary),
    ApplyReplicated(ReplicatedUpdate),
    ObservedSlowness(oneshot::Sender<BTreeMap<String, f64>>),
}

/// An update of the state that the nodes replicate among themselves, as far as it affects a core.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicatedUpdate {
    /// Operators' orders.
    Orders {
        /// Whether these are all orders, so that any missing one has been lifted.
        complete: bool,
        /// The orders by server.
        orders: Vec<ReplicatedOrder>,
    },
    /// The names of servers that the lists of other nodes have removed.
    RemovedByPeers(BTreeSet<String>),
    /// How much slower than others servers are, as observed by other nodes, by server name.
    PeerSlowness(BTreeMap<String, f64>),
    /// Statistics on the replicated state, for operators.
    Statistics(ReplicaSummary),
}

/// A list that the node's own source has reported, for whoever passes it on to other nodes.
#[derive(Debug, Clone)]
pub struct ListUpdate {
    /// The full list, or the changes in it.
    pub list: ServerList,
    /// The list's version, if its source has one.
    pub version: Option<u64>,
}

/// The state of the other nodes, and the share of common resources that this node may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MembershipSummary {
    /// The fraction of its equal share that this node may use, in thousandths.
    pub share_thousandths: u32,
    /// Until when the share is valid.
    pub valid_until: Instant,
    /// The number of other nodes that are present, gone, and in an unknown state.
    pub peer_counts: [usize; 3],
}

impl MembershipSummary {
    /// The number of nodes that may be using common resources, this one included.
    pub fn node_count(&self) -> usize {
        1 + self.peer_counts[0] + self.peer_counts[2]
    }
}

/// A client's request that a front end has opened.
pub(crate) struct NewRequest {
    pub id: RequestId,
    pub call: Arc<Call>,
    /// When the request's last byte was read.
    pub received_at: Instant,
    pub answer: AnswerSender,
}

/// The state that one process hands over to its successor.
#[derive(Debug, Clone)]
pub struct HandoverState {
    /// The list's version, if its source has one.
    pub version: Option<u64>,
    /// The full list.
    pub list: ServerList,
    /// What the balancer has learned.
    pub learned: Learned,
}

/// Controls and inspects a running core.
#[derive(Clone)]
pub struct CoreHandle(pub(crate) UnboundedSender<Message>);

impl CoreHandle {
    /// Announces when the process ends. Shortly before, the core answers all open requests and stops accepting new
    /// ones.
    pub fn shut_down_at(&self, at: Instant) {
        let _ = self.0.send(Message::ShutDownAt(at)); // a core that has ended has no open requests
    }

    /// Sends a message that the core answers. If the core has ended, the receiver is closed.
    fn ask<T>(&self, message: impl FnOnce(oneshot::Sender<T>) -> Message) -> oneshot::Receiver<T> {
        let (answer, answered) = oneshot::channel();
        let _ = self.0.send(message(answer)); // a core that has ended drops the sender
        answered
    }

    /// Replaces the quotas. No effect on a core that was created without quotas.
    pub fn set_quotas(&self, quotas: Admission) {
        let _ = self.0.send(Message::SetQuotas(Box::new(quotas))); // no effect once the core has ended
    }

    /// Applies an operator's order to a server; the answer tells whether it was accepted. The receiver is closed if the
    /// core was created without overrides or has ended.
    pub fn apply_order(&self, ask: OrderRequest) -> oneshot::Receiver<Result<AppliedOrder, Refusal>> {
        self.ask(|answer| Message::ApplyOrder(Box::new(ask), answer))
    }

    /// The listed servers and the attempts in flight at each. The receiver is closed if the core was created without
    /// overrides or has ended.
    pub fn servers(&self) -> oneshot::Receiver<Vec<ServerStatus>> {
        self.ask(Message::Servers)
    }

    /// The current state of the node. The receiver is closed if the core has ended.
    pub fn snapshot(&self) -> oneshot::Receiver<Snapshot> {
        self.ask(Message::Snapshot)
    }

    /// Sets the state of the other nodes and the share that this node may use.
    pub fn set_membership_summary(&self, status: MembershipSummary) {
        let _ = self.0.send(Message::SetMembershipSummary(status)); // no effect once the core has ended
    }

    /// Applies an update of the replicated state. On a core that was created without overrides, updates of orders and
    /// of removed servers have no effect.
    pub fn apply_replicated(&self, update: ReplicatedUpdate) {
        let _ = self.0.send(Message::ApplyReplicated(update)); // no effect once the core has ended
    }

    /// How much slower than others this node's own requests have found servers to be, by server name. Servers that do
    /// not answer count as infinitely slow. The receiver is closed if the core has ended.
    pub fn observed_slowness(&self) -> oneshot::Receiver<BTreeMap<String, f64>> {
        self.ask(Message::ObservedSlowness)
    }

    /// Collects figures for snapshots until the guard is dropped.
    pub fn observe(&self) -> ObserverGuard {
        let _ = self.0.send(Message::Observe(true)); // no effect once the core has ended
        ObserverGuard(self.0.clone())
    }

    /// The state that a successor process needs. The receiver is closed if the core has ended.
    pub fn handover_state(&self) -> oneshot::Receiver<HandoverState> {
        self.ask(Message::HandoverState)
    }

    /// The orders in force. The receiver is closed if the core was created without overrides or has ended.
    pub fn orders_in_force(&self) -> oneshot::Receiver<OrdersInForce> {
        self.ask(Message::OrdersInForce)
    }
}

/// Keeps the collection of figures active; see [`CoreHandle::observe`].
pub struct ObserverGuard(UnboundedSender<Message>);

impl Drop for ObserverGuard {
    fn drop(&mut self) {
        let _ = self.0.send(Message::Observe(false)); // no effect once the core has ended
    }
}
