//! Command-line options of the capacity page.

use clap::{Args, ValueEnum};
use std::path::PathBuf;

/// Options of `asterrill-lab capacity`.
#[derive(Args, Clone, Debug)]
pub struct CapacityOptions {
    /// For capacity: check that the page and its plots match the measured slopes, without writing them
    #[arg(long, global = true)]
    pub check: bool,
    /// For capacity: import the output of scale-* --json; may be given several times, in which case medians are used
    #[arg(long, global = true, value_name = "FILE", requires = "as_build")]
    pub take: Vec<PathBuf>,
    /// Build that the figures of --take were measured with
    #[arg(long = "as", global = true, value_enum, value_name = "BUILD")]
    pub as_build: Option<MeasuredBuild>,
    /// Commit of the build that the figures of --take were measured with, for the page
    #[arg(long, global = true, value_name = "HASH", requires = "take")]
    pub commit: Option<String>,
    /// For capacity: directory of the documentation
    #[arg(long, global = true, default_value = "docs", value_name = "DIRECTORY")]
    pub docs: PathBuf,
}

/// Build with which imported figures were measured.
#[derive(ValueEnum, Clone, Copy, PartialEq, Eq, Debug)]
pub enum MeasuredBuild {
    /// Previous build.
    #[value(help = None)]
    Before,
    /// Current build.
    #[value(help = None)]
    After,
}
