//! What persists on disk: versions of the configuration, what was learned, who the members were, and a voter's log.
//!
//! | module | job |
//! | --- | --- |
//! | `writer` | the thread that writes, and what waits for it |
//! | `versions`, `legacy_versions` | the file of versions, and files as earlier builds left them |
//! | `checksummed` | checksummed texts: learned values, members |
//! | `consensus` | the file of a voter |

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
