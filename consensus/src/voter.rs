//! Voters: the few named nodes whose majority orders commands and stores them on disk, by the crate `raft`.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `types` | types of a voter's output |
//! | `state` | the fields of [`Voter`], its start and its accessors |
//! | `input` | input of time, messages, proposals and barriers |
//! | `ready` | processing of ready states of `raft`: writes, messages, committed commands, compaction |
//! | `recovery` | voters whose file is lost or damaged |

mod input;
mod ready;
mod recovery;
mod state;
mod types;

pub use state::Voter;
pub use types::{DiskWrite, RaftMessage, VoterId};
