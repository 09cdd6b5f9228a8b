//! Identifiers of what the core serves. This module depends on no other part of the daemon.

use asterrill_consumer::InFlightId;
use asterrill_protocol::sidecar::StreamId;

/// A sidecar's connection; never used again while the process lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// One stream of a sidecar's connection: where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SidecarStream {
    /// The connection.
    pub conn: ConnectionId,
    /// The stream on that connection.
    pub stream: StreamId,
}

/// Who waits for the answer to an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    /// A sidecar, by the stream of its RPC.
    Sidecar(SidecarStream),
    /// A queue's state machine, by its delivery.
    Queue(InFlightId),
}
