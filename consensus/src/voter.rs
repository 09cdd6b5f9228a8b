//! A voter: one of a few named nodes whose majority orders commands and has them on disk, by the crate `raft`.
//!
//! Messages, ticks and finished writes are passed in; messages and writes come out. A message that acknowledges something is
//! only sent once the write that it depends on is on disk.

use crate::command::{Command, ResolvedProposal};
use crate::record::{decode_records, encode_records, is_damaged, Record, StoredHardState, StoredSnapshot};
use crate::storage::VoterStorage;
use crate::version_log::VersionLog;
use asterrill::Us;
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message, MessageType};
use raft::storage::Storage;
use raft::{RawNode, ReadOnlyOption, ReadState, Ready, StateRole};
use std::collections::{BTreeSet, VecDeque};
use xxhash_rust::xxh3::xxh3_64;

/// Ticks without a message of a leader until another may be elected.
const ELECTION_TICKS: usize = 10;
const HEARTBEAT_TICKS: usize = 2;
const MAX_MESSAGE_BYTES: u64 = 32 * 1024; // of entries in one message
const MAX_INFLIGHT_MESSAGES: usize = 64;
const MAX_LOG_ENTRIES: usize = 512; // after the snapshot, before the log is compacted
const MAX_UNCOMMITTED_BYTES: u64 = 1 << 20;

/// The id of a voter: its place among the voters' names, counted from 1. 0 stands for none.
pub type VoterId = u64;

/// Something to be written to the voter's file.
#[derive(Clone, Debug, PartialEq)]
pub struct DiskWrite {
    /// Reported back by [`crate::Node::persisted`] once it is on disk. Numbers grow.
    pub number: u64,
    /// What is written.
    pub bytes: Vec<u8>,
    /// Whether the bytes replace the file; otherwise they are appended to it.
    pub replace: bool,
}

/// A raft message to another voter.
#[derive(Clone, Debug, PartialEq)]
pub struct RaftMessage {
    /// The voter that it is for.
    pub to: VoterId,
    /// The message, as `raft` encodes it (protobuf).
    pub bytes: Vec<u8>,
}

/// A ready state of `raft` whose records are being written.
struct PendingReady {
    number: u64,
    records: Vec<Record>,
    /// Sent once the records are on disk.
    messages: Vec<Message>,
}

/// See the module's documentation.
pub struct Voter {
    raft: RawNode<VoterStorage>,
    id: VoterId,
    voter_count: usize,
    version_log: VersionLog,
    pending: VecDeque<PendingReady>,
    last_write: u64,
    tick_interval: Us,
    next_tick: Us,
    /// The file is lost or damaged: this voter may have acknowledged more than it has, and has no vote until it has caught up.
    non_voting: bool,
    /// Voters that have said that their log is empty, this one included.
    empty_voters: BTreeSet<VoterId>,
    valid_log_len: usize,
    outgoing: Vec<RaftMessage>,
    writes: Vec<DiskWrite>,
    passed_barriers: Vec<u64>,
    resolved: Vec<ResolvedProposal>,
    leader_to_notify: Option<VoterId>,
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

