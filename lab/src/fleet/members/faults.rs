//! Faults that a seed selects.

use crate::fleet::fault_script::{FaultKind, ScheduledFault};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// Time from the start of the load to the first fault.
pub(super) const FIRST_FAULT_MS: u64 = 9_000;
/// Time that a fault lasts beyond the documented transition time.
const AFTER_TRANSITION_MS: u64 = 3_000;
const SEED_MASK: u64 = 0xfee1;

/// Faults that a seed or a script selects.
pub(super) struct FaultPlan {
    /// Name in reports.
    pub(super) name: &'static str,
    /// Faults in the order of their times.
    pub(super) faults: Vec<ScheduledFault>,
}

fn partition(groups: &[&[usize]]) -> FaultKind {
    FaultKind::GossipPartition(groups.iter().map(|group| group.to_vec()).collect())
}

/// Start and end of faults, in milliseconds since the start of the load.
struct Span {
    from: u64,
    to: u64,
}

impl Span {
    /// Returns network faults that last for this time span.
    fn network(&self, kinds: Vec<FaultKind>) -> Vec<ScheduledFault> {
        let mut faults: Vec<ScheduledFault> =
            kinds.into_iter().map(|kind| ScheduledFault::new(self.from, kind, &[])).collect();
        faults.push(ScheduledFault::new(self.to, FaultKind::GossipHeal, &[]));
        faults
    }

    /// Returns a fault of some members that lasts for this time span.
    fn members(&self, first: FaultKind, nodes: &[usize], last: FaultKind) -> Vec<ScheduledFault> {
        let healed: &[usize] = if last == FaultKind::GossipHeal { &[] } else { nodes };
        vec![ScheduledFault::new(self.from, first, nodes), ScheduledFault::new(self.to, last, healed)]
    }
}

/// Returns the faults that the seed selects; `transition_ms` is the documented time until the share of a lost member
/// may be taken over.
pub(super) fn generate_faults(nodes: usize, seed: u64, transition_ms: u64) -> FaultPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let mut all: Vec<usize> = (0..nodes).collect();
    all.shuffle(&mut rng);
    let span = Span { from: FIRST_FAULT_MS, to: FIRST_FAULT_MS + transition_ms + AFTER_TRANSITION_MS };
    let few = (nodes / 5).max(1);
    let (one, some) = (&all[..1], &all[..few]);
    let (name, faults) = match seed % 16 {
        0 => ("halves", span.network(vec![partition(&[&all[..nodes / 2], &all[nodes / 2..]])])),
        1 => ("few apart", span.network(vec![partition(&[some, &all[few..]])])),
        2 => {
            let (a, b) = (nodes / 3, 2 * nodes / 3);
            ("three parts", span.network(vec![partition(&[&all[..a], &all[a..b], &all[b..]])]))
        }
        3 => ("one hears nobody", span.members(FaultKind::GossipInboundBlocked, one, FaultKind::GossipHeal)),
        4 => ("nobody hears one", span.members(FaultKind::GossipOutboundBlocked, one, FaultKind::GossipHeal)),
        5 => ("a bridge", span.network(vec![partition(&[&all[..=nodes / 2], &all[nodes / 2..]])])),
        6 => ("loss of 5", span.network(vec![FaultKind::GossipLoss(5)])),
        7 => {
            let kinds =
                vec![FaultKind::GossipLoss(15), FaultKind::GossipDuplication(30), FaultKind::GossipDelay(20)];
            ("loss of 15, doubled, overtaking", span.network(kinds))
        }
        8 => {
            let short = Span { to: span.from + 700, ..span };
            ("a short pause", short.members(FaultKind::Pause, one, FaultKind::Resume))
        }
        9 => ("a long pause", span.members(FaultKind::Pause, some, FaultKind::Resume)),
        10 => ("a fifth killed", span.members(FaultKind::Kill, some, FaultKind::Start)),
        11 => {
            let short = Span { to: span.from + 600, ..span };
            ("all killed", short.members(FaultKind::Kill, &all, FaultKind::Start))
        }
        12 => ("rolling", restart_in_turns(&all, span.from, &mut rng)),
        13 => {
            let short = Span { to: span.from + 1_500, ..span };
            ("a flood", short.members(FaultKind::GossipFlood, some, FaultKind::GossipHeal))
        }
        14 => (
            "one that does no work",
            span.members(FaultKind::AgentLinkStalled, one, FaultKind::AgentLinkRestored),
        ),
        _ => ("cut, pause and death", partition_pause_and_kill(&all, few, &span)),
    };
    FaultPlan { name, faults }
}

fn restart_in_turns(all: &[usize], from: u64, rng: &mut StdRng) -> Vec<ScheduledFault> {
    let restart = |(i, n): (usize, &usize)| {
        let at = from + i as u64 * rng.random_range(900..1_100);
        [
            ScheduledFault::new(at, FaultKind::Terminate, &[*n]),
            ScheduledFault::new(at + 700, FaultKind::Start, &[*n]),
        ]
    };
    let mut faults: Vec<ScheduledFault> = all.iter().enumerate().flat_map(restart).collect();
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

/// Returns a partition during which one member is paused and another is killed.
fn partition_pause_and_kill(all: &[usize], few: usize, span: &Span) -> Vec<ScheduledFault> {
    let (paused, killed) = (&all[few..=few], &all[all.len() - 1..]);
    let mut faults = span.network(vec![partition(&[&all[..few], &all[few..]])]);
    faults.push(ScheduledFault::new(span.from + 1_500, FaultKind::Pause, paused));
    faults.push(ScheduledFault::new(span.from + 3_500, FaultKind::Resume, paused));
    faults.push(ScheduledFault::new(span.from + 2_000, FaultKind::Kill, killed));
    faults.push(ScheduledFault::new(span.to, FaultKind::Start, killed));
    faults.sort_by_key(|fault| fault.at_ms);
    faults
}

#[cfg(test)]
#[path = "tests/faults.rs"]
mod tests;
