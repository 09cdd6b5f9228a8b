//! Configuration changes as transactions.
//!
//! A [`Rollout`] owns the running version, the staged version, the version on probation and the history. Its caller
//! passes in operator requests and the time. It gets back the version that must be put into effect immediately,
//! between two inputs of the server. The crate does no I/O: it has no sockets, files or clocks. `T` is the parsed
//! content of a version and must be cheap to clone. The owner of the content identifies it by a hash that is the same
//! for the same meaning. Checks, the probation monitor and version files work on entries, and their cost depends on
//! the entries that differ or the RPCs that were served.
//!
//! | module | purpose |
//! | --- | --- |
//! | `version` | numbered versions, their hashes, and the versions that were rolled back |
//! | `transaction` | stage, apply, confirm and roll back; which operation is valid when |
//! | `check`, `dry_run` | checks of a change, and the RPCs of the last minute that it would have rejected |
//! | `difference` | readable description of a change |
//! | `sample`, `baseline`, `probation` | detection of a service degradation that a change causes |
//! | `version_file` | persisted versions: a snapshot in entries and the steps after it, in a crash-safe file |
//! | `command` | commands of the control socket that take no arguments |
//!
//! Guarantees:
//! - One version runs at a time, and at most one is on probation. A further change is rejected, or queued if requested.
//!   Changes are never merged.
//! - A rollback restores exactly the previous version. Content that was rolled back is rejected unless it is forced.
//! - A process never starts with the version that was on probation when the previous process ended.
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
//! assert_eq!(rollout.roll_back(7, "requested")?.content, "old");
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
pub use transaction::{
    Event, EventKind, Phase, Proposal, Rollout, RolloutError, StageOptions, PROCESS_START,
};
pub use version::{RolledBack, Us, Version, VersionHash};
pub use version_file::{
    choose_start, hash_with_entries, recover, version_hash, write_snapshot, DamagedRecord, KeptParts,
    PendingSteps, PersistedState, PersistedVersion, RecordError, Recovered, StartDecision, VersionFileError,
    WrittenFile, MAX_OPERATOR_FILE_BYTES, MIN_COMPACTION_BYTES,
};
