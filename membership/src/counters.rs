//! What a member counts.

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent, envelopes included.
    pub sent_bytes: u64,
    /// SWIM and leave datagrams received and processed.
    pub accepted: u64,
    /// Dropped: shorter than an envelope.
    pub too_short: u64,
    /// Dropped: of another envelope version or another cluster.
    pub foreign: u64,
    /// Dropped: the keyed hash does not match.
    pub bad_mac: u64,
    /// Dropped: received before, or of an earlier process of its sender.
    pub replayed: u64,
    /// Dropped: the source address exceeded its rate.
    pub rate_limited: u64,
    /// Authentic, and yet malformed, or with names that are not valid.
    pub malformed: u64,
    /// Dropped: the member table or the queue of messages is full.
    pub over_capacity: u64,
    /// Times that this process was paused or starved.
    pub pauses: u64,
}
