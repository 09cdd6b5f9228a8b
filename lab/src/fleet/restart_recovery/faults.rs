//! Faults of an outage kind that a seed selects.

use crate::fleet::fault_script::{FaultKind, ScheduledFault, StateFault};
use crate::fleet::options::OutageKind;
use crate::fleet::workload::WARM_UP;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Outage kinds, in the order in which seeds select them.
pub(super) const KINDS: [OutageKind; 6] = [
    OutageKind::All,
    OutageKind::Most,
    OutageKind::Rolling,
    OutageKind::StateLost,
    OutageKind::UpstreamLost,
    OutageKind::PartialFailure,
];
/// Time from the start of the load to the first fault.
pub(super) const FIRST_FAULT_MS: u64 = 12_000;
const ROLLING_DOWNTIME_MS: u64 = 700;
const SEED_MASK: u64 = 0x5eed;

/// Returns the offered load as a share of all cores.
pub(super) fn load(kind: OutageKind, seed: u64) -> f64 {
    match kind {
        OutageKind::All | OutageKind::StateLost => 0.8,
        OutageKind::Most if seed.is_multiple_of(2) => 0.6,
        OutageKind::Most => 0.9,
        OutageKind::Rolling | OutageKind::PartialFailure => 0.6,
        OutageKind::UpstreamLost => 0.7,
    }
}

/// Returns the faults in the order of their times.
pub(super) fn generate_faults(kind: OutageKind, nodes: usize, seed: u64) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let all: Vec<usize> = (0..nodes).collect();
    let downtime_ms = rng.random_range(300..700);
    let mut faults = match kind {
        OutageKind::All => restart_all(&all, downtime_ms, seed),
        OutageKind::Most => restart_most(all, downtime_ms, seed, &mut rng),
        OutageKind::Rolling => restart_in_turns(&all),
        OutageKind::StateLost => lose_state(&all, downtime_ms, seed),
        OutageKind::UpstreamLost => lose_upstream(&mut rng),
        OutageKind::PartialFailure => partial_failure(all, seed, &mut rng),
    };
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn restart_all(all: &[usize], downtime_ms: u64, seed: u64) -> Vec<ScheduledFault> {
    let restart_at_ms = FIRST_FAULT_MS + downtime_ms;
    let mut faults = vec![
        ScheduledFault::new(FIRST_FAULT_MS, FaultKind::Kill, all),
        ScheduledFault::new(restart_at_ms, FaultKind::Start, all),
    ];
    if seed.is_multiple_of(3) {
        faults.push(ScheduledFault::new(restart_at_ms + 50, FaultKind::CallersReconnect, &[]));
    }
    faults
}

fn restart_most(mut some: Vec<usize>, downtime_ms: u64, seed: u64, rng: &mut StdRng) -> Vec<ScheduledFault> {
    let count = (some.len() * 7).div_ceil(10);
    some.shuffle(rng);
    some.truncate(count);
    let restart_at_ms = FIRST_FAULT_MS + downtime_ms;
    let mut faults = vec![
        ScheduledFault::new(FIRST_FAULT_MS, FaultKind::Kill, &some),
        ScheduledFault::new(restart_at_ms, FaultKind::Start, &some),
    ];
    if seed % 2 == 1 {
        let again = restart_at_ms + rng.random_range(500..2_000);
        faults.push(ScheduledFault::new(again, FaultKind::Kill, &some));
        faults.push(ScheduledFault::new(again + downtime_ms, FaultKind::Start, &some));
    }
    faults
}

fn restart_in_turns(all: &[usize]) -> Vec<ScheduledFault> {
    let restart = |(i, n): (usize, &usize)| {
        let at = FIRST_FAULT_MS + i as u64 * WARM_UP.as_millis() as u64 / 4;
        [
            ScheduledFault::new(at, FaultKind::Terminate, &[*n]),
            ScheduledFault::new(at + ROLLING_DOWNTIME_MS, FaultKind::Start, &[*n]),
        ]
    };
    all.iter().enumerate().flat_map(restart).collect()
}

fn lose_state(all: &[usize], downtime_ms: u64, seed: u64) -> Vec<ScheduledFault> {
    let damages = [
        StateFault::Lost,
        StateFault::Truncated,
        StateFault::Outdated,
        StateFault::OtherDeployment,
        StateFault::Unwritable,
    ];
    let damage = &damages[seed as usize / KINDS.len() % damages.len()];
    let (half, rest) = all.split_at(all.len() / 2);
    let mut faults = vec![
        ScheduledFault::new(FIRST_FAULT_MS, FaultKind::Kill, all),
        ScheduledFault::new(FIRST_FAULT_MS + 50, FaultKind::State(damage.clone()), half),
    ];
    if let [a, b, ..] = rest {
        let swap = FaultKind::State(StateFault::Swap(*b));
        faults.push(ScheduledFault::new(FIRST_FAULT_MS + 60, swap, &[*a]));
    }
    faults.push(ScheduledFault::new(FIRST_FAULT_MS + downtime_ms, FaultKind::Start, all));
    faults
}

fn lose_upstream(rng: &mut StdRng) -> Vec<ScheduledFault> {
    let restored_at_ms = FIRST_FAULT_MS + rng.random_range(5_000..7_000);
    vec![
        ScheduledFault::new(FIRST_FAULT_MS, FaultKind::UpstreamDown, &[]),
        ScheduledFault::new(restored_at_ms, FaultKind::UpstreamRestored(0.33), &[]),
        // The upstream warms up and reaches full speed three seconds later.
        ScheduledFault::new(restored_at_ms + 3_000, FaultKind::UpstreamRestored(1.0), &[]),
    ]
}

/// Returns the faults of a partial failure: a pause, a crash of the process alone, a stall of one or both directions
/// of the link to the agent, or an outage of the name service.
fn partial_failure(mut some: Vec<usize>, seed: u64, rng: &mut StdRng) -> Vec<ScheduledFault> {
    let count = (some.len() / 4).max(1);
    some.shuffle(rng);
    some.truncate(count);
    let (first, last, duration_ms) = match seed / KINDS.len() as u64 % 6 {
        0 => (FaultKind::Pause, FaultKind::Resume, 10_000),
        1 => (FaultKind::Crash, FaultKind::Crash, 1_500),
        2 => (FaultKind::AgentInboundStalled, FaultKind::AgentLinkRestored, 2_500),
        3 => (FaultKind::AgentOutboundStalled, FaultKind::AgentLinkRestored, 2_500),
        4 => (FaultKind::AgentLinkStalled, FaultKind::AgentLinkRestored, 2_500),
        _ => (FaultKind::NameServiceDown, FaultKind::NameServiceRestored, 5_000),
    };
    let mut faults = Vec::new();
    if first == FaultKind::NameServiceDown {
        faults.push(ScheduledFault::new(FIRST_FAULT_MS, FaultKind::AgentLinkDelay(20), &some));
        faults.push(ScheduledFault::new(FIRST_FAULT_MS + duration_ms, FaultKind::AgentLinkDelay(0), &some));
        some.clear();
    }
    faults.push(ScheduledFault::new(FIRST_FAULT_MS, first, &some));
    faults.push(ScheduledFault::new(FIRST_FAULT_MS + duration_ms, last, &some));
    faults
}

#[cfg(test)]
#[path = "tests/faults.rs"]
mod tests;
