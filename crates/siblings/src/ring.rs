//! The ring that assigns watchers to nodes. It is computed from the number of nodes alone, so that all nodes with the same
//! list have the same ring.

use lilacquay_codec::siblings::MAX_WATCHERS;

/// The ring of all nodes. A node's watchers are its nearest nodes on both sides, and it watches them in turn.
///
/// Neighbours on the ring are far apart in the list, because nodes next to each other in the list often share a rack or a
/// zone and would fail together.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ring {
    node_count: usize,
    /// The distance in the list between neighbours on the ring.
    stride: usize,
    /// The modular inverse of the stride, which gives a node's position on the ring.
    stride_inverse: usize,
}

impl Ring {
    /// The ring of `node_count` nodes; 0 counts as 1.
    pub fn new(node_count: usize) -> Ring {
        let node_count = node_count.max(1);
        // About the golden section of the list's length, and coprime to it.
        let stride = (node_count * 382 / 1000..node_count)
            .find(|&stride| gcd(stride, node_count) == 1)
            .unwrap_or(1)
            .max(1);
        let stride_inverse =
            (1..=node_count).find(|inverse| inverse * stride % node_count == 1 % node_count).unwrap_or(1);
        Ring { node_count, stride, stride_inverse }
    }

    /// The number of nodes.
    pub fn node_count(&self) -> usize {
        self.node_count
    }

    /// How many nodes watch each node.
    pub fn watcher_count(&self) -> usize {
        MAX_WATCHERS.min(self.node_count - 1)
    }

    /// How many watchers must report that a node's lease has expired before the node counts as gone.
    pub fn expiry_quorum(&self) -> usize {
        // At least two: with a single watcher it would be one node's report against the other's, so a node with a single
        // watcher is never held to be gone for its silence.
        (self.watcher_count() / 2 + 1).max(2)
    }

    /// How many watchers must confirm a node before it may use its share. Any such set and any set of
    /// [`Ring::expiry_quorum`] watchers have a watcher in common.
    pub fn confirmation_quorum(&self) -> usize {
        (self.watcher_count() + 1).saturating_sub(self.expiry_quorum())
    }

    /// The nodes that a node watches, which are also its watchers: the nearest first, in the same order at every node.
    pub fn neighbours(&self, node: usize) -> impl Iterator<Item = usize> + use<> {
        let (node_count, stride, position) =
            (self.node_count, self.stride, node * self.stride_inverse % self.node_count);
        let offsets = [1, node_count - 1, 2, node_count.saturating_sub(2)];
        let mut neighbours = Vec::with_capacity(MAX_WATCHERS);
        for offset in offsets.into_iter().take(self.watcher_count()) {
            let neighbour = (position + offset) % node_count * stride % node_count;
            if neighbour != node && !neighbours.contains(&neighbour) {
                neighbours.push(neighbour);
            }
        }
        // On a small ring several offsets lead to the same node; the remaining nodes fill up the list.
        for other in 0..node_count {
            if neighbours.len() < self.watcher_count() && other != node && !neighbours.contains(&other) {
                neighbours.push(other);
            }
        }
        neighbours.into_iter()
    }

    /// The index of `watched` among the neighbours of `watcher`.
    pub fn neighbour_index(&self, watcher: usize, watched: usize) -> Option<usize> {
        self.neighbours(watcher).position(|node| node == watched)
    }

    /// Whether two nodes are next to each other on the ring. Only adjacent nodes take over each other's share, half each.
    pub fn are_adjacent(&self, one: usize, other: usize) -> bool {
        one != other && self.neighbours(one).take(2).any(|node| node == other)
    }
}

fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn watching_is_mutual_and_any_two_quorums_share_a_watcher() {
        for node_count in (1..130).chain([300, 1000, 1024]) {
            let ring = Ring::new(node_count);
            for node in 0..node_count {
                let watched: Vec<usize> = ring.neighbours(node).collect();
                assert_eq!(watched.len(), ring.watcher_count(), "{node_count}");
                assert!(watched.iter().all(|&other| other != node && other < node_count));
                assert!(
                    watched.iter().all(|&other| ring.neighbour_index(other, node).is_some()),
                    "{node_count}: {node}"
                );
                assert!(
                    watched.iter().take(2).all(|&other| ring.are_adjacent(other, node)),
                    "{node_count}: {node}"
                );
            }
            if node_count > 2 {
                assert!(ring.expiry_quorum() + ring.confirmation_quorum() > ring.watcher_count());
                assert!(ring.confirmation_quorum() >= 1 && ring.expiry_quorum() <= ring.watcher_count());
            } else {
                assert_eq!(
                    ring.confirmation_quorum(),
                    0,
                    "of two nodes neither can take over the other's share"
                );
                assert!(ring.expiry_quorum() > ring.watcher_count());
            }
        }
    }
}
