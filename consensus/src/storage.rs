//! What a keeper has on disk, as `raft` asks for it; and the records by which it is written and read again.

use protobuf::Message;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result, Storage, StorageError};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// One record of a keeper's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Term, vote, commit.
    Hard(u64, u64, u64),
    /// An entry of the log; it takes the place of all from its index on.
    Entry(Vec<u8>),
    /// All up to this index and term, as one image: entries before it are gone.
    Image(u64, u64, Vec<u8>),
}

pub const HEAD: usize = 12; // length and sum of a record

/// Records as bytes, each with its length and sum.
pub fn seal(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let body = postcard::to_stdvec(record).unwrap_or_default();
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&xxh3_64(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
    }
    bytes
}

/// The records that are whole, and how many bytes they take. What follows is a torn tail, or damage in the middle: what
/// comes after that can't be believed.
pub fn open(bytes: &[u8]) -> (Vec<Record>, usize) {
    let (mut records, mut at) = (Vec::new(), 0);
    while let Some(head) = bytes.get(at..at + HEAD) {
        let (length, sum) = head.split_at(4);
        let length = length.try_into().map_or(0, u32::from_le_bytes) as usize;
        let sum = sum.try_into().map_or(0, u64::from_le_bytes);
        let Some(body) = bytes.get(at + HEAD..at + HEAD + length).filter(|body| xxh3_64(body) == sum) else {
            break;
        };
        let Ok(record) = postcard::from_bytes(body) else { break };
        records.push(record);
        at += HEAD + length;
    }
    (records, at)
}

/// The log of a keeper.
#[derive(Clone, Debug, Default)]
pub struct Shelf {
    pub hard: HardState,
    conf: ConfState,
    entries: Vec<Entry>,
    /// Index, term and bytes of the image.
    image: (u64, u64, Vec<u8>),
}

impl Shelf {
    pub fn new(voters: usize) -> Shelf {
        let mut conf = ConfState::default();
        conf.set_voters((1..=voters as u64).collect());
        Shelf { conf, ..Shelf::default() }
    }
    /// Takes a record in, as it was written.
    pub fn take(&mut self, record: &Record) {
        match record {
            Record::Hard(term, vote, commit) => {
                self.hard.set_term(*term);
                self.hard.set_vote(*vote);
                self.hard.set_commit(*commit);
            }
            Record::Entry(bytes) => {
                let Ok(entry) = Entry::parse_from_bytes(bytes) else { return };
                let first = self.image.0 + 1;
                // A gap can't be filled: what follows it was never here.
                if let Some(keep) =
                    entry.get_index().checked_sub(first).filter(|k| *k <= self.entries.len() as u64)
                {
                    self.entries.truncate(keep as usize);
                    self.entries.push(entry);
                }
            }
            Record::Image(index, term, bytes) => {
                let gone = (index.saturating_sub(self.image.0) as usize).min(self.entries.len());
                let same = self.entries.get(gone.wrapping_sub(1)).is_some_and(|e| e.get_term() == *term);
                self.entries.drain(..gone);
                if !same && gone > 0 {
                    self.entries.clear();
                }
                self.image = (*index, *term, bytes.clone());
                self.hard.set_commit(self.hard.get_commit().max(*index));
            }
        }
    }
    pub fn image(&self) -> &(u64, u64, Vec<u8>) {
        &self.image
    }
    /// Entries beside the image.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
    /// All of it, as records for a file made anew.
    pub fn records(&self) -> Vec<Record> {
        let (index, term, bytes) = self.image.clone();
        let hard = Record::Hard(self.hard.get_term(), self.hard.get_vote(), self.hard.get_commit());
        let entries = self.entries.iter().filter_map(|e| e.write_to_bytes().ok().map(Record::Entry));
        let image = (index > 0).then_some(Record::Image(index, term, bytes));
        image.into_iter().chain([hard]).chain(entries).collect()
    }
}

impl Storage for Shelf {
    fn initial_state(&self) -> Result<RaftState> {
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: self.conf.clone() })
    }
    fn entries(
        &self, low: u64, high: u64, max_size: impl Into<Option<u64>>, _: GetEntriesContext,
    ) -> Result<Vec<Entry>> {
        let first = self.image.0 + 1;
        let Some(from) = low.checked_sub(first) else { return Err(Error::Store(StorageError::Compacted)) };
        let to = high.saturating_sub(first) as usize;
        let all = self.entries.get(from as usize..to).ok_or(Error::Store(StorageError::Unavailable))?;
        let mut all = all.to_vec();
        raft::util::limit_size(&mut all, max_size.into());
        Ok(all)
    }
    fn term(&self, index: u64) -> Result<u64> {
        if index == self.image.0 {
            return Ok(self.image.1);
        }
        let Some(at) = index.checked_sub(self.image.0 + 1) else {
            return Err(Error::Store(StorageError::Compacted));
        };
        let entry = self.entries.get(at as usize);
        entry.map(Entry::get_term).ok_or(Error::Store(StorageError::Unavailable))
    }
    fn first_index(&self) -> Result<u64> {
        Ok(self.image.0 + 1)
    }
    fn last_index(&self) -> Result<u64> {
        Ok(self.image.0 + self.entries.len() as u64)
    }
    fn snapshot(&self, wanted: u64, _: u64) -> Result<Snapshot> {
        if wanted > self.image.0 || self.image.0 == 0 {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        let mut snapshot = Snapshot::default();
        snapshot.set_data(self.image.2.clone().into());
        let about = snapshot.mut_metadata();
        about.set_index(self.image.0);
        about.set_term(self.image.1);
        about.set_conf_state(self.conf.clone());
        Ok(snapshot)
    }
}
