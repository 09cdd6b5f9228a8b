//! Scale: what one process, a group of them and their agreement cost at the size of the fleet ahead.

pub mod config;
pub mod rig;
pub mod rpc;

/// What the scenarios of one process are played at.
#[derive(clap::Args, Clone, Debug)]
pub struct Arguments {
    /// Methods in the settings
    #[arg(long, global = true, default_value_t = 4_700)]
    pub methods: usize,
    /// Tenants in the settings
    #[arg(long, global = true, default_value_t = 49_000)]
    pub tenants: usize,
    /// Changes of one entry, one after the other
    #[arg(long, global = true, default_value_t = 200)]
    pub changes: usize,
    /// Files read again with one entry changed
    #[arg(long, global = true, default_value_t = 20)]
    pub reloads: usize,
    /// Times that all is played, in turns with the other build: medians are told
    #[arg(long, global = true)]
    pub turns: Option<usize>,
    /// Short spans, for CI: counts, bytes and rules hold, times say little
    #[arg(long, global = true)]
    pub quick: bool,
    /// What is over budget breaks a rule
    #[arg(long, global = true)]
    pub budgets: bool,
}
