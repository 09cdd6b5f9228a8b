//! What happens in a simulation, in the order of time.

use asterrill::Us;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// What happens at a moment.
pub(super) enum Action {
    /// A member may want its tick; which time it was set for is looked up, as it may have been set anew.
    Wake(usize),
    /// A datagram arrives.
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
}

/// An action and its time; ordered by time, then in the order in which they were pushed.
pub(super) struct TimedAction {
    pub(super) at: Us,
    number: u64,
    pub(super) action: Action,
}

impl PartialEq for TimedAction {
    fn eq(&self, other: &TimedAction) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for TimedAction {}
impl PartialOrd for TimedAction {
    fn partial_cmp(&self, other: &TimedAction) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for TimedAction {
    fn cmp(&self, other: &TimedAction) -> Ordering {
        // The heap has the greatest first.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// Actions in the order of time.
#[derive(Default)]
pub(super) struct ActionQueue {
    heap: BinaryHeap<TimedAction>,
    pushed: u64,
}

impl ActionQueue {
    pub(super) fn push(&mut self, at: Us, action: Action) {
        self.pushed += 1;
        self.heap.push(TimedAction { at, number: self.pushed, action });
    }

    /// The next action, if it happens by then.
    pub(super) fn pop_until(&mut self, until: Us) -> Option<TimedAction> {
        self.heap.peek().filter(|next| next.at <= until)?;
        self.heap.pop()
    }
}
