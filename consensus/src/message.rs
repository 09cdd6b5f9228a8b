//! The messages between nodes, encoded by `postcard`. The order of variants and of fields is the wire format: nodes of the
//! build before must be able to read them.

use crate::command::{CommandOutcome, ProposalId};
use crate::proposal::Proposal;
use crate::step::Step;
use serde::{Deserialize, Serialize};

/// How much of a version has been transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialTransfer {
    /// Number of the version.
    pub number: u64,
    /// How many bytes of it the node has.
    pub offset: u64,
}

/// A message between two nodes.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Between voters: a message of `raft` (protobuf).
    Raft(Vec<u8>),
    /// To the leader: the sender asks for its lease.
    LeaseRequest {
        /// Which start of the sender.
        incarnation: u64,
        /// Which request of that incarnation.
        round: u64,
        /// The newest version that the sender has.
        version: u64,
        /// Hash of that version.
        hash: u64,
    },
    /// Of the leader: the lease is granted.
    LeaseGrant {
        /// The round of the request.
        round: u64,
        /// The version that the lease is for.
        active: u64,
        /// The newest committed version.
        newest: u64,
        /// Hash of the newest version.
        hash: u64,
    },
    /// The sender does not lead.
    Redirect {
        /// Name of the leader, as far as the sender has heard.
        leader: Option<String>,
    },
    /// To a voter: the sender lacks versions.
    Fetch {
        /// The newest version that the sender has.
        number: u64,
        /// Hash of that version.
        hash: u64,
        /// The transfer of a complete version to continue, if one has begun.
        transfer: Option<PartialTransfer>,
    },
    /// Of a voter: steps after a version.
    Steps {
        /// The version before the first step.
        after: u64,
        /// The steps.
        steps: Vec<Step>,
        /// Hash of the version after the last step.
        hash: u64,
    },
    /// Of a voter: a part of a complete version.
    VersionPart {
        /// Number of the version.
        number: u64,
        /// Hash of the version.
        hash: u64,
        /// Where the part begins, in bytes.
        offset: u64,
        /// How many bytes the version has.
        total: u64,
        /// The bytes of the part.
        bytes: Vec<u8>,
    },
    /// Between voters: the log of the sender is empty.
    EmptyLog,
    /// Of a voter to the leader: the sender has less than it had.
    LostLog,
    /// To the leader: an operator's proposal.
    Propose {
        /// Which proposal.
        id: ProposalId,
        /// What is proposed.
        proposal: Proposal,
    },
    /// Of the leader: the outcome of a proposal.
    Resolved {
        /// Which proposal.
        id: ProposalId,
        /// The outcome.
        outcome: CommandOutcome,
    },
}

#[cfg(test)]
#[path = "../tests/unit/message.rs"]
mod tests;
