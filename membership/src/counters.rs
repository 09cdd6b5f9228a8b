//! Counters of a member.

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of the datagrams sent, including envelopes.
    pub sent_bytes: u64,
    /// SWIM and leave datagrams received and processed.
    pub accepted: u64,
    /// Datagrams dropped because they are shorter than an envelope.
    pub too_short: u64,
    /// Datagrams dropped because of another envelope version or another cluster.
    pub foreign: u64,
    /// Datagrams dropped because the MAC does not match.
    pub bad_mac: u64,
    /// Datagrams dropped because they were received before or come from an earlier process of their sender.
    pub replayed: u64,
    /// Datagrams dropped because the source address exceeded its rate.
    pub rate_limited: u64,
    /// Authentic datagrams that are malformed or contain invalid names.
    pub malformed: u64,
    /// Datagrams dropped because the member table or the message queue is full.
    pub over_capacity: u64,
    /// Pauses of this process, or periods without CPU time.
    pub pauses: u64,
}
