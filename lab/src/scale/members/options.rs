//! Options of the scenario.

use super::simulation::{MILLISECOND, SECOND};
use asterrill_membership::MembershipConfig;
use clap::ValueEnum;
use std::ops::RangeInclusive;

/// Events of a run after all members know each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ScenarioKind {
    /// Nothing; only the figures of an idle fleet
    Calm,
    /// Three crashes in sequence, and the wait until the quota of the first crashed member is reassigned
    Quiet,
    /// One restart every 45 s over the fleet, every third without an announcement
    Restarts,
    /// 64 of 510 members crash at the same time and restart at the same time
    Zone,
    /// A partition into two halves that lasts longer than the quota transition
    Cut,
}

/// Numbers of members that can be simulated.
const FLEET_SIZES: RangeInclusive<usize> = 4..=2_000;
const MAX_LOSS_RATE: f64 = 0.5;

/// Options of the scenario.
#[derive(Clone, Copy)]
pub struct MembersOptions {
    /// Number of members.
    pub nodes: usize,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Events of a run after all members know each other.
    pub kind: ScenarioKind,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// The small deterministic form for CI.
    pub quick: bool,
}

impl MembersOptions {
    /// Creates options, with the values limited to supported ranges.
    pub fn new(
        nodes: usize, seed: u64, kind: Option<ScenarioKind>, loss: f64, quick: bool,
    ) -> MembersOptions {
        MembersOptions {
            nodes: nodes.clamp(*FLEET_SIZES.start(), *FLEET_SIZES.end()),
            seed,
            kind: kind.unwrap_or(ScenarioKind::Quiet),
            loss: loss.clamp(0.0, MAX_LOSS_RATE),
            quick,
        }
    }
}

/// Returns the default intervals of operators, but with a join delay of two seconds, so that a run is short.
pub(super) fn default_intervals(nodes: usize) -> MembershipConfig {
    MembershipConfig {
        probe_interval: 200 * MILLISECOND,
        suspicion_timeout: SECOND,
        announce_interval: SECOND,
        join_delay: 2 * SECOND,
        forget_after: 3_600 * SECOND,
        flap_window: 60 * SECOND,
        expected_members: nodes,
    }
}
