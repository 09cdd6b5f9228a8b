//! Changes of the configuration as transactions.
//!
//! A [`Rollout`] owns the version that runs, the one that is staged, the one on probation and the history. It is
//! told what operators want and what the server sees, with the time, and hands back what is to be done: which
//! version to apply, whole, between two inputs of the server, and which to write down. It has no socket, no file
//! and no clock. `T` is a version's content, already read, and cheap to copy; its owner names it by a hash, the same for
//! the same meaning. Checks, watch and records work on entries and cost what differs, or what was asked for.
//!
//! | file | job |
//! | --- | --- |
//! | `transaction.rs` | stage, apply, settle, undo; who may do what when |
//! | `check.rs` | what a change must not do, what it would have done in the last minute, and what it changes |
//! | `watch.rs` | whether service drops because of the change |
//! | `record.rs` | what lasts: a whole version in entries and the steps after it, in a file that a crash can't halve |
//!
//! Promises:
//! - One version runs at a time, and at most one is on probation; another is refused, or waits if that was asked
//!   for. Changes are never merged.
//! - Undo goes back to exactly the version before. What was undone is not taken again unless forced.
//! - What was on probation when the process ended is not what the next one starts with.
//!
//! ```
//! use asterrill_rollout::{Change, Rollout, Wish};
//! let mut rollout = Rollout::new("old", "hash of old", 0);
//! let change = Change { content: "new", hash: "hash of new".into(), base: Some(1), wish: Wish::default() };
//! assert_eq!(rollout.stage(5, change).unwrap(), 2);
//! assert_eq!(rollout.apply(6, Some(1), 30_000_000).unwrap().content, "new");
//! assert_eq!(rollout.undo(7, "asked for").unwrap().content, "old");
//! ```

mod check;
mod record;
#[cfg(test)]
mod tests;
mod transaction;
mod watch;

pub use check::{check, difference, dry_run, MethodLoad, ObservedLoad, Problem, LISTED};
pub use record::{
    hash, recover, start_with, write_whole, Damage, Kept, RecordFault, Recovered, Standing, Start, State,
    Steps, FILE, STEPS,
};
pub use transaction::{Change, Event, Hash, Marked, Refusal, Rollout, Stage, Version, Wish};
pub use watch::{Before, Loss, MethodCounts, ServiceSample, Verdict, Watch};

/// A moment or a span in whole microseconds.
pub type Us = u64;

/// Hashes of changes that were undone, that are remembered.
const UNDONE: usize = 64;
