//! The cost of serving an RPC of a method, learned from its runs.

use crate::method::Method;
use crate::tuning::COST_SPREAD;

/// Initial estimate of a method's cost, as a fraction of its latency target.
const INITIAL_COST_TARGET_FRACTION: f64 = 0.2;
/// Maximum number of runs over which a learned cost is averaged.
const MAX_SAMPLES: f64 = 40.0;

/// The mean serving time of one method, learned from runs that ended with a result.
#[derive(Clone)]
pub(crate) struct CostEstimate {
    /// Number of runs that the mean is based on, including the initial estimate; at most `MAX_SAMPLES`.
    pub(crate) samples: f64,
    /// Mean serving time in microseconds.
    pub(crate) mean: f64,
}

impl CostEstimate {
    pub(crate) fn new(method: &Method) -> CostEstimate {
        CostEstimate { samples: 1.0, mean: method.latency_target as f64 * INITIAL_COST_TARGET_FRACTION }
    }

    /// Updates the mean with a run whose serving time was `served` microseconds.
    pub(crate) fn learn(&mut self, served: f64) {
        self.samples = (self.samples + 1.0).min(MAX_SAMPLES);
        self.mean += (served - self.mean) / self.samples;
    }

    /// Returns max_cost, the upper estimate of the cost, in microseconds.
    pub(crate) fn max_cost(&self) -> f64 {
        self.mean * COST_SPREAD
    }
}
