//! How the scenarios of a fleet are played.

use clap::ValueEnum;
use std::path::PathBuf;

/// What happens to the fleet in `fleet-return`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum OutageKind {
    /// All are killed within a moment and start again
    All,
    /// Seven in ten are, while the rest carry on; for odd seeds again while they are still warming
    Most,
    /// One after the other leaves and starts again, faster than they warm up
    Rolling,
    /// All are killed, and their state is lost, swapped, torn, old or another's
    StateLost,
    /// The upstream is away, and comes back empty and at a third of its speed
    #[value(name = "below-lost")]
    UpstreamLost,
    /// Some stand still for ten seconds, or start anew beside an agent that goes on, or lose a way of their link to it
    #[value(name = "odd")]
    PartialFailure,
}

impl OutageKind {
    /// What it is called in reports.
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

/// How a scenario of a fleet is played.
#[derive(Clone)]
pub struct FleetOptions {
    /// Seed of all random draws.
    pub seed: u64,
    /// What happens, instead of what the seed draws.
    pub kind: Option<OutageKind>,
    /// Processes.
    pub nodes: usize,
    /// Faults written by hand, instead of what the seed draws.
    pub script: Option<PathBuf>,
    /// Where the curve of service is drawn, as SVG.
    pub plot: Option<PathBuf>,
    /// Another build.
    pub other: Option<PathBuf>,
    /// Seconds after which it ends; by default once service is full again.
    pub seconds: Option<u64>,
}