    fn last_index(&self) -> u64 {
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

    /// Time has passed.
    pub fn tick(&mut self, now: Us) {
        if now < self.next_tick {
            return;
        }
        // After a pause only one tick counts: that nothing was heard meanwhile is this voter's own fault.
        self.next_tick = now + self.tick_interval;
        if !self.non_voting {
            self.raft.tick();
        }
        self.process_ready();
    }

    /// Another voter says that its log is empty. Once all have said so, the cluster is new and this voter may vote.
    pub fn peer_is_empty(&mut self, id: VoterId) {
        self.empty_voters.insert(id);
        self.bootstrap_if_all_empty();
    }

    fn bootstrap_if_all_empty(&mut self) {
        if self.is_empty() && self.empty_voters.len() >= self.voter_count {
            self.non_voting = false;
        }
    }

    /// Another voter says that it has less than it had: as the leader, send it everything from the start.
    pub fn peer_lost_log(&mut self, id: VoterId) {
        let progress = self.raft.raft.mut_prs().get_mut(id);
        if let Some(progress) = progress.filter(|_| id != self.id) {
            progress.matched = 0;
            progress.next_idx = 1;
            progress.become_probe();
        }
    }

    /// A message of another voter. False if it makes no sense and was dropped.
    pub fn receive(&mut self, from: VoterId, bytes: &[u8]) -> bool {
        let Ok(message) = Message::parse_from_bytes(bytes) else { return false };
        if message.get_from() != from || message.get_to() != self.id {
            return false;
        }
        if !self.is_consistent(&message) {
            let heartbeat = message.get_msg_type() == MessageType::MsgHeartbeat;
            if heartbeat {
                self.leader_to_notify = Some(from);
            }
            return heartbeat || self.non_voting;
        }
        let is_append = message.get_msg_type() == MessageType::MsgAppend;
        let leader_commit = message.get_commit();
        let accepted = self.raft.step(message).is_ok();
        self.process_ready();
        if is_append {
            self.vote_if_caught_up(leader_commit);
        }
        accepted
    }

    /// Everything that the leader had committed when it sent its message is here: this voter may vote again.
    fn vote_if_caught_up(&mut self, leader_commit: u64) {
        let committed = self.raft.raft.raft_log.committed;
        if self.non_voting && self.last_index() > 0 && committed >= leader_commit {
            self.non_voting = false;
        }
    }

    /// Whether a message is consistent with the log of this voter. `raft` panics on one that is not.
    fn is_consistent(&self, message: &Message) -> bool {
        match message.get_msg_type() {
            MessageType::MsgHeartbeat => message.get_commit() <= self.last_index(),
            MessageType::MsgAppend => {
                self.agrees_on(message.get_index(), message.get_log_term())
                    && message.get_entries().iter().all(|e| self.agrees_on(e.get_index(), e.get_term()))
            }
            MessageType::MsgRequestVote | MessageType::MsgRequestPreVote => !self.non_voting,
            MessageType::MsgHup | MessageType::MsgBeat | MessageType::MsgPropose => false,
            _ => true,
        }
    }

    /// Whether no committed entry of this voter at `index` has another term.
    fn agrees_on(&self, index: u64, term: u64) -> bool {
        let log = &self.raft.raft.raft_log;
        if index == 0 || index > log.committed {
            return true;
        }
        let own_term = log.term(index).unwrap_or(0);
        own_term == 0 || own_term == term
    }

    /// Proposes a command. False if this voter does not lead, or too many bytes are uncommitted.
    pub fn propose(&mut self, command: &Command) -> bool {
        let Ok(bytes) = postcard::to_stdvec(command) else { return false };
        let accepted = self.is_leader() && self.raft.propose(Vec::new(), bytes).is_ok();
        self.process_ready();
        accepted
    }

    /// Starts a barrier: once a majority has confirmed, after this moment, that this voter leads, the number is among
    /// [`Voter::take_passed_barriers`].
    pub fn start_barrier(&mut self, number: u64) {
        self.raft.read_index(number.to_le_bytes().to_vec());
        self.process_ready();
    }

    /// All writes up to this number are on disk.
    pub fn persisted(&mut self, number: u64) {
        while self.pending.front().is_some_and(|pending| pending.number <= number) {
            self.complete_first_pending();
        }
        self.process_ready();
    }

    fn complete_first_pending(&mut self) {
        let Some(pending) = self.pending.pop_front() else { return };
        // In this order: `raft` panics if a snapshot is applied that is not persisted yet.
        self.raft.on_persist_ready(pending.number);
        for record in &pending.records {
            if let Record::Snapshot(snapshot) = record {
                self.version_log = VersionLog::from_snapshot(&snapshot.data).unwrap_or_default();
                self.raft.advance_apply_to(snapshot.index);
            }
        }
        self.send(pending.messages);
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            if let Ok(bytes) = message.write_to_bytes() {
                self.outgoing.push(RaftMessage { to: message.get_to(), bytes });
            }
        }
    }

