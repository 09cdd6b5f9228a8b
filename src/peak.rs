//! The greatest of many numbers, of those in force and of those to come: a tournament, of which only the rounds
//! that a number takes part in are played anew. No decision is taken here.

/// A number in force, the one to come, and the version from which that one holds.
#[derive(Clone, Copy)]
struct Node {
    now: f64,
    next: f64,
    from: u64,
}

const NONE: Node = Node { now: f64::NEG_INFINITY, next: f64::NEG_INFINITY, from: 0 };

/// The greatest of the numbers by place; as `terms.rs`, with all that are staged in force at once.
pub struct Peak {
    nodes: Vec<Node>, // the winner of all at 1, those of node n's halves at 2n and 2n+1, the places at the end
    version: u64,
}

impl Peak {
    pub fn new(numbers: impl IntoIterator<Item = f64>) -> Peak {
        let places: Vec<Node> = numbers.into_iter().map(|n| Node { now: n, next: n, from: 0 }).collect();
        let mut peak = Peak { nodes: Vec::new(), version: 0 };
        peak.build(&places, places.len());
        peak
    }

    /// The greatest in force; minus infinity where there is none.
    pub fn greatest(&self) -> f64 {
        self.nodes.get(1).map_or(f64::NEG_INFINITY, |top| self.read(top).0)
    }

    /// At this place the one number is in force, and the other one from the next change on.
    pub fn set(&mut self, place: usize, now: Option<f64>, next: Option<f64>) {
        if place >= self.nodes.len() / 2 {
            let places = self.nodes.split_off(self.nodes.len() / 2);
            self.build(&places, place + 1);
        }
        let [now, next] = [now, next].map(|n| n.unwrap_or(f64::NEG_INFINITY));
        let mut at = self.nodes.len() / 2 + place;
        self.put(at, (now, next));
        while at > 1 {
            at /= 2;
            let winner = self.play(at);
            let (now, next) = self.read(&self.nodes[at]);
            if (now.to_bits(), next.to_bits()) == (winner.0.to_bits(), winner.1.to_bits()) {
                return; // above it all stands as it is
            }
            self.put(at, winner);
        }
    }

    /// All numbers to come are in force from now on.
    pub fn commit(&mut self) {
        self.version += 1;
    }

    /// All rounds, for so many places at the least.
    fn build(&mut self, places: &[Node], least: usize) {
        let half = least.next_power_of_two();
        self.nodes = vec![NONE; half];
        self.nodes.extend_from_slice(places);
        self.nodes.resize(2 * half, NONE);
        for at in (1..half).rev() {
            let winner = self.play(at);
            self.put(at, winner);
        }
    }
    fn play(&self, at: usize) -> (f64, f64) {
        let (one, other) = (self.read(&self.nodes[2 * at]), self.read(&self.nodes[2 * at + 1]));
        (one.0.max(other.0), one.1.max(other.1))
    }
    fn put(&mut self, at: usize, (now, next): (f64, f64)) {
        self.nodes[at] = Node { now, next, from: self.version + 1 };
    }
    fn read(&self, node: &Node) -> (f64, f64) {
        (if node.from <= self.version { node.next } else { node.now }, node.next)
    }
}
