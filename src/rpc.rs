//! The state of one open RPC.

use crate::admission_queue::{PriorityBand, QueueKey};
use crate::ids::{CallerId, MethodId, Us};
use crate::method::Idempotency;

/// The stage of an open RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Admitted, and waiting for a core.
    Queued,
    /// Waiting for the RPC that it repeats.
    Coalesced,
    /// Running on a core.
    Running,
    /// Off the cores, and waiting for permission to make its upstream call.
    WaitingToCall,
    /// Off the cores, and waiting for its upstream call to end.
    Calling,
}

/// An open RPC. Its idempotency, skip value and memory follow the settings in force when it was read.
pub(crate) struct Rpc {
    pub(crate) method: MethodId,
    pub(crate) caller: CallerId,
    /// Memory that it takes while queued, in kB.
    pub(crate) size_kb: f64,
    pub(crate) stage: Stage,
    pub(crate) key: QueueKey,
    /// Time by which it must be answered.
    pub(crate) deadline: Us,
    /// Latest time at which a successful answer earns any value.
    pub(crate) useful_until: Us,
    /// Time at which its timer fires.
    pub(crate) timer: Us,
    /// Expected serving time in microseconds, as estimated when it was read.
    pub(crate) work: f64,
    /// Amount deducted from its caller's account, in nanoseconds.
    pub(crate) charged: f64,
    pub(crate) run: RunAccounting,
    pub(crate) answered: bool,
    /// Remaining attempts of its upstream call.
    pub(crate) call_attempts: u32,
    pub(crate) idempotency: Idempotency,
    pub(crate) skip_value_ratio: f64,
    /// Memory reserved for it, in kB.
    pub(crate) reserved_kb: f64,
}

impl Rpc {
    pub(crate) fn band(&self) -> PriorityBand {
        self.key.band
    }
}

/// Accumulated serving time and congestion of an RPC.
#[derive(Default)]
pub(crate) struct RunAccounting {
    /// Time at which it last started to occupy a core.
    pub(crate) entered_at: Us,
    /// Congestion integral of its band at that time.
    pub(crate) congestion_at_entry: f64,
    /// Serving time before that, in microseconds.
    pub(crate) served: f64,
    /// congestion_penalty before that, without its constant factor.
    pub(crate) congestion: f64,
}