    /// The election timeout follows from the id and the term, not from the random numbers of `raft`, so that runs can be
    /// replayed.
    fn set_election_timeout(&mut self) {
        let hash = xxh3_64(&[self.id.to_le_bytes(), self.raft.raft.term.to_le_bytes()].concat());
        let extra = (hash % ELECTION_TICKS as u64) as usize;
        self.raft.raft.set_randomized_election_timeout(ELECTION_TICKS + extra);
    }

    /// Does everything that `raft` has ready.
    fn process_ready(&mut self) {
        self.set_election_timeout();
        while self.raft.has_ready() {
            let ready = self.raft.ready();
            self.process_one_ready(ready);
            // A ready state with nothing to write only waits for those before it.
            while self.pending.front().is_some_and(|pending| pending.records.is_empty()) {
                self.complete_first_pending();
            }
        }
        if self.pending.is_empty() && self.raft.store().entry_count() > MAX_LOG_ENTRIES {
            self.compact();
        }
    }

    fn process_one_ready(&mut self, mut ready: Ready) {
        let number = ready.number();
        self.send(ready.take_messages());
        let records = records_of(&mut ready);
        self.collect_passed_barriers(ready.take_read_states());
        let committed = ready.take_committed_entries();
        let messages = ready.take_persisted_messages();
        // `raft` can read the records from here on; the messages that depend on them wait until they are on disk.
        for record in &records {
            self.raft.mut_store().apply(record);
        }
        self.raft.advance_append_async(ready);
        self.apply_committed(committed);
        if !records.is_empty() {
            self.last_write = number;
            self.writes.push(DiskWrite { number, bytes: encode_records(&records), replace: false });
        }
        self.pending.push_back(PendingReady { number, records, messages });
    }

    fn collect_passed_barriers(&mut self, read_states: Vec<ReadState>) {
        for read_state in read_states {
            let number = read_state.request_ctx.as_slice().try_into().map(u64::from_le_bytes);
            self.passed_barriers.extend(number);
        }
    }

    fn apply_committed(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.get_entry_type() == EntryType::EntryNormal && !entry.get_data().is_empty() {
                if let Ok(command) = postcard::from_bytes(entry.get_data()) {
                    self.resolved.extend(self.version_log.apply(command));
                }
            }
            self.raft.advance_apply_to(entry.get_index());
        }
    }

    /// Replaces the applied part of the log by a snapshot, and rewrites the file.
    fn compact(&mut self) {
        let index = self.raft.raft.raft_log.applied;
        let Ok(term) = self.raft.store().term(index) else { return };
        if index <= self.raft.store().stored_snapshot().index {
            return;
        }
        let snapshot = StoredSnapshot { index, term, data: self.version_log.snapshot() };
        let storage = self.raft.mut_store();
        storage.apply(&Record::Snapshot(snapshot));
        let bytes = encode_records(&storage.records());
        self.writes.push(DiskWrite { number: self.last_write, bytes, replace: true });
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

/// What of a ready state has to be on disk: snapshot, entries, hard state.
fn records_of(ready: &mut Ready) -> Vec<Record> {
    let mut records = Vec::new();
    if !ready.snapshot().is_empty() {
        let metadata = ready.snapshot().get_metadata();
        records.push(Record::Snapshot(StoredSnapshot {
            index: metadata.get_index(),
            term: metadata.get_term(),
            data: ready.snapshot().get_data().to_vec(),
        }));
    }
    let entries = ready.take_entries();
    records.extend(entries.iter().filter_map(|e| e.write_to_bytes().ok().map(Record::Entry)));
    if let Some(hard_state) = ready.hs() {
        records.push(Record::HardState(StoredHardState {
            term: hard_state.get_term(),
            vote: hard_state.get_vote(),
            commit: hard_state.get_commit(),
        }));
    }
    records
}
