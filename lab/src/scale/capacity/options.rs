//! What the command line says of the capacity page.

use clap::{Args, ValueEnum};
use std::path::PathBuf;

/// What `asterrill-lab capacity` does.
#[derive(Args, Clone, Debug)]
pub struct CapacityOptions {
    /// For capacity: say whether page and plots agree with the measured slopes, and write nothing
    #[arg(long, global = true)]
    pub check: bool,
    /// For capacity: take up what scale-config printed with --json; may be given several times, medians are taken
    #[arg(long, global = true, value_name = "FILE", requires = "as_build")]
    pub take: Vec<PathBuf>,
    /// Of which build the figures of --take are
    #[arg(long = "as", global = true, value_enum, value_name = "BUILD")]
    pub as_build: Option<MeasuredBuild>,
    /// The commit of the build whose figures --take takes up, for the page
    #[arg(long, global = true, value_name = "HASH", requires = "take")]
    pub commit: Option<String>,
    /// For capacity: where the pages are
    #[arg(long, global = true, default_value = "docs", value_name = "DIRECTORY")]
    pub docs: PathBuf,
}

/// The build whose figures are taken up.
#[derive(ValueEnum, Clone, Copy, PartialEq, Eq, Debug)]
pub enum MeasuredBuild {
    /// The build before.
    #[value(help = None)]
    Before,
    /// This build.
    #[value(help = None)]
    After,
}
