//! Messages between nodes, encoded by `postcard`.
//!
//! The order of variants and fields is the wire format, which nodes of the previous build must be able to read.

use crate::command::{CommandOutcome, ProposalId};
use crate::proposal::Proposal;
use crate::step::Step;
use serde::{Deserialize, Serialize};

/// Progress of the transfer of a complete version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialTransfer {
    /// Number of the version.
    pub number: u64,
    /// Number of bytes that the node has received.
    pub offset: u64,
}

/// Message from one node to another.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Message of `raft` (protobuf), between voters.
    Raft(Vec<u8>),
    /// Request for the sender's lease, to the leader.
    LeaseRequest {
        /// Incarnation of the sender.
        incarnation: u64,
        /// Number of the request within that incarnation.
        round: u64,
        /// Newest version that the sender has.
        version: u64,
        /// Hash of that version.
        hash: u64,
    },
    /// Grant of a lease, from the leader.
    LeaseGrant {
        /// Round of the request.
        round: u64,
        /// Version that the lease is for.
        active: u64,
        /// Newest committed version.
        newest: u64,
        /// Hash of the newest version.
        hash: u64,
    },
    /// Reply of a node that does not lead.
    Redirect {
        /// Name of the leader, if the sender knows it.
        leader: Option<String>,
    },
    /// Request for versions that the sender lacks, to a voter.
    Fetch {
        /// Newest version that the sender has.
        number: u64,
        /// Hash of that version.
        hash: u64,
        /// Transfer of a complete version to continue, if one has begun.
        transfer: Option<PartialTransfer>,
    },
    /// Steps after a version, from a voter.
    Steps {
        /// Version before the first step.
        after: u64,
        /// Steps, in order.
        steps: Vec<Step>,
        /// Hash of the version after the last step.
        hash: u64,
    },
    /// Part of a complete version, from a voter.
    VersionPart {
        /// Number of the version.
        number: u64,
        /// Hash of the version.
        hash: u64,
        /// Offset of the part in the encoded version, in bytes.
        offset: u64,
        /// Length of the encoded version, in bytes.
        total: u64,
        /// Bytes of the part.
        bytes: Vec<u8>,
    },
    /// Notice that the sender's log is empty, between voters.
    EmptyLog,
    /// Notice that the sender has lost log entries that it had, from a voter to the leader.
    LostLog,
    /// Proposal of an operator, to the leader.
    Propose {
        /// Identifier of the proposal.
        id: ProposalId,
        /// Proposed change.
        proposal: Proposal,
    },
    /// Outcome of a proposal, from the leader.
    Resolved {
        /// Identifier of the proposal.
        id: ProposalId,
        /// Outcome of the proposal.
        outcome: CommandOutcome,
    },
}

#[cfg(test)]
#[path = "../tests/unit/message.rs"]
mod tests;
