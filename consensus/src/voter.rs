//! A voter: one of a few named nodes whose majority orders commands and has them on disk, by the crate `raft`.
//!
//! | module | job |
//! | --- | --- |
//! | `types` | what a voter puts out |
//! | `state` | the fields of [`Voter`], its start, and what can be read and taken from it |
//! | `input` | time, messages, proposals and barriers |
//! | `ready` | what `raft` has ready: writes, messages, committed commands, compaction |
//! | `recovery` | voters whose file is lost or damaged |

mod input;
mod ready;
mod recovery;
mod state;
mod types;

pub use state::Voter;
pub use types::{DiskWrite, RaftMessage, VoterId};
