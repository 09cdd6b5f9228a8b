//! One open RPC as the decision module tracks it.

use crate::admission_queue::{PriorityBand, QueueKey};
use crate::ids::{CallerId, MethodId, Us};
use crate::method::Idempotency;

/// Where an open RPC is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Admitted, waiting for a core.
    Queued,
    /// Waiting for the RPC that it repeats.
    Coalesced,
    /// On the cores.
    Running,
    /// Off the cores, waiting for permission to make its upstream call.
    WaitingToCall,
    /// Off the cores, waiting for its upstream call.
    Calling,
}

/// An open RPC. Idempotency, skip value and memory are those of the settings under which it was read.
pub(crate) struct Rpc {
    pub(crate) method: MethodId,
    pub(crate) caller: CallerId,
    /// Memory while queued, in kB.
    pub(crate) size_kb: f64,
    pub(crate) stage: Stage,
    pub(crate) key: QueueKey,
    /// When it must have its answer.
    pub(crate) deadline: Us,
    /// The last moment at which an ok answer earns anything.
    pub(crate) last_useful: Us,
    /// When its timer fires.
    pub(crate) timer: Us,
    /// Expected serving time, in microseconds, when it was read.
    pub(crate) work: f64,
    /// Deducted from its caller's account, in nanoseconds.
    pub(crate) charged: f64,
    pub(crate) run: RunAccounting,
    pub(crate) answered: bool,
    /// Attempts left for its upstream call.
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

/// What an RPC's time on the cores adds up to.
#[derive(Default)]
pub(crate) struct RunAccounting {
    /// When it last came on the cores.
    pub(crate) since: Us,
    /// Its band's congestion integral then.
    pub(crate) congestion_since: f64,
    /// Serving time before that, in microseconds.
    pub(crate) served: f64,
    /// congestion_penalty before that, without its factor.
    pub(crate) congestion: f64,
}
