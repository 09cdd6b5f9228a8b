//! Measurements of one run.

use super::faults::FIRST_FAULT_MS;
use crate::fleet::callers::{in_time_share, Bucket, CallerLedger, BUCKET_MS};
use crate::fleet::fault_script::ScheduledFault;
use serde_json::{json, Value};

const BUCKETS_PER_SECOND: usize = 10;
/// First bucket of the reported curve: two seconds before the first fault.
const CURVE_FIRST_BUCKET: usize = (FIRST_FAULT_MS / BUCKET_MS) as usize - 2 * BUCKETS_PER_SECOND;

/// Measurements of one run.
pub(super) struct Measurements {
    /// Time buckets since the start of the load.
    pub(super) buckets: Vec<Bucket>,
    /// Share of criticality answered in time before the first fault.
    pub(super) in_time_before: f64,
    /// Share of criticality answered in time after the recovery.
    pub(super) in_time_after: f64,
    /// Share of all cores that runs used before the first fault, according to the agents.
    pub(super) load: f64,
    pub(super) unanswered: usize,
    /// Time from the start of the load to the last fault.
    pub(super) last_fault_ms: u64,
    /// Number of calls that the upstream rejected.
    pub(super) upstream_rejections: u64,
    /// Time from the last fault until service was full again.
    pub(super) recovery_ms: Option<u64>,
    /// Lower bound of the recovery time.
    pub(super) min_recovery_ms: u64,
    /// Largest number of attempts in a second, relative to the rate before the first fault.
    pub(super) attempts_peak: f64,
    /// Largest number of calls to the upstream in a second, relative to its capacity.
    pub(super) calls_peak: f64,
    /// Number of decisions that only an outdated value explains.
    pub(super) stale_decisions: u64,
    pub(super) remaining_processes: usize,
    pub(super) repeated_effects: u64,
    pub(super) reports_peak: u32,
    pub(super) snapshots_failed: u64,
    pub(super) ledger: CallerLedger,
    pub(super) faults: Vec<ScheduledFault>,
    pub(super) none_panicked: bool,
}

impl Measurements {
    /// Returns the share answered in time for each second of load, from two seconds before the first fault.
    fn curve(&self) -> Vec<f64> {
        let buckets = self.buckets.get(CURVE_FIRST_BUCKET..).unwrap_or(&[]);
        buckets
            .chunks(BUCKETS_PER_SECOND)
            .map(|second| (in_time_share(second) * 1_000.0).round() / 1_000.0)
            .collect()
    }

    /// Returns the figures that are reported for this build and for another.
    pub(super) fn figures(&self) -> Value {
        json!({"full_service_ms": self.recovery_ms, "floor_ms": self.min_recovery_ms,
            "in_time_before": self.in_time_before, "load_before": self.load,
            "in_time_after": self.in_time_after, "attempts_peak_ratio": self.attempts_peak,
            "calls_below_peak_ratio": self.calls_peak, "no_final_answer": self.unanswered,
            "answered_twice": self.ledger.answered_twice, "effects_twice": self.repeated_effects,
            "stale_decisions": self.stale_decisions, "left_processes": self.remaining_processes,
            "curve": self.curve()})
    }
}
