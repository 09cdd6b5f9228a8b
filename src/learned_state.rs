//! What a server has learned by serving: handed out for a snapshot, and taken in again after a restart.

use crate::ids::{CallerId, MethodId, Us};

/// What serving an RPC of one method takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedCost {
    /// The method.
    pub method: MethodId,
    /// Mean serving time in microseconds.
    pub mean: f64,
    /// Runs that the mean rests on.
    pub runs: f64,
}

/// How full the account of a caller is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedBalance {
    /// The caller.
    pub caller: CallerId,
    /// Its buffer over the buffer's limit, 0 to 1.
    pub ratio: f64,
}

/// By how much a tenant may still exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedAllowance {
    /// The index of the tenant.
    pub tenant: usize,
    /// RPCs above its quota.
    pub rpcs: f64,
}

/// What a server has learned, or what of it is to be restored after a restart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Costs by method.
    pub costs: Vec<LearnedCost>,
    /// RPCs that run at a time.
    pub concurrency_target: Option<f64>,
    /// Recent serving times over the learned costs; 1 for a server at its usual speed.
    pub slowdown: Option<f64>,
    /// Upstream calls that failed in a row.
    pub call_failures: u32,
    /// Accounts of callers, the one seen last first.
    pub accounts: Vec<LearnedBalance>,
    /// Allowances of tenants.
    pub tenants: Vec<LearnedAllowance>,
    /// How long ago this was taken.
    pub age: Us,
}
