//! How the scenario is played.

use super::simulation::{MS, S};
use asterrill_membership::MembershipConfig;
use clap::ValueEnum;
use std::ops::RangeInclusive;

/// What happens once all know each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Kind {
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

const SIZES: RangeInclusive<usize> = 4..=2_000; // that are played
const HIGHEST_LOSS: f64 = 0.5;

/// How it is played.
#[derive(Clone, Copy)]
pub struct MembersOptions {
    /// Members.
    pub nodes: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// What happens.
    pub kind: Kind,
    /// Of 1, the part of datagrams that get lost.
    pub loss: f64,
    /// The small form for CI: what is the same each time.
    pub quick: bool,
}

impl MembersOptions {
    /// Options within what can be played.
    pub fn new(nodes: usize, seed: u64, kind: Option<Kind>, loss: f64, quick: bool) -> MembersOptions {
        MembersOptions {
            nodes: nodes.clamp(*SIZES.start(), *SIZES.end()),
            seed,
            kind: kind.unwrap_or(Kind::Quiet),
            loss: loss.clamp(0.0, HIGHEST_LOSS),
            quick,
        }
    }
}

/// The intervals that operators have if they set none; a newcomer counts after two seconds, so that a run is short.
pub(super) fn default_intervals(nodes: usize) -> MembershipConfig {
    MembershipConfig {
        probe_interval: 200 * MS,
        suspicion_timeout: S,
        announce_interval: S,
        join_delay: 2 * S,
        forget_after: 3_600 * S,
        flap_window: 60 * S,
        expected_members: nodes,
    }
}
