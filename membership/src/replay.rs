//! Replay protection: each sequence number of a sender is accepted once.

use std::collections::BTreeMap;

/// Senders that are remembered; beyond it the one heard longest ago is forgotten.
const MAX_TRACKED_SENDERS: usize = 4096;
/// Sequence numbers behind the highest that are still accepted, as datagrams overtake each other.
const WINDOW_BITS: u64 = 128;

/// The sequence numbers that came from one process of one sender.
struct SenderWindow {
    generation: u64,
    highest: u64,
    /// Bit `n` is set if the number `n` below the highest came.
    received: u128,
    /// When it was heard last, by the filter's count of datagrams.
    last_heard: u64,
}

impl SenderWindow {
    fn new(generation: u64, last_heard: u64) -> SenderWindow {
        SenderWindow { generation, highest: 0, received: 0, last_heard }
    }

    /// Whether this number is new; from then on it is not.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.received = if ahead >= WINDOW_BITS { 1 } else { self.received << ahead | 1 };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if sequence == 0 || behind >= WINDOW_BITS || self.received >> behind & 1 == 1 {
            return false;
        }
        self.received |= 1 << behind;
        true
    }
}

/// Tells datagrams that are new from those that were received before.
#[derive(Default)]
pub(crate) struct ReplayFilter {
    senders: BTreeMap<u64, SenderWindow>,
    datagrams: u64,
}

impl ReplayFilter {
    /// Whether a datagram is new: not of an earlier process of its sender, not received before, not too far behind.
    pub(crate) fn accept(&mut self, sender: u64, generation: u64, sequence: u64) -> bool {
        self.datagrams += 1;
        let now = self.datagrams;
        self.make_room_for(sender);
        let window = self.senders.entry(sender).or_insert(SenderWindow::new(generation, now));
        if generation < window.generation {
            return false;
        }
        if generation > window.generation {
            *window = SenderWindow::new(generation, now);
        }
        window.last_heard = now;
        window.accept(sequence)
    }

    fn make_room_for(&mut self, sender: u64) {
        if self.senders.contains_key(&sender) || self.senders.len() < MAX_TRACKED_SENDERS {
            return;
        }
        let oldest = self.senders.iter().min_by_key(|(_, window)| window.last_heard);
        if let Some(oldest) = oldest.map(|(sender, _)| *sender) {
            self.senders.remove(&oldest);
        }
    }
}
