//! Command-line options of the scenarios that measure a single process.

/// Size of the workload of the scenarios that measure a single process, and what they report.
#[derive(clap::Args, Clone, Debug)]
pub struct ScaleOptions {
    /// Methods in the settings
    #[arg(long, global = true, default_value_t = 4_700)]
    pub methods: usize,
    /// Tenants in the settings
    #[arg(long, global = true, default_value_t = 49_000)]
    pub tenants: usize,
    /// Number of changes of a single entry, made one after the other
    #[arg(long, global = true, default_value_t = 200)]
    pub changes: usize,
    /// Number of reloads of the configuration file, each with one changed entry
    #[arg(long, global = true, default_value_t = 20)]
    pub reloads: usize,
    /// Number of times that the measurement is repeated, alternating with the other build; medians are reported
    #[arg(long, global = true)]
    pub turns: Option<usize>,
    /// Run the short form for CI, which checks counts, bytes and rules but no times
    #[arg(long, global = true)]
    pub quick: bool,
    /// Report each figure over its budget as a broken rule
    #[arg(long, global = true)]
    pub budgets: bool,
}
