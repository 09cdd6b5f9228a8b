//! Options of the fleet scenarios.

use clap::ValueEnum;
use std::path::PathBuf;

/// The outage that `fleet-return` injects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutageKind {
    /// All processes are killed at once and restarted
    All,
    /// Seven in ten processes are killed at once and restarted; odd seeds kill them again during the warm-up
    Most,
    /// Processes shut down and restart one after the other, faster than they warm up
    Rolling,
    /// All processes are killed, and their state is lost, swapped, truncated, outdated or of another deployment
    StateLost,
    /// The upstream is unreachable, then returns without its calls and at a third of its speed
    #[value(name = "below-lost")]
    UpstreamLost,
    /// Some processes pause for ten seconds, restart while their agent keeps running, lose one or both directions of
    /// the link to the agent, or lose the name service
    #[value(name = "odd")]
    PartialFailure,
}

impl OutageKind {
    /// Returns the name in reports.
    pub fn label(self) -> &'static str {
        match self {
            OutageKind::All => "all",
            OutageKind::Most => "most",
            OutageKind::Rolling => "rolling",
            OutageKind::StateLost => "statelost",
            OutageKind::UpstreamLost => "belowlost",
            OutageKind::PartialFailure => "odd",
        }
    }
}

/// Options of a fleet scenario.
#[derive(Clone)]
pub struct FleetOptions {
    /// Seed of the random number generators.
    pub seed: u64,
    /// The outage, in place of the one that the seed selects.
    pub kind: Option<OutageKind>,
    /// Number of processes.
    pub nodes: usize,
    /// Path of a fault script, in place of the faults that the seed selects.
    pub script: Option<PathBuf>,
    /// Path of the SVG plot of service over time.
    pub plot: Option<PathBuf>,
    /// Path of another build of `asterrilld`.
    pub other: Option<PathBuf>,
    /// Duration in seconds; by default the scenario ends once service has recovered.
    pub seconds: Option<u64>,
}
