//! State on disk: versions of the configuration, learned values, known members, and a voter's raft log.
//!
//! | module | purpose |
//! | --- | --- |
//! | `writer` | the thread that writes, and its queue |
//! | `versions`, `legacy_versions` | the file of versions, and the legacy files of earlier builds |
//! | `files_read` | the hash of the files that the process has read |
//! | `checksummed` | texts with a checksum: learned values and members |
//! | `consensus` | the raft file of a voter |

mod checksummed;
mod consensus;
mod files_read;
mod legacy_versions;
mod versions;
mod writer;

pub use checksummed::{read_learned, read_members};
pub use consensus::{read_consensus, truncate_consensus, OnDurable};
pub use files_read::read_files_read;
pub use versions::read_versions;
pub use writer::Store;

#[cfg(test)]
#[path = "tests/store.rs"]
mod tests;
