//! Options of the scenario.

use clap::ValueEnum;

/// Faults that are injected while changes are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum ScenarioKind {
    /// No faults
    #[value(name = "quiet")]
    NoFaults,
    /// Eight replicas are killed at the same time and stay down
    #[value(name = "dead")]
    ReplicasKilled,
    /// Eight replicas are isolated from all other nodes and continue until their leases expire
    #[value(name = "cut")]
    ReplicasIsolated,
    /// One datagram in ten is lost
    #[value(name = "loss")]
    MessageLoss,
    /// The leader is killed and restarts with its disk after twenty seconds
    #[value(name = "keeper")]
    LeaderKilled,
    /// A voter other than the leader loses its disk and restarts without state
    #[value(name = "disk")]
    DiskLost,
    /// Instead of sequential changes, all replicas propose at the same time, in two fragments each
    #[value(name = "crowd")]
    ConcurrentProposals,
}

/// Options of the scenario on the command line.
#[derive(Clone, Copy, Debug, clap::Args)]
pub struct AgreeOptions {
    /// Number of replicas beside the three voters
    #[arg(long = "holders", value_name = "HOLDERS", default_value_t = 40)]
    pub replicas: usize,
    /// Number of entries of the agreed list
    #[arg(long, default_value_t = 10_000)]
    pub entries: usize,
    /// Few changes, and only figures that are the same in each run of a seed
    #[arg(skip)]
    pub quick: bool,
    /// Seconds between changes; 4 is ten times the rate of an average day
    #[arg(long = "every", value_name = "EVERY", default_value_t = 4)]
    pub change_interval_s: u64,
    /// Do not charge CPU time to virtual time
    #[arg(long = "free")]
    pub ignore_cpu_time: bool,
}

impl AgreeOptions {
    /// Reports whether CPU time of a node takes virtual time. Runs are not deterministic then.
    pub(super) fn charges_cpu(&self) -> bool {
        !(self.quick || self.ignore_cpu_time)
    }
}
