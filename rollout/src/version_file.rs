//! The record: what persists of the configuration over restarts. One file, a complete version in entries (the snapshot)
//! followed by steps, each with checksums. Its owner writes it; here is its format, and what to start
//! with after any crash.
//!
//! ```text
//! asterrill versions 1
//! whole <number> <hash> <how many undone> <bytes of the operator's file> <sum>
//! undone <hash> <number>
//! <the operator's file>
//! {"frame":{...}}
//! {"put":"method",...}
//! end <entries> <sum>
//! step <kind> <number> <base> <hash> <bytes of the operator's file, or -> <bytes of the body> <sum> <sum>
//! {"put":"tenant",...}
//! ```
//!
//! A sum is `xxh3` in 16 hex digits: of a snapshot over all bytes of the file before its `end`; of a step over
//! its body, then over its line up to there, so that its length can be trusted before the body is read. A step's head
//! is under 256 bytes. The body of `good` (taken as it is) and `probation` is what leads there from the last good
//! version, with the operator's file where that changed; `settled` and `undone` have none.
//!
//! A snapshot is written to a temporary file, synced and renamed; steps are appended. So a crash leaves a torn tail
//! at the most, which is cut off at the last complete record. A record that is damaged with complete ones after it is
//! named: nothing after it is taken up, as its base is missing, but what those after it say was rolled back, or on
//! probation without an end, is still not started with.
//!
//! | module | job |
//! | --- | --- |
//! | `state` | a version and all that a restart needs, and what a step makes of it |
//! | `fault` | why a record or a file can't be used |
//! | `format` | lines, heads and checksums of the file, written and read |
//! | `update` | the steps that lead from one state to another |
//! | `snapshot` | a complete version, and when it is written anew (compaction) |
//! | `entry_reader` | entries of a body, taken in a piece at a time |
//! | `snapshot_reader`, `step_reader` | one record, read back |
//! | `recover` | a complete file, read back after any crash |
//! | `start` | what a process starts with |

mod entry_reader;
mod error;
mod format;
mod recover;
mod snapshot;
mod snapshot_reader;
mod start;
mod state;
mod step_reader;
mod update;

pub use error::{RecordError, VersionFileError};
pub use format::MAX_OPERATOR_FILE_BYTES;
pub use recover::{recover, DamagedRecord, Recovered};
pub use snapshot::{write_snapshot, WrittenFile, MIN_COMPACTION_BYTES};
pub use start::{choose_start, StartDecision};
pub use state::{version_hash, PersistedState, PersistedVersion};
pub use update::PendingSteps;
