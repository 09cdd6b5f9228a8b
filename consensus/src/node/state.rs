//! Fields of a node, its start and its accessors.

use crate::apply_policy::{ApplyPolicy, LeasedPolicy};
use crate::command::ProposalId;
use crate::config::Config;
use crate::fragment::Reassembler;
use crate::lease::LocalLease;
use crate::lessor::{LeaseHolderCount, Lessor};
use crate::proposal::{CompletedProposal, Proposal};
use crate::version::Version;
use crate::version_log::VersionLog;
use crate::voter::{DiskWrite, Voter, VoterId};
use asterrill::Us;
use std::collections::{BTreeMap, VecDeque};

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Number of datagrams sent.
    pub sent_datagrams: u64,
    /// Number of invalid messages that were dropped.
    pub invalid_messages: u64,
    /// Number of leases granted to this node.
    pub lease_renewals: u64,
    /// Number of times this node fell back to enforcing its last version without a lease.
    pub lease_expirations: u64,
    /// Number of times this node dropped its versions because the leader has another history.
    pub divergence_resets: u64,
    /// Number of times this node obtained versions that it lacked.
    pub catch_ups: u64,
    /// Number of outgoing messages that were dropped: too many datagrams waited, or the message was too long.
    pub dropped_messages: u64,
}

/// Datagram to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Name of the destination node.
    pub to: String,
    /// Fragment of a message.
    pub payload: Vec<u8>,
}

/// Error that prevents a node from starting.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The crate `raft` can't use the log that the voter has on disk.
    #[error("raft rejected the log of voter {voter}, a file of {bytes} bytes: {source}")]
    RejectedLog {
        /// Name of the voter.
        voter: String,
        /// Length of its file, in bytes.
        bytes: usize,
        /// Error of `raft`.
        source: raft::Error,
    },
}

/// Proposal of this node that is not completed.
pub(super) struct OpenProposal {
    pub proposal: Proposal,
    /// Time at which it is completed without an answer.
    pub deadline: Us,
    /// Time at which it is sent again.
    pub next_send: Us,
}

/// Complete version that is being received in parts.
pub(super) struct IncomingVersion {
    pub number: u64,
    pub hash: u64,
    pub bytes: Vec<u8>,
}

/// Range of versions after the active one that don't contradict it, kept so that no version is compared twice.
#[derive(Clone, Copy, Default)]
pub(super) struct CompatibleVersions {
    /// Number of the active version that they were compared with.
    pub active: u64,
    /// Number of the last version in the range.
    pub last: u64,
}

/// Activation that was proposed last, and the time of the proposal.
#[derive(Clone, Copy, Default)]
pub(super) struct ProposedActivation {
    pub number: u64,
    pub at: Us,
}

/// Node of the agreement. All input is passed in with the time, in microseconds of a clock that is never set back.
pub struct Node {
    pub(super) now: Us,
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) config: Config,
    pub(super) voter: Option<Voter>,
    /// Versions of a node that is not a voter.
    pub(super) replica_log: VersionLog,
    /// Lease bookkeeping, present while this node leads.
    pub(super) lessor: Option<Lessor>,
    pub(super) lessor_term: u64,
    pub(super) lease: LocalLease,
    /// Number of the version that the last granted lease is for.
    pub(super) leased_version: u64,
    pub(super) apply_policy: ApplyPolicy,
    pub(super) policy_updated: bool,
    /// Index of the voter that requests are sent to while the leader is not known.
    pub(super) contact_index: usize,
    /// True if the contacted voter has answered the last lease request.
    pub(super) contact_answered: bool,
    pub(super) compatible: CompatibleVersions,
    pub(super) proposed_activation: ProposedActivation,
    pub(super) next_renewal: Us,
    pub(super) next_expiry_sweep: Us,
    pub(super) incoming_version: Option<IncomingVersion>,
    pub(super) open_proposals: BTreeMap<ProposalId, OpenProposal>,
    /// Proposals that this node has proposed as the leader, and when, so that a resent proposal is not proposed twice.
    pub(super) recently_proposed: BTreeMap<ProposalId, Us>,
    pub(super) last_proposal_number: u64,
    pub(super) completed: VecDeque<CompletedProposal>,
    pub(super) reassembler: Reassembler,
    pub(super) last_message_number: u32,
    pub(super) outgoing: VecDeque<Datagram>,
    /// Counters since the start of the node.
    pub counters: Counters,
}

