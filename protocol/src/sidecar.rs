//! The binary frames between sidecars and a backend.
//!
//! A frame is a 32-bit length, a type, a 32-bit stream number and a payload, in network byte order. It may be far
//! longer than what is stored of it: fields that are not used here are passed over as they come.

mod message;
mod reader;
mod stream_ids;
mod writer;

pub use message::{Frame, RpcRequest, StreamId};
pub use reader::Reader;
pub use writer::{answer, error, goaway, health, MAX_ANSWER_OVERHEAD_BYTES};

/// The most streams that may be open on one connection.
pub const MAX_STREAMS: usize = 32;
