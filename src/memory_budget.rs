//! Memory of queued and running RPCs, which is reserved before an RPC is queued or started.

use crate::tuning::SAFETY_FACTOR;

/// The memory budget, in kB.
pub struct MemoryBudget {
    total_kb: f64,
    run_factor: f64,
    pub(crate) used_kb: f64,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is used. `total_kb` is the machine's memory; a running RPC takes `run_factor`
    /// times its memory while queued. Factors below 1 count as 1.
    pub fn new(total_kb: f64, run_factor: f64) -> MemoryBudget {
        MemoryBudget { total_kb, run_factor: run_factor.max(1.0), used_kb: 0.0 }
    }

    /// Reports whether `more_kb` fits in addition to the used memory and the memory of retained keys.
    pub(crate) fn fits(&self, keys_kb: f64, more_kb: f64) -> bool {
        self.used_kb + more_kb + keys_kb <= self.total_kb * SAFETY_FACTOR
    }

    /// Returns the memory that an RPC takes while running in addition to its memory while queued.
    pub(crate) fn extra_to_run(&self, queued_kb: f64) -> f64 {
        queued_kb * (self.run_factor - 1.0)
    }

    pub(crate) fn reconfigure(&mut self, other: &MemoryBudget) {
        (self.total_kb, self.run_factor) = (other.total_kb, other.run_factor);
    }
}
