//! The fields of a voter, its start, and what can be read and taken from it.

use super::types::{DiskWrite, RaftMessage, VoterId};
use crate::command::ResolvedProposal;
use crate::record::{decode_records, is_damaged, Record};
use crate::storage::VoterStorage;
use crate::version_log::VersionLog;
use asterrill::Us;
use raft::eraftpb::Message;
use raft::{RawNode, ReadOnlyOption, StateRole};
use std::collections::{BTreeSet, VecDeque};

/// Ticks without a message of a leader until another may be elected.
pub(super) const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
const MAX_MESSAGE_BYTES: u64 = 32 * 1024; // of entries in one message
const MAX_INFLIGHT_MESSAGES: usize = 64;
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// A ready state of `raft` whose records are being written.
pub(super) struct PendingReady {
    pub number: u64,
    pub records: Vec<Record>,
    /// Sent once the records are on disk.
    pub messages: Vec<Message>,
}

/// One voter. Messages, ticks and finished writes are passed in; messages and writes are taken out.
pub struct Voter {
    pub(super) raft: RawNode<VoterStorage>,
    pub(super) id: VoterId,
    pub(super) voter_count: usize,
    pub(super) version_log: VersionLog,
    pub(super) pending: VecDeque<PendingReady>,
    pub(super) last_write: u64,
    pub(super) tick_interval: Us,
    pub(super) next_tick: Us,
    /// The file is lost or damaged: this voter may have acknowledged more than it has, and has no vote until it has caught up.
    pub(super) non_voting: bool,
    /// Voters that have said that their log is empty, this one included.
    pub(super) empty_voters: BTreeSet<VoterId>,
    pub(super) valid_log_len: usize,
    pub(super) outgoing: Vec<RaftMessage>,
    pub(super) writes: Vec<DiskWrite>,
    pub(super) passed_barriers: Vec<u64>,
    pub(super) resolved: Vec<ResolvedProposal>,
    pub(super) leader_to_notify: Option<VoterId>,
}

impl Voter {
    /// `id`: from 1 to `voter_count`; `file`: the bytes of its file, empty for none; `tick_interval`: microseconds.
    ///
    /// # Errors
    /// What `raft` says about a file that it can't use.
    pub fn new(
        now: Us, id: VoterId, voter_count: usize, tick_interval: Us, file: &[u8],
    ) -> Result<Voter, raft::Error> {
        let decoded = decode_records(file);
        // What is torn at the end was never acknowledged. Anything else that is damaged may have been.
        let non_voting = decoded.records.is_empty() || is_damaged(file, decoded.valid_len);
        let storage = VoterStorage::from_records(voter_count, &decoded.records)?;
        let snapshot = storage.stored_snapshot();
        let applied = snapshot.index;
        let version_log = VersionLog::from_snapshot(&snapshot.data).unwrap_or_default();
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&raft_config(id, applied), storage, &logger)?;
        let mut voter = Voter {
            raft,
            id,
            voter_count,
            version_log,
            pending: VecDeque::new(),
            last_write: 0,
            tick_interval,
            next_tick: now + tick_interval,
            non_voting,
            empty_voters: BTreeSet::from([id]),
            valid_log_len: decoded.valid_len,
            outgoing: Vec::new(),
            writes: Vec::new(),
            passed_barriers: Vec::new(),
            resolved: Vec::new(),
            leader_to_notify: None,
        };
        voter.bootstrap_if_all_empty();
        voter.process_ready();
        Ok(voter)
    }

    /// How many bytes of the file are valid: the rest is to be cut off before anything is appended.
    pub fn valid_log_len(&self) -> usize {
        self.valid_log_len
    }

    /// The versions that are committed as far as this voter has heard.
    pub fn version_log(&self) -> &VersionLog {
        &self.version_log
    }

    /// Whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// The leader, as far as this voter has heard.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.raft.raft.leader_id).filter(|id| *id > 0)
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// When [`Voter::tick`] is to be called next.
    pub fn next_tick(&self) -> Us {
        self.next_tick
    }

    /// Whether the log is empty: perhaps no voter ever had anything.
    pub fn is_empty(&self) -> bool {
        self.last_index() == 0
    }

    pub(super) fn last_index(&self) -> u64 {
        self.raft.raft.raft_log.last_index()
    }

    /// Messages to other voters.
    pub fn take_outgoing(&mut self) -> Vec<RaftMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// What is to be written, in this order.
    pub fn take_writes(&mut self) -> Vec<DiskWrite> {
        std::mem::take(&mut self.writes)
    }

    /// Numbers of barriers that a majority has confirmed: this voter led after they were started.
    pub fn take_passed_barriers(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.passed_barriers)
    }

    /// Proposals that were committed.
    pub fn take_resolved(&mut self) -> Vec<ResolvedProposal> {
        std::mem::take(&mut self.resolved)
    }

    /// The leader that must be notified that this voter has less than it had, if any.
    pub fn take_leader_to_notify(&mut self) -> Option<VoterId> {
        self.leader_to_notify.take()
    }
}

fn raft_config(id: VoterId, applied: u64) -> raft::Config {
    raft::Config {
        id,
        election_tick: ELECTION_TICKS,
        heartbeat_tick: HEARTBEAT_TICKS,
        applied,
        max_size_per_msg: MAX_MESSAGE_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        read_only_option: ReadOnlyOption::Safe,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        max_committed_size_per_ready: MAX_UNCOMMITTED_BYTES,
        ..raft::Config::default()
    }
}
