//! The fields of a node, its start, and what can be read from it.

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

/// Counts since the node started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams that were sent.
    pub sent_datagrams: u64,
    /// Messages that made no sense and were dropped.
    pub invalid_messages: u64,
    /// Leases that were granted to this node.
    pub lease_renewals: u64,
    /// How often this node fell back to acting without a lease.
    pub lease_expirations: u64,
    /// How often this node dropped its versions because the leader has another history.
    pub divergence_resets: u64,
    /// How often this node took in versions that it lacked.
    pub catch_ups: u64,
    /// Outgoing messages that were dropped because too many datagrams wait.
    pub dropped_messages: u64,
}

/// A datagram to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Name of the node that it is for.
    pub to: String,
    /// One fragment of a message.
    pub payload: Vec<u8>,
}

/// Why a node can't start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// `raft` can't use the log that the voter has on disk.
    #[error("raft rejects the log of voter {voter}, a file of {bytes} bytes: {source}")]
    RejectedLog {
        /// Name of the voter.
        voter: String,
        /// Length of its file.
        bytes: usize,
        /// What `raft` says.
        source: raft::Error,
    },
}

/// A proposal that was made here and is not completed.
pub(super) struct OpenProposal {
    pub proposal: Proposal,
    /// When it is given up.
    pub deadline: Us,
    /// When it is sent again.
    pub next_send: Us,
}

/// A complete version that arrives in parts.
pub(super) struct IncomingVersion {
    pub number: u64,
    pub hash: u64,
    pub bytes: Vec<u8>,
}

/// Versions after the active one that don't contradict it, so that none is compared twice.
#[derive(Clone, Copy, Default)]
pub(super) struct CompatibleVersions {
    /// The active version that they were compared with.
    pub active: u64,
    /// The last one.
    pub last: u64,
}

/// The activation that was proposed last.
#[derive(Clone, Copy, Default)]
pub(super) struct ProposedActivation {
    pub number: u64,
    pub at: Us,
}

/// One node. All input is passed in with the time: microseconds of a clock that is never set back.
pub struct Node {
    pub(super) now: Us,
    pub(super) name: String,
    pub(super) incarnation: u64,
    pub(super) config: Config,
    pub(super) voter: Option<Voter>,
    /// The versions of a node that is no voter.
    pub(super) replica_log: VersionLog,
    /// Present while this node leads.
    pub(super) lessor: Option<Lessor>,
    pub(super) lessor_term: u64,
    pub(super) lease: LocalLease,
    /// The version that the last granted lease is for.
    pub(super) leased_version: u64,
    pub(super) apply_policy: ApplyPolicy,
    pub(super) policy_unread: bool,
    /// The voter that requests go to while no leader has been heard of, by its place among the voters.
    pub(super) contact: usize,
    /// Whether the contact has answered the last request for a lease.
    pub(super) contact_answered: bool,
    pub(super) compatible: CompatibleVersions,
    pub(super) proposed_activation: ProposedActivation,
    pub(super) next_renewal: Us,
    pub(super) next_expiry_sweep: Us,
    pub(super) incoming: Option<IncomingVersion>,
    pub(super) open_proposals: BTreeMap<ProposalId, OpenProposal>,
    /// What this node has proposed as the leader, and when, so that a proposal that is sent again is not proposed twice.
    pub(super) recently_proposed: BTreeMap<ProposalId, Us>,
    pub(super) last_proposal: u64,
    pub(super) completed: VecDeque<CompletedProposal>,
    pub(super) reassembler: Reassembler,
    pub(super) last_message: u32,
    pub(super) outgoing: VecDeque<Datagram>,
    /// Counts since the start.
    pub counters: Counters,
}

impl Node {
    /// Starts a node. `incarnation` must grow with each start of the node. `file`: the bytes of a voter's file, empty for
    /// none; `snapshot`: what [`Node::snapshot`] of a node that is no voter returned, empty for none.
    ///
    /// # Errors
    /// [`StartError`] if `raft` can't use the file.
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
            policy_unread: true,
            contact: incarnation as usize % config.voters.len().max(1),
            contact_answered: true,
            compatible: CompatibleVersions::default(),
            proposed_activation: ProposedActivation::default(),
            next_renewal: now,
            next_expiry_sweep: now,
            incoming: None,
            open_proposals: BTreeMap::new(),
            recently_proposed: BTreeMap::new(),
            last_proposal: 0,
            completed: VecDeque::new(),
            reassembler: Reassembler::default(),
            last_message: 0,
            outgoing: VecDeque::new(),
            counters: Counters::default(),
            config,
        };
        node.refresh_policy();
        Ok(node)
    }

    /// How many bytes of the voter's file are valid: the rest is to be cut off before anything is appended. 0 for a node
    /// that is no voter.
    pub fn valid_log_len(&self) -> usize {
        self.voter.as_ref().map_or(0, Voter::valid_log_len)
    }

    /// The versions that this node has.
    pub fn version_log(&self) -> &VersionLog {
        self.voter.as_ref().map_or(&self.replica_log, Voter::version_log)
    }

    /// The configuration that the node was started with.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// What this node acts on, until [`Node::lease_until`].
    pub fn apply_policy(&self) -> &ApplyPolicy {
        &self.apply_policy
    }

    /// When the lease of this node ends; 0 before the first.
    pub fn lease_until(&self) -> Us {
        self.lease.until()
    }

    /// What this node acts on, if it may have changed since this was called last.
    pub fn take_apply_policy(&mut self) -> Option<LeasedPolicy> {
        std::mem::take(&mut self.policy_unread)
            .then(|| LeasedPolicy { policy: self.apply_policy.clone(), until: self.lease.until() })
    }

    /// Datagrams to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        self.outgoing.drain(..).collect()
    }

    /// What is to be written to the voter's file, in this order.
    pub fn take_writes(&mut self) -> Vec<DiskWrite> {
        self.voter.as_mut().map(Voter::take_writes).unwrap_or_default()
    }

    /// The versions of a node that is no voter, to be passed to its next start; `None` for a voter.
    pub fn snapshot(&self) -> Option<Vec<u8>> {
        self.voter.is_none().then(|| self.replica_log.snapshot())
    }

    /// Proposals of this node that are completed.
    pub fn take_outcomes(&mut self) -> Vec<CompletedProposal> {
        self.completed.drain(..).collect()
    }

    /// Name of the leader, as far as a voter has heard; `None` for other nodes.
    pub fn leader(&self) -> Option<&str> {
        let id = self.voter.as_ref().and_then(Voter::leader)?;
        self.voter_name(id)
    }

    pub(super) fn voter_name(&self, id: VoterId) -> Option<&str> {
        let index = (id as usize).checked_sub(1)?;
        self.config.voters.get(index).map(String::as_str)
    }

    /// Whether this node leads.
    pub fn is_leader(&self) -> bool {
        self.lessor.is_some()
    }

    /// Whether this node is a voter.
    pub fn is_voter(&self) -> bool {
        self.voter.is_some()
    }

    /// How many nodes have a lease, and how many of them the newest version; `None` unless this node leads.
    pub fn lease_holders(&self) -> Option<LeaseHolderCount> {
        self.lessor.as_ref().map(|lessor| lessor.count(self.now, self.version_log().number()))
    }
}
