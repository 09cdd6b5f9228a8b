//! What persists on disk: versions of the configuration, what was learned, who the members were, and a voter's log.
//!
//! | module | job |
//! | --- | --- |
//! | `writer` | the thread that writes, and what waits for it |
//! | `versions`, `former_versions` | the file of versions, and files as earlier builds left them |
//! | `texts` | checksummed texts: learned values, members |
//! | `consensus` | the file of a voter |

mod consensus;
mod former_versions;
mod texts;
mod versions;
mod writer;

pub use consensus::{read_consensus, truncate_consensus, OnDurable};
pub use texts::{read_learned, read_members};
pub use versions::read_versions;
pub use writer::Store;

#[cfg(test)]
#[path = "tests/store.rs"]
mod tests;
