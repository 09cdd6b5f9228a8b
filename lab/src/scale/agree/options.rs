//! How the scenario is played.

use clap::ValueEnum;

/// What goes wrong while changes are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ScenarioKind {
    /// Nothing
    #[value(name = "quiet")]
    NoFaults,
    /// Eight replicas die at once, and stay dead
    #[value(name = "dead")]
    ReplicasKilled,
    /// Eight replicas are cut off from all, and act on until their leases end
    #[value(name = "cut")]
    ReplicasIsolated,
    /// One datagram in ten is lost
    #[value(name = "loss")]
    MessageLoss,
    /// The voter that leads is killed, and comes back with its disk after twenty seconds
    #[value(name = "keeper")]
    LeaderKilled,
    /// A voter that does not lead loses its disk and starts without anything
    #[value(name = "disk")]
    DiskLost,
    /// In place of changes in turns: all replicas propose something at once, in two fragments each
    #[value(name = "crowd")]
    ConcurrentProposals,
}

/// What is played, on the command line.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct AgreeOptions {
    /// Nodes beside the three voters
    #[arg(long = "holders", value_name = "HOLDERS", default_value_t = 40)]
    pub replicas: usize,
    /// Entries of the list that is agreed on
    #[arg(long, default_value_t = 10_000)]
    pub entries: usize,
    /// Few changes and nothing that differs from run to run
    #[arg(skip)]
    pub quick: bool,
    /// Seconds between changes: 4 is ten times as many as on an average day
    #[arg(long = "every", value_name = "EVERY", default_value_t = 4)]
    pub change_interval_s: u64,
    /// Computing takes no virtual time
    #[arg(long = "free")]
    pub ignore_cpu_time: bool,
}

impl AgreeOptions {
    /// Whether a node's computing takes virtual time; nothing is the same twice then.
    pub(super) fn charges_cpu(&self) -> bool {
        !(self.quick || self.ignore_cpu_time)
    }
}
