//! Output types of a voter: messages to other voters, and writes.

/// Id of a voter: its position among the voters' names, counted from 1; 0 stands for none.
pub type VoterId = u64;

/// Write to the voter's file.
#[derive(Clone, Debug, PartialEq)]
pub struct DiskWrite {
    /// Number to pass to [`crate::Node::persisted`] once the write is on disk. Numbers increase.
    pub number: u64,
    /// Bytes to write.
    pub bytes: Vec<u8>,
    /// True if the bytes replace the file; otherwise they are appended to it.
    pub replace: bool,
}

/// Raft message to another voter.
#[derive(Clone, Debug, PartialEq)]
pub struct RaftMessage {
    /// Id of the destination voter.
    pub to: VoterId,
    /// Message, as `raft` encodes it (protobuf).
    pub bytes: Vec<u8>,
}
