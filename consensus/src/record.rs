//! The records of a voter's file, and how they are written and read again.
//!
//! Each record is a head of 12 bytes, little-endian, and a body: length of the body (u32), XXH3 of the body (u64), and the
//! body, a [`Record`] as `postcard` encodes it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

const LENGTH_BYTES: usize = 4;
/// Length of the head of a record, in bytes.
const HEAD_BYTES: usize = LENGTH_BYTES + 8;

/// The hard state of raft.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHardState {
    /// The current term.
    pub term: u64,
    /// The voter that this one voted for in that term; 0 for none.
    pub vote: u64,
    /// Index of the last log entry that is committed.
    pub commit: u64,
}

/// A snapshot of the state machine, in place of all log entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Index of the last log entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// [`crate::VersionLog::snapshot`].
    pub data: Vec<u8>,
}

/// One record of a voter's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The hard state of raft.
    HardState(StoredHardState),
    /// An entry of the log, as `raft` encodes it (protobuf). It replaces all entries from its index on.
    Entry(Vec<u8>),
    /// A snapshot. Entries that it covers are dropped.
    Snapshot(StoredSnapshot),
}

/// What could be read of a voter's file.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedRecords {
    /// The records, in the order in which they were written.
    pub records: Vec<Record>,
    /// How many bytes they take. What follows is a torn tail or damage.
    pub valid_len: usize,
}

/// Encodes records for a voter's file.
pub fn encode_records(records: &[Record]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for record in records {
        let body = postcard::to_stdvec(record).unwrap_or_default();
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&xxh3_64(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
    }
    bytes
}

/// Decodes records up to the first that is incomplete or damaged.
pub fn decode_records(bytes: &[u8]) -> DecodedRecords {
    let mut decoded = DecodedRecords { records: Vec::new(), valid_len: 0 };
    while let Some((record, length)) = bytes.get(decoded.valid_len..).and_then(decode_first) {
        decoded.records.push(record);
        decoded.valid_len += length;
    }
    decoded
}

/// The first record of some bytes, and its length with the head.
fn decode_first(bytes: &[u8]) -> Option<(Record, usize)> {
    let (head, rest) = bytes.split_at_checked(HEAD_BYTES)?;
    let (length, checksum) = head.split_at_checked(LENGTH_BYTES)?;
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let checksum = u64::from_le_bytes(checksum.try_into().ok()?);
    let body = rest.get(..length).filter(|body| xxh3_64(body) == checksum)?;
    Some((postcard::from_bytes(body).ok()?, HEAD_BYTES + length))
}

/// Whether the file goes on after the record that could not be decoded: then it was damaged, not just torn at its end.
pub fn is_damaged(file: &[u8], valid_len: usize) -> bool {
    let Some(rest) = file.get(valid_len..).filter(|rest| rest.len() > LENGTH_BYTES) else { return false };
    let length = rest.get(..LENGTH_BYTES).and_then(|bytes| bytes.try_into().ok());
    let length = length.map_or(0, u32::from_le_bytes) as usize;
    rest.len() > length.saturating_add(HEAD_BYTES)
}
