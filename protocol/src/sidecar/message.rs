//! What sidecars send, and the frame types of both directions.

use asterrill::{CallerId, RpcId, Us};

/// A request of a caller.
pub(super) const TYPE_RPC: u8 = 1;
/// The final answer to an RPC; on stream 0 an error of the connection.
pub(super) const TYPE_ANSWER: u8 = 2;
/// A caller no longer waits.
pub(super) const TYPE_CANCEL: u8 = 3;
/// A health check.
pub(super) const TYPE_CHECK: u8 = 4;
/// The answer to a health check.
pub(super) const TYPE_HEALTH: u8 = 5;
/// No new RPC is wanted on this connection.
pub(super) const TYPE_GOAWAY: u8 = 6;

/// A stream's number on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StreamId(pub u32);

/// An RPC as a sidecar sent it.
#[derive(Clone, Debug, PartialEq)]
pub struct RpcRequest {
    /// Its id, which the answer refers to by the stream alone.
    pub id: RpcId,
    /// The method's name.
    pub method: String,
    /// The tenant's name; empty if it was not sent.
    pub tenant: String,
    /// The caller's number.
    pub caller: CallerId,
    /// When it came to the machine, in microseconds.
    pub arrived_at: Us,
    /// When its caller stops waiting, in microseconds; `None` where callers don't say.
    pub deadline: Option<Us>,
    /// The memory it takes while it is in flight, in kilobytes, above 0 and under 2,000.
    pub size_kb: f64,
    /// The entity it is about, if it names one.
    pub key: Option<u64>,
}

/// A frame that calls for something to be done.
#[derive(Debug, PartialEq)]
pub enum Frame<'a> {
    /// An RPC with its body.
    Rpc(StreamId, RpcRequest, &'a [u8]),
    /// An RPC with a field missing or out of range, or a body too long: it can only be aborted.
    Malformed(StreamId),
    /// Nobody waits for the answer on this stream any more.
    Cancelled(StreamId),
    /// A health check; a thorough one (`true`) asks whether work gets done.
    HealthCheck(StreamId, bool),
}
