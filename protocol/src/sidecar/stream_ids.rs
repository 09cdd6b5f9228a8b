//! Which stream numbers have been used on a connection.

use super::message::StreamId;
use std::collections::BTreeSet;

/// Stream numbers that a connection may leave out; beyond that the lowest count as used.
const MAX_GAPS: usize = 128;

/// All numbers up to one, and some beyond it.
#[derive(Default)]
pub(super) struct UsedStreams {
    all_up_to: u32,
    beyond: BTreeSet<u32>,
}

impl UsedStreams {
    /// Marks a number as used; false if it was before.
    pub(super) fn insert(&mut self, stream: StreamId) -> bool {
        if stream.0 <= self.all_up_to || !self.beyond.insert(stream.0) {
            return false;
        }
        while self.beyond.first() == Some(&(self.all_up_to + 1)) || self.beyond.len() > MAX_GAPS {
            self.all_up_to = self.beyond.pop_first().unwrap_or(self.all_up_to);
        }
        true
    }
}
