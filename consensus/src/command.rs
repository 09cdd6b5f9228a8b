//! The entries of the voters' log: commands, the proposals that they are made from, and their outcomes.

use crate::step::{Step, StepError};
use serde::{Deserialize, Serialize};

/// Identifies one proposal of one operator, however often and by whichever way it arrives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalId {
    /// Name of the node at which it was proposed.
    pub proposer: String,
    /// Which start of that node.
    pub incarnation: u64,
    /// Number of the proposal, counted from 1 within an incarnation.
    pub number: u64,
}

/// The outcome of a committed proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// It made this version.
    Applied {
        /// Number of the version.
        number: u64,
        /// Hash of the version.
        hash: u64,
    },
    /// It could not be applied.
    Rejected(StepError),
}

/// An entry of the voters' log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Make the next version by a step.
    Step {
        /// The proposal that it is made from.
        id: ProposalId,
        /// The step.
        step: Step,
    },
    /// Make a next version with the contents of an earlier one.
    Undo {
        /// The proposal that it is made from.
        id: ProposalId,
        /// The version that must be the newest, if any.
        base: Option<u64>,
        /// The version to go back to.
        to: u64,
    },
    /// From here on leases are granted for this version.
    Activate(u64),
}

/// A proposal that was committed, and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolvedProposal {
    /// Which proposal.
    pub id: ProposalId,
    /// The outcome.
    pub outcome: CommandOutcome,
}
