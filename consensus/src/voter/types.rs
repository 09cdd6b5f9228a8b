//! What a voter puts out: messages to other voters, and writes.

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
