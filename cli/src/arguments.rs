//! Definition of the command line. Its doc comments are the help texts.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

#[derive(Parser)]
#[command(name = "asterrill", version, about = "Command line of asterrilld for operators")]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
    /// Print one JSON object instead of lines
    #[arg(long, global = true)]
    pub json: bool,
    /// The control socket, as set by `control` in section `[changes]`
    #[arg(
        long,
        global = true,
        env = "ASTERRILL_SOCKET",
        value_name = "PATH",
        help = "The control socket, as set by control in section [changes]"
    )]
    pub socket: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Check a single file: a configuration in JSON, or an operator's file
    Check { file: PathBuf },
    /// Compare two configurations, or show what a step changes; exit code 1 if anything differs
    Diff {
        /// A configuration; without NEW, a configuration, operator's file or step to compare with the running version
        old: PathBuf,
        /// A configuration, or a step: a file with one entry per line, or - for standard input
        new: Option<PathBuf>,
    },
    /// Stage a file or a step: check it against the running version, without any effect yet
    Stage {
        /// A configuration, an operator's file, or a step: a file with one entry per line, or - for standard input
        file: PathBuf,
        /// The version that the change is based on
        #[arg(long)]
        base: Option<u64>,
        /// Accept it even if it is risky or was undone before
        #[arg(long)]
        force: bool,
        /// Wait for the version on probation instead of being rejected
        #[arg(long)]
        queue: bool,
    },
    /// Activate the staged version, on probation; a file, if given, is staged first
    Apply {
        /// The file to stage, as for the stage command
        file: Option<PathBuf>,
        /// Accept it even if it is risky or was undone before
        #[arg(long, requires = "file")]
        force: bool,
        /// Apply only if this version is running
        #[arg(long)]
        if_base: Option<u64>,
        /// Length of the probation, such as 30s or 5m
        #[arg(long, value_parser = parse_duration)]
        probation: Option<u64>,
    },
    /// Show the running version, the staged version and the version on probation
    Status,
    /// Confirm the version on probation
    Settle,
    /// Roll back to the version before the one on probation
    Undo,
    /// Discard the staged version
    Drop,
    /// Show the history of versions, the newest event last
    History,
    /// Show the backend's view of the cluster, and each member
    Members,
    /// Show or undo the versions on which the backends agree
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Show or change the lists of tenants, callers and methods on which the backends agree
    List {
        #[command(subcommand)]
        command: ListCommand,
    },
    /// Print a completion script for a shell
    Completion { shell: clap_complete::Shell },
    /// Print the manual page
    Man,
}

#[derive(Subcommand)]
pub enum FleetCommand {
    /// Show the version in effect, its form, the lease and the latest versions
    Status,
    /// Restore the contents of an earlier version as a new version; exit code 1 if rejected, 4 without a majority
    Undo {
        to: u64,
        /// Accept it only if this version is the newest
        #[arg(long)]
        base: Option<u64>,
    },
}

/// Show or change a list: tenants, callers or methods
#[derive(Subcommand)]
pub enum ListCommand {
    /// Show the entries of a list
    Show { list: String },
    /// Allow a key, or deny it with --out
    Add {
        list: String,
        key: String,
        #[arg(long)]
        out: bool,
        /// How long the entry is valid, such as 10m; without it, the entry does not expire
        #[arg(long, value_parser = parse_duration)]
        hold: Option<u64>,
        /// Accept it only if this version is the newest
        #[arg(long)]
        base: Option<u64>,
    },
    /// Remove a key from a list
    Remove { list: String, key: String },
    /// Import the lines of a file, each KEY in or KEY out; a thousand lines make one version
    Import { list: String, file: PathBuf },
}

/// Parses a duration with its unit, to microseconds.
fn parse_duration(text: &str) -> Result<u64, String> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_at);
    let factor = match unit {
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        _ => return Err("expected a unit: ms, s, m or h, such as 30s".into()),
    };
    let number: u64 = number.parse().map_err(|_| "expected a whole number with a unit, such as 30s")?;
    number.checked_mul(factor).ok_or_else(|| "the duration is too long".into())
}
