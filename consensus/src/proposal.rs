//! Operators' proposals and their outcomes.

use crate::step::Change;
use serde::{Deserialize, Serialize};

/// Change that an operator proposes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// Creation of a next version by changes to the newest one.
    Change {
        /// Version that must be the newest for the proposal to apply, if any.
        base: Option<u64>,
        /// Changes, which take effect together or not at all.
        changes: Vec<Change>,
    },
    /// Creation of a next version with the contents of an earlier one.
    Undo {
        /// Version that must be the newest for the proposal to apply, if any.
        base: Option<u64>,
        /// Version whose contents are restored.
        to: u64,
    },
}

/// Outcome of a proposal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProposalOutcome {
    /// A majority of the voters has the proposal on disk.
    Committed {
        /// Number of the resulting version.
        number: u64,
        /// Hash of that version.
        hash: u64,
    },
    /// The proposal can't be applied, or too many proposals are open at this node. The field has the reason.
    Rejected(String),
    /// No majority of the voters answered in time. The proposal may still be committed.
    NoQuorum,
}

/// Completed proposal of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedProposal {
    /// Number that [`crate::Node::propose`] returned.
    pub number: u64,
    /// Outcome of the proposal.
    pub outcome: ProposalOutcome,
}
