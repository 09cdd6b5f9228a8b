//! Faults that a seed selects.

use super::timing::{CHANGE_INTERVAL_MS, VOTERS};
use crate::fleet::fault_script::{FaultKind, ScheduledFault};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const SEED_MASK: u64 = 0xa9ee;

/// Faults that a seed selects; their times count from the first change.
pub(super) struct FaultPlan {
    /// Name in reports.
    pub(super) name: &'static str,
    /// Faults in the order of their times.
    pub(super) faults: Vec<ScheduledFault>,
}

/// Returns the faults that the seed selects.
pub(super) fn generate_faults(nodes: usize, seed: u64) -> FaultPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let (from, to) = (CHANGE_INTERVAL_MS - 700, CHANGE_INTERVAL_MS * 5 - 500);
    let other = rng.random_range(VOTERS.len()..nodes);
    let voter = rng.random_range(0..VOTERS.len());
    let isolate = |group: &[usize]| {
        let rest = (0..nodes).filter(|n| !group.contains(n)).collect();
        vec![
            ScheduledFault::new(from, FaultKind::GossipPartition(vec![group.to_vec(), rest]), &[]),
            ScheduledFault::new(to, FaultKind::GossipHeal, &[]),
        ]
    };
    let (name, faults) = match seed % 7 {
        0 => ("none", vec![]),
        1 => ("one cut off", isolate(&[other])),
        2 => ("a keeper cut off", isolate(&[voter])),
        3 => ("keepers cut from the rest", isolate(&VOTERS)),
        4 => ("keepers killed in turns", restart_voters_in_turns(from)),
        5 => {
            let faults = vec![
                ScheduledFault::new(from, FaultKind::Pause, &[other]),
                ScheduledFault::new(to, FaultKind::Resume, &[other]),
            ];
            ("a holder paused", faults)
        }
        _ => {
            let faults = vec![
                ScheduledFault::new(from, FaultKind::Kill, &VOTERS),
                ScheduledFault::new(from + 800, FaultKind::Start, &VOTERS),
            ];
            ("all keepers killed", faults)
        }
    };
    FaultPlan { name, faults }
}

fn restart_voters_in_turns(from: u64) -> Vec<ScheduledFault> {
    let restart = |(i, voter): (usize, &usize)| {
        let at = from + i as u64 * 2_500;
        [
            ScheduledFault::new(at, FaultKind::Kill, &[*voter]),
            ScheduledFault::new(at + 900, FaultKind::Start, &[*voter]),
        ]
    };
    VOTERS.iter().enumerate().flat_map(restart).collect()
}
