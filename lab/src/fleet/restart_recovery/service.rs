//! Service by tenths of a second: what part of the criticality that was called for was answered in time.

use crate::fleet::callers::{in_time, Tenth, TENTH_MS};
use crate::fleet::options::Kind;
use crate::fleet::workload::COLD;
use crate::time::ms;

const TENTHS: usize = 10; // of a second
const FULL: f64 = 0.95; // of the service before
const FULL_SECONDS: usize = 10; // in a row that service has to be full
const HEADROOM: f64 = 1.05; // what is called for has to fit, with a twentieth to spare for its variation
const LONGEST_FLOOR_MS: u64 = 20_000;

/// The first tenth from which so many whole seconds in a row are full; in ms.
pub(super) fn full_from(tenths: &[Tenth], from_ms: u64, before: f64) -> Option<u64> {
    let first = (from_ms / TENTH_MS) as usize;
    (first..tenths.len()).find_map(|start| {
        let seconds = tenths.get(start..start + FULL_SECONDS * TENTHS)?;
        let full = seconds.chunks(TENTHS).all(|second| in_time(second) >= FULL * before);
        full.then_some(start as u64 * TENTH_MS)
    })
}

/// The time until cold cores bear the load, in ms after a start: what nobody can be quicker than.
pub(super) fn recovery_floor_ms(kind: Kind, nodes: usize, restarted: usize, load: f64) -> u64 {
    let warm = (nodes - restarted) as f64 / nodes as f64;
    let cold = restarted as f64 / nodes as f64;
    let fits = |t: u64| warm + cold * COLD.speed(ms(t)) >= load * HEADROOM;
    match kind {
        // At a third of its speed the upstream does not bear what is called for; it is slow for three seconds.
        Kind::UpstreamLost => 3_000,
        // Lists name who is gone, and leave out who is back, for up to two seconds.
        Kind::Rolling | Kind::Odd => 2_000,
        _ => (0..LONGEST_FLOOR_MS).step_by(50).find(|t| fits(*t)).unwrap_or(LONGEST_FLOOR_MS),
    }
}

#[cfg(test)]
#[path = "tests/service.rs"]
mod tests;
