//! Records that are news, and how often each is still to be told.

use std::collections::{BTreeMap, VecDeque};

/// News that wait at most; what is beyond is found by the sums.
const MOST: usize = 512;

/// Records that are news.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(crate) struct Rumours {
    left: BTreeMap<u64, u8>,
    queue: VecDeque<u64>,
}

impl Rumours {
    /// One is news, to be told so often.
    pub fn news(&mut self, id: u64, times: u8) {
        if self.left.len() < MOST && self.left.insert(id, times).is_none() {
            self.queue.push_front(id);
        }
    }

    /// Another has told it as well: it need not be told as often any more.
    pub fn known(&mut self, id: u64) {
        if let Some(left) = self.left.get_mut(&id) {
            *left = left.saturating_sub(1);
        }
    }

    /// The next to be told, which counts as told once.
    pub fn next(&mut self) -> Option<u64> {
        while let Some(id) = self.queue.pop_front() {
            match self.left.get_mut(&id) {
                Some(left) if *left > 1 => {
                    *left -= 1;
                    self.queue.push_back(id);
                    return Some(id);
                }
                Some(left) => {
                    let last = *left == 1;
                    self.left.remove(&id);
                    if last {
                        return Some(id);
                    }
                }
                None => {}
            }
        }
        None
    }

    pub fn len(&self) -> usize {
        self.left.len()
    }
}
