//! Commands in the voters' log, the ids of the proposals that they come from, and their outcomes.

use crate::step::{Step, StepError};
use serde::{Deserialize, Serialize};

/// Identifier of one proposal of one operator, however often and by whichever route it arrives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProposalId {
    /// Name of the node at which the operator proposed it.
    pub proposer: String,
    /// Incarnation of that node, which grows with each start.
    pub incarnation: u64,
    /// Number of the proposal, counted from 1 within an incarnation.
    pub number: u64,
}

/// Outcome of a committed proposal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandOutcome {
    /// The proposal resulted in a new version.
    Applied {
        /// Number of the version.
        number: u64,
        /// Hash of the version.
        hash: u64,
    },
    /// The proposal could not be applied.
    Rejected(StepError),
}

/// Entry of the voters' log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Creation of the next version by a step.
    Step {
        /// Proposal that the command comes from.
        id: ProposalId,
        /// Step to the next version.
        step: Step,
    },
    /// Creation of a next version with the contents of an earlier one.
    Undo {
        /// Proposal that the command comes from.
        id: ProposalId,
        /// Version that must be the newest for the command to apply, if any.
        base: Option<u64>,
        /// Version whose contents are restored.
        to: u64,
    },
    /// Activation of a version: the leader grants leases for it from this entry on.
    Activate(u64),
}

/// Committed proposal and its outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResolvedProposal {
    /// Identifier of the proposal.
    pub id: ProposalId,
    /// Outcome of the proposal.
    pub outcome: CommandOutcome,
}
