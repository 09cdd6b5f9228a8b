//! Replay protection: each sequence number of a sender is accepted once.

use std::collections::BTreeMap;

/// Maximum number of tracked senders; beyond it the sender heard longest ago is evicted.
const MAX_TRACKED_SENDERS: usize = 4096;
/// Size of the window of sequence numbers, up to the highest one, within which reordered datagrams are accepted.
const WINDOW_BITS: u64 = 128;

/// Sequence numbers received from one process of a sender.
struct SenderWindow {
    generation: u64,
    highest: u64,
    /// Bitmap in which bit `n` is set if the number `n` below the highest was received.
    received: u128,
    /// Count of the filter's datagrams at the last datagram of this sender.
    last_heard: u64,
}

impl SenderWindow {
    fn new(generation: u64, last_heard: u64) -> SenderWindow {
        SenderWindow { generation, highest: 0, received: 0, last_heard }
    }

    /// Reports whether a sequence number is new, and marks it as received.
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

/// Filter that rejects datagrams that were received before.
#[derive(Default)]
pub(crate) struct ReplayFilter {
    senders: BTreeMap<u64, SenderWindow>,
    datagrams: u64,
}

impl ReplayFilter {
    /// Reports whether a datagram is new, and marks it as received.
    ///
    /// It is new if it is not from an earlier process of its sender, was not received before, and is within the window.
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
