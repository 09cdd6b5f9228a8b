//! Service by tenths of a second: what part of the criticality that was called for was answered in time.

use crate::fleet::callers::{in_time_share, Bucket, BUCKET_MS};
use crate::fleet::options::OutageKind;
use crate::fleet::workload::COLD_START;
use crate::time::ms;

const BUCKETS_PER_SECOND: usize = 10; // of a second
const FULL: f64 = 0.95; // of the service before
const FULL_SECONDS: usize = 10; // in a row that service has to be full
const HEADROOM: f64 = 1.05; // what is called for has to fit, with a twentieth to spare for its variation
const LONGEST_FLOOR_MS: u64 = 20_000;

/// The first tenth from which so many whole seconds in a row are full; in ms.
pub(super) fn full_from(buckets: &[Bucket], from_ms: u64, before: f64) -> Option<u64> {
    let first = (from_ms / BUCKET_MS) as usize;
    (first..buckets.len()).find_map(|start| {
        let seconds = buckets.get(start..start + FULL_SECONDS * BUCKETS_PER_SECOND)?;
        let full = seconds.chunks(BUCKETS_PER_SECOND).all(|second| in_time_share(second) >= FULL * before);
        full.then_some(start as u64 * BUCKET_MS)
    })
}

/// The time until cold cores bear the load, in ms after a start: what nobody can be quicker than.
pub(super) fn recovery_floor_ms(kind: OutageKind, nodes: usize, restarted: usize, load: f64) -> u64 {
    let warm = (nodes - restarted) as f64 / nodes as f64;
    let cold = restarted as f64 / nodes as f64;
    let fits = |t: u64| warm + cold * COLD_START.speed(ms(t)) >= load * HEADROOM;
    match kind {
        // At a third of its speed the upstream does not bear what is called for; it is slow for three seconds.
        OutageKind::UpstreamLost => 3_000,
        // Lists name who is gone, and leave out who is back, for up to two seconds.
        OutageKind::Rolling | OutageKind::PartialFailure => 2_000,
        _ => (0..LONGEST_FLOOR_MS).step_by(50).find(|t| fits(*t)).unwrap_or(LONGEST_FLOOR_MS),
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
