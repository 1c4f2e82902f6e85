//! Chooses the rows that go into a datagram: changed rows first, then the others in rotation.

use std::collections::VecDeque;

/// How often a row is sent that will be replaced by a newer one within a heartbeat interval.
const SENDS_IF_SHORT_LIVED: u8 = 3;

/// The changed rows, and how often each is still to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct GossipQueue {
    /// Remaining sends by node.
    remaining_sends: Vec<u8>,
    /// By node, whether the row is sent with all that the node reports of others.
    send_full: Vec<bool>,
    queue: VecDeque<u16>,
    /// How often a changed row is sent: enough to reach all nodes, as gossip spreads.
    sends_per_change: u8,
    /// The next node in rotation.
    rotation: usize,
}

impl GossipQueue {
    pub fn new(node_count: usize, first: usize) -> GossipQueue {
        let sends_per_change = (usize::BITS - node_count.leading_zeros()) as u8 + 2;
        GossipQueue {
            remaining_sends: vec![0; node_count],
            send_full: vec![false; node_count],
            queue: VecDeque::new(),
            sends_per_change,
            rotation: first % node_count.max(1),
        }
    }

    /// Queues a node's row that has changed.
    ///
    /// `full`: send it with all that the node reports of others. `short_lived`: a newer row will follow within a heartbeat
    /// interval.
    pub fn enqueue(&mut self, node: usize, full: bool, short_lived: bool) {
        // The newest goes first: older changes have reached many nodes already.
        self.queue.retain(|&other| usize::from(other) != node);
        self.queue.push_front(node as u16);
        self.send_full[node] = full || self.send_full[node] && self.remaining_sends[node] > 0;
        self.remaining_sends[node] = if short_lived { SENDS_IF_SHORT_LIVED } else { self.sends_per_change };
    }

    /// Reduces the remaining sends of a row that another node has sent as well. `identical`: it was exactly the row held
    /// here.
    ///
    /// Without this, when hundreds of rows change at once each would be sent long after all nodes have received it. A full
    /// row spreads in no other way, so its count is reduced more slowly.
    pub fn record_duplicate(&mut self, node: usize, identical: bool) {
        let reduction = match (self.send_full[node], identical) {
            (false, _) => 5,
            (true, true) => 1,
            (true, false) => 0,
        };
        self.remaining_sends[node] = self.remaining_sends[node].saturating_sub(reduction);
    }

    /// The next changed row, and whether it is to be sent in full.
    pub fn peek(&mut self) -> Option<(usize, bool)> {
        while let Some(&node) = self.queue.front() {
            let node = usize::from(node);
            if self.remaining_sends[node] > 0 {
                return Some((node, self.send_full[node]));
            }
            self.queue.pop_front();
        }
        None
    }

    /// Counts one send of the row that [`GossipQueue::peek`] returned.
    pub fn mark_sent(&mut self, node: usize) {
        self.queue.pop_front();
        self.remaining_sends[node] -= 1;
        if self.remaining_sends[node] > 0 {
            self.queue.push_back(node as u16);
        }
    }

    /// How many rows are queued.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// The next node in rotation.
    pub fn next_in_rotation(&mut self) -> usize {
        let node = self.rotation;
        self.rotation = (self.rotation + 1) % self.remaining_sends.len().max(1);
        node
    }
}
