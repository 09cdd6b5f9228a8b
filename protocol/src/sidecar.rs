//! The binary frames between sidecars and a backend.
//!
//! A frame is a 32-bit length, a type, a 32-bit stream number and a payload, in network byte order. A frame may be far
//! longer than the part of it that is stored: fields that are not used here are skipped as they arrive.

mod message;
mod reader;
mod stream_ids;
mod writer;

pub use message::{Frame, RpcRequest, StreamId};
pub use reader::Reader;
pub use writer::{answer, error, goaway, health, MAX_ANSWER_OVERHEAD_BYTES};

/// Maximum number of streams that may be open on one connection.
pub const MAX_STREAMS: usize = 32;
