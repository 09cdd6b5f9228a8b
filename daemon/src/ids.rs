//! Identifiers of connections, streams and requesters. This module depends on no other part of the daemon.

use asterrill_consumer::InFlightId;
use asterrill_protocol::sidecar::StreamId;

/// Identifier of a sidecar connection, which is never reused during the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// Stream of a sidecar connection, to which an answer is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SidecarStream {
    /// The connection.
    pub conn: ConnectionId,
    /// The stream on that connection.
    pub stream: StreamId,
}

/// Receiver of the answer to an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Requester {
    /// A sidecar, identified by the stream of its RPC.
    Sidecar(SidecarStream),
    /// The state machine of a queue, identified by its delivery.
    Queue(InFlightId),
}
