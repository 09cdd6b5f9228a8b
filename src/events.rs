//! Events that the server reports to the decision module: arrivals, ends of runs and calls, gauges.

use crate::ids::{Caller, MethodId, RpcId, Us};

/// One RPC as it was read from its connection.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The RPC's id.
    pub id: RpcId,
    /// The requested method.
    pub method: MethodId,
    /// The caller that sent it.
    pub caller: Caller,
    /// The deadline that the caller sent. Without one, the method's deadline applies.
    pub deadline: Option<Us>,
    /// Memory that it occupies while queued, in kB.
    pub size_kb: f64,
    /// Time for which it waited unread in this server's receive buffers.
    pub unread_for: Us,
    /// The earlier RPC that this one repeats; it is still open, or its key is retained.
    pub original: Option<RpcId>,
    /// The cache key of what it reads, for methods whose answers may be shared among equal reads.
    pub cache_key: Option<u64>,
}

/// The result of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The run ended with a result.
    Ok,
    /// The run ended with an error.
    Aborted,
    /// The run was cancelled, or ended at an upstream call after its RPC was answered or its caller had left.
    Stopped,
    /// The RPC ended before its run started.
    NotStarted,
}

/// The result of an upstream call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The call ended with a result.
    Ok,
    /// The call failed or its connection was lost. It may have taken effect.
    Aborted,
    /// The call was abandoned after its timeout. It may have taken effect and may still run upstream.
    TimedOut,
    /// The call was rejected. It is certain that it never ran.
    Rejected,
}

/// Measurements of the server itself, each 0 or more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Runnable tasks: those that run on a core and those that wait for one.
    pub runnable: Option<f64>,
    /// Fraction of memory in use.
    pub memory_ratio: Option<f64>,
    /// Number of open connections.
    pub connections: Option<f64>,
}
