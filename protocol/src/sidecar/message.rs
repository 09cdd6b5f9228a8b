//! Messages from sidecars, and the frame types of both directions.

use asterrill::{CallerId, RpcId, Us};

/// RPC from a caller.
pub(super) const TYPE_RPC: u8 = 1;
/// Final answer to an RPC, or on stream 0 an error of the connection.
pub(super) const TYPE_ANSWER: u8 = 2;
/// Cancellation of an RPC by its caller.
pub(super) const TYPE_CANCEL: u8 = 3;
/// Health check.
pub(super) const TYPE_HEALTH_CHECK: u8 = 4;
/// Answer to a health check.
pub(super) const TYPE_HEALTH_ANSWER: u8 = 5;
/// Announcement that no new RPC is accepted on this connection.
pub(super) const TYPE_GOAWAY: u8 = 6;

/// Number of a stream on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u32);

/// RPC as a sidecar sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcRequest {
    /// Id of the RPC. The answer does not contain it and refers to the RPC by its stream.
    pub id: RpcId,
    /// Name of the method.
    pub method: String,
    /// Name of the tenant; empty if it was not sent.
    pub tenant: String,
    /// Number of the caller.
    pub caller: CallerId,
    /// Time at which the RPC arrived at the machine, in microseconds.
    pub arrived_at: Us,
    /// Time at which the caller stops waiting, in microseconds; `None` if the caller did not state one.
    pub deadline: Option<Us>,
    /// Memory that the RPC takes while it is in flight, in kilobytes: more than 0 and less than 2,000.
    pub size_kb: f64,
    /// Key of the entity that the RPC refers to, if it names one.
    pub key: Option<u64>,
}

/// Frame that a sidecar sent, parsed.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    /// RPC with its body.
    Rpc(StreamId, RpcRequest, &'a [u8]),
    /// RPC with a missing field, a field out of range, or a body that is too long. It can only be aborted.
    Malformed(StreamId),
    /// Cancellation: the caller no longer waits for the answer on this stream.
    Cancelled(StreamId),
    /// Health check. A thorough one (`true`) asks whether the backend can complete work.
    HealthCheck(StreamId, bool),
}
