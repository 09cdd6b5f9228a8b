//! Records of a voter's file, and their encoding.
//!
//! Each record is a header of 12 bytes, little-endian, and a body. The header has the length of the body (u32) and the
//! XXH3 hash of the body (u64). The body is a [`Record`] as `postcard` encodes it.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

const LENGTH_BYTES: usize = 4;
/// Length of the header of a record, in bytes.
const HEADER_BYTES: usize = LENGTH_BYTES + 8;

/// Hard state of raft.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredHardState {
    /// Current term.
    pub term: u64,
    /// Id of the voter that this one voted for in that term; 0 for none.
    pub vote: u64,
    /// Index of the last committed log entry.
    pub commit: u64,
}

/// Snapshot of the state machine, which replaces all log entries up to an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredSnapshot {
    /// Index of the last log entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Encoded state machine, see [`crate::VersionLog::snapshot`].
    pub data: Vec<u8>,
}

/// Record of a voter's file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// Hard state of raft.
    HardState(StoredHardState),
    /// Log entry, as `raft` encodes it (protobuf). It replaces all entries from its index on.
    Entry(Vec<u8>),
    /// Snapshot. Entries that it covers are dropped.
    Snapshot(StoredSnapshot),
}

/// Records that could be decoded from a voter's file.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedRecords {
    /// Records, in the order in which they were written.
    pub records: Vec<Record>,
    /// Length of the decoded records, in bytes. The bytes after it are a torn tail or damaged.
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

/// Decodes the records before the first one that is incomplete or damaged.
pub fn decode_records(bytes: &[u8]) -> DecodedRecords {
    let mut decoded = DecodedRecords { records: Vec::new(), valid_len: 0 };
    while let Some((record, length)) = bytes.get(decoded.valid_len..).and_then(decode_first_record) {
        decoded.records.push(record);
        decoded.valid_len += length;
    }
    decoded
}

/// Decodes the first record. Returns it and its length including the header.
fn decode_first_record(bytes: &[u8]) -> Option<(Record, usize)> {
    let (header, rest) = bytes.split_at_checked(HEADER_BYTES)?;
    let (length, checksum) = header.split_at_checked(LENGTH_BYTES)?;
    let length = u32::from_le_bytes(length.try_into().ok()?) as usize;
    let checksum = u64::from_le_bytes(checksum.try_into().ok()?);
    let body = rest.get(..length).filter(|body| xxh3_64(body) == checksum)?;
    Some((postcard::from_bytes(body).ok()?, HEADER_BYTES + length))
}

/// Reports whether the file continues after the record that could not be decoded.
///
/// If so, the file is damaged rather than only torn at its end.
pub fn is_damaged(file: &[u8], valid_len: usize) -> bool {
    let Some(rest) = file.get(valid_len..).filter(|rest| rest.len() > LENGTH_BYTES) else { return false };
    let length = rest.get(..LENGTH_BYTES).and_then(|bytes| bytes.try_into().ok());
    let length = length.map_or(0, u32::from_le_bytes) as usize;
    rest.len() > length.saturating_add(HEADER_BYTES)
}
