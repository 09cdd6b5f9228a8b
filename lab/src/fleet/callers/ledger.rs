//! Statistics that the callers keep themselves.

use crate::fleet::upstream::element_mut;
use std::time::Instant;

/// Length of a time bucket of the ledger.
pub const BUCKET_MS: u64 = 100;

/// Statistics of a time bucket. RPCs count in the bucket of their first attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// Sum of the criticality of the RPCs.
    pub offered: f64,
    /// Sum of the criticality of the RPCs that were answered successfully within their latency target.
    pub in_time: f64,
    /// Number of attempts that were sent in this bucket.
    pub attempts: u32,
}

/// An attempt that was sent completely on a connection that stayed open, and that got no answer within its timeout.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredAttempt {
    /// Index of the backend.
    pub node: usize,
    /// Time at which it was sent.
    pub sent: Instant,
}

/// A rejection of an RPC by a backend.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// Index of the backend.
    pub node: usize,
    /// Time at which it was received.
    pub at: Instant,
}

/// Statistics of all callers of a fleet.
#[derive(Default)]
pub struct CallerLedger {
    /// Time buckets since the start.
    pub buckets: Vec<Bucket>,
    /// Number of RPCs.
    pub rpcs: u64,
    /// Attempts without an answer in time.
    pub unanswered: Vec<UnansweredAttempt>,
    /// Number of answers to attempts that had already been answered.
    pub answered_twice: u64,
    /// Number of results that belong to another RPC.
    pub wrong_results: u64,
    /// Rejections, in the order of their receipt.
    pub rejections: Vec<Rejection>,
}

impl CallerLedger {
    /// Returns the bucket of a point in time.
    pub(super) fn bucket(&mut self, start: Instant, at: Instant) -> &mut Bucket {
        let index = at.saturating_duration_since(start).as_millis() / u128::from(BUCKET_MS);
        element_mut(&mut self.buckets, index as usize)
    }
}

/// Returns the share (0 to 1) of the criticality offered in these buckets that was answered in time.
pub fn in_time_share(buckets: &[Bucket]) -> f64 {
    let sum = |of: fn(&Bucket) -> f64| buckets.iter().map(of).sum::<f64>();
    sum(|bucket| bucket.in_time) / sum(|bucket| bucket.offered).max(1e-9)
}
