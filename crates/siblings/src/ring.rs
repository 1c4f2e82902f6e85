//! Who watches whom. The same at every node that has the same list.

use lilacquay_codec::siblings::MAX_WATCHERS;

/// The ring on which the nodes stand. A node's watchers are its nearest on both sides, and it watches them.
///
/// Neighbours on the ring are far from one another in the list: nodes next to each other there often share a rack or a
/// zone, and would be lost together.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ring {
    nodes: usize,
    stride: usize,
    /// The stride's inverse: from a node to its place.
    back: usize,
}

impl Ring {
    /// Of so many nodes, one at least.
    pub fn new(nodes: usize) -> Ring {
        let nodes = nodes.max(1);
        // About the golden section of the list, and without a factor in common.
        let stride = (nodes * 382 / 1000..nodes).find(|&stride| gcd(stride, nodes) == 1).unwrap_or(1).max(1);
        let back = (1..=nodes).find(|back| back * stride % nodes == 1 % nodes).unwrap_or(1);
        Ring { nodes, stride, back }
    }

    /// How many nodes there are.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// How many watch each node.
    pub fn watchers(&self) -> usize {
        MAX_WATCHERS.min(self.nodes - 1)
    }

    /// So many watchers at least say that a node's lease has run out when it counts as gone.
    pub fn to_be_gone(&self) -> usize {
        // One that has a single watcher is never held to be gone for its silence: that would be one's word against another's.
        (self.watchers() / 2 + 1).max(2)
    }

    /// So many watchers at least confirm a node that may use its part. Any so many and any of [`Ring::to_be_gone`] have
    /// one in common.
    pub fn to_be_confirmed(&self) -> usize {
        (self.watchers() + 1).saturating_sub(self.to_be_gone())
    }

    /// Those that a node watches, and that watch it: the nearest first, in the same order at every node.
    pub fn of(&self, node: usize) -> impl Iterator<Item = usize> + use<> {
        let (nodes, stride, place) = (self.nodes, self.stride, node * self.back % self.nodes);
        let steps = [1, nodes - 1, 2, nodes.saturating_sub(2)];
        let mut seen = Vec::with_capacity(MAX_WATCHERS);
        for step in steps.into_iter().take(self.watchers()) {
            let at = (place + step) % nodes * stride % nodes;
            if at != node && !seen.contains(&at) {
                seen.push(at);
            }
        }
        // Of few nodes the steps meet; whoever is left fills up.
        for at in 0..nodes {
            if seen.len() < self.watchers() && at != node && !seen.contains(&at) {
                seen.push(at);
            }
        }
        seen.into_iter()
    }

    /// The place of one node among those that another watches.
    pub fn place(&self, watcher: usize, watched: usize) -> Option<usize> {
        self.of(watcher).position(|node| node == watched)
    }

    /// Whether two stand side by side: these two alone take over each other's part, half each.
    pub fn side_by_side(&self, one: usize, other: usize) -> bool {
        one != other && self.of(one).take(2).any(|node| node == other)
    }
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn watching_is_mutual_and_any_two_quorums_meet() {
        for nodes in (1..130).chain([300, 1000, 1024]) {
            let ring = Ring::new(nodes);
            for node in 0..nodes {
                let watched: Vec<usize> = ring.of(node).collect();
                assert_eq!(watched.len(), ring.watchers(), "{nodes}");
                assert!(watched.iter().all(|&other| other != node && other < nodes));
                assert!(watched.iter().all(|&other| ring.place(other, node).is_some()), "{nodes}: {node}");
                assert!(
                    watched.iter().take(2).all(|&other| ring.side_by_side(other, node)),
                    "{nodes}: {node}"
                );
            }
            if nodes > 2 {
                assert!(ring.to_be_gone() + ring.to_be_confirmed() > ring.watchers());
                assert!(ring.to_be_confirmed() >= 1 && ring.to_be_gone() <= ring.watchers());
            } else {
                assert_eq!(ring.to_be_confirmed(), 0, "nobody can take anything of one of two");
                assert!(ring.to_be_gone() > ring.watchers());
            }
        }
    }
}
