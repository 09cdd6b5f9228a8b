//! The callers' own account.

use crate::fleet::upstream::element_mut;
use std::time::Instant;

/// Milliseconds of one slot of the ledger.
pub const BUCKET_MS: u64 = 100;

/// What a tenth of a second saw, by the moment at which RPCs were first sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    /// Criticality that was called for.
    pub called: f64,
    /// Of that, what was answered ok within its latency target.
    pub in_time: f64,
    /// Attempts that were sent.
    pub attempts: u32,
}

/// An attempt that was written completely, on a connection that stood, and got no answer by its patience.
#[derive(Clone, Copy, Debug)]
pub struct UnansweredAttempt {
    /// The backend's number.
    pub node: usize,
    /// When it was sent.
    pub sent: Instant,
}

/// A rejection.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// The backend's number.
    pub node: usize,
    /// When it came.
    pub at: Instant,
}

/// The callers' own account.
#[derive(Default)]
pub struct CallerLedger {
    /// By tenths of a second since the start.
    pub buckets: Vec<Bucket>,
    /// RPCs.
    pub rpcs: u64,
    /// Attempts without an answer.
    pub unanswered: Vec<UnansweredAttempt>,
    /// Answers to attempts that had been answered.
    pub answered_twice: u64,
    /// Results that no run made for their RPC.
    pub wrong_results: u64,
    /// Rejections.
    pub rejections: Vec<Rejection>,
}

impl CallerLedger {
    /// The slot of a moment.
    pub(super) fn bucket(&mut self, start: Instant, at: Instant) -> &mut Bucket {
        let index = at.saturating_duration_since(start).as_millis() / u128::from(BUCKET_MS);
        element_mut(&mut self.buckets, index as usize)
    }
}

/// The part (0 to 1) of the criticality called for in these tenths that was answered in time.
pub fn in_time_share(buckets: &[Bucket]) -> f64 {
    let sum = |of: fn(&Bucket) -> f64| buckets.iter().map(of).sum::<f64>();
    sum(|bucket| bucket.in_time) / sum(|bucket| bucket.called).max(1e-9)
}
