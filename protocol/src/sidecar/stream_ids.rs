//! Set of the stream numbers that have been used on a connection.

use super::message::StreamId;
use std::collections::BTreeSet;

/// Maximum number of used stream numbers stored above the first gap. Beyond it, the lowest gaps count as used.
const MAX_STORED_STREAMS: usize = 128;

/// Used stream numbers: all numbers up to a limit, and single ones above it.
#[derive(Default)]
pub(super) struct UsedStreams {
    all_up_to: u32,
    above: BTreeSet<u32>,
}

impl UsedStreams {
    /// Marks a stream number as used. Returns false if it was marked before.
    pub(super) fn insert(&mut self, stream: StreamId) -> bool {
        if stream.0 <= self.all_up_to || !self.above.insert(stream.0) {
            return false;
        }
        while self.above.first() == Some(&(self.all_up_to + 1)) || self.above.len() > MAX_STORED_STREAMS {
            self.all_up_to = self.above.pop_first().unwrap_or(self.all_up_to);
        }
        true
    }
}
