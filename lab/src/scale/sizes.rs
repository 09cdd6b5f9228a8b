//! What the scenarios of one process are played at.

/// What the scenarios of one process are played at.
#[derive(clap::Args, Clone, Debug)]
pub struct Sizes {
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
    /// Times that all is played, in turns with the other build: medians are reported
    #[arg(long, global = true)]
    pub turns: Option<usize>,
    /// The small form for CI: counts, bytes and rules, no times
    #[arg(long, global = true)]
    pub quick: bool,
    /// What is over budget breaks a rule
    #[arg(long, global = true)]
    pub budgets: bool,
}
