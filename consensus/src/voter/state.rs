//! Fields of a voter, its start and its accessors.

use super::types::{DiskWrite, RaftMessage, VoterId};
use crate::command::ResolvedProposal;
use crate::record::{decode_records, is_damaged, Record};
use crate::storage::VoterStorage;
use crate::version_log::VersionLog;
use asterrill::Us;
use raft::eraftpb::Message;
use raft::{RawNode, ReadOnlyOption, StateRole};
use std::collections::{BTreeSet, VecDeque};

/// Number of ticks without a message from a leader until another voter may be elected.
pub(super) const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
/// Maximum length of the log entries in one message.
const MAX_MESSAGE_ENTRIES_BYTES: u64 = 32 * 1024;
const MAX_INFLIGHT_MESSAGES: usize = 64;
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// Ready state of `raft` whose records are being written.
pub(super) struct PendingReady {
    pub number: u64,
    pub records: Vec<Record>,
    /// Messages that are sent once the records are on disk.
    pub messages: Vec<Message>,
}

/// Raft voter without I/O. Messages, ticks and completed writes are passed in; messages and writes are taken out.
pub struct Voter {
    pub(super) raft: RawNode<VoterStorage>,
    pub(super) id: VoterId,
    pub(super) voter_count: usize,
    pub(super) version_log: VersionLog,
    pub(super) pending: VecDeque<PendingReady>,
    pub(super) last_write_number: u64,
    pub(super) tick_interval: Us,
    pub(super) next_tick: Us,
    /// True while this voter must not vote.
    ///
    /// This is so if its file is empty or damaged, because it may have acknowledged entries that it no longer has. It
    /// may vote once it has caught up, or once the logs of all voters are known to be empty.
    pub(super) non_voting: bool,
    /// Voters that have reported that their log is empty, including this one.
    pub(super) empty_voters: BTreeSet<VoterId>,
    pub(super) valid_log_len: usize,
    pub(super) outgoing: Vec<RaftMessage>,
    pub(super) writes: Vec<DiskWrite>,
    pub(super) confirmed_barriers: Vec<u64>,
    pub(super) resolved: Vec<ResolvedProposal>,
    pub(super) leader_to_notify: Option<VoterId>,
}

impl Voter {
    /// Starts a voter.
    ///
    /// `id` is from 1 to `voter_count`. `file` has the bytes of the voter's file, and is empty if there is none.
    /// `tick_interval` is in microseconds.
    ///
    /// # Errors
    /// Returns a [`raft::Error`] if `raft` can't use the file.
    pub fn new(
        now: Us, id: VoterId, voter_count: usize, tick_interval: Us, file: &[u8],
    ) -> Result<Voter, raft::Error> {
        let decoded = decode_records(file);
        // A torn tail was never acknowledged. Any other damaged part may have been.
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
            last_write_number: 0,
            tick_interval,
            next_tick: now + tick_interval,
            non_voting,
            empty_voters: BTreeSet::from([id]),
            valid_log_len: decoded.valid_len,
            outgoing: Vec::new(),
            writes: Vec::new(),
            confirmed_barriers: Vec::new(),
            resolved: Vec::new(),
            leader_to_notify: None,
        };
        voter.bootstrap_if_all_empty();
        voter.process_ready();
        Ok(voter)
    }

    /// Returns the length of the valid part of the file, in bytes. The file must be truncated to it before an append.
    pub fn valid_log_len(&self) -> usize {
        self.valid_log_len
    }

    /// Returns the versions that this voter knows to be committed.
    pub fn version_log(&self) -> &VersionLog {
        &self.version_log
    }

    /// Reports whether this voter is the leader.
    pub fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    /// Returns the leader, if this voter knows it.
    pub fn leader(&self) -> Option<VoterId> {
        Some(self.raft.raft.leader_id).filter(|id| *id > 0)
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// Returns the time at which [`Voter::tick`] must be called next.
    pub fn next_tick(&self) -> Us {
        self.next_tick
    }

    /// Reports whether the log is empty. In a new cluster the logs of all voters are empty.
    pub fn is_log_empty(&self) -> bool {
        self.last_index() == 0
    }

    pub(super) fn last_index(&self) -> u64 {
        self.raft.raft.raft_log.last_index()
    }

    /// Takes the messages to other voters.
    pub fn take_outgoing(&mut self) -> Vec<RaftMessage> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the writes that must be made, in this order.
    pub fn take_writes(&mut self) -> Vec<DiskWrite> {
        std::mem::take(&mut self.writes)
    }

    /// Takes the numbers of barriers that a majority has confirmed: this voter led after they were started.
    pub fn take_confirmed_barriers(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.confirmed_barriers)
    }

    /// Takes the committed proposals.
    pub fn take_resolved(&mut self) -> Vec<ResolvedProposal> {
        std::mem::take(&mut self.resolved)
    }

    /// Takes the leader that must be notified that this voter has lost log entries, if any.
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
        max_size_per_msg: MAX_MESSAGE_ENTRIES_BYTES,
        max_inflight_msgs: MAX_INFLIGHT_MESSAGES,
        check_quorum: true,
        pre_vote: true,
        read_only_option: ReadOnlyOption::Safe,
        max_uncommitted_size: MAX_UNCOMMITTED_BYTES,
        max_committed_size_per_ready: MAX_UNCOMMITTED_BYTES,
        ..raft::Config::default()
    }
}
