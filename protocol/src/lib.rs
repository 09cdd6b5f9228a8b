//! What a backend speaks, as state machines: each is fed bytes as they come and hands back messages, and each
//! has functions that write messages into a buffer. They know no socket, clock or coroutine, and hold no more
//! than one message, whose size is bounded. The words of the protocols end here.

pub mod agent;
pub mod amqp;
mod line_reader;
pub mod name_service;
pub mod sidecar;
#[cfg(test)]
mod tests;
pub mod upstream;

use std::fmt;

/// What was read can't be understood: the connection it came on is of no more use for reading.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

impl fmt::Display for ProtocolError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// The longest body of any kind that is taken in; longer ones are passed over.
pub const MAX_BODY_BYTES: usize = 4096;
