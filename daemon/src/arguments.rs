//! Command line arguments.

use std::path::PathBuf;

/// Serves one backend: admits RPCs from sidecars and from the queues that the operator's file names. The address and
/// the settings of the backend are in the JSON file that the environment variable GW_CONFIG names.
#[derive(clap::Parser, Debug)]
#[command(version)]
pub struct Arguments {
    /// Operator's file (docs/operate/amqp.md); without it only sidecars are served
    #[arg(long, value_name = "PATH")]
    pub file: Option<PathBuf>,
    /// Check both files and exit without serving
    #[arg(long)]
    pub check: bool,
}
