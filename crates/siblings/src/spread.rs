//! Which rows go into a datagram: those that are news first, then others in turn.

use std::collections::VecDeque;

/// Rows that are news, and how often each is still to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Spread {
    left: Vec<u8>,
    queue: VecDeque<u16>,
    /// How often one is sent: enough to reach all, as rumours go.
    times: u8,
    /// The next in turn.
    turn: usize,
}

impl Spread {
    pub fn new(nodes: usize, first: usize) -> Spread {
        let times = (usize::BITS - nodes.leading_zeros()) as u8 + 2;
        Spread { left: vec![0; nodes], queue: VecDeque::new(), times, turn: first % nodes.max(1) }
    }

    /// A node's row says something new.
    pub fn news(&mut self, node: usize) {
        if !self.queue.contains(&(node as u16)) {
            self.queue.push_back(node as u16);
        }
        self.left[node] = self.times;
    }

    /// Another has told the same: it need not be told as often any more.
    ///
    /// Guards against: hundreds of rows that are news at once, each still told long after all have heard of it.
    pub fn told_by_another(&mut self, node: usize) {
        self.left[node] = self.left[node].saturating_sub(1);
    }

    /// The next that is news.
    pub fn next(&mut self) -> Option<usize> {
        while let Some(&node) = self.queue.front() {
            if self.left[usize::from(node)] > 0 {
                return Some(usize::from(node));
            }
            self.queue.pop_front();
        }
        None
    }

    /// The next was told once more.
    pub fn told(&mut self, node: usize) {
        self.queue.pop_front();
        self.left[node] -= 1;
        if self.left[node] > 0 {
            self.queue.push_back(node as u16);
        }
    }

    pub fn pending(&self) -> usize {
        self.queue.len()
    }

    /// The next in turn.
    pub fn in_turn(&mut self) -> usize {
        let node = self.turn;
        self.turn = (self.turn + 1) % self.left.len().max(1);
        node
    }
}
