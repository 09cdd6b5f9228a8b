//! In-memory log of a voter, as the crate `raft` reads it. The log on disk is encoded by [`crate::record`].

use crate::record::{Record, StoredHardState, StoredSnapshot};
use protobuf::Message;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};

/// Hard state, snapshot, and the log entries after the snapshot.
#[derive(Clone, Debug, Default)]
pub struct VoterStorage {
    hard_state: HardState,
    conf_state: ConfState,
    entries: Vec<Entry>,
    snapshot: StoredSnapshot,
}

impl VoterStorage {
    /// Returns the storage of a voter with these records, one of `voters` voters whose ids are 1 to `voters`.
    pub fn from_records(voters: usize, records: &[Record]) -> Result<VoterStorage> {
        let mut conf_state = ConfState::default();
        conf_state.set_voters((1..=voters as u64).collect());
        let mut storage = VoterStorage { conf_state, ..VoterStorage::default() };
        for record in records {
            storage.apply(record);
        }
        // Committed entries that are missing here were lost with a torn tail. The other voters have them.
        let last = storage.last_index()?;
        let commit = storage.hard_state.get_commit().min(last);
        storage.hard_state.set_commit(commit);
        Ok(storage)
    }

    /// Applies a record. Records must be applied in the order in which they are written.
    pub fn apply(&mut self, record: &Record) {
        match record {
            Record::HardState(hard_state) => {
                self.hard_state.set_term(hard_state.term);
                self.hard_state.set_vote(hard_state.vote);
                self.hard_state.set_commit(hard_state.commit);
            }
            Record::Entry(bytes) => {
                if let Ok(entry) = Entry::parse_from_bytes(bytes) {
                    self.append(entry);
                }
            }
            Record::Snapshot(snapshot) => self.apply_snapshot(snapshot),
        }
    }

    /// Replaces all entries from the index of this one on.
    ///
    /// An entry that would leave a gap is dropped, because what follows a gap was never acknowledged.
    fn append(&mut self, entry: Entry) {
        let Some(position) = entry.get_index().checked_sub(self.snapshot.index + 1) else { return };
        if position <= self.entries.len() as u64 {
            self.entries.truncate(position as usize);
            self.entries.push(entry);
        }
    }

    fn apply_snapshot(&mut self, snapshot: &StoredSnapshot) {
        let covered = (snapshot.index.saturating_sub(self.snapshot.index) as usize).min(self.entries.len());
        let last_covered = self.entries.get(covered.wrapping_sub(1));
        let same_history = last_covered.is_some_and(|entry| entry.get_term() == snapshot.term);
        self.entries.drain(..covered);
        if !same_history && covered > 0 {
            self.entries.clear();
        }
        self.snapshot = snapshot.clone();
        self.hard_state.set_commit(self.hard_state.get_commit().max(snapshot.index));
    }

    /// Returns the snapshot; its index is 0 if there is none.
    pub fn stored_snapshot(&self) -> &StoredSnapshot {
        &self.snapshot
    }

    /// Returns the number of entries after the snapshot.
    pub fn entry_count(&self) -> usize {
        self.entries.len()
    }

    /// Returns the complete storage as the records of a rewritten file.
    pub fn records(&self) -> Vec<Record> {
        let hard_state = Record::HardState(StoredHardState {
            term: self.hard_state.get_term(),
            vote: self.hard_state.get_vote(),
            commit: self.hard_state.get_commit(),
        });
        let snapshot = (self.snapshot.index > 0).then(|| Record::Snapshot(self.snapshot.clone()));
        let entries = self.entries.iter().filter_map(|e| e.write_to_bytes().ok().map(Record::Entry));
        snapshot.into_iter().chain([hard_state]).chain(entries).collect()
    }
}

impl Storage for VoterStorage {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state: self.conf_state.clone() })
    }

    fn entries(
        &self, low: u64, high: u64, max_size: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let first = self.snapshot.index + 1;
        let from = low.checked_sub(first).ok_or(Error::Store(StorageError::Compacted))?;
        let to = high.saturating_sub(first) as usize;
        let entries = self.entries.get(from as usize..to).ok_or(Error::Store(StorageError::Unavailable))?;
        let mut entries = entries.to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> Result<u64> {
        if index == self.snapshot.index {
            return Ok(self.snapshot.term);
        }
        let position =
            index.checked_sub(self.snapshot.index + 1).ok_or(Error::Store(StorageError::Compacted))?;
        let entry = self.entries.get(position as usize);
        entry.map(Entry::get_term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> Result<u64> {
        Ok(self.snapshot.index + 1)
    }

    fn last_index(&self) -> Result<u64> {
        Ok(self.snapshot.index + self.entries.len() as u64)
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> Result<Snapshot> {
        if request_index > self.snapshot.index || self.snapshot.index == 0 {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.snapshot.data.clone().into());
        let metadata = snapshot.mut_metadata();
        metadata.set_index(self.snapshot.index);
        metadata.set_term(self.snapshot.term);
        metadata.set_conf_state(self.conf_state.clone());
        Ok(snapshot)
    }
}
