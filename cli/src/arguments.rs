//! The command line. Its doc comments are the help texts.

use clap::{Parser, Subcommand};
use std::path::PathBuf;

#[derive(Parser)]
#[command(name = "asterrill", version, about = "The operators' command line of asterrilld")]
pub struct Arguments {
    #[command(subcommand)]
    pub command: Command,
    /// One JSON object instead of lines
    #[arg(long, global = true)]
    pub json: bool,
    /// The control socket, as `[changes]` control names it
    #[arg(
        long,
        global = true,
        env = "ASTERRILL_SOCKET",
        value_name = "PATH",
        help = "The control socket, as [changes] control names it"
    )]
    pub socket: Option<PathBuf>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Check a file by itself: a configuration in JSON, or an operator's file
    Check { file: PathBuf },
    /// What changes from one configuration to another, or by a step of entries, by meaning; exit code 1 if anything does
    Diff {
        /// A configuration; or, where nothing follows, what is compared with what the backend runs
        old: PathBuf,
        /// A configuration, or a step: a file with one entry a line, or -
        new: Option<PathBuf>,
    },
    /// Hand a file in, or a step of entries: it is checked against what runs, and has no effect yet
    Stage {
        /// A configuration, an operator's file, or a step: a file with one entry a line, or -
        file: PathBuf,
        /// The version that it was made from
        #[arg(long)]
        base: Option<u64>,
        /// Take it although it is risky, or was undone before
        #[arg(long)]
        force: bool,
        /// Wait behind a version on probation instead of being refused
        #[arg(long)]
        queue: bool,
    },
    /// Let the staged version run, on probation; with a file, that is handed in first
    Apply {
        /// As for stage
        file: Option<PathBuf>,
        /// Take it although it is risky, or was undone before
        #[arg(long, requires = "file")]
        force: bool,
        /// Only if this version runs
        #[arg(long)]
        if_base: Option<u64>,
        /// How long it is watched, such as 30s or 5m
        #[arg(long, value_parser = parse_duration)]
        probation: Option<u64>,
    },
    /// What runs, is staged, and is on probation
    Status,
    /// The version on probation is good
    Settle,
    /// Go back to the version before the one on probation
    Undo,
    /// Forget what is staged
    Drop,
    /// What happened to versions, the newest last
    History,
    /// The others, as the backend knows them: its view, and each member
    Members,
    /// What the backends have agreed on, and how far this one is with it
    Fleet {
        #[command(subcommand)]
        command: FleetCommand,
    },
    /// Lists of tenants, callers and methods on which the backends agree
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
    /// The version acted on, its form, the lease, and the last versions
    Status,
    /// Back to what an earlier version said, as a new one; exit code 1 refused, 4 no majority
    Undo {
        to: u64,
        /// Only if this version is the newest
        #[arg(long)]
        base: Option<u64>,
    },
}

/// tenants, callers or methods
#[derive(Subcommand)]
pub enum ListCommand {
    /// Its entries
    Show { list: String },
    /// Let a key in, or with --out bar it
    Add {
        list: String,
        key: String,
        #[arg(long)]
        out: bool,
        /// Until when, such as 10m; without it for good
        #[arg(long, value_parser = parse_duration)]
        hold: Option<u64>,
        /// Only if this version is the newest
        #[arg(long)]
        base: Option<u64>,
    },
    /// Take a key off
    Remove { list: String, key: String },
    /// Lines of KEY in or KEY out, a thousand to a version
    Import { list: String, file: PathBuf },
}

/// A duration with its unit, in microseconds.
fn parse_duration(text: &str) -> Result<u64, String> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_at);
    let factor = match unit {
        "ms" => 1_000,
        "s" => 1_000_000,
        "m" => 60_000_000,
        "h" => 3_600_000_000,
        _ => return Err("a time has a unit: ms, s, m or h, such as 30s".into()),
    };
    let number: u64 = number.parse().map_err(|_| "a time is a whole number with a unit, such as 30s")?;
    number.checked_mul(factor).ok_or_else(|| "the time is too long".into())
}
