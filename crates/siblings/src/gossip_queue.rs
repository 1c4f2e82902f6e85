//! Which rows go into a datagram: those that are news first, then others in turn.

use std::collections::VecDeque;

/// How often one is sent that is newer soon.
const SOON: u8 = 3;

/// Rows that are news, and how often each is still to be sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct Spread {
    left: Vec<u8>,
    /// Whether it is to be told with all that it has heard.
    whole: Vec<bool>,
    queue: VecDeque<u16>,
    /// How often one is sent: enough to reach all, as rumours go.
    times: u8,
    /// The next in turn.
    turn: usize,
}

impl Spread {
    pub fn new(nodes: usize, first: usize) -> Spread {
        let times = (usize::BITS - nodes.leading_zeros()) as u8 + 2;
        Spread {
            left: vec![0; nodes],
            whole: vec![false; nodes],
            queue: VecDeque::new(),
            times,
            turn: first % nodes.max(1),
        }
    }

    /// A node's row says something new.
    ///
    /// `whole`: with all that it has heard. `soon`: there will be newer word of it within a period.
    pub fn news(&mut self, node: usize, whole: bool, soon: bool) {
        // The newest first: what is older has reached many already.
        self.queue.retain(|&other| usize::from(other) != node);
        self.queue.push_front(node as u16);
        self.whole[node] = whole || self.whole[node] && self.left[node] > 0;
        self.left[node] = if soon { SOON } else { self.times };
    }

    /// Another has told of it too, `same`: just what is told here. It need not be told as often any more.
    ///
    /// Guards against: hundreds of rows that are news at once, each still told long after all have heard of it. A row with
    /// all that its node has heard is told in no other way, so it is let go of more slowly.
    pub fn told_by_another(&mut self, node: usize, same: bool) {
        let less = match (self.whole[node], same) {
            (false, _) => 5,
            (true, true) => 1,
            (true, false) => 0,
        };
        self.left[node] = self.left[node].saturating_sub(less);
    }

    /// The next that is news, and whether it is to be told whole.
    pub fn next(&mut self) -> Option<(usize, bool)> {
        while let Some(&node) = self.queue.front() {
            let node = usize::from(node);
            if self.left[node] > 0 {
                return Some((node, self.whole[node]));
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
