//! Operators' proposals and their outcomes.

use crate::step::Change;
use serde::{Deserialize, Serialize};

/// A change that an operator proposes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// Make a next version by these changes.
    Change {
        /// The version that must be the newest, if any.
        base: Option<u64>,
        /// The changes, applied together.
        changes: Vec<Change>,
    },
    /// Make a next version with the contents of an earlier one.
    Undo {
        /// The version that must be the newest, if any.
        base: Option<u64>,
        /// The version to go back to.
        to: u64,
    },
}

/// The outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// A majority of the voters has it on disk.
    Committed {
        /// Number of the version that it made.
        number: u64,
        /// Hash of that version.
        hash: u64,
    },
    /// It can't be applied, or too many proposals are open at this node; the reason.
    Rejected(String),
    /// No majority of the voters answered in time. It may still be committed.
    NoQuorum,
}

/// A proposal that is completed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedProposal {
    /// The number that [`crate::Node::propose`] returned.
    pub number: u64,
    /// The outcome.
    pub outcome: ProposalOutcome,
}
