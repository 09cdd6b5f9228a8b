//! What the server reports to the decision module: arrivals, ends of runs and calls, gauges.

use crate::ids::{CallerId, MethodId, RpcId, Us};

/// One RPC as it was read from its connection.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Its id.
    pub id: RpcId,
    /// The method it asks for.
    pub method: MethodId,
    /// Who sent it.
    pub caller: CallerId,
    /// When its caller gives up, where that is sent; otherwise the method's deadline counts.
    pub deadline: Option<Us>,
    /// Memory taken while it is queued, in kB.
    pub size_kb: f64,
    /// How long it lay unread in this server's buffers.
    pub unread_for: Us,
    /// The earlier RPC, still open or with its key retained, that this one repeats.
    pub original: Option<RpcId>,
    /// What it reads, for methods whose answers may be shared among equal reads.
    pub cache_key: Option<u64>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With a result.
    Ok,
    /// With an error.
    Aborted,
    /// Cancelled, or ended at an upstream call after it was answered or its caller had left.
    Stopped,
    /// It was over before it began.
    NotStarted,
}

/// How an upstream call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// With a result.
    Ok,
    /// It failed or was cut off, and may have taken effect.
    Aborted,
    /// Abandoned after its timeout; it may have taken effect and may still run upstream.
    TimedOut,
    /// It certainly never ran.
    Rejected,
}

/// The server's own measurements, each 0 or more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Tasks that want a core now, running ones included.
    pub runnable: Option<f64>,
    /// Fraction of memory in use.
    pub memory_ratio: Option<f64>,
    /// Open connections.
    pub connections: Option<f64>,
}