impl Node {
    /// Starts a node.
    ///
    /// `incarnation` must increase with each start of the node. `file` has the bytes of a voter's file, and is empty if
    /// there is none. `snapshot` is what [`Node::snapshot`] returned for a node that is not a voter, and is empty if
    /// there is none.
    ///
    /// # Errors
    /// Returns a [`StartError`] if `raft` can't use the file.
    pub fn new(
        now: Us, name: &str, incarnation: u64, config: Config, file: &[u8], snapshot: &[u8],
    ) -> Result<Node, StartError> {
        let voter = match config.voter_index(name) {
            Some(index) => {
                let id = index as VoterId + 1;
                let started = Voter::new(now, id, config.voters.len(), config.tick_interval, file);
                Some(started.map_err(|source| StartError::RejectedLog {
                    voter: name.into(),
                    bytes: file.len(),
                    source,
                })?)
            }
            None => None,
        };
        let mut node = Node {
            now,
            name: name.into(),
            incarnation,
            voter,
            replica_log: VersionLog::from_snapshot(snapshot).unwrap_or_default(),
            lessor: None,
            lessor_term: 0,
            lease: LocalLease::default(),
            leased_version: 0,
            apply_policy: ApplyPolicy::safe(Version::default()),
            policy_updated: true,
            contact_index: incarnation as usize % config.voters.len().max(1),
            contact_answered: true,
            compatible: CompatibleVersions::default(),
            proposed_activation: ProposedActivation::default(),
            next_renewal: now,
            next_expiry_sweep: now,
            incoming_version: None,
            open_proposals: BTreeMap::new(),
            recently_proposed: BTreeMap::new(),
            last_proposal_number: 0,
            completed: VecDeque::new(),
            reassembler: Reassembler::default(),
            last_message_number: 0,
            outgoing: VecDeque::new(),
            counters: Counters::default(),
            config,
        };
        node.refresh_policy();
        Ok(node)
    }

    /// Returns the length of the valid part of the voter's file, in bytes; 0 for a node that is not a voter.
    ///
    /// The caller must truncate the file to this length before it appends anything.
    pub fn valid_log_len(&self) -> usize {
        self.voter.as_ref().map_or(0, Voter::valid_log_len)
    }

    /// Returns the versions that this node has.
    pub fn version_log(&self) -> &VersionLog {
        self.voter.as_ref().map_or(&self.replica_log, Voter::version_log)
    }

    /// Returns the configuration that the node was started with.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the policy that this node enforces until [`Node::lease_until`].
    pub fn apply_policy(&self) -> &ApplyPolicy {
        &self.apply_policy
    }

    /// Returns the end of this node's lease; 0 before the first.
    pub fn lease_until(&self) -> Us {
        self.lease.until()
    }

    /// Returns the policy that this node enforces, if it may have changed since the last call.
    pub fn take_apply_policy(&mut self) -> Option<LeasedPolicy> {
        std::mem::take(&mut self.policy_updated)
            .then(|| LeasedPolicy { policy: self.apply_policy.clone(), until: self.lease.until() })
    }

    /// Takes the datagrams that must be sent.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        self.outgoing.drain(..).collect()
    }

    /// Takes the writes that must be made to the voter's file, in this order.
    pub fn take_writes(&mut self) -> Vec<DiskWrite> {
        self.voter.as_mut().map(Voter::take_writes).unwrap_or_default()
    }

    /// Returns the versions of a node that is not a voter, to be passed to its next start; `None` for a voter.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        self.voter.is_none().then(|| self.replica_log.snapshot())
    }

    /// Takes the completed proposals of this node.
    pub fn take_outcomes(&mut self) -> Vec<CompletedProposal> {
        self.completed.drain(..).collect()
    }

    /// Returns the name of the leader, if this node is a voter and knows it.
    pub fn leader(&self) -> Option<&str> {
        let id = self.voter.as_ref().and_then(Voter::leader)?;
        self.voter_name(id)
    }

    pub(super) fn voter_name(&self, id: VoterId) -> Option<&str> {
        let index = (id as usize).checked_sub(1)?;
        self.config.voters.get(index).map(String::as_str)
    }

    /// Reports whether this node leads.
    pub fn is_leader(&self) -> bool {
        self.lessor.is_some()
    }

    /// Reports whether this node is a voter.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// Returns how many nodes have a lease, and how many of them have the newest version; `None` unless this node leads.
    pub fn lease_holders(&self) -> Option<LeaseHolderCount> {
        self.lessor.as_ref().map(|lessor| lessor.count(self.now, self.version_log().number()))
    }
}
