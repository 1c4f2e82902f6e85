//! The queue of changed records, with how often each is still to be sent.

use std::collections::{BTreeMap, VecDeque};

/// Most queued records. Further changes are found by comparing checksums instead.
const MAX_QUEUED_RECORDS: usize = 512;

/// The changed records, by id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct GossipQueue {
    remaining_sends: BTreeMap<u64, u8>,
    queue: VecDeque<u64>,
}

impl GossipQueue {
    /// Queues a changed record, to be sent `sends` times.
    pub fn enqueue(&mut self, id: u64, sends: u8) {
        if self.remaining_sends.len() < MAX_QUEUED_RECORDS && self.remaining_sends.insert(id, sends).is_none()
        {
            self.queue.push_front(id);
        }
    }

    /// Reduces the remaining sends of a record that another node has sent as well.
    pub fn record_duplicate(&mut self, id: u64) {
        if let Some(remaining) = self.remaining_sends.get_mut(&id) {
            *remaining = remaining.saturating_sub(1);
        }
    }

    /// The next record to send; counts as one send.
    pub fn pop(&mut self) -> Option<u64> {
        while let Some(id) = self.queue.pop_front() {
            match self.remaining_sends.get_mut(&id) {
                Some(remaining) if *remaining > 1 => {
                    *remaining -= 1;
                    self.queue.push_back(id);
                    return Some(id);
                }
                Some(remaining) => {
                    let is_last = *remaining == 1;
                    self.remaining_sends.remove(&id);
                    if is_last {
                        return Some(id);
                    }
                }
                None => {}
            }
        }
        None
    }

    /// How many records are queued.
    pub fn len(&self) -> usize {
        self.remaining_sends.len()
    }
}
