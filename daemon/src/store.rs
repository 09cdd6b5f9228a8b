//! State on disk: versions of the configuration, learned values, known members, and a voter's raft log.
//!
//! | module | purpose |
//! | --- | --- |
//! | `writer` | the thread that writes, and its queue |
//! | `versions`, `legacy_versions` | the file of versions, and the legacy files of earlier builds |
//! | `checksummed` | texts with a checksum: learned values and members |
//! | `consensus` | the raft file of a voter |

mod checksummed;
mod consensus;
mod legacy_versions;
mod versions;
mod writer;

pub use checksummed::{read_learned, read_members};
pub use consensus::{read_consensus, truncate_consensus, OnDurable};
pub use versions::read_versions;
pub use writer::Store;

#[cfg(test)]
#[path = "tests/store.rs"]
mod tests;
