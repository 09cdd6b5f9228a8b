//! Queue of the scheduled actions of a simulation.

use asterrill::Us;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// A scheduled action.
pub(super) enum Action {
    /// Runs the tick of a member. The simulation ignores it if the member has been rescheduled.
    Tick(usize),
    /// A datagram arrives.
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
}

/// An action and its time, ordered by time and then by the order of insertion.
pub(super) struct TimedAction {
    pub(super) at: Us,
    sequence: u64,
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
        // The order is reversed, because the heap returns the greatest element first.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Actions ordered by time.
#[derive(Default)]
pub(super) struct ActionQueue {
    heap: BinaryHeap<TimedAction>,
    pushed: u64,
}

impl ActionQueue {
    pub(super) fn push(&mut self, at: Us, action: Action) {
        self.pushed += 1;
        self.heap.push(TimedAction { at, sequence: self.pushed, action });
    }

    /// Removes and returns the next action that is due by `until`.
    pub(super) fn pop_until(&mut self, until: Us) -> Option<TimedAction> {
        self.heap.peek().filter(|next| next.at <= until)?;
        self.heap.pop()
    }
}
