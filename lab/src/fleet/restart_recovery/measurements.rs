//! What one run has found.

use super::faults::FIRST_FAULT_MS;
use crate::fleet::callers::{in_time_share, Bucket, CallerLedger, BUCKET_MS};
use crate::fleet::fault_script::ScheduledFault;
use serde_json::{json, Value};

const BUCKETS_PER_SECOND: usize = 10; // of a second
const CURVE_FROM: usize = (FIRST_FAULT_MS / BUCKET_MS) as usize - 2 * BUCKETS_PER_SECOND; // two seconds before the first fault

/// What one run has found.
pub(super) struct Measurements {
    /// From the begin of the load on.
    pub(super) buckets: Vec<Bucket>,
    /// Service before the fault, and once it is full again.
    pub(super) before: f64,
    pub(super) after: f64,
    /// Of all cores, the part that runs took before the fault, by the agents' own account.
    pub(super) load: f64,
    pub(super) unanswered: usize,
    /// From the begin of the load until the last fault.
    pub(super) fault_ms: u64,
    /// Calls that the upstream rejected.
    pub(super) upstream_rejections: u64,
    /// From the last fault until service was full again, and what nobody can be quicker than.
    pub(super) full_ms: Option<u64>,
    pub(super) floor_ms: u64,
    /// Attempts a second at the most, over those before the fault.
    pub(super) attempts_peak: f64,
    /// Calls to the upstream a second at the most, over its capacity.
    pub(super) calls_peak: f64,
    /// Decisions that only an old value explains.
    pub(super) stale: u64,
    pub(super) left: usize,
    pub(super) repeated_effects: u64,
    pub(super) reports_peak: u32,
    pub(super) snapshots_failed: u64,
    pub(super) ledger: CallerLedger,
    pub(super) faults: Vec<ScheduledFault>,
    pub(super) none_panicked: bool,
}

impl Measurements {
    /// The part in time of each second of load, from two seconds before the first fault.
    fn curve(&self) -> Vec<f64> {
        let buckets = self.buckets.get(CURVE_FROM..).unwrap_or(&[]);
        buckets
            .chunks(BUCKETS_PER_SECOND)
            .map(|second| (in_time_share(second) * 1_000.0).round() / 1_000.0)
            .collect()
    }

    /// What is reported of this build as of another.
    pub(super) fn figures(&self) -> Value {
        json!({"full_service_ms": self.full_ms, "floor_ms": self.floor_ms, "in_time_before": self.before,
            "load_before": self.load, "in_time_after": self.after, "attempts_peak_ratio": self.attempts_peak,
            "calls_below_peak_ratio": self.calls_peak, "no_final_answer": self.unanswered,
            "answered_twice": self.ledger.answered_twice, "effects_twice": self.repeated_effects,
            "stale_decisions": self.stale, "left_processes": self.left, "curve": self.curve()})
    }
}
