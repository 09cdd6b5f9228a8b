//! Recovery of service, measured as the share of the offered criticality that was answered in time.

use crate::fleet::callers::{in_time_share, Bucket, BUCKET_MS};
use crate::fleet::options::OutageKind;
use crate::fleet::workload::COLD_START;
use crate::time::ms;

const BUCKETS_PER_SECOND: usize = 10;
/// Share of the service before the fault from which service counts as full.
const FULL_SERVICE_SHARE: f64 = 0.95;
/// Consecutive seconds for which service has to be full.
const MIN_FULL_SECONDS: usize = 10;
/// Factor by which the capacity of the cores has to exceed the load: 5% headroom for its variation.
const LOAD_HEADROOM_FACTOR: f64 = 1.05;
/// Lower bound that is used if cold cores do not sustain the load within this time.
const RECOVERY_SEARCH_LIMIT_MS: u64 = 20_000;

/// Returns the start of the first [`MIN_FULL_SECONDS`] consecutive seconds of full service, in milliseconds since the
/// start of the ledger.
pub(super) fn full_service_start_ms(buckets: &[Bucket], from_ms: u64, before: f64) -> Option<u64> {
    let first = (from_ms / BUCKET_MS) as usize;
    (first..buckets.len()).find_map(|start| {
        let seconds = buckets.get(start..start + MIN_FULL_SECONDS * BUCKETS_PER_SECOND)?;
        let full = seconds
            .chunks(BUCKETS_PER_SECOND)
            .all(|second| in_time_share(second) >= FULL_SERVICE_SHARE * before);
        full.then_some(start as u64 * BUCKET_MS)
    })
}

/// Returns the lower bound of the recovery time: the time after a restart until cold cores sustain the load.
pub(super) fn min_recovery_ms(kind: OutageKind, nodes: usize, restarted: usize, load: f64) -> u64 {
    let warm = (nodes - restarted) as f64 / nodes as f64;
    let cold = restarted as f64 / nodes as f64;
    let fits = |t: u64| warm + cold * COLD_START.speed(ms(t)) >= load * LOAD_HEADROOM_FACTOR;
    match kind {
        // At a third of its speed the upstream does not sustain the load; it is slow for three seconds.
        OutageKind::UpstreamLost => 3_000,
        // For up to two seconds, lists contain backends that are down and lack backends that are up again.
        OutageKind::Rolling | OutageKind::PartialFailure => 2_000,
        _ => (0..RECOVERY_SEARCH_LIMIT_MS).step_by(50).find(|t| fits(*t)).unwrap_or(RECOVERY_SEARCH_LIMIT_MS),
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
