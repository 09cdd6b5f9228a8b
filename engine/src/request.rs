//! An RPC as it comes in, and the commands that its executor is sent.

use crate::idempotency::IdempotencyKey;
use asterrill::{CallerId, MethodId, RpcId, Us};

/// One RPC as a front end read it.
#[derive(Clone, Debug)]
pub struct IncomingRpc {
    /// Its id, unique among the open RPCs.
    pub id: RpcId,
    /// The method to run.
    pub method: MethodId,
    /// The index of its tenant, where tenants are configured.
    pub tenant: Option<usize>,
    /// Its caller.
    pub caller: CallerId,
    /// When its caller stops waiting, in microseconds, where the caller says so; else the deadline of its method counts
    /// from its arrival.
    pub deadline: Option<Us>,
    /// How long it lay unread here, in microseconds.
    pub read_delay: Us,
    /// Memory taken while it is queued, in kB.
    pub size_kb: f64,
    /// Of a read: RPCs of one method with the same key have the same result.
    pub cache_key: Option<u64>,
    /// Whether it may be coalesced with others that have its `cache_key`.
    pub coalescible: bool,
    /// Of an RPC that must take effect once: what all attempts of it have in common.
    pub idempotency_key: Option<IdempotencyKey>,
}

/// The last command that the executor of a run was sent, to be sent again over a new link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Start the run.
    Launch {
        /// The method to run.
        method: MethodId,
        /// The body of the RPC.
        body: &'a [u8],
    },
    /// Go on with the reply to an upstream call.
    Resume {
        /// The body of the reply.
        reply: &'a [u8],
    },
    /// Go on without the upstream call.
    Skip,
}
