//! The command line.

use std::path::PathBuf;

/// One backend: RPCs of sidecars, and of the queues that an operator's file names, under one admission. What it
/// needs to know of its place among the others is in the JSON file that the environment variable GW_CONFIG names.
#[derive(clap::Parser, Debug)]
#[command(version)]
pub struct Arguments {
    /// The operator's file (docs/operate/amqp.md); without it sidecars alone are served
    #[arg(long, value_name = "PATH")]
    pub file: Option<PathBuf>,
    /// Only checks both files; nothing is started
    #[arg(long)]
    pub check: bool,
}
