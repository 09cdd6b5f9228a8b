//! The protocols of a backend as state machines without I/O.
//!
//! Each reader is fed bytes as they come and hands back messages; each protocol has functions that write messages into
//! a buffer. They know no socket, clock or coroutine, and store no more than one message, whose size is bounded. The
//! outside names of the protocols are used in this crate only.
//!
//! | module | who is at the other end |
//! | --- | --- |
//! | [`sidecar`] | callers' sidecars: RPCs, health checks |
//! | [`agent`] | the agent that owns the cores: runs, gauges |
//! | [`upstream`] | the tier that this backend calls |
//! | [`name_service`] | reports whether this backend serves |
//! | [`amqp`] | a message broker |

#![warn(missing_docs)]

pub mod agent;
pub mod amqp;
mod line_reader;
pub mod name_service;
pub mod sidecar;
#[cfg(test)]
mod tests;
pub mod upstream;

/// What was read can't be understood: nothing more can be read from the connection it came on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ProtocolError(pub &'static str);

/// The longest body, in bytes, that is read from the agent and the upstream tier; longer ones are passed over.
pub const MAX_BODY_BYTES: usize = 4096;
