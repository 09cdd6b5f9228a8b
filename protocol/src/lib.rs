//! The protocols of a backend as state machines without I/O.
//!
//! Each reader is fed bytes as they arrive and returns messages; each protocol has functions that write messages into a
//! buffer. None of them uses a socket, a clock or a coroutine, and a reader stores at most one message, whose size is
//! bounded. The names that the protocols use on the wire appear in this crate only.
//!
//! | module | remote peer |
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

/// Malformed input. Nothing more can be read from the connection on which it was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ProtocolError(pub &'static str);

/// Maximum length of a body from the agent or the upstream tier, in bytes. Longer bodies from the agent are skipped;
/// longer ones from the upstream tier are an error.
pub const MAX_BODY_BYTES: usize = 4096;
