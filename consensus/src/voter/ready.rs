//! Processing of ready states of `raft`: records are written, messages that depend on them are sent after that, and
//! committed commands are applied.

use super::state::{PendingReady, Voter, ELECTION_TICKS};
use super::types::{DiskWrite, RaftMessage};
use crate::record::{encode_records, Record, StoredHardState, StoredSnapshot};
use crate::version_log::VersionLog;
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, Message};
use raft::storage::Storage;
use raft::{ReadState, Ready};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of log entries after the snapshot before the log is compacted.
const MAX_UNCOMPACTED_ENTRIES: usize = 512;

impl Voter {
    /// Records that all writes up to this number are on disk.
    pub fn persisted(&mut self, number: u64) {
        while self.pending.front().is_some_and(|pending| pending.number <= number) {
            self.complete_first_pending();
        }
        self.process_ready();
    }

    fn complete_first_pending(&mut self) {
        let Some(pending) = self.pending.pop_front() else { return };
        // The order matters: `raft` panics if a snapshot is applied that is not persisted yet.
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

    /// Sets the election timeout by a hash of the id and the term instead of the random numbers of `raft`, so that runs
    /// can be replayed.
    fn set_election_timeout(&mut self) {
        let hash = xxh3_64(&[self.id.to_le_bytes(), self.raft.raft.term.to_le_bytes()].concat());
        let extra = (hash % ELECTION_TICKS as u64) as usize;
        self.raft.raft.set_randomized_election_timeout(ELECTION_TICKS + extra);
    }

    /// Processes all ready states of `raft`.
    pub(super) fn process_ready(&mut self) {
        self.set_election_timeout();
        while self.raft.has_ready() {
            let ready = self.raft.ready();
            self.process_one_ready(ready);
            // A ready state without writes only waits for the earlier ones.
            while self.pending.front().is_some_and(|pending| pending.records.is_empty()) {
                self.complete_first_pending();
            }
        }
        if self.pending.is_empty() && self.raft.store().entry_count() > MAX_UNCOMPACTED_ENTRIES {
            self.compact();
        }
    }

    fn process_one_ready(&mut self, mut ready: Ready) {
        let number = ready.number();
        self.send(ready.take_messages());
        let records = take_records(&mut ready);
        self.collect_confirmed_barriers(ready.take_read_states());
        let committed = ready.take_committed_entries();
        let messages = ready.take_persisted_messages();
        // `raft` can read the records from here on. The messages that depend on them wait until the records are on disk.
        for record in &records {
            self.raft.mut_store().apply(record);
        }
        self.raft.advance_append_async(ready);
        self.apply_committed(committed);
        if !records.is_empty() {
            self.last_write_number = number;
            self.writes.push(DiskWrite { number, bytes: encode_records(&records), replace: false });
        }
        self.pending.push_back(PendingReady { number, records, messages });
    }

    fn collect_confirmed_barriers(&mut self, read_states: Vec<ReadState>) {
        for read_state in read_states {
            let number = read_state.request_ctx.as_slice().try_into().map(u64::from_le_bytes);
            self.confirmed_barriers.extend(number);
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
        self.writes.push(DiskWrite { number: self.last_write_number, bytes, replace: true });
    }
}

/// Returns the records of a ready state that must be on disk: snapshot, entries, hard state.
fn take_records(ready: &mut Ready) -> Vec<Record> {
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
