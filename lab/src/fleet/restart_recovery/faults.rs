//! The faults of a kind, drawn from the seed.

use crate::fleet::fault_script::{FaultKind, ScheduledFault, StateFault};
use crate::fleet::options::OutageKind;
use crate::fleet::workload::WARM_UP;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// The kinds, in the order in which seeds draw them.
pub(super) const KINDS: [OutageKind; 6] = [
    OutageKind::All,
    OutageKind::Most,
    OutageKind::Rolling,
    OutageKind::StateLost,
    OutageKind::UpstreamLost,
    OutageKind::PartialFailure,
];
/// Milliseconds of load at which the first fault comes.
pub(super) const FIRST_FAULT_MS: u64 = 12_000;
const ROLLING_DOWN_MS: u64 = 700; // that each process is down
const SEED_MASK: u64 = 0x5eed;

/// The part of all cores that is called for.
pub(super) fn load(kind: OutageKind, seed: u64) -> f64 {
    match kind {
        OutageKind::All | OutageKind::StateLost => 0.8,
        OutageKind::Most if seed.is_multiple_of(2) => 0.6,
        OutageKind::Most => 0.9,
        OutageKind::Rolling | OutageKind::PartialFailure => 0.6,
        OutageKind::UpstreamLost => 0.7,
    }
}

/// The faults, in their order.
pub(super) fn draw(kind: OutageKind, nodes: usize, seed: u64) -> Vec<ScheduledFault> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let all: Vec<usize> = (0..nodes).collect();
    let down_ms = rng.random_range(300..700);
    let mut faults = match kind {
        OutageKind::All => restart_all(&all, down_ms, seed),
        OutageKind::Most => restart_most(all, down_ms, seed, &mut rng),
        OutageKind::Rolling => restart_in_turns(&all),
        OutageKind::StateLost => lose_state(&all, down_ms, seed),
        OutageKind::UpstreamLost => lose_upstream(&mut rng),
        OutageKind::PartialFailure => odd(all, seed, &mut rng),
    };
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

fn restart_all(all: &[usize], down_ms: u64, seed: u64) -> Vec<ScheduledFault> {
    let back = FIRST_FAULT_MS + down_ms;
    let mut faults = vec![
        ScheduledFault::new(FIRST_FAULT_MS, FaultKind::Kill, all),
        ScheduledFault::new(back, FaultKind::Start, all),
    ];
    if seed.is_multiple_of(3) {
        faults.push(ScheduledFault::new(back + 50, FaultKind::CallersReconnect, &[]));
    }
    faults
}

fn restart_most(mut some: Vec<usize>, down_ms: u64, seed: u64, rng: &mut StdRng) -> Vec<ScheduledFault> {
    let count = (some.len() * 7).div_ceil(10);
    some.shuffle(rng);
    some.truncate(count);
    let back = FIRST_FAULT_MS + down_ms;
    let mut faults = vec![
        ScheduledFault::new(FIRST_FAULT_MS, FaultKind::Kill, &some),
        ScheduledFault::new(back, FaultKind::Start, &some),
    ];
    if seed % 2 == 1 {
        let again = back + rng.random_range(500..2_000);
        faults.push(ScheduledFault::new(again, FaultKind::Kill, &some));
        faults.push(ScheduledFault::new(again + down_ms, FaultKind::Start, &some));
    }
    faults
}

fn restart_in_turns(all: &[usize]) -> Vec<ScheduledFault> {
    let restart = |(i, n): (usize, &usize)| {
        let at = FIRST_FAULT_MS + i as u64 * WARM_UP.as_millis() as u64 / 4;
        [
            ScheduledFault::new(at, FaultKind::Terminate, &[*n]),
            ScheduledFault::new(at + ROLLING_DOWN_MS, FaultKind::Start, &[*n]),
        ]
    };
    all.iter().enumerate().flat_map(restart).collect()
}

fn lose_state(all: &[usize], down_ms: u64, seed: u64) -> Vec<ScheduledFault> {
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
    faults.push(ScheduledFault::new(FIRST_FAULT_MS + down_ms, FaultKind::Start, all));
    faults
}

fn lose_upstream(rng: &mut StdRng) -> Vec<ScheduledFault> {
    let back = FIRST_FAULT_MS + rng.random_range(5_000..7_000);
    vec![
        ScheduledFault::new(FIRST_FAULT_MS, FaultKind::UpstreamDown, &[]),
        ScheduledFault::new(back, FaultKind::UpstreamRestored(0.33), &[]),
        // It warms up: full speed again after a while.
        ScheduledFault::new(back + 3_000, FaultKind::UpstreamRestored(1.0), &[]),
    ]
}

/// A pause, the process alone, the link to the agent in each direction and both, or the name service.
fn odd(mut some: Vec<usize>, seed: u64, rng: &mut StdRng) -> Vec<ScheduledFault> {
    let count = (some.len() / 4).max(1);
    some.shuffle(rng);
    some.truncate(count);
    let (first, last, span_ms) = match seed / KINDS.len() as u64 % 6 {
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
        faults.push(ScheduledFault::new(FIRST_FAULT_MS + span_ms, FaultKind::AgentLinkDelay(0), &some));
        some.clear();
    }
    faults.push(ScheduledFault::new(FIRST_FAULT_MS, first, &some));
    faults.push(ScheduledFault::new(FIRST_FAULT_MS + span_ms, last, &some));
    faults
}

#[cfg(test)]
#[path = "tests/faults.rs"]
mod tests;
