//! What serving an RPC of a method costs, learned from its runs.

use crate::method::Method;
use crate::tuning::COST_SPREAD;

/// First estimate of a method's cost, as a fraction of its latency target.
const INITIAL_COST: f64 = 0.2;
/// Runs that a learned cost remembers.
const MAX_SAMPLES: f64 = 40.0;

/// The mean serving time of one method, learned from runs that ended ok.
#[derive(Clone)]
pub(crate) struct CostEstimate {
    /// Runs that the mean rests on, the initial guess included; at most `MAX_SAMPLES`.
    pub(crate) samples: f64,
    /// Mean serving time in microseconds.
    pub(crate) mean: f64,
}

impl CostEstimate {
    pub(crate) fn new(method: &Method) -> CostEstimate {
        CostEstimate { samples: 1.0, mean: method.latency_target as f64 * INITIAL_COST }
    }

    /// Takes in a run that was on the cores for so many microseconds.
    pub(crate) fn learn(&mut self, served: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.mean += (served - self.mean) / self.samples;
    }

    /// The upper estimate, in microseconds.
    pub(crate) fn max_cost(&self) -> f64 {
        self.mean * COST_SPREAD
    }
}
