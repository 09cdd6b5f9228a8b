//! Memory of queued and running RPCs, reserved before anything is done.

use crate::tuning::SAFETY_FACTOR;

/// The memory budget, in kB.
pub struct MemoryBudget {
    total_kb: f64,
    run_factor: f64,
    pub(crate) used_kb: f64,
}

impl MemoryBudget {
    /// `total_kb`: the machine's memory; a running RPC takes `run_factor` times what it takes while queued, at
    /// least once.
    pub fn new(total_kb: f64, run_factor: f64) -> MemoryBudget {
        MemoryBudget { total_kb, run_factor: run_factor.max(1.0), used_kb: 0.0 }
    }

    /// So much more fits beside what is in use and the memory of retained keys.
    pub(crate) fn fits(&self, keys_kb: f64, more_kb: f64) -> bool {
        self.used_kb + more_kb + keys_kb <= self.total_kb * SAFETY_FACTOR
    }

    /// What an RPC takes when it runs, besides what it takes while queued.
    pub(crate) fn extra_to_run(&self, queued_kb: f64) -> f64 {
        queued_kb * (self.run_factor - 1.0)
    }

    pub(crate) fn reconfigure(&mut self, other: &MemoryBudget) {
        (self.total_kb, self.run_factor) = (other.total_kb, other.run_factor);
    }
}
