//! A tournament tree that maintains the maximum of many numbers, both of those in force and of those staged.
//!
//! A change recomputes only the nodes on the path from the changed leaf to the root.

/// A number in force, and the number that replaces it at the next commit.
#[derive(Clone, Copy)]
struct Pair {
    current: f64,
    next: f64,
}

/// The pair of an index without a number; it is less than all numbers.
const NO_PAIR: Pair = Pair { current: f64::NEG_INFINITY, next: f64::NEG_INFINITY };

impl Pair {
    fn new(current: Option<f64>, next: Option<f64>) -> Pair {
        Pair { current: current.unwrap_or(f64::NEG_INFINITY), next: next.unwrap_or(f64::NEG_INFINITY) }
    }

    fn same_bits(&self, other: &Pair) -> bool {
        self.current.to_bits() == other.current.to_bits() && self.next.to_bits() == other.next.to_bits()
    }
}

#[derive(Clone, Copy)]
struct Node {
    pair: Pair,
    /// Version of the tree from which `pair.next` is in force.
    next_from: u64,
}

const EMPTY_NODE: Node = Node { pair: NO_PAIR, next_from: 0 };

/// The maximum of numbers by index. As in a staged table, all staged numbers come into force at once.
pub(crate) struct MaxTree {
    /// Nodes in heap order: the root is node 1, the children of node n are 2n and 2n+1, the leaves are the second half.
    nodes: Vec<Node>,
    version: u64,
}

impl MaxTree {
    pub(crate) fn new(numbers: impl IntoIterator<Item = f64>) -> MaxTree {
        let leaf = |number: f64| Node { pair: Pair { current: number, next: number }, next_from: 0 };
        let leaves: Vec<Node> = numbers.into_iter().map(leaf).collect();
        let mut tree = MaxTree { nodes: Vec::new(), version: 0 };
        tree.build(&leaves, leaves.len());
        tree
    }

    /// Returns the maximum of the numbers in force; negative infinity if there is none.
    pub(crate) fn max(&self) -> f64 {
        self.nodes.get(1).map_or(f64::NEG_INFINITY, |root| self.read(root).current)
    }

    /// Sets the number in force at this index, and the number that replaces it at the next commit.
    pub(crate) fn set(&mut self, index: usize, current: Option<f64>, next: Option<f64>) {
        if index >= self.nodes.len() / 2 {
            let leaves = self.nodes.split_off(self.nodes.len() / 2);
            self.build(&leaves, index + 1);
        }
        let mut at = self.nodes.len() / 2 + index;
        self.write(at, Pair::new(current, next));
        while at > 1 {
            at /= 2;
            let max = self.max_of_children(at);
            // The nodes above depend only on this one, so they are unchanged too.
            if self.read(&self.nodes[at]).same_bits(&max) {
                return;
            }
            self.write(at, max);
        }
    }

    /// Brings all staged numbers into force.
    pub(crate) fn commit(&mut self) {
        self.version += 1;
    }

    /// Computes all nodes of a tree with room for at least `min_leaves` leaves.
    fn build(&mut self, leaves: &[Node], min_leaves: usize) {
        let half = min_leaves.next_power_of_two();
        self.nodes = vec![EMPTY_NODE; half];
        self.nodes.extend_from_slice(leaves);
        self.nodes.resize(2 * half, EMPTY_NODE);
        for at in (1..half).rev() {
            let max = self.max_of_children(at);
            self.write(at, max);
        }
    }

    fn max_of_children(&self, at: usize) -> Pair {
        let left = self.read(&self.nodes[2 * at]);
        let right = self.read(&self.nodes[2 * at + 1]);
        Pair { current: left.current.max(right.current), next: left.next.max(right.next) }
    }

    fn write(&mut self, at: usize, pair: Pair) {
        self.nodes[at] = Node { pair, next_from: self.version + 1 };
    }

    fn read(&self, node: &Node) -> Pair {
        let committed = node.next_from <= self.version;
        Pair { current: if committed { node.pair.next } else { node.pair.current }, next: node.pair.next }
    }
}
