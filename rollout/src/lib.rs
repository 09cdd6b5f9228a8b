//! Changes of the configuration as transactions.
//!
//! A [`Rollout`] owns the version that runs, the one that is staged, the one on probation and the history. Its caller
//! passes in what operators ask for and the time, and gets back what is to be done: which version to put in force,
//! at once, between two inputs of the server. It has no socket, no file and no clock. `T` is a version's content, already
//! read, and cheap to clone; its owner names it by a hash, the same for the same meaning. Checks, the probation monitor
//! and records work on entries and cost what differs, or what was served.
//!
//! | module | job |
//! | --- | --- |
//! | `version` | a numbered version, its hash, and those that were rolled back |
//! | `transaction` | stage, apply, confirm, roll back; who may do what when |
//! | `check`, `dry_run` | what a change must not do, and what it would have rejected in the last minute |
//! | `difference` | what a change means, in lines for people |
//! | `sample`, `baseline`, `probation` | whether service drops because of a change |
//! | `record` | what persists: a snapshot in entries and the steps after it, in a file that a crash can't halve |
//! | `command` | the commands of the control socket that take no arguments |
//!
//! Guarantees:
//! - One version runs at a time, and at most one is on probation; another is refused, or queued if that was asked
//!   for. Changes are never merged.
//! - A roll back returns to exactly the version before. What was rolled back is not taken again unless forced.
//! - What was on probation when the process ended is not what the next one starts with.
//!
//! ```
//! use asterrill_rollout::{Proposal, Rollout, StageOptions};
//!
//! let mut rollout = Rollout::new("old", "hash of old", 0);
//! let proposal = Proposal {
//!     content: "new",
//!     hash: "hash of new".into(),
//!     base: Some(1),
//!     options: StageOptions::default(),
//! };
//! assert_eq!(rollout.stage(5, proposal)?, 2);
//! assert_eq!(rollout.apply(6, Some(1), 30_000_000)?.content, "new");
//! assert_eq!(rollout.roll_back(7, "asked for")?.content, "old");
//! # Ok::<(), asterrill_rollout::RolloutError>(())
//! ```

#![warn(missing_docs)]

mod baseline;
mod bounded_list;
mod changed_entries;
mod check;
mod command;
mod difference;
mod dry_run;
mod probation;
mod sample;
mod transaction;
mod version;
mod version_file;

pub use baseline::Baseline;
pub use bounded_list::MAX_LISTED_ITEMS;
pub use check::{check, Problem};
pub use command::SimpleCommand;
pub use difference::difference;
pub use dry_run::{dry_run, MethodLoad, ObservedLoad};
pub use probation::{
    Loss, ProbationMonitor, Verdict, MAX_EXCESS_LOSS, MAX_PROBATION_FACTOR, MIN_EFFECTIVE_SAMPLES,
    MIN_STANDARD_ERRORS, RECENT_SLOTS,
};
pub use sample::{MethodCounts, ServiceSample};
pub use transaction::{Event, EventKind, Phase, Proposal, Rollout, RolloutError, StageOptions};
pub use version::{RolledBack, Us, Version, VersionHash};
pub use version_file::{
    choose_start, recover, version_hash, write_snapshot, DamagedRecord, PendingSteps, PersistedState,
    PersistedVersion, RecordError, Recovered, StartDecision, VersionFileError, WrittenFile,
    MAX_OPERATOR_FILE_BYTES, MIN_COMPACTION_BYTES,
};
