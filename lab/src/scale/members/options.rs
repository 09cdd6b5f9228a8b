//! How the scenario is played.

use super::simulation::{MILLISECOND, SECOND};
use asterrill_membership::MembershipConfig;
use clap::ValueEnum;
use std::ops::RangeInclusive;

/// What happens once all know each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ScenarioKind {
    /// Nothing: the figures of calm alone
    Calm,
    /// Three deaths, one after the other, and the wait until what the first had is taken
    Quiet,
    /// One restart each 45 s over the fleet, every third without a word
    Restarts,
    /// 64 of 510 die at once and are back at once
    Zone,
    /// The two halves hear nothing of each other for longer than the transition
    Cut,
}

const FLEET_SIZES: RangeInclusive<usize> = 4..=2_000; // that are played
const MAX_LOSS_RATE: f64 = 0.5;

/// How it is played.
#[derive(Clone, Copy)]
pub struct MembersOptions {
    /// Members.
    pub nodes: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// What happens.
    pub kind: ScenarioKind,
    /// Of 1, the part of datagrams that get lost.
    pub loss: f64,
    /// The small form for CI: what is the same each time.
    pub quick: bool,
}

impl MembersOptions {
    /// Options within what can be played.
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

/// The intervals that operators have if they set none; a newcomer counts after two seconds, so that a run is short.
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
