//! Values that a server learns while serving. They are exported for a snapshot and restored after a restart.

use crate::ids::{CallerId, MethodId, Us};

/// The learned cost of serving an RPC of one method.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedCost {
    /// The method.
    pub method: MethodId,
    /// Mean serving time in microseconds.
    pub mean: f64,
    /// Number of runs that the mean is based on.
    pub runs: f64,
}

/// The balance of a caller's account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedBalance {
    /// The caller.
    pub caller: CallerId,
    /// Ratio of buf_value to buf_limit, 0 to 1.
    pub ratio: f64,
}

/// The number of RPCs by which a tenant may still exceed its quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedAllowance {
    /// The index of the tenant.
    pub tenant: usize,
    /// Number of RPCs above its quota.
    pub rpcs: f64,
}

/// The values that a server has learned, or the part of them that is to be restored after a restart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Costs by method.
    pub costs: Vec<LearnedCost>,
    /// Target number of RPCs that run at a time.
    pub concurrency_target: Option<f64>,
    /// Ratio of recent serving times to the learned costs; 1 for a server at its usual speed.
    pub slowdown: Option<f64>,
    /// Number of consecutive upstream calls that failed.
    pub call_failures: u32,
    /// Accounts of callers, the most recently seen first.
    pub accounts: Vec<LearnedBalance>,
    /// Allowances of tenants.
    pub tenants: Vec<LearnedAllowance>,
    /// Age of these values.
    pub age: Us,
}
