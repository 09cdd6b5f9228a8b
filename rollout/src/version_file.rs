//! Version file: the state of the configuration that persists over restarts.
//!
//! The file holds a complete version in entries (the snapshot), followed by steps. Each of these records has checksums.
//! The caller writes the file; this module defines its format, and what a process starts with after any crash.
//!
//! ```text
//! asterrill versions 1
//! whole <number> <hash> <number of undone versions> <bytes of the operator's file> <checksum>
//! undone <hash> <number>
//! <the operator's file>
//! {"frame":{...}}
//! {"put":"method",...}
//! end <entries> <checksum>
//! step <kind> <number> <base> <hash> <bytes of the operator's file, or -> <bytes of the body> <checksum> <checksum>
//! {"put":"tenant",...}
//! ```
//!
//! A checksum is `xxh3` in 16 hex digits. The checksum of a snapshot covers all bytes of the file before its `end`
//! line. A step has one checksum of its body, followed by one of the header line up to that point, so that the length
//! can be trusted before the body is read. The header of a step is shorter than 256 bytes. The body of `good`
//! (accepted without probation) and `probation` holds the changes from the last good version to the new one, preceded
//! by the operator's file if that changed. `settled` and `undone` have no body.
//!
//! A snapshot is written to a temporary file, synced and renamed; steps are appended. A crash therefore leaves at
//! most a torn tail, which is cut off after the last complete record. A damaged record with complete records after it
//! is reported, and none of the later records is applied, because their base is missing. Versions that these records
//! name as rolled back, or as on probation without an end, are still never started with.
//!
//! | module | purpose |
//! | --- | --- |
//! | `state` | persisted versions, the state that a restart needs, and the effect of a step on it |
//! | `error` | reasons why a record or a file cannot be used |
//! | `format` | lines, headers and checksums of the file, written and parsed |
//! | `update` | the steps that lead from one state to another |
//! | `snapshot` | complete versions, and when they are rewritten (compaction) |
//! | `entry_reader` | incremental parsing of the entries in a body |
//! | `snapshot_reader`, `step_reader` | parsing of one record |
//! | `recover` | parsing of a complete file after any crash |
//! | `hash_parts` | parts of a version hash, and which files have changed since they were read before |
//! | `start` | the version that a process starts with |

mod entry_reader;
mod error;
mod format;
mod hash_parts;
mod recover;
mod snapshot;
mod snapshot_reader;
mod start;
mod state;
mod step_reader;
mod update;

pub use error::{RecordError, VersionFileError};
pub use format::MAX_OPERATOR_FILE_BYTES;
pub use hash_parts::{hash_with_entries, KeptParts};
pub use recover::{recover, DamagedRecord, Recovered};
pub use snapshot::{write_snapshot, WrittenFile, MIN_COMPACTION_BYTES};
pub use start::{choose_start, StartDecision};
pub use state::{version_hash, PersistedState, PersistedVersion};
pub use update::PendingSteps;
