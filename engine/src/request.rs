//! Incoming RPCs and the commands sent to their executors.

use crate::idempotency::IdempotencyKey;
use asterrill::{Caller, MethodId, RpcId, Us};

/// RPC as received by a front end.
#[derive(Clone, Debug)]
pub struct IncomingRpc {
    /// Id, unique among the open RPCs and those whose results are retained.
    pub id: RpcId,
    /// Method to run.
    pub method: MethodId,
    /// Index of its tenant; none where no tenants are configured.
    pub tenant: Option<usize>,
    /// Caller that sent it.
    pub caller: Caller,
    /// Time at which its caller stops waiting, in microseconds. If none is given, the deadline of its method applies,
    /// counted from its arrival.
    pub deadline: Option<Us>,
    /// Time between its arrival at this server and its being read, in microseconds.
    pub read_delay: Us,
    /// Memory that it takes while it is queued, in kB.
    pub size_kb: f64,
    /// Cache key of a read: RPCs of one method with the same key have the same result.
    pub cache_key: Option<u64>,
    /// Whether it may be coalesced with other RPCs that have the same `cache_key`.
    pub coalescible: bool,
    /// Key shared by all attempts of an RPC that must take effect only once.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether it is denied: it may get the result of an earlier attempt with its idempotency key, but is never run.
    pub denied: bool,
    /// Whether its executor does not learn from elsewhere that it is over, so that a run which waits for an upstream call
    /// has to be stopped then.
    pub stop_when_over: bool,
}

/// Last command sent to the executor of a run, to be resent over a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Starts the run.
    Launch {
        /// Method to run.
        method: MethodId,
        /// Body of the RPC.
        body: &'a [u8],
    },
    /// Resumes the run with the reply to an upstream call.
    Resume {
        /// Body of the reply.
        reply: &'a [u8],
    },
    /// Resumes the run without the upstream call.
    Skip,
}
